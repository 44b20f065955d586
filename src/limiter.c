#include "limiter.h"

#include <string.h>

/* Number of normal replies in a row that end a cold start. */
#define WARM_STREAK	    2 /* if the baseline latency is known */
#define WARM_STREAK_INITIAL 4 /* while the baseline latency is being measured */
/*
 * A latency counts in the average of an unreported cold start as at most this multiple of the
 * baseline. A straggler usually takes about 10 times the baseline.
 */
#define COLD_LATENCY_MAX_FACTOR 5
#define COLD_LATENCY_DIVISOR	4 /* a reply has a weight of 1/4 in the average of a cold start */

/* Median of the baseline samples in microseconds; 0 with too few samples. */
static int64_t median_us(struct pd_limiter *limiter)
{
	return pd_latency_quantile(&limiter->baseline, 0.5, 0);
}

/*
 * Baseline latency in microseconds: the median if there are enough samples, else the hint, else the
 * lowest latency; 0 if unknown.
 */
static int64_t baseline_us(struct pd_limiter *limiter)
{
	int64_t median = median_us(limiter);

	if (median > 0)
		return median;
	return limiter->baseline_hint_us > 0 ? limiter->baseline_hint_us : limiter->min_latency_us;
}

int64_t pd_limiter_slow_us(struct pd_limiter *limiter)
{
	int64_t normal_us = baseline_us(limiter);

	if (normal_us <= 0)
		return INT64_MAX;
	return normal_us * PD_LIMITER_SLOW_FACTOR + PD_LIMITER_JITTER_TOLERANCE_US;
}

int64_t pd_limiter_expected_us(struct pd_limiter *limiter)
{
	int64_t median = median_us(limiter);

	if (limiter->cold && limiter->cold_latency_us > median)
		return limiter->cold_latency_us;
	return median;
}

static void enter_cold(struct pd_limiter *limiter, int64_t now_us)
{
	if (!limiter->cold) {
		limiter->cold_since_us = now_us;
		limiter->cold_latency_us = 0;
		limiter->cold_reported = false;
	}
	limiter->cold = true;
	limiter->limit = 1;
	limiter->normal_streak = 0;
}

void pd_limiter_init(struct pd_limiter *limiter, uint32_t slots)
{
	memset(limiter, 0, sizeof(*limiter));
	limiter->slots = slots > 0 ? slots : 1;
	limiter->limit = 1;
	limiter->cold = true;
	pd_latency_init(&limiter->baseline);
}

void pd_limiter_set_slots(struct pd_limiter *limiter, uint32_t slots)
{
	limiter->slots = slots > 0 ? slots : 1;
	if (limiter->limit > limiter->slots)
		limiter->limit = limiter->slots;
}

/*
 * Returns true if the latest reply was slow, or if a request is overdue and no request sent after
 * it has had a normal reply. Such a request may be the first one of a cold start, and more requests
 * would be sent to the cold upstream if the limit were kept until its reply. A normal reply to a
 * request that was sent later shows that the upstream is warm, so that a straggler doesn't block
 * the other slots.
 */
static bool cold_start_suspected(struct pd_limiter *limiter, int64_t oldest_in_flight_us,
				 int64_t now_us)
{
	int64_t normal_us = baseline_us(limiter);

	if (limiter->slow_streak > 0)
		return true;
	if (normal_us <= 0 || now_us - oldest_in_flight_us <= limiter->last_normal_sent_us)
		return false;
	return oldest_in_flight_us >
	       normal_us * PD_LIMITER_OVERDUE_FACTOR + PD_LIMITER_JITTER_TOLERANCE_US;
}

uint32_t pd_limiter_max_in_flight(struct pd_limiter *limiter, bool shared,
				  bool first_including_silent, int64_t oldest_in_flight_us,
				  int64_t now_us)
{
	uint32_t max = limiter->slots;

	if (now_us < limiter->backoff_until_us)
		return 0;
	if (limiter->cold)
		return shared && !first_including_silent ? 0 : 1;
	if (shared)
		max = max > 1 ? max / 2 : 1;
	if (cold_start_suspected(limiter, oldest_in_flight_us, now_us))
		return 1;
	return limiter->limit < max ? limiter->limit : max;
}

/* A reply with normal latency: increases the limit, and ends a cold start after enough of them. */
static void normal_reply(struct pd_limiter *limiter, int64_t service_us, int64_t now_us)
{
	uint32_t needed_streak = 1;

	limiter->slow_streak = 0;
	if (now_us - service_us > limiter->last_normal_sent_us)
		limiter->last_normal_sent_us = now_us - service_us;
	limiter->normal_streak++;
	if (limiter->cold)
		needed_streak = median_us(limiter) > 0 || limiter->baseline_hint_us > 0
					? WARM_STREAK
					: WARM_STREAK_INITIAL;
	if (limiter->normal_streak < needed_streak)
		return;
	limiter->cold = false;
	limiter->normal_streak = 0;
	limiter->limit += limiter->limit > 2 ? limiter->limit / 2 : 1;
	if (limiter->limit > limiter->slots)
		limiter->limit = limiter->slots;
}

