#include "directory.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "counters.h"
#include "feed_batch.h"
#include "json_scan.h"
#include "log.h"
#include "objects.h"
#include "os.h"

/* Messages of at least this size are compressed. */
#define BATCH_MIN_BYTES 1024
/* A snapshot is sent to all followers that join within this time; instances that lose their source
 * join the next one together. The remaining time of a cold start in it is too long by its age.
 */
#define SNAPSHOT_REUSE_US (1000 * PD_USEC_PER_MSEC)
/* Lists that may be open at a time: one of the store, and one of the source. */
#define LISTS_MAX 2

void pd_directory_init(struct pd_directory *directory, struct pd_registry *registry)
{
	memset(directory, 0, sizeof(*directory));
	directory->registry = registry;
	pd_crashes_init(&directory->crashes);
	pd_crash_reports_init(&directory->crash_reports);
	pthread_mutex_init(&directory->lock, NULL);
	pthread_mutex_init(&directory->snapshot.lock, NULL);
	pd_os_cond_init(&directory->changed);
	pd_os_cond_init(&directory->joined);
	pd_os_cond_init(&directory->first_confirmed);
}

void pd_directory_finish(struct pd_directory *directory)
{
	for (size_t i = 0; i < PD_DIRECTORY_LOG_SIZE; i++)
		pd_buf_finish(&directory->log[i].frame);
	pd_buf_finish(&directory->config);
	free(directory->rollouts);
	pd_buf_finish(&directory->snapshot.frames);
	pd_crash_reports_finish(&directory->crash_reports);
	pd_crashes_finish(&directory->crashes);
	pthread_cond_destroy(&directory->joined);
	pthread_cond_destroy(&directory->first_confirmed);
	pthread_cond_destroy(&directory->changed);
	pthread_mutex_destroy(&directory->snapshot.lock);
	pthread_mutex_destroy(&directory->lock);
}

/* Appends encoded messages, as a batch if that is worthwhile. */
static void append_frames(struct pd_str frames, struct pd_buf *out)
{
	if (frames.len < BATCH_MIN_BYTES)
		pd_buf_append_str(out, frames);
	else
		pd_feed_batch_encode(frames, out);
}

static void encode_message(const struct pd_feed_message *msg, struct pd_buf *out)
{
	struct pd_buf frame = {0};

	pd_feed_message_encode(msg, &frame);
	append_frames(pd_buf_str(&frame), out);
	pd_buf_finish(&frame);
}

/* Whether a message of the kind replaces all earlier ones of the kind. Entries of upstreams don't,
 * because an entry that is missing in a list is a removal.
 */
static bool replaces_earlier(enum pd_feed_kind kind)
{
	return kind == PD_FEED_CONFIG || kind == PD_FEED_EVACUATIONS || kind == PD_FEED_ROLLOUTS ||
	       kind == PD_FEED_PROGRESS;
}

/* Removes the last change of the kind from the log, so that followers which haven't received it yet
 * only get the one that is about to be logged.
 */
static void supersede_locked(struct pd_directory *directory, enum pd_feed_kind kind)
{
	uint64_t end = directory->latest_end[kind];

	directory->latest_end[kind] = directory->next_change + 1;
	if (end && directory->next_change - (end - 1) <= PD_DIRECTORY_LOG_SIZE)
		pd_buf_finish(&directory->log[(end - 1) % PD_DIRECTORY_LOG_SIZE].frame);
}

/* Adds a change to the log. It isn't encoded while there are no followers. */
static void log_locked(struct pd_directory *directory, const struct pd_feed_message *msg)
{
	struct pd_change *change = &directory->log[directory->next_change % PD_DIRECTORY_LOG_SIZE];

	if (replaces_earlier(msg->kind))
		supersede_locked(directory, msg->kind);
	pd_buf_finish(&change->frame);
	change->kind = msg->kind;
	directory->next_change++;
	if (msg->kind != PD_FEED_CONFIG && msg->kind != PD_FEED_CRASH &&
	    msg->kind != PD_FEED_CRASH_REMOVED && msg->kind != PD_FEED_PROGRESS)
		directory->entries_end = directory->next_change;
	if (directory->followers)
		encode_message(msg, &change->frame);
	else
		directory->log_start = directory->next_change;
	pthread_cond_broadcast(&directory->changed);
}

static void log_change(struct pd_directory *directory, const struct pd_feed_message *msg)
{
	pthread_mutex_lock(&directory->lock);
	log_locked(directory, msg);
	pthread_mutex_unlock(&directory->lock);
}

