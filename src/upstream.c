#include "upstream.h"

#include <ck_pr.h>
#include <stdlib.h>
#include <string.h>

#include "counters.h"
#include "upstream_private.h"

enum pd_code pd_upstreams_open(struct pd_upstreams **upstreams,
			       const struct pd_upstreams_setup *setup, struct pd_error *err)
{
	*upstreams = calloc(1, sizeof(**upstreams));
	if (!*upstreams)
		return pd_error_set(err, PD_LAYER_STATE, PD_NO_MEMORY,
				    "out of memory for the upstream table");
	(*upstreams)->setup = *setup;
	(*upstreams)->cancel_timeout_us = PD_UPSTREAM_CANCEL_TIMEOUT_US;
	(*upstreams)->ownership_fn = pd_members_ownership;
	(*upstreams)->deadline_margin_us = PD_UPSTREAM_DEADLINE_MARGIN_US;
	pthread_mutex_init(&(*upstreams)->mutex, NULL);
	return PD_OK;
}

static void join_threads(struct pd_upstream *up)
{
	for (uint32_t i = 0; i < up->worker_count; i++)
		pd_upstream_worker_join(up->workers[i]);
	pd_upstream_worker_join(&up->control);
}

static void free_upstream(struct pd_upstream *up)
{
	for (uint32_t i = 0; i < up->worker_count; i++)
		free(up->workers[i]);
	while (up->abandoned) {
		struct pd_upstream_job *job = up->abandoned;

		up->abandoned = job->next;
		pd_upstream_job_free(job);
	}
	free(up->workers);
	pthread_cond_destroy(&up->work_cond);
	pthread_cond_destroy(&up->control_cond);
	pthread_mutex_destroy(&up->mutex);
	free(up);
}

static void stop_upstream(struct pd_upstream *up)
{
	struct pd_upstream_job *refused = NULL;
	int64_t now_us = pd_os_now_us();

	pthread_mutex_lock(&up->mutex);
	up->stopping = true;
	pd_upstream_refuse_all(up, &refused, PD_SUB_LEAVING);
	for (struct pd_upstream_job *job = up->running; job; job = job->next)
		pd_upstream_cancel_running(up, job, now_us);
	pthread_cond_broadcast(&up->work_cond);
	pthread_cond_signal(&up->control_cond);
	pthread_mutex_unlock(&up->mutex);
	pd_upstream_deliver_refusals(up, refused);
}

void pd_upstreams_stop(struct pd_upstreams *upstreams)
{
	pthread_mutex_lock(&upstreams->mutex);
	upstreams->closing = true;
	pthread_mutex_unlock(&upstreams->mutex);
	for (size_t i = 0; i < PD_UPSTREAM_HASH_BUCKETS; i++) {
		for (struct pd_upstream *up = upstreams->table[i]; up; up = up->next)
			stop_upstream(up);
	}
	for (size_t i = 0; i < PD_UPSTREAM_HASH_BUCKETS; i++) {
		for (struct pd_upstream *up = upstreams->table[i]; up; up = up->next)
			join_threads(up);
	}
}

void pd_upstreams_close(struct pd_upstreams *upstreams)
{
	if (!upstreams)
		return;
	pd_upstreams_stop(upstreams);
	for (size_t i = 0; i < PD_UPSTREAM_HASH_BUCKETS; i++) {
		while (upstreams->table[i]) {
			struct pd_upstream *up = upstreams->table[i];

			upstreams->table[i] = up->next;
			free_upstream(up);
		}
	}
	pthread_mutex_destroy(&upstreams->mutex);
	free(upstreams);
}

static struct pd_upstream **find_bucket(struct pd_upstreams *set, struct pd_str name)
{
	return &set->table[pd_str_hash(name, 0) % PD_UPSTREAM_HASH_BUCKETS];
}

static struct pd_upstream *find_upstream(struct pd_upstreams *set, struct pd_str name)
{
	struct pd_upstream *up = *find_bucket(set, name);

	while (up && !pd_str_equal(pd_name_str(&up->name), name))
		up = up->next;
	return up;
}

/*
 * Returns the highest median latency among the upstreams of @collection, 0 if none is known. The
 * limiter of a new upstream uses it as the baseline hint, to detect a cold start before it has
 * measured a baseline latency. Called with pd_upstreams.mutex held.
 */
static int64_t max_latency_in_collection_us(struct pd_upstreams *set,
					    const struct pd_name *collection)
{
	int64_t max_us = 0;

	for (size_t i = 0; i < PD_UPSTREAM_HASH_BUCKETS; i++) {
		for (struct pd_upstream *up = set->table[i]; up; up = up->next) {
			int64_t us;

			pthread_mutex_lock(&up->mutex);
			us = pd_name_equal(&up->collection, collection) ? pd_upstream_median_us(up)
									: 0;
			pthread_mutex_unlock(&up->mutex);
			if (us > max_us)
				max_us = us;
		}
	}
	return max_us;
}

