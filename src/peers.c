#include "peers.h"

#include <ck_pr.h>
#include <stdlib.h>
#include <string.h>

#include "counters.h"
#include "log.h"
#include "peer_calls.h"

#define TIMER_INTERVAL_US  (10 * PD_USEC_PER_MSEC) /* resolution of call timeouts */
#define TICK_INTERVAL_US   (100 * PD_USEC_PER_MSEC) /* interval of pd_members_tick() */
#define IDLE_HEARTBEAT_US  (5 * PD_USEC_PER_SEC) /* interval, to other zones without calls */
#define IDLE_TIMEOUT_US	   (15 * PD_USEC_PER_SEC) /* of connections with idle heartbeats */
#define CONNECT_TIMEOUT_US (500 * PD_USEC_PER_MSEC)
#define HELLO_TIMEOUT_US   (1 * PD_USEC_PER_SEC)
#define BACKOFF_MIN_US	   (50 * PD_USEC_PER_MSEC) /* between connections to a peer */
#define BACKOFF_MAX_US	   (1 * PD_USEC_PER_SEC)
#define GOSSIP_MIN_US	   (1 * PD_USEC_PER_SEC) /* minimum interval of members messages */
/* Minimum interval between reports of received messages to the member table. */
#define RECEIVE_REPORT_MIN_US (50 * PD_USEC_PER_MSEC)
#define SEED_RETRY_US	      (500 * PD_USEC_PER_MSEC)
#define PEER_BUCKETS	      1024 /* about one member in each bucket in the largest fleet */
#define ACCEPTED_MAX	      4096 /* maximum number of accepted connections */

/**
 * struct conn - a connection to a peer, opened or accepted by this instance
 * @peers: the set of connections that it belongs to
 * @peer: peer that the connection was opened to; NULL for accepted connections and for seeds
 * @link: the link, or NULL before it is started
 * @member: record from the hello of the member at the other end
 * @handshake_done: the hello arrived, so that @member is valid
 * @closed: the link has closed and no longer calls its callbacks
 * @accepted: the connection was accepted
 * @reported_us: time at which received messages were last reported to the member table, in
 *		 microseconds of pd_os_now_us(); reader thread only
 * @gossip_us: time at which the member table was last sent, in microseconds of pd_os_now_us();
 *	       reader thread only
 * @next: next accepted connection in the list
 *
 * peers->mutex guards @link, @member, @handshake_done and @closed; while the link is open,
 * only the reader thread writes @member and @handshake_done, so it reads them without the mutex.
 */
struct conn {
	struct pd_peers *peers;
	struct peer *peer;
	struct pd_link *link;
	struct pd_member_record member;
	bool handshake_done;
	bool closed;
	bool accepted;
	int64_t reported_us;
	int64_t gossip_us;
	struct conn *next;
};

/**
 * struct peer - a member that this instance connects to
 * @peers: the set of peers that it belongs to
 * @refs: reference count; the peer's thread and each running pd_peers_subrequest() hold a reference
 * @name: name of the member
 * @thread: thread that connects to the member and sends heartbeats
 * @conn: current connection
 * @connected: the hello of the member was received on @conn, which can be used for sub-requests
 * @pending: number of pending calls; atomic
 * @wake: signalled when the connection ends, a first call is pending or all peers stop
 * @heartbeat_seq: sequence number of the last heartbeat
 * @rand_state: state of rand_r(), which randomises the backoff
 * @done: the thread has ended
 * @next: next peer in the list of all peers
 * @next_in_bucket: next peer in the hash bucket
 *
 * peers->mutex guards @refs, @connected, @done and the lists.
 */
struct peer {
	struct pd_peers *peers;
	uint32_t refs;
	struct pd_name name;
	pthread_t thread;
	struct conn conn;
	bool connected;
	uint32_t pending;
	pthread_cond_t wake;
	uint64_t heartbeat_seq;
	unsigned int rand_state;
	bool done;
	struct peer *next;
	struct peer *next_in_bucket;
};

/**
 * struct seed - a configured address through which this instance finds the other members
 * @peers: the set of peers that it belongs to
 * @address: address to connect to
 * @member_name: name of the member that last answered at @address; empty before
 * @conn: current connection
 * @wake: unused
 * @thread: thread that connects
 */
struct seed {
	struct pd_peers *peers;
	struct pd_address address;
	struct pd_name member_name;
	struct conn conn;
	pthread_cond_t wake;
	pthread_t thread;
};

/**
 * struct pd_peers - all connections to peers
 * @setup_in: the caller's setup until pd_peers_start(), then NULL
 * @setup: copy of the setup, valid since pd_peers_start()
 * @listener: listening socket
 * @mutex: guards the lists, @stopping and @leaving
 * @changed: signalled when a connection receives its hello or closes, and when all threads are to
 *	     stop
 * @started: the threads were started
 * @stopping: all threads are to stop
 * @leaving: this instance has announced its shutdown
 * @acceptor: thread that accepts connections
 * @timer: thread that expires calls and connections, and starts and joins the threads of peers
 * @list: list of all peers
 * @buckets: hash table of the peers by name
 * @accepted: list of accepted connections
 * @accepted_count: number of accepted connections whose handlers have not finished
 * @seeds: seeds other than this instance's own address
 * @seed_count: number of entries in @seeds
 * @calls: pending calls
 * @records: buffer for reading the member table; timer thread only
 * @synced_digest: digest of the member table for which the peers were last updated; timer thread
 *		   only
 */
struct pd_peers {
	struct pd_peers_setup *setup_in;
	struct pd_peers_setup setup;
	int listener;
	pthread_mutex_t mutex;
	pthread_cond_t changed;
	bool started;
	bool stopping;
	bool leaving;
	pthread_t acceptor;
	pthread_t timer;
	struct peer *list;
	struct peer *buckets[PEER_BUCKETS];
	struct conn *accepted;
	size_t accepted_count;
	struct seed *seeds;
	uint32_t seed_count;
	struct pd_peer_calls calls;
	struct pd_member_record *records;
	uint64_t synced_digest;
};

