/**
 * DOC: Tests of the registry's upstreams, zones, statistics and configurations
 */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "objects.h"
#include "os.h"
#include "registry.h"
#include "registry_fleet.h"
#include "suite.h"

static struct pd_registry registry;

static void init_registry(void)
{
	struct pd_registry_options options = {.retry_ratio = 0.2, .retry_slack = 100};

	ck_assert(pd_name_set(&options.zone, PD_STR("here")));
	pd_registry_init(&registry, &options);
}

static void put_upstream(const char *id, const char *zone)
{
	struct pd_upstream_entry entry = make_entry(id, zone);

	pd_registry_put(&registry, &entry, false);
}

static struct pd_revision at_revision(uint64_t number)
{
	return (struct pd_revision){1, number};
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
	pd_registry_put(&registry, &draining, false);
	ck_assert_str_eq(pick_and_report(PD_REPORT_SUCCESS, now), "b");
	ck_assert(pd_name_set(&zone, PD_STR("there")));
	pd_registry_set_evacuated(&registry, &zone, 1);
	ck_assert_str_eq(pick_and_report(PD_REPORT_SUCCESS, now), "");
	pd_registry_set_evacuated(&registry, NULL, 0);
	pd_registry_remove(&registry, PD_STR("b"), (struct pd_revision){0}, "test");
	ck_assert_str_eq(pick_and_report(PD_REPORT_SUCCESS, now), "");
	pd_registry_finish(&registry);
}
END_TEST

START_TEST(older_entries_do_not_take_back_newer_ones)
{
	/* Guards against requests to upstreams that are draining or have left: a store that was
	 * restored from a copy lists them as they were before.
	 */
	struct pd_upstream_entry entry = make_entry("a", "here"), older;
	int64_t now = pd_os_boot_us();

	init_registry();
	entry.sequence = 4;
	older = entry;
	entry.sequence = 5;
	entry.draining = true;
	ck_assert(pd_registry_put(&registry, &entry, false));
	ck_assert(pd_registry_put(&registry, &older, false));
	/* Followers get the newer entry. */
	ck_assert(older.draining);
	ck_assert_uint_eq(older.sequence, 5);
	ck_assert_str_eq(pick_and_report(PD_REPORT_SUCCESS, now), "");
	pd_registry_remove(&registry, PD_STR("a"), (struct pd_revision){0}, "test");
	ck_assert(!pd_registry_put(&registry, &older, false));
	ck_assert_str_eq(pick_and_report(PD_REPORT_SUCCESS, now), "");
	/* The upstream itself writes again, as after its entry has expired in an outage. */
	entry.sequence = 6;
	entry.draining = false;
	ck_assert(pd_registry_put(&registry, &entry, false));
	ck_assert_str_eq(pick_and_report(PD_REPORT_SUCCESS, now), "a");
	/* The sequence starts again with the upstream; the entry of the earlier start is older. */
	older = entry;
	entry.started_unix_ms = 2;
	entry.sequence = 1;
	ck_assert(pd_registry_put(&registry, &entry, false));
	ck_assert(pd_registry_put(&registry, &older, false));
	ck_assert_int_eq(older.started_unix_ms, 2);
	/* A removal that is held isn't taken back either. */
	entry.sequence = 2;
	ck_assert(pd_registry_put(&registry, &entry, false));
	older = entry;
	older.sequence = 1;
	pd_registry_hold_removals(&registry);
	pd_registry_remove(&registry, PD_STR("a"), (struct pd_revision){0}, "test");
	ck_assert(pd_registry_put(&registry, &older, false));
	pd_registry_release_removals(&registry);
	pd_registry_apply_removals(&registry);
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
	uint64_t list = pd_registry_list_begin(&registry);
	put_upstream("b", "here");
	pd_registry_list_end(&registry, list, (struct pd_revision){0});
	ck_assert_uint_eq(find_service()->upstream_count, 1);
	ck_assert(registry.list_complete);
	pd_registry_finish(&registry);
}
END_TEST

