/* One upstream: slots, queue, cold starts, snapshots, and the faults of a real one. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "draw.h"
#include "log.h"
#include "record.h"
#include "serve.h"

#define BODY_MAX_BYTES (1024 * 1024)
#define VERSIONS_MAX   256
#define SAMPLES_MAX    4096 /* of the load; bounds the lag that can be shown under many changes */
#define CROSS_PERIOD   20 /* one of so many answers carries another request's id */
#define CRASH_REPLY_US (5 * PD_USEC_PER_MSEC) /* lets the answer to `crash` leave first */
#define CRASH_TEXT_MAX 256
#define COVERS_MAX     32
#define NOTICE_MIN_US  (100 * PD_USEC_PER_MSEC) /* to notice an unannounced cold start */
#define QUEUE_DEFAULT  INT64_MAX /* twice the slots */

/**
 * struct run - one /run request, in the thread of its connection
 * @request: HTTP request
 * @id: Request-Id
 * @snapshot: that it names; 0 skips the check
 * @expires_us: monotonic end of Deadline-Ms; INT64_MAX when absent
 * @expires_ms: Unix ms of Deadline-At; INT64_MAX when absent
 * @seq: number of its record
 * @epoch: upstream.epoch at arrival; another value means that the upstream crashed since
 * @cold_epoch: upstream.cold_epoch at its begin, when the upstream was cold; otherwise 0
 * @cond: signalled when @granted or @cancelled changes, or at a crash
 * @granted: holds a slot
 * @cancelled: by POST /cancel
 * @begun: runs
 * @not_run: value of the Not-Run header; NULL when absent
 */
struct run {
	struct standin_request *request;
	const char *id;
	uint64_t snapshot;
	int64_t expires_us;
	int64_t expires_ms;
	uint64_t seq;
	uint64_t epoch;
	uint64_t cold_epoch;
	pthread_cond_t cond;
	bool granted;
	bool cancelled;
	bool begun;
	const char *not_run;
	struct run *active_prev;
	struct run *active_next;
	struct run *queue_next;
};

/**
 * struct load_sample - the load at one time
 * @at_us: monotonic
 * @cold_until_us: end of the cold start
 * @in_flight: requests that ran
 */
struct load_sample {
	int64_t at_us;
	int64_t cold_until_us;
	uint64_t in_flight;
};

/** struct counts - what GET /stats prints. */
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

enum drain_state {
	DRAIN_OFF,
	DRAIN_ON,
	DRAIN_REFUSE,
};

/**
 * struct upstream - the stand-in's state; @mutex guards all from @changed on
 * @changed: wakes the timer thread
 * @run_closed: broadcast when a request leaves @active
 * @epoch: number of crashes
 * @cold_epoch: number of cold starts
 * @cold_running: requests that run and began in this cold start
 * @overload_us: since when more than --cold-bears of these run; 0 when not
 * @overload_counted: the present overload counts in cold_overloads
 * @cold_since_us: when the cold start began
 * @cold_known_us: since when a client can know of it: the end of a reply that began in it or
 * reports it, or the reset of connections; INT64_MAX before
 * @down_until_us: end of the time after a crash; 0 while up
 * @crash_at_us: when a crash by control is due; 0 when none is
 * @slots_used: granted slots
 * @in_flight: requests that run
 */
static struct upstream {
	struct standin_common_options common;
	const char *name;
	const char *service;
	const char *load_versions;
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
	int64_t queue;
	int64_t cold_bears;
	int64_t cold_ms;
	double cold_factor;
	int64_t fall_over_ms;
	int64_t down_ms;
	int64_t load_lag_ms;
	bool start_cold;
	bool crash_exit;
	struct standin_server server;
	pthread_mutex_t mutex;

	pthread_cond_t changed;
	pthread_cond_t run_closed;
	struct run *active;
	struct run *queue_head;
	struct run *queue_tail;
	int64_t queued;
	int64_t slots_used;
	uint64_t in_flight;
	uint64_t epoch;
	uint64_t cold_epoch;
	int64_t cold_until_us;
	int64_t cold_running;
	int64_t overload_us;
	bool overload_counted;
	int64_t cold_since_us;
	int64_t cold_known_us;
	int64_t down_until_us;
	int64_t crash_at_us;
	uint64_t versions[VERSIONS_MAX];
	size_t version_count;
	struct load_sample samples[SAMPLES_MAX];
	uint64_t sample_count;
	struct standin_records records;
	struct counts counts;
	enum drain_state drain;
	int64_t drain_us;
	uint64_t silent_serial;
	double permanent_factor;
	bool lie_warm;
	bool cross;
	uint64_t cross_count;
	char previous_id[STANDIN_REQUEST_ID_MAX_BYTES + 1];
	int64_t truncate;
	char crash_text[CRASH_TEXT_MAX];
} upstream = {
	.name = "upstream",
	.service = "",
	.load_versions = "1",
	.slots = 3,
	.connections = 60,
	.service_ms = 5,
	.slow_factor = 1,
	.buckets = 1000,
	.shards = 1,
	.queue = QUEUE_DEFAULT,
	.cold_bears = 1,
	.cold_ms = 2000,
	.cold_factor = 4,
	.fall_over_ms = 200,
	.down_ms = 500,
	.mutex = PTHREAD_MUTEX_INITIALIZER,
	.permanent_factor = 1,
};

