#include "sync.h"

#include <fcntl.h>
#include <inttypes.h>
#include <poll.h>
#include <string.h>
#include <unistd.h>

#include "counters.h"
#include "key_check.h"
#include "log.h"
#include "os.h"

/* A long wait saves calls; TCP keep-alive detects a broken connection meanwhile. */
#define WATCH_WAIT_MS 25000
/* Time after the start in which the orders of roll-outs are left to a source, if there is one. */
#define ORDERS_DELAY_US (700 * PD_USEC_PER_MSEC)
/* Longest wait of a watch that proves that the configuration is the newest one, and the part of the
 * time until the proof is too old for which it waits. A proof is up to twice the wait old when the
 * next one arrives, and followers learn it up to half a second later: two thirds of the time remain
 * for an outage of the store, in which requests with keys are served on.
 */
#define PROOF_WAIT_MAX_MS  1500
#define PROOF_WAIT_DIVISOR 6
/* Time after the wait in which the response to such a watch must arrive. With the usual 1.5 s, a
 * lost response would let the proof become too old.
 */
#define PROOF_GRACE_US (700 * PD_USEC_PER_MSEC)
/* Wait of a watch from before a revision that is known: it returns the changes in between at once,
 * and without a response, which may have been lost, it fails early.
 */
#define CATCH_UP_WAIT_MS 100
/* Pause after a watch that returned changes, so that changes in quick succession are fetched
 * together; it doubles with each watch that returns early.
 */
#define BATCH_PAUSE_MIN_US (120 * PD_USEC_PER_MSEC)
#define BATCH_PAUSE_MAX_US (700 * PD_USEC_PER_MSEC)
/* Interval of lists for the first proof, which normally takes less than 100 ms. */
#define PROOF_REQUEST_INTERVAL_US (300 * PD_USEC_PER_MSEC)
/* A watch that returns changes in less than this time has returned early. */
#define EARLY_RETURN_US (1500 * PD_USEC_PER_MSEC)
/* Backoff after failed calls. Every call is billed, but the instance must serve normally within
 * seconds after the store is reachable again.
 */
#define BACKOFF_MIN_US (200 * PD_USEC_PER_MSEC)
#define BACKOFF_MAX_US (1200 * PD_USEC_PER_MSEC)

/* Time for which calls for a kind must fail until its changes count as lost: the call is repeated
 * once in it, and a follower has two seconds left in which it must get them elsewhere.
 */
#define LOSS_MIN_US (500 * PD_USEC_PER_MSEC)

void pd_sync_init(struct pd_sync *sync, struct pd_directory *directory,
		  const struct sockaddr_in *address)
{
	static const enum pd_object_kind kinds[PD_SYNC_TASK_COUNT] = {
		PD_OBJECT_CONFIG, PD_OBJECT_UPSTREAMS, PD_OBJECT_EVACUATIONS, PD_OBJECT_CRASHES,
		PD_OBJECT_ROLLOUTS};

	memset(sync, 0, sizeof(*sync));
	sync->directory = directory;
	sync->address = *address;
	sync->task_count = PD_SYNC_TASK_COUNT - 1;
	pthread_mutex_init(&sync->lock, NULL);
	pd_os_cond_init(&sync->changed);
	for (size_t i = 0; i < PD_SYNC_TASK_COUNT; i++) {
		sync->tasks[i].sync = sync;
		sync->tasks[i].kind = kinds[i];
		sync->tasks[i].wake_pipe[0] = -1;
		sync->tasks[i].wake_pipe[1] = -1;
		pd_store_init(&sync->tasks[i].store, address);
	}
}

bool pd_sync_enable_rollouts(struct pd_sync *sync)
{
	sync->rollouts = calloc(1, sizeof(*sync->rollouts));
	if (sync->rollouts)
		sync->task_count = PD_SYNC_TASK_COUNT;
	return sync->rollouts != NULL;
}

void pd_sync_prove_config(struct pd_sync *sync, uint32_t revocation_ms)
{
	uint32_t wait_ms;

	if (revocation_ms <= PD_KEY_CHECK_MARGIN_MS)
		return;
	/* 0 would mean that nothing has to be proven. */
	wait_ms = 1 + (revocation_ms - PD_KEY_CHECK_MARGIN_MS - 1) / PROOF_WAIT_DIVISOR;
	sync->proof_wait_ms = wait_ms < PROOF_WAIT_MAX_MS ? wait_ms : PROOF_WAIT_MAX_MS;
}

void pd_sync_set_address(struct pd_sync *sync, const struct sockaddr_in *address)
{
	pthread_mutex_lock(&sync->lock);
	sync->address = *address;
	pthread_mutex_unlock(&sync->lock);
}

void pd_sync_get_address(struct pd_sync *sync, struct sockaddr_in *address)
{
	pthread_mutex_lock(&sync->lock);
	*address = sync->address;
	pthread_mutex_unlock(&sync->lock);
}

/* Records a complete list, unless the store was restored after it was read. */
static void record_list(struct pd_sync_task *task, struct pd_revision at)
{
	pthread_mutex_lock(&task->sync->lock);
	task->listed = at.era == task->sync->era;
	task->lost_since_us = 0;
	pd_watch_cover_set(&task->cover, at.number);
	pthread_mutex_unlock(&task->sync->lock);
}

