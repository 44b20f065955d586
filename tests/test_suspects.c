/*
 * Guards the table of crash suspects: a request that crashes each upstream that runs it and is sent
 * again must not take down more than two, innocent requests in flight next to it must not be
 * refused for long, and the table must stay bounded.
 */
#include <check.h>
#include <stdlib.h>

#include "suspects.h"

#define POISON	 0x1111
#define INNOCENT 0x2222
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

/* Services s0, s1, ... with @upstreams each, named uSERVICE-INDEX. */
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

static const struct pd_name *name_of(const struct pd_config *config, uint32_t upstream)
{
	return &config->upstreams[upstream].name;
}

/* Offers @fingerprint to the upstreams of @service from @first on; returns which one runs it. */
static uint32_t place_in(struct pd_suspects *table, const struct pd_config *config,
			 uint32_t service, uint64_t fingerprint, uint32_t first, int64_t now_us,
			 enum pd_suspect_decision *verdict)
{
	const struct pd_service *s = &config->services[service];

	*verdict = PD_SUSPECT_REJECT;
	for (uint32_t i = 0; i < s->upstream_count; i++) {
		uint32_t upstream = s->upstreams[(first + i) % s->upstream_count];

		*verdict = pd_suspects_check(table, fingerprint, config, upstream, now_us);
		if (*verdict != PD_SUSPECT_REJECT)
			return upstream;
	}
	return PD_CONFIG_NONE;
}

static uint32_t place(const struct pd_config *config, uint32_t service, uint64_t fingerprint,
		      uint32_t first, int64_t now_us, enum pd_suspect_decision *verdict)
{
	return place_in(suspects, config, service, fingerprint, first, now_us, verdict);
}

static const uint32_t service_sizes[] = {2, 12};

START_TEST(resent_crashing_request_takes_down_two)
{
	struct pd_config *config = make_config(1, service_sizes[_i]);
	bool down[12] = {false};
	uint32_t taken_down = 0;

	for (uint32_t attempt = 0; attempt < 20; attempt++) {
		enum pd_suspect_decision verdict;
		int64_t now = NOW + attempt * PD_USEC_PER_SEC;
		uint32_t upstream = place(config, 0, POISON, attempt, now, &verdict);

		if (upstream == PD_CONFIG_NONE)
			continue;
		taken_down += !down[upstream];
		down[upstream] = true;
		pd_suspects_record_crash(suspects, POISON, name_of(config, upstream),
					 verdict == PD_SUSPECT_ISOLATE, now);
	}
	ck_assert_uint_le(taken_down, 2);
	pd_config_put(config);
}
END_TEST

/* Copies in flight at two upstreams of a service when they crash leave no third one to try. */
START_TEST(two_crashes_in_a_service_end_its_attempts)
{
	struct pd_config *config = make_config(1, 12);
	enum pd_suspect_decision verdict;

	pd_suspects_record_crash(suspects, POISON, name_of(config, 0), false, NOW);
	pd_suspects_record_crash(suspects, POISON, name_of(config, 1), false, NOW);
	ck_assert_uint_eq(place(config, 0, POISON, 2, NOW, &verdict), PD_CONFIG_NONE);
	pd_config_put(config);
}
END_TEST

START_TEST(suspect_runs_alone_at_one_designated_upstream)
{
	struct pd_config *config = make_config(1, 12);
	uint32_t alone = 0;

	pd_suspects_record_crash(suspects, POISON, name_of(config, 3), false, NOW);
	for (uint32_t i = 0; i < 12; i++) {
		enum pd_suspect_decision verdict =
			pd_suspects_check(suspects, POISON, config, i, NOW);

		ck_assert_int_ne(verdict, PD_SUSPECT_ALLOW);
		alone += verdict == PD_SUSPECT_ISOLATE;
		if (i == 3)
			ck_assert_int_eq(verdict, PD_SUSPECT_REJECT);
	}
	ck_assert_uint_eq(alone, 1);
	ck_assert_int_eq(pd_suspects_check(suspects, INNOCENT, config, 3, NOW), PD_SUSPECT_ALLOW);
	pd_config_put(config);
}
END_TEST

