#include "platform_client.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "counters.h"

#define PATH_MAX_BYTES 512

enum pd_code pd_platform_open(struct pd_platform *platform, const struct pd_address *address,
			      struct pd_error *err)
{
	platform->address = *address;
	return pd_http_client_open(&platform->http, err);
}

void pd_platform_close(struct pd_platform *platform)
{
	pd_http_client_close(platform->http);
	platform->http = NULL;
}

void pd_object_init(struct pd_object *object)
{
	memset(object, 0, sizeof(*object));
	pd_buf_init(&object->value, 0);
}

void pd_object_finish(struct pd_object *object)
{
	pd_buf_finish(&object->value);
}

void pd_object_list_init(struct pd_object_list *list)
{
	memset(list, 0, sizeof(*list));
}

void pd_object_list_finish(struct pd_object_list *list)
{
	for (size_t i = 0; i < list->count; i++)
		pd_object_finish(&list->items[i]);
	free(list->items);
	pd_object_list_init(list);
}

static enum pd_code malformed(struct pd_error *err, const char *what)
{
	pd_count(PD_COUNT_platform_failures);
	return pd_error_set(err, PD_LAYER_PROTOCOL, PD_INVALID, "platform sent a malformed %s",
			    what);
}

/* Converts a transport error or an HTTP status to an error code of this layer; PD_OK for 2xx. */
static enum pd_code check_reply(enum pd_code code, int status, bool is_write, struct pd_error *err)
{
	if (code == PD_OK && status >= 200 && status < 300)
		return PD_OK;
	if (code == PD_OK && status == 404)
		return pd_error_set(err, PD_LAYER_PROTOCOL, PD_NOT_FOUND, "object does not exist");
	if (code == PD_OK && status == 409)
		return pd_error_set(err, PD_LAYER_PROTOCOL, PD_CONFLICT,
				    "object has another version");
	if (code == PD_OK && status == 410)
		return pd_error_set(err, PD_LAYER_PROTOCOL, PD_NOT_FOUND,
				    "changes since the given revision are no longer available");
	if (code == PD_OK && status == 413)
		return pd_error_set(err, PD_LAYER_PROTOCOL, PD_TOO_LARGE,
				    "object value is too large");
	pd_count(PD_COUNT_platform_failures);
	/* Only status 503 guarantees that a write had no effect. */
	if (code == PD_OK && is_write && status >= 500 && status != 503)
		return pd_error_set(err, PD_LAYER_PROTOCOL, PD_UNKNOWN_OUTCOME,
				    "platform answered a write with status %d", status);
	if (code == PD_OK && status >= 500)
		return pd_error_set(err, PD_LAYER_PROTOCOL, PD_UNAVAILABLE,
				    "platform answered status %d", status);
	if (code == PD_OK)
		return pd_error_set(err, PD_LAYER_PROTOCOL, PD_INVALID,
				    "platform answered status %d", status);
	if (code == PD_CANCELLED)
		return pd_error_wrap(err, PD_LAYER_PROTOCOL, PD_CANCELLED, "platform call");
	if (is_write && code != PD_REFUSED_CONNECTION && code != PD_UNREACHABLE)
		return pd_error_wrap(err, PD_LAYER_PROTOCOL, PD_UNKNOWN_OUTCOME,
				     "no reply to a write from the platform");
	return pd_error_wrap(err, PD_LAYER_PROTOCOL, PD_UNAVAILABLE, "platform");
}

static enum pd_code call(struct pd_platform *platform, const char *method, const char *path,
			 struct pd_str body, int64_t timeout_us, struct pd_http_response *response,
			 struct pd_error *err)
{
	struct pd_http_request request = {
		.method = method,
		.address = platform->address,
		.path = path,
		.body = body,
		.timeout_us = timeout_us,
	};
	bool is_write = strcmp(method, "GET") != 0;
	enum pd_code code = pd_http_client_perform(platform->http, &request, response, err);

	return check_reply(code, response->status, is_write, err);
}

static bool read_object(json_t *json, struct pd_object *object)
{
	const char *key = json_string_value(json_object_get(json, "key"));
	json_t *version = json_object_get(json, "version");
	json_t *value = json_object_get(json, "value");
	char *text;

	pd_object_init(object);
	object->deleted = json_is_true(json_object_get(json, "deleted"));
	if (!key || strlen(key) >= sizeof(object->key) || !json_is_integer(version) ||
	    (!value && !object->deleted))
		return false;
	memcpy(object->key, key, strlen(key) + 1);
	object->version = (uint64_t)json_integer_value(version);
	if (!value)
		return true;
	text = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
	if (!text)
		return false;
	pd_buf_append(&object->value, text, strlen(text));
	free(text);
	return !object->value.failed;
}

static json_t *parse(struct pd_str body)
{
	return json_loadb(body.data ? body.data : "", body.len, JSON_DECODE_ANY, NULL);
}

enum pd_code pd_platform_get(struct pd_platform *platform, const char *key,
			     struct pd_object *object, struct pd_error *err)
{
	struct pd_http_response response = {0};
	char path[PATH_MAX_BYTES];
	enum pd_code code;
	json_t *json;
	bool valid;

	pd_count(PD_COUNT_platform_reads);
	snprintf(path, sizeof(path), "/objects/%s", key);
	code = call(platform, "GET", path, (struct pd_str){0}, PD_PLATFORM_CALL_TIMEOUT_US,
		    &response, err);
	if (code != PD_OK)
		return code;
	json = parse(response.body);
	valid = read_object(json, object);
	json_decref(json);
	if (valid)
		return PD_OK;
	pd_object_finish(object);
	return malformed(err, "object");
}

