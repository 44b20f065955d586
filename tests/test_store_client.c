/**
 * DOC: The client of the platform's store, against its stand-in
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

START_TEST(lists_although_woken)
{
	/* A wake-up that came between two watches must not end the list that follows the loss of
	 * the history: the configuration stayed at its old version for good. */
	ck_assert_int_eq(write(wake[1], "", 1), 1);
	ck_assert_uint_gt(list_revision(), 0);
	ck_assert_uint_gt(list_revision(), 0);
}
END_TEST

START_TEST(watch_ends_when_woken)
{
	/* An answer that was lost is never repeated: only a wake-up ends such a watch early. */
	uint64_t revision = list_revision();
	struct pd_object_page page;

	ck_assert_int_eq(write(wake[1], "", 1), 1);
	ck_assert_int_eq(pd_store_watch(&client, PD_OBJECT_CONFIG, revision, 20000, &page, NULL),
			 PD_CANCELLED);
	ck_assert_uint_eq(list_revision(), revision);
}
END_TEST

START_TEST(watch_sees_changes_and_lost_history)
{
	/* A change between the list and the watch must not be missed. */
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

START_TEST(closed_idle_connection_is_replaced)
{
	/* Connections are reset while they are idle; taken for an outage, that held back removals
	 * for seconds. */
	uint64_t revision = list_revision();

	ck_assert_int_eq(shutdown(client.fd, SHUT_RDWR), 0);
	ck_assert_uint_eq(list_revision(), revision);
}
END_TEST

START_TEST(creates_once)
{
	/* A second registration of the same instance is a conflict, no error of the store. */
	ck_assert_int_eq(pd_store_create(&client, PD_OBJECT_INSTANCES, PD_STR("front-1"),
					 json_object(), NULL),
			 PD_OK);
	ck_assert_int_eq(pd_store_create(&client, PD_OBJECT_INSTANCES, PD_STR("front-1"),
					 json_object(), NULL),
			 PD_CONFLICT);
	ck_assert_uint_eq(platform_store_count(&server, "instances"), 1);
}
END_TEST

START_TEST(tells_how_a_call_failed)
{
	/* A write without an answer may have been executed; a refused one wasn't. */
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

int main(void)
{
	const TTest *const tests[] = {
		lists_although_woken,
		watch_ends_when_woken,
		watch_sees_changes_and_lost_history,
		closed_idle_connection_is_replaced,
		creates_once,
		tells_how_a_call_failed,
	};

	return suite_run_with("store_client", setup, teardown, tests,
			      sizeof(tests) / sizeof(tests[0]));
}