/* Functions that say "locked" are called with upstream.mutex held. */

static bool is_cold(int64_t now_us)
{
	return now_us < upstream.cold_until_us;
}

static void sample_load_locked(void)
{
	upstream.samples[upstream.sample_count++ % SAMPLES_MAX] =
		(struct load_sample){.at_us = pd_os_now_us(),
				     .cold_until_us = upstream.cold_until_us,
				     .in_flight = upstream.in_flight};
}

/* @known: clients notice it at once, since connections were reset or there were none. */
static void turn_cold_locked(bool known)
{
	upstream.cold_epoch++;
	upstream.cold_until_us = pd_os_now_us() + upstream.cold_ms * PD_USEC_PER_MSEC;
	upstream.cold_running = 0;
	upstream.overload_us = 0;
	upstream.cold_since_us = pd_os_now_us();
	upstream.cold_known_us = known ? upstream.cold_since_us : INT64_MAX;
	sample_load_locked();
}

static void turn_warm_locked(void)
{
	upstream.cold_until_us = 0;
	upstream.cold_running = 0;
	upstream.overload_us = 0;
	sample_load_locked();
}

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
	upstream.cold_running = 0;
	upstream.overload_us = 0;
	upstream.down_until_us = pd_os_now_us() + upstream.down_ms * PD_USEC_PER_MSEC;
	standin_server_pause(&upstream.server);
	for (struct run *run = upstream.active; run; run = run->active_next)
		pthread_cond_signal(&run->cond);
	pthread_cond_signal(&upstream.changed);
}

static void come_back_locked(void)
{
	upstream.down_until_us = 0;
	turn_cold_locked(true);
	standin_server_resume(&upstream.server);
}

static int64_t overload_end_us(void)
{
	return upstream.overload_us + upstream.fall_over_ms * PD_USEC_PER_MSEC;
}

/* Does what is due; returns when to look again. */
static int64_t run_timers_locked(int64_t now_us)
{
	int64_t next_us = INT64_MAX / 2;

	if (upstream.down_until_us) {
		if (now_us < upstream.down_until_us)
			return upstream.down_until_us;
		come_back_locked();
	}
	if (upstream.crash_at_us) {
		if (now_us < upstream.crash_at_us)
			return upstream.crash_at_us;
		crash_locked("control");
		return upstream.down_until_us;
	}
	if (upstream.overload_us && is_cold(now_us)) {
		if (now_us < overload_end_us())
			return overload_end_us();
		crash_locked("cold_overload");
		return upstream.down_until_us;
	}
	return next_us;
}

static void *timer_main(void *arg)
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

static bool holds_locked(uint64_t version)
{
	for (size_t i = 0; i < upstream.version_count; i++) {
		if (upstream.versions[i] == version)
			return true;
	}
	return false;
}

static bool load_locked(uint64_t version)
{
	size_t i = upstream.version_count;

	if (holds_locked(version))
		return true;
	if (version == 0 || i == VERSIONS_MAX)
		return false;
	for (; i > 0 && upstream.versions[i - 1] > version; i--)
		upstream.versions[i] = upstream.versions[i - 1];
	upstream.versions[i] = version;
	upstream.version_count++;
	return true;
}

static void drop_locked(uint64_t version)
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

/* The load as reported, which may be old or wrong. */
static void reported_load_locked(uint64_t *in_flight, const char **state)
{
	int64_t at_us = pd_os_now_us() - upstream.load_lag_ms * PD_USEC_PER_MSEC;
	struct load_sample sample = {0};

	for (uint64_t n = upstream.sample_count; n > 0; n--) {
		if (n + SAMPLES_MAX == upstream.sample_count)
			break;
		sample = upstream.samples[(n - 1) % SAMPLES_MAX];
		if (sample.at_us <= at_us)
			break;
	}
	*in_flight = sample.in_flight;
	*state = !upstream.lie_warm && at_us < sample.cold_until_us ? "cold" : "warm";
}

