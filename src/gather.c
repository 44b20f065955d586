#include "gather.h"

#include <stdlib.h>

#include "counters.h"

struct pd_gather *pd_gather_new(uint32_t part_count)
{
	struct pd_gather *g = calloc(1, sizeof(*g));

	if (!g)
		return NULL;
	g->parts = calloc(part_count ? part_count : 1, sizeof(*g->parts));
	if (!g->parts) {
		free(g);
		return NULL;
	}
	g->part_count = part_count;
	g->refs = 1;
	g->replies_tail = &g->replies;
	pthread_mutex_init(&g->mutex, NULL);
	pd_os_cond_init(&g->cond);
	return g;
}

static void gather_free(struct pd_gather *g)
{
	for (uint32_t i = 0; i < g->part_count; i++) {
		for (uint32_t k = 0; k < g->parts[i].attempt_count; k++) {
			pd_buf_finish(&g->parts[i].attempts[k]->storage);
			free(g->parts[i].attempts[k]);
		}
	}
	free(g->parts);
	pthread_cond_destroy(&g->cond);
	pthread_mutex_destroy(&g->mutex);
	free(g);
}

/* Drops one reference and unlocks the mutex, which the caller holds. */
static void put_and_unlock(struct pd_gather *g)
{
	bool is_last = --g->refs == 0;

	pthread_mutex_unlock(&g->mutex);
	if (is_last)
		gather_free(g);
}

struct pd_attempt *pd_gather_add_attempt(struct pd_gather *gather, uint32_t part, uint32_t upstream)
{
	struct pd_part *p = &gather->parts[part];
	struct pd_attempt *attempt;

	if (p->attempt_count == PD_ATTEMPTS_MAX)
		return NULL;
	attempt = calloc(1, sizeof(*attempt));
	if (!attempt)
		return NULL;
	attempt->gather = gather;
	attempt->part = part;
	attempt->upstream = upstream;
	p->attempts[p->attempt_count++] = attempt;
	pthread_mutex_lock(&gather->mutex);
	gather->refs++;
	pthread_mutex_unlock(&gather->mutex);
	return attempt;
}

/*
 * Copies @reply to @attempt. If there is no memory for its strings, the status of the copy is
 * PD_SUB_LOST.
 */
static void copy_reply(struct pd_attempt *attempt, const struct pd_msg_subreply *reply)
{
	struct pd_buf *buf = &attempt->storage;

	attempt->reply = *reply;
	pd_buf_append_str(buf, reply->covers);
	pd_buf_append_str(buf, reply->body);
	if (buf->failed) {
		pd_buf_clear(buf);
		attempt->reply.status = PD_SUB_LOST;
		attempt->reply.covers.len = 0;
		attempt->reply.body.len = 0;
	}
	attempt->reply.covers.data = buf->data;
	attempt->reply.body.data = buf->data ? buf->data + attempt->reply.covers.len : NULL;
}

void pd_gather_reply(void *arg, const struct pd_msg_subreply *reply)
{
	struct pd_attempt *attempt = arg;
	struct pd_gather *g = attempt->gather;

	pthread_mutex_lock(&g->mutex);
	if (g->ended) {
		if (reply->status != PD_SUB_CANCELLED)
			pd_count(PD_COUNT_replies_late);
	} else {
		copy_reply(attempt, reply);
		*g->replies_tail = attempt;
		g->replies_tail = &attempt->next_reply;
		pthread_cond_signal(&g->cond);
	}
	put_and_unlock(g);
}

struct pd_attempt *pd_gather_wait(struct pd_gather *gather, int64_t until_us)
{
	struct pd_attempt *list;

	pthread_mutex_lock(&gather->mutex);
	while (!gather->replies && pd_os_now_us() < until_us)
		pd_os_cond_wait_until(&gather->cond, &gather->mutex, until_us);
	list = gather->replies;
	gather->replies = NULL;
	gather->replies_tail = &gather->replies;
	pthread_mutex_unlock(&gather->mutex);
	return list;
}

void pd_gather_end(struct pd_gather *gather)
{
	if (!gather)
		return;
	pthread_mutex_lock(&gather->mutex);
	gather->ended = true;
	put_and_unlock(gather);
}
