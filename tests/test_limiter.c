/*
 * Guards the concurrency limit of an upstream: a cold one must not get more than it bears even when
 * its reported state is late or wrong, ordinary stragglers must not cost a warm one its capacity,
 * and recovery after a cold start or a breakage must be quick.
 */
#include <check.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "limiter.h"

#define SERVICE_US   5000 /* usual service time */
#define COLD_FACTOR  6
#define SLOTS	     3
#define STRAGGLER_US (SERVICE_US * 10)

/**
 * struct model - an upstream that is kept busy: whatever the limiter allows is sent
 * @cold_from: start of a cold start (the upstream's real state)
 * @cold_until: its end
 * @reports: what the Load header says
 * @stragglers: share of slow requests
 * @now: simulated time in microseconds
 * @start: dispatch time of each request in flight
 * @end: completion time
 */
struct model {
	struct pd_limiter limiter;
	int64_t cold_from;
	int64_t cold_until;
	enum pd_load_state reports;
	double stragglers;
	int64_t now;
	int64_t start[SLOTS];
	int64_t end[SLOTS];
	uint32_t in_flight;
	uint64_t completed;
	uint32_t most_started_cold; /* most in flight right after a dispatch while cold */
	uint32_t over_one_cold; /* dispatches next to another request while cold */
	struct drand48_data random;
};

static void model_init(struct model *m, long seed)
{
	memset(m, 0, sizeof(*m));
	pd_limiter_init(&m->limiter, SLOTS);
	m->cold_from = INT64_MAX;
	m->cold_until = INT64_MAX;
	m->reports = PD_LOAD_WARM;
	m->now = PD_USEC_PER_SEC;
	srand48_r(seed, &m->random);
}

static double uniform(struct model *m)
{
	double value;

	drand48_r(&m->random, &value);
	return value;
}

static bool is_cold(const struct model *m)
{
	return m->now >= m->cold_from && m->now < m->cold_until;
}

static int64_t oldest(const struct model *m)
{
	int64_t age = 0;

	for (uint32_t i = 0; i < m->in_flight; i++)
		if (m->start[i] > m->limiter.last_normal_sent_us && m->now - m->start[i] > age)
			age = m->now - m->start[i];
	return age;
}

static void dispatch(struct model *m)
{
	int64_t service = SERVICE_US * (0.7 + 0.6 * uniform(m));

	if (uniform(m) < m->stragglers)
		service = STRAGGLER_US;
	if (is_cold(m))
		service *= COLD_FACTOR;
	m->start[m->in_flight] = m->now;
	m->end[m->in_flight++] = m->now + service;
	if (!is_cold(m))
		return;
	m->over_one_cold += m->in_flight > 1;
	if (m->in_flight > m->most_started_cold)
		m->most_started_cold = m->in_flight;
}

static void complete(struct model *m, uint32_t i)
{
	int64_t service = m->end[i] - m->start[i];

	m->in_flight--;
	m->start[i] = m->start[m->in_flight];
	m->end[i] = m->end[m->in_flight];
	m->completed++;
	pd_limiter_reply(&m->limiter, service, m->reports, m->now);
}

static void run(struct model *m, int64_t us)
{
	int64_t until = m->now + us;

	for (; m->now < until; m->now += 100) {
		for (uint32_t i = 0; i < m->in_flight;) {
			if (m->end[i] <= m->now)
				complete(m, i);
			else
				i++;
		}
		while (m->in_flight <
		       pd_limiter_allowed(&m->limiter, false, true, oldest(m), m->now))
			dispatch(m);
	}
}

START_TEST(new_owner_starts_at_one_and_grows_quickly)
{
	struct model m;

	model_init(&m, 1);
	ck_assert_uint_eq(pd_limiter_allowed(&m.limiter, false, true, 0, m.now), 1);
	run(&m, 20 * SERVICE_US);
	ck_assert_uint_eq(pd_limiter_allowed(&m.limiter, false, true, 0, m.now), SLOTS);
	/* A later owner of an upstream with known latency needs a few replies only. */
	pd_limiter_restart(&m.limiter, m.now);
	ck_assert_uint_eq(pd_limiter_allowed(&m.limiter, false, true, 0, m.now), 1);
	for (int i = 0; i < 4; i++)
		pd_limiter_reply(&m.limiter, SERVICE_US, PD_LOAD_WARM, m.now);
	ck_assert_uint_eq(pd_limiter_allowed(&m.limiter, false, true, 0, m.now), SLOTS);
}
END_TEST

