/**
 * DOC: Concurrency limit of one upstream
 *
 * Holds how many requests may be in flight now: 1 in a cold start, up to the configured slots when
 * replies show that the upstream is warm. Not thread-safe: the upstream's mutex guards it. Time is
 * a parameter.
 */
#ifndef PD_LIMITER_H
#define PD_LIMITER_H

#include <stdbool.h>
#include <stdint.h>

#include "latency.h"
#include "os.h"

/** enum pd_load_state - what the upstream says of itself; it can lag or be wrong. */
enum pd_load_state {
	PD_LOAD_UNKNOWN = 0,
	PD_LOAD_WARM,
	PD_LOAD_COLD,
};

#define PD_LIMITER_BACKOFF_MIN_US      (100 * PD_USEC_PER_MSEC) /* after the first failure; doubles */
#define PD_LIMITER_BACKOFF_MAX_US      (2 * PD_USEC_PER_SEC)
#define PD_LIMITER_SHED_BACKOFF_MIN_US (20 * PD_USEC_PER_MSEC) /* after load was shed; doubles */
#define PD_LIMITER_SHED_BACKOFF_MAX_US (320 * PD_USEC_PER_MSEC)
#define PD_LIMITER_SLOW_FACTOR	       3 /* times the median; above it a reply is slow */
#define PD_LIMITER_OVERDUE_FACTOR      2 /* times the median; above it a missing reply is evidence */
#define PD_LIMITER_JITTER_US	       (2 * PD_USEC_PER_MSEC) /* scheduling noise, added to that */
/* Slow for longer than a cold start takes: with own samples, and with only a hint. */
#define PD_LIMITER_HINT_RESET_US     (20 * PD_USEC_PER_SEC)
#define PD_LIMITER_BASELINE_RESET_US (60 * PD_USEC_PER_SEC)

/**
 * struct pd_limiter - all zero is not valid; use pd_limiter_init()
 * @slots: configured most
 * @limit: concurrency that the replies justify, 1 to @slots
 * @cold: in a cold start as far as known
 * @cold_reported: the upstream says so; otherwise two stragglers in a row may be the reason
 * @backoff_until_us: no dispatch before this time
 * @normal_streak: replies near the usual latency since the last change of @limit
 * @slow_streak: slow replies in a row
 * @failure_streak: breakages since the last reply
 * @shed_streak: refusals for load since the last reply
 * @cold_since_us: when @cold was set
 * @last_normal_sent_us: when the newest request with a reply near the usual latency was sent
 * @cold_latency_us: average latency of replies in this cold start, 0 before the first
 * @min_latency_us: least latency seen; the reference until @baseline has enough samples
 * @baseline_hint_us: usual latency of similar upstreams, 0 when unknown; used until @baseline has
 * samples
 * @baseline: latencies of replies while warm
 */
struct pd_limiter {
	uint32_t slots;
	uint32_t limit;
	bool cold;
	bool cold_reported;
	int64_t backoff_until_us;
	uint32_t normal_streak;
	uint32_t slow_streak;
	uint32_t failure_streak;
	uint32_t shed_streak;
	int64_t cold_since_us;
	int64_t last_normal_sent_us;
	int64_t cold_latency_us;
	int64_t min_latency_us;
	int64_t baseline_hint_us;
	struct pd_latency baseline;
};

/* Starts cold. */
void pd_limiter_init(struct pd_limiter *limiter, uint32_t slots);
void pd_limiter_set_slots(struct pd_limiter *limiter, uint32_t slots);
/**
 * pd_limiter_allowed() - how many may be in flight
 * @shared: halves the slots
 * @first_with_silent: allows a cold one then
 * @oldest_in_flight_us: age of the oldest request in flight that was sent after @normal_sent_us,
 * 0 when there is none
 */
uint32_t pd_limiter_allowed(struct pd_limiter *limiter, bool shared, bool first_with_silent,
			    int64_t oldest_in_flight_us, int64_t now_us);
void pd_limiter_reply(struct pd_limiter *limiter, int64_t service_us, enum pd_load_state reported,
		      int64_t now_us);
void pd_limiter_shed(struct pd_limiter *limiter, int64_t now_us); /* upstream refused for load */
void pd_limiter_connection_failed(struct pd_limiter *limiter,
				  int64_t now_us); /* reset, refused or silent */
/* Ownership came new to this instance: nothing is known. */
void pd_limiter_restart(struct pd_limiter *limiter, int64_t now_us);

/* Expected latency of a request in microseconds, cold or warm; 0 while nothing is known. */
int64_t pd_limiter_expected_us(struct pd_limiter *limiter);
/* Latency in microseconds above which a reply is slow; INT64_MAX while nothing is known. */
int64_t pd_limiter_slow_us(struct pd_limiter *limiter);

#endif
