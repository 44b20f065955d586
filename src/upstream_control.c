#include <jansson.h>
#include <string.h>

#include "log.h"
#include "upstream_private.h"

/* Frees an abandoned job, so that it no longer counts against the concurrency limit. */
static void release_abandoned(struct pd_upstream *up, struct pd_upstream_job **at)
{
	struct pd_upstream_job *job = *at;

	*at = job->next;
	up->abandoned_count--;
	up->suspect_in_flight = up->suspect_in_flight && !job->isolated;
	pd_upstream_job_free(job);
}

/* Releases the abandoned jobs that have certainly ended at the upstream. */
static void release_expired(struct pd_upstream *up, int64_t now_us)
{
	struct pd_upstream_job **at = &up->abandoned;

	while (*at) {
		if (now_us >= (*at)->upstream_deadline_us + up->set->deadline_margin_us)
			release_abandoned(up, at);
		else
			at = &(*at)->next;
	}
}

static enum pd_code control_request(struct pd_upstream *up, const struct pd_upstream_config *config,
				    const char *method, const char *path, struct pd_str request_id,
				    int64_t timeout_us, struct pd_http_response *response)
{
	const struct pd_http_header header = {PD_STR("Request-Id"), request_id};
	const struct pd_http_request request = {
		.method = method,
		.address = config->address,
		.path = path,
		.headers = &header,
		.header_count = request_id.len > 0 ? 1 : 0,
		.timeout_us = timeout_us,
	};

	return pd_http_client_perform(up->control.client, &request, response, NULL);
}

/* Returns the number of stopped requests from the upstream's reply to a cancellation. */
static int64_t parse_cancelled_count(const struct pd_http_response *response)
{
	json_t *json;
	int64_t count;

	if (response->status != 200 || !response->body.len)
		return 0;
	json = json_loadb(response->body.data, response->body.len, 0, NULL);
	count = json_integer_value(json_object_get(json, "cancelled"));
	json_decref(json);
	return count;
}

/*
 * Applies the reply to a cancellation that was sent at @sent_us. A cancellation uses another
 * connection than its request and can overtake it. Thus if the upstream doesn't know the request,
 * the request has certainly ended only if no part of it can still be in transit.
 */
static void apply_cancel_reply(struct pd_upstream *up, uint64_t id, bool confirmed, int64_t sent_us)
{
	int64_t next_cancel_us = pd_os_now_us() + PD_UPSTREAM_CANCEL_RETRY_US;

	for (struct pd_upstream_job *job = up->running; job; job = job->next) {
		if (job->id != id)
			continue;
		job->cancel_confirmed = confirmed;
		job->cancel_due_us = next_cancel_us;
	}
	for (struct pd_upstream_job **at = &up->abandoned; *at; at = &(*at)->next) {
		if ((*at)->id != id)
			continue;
		(*at)->cancel_due_us = next_cancel_us;
		if (confirmed || sent_us >= (*at)->abandoned_us + up->set->deadline_margin_us)
			release_abandoned(up, at);
		return;
	}
}

static void send_cancel(struct pd_upstream *up, struct pd_upstream_job *job)
{
	struct pd_upstream_config config = up->config;
	struct pd_http_response response;
	int64_t sent_us = pd_os_now_us();
	uint64_t id = job->id;
	struct pd_buf request_id = {0};
	enum pd_code code;

	pd_buf_append_str(&request_id, job->request.request_id);
	pthread_mutex_unlock(&up->mutex);
	code = control_request(up, &config, "POST", "/cancel", pd_buf_str(&request_id),
			       up->set->cancel_timeout_us, &response);
	pd_buf_finish(&request_id);
	pthread_mutex_lock(&up->mutex);
	if (code == PD_OK && response.status == 200)
		apply_cancel_reply(up, id, parse_cancelled_count(&response) > 0, sent_us);
	else
		apply_cancel_reply(up, id, false, INT64_MIN);
}

static struct pd_upstream_job *find_due_cancel(struct pd_upstream_job *list, int64_t now_us)
{
	for (struct pd_upstream_job *job = list; job; job = job->next) {
		if (job->cancel_requested_us != 0 && !job->cancel_confirmed &&
		    now_us >= job->cancel_due_us)
			return job;
	}
	return NULL;
}

static struct pd_upstream_job *next_cancel(struct pd_upstream *up, int64_t now_us)
{
	struct pd_upstream_job *job = find_due_cancel(up->running, now_us);

	return job ? job : find_due_cancel(up->abandoned, now_us);
}

/* Closes the connections of cancelled requests whose reply hasn't arrived within the timeout. */
static void close_unanswered_cancelled(struct pd_upstream *up, int64_t now_us)
{
	for (struct pd_upstream_job *job = up->running; job; job = job->next) {
		if (job->cancel_requested_us != 0 &&
		    now_us - job->cancel_requested_us >= up->set->cancel_timeout_us)
			pd_http_client_cancel(job->worker->client);
	}
}

