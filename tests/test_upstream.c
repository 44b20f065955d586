/*
 * Tests the queues and connections of upstreams with a real HTTP server, against these failures:
 * - the queue has a wrong order, or a request that may have run is reported as not run;
 * - a cancellation closes the connection although the upstream confirms it;
 * - a reply to another request is accepted;
 * - a failure is reported before the suspects of a crash are recorded;
 * - a request is sent after the ownership or the lease of a paused owner ended;
 * - a grant or a shutdown misses a request that doesn't count as in flight yet;
 * - the slot of an abandoned request is reused before the request has certainly ended.
 * The test decides when the server replies, so that no test depends on the speed of the machine.
 */
#include <check.h>
#include <microhttpd.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "counters.h"
#include "log.h"
#include "upstream_private.h"

#define UNREACHED_DEADLINE_US (30 * PD_USEC_PER_SEC) /* deadline that no request reaches */
#define EVENT_TIMEOUT_US      (20 * PD_USEC_PER_SEC) /* a test fails if an event takes longer */
#define CALLS_MAX	      600
#define OBSERVATION_US	      (20 * PD_USEC_PER_MSEC) /* time in which a wrong event would occur */
#define CRASHING_FINGERPRINT  77 /* of a request that crashes upstreams */

enum action {
	ACTION_HOLD = 0, /* reply only after the test sets another action */
	ACTION_OK,
	ACTION_OTHER_ID,
	ACTION_OTHER_SERVICE,
	ACTION_OTHER_SNAPSHOT,
	ACTION_NO_COVERS,
	ACTION_CLOSE, /* close the connection without a reply */
	ACTION_OTHER_SNAPSHOTS_HELD, /* 409 with the snapshots that the upstream holds */
	ACTION_SHED,
	ACTION_DRAINING,
	ACTION_DEADLINE,
	ACTION_CANCELLED,
	ACTION_CANCELLED_LATE, /* 410 without the header Not-Run, as the request had begun */
	ACTION_503, /* this and the following without Not-Run */
	ACTION_504,
	ACTION_500,
};

/**
 * struct call - one sub-request, as seen by the submitter and by the server
 * @action: what the server does with it
 * @in_transit: the server has received it, but doesn't handle it yet
 * @arrived: the server handles it
 * @order: number of requests that had arrived, this one included
 * @cancel_received: the server received a cancellation for it
 * @run_ended: the server doesn't run it any more
 * @done: the reply function was called
 * @reply: the reply, if @done
 * @body: copy of the reply's body
 * @announcements_before_reply: number of announcements made before the reply
 * @deadline_ms: header Deadline-Ms
 * @deadline_at_ms: header Deadline-At
 * @connection: number of the connection that it arrived on
 */
struct call {
	enum action action;
	bool in_transit;
	bool arrived;
	uint32_t order;
	bool cancel_received;
	bool run_ended;
	bool done;
	struct pd_msg_subreply reply;
	char body[32];
	size_t announcements_before_reply;
	long deadline_ms;
	int64_t deadline_at_ms;
	uintptr_t connection;
};

/* State of one test, shared with the threads of its server; @mutex guards what both use. */
static struct {
	pthread_mutex_t mutex;
	pthread_cond_t changed;
	struct call calls[CALLS_MAX];
	enum action default_action; /* of calls whose own action is ACTION_HOLD */
	uint32_t arrivals;
	uint32_t running;
	uint32_t max_running;
	uint32_t connections;
	uint32_t open_connections;
	uint32_t max_open_connections;
	bool accepts_cancel; /* cancellations stop their requests */
	bool cancel_fails; /* cancellations get no reply */
	bool submit_as_hedges;
	bool delay_runs; /* requests stay in transit, where cancellations don't find them */
	bool hold_announcements;
	bool announcement_started;
	uint32_t submit_from_reply; /* call that the next reply function submits, 0 for none */
	unsigned int health; /* HTTP status of replies to health polls */
	struct pd_msg_suspect announcements[16];
	size_t announcement_count;
	struct MHD_Daemon *daemon;
	struct pd_config_holder config;
	struct pd_members *members;
	struct pd_suspects *suspects;
	struct pd_upstreams *upstreams;
} t;

static void queue_reply(struct MHD_Connection *connection, unsigned int status, const char *body,
			const char *const headers[][2])
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
		strlen(body), (void *)(uintptr_t)body, MHD_RESPMEM_MUST_COPY);

	for (size_t i = 0; headers && headers[i][0]; i++)
		MHD_add_response_header(response, headers[i][0], headers[i][1]);
	MHD_queue_response(connection, status, response);
	MHD_destroy_response(response);
}

static const char *header(struct MHD_Connection *connection, const char *name)
{
	const char *value = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name);

	return value ? value : "";
}

static void reply_ok(struct MHD_Connection *connection, enum action action)
{
	const char *const headers[][2] = {
		{"Request-Id",
		 action == ACTION_OTHER_ID ? "another" : header(connection, "Request-Id")},
		{"Service",
		 action == ACTION_OTHER_SERVICE ? "other" : header(connection, "Service")},
		{"Snapshot",
		 action == ACTION_OTHER_SNAPSHOT ? "40" : header(connection, "Snapshot")},
		{"Load", "inflight=1;slots=3;state=warm"},
		{action == ACTION_NO_COVERS ? NULL : "Covers", "0-49"},
		{NULL, NULL},
	};

	queue_reply(connection, 200, "[\"hit\"]", headers);
}

static void reply_error(struct MHD_Connection *connection, unsigned int status, const char *name,
			const char *value)
{
	const char *const headers[][2] = {{name, value}, {NULL, NULL}};

	queue_reply(connection, status, "", headers);
}

static enum MHD_Result perform_action(struct MHD_Connection *connection, enum action action)
{
	switch (action) {
	case ACTION_CLOSE:
		return MHD_NO;
	case ACTION_OTHER_SNAPSHOTS_HELD:
		reply_error(connection, 409, "Snapshots", "40, 41");
		break;
	case ACTION_SHED:
		reply_error(connection, 503, "Not-Run", "shed");
		break;
	case ACTION_DRAINING:
		reply_error(connection, 503, "Not-Run", "draining");
		break;
	case ACTION_DEADLINE:
		reply_error(connection, 504, "Not-Run", "deadline");
		break;
	case ACTION_CANCELLED:
		reply_error(connection, 410, "Not-Run", "cancelled");
		break;
	case ACTION_CANCELLED_LATE:
		reply_error(connection, 410, NULL, NULL);
		break;
	case ACTION_503:
	case ACTION_504:
	case ACTION_500:
		reply_error(connection,
			    action == ACTION_503   ? 503
			    : action == ACTION_504 ? 504
						   : 500,
			    NULL, NULL);
		break;
	default:
		reply_ok(connection, action);
		break;
	}
	return MHD_YES;
}

