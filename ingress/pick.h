/**
 * DOC: Choice of an upstream
 *
 * Pure decisions on what is known of the upstreams of one service: their recent latency, their
 * load, whether they are cold, leaving or silent, and whether they are in the sender's zone.
 */
#ifndef PD_PICK_H
#define PD_PICK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * struct pd_candidate - what is known of one upstream
 * @usable: listed as ready, in a zone that isn't evacuated or out of reach, and not yet tried
 * @cold: started a short time ago
 * @ejected: failed or stayed silent repeatedly and is left alone for a while
 * @at_connection_limit: a further connection would exceed this process's share of those that it
 *accepts
 * @connected: an idle connection to it is open
 * @same_zone: in the zone of this process
 * @latency_ratio: recent latency relative to the usual one of the same route; 1 is usual
 * @in_flight: requests of this process at the upstream
 * @reported_load: requests running and waiting that the upstream last reported, reduced by the age
 *of the report
 * @slots: requests that it runs at once
 */
struct pd_candidate {
	bool usable;
	bool cold;
	bool ejected;
	bool at_connection_limit;
	bool connected;
	bool same_zone;
	double latency_ratio;
	double in_flight;
	double reported_load;
	uint32_t slots;
};

/* Lower is better. */
double pd_candidate_cost(const struct pd_candidate *candidate);

/**
 * pd_pick() - the best upstream
 * @candidates: upstreams
 * @count: number of @candidates
 * @random: any number; decides between equals
 *
 * Cold upstreams are chosen only when no warm one is left, ejected ones only when no other is.
 *
 * Return: its index, or -1 when none is usable.
 */
long pd_pick(const struct pd_candidate *candidates, size_t count, uint64_t random);

/* How much a report of load of that age still counts, 0 to 1. */
double pd_load_weight(int64_t age_us);

#endif
