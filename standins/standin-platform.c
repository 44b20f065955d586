/* Stand-in for the platform: object API with watches, and an instance list that lags behind. */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "listing.h"
#include "log.h"
#include "rate.h"
#include "serve.h"
#include "store.h"

#define VALUE_MAX_BYTES (1024 * 1024)
/* Clients accept responses of little more than the size of one value. */
#define EVENTS_MAX_BYTES  (1024 * 1024)
#define WATCH_WAIT_MAX_MS 60000
/* Interval at which a hanging request checks whether its client has closed the connection. */
#define HANG_POLL_US (100 * PD_USEC_PER_MSEC)
#define OBJECTS_PATH "/objects/"

/**
 * struct platform - state of the stand-in
 * @common: options that every stand-in has
 * @list_lag_ms: time by which the instance list lags behind, in milliseconds
 * @server: HTTP server
 * @mutex: guards all members below
 * @changed: broadcast at each write, each control command and the shutdown
 * @store: objects and their history
 * @listing: history of the instance list
 * @total_rate: rate of all API requests
 * @read_rate: rate of reads, including lists of objects and instances
 * @write_rate: rate of writes and deletions
 * @watch_rate: rate of watches
 * @outage: all API requests get status 503
 * @hang: API requests don't get a response until the hang ends
 * @delay_ms: delay of each API request, in milliseconds
 * @replies_to_drop: number of further successful writes whose response is dropped
 */
static struct platform {
	struct standin_common_options common;
	int64_t list_lag_ms;
	struct standin_server server;

	pthread_mutex_t mutex;
	pthread_cond_t changed;
	struct standin_store store;
	struct standin_listing listing;
	struct standin_rate total_rate;
	struct standin_rate read_rate;
	struct standin_rate write_rate;
	struct standin_rate watch_rate;
	bool outage;
	bool hang;
	int64_t delay_ms;
	int64_t replies_to_drop;
} platform = {.list_lag_ms = 2000};

static void count_request_locked(struct standin_rate *rate)
{
	int64_t now_us = pd_os_now_us();

	standin_rate_count(&platform.total_rate, now_us);
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
 * Waits while requests hang; called with the mutex held. Returns false if the connection is to be
 * closed without a response, on shutdown or when the client has closed it: otherwise the threads of
 * abandoned requests would accumulate during a long hang.
 */
static bool wait_while_hanging(const struct standin_request *request)
{
	while (platform.hang && !standin_server_stopping(&platform.server)) {
		pd_os_cond_wait_until(&platform.changed, &platform.mutex,
				      pd_os_now_us() + HANG_POLL_US);
		if (platform.hang && standin_request_client_closed(request))
			return false;
	}
	return !standin_server_stopping(&platform.server);
}

/*
 * Counts the request, delays it and waits while requests hang. Returns with the mutex held. If it
 * returns false, the caller must call reject_request(). @drop_request receives whether to close the
 * connection without a response.
 */
static bool begin_request(const struct standin_request *request, struct standin_rate *rate,
			  bool *drop_request)
{
	int64_t delay_ms;

	pthread_mutex_lock(&platform.mutex);
	count_request_locked(rate);
	delay_ms = platform.delay_ms;
	pthread_mutex_unlock(&platform.mutex);
	if (delay_ms)
		standin_server_sleep(&platform.server, delay_ms * PD_USEC_PER_MSEC);
	pthread_mutex_lock(&platform.mutex);
	*drop_request = !wait_while_hanging(request);
	return !*drop_request && !platform.outage;
}

/* Unlocks the mutex and responds with status 503, or with nothing if @drop_request is set. */
static enum MHD_Result reject_request(struct standin_request *request, bool drop_request)
{
	pthread_mutex_unlock(&platform.mutex);
	if (drop_request)
		return MHD_NO;
	return standin_send_text(request, MHD_HTTP_SERVICE_UNAVAILABLE, "outage\n");
}

static enum MHD_Result get_object(struct standin_request *request, struct pd_str key)
{
	const struct standin_object *object;
	struct pd_buf out;
	bool drop_request;

	if (!begin_request(request, &platform.read_rate, &drop_request))
		return reject_request(request, drop_request);
	pd_buf_init(&out, 0);
	object = standin_store_get(&platform.store, key);
	if (object)
		standin_store_print(object, &out);
	pthread_mutex_unlock(&platform.mutex);
	if (!object)
		return standin_send_text(request, MHD_HTTP_NOT_FOUND, "no such object\n");
	return standin_send_json(request, &out);
}

/* Returns the error status if the body of a write is too large or not JSON, otherwise 0. */
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

static enum MHD_Result reply_to_write(struct standin_request *request,
				      enum standin_store_result result, uint64_t version,
				      bool drop_reply)
{
	if (drop_reply)
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
	return standin_send_text(request, MHD_HTTP_INTERNAL_SERVER_ERROR, "out of memory\n");
}

static enum MHD_Result write_object(struct standin_request *request, struct pd_str key,
				    bool deletion)
{
	bool conditional = standin_request_argument(request, "if_version") != NULL;
	unsigned int error_status = deletion ? 0 : check_value(request);
	struct pd_str value = pd_buf_str(&request->body);
	enum standin_store_result result;
	int64_t if_version = 0;
	uint64_t version;
	bool drop_request;
	bool drop_reply;

	if (!standin_request_integer_argument(request, "if_version", &if_version))
		error_status = MHD_HTTP_BAD_REQUEST;
	if (!begin_request(request, &platform.write_rate, &drop_request))
		return reject_request(request, drop_request);
	if (error_status) {
		pthread_mutex_unlock(&platform.mutex);
		return standin_send_text(
			request, error_status,
			"the body is too large or not JSON, or if_version is malformed\n");
	}
	result = standin_store_write(&platform.store, key, deletion ? NULL : &value, conditional,
				     (uint64_t)if_version, &version);
	drop_reply = result == STANDIN_STORE_OK && platform.replies_to_drop > 0;
	platform.replies_to_drop -= drop_reply;
	pthread_cond_broadcast(&platform.changed);
	pthread_mutex_unlock(&platform.mutex);
	return reply_to_write(request, result, version, drop_reply);
}

static enum MHD_Result list_objects(struct standin_request *request)
{
	const char *prefix = standin_request_argument(request, "prefix");
	struct pd_buf out;
	bool drop_request;

	if (!begin_request(request, &platform.read_rate, &drop_request))
		return reject_request(request, drop_request);
	pd_buf_init(&out, 0);
	standin_store_list(&platform.store, pd_str_from(prefix), &out);
	pthread_mutex_unlock(&platform.mutex);
	return standin_send_json(request, &out);
}

/*
 * Waits until @end_us for events after the revision @after and appends them to @out. Returns false
 * if the history no longer holds all of these events.
 */
static bool wait_events_locked(struct pd_str prefix, uint64_t after, int64_t end_us,
			       struct pd_buf *out)
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
	bool drop_request;
	bool in_history;

	if (!standin_request_integer_argument(request, "after", &after) ||
	    !standin_request_integer_argument(request, "wait_ms", &wait_ms))
		return standin_send_text(request, MHD_HTTP_BAD_REQUEST, "malformed\n");
	if (wait_ms > WATCH_WAIT_MAX_MS)
		wait_ms = WATCH_WAIT_MAX_MS;
	if (!begin_request(request, &platform.watch_rate, &drop_request))
		return reject_request(request, drop_request);
	pd_buf_init(&out, 0);
	in_history = wait_events_locked(prefix, (uint64_t)after,
					request->arrived_us + wait_ms * PD_USEC_PER_MSEC, &out);
	drop_request = !wait_while_hanging(request);
	if (drop_request || platform.outage) {
		pd_buf_finish(&out);
		return reject_request(request, drop_request);
	}
	pthread_mutex_unlock(&platform.mutex);
	if (in_history)
		return standin_send_json(request, &out);
	pd_buf_finish(&out);
	return standin_send_text(request, MHD_HTTP_GONE,
				 "the history doesn't hold all changes after this revision\n");
}