static bool is_outdated(struct pd_directory *directory, struct pd_revision at)
{
	bool outdated;

	pthread_mutex_lock(&directory->lock);
	outdated = pd_revision_is_before(at, directory->upstreams_at);
	pthread_mutex_unlock(&directory->lock);
	return outdated;
}

void pd_directory_put_upstream(struct pd_directory *directory,
			       const struct pd_upstream_entry *entry, struct pd_revision at)
{
	struct pd_feed_message msg = {.kind = PD_FEED_UPSTREAM, .upstream = *entry};

	/* Followers get the entry that is known now, which may be a newer one. */
	if (pd_registry_put(directory->registry, &msg.upstream, is_outdated(directory, at)))
		log_change(directory, &msg);
}

void pd_directory_keep_upstream(struct pd_directory *directory, struct pd_str id, bool draining)
{
	struct pd_feed_message msg = {.kind = PD_FEED_UPSTREAM};

	if (pd_registry_keep(directory->registry, id, draining, &msg.upstream))
		log_change(directory, &msg);
}

void pd_directory_remove_upstream(struct pd_directory *directory, struct pd_str id,
				  struct pd_revision at, const char *reason)
{
	struct pd_feed_message msg = {.kind = PD_FEED_REMOVED, .removed.at = at};

	pd_registry_remove(directory->registry, id, at, reason);
	if (pd_name_set_any(&msg.removed.id, id))
		log_change(directory, &msg);
	else
		pd_log(PD_LOG_WARNING, "removal_not_told", "reason=empty_id revision=%" PRIu64,
		       at.number);
}

uint64_t pd_directory_list_begin(struct pd_directory *directory, struct pd_revision at)
{
	struct pd_feed_message msg = {.kind = PD_FEED_LIST_BEGIN, .at = at};
	uint64_t list = pd_registry_list_begin(directory->registry);

	log_change(directory, &msg);
	return list;
}

void pd_directory_list_end(struct pd_directory *directory, uint64_t list, struct pd_revision at)
{
	struct pd_feed_message msg = {.kind = PD_FEED_LIST_END, .at = at};

	pd_registry_list_end(directory->registry, list, at);
	pthread_mutex_lock(&directory->lock);
	if (pd_revision_is_before(directory->upstreams_at, at))
		directory->upstreams_at = at;
	log_locked(directory, &msg);
	pthread_mutex_unlock(&directory->lock);
}

void pd_directory_list_fail(struct pd_directory *directory)
{
	struct pd_feed_message msg = {.kind = PD_FEED_LIST_FAILED};

	log_change(directory, &msg);
}

void pd_directory_advance(struct pd_directory *directory, uint64_t list, struct pd_revision at)
{
	struct pd_feed_message msg = {.kind = PD_FEED_PROGRESS, .at = at};

	pd_registry_advance(directory->registry, list, at);
	pthread_mutex_lock(&directory->lock);
	if (pd_revision_is_before(directory->upstreams_at, at)) {
		directory->upstreams_at = at;
		log_locked(directory, &msg);
	}
	pthread_mutex_unlock(&directory->lock);
}

static void set_config_message_locked(const struct pd_directory *directory,
				      struct pd_feed_message *msg)
{
	msg->config.text = pd_buf_str(&directory->config);
	msg->config.received_unix_ms = directory->config_received_unix_ms;
}

/* Stores the text of a configuration that became current, and logs the change. Does nothing if a
 * newer one was stored since then: the store and a source may both send configurations for a
 * moment.
 */
static void store_config(struct pd_directory *directory, int64_t version, struct pd_str text,
			 int64_t received_unix_ms)
{
	struct pd_feed_message msg = {.kind = PD_FEED_CONFIG};

	pthread_mutex_lock(&directory->lock);
	if (directory->config.len && version <= directory->config_version) {
		pthread_mutex_unlock(&directory->lock);
		return;
	}
	directory->config_version = version;
	pd_buf_finish(&directory->config);
	pd_buf_append_str(&directory->config, text);
	directory->config_hashes[directory->config_count++ % PD_DIRECTORY_CONFIGS_MAX] =
		pd_str_hash(text, 0);
	directory->config_received_unix_ms = received_unix_ms;
	set_config_message_locked(directory, &msg);
	log_locked(directory, &msg);
	pthread_mutex_unlock(&directory->lock);
}

/* Installs a configuration in the registry. Sets @version to its version, or to -1 if that isn't
 * newer than the current one.
 */
