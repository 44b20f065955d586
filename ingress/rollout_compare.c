#include "rollout_compare.h"

#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

/* The new version fails if its rate of failures is higher by this factor and share, and the
 * difference isn't chance, see struct thresholds.
 */
#define FAILURE_FACTOR 2.0
#define FAILURE_MARGIN 0.03
#define OUTAGE_SHARE   0.5 /* of the requests to a zone that fail in an outage */
/* If only the new version has so many results since the order, the old version is taken to have had
 * as many, the rest of them without a failure: a service whose traffic came after the order has
 * nothing to compare the new version's failures with, and 36 failures of 108 counted as chance.
 */
#define OLD_RESULTS_MIN	  40
#define REJECTIONS_MIN	  8
#define REJECTION_SHARE	  0.5
#define REJECTION_OLD_MAX 0.1
/* It is slow if its median latency is higher by this factor, which machines of different speeds
 * (0.8 to 1.3) and slow phases of one machine don't reach, and the difference isn't chance.
 */
#define SLOW_FACTOR 2.2

/**
 * struct thresholds - from when on a difference isn't chance
 * @failures_min: number of failures
 * @chance_max: probability of as many failures if both versions fail alike
 * @latencies_min: number of latencies
 * @deviations: standard deviations by which the ranks of the latencies differ
 */
struct thresholds {
	uint32_t failures_min;
	double chance_max;
	uint32_t latencies_min;
	double deviations;
};

/* A comparison is made every 50 ms, but of counts that are mostly the same; of one route among
 * some, it has to be clearer. Without the worst zone, it only has to point in the same direction.
 */
static const struct thresholds service_thresholds = {3, 0.0002, 5, 3.5};
static const struct thresholds part_thresholds = {3, 0.00005, 5, 3.8};
static const struct thresholds zone_thresholds = {2, 0.05, 2, 1.6};
/* A version that may be worse isn't completed before that is clear. */
static const struct thresholds doubt_thresholds = {2, 0.005, 5, 2.5};

/**
 * struct comparison - results of both versions, over some strata
 * @total: number of results
 * @failed: failures
 * @rejected: rejections
 * @rank_sum: sum over the strata of how much the ranks of the new version's latencies exceed those
 *	that are expected if the versions don't differ
 * @rank_variance: variance of @rank_sum
 * @ratio_sum: logarithm of the ratio of the medians, weighted by @latencies
 * @latencies: number of latencies of the new version that have a counterpart
 */
struct comparison {
	uint32_t total[PD_ROLLOUT_SIDES];
	uint32_t failed[PD_ROLLOUT_SIDES];
	uint32_t rejected[PD_ROLLOUT_SIDES];
	double rank_sum;
	double rank_variance;
	double ratio_sum;
	uint32_t latencies;
};

static uint32_t count_latencies(const struct pd_rollout_counts *counts)
{
	uint32_t count = 0;

	for (size_t i = 0; i < PD_ROLLOUT_BINS; i++)
		count += counts->latency[i];
	return count;
}

static double median_latency_us(const struct pd_rollout_counts *counts, uint32_t count)
{
	uint32_t below = 0;
	size_t bin = 0;

	while (bin < PD_ROLLOUT_BINS - 1 && 2 * (below + counts->latency[bin]) < count)
		below += counts->latency[bin++];
	return pd_rollout_bin_latency_us(bin);
}

double pd_rollout_mean_latency_us(const struct pd_rollout_evidence *evidence,
				  enum pd_rollout_side side)
{
	double sum = 0, count = 0;

	for (size_t i = 0; i < evidence->count; i++) {
		const struct pd_rollout_counts *counts = &evidence->strata[i].sides[side];

		for (size_t bin = 0; bin < PD_ROLLOUT_BINS; bin++) {
			sum += counts->latency[bin] * pd_rollout_bin_latency_us(bin);
			count += counts->latency[bin];
		}
	}
	return count > 0 ? sum / count : 0;
}

