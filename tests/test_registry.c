/**
 * DOC: Tests of the registry's upstreams, zones, statistics and configurations
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

static void init_registry(void)
{
	struct pd_registry_options options = {.retry_ratio = 0.2, .retry_slack = 100};

	ck_assert(pd_name_set(&options.zone, PD_STR("here")));
	pd_registry_init(&registry, &options);
}

static struct pd_upstream_entry make_entry(const char *id, const char *zone)
{
	struct pd_upstream_entry entry = {.slots = 3, .started_unix_ms = 1};

	ck_assert(pd_name_set(&entry.id, pd_str_from(id)));
	ck_assert(pd_name_set(&entry.service, PD_STR("s")));
	ck_assert(pd_name_set(&entry.zone, pd_str_from(zone)));
	entry.address.in = (struct sockaddr_in){.sin_family = AF_INET, .sin_port = htons(9)};
	snprintf(entry.address.text, sizeof(entry.address.text), "127.0.0.1:9");
	return entry;
}

static void put_upstream(const char *id, const char *zone)
{
	struct pd_upstream_entry entry = make_entry(id, zone);

	pd_registry_put(&registry, &entry);
}

static struct pd_service *find_service(void)
{
	struct pd_service *found;

	HASH_FIND(hh, registry.services, "s", 1, found);
	ck_assert_ptr_nonnull(found);
	return found;
}

/* Picks an upstream, reports a result of the given kind and returns the upstream's id; empty if no
 * upstream is usable. */
static const char *pick_and_report(enum pd_report_kind kind, int64_t now)
{
	static char id[PD_NAME_MAX_BYTES + 1];
	struct pd_upstream *upstream = pd_registry_pick(&registry, find_service(), NULL, 0, now);
	struct pd_report report = {.kind = kind, .latency_us = 1000};

	id[0] = '\0';
	if (upstream) {
		memcpy(id, upstream->id.text, sizeof(id));
		pd_registry_report(&registry, upstream, &report, now);
	}
	return id;
}

START_TEST(prefers_own_zone_and_ejects_failing_upstreams)
{
	/* Guards against repeated failures: an upstream that fails repeatedly must not be chosen
	 * while another one works.
	 */
	int64_t now = pd_os_boot_us();

	init_registry();
	put_upstream("a", "here");
	put_upstream("b", "there");
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
	/* After its ejection it is chosen again. */
	ck_assert_str_eq(pick_and_report(PD_REPORT_SUCCESS, now + 60000000), "a");
	pd_registry_finish(&registry);
}
END_TEST