static enum pd_code install_config(struct pd_directory *directory, json_t *spec,
				   int64_t received_unix_ms, int64_t *version, struct pd_error *err)
{
	struct pd_catalog *before = pd_registry_catalog(directory->registry);
	uint64_t stated = pd_object_config_version(spec);
	bool first = !before, known = before && stated && stated == before->version;
	struct pd_catalog *catalog;
	bool installed;
	int64_t age_ms;

	*version = -1;
	pd_catalog_release(before);
	/* Each list has it again. To read it would take time, and log its faults another time. */
	if (known)
		return PD_OK;
	catalog = pd_object_read_config(spec, err);
	if (!catalog)
		return pd_error_wrap(err, PD_LAYER_COORDINATION, PD_INVALID, "configuration");
	catalog->received_unix_ms = received_unix_ms;
	installed = pd_registry_install(directory->registry, pd_catalog_acquire(catalog));
	if (installed)
		*version = (int64_t)catalog->version;
	age_ms = pd_catalog_age_ms(catalog);
	pd_catalog_release(catalog);
	/* A version that is older than this process isn't delayed. */
	if (installed && !first && age_ms >= 0)
		pd_histogram_add(&directory->config_delay, age_ms * PD_USEC_PER_MSEC);
	return PD_OK;
}

enum pd_code pd_directory_put_config(struct pd_directory *directory, json_t *spec,
				     int64_t received_unix_ms, struct pd_error *err)
{
	int64_t version;
	enum pd_code code = install_config(directory, spec, received_unix_ms, &version, err);
	char *text;

	if (code != PD_OK || version < 0)
		return code;
	text = json_dumps(spec, JSON_COMPACT);
	if (!text)
		return pd_error_set(err, PD_LAYER_COORDINATION, PD_NO_MEMORY, "configuration");
	store_config(directory, version, pd_str_from(text), received_unix_ms);
	free(text);
	return PD_OK;
}

enum pd_code pd_directory_put_config_text(struct pd_directory *directory, struct pd_str text,
					  int64_t received_unix_ms, struct pd_error *err)
{
	json_t *spec = pd_json_load(text, err);
	int64_t version;
	enum pd_code code;

	if (!spec)
		return pd_error_wrap(err, PD_LAYER_COORDINATION, PD_INVALID, "configuration");
	code = install_config(directory, spec, received_unix_ms, &version, err);
	json_decref(spec);
	if (code == PD_OK && version >= 0)
		store_config(directory, version, text, received_unix_ms);
	return code;
}

static void set_evacuations_message_locked(const struct pd_directory *directory,
					   struct pd_feed_message *msg)
{
	memcpy(msg->evacuations.zones, directory->evacuated,
	       directory->evacuated_count * sizeof(directory->evacuated[0]));
	msg->evacuations.count = directory->evacuated_count;
	msg->evacuations.at = directory->evacuated_at;
}

static uint64_t current_config_hash_locked(const struct pd_directory *directory)
{
	if (!directory->config_count)
		return 0;
	return directory->config_hashes[(directory->config_count - 1) % PD_DIRECTORY_CONFIGS_MAX];
}

static bool is_past_config_locked(const struct pd_directory *directory, uint64_t hash)
{
	size_t count = directory->config_count;

	for (size_t i = 0; i < count && i < PD_DIRECTORY_CONFIGS_MAX; i++) {
		if (directory->config_hashes[i] == hash)
			return true;
	}
	return false;
}

bool pd_directory_covers_config(struct pd_directory *directory, const json_t *spec, bool restored)
{
	char *text = json_dumps(spec, JSON_COMPACT);
	uint64_t hash = pd_str_hash(pd_str_from(text), 0);
	bool covers;

	pthread_mutex_lock(&directory->lock);
	covers = hash == current_config_hash_locked(directory) ||
		 (restored && is_past_config_locked(directory, hash));
	pthread_mutex_unlock(&directory->lock);
	free(text);
	return covers;
}

void pd_directory_confirm_config(struct pd_directory *directory, int64_t confirmed_us)
{
	pthread_mutex_lock(&directory->lock);
	if (!directory->config_confirmed_us)
		pthread_cond_broadcast(&directory->first_confirmed);
	if (confirmed_us > directory->config_confirmed_us)
		directory->config_confirmed_us = confirmed_us;
	pthread_mutex_unlock(&directory->lock);
}

bool pd_directory_wait_for_first_proof(struct pd_directory *directory, int64_t wait_us)
{
	int64_t until = pd_os_now_us() + wait_us;
	bool confirmed;

	pthread_mutex_lock(&directory->lock);
	while (!directory->config_confirmed_us &&
	       pd_os_cond_wait_until(&directory->first_confirmed, &directory->lock, until))
		;
	confirmed = directory->config_confirmed_us != 0;
	pthread_mutex_unlock(&directory->lock);
	return confirmed;
}

