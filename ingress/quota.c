#include "quota.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "quota_private.h"

/* Part of the bound of a window that isn't used for a higher rate: RESERVE_S seconds of the
 * enforced rate and RESERVE_TOKENS. Fleets of the tests exceed their buckets by as much when an
 * account is noisy while heads fail, or while a part is cut off and returns. The excess is in
 * proportion to the rate that is enforced, since both sides of a partition use it until they
 * notice. */
#define RESERVE_S      1.45
#define RESERVE_TOKENS 4.0
/* Zones that hear each other in part are told from heads that notice a failure, or a new head, one
 * after the other, as they do within the interval and the timeout of HEAD. */
#define IN_PART_US (1000 * PD_USEC_PER_MSEC)
/* An account that isn't in use for this long has a full bucket again at any usual limit. */
#define IDLE_US	 (30 * PD_USEC_PER_SEC)
#define PRUNE_US PD_USEC_PER_SEC

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

/* Removes the uses, and then the account, that weren't in use for so long that they can't matter.
 */
static bool is_idle(struct pd_quota *quota, struct pd_quota_bucket *bucket, int64_t now_us)
{
	struct pd_quota_use **link = &bucket->uses;

	while (*link) {
		struct pd_quota_use *use = *link;

		pd_quota_expire_grants_locked(quota, bucket, use, now_us);
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

			pd_quota_update_locked(quota, bucket, now_us);
			if (!is_idle(quota, bucket, now_us) ||
			    (bucket->rate_per_s > 0 &&
			     bucket->tokens < pd_quota_capacity_locked(quota, bucket))) {
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
	const struct pd_quota_limit *limit = pd_quota_find_limit_locked(quota, bucket->hash);
	bool was_limited = bucket->rate_per_s > 0;

	pd_quota_update_locked(quota, bucket, now_us);
	bucket->rate_per_s = limit ? limit->rate_per_s : 0;
	bucket->burst = limit ? limit->burst : 0;
	bucket->spare = limit ? limit->spare : 0;
	bucket->tokens = was_limited ? fmin(bucket->tokens, pd_quota_capacity_locked(quota, bucket))
				     : pd_quota_capacity_locked(quota, bucket);
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
	qsort(limits, count_, sizeof(*limits), pd_quota_compare_limits);
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
	pd_quota_update_locked(quota, bucket, now_us);
	rate_before = pd_quota_rate_locked(quota, bucket);
	quota->fleet = after;
	/* The others of a partition divide the tokens, too. */
	if (!begins && after.is_head && bucket->tokens > 0 &&
	    pd_quota_rate_locked(quota, bucket) < rate_before)
		bucket->tokens *= pd_quota_rate_locked(quota, bucket) / rate_before;
	if (begins)
		rate_before = 0;
	if (begins) {
		if (bucket->low)
			bucket->tokens =
				fmin(bucket->tokens, pd_quota_news_tokens_locked(bucket, now_us));
		if (bucket->solo_us && bucket->silence_us == quota->heard_us)
			bucket->tokens = fmin(bucket->tokens, bucket->solo_tokens);
		bucket->tokens = fmin(bucket->tokens, pd_quota_first_tokens_locked(quota, bucket));
		bucket->credit = 0;
		bucket->low = false;
	}
	/* A head that has just started had the rate of one instance until it hears the others. What
	 * they have sent since it started is charged. */
	if (joins && pd_quota_rate_locked(quota, bucket) > rate_before)
		bucket->tokens += (pd_quota_rate_locked(quota, bucket) - rate_before) *
				  pd_quota_elapsed_s(quota->head_since_us, now_us);
	bucket->tokens = fmin(bucket->tokens, pd_quota_capacity_locked(quota, bucket));
	/* When a partition heals, a half is enough: the use of the other side in that time is
	 * below its rate, except that of an account that is over its quota.
	 */
	if (after.is_head && pd_quota_rate_locked(quota, bucket) > rate_before) {
		double recent_s = (double)PD_QUOTA_RECENT_US / PD_USEC_PER_SEC;

		bucket->credit += (pd_quota_rate_locked(quota, bucket) - rate_before) *
				  (begins ? PD_QUOTA_CREDIT_S : recent_s / 2);
		bucket->credit =
			fmin(bucket->credit, pd_quota_rate_locked(quota, bucket) * recent_s);
	}
	if (after.links == before->links)
		return;
	/* Those that are heard for the first time need to know what was used lately. */
	for (struct pd_quota_use *use = bucket->uses; use; use = use->next) {
		if (use->local && now_us - use->changed_us < PD_QUOTA_RECENT_US)
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
	if (!pd_quota_has_credit_locked(quota, now_us))
		drop_credits(quota);
	joins = !quota->joined && fleet->is_head && pd_quota_covered_part(fleet) >= 0.5;
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
