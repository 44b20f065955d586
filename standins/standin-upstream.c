/*
 * Stand-in for one upstream: executes requests in a limited number of slots with a queue, is slower
 * after a cold start, holds index snapshots, and injects the faults of real upstreams on command.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "draw.h"
#include "log.h"
#include "record.h"
#include "serve.h"

#define BODY_MAX_BYTES (1024 * 1024)
#define VERSIONS_MAX   256
/* Limits the lag of the reported load if the load changes often. */
#define LOAD_SAMPLES_MAX 4096
/* With `cross on`, one of this many responses carries the id of another request. */
#define SWAPPED_ID_PERIOD 20
/* Delay of a crash by command, so that the response to the command is sent before. */
#define CRASH_DELAY_US	     (5 * PD_USEC_PER_MSEC)
#define CRASH_TEXT_MAX_BYTES 256
#define COVERS_MAX_BYTES     32
/* Shortest time after which a client can infer a cold start from a missing response. */
#define COLD_DETECTION_MIN_US (100 * PD_USEC_PER_MSEC)
#define QUEUE_LIMIT_UNSET     INT64_MAX /* --queue isn't given: the limit is twice the slots */

/**
 * struct run_request - one POST /run request, owned by the thread of its connection
 * @request: HTTP request
 * @id: value of the Request-Id header
 * @snapshot: index version that the request names; with 0, it runs on any version
 * @deadline_us: monotonic time at which Deadline-Ms ends, in microseconds; without the header and
 * for longer deadlines, 10^9 ms after the arrival
 * @deadline_unix_ms: Unix time from Deadline-At, in milliseconds; INT64_MAX without the header
 * @seq: sequence number of the record of the request
 * @epoch: upstream.epoch at arrival; if upstream.epoch differs, the upstream has crashed since
 * @cold_epoch: upstream.cold_epoch when execution started, if the upstream was cold then; else 0
 * @cond: signalled when @has_slot or @cancelled changes, at a crash and on shutdown
 * @has_slot: the request has been given a slot
 * @cancelled: the request was cancelled by POST /cancel
 * @begun: execution of the request has started
 * @not_run_reason: value of the Not-Run header; NULL for no header
 * @active_prev: previous request in upstream.active
 * @active_next: next request in upstream.active
 * @queue_next: next request in the queue for a slot
 */
struct run_request {
	struct standin_request *request;
	const char *id;
	uint64_t snapshot;
	int64_t deadline_us;
	int64_t deadline_unix_ms;
	uint64_t seq;
	uint64_t epoch;
	uint64_t cold_epoch;
	pthread_cond_t cond;
	bool has_slot;
	bool cancelled;
	bool begun;
	const char *not_run_reason;
	struct run_request *active_prev;
	struct run_request *active_next;
	struct run_request *queue_next;
};

/**
 * struct load_sample - load of the upstream at one time
 * @at_us: monotonic time of the sample, in microseconds
 * @cold_until_us: value of upstream.cold_until_us
 * @in_flight: number of requests in execution
 */
struct load_sample {
	int64_t at_us;
	int64_t cold_until_us;
	uint64_t in_flight;
};

/**
 * struct counts - counters that GET /stats prints
 * @requests: valid /run requests received
 * @begun: requests whose execution started
 * @finished: requests executed completely
 * @cancelled: requests ended by POST /cancel
 * @shed: requests rejected because the queue was full
 * @expired: requests ended by their deadline, before or during execution
 * @cold_overloads: overloads in a cold start that the sender of the request could know of
 * @unannounced_overloads: overloads in a cold start that the sender couldn't know of yet
 * @max_in_flight: highest number of requests in execution at the same time
 * @max_in_flight_cold: highest number of those that started in the same cold start
 * @crashes: number of crashes
 * @new_work_after_drain: requests received while draining
 * @last_new_work_after_drain_ms: time from the start of draining to the last of these requests, in
 * milliseconds
 */
struct counts {
	uint64_t requests;
	uint64_t begun;
	uint64_t finished;
	uint64_t cancelled;
	uint64_t shed;
	uint64_t expired;
	uint64_t cold_overloads;
	uint64_t unannounced_overloads;
	uint64_t max_in_flight;
	uint64_t max_in_flight_cold;
	uint64_t crashes;
	uint64_t new_work_after_drain;
	int64_t last_new_work_after_drain_ms;
};

/**
 * enum drain_state - state set by the `drain` command
 * @DRAIN_OFF: not draining
 * @DRAIN_ON: the health check fails, but requests are executed
 * @DRAIN_REFUSE: the health check fails and requests are rejected
 */
enum drain_state {
	DRAIN_OFF,
	DRAIN_ON,
	DRAIN_REFUSE,
};

/**
 * struct upstream - state of the stand-in
 * @common: options that every stand-in has
 * @server: HTTP server
 * @mutex: guards all members below
 * @changed: signalled to wake the timer thread
 * @run_closed: broadcast when a request is removed from @active
 * @active: list of all /run requests that haven't ended
 * @queue_head: oldest request that waits for a slot
 * @queue_tail: newest request that waits for a slot
 * @queued: number of requests that wait for a slot
 * @slots_used: number of slots in use
 * @in_flight: number of requests in execution
 * @epoch: number of crashes
 * @cold_epoch: number of cold starts
 * @cold_until_us: time at which the cold start ends
 * @cold_in_flight: number of requests in execution that started in the current cold start
 * @overload_since_us: time since which @cold_in_flight has exceeded --cold-bears; 0 if it doesn't
 * @overload_counted: the current overload has been counted in cold_overloads
 * @cold_since_us: time at which the last cold start began
 * @cold_known_us: time from which a client can know of the cold start: when the first response to a
 * request that started in it or that reports the cold state was sent, or when connections were
 * reset; INT64_MAX before
 * @down_until_us: time until which the upstream is down after a crash; 0 while it is up
 * @crash_at_us: time at which to crash, set by the `crash` command; 0 if no crash is due
 * @versions: index versions that the upstream holds, in ascending order
 * @version_count: number of entries used in @versions
 * @samples: ring buffer of the load after each change
 * @sample_count: number of samples so far
 * @records: records of the requests
 * @counts: counters for GET /stats
 * @drain: state set by the `drain` command
 * @drain_since_us: time at which draining began
 * @last_silent_conn: number of the newest connection at the last `silent` command; connections up
 * to this number don't get responses
 * @service_time_factor: factor of all service times, set by the `slow_factor` command
 * @report_warm: report the state "warm" even while cold, set by the `lie` command
 * @swap_ids: send some responses with wrong request ids, set by the `cross` command
 * @replies_since_swap: number of successful responses since the last one with a wrong id
 * @previous_id: id of the previous request that succeeded
 * @replies_to_truncate: number of further responses to truncate, set by the `truncate` command
 * @crash_text: text in a request body that crashes the upstream; empty for none
 *
 * The members from @name to @crash_exit are set by the command-line options, whose help texts
 * describe them. Times in microseconds are monotonic.
 */