static void set_listed(struct pd_sync_task *task, bool listed)
{
	pthread_mutex_lock(&task->sync->lock);
	task->listed = listed;
	pthread_mutex_unlock(&task->sync->lock);
}

static bool is_listed(struct pd_sync_task *task)
{
	bool listed;

	pthread_mutex_lock(&task->sync->lock);
	listed = task->listed;
	pthread_mutex_unlock(&task->sync->lock);
	return listed;
}

/* Whether the task has to prove that the configuration is the newest one. */
static bool needs_proof(const struct pd_sync_task *task)
{
	struct pd_catalog *catalog;
	bool needed;

	if (task->kind != PD_OBJECT_CONFIG || !task->sync->proof_wait_ms)
		return false;
	catalog = pd_registry_catalog(task->sync->directory->registry);
	needed = catalog && catalog->has_accounts;
	pd_catalog_release(catalog);
	return needed;
}

/* Records a proof by a call that was sent at @sent_us and whose response was applied. A response
 * from after a restore of the store proves nothing: the kind isn't listed any more then.
 */
static void confirm_config(struct pd_sync_task *task, int64_t sent_us)
{
	if (task->kind == PD_OBJECT_CONFIG && task->sync->proof_wait_ms && task->config_covered &&
	    is_listed(task))
		pd_directory_confirm_config(task->sync->directory, sent_us);
}

static void wake(struct pd_sync_task *task)
{
	/* A full pipe wakes the task, too, so a failed write needs no retry. */
	if (task->wake_pipe[1] >= 0 && write(task->wake_pipe[1], "", 1) < 0)
		pd_log(PD_LOG_DEBUG, "renewal_pending", "kind=%s", pd_object_kind_name(task->kind));
}

void pd_sync_request_proof(struct pd_sync *sync)
{
	int64_t now = pd_os_boot_us();
	bool due;

	pthread_mutex_lock(&sync->lock);
	due = !sync->proof_requested_us ||
	      now - sync->proof_requested_us >= PROOF_REQUEST_INTERVAL_US;
	if (due) {
		sync->proof_requested = true;
		sync->proof_requested_us = now;
		pthread_cond_broadcast(&sync->changed);
	}
	pthread_mutex_unlock(&sync->lock);
	for (size_t i = 0; due && i < sync->task_count; i++) {
		if (sync->tasks[i].kind == PD_OBJECT_CONFIG)
			wake(&sync->tasks[i]);
	}
}

/* Whether the first proof was requested from the task for the configuration. */
static bool is_proof_requested_locked(const struct pd_sync_task *task)
{
	return task->kind == PD_OBJECT_CONFIG && task->sync->proof_requested;
}

/* Returns whether the first proof was requested, and marks it as begun. */
static bool begin_requested_proof(struct pd_sync_task *task)
{
	bool requested;

	pthread_mutex_lock(&task->sync->lock);
	requested = is_proof_requested_locked(task);
	/* The first list is stale, and proves nothing. */
	if (requested && task->listed_before)
		task->sync->proof_requested = false;
	pthread_mutex_unlock(&task->sync->lock);
	return requested;
}

void pd_sync_restart_watches(struct pd_sync *sync)
{
	for (size_t i = 0; i < sync->task_count; i++) {
		set_listed(&sync->tasks[i], false);
		wake(&sync->tasks[i]);
	}
	/* Tasks that have only been listed wait for the mode to change. */
	pthread_mutex_lock(&sync->lock);
	pthread_cond_broadcast(&sync->changed);
	pthread_mutex_unlock(&sync->lock);
}

void pd_sync_report_era(struct pd_sync *sync, uint64_t era, bool stale_ok)
{
	uint64_t before;
	bool changed;

	pthread_mutex_lock(&sync->lock);
	before = sync->era;
	changed = era && (stale_ok ? era > before : era != before);
	if (changed) {
		sync->restored = sync->restored || before;
		sync->era = era;
		sync->revision = 0;
	}
	pthread_mutex_unlock(&sync->lock);
	if (!changed || !before)
		return;
	pd_log(PD_LOG_WARNING, "store_restored", "era=%" PRIu64 " before=%" PRIu64, era, before);
	pd_count(PD_COUNT_store_restores);
	/* The store accepts a watch from a lost revision that the new history has passed, and the
	 * changes below it would be missed.
	 */
	pd_sync_restart_watches(sync);
}

void pd_sync_report_revision(struct pd_sync *sync, struct pd_revision revision)
{
	pthread_mutex_lock(&sync->lock);
	if (revision.era == sync->era && revision.number > sync->revision)
		sync->revision = revision.number;
	pthread_mutex_unlock(&sync->lock);
}