START_TEST(lists_hold_services_with_any_name)
{
	/* Guards against upstreams that stay in use after they have left, and against followers
	 * that never hear of them: the name of a service was taken for that of the larger
	 * instances.
	 */
	struct pd_upstream_entry entry = make_entry("a", "here"), *entries;
	struct pd_upstream *upstream;
	uint64_t list;
	size_t count;

	init_registry();
	ck_assert(pd_name_set(&entry.service, PD_STR(".relays")));
	list = pd_registry_list_begin(&registry);
	ck_assert(pd_registry_put(&registry, &entry, false));
	pd_registry_list_end(&registry, list, (struct pd_revision){0});
	ck_assert(pd_registry_export(&registry, &entries, &count));
	ck_assert_uint_eq(count, 1);
	free(entries);
	list = pd_registry_list_begin(&registry);
	pd_registry_list_end(&registry, list, (struct pd_revision){0});
	HASH_FIND(hh, registry.upstreams, "a", 1, upstream);
	ck_assert_ptr_null(upstream);
	pd_registry_finish(&registry);
}
END_TEST

START_TEST(instance_and_upstream_of_one_name_are_apart)
{
	/* Guards against an instance and an upstream of the same name that replace each other: the
	 * upstream would lose its statistics and connections with each list of instances, and
	 * requests of its service would go to the instance.
	 */
	struct pd_upstream_entry entry = make_entry("a", "here"),
				 instance = make_entry("a", "here");
	struct pd_upstream *upstream, *relay;

	init_registry();
	instance.address.in.sin_port = htons(10);
	instance.started_unix_ms = 0;
	ck_assert(pd_registry_put(&registry, &entry, false));
	pd_registry_put_relay(&registry, &instance);
	HASH_FIND(hh, registry.upstreams, "a", 1, upstream);
	HASH_FIND(hh, registry.relay_upstreams, "a", 1, relay);
	ck_assert_ptr_nonnull(upstream);
	ck_assert_ptr_eq(upstream, find_service()->upstreams);
	ck_assert_ptr_eq(relay, registry.relays.upstreams);
	pd_registry_put_relay(&registry, &instance);
	ck_assert_ptr_eq(relay, registry.relays.upstreams);
	/* An instance that was started again at another address. */
	instance.address.in.sin_port = htons(11);
	pd_registry_put_relay(&registry, &instance);
	ck_assert_uint_eq(registry.relays.upstream_count, 1);
	ck_assert_uint_eq(ntohs(registry.relays.upstreams->address.sin_port), 11);
	/* The removal of the upstream doesn't concern the instance. */
	pd_registry_remove(&registry, PD_STR("a"), (struct pd_revision){0}, "test");
	ck_assert_ptr_null(find_service()->upstreams);
	ck_assert_uint_eq(registry.relays.upstream_count, 1);
	pd_registry_finish(&registry);
}
END_TEST

START_TEST(ids_have_any_length_and_any_bytes)
{
	/* Guards against upstreams that are skipped because of their ids, against an id that is
	 * sent or passed on in another form, and against one that ends a header.
	 */
	static const char *const ids[] = {
		"box.repair-desk.menders-of-new-england.search.some-network-or-other.example",
		"box.repair-desk.menders-of-new-england.search.some-network-or-other.examples",
		"box 7/\xc3\xbc", "b"};
	struct pd_upstream_entry entry = make_entry("x", "here"), known, *entries;
	const struct pd_upstream *upstream;
	char longest[PD_UPSTREAM_ID_MAX_BYTES + 1];
	size_t count;

	init_registry();
	for (size_t i = 0; i < 4; i++) {
		ck_assert(pd_upstream_entry_set_id(&entry, pd_str_from(ids[i])));
		pd_registry_list_end(&registry, 0, (struct pd_revision){0});
		ck_assert(pd_registry_put(&registry, &entry, false));
		upstream = find_service()->upstreams;
		ck_assert(pd_str_is(pd_upstream_id(upstream), ids[i]));
		ck_assert(pd_registry_keep(&registry, pd_str_from(ids[i]), false, &known));
		ck_assert(pd_str_equal(known.id_text, entry.id_text));
	}
	ck_assert(pd_registry_export(&registry, &entries, &count));
	ck_assert_uint_eq(count, 4);
	for (size_t i = 0; i < 4; i++) {
		pd_registry_remove(&registry, pd_str_from(ids[i]), (struct pd_revision){0}, "test");
		ck_assert_uint_eq(find_service()->upstream_count, 3 - i);
	}
	/* The exported ids outlive the upstreams. */
	for (size_t i = 0; i < 4; i++) {
		struct pd_str text = entries[i].id_text;

		ck_assert(pd_str_is(text.len ? text : pd_name_str(&entries[i].id), ids[i]));
	}
	free(entries);
	memset(longest, 'x', sizeof(longest));
	ck_assert(pd_upstream_entry_set_id(&entry, (struct pd_str){longest, sizeof(longest) - 1}));
	ck_assert(!pd_upstream_entry_set_id(&entry, (struct pd_str){longest, sizeof(longest)}));
	ck_assert(!pd_upstream_entry_set_id(&entry, PD_STR("")));
	ck_assert(!pd_upstream_entry_set_id(&entry, PD_STR("b\r\nX-Not-Executed: 1")));
	ck_assert(!pd_upstream_entry_set_id(&entry, PD_STR("b\0")));
	ck_assert(!pd_upstream_entry_set_id(&entry, PD_STR(" b")));
	ck_assert(!pd_upstream_entry_set_id(&entry, PD_STR("b ")));
	pd_registry_finish(&registry);
}
END_TEST

