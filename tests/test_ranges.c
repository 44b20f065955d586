/*
 * Tests of bucket sets. They guard against ranges that aren't merged, and buckets lost at the ends
 * of ranges, both of which would make the coverage wrong, and against texts from upstreams that
 * exceed the limits.
 */
#include <check.h>
#include <gsl/gsl_rng.h>
#include <stdlib.h>
#include <string.h>

#include "ranges.h"

#define BUCKETS 300
#define ROUNDS	3000

/** struct model - reference implementation of a set: whether each bucket is in it */
struct model {
	bool in[BUCKETS];
};

/* @set must have exactly the buckets of @model, as sorted, disjoint, non-adjacent ranges. */
static void assert_equals_model(const struct pd_ranges *set, const struct model *model)
{
	struct model seen = {0};
	uint64_t total = 0;

	for (uint32_t i = 0; i < set->count; i++) {
		ck_assert_uint_le(set->items[i].first, set->items[i].last);
		ck_assert_uint_lt(set->items[i].last, BUCKETS);
		if (i)
			ck_assert_uint_gt(set->items[i].first, set->items[i - 1].last + 1);
		for (uint32_t b = set->items[i].first; b <= set->items[i].last; b++)
			seen.in[b] = true;
	}
	for (uint32_t b = 0; b < BUCKETS; b++)
		total += model->in[b];
	ck_assert(!memcmp(&seen, model, sizeof(seen)));
	ck_assert_uint_eq(pd_ranges_total(set), total);
}

/* Adds the same random buckets to @set and @model. */
static void random_set(gsl_rng *rng, struct pd_ranges *set, struct model *model)
{
	unsigned long adds = gsl_rng_uniform_int(rng, 20);

	memset(model, 0, sizeof(*model));
	for (unsigned long i = 0; i < adds; i++) {
		uint32_t first = (uint32_t)gsl_rng_uniform_int(rng, BUCKETS);
		uint32_t last = first + (uint32_t)gsl_rng_uniform_int(rng, 12);

		if (last >= BUCKETS)
			last = BUCKETS - 1;
		ck_assert_int_eq(pd_ranges_add(set, first, last), PD_OK);
		for (uint32_t b = first; b <= last; b++)
			model->in[b] = true;
	}
	assert_equals_model(set, model);
}

/* Checks all operations on two random sets. */
static void check_pair(gsl_rng *rng)
{
	struct pd_ranges a = {0};
	struct pd_ranges b = {0};
	struct pd_ranges out = {0};
	struct pd_buf text = {0};
	struct model ma;
	struct model mb;
	bool disjoint = true;

	random_set(rng, &a, &ma);
	random_set(rng, &b, &mb);
	for (uint32_t i = 0; i < BUCKETS; i++)
		disjoint = disjoint && !(ma.in[i] && mb.in[i]);
	ck_assert(pd_ranges_disjoint(&a, &b) == disjoint);
	pd_ranges_print(&a, &text);
	ck_assert_int_eq(pd_ranges_parse(&out, pd_buf_str(&text), BUCKETS, NULL), PD_OK);
	assert_equals_model(&out, &ma);
	ck_assert_int_eq(pd_ranges_complement(&a, BUCKETS, &out), PD_OK);
	for (uint32_t i = 0; i < BUCKETS; i++)
		ma.in[i] = !ma.in[i];
	assert_equals_model(&out, &ma);
	ck_assert_int_eq(pd_ranges_union(&out, &b), PD_OK);
	for (uint32_t i = 0; i < BUCKETS; i++)
		ma.in[i] = ma.in[i] || mb.in[i];
	assert_equals_model(&out, &ma);
	pd_ranges_finish(&a);
	pd_ranges_finish(&b);
	pd_ranges_finish(&out);
	pd_buf_finish(&text);
}

START_TEST(random_sets_match_the_reference_model)
{
	gsl_rng *rng = gsl_rng_alloc(gsl_rng_mt19937);

	gsl_rng_set(rng, 47);
	for (int i = 0; i < ROUNDS; i++)
		check_pair(rng);
	gsl_rng_free(rng);
}
END_TEST

