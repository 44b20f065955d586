/**
 * DOC: Latency histogram with fixed bucket bounds, printed in the Prometheus text format
 */
#ifndef PD_HISTOGRAM_H
#define PD_HISTOGRAM_H

#include <stdint.h>

#include "str.h"

#define PD_HISTOGRAM_BOUNDS 14

/**
 * struct pd_histogram - counts of durations
 * @counts: number of durations in each bucket. A bucket includes its upper bound; the last bucket
 *	    holds the durations above all bounds.
 * @sum_us: sum of all durations in microseconds
 */
struct pd_histogram {
	uint64_t counts[PD_HISTOGRAM_BOUNDS + 1];
	uint64_t sum_us;
};

/* Adds a duration; thread-safe. */
void pd_histogram_add(struct pd_histogram *histogram, int64_t duration_us);
/* Appends the buckets, sum and count of metric @name to @out. */
void pd_histogram_print(const struct pd_histogram *histogram, const char *name, struct pd_buf *out);

#endif
