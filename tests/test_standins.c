/*
 * Tests the parts of the stand-ins that need no sockets. Guards against service times that depend
 * on anything but seed, name and body; bucket ranges with gaps or overlaps; an instance list that
 * doesn't lag behind; an event history that loses changes without reporting it; versions that are
 * used twice; and wrong counts of calls and overwritten records.
 */
#include <check.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "os.h"

/* Test programs aren't linked with these objects of the stand-ins, so include their sources. */
#include "../standins/draw.c" /* NOLINT(bugprone-suspicious-include) */
#include "../standins/listing.c" /* NOLINT(bugprone-suspicious-include) */
#include "../standins/rate.c" /* NOLINT(bugprone-suspicious-include) */
#include "../standins/record.c" /* NOLINT(bugprone-suspicious-include) */
#include "../standins/store.c" /* NOLINT(bugprone-suspicious-include) */

#define DRAWS 20000

static const struct standin_service_distribution lognormal = {
	.seed = 7, .name = {"u1", 2}, .median_us = 5000, .sigma = 0.5, .slow_factor = 10};

static int64_t draw_service_us(const struct standin_service_distribution *distribution, int number)
{
	char body[32];

	snprintf(body, sizeof(body), "query %d", number);
	return standin_draw_service_us(distribution, pd_str_from(body));
}

START_TEST(service_times_follow_the_distribution)
{
	int below_median = 0;
	int below_one_sigma = 0;

	for (int i = 0; i < DRAWS; i++) {
		int64_t us = draw_service_us(&lognormal, i);

		below_median += us < 5000;
		below_one_sigma += us < 5000 * exp(0.5);
	}
	/* Tolerance: five standard deviations of the binomial distribution of the counts. */
	ck_assert_int_lt(abs(below_median - DRAWS / 2), 5 * 71);
	ck_assert_int_lt(abs(below_one_sigma - (int)(DRAWS * 0.8413)), 5 * 52);
}
END_TEST

START_TEST(service_times_depend_on_seed_name_and_body_only)
{
	struct standin_service_distribution other_seed = lognormal;
	struct standin_service_distribution other_name = lognormal;

	other_seed.seed++;
	other_name.name = PD_STR("u2");
	ck_assert_int_eq(draw_service_us(&lognormal, 1), draw_service_us(&lognormal, 1));
	ck_assert_int_ne(draw_service_us(&lognormal, 1), draw_service_us(&lognormal, 2));
	ck_assert_int_ne(draw_service_us(&lognormal, 1), draw_service_us(&other_seed, 1));
	ck_assert_int_ne(draw_service_us(&lognormal, 1), draw_service_us(&other_name, 1));
}
END_TEST

START_TEST(slow_requests_multiply_the_same_service_time)
{
	struct standin_service_distribution slow = lognormal;
	int count = 0;

	slow.slow_share = 0.02;
	for (int i = 0; i < DRAWS; i++) {
		int64_t plain_us = draw_service_us(&lognormal, i);
		int64_t slow_us = draw_service_us(&slow, i);

		if (slow_us == plain_us)
			continue;
		ck_assert_int_le(llabs(slow_us - 10 * plain_us), 10); /* rounding */
		count++;
	}
	ck_assert_int_lt(abs(count - DRAWS / 50), 5 * 20);
}
END_TEST

static void check_ranges_cover_buckets(uint64_t snapshot, uint32_t buckets, uint32_t shards)
{
	uint32_t next = 0;

	for (uint32_t shard = 0; shard < shards; shard++) {
		uint32_t first;
		uint32_t last;

		if (!standin_shard_range(snapshot, buckets, shard, shards, &first, &last))
			continue;
		ck_assert_uint_eq(first, next);
		ck_assert_uint_ge(last, first);
		next = last + 1;
	}
	ck_assert_uint_eq(next, buckets);
}

