/**
 * DOC: Tests of the permission to send requests to an upstream: what its responses state, each
 * reason against a request, and each way by which a request could reach it
 */
#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "headers.h"
#include "log.h"
#include "os.h"
#include "permit.h"
#include "policy.h"
#include "pool.h"
#include "registry.h"
#include "suite.h"

#define NOW_US	    (1000 * PD_USEC_PER_SEC)
#define STARTED_MS  1000
#define FLEET_COUNT 24

static struct pd_registry registry;
static struct pd_pool pool;

static void setup(void)
{
	struct pd_registry_options options = {.retry_ratio = 0.2, .retry_slack = 100};
	struct pd_instance_load self = {.hash = 1, .load = 1};

	ck_assert(pd_name_set(&options.zone, PD_STR("here")));
	pd_registry_init(&registry, &options);
	pd_registry_set_instances(&registry, &self, 1);
	pd_pool_init(&pool, &registry, 100, 1 << 20);
}

static void teardown(void)
{
	pd_pool_finish(&pool);
	pd_registry_finish(&registry);
}

static struct pd_upstream_entry make_entry(const char *id, uint16_t port, int64_t started_ms)
{
	struct pd_upstream_entry entry = {.slots = 3, .started_unix_ms = started_ms};
	static uint64_t sequence;

	ck_assert(pd_name_set(&entry.id, pd_str_from(id)));
	ck_assert(pd_name_set(&entry.service, PD_STR("s")));
	ck_assert(pd_name_set(&entry.zone, PD_STR("there")));
	entry.sequence = ++sequence;
	entry.address.in = (struct sockaddr_in){.sin_family = AF_INET, .sin_port = htons(port)};
	inet_pton(AF_INET, "127.0.0.1", &entry.address.in.sin_addr);
	snprintf(entry.address.text, sizeof(entry.address.text), "127.0.0.1:%u", port);
	return entry;
}

static struct pd_upstream *put_upstream(const char *id, uint16_t port, int64_t started_ms)
{
	struct pd_upstream_entry entry = make_entry(id, port, started_ms);
	struct pd_upstream *upstream;

	ck_assert(pd_registry_put(&registry, &entry, false));
	HASH_FIND(hh, registry.upstreams, id, strlen(id), upstream);
	ck_assert_ptr_nonnull(upstream);
	return upstream;
}

static void record(struct pd_upstream *upstream, struct pd_directives directives, int64_t now_us)
{
	struct pd_report report = {
		.kind = PD_REPORT_REJECTED, .answered = true, .directives = directives};

	upstream->references++;
	upstream->in_flight++;
	pd_registry_report(&registry, upstream, &report, now_us);
}

static struct pd_permit check(struct pd_upstream *upstream, int64_t now_us)
{
	struct pd_permit permit;

	pthread_mutex_lock(&registry.lock);
	permit = pd_permit_check_locked(&registry, upstream, now_us);
	pthread_mutex_unlock(&registry.lock);
	return permit;
}

static void read_response(const char *text, struct pd_response_fields *fields)
{
	struct pd_http_message msg;
	size_t used;

	pd_http_message_init(&msg, PD_HTTP_RESPONSE, 4096, 4096);
	ck_assert_int_eq(pd_http_message_parse(&msg, text, strlen(text), &used), PD_HTTP_COMPLETE);
	pd_platform_read_response(&msg, fields);
	pd_http_message_finish(&msg);
}

START_TEST(retry_after_has_a_meaning_for_every_value)
{
	/* Guards against a pause of the wrong length, or a missed one, for values that are huge,
	 * fractions, zero or unreadable.
	 */
	static const struct {
		int status;
		const char *value;
		bool has_pause;
		double pause_s;
	} cases[] = {
		{503, "3", true, 3},
		{503, "0.25", true, 0.25},
		{503, "2.", true, 2},
		{503, "0", true, 0},
		{503, "0.0", true, 0},
		{429, "2", true, 2},
		{503, "86401", true, PD_PAUSE_MAX_S},
		{503, "99999999999999999999999999999999999999999999999999999999999", true,
		 PD_PAUSE_MAX_S},
		{503, "-1", false, 0},
		{503, "", false, 0},
		{503, ".5", false, 0},
		{503, "1e9", false, 0},
		{503, "inf", false, 0},
		{503, "nan", false, 0},
		{503, "0x10", false, 0},
		{503, "3 s", false, 0},
		{503, "3,4", false, 0},
		{503, "Fri, 31 Dec 1999 23:59:59 GMT", false, 0},
		{200, "3", false, 0},
		{500, "3", false, 0},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct pd_response_fields fields;
		char text[256];

		snprintf(text, sizeof(text),
			 "HTTP/1.1 %d X\r\nRetry-After: %s\r\nContent-Length: 0\r\n\r\n",
			 cases[i].status, cases[i].value);
		read_response(text, &fields);
		ck_assert_msg(fields.directives.has_pause == cases[i].has_pause, "%s",
			      cases[i].value);
		if (cases[i].has_pause)
			ck_assert_double_eq_tol(fields.directives.pause_s, cases[i].pause_s, 1e-9);
	}
}
END_TEST

