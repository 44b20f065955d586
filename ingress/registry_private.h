/**
 * DOC: Internal functions of the registry, for its own files and the connection pool
 */
#ifndef PD_REGISTRY_PRIVATE_H
#define PD_REGISTRY_PRIVATE_H

#include "registry.h"

void pd_registry_unref_locked(struct pd_upstream *upstream);
void pd_registry_report_received_locked(struct pd_upstream *upstream, int64_t now_us);
uint64_t pd_registry_random_locked(struct pd_registry *registry);
/* Computes the shares of this instance in the rate limits again, for other instances. */
void pd_registry_update_rate_shares_locked(struct pd_registry *registry);
/* Returns the time in microseconds until the limits of the upstream allow a request; 0 if they
 * allow one now. */
int64_t pd_registry_limit_wait_us_locked(struct pd_registry *registry, struct pd_upstream *upstream,
					 int64_t now_us);
/* Counts a request that is sent now towards the limits of the upstream. */
void pd_registry_count_limited_locked(struct pd_upstream *upstream, int64_t now_us);
/* Records the rate limit that a response states, or that it states none any more. */
void pd_registry_record_limit_locked(struct pd_registry *registry, struct pd_upstream *upstream,
				     const struct pd_report *report, int64_t now_us);

#endif
