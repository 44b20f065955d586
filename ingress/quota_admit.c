#include "quota_private.h"

#include <math.h>

/* Time for which news hold: see PD_QUOTA_NEWS_REPEAT_US. */
#define NEWS_TIMEOUT_US (1000 * PD_USEC_PER_MSEC)
/* Promises of more than ROOM_AFTER_US ahead leave the rest of the rate to other requests: a usual
 * account uses 1 / 1.6 of its quota, and its requests compete with those that come back. */
#define ROOM_AFTER_US PD_USEC_PER_SEC
#define ROOM_SHARE    0.375
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

/* Returns the time of what this instance knows. */
static int64_t known_us(const struct pd_quota *quota)
{
	return quota->fleet.is_head ? quota->fleet_us : quota->heard_us;
}

bool pd_quota_is_silent_locked(const struct pd_quota *quota, int64_t now_us)
{
	return !known_us(quota) || now_us - known_us(quota) > PD_QUOTA_SILENT_US;
}

double pd_quota_news_tokens_locked(const struct pd_quota_bucket *bucket, int64_t now_us)
{
	double tokens = bucket->news.tokens - bucket->used_since +
			pd_quota_elapsed_s(bucket->news_us, now_us) * bucket->news.rate_per_s;

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
	return pd_quota_uniform_locked(quota) < SOLO_SHARE;
}

double *pd_quota_solo_tokens_locked(struct pd_quota *quota, struct pd_quota_bucket *bucket,
				    int64_t now_us)
{
	int64_t silence_us = known_us(quota);
	double rate = bucket->rate_per_s / fmax(1, (double)quota->fleet.instances);

	if (!bucket->solo_us || bucket->silence_us != silence_us) {
		pd_quota_advance_history_locked(bucket, now_us);
		bucket->solo_tokens = bucket->low || bucket->shown != PD_QUOTA_ENOUGH ||
						      (bucket->own && bucket->own->report.recent)
					      ? 0
					      : first_solo_token(quota, bucket);
		bucket->silence_us = silence_us;
	} else {
		bucket->solo_tokens += pd_quota_elapsed_s(bucket->solo_us, now_us) * rate;
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
		return bucket->shown != PD_QUOTA_ENOUGH
			       ? pd_quota_share_locked(quota, bucket, now_us)
			       : 1;
	return bucket->low ? bucket->news.share : 1;
}

/* Returns the tokens that a request may use now. */
static double tokens_now(struct pd_quota *quota, struct pd_quota_bucket *bucket, int64_t now_us)
{
	if (pd_quota_is_silent_locked(quota, now_us))
		return fmin(bucket->tokens, *pd_quota_solo_tokens_locked(quota, bucket, now_us));
	if (!quota->fleet.is_head && bucket->low && now_us - bucket->news_us > NEWS_TIMEOUT_US)
		bucket->low = false;
	if (!quota->fleet.is_head && bucket->low)
		return fmin(bucket->tokens, pd_quota_news_tokens_locked(bucket, now_us));
	return bucket->tokens;
}

/* Returns the time in which so many tokens are added. */
static int64_t token_wait_us(double tokens, double rate_per_s)
{
	double wait_us = tokens / rate_per_s * PD_USEC_PER_SEC;

	return wait_us < WAIT_MAX_US ? (int64_t)wait_us : WAIT_MAX_US;
}

int64_t pd_quota_promise_locked(struct pd_quota_bucket *bucket, double tokens, double rate_per_s,
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

double pd_quota_return_rate_locked(const struct pd_quota *quota,
				   const struct pd_quota_bucket *bucket, int64_t now_us)
{
	bool follows_news = !quota->fleet.is_head && bucket->low;
	int64_t since_us = follows_news ? quota->news_head_us : quota->head_since_us;
	double rate = follows_news ? bucket->news.rate_per_s : pd_quota_rate_locked(quota, bucket);

	if ((quota->fleet.is_head || follows_news) && now_us - since_us < PD_QUOTA_RECENT_US)
		rate = bucket->rate_per_s;
	return fmax(rate, RATE_MIN_PER_S);
}

int64_t pd_quota_time_to_return_locked(struct pd_quota *quota, struct pd_quota_bucket *bucket,
				       double tokens, int64_t now_us)
{
	double rate = pd_quota_return_rate_locked(quota, bucket, now_us);
	int64_t wait_us, spread_us;

	if (pd_quota_is_silent_locked(quota, now_us)) {
		wait_us = SILENT_WAIT_US;
		spread_us = SILENT_WAIT_US / 2;
	} else {
		wait_us = pd_quota_promise_locked(bucket, tokens, rate, 1, now_us) - now_us;
		spread_us = token_wait_us(1, rate);
		if (spread_us < wait_us / 4)
			spread_us = wait_us / 4;
	}
	wait_us += (int64_t)(pd_quota_uniform_locked(quota) * (double)spread_us);
	return wait_us < WAIT_MAX_US ? wait_us : WAIT_MAX_US;
}

static int64_t refuse(struct pd_quota *quota, struct pd_quota_bucket *bucket, double tokens,
		      int64_t now_us)
{
	struct pd_quota_use *own = pd_quota_get_own_locked(quota, bucket, now_us);

	if (own) {
		own->report.refused++;
		pd_quota_add_demand_locked(bucket, 1, now_us);
		bucket->pending_until_us = now_us + PD_QUOTA_RECENT_US;
	}
	return pd_quota_time_to_return_locked(quota, bucket, tokens, now_us);
}

/* Returns the rate that tokens_now() adds tokens by. */
static double rate_now(const struct pd_quota *quota, const struct pd_quota_bucket *bucket,
		       int64_t now_us)
{
	if (pd_quota_is_silent_locked(quota, now_us))
		return bucket->rate_per_s / fmax(1, (double)quota->fleet.instances);
	if (!quota->fleet.is_head && bucket->low)
		return bucket->news.rate_per_s;
	return pd_quota_rate_locked(quota, bucket);
}

/* Decides on a request by what this instance knows, without the time to wait. */
static struct pd_quota_verdict verdict_of(struct pd_quota *quota, struct pd_quota_bucket *bucket,
					  int64_t now_us)
{
	struct pd_quota_verdict verdict = {.basis = PD_QUOTA_BASIS_NOT_LOW};

	if (pd_quota_is_silent_locked(quota, now_us))
		verdict.basis = PD_QUOTA_BASIS_SILENT;
	/* News that are too old end here. */
	verdict.tokens = tokens_now(quota, bucket, now_us);
	verdict.share = share_now(quota, bucket, now_us);
	verdict.rate_per_s = rate_now(quota, bucket, now_us);
	verdict.admitted = pd_quota_uniform_locked(quota) < verdict.share && verdict.tokens >= 1;
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
	bucket = pd_quota_get_bucket_locked(quota, account->hash, now_us);
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
	limit = pd_quota_find_limit_locked(quota, account->hash);
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
		return pd_quota_level_locked(quota, bucket) != PD_QUOTA_ENOUGH ||
		       now_us - quota->head_since_us < PD_QUOTA_RECENT_US;
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
	bucket = pd_quota_get_bucket_locked(quota, account->hash, now_us);
	if (bucket && bucket->rate_per_s > 0 && !pd_quota_is_silent_locked(quota, now_us) &&
	    is_low(quota, bucket, now_us))
		own = pd_quota_get_own_locked(quota, bucket, now_us);
	if (own)
		*ask = (struct pd_quota_ask){.account = account->hash,
					     .origin = own->report.origin,
					     .nonce = pd_quota_random_locked(quota)};
	pthread_mutex_unlock(&quota->lock);
	return own != NULL;
}
