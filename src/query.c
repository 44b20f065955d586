#include "query.h"

#include <ck_pr.h>
#include <ctype.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "counters.h"
#include "gather.h"
#include "log.h"

#define DEFAULT_DEADLINE_US (1 * PD_USEC_PER_SEC)
#define DEADLINE_MAX_US	    (PD_DEADLINE_MAX_MS * PD_USEC_PER_MSEC)
/*
 * Time reserved before the deadline for sending the answer to the caller: the deadline divided by
 * MARGIN_DIVISOR, but at most MARGIN_MAX_US.
 */
#define MARGIN_MAX_US  (5 * PD_USEC_PER_MSEC)
#define MARGIN_DIVISOR 20
/* A query is restarted only if at least this fraction (1/n) of its time is left. */
#define RESTART_TIME_DIVISOR 3
/* A part whose reply arrives after this fraction (1/n) of the query's time or later is logged. */
#define SLOW_PART_DIVISOR 5
/* Delay before a token is requested again after the budget had none. */
#define BUDGET_POLL_US (2 * PD_USEC_PER_MSEC)
/* Maximum length of the result of a run that is recorded in the ledger. */
#define RECORDED_RESULT_MAX_BYTES 2048
/* Fits the longest request id of a caller, 24 bytes of the instance's name, and both numbers. */
#define SUBREQUEST_ID_MAX_BYTES 120

#define NOT_SENT	    "not sent by this instance: "
#define PARTIAL_NOT_ALLOWED "some services have no answer, and no partial answer is wanted"

/**
 * struct query - state of one query or run; used only by the caller's thread
 * @c: coordinator that runs it
 * @config: configuration that was in force at the start; one reference
 * @answer: answer that is being filled in
 * @text: query or run text for the upstreams
 * @collection: index of the collection in the configuration; PD_CONFIG_NONE for a run
 * @services: indices of the services in the configuration
 * @service_count: number of entries in @services
 * @run_service: index of the service of a run
 * @kind: name of the request's kind, or empty
 * @urgency: urgency of the kind
 * @idempotent: may be hedged and retried
 * @partial_allowed: the caller accepts a partial answer
 * @id: id of a non-idempotent run; otherwise empty
 * @start_us: time of arrival
 * @deadline_us: deadline of the answer
 * @answer_at_us: time at which the query stops waiting for replies; see MARGIN_DIVISOR
 * @retry_at_us: time from which a first sub-request without a reply is retried with a token of the
 * retry budget instead of the hedge budget, since its connection may be half-open
 * @fingerprint: hash of the request's content, which identifies requests that crash upstreams
 * @published: latest published snapshot at the start
 * @snapshot: pinned snapshot
 * @buckets: number of buckets of the collection
 * @gather: state of the current round of sub-requests
 * @pending: number of unfinished parts of the round
 * @next_extra_us: time before which no extra sub-request (hedge or retry) is due
 * @restarted: has been restarted on another snapshot
 * @restart_wanted: the attempts of some part failed without running, at least one of them because
 * the upstream refused the snapshot
 * @may_have_run: some sub-request may have run
 *
 * All times are monotonic, in microseconds.
 */
struct query {
	struct pd_coordinator *c;
	struct pd_config *config;
	struct pd_answer *answer;
	struct pd_str text;
	uint32_t collection;
	const uint32_t *services;
	uint32_t service_count;
	uint32_t run_service;
	struct pd_name kind;
	enum pd_urgency urgency;
	bool idempotent;
	bool partial_allowed;
	struct pd_name id;
	int64_t start_us;
	int64_t deadline_us;
	int64_t answer_at_us;
	int64_t retry_at_us;
	uint64_t fingerprint;
	uint64_t published;
	uint64_t snapshot;
	uint32_t buckets;
	struct pd_gather *gather;
	uint32_t pending;
	int64_t next_extra_us;
	bool restarted;
	bool restart_wanted;
	bool may_have_run;
};

/* Returns a number that is unique in this process. */
static uint64_t next_number(void)
{
	static uint64_t number;

	return ck_pr_faa_64(&number, 1) + 1;
}

static bool is_query(const struct query *q)
{
	return q->collection != PD_CONFIG_NONE;
}

/* -- sending -- */

static uint32_t choose_upstream(struct query *q, const struct pd_part *part, int64_t now)
{
	uint32_t tried[PD_ATTEMPTS_MAX];

	for (uint32_t i = 0; i < part->attempt_count; i++)
		tried[i] = part->attempts[i]->upstream;
	return pd_router_choose(q->c->router, q->config, part->service, tried, part->attempt_count,
				now);
}

/*
 * Writes the id of one sub-request, CALLERID.INSTANCE.MS.CALL, where MS is the Unix time in
 * milliseconds. The caller's id comes first, so that the log of an upstream shows which query a
 * sub-request belongs to.
 */
static void make_subrequest_id(char out[SUBREQUEST_ID_MAX_BYTES + 1], const struct query *q,
			       uint64_t call)
{
	snprintf(out, SUBREQUEST_ID_MAX_BYTES + 1, "%s.%.24s.%" PRId64 ".%" PRIx64,
		 q->answer->request_id.text, q->c->instance.text, pd_os_unix_ms(), call);
}

/*
 * Chooses an upstream that was not tried yet, or else the first one again: the sub-request may have
 * been lost on a half-open connection to it.
 */
static uint32_t choose_retry(struct query *q, const struct pd_part *part, int64_t now)
{
	uint32_t upstream = choose_upstream(q, part, now);

	if (upstream == PD_CONFIG_NONE && part->attempt_count < PD_ATTEMPTS_MAX)
		upstream = part->attempts[0]->upstream;
	return upstream;
}