/* The upstream turns cold without notice and keeps reporting that it is warm. */
START_TEST(unannounced_cold_start_gets_one_at_a_time)
{
	struct model m;

	model_init(&m, _i + 1);
	m.stragglers = 0.02;
	run(&m, 2 * PD_USEC_PER_SEC);
	m.cold_from = m.now;
	m.cold_until = m.now + 5 * PD_USEC_PER_SEC;
	run(&m, 5 * PD_USEC_PER_SEC);
	ck_assert_uint_le(m.most_started_cold, SLOTS);
	/*
	 * Only replies of requests that began while it was warm may still let some through: at most
	 * one for each that was in flight.
	 */
	ck_assert_uint_le(m.over_one_cold, SLOTS);
	run(&m, PD_USEC_PER_SEC);
	ck_assert_uint_eq(m.limiter.limit, SLOTS);
}
END_TEST

START_TEST(reported_cold_is_believed)
{
	struct model m;

	model_init(&m, 5);
	run(&m, PD_USEC_PER_SEC);
	ck_assert_uint_eq(m.limiter.limit, SLOTS);
	pd_limiter_reply(&m.limiter, SERVICE_US, PD_LOAD_COLD, m.now);
	ck_assert_uint_eq(pd_limiter_allowed(&m.limiter, false, true, 0, m.now), 1);
	for (int i = 0; i < 100; i++)
		pd_limiter_reply(&m.limiter, SERVICE_US, PD_LOAD_COLD, m.now);
	ck_assert_uint_eq(pd_limiter_allowed(&m.limiter, false, true, 0, m.now), 1);
}
END_TEST

/* Stragglers at 2% may cost at most a tenth of the throughput of a fixed limit. */
START_TEST(stragglers_cost_little)
{
	struct model m;
	int64_t us = 60 * PD_USEC_PER_SEC;
	double mean_us = 0.98 * SERVICE_US + 0.02 * STRAGGLER_US;

	model_init(&m, _i + 1);
	m.stragglers = 0.02;
	run(&m, us);
	ck_assert_uint_ge(m.completed, (uint64_t)(0.9 * SLOTS * us / mean_us));
}
END_TEST

START_TEST(overdue_request_adds_no_concurrency)
{
	struct model m;
	int64_t overdue = SERVICE_US * (PD_LIMITER_SLOW_FACTOR + 2);

	model_init(&m, 7);
	run(&m, PD_USEC_PER_SEC);
	ck_assert_uint_eq(pd_limiter_allowed(&m.limiter, false, true, overdue, m.now), SLOTS);
	m.now += overdue;
	ck_assert_uint_eq(pd_limiter_allowed(&m.limiter, false, true, overdue, m.now), 1);
	pd_limiter_reply(&m.limiter, SERVICE_US, PD_LOAD_WARM, m.now);
	ck_assert_uint_eq(pd_limiter_allowed(&m.limiter, false, true, overdue, m.now), SLOTS);
}
END_TEST

/* Guards against waiting for the first slow reply, or trusting a reply to an earlier request. */
START_TEST(overdue_request_waits_for_a_reply_to_a_later_one)
{
	int64_t age = 2 * SERVICE_US + PD_LIMITER_JITTER_US + PD_USEC_PER_MSEC;
	struct model m;

	model_init(&m, 15);
	run(&m, PD_USEC_PER_SEC);
	/* The model's service times lie between 0.7 and 1.3 times the usual one. */
	m.now += age;
	ck_assert_uint_eq(pd_limiter_allowed(&m.limiter, false, true, SERVICE_US, m.now), SLOTS);
	ck_assert_uint_eq(pd_limiter_allowed(&m.limiter, false, true, age * 10 / 13, m.now), SLOTS);
	m.now += age / 2;
	ck_assert_uint_eq(pd_limiter_allowed(&m.limiter, false, true, age * 5 / 4, m.now), 1);
	m.limiter.last_normal_sent_us = m.now - 2 * age;
	pd_limiter_reply(&m.limiter, SERVICE_US * 2, PD_LOAD_WARM, m.now - age);
	ck_assert_uint_eq(pd_limiter_allowed(&m.limiter, false, true, age, m.now), 1);
	pd_limiter_reply(&m.limiter, SERVICE_US, PD_LOAD_WARM, m.now);
	ck_assert_uint_eq(pd_limiter_allowed(&m.limiter, false, true, age, m.now), SLOTS);
}
END_TEST

