/**
 * DOC: Directory: this instance's copy of the platform's objects
 *
 * Receives the configuration, upstreams, evacuated zones and crash reports, either from the
 * platform's store or from another instance. Applies them to the registry and keeps a log of
 * changes, from which the instances that follow this one are updated.
 */
#ifndef PD_DIRECTORY_H
#define PD_DIRECTORY_H

#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "crash_reports.h"
#include "crashes.h"
#include "feed_message.h"
#include "histogram.h"
#include "registry.h"
#include "revision.h"

/* Number of changes kept for followers. A follower that lags further behind gets a snapshot. */
#define PD_DIRECTORY_LOG_SIZE 512
/* Number of past configurations that are recognised in a store that was restored from a copy. */
#define PD_DIRECTORY_CONFIGS_MAX 64

/**
 * struct pd_change - one change in the log
 * @kind: kind of the message that @frame holds
 * @frame: encoded message; empty if no instance followed this one when the change was logged, or if
 *	a later change supersedes this one
 */
struct pd_change {
	enum pd_feed_kind kind;
	struct pd_buf frame;
};

/**
 * struct pd_snapshot - complete contents of a directory, encoded once for all followers that join
 * at about the same time
 * @lock: held while a snapshot is encoded or copied; taken before &pd_directory.lock
 * @frames: encoded messages
 * @next_change: sequence number of the first change that may be missing
 * @encoded_us: time at which it was encoded, in microseconds of pd_os_boot_us()
 */
struct pd_snapshot {
	pthread_mutex_t lock;
	struct pd_buf frames;
	uint64_t next_change;
	int64_t encoded_us;
};

/** enum pd_store_state - whether the store is reachable. */
enum pd_store_state {
	PD_STORE_UNCHECKED, /* not all objects were read since this instance started */
	/* The store is reachable from this instance or from the one that it follows, and all
	 * objects were read since it became reachable.
	 */
	PD_STORE_REACHABLE,
	PD_STORE_UNREACHABLE,
};

/**
 * struct pd_directory - copy of the platform's objects, with a log of changes
 * @registry: registry of services and upstreams to which changes are applied
 * @crashes: table of requests that crash upstreams
 * @crash_reports: what this instance still has to tell the store about crashes
 * @lock: guards all fields below
 * @changed: signalled when a change is logged or the state of the store changes
 * @joined: signalled when an instance starts to follow this one
 * @first_confirmed: signalled when @config_confirmed_us is set for the first time
 * @log: ring buffer of changes
 * @next_change: sequence number of the next change; change n is stored in
 *	log[n % PD_DIRECTORY_LOG_SIZE]
 * @entries_end: sequence number after the last change of an upstream or of the evacuated zones; 0
 *	if there is none
 * @latest_end: sequence numbers after the last change of each kind that replaces all earlier ones
 *	of the kind; 0 if there is none
 * @config: current configuration as JSON; empty until the first one is received
 * @config_version: version of @config
 * @config_hashes: hashes of @config and of the configurations before it
 * @config_count: number of configurations so far; the hash of number n is stored in
 *	config_hashes[n % PD_DIRECTORY_CONFIGS_MAX]
 * @config_received_unix_ms: Unix time in milliseconds at which the zone received @config from the
 *	store; 0 if unknown
 * @evacuated: names of the evacuated zones
 * @evacuated_count: number of entries in @evacuated
 * @evacuated_at: revision of the store at which @evacuated was read; unknown until then
 * @rollouts: orders of roll-outs
 * @rollouts_at: revision of the store at which @rollouts was read; unknown until then
 * @rollouts_changes: number of changes of @rollouts
 * @upstreams_at: revision of the store up to which all changes of upstreams are known; unknown
 *	until a complete list was received
 * @store: state of the store
 * @hold_until_us: time until which removals are held although the store is reachable, because
 *	entries may have expired while it was unreachable, in microseconds of pd_os_boot_us(); 0
 *	without such a hold
 * @followers: number of instances that follow this one
 * @log_start: sequence number of the first change in the log that was encoded; earlier ones were
 *	logged when there were no followers
 * @snapshot: last encoded snapshot; has a lock of its own
 * @config_confirmed_us: time up to which the store is proven to have had no version newer than
 *	@config_version, in microseconds of pd_os_boot_us(); 0 if there is no proof
 * @config_delay: time from a version's reception by the zone until it was in force here, for all
 *	versions but the first one after the start
 */