static uint32_t choose_hedge(struct query *q, const struct pd_part *part, int64_t now)
{
	return pd_router_choose_hedge(q->c->router, q->config, part->service,
				      part->attempts[part->attempt_count - 1]->upstream, now);
}

/*
 * Whether the owner may answer PD_SUB_BUSY instead of queueing the sub-request, so that it is sent
 * to another upstream. Only the owner knows whether a slot is free, because all entry instances
 * send sub-requests to it. Applies to the first attempt only.
 */
static bool is_divertible(const struct query *q, const struct pd_part *part,
			  const struct pd_attempt *attempt)
{
	return attempt == part->attempts[0] &&
	       q->config->services[part->service].upstream_count > 1;
}

static void send_attempt(struct query *q, struct pd_attempt *attempt, int64_t now)
{
	const struct pd_upstream_config *upstream = &q->config->upstreams[attempt->upstream];
	struct pd_part *part = &q->gather->parts[attempt->part];
	uint64_t call = next_number();
	char id[SUBREQUEST_ID_MAX_BYTES + 1];
	struct pd_msg_subrequest request = {
		.call = call,
		.service = pd_name_str(&q->config->services[part->service].name),
		.upstream = pd_name_str(&upstream->name),
		.snapshot = q->snapshot,
		.urgency = q->urgency,
		.idempotent = q->idempotent,
		.hedge = attempt->hedge,
		.divertible = is_divertible(q, part, attempt),
		.deadline_us = q->answer_at_us - now,
		.fingerprint = q->fingerprint,
		.body = q->text,
	};

	if (is_query(q))
		request.collection = pd_name_str(&q->config->collections[q->collection].name);
	make_subrequest_id(id, q, call);
	request.request_id = pd_str_from(id);
	attempt->sent_us = now;
	part->outstanding++;
	pd_count(PD_COUNT_subrequests_sent);
	pd_sender_send(&q->c->sender, &request, pd_name_str(&q->config->zones[upstream->zone].name),
		       pd_gather_reply, attempt, &attempt->handle);
}

/*
 * Adds an attempt of part number @index and sends it to @upstream. Returns false if @upstream is
 * PD_CONFIG_NONE or the attempt can't be created.
 */
static bool add_attempt(struct query *q, uint32_t index, uint32_t upstream, bool hedge, int64_t now)
{
	struct pd_attempt *attempt;

	if (upstream == PD_CONFIG_NONE)
		return false;
	attempt = pd_gather_add_attempt(q->gather, index, upstream);
	if (!attempt)
		return false;
	attempt->hedge = hedge;
	if (attempt == q->gather->parts[index].attempts[0])
		pd_router_sent(q->c->router, q->config, upstream, now);
	else
		pd_router_extra_sent(q->c->router, q->config, upstream);
	send_attempt(q, attempt, now);
	return true;
}

static void cancel_attempt(struct query *q, struct pd_attempt *attempt)
{
	attempt->cancelled = true;
	pd_count(PD_COUNT_cancels_sent);
	pd_sender_cancel(&q->c->sender, attempt->handle);
}

/*
 * Ends the unfinished attempts of a part with @status and cancels them. A non-idempotent request
 * isn't cancelled: its outcome is unknown either way, and cancelling it could leave a change
 * half-done.
 */
static void end_attempts(struct query *q, struct pd_part *part, enum pd_substatus status,
			 int64_t now)
{
	for (uint32_t i = 0; i < part->attempt_count; i++) {
		struct pd_attempt *attempt = part->attempts[i];

		if (attempt->ended)
			continue;
		q->may_have_run = true;
		attempt->ended = true;
		pd_router_reply(q->c->router, q->config, attempt->upstream, status,
				now - attempt->sent_us, 0, now);
		if (q->idempotent)
			cancel_attempt(q, attempt);
	}
	part->outstanding = 0;
}

/* Time at which the extra sub-request (hedge or retry) is due; INT64_MAX if none is planned. */
static int64_t extra_due_us(const struct pd_part *part)
{
	if (part->finished || part->extra_delay_us < 0)
		return INT64_MAX;
	return part->extra_wait_start_us + part->extra_delay_us;
}

static void finish_part(struct query *q, struct pd_part *part)
{
	part->finished = true;
	q->pending--;
}

/* Schedules the hedge of the attempt that is sent to @upstream now. */
static void schedule_hedge(struct query *q, struct pd_part *part, uint32_t upstream, int64_t now)
{
	if (!q->idempotent)
		return;
	part->extra_wait_start_us = now;
	part->extra_delay_us = pd_router_hedge_delay(q->c->router, q->config, upstream);
	part->overdue_at_us =
		now + (int64_t)((double)part->extra_delay_us * PD_HEDGE_OVERDUE_FACTOR);
	if (extra_due_us(part) < q->next_extra_us)
		q->next_extra_us = extra_due_us(part);
}

/* Sends the first sub-request of a part. */
static void start_part(struct query *q, uint32_t index)
{
	struct pd_part *part = &q->gather->parts[index];
	int64_t now = pd_os_now_us();
	uint32_t upstream = choose_upstream(q, part, now);

	part->extra_delay_us = -1;
	part->status = PD_SUB_NO_UPSTREAM;
	if (upstream == PD_CONFIG_NONE) {
		finish_part(q, part);
		return;
	}
	schedule_hedge(q, part, upstream, now);
	if (!add_attempt(q, index, upstream, false, now))
		finish_part(q, part);
}