static struct upstream {
	struct standin_common_options common;
	const char *name;
	const char *service;
	const char *initial_versions;
	int64_t slots;
	int64_t connections;
	double connect_ms;
	double service_ms;
	double sigma;
	double slow_share;
	double slow_factor;
	int64_t seed;
	int64_t buckets;
	int64_t shard;
	int64_t shards;
	int64_t queue_limit;
	int64_t cold_max_requests;
	int64_t cold_ms;
	double cold_factor;
	int64_t overload_crash_ms;
	int64_t down_ms;
	int64_t load_lag_ms;
	bool start_cold;
	bool crash_exit;
	struct standin_server server;
	pthread_mutex_t mutex;

	pthread_cond_t changed;
	pthread_cond_t run_closed;
	struct run_request *active;
	struct run_request *queue_head;
	struct run_request *queue_tail;
	int64_t queued;
	int64_t slots_used;
	uint64_t in_flight;
	uint64_t epoch;
	uint64_t cold_epoch;
	int64_t cold_until_us;
	int64_t cold_in_flight;
	int64_t overload_since_us;
	bool overload_counted;
	int64_t cold_since_us;
	int64_t cold_known_us;
	int64_t down_until_us;
	int64_t crash_at_us;
	uint64_t versions[VERSIONS_MAX];
	size_t version_count;
	struct load_sample samples[LOAD_SAMPLES_MAX];
	uint64_t sample_count;
	struct standin_records records;
	struct counts counts;
	enum drain_state drain;
	int64_t drain_since_us;
	uint64_t last_silent_conn;
	double service_time_factor;
	bool report_warm;
	bool swap_ids;
	uint64_t replies_since_swap;
	char previous_id[STANDIN_REQUEST_ID_MAX_BYTES + 1];
	int64_t replies_to_truncate;
	char crash_text[CRASH_TEXT_MAX_BYTES];
} upstream = {
	.name = "upstream",
	.service = "",
	.initial_versions = "1",
	.slots = 3,
	.connections = 60,
	.service_ms = 5,
	.slow_factor = 1,
	.buckets = 1000,
	.shards = 1,
	.queue_limit = QUEUE_LIMIT_UNSET,
	.cold_max_requests = 1,
	.cold_ms = 2000,
	.cold_factor = 4,
	.overload_crash_ms = 200,
	.down_ms = 500,
	.mutex = PTHREAD_MUTEX_INITIALIZER,
	.service_time_factor = 1,
};

/* Functions with the suffix _locked are called with upstream.mutex held. */

static bool is_cold(int64_t now_us)
{
	return now_us < upstream.cold_until_us;
}

static void sample_load_locked(void)
{
	upstream.samples[upstream.sample_count++ % LOAD_SAMPLES_MAX] =
		(struct load_sample){.at_us = pd_os_now_us(),
				     .cold_until_us = upstream.cold_until_us,
				     .in_flight = upstream.in_flight};
}

/*
 * Begins a cold start. @known: clients can know of it at once, since their connections were reset
 * or they had none.
 */
static void start_cold_phase_locked(bool known)
{
	upstream.cold_epoch++;
	upstream.cold_until_us = pd_os_now_us() + upstream.cold_ms * PD_USEC_PER_MSEC;
	upstream.cold_in_flight = 0;
	upstream.overload_since_us = 0;
	upstream.cold_since_us = pd_os_now_us();
	upstream.cold_known_us = known ? upstream.cold_since_us : INT64_MAX;
	sample_load_locked();
}

static void end_cold_phase_locked(void)
{
	upstream.cold_until_us = 0;
	upstream.cold_in_flight = 0;
	upstream.overload_since_us = 0;
	sample_load_locked();
}

/*
 * Crashes the upstream: exits with --crash-exit, otherwise drops all requests, resets the
 * connections and stays down for --down-ms. @cause is written to the log.
 */
static void crash_locked(const char *cause)
{
	pd_log(PD_LOG_WARNING, "crash", "upstream=%s cause=%s", upstream.name, cause);
	if (upstream.crash_exit)
		_Exit(EXIT_FAILURE);
	upstream.counts.crashes++;
	upstream.epoch++;
	upstream.crash_at_us = 0;
	upstream.queue_head = upstream.queue_tail = NULL;
	upstream.queued = upstream.slots_used = 0;
	upstream.in_flight = 0;
	upstream.cold_in_flight = 0;
	upstream.overload_since_us = 0;
	upstream.down_until_us = pd_os_now_us() + upstream.down_ms * PD_USEC_PER_MSEC;
	standin_server_pause(&upstream.server);
	for (struct run_request *run = upstream.active; run; run = run->active_next)
		pthread_cond_signal(&run->cond);
	pthread_cond_signal(&upstream.changed);
}

/* Ends the time after a crash: the upstream is up again and cold. */
static void recover_locked(void)
{
	upstream.down_until_us = 0;
	start_cold_phase_locked(true);
	standin_server_resume(&upstream.server);
}

static int64_t overload_crash_us(void)
{
	return upstream.overload_since_us + upstream.overload_crash_ms * PD_USEC_PER_MSEC;
}

/* Handles the timers that have expired; returns the monotonic time of the next one. */
static int64_t run_timers_locked(int64_t now_us)
{
	int64_t next_us = INT64_MAX / 2;

	if (upstream.down_until_us) {
		if (now_us < upstream.down_until_us)
			return upstream.down_until_us;
		recover_locked();
	}
	if (upstream.crash_at_us) {
		if (now_us < upstream.crash_at_us)
			return upstream.crash_at_us;
		crash_locked("control");
		return upstream.down_until_us;
	}
	if (upstream.overload_since_us && is_cold(now_us)) {
		if (now_us < overload_crash_us())
			return overload_crash_us();
		crash_locked("cold_overload");
		return upstream.down_until_us;
	}
	return next_us;
}