static struct pd_upstream *add_upstream(struct pd_upstreams *set, struct pd_str name)
{
	struct pd_upstream *up = calloc(1, sizeof(*up));
	struct pd_upstream **bucket = find_bucket(set, name);

	if (!up)
		return NULL;
	up->set = set;
	pd_name_set(&up->name, name);
	pthread_mutex_init(&up->mutex, NULL);
	pd_os_cond_init(&up->work_cond);
	pd_os_cond_init(&up->control_cond);
	pd_limiter_init(&up->limiter, 1);
	up->last_use_us = pd_os_now_us();
	pd_upstream_refresh_config(up);
	up->limiter.baseline_hint_us = max_latency_in_collection_us(set, &up->collection);
	up->next = *bucket;
	*bucket = up;
	return up;
}

/* Returns PD_SUB_OK if the upstream is configured in this instance's zone, or the refusal. */
static enum pd_substatus check_configured(struct pd_upstreams *set, struct pd_str name)
{
	struct pd_config *config = pd_config_holder_read(set->setup.config);
	uint32_t index = pd_config_find_upstream(config, name);
	enum pd_substatus status = PD_SUB_OK;

	if (index == PD_CONFIG_NONE)
		status = PD_SUB_NO_UPSTREAM;
	else if (!pd_name_equal(&config->zones[config->upstreams[index].zone].name,
				&set->setup.zone))
		status = PD_SUB_NOT_OWNER;
	pd_config_put(config);
	return status;
}

static enum pd_substatus check_owned(struct pd_upstreams *set, struct pd_str name)
{
	bool first_including_silent;
	int64_t lease_end_us;
	enum pd_ownership ownership =
		set->ownership_fn(set->setup.members, name, pd_name_str(&set->setup.zone),
				  pd_os_now_us(), &first_including_silent, &lease_end_us);

	return ownership == PD_OWNER_SHARED || ownership == PD_OWNER_FULL ? PD_SUB_OK
									  : PD_SUB_NOT_OWNER;
}

/*
 * Returns the upstream, which is created at its first use and kept until pd_upstreams_close(). If
 * it can't be created, returns NULL and sets @status to the refusal.
 */
static struct pd_upstream *get_upstream(struct pd_upstreams *set, struct pd_str name,
					bool require_ownership, enum pd_substatus *status)
{
	struct pd_upstream *up;

	*status = PD_SUB_OK;
	pthread_mutex_lock(&set->mutex);
	up = find_upstream(set, name);
	pthread_mutex_unlock(&set->mutex);
	if (up)
		return up;
	*status = check_configured(set, name);
	if (*status == PD_SUB_OK && require_ownership)
		*status = check_owned(set, name);
	if (*status != PD_SUB_OK)
		return NULL;
	pthread_mutex_lock(&set->mutex);
	up = find_upstream(set, name);
	if (!up && !set->closing)
		up = add_upstream(set, name);
	pthread_mutex_unlock(&set->mutex);
	if (!up)
		*status = PD_SUB_LEAVING;
	return up;
}

static void count_refusal(enum pd_substatus status)
{
	switch (status) {
	case PD_SUB_NOT_OWNER:
		pd_count(PD_COUNT_owner_not_owner);
		break;
	case PD_SUB_OVERLOADED:
		pd_count(PD_COUNT_owner_refused_overload);
		break;
	case PD_SUB_DEADLINE:
		pd_count(PD_COUNT_owner_refused_deadline);
		break;
	case PD_SUB_SUSPECT:
		pd_count(PD_COUNT_owner_refused_suspect);
		break;
	case PD_SUB_LEAVING:
		pd_count(PD_COUNT_owner_refused_leaving);
		break;
	case PD_SUB_ZONE_OUT:
		pd_count(PD_COUNT_owner_refused_zone);
		break;
	case PD_SUB_CANCELLED:
		pd_count(PD_COUNT_owner_cancelled);
		break;
	default:
		break;
	}
}

void pd_upstream_fill_reply(struct pd_upstream *up, struct pd_msg_subreply *reply, int64_t now_us)
{
	reply->queue_us = pd_upstream_queue_delay_us(up, up->queue.count, now_us);
	reply->limit = up->limiter.limit;
}

void pd_upstream_count_answered(struct pd_upstreams *set, uint64_t n)
{
	ck_pr_sub_64(&set->pending, n);
}

void pd_upstream_deliver_refusals(struct pd_upstream *up, struct pd_upstream_job *list)
{
	struct pd_msg_subreply reply = {0};

	if (!list)
		return;
	pthread_mutex_lock(&up->mutex);
	pd_upstream_fill_reply(up, &reply, pd_os_now_us());
	pthread_mutex_unlock(&up->mutex);
	while (list) {
		struct pd_upstream_job *job = list;

		list = job->next;
		count_refusal(job->refusal);
		reply.call = job->request.call;
		reply.status = job->refusal;
		job->reply(job->arg, &reply);
		pd_upstream_job_free(job);
		pd_upstream_count_answered(up->set, 1);
	}
}

