/*
 * Guards the owner side against a real HTTP server: order of the queue, refusals that say "not
 * run", cancellation that keeps the connection, replies of other requests, crash records before
 * the failure is reported, dispatch after the ownership ended, requests that a grant or a shutdown
 * misses because they don't count as in flight yet, and requests that a paused owner sends late.
 * The server's replies are gated by the test, so that no test depends on the speed of the machine.
 * The slot of a request that was given up must stay taken until the request has certainly ended.
 */
#include <check.h>
#include <microhttpd.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "counters.h"
#include "log.h"
#include "upstream_private.h"

#define LONG_US	  (30 * PD_USEC_PER_SEC) /* deadline that no test reaches */
#define WAIT_US	  (20 * PD_USEC_PER_SEC) /* after which an awaited event fails the test */
#define CALLS_MAX 600
#define PAUSE_US  (20 * PD_USEC_PER_MSEC) /* in which a fault would show; never awaited */
#define CRASHING  77 /* fingerprint */

enum action {
	ACT_WAIT = 0, /* gated */
	ACT_OK,
	ACT_OTHER_ID,
	ACT_OTHER_SERVICE,
	ACT_OTHER_SNAPSHOT,
	ACT_NO_COVERS,
	ACT_CLOSE,
	ACT_HELD,
	ACT_SHED,
	ACT_DRAINING,
	ACT_DEADLINE,
	ACT_CANCELLED,
	ACT_CANCELLED_LATE,
	ACT_503,
	ACT_504,
	ACT_500,
};

/** struct call - one sub-request, seen from both ends */
struct call {
	enum action action;
	bool on_way;
	bool arrived;
	uint32_t order; /* of arrival */
	bool cancel_seen;
	bool ended;
	bool done;
	struct pd_msg_subreply reply;
	char body[32];
	size_t announced; /* announcements before the reply */
	long deadline_ms;
	int64_t deadline_at_ms;
	uintptr_t connection; /* number of the connection that it came over */
};

static struct {
	pthread_mutex_t mutex;
	pthread_cond_t changed;
	struct call calls[CALLS_MAX];
	enum action otherwise; /* of calls without an action */
	uint32_t arrivals;
	uint32_t running;
	uint32_t most_running;
	uint32_t connections;
	uint32_t open;
	uint32_t most_open;
	bool honours_cancel;
	bool cancel_fails;
	bool submits_hedges;
	bool delays_runs; /* a request stays on its way, and cancellations don't find it */
	bool announce_gated;
	bool announcing;
	uint32_t resubmit; /* call to submit from within a reply */
	unsigned int health;
	struct pd_msg_suspect announced[16];
	size_t announced_count;
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
		 action == ACT_OTHER_ID ? "another" : header(connection, "Request-Id")},
		{"Service", action == ACT_OTHER_SERVICE ? "other" : header(connection, "Service")},
		{"Snapshot", action == ACT_OTHER_SNAPSHOT ? "40" : header(connection, "Snapshot")},
		{"Load", "inflight=1;slots=3;state=warm"},
		{action == ACT_NO_COVERS ? NULL : "Covers", "0-49"},
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

