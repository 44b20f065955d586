/*
 * Guards the connections between instances: calls that are never answered or answered twice, broken
 * and silent connections that aren't noticed, members that don't find each other, a dead member
 * that stays owner, and links that take more memory than a large fleet leaves them. Real sockets on
 * loopback; the tests wait for events, with a generous limit.
 */
#include <check.h>
#include <ck_pr.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "counters.h"
#include "log.h"
#include "peers.h"

#define WAIT_US (20 * PD_USEC_PER_SEC)

/** struct instance - one entry instance of a test, with what its hooks saw */
struct instance {
	struct pd_members *members;
	struct pd_peers *peers;
	struct pd_peers_setup setup;
	pthread_mutex_t mutex;
	bool answer; /* sub-requests at once */
	bool twice; /* answers are duplicated */
	uint32_t received;
	uint32_t cancelled;
	uint32_t closed_links;
	uint32_t others;
	uint32_t indexes; /* that peers sent when they were greeted */
	uint64_t peer_version;
	uint64_t last_call;
	struct pd_link *last_link;
	bool clear;
};

struct outcome {
	pthread_mutex_t mutex;
	uint32_t replies;
	enum pd_substatus status;
	char body[64];
};

static struct outcome new_outcome(void)
{
	return (struct outcome){.mutex = PTHREAD_MUTEX_INITIALIZER};
}

static void on_reply(void *arg, const struct pd_msg_subreply *reply)
{
	struct outcome *outcome = arg;

	pthread_mutex_lock(&outcome->mutex);
	outcome->replies++;
	outcome->status = reply->status;
	pd_str_copy(reply->body, outcome->body, sizeof(outcome->body));
	pthread_mutex_unlock(&outcome->mutex);
}

static uint32_t replies(struct outcome *outcome)
{
	uint32_t n;

	pthread_mutex_lock(&outcome->mutex);
	n = outcome->replies;
	pthread_mutex_unlock(&outcome->mutex);
	return n;
}