START_TEST(malformed_texts_are_rejected)
{
	static const char *const malformed[] = {",", "1,", ",1",    "5-4", "1-",   "-1",
						"a", "1 ", "0-100", "100", "1--2", "4294967296"};
	struct pd_ranges set = {0};
	struct pd_buf out = {0};
	struct pd_error err;

	ck_assert_int_eq(pd_ranges_parse(&set, PD_STR("60-69,0-49,7-7,50,99"), 100, &err), PD_OK);
	pd_ranges_print(&set, &out);
	ck_assert_str_eq(out.data, "0-50,60-69,99");
	for (size_t i = 0; i < sizeof(malformed) / sizeof(malformed[0]); i++) {
		ck_assert_int_eq(pd_ranges_parse(&set, pd_str_from(malformed[i]), 100, &err),
				 PD_INVALID);
		ck_assert_uint_eq(set.count, 0);
	}
	pd_ranges_parse(&set, PD_STR("0-9,20-120"), 100, &err);
	ck_assert_str_eq(err.text, "range \"20-120\": expected FIRST-LAST or a number, below 100");
	ck_assert_int_eq(pd_ranges_parse(&set, PD_STR(""), 100, &err), PD_OK);
	ck_assert_uint_eq(set.count, 0);
	pd_buf_finish(&out);
	pd_ranges_finish(&set);
}
END_TEST

START_TEST(complement_ends_at_the_bucket_count)
{
	struct pd_ranges set = {0};
	struct pd_ranges out = {0};

	ck_assert_int_eq(pd_ranges_add(&set, 5, 20), PD_OK);
	ck_assert_int_eq(pd_ranges_complement(&set, 10, &out), PD_OK);
	ck_assert_uint_eq(out.count, 1);
	ck_assert_uint_eq(out.items[0].last, 4);
	ck_assert_int_eq(pd_ranges_complement(&set, 5, &out), PD_OK);
	ck_assert_uint_eq(pd_ranges_total(&out), 5);
	ck_assert_int_eq(pd_ranges_complement(&set, 0, &out), PD_OK);
	ck_assert_uint_eq(out.count, 0);
	pd_ranges_finish(&set);
	pd_ranges_finish(&out);
}
END_TEST

START_TEST(number_of_ranges_is_bounded)
{
	struct pd_ranges set = {0};
	struct pd_buf text = {0};

	for (uint32_t i = 0; i < PD_RANGES_MAX; i++)
		ck_assert_int_eq(pd_ranges_add(&set, i * 2, i * 2), PD_OK);
	ck_assert_int_eq(pd_ranges_add(&set, PD_RANGES_MAX * 2, PD_RANGES_MAX * 2), PD_TOO_LARGE);
	ck_assert_int_eq(pd_ranges_add(&set, 1, 1), PD_OK);
	ck_assert_uint_eq(set.count, PD_RANGES_MAX - 1);
	ck_assert_int_eq(pd_ranges_add(&set, 0, PD_BUCKET_MAX), PD_INVALID);
	for (uint32_t i = 0; i <= PD_RANGES_MAX; i++)
		pd_buf_printf(&text, "%s1", i ? "," : "");
	ck_assert_int_eq(pd_ranges_parse(&set, pd_buf_str(&text), 10, NULL), PD_TOO_LARGE);
	ck_assert_uint_eq(set.count, 0);
	pd_buf_finish(&text);
	pd_ranges_finish(&set);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("ranges");
	TCase *tcase = tcase_create("ranges");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_set_timeout(tcase, 60);
	tcase_add_test(tcase, random_sets_match_the_reference_model);
	tcase_add_test(tcase, malformed_texts_are_rejected);
	tcase_add_test(tcase, complement_ends_at_the_bucket_count);
	tcase_add_test(tcase, number_of_ranges_is_bounded);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
