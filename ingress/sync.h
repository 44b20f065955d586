/**
 * DOC: Sync: keeps the directory up to date with the platform's objects in the store
 *
 * One thread for each kind of object lists the objects, then watches them, and applies every change
 * to the directory. While the store is unreachable, the directory keeps its last contents.
 *
 * If the response to a watch is lost, the watch receives no changes until it times out, although
 * its connection is open. Code that detects an outage of the store must therefore restart the
 * watches afterwards with pd_sync_restart_watches(). An outage that no call notices shows in the
 * revisions of other responses: pd_sync_renew_watches() renews the watches that may have missed a
 * change.
 */
#ifndef PD_SYNC_H
#define PD_SYNC_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "directory.h"
#include "store_client.h"
#include "watch_cover.h"

struct pd_sync;

/** enum pd_sync_mode - how changes are received. */
enum pd_sync_mode {
	PD_SYNC_STARTING, /* all kinds are listed once, and not watched yet */
	PD_SYNC_WATCHING, /* all kinds are watched in the store */
	PD_SYNC_PAUSED, /* the store isn't used; changes are received from another instance */
};

/**
 * struct pd_sync_task - synchronisation of one kind of object
 * @sync: sync to which the task belongs
 * @kind: kind of object
 * @thread: thread of the task
 * @store: connection to the store
 * @listed: the kind was listed, and changes since then are received by watching it; guarded by
 *	&pd_sync.lock
 * @listed_before: the kind was listed at least once since the start
 * @revision: revision of the store up to which changes were applied; means nothing once another
 *	&pd_sync.era was reported
 * @cover: what the watch has certainly not missed; guarded by &pd_sync.lock
 * @failing: its last call failed
 * @lost_since_us: time of the first call that failed since the last complete list or response to a
 *	watch, in microseconds of pd_os_boot_us(); 0 if none did, and while another instance
 *	sends the changes; guarded by &pd_sync.lock
 * @unreachable_since_us: time since which this task's calls to the store fail, in microseconds of
 *	pd_os_boot_us(); 0 while they succeed
 * @failures: number of consecutive failed calls
 * @early_returns: number of consecutive watches that returned changes early, see sync.c
 * @events_skipped: the last call was a list
 * @quiet_since_us: time at which the watch was sent, in microseconds of pd_os_boot_us(); that of
 *	the first watch since changes were returned if the watches are short because they prove
 *	something
 * @config_covered: the store's newest configuration that was read is in force, see
 *	pd_directory_covers_config()
 * @wake_pipe: pipe that ends a waiting watch or a pause of the task when a byte is written to it
 */
struct pd_sync_task {
	struct pd_sync *sync;
	enum pd_object_kind kind;
	pthread_t thread;
	struct pd_store store;
	bool listed;
	bool listed_before;
	uint64_t revision;
	struct pd_watch_cover cover;
	bool failing;
	int64_t lost_since_us;
	int64_t unreachable_since_us;
	uint32_t failures;
	uint32_t early_returns;
	bool events_skipped;
	int64_t quiet_since_us;
	bool config_covered;
	int wake_pipe[2];
};

#define PD_SYNC_TASK_COUNT 5
/* Number of unreadable objects that are remembered, so that each is logged and counted once. */
#define PD_SYNC_UNREADABLE_MAX 64

/**
 * struct pd_sync - synchronisation with the store
 * @directory: directory to which changes are applied
 * @lock: guards @address, @mode, @era, @revision, @restored, @unreadable and the members of the
 *	tasks that refer to it
 * @changed: signalled when @mode is set, when a call succeeds after one that failed, and when
 *	@lost_since_us of a task is set
 * @address: address of the store
 * @mode: how changes are received
 * @era: number of the store's history, see &pd_store.era; 0 if unknown
 * @revision: highest revision of @era that a response stated
 * @restored: the store was restored from a copy since the start
 * @proof_wait_ms: time for which a watch of the configuration waits while clients have accounts, in
 *	milliseconds; 0 if no proof that the configuration is the newest one is needed
 * @proof_requested: the first proof was requested, and not begun yet
 * @proof_requested_us: time of the last request of it, in microseconds of pd_os_boot_us()
 * @renewal_postponed: the renewal of watches was postponed, because another response is due
 * @tasks: one task for each kind of object
 * @task_count: number of tasks in use; the last one is for roll-outs
 * @upstream_list: number of the last complete list of upstreams
 * @evacuated: names of the evacuated zones; used only by the task for evacuations
 * @evacuated_count: number of entries in @evacuated
 * @rollouts: orders of roll-outs; used only by the task for them; NULL if they aren't read
 * @orders_from_us: time from which an instance that is starting reads the orders itself, in
 *	microseconds of pd_os_now_us()
 * @unreadable: hashes of the unreadable objects that were logged last, with their reasons
 * @unreadable_count: number of unreadable objects that were logged
 */
