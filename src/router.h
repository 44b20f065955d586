/**
 * DOC: Choice of upstream, hedge delays, the budget for extra sub-requests, admission
 *
 * What the coordinator has observed of upstreams, zones and refusals. Thread-safe; time is a
 * parameter; random choices come from a seed.
 */
#ifndef PD_ROUTER_H
#define PD_ROUTER_H

#include "config.h"
#include "latency.h"

#define PD_HEDGE_BUDGET_SHARE 0.03 /* extra sub-requests for each first one */
#define PD_RETRY_BUDGET_SHARE 0.10 /* retries of lost sub-requests for each first one */
#define PD_ZONE_RAMP_US	      (10 * PD_USEC_PER_SEC) /* from 5% to 100% after a zone's return */

struct pd_router;

enum pd_code pd_router_open(struct pd_router **router, struct pd_str own_zone, uint64_t seed,
			    struct pd_error *err);
void pd_router_close(struct pd_router *router);
/* Tells the router about a new configuration: zones that come in start their ramp now. */
void pd_router_update_config(struct pd_router *router, const struct pd_config *config,
			     int64_t now_us);

/**
 * pd_router_choose() - the best upstream of @service for a new sub-request
 * @tried: indices of upstreams that this sub-request used already
 * @tried_count: entries in @tried
 *
 * Leaves out upstreams and zones that are out. Prefers short expected time (latency and queueing
 * delay observed here); probes a slow one from time to time. Return: index, or PD_CONFIG_NONE.
 */
uint32_t pd_router_choose(struct pd_router *router, const struct pd_config *config,
			  uint32_t service, const uint32_t *tried, uint32_t tried_count,
			  int64_t now_us);
/**
 * pd_router_choose_hedge() - where the hedge of a sub-request goes that runs on @running
 *
 * Return: the best other upstream of @service, or @running again when the others are several times
 * slower, failed lately or are out: most stragglers are slow once, not for good.
 */
uint32_t pd_router_choose_hedge(struct pd_router *router, const struct pd_config *config,
				uint32_t service, uint32_t running, int64_t now_us);
/* How long to wait for @upstream before a hedged request, in microseconds. */
int64_t pd_router_hedge_delay(struct pd_router *router, const struct pd_config *config,
			      uint32_t upstream);
/* A first sub-request was sent: earns budget. */
void pd_router_sent(struct pd_router *router, const struct pd_config *config, uint32_t upstream,
		    int64_t now_us);
/* A hedge or retry was sent; each sub-request is followed by one pd_router_reply(). */
void pd_router_extra_sent(struct pd_router *router, const struct pd_config *config,
			  uint32_t upstream);
/* Takes one extra sub-request from the budget; false when it is used up. */
bool pd_router_take_hedge_token(struct pd_router *router);
#define PD_HEDGE_OVERDUE_FACTOR 1.1 /* times the hedge delay */
/*
 * The same for a sub-request that has waited PD_HEDGE_OVERDUE_FACTOR times its hedge delay: it may
 * take from the budget of the next few seconds.
 */
bool pd_router_take_overdue_token(struct pd_router *router);
/*
 * Takes one retry of a sub-request that was lost. It has a budget of its own: hedges against
 * stragglers use theirs up, and a lost sub-request would then stay missing with time to spare.
 */
bool pd_router_take_retry_token(struct pd_router *router);
/* @other, unless work is known to wait there for longer than at @busy: then @busy. */
uint32_t pd_router_shorter_queue(struct pd_router *router, const struct pd_config *config,
				 uint32_t other, uint32_t busy, int64_t now_us);
/* Outcome of a sub-request; @total_us as seen by the coordinator. */
void pd_router_reply(struct pd_router *router, const struct pd_config *config, uint32_t upstream,
		     enum pd_substatus status, int64_t total_us, int64_t queue_us, int64_t now_us);
/* Whether a query of @urgency may start; false in proportion to recent refusals of non-urgent work.
 */
bool pd_router_admit(struct pd_router *router, enum pd_urgency urgency, int64_t now_us);
/* A whole query was refused for load (or not). */
void pd_router_query_done(struct pd_router *router, enum pd_urgency urgency, bool overloaded,
			  int64_t now_us);

#endif