static enum MHD_Result list_instances(struct standin_request *request)
{
	struct pd_buf out;
	bool drop_request;

	if (!begin_request(request, &platform.read_rate, &drop_request))
		return reject_request(request, drop_request);
	pd_buf_init(&out, 0);
	standin_listing_print(&platform.listing, pd_os_now_us(),
			      platform.list_lag_ms * PD_USEC_PER_MSEC, &out);
	pthread_mutex_unlock(&platform.mutex);
	return standin_send_json(request, &out);
}

static enum MHD_Result send_stats(struct standin_request *request)
{
	struct pd_buf out;

	pd_buf_init(&out, 0);
	pthread_mutex_lock(&platform.mutex);
	pd_buf_printf(&out,
		      "{\"reads\":%llu,\"writes\":%llu,\"watches\":%llu,\"total\":%llu,"
		      "\"max_per_second\":%llu,\"writes_max_per_second\":%llu,\"revision\":%llu}",
		      (unsigned long long)platform.read_rate.total,
		      (unsigned long long)platform.write_rate.total,
		      (unsigned long long)platform.watch_rate.total,
		      (unsigned long long)platform.total_rate.total,
		      (unsigned long long)platform.total_rate.max_per_second,
		      (unsigned long long)platform.write_rate.max_per_second,
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

static bool set_instance(const struct standin_command *command)
{
	struct standin_instance change = {.changed_us = pd_os_now_us()};

	change.is_upstream = !strcmp(command->words[2], "upstream");
	if (!change.is_upstream && strcmp(command->words[2], "entry") != 0)
		return false;
	return pd_name_set(&change.name, pd_str_from(command->words[1])) &&
	       pd_address_parse(pd_str_from(command->words[3]), &change.address, NULL) == PD_OK &&
	       parse_state(command->words[4], &change.state) &&
	       standin_listing_set(&platform.listing, &change);
}

static bool apply_command_locked(const struct standin_command *command)
{
	if (standin_command_is(command, "outage", 1))
		return standin_parse_on_off(command->words[1], &platform.outage);
	if (standin_command_is(command, "hang", 1))
		return standin_parse_on_off(command->words[1], &platform.hang);
	if (standin_command_is(command, "delay_ms", 1))
		return standin_parse_integer(command->words[1], &platform.delay_ms);
	if (standin_command_is(command, "lose_answers", 1))
		return standin_parse_integer(command->words[1], &platform.replies_to_drop);
	if (standin_command_is(command, "instance", 4))
		return set_instance(command);
	return false;
}

static bool apply_command(void *arg, const struct standin_command *command)
{
	bool valid;

	(void)arg;
	pthread_mutex_lock(&platform.mutex);
	valid = apply_command_locked(command);
	pthread_cond_broadcast(&platform.changed);
	pthread_mutex_unlock(&platform.mutex);
	return valid;
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
		return send_stats(request);
	if (standin_request_is(request, "POST", "/control"))
		return standin_handle_control(request, apply_command, NULL);
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
		standin_exit_on_error(
			pd_error_set(&err, PD_LAYER_BASE, PD_NO_MEMORY, "out of memory"), &err);
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
