#include "draw.h"

#include <gsl/gsl_cdf.h>
#include <math.h>

/* Makes the choice of slow requests independent of their service times. */
#define SLOW_HASH_SEED 0x736c6f77ULL

/* Maps a hash to the open interval (0, 1); the inverse CDF is infinite at 0 and 1. */
static double hash_to_unit(uint64_t hash)
{
	return ((double)(hash >> 11) + 0.5) * 0x1p-53;
}

int64_t standin_draw_service_us(const struct standin_service_distribution *distribution,
				struct pd_str body)
{
	uint64_t hash = pd_str_hash(body, pd_str_hash(distribution->name, distribution->seed));
	struct pd_str bytes = {(const char *)&hash, sizeof(hash)};
	double us = distribution->median_us;

	if (us <= 0)
		return 0;
	if (distribution->sigma > 0)
		us = gsl_cdf_lognormal_Pinv(hash_to_unit(hash), log(us), distribution->sigma);
	if (hash_to_unit(pd_str_hash(bytes, SLOW_HASH_SEED)) < distribution->slow_share)
		us *= distribution->slow_factor;
	return llround(us);
}

/*
 * Returns the first bucket of the shard @index: an equal division of the buckets, shifted by up to
 * a quarter of a shard. The shift depends on the snapshot.
 */
static uint32_t first_bucket(uint64_t snapshot, uint32_t buckets, uint32_t index, uint32_t shards)
{
	uint64_t even_share_start = (uint64_t)buckets * index / shards;
	uint64_t max_shift = buckets / shards / 4;
	uint64_t key[2] = {snapshot / 2, index};
	struct pd_str bytes = {(const char *)key, sizeof(key)};

	if (index == 0 || index == shards || max_shift == 0)
		return (uint32_t)even_share_start;
	return (uint32_t)(even_share_start - max_shift +
			  pd_str_hash(bytes, 0) % (2 * max_shift + 1));
}

bool standin_shard_range(uint64_t snapshot, uint32_t buckets, uint32_t shard, uint32_t shards,
			 uint32_t *first, uint32_t *last)
{
	uint32_t end;

	if (shard >= shards)
		return false;
	*first = first_bucket(snapshot, buckets, shard, shards);
	end = first_bucket(snapshot, buckets, shard + 1, shards);
	if (end == *first)
		return false;
	*last = end - 1;
	return true;
}