void pd_sync_renew_watches(struct pd_sync *sync)
{
	bool doubtful[PD_SYNC_TASK_COUNT], any_doubtful = false, all_waiting = true;
	int64_t now = pd_os_boot_us();

	pthread_mutex_lock(&sync->lock);
	for (size_t i = 0; i < sync->task_count; i++) {
		const struct pd_watch_cover *cover = &sync->tasks[i].cover;

		doubtful[i] = pd_watch_cover_is_doubtful(cover, sync->revision, now);
		any_doubtful = any_doubtful || doubtful[i];
		all_waiting = all_waiting && cover->sent_us;
	}
	/* The response to a watch that is about to be sent may account for the changes. */
	sync->renewal_postponed = any_doubtful && !all_waiting && !sync->renewal_postponed;
	for (size_t i = 0; i < sync->task_count && !sync->renewal_postponed; i++) {
		if (doubtful[i])
			wake(&sync->tasks[i]);
	}
	pthread_mutex_unlock(&sync->lock);
}

/* Accounts for the changes that the response to a watch holds in the coverage of the other watches.
 */
static void account_for_changes(struct pd_sync *sync, const struct pd_object_page *page,
				uint64_t era)
{
	pthread_mutex_lock(&sync->lock);
	for (size_t i = 0; i < sync->task_count && era == sync->era; i++)
		pd_watch_cover_account(&sync->tasks[i].cover, page);
	pthread_mutex_unlock(&sync->lock);
}

/* Whether an instance that is starting leaves the kind to its source. A stale list of orders is of
 * no use, see list_all(), and a current one is billed ten times as much: only heads read it.
 * Followers have found their source by ORDERS_DELAY_US.
 */
static bool is_left_to_source(const struct pd_sync_task *task)
{
	return task->kind == PD_OBJECT_ROLLOUTS && task->sync->mode == PD_SYNC_STARTING &&
	       !task->listed && pd_os_now_us() < task->sync->orders_from_us;
}

/* Whether the orders of roll-outs wait until another task reaches the store: the last calls of all
 * others failed, and refused calls are billed.
 */
static bool waits_for_store(const struct pd_sync_task *task)
{
	for (size_t i = 0; i < PD_SYNC_TASK_COUNT; i++) {
		const struct pd_sync_task *other = &task->sync->tasks[i];

		if (other->kind != PD_OBJECT_ROLLOUTS && !other->failing)
			return false;
	}
	return task->kind == PD_OBJECT_ROLLOUTS;
}

bool pd_sync_is_watching(struct pd_sync *sync)
{
	bool watching;

	pthread_mutex_lock(&sync->lock);
	watching = sync->mode == PD_SYNC_WATCHING;
	pthread_mutex_unlock(&sync->lock);
	return watching;
}

bool pd_sync_is_current(struct pd_sync *sync)
{
	bool current;

	pthread_mutex_lock(&sync->lock);
	current = sync->mode != PD_SYNC_PAUSED;
	for (size_t i = 0; i < sync->task_count; i++)
		current = current && (sync->tasks[i].listed || is_left_to_source(&sync->tasks[i]));
	pthread_mutex_unlock(&sync->lock);
	return current;
}

/* Returns the time from which the changes of the task's kind count as lost; INT64_MAX if they
 * arrive.
 */
static int64_t loss_us_locked(const struct pd_sync_task *task)
{
	return task->lost_since_us ? task->lost_since_us + LOSS_MIN_US : INT64_MAX;
}

bool pd_sync_wait_for_loss(struct pd_sync *sync, int64_t wait_us, enum pd_object_kind *kind)
{
	int64_t until = pd_os_boot_us() + wait_us, loss_us, left;

	pthread_mutex_lock(&sync->lock);
	do {
		loss_us = INT64_MAX;
		for (size_t i = 0; i < sync->task_count; i++) {
			if (loss_us_locked(&sync->tasks[i]) >= loss_us)
				continue;
			loss_us = loss_us_locked(&sync->tasks[i]);
			*kind = sync->tasks[i].kind;
		}
		left = (loss_us < until ? loss_us : until) - pd_os_boot_us();
		if (left > 0)
			pd_os_cond_wait_until(&sync->changed, &sync->lock, pd_os_now_us() + left);
	} while (left > 0);
	pthread_mutex_unlock(&sync->lock);
	return loss_us <= until;
}

void pd_sync_set_mode(struct pd_sync *sync, enum pd_sync_mode mode)
{
	bool changed;

	pthread_mutex_lock(&sync->lock);
	changed = sync->mode != mode;
	sync->mode = mode;
	for (size_t i = 0; i < sync->task_count && mode == PD_SYNC_PAUSED; i++)
		sync->tasks[i].lost_since_us = 0;
	pthread_cond_broadcast(&sync->changed);
	pthread_mutex_unlock(&sync->lock);
	if (changed && mode == PD_SYNC_PAUSED)
		pd_sync_restart_watches(sync);
}

/* Returns the delay before the next call after a number of consecutive failures, in microseconds:
 * exponential backoff with jitter.
 */
static int64_t backoff_us(uint32_t failures)
{
	int64_t delay = BACKOFF_MIN_US;

	for (uint32_t i = 0; i < failures && delay < BACKOFF_MAX_US; i++)
		delay *= 2;
	if (delay > BACKOFF_MAX_US)
		delay = BACKOFF_MAX_US;
	return delay + (int64_t)(pd_os_random_seed() % (uint64_t)(delay / 2));
}

