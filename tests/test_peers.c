/*
 * Guards the connections between instances against calls that get no reply or two, closed and
 * half-open connections that are not detected, members that do not find each other, a dead member
 * that keeps its ownership, and links that use too much memory in a large fleet. The tests use
 * real sockets on the loopback interface and wait up to WAIT_US for each event.
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

/** struct instance - an entry instance of a test, with a record of its callbacks */
struct instance {
	struct pd_members *members;
	struct pd_peers *peers;
	struct pd_peers_setup setup;
	pthread_mutex_t mutex;
	bool auto_reply; /* replies to sub-requests at once */
	bool duplicate_replies; /* sends each reply twice */
	uint32_t received; /* number of received sub-requests */
	uint32_t cancelled; /* number of cancellations of the last sub-request */
	uint32_t closed_links; /* number of times that the link of the last sub-request closed */
	uint32_t suspects_received; /* number of received suspect messages */
	uint32_t indexes_received; /* number of index messages received after the hello of a peer */
	uint64_t peer_version; /* configuration version that a peer last reported */
	uint64_t last_call; /* call id of the last sub-request */
	struct pd_link *last_link; /* link of the last sub-request; holds a reference */
	bool none_in_flight; /* result of the callback no_requests_in_flight_for */
};

/** struct outcome - replies to the calls of a test */
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

static uint32_t reply_count(struct outcome *outcome)
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
				      "timed out while waiting for " #condition);                  \
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
	if (i->auto_reply)
		send_reply(link, req->call, "[\"hit\"]");
	if (i->auto_reply && i->duplicate_replies)
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

static void on_other_message(void *arg, struct pd_link *link, const struct pd_message *msg)
{
	struct instance *i = arg;

	ck_assert_uint_ne(pd_link_id(link), 0);
	pthread_mutex_lock(&i->mutex);
	i->suspects_received += msg->type == PD_MSG_SUSPECT;
	i->indexes_received += msg->type == PD_MSG_INDEX && msg->index.snapshot == 41;
	pthread_mutex_unlock(&i->mutex);
}

static bool on_in_flight_check(void *arg, struct pd_str member)
{
	struct instance *i = arg;
	bool none_in_flight;

	ck_assert_uint_gt(member.len, 0);
	pthread_mutex_lock(&i->mutex);
	none_in_flight = i->none_in_flight;
	pthread_mutex_unlock(&i->mutex);
	return none_in_flight;
}

static uint64_t on_config_version(void *arg)
{
	const struct instance *i = arg;

	return i->setup.self.incarnation;
}

static void on_hello_received(void *arg, struct pd_link *link)
{
	struct pd_message msg = {.type = PD_MSG_INDEX, .index = {.snapshot = 41, .buckets = 10}};

	pd_name_set(&msg.index.collection, PD_STR("c"));
	(void)arg;
	pd_link_send(link, &msg, NULL);
}

static void on_peer_config_version(void *arg, struct pd_link *link, uint64_t version)
{
	struct instance *i = arg;

	ck_assert_uint_ne(pd_link_id(link), 0);
	pthread_mutex_lock(&i->mutex);
	i->peer_version = version;
	pthread_mutex_unlock(&i->mutex);
}

static void open_unconfirmed_instance(struct instance *i, const char *name, const char *zone,
				      uint64_t incarnation)
{
	memset(i, 0, sizeof(*i));
	pthread_mutex_init(&i->mutex, NULL);
	i->auto_reply = true;
	i->none_in_flight = true;
	ck_assert(pd_name_set(&i->setup.self.name, pd_str_from(name)));
	ck_assert(pd_name_set(&i->setup.self.zone, pd_str_from(zone)));
	snprintf(i->setup.listen.ip, sizeof(i->setup.listen.ip), "127.0.0.1");
	i->setup.self.incarnation = incarnation;
	i->setup.hooks = (struct pd_peers_hooks){on_subrequest,
						 on_cancel,
						 on_link_closed,
						 on_other_message,
						 on_in_flight_check,
						 on_config_version,
						 on_hello_received,
						 on_peer_config_version,
						 i};
	ck_assert_int_eq(pd_peers_open(&i->peers, &i->setup, NULL), PD_OK);
	i->setup.self.address = i->setup.listen;
	ck_assert_int_eq(pd_members_open(&i->members, &i->setup.self, pd_os_now_us(), NULL), PD_OK);
	i->setup.members = i->members;
}