START_TEST(innocent_request_is_cleared_by_success)
{
	struct pd_config *config = make_config(1, 2);
	struct pd_msg_suspect msg;
	enum pd_suspect_decision verdict;
	uint32_t upstream;

	pd_suspects_record_crash(suspects, POISON, name_of(config, 0), false, NOW);
	pd_suspects_record_crash(suspects, INNOCENT, name_of(config, 0), false, NOW);
	upstream = place(config, 0, INNOCENT, 0, NOW, &verdict);
	ck_assert_uint_eq(upstream, 1);
	ck_assert_int_eq(verdict, PD_SUSPECT_ISOLATE);
	ck_assert(pd_suspects_record_success(suspects, INNOCENT, config, upstream, &msg, NOW));
	ck_assert_uint_eq(msg.crashes, 0);
	ck_assert_int_eq(pd_suspects_check(suspects, INNOCENT, config, 0, NOW), PD_SUSPECT_ALLOW);
	ck_assert_int_ne(pd_suspects_check(suspects, POISON, config, 1, NOW), PD_SUSPECT_ALLOW);
	ck_assert_uint_eq(pd_suspects_count(suspects), 1);
	pd_config_put(config);
}
END_TEST

/* One crashing query takes down an upstream in each of many services, with others in flight. */
START_TEST(crashes_in_several_services_do_not_convict_an_innocent_request)
{
	struct pd_config *config = make_config(5, 2);
	struct pd_msg_suspect msg;

	for (uint32_t s = 0; s < 5; s++)
		pd_suspects_record_crash(suspects, INNOCENT, name_of(config, s * 2), false, NOW);
	for (uint32_t s = 0; s < 5; s++) {
		enum pd_suspect_decision verdict;
		uint32_t upstream = place(config, s, INNOCENT, 0, NOW, &verdict);

		ck_assert_uint_eq(upstream, s * 2 + 1);
		ck_assert(pd_suspects_record_success(suspects, INNOCENT, config, upstream, &msg,
						     NOW));
	}
	ck_assert_uint_eq(pd_suspects_count(suspects), 0);
	pd_config_put(config);
}
END_TEST

/* A query that crashes one service only succeeds in the others; that must not clear it. */
START_TEST(success_in_another_service_clears_nothing)
{
	struct pd_config *config = make_config(2, 2);
	struct pd_msg_suspect msg;

	pd_suspects_record_crash(suspects, POISON, name_of(config, 0), false, NOW);
	ck_assert(!pd_suspects_record_success(suspects, POISON, config, 2, &msg, NOW));
	ck_assert_int_eq(pd_suspects_check(suspects, POISON, config, 0, NOW), PD_SUSPECT_REJECT);
	pd_config_put(config);
}
END_TEST

START_TEST(convicted_request_is_refused_in_every_service)
{
	struct pd_config *config = make_config(2, 2);
	enum pd_suspect_decision verdict;

	pd_suspects_record_crash(suspects, POISON, name_of(config, 0), false, NOW);
	ck_assert_uint_ne(place(config, 1, POISON, 0, NOW, &verdict), PD_CONFIG_NONE);
	pd_suspects_record_crash(suspects, POISON, name_of(config, 1), true, NOW);
	ck_assert_uint_eq(place(config, 1, POISON, 0, NOW, &verdict), PD_CONFIG_NONE);
	pd_config_put(config);
}
END_TEST

START_TEST(entries_expire)
{
	struct pd_config *config = make_config(1, 2);
	int64_t later = NOW + PD_SUSPECT_TTL_US;

	pd_suspects_record_crash(suspects, POISON, name_of(config, 0), false, NOW);
	ck_assert_int_eq(pd_suspects_check(suspects, POISON, config, 0, later - 1),
			 PD_SUSPECT_REJECT);
	ck_assert_int_eq(pd_suspects_check(suspects, POISON, config, 0, later), PD_SUSPECT_ALLOW);
	pd_suspects_record_crash(suspects, POISON, name_of(config, 0), false, NOW);
	ck_assert_uint_eq(pd_suspects_record_crash(suspects, POISON, name_of(config, 1), true, NOW),
			  PD_SUSPECT_BLOCKING_CRASHES);
	later = NOW + PD_SUSPECT_BLOCKED_TTL_US;
	for (uint32_t i = 0; i < 2; i++) {
		ck_assert_int_eq(pd_suspects_check(suspects, POISON, config, i, later - 1),
				 PD_SUSPECT_REJECT);
	}
	ck_assert_int_eq(pd_suspects_check(suspects, POISON, config, 0, later), PD_SUSPECT_ALLOW);
	pd_config_put(config);
}
END_TEST