/* Finds the configuration of the page with the highest version below @limit, and returns how many
 * versions of the page are lower than that. False if there is none.
 */
static bool find_newest_config(const struct pd_object_page *page, uint64_t limit,
			       struct pd_object *newest, uint64_t *lower_count)
{
	uint64_t highest = 0;
	struct pd_object object;
	size_t found = 0;

	for (size_t i = 0; i < pd_object_page_count(page); i++) {
		uint64_t version;

		if (!pd_object_page_get(page, i, &object) || object.removed ||
		    !pd_object_is_config(object.name))
			continue;
		version = pd_object_config_version(object.spec);
		if (version >= limit)
			continue;
		if (!found++ || version > highest) {
			highest = version;
			*newest = object;
		}
	}
	*lower_count = found ? found - 1 : 0;
	return found > 0;
}

/* Applies the newest configuration of a page that is valid. The older ones are superseded:
 * installing and sending them would only delay the newest one.
 */
static void apply_newest_config(struct pd_sync *sync, const struct pd_object_page *page,
				int64_t received_unix_ms)
{
	uint64_t limit = UINT64_MAX, lower_count;
	struct pd_object object;
	struct pd_error err;

	while (find_newest_config(page, limit, &object, &lower_count)) {
		if (pd_directory_put_config(sync->directory, object.spec, received_unix_ms, &err) ==
		    PD_OK) {
			pd_count_add(PD_COUNT_config_superseded, lower_count);
			if (object.unreadable)
				pd_sync_report_unreadable(sync, PD_OBJECT_CONFIG, object.name,
							  object.unreadable);
			return;
		}
		pd_log_failure(PD_LOG_ERROR, "config_unreadable", &err);
		limit = pd_object_config_version(object.spec);
	}
}

static bool was_restored(struct pd_sync *sync)
{
	bool restored;

	pthread_mutex_lock(&sync->lock);
	restored = sync->restored;
	pthread_mutex_unlock(&sync->lock);
	return restored;
}

/* Records whether the configuration that the store has after the changes of a page is in force. It
 * isn't if it can't be read, was removed, or has a version that isn't newer.
 */
static void check_coverage(struct pd_sync_task *task, const struct pd_object_page *page)
{
	bool restored = !page->events && was_restored(task->sync);
	struct pd_object object;
	bool covered;

	for (size_t i = pd_object_page_count(page); i > 0; i--) {
		if (!pd_object_page_get(page, i - 1, &object) || !pd_object_is_config(object.name))
			continue;
		covered = !object.removed && object.spec &&
			  pd_directory_covers_config(task->sync->directory, object.spec, restored);
		if (!covered)
			pd_log(PD_LOG_WARNING, "config_not_covered",
			       "version=%" PRIu64 " in_force=%" PRIu64 " removed=%d",
			       pd_object_config_version(object.spec),
			       pd_directory_config_version(task->sync->directory), object.removed);
		task->config_covered = covered;
		return;
	}
}

/* Adds a hash to those of the unreadable objects; false if it is one of them. */
static bool add_unreadable(struct pd_sync *sync, uint64_t hash)
{
	bool added = true;

	pthread_mutex_lock(&sync->lock);
	for (size_t i = 0; added && i < sync->unreadable_count && i < PD_SYNC_UNREADABLE_MAX; i++)
		added = sync->unreadable[i] != hash;
	if (added)
		sync->unreadable[sync->unreadable_count++ % PD_SYNC_UNREADABLE_MAX] = hash;
	pthread_mutex_unlock(&sync->lock);
	return added;
}

void pd_sync_report_unreadable(struct pd_sync *sync, enum pd_object_kind kind, struct pd_str name,
			       const char *reason)
{
	char quoted[PD_LOG_QUOTE_MAX_BYTES];
	uint64_t hash = pd_str_hash(name, pd_str_hash(pd_str_from(reason), (uint64_t)kind));

	if (!add_unreadable(sync, hash))
		return;
	pd_count(PD_COUNT_entries_unreadable);
	pd_log(PD_LOG_WARNING, "entry_unreadable", "kind=%s name=%s reason=\"%s\"",
	       pd_object_kind_name(kind), pd_log_quote(name, quoted), reason);
}

/* Applies the entry of an upstream, or its removal, from a page that was read at revision @at. */
static void apply_upstream(struct pd_sync *sync, const struct pd_object *object,
			   struct pd_revision at)
{
	struct pd_revision changed_at = {at.era, object->revision ? object->revision : at.number};
	struct pd_upstream_entry entry;
	struct pd_error err;

	if (object->removed) {
		pd_directory_remove_upstream(sync->directory, object->name, changed_at,
					     "entry_removed");
		return;
	}
	if (pd_object_read_upstream(object, &entry, &err) != PD_OK) {
		pd_sync_report_unreadable(sync, PD_OBJECT_UPSTREAMS, object->name, err.text);
		pd_directory_keep_upstream(sync->directory, object->name, entry.draining);
		return;
	}
	entry.revision = changed_at;
	pd_directory_put_upstream(sync->directory, &entry, at);
}

