/**
 * DOC: HTTP client with one persistent connection (libcurl)
 *
 * A client is used by one thread at a time; other threads may cancel its running request.
 */
#ifndef PD_HTTP_CLIENT_H
#define PD_HTTP_CLIENT_H

#include "error.h"
#include "os.h"
#include "str.h"

#define PD_HTTP_BODY_MAX_BYTES (1024 * 1024 + 64 * 1024) /* of a response */
#define PD_HTTP_HEADERS_MAX    24 /* of a response */

/** struct pd_http_header - name and value of a header */
struct pd_http_header {
	struct pd_str name;
	struct pd_str value;
};

/**
 * struct pd_http_request - a request
 * @method: "GET", "POST", "PUT" or "DELETE"
 * @address: address of the server
 * @path: path and query string, NUL-terminated
 * @headers: additional headers
 * @header_count: number of entries in @headers
 * @body: request body; only sent with POST and PUT
 * @timeout_us: time limit from the connection attempt to the end of the response, in microseconds
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
 * struct pd_http_response - a response; its strings are valid until the client's next request
 * @status: HTTP status code
 * @headers: received headers, with names in lower case; headers beyond PD_HTTP_HEADERS_MAX are
 *	     dropped
 * @header_count: number of entries in @headers
 * @body: whole response body
 * @new_connection: the client opened a connection for this request
 */
struct pd_http_response {
	int status;
	struct pd_http_header headers[PD_HTTP_HEADERS_MAX];
	size_t header_count;
	struct pd_str body;
	bool new_connection;
};

struct pd_http_client;

/* Initialises libcurl; has to be called once in each process, before other threads are started. */
void pd_http_global_init(void);
enum pd_code pd_http_client_open(struct pd_http_client **client, struct pd_error *err);
void pd_http_client_close(struct pd_http_client *client); /* NULL is allowed */

/**
 * pd_http_client_perform() - sends a request and waits for the whole response
 * @client: client, not in use by another thread
 * @request: request to send
 * @response: filled in on PD_OK
 * @err: filled in on failure
 *
 * After a failure the connection is closed.
 *
 * Return: PD_OK for a complete response with any status. After PD_REFUSED_CONNECTION and
 * PD_UNREACHABLE, the request was not sent. After PD_TIMEOUT, PD_CLOSED, PD_CANCELLED and
 * PD_TOO_LARGE, the server may have processed it; PD_CLOSED is also returned if the connection
 * closes within the response. PD_INVALID means that the address is malformed.
 */
enum pd_code pd_http_client_perform(struct pd_http_client *client,
				    const struct pd_http_request *request,
				    struct pd_http_response *response, struct pd_error *err);
/* Makes a running pd_http_client_perform() return PD_CANCELLED soon, or does nothing if none is
 * running. May be called from any thread. */
void pd_http_client_cancel(struct pd_http_client *client);
/* Closes the persistent connection. Must not be called while a request is running. */
void pd_http_client_drop_connection(struct pd_http_client *client);
/* Returns the value of the header with the lower-case @name, or an empty string. */
struct pd_str pd_http_response_header(const struct pd_http_response *response, const char *name);

#endif
