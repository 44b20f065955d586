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

/* Reads a call of the client at @listener and answers it with @bytes, @repeat times; the connection
 * stays open until the client closes it.
 */
struct raw_answer {
	int listener;
	const char *bytes;
	int repeat;
};

static void *answer_raw(void *arg)
{
	const struct raw_answer *answer = arg;
	char bytes[2048];
	int fd = accept(answer->listener, NULL, NULL);

	if (recv(fd, bytes, sizeof(bytes), 0) > 0) {
		for (int i = 0; i < answer->repeat; i++) {
			if (send(fd, answer->bytes, strlen(answer->bytes), MSG_NOSIGNAL) < 0)
				break;
		}
	}
	while (recv(fd, bytes, sizeof(bytes), 0) > 0)
		;
	close(fd);
	return NULL;
}

/* Returns the result of a list, or of the creation of an object, that is answered with @bytes, and
 * whether the connection was kept.
 */
static enum pd_code call_raw(bool create, const char *bytes, int repeat, bool *kept)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	struct raw_answer answer = {socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), bytes, repeat};
	socklen_t len = sizeof(address);
	struct pd_object_page page;
	struct pd_store store;
	enum pd_code code;
	pthread_t thread;

	ck_assert_int_eq(bind(answer.listener, (struct sockaddr *)&address, sizeof(address)), 0);
	ck_assert_int_eq(listen(answer.listener, 1), 0);
	ck_assert_int_eq(getsockname(answer.listener, (struct sockaddr *)&address, &len), 0);
	ck_assert_int_eq(pthread_create(&thread, NULL, answer_raw, &answer), 0);
	pd_store_init(&store, &address);
	if (create)
		code = pd_store_create(&store, PD_OBJECT_INSTANCES, PD_STR("front-1"),
				       json_object(), NULL);
	else
		code = pd_store_list(&store, PD_OBJECT_CONFIG, PD_STR(""), false, &page, NULL);
	if (!create && code == PD_OK)
		pd_object_page_finish(&page);
	*kept = store.fd >= 0;
	pd_store_finish(&store);
	pthread_join(thread, NULL);
	close(answer.listener);
	return code;
}

static enum pd_code list_raw(const char *bytes, int repeat, bool *kept)
{
	return call_raw(false, bytes, repeat, kept);
}

#define PAGE_RESPONSE "HTTP/1.1 200 OK\r\nContent-Length: 19\r\n\r\n{\"items\":[],\"at\":7}"

START_TEST(response_with_invalid_status_closes_the_connection)
{
	/* Guards against a response of the store that is read as that to the next call: after a
	 * status that no response has, nothing shows where the next one begins.
	 */
	static const char *const statuses[] = {"000", "099", "101", "600", "1000", "-200", ""};
	char text[128];
	bool kept;

	for (size_t i = 0; i < sizeof(statuses) / sizeof(statuses[0]); i++) {
		snprintf(text, sizeof(text), "HTTP/1.1 %s X\r\nContent-Length: 0\r\n\r\n",
			 statuses[i]);
		ck_assert_int_eq(list_raw(text, 1, &kept), PD_INVALID);
		ck_assert(!kept);
	}
}
END_TEST

START_TEST(interim_responses_of_the_store_are_skipped)
{
	/* Guards against an interim response that counts as the store's response, so that the call
	 * fails and the response itself is read as that to the next call. Without end, they must
	 * not keep the call busy.
	 */
	int64_t started;
	bool kept;

	ck_assert_int_eq(list_raw(PAGE_RESPONSE, 1, &kept), PD_OK);
	ck_assert(kept);
	ck_assert_int_eq(list_raw("HTTP/1.1 102 Processing\r\n\r\n"
				  "HTTP/1.1 103 Hints\r\nLink: <a>\r\n\r\n" PAGE_RESPONSE,
				  1, &kept),
			 PD_OK);
	ck_assert(kept);
	started = pd_os_boot_us();
	ck_assert_int_eq(list_raw("HTTP/1.1 102 Processing\r\n\r\n", 100000, &kept), PD_INVALID);
	ck_assert(!kept);
	ck_assert_int_lt(pd_os_boot_us() - started, 500 * PD_USEC_PER_MSEC);
}
END_TEST

START_TEST(write_without_valid_response_has_unknown_outcome)
{
	/* Guards against a write that counts as rejected although the store may have executed it:
	 * bytes that are no response prove nothing.
	 */
	static const char *const texts[] = {
		"HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 600 X\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\nbytes after it",
		"these bytes are no response\r\n\r\n",
	};
	bool kept;

	for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++)
		ck_assert_int_eq(call_raw(true, texts[i], 1, &kept), PD_UNKNOWN_OUTCOME);
	ck_assert_int_eq(call_raw(true, "HTTP/1.1 400 X\r\nContent-Length: 0\r\n\r\n", 1, &kept),
			 PD_INVALID);
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
		response_with_invalid_status_closes_the_connection,
		interim_responses_of_the_store_are_skipped,
		write_without_valid_response_has_unknown_outcome,
		status_is_written_only_to_the_known_revision,
	};

	return suite_run_with("store_client", setup, teardown, tests,
			      sizeof(tests) / sizeof(tests[0]));
}
