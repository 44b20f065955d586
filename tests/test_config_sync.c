/*
 * Tests of the member table's synchronisation with the platform. They guard against a member table
 * that is confirmed by a list older than the registration of the instance, a member on a lost host
 * that stays live forever, and a member that is declared dead while the platform lists it. The
 * tests set the responses of the platform and wait for each event for at most WAIT_US.
 */
#include <check.h>
#include <microhttpd.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config_sync.h"
#include "log.h"

#define WAIT_US	     (40 * PD_USEC_PER_SEC)
#define TICK_STEP_US (100 * PD_USEC_PER_MSEC)
#define OWN_RECORD   "{\"zone\":\"z\",\"address\":\"127.0.0.1:1\",\"incarnation\":7}"
#define OLD_RECORD   "{\"zone\":\"z\",\"address\":\"127.0.0.1:1\",\"incarnation\":6}"
#define LIVE_INSTANCE(name, role)                                                                  \
	"{\"name\":\"" name "\",\"role\":\"" role                                                  \
	"\",\"address\":\"127.0.0.1:1\",\"state\":\"live\"}"

static struct {
	pthread_mutex_t mutex;
	struct MHD_Daemon *daemon;
	struct pd_address address;
	bool unavailable; /* whether every request is answered with status 503 */
	bool registered; /* whether the instance has written its record */
	const char *own_record; /* record of the instance in the list of members, or NULL */
	const char *instances; /* items of the list of instances */
	uint32_t member_lists; /* number of member lists read after the registration */
	uint32_t instance_lists; /* number of instance lists read */
	uint32_t dead_broadcast; /* number of records of dead members sent to the zone */
	struct pd_config_holder config;
	struct pd_index_table index;
	struct pd_members *members;
	struct pd_config_sync *sync;
} fixture;

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
	bool has_own_record = prefix && !strcmp(prefix, "members/") && fixture.own_record;

	if (prefix && !strcmp(prefix, "members/"))
		fixture.member_lists += fixture.registered;
	snprintf(text, sizeof(text), "{\"revision\":1,\"objects\":[%s%s%s]}",
		 has_own_record ? "{\"key\":\"members/a\",\"version\":1,\"value\":" : "",
		 has_own_record ? fixture.own_record : "", has_own_record ? "}" : "");
	return respond(connection, 200, text);
}

/* Called with the mutex held. */
static enum MHD_Result handle_request(struct MHD_Connection *connection, const char *url,
				      const char *method)
{
	char text[512];

	if (fixture.unavailable || !strcmp(url, "/watch"))
		return respond(connection, 503, "{}");
	if (!strcmp(url, "/instances")) {
		fixture.instance_lists++;
		snprintf(text, sizeof(text), "{\"instances\":[%s]}", fixture.instances);
		return respond(connection, 200, text);
	}
	if (!strcmp(url, "/objects"))
		return list_objects(connection);
	if (!strcmp(method, "PUT")) {
		fixture.registered = true;
		return respond(connection, 200, "{\"version\":1}");
	}
	return respond(connection, 404, "{}");
}

static enum MHD_Result serve(void *arg, struct MHD_Connection *connection, const char *url,
			     const char *method, const char *version, const char *data,
			     size_t *size, void **state)
{
	static int request_marker;
	enum MHD_Result result;

	(void)arg;
	(void)version;
	(void)data;
	if (!*state) {
		*state = &request_marker;
		return MHD_YES;
	}
	if (*size > 0) {
		*size = 0;
		return MHD_YES;
	}
	pthread_mutex_lock(&fixture.mutex);
	result = handle_request(connection, url, method);
	pthread_mutex_unlock(&fixture.mutex);
	return result;
}

static void on_changed(void *arg)
{
	(void)arg;
}

static void on_broadcast(void *arg, const struct pd_message *msg, bool own_zone)
{
	(void)arg;
	pthread_mutex_lock(&fixture.mutex);
	for (uint32_t i = 0; msg->type == PD_MSG_MEMBERS && i < msg->members.count; i++)
		fixture.dead_broadcast +=
			own_zone && msg->members.records[i].state == PD_MEMBER_DEAD;
	pthread_mutex_unlock(&fixture.mutex);
}

static void on_leaving(void *arg, struct pd_str upstream, bool leaving)
{
	(void)arg;
	(void)upstream;
	(void)leaving;
}

static struct pd_member_record make_record(const char *name, uint64_t incarnation)
{
	struct pd_member_record record = {.incarnation = incarnation};

	pd_name_set(&record.name, pd_str_from(name));
	pd_name_set(&record.zone, PD_STR("z"));
	snprintf(record.address.ip, sizeof(record.address.ip), "127.0.0.1");
	record.address.port = 1;
	return record;
}

/* Opens the member table at time @start_us. */
static void open_members(int64_t start_us)
{
	struct pd_member_record self = make_record("a", 7);

	ck_assert_int_eq(pd_members_open(&fixture.members, &self, start_us, NULL), PD_OK);
}

static void start_sync(void)
{
	struct pd_config_sync_setup sync_setup = {.platform = fixture.address,
						  .self = make_record("a", 7),
						  .config = &fixture.config,
						  .members = fixture.members,
						  .index = &fixture.index,
						  .on_config_changed = on_changed,
						  .broadcast = on_broadcast,
						  .on_upstream_leaving = on_leaving};

	ck_assert_int_eq(pd_config_sync_open(&fixture.sync, &sync_setup, NULL), PD_OK);
	ck_assert_int_eq(pd_config_sync_start(fixture.sync, NULL), PD_OK);
}