static struct standin_record *record_of(const struct run *run)
{
	static struct standin_record dropped; /* takes what is written to a dropped record */
	struct standin_record *record = standin_records_get(&upstream.records, run->seq);

	return record ? record : &dropped;
}

static bool is_interrupted(const struct run *run)
{
	return run->cancelled || run->epoch != upstream.epoch ||
	       standin_server_stopping(&upstream.server);
}

/*
 * Time until which a request that takes @service_us runs at most: the earlier of its end and its
 * deadline.
 */
static int64_t run_end_us(const struct run *run, int64_t service_us)
{
	int64_t now_us = pd_os_now_us();
	int64_t end_us = now_us + service_us;
	int64_t left_ms = run->expires_ms - pd_os_unix_ms();

	if (run->expires_us < end_us)
		end_us = run->expires_us;
	if (left_ms < (end_us - now_us) / PD_USEC_PER_MSEC)
		end_us = now_us + left_ms * PD_USEC_PER_MSEC;
	return end_us;
}

/* Waits until @end_us; false when the request was cancelled or the upstream crashed. */
static bool sleep_locked(struct run *run, int64_t end_us)
{
	while (!is_interrupted(run) && pd_os_now_us() < end_us)
		pd_os_cond_wait_until(&run->cond, &upstream.mutex, end_us);
	return !is_interrupted(run);
}

static bool is_expired(const struct run *run)
{
	return pd_os_now_us() >= run->expires_us || pd_os_unix_ms() >= run->expires_ms;
}

/* Status of a request that was interrupted; 0 closes the connection. */
static unsigned int interrupted_status(struct run *run)
{
	if (!run->cancelled || run->epoch != upstream.epoch)
		return 0;
	upstream.counts.cancelled++;
	if (!run->begun)
		run->not_run = "cancelled";
	return MHD_HTTP_GONE;
}

static unsigned int expire_locked(struct run *run)
{
	upstream.counts.expired++;
	run->not_run = "deadline";
	return MHD_HTTP_GATEWAY_TIMEOUT;
}

static void release_slot_locked(void)
{
	struct run *next = upstream.queue_head;

	if (!next) {
		upstream.slots_used--;
		return;
	}
	upstream.queue_head = next->queue_next;
	if (!upstream.queue_head)
		upstream.queue_tail = NULL;
	upstream.queued--;
	next->granted = true;
	pthread_cond_signal(&next->cond);
}

static void leave_queue_locked(struct run *run)
{
	struct run **link = &upstream.queue_head;
	struct run *before = NULL;

	while (*link && *link != run) {
		before = *link;
		link = &before->queue_next;
	}
	if (!*link)
		return;
	*link = run->queue_next;
	if (upstream.queue_tail == run)
		upstream.queue_tail = before;
	upstream.queued--;
}

/* Takes a slot, waiting in the queue; 0 with @run->granted, or a status. */
static unsigned int take_slot_locked(struct run *run)
{
	if (upstream.slots_used < upstream.slots) {
		upstream.slots_used++;
		run->granted = true;
		return 0;
	}
	if (upstream.queued >= upstream.queue) {
		upstream.counts.shed++;
		run->not_run = "shed";
		return MHD_HTTP_SERVICE_UNAVAILABLE;
	}
	if (upstream.queue_tail)
		upstream.queue_tail->queue_next = run;
	else
		upstream.queue_head = run;
	upstream.queue_tail = run;
	upstream.queued++;
	while (!run->granted && !is_interrupted(run))
		pthread_cond_wait(&run->cond, &upstream.mutex);
	if (!is_interrupted(run))
		return 0;
	if (run->epoch == upstream.epoch && !run->granted)
		leave_queue_locked(run);
	return interrupted_status(run);
}

/*
 * Nobody can know of a cold start before a reply or a reset shows it. A missing reply shows it as
 * well, after 3 usual service times or NOTICE_MIN_US.
 */
static bool is_announced(const struct run *run)
{
	int64_t notice_us = (int64_t)(3 * upstream.service_ms * PD_USEC_PER_MSEC);

	if (notice_us < NOTICE_MIN_US)
		notice_us = NOTICE_MIN_US;
	return run->request->arrived_us > upstream.cold_known_us ||
	       run->request->arrived_us > upstream.cold_since_us + notice_us;
}

/* Counts an overload once, and as unannounced only while no announced request is part of it. */
static void count_overload_locked(const struct run *run, int64_t now_us)
{
	bool announced = is_announced(run);
	bool begins = !upstream.overload_us;

	if (begins) {
		upstream.overload_us = now_us;
		upstream.overload_counted = false;
		pthread_cond_signal(&upstream.changed);
	}
	record_of(run)->overload =
		announced ? STANDIN_OVERLOAD_COUNTED : STANDIN_OVERLOAD_UNANNOUNCED;
	if (announced && !upstream.overload_counted) {
		upstream.overload_counted = true;
		upstream.counts.cold_overloads++;
	} else if (!announced && begins) {
		upstream.counts.unannounced_overloads++;
	}
}

