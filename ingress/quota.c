#include "quota.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"

#define SLOTS_MIN 64
/* Tokens with which a bucket starts at a head that has just become one: enough for the few requests
 * of a usual account until the others are heard. */
#define FIRST_TOKENS 2.0
/* Time for which reports are repeated, and for which an instance that hears of a use for the first
 * time charges it. A new source or head is known within less. */
#define RECENT_US   (2000 * PD_USEC_PER_MSEC)
#define INTERVAL_US (RECENT_US / PD_QUOTA_HISTORY)
/* Time in which the followers of a new head, or the heads of a zone that is heard again, report. */
#define CREDIT_US (1000 * PD_USEC_PER_MSEC)
/* Credit of a new head, as time of the rate: what a usual account, with 1 / 1.6 of its quota, uses
 * in RECENT_US. With the whole time, a noisy account had 95 requests of 92.6 when all heads die. */
#define CREDIT_S (RECENT_US / 1.6 / PD_USEC_PER_SEC)
/* Reports are sent to a source at the next tick, and repeated because there is no acknowledgement.
 * Those to other zones are collected, unless the account has few tokens left, and repeated twice,
 * because their bytes are billed. */
#define REPEAT_US	(250 * PD_USEC_PER_MSEC)
#define SHARE_US	(100 * PD_USEC_PER_MSEC)
#define SHARE_REPEAT_US (300 * PD_USEC_PER_MSEC)
/* News are repeated as often, and hold for three of them to be lost. */
#define NEWS_REPEAT_US	(250 * PD_USEC_PER_MSEC)
#define NEWS_TIMEOUT_US (1000 * PD_USEC_PER_MSEC)
/* A bucket has few tokens if they last for less than the interval of the news at the quota's rate.
 */
#define LOW_S	   0.25
#define LOW_TOKENS 2.0
/* Time over which the rate of an account's requests is averaged: a burst empties the bucket in less
 * than half a second. */
#define DEMAND_S 0.4
/* Part of the allowed excess that requests may take up that are sent before an instance hears that
 * a bucket is empty; the other part is for instances that are cut off. */
#define LAG_SHARE 0.5
/* Part of the bound of a window that isn't used for a higher rate: RESERVE_S seconds of the
 * enforced rate and RESERVE_TOKENS. Fleets of the tests exceed their buckets by as much when an
 * account is noisy while heads fail, or while a part is cut off and returns. The excess is in
 * proportion to the rate that is enforced, since both sides of a partition use it until they
 * notice. */
#define RESERVE_S      1.45
#define RESERVE_TOKENS 4.0
/* A request that was admitted for an instance is reported by it within less, if it is used. */
#define GRANT_US (2000 * PD_USEC_PER_MSEC)
/* Zones that hear each other in part are told from heads that notice a failure, or a new head, one
 * after the other, as they do within the interval and the timeout of HEAD. */
#define IN_PART_US (1000 * PD_USEC_PER_MSEC)
/* Promises of more than ROOM_AFTER_US ahead leave the rest of the rate to other requests: a usual
 * account uses 1 / 1.6 of its quota, and its requests compete with those that come back. */
#define ROOM_AFTER_US PD_USEC_PER_SEC
#define ROOM_SHARE    0.375
/* An account that isn't in use for this long has a full bucket again at any usual limit. */
#define IDLE_US	 (30 * PD_USEC_PER_SEC)
#define PRUNE_US PD_USEC_PER_SEC
/* A rate that times to return are divided by is at least this. */
#define RATE_MIN_PER_S 1e-6
/* Longest time to wait that a client is told. */
#define WAIT_MAX_US (3600 * PD_USEC_PER_SEC)
/* The part of it that is due to other clients, of which some don't come back after so long. */
#define QUEUE_MAX_US (60 * PD_USEC_PER_SEC)
/* Share of the silent instances that admit a request of an account that they haven't used lately.
 * With 1, an account of 11 per second that sends 48 had more than the 92.6 requests that a window
 * allows in 2 of 80 fleets whose heads all stop, and in 6 of 80 whose heads are cut off; with 0.8,
 * in none and 2. */
#define SOLO_SHARE 0.8
/* Time in which an instance whose source is silent usually finds another one. */
#define SILENT_WAIT_US PD_USEC_PER_SEC

/**
 * struct pd_quota_limit - limit of an account by the configuration
 * @hash: hash of its name
 * @rate_per_s: rate that it is enforced with; 0 for no limit
 * @burst: burst
 * @spare: as in &struct pd_quota_bucket
 */
struct pd_quota_limit {
	uint64_t hash;
	double rate_per_s;
	double burst;
	double spare;
};

/* Returns the number of requests that the bound of a window allows beyond rate and burst. */
static double allowed_excess(const struct pd_quota_bounds *bounds, double rate_per_s, double burst)
{
	return (rate_per_s * bounds->window_s + burst) * bounds->overage + bounds->slack;
}

double pd_quota_enforced_rate(const struct pd_quota_bounds *bounds, double rate_per_s, double burst)
{
	double excess = allowed_excess(bounds, rate_per_s, burst);
	double reserve = RESERVE_S * rate_per_s + RESERVE_TOKENS;

	if (rate_per_s <= 0 || bounds->window_s <= 0 || excess <= reserve)
		return rate_per_s;
	/* What is added is added to the reserve, too. */
	return rate_per_s + (excess - reserve) / (bounds->window_s + RESERVE_S);
}

void pd_quota_init(struct pd_quota *quota, const struct pd_quota_bounds *bounds, uint64_t seed)
{
	memset(quota, 0, sizeof(*quota));
	quota->bounds = *bounds;
	quota->random_state = seed;
	pthread_mutex_init(&quota->lock, NULL);
}

static void free_bucket(struct pd_quota_bucket *bucket)
{
	while (bucket->uses) {
		struct pd_quota_use *use = bucket->uses;

		bucket->uses = use->next;
		free(use);
	}
	free(bucket);
}

void pd_quota_finish(struct pd_quota *quota)
{
	for (size_t i = 0; i < quota->slot_count; i++) {
		while (quota->slots[i]) {
			struct pd_quota_bucket *bucket = quota->slots[i];

			quota->slots[i] = bucket->next;
			free_bucket(bucket);
		}
	}
	free(quota->slots);
	free(quota->limits);
	quota->slots = NULL;
	quota->limits = NULL;
	quota->slot_count = 0;
	pthread_mutex_destroy(&quota->lock);
}

