/**
 * DOC: Tests of the table of requests that crash upstreams
 *
 * A request must not be refused because upstreams ended while they were executing it among others.
 * One that crashes each upstream must be refused after three crashes, whoever observes them.
 */
#include <stdio.h>

#include "crashes.h"
#include "os.h"
#include "suite.h"

#define QUERY	 0x1111 /* fingerprint of a request */
#define NOW	 (1000 * PD_USEC_PER_SEC)
#define BORN_MS	 1700000000000
#define SERVICE	 0xaaaa
#define SERVICE2 0xbbbb

static struct pd_crashes table[2];

static void set_up(void)
{
	pd_crashes_init(&table[0]);
	pd_crashes_init(&table[1]);
}

static void tear_down(void)
{
	pd_crashes_finish(&table[0]);
	pd_crashes_finish(&table[1]);
}

/* Returns the crash that an instance observes on a connection that was opened at @connected_us. */
static struct pd_crash_event observe(struct pd_crashes *crashes, const char *upstream,
				     int64_t born_ms, int64_t connected_us, int64_t broken_us)
{
	struct pd_crash_origin origin = {pd_str_from(upstream), born_ms, connected_us};
	struct pd_crash_event event = {.service = SERVICE, .broken_us = broken_us};

	pd_crashes_name(crashes, QUERY, &origin, &event.name);
	return event;
}

/* Records the crash of an upstream, which has started once. */
static enum pd_crash_verdict record(struct pd_crashes *crashes, const char *upstream,
				    uint64_t service, int64_t now_us)
{
	struct pd_crash_event event = observe(crashes, upstream, BORN_MS, NOW / 2, now_us);

	event.service = service;
	return pd_crashes_add(crashes, QUERY, &event, now_us);
}

static size_t answer(struct pd_crashes *crashes, uint64_t service, int64_t now_us)
{
	struct pd_crash_event cleared[PD_CRASH_EVENTS_MAX];

	return pd_crashes_answer(crashes, QUERY, service, now_us, cleared);
}

START_TEST(one_crash_counts_once_whoever_observes_it)
{
	/* Guards against a popular query that is refused because one upstream ended: each broken
	 * connection counted as a crash.
	 */
	set_up();
	for (int64_t i = 0; i < 6; i++) {
		struct pd_crash_event event =
			observe(&table[i % 2], "desk-1", BORN_MS, NOW - i, NOW + 50 * i);

		/* Both instances learn of what the other one has observed. */
		pd_crashes_add(&table[0], QUERY, &event, NOW + 300);
		pd_crashes_add(&table[1], QUERY, &event, NOW + 300);
	}
	ck_assert(!pd_crashes_is_blocked(&table[0], QUERY, NOW + 400));
	ck_assert_int_eq(record(&table[0], "desk-2", SERVICE, NOW + 500), PD_CRASH_RECORDED);
	ck_assert(!pd_crashes_is_blocked(&table[0], QUERY, NOW + 500));
	ck_assert_int_eq(record(&table[0], "desk-3", SERVICE, NOW + 600), PD_CRASH_RECORDED);
	ck_assert(pd_crashes_is_blocked(&table[0], QUERY, NOW + 600));
	tear_down();
}
END_TEST

START_TEST(each_start_of_an_upstream_can_crash)
{
	/* Guards against crashes that are taken for one, because the upstream starts again under
	 * its id, or isn't even known to have started again.
	 */
	struct pd_crash_event first, second, third;

	set_up();
	first = observe(&table[0], "desk-1", BORN_MS, NOW - 1, NOW);
	ck_assert_int_eq(pd_crashes_add(&table[0], QUERY, &first, NOW), PD_CRASH_RECORDED);
	second = observe(&table[0], "desk-1", BORN_MS + 5000, NOW + 10, NOW + 20);
	ck_assert_int_eq(pd_crashes_add(&table[0], QUERY, &second, NOW + 20), PD_CRASH_RECORDED);
	third = observe(&table[0], "desk-1", BORN_MS + 5000, NOW + 30, NOW + 40);
	ck_assert_int_eq(pd_crashes_add(&table[0], QUERY, &third, NOW + 40), PD_CRASH_RECORDED);
	ck_assert(pd_crashes_is_blocked(&table[0], QUERY, NOW + 40));
	tear_down();
}
END_TEST

