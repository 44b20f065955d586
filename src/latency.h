/**
 * DOC: Quantiles and moving average of recent latencies
 *
 * A ring buffer of the latest samples, with a sorted copy that is refreshed every few samples. Not
 * thread-safe: the caller holds the lock that guards it.
 */
#ifndef PD_LATENCY_H
#define PD_LATENCY_H

#include <stdint.h>

#define PD_LATENCY_SAMPLES 512 /* capacity of the ring buffer */

/**
 * struct pd_latency - the latest latency samples
 * @ring: ring buffer of samples, in microseconds
 * @sorted: sorted copy of @ring as of the latest sort
 * @count: number of samples in @ring
 * @next_index: index in @ring that the next sample is written to
 * @sorted_count: number of samples in @sorted
 * @samples_since_sort: number of samples added since the latest sort
 * @mean_us: exponentially weighted moving average, in microseconds
 */
struct pd_latency {
	int64_t ring[PD_LATENCY_SAMPLES];
	int64_t sorted[PD_LATENCY_SAMPLES];
	uint32_t count;
	uint32_t next_index;
	uint32_t sorted_count;
	uint32_t samples_since_sort;
	double mean_us;
};

void pd_latency_init(struct pd_latency *latency);
/* Adds a sample; a negative one counts as 0. */
void pd_latency_add(struct pd_latency *latency, int64_t us);
/* Returns the @q quantile (0 to 1) in microseconds, or @fallback_us with fewer than 8 samples. */
int64_t pd_latency_quantile(struct pd_latency *latency, double q, int64_t fallback_us);
/* Returns the moving average in microseconds, or 0 without samples. */
double pd_latency_mean(const struct pd_latency *latency);

#endif
