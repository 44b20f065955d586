/* The platform: object API with watches, and the instance list that lags. */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "listing.h"
#include "log.h"
#include "rate.h"
#include "serve.h"
#include "store.h"

#define VALUE_MAX_BYTES	 (1024 * 1024)
#define EVENTS_MAX_BYTES (1024 * 1024) /* clients limit a reply to little more than one value */
#define WAIT_MAX_MS	 60000
#define HANG_STEP_US	 (100 * PD_USEC_PER_MSEC) /* how often a held call checks its client */
#define OBJECTS_PATH	 "/objects/"

/**
 * struct platform - the stand-in's state
 * @mutex: guards all below
 * @changed: broadcast at each write, each control line and at the stop
 */
static struct platform {
	struct standin_common_options common;
	int64_t list_lag_ms;
	struct standin_server server;

	pthread_mutex_t mutex;
	pthread_cond_t changed;
	struct standin_store store;
	struct standin_listing listing;
	struct standin_rate all;
	struct standin_rate reads;
	struct standin_rate writes;
	struct standin_rate watches;
	bool outage;
	bool hang;
	int64_t delay_ms;
	int64_t lose_answers;
} platform = {.list_lag_ms = 2000};

static void count_call(struct standin_rate *rate)
{
	int64_t now_us = pd_os_now_us();

	standin_rate_count(&platform.all, now_us);
	standin_rate_count(rate, now_us);
}

static enum MHD_Result reply_version(struct standin_request *request, unsigned int status,
				     uint64_t version)
{
	char text[64];

	snprintf(text, sizeof(text), "{\"version\":%llu}", (unsigned long long)version);
	return standin_send_text(request, status, text);
}

/*
 * Waits while calls hang, with the mutex held; false when the call must not be answered. A call
 * whose client gives up is dropped, so that a long hang doesn't pile up threads.
 */
static bool pass_hang(const struct standin_request *request)
{
	while (platform.hang && !standin_server_stopping(&platform.server)) {
		pd_os_cond_wait_until(&platform.changed, &platform.mutex,
				      pd_os_now_us() + HANG_STEP_US);
		if (platform.hang && standin_request_client_closed(request))
			return false;
	}
	return !standin_server_stopping(&platform.server);
}

/* Counts, delays or holds a call; returns with the mutex held. False during an outage. */
static bool begin_call(const struct standin_request *request, struct standin_rate *rate,
		       bool *closing)
{
	int64_t delay_ms;

	pthread_mutex_lock(&platform.mutex);
	count_call(rate);
	delay_ms = platform.delay_ms;
	pthread_mutex_unlock(&platform.mutex);
	if (delay_ms)
		standin_server_sleep(&platform.server, delay_ms * PD_USEC_PER_MSEC);
	pthread_mutex_lock(&platform.mutex);
	*closing = !pass_hang(request);
	return !*closing && !platform.outage;
}

static enum MHD_Result refuse_call(struct standin_request *request, bool closing)
{
	pthread_mutex_unlock(&platform.mutex);
	if (closing)
		return MHD_NO;
	return standin_send_text(request, MHD_HTTP_SERVICE_UNAVAILABLE, "outage\n");
}

static enum MHD_Result get_object(struct standin_request *request, struct pd_str key)
{
	const struct standin_object *object;
	struct pd_buf out;
	bool closing;

	if (!begin_call(request, &platform.reads, &closing))
		return refuse_call(request, closing);
	pd_buf_init(&out, 0);
	object = standin_store_get(&platform.store, key);
	if (object)
		standin_store_print(object, &out);
	pthread_mutex_unlock(&platform.mutex);
	if (!object)
		return standin_send_text(request, MHD_HTTP_NOT_FOUND, "no such object\n");
	return standin_send_json(request, &out);
}

/* Status of a malformed write; 0 when it is well-formed. */
static unsigned int check_value(struct standin_request *request)
{
	json_t *json;

	if (request->body.failed)
		return MHD_HTTP_CONTENT_TOO_LARGE;
	json = json_loadb(request->body.data ? request->body.data : "", request->body.len,
			  JSON_DECODE_ANY, NULL);
	if (!json)
		return MHD_HTTP_BAD_REQUEST;
	json_decref(json);
	return 0;
}

static enum MHD_Result answer_write(struct standin_request *request,
				    enum standin_store_result result, uint64_t version, bool lost)
{
	if (lost)
		return MHD_NO;
	switch (result) {
	case STANDIN_STORE_OK:
		return reply_version(request, MHD_HTTP_OK, version);
	case STANDIN_STORE_CONFLICT:
		return reply_version(request, MHD_HTTP_CONFLICT, version);
	case STANDIN_STORE_NOT_FOUND:
		return standin_send_text(request, MHD_HTTP_NOT_FOUND, "no such object\n");
	case STANDIN_STORE_NO_MEMORY:
		break;
	}
	return standin_send_text(request, MHD_HTTP_INTERNAL_SERVER_ERROR, "no memory\n");
}

