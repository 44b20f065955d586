/**
 * DOC: Request queue, connection pool and admission control of the upstreams of this instance
 *
 * An instance sends requests only to upstreams of its zone that it owns. For each of these it has a
 * queue ordered by urgency and deadline, and worker threads, which are started as needed. A worker
 * keeps one HTTP connection open and runs one request at a time. There are at most as many workers
 * as the upstream has slots, and one less than its configured number of connections: a control
 * thread uses the last one to poll the upstream's health and to send cancellations.
 */
#ifndef PD_UPSTREAM_H
#define PD_UPSTREAM_H

#include "config.h"
#include "members.h"
#include "suspects.h"

/*
 * Receives the reply to a sub-request. Called exactly once for each submitted sub-request, from any
 * thread; must not block for long.
 */
typedef void pd_reply_fn(void *arg, const struct pd_msg_subreply *reply);

struct pd_upstreams;

/**
 * struct pd_upstreams_setup - parameters of pd_upstreams_open()
 * @zone: availability zone of this instance
 * @config: holder of the configuration in force
 * @members: member table, which decides which upstreams this instance owns
 * @suspects: table of requests that may crash upstreams
 * @announce: sends a suspect to the peers; called before the failed sub-request is answered; may be
 * NULL
 * @arg: first argument of @announce
 *
 * The objects that it points to must exist until pd_upstreams_close().
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
 * Cancels all requests in flight, delivers their replies and ends all threads. The other functions
 * may still be called until pd_upstreams_close(); they refuse new sub-requests.
 */
void pd_upstreams_stop(struct pd_upstreams *upstreams);
/* Calls pd_upstreams_stop() and frees everything. */
void pd_upstreams_close(struct pd_upstreams *upstreams);

/**
 * pd_upstreams_submit() - queues one sub-request, or refuses it at once
 * @request: the sub-request, which is copied; its deadline_us is the time left from now
 * @origin: id of the peer connection that the sub-request arrived on, 0 for this instance;
 * pd_upstreams_cancel() identifies a sub-request by @origin and @request->call
 * @reply: called once with the reply, possibly before this function returns
 * @arg: first argument of @reply
 */
void pd_upstreams_submit(struct pd_upstreams *upstreams, const struct pd_msg_subrequest *request,
			 uint64_t origin, pd_reply_fn *reply, void *arg);
/*
 * Cancels a sub-request that is queued or in flight. Its reply function is still called, with
 * PD_SUB_CANCELLED or the result.
 */
void pd_upstreams_cancel(struct pd_upstreams *upstreams, uint64_t origin, uint64_t call);
/* Cancels the idempotent sub-requests that arrived on the closed connection @origin. */
void pd_upstreams_cancel_origin(struct pd_upstreams *upstreams, uint64_t origin);
/*
 * True when no request is in flight at any upstream for which @member ranks above this instance, so
 * that @member may be granted a lease.
 */
bool pd_upstreams_none_in_flight_for(struct pd_upstreams *upstreams, struct pd_str member);
/* Sets whether the platform's list marks the upstream as leaving. */
void pd_upstreams_set_leaving(struct pd_upstreams *upstreams, struct pd_str upstream, bool leaving);
/* Number of sub-requests that have been submitted and whose reply function hasn't returned. */
uint64_t pd_upstreams_pending_count(struct pd_upstreams *upstreams);
/*
 * Appends a JSON array with an object for each upstream: name, ownership, concurrency limit, and
 * whether it's in a cold start; number of requests in flight and queued; whether it's leaving.
 */
void pd_upstreams_status(struct pd_upstreams *upstreams, struct pd_buf *out);

#endif