static uint64_t next_random(struct pd_quota *quota)
{
	/* xorshift64 */
	quota->random_state ^= quota->random_state << 13;
	quota->random_state ^= quota->random_state >> 7;
	quota->random_state ^= quota->random_state << 17;
	return quota->random_state;
}

/* Returns a random number from 0 to 1. */
static double next_uniform(struct pd_quota *quota)
{
	return (double)(next_random(quota) >> 11) * 0x1p-53;
}

/* Returns the part of the instances of the zones that this head hears that it covers, with the
 * heads that it hears. */
static double covered_part(const struct pd_quota_fleet *fleet)
{
	return fleet->heard_instances
		       ? (double)fleet->heard_covered / (double)fleet->heard_instances
		       : 1;
}

/* Returns the part of the quota that an account's bucket gets here. A head that hears only some of
 * the zones uses their part. If one of these zones hears another one, the zones that don't hear
 * each other would use the part of the zone between them twice. At most those that this head
 * doesn't hear don't hear each other either, so that each of these and this one may use an equal
 * part. Heads that cover the lesser part of the instances of the zones that they hear share what
 * the bound allows beyond the quota, which the others may use whole; several such groups have at
 * most that together, since they are in proportion to their sizes.
 */
static double part_of(const struct pd_quota *quota, const struct pd_quota_bucket *bucket)
{
	const struct pd_quota_fleet *fleet = &quota->fleet;
	const struct pd_quota_bounds *bounds = &quota->bounds;
	double quota_in_window = bucket->rate_per_s * bounds->window_s + bucket->burst;
	double zones, covered, excess;

	if (!fleet->is_head || !fleet->zones || !fleet->heard_instances)
		return 1;
	zones = (double)fleet->zones_heard / (double)fleet->zones;
	if (fleet->in_part)
		zones = 1 / (double)(1 + fleet->zones - fleet->zones_heard);
	covered = covered_part(fleet);
	if (covered >= 0.5 || quota_in_window <= 0)
		return zones;
	excess = LAG_SHARE * bucket->spare / quota_in_window;
	return zones * covered * fmin(1, 2 * excess);
}

static double rate_of(const struct pd_quota *quota, const struct pd_quota_bucket *bucket)
{
	return bucket->rate_per_s * part_of(quota, bucket);
}

/* A bucket that couldn't hold one token would never admit a request. */
static double capacity_of(const struct pd_quota *quota, const struct pd_quota_bucket *bucket)
{
	return fmax(1, bucket->burst * part_of(quota, bucket));
}

static double elapsed_s(int64_t since_us, int64_t now_us)
{
	return now_us > since_us ? (double)(now_us - since_us) / PD_USEC_PER_SEC : 0;
}

/* Adds the tokens of the time that has passed. */
static void update(const struct pd_quota *quota, struct pd_quota_bucket *bucket, int64_t now_us)
{
	double added = elapsed_s(bucket->updated_us, now_us) * rate_of(quota, bucket);

	bucket->tokens = fmin(bucket->tokens + added, capacity_of(quota, bucket));
	if (now_us > bucket->updated_us)
		bucket->updated_us = now_us;
}

static int compare_limits(const void *a, const void *b)
{
	uint64_t left = ((const struct pd_quota_limit *)a)->hash;
	uint64_t right = ((const struct pd_quota_limit *)b)->hash;

	return (left > right) - (left < right);
}

static const struct pd_quota_limit *find_limit(const struct pd_quota *quota, uint64_t hash)
{
	const struct pd_quota_limit key = {.hash = hash};

	if (!quota->limit_count)
		return NULL;
	return bsearch(&key, quota->limits, quota->limit_count, sizeof(key), compare_limits);
}

static bool grow_slots(struct pd_quota *quota)
{
	size_t count = quota->slot_count ? 2 * quota->slot_count : SLOTS_MIN;
	struct pd_quota_bucket **slots = calloc(count, sizeof(struct pd_quota_bucket *));

	if (!slots)
		return false;
	for (size_t i = 0; i < quota->slot_count; i++) {
		while (quota->slots[i]) {
			struct pd_quota_bucket *bucket = quota->slots[i];

			quota->slots[i] = bucket->next;
			bucket->next = slots[bucket->hash & (count - 1)];
			slots[bucket->hash & (count - 1)] = bucket;
		}
	}
	free(quota->slots);
	quota->slots = slots;
	quota->slot_count = count;
	return true;
}

/* Returns the tokens with which a bucket starts at a head that has just become one. Small groups
 * that were cut off from each other would exceed the bound if each of them admitted a request of an
 * account at once: those of a third of all instances have what is left of the bound together, by
 * chance if that is less than a token. An instance that has just started is alone until it finds
 * another one, and isn't cut off.
 */
static double first_tokens(struct pd_quota *quota, const struct pd_quota_bucket *bucket)
{
	const struct pd_quota_fleet *fleet = &quota->fleet;
	double tokens;

	if (covered_part(fleet) >= 0.5 || !quota->heard_us || !fleet->instances)
		return FIRST_TOKENS;
	tokens = 3 * bucket->spare * (double)fleet->heard_covered / (double)fleet->instances;
	if (tokens < 1)
		return next_uniform(quota) < tokens;
	return fmin(FIRST_TOKENS, tokens);
}

static bool has_credit(const struct pd_quota *quota, int64_t now_us)
{
	return quota->widened_us && now_us - quota->widened_us < CREDIT_US;
}

/* Sets the tokens of a new bucket: the whole burst at a follower, whose head knows better, and at a
 * head as far as it has seen the use for long enough.
 */
static void fill_first(struct pd_quota *quota, struct pd_quota_bucket *bucket, int64_t now_us)
{
	double rate = rate_of(quota, bucket);

	bucket->tokens = capacity_of(quota, bucket);
	bucket->updated_us = now_us;
	if (!quota->fleet.is_head)
		return;
	bucket->tokens =
		fmin(bucket->tokens,
		     first_tokens(quota, bucket) + rate * elapsed_s(quota->head_since_us, now_us));
	if (has_credit(quota, now_us))
		bucket->credit = rate * CREDIT_S;
}

static struct pd_quota_bucket *lookup(const struct pd_quota *quota, uint64_t hash)
{
	struct pd_quota_bucket *bucket =
		quota->slot_count ? quota->slots[hash & (quota->slot_count - 1)] : NULL;

	while (bucket && bucket->hash != hash)
		bucket = bucket->next;
	return bucket;
}

/* Returns the bucket of an account, with the tokens of now; NULL if memory runs out. */
static struct pd_quota_bucket *get_bucket(struct pd_quota *quota, uint64_t hash, int64_t now_us)
{
	struct pd_quota_bucket *bucket = lookup(quota, hash);
	const struct pd_quota_limit *limit;

