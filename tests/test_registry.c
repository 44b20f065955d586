/**
 * DOC: What the registry believes of upstreams, zones and configurations
 */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "objects.h"
#include "os.h"
#include "registry.h"
#include "suite.h"

static struct pd_registry registry;

static void init(void)
{
	struct pd_registry_options options = {.retry_ratio = 0.2, .retry_slack = 100};

	ck_assert(pd_name_set(&options.zone, PD_STR("here")));
	pd_registry_init(&registry, &options);
}

static struct pd_upstream_entry entry_of(const char *id, const char *zone)
{
	struct pd_upstream_entry entry = {.slots = 3, .started_ms = 1};

	ck_assert(pd_name_set(&entry.id, pd_str_from(id)));
	ck_assert(pd_name_set(&entry.service, PD_STR("s")));
	ck_assert(pd_name_set(&entry.zone, pd_str_from(zone)));
	entry.address.in = (struct sockaddr_in){.sin_family = AF_INET, .sin_port = htons(9)};
	snprintf(entry.address.text, sizeof(entry.address.text), "127.0.0.1:9");
	return entry;
}

static void put(const char *id, const char *zone)
{
	struct pd_upstream_entry entry = entry_of(id, zone);

	pd_registry_put(&registry, &entry);
}

static struct pd_service *service(void)
{
	struct pd_service *found;

	HASH_FIND(hh, registry.services, "s", 1, found);
	ck_assert_ptr_nonnull(found);
	return found;
}

/* Picks, reports and returns the id; empty when none is usable. */
static const char *pick_and_report(enum pd_report_kind kind, int64_t now)
{
	static char id[PD_NAME_MAX_BYTES + 1];
	struct pd_upstream *upstream = pd_registry_pick(&registry, service(), NULL, 0, now);
	struct pd_report report = {.kind = kind, .latency_us = 1000};

	id[0] = '\0';
	if (upstream) {
		memcpy(id, upstream->id.text, sizeof(id));
		pd_registry_report(&registry, upstream, &report, now);
	}
	return id;
}

START_TEST(prefers_the_own_zone_and_leaves_failing_ones)
{
	/* An upstream that fails again and again must not be chosen while another one works. */
	int64_t now = pd_os_boot_us();

	init();
	put("a", "here");
	put("b", "there");
	ck_assert_str_eq(pick_and_report(PD_REPORT_SUCCESS, now), "a");
	for (int i = 0; i < 3; i++) {
		struct pd_upstream *upstream;
		struct pd_report report = {.kind = PD_REPORT_FAILURE};

		HASH_FIND(hh, registry.upstreams, "a", 1, upstream);
		ck_assert_ptr_nonnull(upstream);
		upstream->references++;
		upstream->in_flight++;
		pd_registry_report(&registry, upstream, &report, now);
	}
	ck_assert_str_eq(pick_and_report(PD_REPORT_SUCCESS, now), "b");
	/* It is tried again after a while. */
	ck_assert_str_eq(pick_and_report(PD_REPORT_SUCCESS, now + 60000000), "a");
	pd_registry_finish(&registry);
}
END_TEST

START_TEST(draining_removed_and_evacuated_get_nothing)
{
	struct pd_upstream_entry draining = entry_of("a", "here");
	struct pd_name zone;
	int64_t now = pd_os_boot_us();

	init();
	put("a", "here");
	put("b", "there");
	draining.draining = true;
	pd_registry_put(&registry, &draining);
	ck_assert_str_eq(pick_and_report(PD_REPORT_SUCCESS, now), "b");
	ck_assert(pd_name_set(&zone, PD_STR("there")));
	pd_registry_set_evacuated(&registry, &zone, 1);
	ck_assert_str_eq(pick_and_report(PD_REPORT_SUCCESS, now), "");
	pd_registry_set_evacuated(&registry, NULL, 0);
	pd_registry_remove(&registry, PD_STR("b"), "test");
	ck_assert_str_eq(pick_and_report(PD_REPORT_SUCCESS, now), "");
	pd_registry_finish(&registry);
}
END_TEST

START_TEST(wrong_instance_is_not_asked_again)
{
	/* Each request at an address that another service has taken over is an arrival there. */
	int64_t now = pd_os_boot_us();

	init();
	put("a", "here");
	ck_assert_str_eq(pick_and_report(PD_REPORT_WRONG_INSTANCE, now), "a");
	ck_assert_str_eq(pick_and_report(PD_REPORT_SUCCESS, now + 60000000), "");
	put("a", "here"); /* its entry was written anew */
	ck_assert_str_eq(pick_and_report(PD_REPORT_SUCCESS, now), "a");
	pd_registry_finish(&registry);
}
END_TEST

