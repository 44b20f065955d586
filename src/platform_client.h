/**
 * DOC: Client of the platform's object API
 *
 * Calls are counted in platform_reads, platform_writes and platform_watches, and calls without a
 * usable reply also in platform_failures; status 404, 409, 410 and 413 are usable replies. A client
 * is used by one thread at a time.
 */
#ifndef PD_PLATFORM_CLIENT_H
#define PD_PLATFORM_CLIENT_H

#include "http_client.h"

#define PD_PLATFORM_CALL_TIMEOUT_US (1000 * PD_USEC_PER_MSEC) /* plus the wait time of a watch */
#define PD_PLATFORM_VALUE_MAX_BYTES (1024 * 1024) /* of an object */

/**
 * struct pd_platform - a client
 * @address: address of the platform
 * @http: HTTP client
 */
struct pd_platform {
	struct pd_address address;
	struct pd_http_client *http;
};

/**
 * struct pd_object - a stored object
 * @key: key, NUL-terminated
 * @version: version, which starts at 1 and changes with each write
 * @value: value as JSON text; empty if @deleted
 * @deleted: the object was deleted; only set in the events of a watch
 */
struct pd_object {
	char key[160];
	uint64_t version;
	struct pd_buf value;
	bool deleted;
};

/**
 * struct pd_object_list - a list of objects or of watch events
 * @items: the objects
 * @count: number of objects
 * @revision: revision of the whole store, from which pd_platform_watch() can continue
 */
struct pd_object_list {
	struct pd_object *items;
	size_t count;
	uint64_t revision;
};

enum pd_code pd_platform_open(struct pd_platform *platform, const struct pd_address *address,
			      struct pd_error *err);
void pd_platform_close(struct pd_platform *platform);

void pd_object_init(struct pd_object *object);
void pd_object_finish(struct pd_object *object);
void pd_object_list_init(struct pd_object_list *list);
void pd_object_list_finish(struct pd_object_list *list);

/* Reads an object. Fails with PD_NOT_FOUND, with PD_UNAVAILABLE if the platform does not reply or
 * replies with a 5xx status, or with PD_INVALID for a malformed reply or another status. The other
 * functions that read objects or lists return the same errors. */
enum pd_code pd_platform_get(struct pd_platform *platform, const char *key,
			     struct pd_object *object, struct pd_error *err);
/**
 * pd_platform_put() - writes an object conditionally
 * @platform: client
 * @key: key of the object
 * @value: value as JSON text
 * @if_version: version that the object must have at present; 0 if it must not exist
 * @version: stores the new version; may be NULL
 * @err: filled in on failure
 *
 * Return: PD_CONFLICT if the object has another version; PD_UNAVAILABLE if the write certainly had
 * no effect; PD_UNKNOWN_OUTCOME or PD_CANCELLED if it may have had an effect, in which case the
 * caller has to read the object to find out.
 */
enum pd_code pd_platform_put(struct pd_platform *platform, const char *key, struct pd_str value,
			     uint64_t if_version, uint64_t *version, struct pd_error *err);
/* Deletes an object conditionally; fails like pd_platform_put(). */
enum pd_code pd_platform_delete(struct pd_platform *platform, const char *key, uint64_t if_version,
				struct pd_error *err);
/* Lists the objects whose keys start with @prefix. */
enum pd_code pd_platform_list(struct pd_platform *platform, const char *prefix,
			      struct pd_object_list *list, struct pd_error *err);
/* Waits at most @wait_us for changes after the revision @after. Fails with PD_NOT_FOUND if the
 * platform no longer has the changes since then; the caller has to list the objects again. */
enum pd_code pd_platform_watch(struct pd_platform *platform, const char *prefix, uint64_t after,
			       int64_t wait_us, struct pd_object_list *events,
			       struct pd_error *err);

/**
 * struct pd_instance_entry - an entry of the platform's list of instances, which is updated with a
 * delay
 * @name: name of the instance
 * @is_upstream: the instance is an upstream; otherwise it is an entry instance
 * @is_leaving: the platform lists the instance as leaving
 * @address: address of the instance
 */
struct pd_instance_entry {
	struct pd_name name;
	bool is_upstream;
	bool is_leaving;
	struct pd_address address;
};

/* Reads the list of instances into a newly allocated array, which the caller frees; malformed
 * entries are skipped. */
enum pd_code pd_platform_instances(struct pd_platform *platform, struct pd_instance_entry **entries,
				   size_t *count, struct pd_error *err);

#endif
