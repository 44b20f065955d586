/*
 * Tests of the concurrency limit of an upstream. They guard against overloading a cold upstream
 * whose reported load state is stale or wrong, against losing capacity of a warm upstream to
 * ordinary stragglers, and against slow recovery after a cold start or a connection failure.
 */
#include <check.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "limiter.h"

#define SERVICE_US   5000 /* normal service time */
#define COLD_FACTOR  6
#define SLOTS	     3
#define STRAGGLER_US (SERVICE_US * 10)

/**
 * struct model - simulated upstream to which as many requests are sent as the limiter allows
 * @limiter: limiter under test
 * @cold_from: time at which the upstream becomes cold
 * @cold_until: time at which it is warm again
 * @reported_state: load state in its replies, which may be wrong
 * @stragglers: share of requests that take STRAGGLER_US
 * @now: current simulated time
 * @start: time at which each request in flight was sent
 * @end: time at which each request in flight completes
 * @in_flight: number of requests in flight
 * @completed: number of completed requests
 * @max_in_flight_cold: maximum of requests in flight after one was sent while cold
 * @concurrent_sends_cold: number of requests sent while cold and while another was in flight
 * @random: state of the random generator
 *
 * All times are in microseconds.
 */
struct model {
	struct pd_limiter limiter;
	int64_t cold_from;
	int64_t cold_until;
	enum pd_load_state reported_state;
	double stragglers;
	int64_t now;
	int64_t start[SLOTS];
	int64_t end[SLOTS];
	uint32_t in_flight;
	uint64_t completed;
	uint32_t max_in_flight_cold;
	uint32_t concurrent_sends_cold;
	struct drand48_data random;
};

static void model_init(struct model *m, long seed)
{
	memset(m, 0, sizeof(*m));
	pd_limiter_init(&m->limiter, SLOTS);
	m->cold_from = INT64_MAX;
	m->cold_until = INT64_MAX;
	m->reported_state = PD_LOAD_WARM;
	m->now = PD_USEC_PER_SEC;
	srand48_r(seed, &m->random);
}

static double random_uniform(struct model *m)
{
	double value;

	drand48_r(&m->random, &value);
	return value;
}

static bool is_cold(const struct model *m)
{
	return m->now >= m->cold_from && m->now < m->cold_until;
}

/* Age of the oldest request in flight that was sent after the latest one with a normal reply. */
static int64_t oldest_in_flight_us(const struct model *m)
{
	int64_t age = 0;

	for (uint32_t i = 0; i < m->in_flight; i++)
		if (m->start[i] > m->limiter.last_normal_sent_us && m->now - m->start[i] > age)
			age = m->now - m->start[i];
	return age;
}

static void send_request(struct model *m)
{
	int64_t service = SERVICE_US * (0.7 + 0.6 * random_uniform(m));

	if (random_uniform(m) < m->stragglers)
		service = STRAGGLER_US;
	if (is_cold(m))
		service *= COLD_FACTOR;
	m->start[m->in_flight] = m->now;
	m->end[m->in_flight++] = m->now + service;
	if (!is_cold(m))
		return;
	m->concurrent_sends_cold += m->in_flight > 1;
	if (m->in_flight > m->max_in_flight_cold)
		m->max_in_flight_cold = m->in_flight;
}

static void complete_request(struct model *m, uint32_t i)
{
	int64_t service = m->end[i] - m->start[i];

	m->in_flight--;
	m->start[i] = m->start[m->in_flight];
	m->end[i] = m->end[m->in_flight];
	m->completed++;
	pd_limiter_reply(&m->limiter, service, m->reported_state, m->now);
}

/* Runs the model for @us microseconds. */
static void run(struct model *m, int64_t us)
{
	int64_t until = m->now + us;

	for (; m->now < until; m->now += 100) {
		for (uint32_t i = 0; i < m->in_flight;) {
			if (m->end[i] <= m->now)
				complete_request(m, i);
			else
				i++;
		}
		while (m->in_flight < pd_limiter_max_in_flight(&m->limiter, false, true,
							       oldest_in_flight_us(m), m->now))
			send_request(m);
	}
}

