/**
 * DOC: Service times and bucket ranges of stand-in upstreams
 *
 * All functions are pure, so that a load generator computes the same values as the upstream that it
 * sends requests to.
 */
#ifndef STANDIN_DRAW_H
#define STANDIN_DRAW_H

#include "str.h"

/**
 * struct standin_service_distribution - distribution of the service times of one upstream
 * @seed: random seed of the experiment
 * @name: name of the upstream
 * @median_us: median of the lognormal distribution, in microseconds
 * @sigma: standard deviation of the underlying normal distribution; with 0, every service time
 * equals the median
 * @slow_share: share of slow requests, 0 to 1
 * @slow_factor: factor by which the service time of a slow request is multiplied
 */
struct standin_service_distribution {
	uint64_t seed;
	struct pd_str name;
	double median_us;
	double sigma;
	double slow_share;
	double slow_factor;
};

/*
 * Returns the service time, in microseconds, of a request with the body @body while the upstream is
 * warm. The same @distribution and body always give the same time.
 */
int64_t standin_draw_service_us(const struct standin_service_distribution *distribution,
				struct pd_str body);

/**
 * standin_shard_range() - computes the bucket range that a shard holds in one snapshot
 * @snapshot: version of the index
 * @buckets: number of buckets in the collection
 * @shard: number of the shard, 0 to @shards - 1
 * @shards: number of shards that the buckets are divided among
 * @first: receives the first bucket of the range
 * @last: receives the last bucket of the range (inclusive)
 *
 * Within a snapshot, the ranges of all shards cover [0, @buckets) without gaps or overlaps. If a
 * shard has at least 4 buckets, the boundaries move with every second version, by up to a quarter
 * of a shard.
 *
 * Return: false if the shard holds no bucket (more shards than buckets, or @shard out of range).
 */
bool standin_shard_range(uint64_t snapshot, uint32_t buckets, uint32_t shard, uint32_t shards,
			 uint32_t *first, uint32_t *last);

#endif
