/*
 * Tests of latency quantiles. They guard against wrong or stale quantiles, with which hedges would
 * be sent too early or too late, samples that never leave the ring buffer, and quantiles of too few
 * samples.
 */
#include <check.h>
#include <gsl/gsl_rng.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "latency.h"

START_TEST(fallback_is_returned_with_too_few_samples)
{
	struct pd_latency latency;

	pd_latency_init(&latency);
	ck_assert_double_eq(pd_latency_mean(&latency), 0);
	for (int i = 0; i < 7; i++) {
		ck_assert_int_eq(pd_latency_quantile(&latency, 0.5, 777), 777);
		pd_latency_add(&latency, 100);
	}
	ck_assert_int_eq(pd_latency_quantile(&latency, 0.5, 777), 777);
	pd_latency_add(&latency, 100);
	ck_assert_int_eq(pd_latency_quantile(&latency, 0.5, 777), 100);
}
END_TEST

START_TEST(quantiles_are_exact_on_known_samples)
{
	struct pd_latency latency;

	pd_latency_init(&latency);
	for (int i = 100; i >= 1; i--)
		pd_latency_add(&latency, i);
	ck_assert_int_eq(pd_latency_quantile(&latency, 0, 0), 1);
	ck_assert_int_eq(pd_latency_quantile(&latency, 0.5, 0), 50);
	ck_assert_int_eq(pd_latency_quantile(&latency, 0.99, 0), 99);
	ck_assert_int_eq(pd_latency_quantile(&latency, 1, 0), 100);
	ck_assert_int_eq(pd_latency_quantile(&latency, 2, 0), 100);
	ck_assert_int_eq(pd_latency_quantile(&latency, -1, 0), 1);
	ck_assert_int_eq(pd_latency_quantile(&latency, NAN, 0), 1);
}
END_TEST

START_TEST(new_samples_replace_old_ones_within_one_sort_interval)
{
	struct pd_latency latency;

	pd_latency_init(&latency);
	for (int i = 0; i < PD_LATENCY_SAMPLES; i++)
		pd_latency_add(&latency, 1000);
	ck_assert_int_eq(pd_latency_quantile(&latency, 1, 0), 1000);
	for (int i = 0; i < 16; i++)
		pd_latency_add(&latency, 9000);
	ck_assert_int_eq(pd_latency_quantile(&latency, 1, 0), 9000);
	ck_assert_int_eq(pd_latency_quantile(&latency, 0.5, 0), 1000);
	for (int i = 0; i < PD_LATENCY_SAMPLES; i++)
		pd_latency_add(&latency, 9000);
	ck_assert_int_eq(pd_latency_quantile(&latency, 0, 0), 9000);
	ck_assert_double_eq_tol(pd_latency_mean(&latency), 9000, 1);
}
END_TEST

static int compare(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

/* After each sort interval, a quantile must be that of the latest PD_LATENCY_SAMPLES samples. */
START_TEST(quantiles_agree_with_a_sorted_window)
{
	static int64_t all[4096];
	int64_t window[PD_LATENCY_SAMPLES];
	gsl_rng *rng = gsl_rng_alloc(gsl_rng_mt19937);
	struct pd_latency latency;

	gsl_rng_set(rng, 5);
	pd_latency_init(&latency);
	for (size_t i = 0; i < 4096; i++) {
		size_t count = i + 1 < PD_LATENCY_SAMPLES ? i + 1 : PD_LATENCY_SAMPLES;

		all[i] = (int64_t)gsl_rng_uniform_int(rng, 100000);
		pd_latency_add(&latency, all[i]);
		if ((i + 1) % 16)
			continue;
		memcpy(window, all + i + 1 - count, count * sizeof(*window));
		qsort(window, count, sizeof(*window), compare);
		ck_assert_int_eq(pd_latency_quantile(&latency, 0.5, -1), window[count / 2 - 1]);
		ck_assert_int_eq(pd_latency_quantile(&latency, 0.75, -1),
				 window[count * 3 / 4 - 1]);
		ck_assert_int_eq(pd_latency_quantile(&latency, 1, -1), window[count - 1]);
	}
	gsl_rng_free(rng);
}
END_TEST

START_TEST(negative_samples_count_as_zero)
{
	struct pd_latency latency;

	pd_latency_init(&latency);
	for (int i = 0; i < 8; i++)
		pd_latency_add(&latency, -5);
	ck_assert_int_eq(pd_latency_quantile(&latency, 0.5, 7), 0);
	ck_assert_double_eq(pd_latency_mean(&latency), 0);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("latency");
	TCase *tcase = tcase_create("latency");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(tcase, fallback_is_returned_with_too_few_samples);
	tcase_add_test(tcase, quantiles_are_exact_on_known_samples);
	tcase_add_test(tcase, new_samples_replace_old_ones_within_one_sort_interval);
	tcase_add_test(tcase, quantiles_agree_with_a_sorted_window);
	tcase_add_test(tcase, negative_samples_count_as_zero);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
