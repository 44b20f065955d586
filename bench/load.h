/**
 * DOC: Open-loop load: the arrival times are drawn from a seed and don't depend on the answers
 *
 * The latency of a query counts from its arrival time. A slow answer that delays the sending of
 * later queries therefore increases their latencies, too.
 */
#ifndef BENCH_LOAD_H
#define BENCH_LOAD_H

#include "deployment.h"
#include "ranges.h"

/** enum bench_check - result of checking the content of one answer */
enum bench_check {
	BENCH_GOOD = 0,
	BENCH_NO_ANSWER, /* the connection failed or was closed, or the request timed out */
	BENCH_WRONG_REQUEST, /* the answer belongs to another request */
	BENCH_MIXED_SNAPSHOTS, /* hits were computed from different snapshots */
	BENCH_WRONG_COVERAGE, /* hits overlap, or do not cover the stated buckets */
	BENCH_MALFORMED, /* a field is missing or cannot be parsed */
	BENCH_CHECK_COUNT,
};

/** enum bench_answer_type - outcome that an answer states */
enum bench_answer_type {
	BENCH_ANSWER_NONE, /* no answer, or an answer without an outcome */
	BENCH_ANSWER_COMPLETE,
	BENCH_ANSWER_PARTIAL, /* hits of a part of the buckets only */
	BENCH_ANSWER_REFUSED, /* the request was not executed */
	BENCH_ANSWER_UNKNOWN, /* the request may have been executed */
};

/**
 * struct bench_hit - one hit of an answer, stored for the audit
 * @snapshot: index snapshot from which the upstream computed the hit
 * @upstream: number of the upstream, counted from 0; -1 if no upstream has the stated name
 * @first: first bucket that the hit covers
 * @last: last bucket that the hit covers
 */
struct bench_hit {
	uint64_t snapshot;
	int upstream;
	uint32_t first;
	uint32_t last;
};

/**
 * struct bench_result - one query and its result
 * @arrival_us: arrival time in microseconds from the start of the load
 * @latency_us: time in microseconds from the arrival to the end of the answer
 * @answer: outcome that the answer states
 * @check: result of checking the content of the answer
 * @coverage: share of the buckets that the answer covers, 0 to 1
 * @urgent: whether the query is urgent
 * @retries: number of failed attempts before the last one
 * @interrupted_attempts: attempts that failed after an entry instance may have received the request
 * @failure_reason: reason of the refusal, or else of the first missing service, cut to the size of
 * the array; empty if the answer states neither
 * @hits: hits of a complete or partial answer; owned
 * @hit_count: number of entries in @hits
 * @stated_coverage: buckets that the answer claims to cover
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
 * struct bench_load - all queries of one run
 * @experiment: borrowed
 * @deployment: borrowed
 * @results: one entry for each query; owned
 * @count: number of queries
 * @next_arrival: index of the next query that a caller thread will send
 * @finished_queries: number of queries that have their result
 * @start_us: start of the load, in microseconds of pd_os_now_us()
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

/* Generates the queries: their arrival times and urgency are drawn from the seed. */
enum pd_code bench_load_init(struct bench_load *load, const struct bench_experiment *experiment,
			     struct bench_deployment *deployment, struct pd_error *err);
void bench_load_finish(struct bench_load *load);
/* Sends all queries at their arrival times; returns when the load's duration is over and every
 * query has its result. */
enum pd_code bench_load_run(struct bench_load *load, struct pd_error *err);
/* Text of query @number; the upstreams derive their service times from it. */
void bench_query_text(char *out, size_t size, const struct bench_experiment *experiment,
		      uint64_t number);
/* Request-Id of query @number. */
void bench_query_id(char *out, size_t size, const struct bench_experiment *experiment,
		    uint64_t number);
/* Returns the outcome that an answer states, or BENCH_ANSWER_NONE if it states none. */
enum bench_answer_type bench_read_outcome(struct pd_str body);
/* Name of @check in reports. */
const char *bench_check_name(enum bench_check check);

#endif
