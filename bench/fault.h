/**
 * DOC: Faults and operators' commands at given times, and the index publisher
 */
#ifndef BENCH_FAULT_H
#define BENCH_FAULT_H

#include "deployment.h"

/**
 * struct bench_scenario - runs the plan beside the load
 * @deployment: what the faults act on
 * @start_us: monotonic time that the plan counts from
 * @stopping: Concurrency Kit atomic
 * @snapshot: newest published
 * @failed: faults of the plan that couldn't be run; read after bench_scenario_stop()
 */
struct bench_scenario {
	struct bench_deployment *deployment;
	int64_t start_us;
	int stopping;
	pthread_t plan_thread;
	pthread_t index_thread;
	bool plan_started;
	bool index_started;
	uint64_t snapshot;
	uint64_t failed;
};

/* Starts the plan and the publisher. */
enum pd_code bench_scenario_start(struct bench_scenario *director,
				  struct bench_deployment *deployment, struct pd_error *err);
void bench_scenario_stop(struct bench_scenario *director);

/**
 * bench_fault_run() - runs one action
 * @action: `command TEXT` (peridotctl), `control NAME LINE`, `relay LINE`, `kill NAME`, `term
 *NAME`, `stop NAME` (SIGSTOP), `cont NAME`, `start NAME`
 *
 * `kill` and `term` wait for the end of the process. They and `start` also change the platform's
 * instance list. A process is started with the arguments, settings file and port that it had; an
 * upstream starts cold then, holds index version 1 and gets newer ones from the publisher.
 */
enum pd_code bench_fault_run(struct bench_deployment *deployment, const char *action,
			     struct pd_error *err);

#endif
