#include "rate_limit.h"

#include <math.h>
#include <stdlib.h>

#include "os.h"

/* Time whose share of the limit the bucket holds, in seconds, and its minimum capacity. With one
 * token, an instance would lose what it earns between the permit and its next request. */
#define BURST_S	     1.0
#define CAPACITY_MIN 1.5
/* Number of instances that have a share, beyond one for each request per second. */
#define SPARE_HOLDERS 2
/* Maximum time, in seconds, for which a new limit isn't used in order to make up for the requests
 * that were sent before it was known.
 */
#define MAKE_UP_MAX_S 2.0
/* Minimum load of an instance, so that all of them have a place in the order. */
#define LOAD_MIN 1e-6
/* Rate of the probes of all instances together: as a share of the limit, and at least. */
#define PROBE_SHARE	0.1
#define PROBE_MIN_PER_S 0.25

/**
 * struct holder - an instance as a possible holder of a share
 * @score: position in the order in which instances get a share
 * @weight: weight of the instance's share
 */
struct holder {
	double score;
	double weight;
};

static int compare_scores(const void *a, const void *b)
{
	double left = ((const struct holder *)a)->score, right = ((const struct holder *)b)->score;

	return (left > right) - (left < right);
}

/* Weighted rendezvous hashing: the probability that an instance has the lowest score is its share
 * of the weights. */
static struct holder make_holder(const struct pd_instance_load *instance, struct pd_str upstream,
				 bool gathered)
{
	double load = instance->load > LOAD_MIN ? instance->load : LOAD_MIN;
	double weight = gathered ? load : 1;
	/* Between 0 and 1, without both. */
	double uniform = ((double)(pd_str_hash(upstream, instance->hash) >> 11) + 0.5) * 0x1p-53;

	return (struct holder){.score = -log(uniform) / weight, .weight = weight};
}

/* Returns the number of requests that the instances without a share send before all of them know
 * the limit: about one for each, as far as they are made up for.
 */
static double unknown_requests(size_t without_share, double limit_per_s)
{
	double most = MAKE_UP_MAX_S * limit_per_s;

	return (double)without_share < most ? (double)without_share : most;
}

struct pd_rate_share pd_rate_share_of(const struct pd_instance_load *instances, size_t count,
				      size_t self, struct pd_str upstream, double limit_per_s,
				      bool gathered)
{
	struct pd_rate_share share = {.probe_share = 1 / (double)count, .first_probe = 1};
	struct holder *holders = calloc(count, sizeof(*holders));
	struct holder own = make_holder(&instances[self], upstream, gathered);
	size_t rank = 0, holder_count = 0;
	double sum = 0;

	if (!holders)
		return share;
	for (size_t i = 0; i < count; i++)
		holders[i] = make_holder(&instances[i], upstream, gathered);
	qsort(holders, count, sizeof(*holders), compare_scores);
	while (rank + 1 < count && holders[rank].score != own.score)
		rank++;
	for (; holder_count < count && (double)holder_count < limit_per_s + SPARE_HOLDERS;
	     holder_count++)
		sum += holders[holder_count].weight;
	free(holders);
	share.first_probe = (double)(rank + 1) / (double)count;
	if (rank < holder_count) {
		share.share = own.weight / sum;
		share.first_tokens =
			(double)rank / (double)holder_count -
			share.share * unknown_requests(count - holder_count, limit_per_s);
	}
	return share;
}

static double rate_per_s(const struct pd_rate_limit *limit)
{
	return limit->limit_per_s * limit->share.share;
}

static double capacity(const struct pd_rate_limit *limit)
{
	double tokens = rate_per_s(limit) * BURST_S;

	return tokens > CAPACITY_MIN ? tokens : CAPACITY_MIN;
}

/* Returns the number of tokens at @now_us. */
static double current_tokens(const struct pd_rate_limit *limit, int64_t now_us)
{
	double elapsed_s = (double)(now_us - limit->updated_us) / PD_USEC_PER_SEC;
	double tokens = limit->tokens + (elapsed_s > 0 ? elapsed_s * rate_per_s(limit) : 0);

	return tokens < capacity(limit) ? tokens : capacity(limit);
}

static double probe_interval_us(const struct pd_rate_limit *limit)
{
	double probes_per_s = limit->limit_per_s * PROBE_SHARE;

	if (probes_per_s < PROBE_MIN_PER_S)
		probes_per_s = PROBE_MIN_PER_S;
	return PD_USEC_PER_SEC / (probes_per_s * limit->share.probe_share);
}

/* Returns the tokens with which a limit starts after @lately requests of this instance. The last
 * one of them is that which made the limit known; it needn't be made up for.
 */
static double first_tokens(double limit_per_s, const struct pd_rate_share *share, double lately)
{
	double most = MAKE_UP_MAX_S * limit_per_s * share->share;
	double owed = lately - 1;

	if (owed > most)
		owed = most;
	return owed > 0 ? share->first_tokens - owed : share->first_tokens;
}

void pd_rate_limit_set(struct pd_rate_limit *limit, double limit_per_s, struct pd_rate_share share,
		       double lately, int64_t now_us)
{
	double tokens = limit->active ? current_tokens(limit, now_us)
				      : first_tokens(limit_per_s, &share, lately);

	*limit = (struct pd_rate_limit){.active = true,
					.limit_per_s = limit_per_s,
					.share = share,
					.tokens = tokens,
					.updated_us = now_us};
	limit->tokens = current_tokens(limit, now_us);
	limit->probe_us = now_us + (int64_t)(share.first_probe * probe_interval_us(limit));
}

void pd_rate_limit_end(struct pd_rate_limit *limit)
{
	limit->active = false;
}

int64_t pd_rate_limit_wait_us(const struct pd_rate_limit *limit, int64_t now_us)
{
	int64_t wait_us = limit->probe_us - now_us;
	double missing;

	if (!limit->active)
		return 0;
	missing = 1 - current_tokens(limit, now_us);
	if (missing <= 0 || wait_us <= 0)
		return 0;
	if (missing * PD_USEC_PER_SEC < (double)wait_us * rate_per_s(limit))
		wait_us = (int64_t)(missing * PD_USEC_PER_SEC / rate_per_s(limit)) + 1;
	return wait_us;
}

void pd_rate_limit_consume(struct pd_rate_limit *limit, int64_t now_us)
{
	if (!limit->active)
		return;
	/* A probe is sent without a token. */
	limit->tokens = current_tokens(limit, now_us);
	limit->tokens = limit->tokens > 1 ? limit->tokens - 1 : 0;
	limit->updated_us = now_us;
	limit->probe_us = now_us + (int64_t)probe_interval_us(limit);
}
