#include "caller_api.h"

#include <microhttpd.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "counters.h"

#define IDLE_TIMEOUT_S		  30 /* until the request head is complete */
#define IDLE_TIMEOUT_US		  (IDLE_TIMEOUT_S * PD_USEC_PER_SEC)
#define BODY_TIMEOUT_US		  (5 * PD_USEC_PER_SEC) /* from the head to the end of the body */
#define TIMEOUT_CHECK_INTERVAL_US (250 * PD_USEC_PER_MSEC)
#define THREAD_STACK_BYTES	  (256 * 1024) /* stack of a connection's thread */
/* For the request line, the headers and the read buffer of a connection. */
#define CONNECTION_MEMORY_BYTES (32 * 1024)
/* A connection is closed when a body grows beyond this; smaller oversized bodies get a response. */
#define DISCARD_MAX_BYTES (4 * PD_COMMAND_MAX_BYTES)
#define DEADLINE_HEADER	  "Deadline-Ms"
#define ID_HEADER	  "Request-Id"

/** enum conn_state - state of a caller's connection, which selects its timeout. */
enum conn_state {
	CONN_IDLE, /* waits for a complete request head */
	CONN_RECEIVING, /* receives the request body */
	CONN_RUNNING, /* runs the request or sends the response; not closed by the timeout thread */
};

/**
 * struct conn - a connection of a caller
 * @api: server that the connection belongs to
 * @next: next connection in the server's list
 * @prev: previous connection in the server's list
 * @fd: socket; owned by libmicrohttpd
 * @state: current state
 * @since_us: time at which @state was set, in microseconds of pd_os_now_us()
 */
struct conn {
	struct pd_caller_api *api;
	struct conn *next;
	struct conn *prev;
	int fd;
	enum conn_state state;
	int64_t since_us;
};

/**
 * struct request - a request that is being received or run
 * @conn: connection that it arrived on
 * @body: request body; failed if it is longer than PD_COMMAND_MAX_BYTES
 * @received: length of the body so far in bytes, including bytes that did not fit in @body
 */
struct request {
	struct conn *conn;
	struct pd_buf body;
	size_t received;
};

/**
 * struct pd_caller_api - the server
 * @setup: settings
 * @daemon: libmicrohttpd server
 * @timeout_thread: thread that closes connections that exceed their timeout
 * @mutex: guards the members below
 * @changed: signalled when a request ends or the server stops
 * @conns: list of open connections
 * @in_flight: number of requests in flight, from their head to the end of their response
 * @stopping: the server is draining; responses ask the caller to close the connection
 * @end_timeout_thread: the timeout thread is to end
 */
struct pd_caller_api {
	struct pd_caller_api_setup setup;
	struct MHD_Daemon *daemon;
	pthread_t timeout_thread;
	pthread_mutex_t mutex;
	pthread_cond_t changed;
	struct conn *conns;
	uint64_t in_flight;
	bool stopping;
	bool end_timeout_thread;
};

/* -- connections -- */

static void set_state(struct conn *conn, enum conn_state state)
{
	pthread_mutex_lock(&conn->api->mutex);
	conn->state = state;
	conn->since_us = pd_os_now_us();
	pthread_mutex_unlock(&conn->api->mutex);
}

static void conn_add(struct pd_caller_api *api, struct MHD_Connection *connection, void **context)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
	struct conn *conn = calloc(1, sizeof(*conn));

	*context = conn;
	if (!conn)
		return;
	conn->api = api;
	conn->fd = info ? info->connect_fd : -1;
	conn->since_us = pd_os_now_us();
	pthread_mutex_lock(&api->mutex);
	conn->next = api->conns;
	if (conn->next)
		conn->next->prev = conn;
	api->conns = conn;
	pthread_mutex_unlock(&api->mutex);
}

static void conn_remove(struct pd_caller_api *api, struct conn *conn)
{
	if (!conn)
		return;
	pthread_mutex_lock(&api->mutex);
	if (conn->prev)
		conn->prev->next = conn->next;
	else
		api->conns = conn->next;
	if (conn->next)
		conn->next->prev = conn->prev;
	pthread_mutex_unlock(&api->mutex);
	free(conn);
}

