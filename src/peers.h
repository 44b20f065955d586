/**
 * DOC: Connections to the other entry instances
 *
 * One thread for each known member connects, says hello, and sends heartbeats; one listener accepts
 * the connections that peers open. Requests go over the connection that this instance opened,
 * replies come back on the same one. Members of the own zone get a heartbeat every
 * PD_HEARTBEAT_INTERVAL_US; others only while calls are pending, else every 5 s.
 */
#ifndef PD_PEERS_H
#define PD_PEERS_H

#include "link.h"
#include "members.h"
#include "settings.h"
#include "upstream.h"

/**
 * struct pd_peers_hooks - what the rest of the instance does for its peers
 * @subrequest: run it; answer with pd_link_send() of a subreply with the same call
 * @cancel: of a sub-request that came over the link with id @link_id
 * @link_closed: a link over which sub-requests may have come ended
 * @other_message: any other message that peers.c doesn't handle itself (config_*, suspect, index)
 * @no_requests_in_flight_for: whether nothing is in flight here for which @member ranks first; the
 *table already has it as live when this is called
 * @config_version: in force here
 * @hello_received: a peer said hello on @link, which takes messages for it from now on
 * @peer_config_version: a peer told its version; @link can be used to ask it for entries
 * @arg: passed to all
 *
 * All functions must be set.
 */
struct pd_peers_hooks {
	void (*subrequest)(void *arg, struct pd_link *link, const struct pd_msg_subrequest *req);
	void (*cancel)(void *arg, uint64_t link_id, uint64_t call);
	void (*link_closed)(void *arg, uint64_t link_id);
	void (*other_message)(void *arg, struct pd_link *link, const struct pd_message *msg);
	bool (*no_requests_in_flight_for)(void *arg, struct pd_str member);
	uint64_t (*config_version)(void *arg);
	void (*hello_received)(void *arg, struct pd_link *link);
	void (*peer_config_version)(void *arg, struct pd_link *link, uint64_t version);
	void *arg;
};

/**
 * struct pd_peers_setup
 * @self: this instance; the port of its address may be 0 until pd_peers_start()
 * @listen: where peers connect to
 * @seeds: addresses to try for members that aren't known yet
 * @routes: other addresses to use for named members
 * @members: the member table, borrowed
 * @hooks: copied
 */
struct pd_peers_setup {
	struct pd_member_record self;
	struct pd_address listen;
	struct pd_address_list seeds;
	struct pd_route_list routes;
	struct pd_members *members;
	struct pd_peers_hooks hooks;
};

struct pd_peers;

/*
 * Listens; the listening address is stored back in setup->listen. @setup must stay valid until
 * pd_peers_start(), which copies it, so that the port and the member table can be filled in
 * between.
 */
enum pd_code pd_peers_open(struct pd_peers **peers, struct pd_peers_setup *setup,
			   struct pd_error *err);
enum pd_code pd_peers_start(struct pd_peers *peers, struct pd_error *err);
/* Says goodbye on every link, flushes for at most @timeout_us. Sub-requests are still answered. */
void pd_peers_goodbye(struct pd_peers *peers, int64_t timeout_us);
void pd_peers_close(struct pd_peers *peers); /* ends all threads; pending calls get PD_SUB_LOST */

/**
 * pd_peers_subrequest() - sends one sub-request to the member @to
 * @request: its call is replaced; deadline_us counts from now
 * @reply: called once after PD_OK: with the reply, or PD_SUB_LOST when the connection ends or the
 *deadline passes by more than 20 ms without one
 * @call: stores the id for pd_peers_cancel()
 *
 * Return: PD_UNREACHABLE when there is no working connection (not sent), PD_UNAVAILABLE.
 */
enum pd_code pd_peers_subrequest(struct pd_peers *peers, struct pd_str to,
				 const struct pd_msg_subrequest *request, pd_reply_fn *reply,
				 void *arg, uint64_t *call, struct pd_error *err);
/* Asks the owner to cancel; the reply still comes. */
void pd_peers_cancel(struct pd_peers *peers, uint64_t call);
/* Sends to all connected members, or to those of the own zone. */
void pd_peers_broadcast(struct pd_peers *peers, const struct pd_message *msg, bool own_zone);
/* Connected links to members of the own zone; readiness and status use it. */
size_t pd_peers_count_connected(struct pd_peers *peers);
/* Appends a JSON array with one object for each peer: name, zone, state, connected. */
void pd_peers_status(struct pd_peers *peers, struct pd_buf *out);

#endif
