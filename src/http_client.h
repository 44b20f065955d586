/**
 * DOC: HTTP requests over one kept connection, cancellable from another thread (libcurl)
 */
#ifndef PD_HTTP_CLIENT_H
#define PD_HTTP_CLIENT_H

#include "error.h"
#include "os.h"
#include "str.h"

#define PD_HTTP_BODY_MAX_BYTES (1024 * 1024 + 64 * 1024)
#define PD_HTTP_HEADERS_MAX    24

struct pd_http_header {
	struct pd_str name;
	struct pd_str value;
};

/**
 * struct pd_http_request - one request
 * @method: "GET", "POST", "PUT" or "DELETE"
 * @address: of the server
 * @path: path with query, NUL-terminated
 * @headers: extra headers
 * @header_count: entries in @headers
 * @body: sent with POST and PUT
 * @timeout_us: for the whole exchange
 */
struct pd_http_request {
	const char *method;
	struct pd_address address;
	const char *path;
	const struct pd_http_header *headers;
	size_t header_count;
	struct pd_str body;
	int64_t timeout_us;
};

/**
 * struct pd_http_response - the reply; memory is reused by the next request of the same client
 * @status: HTTP status
 * @headers: received headers; names in lower case
 * @header_count: entries in @headers
 * @body: whole body
 * @new_connection: a connection was opened for it
 */
struct pd_http_response {
	int status;
	struct pd_http_header headers[PD_HTTP_HEADERS_MAX];
	size_t header_count;
	struct pd_str body;
	bool new_connection;
};

struct pd_http_client;

/* Once for each process, before threads. */
void pd_http_global_init(void);
enum pd_code pd_http_client_open(struct pd_http_client **client, struct pd_error *err);
void pd_http_client_close(struct pd_http_client *client); /* NULL is allowed */

/**
 * pd_http_client_perform() - sends one request and waits for the whole reply
 *
 * Return: PD_OK for any complete HTTP reply; PD_REFUSED_CONNECTION, PD_UNREACHABLE (not sent);
 * PD_TIMEOUT, PD_CLOSED (broken after it may have been sent; also for a truncated body),
 * PD_CANCELLED, PD_TOO_LARGE, PD_INVALID. After an error the connection is closed.
 */
enum pd_code pd_http_client_perform(struct pd_http_client *client,
				    const struct pd_http_request *request,
				    struct pd_http_response *response, struct pd_error *err);
/* Makes a running perform return PD_CANCELLED soon; any thread. Without one it does nothing. */
void pd_http_client_cancel(struct pd_http_client *client);
/* Closes the kept connection; only between requests. */
void pd_http_client_drop_connection(struct pd_http_client *client);
/* Value of a header by lower-case name; empty when absent. */
struct pd_str pd_http_response_header(const struct pd_http_response *response, const char *name);

#endif