static void *timer_thread(void *arg)
{
	(void)arg;
	pthread_mutex_lock(&upstream.mutex);
	while (!standin_server_stopping(&upstream.server)) {
		int64_t next_us = run_timers_locked(pd_os_now_us());

		pd_os_cond_wait_until(&upstream.changed, &upstream.mutex, next_us);
	}
	pthread_mutex_unlock(&upstream.mutex);
	return NULL;
}

static bool has_version_locked(uint64_t version)
{
	for (size_t i = 0; i < upstream.version_count; i++) {
		if (upstream.versions[i] == version)
			return true;
	}
	return false;
}

static bool load_version_locked(uint64_t version)
{
	size_t i = upstream.version_count;

	if (has_version_locked(version))
		return true;
	if (version == 0 || i == VERSIONS_MAX)
		return false;
	for (; i > 0 && upstream.versions[i - 1] > version; i--)
		upstream.versions[i] = upstream.versions[i - 1];
	upstream.versions[i] = version;
	upstream.version_count++;
	return true;
}

static void drop_version_locked(uint64_t version)
{
	size_t kept = 0;

	for (size_t i = 0; i < upstream.version_count; i++) {
		if (upstream.versions[i] != version)
			upstream.versions[kept++] = upstream.versions[i];
	}
	upstream.version_count = kept;
}

static void print_versions_locked(struct pd_buf *out)
{
	for (size_t i = 0; i < upstream.version_count; i++)
		pd_buf_printf(out, "%s%llu", i ? "," : "",
			      (unsigned long long)upstream.versions[i]);
}

/*
 * Returns the load to report to clients: that of --load-lag-ms ago, but always with the state
 * "warm" after the command `lie warm`.
 */
static void reported_load_locked(uint64_t *in_flight, const char **state)
{
	int64_t at_us = pd_os_now_us() - upstream.load_lag_ms * PD_USEC_PER_MSEC;
	struct load_sample sample = {0};

	for (uint64_t n = upstream.sample_count; n > 0; n--) {
		if (n + LOAD_SAMPLES_MAX == upstream.sample_count)
			break;
		sample = upstream.samples[(n - 1) % LOAD_SAMPLES_MAX];
		if (sample.at_us <= at_us)
			break;
	}
	*in_flight = sample.in_flight;
	*state = !upstream.report_warm && at_us < sample.cold_until_us ? "cold" : "warm";
}

static struct standin_record *record_of(const struct run_request *run)
{
	/* Receives what is written to a record that was overwritten or couldn't be allocated. */
	static struct standin_record dropped;
	struct standin_record *record = standin_records_get(&upstream.records, run->seq);

	return record ? record : &dropped;
}

static bool is_interrupted(const struct run_request *run)
{
	return run->cancelled || run->epoch != upstream.epoch ||
	       standin_server_stopping(&upstream.server);
}

/*
 * Returns the monotonic time at which a request with the service time @service_us ends: after that
 * time, or at its earliest deadline.
 */
static int64_t run_end_us(const struct run_request *run, int64_t service_us)
{
	int64_t now_us = pd_os_now_us();
	int64_t end_us = now_us + service_us;
	int64_t remaining_ms = run->deadline_unix_ms - pd_os_unix_ms();

	if (run->deadline_us < end_us)
		end_us = run->deadline_us;
	if (remaining_ms < (end_us - now_us) / PD_USEC_PER_MSEC)
		end_us = now_us + remaining_ms * PD_USEC_PER_MSEC;
	return end_us;
}

/*
 * Waits until @end_us; returns false if the request is cancelled, the upstream crashes or the
 * stand-in is shut down before.
 */
static bool wait_locked(struct run_request *run, int64_t end_us)
{
	while (!is_interrupted(run) && pd_os_now_us() < end_us)
		pd_os_cond_wait_until(&run->cond, &upstream.mutex, end_us);
	return !is_interrupted(run);
}

static bool is_expired(const struct run_request *run)
{
	return pd_os_now_us() >= run->deadline_us || pd_os_unix_ms() >= run->deadline_unix_ms;
}

/* Returns the status of an interrupted request; 0 if the connection closes without a response. */
static unsigned int interrupted_status(struct run_request *run)
{
	if (!run->cancelled || run->epoch != upstream.epoch)
		return 0;
	upstream.counts.cancelled++;
	if (!run->begun)
		run->not_run_reason = "cancelled";
	return MHD_HTTP_GONE;
}

static unsigned int reject_expired_locked(struct run_request *run)
{
	upstream.counts.expired++;
	run->not_run_reason = "deadline";
	return MHD_HTTP_GATEWAY_TIMEOUT;
}

/* Passes the slot on to the oldest request in the queue, or frees it. */
static void release_slot_locked(void)
{
	struct run_request *next = upstream.queue_head;

	if (!next) {
		upstream.slots_used--;
		return;
	}
	upstream.queue_head = next->queue_next;
	if (!upstream.queue_head)
		upstream.queue_tail = NULL;
	upstream.queued--;
	next->has_slot = true;
	pthread_cond_signal(&next->cond);
}

/* Removes a request that doesn't have a slot yet from the queue. */
static void leave_queue_locked(struct run_request *run)
{
	struct run_request **link = &upstream.queue_head;
	struct run_request *previous = NULL;

	while (*link && *link != run) {
		previous = *link;
		link = &previous->queue_next;
	}
	if (!*link)
		return;
	*link = run->queue_next;
	if (upstream.queue_tail == run)
		upstream.queue_tail = previous;
	upstream.queued--;
}

/*
 * Acquires a slot, if necessary after waiting in the queue. Returns 0 with run->has_slot set, or
 * the status of a request that was rejected or interrupted.
 */
static unsigned int acquire_slot_locked(struct run_request *run)
{
	if (upstream.slots_used < upstream.slots) {
		upstream.slots_used++;
		run->has_slot = true;
		return 0;
	}
	if (upstream.queued >= upstream.queue_limit) {
		upstream.counts.shed++;
		run->not_run_reason = "shed";
		return MHD_HTTP_SERVICE_UNAVAILABLE;
	}
	if (upstream.queue_tail)
		upstream.queue_tail->queue_next = run;
	else
		upstream.queue_head = run;
	upstream.queue_tail = run;
	upstream.queued++;
	while (!run->has_slot && !is_interrupted(run))
		pthread_cond_wait(&run->cond, &upstream.mutex);
	if (!is_interrupted(run))
		return 0;
	if (run->epoch == upstream.epoch && !run->has_slot)
		leave_queue_locked(run);
	return interrupted_status(run);
}

