#include "draw.h"

#include <gsl/gsl_cdf.h>
#include <math.h>

#define SLOW_HASH_SEED 0x736c6f77ULL /* separates the choice of slow requests from their times */

/* Maps a hash to the open interval (0, 1); the inverse CDF is infinite at both ends. */
static double hash_to_unit(uint64_t hash)
{
	return ((double)(hash >> 11) + 0.5) * 0x1p-53;
}

int64_t standin_draw_service_us(const struct standin_service_distribution *draw, struct pd_str body)
{
	uint64_t hash = pd_str_hash(body, pd_str_hash(draw->name, draw->seed));
	struct pd_str bytes = {(const char *)&hash, sizeof(hash)};
	double us = draw->median_us;

	if (us <= 0)
		return 0;
	if (draw->sigma > 0)
		us = gsl_cdf_lognormal_Pinv(hash_to_unit(hash), log(us), draw->sigma);
	if (hash_to_unit(pd_str_hash(bytes, SLOW_HASH_SEED)) < draw->slow_share)
		us *= draw->slow_factor;
	return llround(us);
}

static uint32_t boundary(uint64_t snapshot, uint32_t buckets, uint32_t index, uint32_t shards)
{
	uint64_t base = (uint64_t)buckets * index / shards;
	uint64_t reach = buckets / shards / 4;
	uint64_t key[2] = {snapshot / 2, index};
	struct pd_str bytes = {(const char *)key, sizeof(key)};

	if (index == 0 || index == shards || reach == 0)
		return (uint32_t)base;
	return (uint32_t)(base - reach + pd_str_hash(bytes, 0) % (2 * reach + 1));
}

bool standin_shard_range(uint64_t snapshot, uint32_t buckets, uint32_t shard, uint32_t shards,
			 uint32_t *first, uint32_t *last)
{
	uint32_t end;

	if (shard >= shards)
		return false;
	*first = boundary(snapshot, buckets, shard, shards);
	end = boundary(snapshot, buckets, shard + 1, shards);
	if (end == *first)
		return false;
	*last = end - 1;
	return true;
}
