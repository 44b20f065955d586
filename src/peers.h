/**
 * DOC: Connections to the other entry instances
 *
 * A thread for each known member connects to it, exchanges hello messages and sends heartbeats; a
 * listener accepts the connections that peers open. Sub-requests are sent over the connection that
 * this instance opened, and replies return on the same connection. Heartbeats are sent every
 * PD_HEARTBEAT_INTERVAL_US to members of the own zone and to members with pending calls, and every
 * 5 s to others.
 */
#ifndef PD_PEERS_H
#define PD_PEERS_H

#include "link.h"
#include "members.h"
#include "settings.h"
#include "upstream.h"

/**
 * struct pd_peers_hooks - callbacks for events on the connections to peers
 * @subrequest: runs a sub-request of a peer; the reply has to be sent with pd_link_send() on @link,
 *		with the same call id
 * @cancel: cancels a sub-request that was received over the link with id @link_id
 * @link_closed: called after a link has closed over which sub-requests may have been received
 * @other_message: handles a message of a type that peers.c does not handle: configuration, suspect
 *		   and index messages
 * @no_requests_in_flight_for: returns whether this instance has no requests in flight to upstreams
 *			       for which @member has a higher rank; called after @member was
 *			       marked as live in the member table
 * @config_version: returns the version of the configuration that this instance uses
 * @hello_received: called when the hello of a peer was received on @link; from then on, other
 *		    messages can be sent on @link
 * @peer_config_version: called with the configuration version that a peer reported; if it is newer
 *			 than the own one, entries can be requested on @link
 * @arg: first argument of all callbacks
 *
 * All callbacks must be set.
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
 * struct pd_peers_setup - settings
 * @self: record of this instance; if the port of its address is 0, pd_peers_start() sets it to the
 *	  port of @listen
 * @listen: listening address for the connections of peers
 * @seeds: addresses of members; each is connected to until its member is live in the member table
 * @routes: addresses that replace the addresses of the named members
 * @members: member table; not owned
 * @hooks: callbacks
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
 * Opens the listening socket and stores its address in setup->listen. @setup must stay valid until
 * pd_peers_start(), which copies it, so that the caller can fill in the port and the member table
 * in between.
 */
enum pd_code pd_peers_open(struct pd_peers **peers, struct pd_peers_setup *setup,
			   struct pd_error *err);
/* Starts the threads. */
enum pd_code pd_peers_start(struct pd_peers *peers, struct pd_error *err);
/* Announces the shutdown of this instance to all peers and waits at most @timeout_us until the
 * messages are written. Sub-requests of peers are still handled. */
void pd_peers_goodbye(struct pd_peers *peers, int64_t timeout_us);
/* Closes all connections, ends all threads and frees @peers; pending calls end with PD_SUB_LOST. */
void pd_peers_close(struct pd_peers *peers);

/**
 * pd_peers_subrequest() - sends a sub-request to a peer
 * @peers: connections to the peers
 * @to: name of the peer
 * @request: sub-request; @call is replaced, and @deadline_us counts from now
 * @reply: after PD_OK, called once with the reply, or with PD_SUB_LOST if the connection ends or no
 *	   reply arrives within 20 ms after the deadline
 * @arg: argument of @reply
 * @call: stores the id of the call for pd_peers_cancel()
 * @err: filled in on failure
 *
 * Return: PD_UNREACHABLE if there is no working connection, PD_UNAVAILABLE if too many calls are
 * pending or the send queue is full. After any failure, the sub-request was not sent.
 */
enum pd_code pd_peers_subrequest(struct pd_peers *peers, struct pd_str to,
				 const struct pd_msg_subrequest *request, pd_reply_fn *reply,
				 void *arg, uint64_t *call, struct pd_error *err);
/* Sends a cancellation of the call to its peer; the reply callback is still called. */
void pd_peers_cancel(struct pd_peers *peers, uint64_t call);
/* Sends @msg to all connected members, or with @own_zone only to those of the own zone. */
void pd_peers_broadcast(struct pd_peers *peers, const struct pd_message *msg, bool own_zone);
/* Returns the number of connected members of the own zone. */
size_t pd_peers_count_connected(struct pd_peers *peers);
/* Appends a JSON array of objects with the name, zone, state and connected flag of each peer. */
void pd_peers_status(struct pd_peers *peers, struct pd_buf *out);

#endif