START_TEST(leaving_is_read_from_every_status)
{
	/* Guards against a missed Server-Leaving: all responses of the upstream may state it. */
	static const struct {
		const char *status;
		const char *value;
		bool leaving;
	} cases[] = {{"200 OK", "1", true},	  {"503 Unavailable", "1", true},
		     {"500 Internal", "1", true}, {"200 OK", "0", false},
		     {"200 OK", "", false},	  {"200 OK", "11", false},
		     {"429 Too Many", "1", true}};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct pd_response_fields fields;
		char text[256];

		snprintf(text, sizeof(text),
			 "HTTP/1.1 %s\r\nserver-leaving: %s\r\nContent-Length: 0\r\n\r\n",
			 cases[i].status, cases[i].value);
		read_response(text, &fields);
		ck_assert_int_eq(fields.directives.leaving, cases[i].leaving);
	}
}
END_TEST

START_TEST(leaving_ends_only_with_the_start_of_the_upstream)
{
	/* Guards against a leaving upstream that is used again because its entry is written anew,
	 * also after it was removed, and against another start, or another upstream at the same
	 * address, that is barred.
	 */
	struct pd_upstream *upstream = put_upstream("a", 9, STARTED_MS);
	struct pd_upstream *other;

	record(upstream, (struct pd_directives){.leaving = true}, NOW_US);
	ck_assert_int_eq(check(upstream, NOW_US).block, PD_BLOCK_LEAVING);
	ck_assert(check(upstream, NOW_US).wait_us == PD_PERMIT_NEVER);
	upstream = put_upstream("a", 9, STARTED_MS);
	ck_assert_int_eq(check(upstream, NOW_US).block, PD_BLOCK_LEAVING);
	pd_registry_remove(&registry, PD_STR("a"), (struct pd_revision){0}, "test");
	other = put_upstream("b", 9, STARTED_MS);
	ck_assert_int_eq(check(other, NOW_US).block, PD_BLOCK_NONE);
	upstream = put_upstream("a", 9, STARTED_MS);
	ck_assert_int_eq(check(upstream, NOW_US).block, PD_BLOCK_LEAVING);
	pd_registry_remove(&registry, PD_STR("a"), (struct pd_revision){0}, "test");
	upstream = put_upstream("a", 10, STARTED_MS);
	ck_assert_int_eq(check(upstream, NOW_US).block, PD_BLOCK_NONE);
	record(upstream, (struct pd_directives){.leaving = true}, NOW_US);
	upstream = put_upstream("a", 10, STARTED_MS + 1);
	ck_assert_int_eq(check(upstream, NOW_US).block, PD_BLOCK_NONE);
}
END_TEST

START_TEST(late_response_of_an_old_start_does_not_bar_the_new_one)
{
	/* Guards against a new start of an upstream that is barred by a response of the old one. */
	struct pd_upstream *old = put_upstream("a", 9, STARTED_MS), *upstream;

	old->references++;
	upstream = put_upstream("a", 9, STARTED_MS + 1);
	record(old, (struct pd_directives){.leaving = true, .has_pause = true, .pause_s = 5},
	       NOW_US);
	ck_assert_int_eq(check(upstream, NOW_US).block, PD_BLOCK_NONE);
	pd_registry_unref(&registry, old);
}
END_TEST

