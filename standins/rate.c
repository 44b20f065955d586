#include "rate.h"

#include <string.h>

#define STEP_US 10000 /* one second / STANDIN_RATE_STEPS */

/* Moves the window to @step and removes the calls of the steps that have left it. */
static void advance(struct standin_rate *rate, int64_t step)
{
	if (step - rate->step >= STANDIN_RATE_STEPS) {
		memset(rate->counts, 0, sizeof(rate->counts));
		rate->last_second_calls = 0;
		rate->step = step;
	}
	while (rate->step < step) {
		uint32_t *oldest = &rate->counts[++rate->step % STANDIN_RATE_STEPS];

		rate->last_second_calls -= *oldest;
		*oldest = 0;
	}
}

void standin_rate_count(struct standin_rate *rate, int64_t now_us)
{
	advance(rate, now_us / STEP_US);
	rate->counts[rate->step % STANDIN_RATE_STEPS]++;
	rate->total++;
	if (++rate->last_second_calls > rate->max_per_second)
		rate->max_per_second = rate->last_second_calls;
}
