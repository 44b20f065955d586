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
/* Age at which the weight of a stated speed is one half. Machines change their speed in steps of
 * about 600 ms; with 100 dispatchers or more, whose reports are rare, 300 ms were worse.
 */
#define SPEED_HALF_AGE_US 100000
/* A request that has waited for some time is expected to wait about as long again. */
#define SILENCE_FACTOR 2.0

static double slot_count(const struct pd_candidate *candidate)
{
	return candidate->slots ? candidate->slots : 1;
}

/* Returns the cost of an upstream that states how long its work takes: the expected time of a
 * request with those that are queued before it, relative to a usual one. Half of the slots in use
 * count like half a request, so that requests also spread over upstreams without a queue.
 */
static double stated_cost(const struct pd_candidate *candidate)
{
	double slots = slot_count(candidate);
	double queued = candidate->expected_load + 1 - slots;
	double ratio = candidate->work_ratio;

	if (ratio < SILENCE_FACTOR * candidate->silence)
		ratio = SILENCE_FACTOR * candidate->silence;
	return ratio * (1 + candidate->expected_load / slots + (queued > 0 ? queued / slots : 0));
}

static double observed_cost(const struct pd_candidate *candidate)
{
	double load_per_slot =
		(candidate->in_flight + candidate->reported_load) / slot_count(candidate);

	return candidate->latency_ratio * candidate->latency_ratio *
	       (1 + load_per_slot * load_per_slot);
}

double pd_candidate_cost(const struct pd_candidate *candidate)
{
	double cost = candidate->states_speed ? stated_cost(candidate) : observed_cost(candidate);

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

double pd_speed_weight(int64_t age_us)
{
	if (age_us <= 0)
		return 1;
	return 1.0 / (1.0 + (double)age_us / SPEED_HALF_AGE_US);
}

double pd_expected_load(const struct pd_load_estimate *estimate)
{
	double load = estimate->reported + estimate->sent_since;
	double slots = estimate->slots ? estimate->slots : 1;

	if (estimate->work_us <= 0)
		load *= pd_load_weight(estimate->age_us);
	else if (estimate->age_us > 0)
		load -= (double)estimate->age_us * slots / estimate->work_us;
	return load > estimate->in_flight ? load : estimate->in_flight;
}

bool pd_candidate_has_free_slot(const struct pd_candidate *candidate)
{
	return candidate->expected_load + 1 <= slot_count(candidate) &&
	       candidate->silence < PD_SILENCE_OVERDUE;
}