START_TEST(limit_starts_at_one_and_grows_quickly)
{
	struct model m;

	model_init(&m, 1);
	ck_assert_uint_eq(pd_limiter_max_in_flight(&m.limiter, false, true, 0, m.now), 1);
	run(&m, 20 * SERVICE_US);
	ck_assert_uint_eq(pd_limiter_max_in_flight(&m.limiter, false, true, 0, m.now), SLOTS);
	/* After ownership is regained, the known baseline lets the limit grow quickly. */
	pd_limiter_restart(&m.limiter, m.now);
	ck_assert_uint_eq(pd_limiter_max_in_flight(&m.limiter, false, true, 0, m.now), 1);
	for (int i = 0; i < 4; i++)
		pd_limiter_reply(&m.limiter, SERVICE_US, PD_LOAD_WARM, m.now);
	ck_assert_uint_eq(pd_limiter_max_in_flight(&m.limiter, false, true, 0, m.now), SLOTS);
}
END_TEST

/* The upstream becomes cold but keeps reporting that it is warm. */
START_TEST(unreported_cold_start_limits_to_one_request)
{
	struct model m;

	model_init(&m, _i + 1);
	m.stragglers = 0.02;
	run(&m, 2 * PD_USEC_PER_SEC);
	m.cold_from = m.now;
	m.cold_until = m.now + 5 * PD_USEC_PER_SEC;
	run(&m, 5 * PD_USEC_PER_SEC);
	ck_assert_uint_le(m.max_in_flight_cold, SLOTS);
	/*
	 * A reply to a request that was sent while the upstream was warm may let another one be
	 * sent: at most one for each request that was in flight.
	 */
	ck_assert_uint_le(m.concurrent_sends_cold, SLOTS);
	run(&m, PD_USEC_PER_SEC);
	ck_assert_uint_eq(m.limiter.limit, SLOTS);
}
END_TEST

START_TEST(reported_cold_start_limits_to_one_request)
{
	struct model m;

	model_init(&m, 5);
	run(&m, PD_USEC_PER_SEC);
	ck_assert_uint_eq(m.limiter.limit, SLOTS);
	pd_limiter_reply(&m.limiter, SERVICE_US, PD_LOAD_COLD, m.now);
	ck_assert_uint_eq(pd_limiter_max_in_flight(&m.limiter, false, true, 0, m.now), 1);
	for (int i = 0; i < 100; i++)
		pd_limiter_reply(&m.limiter, SERVICE_US, PD_LOAD_COLD, m.now);
	ck_assert_uint_eq(pd_limiter_max_in_flight(&m.limiter, false, true, 0, m.now), 1);
}
END_TEST

/* 2% of stragglers may cost at most a tenth of the throughput of a fixed limit. */
START_TEST(stragglers_cost_at_most_a_tenth_of_throughput)
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

START_TEST(overdue_request_limits_to_one_request)
{
	struct model m;
	int64_t overdue = SERVICE_US * (PD_LIMITER_SLOW_FACTOR + 2);

	model_init(&m, 7);
	run(&m, PD_USEC_PER_SEC);
	ck_assert_uint_eq(pd_limiter_max_in_flight(&m.limiter, false, true, overdue, m.now), SLOTS);
	m.now += overdue;
	ck_assert_uint_eq(pd_limiter_max_in_flight(&m.limiter, false, true, overdue, m.now), 1);
	pd_limiter_reply(&m.limiter, SERVICE_US, PD_LOAD_WARM, m.now);
	ck_assert_uint_eq(pd_limiter_max_in_flight(&m.limiter, false, true, overdue, m.now), SLOTS);
}
END_TEST

/*
 * Guards against keeping the limit until the first slow reply, and against raising it again after a
 * reply to a request that was sent before the overdue one.
 */
