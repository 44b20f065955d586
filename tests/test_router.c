/*
 * Tests of the choice of upstreams, hedging, the budgets, the ramp of a zone, and admission
 * control. They guard against tail latency that is dominated by stragglers or one slow upstream,
 * hedges beyond the budget, a failed upstream that is used too often or never again, a zone that
 * gets all its load at once when it returns, and normal queries that are still rejected after an
 * overload.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "router_sim.h"

static struct pd_config *apply_command(struct pd_config *config, const char *line)
{
	struct pd_command command;
	struct pd_config *next;

	ck_assert(pd_command_parse(&command, pd_str_from(line), NULL) == PD_OK);
	ck_assert(pd_config_apply(config, &command, &next, NULL) == PD_OK);
	pd_command_finish(&command);
	pd_config_put(config);
	return next;
}

/* Fails without hedging (stragglers dominate the tail) and without a budget (too many hedges). */
START_TEST(hedging_limits_the_tail_latency_of_stragglers)
{
	struct sim_setup setup_round_robin = {
		.round_robin = true, .slots = SIM_SLOTS, .queries = SIM_QUERIES, .seed = 1};
	struct sim_setup setup_router = {
		.hedging = true, .slots = SIM_SLOTS, .queries = SIM_QUERIES, .seed = 1};
	struct sim_result with_round_robin;
	struct sim_result with_router;
	double oracle;

	sim_draw_service_times(1, 0.02);
	with_round_robin = sim_run(&setup_round_robin);
	with_router = sim_run(&setup_router);
	oracle = sim_oracle_p99_us();
	printf("p99 round robin %.1f ms, router %.1f ms, oracle %.1f ms; router/round robin %.3f, "
	       "router/oracle %.3f, hedges %.2f%%\n",
	       with_round_robin.p99_us / 1000, with_router.p99_us / 1000, oracle / 1000,
	       with_router.p99_us / with_round_robin.p99_us, with_router.p99_us / oracle,
	       100 * with_router.hedge_ratio);
	ck_assert(with_router.p99_us <= 0.25 * with_round_robin.p99_us);
	ck_assert(with_router.p99_us <= 1.9 * oracle);
	ck_assert(with_router.hedge_ratio <= 0.03);
}
END_TEST

static void check_one_slow(double stragglers, int slots)
{
	struct sim_setup sim = {.hedging = true, .slots = slots, .queries = SIM_QUERIES, .seed = 1};
	struct sim_result without;
	struct sim_result with;

	sim_draw_service_times(1, stragglers);
	without = sim_run(&sim);
	sim.one_slow_upstream = true;
	with = sim_run(&sim);
	printf("p99 after 5 s %.1f ms, with one slow upstream %.1f ms (%.3f), hedges %.2f%%\n",
	       without.p99_after_5s_us / 1000, with.p99_after_5s_us / 1000,
	       with.p99_after_5s_us / without.p99_after_5s_us, 100 * with.hedge_ratio);
	ck_assert(with.p99_after_5s_us <= 1.1 * without.p99_after_5s_us);
	ck_assert(with.hedge_ratio <= 0.03);
}

/* Fails when a slow upstream keeps its share of the load, or when its probes delay queries. */
START_TEST(one_slow_upstream_is_avoided)
{
	check_one_slow(0.02, SIM_NO_LIMIT);
}
END_TEST

/* Fails when the router overloads the other upstream of the service. */
START_TEST(upstream_next_to_a_slow_one_is_not_overloaded)
{
	check_one_slow(0, SIM_SLOTS);
}
END_TEST

/* -- tests of single decisions -- */

static struct pd_router *router;
static struct pd_config *config;

static void setup(void)
{
	config = sim_config();
	ck_assert(pd_router_open(&router, PD_STR("a"), 7, NULL) == PD_OK);
	pd_router_update_config(router, config, 0);
}

static void teardown(void)
{
	pd_router_close(router);
	pd_config_put(config);
}