static bool is_own_zone(const struct pd_peers *p, const struct pd_name *zone)
{
	return pd_name_equal(zone, &p->setup.self.zone);
}

static bool is_stopping(struct pd_peers *p)
{
	bool stopping;

	pthread_mutex_lock(&p->mutex);
	stopping = p->stopping;
	pthread_mutex_unlock(&p->mutex);
	return stopping;
}

/* Sending */

/* Returns this instance's record: the member table holds the incarnation, the setup the address. */
static struct pd_member_record own_record(struct pd_peers *p)
{
	struct pd_member_record record = pd_members_self(p->setup.members);

	record.address = p->setup.self.address;
	pthread_mutex_lock(&p->mutex);
	if (p->leaving)
		record.state = PD_MEMBER_LEAVING;
	pthread_mutex_unlock(&p->mutex);
	return record;
}

static uint64_t own_config_version(struct pd_peers *p)
{
	return p->setup.hooks.config_version(p->setup.hooks.arg);
}

static void send_hello(struct pd_peers *p, struct pd_link *link)
{
	struct pd_message msg = {.type = PD_MSG_HELLO};

	msg.hello.self = own_record(p);
	msg.hello.config_version = own_config_version(p);
	pd_link_send(link, &msg, NULL);
}

static void send_members(struct pd_peers *p, struct pd_link *link)
{
	struct pd_member_record *records = calloc(PD_MEMBERS_MAX, sizeof(*records));
	struct pd_message msg = {.type = PD_MSG_MEMBERS};

	if (!records)
		return;
	msg.members.count = (uint32_t)pd_members_list(p->setup.members, records, PD_MEMBERS_MAX);
	records[0] = own_record(p);
	msg.members.records = records;
	pd_link_send(link, &msg, NULL);
	free(records);
}

static void send_heartbeat(struct peer *peer, struct pd_link *link)
{
	struct pd_peers *p = peer->peers;
	struct pd_message msg = {.type = PD_MSG_HEARTBEAT};

	msg.heartbeat.seq = ++peer->heartbeat_seq;
	msg.heartbeat.incarnation = pd_members_self(p->setup.members).incarnation;
	msg.heartbeat.config_version = own_config_version(p);
	msg.heartbeat.members_digest = pd_members_digest(p->setup.members);
	msg.heartbeat.zone_digest = pd_members_zone_digest(p->setup.members);
	pd_members_heartbeat_sent(p->setup.members, pd_name_str(&peer->name), msg.heartbeat.seq,
				  pd_os_now_us());
	pd_link_send(link, &msg, NULL);
}

/* Receiving; all functions run in the reader thread of the connection */

/* Closes a connection that violates the protocol. */
static void reject(struct pd_link *link, const struct conn *conn, const char *reason)
{
	pd_log(PD_LOG_WARNING, "peer_rejected", "member=%s reason=\"%s\"",
	       conn->handshake_done ? conn->member.name.text : "unknown", reason);
	pd_link_close(link);
}

static void report_config_version(struct pd_peers *p, struct pd_link *link, uint64_t version)
{
	p->setup.hooks.peer_config_version(p->setup.hooks.arg, link, version);
}

static void set_handshake_done(struct conn *conn, const struct pd_member_record *member)
{
	struct pd_peers *p = conn->peers;

	pthread_mutex_lock(&p->mutex);
	conn->member = *member;
	conn->handshake_done = true;
	if (conn->peer)
		pthread_cond_broadcast(&conn->peer->wake);
	pthread_cond_broadcast(&p->changed);
	pthread_mutex_unlock(&p->mutex);
}

static void handle_hello(struct conn *conn, struct pd_link *link, const struct pd_msg_hello *hello)
{
	struct pd_peers *p = conn->peers;

	if (conn->handshake_done) {
		reject(link, conn, "second hello on the connection");
		return;
	}
	pd_members_merge(p->setup.members, &hello->self, pd_os_now_us());
	if (pd_name_equal(&hello->self.name, &p->setup.self.name)) {
		/* Either this instance has connected to itself or another process has the same
		 * name. */
		if (!conn->accepted)
			set_handshake_done(conn, &hello->self);
		reject(link, conn, "hello with the name of this instance");
		return;
	}
	pd_members_message_received(p->setup.members, pd_name_str(&hello->self.name),
				    hello->self.incarnation, pd_os_now_us());
	if (conn->accepted)
		send_hello(p, link);
	set_handshake_done(conn, &hello->self);
	p->setup.hooks.hello_received(p->setup.hooks.arg, link);
	report_config_version(p, link, hello->config_version);
}

/* Reports to the member table that a message arrived, at most every RECEIVE_REPORT_MIN_US. */
static void report_received_message(struct conn *conn)
{
	int64_t now_us = pd_os_now_us();

	if (now_us - conn->reported_us < RECEIVE_REPORT_MIN_US)
		return;
	conn->reported_us = now_us;
	pd_members_message_received(conn->peers->setup.members, pd_name_str(&conn->member.name),
				    conn->member.incarnation, now_us);
}

static void handle_heartbeat(struct conn *conn, struct pd_link *link,
			     const struct pd_msg_heartbeat *hb)
{
	struct pd_peers *p = conn->peers;
	struct pd_members *members = p->setup.members;
	struct pd_str name = pd_name_str(&conn->member.name);
	struct pd_message ack = {.type = PD_MSG_HEARTBEAT_ACK};
	int64_t now_us = pd_os_now_us();

	if (hb->incarnation != conn->member.incarnation) {
		reject(link, conn, "heartbeat with another incarnation");
		return;
	}
	/* pd_members_may_grant() marks the sender as live. That has to be done before the check for
	 * requests in flight, so that no new ones are started after the check. */
	ack.heartbeat_ack.granted =
		pd_members_may_grant(members, name, hb->incarnation, hb->zone_digest, now_us) &&
		p->setup.hooks.no_requests_in_flight_for(p->setup.hooks.arg, name);
	ack.heartbeat_ack.seq = hb->seq;
	ack.heartbeat_ack.incarnation = pd_members_self(members).incarnation;
	ack.heartbeat_ack.config_version = own_config_version(p);
	pd_link_send(link, &ack, NULL);
	if (hb->members_digest != pd_members_digest(members) &&
	    now_us - conn->gossip_us >= GOSSIP_MIN_US) {
		conn->gossip_us = now_us;
		send_members(p, link);
	}
	report_config_version(p, link, hb->config_version);
}