START_TEST(list_removes_what_it_lacks)
{
	init();
	put("a", "here");
	put("b", "here");
	pd_registry_list_begin(&registry);
	put("b", "here");
	pd_registry_list_end(&registry);
	ck_assert_uint_eq(service()->upstream_count, 1);
	ck_assert(registry.list_complete);
	pd_registry_finish(&registry);
}
END_TEST

START_TEST(removals_wait_for_lapsed_entries)
{
	/* Entries lapse while the store is away; upstreams that live are back two seconds later,
	 * and the others are gone then. */
	struct pd_upstream_entry *entries;
	size_t count;

	init();
	put("a", "here");
	put("b", "here");
	pd_registry_list_begin(&registry);
	put("a", "here");
	put("b", "here");
	pd_registry_list_end(&registry);
	pd_registry_hold_removals(&registry);
	pd_registry_remove(&registry, PD_STR("a"), "test");
	pd_registry_remove(&registry, PD_STR("b"), "test");
	pd_registry_apply_removals(&registry);
	ck_assert_uint_eq(service()->upstream_count, 2);
	put("a", "here");
	/* Held ones aren't passed on to followers, which hold for themselves. */
	ck_assert(pd_registry_export(&registry, &entries, &count));
	ck_assert_uint_eq(count, 1);
	ck_assert_str_eq(entries[0].id.text, "a");
	free(entries);
	pd_registry_apply_removals(&registry);
	ck_assert_uint_eq(service()->upstream_count, 2);
	pd_registry_release_removals(&registry);
	pd_registry_apply_removals(&registry);
	ck_assert_uint_eq(service()->upstream_count, 1);
	pd_registry_finish(&registry);
}
END_TEST

START_TEST(new_incarnation_replaces_the_old_one)
{
	/* An upstream that started again under its id knows nothing of before. */
	struct pd_upstream_entry again = entry_of("a", "here");
	struct pd_upstream *held;
	int64_t now = pd_os_boot_us();

	init();
	put("a", "here");
	held = pd_registry_pick(&registry, service(), NULL, 0, now);
	again.started_ms = 2;
	pd_registry_put(&registry, &again);
	ck_assert_uint_eq(service()->upstream_count, 1);
	ck_assert_ptr_ne(service()->upstreams, held);
	ck_assert(held->removed);
	pd_registry_report(&registry, held, &(struct pd_report){.kind = PD_REPORT_SUCCESS}, now);
	pd_registry_finish(&registry);
}
END_TEST

START_TEST(silent_zone_is_out_of_reach_until_heard)
{
	/* Requests to a zone that is cut off wait until they are late; one paused upstream is none.
	 */
	int64_t now = pd_os_boot_us();
	struct pd_upstream *upstreams[4];
	char id[2] = "a";

	init();
	for (int i = 0; i < 4; i++, id[0]++) {
		put(id, "there");
		HASH_FIND(hh, registry.upstreams, id, 1, upstreams[i]);
	}
	for (int round = 0; round < 5; round++)
		pd_registry_report_overdue(&registry, upstreams[0], NULL, 1000,
					   now + round * 400000);
	ck_assert(!upstreams[0]->zone->unreachable);
	for (int i = 0; i < 4; i++)
		pd_registry_report_overdue(&registry, upstreams[i], NULL, 1000, now + 2400000);
	ck_assert(upstreams[0]->zone->unreachable);
	ck_assert_str_eq(pick_and_report(PD_REPORT_SUCCESS, now), "");
	pd_registry_report_received(&registry, upstreams[2], now + 2500000);
	ck_assert(!upstreams[0]->zone->unreachable);
	pd_registry_finish(&registry);
}
END_TEST

static struct pd_catalog *catalog_of(const char *text)
{
	json_t *json = json_loads(text, 0, NULL);
	struct pd_error err = {0};
	struct pd_catalog *catalog;

	ck_assert_ptr_nonnull(json);
	catalog = pd_object_read_config(json, &err);
	json_decref(json);
	return catalog;
}