START_TEST(pause_lasts_as_long_as_stated)
{
	/* Guards against a request before the pause has ended, a shorter pause that ends a longer
	 * one, a pause that is lost with the entry, and one without end.
	 */
	struct pd_upstream *upstream = put_upstream("a", 9, STARTED_MS);
	struct pd_permit permit;

	record(upstream, (struct pd_directives){.has_pause = true, .pause_s = 0}, NOW_US);
	ck_assert_int_eq(check(upstream, NOW_US).block, PD_BLOCK_NONE);
	record(upstream, (struct pd_directives){.has_pause = true, .pause_s = 4}, NOW_US);
	record(upstream, (struct pd_directives){.has_pause = true, .pause_s = 0.5}, NOW_US + 1000);
	pd_registry_remove(&registry, PD_STR("a"), (struct pd_revision){0}, "test");
	upstream = put_upstream("a", 9, STARTED_MS);
	permit = check(upstream, NOW_US + 2000);
	ck_assert_int_eq(permit.block, PD_BLOCK_PAUSED);
	ck_assert_int_ge(permit.wait_us, 3998000);
	ck_assert_int_le(permit.wait_us, 5000000);
	ck_assert_int_eq(check(upstream, NOW_US + 3999999).block, PD_BLOCK_PAUSED);
	ck_assert_int_eq(check(upstream, NOW_US + 5000001).block, PD_BLOCK_NONE);
}
END_TEST

START_TEST(limit_is_passed_on_while_it_is_stated)
{
	/* Guards against an instance that starts and doesn't know a limit that its source knows,
	 * against one that uses the share that its former process has used, and against a limit
	 * that has ended and is passed on from instance to instance. */
	const struct pd_directives directives = {.has_limit = true, .limit_per_s = 2};
	struct pd_upstream *upstream = put_upstream("a", 9, STARTED_MS);

	pd_permit_inherit_limit_locked(&registry, upstream, 3, NOW_US);
	ck_assert_int_eq(check(upstream, NOW_US).block, PD_BLOCK_RATE_LIMITED);
	ck_assert(!pd_permit_passes_limit_on_locked(upstream, NOW_US));
	record(upstream, directives, NOW_US);
	pd_permit_record_limit_locked(&registry, upstream, &directives, NOW_US, NOW_US);
	ck_assert(pd_permit_passes_limit_on_locked(upstream, NOW_US + PD_USEC_PER_SEC));
	ck_assert(!pd_permit_passes_limit_on_locked(upstream, NOW_US + 31 * PD_USEC_PER_SEC));
	/* What this instance was told holds. */
	pd_permit_inherit_limit_locked(&registry, upstream, 3, NOW_US);
	ck_assert_double_eq(upstream->terms.rate_limit.limit_per_s, 2);
	pd_permit_record_limit_locked(&registry, upstream, &(struct pd_directives){0},
				      NOW_US + 1000, NOW_US + 2000);
	ck_assert(!pd_permit_passes_limit_on_locked(upstream, NOW_US + 2000));
}
END_TEST

START_TEST(pause_of_a_relay_is_not_one_of_an_upstream)
{
	/* Guards against a larger instance that isn't used for a while because it refused one
	 * request: its Retry-After is for the client.
	 */
	struct pd_upstream_entry entry = make_entry("big", 9, STARTED_MS);
	struct pd_upstream *upstream;

	pd_registry_put_relay(&registry, &entry);
	HASH_FIND(hh, registry.relay_upstreams, "big", 3, upstream);
	ck_assert_ptr_nonnull(upstream);
	record(upstream, (struct pd_directives){.has_pause = true, .pause_s = 5}, NOW_US);
	ck_assert_int_eq(check(upstream, NOW_US).block, PD_BLOCK_NONE);
}
END_TEST

START_TEST(instances_return_from_a_pause_one_after_the_other)
{
	/* Guards against a fleet that returns to an upstream in the moment in which the pause ends,
	 * which it asked of all instances at once.
	 */
	struct pd_registry_options options = {.retry_ratio = 0.2, .retry_slack = 100};
	static struct pd_registry instances[FLEET_COUNT];
	size_t early = 0;

	ck_assert(pd_name_set(&options.zone, PD_STR("here")));
	for (size_t i = 0; i < FLEET_COUNT; i++) {
		struct pd_upstream_entry entry = make_entry("a", 9, STARTED_MS);
		struct pd_directives pause = {.has_pause = true, .pause_s = 4};
		struct pd_permit permit;

		pd_registry_init(&instances[i], &options);
		ck_assert(pd_registry_put(&instances[i], &entry, false));
		pthread_mutex_lock(&instances[i].lock);
		pd_permit_record_locked(&instances[i], instances[i].upstreams, &pause, NOW_US);
		permit = pd_permit_check_locked(&instances[i], instances[i].upstreams, NOW_US);
		pthread_mutex_unlock(&instances[i].lock);
		ck_assert_int_ge(permit.wait_us, 4000000);
		ck_assert_int_le(permit.wait_us, 5000000);
		early += permit.wait_us < 4500000;
		pd_registry_finish(&instances[i]);
	}
	ck_assert_uint_ge(early, FLEET_COUNT / 6);
	ck_assert_uint_le(early, FLEET_COUNT - FLEET_COUNT / 6);
}
END_TEST

