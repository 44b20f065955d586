/**
 * DOC: Stand-in for an upstream of the users' platform
 *
 * Serves any request over HTTP, counts the requests that it executed, and injects the faults that
 * the platform's upstreams have. The mode selects the fault.
 */
#ifndef STANDIN_PLATFORM_UPSTREAM_H
#define STANDIN_PLATFORM_UPSTREAM_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "http.h"
#include "os.h"
#include "str.h"

/**
 * enum platform_upstream_mode - how the upstream handles requests
 * @PLATFORM_UPSTREAM_OK: executes them and responds with 200 and Content-Length
 * @PLATFORM_UPSTREAM_CHUNKED: executes them and responds in chunked transfer encoding
 * @PLATFORM_UPSTREAM_UNFRAMED: executes them, responds without Content-Length and closes the
 * connection
 * @PLATFORM_UPSTREAM_ERROR: executes them and responds with 500 and its X-Server-Stamp
 * @PLATFORM_UPSTREAM_SHED: responds with 503 and X-Not-Executed without executing them
 * @PLATFORM_UPSTREAM_HANG: executes them and closes the connection after a long time without a
 * response
 * @PLATFORM_UPSTREAM_RESET: executes them and resets the connection
 * @PLATFORM_UPSTREAM_CRASH: executes them, resets the connection and refuses connections until a
 * mode is set
 * @PLATFORM_UPSTREAM_CUT: executes them and closes the connection after half of the response body
 * @PLATFORM_UPSTREAM_GARBLE: executes them and responds with bytes that aren't HTTP
 * @PLATFORM_UPSTREAM_EXTRA: executes them and sends the response twice
 * @PLATFORM_UPSTREAM_LATE: executes them and responds after delay_ms
 * @PLATFORM_UPSTREAM_FLAKY: executes them and responds to every third one with 500, to the others
 * as the mode "late"
 * @PLATFORM_UPSTREAM_OVERLOADED: executes them and responds as the mode "late", but with 500 while
 * it gets more than five requests in half a second
 * @PLATFORM_UPSTREAM_ROUTE: executes them and responds as the mode "late", but with 500 to those
 * whose path begins with "/bad/"
 * @PLATFORM_UPSTREAM_SLOTS: as the mode "late", but responds as the mode "shed" while it executes
 * two requests
 * @PLATFORM_UPSTREAM_OVERFULL: resets each new connection, as an upstream does that is over its
 * limit of connections
 * @PLATFORM_UPSTREAM_STATUS: executes them and responds with the status code of
 * platform_upstream_set_status()
 * @PLATFORM_UPSTREAM_ENDLESS_HEAD: executes them and sends a header field without end
 * @PLATFORM_UPSTREAM_ENDLESS_BODY: executes them and sends a body without length and without end
 * @PLATFORM_UPSTREAM_ENDLESS_CHUNKS: executes them and sends chunks without end
 * @PLATFORM_UPSTREAM_ENDLESS_TRAILER: executes them and sends trailer fields without end
 * @PLATFORM_UPSTREAM_ENDLESS_INTERIM: executes them and sends interim responses without end
 * @PLATFORM_UPSTREAM_ENDLESS_BLANK: executes them and sends blank lines without end
 * @PLATFORM_UPSTREAM_ENDLESS_REPLIES: executes them and sends responses to other requests without
 * end
 * @PLATFORM_UPSTREAM_MODES: number of modes
 */
enum platform_upstream_mode {
	PLATFORM_UPSTREAM_OK,
	PLATFORM_UPSTREAM_CHUNKED,
	PLATFORM_UPSTREAM_UNFRAMED,
	PLATFORM_UPSTREAM_ERROR,
	PLATFORM_UPSTREAM_SHED,
	PLATFORM_UPSTREAM_HANG,
	PLATFORM_UPSTREAM_RESET,
	PLATFORM_UPSTREAM_CRASH,
	PLATFORM_UPSTREAM_CUT,
	PLATFORM_UPSTREAM_GARBLE,
	PLATFORM_UPSTREAM_EXTRA,
	PLATFORM_UPSTREAM_LATE,
	PLATFORM_UPSTREAM_FLAKY,
	PLATFORM_UPSTREAM_OVERLOADED,
	PLATFORM_UPSTREAM_ROUTE,
	PLATFORM_UPSTREAM_SLOTS,
	PLATFORM_UPSTREAM_OVERFULL,
	PLATFORM_UPSTREAM_STATUS,
	PLATFORM_UPSTREAM_ENDLESS_HEAD,
	PLATFORM_UPSTREAM_ENDLESS_BODY,
	PLATFORM_UPSTREAM_ENDLESS_CHUNKS,
	PLATFORM_UPSTREAM_ENDLESS_TRAILER,
	PLATFORM_UPSTREAM_ENDLESS_INTERIM,
	PLATFORM_UPSTREAM_ENDLESS_BLANK,
	PLATFORM_UPSTREAM_ENDLESS_REPLIES,
	PLATFORM_UPSTREAM_MODES,
};