	if (bucket) {
		update(quota, bucket, now_us);
		bucket->active_us = now_us;
		return bucket;
	}
	if (quota->bucket_count >= quota->slot_count && !grow_slots(quota))
		return NULL;
	bucket = calloc(1, sizeof(*bucket));
	if (!bucket)
		return NULL;
	bucket->hash = hash;
	limit = find_limit(quota, hash);
	if (limit) {
		bucket->rate_per_s = limit->rate_per_s;
		bucket->burst = limit->burst;
		bucket->spare = limit->spare;
	}
	bucket->active_us = now_us;
	fill_first(quota, bucket, now_us);
	bucket->next = quota->slots[hash & (quota->slot_count - 1)];
	quota->slots[hash & (quota->slot_count - 1)] = bucket;
	quota->bucket_count++;
	return bucket;
}

static struct pd_quota_use *find_use(struct pd_quota_bucket *bucket, uint64_t origin)
{
	struct pd_quota_use *use = bucket->uses;

	while (use && use->report.origin != origin)
		use = use->next;
	return use;
}

static struct pd_quota_use *add_use(struct pd_quota_bucket *bucket, uint64_t origin)
{
	struct pd_quota_use *use = calloc(1, sizeof(*use));

	if (!use)
		return NULL;
	use->report.origin = origin;
	use->report.account = bucket->hash;
	use->next = bucket->uses;
	bucket->uses = use;
	return use;
}

/* Whether this process knows nothing of the time before, because it has just started. */
static bool is_started_lately(const struct pd_quota *quota, int64_t now_us)
{
	return !quota->started_us || now_us - quota->started_us < RECENT_US;
}

/* Draws the number of a count that begins. */
static uint64_t new_origin(struct pd_quota *quota, int64_t now_us)
{
	uint64_t origin = next_random(quota) & ~(uint64_t)PD_QUOTA_ORIGIN_FRESH;

	return is_started_lately(quota, now_us) ? origin | PD_QUOTA_ORIGIN_FRESH : origin;
}

/* Returns the use by this instance. The count of an account that is forgotten and used again begins
 * anew, by another number than before. */
static struct pd_quota_use *get_own(struct pd_quota *quota, struct pd_quota_bucket *bucket,
				    int64_t now_us)
{
	if (!bucket->own) {
		bucket->own = add_use(bucket, new_origin(quota, now_us));
		bucket->interval = now_us / INTERVAL_US;
		if (bucket->own)
			bucket->own->local = true;
	}
	return bucket->own;
}

static uint64_t net_use(const struct pd_quota_report *report)
{
	return report->used > report->returned ? report->used - report->returned : 0;
}

/* Records the net use at the beginning of the intervals that have begun. */
static void advance_history(struct pd_quota_bucket *bucket, int64_t now_us)
{
	int64_t interval = now_us / INTERVAL_US;
	uint64_t oldest, net;

	if (!bucket->own)
		return;
	for (int i = 0; bucket->interval < interval && i < PD_QUOTA_HISTORY; i++)
		bucket->history[++bucket->interval % PD_QUOTA_HISTORY] =
			net_use(&bucket->own->report);
	bucket->interval = interval;
	oldest = bucket->history[(interval + 1) % PD_QUOTA_HISTORY];
	net = net_use(&bucket->own->report);
	bucket->own->report.recent = net > oldest ? net - oldest : 0;
}

static void mark_changed(struct pd_quota_bucket *bucket, struct pd_quota_use *use, int64_t now_us)
{
	use->changed_us = now_us;
	use->unsent = true;
	bucket->pending_until_us = now_us + RECENT_US;
}

static double low_tokens(const struct pd_quota *quota, const struct pd_quota_bucket *bucket)
{
	double low = fmax(LOW_TOKENS, LOW_S * rate_of(quota, bucket));

	return fmin(low, capacity_of(quota, bucket) / 2);
}

/* A bucket that was low counts as such until it has twice as many tokens, so that the followers
 * aren't told at each request.
 */
static enum pd_quota_level level_of(const struct pd_quota *quota,
				    const struct pd_quota_bucket *bucket)
{
	double low = low_tokens(quota, bucket);

	if (bucket->rate_per_s <= 0)
		return PD_QUOTA_ENOUGH;
	if (bucket->tokens < 1)
		return PD_QUOTA_EMPTY;
	return bucket->tokens < (bucket->shown == PD_QUOTA_ENOUGH ? low : 2 * low)
		       ? PD_QUOTA_LOW
		       : PD_QUOTA_ENOUGH;
}

/* Whether the followers have to be told of the level at once. That an empty bucket has tokens again
 * they know by themselves. */
static bool is_news(const struct pd_quota *quota, const struct pd_quota_bucket *bucket)
{
	enum pd_quota_level level = level_of(quota, bucket);

	return level > bucket->shown || (level == PD_QUOTA_ENOUGH && bucket->shown != level);
}

/* Returns the rate of requests, as a mean that forgets the older ones. */
static double demand_of(const struct pd_quota_bucket *bucket, int64_t now_us)
{
	return bucket->demand_per_s * exp(-elapsed_s(bucket->demand_us, now_us) / DEMAND_S);
}

static void add_demand(struct pd_quota_bucket *bucket, double requests, int64_t now_us)
{
	bucket->demand_per_s = demand_of(bucket, now_us) + requests / DEMAND_S;
	bucket->demand_us = now_us;
}

/* Returns the share of the requests that tokens and rate are enough for until the next news. When
 * an empty bucket has a token again, all instances would admit a request before they hear that
 * another one has used it.
 */
static double share_of(const struct pd_quota *quota, const struct pd_quota_bucket *bucket,
		       int64_t now_us)
{
	double interval_s = (double)NEWS_REPEAT_US / PD_USEC_PER_SEC;
	double tokens = fmax(bucket->tokens, 0) + rate_of(quota, bucket) * interval_s;
	double demand = demand_of(bucket, now_us) * interval_s;

	return demand > tokens ? tokens / demand : 1;
}

static void charge(struct pd_quota *quota, struct pd_quota_bucket *bucket, double tokens)
{
	bucket->tokens = fmin(bucket->tokens - tokens, capacity_of(quota, bucket));
	quota->news_due = quota->news_due || is_news(quota, bucket);
}

/* Returns the time of what this instance knows. */
static int64_t known_us(const struct pd_quota *quota)
{
	return quota->fleet.is_head ? quota->fleet_us : quota->heard_us;
}