static void handle_ack(struct conn *conn, struct pd_link *link,
		       const struct pd_msg_heartbeat_ack *ack)
{
	struct pd_peers *p = conn->peers;

	/* The member has restarted or raised its incarnation. The connection is closed, since only
	 * the hello of a new one updates conn->member. */
	if (ack->incarnation != conn->member.incarnation) {
		reject(link, conn, "acknowledgement with another incarnation");
		return;
	}
	pd_members_heartbeat_acked(p->setup.members, pd_name_str(&conn->member.name), ack,
				   pd_os_now_us());
	report_config_version(p, link, ack->config_version);
}

static void handle_members(struct conn *conn, const struct pd_msg_members *msg)
{
	int64_t now_us = pd_os_now_us();

	for (uint32_t i = 0; i < msg->count; i++)
		pd_members_merge(conn->peers->setup.members, &msg->records[i], now_us);
}

static void handle_message(void *arg, struct pd_link *link, const struct pd_message *msg)
{
	struct conn *conn = arg;
	struct pd_peers *p = conn->peers;
	const struct pd_peers_hooks *hooks = &p->setup.hooks;

	if (msg->type == PD_MSG_HELLO) {
		handle_hello(conn, link, &msg->hello);
		return;
	}
	if (!conn->handshake_done) {
		reject(link, conn, "message before hello");
		return;
	}
	report_received_message(conn);
	switch (msg->type) {
	case PD_MSG_HEARTBEAT:
		handle_heartbeat(conn, link, &msg->heartbeat);
		return;
	case PD_MSG_HEARTBEAT_ACK:
		handle_ack(conn, link, &msg->heartbeat_ack);
		return;
	case PD_MSG_SUBREQUEST:
		hooks->subrequest(hooks->arg, link, &msg->subrequest);
		return;
	case PD_MSG_SUBREPLY:
		if (!pd_peer_calls_complete(&p->calls, pd_link_id(link), &msg->subreply))
			pd_count(PD_COUNT_replies_late);
		return;
	case PD_MSG_CANCEL:
		hooks->cancel(hooks->arg, pd_link_id(link), msg->cancel.call);
		return;
	case PD_MSG_MEMBERS:
		handle_members(conn, &msg->members);
		return;
	case PD_MSG_GOODBYE:
		pd_members_mark_leaving(p->setup.members, pd_name_str(&conn->member.name),
					conn->member.incarnation, pd_os_now_us());
		return;
	default:
		hooks->other_message(hooks->arg, link, msg);
		return;
	}
}

static void remove_accepted(struct pd_peers *p, struct conn *conn)
{
	for (struct conn **at = &p->accepted; *at; at = &(*at)->next) {
		if (*at != conn)
			continue;
		*at = conn->next;
		return;
	}
}

static void log_closed(const struct conn *conn, const struct pd_error *reason)
{
	char quoted[PD_LOG_QUOTE_MAX_BYTES];

	if (conn->handshake_done)
		pd_count(PD_COUNT_peer_disconnects);
	if (reason->code == PD_TIMEOUT)
		pd_count(PD_COUNT_peer_silent);
	pd_log(PD_LOG_INFO, "peer_closed", "member=%s accepted=%d code=%s error=%s",
	       conn->handshake_done ? conn->member.name.text : "unknown", conn->accepted,
	       pd_strerror(reason->code), pd_log_quote(pd_str_from(reason->text), quoted));
}

static void handle_closed(void *arg, struct pd_link *link, const struct pd_error *reason)
{
	struct conn *conn = arg;
	struct pd_peers *p = conn->peers;
	bool accepted = conn->accepted;

	log_closed(conn, reason);
	pd_peer_calls_fail_link(&p->calls, pd_link_id(link));
	p->setup.hooks.link_closed(p->setup.hooks.arg, pd_link_id(link));
	if (accepted) {
		pthread_mutex_lock(&p->mutex);
		remove_accepted(p, conn);
		pthread_mutex_unlock(&p->mutex);
		pd_link_put(conn->link);
		free(conn);
	}
	pthread_mutex_lock(&p->mutex);
	if (accepted) {
		p->accepted_count--;
	} else {
		conn->closed = true;
		if (conn->peer) {
			conn->peer->connected = false;
			pthread_cond_broadcast(&conn->peer->wake);
		}
	}
	pthread_cond_broadcast(&p->changed);
	pthread_mutex_unlock(&p->mutex);
}

/* Connecting */

/* Returns the address to connect to for @record; stores in @direct whether it is the member's own
 * address rather than that of a route. */
static struct pd_address address_for(const struct pd_peers *p,
				     const struct pd_member_record *record, bool *direct)
{
	for (uint32_t i = 0; i < p->setup.routes.count; i++) {
		if (pd_name_equal(&p->setup.routes.items[i].name, &record->name)) {
			*direct = false;
			return p->setup.routes.items[i].address;
		}
	}
	*direct = true;
	return record->address;
}

/*
 * Opens a connection, sends a hello and waits for the hello of the other end, which is stored in
 * conn->member. A link may be open also after a failure, so the caller has to call end_conn() in
 * any case. The callbacks of @conn signal @wake.
 */
static enum pd_code connect_and_handshake(struct conn *conn, const struct pd_address *address,
					  int64_t idle_timeout_us, pthread_cond_t *wake,
					  struct pd_error *err)
{
	struct pd_peers *p = conn->peers;
	struct pd_link_handler handler = {handle_message, handle_closed, conn};
	struct pd_link *link;
	int64_t deadline_us;
	enum pd_code code;
	bool ready;
	int fd;