START_TEST(lists_that_overlap_remove_nothing_that_both_hold)
{
	/* Guards against an instance without upstreams: while it starts, a list from the store and
	 * one from another instance may overlap. An upstream that was put before the second list
	 * began was removed by the end of the first one, and the same entry wasn't accepted again.
	 */
	struct pd_upstream_entry a = make_entry("a", "here"), b = make_entry("b", "here");
	struct pd_upstream_entry gone = make_entry("c", "here");
	uint64_t first, second;

	a.sequence = b.sequence = gone.sequence = 1;
	init_registry();
	pd_registry_put(&registry, &gone, false);
	first = pd_registry_list_begin(&registry);
	pd_registry_put(&registry, &a, false);
	second = pd_registry_list_begin(&registry);
	pd_registry_put(&registry, &b, false);
	pd_registry_list_end(&registry, first, (struct pd_revision){0});
	ck_assert_uint_eq(find_service()->upstream_count, 2);
	ck_assert(pd_registry_put(&registry, &a, false));
	ck_assert(pd_registry_put(&registry, &b, false));
	pd_registry_list_end(&registry, second, (struct pd_revision){0});
	ck_assert_uint_eq(find_service()->upstream_count, 2);
	pd_registry_finish(&registry);
}
END_TEST

/* Returns an entry that was written at a revision of the first era. */
static struct pd_upstream_entry make_entry_at(const char *id, uint64_t revision)
{
	struct pd_upstream_entry entry = make_entry(id, "here");

	entry.sequence = 1;
	entry.revision = at_revision(revision);
	return entry;
}

START_TEST(older_list_removes_no_newer_upstream)
{
	/* Guards against new upstreams that a follower drops for good: its source has restarted and
	 * offers the stale list that it has read, which lacks them. Their entries are sent again
	 * unchanged once the source has caught up.
	 */
	struct pd_upstream_entry known = make_entry_at("a", 100), young = make_entry_at("b", 120);
	struct pd_upstream_entry gone = make_entry_at("c", 90);
	uint64_t list;

	init_registry();
	pd_registry_put(&registry, &known, false);
	pd_registry_put(&registry, &gone, false);
	pd_registry_put(&registry, &young, false);
	list = pd_registry_list_begin(&registry);
	pd_registry_put(&registry, &known, false);
	pd_registry_list_end(&registry, list, at_revision(110));
	ck_assert_uint_eq(find_service()->upstream_count, 2);
	/* The source has caught up: it sends the entry if it still holds it. */
	ck_assert(pd_registry_put(&registry, &young, false));
	pd_registry_advance(&registry, list, at_revision(130));
	ck_assert_uint_eq(find_service()->upstream_count, 2);
	/* A list of another sender says nothing about what this one will send. */
	ck_assert_uint_gt(pd_registry_list_begin(&registry), list);
	pd_registry_advance(&registry, list, at_revision(140));
	ck_assert_uint_eq(find_service()->upstream_count, 2);
	pd_registry_finish(&registry);
}
END_TEST

