/**
 * DOC: Writes and reads the status of roll-outs in the store
 *
 * Some threads make the calls, so that the thread of the cluster never waits for the store. Each
 * order has at most one call at a time.
 */
#ifndef PD_ROLLOUT_WRITER_H
#define PD_ROLLOUT_WRITER_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "rollout.h"
#include "sync.h"

/* A lost response takes a thread for a second; orders of other services mustn't wait for it. */
#define PD_ROLLOUT_WRITER_THREADS 3

/** enum pd_rollout_job_stage - stage of a job. */
enum pd_rollout_job_stage {
	PD_ROLLOUT_JOB_FREE,
	PD_ROLLOUT_JOB_QUEUED,
	PD_ROLLOUT_JOB_CALLING,
	PD_ROLLOUT_JOB_DONE,
};

/**
 * struct pd_rollout_job - one call to the store
 * @stage: stage of the job
 * @call: PD_ROLLOUT_CALL_WRITE or PD_ROLLOUT_CALL_READ
 * @order: order, with the revision on which a write is conditional
 * @state: state to write; after a read, the state that was read
 * @code: result of the call
 * @found: after a read, whether the order exists
 * @revision: after a read, revision of the object
 */
struct pd_rollout_job {
	enum pd_rollout_job_stage stage;
	enum pd_rollout_call call;
	struct pd_rollout_order order;
	enum pd_rollout_state state;
	enum pd_code code;
	bool found;
	uint64_t revision;
};

/**
 * struct pd_rollout_writer - the threads and their jobs
 * @sync: knows the address of the store
 * @lock: guards @jobs
 * @queued: signalled when a job is queued
 * @jobs: jobs
 * @threads: threads that call the store; started with the first job
 * @thread_count: number of these that run
 */
struct pd_rollout_writer {
	struct pd_sync *sync;
	pthread_mutex_t lock;
	pthread_cond_t queued;
	struct pd_rollout_job jobs[PD_ROLLOUTS_MAX];
	pthread_t threads[PD_ROLLOUT_WRITER_THREADS];
	size_t thread_count;
};

void pd_rollout_writer_init(struct pd_rollout_writer *writer, struct pd_sync *sync);
void pd_rollout_writer_finish(struct pd_rollout_writer *writer);
/* Queues a call; false if there are too many jobs. The results of earlier jobs of the same order
 * are dropped.
 */
bool pd_rollout_writer_queue(struct pd_rollout_writer *writer, enum pd_rollout_call call,
			     const struct pd_rollout_order *order, enum pd_rollout_state state);
/* Takes the result of the order's job; false if there is none yet. */
bool pd_rollout_writer_take(struct pd_rollout_writer *writer, const struct pd_rollout_order *order,
			    struct pd_rollout_job *job);

#endif
