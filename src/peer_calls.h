/**
 * DOC: Table of sub-requests that wait for the reply of a peer
 *
 * A call is a sub-request in flight. Its callback is called exactly once: with the reply, or with
 * PD_SUB_LOST if the connection ends or the call expires. Thread-safe; callbacks run without a lock
 * held.
 */
#ifndef PD_PEER_CALLS_H
#define PD_PEER_CALLS_H

#include "link.h"
#include "upstream.h"

#define PD_PEER_CALLS_MAX 65536
/* Time after its deadline for which a call still waits for the reply. */
#define PD_PEER_CALL_GRACE_US (20 * PD_USEC_PER_MSEC)

struct pd_peer_call;

/**
 * struct pd_peer_calls - table of pending calls
 * @mutex: guards the other members
 * @slots: slots for calls, in use or free
 * @used: number of slots that were used at least once
 * @cap: number of allocated slots
 * @first_free: index of the first slot of the free list; PD_PEER_CALLS_MAX if the list is empty
 * @serial: number of calls so far; part of each id, so that ids of reused slots differ
 */
struct pd_peer_calls {
	pthread_mutex_t mutex;
	struct pd_peer_call *slots;
	uint32_t used;
	uint32_t cap;
	uint32_t first_free;
	uint64_t serial;
};

void pd_peer_calls_init(struct pd_peer_calls *calls);
void pd_peer_calls_finish(struct pd_peer_calls *calls); /* ends all calls with PD_SUB_LOST */

/**
 * pd_peer_calls_add() - registers a call before it is sent
 * @calls: table
 * @link: connection that the call is sent over; the call holds a reference
 * @pending: counter of the peer's pending calls, changed atomically; must outlive the connection
 * @reply: callback for the reply
 * @arg: argument of @reply
 * @expires_us: time at which the call ends with PD_SUB_LOST, in microseconds of pd_os_now_us()
 * @id: stores the id of the call, which is never 0
 *
 * Return: false if the table is full or out of memory.
 */
bool pd_peer_calls_add(struct pd_peer_calls *calls, struct pd_link *link, uint32_t *pending,
		       pd_reply_fn *reply, void *arg, int64_t expires_us, uint64_t *id);
/* Removes a call that could not be sent, without calling its callback; false if the call has
 * already ended. */
bool pd_peer_calls_remove(struct pd_peer_calls *calls, uint64_t id);
/* Ends a call with the @reply received over @link_id; false if no such call is pending on that
 * link, as for a late or duplicate reply. */
bool pd_peer_calls_complete(struct pd_peer_calls *calls, uint64_t link_id,
			    const struct pd_msg_subreply *reply);
/* Ends all calls of a link with PD_SUB_LOST. */
void pd_peer_calls_fail_link(struct pd_peer_calls *calls, uint64_t link_id);
/* Ends the calls that have expired by @now_us with PD_SUB_LOST. */
void pd_peer_calls_expire(struct pd_peer_calls *calls, int64_t now_us);
/* Returns the link of the call with a new reference, or NULL if the call has already ended. */
struct pd_link *pd_peer_calls_link(struct pd_peer_calls *calls, uint64_t id);

#endif
