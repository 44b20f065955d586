/**
 * DOC: Stand-in for the object store of the users' platform
 *
 * Stores objects by kind and name, and serves lists, watches and writes of them over HTTP. Faults
 * are injected by changing the mode. Each connection has its own thread.
 */
#ifndef STANDIN_PLATFORM_STORE_H
#define STANDIN_PLATFORM_STORE_H

#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "os.h"

/**
 * enum platform_store_mode - how the store handles requests
 * @PLATFORM_STORE_UP: executes them and responds
 * @PLATFORM_STORE_BUSY: responds with status 503
 * @PLATFORM_STORE_SILENT: accepts connections and reads requests, but doesn't respond to them, nor
 * to pending watches when a change occurs
 * @PLATFORM_STORE_MUTE: executes requests and responds, but not to watches for which there is a
 * change; these get no response later either
 * @PLATFORM_STORE_FIRST_PAGES: executes requests and responds, but with status 503 to lists that
 * continue after a first page
 */
enum platform_store_mode {
	PLATFORM_STORE_UP,
	PLATFORM_STORE_BUSY,
	PLATFORM_STORE_SILENT,
	PLATFORM_STORE_MUTE,
	PLATFORM_STORE_FIRST_PAGES,
};

/**
 * enum platform_store_stale - what stale reads return
 * @PLATFORM_STORE_STALE_NONE: the current objects
 * @PLATFORM_STORE_STALE_ALL: the objects of the time at which this was set
 * @PLATFORM_STORE_STALE_REST: the same, but the first page of a list has the current objects
 */
enum platform_store_stale {
	PLATFORM_STORE_STALE_NONE,
	PLATFORM_STORE_STALE_ALL,
	PLATFORM_STORE_STALE_REST,
};

/**
 * enum platform_store_door_mode - how a door handles connections and requests
 * @PLATFORM_STORE_DOOR_OPEN: like the store
 * @PLATFORM_STORE_DOOR_CLOSED: refuses new connections; open ones go on
 * @PLATFORM_STORE_DOOR_STALE_ONLY: responds with status 503 to all requests but stale reads
 * @PLATFORM_STORE_DOOR_SILENT: accepts connections, but responds to no request and to no watch that
 * waits
 */
enum platform_store_door_mode {
	PLATFORM_STORE_DOOR_OPEN,
	PLATFORM_STORE_DOOR_CLOSED,
	PLATFORM_STORE_DOOR_STALE_ONLY,
	PLATFORM_STORE_DOOR_SILENT,
};

struct platform_store;

/**
 * struct platform_store_door - further address at which the store listens, for one instance
 * @store: the store
 * @address: address at which it listens
 * @listener: listening socket; -1 while new connections are refused
 * @mode: how connections and requests are handled; guarded by &platform_store.lock
 * @stale_count: number of stale reads that got a response; guarded by &platform_store.lock
 */
struct platform_store_door {
	struct platform_store *store;
	struct pd_address address;
	int listener;
	enum platform_store_door_mode mode;
	uint32_t stale_count;
};

#define PLATFORM_STORE_RAW_MAX 32

/**
 * struct platform_store - the store and its server
 * @address: address at which the store listens
 * @listener: listening socket
 * @thread: thread that accepts connections
 * @lock: guards the members from @events to @watch_count
 * @changed: broadcast when an object, the history or the mode changes
 * @events: all changes, oldest first: {kind, revision, object, tombstone}
 * @objects: objects by kind and name
 * @revision: revision of the last change
 * @era: number of the store's history; each restore starts another one
 * @copy: copy of @objects, which restores them; NULL for none
 * @copy_revision: revision of @copy
 * @stale: what stale reads return
 * @stale_objects: copy of @objects, which stale reads return; NULL for none
 * @stale_revision: revision of @stale_objects
 * @page_size: maximum number of objects on a page of a list; 0 for no limit
 * @oldest_revision: watches that start at an earlier revision get status 410
 * @mode: how the store handles requests
 * @request_count: number of requests received
 * @order_request_count: number of those for orders of roll-outs
 * @watch_count: number of watches started
 * @lost_statuses: number of next writes of a status that get no response
 * @cut_count: number of calls of platform_store_cut_watches()
 * @late_statuses: number of next writes of a status that are executed two seconds later, if their
 * condition holds then, and get no response
 * @on_write: if set, called with the contents of an object that a request writes, before the object
 * is stored; called with @lock held
 * @raw: contents of objects that are sent as they are, in place of the string "@raw-INDEX"
 * @raw_count: number of entries in @raw
 */
struct platform_store {
	struct pd_address address;
	int listener;
	pthread_t thread;
	pthread_mutex_t lock;
	pthread_cond_t changed;
	json_t *events;
	json_t *objects;
	uint64_t revision;
	uint64_t era;
	json_t *copy;
	uint64_t copy_revision;
	enum platform_store_stale stale;
	json_t *stale_objects;
	uint64_t stale_revision;
	size_t page_size;
	uint64_t oldest_revision;
	enum platform_store_mode mode;
	uint32_t request_count;
	uint32_t order_request_count;
	uint32_t watch_count;
	uint32_t lost_statuses;
	uint32_t cut_count;
	uint32_t late_statuses;
	void (*on_write)(const char *kind, const char *name, json_t *spec);
	char *raw[PLATFORM_STORE_RAW_MAX];
	size_t raw_count;
};

/* Starts the store at a free port; all members of @store but @on_write must be zero. */
void platform_store_start(struct platform_store *store);
/* Creates or replaces an object with the contents @spec, whose reference it takes over. */
void platform_store_put(struct platform_store *store, const char *kind, const char *name,
			json_t *spec);
/* The same with any text as the contents, which needn't be JSON that a library reads. At most
 * PLATFORM_STORE_RAW_MAX times.
 */
void platform_store_put_raw(struct platform_store *store, const char *kind, const char *name,
			    const char *text);
void platform_store_remove(struct platform_store *store, const char *kind, const char *name);
/* Closes the connections of all watches that wait. */
void platform_store_cut_watches(struct platform_store *store);
/* Opens a door at a free port; all members of @door must be zero. */
void platform_store_open_door(struct platform_store *store, struct platform_store_door *door);
void platform_store_set_door_mode(struct platform_store_door *door,
				  enum platform_store_door_mode mode);
/* Waits until the next stale read at the door has got a response. */
void platform_store_wait_for_stale_read(struct platform_store_door *door);
void platform_store_set_mode(struct platform_store *store, enum platform_store_mode mode);
/* Sets what stale reads return from now on. */
void platform_store_set_stale(struct platform_store *store, enum platform_store_stale stale);
void platform_store_set_page_size(struct platform_store *store, size_t page_size);
/* Drops the history, so that all pending watches get status 410. */
void platform_store_compact(struct platform_store *store);
/* Copies all objects, for platform_store_restore(). */
void platform_store_copy(struct platform_store *store);
/*
 * Replaces all objects by those of the last copy and starts another era: revisions go on after that
 * of the copy, and watches from later ones get status 410.
 */
void platform_store_restore(struct platform_store *store);
/* Lets the next writes of a status be lost or late, see above. */
void platform_store_lose_statuses(struct platform_store *store, uint32_t lost, uint32_t late);
/* Copies a member of the status of an object; "none" if there is none. */
void platform_store_get_status(struct platform_store *store, const char *kind, const char *name,
			       const char *member, char *out, size_t size);
/* Returns the number of objects of the kind @kind. */
size_t platform_store_object_count(struct platform_store *store, const char *kind);

#endif