/* Takes a token for the extra sub-request from the budget that applies to it. */
static bool take_token(struct query *q, const struct pd_part *part, int64_t now)
{
	if (part->extra_is_retry)
		return pd_router_take_retry_token(q->c->router);
	if (now >= part->overdue_at_us)
		return pd_router_take_overdue_token(q->c->router);
	return pd_router_take_hedge_token(q->c->router);
}

/* Sends the hedge or retry that is due for a part, or schedules it again if there is no token. */
static void send_extra(struct query *q, uint32_t index, int64_t now)
{
	struct pd_part *part = &q->gather->parts[index];
	uint32_t upstream;

	if (now >= q->retry_at_us)
		part->extra_is_retry = true;
	upstream = part->extra_is_retry ? choose_retry(q, part, now) : choose_hedge(q, part, now);
	if (upstream == PD_CONFIG_NONE && !part->extra_is_retry) {
		part->extra_wait_start_us = q->retry_at_us;
		part->extra_delay_us = 0;
		return;
	}
	if (upstream == PD_CONFIG_NONE) {
		part->extra_delay_us = -1;
		if (!part->outstanding)
			finish_part(q, part);
		return;
	}
	if (!take_token(q, part, now)) {
		pd_count(PD_COUNT_budget_denied);
		part->extra_wait_start_us = now;
		part->extra_delay_us = BUDGET_POLL_US;
		return;
	}
	part->extra_delay_us = -1;
	pd_count(part->extra_is_retry ? PD_COUNT_retries_sent : PD_COUNT_hedges_sent);
	pd_log(PD_LOG_DEBUG, "extra_subrequest",
	       "request=%s upstream=%s retry=%d waited_us=%" PRId64 " overdue_us=%" PRId64
	       " attempts=%u",
	       q->answer->request_id.text, q->config->upstreams[upstream].name.text,
	       part->extra_is_retry, now - part->attempts[part->attempt_count - 1]->sent_us,
	       part->overdue_at_us - part->attempts[part->attempt_count - 1]->sent_us,
	       part->attempt_count);
	if (!add_attempt(q, index, upstream, !part->extra_is_retry, now) && !part->outstanding)
		finish_part(q, part);
}

/* Sends all hedges and retries that are due, and finds the time of the next one. */
static void send_extras(struct query *q, int64_t now)
{
	int64_t next = INT64_MAX;

	for (uint32_t i = 0; i < q->gather->part_count; i++) {
		struct pd_part *part = &q->gather->parts[i];

		if (extra_due_us(part) <= now)
			send_extra(q, i, now);
		if (extra_due_us(part) < next)
			next = extra_due_us(part);
	}
	q->next_extra_us = next;
}

/* -- replies -- */

static bool is_hits_array(struct pd_str body)
{
	json_t *hits = json_loadb(body.data ? body.data : "", body.len, 0, NULL);
	bool is_array = json_is_array(hits);

	json_decref(hits);
	return is_array;
}

/*
 * Accepts a reply if it is well-formed, comes from the pinned snapshot, and covers only buckets
 * that aren't covered yet; adds its buckets to the answer. Returns PD_SUB_MISMATCH otherwise.
 */
static enum pd_substatus accept_hits(struct query *q, const struct pd_msg_subreply *reply)
{
	enum pd_substatus status = PD_SUB_MISMATCH;
	struct pd_ranges covers;

	if (reply->snapshot != q->snapshot || !is_hits_array(reply->body))
		return PD_SUB_MISMATCH;
	pd_ranges_init(&covers);
	if (pd_ranges_parse(&covers, reply->covers, q->buckets, NULL) == PD_OK &&
	    pd_ranges_disjoint(&q->answer->covered, &covers) &&
	    pd_ranges_union(&q->answer->covered, &covers) == PD_OK)
		status = PD_SUB_OK;
	pd_ranges_finish(&covers);
	return status;
}

/* Logs a part that took a large share of the deadline, to show what slows down answers. */
static void log_slow_part(struct query *q, const struct pd_part *part,
			  const struct pd_attempt *attempt, int64_t now)
{
	const struct pd_msg_subreply *reply = &attempt->reply;

	if (now - q->start_us < (q->deadline_us - q->start_us) / SLOW_PART_DIVISOR)
		return;
	pd_log(PD_LOG_DEBUG, "slow_part",
	       "request=%s upstream=%s total_us=%" PRId64 " first_wait_us=%" PRId64
	       " attempt_us=%" PRId64 " service_us=%" PRId64 " queue_us=%" PRId64
	       " limit=%u attempts=%u hedge=%d",
	       q->answer->request_id.text, q->config->upstreams[attempt->upstream].name.text,
	       now - q->start_us, part->attempts[0]->sent_us - q->start_us, now - attempt->sent_us,
	       reply->service_us, reply->queue_us, reply->limit, part->attempt_count,
	       attempt->hedge);
}

static void handle_accepted(struct query *q, struct pd_part *part, struct pd_attempt *attempt,
			    int64_t now)
{
	part->accepted = attempt;
	log_slow_part(q, part, attempt, now);
	if (attempt->hedge)
		pd_count(PD_COUNT_hedges_won);
	end_attempts(q, part, PD_SUB_CANCELLED, now);
	finish_part(q, part);
}

/*
 * Requests a restart on another snapshot if upstreams of the part refused the snapshot, no attempt
 * of the part can still succeed, and enough time is left.
 */
