#include "quota_private.h"

#include <math.h>

/* Reports are sent to a source at the next tick, and repeated because there is no acknowledgement.
 * Those to other zones are collected, unless the account has few tokens left, and repeated twice,
 * because their bytes are billed. */
#define REPEAT_US	(250 * PD_USEC_PER_MSEC)
#define SHARE_US	(100 * PD_USEC_PER_MSEC)
#define SHARE_REPEAT_US (300 * PD_USEC_PER_MSEC)

/* Counts @used requests that were sent and @returned that didn't run. */
static void count(struct pd_quota *quota, uint64_t account, uint64_t used, uint64_t returned,
		  int64_t now_us)
{
	double tokens = (double)used - (double)returned;
	struct pd_quota_bucket *bucket;
	struct pd_quota_use *own;

	pthread_mutex_lock(&quota->lock);
	bucket = pd_quota_get_bucket_locked(quota, account, now_us);
	own = bucket ? pd_quota_get_own_locked(quota, bucket, now_us) : NULL;
	if (own) {
		pd_quota_advance_history_locked(bucket, now_us);
		pd_quota_add_demand_locked(bucket, (double)used, now_us);
		own->report.used += used;
		own->report.returned += returned;
		bucket->used_since += tokens;
		pd_quota_charge_locked(quota, bucket,
				       tokens - pd_quota_match_grants_locked(own, used));
		if (pd_quota_is_silent_locked(quota, now_us))
			*pd_quota_solo_tokens_locked(quota, bucket, now_us) -= tokens;
		pd_quota_mark_changed_locked(bucket, own, now_us);
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
	return (report->origin & PD_QUOTA_ORIGIN_FRESH) &&
	       pd_quota_net_use(report) <= report->recent;
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
	double added = (double)pd_quota_net_use(report) - (double)pd_quota_net_use(&use->report);
	double granted = pd_quota_match_grants_locked(use, report->used - use->report.used);
	double tokens = fmin(added, (double)report->recent) - granted;

	if (tokens > 0 && pd_quota_has_credit_locked(quota, now_us) &&
	    use->heard_us < quota->widened_us && !(is_new && is_fresh(report))) {
		double credit = fmin(tokens, bucket->credit);

		bucket->credit -= credit;
		tokens -= credit;
	}
	if (tokens > 0 || !is_new || granted > 0)
		pd_quota_charge_locked(quota, bucket, tokens);
}

/* Returns the number of requests that a report adds to the recent demand. */
static double new_requests(const struct pd_quota_use *use, const struct pd_quota_report *report)
{
	if (!use->heard_us)
		return (double)report->recent * PD_QUOTA_DEMAND_S * PD_USEC_PER_SEC /
		       PD_QUOTA_RECENT_US;
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
	bucket = pd_quota_get_bucket_locked(quota, report->account, now_us);
	use = bucket ? pd_quota_find_use_locked(bucket, report->origin) : NULL;
	if (bucket && !use)
		use = pd_quota_add_use_locked(bucket, report->origin);
	if (!use || use == bucket->own) {
		pthread_mutex_unlock(&quota->lock);
		return;
	}
	merged = *report;
	merged.used = larger(report->used, use->report.used);
	merged.returned = larger(report->returned, use->report.returned);
	merged.refused = larger(report->refused, use->report.refused);
	pd_quota_add_demand_locked(bucket, new_requests(use, &merged), now_us);
	if (use->heard_us && merged.refused > use->report.refused && bucket->rate_per_s > 0)
		pd_quota_promise_locked(bucket, bucket->tokens,
					pd_quota_return_rate_locked(quota, bucket, now_us),
					(double)(merged.refused - use->report.refused), now_us);
	if (merged.used > use->report.used || merged.returned > use->report.returned) {
		charge_report(quota, bucket, use, &merged, now_us);
		use->local = local;
		pd_quota_mark_changed_locked(bucket, use, now_us);
		use->report = merged;
	} else if (merged.refused > use->report.refused) {
		use->report.refused = merged.refused;
		bucket->pending_until_us = now_us + PD_QUOTA_RECENT_US;
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
	bucket = news->low ? pd_quota_get_bucket_locked(quota, news->account, now_us)
			   : pd_quota_lookup_locked(quota, news->account);
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
		       bucket->tokens < pd_quota_capacity_locked(quota, bucket) / 2;
	return now_us - use->sent_us >= repeat_us &&
	       (now_us - use->changed_us < PD_QUOTA_RECENT_US ||
		use->report.refused > use->refused_sent);
}

static size_t take_bucket_reports(struct pd_quota *quota, struct pd_quota_bucket *bucket,
				  struct pd_quota_report *reports, size_t max, int64_t now_us)
{
	size_t taken = 0;

	pd_quota_update_locked(quota, bucket, now_us);
	for (struct pd_quota_use *use = bucket->uses; use && taken < max; use = use->next) {
		if (!is_due(quota, bucket, use, now_us))
			continue;
		if (use == bucket->own)
			pd_quota_advance_history_locked(bucket, now_us);
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

	pd_quota_update_locked(quota, bucket, now_us);
	level = pd_quota_level_locked(quota, bucket);
	due = pd_quota_is_news_locked(quota, bucket) ||
	      (level != PD_QUOTA_ENOUGH && now_us - bucket->shown_us >= PD_QUOTA_NEWS_REPEAT_US);
	bucket->shown = level;
	if (!due)
		return false;
	bucket->shown_us = now_us;
	*news = (struct pd_quota_news){
		.account = bucket->hash,
		.low = level != PD_QUOTA_ENOUGH,
		.tokens = bucket->tokens,
		.rate_per_s = pd_quota_rate_locked(quota, bucket),
		.promised_us = bucket->promised_us > now_us ? bucket->promised_us - now_us : 0,
		.share = pd_quota_share_locked(quota, bucket, now_us),
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
