/*
 * Tests of the table of crash suspects. A request that crashes each upstream that runs it, and is
 * sent again, must not take down more than two upstreams. Other requests in flight at the time of a
 * crash must not be rejected for long. The table must stay bounded.
 */
#include <check.h>
#include <stdlib.h>

#include "suspects.h"

#define CRASHING 0x1111 /* fingerprint of a request that crashes upstreams */
#define HARMLESS 0x2222 /* fingerprint of another request in flight with it */
#define NOW	 PD_USEC_PER_SEC

static struct pd_suspects *suspects;

static void setup(void)
{
	ck_assert_int_eq(pd_suspects_open(&suspects, NULL), PD_OK);
}

static void teardown(void)
{
	pd_suspects_close(suspects);
}

/* Creates services s0, s1, ... with @upstreams upstreams each, named uSERVICE-INDEX. */
static struct pd_config *make_config(uint32_t services, uint32_t upstreams)
{
	struct pd_buf text = {0};
	struct pd_config *config;

	pd_buf_printf(&text, "create zone z\ncreate collection c buckets 100\n");
	for (uint32_t s = 0; s < services; s++) {
		pd_buf_printf(&text, "create service s%u in c\n", s);
		for (uint32_t u = 0; u < upstreams; u++)
			pd_buf_printf(&text,
				      "create upstream u%u-%u service s%u zone z address "
				      "127.0.0.1:%u slots 3 connections 9 connect 1ms\n",
				      s, u, s, 9000 + s * 100 + u);
	}
	ck_assert_int_eq(pd_config_from_text(pd_buf_str(&text), 1, &config, NULL), PD_OK);
	pd_buf_finish(&text);
	return config;
}

static const struct pd_name *upstream_name(const struct pd_config *config, uint32_t upstream)
{
	return &config->upstreams[upstream].name;
}

/*
 * Returns the first upstream of @service, starting at number @first, that may run @fingerprint, or
 * PD_CONFIG_NONE. Stores the decision for it in @decision.
 */
static uint32_t choose_in_table(struct pd_suspects *table, const struct pd_config *config,
				uint32_t service, uint64_t fingerprint, uint32_t first,
				int64_t now_us, enum pd_suspect_decision *decision)
{
	const struct pd_service *s = &config->services[service];

	*decision = PD_SUSPECT_REJECT;
	for (uint32_t i = 0; i < s->upstream_count; i++) {
		uint32_t upstream = s->upstreams[(first + i) % s->upstream_count];

		*decision = pd_suspects_check(table, fingerprint, config, upstream, now_us);
		if (*decision != PD_SUSPECT_REJECT)
			return upstream;
	}
	return PD_CONFIG_NONE;
}

static uint32_t choose_upstream(const struct pd_config *config, uint32_t service,
				uint64_t fingerprint, uint32_t first, int64_t now_us,
				enum pd_suspect_decision *decision)
{
	return choose_in_table(suspects, config, service, fingerprint, first, now_us, decision);
}

/* Numbers of upstreams per service for the loop test. */
static const uint32_t service_sizes[] = {2, 12};

START_TEST(resent_crashing_request_takes_down_at_most_two)
{
	struct pd_config *config = make_config(1, service_sizes[_i]);
	bool crashed[12] = {false};
	uint32_t crashed_count = 0;

	for (uint32_t attempt = 0; attempt < 20; attempt++) {
		enum pd_suspect_decision decision;
		int64_t now = NOW + attempt * PD_USEC_PER_SEC;
		uint32_t upstream = choose_upstream(config, 0, CRASHING, attempt, now, &decision);

		if (upstream == PD_CONFIG_NONE)
			continue;
		crashed_count += !crashed[upstream];
		crashed[upstream] = true;
		pd_suspects_record_crash(suspects, CRASHING, upstream_name(config, upstream),
					 decision == PD_SUSPECT_ISOLATE, now);
	}
	ck_assert_uint_le(crashed_count, 2);
	pd_config_put(config);
}
END_TEST

/* Two upstreams crash with a copy of the request in flight: a third one must not run it. */
START_TEST(no_attempt_in_a_service_after_two_crashes)
{
	struct pd_config *config = make_config(1, 12);
	enum pd_suspect_decision decision;

	pd_suspects_record_crash(suspects, CRASHING, upstream_name(config, 0), false, NOW);
	pd_suspects_record_crash(suspects, CRASHING, upstream_name(config, 1), false, NOW);
	ck_assert_uint_eq(choose_upstream(config, 0, CRASHING, 2, NOW, &decision), PD_CONFIG_NONE);
	pd_config_put(config);
}
END_TEST