static void check_restart(struct query *q, struct pd_part *part)
{
	bool time_left = q->answer_at_us - pd_os_now_us() >=
			 (q->deadline_us - q->start_us) / RESTART_TIME_DIVISOR;

	if (is_query(q) && part->snapshot_refusals && part->not_run_count == part->attempt_count &&
	    !q->restarted && time_left)
		q->restart_wanted = true;
}

/*
 * Handles a failed attempt. If no attempt of the part is left and this one did not run, another
 * upstream is tried at once, without a token. If it may have run, a retry is scheduled that needs a
 * token from the retry budget, as long as there is time.
 */
static void handle_failure(struct query *q, uint32_t index, enum pd_substatus status, int64_t now)
{
	struct pd_part *part = &q->gather->parts[index];
	uint32_t upstream;

	part->status = status;
	if (pd_substatus_not_run(status))
		part->not_run_count++;
	else
		q->may_have_run = true;
	if (status == PD_SUB_SNAPSHOT)
		part->snapshot_refusals++;
	if (part->outstanding)
		return;
	part->extra_delay_us = -1;
	/* Once a restart is requested, nothing more is sent in this round. */
	if (!q->restart_wanted && pd_substatus_not_run(status)) {
		upstream = part->attempt_count < 2 ? choose_upstream(q, part, now) : PD_CONFIG_NONE;
		if (upstream != PD_CONFIG_NONE) {
			pd_count(PD_COUNT_retries_sent);
			schedule_hedge(q, part, upstream, now);
			if (add_attempt(q, index, upstream, false, now))
				return;
		}
	} else if (!q->restart_wanted && q->idempotent && part->attempt_count < PD_ATTEMPTS_MAX) {
		part->extra_is_retry = true;
		part->extra_wait_start_us = now;
		part->extra_delay_us = 0;
		q->next_extra_us = 0;
		return;
	}
	finish_part(q, part);
	check_restart(q, part);
}

/* Schedules a retry, since the other attempt may have been lost on a half-open connection. */
static void schedule_retry(struct query *q, struct pd_part *part)
{
	part->extra_wait_start_us = q->retry_at_us;
	part->extra_delay_us = 0;
	if (extra_due_us(part) < q->next_extra_us)
		q->next_extra_us = extra_due_us(part);
}

/*
 * The owner of upstream @busy has no free slot. Queues the sub-request at another upstream, or at
 * @busy if that is expected to take less time or is the only one.
 */
static void handle_busy(struct query *q, uint32_t index, uint32_t busy, int64_t now)
{
	struct pd_part *part = &q->gather->parts[index];
	uint32_t upstream;

	part->not_run_count++;
	/* A hedge without a free slot isn't sent elsewhere: the other attempt is in flight. */
	if (part->outstanding) {
		schedule_retry(q, part);
		return;
	}
	upstream = choose_retry(q, part, now);
	if (upstream != PD_CONFIG_NONE)
		upstream = pd_router_shorter_queue(q->c->router, q->config, upstream, busy, now);
	pd_count(PD_COUNT_diverted);
	if (!add_attempt(q, index, upstream, false, now)) {
		part->status = PD_SUB_BUSY;
		finish_part(q, part);
		check_restart(q, part);
		return;
	}
	schedule_hedge(q, part, upstream, now);
}

static void handle_reply(struct query *q, struct pd_attempt *attempt)
{
	struct pd_part *part = &q->gather->parts[attempt->part];
	struct pd_msg_subreply *reply = &attempt->reply;
	enum pd_substatus status = reply->status;
	int64_t now = pd_os_now_us();

	if (attempt->ended) {
		if (status != PD_SUB_CANCELLED)
			pd_count(PD_COUNT_replies_late);
		return;
	}
	attempt->ended = true;
	part->outstanding--;
	if (status == PD_SUB_OK && is_query(q))
		status = accept_hits(q, reply);
	if (status == PD_SUB_MISMATCH)
		pd_count(PD_COUNT_replies_mismatched);
	pd_router_reply(q->c->router, q->config, attempt->upstream, status, now - attempt->sent_us,
			reply->queue_us, now);
	if (status == PD_SUB_OK) {
		q->may_have_run = true;
		handle_accepted(q, part, attempt, now);
	} else if (status == PD_SUB_BUSY) {
		handle_busy(q, attempt->part, attempt->upstream, now);
	} else {
		handle_failure(q, attempt->part, status, now);
	}
}

/* Whether the accepted replies cover all buckets of the collection. */
static bool all_covered(const struct query *q)
{
	return is_query(q) && q->buckets && pd_ranges_total(&q->answer->covered) == q->buckets;
}

/*
 * Sends sub-requests to all services and processes replies until the answer is complete, a restart
 * is requested, or the time is up.
 */
static void run_round(struct query *q)
{
	int64_t now;

	q->pending = q->gather->part_count;
	q->next_extra_us = 0;
	q->restart_wanted = false;
	for (uint32_t i = 0; i < q->gather->part_count; i++)
		start_part(q, i);
	while (q->pending && !q->restart_wanted && !all_covered(q)) {
		struct pd_attempt *received;
		bool no_replies;

		/* Process replies first: they may make extra sub-requests unnecessary. */
		received = pd_gather_wait(q->gather, q->next_extra_us < q->answer_at_us
							     ? q->next_extra_us
							     : q->answer_at_us);
		no_replies = !received;
		for (; received; received = received->next_reply)
			handle_reply(q, received);
		now = pd_os_now_us();
		if (now >= q->answer_at_us)
			break;
		if (no_replies && now >= q->next_extra_us && !q->restart_wanted)
			send_extras(q, now);
	}
	now = pd_os_now_us();
	for (uint32_t i = 0; i < q->gather->part_count; i++) {
		struct pd_part *part = &q->gather->parts[i];

		if (!part->finished && !all_covered(q))
			part->status = part->extra_is_retry && !part->outstanding ? part->status
										  : PD_SUB_LATE;
		end_attempts(q, part, now >= q->answer_at_us ? PD_SUB_LATE : PD_SUB_CANCELLED, now);
	}
}