START_TEST(an_answer_clears_the_request)
{
	/* Guards against a query that is refused because another request crashes the upstreams that
	 * are executing both: upstreams have answered it between the crashes.
	 */
	static const char *const upstreams[] = {"desk-1", "desk-2", "desk-3", "desk-4"};

	set_up();
	for (int64_t i = 0; i < 4; i++) {
		int64_t now = NOW + i * 5 * PD_USEC_PER_SEC;

		ck_assert_int_eq(record(&table[0], upstreams[i], SERVICE, now), PD_CRASH_RECORDED);
		ck_assert_uint_eq(answer(&table[0], SERVICE, now + PD_USEC_PER_SEC), 1);
		ck_assert(!pd_crashes_is_blocked(&table[0], QUERY, now + PD_USEC_PER_SEC));
	}
	/* A request that was refused by mistake is cleared by a late answer. */
	for (int i = 0; i < 3; i++)
		record(&table[1], upstreams[i], SERVICE, NOW);
	ck_assert(pd_crashes_is_blocked(&table[1], QUERY, NOW));
	ck_assert_uint_eq(answer(&table[1], SERVICE, NOW + 1), 3);
	ck_assert(!pd_crashes_is_blocked(&table[1], QUERY, NOW + 1));
	tear_down();
}
END_TEST

START_TEST(a_crash_shortly_after_an_answer_does_not_count)
{
	/* Guards against a query that is refused because all upstreams of a service end in the same
	 * moment: no answer follows. What is learned late from another instance doesn't count
	 * either. Later crashes do: the request may have begun to crash upstreams.
	 */
	set_up();
	answer(&table[0], SERVICE, NOW);
	ck_assert_int_eq(record(&table[0], "desk-1", SERVICE, NOW + PD_USEC_PER_SEC),
			 PD_CRASH_ANSWERED);
	ck_assert_int_eq(record(&table[0], "desk-2", SERVICE, NOW - PD_USEC_PER_SEC),
			 PD_CRASH_ANSWERED);
	ck_assert_int_eq(record(&table[0], "desk-3", SERVICE, NOW + 2 * PD_CRASH_ANSWERED_US),
			 PD_CRASH_RECORDED);
	tear_down();
}
END_TEST

START_TEST(answers_of_another_service_prove_nothing)
{
	/* Guards against a gathered query that crashes the upstreams of one service and is let
	 * through because the others answer it.
	 */
	set_up();
	for (int i = 0; i < 3; i++) {
		char upstream[16];

		snprintf(upstream, sizeof(upstream), "desk-%d", i);
		answer(&table[0], SERVICE2, NOW + i);
		ck_assert_int_eq(record(&table[0], upstream, SERVICE, NOW + i), PD_CRASH_RECORDED);
		ck_assert_uint_eq(answer(&table[0], SERVICE2, NOW + i), 0);
	}
	ck_assert(pd_crashes_is_blocked(&table[0], QUERY, NOW + 10));
	tear_down();
}
END_TEST

START_TEST(gathered_query_is_not_refused_because_a_zone_ends)
{
	/* Guards against a gathered query that is refused because upstreams of several of its
	 * services ended at once while it was running: the other services have answered it, here or
	 * at the instance that has observed the crashes.
	 */
	struct pd_crash_event event = {.broken_us = NOW, .told = true, .partial = true};

	set_up();
	for (uint64_t i = 1; i <= 4; i++) {
		char upstream[16];

		snprintf(upstream, sizeof(upstream), "desk-%d", (int)i);
		record(&table[0], upstream, i, NOW);
		event.service = i;
		pd_name_set(&event.name, pd_str_from(upstream));
		pd_crashes_add(&table[1], QUERY, &event, NOW);
	}
	ck_assert(pd_crashes_is_blocked(&table[0], QUERY, NOW));
	ck_assert_uint_eq(answer(&table[0], SERVICE, NOW + 1), 0);
	for (int t = 0; t < 2; t++) {
		ck_assert(!pd_crashes_is_blocked(&table[t], QUERY, NOW + 1));
		/* Crashes of one service add up. */
		record(&table[t], "clerk-1", 1, NOW + 2);
		ck_assert(!pd_crashes_is_blocked(&table[t], QUERY, NOW + 2));
		record(&table[t], "clerk-2", 1, NOW + 3);
		ck_assert(pd_crashes_is_blocked(&table[t], QUERY, NOW + 3));
	}
	tear_down();
}
END_TEST