START_TEST(suspect_is_isolated_on_one_designated_upstream)
{
	struct pd_config *config = make_config(1, 12);
	uint32_t isolated = 0;

	pd_suspects_record_crash(suspects, CRASHING, upstream_name(config, 3), false, NOW);
	for (uint32_t i = 0; i < 12; i++) {
		enum pd_suspect_decision decision =
			pd_suspects_check(suspects, CRASHING, config, i, NOW);

		ck_assert_int_ne(decision, PD_SUSPECT_ALLOW);
		isolated += decision == PD_SUSPECT_ISOLATE;
		if (i == 3)
			ck_assert_int_eq(decision, PD_SUSPECT_REJECT);
	}
	ck_assert_uint_eq(isolated, 1);
	ck_assert_int_eq(pd_suspects_check(suspects, HARMLESS, config, 3, NOW), PD_SUSPECT_ALLOW);
	pd_config_put(config);
}
END_TEST

START_TEST(success_removes_the_crash_of_a_harmless_request)
{
	struct pd_config *config = make_config(1, 2);
	struct pd_msg_suspect msg;
	enum pd_suspect_decision decision;
	uint32_t upstream;

	pd_suspects_record_crash(suspects, CRASHING, upstream_name(config, 0), false, NOW);
	pd_suspects_record_crash(suspects, HARMLESS, upstream_name(config, 0), false, NOW);
	upstream = choose_upstream(config, 0, HARMLESS, 0, NOW, &decision);
	ck_assert_uint_eq(upstream, 1);
	ck_assert_int_eq(decision, PD_SUSPECT_ISOLATE);
	ck_assert(pd_suspects_record_success(suspects, HARMLESS, config, upstream, &msg, NOW));
	ck_assert_uint_eq(msg.crashes, 0);
	ck_assert_int_eq(pd_suspects_check(suspects, HARMLESS, config, 0, NOW), PD_SUSPECT_ALLOW);
	ck_assert_int_ne(pd_suspects_check(suspects, CRASHING, config, 1, NOW), PD_SUSPECT_ALLOW);
	ck_assert_uint_eq(pd_suspects_count(suspects), 1);
	pd_config_put(config);
}
END_TEST

/* A crashing query takes down one upstream in each of several services; another is in flight. */
START_TEST(crashes_in_several_services_do_not_block_a_harmless_request)
{
	struct pd_config *config = make_config(5, 2);
	struct pd_msg_suspect msg;

	for (uint32_t s = 0; s < 5; s++)
		pd_suspects_record_crash(suspects, HARMLESS, upstream_name(config, s * 2), false,
					 NOW);
	for (uint32_t s = 0; s < 5; s++) {
		enum pd_suspect_decision decision;
		uint32_t upstream = choose_upstream(config, s, HARMLESS, 0, NOW, &decision);

		ck_assert_uint_eq(upstream, s * 2 + 1);
		ck_assert(pd_suspects_record_success(suspects, HARMLESS, config, upstream, &msg,
						     NOW));
	}
	ck_assert_uint_eq(pd_suspects_count(suspects), 0);
	pd_config_put(config);
}
END_TEST

/* A query that crashes upstreams of only one service succeeds in the others; it stays a suspect. */
START_TEST(success_in_another_service_removes_no_crash)
{
	struct pd_config *config = make_config(2, 2);
	struct pd_msg_suspect msg;

	pd_suspects_record_crash(suspects, CRASHING, upstream_name(config, 0), false, NOW);
	ck_assert(!pd_suspects_record_success(suspects, CRASHING, config, 2, &msg, NOW));
	ck_assert_int_eq(pd_suspects_check(suspects, CRASHING, config, 0, NOW), PD_SUSPECT_REJECT);
	pd_config_put(config);
}
END_TEST

START_TEST(blocked_request_is_rejected_in_every_service)
{
	struct pd_config *config = make_config(2, 2);
	enum pd_suspect_decision decision;

	pd_suspects_record_crash(suspects, CRASHING, upstream_name(config, 0), false, NOW);
	ck_assert_uint_ne(choose_upstream(config, 1, CRASHING, 0, NOW, &decision), PD_CONFIG_NONE);
	pd_suspects_record_crash(suspects, CRASHING, upstream_name(config, 1), true, NOW);
	ck_assert_uint_eq(choose_upstream(config, 1, CRASHING, 0, NOW, &decision), PD_CONFIG_NONE);
	pd_config_put(config);
}
END_TEST

START_TEST(suspects_and_blocked_requests_expire)
{
	struct pd_config *config = make_config(1, 2);
	int64_t later = NOW + PD_SUSPECT_TTL_US;

	pd_suspects_record_crash(suspects, CRASHING, upstream_name(config, 0), false, NOW);
	ck_assert_int_eq(pd_suspects_check(suspects, CRASHING, config, 0, later - 1),
			 PD_SUSPECT_REJECT);
	ck_assert_int_eq(pd_suspects_check(suspects, CRASHING, config, 0, later), PD_SUSPECT_ALLOW);
	pd_suspects_record_crash(suspects, CRASHING, upstream_name(config, 0), false, NOW);
	ck_assert_uint_eq(
		pd_suspects_record_crash(suspects, CRASHING, upstream_name(config, 1), true, NOW),
		PD_SUSPECT_BLOCKING_CRASHES);
	later = NOW + PD_SUSPECT_BLOCKED_TTL_US;
	for (uint32_t i = 0; i < 2; i++) {
		ck_assert_int_eq(pd_suspects_check(suspects, CRASHING, config, i, later - 1),
				 PD_SUSPECT_REJECT);
	}
	ck_assert_int_eq(pd_suspects_check(suspects, CRASHING, config, 0, later), PD_SUSPECT_ALLOW);
	pd_config_put(config);
}
END_TEST