static void begin_cold_locked(struct run *run, int64_t now_us)
{
	run->cold_epoch = upstream.cold_epoch;
	upstream.cold_running++;
	if ((uint64_t)upstream.cold_running > upstream.counts.max_in_flight_cold)
		upstream.counts.max_in_flight_cold = (uint64_t)upstream.cold_running;
	if (upstream.cold_running > upstream.cold_bears)
		count_overload_locked(run, now_us);
}

/* Counts the begin; returns how long to run, in microseconds. */
static int64_t begin_locked(struct run *run)
{
	struct standin_service_distribution draw = {.seed = (uint64_t)upstream.seed,
						    .name = pd_str_from(upstream.name),
						    .median_us =
							    upstream.service_ms * PD_USEC_PER_MSEC,
						    .sigma = upstream.sigma,
						    .slow_share = upstream.slow_share,
						    .slow_factor = upstream.slow_factor};
	int64_t drawn_us = standin_draw_service_us(&draw, pd_buf_str(&run->request->body));
	struct standin_record *record = record_of(run);
	int64_t now_us = pd_os_now_us();
	bool cold = is_cold(now_us);

	run->begun = true;
	upstream.counts.begun++;
	if (++upstream.in_flight > upstream.counts.max_in_flight)
		upstream.counts.max_in_flight = upstream.in_flight;
	if (cold)
		begin_cold_locked(run, now_us);
	record->begun = true;
	record->cold = cold;
	record->in_flight = (uint32_t)upstream.in_flight;
	record->started_ms = pd_os_unix_ms();
	record->service_us = drawn_us;
	sample_load_locked();
	return (int64_t)((double)drawn_us * upstream.permanent_factor *
			 (cold ? upstream.cold_factor : 1));
}

static void end_locked(const struct run *run)
{
	upstream.in_flight--;
	if (run->cold_epoch == upstream.cold_epoch && is_cold(pd_os_now_us()) &&
	    --upstream.cold_running <= upstream.cold_bears)
		upstream.overload_us = 0;
	sample_load_locked();
}

static bool crashes(const struct run *run)
{
	const struct pd_buf *body = &run->request->body;

	return upstream.crash_text[0] && body->len &&
	       memmem(body->data, body->len, upstream.crash_text, strlen(upstream.crash_text));
}

static unsigned int run_in_slot_locked(struct run *run)
{
	int64_t service_us;
	int64_t done_us;

	if (is_expired(run))
		return expire_locked(run);
	service_us = begin_locked(run);
	if (crashes(run)) {
		crash_locked("request");
		return 0;
	}
	done_us = pd_os_now_us() + service_us;
	if (!sleep_locked(run, run_end_us(run, service_us))) {
		if (run->epoch == upstream.epoch)
			end_locked(run);
		return interrupted_status(run);
	}
	end_locked(run);
	if (pd_os_now_us() < done_us) {
		upstream.counts.expired++;
		return MHD_HTTP_GATEWAY_TIMEOUT;
	}
	upstream.counts.finished++;
	record_of(run)->finished = true;
	return MHD_HTTP_OK;
}

/* Runs the request; the status, or 0 when the connection closes without an answer. */
static unsigned int execute_locked(struct run *run)
{
	int64_t connect_us = (int64_t)(upstream.connect_ms * PD_USEC_PER_MSEC);
	unsigned int status;

	if (run->request->first_on_conn &&
	    !sleep_locked(run, run->request->arrived_us + connect_us))
		return interrupted_status(run);
	if (upstream.drain == DRAIN_REFUSE) {
		run->not_run = "draining";
		return MHD_HTTP_SERVICE_UNAVAILABLE;
	}
	if (is_expired(run))
		return expire_locked(run);
	if (run->snapshot && !holds_locked(run->snapshot))
		return MHD_HTTP_CONFLICT;
	status = take_slot_locked(run);
	if (run->granted && !is_interrupted(run))
		status = run_in_slot_locked(run);
	if (run->granted && run->epoch == upstream.epoch)
		release_slot_locked();
	return status;
}

static void open_run_locked(struct run *run)
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
			(pd_os_now_us() - upstream.drain_us) / PD_USEC_PER_MSEC;
	}
	run->active_next = upstream.active;
	if (run->active_next)
		run->active_next->active_prev = run;
	upstream.active = run;
}

