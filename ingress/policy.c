#include "policy.h"

#include <math.h>

#include "os.h"

/* Bounds of the hedge delay, as shares of the latency objective. */
#define HEDGE_MIN_SHARE		0.15
#define HEDGE_GATHER_MAX_SHARE	0.35
#define HEDGE_FORWARD_MAX_SHARE 0.5
/* Share of the parts that must be in before the others count as stragglers. */
#define STRAGGLER_SHARE 0.5
/* Used in place of the latency objective by routes that state none. */
#define OBJECTIVE_DEFAULT_US 1000000
/* Time to merge and to write an answer of some dozens of parts on a small machine. */
#define MERGE_US 9000
/* Used when the travel time is unknown. */
#define TRAVEL_DEFAULT_US 14000
/* The wait for parts gets at least this share of the objective. */
#define WAIT_LEAST_SHARE 0.5
/* Final answers leave this long before the caller's deadline passes. */
#define DEADLINE_MARGIN_US  15000
#define DEADLINE_DEFAULT_US (30 * PD_USEC_PER_SEC)

static int64_t objective_us(const struct pd_route *route)
{
	if (!route->target_latency_ms)
		return OBJECTIVE_DEFAULT_US;
	return route->target_latency_ms * PD_USEC_PER_MSEC;
}

/* The same request is refused for a minute after its last crash. */
#define CRASHES_RETRY_MS 60000

int64_t pd_policy_hedge_delay(const struct pd_route *route, double high_us)
{
	double objective = (double)objective_us(route);
	double most = objective * (route->kind == PD_ROUTE_GATHER ? HEDGE_GATHER_MAX_SHARE
								  : HEDGE_FORWARD_MAX_SHARE);
	double least = objective * HEDGE_MIN_SHARE;

	if (high_us <= 0 || high_us > most)
		return (int64_t)most;
	return (int64_t)(high_us < least ? least : high_us);
}

bool pd_policy_is_straggler(size_t legs, size_t answered)
{
	return (double)answered >= STRAGGLER_SHARE * (double)legs || legs == 1;
}

int64_t pd_policy_cutoff(const struct pd_route *route, int64_t arrived_us, int64_t travel_us)
{
	int64_t objective = objective_us(route);
	int64_t wait = objective - MERGE_US - (travel_us < 0 ? TRAVEL_DEFAULT_US : travel_us);
	int64_t least = (int64_t)((double)objective * WAIT_LEAST_SHARE);

	return arrived_us + (wait > least ? wait : least);
}

int64_t pd_policy_deadline(const struct pd_route *route, int64_t arrived_us,
			   bool has_client_deadline, uint64_t client_ms)
{
	int64_t limit = DEADLINE_DEFAULT_US;

	if (route->timeout_ms)
		limit = route->timeout_ms * PD_USEC_PER_MSEC;
	if (has_client_deadline && client_ms < (uint64_t)(limit / PD_USEC_PER_MSEC))
		limit = (int64_t)client_ms * PD_USEC_PER_MSEC;
	limit -= DEADLINE_MARGIN_US;
	return arrived_us + (limit > 0 ? limit : 0);
}

bool pd_policy_admit(const struct pd_route *route, const int64_t *expected_us, size_t legs,
		     int64_t now_us, int64_t cutoff_us, int64_t deadline_us)
{
	/* A request that is late already is worth its answer as long as the caller waits. */
	bool in_objective = route->kind == PD_ROUTE_GATHER && now_us < cutoff_us;
	int64_t until = in_objective ? cutoff_us : deadline_us;
	size_t in_time = 0;

	for (size_t i = 0; i < legs; i++)
		in_time += now_us + expected_us[i] <= until;
	return in_time >= pd_policy_parts_needed(route);
}

size_t pd_policy_parts_needed(const struct pd_route *route)
{
	/* The margin keeps 0.9 of 10 from becoming 10 by rounding. */
	double needed = ceil(route->min_shard_ratio * (double)route->target_count - 1e-9);

	return needed < 1 ? 1 : (size_t)needed;
}

uint32_t pd_policy_retry_after_ms(enum pd_refusal refusal)
{
	switch (refusal) {
	case PD_REFUSAL_ISOLATED:
		return 0;
	case PD_REFUSAL_OVERLOADED:
		return 20;
	case PD_REFUSAL_UPSTREAMS_OVERLOADED:
		return 100;
	case PD_REFUSAL_CRASHES:
		return CRASHES_RETRY_MS;
	case PD_REFUSAL_NOT_CONFIGURED:
	case PD_REFUSAL_NO_UPSTREAM:
		return 300;
	}
	return 100;
}