START_TEST(unlisted_upstream_is_removed_once_its_source_has_caught_up)
{
	/* Guards against an upstream that is kept for good because its entry is newer than a list,
	 * although it had left before the source that sent the list watched the store.
	 */
	struct pd_upstream_entry young = make_entry_at("b", 120);
	uint64_t list;

	init_registry();
	pd_registry_put(&registry, &young, false);
	list = pd_registry_list_begin(&registry);
	pd_registry_list_end(&registry, list, at_revision(110));
	pd_registry_advance(&registry, list, at_revision(119));
	ck_assert_uint_eq(find_service()->upstream_count, 1);
	pd_registry_advance(&registry, list, at_revision(120));
	ck_assert_uint_eq(find_service()->upstream_count, 0);
	/* An earlier history of the store says nothing about entries of a later one. */
	young.revision = (struct pd_revision){2, 50};
	young.sequence = 2;
	ck_assert(pd_registry_put(&registry, &young, false));
	list = pd_registry_list_begin(&registry);
	pd_registry_list_end(&registry, list, at_revision(140));
	ck_assert_uint_eq(find_service()->upstream_count, 1);
	list = pd_registry_list_begin(&registry);
	pd_registry_list_end(&registry, list, (struct pd_revision){3, 10});
	ck_assert_uint_eq(find_service()->upstream_count, 0);
	pd_registry_finish(&registry);
}
END_TEST

START_TEST(removals_and_entries_are_ordered_by_revision)
{
	/* Guards against an older message that undoes a newer one: a removal that was followed by
	 * another registration, an entry from before a removal, and a registration after a removal
	 * that is taken for an older one because its sequence number is the same.
	 */
	struct pd_upstream_entry first = make_entry_at("a", 100), again = make_entry_at("a", 120);
	struct pd_upstream_entry late = make_entry_at("b", 105);

	init_registry();
	pd_registry_put(&registry, &again, false);
	pd_registry_remove(&registry, PD_STR("a"), at_revision(110), "test");
	ck_assert_uint_eq(find_service()->upstream_count, 1);
	pd_registry_remove(&registry, PD_STR("a"), at_revision(130), "test");
	ck_assert_uint_eq(find_service()->upstream_count, 0);
	ck_assert(!pd_registry_put(&registry, &first, false));
	first.sequence = 9; /* missed meanwhile, and read from a stale list */
	first.revision = at_revision(125);
	ck_assert(!pd_registry_put(&registry, &first, false));
	again.revision = at_revision(140);
	ck_assert(pd_registry_put(&registry, &again, false));
	ck_assert_uint_eq(find_service()->upstream_count, 1);
	/* Entries of some upstreams have no sequence numbers. */
	late.sequence = 0;
	late.draining = true;
	ck_assert(pd_registry_put(&registry, &late, false));
	late.draining = false;
	late.revision = at_revision(101);
	ck_assert(pd_registry_put(&registry, &late, false));
	ck_assert(late.draining);
	pd_registry_remove(&registry, PD_STR("b"), at_revision(141), "test");
	late = make_entry_at("b", 105);
	/* An unknown upstream in a list that is older than what is known has left since then. */
	ck_assert(!pd_registry_put(&registry, &late, true));
	/* A removal that is held isn't taken back by a list from before it. */
	pd_registry_hold_removals(&registry);
	pd_registry_remove(&registry, PD_STR("a"), at_revision(150), "test");
	ck_assert(pd_registry_put(&registry, &again, false));
	pd_registry_release_removals(&registry);
	pd_registry_apply_removals(&registry);
	ck_assert_uint_eq(find_service()->upstream_count, 0);
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
	uint64_t list = pd_registry_list_begin(&registry);
	put_upstream("a", "here");
	put_upstream("b", "here");
	pd_registry_list_end(&registry, list, (struct pd_revision){0});
	pd_registry_hold_removals(&registry);
	pd_registry_remove(&registry, PD_STR("a"), (struct pd_revision){0}, "test");
	pd_registry_remove(&registry, PD_STR("b"), (struct pd_revision){0}, "test");
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
	pd_registry_put(&registry, &restarted, false);
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

START_TEST(instances_together_keep_to_a_rate_limit_and_use_it)
{
	/* Guards against more requests than the limit that an upstream states for all instances
	 * together, and against less than nine tenths of what it allows.
	 */
	static const struct {
		size_t instances;
		double limit_per_s;
		double demand_per_s;
	} cases[] = {{12, 25.7, 8}, {12, 3.8, 8}, {12, 1, 2},	{129, 25, 1},
		     {129, 3.8, 1}, {1, 20, 100}, {3, 200, 200}};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		double limit = cases[i].limit_per_s;
		/* Until all instances have earned a permit, the limit can't be used. */
		double start_s = 4 + (double)cases[i].instances / limit;

		fleet_init(cases[i].instances, false);
		fleet.limit_per_s = limit;
		fleet_run(cases[i].demand_per_s, 0, start_s + 40);
		ck_assert_uint_le(fleet_most_in_window(4, start_s + 40), allowed_in_window(limit));
		ck_assert_uint_ge(fleet_sent_in(start_s, 40), (size_t)(0.9 * limit * 40));
		fleet_finish();
	}
}
END_TEST

