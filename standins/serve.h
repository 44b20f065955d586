/**
 * DOC: HTTP server of a stand-in (libmicrohttpd, one thread for each connection)
 *
 * The server accepts connections itself, so that it can refuse them, close its listener and open it
 * again at the same port.
 */
#ifndef STANDIN_SERVE_H
#define STANDIN_SERVE_H

#include <microhttpd.h>
#include <stdatomic.h>

#include "options.h"

struct standin_server;

/**
 * struct standin_conn - one connection
 * @fd: socket
 * @serial: number of the connection, from 1
 * @has_data_request: a request that isn't for control arrived on it
 * @over_limit: accepted beyond the connection limit; serves control requests only
 * @is_control: served a control request; outside the limit, and kept open at a crash
 */
struct standin_conn {
	int fd;
	uint64_t serial;
	bool has_data_request;
	bool over_limit;
	bool is_control;
	struct standin_conn *prev;
	struct standin_conn *next;
};

/**
 * struct standin_request - one request whose body has arrived
 * @server: that received it
 * @conn: its connection
 * @mhd: for libmicrohttpd
 * @method: HTTP method
 * @path: decoded path
 * @body: whole body
 * @arrived_us: monotonic time when the headers arrived
 * @first_on_conn: first request on its connection
 */
struct standin_request {
	struct standin_server *server;
	struct standin_conn *conn;
	struct MHD_Connection *mhd;
	const char *method;
	const char *path;
	struct pd_buf body;
	int64_t arrived_us;
	bool first_on_conn;
};

/* MHD_NO closes the connection without an answer. Body too large: body.failed is set. */
typedef enum MHD_Result standin_handle_fn(void *arg, struct standin_request *request);

/**
 * struct standin_server - HTTP server; all zero before start
 * @address: where it listens
 * @handle: called in the connection's thread
 * @arg: passed to @handle
 * @body_max_bytes: bytes of a body
 * @connection_limit: most connections; 0 means no limit
 * @max_connections: most connections, without control, seen at a time; guarded by @mutex
 *
 * The other members are private to serve.c.
 */
struct standin_server {
	struct pd_address address;
	standin_handle_fn *handle;
	void *arg;
	size_t body_max_bytes;
	size_t connection_limit;
	size_t max_connections;

	struct MHD_Daemon *daemon;
	pthread_t accept_thread;
	pthread_mutex_t mutex;
	pthread_cond_t changed;
	struct standin_conn *conns;
	size_t limited_conns; /* connections within the limit */
	size_t unlimited_conns; /* connections beyond the limit and control connections */
	uint64_t last_serial;
	int listener;
	bool paused;
	atomic_bool stopping;
};

enum pd_code standin_server_start(struct standin_server *server, struct pd_error *err);
/* Every handler must return soon once standin_server_stopping() is true. */
void standin_server_set_stopping(struct standin_server *server);
bool standin_server_stopping(struct standin_server *server);
void standin_server_stop(struct standin_server *server);

/* Refuses connections and closes those that exist, except connections that serve control. */
void standin_server_pause(struct standin_server *server);
/* Listens again at the same port. */
void standin_server_resume(struct standin_server *server);
uint64_t standin_server_last_serial(struct standin_server *server);
void standin_server_connection_counts(struct standin_server *server, size_t *connections,
				      size_t *max);

/* Marks the request as control or as work; false when work came on a connection over the limit. */
bool standin_request_admit(struct standin_request *request, bool control);
/* Waits until @request's client closes the connection or the server stops. */
void standin_request_wait_closed(struct standin_request *request);
/* True when @request's client has closed the connection. */
bool standin_request_client_closed(const struct standin_request *request);
/* Sleeps until @us passed or the server stops. */
void standin_server_sleep(struct standin_server *server, int64_t us);

bool standin_request_is(const struct standin_request *request, const char *method,
			const char *path);
/* Value of a header or of a query argument; NULL when absent. */
const char *standin_request_header(const struct standin_request *request, const char *name);
const char *standin_request_argument(const struct standin_request *request, const char *name);
/* False when the argument is present and malformed; @value is kept when it is absent. */
bool standin_request_integer_argument(const struct standin_request *request, const char *name,
				      int64_t *value);

struct standin_header {
	const char *name;
	const char *value;
};

/**
 * struct standin_reply - one answer
 * @status: HTTP status
 * @body: copied
 * @headers: besides Content-Length and Content-Type; entries with a NULL value are left out
 * @header_count: entries in @headers
 * @truncate: send half of the body and close
 */
struct standin_reply {
	unsigned int status;
	struct pd_str body;
	const struct standin_header *headers;
	size_t header_count;
	bool truncate;
};

enum MHD_Result standin_send_reply(struct standin_request *request,
				   const struct standin_reply *reply);
enum MHD_Result standin_send_text(struct standin_request *request, unsigned int status,
				  const char *text);
/* Sends @body with status 200 and empties it. */
enum MHD_Result standin_send_json(struct standin_request *request, struct pd_buf *body);
/* Applies the control lines in the body and answers. */
enum MHD_Result standin_handle_control(struct standin_request *request,
				       bool (*apply)(void *arg, const struct standin_command *line),
				       void *arg);

#endif
