/**
 * DOC: Serving client requests (admission, relaying, fan-out, response), and the readiness and
 * metrics pages
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "counters.h"
#include "explain.h"
#include "fair_share.h"
#include "fanout.h"
#include "headers.h"
#include "ingress_private.h"
#include "key_check.h"
#include "log.h"
#include "merge.h"
#include "os.h"
#include "policy.h"
#include "relay.h"

/* Round-trip time to a larger instance of the zone, deducted from the time for which that instance
 * may wait for parts. */
#define RELAY_RTT_US (2 * PD_USEC_PER_MSEC)
/* A larger instance that has sent nothing this long after the cut-off is ejected. */
#define RELAY_SILENCE_MAX_US (40 * PD_USEC_PER_MSEC)

/**
 * struct request - one request while it is served
 * @ingress: ingress; NULL for a request that couldn't be read
 * @client: connection that the request was received on
 * @fields: header fields of the request
 * @confirmed_us: time at which @catalog or an earlier configuration was proven to be the newest
 *	one, in microseconds of pd_os_boot_us()
 * @catalog: configuration by which the request is served; NULL if there is none
 * @route: route of the request
 * @account: account whose API key the client sent; NULL for an anonymous request
 * @key_check: what the request depends on by its API key, if it needs one
 * @needs_key: each attempt is checked by @key_check
 * @counted: the request was counted for its account's quota, and not taken over by a fan-out yet
 * @priority: priority of the request: that of the account, or else of the route; 0 is the highest
 * @relayed: another instance relayed the request, with the parameters in @relay_fields
 * @relay_fields: parameters of a relayed request
 * @relay_result: result to send to the instance that relayed the request
 * @close: the connection is closed after the response
 * @status: status code of the response
 * @reason: reason for the response, for the log
 */
struct request {
	struct pd_ingress *ingress;
	struct pd_client *client;
	struct pd_request_fields fields;
	int64_t confirmed_us;
	struct pd_catalog *catalog;
	struct pd_route *route;
	const struct pd_account *account;
	struct pd_key_check key_check;
	bool needs_key;
	bool counted;
	uint32_t priority;
	bool relayed;
	struct pd_relay_fields relay_fields;
	enum pd_relay_result relay_result;
	bool close;
	int status;
	const char *reason;
};

static bool is_head(const struct request *request)
{
	return request->client->msg.parser.method == HTTP_HEAD;
}

static void begin_response(struct pd_buf *head, int status)
{
	pd_buf_printf(head, "HTTP/1.1 %d %s\r\n", status, pd_http_reason(status));
}

/* Completes the header and sends the response; false if that fails. */
static bool write_response(struct request *request, struct pd_buf *head, struct pd_str body)
{
	bool written;

	request->close =
		request->close || (request->ingress && pd_ingress_is_stopping(request->ingress));
	if (request->relayed) {
		pd_platform_write_request_id(request->fields.request_id, head);
		pd_relay_write_response(request->relay_result, head);
	}
	pd_buf_printf(head, "Content-Length: %zu\r\n%s\r\n", body.len,
		      request->close ? "Connection: close\r\n" : "");
	if (is_head(request))
		body.len = 0;
	written = !head->failed && pd_client_write(request->client, pd_buf_str(head), body);
	pd_buf_finish(head);
	return written;
}

static bool respond_text(struct request *request, int status, const char *reason)
{
	struct pd_buf head = {0};

	request->status = status;
	request->reason = reason;
	begin_response(&head, status);
	pd_buf_append_str(&head, PD_STR("Content-Type: text/plain\r\n"));
	return write_response(request, &head, pd_str_from(reason));
}

/* Returns the result of a refusal for an instance that relayed the request. */
static enum pd_relay_result refusal_to_relay_result(enum pd_refusal refusal)
{
	switch (refusal) {
	case PD_REFUSAL_ISOLATED:
		return PD_RELAY_ISOLATED;
	case PD_REFUSAL_NOT_CONFIGURED:
	case PD_REFUSAL_STOPPING:
	case PD_REFUSAL_OVERLOADED:
	case PD_REFUSAL_RATE_LIMITED:
	case PD_REFUSAL_PAUSED:
	case PD_REFUSAL_KEY_UNCONFIRMED:
		return PD_RELAY_NOT_SERVED;
	case PD_REFUSAL_NO_UPSTREAM:
	case PD_REFUSAL_UPSTREAMS_OVERLOADED:
	case PD_REFUSAL_CRASHES:
		return PD_RELAY_FINAL;
	}
	return PD_RELAY_NOT_SERVED;
}

static bool write_refusal(struct request *request, int status, const char *reason,
			  uint32_t retry_ms)
{
	struct pd_buf head = {0};

	request->status = status;
	request->reason = reason;
	begin_response(&head, request->status);
	pd_buf_printf(&head, "Retry-After: %u.%03u\r\n", retry_ms / 1000, retry_ms % 1000);
	return write_response(request, &head, pd_str_from(reason));
}

/* Sends a refusal of a request that no upstream has executed or is executing. @permit_wait_us is
 * the time until the upstreams permit the request, if that is the reason. */
static bool refuse_for(struct request *request, enum pd_refusal refusal, const char *reason,
		       int64_t permit_wait_us)
{
	uint32_t retry_ms = pd_policy_retry_after_ms(refusal, permit_wait_us, pd_os_random_seed());

	/* Another instance may be able to serve the request: closing the connection makes the
	 * client open a new one for its next request. */
	request->close = request->close || refusal == PD_REFUSAL_ISOLATED ||
			 (refusal == PD_REFUSAL_KEY_UNCONFIRMED && !request->relayed);
	request->relay_result = refusal_to_relay_result(refusal);
	return write_refusal(request, HTTP_STATUS_SERVICE_UNAVAILABLE, reason, retry_ms);
}

