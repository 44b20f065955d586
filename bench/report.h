/**
 * DOC: Summarizes one run, and prints the results next to those of the baseline and the oracle
 *
 * The oracle is a computed lower bound: it knows all service times in advance, always chooses the
 * fastest upstream of each service, and adds no overhead.
 */
#ifndef BENCH_REPORT_H
#define BENCH_REPORT_H

#include "audit.h"

#define BENCH_REASONS_MAX 16

/**
 * struct bench_reason - number of refused or partial answers with the same reason
 * @name: the reason
 * @count: number of answers
 */
struct bench_reason {
	char name[24];
	uint64_t count;
};

/**
 * struct bench_summary - results of one run
 *
 * Latencies, shares of queries, and the members from @refused to @reasons and @interrupted_attempts
 * cover the queries after the warm-up; all other counts cover the whole run.
 *
 * @queries: number of queries that arrived after the warm-up
 * @p50_ms: median latency of these queries, from their arrival to the end of the answer
 * @p99_ms: 99th percentile of the latency
 * @p999_ms: 99.9th percentile of the latency
 * @urgent_p99_ms: 99th percentile of the latency of urgent queries
 * @complete_in_deadline_share: share of queries with a complete answer within the deadline, 0 to 1
 * @urgent_in_deadline_share: the same among the urgent queries, 0 to 1
 * @complete_share: share of queries with a complete answer, 0 to 1
 * @mean_coverage: mean coverage of all queries, 0 to 1; a refused query or one without an answer
 * counts as 0
 * @refused: number of answers that say "refused"
 * @unknown: number of answers with an unknown outcome
 * @checks: number of answers by the result of their check
 * @reasons: reasons of refusals, and reasons of the first missing service of partial answers
 * @oracle_p50_ms: median latency of the oracle
 * @oracle_p99_ms: 99th percentile of the oracle's latency
 * @extra_load_share: requests of queries that upstreams began, beyond one for each service of each
 * query that was not refused, as a share of the latter
 * @requests_shed: requests that upstreams refused because of overload
 * @cold_overloads: number of times that a cold upstream ran more requests than it can serve while
 * cold, at least one of which was sent when its sender could know of the cold start
 * @unannounced_overloads: number of such overloads that began with a request whose sender couldn't
 * know of the cold start yet
 * @crashes: number of upstream crashes
 * @max_in_flight_cold: maximum number of requests that one cold upstream ran at the same time
 * @new_work_after_drain: requests that arrived after an upstream began to drain
 * @last_new_work_after_drain_ms: time from the start of the drain to the last such request, in ms
 * @interrupted_attempts: attempts that failed after an entry instance may have received the request
 * @failed_actions: actions of the fault plan that could not be run
 * @failed_stops: entry instances that did not exit in time and with status 0 at the end of the
 * experiment
 * @audited: whether @audit is filled
 * @audit: results of checking the answers against the records of the upstreams
 * @platform_calls_per_s: calls to the platform per second
 * @entry_cpu_cores: mean number of processor cores used by all entry instances together
 * @cpu_us_per_query: processor time of all entry instances per query, in microseconds
 * @max_entry_memory_kb: largest resident set size of an entry instance at the end of the run, in KB
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
	uint64_t interrupted_attempts;
	uint64_t failed_actions;
	uint64_t failed_stops;
	bool audited;
	struct bench_audit audit;
	double platform_calls_per_s;
	double entry_cpu_cores;
	double cpu_us_per_query;
	int64_t max_entry_memory_kb;
};

/**
 * struct bench_sample - counters at one time; the difference of two samples describes a run
 * @time_us: time of the sample, in microseconds of pd_os_now_us()
 * @upstreams: sums and maxima over all upstreams
 * @platform_calls: number of calls that the platform has received
 * @entry_cpu_us: processor time of all entry instances, in microseconds
 * @max_entry_memory_kb: largest resident set size of an entry instance, in KB
 */
struct bench_sample {
	int64_t time_us;
	struct bench_upstream_stats upstreams;
	int64_t platform_calls;
	int64_t entry_cpu_us;
	int64_t max_entry_memory_kb;
};

void bench_sample_take(struct bench_sample *sample, struct bench_deployment *deployment);
/* Computes the results from two samples; @audit is NULL if the run was not audited. */
void bench_summary_compute(struct bench_summary *summary, const struct bench_load *load,
			   const struct bench_sample *before, const struct bench_sample *after,
			   const struct bench_audit *audit);
/* Writes the sums of the counters of all entry instances, as lines of the form `name value`. */
void bench_counters_write(const char *path, struct bench_deployment *deployment);
/*
 * Writes the queries without a complete answer within the deadline, one per line: arrival time in
 * ms from the end of the warm-up, latency in ms, Request-Id, result of the check, coverage, and the
 * reason of the refusal or of the first missing service.
 */
void bench_failed_queries_write(const char *path, const struct bench_load *load);
/* Prints the results as a table; @product or @naive is NULL if it was not run. */
void bench_report_print(const struct bench_experiment *experiment,
			const struct bench_summary *product, const struct bench_summary *naive);
/* Writes the same results as JSON to @path. */
void bench_report_write(const char *path, const struct bench_experiment *experiment,
			const struct bench_summary *product, const struct bench_summary *naive);
/*
 * Prints each invariant that was violated, and for each requirement of the experiment whether it is
 * met. Returns the number of those that are violated or not met.
 */
int bench_report_check(const struct bench_experiment *experiment,
		       const struct bench_summary *product, const struct bench_summary *naive);

#endif