START_TEST(shard_ranges_cover_all_buckets_in_each_snapshot)
{
	static const uint32_t shards[] = {1, 2, 3, 20, 30, 390, 1000, 1200};

	for (uint64_t snapshot = 1; snapshot <= 200; snapshot++) {
		for (size_t i = 0; i < sizeof(shards) / sizeof(*shards); i++)
			check_ranges_cover_buckets(snapshot, 1000, shards[i]);
	}
}
END_TEST

START_TEST(shard_ranges_move_between_snapshots)
{
	uint32_t previous_last = 0;
	int move_count = 0;

	for (uint64_t snapshot = 1; snapshot <= 200; snapshot++) {
		uint32_t first;
		uint32_t last;

		ck_assert(standin_shard_range(snapshot, 1000, 3, 20, &first, &last));
		move_count += snapshot > 1 && last != previous_last;
		previous_last = last;
	}
	/* The shift is drawn anew 100 times, and equals the previous one in 1 of 25 cases. */
	ck_assert_int_ge(move_count, 80);
	ck_assert_int_le(move_count, 100);
}
END_TEST

static void set_instance(struct standin_listing *listing, const char *name,
			 enum standin_instance_state state, int64_t at_us)
{
	struct standin_instance change = {
		.address = {"127.0.0.1", 7001}, .state = state, .changed_us = at_us};

	ck_assert(pd_name_set(&change.name, pd_str_from(name)));
	ck_assert(standin_listing_set(listing, &change));
}

static void check_listing(const struct standin_listing *listing, int64_t now_us,
			  const char *expected)
{
	struct pd_buf out = {0};

	standin_listing_print(listing, now_us, 2000, &out);
	ck_assert_str_eq(out.data, expected);
	pd_buf_finish(&out);
}

START_TEST(instance_list_lags_behind)
{
	struct standin_listing listing = {0};

	set_instance(&listing, "e1", STANDIN_INSTANCE_LIVE, 1000);
	set_instance(&listing, "e1", STANDIN_INSTANCE_LEAVING, 5000);
	set_instance(&listing, "e1", STANDIN_INSTANCE_GONE, 9000);
	check_listing(&listing, 2999, "{\"instances\":[]}");
	check_listing(&listing, 6999,
		      "{\"instances\":[{\"name\":\"e1\",\"role\":\"entry\",\"address\":"
		      "\"127.0.0.1:7001\",\"state\":\"live\"}]}");
	check_listing(&listing, 7000,
		      "{\"instances\":[{\"name\":\"e1\",\"role\":\"entry\",\"address\":"
		      "\"127.0.0.1:7001\",\"state\":\"leaving\"}]}");
	check_listing(&listing, 11000, "{\"instances\":[]}");
	standin_listing_finish(&listing);
}
END_TEST

static enum standin_store_result put(struct standin_store *store, const char *key,
				     uint64_t if_version, uint64_t *version)
{
	struct pd_str value = PD_STR("1");

	return standin_store_write(store, pd_str_from(key), &value, true, if_version, version);
}

START_TEST(versions_are_not_reused_after_a_deletion)
{
	struct standin_store store;
	uint64_t version;

	ck_assert(standin_store_init(&store));
	ck_assert_int_eq(put(&store, "a", 0, &version), STANDIN_STORE_OK);
	ck_assert_uint_eq(version, 1);
	ck_assert_int_eq(put(&store, "a", 0, &version), STANDIN_STORE_CONFLICT);
	ck_assert_uint_eq(version, 1);
	ck_assert_int_eq(standin_store_write(&store, PD_STR("a"), NULL, true, 1, &version),
			 STANDIN_STORE_OK);
	ck_assert_ptr_null(standin_store_get(&store, PD_STR("a")));
	ck_assert_int_eq(put(&store, "a", 1, &version), STANDIN_STORE_CONFLICT);
	ck_assert_int_eq(put(&store, "a", 0, &version), STANDIN_STORE_OK);
	ck_assert_uint_eq(version, 3);
	standin_store_finish(&store);
}
END_TEST

