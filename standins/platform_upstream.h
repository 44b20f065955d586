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

struct platform_upstream {
	char id[32];
	char service[32];
	struct pd_address address;
	int listener;
	pthread_t thread;
	pthread_mutex_t lock;
	enum platform_upstream_mode mode;
	int delay_ms;
	uint32_t arrivals;
	uint32_t runs;
	char last[1024]; /* method, target and body of the last request that it ran */
};

void platform_upstream_start(struct platform_upstream *upstream, const char *id,
			     const char *service);
/* False for an unknown name. */
bool platform_upstream_set_mode(struct platform_upstream *upstream, const char *name, int delay_ms);

#endif
