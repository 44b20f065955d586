/*
 * Tests the ownership of upstreams, against these failures: two instances own one upstream at the
 * same time; no instance owns an upstream after all faults have ended; a grant stays valid after a
 * pause of the process; a silent member is treated as dead; a new member treats its incomplete
 * table as complete.
 */
#include <check.h>
#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "members.h"

#define MS	 PD_USEC_PER_MSEC
#define START_US (1000 * PD_USEC_PER_SEC)

static struct pd_member_record record_of(const char *name, const char *zone, uint64_t incarnation)
{
	struct pd_member_record r = {.incarnation = incarnation};

	ck_assert(pd_name_set(&r.name, pd_str_from(name)));
	ck_assert(pd_name_set(&r.zone, pd_str_from(zone)));
	snprintf(r.address.ip, sizeof(r.address.ip), "127.0.0.1");
	r.address.port = 1;
	return r;
}

static struct pd_members *open_unconfirmed(const char *name, int64_t now_us)
{
	struct pd_member_record self = record_of(name, "z", 1);
	struct pd_members *m;

	ck_assert_int_eq(pd_members_open(&m, &self, now_us, NULL), PD_OK);
	return m;
}

static struct pd_members *open_table(const char *name, int64_t now_us)
{
	struct pd_members *m = open_unconfirmed(name, now_us);

	pd_members_confirm(m);
	return m;
}

static void merge(struct pd_members *m, const char *name, const char *zone, uint64_t incarnation,
		  int64_t now_us)
{
	struct pd_member_record r = record_of(name, zone, incarnation);

	pd_members_merge(m, &r, now_us);
}

static enum pd_ownership ownership_of(struct pd_members *m, struct pd_str upstream, int64_t now_us)
{
	bool first;
	int64_t until;

	return pd_members_ownership(m, upstream, PD_STR("z"), now_us, &first, &until);
}

/* An upstream for which @first ranks above @second. */
static struct pd_str upstream_ranked(const char *first, const char *second)
{
	static char name[PD_NAME_MAX_BYTES];

	for (int i = 0;; i++) {
		struct pd_str key;

		snprintf(name, sizeof(name), "up-%d", i);
		key = pd_str_from(name);
		if (pd_rendezvous_score(key, pd_str_from(first)) >
		    pd_rendezvous_score(key, pd_str_from(second)))
			return key;
	}
}

static void grant(struct pd_members *m, const char *name, uint64_t incarnation, uint64_t seq,
		  int64_t sent_us, int64_t acked_us)
{
	struct pd_msg_heartbeat_ack ack = {.seq = seq, .incarnation = incarnation, .granted = true};

	pd_members_heartbeat_sent(m, pd_str_from(name), seq, sent_us);
	pd_members_heartbeat_acked(m, pd_str_from(name), &ack, acked_us);
}

/* Advances the time with regular ticks, so that no pause is detected. */
static void advance_with_ticks(struct pd_members *m, int64_t from_us, int64_t to_us)
{
	for (int64_t t = from_us; t < to_us; t += 100 * MS)
		pd_members_tick(m, t);
	pd_members_tick(m, to_us);
}

START_TEST(only_member_of_a_zone_owns_its_upstreams_at_once)
{
	struct pd_members *m = open_table("a", START_US);
	bool first;
	int64_t until;

	ck_assert_int_eq(ownership_of(m, PD_STR("u"), START_US), PD_OWNER_FULL);
	merge(m, "far", "other", 1, START_US);
	ck_assert_int_eq(
		pd_members_ownership(m, PD_STR("u"), PD_STR("z"), START_US, &first, &until),
		PD_OWNER_FULL);
	ck_assert(first);
	ck_assert_int_eq(until, START_US + PD_LEASE_TERM_US);
	ck_assert_int_eq(
		pd_members_ownership(m, PD_STR("u"), PD_STR("other"), START_US, &first, &until),
		PD_OWNER_NO);
	pd_members_close(m);
}
END_TEST

START_TEST(grant_starts_when_the_heartbeat_was_sent_and_ends_after_the_term)
{
	struct pd_members *m = open_table("a", START_US);
	struct pd_str own_upstream = upstream_ranked("a", "b");
	struct pd_msg_heartbeat_ack refusal = {.seq = 2, .incarnation = 1, .granted = false};
	bool first;
	int64_t until;

	merge(m, "b", "z", 1, START_US);
	ck_assert_int_eq(ownership_of(m, own_upstream, START_US), PD_OWNER_PENDING);
	grant(m, "b", 1, 1, START_US, START_US + 300 * MS);
	ck_assert_int_eq(pd_members_ownership(m, own_upstream, PD_STR("z"), START_US + 300 * MS,
					      &first, &until),
			 PD_OWNER_FULL);
	ck_assert_int_eq(until, START_US + PD_LEASE_TERM_US);
	pd_members_heartbeat_sent(m, PD_STR("b"), 2, START_US + 300 * MS);
	pd_members_heartbeat_acked(m, PD_STR("b"), &refusal, START_US + 310 * MS);
	advance_with_ticks(m, START_US + 300 * MS, START_US + PD_LEASE_TERM_US - 1);
	ck_assert_int_eq(ownership_of(m, own_upstream, START_US + PD_LEASE_TERM_US - 1),
			 PD_OWNER_FULL);
	ck_assert_int_eq(ownership_of(m, own_upstream, START_US + PD_LEASE_TERM_US),
			 PD_OWNER_PENDING);
	/* A second acknowledgement, or one of a heartbeat that was never sent, grants nothing. */
	refusal.granted = true;
	pd_members_heartbeat_acked(m, PD_STR("b"), &refusal, START_US + PD_LEASE_TERM_US);
	refusal.seq = 77;
	pd_members_heartbeat_acked(m, PD_STR("b"), &refusal, START_US + PD_LEASE_TERM_US);
	ck_assert_int_eq(ownership_of(m, own_upstream, START_US + PD_LEASE_TERM_US),
			 PD_OWNER_PENDING);
	pd_members_close(m);
}
END_TEST

