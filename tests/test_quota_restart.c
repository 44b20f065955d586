/**
 * DOC: Test of the quota of an account that is noisy while all instances restart without a pause
 */
#include <stdio.h>

#include "quota_fleet.h"
#include "suite.h"

#define BOUND	152 /* (20 x 5 + 20) x 1.1 + 20 */
#define MEMBERS 130
#define SEEDS	40

START_TEST(fleet_that_restarts_at_once_keeps_the_quota)
{
	/* Guards against a quota that begins anew with the processes. */
	static const double rates[QUOTA_FLEET_ACCOUNTS] = {20, 20, 5, 0.3};
	static const double usual[QUOTA_FLEET_ACCOUNTS] = {12, 12, 3.1, 0.05};
	static const double noisy[QUOTA_FLEET_ACCOUNTS] = {84, 12, 3.1, 0.05};
	size_t broken = 0;

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct quota_fleet *fleet = quota_fleet_new(MEMBERS, rates, seed);
		size_t most;

		fleet->loss = 0.02;
		quota_fleet_run(fleet, 9, usual, 0, MEMBERS, 1);
		quota_fleet_run(fleet, 2, noisy, 0, MEMBERS, 1);
		for (int i = 0; i < MEMBERS; i++)
			quota_fleet_restart(fleet, i);
		quota_fleet_run(fleet, 6, noisy, 0, MEMBERS, 1);
		most = quota_fleet_window_max(fleet, 0, 5);
		quota_fleet_free(fleet);
		if (most <= BOUND)
			continue;
		broken++;
		printf("seed %zu: %zu requests of %d\n", (size_t)seed, most, BOUND);
	}
	ck_assert_uint_eq(broken, 0);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {fleet_that_restarts_at_once_keeps_the_quota};

	setvbuf(stdout, NULL, _IOLBF, 0);
	return suite_run("quota_restart", tests, sizeof(tests) / sizeof(tests[0]));
}