static bool has_snapshot(const struct pd_msg_subreply *reply, uint64_t snapshot)
{
	for (uint32_t i = 0; i < reply->held_count && i < PD_HELD_SNAPSHOTS_MAX; i++) {
		if (reply->held[i] == snapshot)
			return true;
	}
	return false;
}

/* Whether every upstream that refused the pinned snapshot has @snapshot. */
static bool all_refusing_have(const struct pd_gather *g, uint64_t snapshot)
{
	for (uint32_t i = 0; i < g->part_count; i++) {
		for (uint32_t k = 0; k < g->parts[i].attempt_count; k++) {
			const struct pd_attempt *a = g->parts[i].attempts[k];

			if (a->ended && !a->cancelled && a->reply.status == PD_SUB_SNAPSHOT &&
			    !has_snapshot(&a->reply, snapshot))
				return false;
		}
	}
	return true;
}

/*
 * Returns the better of @best and the snapshots in @reply. A snapshot that all refusing upstreams
 * have is better than one that some of them lack; otherwise the newer one is better.
 * @best_is_common is whether all refusing upstreams have @best; it is updated.
 */
static uint64_t best_snapshot_in_reply(const struct pd_gather *g,
				       const struct pd_msg_subreply *reply, uint64_t best,
				       bool *best_is_common)
{
	for (uint32_t i = 0; i < reply->held_count && i < PD_HELD_SNAPSHOTS_MAX; i++) {
		bool all = all_refusing_have(g, reply->held[i]);

		if (all < *best_is_common || (all == *best_is_common && reply->held[i] <= best))
			continue;
		best = reply->held[i];
		*best_is_common = all;
	}
	return best;
}

/*
 * Returns the newest snapshot that all refusing upstreams have, else the newest that any of them
 * has; 0 if there is none.
 */
static uint64_t snapshot_for_restart(const struct pd_gather *g)
{
	uint64_t best = 0;
	bool best_is_common = false;

	for (uint32_t i = 0; i < g->part_count; i++) {
		for (uint32_t k = 0; k < g->parts[i].attempt_count; k++) {
			const struct pd_attempt *a = g->parts[i].attempts[k];

			if (a->ended && !a->cancelled && a->reply.status == PD_SUB_SNAPSHOT)
				best = best_snapshot_in_reply(g, &a->reply, best, &best_is_common);
		}
	}
	return best;
}

static enum pd_code create_round(struct query *q, struct pd_error *err)
{
	q->gather = pd_gather_new(q->service_count);
	if (!q->gather)
		return pd_error_set(err, PD_LAYER_STATE, PD_NO_MEMORY, "no memory for a query");
	for (uint32_t i = 0; i < q->service_count; i++)
		q->gather->parts[i].service = q->services[i];
	return PD_OK;
}

static bool any_accepted(const struct pd_gather *g)
{
	for (uint32_t i = 0; i < g->part_count; i++) {
		if (g->parts[i].accepted)
			return true;
	}
	return false;
}

static bool any_snapshot_refusal(const struct pd_gather *g)
{
	for (uint32_t i = 0; i < g->part_count; i++) {
		if (g->parts[i].snapshot_refusals)
			return true;
	}
	return false;
}

/* Discards all hits and starts again on a snapshot that the refusing upstreams have. */
static enum pd_code restart_round(struct query *q, struct pd_error *err)
{
	uint64_t snapshot = snapshot_for_restart(q->gather);
	bool refused_by_all = !any_accepted(q->gather);
	bool published_refused = q->snapshot == q->published;

	q->restarted = true;
	if (!snapshot || snapshot == q->snapshot)
		return PD_OK;
	pd_count(PD_COUNT_snapshot_restarts);
	pd_gather_end(q->gather);
	q->gather = NULL;
	pd_ranges_finish(&q->answer->covered);
	pd_ranges_init(&q->answer->covered);
	q->snapshot = snapshot;
	if (create_round(q, err) != PD_OK)
		return PD_NO_MEMORY;
	run_round(q);
	/*
	 * No service has the published snapshot, and all have this one: the index table is out of
	 * date, as in a zone that is cut off from the platform. Later queries start on this
	 * snapshot.
	 */
	if (refused_by_all && any_accepted(q->gather) && !any_snapshot_refusal(q->gather))
		pd_index_table_set_fallback(q->c->index, pd_name_str(&q->answer->collection),
					    q->published, snapshot, published_refused,
					    pd_os_now_us());
	return PD_OK;
}

/* -- the answer -- */

/* Appends the elements of the JSON array @array to @hits, a JSON array that isn't closed yet. */
static void append_hits(struct pd_buf *hits, struct pd_str array)
{
	const char *open = array.len ? memchr(array.data, '[', array.len) : NULL;
	const char *close = array.len ? memrchr(array.data, ']', array.len) : NULL;
	const char *p;

	if (!open || !close)
		return;
	for (p = open + 1; p < close && isspace((unsigned char)*p); p++)
		;
	if (p == close)
		return;
	if (hits->len > 1)
		pd_buf_append_str(hits, PD_STR(","));
	pd_buf_append(hits, p, (size_t)(close - p));
}

