#include <stdlib.h>

#include "counters.h"
#include "upstream_private.h"

/* Reply timeout of idempotent requests, as multiples of latencies of the upstream. */
#define TIMEOUT_P99_FACTOR    3 /* times the 99th percentile */
#define TIMEOUT_MEDIAN_FACTOR 30 /* times the median; stragglers take about 10 times */
#define TIMEOUT_COLD_FACTOR   2 /* times the expected latency, during a cold start */
/* Timeout for the connection that is opened after a timeout to check for a crash. */
#define PROBE_TIMEOUT_US (20 * PD_USEC_PER_MSEC)

uint32_t pd_upstream_workers_max(const struct pd_upstream *up)
{
	uint32_t connections = up->config.connections > 1 ? up->config.connections - 1 : 1;

	return up->config.slots < connections ? up->config.slots : connections;
}

/* Returns the monotonic time until which an idle worker may wait, in microseconds. */
static int64_t next_wakeup_us(const struct pd_upstream *up, int64_t now_us)
{
	int64_t poll_us = now_us + PD_UPSTREAM_POLL_INTERVAL_US;

	if (up->queue.count == 0)
		return now_us + PD_UPSTREAM_IDLE_TIMEOUT_US;
	if (up->limiter.backoff_until_us > now_us && up->limiter.backoff_until_us < poll_us)
		return up->limiter.backoff_until_us;
	return poll_us;
}

/*
 * Waits for a job that may be sent; NULL when the thread must end. Called with the mutex held,
 * which may be released in between.
 */
static struct pd_upstream_job *wait_for_job(struct pd_upstream_worker *worker)
{
	struct pd_upstream *up = worker->up;
	int64_t idle_since_us = pd_os_now_us();

	for (;;) {
		struct pd_upstream_job *refused = NULL;
		struct pd_upstream_job *job;
		int64_t now_us = pd_os_now_us();

		if (up->stopping || worker->index >= pd_upstream_workers_max(up))
			return NULL;
		job = pd_upstream_next_job(up, &refused, now_us);
		worker->job = job;
		if (job) {
			job->worker = worker;
			pd_upstream_wake_worker(up, now_us);
		}
		if (refused) {
			pthread_mutex_unlock(&up->mutex);
			pd_upstream_deliver_refusals(up, refused);
			pthread_mutex_lock(&up->mutex);
		}
		if (job)
			return job;
		if (refused)
			continue;
		if (up->queue.count == 0 && now_us - idle_since_us >= PD_UPSTREAM_IDLE_TIMEOUT_US)
			return NULL;
		up->idle_workers++;
		pd_os_cond_wait_until(&up->work_cond, &up->mutex, next_wakeup_us(up, now_us));
		up->idle_workers--;
	}
}

/*
 * Returns the time to wait for the reply to @job, in microseconds. A non-idempotent request can't
 * be sent again, so the worker waits for its reply until the deadline.
 */
static int64_t reply_timeout_us(struct pd_upstream *up, const struct pd_upstream_job *job)
{
	int64_t left_us = job->deadline_us - job->dispatched_us;
	int64_t cold_timeout_us;
	int64_t median_us;
	int64_t reply_wait_us;

	if (!job->request.idempotent)
		return left_us;
	reply_wait_us =
		pd_latency_quantile(&up->limiter.baseline, 0.99, left_us) * TIMEOUT_P99_FACTOR;
	median_us = pd_latency_quantile(&up->limiter.baseline, 0.5, left_us);
	/* With few samples the 99th percentile may be below the latency of a usual straggler. */
	if (reply_wait_us < median_us * TIMEOUT_MEDIAN_FACTOR)
		reply_wait_us = median_us * TIMEOUT_MEDIAN_FACTOR;
	if (reply_wait_us < PD_UPSTREAM_MIN_REPLY_TIMEOUT_US)
		reply_wait_us = PD_UPSTREAM_MIN_REPLY_TIMEOUT_US;
	/* Leave the last quarter of the time for another attempt. */
	if (reply_wait_us > left_us / 4 * 3)
		reply_wait_us = left_us / 4 * 3;
	/* Requests that time out halfway would waste the low capacity of a cold upstream. */
	cold_timeout_us =
		up->limiter.cold ? pd_limiter_expected_us(&up->limiter) * TIMEOUT_COLD_FACTOR : 0;
	if (reply_wait_us < cold_timeout_us)
		reply_wait_us = cold_timeout_us < left_us ? cold_timeout_us : left_us;
	return reply_wait_us;
}

/* Opens a connection to find out whether the upstream's address refuses it. */
static bool connection_is_refused(const struct pd_upstream_config *config)
{
	int fd = -1;
	enum pd_code code = pd_os_connect(&config->address, PROBE_TIMEOUT_US, &fd, NULL);

	if (code == PD_OK)
		pd_os_close(&fd);
	return code == PD_REFUSED_CONNECTION;
}