START_TEST(draining_removed_and_evacuated_get_no_requests)
{
	/* Guards against requests to an upstream that is draining, was removed or is in an
	 * evacuated zone.
	 */
	struct pd_upstream_entry draining = make_entry("a", "here");
	struct pd_name zone;
	int64_t now = pd_os_boot_us();

	init_registry();
	put_upstream("a", "here");
	put_upstream("b", "there");
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

START_TEST(wrong_instance_gets_no_further_requests)
{
	/* Guards against load on another service, one of whose instances has taken over the address
	 * of an upstream.
	 */
	int64_t now = pd_os_boot_us();

	init_registry();
	put_upstream("a", "here");
	ck_assert_str_eq(pick_and_report(PD_REPORT_WRONG_INSTANCE, now), "a");
	ck_assert_str_eq(pick_and_report(PD_REPORT_SUCCESS, now + 60000000), "");
	put_upstream("a", "here"); /* the upstream's entry was written again */
	ck_assert_str_eq(pick_and_report(PD_REPORT_SUCCESS, now), "a");
	pd_registry_finish(&registry);
}
END_TEST

START_TEST(complete_list_removes_missing_upstreams)
{
	/* Guards against upstreams that are never removed: if the removal of an entry was missed,
	 * the next complete list must remove the upstream.
	 */
	init_registry();
	put_upstream("a", "here");
	put_upstream("b", "here");
	pd_registry_list_begin(&registry);
	put_upstream("b", "here");
	pd_registry_list_end(&registry);
	ck_assert_uint_eq(find_service()->upstream_count, 1);
	ck_assert(registry.list_complete);
	pd_registry_finish(&registry);
}
END_TEST

START_TEST(removals_are_held_for_expired_entries)
{
	/* Guards against removing running upstreams: the leases of entries expire in an outage of
	 * the store. Upstreams that still run register again within two seconds; only the others
	 * may be removed.
	 */
	struct pd_upstream_entry *entries;
	size_t count;

	init_registry();
	put_upstream("a", "here");
	put_upstream("b", "here");
	pd_registry_list_begin(&registry);
	put_upstream("a", "here");
	put_upstream("b", "here");
	pd_registry_list_end(&registry);
	pd_registry_hold_removals(&registry);
	pd_registry_remove(&registry, PD_STR("a"), "test");
	pd_registry_remove(&registry, PD_STR("b"), "test");
	pd_registry_apply_removals(&registry);
	ck_assert_uint_eq(find_service()->upstream_count, 2);
	put_upstream("a", "here");
	/* Upstreams with a pending removal aren't exported to followers: followers hold
	 * removals themselves. */
	ck_assert(pd_registry_export(&registry, &entries, &count));
	ck_assert_uint_eq(count, 1);
	ck_assert_str_eq(entries[0].id.text, "a");
	free(entries);
	pd_registry_apply_removals(&registry);
	ck_assert_uint_eq(find_service()->upstream_count, 2);
	pd_registry_release_removals(&registry);
	pd_registry_apply_removals(&registry);
	ck_assert_uint_eq(find_service()->upstream_count, 1);
	pd_registry_finish(&registry);
}
END_TEST

START_TEST(new_incarnation_replaces_old_one)
{
	/* Guards against outdated statistics and connections after an upstream has restarted with
	 * the same id. Requests in flight to the old incarnation must still end safely.
	 */
	struct pd_upstream_entry restarted = make_entry("a", "here");
	struct pd_upstream *old_upstream;
	int64_t now = pd_os_boot_us();

	init_registry();
	put_upstream("a", "here");
	old_upstream = pd_registry_pick(&registry, find_service(), NULL, 0, now);
	restarted.started_unix_ms = 2;
	pd_registry_put(&registry, &restarted);
	ck_assert_uint_eq(find_service()->upstream_count, 1);
	ck_assert_ptr_ne(find_service()->upstreams, old_upstream);
	ck_assert(old_upstream->removed);
	pd_registry_report(&registry, old_upstream, &(struct pd_report){.kind = PD_REPORT_SUCCESS},
			   now);
	pd_registry_finish(&registry);
}
END_TEST

START_TEST(silent_zone_is_unreachable_until_data_arrives)
{
	/* Guards against slow requests: each request to an unreachable zone would wait until it is
	 * overdue. One paused upstream must not make its zone unreachable.
	 */
	int64_t now = pd_os_boot_us();
	struct pd_upstream *upstreams[4];
	char id[2] = "a";

	init_registry();
	for (int i = 0; i < 4; i++, id[0]++) {
		put_upstream(id, "there");
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

static struct pd_catalog *make_catalog(const char *text)
{
	json_t *json = json_loads(text, 0, NULL);
	struct pd_error err = {0};
	struct pd_catalog *catalog;

	ck_assert_ptr_nonnull(json);
	catalog = pd_object_read_config(json, &err);
	json_decref(json);
	return catalog;
}

#define SPLIT_CONFIG                                                                               \
	"{\"version\":%d,\"services\":[{\"name\":\"s\"},{\"name\":\"t\"}],\"routes\":[{\"name\":"  \
	"\"r\",\"host\":\"h\",\"path_prefix\":\"/\",\"traffic_split\":[{\"service\":\"s\","        \
	"\"weight\":90},{\"service\":\"t\",\"weight\":10}]}]}"

START_TEST(older_configuration_is_rejected)
{
	/* Guards against a return to an older configuration, sent by an outdated source. */
	char text[512];

	init_registry();
	snprintf(text, sizeof(text), SPLIT_CONFIG, 7);
	ck_assert(pd_registry_install(&registry, make_catalog(text)));
	ck_assert(!pd_registry_install(&registry, make_catalog(text)));
	snprintf(text, sizeof(text), SPLIT_CONFIG, 6);
	ck_assert(!pd_registry_install(&registry, make_catalog(text)));
	ck_assert_uint_eq(registry.catalog->version, 7);
	pd_registry_finish(&registry);
}
END_TEST

START_TEST(traffic_split_keeps_its_shares)
{
	/* Guards against wrong shares of a traffic split: they must hold over a few hundred
	 * requests in total, even if each instance gets only a few of them.
	 */
	int count_t = 0;
	char text[512];

	snprintf(text, sizeof(text), SPLIT_CONFIG, 1);
	for (int instance = 0; instance < 60; instance++) {
		init_registry();
		ck_assert(pd_registry_install(&registry, make_catalog(text)));
		for (int i = 0; i < 5; i++)
			count_t +=
				pd_registry_next_target(&registry, registry.catalog->routes) == 1;
		pd_registry_finish(&registry);
	}
	ck_assert_int_ge(count_t, 300 * 0.04);
	ck_assert_int_le(count_t, 300 * 0.19);
}
END_TEST

START_TEST(expected_latency_grows_with_queue)
{
	/* Guards against wrong admission control, which refuses requests by the expected latency. A
	 * queue that was reported some time ago must count less, since its requests have been
	 * executed in the meantime.
	 */
	int64_t now = pd_os_boot_us();
	struct pd_upstream *upstream;
	struct pd_report report = {
		.kind = PD_REPORT_SUCCESS, .latency_us = 30000, .has_load = true, .load = 1};

	init_registry();
	put_upstream("a", "here");
	ck_assert_int_eq(pd_registry_expected_latency_us(&registry, find_service(), now), 0);
	upstream = pd_registry_pick(&registry, find_service(), NULL, 0, now);
	pd_registry_report(&registry, upstream, &report, now);
	ck_assert_int_eq(pd_registry_expected_latency_us(&registry, find_service(), now), 30000);
	report.load = 14;
	report.queued = 11;
	upstream = pd_registry_pick(&registry, find_service(), NULL, 0, now);
	pd_registry_report(&registry, upstream, &report, now);
	ck_assert_int_eq(pd_registry_expected_latency_us(&registry, find_service(), now), 150000);
	ck_assert_int_lt(pd_registry_expected_latency_us(&registry, find_service(), now + 300000),
			 80000);
	pd_registry_finish(&registry);
}
END_TEST

START_TEST(high_service_time_decays_without_responses)
{
	/* Guards against refusing all requests for good: after a pause of this process, the first
	 * response seems to have taken seconds. If all requests were refused because of that, no
	 * response would ever show that the service is fast.
	 */
	int64_t now = pd_os_boot_us();
	struct pd_upstream *upstream;
	struct pd_report report = {
		.kind = PD_REPORT_SUCCESS, .latency_us = 3000000, .has_load = true, .load = 1};

	init_registry();
	put_upstream("a", "here");
	upstream = pd_registry_pick(&registry, find_service(), NULL, 0, now);
	pd_registry_report(&registry, upstream, &report, now);
	ck_assert_int_eq(pd_registry_expected_latency_us(&registry, find_service(), now + 900000),
			 3000000);
	now += 6000000;
	ck_assert_int_lt(pd_registry_expected_latency_us(&registry, find_service(), now), 300000);
	report.latency_us = 5000;
	upstream = pd_registry_pick(&registry, find_service(), NULL, 0, now);
	pd_registry_report(&registry, upstream, &report, now);
	ck_assert_int_lt(pd_registry_expected_latency_us(&registry, find_service(), now), 300000);
	pd_registry_finish(&registry);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		prefers_own_zone_and_ejects_failing_upstreams,
		draining_removed_and_evacuated_get_no_requests,
		wrong_instance_gets_no_further_requests,
		complete_list_removes_missing_upstreams,
		removals_are_held_for_expired_entries,
		new_incarnation_replaces_old_one,
		silent_zone_is_unreachable_until_data_arrives,
		older_configuration_is_rejected,
		traffic_split_keeps_its_shares,
		expected_latency_grows_with_queue,
		high_service_time_decays_without_responses,
	};

	return suite_run("registry", tests, sizeof(tests) / sizeof(tests[0]));
}