/* Adds the latencies of one stratum: the rank sum test with ties. */
static void add_latencies(struct comparison *comparison, const struct pd_rollout_counts *old,
			  const struct pd_rollout_counts *new)
{
	double old_count = count_latencies(old), new_count = count_latencies(new);
	double all = old_count + new_count, below = 0, ranks = 0, ties = 0;

	if (old_count < 1 || new_count < 1)
		return;
	for (size_t i = 0; i < PD_ROLLOUT_BINS; i++) {
		double tied = (double)old->latency[i] + new->latency[i];

		ranks += new->latency[i] * (below + (tied + 1) / 2);
		ties += tied * tied * tied - tied;
		below += tied;
	}
	/* Weighted by the inverse of the stratum's size, so that the strata count alike. */
	comparison->rank_sum += (ranks - new_count * (all + 1) / 2) / (all + 1);
	if (all > 1)
		comparison->rank_variance += old_count * new_count / 12 *
					     (all + 1 - ties / (all * (all - 1))) /
					     ((all + 1) * (all + 1));
	comparison->ratio_sum += new_count * log(median_latency_us(new, (uint32_t)new_count) /
						 median_latency_us(old, (uint32_t)old_count));
	comparison->latencies += (uint32_t)new_count;
}

static uint32_t count_results(const struct pd_rollout_counts *counts)
{
	return counts->ok + counts->failed;
}

/* Sums up the strata of a route, or all if @route is empty, without those of a zone, unless that is
 * 0.
 */
static void sum_up(const struct pd_rollout_evidence *evidence, const struct pd_name *route,
		   uint64_t without_zone, struct comparison *comparison)
{
	memset(comparison, 0, sizeof(*comparison));
	for (size_t i = 0; i < evidence->count; i++) {
		const struct pd_rollout_stratum *stratum = &evidence->strata[i];

		if ((route->len && !pd_name_equal(&stratum->route, route)) ||
		    (without_zone && stratum->zone == without_zone))
			continue;
		for (int side = 0; side < PD_ROLLOUT_SIDES; side++) {
			comparison->total[side] += count_results(&stratum->sides[side]);
			comparison->failed[side] += stratum->sides[side].failed;
			comparison->rejected[side] += stratum->sides[side].rejected;
		}
		add_latencies(comparison, &stratum->sides[PD_ROLLOUT_OLD],
			      &stratum->sides[PD_ROLLOUT_NEW]);
	}
}

static double log_choose(double n, double k)
{
	int sign;

	return lgamma_r(n + 1, &sign) - lgamma_r(k + 1, &sign) - lgamma_r(n - k + 1, &sign);
}

/* Returns the probability that at least as many failures fall on the new version if both versions
 * fail alike (Fisher's exact test).
 */
static double failure_chance(const struct comparison *comparison)
{
	double new_total = comparison->total[PD_ROLLOUT_NEW];
	double all = new_total + comparison->total[PD_ROLLOUT_OLD];
	double failed =
		(double)comparison->failed[PD_ROLLOUT_NEW] + comparison->failed[PD_ROLLOUT_OLD];
	double chance = 0;

	for (double k = comparison->failed[PD_ROLLOUT_NEW]; k <= failed && k <= new_total; k++) {
		if (new_total - k <= all - failed)
			chance += exp(log_choose(failed, k) +
				      log_choose(all - failed, new_total - k) -
				      log_choose(all, new_total));
	}
	return chance;
}

static double share_of(uint32_t part, uint32_t whole)
{
	return whole ? (double)part / whole : 0;
}

static double latency_factor(const struct comparison *comparison)
{
	return comparison->latencies ? exp(comparison->ratio_sum / comparison->latencies) : 0;
}

static double latency_deviations(const struct comparison *comparison)
{
	return comparison->rank_variance > 0
		       ? comparison->rank_sum / sqrt(comparison->rank_variance)
		       : 0;
}

