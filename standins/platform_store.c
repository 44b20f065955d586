#include "platform_store.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "http.h"

#define HEAD_MAX_BYTES	      16384
#define BODY_MAX_BYTES	      (1024 * 1024)
#define LATE_STATUS_US	      (2 * PD_USEC_PER_SEC)
#define DOOR_POLL_INTERVAL_US (5 * PD_USEC_PER_MSEC)
#define STATUS_CLOSE	      (-1) /* in place of a status: no response, and the connection is closed */

/** struct connection - argument of serve_connection(); @door is NULL at the store's own address */
struct connection {
	struct platform_store *store;
	struct platform_store_door *door;
	int fd;
};

static json_t *objects_of_kind(struct platform_store *store, const char *kind)
{
	json_t *objects = json_object_get(store->objects, kind);

	if (!objects) {
		objects = json_object();
		json_object_set_new(store->objects, kind, objects);
	}
	return objects;
}

static void append_event_locked(struct platform_store *store, const char *kind, json_t *object,
				bool removed)
{
	json_array_append_new(store->events, json_pack("{s:s,s:I,s:O,s:b}", "kind", kind,
						       "revision", (json_int_t)store->revision,
						       "object", object, "tombstone", removed));
	pthread_cond_broadcast(&store->changed);
}

static json_t *put_locked(struct platform_store *store, const char *kind, const char *name,
			  json_t *spec, json_t *status)
{
	json_t *object;

	store->revision++;
	object = json_pack("{s:{s:s,s:I},s:o,s:O}", "meta", "name", name, "revision",
			   (json_int_t)store->revision, "spec", spec, "status", status);
	json_object_set_new(objects_of_kind(store, kind), name, object);
	append_event_locked(store, kind, object, false);
	return object;
}

void platform_store_put(struct platform_store *store, const char *kind, const char *name,
			json_t *spec)
{
	pthread_mutex_lock(&store->lock);
	put_locked(store, kind, name, spec, json_null());
	pthread_mutex_unlock(&store->lock);
}

void platform_store_put_raw(struct platform_store *store, const char *kind, const char *name,
			    const char *text)
{
	char reference[32];

	pthread_mutex_lock(&store->lock);
	if (store->raw_count == PLATFORM_STORE_RAW_MAX)
		abort();
	snprintf(reference, sizeof(reference), "@raw-%zu@", store->raw_count);
	store->raw[store->raw_count++] = strdup(text);
	put_locked(store, kind, name, json_string(reference), json_null());
	pthread_mutex_unlock(&store->lock);
}

/* Replaces the references to raw contents in a response, which is freed; returns the new one. */
static char *insert_raw_locked(const struct platform_store *store, char *text)
{
	struct pd_buf out = {0};
	const char *at = text, *reference;

	while ((reference = strstr(at, "\"@raw-"))) {
		size_t index = strtoul(reference + strlen("\"@raw-"), NULL, 10);

		pd_buf_append(&out, at, (size_t)(reference - at));
		pd_buf_append(&out, store->raw[index], strlen(store->raw[index]));
		at = strchr(reference + 1, '"') + 1;
	}
	pd_buf_append(&out, at, strlen(at));
	free(text);
	return out.data;
}

static bool remove_locked(struct platform_store *store, const char *kind, const char *name)
{
	json_t *object = json_object_get(objects_of_kind(store, kind), name);

	if (!object)
		return false;
	store->revision++;
	append_event_locked(store, kind, object, true);
	json_object_del(objects_of_kind(store, kind), name);
	return true;
}

void platform_store_remove(struct platform_store *store, const char *kind, const char *name)
{
	pthread_mutex_lock(&store->lock);
	remove_locked(store, kind, name);
	pthread_mutex_unlock(&store->lock);
}

void platform_store_set_mode(struct platform_store *store, enum platform_store_mode mode)
{
	pthread_mutex_lock(&store->lock);
	store->mode = mode;
	pthread_cond_broadcast(&store->changed);
	pthread_mutex_unlock(&store->lock);
}

void platform_store_cut_watches(struct platform_store *store)
{
	pthread_mutex_lock(&store->lock);
	store->cut_count++;
	pthread_cond_broadcast(&store->changed);
	pthread_mutex_unlock(&store->lock);
}