static bool refuse(struct request *request, enum pd_refusal refusal, const char *reason)
{
	return refuse_for(request, refusal, reason, 0);
}

/* Returns the quotas that the request is subject to; NULL if its account has no limit. */
static struct pd_quota *quota_of(const struct request *request)
{
	bool limited = request->account && request->account->rate_per_s > 0 &&
		       request->ingress->quota.enabled;

	return limited ? &request->ingress->quota.quota : NULL;
}

/* Returns the time for which the request may wait for the owner of its account: a quarter of the
 * latency objective of its route. */
static int64_t ask_timeout_us(const struct request *request)
{
	int64_t objective_ms = request->route->target_latency_ms;

	return objective_ms ? objective_ms * PD_USEC_PER_MSEC / 4 : INT64_MAX;
}

/* Whether the request is within its account's quota. An instance that relays it only checks this;
 * the one that serves it checks again and counts. Otherwise refuses it, with a status that promises
 * that it hasn't run. */
static bool is_within_quota(struct request *request, bool *written)
{
	struct pd_quota_exchange *exchange = &request->ingress->quota;
	struct pd_quota_decision decision;

	if (!quota_of(request))
		return true;
	decision = pd_quota_exchange_admit(exchange, &request->ingress->cluster, request->account,
					   ask_timeout_us(request));
	request->counted = decision.counted;
	if (decision.verdict.admitted)
		return true;
	pd_count(PD_COUNT_quota_refused);
	pd_quota_exchange_log_refusal(exchange, request->account, request->fields.request_id,
				      &decision);
	/* All instances share the quota, so that another one would refuse the request, too. */
	request->relay_result = PD_RELAY_FINAL;
	*written = write_refusal(request, HTTP_STATUS_TOO_MANY_REQUESTS, "over the quota",
				 (uint32_t)(decision.verdict.wait_us / PD_USEC_PER_MSEC) + 1);
	return false;
}

/* Returns the token of a request that was counted. */
static void return_token(const struct request *request)
{
	pd_quota_return(&request->ingress->quota.quota, request->account, pd_os_boot_us());
	pd_count(PD_COUNT_quota_returned);
	pd_log(PD_LOG_INFO, "quota_returned", "id=%.*s account=%.*s",
	       PD_STR_ARG(request->fields.request_id), PD_STR_ARG(request->account->name));
}

void pd_serve_read_error(struct pd_client *client, enum pd_client_result result)
{
	struct request request = {.client = client, .close = true};

	switch (result) {
	case PD_CLIENT_MALFORMED:
		respond_text(&request, HTTP_STATUS_BAD_REQUEST, "malformed request");
		break;
	case PD_CLIENT_HEAD_TOO_LARGE:
		respond_text(&request, HTTP_STATUS_REQUEST_HEADER_FIELDS_TOO_LARGE,
			     "header too large");
		break;
	case PD_CLIENT_BODY_TOO_LARGE:
		respond_text(&request, HTTP_STATUS_PAYLOAD_TOO_LARGE, "body too large");
		break;
	case PD_CLIENT_TIMEOUT:
		respond_text(&request, HTTP_STATUS_REQUEST_TIMEOUT, "request not sent in time");
		break;
	default:
		return;
	}
	pd_log(PD_LOG_INFO, "request_unreadable", "status=%d reason=\"%s\"", request.status,
	       request.reason);
}

/* Forwards an upstream's response without the hop-by-hop fields. */
static bool forward_response(struct request *request, struct pd_leg *leg)
{
	struct pd_buf head = {0};

	request->status = leg->status;
	begin_response(&head, leg->status);
	for (uint32_t i = 0; i < leg->response.field_count; i++) {
		struct pd_str name = pd_http_message_name(&leg->response, i);

		if (pd_http_is_hop_by_hop_field(name) || pd_relay_is_field(name))
			continue;
		pd_buf_append_str(&head, name);
		pd_buf_append_str(&head, PD_STR(": "));
		pd_buf_append_str(&head, pd_http_message_value(&leg->response, i));
		pd_buf_append_str(&head, PD_STR("\r\n"));
	}
	return write_response(request, &head, pd_buf_str(&leg->response.body));
}

/* Responds with the merged records of the parts that have arrived. */
static bool respond_merged(struct request *request, struct pd_fanout *fanout)
{
	struct pd_str *stamps = calloc(fanout->leg_count, sizeof(*stamps));
	struct pd_str *bodies = calloc(fanout->leg_count, sizeof(*bodies));
	struct pd_buf head = {0}, body = {0};
	size_t count = 0;
	bool written = false;

	for (size_t i = 0; stamps && bodies && i < fanout->leg_count; i++) {
		if (fanout->legs[i].state != PD_LEG_ANSWERED)
			continue;
		stamps[count] = fanout->legs[i].stamp;
		bodies[count++] = pd_buf_str(&fanout->legs[i].response.body);
	}
	if (count && pd_merge_top(bodies, count, request->route->top_k, &body)) {
		request->status = HTTP_STATUS_OK;
		request->reason = pd_fanout_end_name(fanout->end);
		begin_response(&head, request->status);
		pd_platform_write_parts(&head, stamps, count, fanout->leg_count - count);
		written = write_response(request, &head, pd_buf_str(&body));
	} else {
		pd_log(PD_LOG_ERROR, "merge_failed", "id=%.*s reason=memory",
		       PD_STR_ARG(request->fields.request_id));
		written = respond_text(request, HTTP_STATUS_BAD_GATEWAY, "merge failed");
	}
	pd_buf_finish(&body);
	free(stamps);
	free(bodies);
	return written;
}