static enum MHD_Result write_object(struct standin_request *request, struct pd_str key,
				    bool deletion)
{
	bool conditional = standin_request_argument(request, "if_version") != NULL;
	unsigned int bad = deletion ? 0 : check_value(request);
	struct pd_str value = pd_buf_str(&request->body);
	enum standin_store_result result;
	int64_t if_version = 0;
	uint64_t version;
	bool closing;
	bool lost;

	if (!standin_request_integer_argument(request, "if_version", &if_version))
		bad = MHD_HTTP_BAD_REQUEST;
	if (!begin_call(request, &platform.writes, &closing))
		return refuse_call(request, closing);
	if (bad) {
		pthread_mutex_unlock(&platform.mutex);
		return standin_send_text(request, bad, "malformed or too large\n");
	}
	result = standin_store_write(&platform.store, key, deletion ? NULL : &value, conditional,
				     (uint64_t)if_version, &version);
	lost = result == STANDIN_STORE_OK && platform.lose_answers > 0;
	platform.lose_answers -= lost;
	pthread_cond_broadcast(&platform.changed);
	pthread_mutex_unlock(&platform.mutex);
	return answer_write(request, result, version, lost);
}

static enum MHD_Result list_objects(struct standin_request *request)
{
	const char *prefix = standin_request_argument(request, "prefix");
	struct pd_buf out;
	bool closing;

	if (!begin_call(request, &platform.reads, &closing))
		return refuse_call(request, closing);
	pd_buf_init(&out, 0);
	standin_store_list(&platform.store, pd_str_from(prefix), &out);
	pthread_mutex_unlock(&platform.mutex);
	return standin_send_json(request, &out);
}

/* Waits for events behind @after with the mutex held; false when the history is gone. */
static bool wait_events(struct pd_str prefix, uint64_t after, int64_t end_us, struct pd_buf *out)
{
	uint64_t scanned = after;

	while (!platform.outage && !standin_server_stopping(&platform.server)) {
		if (!standin_store_has_events_since(&platform.store, scanned))
			return false;
		pd_buf_clear(out);
		if (standin_store_events(&platform.store, prefix, scanned, EVENTS_MAX_BYTES, out) ||
		    pd_os_now_us() >= end_us)
			break;
		scanned = platform.store.revision;
		pd_os_cond_wait_until(&platform.changed, &platform.mutex, end_us);
	}
	return true;
}

static enum MHD_Result watch_objects(struct standin_request *request)
{
	struct pd_str prefix = pd_str_from(standin_request_argument(request, "prefix"));
	int64_t after = 0;
	int64_t wait_ms = 0;
	struct pd_buf out;
	bool closing;
	bool known;

	if (!standin_request_integer_argument(request, "after", &after) ||
	    !standin_request_integer_argument(request, "wait_ms", &wait_ms))
		return standin_send_text(request, MHD_HTTP_BAD_REQUEST, "malformed\n");
	if (wait_ms > WAIT_MAX_MS)
		wait_ms = WAIT_MAX_MS;
	if (!begin_call(request, &platform.watches, &closing))
		return refuse_call(request, closing);
	pd_buf_init(&out, 0);
	known = wait_events(prefix, (uint64_t)after,
			    request->arrived_us + wait_ms * PD_USEC_PER_MSEC, &out);
	closing = !pass_hang(request);
	if (closing || platform.outage) {
		pd_buf_finish(&out);
		return refuse_call(request, closing);
	}
	pthread_mutex_unlock(&platform.mutex);
	if (known)
		return standin_send_json(request, &out);
	pd_buf_finish(&out);
	return standin_send_text(request, MHD_HTTP_GONE, "history is gone\n");
}

static enum MHD_Result list_instances(struct standin_request *request)
{
	struct pd_buf out;
	bool closing;

	if (!begin_call(request, &platform.reads, &closing))
		return refuse_call(request, closing);
	pd_buf_init(&out, 0);
	standin_listing_print(&platform.listing, pd_os_now_us(),
			      platform.list_lag_ms * PD_USEC_PER_MSEC, &out);
	pthread_mutex_unlock(&platform.mutex);
	return standin_send_json(request, &out);
}

static enum MHD_Result print_stats(struct standin_request *request)
{
	struct pd_buf out;

	pd_buf_init(&out, 0);
	pthread_mutex_lock(&platform.mutex);
	pd_buf_printf(
		&out,
		"{\"reads\":%llu,\"writes\":%llu,\"watches\":%llu,\"total\":%llu,"
		"\"max_per_second\":%llu,\"writes_max_per_second\":%llu,\"revision\":%llu}",
		(unsigned long long)platform.reads.total, (unsigned long long)platform.writes.total,
		(unsigned long long)platform.watches.total, (unsigned long long)platform.all.total,
		(unsigned long long)platform.all.max_per_second,
		(unsigned long long)platform.writes.max_per_second,
		(unsigned long long)platform.store.revision);
	pthread_mutex_unlock(&platform.mutex);
	return standin_send_json(request, &out);
}