int64_t pd_directory_config_confirmed_us(struct pd_directory *directory)
{
	int64_t confirmed_us;

	pthread_mutex_lock(&directory->lock);
	confirmed_us = directory->config_confirmed_us;
	pthread_mutex_unlock(&directory->lock);
	return confirmed_us;
}

uint64_t pd_directory_config_version(struct pd_directory *directory)
{
	int64_t version;

	pthread_mutex_lock(&directory->lock);
	version = directory->config_version;
	pthread_mutex_unlock(&directory->lock);
	return version > 0 ? (uint64_t)version : 0;
}

uint64_t pd_directory_config_hash(struct pd_directory *directory)
{
	uint64_t hash;

	pthread_mutex_lock(&directory->lock);
	hash = current_config_hash_locked(directory);
	pthread_mutex_unlock(&directory->lock);
	return hash;
}

void pd_directory_set_evacuated(struct pd_directory *directory, const struct pd_name *zones,
				size_t count, struct pd_revision at)
{
	struct pd_feed_message msg = {.kind = PD_FEED_EVACUATIONS};

	if (count > PD_FEED_ZONES_MAX)
		count = PD_FEED_ZONES_MAX;
	pthread_mutex_lock(&directory->lock);
	if (pd_revision_is_before(at, directory->evacuated_at)) {
		pd_log(PD_LOG_INFO, "evacuations_ignored",
		       "zones=%zu known_zones=%zu revision=%" PRIu64 " known=%" PRIu64
		       " reason=older",
		       count, directory->evacuated_count, at.number,
		       directory->evacuated_at.number);
		pthread_mutex_unlock(&directory->lock);
		return;
	}
	memcpy(directory->evacuated, zones, count * sizeof(*zones));
	directory->evacuated_count = count;
	directory->evacuated_at = at;
	set_evacuations_message_locked(directory, &msg);
	/* The store and a source may both send a set, so the lock covers the registry as well. */
	pd_registry_set_evacuated(directory->registry, zones, count);
	log_locked(directory, &msg);
	pthread_mutex_unlock(&directory->lock);
}

bool pd_directory_knows_evacuated(struct pd_directory *directory)
{
	bool known;

	pthread_mutex_lock(&directory->lock);
	known = pd_revision_is_known(directory->evacuated_at);
	pthread_mutex_unlock(&directory->lock);
	return known;
}

static void log_order(const char *event, const struct pd_rollout_order *order, int64_t now_us)
{
	pd_log(PD_LOG_INFO, event,
	       "service=%s version=%s state=%s duration_ms=%" PRIu32 " age_ms=%" PRId64
	       " revision=%" PRIu64,
	       order->service.text, order->target.text, pd_rollout_state_name(order->state),
	       order->duration_ms, (now_us - order->started_us) / PD_USEC_PER_MSEC,
	       order->revision);
}

static void count_outcome(const struct pd_rollout_order *order)
{
	if (order->state == PD_ROLLOUT_COMPLETED)
		pd_count(PD_COUNT_rollouts_completed);
	else if (order->state == PD_ROLLOUT_ROLLED_BACK)
		pd_count(PD_COUNT_rollouts_rolled_back);
}

/* Takes over the age of a known order, and logs what has changed. */
static void merge_order(const struct pd_rollout_order *known, struct pd_rollout_order *order,
			int64_t now_us)
{
	bool same = known && pd_rollout_same_order(known, order);

	/* An order whose outcome is taken back is a new one. */
	if (same && pd_rollout_is_final(known->state) && !pd_rollout_is_final(order->state))
		same = false;
	if (same && known->started_us < order->started_us)
		order->started_us = known->started_us;
	if (!same) {
		log_order(pd_rollout_is_final(order->state) ? "rollout_state" : "rollout_started",
			  order, now_us);
	} else if (known->state != order->state) {
		log_order("rollout_state", order, now_us);
		count_outcome(order);
	}
}

/* Logs the orders that are no longer in the store. */
static void log_removed_orders(const struct pd_rollout_set *known, const struct pd_rollout_set *set,
			       int64_t now_us)
{
	for (size_t i = 0; i < known->count; i++) {
		if (!pd_rollout_set_find(set, &known->orders[i].service))
			log_order("rollout_removed", &known->orders[i], now_us);
	}
}

/* Logs the current orders for followers. */
static void log_rollouts_locked(struct pd_directory *directory, int64_t now_us)
{
	struct pd_feed_message msg = {.kind = PD_FEED_ROLLOUTS};
	struct pd_buf text = {0};

	pd_rollout_set_encode(directory->rollouts, now_us, &text);
	msg.rollouts.text = pd_buf_str(&text);
	msg.rollouts.at = directory->rollouts_at;
	log_locked(directory, &msg);
	pd_buf_finish(&text);
}