static int compare_permits(const void *a, const void *b)
{
	int64_t left = ((const struct pd_permit *)a)->wait_us;
	int64_t right = ((const struct pd_permit *)b)->wait_us;

	return (left > right) - (left < right);
}

/* Returns the permit for a successful response: that of the last one of as many legs as are needed.
 */
static struct pd_permit needed_permit(struct request *request, const struct pd_fanout *fanout)
{
	struct pd_permit needed = {.block = PD_BLOCK_NO_UPSTREAM, .wait_us = PD_PERMIT_NEVER};
	struct pd_permit *permits = calloc(fanout->leg_count, sizeof(*permits));
	int64_t now = pd_os_boot_us();

	if (!permits)
		return needed;
	for (size_t i = 0; i < fanout->leg_count; i++)
		permits[i] = pd_registry_permit(&request->ingress->registry,
						fanout->legs[i].service, NULL, 0, now);
	qsort(permits, fanout->leg_count, sizeof(*permits), compare_permits);
	if (fanout->needed <= fanout->leg_count)
		needed = permits[fanout->needed - 1];
	free(permits);
	return needed;
}

static bool refuse_no_upstreams(struct request *request, enum pd_block block)
{
	bool isolated;

	if (block == PD_BLOCK_LEAVING)
		return refuse(request, PD_REFUSAL_NO_UPSTREAM, "upstreams are leaving");

	pthread_mutex_lock(&request->ingress->lock);
	isolated = request->ingress->isolated;
	pthread_mutex_unlock(&request->ingress->lock);
	return refuse(request, isolated ? PD_REFUSAL_ISOLATED : PD_REFUSAL_NO_UPSTREAM,
		      isolated ? "out of reach" : "too few services have an upstream");
}

/* Refuses a request that too few upstreams permit now. */
static bool refuse_blocked(struct request *request, const struct pd_permit *permit)
{
	pd_log(PD_LOG_INFO, "request_blocked", "id=%.*s block=%s wait_ms=%" PRId64,
	       PD_STR_ARG(request->fields.request_id), pd_block_name(permit->block),
	       permit->wait_us == PD_PERMIT_NEVER ? -1 : permit->wait_us / PD_USEC_PER_MSEC);
	if (permit->wait_us == PD_PERMIT_NEVER)
		return refuse_no_upstreams(request, permit->block);
	if (permit->block == PD_BLOCK_PAUSED) {
		pd_count(PD_COUNT_paused_refused);
		return refuse_for(request, PD_REFUSAL_PAUSED, "upstreams have asked for a pause",
				  permit->wait_us);
	}
	pd_count(PD_COUNT_limited_refused);
	return refuse_for(request, PD_REFUSAL_RATE_LIMITED, "upstreams are at their rate limits",
			  permit->wait_us);
}

/* Refuses a request whose API key may have been withdrawn. */
static bool refuse_unconfirmed(struct request *request)
{
	pd_count(PD_COUNT_keys_unconfirmed);
	return refuse(request, PD_REFUSAL_KEY_UNCONFIRMED, "the API key isn't confirmed");
}

static uint64_t hash_service(const struct pd_leg *leg)
{
	return pd_str_hash(pd_name_str(&leg->service->name), 0);
}

/* Fills the inputs of fair admission. @services has room for an entry for each leg. */
static void fill_fair_request(const struct request *request, const struct pd_fanout *fanout,
			      uint64_t *services, int64_t now_us, struct pd_fair_request *fair)
{
	const struct pd_account *account = request->account;

	for (size_t i = 0; i < fanout->leg_count; i++)
		services[i] = hash_service(&fanout->legs[i]);
	*fair = (struct pd_fair_request){
		.account = account ? account->hash : 0,
		.route = pd_str_hash(request->route->name, 0),
		.weight = account && account->rate_per_s > 0 ? account->rate_per_s : 1,
		.priority = account ? request->priority : request->route->priority,
		.services = services,
		.legs = fanout->leg_count,
		.needed = fanout->needed,
		.left_us = pd_policy_due(request->route, now_us, fanout->cutoff_us,
					 fanout->deadline_us) -
			   now_us,
	};
}

/* Refuses a request because the upstreams are busy, which they are less after @wait_us; 0 if that
 * isn't known. */
static bool refuse_busy(struct request *request, const char *reason, int64_t wait_us)
{
	if (!wait_us)
		return refuse(request, PD_REFUSAL_UPSTREAMS_OVERLOADED, reason);
	request->relay_result = refusal_to_relay_result(PD_REFUSAL_UPSTREAMS_OVERLOADED);
	return write_refusal(request, HTTP_STATUS_SERVICE_UNAVAILABLE, reason,
			     (uint32_t)(wait_us / PD_USEC_PER_MSEC) + 1);
}

/* Returns the time after which a request that no upstream has taken may be sent again; 0 if that
 * isn't known. */
