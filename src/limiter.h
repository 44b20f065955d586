/**
 * DOC: Adaptive concurrency limit of one upstream
 *
 * Computes how many requests may be in flight to the upstream: 1 during a cold start, increasing to
 * the configured number of slots as replies show that the upstream is warm (slow start). Not
 * thread-safe: the mutex of the upstream guards it. The current time is passed in as @now_us
 * (monotonic, in microseconds).
 */
#ifndef PD_LIMITER_H
#define PD_LIMITER_H

#include <stdbool.h>
#include <stdint.h>

#include "latency.h"
#include "os.h"

/** enum pd_load_state - load state that the upstream reports; it can be stale or wrong */
enum pd_load_state {
	PD_LOAD_UNKNOWN = 0,
	PD_LOAD_WARM,
	PD_LOAD_COLD,
};

/* Backoff after a failed connection: the minimum is doubled for each failure in a row. */
#define PD_LIMITER_BACKOFF_MIN_US (100 * PD_USEC_PER_MSEC)
#define PD_LIMITER_BACKOFF_MAX_US (2 * PD_USEC_PER_SEC)
/* Backoff after the upstream shed load: the minimum is doubled for each shed request in a row. */
#define PD_LIMITER_SHED_BACKOFF_MIN_US (20 * PD_USEC_PER_MSEC)
#define PD_LIMITER_SHED_BACKOFF_MAX_US (320 * PD_USEC_PER_MSEC)
/*
 * A reply is slow if it takes longer than this multiple of the baseline latency, plus
 * PD_LIMITER_JITTER_TOLERANCE_US.
 */
#define PD_LIMITER_SLOW_FACTOR 3
/*
 * A request that has been in flight for longer than this multiple of the baseline latency, plus
 * PD_LIMITER_JITTER_TOLERANCE_US, may indicate a cold start.
 */
#define PD_LIMITER_OVERDUE_FACTOR      2
#define PD_LIMITER_JITTER_TOLERANCE_US (2 * PD_USEC_PER_MSEC) /* for scheduling delays */
/*
 * If replies stay slow for longer than any cold start takes, the baseline latency has changed and
 * is reset: after PD_LIMITER_HINT_RESET_US if it is a hint or the lowest latency so far, after
 * PD_LIMITER_BASELINE_RESET_US if it is the median of enough samples.
 */
#define PD_LIMITER_HINT_RESET_US     (20 * PD_USEC_PER_SEC)
#define PD_LIMITER_BASELINE_RESET_US (60 * PD_USEC_PER_SEC)

/**
 * struct pd_limiter - concurrency limit of an upstream and the state that determines it
 * @slots: configured maximum of requests in flight
 * @limit: current concurrency limit, 1 to @slots
 * @cold: the upstream is assumed to be in a cold start
 * @cold_reported: the upstream reported the cold start; if false, two stragglers in a row may have
 * set @cold
 * @backoff_until_us: time until which no request may be sent
 * @normal_streak: number of normal replies in a row since @limit last changed
 * @slow_streak: number of slow replies in a row
 * @failure_streak: number of failures since the last reply; those during a backoff count as one
 * @shed_streak: number of requests that the upstream shed since the last reply
 * @cold_since_us: time from which the cold start is measured: when @cold was set, the upstream last
 * reported a cold start, or the baseline was reset; 0 before the first reply
 * @last_normal_sent_us: latest time at which a request was sent whose reply had normal latency
 * @cold_latency_us: moving average of the latency during this cold start, in microseconds; 0 before
 * the first reply
 * @min_latency_us: lowest latency of a reply, in microseconds; the baseline until @baseline has
 * enough samples, if there is no hint
 * @baseline_hint_us: baseline latency of similar upstreams, in microseconds; 0 if unknown. Used
 * until @baseline has enough samples
 * @baseline: latencies of replies while the upstream was warm; the baseline is their median
 *
 * All times are monotonic, in microseconds. Must be initialized with pd_limiter_init().
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

/* Initializes @limiter in the cold state. */
void pd_limiter_init(struct pd_limiter *limiter, uint32_t slots);
void pd_limiter_set_slots(struct pd_limiter *limiter, uint32_t slots);
/**
 * pd_limiter_max_in_flight() - returns how many requests may be in flight to the upstream now
 * @shared: another instance may own the upstream too, so this one uses at most half of the slots
 * @first_including_silent: this instance ranks first for the upstream among all live members,
 * silent ones included; only this one of the instances that share a cold upstream may send to it
 * @oldest_in_flight_us: age in microseconds of the oldest request in flight that was sent after
 * @last_normal_sent_us of the limiter; 0 if there is none
 * @now_us: current time
 */
uint32_t pd_limiter_max_in_flight(struct pd_limiter *limiter, bool shared,
				  bool first_including_silent, int64_t oldest_in_flight_us,
				  int64_t now_us);
/**
 * pd_limiter_reply() - updates the limit after a reply
 * @service_us: time from sending the request to its reply, in microseconds
 * @reported: load state in the reply
 * @now_us: current time
 */
void pd_limiter_reply(struct pd_limiter *limiter, int64_t service_us, enum pd_load_state reported,
		      int64_t now_us);
/* Backs off because the upstream refused a request due to load. */
void pd_limiter_shed(struct pd_limiter *limiter, int64_t now_us);
/* Backs off because a connection was reset or refused, or the upstream did not reply. */
void pd_limiter_connection_failed(struct pd_limiter *limiter, int64_t now_us);
/*
 * Starts cold again because this instance has become the owner of the upstream. The baseline
 * latency is kept.
 */
void pd_limiter_restart(struct pd_limiter *limiter, int64_t now_us);

/* Expected latency of a request in microseconds, cold or warm; 0 if unknown. */
int64_t pd_limiter_expected_us(struct pd_limiter *limiter);
/* Latency in microseconds above which a reply is slow; INT64_MAX if no baseline is known. */
int64_t pd_limiter_slow_us(struct pd_limiter *limiter);

#endif
