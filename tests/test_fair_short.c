/**
 * DOC: Test of fair admission where upstreams queue one request only, by fair_sim.h
 */
#include <check.h>
#include <stdlib.h>

#include "fair_sim.h"
#include "log.h"
#include "suite.h"

START_TEST(no_work_is_lost)
{
	/* Guards against less useful work than without fair admission. */
	struct fair_setup setup = {
		.instances = 100, .load = 1.5, .queue = 1, .fair = true, .noisy = true};
	struct fair_result fair = fair_sim_run(setup), without;

	setup.fair = false;
	without = fair_sim_run(setup);
	ck_assert_double_ge(fair.useful, 0.98 * without.useful);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {no_work_is_lost};

	pd_log_open("fair_short", PD_LOG_ERROR);
	return suite_run("fair_short", tests, sizeof(tests) / sizeof(tests[0]));
}
