#include "serve.h"

#include <arpa/inet.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include "log.h"

#define THREAD_STACK_BYTES  (256 * 1024)
#define UNLIMITED_CONNS_MAX 16 /* connections beyond the limit, accepted for control requests */
#define CLOSE_POLL_MS	    50 /* interval at which a waiting request checks for the shutdown */
#define REOPEN_RETRY_US	    (10 * PD_USEC_PER_MSEC)

/* Makes close() send a reset, as the kernel does for a crashed or overloaded server. */
static void reset_on_close(int fd)
{
	struct linger linger = {.l_onoff = 1, .l_linger = 0};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
}

static void conn_add(struct standin_server *server, struct standin_conn *conn)
{
	pthread_mutex_lock(&server->mutex);
	conn->serial = ++server->last_serial;
	conn->over_limit =
		server->connection_limit && server->limited_conns >= server->connection_limit;
	if (conn->over_limit)
		server->unlimited_conns++;
	else
		server->limited_conns++;
	conn->next = server->conns;
	if (conn->next)
		conn->next->prev = conn;
	server->conns = conn;
	pthread_mutex_unlock(&server->mutex);
}

static void conn_remove(struct standin_server *server, struct standin_conn *conn)
{
	pthread_mutex_lock(&server->mutex);
	if (conn->over_limit || conn->is_control)
		server->unlimited_conns--;
	else
		server->limited_conns--;
	if (conn->prev)
		conn->prev->next = conn->next;
	else
		server->conns = conn->next;
	if (conn->next)
		conn->next->prev = conn->prev;
	pthread_mutex_unlock(&server->mutex);
	free(conn);
}

static void on_connection(void *arg, struct MHD_Connection *mhd_connection, void **context,
			  enum MHD_ConnectionNotificationCode code)
{
	struct standin_server *server = arg;
	struct standin_conn *conn;

	if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
		if (*context)
			conn_remove(server, *context);
		*context = NULL;
		return;
	}
	conn = calloc(1, sizeof(*conn));
	if (!conn)
		return;
	conn->fd = MHD_get_connection_info(mhd_connection, MHD_CONNECTION_INFO_CONNECTION_FD)
			   ->connect_fd;
	conn_add(server, conn);
	*context = conn;
}

static void on_completed(void *arg, struct MHD_Connection *mhd_connection, void **context,
			 enum MHD_RequestTerminationCode code)
{
	struct standin_request *request = *context;

	(void)arg;
	(void)mhd_connection;
	(void)code;
	if (!request)
		return;
	pd_buf_finish(&request->body);
	free(request);
	*context = NULL;
}

static struct standin_request *request_new(struct standin_server *server,
					   struct MHD_Connection *mhd_connection)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(mhd_connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
	struct standin_request *request;

	if (!info || !info->socket_context)
		return NULL;
	request = calloc(1, sizeof(*request));
	if (!request)
		return NULL;
	request->server = server;
	request->conn = info->socket_context;
	request->mhd = mhd_connection;
	request->arrived_us = pd_os_now_us();
	pd_buf_init(&request->body, server->body_max_bytes);
	return request;
}

static enum MHD_Result on_request(void *arg, struct MHD_Connection *mhd_connection, const char *url,
				  const char *method, const char *version, const char *data,
				  size_t *size, void **context)
{
	struct standin_server *server = arg;
	struct standin_request *request = *context;

	(void)version;
	if (!request) {
		*context = request_new(server, mhd_connection);
		return *context ? MHD_YES : MHD_NO;
	}
	if (*size) {
		pd_buf_append(&request->body, data, *size);
		*size = 0;
		return MHD_YES;
	}
	request->method = method;
	request->path = url;
	return server->handle(server->arg, request);
}

/*
 * Passes the connection to libmicrohttpd, or resets it if the server is paused or has too many
 * connections. Returns whether it was passed on.
 */
static bool pass_to_mhd(struct standin_server *server, int fd)
{
	struct sockaddr_in sa = {.sin_family = AF_INET};
	bool rejected;

	pthread_mutex_lock(&server->mutex);
	rejected = server->connection_limit && server->limited_conns >= server->connection_limit &&
		   server->unlimited_conns >= UNLIMITED_CONNS_MAX;
	rejected = rejected || server->paused;
	pthread_mutex_unlock(&server->mutex);
	if (rejected) {
		reset_on_close(fd);
		pd_os_close(&fd);
		return false;
	}
	return MHD_add_connection(server->daemon, fd, (struct sockaddr *)&sa, sizeof(sa)) ==
	       MHD_YES;
}

static void accept_connections(struct standin_server *server, int listener)
{
	int fd;

	while (pd_os_accept(listener, &fd, NULL) == PD_OK)
		pass_to_mhd(server, fd);
}

