/**
 * DOC: HTTP server of a stand-in (libmicrohttpd, one thread for each connection)
 *
 * The server accepts connections itself and passes them to libmicrohttpd, so that it can reject
 * connections, close its listening socket and open it again at the same port.
 *
 * Control requests configure the stand-in or read its state; all other requests are data requests.
 * Control requests are also served on connections over the limit and, while the server is paused,
 * on connections that have served one before.
 */
#ifndef STANDIN_SERVE_H
#define STANDIN_SERVE_H

#include <microhttpd.h>
#include <stdatomic.h>

#include "options.h"

struct standin_server;

/**
 * struct standin_conn - one connection
 * @fd: socket of the connection
 * @serial: number of the connection in order of acceptance, from 1
 * @has_data_request: a data request was received on the connection
 * @over_limit: the connection was accepted beyond the limit and serves control requests only
 * @is_control: a control request was received on the connection; it no longer counts towards the
 * limit, and a pause of the server doesn't close it
 * @prev: previous connection in the server's list
 * @next: next connection in the server's list
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
 * struct standin_request - one request, received completely
 * @server: server that received the request
 * @conn: connection of the request
 * @mhd: handle of libmicrohttpd for the connection
 * @method: HTTP method
 * @path: percent-decoded path of the URL
 * @body: complete body of the request
 * @arrived_us: monotonic time at which the headers were received, in microseconds
 * @first_on_conn: the request is the first data request on its connection; set by
 * standin_request_admit()
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

/*
 * Handles a request; called in the thread of its connection. If the body was too large, body.failed
 * of the request is set. Returning MHD_NO closes the connection without a response.
 */
typedef enum MHD_Result standin_handle_fn(void *arg, struct standin_request *request);

/**
 * struct standin_server - HTTP server; members that the caller doesn't set are zero before start
 * @address: address at which the server listens
 * @handle: handler of all requests
 * @arg: passed to @handle
 * @body_max_bytes: limit of the size of a request body, in bytes
 * @connection_limit: limit of concurrent connections for data requests; 0 means no limit
 * @max_connections: highest number of concurrent connections, without control connections, at the
 * time of a data request; guarded by @mutex
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
	size_t limited_conns; /* open connections that count towards the limit */
	size_t unlimited_conns; /* open control connections and connections over the limit */
	uint64_t last_serial;
	int listener;
	bool paused;
	atomic_bool stopping;
};

enum pd_code standin_server_start(struct standin_server *server, struct pd_error *err);
/* Begins the shutdown: standin_server_stopping() is true from now on, and handlers must return. */
void standin_server_set_stopping(struct standin_server *server);
bool standin_server_stopping(struct standin_server *server);
/* Shuts the server down and waits until all handlers have returned. */
void standin_server_stop(struct standin_server *server);

/* Closes the listening socket and resets all connections except control connections. */
void standin_server_pause(struct standin_server *server);
/* Listens again at the same port after a pause. */
void standin_server_resume(struct standin_server *server);
/* Returns the number of the connection that was accepted last. */
uint64_t standin_server_last_serial(struct standin_server *server);
/* Returns the current and the highest number of connections, without control connections. */
void standin_server_connection_counts(struct standin_server *server, size_t *connections,
				      size_t *max);

/*
 * Classifies the request as a control request or a data request. Returns false for a data request
 * on a connection over the limit, which must be rejected.
 */
bool standin_request_admit(struct standin_request *request, bool control);
/* Waits until the client of @request closes the connection or the server is shut down. */
void standin_request_wait_closed(struct standin_request *request);
/* Tells whether the client of @request has closed the connection. */
bool standin_request_client_closed(const struct standin_request *request);
/* Sleeps for @us microseconds, or until the server is shut down. */
void standin_server_sleep(struct standin_server *server, int64_t us);

/* Tells whether the request has the method @method and the path @path. */
bool standin_request_is(const struct standin_request *request, const char *method,
			const char *path);
/* Return the value of a header or of a query argument; NULL if it is missing. */
const char *standin_request_header(const struct standin_request *request, const char *name);
const char *standin_request_argument(const struct standin_request *request, const char *name);
/* Parses a query argument; returns false if malformed. A missing one leaves @value unchanged. */
bool standin_request_integer_argument(const struct standin_request *request, const char *name,
				      int64_t *value);

/** struct standin_header - one HTTP header of a response */
struct standin_header {
	const char *name;
	const char *value;
};

/**
 * struct standin_reply - response to a request
 * @status: HTTP status
 * @body: body of the response; copied when it is sent
 * @headers: headers in addition to Content-Length and Content-Type; entries with a NULL value are
 * omitted
 * @header_count: number of entries in @headers
 * @truncate: send only half of the body, then close the connection
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
/* Sends @body as JSON with status 200 and frees it. */
enum MHD_Result standin_send_json(struct standin_request *request, struct pd_buf *body);
/* Applies the commands in the body of a POST /control request and sends the result. */
enum MHD_Result
standin_handle_control(struct standin_request *request,
		       bool (*apply)(void *arg, const struct standin_command *command), void *arg);

#endif