START_TEST(limit_recovers_after_normal_reply_to_later_request)
{
	int64_t age = 2 * SERVICE_US + PD_LIMITER_JITTER_TOLERANCE_US + PD_USEC_PER_MSEC;
	struct model m;

	model_init(&m, 15);
	run(&m, PD_USEC_PER_SEC);
	/* Service times in the model are between 0.7 and 1.3 times SERVICE_US. */
	m.now += age;
	ck_assert_uint_eq(pd_limiter_max_in_flight(&m.limiter, false, true, SERVICE_US, m.now),
			  SLOTS);
	ck_assert_uint_eq(pd_limiter_max_in_flight(&m.limiter, false, true, age * 10 / 13, m.now),
			  SLOTS);
	m.now += age / 2;
	ck_assert_uint_eq(pd_limiter_max_in_flight(&m.limiter, false, true, age * 5 / 4, m.now), 1);
	m.limiter.last_normal_sent_us = m.now - 2 * age;
	pd_limiter_reply(&m.limiter, SERVICE_US * 2, PD_LOAD_WARM, m.now - age);
	ck_assert_uint_eq(pd_limiter_max_in_flight(&m.limiter, false, true, age, m.now), 1);
	pd_limiter_reply(&m.limiter, SERVICE_US, PD_LOAD_WARM, m.now);
	ck_assert_uint_eq(pd_limiter_max_in_flight(&m.limiter, false, true, age, m.now), SLOTS);
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

/* Guards against refusing normal requests because two stragglers look like a cold start. */
START_TEST(expected_latency_is_capped_after_two_stragglers)
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

START_TEST(one_slow_reply_limits_to_one_and_two_enter_cold)
{
	struct model m;

	model_init(&m, 8);
	run(&m, PD_USEC_PER_SEC);
	pd_limiter_reply(&m.limiter, STRAGGLER_US, PD_LOAD_WARM, m.now);
	ck_assert_uint_eq(pd_limiter_max_in_flight(&m.limiter, false, true, 0, m.now), 1);
	ck_assert(!m.limiter.cold);
	pd_limiter_reply(&m.limiter, SERVICE_US, PD_LOAD_WARM, m.now);
	ck_assert_uint_eq(pd_limiter_max_in_flight(&m.limiter, false, true, 0, m.now), SLOTS);
	pd_limiter_reply(&m.limiter, STRAGGLER_US, PD_LOAD_WARM, m.now);
	pd_limiter_reply(&m.limiter, STRAGGLER_US, PD_LOAD_WARM, m.now);
	ck_assert(m.limiter.cold);
	pd_limiter_reply(&m.limiter, SERVICE_US, PD_LOAD_WARM, m.now);
	ck_assert_uint_eq(pd_limiter_max_in_flight(&m.limiter, false, true, 0, m.now), 1);
}
END_TEST

START_TEST(connection_failure_backs_off_then_allows_one_request)
{
	struct model m;
	int64_t backoff_us = PD_LIMITER_BACKOFF_MIN_US;

	model_init(&m, 9);
	run(&m, PD_USEC_PER_SEC);
	for (int i = 0; i < 8; i++) {
		pd_limiter_connection_failed(&m.limiter, m.now);
		/* Other connections that fail at the same time don't extend the backoff. */
		pd_limiter_connection_failed(&m.limiter, m.now + 1);
		ck_assert_uint_eq(pd_limiter_max_in_flight(&m.limiter, false, true, 0,
							   m.now + backoff_us - 1),
				  0);
		m.now += backoff_us;
		ck_assert_uint_eq(pd_limiter_max_in_flight(&m.limiter, false, true, 0, m.now), 1);
		backoff_us = backoff_us * 2 < PD_LIMITER_BACKOFF_MAX_US ? backoff_us * 2
									: PD_LIMITER_BACKOFF_MAX_US;
	}
	pd_limiter_reply(&m.limiter, SERVICE_US, PD_LOAD_WARM, m.now);
	ck_assert_uint_eq(pd_limiter_max_in_flight(&m.limiter, false, true, 0, m.now), 1);
	for (int i = 0; i < 3; i++)
		pd_limiter_reply(&m.limiter, SERVICE_US, PD_LOAD_WARM, m.now);
	ck_assert_uint_eq(pd_limiter_max_in_flight(&m.limiter, false, true, 0, m.now), SLOTS);
	pd_limiter_connection_failed(&m.limiter, m.now);
	ck_assert_int_eq(m.limiter.backoff_until_us, m.now + PD_LIMITER_BACKOFF_MIN_US);
}
END_TEST

START_TEST(shed_request_backs_off_then_allows_one_request)
{
	struct model m;

	model_init(&m, 10);
	run(&m, PD_USEC_PER_SEC);
	pd_limiter_shed(&m.limiter, m.now);
	ck_assert_uint_eq(pd_limiter_max_in_flight(&m.limiter, false, true, 0, m.now), 0);
	m.now += PD_LIMITER_SHED_BACKOFF_MIN_US;
	ck_assert_uint_eq(pd_limiter_max_in_flight(&m.limiter, false, true, 0, m.now), 1);
}
END_TEST

START_TEST(shared_ownership_halves_slots_and_limits_cold_sends)
{
	struct model m;

	model_init(&m, 11);
	ck_assert_uint_eq(pd_limiter_max_in_flight(&m.limiter, true, false, 0, m.now), 0);
	ck_assert_uint_eq(pd_limiter_max_in_flight(&m.limiter, true, true, 0, m.now), 1);
	run(&m, PD_USEC_PER_SEC);
	ck_assert_uint_eq(pd_limiter_max_in_flight(&m.limiter, true, false, 0, m.now), 1);
	pd_limiter_set_slots(&m.limiter, 8);
	for (int i = 0; i < 20; i++)
		pd_limiter_reply(&m.limiter, SERVICE_US, PD_LOAD_WARM, m.now);
	ck_assert_uint_eq(pd_limiter_max_in_flight(&m.limiter, false, false, 0, m.now), 8);
	ck_assert_uint_eq(pd_limiter_max_in_flight(&m.limiter, true, false, 0, m.now), 4);
}
END_TEST

/* An upstream that has become slower permanently must not count as cold forever. */
START_TEST(permanent_latency_change_resets_baseline)
{
	struct model m;

	model_init(&m, 12);
	run(&m, PD_USEC_PER_SEC);
	m.cold_from = m.now;
	run(&m, PD_LIMITER_BASELINE_RESET_US + 2 * PD_USEC_PER_SEC);
	ck_assert_uint_eq(m.limiter.limit, SLOTS);
}
END_TEST

/* A new owner that has no latencies of a warm upstream must still detect a cold start. */
START_TEST(baseline_hint_detects_cold_start)
{
	struct model m;

	model_init(&m, 13);
	m.limiter.baseline_hint_us = SERVICE_US;
	m.cold_from = m.now;
	m.cold_until = m.now + 5 * PD_USEC_PER_SEC;
	run(&m, 5 * PD_USEC_PER_SEC);
	ck_assert_uint_eq(m.concurrent_sends_cold, 0);
	run(&m, PD_USEC_PER_SEC);
	ck_assert_uint_eq(m.limiter.limit, SLOTS);
}
END_TEST

/* A hint that is far too low must not keep the limit at 1 forever. */
START_TEST(wrong_baseline_hint_is_reset)
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

	tcase_add_test(tcase, limit_starts_at_one_and_grows_quickly);
	tcase_add_loop_test(tcase, unreported_cold_start_limits_to_one_request, 0, 20);
	tcase_add_test(tcase, reported_cold_start_limits_to_one_request);
	tcase_add_loop_test(tcase, stragglers_cost_at_most_a_tenth_of_throughput, 0, 5);
	tcase_add_test(tcase, overdue_request_limits_to_one_request);
	tcase_add_test(tcase, limit_recovers_after_normal_reply_to_later_request);
	tcase_add_test(tcase, cold_replies_set_the_expected_latency);
	tcase_add_test(tcase, expected_latency_is_capped_after_two_stragglers);
	tcase_add_test(tcase, one_slow_reply_limits_to_one_and_two_enter_cold);
	tcase_add_test(tcase, connection_failure_backs_off_then_allows_one_request);
	tcase_add_test(tcase, shed_request_backs_off_then_allows_one_request);
	tcase_add_test(tcase, shared_ownership_halves_slots_and_limits_cold_sends);
	tcase_add_test(tcase, permanent_latency_change_resets_baseline);
	tcase_add_test(tcase, baseline_hint_detects_cold_start);
	tcase_add_test(tcase, wrong_baseline_hint_is_reset);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
