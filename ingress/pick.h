/**
 * DOC: Choice of an upstream
 *
 * Compares the upstreams of one service by their recent latency, their load, whether they are cold
 * or ejected, and whether they are in the zone of this process. The functions have no state.
 */
#ifndef PD_PICK_H
#define PD_PICK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * struct pd_candidate - one upstream in the comparison
 * @usable: the upstream isn't draining, its zone is neither evacuated nor unreachable, it has not
 *	    been tried yet, and its rate limit allows a request
 * @cold: the upstream is in its cold start
 * @unanswered: a request is in flight to the upstream, and none has been answered yet
 * @ejected: the upstream is ejected after repeated failures or timeouts
 * @at_connection_limit: a new connection would exceed this process's share of the connections that
 *			 the upstream accepts
 * @connected: this process has an idle connection to the upstream
 * @same_zone: the upstream is in the zone of this process
 * @latency_ratio: recent latency relative to the mean of the same route, increased for recent
 *		   failures; 1 is average
 * @in_flight: number of requests of this process in flight to the upstream
 * @reported_load: number of running or queued requests that the upstream last reported, multiplied
 *		   by pd_load_weight() of the age of the report
 * @slots: maximum number of requests that the upstream executes concurrently
 */
struct pd_candidate {
	bool usable;
	bool cold;
	bool unanswered;
	bool ejected;
	bool at_connection_limit;
	bool connected;
	bool same_zone;
	double latency_ratio;
	double in_flight;
	double reported_load;
	uint32_t slots;
};

/* Returns the cost of choosing the upstream; lower is better. */
double pd_candidate_cost(const struct pd_candidate *candidate);

/**
 * pd_pick() - choose the usable upstream with the lowest cost
 * @candidates: upstreams of the service
 * @count: number of entries in @candidates
 * @random: random number that selects one of the upstreams with about the same cost
 *
 * Cold upstreams cost so much, and ejected ones so much more, that one is chosen only when all
 * others are unusable or extremely slow or loaded.
 *
 * Return: index of the upstream, or -1 if none is usable.
 */
long pd_pick(const struct pd_candidate *candidates, size_t count, uint64_t random);

/* Returns the weight, 0 to 1, of a load report of the given age. */
double pd_load_weight(int64_t age_us);

#endif
