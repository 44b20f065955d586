/**
 * DOC: Sends non-idempotent requests (the `run` command) during the load, and repeats some of them
 *
 * Each request has an id that its caller repeats when it retries, so that the tier can execute the
 * id at most once.
 */
#ifndef BENCH_RUNS_H
#define BENCH_RUNS_H

#include "load.h"

#define BENCH_RUN_ID_MAX 63 /* bytes; limit of a Request-Id */

/**
 * struct bench_run - one id of a non-idempotent request
 * @arrival_us: time of the first attempt, in microseconds from the start of the load
 * @id: the id, of the form UNIXMS-run-SEED-NUMBER
 * @service: number of the service that executes the request
 * @concurrent_duplicate: whether the id is sent through two entry instances at the same time
 * @mutex: guards @answer_counts
 * @answer_counts: number of answers of each type; BENCH_ANSWER_NONE counts attempts without an
 * answer
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
 * @experiment: borrowed
 * @deployment: borrowed
 * @items: one entry for each id; owned
 * @count: number of ids
 * @next_run: index of the next id that a caller thread will send
 * @start_us: start of the load, in microseconds of pd_os_now_us()
 * @threads: caller threads; owned
 * @started_threads: number of caller threads that were started
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

/*
 * Generates the requests: their arrival times and services are drawn from the seed. There are none
 * if the experiment's runs_rate is 0.
 */
enum pd_code bench_runs_init(struct bench_runs *runs, const struct bench_experiment *experiment,
			     struct bench_deployment *deployment, struct pd_error *err);
void bench_runs_finish(struct bench_runs *runs);
/* Starts the caller threads; arrival times count from this call. */
enum pd_code bench_runs_start(struct bench_runs *runs, struct pd_error *err);
/* Waits until the caller threads have finished with all ids. */
void bench_runs_wait(struct bench_runs *runs);

#endif
