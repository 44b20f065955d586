/**
 * DOC: Figures of one run, side by side with the baseline and the oracle
 */
#ifndef BENCH_REPORT_H
#define BENCH_REPORT_H

#include "audit.h"

#define BENCH_REASONS_MAX 16

/** struct bench_reason - answers that are refused or lack a service for this reason */
struct bench_reason {
	char name[24];
	uint64_t count;
};

/**
 * struct bench_summary - what one run gave; latencies in milliseconds
 * @queries: arrivals after the warm-up
 * @p50_ms: of all answers, from their arrival
 * @complete_in_deadline_share: share of whole answers within the deadline
 * @complete_share: share of complete answers
 * @mean_coverage: mean over all queries; a refused or missing answer covers nothing
 * @refused: answers that said "not run"
 * @unknown: answers with an unknown outcome
 * @checks: answers by verdict
 * @reasons: refusals by their reason, partial answers by that of the first missing service
 * @oracle_p99_ms: p99 of the best choice in hindsight
 * @extra_load_share: requests that upstreams began, beyond one for each service of each query that
 * wasn't refused
 * @requests_shed: requests that upstreams refused for load
 * @cold_overloads: times that a cold upstream held more than it bears
 * @unannounced_overloads: the same, before anybody could know of the cold start
 * @crashes: of upstreams
 * @max_in_flight_cold: most requests that one cold upstream ran at once
 * @new_work_after_drain: requests that came after an upstream began to drain
 * @last_new_work_after_drain_ms: time from the begin of the drain to the last of these
 * @interrupted: attempts that an entry instance may have received and didn't answer
 * @failed_faults: faults of the plan that couldn't be run
 * @failed_stops: entry instances that didn't end with status 0 at the end of the experiment
 * @audited: @audit is filled
 * @audit: answers against the upstreams' records
 * @platform_calls_per_s: a second
 * @entry_cpu_cores: cores used by all entry instances
 * @cpu_us_per_query: processor time for each query, in microseconds
 * @max_entry_memory_kb: largest resident size of an entry instance
 */
struct bench_summary {
	uint64_t queries;
	double p50_ms;
	double p99_ms;
	double p999_ms;
	double urgent_p99_ms;
	double complete_in_deadline_share;
	double urgent_in_deadline_share;
	double complete_share;
	double mean_coverage;
	uint64_t refused;
	uint64_t unknown;
	uint64_t checks[BENCH_CHECK_COUNT];
	struct bench_reason reasons[BENCH_REASONS_MAX];
	double oracle_p50_ms;
	double oracle_p99_ms;
	double extra_load_share;
	int64_t requests_shed;
	int64_t cold_overloads;
	int64_t unannounced_overloads;
	int64_t crashes;
	int64_t max_in_flight_cold;
	int64_t new_work_after_drain;
	int64_t last_new_work_after_drain_ms;
	uint64_t interrupted;
	uint64_t failed_faults;
	uint64_t failed_stops;
	bool audited;
	struct bench_audit audit;
	double platform_calls_per_s;
	double entry_cpu_cores;
	double cpu_us_per_query;
	int64_t max_entry_memory_kb;
};

/**
 * struct bench_sample - counters that a run is measured between
 */
struct bench_sample {
	int64_t time_us;
	struct bench_upstream_stats upstreams;
	int64_t platform_calls;
	int64_t entry_cpu_us;
	int64_t max_entry_memory_kb;
};

void bench_sample_take(struct bench_sample *sample, struct bench_deployment *deployment);
/* @audit may be NULL. */
void bench_summary_compute(struct bench_summary *figures, const struct bench_load *load,
			   const struct bench_sample *before, const struct bench_sample *after,
			   const struct bench_audit *audit);
/* Writes the sums of the entry instances' counters, one `name value` a line. */
void bench_counters_write(const char *path, struct bench_deployment *deployment);
/*
 * Writes the queries without a whole answer in time, one a line: arrival (ms from the end of the
 * warm-up), latency (ms), Request-Id, verdict, coverage and reason of the first missing service.
 */
void bench_failed_queries_write(const char *path, const struct bench_load *load);
/* Prints a table; @naive or @product may be NULL. */
void bench_report_print(const struct bench_experiment *experiment,
			const struct bench_summary *product, const struct bench_summary *naive);
/* Writes the same as JSON to @path. */
void bench_report_write(const char *path, const struct bench_experiment *experiment,
			const struct bench_summary *product, const struct bench_summary *naive);
/* Prints each requirement of the experiment that isn't met; returns the number. */
int bench_report_check(const struct bench_experiment *experiment,
		       const struct bench_summary *product, const struct bench_summary *naive);

#endif
