/**
 * DOC: An experiment: the deployment's shape, the load, and faults with their times
 */
#ifndef BENCH_EXPERIMENT_H
#define BENCH_EXPERIMENT_H

#include "settings.h"

#define BENCH_ZONES_MAX 10

/**
 * struct bench_experiment - an experiment file
 * @title: shown in the report
 * @target: "product", "naive" or "both"
 * @seed: of arrivals and service times
 * @duration_ms: load after the warm-up
 * @warmup_ms: load before measuring
 * @rate: queries a second
 * @deadline_ms: of each query
 * @urgent_share: 0 to 1
 * @runs_rate: non-idempotent requests a second
 * @callers: threads that send queries; enough that none waits for another's answer
 * @zone_names: separated by blanks
 * @entries: entry instances over all zones
 * @services: services of the collection
 * @replicas: upstreams of each service
 * @slots: of each upstream
 * @connections: of each upstream
 * @connect_ms: time that a new connection takes
 * @service_ms: median service time
 * @sigma: of its lognormal distribution
 * @slow_share: share of requests that are slower
 * @slow_factor: by this factor
 * @cold_ms: length of a cold start
 * @cold_max_requests: requests that a cold upstream bears
 * @zone_delay_us: one way between zones
 * @buckets: in the collection
 * @index_period_ms: a new index version comes this often; 0: never
 * @lame_duck_ms: setting of the entry instances
 * @log_level: setting of the entry instances, 3 to 7
 * @faults: "AT_MS ACTION ARGUMENTS", see bench_fault_run()
 * @max_p99_ratio: fail when the product's p99 is above this share of the baseline's; 0: not checked
 * @max_oracle_ratio: fail when the product's p99 is above this multiple of the oracle's; 0: not
 * checked
 * @max_extra: fail when the extra load on upstreams is above this share; 0: not checked
 * @min_whole: fail when the share of whole answers is below; 0: not checked
 * @max_cold_overloads: fail when cold upstreams held more than they bear more often; -1: not
 * checked
 * @max_new_work_after_drain_ms: fail when an upstream gets new work later after the begin of its
 * drain; -1: not checked
 * @min_urgent_in_deadline: fail when the share of urgent queries with a whole answer within the
 * deadline is below; -1: not checked
 * @min_coverage: fail when the mean coverage is below; -1: not checked
 * @max_unknown: fail when more queries and ids have an unknown outcome at the end; -1: not checked
 * @max_no_answer: fail when more queries have no answer; -1: not checked
 * @max_interrupted: fail when more attempts broke off that an entry instance may have received; -1:
 * not checked
 */
struct bench_experiment {
	char title[PD_SETTING_TEXT_MAX_BYTES];
	char target[PD_SETTING_TEXT_MAX_BYTES];
	int64_t seed;
	int64_t duration_ms;
	int64_t warmup_ms;
	double rate;
	int64_t deadline_ms;
	double urgent_share;
	double runs_rate;
	int64_t callers;
	char zone_names[PD_SETTING_TEXT_MAX_BYTES];
	int64_t entries;
	int64_t services;
	int64_t replicas;
	int64_t slots;
	int64_t connections;
	int64_t connect_ms;
	double service_ms;
	double sigma;
	double slow_share;
	double slow_factor;
	int64_t cold_ms;
	int64_t cold_max_requests;
	int64_t zone_delay_us;
	int64_t buckets;
	int64_t index_period_ms;
	int64_t lame_duck_ms;
	int64_t log_level;
	struct pd_text_list faults;
	double max_p99_ratio;
	double max_oracle_ratio;
	double max_extra;
	double min_whole;
	int64_t max_cold_overloads;
	int64_t max_new_work_after_drain_ms;
	double min_urgent_in_deadline;
	double min_coverage;
	int64_t max_unknown;
	int64_t max_no_answer;
	int64_t max_interrupted;
	struct pd_name zones[BENCH_ZONES_MAX];
	uint32_t zone_count;
};

/* Reads and checks an experiment file; faults of the file go to @faults, one a line. */
enum pd_code bench_experiment_load(struct bench_experiment *experiment, const char *path,
				   struct pd_buf *faults, struct pd_error *err);

#endif