#define SPLIT                                                                                      \
	"{\"version\":%d,\"services\":[{\"name\":\"s\"},{\"name\":\"t\"}],\"routes\":[{\"name\":"  \
	"\"r\",\"host\":\"h\",\"path_prefix\":\"/\",\"traffic_split\":[{\"service\":\"s\","        \
	"\"weight\":90},{\"service\":\"t\",\"weight\":10}]}]}"

START_TEST(versions_never_go_back)
{
	char text[512];

	init();
	snprintf(text, sizeof(text), SPLIT, 7);
	ck_assert(pd_registry_install(&registry, catalog_of(text)));
	ck_assert(!pd_registry_install(&registry, catalog_of(text)));
	snprintf(text, sizeof(text), SPLIT, 6);
	ck_assert(!pd_registry_install(&registry, catalog_of(text)));
	ck_assert_uint_eq(registry.catalog->version, 7);
	pd_registry_finish(&registry);
}
END_TEST

START_TEST(split_keeps_its_shares)
{
	/* Shares must hold over a few hundred requests, also where each instance has a few of them.
	 */
	int to_t = 0;
	char text[512];

	snprintf(text, sizeof(text), SPLIT, 1);
	for (int instance = 0; instance < 60; instance++) {
		init();
		ck_assert(pd_registry_install(&registry, catalog_of(text)));
		for (int i = 0; i < 5; i++)
			to_t += pd_registry_next_target(&registry, registry.catalog->routes) == 1;
		pd_registry_finish(&registry);
	}
	ck_assert_int_ge(to_t, 300 * 0.04);
	ck_assert_int_le(to_t, 300 * 0.19);
}
END_TEST

START_TEST(expected_time_grows_with_the_queue)
{
	int64_t now = pd_os_boot_us();
	struct pd_upstream *upstream;
	struct pd_report report = {
		.kind = PD_REPORT_SUCCESS, .latency_us = 30000, .has_load = true, .load = 1};

	init();
	put("a", "here");
	ck_assert_int_eq(pd_registry_expected_latency_us(&registry, service(), now), 0);
	upstream = pd_registry_pick(&registry, service(), NULL, 0, now);
	pd_registry_report(&registry, upstream, &report, now);
	ck_assert_int_eq(pd_registry_expected_latency_us(&registry, service(), now), 30000);
	report.load = 14;
	report.waiting = 11;
	upstream = pd_registry_pick(&registry, service(), NULL, 0, now);
	pd_registry_report(&registry, upstream, &report, now);
	ck_assert_int_eq(pd_registry_expected_latency_us(&registry, service(), now), 150000);
	ck_assert_int_lt(pd_registry_expected_latency_us(&registry, service(), now + 300000),
			 80000);
	pd_registry_finish(&registry);
}
END_TEST

START_TEST(usual_time_that_refuses_all_is_forgotten)
{
	/* After a pause of this process the first answer seems to have taken seconds. Refused for
	 * that, no request would ever show that the service is fast. */
	int64_t now = pd_os_boot_us();
	struct pd_upstream *upstream;
	struct pd_report report = {
		.kind = PD_REPORT_SUCCESS, .latency_us = 3000000, .has_load = true, .load = 1};

	init();
	put("a", "here");
	upstream = pd_registry_pick(&registry, service(), NULL, 0, now);
	pd_registry_report(&registry, upstream, &report, now);
	ck_assert_int_eq(pd_registry_expected_latency_us(&registry, service(), now + 900000),
			 3000000);
	now += 6000000;
	ck_assert_int_lt(pd_registry_expected_latency_us(&registry, service(), now), 300000);
	report.latency_us = 5000;
	upstream = pd_registry_pick(&registry, service(), NULL, 0, now);
	pd_registry_report(&registry, upstream, &report, now);
	ck_assert_int_lt(pd_registry_expected_latency_us(&registry, service(), now), 300000);
	pd_registry_finish(&registry);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		prefers_the_own_zone_and_leaves_failing_ones,
		draining_removed_and_evacuated_get_nothing,
		wrong_instance_is_not_asked_again,
		list_removes_what_it_lacks,
		removals_wait_for_lapsed_entries,
		new_incarnation_replaces_the_old_one,
		silent_zone_is_out_of_reach_until_heard,
		versions_never_go_back,
		split_keeps_its_shares,
		expected_time_grows_with_the_queue,
		usual_time_that_refuses_all_is_forgotten,
	};

	return suite_run("registry", tests, sizeof(tests) / sizeof(tests[0]));
}