static enum MHD_Result act(struct MHD_Connection *connection, enum action action)
{
	switch (action) {
	case ACT_CLOSE:
		return MHD_NO;
	case ACT_HELD:
		reply_error(connection, 409, "Snapshots", "40, 41");
		break;
	case ACT_SHED:
		reply_error(connection, 503, "Not-Run", "shed");
		break;
	case ACT_DRAINING:
		reply_error(connection, 503, "Not-Run", "draining");
		break;
	case ACT_DEADLINE:
		reply_error(connection, 504, "Not-Run", "deadline");
		break;
	case ACT_CANCELLED:
		reply_error(connection, 410, "Not-Run", "cancelled");
		break;
	case ACT_CANCELLED_LATE:
		reply_error(connection, 410, NULL, NULL);
		break;
	case ACT_503:
	case ACT_504:
	case ACT_500:
		reply_error(connection,
			    action == ACT_503	? 503
			    : action == ACT_504 ? 504
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
	call->on_way = true;
	pthread_cond_broadcast(&t.changed);
	while (t.delays_runs)
		pthread_cond_wait(&t.changed, &t.mutex);
	call->arrived = true;
	call->order = ++t.arrivals;
	call->connection =
		(uintptr_t)MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
			->socket_context;
	call->deadline_ms = strtol(header(connection, "Deadline-Ms"), NULL, 10);
	call->deadline_at_ms = strtoll(header(connection, "Deadline-At"), NULL, 10);
	if (++t.running > t.most_running)
		t.most_running = t.running;
	pthread_cond_broadcast(&t.changed);
	while ((action = call->action ? call->action : t.otherwise) == ACT_WAIT)
		pthread_cond_wait(&t.changed, &t.mutex);
	t.running--;
	call->ended = true;
	pthread_cond_broadcast(&t.changed);
	pthread_mutex_unlock(&t.mutex);
	return act(connection, action);
}

static enum MHD_Result serve_cancel(struct MHD_Connection *connection)
{
	struct call *call = &t.calls[strtoul(header(connection, "Request-Id") + 1, NULL, 10)];
	bool stops;
	bool fails;

	pthread_mutex_lock(&t.mutex);
	call->cancel_seen = true;
	stops = t.honours_cancel && call->arrived;
	if (stops)
		call->action = ACT_CANCELLED;
	fails = t.cancel_fails;
	pthread_cond_broadcast(&t.changed);
	/* A request counts as stopped once it runs no more, as at a real upstream. */
	while (stops && !call->ended)
		pthread_cond_wait(&t.changed, &t.mutex);
	pthread_mutex_unlock(&t.mutex);
	if (fails)
		return MHD_NO;
	queue_reply(connection, 200, stops ? "{\"cancelled\":1}" : "{\"cancelled\":0}", NULL);
	return MHD_YES;
}

static enum MHD_Result serve(void *arg, struct MHD_Connection *connection, const char *url,
			     const char *method, const char *version, const char *data,
			     size_t *size, void **state)
{
	static int begun;

	(void)arg;
	(void)method;
	(void)version;
	(void)data;
	if (!*state) {
		*state = &begun;
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
		if (++t.open > t.most_open)
			t.most_open = t.open;
	} else {
		t.open--;
	}
	pthread_mutex_unlock(&t.mutex);
}

static void announce(void *arg, const struct pd_msg_suspect *msg)
{
	(void)arg;
	pthread_mutex_lock(&t.mutex);
	t.announcing = true;
	pthread_cond_broadcast(&t.changed);
	while (t.announce_gated)
		pthread_cond_wait(&t.changed, &t.mutex);
	t.announced[t.announced_count++] = *msg;
	pthread_mutex_unlock(&t.mutex);
}

/* Service s has upstreams u0 and u1, both at the test's server. */
static void set_config(uint64_t version, const char *more, uint32_t upstreams, uint32_t connections)
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
	pd_buf_append_str(&text, pd_str_from(more));
	ck_assert_int_eq(pd_config_from_text(pd_buf_str(&text), version, &config, NULL), PD_OK);
	ck_assert(pd_config_holder_advance(&t.config, config));
	pd_buf_finish(&text);
}

static void setup(void)
{
	struct pd_member_record self = {.incarnation = 1};
	struct pd_upstreams_setup with = {.config = &t.config, .announce = announce};

	pd_http_global_init();
	pthread_mutex_init(&t.mutex, NULL);
	pd_os_cond_init(&t.changed);
	t.health = 200;
	t.honours_cancel = true;
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
	with.zone = self.zone;
	with.members = t.members;
	with.suspects = t.suspects;
	ck_assert_int_eq(pd_upstreams_open(&t.upstreams, &with, NULL), PD_OK);
	/* A busy machine may take longer than the real limit to answer a cancellation. */
	t.upstreams->cancel_timeout_us = WAIT_US;
}

static void release_all(enum action action)
{
	pthread_mutex_lock(&t.mutex);
	t.otherwise = action;
	pthread_cond_broadcast(&t.changed);
	pthread_mutex_unlock(&t.mutex);
}

static void teardown(void)
{
	release_all(ACT_OK);
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
	uint32_t next;

	pthread_mutex_lock(&t.mutex);
	ck_assert(!call->done);
	call->done = true;
	call->reply = *reply;
	pd_str_copy(reply->body, call->body, sizeof(call->body));
	call->announced = t.announced_count;
	next = t.resubmit;
	t.resubmit = 0;
	pthread_cond_broadcast(&t.changed);
	pthread_mutex_unlock(&t.mutex);
	if (!next)
		return;
	submit(next);
	pd_os_sleep_us(PAUSE_US);
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
	request.hedge = t.submits_hedges;
	pd_upstreams_submit(t.upstreams, &request, 5, on_reply, &t.calls[n]);
}

static void submit(uint32_t n)
{
	submit_request(n, "u0", PD_URGENT, LONG_US, true, 0);
}

static void await(const bool *flag)
{
	int64_t until = pd_os_now_us() + WAIT_US;

	pthread_mutex_lock(&t.mutex);
	while (!*flag && pd_os_cond_wait_until(&t.changed, &t.mutex, until))
		;
	ck_assert(*flag);
	pthread_mutex_unlock(&t.mutex);
}

static enum pd_substatus result(uint32_t n)
{
	await(&t.calls[n].done);
	return t.calls[n].reply.status;
}

static bool flag_of(const bool *flag)
{
	bool value;

	pthread_mutex_lock(&t.mutex);
	value = *flag;
	pthread_mutex_unlock(&t.mutex);
	return value;
}

static void release(uint32_t n, enum action action)
{
	pthread_mutex_lock(&t.mutex);
	t.calls[n].action = action;
	pthread_cond_broadcast(&t.changed);
	pthread_mutex_unlock(&t.mutex);
}

static enum pd_substatus run_with(uint32_t n, enum action action)
{
	release(n, action);
	submit(n);
	return result(n);
}

/* Makes u0 warm with a usual latency of @usual_us. */
static void make_warm(int64_t usual_us)
{
	struct pd_upstream *up;

	ck_assert_int_eq(run_with(CALLS_MAX - 1, ACT_OK), PD_SUB_OK);
	up = t.upstreams->table[pd_str_hash(PD_STR("u0"), 0) % PD_UPSTREAM_HASH_BUCKETS];
	pthread_mutex_lock(&up->mutex);
	pd_latency_init(&up->limiter.baseline);
	for (int i = 0; i < PD_LATENCY_SAMPLES; i++)
		pd_latency_add(&up->limiter.baseline, usual_us);
	up->limiter.cold = false;
	up->limiter.slow_streak = 0;
	up->limiter.limit = 3;
	pthread_mutex_unlock(&up->mutex);
}

/* Makes u0 cold with a latency of @cold_us there; its usual latency is 1 ms. */
static void make_cold(int64_t cold_us)
{
	struct pd_upstream *up;

	make_warm(PD_USEC_PER_MSEC);
	up = t.upstreams->table[pd_str_hash(PD_STR("u0"), 0) % PD_UPSTREAM_HASH_BUCKETS];
	pthread_mutex_lock(&up->mutex);
	up->limiter.cold = true;
	up->limiter.limit = 1;
	up->limiter.cold_latency_us = cold_us;
	pthread_mutex_unlock(&up->mutex);
}

START_TEST(reply_is_passed_on)
{
	submit_request(1, "u0", PD_URGENT, PD_USEC_PER_SEC * 5, true, 0);
	release(1, ACT_OK);
	ck_assert_int_eq(result(1), PD_SUB_OK);
	ck_assert_uint_eq(t.calls[1].reply.snapshot, 42);
	ck_assert_uint_eq(t.calls[1].reply.call, 1);
	ck_assert_str_eq(t.calls[1].body, "[\"hit\"]");
	ck_assert_int_gt(t.calls[1].deadline_ms, 0);
	ck_assert_int_le(t.calls[1].deadline_ms, 5000);
}
END_TEST

START_TEST(cold_upstream_runs_one_at_a_time_by_urgency_and_deadline)
{
	submit(1);
	await(&t.calls[1].arrived);
	submit_request(2, "u0", PD_NORMAL, LONG_US, true, 0);
	submit_request(3, "u0", PD_NORMAL, LONG_US / 2, true, 0);
	submit_request(4, "u0", PD_URGENT, LONG_US, true, 0);
	release_all(ACT_OK);
	for (uint32_t n = 1; n <= 4; n++)
		ck_assert_int_eq(result(n), PD_SUB_OK);
	ck_assert_uint_eq(t.calls[4].order, 2);
	ck_assert_uint_eq(t.calls[3].order, 3);
	ck_assert_uint_eq(t.calls[2].order, 4);
	ck_assert_uint_eq(t.most_running, 1);
}
END_TEST

START_TEST(connections_stay_within_the_configured_number)
{
	set_config(2, "", 2, 3);
	make_warm(PD_USEC_PER_SEC);
	for (uint32_t n = 1; n <= 4; n++)
		submit(n);
	await(&t.calls[1].arrived);
	await(&t.calls[2].arrived);
	release_all(ACT_OK);
	for (uint32_t n = 1; n <= 4; n++)
		ck_assert_int_eq(result(n), PD_SUB_OK);
	ck_assert_uint_eq(t.most_running, 2);
	ck_assert_uint_le(t.most_open, 3);
}
END_TEST

START_TEST(refusals_name_their_reason)
{
	struct pd_member_record other = {.incarnation = 1};

	submit_request(1, "nowhere", PD_URGENT, LONG_US, true, 0);
	ck_assert_int_eq(result(1), PD_SUB_NO_UPSTREAM);
	set_config(2, "set zone z out\n", 2, 9);
	submit(2);
	ck_assert_int_eq(result(2), PD_SUB_ZONE_OUT);
	set_config(3, "set upstream u0 out\n", 2, 9);
	submit(3);
	ck_assert_int_eq(result(3), PD_SUB_LEAVING);
	set_config(4, "", 2, 9);
	pd_upstreams_set_leaving(t.upstreams, PD_STR("u0"), true);
	submit(4);
	ck_assert_int_eq(result(4), PD_SUB_LEAVING);
	pd_upstreams_set_leaving(t.upstreams, PD_STR("u0"), false);
	ck_assert_int_eq(run_with(5, ACT_OK), PD_SUB_OK);
	pd_name_set(&other.name, PD_STR("other"));
	pd_name_set(&other.zone, PD_STR("z"));
	pd_members_merge(t.members, &other, pd_os_now_us());
	submit(6);
	ck_assert_int_eq(result(6), PD_SUB_NOT_OWNER);
	for (uint32_t n = 1; n <= 6; n++)
		ck_assert(t.calls[n].arrived == (n == 5));
}
END_TEST

START_TEST(work_that_cannot_finish_in_time_is_not_started)
{
	make_warm(PD_USEC_PER_SEC);
	submit(1);
	await(&t.calls[1].arrived);
	submit_request(2, "u0", PD_URGENT, PD_USEC_PER_SEC / 2, true, 0);
	ck_assert_int_eq(result(2), PD_SUB_DEADLINE);
	ck_assert(!t.calls[2].arrived);
}
END_TEST

/* A cold upstream is slower; what it would not finish in time takes away what it bears. */
START_TEST(cold_upstream_starts_only_what_can_finish)
{
	make_cold(PD_USEC_PER_SEC);
	submit(1);
	await(&t.calls[1].arrived);
	submit_request(2, "u0", PD_URGENT, PD_USEC_PER_SEC / 2, true, 0);
	ck_assert_int_eq(result(2), PD_SUB_DEADLINE);
	ck_assert(!t.calls[2].arrived);
}
END_TEST

/* Guards against giving up requests of a cold upstream after a few usual latencies. */
START_TEST(cold_upstream_has_time_to_reply)
{
	make_cold(PD_USEC_PER_SEC);
	submit_request(1, "u0", PD_URGENT, 2 * PD_USEC_PER_SEC, true, 0);
	await(&t.calls[1].arrived);
	pd_os_sleep_us(2 * PD_UPSTREAM_MIN_REPLY_TIMEOUT_US);
	ck_assert(!flag_of(&t.calls[1].done));
	release(1, ACT_OK);
	ck_assert_int_eq(result(1), PD_SUB_OK);
}
END_TEST

/* A hedge must not wait in front of first attempts for the only slot of a cold upstream. */
START_TEST(cold_upstream_queues_no_hedge)
{
	make_cold(PD_USEC_PER_MSEC);
	submit(1);
	await(&t.calls[1].arrived);
	t.submits_hedges = true;
	submit(2);
	ck_assert(flag_of(&t.calls[2].done));
	ck_assert_int_eq(result(2), PD_SUB_BUSY);
	release_all(ACT_OK);
	ck_assert_int_eq(result(1), PD_SUB_OK);
	submit(3);
	ck_assert_int_eq(result(3), PD_SUB_OK);
}
END_TEST

START_TEST(long_queue_refuses_normal_work_only)
{
	make_warm(PD_USEC_PER_SEC);
	for (uint32_t n = 1; n <= 12; n++)
		submit(n);
	submit_request(20, "u0", PD_NORMAL, 2 * PD_USEC_PER_SEC, true, 0);
	ck_assert_int_eq(result(20), PD_SUB_OVERLOADED);
	ck_assert_int_gt(t.calls[20].reply.queue_us, PD_USEC_PER_SEC);
	submit_request(21, "u0", PD_URGENT, LONG_US / 2, true, 0);
	release_all(ACT_OK);
	ck_assert_int_eq(result(21), PD_SUB_OK);
	ck_assert(!t.calls[20].arrived);
}
END_TEST

START_TEST(urgent_work_displaces_the_last_normal_one_from_a_full_queue)
{
	submit(1);
	await(&t.calls[1].arrived);
	for (uint32_t n = 2; n < 2 + PD_UPSTREAM_QUEUE_MAX; n++)
		submit_request(n, "u0", PD_NORMAL, LONG_US + (n == 50) * PD_USEC_PER_SEC, true, 0);
	submit_request(400, "u0", PD_NORMAL, LONG_US, true, 0);
	ck_assert_int_eq(result(400), PD_SUB_OVERLOADED);
	submit(401);
	ck_assert_int_eq(result(50), PD_SUB_OVERLOADED);
	release_all(ACT_OK);
	ck_assert_int_eq(result(401), PD_SUB_OK);
	ck_assert_int_eq(result(49), PD_SUB_OK);
	ck_assert(!t.calls[50].arrived);
}
END_TEST

START_TEST(cancellation_in_the_queue_is_immediate)
{
	submit(1);
	await(&t.calls[1].arrived);
	submit(2);
	pd_upstreams_cancel(t.upstreams, 6, 2); /* of another connection: nothing happens */
	ck_assert(!flag_of(&t.calls[2].done));
	pd_upstreams_cancel(t.upstreams, 5, 2);
	ck_assert(flag_of(&t.calls[2].done));
	ck_assert_int_eq(result(2), PD_SUB_CANCELLED);
	release_all(ACT_OK);
	ck_assert_int_eq(result(1), PD_SUB_OK);
	ck_assert(!t.calls[2].arrived);
}
END_TEST

START_TEST(cancellation_in_flight_keeps_the_connection)
{
	submit(1);
	await(&t.calls[1].arrived);
	pd_upstreams_cancel(t.upstreams, 5, 1);
	ck_assert_int_eq(result(1), PD_SUB_CANCELLED);
	ck_assert(t.calls[1].cancel_seen);
	ck_assert_int_eq(run_with(2, ACT_OK), PD_SUB_OK);
	ck_assert_uint_eq(t.calls[1].connection, t.calls[2].connection);
}
END_TEST

START_TEST(unanswered_cancellation_closes_the_connection)
{
	t.honours_cancel = false;
	t.upstreams->cancel_timeout_us = PD_UPSTREAM_CANCEL_TIMEOUT_US;
	submit(1);
	await(&t.calls[1].arrived);
	pd_upstreams_cancel(t.upstreams, 5, 1);
	ck_assert_int_eq(result(1), PD_SUB_LOST);
	await(&t.calls[1].cancel_seen);
	release(1, ACT_OK);
	ck_assert_int_eq(run_with(2, ACT_OK), PD_SUB_OK);
}
END_TEST

START_TEST(ended_connection_cancels_idempotent_work_only)
{
	submit(1);
	await(&t.calls[1].arrived);
	submit(2);
	submit_request(3, "u0", PD_URGENT, LONG_US, false, 0);
	pd_upstreams_cancel_origin(t.upstreams, 5);
	ck_assert_int_eq(result(2), PD_SUB_CANCELLED);
	ck_assert_int_eq(result(1), PD_SUB_CANCELLED);
	await(&t.calls[3].arrived);
	release_all(ACT_OK);
	ck_assert_int_eq(result(3), PD_SUB_OK);
}
END_TEST

/* A second thread would open a connection, which takes 6 ms for some services. */
START_TEST(request_from_within_a_reply_uses_the_open_connection)
{
	t.resubmit = 2;
	release(2, ACT_OK);
	ck_assert_int_eq(run_with(1, ACT_OK), PD_SUB_OK);
	ck_assert_int_eq(result(2), PD_SUB_OK);
	ck_assert_uint_eq(t.calls[1].connection, t.calls[2].connection);
}
END_TEST

static const enum action mismatches[] = {ACT_OTHER_ID, ACT_OTHER_SERVICE, ACT_OTHER_SNAPSHOT,
					 ACT_NO_COVERS};

START_TEST(reply_of_another_request_is_dropped)
{
	ck_assert_int_eq(run_with(1, ACT_OK), PD_SUB_OK);
	ck_assert_int_eq(run_with(2, mismatches[_i]), PD_SUB_MISMATCH);
	ck_assert_int_eq(run_with(3, ACT_OK), PD_SUB_OK);
	ck_assert_uint_eq(t.calls[1].connection, t.calls[2].connection);
	ck_assert_uint_ne(t.calls[2].connection, t.calls[3].connection);
	ck_assert_uint_eq(pd_count_get(PD_COUNT_replies_mismatched), 1);
}
END_TEST

static const struct {
	enum action action;
	enum pd_substatus status;
} errors[] = {
	{ACT_HELD, PD_SUB_SNAPSHOT},	   {ACT_SHED, PD_SUB_OVERLOADED},
	{ACT_DRAINING, PD_SUB_LEAVING},	   {ACT_DEADLINE, PD_SUB_DEADLINE},
	{ACT_CANCELLED, PD_SUB_CANCELLED}, {ACT_CANCELLED_LATE, PD_SUB_FAILED},
	{ACT_503, PD_SUB_FAILED},	   {ACT_504, PD_SUB_FAILED},
	{ACT_500, PD_SUB_FAILED},
};

/* Without `Not-Run` an error reply must never become a "not run". */
START_TEST(error_replies_are_mapped)
{
	ck_assert_int_eq(run_with(1, errors[_i].action), errors[_i].status);
	ck_assert(pd_substatus_not_run(errors[_i].status) == (errors[_i].status != PD_SUB_FAILED));
	if (errors[_i].action != ACT_HELD)
		return;
	ck_assert_uint_eq(t.calls[1].reply.held_count, 2);
	ck_assert_uint_eq(t.calls[1].reply.held[1], 41);
}
END_TEST

static bool announced(uint64_t fingerprint, uint32_t crashes, size_t before)
{
	for (size_t i = 0; i < before; i++) {
		if (t.announced[i].fingerprint == fingerprint && t.announced[i].crashes == crashes)
			return true;
	}
	return false;
}

START_TEST(broken_connection_records_what_was_in_flight_first)
{
	make_warm(PD_USEC_PER_SEC);
	submit_request(1, "u0", PD_URGENT, LONG_US, true, CRASHING);
	submit(2);
	await(&t.calls[1].arrived);
	await(&t.calls[2].arrived);
	release(1, ACT_CLOSE);
	for (uint32_t n = 1; n <= 2; n++) {
		ck_assert_int_eq(result(n), PD_SUB_LOST);
		ck_assert(announced(CRASHING, 1, t.calls[n].announced));
		ck_assert(announced(1002, 1, t.calls[n].announced));
	}
	/* Both may only run at the other upstream of the service; success clears the innocent. */
	submit_request(3, "u0", PD_URGENT, LONG_US, true, CRASHING);
	ck_assert_int_eq(result(3), PD_SUB_SUSPECT);
	release(4, ACT_OK);
	submit_request(4, "u1", PD_URGENT, LONG_US, true, 1002);
	ck_assert_int_eq(result(4), PD_SUB_OK);
	ck_assert(announced(1002, 0, t.calls[4].announced));
	submit_request(5, "u1", PD_URGENT, LONG_US, true, CRASHING);
	release(5, ACT_CLOSE);
	ck_assert_int_eq(result(5), PD_SUB_LOST);
	ck_assert(announced(CRASHING, 2, t.calls[5].announced));
	submit_request(6, "u1", PD_URGENT, LONG_US, true, CRASHING);
	ck_assert_int_eq(result(6), PD_SUB_SUSPECT);
	ck_assert(!t.calls[3].arrived && !t.calls[6].arrived);
}
END_TEST

START_TEST(suspect_runs_alone)
{
	struct pd_name other = {0};

	pd_name_set(&other, PD_STR("u1"));
	make_warm(PD_USEC_PER_SEC);
	pd_suspects_record_crash(t.suspects, CRASHING, &other, false, pd_os_now_us());
	submit(1);
	await(&t.calls[1].arrived);
	submit_request(2, "u0", PD_URGENT, LONG_US / 2, true, CRASHING);
	submit(3);
	pd_os_sleep_us(PAUSE_US);
	ck_assert(!flag_of(&t.calls[2].arrived));
	release(1, ACT_OK);
	await(&t.calls[2].arrived);
	submit(4);
	pd_os_sleep_us(PAUSE_US);
	ck_assert(!flag_of(&t.calls[3].arrived) && !flag_of(&t.calls[4].arrived));
	release_all(ACT_OK);
	for (uint32_t n = 1; n <= 4; n++)
		ck_assert_int_eq(result(n), PD_SUB_OK);
	ck_assert_uint_eq(pd_suspects_count(t.suspects), 0);
}
END_TEST

/* Else a peer could send a request again before it hears that it is a suspect. */
START_TEST(no_reply_comes_before_the_announcement)
{
	make_warm(PD_USEC_PER_SEC);
	submit(1);
	submit(2);
	await(&t.calls[1].arrived);
	await(&t.calls[2].arrived);
	pthread_mutex_lock(&t.mutex);
	t.announce_gated = true;
	pthread_mutex_unlock(&t.mutex);
	release(1, ACT_CLOSE);
	await(&t.announcing);
	pd_os_sleep_us(PAUSE_US);
	ck_assert(!flag_of(&t.calls[1].done) && !flag_of(&t.calls[2].done));
	pthread_mutex_lock(&t.mutex);
	t.announce_gated = false;
	pthread_cond_broadcast(&t.changed);
	pthread_mutex_unlock(&t.mutex);
	ck_assert_int_eq(result(1), PD_SUB_LOST);
	ck_assert_int_eq(result(2), PD_SUB_LOST);
}
END_TEST

/* A silent connection alone is no crash, but an upstream that refuses new ones has crashed. */
START_TEST(silent_connection_and_refused_new_one_are_a_crash)
{
	int listener;

	make_warm(PD_USEC_PER_MSEC);
	listener = MHD_quiesce_daemon(t.daemon);
	pd_os_shutdown(listener);
	pd_os_close(&listener);
	submit(1); /* goes over the open connection */
	ck_assert_int_eq(result(1), PD_SUB_LOST);
	ck_assert(announced(1001, 1, t.calls[1].announced));
}
END_TEST

START_TEST(refused_connection_is_not_run)
{
	ck_assert_int_eq(run_with(1, ACT_OK), PD_SUB_OK);
	MHD_stop_daemon(t.daemon);
	t.daemon = NULL;
	submit(2);
	ck_assert_int_eq(result(2), PD_SUB_NO_UPSTREAM);
	ck_assert_uint_eq(pd_suspects_count(t.suspects), 0);
}
END_TEST

/* Guards against a silent connection that keeps its request until the deadline. */
START_TEST(silent_connection_is_given_up_for_idempotent_work)
{
	make_warm(PD_USEC_PER_MSEC);
	submit(1);
	await(&t.calls[1].arrived);
	ck_assert_int_eq(result(1), PD_SUB_LOST);
	ck_assert_uint_eq(t.announced_count, 0);
	await(&t.calls[1].cancel_seen);
	submit_request(2, "u0", PD_URGENT, LONG_US, false, 0);
	await(&t.calls[2].arrived);
	pd_os_sleep_us(2 * PD_UPSTREAM_MIN_REPLY_TIMEOUT_US);
	ck_assert(!flag_of(&t.calls[2].done));
	release(2, ACT_OK);
	ck_assert_int_eq(result(2), PD_SUB_OK);
}
END_TEST

/* The upstream may still run what was given up here; a cold one must not get a second request. */
START_TEST(given_up_request_occupies_the_upstream_until_its_deadline)
{
	int64_t begun_us;

	t.honours_cancel = false;
	t.cancel_fails = true;
	t.upstreams->cancel_timeout_us = PD_UPSTREAM_CANCEL_TIMEOUT_US;
	begun_us = pd_os_now_us();
	submit_request(1, "u0", PD_URGENT, PD_USEC_PER_SEC, true, 0);
	await(&t.calls[1].arrived);
	pd_upstreams_cancel(t.upstreams, 5, 1);
	ck_assert_int_eq(result(1), PD_SUB_LOST);
	release(2, ACT_OK);
	submit(2);
	ck_assert_int_eq(result(2), PD_SUB_OK);
	ck_assert_int_ge(pd_os_now_us() - begun_us,
			 PD_USEC_PER_SEC + PD_UPSTREAM_DEADLINE_MARGIN_US);
}
END_TEST

/*
 * The upstream may still run what got no reply until its deadline: timers and clocks of both sides
 * differ a little.
 */
START_TEST(request_without_reply_occupies_the_upstream_beyond_its_deadline)
{
	int64_t begun_us = pd_os_now_us();

	t.cancel_fails = true;
	submit_request(1, "u0", PD_URGENT, PD_USEC_PER_SEC / 5, false, 0);
	await(&t.calls[1].arrived);
	ck_assert_int_eq(result(1), PD_SUB_LATE);
	ck_assert_int_eq(run_with(2, ACT_OK), PD_SUB_OK);
	ck_assert_int_ge(pd_os_now_us() - begun_us,
			 PD_USEC_PER_SEC / 5 + PD_UPSTREAM_DEADLINE_MARGIN_US);
}
END_TEST

/*
 * A cancellation that overtakes its request finds nothing to stop. The request still arrives, so
 * its slot must not be given to another one.
 */
START_TEST(overtaking_cancellation_frees_no_slot)
{
	t.upstreams->cancel_timeout_us = PD_UPSTREAM_CANCEL_TIMEOUT_US;
	t.upstreams->deadline_margin_us = WAIT_US;
	t.delays_runs = true;
	submit(1);
	await(&t.calls[1].on_way);
	pd_upstreams_cancel(t.upstreams, 5, 1);
	ck_assert_int_eq(result(1), PD_SUB_LOST);
	await(&t.calls[1].cancel_seen);
	submit(2);
	pd_os_sleep_us(PAUSE_US);
	ck_assert(!flag_of(&t.calls[2].on_way));
	pthread_mutex_lock(&t.mutex);
	t.delays_runs = false;
	pthread_cond_broadcast(&t.changed);
	pthread_mutex_unlock(&t.mutex);
	/* The repeated cancellation stops it, which frees the slot long before the deadline. */
	release(2, ACT_OK);
	ck_assert_int_eq(result(2), PD_SUB_OK);
	ck_assert(flag_of(&t.calls[1].arrived));
	ck_assert_uint_eq(t.most_running, 1);
}
END_TEST

static void learn_outranking(struct pd_name *name)
{
	struct pd_member_record other = {.incarnation = 1};
	char text[16];
	uint32_t i = 0;

	do {
		snprintf(text, sizeof(text), "m%u", i++);
	} while (pd_rendezvous_score(PD_STR("u0"), pd_str_from(text)) <=
		 pd_rendezvous_score(PD_STR("u0"), PD_STR("self")));
	pd_name_set(&other.name, pd_str_from(text));
	pd_name_set(&other.zone, PD_STR("z"));
	pd_members_merge(t.members, &other, pd_os_now_us());
	pd_members_message_received(t.members, pd_name_str(&other.name), 1, pd_os_now_us());
	*name = other.name;
}

START_TEST(queued_work_is_not_sent_after_ownership_ended)
{
	struct pd_name other;

	submit(1);
	await(&t.calls[1].arrived);
	submit(2);
	learn_outranking(&other);
	ck_assert(!pd_upstreams_none_in_flight_for(t.upstreams, pd_name_str(&other)));
	ck_assert(pd_upstreams_none_in_flight_for(t.upstreams, PD_STR("nobody")));
	release_all(ACT_OK);
	ck_assert_int_eq(result(1), PD_SUB_OK);
	ck_assert_int_eq(result(2), PD_SUB_NOT_OWNER);
	ck_assert(!t.calls[2].arrived);
	ck_assert(pd_upstreams_none_in_flight_for(t.upstreams, pd_name_str(&other)));
}
END_TEST

/** struct race - a member that appears while the worker asks whether it may send */
static struct {
	pthread_t submitter;
	pthread_t granter;
	struct pd_name other;
	bool submitted_uncounted;
	bool dispatched_uncounted;
	bool begun;
	bool clear;
} race;

static void *grant_other(void *arg)
{
	(void)arg;
	race.clear = pd_upstreams_none_in_flight_for(t.upstreams, pd_name_str(&race.other));
	return NULL;
}

static struct pd_upstream *upstream_u0(void)
{
	struct pd_upstream *up = NULL;