/* Lists the services without an accepted reply in the answer. */
static void list_missing(struct query *q)
{
	struct pd_answer *answer = q->answer;

	for (uint32_t i = 0; i < q->gather->part_count; i++) {
		const struct pd_part *part = &q->gather->parts[i];
		struct pd_missing_service *missing = &answer->missing[answer->missing_count];

		if (part->accepted || answer->missing_count == PD_MISSING_SERVICES_MAX)
			continue;
		missing->service = q->config->services[part->service].name;
		missing->status = part->status;
		answer->missing_count++;
	}
}

static void append_all_hits(struct query *q)
{
	pd_buf_append_str(&q->answer->hits, PD_STR("["));
	for (uint32_t i = 0; i < q->gather->part_count; i++) {
		const struct pd_attempt *accepted_attempt = q->gather->parts[i].accepted;

		if (accepted_attempt)
			append_hits(&q->answer->hits, accepted_attempt->reply.body);
	}
	pd_buf_append_str(&q->answer->hits, PD_STR("]"));
}

/* Removes the hits from the answer and sets the reason. */
static void drop_hits(struct query *q, const char *reason)
{
	pd_buf_clear(&q->answer->hits);
	pd_buf_append_str(&q->answer->hits, PD_STR("[]"));
	pd_ranges_finish(&q->answer->covered);
	pd_ranges_init(&q->answer->covered);
	snprintf(q->answer->reason, sizeof(q->answer->reason), "%s", reason);
}

static void refuse(struct query *q, const char *reason)
{
	q->answer->outcome = PD_OUTCOME_REFUSED;
	snprintf(q->answer->reason, sizeof(q->answer->reason), "%s", reason);
}

/* Used for a request with an id: another instance may have run it, or may run it later. */
static void answer_unknown(struct query *q, const char *reason)
{
	q->answer->outcome = PD_OUTCOME_UNKNOWN;
	snprintf(q->answer->reason, sizeof(q->answer->reason), "%s", reason);
}

static const char *first_missing_reason(const struct query *q)
{
	return q->answer->missing_count ? pd_substatus_name(q->answer->missing[0].status)
					: "no_service";
}

static void answer_query(struct query *q)
{
	struct pd_answer *answer = q->answer;
	bool complete = all_covered(q);

	answer->snapshot = q->snapshot;
	answer->buckets = q->buckets;
	append_all_hits(q);
	answer->outcome = complete ? PD_OUTCOME_COMPLETE : PD_OUTCOME_PARTIAL;
	if (!complete)
		list_missing(q);
	if (answer->hits.failed)
		drop_hits(q, "no memory for the hits");
	if (complete || pd_ranges_total(&answer->covered)) {
		if (answer->hits.failed)
			answer->outcome = PD_OUTCOME_PARTIAL;
		else if (!complete && !q->partial_allowed)
			drop_hits(q, PARTIAL_NOT_ALLOWED);
		return;
	}
	if (!q->may_have_run)
		refuse(q, first_missing_reason(q));
	else if (!q->partial_allowed)
		drop_hits(q, PARTIAL_NOT_ALLOWED);
}

static void answer_run(struct query *q)
{
	struct pd_part *part = &q->gather->parts[0];
	const char *name = pd_substatus_name(part->status);

	if (part->accepted) {
		q->answer->outcome = PD_OUTCOME_COMPLETE;
		pd_buf_append_str(&q->answer->hits, part->accepted->reply.body);
		return;
	}
	list_missing(q);
	if (!q->may_have_run) {
		refuse(q, name);
		return;
	}
	q->answer->outcome = PD_OUTCOME_UNKNOWN;
	snprintf(q->answer->reason, sizeof(q->answer->reason), "it may have run: %s", name);
}

/* -- non-idempotent requests -- */

/*
 * Claims the id of a non-idempotent request. Sets @won to whether this process holds the claim and
 * may send the request; if it is false, fills in the answer unless an error is returned.
 */
static enum pd_code claim_id(struct query *q, bool *won, struct pd_error *err)
{
	struct pd_answer *answer = q->answer;
	struct pd_str id = pd_name_str(&q->id);
	enum pd_claim result;

	*won = false;
	if (!q->c->ledger) {
		answer_unknown(q, NOT_SENT "no platform for claims");
		return PD_OK;
	}
	result = pd_ledger_claim(q->c->ledger, id, q->answer_at_us, &answer->hits, NULL);
	switch (result) {
	case PD_CLAIM_ACQUIRED:
		pd_count(PD_COUNT_claims_made);
		*won = true;
		return PD_OK;
	case PD_CLAIM_DONE:
		pd_count(PD_COUNT_claims_duplicate);
		answer->outcome = PD_OUTCOME_COMPLETE;
		return PD_OK;
	case PD_CLAIM_VOID:
		pd_count(PD_COUNT_claims_duplicate);
		refuse(q, "the id was refused before; use a new id");
		return PD_OK;
	case PD_CLAIM_MALFORMED:
		return pd_error_set(err, PD_LAYER_STATE, PD_INVALID,
				    "id \"%s\": expected UNIXMS-TOKEN", q->id.text);
	case PD_CLAIM_ALREADY_CLAIMED:
	case PD_CLAIM_EXPIRED:
		pd_count(PD_COUNT_claims_duplicate);
		answer_unknown(q, result == PD_CLAIM_ALREADY_CLAIMED
					  ? "a request with this id was sent before"
					  : "the id is too old to tell");
		return PD_OK;
	case PD_CLAIM_UNAVAILABLE:
	case PD_CLAIM_UNCERTAIN:
		break;
	}
	pd_count(PD_COUNT_claims_refused);
	answer_unknown(q, NOT_SENT "the platform can't tell whether the id ran");
	return PD_OK;
}