static bool parse_state(const char *text, enum standin_instance_state *state)
{
	static const char *const names[] = {
		[STANDIN_INSTANCE_LIVE] = "live",
		[STANDIN_INSTANCE_LEAVING] = "leaving",
		[STANDIN_INSTANCE_GONE] = "gone",
	};

	for (size_t i = 0; i < sizeof(names) / sizeof(*names); i++) {
		if (strcmp(text, names[i]) == 0) {
			*state = (enum standin_instance_state)i;
			return true;
		}
	}
	return false;
}

static bool set_instance(const struct standin_command *line)
{
	struct standin_instance change = {.changed_us = pd_os_now_us()};

	change.is_upstream = !strcmp(line->words[2], "upstream");
	if (!change.is_upstream && strcmp(line->words[2], "entry") != 0)
		return false;
	return pd_name_set(&change.name, pd_str_from(line->words[1])) &&
	       pd_address_parse(pd_str_from(line->words[3]), &change.address, NULL) == PD_OK &&
	       parse_state(line->words[4], &change.state) &&
	       standin_listing_set(&platform.listing, &change);
}

static bool apply_locked(const struct standin_command *line)
{
	if (standin_command_is(line, "outage", 1))
		return standin_parse_on_off(line->words[1], &platform.outage);
	if (standin_command_is(line, "hang", 1))
		return standin_parse_on_off(line->words[1], &platform.hang);
	if (standin_command_is(line, "delay_ms", 1))
		return standin_parse_integer(line->words[1], &platform.delay_ms);
	if (standin_command_is(line, "lose_answers", 1))
		return standin_parse_integer(line->words[1], &platform.lose_answers);
	if (standin_command_is(line, "instance", 4))
		return set_instance(line);
	return false;
}

static bool apply_line(void *arg, const struct standin_command *line)
{
	bool good;

	(void)arg;
	pthread_mutex_lock(&platform.mutex);
	good = apply_locked(line);
	pthread_cond_broadcast(&platform.changed);
	pthread_mutex_unlock(&platform.mutex);
	return good;
}

static enum MHD_Result handle_object(struct standin_request *request)
{
	struct pd_str key = pd_str_from(request->path + strlen(OBJECTS_PATH));

	if (!standin_store_key_valid(key))
		return standin_send_text(request, MHD_HTTP_BAD_REQUEST, "malformed key\n");
	if (!strcmp(request->method, "GET"))
		return get_object(request, key);
	if (!strcmp(request->method, "PUT"))
		return write_object(request, key, false);
	if (!strcmp(request->method, "DELETE"))
		return write_object(request, key, true);
	return standin_send_text(request, MHD_HTTP_METHOD_NOT_ALLOWED, "GET, PUT or DELETE\n");
}

static enum MHD_Result handle(void *arg, struct standin_request *request)
{
	(void)arg;
	if (!strncmp(request->path, OBJECTS_PATH, strlen(OBJECTS_PATH)))
		return handle_object(request);
	if (standin_request_is(request, "GET", "/objects"))
		return list_objects(request);
	if (standin_request_is(request, "GET", "/watch"))
		return watch_objects(request);
	if (standin_request_is(request, "GET", "/instances"))
		return list_instances(request);
	if (standin_request_is(request, "GET", "/stats"))
		return print_stats(request);
	if (standin_request_is(request, "POST", "/control"))
		return standin_handle_control(request, apply_line, NULL);
	return standin_send_text(request, MHD_HTTP_NOT_FOUND, "no such path\n");
}

int main(int argc, char **argv)
{
	static const struct standin_option options[] = {
		{"list-lag-ms", STANDIN_OPTION_INTEGER, &platform.list_lag_ms, NULL,
		 "lag of the instance list, milliseconds (2000)"},
	};
	struct pd_error err;

	standin_options_parse(argc, argv, "Stand-in for the platform.", &platform.common, options,
			      sizeof(options) / sizeof(*options));
	pthread_mutex_init(&platform.mutex, NULL);
	pd_os_cond_init(&platform.changed);
	if (!standin_store_init(&platform.store))
		standin_exit_on_error(pd_error_set(&err, PD_LAYER_BASE, PD_NO_MEMORY, "no memory"),
				      &err);
	platform.server = (struct standin_server){.address = platform.common.listen,
						  .handle = handle,
						  .body_max_bytes = VALUE_MAX_BYTES};
	standin_exit_on_error(standin_server_start(&platform.server, &err), &err);
	standin_print_address(&platform.server.address);
	standin_wait_shutdown(&platform.common);
	standin_server_set_stopping(&platform.server);
	pthread_mutex_lock(&platform.mutex);
	pthread_cond_broadcast(&platform.changed);
	pthread_mutex_unlock(&platform.mutex);
	standin_server_stop(&platform.server);
	standin_store_finish(&platform.store);
	standin_listing_finish(&platform.listing);
	return 0;
}
