#include "quota_private.h"

#include <math.h>
#include <stdlib.h>

#define SLOTS_MIN 64
/* Tokens with which a bucket starts at a head that has just become one: enough for the few requests
 * of a usual account until the others are heard. */
#define FIRST_TOKENS 2.0
#define INTERVAL_US  (PD_QUOTA_RECENT_US / PD_QUOTA_HISTORY)
/* Time in which the followers of a new head, or the heads of a zone that is heard again, report. */
#define CREDIT_US (1000 * PD_USEC_PER_MSEC)
/* A bucket has few tokens if they last for less than the interval of the news at the quota's rate.
 */
#define LOW_S	   0.25
#define LOW_TOKENS 2.0
/* Part of the allowed excess that requests may take up that are sent before an instance hears that
 * a bucket is empty; the other part is for instances that are cut off. */
#define LAG_SHARE 0.5

uint64_t pd_quota_random_locked(struct pd_quota *quota)
{
	/* xorshift64 */
	quota->random_state ^= quota->random_state << 13;
	quota->random_state ^= quota->random_state >> 7;
	quota->random_state ^= quota->random_state << 17;
	return quota->random_state;
}

double pd_quota_uniform_locked(struct pd_quota *quota)
{
	return (double)(pd_quota_random_locked(quota) >> 11) * 0x1p-53;
}

double pd_quota_covered_part(const struct pd_quota_fleet *fleet)
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
	covered = pd_quota_covered_part(fleet);
	if (covered >= 0.5 || quota_in_window <= 0)
		return zones;
	excess = LAG_SHARE * bucket->spare / quota_in_window;
	return zones * covered * fmin(1, 2 * excess);
}

double pd_quota_rate_locked(const struct pd_quota *quota, const struct pd_quota_bucket *bucket)
{
	return bucket->rate_per_s * part_of(quota, bucket);
}

double pd_quota_capacity_locked(const struct pd_quota *quota, const struct pd_quota_bucket *bucket)
{
	return fmax(1, bucket->burst * part_of(quota, bucket));
}

double pd_quota_elapsed_s(int64_t since_us, int64_t now_us)
{
	return now_us > since_us ? (double)(now_us - since_us) / PD_USEC_PER_SEC : 0;
}

void pd_quota_update_locked(const struct pd_quota *quota, struct pd_quota_bucket *bucket,
			    int64_t now_us)
{
	double added = pd_quota_elapsed_s(bucket->updated_us, now_us) *
		       pd_quota_rate_locked(quota, bucket);

	bucket->tokens = fmin(bucket->tokens + added, pd_quota_capacity_locked(quota, bucket));
	if (now_us > bucket->updated_us)
		bucket->updated_us = now_us;
}

int pd_quota_compare_limits(const void *a, const void *b)
{
	uint64_t left = ((const struct pd_quota_limit *)a)->hash;
	uint64_t right = ((const struct pd_quota_limit *)b)->hash;

	return (left > right) - (left < right);
}