/*
 * Tells whether the sender could know of the cold start when it sent the request: from a response
 * or a reset, or from missing responses if the cold start began more than 3 median service times
 * and more than COLD_DETECTION_MIN_US before.
 */
static bool is_cold_phase_known(const struct run_request *run)
{
	int64_t detection_us = (int64_t)(3 * upstream.service_ms * PD_USEC_PER_MSEC);

	if (detection_us < COLD_DETECTION_MIN_US)
		detection_us = COLD_DETECTION_MIN_US;
	return run->request->arrived_us > upstream.cold_known_us ||
	       run->request->arrived_us > upstream.cold_since_us + detection_us;
}

/*
 * Records the overload that @run causes. Each overload is counted at most once in cold_overloads,
 * when the first request arrives whose sender could know of the cold start; if an overload begins
 * with another request, it is also counted in unannounced_overloads.
 */
static void record_overload_locked(const struct run_request *run, int64_t now_us)
{
	bool cold_phase_known = is_cold_phase_known(run);
	bool new_overload = !upstream.overload_since_us;

	if (new_overload) {
		upstream.overload_since_us = now_us;
		upstream.overload_counted = false;
		pthread_cond_signal(&upstream.changed);
	}
	record_of(run)->overload =
		cold_phase_known ? STANDIN_OVERLOAD_COUNTED : STANDIN_OVERLOAD_UNANNOUNCED;
	if (cold_phase_known && !upstream.overload_counted) {
		upstream.overload_counted = true;
		upstream.counts.cold_overloads++;
	} else if (!cold_phase_known && new_overload) {
		upstream.counts.unannounced_overloads++;
	}
}

static void count_cold_run_locked(struct run_request *run, int64_t now_us)
{
	run->cold_epoch = upstream.cold_epoch;
	upstream.cold_in_flight++;
	if ((uint64_t)upstream.cold_in_flight > upstream.counts.max_in_flight_cold)
		upstream.counts.max_in_flight_cold = (uint64_t)upstream.cold_in_flight;
	if (upstream.cold_in_flight > upstream.cold_max_requests)
		record_overload_locked(run, now_us);
}

/* Starts the execution of a request; returns its service time in microseconds. */
static int64_t start_run_locked(struct run_request *run)
{
	struct standin_service_distribution distribution = {.seed = (uint64_t)upstream.seed,
							    .name = pd_str_from(upstream.name),
							    .median_us = upstream.service_ms *
									 PD_USEC_PER_MSEC,
							    .sigma = upstream.sigma,
							    .slow_share = upstream.slow_share,
							    .slow_factor = upstream.slow_factor};
	int64_t drawn_us = standin_draw_service_us(&distribution, pd_buf_str(&run->request->body));
	struct standin_record *record = record_of(run);
	int64_t now_us = pd_os_now_us();
	bool cold = is_cold(now_us);

	run->begun = true;
	upstream.counts.begun++;
	if (++upstream.in_flight > upstream.counts.max_in_flight)
		upstream.counts.max_in_flight = upstream.in_flight;
	if (cold)
		count_cold_run_locked(run, now_us);
	record->begun = true;
	record->cold = cold;
	record->in_flight = (uint32_t)upstream.in_flight;
	record->started_ms = pd_os_unix_ms();
	record->service_us = drawn_us;
	sample_load_locked();
	return (int64_t)((double)drawn_us * upstream.service_time_factor *
			 (cold ? upstream.cold_factor : 1));
}

static void finish_run_locked(const struct run_request *run)
{
	upstream.in_flight--;
	if (run->cold_epoch == upstream.cold_epoch && is_cold(pd_os_now_us()) &&
	    --upstream.cold_in_flight <= upstream.cold_max_requests)
		upstream.overload_since_us = 0;
	sample_load_locked();
}

/* Tells whether the body contains the text that crashes the upstream. */
static bool triggers_crash(const struct run_request *run)
{
	const struct pd_buf *body = &run->request->body;

	return upstream.crash_text[0] && body->len &&
	       memmem(body->data, body->len, upstream.crash_text, strlen(upstream.crash_text));
}

/* Executes a request that has a slot; returns its status, or 0 for no response. */
static unsigned int run_in_slot_locked(struct run_request *run)
{
	int64_t service_us;
	int64_t done_us;

	if (is_expired(run))
		return reject_expired_locked(run);
	service_us = start_run_locked(run);
	if (triggers_crash(run)) {
		crash_locked("request");
		return 0;
	}
	done_us = pd_os_now_us() + service_us;
	if (!wait_locked(run, run_end_us(run, service_us))) {
		if (run->epoch == upstream.epoch)
			finish_run_locked(run);
		return interrupted_status(run);
	}
	finish_run_locked(run);
	if (pd_os_now_us() < done_us) {
		upstream.counts.expired++;
		return MHD_HTTP_GATEWAY_TIMEOUT;
	}
	upstream.counts.finished++;
	record_of(run)->finished = true;
	return MHD_HTTP_OK;
}

/* Handles a request; returns its status, or 0 if the connection closes without a response. */
static unsigned int execute_locked(struct run_request *run)
{
	int64_t connect_us = (int64_t)(upstream.connect_ms * PD_USEC_PER_MSEC);
	unsigned int status;

	if (run->request->first_on_conn && !wait_locked(run, run->request->arrived_us + connect_us))
		return interrupted_status(run);
	if (upstream.drain == DRAIN_REFUSE) {
		run->not_run_reason = "draining";
		return MHD_HTTP_SERVICE_UNAVAILABLE;
	}
	if (is_expired(run))
		return reject_expired_locked(run);
	if (run->snapshot && !has_version_locked(run->snapshot))
		return MHD_HTTP_CONFLICT;
	status = acquire_slot_locked(run);
	if (run->has_slot && !is_interrupted(run))
		status = run_in_slot_locked(run);
	if (run->has_slot && run->epoch == upstream.epoch)
		release_slot_locked();
	return status;
}