static void update_limiter(struct pd_upstream *up, const struct pd_exchange *exchange,
			   int64_t now_us)
{
	if (exchange->draining)
		up->reports_draining = true;
	if (exchange->shed)
		pd_limiter_shed(&up->limiter, now_us);
	else if (exchange->reply.status == PD_SUB_OK || exchange->load == PD_LOAD_COLD)
		pd_limiter_reply(&up->limiter, exchange->service_us, exchange->load, now_us);
}

/* Reports a request without a reply to the limiter as a slow reply if it took that long. */
static void update_limiter_slow(struct pd_upstream *up, int64_t service_us, int64_t now_us)
{
	if (service_us > pd_limiter_slow_us(&up->limiter))
		pd_limiter_reply(&up->limiter, service_us, PD_LOAD_UNKNOWN, now_us);
}

/*
 * Sets the reply status from the outcome, and updates counters and the limiter. @probe_refused: a
 * connection after a timeout was refused, so the upstream has crashed. Returns true if the upstream
 * may still be running the job.
 */
static bool evaluate_exchange(struct pd_upstream_worker *worker, struct pd_upstream_job *job,
			      struct pd_exchange *exchange, bool probe_refused)
{
	struct pd_upstream *up = worker->up;
	enum pd_substatus *status = &exchange->reply.status;
	int64_t now_us = pd_os_now_us();

	switch (exchange->code) {
	case PD_OK:
		pd_count(*status == PD_SUB_OK ? PD_COUNT_upstream_ok : PD_COUNT_upstream_errors);
		update_limiter(up, exchange, now_us);
		return *status == PD_SUB_MISMATCH;
	case PD_REFUSED_CONNECTION:
	case PD_UNREACHABLE:
		*status = PD_SUB_NO_UPSTREAM;
		pd_count(PD_COUNT_upstream_errors);
		pd_limiter_connection_failed(&up->limiter, now_us);
		return false;
	case PD_TIMEOUT:
		*status = now_us >= job->deadline_us ? PD_SUB_LATE : PD_SUB_LOST;
		pd_count(PD_COUNT_upstream_silent);
		update_limiter_slow(up, exchange->service_us, now_us);
		if (probe_refused && !job->crash_recorded)
			pd_upstream_handle_crash(up, worker);
		return !probe_refused;
	case PD_CANCELLED:
		*status = PD_SUB_LOST;
		if (!job->crash_recorded)
			update_limiter_slow(up, exchange->service_us, now_us);
		return !job->crash_recorded;
	case PD_CLOSED:
		*status = PD_SUB_LOST;
		pd_count(PD_COUNT_upstream_resets);
		if (!job->crash_recorded)
			pd_upstream_handle_crash(up, worker);
		return false;
	default:
		*status = PD_SUB_FAILED;
		pd_count(PD_COUNT_upstream_errors);
		return true;
	}
}

static void unlink_running(struct pd_upstream *up, struct pd_upstream_job *job)
{
	struct pd_upstream_job **at = &up->running;

	while (*at != job)
		at = &(*at)->next;
	*at = job->next;
	up->running_count--;
	job->worker = NULL;
}

/* Keeps counting @job against the concurrency limit until it has certainly ended upstream. */
static void abandon_job(struct pd_upstream *up, struct pd_upstream_job *job, int64_t now_us)
{
	job->next = up->abandoned;
	up->abandoned = job;
	up->abandoned_count++;
	job->abandoned_us = now_us;
	if (job->cancel_requested_us == 0)
		job->cancel_requested_us = now_us;
	pthread_cond_signal(&up->control_cond);
}

static void finish_job(struct pd_upstream_worker *worker, struct pd_upstream_job *job,
		       struct pd_exchange *exchange, bool probe_refused)
{
	struct pd_upstream *up = worker->up;
	pd_reply_fn *reply = job->reply;
	void *arg = job->arg;
	bool may_be_running;
	int64_t now_us;

	if (exchange->code == PD_OK && exchange->reply.status == PD_SUB_OK && job->isolated)
		pd_upstream_clear_suspect(up, job);
	exchange->reply.call = job->request.call;
	exchange->reply.service_us = exchange->service_us;
	pthread_mutex_lock(&up->mutex);
	may_be_running = evaluate_exchange(worker, job, exchange, probe_refused);
	while (up->announcing && job->crash_recorded)
		pthread_cond_wait(&up->work_cond, &up->mutex);
	now_us = pd_os_now_us();
	worker->job = NULL;
	unlink_running(up, job);
	if (may_be_running && !job->cancel_confirmed &&
	    now_us < job->upstream_deadline_us + up->set->deadline_margin_us) {
		abandon_job(up, job, now_us);
	} else {
		up->suspect_in_flight = up->suspect_in_flight && !job->isolated;
		pd_upstream_job_free(job);
	}
	pd_upstream_fill_reply(up, &exchange->reply, now_us);
	pd_upstream_wake_worker(up, now_us);
	pthread_mutex_unlock(&up->mutex);
	reply(arg, &exchange->reply);
	pd_upstream_count_answered(up->set, 1);
}