START_TEST(clients_return_from_a_pause_one_after_the_other)
{
	/* Guards against a Retry-After that is earlier than the end of the pause, or the same for
	 * all clients.
	 */
	uint32_t least = UINT32_MAX, most = 0;

	for (uint64_t random = 0; random < 2000; random += 7) {
		uint32_t ms = pd_policy_retry_after_ms(PD_REFUSAL_PAUSED, 3000500, random);

		ck_assert_uint_ge(ms, 3001);
		ck_assert_uint_le(ms, 3752);
		least = ms < least ? ms : least;
		most = ms > most ? ms : most;
	}
	ck_assert_uint_le(least, 3050);
	ck_assert_uint_ge(most, 3700);
	ck_assert_uint_eq(pd_policy_retry_after_ms(PD_REFUSAL_PAUSED, INT64_C(86400000000), 0),
			  60000);
}
END_TEST

/* Makes the upstream give no permit for one reason. */
static void apply_block(struct pd_upstream *upstream, enum pd_block block)
{
	struct pd_upstream_entry entry =
		make_entry("a", ntohs(upstream->address.sin_port), upstream->started_unix_ms);
	struct pd_report wrong_instance = {.kind = PD_REPORT_WRONG_INSTANCE};
	struct pd_name zone;

	switch (block) {
	case PD_BLOCK_REMOVED:
		pd_registry_remove(&registry, PD_STR("a"), (struct pd_revision){0}, "test");
		break;
	case PD_BLOCK_REPLACED:
		upstream->references++;
		upstream->in_flight++;
		pd_registry_report(&registry, upstream, &wrong_instance, NOW_US);
		break;
	case PD_BLOCK_DRAINING:
		entry.draining = true;
		pd_registry_put(&registry, &entry, false);
		break;
	case PD_BLOCK_LEAVING:
		record(upstream, (struct pd_directives){.leaving = true}, NOW_US);
		break;
	case PD_BLOCK_VERSION:
		pd_registry_enable_versions(&registry);
		ck_assert(pd_name_set(&upstream->version, PD_STR("v2")));
		upstream->service->rollout.has_baseline = true;
		registry.list_complete = true;
		registry.rollouts_known = true;
		break;
	case PD_BLOCK_EVACUATED:
		ck_assert(pd_name_set(&zone, PD_STR("there")));
		pd_registry_set_evacuated(&registry, &zone, 1);
		break;
	case PD_BLOCK_UNREACHABLE:
		upstream->zone->unreachable = true;
		break;
	case PD_BLOCK_PAUSED:
		record(upstream, (struct pd_directives){.has_pause = true, .pause_s = 1000},
		       NOW_US);
		break;
	case PD_BLOCK_RATE_LIMITED:
		record(upstream, (struct pd_directives){.has_limit = true, .limit_per_s = 0},
		       NOW_US);
		break;
	case PD_BLOCK_COLD_LIMITED:
		upstream->service->cold_per_s = 1e-9;
		upstream->cold_until_us = NOW_US + 1000 * PD_USEC_PER_SEC;
		break;
	case PD_BLOCK_NONE:
	case PD_BLOCK_NO_UPSTREAM:
		break;
	}
}

/**
 * enum way - ways by which something is sent to an upstream
 *
 * The test tests/run_send_paths.sh checks that there are no others.
 */
enum way {
	WAY_FIRST_ATTEMPT, /* also that of a relayed request, of which the relay is the upstream */
	WAY_RETRY_OR_HEDGE,
	WAY_RATE_LIMIT_PROBE,
	WAY_KEPT_CONNECTION,
	WAY_RETURNED_CONNECTION,
	WAY_ZONE_PROBE,
	WAY_COUNT,
};