static void add_run_locked(struct run_request *run)
{
	struct standin_record *record;

	run->epoch = upstream.epoch;
	run->seq = standin_records_add(&upstream.records, pd_str_from(run->id));
	record = record_of(run);
	record->snapshot = run->snapshot;
	record->arrived_ms = pd_os_unix_ms();
	upstream.counts.requests++;
	if (upstream.drain != DRAIN_OFF) {
		upstream.counts.new_work_after_drain++;
		upstream.counts.last_new_work_after_drain_ms =
			(pd_os_now_us() - upstream.drain_since_us) / PD_USEC_PER_MSEC;
	}
	run->active_next = upstream.active;
	if (run->active_next)
		run->active_next->active_prev = run;
	upstream.active = run;
}

static void remove_run_locked(struct run_request *run, unsigned int status)
{
	struct standin_record *record = record_of(run);

	record->status = status;
	record->ended_ms = pd_os_unix_ms();
	if (status == MHD_HTTP_OK && run->snapshot)
		record->has_range = standin_shard_range(
			run->snapshot, (uint32_t)upstream.buckets, (uint32_t)upstream.shard,
			(uint32_t)upstream.shards, &record->first, &record->last);
	if (run->active_prev)
		run->active_prev->active_next = run->active_next;
	else
		upstream.active = run->active_next;
	if (run->active_next)
		run->active_next->active_prev = run->active_prev;
	pthread_cond_broadcast(&upstream.run_closed);
}

/**
 * struct run_response - headers and body of the response to a /run request
 * @id: value of the Request-Id header
 * @snapshot: value of the Snapshot header, as in the request
 * @covers: bucket range for the Covers header; empty for no header
 * @load: value of the Load header
 * @versions: versions that the upstream holds, for the Snapshots header
 * @body: text or JSON
 * @truncate: send only half of @body, then close the connection
 */
struct run_response {
	char id[STANDIN_REQUEST_ID_MAX_BYTES + 1];
	char snapshot[24];
	char covers[COVERS_MAX_BYTES];
	char load[64];
	struct pd_buf versions;
	struct pd_buf body;
	bool truncate;
};

/* Sets the Request-Id of the response; with `cross on`, sometimes that of the previous request. */
static void choose_reply_id_locked(struct run_response *response, const struct run_request *run)
{
	pd_str_copy(pd_str_from(run->id), response->id, sizeof(response->id));
	if (upstream.swap_ids && ++upstream.replies_since_swap >= SWAPPED_ID_PERIOD &&
	    upstream.previous_id[0] && strcmp(upstream.previous_id, run->id) != 0) {
		upstream.replies_since_swap = 0;
		memcpy(response->id, upstream.previous_id, sizeof(response->id));
	}
	pd_str_copy(pd_str_from(run->id), upstream.previous_id, sizeof(upstream.previous_id));
}

static void append_result(struct run_response *response, const struct run_request *run)
{
	uint32_t first;
	uint32_t last;

	if (run->snapshot == 0) {
		pd_buf_printf(&response->body, "done %s %s\n", upstream.name, run->id);
		return;
	}
	if (!standin_shard_range(run->snapshot, (uint32_t)upstream.buckets,
				 (uint32_t)upstream.shard, (uint32_t)upstream.shards, &first,
				 &last)) {
		pd_buf_append_str(&response->body, PD_STR("[]"));
		return;
	}
	snprintf(response->covers, sizeof(response->covers), "%u-%u", first, last);
	pd_buf_printf(&response->body, "[{\"buckets\":\"%s\",\"snapshot\":%s,\"upstream\":\"%s\"}]",
		      response->covers, response->snapshot, upstream.name);
}

static void fill_response_locked(struct run_response *response, const struct run_request *run,
				 unsigned int status)
{
	uint64_t in_flight;
	const char *state;

	*response = (struct run_response){0};
	snprintf(response->snapshot, sizeof(response->snapshot), "%llu",
		 (unsigned long long)run->snapshot);
	reported_load_locked(&in_flight, &state);
	if (upstream.cold_known_us == INT64_MAX &&
	    run->request->conn->serial > upstream.last_silent_conn &&
	    (!strcmp(state, "cold") || run->cold_epoch == upstream.cold_epoch))
		upstream.cold_known_us = pd_os_now_us();
	snprintf(response->load, sizeof(response->load), "inflight=%llu;slots=%lld;state=%s",
		 (unsigned long long)in_flight, (long long)upstream.slots, state);
	if (status == MHD_HTTP_CONFLICT)
		print_versions_locked(&response->versions);
	if (status != MHD_HTTP_OK) {
		pd_str_copy(pd_str_from(run->id), response->id, sizeof(response->id));
		return;
	}
	choose_reply_id_locked(response, run);
	append_result(response, run);
	response->truncate = upstream.replies_to_truncate > 0;
	upstream.replies_to_truncate -= response->truncate;
}

static enum MHD_Result send_response(struct standin_request *request, struct run_response *response,
				     const struct run_request *run, unsigned int status)
{
	const char *service = standin_request_header(request, "Service");
	struct standin_header headers[] = {
		{"Request-Id", response->id},
		{"Service", service},
		{"Snapshot", response->snapshot},
		{"Load", response->load},
		{"Covers", response->covers[0] ? response->covers : NULL},
		{"Snapshots", status == MHD_HTTP_CONFLICT ? response->versions.data : NULL},
		{"Not-Run", run->not_run_reason},
	};
	struct standin_reply reply = {.status = status,
				      .body = pd_buf_str(&response->body),
				      .headers = headers,
				      .header_count = sizeof(headers) / sizeof(*headers),
				      .truncate = response->truncate};
	enum MHD_Result result = standin_send_reply(request, &reply);

	pd_buf_finish(&response->body);
	pd_buf_finish(&response->versions);
	return result;
}

static bool is_silent_conn(const struct standin_request *request)
{
	bool silent;

	pthread_mutex_lock(&upstream.mutex);
	silent = request->conn->serial <= upstream.last_silent_conn;
	pthread_mutex_unlock(&upstream.mutex);
	return silent;
}

static bool is_valid_id(const char *id)
{
	return id && *id && strlen(id) <= STANDIN_REQUEST_ID_MAX_BYTES && !strpbrk(id, "\"\\");
}

/* Parses an integer header; returns false if malformed. A missing one leaves @value unchanged. */
static bool parse_integer_header(struct standin_request *request, const char *name, int64_t *value)
{
	const char *text = standin_request_header(request, name);

	return !text || standin_parse_integer(text, value);
}