/* Waits until the server isn't paused, then listens again; returns false on shutdown. */
static bool listen_again(struct standin_server *server)
{
	struct pd_address address = server->address;
	bool listening = false;

	pthread_mutex_lock(&server->mutex);
	pd_os_close(&server->listener);
	while (!listening && !server->stopping) {
		if (server->paused) {
			pthread_cond_wait(&server->changed, &server->mutex);
			continue;
		}
		listening = pd_os_listen(&address, &server->listener, NULL) == PD_OK;
		if (!listening)
			pd_os_cond_wait_until(&server->changed, &server->mutex,
					      pd_os_now_us() + REOPEN_RETRY_US);
	}
	pthread_mutex_unlock(&server->mutex);
	return listening;
}

static void *accept_main(void *arg)
{
	struct standin_server *server = arg;

	do
		accept_connections(server, server->listener);
	while (listen_again(server));
	return NULL;
}

static struct MHD_Daemon *start_daemon(struct standin_server *server)
{
	return MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD |
					MHD_USE_POLL | MHD_USE_ITC | MHD_USE_NO_LISTEN_SOCKET,
				0, NULL, NULL, on_request, server, MHD_OPTION_NOTIFY_CONNECTION,
				on_connection, server, MHD_OPTION_NOTIFY_COMPLETED, on_completed,
				server, MHD_OPTION_THREAD_STACK_SIZE, (size_t)THREAD_STACK_BYTES,
				MHD_OPTION_CONNECTION_LIMIT, 16384U, MHD_OPTION_END);
}

enum pd_code standin_server_start(struct standin_server *server, struct pd_error *err)
{
	enum pd_code code;

	pthread_mutex_init(&server->mutex, NULL);
	pd_os_cond_init(&server->changed);
	code = pd_os_listen(&server->address, &server->listener, err);
	if (code)
		return code;
	server->daemon = start_daemon(server);
	if (!server->daemon)
		return pd_error_set(err, PD_LAYER_TRANSPORT, PD_SYSTEM,
				    "can't start the HTTP server");
	return pd_os_thread_start(&server->accept_thread, "accept", accept_main, server, err);
}

void standin_server_set_stopping(struct standin_server *server)
{
	pthread_mutex_lock(&server->mutex);
	server->stopping = true;
	pd_os_shutdown(server->listener);
	pthread_cond_broadcast(&server->changed);
	pthread_mutex_unlock(&server->mutex);
}

bool standin_server_stopping(struct standin_server *server)
{
	return server->stopping;
}

void standin_server_stop(struct standin_server *server)
{
	standin_server_set_stopping(server);
	pthread_join(server->accept_thread, NULL);
	MHD_stop_daemon(server->daemon);
	pthread_cond_destroy(&server->changed);
	pthread_mutex_destroy(&server->mutex);
}

void standin_server_pause(struct standin_server *server)
{
	pthread_mutex_lock(&server->mutex);
	server->paused = true;
	pd_os_shutdown(server->listener);
	for (struct standin_conn *conn = server->conns; conn; conn = conn->next) {
		if (conn->is_control)
			continue;
		reset_on_close(conn->fd);
		pd_os_shutdown(conn->fd);
	}
	pthread_mutex_unlock(&server->mutex);
}

void standin_server_resume(struct standin_server *server)
{
	pthread_mutex_lock(&server->mutex);
	server->paused = false;
	pthread_cond_broadcast(&server->changed);
	pthread_mutex_unlock(&server->mutex);
}

uint64_t standin_server_last_serial(struct standin_server *server)
{
	uint64_t serial;

	pthread_mutex_lock(&server->mutex);
	serial = server->last_serial;
	pthread_mutex_unlock(&server->mutex);
	return serial;
}

void standin_server_connection_counts(struct standin_server *server, size_t *connections,
				      size_t *max)
{
	pthread_mutex_lock(&server->mutex);
	*connections = server->limited_conns;
	*max = server->max_connections;
	pthread_mutex_unlock(&server->mutex);
}

bool standin_request_admit(struct standin_request *request, bool control)
{
	struct standin_server *server = request->server;
	struct standin_conn *conn = request->conn;
	bool admitted;

	pthread_mutex_lock(&server->mutex);
	if (control && !conn->is_control) {
		if (!conn->over_limit) {
			server->limited_conns--;
			server->unlimited_conns++;
		}
		conn->is_control = true;
	}
	/* Connections below the limit may have become control connections in the meantime. */
	if (!control && conn->over_limit && !conn->is_control &&
	    server->limited_conns < server->connection_limit) {
		conn->over_limit = false;
		server->unlimited_conns--;
		server->limited_conns++;
	}
	admitted = control || !conn->over_limit;
	if (!control) {
		request->first_on_conn = !conn->has_data_request;
		conn->has_data_request = true;
		if (server->limited_conns > server->max_connections)
			server->max_connections = server->limited_conns;
	}
	pthread_mutex_unlock(&server->mutex);
	return admitted;
}

