/**
 * DOC: Tests of the versions of upstreams that get requests, and of orders on their way from the
 * store to the registry
 */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "directory.h"
#include "feed_apply.h"
#include "feed_frames.h"
#include "objects.h"
#include "os.h"
#include "registry.h"
#include "suite.h"

#define SHARE	   0.05
#define WARM_UP_US (3100 * PD_USEC_PER_MSEC)

static struct pd_registry registry;
static struct pd_directory directory;
static struct pd_rollout_set set;
static uint64_t revision;

static void setup(void)
{
	struct pd_registry_options options = {.retry_ratio = 0.2, .retry_slack = 100};

	ck_assert(pd_name_set(&options.zone, PD_STR("here")));
	pd_registry_init(&registry, &options);
	pd_registry_enable_versions(&registry);
	pd_directory_init(&directory, &registry);
	pd_directory_adjust_followers(&directory, 1);
	memset(&set, 0, sizeof(set));
	revision = 10;
}

static void teardown(void)
{
	pd_directory_finish(&directory);
	pd_registry_finish(&registry);
}

static void put(const char *id, const char *version, int64_t started_ms, int64_t cold_ms,
		bool draining)
{
	struct pd_upstream_entry entry = {.slots = 3,
					  .started_unix_ms = started_ms,
					  .cold_ms = cold_ms,
					  .draining = draining};

	ck_assert(pd_name_set(&entry.id, pd_str_from(id)));
	ck_assert(pd_name_set(&entry.service, PD_STR("s")));
	ck_assert(pd_name_set(&entry.zone, PD_STR("here")));
	ck_assert(pd_name_set(&entry.version, pd_str_from(version)));
	entry.address.in = (struct sockaddr_in){.sin_family = AF_INET, .sin_port = htons(9)};
	snprintf(entry.address.text, sizeof(entry.address.text), "127.0.0.1:9");
	pd_registry_put(&registry, &entry, false);
}

/* Sets the only order, or none if @target is NULL. */
static void order(const char *target, enum pd_rollout_state state)
{
	set.count = target != NULL;
	if (target) {
		set.orders[0] = (struct pd_rollout_order){.object = "s",
							  .object_len = 1,
							  .duration_ms = 12000,
							  .state = state,
							  .revision = ++revision,
							  .started_us = pd_os_boot_us()};
		ck_assert(pd_name_set(&set.orders[0].service, PD_STR("s")));
		ck_assert(pd_name_set(&set.orders[0].target, pd_str_from(target)));
	}
	pd_directory_set_rollouts(&directory, &set, (struct pd_revision){1, ++revision});
}

static void list_is_complete(void)
{
	registry.list_complete = true;
}

static void permit(enum pd_rollout_phase phase, int64_t for_ms)
{
	pd_registry_permit_version(&registry, &set.orders[0], phase, SHARE,
				   pd_os_boot_us() + for_ms * PD_USEC_PER_MSEC);
}

/* Sends a request, a retry if @tried isn't NULL; returns the version that gets it, "" for none. */
static const char *send_to(struct pd_upstream *tried, int64_t now_us)
{
	static char version[PD_NAME_MAX_BYTES + 1];
	struct pd_service *service = pd_registry_service(&registry, PD_STR("s"));
	struct pd_report report = {.kind = PD_REPORT_SUCCESS, .latency_us = 10000};
	struct pd_upstream *upstream =
		pd_registry_pick(&registry, service, &tried, tried != NULL, now_us);

	version[0] = '\0';
	if (upstream) {
		snprintf(version, sizeof(version), "%s", upstream->version.text);
		pd_registry_report(&registry, upstream, &report, now_us);
	}
	return version;
}

/* Returns how many of some first attempts go to a version. */
static int count_to(const char *version, int attempts)
{
	int count = 0;

	for (int i = 0; i < attempts; i++)
		count += !strcmp(send_to(NULL, pd_os_boot_us()), version);
	return count;
}

static struct pd_upstream *find(const char *id)
{
	struct pd_upstream *upstream;

	HASH_FIND(hh, registry.upstreams, id, strlen(id), upstream);
	ck_assert_ptr_nonnull(upstream);
	return upstream;
}