/* Copies a set; NULL if memory runs out. */
static struct pd_rollout_set *copy_rollouts(const struct pd_rollout_set *set)
{
	struct pd_rollout_set *copy = calloc(1, sizeof(*copy));

	if (!copy) {
		pd_log(PD_LOG_ERROR, "rollouts_not_kept", "orders=%zu reason=no_memory",
		       set->count);
		return NULL;
	}
	copy->count = set->count;
	memcpy(copy->orders, set->orders, set->count * sizeof(set->orders[0]));
	return copy;
}

/* Takes over the ages of known orders, and logs what has changed. */
static void merge_orders(const struct pd_rollout_set *known, struct pd_rollout_set *set,
			 int64_t now_us)
{
	for (size_t i = 0; i < set->count; i++)
		merge_order(known ? pd_rollout_set_find(known, &set->orders[i].service) : NULL,
			    &set->orders[i], now_us);
	if (known)
		log_removed_orders(known, set, now_us);
}

void pd_directory_set_rollouts(struct pd_directory *directory, const struct pd_rollout_set *set,
			       struct pd_revision at)
{
	struct pd_rollout_set *merged = copy_rollouts(set);
	int64_t now = pd_os_boot_us();

	if (!merged)
		return;
	pthread_mutex_lock(&directory->lock);
	if (pd_revision_is_before(at, directory->rollouts_at)) {
		pd_log(PD_LOG_INFO, "rollouts_ignored",
		       "orders=%zu revision=%" PRIu64 " known=%" PRIu64 " reason=older", set->count,
		       at.number, directory->rollouts_at.number);
		pthread_mutex_unlock(&directory->lock);
		free(merged);
		return;
	}
	merge_orders(directory->rollouts, merged, now);
	free(directory->rollouts);
	directory->rollouts = merged;
	directory->rollouts_at = at;
	directory->rollouts_changes++;
	/* The store and a source may both send a set, so the lock covers the registry as well. */
	pd_registry_set_rollouts(directory->registry, merged);
	log_rollouts_locked(directory, now);
	pthread_mutex_unlock(&directory->lock);
}

bool pd_directory_knows_rollouts(struct pd_directory *directory)
{
	bool known;

	pthread_mutex_lock(&directory->lock);
	known = pd_revision_is_known(directory->rollouts_at);
	pthread_mutex_unlock(&directory->lock);
	return known;
}

bool pd_directory_get_rollouts(struct pd_directory *directory, uint64_t *changes,
			       struct pd_rollout_set *set)
{
	bool changed;

	pthread_mutex_lock(&directory->lock);
	changed = *changes != directory->rollouts_changes;
	*changes = directory->rollouts_changes;
	if (changed) {
		set->count = directory->rollouts->count;
		memcpy(set->orders, directory->rollouts->orders,
		       set->count * sizeof(set->orders[0]));
	}
	pthread_mutex_unlock(&directory->lock);
	return changed;
}

void pd_directory_age_rollout(struct pd_directory *directory, const struct pd_rollout_order *order,
			      int64_t started_us)
{
	struct pd_rollout_set *set;

	pthread_mutex_lock(&directory->lock);
	set = directory->rollouts;
	for (size_t i = 0; set && i < set->count; i++) {
		if (!pd_rollout_same_order(&set->orders[i], order) ||
		    set->orders[i].started_us <= started_us)
			continue;
		set->orders[i].started_us = started_us;
		directory->rollouts_changes++;
	}
	pthread_mutex_unlock(&directory->lock);
}

enum pd_crash_verdict pd_directory_note_crash(struct pd_directory *directory, uint64_t fingerprint,
					      const struct pd_crash_event *event)
{
	enum pd_crash_verdict verdict =
		pd_crashes_add(&directory->crashes, fingerprint, event, pd_os_boot_us());

	if (verdict == PD_CRASH_RECORDED || verdict == PD_CRASH_REPEATED)
		pd_log(PD_LOG_WARNING, "crash_noted",
		       "fingerprint=%016" PRIx64 " crash=%s on_trial=%d", fingerprint,
		       event->name.text, verdict == PD_CRASH_REPEATED);
	if (verdict == PD_CRASH_ANSWERED)
		pd_log(PD_LOG_INFO, "crash_not_counted",
		       "fingerprint=%016" PRIx64 " crash=%s reason=answered", fingerprint,
		       event->name.text);
	return verdict;
}