bool standin_request_client_closed(const struct standin_request *request)
{
	struct pollfd p = {.fd = request->conn->fd, .events = POLLRDHUP};

	return poll(&p, 1, 0) > 0;
}

void standin_request_wait_closed(struct standin_request *request)
{
	struct pollfd p = {.fd = request->conn->fd, .events = POLLRDHUP};

	while (!standin_server_stopping(request->server)) {
		if (poll(&p, 1, CLOSE_POLL_MS) > 0)
			return;
	}
}

void standin_server_sleep(struct standin_server *server, int64_t us)
{
	int64_t end_us = pd_os_now_us() + us;

	pthread_mutex_lock(&server->mutex);
	while (!server->stopping && pd_os_now_us() < end_us)
		pd_os_cond_wait_until(&server->changed, &server->mutex, end_us);
	pthread_mutex_unlock(&server->mutex);
}

bool standin_request_is(const struct standin_request *request, const char *method, const char *path)
{
	return !strcmp(request->method, method) && !strcmp(request->path, path);
}

const char *standin_request_header(const struct standin_request *request, const char *name)
{
	return MHD_lookup_connection_value(request->mhd, MHD_HEADER_KIND, name);
}

const char *standin_request_argument(const struct standin_request *request, const char *name)
{
	return MHD_lookup_connection_value(request->mhd, MHD_GET_ARGUMENT_KIND, name);
}

bool standin_request_integer_argument(const struct standin_request *request, const char *name,
				      int64_t *value)
{
	const char *text = standin_request_argument(request, name);

	return !text || standin_parse_integer(text, value);
}

/**
 * struct truncated_body - first half of the body of a truncated response
 * @len: length of @data in bytes
 * @data: bytes to send
 */
struct truncated_body {
	size_t len;
	char data[];
};

static ssize_t read_truncated_body(void *arg, uint64_t position, char *out, size_t max)
{
	struct truncated_body *body = arg;
	size_t remaining;

	if (position >= body->len)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	remaining = body->len - (size_t)position;
	if (remaining > max)
		remaining = max;
	memcpy(out, body->data + position, remaining);
	return (ssize_t)remaining;
}

static struct MHD_Response *create_response(const struct standin_reply *reply)
{
	struct truncated_body *truncated;

	if (!reply->truncate)
		return MHD_create_response_from_buffer(reply->body.len, (void *)reply->body.data,
						       MHD_RESPMEM_MUST_COPY);
	truncated = malloc(sizeof(*truncated) + reply->body.len);
	if (!truncated)
		return NULL;
	truncated->len = reply->body.len / 2;
	memcpy(truncated->data, reply->body.data, truncated->len);
	return MHD_create_response_from_callback(reply->body.len, 4096, read_truncated_body,
						 truncated, free);
}

enum MHD_Result standin_send_reply(struct standin_request *request,
				   const struct standin_reply *reply)
{
	struct MHD_Response *response = create_response(reply);
	enum MHD_Result result;
	bool json = reply->body.len && (reply->body.data[0] == '{' || reply->body.data[0] == '[');

	if (!response)
		return MHD_NO;
	MHD_add_response_header(response, "Content-Type", json ? "application/json" : "text/plain");
	for (size_t i = 0; i < reply->header_count; i++) {
		if (reply->headers[i].value)
			MHD_add_response_header(response, reply->headers[i].name,
						reply->headers[i].value);
	}
	result = MHD_queue_response(request->mhd, reply->status, response);
	MHD_destroy_response(response);
	return result;
}

enum MHD_Result standin_send_text(struct standin_request *request, unsigned int status,
				  const char *text)
{
	struct standin_reply reply = {.status = status, .body = pd_str_from(text)};

	return standin_send_reply(request, &reply);
}

enum MHD_Result standin_send_json(struct standin_request *request, struct pd_buf *body)
{
	struct standin_reply reply = {.status = MHD_HTTP_OK, .body = pd_buf_str(body)};
	enum MHD_Result result = body->failed ? MHD_NO : standin_send_reply(request, &reply);

	pd_buf_finish(body);
	return result;
}

enum MHD_Result
standin_handle_control(struct standin_request *request,
		       bool (*apply)(void *arg, const struct standin_command *command), void *arg)
{
	char text[64];
	size_t rejected_line;

	if (standin_apply_commands(pd_buf_str(&request->body), apply, arg, &rejected_line))
		return standin_send_text(request, MHD_HTTP_OK, "ok\n");
	snprintf(text, sizeof(text), "line %zu: unknown command or malformed argument\n",
		 rejected_line);
	return standin_send_text(request, MHD_HTTP_BAD_REQUEST, text);
}
