/**
 * DOC: Quantiles of recent latencies
 *
 * A ring of the latest samples with a sorted copy that is refreshed every few samples. Not
 * thread-safe: the owner's lock guards it.
 */
#ifndef PD_LATENCY_H
#define PD_LATENCY_H

#include <stdint.h>

#define PD_LATENCY_SAMPLES 512

struct pd_latency {
	int64_t ring[PD_LATENCY_SAMPLES]; /* microseconds */
	int64_t sorted[PD_LATENCY_SAMPLES];
	uint32_t count; /* samples in the ring */
	uint32_t next_index;
	uint32_t sorted_count;
	uint32_t samples_since_sort;
	double mean_us; /* exponentially weighted */
};

void pd_latency_init(struct pd_latency *latency);
void pd_latency_add(struct pd_latency *latency, int64_t us);
/* The @q quantile (0 to 1) in microseconds; @fallback_us with fewer than 8 samples. */
int64_t pd_latency_quantile(struct pd_latency *latency, double q, int64_t fallback_us);
double pd_latency_mean(const struct pd_latency *latency); /* 0 without samples */

#endif
