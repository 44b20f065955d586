/**
 * DOC: Internal functions of the quotas, for their own files
 *
 * Those that end in _locked require the lock of &struct pd_quota.
 */
#ifndef PD_QUOTA_PRIVATE_H
#define PD_QUOTA_PRIVATE_H

#include "quota.h"

/* Time for which reports are repeated, and for which an instance that hears of a use for the first
 * time charges it. A new source or head is known within less. */
#define PD_QUOTA_RECENT_US (2000 * PD_USEC_PER_MSEC)
/* Credit of a new head, as time of the rate: what a usual account, with 1 / 1.6 of its quota, uses
 * in PD_QUOTA_RECENT_US. With the whole time, a noisy account had 95 requests of 92.6 when all
 * heads die. */
#define PD_QUOTA_CREDIT_S (PD_QUOTA_RECENT_US / 1.6 / PD_USEC_PER_SEC)
/* News are repeated as often as reports, and hold for three of them to be lost. */
#define PD_QUOTA_NEWS_REPEAT_US (250 * PD_USEC_PER_MSEC)
/* Time over which the rate of an account's requests is averaged: a burst empties the bucket in less
 * than half a second. */
#define PD_QUOTA_DEMAND_S 0.4

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

/* quota_bucket.c */

uint64_t pd_quota_random_locked(struct pd_quota *quota);
/* Returns a random number from 0 to 1. */
double pd_quota_uniform_locked(struct pd_quota *quota);
/* Returns the part of the instances of the zones that this head hears that it covers, with the
 * heads that it hears. */
double pd_quota_covered_part(const struct pd_quota_fleet *fleet);
double pd_quota_rate_locked(const struct pd_quota *quota, const struct pd_quota_bucket *bucket);
/* A bucket that couldn't hold one token would never admit a request. */
double pd_quota_capacity_locked(const struct pd_quota *quota, const struct pd_quota_bucket *bucket);
double pd_quota_elapsed_s(int64_t since_us, int64_t now_us);
/* Adds the tokens of the time that has passed. */
void pd_quota_update_locked(const struct pd_quota *quota, struct pd_quota_bucket *bucket,
			    int64_t now_us);
int pd_quota_compare_limits(const void *a, const void *b);
const struct pd_quota_limit *pd_quota_find_limit_locked(const struct pd_quota *quota,
							uint64_t hash);
/* Returns the tokens with which a bucket starts at a head that has just become one. Small groups
 * that were cut off from each other would exceed the bound if each of them admitted a request of an
 * account at once: those of a third of all instances have what is left of the bound together, by
 * chance if that is less than a token. An instance that has just started is alone until it finds
 * another one, and isn't cut off.
 */
double pd_quota_first_tokens_locked(struct pd_quota *quota, const struct pd_quota_bucket *bucket);
bool pd_quota_has_credit_locked(const struct pd_quota *quota, int64_t now_us);
struct pd_quota_bucket *pd_quota_lookup_locked(const struct pd_quota *quota, uint64_t hash);
/* Returns the bucket of an account, with the tokens of now; NULL if memory runs out. */
struct pd_quota_bucket *pd_quota_get_bucket_locked(struct pd_quota *quota, uint64_t hash,
						   int64_t now_us);
struct pd_quota_use *pd_quota_find_use_locked(struct pd_quota_bucket *bucket, uint64_t origin);
struct pd_quota_use *pd_quota_add_use_locked(struct pd_quota_bucket *bucket, uint64_t origin);
/* Returns the use by this instance. The count of an account that is forgotten and used again begins
 * anew, by another number than before. */
struct pd_quota_use *pd_quota_get_own_locked(struct pd_quota *quota, struct pd_quota_bucket *bucket,
					     int64_t now_us);
uint64_t pd_quota_net_use(const struct pd_quota_report *report);
/* Records the net use at the beginning of the intervals that have begun. */
void pd_quota_advance_history_locked(struct pd_quota_bucket *bucket, int64_t now_us);
void pd_quota_mark_changed_locked(struct pd_quota_bucket *bucket, struct pd_quota_use *use,
				  int64_t now_us);
/* A bucket that was low counts as such until it has twice as many tokens, so that the followers
 * aren't told at each request.
 */
enum pd_quota_level pd_quota_level_locked(const struct pd_quota *quota,
					  const struct pd_quota_bucket *bucket);
/* Whether the followers have to be told of the level at once. That an empty bucket has tokens again
 * they know by themselves. */
bool pd_quota_is_news_locked(const struct pd_quota *quota, const struct pd_quota_bucket *bucket);
void pd_quota_add_demand_locked(struct pd_quota_bucket *bucket, double requests, int64_t now_us);
/* Returns the share of the requests that tokens and rate are enough for until the next news. When
 * an empty bucket has a token again, all instances would admit a request before they hear that
 * another one has used it.
 */
double pd_quota_share_locked(const struct pd_quota *quota, const struct pd_quota_bucket *bucket,
			     int64_t now_us);
void pd_quota_charge_locked(struct pd_quota *quota, struct pd_quota_bucket *bucket, double tokens);

/* quota_admit.c */

/* Whether this instance knows too little to rely on its bucket. */
bool pd_quota_is_silent_locked(const struct pd_quota *quota, int64_t now_us);
/* Returns the tokens by the last news. */
double pd_quota_news_tokens_locked(const struct pd_quota_bucket *bucket, int64_t now_us);
/* Returns the tokens of an instance whose source is silent. The first request of an account that
 * wasn't used here lately is admitted, because most accounts send few; all instances together then
 * get the rate of the quota. */
double *pd_quota_solo_tokens_locked(struct pd_quota *quota, struct pd_quota_bucket *bucket,
				    int64_t now_us);
/* Reserves the next token that wasn't promised to another client; returns when it is there. */
int64_t pd_quota_promise_locked(struct pd_quota_bucket *bucket, double tokens, double rate_per_s,
				double clients, int64_t now_us);
/* Returns the rate by which clients return. A head that has just become one hears of the others
 * within PD_QUOTA_RECENT_US, so that the small part that it has until then, and that it states to
 * its followers, says little of the time after: a wait by the part of 1 of 130 instances was
 * 1,227 s.
 */
double pd_quota_return_rate_locked(const struct pd_quota *quota,
				   const struct pd_quota_bucket *bucket, int64_t now_us);
/* Returns the time to wait of a refused request. Other instances may promise the same tokens until
 * they hear of each other, so that up to a quarter is added at random, and at least the time of one
 * token. */
int64_t pd_quota_time_to_return_locked(struct pd_quota *quota, struct pd_quota_bucket *bucket,
				       double tokens, int64_t now_us);

/* quota_owner.c */

/* Takes back the requests that an instance was granted and hasn't reported in time: it didn't use
 * them. Those that it reports later are charged then. */
void pd_quota_expire_grants_locked(struct pd_quota *quota, struct pd_quota_bucket *bucket,
				   struct pd_quota_use *use, int64_t now_us);
/* Matches requests that an instance reports with those that it was granted, which are charged.
 * Returns the number of these. */
double pd_quota_match_grants_locked(struct pd_quota_use *use, uint64_t requests);

#endif