static enum MHD_Result serve_run(struct MHD_Connection *connection)
{
	struct call *call = &t.calls[strtoul(header(connection, "Request-Id") + 1, NULL, 10)];
	enum action action;

	pthread_mutex_lock(&t.mutex);
	call->in_transit = true;
	pthread_cond_broadcast(&t.changed);
	while (t.delay_runs)
		pthread_cond_wait(&t.changed, &t.mutex);
	call->arrived = true;
	call->order = ++t.arrivals;
	call->connection =
		(uintptr_t)MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
			->socket_context;
	call->deadline_ms = strtol(header(connection, "Deadline-Ms"), NULL, 10);
	call->deadline_at_ms = strtoll(header(connection, "Deadline-At"), NULL, 10);
	if (++t.running > t.max_running)
		t.max_running = t.running;
	pthread_cond_broadcast(&t.changed);
	while ((action = call->action ? call->action : t.default_action) == ACTION_HOLD)
		pthread_cond_wait(&t.changed, &t.mutex);
	t.running--;
	call->run_ended = true;
	pthread_cond_broadcast(&t.changed);
	pthread_mutex_unlock(&t.mutex);
	return perform_action(connection, action);
}

static enum MHD_Result serve_cancel(struct MHD_Connection *connection)
{
	struct call *call = &t.calls[strtoul(header(connection, "Request-Id") + 1, NULL, 10)];
	bool cancel_succeeds;
	bool reply_fails;

	pthread_mutex_lock(&t.mutex);
	call->cancel_received = true;
	cancel_succeeds = t.accepts_cancel && call->arrived;
	if (cancel_succeeds)
		call->action = ACTION_CANCELLED;
	reply_fails = t.cancel_fails;
	pthread_cond_broadcast(&t.changed);
	/* Like a real upstream, confirm the cancellation only after the request has ended. */
	while (cancel_succeeds && !call->run_ended)
		pthread_cond_wait(&t.changed, &t.mutex);
	pthread_mutex_unlock(&t.mutex);
	if (reply_fails)
		return MHD_NO;
	queue_reply(connection, 200, cancel_succeeds ? "{\"cancelled\":1}" : "{\"cancelled\":0}",
		    NULL);
	return MHD_YES;
}

static enum MHD_Result serve(void *arg, struct MHD_Connection *connection, const char *url,
			     const char *method, const char *version, const char *data,
			     size_t *size, void **state)
{
	static int headers_received;

	(void)arg;
	(void)method;
	(void)version;
	(void)data;
	if (!*state) {
		*state = &headers_received;
		return MHD_YES;
	}
	if (*size > 0) {
		*size = 0;
		return MHD_YES;
	}
	if (!strcmp(url, "/run"))
		return serve_run(connection);
	if (!strcmp(url, "/cancel"))
		return serve_cancel(connection);
	pthread_mutex_lock(&t.mutex);
	unsigned int health = t.health;
	pthread_mutex_unlock(&t.mutex);
	queue_reply(connection, health, "", NULL);
	return MHD_YES;
}

static void count_connection(void *arg, struct MHD_Connection *connection, void **context,
			     enum MHD_ConnectionNotificationCode code)
{
	(void)arg;
	(void)connection;
	pthread_mutex_lock(&t.mutex);
	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		*context = (void *)(uintptr_t)++t.connections;
		if (++t.open_connections > t.max_open_connections)
			t.max_open_connections = t.open_connections;
	} else {
		t.open_connections--;
	}
	pthread_mutex_unlock(&t.mutex);
}

static void announce(void *arg, const struct pd_msg_suspect *msg)
{
	(void)arg;
	pthread_mutex_lock(&t.mutex);
	t.announcement_started = true;
	pthread_cond_broadcast(&t.changed);
	while (t.hold_announcements)
		pthread_cond_wait(&t.changed, &t.mutex);
	t.announcements[t.announcement_count++] = *msg;
	pthread_mutex_unlock(&t.mutex);
}

/* Configures service s with upstreams u0, u1, ..., all at the address of the test server. */
static void set_config(uint64_t version, const char *extra_commands, uint32_t upstreams,
		       uint32_t connections)
{
	unsigned int port = MHD_get_daemon_info(t.daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
	struct pd_buf text = {0};
	struct pd_config *config;

	pd_buf_printf(&text, "create zone z\ncreate collection c buckets 100\n"
			     "create service s in c\n");
	for (uint32_t i = 0; i < upstreams; i++)
		pd_buf_printf(&text,
			      "create upstream u%u service s zone z address 127.0.0.1:%u slots 3 "
			      "connections %u connect 0ms\n",
			      i, port, connections);
	pd_buf_append_str(&text, pd_str_from(extra_commands));
	ck_assert_int_eq(pd_config_from_text(pd_buf_str(&text), version, &config, NULL), PD_OK);
	ck_assert(pd_config_holder_advance(&t.config, config));
	pd_buf_finish(&text);
}

static void setup(void)
{
	struct pd_member_record self = {.incarnation = 1};
	struct pd_upstreams_setup upstreams_setup = {.config = &t.config, .announce = announce};

	pd_http_global_init();
	pthread_mutex_init(&t.mutex, NULL);
	pd_os_cond_init(&t.changed);
	t.health = 200;
	t.accepts_cancel = true;
	t.daemon = MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION |
					    MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_ITC,
				    0, NULL, NULL, serve, NULL, MHD_OPTION_NOTIFY_CONNECTION,
				    count_connection, NULL, MHD_OPTION_END);
	ck_assert(t.daemon != NULL);
	ck_assert_int_eq(pd_config_holder_init(&t.config, NULL), PD_OK);
	set_config(1, "", 2, 9);
	pd_name_set(&self.name, PD_STR("self"));
	pd_name_set(&self.zone, PD_STR("z"));
	ck_assert_int_eq(pd_members_open(&t.members, &self, pd_os_now_us(), NULL), PD_OK);
	pd_members_confirm(t.members);
	ck_assert_int_eq(pd_suspects_open(&t.suspects, NULL), PD_OK);
	upstreams_setup.zone = self.zone;
	upstreams_setup.members = t.members;
	upstreams_setup.suspects = t.suspects;
	ck_assert_int_eq(pd_upstreams_open(&t.upstreams, &upstreams_setup, NULL), PD_OK);
	/* On a busy machine, the reply to a cancellation may take longer than the real timeout. */
	t.upstreams->cancel_timeout_us = EVENT_TIMEOUT_US;
}

static void set_default_action(enum action action)
{
	pthread_mutex_lock(&t.mutex);
	t.default_action = action;
	pthread_cond_broadcast(&t.changed);
	pthread_mutex_unlock(&t.mutex);
}

static void teardown(void)
{
	set_default_action(ACTION_OK);
	pd_upstreams_close(t.upstreams);
	if (t.daemon)
		MHD_stop_daemon(t.daemon);
	pd_suspects_close(t.suspects);
	pd_members_close(t.members);
	pd_config_holder_finish(&t.config);
}