static int open_listener(uint16_t *port)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	ck_assert_int_ge(fd, 0);
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	ck_assert_int_eq(listen(fd, 8), 0);
	ck_assert_int_eq(getsockname(fd, (struct sockaddr *)&address, &len), 0);
	*port = ntohs(address.sin_port);
	return fd;
}

static struct pd_conn *connect_to(struct pd_upstream *upstream)
{
	struct pd_error err;
	struct pd_conn *conn = pd_pool_connect(&pool, upstream, &err);

	ck_assert_ptr_nonnull(conn);
	return conn;
}

static bool pick(struct pd_upstream *const *tried, size_t tried_count, int64_t now_us)
{
	struct pd_report report = {.kind = PD_REPORT_ABANDONED};
	struct pd_upstream *upstream;
	struct pd_service *service;

	HASH_FIND(hh, registry.services, "s", 1, service);
	ck_assert_ptr_nonnull(service);
	upstream = pd_registry_pick(&registry, service, tried, tried_count, now_us);
	if (upstream)
		pd_registry_report(&registry, upstream, &report, now_us);
	return upstream != NULL;
}

/* Whether something may be sent to the upstream "a" in one way, once it is blocked. */
static bool is_way_open(enum way way, enum pd_block block)
{
	struct pd_upstream *upstream, *probed, *other = put_upstream("b", 11, STARTED_MS);
	struct pd_conn *kept = NULL, *returned = NULL, *found;
	uint16_t port;
	int listener = open_listener(&port);
	bool open = false;

	upstream = put_upstream("a", port, STARTED_MS);
	/* Keeps the upstream while it is removed. */
	upstream->references++;
	if (way == WAY_KEPT_CONNECTION) {
		kept = connect_to(upstream);
		pd_pool_put(&pool, kept, NOW_US);
	}
	if (way == WAY_RETURNED_CONNECTION)
		returned = connect_to(upstream);
	if (way == WAY_RATE_LIMIT_PROBE) {
		record(upstream, (struct pd_directives){.has_limit = true, .limit_per_s = 0},
		       NOW_US - 100 * PD_USEC_PER_SEC);
		ck_assert(pick(&other, 1, NOW_US));
		upstream->terms.rate_limit.probe_us = NOW_US;
	}
	if (way == WAY_ZONE_PROBE)
		pd_registry_remove(&registry, PD_STR("b"), (struct pd_revision){0}, "test");
	apply_block(upstream, block);
	switch (way) {
	case WAY_FIRST_ATTEMPT:
		pd_registry_remove(&registry, PD_STR("b"), (struct pd_revision){0}, "test");
		open = pick(NULL, 0, NOW_US);
		break;
	case WAY_RETRY_OR_HEDGE:
	case WAY_RATE_LIMIT_PROBE:
		open = pick(&other, 1, NOW_US);
		break;
	case WAY_KEPT_CONNECTION:
		open = pick(&other, 1, NOW_US);
		found = pd_pool_get_idle(&pool, upstream, PD_USEC_PER_SEC, NOW_US);
		/* An idle connection may wait for the end of a block that has one. */
		if (found)
			pd_pool_close(&pool, found);
		open = open || (found && block <= PD_BLOCK_LEAVING);
		break;
	case WAY_RETURNED_CONNECTION:
		pd_pool_put(&pool, returned, NOW_US);
		open = upstream->idle && block <= PD_BLOCK_LEAVING;
		break;
	case WAY_ZONE_PROBE:
		upstream->zone->unreachable = true;
		probed = pd_registry_probe_target(&registry, NOW_US);
		open = probed != NULL;
		if (probed)
			pd_registry_unref(&registry, probed);
		break;
	case WAY_COUNT:
		break;
	}
	pd_registry_unref(&registry, upstream);
	close(listener);
	return open;
}

