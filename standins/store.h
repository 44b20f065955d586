/**
 * DOC: Objects of the stand-in platform and the history of their changes
 *
 * Not thread-safe.
 */
#ifndef STANDIN_STORE_H
#define STANDIN_STORE_H

#include "str.h"

#define STANDIN_KEY_MAX_BYTES 159 /* clients store keys in 160 bytes, including the NUL */
#define STANDIN_HISTORY_MAX   10240 /* events; the API guarantees clients 10,000 */

/**
 * struct standin_value - JSON text of a value, shared by an object and its events
 * @ref_count: number of objects and events that refer to the value
 * @len: length of @data in bytes
 * @data: JSON text, not NUL-terminated
 */
struct standin_value {
	uint32_t ref_count;
	size_t len;
	char data[];
};

/**
 * struct standin_object - one object of the store
 * @key: key of the object, NUL-terminated
 * @version: incremented by each write and each deletion, and kept after a deletion, so that no
 * version of a key is ever used twice
 * @value: value of the object; NULL while the object is deleted
 */
struct standin_object {
	char key[STANDIN_KEY_MAX_BYTES + 1];
	uint64_t version;
	struct standin_value *value;
};

/**
 * struct standin_store - all objects and the last STANDIN_HISTORY_MAX changes
 * @objects: objects sorted by key, including deleted ones
 * @count: number of entries used in @objects
 * @cap: number of entries allocated in @objects
 * @revision: number of changes so far; the revision of the last change
 * @events: ring buffer; the object as it was after revision r is at r % STANDIN_HISTORY_MAX
 */
struct standin_store {
	struct standin_object *objects;
	size_t count;
	size_t cap;
	uint64_t revision;
	struct standin_object *events;
};

enum standin_store_result {
	STANDIN_STORE_OK,
	STANDIN_STORE_NOT_FOUND,
	STANDIN_STORE_CONFLICT,
	STANDIN_STORE_NO_MEMORY,
};

/* Initialises an empty store; returns false if out of memory. */
bool standin_store_init(struct standin_store *store);
void standin_store_finish(struct standin_store *store);
/* Tells whether @key has a valid length and only printable ASCII without blanks, " and \. */
bool standin_store_key_valid(struct pd_str key);
/* Returns the object, or NULL if it doesn't exist. */
const struct standin_object *standin_store_get(const struct standin_store *store,
					       struct pd_str key);

/**
 * standin_store_write() - writes or deletes an object
 * @store: store to change
 * @key: key of the object; must be valid
 * @value: JSON text of the new value; NULL deletes the object
 * @conditional: write only if the current version of the object equals @if_version
 * @if_version: expected version; 0 means that the object must not exist
 * @version: receives the new version, or the current one after a conflict
 */
enum standin_store_result standin_store_write(struct standin_store *store, struct pd_str key,
					      const struct pd_str *value, bool conditional,
					      uint64_t if_version, uint64_t *version);
/* Appends the object to @out as JSON; a deleted object has "deleted" instead of "value". */
void standin_store_print(const struct standin_object *object, struct pd_buf *out);
/* Appends the objects whose keys start with @prefix to @out, as `{"revision","objects":[...]}`. */
void standin_store_list(const struct standin_store *store, struct pd_str prefix,
			struct pd_buf *out);
/*
 * Tells whether the history holds all changes after the revision @after. Returns false if some were
 * overwritten, or if @after is higher than the current revision.
 */
bool standin_store_has_events_since(const struct standin_store *store, uint64_t after);

/**
 * standin_store_events() - appends changes as `{"revision","events":[...]}`
 * @store: store to read
 * @prefix: prefix of the keys whose changes are included
 * @after: revision after which to start; standin_store_has_events_since() must be true for it
 * @bytes_max: limit of the size of the events, in bytes; the first event is included in any case
 * @out: buffer to append to
 *
 * If the limit is reached, "revision" is lower than the revision of the store, and the next call of
 * the watch continues from there.
 *
 * Return: number of events appended.
 */
size_t standin_store_events(const struct standin_store *store, struct pd_str prefix, uint64_t after,
			    size_t bytes_max, struct pd_buf *out);

#endif
