/**
 * DOC: Directory: what the platform says, wherever it was heard
 *
 * Takes in configuration, upstreams and evacuations, from the store or from another instance, puts
 * them into the registry, and passes them on to the instances that follow this one.
 */
#ifndef PD_DIRECTORY_H
#define PD_DIRECTORY_H

#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "crashes.h"
#include "feed_message.h"
#include "registry.h"

#define PD_DIRECTORY_LOG_SIZE                                                                      \
	512 /* changes kept for followers; one that lags further starts anew */

/**
 * struct pd_directory - directory
 * @registry: what requests are served by
 * @crashes: requests that crash upstreams
 * @lock: guards the rest
 * @changed: a change was logged
 * @frames: encoded changes, a ring
 * @next_change: number of the next change; change n stands in frames[n % PD_DIRECTORY_LOG_SIZE]
 * @config: the configuration in force as JSON, empty before the first
 * @evacuated: evacuated zones
 * @evacuated_count: number of @evacuated
 * @store_reachable: this instance, or the one it follows, is in touch with the store
 * @removals_held: removals are held although it is: entries may have lapsed before
 * @followers: instances that follow this one
 */
struct pd_directory {
	struct pd_registry *registry;
	struct pd_crashes crashes;
	pthread_mutex_t lock;
	pthread_cond_t changed;
	struct pd_buf frames[PD_DIRECTORY_LOG_SIZE];
	uint64_t next_change;
	struct pd_buf config;
	struct pd_name evacuated[PD_FEED_ZONES_MAX];
	size_t evacuated_count;
	bool store_reachable;
	bool removals_held;
	uint32_t followers;
};

void pd_directory_init(struct pd_directory *directory, struct pd_registry *registry);
void pd_directory_finish(struct pd_directory *directory);

void pd_directory_put_upstream(struct pd_directory *directory,
			       const struct pd_upstream_entry *entry);
void pd_directory_remove_upstream(struct pd_directory *directory, struct pd_str id,
				  const char *reason);
/* All upstreams follow; those not put between the two calls are removed. */
void pd_directory_list_begin(struct pd_directory *directory);
void pd_directory_list_end(struct pd_directory *directory);
/* Takes in a configuration; PD_INVALID when it breaks its rules, and nothing changes. */
enum pd_code pd_directory_put_config(struct pd_directory *directory, json_t *spec,
				     struct pd_error *err);
void pd_directory_set_evacuated(struct pd_directory *directory, const struct pd_name *zones,
				size_t count);
/* Takes in a crash; false when it was known. */
bool pd_directory_add_crash(struct pd_directory *directory, uint64_t fingerprint,
			    const struct pd_name *event);
/**
 * pd_directory_set_store_reachable() - notes whether the store is in reach
 * @directory: directory
 * @in_touch: it is, and everything that it holds is known
 * @holding: entries of living upstreams may have lapsed while it wasn't, and may not be back yet
 *
 * Removals are held while the store isn't in reach, and while @holding.
 */
void pd_directory_set_store_reachable(struct pd_directory *directory, bool in_touch, bool holding);

/**
 * pd_directory_snapshot() - everything, as frames
 * @directory: directory
 * @out: frames are appended to it
 *
 * Return: number of the first change that isn't in it.
 */
uint64_t pd_directory_snapshot(struct pd_directory *directory, struct pd_buf *out);
/* Appends a beat, which says whether the store is in reach. */
void pd_directory_heartbeat(struct pd_directory *directory, struct pd_buf *out);
/**
 * pd_directory_wait_for_changes() - changes after a number, as frames, and a beat
 * @directory: directory
 * @from: number of the first change wanted; moved on
 * @wait_us: how long to wait for a change
 * @out: frames are appended to it
 *
 * Return: false when that change isn't kept any more, so that a snapshot is needed.
 */
bool pd_directory_wait_for_changes(struct pd_directory *directory, uint64_t *from, int64_t wait_us,
				   struct pd_buf *out);
bool pd_directory_is_store_reachable(struct pd_directory *directory);
/* Adds to the number of followers; returns the new one. */
uint32_t pd_directory_adjust_followers(struct pd_directory *directory, int change);

#endif
