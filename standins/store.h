/**
 * DOC: The platform's objects and the history of their changes
 *
 * Not thread-safe.
 */
#ifndef STANDIN_STORE_H
#define STANDIN_STORE_H

#include "str.h"

#define STANDIN_KEY_MAX_BYTES 159 /* bytes; the platform's clients keep keys in 160 */
#define STANDIN_HISTORY_MAX   10240 /* events; clients may rely on 10,000 */

/**
 * struct standin_value - text of a value, shared by an object and its events
 * @ref_count: references
 * @len: bytes
 */
struct standin_value {
	uint32_t ref_count;
	size_t len;
	char data[];
};

/**
 * struct standin_object - one key
 * @key: name, NUL-terminated
 * @version: increased by each write and each deletion, so that no version ever returns
 * @value: NULL while the object doesn't exist
 */
struct standin_object {
	char key[STANDIN_KEY_MAX_BYTES + 1];
	uint64_t version;
	struct standin_value *value;
};

/**
 * struct standin_store - all objects; all zero is the empty store
 * @objects: sorted by key
 * @count: objects in use, with deleted ones
 * @cap: objects allocated
 * @revision: number of the last change
 * @events: state of an object after revision r, at r % STANDIN_HISTORY_MAX
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

bool standin_store_init(struct standin_store *store);
void standin_store_finish(struct standin_store *store);
bool standin_store_key_valid(struct pd_str key);
/* NULL when the object doesn't exist. */
const struct standin_object *standin_store_get(const struct standin_store *store,
					       struct pd_str key);

/**
 * standin_store_write() - writes or deletes an object
 * @key: valid key
 * @value: JSON text; NULL deletes
 * @conditional: whether the object must have @if_version (0: must not exist)
 * @version: stores the new version, or the current one after a conflict
 */
enum standin_store_result standin_store_write(struct standin_store *store, struct pd_str key,
					      const struct pd_str *value, bool conditional,
					      uint64_t if_version, uint64_t *version);
/* Appends the object as JSON, with "deleted" in place of the value when it has none. */
void standin_store_print(const struct standin_object *object, struct pd_buf *out);
/* Appends `{"revision","objects":[...]}`. */
void standin_store_list(const struct standin_store *store, struct pd_str prefix,
			struct pd_buf *out);
/* False when changes after @after are no longer known, or @after is in the future. */
bool standin_store_has_events_since(const struct standin_store *store, uint64_t after);

/**
 * standin_store_events() - appends `{"revision","events":[...]}`
 * @after: revision to start behind; must be known
 *
 * Stops before @bytes_max, so that "revision" may be lower than that of the store; a watch goes on
 * from there. Return: the number of events.
 */
size_t standin_store_events(const struct standin_store *store, struct pd_str prefix, uint64_t after,
			    size_t bytes_max, struct pd_buf *out);

#endif