static struct pd_feed_message make_crash_message(uint64_t fingerprint,
						 const struct pd_crash_event *event)
{
	int64_t age_us = pd_os_boot_us() - event->broken_us;
	struct pd_feed_message msg = {.kind = PD_FEED_CRASH};

	msg.crash.fingerprint = fingerprint;
	msg.crash.event = event->name;
	msg.crash.service = event->service;
	msg.crash.partial = event->partial;
	msg.crash.age_ms = age_us > 0 ? (uint32_t)(age_us / PD_USEC_PER_MSEC) : 0;
	return msg;
}

void pd_directory_publish_crash(struct pd_directory *directory, uint64_t fingerprint,
				const struct pd_crash_event *event)
{
	struct pd_feed_message msg = make_crash_message(fingerprint, event);

	log_change(directory, &msg);
}

void pd_directory_add_crash(struct pd_directory *directory, uint64_t fingerprint,
			    const struct pd_crash_event *event)
{
	switch (pd_directory_note_crash(directory, fingerprint, event)) {
	case PD_CRASH_RECORDED:
	case PD_CRASH_REPEATED:
		pd_directory_publish_crash(directory, fingerprint, event);
		break;
	case PD_CRASH_ANSWERED:
		pd_crash_reports_schedule(&directory->crash_reports, fingerprint, &event->name,
					  PD_CRASH_DELETION_CLEARED);
		break;
	case PD_CRASH_IGNORED:
		break;
	}
}

static void publish_crash_removal(struct pd_directory *directory, uint64_t fingerprint,
				  const struct pd_name *event, bool deleted)
{
	struct pd_feed_message msg = {.kind = PD_FEED_CRASH_REMOVED};

	msg.crash_removed.fingerprint = fingerprint;
	msg.crash_removed.event = *event;
	msg.crash_removed.deleted = deleted;
	log_change(directory, &msg);
}

static void log_cleared(uint64_t fingerprint, const struct pd_name *event, const char *reason)
{
	pd_count(PD_COUNT_crashes_cleared);
	pd_log(PD_LOG_INFO, "crash_cleared", "fingerprint=%016" PRIx64 " crash=%s reason=%s",
	       fingerprint, event->text, reason);
}

void pd_directory_remove_crash(struct pd_directory *directory, uint64_t fingerprint,
			       const struct pd_name *event, bool deleted)
{
	if (deleted)
		pd_crash_reports_cancel(&directory->crash_reports, fingerprint, event);
	else
		pd_crash_reports_hasten(&directory->crash_reports, fingerprint, event);
	if (pd_crashes_clear(&directory->crashes, fingerprint, event, pd_os_boot_us()))
		log_cleared(fingerprint, event, deleted ? "report_deleted" : "told");
	publish_crash_removal(directory, fingerprint, event, deleted);
}

void pd_directory_record_answer(struct pd_directory *directory, uint64_t fingerprint,
				const struct pd_name *service)
{
	struct pd_crash_event cleared[PD_CRASH_EVENTS_MAX];
	size_t count =
		pd_crashes_answer(&directory->crashes, fingerprint,
				  pd_crash_service(pd_name_str(service)), pd_os_boot_us(), cleared);

	for (size_t i = 0; i < count; i++) {
		log_cleared(fingerprint, &cleared[i].name, "answered");
		if (!cleared[i].told)
			continue;
		publish_crash_removal(directory, fingerprint, &cleared[i].name, false);
		pd_crash_reports_schedule(&directory->crash_reports, fingerprint, &cleared[i].name,
					  PD_CRASH_DELETION_CLEARED);
	}
}

/* Returns the rest of a hold of removals, in milliseconds: 0 only if there is none, because a hold
 * whose time is over lasts until a complete list was received.
 */
static int64_t remaining_ms(int64_t hold_until_us)
{
	int64_t left_ms = (hold_until_us - pd_os_boot_us()) / PD_USEC_PER_MSEC;

	if (!hold_until_us)
		return 0;
	return left_ms > 0 ? left_ms : 1;
}

void pd_directory_set_store_reachable(struct pd_directory *directory, bool reachable,
				      int64_t hold_until_us)
{
	enum pd_store_state store = reachable ? PD_STORE_REACHABLE : PD_STORE_UNREACHABLE;
	bool changed, was_held, hold = !reachable || hold_until_us;

	pthread_mutex_lock(&directory->lock);
	was_held = directory->store == PD_STORE_UNREACHABLE || directory->hold_until_us;
	changed = directory->store != store || !directory->hold_until_us != !hold_until_us;
	if (changed)
		pthread_cond_broadcast(&directory->changed);
	directory->store = store;
	directory->hold_until_us = hold_until_us;
	pthread_mutex_unlock(&directory->lock);
	if (hold && !was_held)
		pd_registry_hold_removals(directory->registry);
	else if (was_held && !hold)
		pd_registry_release_removals(directory->registry);
	if (changed && hold)
		pd_log(PD_LOG_INFO, "removals_held", "store_reachable=%d remaining_ms=%" PRId64,
		       reachable, remaining_ms(hold_until_us));
	else if (was_held && !hold)
		pd_log(PD_LOG_INFO, "removals_released", "store_reachable=%d", reachable);
}