/* Records the outcome of a sub-request to an upstream of the first service. */
static void reply(int upstream, enum pd_substatus status, int64_t us, int64_t now)
{
	pd_router_reply(router, config, config->services[0].upstreams[upstream], status, us, 0,
			now);
}

/* Returns how many of @choices choose the second upstream of the first service. */
static int count_second_upstream(int choices, int64_t now)
{
	int second = 0;

	for (int i = 0; i < choices; i++)
		second += pd_router_choose(router, config, 0, NULL, 0, now) ==
			  config->services[0].upstreams[1];
	return second;
}

/* Guards against sending all load to a marginally faster upstream. */
START_TEST(similar_upstreams_share_the_load)
{
	int second;

	for (int i = 0; i < 50; i++) {
		reply(0, PD_SUB_OK, 10000, i);
		reply(1, PD_SUB_OK, 11500, i);
	}
	second = count_second_upstream(1000, 1000);
	ck_assert_int_ge(second, 300);
	ck_assert_int_le(second, 500);
}
END_TEST

/* Guards against sending all retries to a failed upstream, and against never using it again. */
START_TEST(failed_upstream_is_ejected_with_exponential_backoff)
{
	int64_t now = PD_USEC_PER_SEC;
	int64_t last = 0;
	int64_t gap = 0;

	for (int i = 0; i < 20; i++) {
		reply(0, PD_SUB_OK, 10000, now);
		reply(1, PD_SUB_OK, 10000, now);
	}
	reply(1, PD_SUB_LOST, 10000, now);
	ck_assert_int_eq(count_second_upstream(100, now), 0);
	for (int64_t t = now; t < now + 40 * PD_USEC_PER_SEC; t += 10000) {
		if (!count_second_upstream(1, t))
			continue;
		if (last && gap)
			ck_assert_int_ge(t - last, gap < 3000000 ? gap : 2900000);
		gap = last ? t - last : 0;
		last = t;
		reply(1, PD_SUB_LOST, 1000, t + 5000);
	}
	ck_assert_int_le(gap, 3100000);
	ck_assert_int_ge(gap, 2900000);
	reply(1, PD_SUB_OK, 10000, now + 41 * PD_USEC_PER_SEC);
	ck_assert_int_ge(count_second_upstream(100, now + 41 * PD_USEC_PER_SEC), 20);
}
END_TEST

/* Guards against load on a zone that is out, and against all load at once when it returns. */
START_TEST(zone_gets_no_load_while_out_and_ramps_up_when_in)
{
	config = apply_command(config, "set zone b out");
	pd_router_update_config(router, config, 0);
	ck_assert_int_eq(count_second_upstream(1000, 1000), 0);
	config = apply_command(config, "set zone b in");
	pd_router_update_config(router, config, PD_USEC_PER_SEC);
	ck_assert_int_le(count_second_upstream(1000, PD_USEC_PER_SEC), 50);
	ck_assert_int_ge(count_second_upstream(1000, PD_USEC_PER_SEC), 5);
	ck_assert_int_le(count_second_upstream(1000, 6 * PD_USEC_PER_SEC), 330);
	ck_assert_int_ge(count_second_upstream(1000, 6 * PD_USEC_PER_SEC), 200);
	ck_assert_int_ge(count_second_upstream(1000, 11 * PD_USEC_PER_SEC), 440);
}
END_TEST

/* Guards against hedges beyond the budget when one is requested for each sub-request. */
START_TEST(hedges_stay_within_the_budget)
{
	uint32_t index = config->services[0].upstreams[0];
	int taken = 0;

	for (int i = 0; i < 100000; i++) {
		pd_router_sent(router, config, index, i * 1000LL);
		taken += pd_router_take_hedge_token(router);
	}
	ck_assert_int_le(taken, 3001);
	ck_assert_int_ge(taken, 2900);
}
END_TEST

