/**
 * DOC: Tests of the client of the platform's store, against a stand-in of the store
 */
#include <arpa/inet.h>
#include <check.h>
#include <fcntl.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "platform_store.h"
#include "store_client.h"
#include "suite.h"

static struct platform_store server;
static struct pd_store client;
static int wake[2];

static void setup(void)
{
	struct sockaddr_in address = {.sin_family = AF_INET};

	platform_store_start(&server);
	address.sin_port = htons(server.address.port);
	inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
	pd_store_init(&client, &address);
	ck_assert_int_eq(pipe2(wake, O_CLOEXEC | O_NONBLOCK), 0);
	client.wake_fd = wake[0];
}

static void teardown(void)
{
	pd_store_finish(&client);
	close(wake[0]);
	close(wake[1]);
}

static uint64_t list_revision(void)
{
	struct pd_object_page page;
	uint64_t revision;

	ck_assert_int_eq(pd_store_list(&client, PD_OBJECT_CONFIG, PD_STR(""), false, &page, NULL),
			 PD_OK);
	revision = page.revision;
	pd_object_page_finish(&page);
	return revision;
}

START_TEST(list_ignores_earlier_wakeup)
{
	/* Guards against an outdated configuration: after the store has dropped its history, the
	 * client lists the objects again. A wake-up between two watches used to cancel that list,
	 * and the configuration stayed at its old version for good.
	 */
	ck_assert_int_eq(write(wake[1], "", 1), 1);
	ck_assert_uint_gt(list_revision(), 0);
	ck_assert_uint_gt(list_revision(), 0);
}
END_TEST

START_TEST(wakeup_cancels_watch)
{
	/* Guards against missed changes: the store doesn't repeat a lost response, so that only a
	 * wake-up can end the watch before its timeout.
	 */
	uint64_t revision = list_revision();
	struct pd_object_page page;

	ck_assert_int_eq(write(wake[1], "", 1), 1);
	ck_assert_int_eq(pd_store_watch(&client, PD_OBJECT_CONFIG, revision, 20000, &page, NULL),
			 PD_CANCELLED);
	ck_assert_uint_eq(list_revision(), revision);
}
END_TEST

START_TEST(watch_returns_changes_and_detects_lost_history)
{
	/* Guards against missed changes: a change between the list and the watch must be returned
	 * by the watch, and a watch from a revision that the store no longer has must fail.
	 */
	uint64_t revision = list_revision();
	struct pd_object_page page;
	struct pd_object object;

	platform_store_put(&server, "config", "main", json_pack("{s:i}", "version", 1));
	ck_assert_int_eq(pd_store_watch(&client, PD_OBJECT_CONFIG, revision, 20000, &page, NULL),
			 PD_OK);
	ck_assert_uint_eq(pd_object_page_count(&page), 1);
	ck_assert(pd_object_page_get(&page, 0, &object));
	ck_assert(pd_object_is_config(object.name));
	ck_assert(!object.removed);
	pd_object_page_finish(&page);
	platform_store_compact(&server);
	ck_assert_int_eq(pd_store_watch(&client, PD_OBJECT_CONFIG, revision, 20000, &page, NULL),
			 PD_NOT_FOUND);
}
END_TEST

START_TEST(closed_idle_connection_is_reopened)
{
	/* Guards against a false outage: a connection can be reset while it is idle. When that was
	 * treated as an outage of the store, removals of upstreams were held for seconds.
	 */
	uint64_t revision = list_revision();

	ck_assert_int_eq(shutdown(client.fd, SHUT_RDWR), 0);
	ck_assert_uint_eq(list_revision(), revision);
}
END_TEST

START_TEST(second_create_returns_conflict)
{
	/* Guards against a registration that is retried although the entry exists: creating it
	 * again must be reported as a conflict, not as a failure of the store.
	 */
	ck_assert_int_eq(pd_store_create(&client, PD_OBJECT_INSTANCES, PD_STR("front-1"),
					 json_object(), NULL),
			 PD_OK);
	ck_assert_int_eq(pd_store_create(&client, PD_OBJECT_INSTANCES, PD_STR("front-1"),
					 json_object(), NULL),
			 PD_CONFLICT);
	ck_assert_uint_eq(platform_store_object_count(&server, "instances"), 1);
}
END_TEST

START_TEST(failed_calls_return_distinct_codes)
{
	/* Guards against wrong retries: a write without a response may have been executed, unlike a
	 * call that the store rejects.
	 */
	struct pd_object_page page;
	struct pd_error err;

	platform_store_set_mode(&server, PLATFORM_STORE_BUSY);
	ck_assert_int_eq(pd_store_list(&client, PD_OBJECT_CONFIG, PD_STR(""), true, &page, &err),
			 PD_UNAVAILABLE);
	platform_store_set_mode(&server, PLATFORM_STORE_SILENT);
	ck_assert_int_eq(pd_store_list(&client, PD_OBJECT_CONFIG, PD_STR(""), true, &page, &err),
			 PD_TIMEOUT);
	ck_assert_int_eq(pd_store_create(&client, PD_OBJECT_INSTANCES, PD_STR("front-1"),
					 json_object(), &err),
			 PD_UNKNOWN_OUTCOME);
}
END_TEST

START_TEST(status_is_written_only_to_the_known_revision)
{
	/* Guards against a second outcome of a roll-out: a write after another one must fail, also
	 * if the response to that was lost or it was executed late.
	 */
	struct pd_rollout_order order = {.object = "s", .object_len = 1};
	struct pd_error err;
	char state[32];

	ck_assert(pd_name_set(&order.target, PD_STR("v2")));
	order.revision = list_revision();
	ck_assert_int_eq(pd_store_write_status(&client, &order, PD_ROLLOUT_RUNNING, &err),
			 PD_NOT_FOUND);
	platform_store_put(&server, "rollouts", "s", json_object());
	ck_assert_int_eq(pd_store_write_status(&client, &order, PD_ROLLOUT_RUNNING, &err),
			 PD_CONFLICT);
	order.revision = list_revision();
	platform_store_lose_statuses(&server, 0, 1);
	ck_assert_int_eq(pd_store_write_status(&client, &order, PD_ROLLOUT_COMPLETED, &err),
			 PD_UNKNOWN_OUTCOME);
	ck_assert_uint_eq(list_revision(), order.revision);
	platform_store_lose_statuses(&server, 1, 0);
	ck_assert_int_eq(pd_store_write_status(&client, &order, PD_ROLLOUT_RUNNING, &err),
			 PD_UNKNOWN_OUTCOME);
	pd_os_sleep_us(2200 * PD_USEC_PER_MSEC);
	platform_store_get_status(&server, "rollouts", "s", "state", state, sizeof(state));
	ck_assert_str_eq(state, "running");
	ck_assert_int_eq(pd_store_write_status(&client, &order, PD_ROLLOUT_ROLLED_BACK, &err),
			 PD_CONFLICT);
	order.revision = list_revision();
	ck_assert_int_eq(pd_store_write_status(&client, &order, PD_ROLLOUT_ROLLED_BACK, &err),
			 PD_OK);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		list_ignores_earlier_wakeup,
		wakeup_cancels_watch,
		watch_returns_changes_and_detects_lost_history,
		closed_idle_connection_is_reopened,
		second_create_returns_conflict,
		failed_calls_return_distinct_codes,
		status_is_written_only_to_the_known_revision,
	};

	return suite_run_with("store_client", setup, teardown, tests,
			      sizeof(tests) / sizeof(tests[0]));
}
