/**
 * DOC: Injects faults and runs operators' commands at given times, and publishes index versions
 */
#ifndef BENCH_FAULT_H
#define BENCH_FAULT_H

#include "deployment.h"

/**
 * struct bench_scenario - runs the fault plan and publishes index versions during the load
 * @deployment: the deployment that the actions of the plan apply to
 * @start_us: start of the warm-up, in microseconds of pd_os_now_us()
 * @stopping: 1 if the threads have to end; accessed with Concurrency Kit atomics
 * @plan_thread: runs the fault plan
 * @index_thread: publishes index versions
 * @plan_started: whether @plan_thread was started
 * @index_started: whether @index_thread was started
 * @snapshot: newest index version that was published
 * @failed_actions: number of actions that could not be run; read it after bench_scenario_stop()
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
	uint64_t failed_actions;
};

/* Starts the threads that run the fault plan and publish index versions. */
enum pd_code bench_scenario_start(struct bench_scenario *scenario,
				  struct bench_deployment *deployment, struct pd_error *err);
void bench_scenario_stop(struct bench_scenario *scenario);

/**
 * bench_fault_run() - runs one action of a fault plan
 * @deployment: the deployment that the action applies to
 * @action: one of `command TEXT` (run by peridotctl), `control NAME LINE`, `relay LINE`,
 * `kill NAME`, `term NAME`, `stop NAME` (SIGSTOP), `cont NAME`, `start NAME`
 * @err: receives the reason of a failure
 *
 * `kill` and `term` wait until the process has exited. They and `start` also update the platform's
 * instance list. `start` runs the process with its previous arguments, settings file and port. An
 * upstream that is started again starts cold with index version 1, and receives newer versions
 * from the publisher.
 */
enum pd_code bench_fault_run(struct bench_deployment *deployment, const char *action,
			     struct pd_error *err);

#endif