START_TEST(cold_replies_set_the_expected_latency)
{
	struct model m;

	model_init(&m, 16);
	run(&m, PD_USEC_PER_SEC);
	ck_assert_int_lt(pd_limiter_expected_us(&m.limiter), 2 * SERVICE_US);
	for (int i = 0; i < 5; i++)
		pd_limiter_reply(&m.limiter, STRAGGLER_US, PD_LOAD_COLD, m.now);
	ck_assert_int_eq(pd_limiter_expected_us(&m.limiter), STRAGGLER_US);
	run(&m, PD_USEC_PER_SEC);
	ck_assert_int_lt(pd_limiter_expected_us(&m.limiter), 2 * SERVICE_US);
}
END_TEST

/* Guards against refusing normal work because two stragglers in a row pass for a cold start. */
START_TEST(two_stragglers_leave_the_expected_latency_bounded)
{
	struct model m;

	model_init(&m, 17);
	run(&m, PD_USEC_PER_SEC);
	for (int i = 0; i < 3; i++)
		pd_limiter_reply(&m.limiter, STRAGGLER_US, PD_LOAD_WARM, m.now);
	ck_assert(m.limiter.cold);
	ck_assert_int_lt(pd_limiter_expected_us(&m.limiter), 6 * SERVICE_US);
}
END_TEST

START_TEST(one_slow_reply_pauses_and_two_mean_cold)
{
	struct model m;

	model_init(&m, 8);
	run(&m, PD_USEC_PER_SEC);
	pd_limiter_reply(&m.limiter, STRAGGLER_US, PD_LOAD_WARM, m.now);
	ck_assert_uint_eq(pd_limiter_allowed(&m.limiter, false, true, 0, m.now), 1);
	ck_assert(!m.limiter.cold);
	pd_limiter_reply(&m.limiter, SERVICE_US, PD_LOAD_WARM, m.now);
	ck_assert_uint_eq(pd_limiter_allowed(&m.limiter, false, true, 0, m.now), SLOTS);
	pd_limiter_reply(&m.limiter, STRAGGLER_US, PD_LOAD_WARM, m.now);
	pd_limiter_reply(&m.limiter, STRAGGLER_US, PD_LOAD_WARM, m.now);
	ck_assert(m.limiter.cold);
	pd_limiter_reply(&m.limiter, SERVICE_US, PD_LOAD_WARM, m.now);
	ck_assert_uint_eq(pd_limiter_allowed(&m.limiter, false, true, 0, m.now), 1);
}
END_TEST

START_TEST(breakage_holds_off_and_then_probes_with_one)
{
	struct model m;
	int64_t hold = PD_LIMITER_BACKOFF_MIN_US;

	model_init(&m, 9);
	run(&m, PD_USEC_PER_SEC);
	for (int i = 0; i < 8; i++) {
		pd_limiter_connection_failed(&m.limiter, m.now);
		/* Other connections of the same breakage don't prolong it. */
		pd_limiter_connection_failed(&m.limiter, m.now + 1);
		ck_assert_uint_eq(pd_limiter_allowed(&m.limiter, false, true, 0, m.now + hold - 1),
				  0);
		m.now += hold;
		ck_assert_uint_eq(pd_limiter_allowed(&m.limiter, false, true, 0, m.now), 1);
		hold = hold * 2 < PD_LIMITER_BACKOFF_MAX_US ? hold * 2 : PD_LIMITER_BACKOFF_MAX_US;
	}
	pd_limiter_reply(&m.limiter, SERVICE_US, PD_LOAD_WARM, m.now);
	ck_assert_uint_eq(pd_limiter_allowed(&m.limiter, false, true, 0, m.now), 1);
	for (int i = 0; i < 3; i++)
		pd_limiter_reply(&m.limiter, SERVICE_US, PD_LOAD_WARM, m.now);
	ck_assert_uint_eq(pd_limiter_allowed(&m.limiter, false, true, 0, m.now), SLOTS);
	pd_limiter_connection_failed(&m.limiter, m.now);
	ck_assert_int_eq(m.limiter.backoff_until_us, m.now + PD_LIMITER_BACKOFF_MIN_US);
}
END_TEST

