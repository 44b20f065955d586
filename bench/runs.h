/**
 * DOC: Non-idempotent requests beside the queries, and callers that send the same id again
 */
#ifndef BENCH_RUNS_H
#define BENCH_RUNS_H

#include "load.h"

#define BENCH_RUN_ID_MAX 63 /* bytes, as of a Request-Id */

/**
 * struct bench_run - one id; the members from @mutex on are guarded by it
 * @arrival_us: from the start of the load
 * @id: UNIXMS-TOKEN
 * @service: number of the service
 * @concurrent_duplicate: sent twice at the same time, through two entry instances
 * @answer_counts: answers by type; BENCH_ANSWER_NONE counts attempts without an answer
 */
struct bench_run {
	int64_t arrival_us;
	char id[BENCH_RUN_ID_MAX + 1];
	int service;
	bool concurrent_duplicate;
	pthread_mutex_t mutex;
	uint32_t answer_counts[BENCH_ANSWER_UNKNOWN + 1];
};

/**
 * struct bench_runs - all ids of one load
 * @items: one for each id; owned
 * @count: number of ids
 * @next_run: next id to be taken by a caller thread
 * @start_us: monotonic
 */
struct bench_runs {
	const struct bench_experiment *experiment;
	struct bench_deployment *deployment;
	struct bench_run *items;
	uint64_t count;
	uint64_t next_run;
	int64_t start_us;
	pthread_t *threads;
	int started_threads;
};

/* Draws the ids' arrivals; none when the experiment's runs_rate is 0. */
enum pd_code bench_runs_init(struct bench_runs *runs, const struct bench_experiment *experiment,
			     struct bench_deployment *deployment, struct pd_error *err);
void bench_runs_finish(struct bench_runs *runs);
/* Starts the callers; the load counts from now. */
enum pd_code bench_runs_start(struct bench_runs *runs, struct pd_error *err);
/* Waits until each id has its last answer. */
void bench_runs_wait(struct bench_runs *runs);

#endif