/* Whether this instance knows too little to rely on its bucket. */
static bool is_silent(const struct pd_quota *quota, int64_t now_us)
{
	return !known_us(quota) || now_us - known_us(quota) > PD_QUOTA_SILENT_US;
}

/* Returns the tokens by the last news. */
static double news_tokens(const struct pd_quota_bucket *bucket, int64_t now_us)
{
	double tokens = bucket->news.tokens - bucket->used_since +
			elapsed_s(bucket->news_us, now_us) * bucket->news.rate_per_s;

	return fmin(tokens, fmax(1, bucket->burst));
}

/* Returns the token, or none, that an instance has for an account when its source becomes silent.
 * If burst and what the bound allows beyond it aren't enough for one at each instance, most of them
 * have one.
 */
static double first_solo_token(struct pd_quota *quota, const struct pd_quota_bucket *bucket)
{
	if ((double)quota->fleet.instances <= bucket->burst + bucket->spare)
		return 1;
	return next_uniform(quota) < SOLO_SHARE;
}

/* Returns the tokens of an instance whose source is silent. The first request of an account that
 * wasn't used here lately is admitted, because most accounts send few; all instances together then
 * get the rate of the quota. */
static double *solo_tokens(struct pd_quota *quota, struct pd_quota_bucket *bucket, int64_t now_us)
{
	int64_t silence_us = known_us(quota);
	double rate = bucket->rate_per_s / fmax(1, (double)quota->fleet.instances);

	if (!bucket->solo_us || bucket->silence_us != silence_us) {
		advance_history(bucket, now_us);
		bucket->solo_tokens = bucket->low || bucket->shown != PD_QUOTA_ENOUGH ||
						      (bucket->own && bucket->own->report.recent)
					      ? 0
					      : first_solo_token(quota, bucket);
		bucket->silence_us = silence_us;
	} else {
		bucket->solo_tokens += elapsed_s(bucket->solo_us, now_us) * rate;
	}
	bucket->solo_tokens = fmin(bucket->solo_tokens, 1);
	bucket->solo_us = now_us;
	return &bucket->solo_tokens;
}

/* Returns the share of the requests that are admitted while there are tokens. */
static double share_now(const struct pd_quota *quota, const struct pd_quota_bucket *bucket,
			int64_t now_us)
{
	if (quota->fleet.is_head)
		return bucket->shown != PD_QUOTA_ENOUGH ? share_of(quota, bucket, now_us) : 1;
	return bucket->low ? bucket->news.share : 1;
}

/* Returns the tokens that a request may use now. */
static double tokens_now(struct pd_quota *quota, struct pd_quota_bucket *bucket, int64_t now_us)
{
	if (is_silent(quota, now_us))
		return fmin(bucket->tokens, *solo_tokens(quota, bucket, now_us));
	if (!quota->fleet.is_head && bucket->low && now_us - bucket->news_us > NEWS_TIMEOUT_US)
		bucket->low = false;
	if (!quota->fleet.is_head && bucket->low)
		return fmin(bucket->tokens, news_tokens(bucket, now_us));
	return bucket->tokens;
}

/* Returns the time in which so many tokens are added. */
static int64_t token_wait_us(double tokens, double rate_per_s)
{
	double wait_us = tokens / rate_per_s * PD_USEC_PER_SEC;

	return wait_us < WAIT_MAX_US ? (int64_t)wait_us : WAIT_MAX_US;
}

/* Reserves the next token that wasn't promised to another client; returns when it is there. */
static int64_t promise(struct pd_quota_bucket *bucket, double tokens, double rate_per_s,
		       double clients, int64_t now_us)
{
	int64_t first_us = now_us + token_wait_us(fmax(0, clients - tokens), rate_per_s);
	bool is_long = bucket->promised_us > now_us + ROOM_AFTER_US;
	int64_t after_us = bucket->promised_us +
			   token_wait_us(clients, is_long ? rate_per_s * ROOM_SHARE : rate_per_s);

	if (bucket->promised_us <= now_us || after_us < first_us)
		after_us = first_us;
	if (after_us > first_us + QUEUE_MAX_US)
		after_us = first_us + QUEUE_MAX_US;
	bucket->promised_us = after_us;
	return after_us;
}

/* Returns the rate by which clients return. A head that has just become one hears of the others
 * within RECENT_US, so that the small part that it has until then, and that it states to its
 * followers, says little of the time after: a wait by the part of 1 of 130 instances was 1,227 s.
 */
static double return_rate(const struct pd_quota *quota, const struct pd_quota_bucket *bucket,
			  int64_t now_us)
{
	bool follows_news = !quota->fleet.is_head && bucket->low;
	int64_t since_us = follows_news ? quota->news_head_us : quota->head_since_us;
	double rate = follows_news ? bucket->news.rate_per_s : rate_of(quota, bucket);

	if ((quota->fleet.is_head || follows_news) && now_us - since_us < RECENT_US)
		rate = bucket->rate_per_s;
	return fmax(rate, RATE_MIN_PER_S);
}

/* Returns the time to wait of a refused request. Other instances may promise the same tokens until
 * they hear of each other, so that up to a quarter is added at random, and at least the time of one
 * token. */
static int64_t time_to_return(struct pd_quota *quota, struct pd_quota_bucket *bucket, double tokens,
			      int64_t now_us)
{
	double rate = return_rate(quota, bucket, now_us);
	int64_t wait_us, spread_us;

	if (is_silent(quota, now_us)) {
		wait_us = SILENT_WAIT_US;
		spread_us = SILENT_WAIT_US / 2;
	} else {
		wait_us = promise(bucket, tokens, rate, 1, now_us) - now_us;
		spread_us = token_wait_us(1, rate);
		if (spread_us < wait_us / 4)
			spread_us = wait_us / 4;
	}
	wait_us += (int64_t)(next_uniform(quota) * (double)spread_us);
	return wait_us < WAIT_MAX_US ? wait_us : WAIT_MAX_US;
}

static int64_t refuse(struct pd_quota *quota, struct pd_quota_bucket *bucket, double tokens,
		      int64_t now_us)
{
	struct pd_quota_use *own = get_own(quota, bucket, now_us);

	if (own) {
		own->report.refused++;
		add_demand(bucket, 1, now_us);
		bucket->pending_until_us = now_us + RECENT_US;
	}
	return time_to_return(quota, bucket, tokens, now_us);
}

