#include <inttypes.h>

#include "counters.h"
#include "log.h"
#include "upstream_private.h"

/*
 * If nothing was dispatched for this long, one request is sent even if it isn't expected to finish
 * in time.
 */
#define PROBE_INTERVAL_US PD_USEC_PER_SEC

void pd_upstream_refresh_config(struct pd_upstream *up)
{
	struct pd_config *config = pd_config_holder_read(up->set->setup.config);
	uint32_t index;

	if (config->version == up->config_version && up->config_version != 0) {
		pd_config_put(config);
		return;
	}
	up->config_version = config->version;
	index = pd_config_find_upstream(config, pd_name_str(&up->name));
	up->deleted = index == PD_CONFIG_NONE;
	if (!up->deleted) {
		const struct pd_service *service;

		up->config = config->upstreams[index];
		service = &config->services[up->config.service];
		up->service = service->name;
		up->collection = config->collections[service->collection].name;
		up->out = up->config.out;
		up->zone_out = config->zones[up->config.zone].out;
		pd_limiter_set_slots(&up->limiter, up->config.slots);
	}
	pd_config_put(config);
}

enum pd_ownership pd_upstream_check_ownership(struct pd_upstream *up, int64_t now_us)
{
	enum pd_ownership ownership = up->set->ownership_fn(
		up->set->setup.members, pd_name_str(&up->name), pd_name_str(&up->set->setup.zone),
		now_us, &up->first_including_silent, &up->lease_end_us);
	bool owned = ownership == PD_OWNER_SHARED || ownership == PD_OWNER_FULL;

	up->ownership = ownership;
	if (owned && (!up->owned || now_us - up->last_owned_us > PD_UPSTREAM_OWNERSHIP_GAP_US))
		pd_limiter_restart(&up->limiter, now_us);
	up->owned = owned;
	if (owned)
		up->last_owned_us = now_us;
	return ownership;
}

int64_t pd_upstream_median_us(struct pd_upstream *up)
{
	return pd_latency_quantile(&up->limiter.baseline, 0.5, 0);
}

uint32_t pd_upstream_max_in_flight(struct pd_upstream *up, int64_t now_us)
{
	int64_t oldest_us = 0;

	for (struct pd_upstream_job *job = up->running; job; job = job->next) {
		if (job->dispatched_us > up->limiter.last_normal_sent_us &&
		    now_us - job->dispatched_us > oldest_us)
			oldest_us = now_us - job->dispatched_us;
	}
	return pd_limiter_max_in_flight(&up->limiter, up->ownership == PD_OWNER_SHARED,
					up->first_including_silent, oldest_us, now_us);
}

int64_t pd_upstream_queue_delay_us(struct pd_upstream *up, uint32_t ahead, int64_t now_us)
{
	int64_t backoff_left_us = up->limiter.backoff_until_us - now_us;
	uint32_t in_flight = up->running_count + up->abandoned_count;
	uint32_t limit = up->limiter.limit > 0 ? up->limiter.limit : 1;
	int64_t mean_us = (int64_t)pd_latency_mean(&up->limiter.baseline);
	int64_t expected_us = pd_limiter_expected_us(&up->limiter);
	int64_t delay_us = 0;

	/*
	 * Use the cold latency only if the upstream reported a cold start. Otherwise two stragglers
	 * in a row may have reduced the limit, which the next replies raise again.
	 */
	if (up->limiter.cold_reported && mean_us < expected_us)
		mean_us = expected_us;
	if (ahead + in_flight >= limit)
		delay_us = (int64_t)(ahead + in_flight + 1 - limit) * mean_us / limit;
	return delay_us + (backoff_left_us > 0 ? backoff_left_us : 0);
}

/*
 * Returns the time that a job must have left until its deadline to be started. When jobs queue up
 * at a cold upstream, each would otherwise be started with just the expected time left, and half of
 * them would miss their deadlines.
 */
static int64_t required_time_us(struct pd_upstream *up)
{
	int64_t expected_us = pd_limiter_expected_us(&up->limiter);

	return up->limiter.cold && up->queue.count > 1 ? expected_us / 2 * 3 : expected_us;
}

static bool cannot_finish_in_time(struct pd_upstream *up, const struct pd_upstream_job *job,
				  int64_t now_us)
{
	int64_t left_us = job->deadline_us - now_us;

	if (left_us < PD_USEC_PER_MSEC)
		return true;
	if (left_us >= required_time_us(up))
		return false;
	/* Send a probe now and then: a median from a slow period must not stop all requests. */
	return now_us - up->last_dispatch_us < PROBE_INTERVAL_US || up->running_count > 0;
}

