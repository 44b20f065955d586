/*
 * Guards the HTTP server for callers against malformed, oversized and truncated requests that crash
 * it, get no response or occupy a thread without a time limit, against statuses that do not match
 * the outcome of a query, and against a shutdown that interrupts a request.
 */
#include <check.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "caller_api.h"

static struct pd_config_holder holder;
static struct pd_index_table table;
static struct pd_router *router;
static struct pd_coordinator coordinator;
static struct pd_caller_api *api;
static struct pd_caller_api_setup api_setup;
static const char *not_ready; /* reason why the instance isn't ready, or NULL */

/* The upstream that fake_send() stands for. */
static struct {
	enum pd_substatus status; /* status of each reply */
	bool block; /* sub-requests wait while this is set; atomic */
	bool called; /* a sub-request was received; atomic */
} upstream;

static void fake_send(void *arg, const struct pd_msg_subrequest *request, struct pd_str zone,
		      pd_reply_fn *reply, void *reply_arg, uint64_t *handle)
{
	struct pd_msg_subreply msg = {
		.status = upstream.status,
		.snapshot = request->snapshot,
		.covers = PD_STR("0-9"),
		.body = PD_STR("[1]"),
	};

	(void)arg;
	(void)zone;
	*handle = 0;
	__atomic_store_n(&upstream.called, true, __ATOMIC_SEQ_CST);
	while (__atomic_load_n(&upstream.block, __ATOMIC_SEQ_CST))
		pd_os_sleep_us(1000);
	reply(reply_arg, &msg);
}

static void fake_cancel(void *arg, uint64_t handle)
{
	(void)arg;
	(void)handle;
}

static void append_not_ready(void *arg, struct pd_buf *reasons)
{
	(void)arg;
	if (not_ready)
		pd_buf_append_str(reasons, pd_str_from(not_ready));
}

static void setup(void)
{
	struct pd_config *config;

	memset(&upstream, 0, sizeof(upstream));
	not_ready = NULL;
	ck_assert(pd_config_from_text(
			  PD_STR("create zone a\ncreate collection c buckets 10\n"
				 "create service s in c\n"
				 "create upstream u service s zone a address 127.0.0.1:1 slots 1 "
				 "connections 9 connect 1ms\n"
				 "create kind urgent urgency urgent deadline 5000ms\n"),
			  5, &config, NULL) == PD_OK);
	ck_assert(pd_config_holder_init(&holder, NULL) == PD_OK);
	pd_config_holder_advance(&holder, config);
	pd_index_table_init(&table);
	pd_index_table_update(&table, PD_STR("c"), 3, 10);
	ck_assert(pd_router_open(&router, PD_STR("a"), 1, NULL) == PD_OK);
	coordinator = (struct pd_coordinator){
		.config = &holder,
		.router = router,
		.index = &table,
		.sender = {.type = PD_SENDER_FAKE,
			   .fake = {.send = fake_send, .cancel = fake_cancel}},
	};
	pd_name_set(&coordinator.instance, PD_STR("entry-1"));
	api_setup = (struct pd_caller_api_setup){
		.listen = {.ip = "127.0.0.1"},
		.max_connections = 16,
		.coordinator = &coordinator,
		.append_not_ready_reasons = append_not_ready,
	};
	ck_assert(pd_caller_api_start(&api, &api_setup, NULL) == PD_OK);
}

static void teardown(void)
{
	pd_caller_api_stop(api, pd_os_now_us() + 5 * PD_USEC_PER_SEC);
	pd_router_close(router);
	pd_index_table_finish(&table);
	pd_config_holder_finish(&holder);
}

static int open_connection(void)
{
	int fd;

	ck_assert(pd_os_connect(&api_setup.listen, PD_USEC_PER_SEC, &fd, NULL) == PD_OK);
	pd_os_set_io_timeout(fd, 20 * PD_USEC_PER_SEC);
	return fd;
}

/* Sends @text, shuts down the sending direction and reads until the server closes the connection.
 */
static void send_raw(struct pd_str text, struct pd_buf *reply)
{
	int fd = open_connection();
	char chunk[4096];
	ssize_t n;

	pd_os_write_full(fd, text.data, text.len, NULL);
	shutdown(fd, SHUT_WR);
	pd_buf_clear(reply);
	while ((n = recv(fd, chunk, sizeof(chunk), 0)) > 0)
		pd_buf_append(reply, chunk, (size_t)n);
	pd_os_close(&fd);
}

static void post(const char *headers, const char *command, struct pd_buf *reply)
{
	struct pd_buf text = {0};

	pd_buf_printf(&text,
		      "POST /v1/query HTTP/1.1\r\nHost: x\r\nConnection: close\r\n%s"
		      "Content-Length: %zu\r\n\r\n%s",
		      headers, strlen(command), command);
	send_raw(pd_buf_str(&text), reply);
	pd_buf_finish(&text);
}