/**
 * struct platform_upstream_request - a request that an upstream received
 * @msg: the HTTP request
 * @request_id: value of X-Request-Id; empty if the header is missing
 * @executed: the upstream executes the request, rather than rejecting it
 */
struct platform_upstream_request {
	const struct pd_http_message *msg;
	struct pd_str request_id;
	bool executed;
};

/**
 * struct platform_upstream - one upstream and its server
 * @id: id of the instance; requests whose X-Expect-Instance differs get status 421
 * @service: name of the service
 * @address: address at which the upstream listens
 * @listener: listening socket
 * @thread: thread that accepts connections
 * @lock: guards @listener and the members from @mode to @leaving
 * @changed: signalled when @crashed ends and when the upstream listens again
 * @mode: how the upstream handles requests
 * @crashed: connections are refused
 * @delay_ms: delay of responses in the mode PLATFORM_UPSTREAM_LATE, in milliseconds
 * @window_us: start of the half second in which requests are counted for
 * PLATFORM_UPSTREAM_OVERLOADED
 * @window_count: number of requests in that half second
 * @received_count: number of requests received
 * @executed_count: number of requests executed
 * @executing_count: number of requests that are being executed
 * @endless_count: number of responses without end that are being sent
 * @last_executed: method, target and start of the body of the last executed request
 * @status: status code in the mode PLATFORM_UPSTREAM_STATUS, any text
 * @speed: how long work takes, as all responses state it in their load reports; empty if they don't
 * @limit: rate limit that all responses state, as a decimal number of requests per second; empty
 * for none
 * @retry_after: value of Retry-After in the responses of the mode PLATFORM_UPSTREAM_SHED; empty for
 * none
 * @leaving: all responses to requests for this instance state that it is leaving
 * @records_by_request: the records of a response depend on the request id, see
 * platform_upstream_record(); set before platform_upstream_start()
 * @on_request: called for each request before the response is sent; NULL for none; set before
 * platform_upstream_start()
 */
struct platform_upstream {
	char id[96];
	char service[96];
	struct pd_address address;
	int listener;
	pthread_t thread;
	pthread_mutex_t lock;
	pthread_cond_t changed;
	enum platform_upstream_mode mode;
	bool crashed;
	int delay_ms;
	int64_t window_us;
	uint32_t window_count;
	uint32_t received_count;
	uint32_t executed_count;
	uint32_t executing_count;
	uint32_t endless_count;
	char last_executed[1024];
	char status[32];
	char speed[16];
	char limit[16];
	char retry_after[32];
	bool leaving;
	bool records_by_request;
	void (*on_request)(struct platform_upstream *upstream,
			   const struct platform_upstream_request *request);
};

#define PLATFORM_RECORDS_PER_REPLY 3
#define PLATFORM_RECORD_BYTES	   16

/*
 * Writes record @index of the response to the request @id to @record, which has room for
 * PLATFORM_RECORD_BYTES. Upstreams of @service respond with these records if records_by_request is
 * set.
 */
void platform_upstream_record(const char *service, struct pd_str id, int index, char *record);

/*
 * Starts an upstream at a free port; all members of @upstream but on_request and records_by_request
 * must be zero.
 */
void platform_upstream_start(struct platform_upstream *upstream, const char *id,
			     const char *service);
/* Selects the mode with the name @name; returns false if there is none. */
bool platform_upstream_set_mode(struct platform_upstream *upstream, const char *name, int delay_ms);

/* Selects the mode PLATFORM_UPSTREAM_STATUS with the text @status in place of the status code. */
void platform_upstream_set_status(struct platform_upstream *upstream, const char *status);
/* Sets the fourth number of the upstream's load reports, which may be any text; empty for none. */
void platform_upstream_set_speed(struct platform_upstream *upstream, const char *speed);
/* Sets the rate limit that the upstream states in its responses; empty for none. */
void platform_upstream_set_limit(struct platform_upstream *upstream, const char *limit);
/* Sets the pause that the upstream asks for when it rejects a request; empty for none. */
void platform_upstream_set_retry_after(struct platform_upstream *upstream, const char *retry_after);
/* Sets whether the upstream states in its responses that it is leaving. */
void platform_upstream_set_leaving(struct platform_upstream *upstream, bool leaving);

#endif
