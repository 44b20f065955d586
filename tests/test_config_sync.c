/*
 * Guards what an instance learns of members from the platform: a member table that counts as whole
 * after a list that is older than the registration, and a member on a lost host that stays live for
 * ever, or is taken for dead while the platform lists it. The platform's answers are set by the
 * tests, which wait for events, with a generous limit.
 */
#include <check.h>
#include <microhttpd.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config_sync.h"
#include "log.h"

#define WAIT_US	   (40 * PD_USEC_PER_SEC)
#define STEP_US	   (100 * PD_USEC_PER_MSEC)
#define OWN_RECORD "{\"zone\":\"z\",\"address\":\"127.0.0.1:1\",\"incarnation\":7}"
#define OLD_RECORD "{\"zone\":\"z\",\"address\":\"127.0.0.1:1\",\"incarnation\":6}"
#define LIVE(name, role)                                                                           \
	"{\"name\":\"" name "\",\"role\":\"" role                                                  \
	"\",\"address\":\"127.0.0.1:1\",\"state\":\"live\"}"

static struct {
	pthread_mutex_t mutex;
	struct MHD_Daemon *daemon;
	struct pd_address address;
	bool down; /* 503 */
	bool registered; /* own record was written */
	const char *own_record; /* in the list of members; NULL: none */
	const char *instances;
	uint32_t member_lists; /* read after the registration */
	uint32_t instance_lists;
	uint32_t dead_broadcast; /* records */
	struct pd_config_holder config;
	struct pd_index_table index;
	struct pd_members *members;
	struct pd_config_sync *sync;
} t;

static enum MHD_Result respond(struct MHD_Connection *connection, unsigned int status,
			       const char *text)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
		strlen(text), (void *)(uintptr_t)text, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result queued = MHD_queue_response(connection, status, response);

	MHD_destroy_response(response);
	return queued;
}

static enum MHD_Result list_objects(struct MHD_Connection *connection)
{
	const char *prefix =
		MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, "prefix");
	char text[512];
	bool own = prefix && !strcmp(prefix, "members/") && t.own_record;

	if (prefix && !strcmp(prefix, "members/"))
		t.member_lists += t.registered;
	snprintf(text, sizeof(text), "{\"revision\":1,\"objects\":[%s%s%s]}",
		 own ? "{\"key\":\"members/a\",\"version\":1,\"value\":" : "",
		 own ? t.own_record : "", own ? "}" : "");
	return respond(connection, 200, text);
}

/* With the mutex held. */
static enum MHD_Result answer(struct MHD_Connection *connection, const char *url,
			      const char *method)
{
	char text[512];

	if (t.down || !strcmp(url, "/watch"))
		return respond(connection, 503, "{}");
	if (!strcmp(url, "/instances")) {
		t.instance_lists++;
		snprintf(text, sizeof(text), "{\"instances\":[%s]}", t.instances);
		return respond(connection, 200, text);
	}
	if (!strcmp(url, "/objects"))
		return list_objects(connection);
	if (!strcmp(method, "PUT")) {
		t.registered = true;
		return respond(connection, 200, "{\"version\":1}");
	}
	return respond(connection, 404, "{}");
}

static enum MHD_Result serve(void *arg, struct MHD_Connection *connection, const char *url,
			     const char *method, const char *version, const char *data,
			     size_t *size, void **state)
{
	static int begun;
	enum MHD_Result result;

	(void)arg;
	(void)version;
	(void)data;
	if (!*state) {
		*state = &begun;
		return MHD_YES;
	}
	if (*size > 0) {
		*size = 0;
		return MHD_YES;
	}
	pthread_mutex_lock(&t.mutex);
	result = answer(connection, url, method);
	pthread_mutex_unlock(&t.mutex);
	return result;
}

static void on_changed(void *arg)
{
	(void)arg;
}

static void on_broadcast(void *arg, const struct pd_message *msg, bool own_zone)
{
	(void)arg;
	pthread_mutex_lock(&t.mutex);
	for (uint32_t i = 0; msg->type == PD_MSG_MEMBERS && i < msg->members.count; i++)
		t.dead_broadcast += own_zone && msg->members.records[i].state == PD_MEMBER_DEAD;
	pthread_mutex_unlock(&t.mutex);
}

static void on_leaving(void *arg, struct pd_str upstream, bool leaving)
{
	(void)arg;
	(void)upstream;
	(void)leaving;
}

static struct pd_member_record record_of(const char *name, uint64_t incarnation)
{
	struct pd_member_record record = {.incarnation = incarnation};

	pd_name_set(&record.name, pd_str_from(name));
	pd_name_set(&record.zone, PD_STR("z"));
	snprintf(record.address.ip, sizeof(record.address.ip), "127.0.0.1");
	record.address.port = 1;
	return record;
}

/* Opens the table at @start_us. */
static void open_members(int64_t start_us)
{
	struct pd_member_record self = record_of("a", 7);

	ck_assert_int_eq(pd_members_open(&t.members, &self, start_us, NULL), PD_OK);
}

static void start_sync(void)
{
	struct pd_config_sync_setup with = {.platform = t.address,
					    .self = record_of("a", 7),
					    .config = &t.config,
					    .members = t.members,
					    .index = &t.index,
					    .on_config_changed = on_changed,
					    .broadcast = on_broadcast,
					    .on_upstream_leaving = on_leaving};

	ck_assert_int_eq(pd_config_sync_open(&t.sync, &with, NULL), PD_OK);
	ck_assert_int_eq(pd_config_sync_start(t.sync, NULL), PD_OK);
}