START_TEST(no_way_leads_past_a_block)
{
	/* Guards against a request that reaches an upstream by a way that doesn't ask for a permit.
	 * A probe of a zone opens a connection without a request, and is only denied for reasons of
	 * the upstream's own. The limits of rates have no probe while they allow requests.
	 */
	for (int block = PD_BLOCK_REMOVED; block <= PD_BLOCK_COLD_LIMITED; block++) {
		for (int way = 0; way < WAY_COUNT; way++) {
			bool expected = way == WAY_ZONE_PROBE &&
					(block == PD_BLOCK_EVACUATED ||
					 block == PD_BLOCK_UNREACHABLE || block > PD_BLOCK_PAUSED);

			if (way == WAY_RATE_LIMIT_PROBE && block == PD_BLOCK_RATE_LIMITED)
				continue;
			ck_assert_msg(is_way_open((enum way)way, (enum pd_block)block) == expected,
				      "way %d, block %s", way, pd_block_name((enum pd_block)block));
			teardown();
			setup();
		}
	}
}
END_TEST

START_TEST(best_permit_is_the_earliest)
{
	/* Guards against a refusal, or its Retry-After, that follows from the upstream which will
	 * take requests latest.
	 */
	struct pd_upstream *a = put_upstream("a", 9, STARTED_MS);
	struct pd_upstream *b = put_upstream("b", 9, STARTED_MS);
	struct pd_upstream *c = put_upstream("c", 9, STARTED_MS);
	struct pd_service *service = a->service;
	struct pd_permit permit;

	record(a, (struct pd_directives){.leaving = true}, NOW_US);
	permit = pd_registry_permit(&registry, service, NULL, 0, NOW_US);
	ck_assert_int_eq(permit.block, PD_BLOCK_NONE);
	record(b, (struct pd_directives){.has_pause = true, .pause_s = 8}, NOW_US);
	record(c, (struct pd_directives){.has_pause = true, .pause_s = 2}, NOW_US);
	permit = pd_registry_permit(&registry, service, NULL, 0, NOW_US);
	ck_assert_int_eq(permit.block, PD_BLOCK_PAUSED);
	ck_assert_int_le(permit.wait_us, 2500000);
	permit = pd_registry_permit(&registry, service, &c, 1, NOW_US);
	ck_assert_int_ge(permit.wait_us, 8000000);
	record(b, (struct pd_directives){.leaving = true}, NOW_US);
	record(c, (struct pd_directives){.leaving = true}, NOW_US);
	permit = pd_registry_permit(&registry, service, NULL, 0, NOW_US);
	ck_assert_int_eq(permit.block, PD_BLOCK_LEAVING);
	ck_assert(permit.wait_us == PD_PERMIT_NEVER);
}
END_TEST

/* Puts an upstream into one of the states that a choice depends on. */
static void set_state(struct pd_upstream *upstream, int state)
{
	switch (state) {
	case 0:
		upstream->cold_until_us = NOW_US + PD_USEC_PER_SEC;
		break;
	case 1:
		upstream->terms.paused_until_us = NOW_US + PD_USEC_PER_SEC;
		break;
	case 2:
		upstream->ejected_until_us = NOW_US + PD_USEC_PER_SEC;
		break;
	case 3:
		upstream->in_flight = 5;
		break;
	case 4:
		upstream->reported_load = 9;
		upstream->load_reported_us = NOW_US - 1;
		break;
	case 5:
		upstream->draining = true;
		break;
	case 6:
		record(upstream, (struct pd_directives){.has_limit = true, .limit_per_s = 1},
		       NOW_US);
		break;
	default:
		break;
	}
}

static void check_unchanged_limit(const struct pd_rate_limit *before,
				  const struct pd_rate_limit *now)
{
	ck_assert_int_eq(before->active, now->active);
	ck_assert(before->limit_per_s == now->limit_per_s && before->tokens == now->tokens);
	ck_assert_int_eq(before->updated_us, now->updated_us);
	ck_assert_int_eq(before->probe_us, now->probe_us);
}