static int64_t time_to_return(const struct request *request, const struct pd_fanout *fanout)
{
	int64_t wait_us = 0, now = pd_os_boot_us();
	struct pd_fair_request fair;
	uint64_t *services;

	if (!request->catalog->has_accounts || fanout->relay)
		return 0;
	services = calloc(fanout->leg_count, sizeof(*services));
	if (services) {
		fill_fair_request(request, fanout, services, now, &fair);
		wait_us = pd_fair_share_return(&request->ingress->fair_share, &fair, now);
	}
	free(services);
	return wait_us;
}

/* Responds to a request for which too few upstreams have responded. */
static bool respond_failure(struct request *request, const struct pd_fanout *fanout)
{
	if (pd_fanout_not_executed(fanout) && fanout->key_refused)
		return refuse_unconfirmed(request);
	if (pd_fanout_not_executed(fanout)) {
		struct pd_permit permit = needed_permit(request, fanout);

		/* The upstreams may have asked for a pause when they rejected the request. */
		if (permit.block != PD_BLOCK_NONE && permit.wait_us != PD_PERMIT_NEVER)
			return refuse_blocked(request, &permit);
		return refuse_busy(request, "no upstream took the request",
				   time_to_return(request, fanout));
	}
	if (fanout->end == PD_FANOUT_DEADLINE)
		return respond_text(request, HTTP_STATUS_GATEWAY_TIMEOUT, "deadline");
	return respond_text(request, HTTP_STATUS_BAD_GATEWAY, "upstreams failed");
}

/* Whether the client may get the status of a response to a request that an upstream has executed.
 * Clients send a request that isn't idempotent again after a status that promises that it wasn't
 * executed.
 */
static bool may_forward(const struct request *request, const struct pd_leg *leg)
{
	return request->route->idempotent || !pd_platform_promises_not_executed(leg->status);
}

static bool respond_fanout(struct request *request, struct pd_fanout *fanout)
{
	struct pd_leg *leg = &fanout->legs[0];

	if (fanout->end == PD_FANOUT_CLIENT_GONE) {
		request->reason = "client_gone";
		return false;
	}
	if (request->route->kind == PD_ROUTE_GATHER) {
		if (fanout->answered >= fanout->needed)
			return respond_merged(request, fanout);
		return respond_failure(request, fanout);
	}
	if (leg->status && !may_forward(request, leg)) {
		pd_count(PD_COUNT_promises_withheld);
		pd_log(PD_LOG_INFO, "promise_withheld", "id=%.*s service=%s status=%d runs=%u",
		       PD_STR_ARG(request->fields.request_id), leg->service->name.text, leg->status,
		       leg->executions);
		return respond_failure(request, fanout);
	}
	if (leg->status) {
		request->reason = leg->state == PD_LEG_ANSWERED ? "complete" : "upstream_status";
		return forward_response(request, leg);
	}
	return respond_failure(request, fanout);
}

static void set_services(struct request *request, struct pd_fanout *fanout)
{
	struct pd_route *route = request->route;
	size_t first = 0;

	if (route->kind == PD_ROUTE_FORWARD)
		first = pd_registry_next_target(&request->ingress->registry, route);
	for (size_t i = 0; i < fanout->leg_count; i++) {
		uint32_t service = route->targets[first + i].service;

		fanout->legs[i].service = request->catalog->services[service].runtime;
	}
}

/* Returns the earlier of @deadline_us and the time by which a stopping process has to respond. */
static int64_t limit_to_shutdown(struct pd_ingress *ingress, int64_t deadline_us)
{
	int64_t stop;

	pthread_mutex_lock(&ingress->lock);
	stop = ingress->stop_deadline_us;
	pthread_mutex_unlock(&ingress->lock);
	return stop && stop < deadline_us ? stop : deadline_us;
}

static void fill_fanout(struct request *request, struct pd_fanout *fanout,
			const struct pd_buf *head)
{
	const struct pd_client *client = request->client;

	fanout->pool = &request->ingress->pool;
	fanout->route = request->route;
	fanout->stats = pd_registry_route_stats(&request->ingress->registry, request->route->name,
						&fanout->p92_us);
	fanout->request = (struct pd_exchange_request){
		.head = pd_buf_str(head),
		.body = pd_buf_str(&client->msg.body),
		.request_id = request->fields.request_id,
		.head_only = is_head(request),
	};
	fanout->key_check = request->needs_key ? &request->key_check : NULL;
	fanout->reporter = &request->ingress->reporter;
	fanout->fingerprint = pd_crash_fingerprint(
		pd_str_from(http_method_str((enum http_method)client->msg.parser.method)),
		request->fields.host, pd_http_message_target(&client->msg),
		pd_buf_str(&client->msg.body));
	/* A request that isn't idempotent continues when its client disconnects, since its effects
	 * can't be undone. */
	fanout->client_fd = request->route->idempotent ? client->fd : -1;
	fanout->arrived_us = client->arrived_us;
	fanout->deadline_us = limit_to_shutdown(
		request->ingress,
		pd_policy_deadline(request->route, client->arrived_us, request->fields.has_deadline,
				   request->fields.deadline_ms));
	fanout->cutoff_us = pd_policy_cutoff(request->route, client->arrived_us,
					     pd_client_network_delay_us(client));
	if (request->relayed) {
		fanout->cutoff_us = client->arrived_us +
				    (int64_t)request->relay_fields.wait_ms * PD_USEC_PER_MSEC;
		fanout->send_interim = true;
	}
	fanout->needed = pd_policy_parts_needed(request->route);
}