	code = pd_os_connect(address, CONNECT_TIMEOUT_US, &fd, err);
	if (code)
		return code;
	pthread_mutex_lock(&p->mutex);
	conn->handshake_done = false;
	conn->closed = false;
	pthread_mutex_unlock(&p->mutex);
	conn->reported_us = 0;
	conn->gossip_us = 0;
	code = pd_link_start(&link, fd, &handler, idle_timeout_us, err);
	if (code)
		return code;
	pthread_mutex_lock(&p->mutex);
	conn->link = link;
	pthread_mutex_unlock(&p->mutex);
	send_hello(p, link);
	deadline_us = pd_os_now_us() + HELLO_TIMEOUT_US;
	pthread_mutex_lock(&p->mutex);
	while (!conn->handshake_done && !conn->closed && !p->stopping) {
		if (!pd_os_cond_wait_until(wake, &p->mutex, deadline_us))
			break;
	}
	ready = conn->handshake_done && !conn->closed && !p->stopping;
	pthread_mutex_unlock(&p->mutex);
	return ready ? PD_OK
		     : pd_error_set(err, PD_LAYER_COORDINATION, PD_TIMEOUT,
				    "no hello received from %s:%u", address->ip, address->port);
}

/* Closes the connection, if there is one, and waits until its last callback has run. */
static void end_conn(struct conn *conn, pthread_cond_t *wake)
{
	struct pd_peers *p = conn->peers;
	struct pd_link *link;

	pthread_mutex_lock(&p->mutex);
	link = conn->link;
	if (link) {
		pd_link_close(link);
		while (!conn->closed)
			pthread_cond_wait(wake, &p->mutex);
	}
	conn->link = NULL;
	pthread_mutex_unlock(&p->mutex);
	pd_link_put(link);
}

/* Whether the member that answered is the expected one. If not, the expected member may be dead,
 * which is reported to the member table. */
static bool check_identity(struct peer *peer, const struct pd_member_record *expected, bool direct)
{
	struct pd_peers *p = peer->peers;
	const struct pd_member_record *found = &peer->conn.member;

	if (pd_name_equal(&found->name, &expected->name) &&
	    found->incarnation >= expected->incarnation)
		return true;
	pd_log(PD_LOG_WARNING, "peer_unexpected",
	       "expected=%s incarnation=%llu found=%s found_incarnation=%llu", expected->name.text,
	       (unsigned long long)expected->incarnation, found->name.text,
	       (unsigned long long)found->incarnation);
	/* A member that started later uses the address, so the expected one has ended. */
	if (direct && !pd_name_equal(&found->name, &expected->name) &&
	    found->incarnation > expected->incarnation)
		pd_members_connection_refused(p->setup.members, pd_name_str(&expected->name),
					      expected->incarnation, pd_os_now_us());
	return false;
}

static enum pd_code connect_peer(struct peer *peer, const struct pd_member_record *record,
				 struct pd_error *err)
{
	struct pd_peers *p = peer->peers;
	bool own_zone = is_own_zone(p, &record->zone);
	bool direct;
	struct pd_address address = address_for(p, record, &direct);
	enum pd_code code = connect_and_handshake(
		&peer->conn, &address, own_zone ? PD_PEER_IDLE_TIMEOUT_US : IDLE_TIMEOUT_US,
		&peer->wake, err);

	if (code == PD_REFUSED_CONNECTION && own_zone && direct)
		pd_members_connection_refused(p->setup.members, pd_name_str(&record->name),
					      record->incarnation, pd_os_now_us());
	if (code)
		return code;
	if (!check_identity(peer, record, direct))
		return pd_error_set(err, PD_LAYER_COORDINATION, PD_CONFLICT,
				    "another member answered at the address");
	pd_count(PD_COUNT_peer_connects);
	pd_log(PD_LOG_INFO, "peer_connected", "member=%s zone=%s", record->name.text,
	       record->zone.text);
	pthread_mutex_lock(&p->mutex);
	peer->connected = !peer->conn.closed;
	pthread_mutex_unlock(&p->mutex);
	return PD_OK;
}

/* Whether the incarnation of either end of the connection has changed since the hello. */
static bool identity_changed(struct peer *peer, uint64_t own_incarnation)
{
	struct pd_peers *p = peer->peers;
	struct pd_member_record record;

	return pd_members_self(p->setup.members).incarnation != own_incarnation ||
	       !pd_members_find(p->setup.members, pd_name_str(&peer->name), &record) ||
	       record.incarnation != peer->conn.member.incarnation;
}

/* Waits until the connection ends or @until_us passes; without @active, also until a call is
 * pending. Returns false if the connection has ended or all threads are to stop. */
static bool wait_for_peer_event(struct peer *peer, int64_t until_us, bool active)
{
	struct pd_peers *p = peer->peers;
	bool open;

	pthread_mutex_lock(&p->mutex);
	while (!peer->conn.closed && !p->stopping && (active || !ck_pr_load_32(&peer->pending))) {
		if (!pd_os_cond_wait_until(&peer->wake, &p->mutex, until_us))
			break;
	}
	open = !peer->conn.closed && !p->stopping;
	pthread_mutex_unlock(&p->mutex);
	return open;
}

/**
 * struct heartbeat_schedule - schedule of the heartbeats on a connection
 * @active: heartbeats are sent every PD_HEARTBEAT_INTERVAL_US, and the connection ends after
 *	    PD_PEER_IDLE_TIMEOUT_US without received data
 * @active_since_us: time before which idle time does not count, in microseconds of pd_os_now_us()
 * @next_us: time at which the next heartbeat is due, in microseconds of pd_os_now_us()
 */
struct heartbeat_schedule {
	bool active;
	int64_t active_since_us;
	int64_t next_us;
};

