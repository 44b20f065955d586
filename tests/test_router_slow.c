/*
 * Tests the tail latency of queries while one of 40 upstreams is 10 times slower, 2% of
 * sub-requests are stragglers, and each upstream has three slots. The other upstream of that
 * service then has to process the load of both, 60% of its capacity, without a queue that delays
 * queries.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "router_sim.h"

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

/* Fails when stragglers occupy the slots of the remaining upstream and so delay whole queries. */
START_TEST(one_slow_upstream_with_stragglers)
{
	check_one_slow(0.02, SIM_SLOTS);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("router_slow");
	TCase *tcase = tcase_create("simulation");
	SRunner *runner = srunner_create(suite);
	int failed;

	setvbuf(stdout, NULL, _IOLBF, 0);
	tcase_set_timeout(tcase, 120);
	tcase_add_test(tcase, one_slow_upstream_with_stragglers);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