/* Initialises @run from the headers; returns an error text, or NULL if they are valid. */
static const char *parse_run_request(struct run_request *run, struct standin_request *request)
{
	const char *service = standin_request_header(request, "Service");
	int64_t snapshot = -1;
	int64_t deadline_ms = PD_USEC_PER_SEC * 1000;

	*run = (struct run_request){.request = request, .deadline_unix_ms = INT64_MAX};
	run->id = standin_request_header(request, "Request-Id");
	if (!is_valid_id(run->id))
		return "Request-Id is missing or malformed\n";
	if (!service || (*upstream.service && strcmp(service, upstream.service) != 0))
		return "Service is missing or not the service of this upstream\n";
	if (!parse_integer_header(request, "Snapshot", &snapshot) || snapshot < 0)
		return "Snapshot is missing or malformed\n";
	if (!parse_integer_header(request, "Deadline-Ms", &deadline_ms) ||
	    !parse_integer_header(request, "Deadline-At", &run->deadline_unix_ms))
		return "Deadline-Ms or Deadline-At is malformed\n";
	if (request->body.failed)
		return "body is too large\n";
	if (deadline_ms > PD_USEC_PER_SEC * 1000)
		deadline_ms = PD_USEC_PER_SEC * 1000;
	run->snapshot = (uint64_t)snapshot;
	run->deadline_us = request->arrived_us + deadline_ms * PD_USEC_PER_MSEC;
	return NULL;
}

static enum MHD_Result handle_run(struct standin_request *request)
{
	struct run_request run;
	struct run_response response;
	unsigned int status;
	const char *error_text = parse_run_request(&run, request);

	if (error_text)
		return standin_send_text(request, MHD_HTTP_BAD_REQUEST, error_text);
	pd_os_cond_init(&run.cond);
	pthread_mutex_lock(&upstream.mutex);
	add_run_locked(&run);
	status = execute_locked(&run);
	remove_run_locked(&run, status);
	if (status)
		fill_response_locked(&response, &run, status);
	pthread_mutex_unlock(&upstream.mutex);
	pthread_cond_destroy(&run.cond);
	if (!status)
		return MHD_NO;
	if (is_silent_conn(request)) {
		pd_buf_finish(&response.body);
		pd_buf_finish(&response.versions);
		standin_request_wait_closed(request);
		return MHD_NO;
	}
	return send_response(request, &response, &run, status);
}

/* Tells whether a cancelled request with the id @id hasn't ended yet. */
static bool is_cancelled_run_active_locked(const char *id)
{
	for (struct run_request *run = upstream.active; run; run = run->active_next) {
		if (run->cancelled && !strcmp(run->id, id))
			return true;
	}
	return false;
}

static enum MHD_Result handle_cancel(struct standin_request *request)
{
	const char *id = standin_request_header(request, "Request-Id");
	unsigned int cancelled = 0;
	char text[48];

	if (!id)
		return standin_send_text(request, MHD_HTTP_BAD_REQUEST, "Request-Id is missing\n");
	pthread_mutex_lock(&upstream.mutex);
	for (struct run_request *run = upstream.active; run; run = run->active_next) {
		if (strcmp(run->id, id) != 0)
			continue;
		run->cancelled = true;
		cancelled++;
		pthread_cond_signal(&run->cond);
	}
	/* The response states that the request has ended, so wait for that before sending it. */
	while (cancelled > 0 && is_cancelled_run_active_locked(id))
		pthread_cond_wait(&upstream.run_closed, &upstream.mutex);
	pthread_mutex_unlock(&upstream.mutex);
	snprintf(text, sizeof(text), "{\"cancelled\":%u}", cancelled);
	return standin_send_text(request, MHD_HTTP_OK, text);
}

static enum MHD_Result handle_health(struct standin_request *request)
{
	bool draining;

	pthread_mutex_lock(&upstream.mutex);
	draining = upstream.drain != DRAIN_OFF;
	pthread_mutex_unlock(&upstream.mutex);
	if (draining)
		return standin_send_text(request, MHD_HTTP_SERVICE_UNAVAILABLE, "draining\n");
	return standin_send_text(request, MHD_HTTP_OK, "ok\n");
}

static enum MHD_Result handle_load(struct standin_request *request)
{
	struct pd_buf out;
	uint64_t in_flight;
	const char *state;

	pd_buf_init(&out, 0);
	pthread_mutex_lock(&upstream.mutex);
	reported_load_locked(&in_flight, &state);
	pthread_mutex_unlock(&upstream.mutex);
	pd_buf_printf(&out, "{\"inflight\":%llu,\"slots\":%lld,\"state\":\"%s\"}",
		      (unsigned long long)in_flight, (long long)upstream.slots, state);
	return standin_send_json(request, &out);
}

static enum MHD_Result send_records(struct standin_request *request)
{
	struct standin_header dropped = {"Dropped", NULL};
	struct standin_reply reply = {
		.status = MHD_HTTP_OK, .headers = &dropped, .header_count = 1};
	enum MHD_Result result;
	int64_t after = 0;
	int64_t max = STANDIN_RECORDS_MAX;
	struct pd_buf out;
	char count[24];

	if (!standin_request_integer_argument(request, "after", &after) ||
	    !standin_request_integer_argument(request, "max", &max))
		return standin_send_text(request, MHD_HTTP_BAD_REQUEST, "malformed\n");
	pd_buf_init(&out, 0);
	pthread_mutex_lock(&upstream.mutex);
	snprintf(count, sizeof(count), "%llu",
		 (unsigned long long)standin_records_dropped(&upstream.records, (uint64_t)after));
	standin_records_print_page(&upstream.records, (uint64_t)after, (uint64_t)max, &out);
	pthread_mutex_unlock(&upstream.mutex);
	dropped.value = count;
	reply.body = pd_buf_str(&out);
	result = out.failed ? MHD_NO : standin_send_reply(request, &reply);
	pd_buf_finish(&out);
	return result;
}

static void append_count(struct pd_buf *out, const char *name, uint64_t value)
{
	pd_buf_printf(out, "%s\"%s\":%llu", out->len ? "," : "{", name, (unsigned long long)value);
}

static enum MHD_Result send_stats(struct standin_request *request)
{
	struct counts counts;
	struct pd_buf out;
	size_t connections;
	size_t max;