static void submit(uint32_t n);

static void on_reply(void *arg, const struct pd_msg_subreply *reply)
{
	struct call *call = arg;
	uint32_t next_call;

	pthread_mutex_lock(&t.mutex);
	ck_assert(!call->done);
	call->done = true;
	call->reply = *reply;
	pd_str_copy(reply->body, call->body, sizeof(call->body));
	call->announcements_before_reply = t.announcement_count;
	next_call = t.submit_from_reply;
	t.submit_from_reply = 0;
	pthread_cond_broadcast(&t.changed);
	pthread_mutex_unlock(&t.mutex);
	if (!next_call)
		return;
	submit(next_call);
	pd_os_sleep_us(OBSERVATION_US);
}

static void submit_request(uint32_t n, const char *upstream, enum pd_urgency urgency,
			   int64_t deadline_us, bool idempotent, uint64_t fingerprint)
{
	char id[16];
	struct pd_msg_subrequest request = {
		.call = n,
		.service = PD_STR("s"),
		.upstream = pd_str_from(upstream),
		.snapshot = 42,
		.urgency = urgency,
		.idempotent = idempotent,
		.deadline_us = deadline_us,
		.fingerprint = fingerprint ? fingerprint : 1000 + n,
		.body = PD_STR("query c \"frame\""),
	};

	snprintf(id, sizeof(id), "r%u", n);
	request.request_id = pd_str_from(id);
	request.hedge = t.submit_as_hedges;
	pd_upstreams_submit(t.upstreams, &request, 5, on_reply, &t.calls[n]);
}

static void submit(uint32_t n)
{
	submit_request(n, "u0", PD_URGENT, UNREACHED_DEADLINE_US, true, 0);
}

static void wait_for(const bool *flag)
{
	int64_t until = pd_os_now_us() + EVENT_TIMEOUT_US;

	pthread_mutex_lock(&t.mutex);
	while (!*flag && pd_os_cond_wait_until(&t.changed, &t.mutex, until))
		;
	ck_assert(*flag);
	pthread_mutex_unlock(&t.mutex);
}

static enum pd_substatus wait_for_status(uint32_t n)
{
	wait_for(&t.calls[n].done);
	return t.calls[n].reply.status;
}

static bool read_flag(const bool *flag)
{
	bool value;

	pthread_mutex_lock(&t.mutex);
	value = *flag;
	pthread_mutex_unlock(&t.mutex);
	return value;
}

static void set_action(uint32_t n, enum action action)
{
	pthread_mutex_lock(&t.mutex);
	t.calls[n].action = action;
	pthread_cond_broadcast(&t.changed);
	pthread_mutex_unlock(&t.mutex);
}

static enum pd_substatus run_request_with(uint32_t n, enum action action)
{
	set_action(n, action);
	submit(n);
	return wait_for_status(n);
}

/* Puts the limiter of u0 into the warm state with a median latency of @median_us. */
static void set_warm(int64_t median_us)
{
	struct pd_upstream *up;

	ck_assert_int_eq(run_request_with(CALLS_MAX - 1, ACTION_OK), PD_SUB_OK);
	up = t.upstreams->table[pd_str_hash(PD_STR("u0"), 0) % PD_UPSTREAM_HASH_BUCKETS];
	pthread_mutex_lock(&up->mutex);
	pd_latency_init(&up->limiter.baseline);
	for (int i = 0; i < PD_LATENCY_SAMPLES; i++)
		pd_latency_add(&up->limiter.baseline, median_us);
	up->limiter.cold = false;
	up->limiter.slow_streak = 0;
	up->limiter.limit = 3;
	pthread_mutex_unlock(&up->mutex);
}

/* Puts the limiter of u0 into a cold start with a latency of @cold_us; its warm median is 1 ms. */
static void set_cold(int64_t cold_us)
{
	struct pd_upstream *up;

	set_warm(PD_USEC_PER_MSEC);
	up = t.upstreams->table[pd_str_hash(PD_STR("u0"), 0) % PD_UPSTREAM_HASH_BUCKETS];
	pthread_mutex_lock(&up->mutex);
	up->limiter.cold = true;
	up->limiter.limit = 1;
	up->limiter.cold_latency_us = cold_us;
	pthread_mutex_unlock(&up->mutex);
}

START_TEST(reply_is_returned_to_the_submitter)
{
	submit_request(1, "u0", PD_URGENT, PD_USEC_PER_SEC * 5, true, 0);
	set_action(1, ACTION_OK);
	ck_assert_int_eq(wait_for_status(1), PD_SUB_OK);
	ck_assert_uint_eq(t.calls[1].reply.snapshot, 42);
	ck_assert_uint_eq(t.calls[1].reply.call, 1);
	ck_assert_str_eq(t.calls[1].body, "[\"hit\"]");
	ck_assert_int_gt(t.calls[1].deadline_ms, 0);
	ck_assert_int_le(t.calls[1].deadline_ms, 5000);
}
END_TEST

START_TEST(cold_upstream_runs_one_request_at_a_time_by_urgency_and_deadline)
{
	submit(1);
	wait_for(&t.calls[1].arrived);
	submit_request(2, "u0", PD_NORMAL, UNREACHED_DEADLINE_US, true, 0);
	submit_request(3, "u0", PD_NORMAL, UNREACHED_DEADLINE_US / 2, true, 0);
	submit_request(4, "u0", PD_URGENT, UNREACHED_DEADLINE_US, true, 0);
	set_default_action(ACTION_OK);
	for (uint32_t n = 1; n <= 4; n++)
		ck_assert_int_eq(wait_for_status(n), PD_SUB_OK);
	ck_assert_uint_eq(t.calls[4].order, 2);
	ck_assert_uint_eq(t.calls[3].order, 3);
	ck_assert_uint_eq(t.calls[2].order, 4);
	ck_assert_uint_eq(t.max_running, 1);
}
END_TEST

START_TEST(connections_stay_within_the_configured_number)
{
	set_config(2, "", 2, 3);
	set_warm(PD_USEC_PER_SEC);
	for (uint32_t n = 1; n <= 4; n++)
		submit(n);
	wait_for(&t.calls[1].arrived);
	wait_for(&t.calls[2].arrived);
	set_default_action(ACTION_OK);
	for (uint32_t n = 1; n <= 4; n++)
		ck_assert_int_eq(wait_for_status(n), PD_SUB_OK);
	ck_assert_uint_eq(t.max_running, 2);
	ck_assert_uint_le(t.max_open_connections, 3);
}
END_TEST

