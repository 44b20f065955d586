#include "pick.h"

/* The costs below are relative to that of an idle upstream with average latency, which is 1. */

/* Cost of another zone: the round trip between zones takes about a tenth of the time of a typical
 * sub-request, and traffic between zones is billed. */
#define OTHER_ZONE_COST 0.35
/* Cost of a new connection: the set-up takes some milliseconds, and the connection is one more of
 * the limited number that the upstream accepts. */
#define CONNECT_COST	      0.8
#define CONNECTION_LIMIT_COST 3.0
#define UNANSWERED_COST	      50.0
#define COLD_COST	      100.0
#define EJECTED_COST	      1000.0
#define TIE_COST	      0.1 /* upstreams whose costs differ by less are chosen at random */
/* Age at which the weight of a load report is one half; a sub-request takes some tens of
 * milliseconds. */
#define LOAD_HALF_AGE_US 60000

double pd_candidate_cost(const struct pd_candidate *candidate)
{
	double slots = candidate->slots ? candidate->slots : 1;
	double load_per_slot = (candidate->in_flight + candidate->reported_load) / slots;
	double cost = candidate->latency_ratio * candidate->latency_ratio *
		      (1 + load_per_slot * load_per_slot);

	if (!candidate->same_zone)
		cost += OTHER_ZONE_COST;
	if (!candidate->connected)
		cost += CONNECT_COST;
	if (candidate->at_connection_limit)
		cost += CONNECTION_LIMIT_COST;
	if (candidate->unanswered)
		cost += UNANSWERED_COST;
	if (candidate->cold)
		cost += COLD_COST;
	if (candidate->ejected)
		cost += EJECTED_COST;
	return cost;
}

long pd_pick(const struct pd_candidate *candidates, size_t count, uint64_t random)
{
	double best_cost = 0;
	long best = -1;

	for (size_t i = 0; i < count; i++) {
		size_t index = (i + random) % count;
		double cost;

		if (!candidates[index].usable)
			continue;
		cost = pd_candidate_cost(&candidates[index]);
		if (best < 0 || cost < best_cost - TIE_COST) {
			best = (long)index;
			best_cost = cost;
		}
	}
	return best;
}

double pd_load_weight(int64_t age_us)
{
	if (age_us <= 0)
		return 1;
	return 1.0 / (1.0 + (double)age_us / LOAD_HALF_AGE_US);
}
