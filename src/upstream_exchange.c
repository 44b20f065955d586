#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "counters.h"
#include "upstream_private.h"

static struct pd_str header_of(const struct pd_http_response *response, const char *name)
{
	return pd_http_response_header(response, name);
}

static bool has_header(const struct pd_http_response *response, const char *name)
{
	for (size_t i = 0; i < response->header_count; i++) {
		if (pd_str_is(response->headers[i].name, name))
			return true;
	}
	return false;
}

/* Value of `key=...` in a list separated by semicolons; empty when absent. */
static struct pd_str list_value(struct pd_str list, struct pd_str key)
{
	size_t at = 0;

	while (at < list.len) {
		const char *end = memchr(list.data + at, ';', list.len - at);
		size_t stop = end ? (size_t)(end - list.data) : list.len;
		struct pd_str item;

		while (at < stop && list.data[at] == ' ')
			at++;
		item = (struct pd_str){list.data + at, stop - at};
		if (item.len > key.len && item.data[key.len] == '=' &&
		    !memcmp(item.data, key.data, key.len))
			return (struct pd_str){item.data + key.len + 1, item.len - key.len - 1};
		at = stop + 1;
	}
	return (struct pd_str){NULL, 0};
}

static enum pd_load_state load_state(const struct pd_http_response *response)
{
	struct pd_str state = list_value(header_of(response, "load"), PD_STR("state"));

	if (pd_str_is(state, "cold"))
		return PD_LOAD_COLD;
	return pd_str_is(state, "warm") ? PD_LOAD_WARM : PD_LOAD_UNKNOWN;
}

static bool number_is(struct pd_str text, uint64_t expected)
{
	uint64_t value;

	return pd_str_to_u64(text, &value) && value == expected;
}

/* Whether the reply belongs to @request; a reply without a result may leave the echo out. */
static bool echo_matches(const struct pd_http_response *response,
			 const struct pd_msg_subrequest *request)
{
	bool result = response->status == 200;

	if ((result || has_header(response, "request-id")) &&
	    !pd_str_equal(header_of(response, "request-id"), request->request_id))
		return false;
	if ((result || has_header(response, "service")) &&
	    !pd_str_equal(header_of(response, "service"), request->service))
		return false;
	if (!result)
		return true;
	if (!number_is(header_of(response, "snapshot"), request->snapshot))
		return false;
	/* A `run` command has no snapshot and covers no buckets. */
	if (request->snapshot != 0 && !has_header(response, "covers"))
		return false;
	return !has_header(response, "content-length") ||
	       number_is(header_of(response, "content-length"), response->body.len);
}

static void parse_held(struct pd_str list, struct pd_msg_subreply *reply)
{
	size_t at = 0;

	while (at < list.len && reply->held_count < PD_HELD_SNAPSHOTS_MAX) {
		const char *end = memchr(list.data + at, ',', list.len - at);
		size_t stop = end ? (size_t)(end - list.data) : list.len;

		while (at < stop && list.data[at] == ' ')
			at++;
		if (pd_str_to_u64((struct pd_str){list.data + at, stop - at},
				  &reply->held[reply->held_count]))
			reply->held_count++;
		at = stop + 1;
	}
}

/* Only `Not-Run` proves that an error reply came before the request began. */
static enum pd_substatus error_status(const struct pd_http_response *response,
				      struct pd_exchange *exchange)
{
	struct pd_str not_run = header_of(response, "not-run");

	switch (response->status) {
	case 409:
		parse_held(header_of(response, "snapshots"), &exchange->reply);
		return has_header(response, "snapshots") ? PD_SUB_SNAPSHOT : PD_SUB_FAILED;
	case 503:
		exchange->shed = pd_str_is(not_run, "shed");
		exchange->draining = pd_str_is(not_run, "draining");
		if (exchange->draining)
			return PD_SUB_LEAVING;
		return exchange->shed ? PD_SUB_OVERLOADED : PD_SUB_FAILED;
	case 504:
		return pd_str_is(not_run, "deadline") ? PD_SUB_DEADLINE : PD_SUB_FAILED;
	case 410:
		return pd_str_is(not_run, "cancelled") ? PD_SUB_CANCELLED : PD_SUB_FAILED;
	default:
		return PD_SUB_FAILED;
	}
}

