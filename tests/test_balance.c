/**
 * DOC: Tests of load balancing with reports that are out of date, on the simulation of
 * balance_sim.h
 *
 * Each figure is the mean of several seeds.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "balance_sim.h"
#include "log.h"
#include "suite.h"

#define SEEDS 3
#define PARTS 30000

static const int dispatcher_counts[] = {1, 3, 6, 12, 100, 300};
static const double loads[] = {0.1, 0.5, 0.75};

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

static struct balance_result run_seeds(struct balance_setup setup)
{
	struct balance_result mean = {0};

	setup.parts = PARTS;
	for (setup.seed = 1; setup.seed <= SEEDS; setup.seed++) {
		struct balance_result result = balance_run(&setup);

		mean.p50_ms += result.p50_ms / SEEDS;
		mean.p99_ms += result.p99_ms / SEEDS;
		mean.query_p99_ms += result.query_p99_ms / SEEDS;
		mean.spread += result.spread / SEEDS;
		mean.idle_share += result.idle_share / SEEDS;
		mean.sent += result.sent / SEEDS;
		mean.passed += result.passed / SEEDS;
	}
	return mean;
}

static void print_head(void)
{
	printf("dispatchers load hedges  p50   p99 query-p99 spread idle-slot  sent\n");
}

static void print_row(const struct balance_setup *setup, const struct balance_result *result)
{
	printf("%11d %4.2f %6s %4.1f %5.1f %9.1f %6.2f %9.3f %5.3f\n", setup->dispatchers,
	       setup->load, setup->hedges ? "yes" : "no", result->p50_ms, result->p99_ms,
	       result->query_p99_ms, result->spread, result->idle_share, result->sent);
}

START_TEST(own_reports_only)
{
	/* Guards against more requests to upstreams than there are parts, and hedges beyond the
	 * retry budget of 0.2 of them. The table is the state before load reports were shared.
	 */
	print_head();
	for (size_t m = 0; m < COUNT(dispatcher_counts); m++) {
		for (size_t l = 0; l < COUNT(loads); l++) {
			for (int hedges = 0; hedges < 2; hedges++) {
				struct balance_setup setup = {.dispatchers = dispatcher_counts[m],
							      .delay_us = BALANCE_OWN_REPORTS,
							      .load = loads[l],
							      .hedges = hedges};
				struct balance_result result = run_seeds(setup);

				print_row(&setup, &result);
				ck_assert_double_ge(result.sent, 1);
				ck_assert_double_le(result.sent, hedges ? 1.2 : 1);
			}
		}
	}
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {own_reports_only};

	pd_log_open("test_balance", PD_LOG_ERROR);
	return suite_run("balance", tests, COUNT(tests));
}