struct pd_directory {
	struct pd_registry *registry;
	struct pd_crashes crashes;
	struct pd_crash_reports crash_reports;
	pthread_mutex_t lock;
	pthread_cond_t changed;
	pthread_cond_t joined;
	pthread_cond_t first_confirmed;
	struct pd_change log[PD_DIRECTORY_LOG_SIZE];
	uint64_t next_change;
	uint64_t entries_end;
	uint64_t latest_end[PD_FEED_KIND_MAX + 1];
	struct pd_buf config;
	int64_t config_version;
	uint64_t config_hashes[PD_DIRECTORY_CONFIGS_MAX];
	size_t config_count;
	int64_t config_received_unix_ms;
	struct pd_name evacuated[PD_FEED_ZONES_MAX];
	size_t evacuated_count;
	struct pd_revision evacuated_at;
	struct pd_rollout_set *rollouts;
	struct pd_revision rollouts_at;
	uint64_t rollouts_changes;
	struct pd_revision upstreams_at;
	enum pd_store_state store;
	int64_t hold_until_us;
	uint32_t followers;
	uint64_t log_start;
	struct pd_snapshot snapshot;
	int64_t config_confirmed_us;
	struct pd_histogram config_delay;
};

void pd_directory_init(struct pd_directory *directory, struct pd_registry *registry);
void pd_directory_finish(struct pd_directory *directory);

/* Adds or updates an upstream, whose entry was read at revision @at. An entry that was read before
 * changes that are known already doesn't undo them.
 */
void pd_directory_put_upstream(struct pd_directory *directory,
			       const struct pd_upstream_entry *entry, struct pd_revision at);
/* Keeps an upstream whose entry has become unreadable, see pd_registry_keep(). */
void pd_directory_keep_upstream(struct pd_directory *directory, struct pd_str id, bool draining);
/* Removes an upstream whose entry the store lacks at revision @at, unless removals are held;
 * @reason is for the log.
 */
void pd_directory_remove_upstream(struct pd_directory *directory, struct pd_str id,
				  struct pd_revision at, const char *reason);
/* Begin and end a complete list of the upstreams, which is read at revision @at. Those that aren't
 * put between the two calls are removed by the second one, unless their entries are newer. See
 * pd_registry_list_begin().
 */
uint64_t pd_directory_list_begin(struct pd_directory *directory, struct pd_revision at);
void pd_directory_list_end(struct pd_directory *directory, uint64_t list, struct pd_revision at);
/* Tells followers that a list that has begun doesn't end. */
void pd_directory_list_fail(struct pd_directory *directory);
/* Records that all changes of upstreams up to revision @at were received from the sender of the
 * list with that number, its last one that ended.
 */
void pd_directory_advance(struct pd_directory *directory, uint64_t list, struct pd_revision at);
/* Makes @spec, which the zone received from the store at @received_unix_ms (0 if unknown), the
 * current configuration if its version is newer; returns PD_INVALID, without any change, if it is
 * invalid.
 */
enum pd_code pd_directory_put_config(struct pd_directory *directory, json_t *spec,
				     int64_t received_unix_ms, struct pd_error *err);
/* The same for a configuration as JSON text. */
enum pd_code pd_directory_put_config_text(struct pd_directory *directory, struct pd_str text,
					  int64_t received_unix_ms, struct pd_error *err);
/* Whether the store's newest configuration @spec is the current one or, if @restored states that
 * the store was restored from a copy, one that the current one has replaced here. False for any
 * other contents, even with a lower version: nothing shows that the current configuration is the
 * later one.
 */
bool pd_directory_covers_config(struct pd_directory *directory, const json_t *spec, bool restored);
/* Records a proof that the current configuration was the store's newest one at @confirmed_us: the
 * time at which a question was sent whose answer was received and applied. An earlier proof than
 * the known one changes nothing.
 */
void pd_directory_confirm_config(struct pd_directory *directory, int64_t confirmed_us);
/* Returns the time of the newest proof; 0 if there is none. */
int64_t pd_directory_config_confirmed_us(struct pd_directory *directory);
/* Waits for @wait_us microseconds or until there is a proof; false if there is still none. */
bool pd_directory_wait_for_first_proof(struct pd_directory *directory, int64_t wait_us);
/* Returns the version of the current configuration; 0 if there is none. */
uint64_t pd_directory_config_version(struct pd_directory *directory);
/* Returns the hash of the contents of the current configuration; 0 if there is none. */
uint64_t pd_directory_config_hash(struct pd_directory *directory);
/* Replaces the set of evacuated zones by the one that the store had at revision @at. A set that is
 * older than the current one is ignored: a stale read, or an instance that has just started, may
 * return it.
 */
void pd_directory_set_evacuated(struct pd_directory *directory, const struct pd_name *zones,
				size_t count, struct pd_revision at);
/* Whether the set of evacuated zones was received. */
bool pd_directory_knows_evacuated(struct pd_directory *directory);
/* Replaces the orders of roll-outs by those that the store had at revision @at. An older set than
 * the current one is ignored. Orders that are known keep their age, if it is larger.
 */