static int status_of(const struct pd_buf *reply)
{
	int status = 0;

	if (reply->data)
		(void)!sscanf(reply->data, "HTTP/1.1 %d", &status);
	return status;
}

static bool contains(const struct pd_buf *reply, const char *text)
{
	return reply->data && strstr(reply->data, text);
}

/* Guards against a status or a JSON response that does not match the outcome of a query. */
START_TEST(query_outcome_sets_http_status)
{
	struct pd_buf reply = {0};

	post("Request-Id: r-7\r\n", "query c \"frame 12\" kind urgent\n", &reply);
	ck_assert_int_eq(status_of(&reply), 200);
	ck_assert(contains(&reply, "\"outcome\":\"complete\",\"request_id\":\"r-7\""));
	ck_assert(contains(&reply, "\"hits\":[1]"));
	upstream.status = PD_SUB_OVERLOADED;
	post("", "query c \"x\" kind urgent", &reply);
	ck_assert_int_eq(status_of(&reply), 503);
	ck_assert(contains(&reply, "Not-Run: true"));
	upstream.status = PD_SUB_FAILED;
	post("Deadline-Ms: 50\r\n", "run s \"x\" kind urgent", &reply);
	ck_assert_int_eq(status_of(&reply), 504);
	ck_assert(!contains(&reply, "Not-Run"));
	pd_buf_finish(&reply);
}
END_TEST

/* Guards against malformed requests that are run or that get a response without an error message.
 */
START_TEST(malformed_requests_get_400)
{
	static const char *const headers[] = {"Deadline-Ms: 0\r\n", "Deadline-Ms: x\r\n",
					      "Deadline-Ms: 99999999999999999999\r\n",
					      "Deadline-Ms: -1\r\n", "Request-Id: a b\r\n"};
	static const char *const commands[] = {"",
					       "quer c \"x\"",
					       "query c \"x",
					       "query none \"x\"",
					       "set zone a out",
					       "query c \"x\"\nquery c \"y\"",
					       "run none \"\\\"x\"",
					       "query c \"x\" kind none"};
	struct pd_buf reply = {0};

	for (size_t i = 0; i < sizeof(headers) / sizeof(headers[0]); i++) {
		post(headers[i], "query c \"x\"", &reply);
		ck_assert_msg(status_of(&reply) == 400, "%s%s", headers[i], reply.data);
		ck_assert(contains(&reply, "{\"error\":\""));
	}
	for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++) {
		post("", commands[i], &reply);
		ck_assert_msg(status_of(&reply) == 400, "%s: %s", commands[i], reply.data);
		ck_assert(contains(&reply, "{\"error\":\""));
	}
	ck_assert(!upstream.called);
	pd_buf_finish(&reply);
}
END_TEST

/* Guards against wrong statuses of the other paths, and a readiness response without the reasons.
 */
START_TEST(other_paths_and_methods_have_their_status)
{
	struct pd_buf reply = {0};

	send_raw(PD_STR("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"), &reply);
	ck_assert_int_eq(status_of(&reply), 200);
	not_ready = "no configuration\n";
	send_raw(PD_STR("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"), &reply);
	ck_assert_int_eq(status_of(&reply), 503);
	ck_assert(contains(&reply, "no configuration"));
	send_raw(PD_STR("GET /live HTTP/1.1\r\nHost: x\r\n\r\n"), &reply);
	ck_assert_int_eq(status_of(&reply), 200);
	send_raw(PD_STR("GET /counters HTTP/1.1\r\nHost: x\r\n\r\n"), &reply);
	ck_assert(contains(&reply, "queries_complete "));
	send_raw(PD_STR("GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n"), &reply);
	ck_assert_int_eq(status_of(&reply), 404);
	send_raw(PD_STR("GET /v1/query HTTP/1.1\r\nHost: x\r\n\r\n"), &reply);
	ck_assert_int_eq(status_of(&reply), 405);
	ck_assert(contains(&reply, "Allow: POST"));
	send_raw(PD_STR("DELETE /ready HTTP/1.1\r\nHost: x\r\n\r\n"), &reply);
	ck_assert_int_eq(status_of(&reply), 405);
	pd_buf_finish(&reply);
}
END_TEST

