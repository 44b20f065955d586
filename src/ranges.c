#include "ranges.h"

#include <stdlib.h>
#include <string.h>

#define INITIAL_CAPACITY 8

void pd_ranges_init(struct pd_ranges *set)
{
	memset(set, 0, sizeof(*set));
}

void pd_ranges_finish(struct pd_ranges *set)
{
	free(set->items);
	pd_ranges_init(set);
}

/* Makes room for @count ranges. */
static enum pd_code reserve(struct pd_ranges *set, uint32_t count)
{
	uint32_t cap = set->cap ? set->cap : INITIAL_CAPACITY;
	struct pd_range *items;

	if (count > PD_RANGES_MAX)
		return PD_TOO_LARGE;
	if (count <= set->cap)
		return PD_OK;
	while (cap < count)
		cap *= 2;
	items = realloc(set->items, cap * sizeof(*items));
	if (!items)
		return PD_NO_MEMORY;
	set->items = items;
	set->cap = cap;
	return PD_OK;
}

/* Returns the index of the first range whose last bucket is @bucket or later. */
static uint32_t find_first_ending_at_or_after(const struct pd_ranges *set, uint32_t bucket)
{
	uint32_t low = 0;
	uint32_t high = set->count;

	while (low < high) {
		uint32_t middle = low + (high - low) / 2;

		if (set->items[middle].last < bucket)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

enum pd_code pd_ranges_add(struct pd_ranges *set, uint32_t first, uint32_t last)
{
	uint32_t from;
	uint32_t to;
	enum pd_code code;

	if (first > last || last >= PD_BUCKET_MAX)
		return PD_INVALID;
	/* Ranges from..to-1 overlap the new range or are adjacent to it: merge them into it. */
	from = find_first_ending_at_or_after(set, first ? first - 1 : 0);
	to = from;
	while (to < set->count && set->items[to].first <= last + 1) {
		if (set->items[to].first < first)
			first = set->items[to].first;
		if (set->items[to].last > last)
			last = set->items[to].last;
		to++;
	}
	code = reserve(set, set->count + 1 - (to - from));
	if (code)
		return code;
	memmove(set->items + from + 1, set->items + to, (set->count - to) * sizeof(*set->items));
	set->items[from] = (struct pd_range){first, last};
	set->count = set->count + 1 - (to - from);
	return PD_OK;
}

static bool parse_range(struct pd_str item, uint32_t buckets, struct pd_range *range)
{
	const char *dash = item.len ? memchr(item.data, '-', item.len) : NULL;
	struct pd_str low = {item.data, dash ? (size_t)(dash - item.data) : item.len};
	struct pd_str high = dash ? (struct pd_str){dash + 1, item.len - low.len - 1} : low;
	uint64_t first;
	uint64_t last;

	if (!pd_str_to_u64(low, &first) || !pd_str_to_u64(high, &last))
		return false;
	if (first > last || last >= buckets || last >= PD_BUCKET_MAX)
		return false;
	*range = (struct pd_range){(uint32_t)first, (uint32_t)last};
	return true;
}

static enum pd_code parse_and_add(struct pd_ranges *set, struct pd_str item, uint32_t buckets,
				  struct pd_error *err)
{
	struct pd_range range;
	enum pd_code code;

	if (!parse_range(item, buckets, &range))
		return pd_error_set(err, PD_LAYER_STATE, PD_INVALID,
				    "range \"%.*s\": expected FIRST-LAST or a number, below %u",
				    item.len > 40 ? 40 : (int)item.len, item.data, buckets);
	code = pd_ranges_add(set, range.first, range.last);
	if (code)
		return pd_error_set(err, PD_LAYER_STATE, code, "can't add a bucket range: %s",
				    pd_strerror(code));
	return PD_OK;
}

enum pd_code pd_ranges_parse(struct pd_ranges *set, struct pd_str text, uint32_t buckets,
			     struct pd_error *err)
{
	size_t start = 0;
	uint32_t items = 0;
	enum pd_code code = PD_OK;

	set->count = 0;
	while (!code && text.len && start <= text.len) {
		size_t end = start;

		while (end < text.len && text.data[end] != ',')
			end++;
		if (++items > PD_RANGES_MAX)
			code = pd_error_set(err, PD_LAYER_STATE, PD_TOO_LARGE,
					    "more than %d bucket ranges", PD_RANGES_MAX);
		else
			code = parse_and_add(set, (struct pd_str){text.data + start, end - start},
					     buckets, err);
		start = end + 1;
	}
	if (code)
		set->count = 0;
	return code;
}

enum pd_code pd_ranges_union(struct pd_ranges *set, const struct pd_ranges *other)
{
	for (uint32_t i = 0; i < other->count; i++) {
		enum pd_code code = pd_ranges_add(set, other->items[i].first, other->items[i].last);

		if (code)
			return code;
	}
	return PD_OK;
}

enum pd_code pd_ranges_complement(const struct pd_ranges *set, uint32_t buckets,
				  struct pd_ranges *out)
{
	uint32_t next = 0;
	enum pd_code code;

	out->count = 0;
	for (uint32_t i = 0; i < set->count && next < buckets; i++) {
		uint32_t first = set->items[i].first;

		if (first > next) {
			code = pd_ranges_add(out, next, first < buckets ? first - 1 : buckets - 1);
			if (code)
				return code;
		}
		next = set->items[i].last + 1;
	}
	return next < buckets ? pd_ranges_add(out, next, buckets - 1) : PD_OK;
}

uint64_t pd_ranges_total(const struct pd_ranges *set)
{
	uint64_t total = 0;

	for (uint32_t i = 0; i < set->count; i++)
		total += (uint64_t)set->items[i].last - set->items[i].first + 1;
	return total;
}

bool pd_ranges_disjoint(const struct pd_ranges *set, const struct pd_ranges *other)
{
	uint32_t i = 0;
	uint32_t j = 0;

	while (i < set->count && j < other->count) {
		if (set->items[i].last < other->items[j].first)
			i++;
		else if (other->items[j].last < set->items[i].first)
			j++;
		else
			return false;
	}
	return true;
}

void pd_ranges_print(const struct pd_ranges *set, struct pd_buf *out)
{
	for (uint32_t i = 0; i < set->count; i++) {
		const struct pd_range *range = &set->items[i];

		pd_buf_printf(out, "%s%u", i ? "," : "", range->first);
		if (range->last > range->first)
			pd_buf_printf(out, "-%u", range->last);
	}
}
