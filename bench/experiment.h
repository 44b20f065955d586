/**
 * DOC: An experiment file: size of the deployment, load, timed faults and requirements
 */
#ifndef BENCH_EXPERIMENT_H
#define BENCH_EXPERIMENT_H

#include "settings.h"

#define BENCH_ZONES_MAX 10

/**
 * struct bench_experiment - contents of an experiment file
 *
 * The suffixes _ms and _us of names stand for milliseconds and microseconds.
 *
 * @title: title that the report shows
 * @target: "product", "naive" or "both"
 * @seed: seed of arrival times and service times
 * @duration_ms: duration of the measured load, which follows the warm-up
 * @warmup_ms: duration of the load before measuring starts
 * @rate: queries per second
 * @deadline_ms: deadline of each query, from its arrival
 * @urgent_share: share of queries that are urgent, 0 to 1
 * @runs_rate: non-idempotent requests per second
 * @callers: number of threads that send queries; must be high enough that no query has to wait for
 * the answer to another one before it is sent
 * @zone_names: zone names, separated by spaces
 * @entries: number of entry instances in all zones
 * @services: number of services in the collection
 * @replicas: number of upstreams of each service
 * @slots: maximum number of requests that each upstream runs at the same time
 * @connections: maximum number of connections that each upstream accepts
 * @connect_ms: time by which an upstream delays the first request on a connection, as a slow
 * handshake would
 * @service_ms: median service time
 * @sigma: standard deviation of the logarithm of the service time, which has a lognormal
 * distribution
 * @slow_share: share of slow requests, 0 to 1
 * @slow_factor: factor by which the service time of a slow request is multiplied
 * @cold_ms: duration of a cold start
 * @cold_max_requests: number of requests that a cold upstream can run at the same time without
 * being overloaded (key "upstreams.cold_bears")
 * @zone_delay_us: network delay between zones, in one direction
 * @buckets: number of buckets in the collection
 * @index_period_ms: time between two index versions; 0 if no new version is published
 * @lame_duck_ms: setting "shutdown.lame_duck_ms" of the entry instances
 * @log_level: setting "log.level" of the entry instances, 3 to 7
 * @faults: list of "AT_MS ACTION ARGUMENTS", see bench_fault_run(); AT_MS counts from the end of
 * the warm-up and may be negative
 * @max_p99_ratio: maximum ratio of the product's p99 to the baseline's p99; 0: not checked
 * @max_oracle_ratio: maximum ratio of the product's p99 to the oracle's p99; 0: not checked
 * @max_extra: maximum extra load on the upstreams, as a share of one sub-request for each query and
 * service; 0: not checked
 * @min_whole: minimum share of complete answers; 0: not checked
 * @max_cold_overloads: maximum number of times that a cold upstream is overloaded; -1: not checked
 * @max_new_work_after_drain_ms: maximum time from the start of an upstream's drain to the last new
 * request that it receives; -1: not checked
 * @min_urgent_in_deadline: minimum share of urgent queries with a complete answer within the
 * deadline; -1: not checked
 * @min_coverage: minimum mean coverage of all queries; -1: not checked
 * @max_unknown: maximum number of queries and ids whose outcome is still unknown at the end; -1:
 * not checked
 * @max_no_answer: maximum number of queries without an answer; -1: not checked
 * @max_interrupted: maximum number of attempts that failed after an entry instance may have
 * received the request; -1: not checked
 * @zones: names from @zone_names
 * @zone_count: number of zones
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

/* Reads and checks an experiment file; appends the errors in the file to @errors, one per line. */
enum pd_code bench_experiment_load(struct bench_experiment *experiment, const char *path,
				   struct pd_buf *errors, struct pd_error *err);

#endif