/* Polls the health endpoint: 503 means draining, a refused connection that the upstream is down. */
static void poll_health(struct pd_upstream *up)
{
	struct pd_upstream_config config = up->config;
	struct pd_http_response response;
	enum pd_code code;

	up->polling_health = true;
	pthread_mutex_unlock(&up->mutex);
	code = control_request(up, &config, "GET", "/health", (struct pd_str){NULL, 0},
			       PD_UPSTREAM_HEALTH_TIMEOUT_US, &response);
	pthread_mutex_lock(&up->mutex);
	up->polling_health = false;
	up->health_due_us = pd_os_now_us() + PD_UPSTREAM_HEALTH_INTERVAL_US;
	if (code == PD_REFUSED_CONNECTION && !up->limiter.cold)
		pd_limiter_connection_failed(&up->limiter, pd_os_now_us());
	if (code != PD_OK)
		return;
	if (response.status == 200 && up->reports_draining)
		pd_log(PD_LOG_INFO, "upstream_back", "upstream=%s", up->name.text);
	if (response.status == 200)
		up->reports_draining = false;
	else if (response.status == 503)
		up->reports_draining = true;
}

static bool is_idle(const struct pd_upstream *up, int64_t now_us)
{
	return up->queue.count == 0 && up->running_count == 0 && up->abandoned_count == 0 &&
	       now_us - up->last_use_us >= PD_UPSTREAM_IDLE_TIMEOUT_US;
}

/*
 * Does one step of the control thread; false when there was nothing to do. Called with the mutex
 * held, which may be released in between.
 */
static bool control_step(struct pd_upstream *up, int64_t now_us)
{
	struct pd_upstream_job *refused = NULL;
	struct pd_upstream_job *cancel = next_cancel(up, now_us);
	enum pd_ownership ownership;

	if (cancel) {
		send_cancel(up, cancel);
		pd_upstream_wake_worker(up, pd_os_now_us());
		return true;
	}
	close_unanswered_cancelled(up, now_us);
	release_expired(up, now_us);
	pd_upstream_expire(up, &refused, now_us);
	pd_upstream_wake_worker(up, now_us);
	if (refused) {
		pthread_mutex_unlock(&up->mutex);
		pd_upstream_deliver_refusals(up, refused);
		pthread_mutex_lock(&up->mutex);
		return true;
	}
	if (now_us < up->health_due_us)
		return false;
	up->health_due_us = now_us + PD_UPSTREAM_HEALTH_INTERVAL_US;
	ownership = pd_upstream_check_ownership(up, now_us);
	if (up->deleted || ownership == PD_OWNER_NO || ownership == PD_OWNER_PENDING)
		return false;
	poll_health(up);
	return true;
}

/* Returns the time of the next step, unless @control_cond is signalled before. */
static int64_t next_step_time_us(const struct pd_upstream *up, int64_t now_us)
{
	bool poll_soon = up->queue.count > 0 || up->abandoned_count > 0;

	for (const struct pd_upstream_job *job = up->running; job && !poll_soon; job = job->next)
		poll_soon = job->cancel_requested_us != 0;
	if (poll_soon && now_us + PD_UPSTREAM_POLL_INTERVAL_US < up->health_due_us)
		return now_us + PD_UPSTREAM_POLL_INTERVAL_US;
	return up->health_due_us;
}

static void *control_main(void *arg)
{
	struct pd_upstream *up = arg;
	int64_t now_us;

	pthread_mutex_lock(&up->mutex);
	for (;;) {
		now_us = pd_os_now_us();
		if ((up->stopping && up->running_count == 0) || is_idle(up, now_us))
			break;
		if (!control_step(up, now_us))
			pd_os_cond_wait_until(&up->control_cond, &up->mutex,
					      next_step_time_us(up, now_us));
	}
	up->control.thread_running = false;
	pthread_mutex_unlock(&up->mutex);
	return NULL;
}

void pd_upstream_control_start(struct pd_upstream *up)
{
	struct pd_error err;

	if (up->control.thread_running || up->stopping)
		return;
	pd_upstream_worker_join(&up->control);
	if (pd_http_client_open(&up->control.client, &err) != PD_OK)
		return;
	up->control.joinable = pd_os_thread_start(&up->control.thread, "upstream-ctl", control_main,
						  up, &err) == PD_OK;
	up->control.thread_running = up->control.joinable;
}

void pd_upstream_cancel_running(struct pd_upstream *up, struct pd_upstream_job *job, int64_t now_us)
{
	if (job->cancel_requested_us != 0)
		return;
	job->cancel_requested_us = now_us;
	if (up->polling_health)
		pd_http_client_cancel(up->control.client);
	pthread_cond_signal(&up->control_cond);
}
