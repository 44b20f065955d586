/**
 * DOC: Comparison of two versions by the results of their upstreams
 *
 * Made for about 40 requests per second to both versions, of which the new one gets a twentieth, or
 * all for about a second.
 */
#ifndef PD_ROLLOUT_COMPARE_H
#define PD_ROLLOUT_COMPARE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "rollout_evidence.h"
#include "str.h"

#define PD_ROLLOUT_FIGURES_BYTES 320

/**
 * struct pd_rollout_verdict - comparison of the two versions
 * @bad: the new version is worse
 * @doubtful: it may be worse, which more results will show
 * @reason: why, for the log
 * @route: route that shows it; empty for all
 * @samples: number of responses of the new version
 * @figures: figures of the comparison as key=value pairs, for the log
 */
struct pd_rollout_verdict {
	bool bad;
	bool doubtful;
	const char *reason;
	struct pd_name route;
	uint32_t samples;
	char figures[PD_ROLLOUT_FIGURES_BYTES];
};

/**
 * struct pd_rollout_scope - what a comparison covers
 * @latency_too: latencies and rejections, too
 * @part: one of some parts of the results, of which one may differ by chance
 * @zones: number of zones with results of the new version, if the versions had their results at
 *	different times, so that a fault of one zone may affect one version only: then the new
 *	version has to be worse in more than one of them; 1 otherwise
 */
struct pd_rollout_scope {
	bool latency_too;
	bool part;
	size_t zones;
};

/* Compares the versions. Merges the zones of @evidence if most results of the new version have no
 * counterpart in their zone.
 */
void pd_rollout_compare(struct pd_rollout_evidence *evidence, const struct pd_rollout_scope *scope,
			struct pd_rollout_verdict *verdict);
/* Returns the number of zones in which the new version has results of the route, or of any if it is
 * empty.
 */
size_t pd_rollout_count_zones(const struct pd_rollout_evidence *evidence,
			      const struct pd_name *route);
/* Returns the mean latency of a version in microseconds; 0 without results. */
double pd_rollout_mean_latency_us(const struct pd_rollout_evidence *evidence,
				  enum pd_rollout_side side);

#endif