START_TEST(lower_rank_owns_only_once_the_higher_one_is_dead_or_leaving)
{
	struct pd_members *m = open_table("a", START_US);
	struct pd_str peer_upstream = upstream_ranked("b", "a");

	merge(m, "b", "z", 1, START_US);
	grant(m, "b", 1, 1, START_US, START_US + 1 * MS);
	ck_assert_int_eq(ownership_of(m, peer_upstream, START_US + 1 * MS), PD_OWNER_NO);
	pd_members_connection_refused(m, PD_STR("b"), 99, START_US + 2 * MS);
	ck_assert_int_eq(ownership_of(m, peer_upstream, START_US + 2 * MS), PD_OWNER_NO);
	pd_members_connection_refused(m, PD_STR("b"), 1, START_US + 2 * MS);
	ck_assert_int_eq(ownership_of(m, peer_upstream, START_US + 2 * MS), PD_OWNER_FULL);
	/* Data that a dead process left in a socket doesn't make it live again. */
	pd_members_message_received(m, PD_STR("b"), 1, START_US + 3 * MS);
	ck_assert_int_eq(ownership_of(m, peer_upstream, START_US + 3 * MS), PD_OWNER_FULL);
	/* The same name with a higher incarnation is a new member. */
	merge(m, "b", "z", 2, START_US + 4 * MS);
	ck_assert_int_eq(ownership_of(m, peer_upstream, START_US + 4 * MS), PD_OWNER_NO);
	pd_members_mark_leaving(m, PD_STR("b"), 2, START_US + 5 * MS);
	ck_assert_int_eq(ownership_of(m, peer_upstream, START_US + 5 * MS), PD_OWNER_FULL);
	pd_members_close(m);
}
END_TEST

START_TEST(silent_member_makes_ownership_shared_until_its_next_message)
{
	struct pd_members *m = open_table("a", START_US);
	struct pd_str peer_upstream = upstream_ranked("b", "a");
	char peer_upstream_name[PD_NAME_MAX_BYTES];
	struct pd_str own_upstream;
	int64_t silent_at_us = START_US + PD_LEASE_TERM_US + PD_LEASE_MARGIN_US;
	bool first;
	int64_t until;

	pd_str_copy(peer_upstream, peer_upstream_name, sizeof(peer_upstream_name));
	peer_upstream = pd_str_from(peer_upstream_name);
	own_upstream = upstream_ranked("a", "b");
	merge(m, "b", "z", 1, START_US);
	advance_with_ticks(m, START_US, silent_at_us - 1);
	ck_assert_int_eq(ownership_of(m, own_upstream, silent_at_us - 1), PD_OWNER_PENDING);
	ck_assert_int_eq(ownership_of(m, peer_upstream, silent_at_us - 1), PD_OWNER_NO);
	ck_assert_int_eq(
		pd_members_ownership(m, peer_upstream, PD_STR("z"), silent_at_us, &first, &until),
		PD_OWNER_SHARED);
	ck_assert(!first);
	ck_assert_int_eq(
		pd_members_ownership(m, own_upstream, PD_STR("z"), silent_at_us, &first, &until),
		PD_OWNER_SHARED);
	ck_assert(first);
	pd_members_message_received(m, PD_STR("b"), 1, silent_at_us + 1);
	ck_assert_int_eq(ownership_of(m, peer_upstream, silent_at_us + 1), PD_OWNER_NO);
	ck_assert_int_eq(ownership_of(m, own_upstream, silent_at_us + 1), PD_OWNER_PENDING);
	pd_members_close(m);
}
END_TEST

