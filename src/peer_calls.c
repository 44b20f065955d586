#include "peer_calls.h"

#include <ck_pr.h>
#include <stdlib.h>
#include <string.h>

#define INITIAL_CAP 256 /* slots of the first allocation */
#define INDEX_BITS  16 /* low bits of an id: the slot; the other bits are the serial number */
#define INDEX_MASK  (PD_PEER_CALLS_MAX - 1)

/**
 * struct pd_peer_call - a slot of the table
 * @id: id of the call; 0 if the slot is free
 * @link: connection that the call was sent over; holds a reference
 * @pending: counter of the peer's pending calls
 * @reply: callback for the reply
 * @arg: argument of @reply
 * @expires_us: time at which the call expires, in microseconds of pd_os_now_us()
 * @next_free: index of the next free slot; only valid in a free slot
 */
struct pd_peer_call {
	uint64_t id;
	struct pd_link *link;
	uint32_t *pending;
	pd_reply_fn *reply;
	void *arg;
	int64_t expires_us;
	uint32_t next_free;
};

void pd_peer_calls_init(struct pd_peer_calls *calls)
{
	memset(calls, 0, sizeof(*calls));
	pthread_mutex_init(&calls->mutex, NULL);
	calls->first_free = PD_PEER_CALLS_MAX;
}

static bool allocate_slot(struct pd_peer_calls *calls, uint32_t *index)
{
	struct pd_peer_call *slots;
	uint32_t cap = calls->cap ? calls->cap * 2 : INITIAL_CAP;

	if (calls->first_free != PD_PEER_CALLS_MAX) {
		*index = calls->first_free;
		calls->first_free = calls->slots[*index].next_free;
		return true;
	}
	if (calls->used == PD_PEER_CALLS_MAX)
		return false;
	if (calls->used == calls->cap) {
		slots = realloc(calls->slots, cap * sizeof(*slots));
		if (!slots)
			return false;
		calls->slots = slots;
		calls->cap = cap;
	}
	*index = calls->used++;
	return true;
}

bool pd_peer_calls_add(struct pd_peer_calls *calls, struct pd_link *link, uint32_t *pending,
		       pd_reply_fn *reply, void *arg, int64_t expires_us, uint64_t *id)
{
	uint32_t index;
	bool added;

	pthread_mutex_lock(&calls->mutex);
	added = allocate_slot(calls, &index);
	if (added) {
		*id = ++calls->serial << INDEX_BITS | index;
		calls->slots[index] = (struct pd_peer_call){
			.id = *id,
			.link = pd_link_get(link),
			.pending = pending,
			.reply = reply,
			.arg = arg,
			.expires_us = expires_us,
		};
		ck_pr_inc_32(pending);
	}
	pthread_mutex_unlock(&calls->mutex);
	return added;
}

/* Copies the call of a slot and frees the slot; the caller drops the reference of call->link. */
static void release_slot(struct pd_peer_calls *calls, uint32_t index, struct pd_peer_call *call)
{
	struct pd_peer_call *slot = &calls->slots[index];

	*call = *slot;
	slot->id = 0;
	slot->next_free = calls->first_free;
	calls->first_free = index;
	ck_pr_dec_32(call->pending);
}

/* Removes the call @id from the table and copies it; with @link_id other than 0 only if it was sent
 * over that link. */
static bool remove_call(struct pd_peer_calls *calls, uint64_t id, uint64_t link_id,
			struct pd_peer_call *call)
{
	uint32_t index = id & INDEX_MASK;
	bool found;

	pthread_mutex_lock(&calls->mutex);
	found = id && index < calls->used && calls->slots[index].id == id &&
		(!link_id || pd_link_id(calls->slots[index].link) == link_id);
	if (found)
		release_slot(calls, index, call);
	pthread_mutex_unlock(&calls->mutex);
	return found;
}

bool pd_peer_calls_remove(struct pd_peer_calls *calls, uint64_t id)
{
	struct pd_peer_call call;

	if (!remove_call(calls, id, 0, &call))
		return false;
	pd_link_put(call.link);
	return true;
}

bool pd_peer_calls_complete(struct pd_peer_calls *calls, uint64_t link_id,
			    const struct pd_msg_subreply *reply)
{
	struct pd_peer_call call;

	if (!remove_call(calls, reply->call, link_id, &call))
		return false;
	call.reply(call.arg, reply);
	pd_link_put(call.link);
	return true;
}

/* Ends all calls of @link_id (or of all links with 0) that expire by @until_us with PD_SUB_LOST. */
static void end_calls_as_lost(struct pd_peer_calls *calls, uint64_t link_id, int64_t until_us)
{
	struct pd_peer_call call;

	pthread_mutex_lock(&calls->mutex);
	for (uint32_t i = 0; i < calls->used; i++) {
		const struct pd_peer_call *slot = &calls->slots[i];

		if (!slot->id || slot->expires_us > until_us ||
		    (link_id && pd_link_id(slot->link) != link_id))
			continue;
		release_slot(calls, i, &call);
		pthread_mutex_unlock(&calls->mutex);
		call.reply(call.arg,
			   &(struct pd_msg_subreply){.call = call.id, .status = PD_SUB_LOST});
		pd_link_put(call.link);
		pthread_mutex_lock(&calls->mutex);
	}
	pthread_mutex_unlock(&calls->mutex);
}

void pd_peer_calls_fail_link(struct pd_peer_calls *calls, uint64_t link_id)
{
	end_calls_as_lost(calls, link_id, INT64_MAX);
}

void pd_peer_calls_expire(struct pd_peer_calls *calls, int64_t now_us)
{
	end_calls_as_lost(calls, 0, now_us);
}

struct pd_link *pd_peer_calls_link(struct pd_peer_calls *calls, uint64_t id)
{
	uint32_t index = id & INDEX_MASK;
	struct pd_link *link = NULL;

	pthread_mutex_lock(&calls->mutex);
	if (id && index < calls->used && calls->slots[index].id == id)
		link = pd_link_get(calls->slots[index].link);
	pthread_mutex_unlock(&calls->mutex);
	return link;
}

void pd_peer_calls_finish(struct pd_peer_calls *calls)
{
	end_calls_as_lost(calls, 0, INT64_MAX);
	free(calls->slots);
	pthread_mutex_destroy(&calls->mutex);
}
