/**
 * DOC: Owner side: the queue, connections and limits of each upstream of this instance's zone
 *
 * For each upstream that this instance owns there is a queue ordered by urgency and deadline, and
 * one worker thread for each slot; a worker holds one kept HTTP connection and runs one request at
 * a time. One more thread polls health and carries cancellations.
 */
#ifndef PD_UPSTREAM_H
#define PD_UPSTREAM_H

#include "config.h"
#include "members.h"
#include "suspects.h"

/* Called exactly once for each submitted sub-request, from any thread; must not block for long. */
typedef void pd_reply_fn(void *arg, const struct pd_msg_subreply *reply);

struct pd_upstreams;

/**
 * struct pd_upstreams_setup - what the owner side works with; borrowed, must outlive it
 * @zone: of this instance
 * @config: configuration in force
 * @members: who owns what
 * @suspects: crashing requests
 * @announce: tells peers about a suspect before its failure is reported; may be NULL
 * @arg: passed to @announce
 */
struct pd_upstreams_setup {
	struct pd_name zone;
	struct pd_config_holder *config;
	struct pd_members *members;
	struct pd_suspects *suspects;
	void (*announce)(void *arg, const struct pd_msg_suspect *suspect);
	void *arg;
};

enum pd_code pd_upstreams_open(struct pd_upstreams **upstreams,
			       const struct pd_upstreams_setup *setup, struct pd_error *err);
/*
 * Ends all threads; requests in flight are cancelled and their replies delivered first. Other calls
 * stay allowed until pd_upstreams_close(); new work is refused.
 */
void pd_upstreams_stop(struct pd_upstreams *upstreams);
void pd_upstreams_close(struct pd_upstreams *upstreams); /* stops it first */

/**
 * pd_upstreams_submit() - queues one sub-request, or refuses it at once
 * @request: copied; deadline_us counts from now
 * @origin: id of the connection that it came from, 0 for this instance; with @request->call names
 *it in a cancellation
 * @reply: called once, perhaps before this returns
 */
void pd_upstreams_submit(struct pd_upstreams *upstreams, const struct pd_msg_subrequest *request,
			 uint64_t origin, pd_reply_fn *reply, void *arg);
/* Cancels in the queue or at the upstream; the reply still comes (PD_SUB_CANCELLED or the result).
 */
void pd_upstreams_cancel(struct pd_upstreams *upstreams, uint64_t origin, uint64_t call);
/* The connection @origin ended: cancels its idempotent sub-requests. */
void pd_upstreams_cancel_origin(struct pd_upstreams *upstreams, uint64_t origin);
/* True when nothing is in flight at any upstream for which @member ranks above this instance. */
bool pd_upstreams_none_in_flight_for(struct pd_upstreams *upstreams, struct pd_str member);
/* The platform's list or the upstream itself says that it leaves (or is back). */
void pd_upstreams_set_leaving(struct pd_upstreams *upstreams, struct pd_str upstream, bool leaving);
uint64_t pd_upstreams_pending_count(struct pd_upstreams *upstreams); /* queued and running */
/* Appends a JSON array with one object for each upstream: name, owner, limit, cold, in flight,
 * queued, leaving. */
void pd_upstreams_status(struct pd_upstreams *upstreams, struct pd_buf *out);

#endif