void platform_store_set_stale(struct platform_store *store, enum platform_store_stale stale)
{
	pthread_mutex_lock(&store->lock);
	store->stale = stale;
	json_decref(store->stale_objects);
	store->stale_objects = json_deep_copy(store->objects);
	store->stale_revision = store->revision;
	pthread_mutex_unlock(&store->lock);
}

void platform_store_set_page_size(struct platform_store *store, size_t page_size)
{
	pthread_mutex_lock(&store->lock);
	store->page_size = page_size;
	pthread_mutex_unlock(&store->lock);
}

void platform_store_compact(struct platform_store *store)
{
	pthread_mutex_lock(&store->lock);
	store->oldest_revision = ++store->revision;
	pthread_cond_broadcast(&store->changed);
	pthread_mutex_unlock(&store->lock);
}

void platform_store_copy(struct platform_store *store)
{
	pthread_mutex_lock(&store->lock);
	json_decref(store->copy);
	store->copy = json_deep_copy(store->objects);
	store->copy_revision = store->revision;
	pthread_mutex_unlock(&store->lock);
}

void platform_store_restore(struct platform_store *store)
{
	pthread_mutex_lock(&store->lock);
	json_decref(store->objects);
	store->objects = json_deep_copy(store->copy);
	json_array_clear(store->events);
	store->revision = store->copy_revision;
	store->oldest_revision = 0;
	store->era++;
	pthread_cond_broadcast(&store->changed);
	pthread_mutex_unlock(&store->lock);
}

size_t platform_store_object_count(struct platform_store *store, const char *kind)
{
	size_t count;

	pthread_mutex_lock(&store->lock);
	count = json_object_size(objects_of_kind(store, kind));
	pthread_mutex_unlock(&store->lock);
	return count;
}

/* Sends a response with the JSON body @text; NULL sends an empty body. */
static void reply(int fd, int status, uint64_t era, const char *text)
{
	struct pd_buf out = {0};

	pd_buf_printf(&out, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n", status,
		      pd_http_reason(status));
	pd_buf_printf(&out, "Store-Era: %" PRIu64 "\r\nContent-Length: %zu\r\n\r\n%s", era,
		      text ? strlen(text) : 0, text ? text : "");
	pd_os_write_full(fd, out.data, out.len, NULL);
	pd_buf_finish(&out);
}

/* Returns the text at the argument @key of the query string; "" if it is missing. */
static const char *query_argument(const char *target, const char *key)
{
	char pattern[32];
	const char *position;

	snprintf(pattern, sizeof(pattern), "%s=", key);
	position = strchr(target, '?');
	position = position ? strstr(position, pattern) : NULL;
	return position ? position + strlen(pattern) : "";
}

static uint64_t query_integer(const char *target, const char *key)
{
	return strtoull(query_argument(target, key), NULL, 10);
}

/* Returns the first name after @after, in the order of names; NULL if there is none. */
static const char *next_name(json_t *objects, const char *after)
{
	const char *name, *next = NULL;
	json_t *object;

	json_object_foreach(objects, name, object)
	{
		if (strcmp(name, after) > 0 && (!next || strcmp(name, next) < 0))
			next = name;
	}
	return next;
}

/* Returns the page of a list that starts after the name @after. */
static json_t *list_locked(struct platform_store *store, const char *kind, const char *after,
			   bool stale_ok)
{
	bool stale = stale_ok && (store->stale == PLATFORM_STORE_STALE_ALL ||
				  (store->stale == PLATFORM_STORE_STALE_REST && *after));
	json_t *objects =
		stale ? json_object_get(store->stale_objects, kind) : objects_of_kind(store, kind);
	uint64_t revision = stale ? store->stale_revision : store->revision;
	size_t limit = store->page_size ? store->page_size : SIZE_MAX;
	json_t *items = json_array();
	const char *name = after;

	while (json_array_size(items) < limit && (name = next_name(objects, name)))
		json_array_append(items, json_object_get(objects, name));
	return json_pack("{s:o,s:b,s:I}", "items", items, "has_more",
			 name && next_name(objects, name), "at", (json_int_t)revision);
}

