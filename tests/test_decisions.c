/**
 * DOC: Tests of the ingress's policies without a network: retry budget, choice of an upstream,
 * hedging, cut-off, deadline, admission control, rank of instances
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "budget.h"
#include "membership.h"
#include "pick.h"
#include "policy.h"
#include "suite.h"

START_TEST(budget_bounds_retries_in_every_window)
{
	/* Guards against too many retries and hedges: all instances together may send ratio *
	 * requests + slack of them in any time window. Each instance must stay within its share of
	 * that, however the load changes.
	 */
	const double ratio = 0.17, capacity = 6;
	static bool request[20000], retry[20000]; /* steps of 10 ms */
	struct pd_budget budget;

	srand(7);
	pd_budget_init(&budget, ratio, capacity);
	for (int i = 0; i < 20000; i++) {
		int load = (i / 1700) % 3;

		request[i] = rand() % 100 < 5 + 30 * load;
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
		ck_assert_double_le(retries, ratio * requests + capacity);
	}
}
END_TEST

START_TEST(budget_adapts_to_changed_capacity)
{
	/* Guards against a wrong number of tokens when the capacity changes: it is small until the
	 * number of instances is known. A bucket that grows must get the added capacity in tokens;
	 * one that shrinks must lose the tokens beyond its capacity.
	 */
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

START_TEST(pick_avoids_slow_cold_and_ejected)
{
	/* Guards against slow responses: an upstream that is slow, cold, ejected or at its
	 * connection limit must not be chosen while a better one is usable.
	 */
	struct pd_candidate candidates[2];

	for (uint64_t random = 0; random < 8; random++) {
		candidates[0] = candidates[1] = idle_candidate();
		candidates[0].latency_ratio = 3;
		ck_assert_int_eq(pd_pick(candidates, 2, random), 1);
		candidates[0] = idle_candidate();
		candidates[0].cold = true;
		ck_assert_int_eq(pd_pick(candidates, 2, random), 1);
		candidates[0] = idle_candidate();
		candidates[0].at_connection_limit = true;
		ck_assert_int_eq(pd_pick(candidates, 2, random), 1);
		candidates[0].ejected = true;
		candidates[1].cold = true;
		candidates[1].latency_ratio = 6;
		ck_assert_int_eq(pd_pick(candidates, 2, random), 1);
		candidates[1].usable = false;
		ck_assert_int_eq(pd_pick(candidates, 2, random), 0);
		candidates[0].usable = false;
		ck_assert_int_eq(pd_pick(candidates, 2, random), -1);
	}
}
END_TEST

START_TEST(pick_prefers_own_zone_without_queue)
{
	/* Guards against unnecessary traffic between zones, which is billed. Once the upstream in
	 * the own zone has a queue, the other zone must be preferred.
	 */
	struct pd_candidate candidates[2] = {idle_candidate(), idle_candidate()};

	candidates[1].same_zone = false;
	ck_assert_int_eq(pd_pick(candidates, 2, 0), 0);
	ck_assert_int_eq(pd_pick(candidates, 2, 1), 0);
	candidates[0].reported_load = 4;
	ck_assert_int_eq(pd_pick(candidates, 2, 0), 1);
	ck_assert_int_eq(pd_pick(candidates, 2, 1), 1);
}
END_TEST

START_TEST(pick_spreads_over_equal_candidates)
{
	/* Guards against all instances sending to the same one of several equal upstreams. */
	struct pd_candidate equal_candidates[4];
	int chosen[4] = {0};

	for (int i = 0; i < 4; i++)
		equal_candidates[i] = idle_candidate();
	for (uint64_t random = 0; random < 400; random++)
		chosen[pd_pick(equal_candidates, 4, random)]++;
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
				 .min_parts_share = 0.89};
}

START_TEST(hedge_delay_is_p92_within_bounds)
{
	/* Guards against hedges that are too early, which use up the retry budget when all
	 * upstreams are slow, and too late, which miss the latency objective.
	 */
	struct pd_route route = gather_route(200, 20);

	ck_assert_int_eq(pd_policy_hedge_delay(&route, 0), 70000);
	ck_assert_int_eq(pd_policy_hedge_delay(&route, 55000), 55000);
	ck_assert_int_eq(pd_policy_hedge_delay(&route, 900000), 70000);
	ck_assert_int_eq(pd_policy_hedge_delay(&route, 100), 30000);
}
END_TEST

START_TEST(only_stragglers_are_hedged)
{
	/* Guards against overload by hedges: when most parts are late, the upstreams are busy, and
	 * hedges would add to their load.
	 */
	ck_assert(!pd_policy_is_straggler(20, 0));
	ck_assert(!pd_policy_is_straggler(20, 9));
	ck_assert(pd_policy_is_straggler(20, 10));
	ck_assert(pd_policy_is_straggler(1, 0));
}
END_TEST