static bool is_overloaded(struct pd_upstream *up, const struct pd_upstream_job *job, int64_t now_us)
{
	int64_t left_us = job->deadline_us - now_us - pd_limiter_expected_us(&up->limiter);
	int64_t delay_us;

	/*
	 * Nothing is dispatched before the backoff ends, however urgent it is. A job refused now
	 * can still be sent to another upstream.
	 */
	if (up->limiter.backoff_until_us - now_us > left_us)
		return true;
	if (job->request.urgency == PD_URGENT)
		return false;
	delay_us = pd_upstream_queue_delay_us(up, pd_upstream_queue_ahead(&up->queue, job), now_us);
	if (delay_us <= left_us)
		return false;
	pd_log(PD_LOG_DEBUG, "work_refused",
	       "upstream=%s delay_us=%" PRId64 " left_us=%" PRId64
	       " limit=%u running=%u abandoned=%u"
	       " queued=%u mean_us=%.0f expected_us=%" PRId64 " cold=%d",
	       up->name.text, delay_us, left_us, up->limiter.limit, up->running_count,
	       up->abandoned_count, up->queue.count, pd_latency_mean(&up->limiter.baseline),
	       pd_limiter_expected_us(&up->limiter), up->limiter.cold);
	return true;
}

/* Decides from the recorded crashes whether @job may run, run only in isolation, or not run. */
static enum pd_suspect_decision check_suspect(struct pd_upstream *up,
					      const struct pd_upstream_job *job, int64_t now_us)
{
	struct pd_config *config;
	enum pd_suspect_decision decision = PD_SUSPECT_ALLOW;
	uint32_t index;

	if (pd_suspects_count(up->set->setup.suspects) == 0)
		return PD_SUSPECT_ALLOW;
	config = pd_config_holder_read(up->set->setup.config);
	index = pd_config_find_upstream(config, pd_name_str(&up->name));
	if (index != PD_CONFIG_NONE)
		decision = pd_suspects_check(up->set->setup.suspects, job->request.fingerprint,
					     config, index, now_us);
	pd_config_put(config);
	return decision;
}

static bool is_leaving(const struct pd_upstream *up)
{
	return up->out || up->listed_leaving || up->reports_draining;
}

/* Returns PD_SUB_OK if a new @job may be queued, otherwise the reason for refusing it. */
static enum pd_substatus find_refusal(struct pd_upstream *up, const struct pd_upstream_job *job,
				      int64_t now_us)
{
	enum pd_ownership ownership;

	if (up->deleted || !pd_str_equal(pd_name_str(&up->service), job->request.service))
		return PD_SUB_NO_UPSTREAM;
	ownership = pd_upstream_check_ownership(up, now_us);
	if (ownership == PD_OWNER_NO || ownership == PD_OWNER_PENDING)
		return PD_SUB_NOT_OWNER;
	if (up->zone_out)
		return PD_SUB_ZONE_OUT;
	if (is_leaving(up) || up->stopping)
		return PD_SUB_LEAVING;
	if (check_suspect(up, job, now_us) == PD_SUSPECT_REJECT)
		return PD_SUB_SUSPECT;
	if (cannot_finish_in_time(up, job, now_us))
		return PD_SUB_DEADLINE;
	return is_overloaded(up, job, now_us) ? PD_SUB_OVERLOADED : PD_SUB_OK;
}

/* Whether a new job would have to wait for capacity. */
static bool would_queue(struct pd_upstream *up, int64_t now_us)
{
	return up->queue.count + up->running_count + up->abandoned_count >=
	       pd_upstream_max_in_flight(up, now_us);
}

/*
 * Whether @job may be answered PD_SUB_BUSY instead of being queued. A hedge is a copy of a request
 * that is already running elsewhere: the low capacity of a cold upstream is kept for first
 * attempts.
 */
static bool may_reply_busy(const struct pd_upstream *up, const struct pd_upstream_job *job)
{
	return job->request.divertible || (job->request.hedge && up->limiter.cold);
}

enum pd_substatus pd_upstream_admit(struct pd_upstream *up, struct pd_upstream_job *job,
				    struct pd_upstream_job **refused, int64_t now_us)
{
	struct pd_upstream_job *displaced;
	enum pd_substatus status;