START_TEST(refusal_status_gives_the_reason)
{
	struct pd_member_record other_member = {.incarnation = 1};

	submit_request(1, "nowhere", PD_URGENT, UNREACHED_DEADLINE_US, true, 0);
	ck_assert_int_eq(wait_for_status(1), PD_SUB_NO_UPSTREAM);
	set_config(2, "set zone z out\n", 2, 9);
	submit(2);
	ck_assert_int_eq(wait_for_status(2), PD_SUB_ZONE_OUT);
	set_config(3, "set upstream u0 out\n", 2, 9);
	submit(3);
	ck_assert_int_eq(wait_for_status(3), PD_SUB_LEAVING);
	set_config(4, "", 2, 9);
	pd_upstreams_set_leaving(t.upstreams, PD_STR("u0"), true);
	submit(4);
	ck_assert_int_eq(wait_for_status(4), PD_SUB_LEAVING);
	pd_upstreams_set_leaving(t.upstreams, PD_STR("u0"), false);
	ck_assert_int_eq(run_request_with(5, ACTION_OK), PD_SUB_OK);
	pd_name_set(&other_member.name, PD_STR("other"));
	pd_name_set(&other_member.zone, PD_STR("z"));
	pd_members_merge(t.members, &other_member, pd_os_now_us());
	submit(6);
	ck_assert_int_eq(wait_for_status(6), PD_SUB_NOT_OWNER);
	for (uint32_t n = 1; n <= 6; n++)
		ck_assert(t.calls[n].arrived == (n == 5));
}
END_TEST

START_TEST(request_that_cannot_finish_in_time_is_not_sent)
{
	set_warm(PD_USEC_PER_SEC);
	submit(1);
	wait_for(&t.calls[1].arrived);
	submit_request(2, "u0", PD_URGENT, PD_USEC_PER_SEC / 2, true, 0);
	ck_assert_int_eq(wait_for_status(2), PD_SUB_DEADLINE);
	ck_assert(!t.calls[2].arrived);
}
END_TEST

/* A request that a cold upstream can't finish in time would waste its low capacity. */
START_TEST(cold_upstream_gets_only_requests_that_can_finish)
{
	set_cold(PD_USEC_PER_SEC);
	submit(1);
	wait_for(&t.calls[1].arrived);
	submit_request(2, "u0", PD_URGENT, PD_USEC_PER_SEC / 2, true, 0);
	ck_assert_int_eq(wait_for_status(2), PD_SUB_DEADLINE);
	ck_assert(!t.calls[2].arrived);
}
END_TEST

/* Requests to a cold upstream must not time out after a multiple of its warm latency. */
START_TEST(reply_timeout_is_longer_for_a_cold_upstream)
{
	set_cold(PD_USEC_PER_SEC);
	submit_request(1, "u0", PD_URGENT, 2 * PD_USEC_PER_SEC, true, 0);
	wait_for(&t.calls[1].arrived);
	pd_os_sleep_us(2 * PD_UPSTREAM_MIN_REPLY_TIMEOUT_US);
	ck_assert(!read_flag(&t.calls[1].done));
	set_action(1, ACTION_OK);
	ck_assert_int_eq(wait_for_status(1), PD_SUB_OK);
}
END_TEST

/* A hedge must not be queued ahead of first attempts for the only slot of a cold upstream. */
START_TEST(cold_upstream_queues_no_hedge)
{
	set_cold(PD_USEC_PER_MSEC);
	submit(1);
	wait_for(&t.calls[1].arrived);
	t.submit_as_hedges = true;
	submit(2);
	ck_assert(read_flag(&t.calls[2].done));
	ck_assert_int_eq(wait_for_status(2), PD_SUB_BUSY);
	set_default_action(ACTION_OK);
	ck_assert_int_eq(wait_for_status(1), PD_SUB_OK);
	submit(3);
	ck_assert_int_eq(wait_for_status(3), PD_SUB_OK);
}
END_TEST

START_TEST(long_queue_refuses_normal_requests_only)
{
	set_warm(PD_USEC_PER_SEC);
	for (uint32_t n = 1; n <= 12; n++)
		submit(n);
	submit_request(20, "u0", PD_NORMAL, 2 * PD_USEC_PER_SEC, true, 0);
	ck_assert_int_eq(wait_for_status(20), PD_SUB_OVERLOADED);
	ck_assert_int_gt(t.calls[20].reply.queue_us, PD_USEC_PER_SEC);
	submit_request(21, "u0", PD_URGENT, UNREACHED_DEADLINE_US / 2, true, 0);
	set_default_action(ACTION_OK);
	ck_assert_int_eq(wait_for_status(21), PD_SUB_OK);
	ck_assert(!t.calls[20].arrived);
}
END_TEST

START_TEST(urgent_request_displaces_the_last_normal_one_from_a_full_queue)
{
	submit(1);
	wait_for(&t.calls[1].arrived);
	for (uint32_t n = 2; n < 2 + PD_UPSTREAM_QUEUE_MAX; n++)
		submit_request(n, "u0", PD_NORMAL,
			       UNREACHED_DEADLINE_US + (n == 50) * PD_USEC_PER_SEC, true, 0);
	submit_request(400, "u0", PD_NORMAL, UNREACHED_DEADLINE_US, true, 0);
	ck_assert_int_eq(wait_for_status(400), PD_SUB_OVERLOADED);
	submit(401);
	ck_assert_int_eq(wait_for_status(50), PD_SUB_OVERLOADED);
	set_default_action(ACTION_OK);
	ck_assert_int_eq(wait_for_status(401), PD_SUB_OK);
	ck_assert_int_eq(wait_for_status(49), PD_SUB_OK);
	ck_assert(!t.calls[50].arrived);
}
END_TEST

START_TEST(cancellation_in_the_queue_is_immediate)
{
	submit(1);
	wait_for(&t.calls[1].arrived);
	submit(2);
	pd_upstreams_cancel(t.upstreams, 6, 2); /* another connection: no effect */
	ck_assert(!read_flag(&t.calls[2].done));
	pd_upstreams_cancel(t.upstreams, 5, 2);
	ck_assert(read_flag(&t.calls[2].done));
	ck_assert_int_eq(wait_for_status(2), PD_SUB_CANCELLED);
	set_default_action(ACTION_OK);
	ck_assert_int_eq(wait_for_status(1), PD_SUB_OK);
	ck_assert(!t.calls[2].arrived);
}
END_TEST

START_TEST(cancellation_in_flight_keeps_the_connection)
{
	submit(1);
	wait_for(&t.calls[1].arrived);
	pd_upstreams_cancel(t.upstreams, 5, 1);
	ck_assert_int_eq(wait_for_status(1), PD_SUB_CANCELLED);
	ck_assert(t.calls[1].cancel_received);
	ck_assert_int_eq(run_request_with(2, ACTION_OK), PD_SUB_OK);
	ck_assert_uint_eq(t.calls[1].connection, t.calls[2].connection);
}
END_TEST

START_TEST(unanswered_cancellation_closes_the_connection)
{
	t.accepts_cancel = false;
	t.upstreams->cancel_timeout_us = PD_UPSTREAM_CANCEL_TIMEOUT_US;
	submit(1);
	wait_for(&t.calls[1].arrived);
	pd_upstreams_cancel(t.upstreams, 5, 1);
	ck_assert_int_eq(wait_for_status(1), PD_SUB_LOST);
	wait_for(&t.calls[1].cancel_received);
	set_action(1, ACTION_OK);
	ck_assert_int_eq(run_request_with(2, ACTION_OK), PD_SUB_OK);
}
END_TEST

