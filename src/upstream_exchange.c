#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "counters.h"
#include "upstream_private.h"

static struct pd_str get_header(const struct pd_http_response *response, const char *name)
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

/* Returns the value of `key=...` in a list separated by semicolons; empty when absent. */
static struct pd_str find_list_value(struct pd_str list, struct pd_str key)
{
	size_t pos = 0;

	while (pos < list.len) {
		const char *end = memchr(list.data + pos, ';', list.len - pos);
		size_t stop = end ? (size_t)(end - list.data) : list.len;
		struct pd_str item;

		while (pos < stop && list.data[pos] == ' ')
			pos++;
		item = (struct pd_str){list.data + pos, stop - pos};
		if (item.len > key.len && item.data[key.len] == '=' &&
		    !memcmp(item.data, key.data, key.len))
			return (struct pd_str){item.data + key.len + 1, item.len - key.len - 1};
		pos = stop + 1;
	}
	return (struct pd_str){NULL, 0};
}

static enum pd_load_state load_state(const struct pd_http_response *response)
{
	struct pd_str state = find_list_value(get_header(response, "load"), PD_STR("state"));

	if (pd_str_is(state, "cold"))
		return PD_LOAD_COLD;
	return pd_str_is(state, "warm") ? PD_LOAD_WARM : PD_LOAD_UNKNOWN;
}

static bool number_equals(struct pd_str text, uint64_t expected)
{
	uint64_t value;

	return pd_str_to_u64(text, &value) && value == expected;
}

/*
 * Whether the reply belongs to @request, according to the request headers that it echoes. Only a
 * reply with a result must echo them.
 */
static bool echo_matches(const struct pd_http_response *response,
			 const struct pd_msg_subrequest *request)
{
	bool result = response->status == 200;

	if ((result || has_header(response, "request-id")) &&
	    !pd_str_equal(get_header(response, "request-id"), request->request_id))
		return false;
	if ((result || has_header(response, "service")) &&
	    !pd_str_equal(get_header(response, "service"), request->service))
		return false;
	if (!result)
		return true;
	if (!number_equals(get_header(response, "snapshot"), request->snapshot))
		return false;
	/* A `run` command has no snapshot and covers no buckets. */
	if (request->snapshot != 0 && !has_header(response, "covers"))
		return false;
	return !has_header(response, "content-length") ||
	       number_equals(get_header(response, "content-length"), response->body.len);
}

/* Parses a comma-separated list of the snapshots that the upstream holds. */
static void parse_held_snapshots(struct pd_str list, struct pd_msg_subreply *reply)
{
	size_t pos = 0;

	while (pos < list.len && reply->held_count < PD_HELD_SNAPSHOTS_MAX) {
		const char *end = memchr(list.data + pos, ',', list.len - pos);
		size_t stop = end ? (size_t)(end - list.data) : list.len;

		while (pos < stop && list.data[pos] == ' ')
			pos++;
		if (pd_str_to_u64((struct pd_str){list.data + pos, stop - pos},
				  &reply->held[reply->held_count]))
			reply->held_count++;
		pos = stop + 1;
	}
}

/*
 * Maps an error reply. Only the header `Not-Run` proves that the upstream didn't begin to run the
 * request.
 */
static enum pd_substatus error_status(const struct pd_http_response *response,
				      struct pd_exchange *exchange)
{
	struct pd_str not_run = get_header(response, "not-run");

	switch (response->status) {
	case 409:
		parse_held_snapshots(get_header(response, "snapshots"), &exchange->reply);
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
	reply->covers = get_header(response, "covers");
	reply->body = response->body;
}

static enum pd_code send_run_request(struct pd_http_client *client,
				     const struct pd_upstream_config *config,
				     const struct pd_upstream_job *job, int64_t time_left_us,
				     int64_t end_unix_ms, int64_t timeout_us,
				     struct pd_http_response *response, struct pd_error *err)
{
	const struct pd_msg_subrequest *request = &job->request;
	char snapshot[24];
	char deadline_ms[24];
	char deadline_at[24];

	snprintf(snapshot, sizeof(snapshot), "%" PRIu64, request->snapshot);
	/* Rounded down, so that the upstream never runs the request after the lease ended. */
	snprintf(deadline_ms, sizeof(deadline_ms), "%" PRId64, time_left_us / PD_USEC_PER_MSEC);
	snprintf(deadline_at, sizeof(deadline_at), "%" PRId64, end_unix_ms);
	const struct pd_http_header headers[] = {
		{PD_STR("Request-Id"), request->request_id},
		{PD_STR("Service"), request->service},
		{PD_STR("Snapshot"), pd_str_from(snapshot)},
		{PD_STR("Deadline-Ms"), pd_str_from(deadline_ms)},
		{PD_STR("Deadline-At"), pd_str_from(deadline_at)},
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
	/* Read the wall clock first: a pause in between must only make Deadline-At earlier. */
	int64_t unix_ms = pd_os_unix_ms();
	int64_t time_left_us = job->upstream_deadline_us - pd_os_now_us();

	memset(exchange, 0, sizeof(*exchange));
	/* This thread was paused after the dispatch, so another instance may be the owner now. */
	if (time_left_us <= 0) {
		exchange->reply.status = job->upstream_deadline_us >= job->deadline_us
						 ? PD_SUB_DEADLINE
						 : PD_SUB_NOT_OWNER;
		return;
	}
	/* libcurl may resend a request without a body when a reused connection is closed. */
	if (!job->request.idempotent && job->request.body.len == 0)
		pd_http_client_drop_connection(client);
	exchange->code = send_run_request(client, config, job, time_left_us,
					  unix_ms + time_left_us / PD_USEC_PER_MSEC, timeout_us,
					  &response, &err);
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