START_TEST(instances_together_spare_a_cold_upstream)
{
	/* Guards against more requests in one second than a cold upstream tolerates from all
	 * instances together, when it is the only one of its service: 1.5 times the configured
	 * rate, and 5 more. The limit ends with the cold start.
	 */
	static const double cold_per_s[] = {1, 5, 20};

	for (size_t i = 0; i < sizeof(cold_per_s) / sizeof(cold_per_s[0]); i++) {
		fleet_init(40, false);
		fleet.limit_per_s = -1;
		for (size_t j = 0; j < fleet.count; j++) {
			fleet.instances[j].services->cold_per_s = cold_per_s[i];
			fleet.instances[j].upstreams->cold_until_us =
				(int64_t)(FLEET_EPOCH_S + 20) * 1000000;
		}
		fleet_run(0.01, 0, 10);
		fleet_run(10, 10, 21);
		for (int tenth = 0; tenth < 190; tenth++)
			ck_assert_uint_le(fleet_sent_in(tenth / 10.0, 1),
					  (size_t)(1.5 * cold_per_s[i] + 5));
		ck_assert_uint_ge(fleet_sent_in(10, 9), (size_t)(4 * cold_per_s[i]));
		ck_assert_uint_ge(fleet_sent_in(20.1, 0.5), 190);
		fleet_finish();
	}
}
END_TEST

START_TEST(other_upstreams_take_the_requests_beyond_a_rate_limit)
{
	/* Guards against refused requests while another upstream of the service has no limit. */
	fleet_init(12, true);
	fleet.limit_per_s = 2;
	fleet_run(8, 0, 20);
	ck_assert_uint_eq(fleet.refused, 0);
	ck_assert_uint_le(fleet_most_in_window(4, 20), allowed_in_window(2));
	fleet_finish();
}
END_TEST

START_TEST(instances_that_restart_in_a_burst_keep_to_a_rate_limit)
{
	/* Guards against more requests than an upstream's limit allows when it states the limit
	 * during a burst, while half of the instances restart one after the other: each of them
	 * begins without knowing the limit. The fleet of test_registry_restart is one more of
	 * these.
	 */
	static const struct fleet_burst cases[] = {
		{12, 13.7, 11.4, 700000}, {12, 13.7, 11.4, 350000}, {12, 8.5, 9, 500000},
		{112, 8.5, 0.9, 80000},	  {112, 4.5, 0.9, 40000},   {18, 20, 12, 300000}};

	for (size_t c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		for (uint64_t seed = 1; seed <= 5; seed++) {
			size_t most = fleet_play_burst(&cases[c], seed);

			ck_assert_msg(most <= allowed_in_window(cases[c].limit_per_s),
				      "case %zu, seed %zu: %zu requests of %zu", c, (size_t)seed,
				      most, allowed_in_window(cases[c].limit_per_s));
		}
	}
}
END_TEST