static json_t *events_after(struct platform_store *store, const char *kind, uint64_t revision)
{
	json_t *events = json_array();
	json_t *event;
	size_t i;

	json_array_foreach(store->events, i, event)
	{
		if ((uint64_t)json_integer_value(json_object_get(event, "revision")) > revision &&
		    !strcmp(json_string_value(json_object_get(event, "kind")), kind))
			json_array_append(events, event);
	}
	return events;
}

/*
 * Waits for changes after @revision and returns them, or an empty list after @wait_ms. Returns NULL
 * with an error in *status, with 0 in *status if no response is to be sent, or with
 * STATUS_CLOSE if the connection is to be closed.
 */
static json_t *watch_locked(struct platform_store *store, const char *kind, uint64_t revision,
			    int64_t wait_ms, int *status)
{
	int64_t deadline_us = pd_os_now_us() + wait_ms * PD_USEC_PER_MSEC;
	uint32_t cut_count = store->cut_count;
	json_t *events;

	store->watch_count++;
	for (;;) {
		if (cut_count != store->cut_count) {
			*status = STATUS_CLOSE;
			return NULL;
		}
		events = events_after(store, kind, revision);
		if (json_array_size(events) &&
		    (store->mode == PLATFORM_STORE_SILENT || store->mode == PLATFORM_STORE_MUTE)) {
			json_decref(events);
			*status = 0;
			return NULL;
		}
		if (revision < store->oldest_revision || revision > store->revision) {
			json_decref(events);
			*status = 410;
			return NULL;
		}
		if (json_array_size(events) || pd_os_now_us() >= deadline_us)
			break;
		json_decref(events);
		pd_os_cond_wait_until(&store->changed, &store->lock, deadline_us);
	}
	*status = 200;
	return json_pack("{s:o,s:I}", "events", events, "at", (json_int_t)store->revision);
}

/* Stores an object that a request wrote, after the on_write callback. */
static json_t *write_locked(struct platform_store *store, const char *kind, const char *name,
			    json_t *spec)
{
	if (store->on_write)
		store->on_write(kind, name, spec);
	return put_locked(store, kind, name, json_incref(spec), json_null());
}

static json_t *create_locked(struct platform_store *store, const char *kind, const char *body,
			     int *status)
{
	json_t *json = json_loads(body ? body : "", 0, NULL);
	const char *name =
		json_string_value(json_object_get(json_object_get(json, "meta"), "name"));
	json_t *object = name ? json_object_get(objects_of_kind(store, kind), name) : NULL;

	*status = object ? 409 : 201;
	if (!name)
		*status = 400;
	else if (!object)
		object = write_locked(store, kind, name, json_object_get(json, "spec"));
	json_decref(json);
	return json_incref(object);
}

/* Waits without the lock, as the rest of a request that arrives late. */
static void delay_locked(struct platform_store *store)
{
	pthread_mutex_unlock(&store->lock);
	pd_os_sleep_us(LATE_STATUS_US);
	pthread_mutex_lock(&store->lock);
}

/* Writes the status of an object, if that has the revision which the body states. */
static json_t *write_status_locked(struct platform_store *store, const char *kind, const char *name,
				   const char *body, int *status)
{
	json_t *json = json_loads(body ? body : "", 0, NULL);
	json_t *object = json_object_get(objects_of_kind(store, kind), name);
	json_t *condition = json_object_get(json_object_get(json, "meta"), "revision");
	json_t *revision = json_object_get(json_object_get(object, "meta"), "revision");

	*status = 200;
	if (!object)
		*status = 404;
	else if (!json_is_object(json_object_get(json, "status")) || !json_is_integer(condition))
		*status = 400;
	else if (!json_equal(condition, revision))
		*status = 409;
	else
		object = put_locked(store, kind, name, json_incref(json_object_get(object, "spec")),
				    json_object_get(json, "status"));
	json_decref(json);
	return *status == 200 ? json_incref(object) : NULL;
}

static json_t *handle_status_locked(struct platform_store *store, const char *kind,
				    const char *name, const char *body, int *status)
{
	bool late = store->late_statuses > 0, lost = late || store->lost_statuses > 0;
	json_t *object;

	if (late)
		store->late_statuses--;
	else if (lost)
		store->lost_statuses--;
	if (late)
		delay_locked(store);
	object = write_status_locked(store, kind, name, body, status);
	if (lost)
		*status = 0;
	return object;
}

