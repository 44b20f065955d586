/**
 * DOC: HTTP for callers and operators (libmicrohttpd, one thread for each connection)
 *
 * POST /v1/query, GET /ready, /live, /counters, /status. At most PD_COMMAND_MAX_BYTES of body; idle
 * connections close after 30 s, slow senders after 5 s.
 */
#ifndef PD_CALLER_API_H
#define PD_CALLER_API_H

#include "query.h"

struct pd_caller_api;

/**
 * struct pd_caller_api_setup
 * @listen: port 0 takes a free one, stored back
 * @max_connections: most at a time
 * @coordinator: runs the commands
 * @ready: appends the reasons why this instance isn't ready, one a line; nothing when it is
 * @status: appends a JSON object
 * @arg: passed to @ready and @status
 */
struct pd_caller_api_setup {
	struct pd_address listen;
	uint32_t max_connections;
	struct pd_coordinator *coordinator;
	void (*ready)(void *arg, struct pd_buf *reasons);
	void (*status)(void *arg, struct pd_buf *out);
	void *arg;
};

enum pd_code pd_caller_api_start(struct pd_caller_api **api, struct pd_caller_api_setup *setup,
				 struct pd_error *err);
/* Stops accepting, waits for the requests that run until @deadline_us (monotonic), then ends. */
void pd_caller_api_stop(struct pd_caller_api *api, int64_t deadline_us);
uint64_t pd_caller_api_in_flight(struct pd_caller_api *api); /* requests that run now */

#endif