static void append_heartbeat_locked(struct pd_directory *directory, struct pd_buf *out)
{
	struct pd_feed_message heartbeat_msg = {.kind = PD_FEED_HEARTBEAT};

	heartbeat_msg.heartbeat.store_reachable = directory->store == PD_STORE_REACHABLE;
	heartbeat_msg.heartbeat.hold_ms = (uint32_t)remaining_ms(directory->hold_until_us);
	pd_feed_message_encode(&heartbeat_msg, out);
}

void pd_directory_heartbeat(struct pd_directory *directory, struct pd_buf *out)
{
	pthread_mutex_lock(&directory->lock);
	append_heartbeat_locked(directory, out);
	pthread_mutex_unlock(&directory->lock);
}

/* Appends all upstreams, with all changes up to revision @at, if a complete list of them was
 * received.
 */
static void append_upstreams(struct pd_directory *directory, struct pd_revision at,
			     struct pd_buf *out)
{
	struct pd_feed_message begin = {.kind = PD_FEED_LIST_BEGIN, .at = at};
	struct pd_feed_message end = {.kind = PD_FEED_LIST_END, .at = at};
	struct pd_upstream_entry *entries;
	size_t count;

	if (!pd_registry_export(directory->registry, &entries, &count))
		return;
	pd_feed_message_encode(&begin, out);
	for (size_t i = 0; i < count; i++) {
		struct pd_feed_message msg = {.kind = PD_FEED_UPSTREAM, .upstream = entries[i]};

		pd_feed_message_encode(&msg, out);
	}
	pd_feed_message_encode(&end, out);
	free(entries);
}

static void append_crashes(struct pd_directory *directory, struct pd_buf *out)
{
	struct pd_crash *table = calloc(PD_CRASHES_MAX, sizeof(*table));
	size_t count;

	if (!table)
		return;
	count = pd_crashes_copy(&directory->crashes, table, pd_os_boot_us());
	for (size_t i = 0; i < count; i++) {
		for (uint32_t u = 0; u < table[i].count; u++) {
			struct pd_feed_message msg =
				make_crash_message(table[i].fingerprint, &table[i].events[u]);

			msg.crash.partial = table[i].answered;
			pd_feed_message_encode(&msg, out);
		}
	}
	free(table);
}

/* Encodes the contents of the directory. Changes that are logged meanwhile are sent after it. */
static void encode_snapshot(struct pd_directory *directory, struct pd_snapshot *snapshot)
{
	struct pd_feed_message msg = {.kind = PD_FEED_CONFIG};
	struct pd_buf frames = {0}, rollouts = {0};
	struct pd_revision upstreams_at;

	pthread_mutex_lock(&directory->lock);
	snapshot->next_change = directory->next_change;
	upstreams_at = directory->upstreams_at;
	set_config_message_locked(directory, &msg);
	if (msg.config.text.len)
		pd_feed_message_encode(&msg, &frames);
	msg = (struct pd_feed_message){.kind = PD_FEED_EVACUATIONS};
	set_evacuations_message_locked(directory, &msg);
	if (pd_revision_is_known(msg.evacuations.at))
		pd_feed_message_encode(&msg, &frames);
	if (pd_revision_is_known(directory->rollouts_at)) {
		pd_rollout_set_encode(directory->rollouts, pd_os_boot_us(), &rollouts);
		msg = (struct pd_feed_message){.kind = PD_FEED_ROLLOUTS};
		msg.rollouts.text = pd_buf_str(&rollouts);
		msg.rollouts.at = directory->rollouts_at;
		pd_feed_message_encode(&msg, &frames);
	}
	pthread_mutex_unlock(&directory->lock);
	append_upstreams(directory, upstreams_at, &frames);
	append_crashes(directory, &frames);
	pd_buf_finish(&snapshot->frames);
	append_frames(pd_buf_str(&frames), &snapshot->frames);
	snapshot->frames.failed = snapshot->frames.failed || frames.failed;
	snapshot->encoded_us = pd_os_boot_us();
	pd_buf_finish(&rollouts);
	pd_buf_finish(&frames);
}

/* Whether the snapshot is recent and the log holds all changes since then. If upstreams or zones
 * have changed, an older snapshot would undo changes that a follower already knows, until the log
 * repeats them.
 */
