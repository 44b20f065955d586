/**
 * DOC: Tests of fair admission at several instances that share upstreams, by fair_sim.h: what the
 * callers get
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "fair_share.h"
#include "fair_sim.h"
#include "log.h"
#include "os.h"

#define START_US (1000 * PD_USEC_PER_SEC)

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

/* Overloads, with upstreams that queue few requests and reject others, or queue all of them. */
static const struct fair_setup overloads[] = {
	{.instances = 6, .load = 1.5, .states_speed = true, .queue = 4},
	{.instances = 6, .load = 3, .states_speed = true, .queue = 4},
	{.instances = 6, .load = 1.5, .queue = 4},
	{.instances = 6, .load = 3, .queue = 4},
	{.instances = 100, .load = 1.5, .states_speed = true, .queue = 4},
	{.instances = 100, .load = 3, .states_speed = true, .queue = 4},
	{.instances = 100, .load = 1.5, .queue = 4},
	{.instances = 100, .load = 3, .queue = 4},
	{.instances = 6, .load = 1.5, .states_speed = true},
	{.instances = 6, .load = 3, .states_speed = true},
	{.instances = 6, .load = 1.5},
	{.instances = 6, .load = 3},
	{.instances = 100, .load = 1.5, .states_speed = true},
	{.instances = 100, .load = 3, .states_speed = true},
	{.instances = 100, .load = 1.5},
	{.instances = 100, .load = 3},
	/* Clients that return at once. */
	{.instances = 6, .load = 10, .queue = 4},
	{.instances = 6, .load = 10},
};

static struct fair_setup overload_at(size_t index)
{
	struct fair_setup setup = overloads[index];

	setup.fair = true;
	setup.noisy = true;
	return setup;
}

static void check_not_neglected(const struct fair_result *result, const struct fair_tally *tallies,
				size_t count)
{
	for (size_t i = 0; i < count; i++)
		ck_assert_double_ge(fair_served_share(&tallies[i]),
				    fair_served_share(&result->all) / 4);
}

/* Checks that no kind of request is served less often, by over 5 in 100, than a less urgent one. */
static void check_urgency(const struct fair_result *result)
{
	const struct fair_tally *kinds = &result->kinds[0][0];

	for (int i = 0; i < FAIR_PRIORITIES * FAIR_ROUTES; i++) {
		for (int j = (i / FAIR_ROUTES + 1) * FAIR_ROUTES; j < FAIR_PRIORITIES * FAIR_ROUTES;
		     j++) {
			if (kinds[i].offered > 0 && kinds[j].offered > 0)
				ck_assert_double_ge(fair_served_share(&kinds[i]),
						    fair_served_share(&kinds[j]) - 0.05);
		}
	}
}

/* Checks that the noisy account is served less often than each account whose requests aren't less
 * urgent. */
static void check_noise(const struct fair_result *result)
{
	for (int i = 0; i < FAIR_ACCOUNTS; i++) {
		if (i != FAIR_NOISY && i != FAIR_LESS_URGENT)
			ck_assert_double_gt(fair_served_share(&result->accounts[i]),
					    fair_served_share(&result->accounts[FAIR_NOISY]));
	}
}

/* Checks that of the requests that aren't served in time, nine of ten are refused at once. */
static void check_refused_at_once(const struct fair_result *result)
{
	ck_assert_double_le(result->all.late, 0.1 * (result->all.offered - result->all.served));
}

static void check_fair(const struct fair_result *result)
{
	check_not_neglected(result, result->accounts, FAIR_ACCOUNTS);
	check_not_neglected(result, result->routes, FAIR_ROUTES);
	check_not_neglected(result, result->instances, FAIR_INSTANCES_COUNTED);
	check_urgency(result);
	check_noise(result);
	check_refused_at_once(result);
}