static void close_run_locked(struct run *run, unsigned int status)
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
 * struct answer - the parts of an answer to /run
 * @id: echoed Request-Id
 * @snapshot: echoed
 * @covers: bucket range; empty when there is none
 * @load: Load header
 * @versions: versions held
 * @body: text or JSON
 * @truncate: half of @body is sent
 */
struct answer {
	char id[STANDIN_REQUEST_ID_MAX_BYTES + 1];
	char snapshot[24];
	char covers[COVERS_MAX];
	char load[64];
	struct pd_buf versions;
	struct pd_buf body;
	bool truncate;
};

/* Chooses the id to echo: now and then, that of the previous request. */
static void choose_id_locked(struct answer *answer, const struct run *run)
{
	pd_str_copy(pd_str_from(run->id), answer->id, sizeof(answer->id));
	if (upstream.cross && ++upstream.cross_count >= CROSS_PERIOD && upstream.previous_id[0] &&
	    strcmp(upstream.previous_id, run->id) != 0) {
		upstream.cross_count = 0;
		memcpy(answer->id, upstream.previous_id, sizeof(answer->id));
	}
	pd_str_copy(pd_str_from(run->id), upstream.previous_id, sizeof(upstream.previous_id));
}

static void print_hits(struct answer *answer, const struct run *run)
{
	uint32_t first;
	uint32_t last;

	if (run->snapshot == 0) {
		pd_buf_printf(&answer->body, "done %s %s\n", upstream.name, run->id);
		return;
	}
	if (!standin_shard_range(run->snapshot, (uint32_t)upstream.buckets,
				 (uint32_t)upstream.shard, (uint32_t)upstream.shards, &first,
				 &last)) {
		pd_buf_append_str(&answer->body, PD_STR("[]"));
		return;
	}
	snprintf(answer->covers, sizeof(answer->covers), "%u-%u", first, last);
	pd_buf_printf(&answer->body, "[{\"buckets\":\"%s\",\"snapshot\":%s,\"upstream\":\"%s\"}]",
		      answer->covers, answer->snapshot, upstream.name);
}

static void fill_answer_locked(struct answer *answer, const struct run *run, unsigned int status)
{
	uint64_t in_flight;
	const char *state;

	*answer = (struct answer){0};
	snprintf(answer->snapshot, sizeof(answer->snapshot), "%llu",
		 (unsigned long long)run->snapshot);
	reported_load_locked(&in_flight, &state);
	if (upstream.cold_known_us == INT64_MAX &&
	    run->request->conn->serial > upstream.silent_serial &&
	    (!strcmp(state, "cold") || run->cold_epoch == upstream.cold_epoch))
		upstream.cold_known_us = pd_os_now_us();
	snprintf(answer->load, sizeof(answer->load), "inflight=%llu;slots=%lld;state=%s",
		 (unsigned long long)in_flight, (long long)upstream.slots, state);
	if (status == MHD_HTTP_CONFLICT)
		print_versions_locked(&answer->versions);
	if (status != MHD_HTTP_OK) {
		pd_str_copy(pd_str_from(run->id), answer->id, sizeof(answer->id));
		return;
	}
	choose_id_locked(answer, run);
	print_hits(answer, run);
	answer->truncate = upstream.truncate > 0;
	upstream.truncate -= answer->truncate;
}

static enum MHD_Result send_answer(struct standin_request *request, struct answer *answer,
				   const struct run *run, unsigned int status)
{
	const char *service = standin_request_header(request, "Service");
	struct standin_header headers[] = {
		{"Request-Id", answer->id},
		{"Service", service},
		{"Snapshot", answer->snapshot},
		{"Load", answer->load},
		{"Covers", answer->covers[0] ? answer->covers : NULL},
		{"Snapshots", status == MHD_HTTP_CONFLICT ? answer->versions.data : NULL},
		{"Not-Run", run->not_run},
	};
	struct standin_reply reply = {.status = status,
				      .body = pd_buf_str(&answer->body),
				      .headers = headers,
				      .header_count = sizeof(headers) / sizeof(*headers),
				      .truncate = answer->truncate};
	enum MHD_Result result = standin_send_reply(request, &reply);

	pd_buf_finish(&answer->body);
	pd_buf_finish(&answer->versions);
	return result;
}

static bool is_silent(const struct standin_request *request)
{
	bool silent;

	pthread_mutex_lock(&upstream.mutex);
	silent = request->conn->serial <= upstream.silent_serial;
	pthread_mutex_unlock(&upstream.mutex);
	return silent;
}

static bool id_valid(const char *id)
{
	return id && *id && strlen(id) <= STANDIN_REQUEST_ID_MAX_BYTES && !strpbrk(id, "\"\\");
}