static void log_outcome(const struct request *request, const struct pd_fanout *fanout)
{
	int64_t elapsed = pd_os_boot_us() - request->client->arrived_us;

	pd_histogram_add(&request->ingress->latency, elapsed);
	pd_log(PD_LOG_INFO, "request_done",
	       "id=%.*s route=%.*s config=%" PRIu64
	       " status=%d reason=\"%s\" parts=%zu of=%zu hedges=%u retries=%u ms=%" PRId64
	       " deadline_ms=%" PRIu64,
	       PD_STR_ARG(request->fields.request_id), PD_STR_ARG(request->route->name),
	       request->catalog->version, request->status, request->reason ? request->reason : "",
	       fanout->answered, fanout->leg_count, fanout->hedges, fanout->retries, elapsed / 1000,
	       request->fields.deadline_ms);
}

/* Logs the longest expected latency of the legs of a request that wasn't admitted. */
static void log_expected(const struct request *request, const struct pd_fanout *fanout,
			 const int64_t *expected)
{
	int64_t longest = 0;

	for (size_t i = 0; i < fanout->leg_count; i++)
		longest = expected[i] > longest ? expected[i] : longest;
	pd_log(PD_LOG_INFO, "not_admitted",
	       "id=%.*s longest_expected_ms=%" PRId64 " cutoff_in_ms=%" PRId64
	       " parts=%zu needed=%zu",
	       PD_STR_ARG(request->fields.request_id), longest / 1000,
	       (fanout->cutoff_us - fanout->arrived_us) / 1000, fanout->leg_count, fanout->needed);
}

static int compare_times(const void *a, const void *b)
{
	int64_t left = *(const int64_t *)a, right = *(const int64_t *)b;

	return (left > right) - (left < right);
}

/* Whether the request is admitted with regard to those of other accounts and routes. Sorts
 * @expected. @services has room for an entry for each leg. */
static bool is_fair(struct request *request, const struct pd_fanout *fanout, int64_t *expected,
		    uint64_t *services, int64_t now_us, int64_t *wait_us)
{
	const struct pd_account *account = request->account;
	struct pd_fair_request fair;
	struct pd_fair_verdict verdict;

	fill_fair_request(request, fanout, services, now_us, &fair);
	qsort(expected, fanout->leg_count, sizeof(*expected), compare_times);
	fair.expected_us = expected[fanout->needed <= fanout->leg_count ? fanout->needed - 1 : 0];
	verdict = pd_fair_share_admit(&request->ingress->fair_share, &fair, now_us);
	if (verdict.admitted)
		return true;
	*wait_us = verdict.wait_us;
	pd_count(PD_COUNT_fair_refused);
	pd_log(PD_LOG_INFO, "fair_refused",
	       "id=%.*s account=%.*s priority=%u expected_ms=%" PRId64 " left_ms=%" PRId64
	       " over_share=%d wait_ms=%" PRId64,
	       PD_STR_ARG(request->fields.request_id),
	       PD_STR_ARG(account ? account->name : PD_STR("")), fair.priority,
	       fair.expected_us / PD_USEC_PER_MSEC, fair.left_us / PD_USEC_PER_MSEC,
	       verdict.over_share, verdict.wait_us / PD_USEC_PER_MSEC);
	return false;
}

/* Whether the queues at the upstreams are short enough to respond in time. */
static bool is_admitted(struct request *request, const struct pd_fanout *fanout, int64_t *wait_us)
{
	int64_t now = pd_os_boot_us();
	int64_t *expected = calloc(fanout->leg_count, sizeof(*expected));
	uint64_t *services = calloc(fanout->leg_count, sizeof(*services));
	bool admitted;

	if (!expected || !services) {
		free(expected);
		free(services);
		return false;
	}
	for (size_t i = 0; i < fanout->leg_count; i++)
		expected[i] = pd_registry_queued_latency_us(&request->ingress->registry,
							    fanout->legs[i].service, now);
	if (request->catalog->has_accounts) {
		admitted = is_fair(request, fanout, expected, services, now, wait_us);
	} else {
		admitted = pd_policy_admit(request->route, expected, fanout->leg_count, now,
					   fanout->cutoff_us, fanout->deadline_us);
		if (!admitted)
			log_expected(request, fanout, expected);
	}
	free(expected);
	free(services);
	return admitted;
}

/* Determines what became of a leg, as far as it shows whether its service can take more requests;
 * false if it doesn't. */
static bool fair_result(const struct request *request, const struct pd_fanout *fanout,
			const struct pd_leg *leg, int64_t due_us, enum pd_fair_result *result)
{
	struct pd_registry *registry = &request->ingress->registry;

	switch (leg->state) {
	case PD_LEG_ANSWERED:
		*result = leg->answered_us <= due_us ? PD_FAIR_IN_TIME : PD_FAIR_LATE;
		return true;
	case PD_LEG_OPEN:
		*result = PD_FAIR_LATE;
		return fanout->end == PD_FANOUT_CUTOFF || fanout->end == PD_FANOUT_DEADLINE;
	case PD_LEG_FAILED:
		/* Upstreams that have reached a rate limit or asked for a pause reject requests,
		 * too; pd_registry_permit() allows for that. */
		*result = PD_FAIR_NOT_TAKEN;
		return leg->rejected && !leg->executions &&
		       pd_registry_permit(registry, leg->service, NULL, 0, pd_os_boot_us()).block ==
			       PD_BLOCK_NONE;
	}
	return false;
}