static bool fails_more(const struct comparison *comparison, const struct thresholds *thresholds)
{
	double old_rate =
		share_of(comparison->failed[PD_ROLLOUT_OLD], comparison->total[PD_ROLLOUT_OLD]);
	double new_rate =
		share_of(comparison->failed[PD_ROLLOUT_NEW], comparison->total[PD_ROLLOUT_NEW]);

	return comparison->failed[PD_ROLLOUT_NEW] >= thresholds->failures_min &&
	       new_rate >= old_rate * FAILURE_FACTOR && new_rate >= old_rate + FAILURE_MARGIN &&
	       failure_chance(comparison) < thresholds->chance_max;
}

static void assume_old_results(struct comparison *comparison)
{
	if (comparison->total[PD_ROLLOUT_OLD] < OLD_RESULTS_MIN &&
	    comparison->total[PD_ROLLOUT_NEW] >= OLD_RESULTS_MIN)
		comparison->total[PD_ROLLOUT_OLD] = OLD_RESULTS_MIN;
}

static bool is_slower(const struct comparison *comparison, const struct thresholds *thresholds)
{
	return comparison->latencies >= thresholds->latencies_min &&
	       latency_factor(comparison) >= SLOW_FACTOR &&
	       latency_deviations(comparison) >= thresholds->deviations;
}

static bool rejects_more(const struct comparison *comparison)
{
	const uint32_t *rejected = comparison->rejected, *total = comparison->total;

	return rejected[PD_ROLLOUT_NEW] >= REJECTIONS_MIN &&
	       share_of(rejected[PD_ROLLOUT_NEW],
			rejected[PD_ROLLOUT_NEW] + total[PD_ROLLOUT_NEW]) >= REJECTION_SHARE &&
	       share_of(rejected[PD_ROLLOUT_OLD],
			rejected[PD_ROLLOUT_OLD] + total[PD_ROLLOUT_OLD]) <= REJECTION_OLD_MAX;
}

static const char *find_objection(const struct comparison *comparison, bool latency_too,
				  const struct thresholds *thresholds)
{
	if (fails_more(comparison, thresholds))
		return "failures";
	if (latency_too && is_slower(comparison, thresholds))
		return "latency";
	return latency_too && rejects_more(comparison) ? "rejections" : NULL;
}

static void describe(const struct comparison *comparison, struct pd_rollout_verdict *verdict)
{
	snprintf(verdict->figures, sizeof(verdict->figures),
		 "route=%s old=%" PRIu32 " old_failed=%" PRIu32 " old_rejected=%" PRIu32
		 " new=%" PRIu32 " new_failed=%" PRIu32 " new_rejected=%" PRIu32
		 " failure_chance=%.2g latency_factor=%.2f deviations=%.1f",
		 verdict->route.len ? verdict->route.text : "-", comparison->total[PD_ROLLOUT_OLD],
		 comparison->failed[PD_ROLLOUT_OLD], comparison->rejected[PD_ROLLOUT_OLD],
		 comparison->total[PD_ROLLOUT_NEW], comparison->failed[PD_ROLLOUT_NEW],
		 comparison->rejected[PD_ROLLOUT_NEW], failure_chance(comparison),
		 latency_factor(comparison), latency_deviations(comparison));
}

/* Whether less than half of the new version's results have results of the old one in their zone. */
static bool zones_differ(const struct pd_rollout_evidence *evidence)
{
	uint32_t matched = 0, all = 0;

	for (size_t i = 0; i < evidence->count; i++) {
		const struct pd_rollout_counts *sides = evidence->strata[i].sides;

		all += count_results(&sides[PD_ROLLOUT_NEW]);
		if (count_results(&sides[PD_ROLLOUT_OLD]))
			matched += count_results(&sides[PD_ROLLOUT_NEW]);
	}
	return 2 * matched < all;
}

/* Whether the new version has results of the route, or of any if it is empty. */
static bool has_results(const struct pd_rollout_stratum *stratum, const struct pd_name *route)
{
	return (!route->len || pd_name_equal(&stratum->route, route)) &&
	       count_results(&stratum->sides[PD_ROLLOUT_NEW]);
}