START_TEST(history_keeps_ten_thousand_events)
{
	struct standin_store store;
	struct pd_buf out = {0};
	uint64_t version;

	ck_assert(standin_store_init(&store));
	for (uint64_t i = 0; i < 15000; i++) {
		ck_assert_int_eq(put(&store, i % 2 ? "a/1" : "b/1", i / 2, &version),
				 STANDIN_STORE_OK);
	}
	ck_assert(standin_store_has_events_since(&store, 5000));
	ck_assert(!standin_store_has_events_since(&store, 15000 - STANDIN_HISTORY_MAX - 1));
	ck_assert(!standin_store_has_events_since(&store, 15001));
	ck_assert_uint_eq(standin_store_events(&store, PD_STR("a/"), 5000, SIZE_MAX, &out), 5000);
	pd_buf_clear(&out);
	ck_assert_uint_eq(standin_store_events(&store, PD_STR("a/"), 14998, SIZE_MAX, &out), 1);
	ck_assert_str_eq(out.data, "{\"revision\":15000,\"events\":[{\"key\":\"a/1\",\"version\":"
				   "7500,\"value\":1}]}");
	pd_buf_clear(&out);
	/* A response that reaches the size limit contains the revision of its last event. */
	ck_assert_uint_eq(standin_store_events(&store, PD_STR(""), 5000, 1, &out), 1);
	ck_assert(!strncmp(out.data, "{\"revision\":5001,", 17));
	pd_buf_finish(&out);
	standin_store_finish(&store);
}
END_TEST

START_TEST(rate_reports_the_highest_number_of_calls_per_second)
{
	struct standin_rate rate = {0};

	for (int i = 0; i < 30; i++)
		standin_rate_count(&rate, PD_USEC_PER_SEC + i * 20000); /* within 0.6 s */
	for (int i = 0; i < 30; i++)
		standin_rate_count(&rate, 5 * PD_USEC_PER_SEC + i * 100000); /* 10/s */
	ck_assert_uint_eq(rate.max_per_second, 30);
	ck_assert_uint_eq(rate.last_second_calls, 10);
	ck_assert_uint_eq(rate.total, 60);
}
END_TEST

START_TEST(overwritten_records_are_counted)
{
	struct standin_records records = {0};
	struct pd_buf out = {0};

	for (uint64_t i = 1; i <= STANDIN_RECORDS_MAX + 3; i++)
		ck_assert_uint_eq(standin_records_add(&records, PD_STR("id")), i);
	ck_assert_uint_eq(standin_records_dropped(&records, 0), 3);
	ck_assert_uint_eq(standin_records_dropped(&records, 3), 0);
	ck_assert_ptr_null(standin_records_get(&records, 3));
	ck_assert_uint_eq(standin_records_get(&records, 4)->seq, 4);
	standin_records_print(&records, STANDIN_RECORDS_MAX + 3, &out);
	ck_assert_str_eq(out.data, "[]");
	pd_buf_finish(&out);
	standin_records_finish(&records);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("standins");
	TCase *tcase = tcase_create("standins");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_set_timeout(tcase, 60); /* seconds; sanitizers are slow on a busy machine */
	tcase_add_test(tcase, service_times_follow_the_distribution);
	tcase_add_test(tcase, service_times_depend_on_seed_name_and_body_only);
	tcase_add_test(tcase, slow_requests_multiply_the_same_service_time);
	tcase_add_test(tcase, shard_ranges_cover_all_buckets_in_each_snapshot);
	tcase_add_test(tcase, shard_ranges_move_between_snapshots);
	tcase_add_test(tcase, instance_list_lags_behind);
	tcase_add_test(tcase, versions_are_not_reused_after_a_deletion);
	tcase_add_test(tcase, history_keeps_ten_thousand_events);
	tcase_add_test(tcase, rate_reports_the_highest_number_of_calls_per_second);
	tcase_add_test(tcase, overwritten_records_are_counted);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