static void remove_evacuated(struct pd_sync *sync, const struct pd_name *zone)
{
	for (size_t i = 0; i < sync->evacuated_count; i++) {
		if (pd_name_equal(&sync->evacuated[i], zone)) {
			sync->evacuated[i] = sync->evacuated[--sync->evacuated_count];
			return;
		}
	}
}

static void apply_evacuation(struct pd_sync *sync, const struct pd_object *object)
{
	struct pd_name zone;

	if (!pd_name_set_any(&zone, object->name)) {
		pd_sync_report_unreadable(sync, PD_OBJECT_EVACUATIONS, object->name,
					  "the name is empty");
		return;
	}
	remove_evacuated(sync, &zone);
	if (object->removed)
		return;
	if (sync->evacuated_count < PD_FEED_ZONES_MAX)
		sync->evacuated[sync->evacuated_count++] = zone;
	else
		pd_sync_report_unreadable(sync, PD_OBJECT_EVACUATIONS, object->name,
					  "too many zones are evacuated");
}

/* Returns the time since a crash. A report that is watched is recent, whatever the clocks of the
 * instances say. One in a list may be left over from a process that has ended, and one that doesn't
 * state when it was written counts as expired.
 */
static int64_t crash_age_us(const struct pd_crash_contents *contents, bool watched)
{
	int64_t since_ms = pd_os_unix_ms() - contents->written_unix_ms;

	if (!watched && !contents->written_unix_ms)
		return PD_CRASH_EXPIRY_US + 1;
	if (watched || since_ms < 0)
		since_ms = 0;
	if (since_ms + contents->age_ms > PD_CRASH_EXPIRY_US / PD_USEC_PER_MSEC)
		return PD_CRASH_EXPIRY_US + 1;
	return (since_ms + contents->age_ms) * PD_USEC_PER_MSEC;
}

static void apply_crash(struct pd_sync *sync, const struct pd_object *object, bool watched)
{
	struct pd_crash_event event = {.told = true};
	struct pd_crash_contents contents;
	uint64_t fingerprint;
	int64_t age_us;

	if (!pd_object_read_crash(object, &fingerprint, &event.name, &contents)) {
		pd_sync_report_unreadable(sync, PD_OBJECT_CRASHES, object->name,
					  "the name isn't that of a crash report");
		return;
	}
	if (object->removed) {
		pd_directory_remove_crash(sync->directory, fingerprint, &event.name, true);
		return;
	}
	pd_crash_reports_schedule(&sync->directory->crash_reports, fingerprint, &event.name,
				  PD_CRASH_DELETION_ORPHAN);
	age_us = crash_age_us(&contents, watched);
	event.broken_us = pd_os_boot_us() - age_us;
	event.partial = contents.partial;
	if (contents.service.len)
		event.service = pd_crash_service(pd_name_str(&contents.service));
	if (age_us <= PD_CRASH_EXPIRY_US)
		pd_directory_add_crash(sync->directory, fingerprint, &event);
	else
		pd_log(PD_LOG_INFO, "crash_outdated", "crash=%s written_unix_ms=%" PRId64,
		       event.name.text, contents.written_unix_ms);
}

/* Removes the order that an object has held so far. */
static void remove_rollout(struct pd_rollout_set *set, struct pd_str object)
{
	for (size_t i = 0; i < set->count; i++) {
		const struct pd_rollout_order *order = &set->orders[i];

		if (pd_str_equal((struct pd_str){order->object, order->object_len}, object)) {
			set->orders[i] = set->orders[--set->count];
			return;
		}
	}
}

static void apply_rollout(struct pd_sync *sync, const struct pd_object *object)
{
	struct pd_rollout_set *set = sync->rollouts;
	struct pd_rollout_order order;
	const char *reason = NULL;
	struct pd_error err;

	remove_rollout(set, object->name);
	if (object->removed)
		return;
	if (pd_object_read_rollout(object, pd_os_boot_us(), &order, &err) != PD_OK)
		reason = err.text;
	else if (pd_rollout_set_find(set, &order.service))
		reason = "another order names the service";
	else if (set->count == PD_ROLLOUTS_MAX)
		reason = "too many orders";
	if (reason)
		pd_sync_report_unreadable(sync, PD_OBJECT_ROLLOUTS, object->name, reason);
	else
		set->orders[set->count++] = order;
}

/* Applies the objects or events of the page that the last call returned, which the store had at
 * @received_unix_ms.
 */
static void apply_page(struct pd_sync_task *task, const struct pd_object_page *page,
		       int64_t received_unix_ms)
{
	struct pd_revision at = {task->store.era, page->revision};
	struct pd_object object;

	if (task->kind == PD_OBJECT_CONFIG) {
		apply_newest_config(task->sync, page, received_unix_ms);
		if (needs_proof(task))
			check_coverage(task, page);
		return;
	}
	for (size_t i = 0; i < pd_object_page_count(page); i++) {
		if (!pd_object_page_get(page, i, &object)) {
			pd_sync_report_unreadable(task->sync, task->kind, object.name,
						  "the object has no name");
			continue;
		}
		switch (task->kind) {
		case PD_OBJECT_UPSTREAMS:
			apply_upstream(task->sync, &object, at);
			break;
		case PD_OBJECT_EVACUATIONS:
			apply_evacuation(task->sync, &object);
			break;
		case PD_OBJECT_CRASHES:
			apply_crash(task->sync, &object, page->events);
			break;
		case PD_OBJECT_ROLLOUTS:
			apply_rollout(task->sync, &object);
			break;
		case PD_OBJECT_CONFIG:
		case PD_OBJECT_INSTANCES:
			break;
		}
	}
}