/* Records for the decisions on later requests whether the services could take this one, which was
 * admitted at @admitted_us. */
static void report_fairness(struct request *request, const struct pd_fanout *fanout,
			    int64_t admitted_us)
{
	int64_t now = pd_os_boot_us();
	int64_t due_us =
		pd_policy_due(request->route, admitted_us, fanout->cutoff_us, fanout->deadline_us);
	struct pd_fair_outcome *outcomes;
	size_t count = 0;

	if (!request->catalog->has_accounts || fanout->end == PD_FANOUT_CLIENT_GONE)
		return;
	outcomes = calloc(fanout->leg_count, sizeof(*outcomes));
	for (size_t i = 0; outcomes && i < fanout->leg_count; i++) {
		const struct pd_leg *leg = &fanout->legs[i];
		struct pd_fair_outcome *outcome = &outcomes[count];

		if (!fair_result(request, fanout, leg, due_us, &outcome->result))
			continue;
		outcome->service = hash_service(leg);
		outcome->admitted_us = admitted_us;
		outcome->ended_us = leg->state == PD_LEG_ANSWERED ? leg->answered_us : now;
		outcome->queued = pd_registry_is_queued(&request->ingress->registry, leg->service,
							now, &outcome->usual_us);
		count++;
	}
	if (outcomes)
		pd_fair_share_report(&request->ingress->fair_share, outcomes, count, now);
	free(outcomes);
}

/* Returns the route by which a request is relayed: one target, one attempt. */
static struct pd_route make_relay_route(const struct pd_route *route)
{
	return (struct pd_route){.name = route->name,
				 .kind = PD_ROUTE_FORWARD,
				 .idempotent = true,
				 .timeout_ms = route->timeout_ms,
				 .target_latency_ms = route->target_latency_ms,
				 .max_attempts = 1,
				 .target_count = 1};
}

static void write_relay_head(const struct request *request, const struct pd_fanout *fanout,
			     struct pd_buf *head)
{
	int64_t wait_us = fanout->cutoff_us - pd_os_boot_us() - RELAY_RTT_US;
	struct pd_relay_fields fields = {
		.wait_ms = wait_us > 0 ? (uint64_t)(wait_us / PD_USEC_PER_MSEC) : 0,
		.config_version = request->catalog->version,
		.has_accounts = request->catalog->has_accounts,
	};
	/* The larger instance checks the key itself: it can't tell a relayed request from one of a
	 * client that claims to be relayed.
	 */
	const struct pd_identity_fields identity = {
		.api_key = request->account ? request->fields.api_key : (struct pd_str){NULL, 0}};

	pd_platform_write_head(&request->client->msg,
			       request->catalog->has_accounts ? &identity : NULL, head);
	pd_relay_write_request(&fields, head);
}

/* Handles the result of a relayed request; false if this instance has to serve the request. */
static bool handle_relay_response(struct request *request, struct pd_fanout *fanout, bool *written)
{
	struct pd_leg *leg = &fanout->legs[0];
	enum pd_relay_result relay_result;

	if (fanout->end == PD_FANOUT_CLIENT_GONE) {
		request->reason = "client_gone";
		*written = false;
		return true;
	}
	if (leg->state != PD_LEG_ANSWERED) {
		/* The larger instance may have sent the request to upstreams, so that serving it
		 * here could exceed the route's attempts. */
		if (pd_fanout_not_executed(fanout))
			return false;
		*written = respond_failure(request, fanout);
		return true;
	}
	relay_result = pd_relay_read_response(&leg->response);
	if (relay_result == PD_RELAY_NOT_SERVED)
		return false;
	if (relay_result == PD_RELAY_ISOLATED) {
		pd_registry_set_other_zones_unreachable(&request->ingress->registry,
							&request->ingress->settings.zone);
		request->close = true;
	}
	request->reason = "relayed";
	*written = forward_response(request, leg);
	return true;
}

/* Relays a gathered request to a larger instance; false if this instance has to serve it itself. */
static bool relay_request(struct request *request, bool *written)
{
	struct pd_service *relays = &request->ingress->registry.relays;
	struct pd_permit permit;
	struct pd_route route = make_relay_route(request->route);
	struct pd_route *own_route = request->route;
	struct pd_buf head = {0};
	struct pd_fanout fanout;
	bool served = false;

	if (request->relayed || own_route->kind != PD_ROUTE_GATHER)
		return false;
	permit = pd_registry_permit(&request->ingress->registry, relays, NULL, 0, pd_os_boot_us());
	if (permit.block != PD_BLOCK_NONE || permit.ejected)
		return false;
	if (!pd_fanout_init(&fanout, 1))
		return false;
	fill_fanout(request, &fanout, &head);
	fanout.route = &route;
	fanout.stats = NULL;
	fanout.p92_us = 0;
	fanout.relay = true;
	fanout.needed = 1;
	fanout.relay_eject_us = fanout.cutoff_us + RELAY_SILENCE_MAX_US;
	fanout.legs[0].service = relays;
	write_relay_head(request, &fanout, &head);
	fanout.request.head = pd_buf_str(&head);
	if (!head.failed) {
		pd_fanout_run(&fanout);
		served = handle_relay_response(request, &fanout, written);
	}
	if (served)
		log_outcome(request, &fanout);
	else
		pd_log(PD_LOG_INFO, "relay_failed", "id=%.*s end=%s status=%d",
		       PD_STR_ARG(request->fields.request_id), pd_fanout_end_name(fanout.end),
		       fanout.legs[0].status);
	pd_fanout_finish(&fanout);
	pd_buf_finish(&head);
	return served;
}