START_TEST(lost_member_is_dead_unless_a_message_arrived_since)
{
	struct pd_members *m = open_table("a", START_US);
	struct pd_member_record out[4];
	int64_t silent_at_us = START_US + PD_MEMBER_LOST_TIMEOUT_US;

	merge(m, "b", "z", 1, START_US);
	merge(m, "far", "other", 1, START_US);
	advance_with_ticks(m, START_US, silent_at_us);
	ck_assert_uint_eq(
		pd_members_list_silent(m, PD_MEMBER_LOST_TIMEOUT_US, silent_at_us, out, 4), 0);
	ck_assert_uint_eq(
		pd_members_list_silent(m, PD_MEMBER_LOST_TIMEOUT_US, silent_at_us + 1, out, 4), 1);
	ck_assert(pd_str_is(pd_name_str(&out[0].name), "b"));
	pd_members_message_received(m, PD_STR("b"), 1, silent_at_us + 2);
	ck_assert(!pd_members_mark_lost(m, &out[0], PD_MEMBER_LOST_TIMEOUT_US, silent_at_us + 3));
	advance_with_ticks(m, silent_at_us, 2 * silent_at_us - START_US + 3);
	ck_assert_int_eq(ownership_of(m, PD_STR("u"), 2 * silent_at_us - START_US + 3),
			 PD_OWNER_SHARED);
	ck_assert(pd_members_mark_lost(m, &out[0], PD_MEMBER_LOST_TIMEOUT_US,
				       2 * silent_at_us - START_US + 3));
	ck_assert_int_eq(ownership_of(m, PD_STR("u"), 2 * silent_at_us - START_US + 3),
			 PD_OWNER_FULL);
	/* A newer incarnation of the name isn't affected by the loss of the older one. */
	merge(m, "b", "z", 2, 2 * silent_at_us);
	ck_assert(!pd_members_mark_lost(m, &out[0], 0, 2 * silent_at_us));
	pd_members_close(m);
}
END_TEST

START_TEST(own_pause_voids_grants_and_restarts_silence_timers)
{
	struct pd_members *m = open_table("a", START_US);
	struct pd_str own_upstream = upstream_ranked("a", "b");
	int64_t resumed_at_us = START_US + 3000 * MS;

	merge(m, "b", "z", 1, START_US);
	grant(m, "b", 1, 1, START_US, START_US + 1 * MS);
	ck_assert_int_eq(ownership_of(m, own_upstream, START_US + 499 * MS), PD_OWNER_FULL);
	/* The ownership call detects the pause; without it the grant would last until 1,500 ms. */
	ck_assert_int_eq(ownership_of(m, own_upstream, START_US + 501 * MS), PD_OWNER_PENDING);
	ck_assert(pd_members_tick(m, START_US + 502 * MS));
	ck_assert(!pd_members_tick(m, START_US + 503 * MS));
	grant(m, "b", 1, 2, START_US + 503 * MS, START_US + 504 * MS);
	pd_members_heartbeat_sent(m, PD_STR("b"), 3, START_US + 600 * MS);
	/* After a pause of 2.5 s the member isn't silent, since no message could be received. */
	ck_assert_int_eq(ownership_of(m, own_upstream, resumed_at_us), PD_OWNER_PENDING);
	grant(m, "b", 1, 4, resumed_at_us, resumed_at_us + 1 * MS);
	ck_assert_int_eq(ownership_of(m, own_upstream, resumed_at_us + 1 * MS), PD_OWNER_FULL);
	pd_members_close(m);
}
END_TEST

START_TEST(pause_voids_heartbeats_sent_before_it)
{
	struct pd_members *m = open_table("a", START_US);
	struct pd_str own_upstream = upstream_ranked("a", "b");
	struct pd_msg_heartbeat_ack ack = {.seq = 1, .incarnation = 1, .granted = true};

	merge(m, "b", "z", 1, START_US);
	pd_members_heartbeat_sent(m, PD_STR("b"), 1, START_US + 1 * MS);
	pd_members_heartbeat_acked(m, PD_STR("b"), &ack, START_US + 700 * MS);
	ck_assert_int_eq(ownership_of(m, own_upstream, START_US + 700 * MS), PD_OWNER_PENDING);
	pd_members_close(m);
}
END_TEST

START_TEST(grant_needs_equal_tables)
{
	struct pd_members *a = open_table("a", START_US);
	struct pd_members *b = open_table("b", START_US);

	merge(a, "b", "z", 1, START_US);
	ck_assert(!pd_members_may_grant(b, PD_STR("a"), 1, pd_members_zone_digest(a), START_US));
	merge(b, "a", "z", 1, START_US);
	ck_assert(pd_members_may_grant(b, PD_STR("a"), 1, pd_members_zone_digest(a), START_US));
	merge(b, "c", "z", 1, START_US);
	ck_assert(!pd_members_may_grant(b, PD_STR("a"), 1, pd_members_zone_digest(a), START_US));
	merge(a, "c", "z", 1, START_US);
	ck_assert(pd_members_digest(a) == pd_members_digest(b));
	ck_assert(pd_members_may_grant(b, PD_STR("a"), 1, pd_members_zone_digest(a), START_US));
	/* Dead members and other zones change the digest of the table, but don't affect grants. */
	pd_members_connection_refused(a, PD_STR("c"), 1, START_US);
	ck_assert(!pd_members_may_grant(b, PD_STR("a"), 1, pd_members_zone_digest(a), START_US));
	pd_members_connection_refused(b, PD_STR("c"), 1, START_US);
	merge(a, "far", "other", 1, START_US);
	ck_assert(pd_members_may_grant(b, PD_STR("a"), 1, pd_members_zone_digest(a), START_US));
	ck_assert(pd_members_digest(a) != pd_members_digest(b));
	pd_members_close(a);
	pd_members_close(b);
}
END_TEST

