/**
 * DOC: Stand-in of the users' platform: its store
 *
 * Objects by kind and name, lists, watches and writes over HTTP, with faults on demand. One
 * thread for each connection.
 */
#ifndef STANDIN_PLATFORM_STORE_H
#define STANDIN_PLATFORM_STORE_H

#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "os.h"

/** enum platform_store_mode - what the store does with calls. */
enum platform_store_mode {
	PLATFORM_STORE_UP,
	PLATFORM_STORE_BUSY, /* answers 503 */
	PLATFORM_STORE_SILENT, /* takes calls and doesn't answer; answers to waiting watches are
				  lost */
};

struct platform_store {
	struct pd_address address;
	int listener;
	pthread_t thread;
	pthread_mutex_t lock;
	pthread_cond_t changed;
	json_t *events; /* all changes, in order: {kind, object, tombstone} */
	json_t *objects; /* kind -> name -> object */
	uint64_t revision;
	uint64_t oldest_revision; /* watches from before this revision get 410 */
	enum platform_store_mode mode;
	uint32_t request_count;
	uint32_t watch_count;
	/* Called, if set, with the contents of an object that a call wrote, before it is stored. */
	void (*on_write)(const char *kind, const char *name, json_t *spec);
};

/* Starts a store; @store is zero but for @on_write. */
void platform_store_start(struct platform_store *store);
/* Creates or replaces an object with @spec (taken over). */
void platform_store_put(struct platform_store *store, const char *kind, const char *name,
			json_t *spec);
void platform_store_remove(struct platform_store *store, const char *kind, const char *name);
void platform_store_set_mode(struct platform_store *store, enum platform_store_mode mode);
/* Drops the history: all watches get 410. */
void platform_store_compact(struct platform_store *store);
size_t platform_store_object_count(struct platform_store *store, const char *kind);

#endif