size_t pd_rollout_count_zones(const struct pd_rollout_evidence *evidence,
			      const struct pd_name *route)
{
	size_t zones = 0;

	for (size_t i = 0; i < evidence->count; i++) {
		bool counted = !has_results(&evidence->strata[i], route);

		for (size_t j = 0; j < i && !counted; j++)
			counted = evidence->strata[j].zone == evidence->strata[i].zone &&
				  has_results(&evidence->strata[j], route);
		zones += !counted;
	}
	return zones;
}

/* Whether the new version is also worse without any one of the zones. A fault of one zone would
 * show only there.
 */
static bool holds_without_each_zone(const struct pd_rollout_evidence *evidence,
				    const struct pd_name *route,
				    const struct pd_rollout_scope *scope)
{
	struct comparison all, comparison;

	sum_up(evidence, route, 0, &all);
	for (size_t i = 0; i < evidence->count; i++) {
		sum_up(evidence, route, evidence->strata[i].zone, &comparison);
		if (!scope->part)
			assume_old_results(&comparison);
		if (comparison.total[PD_ROLLOUT_NEW] &&
		    comparison.total[PD_ROLLOUT_NEW] < all.total[PD_ROLLOUT_NEW] &&
		    !find_objection(&comparison, scope->latency_too, &zone_thresholds))
			return false;
	}
	return true;
}

/* Whether most requests to the new version in one zone fail. */
static bool has_outage(const struct pd_rollout_evidence *evidence)
{
	bool outage = false;

	for (size_t i = 0; i < evidence->count && !outage; i++) {
		uint32_t total = 0, failed = 0;

		for (size_t j = 0; j < evidence->count; j++) {
			const struct pd_rollout_counts *counts =
				&evidence->strata[j].sides[PD_ROLLOUT_NEW];

			if (evidence->strata[j].zone != evidence->strata[i].zone)
				continue;
			total += count_results(counts);
			failed += counts->failed;
		}
		outage = share_of(failed, total) >= OUTAGE_SHARE;
	}
	return outage;
}

void pd_rollout_compare(struct pd_rollout_evidence *evidence, const struct pd_rollout_scope *scope,
			struct pd_rollout_verdict *verdict)
{
	const struct thresholds *thresholds = scope->part ? &part_thresholds : &service_thresholds;
	struct comparison comparison, route;
	const char *doubt;

	memset(verdict, 0, sizeof(*verdict));
	if (zones_differ(evidence))
		pd_rollout_evidence_merge_zones(evidence);
	sum_up(evidence, &verdict->route, 0, &comparison);
	if (!scope->part)
		assume_old_results(&comparison);
	verdict->samples = comparison.total[PD_ROLLOUT_NEW];
	verdict->reason = find_objection(&comparison, scope->latency_too, thresholds);
	for (size_t i = 0; i < evidence->count && !verdict->reason; i++) {
		sum_up(evidence, &evidence->strata[i].route, 0, &route);
		verdict->reason = find_objection(&route, scope->latency_too, &part_thresholds);
		if (!verdict->reason)
			continue;
		verdict->route = evidence->strata[i].route;
		comparison = route;
	}
	doubt = verdict->reason
			? verdict->reason
			: find_objection(&comparison, scope->latency_too, &doubt_thresholds);
	/* Without a zone that has an outage, failures may have fallen on one zone by chance. */
	if (doubt && scope->zones > 1 &&
	    (pd_rollout_count_zones(evidence, &verdict->route) < 2 ||
	     !holds_without_each_zone(evidence, &verdict->route, scope))) {
		verdict->reason = NULL;
		if (comparison.failed[PD_ROLLOUT_NEW] < doubt_thresholds.failures_min ||
		    has_outage(evidence))
			doubt = NULL;
	}
	verdict->doubtful = doubt && !verdict->reason;
	verdict->bad = verdict->reason != NULL;
	describe(&comparison, verdict);
}
