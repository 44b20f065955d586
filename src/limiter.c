#include "limiter.h"

#include <string.h>

/* Normal replies that end a cold start: with a known usual latency, and while it is learnt. */
#define STREAK_KNOWN	 2
#define STREAK_LEARNING	 4
#define COLD_MEDIANS_MAX 5 /* times the usual latency; ordinary stragglers take about 10 times */
#define COLD_WEIGHT	 4 /* a reply in a cold start counts a quarter in the average */

/* The usual latency, or 0 while it isn't known. */
static int64_t usual_us(struct pd_limiter *limiter)
{
	return pd_latency_quantile(&limiter->baseline, 0.5, 0);
}

static int64_t reference_us(struct pd_limiter *limiter)
{
	int64_t usual = usual_us(limiter);

	if (usual > 0)
		return usual;
	return limiter->baseline_hint_us > 0 ? limiter->baseline_hint_us : limiter->min_latency_us;
}

int64_t pd_limiter_slow_us(struct pd_limiter *limiter)
{
	int64_t reference = reference_us(limiter);

	if (reference <= 0)
		return INT64_MAX;
	return reference * PD_LIMITER_SLOW_FACTOR + PD_LIMITER_JITTER_US;
}

int64_t pd_limiter_expected_us(struct pd_limiter *limiter)
{
	int64_t usual = usual_us(limiter);

	if (limiter->cold && limiter->cold_latency_us > usual)
		return limiter->cold_latency_us;
	return usual;
}

static void turn_cold(struct pd_limiter *limiter, int64_t now_us)
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
 * A straggler on a warm upstream must not block the other slots: a normal reply to a request that
 * was sent later shows that the upstream is warm. An overdue request without such a reply can be
 * the first of a cold start; waiting for its reply would let others join it.
 */
static bool suspicious(struct pd_limiter *limiter, int64_t oldest_in_flight_us, int64_t now_us)
{
	int64_t reference = reference_us(limiter);

	if (limiter->slow_streak > 0)
		return true;
	if (reference <= 0 || now_us - oldest_in_flight_us <= limiter->last_normal_sent_us)
		return false;
	return oldest_in_flight_us > reference * PD_LIMITER_OVERDUE_FACTOR + PD_LIMITER_JITTER_US;
}

uint32_t pd_limiter_allowed(struct pd_limiter *limiter, bool shared, bool first_with_silent,
			    int64_t oldest_in_flight_us, int64_t now_us)
{
	uint32_t most = limiter->slots;

	if (now_us < limiter->backoff_until_us)
		return 0;
	if (limiter->cold)
		return shared && !first_with_silent ? 0 : 1;
	if (shared)
		most = most > 1 ? most / 2 : 1;
	if (suspicious(limiter, oldest_in_flight_us, now_us))
		return 1;
	return limiter->limit < most ? limiter->limit : most;
}

static void normal_reply(struct pd_limiter *limiter, int64_t service_us, int64_t now_us)
{
	uint32_t needed = 1;

	limiter->slow_streak = 0;
	if (now_us - service_us > limiter->last_normal_sent_us)
		limiter->last_normal_sent_us = now_us - service_us;
	limiter->normal_streak++;
	if (limiter->cold)
		needed = usual_us(limiter) > 0 || limiter->baseline_hint_us > 0 ? STREAK_KNOWN
										: STREAK_LEARNING;
	if (limiter->normal_streak < needed)
		return;
	limiter->cold = false;
	limiter->normal_streak = 0;
	limiter->limit += limiter->limit > 2 ? limiter->limit / 2 : 1;
	if (limiter->limit > limiter->slots)
		limiter->limit = limiter->slots;
}

static void slow_reply(struct pd_limiter *limiter, int64_t now_us)
{
	limiter->normal_streak = 0;
	limiter->slow_streak++;
	if (limiter->slow_streak >= 2)
		turn_cold(limiter, now_us);
}