/* Applies what takes effect only once all objects or events up to a revision were read. */
static void complete_revision(struct pd_sync_task *task, struct pd_revision at)
{
	if (task->kind == PD_OBJECT_EVACUATIONS)
		pd_directory_set_evacuated(task->sync->directory, task->sync->evacuated,
					   task->sync->evacuated_count, at);
	else if (task->kind == PD_OBJECT_ROLLOUTS)
		pd_directory_set_rollouts(task->sync->directory, task->sync->rollouts, at);
	else if (task->kind == PD_OBJECT_UPSTREAMS)
		pd_directory_advance(task->sync->directory, task->sync->upstream_list, at);
}

static void set_failing(struct pd_sync_task *task, bool failing)
{
	struct pd_sync *sync = task->sync;

	pthread_mutex_lock(&sync->lock);
	if (task->failing && !failing)
		pthread_cond_broadcast(&sync->changed);
	task->failing = failing;
	pthread_mutex_unlock(&sync->lock);
}

/* Records that a call that was to bring changes has failed. */
static void begin_loss(struct pd_sync_task *task)
{
	struct pd_sync *sync = task->sync;

	pthread_mutex_lock(&sync->lock);
	/* The call may have been sent before the mode was set. */
	if (!task->lost_since_us && sync->mode != PD_SYNC_PAUSED) {
		task->lost_since_us = pd_os_boot_us();
		pthread_cond_broadcast(&sync->changed);
	}
	pthread_mutex_unlock(&sync->lock);
}

/* Records a successful call. */
static void handle_success(struct pd_sync_task *task)
{
	task->failures = 0;
	set_failing(task, false);
	if (!task->unreachable_since_us)
		return;
	pd_log(PD_LOG_INFO, "store_regained", "kind=%s lost_ms=%" PRId64,
	       pd_object_kind_name(task->kind),
	       (pd_os_boot_us() - task->unreachable_since_us) / 1000);
	task->unreachable_since_us = 0;
}

static void drain_wake_pipe(struct pd_sync_task *task)
{
	char bytes[16];

	while (read(task->wake_pipe[0], bytes, sizeof(bytes)) > 0)
		;
}

/* Sleeps for @us microseconds or until the task is woken. */
static void pause_or_wake(struct pd_sync_task *task, int64_t us)
{
	struct pollfd p = {.fd = task->wake_pipe[0], .events = POLLIN};

	if (poll(&p, 1, (int)(us / PD_USEC_PER_MSEC)) > 0)
		drain_wake_pipe(task);
}

/* Records a failed call and waits for the backoff delay. */
static void handle_failure(struct pd_sync_task *task, const struct pd_error *err)
{
	set_failing(task, true);
	/* A response that can't be read would be the same for another instance. */
	if (err->code != PD_INVALID)
		begin_loss(task);
	if (!task->unreachable_since_us) {
		task->unreachable_since_us = pd_os_boot_us();
		pd_log(PD_LOG_WARNING, "store_lost", "kind=%s revision=%" PRIu64 " code=%s",
		       pd_object_kind_name(task->kind), task->revision, pd_strerror(err->code));
		pd_log_failure(PD_LOG_WARNING, "store_failure", err);
	}
	pause_or_wake(task, backoff_us(task->failures++));
}

/**
 * struct listing - a list that is being read
 * @at: lowest revision of the pages so far; each stale read has an age of its own
 * @upstream_list: number of the list in the directory, if it is one of upstreams and has begun
 * @stale_ok: the pages may be some seconds old
 */
struct listing {
	struct pd_revision at;
	uint64_t upstream_list;
	bool stale_ok;
};

/* Starts a list with the revision of its first page. */
static void begin_listing(struct pd_sync_task *task, struct listing *listing,
			  struct pd_revision first)
{
	handle_success(task);
	listing->at = first;
	task->config_covered = false;
	if (task->kind == PD_OBJECT_UPSTREAMS)
		listing->upstream_list = pd_directory_list_begin(task->sync->directory, first);
}

/* Reads and applies the page that follows the name in @after, and sets @after to its last name. */
static enum pd_code list_page(struct pd_sync_task *task, struct listing *listing,
			      struct pd_buf *after, bool *more, struct pd_error *err)
{
	struct pd_object_page page;
	struct pd_revision at;
	enum pd_code code = pd_store_list(&task->store, task->kind, pd_buf_str(after),
					  listing->stale_ok, &page, err);