enum pd_code pd_platform_put(struct pd_platform *platform, const char *key, struct pd_str value,
			     uint64_t if_version, uint64_t *version, struct pd_error *err)
{
	struct pd_http_response response = {0};
	char path[PATH_MAX_BYTES];
	enum pd_code code;
	json_t *json;
	json_t *number;

	pd_count(PD_COUNT_platform_writes);
	snprintf(path, sizeof(path), "/objects/%s?if_version=%" PRIu64, key, if_version);
	code = call(platform, "PUT", path, value, PD_PLATFORM_CALL_TIMEOUT_US, &response, err);
	if (code != PD_OK)
		return code;
	json = parse(response.body);
	number = json_object_get(json, "version");
	if (version)
		*version = (uint64_t)json_integer_value(number);
	code = json_is_integer(number) ? PD_OK : PD_UNKNOWN_OUTCOME;
	json_decref(json);
	if (code != PD_OK)
		return pd_error_set(err, PD_LAYER_PROTOCOL, code,
				    "platform sent a malformed reply to a write");
	return PD_OK;
}

enum pd_code pd_platform_delete(struct pd_platform *platform, const char *key, uint64_t if_version,
				struct pd_error *err)
{
	struct pd_http_response response = {0};
	char path[PATH_MAX_BYTES];

	pd_count(PD_COUNT_platform_writes);
	snprintf(path, sizeof(path), "/objects/%s?if_version=%" PRIu64, key, if_version);
	return call(platform, "DELETE", path, (struct pd_str){0}, PD_PLATFORM_CALL_TIMEOUT_US,
		    &response, err);
}

static enum pd_code read_list(struct pd_str body, const char *member, struct pd_object_list *list,
			      struct pd_error *err)
{
	json_t *json = parse(body);
	json_t *array = json_object_get(json, member);
	json_t *revision = json_object_get(json, "revision");
	size_t size = json_array_size(array);
	bool valid = json_is_array(array) && json_is_integer(revision);

	pd_object_list_init(list);
	list->items = size ? calloc(size, sizeof(*list->items)) : NULL;
	list->revision = (uint64_t)json_integer_value(revision);
	valid = valid && (!size || list->items);
	for (size_t i = 0; valid && i < size; i++) {
		valid = read_object(json_array_get(array, i), &list->items[i]);
		list->count++;
	}
	json_decref(json);
	if (valid)
		return PD_OK;
	pd_object_list_finish(list);
	return malformed(err, "list");
}

enum pd_code pd_platform_list(struct pd_platform *platform, const char *prefix,
			      struct pd_object_list *list, struct pd_error *err)
{
	struct pd_http_response response = {0};
	char path[PATH_MAX_BYTES];
	enum pd_code code;

	pd_count(PD_COUNT_platform_reads);
	snprintf(path, sizeof(path), "/objects?prefix=%s", prefix);
	code = call(platform, "GET", path, (struct pd_str){0}, PD_PLATFORM_CALL_TIMEOUT_US,
		    &response, err);
	return code == PD_OK ? read_list(response.body, "objects", list, err) : code;
}

enum pd_code pd_platform_watch(struct pd_platform *platform, const char *prefix, uint64_t after,
			       int64_t wait_us, struct pd_object_list *events, struct pd_error *err)
{
	struct pd_http_response response = {0};
	char path[PATH_MAX_BYTES];
	enum pd_code code;

	pd_count(PD_COUNT_platform_watches);
	snprintf(path, sizeof(path), "/watch?prefix=%s&after=%" PRIu64 "&wait_ms=%" PRId64, prefix,
		 after, wait_us / PD_USEC_PER_MSEC);
	code = call(platform, "GET", path, (struct pd_str){0},
		    wait_us + PD_PLATFORM_CALL_TIMEOUT_US, &response, err);
	return code == PD_OK ? read_list(response.body, "events", events, err) : code;
}

static bool read_instance(json_t *json, struct pd_instance_entry *entry)
{
	const char *name = json_string_value(json_object_get(json, "name"));
	const char *role = json_string_value(json_object_get(json, "role"));
	const char *address = json_string_value(json_object_get(json, "address"));
	const char *state = json_string_value(json_object_get(json, "state"));

	if (!name || !role || !address || !state || !pd_name_set(&entry->name, pd_str_from(name)))
		return false;
	entry->is_upstream = !strcmp(role, "upstream");
	entry->is_leaving = !strcmp(state, "leaving");
	return pd_address_parse(pd_str_from(address), &entry->address, NULL) == PD_OK;
}

enum pd_code pd_platform_instances(struct pd_platform *platform, struct pd_instance_entry **entries,
				   size_t *count, struct pd_error *err)
{
	struct pd_http_response response = {0};
	enum pd_code code;
	json_t *json;
	json_t *array;
	size_t size;

	*entries = NULL;
	*count = 0;
	pd_count(PD_COUNT_platform_reads);
	code = call(platform, "GET", "/instances", (struct pd_str){0}, PD_PLATFORM_CALL_TIMEOUT_US,
		    &response, err);
	if (code != PD_OK)
		return code;
	json = parse(response.body);
	array = json_object_get(json, "instances");
	size = json_array_size(array);
	*entries = calloc(size + 1, sizeof(**entries));
	for (size_t i = 0; *entries && i < size; i++) {
		if (read_instance(json_array_get(array, i), &(*entries)[*count]))
			(*count)++;
	}
	code = json_is_array(array) && *entries ? PD_OK : PD_INVALID;
	json_decref(json);
	return code == PD_OK ? PD_OK : malformed(err, "instance list");
}
