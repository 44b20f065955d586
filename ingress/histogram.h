/**
 * DOC: Latency histogram with fixed bounds, in the text form that metrics collectors read
 */
#ifndef PD_HISTOGRAM_H
#define PD_HISTOGRAM_H

#include <stdint.h>

#include "str.h"

#define PD_HISTOGRAM_BOUNDS 14

/**
 * struct pd_histogram - counts of durations
 * @counts: durations up to each bound; the last one counts those beyond all bounds
 * @sum_us: sum of all durations
 */
struct pd_histogram {
	uint64_t counts[PD_HISTOGRAM_BOUNDS + 1];
	uint64_t sum_us;
};

void pd_histogram_add(struct pd_histogram *histogram, int64_t us); /* from any thread */
void pd_histogram_print(const struct pd_histogram *histogram, const char *name, struct pd_buf *out);

#endif