/*
 * An upstream that stays slower for good (more data, other hardware) would count as cold forever.
 * After a time longer than any cold start its present latency becomes the usual one.
 */
static void relearn(struct pd_limiter *limiter, int64_t service_us, int64_t now_us)
{
	int64_t after_us =
		usual_us(limiter) > 0 ? PD_LIMITER_BASELINE_RESET_US : PD_LIMITER_HINT_RESET_US;

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
 * A reply of a request that was sent before the cold start was noticed counts as well. Two
 * stragglers in a row look like a cold start that isn't @reported; they must not make a short queue
 * look too long for normal work.
 */
static void average_cold(struct pd_limiter *limiter, int64_t service_us, bool reported)
{
	int64_t most_us = COLD_MEDIANS_MAX * usual_us(limiter);

	if (!limiter->cold)
		return;
	if (!reported && most_us > 0 && service_us > most_us)
		service_us = most_us;
	if (limiter->cold_latency_us == 0)
		limiter->cold_latency_us = service_us;
	limiter->cold_latency_us += (service_us - limiter->cold_latency_us) / COLD_WEIGHT;
}

void pd_limiter_reply(struct pd_limiter *limiter, int64_t service_us, enum pd_load_state reported,
		      int64_t now_us)
{
	bool learning = usual_us(limiter) <= 0;

	limiter->failure_streak = 0;
	limiter->shed_streak = 0;
	if (reported == PD_LOAD_COLD) {
		turn_cold(limiter, now_us);
		limiter->cold_since_us = now_us;
		limiter->cold_reported = true;
		average_cold(limiter, service_us, true);
		return;
	}
	relearn(limiter, service_us, now_us);
	if (limiter->min_latency_us == 0 || service_us < limiter->min_latency_us)
		limiter->min_latency_us = service_us > 0 ? service_us : 1;
	if (service_us <= pd_limiter_slow_us(limiter)) {
		average_cold(limiter, service_us, false);
		normal_reply(limiter, service_us, now_us);
		if (!limiter->cold || learning)
			pd_latency_add(&limiter->baseline, service_us);
		return;
	}
	slow_reply(limiter, now_us);
	average_cold(limiter, service_us, false);
	if (!limiter->cold)
		pd_latency_add(&limiter->baseline, service_us);
}

static int64_t backoff_us(int64_t least, int64_t most, uint32_t streak)
{
	int64_t us = least;

	for (uint32_t i = 1; i < streak && us < most; i++)
		us *= 2;
	return us < most ? us : most;
}

void pd_limiter_shed(struct pd_limiter *limiter, int64_t now_us)
{
	int64_t until;

	turn_cold(limiter, now_us);
	limiter->shed_streak++;
	until = now_us + backoff_us(PD_LIMITER_SHED_BACKOFF_MIN_US, PD_LIMITER_SHED_BACKOFF_MAX_US,
				    limiter->shed_streak);
	if (until > limiter->backoff_until_us)
		limiter->backoff_until_us = until;
}

void pd_limiter_connection_failed(struct pd_limiter *limiter, int64_t now_us)
{
	bool holding = now_us < limiter->backoff_until_us && limiter->failure_streak > 0;

	turn_cold(limiter, now_us);
	limiter->slow_streak = 0;
	/* Several connections that break together are one failure. */
	if (holding)
		return;
	limiter->failure_streak++;
	limiter->backoff_until_us =
		now_us + backoff_us(PD_LIMITER_BACKOFF_MIN_US, PD_LIMITER_BACKOFF_MAX_US,
				    limiter->failure_streak);
}

void pd_limiter_restart(struct pd_limiter *limiter, int64_t now_us)
{
	/* Latencies seen earlier stay a valid reference for what is usual. */
	turn_cold(limiter, now_us);
	limiter->slow_streak = 0;
	limiter->failure_streak = 0;
	limiter->shed_streak = 0;
	limiter->backoff_until_us = 0;
}