START_TEST(closed_peer_connection_cancels_idempotent_requests_only)
{
	submit(1);
	wait_for(&t.calls[1].arrived);
	submit(2);
	submit_request(3, "u0", PD_URGENT, UNREACHED_DEADLINE_US, false, 0);
	pd_upstreams_cancel_origin(t.upstreams, 5);
	ck_assert_int_eq(wait_for_status(2), PD_SUB_CANCELLED);
	ck_assert_int_eq(wait_for_status(1), PD_SUB_CANCELLED);
	wait_for(&t.calls[3].arrived);
	set_default_action(ACTION_OK);
	ck_assert_int_eq(wait_for_status(3), PD_SUB_OK);
}
END_TEST

/* A second worker thread would open another connection, which takes 6 ms for some services. */
START_TEST(request_submitted_by_a_reply_function_reuses_the_connection)
{
	t.submit_from_reply = 2;
	set_action(2, ACTION_OK);
	ck_assert_int_eq(run_request_with(1, ACTION_OK), PD_SUB_OK);
	ck_assert_int_eq(wait_for_status(2), PD_SUB_OK);
	ck_assert_uint_eq(t.calls[1].connection, t.calls[2].connection);
}
END_TEST

static const enum action mismatches[] = {ACTION_OTHER_ID, ACTION_OTHER_SERVICE,
					 ACTION_OTHER_SNAPSHOT, ACTION_NO_COVERS};

START_TEST(reply_to_another_request_is_rejected)
{
	ck_assert_int_eq(run_request_with(1, ACTION_OK), PD_SUB_OK);
	ck_assert_int_eq(run_request_with(2, mismatches[_i]), PD_SUB_MISMATCH);
	ck_assert_int_eq(run_request_with(3, ACTION_OK), PD_SUB_OK);
	ck_assert_uint_eq(t.calls[1].connection, t.calls[2].connection);
	ck_assert_uint_ne(t.calls[2].connection, t.calls[3].connection);
	ck_assert_uint_eq(pd_count_get(PD_COUNT_replies_mismatched), 1);
}
END_TEST

static const struct {
	enum action action;
	enum pd_substatus status;
} errors[] = {
	{ACTION_OTHER_SNAPSHOTS_HELD, PD_SUB_SNAPSHOT},
	{ACTION_SHED, PD_SUB_OVERLOADED},
	{ACTION_DRAINING, PD_SUB_LEAVING},
	{ACTION_DEADLINE, PD_SUB_DEADLINE},
	{ACTION_CANCELLED, PD_SUB_CANCELLED},
	{ACTION_CANCELLED_LATE, PD_SUB_FAILED},
	{ACTION_503, PD_SUB_FAILED},
	{ACTION_504, PD_SUB_FAILED},
	{ACTION_500, PD_SUB_FAILED},
};

/* An error reply without the header `Not-Run` must not be reported as not run. */
START_TEST(error_replies_are_mapped_to_statuses)
{
	ck_assert_int_eq(run_request_with(1, errors[_i].action), errors[_i].status);
	ck_assert(pd_substatus_not_run(errors[_i].status) == (errors[_i].status != PD_SUB_FAILED));
	if (errors[_i].action != ACTION_OTHER_SNAPSHOTS_HELD)
		return;
	ck_assert_uint_eq(t.calls[1].reply.held_count, 2);
	ck_assert_uint_eq(t.calls[1].reply.held[1], 41);
}
END_TEST

static bool was_announced(uint64_t fingerprint, uint32_t crashes, size_t before)
{
	for (size_t i = 0; i < before; i++) {
		if (t.announcements[i].fingerprint == fingerprint &&
		    t.announcements[i].crashes == crashes)
			return true;
	}
	return false;
}

START_TEST(broken_connection_records_suspects_before_it_replies)
{
	set_warm(PD_USEC_PER_SEC);
	submit_request(1, "u0", PD_URGENT, UNREACHED_DEADLINE_US, true, CRASHING_FINGERPRINT);
	submit(2);
	wait_for(&t.calls[1].arrived);
	wait_for(&t.calls[2].arrived);
	set_action(1, ACTION_CLOSE);
	for (uint32_t n = 1; n <= 2; n++) {
		ck_assert_int_eq(wait_for_status(n), PD_SUB_LOST);
		ck_assert(was_announced(CRASHING_FINGERPRINT, 1,
					t.calls[n].announcements_before_reply));
		ck_assert(was_announced(1002, 1, t.calls[n].announcements_before_reply));
	}
	/* Both may only run at the other upstream; the one that succeeds there is cleared. */
	submit_request(3, "u0", PD_URGENT, UNREACHED_DEADLINE_US, true, CRASHING_FINGERPRINT);
	ck_assert_int_eq(wait_for_status(3), PD_SUB_SUSPECT);
	set_action(4, ACTION_OK);
	submit_request(4, "u1", PD_URGENT, UNREACHED_DEADLINE_US, true, 1002);
	ck_assert_int_eq(wait_for_status(4), PD_SUB_OK);
	ck_assert(was_announced(1002, 0, t.calls[4].announcements_before_reply));
	submit_request(5, "u1", PD_URGENT, UNREACHED_DEADLINE_US, true, CRASHING_FINGERPRINT);
	set_action(5, ACTION_CLOSE);
	ck_assert_int_eq(wait_for_status(5), PD_SUB_LOST);
	ck_assert(was_announced(CRASHING_FINGERPRINT, 2, t.calls[5].announcements_before_reply));
	submit_request(6, "u1", PD_URGENT, UNREACHED_DEADLINE_US, true, CRASHING_FINGERPRINT);
	ck_assert_int_eq(wait_for_status(6), PD_SUB_SUSPECT);
	ck_assert(!t.calls[3].arrived && !t.calls[6].arrived);
}
END_TEST

START_TEST(suspect_runs_in_isolation)
{
	struct pd_name other_upstream = {0};

	pd_name_set(&other_upstream, PD_STR("u1"));
	set_warm(PD_USEC_PER_SEC);
	pd_suspects_record_crash(t.suspects, CRASHING_FINGERPRINT, &other_upstream, false,
				 pd_os_now_us());
	submit(1);
	wait_for(&t.calls[1].arrived);
	submit_request(2, "u0", PD_URGENT, UNREACHED_DEADLINE_US / 2, true, CRASHING_FINGERPRINT);
	submit(3);
	pd_os_sleep_us(OBSERVATION_US);
	ck_assert(!read_flag(&t.calls[2].arrived));
	set_action(1, ACTION_OK);
	wait_for(&t.calls[2].arrived);
	submit(4);
	pd_os_sleep_us(OBSERVATION_US);
	ck_assert(!read_flag(&t.calls[3].arrived) && !read_flag(&t.calls[4].arrived));
	set_default_action(ACTION_OK);
	for (uint32_t n = 1; n <= 4; n++)
		ck_assert_int_eq(wait_for_status(n), PD_SUB_OK);
	ck_assert_uint_eq(pd_suspects_count(t.suspects), 0);
}
END_TEST