struct pd_sync {
	struct pd_directory *directory;
	pthread_mutex_t lock;
	pthread_cond_t changed;
	struct sockaddr_in address;
	enum pd_sync_mode mode;
	uint64_t era;
	uint64_t revision;
	bool restored;
	uint32_t proof_wait_ms;
	bool proof_requested;
	int64_t proof_requested_us;
	bool renewal_postponed;
	struct pd_sync_task tasks[PD_SYNC_TASK_COUNT];
	size_t task_count;
	uint64_t upstream_list;
	struct pd_name evacuated[PD_FEED_ZONES_MAX];
	size_t evacuated_count;
	struct pd_rollout_set *rollouts;
	int64_t orders_from_us;
	uint64_t unreadable[PD_SYNC_UNREADABLE_MAX];
	size_t unreadable_count;
};

void pd_sync_init(struct pd_sync *sync, struct pd_directory *directory,
		  const struct sockaddr_in *address);
/* Lets the orders of roll-outs be read, too; before pd_sync_start(). False if memory runs out. */
bool pd_sync_enable_rollouts(struct pd_sync *sync);
/* Makes the task for the configuration prove often enough that it is the newest one, so that keys
 * that were withdrawn can be refused after @revocation_ms. To be called before the start.
 */
void pd_sync_prove_config(struct pd_sync *sync, uint32_t revocation_ms);
/* Lets the configuration be listed now, also by an instance that is starting or follows another
 * one, because a request needs the first proof that the configuration is the newest one. Does
 * nothing if one was requested a moment ago, since each list is billed.
 */
void pd_sync_request_proof(struct pd_sync *sync);
enum pd_code pd_sync_start(struct pd_sync *sync, struct pd_error *err);
void pd_sync_set_address(struct pd_sync *sync, const struct sockaddr_in *address);
void pd_sync_get_address(struct pd_sync *sync, struct sockaddr_in *address);
void pd_sync_set_mode(struct pd_sync *sync, enum pd_sync_mode mode);
/* Ends all watches, so that all kinds are listed again, because responses to the watches may have
 * been lost.
 */
void pd_sync_restart_watches(struct pd_sync *sync);
/* Records the number of the store's history that a response stated; if it has changed, all kinds
 * are listed again. A stale read may have been answered with data of an earlier history.
 */
void pd_sync_report_era(struct pd_sync *sync, uint64_t era, bool stale_ok);
/* Records a revision that a response stated, which may have been a stale read. */
void pd_sync_report_revision(struct pd_sync *sync, struct pd_revision revision);
/* Renews the watches that have waited for some time, and may have missed a change up to the highest
 * revision that was reported.
 */
void pd_sync_renew_watches(struct pd_sync *sync);
/* Logs and counts an object that can't be used, with its name and the reason; only once for each
 * object and reason.
 */
void pd_sync_report_unreadable(struct pd_sync *sync, enum pd_object_kind kind, struct pd_str name,
			       const char *reason);
/**
 * pd_sync_wait_for_loss() - waits until the changes of a kind don't arrive
 * @sync: synchronisation
 * @wait_us: maximum time to wait, in microseconds; 0 to ask only
 * @kind: set to that kind
 *
 * Return: true if the calls for a kind have failed for 500 ms, whatever the others show; always
 * false while changes are received from another instance.
 */
bool pd_sync_wait_for_loss(struct pd_sync *sync, int64_t wait_us, enum pd_object_kind *kind);
/* Whether this instance watches the store, and follows no other one. */
bool pd_sync_is_watching(struct pd_sync *sync);
/* Whether all kinds were listed since the last failure or restart, and this instance follows none.
 */
bool pd_sync_is_current(struct pd_sync *sync);

#endif