	if (code != PD_OK)
		return code;
	at = (struct pd_revision){task->store.era, page.revision};
	pd_sync_report_era(task->sync, at.era, listing->stale_ok);
	pd_sync_report_revision(task->sync, at);
	if (!after->len)
		begin_listing(task, listing, at);
	if (at.era != listing->at.era) {
		pd_object_page_finish(&page);
		return pd_error_set(err, PD_LAYER_COORDINATION, PD_UNAVAILABLE,
				    "store restored while a list was read");
	}
	if (pd_revision_is_before(at, listing->at))
		listing->at = at;
	/* A stale list doesn't show when the objects were written. */
	apply_page(task, &page, listing->stale_ok ? 0 : pd_os_unix_ms());
	*more = page.has_more;
	if (*more && !pd_object_page_last_name(&page, after))
		code = pd_error_set(err, PD_LAYER_COORDINATION, PD_INVALID,
				    "no object of a page has a name");
	pd_object_page_finish(&page);
	return code;
}

/* Applies a complete list. */
static void end_listing(struct pd_sync_task *task, const struct listing *listing)
{
	struct pd_sync *sync = task->sync;

	if (listing->upstream_list) {
		pd_directory_list_end(sync->directory, listing->upstream_list, listing->at);
		sync->upstream_list = listing->upstream_list;
	}
	complete_revision(task, listing->at);
	record_list(task, listing->at);
	task->listed_before = true;
	task->revision = listing->at.number;
	pd_log(PD_LOG_INFO, "store_listed", "kind=%s revision=%" PRIu64,
	       pd_object_kind_name(task->kind), task->revision);
}

/* Lists all pages of the kind. The watch starts from the lowest revision of the pages, so that
 * changes made while the pages are read aren't missed.
 */
static enum pd_code list_all(struct pd_sync_task *task, struct pd_error *err)
{
	/* The first list may be some seconds old, because such a read is billed at a tenth
	 * of the price. Watching from its revision returns the changes since then. By a stale
	 * outcome of a roll-out, requests would be sent to a version that has ended.
	 */
	struct listing listing = {.stale_ok =
					  !task->listed_before && task->kind != PD_OBJECT_ROLLOUTS};
	int64_t start = pd_os_boot_us();
	struct pd_buf after = {0};
	enum pd_code code = PD_OK;
	bool more = true;

	if (task->kind == PD_OBJECT_EVACUATIONS)
		task->sync->evacuated_count = 0;
	if (task->kind == PD_OBJECT_ROLLOUTS)
		task->sync->rollouts->count = 0;
	while (more && code == PD_OK)
		code = list_page(task, &listing, &after, &more, err);
	pd_buf_finish(&after);
	if (code == PD_OK)
		end_listing(task, &listing);
	else if (listing.upstream_list)
		pd_directory_list_fail(task->sync->directory);
	if (code == PD_OK && !listing.stale_ok)
		confirm_config(task, start);
	return code;
}

/* Pauses after a change, so that further changes are returned together by the next watch. */
static void pause_for_batch(struct pd_sync_task *task, int64_t waited_us)
{
	int64_t delay = BATCH_PAUSE_MIN_US;

	task->early_returns = waited_us < EARLY_RETURN_US ? task->early_returns + 1 : 0;
	for (uint32_t i = 0; i < task->early_returns && delay < BATCH_PAUSE_MAX_US; i++)
		delay *= 2;
	pause_or_wake(task, delay < BATCH_PAUSE_MAX_US ? delay : BATCH_PAUSE_MAX_US);
}

/* Records that a watch is about to be sent; returns the time for which it waits, in milliseconds.
 */
static uint32_t begin_watch(struct pd_sync_task *task)
{
	struct pd_sync *sync = task->sync;
	bool prove = needs_proof(task), behind;

	pthread_mutex_lock(&sync->lock);
	behind = pd_watch_cover_begin(&task->cover, sync->revision, pd_os_boot_us());
	pthread_mutex_unlock(&sync->lock);
	pd_store_set_watch_grace(&task->store, prove ? PROOF_GRACE_US : 0);
	if (behind)
		return CATCH_UP_WAIT_MS;
	return prove ? sync->proof_wait_ms : WATCH_WAIT_MS;
}

/* Records the revision of the response to a watch, or 0 if there was none. */
static void end_watch(struct pd_sync_task *task, uint64_t revision)
{
	pthread_mutex_lock(&task->sync->lock);
	if (revision)
		task->lost_since_us = 0;
	pd_watch_cover_end(&task->cover, revision);
	pthread_mutex_unlock(&task->sync->lock);
}

/* Waits for changes once and applies them. */
static enum pd_code watch_once(struct pd_sync_task *task, struct pd_error *err)
{
	int64_t start = pd_os_boot_us();
	struct pd_object_page page;
	enum pd_code code;
	uint32_t wait_ms = begin_watch(task);
	size_t count;

	/* Short watches that return no changes count as one long watch. */
	if (!task->quiet_since_us || !needs_proof(task))
		task->quiet_since_us = start;