/* After an early reply, a peer could retry the request before it receives the announcement. */
START_TEST(no_reply_is_sent_before_suspects_are_announced)
{
	set_warm(PD_USEC_PER_SEC);
	submit(1);
	submit(2);
	wait_for(&t.calls[1].arrived);
	wait_for(&t.calls[2].arrived);
	pthread_mutex_lock(&t.mutex);
	t.hold_announcements = true;
	pthread_mutex_unlock(&t.mutex);
	set_action(1, ACTION_CLOSE);
	wait_for(&t.announcement_started);
	pd_os_sleep_us(OBSERVATION_US);
	ck_assert(!read_flag(&t.calls[1].done) && !read_flag(&t.calls[2].done));
	pthread_mutex_lock(&t.mutex);
	t.hold_announcements = false;
	pthread_cond_broadcast(&t.changed);
	pthread_mutex_unlock(&t.mutex);
	ck_assert_int_eq(wait_for_status(1), PD_SUB_LOST);
	ck_assert_int_eq(wait_for_status(2), PD_SUB_LOST);
}
END_TEST

/* A timeout alone is no crash, but an upstream that then refuses a connection has crashed. */
START_TEST(timeout_followed_by_a_refused_connection_is_a_crash)
{
	int listener;

	set_warm(PD_USEC_PER_MSEC);
	listener = MHD_quiesce_daemon(t.daemon);
	pd_os_shutdown(listener);
	pd_os_close(&listener);
	submit(1); /* sent on the open connection */
	ck_assert_int_eq(wait_for_status(1), PD_SUB_LOST);
	ck_assert(was_announced(1001, 1, t.calls[1].announcements_before_reply));
}
END_TEST

START_TEST(refused_connection_means_not_run)
{
	ck_assert_int_eq(run_request_with(1, ACTION_OK), PD_SUB_OK);
	MHD_stop_daemon(t.daemon);
	t.daemon = NULL;
	submit(2);
	ck_assert_int_eq(wait_for_status(2), PD_SUB_NO_UPSTREAM);
	ck_assert_uint_eq(pd_suspects_count(t.suspects), 0);
}
END_TEST

/*
 * An idempotent request without a reply must fail before its deadline, so that it can be retried. A
 * non-idempotent request can't be retried, so it must wait.
 */
START_TEST(only_idempotent_requests_time_out_before_their_deadline)
{
	set_warm(PD_USEC_PER_MSEC);
	submit(1);
	wait_for(&t.calls[1].arrived);
	ck_assert_int_eq(wait_for_status(1), PD_SUB_LOST);
	ck_assert_uint_eq(t.announcement_count, 0);
	wait_for(&t.calls[1].cancel_received);
	submit_request(2, "u0", PD_URGENT, UNREACHED_DEADLINE_US, false, 0);
	wait_for(&t.calls[2].arrived);
	pd_os_sleep_us(2 * PD_UPSTREAM_MIN_REPLY_TIMEOUT_US);
	ck_assert(!read_flag(&t.calls[2].done));
	set_action(2, ACTION_OK);
	ck_assert_int_eq(wait_for_status(2), PD_SUB_OK);
}
END_TEST

/*
 * The upstream may still be running an abandoned request, so a cold one must not get a second
 * request.
 */
START_TEST(abandoned_request_occupies_its_slot_until_its_deadline)
{
	int64_t begun_us;

	t.accepts_cancel = false;
	t.cancel_fails = true;
	t.upstreams->cancel_timeout_us = PD_UPSTREAM_CANCEL_TIMEOUT_US;
	begun_us = pd_os_now_us();
	submit_request(1, "u0", PD_URGENT, PD_USEC_PER_SEC, true, 0);
	wait_for(&t.calls[1].arrived);
	pd_upstreams_cancel(t.upstreams, 5, 1);
	ck_assert_int_eq(wait_for_status(1), PD_SUB_LOST);
	set_action(2, ACTION_OK);
	submit(2);
	ck_assert_int_eq(wait_for_status(2), PD_SUB_OK);
	ck_assert_int_ge(pd_os_now_us() - begun_us,
			 PD_USEC_PER_SEC + PD_UPSTREAM_DEADLINE_MARGIN_US);
}
END_TEST

/*
 * The upstream may still be running a request when its deadline passes here, since the timers and
 * clocks of both sides differ a little.
 */
START_TEST(late_request_occupies_its_slot_until_the_margin_after_its_deadline)
{
	int64_t begun_us = pd_os_now_us();

	t.cancel_fails = true;
	submit_request(1, "u0", PD_URGENT, PD_USEC_PER_SEC / 5, false, 0);
	wait_for(&t.calls[1].arrived);
	ck_assert_int_eq(wait_for_status(1), PD_SUB_LATE);
	ck_assert_int_eq(run_request_with(2, ACTION_OK), PD_SUB_OK);
	ck_assert_int_ge(pd_os_now_us() - begun_us,
			 PD_USEC_PER_SEC / 5 + PD_UPSTREAM_DEADLINE_MARGIN_US);
}
END_TEST

/*
 * A cancellation that overtakes its request finds no request to stop. The request arrives later, so
 * its slot must not be used for another one.
 */
START_TEST(cancellation_that_overtakes_its_request_frees_no_slot)
{
	t.upstreams->cancel_timeout_us = PD_UPSTREAM_CANCEL_TIMEOUT_US;
	t.upstreams->deadline_margin_us = EVENT_TIMEOUT_US;
	t.delay_runs = true;
	submit(1);
	wait_for(&t.calls[1].in_transit);
	pd_upstreams_cancel(t.upstreams, 5, 1);
	ck_assert_int_eq(wait_for_status(1), PD_SUB_LOST);
	wait_for(&t.calls[1].cancel_received);
	submit(2);
	pd_os_sleep_us(OBSERVATION_US);
	ck_assert(!read_flag(&t.calls[2].in_transit));
	pthread_mutex_lock(&t.mutex);
	t.delay_runs = false;
	pthread_cond_broadcast(&t.changed);
	pthread_mutex_unlock(&t.mutex);
	/* The retried cancellation stops the request, which frees the slot before the deadline. */
	set_action(2, ACTION_OK);
	ck_assert_int_eq(wait_for_status(2), PD_SUB_OK);
	ck_assert(read_flag(&t.calls[1].arrived));
	ck_assert_uint_eq(t.max_running, 1);
}
END_TEST

