/**
 * DOC: Policies for hedging, partial responses, deadlines and admission control
 *
 * Functions without state or side effects. Their descriptions name the load condition for which
 * each policy is made. Points in time are in microseconds of pd_os_boot_us().
 */
#ifndef PD_POLICY_H
#define PD_POLICY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catalog.h"

/**
 * pd_policy_hedge_delay() - delay before a sub-request is hedged
 * @route: route of the request
 * @p92_us: 92nd percentile of the latency of the route's recent sub-requests in microseconds, 0 if
 *	    unknown
 *
 * For paused and slow upstreams. The delay is long enough that only about one sub-request in twelve
 * is hedged, and short enough that the response to the hedge arrives within the latency objective.
 *
 * Return: delay in microseconds.
 */
int64_t pd_policy_hedge_delay(const struct pd_route *route, double p92_us);

/**
 * pd_policy_is_straggler() - whether a late sub-request may be hedged
 * @legs: number of legs of the request
 * @answered: number of these legs that have a response
 *
 * For bursts and for the time after an outage: when most parts are late, all upstreams are busy,
 * and hedges would add to their load.
 */
bool pd_policy_is_straggler(size_t legs, size_t answered);

/**
 * pd_policy_cutoff() - time at which a gathered response is sent although parts are missing
 * @route: route of the request
 * @arrived_us: time at which the request arrived
 * @network_us: network time of the request and its response between the client and this instance in
 *		microseconds; negative if unknown
 *
 * Leaves time to merge the parts and to transfer the response to the client within the latency
 * objective.
 *
 * Return: the cut-off time.
 */
int64_t pd_policy_cutoff(const struct pd_route *route, int64_t arrived_us, int64_t network_us);

/**
 * pd_policy_proof_wait_us() - time for which a request waits for the first proof of a configuration
 * @route: route of the request
 *
 * Return: the time in microseconds; a request that is refused after it can still be served within
 * the latency objective elsewhere.
 */
int64_t pd_policy_proof_wait_us(const struct pd_route *route);

/**
 * pd_policy_deadline() - time by which the final response to a request must be sent
 * @route: route of the request, whose timeout applies
 * @arrived_us: time at which the request arrived
 * @has_client_deadline: the client has stated its own timeout
 * @client_ms: the client's timeout in milliseconds, if @has_client_deadline
 *
 * Return: the deadline, which is the earlier one of client and route less a margin.
 */
int64_t pd_policy_deadline(const struct pd_route *route, int64_t arrived_us,
			   bool has_client_deadline, uint64_t client_ms);

/* Whether a request may be sent although only @left_us microseconds are left to respond, whatever
 * its deadline: one that may run only once must have its latency objective.
 */
bool pd_policy_fits(const struct pd_route *route, int64_t left_us);
/* Returns the minimum number of parts of a successful response. */
size_t pd_policy_parts_needed(const struct pd_route *route);

/**
 * pd_policy_admit() - admission control: whether a request is sent to its upstreams
 * @route: route of the request
 * @expected_us: expected latency of each leg in microseconds; 0 if unknown
 * @legs: number of legs
 * @now_us: current time
 * @cutoff_us: cut-off time, at which a gathered response is sent although parts are missing
 * @deadline_us: time by which the final response must be sent
 *
 * For bursts beyond the capacity of the upstreams: a request that can't get enough parts in time
 * would keep upstreams busy with parts that aren't used, until no request gets enough parts.
 */
bool pd_policy_admit(const struct pd_route *route, const int64_t *expected_us, size_t legs,
		     int64_t now_us, int64_t cutoff_us, int64_t deadline_us);

/* Returns the time by which the parts are needed for pd_policy_admit(): the cut-off, or else the
 * deadline. */
int64_t pd_policy_due(const struct pd_route *route, int64_t now_us, int64_t cutoff_us,
		      int64_t deadline_us);

/** enum pd_refusal - reason for which a request is refused. */
enum pd_refusal {
	PD_REFUSAL_NOT_CONFIGURED, /* this instance has no configuration, or too old a one */
	PD_REFUSAL_ISOLATED, /* this instance reaches too few upstreams; others may reach more */
	PD_REFUSAL_NO_UPSTREAM, /* too few services have a usable upstream */
	PD_REFUSAL_UPSTREAMS_OVERLOADED, /* the upstreams reject requests or have long queues */
	PD_REFUSAL_RATE_LIMITED, /* upstreams have reached their rate limits */
	PD_REFUSAL_PAUSED, /* upstreams have asked for a pause */
	PD_REFUSAL_OVERLOADED, /* this instance has too many requests or too little memory */
	PD_REFUSAL_STOPPING, /* this instance is about to end; others can serve the request */
	PD_REFUSAL_KEY_UNCONFIRMED, /* the key may have been withdrawn: the store wasn't heard
				       lately */
	PD_REFUSAL_CRASHES, /* several upstreams crashed while they executed the same request */
};

/**
 * pd_policy_retry_after_ms() - time after which the client may retry a refused request
 * @refusal: reason for the refusal
 * @permit_wait_us: time until this instance may send the request, in microseconds, if the reason is
 *	PD_REFUSAL_RATE_LIMITED or PD_REFUSAL_PAUSED. Other instances may have a part of a rate
 *	limit left, so that its time is bounded.
 * @random: random number, which spreads the clients that return after a pause
 *
 * Return: time in milliseconds, after which the cause has usually passed; 0 if another instance may
 * be able to serve the request at once.
 */
uint32_t pd_policy_retry_after_ms(enum pd_refusal refusal, int64_t permit_wait_us, uint64_t random);

#endif
