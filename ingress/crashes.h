/**
 * DOC: Table of requests that crash the upstreams that execute them
 *
 * A request is identified by its fingerprint, a hash of method, host, target and body, which stays
 * the same when a client retries the request. The table records the crashes of upstreams that were
 * executing the request. One crash of one start of an upstream counts once, however many instances
 * and connections observe it.
 *
 * Being executed during a crash proves little: a query that runs everywhere is there whenever an
 * upstream ends. A request that crashes the upstreams of a service is never answered by them, so
 * that an answer clears the request of that service's crashes before it, and of those shortly
 * after it. A request is blocked after PD_CRASH_LIMIT crashes of one service that no answer has
 * cleared, or of several services if none of them has answered it.
 *
 * The table is bounded and thread-safe. Times are in microseconds of pd_os_boot_us().
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
#define PD_CRASHES_MAX	    256
#define PD_CRASH_LIMIT	    3 /* number of crashes after which a request is blocked */
#define PD_CRASH_EVENTS_MAX 6 /* number of crashes of one request that are recorded */
/* A request is blocked for this long after its last crash, and one with fewer crashes is forgotten
 * then. */
#define PD_CRASH_EXPIRY_US 60000000
/* Each instance blocks a request for up to this much longer, at random: one of them tries it first.
 */
#define PD_CRASH_SPREAD_US 60000000
/* A request that was blocked is forgotten this long after its last crash. Until then, it is on
 * trial: one more crash blocks it again. */
#define PD_CRASH_TRIAL_US 600000000
/* A crash this shortly after an answer to the request doesn't count. All upstreams of a service
 * may end in the same moment, so that no answer follows. */
#define PD_CRASH_ANSWERED_US 2000000
#define PD_CRASH_ANSWERS_MAX 1024 /* number of requests and services with a recent answer */

/**
 * struct pd_crash_event - crash of an upstream that was executing a request
 * @name: name of the crash, the same at all instances; see pd_crashes_name()
 * @service: hash of the upstream's service, see pd_crash_service(); 0 if unknown
 * @broken_us: time at which the connection to the upstream broke
 * @told: other instances know the crash, or soon will
 * @partial: other services have answered the request
 */
struct pd_crash_event {
	struct pd_name name;
	uint64_t service;
	int64_t broken_us;
	bool told;
	bool partial;
};

/**
 * struct pd_crash - crashes of one request
 * @fingerprint: fingerprint of the request
 * @events: crashes
 * @count: number of entries in @events
 * @last_us: time of the last crash
 * @spread_us: time for which this instance blocks the request beyond PD_CRASH_EXPIRY_US
 * @answered: a service has answered the request: crashes of different services don't add up
 * @suspect: the request has reached the limit, and is blocked or on trial
 */
struct pd_crash {
	uint64_t fingerprint;
	struct pd_crash_event events[PD_CRASH_EVENTS_MAX];
	uint32_t count;
	int64_t last_us;
	int64_t spread_us;
	bool answered;
	bool suspect;
};

/**
 * struct pd_crash_answer - the last answer of a service to a request
 * @key: hash of fingerprint and service
 * @answered_us: time of the answer; 0 if the entry is free
 */
struct pd_crash_answer {
	uint64_t key;
	int64_t answered_us;
};

/**
 * struct pd_crashes - table of crashes
 * @lock: guards the table
 * @table: entries, in no order
 * @count: number of entries in @table
 * @answers: last answers; the one with a key is stored at the key modulo the size
 */
struct pd_crashes {
	pthread_mutex_t lock;
	struct pd_crash table[PD_CRASHES_MAX];
	size_t count;
	struct pd_crash_answer answers[PD_CRASH_ANSWERS_MAX];
};

void pd_crashes_init(struct pd_crashes *crashes);
void pd_crashes_finish(struct pd_crashes *crashes);
/* Returns the fingerprint of a request, which is never 0. */
uint64_t pd_crash_fingerprint(struct pd_str method, struct pd_str host, struct pd_str target,
			      struct pd_str body);