/* libmicrohttpd reports the end of a connection before it closes the descriptor, so that the
 * timeout thread never shuts down a descriptor that was reused. */
static void on_connection(void *arg, struct MHD_Connection *connection, void **context,
			  enum MHD_ConnectionNotificationCode code)
{
	if (code == MHD_CONNECTION_NOTIFY_STARTED)
		conn_add(arg, connection, context);
	else
		conn_remove(arg, *context);
}

static bool is_timed_out(const struct conn *conn, int64_t now_us)
{
	switch (conn->state) {
	case CONN_IDLE:
		return now_us - conn->since_us >= IDLE_TIMEOUT_US;
	case CONN_RECEIVING:
		return now_us - conn->since_us >= BODY_TIMEOUT_US;
	case CONN_RUNNING:
		break;
	}
	return false;
}

/*
 * Closes connections that exceed the timeout of their state. The timeout of libmicrohttpd restarts
 * with each received byte, so a slow sender could occupy a thread forever; these timeouts apply to
 * the whole head and the whole body of a request.
 */
static void *run_timeout_checks(void *arg)
{
	struct pd_caller_api *api = arg;

	pthread_mutex_lock(&api->mutex);
	while (!api->end_timeout_thread) {
		int64_t now_us = pd_os_now_us();

		for (struct conn *conn = api->conns; conn; conn = conn->next) {
			if (is_timed_out(conn, now_us))
				pd_os_shutdown(conn->fd);
		}
		pd_os_cond_wait_until(&api->changed, &api->mutex,
				      now_us + TIMEOUT_CHECK_INTERVAL_US);
	}
	pthread_mutex_unlock(&api->mutex);
	return NULL;
}

/* -- responses -- */

/**
 * struct reply - the response to a request
 * @status: HTTP status code
 * @type: content type
 * @header: name of an additional header, or NULL
 * @value: value of that header
 * @body: response body
 */
struct reply {
	unsigned int status;
	const char *type;
	const char *header;
	const char *value;
	struct pd_buf body;
};

#define TYPE_JSON "application/json"
#define TYPE_TEXT "text/plain; charset=utf-8"

/* Makes @reply an error response with @text as the JSON error message. */
static void reply_error(struct reply *reply, unsigned int status, const char *text)
{
	reply->status = status;
	reply->type = TYPE_JSON;
	pd_buf_clear(&reply->body);
	pd_error_print(pd_str_from(text), &reply->body);
	pd_buf_append_str(&reply->body, PD_STR("\n"));
}

static enum MHD_Result send_reply(struct pd_caller_api *api, struct MHD_Connection *connection,
				  struct reply *reply)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
		reply->body.len, reply->body.data ? reply->body.data : "", MHD_RESPMEM_MUST_COPY);
	enum MHD_Result queued;
	bool stopping;

	pd_buf_finish(&reply->body);
	if (!response)
		return MHD_NO;
	pthread_mutex_lock(&api->mutex);
	stopping = api->stopping;
	pthread_mutex_unlock(&api->mutex);
	MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, reply->type);
	if (reply->header)
		MHD_add_response_header(response, reply->header, reply->value);
	if (stopping)
		MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
	queued = MHD_queue_response(connection, reply->status, response);
	MHD_destroy_response(response);
	return queued;
}

/* -- queries -- */

/* Returns the HTTP status for the outcome of a command. */
static unsigned int status_of(enum pd_outcome outcome)
{
	switch (outcome) {
	case PD_OUTCOME_COMPLETE:
	case PD_OUTCOME_PARTIAL:
		return MHD_HTTP_OK;
	case PD_OUTCOME_REFUSED:
		return MHD_HTTP_SERVICE_UNAVAILABLE;
	case PD_OUTCOME_UNKNOWN:
		break;
	}
	return MHD_HTTP_GATEWAY_TIMEOUT;
}

static struct pd_str header_of(struct MHD_Connection *connection, const char *name)
{
	return pd_str_from(MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name));
}

/* Reads the deadline (0 if absent) and the request id from the headers; false with an error in
 * @reply if one is malformed. */
static bool read_headers(struct MHD_Connection *connection, int64_t *deadline_us,
			 struct pd_str *request_id, struct reply *reply)
{
	struct pd_str deadline = header_of(connection, DEADLINE_HEADER);
	struct pd_name name;
	uint64_t ms = 0;