/* Guards against bodies and heads of unlimited size. */
START_TEST(oversized_requests_are_rejected)
{
	struct pd_buf text = {0};
	struct pd_buf reply = {0};

	send_raw(PD_STR("POST /v1/query HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n"),
		 &reply);
	ck_assert_int_eq(status_of(&reply), 413);
	pd_buf_printf(&text, "POST /v1/query HTTP/1.1\r\nHost: x\r\n"
			     "Transfer-Encoding: chunked\r\n\r\n");
	for (int i = 0; i < 20; i++)
		pd_buf_printf(&text, "1000\r\n%04096d\r\n", 0);
	pd_buf_printf(&text, "0\r\n\r\n");
	send_raw(pd_buf_str(&text), &reply);
	ck_assert_int_eq(status_of(&reply), 413);
	pd_buf_clear(&text);
	pd_buf_printf(&text, "GET /ready HTTP/1.1\r\nHost: x\r\nLong: %0100000d\r\n\r\n", 0);
	send_raw(pd_buf_str(&text), &reply);
	ck_assert_int_ne(status_of(&reply), 200);
	send_raw(PD_STR("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"), &reply);
	ck_assert_int_eq(status_of(&reply), 200);
	pd_buf_finish(&text);
	pd_buf_finish(&reply);
}
END_TEST

/*
 * Guards against truncated requests that get a response with status 200 or stay in flight. Cuts a
 * request off after every third byte.
 */
START_TEST(truncated_requests_do_not_stay_in_flight)
{
	struct pd_str raw_request =
		PD_STR("POST /v1/query HTTP/1.1\r\nHost: x\r\nContent-Length: 19\r\n"
		       "\r\nquery c \"x\"");
	struct pd_buf reply = {0};

	for (size_t len = 0; len <= raw_request.len; len += 3) {
		send_raw((struct pd_str){raw_request.data, len}, &reply);
		ck_assert_int_ne(status_of(&reply), 200);
	}
	send_raw(PD_STR("\x01\x02\xff\xfe garbage\r\n\r\n\r\n"), &reply);
	ck_assert_int_ne(status_of(&reply), 200);
	ck_assert(!upstream.called);
	ck_assert_uint_eq(pd_caller_api_in_flight(api), 0);
	pd_buf_finish(&reply);
}
END_TEST

/* Guards against a slow sender that occupies a thread forever, since each byte restarts an idle
 * timeout. */
START_TEST(connections_of_slow_senders_are_closed)
{
	struct pd_str head =
		PD_STR("POST /v1/query HTTP/1.1\r\nHost: x\r\nContent-Length: 9999\r\n\r\n");
	int64_t start = pd_os_now_us();
	int fd = open_connection();
	bool open = true;
	char c;

	ck_assert(pd_os_write_full(fd, head.data, head.len, NULL) == PD_OK);
	while (open && pd_os_now_us() - start < 20 * PD_USEC_PER_SEC) {
		ssize_t n;

		send(fd, "x", 1, MSG_NOSIGNAL);
		pd_os_sleep_us(100 * PD_USEC_PER_MSEC);
		n = recv(fd, &c, 1, MSG_DONTWAIT);
		open = n < 0 && errno == EAGAIN;
	}
	pd_os_close(&fd);
	ck_assert(!open);
	ck_assert_int_ge(pd_os_now_us() - start, 4 * PD_USEC_PER_SEC);
}
END_TEST

static void *post_one(void *arg)
{
	post("", "query c \"x\" kind urgent", arg);
	return NULL;
}

static void *stop_api(void *arg)
{
	(void)arg;
	pd_caller_api_stop(api, pd_os_now_us() + 20 * PD_USEC_PER_SEC);
	return NULL;
}

/* Guards against a graceful shutdown that interrupts a request. */
START_TEST(stop_waits_for_requests_in_flight)
{
	struct pd_buf reply = {0};
	pthread_t caller;
	pthread_t stopper;

	upstream.block = true;
	ck_assert(pd_os_thread_start(&caller, "caller", post_one, &reply, NULL) == PD_OK);
	while (!__atomic_load_n(&upstream.called, __ATOMIC_SEQ_CST))
		pd_os_sleep_us(1000);
	ck_assert_uint_eq(pd_caller_api_in_flight(api), 1);
	ck_assert(pd_os_thread_start(&stopper, "stopper", stop_api, NULL, NULL) == PD_OK);
	pd_os_sleep_us(50 * PD_USEC_PER_MSEC);
	__atomic_store_n(&upstream.block, false, __ATOMIC_SEQ_CST);
	pthread_join(caller, NULL);
	pthread_join(stopper, NULL);
	ck_assert_int_eq(status_of(&reply), 200);
	pd_buf_finish(&reply);
	ck_assert(pd_caller_api_start(&api, &api_setup, NULL) == PD_OK);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("caller_api");
	TCase *tcase = tcase_create("caller_api");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_set_timeout(tcase, 60);
	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, query_outcome_sets_http_status);
	tcase_add_test(tcase, malformed_requests_get_400);
	tcase_add_test(tcase, other_paths_and_methods_have_their_status);
	tcase_add_test(tcase, oversized_requests_are_rejected);
	tcase_add_test(tcase, truncated_requests_do_not_stay_in_flight);
	tcase_add_test(tcase, connections_of_slow_senders_are_closed);
	tcase_add_test(tcase, stop_waits_for_requests_in_flight);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
