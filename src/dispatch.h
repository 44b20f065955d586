/**
 * DOC: Sends a sub-request to the instance that owns its upstream
 *
 * The owner is this instance or a peer. If a candidate can't be reached, the next one in rank order
 * is tried; at most three are tried, and only as long as the sub-request has not been sent.
 */
#ifndef PD_DISPATCH_H
#define PD_DISPATCH_H

#include "peers.h"

/**
 * struct pd_dispatch - sends sub-requests to the owners of upstreams
 * @peers: connections to the other instances
 * @upstreams: upstreams that this instance owns
 * @members: membership table, which ranks the candidate owners of an upstream
 * @self: name of this instance
 */
struct pd_dispatch {
	struct pd_peers *peers;
	struct pd_upstreams *upstreams;
	struct pd_members *members;
	struct pd_name self;
};

/** enum pd_sender_type - kind of sender */
enum pd_sender_type {
	PD_SENDER_DISPATCH, /* sends to the instance that owns the upstream */
	PD_SENDER_FAKE, /* calls functions of a test */
};

/**
 * struct pd_fake_sender - sender that a test provides
 * @send: sends a sub-request; calls @reply exactly once, from any thread, at any time
 * @cancel: cancels the sub-request with the given handle
 * @arg: first argument of @send and @cancel
 */
struct pd_fake_sender {
	void (*send)(void *arg, const struct pd_msg_subrequest *request, struct pd_str zone,
		     pd_reply_fn *reply, void *reply_arg, uint64_t *handle);
	void (*cancel)(void *arg, uint64_t handle);
	void *arg;
};

/** struct pd_sender - tagged union of the senders of sub-requests */
struct pd_sender {
	enum pd_sender_type type;
	union {
		struct pd_dispatch *dispatch;
		struct pd_fake_sender fake;
	};
};

/**
 * pd_sender_send() - sends one sub-request
 * @zone: availability zone of the upstream
 * @reply: receives the reply; called exactly once, possibly before this function returns
 * @arg: first argument of @reply
 * @handle: set to the handle for pd_sender_cancel() before the request is sent, or to 0 if it isn't
 * sent
 */
void pd_sender_send(struct pd_sender *sender, const struct pd_msg_subrequest *request,
		    struct pd_str zone, pd_reply_fn *reply, void *arg, uint64_t *handle);
/* Cancels the sub-request with @handle; does nothing if @handle is 0. */
void pd_sender_cancel(struct pd_sender *sender, uint64_t handle);

#endif