/* Reads a header with a number; keeps @value when it is absent. */
static bool read_number(struct standin_request *request, const char *name, int64_t *value)
{
	const char *text = standin_request_header(request, name);

	return !text || standin_parse_integer(text, value);
}

/* Fills @run from the headers; returns what is wrong with them, or NULL. */
static const char *parse_run(struct run *run, struct standin_request *request)
{
	const char *service = standin_request_header(request, "Service");
	int64_t snapshot = -1;
	int64_t deadline_ms = PD_USEC_PER_SEC * 1000;

	*run = (struct run){.request = request, .expires_ms = INT64_MAX};
	run->id = standin_request_header(request, "Request-Id");
	if (!id_valid(run->id))
		return "Request-Id is missing or malformed\n";
	if (!service || (*upstream.service && strcmp(service, upstream.service) != 0))
		return "Service is missing or another one\n";
	if (!read_number(request, "Snapshot", &snapshot) || snapshot < 0)
		return "Snapshot is missing or malformed\n";
	if (!read_number(request, "Deadline-Ms", &deadline_ms) ||
	    !read_number(request, "Deadline-At", &run->expires_ms))
		return "Deadline-Ms or Deadline-At is malformed\n";
	if (request->body.failed)
		return "body is too large\n";
	if (deadline_ms > PD_USEC_PER_SEC * 1000)
		deadline_ms = PD_USEC_PER_SEC * 1000;
	run->snapshot = (uint64_t)snapshot;
	run->expires_us = request->arrived_us + deadline_ms * PD_USEC_PER_MSEC;
	return NULL;
}

static enum MHD_Result handle_run(struct standin_request *request)
{
	struct run run;
	struct answer answer;
	unsigned int status;
	const char *fault = parse_run(&run, request);

	if (fault)
		return standin_send_text(request, MHD_HTTP_BAD_REQUEST, fault);
	pd_os_cond_init(&run.cond);
	pthread_mutex_lock(&upstream.mutex);
	open_run_locked(&run);
	status = execute_locked(&run);
	close_run_locked(&run, status);
	if (status)
		fill_answer_locked(&answer, &run, status);
	pthread_mutex_unlock(&upstream.mutex);
	pthread_cond_destroy(&run.cond);
	if (!status)
		return MHD_NO;
	if (is_silent(request)) {
		pd_buf_finish(&answer.body);
		pd_buf_finish(&answer.versions);
		standin_request_wait_closed(request);
		return MHD_NO;
	}
	return send_answer(request, &answer, &run, status);
}