static void refuse_request(struct pd_upstreams *set, const struct pd_msg_subrequest *request,
			   enum pd_substatus status, struct pd_msg_subreply *reply,
			   pd_reply_fn *reply_fn, void *arg)
{
	count_refusal(status);
	reply->call = request->call;
	reply->status = status;
	reply_fn(arg, reply);
	pd_upstream_count_answered(set, 1);
}

void pd_upstreams_submit(struct pd_upstreams *upstreams, const struct pd_msg_subrequest *request,
			 uint64_t origin, pd_reply_fn *reply, void *arg)
{
	struct pd_msg_subreply refusal = {0};
	struct pd_upstream_job *refused = NULL;
	struct pd_upstream_job *job;
	struct pd_upstream *up;
	enum pd_substatus status;
	int64_t now_us = pd_os_now_us();

	pd_count(PD_COUNT_owner_received);
	/*
	 * Count the request before its ownership is checked: a shutdown resigns and then waits for
	 * pending requests, and must not miss one that was checked before it resigned.
	 */
	ck_pr_inc_64(&upstreams->pending);
	ck_pr_fence_memory();
	up = get_upstream(upstreams, request->upstream, true, &status);
	if (!up) {
		refuse_request(upstreams, request, status, &refusal, reply, arg);
		return;
	}
	job = pd_upstream_job_new(request, origin, reply, arg, now_us);
	if (!job) {
		refuse_request(upstreams, request, PD_SUB_OVERLOADED, &refusal, reply, arg);
		return;
	}
	job->id = ck_pr_faa_64(&upstreams->next_id, 1);
	pthread_mutex_lock(&up->mutex);
	status = pd_upstream_admit(up, job, &refused, now_us);
	if (status != PD_SUB_OK)
		pd_upstream_fill_reply(up, &refusal, now_us);
	if (status == PD_SUB_OK || status == PD_SUB_LEAVING)
		pd_upstream_control_start(up);
	pd_upstream_wake_worker(up, now_us);
	pthread_mutex_unlock(&up->mutex);
	pd_upstream_deliver_refusals(up, refused);
	if (status == PD_SUB_OK)
		return;
	refuse_request(upstreams, request, status, &refusal, reply, arg);
	pd_upstream_job_free(job);
}

/* Cancels the jobs of @origin: the job with id @call, or all idempotent jobs if @call is NULL. */
static void cancel_jobs(struct pd_upstream *up, uint64_t origin, const uint64_t *call)
{
	struct pd_upstream_job *refused = NULL;
	int64_t now_us = pd_os_now_us();

	pthread_mutex_lock(&up->mutex);
	for (uint32_t i = 0; i < up->queue.count;) {
		struct pd_upstream_job *job = up->queue.jobs[i];

		if (job->origin == origin &&
		    (call ? job->request.call == *call : job->request.idempotent))
			pd_upstream_refuse(&refused, pd_upstream_queue_remove(&up->queue, i),
					   PD_SUB_CANCELLED);
		else
			i++;
	}
	for (struct pd_upstream_job *job = up->running; job; job = job->next) {
		if (job->origin == origin &&
		    (call ? job->request.call == *call : job->request.idempotent))
			pd_upstream_cancel_running(up, job, now_us);
	}
	pthread_mutex_unlock(&up->mutex);
	pd_upstream_deliver_refusals(up, refused);
}

/*
 * Upstreams are only added, at the head of a bucket's list, so that a list can be traversed without
 * the mutex once its head has been read.
 */
static void cancel_in_all_upstreams(struct pd_upstreams *set, uint64_t origin, const uint64_t *call)
{
	for (size_t i = 0; i < PD_UPSTREAM_HASH_BUCKETS; i++) {
		struct pd_upstream *up;

		pthread_mutex_lock(&set->mutex);
		up = set->table[i];
		pthread_mutex_unlock(&set->mutex);
		for (; up; up = up->next)
			cancel_jobs(up, origin, call);
	}
}

void pd_upstreams_cancel(struct pd_upstreams *upstreams, uint64_t origin, uint64_t call)
{
	cancel_in_all_upstreams(upstreams, origin, &call);
}

void pd_upstreams_cancel_origin(struct pd_upstreams *upstreams, uint64_t origin)
{
	cancel_in_all_upstreams(upstreams, origin, NULL);
}

void pd_upstreams_set_leaving(struct pd_upstreams *upstreams, struct pd_str upstream, bool leaving)
{
	enum pd_substatus status;
	struct pd_upstream *up;

	if (leaving) {
		up = get_upstream(upstreams, upstream, false, &status);
	} else {
		pthread_mutex_lock(&upstreams->mutex);
		up = find_upstream(upstreams, upstream);
		pthread_mutex_unlock(&upstreams->mutex);
	}
	if (!up)
		return;
	pthread_mutex_lock(&up->mutex);
	up->listed_leaving = leaving;
	pthread_mutex_unlock(&up->mutex);
}
