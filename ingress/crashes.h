/**
 * DOC: Requests that crash the upstreams that run them
 *
 * A request is known by its fingerprint: method, host, target and body, which are the same when its
 * caller sends it again. The table counts how often a connection broke while an upstream had it.
 * Bounded and thread-safe; times are microseconds of pd_os_boot_us().
 */
#ifndef PD_CRASHES_H
#define PD_CRASHES_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "str.h"

#define PD_CRASHES_MAX 256 /* fingerprints; the oldest gives way */
#define PD_CRASH_LIMIT 3 /* crashes after which a request isn't sent any more */
#define PD_CRASH_EXPIRY_US                                                                         \
	60000000 /* after that time without a crash, a fingerprint is forgotten */

/**
 * struct pd_crash - one fingerprint
 * @fingerprint: 0 for a free place
 * @events: names of its crashes, by which one that is heard twice is known
 * @count: number of @events
 * @last_us: time of the last one
 */
struct pd_crash {
	uint64_t fingerprint;
	struct pd_name events[PD_CRASH_LIMIT];
	uint32_t count;
	int64_t last_us;
};

struct pd_crashes {
	pthread_mutex_t lock;
	struct pd_crash table[PD_CRASHES_MAX];
};

void pd_crashes_init(struct pd_crashes *crashes);
void pd_crashes_finish(struct pd_crashes *crashes);
uint64_t pd_crash_fingerprint(struct pd_str method, struct pd_str host, struct pd_str target,
			      struct pd_str body);
/* Notes a crash; false when it was known. */
bool pd_crashes_add(struct pd_crashes *crashes, uint64_t fingerprint, const struct pd_name *event,
		    int64_t now_us);
/* Whether it crashed so many upstreams that the request isn't sent any more. */
bool pd_crashes_is_blocked(struct pd_crashes *crashes, uint64_t fingerprint, int64_t now_us);
/* Copies the table; returns the number of entries, PD_CRASHES_MAX at most. */
size_t pd_crashes_copy(struct pd_crashes *crashes, struct pd_crash *out, int64_t now_us);

#endif