/*
 * Offers @rate queries for one second while the upstreams can process @capacity. Returns the number
 * of admitted queries.
 */
static int offer_load(int64_t from, int rate, int capacity)
{
	int admitted = 0;

	for (int i = 0; i < rate; i++) {
		int64_t now = from + i * PD_USEC_PER_SEC / rate;
		int capacity_so_far = (int)((int64_t)capacity * (i + 1) / rate);

		if (!pd_router_admit(router, PD_NORMAL, now))
			continue;
		admitted++;
		pd_router_query_done(router, PD_NORMAL, admitted > capacity_so_far, now);
	}
	return admitted;
}

/* Guards against rejecting queries without an overload, and against doing so after its end. */
START_TEST(admission_control_rejects_in_overload_and_recovers)
{
	int64_t t = PD_USEC_PER_SEC;

	ck_assert_int_eq(offer_load(t, 100, 100), 100);
	for (int i = 0; i < 10; i++)
		offer_load(t += PD_USEC_PER_SEC, 500, 100);
	ck_assert_int_le(offer_load(t += PD_USEC_PER_SEC, 500, 100), 300);
	for (int i = 0; i < 10; i++)
		offer_load(t += PD_USEC_PER_SEC, 500, 0);
	for (int i = 0; i < 5; i++)
		offer_load(t += PD_USEC_PER_SEC, 80, 100);
	ck_assert_int_eq(offer_load(t + PD_USEC_PER_SEC, 80, 100), 80);
	ck_assert(pd_router_admit(router, PD_URGENT, t));
}
END_TEST

/*
 * Guards against queueing a sub-request at a cold upstream with a long queue when the upstream that
 * answered PD_SUB_BUSY would be free sooner.
 */
START_TEST(busy_upstream_is_chosen_if_the_other_queue_is_longer)
{
	uint32_t busy = config->services[0].upstreams[0];
	uint32_t other = config->services[0].upstreams[1];
	int64_t t = PD_USEC_PER_SEC;

	pd_router_reply(router, config, busy, PD_SUB_BUSY, 1000, 20000, t);
	ck_assert_uint_eq(pd_router_shorter_queue(router, config, other, busy, t), other);
	pd_router_reply(router, config, other, PD_SUB_OK, 1000, 80000, t);
	ck_assert_uint_eq(pd_router_shorter_queue(router, config, other, busy, t), busy);
	/* A queue that was reported a while ago is assumed to have been processed. */
	t += 20 * PD_USEC_PER_SEC;
	pd_router_reply(router, config, busy, PD_SUB_BUSY, 1000, 20000, t + 20 * PD_USEC_PER_SEC);
	ck_assert_uint_eq(pd_router_shorter_queue(router, config, other, busy, t), other);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("router");
	TCase *sim = tcase_create("simulation");
	TCase *single = tcase_create("decisions");
	SRunner *runner = srunner_create(suite);
	int failed;

	setvbuf(stdout, NULL, _IOLBF, 0); /* a failed test's figures are printed too */
	tcase_set_timeout(sim, 120);
	tcase_add_test(sim, hedging_limits_the_tail_latency_of_stragglers);
	tcase_add_test(sim, one_slow_upstream_is_avoided);
	tcase_add_test(sim, upstream_next_to_a_slow_one_is_not_overloaded);
	tcase_add_checked_fixture(single, setup, teardown);
	tcase_add_test(single, similar_upstreams_share_the_load);
	tcase_add_test(single, failed_upstream_is_ejected_with_exponential_backoff);
	tcase_add_test(single, zone_gets_no_load_while_out_and_ramps_up_when_in);
	tcase_add_test(single, hedges_stay_within_the_budget);
	tcase_add_test(single, admission_control_rejects_in_overload_and_recovers);
	tcase_add_test(single, busy_upstream_is_chosen_if_the_other_queue_is_longer);
	suite_add_tcase(suite, sim);
	suite_add_tcase(suite, single);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