static void add_outranking_member(struct pd_name *name)
{
	struct pd_member_record other_member = {.incarnation = 1};
	char text[16];
	uint32_t i = 0;

	do {
		snprintf(text, sizeof(text), "m%u", i++);
	} while (pd_rendezvous_score(PD_STR("u0"), pd_str_from(text)) <=
		 pd_rendezvous_score(PD_STR("u0"), PD_STR("self")));
	pd_name_set(&other_member.name, pd_str_from(text));
	pd_name_set(&other_member.zone, PD_STR("z"));
	pd_members_merge(t.members, &other_member, pd_os_now_us());
	pd_members_message_received(t.members, pd_name_str(&other_member.name), 1, pd_os_now_us());
	*name = other_member.name;
}

START_TEST(queued_request_is_not_sent_after_ownership_ended)
{
	struct pd_name other_member;

	submit(1);
	wait_for(&t.calls[1].arrived);
	submit(2);
	add_outranking_member(&other_member);
	ck_assert(!pd_upstreams_none_in_flight_for(t.upstreams, pd_name_str(&other_member)));
	ck_assert(pd_upstreams_none_in_flight_for(t.upstreams, PD_STR("nobody")));
	set_default_action(ACTION_OK);
	ck_assert_int_eq(wait_for_status(1), PD_SUB_OK);
	ck_assert_int_eq(wait_for_status(2), PD_SUB_NOT_OWNER);
	ck_assert(!t.calls[2].arrived);
	ck_assert(pd_upstreams_none_in_flight_for(t.upstreams, pd_name_str(&other_member)));
}
END_TEST

/*
 * State of a race between a worker's ownership check and a member that is added during it:
 * submission_not_counted and dispatch_not_counted are set if a check is made before its request
 * counts as in flight; none_in_flight is the result of the check for the new member's grant.
 */
static struct {
	pthread_t submitter;
	pthread_t granter;
	struct pd_name other_member;
	bool submission_not_counted;
	bool dispatch_not_counted;
	bool grant_check_started;
	bool none_in_flight;
} race;

static void *check_grant_in_race(void *arg)
{
	(void)arg;
	race.none_in_flight =
		pd_upstreams_none_in_flight_for(t.upstreams, pd_name_str(&race.other_member));
	return NULL;
}

static struct pd_upstream *upstream_u0(void)
{
	struct pd_upstream *up = NULL;

	for (size_t i = 0; i < PD_UPSTREAM_HASH_BUCKETS && !up; i++)
		up = t.upstreams->table[i];
	return up;
}

/* Adds a member right after the ownership check and starts the check for its grant at once. */
static enum pd_ownership check_ownership_in_race(struct pd_members *members, struct pd_str upstream,
						 struct pd_str zone, int64_t now_us,
						 bool *first_including_silent,
						 int64_t *valid_until_us)
{
	enum pd_ownership ownership = pd_members_ownership(members, upstream, zone, now_us,
							   first_including_silent, valid_until_us);
	const struct pd_upstream *up;

	if (pthread_equal(pthread_self(), race.submitter)) {
		race.submission_not_counted |= pd_upstreams_pending_count(t.upstreams) == 0;
		return ownership;
	}
	/* This thread holds the mutex of the upstream. */
	up = upstream_u0();
	if (race.grant_check_started ||
	    (up->control.thread_running && pthread_equal(pthread_self(), up->control.thread)))
		return ownership;
	race.dispatch_not_counted |= !up->dispatching;
	add_outranking_member(&race.other_member);
	race.grant_check_started = true;
	ck_assert_int_eq(pthread_create(&race.granter, NULL, check_grant_in_race, NULL), 0);
	return ownership;
}

START_TEST(request_counts_as_in_flight_before_ownership_is_checked)
{
	pthread_t granter;

	race.submitter = pthread_self();
	t.upstreams->ownership_fn = check_ownership_in_race;
	submit(1);
	wait_for(&t.calls[1].arrived);
	pthread_mutex_lock(&upstream_u0()->mutex);
	granter = race.granter;
	pthread_mutex_unlock(&upstream_u0()->mutex);
	pthread_join(granter, NULL);
	ck_assert(!race.none_in_flight);
	ck_assert(!race.dispatch_not_counted);
	ck_assert(!race.submission_not_counted);
	set_default_action(ACTION_OK);
	ck_assert_int_eq(wait_for_status(1), PD_SUB_OK);
	submit(2);
	ck_assert_int_eq(wait_for_status(2), PD_SUB_NOT_OWNER);
	ck_assert(pd_upstreams_none_in_flight_for(t.upstreams, pd_name_str(&race.other_member)));
	/* A request is pending until its reply function has returned. */
	for (int64_t until = pd_os_now_us() + EVENT_TIMEOUT_US;
	     pd_upstreams_pending_count(t.upstreams) && pd_os_now_us() < until;)
		pd_os_sleep_us(OBSERVATION_US);
	ck_assert_uint_eq(pd_upstreams_pending_count(t.upstreams), 0);
}
END_TEST

/* Runs call @n as if its worker had been paused for @paused_us after the dispatch. */
static enum pd_substatus run_after_pause(uint32_t n, int64_t deadline_us, int64_t lease_us,
					 int64_t paused_us)
{
	char id[16];
	struct pd_msg_subrequest request = {.service = PD_STR("s"),
					    .snapshot = 41,
					    .upstream = PD_STR("u0"),
					    .deadline_us = deadline_us};
	int64_t dispatched_us = pd_os_now_us() - paused_us;
	struct pd_config *config = pd_config_holder_read(&t.config);
	struct pd_http_client *client;
	struct pd_upstream_job *job;
	struct pd_exchange exchange;

	snprintf(id, sizeof(id), "r%u", n);
	request.request_id = pd_str_from(id);
	job = pd_upstream_job_new(&request, 0, NULL, NULL, dispatched_us);
	ck_assert(job);
	job->dispatched_us = dispatched_us;
	job->upstream_deadline_us = dispatched_us + lease_us;
	ck_assert_int_eq(pd_http_client_open(&client, NULL), PD_OK);
	pd_exchange_run(client, &config->upstreams[0], job, EVENT_TIMEOUT_US, &exchange);
	ck_assert_int_eq(exchange.code, PD_OK);
	pd_http_client_close(client);
	pd_upstream_job_free(job);
	pd_config_put(config);
	return exchange.reply.status;
}

START_TEST(paused_owner_sends_nothing_after_its_lease)
{
	set_default_action(ACTION_OK);
	ck_assert_int_eq(
		run_after_pause(1, UNREACHED_DEADLINE_US, PD_USEC_PER_SEC, PD_USEC_PER_SEC),
		PD_SUB_NOT_OWNER);
	ck_assert_int_eq(run_after_pause(2, PD_USEC_PER_SEC, PD_USEC_PER_SEC, PD_USEC_PER_SEC),
			 PD_SUB_DEADLINE);
	ck_assert(!t.calls[1].arrived && !t.calls[2].arrived);
	/* Within the lease, the request's deadline is the remaining time of the lease. */
	ck_assert_int_eq(run_after_pause(3, UNREACHED_DEADLINE_US, UNREACHED_DEADLINE_US,
					 UNREACHED_DEADLINE_US / 3),
			 PD_SUB_OK);
	ck_assert_int_le(t.calls[3].deadline_ms, UNREACHED_DEADLINE_US / 3 * 2 / PD_USEC_PER_MSEC);
	ck_assert_int_le(t.calls[3].deadline_at_ms,
			 pd_os_unix_ms() + UNREACHED_DEADLINE_US / 3 * 2 / PD_USEC_PER_MSEC);
}
END_TEST

