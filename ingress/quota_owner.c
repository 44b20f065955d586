#include "quota_private.h"

#include <math.h>

/* A request that was admitted for an instance is reported by it within less, if it is used. */
#define GRANT_US (2000 * PD_USEC_PER_MSEC)

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

void pd_quota_expire_grants_locked(struct pd_quota *quota, struct pd_quota_bucket *bucket,
				   struct pd_quota_use *use, int64_t now_us)
{
	if (now_us - use->granted_us < GRANT_US)
		return;
	if (use->granted[1])
		pd_quota_charge_locked(quota, bucket, -(double)use->granted[1]);
	use->granted[1] = use->granted[0];
	use->granted[0] = 0;
	use->granted_us = now_us;
}

double pd_quota_match_grants_locked(struct pd_quota_use *use, uint64_t requests)
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
					   .rate_per_s = pd_quota_rate_locked(quota, bucket),
					   .tokens = bucket->tokens,
					   .share = 1};

	pd_quota_add_demand_locked(bucket, 1, now_us);
	if (!verdict.admitted) {
		verdict.wait_us = pd_quota_time_to_return_locked(quota, bucket,
								 fmin(bucket->tokens, 0), now_us);
		return verdict;
	}
	pd_quota_expire_grants_locked(quota, bucket, use, now_us);
	use->granted[0]++;
	pd_quota_charge_locked(quota, bucket, 1);
	return verdict;
}

bool pd_quota_decide(struct pd_quota *quota, const struct pd_quota_ask *ask,
		     struct pd_quota_verdict *verdict, int64_t now_us)
{
	struct pd_quota_bucket *bucket = NULL;
	struct pd_quota_use *use = NULL;
	const struct pd_quota_answer *answer;

	pthread_mutex_lock(&quota->lock);
	if (quota->fleet.is_head && !pd_quota_is_silent_locked(quota, now_us) && ask->nonce &&
	    pd_quota_find_limit_locked(quota, ask->account))
		bucket = pd_quota_get_bucket_locked(quota, ask->account, now_us);
	if (bucket && bucket->rate_per_s > 0) {
		use = pd_quota_find_use_locked(bucket, ask->origin);
		if (!use)
			use = pd_quota_add_use_locked(bucket, ask->origin);
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
