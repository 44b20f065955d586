#include "store.h"

#include <stdlib.h>
#include <string.h>

static struct standin_value *value_new(struct pd_str text)
{
	struct standin_value *value = malloc(sizeof(*value) + text.len);

	if (!value)
		return NULL;
	value->ref_count = 1;
	value->len = text.len;
	if (text.len)
		memcpy(value->data, text.data, text.len);
	return value;
}

static void value_put(struct standin_value *value)
{
	if (value && --value->ref_count == 0)
		free(value);
}

bool standin_store_init(struct standin_store *store)
{
	*store = (struct standin_store){0};
	store->events = calloc(STANDIN_HISTORY_MAX, sizeof(*store->events));
	return store->events != NULL;
}

void standin_store_finish(struct standin_store *store)
{
	for (size_t i = 0; i < store->count; i++)
		value_put(store->objects[i].value);
	for (size_t i = 0; store->events && i < STANDIN_HISTORY_MAX; i++)
		value_put(store->events[i].value);
	free(store->objects);
	free(store->events);
	*store = (struct standin_store){0};
}

bool standin_store_key_valid(struct pd_str key)
{
	if (!key.len || key.len > STANDIN_KEY_MAX_BYTES)
		return false;
	for (size_t i = 0; i < key.len; i++) {
		char c = key.data[i];

		if (c <= ' ' || c > '~' || c == '"' || c == '\\')
			return false;
	}
	return true;
}

/* Returns the index of the first object whose key is equal to or after @key. */
static size_t lower_bound(const struct standin_store *store, struct pd_str key)
{
	size_t low = 0;
	size_t high = store->count;

	while (low < high) {
		size_t middle = (low + high) / 2;

		if (pd_str_compare(pd_str_from(store->objects[middle].key), key) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static struct standin_object *find_object(const struct standin_store *store, struct pd_str key)
{
	size_t index = lower_bound(store, key);

	if (index == store->count || !pd_str_is(key, store->objects[index].key))
		return NULL;
	return &store->objects[index];
}

const struct standin_object *standin_store_get(const struct standin_store *store, struct pd_str key)
{
	const struct standin_object *object = find_object(store, key);

	return object && object->value ? object : NULL;
}

static struct standin_object *insert_object(struct standin_store *store, struct pd_str key)
{
	size_t index = lower_bound(store, key);
	struct standin_object *object;

	if (!store->objects || store->count == store->cap) {
		size_t cap = store->cap ? 2 * store->cap : 256;
		struct standin_object *grown =
			realloc(store->objects, cap * sizeof(*store->objects));

		if (!grown)
			return NULL;
		store->objects = grown;
		store->cap = cap;
	}
	object = &store->objects[index];
	if (index < store->count)
		memmove(object + 1, object, (store->count - index) * sizeof(*object));
	store->count++;
	*object = (struct standin_object){0};
	pd_str_copy(key, object->key, sizeof(object->key));
	return object;
}

static void record_event(struct standin_store *store, const struct standin_object *object)
{
	struct standin_object *event = &store->events[++store->revision % STANDIN_HISTORY_MAX];

	value_put(event->value);
	*event = *object;
	if (event->value)
		event->value->ref_count++;
}

enum standin_store_result standin_store_write(struct standin_store *store, struct pd_str key,
					      const struct pd_str *value, bool conditional,
					      uint64_t if_version, uint64_t *version)
{
	struct standin_object *object = find_object(store, key);
	struct standin_value *new_value = NULL;
	bool exists = object && object->value;

	*version = exists ? object->version : 0;
	if (!value && !exists)
		return STANDIN_STORE_NOT_FOUND;
	if (conditional && *version != if_version)
		return STANDIN_STORE_CONFLICT;
	if (value && !(new_value = value_new(*value)))
		return STANDIN_STORE_NO_MEMORY;
	if (!object && !(object = insert_object(store, key))) {
		value_put(new_value);
		return STANDIN_STORE_NO_MEMORY;
	}
	value_put(object->value);
	object->value = new_value;
	*version = ++object->version;
	record_event(store, object);
	return STANDIN_STORE_OK;
}

void standin_store_print(const struct standin_object *object, struct pd_buf *out)
{
	pd_buf_printf(out, "{\"key\":\"%s\",\"version\":%llu,", object->key,
		      (unsigned long long)object->version);
	if (object->value) {
		pd_buf_append_str(out, PD_STR("\"value\":"));
		pd_buf_append(out, object->value->data, object->value->len);
	} else {
		pd_buf_append_str(out, PD_STR("\"deleted\":true"));
	}
	pd_buf_append_str(out, PD_STR("}"));
}

static bool has_prefix(const struct standin_object *object, struct pd_str prefix)
{
	return !prefix.len || !strncmp(object->key, prefix.data, prefix.len);
}

void standin_store_list(const struct standin_store *store, struct pd_str prefix, struct pd_buf *out)
{
	const char *separator = "";

	pd_buf_printf(out, "{\"revision\":%llu,\"objects\":[", (unsigned long long)store->revision);
	for (size_t i = lower_bound(store, prefix); i < store->count; i++) {
		if (!has_prefix(&store->objects[i], prefix))
			break;
		if (!store->objects[i].value)
			continue;
		pd_buf_append_str(out, pd_str_from(separator));
		standin_store_print(&store->objects[i], out);
		separator = ",";
	}
	pd_buf_append_str(out, PD_STR("]}"));
}

bool standin_store_has_events_since(const struct standin_store *store, uint64_t after)
{
	return after <= store->revision && store->revision - after <= STANDIN_HISTORY_MAX;
}

size_t standin_store_events(const struct standin_store *store, struct pd_str prefix, uint64_t after,
			    size_t bytes_max, struct pd_buf *out)
{
	struct pd_buf events;
	size_t count = 0;
	uint64_t revision;

	pd_buf_init(&events, 0);
	for (revision = after; revision < store->revision; revision++) {
		const struct standin_object *event =
			&store->events[(revision + 1) % STANDIN_HISTORY_MAX];
		size_t len = event->value ? event->value->len : 0;

		if (!has_prefix(event, prefix))
			continue;
		if (count && events.len + len + sizeof(*event) > bytes_max)
			break;
		pd_buf_append_str(&events, count++ ? PD_STR(",") : PD_STR(""));
		standin_store_print(event, &events);
	}
	pd_buf_printf(out, "{\"revision\":%llu,\"events\":[", (unsigned long long)revision);
	pd_buf_append_str(out, pd_buf_str(&events));
	pd_buf_append_str(out, PD_STR("]}"));
	out->failed = out->failed || events.failed;
	pd_buf_finish(&events);
	return count;
}