void pd_directory_set_rollouts(struct pd_directory *directory, const struct pd_rollout_set *set,
			       struct pd_revision at);
/* Whether the orders of roll-outs were received. */
bool pd_directory_knows_rollouts(struct pd_directory *directory);
/* Copies the orders if they have changed since *@changes, which is updated; returns whether they
 * have. Begin with 0.
 */
bool pd_directory_get_rollouts(struct pd_directory *directory, uint64_t *changes,
			       struct pd_rollout_set *set);
/* Raises the age of a known order, which another instance has read earlier. */
void pd_directory_age_rollout(struct pd_directory *directory, const struct pd_rollout_order *order,
			      int64_t started_us);
/* Records a crash of an upstream that was executing the request with that fingerprint, for this
 * instance only; see pd_crashes_add().
 */
enum pd_crash_verdict pd_directory_note_crash(struct pd_directory *directory, uint64_t fingerprint,
					      const struct pd_crash_event *event);
/* Passes a crash on to the followers. */
void pd_directory_publish_crash(struct pd_directory *directory, uint64_t fingerprint,
				const struct pd_crash_event *event);
/* Records a crash that another instance has reported, and passes it on to the followers. If the
 * service has answered the request here, the report is to be deleted instead.
 */
void pd_directory_add_crash(struct pd_directory *directory, uint64_t fingerprint,
			    const struct pd_crash_event *event);
/* Removes a crash that doesn't count any more, also at the followers, because its report was
 * @deleted from the store, or because another instance knows of an answer. The report of a crash
 * that is about to expire is deleted in any case: the crash stays recorded.
 */
void pd_directory_remove_crash(struct pd_directory *directory, uint64_t fingerprint,
			       const struct pd_name *event, bool deleted);
/* Records that an upstream of the service has answered the request, which clears it of crashes of
 * that service, at all instances.
 */
void pd_directory_record_answer(struct pd_directory *directory, uint64_t fingerprint,
				const struct pd_name *service);
/**
 * pd_directory_set_store_reachable() - records whether the store is reachable
 * @directory: directory
 * @reachable: the store is reachable, and all of its objects were read since it became reachable
 * @hold_until_us: time by which the running upstreams whose entries expired while the store was
 *	unreachable have registered again, in microseconds of pd_os_boot_us(); 0 if none expired
 *
 * Removals are held while the store is unreachable, and from a call with @hold_until_us until the
 * next one without it. The caller, or whoever takes over from it, has to end the hold after that
 * time, with a complete list.
 */
void pd_directory_set_store_reachable(struct pd_directory *directory, bool reachable,
				      int64_t hold_until_us);

/**
 * pd_directory_snapshot() - gets the complete contents of the directory, encoded
 * @directory: directory
 * @out: buffer to which the frames are appended
 *
 * The configuration and the crash reports may be up to a second old, with the changes since then in
 * the log. At least one follower must be counted, see pd_directory_adjust_followers().
 *
 * Return: sequence number of the first change that may be missing from the snapshot.
 */
uint64_t pd_directory_snapshot(struct pd_directory *directory, struct pd_buf *out);
/* Appends a heartbeat frame, which states whether the store is reachable, and the rest of a hold of
 * removals.
 */
void pd_directory_heartbeat(struct pd_directory *directory, struct pd_buf *out);
/**
 * pd_directory_wait_for_changes() - waits for changes and encodes them, followed by a heartbeat
 * @directory: directory
 * @from: sequence number of the first change to encode; advanced past the encoded ones
 * @wait_us: maximum time to wait for a change, in microseconds
 * @out: buffer to which the frames are appended
 *
 * Return: false if change @from is no longer in the log, so that a snapshot is needed.
 */
bool pd_directory_wait_for_changes(struct pd_directory *directory, uint64_t *from, int64_t wait_us,
				   struct pd_buf *out);
bool pd_directory_is_store_reachable(struct pd_directory *directory);
/* Returns the time until which removals are held although the store is reachable, in microseconds
 * of pd_os_boot_us(); 0 without such a hold.
 */
int64_t pd_directory_hold_until_us(struct pd_directory *directory);
/* Waits until it is known whether the store is reachable, at most @wait_us microseconds. */
void pd_directory_wait_for_store_state(struct pd_directory *directory, int64_t wait_us);
/* Waits until an instance follows this one, at most @wait_us microseconds; false if none does. */
bool pd_directory_wait_for_follower(struct pd_directory *directory, int64_t wait_us);
/* Adds @change, which may be 0 or negative, to the number of followers; returns the new number. */
uint32_t pd_directory_adjust_followers(struct pd_directory *directory, int change);

#endif