static void update_heartbeat_schedule(struct heartbeat_schedule *schedule, bool active,
				      int64_t now_us)
{
	/* The time that this process was paused does not count as idle time: it sent nothing that
	 * the peer could have answered. */
	bool paused = now_us - schedule->next_us > PD_PAUSE_THRESHOLD_US;

	if (active && (!schedule->active || paused)) {
		schedule->active_since_us = now_us;
		schedule->next_us = now_us;
	}
	schedule->active = active;
}

/* Returns the time at which the connection ends if nothing is received until then. */
static int64_t idle_deadline_us(const struct heartbeat_schedule *schedule,
				const struct pd_link *link)
{
	int64_t last_receive_us = pd_link_last_receive_us(link);

	if (!schedule->active)
		return INT64_MAX;
	return (last_receive_us > schedule->active_since_us ? last_receive_us
							    : schedule->active_since_us) +
	       PD_PEER_IDLE_TIMEOUT_US;
}

/* Sends heartbeats until the connection ends, times out or has to be replaced. */
static void run_heartbeats(struct peer *peer, struct pd_link *link, bool own_zone)
{
	uint64_t own_incarnation = pd_members_self(peer->peers->setup.members).incarnation;
	struct heartbeat_schedule schedule = {.next_us = pd_os_now_us()};
	int64_t idle_end_us;

	do {
		int64_t now_us = pd_os_now_us();

		update_heartbeat_schedule(&schedule, own_zone || ck_pr_load_32(&peer->pending),
					  now_us);
		if (now_us >= idle_deadline_us(&schedule, link)) {
			pd_link_expire(link);
			return;
		}
		if (identity_changed(peer, own_incarnation))
			return;
		if (now_us >= schedule.next_us) {
			send_heartbeat(peer, link);
			schedule.next_us = now_us + (schedule.active ? PD_HEARTBEAT_INTERVAL_US
								     : IDLE_HEARTBEAT_US);
		}
		idle_end_us = idle_deadline_us(&schedule, link);
	} while (wait_for_peer_event(
		peer, idle_end_us < schedule.next_us ? idle_end_us : schedule.next_us,
		schedule.active));
}

static void wait_backoff(struct peer *peer, int64_t backoff_us)
{
	struct pd_peers *p = peer->peers;
	/* Random between half and all of the backoff, so that instances do not retry in step. */
	int64_t wait_us = backoff_us / 2 + rand_r(&peer->rand_state) % (backoff_us / 2);
	int64_t until_us = pd_os_now_us() + wait_us;

	pthread_mutex_lock(&p->mutex);
	while (!p->stopping && pd_os_cond_wait_until(&peer->wake, &p->mutex, until_us))
		;
	pthread_mutex_unlock(&p->mutex);
}

static void *run_peer(void *arg)
{
	struct peer *peer = arg;
	struct pd_peers *p = peer->peers;
	struct pd_member_record record;
	struct pd_error err;
	int64_t backoff_us = BACKOFF_MIN_US;

	while (!is_stopping(p) &&
	       pd_members_find(p->setup.members, pd_name_str(&peer->name), &record) &&
	       record.state == PD_MEMBER_LIVE) {
		if (!connect_peer(peer, &record, &err)) {
			run_heartbeats(peer, peer->conn.link, is_own_zone(p, &record.zone));
			end_conn(&peer->conn, &peer->wake);
			backoff_us = BACKOFF_MIN_US;
		} else {
			end_conn(&peer->conn, &peer->wake);
			backoff_us =
				backoff_us * 2 < BACKOFF_MAX_US ? backoff_us * 2 : BACKOFF_MAX_US;
		}
		wait_backoff(peer, backoff_us);
	}
	pthread_mutex_lock(&p->mutex);
	peer->done = true;
	pthread_mutex_unlock(&p->mutex);
	return NULL;
}

/* Timer thread: starts and joins the threads of peers, expires calls and connections */

static struct peer **bucket_of(struct pd_peers *p, struct pd_str name)
{
	return &p->buckets[pd_str_hash(name, 0) % PEER_BUCKETS];
}

static struct peer *find_peer(struct pd_peers *p, struct pd_str name)
{
	struct peer *peer = *bucket_of(p, name);

	while (peer && !pd_str_equal(pd_name_str(&peer->name), name))
		peer = peer->next_in_bucket;
	return peer;
}

static void insert_peer(struct pd_peers *p, struct peer *peer)
{
	struct peer **bucket = bucket_of(p, pd_name_str(&peer->name));

	peer->next = p->list;
	p->list = peer;
	peer->next_in_bucket = *bucket;
	*bucket = peer;
}

static void remove_peer(struct pd_peers *p, struct peer *peer)
{
	struct peer **at = &p->list;

	while (*at != peer)
		at = &(*at)->next;
	*at = peer->next;
	at = bucket_of(p, pd_name_str(&peer->name));
	while (*at != peer)
		at = &(*at)->next_in_bucket;
	*at = peer->next_in_bucket;
}

static void put_peer(struct peer *peer)
{
	if (--peer->refs)
		return;
	pthread_cond_destroy(&peer->wake);
	free(peer);
}

static void add_peer(struct pd_peers *p, const struct pd_member_record *record)
{
	struct peer *peer = calloc(1, sizeof(*peer));
	struct pd_error err;

	if (!peer)
		return;
	peer->peers = p;
	peer->refs = 1;
	peer->name = record->name;
	peer->conn.peers = p;
	peer->conn.peer = peer;
	peer->rand_state = (unsigned int)pd_os_random_seed();
	pd_os_cond_init(&peer->wake);
	if (pd_os_thread_start(&peer->thread, "peer", run_peer, peer, &err)) {
		pd_log_failure(PD_LOG_ERROR, "peer_thread", &err);
		put_peer(peer);
		return;
	}
	insert_peer(p, peer);
}

/* Returns a peer whose thread has ended, or with @any any peer; NULL if there is none. */
static struct peer *find_done_peer(struct pd_peers *p, bool any)
{
	struct peer *peer = p->list;