START_TEST(version_without_an_order_gets_nothing)
{
	/* Guards against requests to a new version whose upstreams are known before the order, also
	 * if they are known first when the process starts.
	 */
	put("b", "v2", 2000, 0, false);
	put("a", "v1", 1000, 0, false);
	order(NULL, PD_ROLLOUT_NONE);
	list_is_complete();
	ck_assert_int_eq(count_to("v1", 100), 100);
	order("v2", PD_ROLLOUT_NONE);
	ck_assert_int_eq(count_to("v1", 100), 100);
	order("v3", PD_ROLLOUT_NONE);
	permit(PD_ROLLOUT_CANARY, 1000);
	ck_assert_int_eq(count_to("v1", 100), 100);
	order(NULL, PD_ROLLOUT_NONE);
	ck_assert_int_eq(count_to("v1", 100), 100);
}
END_TEST

START_TEST(canary_gets_its_share_of_first_attempts)
{
	/* Guards against exposure beyond the share: by retries, by cold, draining or ejected
	 * upstreams that are made up for, without upstreams of the old version, and after the
	 * permission.
	 */
	struct pd_permit blocked;

	put("a", "v1", 1000, 0, false);
	order(NULL, PD_ROLLOUT_NONE);
	list_is_complete();
	put("b", "v2", 2000, 60000, false);
	order("v2", PD_ROLLOUT_RUNNING);
	permit(PD_ROLLOUT_CANARY, 60000);
	ck_assert_int_eq(count_to("v2", 1000), 0);
	put("b", "v2", 2000, 0, true);
	ck_assert_int_eq(count_to("v2", 1000), 0);
	put("b", "v2", 2000, 0, false);
	ck_assert_int_le(abs(count_to("v2", 1000) - 50), 1);
	for (int i = 0; i < 100; i++)
		ck_assert_str_ne(send_to(find("a"), pd_os_boot_us()), "v2");
	put("a", "v1", 1000, 0, true);
	ck_assert_int_le(abs(count_to("v2", 1000) - 50), 1);
	while (*send_to(NULL, pd_os_boot_us()))
		;
	blocked = pd_registry_permit(&registry, find("a")->service, NULL, 0, pd_os_boot_us());
	ck_assert_int_eq(blocked.block, PD_BLOCK_VERSION);
	put("a", "v1", 1000, 0, false);
	permit(PD_ROLLOUT_CANARY, 0);
	ck_assert_int_eq(count_to("v1", 1000), 1000);
}
END_TEST

START_TEST(many_processes_with_few_requests_keep_to_the_share)
{
	/* Guards against a share that is rounded: 130 instances send about three requests each
	 * while an order runs.
	 */
	int sent = 0;

	for (int i = 0; i < 1300; i++) {
		put("a", "v1", 1000, 0, false);
		order(NULL, PD_ROLLOUT_NONE);
		list_is_complete();
		put("b", "v2", 2000, 0, false);
		order("v2", PD_ROLLOUT_RUNNING);
		permit(PD_ROLLOUT_CANARY, 60000);
		sent += count_to("v2", 3);
		teardown();
		setup();
	}
	/* 195 are expected; five standard deviations. */
	ck_assert_int_le(abs(sent - 195), 70);
}
END_TEST

START_TEST(full_phase_uses_the_old_version_only_as_the_last_choice)
{
	/* Guards against refused requests while all new upstreams are down and no outcome is known,
	 * and against requests to the old version otherwise.
	 */
	put("a", "v1", 1000, 0, false);
	order(NULL, PD_ROLLOUT_NONE);
	list_is_complete();
	put("b", "v2", 2000, 0, false);
	order("v2", PD_ROLLOUT_RUNNING);
	permit(PD_ROLLOUT_FULL, 60000);
	ck_assert_int_eq(count_to("v2", 100), 100);
	ck_assert_str_eq(send_to(find("b"), pd_os_boot_us()), "v1");
	put("b", "v2", 2000, 0, true);
	ck_assert_int_eq(count_to("v1", 100), 100);
}
END_TEST

START_TEST(outcomes_bar_the_other_version)
{
	/* Guards against requests to a version after its roll-out has ended, also after a restart
	 * and without upstreams of the other one.
	 */
	for (int restarted = 0; restarted < 2; restarted++) {
		put("a", "v1", 1000, 0, false);
		put("b", "v2", 2000, 0, false);
		if (!restarted)
			order("v2", PD_ROLLOUT_RUNNING);
		order("v2", PD_ROLLOUT_ROLLED_BACK);
		list_is_complete();
		permit(PD_ROLLOUT_FULL, 60000);
		ck_assert_int_eq(count_to("v1", 100), 100);
		pd_registry_remove(&registry, PD_STR("a"), (struct pd_revision){0}, "test");
		ck_assert_int_eq(count_to("", 100), 100);
		teardown();
		setup();
		put("a", "v1", 1000, 0, false);
		put("b", "v2", 2000, 0, false);
		if (!restarted)
			order("v2", PD_ROLLOUT_RUNNING);
		order("v2", PD_ROLLOUT_COMPLETED);
		list_is_complete();
		ck_assert_int_eq(count_to("v2", 100), 100);
		/* The next order begins from the completed version. */
		put("c", "v3", 3000, 0, false);
		order("v3", PD_ROLLOUT_NONE);
		ck_assert_int_eq(count_to("v2", 100), 100);
		teardown();
		setup();
	}
}
END_TEST