START_TEST(gathered_query_that_crashes_some_services_is_refused)
{
	/* Guards against a gathered query that crashes upstreams of more services than are
	 * recorded, while others answer it: none of them would reach the limit.
	 */
	set_up();
	for (int run = 0; run < 3; run++) {
		ck_assert(!pd_crashes_is_blocked(&table[0], QUERY, NOW + run * 100));
		answer(&table[0], SERVICE, NOW + run * 100);
		for (int i = 1; i <= 3 * PD_CRASH_EVENTS_MAX; i++) {
			char upstream[32];

			snprintf(upstream, sizeof(upstream), "desk-%d-%d", i, run);
			record(&table[0], upstream, (uint64_t)i, NOW + run * 100 + i);
		}
	}
	ck_assert(pd_crashes_is_blocked(&table[0], QUERY, NOW + 300));
	tear_down();
}
END_TEST

START_TEST(crashes_in_several_services_add_up_without_an_answer)
{
	/* Guards against a gathered query that crashes an upstream of each of its services, and
	 * would need three crashes of each.
	 */
	set_up();
	record(&table[0], "desk-1", SERVICE, NOW);
	record(&table[0], "clerk-1", SERVICE2, NOW);
	record(&table[0], "clerk-2", SERVICE2, NOW);
	ck_assert(pd_crashes_is_blocked(&table[0], QUERY, NOW));
	tear_down();
}
END_TEST

START_TEST(an_old_crash_does_not_count)
{
	/* Guards against reports of processes that have ended, which count as crashes of the moment
	 * in which they are read.
	 */
	set_up();
	for (int i = 0; i < 3; i++) {
		char upstream[16];
		struct pd_crash_event event;

		snprintf(upstream, sizeof(upstream), "desk-%d", i);
		event = observe(&table[0], upstream, BORN_MS, 0,
				NOW - PD_CRASH_EXPIRY_US - PD_USEC_PER_SEC);
		ck_assert_int_eq(pd_crashes_add(&table[0], QUERY, &event, NOW), PD_CRASH_IGNORED);
	}
	ck_assert(!pd_crashes_is_blocked(&table[0], QUERY, NOW));
	tear_down();
}
END_TEST

START_TEST(blocked_request_is_tried_by_one_instance_after_another)
{
	/* Guards against a request that crashes upstreams, comes again and again, and is let
	 * through by all instances at once a minute after its last crash, with three crashes until
	 * it is blocked again.
	 */
	static const char *const upstreams[] = {"desk-1", "desk-2", "desk-3"};
	int64_t now, last = NOW + 2;

	set_up();
	for (int t = 0; t < 2; t++) {
		for (int i = 0; i < 3; i++)
			record(&table[t], upstreams[i], SERVICE, NOW + i);
		for (now = last; pd_crashes_is_blocked(&table[t], QUERY, now); now += 1000)
			;
		ck_assert_int_ge(now - last, PD_CRASH_EXPIRY_US);
		ck_assert_int_le(now - last, PD_CRASH_EXPIRY_US + PD_CRASH_SPREAD_US + 1000);
	}
	ck_assert_int_ne(table[0].table[0].spread_us, table[1].table[0].spread_us);
	/* One more crash is enough, and the other instance learns of it. */
	now = last + PD_CRASH_EXPIRY_US + PD_CRASH_SPREAD_US;
	ck_assert_int_eq(record(&table[0], "desk-4", SERVICE, now), PD_CRASH_REPEATED);
	for (int t = 0; t < 2; t++) {
		struct pd_crash_event event = observe(&table[0], "desk-5", BORN_MS, now, now);

		event.told = true;
		pd_crashes_add(&table[t], QUERY, &event, now);
		ck_assert(pd_crashes_is_blocked(&table[t], QUERY, now + PD_CRASH_EXPIRY_US));
	}
	/* An answer ends the trial; without one, it ends after ten minutes. */
	ck_assert_uint_gt(answer(&table[0], SERVICE, now + 1), 0);
	ck_assert(!pd_crashes_is_suspect(&table[0], QUERY, now + 1));
	ck_assert(pd_crashes_is_suspect(&table[1], QUERY, now + PD_CRASH_TRIAL_US));
	ck_assert(!pd_crashes_is_suspect(&table[1], QUERY, now + PD_CRASH_TRIAL_US + 1));
	tear_down();
}
END_TEST