	*request_id = header_of(connection, ID_HEADER);
	if (deadline.data && (!pd_str_to_u64(deadline, &ms) || ms < 1 || ms > PD_DEADLINE_MAX_MS)) {
		reply_error(reply, MHD_HTTP_BAD_REQUEST,
			    DEADLINE_HEADER ": expected milliseconds, from 1 to 60000");
		return false;
	}
	if (request_id->data && !pd_name_set(&name, *request_id)) {
		reply_error(reply, MHD_HTTP_BAD_REQUEST,
			    ID_HEADER ": expected 1 to 63 of A-Z, a-z, 0-9, '.', '_' and '-'");
		return false;
	}
	*deadline_us = (int64_t)ms * PD_USEC_PER_MSEC;
	return true;
}

static void reply_failure(struct reply *reply, const struct pd_error *err)
{
	switch (err->code) {
	case PD_INVALID:
	case PD_NOT_FOUND:
		reply_error(reply, MHD_HTTP_BAD_REQUEST, err->text);
		break;
	case PD_TOO_LARGE:
		reply_error(reply, MHD_HTTP_CONTENT_TOO_LARGE, err->text);
		break;
	default:
		reply_error(reply, MHD_HTTP_INTERNAL_SERVER_ERROR, err->text);
		break;
	}
}

static void run_command(struct pd_caller_api *api, const struct pd_command *command,
			struct pd_str request_id, int64_t deadline_us, struct reply *reply)
{
	struct pd_answer answer;
	struct pd_error err = {0};

	pd_answer_init(&answer);
	if (pd_coordinator_run(api->setup.coordinator, command, request_id, deadline_us, &answer,
			       &err) == PD_OK) {
		reply->status = status_of(answer.outcome);
		if (answer.outcome == PD_OUTCOME_REFUSED) {
			reply->header = "Not-Run";
			reply->value = "true";
		}
		pd_answer_print(&answer, &reply->body);
		pd_buf_append_str(&reply->body, PD_STR("\n"));
	} else {
		reply_failure(reply, &err);
	}
	pd_answer_finish(&answer);
}

static struct pd_str without_line_end(struct pd_str s)
{
	while (s.len && (s.data[s.len - 1] == '\n' || s.data[s.len - 1] == '\r'))
		s.len--;
	return s;
}

static void handle_query(struct pd_caller_api *api, struct MHD_Connection *connection,
			 const struct request *request, struct reply *reply)
{
	struct pd_command command;
	struct pd_error err = {0};
	struct pd_str request_id;
	int64_t deadline_us;

	if (request->body.failed) {
		reply_error(reply, MHD_HTTP_CONTENT_TOO_LARGE, "the command is longer than 64 KB");
		return;
	}
	if (!read_headers(connection, &deadline_us, &request_id, reply))
		return;
	if (pd_command_parse(&command, without_line_end(pd_buf_str(&request->body)), &err) !=
	    PD_OK) {
		reply_failure(reply, &err);
		return;
	}
	if (command.type == PD_CMD_QUERY || command.type == PD_CMD_RUN)
		run_command(api, &command, request_id, deadline_us, reply);
	else
		reply_error(reply, MHD_HTTP_BAD_REQUEST, "expected a query or run command");
	pd_command_finish(&command);
}

/* -- other paths -- */

static void handle_ready(struct pd_caller_api *api, struct reply *reply)
{
	reply->type = TYPE_TEXT;
	if (api->setup.append_not_ready_reasons)
		api->setup.append_not_ready_reasons(api->setup.arg, &reply->body);
	if (reply->body.len) {
		reply->status = MHD_HTTP_SERVICE_UNAVAILABLE;
		return;
	}
	pd_buf_append_str(&reply->body, PD_STR("ready\n"));
}

static void handle_get(struct pd_caller_api *api, const char *path, struct reply *reply)
{
	if (!strcmp(path, "/ready")) {
		handle_ready(api, reply);
	} else if (!strcmp(path, "/live")) {
		reply->type = TYPE_TEXT;
		pd_buf_append_str(&reply->body, PD_STR("live\n"));
	} else if (!strcmp(path, "/counters")) {
		reply->type = TYPE_TEXT;
		pd_counters_print(&reply->body);
	} else if (api->setup.append_status) {
		api->setup.append_status(api->setup.arg, &reply->body);
	} else {
		pd_buf_append_str(&reply->body, PD_STR("{}\n"));
	}
}