static void setup(void)
{
	pd_http_global_init();
	memset(&t, 0, sizeof(t));
	pthread_mutex_init(&t.mutex, NULL);
	t.own_record = OWN_RECORD;
	t.instances = "";
	t.daemon = MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION |
					    MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_ITC,
				    0, NULL, NULL, serve, NULL, MHD_OPTION_END);
	ck_assert(t.daemon != NULL);
	snprintf(t.address.ip, sizeof(t.address.ip), "127.0.0.1");
	t.address.port = MHD_get_daemon_info(t.daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
	ck_assert_int_eq(pd_config_holder_init(&t.config, NULL), PD_OK);
	pd_index_table_init(&t.index);
}

static void teardown(void)
{
	pd_config_sync_stop(t.sync, 0);
	pd_config_sync_close(t.sync);
	pd_members_close(t.members);
	MHD_stop_daemon(t.daemon);
	pd_index_table_finish(&t.index);
	pd_config_holder_finish(&t.config);
}

static uint32_t value_of(const uint32_t *counter)
{
	uint32_t value;

	pthread_mutex_lock(&t.mutex);
	value = *counter;
	pthread_mutex_unlock(&t.mutex);
	return value;
}

/* Ticks, so that no wait of this program counts as its pause. */
static void step(void)
{
	pd_members_tick(t.members, pd_os_now_us());
	pd_os_sleep_us(5 * PD_USEC_PER_MSEC);
}

/* Waits until @counter has risen by @more. */
static void await_more(const uint32_t *counter, uint32_t more)
{
	uint32_t until = value_of(counter) + more;
	int64_t deadline_us = pd_os_now_us() + WAIT_US;

	while (value_of(counter) < until && pd_os_now_us() < deadline_us)
		step();
	ck_assert_uint_ge(value_of(counter), until);
}

static void set_own_record(const char *record)
{
	pthread_mutex_lock(&t.mutex);
	t.own_record = record;
	pthread_mutex_unlock(&t.mutex);
}

static void set_instances(const char *instances)
{
	pthread_mutex_lock(&t.mutex);
	t.instances = instances;
	pthread_mutex_unlock(&t.mutex);
}

static void await_confirmed(void)
{
	int64_t deadline_us = pd_os_now_us() + WAIT_US;

	while (!pd_members_confirmed(t.members) && pd_os_now_us() < deadline_us)
		step();
	ck_assert(pd_members_confirmed(t.members));
}

static enum pd_member_state state_of(const char *name)
{
	struct pd_member_record record;

	ck_assert(pd_members_find(t.members, pd_str_from(name), &record));
	return record.state;
}

START_TEST(list_with_the_own_record_confirms_the_table)
{
	open_members(pd_os_now_us());
	t.own_record = NULL;
	start_sync();
	await_more(&t.member_lists, 3);
	ck_assert(!pd_members_confirmed(t.members));
	/* Of the process that had the name before. */
	set_own_record(OLD_RECORD);
	await_more(&t.member_lists, 3);
	ck_assert(!pd_members_confirmed(t.members));
	set_own_record(OWN_RECORD);
	await_confirmed();
}
END_TEST

START_TEST(member_on_a_lost_host_is_declared_dead)
{
	struct pd_member_record b = record_of("b", 1);
	int64_t now_us = pd_os_now_us();
	int64_t start_us = now_us - PD_MEMBER_LOST_TIMEOUT_US - PD_USEC_PER_SEC;
	int64_t deadline_us = now_us + WAIT_US;

	open_members(start_us);
	pd_members_merge(t.members, &b, start_us);
	for (int64_t at_us = start_us; at_us < now_us; at_us += STEP_US)
		pd_members_tick(t.members, at_us);
	t.instances = LIVE("a", "entry") "," LIVE("b", "entry");
	start_sync();
	await_more(&t.instance_lists, 3);
	ck_assert_int_eq(state_of("b"), PD_MEMBER_LIVE);
	/* A list that lacks this instance too says nothing. */
	set_instances(LIVE("b", "upstream"));
	await_more(&t.instance_lists, 3);
	ck_assert_int_eq(state_of("b"), PD_MEMBER_LIVE);
	ck_assert_uint_eq(value_of(&t.dead_broadcast), 0);
	set_instances(LIVE("a", "entry") "," LIVE("b", "upstream"));
	while (state_of("b") != PD_MEMBER_DEAD && pd_os_now_us() < deadline_us)
		step();
	ck_assert_int_eq(state_of("b"), PD_MEMBER_DEAD);
	while (!value_of(&t.dead_broadcast) && pd_os_now_us() < deadline_us)
		step();
	ck_assert_uint_eq(value_of(&t.dead_broadcast), 1);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("config_sync");
	TCase *tcase = tcase_create("config_sync");
	SRunner *runner = srunner_create(suite);
	int failed;

	pd_log_open("test", PD_LOG_ERROR);
	tcase_set_timeout(tcase, 120);
	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, list_with_the_own_record_confirms_the_table);
	tcase_add_test(tcase, member_on_a_lost_host_is_declared_dead);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
