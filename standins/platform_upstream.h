/**
 * DOC: Stand-in of the users' platform: one of its upstreams
 *
 * Serves any request over HTTP, counts what it ran, and fails on demand in the ways that the
 * platform's upstreams do.
 */
#ifndef STANDIN_PLATFORM_UPSTREAM_H
#define STANDIN_PLATFORM_UPSTREAM_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "http.h"
#include "os.h"
#include "str.h"

/** enum platform_upstream_mode - what it does with requests. */
enum platform_upstream_mode {
	PLATFORM_UPSTREAM_OK,
	PLATFORM_UPSTREAM_CHUNKED, /* answers in chunks */
	PLATFORM_UPSTREAM_UNFRAMED, /* answers without length */
	PLATFORM_UPSTREAM_ERROR, /* runs and answers 500, signed */
	PLATFORM_UPSTREAM_SHED, /* answers 503 and states that it didn't run */
	PLATFORM_UPSTREAM_HANG, /* runs and doesn't answer */
	PLATFORM_UPSTREAM_RESET, /* runs and resets the connection */
	PLATFORM_UPSTREAM_CUT, /* breaks off its answer */
	PLATFORM_UPSTREAM_GARBLE, /* answers with bytes that are no answer */
	PLATFORM_UPSTREAM_EXTRA, /* answers twice */
	PLATFORM_UPSTREAM_LATE, /* answers after @delay_ms */
	PLATFORM_UPSTREAM_MODES,
};

/**
 * struct platform_upstream_request - one request as it reached an upstream
 * @msg: request
 * @request_id: its id; empty when missing
 * @executed: the upstream begins to work on it
 */
struct platform_upstream_request {
	const struct pd_http_message *msg;
	struct pd_str request_id;
	bool executed;
};

struct platform_upstream {
	char id[40];
	char service[32];
	struct pd_address address;
	int listener;
	pthread_t thread;
	pthread_mutex_t lock;
	enum platform_upstream_mode mode;
	int delay_ms;
	uint32_t received_count;
	uint32_t executed_count;
	char last_executed[1024]; /* method, target and body of the last request that it ran */
	bool records_by_request; /* records depend on the request id, see platform_upstream_record()
				  */
	/* Called for each arrival, NULL for none; set before platform_upstream_start(). */
	void (*on_request)(struct platform_upstream *upstream,
			   const struct platform_upstream_request *arrival);
};

#define PLATFORM_RECORDS_PER_REPLY 3 /* of one answer */
#define PLATFORM_RECORD_BYTES	   16

/* Record @index of the answer of a keyed upstream of @service to the request @id. */
void platform_upstream_record(const char *service, struct pd_str id, int index, char *record);

/* Starts an upstream; @upstream is zero but for @observe and @keyed. */
void platform_upstream_start(struct platform_upstream *upstream, const char *id,
			     const char *service);
/* False for an unknown name. */
bool platform_upstream_set_mode(struct platform_upstream *upstream, const char *name, int delay_ms);

#endif
