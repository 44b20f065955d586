#include "counters.h"

#include <ck_pr.h>
#include <inttypes.h>

static uint64_t values[PD_COUNTER_COUNT];

static const char *const names[PD_COUNTER_COUNT] = {
#define X(name) [PD_COUNT_##name] = #name,
	PD_COUNTER_LIST(X)
#undef X
};

void pd_count(enum pd_counter counter)
{
	ck_pr_inc_64(&values[counter]);
}

void pd_count_add(enum pd_counter counter, uint64_t n)
{
	ck_pr_add_64(&values[counter], n);
}

void pd_count_set(enum pd_counter counter, uint64_t value)
{
	/* An exchange, because the thread sanitizer takes a store of Concurrency Kit for a plain
	 * write, which races with the atomic reads.
	 */
	(void)ck_pr_fas_64(&values[counter], value);
}

uint64_t pd_count_get(enum pd_counter counter)
{
	/* The thread sanitizer reports a load of Concurrency Kit, a plain volatile read, as a race.
	 */
	return ck_pr_faa_64(&values[counter], 0);
}

const char *pd_counter_name(enum pd_counter counter)
{
	return names[counter];
}

void pd_counters_print(struct pd_buf *out)
{
	for (int i = 0; i < PD_COUNTER_COUNT; i++)
		pd_buf_printf(out, "%s %" PRIu64 "\n", names[i], pd_count_get(i));
}
