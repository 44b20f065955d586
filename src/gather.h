/**
 * DOC: Shared state of one query between the caller's thread and the threads that bring replies
 *
 * The caller's thread makes attempts and takes replies; senders call pd_gather_reply() at any time,
 * also after the query ended. The state is reference-counted: one reference for the caller's thread
 * and one for each attempt that has no reply yet. Private to the query.
 */
#ifndef PD_GATHER_H
#define PD_GATHER_H

#include "ranges.h"
#include "router.h"

#define PD_ATTEMPTS_MAX 3 /* for one service: first, hedge, retry */

struct pd_gather;

/**
 * struct pd_attempt - one sub-request that was sent
 * @gather: that it belongs to
 * @part: index of the service in the query
 * @upstream: index in the configuration
 * @handle: for pd_sender_cancel()
 * @sent_us: monotonic
 * @hedge: sent while another attempt of the service ran
 * @cancelled: pd_sender_cancel() was called
 * @ended: the caller's thread took its reply or gave it up
 * @next_reply: in the list of replies
 * @reply: copy; @covers and @body point to @storage
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
 * struct pd_part - one service of the query; used by the caller's thread only
 * @service: index in the configuration
 * @attempts: in the order in which they were sent
 * @attempt_count: entries in @attempts
 * @outstanding: attempts without a reply
 * @accepted: the attempt whose reply counts
 * @finished: good, or failed for good
 * @extra_is_retry: the extra sub-request that is waited for is a retry, not a hedge
 * @status: of the latest failure
 * @snapshot_refusals: attempts that ended with PD_SUB_SNAPSHOT
 * @not_run_count: attempts that are known not to have run, @snapshot_refusals among them
 * @overdue_at_us: from then on the hedge may borrow budget
 * @extra_wait_start_us: when the hedge delay began
 * @extra_delay_us: until the extra sub-request; -1 for none
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
 * struct pd_gather - the state
 * @parts: services
 * @part_count: entries in @parts
 * @mutex: guards the private members below
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

/* One reference for the caller's thread; NULL without memory. */
struct pd_gather *pd_gather_new(uint32_t part_count);
/* Makes an attempt with a reference of its own; NULL without memory. */
struct pd_attempt *pd_gather_add_attempt(struct pd_gather *gather, uint32_t part,
					 uint32_t upstream);
/* Takes one reply: a pd_reply_fn with the attempt as its argument. */
void pd_gather_reply(void *arg, const struct pd_msg_subreply *reply);
/* Waits until a reply or @until_us (monotonic); returns all replies as a list, perhaps NULL. */
struct pd_attempt *pd_gather_wait(struct pd_gather *gather, int64_t until_us);
/* Ends the query: later replies change nothing. Drops the reference of the caller's thread. */
void pd_gather_end(struct pd_gather *gather);

#endif