static bool is_known_path(const char *path)
{
	return !strcmp(path, "/ready") || !strcmp(path, "/live") || !strcmp(path, "/counters") ||
	       !strcmp(path, "/status");
}

/* Checks the path, the method and the content length; false with an error in @reply. */
static bool check_head(struct MHD_Connection *connection, const char *path, const char *method,
		       struct reply *reply)
{
	bool is_query = !strcmp(path, "/v1/query");
	const char *allowed = is_query ? MHD_HTTP_METHOD_POST : MHD_HTTP_METHOD_GET;
	struct pd_str length = header_of(connection, MHD_HTTP_HEADER_CONTENT_LENGTH);
	uint64_t bytes = 0;

	if (!is_query && !is_known_path(path)) {
		reply_error(reply, MHD_HTTP_NOT_FOUND, "no such path");
		return false;
	}
	if (strcmp(method, allowed) != 0) {
		reply_error(reply, MHD_HTTP_METHOD_NOT_ALLOWED,
			    "this path has another method, see Allow");
		reply->header = MHD_HTTP_HEADER_ALLOW;
		reply->value = allowed;
		return false;
	}
	if (length.data && (!pd_str_to_u64(length, &bytes) || bytes > PD_COMMAND_MAX_BYTES)) {
		reply_error(reply, MHD_HTTP_CONTENT_TOO_LARGE, "the command is longer than 64 KB");
		return false;
	}
	return true;
}

/* -- requests -- */

/* Returns a new request that is counted as in flight, or NULL on failure. */
static struct request *request_open(struct pd_caller_api *api, struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
	struct request *request = calloc(1, sizeof(*request));

	if (!request || !info || !info->socket_context) {
		free(request);
		return NULL;
	}
	request->conn = info->socket_context;
	pd_buf_init(&request->body, PD_COMMAND_MAX_BYTES);
	set_state(request->conn, CONN_RECEIVING);
	pthread_mutex_lock(&api->mutex);
	api->in_flight++;
	pthread_mutex_unlock(&api->mutex);
	return request;
}

static enum MHD_Result start_request(struct pd_caller_api *api, struct MHD_Connection *connection,
				     const char *path, const char *method, void **context)
{
	struct reply reply = {.status = MHD_HTTP_OK, .type = TYPE_JSON};
	struct request *request = request_open(api, connection);

	if (!request)
		return MHD_NO;
	*context = request;
	if (check_head(connection, path, method, &reply))
		return MHD_YES;
	pd_count(PD_COUNT_queries_malformed);
	return send_reply(api, connection, &reply);
}

/* Called by libmicrohttpd for the head, for each part of the body and at the end of a request. */
static enum MHD_Result on_request(void *arg, struct MHD_Connection *connection, const char *path,
				  const char *method, const char *version, const char *data,
				  size_t *size, void **context)
{
	struct reply reply = {.status = MHD_HTTP_OK, .type = TYPE_JSON};
	struct pd_caller_api *api = arg;
	struct request *request = *context;

	(void)version;
	if (!request)
		return start_request(api, connection, path, method, context);
	if (*size) {
		pd_buf_append(&request->body, data, *size);
		request->received += *size;
		*size = 0;
		return request->received > DISCARD_MAX_BYTES ? MHD_NO : MHD_YES;
	}
	set_state(request->conn, CONN_RUNNING);
	if (!strcmp(method, MHD_HTTP_METHOD_POST))
		handle_query(api, connection, request, &reply);
	else
		handle_get(api, path, &reply);
	if (reply.status == MHD_HTTP_BAD_REQUEST || reply.status == MHD_HTTP_CONTENT_TOO_LARGE)
		pd_count(PD_COUNT_queries_malformed);
	return send_reply(api, connection, &reply);
}

static void on_completed(void *arg, struct MHD_Connection *connection, void **context,
			 enum MHD_RequestTerminationCode code)
{
	struct pd_caller_api *api = arg;
	struct request *request = *context;