START_TEST(table_is_bounded_and_keeps_blocked_requests)
{
	struct pd_config *config = make_config(1, 12);

	pd_suspects_record_crash(suspects, CRASHING, upstream_name(config, 0), false, NOW);
	pd_suspects_record_crash(suspects, CRASHING, upstream_name(config, 1), true, NOW);
	for (uint64_t i = 0; i < 3 * PD_SUSPECTS_MAX; i++)
		pd_suspects_record_crash(suspects, 0x10000 + i, upstream_name(config, 0), false,
					 NOW + i);
	ck_assert_uint_eq(pd_suspects_count(suspects), PD_SUSPECTS_MAX);
	ck_assert_int_eq(pd_suspects_check(suspects, CRASHING, config, 5, NOW), PD_SUSPECT_REJECT);
	/* Of the requests that aren't blocked, the oldest were evicted. */
	ck_assert_int_eq(pd_suspects_check(suspects, 0x10000, config, 0, NOW), PD_SUSPECT_ALLOW);
	ck_assert_int_eq(
		pd_suspects_check(suspects, 0x10000 + 3 * PD_SUSPECTS_MAX - 1, config, 0, NOW),
		PD_SUSPECT_REJECT);
	pd_config_put(config);
}
END_TEST

START_TEST(peers_merge_crashes_and_removals)
{
	struct pd_config *config = make_config(1, 12);
	struct pd_suspects *peer;
	struct pd_msg_suspect msg;
	enum pd_suspect_decision decision;
	uint32_t upstream;

	ck_assert_int_eq(pd_suspects_open(&peer, NULL), PD_OK);
	ck_assert(!pd_suspects_fill_msg(suspects, CRASHING, &msg, NOW));
	pd_suspects_record_crash(suspects, CRASHING, upstream_name(config, 0), false, NOW);
	ck_assert(pd_suspects_fill_msg(suspects, CRASHING, &msg, NOW));
	pd_suspects_merge(peer, &msg, NOW);
	pd_suspects_merge(peer, &msg, NOW); /* a repeated message doesn't count as a second crash */
	upstream = choose_upstream(config, 0, CRASHING, 0, NOW, &decision);
	ck_assert_uint_eq(choose_in_table(peer, config, 0, CRASHING, 0, NOW, &decision), upstream);
	ck_assert_int_eq(decision, PD_SUSPECT_ISOLATE);
	ck_assert(pd_suspects_record_success(peer, CRASHING, config, upstream, &msg, NOW));
	pd_suspects_merge(suspects, &msg, NOW);
	ck_assert_uint_eq(pd_suspects_count(suspects), 0);
	pd_suspects_record_crash(peer, CRASHING, upstream_name(config, 0), false, NOW);
	pd_suspects_record_crash(peer, CRASHING, upstream_name(config, upstream), true, NOW);
	ck_assert(pd_suspects_fill_msg(peer, CRASHING, &msg, NOW));
	pd_suspects_merge(suspects, &msg, NOW);
	msg.crashes = 0; /* a late removal doesn't unblock a request */
	pd_suspects_merge(suspects, &msg, NOW);
	ck_assert_int_eq(pd_suspects_check(suspects, CRASHING, config, 5, NOW), PD_SUSPECT_REJECT);
	pd_suspects_close(peer);
	pd_config_put(config);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("suspects");
	TCase *tcase = tcase_create("suspects");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_loop_test(tcase, resent_crashing_request_takes_down_at_most_two, 0, 2);
	tcase_add_test(tcase, no_attempt_in_a_service_after_two_crashes);
	tcase_add_test(tcase, suspect_is_isolated_on_one_designated_upstream);
	tcase_add_test(tcase, success_removes_the_crash_of_a_harmless_request);
	tcase_add_test(tcase, crashes_in_several_services_do_not_block_a_harmless_request);
	tcase_add_test(tcase, success_in_another_service_removes_no_crash);
	tcase_add_test(tcase, blocked_request_is_rejected_in_every_service);
	tcase_add_test(tcase, suspects_and_blocked_requests_expire);
	tcase_add_test(tcase, table_is_bounded_and_keeps_blocked_requests);
	tcase_add_test(tcase, peers_merge_crashes_and_removals);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
