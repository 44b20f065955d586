/**
 * DOC: State of one query that its thread shares with the threads that deliver replies
 *
 * The query's thread creates attempts and processes replies. Senders call pd_gather_reply() at any
 * time, even after the query has ended. The state is reference-counted: the query's thread holds
 * one reference, and so does each attempt until its reply is delivered. Used only by query.c.
 */
#ifndef PD_GATHER_H
#define PD_GATHER_H

#include "ranges.h"
#include "router.h"

#define PD_ATTEMPTS_MAX 3 /* attempts for one service: first attempt, hedge, retry */

struct pd_gather;

/**
 * struct pd_attempt - one sub-request of a query
 * @gather: state of the query
 * @part: index of its part in pd_gather.parts
 * @upstream: index of the upstream in the configuration
 * @handle: handle for pd_sender_cancel()
 * @sent_us: monotonic time at which it was sent, in microseconds
 * @hedge: sent as a hedge, while an earlier attempt of the same part was in flight
 * @cancelled: pd_sender_cancel() was called for it
 * @ended: its reply was processed, or the query no longer waits for one
 * @next_reply: next attempt in the list of received replies
 * @reply: copy of the reply, whose strings are in @storage
 * @storage: memory of the reply's strings
 */
struct pd_attempt {
	struct pd_gather *gather;
	uint32_t part;
	uint32_t upstream;
	uint64_t handle;
	int64_t sent_us;
	bool hedge;
	bool cancelled;
	bool ended;
	struct pd_attempt *next_reply;
	struct pd_msg_subreply reply;
	struct pd_buf storage;
};

/**
 * struct pd_part - part of a query that goes to one service; used only by the query's thread
 * @service: index of the service in the configuration
 * @attempts: attempts in the order in which they were sent
 * @attempt_count: number of entries in @attempts
 * @outstanding: number of attempts that have not ended
 * @accepted: attempt whose reply was accepted, or NULL
 * @finished: a reply was accepted, or the part failed and no further attempt will be made
 * @extra_is_retry: the extra sub-request due at @extra_wait_start_us + @extra_delay_us is a retry
 * rather than a hedge
 * @status: status of the latest failed attempt
 * @snapshot_refusals: number of attempts that ended with PD_SUB_SNAPSHOT
 * @not_run_count: number of attempts that certainly did not run, including @snapshot_refusals
 * @overdue_at_us: monotonic time in microseconds from which the hedge may overdraw the hedge budget
 * @extra_wait_start_us: monotonic time in microseconds at which the wait for the extra sub-request
 * (hedge or retry) began
 * @extra_delay_us: delay from @extra_wait_start_us until the extra sub-request is sent, in
 * microseconds; -1 if none is planned
 */
struct pd_part {
	uint32_t service;
	struct pd_attempt *attempts[PD_ATTEMPTS_MAX];
	uint32_t attempt_count;
	uint32_t outstanding;
	struct pd_attempt *accepted;
	bool finished;
	bool extra_is_retry;
	enum pd_substatus status;
	uint32_t snapshot_refusals;
	uint32_t not_run_count;
	int64_t overdue_at_us;
	int64_t extra_wait_start_us;
	int64_t extra_delay_us;
};

/**
 * struct pd_gather - state of one round of sub-requests of a query
 * @parts: one part for each service of the query
 * @part_count: number of entries in @parts
 * @mutex: guards the members below
 * @cond: signalled when a reply was added to @replies
 * @refs: reference count
 * @ended: the query has ended, so that further replies are counted but not stored
 * @replies: received replies that pd_gather_wait() has not returned yet, oldest first
 * @replies_tail: where the next reply is linked
 */
struct pd_gather {
	struct pd_part *parts;
	uint32_t part_count;
	pthread_mutex_t mutex;
	pthread_cond_t cond;
	uint32_t refs;
	bool ended;
	struct pd_attempt *replies;
	struct pd_attempt **replies_tail;
};

/* Returns the state with one reference, held by the query's thread; NULL if out of memory. */
struct pd_gather *pd_gather_new(uint32_t part_count);
/*
 * Adds an attempt, which holds a reference of its own. Returns NULL if out of memory or if @part
 * already has PD_ATTEMPTS_MAX attempts.
 */
struct pd_attempt *pd_gather_add_attempt(struct pd_gather *gather, uint32_t part,
					 uint32_t upstream);
/* The pd_reply_fn of each attempt: adds its reply to the list. @arg is the attempt. */
void pd_gather_reply(void *arg, const struct pd_msg_subreply *reply);
/*
 * Waits until a reply is received or until @until_us (monotonic, in microseconds). Returns the
 * attempts with new replies as a list linked by @next_reply, or NULL if there are none.
 */
struct pd_attempt *pd_gather_wait(struct pd_gather *gather, int64_t until_us);
/* Ends the query: later replies are ignored. Drops the reference of the query's thread. */
void pd_gather_end(struct pd_gather *gather);

#endif
