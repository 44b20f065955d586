#include "peer_calls.h"

#include <ck_pr.h>
#include <stdlib.h>
#include <string.h>

#define FIRST_CAP  256
#define INDEX_BITS 16 /* PD_PEER_CALLS_MAX slots; the rest of an id is a serial number */
#define INDEX_MASK (PD_PEER_CALLS_MAX - 1)

/**
 * struct pd_peer_call - one slot
 * @id: 0 while it's free
 * @next_free: while it's free
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

static bool take_slot(struct pd_peer_calls *calls, uint32_t *index)
{
	struct pd_peer_call *slots;
	uint32_t cap = calls->cap ? calls->cap * 2 : FIRST_CAP;

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
	bool taken;

	pthread_mutex_lock(&calls->mutex);
	taken = take_slot(calls, &index);
	if (taken) {
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
	return taken;
}

/* Frees the slot and copies the call; the caller releases call->link. */
static void release_slot(struct pd_peer_calls *calls, uint32_t index, struct pd_peer_call *call)
{
	struct pd_peer_call *slot = &calls->slots[index];

	*call = *slot;
	slot->id = 0;
	slot->next_free = calls->first_free;
	calls->first_free = index;
	ck_pr_dec_32(call->pending);
}

/* Takes the call @id out of the table if its link is @link_id, or any with 0. */
static bool take_call(struct pd_peer_calls *calls, uint64_t id, uint64_t link_id,
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

	if (!take_call(calls, id, 0, &call))
		return false;
	pd_link_put(call.link);
	return true;
}

bool pd_peer_calls_complete(struct pd_peer_calls *calls, uint64_t link_id,
			    const struct pd_msg_subreply *reply)
{
	struct pd_peer_call call;

	if (!take_call(calls, reply->call, link_id, &call))
		return false;
	call.reply(call.arg, reply);
	pd_link_put(call.link);
	return true;
}

/* Answers with PD_SUB_LOST all calls of @link_id (0: of any) that expire by @until_us. */
static void lose_calls(struct pd_peer_calls *calls, uint64_t link_id, int64_t until_us)
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
	lose_calls(calls, link_id, INT64_MAX);
}

void pd_peer_calls_expire(struct pd_peer_calls *calls, int64_t now_us)
{
	lose_calls(calls, 0, now_us);
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
	lose_calls(calls, 0, INT64_MAX);
	free(calls->slots);
	pthread_mutex_destroy(&calls->mutex);
}
