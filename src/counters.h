/**
 * DOC: Counters of an entry instance
 *
 * All counters are in one table. Each update is one atomic operation. GET /counters returns the
 * output of pd_counters_print().
 */
#ifndef PD_COUNTERS_H
#define PD_COUNTERS_H

#include <stdint.h>

#include "str.h"

/* X(name): one counter. Each counts events since the start of the process, except the byte counts,
 * query_us_total (a sum of times in microseconds) and config_version (the current version).
 * config_superseded counts the versions that weren't installed because a newer one had been
 * received. */
#define PD_COUNTER_LIST(X)                                                                         \
	X(queries_urgent)                                                                          \
	X(queries_normal)                                                                          \
	X(queries_complete)                                                                        \
	X(queries_partial)                                                                         \
	X(queries_refused)                                                                         \
	X(queries_unknown)                                                                         \
	X(queries_malformed)                                                                       \
	X(queries_late)                                                                            \
	X(urgent_good)                                                                             \
	X(urgent_bad)                                                                              \
	X(normal_good)                                                                             \
	X(normal_bad)                                                                              \
	X(query_us_total)                                                                          \
	X(snapshot_restarts)                                                                       \
	X(subrequests_sent)                                                                        \
	X(hedges_sent)                                                                             \
	X(hedges_won)                                                                              \
	X(retries_sent)                                                                            \
	X(diverted)                                                                                \
	X(budget_denied)                                                                           \
	X(replies_late)                                                                            \
	X(replies_mismatched)                                                                      \
	X(cancels_sent)                                                                            \
	X(owner_received)                                                                          \
	X(owner_not_owner)                                                                         \
	X(owner_refused_overload)                                                                  \
	X(owner_refused_deadline)                                                                  \
	X(owner_refused_suspect)                                                                   \
	X(owner_refused_leaving)                                                                   \
	X(owner_refused_zone)                                                                      \
	X(owner_dispatched)                                                                        \
	X(owner_cancelled)                                                                         \
	X(upstream_ok)                                                                             \
	X(upstream_errors)                                                                         \
	X(upstream_connects)                                                                       \
	X(upstream_resets)                                                                         \
	X(upstream_silent)                                                                         \
	X(upstream_collapses)                                                                      \
	X(suspects_recorded)                                                                       \
	X(suspects_cleared)                                                                        \
	X(suspects_convicted)                                                                      \
	X(peer_connects)                                                                           \
	X(peer_disconnects)                                                                        \
	X(peer_silent)                                                                             \
	X(peer_bad_frames)                                                                         \
	X(peer_messages_in)                                                                        \
	X(peer_messages_out)                                                                       \
	X(peer_bytes_in)                                                                           \
	X(peer_bytes_out)                                                                          \
	X(control_bytes_out)                                                                       \
	X(lease_lapses)                                                                            \
	X(pauses_noticed)                                                                          \
	X(platform_reads)                                                                          \
	X(platform_writes)                                                                         \
	X(platform_watches)                                                                        \
	X(platform_failures)                                                                       \
	X(config_entries_applied)                                                                  \
	X(config_version)                                                                          \
	X(config_superseded)                                                                       \
	X(feed_configs_out)                                                                        \
	X(feed_bytes_out)                                                                          \
	X(feed_slow_writes)                                                                        \
	X(datagrams_in)                                                                            \
	X(datagrams_out)                                                                           \
	X(datagram_bytes_out)                                                                      \
	X(datagrams_unsent)                                                                        \
	X(datagrams_malformed)                                                                     \
	X(datagrams_late)                                                                          \
	X(keys_unknown)                                                                            \
	X(keys_unconfirmed)                                                                        \
	X(quota_refused)                                                                           \
	X(quota_returned)                                                                          \
	X(quota_asked)                                                                             \
	X(quota_unanswered)                                                                        \
	X(fair_refused)                                                                            \
	X(load_reports_in)                                                                         \
	X(load_reports_out)                                                                        \
	X(rollouts_completed)                                                                      \
	X(rollouts_rolled_back)                                                                    \
	X(rollout_canary_sent)                                                                     \
	X(statuses_invalid)                                                                        \
	X(crashes_cleared)                                                                         \
	X(promises_withheld)                                                                       \
	X(store_restores)                                                                          \
	X(entries_unreadable)                                                                      \
	X(crashes_withdrawn)                                                                       \
	X(limited_sent)                                                                            \
	X(limited_refused)                                                                         \
	X(paused_refused)                                                                          \
	X(claims_made)                                                                             \
	X(claims_duplicate)                                                                        \
	X(claims_refused)

enum pd_counter {
#define X(name) PD_COUNT_##name,
	PD_COUNTER_LIST(X)
#undef X
		PD_COUNTER_COUNT,
};

/* Adds 1 to @counter. */
void pd_count(enum pd_counter counter);
void pd_count_add(enum pd_counter counter, uint64_t n);
void pd_count_set(enum pd_counter counter, uint64_t value);
uint64_t pd_count_get(enum pd_counter counter);
const char *pd_counter_name(enum pd_counter counter);
/* Appends one line `name value` for each counter. */
void pd_counters_print(struct pd_buf *out);

#endif