START_TEST(shedding_lowers_the_limit)
{
	struct model m;

	model_init(&m, 10);
	run(&m, PD_USEC_PER_SEC);
	pd_limiter_shed(&m.limiter, m.now);
	ck_assert_uint_eq(pd_limiter_allowed(&m.limiter, false, true, 0, m.now), 0);
	m.now += PD_LIMITER_SHED_BACKOFF_MIN_US;
	ck_assert_uint_eq(pd_limiter_allowed(&m.limiter, false, true, 0, m.now), 1);
}
END_TEST

START_TEST(shared_ownership_halves_and_spares_the_cold)
{
	struct model m;

	model_init(&m, 11);
	ck_assert_uint_eq(pd_limiter_allowed(&m.limiter, true, false, 0, m.now), 0);
	ck_assert_uint_eq(pd_limiter_allowed(&m.limiter, true, true, 0, m.now), 1);
	run(&m, PD_USEC_PER_SEC);
	ck_assert_uint_eq(pd_limiter_allowed(&m.limiter, true, false, 0, m.now), 1);
	pd_limiter_set_slots(&m.limiter, 8);
	for (int i = 0; i < 20; i++)
		pd_limiter_reply(&m.limiter, SERVICE_US, PD_LOAD_WARM, m.now);
	ck_assert_uint_eq(pd_limiter_allowed(&m.limiter, false, false, 0, m.now), 8);
	ck_assert_uint_eq(pd_limiter_allowed(&m.limiter, true, false, 0, m.now), 4);
}
END_TEST

/* An upstream that is slower for good must not count as cold forever. */
START_TEST(lasting_change_of_latency_is_learnt)
{
	struct model m;

	model_init(&m, 12);
	run(&m, PD_USEC_PER_SEC);
	m.cold_from = m.now;
	run(&m, PD_LIMITER_BASELINE_RESET_US + 2 * PD_USEC_PER_SEC);
	ck_assert_uint_eq(m.limiter.limit, SLOTS);
}
END_TEST

/* A new owner that never saw the upstream warm must still notice that it is cold. */
START_TEST(latency_of_similar_upstreams_reveals_a_cold_start)
{
	struct model m;

	model_init(&m, 13);
	m.limiter.baseline_hint_us = SERVICE_US;
	m.cold_from = m.now;
	m.cold_until = m.now + 5 * PD_USEC_PER_SEC;
	run(&m, 5 * PD_USEC_PER_SEC);
	ck_assert_uint_eq(m.over_one_cold, 0);
	run(&m, PD_USEC_PER_SEC);
	ck_assert_uint_eq(m.limiter.limit, SLOTS);
}
END_TEST

/* A hint that doesn't fit must not hold the limit at 1 for good. */
START_TEST(wrong_hint_is_given_up)
{
	struct model m;

	model_init(&m, 14);
	m.limiter.baseline_hint_us = SERVICE_US / 20;
	run(&m, PD_LIMITER_HINT_RESET_US + 2 * PD_USEC_PER_SEC);
	ck_assert_uint_eq(m.limiter.limit, SLOTS);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("limiter");
	TCase *tcase = tcase_create("limiter");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(tcase, new_owner_starts_at_one_and_grows_quickly);
	tcase_add_loop_test(tcase, unannounced_cold_start_gets_one_at_a_time, 0, 20);
	tcase_add_test(tcase, reported_cold_is_believed);
	tcase_add_loop_test(tcase, stragglers_cost_little, 0, 5);
	tcase_add_test(tcase, overdue_request_adds_no_concurrency);
	tcase_add_test(tcase, overdue_request_waits_for_a_reply_to_a_later_one);
	tcase_add_test(tcase, cold_replies_set_the_expected_latency);
	tcase_add_test(tcase, two_stragglers_leave_the_expected_latency_bounded);
	tcase_add_test(tcase, one_slow_reply_pauses_and_two_mean_cold);
	tcase_add_test(tcase, breakage_holds_off_and_then_probes_with_one);
	tcase_add_test(tcase, shedding_lowers_the_limit);
	tcase_add_test(tcase, shared_ownership_halves_and_spares_the_cold);
	tcase_add_test(tcase, lasting_change_of_latency_is_learnt);
	tcase_add_test(tcase, latency_of_similar_upstreams_reveals_a_cold_start);
	tcase_add_test(tcase, wrong_hint_is_given_up);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