START_TEST(faults_are_no_overload)
{
	/* Guards against refusals after late responses without a queue, as of paused or slow
	 * upstreams, and checks that with one they lead to refusals, which end with the overload.
	 */
	const uint64_t service = 1;
	struct pd_fair_request request = {
		.weight = 1, .services = &service, .legs = 1, .needed = 1, .left_us = 100000};
	struct pd_fair_share fair_share;
	int64_t now = START_US;

	pd_fair_share_init(&fair_share, 1);
	for (int queued = 0; queued < 2; queued++) {
		size_t refused = 0;

		for (int i = 0; i < 1000; i++, now += 1000) {
			const struct pd_fair_outcome late = {.service = service,
							     .admitted_us = now,
							     .ended_us = now + 100000,
							     .queued = queued,
							     .result = PD_FAIR_LATE};

			if (pd_fair_share_admit(&fair_share, &request, now).admitted)
				pd_fair_share_report(&fair_share, &late, 1, now + 1);
			else
				refused++;
		}
		ck_assert(queued ? refused > 900 : !refused);
	}
	now += 3 * PD_USEC_PER_SEC;
	for (int i = 0; i < 100; i++, now += 10000)
		ck_assert(pd_fair_share_admit(&fair_share, &request, now).admitted);
	pd_fair_share_finish(&fair_share);
}
END_TEST

START_TEST(single_failures_are_no_overload)
{
	/* Guards against an instance with few requests that refuses the next one after a request
	 * that no upstream took. */
	const uint64_t service = 1;
	const struct pd_fair_request request = {
		.weight = 1, .services = &service, .legs = 1, .needed = 1, .left_us = 100000};
	struct pd_fair_share fair_share;
	int64_t now = START_US;

	pd_fair_share_init(&fair_share, 1);
	for (int i = 0; i < 300; i++, now += PD_USEC_PER_SEC / 3) {
		const struct pd_fair_outcome outcome = {.service = service,
							.admitted_us = now,
							.ended_us = now,
							.result = i % 3 ? PD_FAIR_IN_TIME
									: PD_FAIR_NOT_TAKEN};

		ck_assert(pd_fair_share_admit(&fair_share, &request, now).admitted);
		pd_fair_share_report(&fair_share, &outcome, 1, now + 1);
	}
	pd_fair_share_finish(&fair_share);
}
END_TEST

START_TEST(overload_is_shared_fairly)
{
	/* Guards against accounts, routes and instances that get next to nothing, against less
	 * urgent requests before urgent ones, a noisy account that is served as often as others,
	 * requests that wait in vain, and less useful work than without fair admission. */
	struct fair_setup setup = overload_at((size_t)_i);
	struct fair_result fair = fair_sim_run(setup), without;

	setup.fair = false;
	without = fair_sim_run(setup);
	check_fair(&fair);
	ck_assert_double_ge(fair.useful, 0.98 * without.useful);
}
END_TEST

START_TEST(busy_instance_is_served)
{
	/* Guards against an instance with most of the clients whose callers, or those of the idle
	 * ones beside it, get next to nothing. */
	struct fair_setup setup = overload_at((size_t)_i);
	struct fair_result result;

	setup.busy_share = 0.8;
	result = fair_sim_run(setup);
	check_fair(&result);
}
END_TEST

START_TEST(refused_clients_return_in_time)
{
	/* Guards against times to return at which the clients are refused again. */
	struct fair_setup setup = overload_at((size_t)_i);
	struct fair_result result;

	setup.load_after = 0.5;
	setup.burst_us = PD_USEC_PER_SEC;
	setup.returns = true;
	result = fair_sim_run(setup);
	ck_assert_double_gt(result.returned.offered, 100);
	ck_assert_double_gt(fair_served_share(&result.returned), 0.5);
}
END_TEST

START_TEST(usual_load_is_served)
{
	/* Guards against refusals while there is capacity for all. */
	struct fair_setup setup = overload_at((size_t)_i);
	struct fair_result result;

	setup.load = 0.6;
	result = fair_sim_run(setup);
	ck_assert_double_ge(fair_served_share(&result.all), 0.98);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("fair_fleet");
	const TTest *const tests[] = {overload_is_shared_fairly, busy_instance_is_served,
				      refused_clients_return_in_time, usual_load_is_served};
	TCase *tcase = tcase_create("fair_fleet");
	SRunner *runner = srunner_create(suite);
	int failed;

	pd_log_open("fair_fleet", PD_LOG_ERROR);
	/* Each test runs in a process of its own, which must not print what is buffered here. */
	setvbuf(stdout, NULL, _IOLBF, 0);
	tcase_set_timeout(tcase, 120);
	for (size_t i = 0; i < COUNT(tests); i++)
		tcase_add_loop_test(tcase, tests[i], 0, (int)COUNT(overloads));
	tcase_add_test(tcase, single_failures_are_no_overload);
	tcase_add_test(tcase, faults_are_no_overload);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
