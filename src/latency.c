#include "latency.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define MIN_SAMPLES 8 /* a quantile of fewer samples isn't meaningful */
/* Number of new samples after which they are sorted again, from SORT_ALWAYS_BELOW samples on. */
#define SORT_INTERVAL 16
/* With fewer samples, each new one shifts the quantiles, so they are sorted for each quantile. */
#define SORT_ALWAYS_BELOW  64
#define MEAN_SAMPLE_WEIGHT (1.0 / 16) /* weight of a new sample in the moving average */

void pd_latency_init(struct pd_latency *latency)
{
	memset(latency, 0, sizeof(*latency));
}

void pd_latency_add(struct pd_latency *latency, int64_t us)
{
	if (us < 0)
		us = 0;
	if (latency->count)
		latency->mean_us += ((double)us - latency->mean_us) * MEAN_SAMPLE_WEIGHT;
	else
		latency->mean_us = (double)us;
	latency->ring[latency->next_index] = us;
	latency->next_index = (latency->next_index + 1) % PD_LATENCY_SAMPLES;
	if (latency->count < PD_LATENCY_SAMPLES)
		latency->count++;
	latency->samples_since_sort++;
}

static int compare_us(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

/* Sorts the samples again if the sorted copy is out of date. */
static void refresh_sorted(struct pd_latency *latency)
{
	if (!latency->samples_since_sort)
		return;
	if (latency->count >= SORT_ALWAYS_BELOW && latency->sorted_count &&
	    latency->samples_since_sort < SORT_INTERVAL)
		return;
	memcpy(latency->sorted, latency->ring, latency->count * sizeof(latency->ring[0]));
	qsort(latency->sorted, latency->count, sizeof(latency->sorted[0]), compare_us);
	latency->sorted_count = latency->count;
	latency->samples_since_sort = 0;
}

int64_t pd_latency_quantile(struct pd_latency *latency, double q, int64_t fallback_us)
{
	double rank;

	if (latency->count < MIN_SAMPLES)
		return fallback_us;
	refresh_sorted(latency);
	rank = ceil(q * latency->sorted_count) - 1;
	if (!(rank > 0))
		return latency->sorted[0];
	if (rank > latency->sorted_count - 1)
		rank = latency->sorted_count - 1;
	return latency->sorted[(uint32_t)rank];
}

double pd_latency_mean(const struct pd_latency *latency)
{
	return latency->mean_us;
}