START_TEST(draining_upstream_gets_no_new_requests)
{
	uint32_t n;

	set_warm(PD_USEC_PER_SEC);
	submit(1);
	wait_for(&t.calls[1].arrived);
	pthread_mutex_lock(&t.mutex);
	t.health = 503;
	for (n = 2; n < CALLS_MAX; n++)
		t.calls[n].action = ACTION_OK;
	pthread_mutex_unlock(&t.mutex);
	/* Submit requests until one is refused; the table of calls limits their number. */
	for (n = 2; n < CALLS_MAX - 1; n++) {
		submit(n);
		if (wait_for_status(n) == PD_SUB_LEAVING)
			break;
		pd_os_sleep_us(10 * PD_USEC_PER_MSEC);
	}
	ck_assert_uint_lt(n, CALLS_MAX - 1);
	ck_assert(!t.calls[n].arrived);
	set_action(1, ACTION_OK);
	ck_assert_int_eq(wait_for_status(1), PD_SUB_OK);
}
END_TEST

START_TEST(deleted_upstream_finishes_requests_in_flight)
{
	submit_request(1, "u1", PD_URGENT, UNREACHED_DEADLINE_US, true, 0);
	wait_for(&t.calls[1].arrived);
	submit_request(2, "u1", PD_URGENT, UNREACHED_DEADLINE_US, true, 0);
	set_config(2, "", 1, 9);
	set_default_action(ACTION_OK);
	ck_assert_int_eq(wait_for_status(1), PD_SUB_OK);
	ck_assert_int_eq(wait_for_status(2), PD_SUB_NO_UPSTREAM);
	ck_assert(!t.calls[2].arrived);
}
END_TEST

/* Peer connections are closed after pd_upstreams_stop(), and then still call these functions. */
START_TEST(after_stop_requests_are_refused_and_other_calls_work)
{
	struct pd_name other_member;

	submit(1);
	wait_for(&t.calls[1].arrived);
	add_outranking_member(&other_member);
	pd_upstreams_stop(t.upstreams);
	ck_assert(t.calls[1].done);
	submit(2);
	ck_assert_int_eq(wait_for_status(2), PD_SUB_NOT_OWNER);
	submit_request(3, "u1", PD_URGENT, UNREACHED_DEADLINE_US, true, 0);
	wait_for(&t.calls[3].done);
	ck_assert(!t.calls[2].arrived && !t.calls[3].arrived);
	pd_upstreams_cancel(t.upstreams, 5, 1);
	pd_upstreams_cancel_origin(t.upstreams, 5);
	ck_assert(pd_upstreams_none_in_flight_for(t.upstreams, pd_name_str(&other_member)));
}
END_TEST

START_TEST(close_answers_all_requests)
{
	submit(1);
	wait_for(&t.calls[1].arrived);
	submit(2);
	ck_assert_uint_eq(pd_upstreams_pending_count(t.upstreams), 2);
	pd_upstreams_close(t.upstreams);
	t.upstreams = NULL;
	ck_assert(t.calls[1].done && t.calls[2].done);
	ck_assert_int_eq(wait_for_status(2), PD_SUB_LEAVING);
}
END_TEST

static TCase *make_cases(void)
{
	TCase *tcase = tcase_create("upstream");

	tcase_set_timeout(tcase, 60);
	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, reply_is_returned_to_the_submitter);
	tcase_add_test(tcase, cold_upstream_runs_one_request_at_a_time_by_urgency_and_deadline);
	tcase_add_test(tcase, connections_stay_within_the_configured_number);
	tcase_add_test(tcase, refusal_status_gives_the_reason);
	tcase_add_test(tcase, request_that_cannot_finish_in_time_is_not_sent);
	tcase_add_test(tcase, cold_upstream_gets_only_requests_that_can_finish);
	tcase_add_test(tcase, reply_timeout_is_longer_for_a_cold_upstream);
	tcase_add_test(tcase, cold_upstream_queues_no_hedge);
	tcase_add_test(tcase, long_queue_refuses_normal_requests_only);
	tcase_add_test(tcase, urgent_request_displaces_the_last_normal_one_from_a_full_queue);
	tcase_add_test(tcase, cancellation_in_the_queue_is_immediate);
	tcase_add_test(tcase, cancellation_in_flight_keeps_the_connection);
	tcase_add_test(tcase, unanswered_cancellation_closes_the_connection);
	tcase_add_test(tcase, closed_peer_connection_cancels_idempotent_requests_only);
	tcase_add_test(tcase, request_submitted_by_a_reply_function_reuses_the_connection);
	tcase_add_loop_test(tcase, reply_to_another_request_is_rejected, 0, 4);
	tcase_add_loop_test(tcase, error_replies_are_mapped_to_statuses, 0, 9);
	tcase_add_test(tcase, broken_connection_records_suspects_before_it_replies);
	tcase_add_test(tcase, suspect_runs_in_isolation);
	tcase_add_test(tcase, no_reply_is_sent_before_suspects_are_announced);
	tcase_add_test(tcase, timeout_followed_by_a_refused_connection_is_a_crash);
	tcase_add_test(tcase, refused_connection_means_not_run);
	tcase_add_test(tcase, only_idempotent_requests_time_out_before_their_deadline);
	tcase_add_test(tcase, abandoned_request_occupies_its_slot_until_its_deadline);
	tcase_add_test(tcase, late_request_occupies_its_slot_until_the_margin_after_its_deadline);
	tcase_add_test(tcase, cancellation_that_overtakes_its_request_frees_no_slot);
	tcase_add_test(tcase, queued_request_is_not_sent_after_ownership_ended);
	tcase_add_test(tcase, request_counts_as_in_flight_before_ownership_is_checked);
	tcase_add_test(tcase, paused_owner_sends_nothing_after_its_lease);
	tcase_add_test(tcase, draining_upstream_gets_no_new_requests);
	tcase_add_test(tcase, deleted_upstream_finishes_requests_in_flight);
	tcase_add_test(tcase, after_stop_requests_are_refused_and_other_calls_work);
	tcase_add_test(tcase, close_answers_all_requests);
	return tcase;
}

int main(void)
{
	Suite *suite = suite_create("upstream");
	SRunner *runner = srunner_create(suite);
	int failed;

	pd_log_open("test_upstream", PD_LOG_ERROR);
	suite_add_tcase(suite, make_cases());
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