/* Returns the rate that tokens_now() adds tokens by. */
static double rate_now(const struct pd_quota *quota, const struct pd_quota_bucket *bucket,
		       int64_t now_us)
{
	if (is_silent(quota, now_us))
		return bucket->rate_per_s / fmax(1, (double)quota->fleet.instances);
	if (!quota->fleet.is_head && bucket->low)
		return bucket->news.rate_per_s;
	return rate_of(quota, bucket);
}

/* Decides on a request by what this instance knows, without the time to wait. */
static struct pd_quota_verdict verdict_of(struct pd_quota *quota, struct pd_quota_bucket *bucket,
					  int64_t now_us)
{
	struct pd_quota_verdict verdict = {.basis = PD_QUOTA_BASIS_NOT_LOW};

	if (is_silent(quota, now_us))
		verdict.basis = PD_QUOTA_BASIS_SILENT;
	/* News that are too old end here. */
	verdict.tokens = tokens_now(quota, bucket, now_us);
	verdict.share = share_now(quota, bucket, now_us);
	verdict.rate_per_s = rate_now(quota, bucket, now_us);
	verdict.admitted = next_uniform(quota) < verdict.share && verdict.tokens >= 1;
	return verdict;
}

struct pd_quota_verdict pd_quota_admit(struct pd_quota *quota, const struct pd_account *account,
				       int64_t now_us)
{
	struct pd_quota_verdict verdict = {.admitted = true};
	struct pd_quota_bucket *bucket;

	if (account->rate_per_s <= 0)
		return verdict;
	pthread_mutex_lock(&quota->lock);
	bucket = get_bucket(quota, account->hash, now_us);
	if (bucket && bucket->rate_per_s > 0) {
		verdict = verdict_of(quota, bucket, now_us);
		if (!verdict.admitted)
			verdict.wait_us = refuse(quota, bucket, fmin(verdict.tokens, 0), now_us);
	}
	pthread_mutex_unlock(&quota->lock);
	return verdict;
}

double pd_quota_limit_per_s(struct pd_quota *quota, const struct pd_account *account)
{
	const struct pd_quota_limit *limit;
	double rate_per_s;

	pthread_mutex_lock(&quota->lock);
	limit = find_limit(quota, account->hash);
	rate_per_s = limit ? limit->rate_per_s : 0;
	pthread_mutex_unlock(&quota->lock);
	return rate_per_s;
}

/* Whether few tokens are left, as far as it is known here. A head that has just become one knows
 * little of the use until now: where all instances restart, each of them is a head at first, and
 * their buckets together would allow more than the quota. */
static bool is_low(const struct pd_quota *quota, const struct pd_quota_bucket *bucket,
		   int64_t now_us)
{
	if (quota->fleet.is_head)
		return level_of(quota, bucket) != PD_QUOTA_ENOUGH ||
		       now_us - quota->head_since_us < RECENT_US;
	return bucket->low && now_us - bucket->news_us <= NEWS_TIMEOUT_US;
}

bool pd_quota_ask(struct pd_quota *quota, const struct pd_account *account,
		  struct pd_quota_ask *ask, int64_t now_us)
{
	struct pd_quota_bucket *bucket;
	struct pd_quota_use *own = NULL;

	if (account->rate_per_s <= 0)
		return false;
	pthread_mutex_lock(&quota->lock);
	bucket = get_bucket(quota, account->hash, now_us);
	if (bucket && bucket->rate_per_s > 0 && !is_silent(quota, now_us) &&
	    is_low(quota, bucket, now_us))
		own = get_own(quota, bucket, now_us);
	if (own)
		*ask = (struct pd_quota_ask){.account = account->hash,
					     .origin = own->report.origin,
					     .nonce = next_random(quota)};
	pthread_mutex_unlock(&quota->lock);
	return own != NULL;
}

uint64_t pd_quota_owner_weight(uint64_t account, uint64_t head)
{
	/* The finalizer of splitmix64. */
	uint64_t weight = account ^ (head * 0x9e3779b97f4a7c15ULL);

	weight = (weight ^ weight >> 30) * 0xbf58476d1ce4e5b9ULL;
	weight = (weight ^ weight >> 27) * 0x94d049bb133111ebULL;
	return weight ^ weight >> 31;
}

static const struct pd_quota_answer *find_answer(const struct pd_quota_use *use, uint64_t nonce)
{
	for (size_t i = 0; i < PD_QUOTA_ASKS_MAX; i++) {
		if (use->answers[i].nonce == nonce)
			return &use->answers[i];
	}
	return NULL;
}

/* Takes back the requests that an instance was granted and hasn't reported in time: it didn't use
 * them. Those that it reports later are charged then. */
static void expire_grants(struct pd_quota *quota, struct pd_quota_bucket *bucket,
			  struct pd_quota_use *use, int64_t now_us)
{
	if (now_us - use->granted_us < GRANT_US)
		return;
	if (use->granted[1])
		charge(quota, bucket, -(double)use->granted[1]);
	use->granted[1] = use->granted[0];
	use->granted[0] = 0;
	use->granted_us = now_us;
}

/* Matches requests that an instance reports with those that it was granted, which are charged.
 * Returns the number of these. */
static double match_grants(struct pd_quota_use *use, uint64_t requests)
{
	uint64_t matched = 0;

	for (int i = 1; i >= 0; i--) {
		uint64_t left = requests - matched;
		uint64_t part = use->granted[i] < left ? use->granted[i] : left;

		use->granted[i] -= part;
		matched += part;
	}
	return (double)matched;
}

static struct pd_quota_verdict decide(struct pd_quota *quota, struct pd_quota_bucket *bucket,
				      struct pd_quota_use *use, int64_t now_us)
{
	struct pd_quota_verdict verdict = {.admitted = bucket->tokens >= 1,
					   .basis = PD_QUOTA_BASIS_OWNER,
					   .rate_per_s = rate_of(quota, bucket),
					   .tokens = bucket->tokens,
					   .share = 1};

	add_demand(bucket, 1, now_us);
	if (!verdict.admitted) {
		verdict.wait_us = time_to_return(quota, bucket, fmin(bucket->tokens, 0), now_us);
		return verdict;
	}
	expire_grants(quota, bucket, use, now_us);
	use->granted[0]++;
	charge(quota, bucket, 1);
	return verdict;
}

bool pd_quota_decide(struct pd_quota *quota, const struct pd_quota_ask *ask,
		     struct pd_quota_verdict *verdict, int64_t now_us)
{
	struct pd_quota_bucket *bucket = NULL;
	struct pd_quota_use *use = NULL;
	const struct pd_quota_answer *answer;

