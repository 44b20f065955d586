#include <stdlib.h>
#include <string.h>

#include "upstream_private.h"

/* Copies @s to *@at and advances *@at past it. */
static struct pd_str copy_to_storage(char **at, struct pd_str s)
{
	struct pd_str copy = {*at, s.len};

	if (s.len > 0)
		memcpy(*at, s.data, s.len);
	*at += s.len;
	return copy;
}

struct pd_upstream_job *pd_upstream_job_new(const struct pd_msg_subrequest *request,
					    uint64_t origin, pd_reply_fn *reply, void *arg,
					    int64_t now_us)
{
	size_t len = request->collection.len + request->service.len + request->upstream.len +
		     request->request_id.len + request->body.len;
	struct pd_upstream_job *job = calloc(1, sizeof(*job) + len);
	char *at;

	if (!job)
		return NULL;
	at = job->storage;
	job->request = *request;
	job->request.collection = copy_to_storage(&at, request->collection);
	job->request.service = copy_to_storage(&at, request->service);
	job->request.upstream = copy_to_storage(&at, request->upstream);
	job->request.request_id = copy_to_storage(&at, request->request_id);
	job->request.body = copy_to_storage(&at, request->body);
	job->origin = origin;
	job->reply = reply;
	job->arg = arg;
	job->submitted_us = now_us;
	job->deadline_us = now_us + request->deadline_us;
	return job;
}

void pd_upstream_job_free(struct pd_upstream_job *job)
{
	free(job);
}

static bool is_before(const struct pd_upstream_job *a, const struct pd_upstream_job *b)
{
	if (a->request.urgency != b->request.urgency)
		return a->request.urgency < b->request.urgency;
	return a->deadline_us < b->deadline_us;
}

uint32_t pd_upstream_queue_ahead(const struct pd_upstream_queue *queue,
				 const struct pd_upstream_job *job)
{
	uint32_t at = queue->count;

	while (at > 0 && is_before(job, queue->jobs[at - 1]))
		at--;
	return at;
}

bool pd_upstream_queue_push(struct pd_upstream_queue *queue, struct pd_upstream_job *job,
			    struct pd_upstream_job **displaced)
{
	uint32_t at;

	*displaced = NULL;
	if (queue->count == PD_UPSTREAM_QUEUE_MAX) {
		struct pd_upstream_job *last = queue->jobs[queue->count - 1];

		if (job->request.urgency != PD_URGENT || last->request.urgency == PD_URGENT)
			return false;
		queue->count--;
		*displaced = last;
	}
	at = pd_upstream_queue_ahead(queue, job);
	memmove(&queue->jobs[at + 1], &queue->jobs[at],
		(queue->count - at) * sizeof(struct pd_upstream_job *));
	queue->jobs[at] = job;
	queue->count++;
	return true;
}

struct pd_upstream_job *pd_upstream_queue_remove(struct pd_upstream_queue *queue, uint32_t index)
{
	struct pd_upstream_job *job = queue->jobs[index];

	queue->count--;
	memmove(&queue->jobs[index], &queue->jobs[index + 1],
		(queue->count - index) * sizeof(struct pd_upstream_job *));
	return job;
}

void pd_upstream_refuse(struct pd_upstream_job **list, struct pd_upstream_job *job,
			enum pd_substatus status)
{
	job->refusal = status;
	job->next = *list;
	*list = job;
}

void pd_upstream_refuse_all(struct pd_upstream *up, struct pd_upstream_job **list,
			    enum pd_substatus status)
{
	while (up->queue.count > 0)
		pd_upstream_refuse(list, pd_upstream_queue_remove(&up->queue, up->queue.count - 1),
				   status);
}