	code = pd_store_watch(&task->store, task->kind, task->revision, wait_ms, &page, err);
	end_watch(task, code == PD_OK ? page.revision : 0);
	if (code == PD_CANCELLED) {
		drain_wake_pipe(task);
		pd_log(PD_LOG_INFO, "watch_renewed", "kind=%s revision=%" PRIu64,
		       pd_object_kind_name(task->kind), task->revision);
		return PD_OK;
	}
	if (code == PD_OK || code == PD_NOT_FOUND)
		pd_sync_report_era(task->sync, task->store.era, false);
	if (code == PD_NOT_FOUND) {
		pd_log(PD_LOG_INFO, "store_history_gone", "kind=%s revision=%" PRIu64,
		       pd_object_kind_name(task->kind), task->revision);
		set_listed(task, false);
		return PD_OK;
	}
	if (code != PD_OK)
		return code;
	handle_success(task);
	account_for_changes(task->sync, &page, task->store.era);
	pd_sync_report_revision(task->sync, (struct pd_revision){task->store.era, page.revision});
	apply_page(task, &page, pd_os_unix_ms());
	complete_revision(task, (struct pd_revision){task->store.era, page.revision});
	count = pd_object_page_count(&page);
	if (page.revision > task->revision)
		task->revision = page.revision;
	pd_object_page_finish(&page);
	confirm_config(task, start);
	if (count)
		pause_for_batch(task, pd_os_boot_us() - task->quiet_since_us);
	else
		task->early_returns = 0;
	if (count)
		task->quiet_since_us = 0;
	return PD_OK;
}

/* Whether to list the configuration in place of watching it: the list has only the newest version,
 * and a watch from its revision returns the later ones. Reading all events of a storm could take
 * longer than the storm.
 */
static bool should_skip_events(const struct pd_sync_task *task, bool was_inactive)
{
	bool frequent_changes = task->early_returns > 0 && !task->events_skipped;

	return task->kind == PD_OBJECT_CONFIG && (was_inactive || frequent_changes);
}

/* Whether to list the configuration because the next watch would prove it too late: the first
 * accounts were configured while a long watch was waiting.
 */
static bool should_prove_now(const struct pd_sync_task *task)
{
	int64_t confirmed_us = pd_directory_config_confirmed_us(task->sync->directory);

	return !task->events_skipped && task->config_covered && needs_proof(task) &&
	       pd_os_boot_us() - confirmed_us > 2 * task->sync->proof_wait_ms * PD_USEC_PER_MSEC;
}

/* Lists or watches the kind once; @was_inactive states that it wasn't watched since the last call.
 */
static enum pd_code fetch_changes(struct pd_sync_task *task, bool was_inactive,
				  struct pd_error *err)
{
	bool proof_requested = begin_requested_proof(task);

	if (!proof_requested && is_listed(task) && !should_skip_events(task, was_inactive) &&
	    !should_prove_now(task)) {
		task->events_skipped = false;
		return watch_once(task, err);
	}
	task->events_skipped = true;
	drain_wake_pipe(task);
	return list_all(task, err);
}

/* Waits until the kind has to be listed or watched, and updates the address of the store. Returns
 * false if there was nothing to wait for.
 */
static bool wait_while_inactive(struct pd_sync_task *task)
{
	struct pd_sync *sync = task->sync;
	struct sockaddr_in address;
	bool waited = false;

	pthread_mutex_lock(&sync->lock);
	while (!is_proof_requested_locked(task) &&
	       (sync->mode == PD_SYNC_PAUSED || (sync->mode == PD_SYNC_STARTING && task->listed) ||
		is_left_to_source(task) || waits_for_store(task))) {
		/* The list becomes outdated, because changes are received from another instance. */
		if (sync->mode == PD_SYNC_PAUSED)
			task->listed = false;
		if (is_left_to_source(task))
			pd_os_cond_wait_until(&sync->changed, &sync->lock, sync->orders_from_us);
		else
			pthread_cond_wait(&sync->changed, &sync->lock);
		waited = true;
	}
	address = sync->address;
	pthread_mutex_unlock(&sync->lock);
	pd_store_set_address(&task->store, &address);
	return waited;
}

static void *run_task(void *arg)
{
	struct pd_sync_task *task = arg;
	struct pd_error err;

	for (;;) {
		bool was_inactive = wait_while_inactive(task);
		enum pd_code code = fetch_changes(task, was_inactive, &err);

		if (code == PD_OK)
			continue;
		/* After an outage, all objects are listed again to get the changes made meanwhile.
		 */
		set_listed(task, false);
		handle_failure(task, &err);
	}
	return NULL;
}

enum pd_code pd_sync_start(struct pd_sync *sync, struct pd_error *err)
{
	sync->orders_from_us = pd_os_now_us() + ORDERS_DELAY_US;
	for (size_t i = 0; i < sync->task_count; i++) {
		struct pd_sync_task *task = &sync->tasks[i];
		const char *name = pd_object_kind_name(task->kind);
		enum pd_code code;

		if (pipe2(task->wake_pipe, O_CLOEXEC | O_NONBLOCK))
			return pd_error_set(err, PD_LAYER_COORDINATION, PD_SYSTEM,
					    "sync: can't create a wake-up pipe for %s", name);
		task->store.wake_fd = task->wake_pipe[0];
		code = pd_os_thread_start(&task->thread, name, run_task, task, err);
		if (code != PD_OK)
			return pd_error_wrap(err, PD_LAYER_COORDINATION, code, "sync");
	}
	return PD_OK;
}