static void write_upstream_head(const struct request *request, struct pd_buf *head)
{
	const struct pd_identity_fields identity = {
		.account = request->account ? request->account->name : (struct pd_str){NULL, 0}};

	pd_platform_write_head(&request->client->msg,
			       request->catalog->has_accounts ? &identity : NULL, head);
}

static bool serve_locally(struct request *request)
{
	struct pd_route *route = request->route;
	size_t legs = route->kind == PD_ROUTE_GATHER ? route->target_count : 1;
	struct pd_buf head = {0};
	struct pd_permit permit;
	struct pd_fanout fanout;
	int64_t wait_us = 0, admitted_us;
	bool written;

	if (!pd_fanout_init(&fanout, legs))
		return refuse(request, PD_REFUSAL_OVERLOADED, "memory");
	write_upstream_head(request, &head);
	set_services(request, &fanout);
	fill_fanout(request, &fanout, &head);
	permit = needed_permit(request, &fanout);
	if (head.failed) {
		written = refuse(request, PD_REFUSAL_OVERLOADED, "memory");
	} else if (permit.block != PD_BLOCK_NONE) {
		written = refuse_blocked(request, &permit);
	} else if (pd_crashes_is_blocked(&request->ingress->directory.crashes, fanout.fingerprint,
					 pd_os_boot_us())) {
		written = refuse(request, PD_REFUSAL_CRASHES, "the request crashed its upstreams");
	} else if (!is_admitted(request, &fanout, &wait_us)) {
		written = refuse_busy(request, "upstreams are busy", wait_us);
	} else {
		fanout.quota = quota_of(request);
		fanout.account = request->account;
		fanout.counted = request->counted;
		request->counted = false;
		fanout.on_trial = pd_crashes_is_suspect(&request->ingress->directory.crashes,
							fanout.fingerprint, pd_os_boot_us());
		admitted_us = pd_os_boot_us();
		pd_fanout_run(&fanout);
		report_fairness(request, &fanout, admitted_us);
		if (fanout.counted && pd_fanout_not_executed(&fanout))
			return_token(request);
		written = respond_fanout(request, &fanout);
	}
	log_outcome(request, &fanout);
	pd_fanout_finish(&fanout);
	pd_buf_finish(&head);
	return written;
}

static struct pd_str strip_query(struct pd_str target)
{
	const char *query = target.len ? memchr(target.data, '?', target.len) : NULL;

	return query ? (struct pd_str){target.data, (size_t)(query - target.data)} : target;
}

static void log_refusal(const struct request *request)
{
	pd_log(PD_LOG_INFO, "request_refused", "id=%.*s status=%d reason=\"%s\" config=%" PRIu64,
	       PD_STR_ARG(request->fields.request_id), request->status, request->reason,
	       request->catalog ? request->catalog->version : 0);
}

static bool respond_no_route(struct request *request)
{
	/* The instance that relayed the request has a route for it, and serves it itself. */
	request->relay_result = PD_RELAY_NOT_SERVED;
	return respond_text(request, HTTP_STATUS_NOT_FOUND, "no route");
}

/* Whether the key of the client, if it has one, is valid by a configuration that is recent enough
 * to know of its withdrawal.
 */
static bool is_confirmed(const struct request *request)
{
	return pd_os_boot_us() <
	       pd_key_confirmed_until_us(request->confirmed_us,
					 request->ingress->settings.revocation_ms);
}

static void set_account(struct request *request, const struct pd_account *account)
{
	request->account = account;
	if (account->has_priority)
		request->priority = account->priority;
	request->key_check = (struct pd_key_check){
		.directory = &request->ingress->directory,
		.key = request->fields.api_key,
		.account = account->name,
		.version = request->catalog->version,
		.revocation_ms = request->ingress->settings.revocation_ms,
	};
	request->needs_key = !request->route->allow_anonymous;
}

static bool respond_unknown_key(struct request *request)
{
	pd_count(PD_COUNT_keys_unknown);
	return respond_text(request, HTTP_STATUS_UNAUTHORIZED, "a known API key is needed");
}

/* Determines the account of a request by its API key. False if the request was refused; then
 * @written tells whether the response was written.
 */
static bool check_key(struct request *request, bool *written)
{
	const struct pd_catalog *catalog = request->catalog;
	const struct pd_account *account;

	request->priority = request->route->priority;
	if (!catalog->has_accounts) {
		/* The key that came with the relayed request would reach upstreams. */
		if (!request->relayed || !request->relay_fields.has_accounts)
			return true;
		*written = refuse(request, PD_REFUSAL_NOT_CONFIGURED, "accounts aren't configured");
		return false;
	}
	if (request->relayed && catalog->version < request->relay_fields.config_version) {
		*written = refuse(request, PD_REFUSAL_NOT_CONFIGURED, "configuration is older");
		return false;
	}
	account = pd_catalog_find_account(catalog, request->fields.api_key);
	if (account && is_confirmed(request)) {
		set_account(request, account);
		return true;
	}
	if (request->route->allow_anonymous)
		return true;
	/* A configuration that isn't the newest one may lack a new key. */
	if (!request->fields.api_key.len || is_confirmed(request))
		*written = respond_unknown_key(request);
	else
		*written = refuse_unconfirmed(request);
	return false;
}

/* Relays the request or serves it, if it is within its account's quota. While the owner of the
 * account has to be asked, the instance that serves the request asks: a use can't be granted to
 * one instance and counted by another one. */