	while (peer && !peer->done && !any)
		peer = peer->next;
	return peer;
}

/* Joins the threads of peers that have ended, or with @all the threads of all peers. */
static void reap_peers(struct pd_peers *p, bool all)
{
	struct peer *peer;

	pthread_mutex_lock(&p->mutex);
	while ((peer = find_done_peer(p, all))) {
		remove_peer(p, peer);
		pthread_mutex_unlock(&p->mutex);
		pthread_join(peer->thread, NULL);
		pthread_mutex_lock(&p->mutex);
		put_peer(peer);
	}
	pthread_mutex_unlock(&p->mutex);
}

/* Adds a peer for each live member that has none. */
static void add_missing_peers(struct pd_peers *p)
{
	size_t count = pd_members_list(p->setup.members, p->records, PD_MEMBERS_MAX);

	for (size_t i = 1; i < count; i++) {
		if (p->records[i].state != PD_MEMBER_LIVE)
			continue;
		pthread_mutex_lock(&p->mutex);
		if (!p->stopping && !find_peer(p, pd_name_str(&p->records[i].name)))
			add_peer(p, &p->records[i]);
		pthread_mutex_unlock(&p->mutex);
	}
}

/* Expires accepted connections that sent no hello in time, and those of members of the own zone
 * from which nothing was received for PD_PEER_IDLE_TIMEOUT_US. */
static void expire_accepted(struct pd_peers *p, int64_t now_us)
{
	pthread_mutex_lock(&p->mutex);
	for (struct conn *conn = p->accepted; conn; conn = conn->next) {
		int64_t idle_us;

		if (!conn->link)
			continue;
		idle_us = now_us - pd_link_last_receive_us(conn->link);
		if ((!conn->handshake_done && idle_us > HELLO_TIMEOUT_US) ||
		    (conn->handshake_done && is_own_zone(p, &conn->member.zone) &&
		     idle_us > PD_PEER_IDLE_TIMEOUT_US))
			pd_link_expire(conn->link);
	}
	pthread_mutex_unlock(&p->mutex);
}

static void run_tick(struct pd_peers *p, int64_t now_us, int64_t *no_expiry_until_us)
{
	/* After a pause of this process, peers get time to send again before connections expire. */
	if (pd_members_tick(p->setup.members, now_us))
		*no_expiry_until_us = now_us + PD_PEER_IDLE_TIMEOUT_US;
	if (now_us >= *no_expiry_until_us)
		expire_accepted(p, now_us);
	reap_peers(p, false);
	add_missing_peers(p);
}

static void *run_timer(void *arg)
{
	struct pd_peers *p = arg;
	int64_t next_tick_us = 0;
	int64_t no_expiry_until_us = 0;

	while (!is_stopping(p)) {
		int64_t now_us = pd_os_now_us();
		uint64_t digest = pd_members_digest(p->setup.members);

		pd_peer_calls_expire(&p->calls, now_us);
		if (now_us >= next_tick_us || digest != p->synced_digest) {
			p->synced_digest = digest;
			next_tick_us = now_us + TICK_INTERVAL_US;
			run_tick(p, now_us, &no_expiry_until_us);
		}
		pthread_mutex_lock(&p->mutex);
		if (!p->stopping)
			pd_os_cond_wait_until(&p->changed, &p->mutex, now_us + TIMER_INTERVAL_US);
		pthread_mutex_unlock(&p->mutex);
	}
	return NULL;
}

/* Accepting */

static void start_accepted(struct pd_peers *p, int fd)
{
	struct conn *conn = calloc(1, sizeof(*conn));
	struct pd_link_handler handler = {handle_message, handle_closed, conn};
	struct pd_error err;

	if (!conn) {
		pd_os_close(&fd);
		return;
	}
	conn->peers = p;
	conn->accepted = true;
	/* The callbacks lock the mutex, so they wait until the connection is in the list. */
	pthread_mutex_lock(&p->mutex);
	if (p->stopping || p->accepted_count >= ACCEPTED_MAX) {
		pd_os_close(&fd);
		free(conn);
	} else if (pd_link_start(&conn->link, fd, &handler, IDLE_TIMEOUT_US, &err)) {
		pd_log_failure(PD_LOG_ERROR, "peer_accept", &err);
		free(conn);
	} else {
		conn->next = p->accepted;
		p->accepted = conn;
		p->accepted_count++;
	}
	pthread_mutex_unlock(&p->mutex);
}

static void *run_acceptor(void *arg)
{
	struct pd_peers *p = arg;
	struct pd_error err;
	int fd;

	while (!is_stopping(p)) {
		enum pd_code code = pd_os_accept(p->listener, &fd, &err);

		if (code == PD_CLOSED)
			break;
		if (code) {
			/* Other errors may be temporary, so it tries again. */
			pd_log_failure(PD_LOG_ERROR, "peer_accept", &err);
			pd_os_sleep_us(BACKOFF_MIN_US);
			continue;
		}
		start_accepted(p, fd);
	}
	return NULL;
}

/* Seeds */

/* Whether the member at the seed's address is known, so that no connection is needed: it is this
 * instance, or it is live in the member table, so that the thread of a peer connects to it. */
static bool seed_is_member(struct seed *seed)
{
	struct pd_peers *p = seed->peers;
	struct pd_member_record record;

	return seed->member_name.len &&
	       (pd_name_equal(&seed->member_name, &p->setup.self.name) ||
		(pd_members_find(p->setup.members, pd_name_str(&seed->member_name), &record) &&
		 record.state == PD_MEMBER_LIVE));
}

static bool is_own_address(const struct pd_peers *p, const struct pd_address *address)
{
	return !strcmp(address->ip, p->setup.self.address.ip) &&
	       address->port == p->setup.self.address.port;
}