/* A slow reply: two in a row count as a cold start. */
static void slow_reply(struct pd_limiter *limiter, int64_t now_us)
{
	limiter->normal_streak = 0;
	limiter->slow_streak++;
	if (limiter->slow_streak >= 2)
		enter_cold(limiter, now_us);
}

/*
 * Makes the present latency the baseline if the upstream has been cold for longer than any cold
 * start takes. An upstream that has become slower permanently (more data, other hardware) would
 * otherwise count as cold forever.
 */
static void reset_stale_baseline(struct pd_limiter *limiter, int64_t service_us, int64_t now_us)
{
	int64_t after_us =
		median_us(limiter) > 0 ? PD_LIMITER_BASELINE_RESET_US : PD_LIMITER_HINT_RESET_US;

	if (limiter->cold_since_us == 0)
		limiter->cold_since_us = now_us;
	if (!limiter->cold || now_us - limiter->cold_since_us < after_us)
		return;
	pd_latency_init(&limiter->baseline);
	limiter->baseline_hint_us = 0;
	limiter->min_latency_us = service_us;
	limiter->cold_since_us = now_us;
}

/*
 * Adds a reply to the average latency of the cold start, including the reply to a request that was
 * sent before the cold start was detected. Unless the upstream @reported the cold start, it may be
 * just two stragglers in a row; their latency is capped, because normal requests would otherwise be
 * refused as too late for even a short queue.
 */
static void average_cold_latency(struct pd_limiter *limiter, int64_t service_us, bool reported)
{
	int64_t max_us = COLD_LATENCY_MAX_FACTOR * median_us(limiter);

	if (!limiter->cold)
		return;
	if (!reported && max_us > 0 && service_us > max_us)
		service_us = max_us;
	if (limiter->cold_latency_us == 0)
		limiter->cold_latency_us = service_us;
	limiter->cold_latency_us += (service_us - limiter->cold_latency_us) / COLD_LATENCY_DIVISOR;
}

void pd_limiter_reply(struct pd_limiter *limiter, int64_t service_us, enum pd_load_state reported,
		      int64_t now_us)
{
	bool measuring_baseline = median_us(limiter) <= 0;

	limiter->failure_streak = 0;
	limiter->shed_streak = 0;
	if (reported == PD_LOAD_COLD) {
		enter_cold(limiter, now_us);
		limiter->cold_since_us = now_us;
		limiter->cold_reported = true;
		average_cold_latency(limiter, service_us, true);
		return;
	}
	reset_stale_baseline(limiter, service_us, now_us);
	if (limiter->min_latency_us == 0 || service_us < limiter->min_latency_us)
		limiter->min_latency_us = service_us > 0 ? service_us : 1;
	if (service_us <= pd_limiter_slow_us(limiter)) {
		average_cold_latency(limiter, service_us, false);
		normal_reply(limiter, service_us, now_us);
		if (!limiter->cold || measuring_baseline)
			pd_latency_add(&limiter->baseline, service_us);
		return;
	}
	slow_reply(limiter, now_us);
	average_cold_latency(limiter, service_us, false);
	if (!limiter->cold)
		pd_latency_add(&limiter->baseline, service_us);
}

/* Exponential backoff for a number of failures in a row (@streak): doubled for each further one. */
static int64_t backoff_us(int64_t min_backoff_us, int64_t max_backoff_us, uint32_t streak)
{
	int64_t us = min_backoff_us;

	for (uint32_t i = 1; i < streak && us < max_backoff_us; i++)
		us *= 2;
	return us < max_backoff_us ? us : max_backoff_us;
}

void pd_limiter_shed(struct pd_limiter *limiter, int64_t now_us)
{
	int64_t until_us;

	enter_cold(limiter, now_us);
	limiter->shed_streak++;
	until_us = now_us + backoff_us(PD_LIMITER_SHED_BACKOFF_MIN_US,
				       PD_LIMITER_SHED_BACKOFF_MAX_US, limiter->shed_streak);
	if (until_us > limiter->backoff_until_us)
		limiter->backoff_until_us = until_us;
}

void pd_limiter_connection_failed(struct pd_limiter *limiter, int64_t now_us)
{
	bool backing_off = now_us < limiter->backoff_until_us && limiter->failure_streak > 0;

	enter_cold(limiter, now_us);
	limiter->slow_streak = 0;
	/* Several connections that fail together count as one failure. */
	if (backing_off)
		return;
	limiter->failure_streak++;
	limiter->backoff_until_us =
		now_us + backoff_us(PD_LIMITER_BACKOFF_MIN_US, PD_LIMITER_BACKOFF_MAX_US,
				    limiter->failure_streak);
}

void pd_limiter_restart(struct pd_limiter *limiter, int64_t now_us)
{
	/* The baseline is kept: earlier latencies still show what is normal for this upstream. */
	enter_cold(limiter, now_us);
	limiter->slow_streak = 0;
	limiter->failure_streak = 0;
	limiter->shed_streak = 0;
	limiter->backoff_until_us = 0;
}