START_TEST(unconfirmed_table_gives_no_ownership_and_no_grants)
{
	struct pd_members *m = open_unconfirmed("a", START_US);
	int64_t silent_at_us = START_US + PD_LEASE_TERM_US + PD_LEASE_MARGIN_US;

	ck_assert_int_eq(ownership_of(m, PD_STR("u"), START_US), PD_OWNER_PENDING);
	merge(m, "b", "z", 1, START_US);
	ck_assert(!pd_members_may_grant(m, PD_STR("b"), 1, pd_members_zone_digest(m), START_US));
	advance_with_ticks(m, START_US, silent_at_us);
	ck_assert_int_eq(ownership_of(m, PD_STR("u"), silent_at_us), PD_OWNER_PENDING);
	/* The only known member is dead, but unknown members may be live. */
	pd_members_connection_refused(m, PD_STR("b"), 1, silent_at_us);
	ck_assert_int_eq(ownership_of(m, PD_STR("u"), silent_at_us), PD_OWNER_PENDING);
	pd_members_confirm(m);
	ck_assert_int_eq(ownership_of(m, PD_STR("u"), silent_at_us), PD_OWNER_FULL);
	pd_members_close(m);
}
END_TEST

START_TEST(first_grant_from_own_zone_confirms_the_table)
{
	struct pd_members *m = open_unconfirmed("a", START_US);
	struct pd_msg_heartbeat_ack refusal = {.seq = 1, .incarnation = 1, .granted = false};

	merge(m, "b", "z", 1, START_US);
	merge(m, "far", "other", 1, START_US);
	grant(m, "far", 1, 1, START_US, START_US + 1 * MS);
	pd_members_heartbeat_sent(m, PD_STR("b"), 1, START_US);
	pd_members_heartbeat_acked(m, PD_STR("b"), &refusal, START_US + 1 * MS);
	ck_assert(!pd_members_may_grant(m, PD_STR("b"), 1, pd_members_zone_digest(m), START_US));
	grant(m, "b", 1, 2, START_US + 2 * MS, START_US + 3 * MS);
	ck_assert(pd_members_may_grant(m, PD_STR("b"), 1, pd_members_zone_digest(m), START_US));
	ck_assert_int_eq(ownership_of(m, upstream_ranked("a", "b"), START_US + 3 * MS),
			 PD_OWNER_FULL);
	pd_members_connection_refused(m, PD_STR("b"), 1, START_US + 4 * MS);
	ck_assert_int_eq(ownership_of(m, upstream_ranked("b", "a"), START_US + 4 * MS),
			 PD_OWNER_FULL);
	pd_members_close(m);
}
END_TEST

START_TEST(replaced_or_resigned_member_owns_nothing)
{
	struct pd_members *m = open_table("a", START_US);
	struct pd_member_record dead = record_of("a", "z", 1);

	dead.state = PD_MEMBER_DEAD;
	ck_assert(pd_members_merge(m, &dead, START_US));
	ck_assert_uint_eq(pd_members_self(m).incarnation, 2);
	ck_assert_int_eq(ownership_of(m, PD_STR("u"), START_US), PD_OWNER_FULL);
	merge(m, "a", "z", 9, START_US);
	ck_assert_int_eq(ownership_of(m, PD_STR("u"), START_US), PD_OWNER_NO);
	pd_members_close(m);

	m = open_table("a", START_US);
	pd_members_resign(m);
	ck_assert_int_eq(ownership_of(m, PD_STR("u"), START_US), PD_OWNER_NO);
	pd_members_close(m);
}
END_TEST

START_TEST(candidates_are_live_members_by_rank)
{
	struct pd_members *m = open_table("a", START_US);
	struct pd_member_record out[8];
	struct pd_str u = PD_STR("up-x");
	const char *names[] = {"b", "c", "d"};
	size_t n;

	for (int i = 0; i < 3; i++)
		merge(m, names[i], "z", 1, START_US);
	merge(m, "far", "other", 1, START_US);
	n = pd_members_candidates(m, u, PD_STR("z"), out, 8);
	ck_assert_uint_eq(n, 4);
	for (size_t i = 1; i < n; i++)
		ck_assert(pd_rendezvous_score(u, pd_name_str(&out[i - 1].name)) >
			  pd_rendezvous_score(u, pd_name_str(&out[i].name)));
	ck_assert_uint_eq(pd_members_candidates(m, u, PD_STR("other"), out, 8), 1);
	for (int i = 0; i < 3; i++)
		pd_members_connection_refused(m, pd_str_from(names[i]), 1, START_US);
	ck_assert_uint_eq(pd_members_candidates(m, u, PD_STR("z"), out, 8), 1);
	ck_assert(pd_str_is(pd_name_str(&out[0].name), "a"));
	pd_members_close(m);
}
END_TEST

START_TEST(full_table_removes_the_oldest_dead_member)
{
	struct pd_members *m = open_table("a", START_US);
	struct pd_member_record r;
	char name[32];

	for (int i = 0; i < PD_MEMBERS_MAX + 100; i++) {
		snprintf(name, sizeof(name), "m%d", i);
		merge(m, name, "z", 100 + i, START_US);
		if (i < PD_MEMBERS_MAX / 2)
			pd_members_connection_refused(m, pd_str_from(name), 100 + i, START_US);
	}
	ck_assert(!pd_members_find(m, PD_STR("m0"), &r));
	ck_assert(pd_members_find(m, PD_STR("m1500"), &r));
	ck_assert(pd_members_find(m, pd_str_from(name), &r));
	pd_members_close(m);
}
END_TEST

