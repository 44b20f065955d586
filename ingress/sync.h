/**
 * DOC: Following the platform's objects in the store
 *
 * One task for each kind of object: it lists the kind, then watches it, and puts every change into
 * the directory. When the store can't be reached, what is known stays in force.
 *
 * A watch whose answer is lost waits until its time is over and hears nothing, although its
 * connection works. Whoever notices an outage of the store renews the watches afterwards with
 * pd_sync_restart_watches().
 */
#ifndef PD_SYNC_H
#define PD_SYNC_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "directory.h"
#include "store_client.h"

struct pd_sync;

/** enum pd_sync_mode - where changes are heard. */
enum pd_sync_mode {
	PD_SYNC_STARTING, /* kinds are listed once, and not watched yet */
	PD_SYNC_WATCHING, /* in the store */
	PD_SYNC_PAUSED, /* from another instance */
};

/**
 * struct pd_sync_task - one kind
 * @sync: owner
 * @kind: kind
 * @thread: its thread
 * @store: its connection
 * @listed: the kind was listed; changes follow by watching; guarded by the owner's lock
 * @listed_before: it was listed once since the start
 * @revision: the store's revision up to which changes are known
 * @unreachable_since_us: since when calls fail; 0 while they succeed
 * @failures: consecutive failed calls
 * @early_returns: watches in a row that returned early
 * @wake_pipe: pipe that ends the task's watch
 */
struct pd_sync_task {
	struct pd_sync *sync;
	enum pd_object_kind kind;
	pthread_t thread;
	struct pd_store store;
	bool listed;
	bool listed_before;
	uint64_t revision;
	int64_t unreachable_since_us;
	uint32_t failures;
	uint32_t early_returns;
	int wake_pipe[2];
};

#define PD_SYNC_TASKS 4

struct pd_sync {
	struct pd_directory *directory;
	pthread_mutex_t lock; /* guards @address and @mode */
	pthread_cond_t changed; /* @mode was changed */
	struct sockaddr_in address;
	enum pd_sync_mode mode;
	struct pd_sync_task tasks[PD_SYNC_TASKS];
	struct pd_name evacuated[PD_FEED_ZONES_MAX]; /* used by one task only */
	size_t evacuated_count;
};

void pd_sync_init(struct pd_sync *sync, struct pd_directory *directory,
		  const struct sockaddr_in *address);
enum pd_code pd_sync_start(struct pd_sync *sync, struct pd_error *err);
void pd_sync_set_address(struct pd_sync *sync, const struct sockaddr_in *address);
void pd_sync_get_address(struct pd_sync *sync, struct sockaddr_in *address);
void pd_sync_set_mode(struct pd_sync *sync, enum pd_sync_mode mode);
/* Ends all watches and lists all kinds anew: answers to the watches may have been lost. */
void pd_sync_restart_watches(struct pd_sync *sync);
/* Whether all kinds were listed since the last failure or renewal, and are watched. */
bool pd_sync_is_current(struct pd_sync *sync);

#endif
