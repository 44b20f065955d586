/**
 * DOC: What stand-in upstreams draw: service times and bucket ranges
 *
 * Pure functions, so that a load tool computes the same values as the upstream that it drives.
 */
#ifndef STANDIN_DRAW_H
#define STANDIN_DRAW_H

#include "str.h"

/**
 * struct standin_service_distribution - distribution of the service times of one upstream
 * @seed: of the experiment
 * @name: of the upstream
 * @median_us: median of the lognormal distribution, microseconds
 * @sigma: of the underlying normal distribution; 0 gives the median always
 * @slow_share: share of requests, 0 to 1, that are slower by @slow_factor
 * @slow_factor: multiplier of the service time of these
 */
struct standin_service_distribution {
	uint64_t seed;
	struct pd_str name;
	double median_us;
	double sigma;
	double slow_share;
	double slow_factor;
};

/* Service time of a request with the text @body, in microseconds, while warm. */
int64_t standin_draw_service_us(const struct standin_service_distribution *draw,
				struct pd_str body);

/**
 * standin_shard_range() - bucket range that a shard holds in one snapshot
 * @snapshot: version of the index
 * @buckets: number of buckets in the collection
 * @shard: 0 to @shards - 1
 * @shards: number of services that share the buckets
 * @first: stores the first bucket
 * @last: stores the last bucket, included
 *
 * The ranges of all shards tile [0, @buckets) within a snapshot. The boundaries move with every
 * second version by up to a quarter of a shard, where a shard has at least 4 buckets.
 *
 * Return: false when the shard holds no bucket (more shards than buckets, or @shard out of range).
 */
bool standin_shard_range(uint64_t snapshot, uint32_t buckets, uint32_t shard, uint32_t shards,
			 uint32_t *first, uint32_t *last);

#endif
