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

/* Value of pd_candidate.silence from which an upstream counts as silent. */
#define PD_SILENCE_OVERDUE 5.0

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
 * @states_speed: the upstream states how long work takes on its machine; only then, the fields
 *	below are used, in place of @latency_ratio, @in_flight and @reported_load
 * @work_ratio: expected time of work on the upstream's machine, relative to a usual machine,
 *	increased for recent failures
 * @expected_load: pd_expected_load()
 * @silence: time for which requests have been in flight to the upstream without any response,
 *	relative to the usual time of one; at least PD_SILENCE_OVERDUE if it is known to be silent
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
	bool states_speed;
	double work_ratio;
	double expected_load;
	double silence;
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
/* Returns the weight, 0 to 1, of a stated speed of the given age. */
double pd_speed_weight(int64_t age_us);

/**
 * struct pd_load_estimate - what is known of the requests at an upstream
 * @reported: number of running or queued requests in the last report, of this or another instance
 * @age_us: age of that report in microseconds
 * @sent_since: number of requests that this process has sent since then
 * @in_flight: number of requests of this process in flight to the upstream
 * @slots: maximum number of requests that the upstream executes concurrently
 * @work_us: time of one request at the upstream in microseconds; 0 if unknown
 */
struct pd_load_estimate {
	double reported;
	int64_t age_us;
	uint32_t sent_since;
	uint32_t in_flight;
	uint32_t slots;
	double work_us;
};

/**
 * pd_expected_load() - number of requests that run or are queued at an upstream now
 * @estimate: what is known
 *
 * For upstreams to which several instances send some hundred requests per second together, with 5
 * to 20 ms of work: a report is out of date within one such time, since the upstream has completed
 * requests and this process has sent others.
 *
 * Return: the requests of the report and those sent since then, less those that the slots have
 * completed meanwhile, but at least those that are known to be in flight.
 */
double pd_expected_load(const struct pd_load_estimate *estimate);
/* Whether the upstream can begin to execute a request at once, as far as is known. */
bool pd_candidate_has_free_slot(const struct pd_candidate *candidate);

#endif