START_TEST(withdrawn_crash_does_not_prolong_the_block)
{
	/* Guards against a request on trial that stays refused because a connection broke, although
	 * its upstream runs.
	 */
	struct pd_crash_event event;
	int64_t later = NOW + PD_CRASH_EXPIRY_US + PD_CRASH_SPREAD_US + 1;

	set_up();
	record(&table[0], "desk-1", SERVICE, NOW);
	record(&table[0], "desk-2", SERVICE, NOW);
	record(&table[0], "desk-3", SERVICE, NOW);
	event = observe(&table[0], "desk-4", BORN_MS, later - 1, later);
	ck_assert_int_eq(pd_crashes_add(&table[0], QUERY, &event, later), PD_CRASH_REPEATED);
	ck_assert(pd_crashes_is_blocked(&table[0], QUERY, later));
	pd_crashes_remove(&table[0], QUERY, &event.name);
	ck_assert(!pd_crashes_is_blocked(&table[0], QUERY, later));
	tear_down();
}
END_TEST

START_TEST(a_deleted_report_clears_unless_it_has_expired)
{
	/* Guards against a request that goes on crashing upstreams, because its reports are deleted
	 * when they expire, and against one that stays refused by instances without an answer.
	 */
	struct pd_crash_event event;

	set_up();
	event = observe(&table[0], "desk-1", BORN_MS, NOW - 1, NOW);
	pd_crashes_add(&table[0], QUERY, &event, NOW);
	ck_assert(!pd_crashes_clear(&table[0], QUERY, &event.name,
				    pd_crash_report_end_us(NOW, false)));
	ck_assert(pd_crashes_clear(&table[0], QUERY, &event.name, NOW + PD_CRASH_EXPIRY_US / 2));
	pd_crashes_add(&table[0], QUERY, &event, NOW);
	record(&table[0], "desk-2", SERVICE, NOW);
	record(&table[0], "desk-3", SERVICE, NOW);
	ck_assert(!pd_crashes_clear(&table[0], QUERY, &event.name,
				    pd_crash_report_end_us(NOW, true)));
	ck_assert(pd_crashes_clear(&table[0], QUERY, &event.name,
				   pd_crash_report_end_us(NOW, false)));
	ck_assert(!pd_crashes_is_suspect(&table[0], QUERY, NOW));
	tear_down();
}
END_TEST

START_TEST(table_is_bounded)
{
	/* Guards against a table that overflows, or keeps old entries in place of new ones. */
	struct pd_crash_event event = {.service = SERVICE, .broken_us = NOW};

	set_up();
	pd_name_set(&event.name, PD_STR("desk-1.00000000"));
	for (uint64_t i = 1; i <= 2 * PD_CRASHES_MAX; i++) {
		event.broken_us++;
		ck_assert_int_eq(pd_crashes_add(&table[0], i, &event, event.broken_us),
				 PD_CRASH_RECORDED);
	}
	ck_assert_uint_eq(table[0].count, PD_CRASHES_MAX);
	ck_assert(pd_crashes_clear(&table[0], 2 * PD_CRASHES_MAX, &event.name, event.broken_us));
	ck_assert(!pd_crashes_clear(&table[0], 1, &event.name, event.broken_us));
	tear_down();
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		one_crash_counts_once_whoever_observes_it,
		each_start_of_an_upstream_can_crash,
		an_answer_clears_the_request,
		a_crash_shortly_after_an_answer_does_not_count,
		answers_of_another_service_prove_nothing,
		gathered_query_is_not_refused_because_a_zone_ends,
		gathered_query_that_crashes_some_services_is_refused,
		crashes_in_several_services_add_up_without_an_answer,
		an_old_crash_does_not_count,
		blocked_request_is_tried_by_one_instance_after_another,
		withdrawn_crash_does_not_prolong_the_block,
		a_deleted_report_clears_unless_it_has_expired,
		table_is_bounded,
	};

	return suite_run("crashes", tests, sizeof(tests) / sizeof(tests[0]));
}
