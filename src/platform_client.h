/**
 * DOC: The platform's object API
 *
 * Every call counts in platform_reads, platform_writes, platform_watches or platform_failures. A
 * client is used by one thread at a time.
 */
#ifndef PD_PLATFORM_CLIENT_H
#define PD_PLATFORM_CLIENT_H

#include "http_client.h"

#define PD_PLATFORM_CALL_TIMEOUT_US (1000 * PD_USEC_PER_MSEC)
#define PD_PLATFORM_VALUE_MAX_BYTES (1024 * 1024) /* bytes */

struct pd_platform {
	struct pd_address address;
	struct pd_http_client *http;
};

/**
 * struct pd_object - one stored object
 * @key: name, NUL-terminated
 * @version: changes with each write, starting at 1
 * @value: JSON text; empty when @deleted
 * @deleted: only in events of a watch
 */
struct pd_object {
	char key[160];
	uint64_t version;
	struct pd_buf value;
	bool deleted;
};

struct pd_object_list {
	struct pd_object *items;
	size_t count;
	uint64_t revision; /* of the whole store; the start of a watch */
};

enum pd_code pd_platform_open(struct pd_platform *platform, const struct pd_address *address,
			      struct pd_error *err);
void pd_platform_close(struct pd_platform *platform);

void pd_object_init(struct pd_object *object);
void pd_object_finish(struct pd_object *object);
void pd_object_list_init(struct pd_object_list *list);
void pd_object_list_finish(struct pd_object_list *list);

/* PD_NOT_FOUND; PD_UNAVAILABLE when the platform can't be reached or answers 5xx; PD_INVALID. */
enum pd_code pd_platform_get(struct pd_platform *platform, const char *key,
			     struct pd_object *object, struct pd_error *err);
/**
 * pd_platform_put() - conditional write
 * @if_version: version that the object must have; 0: it must not exist
 * @version: stores the new version
 *
 * Return: PD_CONFLICT when the condition failed; PD_UNAVAILABLE when it certainly didn't take
 * effect; PD_UNKNOWN_OUTCOME when it may have (re-read to find out).
 */
enum pd_code pd_platform_put(struct pd_platform *platform, const char *key, struct pd_str value,
			     uint64_t if_version, uint64_t *version, struct pd_error *err);
enum pd_code pd_platform_delete(struct pd_platform *platform, const char *key, uint64_t if_version,
				struct pd_error *err);
enum pd_code pd_platform_list(struct pd_platform *platform, const char *prefix,
			      struct pd_object_list *list, struct pd_error *err);
/* Waits at most @wait_us for changes after @after; PD_NOT_FOUND when the history is gone: list
 * again. */
enum pd_code pd_platform_watch(struct pd_platform *platform, const char *prefix, uint64_t after,
			       int64_t wait_us, struct pd_object_list *events,
			       struct pd_error *err);

/**
 * struct pd_instance_entry - one line of the platform's lagging list
 */
struct pd_instance_entry {
	struct pd_name name;
	bool is_upstream; /* otherwise an entry instance */
	bool is_leaving;
	struct pd_address address;
};

/* Stores a malloc'ed array in @entries. */
enum pd_code pd_platform_instances(struct pd_platform *platform, struct pd_instance_entry **entries,
				   size_t *count, struct pd_error *err);

#endif