/*
 * Model check: member tables of several nodes exchange messages over a simulated network, with
 * crashes, restarts, pauses, slow links and a platform that may be down.
 */

#define NODES_MAX	5
#define UPSTREAM_COUNT	8
#define MESSAGES_MAX	1024
#define STEP_US		(10 * MS)
#define FAULT_PERIOD_US (8 * PD_USEC_PER_SEC)

enum message_type {
	MESSAGE_HEARTBEAT,
	MESSAGE_ACK,
	MESSAGE_MEMBERS,
	MESSAGE_HELLO,
	MESSAGE_REFUSED /* the connection was refused: the process at the address has ended */
};

struct message {
	bool in_use;
	enum message_type type;
	int64_t arrives_at_us;
	int from;
	int to;
	uint64_t to_incarnation;
	uint64_t incarnation; /* of the sender; of the process that ended for MESSAGE_REFUSED */
	uint64_t seq;
	uint64_t digest;
	uint64_t zone_digest;
	bool granted;
	struct pd_member_record records[NODES_MAX];
	size_t count;
};

struct node {
	char name[8];
	struct pd_members *table; /* NULL when the process isn't running */
	uint64_t incarnation;
	int64_t paused_until_us;
	int64_t reads_delayed_until_us; /* readers may resume late after a pause */
	int64_t next_heartbeat_us;
	int64_t next_tick_us;
	uint64_t seq;
	int64_t last_member_list_us[NODES_MAX];
	int64_t in_flight_until_us[UPSTREAM_COUNT]; /* end of the request in flight */
	enum pd_ownership in_flight_ownership[UPSTREAM_COUNT]; /* when that request was sent */
};

struct simulation {
	gsl_rng *rng;
	uint64_t seed;
	int64_t now_us;
	int nodes;
	bool platform_down; /* a node may know only one running node when it starts */
	struct node node[NODES_MAX];
	struct message messages[MESSAGES_MAX];
	int slow_from; /* messages from slow_from to slow_to are delayed until slow_until_us */
	int slow_to;
	int64_t slow_until_us;
	int64_t last_fault_us;
	uint64_t next_incarnation;
	char upstream[UPSTREAM_COUNT][8];
};

static int64_t random_below(struct simulation *sim, int64_t n)
{
	return (int64_t)gsl_rng_uniform_int(sim->rng, (unsigned long)n);
}

static struct message *send_message(struct simulation *sim, enum message_type type, int from,
				    int to)
{
	for (int i = 0; i < MESSAGES_MAX; i++) {
		struct message *msg = &sim->messages[i];
		int64_t delay = 1 * MS + random_below(sim, 30 * MS);

		if (msg->in_use)
			continue;
		if (random_below(sim, 50) == 0)
			delay += random_below(sim, 400 * MS);
		if (sim->now_us < sim->slow_until_us && sim->slow_from == from &&
		    sim->slow_to == to)
			delay = sim->slow_until_us - sim->now_us + random_below(sim, 100 * MS);
		memset(msg, 0, sizeof(*msg));
		msg->in_use = true;
		msg->type = type;
		msg->arrives_at_us = sim->now_us + delay;
		msg->from = from;
		msg->to = to;
		msg->to_incarnation = sim->node[to].incarnation;
		msg->incarnation = sim->node[from].incarnation;
		return msg;
	}
	ck_abort_msg("too many messages");
	return NULL;
}

static int find_node(struct simulation *sim, const struct pd_name *name)
{
	for (int i = 0; i < sim->nodes; i++) {
		if (pd_str_is(pd_name_str(name), sim->node[i].name))
			return i;
	}
	ck_abort_msg("unknown node %s", name->text);
	return -1;
}

static bool none_in_flight_for(struct simulation *sim, struct node *node, const char *sender)
{
	for (int u = 0; u < UPSTREAM_COUNT; u++) {
		if (node->in_flight_until_us[u] > sim->now_us &&
		    pd_members_outranks(node->table, pd_str_from(sender),
					pd_str_from(sim->upstream[u])))
			return false;
	}
	return true;
}

static void receive_heartbeat(struct simulation *sim, struct node *node, const struct message *msg)
{
	const char *sender = sim->node[msg->from].name;
	struct message *ack;
	bool granted;

	/* The sender's hello message arrived before on the same connection. */
	pd_members_merge(node->table, &msg->records[0], sim->now_us);
	granted = pd_members_may_grant(node->table, pd_str_from(sender), msg->incarnation,
				       msg->zone_digest, sim->now_us) &&
		  none_in_flight_for(sim, node, sender);
	ack = send_message(sim, MESSAGE_ACK, msg->to, msg->from);
	ack->granted = granted;
	ack->seq = msg->seq;
	if (msg->digest != pd_members_digest(node->table) &&
	    sim->now_us - node->last_member_list_us[msg->from] >= PD_USEC_PER_SEC) {
		struct message *member_list =
			send_message(sim, MESSAGE_MEMBERS, msg->to, msg->from);

		node->last_member_list_us[msg->from] = sim->now_us;
		member_list->count = pd_members_list(node->table, member_list->records, NODES_MAX);
	}
}