static void setup(void)
{
	pd_http_global_init();
	memset(&fixture, 0, sizeof(fixture));
	pthread_mutex_init(&fixture.mutex, NULL);
	fixture.own_record = OWN_RECORD;
	fixture.instances = "";
	fixture.daemon = MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION |
						  MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_ITC,
					  0, NULL, NULL, serve, NULL, MHD_OPTION_END);
	ck_assert(fixture.daemon != NULL);
	snprintf(fixture.address.ip, sizeof(fixture.address.ip), "127.0.0.1");
	fixture.address.port = MHD_get_daemon_info(fixture.daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
	ck_assert_int_eq(pd_config_holder_init(&fixture.config, NULL), PD_OK);
	pd_index_table_init(&fixture.index);
}

static void teardown(void)
{
	pd_config_sync_stop(fixture.sync, 0);
	pd_config_sync_close(fixture.sync);
	pd_members_close(fixture.members);
	MHD_stop_daemon(fixture.daemon);
	pd_index_table_finish(&fixture.index);
	pd_config_holder_finish(&fixture.config);
}

static uint32_t read_counter(const uint32_t *counter)
{
	uint32_t value;

	pthread_mutex_lock(&fixture.mutex);
	value = *counter;
	pthread_mutex_unlock(&fixture.mutex);
	return value;
}

/* Ticks the member table and sleeps, so that waiting isn't detected as a pause of the process. */
static void tick_and_sleep(void)
{
	pd_members_tick(fixture.members, pd_os_now_us());
	pd_os_sleep_us(5 * PD_USEC_PER_MSEC);
}

/* Waits until @counter has increased by @increase. */
static void wait_for_increase(const uint32_t *counter, uint32_t increase)
{
	uint32_t target = read_counter(counter) + increase;
	int64_t deadline_us = pd_os_now_us() + WAIT_US;

	while (read_counter(counter) < target && pd_os_now_us() < deadline_us)
		tick_and_sleep();
	ck_assert_uint_ge(read_counter(counter), target);
}

static void set_own_record(const char *record)
{
	pthread_mutex_lock(&fixture.mutex);
	fixture.own_record = record;
	pthread_mutex_unlock(&fixture.mutex);
}

static void set_instances(const char *instances)
{
	pthread_mutex_lock(&fixture.mutex);
	fixture.instances = instances;
	pthread_mutex_unlock(&fixture.mutex);
}

static void wait_until_confirmed(void)
{
	int64_t deadline_us = pd_os_now_us() + WAIT_US;

	while (!pd_members_confirmed(fixture.members) && pd_os_now_us() < deadline_us)
		tick_and_sleep();
	ck_assert(pd_members_confirmed(fixture.members));
}

static enum pd_member_state member_state(const char *name)
{
	struct pd_member_record record;

	ck_assert(pd_members_find(fixture.members, pd_str_from(name), &record));
	return record.state;
}

START_TEST(list_with_own_record_confirms_the_member_table)
{
	open_members(pd_os_now_us());
	fixture.own_record = NULL;
	start_sync();
	wait_for_increase(&fixture.member_lists, 3);
	ck_assert(!pd_members_confirmed(fixture.members));
	/* The record of a previous process with the same name must not confirm the table. */
	set_own_record(OLD_RECORD);
	wait_for_increase(&fixture.member_lists, 3);
	ck_assert(!pd_members_confirmed(fixture.members));
	set_own_record(OWN_RECORD);
	wait_until_confirmed();
}
END_TEST

START_TEST(member_on_a_lost_host_is_declared_dead)
{
	struct pd_member_record b = make_record("b", 1);
	int64_t now_us = pd_os_now_us();
	int64_t start_us = now_us - PD_MEMBER_LOST_TIMEOUT_US - PD_USEC_PER_SEC;
	int64_t deadline_us = now_us + WAIT_US;

	open_members(start_us);
	pd_members_merge(fixture.members, &b, start_us);
	for (int64_t at_us = start_us; at_us < now_us; at_us += TICK_STEP_US)
		pd_members_tick(fixture.members, at_us);
	fixture.instances = LIVE_INSTANCE("a", "entry") "," LIVE_INSTANCE("b", "entry");
	start_sync();
	wait_for_increase(&fixture.instance_lists, 3);
	ck_assert_int_eq(member_state("b"), PD_MEMBER_LIVE);
	/* A list that lacks this instance as well must be ignored. */
	set_instances(LIVE_INSTANCE("b", "upstream"));
	wait_for_increase(&fixture.instance_lists, 3);
	ck_assert_int_eq(member_state("b"), PD_MEMBER_LIVE);
	ck_assert_uint_eq(read_counter(&fixture.dead_broadcast), 0);
	set_instances(LIVE_INSTANCE("a", "entry") "," LIVE_INSTANCE("b", "upstream"));
	while (member_state("b") != PD_MEMBER_DEAD && pd_os_now_us() < deadline_us)
		tick_and_sleep();
	ck_assert_int_eq(member_state("b"), PD_MEMBER_DEAD);
	while (!read_counter(&fixture.dead_broadcast) && pd_os_now_us() < deadline_us)
		tick_and_sleep();
	ck_assert_uint_eq(read_counter(&fixture.dead_broadcast), 1);
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
	tcase_add_test(tcase, list_with_own_record_confirms_the_member_table);
	tcase_add_test(tcase, member_on_a_lost_host_is_declared_dead);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