void platform_store_lose_statuses(struct platform_store *store, uint32_t lost, uint32_t late)
{
	pthread_mutex_lock(&store->lock);
	store->lost_statuses = lost;
	store->late_statuses = late;
	pthread_mutex_unlock(&store->lock);
}

void platform_store_get_status(struct platform_store *store, const char *kind, const char *name,
			       const char *member, char *out, size_t size)
{
	const char *text;

	pthread_mutex_lock(&store->lock);
	text = json_string_value(json_object_get(
		json_object_get(json_object_get(objects_of_kind(store, kind), name), "status"),
		member));
	snprintf(out, size, "%s", text ? text : "none");
	pthread_mutex_unlock(&store->lock);
}

static json_t *replace_locked(struct platform_store *store, const char *kind, const char *name,
			      const char *body, int *status)
{
	json_t *json = json_loads(body ? body : "", 0, NULL);
	json_t *object = json_object_get(objects_of_kind(store, kind), name);

	*status = object ? 200 : 404;
	if (object)
		object = write_locked(store, kind, name, json_object_get(json, "spec"));
	json_decref(json);
	return json_incref(object);
}

static bool is_rejected_at_door_locked(const struct platform_store_door *door, const char *target)
{
	return door && door->mode == PLATFORM_STORE_DOOR_STALE_ONLY &&
	       !query_integer(target, "stale_ok");
}

/* Records a response that is about to be sent at a door; false if it isn't to be sent. */
static bool pass_door_locked(struct platform_store_door *door, const char *target)
{
	if (!door)
		return true;
	if (door->mode == PLATFORM_STORE_DOOR_SILENT)
		return false;
	door->stale_count += query_integer(target, "stale_ok") != 0;
	return true;
}

/* Executes a request and responds; false if the connection is to be closed. */
static bool handle_request(const struct connection *connection, const struct pd_http_message *msg)
{
	struct platform_store *store = connection->store;
	char target[512], kind[64] = "", name[128] = "", after[128] = "", part[16] = "";
	json_t *body = NULL;
	int status = 200;
	uint64_t era;
	char *text;

	pd_str_copy(pd_http_message_target(msg), target, sizeof(target));
	sscanf(target, "/api/objects/%63[^?/]/%127[^?/]/%15[^?/]", kind, name, part);
	/* The names of the tests need no percent-encoding. */
	sscanf(query_argument(target, "after"), "%127[^&]", after);
	pthread_mutex_lock(&store->lock);
	store->request_count++;
	store->order_request_count += !strcmp(kind, "rollouts");
	if (store->mode == PLATFORM_STORE_BUSY ||
	    is_rejected_at_door_locked(connection->door, target) ||
	    (store->mode == PLATFORM_STORE_FIRST_PAGES && *after))
		status = 503;
	else if (store->mode == PLATFORM_STORE_SILENT)
		status = 0;
	else if (msg->parser.method == HTTP_POST)
		body = create_locked(store, kind, msg->body.data, &status);
	else if (msg->parser.method == HTTP_PUT && !strcmp(part, "status"))
		body = handle_status_locked(store, kind, name, msg->body.data, &status);
	else if (msg->parser.method == HTTP_PUT)
		body = replace_locked(store, kind, name, msg->body.data, &status);
	else if (msg->parser.method == HTTP_DELETE)
		status = remove_locked(store, kind, name) ? 200 : 404;
	else if (strstr(target, "watch="))
		body = watch_locked(store, kind, query_integer(target, "watch"),
				    (int64_t)query_integer(target, "wait_ms"), &status);
	else
		body = list_locked(store, kind, after, query_integer(target, "stale_ok"));
	/* The threads share the objects and their reference counts, so this needs the lock. */
	text = body ? json_dumps(body, JSON_COMPACT) : NULL;
	json_decref(body);
	if (text && store->raw_count)
		text = insert_raw_locked(store, text);
	era = store->era;
	if (status > 0 && !pass_door_locked(connection->door, target))
		status = 0;
	pthread_mutex_unlock(&store->lock);
	if (status > 0)
		reply(connection->fd, status, era, text);
	free(text);
	return status != STATUS_CLOSE;
}