static void receive(struct simulation *sim, struct node *node, const struct message *msg)
{
	struct pd_msg_heartbeat_ack ack = {
		.seq = msg->seq, .incarnation = msg->incarnation, .granted = msg->granted};

	switch (msg->type) {
	case MESSAGE_HEARTBEAT:
		receive_heartbeat(sim, node, msg);
		return;
	case MESSAGE_ACK:
		pd_members_heartbeat_acked(node->table, pd_str_from(sim->node[msg->from].name),
					   &ack, sim->now_us);
		return;
	case MESSAGE_MEMBERS:
	case MESSAGE_HELLO:
		for (size_t i = 0; i < msg->count; i++)
			pd_members_merge(node->table, &msg->records[i], sim->now_us);
		return;
	case MESSAGE_REFUSED:
		pd_members_connection_refused(node->table, pd_str_from(sim->node[msg->from].name),
					      msg->incarnation, sim->now_us);
		return;
	}
}

/* Messages to a process that has ended are lost; a paused one reads them when it resumes. */
static void deliver(struct simulation *sim)
{
	for (int i = 0; i < MESSAGES_MAX; i++) {
		struct message *msg = &sim->messages[i];
		struct node *node = &sim->node[msg->to];
		struct message copy;

		if (!msg->in_use || msg->arrives_at_us > sim->now_us)
			continue;
		if (!node->table || node->incarnation != msg->to_incarnation) {
			msg->in_use = false;
			continue;
		}
		if (node->reads_delayed_until_us > sim->now_us)
			continue;
		copy = *msg;
		msg->in_use = false;
		receive(sim, node, &copy);
	}
}

static void send_heartbeats(struct simulation *sim, int from)
{
	struct node *node = &sim->node[from];
	struct pd_member_record records[NODES_MAX];
	size_t count = pd_members_list(node->table, records, NODES_MAX);

	node->seq++;
	for (size_t i = 1; i < count; i++) {
		int to = find_node(sim, &records[i].name);
		struct message *msg;

		if (records[i].state != PD_MEMBER_LIVE)
			continue;
		if (!sim->node[to].table || sim->node[to].incarnation != records[i].incarnation) {
			if (!sim->node[to].table) {
				msg = send_message(sim, MESSAGE_REFUSED, to, from);
				msg->incarnation = records[i].incarnation;
				continue;
			}
			/* A newer process at the address answers with its hello message. */
			msg = send_message(sim, MESSAGE_HELLO, to, from);
			msg->records[0] = pd_members_self(sim->node[to].table);
			msg->count = 1;
			continue;
		}
		msg = send_message(sim, MESSAGE_HEARTBEAT, from, to);
		msg->seq = node->seq;
		msg->digest = pd_members_digest(node->table);
		msg->zone_digest = pd_members_zone_digest(node->table);
		msg->records[0] = pd_members_self(node->table);
		msg->count = 1;
		pd_members_heartbeat_sent(node->table, pd_name_str(&records[i].name), node->seq,
					  sim->now_us);
	}
}

/* Returns a random running node other than @i; -1 if there is none. */
static int random_running_node(struct simulation *sim, int i)
{
	int start = (int)random_below(sim, sim->nodes);

	for (int k = 0; k < sim->nodes; k++) {
		int n = (start + k) % sim->nodes;

		if (n != i && sim->node[n].table && sim->node[n].paused_until_us <= sim->now_us)
			return n;
	}
	return -1;
}

static void start_node(struct simulation *sim, int i)
{
	struct node *node = &sim->node[i];
	struct pd_member_record self;
	int known_node;

	snprintf(node->name, sizeof(node->name), "n%d", i);
	node->incarnation = sim->next_incarnation++;
	self = record_of(node->name, "z", node->incarnation);
	ck_assert_int_eq(pd_members_open(&node->table, &self, sim->now_us, NULL), PD_OK);
	node->paused_until_us = 0;
	node->reads_delayed_until_us = 0;
	node->next_heartbeat_us = sim->now_us;
	node->next_tick_us = sim->now_us;
	memset(node->last_member_list_us, 0, sizeof(node->last_member_list_us));
	memset(node->in_flight_until_us, 0, sizeof(node->in_flight_until_us));
	/*
	 * The platform lists all instances. While it's down, the new node knows one running node
	 * from its seed addresses. The nodes that it knows receive its hello message and pass its
	 * record on.
	 */
	known_node = sim->platform_down && random_below(sim, 2) ? random_running_node(sim, i) : -1;
	if (known_node < 0)
		pd_members_confirm(node->table);
	for (int other = 0; other < sim->nodes; other++) {
		struct message *hello;

		if (other == i || !sim->node[other].incarnation ||
		    (known_node >= 0 && other != known_node))
			continue;
		merge(node->table, sim->node[other].name, "z", sim->node[other].incarnation,
		      sim->now_us);
		hello = send_message(sim, MESSAGE_HELLO, i, other);
		hello->records[0] = self;
		hello->count = 1;
	}
}

