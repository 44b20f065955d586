/**
 * DOC: Decisions of the ingress that need no network: budget, choice of an upstream, hedging,
 * cut-off, admission, rank of instances
 */
#include <stdlib.h>
#include <string.h>

#include "budget.h"
#include "membership.h"
#include "pick.h"
#include "policy.h"
#include "suite.h"

START_TEST(budget_bounds_every_window)
{
	/* The rule allows ratio * requests + slack further arrivals in any window, over all
	 * instances; each must stay within its part whatever the load does. */
	const double ratio = 0.17, size = 6;
	static bool request[20000], retry[20000]; /* one step is 10 ms */
	struct pd_budget budget;

	srand(7);
	pd_budget_init(&budget, ratio, size);
	for (int i = 0; i < 20000; i++) {
		int busy = (i / 1700) % 3;

		request[i] = rand() % 100 < 5 + 30 * busy;
		if (request[i])
			pd_budget_count_request(&budget);
		retry[i] = rand() % 100 < 40 && pd_budget_consume(&budget);
	}
	for (int start = 0; start + 1000 <= 20000; start += 50) {
		int requests = 0, retries = 0;

		for (int i = start; i < start + 1000; i++) {
			requests += request[i];
			retries += retry[i];
		}
		ck_assert_double_le(retries, ratio * requests + size);
	}
}
END_TEST

START_TEST(budget_grows_with_its_size)
{
	/* The size is small until the number of instances is known; what was withheld is given. */
	struct pd_budget budget;

	pd_budget_init(&budget, 0.2, 1);
	ck_assert(pd_budget_consume(&budget));
	ck_assert(!pd_budget_consume(&budget));
	pd_budget_resize(&budget, 0.2, 4);
	for (int i = 0; i < 3; i++)
		ck_assert(pd_budget_consume(&budget));
	ck_assert(!pd_budget_consume(&budget));
	pd_budget_resize(&budget, 0.2, 1);
	for (int i = 0; i < 100; i++)
		pd_budget_count_request(&budget);
	ck_assert(pd_budget_consume(&budget));
	ck_assert(!pd_budget_consume(&budget));
}
END_TEST

static struct pd_candidate idle_candidate(void)
{
	return (struct pd_candidate){
		.usable = true, .same_zone = true, .latency_ratio = 1, .slots = 3};
}

START_TEST(pick_avoids_slow_cold_and_silent)
{
	/* A slow, cold, ejected or full upstream is chosen only when nothing better is left. */
	struct pd_candidate two[2];

	for (uint64_t random = 0; random < 8; random++) {
		two[0] = two[1] = idle_candidate();
		two[0].latency_ratio = 3;
		ck_assert_int_eq(pd_pick(two, 2, random), 1);
		two[0] = idle_candidate();
		two[0].cold = true;
		ck_assert_int_eq(pd_pick(two, 2, random), 1);
		two[0] = idle_candidate();
		two[0].at_connection_limit = true;
		ck_assert_int_eq(pd_pick(two, 2, random), 1);
		two[0].ejected = true;
		two[1].cold = true;
		two[1].latency_ratio = 6;
		ck_assert_int_eq(pd_pick(two, 2, random), 1);
		two[1].usable = false;
		ck_assert_int_eq(pd_pick(two, 2, random), 0);
		two[0].usable = false;
		ck_assert_int_eq(pd_pick(two, 2, random), -1);
	}
}
END_TEST

START_TEST(pick_prefers_the_own_zone_until_it_is_busy)
{
	/* Bytes between zones are paid for, but a queue costs the caller more. */
	struct pd_candidate two[2] = {idle_candidate(), idle_candidate()};

	two[1].same_zone = false;
	ck_assert_int_eq(pd_pick(two, 2, 0), 0);
	ck_assert_int_eq(pd_pick(two, 2, 1), 0);
	two[0].reported_load = 4;
	ck_assert_int_eq(pd_pick(two, 2, 0), 1);
	ck_assert_int_eq(pd_pick(two, 2, 1), 1);
}
END_TEST

START_TEST(pick_spreads_over_equals)
{
	/* Without a draw, all instances would choose the same upstream. */
	struct pd_candidate four[4];
	int chosen[4] = {0};

	for (int i = 0; i < 4; i++)
		four[i] = idle_candidate();
	for (uint64_t random = 0; random < 400; random++)
		chosen[pd_pick(four, 4, random)]++;
	for (int i = 0; i < 4; i++)
		ck_assert_int_eq(chosen[i], 100);
}
END_TEST

static struct pd_route gather_route(uint32_t objective_ms, size_t targets)
{
	return (struct pd_route){.kind = PD_ROUTE_GATHER,
				 .idempotent = true,
				 .timeout_ms = 1200,
				 .target_latency_ms = objective_ms,
				 .max_attempts = 2,
				 .target_count = targets,
				 .min_shard_ratio = 0.89};
}

START_TEST(hedge_delay_follows_latency_within_bounds)
{
	/* Too early wastes the budget in a slow hour, too late misses the objective. */
	struct pd_route route = gather_route(200, 20);

	ck_assert_int_eq(pd_policy_hedge_delay(&route, 0), 70000);
	ck_assert_int_eq(pd_policy_hedge_delay(&route, 55000), 55000);
	ck_assert_int_eq(pd_policy_hedge_delay(&route, 900000), 70000);
	ck_assert_int_eq(pd_policy_hedge_delay(&route, 100), 30000);
}
END_TEST

