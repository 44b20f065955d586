/**
 * DOC: Highest number of calls within any one second
 *
 * Counts calls in a sliding window of one second that advances in steps of 10 ms. The caller passes
 * the current time. Not thread-safe.
 */
#ifndef STANDIN_RATE_H
#define STANDIN_RATE_H

#include <stdint.h>

#define STANDIN_RATE_STEPS 100 /* steps in the window of one second */

/**
 * struct standin_rate - call counter with a sliding window; zero-initialised before the first call
 * @counts: calls in each step of the window; step n is stored at n % STANDIN_RATE_STEPS
 * @step: number of the newest step, counted from time 0
 * @last_second_calls: calls in the window, which is the sum of @counts
 * @max_per_second: highest value that @last_second_calls has had
 * @total: calls since the start
 */
struct standin_rate {
	uint32_t counts[STANDIN_RATE_STEPS];
	int64_t step;
	uint64_t last_second_calls;
	uint64_t max_per_second;
	uint64_t total;
};

/* Counts one call at the monotonic time @now_us, in microseconds. */
void standin_rate_count(struct standin_rate *rate, int64_t now_us);

#endif