static bool is_snapshot_usable(struct pd_directory *directory, const struct pd_snapshot *snapshot)
{
	bool in_log;

	pthread_mutex_lock(&directory->lock);
	in_log = snapshot->next_change >= directory->log_start &&
		 snapshot->next_change >= directory->entries_end &&
		 directory->next_change - snapshot->next_change <= PD_DIRECTORY_LOG_SIZE / 2;
	pthread_mutex_unlock(&directory->lock);
	return in_log && snapshot->frames.len && !snapshot->frames.failed &&
	       pd_os_boot_us() - snapshot->encoded_us < SNAPSHOT_REUSE_US;
}

uint64_t pd_directory_snapshot(struct pd_directory *directory, struct pd_buf *out)
{
	struct pd_snapshot *snapshot = &directory->snapshot;
	uint64_t next;

	pthread_mutex_lock(&snapshot->lock);
	if (!is_snapshot_usable(directory, snapshot))
		encode_snapshot(directory, snapshot);
	pd_count(PD_COUNT_feed_configs_out);
	out->failed = out->failed || snapshot->frames.failed;
	pd_buf_append_str(out, pd_buf_str(&snapshot->frames));
	next = snapshot->next_change;
	pthread_mutex_unlock(&snapshot->lock);
	return next;
}

static void append_change(const struct pd_change *change, struct pd_buf *out)
{
	if (change->kind == PD_FEED_CONFIG && change->frame.len)
		pd_count(PD_COUNT_feed_configs_out);
	pd_buf_append_str(out, pd_buf_str(&change->frame));
}

/* Ends the lists whose beginning a follower has received, since their ends are no longer in the
 * log. A list that stays open at the follower would include all later ones, so that an upstream
 * that is missing in them would never be removed there.
 */
static void append_failed_lists(struct pd_buf *out)
{
	const struct pd_feed_message msg = {.kind = PD_FEED_LIST_FAILED};

	for (int i = 0; i < LISTS_MAX; i++)
		pd_feed_message_encode(&msg, out);
}

bool pd_directory_wait_for_changes(struct pd_directory *directory, uint64_t *from, int64_t wait_us,
				   struct pd_buf *out)
{
	int64_t until = pd_os_now_us() + wait_us;
	bool in_log;

	pthread_mutex_lock(&directory->lock);
	/* The wait also ends when the state of the store or of the removals changes. */
	if (directory->next_change == *from)
		pd_os_cond_wait_until(&directory->changed, &directory->lock, until);
	in_log = directory->next_change - *from <= PD_DIRECTORY_LOG_SIZE;
	for (; in_log && *from < directory->next_change; (*from)++)
		append_change(&directory->log[*from % PD_DIRECTORY_LOG_SIZE], out);
	append_heartbeat_locked(directory, out);
	pthread_mutex_unlock(&directory->lock);
	if (!in_log)
		append_failed_lists(out);
	return in_log;
}

bool pd_directory_is_store_reachable(struct pd_directory *directory)
{
	bool reachable;

	pthread_mutex_lock(&directory->lock);
	reachable = directory->store == PD_STORE_REACHABLE;
	pthread_mutex_unlock(&directory->lock);
	return reachable;
}

int64_t pd_directory_hold_until_us(struct pd_directory *directory)
{
	int64_t hold_until_us;

	pthread_mutex_lock(&directory->lock);
	hold_until_us = directory->hold_until_us;
	pthread_mutex_unlock(&directory->lock);
	return hold_until_us;
}

void pd_directory_wait_for_store_state(struct pd_directory *directory, int64_t wait_us)
{
	int64_t until = pd_os_now_us() + wait_us;

	pthread_mutex_lock(&directory->lock);
	while (directory->store == PD_STORE_UNCHECKED &&
	       pd_os_cond_wait_until(&directory->changed, &directory->lock, until))
		;
	pthread_mutex_unlock(&directory->lock);
}

bool pd_directory_wait_for_follower(struct pd_directory *directory, int64_t wait_us)
{
	int64_t until = pd_os_now_us() + wait_us;
	bool followed;

	pthread_mutex_lock(&directory->lock);
	while (!directory->followers &&
	       pd_os_cond_wait_until(&directory->joined, &directory->lock, until))
		;
	followed = directory->followers > 0;
	pthread_mutex_unlock(&directory->lock);
	return followed;
}

uint32_t pd_directory_adjust_followers(struct pd_directory *directory, int change)
{
	uint32_t followers;

	pthread_mutex_lock(&directory->lock);
	directory->followers = (uint32_t)((int)directory->followers + change);
	followers = directory->followers;
	if (change > 0)
		pthread_cond_broadcast(&directory->joined);
	pthread_mutex_unlock(&directory->lock);
	return followers;
}