/* Returns the hash of a service's name, which is never 0. */
uint64_t pd_crash_service(struct pd_str name);

/* Returns the time until which the report of a crash is needed: while the request may be refused,
 * an answer to it at one instance has to reach the others.
 */
int64_t pd_crash_report_end_us(int64_t broken_us, bool suspect);

/**
 * struct pd_crash_origin - what distinguishes a crash from others
 * @upstream: id of the upstream
 * @started_unix_ms: Unix time of the upstream's start, in milliseconds; 0 if unknown
 * @connected_us: time at which the connection that broke was opened
 */
struct pd_crash_origin {
	struct pd_str upstream;
	int64_t started_unix_ms;
	int64_t connected_us;
};

/**
 * pd_crashes_name() - names a crash that this instance has observed
 * @crashes: table
 * @fingerprint: fingerprint of the request
 * @origin: upstream and connection
 * @name: name of the crash, of at most PD_CRASH_EVENT_MAX_BYTES
 *
 * All connections that one crash breaks yield the same name, at all instances. A connection that
 * was opened after a recorded crash shows that the upstream has started again, also if neither its
 * id nor the time of its start has changed, and yields another name.
 */
void pd_crashes_name(struct pd_crashes *crashes, uint64_t fingerprint,
		     const struct pd_crash_origin *origin, struct pd_name *name);

/** enum pd_crash_verdict - result of pd_crashes_add(). */
enum pd_crash_verdict {
	PD_CRASH_RECORDED, /* it counts */
	PD_CRASH_REPEATED, /* it counts, and the request was on trial */
	PD_CRASH_IGNORED, /* it is known or too old, or was observed here while the request is
			     blocked */
	PD_CRASH_ANSWERED, /* the service has answered the request since, or shortly before */
};

/* Records a crash, in place of another one if there are PD_CRASH_EVENTS_MAX. One of a request
 * that is blocked or on trial restarts the time for which it is blocked. */
enum pd_crash_verdict pd_crashes_add(struct pd_crashes *crashes, uint64_t fingerprint,
				     const struct pd_crash_event *event, int64_t now_us);
/* Removes a crash that turned out to be none, which doesn't block the request for longer either. */
void pd_crashes_remove(struct pd_crashes *crashes, uint64_t fingerprint,
		       const struct pd_name *event);
/* Removes a crash that the request didn't cause, because its report was deleted; false if it isn't
 * recorded, or so old that its report is deleted in any case, see pd_crash_report_end_us(). */
bool pd_crashes_clear(struct pd_crashes *crashes, uint64_t fingerprint, const struct pd_name *event,
		      int64_t now_us);
/* Marks a crash as told to other instances, and sets @partial of @event; false if it isn't recorded
 * any more. */
bool pd_crashes_tell(struct pd_crashes *crashes, uint64_t fingerprint,
		     struct pd_crash_event *event);
/* Records that an upstream of the service has answered the request, removes the crashes that it is
 * cleared of, copies them to @cleared, which has room for PD_CRASH_EVENTS_MAX, and returns their
 * number.
 */
size_t pd_crashes_answer(struct pd_crashes *crashes, uint64_t fingerprint, uint64_t service,
			 int64_t now_us, struct pd_crash_event *cleared);
/* Whether the request is blocked or on trial. */
bool pd_crashes_is_suspect(struct pd_crashes *crashes, uint64_t fingerprint, int64_t now_us);
/* Whether the request has crashed so many upstreams that it isn't sent to any now. */
bool pd_crashes_is_blocked(struct pd_crashes *crashes, uint64_t fingerprint, int64_t now_us);
/* Copies the entries that haven't expired to @out, which has room for PD_CRASHES_MAX, and returns
 * their number. */
size_t pd_crashes_copy(struct pd_crashes *crashes, struct pd_crash *out, int64_t now_us);

#endif