START_TEST(shares_of_a_large_fleet_add_up)
{
	/* Guards against more or less than the whole limit in a fleet of the size that is planned
	 * for, and against a registry that can't hold its upstreams.
	 */
	enum { INSTANCES = 1100, UPSTREAMS = 6000, SERVICES = 780 };
	static const double limits_per_s[] = {0.5, 8.5, 300, 5000};
	static struct pd_instance_load loads[INSTANCES];
	int64_t now = pd_os_boot_us();

	for (size_t i = 0; i < INSTANCES; i++)
		loads[i] =
			(struct pd_instance_load){.hash = i * 7919, .load = 0.1 + (double)(i % 5)};
	for (size_t l = 0; l < sizeof(limits_per_s) / sizeof(limits_per_s[0]); l++) {
		double sum = 0, probes = 0;

		for (size_t self = 0; self < INSTANCES; self++) {
			struct pd_rate_share share = pd_rate_share_of(
				loads, INSTANCES, self, PD_STR("u-17"), limits_per_s[l], true);

			sum += share.share;
			probes += share.probe_share;
		}
		ck_assert_double_eq_tol(sum, 1, 1e-9);
		ck_assert_double_eq_tol(probes, 1, 1e-9);
	}
	pd_log_open("large", PD_LOG_ERROR);
	init_registry();
	pd_registry_set_instances(&registry, loads, INSTANCES);
	ck_assert_uint_eq(registry.instance_count, INSTANCES);
	uint64_t list = pd_registry_list_begin(&registry);
	for (int i = 0; i < UPSTREAMS; i++) {
		struct pd_upstream_entry entry;
		char name[32];

		snprintf(name, sizeof(name), "u-%d", i);
		entry = make_entry(name, "here");
		snprintf(name, sizeof(name), "s-%d", i % SERVICES);
		ck_assert(pd_name_set(&entry.service, pd_str_from(name)));
		ck_assert(pd_registry_put(&registry, &entry, false));
	}
	pd_registry_list_end(&registry, list, (struct pd_revision){0});
	ck_assert_uint_eq(HASH_COUNT(registry.upstreams), UPSTREAMS);
	for (int i = 0; i < SERVICES; i++) {
		struct pd_service *service;
		char name[32];

		snprintf(name, sizeof(name), "s-%d", i);
		service = pd_registry_service(&registry, pd_str_from(name));
		ck_assert_int_eq(pd_registry_permit(&registry, service, NULL, 0, now).block,
				 PD_BLOCK_NONE);
	}
	pd_registry_finish(&registry);
}
END_TEST

START_TEST(all_upstreams_of_a_large_service_are_used)
{
	/* Guards against upstreams that never get a request because the service has more of them
	 * than are compared.
	 */
	enum { UPSTREAMS = 200 };
	int64_t now = pd_os_boot_us();
	size_t used = 0;

	pd_log_open("large", PD_LOG_ERROR);
	init_registry();
	for (int i = 0; i < UPSTREAMS; i++) {
		char name[32];

		snprintf(name, sizeof(name), "u-%d", i);
		put_upstream(name, "here");
	}
	for (int i = 0; i < UPSTREAMS; i++) {
		struct pd_upstream *upstream =
			pd_registry_pick(&registry, find_service(), NULL, 0, now);

		ck_assert_ptr_nonnull(upstream);
	}
	for (struct pd_upstream *u = find_service()->upstreams; u; u = u->next)
		used += u->in_flight > 0;
	ck_assert_uint_ge(used, UPSTREAMS * 9 / 10);
	for (struct pd_upstream *u = find_service()->upstreams; u; u = u->next)
		u->references = 0;
	pd_registry_finish(&registry);
}
END_TEST

START_TEST(rate_limits_change_and_end_with_the_next_response)
{
	/* Guards against the use of an old limit: a lower one holds at once, and the end of a limit
	 * takes effect with the next response, also of an upstream that takes no requests at all.
	 */
	fleet_init(12, false);
	fleet.limit_per_s = 24;
	fleet_run(20, 0, 10);
	fleet.limit_per_s = 4;
	fleet_run(20, 10, 20);
	ck_assert_uint_le(fleet_most_in_window(10.5, 20), allowed_in_window(4));
	fleet.limit_per_s = 0;
	fleet_run(20, 20, 80);
	ck_assert_uint_le(fleet_most_in_window(24, 80), allowed_in_window(0));
	fleet.limit_per_s = -1;
	fleet_run(20, 80, 130);
	fleet.refused = 0;
	fleet_run(20, 130, 131);
	ck_assert_uint_eq(fleet.refused, 0);
	fleet_finish();
}
END_TEST

START_TEST(rate_limits_state_when_a_request_may_be_sent)
{
	/* Guards against a Retry-After time that isn't true: after the wait that the registry
	 * returns, the limit allows a request, and not before.
	 */
	int64_t now = (int64_t)FLEET_EPOCH_S * 1000000, wait;
	struct pd_service *service;

	fleet_init(1, false);
	fleet.limit_per_s = 2;
	HASH_FIND(hh, fleet.instances[0].services, "s", 1, service);
	ck_assert_ptr_nonnull(service);
	ck_assert_int_eq(pd_registry_permit(&fleet.instances[0], service, NULL, 0, now).wait_us, 0);
	fleet_send(0, now);
	for (int i = 0; i < 3; i++) {
		now += 1000;
		wait = pd_registry_permit(&fleet.instances[0], service, NULL, 0, now).wait_us;
		ck_assert_int_ge(wait, 498000);
		ck_assert_int_le(wait, 501000);
		fleet_send(0, now + wait - 1000);
		ck_assert_uint_eq(fleet.refused, (size_t)i + 1);
		now += wait;
		fleet_send(0, now);
		ck_assert_uint_eq(fleet.refused, (size_t)i + 1);
	}
	fleet_finish();
}
END_TEST

