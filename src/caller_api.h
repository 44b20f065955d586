/**
 * DOC: HTTP server for callers and operators (libmicrohttpd, one thread for each connection)
 *
 * Serves POST /v1/query and GET /ready, /live, /counters and /status. Request bodies are limited to
 * PD_COMMAND_MAX_BYTES. A connection is closed if no complete request head arrives within 30 s of
 * its start or of the previous response, or no complete body within 5 s of the head.
 */
#ifndef PD_CALLER_API_H
#define PD_CALLER_API_H

#include "query.h"

struct pd_caller_api;

/**
 * struct pd_caller_api_setup - settings of the server
 * @listen: listening address; with port 0 the system picks a free port, which is stored here
 * @max_connections: maximum number of concurrent connections
 * @coordinator: coordinator that runs the commands
 * @append_not_ready_reasons: appends a line for each reason why this instance isn't ready, if any;
 *			      may be NULL
 * @append_status: appends the JSON object for /status; may be NULL
 * @arg: argument of @append_not_ready_reasons and @append_status
 */
struct pd_caller_api_setup {
	struct pd_address listen;
	uint32_t max_connections;
	struct pd_coordinator *coordinator;
	void (*append_not_ready_reasons)(void *arg, struct pd_buf *reasons);
	void (*append_status)(void *arg, struct pd_buf *out);
	void *arg;
};

/* Starts the server; @setup is copied. */
enum pd_code pd_caller_api_start(struct pd_caller_api **api, struct pd_caller_api_setup *setup,
				 struct pd_error *err);
/* Stops accepting connections, waits for requests in flight until @deadline_us (monotonic), then
 * stops the server and frees @api. */
void pd_caller_api_stop(struct pd_caller_api *api, int64_t deadline_us);
uint64_t pd_caller_api_in_flight(struct pd_caller_api *api); /* number of requests in flight */

#endif