static void *run_seed(void *arg)
{
	struct seed *seed = arg;
	struct pd_peers *p = seed->peers;
	struct pd_error err;
	int64_t until_us;

	while (!is_stopping(p)) {
		if (!seed_is_member(seed)) {
			connect_and_handshake(&seed->conn, &seed->address, HELLO_TIMEOUT_US,
					      &p->changed, &err);
			end_conn(&seed->conn, &p->changed);
			if (seed->conn.handshake_done)
				seed->member_name = seed->conn.member.name;
		}
		until_us = pd_os_now_us() + SEED_RETRY_US;
		pthread_mutex_lock(&p->mutex);
		while (!p->stopping && pd_os_cond_wait_until(&p->changed, &p->mutex, until_us))
			;
		pthread_mutex_unlock(&p->mutex);
	}
	return NULL;
}

static enum pd_code start_seeds(struct pd_peers *p, struct pd_error *err)
{
	p->seeds = calloc(p->setup.seeds.count + 1, sizeof(*p->seeds));
	if (!p->seeds)
		return pd_error_set(err, PD_LAYER_COORDINATION, PD_NO_MEMORY,
				    "out of memory for seeds");
	for (uint32_t i = 0; i < p->setup.seeds.count; i++) {
		struct seed *seed = &p->seeds[p->seed_count];
		enum pd_code code;

		if (is_own_address(p, &p->setup.seeds.items[i]))
			continue;
		seed->peers = p;
		seed->conn.peers = p;
		seed->address = p->setup.seeds.items[i];
		code = pd_os_thread_start(&seed->thread, "seed", run_seed, seed, err);
		if (code)
			return code;
		p->seed_count++;
	}
	return PD_OK;
}

/* Open, start, close */

enum pd_code pd_peers_open(struct pd_peers **peers, struct pd_peers_setup *setup,
			   struct pd_error *err)
{
	struct pd_peers *p = calloc(1, sizeof(*p));
	enum pd_code code;

	*peers = NULL;
	if (p)
		p->records = calloc(PD_MEMBERS_MAX, sizeof(*p->records));
	if (!p || !p->records) {
		free(p);
		return pd_error_set(err, PD_LAYER_COORDINATION, PD_NO_MEMORY,
				    "out of memory for peers");
	}
	code = pd_os_listen(&setup->listen, &p->listener, err);
	if (code) {
		free(p->records);
		free(p);
		return pd_error_wrap(err, PD_LAYER_COORDINATION, code, "peer listener");
	}
	p->setup_in = setup;
	pthread_mutex_init(&p->mutex, NULL);
	pd_os_cond_init(&p->changed);
	pd_peer_calls_init(&p->calls);
	*peers = p;
	return PD_OK;
}

enum pd_code pd_peers_start(struct pd_peers *peers, struct pd_error *err)
{
	enum pd_code code;

	peers->setup = *peers->setup_in;
	peers->setup_in = NULL;
	if (!peers->setup.self.address.port)
		peers->setup.self.address.port = peers->setup.listen.port;
	code = pd_os_thread_start(&peers->acceptor, "peer-accept", run_acceptor, peers, err);
	if (code)
		return code;
	code = pd_os_thread_start(&peers->timer, "peer-timer", run_timer, peers, err);
	if (code) {
		pd_os_shutdown(peers->listener);
		pthread_join(peers->acceptor, NULL);
		return code;
	}
	peers->started = true;
	return start_seeds(peers, err);
}

/* Allocates an array of references to the links that can be used: those that this instance opened,
 * with @own_zone only to members of the own zone, and with @accepted also the accepted ones. */
static size_t collect_links(struct pd_peers *p, bool own_zone, bool accepted,
			    struct pd_link ***links)
{
	size_t count = 0;
	size_t max = accepted ? p->accepted_count : 0;

	for (struct peer *peer = p->list; peer; peer = peer->next)
		max++;
	*links = calloc(max + 1, sizeof(struct pd_link *));
	if (!*links)
		return 0;
	for (struct peer *peer = p->list; peer; peer = peer->next) {
		if (peer->connected && (!own_zone || is_own_zone(p, &peer->conn.member.zone)))
			(*links)[count++] = pd_link_get(peer->conn.link);
	}
	for (struct conn *conn = accepted ? p->accepted : NULL; conn; conn = conn->next) {
		if (conn->handshake_done)
			(*links)[count++] = pd_link_get(conn->link);
	}
	return count;
}

void pd_peers_goodbye(struct pd_peers *peers, int64_t timeout_us)
{
	struct pd_message msg = {.type = PD_MSG_GOODBYE};
	struct pd_member_record self = own_record(peers);
	int64_t deadline_us = pd_os_now_us() + timeout_us;
	struct pd_link **links;
	size_t count;

	pd_members_resign(peers->setup.members);
	self.state = PD_MEMBER_LEAVING;
	pd_members_merge(peers->setup.members, &self, pd_os_now_us());
	pthread_mutex_lock(&peers->mutex);
	peers->leaving = true;
	count = collect_links(peers, false, true, &links);
	pthread_mutex_unlock(&peers->mutex);
	for (size_t i = 0; i < count; i++)
		pd_link_send(links[i], &msg, NULL);
	for (size_t i = 0; i < count; i++) {
		pd_link_flush(links[i], deadline_us);
		pd_link_put(links[i]);
	}
	free(links);
}

static void stop_threads(struct pd_peers *p)
{
	pthread_mutex_lock(&p->mutex);
	p->stopping = true;
	pthread_cond_broadcast(&p->changed);
	for (struct peer *peer = p->list; peer; peer = peer->next)
		pthread_cond_broadcast(&peer->wake);
	pthread_mutex_unlock(&p->mutex);
	pd_os_shutdown(p->listener);
	pthread_join(p->acceptor, NULL);
	pthread_join(p->timer, NULL);
	reap_peers(p, true);
	for (uint32_t i = 0; i < p->seed_count; i++)
		pthread_join(p->seeds[i].thread, NULL);
}