	standin_server_connection_counts(&upstream.server, &connections, &max);
	pthread_mutex_lock(&upstream.mutex);
	counts = upstream.counts;
	pthread_mutex_unlock(&upstream.mutex);
	pd_buf_init(&out, 0);
	append_count(&out, "requests", counts.requests);
	append_count(&out, "begun", counts.begun);
	append_count(&out, "finished", counts.finished);
	append_count(&out, "cancelled", counts.cancelled);
	append_count(&out, "shed", counts.shed);
	append_count(&out, "expired", counts.expired);
	append_count(&out, "cold_overloads", counts.cold_overloads);
	append_count(&out, "unannounced_overloads", counts.unannounced_overloads);
	append_count(&out, "max_in_flight", counts.max_in_flight);
	append_count(&out, "max_in_flight_cold", counts.max_in_flight_cold);
	append_count(&out, "crashes", counts.crashes);
	append_count(&out, "connections", connections);
	append_count(&out, "max_connections", max);
	append_count(&out, "new_work_after_drain", counts.new_work_after_drain);
	append_count(&out, "last_new_work_after_drain_ms",
		     (uint64_t)counts.last_new_work_after_drain_ms);
	pd_buf_append_str(&out, PD_STR("}"));
	return standin_send_json(request, &out);
}

static bool set_drain_locked(const char *word)
{
	enum drain_state state = DRAIN_OFF;

	if (!strcmp(word, "on"))
		state = DRAIN_ON;
	else if (!strcmp(word, "refuse"))
		state = DRAIN_REFUSE;
	else if (strcmp(word, "off") != 0)
		return false;
	if (upstream.drain == DRAIN_OFF)
		upstream.drain_since_us = pd_os_now_us();
	upstream.drain = state;
	return true;
}

static bool set_straggle_locked(const struct standin_command *command)
{
	double share;
	double factor;

	if (!standin_parse_decimal(command->words[1], &share) ||
	    !standin_parse_decimal(command->words[2], &factor) || share > 1)
		return false;
	upstream.slow_share = share;
	upstream.slow_factor = factor;
	return true;
}

static bool apply_version_locked(const struct standin_command *command)
{
	int64_t version;

	if (!standin_parse_integer(command->words[1], &version))
		return false;
	if (standin_command_is(command, "load", 1))
		return load_version_locked((uint64_t)version);
	drop_version_locked((uint64_t)version);
	return true;
}

static bool apply_fault_locked(const struct standin_command *command)
{
	if (standin_command_is(command, "crash", 0)) {
		upstream.crash_at_us = pd_os_now_us() + CRASH_DELAY_US;
		pthread_cond_signal(&upstream.changed);
		return true;
	}
	if (!strcmp(command->words[0], "crash_text"))
		return pd_str_copy(pd_str_from(command->raw_arguments), upstream.crash_text,
				   sizeof(upstream.crash_text));
	if (standin_command_is(command, "slow_factor", 1))
		return standin_parse_decimal(command->words[1], &upstream.service_time_factor);
	if (standin_command_is(command, "straggle", 2))
		return set_straggle_locked(command);
	if (standin_command_is(command, "cross", 1))
		return standin_parse_on_off(command->words[1], &upstream.swap_ids);
	if (standin_command_is(command, "truncate", 1))
		return standin_parse_integer(command->words[1], &upstream.replies_to_truncate);
	if (standin_command_is(command, "lie", 1)) {
		upstream.report_warm = !strcmp(command->words[1], "warm");
		return upstream.report_warm || !strcmp(command->words[1], "off");
	}
	return false;
}

static bool apply_command_locked(const struct standin_command *command)
{
	if (standin_command_is(command, "load", 1) || standin_command_is(command, "drop", 1))
		return apply_version_locked(command);
	if (standin_command_is(command, "drain", 1))
		return set_drain_locked(command->words[1]);
	if (standin_command_is(command, "silent", 1)) {
		upstream.last_silent_conn = standin_server_last_serial(&upstream.server);
		return !strcmp(command->words[1], "on");
	}
	if (standin_command_is(command, "cold", 0)) {
		start_cold_phase_locked(false);
		return true;
	}
	if (standin_command_is(command, "warm", 0)) {
		end_cold_phase_locked();
		return true;
	}
	return apply_fault_locked(command);
}

static bool apply_command(void *arg, const struct standin_command *command)
{
	bool valid;

	(void)arg;
	pthread_mutex_lock(&upstream.mutex);
	valid = apply_command_locked(command);
	pthread_mutex_unlock(&upstream.mutex);
	return valid;
}

/*
 * Delays the first request of a connection by --connect-ms, as a slow handshake does. Only for
 * requests other than /run, which execute_locked() delays.
 */
static void delay_first_request(struct standin_request *request)
{
	if (request->first_on_conn)
		standin_server_sleep(&upstream.server,
				     (int64_t)(upstream.connect_ms * PD_USEC_PER_MSEC));
}

static enum MHD_Result handle_data_request(struct standin_request *request)
{
	bool down;

	pthread_mutex_lock(&upstream.mutex);
	down = upstream.down_until_us != 0;
	pthread_mutex_unlock(&upstream.mutex);
	if (down || !standin_request_admit(request, false))
		return MHD_NO;
	if (is_silent_conn(request)) {
		standin_request_wait_closed(request);
		return MHD_NO;
	}
	if (standin_request_is(request, "POST", "/run"))
		return handle_run(request);
	delay_first_request(request);
	if (standin_request_is(request, "POST", "/cancel"))
		return handle_cancel(request);
	/* With /ready, tests can use upstreams behind the balancer in place of entry instances. */
	if (standin_request_is(request, "GET", "/health") ||
	    standin_request_is(request, "GET", "/ready"))
		return handle_health(request);
	if (standin_request_is(request, "GET", "/load"))
		return handle_load(request);
	return standin_send_text(request, MHD_HTTP_NOT_FOUND, "no such path\n");
}

static enum MHD_Result handle(void *arg, struct standin_request *request)
{
	(void)arg;
	if (standin_request_is(request, "POST", "/control")) {
		standin_request_admit(request, true);
		return standin_handle_control(request, apply_command, NULL);
	}
	if (standin_request_is(request, "GET", "/record")) {
		standin_request_admit(request, true);
		return send_records(request);
	}
	if (standin_request_is(request, "GET", "/stats")) {
		standin_request_admit(request, true);
		return send_stats(request);
	}
	return handle_data_request(request);
}