/*
 * Changes a refusal to an unknown outcome. "Refused" means that no instance will run the request,
 * and that is certain only once the platform has recorded the id as void.
 */
static void downgrade_refusal(struct query *q)
{
	char reason[sizeof(q->answer->reason)];

	snprintf(reason, sizeof(reason),
		 "not run by this instance (%.60s); the platform hasn't confirmed that the id is "
		 "void",
		 q->answer->reason);
	answer_unknown(q, reason);
}

/* Records the outcome of a claimed request with the platform. */
static void record_outcome(struct query *q)
{
	struct pd_str id = pd_name_str(&q->id);

	switch (q->answer->outcome) {
	case PD_OUTCOME_COMPLETE:
		/* A longer result isn't recorded: a duplicate request has an unknown outcome. */
		if (q->answer->hits.len <= RECORDED_RESULT_MAX_BYTES)
			pd_ledger_complete(q->c->ledger, id, pd_buf_str(&q->answer->hits),
					   q->deadline_us);
		break;
	case PD_OUTCOME_REFUSED:
		if (!pd_ledger_void(q->c->ledger, id, q->deadline_us))
			downgrade_refusal(q);
		break;
	default:
		break;
	}
}

/* -- running a query -- */

/* Runs a round of sub-requests, and a second one after a restart, and fills in the answer. */
static enum pd_code run_rounds(struct query *q, struct pd_error *err)
{
	enum pd_code code = create_round(q, err);

	if (code != PD_OK)
		return code;
	run_round(q);
	if (q->restart_wanted && !q->restarted)
		code = restart_round(q, err);
	if (code != PD_OK)
		return code;
	if (is_query(q))
		answer_query(q);
	else
		answer_run(q);
	return PD_OK;
}

/* Runs a non-idempotent request if this process wins the claim of its id. */
static enum pd_code run_with_claim(struct query *q, struct pd_error *err)
{
	bool won;
	enum pd_code code = claim_id(q, &won, err);

	if (code != PD_OK || !won)
		return code;
	if (pd_os_now_us() >= q->answer_at_us)
		refuse(q, "the claim took all the time");
	else
		code = run_rounds(q, err);
	if (code == PD_OK)
		record_outcome(q);
	else /* the round could not be allocated, so nothing was sent */
		pd_ledger_void(q->c->ledger, pd_name_str(&q->id), q->deadline_us);
	return code;
}

/* Pins a snapshot and runs a query on it. */
static enum pd_code run_query(struct query *q, struct pd_error *err)
{
	struct pd_index_entry entry;

	if (!pd_index_table_find(q->c->index, pd_name_str(&q->answer->collection), &entry)) {
		refuse(q, "no snapshot of the index is known");
		return PD_OK;
	}
	q->published = entry.snapshot;
	q->snapshot = pd_index_entry_pin(&entry, q->start_us);
	q->buckets = entry.buckets;
	return run_rounds(q, err);
}

static enum pd_code read_kind(struct query *q, const struct pd_name *kind, int64_t *deadline_us,
			      struct pd_error *err)
{
	uint32_t index;

	q->urgency = PD_NORMAL;
	q->kind = *kind;
	if (!kind->len)
		return PD_OK;
	index = pd_config_find_kind(q->config, pd_name_str(kind));
	if (index == PD_CONFIG_NONE)
		return pd_error_set(err, PD_LAYER_STATE, PD_NOT_FOUND, "no kind \"%s\"",
				    kind->text);
	q->urgency = q->config->kinds[index].urgency;
	*deadline_us = q->config->kinds[index].deadline_us;
	return PD_OK;
}

static enum pd_code read_query(struct query *q, const struct pd_command_query *command,
			       struct pd_error *err)
{
	const struct pd_collection *collection;

	q->collection = pd_config_find_collection(q->config, pd_name_str(&command->collection));
	if (q->collection == PD_CONFIG_NONE)
		return pd_error_set(err, PD_LAYER_STATE, PD_NOT_FOUND, "no collection \"%s\"",
				    command->collection.text);
	collection = &q->config->collections[q->collection];
	q->text = command->text;
	q->services = collection->services;
	q->service_count = collection->service_count;
	q->idempotent = true;
	q->partial_allowed = command->partial;
	q->answer->collection = collection->name;
	return PD_OK;
}

static enum pd_code read_run(struct query *q, const struct pd_command_run *command,
			     struct pd_error *err)
{
	q->collection = PD_CONFIG_NONE;
	q->run_service = pd_config_find_service(q->config, pd_name_str(&command->service));
	if (q->run_service == PD_CONFIG_NONE)
		return pd_error_set(err, PD_LAYER_STATE, PD_NOT_FOUND, "no service \"%s\"",
				    command->service.text);
	q->text = command->text;
	q->services = &q->run_service;
	q->service_count = 1;
	q->id = command->id;
	q->idempotent = !command->id.len;
	return PD_OK;
}