const struct pd_quota_limit *pd_quota_find_limit_locked(const struct pd_quota *quota, uint64_t hash)
{
	const struct pd_quota_limit key = {.hash = hash};

	if (!quota->limit_count)
		return NULL;
	return bsearch(&key, quota->limits, quota->limit_count, sizeof(key),
		       pd_quota_compare_limits);
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

double pd_quota_first_tokens_locked(struct pd_quota *quota, const struct pd_quota_bucket *bucket)
{
	const struct pd_quota_fleet *fleet = &quota->fleet;
	double tokens;

	if (pd_quota_covered_part(fleet) >= 0.5 || !quota->heard_us || !fleet->instances)
		return FIRST_TOKENS;
	tokens = 3 * bucket->spare * (double)fleet->heard_covered / (double)fleet->instances;
	if (tokens < 1)
		return pd_quota_uniform_locked(quota) < tokens;
	return fmin(FIRST_TOKENS, tokens);
}

bool pd_quota_has_credit_locked(const struct pd_quota *quota, int64_t now_us)
{
	return quota->widened_us && now_us - quota->widened_us < CREDIT_US;
}

/* Sets the tokens of a new bucket: the whole burst at a follower, whose head knows better, and at a
 * head as far as it has seen the use for long enough.
 */
static void fill_first(struct pd_quota *quota, struct pd_quota_bucket *bucket, int64_t now_us)
{
	double rate = pd_quota_rate_locked(quota, bucket);

	bucket->tokens = pd_quota_capacity_locked(quota, bucket);
	bucket->updated_us = now_us;
	if (!quota->fleet.is_head)
		return;
	bucket->tokens = fmin(bucket->tokens,
			      pd_quota_first_tokens_locked(quota, bucket) +
				      rate * pd_quota_elapsed_s(quota->head_since_us, now_us));
	if (pd_quota_has_credit_locked(quota, now_us))
		bucket->credit = rate * PD_QUOTA_CREDIT_S;
}

struct pd_quota_bucket *pd_quota_lookup_locked(const struct pd_quota *quota, uint64_t hash)
{
	struct pd_quota_bucket *bucket =
		quota->slot_count ? quota->slots[hash & (quota->slot_count - 1)] : NULL;

	while (bucket && bucket->hash != hash)
		bucket = bucket->next;
	return bucket;
}

struct pd_quota_bucket *pd_quota_get_bucket_locked(struct pd_quota *quota, uint64_t hash,
						   int64_t now_us)
{
	struct pd_quota_bucket *bucket = pd_quota_lookup_locked(quota, hash);
	const struct pd_quota_limit *limit;

	if (bucket) {
		pd_quota_update_locked(quota, bucket, now_us);
		bucket->active_us = now_us;
		return bucket;
	}
	if (quota->bucket_count >= quota->slot_count && !grow_slots(quota))
		return NULL;
	bucket = calloc(1, sizeof(*bucket));
	if (!bucket)
		return NULL;
	bucket->hash = hash;
	limit = pd_quota_find_limit_locked(quota, hash);
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

struct pd_quota_use *pd_quota_find_use_locked(struct pd_quota_bucket *bucket, uint64_t origin)
{
	struct pd_quota_use *use = bucket->uses;

	while (use && use->report.origin != origin)
		use = use->next;
	return use;
}

struct pd_quota_use *pd_quota_add_use_locked(struct pd_quota_bucket *bucket, uint64_t origin)
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
	return !quota->started_us || now_us - quota->started_us < PD_QUOTA_RECENT_US;
}

/* Draws the number of a count that begins. */
static uint64_t new_origin(struct pd_quota *quota, int64_t now_us)
{
	uint64_t origin = pd_quota_random_locked(quota) & ~(uint64_t)PD_QUOTA_ORIGIN_FRESH;

	return is_started_lately(quota, now_us) ? origin | PD_QUOTA_ORIGIN_FRESH : origin;
}

struct pd_quota_use *pd_quota_get_own_locked(struct pd_quota *quota, struct pd_quota_bucket *bucket,
					     int64_t now_us)
{
	if (!bucket->own) {
		bucket->own = pd_quota_add_use_locked(bucket, new_origin(quota, now_us));
		bucket->interval = now_us / INTERVAL_US;
		if (bucket->own)
			bucket->own->local = true;
	}
	return bucket->own;
}

uint64_t pd_quota_net_use(const struct pd_quota_report *report)
{
	return report->used > report->returned ? report->used - report->returned : 0;
}

void pd_quota_advance_history_locked(struct pd_quota_bucket *bucket, int64_t now_us)
{
	int64_t interval = now_us / INTERVAL_US;
	uint64_t oldest, net;

	if (!bucket->own)
		return;
	for (int i = 0; bucket->interval < interval && i < PD_QUOTA_HISTORY; i++)
		bucket->history[++bucket->interval % PD_QUOTA_HISTORY] =
			pd_quota_net_use(&bucket->own->report);
	bucket->interval = interval;
	oldest = bucket->history[(interval + 1) % PD_QUOTA_HISTORY];
	net = pd_quota_net_use(&bucket->own->report);
	bucket->own->report.recent = net > oldest ? net - oldest : 0;
}

void pd_quota_mark_changed_locked(struct pd_quota_bucket *bucket, struct pd_quota_use *use,
				  int64_t now_us)
{
	use->changed_us = now_us;
	use->unsent = true;
	bucket->pending_until_us = now_us + PD_QUOTA_RECENT_US;
}

static double low_tokens(const struct pd_quota *quota, const struct pd_quota_bucket *bucket)
{
	double low = fmax(LOW_TOKENS, LOW_S * pd_quota_rate_locked(quota, bucket));

	return fmin(low, pd_quota_capacity_locked(quota, bucket) / 2);
}

enum pd_quota_level pd_quota_level_locked(const struct pd_quota *quota,
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

bool pd_quota_is_news_locked(const struct pd_quota *quota, const struct pd_quota_bucket *bucket)
{
	enum pd_quota_level level = pd_quota_level_locked(quota, bucket);

	return level > bucket->shown || (level == PD_QUOTA_ENOUGH && bucket->shown != level);
}

/* Returns the rate of requests, as a mean that forgets the older ones. */
static double demand_of(const struct pd_quota_bucket *bucket, int64_t now_us)
{
	return bucket->demand_per_s *
	       exp(-pd_quota_elapsed_s(bucket->demand_us, now_us) / PD_QUOTA_DEMAND_S);
}

void pd_quota_add_demand_locked(struct pd_quota_bucket *bucket, double requests, int64_t now_us)
{
	bucket->demand_per_s = demand_of(bucket, now_us) + requests / PD_QUOTA_DEMAND_S;
	bucket->demand_us = now_us;
}

double pd_quota_share_locked(const struct pd_quota *quota, const struct pd_quota_bucket *bucket,
			     int64_t now_us)
{
	double interval_s = (double)PD_QUOTA_NEWS_REPEAT_US / PD_USEC_PER_SEC;
	double tokens = fmax(bucket->tokens, 0) + pd_quota_rate_locked(quota, bucket) * interval_s;
	double demand = demand_of(bucket, now_us) * interval_s;

	return demand > tokens ? tokens / demand : 1;
}

void pd_quota_charge_locked(struct pd_quota *quota, struct pd_quota_bucket *bucket, double tokens)
{
	bucket->tokens = fmin(bucket->tokens - tokens, pd_quota_capacity_locked(quota, bucket));
	quota->news_due = quota->news_due || pd_quota_is_news_locked(quota, bucket);
}