	pthread_mutex_lock(&quota->lock);
	if (quota->fleet.is_head && !is_silent(quota, now_us) && ask->nonce &&
	    find_limit(quota, ask->account))
		bucket = get_bucket(quota, ask->account, now_us);
	if (bucket && bucket->rate_per_s > 0) {
		use = find_use(bucket, ask->origin);
		if (!use)
			use = add_use(bucket, ask->origin);
	}
	if (use) {
		use->asked_us = now_us;
		answer = find_answer(use, ask->nonce);
		if (answer) {
			*verdict = answer->verdict;
		} else {
			*verdict = decide(quota, bucket, use, now_us);
			use->answers[use->answer_count++ % PD_QUOTA_ASKS_MAX] =
				(struct pd_quota_answer){ask->nonce, *verdict};
		}
	}
	pthread_mutex_unlock(&quota->lock);
	return use != NULL;
}

/* Counts @used requests that were sent and @returned that didn't run. */
static void count(struct pd_quota *quota, uint64_t account, uint64_t used, uint64_t returned,
		  int64_t now_us)
{
	double tokens = (double)used - (double)returned;
	struct pd_quota_bucket *bucket;
	struct pd_quota_use *own;

	pthread_mutex_lock(&quota->lock);
	bucket = get_bucket(quota, account, now_us);
	own = bucket ? get_own(quota, bucket, now_us) : NULL;
	if (own) {
		advance_history(bucket, now_us);
		add_demand(bucket, (double)used, now_us);
		own->report.used += used;
		own->report.returned += returned;
		bucket->used_since += tokens;
		charge(quota, bucket, tokens - match_grants(own, used));
		if (is_silent(quota, now_us))
			*solo_tokens(quota, bucket, now_us) -= tokens;
		mark_changed(bucket, own, now_us);
	}
	pthread_mutex_unlock(&quota->lock);
}

void pd_quota_count(struct pd_quota *quota, const struct pd_account *account, int64_t now_us)
{
	count(quota, account->hash, 1, 0, now_us);
}

void pd_quota_return(struct pd_quota *quota, const struct pd_account *account, int64_t now_us)
{
	count(quota, account->hash, 0, 1, now_us);
}

void pd_quota_give_back(struct pd_quota *quota, uint64_t account, int64_t now_us)
{
	/* The owner matches the use with the grant, and charges it if there is none left. */
	count(quota, account, 1, 1, now_us);
}

/* Whether all use that a report states was sent by a process that has just started. */
static bool is_fresh(const struct pd_quota_report *report)
{
	return (report->origin & PD_QUOTA_ORIGIN_FRESH) && net_use(report) <= report->recent;
}

/* Charges what a report adds, except what was charged when it was granted. Of a use that wasn't
 * heard of for a while, only the recent part is charged, since the tokens of the time before
 * weren't used here either; and the credit first, if this is the first report of it since this head
 * hears more of the others. The credit is for tokens of the time before. Where instances have just
 * started, what was used before is forgotten with their processes, and they report only what they
 * have sent since: with the credit, an account got it in addition, 25 requests for a rate of 20,
 * when all instances restart.
 */
static void charge_report(struct pd_quota *quota, struct pd_quota_bucket *bucket,
			  struct pd_quota_use *use, const struct pd_quota_report *report,
			  int64_t now_us)
{
	bool is_new = !use->heard_us;
	double added = (double)net_use(report) - (double)net_use(&use->report);
	double granted = match_grants(use, report->used - use->report.used);
	double tokens = fmin(added, (double)report->recent) - granted;

	if (tokens > 0 && has_credit(quota, now_us) && use->heard_us < quota->widened_us &&
	    !(is_new && is_fresh(report))) {
		double credit = fmin(tokens, bucket->credit);

		bucket->credit -= credit;
		tokens -= credit;
	}
	if (tokens > 0 || !is_new || granted > 0)
		charge(quota, bucket, tokens);
}

/* Returns the number of requests that a report adds to the recent demand. */
static double new_requests(const struct pd_quota_use *use, const struct pd_quota_report *report)
{
	if (!use->heard_us)
		return (double)report->recent * DEMAND_S * PD_USEC_PER_SEC / RECENT_US;
	return (double)(report->used - use->report.used) +
	       (double)(report->refused - use->report.refused);
}

static uint64_t larger(uint64_t a, uint64_t b)
{
	return a > b ? a : b;
}

void pd_quota_receive_report(struct pd_quota *quota, const struct pd_quota_report *report,
			     bool local, int64_t now_us)
{
	struct pd_quota_bucket *bucket;
	struct pd_quota_use *use;
	struct pd_quota_report merged;

	pthread_mutex_lock(&quota->lock);
	bucket = get_bucket(quota, report->account, now_us);
	use = bucket ? find_use(bucket, report->origin) : NULL;
	if (bucket && !use)
		use = add_use(bucket, report->origin);
	if (!use || use == bucket->own) {
		pthread_mutex_unlock(&quota->lock);
		return;
	}
	merged = *report;
	merged.used = larger(report->used, use->report.used);
	merged.returned = larger(report->returned, use->report.returned);
	merged.refused = larger(report->refused, use->report.refused);
	add_demand(bucket, new_requests(use, &merged), now_us);
	if (use->heard_us && merged.refused > use->report.refused && bucket->rate_per_s > 0)
		promise(bucket, bucket->tokens, return_rate(quota, bucket, now_us),
			(double)(merged.refused - use->report.refused), now_us);
	if (merged.used > use->report.used || merged.returned > use->report.returned) {
		charge_report(quota, bucket, use, &merged, now_us);
		use->local = local;
		mark_changed(bucket, use, now_us);
		use->report = merged;
	} else if (merged.refused > use->report.refused) {
		use->report.refused = merged.refused;
		bucket->pending_until_us = now_us + RECENT_US;
	}
	use->heard_us = now_us;
	pthread_mutex_unlock(&quota->lock);
}

/* Whether @news were sent before those that were received last, or are the same. */
static bool is_outdated(const struct pd_quota_news *last, const struct pd_quota_news *news)
{
	return news->head == last->head && news->sequence <= last->sequence;
}

void pd_quota_receive_news(struct pd_quota *quota, const struct pd_quota_news *news, int64_t now_us)
{
	struct pd_quota_bucket *bucket;

	pthread_mutex_lock(&quota->lock);
	quota->heard_us = now_us;
	if (!quota->news_head_us || news->head != quota->news_head) {
		quota->news_head = news->head;
		quota->news_head_us = now_us;
	}
	bucket =
		news->low ? get_bucket(quota, news->account, now_us) : lookup(quota, news->account);
	if (bucket && !quota->fleet.is_head && !is_outdated(&bucket->news, news)) {
		bucket->low = news->low;
		bucket->news = *news;
		bucket->news_us = now_us;
		bucket->used_since = 0;
		if (news->low && now_us + news->promised_us > bucket->promised_us)
			bucket->promised_us = now_us + news->promised_us;
	}
	pthread_mutex_unlock(&quota->lock);
}