/* Opens an instance with a confirmed member table, as after it has read the platform's list. */
static void open_instance(struct instance *i, const char *name, const char *zone,
			  uint64_t incarnation)
{
	open_unconfirmed_instance(i, name, zone, incarnation);
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

/* Starts two instances; b has a as its seed. */
static void open_pair(struct instance *a, struct instance *b, const char *zone_b)
{
	open_instance(a, "a", "z", 1);
	open_instance(b, "b", zone_b, 2);
	add_seed(b, &a->setup.listen);
	start(a);
	start(b);
}

static enum pd_code send_call(struct instance *from, const char *to, int64_t deadline_us,
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

static bool has_member_in_state(struct instance *i, const char *name, enum pd_member_state state)
{
	struct pd_member_record record;

	return pd_members_find(i->members, pd_str_from(name), &record) && record.state == state;
}

START_TEST(each_call_gets_one_reply)
{
	struct instance a;
	struct instance b;
	struct outcome outcome = new_outcome();
	uint64_t late;
	uint64_t id;

	open_pair(&a, &b, "z");
	WAIT_FOR(pd_peers_count_connected(a.peers) == 1 && pd_peers_count_connected(b.peers) == 1);
	WAIT_FOR(send_call(&a, "b", 5 * PD_USEC_PER_SEC, &outcome, &id) == PD_OK);
	WAIT_FOR(reply_count(&outcome) == 1);
	ck_assert_int_eq(outcome.status, PD_SUB_OK);
	ck_assert_str_eq(outcome.body, "[\"hit\"]");
	/* A duplicate reply is counted as late and dropped. */
	set_flag(&b, &b.duplicate_replies, true);
	late = pd_count_get(PD_COUNT_replies_late);
	ck_assert_int_eq(send_call(&a, "b", 5 * PD_USEC_PER_SEC, &outcome, &id), PD_OK);
	WAIT_FOR(pd_count_get(PD_COUNT_replies_late) == late + 1);
	ck_assert_uint_eq(reply_count(&outcome), 2);
	ck_assert_str_eq(outcome.body, "[\"hit\"]");
	ck_assert_int_eq(send_call(&a, "nobody", 1000, &outcome, &id), PD_UNREACHABLE);
	close_instance(&a);
	close_instance(&b);
	ck_assert_uint_eq(reply_count(&outcome), 2);
}
END_TEST

START_TEST(cancellation_reaches_the_peer_and_late_calls_expire)
{
	struct instance a;
	struct instance b;
	struct outcome outcome = new_outcome();
	uint64_t late;
	uint64_t id;

	open_pair(&a, &b, "z");
	set_flag(&b, &b.auto_reply, false);
	WAIT_FOR(send_call(&a, "b", 60 * PD_USEC_PER_SEC, &outcome, &id) == PD_OK);
	WAIT_FOR(read_u32(&b, &b.received) == 1);
	pd_peers_cancel(a.peers, id);
	WAIT_FOR(reply_count(&outcome) == 1);
	ck_assert_int_eq(outcome.status, PD_SUB_CANCELLED);
	ck_assert_uint_eq(read_u32(&b, &b.cancelled), 1);
	pd_peers_cancel(a.peers, id); /* has ended already, so this does nothing */

	ck_assert_int_eq(send_call(&a, "b", 30 * PD_USEC_PER_MSEC, &outcome, &id), PD_OK);
	WAIT_FOR(reply_count(&outcome) == 2);
	ck_assert_int_eq(outcome.status, PD_SUB_LOST);
	WAIT_FOR(read_u32(&b, &b.received) == 2);
	late = pd_count_get(PD_COUNT_replies_late);
	send_reply(b.last_link, b.last_call, "[]");
	WAIT_FOR(pd_count_get(PD_COUNT_replies_late) == late + 1);
	ck_assert_uint_eq(reply_count(&outcome), 2);
	close_instance(&a);
	close_instance(&b);
}
END_TEST

/* Guards against a pending call that waits for its deadline although its connection has closed. */
START_TEST(closed_connection_ends_calls_and_is_reopened)
{
	struct instance a;
	struct instance b;
	struct outcome outcome = new_outcome();
	uint64_t id;

	open_pair(&a, &b, "z");
	set_flag(&b, &b.auto_reply, false);
	WAIT_FOR(send_call(&a, "b", 60 * PD_USEC_PER_SEC, &outcome, &id) == PD_OK);
	WAIT_FOR(read_u32(&b, &b.received) == 1);
	pd_link_close(b.last_link);
	WAIT_FOR(reply_count(&outcome) == 1);
	ck_assert_int_eq(outcome.status, PD_SUB_LOST);
	WAIT_FOR(read_u32(&b, &b.closed_links) == 1);
	set_flag(&b, &b.auto_reply, true);
	WAIT_FOR(send_call(&a, "b", 60 * PD_USEC_PER_SEC, &outcome, &id) == PD_OK);
	WAIT_FOR(reply_count(&outcome) == 2);
	ck_assert_int_eq(outcome.status, PD_SUB_OK);
	close_instance(&a);
	close_instance(&b);
}
END_TEST

/* Guards against an upstream with two owners, or with none after its owner has died. */
START_TEST(ownership_follows_grants_and_death_of_members)
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
	/* b ends without a goodbye message. Its address then refuses connections, which proves that
	 * it is dead, so a owns all upstreams alone. */
	close_instance(&b);
	WAIT_FOR(has_member_in_state(&a, "b", PD_MEMBER_DEAD));
	for (int u = 0; u < 16; u++) {
		snprintf(upstream, sizeof(upstream), "u%d", u);
		ck_assert_int_eq(ownership(&a, upstream), PD_OWNER_FULL);
	}
	/* A new process with the same name and a higher incarnation becomes a live member. */
	open_instance(&b, "b", "z", 3);
	add_seed(&b, &a.setup.listen);
	start(&b);
	WAIT_FOR(has_member_in_state(&a, "b", PD_MEMBER_LIVE));
	WAIT_FOR(pd_peers_count_connected(a.peers) == 1);
	close_instance(&a);
	close_instance(&b);
}
END_TEST

/* Guards against a second owner while the previous one still has requests in flight. */
START_TEST(no_grant_while_requests_are_in_flight)
{
	struct instance a;
	struct instance b;
	uint64_t messages_in;

	open_instance(&a, "a", "z", 1);
	open_instance(&b, "b", "z", 2);
	b.none_in_flight = false;
	add_seed(&b, &a.setup.listen);
	start(&a);
	start(&b);
	WAIT_FOR(pd_peers_count_connected(a.peers) == 1 && pd_peers_count_connected(b.peers) == 1);
	messages_in = pd_count_get(PD_COUNT_peer_messages_in);
	WAIT_FOR(pd_count_get(PD_COUNT_peer_messages_in) > messages_in + 40);
	for (int u = 0; u < 16; u++) {
		char upstream[16];

		snprintf(upstream, sizeof(upstream), "u%d", u);
		ck_assert_int_ne(ownership(&a, upstream), PD_OWNER_FULL);
	}
	set_flag(&b, &b.none_in_flight, true);
	WAIT_FOR(ownership(&a, "u0") == PD_OWNER_FULL || ownership(&b, "u0") == PD_OWNER_FULL);
	close_instance(&a);
	close_instance(&b);
}
END_TEST

START_TEST(members_and_shutdown_are_gossiped_to_all)
{
	struct instance a;
	struct instance b;
	struct instance c;
	struct pd_message suspect = {.type = PD_MSG_SUSPECT, .suspect = {.fingerprint = 5}};
	struct pd_buf status;

	/* b and c have only a as their seed; c is in another zone. */
	open_pair(&a, &b, "z");
	open_instance(&c, "c", "far", 3);
	add_seed(&c, &a.setup.listen);
	start(&c);
	WAIT_FOR(has_member_in_state(&b, "c", PD_MEMBER_LIVE) &&
		 has_member_in_state(&c, "b", PD_MEMBER_LIVE));
	WAIT_FOR(pd_peers_count_connected(a.peers) == 1 && pd_peers_count_connected(b.peers) == 1);
	ck_assert_uint_eq(pd_peers_count_connected(c.peers), 0); /* own zone only */
	/* Both ends of a connection call the hello callback, also between zones. */
	WAIT_FOR(read_u32(&a, &a.indexes_received) && read_u32(&b, &b.indexes_received));
	WAIT_FOR(read_u32(&c, &c.indexes_received));
	pd_buf_init(&status, 0);
	pd_peers_status(a.peers, &status);
	ck_assert_ptr_nonnull(
		strstr(status.data, "{\"name\":\"b\",\"zone\":\"z\",\"state\":\"live\""));
	pd_buf_finish(&status);
	pd_peers_broadcast(a.peers, &suspect, true);
	WAIT_FOR(read_u32(&b, &b.suspects_received) == 1);
	ck_assert_uint_eq(read_u32(&c, &c.suspects_received), 0);
	pd_peers_goodbye(b.peers, PD_USEC_PER_SEC);
	WAIT_FOR(has_member_in_state(&a, "b", PD_MEMBER_LEAVING) &&
		 has_member_in_state(&c, "b", PD_MEMBER_LEAVING));
	WAIT_FOR(ownership(&a, "u0") == PD_OWNER_FULL);
	ck_assert_int_eq(ownership(&b, "u0"), PD_OWNER_NO);
	close_instance(&a);
	close_instance(&b);
	close_instance(&c);
}
END_TEST

/** struct silent_peer - member "mute", which sends at most a hello on each connection */
struct silent_peer {
	struct pd_address address;
	int listener;
	int fd;
	uint64_t incarnation; /* sent in the hello; 0 means that no hello is sent */
	uint32_t accepted; /* number of accepted connections; atomic */
	pthread_t thread;
};

static void send_hello(struct silent_peer *silent_peer)
{
	struct pd_message msg = {.type = PD_MSG_HELLO};
	struct pd_buf buf;

	pd_name_set(&msg.hello.self.name, PD_STR("mute"));
	pd_name_set(&msg.hello.self.zone, PD_STR("far"));
	msg.hello.self.address = silent_peer->address;
	msg.hello.self.incarnation = silent_peer->incarnation;
	pd_buf_init(&buf, 0);
	pd_message_encode(&msg, &buf, NULL);
	pd_os_write_full(silent_peer->fd, buf.data, buf.len, NULL);
	pd_buf_finish(&buf);
}

/* Keeps the latest connection open without reading from it. */
static void *run_silent_peer(void *arg)
{
	struct silent_peer *silent_peer = arg;
	int fd;

	while (!pd_os_accept(silent_peer->listener, &fd, NULL)) {
		pd_os_close(&silent_peer->fd);
		silent_peer->fd = fd;
		if (silent_peer->incarnation)
			send_hello(silent_peer);
		ck_pr_inc_32(&silent_peer->accepted);
	}
	return NULL;
}

static void start_silent_peer(struct silent_peer *silent_peer, uint64_t incarnation)
{
	memset(silent_peer, 0, sizeof(*silent_peer));
	silent_peer->fd = -1;
	silent_peer->incarnation = incarnation;
	snprintf(silent_peer->address.ip, sizeof(silent_peer->address.ip), "127.0.0.1");
	ck_assert_int_eq(pd_os_listen(&silent_peer->address, &silent_peer->listener, NULL), PD_OK);
	ck_assert_int_eq(pd_os_thread_start(&silent_peer->thread, "mute", run_silent_peer,
					    silent_peer, NULL),
			 PD_OK);
}

static void stop_silent_peer(struct silent_peer *silent_peer)
{
	pd_os_shutdown(silent_peer->listener);
	pthread_join(silent_peer->thread, NULL);
	pd_os_close(&silent_peer->listener);
	pd_os_close(&silent_peer->fd);
}

static void add_silent_peer(struct instance *a, const struct silent_peer *silent_peer,
			    const char *zone)
{
	struct pd_member_record record = {.incarnation = 1};

	pd_name_set(&record.name, PD_STR("mute"));
	pd_name_set(&record.zone, pd_str_from(zone));
	record.address = silent_peer->address;
	pd_members_merge(a->members, &record, pd_os_now_us());
}

/* Guards against a half-open connection, on which nothing is received, that keeps a call pending
 * until its deadline. */
START_TEST(idle_timeout_ends_calls_before_their_deadline)
{
	struct instance a;
	struct silent_peer silent_peer;
	struct outcome outcome = new_outcome();
	uint64_t silent = pd_count_get(PD_COUNT_peer_silent);
	int64_t start_us;
	uint64_t id;

	/* The peer is in another zone, so that only the pending call causes the short idle timeout.
	 */
	start_silent_peer(&silent_peer, 1);
	open_instance(&a, "a", "z", 1);
	add_silent_peer(&a, &silent_peer, "far");
	start(&a);
	WAIT_FOR(send_call(&a, "mute", 3600 * PD_USEC_PER_SEC, &outcome, &id) == PD_OK);
	start_us = pd_os_now_us();
	WAIT_FOR(reply_count(&outcome) == 1);
	ck_assert_int_eq(outcome.status, PD_SUB_LOST);
	ck_assert_int_ge(pd_os_now_us() - start_us,
			 PD_PEER_IDLE_TIMEOUT_US - 50 * PD_USEC_PER_MSEC);
	/* Without pending calls, the idle timeout would be 15 s. */
	ck_assert_int_lt(pd_os_now_us() - start_us, 10 * PD_USEC_PER_SEC);
	ck_assert_uint_ge(pd_count_get(PD_COUNT_peer_silent), silent + 1);
	WAIT_FOR(ck_pr_load_32(&silent_peer.accepted) >= 2);
	close_instance(&a);
	stop_silent_peer(&silent_peer);
}
END_TEST

/*
 * Guards against an instance that takes full ownership because a member does not respond: the
 * member may only be slow and still own the upstreams. A refused connection proves that it is
 * dead.
 */
START_TEST(unresponsive_member_stays_live)
{
	struct instance a;
	struct silent_peer silent_peer;

	start_silent_peer(&silent_peer, 0);
	open_instance(&a, "a", "z", 1);
	add_silent_peer(&a, &silent_peer, "z");
	start(&a);
	WAIT_FOR(ownership(&a, "u0") == PD_OWNER_SHARED);
	ck_assert(has_member_in_state(&a, "mute", PD_MEMBER_LIVE));
	/* Nothing listens at the address any more, which proves that the member is dead. */
	stop_silent_peer(&silent_peer);
	WAIT_FOR(ownership(&a, "u0") == PD_OWNER_FULL);
	ck_assert(has_member_in_state(&a, "mute", PD_MEMBER_DEAD));
	close_instance(&a);
}
END_TEST

/* Guards against a member recorded as dead because a route, not its own address, refuses
 * connections.
 */
START_TEST(connection_refused_by_a_route_does_not_prove_death)
{
	struct instance a;
	struct silent_peer silent_peer;
	struct pd_address closed = {.ip = "127.0.0.1"};
	int fd;

	/* The port is closed again and refuses connections. */
	ck_assert_int_eq(pd_os_listen(&closed, &fd, NULL), PD_OK);
	pd_os_close(&fd);
	start_silent_peer(&silent_peer, 0);
	open_instance(&a, "a", "z", 1);
	add_silent_peer(&a, &silent_peer, "z");
	pd_name_set(&a.setup.routes.items[0].name, PD_STR("mute"));
	a.setup.routes.items[0].address = closed;
	a.setup.routes.count = 1;
	start(&a);
	WAIT_FOR(ownership(&a, "u0") == PD_OWNER_SHARED);
	ck_assert(has_member_in_state(&a, "mute", PD_MEMBER_LIVE));
	ck_assert_uint_eq(ck_pr_load_32(&silent_peer.accepted), 0);
	close_instance(&a);
	stop_silent_peer(&silent_peer);
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

START_TEST(send_queue_of_a_link_is_bounded)
{
	static char body[32 * 1024];
	struct pd_message msg = {.type = PD_MSG_SUBREPLY,
				 .subreply = {.body = {body, sizeof(body)}}};
	struct silent_peer silent_peer;
	struct pd_link *link;
	uint32_t closed = 0;
	struct pd_link_handler handler = {ignore_message, count_closed, &closed};
	uint32_t sent = 0;
	enum pd_code code;
	int fd;

	start_silent_peer(&silent_peer, 0);
	ck_assert_int_eq(pd_os_connect(&silent_peer.address, WAIT_US, &fd, NULL), PD_OK);
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
	stop_silent_peer(&silent_peer);
}
END_TEST

#if !defined(__SANITIZE_THREAD__) && !defined(__SANITIZE_ADDRESS__)
/* An instance may use 64 MB of memory for control traffic and has up to 2,000 links, one to and one
 * from each other instance. */
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

static void send_heartbeats(struct pd_link *link, int remote_fd)
{
	struct pd_message msg = {.type = PD_MSG_HEARTBEAT};
	static char discarded[64 * 1024];

	for (int i = 0; i < FRAMES; i++)
		ck_assert_int_eq(pd_link_send(link, &msg, NULL), PD_OK);
	ck_assert(pd_link_flush(link, pd_os_now_us() + WAIT_US));
	while (recv(remote_fd, discarded, sizeof(discarded), MSG_DONTWAIT) > 0)
		;
}

START_TEST(idle_links_stay_within_the_memory_limit)
{
	uint32_t closed = 0;
	struct pd_link_handler handler = {ignore_message, count_closed, &closed};
	struct pd_link *links[LINKS];
	int remote_fds[LINKS];
	long before = resident_bytes();

	for (int i = 0; i < LINKS; i++) {
		int pair[2];

		ck_assert_int_eq(socketpair(AF_UNIX, SOCK_STREAM, 0, pair), 0);
		remote_fds[i] = pair[1];
		ck_assert_int_eq(pd_link_start(&links[i], pair[0], &handler, 0, NULL), PD_OK);
		send_heartbeats(links[i], remote_fds[i]);
	}
	ck_assert_int_le((resident_bytes() - before) / LINKS, LINK_BYTES_MAX);
	for (int i = 0; i < LINKS; i++) {
		pd_link_close(links[i]);
		pd_link_put(links[i]);
		pd_os_close(&remote_fds[i]);
	}
	WAIT_FOR(ck_pr_load_32(&closed) == LINKS);
}
END_TEST
#endif

START_TEST(later_member_at_the_address_proves_death)
{
	struct instance a;
	struct instance b;
	struct pd_member_record old = {.incarnation = 1};

	open_pair(&a, &b, "far");
	pd_name_set(&old.name, PD_STR("old"));
	pd_name_set(&old.zone, PD_STR("z"));
	old.address = b.setup.listen;
	pd_members_merge(a.members, &old, pd_os_now_us());
	WAIT_FOR(has_member_in_state(&a, "old", PD_MEMBER_DEAD));
	WAIT_FOR(ownership(&a, "u0") == PD_OWNER_FULL);
	close_instance(&a);
	close_instance(&b);
}
END_TEST

/* Guards against a live member that stays dead in the tables of its peers: it has to raise its
 * incarnation. */
START_TEST(live_member_recorded_as_dead_recovers)
{
	struct instance a;
	struct instance b;
	struct pd_member_record dead;

	open_pair(&a, &b, "z");
	WAIT_FOR(pd_peers_count_connected(a.peers) == 1 && pd_peers_count_connected(b.peers) == 1);
	ck_assert(pd_members_find(a.members, PD_STR("b"), &dead));
	dead.state = PD_MEMBER_DEAD;
	pd_members_merge(a.members, &dead, pd_os_now_us());
	ck_assert(has_member_in_state(&a, "b", PD_MEMBER_DEAD));
	WAIT_FOR(has_member_in_state(&a, "b", PD_MEMBER_LIVE));
	WAIT_FOR(pd_members_self(b.members).incarnation == dead.incarnation + 1);
	WAIT_FOR(ownership(&a, "u0") == PD_OWNER_FULL || ownership(&b, "u0") == PD_OWNER_FULL);
	WAIT_FOR(pd_peers_count_connected(a.peers) == 1 && pd_peers_count_connected(b.peers) == 1);
	close_instance(&a);
	close_instance(&b);
}
END_TEST

/* Guards against new instances that know only each other and confirm each other's member tables. */
START_TEST(unconfirmed_instance_owns_nothing_until_a_grant)
{
	struct instance a;
	struct instance b;

	open_unconfirmed_instance(&a, "a", "z", 1);
	open_unconfirmed_instance(&b, "b", "z", 2);
	add_seed(&b, &a.setup.listen);
	start(&a);
	start(&b);
	WAIT_FOR(pd_peers_count_connected(a.peers) == 1 && pd_peers_count_connected(b.peers) == 1);
	/* Both have the same member table, but neither table is confirmed to be complete. */
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

START_TEST(malformed_frames_close_the_connection)
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
	tcase_add_test(tcase, each_call_gets_one_reply);
	tcase_add_test(tcase, cancellation_reaches_the_peer_and_late_calls_expire);
	tcase_add_test(tcase, closed_connection_ends_calls_and_is_reopened);
	tcase_add_test(tcase, ownership_follows_grants_and_death_of_members);
	tcase_add_test(tcase, no_grant_while_requests_are_in_flight);
	tcase_add_test(tcase, members_and_shutdown_are_gossiped_to_all);
	tcase_add_test(tcase, idle_timeout_ends_calls_before_their_deadline);
	tcase_add_test(tcase, unresponsive_member_stays_live);
	tcase_add_test(tcase, connection_refused_by_a_route_does_not_prove_death);
	tcase_add_test(tcase, send_queue_of_a_link_is_bounded);
#if !defined(__SANITIZE_THREAD__) && !defined(__SANITIZE_ADDRESS__)
	/* Sanitizers need more memory themselves. */
	tcase_add_test(tcase, idle_links_stay_within_the_memory_limit);
#endif
	tcase_add_test(tcase, later_member_at_the_address_proves_death);
	tcase_add_test(tcase, live_member_recorded_as_dead_recovers);
	tcase_add_test(tcase, unconfirmed_instance_owns_nothing_until_a_grant);
	tcase_add_test(tcase, malformed_frames_close_the_connection);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