	up->last_use_us = now_us;
	pd_upstream_refresh_config(up);
	status = find_refusal(up, job, now_us);
	if (status != PD_SUB_OK)
		return status;
	if (may_reply_busy(up, job) && would_queue(up, now_us))
		return PD_SUB_BUSY;
	if (!pd_upstream_queue_push(&up->queue, job, &displaced))
		return PD_SUB_OVERLOADED;
	if (displaced)
		pd_upstream_refuse(refused, displaced, PD_SUB_OVERLOADED);
	return PD_SUB_OK;
}

void pd_upstream_expire(struct pd_upstream *up, struct pd_upstream_job **refused, int64_t now_us)
{
	for (uint32_t i = 0; i < up->queue.count;) {
		if (cannot_finish_in_time(up, up->queue.jobs[i], now_us))
			pd_upstream_refuse(refused, pd_upstream_queue_remove(&up->queue, i),
					   PD_SUB_DEADLINE);
		else
			i++;
	}
}

/* Returns PD_SUB_OK if the queued @job may still be sent, otherwise the reason for refusing it. */
static enum pd_substatus check_before_dispatch(struct pd_upstream *up,
					       const struct pd_upstream_job *job, int64_t now_us)
{
	bool drain_expired = now_us - job->submitted_us > PD_UPSTREAM_DRAIN_TIMEOUT_US;

	if (up->zone_out && drain_expired)
		return PD_SUB_ZONE_OUT;
	if (is_leaving(up) && drain_expired)
		return PD_SUB_LEAVING;
	return cannot_finish_in_time(up, job, now_us) ? PD_SUB_DEADLINE : PD_SUB_OK;
}

/*
 * Whether a job may be sent now. Moves all queued jobs to @refused if the upstream is no longer
 * configured or this instance doesn't own it.
 */
static bool may_send(struct pd_upstream *up, struct pd_upstream_job **refused, int64_t now_us)
{
	enum pd_ownership ownership;

	if (up->queue.count == 0 || up->announcing || up->suspect_in_flight)
		return false;
	pd_upstream_refresh_config(up);
	if (up->deleted) {
		pd_upstream_refuse_all(up, refused, PD_SUB_NO_UPSTREAM);
		return false;
	}
	ownership = pd_upstream_check_ownership(up, now_us);
	if (ownership == PD_OWNER_NO || ownership == PD_OWNER_PENDING) {
		pd_upstream_refuse_all(up, refused, PD_SUB_NOT_OWNER);
		return false;
	}
	/* The upstream would refuse a request that it can't finish before the lease ends. */
	if (up->lease_end_us - now_us < pd_limiter_expected_us(&up->limiter) + PD_USEC_PER_MSEC)
		return false;
	return up->running_count + up->abandoned_count < pd_upstream_max_in_flight(up, now_us);
}

static void start_job(struct pd_upstream *up, struct pd_upstream_job *job, bool isolated,
		      int64_t now_us)
{
	job->dispatched_us = now_us;
	job->upstream_deadline_us =
		job->deadline_us < up->lease_end_us ? job->deadline_us : up->lease_end_us;
	job->isolated = isolated;
	job->next = up->running;
	up->running = job;
	up->running_count++;
	up->suspect_in_flight = isolated;
	up->last_dispatch_us = now_us;
	up->last_use_us = now_us;
	pd_count(PD_COUNT_owner_dispatched);
}

static struct pd_upstream_job *dequeue_job(struct pd_upstream *up, struct pd_upstream_job **refused,
					   int64_t now_us)
{
	if (!may_send(up, refused, now_us))
		return NULL;
	while (up->queue.count > 0) {
		struct pd_upstream_job *job = up->queue.jobs[0];
		enum pd_substatus status = check_before_dispatch(up, job, now_us);
		enum pd_suspect_decision suspect_decision = check_suspect(up, job, now_us);

		if (status == PD_SUB_OK && suspect_decision == PD_SUSPECT_REJECT)
			status = PD_SUB_SUSPECT;
		if (status != PD_SUB_OK) {
			pd_upstream_queue_remove(&up->queue, 0);
			pd_upstream_refuse(refused, job, status);
			continue;
		}
		if (suspect_decision == PD_SUSPECT_ISOLATE &&
		    up->running_count + up->abandoned_count > 0)
			return NULL;
		pd_upstream_queue_remove(&up->queue, 0);
		start_job(up, job, suspect_decision == PD_SUSPECT_ISOLATE, now_us);
		return job;
	}
	return NULL;
}

struct pd_upstream_job *pd_upstream_next_job(struct pd_upstream *up,
					     struct pd_upstream_job **refused, int64_t now_us)
{
	struct pd_upstream_job *job;

	up->dispatching = true;
	job = dequeue_job(up, refused, now_us);
	up->dispatching = false;
	return job;
}