/* Whether the use has to be sent on now. */
static bool is_due(const struct pd_quota *quota, const struct pd_quota_bucket *bucket,
		   const struct pd_quota_use *use, int64_t now_us)
{
	int64_t repeat_us = REPEAT_US;

	if (!use->local)
		return false;
	if (quota->fleet.is_head) {
		repeat_us = 2 * (use->sent_us - use->changed_us);
		if (repeat_us < SHARE_REPEAT_US)
			repeat_us = SHARE_REPEAT_US;
	}
	if (use->unsent)
		return !quota->fleet.is_head || now_us - quota->reports_us >= SHARE_US ||
		       bucket->tokens < capacity_of(quota, bucket) / 2;
	return now_us - use->sent_us >= repeat_us &&
	       (now_us - use->changed_us < RECENT_US || use->report.refused > use->refused_sent);
}

static size_t take_bucket_reports(struct pd_quota *quota, struct pd_quota_bucket *bucket,
				  struct pd_quota_report *reports, size_t max, int64_t now_us)
{
	size_t taken = 0;

	update(quota, bucket, now_us);
	for (struct pd_quota_use *use = bucket->uses; use && taken < max; use = use->next) {
		if (!is_due(quota, bucket, use, now_us))
			continue;
		if (use == bucket->own)
			advance_history(bucket, now_us);
		reports[taken++] = use->report;
		use->sent_us = now_us;
		use->unsent = false;
		use->refused_sent = use->report.refused;
	}
	return taken;
}

size_t pd_quota_take_reports(struct pd_quota *quota, struct pd_quota_report *reports, size_t max,
			     int64_t now_us)
{
	size_t taken = 0;

	pthread_mutex_lock(&quota->lock);
	for (size_t i = 0; i < quota->slot_count && taken < max; i++) {
		for (struct pd_quota_bucket *bucket = quota->slots[i]; bucket && taken < max;
		     bucket = bucket->next) {
			if (now_us <= bucket->pending_until_us)
				taken += take_bucket_reports(quota, bucket, reports + taken,
							     max - taken, now_us);
		}
	}
	/* With more reports than fit, the others follow at once. */
	if (taken < max && now_us - quota->reports_us >= SHARE_US)
		quota->reports_us = now_us;
	pthread_mutex_unlock(&quota->lock);
	return taken;
}

static bool take_bucket_news(const struct pd_quota *quota, struct pd_quota_bucket *bucket,
			     struct pd_quota_news *news, int64_t now_us)
{
	enum pd_quota_level level;
	bool due;

	update(quota, bucket, now_us);
	level = level_of(quota, bucket);
	due = is_news(quota, bucket) ||
	      (level != PD_QUOTA_ENOUGH && now_us - bucket->shown_us >= NEWS_REPEAT_US);
	bucket->shown = level;
	if (!due)
		return false;
	bucket->shown_us = now_us;
	*news = (struct pd_quota_news){
		.account = bucket->hash,
		.low = level != PD_QUOTA_ENOUGH,
		.tokens = bucket->tokens,
		.rate_per_s = rate_of(quota, bucket),
		.promised_us = bucket->promised_us > now_us ? bucket->promised_us - now_us : 0,
		.share = share_of(quota, bucket, now_us),
	};
	return true;
}

size_t pd_quota_take_news(struct pd_quota *quota, struct pd_quota_news *news, size_t max,
			  bool urgent, int64_t now_us)
{
	size_t taken = 0;

	pthread_mutex_lock(&quota->lock);
	if (quota->fleet.is_head && (!urgent || quota->news_due)) {
		for (size_t i = 0; i < quota->slot_count && taken < max; i++) {
			for (struct pd_quota_bucket *bucket = quota->slots[i];
			     bucket && taken < max; bucket = bucket->next)
				taken += take_bucket_news(quota, bucket, &news[taken], now_us);
		}
		quota->news_due = taken == max;
	}
	pthread_mutex_unlock(&quota->lock);
	return taken;
}

/* Removes the uses, and then the account, that weren't in use for so long that they can't matter.
 */
static bool is_idle(struct pd_quota *quota, struct pd_quota_bucket *bucket, int64_t now_us)
{
	struct pd_quota_use **link = &bucket->uses;

	while (*link) {
		struct pd_quota_use *use = *link;

		expire_grants(quota, bucket, use, now_us);
		if (use == bucket->own || now_us - use->heard_us < IDLE_US ||
		    now_us - use->asked_us < IDLE_US) {
			link = &use->next;
			continue;
		}
		*link = use->next;
		free(use);
	}
	return now_us - bucket->active_us >= IDLE_US && !bucket->low &&
	       bucket->promised_us <= now_us;
}

static void prune(struct pd_quota *quota, int64_t now_us)
{
	for (size_t i = 0; i < quota->slot_count; i++) {
		struct pd_quota_bucket **link = &quota->slots[i];

		while (*link) {
			struct pd_quota_bucket *bucket = *link;

			update(quota, bucket, now_us);
			if (!is_idle(quota, bucket, now_us) ||
			    (bucket->rate_per_s > 0 &&
			     bucket->tokens < capacity_of(quota, bucket))) {
				link = &bucket->next;
				continue;
			}
			*link = bucket->next;
			free_bucket(bucket);
			quota->bucket_count--;
		}
	}
	quota->pruned_us = now_us;
}

static void apply_limit(const struct pd_quota *quota, struct pd_quota_bucket *bucket,
			int64_t now_us)
{
	const struct pd_quota_limit *limit = find_limit(quota, bucket->hash);
	bool was_limited = bucket->rate_per_s > 0;

	update(quota, bucket, now_us);
	bucket->rate_per_s = limit ? limit->rate_per_s : 0;
	bucket->burst = limit ? limit->burst : 0;
	bucket->spare = limit ? limit->spare : 0;
	bucket->tokens = was_limited ? fmin(bucket->tokens, capacity_of(quota, bucket))
				     : capacity_of(quota, bucket);
}

static struct pd_quota_limit limit_of(const struct pd_quota_bounds *bounds,
				      const struct pd_account *account)
{
	double rate = pd_quota_enforced_rate(bounds, account->rate_per_s, account->burst);

	return (struct pd_quota_limit){
		.hash = account->hash,
		.rate_per_s = rate,
		.burst = account->burst,
		.spare = allowed_excess(bounds, account->rate_per_s, account->burst) -
			 (rate - account->rate_per_s) * bounds->window_s,
	};
}

