/*
 * Guards against a request that libcurl sends a second time because the persistent connection
 * closes after the server has received the request, against a truncated body that is accepted as
 * complete, and against a cancellation that does not end a running request.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "http_client.h"

enum reply_type {
	REPLY_OK,
	REPLY_CLOSE, /* closes the connection after the request, without a reply */
	REPLY_TRUNCATED, /* sends part of the body and closes the connection */
	REPLY_NEVER, /* sends nothing until the client closes the connection */
};

/** struct server - HTTP server with scripted replies */
struct server {
	struct pd_address address;
	int listener;
	pthread_t thread;
	pthread_mutex_t mutex;
	pthread_cond_t changed;
	enum reply_type script[8]; /* reply to each request in turn; later requests get REPLY_OK */
	int script_len;
	int requests; /* received so far */
};

static bool read_request(int fd)
{
	char data[4096];
	size_t len = 0;

	while (len < sizeof(data) - 1) {
		if (pd_os_read_full(fd, data + len, 1, NULL) != PD_OK)
			return false;
		data[++len] = '\0';
		if (strstr(data, "\r\n\r\nbody"))
			return true;
	}
	return false;
}

static bool send_reply(struct server *server, int fd, enum reply_type reply)
{
	static const char ok[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Test: a\r\n\r\nhi";
	static const char truncated[] = "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhi";
	char byte;

	(void)server;
	switch (reply) {
	case REPLY_OK:
		return pd_os_write_full(fd, ok, sizeof(ok) - 1, NULL) == PD_OK;
	case REPLY_TRUNCATED:
		pd_os_write_full(fd, truncated, sizeof(truncated) - 1, NULL);
		return false;
	case REPLY_NEVER:
		pd_os_read_full(fd, &byte, 1, NULL);
		return false;
	case REPLY_CLOSE:
		return false;
	}
	return false;
}

static void serve_connection(struct server *server, int fd)
{
	while (read_request(fd)) {
		enum reply_type reply = REPLY_OK;

		pthread_mutex_lock(&server->mutex);
		if (server->requests < server->script_len)
			reply = server->script[server->requests];
		server->requests++;
		pthread_cond_broadcast(&server->changed);
		pthread_mutex_unlock(&server->mutex);
		if (!send_reply(server, fd, reply))
			return;
	}
}

static void *serve(void *arg)
{
	struct server *server = arg;
	int fd;

	while (pd_os_accept(server->listener, &fd, NULL) == PD_OK) {
		serve_connection(server, fd);
		pd_os_close(&fd);
	}
	return NULL;
}

static void server_start(struct server *server, const enum reply_type *script, int script_len)
{
	memset(server, 0, sizeof(*server));
	ck_assert(pd_address_parse(PD_STR("127.0.0.1:0"), &server->address, NULL) == PD_OK);
	ck_assert(pd_os_listen(&server->address, &server->listener, NULL) == PD_OK);
	pthread_mutex_init(&server->mutex, NULL);
	pd_os_cond_init(&server->changed);
	memcpy(server->script, script, sizeof(*script) * (size_t)script_len);
	server->script_len = script_len;
	ck_assert(pd_os_thread_start(&server->thread, "server", serve, server, NULL) == PD_OK);
}

static void server_stop(struct server *server)
{
	pd_os_shutdown(server->listener);
	pthread_join(server->thread, NULL);
	pd_os_close(&server->listener);
}

static enum pd_code post(struct pd_http_client *client, struct server *server,
			 struct pd_http_response *response)
{
	struct pd_http_request request = {
		.method = "POST",
		.address = server->address,
		.path = "/run",
		.body = PD_STR("body"),
		.timeout_us = 5 * PD_USEC_PER_SEC,
	};

	return pd_http_client_perform(client, &request, response, NULL);
}

START_TEST(connection_is_reused_and_headers_are_read)
{
	enum reply_type script[] = {REPLY_OK, REPLY_OK};
	struct pd_http_response response;
	struct pd_http_client *client;
	struct server server;

	server_start(&server, script, 2);
	ck_assert(pd_http_client_open(&client, NULL) == PD_OK);
	ck_assert(post(client, &server, &response) == PD_OK);
	ck_assert(response.new_connection);
	ck_assert(pd_str_is(pd_http_response_header(&response, "x-test"), "a"));
	ck_assert(post(client, &server, &response) == PD_OK);
	ck_assert(!response.new_connection);
	pd_http_client_close(client);
	server_stop(&server);
}
END_TEST

START_TEST(request_without_reply_is_not_resent)
{
	enum reply_type script[] = {REPLY_OK, REPLY_CLOSE, REPLY_OK};
	struct pd_http_response response;
	struct pd_http_client *client;
	struct server server;

	server_start(&server, script, 3);
	ck_assert(pd_http_client_open(&client, NULL) == PD_OK);
	ck_assert(post(client, &server, &response) == PD_OK);
	ck_assert_int_eq(post(client, &server, &response), PD_CLOSED);
	pthread_mutex_lock(&server.mutex);
	ck_assert_int_eq(server.requests, 2);
	pthread_mutex_unlock(&server.mutex);
	ck_assert(post(client, &server, &response) == PD_OK);
	pd_http_client_close(client);
	server_stop(&server);
}
END_TEST

START_TEST(truncated_body_is_an_error)
{
	enum reply_type script[] = {REPLY_TRUNCATED};
	struct pd_http_response response;
	struct pd_http_client *client;
	struct server server;

	server_start(&server, script, 1);
	ck_assert(pd_http_client_open(&client, NULL) == PD_OK);
	ck_assert_int_eq(post(client, &server, &response), PD_CLOSED);
	pd_http_client_close(client);
	server_stop(&server);
}
END_TEST

struct canceller {
	struct server *server;
	struct pd_http_client *client;
};

static void *cancel_when_received(void *arg)
{
	struct canceller *canceller = arg;

	pthread_mutex_lock(&canceller->server->mutex);
	while (!canceller->server->requests)
		pthread_cond_wait(&canceller->server->changed, &canceller->server->mutex);
	pthread_mutex_unlock(&canceller->server->mutex);
	pd_http_client_cancel(canceller->client);
	return NULL;
}

START_TEST(cancellation_ends_a_running_request)
{
	enum reply_type script[] = {REPLY_NEVER};
	struct pd_http_response response;
	struct pd_http_client *client;
	struct canceller canceller;
	struct server server;
	pthread_t thread;

	server_start(&server, script, 1);
	ck_assert(pd_http_client_open(&client, NULL) == PD_OK);
	canceller = (struct canceller){&server, client};
	ck_assert(pd_os_thread_start(&thread, "cancel", cancel_when_received, &canceller, NULL) ==
		  PD_OK);
	ck_assert_int_eq(post(client, &server, &response), PD_CANCELLED);
	pthread_join(thread, NULL);
	pd_http_client_close(client);
	server_stop(&server);
}
END_TEST

START_TEST(closed_port_refuses_the_connection)
{
	struct pd_http_response response;
	struct pd_http_client *client;
	struct server server = {0};

	ck_assert(pd_address_parse(PD_STR("127.0.0.1:0"), &server.address, NULL) == PD_OK);
	ck_assert(pd_os_listen(&server.address, &server.listener, NULL) == PD_OK);
	pd_os_close(&server.listener);
	ck_assert(pd_http_client_open(&client, NULL) == PD_OK);
	ck_assert_int_eq(post(client, &server, &response), PD_REFUSED_CONNECTION);
	pd_http_client_close(client);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("http_client");
	TCase *tcase = tcase_create("http_client");
	SRunner *runner = srunner_create(suite);
	int failed;

	pd_http_global_init();
	tcase_add_test(tcase, connection_is_reused_and_headers_are_read);
	tcase_add_test(tcase, request_without_reply_is_not_resent);
	tcase_add_test(tcase, truncated_body_is_an_error);
	tcase_add_test(tcase, cancellation_ends_a_running_request);
	tcase_add_test(tcase, closed_port_refuses_the_connection);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