	(void)connection;
	(void)code;
	if (!request)
		return;
	*context = NULL;
	set_state(request->conn, CONN_IDLE);
	pd_buf_finish(&request->body);
	free(request);
	pthread_mutex_lock(&api->mutex);
	api->in_flight--;
	pthread_cond_broadcast(&api->changed);
	pthread_mutex_unlock(&api->mutex);
}

/* -- start and stop -- */

static struct MHD_Daemon *start_daemon(struct pd_caller_api *api, int fd)
{
	return MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD |
					MHD_USE_POLL | MHD_USE_ITC,
				0, NULL, NULL, on_request, api, MHD_OPTION_LISTEN_SOCKET, fd,
				MHD_OPTION_CONNECTION_LIMIT, api->setup.max_connections,
				MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)IDLE_TIMEOUT_S,
				MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY_BYTES,
				MHD_OPTION_THREAD_STACK_SIZE, (size_t)THREAD_STACK_BYTES,
				MHD_OPTION_NOTIFY_COMPLETED, on_completed, api,
				MHD_OPTION_NOTIFY_CONNECTION, on_connection, api, MHD_OPTION_END);
}

static void api_free(struct pd_caller_api *api)
{
	pthread_cond_destroy(&api->changed);
	pthread_mutex_destroy(&api->mutex);
	free(api);
}

static void stop_timeout_thread(struct pd_caller_api *api)
{
	pthread_mutex_lock(&api->mutex);
	api->end_timeout_thread = true;
	pthread_cond_broadcast(&api->changed);
	pthread_mutex_unlock(&api->mutex);
	pthread_join(api->timeout_thread, NULL);
}

static enum pd_code start_threads(struct pd_caller_api *api, struct pd_error *err)
{
	int fd;
	enum pd_code code = pd_os_listen(&api->setup.listen, &fd, err);

	if (code != PD_OK)
		return code;
	code = pd_os_thread_start(&api->timeout_thread, "caller-sweep", run_timeout_checks, api,
				  err);
	if (code != PD_OK) {
		pd_os_close(&fd);
		return code;
	}
	api->daemon = start_daemon(api, fd);
	if (api->daemon)
		return PD_OK;
	stop_timeout_thread(api);
	pd_os_close(&fd);
	return pd_error_set(err, PD_LAYER_STATE, PD_SYSTEM, "can't start the HTTP server at %s:%u",
			    api->setup.listen.ip, api->setup.listen.port);
}

enum pd_code pd_caller_api_start(struct pd_caller_api **api, struct pd_caller_api_setup *setup,
				 struct pd_error *err)
{
	struct pd_caller_api *a = calloc(1, sizeof(*a));
	enum pd_code code;

	*api = NULL;
	if (!a)
		return pd_error_set(err, PD_LAYER_STATE, PD_NO_MEMORY,
				    "out of memory for the HTTP server");
	a->setup = *setup;
	pthread_mutex_init(&a->mutex, NULL);
	pd_os_cond_init(&a->changed);
	code = start_threads(a, err);
	if (code != PD_OK) {
		api_free(a);
		return code;
	}
	setup->listen = a->setup.listen;
	*api = a;
	return PD_OK;
}

void pd_caller_api_stop(struct pd_caller_api *api, int64_t deadline_us)
{
	int fd;

	if (!api)
		return;
	pthread_mutex_lock(&api->mutex);
	api->stopping = true;
	pthread_mutex_unlock(&api->mutex);
	fd = MHD_quiesce_daemon(api->daemon);
	pthread_mutex_lock(&api->mutex);
	while (api->in_flight && pd_os_now_us() < deadline_us)
		pd_os_cond_wait_until(&api->changed, &api->mutex, deadline_us);
	pthread_mutex_unlock(&api->mutex);
	MHD_stop_daemon(api->daemon);
	pd_os_close(&fd);
	stop_timeout_thread(api);
	api_free(api);
}

uint64_t pd_caller_api_in_flight(struct pd_caller_api *api)
{
	uint64_t in_flight;

	pthread_mutex_lock(&api->mutex);
	in_flight = api->in_flight;
	pthread_mutex_unlock(&api->mutex);
	return in_flight;
}