START_TEST(table_is_bounded_and_keeps_the_convicted)
{
	struct pd_config *config = make_config(1, 12);

	pd_suspects_record_crash(suspects, POISON, name_of(config, 0), false, NOW);
	pd_suspects_record_crash(suspects, POISON, name_of(config, 1), true, NOW);
	for (uint64_t i = 0; i < 3 * PD_SUSPECTS_MAX; i++)
		pd_suspects_record_crash(suspects, 0x10000 + i, name_of(config, 0), false, NOW + i);
	ck_assert_uint_eq(pd_suspects_count(suspects), PD_SUSPECTS_MAX);
	ck_assert_int_eq(pd_suspects_check(suspects, POISON, config, 5, NOW), PD_SUSPECT_REJECT);
	/* Of the others the oldest gave way. */
	ck_assert_int_eq(pd_suspects_check(suspects, 0x10000, config, 0, NOW), PD_SUSPECT_ALLOW);
	ck_assert_int_eq(
		pd_suspects_check(suspects, 0x10000 + 3 * PD_SUSPECTS_MAX - 1, config, 0, NOW),
		PD_SUSPECT_REJECT);
	pd_config_put(config);
}
END_TEST

START_TEST(peers_learn_crashes_and_clearings)
{
	struct pd_config *config = make_config(1, 12);
	struct pd_suspects *peer;
	struct pd_msg_suspect msg;
	enum pd_suspect_decision verdict;
	uint32_t upstream;

	ck_assert_int_eq(pd_suspects_open(&peer, NULL), PD_OK);
	ck_assert(!pd_suspects_fill_msg(suspects, POISON, &msg, NOW));
	pd_suspects_record_crash(suspects, POISON, name_of(config, 0), false, NOW);
	ck_assert(pd_suspects_fill_msg(suspects, POISON, &msg, NOW));
	pd_suspects_merge(peer, &msg, NOW);
	pd_suspects_merge(peer, &msg, NOW); /* a repeated announcement isn't a second crash */
	upstream = place(config, 0, POISON, 0, NOW, &verdict);
	ck_assert_uint_eq(place_in(peer, config, 0, POISON, 0, NOW, &verdict), upstream);
	ck_assert_int_eq(verdict, PD_SUSPECT_ISOLATE);
	ck_assert(pd_suspects_record_success(peer, POISON, config, upstream, &msg, NOW));
	pd_suspects_merge(suspects, &msg, NOW);
	ck_assert_uint_eq(pd_suspects_count(suspects), 0);
	pd_suspects_record_crash(peer, POISON, name_of(config, 0), false, NOW);
	pd_suspects_record_crash(peer, POISON, name_of(config, upstream), true, NOW);
	ck_assert(pd_suspects_fill_msg(peer, POISON, &msg, NOW));
	pd_suspects_merge(suspects, &msg, NOW);
	msg.crashes = 0; /* a late clearing doesn't free a refused request */
	pd_suspects_merge(suspects, &msg, NOW);
	ck_assert_int_eq(pd_suspects_check(suspects, POISON, config, 5, NOW), PD_SUSPECT_REJECT);
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
	tcase_add_loop_test(tcase, resent_crashing_request_takes_down_two, 0, 2);
	tcase_add_test(tcase, two_crashes_in_a_service_end_its_attempts);
	tcase_add_test(tcase, suspect_runs_alone_at_one_designated_upstream);
	tcase_add_test(tcase, innocent_request_is_cleared_by_success);
	tcase_add_test(tcase, crashes_in_several_services_do_not_convict_an_innocent_request);
	tcase_add_test(tcase, success_in_another_service_clears_nothing);
	tcase_add_test(tcase, convicted_request_is_refused_in_every_service);
	tcase_add_test(tcase, entries_expire);
	tcase_add_test(tcase, table_is_bounded_and_keeps_the_convicted);
	tcase_add_test(tcase, peers_learn_crashes_and_clearings);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