static bool is_active_locked(const char *id)
{
	for (struct run *run = upstream.active; run; run = run->active_next) {
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
	for (struct run *run = upstream.active; run; run = run->active_next) {
		if (strcmp(run->id, id) != 0)
			continue;
		run->cancelled = true;
		cancelled++;
		pthread_cond_signal(&run->cond);
	}
	/* The reply says that the request has ended, so it doesn't leave before that. */
	while (cancelled > 0 && is_active_locked(id))
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

static enum MHD_Result print_record(struct standin_request *request)
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

static void print_count(struct pd_buf *out, const char *name, uint64_t value)
{
	pd_buf_printf(out, "%s\"%s\":%llu", out->len ? "," : "{", name, (unsigned long long)value);
}

static enum MHD_Result print_stats(struct standin_request *request)
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
	print_count(&out, "requests", counts.requests);
	print_count(&out, "begun", counts.begun);
	print_count(&out, "finished", counts.finished);
	print_count(&out, "cancelled", counts.cancelled);
	print_count(&out, "shed", counts.shed);
	print_count(&out, "expired", counts.expired);
	print_count(&out, "cold_overloads", counts.cold_overloads);
	print_count(&out, "unannounced_overloads", counts.unannounced_overloads);
	print_count(&out, "max_in_flight", counts.max_in_flight);
	print_count(&out, "max_in_flight_cold", counts.max_in_flight_cold);
	print_count(&out, "crashes", counts.crashes);
	print_count(&out, "connections", connections);
	print_count(&out, "max_connections", max);
	print_count(&out, "new_work_after_drain", counts.new_work_after_drain);
	print_count(&out, "last_new_work_after_drain_ms",
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
		upstream.drain_us = pd_os_now_us();
	upstream.drain = state;
	return true;
}

static bool set_straggle_locked(const struct standin_command *line)
{
	double share;
	double factor;

	if (!standin_parse_decimal(line->words[1], &share) ||
	    !standin_parse_decimal(line->words[2], &factor) || share > 1)
		return false;
	upstream.slow_share = share;
	upstream.slow_factor = factor;
	return true;
}

static bool apply_version_locked(const struct standin_command *line)
{
	int64_t version;

	if (!standin_parse_integer(line->words[1], &version))
		return false;
	if (standin_command_is(line, "load", 1))
		return load_locked((uint64_t)version);
	drop_locked((uint64_t)version);
	return true;
}

static bool apply_fault_locked(const struct standin_command *line)
{
	if (standin_command_is(line, "crash", 0)) {
		upstream.crash_at_us = pd_os_now_us() + CRASH_REPLY_US;
		pthread_cond_signal(&upstream.changed);
		return true;
	}
	if (!strcmp(line->words[0], "crash_text"))
		return pd_str_copy(pd_str_from(line->raw_arguments), upstream.crash_text,
				   sizeof(upstream.crash_text));
	if (standin_command_is(line, "slow_factor", 1))
		return standin_parse_decimal(line->words[1], &upstream.permanent_factor);
	if (standin_command_is(line, "straggle", 2))
		return set_straggle_locked(line);
	if (standin_command_is(line, "cross", 1))
		return standin_parse_on_off(line->words[1], &upstream.cross);
	if (standin_command_is(line, "truncate", 1))
		return standin_parse_integer(line->words[1], &upstream.truncate);
	if (standin_command_is(line, "lie", 1)) {
		upstream.lie_warm = !strcmp(line->words[1], "warm");
		return upstream.lie_warm || !strcmp(line->words[1], "off");
	}
	return false;
}

static bool apply_locked(const struct standin_command *line)
{
	if (standin_command_is(line, "load", 1) || standin_command_is(line, "drop", 1))
		return apply_version_locked(line);
	if (standin_command_is(line, "drain", 1))
		return set_drain_locked(line->words[1]);
	if (standin_command_is(line, "silent", 1)) {
		upstream.silent_serial = standin_server_last_serial(&upstream.server);
		return !strcmp(line->words[1], "on");
	}
	if (standin_command_is(line, "cold", 0)) {
		turn_cold_locked(false);
		return true;
	}
	if (standin_command_is(line, "warm", 0)) {
		turn_warm_locked();
		return true;
	}
	return apply_fault_locked(line);
}

static bool apply_line(void *arg, const struct standin_command *line)
{
	bool good;

	(void)arg;
	pthread_mutex_lock(&upstream.mutex);
	good = apply_locked(line);
	pthread_mutex_unlock(&upstream.mutex);
	return good;
}

/* Waits as a slow handshake would, for requests other than /run. */
static void delay_first(struct standin_request *request)
{
	if (request->first_on_conn)
		standin_server_sleep(&upstream.server,
				     (int64_t)(upstream.connect_ms * PD_USEC_PER_MSEC));
}

static enum MHD_Result handle_work(struct standin_request *request)
{
	bool down;

	pthread_mutex_lock(&upstream.mutex);
	down = upstream.down_until_us != 0;
	pthread_mutex_unlock(&upstream.mutex);
	if (down || !standin_request_admit(request, false))
		return MHD_NO;
	if (is_silent(request)) {
		standin_request_wait_closed(request);
		return MHD_NO;
	}
	if (standin_request_is(request, "POST", "/run"))
		return handle_run(request);
	delay_first(request);
	if (standin_request_is(request, "POST", "/cancel"))
		return handle_cancel(request);
	/* /ready lets a test put upstreams behind the balancer in place of entry instances. */
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
		return standin_handle_control(request, apply_line, NULL);
	}
	if (standin_request_is(request, "GET", "/record")) {
		standin_request_admit(request, true);
		return print_record(request);
	}
	if (standin_request_is(request, "GET", "/stats")) {
		standin_request_admit(request, true);
		return print_stats(request);
	}
	return handle_work(request);
}

/* Loads the versions of a list such as "41,42". */
static bool load_list(const char *text)
{
	while (*text) {
		size_t len = strcspn(text, ",");
		uint64_t version;

		if (!pd_str_to_u64((struct pd_str){text, len}, &version) || !load_locked(version))
			return false;
		text += len + (text[len] == ',');
	}
	return true;
}

static const struct standin_option options[] = {
	{"name", STANDIN_OPTION_TEXT, &upstream.name, NULL, "name of the upstream (upstream)"},
	{"service", STANDIN_OPTION_TEXT, &upstream.service, NULL,
	 "service that requests must name; any when not given"},
	{"slots", STANDIN_OPTION_INTEGER, &upstream.slots, NULL, "requests it runs at once (3)"},
	{"connections", STANDIN_OPTION_INTEGER, &upstream.connections, NULL,
	 "most connections; 0 means no limit (60)"},
	{"connect-ms", STANDIN_OPTION_DECIMAL, &upstream.connect_ms, NULL,
	 "delay of the first request on a connection, milliseconds (0)"},
	{"service-ms", STANDIN_OPTION_DECIMAL, &upstream.service_ms, NULL,
	 "median service time, milliseconds (5)"},
	{"sigma", STANDIN_OPTION_DECIMAL, &upstream.sigma, NULL,
	 "sigma of the lognormal service time (0)"},
	{"slow-share", STANDIN_OPTION_DECIMAL, &upstream.slow_share, NULL,
	 "share of slow requests, 0 to 1 (0)"},
	{"slow-factor", STANDIN_OPTION_DECIMAL, &upstream.slow_factor, NULL,
	 "how many times longer a slow request takes (1)"},
	{"seed", STANDIN_OPTION_INTEGER, &upstream.seed, NULL, "seed of the service times (0)"},
	{"buckets", STANDIN_OPTION_INTEGER, &upstream.buckets, NULL,
	 "buckets of the collection (1000)"},
	{"shard", STANDIN_OPTION_INTEGER, &upstream.shard, NULL, "shard that it holds, from 0 (0)"},
	{"shards", STANDIN_OPTION_INTEGER, &upstream.shards, NULL, "number of shards (1)"},
	{"versions", STANDIN_OPTION_TEXT, &upstream.load_versions, NULL,
	 "index versions that it holds at the start (1)"},
	{"queue", STANDIN_OPTION_INTEGER, &upstream.queue, NULL,
	 "requests that may wait for a slot (twice the slots)"},
	{"cold-bears", STANDIN_OPTION_INTEGER, &upstream.cold_bears, NULL,
	 "requests that it bears at once in a cold start (1); more of them count in /stats as "
	 "cold_overloads if the excess request arrived after a connection was reset, after a reply "
	 "that began in the cold start or reports it, or later than the longer of 100 ms and 3 "
	 "--service-ms, else as unannounced_overloads"},
	{"cold-ms", STANDIN_OPTION_INTEGER, &upstream.cold_ms, NULL,
	 "duration of a cold start, milliseconds (2000)"},
	{"cold-factor", STANDIN_OPTION_DECIMAL, &upstream.cold_factor, NULL,
	 "how many times longer a request takes in a cold start (4)"},
	{"start-cold", STANDIN_OPTION_FLAG, &upstream.start_cold, NULL, "start cold"},
	{"fall-over-ms", STANDIN_OPTION_INTEGER, &upstream.fall_over_ms, NULL,
	 "overload in a cold start that makes it crash, milliseconds (200)"},
	{"down-ms", STANDIN_OPTION_INTEGER, &upstream.down_ms, NULL,
	 "time without service after a crash, milliseconds (500)"},
	{"crash-exit", STANDIN_OPTION_FLAG, &upstream.crash_exit, NULL, "end at a crash"},
	{"load-lag-ms", STANDIN_OPTION_INTEGER, &upstream.load_lag_ms, NULL,
	 "lag of the reported load, milliseconds (0)"},
};

static void check_options(void)
{
	struct pd_error err;
	struct pd_name name;

	if (upstream.queue == QUEUE_DEFAULT)
		upstream.queue = 2 * upstream.slots;
	if (pd_name_set(&name, pd_str_from(upstream.name)) && load_list(upstream.load_versions) &&
	    upstream.shards > 0 && upstream.shard < upstream.shards && upstream.buckets > 0 &&
	    upstream.shards <= UINT32_MAX && upstream.buckets <= UINT32_MAX &&
	    upstream.slow_share <= 1 && upstream.slots > 0)
		return;
	standin_exit_on_error(
		pd_error_set(&err, PD_LAYER_BASE, PD_INVALID,
			     "--name, --versions, --shard, --shards, --buckets, --slots or "
			     "--slow-share is out of range"),
		&err);
}

static void wake_all(void)
{
	pthread_mutex_lock(&upstream.mutex);
	for (struct run *run = upstream.active; run; run = run->active_next)
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
		turn_cold_locked(true);
	upstream.server = (struct standin_server){.address = upstream.common.listen,
						  .handle = handle,
						  .body_max_bytes = BODY_MAX_BYTES,
						  .connection_limit = (size_t)upstream.connections};
	standin_exit_on_error(standin_server_start(&upstream.server, &err), &err);
	standin_exit_on_error(pd_os_thread_start(&timer, "timer", timer_main, NULL, &err), &err);
	standin_print_address(&upstream.server.address);
	standin_wait_shutdown(&upstream.common);
	standin_server_set_stopping(&upstream.server);
	wake_all();
	pthread_join(timer, NULL);
	standin_server_stop(&upstream.server);
	standin_records_finish(&upstream.records);
	return 0;
}
