/**
 * DOC: Sub-requests that wait for the reply of a peer
 *
 * Each call is answered exactly once: with the reply, or with PD_SUB_LOST when its connection ends
 * or its time is over. Thread-safe; replies are called without a lock held.
 */
#ifndef PD_PEER_CALLS_H
#define PD_PEER_CALLS_H

#include "link.h"
#include "upstream.h"

#define PD_PEER_CALLS_MAX     65536
#define PD_PEER_CALL_GRACE_US (20 * PD_USEC_PER_MSEC) /* beyond the deadline */

struct pd_peer_call;

/**
 * struct pd_peer_calls
 * @mutex: guards the rest
 * @slots: @used slots were in use at some time, of @cap
 * @first_free: first free slot, PD_PEER_CALLS_MAX if none
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
void pd_peer_calls_finish(struct pd_peer_calls *calls); /* answers what's left with PD_SUB_LOST */

/**
 * pd_peer_calls_add() - registers a call before it's sent
 * @link: over which it goes; a reference is taken
 * @pending: counter of the peer's pending calls, changed atomically; must outlive the connection
 * @expires_us: monotonic
 * @id: stores its id, never 0
 *
 * Return: false when the table is full.
 */
bool pd_peer_calls_add(struct pd_peer_calls *calls, struct pd_link *link, uint32_t *pending,
		       pd_reply_fn *reply, void *arg, int64_t expires_us, uint64_t *id);
/* Forgets a call that couldn't be sent; false when it was answered already. */
bool pd_peer_calls_remove(struct pd_peer_calls *calls, uint64_t id);
/* Answers a call with what arrived over @link_id; false when it's unknown, late or a duplicate. */
bool pd_peer_calls_complete(struct pd_peer_calls *calls, uint64_t link_id,
			    const struct pd_msg_subreply *reply);
void pd_peer_calls_fail_link(struct pd_peer_calls *calls, uint64_t link_id);
void pd_peer_calls_expire(struct pd_peer_calls *calls, int64_t now_us);
/* Returns a reference to the call's link, or NULL when it was answered already. */
struct pd_link *pd_peer_calls_link(struct pd_peer_calls *calls, uint64_t id);

#endif
