#include "histogram.h"

#include <ck_pr.h>
#include <inttypes.h>

/* Upper bounds of the buckets; the latency objectives of the routes are between 50 and 800 ms. */
static const int64_t bounds_ms[PD_HISTOGRAM_BOUNDS] = {5,   10,	 20,  35,  50,	 75,   100,
						       150, 200, 400, 800, 1500, 3000, 6000};

void pd_histogram_add(struct pd_histogram *histogram, int64_t duration_us)
{
	size_t i = 0;

	while (i < PD_HISTOGRAM_BOUNDS && duration_us > bounds_ms[i] * 1000)
		i++;
	ck_pr_inc_64(&histogram->counts[i]);
	ck_pr_add_64(&histogram->sum_us, (uint64_t)duration_us);
}

void pd_histogram_print(const struct pd_histogram *histogram, const char *name, struct pd_buf *out)
{
	uint64_t total = 0;

	for (size_t i = 0; i < PD_HISTOGRAM_BOUNDS; i++) {
		total += ck_pr_load_64(&histogram->counts[i]);
		pd_buf_printf(out, "%s_ms_bucket{le=\"%" PRId64 "\"} %" PRIu64 "\n", name,
			      bounds_ms[i], total);
	}
	total += ck_pr_load_64(&histogram->counts[PD_HISTOGRAM_BOUNDS]);
	pd_buf_printf(out, "%s_ms_bucket{le=\"+Inf\"} %" PRIu64 "\n", name, total);
	pd_buf_printf(out, "%s_ms_sum %" PRIu64 "\n%s_ms_count %" PRIu64 "\n", name,
		      ck_pr_load_64(&histogram->sum_us) / 1000, name, total);
}