void pd_quota_set_limits(struct pd_quota *quota, const struct pd_account *accounts, size_t count_,
			 int64_t now_us)
{
	struct pd_quota_limit *limits = calloc(count_ + 1, sizeof(*limits));

	if (!limits) {
		pd_log(PD_LOG_ERROR, "quotas_not_changed", "reason=no_memory");
		return;
	}
	for (size_t i = 0; i < count_; i++)
		limits[i] = limit_of(&quota->bounds, &accounts[i]);
	qsort(limits, count_, sizeof(*limits), compare_limits);
	pthread_mutex_lock(&quota->lock);
	free(quota->limits);
	quota->limits = limits;
	quota->limit_count = count_;
	for (size_t i = 0; i < quota->slot_count; i++) {
		for (struct pd_quota_bucket *bucket = quota->slots[i]; bucket;
		     bucket = bucket->next)
			apply_limit(quota, bucket, now_us);
	}
	pthread_mutex_unlock(&quota->lock);
}

/* Adapts a bucket to a change of the fleet, of which @before is the state until now. With @joins,
 * this head has just started and hears most of the others for the first time. */
static void adapt_bucket(struct pd_quota *quota, struct pd_quota_bucket *bucket,
			 const struct pd_quota_fleet *before, bool joins, int64_t now_us)
{
	const struct pd_quota_fleet after = quota->fleet;
	bool begins = after.is_head && !before->is_head;
	double rate_before;

	quota->fleet = *before;
	update(quota, bucket, now_us);
	rate_before = rate_of(quota, bucket);
	quota->fleet = after;
	/* The others of a partition divide the tokens, too. */
	if (!begins && after.is_head && bucket->tokens > 0 && rate_of(quota, bucket) < rate_before)
		bucket->tokens *= rate_of(quota, bucket) / rate_before;
	if (begins)
		rate_before = 0;
	if (begins) {
		if (bucket->low)
			bucket->tokens = fmin(bucket->tokens, news_tokens(bucket, now_us));
		if (bucket->solo_us && bucket->silence_us == quota->heard_us)
			bucket->tokens = fmin(bucket->tokens, bucket->solo_tokens);
		bucket->tokens = fmin(bucket->tokens, first_tokens(quota, bucket));
		bucket->credit = 0;
		bucket->low = false;
	}
	/* A head that has just started had the rate of one instance until it hears the others. What
	 * they have sent since it started is charged. */
	if (joins && rate_of(quota, bucket) > rate_before)
		bucket->tokens += (rate_of(quota, bucket) - rate_before) *
				  elapsed_s(quota->head_since_us, now_us);
	bucket->tokens = fmin(bucket->tokens, capacity_of(quota, bucket));
	/* When a partition heals, a half is enough: the use of the other side in that time is
	 * below its rate, except that of an account that is over its quota.
	 */
	if (after.is_head && rate_of(quota, bucket) > rate_before) {
		double recent_s = (double)RECENT_US / PD_USEC_PER_SEC;

		bucket->credit +=
			(rate_of(quota, bucket) - rate_before) * (begins ? CREDIT_S : recent_s / 2);
		bucket->credit = fmin(bucket->credit, rate_of(quota, bucket) * recent_s);
	}
	if (after.links == before->links)
		return;
	/* Those that are heard for the first time need to know what was used lately. */
	for (struct pd_quota_use *use = bucket->uses; use; use = use->next) {
		if (use->local && now_us - use->changed_us < RECENT_US)
			use->unsent = true;
	}
}

static bool same_fleet(const struct pd_quota_fleet *a, const struct pd_quota_fleet *b)
{
	return a->is_head == b->is_head && a->in_part == b->in_part && a->zones == b->zones &&
	       a->zones_heard == b->zones_heard && a->heard_instances == b->heard_instances &&
	       a->heard_covered == b->heard_covered && a->links == b->links;
}

/* Whether a head hears more of the other instances than before. */
static bool is_wider(const struct pd_quota_fleet *fleet, const struct pd_quota_fleet *before)
{
	return fleet->zones_heard > before->zones_heard ||
	       (fleet->heard_covered > before->heard_covered &&
		2 * before->heard_covered < before->heard_instances);
}

/* Ends the credits of a time that has passed. Without that, one that was hardly used was there at
 * the end of a partition much later, in addition to that of the partition. */
static void drop_credits(struct pd_quota *quota)
{
	for (size_t i = 0; i < quota->slot_count; i++) {
		for (struct pd_quota_bucket *bucket = quota->slots[i]; bucket;
		     bucket = bucket->next)
			bucket->credit = 0;
	}
}

void pd_quota_set_fleet(struct pd_quota *quota, const struct pd_quota_fleet *fleet, int64_t now_us)
{
	struct pd_quota_fleet before;
	bool joins;

	pthread_mutex_lock(&quota->lock);
	before = quota->fleet;
	quota->fleet = *fleet;
	fleet = &quota->fleet;
	if (!quota->fleet.in_part)
		quota->in_part_us = 0;
	else if (!quota->in_part_us)
		quota->in_part_us = now_us;
	quota->fleet.in_part = quota->fleet.in_part && now_us - quota->in_part_us >= IN_PART_US;
	if (!has_credit(quota, now_us))
		drop_credits(quota);
	joins = !quota->joined && fleet->is_head && covered_part(fleet) >= 0.5;
	quota->joined = quota->joined || joins || !fleet->is_head;
	if (!quota->started_us)
		quota->started_us = now_us;
	if (fleet->is_head && !before.is_head)
		quota->head_since_us = now_us;
	if (!fleet->is_head && before.is_head)
		quota->heard_us = quota->fleet_us;
	if (fleet->source_heard_us > quota->heard_us)
		quota->heard_us = fleet->source_heard_us;
	quota->fleet_us = now_us;
	if (fleet->is_head && (!before.is_head || is_wider(fleet, &before)))
		quota->widened_us = now_us;
	for (size_t i = 0; i < quota->slot_count && !same_fleet(fleet, &before); i++) {
		for (struct pd_quota_bucket *bucket = quota->slots[i]; bucket;
		     bucket = bucket->next)
			adapt_bucket(quota, bucket, &before, joins, now_us);
	}
	if (now_us - quota->pruned_us >= PRUNE_US)
		prune(quota, now_us);
	pthread_mutex_unlock(&quota->lock);
}
