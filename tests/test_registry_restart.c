/**
 * DOC: Test of a rate limit that a fleet of 112 instances keeps while half of them restart
 */
#include <stdio.h>

#include "registry_fleet.h"
#include "suite.h"

START_TEST(large_fleet_that_restarts_in_a_burst_keeps_to_a_small_limit)
{
	/* Guards against more requests than a small limit allows: each instance that restarts sends
	 * requests before it knows the limit.
	 */
	static const struct fleet_burst burst = {112, 4.5, 0.9, 80000};
	static const uint64_t seeds[] = {1, 2, 3, 4, 5, 332598, 395950, 506816, 657277, 910685};
	size_t broken = 0;

	for (size_t i = 0; i < sizeof(seeds) / sizeof(seeds[0]); i++) {
		size_t most = fleet_play_burst(&burst, seeds[i]);

		if (most <= allowed_in_window(burst.limit_per_s))
			continue;
		broken++;
		printf("seed %zu: %zu requests of %zu\n", (size_t)seeds[i], most,
		       allowed_in_window(burst.limit_per_s));
	}
	ck_assert_uint_eq(broken, 0);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {large_fleet_that_restarts_in_a_burst_keeps_to_a_small_limit};

	return suite_run("registry_restart", tests, sizeof(tests) / sizeof(tests[0]));
}