static void *serve_connection(void *arg)
{
	struct connection connection = *(struct connection *)arg;
	struct pd_http_message msg;
	char received[4096];
	bool open = true;
	ssize_t n;

	free(arg);
	pd_http_message_init(&msg, PD_HTTP_REQUEST, HEAD_MAX_BYTES, BODY_MAX_BYTES);
	while (open && (n = recv(connection.fd, received, sizeof(received), 0)) > 0) {
		size_t used;

		if (pd_http_message_parse(&msg, received, (size_t)n, &used) != PD_HTTP_COMPLETE)
			continue;
		open = handle_request(&connection, &msg);
		pd_http_message_reset(&msg);
	}
	pd_http_message_finish(&msg);
	pd_os_close(&connection.fd);
	return NULL;
}

/* Starts a detached thread that runs @run with a struct connection, which it must free. */
static void start_thread(void *(*run)(void *), struct platform_store *store,
			 struct platform_store_door *door, int fd)
{
	struct connection *connection = malloc(sizeof(*connection));
	pthread_t thread;

	if (!connection)
		abort();
	*connection = (struct connection){store, door, fd};
	if (pd_os_thread_start(&thread, "store", run, connection, NULL) != PD_OK)
		abort();
	pthread_detach(thread);
}

static void *accept_connections(void *arg)
{
	struct platform_store *store = arg;
	int fd;

	while (pd_os_accept(store->listener, &fd, NULL) == PD_OK)
		start_thread(serve_connection, store, NULL, fd);
	return NULL;
}

/* Accepts connections at a door until its listening socket, the argument's @fd, is shut down. */
static void *accept_at_door(void *arg)
{
	struct connection listening = *(struct connection *)arg;
	int fd;

	free(arg);
	while (pd_os_accept(listening.fd, &fd, NULL) == PD_OK)
		start_thread(serve_connection, listening.store, listening.door, fd);
	pd_os_close(&listening.fd);
	return NULL;
}

static void listen_at_door(struct platform_store_door *door)
{
	if (pd_os_listen(&door->address, &door->listener, NULL) != PD_OK)
		abort();
	start_thread(accept_at_door, door->store, door, door->listener);
}

void platform_store_open_door(struct platform_store *store, struct platform_store_door *door)
{
	door->store = store;
	memcpy(door->address.ip, "127.0.0.1", sizeof("127.0.0.1"));
	listen_at_door(door);
}

void platform_store_wait_for_stale_read(struct platform_store_door *door)
{
	uint32_t before, count;

	pthread_mutex_lock(&door->store->lock);
	before = count = door->stale_count;
	pthread_mutex_unlock(&door->store->lock);
	while (count == before) {
		pd_os_sleep_us(DOOR_POLL_INTERVAL_US);
		pthread_mutex_lock(&door->store->lock);
		count = door->stale_count;
		pthread_mutex_unlock(&door->store->lock);
	}
}

void platform_store_set_door_mode(struct platform_store_door *door,
				  enum platform_store_door_mode mode)
{
	pthread_mutex_lock(&door->store->lock);
	door->mode = mode;
	pthread_mutex_unlock(&door->store->lock);
	if (mode == PLATFORM_STORE_DOOR_CLOSED && door->listener >= 0) {
		shutdown(door->listener, SHUT_RDWR);
		door->listener = -1;
	} else if (mode != PLATFORM_STORE_DOOR_CLOSED && door->listener < 0) {
		listen_at_door(door);
	}
}

void platform_store_start(struct platform_store *store)
{
	pthread_mutex_init(&store->lock, NULL);
	pd_os_cond_init(&store->changed);
	store->objects = json_object();
	store->events = json_array();
	store->revision = 100;
	store->era = 1;
	memcpy(store->address.ip, "127.0.0.1", sizeof("127.0.0.1"));
	if (pd_os_listen(&store->address, &store->listener, NULL) != PD_OK ||
	    pd_os_thread_start(&store->thread, "store-accept", accept_connections, store, NULL) !=
		    PD_OK)
		abort();
}