START_TEST(cutoff_leaves_time_for_network)
{
	/* Guards against late responses: one that is sent at the end of the latency objective would
	 * reach the client too late.
	 */
	struct pd_route route = gather_route(200, 20);

	ck_assert_int_eq(pd_policy_cutoff(&route, 1000, 12000), 1000 + 200000 - 9000 - 12000);
	ck_assert_int_lt(pd_policy_cutoff(&route, 0, -1), 200000 - 20000);
	/* With a long network time, the parts still get half of the latency objective. */
	ck_assert_int_eq(pd_policy_cutoff(&route, 0, 190000), 100000);
}
END_TEST

START_TEST(deadline_is_earlier_of_client_and_route)
{
	/* Guards against wasted work: nobody waits for the response after the earlier deadline. */
	struct pd_route route = gather_route(200, 20);

	ck_assert_int_lt(pd_policy_deadline(&route, 0, true, 500), 500000);
	ck_assert_int_ge(pd_policy_deadline(&route, 0, true, 500), 480000);
	ck_assert_int_lt(pd_policy_deadline(&route, 0, true, 9000), 1200000);
	ck_assert_int_lt(pd_policy_deadline(&route, 0, false, 0), 1200000);
	ck_assert_int_eq(pd_policy_deadline(&route, 5, true, 3), 5);
}
END_TEST

START_TEST(parts_needed_has_no_rounding_error)
{
	/* Guards against a rounding error: 0.9 of 10 must be 9 parts, not 10. At least one part is
	 * needed.
	 */
	struct pd_route route = gather_route(200, 10);

	route.min_parts_share = 0.9;
	ck_assert_uint_eq(pd_policy_parts_needed(&route), 9);
	route.min_parts_share = 0.91;
	ck_assert_uint_eq(pd_policy_parts_needed(&route), 10);
	route.min_parts_share = 0;
	ck_assert_uint_eq(pd_policy_parts_needed(&route), 1);
}
END_TEST

START_TEST(admits_only_requests_that_finish_in_time)
{
	/* Guards against collapse in a burst: requests that can't get enough parts in time would
	 * keep the upstreams busy until no request gets enough parts.
	 */
	struct pd_route route = gather_route(200, 20);
	int64_t expected[20];

	for (int i = 0; i < 20; i++)
		expected[i] = 40000;
	ck_assert(pd_policy_admit(&route, expected, 20, 0, 180000, 1185000));
	expected[0] = expected[1] = 500000;
	ck_assert(pd_policy_admit(&route, expected, 20, 0, 180000, 1185000));
	expected[2] = 500000;
	ck_assert(!pd_policy_admit(&route, expected, 20, 0, 180000, 1185000));
	/* A request is admitted if the expected latency is unknown. */
	memset(expected, 0, sizeof(expected));
	ck_assert(pd_policy_admit(&route, expected, 20, 0, 180000, 1185000));
	/* After the cut-off, only the deadline counts. A request that was relayed and not served
	 * may be checked that late. */
	expected[0] = expected[1] = expected[2] = 500000;
	ck_assert(pd_policy_admit(&route, expected, 20, 200000, 180000, 1185000));
	/* A forwarded request has no cut-off, so that only the deadline counts. */
	route.kind = PD_ROUTE_FORWARD;
	route.target_count = 1;
	expected[0] = 900000;
	ck_assert(pd_policy_admit(&route, expected, 1, 0, 180000, 1185000));
}
END_TEST

START_TEST(rank_is_strict_total_order)
{
	/* Guards against instances without a source: two instances that each rank above the other
	 * would follow each other, and neither would receive changes from the store.
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

static struct pd_instance_entry make_instance(const char *prefix, int index, double cpu_share)
{
	struct pd_instance_entry entry = {.cpu_share = cpu_share};
	char name[32];

	snprintf(name, sizeof(name), "%s-%d", prefix, index);
	ck_assert(pd_name_set(&entry.name, pd_str_from(name)));
	ck_assert(pd_name_set(&entry.zone, PD_STR("here")));
	return entry;
}

START_TEST(highest_ranked_sources_of_a_large_zone_are_kept)
{
	/* Guards against instances of a zone with more members than are kept that follow different
	 * sources, because the highest-ranked instance was listed last.
	 */
	static struct pd_membership membership;
	struct pd_instance_entry best = make_instance("n", 0, 1);

	membership.self = make_instance("n", 0, 1);
	/* The instance of the lowest rank has all others as possible sources. */
	for (int i = 1; i < 400; i++) {
		struct pd_instance_entry entry = make_instance("n", i, 1);

		if (pd_membership_ranks_before(&membership.self.name, &entry.name))
			membership.self = entry;
		if (pd_membership_ranks_before(&entry.name, &best.name))
			best = entry;
	}
	for (int i = 0; i < 400; i++) {
		struct pd_instance_entry entry = make_instance("n", i, 1);

		if (!pd_name_equal(&entry.name, &best.name))
			pd_membership_add_source(&membership, &entry, NULL);
	}
	pd_membership_add_source(&membership, &best, NULL);
	ck_assert_uint_eq(membership.source_count, PD_MEMBERSHIP_SOURCES_MAX);
	ck_assert(pd_name_equal(&membership.sources[0].entry.name, &best.name));
	for (size_t i = 1; i < membership.source_count; i++)
		ck_assert(pd_membership_ranks_before(&membership.sources[i - 1].entry.name,
						     &membership.sources[i].entry.name));
}
END_TEST