START_TEST(evidence_counts_results_by_version)
{
	/* Guards against evidence that leaves out requests that were given up late, or that holds
	 * the slow first seconds of an upstream against its version.
	 */
	static const struct pd_report reports[] = {
		{.kind = PD_REPORT_SUCCESS, .latency_us = 10000},
		{.kind = PD_REPORT_FAILURE},
		{.kind = PD_REPORT_REJECTED},
		{.kind = PD_REPORT_ABANDONED, .latency_us = 40000, .late = true},
		{.kind = PD_REPORT_ABANDONED, .latency_us = 5000},
		{.kind = PD_REPORT_UNREACHABLE},
	};
	struct pd_rollout_evidence evidence = {0};
	const struct pd_rollout_counts *counts;
	struct pd_version_view view;
	int64_t now;

	put("a", "v1", 1000, 0, false);
	order(NULL, PD_ROLLOUT_NONE);
	list_is_complete();
	put("b", "v2", 2000, 0, false);
	order("v2", PD_ROLLOUT_RUNNING);
	permit(PD_ROLLOUT_FULL, 60000);
	now = pd_os_boot_us();
	for (int late = 0; late < 2; late++, now += WARM_UP_US) {
		for (size_t i = 0; i < sizeof(reports) / sizeof(reports[0]); i++) {
			struct pd_upstream *upstream =
				pd_registry_pick(&registry, find("b")->service, NULL, 0, now);

			ck_assert_str_eq(upstream->id.text, "b");
			pd_registry_report(&registry, upstream, &reports[i], now);
			upstream->ejected_until_us = 0;
		}
	}
	pd_registry_view_version(&registry, &set.orders[0], now, &view, &evidence);
	ck_assert_uint_eq(evidence.requests, 12);
	ck_assert_uint_eq(evidence.sent[PD_ROLLOUT_NEW], 12);
	ck_assert_uint_eq(evidence.ended[PD_ROLLOUT_NEW], 12);
	ck_assert_uint_eq(evidence.count, 1);
	counts = &evidence.strata[0].sides[PD_ROLLOUT_NEW];
	ck_assert_uint_eq(counts->ok, 3);
	ck_assert_uint_eq(counts->failed, 2);
	ck_assert_uint_eq(counts->rejected, 1);
	ck_assert_uint_eq(counts->latency[pd_rollout_latency_bin(10000)], 1);
	ck_assert_uint_eq(counts->latency[pd_rollout_latency_bin(60000)], 1);
	ck_assert(view.exists && view.full && !view.old_in_flight && !view.same_version);
	pd_rollout_evidence_finish(&evidence);
}
END_TEST

