/**
 * DOC: Tests of load balancing with reports that are out of date: the decisions, and the simulation
 * of balance_sim.h
 *
 * The tables state means of several seeds. "before" are upstreams that don't state how long work
 * takes, for which the choice is what it was before they could.
 */
#include <math.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "balance_sim.h"
#include "load_report.h"
#include "log.h"
#include "pick.h"
#include "suite.h"

#define SEEDS 8
#define PARTS 10000
/* Allowed retries and hedges for each part, as in balance_sim.c. */
#define RETRY_RATIO 0.2
/* A difference counts as noise up to this many standard errors of the mean of the seeds, and up to
 * this share of the figure: with some hundred comparisons, several of equal figures
 * differ by more than two standard errors.
 */
#define NOISE_ERRORS 2.0
#define NOISE_SHARE  0.05

static const double loads[] = {0.1, 0.5, 0.75};
static const int64_t delays_us[] = {BALANCE_OWN_REPORTS, 0, 1000, 20000, 100000, 300000, 1000000};

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

static void run_seeds(struct balance_setup setup, struct balance_result *results)
{
	setup.parts = PARTS;
	for (setup.seed = 1; setup.seed <= SEEDS; setup.seed++)
		results[setup.seed - 1] = balance_run(&setup);
}

static double mean_of(const struct balance_result *results, size_t offset)
{
	double sum = 0;

	for (int i = 0; i < SEEDS; i++)
		sum += *(const double *)((const char *)&results[i] + offset);
	return sum / SEEDS;
}

#define MEAN(results, field) mean_of(results, offsetof(struct balance_result, field))

static void print_row(const struct balance_setup *setup, const struct balance_result *results)
{
	char delay[16] = "own";

	if (setup->loss > 0)
		snprintf(delay, sizeof(delay), "built");
	else if (setup->delay_us != BALANCE_OWN_REPORTS)
		snprintf(delay, sizeof(delay), "%d ms", (int)(setup->delay_us / 1000));
	printf("%3d %4.2f %-6s %-7s %5.1f %6.1f %6.1f %6.2f %6.3f %6.3f %6.2f\n",
	       setup->dispatchers, setup->load, setup->hedges ? "hedges" : "",
	       setup->states_speed ? delay : "before", MEAN(results, p50_ms), MEAN(results, p99_ms),
	       MEAN(results, query_p99_ms), MEAN(results, spread), MEAN(results, idle_share),
	       MEAN(results, sent), MEAN(results, other_zone));
}

/* Checks that a figure isn't greater than before in the mean of the seeds, but for noise. */
static void check_not_worse(const char *what, const double *before, const double *after)
{
	double mean = 0, square = 0, error, figure = 0;

	for (int i = 0; i < SEEDS; i++) {
		double difference = after[i] - before[i];

		mean += difference / SEEDS;
		square += difference * difference / SEEDS;
		figure += before[i] / SEEDS;
	}
	error = sqrt((square - mean * mean) / (SEEDS - 1));
	ck_assert_msg(mean <= NOISE_ERRORS * error || mean <= NOISE_SHARE * figure,
		      "%s rose by %.3f from %.3f (standard error %.3f)", what, mean, figure, error);
}

