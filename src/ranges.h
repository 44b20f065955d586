/**
 * DOC: Sets of bucket numbers, stored as sorted, disjoint, non-adjacent ranges
 *
 * Text form: `0-49,60-69`. Both ends of a range are included. A single bucket is written as `7` and
 * also parsed from `7-7`.
 */
#ifndef PD_RANGES_H
#define PD_RANGES_H

#include "error.h"
#include "str.h"

#define PD_BUCKET_MAX 1000000 /* maximum number of buckets in a collection */
#define PD_RANGES_MAX 4096 /* maximum number of ranges in a set */

/**
 * struct pd_range - consecutive buckets
 * @first: first bucket
 * @last: last bucket, included
 */
struct pd_range {
	uint32_t first;
	uint32_t last;
};

/**
 * struct pd_ranges - set of buckets; zero-initialized, it is the empty set
 * @items: ranges in ascending order
 * @count: number of ranges in @items
 * @cap: allocated size of @items, in ranges
 */
struct pd_ranges {
	struct pd_range *items;
	uint32_t count;
	uint32_t cap;
};

void pd_ranges_init(struct pd_ranges *set);
void pd_ranges_finish(struct pd_ranges *set);
/*
 * Replaces @set by the set that @text describes. Returns PD_INVALID if @text is malformed or names
 * a bucket that isn't below @buckets, and PD_TOO_LARGE if it has more than PD_RANGES_MAX ranges.
 * @set is empty after an error.
 */
enum pd_code pd_ranges_parse(struct pd_ranges *set, struct pd_str text, uint32_t buckets,
			     struct pd_error *err);
/*
 * Adds the buckets from @first to @last, both included. Returns PD_TOO_LARGE if the set would have
 * more than PD_RANGES_MAX ranges.
 */
enum pd_code pd_ranges_add(struct pd_ranges *set, uint32_t first, uint32_t last);
/* Adds all buckets of @other to @set. */
enum pd_code pd_ranges_union(struct pd_ranges *set, const struct pd_ranges *other);
/* Replaces @out by the buckets of [0, @buckets) that are not in @set. */
enum pd_code pd_ranges_complement(const struct pd_ranges *set, uint32_t buckets,
				  struct pd_ranges *out);
/* Returns the number of buckets in @set. */
uint64_t pd_ranges_total(const struct pd_ranges *set);
/* Returns true if @set and @other have no bucket in common. */
bool pd_ranges_disjoint(const struct pd_ranges *set, const struct pd_ranges *other);
/* Appends the text form of @set to @out. */
void pd_ranges_print(const struct pd_ranges *set, struct pd_buf *out);

#endif