START_TEST(orders_are_read_with_their_state)
{
	/* Guards against orders that hide others or run for ever because a field is odd, and
	 * against the status of an earlier order that counts for this one.
	 */
	static const struct {
		const char *spec, *status;
		bool valid;
		enum pd_rollout_state state;
	} cases[] = {
		{"{\"service\":\"s\",\"target_version\":\"v2\",\"duration_s\":12}", "null", true,
		 PD_ROLLOUT_NONE},
		{"{\"service\":\"s\",\"target_version\":\"v2\",\"duration_s\":0.5}",
		 "{\"state\":\"running\",\"target_version\":\"v2\"}", true, PD_ROLLOUT_RUNNING},
		{"{\"service\":\"s\",\"target_version\":\"v2\",\"duration_s\":12}",
		 "{\"state\":\"rolled_back\",\"target_version\":\"v2\"}", true,
		 PD_ROLLOUT_ROLLED_BACK},
		{"{\"service\":\"s\",\"target_version\":\"v2\",\"duration_s\":12}",
		 "{\"state\":\"completed\",\"target_version\":\"v1\"}", true, PD_ROLLOUT_NONE},
		{"{\"service\":\"s\",\"target_version\":\"v2\",\"duration_s\":12}",
		 "{\"state\":7,\"target_version\":\"v2\"}", true, PD_ROLLOUT_NONE},
		{"{\"service\":\"s\",\"target_version\":\"v2\",\"duration_s\":-1}", "null", false,
		 PD_ROLLOUT_NONE},
		{"{\"service\":\"s\",\"target_version\":\"v2\",\"duration_s\":0}", "null", false,
		 PD_ROLLOUT_NONE},
		{"{\"service\":\"s\",\"target_version\":\"v2\",\"duration_s\":1e9}", "null", false,
		 PD_ROLLOUT_NONE},
		{"{\"service\":\"s\",\"target_version\":\"v2\",\"duration_s\":\"12\"}", "null",
		 false, PD_ROLLOUT_NONE},
		{"{\"service\":\"s\",\"target_version\":\"\",\"duration_s\":12}", "null", false,
		 PD_ROLLOUT_NONE},
		{"{\"target_version\":\"v2\",\"duration_s\":12}", "null", false, PD_ROLLOUT_NONE},
		{"[]", "null", false, PD_ROLLOUT_NONE},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct pd_object object = {.name = PD_STR("s"), .revision = 7};
		struct pd_rollout_order read;
		struct pd_error err;

		object.spec = json_loads(cases[i].spec, 0, NULL);
		object.status = json_loads(cases[i].status, JSON_DECODE_ANY, NULL);
		ck_assert_msg((pd_object_read_rollout(&object, 5, &read, &err) == PD_OK) ==
				      cases[i].valid,
			      "case %zu", i);
		ck_assert_int_eq(read.state, cases[i].state);
		json_decref(object.spec);
		json_decref(object.status);
	}
}
END_TEST

START_TEST(followers_get_orders_with_their_age)
{
	/* Guards against an order that begins anew at each instance, against an older set that
	 * takes back an outcome, and against upstreams that lose their version on the way.
	 */
	struct pd_registry_options options = {.retry_ratio = 0.2, .retry_slack = 100};
	struct pd_feed_lists lists = {0};
	struct pd_directory follower;
	struct pd_feed_message msg;
	struct pd_upstream *upstream;
	struct pd_registry other;
	struct pd_buf frames = {0};
	uint64_t changes = 0;
	size_t at = 0;

	ck_assert(pd_name_set(&options.zone, PD_STR("here")));
	pd_registry_init(&other, &options);
	pd_registry_enable_versions(&other);
	pd_directory_init(&follower, &other);
	put("b", "v2", 2000, 0, false);
	list_is_complete();
	order("v2", PD_ROLLOUT_RUNNING);
	pd_directory_age_rollout(&directory, &set.orders[0], pd_os_boot_us() - 5000000);
	order("v2", PD_ROLLOUT_RUNNING);
	pd_directory_snapshot(&directory, &frames);
	while (feed_frames_next(&frames, &at, &msg)) {
		pd_feed_apply(&follower, &lists, &msg);
		pd_feed_message_finish(&msg);
	}
	ck_assert(pd_directory_knows_rollouts(&follower));
	ck_assert(pd_directory_get_rollouts(&follower, &changes, &set));
	ck_assert_uint_eq(set.count, 1);
	ck_assert_int_ge(pd_os_boot_us() - set.orders[0].started_us, 5000000);
	ck_assert_int_eq(set.orders[0].state, PD_ROLLOUT_RUNNING);
	HASH_FIND(hh, other.upstreams, "b", 1, upstream);
	ck_assert(upstream && pd_str_is(pd_name_str(&upstream->version), "v2"));
	set.orders[0].state = PD_ROLLOUT_COMPLETED;
	pd_directory_set_rollouts(&follower, &set, (struct pd_revision){1, 1});
	ck_assert(!pd_directory_get_rollouts(&follower, &changes, &set));
	pd_buf_finish(&frames);
	pd_directory_finish(&follower);
	pd_registry_finish(&other);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		version_without_an_order_gets_nothing,
		canary_gets_its_share_of_first_attempts,
		many_processes_with_few_requests_keep_to_the_share,
		full_phase_uses_the_old_version_only_as_the_last_choice,
		outcomes_bar_the_other_version,
		evidence_counts_results_by_version,
		orders_are_read_with_their_state,
		followers_get_orders_with_their_age,
	};

	return suite_run_with("versions", setup, teardown, tests, sizeof(tests) / sizeof(tests[0]));
}
