/**
 * DOC: Choice of upstreams, hedge delays, budgets for hedges and retries, admission control
 *
 * Decides from what this coordinator has observed: latencies, failures and queues of upstreams,
 * zones that were put back into service, and queries refused due to load. Thread-safe. The current
 * time is passed in as @now_us (monotonic, in microseconds). Random choices come from a seeded
 * generator.
 */
#ifndef PD_ROUTER_H
#define PD_ROUTER_H

#include "config.h"
#include "latency.h"

#define PD_HEDGE_BUDGET_SHARE 0.03 /* hedges allowed for each first sub-request */
#define PD_RETRY_BUDGET_SHARE 0.10 /* retries of lost sub-requests allowed for each first one */
/* Time in which the share of a returning zone increases from 5% to 100% of normal load. */
#define PD_ZONE_RAMP_US (10 * PD_USEC_PER_SEC)

struct pd_router;

enum pd_code pd_router_open(struct pd_router **router, struct pd_str own_zone, uint64_t seed,
			    struct pd_error *err);
void pd_router_close(struct pd_router *router);
/* Applies a new configuration. The ramp of zones that it puts back into service starts now. */
void pd_router_update_config(struct pd_router *router, const struct pd_config *config,
			     int64_t now_us);

/**
 * pd_router_choose() - chooses the upstream of @service for a new sub-request
 * @tried: indices of the upstreams that earlier attempts of this sub-request used
 * @tried_count: number of entries in @tried
 *
 * Skips upstreams and zones that the configuration marks as out. Prefers a short expected time
 * (latency plus queueing delay, as observed by this coordinator), and occasionally probes a slow
 * upstream. Return: index of the upstream in the configuration, or PD_CONFIG_NONE.
 */
uint32_t pd_router_choose(struct pd_router *router, const struct pd_config *config,
			  uint32_t service, const uint32_t *tried, uint32_t tried_count,
			  int64_t now_us);
/**
 * pd_router_choose_hedge() - chooses the upstream for the hedge of a sub-request
 * @running: index of the upstream that the latest attempt was sent to
 *
 * Return: index of the best other upstream of @service. If all others are much slower, have failed
 * recently or are out, @running: most stragglers are single slow requests to a healthy upstream.
 */
uint32_t pd_router_choose_hedge(struct pd_router *router, const struct pd_config *config,
				uint32_t service, uint32_t running, int64_t now_us);
/* Returns how long to wait for a reply from @upstream before a hedge is sent, in microseconds. */
int64_t pd_router_hedge_delay(struct pd_router *router, const struct pd_config *config,
			      uint32_t upstream);
/* Records that a first sub-request was sent, which adds to the hedge and the retry budget. */
void pd_router_sent(struct pd_router *router, const struct pd_config *config, uint32_t upstream,
		    int64_t now_us);
/*
 * Records that a hedge or retry was sent. For each sub-request, first or extra, pd_router_reply()
 * must be called once.
 */
void pd_router_extra_sent(struct pd_router *router, const struct pd_config *config,
			  uint32_t upstream);
/* Takes one token from the hedge budget; false if there is none. */
bool pd_router_take_hedge_token(struct pd_router *router);
/* A sub-request is overdue when it has waited for this multiple of its hedge delay. */
#define PD_HEDGE_OVERDUE_FACTOR 1.1
/*
 * Takes one token from the hedge budget for the hedge of an overdue sub-request: the budget may be
 * overdrawn by what the next few seconds add to it. Returns false beyond that.
 */
bool pd_router_take_overdue_token(struct pd_router *router);
/*
 * Takes one token from the retry budget; false if there is none. Retries of lost sub-requests have
 * a budget of their own: hedges against stragglers can use up theirs, and a lost sub-request would
 * then stay without a reply although there is time left to retry it.
 */
bool pd_router_take_retry_token(struct pd_router *router);
/*
 * Returns @busy if @other is known to have a queue and its expected time is longer than that of
 * @busy, otherwise @other.
 */
uint32_t pd_router_shorter_queue(struct pd_router *router, const struct pd_config *config,
				 uint32_t other, uint32_t busy, int64_t now_us);
/**
 * pd_router_reply() - records the outcome of a sub-request
 * @total_us: time from sending to the reply as measured by the coordinator, in microseconds
 * @queue_us: queueing delay that the reply reports, in microseconds
 */
void pd_router_reply(struct pd_router *router, const struct pd_config *config, uint32_t upstream,
		     enum pd_substatus status, int64_t total_us, int64_t queue_us, int64_t now_us);
/*
 * Returns whether a query of @urgency may start. Normal queries are rejected at random, in
 * proportion to the share of recent ones that were refused due to load; urgent ones are always
 * admitted.
 */
bool pd_router_admit(struct pd_router *router, enum pd_urgency urgency, int64_t now_us);
/* Records the end of a query; @overloaded is whether it was refused due to load. */
void pd_router_query_done(struct pd_router *router, enum pd_urgency urgency, bool overloaded,
			  int64_t now_us);

#endif