/* Compares all that a choice, a permit or a report changes. */
static void check_unchanged(const struct pd_upstream *before, const struct pd_upstream *now)
{
	check_unchanged_limit(&before->terms.rate_limit, &now->terms.rate_limit);
	check_unchanged_limit(&before->terms.cold_limit, &now->terms.cold_limit);
	ck_assert_int_eq(before->terms.answered, now->terms.answered);
	ck_assert_int_eq(before->terms.leaving, now->terms.leaving);
	ck_assert_int_eq(before->terms.paused_until_us, now->terms.paused_until_us);
	ck_assert_uint_eq(before->terms.sent_count, now->terms.sent_count);
	ck_assert(before->terms.sent_lately == now->terms.sent_lately);
	ck_assert_int_eq(before->terms.sent_us, now->terms.sent_us);
	ck_assert_int_eq(before->references, now->references);
	ck_assert_uint_eq(before->in_flight, now->in_flight);
	ck_assert_uint_eq(before->connections, now->connections);
	ck_assert(before->latency_ratio == now->latency_ratio &&
		  before->failure_rate == now->failure_rate &&
		  before->reported_load == now->reported_load);
	ck_assert_int_eq(before->stats_updated_us, now->stats_updated_us);
	ck_assert_int_eq(before->load_reported_us, now->load_reported_us);
	ck_assert_uint_eq(before->failures, now->failures);
	ck_assert_int_eq(before->ejected_until_us, now->ejected_until_us);
	ck_assert_int_eq(before->cold_until_us, now->cold_until_us);
	ck_assert_ptr_eq(before->next, now->next);
	ck_assert_ptr_eq(before->idle, now->idle);
}

START_TEST(explanation_agrees_with_the_choice_and_changes_nothing)
{
	/* Guards against an explanation that names another upstream or reason than the choice, and
	 * against one that starts the limit of a cold start, uses up a token or counts a request.
	 */
	static const char *const ids[] = {"a", "b", "c"};
	struct pd_service *service;
	struct pd_upstream *upstreams[3];

	pd_log_open("test", PD_LOG_ERROR);
	for (int states = 0; states < 8 * 8 * 8; states++) {
		struct pd_choice choices[PD_CHOICES_MAX];
		struct pd_upstream before[3], *chosen;
		struct pd_permit permit, actual;
		uint64_t random;
		int64_t expected_us;
		size_t count;

		teardown();
		setup();
		for (int i = 0; i < 3; i++) {
			upstreams[i] = put_upstream(ids[i], (uint16_t)(9 + i), STARTED_MS);
		}
		service = upstreams[0]->service;
		service->cold_per_s = 1;
		service->service_time_us = 10000;
		service->service_time_updated_us = NOW_US;
		set_state(upstreams[0], states % 8);
		set_state(upstreams[1], states / 8 % 8);
		set_state(upstreams[2], states / 64);
		for (int i = 0; i < 3; i++)
			before[i] = *upstreams[i];
		random = registry.random_state;
		count = pd_registry_explain(&registry, service, NOW_US, choices, &permit,
					    &expected_us);
		ck_assert_uint_eq(count, 3);
		ck_assert_uint_eq(registry.random_state, random);
		for (int i = 0; i < 3; i++)
			check_unchanged(&before[i], upstreams[i]);
		actual = pd_registry_permit(&registry, service, NULL, 0, NOW_US);
		ck_assert_int_eq(permit.block, actual.block);
		ck_assert_int_eq(permit.wait_us, actual.wait_us);
		ck_assert_int_eq(expected_us,
				 pd_registry_expected_latency_us(&registry, service, NOW_US));
		chosen = pd_registry_pick(&registry, service, NULL, 0, NOW_US);
		for (size_t i = 0; i < count; i++) {
			bool same = chosen && pd_name_equal(&choices[i].id, &chosen->id);

			ck_assert(!same || choices[i].chosen_share > 0);
			ck_assert(chosen || choices[i].chosen_share <= 0);
			ck_assert(choices[i].permit.block == PD_BLOCK_NONE ||
				  choices[i].chosen_share <= 0);
		}
		ck_assert_int_eq(permit.block == PD_BLOCK_NONE, chosen != NULL);
	}
}
END_TEST

int main(void)
{
	const TTest *tests[] = {
		retry_after_has_a_meaning_for_every_value,
		leaving_is_read_from_every_status,
		leaving_ends_only_with_the_start_of_the_upstream,
		late_response_of_an_old_start_does_not_bar_the_new_one,
		pause_lasts_as_long_as_stated,
		limit_is_passed_on_while_it_is_stated,
		pause_of_a_relay_is_not_one_of_an_upstream,
		instances_return_from_a_pause_one_after_the_other,
		clients_return_from_a_pause_one_after_the_other,
		no_way_leads_past_a_block,
		best_permit_is_the_earliest,
		explanation_agrees_with_the_choice_and_changes_nothing,
	};

	return suite_run_with("permit", setup, teardown, tests, sizeof(tests) / sizeof(tests[0]));
}