START_TEST(old_response_does_not_end_a_rate_limit)
{
	/* Guards against the end of a limit by a response to a request that was sent before the
	 * limit was stated.
	 */
	int64_t now = (int64_t)FLEET_EPOCH_S * 1000000;
	struct pd_report stated = {.kind = PD_REPORT_SUCCESS, .latency_us = 1000, .answered = true};
	struct pd_report older = {.kind = PD_REPORT_SUCCESS, .latency_us = 50000, .answered = true};
	struct pd_upstream *first, *second;

	init_registry();
	put_upstream("a", "here");
	set_instances(&registry, 0, 1);
	first = pd_registry_pick(&registry, find_service(), NULL, 0, now);
	second = pd_registry_pick(&registry, find_service(), NULL, 0, now + 1000);
	ck_assert_ptr_nonnull(first);
	ck_assert_ptr_eq(first, second);
	stated.directives.has_limit = true;
	stated.directives.limit_per_s = 1;
	pd_registry_report(&registry, second, &stated, now + 2000);
	pd_registry_report(&registry, first, &older, now + 50000);
	ck_assert_ptr_null(pd_registry_pick(&registry, find_service(), NULL, 0, now + 60000));
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

START_TEST(slow_responses_without_a_queue_are_no_reason_to_refuse)
{
	/* Guards against refusing requests of an urgent route while all upstreams idle, because the
	 * first responses came on new connections or belong to a route with more work.
	 */
	int64_t now = pd_os_boot_us();
	struct pd_upstream *upstream;
	struct pd_report report = {
		.kind = PD_REPORT_SUCCESS, .latency_us = 60000, .has_load = true, .load = 1};

	init_registry();
	put_upstream("a", "here");
	upstream = pd_registry_pick(&registry, find_service(), NULL, 0, now);
	pd_registry_report(&registry, upstream, &report, now);
	ck_assert_int_eq(pd_registry_queued_latency_us(&registry, find_service(), now), 0);
	report.load = 14;
	report.queued = 11;
	upstream = pd_registry_pick(&registry, find_service(), NULL, 0, now);
	pd_registry_report(&registry, upstream, &report, now);
	ck_assert_int_eq(pd_registry_queued_latency_us(&registry, find_service(), now),
			 pd_registry_expected_latency_us(&registry, find_service(), now));
	/* Another upstream has a free slot. */
	put_upstream("b", "here");
	ck_assert_int_eq(pd_registry_queued_latency_us(&registry, find_service(), now), 0);
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
		older_entries_do_not_take_back_newer_ones,
		wrong_instance_gets_no_further_requests,
		complete_list_removes_missing_upstreams,
		lists_hold_services_with_any_name,
		ids_have_any_length_and_any_bytes,
		instance_and_upstream_of_one_name_are_apart,
		lists_that_overlap_remove_nothing_that_both_hold,
		older_list_removes_no_newer_upstream,
		unlisted_upstream_is_removed_once_its_source_has_caught_up,
		removals_and_entries_are_ordered_by_revision,
		removals_are_held_for_expired_entries,
		new_incarnation_replaces_old_one,
		silent_zone_is_unreachable_until_data_arrives,
		older_configuration_is_rejected,
		instances_together_keep_to_a_rate_limit_and_use_it,
		instances_together_spare_a_cold_upstream,
		other_upstreams_take_the_requests_beyond_a_rate_limit,
		shares_of_a_large_fleet_add_up,
		all_upstreams_of_a_large_service_are_used,
		instances_that_restart_in_a_burst_keep_to_a_rate_limit,
		rate_limits_change_and_end_with_the_next_response,
		rate_limits_state_when_a_request_may_be_sent,
		old_response_does_not_end_a_rate_limit,
		traffic_split_keeps_its_shares,
		expected_latency_grows_with_queue,
		slow_responses_without_a_queue_are_no_reason_to_refuse,
		high_service_time_decays_without_responses,
	};

	return suite_run("registry", tests, sizeof(tests) / sizeof(tests[0]));
}
