/**
 * DOC: Open-loop load: arrivals at times drawn from a seed, whatever the answers do
 *
 * A query's latency counts from its arrival time, so that a slow answer doesn't hide the ones
 * behind it.
 */
#ifndef BENCH_LOAD_H
#define BENCH_LOAD_H

#include "deployment.h"
#include "ranges.h"

/** enum bench_check - what an answer's own content says. */
enum bench_check {
	BENCH_GOOD = 0,
	BENCH_NO_ANSWER, /* connection failed or broke */
	BENCH_WRONG_REQUEST, /* answer of another request */
	BENCH_MIXED_SNAPSHOTS,
	BENCH_WRONG_COVERAGE, /* hits don't cover what the answer states */
	BENCH_MALFORMED,
	BENCH_CHECK_COUNT,
};

enum bench_answer_type {
	BENCH_ANSWER_NONE,
	BENCH_ANSWER_COMPLETE,
	BENCH_ANSWER_PARTIAL,
	BENCH_ANSWER_REFUSED,
	BENCH_ANSWER_UNKNOWN,
};

/**
 * struct bench_hit - one hit of an answer, for the audit
 * @snapshot: that it was computed from
 * @upstream: number of the upstream, from 0
 * @first: first bucket
 * @last: last bucket
 */
struct bench_hit {
	uint64_t snapshot;
	int upstream;
	uint32_t first;
	uint32_t last;
};

/**
 * struct bench_result - one query
 * @arrival_us: from the start of the load
 * @latency_us: from the arrival to the end of the answer
 * @answer: outcome
 * @check: verdict on the content
 * @coverage: 0 to 1
 * @urgent: of the urgent kind
 * @retries: connections that failed before
 * @interrupted_attempts: attempts that an entry instance may have received and didn't answer
 * @failure_reason: begin of the reason of a refusal or of the first missing service; empty when
 * none
 * @hits: of a whole or partial answer; owned
 * @hit_count: entries in @hits
 * @stated_coverage: buckets that the answer says it covers
 */
struct bench_result {
	int64_t arrival_us;
	int64_t latency_us;
	enum bench_answer_type answer;
	enum bench_check check;
	double coverage;
	bool urgent;
	int retries;
	int interrupted_attempts;
	char failure_reason[24];
	struct bench_hit *hits;
	uint32_t hit_count;
	struct pd_ranges stated_coverage;
};

/**
 * struct bench_load - the whole load of one run
 * @results: one for each arrival; owned
 * @count: number of arrivals
 * @next_arrival: next arrival to be taken by a caller thread
 */
struct bench_load {
	const struct bench_experiment *experiment;
	struct bench_deployment *deployment;
	struct bench_result *results;
	uint64_t count;
	uint64_t next_arrival;
	uint64_t finished_queries;
	int64_t start_us;
};

enum pd_code bench_load_init(struct bench_load *load, const struct bench_experiment *experiment,
			     struct bench_deployment *deployment, struct pd_error *err);
void bench_load_finish(struct bench_load *load);
/* Runs all arrivals; returns when each has its result. */
enum pd_code bench_load_run(struct bench_load *load, struct pd_error *err);
/* Text of query @number: what the upstreams' draws depend on. */
void bench_query_text(char *out, size_t size, const struct bench_experiment *experiment,
		      uint64_t number);
/* Request-Id of query @number. */
void bench_query_id(char *out, size_t size, const struct bench_experiment *experiment,
		    uint64_t number);
/* The outcome that an answer states; BENCH_ANSWER_NONE when it states none. */
enum bench_answer_type bench_read_outcome(struct pd_str body);
const char *bench_check_name(enum bench_check check);

#endif