void pd_peers_close(struct pd_peers *peers)
{
	if (!peers)
		return;
	if (peers->started)
		stop_threads(peers);
	pthread_mutex_lock(&peers->mutex);
	for (struct conn *conn = peers->accepted; conn; conn = conn->next)
		pd_link_close(conn->link);
	while (peers->accepted_count)
		pthread_cond_wait(&peers->changed, &peers->mutex);
	pthread_mutex_unlock(&peers->mutex);
	pd_peer_calls_finish(&peers->calls);
	pd_os_close(&peers->listener);
	pthread_cond_destroy(&peers->changed);
	pthread_mutex_destroy(&peers->mutex);
	free(peers->seeds);
	free(peers->records);
	free(peers);
}

/* Calls */

/* Returns the peer @to and its link, each with a new reference, or NULL if it is not connected. */
static struct peer *acquire_peer(struct pd_peers *p, struct pd_str to, struct pd_link **link)
{
	struct peer *peer;

	pthread_mutex_lock(&p->mutex);
	peer = find_peer(p, to);
	if (peer && peer->connected) {
		peer->refs++;
		*link = pd_link_get(peer->conn.link);
	} else {
		peer = NULL;
	}
	pthread_mutex_unlock(&p->mutex);
	return peer;
}

static void release_peer(struct pd_peers *p, struct peer *peer, struct pd_link *link)
{
	pthread_mutex_lock(&p->mutex);
	/* The first pending call makes the peer's thread send heartbeats, so that it detects a
	 * half-open connection. */
	if (ck_pr_load_32(&peer->pending) == 1)
		pthread_cond_broadcast(&peer->wake);
	put_peer(peer);
	pthread_mutex_unlock(&p->mutex);
	pd_link_put(link);
}

static enum pd_code send_call(struct pd_peers *p, struct peer *peer, struct pd_link *link,
			      const struct pd_msg_subrequest *request, pd_reply_fn *reply,
			      void *arg, uint64_t *call, struct pd_error *err)
{
	struct pd_message msg = {.type = PD_MSG_SUBREQUEST, .subrequest = *request};
	int64_t expires_us = pd_os_now_us() + request->deadline_us + PD_PEER_CALL_GRACE_US;
	enum pd_code code;

	if (!pd_peer_calls_add(&p->calls, link, &peer->pending, reply, arg, expires_us, call))
		return pd_error_set(err, PD_LAYER_COORDINATION, PD_UNAVAILABLE,
				    "too many pending calls (%d)", PD_PEER_CALLS_MAX);
	msg.subrequest.call = *call;
	code = pd_link_send(link, &msg, err);
	/* If the call has already ended, its callback was called, which counts as PD_OK. */
	if (!code || !pd_peer_calls_remove(&p->calls, *call))
		return PD_OK;
	if (code == PD_CLOSED)
		code = PD_UNREACHABLE;
	return pd_error_wrap(err, PD_LAYER_COORDINATION, code,
			     "can't send a sub-request to a peer");
}

enum pd_code pd_peers_subrequest(struct pd_peers *peers, struct pd_str to,
				 const struct pd_msg_subrequest *request, pd_reply_fn *reply,
				 void *arg, uint64_t *call, struct pd_error *err)
{
	struct pd_link *link;
	struct peer *peer = acquire_peer(peers, to, &link);
	enum pd_code code;

	*call = 0;
	if (!peer)
		return pd_error_set(err, PD_LAYER_COORDINATION, PD_UNREACHABLE,
				    "no connection to member \"%.*s\"", PD_STR_ARG(to));
	code = send_call(peers, peer, link, request, reply, arg, call, err);
	release_peer(peers, peer, link);
	return code;
}

void pd_peers_cancel(struct pd_peers *peers, uint64_t call)
{
	struct pd_message msg = {.type = PD_MSG_CANCEL, .cancel = {call}};
	struct pd_link *link = pd_peer_calls_link(&peers->calls, call);

	if (!link)
		return;
	pd_link_send(link, &msg, NULL);
	pd_link_put(link);
}

void pd_peers_broadcast(struct pd_peers *peers, const struct pd_message *msg, bool own_zone)
{
	struct pd_link **links;
	size_t count;

	pthread_mutex_lock(&peers->mutex);
	count = collect_links(peers, own_zone, false, &links);
	pthread_mutex_unlock(&peers->mutex);
	for (size_t i = 0; i < count; i++) {
		pd_link_send(links[i], msg, NULL);
		pd_link_put(links[i]);
	}
	free(links);
}

size_t pd_peers_count_connected(struct pd_peers *peers)
{
	size_t count = 0;

	pthread_mutex_lock(&peers->mutex);
	for (struct peer *peer = peers->list; peer; peer = peer->next)
		count += peer->connected && is_own_zone(peers, &peer->conn.member.zone);
	pthread_mutex_unlock(&peers->mutex);
	return count;
}

static bool is_connected(struct pd_peers *p, struct pd_str name)
{
	const struct peer *peer;
	bool connected;

	pthread_mutex_lock(&p->mutex);
	peer = find_peer(p, name);
	connected = peer && peer->connected;
	pthread_mutex_unlock(&p->mutex);
	return connected;
}

void pd_peers_status(struct pd_peers *peers, struct pd_buf *out)
{
	static const char *const states[] = {"live", "leaving", "dead"};
	struct pd_member_record *records = calloc(PD_MEMBERS_MAX, sizeof(*records));
	size_t count = 0;

	if (records)
		count = pd_members_list(peers->setup.members, records, PD_MEMBERS_MAX);
	pd_buf_append_str(out, PD_STR("["));
	for (size_t i = 1; i < count; i++) {
		const struct pd_member_record *r = &records[i];

		pd_buf_printf(
			out,
			"%s{\"name\":\"%s\",\"zone\":\"%s\",\"state\":\"%s\",\"connected\":%s}",
			i > 1 ? "," : "", r->name.text, r->zone.text, states[r->state],
			is_connected(peers, pd_name_str(&r->name)) ? "true" : "false");
	}
	pd_buf_append_str(out, PD_STR("]"));
	free(records);
}