static void stop_node(struct node *node)
{
	pd_members_close(node->table);
	node->table = NULL;
	memset(node->in_flight_until_us, 0, sizeof(node->in_flight_until_us));
}

static int count_running(const struct simulation *sim)
{
	int n = 0;

	for (int i = 0; i < sim->nodes; i++)
		n += sim->node[i].table && sim->node[i].paused_until_us <= sim->now_us;
	return n;
}

static void pause_node(struct simulation *sim, struct node *node)
{
	node->paused_until_us = sim->now_us + random_below(sim, 4000 * MS);
	node->reads_delayed_until_us = node->paused_until_us + random_below(sim, 100 * MS);
}

static void inject_fault(struct simulation *sim)
{
	int i = (int)random_below(sim, sim->nodes);
	struct node *node = &sim->node[i];

	sim->last_fault_us = sim->now_us;
	if (!node->table) {
		start_node(sim, i);
		return;
	}
	if (random_below(sim, 3) == 0) {
		sim->slow_from = i;
		sim->slow_to = (int)random_below(sim, sim->nodes);
		sim->slow_until_us = sim->now_us + random_below(sim, 3000 * MS);
		return;
	}
	if (count_running(sim) < 2 || node->paused_until_us > sim->now_us)
		return;
	if (random_below(sim, 2))
		stop_node(node);
	else
		pause_node(sim, node);
}

/*
 * Checks the requests in flight at one upstream: at most one full and one shared owner may have
 * requests in flight. Both at once are allowed only with the platform down (seed 801): a member
 * that resumes after a pause may not know a new member, and if all members that it knows have died,
 * it is a full owner. Meanwhile requests of the new member, for which it was silent, may be in
 * flight; these use at most half of the slots.
 */
static void check_in_flight(const struct simulation *sim, int u)
{
	int full = 0;
	int shared = 0;

	for (int i = 0; i < sim->nodes; i++) {
		if (sim->node[i].in_flight_until_us[u] <= sim->now_us)
			continue;
		if (sim->node[i].in_flight_ownership[u] == PD_OWNER_FULL)
			full++;
		else
			shared++;
	}
	ck_assert_msg(full <= 1 && shared <= 1 && (sim->platform_down || full + shared <= 1),
		      "seed %llu: %d full and %d shared owners send to %s at %lld ms",
		      (unsigned long long)sim->seed, full, shared, sim->upstream[u],
		      (long long)((sim->now_us - START_US) / MS));
}

static void check_ownership(struct simulation *sim)
{
	for (int u = 0; u < UPSTREAM_COUNT; u++) {
		int full = 0;

		for (int i = 0; i < sim->nodes; i++) {
			struct node *node = &sim->node[i];

			if (node->table && node->paused_until_us <= sim->now_us)
				full += ownership_of(node->table, pd_str_from(sim->upstream[u]),
						     sim->now_us) == PD_OWNER_FULL;
		}
		ck_assert_msg(full <= 1, "seed %llu: %d full owners of %s at %lld ms",
			      (unsigned long long)sim->seed, full, sim->upstream[u],
			      (long long)((sim->now_us - START_US) / MS));
		check_in_flight(sim, u);
	}
}

static void run_node(struct simulation *sim, int i)
{
	struct node *node = &sim->node[i];

	if (!node->table || node->paused_until_us > sim->now_us)
		return;
	if (sim->now_us >= node->next_tick_us) {
		pd_members_tick(node->table, sim->now_us);
		node->next_tick_us = sim->now_us + 100 * MS;
	}
	if (sim->now_us >= node->next_heartbeat_us) {
		send_heartbeats(sim, i);
		node->next_heartbeat_us = sim->now_us + PD_HEARTBEAT_INTERVAL_US;
	}
	for (int u = 0; u < UPSTREAM_COUNT; u++) {
		enum pd_ownership ownership;
		int64_t until_us;
		bool first;
		int64_t end_us = sim->now_us + random_below(sim, 300 * MS);

		if (node->in_flight_until_us[u] > sim->now_us || random_below(sim, 4))
			continue;
		ownership = pd_members_ownership(node->table, pd_str_from(sim->upstream[u]),
						 PD_STR("z"), sim->now_us, &first, &until_us);
		if (ownership < PD_OWNER_SHARED)
			continue;
		node->in_flight_until_us[u] = end_us < until_us ? end_us : until_us;
		node->in_flight_ownership[u] = ownership;
	}
}

static void check_each_upstream_has_one_owner(struct simulation *sim)
{
	for (int u = 0; u < UPSTREAM_COUNT; u++) {
		int full = 0;

		for (int i = 0; i < sim->nodes; i++) {
			if (sim->node[i].table)
				full += ownership_of(sim->node[i].table,
						     pd_str_from(sim->upstream[u]),
						     sim->now_us) == PD_OWNER_FULL;
		}
		ck_assert_msg(full == 1, "seed %llu: %d owners of %s after the faults",
			      (unsigned long long)sim->seed, full, sim->upstream[u]);
	}
}

static bool any_table_confirmed(const struct simulation *sim)
{
	for (int i = 0; i < sim->nodes; i++) {
		if (sim->node[i].table && pd_members_confirmed(sim->node[i].table))
			return true;
	}
	return false;
}