/* Loads the versions of a list such as "41,42"; returns false if it is malformed or too long. */
static bool load_versions(const char *text)
{
	while (*text) {
		size_t len = strcspn(text, ",");
		uint64_t version;

		if (!pd_str_to_u64((struct pd_str){text, len}, &version) ||
		    !load_version_locked(version))
			return false;
		text += len + (text[len] == ',');
	}
	return true;
}

static const struct standin_option options[] = {
	{"name", STANDIN_OPTION_TEXT, &upstream.name, NULL, "name of the upstream (upstream)"},
	{"service", STANDIN_OPTION_TEXT, &upstream.service, NULL,
	 "service that requests must name (any service)"},
	{"slots", STANDIN_OPTION_INTEGER, &upstream.slots, NULL,
	 "number of requests that run concurrently (3)"},
	{"connections", STANDIN_OPTION_INTEGER, &upstream.connections, NULL,
	 "limit of concurrent connections; 0 means no limit (60)"},
	{"connect-ms", STANDIN_OPTION_DECIMAL, &upstream.connect_ms, NULL,
	 "delay of the first request on a connection, milliseconds (0)"},
	{"service-ms", STANDIN_OPTION_DECIMAL, &upstream.service_ms, NULL,
	 "median service time, milliseconds (5)"},
	{"sigma", STANDIN_OPTION_DECIMAL, &upstream.sigma, NULL,
	 "sigma of the lognormal service time (0)"},
	{"slow-share", STANDIN_OPTION_DECIMAL, &upstream.slow_share, NULL,
	 "share of slow requests, 0 to 1 (0)"},
	{"slow-factor", STANDIN_OPTION_DECIMAL, &upstream.slow_factor, NULL,
	 "factor by which the service time of a slow request is multiplied (1)"},
	{"seed", STANDIN_OPTION_INTEGER, &upstream.seed, NULL, "seed of the service times (0)"},
	{"buckets", STANDIN_OPTION_INTEGER, &upstream.buckets, NULL,
	 "number of buckets in the collection (1000)"},
	{"shard", STANDIN_OPTION_INTEGER, &upstream.shard, NULL,
	 "number of the shard that it holds, from 0 (0)"},
	{"shards", STANDIN_OPTION_INTEGER, &upstream.shards, NULL, "number of shards (1)"},
	{"versions", STANDIN_OPTION_TEXT, &upstream.initial_versions, NULL,
	 "index versions that it holds at the start, separated by commas (1)"},
	{"queue", STANDIN_OPTION_INTEGER, &upstream.queue_limit, NULL,
	 "requests that may wait for a slot (twice the slots)"},
	{"cold-bears", STANDIN_OPTION_INTEGER, &upstream.cold_max_requests, NULL,
	 "number of requests that it can run concurrently in a cold start (1); an overload counts "
	 "in /stats as cold_overloads if the excess request arrived after a connection was reset, "
	 "after a response to a request that started in the cold start or a response that reports "
	 "it, or later than the longer of 100 ms and 3 --service-ms, otherwise as "
	 "unannounced_overloads"},
	{"cold-ms", STANDIN_OPTION_INTEGER, &upstream.cold_ms, NULL,
	 "duration of a cold start, milliseconds (2000)"},
	{"cold-factor", STANDIN_OPTION_DECIMAL, &upstream.cold_factor, NULL,
	 "factor by which service times are multiplied in a cold start (4)"},
	{"start-cold", STANDIN_OPTION_FLAG, &upstream.start_cold, NULL, "start cold"},
	{"fall-over-ms", STANDIN_OPTION_INTEGER, &upstream.overload_crash_ms, NULL,
	 "duration of an overload in a cold start after which it crashes, milliseconds (200)"},
	{"down-ms", STANDIN_OPTION_INTEGER, &upstream.down_ms, NULL,
	 "time for which it is down after a crash, milliseconds (500)"},
	{"crash-exit", STANDIN_OPTION_FLAG, &upstream.crash_exit, NULL, "exit at a crash"},
	{"load-lag-ms", STANDIN_OPTION_INTEGER, &upstream.load_lag_ms, NULL,
	 "time by which the reported load lags behind, milliseconds (0)"},
};

static void check_options(void)
{
	struct pd_error err;
	struct pd_name name;

	if (upstream.queue_limit == QUEUE_LIMIT_UNSET)
		upstream.queue_limit = 2 * upstream.slots;
	if (pd_name_set(&name, pd_str_from(upstream.name)) &&
	    load_versions(upstream.initial_versions) && upstream.shards > 0 &&
	    upstream.shard < upstream.shards && upstream.buckets > 0 &&
	    upstream.shards <= UINT32_MAX && upstream.buckets <= UINT32_MAX &&
	    upstream.slow_share <= 1 && upstream.slots > 0)
		return;
	standin_exit_on_error(
		pd_error_set(&err, PD_LAYER_BASE, PD_INVALID,
			     "--name, --versions, --shard, --shards, --buckets, --slots or "
			     "--slow-share is out of range"),
		&err);
}

/* Wakes the timer thread and all waiting requests, so that they notice the shutdown. */
static void wake_waiters(void)
{
	pthread_mutex_lock(&upstream.mutex);
	for (struct run_request *run = upstream.active; run; run = run->active_next)
		pthread_cond_signal(&run->cond);
	pthread_cond_signal(&upstream.changed);
	pthread_mutex_unlock(&upstream.mutex);
}

int main(int argc, char **argv)
{
	struct pd_error err;
	pthread_t timer;

	standin_options_parse(argc, argv, "Stand-in for one upstream.", &upstream.common, options,
			      sizeof(options) / sizeof(*options));
	check_options();
	pd_os_cond_init(&upstream.changed);
	pd_os_cond_init(&upstream.run_closed);
	if (upstream.start_cold)
		start_cold_phase_locked(true);
	upstream.server = (struct standin_server){.address = upstream.common.listen,
						  .handle = handle,
						  .body_max_bytes = BODY_MAX_BYTES,
						  .connection_limit = (size_t)upstream.connections};
	standin_exit_on_error(standin_server_start(&upstream.server, &err), &err);
	standin_exit_on_error(pd_os_thread_start(&timer, "timer", timer_thread, NULL, &err), &err);
	standin_print_address(&upstream.server.address);
	standin_wait_shutdown(&upstream.common);
	standin_server_set_stopping(&upstream.server);
	wake_waiters();
	pthread_join(timer, NULL);
	standin_server_stop(&upstream.server);
	standin_records_finish(&upstream.records);
	return 0;
}