START_TEST(only_stragglers_are_hedged)
{
	/* When most parts are late, the upstreams are busy: second sub-requests would add to it. */
	ck_assert(!pd_policy_is_straggler(20, 0));
	ck_assert(!pd_policy_is_straggler(20, 9));
	ck_assert(pd_policy_is_straggler(20, 10));
	ck_assert(pd_policy_is_straggler(1, 0));
}
END_TEST

START_TEST(cutoff_leaves_time_for_the_way_back)
{
	/* An answer that is sent at the objective arrives after it. */
	struct pd_route route = gather_route(200, 20);

	ck_assert_int_eq(pd_policy_cutoff(&route, 1000, 12000), 1000 + 200000 - 9000 - 12000);
	ck_assert_int_lt(pd_policy_cutoff(&route, 0, -1), 200000 - 20000);
	/* A caller far away still gets half of the objective as a wait. */
	ck_assert_int_eq(pd_policy_cutoff(&route, 0, 190000), 100000);
}
END_TEST

START_TEST(deadline_is_the_nearer_of_caller_and_route)
{
	/* A request held beyond either of them is lost work. */
	struct pd_route route = gather_route(200, 20);

	ck_assert_int_lt(pd_policy_deadline(&route, 0, true, 500), 500000);
	ck_assert_int_ge(pd_policy_deadline(&route, 0, true, 500), 480000);
	ck_assert_int_lt(pd_policy_deadline(&route, 0, true, 9000), 1200000);
	ck_assert_int_lt(pd_policy_deadline(&route, 0, false, 0), 1200000);
	ck_assert_int_eq(pd_policy_deadline(&route, 5, true, 3), 5);
}
END_TEST

START_TEST(parts_needed_is_exact)
{
	/* 0.9 of 10 is 9, not 10 by rounding; a success names at least one part. */
	struct pd_route route = gather_route(200, 10);

	route.min_shard_ratio = 0.9;
	ck_assert_uint_eq(pd_policy_parts_needed(&route), 9);
	route.min_shard_ratio = 0.91;
	ck_assert_uint_eq(pd_policy_parts_needed(&route), 10);
	route.min_shard_ratio = 0;
	ck_assert_uint_eq(pd_policy_parts_needed(&route), 1);
}
END_TEST

START_TEST(admits_what_can_be_answered_in_time)
{
	/* The load of a burst: requests that can't have enough parts in time keep the upstreams
	 * busy until no request has enough. */
	struct pd_route route = gather_route(200, 20);
	int64_t expected[20];

	for (int i = 0; i < 20; i++)
		expected[i] = 40000;
	ck_assert(pd_policy_admit(&route, expected, 20, 0, 180000, 1185000));
	expected[0] = expected[1] = 500000;
	ck_assert(pd_policy_admit(&route, expected, 20, 0, 180000, 1185000));
	expected[2] = 500000;
	ck_assert(!pd_policy_admit(&route, expected, 20, 0, 180000, 1185000));
	/* Nothing known is no reason to refuse. */
	memset(expected, 0, sizeof(expected));
	ck_assert(pd_policy_admit(&route, expected, 20, 0, 180000, 1185000));
	/* So is a request that comes here late, from an instance that didn't answer. */
	expected[0] = expected[1] = expected[2] = 500000;
	ck_assert(pd_policy_admit(&route, expected, 20, 200000, 180000, 1185000));
	/* A forwarded request is worth something also when it is late. */
	route.kind = PD_ROUTE_FORWARD;
	route.target_count = 1;
	expected[0] = 900000;
	ck_assert(pd_policy_admit(&route, expected, 1, 0, 180000, 1185000));
}
END_TEST

START_TEST(rank_is_a_strict_order)
{
	/* Two instances that each rank before the other would follow each other and hear nothing.
	 */
	struct pd_name names[20];
	char text[24];

	for (int i = 0; i < 20; i++) {
		snprintf(text, sizeof(text), "front-boston-%d", i);
		ck_assert(pd_name_set(&names[i], pd_str_from(text)));
	}
	for (int a = 0; a < 20; a++) {
		ck_assert(!pd_membership_ranks_before(&names[a], &names[a]));
		for (int b = 0; b < 20; b++) {
			if (a != b)
				ck_assert(pd_membership_ranks_before(&names[a], &names[b]) !=
					  pd_membership_ranks_before(&names[b], &names[a]));
			for (int c = 0; c < 20; c++) {
				if (pd_membership_ranks_before(&names[a], &names[b]) &&
				    pd_membership_ranks_before(&names[b], &names[c]))
					ck_assert(pd_membership_ranks_before(&names[a], &names[c]));
			}
		}
	}
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		budget_bounds_every_window,
		budget_grows_with_its_size,
		pick_avoids_slow_cold_and_silent,
		pick_prefers_the_own_zone_until_it_is_busy,
		pick_spreads_over_equals,
		hedge_delay_follows_latency_within_bounds,
		only_stragglers_are_hedged,
		cutoff_leaves_time_for_the_way_back,
		deadline_is_the_nearer_of_caller_and_route,
		parts_needed_is_exact,
		admits_what_can_be_answered_in_time,
		rank_is_a_strict_order,
	};

	return suite_run("decisions", tests, sizeof(tests) / sizeof(tests[0]));
}