#define CHECK_NOT_WORSE(before, after, field)                                                      \
	do {                                                                                       \
		double a[SEEDS], b[SEEDS];                                                         \
                                                                                                   \
		for (int i = 0; i < SEEDS; i++) {                                                  \
			b[i] = (before)[i].field;                                                  \
			a[i] = (after)[i].field;                                                   \
		}                                                                                  \
		check_not_worse(#field, b, a);                                                     \
	} while (0)

/* Checks that a row isn't worse than before. Before, useless hedges fill slots while the queues
 * grow, so that there is less time with a free slot: with hedges, the spread of the queues is
 * checked.
 */
static void check_row(const struct balance_setup *setup, const struct balance_result *before)
{
	struct balance_result after[SEEDS];

	run_seeds(*setup, after);
	print_row(setup, after);
	CHECK_NOT_WORSE(before, after, p99_ms);
	CHECK_NOT_WORSE(before, after, query_p99_ms);
	CHECK_NOT_WORSE(before, after, sent);
	CHECK_NOT_WORSE(before, after, spread);
	if (!setup->hedges)
		CHECK_NOT_WORSE(before, after, idle_share);
}

static void check_load(int dispatchers, double load, bool hedges)
{
	struct balance_setup setup = {.dispatchers = dispatchers, .load = load, .hedges = hedges};
	struct balance_result before[SEEDS];
	int peers = dispatchers / BALANCE_UPSTREAMS - 1;

	setup.delay_us = BALANCE_OWN_REPORTS;
	run_seeds(setup, before);
	print_row(&setup, before);
	for (int i = 0; i < SEEDS; i++) {
		ck_assert_double_ge(before[i].sent, 1);
		ck_assert_double_le(before[i].sent, hedges ? 1 + RETRY_RATIO : 1);
	}
	setup.states_speed = true;
	/* A dispatcher that is alone in its zone has nobody to pass reports on to. */
	for (size_t d = 0; d < (dispatchers > BALANCE_UPSTREAMS ? COUNT(delays_us) : 1); d++) {
		setup.delay_us = delays_us[d];
		check_row(&setup, before);
	}
	if (peers <= PD_LOAD_REPORT_RECEIVERS)
		return;
	/* Each datagram reaches some of the instances of the zone only. */
	setup.delay_us = PD_LOAD_REPORT_INTERVAL_US;
	setup.loss = 1 - (double)PD_LOAD_REPORT_RECEIVERS / peers;
	check_row(&setup, before);
}

/* Guards against worse latency or more requests to upstreams than before, where upstreams state how
 * long work takes, with reports of any age.
 */
static void check_dispatchers(int dispatchers, bool hedges)
{
	printf("dispatchers, load, hedges, delay; ms of a part at p50 and p99, of a query at p99; "
	       "spread, queue beside a free slot, sent, other zone\n");
	for (size_t l = 0; l < COUNT(loads); l++)
		check_load(dispatchers, loads[l], hedges);
}

START_TEST(one_dispatcher)
{
	check_dispatchers(1, false);
}
END_TEST

START_TEST(one_dispatcher_with_hedges)
{
	check_dispatchers(1, true);
}
END_TEST

START_TEST(one_dispatcher_in_each_zone)
{
	check_dispatchers(3, false);
}
END_TEST

START_TEST(one_dispatcher_in_each_zone_with_hedges)
{
	check_dispatchers(3, true);
}
END_TEST

START_TEST(two_dispatchers_in_each_zone)
{
	check_dispatchers(6, false);
}
END_TEST

START_TEST(two_dispatchers_in_each_zone_with_hedges)
{
	check_dispatchers(6, true);
}
END_TEST

START_TEST(four_dispatchers_in_each_zone)
{
	check_dispatchers(12, false);
}
END_TEST

START_TEST(four_dispatchers_in_each_zone_with_hedges)
{
	check_dispatchers(12, true);
}
END_TEST

START_TEST(hundred_dispatchers)
{
	check_dispatchers(100, false);
}
END_TEST

START_TEST(hundred_dispatchers_with_hedges)
{
	check_dispatchers(100, true);
}
END_TEST

START_TEST(three_hundred_dispatchers)
{
	check_dispatchers(300, false);
}
END_TEST

START_TEST(three_hundred_dispatchers_with_hedges)
{
	check_dispatchers(300, true);
}
END_TEST

START_TEST(speed_may_be_relative_to_the_machine)
{
	/* Guards against a choice that needs the same meaning of 100 on all machines: it may be
	 * what is usual for each of them.
	 */
	struct balance_setup setup = {
		.dispatchers = 6, .load = 0.5, .delay_us = BALANCE_OWN_REPORTS, .own_usual = true};
	struct balance_result before[SEEDS];

	for (int hedges = 0; hedges < 2; hedges++) {
		setup.hedges = hedges;
		setup.states_speed = false;
		run_seeds(setup, before);
		setup.states_speed = true;
		check_row(&setup, before);
	}
}
END_TEST

START_TEST(half_of_the_datagrams_are_lost)
{
	/* Guards against a choice that needs each report: datagrams may be lost. */
	struct balance_setup setup = {.dispatchers = 12, .load = 0.5, .hedges = true};
	struct balance_result before[SEEDS];

	setup.delay_us = BALANCE_OWN_REPORTS;
	run_seeds(setup, before);
	setup.states_speed = true;
	setup.delay_us = PD_LOAD_REPORT_INTERVAL_US;
	setup.loss = 0.5;
	check_row(&setup, before);
}
END_TEST

/* The choice before upstreams could state how long work takes; a copy that isn't changed. */
static double old_cost(const struct pd_candidate *c)
{
	double slots = c->slots ? c->slots : 1;
	double load_per_slot = (c->in_flight + c->reported_load) / slots;
	double cost = c->latency_ratio * c->latency_ratio * (1 + load_per_slot * load_per_slot);

	cost += c->same_zone ? 0 : 0.35;
	cost += c->connected ? 0 : 0.8;
	cost += c->at_connection_limit ? 3.0 : 0;
	cost += c->unanswered ? 50.0 : 0;
	cost += c->cold ? 100.0 : 0;
	return cost + (c->ejected ? 1000.0 : 0);
}

static long old_pick(const struct pd_candidate *candidates, size_t count, uint64_t random)
{
	double best_cost = 0;
	long best = -1;

	for (size_t i = 0; i < count; i++) {
		size_t index = (i + random) % count;
		double cost = old_cost(&candidates[index]);

		if (candidates[index].usable && (best < 0 || cost < best_cost - 0.1)) {
			best = (long)index;
			best_cost = cost;
		}
	}
	return best;
}

START_TEST(unstated_speed_keeps_the_choice)
{
	/* Guards against another choice than before where no upstream states how long work takes,
	 * whatever the fields for those that do contain.
	 */
	srand(11);
	for (int i = 0; i < 200000; i++) {
		struct pd_candidate candidates[5];
		size_t count = 1 + (size_t)rand() % 5;

		for (size_t c = 0; c < count; c++) {
			candidates[c] = (struct pd_candidate){
				.usable = rand() % 5,
				.cold = !(rand() % 8),
				.unanswered = !(rand() % 8),
				.ejected = !(rand() % 8),
				.at_connection_limit = !(rand() % 8),
				.connected = rand() % 2,
				.same_zone = rand() % 2,
				.latency_ratio = 1 + rand() % 100 / 30.0,
				.in_flight = rand() % 4,
				.reported_load = rand() % 100 / 20.0,
				.slots = (uint32_t)rand() % 4,
				.work_ratio = rand() % 10,
				.expected_load = rand() % 10,
				.silence = rand() % 10,
			};
			ck_assert(pd_candidate_cost(&candidates[c]) == old_cost(&candidates[c]));
		}
		ck_assert_int_eq(pd_pick(candidates, count, (uint64_t)i),
				 old_pick(candidates, count, (uint64_t)i));
	}
}
END_TEST

static struct pd_candidate idle_candidate(void)
{
	return (struct pd_candidate){.usable = true,
				     .connected = true,
				     .same_zone = true,
				     .latency_ratio = 1,
				     .slots = 2,
				     .states_speed = true,
				     .work_ratio = 1};
}

START_TEST(slow_queued_and_silent_upstreams_are_avoided)
{
	/* Guards against parts that wait for a slow machine, a queue or a pause while another
	 * upstream has a free slot, and against traffic between zones without such a reason.
	 */
	struct pd_candidate candidates[2];

	for (uint64_t random = 0; random < 4; random++) {
		candidates[0] = candidates[1] = idle_candidate();
		candidates[1].same_zone = false;
		ck_assert_int_eq(pd_pick(candidates, 2, random), 0);
		candidates[0].work_ratio = 2.5;
		ck_assert_int_eq(pd_pick(candidates, 2, random), 1);
		candidates[0] = idle_candidate();
		candidates[0].expected_load = 2;
		ck_assert_int_eq(pd_pick(candidates, 2, random), 1);
		candidates[0] = idle_candidate();
		candidates[0].silence = PD_SILENCE_OVERDUE;
		ck_assert_int_eq(pd_pick(candidates, 2, random), 1);
		/* A slow machine is better than a paused one. */
		candidates[1].work_ratio = 2.5;
		ck_assert_int_eq(pd_pick(candidates, 2, random), 1);
	}
	ck_assert(pd_candidate_has_free_slot(&candidates[1]));
	ck_assert(!pd_candidate_has_free_slot(&candidates[0]));
	candidates[1].expected_load = 1.5;
	ck_assert(!pd_candidate_has_free_slot(&candidates[1]));
}
END_TEST

START_TEST(expected_load_follows_the_requests_since_the_report)
{
	/* Guards against a load that stays high after the upstream has done its work, and against
	 * one that forgets the requests which this instance has sent.
	 */
	struct pd_load_estimate estimate = {.reported = 4, .slots = 2, .work_us = 10000};

	ck_assert_double_eq_tol(pd_expected_load(&estimate), 4, 1e-9);
	estimate.age_us = 10000; /* two slots have done one request each */
	ck_assert_double_eq_tol(pd_expected_load(&estimate), 2, 1e-9);
	estimate.sent_since = 3;
	ck_assert_double_eq_tol(pd_expected_load(&estimate), 5, 1e-9);
	estimate.age_us = 1000000;
	estimate.in_flight = 2;
	ck_assert_double_eq_tol(pd_expected_load(&estimate), 2, 1e-9);
	estimate = (struct pd_load_estimate){.reported = 4, .age_us = -5, .slots = 0, .work_us = 9};
	ck_assert_double_eq_tol(pd_expected_load(&estimate), 4, 1e-9);
	/* Without a known time of work, the weight of the report falls as before. */
	estimate = (struct pd_load_estimate){.reported = 4, .age_us = 60000, .slots = 2};
	ck_assert_double_eq_tol(pd_expected_load(&estimate), 2, 1e-9);
	ck_assert_double_eq_tol(pd_speed_weight(100000), 0.5, 1e-9);
	ck_assert_double_eq_tol(pd_speed_weight(-1), 1, 1e-9);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		one_dispatcher,
		one_dispatcher_with_hedges,
		one_dispatcher_in_each_zone,
		one_dispatcher_in_each_zone_with_hedges,
		two_dispatchers_in_each_zone,
		two_dispatchers_in_each_zone_with_hedges,
		four_dispatchers_in_each_zone,
		four_dispatchers_in_each_zone_with_hedges,
		hundred_dispatchers,
		hundred_dispatchers_with_hedges,
		three_hundred_dispatchers,
		three_hundred_dispatchers_with_hedges,
		speed_may_be_relative_to_the_machine,
		half_of_the_datagrams_are_lost,
		unstated_speed_keeps_the_choice,
		slow_queued_and_silent_upstreams_are_avoided,
		expected_load_follows_the_requests_since_the_report,
	};

	/* A failed test keeps the rows that were printed. */
	setvbuf(stdout, NULL, _IOLBF, 0);
	pd_log_open("test_balance", PD_LOG_ERROR);
	return suite_run("balance", tests, COUNT(tests));
}
