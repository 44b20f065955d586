/**
 * DOC: Following the platform's objects
 *
 * One task for each kind of object: it lists the kind, then watches it, and puts every change into
 * the registry. When the store can't be reached, what is known stays in force.
 *
 * A watch whose answer is lost waits until its time is over and hears nothing, although its
 * connection works. The task of the instances therefore reads a short list every second or two (a
 * stale read, at a tenth of the price); when that fails and works again, all watches are renewed.
 */
#ifndef PD_SYNC_H
#define PD_SYNC_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "ingress_settings.h"
#include "registry.h"
#include "store_client.h"

#define PD_SYNC_ZONES_MAX 64 /* evacuated zones at a time */

struct pd_sync;

/**
 * struct pd_sync_task - one kind
 * @sync: owner
 * @kind: kind
 * @thread: its thread
 * @running: @thread was started
 * @store: its connection
 * @listed: the kind was listed; changes follow by watching
 * @revision: the store's revision up to which changes are known
 * @lost_us: since when calls fail; 0 while they succeed
 * @failures: consecutive failed calls
 * @quick: watches in a row that returned early
 * @wake: pipe that ends the task's watch
 */
struct pd_sync_task {
	struct pd_sync *sync;
	enum pd_object_kind kind;
	pthread_t thread;
	bool running;
	struct pd_store store;
	bool listed;
	uint64_t revision;
	int64_t lost_us;
	uint32_t failures;
	uint32_t quick;
	int wake[2];
};

#define PD_SYNC_TASKS 4

struct pd_sync {
	struct pd_registry *registry;
	struct pd_name node;
	struct pd_name zone;
	pthread_mutex_t lock; /* guards @address */
	struct sockaddr_in address;
	struct pd_sync_task tasks[PD_SYNC_TASKS];
	struct pd_name evacuated[PD_SYNC_ZONES_MAX]; /* used by one task only */
	size_t evacuated_count;
};

void pd_sync_init(struct pd_sync *sync, struct pd_registry *registry,
		  const struct pd_ingress_settings *settings);
enum pd_code pd_sync_start(struct pd_sync *sync, struct pd_error *err);
void pd_sync_set_address(struct pd_sync *sync, const struct sockaddr_in *address);

#endif