START_TEST(all_larger_instances_of_a_large_zone_are_relays)
{
	/* Guards against a large zone in which all small instances relay to the same few larger
	 * ones.
	 */
	enum { LARGER = 40, SMALLER = 60 };
	static struct pd_membership membership;
	size_t uses[LARGER] = {0};

	for (int s = 0; s < SMALLER; s++) {
		memset(&membership, 0, sizeof(membership));
		membership.self = make_instance("small", s, 0.1);
		for (int i = 0; i < LARGER; i++) {
			struct pd_instance_entry entry = make_instance("large", i, 0.5);

			pd_membership_add_relay(&membership, &entry);
		}
		ck_assert_uint_eq(membership.relay_count, PD_MEMBERSHIP_RELAYS_MAX);
		for (size_t r = 0; r < membership.relay_count; r++)
			uses[atoi(membership.relays[r].name.text + strlen("large-"))]++;
	}
	for (int i = 0; i < LARGER; i++) {
		ck_assert_uint_ge(uses[i], 8);
		ck_assert_uint_le(uses[i], 48);
	}
}
END_TEST

/* Guards against a herd at the store after an outage (every instance of a zone takes over at once),
 * and against a delay by which the end of a drain or a new configuration is noticed too late: with
 * the 1.9 s in which a source notices that it lost the store, 0.3 s until its heartbeat and 0.5 s
 * until the first check, it stays below 5 s.
 */
START_TEST(only_the_first_in_rank_take_over_at_once)
{
	const int64_t noticed_us = (1900 + 300 + 500) * PD_USEC_PER_MSEC;
	int64_t before_us = 0;

	for (size_t rank = 0; rank <= PD_MEMBERSHIP_SOURCES_MAX; rank++) {
		int64_t delay_us = pd_membership_takeover_delay_us(rank);

		ck_assert_int_eq(delay_us == 0, rank <= 3);
		ck_assert_int_ge(delay_us, before_us);
		ck_assert_int_lt(noticed_us + delay_us, 4000 * PD_USEC_PER_MSEC);
		before_us = delay_us;
	}
}
END_TEST

/* Guards against changes that come too late at low ranks when their source is cut off from the
 * store: the time in which the source notices (1.9 s), the first check with its jitter, 0.1 s for
 * its response, 0.2 s in which other sources are tried, and 0.1 s to list all kinds must stay
 * within the bound of 3 s at every rank. The first in rank must have listed all kinds before the
 * others check.
 */
START_TEST(the_first_check_comes_in_time_at_every_rank)
{
	const int64_t others_us = (1900 + 100 + 100 + 200 + 100) * PD_USEC_PER_MSEC;
	int64_t before_us = 0;

	for (size_t rank = 0; rank <= PD_MEMBERSHIP_SOURCES_MAX; rank++) {
		int64_t delay_us = pd_membership_first_check_delay_us(rank);

		ck_assert(delay_us == 0 ? rank <= 3 : delay_us >= 300 * PD_USEC_PER_MSEC);
		ck_assert_int_ge(delay_us, before_us);
		ck_assert_int_le(others_us + delay_us, 3000 * PD_USEC_PER_MSEC);
		before_us = delay_us;
	}
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		budget_bounds_retries_in_every_window,
		budget_adapts_to_changed_capacity,
		pick_avoids_slow_cold_and_ejected,
		pick_prefers_own_zone_without_queue,
		pick_spreads_over_equal_candidates,
		hedge_delay_is_p92_within_bounds,
		only_stragglers_are_hedged,
		cutoff_leaves_time_for_network,
		deadline_is_earlier_of_client_and_route,
		parts_needed_has_no_rounding_error,
		admits_only_requests_that_finish_in_time,
		rank_is_strict_total_order,
		highest_ranked_sources_of_a_large_zone_are_kept,
		all_larger_instances_of_a_large_zone_are_relays,
		only_the_first_in_rank_take_over_at_once,
		the_first_check_comes_in_time_at_every_rank,
	};

	return suite_run("decisions", tests, sizeof(tests) / sizeof(tests[0]));
}
