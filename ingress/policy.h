/**
 * DOC: When to hedge, when to answer with parts missing, when to refuse
 *
 * Pure decisions on times in microseconds, each for the load that it names.
 */
#ifndef PD_POLICY_H
#define PD_POLICY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catalog.h"

/**
 * pd_policy_hedge_delay() - how long one sub-request is given before a second one goes out
 * @route: route
 * @high_us: 92nd percentile of the route's recent sub-requests, 0 if unknown
 *
 * Answers the load of paused and slow upstreams: late enough that about one sub-request in twelve
 * is hedged, early enough that the second answer arrives within the latency objective.
 */
int64_t pd_policy_hedge_delay(const struct pd_route *route, double high_us);

/**
 * pd_policy_is_straggler() - whether a late sub-request is worth a second one
 * @legs: sub-requests of the request
 * @answered: those that are answered
 *
 * Answers the load after an outage, or in a burst: when most parts are late, all upstreams are
 * busy, and second sub-requests would make them busier.
 */
bool pd_policy_is_straggler(size_t legs, size_t answered);

/**
 * pd_policy_cutoff() - when a gathered answer goes out although parts are missing
 * @route: route
 * @arrived_us: when the request arrived
 * @travel_us: time that the request and the answer take between the caller and here; negative when
 *	       unknown
 *
 * Leaves time to merge and to bring the answer to the caller within the latency objective.
 */
int64_t pd_policy_cutoff(const struct pd_route *route, int64_t arrived_us, int64_t travel_us);

/**
 * pd_policy_deadline() - when a request must have its final answer
 * @route: route
 * @arrived_us: when the request arrived
 * @has_client_deadline: the client stated how long it waits
 * @client_ms: how long the client waits
 */
int64_t pd_policy_deadline(const struct pd_route *route, int64_t arrived_us,
			   bool has_client_deadline, uint64_t client_ms);

/* Least number of parts of a successful answer. */
size_t pd_policy_parts_needed(const struct pd_route *route);

/**
 * pd_policy_admit() - whether a request is sent to its upstreams
 * @route: route
 * @expected_us: for each leg, when its answer is expected; 0 when unknown
 * @legs: number of legs
 * @now_us: time
 * @cutoff_us: when a gathered answer goes out
 * @deadline_us: when the final answer is due
 *
 * Answers bursts beyond the upstreams' capacity: a request that can't have enough parts in time
 * would keep the upstreams busy with parts that nobody takes, until no request has enough.
 */
bool pd_policy_admit(const struct pd_route *route, const int64_t *expected_us, size_t legs,
		     int64_t now_us, int64_t cutoff_us, int64_t deadline_us);

/** enum pd_refusal - why a request isn't served. */
enum pd_refusal {
	PD_REFUSAL_NOT_CONFIGURED, /* no configuration is known yet */
	PD_REFUSAL_ISOLATED, /* this instance reaches too few upstreams; others may reach more
			      */
	PD_REFUSAL_NO_UPSTREAM, /* too few services have an upstream */
	PD_REFUSAL_UPSTREAMS_OVERLOADED, /* the upstreams reject work */
	PD_REFUSAL_OVERLOADED, /* this instance has too much work */
	PD_REFUSAL_CRASHES, /* the upstreams that had the same request crashed */
};

/**
 * pd_policy_retry_after_ms() - when a refused caller is to come back
 * @refusal: why it was refused
 *
 * At once where another instance may serve it; after the time in which the cause usually passes
 * otherwise.
 */
uint32_t pd_policy_retry_after_ms(enum pd_refusal refusal);

#endif