/* Sets the deadline: that of the caller, else of the command, else of the kind, else a default. */
static void set_times(struct query *q, int64_t caller_us, int64_t command_us, int64_t kind_us)
{
	int64_t total = caller_us    ? caller_us
			: command_us ? command_us
			: kind_us    ? kind_us
				     : DEFAULT_DEADLINE_US;
	int64_t margin;

	if (total > DEADLINE_MAX_US)
		total = DEADLINE_MAX_US;
	margin = total / MARGIN_DIVISOR < MARGIN_MAX_US ? total / MARGIN_DIVISOR : MARGIN_MAX_US;
	q->deadline_us = q->start_us + total;
	q->answer_at_us = q->deadline_us - margin;
	q->retry_at_us = q->start_us + total / 2;
}

static enum pd_code read_command(struct query *q, const struct pd_command *command,
				 int64_t deadline_us, struct pd_error *err)
{
	bool run = command->type == PD_CMD_RUN;
	int64_t kind_us = 0;
	enum pd_code code;

	if (!run && command->type != PD_CMD_QUERY)
		return pd_error_set(err, PD_LAYER_STATE, PD_INVALID,
				    "expected a query or run command");
	code = read_kind(q, run ? &command->run.kind : &command->query.kind, &kind_us, err);
	if (code != PD_OK)
		return code;
	code = run ? read_run(q, &command->run, err) : read_query(q, &command->query, err);
	set_times(q, deadline_us, run ? command->run.deadline_us : command->query.deadline_us,
		  kind_us);
	return code;
}

/* Sets the request id, generated if the caller sent none, and the fingerprint. */
static void set_ids(struct query *q, struct pd_str request_id)
{
	const struct pd_name *scope = &q->answer->collection;
	char id[PD_NAME_MAX_BYTES + 1];

	if (!pd_name_set(&q->answer->request_id, request_id)) {
		snprintf(id, sizeof(id), "%.24s-%" PRIx64 "-%" PRIx64, q->c->instance.text,
			 pd_os_unix_ms(), next_number());
		pd_name_set(&q->answer->request_id, pd_str_from(id));
	}
	if (!is_query(q))
		scope = &q->config->services[q->run_service].name;
	q->fingerprint = pd_str_hash(pd_name_str(scope), 0);
	q->fingerprint = pd_str_hash(pd_name_str(&q->kind), q->fingerprint);
	q->fingerprint = pd_str_hash(q->text, q->fingerprint);
}

/* Whether at least half of the services refused the request because of load or its deadline. */
static bool is_overloaded(const struct query *q)
{
	uint32_t refused = 0;

	if (!q->gather)
		return false;
	for (uint32_t i = 0; i < q->gather->part_count; i++) {
		const struct pd_part *part = &q->gather->parts[i];

		refused += !part->accepted &&
			   (part->status == PD_SUB_OVERLOADED || part->status == PD_SUB_DEADLINE);
	}
	return refused && 2 * refused >= q->gather->part_count;
}

static void count_answer(const struct query *q)
{
	static const enum pd_counter outcomes[] = {
		[PD_OUTCOME_COMPLETE] = PD_COUNT_queries_complete,
		[PD_OUTCOME_PARTIAL] = PD_COUNT_queries_partial,
		[PD_OUTCOME_REFUSED] = PD_COUNT_queries_refused,
		[PD_OUTCOME_UNKNOWN] = PD_COUNT_queries_unknown,
	};
	bool late = q->start_us + q->answer->elapsed_us > q->deadline_us;
	bool good = !late && q->answer->outcome == PD_OUTCOME_COMPLETE;
	bool urgent = q->urgency == PD_URGENT;

	pd_count(outcomes[q->answer->outcome]);
	pd_count(urgent ? PD_COUNT_queries_urgent : PD_COUNT_queries_normal);
	if (late)
		pd_count(PD_COUNT_queries_late);
	if (urgent)
		pd_count(good ? PD_COUNT_urgent_good : PD_COUNT_urgent_bad);
	else
		pd_count(good ? PD_COUNT_normal_good : PD_COUNT_normal_bad);
	pd_count_add(PD_COUNT_query_us_total, (uint64_t)q->answer->elapsed_us);
}

/* Runs the request unless admission control rejects it. */
static enum pd_code admit_and_run(struct query *q, struct pd_error *err)
{
	enum pd_code code;

	if (!pd_router_admit(q->c->router, q->urgency, q->start_us)) {
		/* To confirm a refusal, the id would have to be claimed and voided: two writes. */
		if (q->id.len)
			answer_unknown(q, NOT_SENT "overloaded, and the platform wasn't asked");
		else
			refuse(q, "overloaded");
		return PD_OK;
	}
	if (is_query(q))
		code = run_query(q, err);
	else
		code = q->idempotent ? run_rounds(q, err) : run_with_claim(q, err);
	pd_router_query_done(q->c->router, q->urgency, is_overloaded(q), pd_os_now_us());
	return code;
}

enum pd_code pd_coordinator_run(struct pd_coordinator *coordinator,
				const struct pd_command *command, struct pd_str request_id,
				int64_t deadline_us, struct pd_answer *answer, struct pd_error *err)
{
	struct query q = {.c = coordinator, .answer = answer, .start_us = pd_os_now_us()};
	enum pd_code code;

	q.config = pd_config_holder_read(coordinator->config);
	answer->config_version = q.config->version;
	code = read_command(&q, command, deadline_us, err);
	if (code == PD_OK) {
		set_ids(&q, request_id);
		code = admit_and_run(&q, err);
	}
	answer->elapsed_us = pd_os_now_us() - q.start_us;
	if (code == PD_OK)
		count_answer(&q);
	pd_gather_end(q.gather);
	pd_config_put(q.config);
	return code;
}