/* Every running node reads the platform's list, which holds all nodes that have been started. */
static void restore_platform(struct simulation *sim)
{
	for (int i = 0; i < sim->nodes; i++) {
		struct node *node = &sim->node[i];

		if (!node->table)
			continue;
		for (int other = 0; other < sim->nodes; other++) {
			if (other != i && sim->node[other].incarnation)
				merge(node->table, sim->node[other].name, "z",
				      sim->node[other].incarnation, sim->now_us);
		}
		pd_members_confirm(node->table);
	}
}

static int64_t faults_end_us(const struct simulation *sim)
{
	int64_t end_us = sim->last_fault_us;

	if (sim->slow_until_us > end_us)
		end_us = sim->slow_until_us;
	for (int i = 0; i < sim->nodes; i++) {
		if (sim->node[i].table && sim->node[i].paused_until_us > end_us)
			end_us = sim->node[i].paused_until_us;
	}
	return end_us;
}

static void run_simulation(struct simulation *sim)
{
	int64_t next_fault_us = START_US + 2000 * MS;

	for (sim->now_us = START_US;; sim->now_us += STEP_US) {
		if (sim->now_us >= next_fault_us && sim->now_us < START_US + FAULT_PERIOD_US) {
			inject_fault(sim);
			next_fault_us = sim->now_us + random_below(sim, 1500 * MS);
		}
		deliver(sim);
		for (int i = 0; i < sim->nodes; i++)
			run_node(sim, i);
		check_ownership(sim);
		/* If no running node has a confirmed table, only the platform can confirm one. */
		if (sim->now_us >= START_US + FAULT_PERIOD_US &&
		    sim->now_us >= faults_end_us(sim) && !any_table_confirmed(sim))
			restore_platform(sim);
		if (sim->now_us >= START_US + FAULT_PERIOD_US &&
		    sim->now_us >= faults_end_us(sim) + 3000 * MS)
			break;
	}
	check_each_upstream_has_one_owner(sim);
}

static void run_seed(struct simulation *sim, uint64_t seed)
{
	memset(sim, 0, sizeof(*sim));
	sim->seed = seed;
	sim->rng = gsl_rng_alloc(gsl_rng_mt19937);
	gsl_rng_set(sim->rng, seed);
	sim->now_us = START_US;
	sim->next_incarnation = 1;
	sim->nodes = 3 + (int)(seed % 3);
	sim->platform_down = seed % 2;
	for (int u = 0; u < UPSTREAM_COUNT; u++)
		snprintf(sim->upstream[u], sizeof(sim->upstream[u]), "u%d", u);
	for (int i = 0; i < sim->nodes; i++)
		start_node(sim, i);
	run_simulation(sim);
	for (int i = 0; i < sim->nodes; i++)
		stop_node(&sim->node[i]);
	gsl_rng_free(sim->rng);
}

START_TEST(model_has_at_most_one_full_owner_and_one_after_faults)
{
	/* Seeds where the only node that a new node knows crashes before it sends its table. */
	static const uint64_t extra_seeds[] = {403, 857, 2283};
	struct simulation *sim = calloc(1, sizeof(*sim));
	const char *first_seed_text = getenv("PD_TEST_FIRST_SEED");
	const char *last_seed_text = getenv("PD_TEST_SEEDS");
	uint64_t first = first_seed_text ? strtoull(first_seed_text, NULL, 10) : 1;
	uint64_t last = last_seed_text ? strtoull(last_seed_text, NULL, 10) : 60;

	for (uint64_t seed = first; seed <= last; seed++)
		run_seed(sim, seed);
	for (size_t i = 0; i < sizeof(extra_seeds) / sizeof(*extra_seeds); i++)
		run_seed(sim, extra_seeds[i]);
	free(sim);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("members");
	TCase *tcase = tcase_create("members");
	SRunner *runner = srunner_create(suite);
	int failed;

	pd_log_open("test", PD_LOG_ERROR);
	tcase_set_timeout(tcase, 300);
	tcase_add_test(tcase, only_member_of_a_zone_owns_its_upstreams_at_once);
	tcase_add_test(tcase, grant_starts_when_the_heartbeat_was_sent_and_ends_after_the_term);
	tcase_add_test(tcase, lower_rank_owns_only_once_the_higher_one_is_dead_or_leaving);
	tcase_add_test(tcase, silent_member_makes_ownership_shared_until_its_next_message);
	tcase_add_test(tcase, lost_member_is_dead_unless_a_message_arrived_since);
	tcase_add_test(tcase, own_pause_voids_grants_and_restarts_silence_timers);
	tcase_add_test(tcase, pause_voids_heartbeats_sent_before_it);
	tcase_add_test(tcase, grant_needs_equal_tables);
	tcase_add_test(tcase, unconfirmed_table_gives_no_ownership_and_no_grants);
	tcase_add_test(tcase, first_grant_from_own_zone_confirms_the_table);
	tcase_add_test(tcase, replaced_or_resigned_member_owns_nothing);
	tcase_add_test(tcase, candidates_are_live_members_by_rank);
	tcase_add_test(tcase, full_table_removes_the_oldest_dead_member);
	tcase_add_test(tcase, model_has_at_most_one_full_owner_and_one_after_faults);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