static void run_job(struct pd_upstream_worker *worker, struct pd_upstream_job *job)
{
	struct pd_upstream *up = worker->up;
	struct pd_upstream_config config;
	struct pd_exchange exchange;
	int64_t timeout_us;
	bool drop;

	config = up->config;
	timeout_us = reply_timeout_us(up, job);
	drop = worker->drop_connection;
	worker->drop_connection = false;
	pthread_mutex_unlock(&up->mutex);
	if (drop)
		pd_http_client_drop_connection(worker->client);
	pd_exchange_run(worker->client, &config, job, timeout_us, &exchange);
	finish_job(worker, job, &exchange,
		   exchange.code == PD_TIMEOUT && connection_is_refused(&config));
	pthread_mutex_lock(&up->mutex);
}

static void *worker_main(void *arg)
{
	struct pd_upstream_worker *worker = arg;
	struct pd_upstream *up = worker->up;
	struct pd_upstream_job *job;

	pthread_mutex_lock(&up->mutex);
	while ((job = wait_for_job(worker)))
		run_job(worker, job);
	worker->thread_running = false;
	/* This thread may have received a wake-up that was for new work: pass it on. */
	pthread_cond_signal(&up->work_cond);
	pthread_mutex_unlock(&up->mutex);
	return NULL;
}

void pd_upstream_worker_join(struct pd_upstream_worker *worker)
{
	if (worker->joinable)
		pthread_join(worker->thread, NULL);
	worker->joinable = false;
	pd_http_client_close(worker->client);
	worker->client = NULL;
}

/* Returns a worker whose thread isn't running, which is added if there is none; NULL on failure. */
static struct pd_upstream_worker *get_stopped_worker(struct pd_upstream *up)
{
	struct pd_upstream_worker **new_workers;
	struct pd_upstream_worker *worker;

	for (uint32_t i = 0; i < up->worker_count; i++) {
		if (!up->workers[i]->thread_running)
			return up->workers[i];
	}
	new_workers =
		realloc(up->workers, (up->worker_count + 1) * sizeof(struct pd_upstream_worker *));
	if (!new_workers)
		return NULL;
	up->workers = new_workers;
	worker = calloc(1, sizeof(*worker));
	if (!worker)
		return NULL;
	worker->up = up;
	worker->index = up->worker_count;
	up->workers[up->worker_count++] = worker;
	return worker;
}

static bool has_worker_without_job(const struct pd_upstream *up)
{
	for (uint32_t i = 0; i < up->worker_count; i++) {
		if (up->workers[i]->thread_running && !up->workers[i]->job)
			return true;
	}
	return false;
}

static uint32_t count_running_workers(const struct pd_upstream *up)
{
	uint32_t running_workers = 0;

	for (uint32_t i = 0; i < up->worker_count; i++)
		running_workers += up->workers[i]->thread_running;
	return running_workers;
}

void pd_upstream_wake_worker(struct pd_upstream *up, int64_t now_us)
{
	struct pd_upstream_worker *worker;
	struct pd_error err;
	uint32_t running_workers;

	if (up->queue.count == 0 || up->stopping)
		return;
	if (up->idle_workers > 0) {
		pthread_cond_signal(&up->work_cond);
		return;
	}
	/*
	 * A worker without a job is delivering a reply and will check the queue next. Waiting for
	 * it is better than opening another connection.
	 */
	if (has_worker_without_job(up))
		return;
	running_workers = count_running_workers(up);
	if (running_workers > 0 &&
	    (running_workers >= pd_upstream_workers_max(up) ||
	     up->running_count + up->abandoned_count >= pd_upstream_max_in_flight(up, now_us)))
		return;
	worker = get_stopped_worker(up);
	if (!worker)
		return;
	/* The thread has released the mutex for the last time, so joining it doesn't block long. */
	pd_upstream_worker_join(worker);
	if (pd_http_client_open(&worker->client, &err) != PD_OK)
		return;
	worker->thread_running = true;
	worker->drop_connection = false;
	worker->joinable =
		pd_os_thread_start(&worker->thread, "upstream", worker_main, worker, &err) == PD_OK;
	worker->thread_running = worker->joinable;
}