static bool relay_or_serve(struct request *request)
{
	bool asks = quota_of(request) &&
		    pd_quota_exchange_asks(&request->ingress->quota, request->account);
	bool written;

	if (asks && relay_request(request, &written))
		return written;
	if (!is_within_quota(request, &written)) {
		log_refusal(request);
		return written;
	}
	if (!asks && !request->counted && relay_request(request, &written))
		return written;
	written = serve_locally(request);
	/* It was refused before its first attempt. */
	if (request->counted)
		return_token(request);
	return written;
}

/* Checks whether the request can be served, and relays, serves or refuses it. */
static bool serve_or_refuse(struct request *request)
{
	struct pd_str target = pd_http_message_target(&request->client->msg);
	bool written;

	if (!target.len || target.data[0] != '/' || !request->fields.request_id.len)
		written = respond_text(request, HTTP_STATUS_BAD_REQUEST,
				       "a path and a request id are needed");
	else if (!request->catalog)
		written = refuse(request, PD_REFUSAL_NOT_CONFIGURED, "no configuration is known");
	else if (pd_ingress_at_request_limit(request->ingress))
		written = refuse(request, PD_REFUSAL_OVERLOADED, "too many requests");
	else if (!(request->route = pd_catalog_find_route(request->catalog, request->fields.host,
							  strip_query(target))))
		written = respond_no_route(request);
	else if (!check_key(request, &written))
		; /* refused */
	else if (request->route->unusable)
		written = refuse(request, PD_REFUSAL_NOT_CONFIGURED, "the route isn't readable");
	else if (!pd_ingress_takes(request->ingress, request->route))
		written = refuse(request, PD_REFUSAL_STOPPING, "stopping");
	else if (request->relayed &&
		 request->catalog->version < request->relay_fields.config_version)
		written = refuse(request, PD_REFUSAL_NOT_CONFIGURED, "configuration is older");
	else
		return relay_or_serve(request);
	log_refusal(request);
	return written;
}

/* Reads the configuration, and before it the time at which it was proven to be the newest one: the
 * configuration that is in force then is at least as recent.
 */
static void read_config(struct request *request)
{
	request->confirmed_us = pd_directory_config_confirmed_us(&request->ingress->directory);
	request->catalog = pd_registry_catalog(&request->ingress->registry);
}

/* Lets an instance that has just started prove its configuration when the first requests with keys
 * arrive, and waits for a part of the latency objective: the proof takes one call to the store, and
 * a client that is refused has to connect to another instance, which may have just started, too.
 */
static void wait_for_first_proof(struct request *request)
{
	struct pd_ingress *ingress = request->ingress;
	const struct pd_route *route;

	if (!ingress->settings.revocation_ms || request->confirmed_us || !request->catalog ||
	    !request->catalog->has_accounts || !request->fields.api_key.len)
		return;
	route = pd_catalog_find_route(request->catalog, request->fields.host,
				      strip_query(pd_http_message_target(&request->client->msg)));
	if (!route || route->allow_anonymous)
		return;
	pd_sync_request_proof(&ingress->sync);
	if (!pd_directory_wait_for_first_proof(&ingress->directory, pd_policy_proof_wait_us(route)))
		return;
	pd_catalog_release(request->catalog);
	read_config(request);
}

bool pd_serve_request(struct pd_ingress *ingress, struct pd_client *client)
{
	struct request request = {.ingress = ingress, .client = client};
	bool written;

	pd_platform_read_request(&client->msg, &request.fields);
	request.relayed = pd_relay_read_request(&client->msg, &request.relay_fields);
	read_config(&request);
	wait_for_first_proof(&request);
	request.close = !client->msg.keep_alive;
	written = serve_or_refuse(&request);
	pd_catalog_release(request.catalog);
	return written && !request.close;
}

bool pd_serve_status(struct pd_ingress *ingress, struct pd_client *client,
		     enum pd_listener_kind kind)
{
	struct request request = {.ingress = ingress, .client = client};
	struct pd_buf head = {0}, body = {0};
	bool written;

	request.close = !client->msg.keep_alive;
	if (kind == PD_LISTENER_READY) {
		bool ready = pd_ingress_is_ready(ingress) &&
			     pd_platform_is_readiness(pd_http_message_target(&client->msg));

		begin_response(&head, ready ? HTTP_STATUS_OK : HTTP_STATUS_SERVICE_UNAVAILABLE);
		return write_response(&request, &head,
				      ready ? PD_STR("ready\n") : PD_STR("not ready\n"));
	}
	if (pd_explain_is_target(pd_http_message_target(&client->msg))) {
		int status = pd_explain(ingress, pd_http_message_target(&client->msg), &body);

		begin_response(&head, status);
		pd_buf_append_str(&head, PD_STR("Content-Type: text/plain\r\n"));
		written = write_response(&request, &head, pd_buf_str(&body));
		pd_buf_finish(&body);
		return written && !request.close;
	}
	pd_counters_print(&body);
	pd_histogram_print(&ingress->latency, "request_latency", &body);
	pd_histogram_print(&ingress->directory.config_delay, "config_delay", &body);
	begin_response(&head, HTTP_STATUS_OK);
	pd_buf_append_str(&head, PD_STR("Content-Type: text/plain\r\n"));
	written = write_response(&request, &head, pd_buf_str(&body));
	pd_buf_finish(&body);
	return written && !request.close;
}