static void map_response(const struct pd_http_response *response,
			 const struct pd_msg_subrequest *request, struct pd_exchange *exchange)
{
	struct pd_msg_subreply *reply = &exchange->reply;

	if (!echo_matches(response, request)) {
		reply->status = PD_SUB_MISMATCH;
		return;
	}
	exchange->load = load_state(response);
	if (response->status != 200) {
		reply->status = error_status(response, exchange);
		return;
	}
	reply->status = PD_SUB_OK;
	reply->snapshot = request->snapshot;
	reply->covers = header_of(response, "covers");
	reply->body = response->body;
}

static enum pd_code perform(struct pd_http_client *client, const struct pd_upstream_config *config,
			    const struct pd_upstream_job *job, int64_t left_us, int64_t end_unix_ms,
			    int64_t timeout_us, struct pd_http_response *response,
			    struct pd_error *err)
{
	const struct pd_msg_subrequest *request = &job->request;
	char snapshot[24];
	char left[24];
	char at[24];

	snprintf(snapshot, sizeof(snapshot), "%" PRIu64, request->snapshot);
	/* Rounded down, so that the upstream never works beyond the lease. */
	snprintf(left, sizeof(left), "%" PRId64, left_us / PD_USEC_PER_MSEC);
	snprintf(at, sizeof(at), "%" PRId64, end_unix_ms);
	const struct pd_http_header headers[] = {
		{PD_STR("Request-Id"), request->request_id},
		{PD_STR("Service"), request->service},
		{PD_STR("Snapshot"), pd_str_from(snapshot)},
		{PD_STR("Deadline-Ms"), pd_str_from(left)},
		{PD_STR("Deadline-At"), pd_str_from(at)},
		{PD_STR("Content-Type"), PD_STR("text/plain")},
	};
	const struct pd_http_request http = {
		.method = "POST",
		.address = config->address,
		.path = "/run",
		.headers = headers,
		.header_count = sizeof(headers) / sizeof(headers[0]),
		.body = request->body,
		.timeout_us = timeout_us,
	};

	return pd_http_client_perform(client, &http, response, err);
}

void pd_exchange_run(struct pd_http_client *client, const struct pd_upstream_config *config,
		     const struct pd_upstream_job *job, int64_t timeout_us,
		     struct pd_exchange *exchange)
{
	struct pd_http_response response;
	struct pd_error err;
	/* Read first: a pause between the clocks makes the deadline earlier, never later. */
	int64_t unix_ms = pd_os_unix_ms();
	int64_t left_us = job->upstream_deadline_us - pd_os_now_us();

	memset(exchange, 0, sizeof(*exchange));
	/* This thread was paused since the dispatch: another instance may be the owner now. */
	if (left_us <= 0) {
		exchange->reply.status = job->upstream_deadline_us >= job->deadline_us
						 ? PD_SUB_DEADLINE
						 : PD_SUB_NOT_OWNER;
		return;
	}
	/* libcurl may repeat a request without a body by itself when a kept connection is dead. */
	if (!job->request.idempotent && job->request.body.len == 0)
		pd_http_client_drop_connection(client);
	exchange->code = perform(client, config, job, left_us, unix_ms + left_us / PD_USEC_PER_MSEC,
				 timeout_us, &response, &err);
	exchange->service_us = pd_os_now_us() - job->dispatched_us;
	if (exchange->code != PD_OK)
		return;
	if (response.new_connection) {
		pd_count(PD_COUNT_upstream_connects);
		if (exchange->service_us > config->connect_us)
			exchange->service_us -= config->connect_us;
	}
	map_response(&response, &job->request, exchange);
	if (exchange->reply.status != PD_SUB_MISMATCH)
		return;
	pd_count(PD_COUNT_replies_mismatched);
	pd_http_client_drop_connection(client);
}
