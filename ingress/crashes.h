/**
 * DOC: Table of requests that crash the upstreams that execute them
 *
 * A request is identified by its fingerprint, a hash of method, host, target and body, which stays
 * the same when a client retries the request. The table records how often a connection broke while
 * the upstream was processing the request. It is bounded and thread-safe. Times are in microseconds
 * of pd_os_boot_us().
 */
#ifndef PD_CRASHES_H
#define PD_CRASHES_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "str.h"

/* Number of entries in the table. If it is full, a new entry replaces the one whose last crash is
 * the oldest. */
#define PD_CRASHES_MAX 256
#define PD_CRASH_LIMIT 3 /* number of crashes after which a request is blocked */
/* The entry of a request expires this long after the request's last crash. */
#define PD_CRASH_EXPIRY_US 60000000

/**
 * struct pd_crash - crashes of one request
 * @fingerprint: fingerprint of the request; 0 if the table entry is free
 * @events: unique names of the crashes, by which a crash that is reported twice is recognized
 * @count: number of entries in @events
 * @last_us: time of the last crash
 */
struct pd_crash {
	uint64_t fingerprint;
	struct pd_name events[PD_CRASH_LIMIT];
	uint32_t count;
	int64_t last_us;
};

/**
 * struct pd_crashes - table of crashes
 * @lock: guards the table
 * @table: entries, in no order
 */
struct pd_crashes {
	pthread_mutex_t lock;
	struct pd_crash table[PD_CRASHES_MAX];
};

void pd_crashes_init(struct pd_crashes *crashes);
void pd_crashes_finish(struct pd_crashes *crashes);
/* Returns the fingerprint of a request, which is never 0. */
uint64_t pd_crash_fingerprint(struct pd_str method, struct pd_str host, struct pd_str target,
			      struct pd_str body);
/* Records a crash; false if it is recorded already or the request has reached the limit. Crashes
 * beyond the limit only restart the time to the expiry. */
bool pd_crashes_add(struct pd_crashes *crashes, uint64_t fingerprint, const struct pd_name *event,
		    int64_t now_us);
/* Removes a crash that turned out to be none; nothing if it isn't recorded. */
void pd_crashes_remove(struct pd_crashes *crashes, uint64_t fingerprint,
		       const struct pd_name *event);
/* Whether the request has crashed so many upstreams that it is no longer sent to any. */
bool pd_crashes_is_blocked(struct pd_crashes *crashes, uint64_t fingerprint, int64_t now_us);
/* Copies the entries that haven't expired to @out, which has room for PD_CRASHES_MAX, and returns
 * their number. */
size_t pd_crashes_copy(struct pd_crashes *crashes, struct pd_crash *out, int64_t now_us);

#endif