#define WAIT_FOR(condition)                                                                        \
	do {                                                                                       \
		int64_t limit_us = pd_os_now_us() + WAIT_US;                                       \
		while (!(condition)) {                                                             \
			ck_assert_msg(pd_os_now_us() < limit_us,                                   \
				      "waited in vain for " #condition);                           \
			pd_os_sleep_us(2 * PD_USEC_PER_MSEC);                                      \
		}                                                                                  \
	} while (0)

static uint32_t read_u32(struct instance *i, const uint32_t *value)
{
	uint32_t v;

	pthread_mutex_lock(&i->mutex);
	v = *value;
	pthread_mutex_unlock(&i->mutex);
	return v;
}

static void set_flag(struct instance *i, bool *flag, bool value)
{
	pthread_mutex_lock(&i->mutex);
	*flag = value;
	pthread_mutex_unlock(&i->mutex);
}

static void send_reply(struct pd_link *link, uint64_t call, const char *body)
{
	struct pd_message msg = {.type = PD_MSG_SUBREPLY};

	msg.subreply.call = call;
	msg.subreply.body = pd_str_from(body);
	pd_link_send(link, &msg, NULL);
}

static void on_subrequest(void *arg, struct pd_link *link, const struct pd_msg_subrequest *req)
{
	struct instance *i = arg;

	pthread_mutex_lock(&i->mutex);
	i->received++;
	i->last_call = req->call;
	pd_link_put(i->last_link);
	i->last_link = pd_link_get(link);
	if (i->answer)
		send_reply(link, req->call, "[\"hit\"]");
	if (i->answer && i->twice)
		send_reply(link, req->call, "[\"again\"]");
	pthread_mutex_unlock(&i->mutex);
}

static void on_cancel(void *arg, uint64_t link_id, uint64_t call)
{
	struct instance *i = arg;
	struct pd_message msg = {.type = PD_MSG_SUBREPLY};

	pthread_mutex_lock(&i->mutex);
	if (i->last_link && pd_link_id(i->last_link) == link_id && i->last_call == call) {
		i->cancelled++;
		msg.subreply.call = call;
		msg.subreply.status = PD_SUB_CANCELLED;
		pd_link_send(i->last_link, &msg, NULL);
	}
	pthread_mutex_unlock(&i->mutex);
}

static void on_link_closed(void *arg, uint64_t link_id)
{
	struct instance *i = arg;

	pthread_mutex_lock(&i->mutex);
	if (i->last_link && pd_link_id(i->last_link) == link_id)
		i->closed_links++;
	pthread_mutex_unlock(&i->mutex);
}

static void on_other(void *arg, struct pd_link *link, const struct pd_message *msg)
{
	struct instance *i = arg;

	ck_assert_uint_ne(pd_link_id(link), 0);
	pthread_mutex_lock(&i->mutex);
	i->others += msg->type == PD_MSG_SUSPECT;
	i->indexes += msg->type == PD_MSG_INDEX && msg->index.snapshot == 41;
	pthread_mutex_unlock(&i->mutex);
}

static bool on_clear_for(void *arg, struct pd_str member)
{
	struct instance *i = arg;
	bool clear;

	ck_assert_uint_gt(member.len, 0);
	pthread_mutex_lock(&i->mutex);
	clear = i->clear;
	pthread_mutex_unlock(&i->mutex);
	return clear;
}

static uint64_t on_config_version(void *arg)
{
	const struct instance *i = arg;

	return i->setup.self.incarnation;
}

static void on_greeted(void *arg, struct pd_link *link)
{
	struct pd_message msg = {.type = PD_MSG_INDEX, .index = {.snapshot = 41, .buckets = 10}};

	pd_name_set(&msg.index.collection, PD_STR("c"));
	(void)arg;
	pd_link_send(link, &msg, NULL);
}

static void on_peer_version(void *arg, struct pd_link *link, uint64_t version)
{
	struct instance *i = arg;

	ck_assert_uint_ne(pd_link_id(link), 0);
	pthread_mutex_lock(&i->mutex);
	i->peer_version = version;
	pthread_mutex_unlock(&i->mutex);
}

static void open_newcomer(struct instance *i, const char *name, const char *zone,
			  uint64_t incarnation)
{
	memset(i, 0, sizeof(*i));
	pthread_mutex_init(&i->mutex, NULL);
	i->answer = true;
	i->clear = true;
	ck_assert(pd_name_set(&i->setup.self.name, pd_str_from(name)));
	ck_assert(pd_name_set(&i->setup.self.zone, pd_str_from(zone)));
	snprintf(i->setup.listen.ip, sizeof(i->setup.listen.ip), "127.0.0.1");
	i->setup.self.incarnation = incarnation;
	i->setup.hooks = (struct pd_peers_hooks){on_subrequest, on_cancel,	 on_link_closed,
						 on_other,	on_clear_for,	 on_config_version,
						 on_greeted,	on_peer_version, i};
	ck_assert_int_eq(pd_peers_open(&i->peers, &i->setup, NULL), PD_OK);
	i->setup.self.address = i->setup.listen;
	ck_assert_int_eq(pd_members_open(&i->members, &i->setup.self, pd_os_now_us(), NULL), PD_OK);
	i->setup.members = i->members;
}

/* As after a read of the platform's list. */
static void open_instance(struct instance *i, const char *name, const char *zone,
			  uint64_t incarnation)
{
	open_newcomer(i, name, zone, incarnation);
	pd_members_confirm(i->members);
}

static void add_seed(struct instance *i, const struct pd_address *address)
{
	i->setup.seeds.items[i->setup.seeds.count++] = *address;
}

static void start(struct instance *i)
{
	ck_assert_int_eq(pd_peers_start(i->peers, NULL), PD_OK);
}

static void close_instance(struct instance *i)
{
	pd_peers_close(i->peers);
	pd_members_close(i->members);
	pd_link_put(i->last_link);
	pthread_mutex_destroy(&i->mutex);
}

/* Two instances that know each other by a seed. */
static void open_pair(struct instance *a, struct instance *b, const char *zone_b)
{
	open_instance(a, "a", "z", 1);
	open_instance(b, "b", zone_b, 2);
	add_seed(b, &a->setup.listen);
	start(a);
	start(b);
}

static enum pd_code call(struct instance *from, const char *to, int64_t deadline_us,
			 struct outcome *outcome, uint64_t *id)
{
	struct pd_msg_subrequest request = {.service = PD_STR("s"),
					    .upstream = PD_STR("u"),
					    .idempotent = true,
					    .deadline_us = deadline_us};

	return pd_peers_subrequest(from->peers, pd_str_from(to), &request, on_reply, outcome, id,
				   NULL);
}

static enum pd_ownership ownership(struct instance *i, const char *upstream)
{
	bool first;
	int64_t until;

	return pd_members_ownership(i->members, pd_str_from(upstream),
				    pd_name_str(&i->setup.self.zone), pd_os_now_us(), &first,
				    &until);
}

static bool knows(struct instance *i, const char *name, enum pd_member_state state)
{
	struct pd_member_record record;

	return pd_members_find(i->members, pd_str_from(name), &record) && record.state == state;
}

START_TEST(calls_are_answered_once)
{
	struct instance a;
	struct instance b;
	struct outcome outcome = new_outcome();
	uint64_t late;
	uint64_t id;

	open_pair(&a, &b, "z");
	WAIT_FOR(pd_peers_count_connected(a.peers) == 1 && pd_peers_count_connected(b.peers) == 1);
	WAIT_FOR(call(&a, "b", 5 * PD_USEC_PER_SEC, &outcome, &id) == PD_OK);
	WAIT_FOR(replies(&outcome) == 1);
	ck_assert_int_eq(outcome.status, PD_SUB_OK);
	ck_assert_str_eq(outcome.body, "[\"hit\"]");
	/* The duplicate of a reply is counted and dropped. */
	set_flag(&b, &b.twice, true);
	late = pd_count_get(PD_COUNT_replies_late);
	ck_assert_int_eq(call(&a, "b", 5 * PD_USEC_PER_SEC, &outcome, &id), PD_OK);
	WAIT_FOR(pd_count_get(PD_COUNT_replies_late) == late + 1);
	ck_assert_uint_eq(replies(&outcome), 2);
	ck_assert_str_eq(outcome.body, "[\"hit\"]");
	ck_assert_int_eq(call(&a, "nobody", 1000, &outcome, &id), PD_UNREACHABLE);
	close_instance(&a);
	close_instance(&b);
	ck_assert_uint_eq(replies(&outcome), 2);
}
END_TEST

START_TEST(cancellation_reaches_the_owner_and_late_calls_are_lost)
{
	struct instance a;
	struct instance b;
	struct outcome outcome = new_outcome();
	uint64_t late;
	uint64_t id;

	open_pair(&a, &b, "z");
	set_flag(&b, &b.answer, false);
	WAIT_FOR(call(&a, "b", 60 * PD_USEC_PER_SEC, &outcome, &id) == PD_OK);
	WAIT_FOR(read_u32(&b, &b.received) == 1);
	pd_peers_cancel(a.peers, id);
	WAIT_FOR(replies(&outcome) == 1);
	ck_assert_int_eq(outcome.status, PD_SUB_CANCELLED);
	ck_assert_uint_eq(read_u32(&b, &b.cancelled), 1);
	pd_peers_cancel(a.peers, id); /* unknown by now */

	ck_assert_int_eq(call(&a, "b", 30 * PD_USEC_PER_MSEC, &outcome, &id), PD_OK);
	WAIT_FOR(replies(&outcome) == 2);
	ck_assert_int_eq(outcome.status, PD_SUB_LOST);
	WAIT_FOR(read_u32(&b, &b.received) == 2);
	late = pd_count_get(PD_COUNT_replies_late);
	send_reply(b.last_link, b.last_call, "[]");
	WAIT_FOR(pd_count_get(PD_COUNT_replies_late) == late + 1);
	ck_assert_uint_eq(replies(&outcome), 2);
	close_instance(&a);
	close_instance(&b);
}
END_TEST

START_TEST(broken_connection_loses_calls_and_is_replaced)
{
	struct instance a;
	struct instance b;
	struct outcome outcome = new_outcome();
	uint64_t id;

	open_pair(&a, &b, "z");
	set_flag(&b, &b.answer, false);
	WAIT_FOR(call(&a, "b", 60 * PD_USEC_PER_SEC, &outcome, &id) == PD_OK);
	WAIT_FOR(read_u32(&b, &b.received) == 1);
	pd_link_close(b.last_link);
	WAIT_FOR(replies(&outcome) == 1);
	ck_assert_int_eq(outcome.status, PD_SUB_LOST);
	WAIT_FOR(read_u32(&b, &b.closed_links) == 1);
	set_flag(&b, &b.answer, true);
	WAIT_FOR(call(&a, "b", 60 * PD_USEC_PER_SEC, &outcome, &id) == PD_OK);
	WAIT_FOR(replies(&outcome) == 2);
	ck_assert_int_eq(outcome.status, PD_SUB_OK);
	close_instance(&a);
	close_instance(&b);
}
END_TEST

START_TEST(ownership_follows_grants_and_death)
{
	struct instance a;
	struct instance b;
	int owned_a = 0;
	char upstream[16];

	open_pair(&a, &b, "z");
	WAIT_FOR(pd_peers_count_connected(a.peers) == 1 && pd_peers_count_connected(b.peers) == 1);
	for (int u = 0; u < 16; u++) {
		snprintf(upstream, sizeof(upstream), "u%d", u);
		WAIT_FOR((ownership(&a, upstream) == PD_OWNER_FULL) +
				 (ownership(&b, upstream) == PD_OWNER_FULL) ==
			 1);
		owned_a += ownership(&a, upstream) == PD_OWNER_FULL;
	}
	ck_assert_int_gt(owned_a, 0);
	ck_assert_int_lt(owned_a, 16);
	pthread_mutex_lock(&a.mutex);
	ck_assert_uint_eq(a.peer_version, 2);
	pthread_mutex_unlock(&a.mutex);
	/* Without goodbye: the refused connection proves its death, so nothing is shared. */
	close_instance(&b);
	WAIT_FOR(knows(&a, "b", PD_MEMBER_DEAD));
	for (int u = 0; u < 16; u++) {
		snprintf(upstream, sizeof(upstream), "u%d", u);
		ck_assert_int_eq(ownership(&a, upstream), PD_OWNER_FULL);
	}
	/* A new process with the same name is a new member. */
	open_instance(&b, "b", "z", 3);
	add_seed(&b, &a.setup.listen);
	start(&b);
	WAIT_FOR(knows(&a, "b", PD_MEMBER_LIVE));
	WAIT_FOR(pd_peers_count_connected(a.peers) == 1);
	close_instance(&a);
	close_instance(&b);
}
END_TEST

START_TEST(no_grant_while_requests_are_in_flight)
{
	struct instance a;
	struct instance b;
	uint64_t acks;

	open_instance(&a, "a", "z", 1);
	open_instance(&b, "b", "z", 2);
	b.clear = false;
	add_seed(&b, &a.setup.listen);
	start(&a);
	start(&b);
	WAIT_FOR(pd_peers_count_connected(a.peers) == 1 && pd_peers_count_connected(b.peers) == 1);
	acks = pd_count_get(PD_COUNT_peer_messages_in);
	WAIT_FOR(pd_count_get(PD_COUNT_peer_messages_in) > acks + 40);
	for (int u = 0; u < 16; u++) {
		char upstream[16];

		snprintf(upstream, sizeof(upstream), "u%d", u);
		ck_assert_int_ne(ownership(&a, upstream), PD_OWNER_FULL);
	}
	set_flag(&b, &b.clear, true);
	WAIT_FOR(ownership(&a, "u0") == PD_OWNER_FULL || ownership(&b, "u0") == PD_OWNER_FULL);
	close_instance(&a);
	close_instance(&b);
}
END_TEST

START_TEST(members_spread_and_goodbye_is_known_to_all)
{
	struct instance a;
	struct instance b;
	struct instance c;
	struct pd_message suspect = {.type = PD_MSG_SUSPECT, .suspect = {.fingerprint = 5}};
	struct pd_buf status;

	/* b and c know a only; c is in another zone. */
	open_pair(&a, &b, "z");
	open_instance(&c, "c", "far", 3);
	add_seed(&c, &a.setup.listen);
	start(&c);
	WAIT_FOR(knows(&b, "c", PD_MEMBER_LIVE) && knows(&c, "b", PD_MEMBER_LIVE));
	WAIT_FOR(pd_peers_count_connected(a.peers) == 1 && pd_peers_count_connected(b.peers) == 1);
	ck_assert_uint_eq(pd_peers_count_connected(c.peers), 0); /* own zone only */
	/* Both ends of a connection greet the other one, also across zones. */
	WAIT_FOR(read_u32(&a, &a.indexes) && read_u32(&b, &b.indexes));
	WAIT_FOR(read_u32(&c, &c.indexes));
	pd_buf_init(&status, 0);
	pd_peers_status(a.peers, &status);
	ck_assert_ptr_nonnull(
		strstr(status.data, "{\"name\":\"b\",\"zone\":\"z\",\"state\":\"live\""));
	pd_buf_finish(&status);
	pd_peers_broadcast(a.peers, &suspect, true);
	WAIT_FOR(read_u32(&b, &b.others) == 1);
	ck_assert_uint_eq(read_u32(&c, &c.others), 0);
	pd_peers_goodbye(b.peers, PD_USEC_PER_SEC);
	WAIT_FOR(knows(&a, "b", PD_MEMBER_LEAVING) && knows(&c, "b", PD_MEMBER_LEAVING));
	WAIT_FOR(ownership(&a, "u0") == PD_OWNER_FULL);
	ck_assert_int_eq(ownership(&b, "u0"), PD_OWNER_NO);
	close_instance(&a);
	close_instance(&b);
	close_instance(&c);
}
END_TEST

/** struct mute - accepts connections, says hello, and then answers nothing any more */
struct mute {
	struct pd_address address;
	int listener;
	int fd;
	uint64_t incarnation;
	uint32_t accepted; /* Concurrency Kit atomic */
	pthread_t thread;
};

static void say_hello(struct mute *mute)
{
	struct pd_message msg = {.type = PD_MSG_HELLO};
	struct pd_buf buf;

	pd_name_set(&msg.hello.self.name, PD_STR("mute"));
	pd_name_set(&msg.hello.self.zone, PD_STR("far"));
	msg.hello.self.address = mute->address;
	msg.hello.self.incarnation = mute->incarnation;
	pd_buf_init(&buf, 0);
	pd_message_encode(&msg, &buf, NULL);
	pd_os_write_full(mute->fd, buf.data, buf.len, NULL);
	pd_buf_finish(&buf);
}

/* Keeps the latest connection open, unread. */
static void *run_mute(void *arg)
{
	struct mute *mute = arg;
	int fd;

	while (!pd_os_accept(mute->listener, &fd, NULL)) {
		pd_os_close(&mute->fd);
		mute->fd = fd;
		if (mute->incarnation)
			say_hello(mute);
		ck_pr_inc_32(&mute->accepted);
	}
	return NULL;
}

static void start_mute(struct mute *mute, uint64_t incarnation)
{
	memset(mute, 0, sizeof(*mute));
	mute->fd = -1;
	mute->incarnation = incarnation;
	snprintf(mute->address.ip, sizeof(mute->address.ip), "127.0.0.1");
	ck_assert_int_eq(pd_os_listen(&mute->address, &mute->listener, NULL), PD_OK);
	ck_assert_int_eq(pd_os_thread_start(&mute->thread, "mute", run_mute, mute, NULL), PD_OK);
}

static void stop_mute(struct mute *mute)
{
	pd_os_shutdown(mute->listener);
	pthread_join(mute->thread, NULL);
	pd_os_close(&mute->listener);
	pd_os_close(&mute->fd);
}

static void learn_mute(struct instance *a, const struct mute *mute, const char *zone)
{
	struct pd_member_record record = {.incarnation = 1};

	pd_name_set(&record.name, PD_STR("mute"));
	pd_name_set(&record.zone, pd_str_from(zone));
	record.address = mute->address;
	pd_members_merge(a->members, &record, pd_os_now_us());
}

START_TEST(silent_connection_loses_calls_long_before_their_deadline)
{
	struct instance a;
	struct mute mute;
	struct outcome outcome = new_outcome();
	uint64_t silent = pd_count_get(PD_COUNT_peer_silent);
	int64_t start_us;
	uint64_t id;

	/* In another zone, so that nothing but the pending call makes silence matter. */
	start_mute(&mute, 1);
	open_instance(&a, "a", "z", 1);
	learn_mute(&a, &mute, "far");
	start(&a);
	WAIT_FOR(call(&a, "mute", 3600 * PD_USEC_PER_SEC, &outcome, &id) == PD_OK);
	start_us = pd_os_now_us();
	WAIT_FOR(replies(&outcome) == 1);
	ck_assert_int_eq(outcome.status, PD_SUB_LOST);
	ck_assert_int_ge(pd_os_now_us() - start_us,
			 PD_PEER_IDLE_TIMEOUT_US - 50 * PD_USEC_PER_MSEC);
	/* Without pending calls, 15 s of silence would pass. */
	ck_assert_int_lt(pd_os_now_us() - start_us, 10 * PD_USEC_PER_SEC);
	ck_assert_uint_ge(pd_count_get(PD_COUNT_peer_silent), silent + 1);
	WAIT_FOR(ck_pr_load_32(&mute.accepted) >= 2);
	close_instance(&a);
	stop_mute(&mute);
}
END_TEST

START_TEST(member_that_never_answers_is_silent_not_dead)
{
	struct instance a;
	struct mute mute;

	start_mute(&mute, 0);
	open_instance(&a, "a", "z", 1);
	learn_mute(&a, &mute, "z");
	start(&a);
	WAIT_FOR(ownership(&a, "u0") == PD_OWNER_SHARED);
	ck_assert(knows(&a, "mute", PD_MEMBER_LIVE));
	/* Nothing listens there any more: now it's proven. */
	stop_mute(&mute);
	WAIT_FOR(ownership(&a, "u0") == PD_OWNER_FULL);
	ck_assert(knows(&a, "mute", PD_MEMBER_DEAD));
	close_instance(&a);
}
END_TEST

START_TEST(refusal_by_a_route_proves_nothing)
{
	struct instance a;
	struct mute mute;
	struct pd_address closed = {.ip = "127.0.0.1"};
	int fd;

	/* A port that's free again refuses connections. */
	ck_assert_int_eq(pd_os_listen(&closed, &fd, NULL), PD_OK);
	pd_os_close(&fd);
	start_mute(&mute, 0);
	open_instance(&a, "a", "z", 1);
	learn_mute(&a, &mute, "z");
	pd_name_set(&a.setup.routes.items[0].name, PD_STR("mute"));
	a.setup.routes.items[0].address = closed;
	a.setup.routes.count = 1;
	start(&a);
	WAIT_FOR(ownership(&a, "u0") == PD_OWNER_SHARED);
	ck_assert(knows(&a, "mute", PD_MEMBER_LIVE));
	ck_assert_uint_eq(ck_pr_load_32(&mute.accepted), 0);
	close_instance(&a);
	stop_mute(&mute);
}
END_TEST

static void ignore_message(void *arg, struct pd_link *link, const struct pd_message *msg)
{
	(void)arg;
	(void)link;
	(void)msg;
}

static void count_closed(void *arg, struct pd_link *link, const struct pd_error *reason)
{
	(void)link;
	ck_assert_int_eq(reason->code, PD_CLOSED);
	ck_pr_inc_32(arg);
}

START_TEST(queue_of_a_link_is_bounded)
{
	static char body[32 * 1024];
	struct pd_message msg = {.type = PD_MSG_SUBREPLY,
				 .subreply = {.body = {body, sizeof(body)}}};
	struct mute mute;
	struct pd_link *link;
	uint32_t closed = 0;
	struct pd_link_handler handler = {ignore_message, count_closed, &closed};
	uint32_t sent = 0;
	enum pd_code code;
	int fd;

	start_mute(&mute, 0);
	ck_assert_int_eq(pd_os_connect(&mute.address, WAIT_US, &fd, NULL), PD_OK);
	ck_assert_int_eq(pd_link_start(&link, fd, &handler, 0, NULL), PD_OK);
	while (!(code = pd_link_send(link, &msg, NULL)) && sent < 10000)
		sent++;
	ck_assert_int_eq(code, PD_UNAVAILABLE);
	ck_assert_uint_ge(sent, 4096);
	ck_assert(!pd_link_flush(link, pd_os_now_us() + 20 * PD_USEC_PER_MSEC));
	pd_link_close(link);
	pd_link_close(link);
	ck_assert_int_eq(pd_link_send(link, &msg, NULL), PD_CLOSED);
	WAIT_FOR(ck_pr_load_32(&closed) == 1);
	pd_link_put(link);
	stop_mute(&mute);
}
END_TEST

#if !defined(__SANITIZE_THREAD__) && !defined(__SANITIZE_ADDRESS__)
/* A node may use 64 MB for control and has up to 2,000 links: one to and one from each other node.
 */
#define LINK_BYTES_MAX (64 * 1024 * 1024 / 2000)
#define LINKS	       200
#define FRAMES	       100

static long resident_bytes(void)
{
	FILE *file = fopen("/proc/self/statm", "r");
	long pages = 0;

	ck_assert(file);
	ck_assert_int_eq(fscanf(file, "%*s %ld", &pages), 1);
	fclose(file);
	return pages * sysconf(_SC_PAGESIZE);
}

static void send_heartbeats(struct pd_link *link, int far)
{
	struct pd_message msg = {.type = PD_MSG_HEARTBEAT};
	static char sink[64 * 1024];

	for (int i = 0; i < FRAMES; i++)
		ck_assert_int_eq(pd_link_send(link, &msg, NULL), PD_OK);
	ck_assert(pd_link_flush(link, pd_os_now_us() + WAIT_US));
	while (recv(far, sink, sizeof(sink), MSG_DONTWAIT) > 0)
		;
}

START_TEST(idle_links_stay_within_the_memory_for_control)
{
	uint32_t closed = 0;
	struct pd_link_handler handler = {ignore_message, count_closed, &closed};
	struct pd_link *links[LINKS];
	int far[LINKS];
	long before = resident_bytes();

	for (int i = 0; i < LINKS; i++) {
		int pair[2];

		ck_assert_int_eq(socketpair(AF_UNIX, SOCK_STREAM, 0, pair), 0);
		far[i] = pair[1];
		ck_assert_int_eq(pd_link_start(&links[i], pair[0], &handler, 0, NULL), PD_OK);
		send_heartbeats(links[i], far[i]);
	}
	ck_assert_int_le((resident_bytes() - before) / LINKS, LINK_BYTES_MAX);
	for (int i = 0; i < LINKS; i++) {
		pd_link_close(links[i]);
		pd_link_put(links[i]);
		pd_os_close(&far[i]);
	}
	WAIT_FOR(ck_pr_load_32(&closed) == LINKS);
}
END_TEST
#endif

START_TEST(another_member_at_the_address_proves_death)
{
	struct instance a;
	struct instance b;
	struct pd_member_record old = {.incarnation = 1};

	open_pair(&a, &b, "far");
	pd_name_set(&old.name, PD_STR("old"));
	pd_name_set(&old.zone, PD_STR("z"));
	old.address = b.setup.listen;
	pd_members_merge(a.members, &old, pd_os_now_us());
	WAIT_FOR(knows(&a, "old", PD_MEMBER_DEAD));
	WAIT_FOR(ownership(&a, "u0") == PD_OWNER_FULL);
	close_instance(&a);
	close_instance(&b);
}
END_TEST

START_TEST(member_taken_for_dead_comes_back)
{
	struct instance a;
	struct instance b;
	struct pd_member_record dead;

	open_pair(&a, &b, "z");
	WAIT_FOR(pd_peers_count_connected(a.peers) == 1 && pd_peers_count_connected(b.peers) == 1);
	ck_assert(pd_members_find(a.members, PD_STR("b"), &dead));
	dead.state = PD_MEMBER_DEAD;
	pd_members_merge(a.members, &dead, pd_os_now_us());
	ck_assert(knows(&a, "b", PD_MEMBER_DEAD));
	WAIT_FOR(knows(&a, "b", PD_MEMBER_LIVE));
	WAIT_FOR(pd_members_self(b.members).incarnation == dead.incarnation + 1);
	WAIT_FOR(ownership(&a, "u0") == PD_OWNER_FULL || ownership(&b, "u0") == PD_OWNER_FULL);
	WAIT_FOR(pd_peers_count_connected(a.peers) == 1 && pd_peers_count_connected(b.peers) == 1);
	close_instance(&a);
	close_instance(&b);
}
END_TEST

START_TEST(newcomer_owns_nothing_until_a_member_grants)
{
	struct instance a;
	struct instance b;

	open_newcomer(&a, "a", "z", 1);
	open_newcomer(&b, "b", "z", 2);
	add_seed(&b, &a.setup.listen);
	start(&a);
	start(&b);
	WAIT_FOR(pd_peers_count_connected(a.peers) == 1 && pd_peers_count_connected(b.peers) == 1);
	/* Both know the same, but neither knows whether that's all. */
	pd_os_sleep_us(3 * PD_HEARTBEAT_INTERVAL_US);
	ck_assert_int_le(ownership(&a, "u0"), PD_OWNER_PENDING);
	ck_assert_int_le(ownership(&b, "u0"), PD_OWNER_PENDING);
	pd_members_confirm(a.members);
	WAIT_FOR(pd_members_confirmed(b.members));
	WAIT_FOR(ownership(&a, "u0") == PD_OWNER_FULL || ownership(&b, "u0") == PD_OWNER_FULL);
	close_instance(&a);
	close_instance(&b);
}
END_TEST

START_TEST(malformed_frames_end_the_connection)
{
	struct instance a;
	uint64_t bad = pd_count_get(PD_COUNT_peer_bad_frames);
	static const char *const frames[] = {"\x00\x00\x00\x01\xff", "\x7f\xff\xff\xff"};
	static const size_t lengths[] = {5, 4};
	int fd;
	char byte;

	open_instance(&a, "a", "z", 1);
	start(&a);
	for (int i = 0; i < 2; i++) {
		ck_assert_int_eq(pd_os_connect(&a.setup.listen, WAIT_US, &fd, NULL), PD_OK);
		pd_os_set_io_timeout(fd, WAIT_US);
		ck_assert_int_eq(pd_os_write_full(fd, frames[i], lengths[i], NULL), PD_OK);
		ck_assert_int_eq(pd_os_read_full(fd, &byte, 1, NULL), PD_CLOSED);
		pd_os_close(&fd);
	}
	ck_assert_uint_eq(pd_count_get(PD_COUNT_peer_bad_frames), bad + 2);
	close_instance(&a);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("peers");
	TCase *tcase = tcase_create("peers");
	SRunner *runner = srunner_create(suite);
	int failed;

	pd_log_open("test", PD_LOG_ERROR);
	tcase_set_timeout(tcase, 60);
	tcase_add_test(tcase, calls_are_answered_once);
	tcase_add_test(tcase, cancellation_reaches_the_owner_and_late_calls_are_lost);
	tcase_add_test(tcase, broken_connection_loses_calls_and_is_replaced);
	tcase_add_test(tcase, ownership_follows_grants_and_death);
	tcase_add_test(tcase, no_grant_while_requests_are_in_flight);
	tcase_add_test(tcase, members_spread_and_goodbye_is_known_to_all);
	tcase_add_test(tcase, silent_connection_loses_calls_long_before_their_deadline);
	tcase_add_test(tcase, member_that_never_answers_is_silent_not_dead);
	tcase_add_test(tcase, refusal_by_a_route_proves_nothing);
	tcase_add_test(tcase, queue_of_a_link_is_bounded);
#if !defined(__SANITIZE_THREAD__) && !defined(__SANITIZE_ADDRESS__)
	/* Sanitizers need more memory themselves. */
	tcase_add_test(tcase, idle_links_stay_within_the_memory_for_control);
#endif
	tcase_add_test(tcase, another_member_at_the_address_proves_death);
	tcase_add_test(tcase, member_taken_for_dead_comes_back);
	tcase_add_test(tcase, newcomer_owns_nothing_until_a_member_grants);
	tcase_add_test(tcase, malformed_frames_end_the_connection);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
