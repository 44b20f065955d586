/**
 * DOC: The highest number of calls in any one second
 *
 * Counts in steps of 10 ms, so that the second may start at any of these. Time is a parameter. Not
 * thread-safe.
 */
#ifndef STANDIN_RATE_H
#define STANDIN_RATE_H

#include <stdint.h>

#define STANDIN_RATE_STEPS 100

/**
 * struct standin_rate - all zero before the first call
 * @counts: calls in each of the last steps
 * @step: number of the newest step
 * @last_second_calls: calls in the last second
 * @max_per_second: highest @last_second_calls so far
 * @total: all calls
 */
struct standin_rate {
	uint32_t counts[STANDIN_RATE_STEPS];
	int64_t step;
	uint64_t last_second_calls;
	uint64_t max_per_second;
	uint64_t total;
};

void standin_rate_count(struct standin_rate *rate, int64_t now_us);

#endif