	for (size_t i = 0; i < PD_UPSTREAM_HASH_BUCKETS && !up; i++)
		up = t.upstreams->table[i];
	return up;
}

/* The member becomes known right after the answer, and asks for its grant at once. */
static enum pd_ownership ask_in_race(struct pd_members *members, struct pd_str upstream,
				     struct pd_str zone, int64_t now_us, bool *first_with_silent,
				     int64_t *valid_until_us)
{
	enum pd_ownership answer = pd_members_ownership(members, upstream, zone, now_us,
							first_with_silent, valid_until_us);
	const struct pd_upstream *up;

	if (pthread_equal(pthread_self(), race.submitter)) {
		race.submitted_uncounted |= pd_upstreams_pending_count(t.upstreams) == 0;
		return answer;
	}
	/* This thread holds the mutex of the upstream. */
	up = upstream_u0();
	if (race.begun ||
	    (up->control.thread_running && pthread_equal(pthread_self(), up->control.thread)))
		return answer;
	race.dispatched_uncounted |= !up->dispatching;
	learn_outranking(&race.other);
	race.begun = true;
	ck_assert_int_eq(pthread_create(&race.granter, NULL, grant_other, NULL), 0);
	return answer;
}

START_TEST(request_counts_as_in_flight_before_the_ownership_is_asked_for)
{
	pthread_t granter;

	race.submitter = pthread_self();
	t.upstreams->ownership_fn = ask_in_race;
	submit(1);
	await(&t.calls[1].arrived);
	pthread_mutex_lock(&upstream_u0()->mutex);
	granter = race.granter;
	pthread_mutex_unlock(&upstream_u0()->mutex);
	pthread_join(granter, NULL);
	ck_assert(!race.clear);
	ck_assert(!race.dispatched_uncounted);
	ck_assert(!race.submitted_uncounted);
	release_all(ACT_OK);
	ck_assert_int_eq(result(1), PD_SUB_OK);
	submit(2);
	ck_assert_int_eq(result(2), PD_SUB_NOT_OWNER);
	ck_assert(pd_upstreams_none_in_flight_for(t.upstreams, pd_name_str(&race.other)));
	/* A request counts until its reply function has returned. */
	for (int64_t until = pd_os_now_us() + WAIT_US;
	     pd_upstreams_pending_count(t.upstreams) && pd_os_now_us() < until;)
		pd_os_sleep_us(PAUSE_US);
	ck_assert_uint_eq(pd_upstreams_pending_count(t.upstreams), 0);
}
END_TEST

/* Runs call @n as if the worker had been paused for @paused_us after the dispatch. */
static enum pd_substatus run_late(uint32_t n, int64_t deadline_us, int64_t lease_us,
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
	pd_exchange_run(client, &config->upstreams[0], job, WAIT_US, &exchange);
	ck_assert_int_eq(exchange.code, PD_OK);
	pd_http_client_close(client);
	pd_upstream_job_free(job);
	pd_config_put(config);
	return exchange.reply.status;
}

START_TEST(paused_owner_sends_nothing_beyond_its_lease)
{
	release_all(ACT_OK);
	ck_assert_int_eq(run_late(1, LONG_US, PD_USEC_PER_SEC, PD_USEC_PER_SEC), PD_SUB_NOT_OWNER);
	ck_assert_int_eq(run_late(2, PD_USEC_PER_SEC, PD_USEC_PER_SEC, PD_USEC_PER_SEC),
			 PD_SUB_DEADLINE);
	ck_assert(!t.calls[1].arrived && !t.calls[2].arrived);
	/* Within the lease, the upstream is told the time that is left of it. */
	ck_assert_int_eq(run_late(3, LONG_US, LONG_US, LONG_US / 3), PD_SUB_OK);
	ck_assert_int_le(t.calls[3].deadline_ms, LONG_US / 3 * 2 / PD_USEC_PER_MSEC);
	ck_assert_int_le(t.calls[3].deadline_at_ms,
			 pd_os_unix_ms() + LONG_US / 3 * 2 / PD_USEC_PER_MSEC);
}
END_TEST

START_TEST(draining_upstream_gets_no_new_work)
{
	uint32_t n;

	make_warm(PD_USEC_PER_SEC);
	submit(1);
	await(&t.calls[1].arrived);
	pthread_mutex_lock(&t.mutex);
	t.health = 503;
	for (n = 2; n < CALLS_MAX; n++)
		t.calls[n].action = ACT_OK;
	pthread_mutex_unlock(&t.mutex);
	/* Each answer is an event; the number of tries is bounded by the table of calls. */
	for (n = 2; n < CALLS_MAX - 1; n++) {
		submit(n);
		if (result(n) == PD_SUB_LEAVING)
			break;
		pd_os_sleep_us(10 * PD_USEC_PER_MSEC);
	}
	ck_assert_uint_lt(n, CALLS_MAX - 1);
	ck_assert(!t.calls[n].arrived);
	release(1, ACT_OK);
	ck_assert_int_eq(result(1), PD_SUB_OK);
}
END_TEST

START_TEST(deleted_upstream_finishes_what_is_in_flight)
{
	submit_request(1, "u1", PD_URGENT, LONG_US, true, 0);
	await(&t.calls[1].arrived);
	submit_request(2, "u1", PD_URGENT, LONG_US, true, 0);
	set_config(2, "", 1, 9);
	release_all(ACT_OK);
	ck_assert_int_eq(result(1), PD_SUB_OK);
	ck_assert_int_eq(result(2), PD_SUB_NO_UPSTREAM);
	ck_assert(!t.calls[2].arrived);
}
END_TEST

/* Connections of peers outlive the threads of the upstreams, and call them when they end. */
START_TEST(stopped_set_refuses_work_and_answers_peers)
{
	struct pd_name other;

	submit(1);
	await(&t.calls[1].arrived);
	learn_outranking(&other);
	pd_upstreams_stop(t.upstreams);
	ck_assert(t.calls[1].done);
	submit(2);
	ck_assert_int_eq(result(2), PD_SUB_NOT_OWNER);
	submit_request(3, "u1", PD_URGENT, LONG_US, true, 0);
	await(&t.calls[3].done);
	ck_assert(!t.calls[2].arrived && !t.calls[3].arrived);
	pd_upstreams_cancel(t.upstreams, 5, 1);
	pd_upstreams_cancel_origin(t.upstreams, 5);
	ck_assert(pd_upstreams_none_in_flight_for(t.upstreams, pd_name_str(&other)));
}
END_TEST

START_TEST(close_answers_everything)
{
	submit(1);
	await(&t.calls[1].arrived);
	submit(2);
	ck_assert_uint_eq(pd_upstreams_pending_count(t.upstreams), 2);
	pd_upstreams_close(t.upstreams);
	t.upstreams = NULL;
	ck_assert(t.calls[1].done && t.calls[2].done);
	ck_assert_int_eq(result(2), PD_SUB_LEAVING);
}
END_TEST

static TCase *make_cases(void)
{
	TCase *tcase = tcase_create("upstream");

	tcase_set_timeout(tcase, 60);
	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, reply_is_passed_on);
	tcase_add_test(tcase, cold_upstream_runs_one_at_a_time_by_urgency_and_deadline);
	tcase_add_test(tcase, connections_stay_within_the_configured_number);
	tcase_add_test(tcase, refusals_name_their_reason);
	tcase_add_test(tcase, work_that_cannot_finish_in_time_is_not_started);
	tcase_add_test(tcase, cold_upstream_starts_only_what_can_finish);
	tcase_add_test(tcase, cold_upstream_has_time_to_reply);
	tcase_add_test(tcase, cold_upstream_queues_no_hedge);
	tcase_add_test(tcase, long_queue_refuses_normal_work_only);
	tcase_add_test(tcase, urgent_work_displaces_the_last_normal_one_from_a_full_queue);
	tcase_add_test(tcase, cancellation_in_the_queue_is_immediate);
	tcase_add_test(tcase, cancellation_in_flight_keeps_the_connection);
	tcase_add_test(tcase, unanswered_cancellation_closes_the_connection);
	tcase_add_test(tcase, ended_connection_cancels_idempotent_work_only);
	tcase_add_test(tcase, request_from_within_a_reply_uses_the_open_connection);
	tcase_add_loop_test(tcase, reply_of_another_request_is_dropped, 0, 4);
	tcase_add_loop_test(tcase, error_replies_are_mapped, 0, 9);
	tcase_add_test(tcase, broken_connection_records_what_was_in_flight_first);
	tcase_add_test(tcase, suspect_runs_alone);
	tcase_add_test(tcase, no_reply_comes_before_the_announcement);
	tcase_add_test(tcase, silent_connection_and_refused_new_one_are_a_crash);
	tcase_add_test(tcase, refused_connection_is_not_run);
	tcase_add_test(tcase, silent_connection_is_given_up_for_idempotent_work);
	tcase_add_test(tcase, given_up_request_occupies_the_upstream_until_its_deadline);
	tcase_add_test(tcase, request_without_reply_occupies_the_upstream_beyond_its_deadline);
	tcase_add_test(tcase, overtaking_cancellation_frees_no_slot);
	tcase_add_test(tcase, queued_work_is_not_sent_after_ownership_ended);
	tcase_add_test(tcase, request_counts_as_in_flight_before_the_ownership_is_asked_for);
	tcase_add_test(tcase, paused_owner_sends_nothing_beyond_its_lease);
	tcase_add_test(tcase, draining_upstream_gets_no_new_work);
	tcase_add_test(tcase, deleted_upstream_finishes_what_is_in_flight);
	tcase_add_test(tcase, stopped_set_refuses_work_and_answers_peers);
	tcase_add_test(tcase, close_answers_everything);
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
