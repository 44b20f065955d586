#include "config_sync.h"

#include <ck_pr.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config_log.h"
#include "counters.h"
#include "log.h"

#define HISTORY_ENTRIES_MAX	  PD_CONFIG_ENTRIES_MAX
#define MAINTENANCE_INTERVAL_US	  (500 * PD_USEC_PER_MSEC)
#define WATCHER_CHECK_INTERVAL_US (100 * PD_USEC_PER_MSEC) /* while not a watcher */
#define WATCH_BACKOFF_MIN_US	  (100 * PD_USEC_PER_MSEC)
#define WATCH_BACKOFF_MAX_US	  (2 * PD_USEC_PER_SEC)
#define REQUEST_INTERVAL_US	  (100 * PD_USEC_PER_MSEC) /* minimum interval of requests to peers */
#define PD_CONFIG_LOG_PREFIX	  "config/log/"
#define MEMBERS_PREFIX		  "members/"
#define INDEX_PREFIX		  "index/"
#define WATCH_COUNT		  3
#define LOST_MEMBERS_MAX	  64 /* maximum number of lost members handled per read of the list */

struct pd_config_sync;

/**
 * struct watch - one watched prefix of the platform's keys
 * @sync: the pd_config_sync that this watch belongs to
 * @prefix: prefix of the watched keys
 * @thread: thread that reads the events while this instance is a watcher of its zone
 * @started: whether @thread is running
 * @platform: client for the platform, used by @thread
 * @after: revision of the platform's store up to which events were received
 * @listed: whether the prefix was listed, so that @after is valid
 */
struct watch {
	struct pd_config_sync *sync;
	const char *prefix;
	pthread_t thread;
	bool started;
	struct pd_platform platform;
	uint64_t after;
	bool listed;
};

/**
 * struct pd_config_sync - private state
 * @setup: parameters of pd_config_sync_open()
 * @mutex: protects the application of entries, @history, @history_version, @last_request_us and
 *	@stopping
 * @stop_cond: signalled when @stopping is set
 * @stopping: whether pd_config_sync_stop() was called
 * @loaded: whether the configuration, which may be empty, was received from the platform or a peer;
 *	atomic
 * @reachable: result of pd_config_sync_platform_reachable(); atomic
 * @registered: whether the member record of this instance is stored in the platform; used by the
 *	maintenance thread, and after its end by pd_config_sync_stop()
 * @confirmed: whether the platform's list has confirmed the member table; used by the maintenance
 *	thread only
 * @history: latest commands, at index version modulo HISTORY_ENTRIES_MAX, for requests of
 *	peers
 * @history_version: version of each command in @history
 * @last_request_us: time of the last request for entries to a peer, in microseconds of
 *	pd_os_now_us()
 * @watches: one watch for each prefix
 * @platform: client for the platform, used by the maintenance thread
 * @maintenance_thread: registers this instance, confirms the member table, polls the list of
 *	instances and deletes records of dead members
 * @maintenance_started: whether @maintenance_thread is running
 */
struct pd_config_sync {
	struct pd_config_sync_setup setup;
	pthread_mutex_t mutex;
	pthread_cond_t stop_cond;
	bool stopping;
	int loaded;
	int reachable;
	bool registered;
	bool confirmed;
	struct pd_buf history[HISTORY_ENTRIES_MAX];
	uint64_t history_version[HISTORY_ENTRIES_MAX];
	int64_t last_request_us;
	struct watch watches[WATCH_COUNT];
	struct pd_platform platform;
	pthread_t maintenance_thread;
	bool maintenance_started;
};

static const char *const watch_prefixes[WATCH_COUNT] = {PD_CONFIG_LOG_PREFIX, MEMBERS_PREFIX,
							INDEX_PREFIX};

enum pd_code pd_config_sync_open(struct pd_config_sync **out,
				 const struct pd_config_sync_setup *setup, struct pd_error *err)
{
	struct pd_config_sync *sync = calloc(1, sizeof(*sync));
	enum pd_code code;

	*out = NULL;
	if (!sync)
		return pd_error_set(err, PD_LAYER_COORDINATION, PD_NO_MEMORY,
				    "out of memory for the synchronisation of the configuration");
	sync->setup = *setup;
	pthread_mutex_init(&sync->mutex, NULL);
	pd_os_cond_init(&sync->stop_cond);
	code = pd_platform_open(&sync->platform, &setup->platform, err);
	for (int i = 0; i < WATCH_COUNT && code == PD_OK; i++) {
		sync->watches[i].sync = sync;
		sync->watches[i].prefix = watch_prefixes[i];
		code = pd_platform_open(&sync->watches[i].platform, &setup->platform, err);
	}
	if (code != PD_OK) {
		pd_config_sync_close(sync);
		return pd_error_wrap(err, PD_LAYER_COORDINATION, code, "configuration");
	}
	*out = sync;
	return PD_OK;
}

void pd_config_sync_close(struct pd_config_sync *sync)
{
	if (!sync)
		return;
	for (int i = 0; i < WATCH_COUNT; i++)
		pd_platform_close(&sync->watches[i].platform);
	pd_platform_close(&sync->platform);
	for (int i = 0; i < HISTORY_ENTRIES_MAX; i++)
		pd_buf_finish(&sync->history[i]);
	pthread_cond_destroy(&sync->stop_cond);
	pthread_mutex_destroy(&sync->mutex);
	free(sync);
}

bool pd_config_sync_loaded(struct pd_config_sync *sync)
{
	return ck_pr_load_int(&sync->loaded) != 0;
}

bool pd_config_sync_platform_reachable(struct pd_config_sync *sync)
{
	return ck_pr_load_int(&sync->reachable) != 0;
}

/* Records whether a call that returned @code reached the platform, where a reply with a 5xx status
 * counts as not reached, and logs a change. */
static void record_platform_result(struct pd_config_sync *sync, enum pd_code code)
{
	int reachable = code != PD_UNAVAILABLE && code != PD_UNKNOWN_OUTCOME;

	if (code == PD_CANCELLED || ck_pr_fas_int(&sync->reachable, reachable) == reachable)
		return;
	pd_log(reachable ? PD_LOG_INFO : PD_LOG_WARNING,
	       reachable ? "platform_reachable" : "platform_unreachable", "code=%s",
	       pd_strerror(code));
}

static bool is_stopping(struct pd_config_sync *sync)
{
	bool stopping;

	pthread_mutex_lock(&sync->mutex);
	stopping = sync->stopping;
	pthread_mutex_unlock(&sync->mutex);
	return stopping;
}

/* Sleeps for @us; returns early when pd_config_sync_stop() is called. */
static void sleep_unless_stopping(struct pd_config_sync *sync, int64_t us)
{
	int64_t deadline_us = pd_os_now_us() + us;

	pthread_mutex_lock(&sync->mutex);
	while (!sync->stopping &&
	       pd_os_cond_wait_until(&sync->stop_cond, &sync->mutex, deadline_us))
		;
	pthread_mutex_unlock(&sync->mutex);
}

static uint64_t current_version(struct pd_config_sync *sync)
{
	struct pd_config *config = pd_config_holder_read(sync->setup.config);
	uint64_t version = config->version;

	pd_config_put(config);
	return version;
}

/* Makes @next the current configuration if it is newer. Called with the mutex held. */
static void set_current_config(struct pd_config_sync *sync, struct pd_config *next)
{
	uint64_t version = next->version;

	if (!pd_config_holder_advance(sync->setup.config, next))
		return;
	pd_count_set(PD_COUNT_config_version, version);
	ck_pr_store_int(&sync->loaded, 1);
	pd_log(PD_LOG_INFO, "config_in_force", "version=%" PRIu64, version);
	sync->setup.on_config_changed(sync->setup.arg);
}

/*
 * Applies one entry. Returns true if it was applied now or before, false if earlier entries are
 * missing or memory ran out. Called with the mutex held.
 */
static bool apply_entry(struct pd_config_sync *sync, uint64_t version, struct pd_str text)
{
	struct pd_config *config = pd_config_holder_read(sync->setup.config);
	uint32_t slot = version % HISTORY_ENTRIES_MAX;
	struct pd_command command = {0};
	struct pd_config *next = NULL;
	struct pd_error err = {0};
	enum pd_code code;

	if (version != config->version + 1) {
		bool already_applied = version <= config->version;

		pd_config_put(config);
		return already_applied;
	}
	code = pd_command_parse(&command, text, &err);
	if (code == PD_OK) {
		code = pd_config_apply(config, &command, &next, &err);
		pd_command_finish(&command);
	}
	if (code != PD_OK) {
		/* Skip the entry but count its version, so that a version means the same log entry
		 * in every process. */
		pd_log_failure(PD_LOG_WARNING, "config_entry_skipped", &err);
		code = pd_config_skip(config, &next, &err);
	}
	pd_config_put(config);
	if (code != PD_OK)
		return false;
	pd_buf_clear(&sync->history[slot]);
	pd_buf_append_str(&sync->history[slot], text);
	sync->history_version[slot] = version;
	pd_count(PD_COUNT_config_entries_applied);
	set_current_config(sync, next);
	return true;
}

/*
 * Builds a message with the commands of versions @first to @last, up to the first one that isn't in
 * the history. Called with the mutex held.
 */
static void build_entries(struct pd_config_sync *sync, uint64_t first, uint64_t last,
			  struct pd_str *commands, struct pd_message *msg)
{
	msg->type = PD_MSG_CONFIG_ENTRIES;
	msg->config_entries.first = first;
	msg->config_entries.commands = commands;
	msg->config_entries.count = 0;
	for (uint64_t v = first; v <= last && v - first < HISTORY_ENTRIES_MAX; v++) {
		if (sync->history_version[v % HISTORY_ENTRIES_MAX] != v)
			return;
		commands[v - first] = pd_buf_str(&sync->history[v % HISTORY_ENTRIES_MAX]);
		msg->config_entries.count++;
	}
}

/* Sends the commands of versions @first to @last to the peers of this zone. */
static void forward_entries(struct pd_config_sync *sync, uint64_t first, uint64_t last)
{
	struct pd_str commands[HISTORY_ENTRIES_MAX];
	struct pd_message msg = {0};

	pthread_mutex_lock(&sync->mutex);
	build_entries(sync, first, last, commands, &msg);
	if (msg.config_entries.count)
		sync->setup.broadcast(sync->setup.arg, &msg, true);
	pthread_mutex_unlock(&sync->mutex);
}

/* Reads entry @version from the platform and applies it. */
static enum pd_code fetch_entry(struct pd_config_sync *sync, struct pd_platform *platform,
				uint64_t version, struct pd_error *err)
{
	struct pd_config_entry entry;
	enum pd_code code = pd_config_entry_read(platform, version, &entry, err);

	if (code == PD_OK) {
		pthread_mutex_lock(&sync->mutex);
		apply_entry(sync, version, pd_buf_str(&entry.command));
		pthread_mutex_unlock(&sync->mutex);
	}
	pd_config_entry_finish(&entry);
	return code;
}

/* Reads config/snapshot and makes it the current configuration if it is newer. */
static enum pd_code load_snapshot(struct pd_config_sync *sync, struct pd_platform *platform,
				  struct pd_error *err)
{
	struct pd_object object;
	struct pd_config *config = NULL;
	enum pd_code code = pd_platform_get(platform, "config/snapshot", &object, err);
	json_t *json;
	const char *text;
	uint64_t version;

	if (code == PD_NOT_FOUND)
		return PD_OK;
	if (code != PD_OK)
		return code;
	json = json_loadb(object.value.data, object.value.len, 0, NULL);
	text = json_string_value(json_object_get(json, "text"));
	version = (uint64_t)json_integer_value(json_object_get(json, "version"));
	if (!text)
		code = pd_error_set(err, PD_LAYER_COORDINATION, PD_INVALID,
				    "config/snapshot has no member \"text\"");
	else if (version > current_version(sync))
		code = pd_config_from_text(pd_str_from(text), version, &config, err);
	if (config) {
		pthread_mutex_lock(&sync->mutex);
		set_current_config(sync, config);
		pthread_mutex_unlock(&sync->mutex);
	}
	json_decref(json);
	pd_object_finish(&object);
	return code;
}

/* Reads the snapshot if @with_snapshot, then entries up to the end of the log, and forwards them to
 * the peers of this zone. */
static enum pd_code catch_up(struct pd_config_sync *sync, struct pd_platform *platform,
			     bool with_snapshot, struct pd_error *err)
{
	uint64_t version_before = current_version(sync);
	enum pd_code code = with_snapshot ? load_snapshot(sync, platform, err) : PD_OK;

	while (code == PD_OK && !is_stopping(sync))
		code = fetch_entry(sync, platform, current_version(sync) + 1, err);
	record_platform_result(sync, code);
	if (code != PD_NOT_FOUND)
		return code;
	ck_pr_store_int(&sync->loaded, 1);
	if (current_version(sync) > version_before)
		forward_entries(sync, version_before + 1, current_version(sync));
	return PD_OK;
}

static void apply_config_events(struct pd_config_sync *sync, struct pd_platform *platform,
				const struct pd_object_list *events)
{
	uint64_t version_before = current_version(sync);
	bool entries_missing = false;

	for (size_t i = 0; i < events->count; i++) {
		struct pd_config_entry entry;

		if (!events->items[i].deleted && pd_config_entry_parse(&entry, &events->items[i])) {
			pthread_mutex_lock(&sync->mutex);
			entries_missing |=
				!apply_entry(sync, entry.version, pd_buf_str(&entry.command));
			pthread_mutex_unlock(&sync->mutex);
			pd_config_entry_finish(&entry);
		}
	}
	if (current_version(sync) > version_before)
		forward_entries(sync, version_before + 1, current_version(sync));
	if (entries_missing)
		catch_up(sync, platform, true, NULL);
}

static bool parse_member_record(const struct pd_object *object, struct pd_member_record *record)
{
	json_t *json = json_loadb(object->value.data ? object->value.data : "", object->value.len,
				  0, NULL);
	const char *zone = json_string_value(json_object_get(json, "zone"));
	const char *address = json_string_value(json_object_get(json, "address"));
	json_t *incarnation = json_object_get(json, "incarnation");
	bool valid;

	memset(record, 0, sizeof(*record));
	valid = zone && address && json_is_integer(incarnation) &&
		pd_name_set(&record->name, pd_str_from(object->key + strlen(MEMBERS_PREFIX))) &&
		pd_name_set(&record->zone, pd_str_from(zone)) &&
		pd_address_parse(pd_str_from(address), &record->address, NULL) == PD_OK;
	if (valid)
		record->incarnation = (uint64_t)json_integer_value(incarnation);
	json_decref(json);
	return valid;
}

static void apply_member_events(struct pd_config_sync *sync, const struct pd_object_list *events)
{
	struct pd_member_record records[64];
	struct pd_message msg = {.type = PD_MSG_MEMBERS};
	uint32_t changed_count = 0;

	for (size_t i = 0; i < events->count; i++) {
		struct pd_member_record record;

		/* Ignore deletions: a record is deleted after the member left or was declared dead,
		 * which the peers of its zone detect themselves. */
		if (events->items[i].deleted || !parse_member_record(&events->items[i], &record))
			continue;
		if (pd_members_merge(sync->setup.members, &record, pd_os_now_us()) &&
		    changed_count < 64)
			records[changed_count++] = record;
	}
	if (!changed_count)
		return;
	msg.members.records = records;
	msg.members.count = changed_count;
	sync->setup.broadcast(sync->setup.arg, &msg, true);
}

static void apply_index_object(struct pd_config_sync *sync, const struct pd_object *object)
{
	json_t *json = json_loadb(object->value.data ? object->value.data : "", object->value.len,
				  0, NULL);
	struct pd_message msg = {.type = PD_MSG_INDEX};

	msg.index.snapshot = (uint64_t)json_integer_value(json_object_get(json, "snapshot"));
	msg.index.buckets = (uint32_t)json_integer_value(json_object_get(json, "buckets"));
	json_decref(json);
	if (!msg.index.snapshot ||
	    !pd_name_set(&msg.index.collection, pd_str_from(object->key + strlen(INDEX_PREFIX))))
		return;
	if (pd_index_table_update(sync->setup.index, pd_name_str(&msg.index.collection),
				  msg.index.snapshot, msg.index.buckets))
		sync->setup.broadcast(sync->setup.arg, &msg, true);
}

static void apply_events(struct pd_config_sync *sync, struct watch *watch,
			 const struct pd_object_list *events)
{
	if (!strcmp(watch->prefix, PD_CONFIG_LOG_PREFIX)) {
		apply_config_events(sync, &watch->platform, events);
		return;
	}
	if (!strcmp(watch->prefix, MEMBERS_PREFIX)) {
		apply_member_events(sync, events);
		return;
	}
	for (size_t i = 0; i < events->count; i++) {
		if (!events->items[i].deleted)
			apply_index_object(sync, &events->items[i]);
	}
}

/*
 * Lists the prefix to get its objects and the revision from which to watch. A list of the log would
 * return every entry, so for the log the revision comes from an empty list and catch_up() reads the
 * entries.
 */
static enum pd_code list_prefix(struct pd_config_sync *sync, struct watch *watch,
				struct pd_error *err)
{
	bool is_log = !strcmp(watch->prefix, PD_CONFIG_LOG_PREFIX);
	struct pd_object_list list;
	enum pd_code code;

	code = pd_platform_list(&watch->platform, is_log ? "config/none" : watch->prefix, &list,
				err);
	record_platform_result(sync, code);
	if (code != PD_OK)
		return code;
	watch->after = list.revision;
	if (is_log)
		code = catch_up(sync, &watch->platform, true, err);
	else
		apply_events(sync, watch, &list);
	watch->listed = code == PD_OK;
	pd_object_list_finish(&list);
	return code;
}

/* Lists the prefix if necessary; otherwise waits for events and applies them. */
static enum pd_code poll_watch(struct pd_config_sync *sync, struct watch *watch,
			       struct pd_error *err)
{
	struct pd_object_list events;
	enum pd_code code;

	if (!watch->listed)
		return list_prefix(sync, watch, err);
	code = pd_platform_watch(&watch->platform, watch->prefix, watch->after, PD_WATCH_WAIT_US,
				 &events, err);
	record_platform_result(sync, code);
	if (code == PD_NOT_FOUND) {
		watch->listed = false;
		return PD_OK;
	}
	if (code != PD_OK)
		return code;
	if (events.revision > watch->after)
		watch->after = events.revision;
	apply_events(sync, watch, &events);
	pd_object_list_finish(&events);
	return PD_OK;
}

static void *run_watch_thread(void *arg)
{
	struct watch *watch = arg;
	struct pd_config_sync *sync = watch->sync;
	int64_t backoff_us = WATCH_BACKOFF_MIN_US;

	while (!is_stopping(sync)) {
		struct pd_error err = {0};

		if (!pd_members_is_watcher(sync->setup.members, pd_os_now_us())) {
			watch->listed = false;
			sleep_unless_stopping(sync, WATCHER_CHECK_INTERVAL_US);
			continue;
		}
		if (poll_watch(sync, watch, &err) == PD_OK) {
			backoff_us = WATCH_BACKOFF_MIN_US;
			continue;
		}
		sleep_unless_stopping(sync, backoff_us);
		backoff_us = backoff_us * 2 < WATCH_BACKOFF_MAX_US ? backoff_us * 2
								   : WATCH_BACKOFF_MAX_US;
	}
	return NULL;
}

/*
 * Confirms the member table once the platform's list includes the record of this instance. A member
 * that isn't on such a list registers later, finds this instance on the list and requests a lease
 * grant from it, so the table is complete. A list without the record is older than the
 * registration.
 */
static enum pd_code confirm_members(struct pd_config_sync *sync, struct pd_error *err)
{
	const struct pd_member_record *self = &sync->setup.self;
	struct pd_object_list list;
	struct pd_member_record record;
	bool listed = false;
	enum pd_code code = pd_platform_list(&sync->platform, MEMBERS_PREFIX, &list, err);

	if (code != PD_OK)
		return code;
	apply_member_events(sync, &list);
	for (size_t i = 0; i < list.count && !listed; i++)
		listed = parse_member_record(&list.items[i], &record) &&
			 pd_name_equal(&record.name, &self->name) &&
			 record.incarnation == self->incarnation;
	pd_object_list_finish(&list);
	if (!listed)
		return pd_error_set(
			err, PD_LAYER_COORDINATION, PD_CONFLICT,
			"the platform's list of members does not include this instance yet");
	pd_members_confirm(sync->setup.members);
	sync->confirmed = true;
	return PD_OK;
}

/* Reads the configuration, the member records and the index versions once at the start. */
static enum pd_code load_initial_state(struct pd_config_sync *sync, struct pd_error *err)
{
	struct pd_object_list list;
	enum pd_code code = catch_up(sync, &sync->platform, true, err);

	if (code != PD_OK)
		return code;
	code = pd_platform_list(&sync->platform, MEMBERS_PREFIX, &list, err);
	if (code != PD_OK)
		return code;
	apply_member_events(sync, &list);
	pd_object_list_finish(&list);
	code = pd_platform_list(&sync->platform, INDEX_PREFIX, &list, err);
	if (code != PD_OK)
		return code;
	for (size_t i = 0; i < list.count; i++)
		apply_index_object(sync, &list.items[i]);
	pd_object_list_finish(&list);
	return PD_OK;
}

static void member_key(const struct pd_name *name, char *key, size_t size)
{
	snprintf(key, size, MEMBERS_PREFIX "%s", name->text);
}

/* Writes the member record of this instance to the platform. */
static enum pd_code register_self(struct pd_config_sync *sync, struct pd_error *err)
{
	const struct pd_member_record *self = &sync->setup.self;
	char address[PD_ADDRESS_TEXT_MAX_BYTES];
	struct pd_object object;
	uint64_t version = 0;
	char value[256];
	char key[128];
	enum pd_code code;

	member_key(&self->name, key, sizeof(key));
	code = pd_platform_get(&sync->platform, key, &object, err);
	if (code == PD_OK) {
		version = object.version;
		pd_object_finish(&object);
	} else if (code != PD_NOT_FOUND) {
		return code;
	}
	pd_address_format(&self->address, address, sizeof(address));
	snprintf(value, sizeof(value),
		 "{\"zone\":\"%s\",\"address\":\"%s\",\"incarnation\":%" PRIu64 "}",
		 self->zone.text, address, self->incarnation);
	code = pd_platform_put(&sync->platform, key, pd_str_from(value), version, NULL, err);
	if (code == PD_OK)
		sync->registered = true;
	return code;
}

/* Deletes the member record of @name unless it belongs to a newer incarnation. */
static enum pd_code delete_member_record(struct pd_config_sync *sync, const struct pd_name *name,
					 uint64_t incarnation, struct pd_error *err)
{
	struct pd_member_record record;
	struct pd_object object;
	uint64_t version;
	char key[128];
	bool deletable;
	enum pd_code code;

	member_key(name, key, sizeof(key));
	code = pd_platform_get(&sync->platform, key, &object, err);
	if (code != PD_OK)
		return code;
	version = object.version;
	deletable = parse_member_record(&object, &record) && record.incarnation <= incarnation;
	pd_object_finish(&object);
	if (!deletable)
		return PD_OK;
	return pd_platform_delete(&sync->platform, key, version, err);
}

/* Deletes the platform's records of dead members of this zone, which can't delete them themselves.
 */
static void delete_dead_records(struct pd_config_sync *sync)
{
	struct pd_member_record *records = calloc(PD_MEMBERS_MAX, sizeof(*records));
	struct pd_object_list list;
	size_t count;

	if (!records)
		return;
	count = pd_members_list(sync->setup.members, records, PD_MEMBERS_MAX);
	if (pd_platform_list(&sync->platform, MEMBERS_PREFIX, &list, NULL) != PD_OK) {
		free(records);
		return;
	}
	for (size_t i = 0; i < list.count; i++) {
		struct pd_member_record listed;

		if (!parse_member_record(&list.items[i], &listed) ||
		    !pd_name_equal(&listed.zone, &sync->setup.self.zone))
			continue;
		for (size_t k = 0; k < count; k++) {
			if (pd_name_equal(&records[k].name, &listed.name) &&
			    records[k].state == PD_MEMBER_DEAD &&
			    records[k].incarnation >= listed.incarnation)
				delete_member_record(sync, &listed.name, records[k].incarnation,
						     NULL);
		}
	}
	pd_object_list_finish(&list);
	free(records);
}

/* Returns whether the platform's list has an entry instance with this name. */
static bool is_listed(const struct pd_instance_entry *entries, size_t count,
		      const struct pd_name *name)
{
	for (size_t i = 0; i < count; i++) {
		if (!entries[i].is_upstream && pd_name_equal(&entries[i].name, name))
			return true;
	}
	return false;
}

/*
 * Marks silent members as dead if they aren't on the platform's list, and sends their records to
 * the peers of this zone. A lost host never refuses connections, so without this check the other
 * members would share its upstreams with it forever. A list without this instance is incomplete, so
 * it is ignored.
 */
static void mark_lost_members_dead(struct pd_config_sync *sync,
				   const struct pd_instance_entry *entries, size_t count,
				   const struct pd_member_record *silent, size_t silent_count)
{
	struct pd_member_record dead[LOST_MEMBERS_MAX];
	struct pd_message msg = {.type = PD_MSG_MEMBERS, .members = {.records = dead}};

	if (!is_listed(entries, count, &sync->setup.self.name))
		return;
	for (size_t i = 0; i < silent_count; i++) {
		if (is_listed(entries, count, &silent[i].name) ||
		    !pd_members_mark_lost(sync->setup.members, &silent[i],
					  PD_MEMBER_LOST_TIMEOUT_US, pd_os_now_us()))
			continue;
		dead[msg.members.count] = silent[i];
		dead[msg.members.count++].state = PD_MEMBER_DEAD;
		pd_log(PD_LOG_WARNING, "member_lost", "member=%s incarnation=%" PRIu64,
		       silent[i].name.text, silent[i].incarnation);
	}
	if (msg.members.count)
		sync->setup.broadcast(sync->setup.arg, &msg, true);
}

static void poll_instances(struct pd_config_sync *sync)
{
	struct pd_member_record silent[LOST_MEMBERS_MAX];
	struct pd_instance_entry *entries;
	size_t silent_count;
	size_t count;

	/* Collect the silent members first, so that the list is read after they became silent. */
	silent_count = pd_members_list_silent(sync->setup.members, PD_MEMBER_LOST_TIMEOUT_US,
					      pd_os_now_us(), silent, LOST_MEMBERS_MAX);
	if (pd_platform_instances(&sync->platform, &entries, &count, NULL) != PD_OK)
		return;
	mark_lost_members_dead(sync, entries, count, silent, silent_count);
	for (size_t i = 0; i < count; i++) {
		if (entries[i].is_upstream)
			sync->setup.on_upstream_leaving(sync->setup.arg,
							pd_name_str(&entries[i].name),
							entries[i].is_leaving);
	}
	free(entries);
}

static void *run_maintenance(void *arg)
{
	struct pd_config_sync *sync = arg;
	bool initial_state_loaded = false;
	uint64_t round = 0;

	/* A round starts 0.5 s after the end of the previous one, or 0.1 s until the member table
	 * is confirmed. */
	for (; !is_stopping(sync); round++) {
		struct pd_error err = {0};

		if (!initial_state_loaded)
			initial_state_loaded = load_initial_state(sync, &err) == PD_OK;
		if (initial_state_loaded && !sync->registered)
			record_platform_result(sync, register_self(sync, &err));
		if (sync->registered && !sync->confirmed)
			record_platform_result(sync, confirm_members(sync, &err));
		/* At most one warning per second, since these rounds are at least 0.1 s apart. */
		if (err.code && !initial_state_loaded && round % 10 == 0)
			pd_log_failure(PD_LOG_WARNING, "platform_load_failed", &err);
		if (initial_state_loaded &&
		    pd_members_is_watcher(sync->setup.members, pd_os_now_us())) {
			/* With a confirmed table, polls the instances every 1 s and deletes the
			 * records of dead members every 10 s, plus the time of the calls. */
			if (round % 2 == 0)
				poll_instances(sync);
			if (round % 20 == 19)
				delete_dead_records(sync);
		}
		sleep_unless_stopping(sync, sync->confirmed ? MAINTENANCE_INTERVAL_US
							    : MAINTENANCE_INTERVAL_US / 5);
	}
	return NULL;
}

enum pd_code pd_config_sync_start(struct pd_config_sync *sync, struct pd_error *err)
{
	enum pd_code code;

	code = pd_os_thread_start(&sync->maintenance_thread, "platform", run_maintenance, sync,
				  err);
	if (code != PD_OK)
		return code;
	sync->maintenance_started = true;
	for (int i = 0; i < WATCH_COUNT; i++) {
		struct watch *watch = &sync->watches[i];

		code = pd_os_thread_start(&watch->thread, "watch", run_watch_thread, watch, err);
		if (code != PD_OK)
			return code;
		watch->started = true;
	}
	return PD_OK;
}

void pd_config_sync_stop(struct pd_config_sync *sync, int64_t timeout_us)
{
	int64_t stop_deadline_us = pd_os_now_us() + timeout_us;

	pthread_mutex_lock(&sync->mutex);
	sync->stopping = true;
	pthread_cond_broadcast(&sync->stop_cond);
	pthread_mutex_unlock(&sync->mutex);
	if (sync->maintenance_started)
		pthread_join(sync->maintenance_thread, NULL);
	sync->maintenance_started = false;
	for (int i = 0; i < WATCH_COUNT; i++) {
		if (!sync->watches[i].started)
			continue;
		pd_http_client_cancel(sync->watches[i].platform.http);
		pthread_join(sync->watches[i].thread, NULL);
		sync->watches[i].started = false;
	}
	while (sync->registered && pd_os_now_us() < stop_deadline_us) {
		enum pd_code code = delete_member_record(sync, &sync->setup.self.name,
							 sync->setup.self.incarnation, NULL);

		if (code == PD_OK || code == PD_NOT_FOUND)
			sync->registered = false;
		else
			pd_os_sleep_us(MAINTENANCE_INTERVAL_US / 5); /* 0.1 s */
	}
}

void pd_config_sync_handle_peer_config_version(struct pd_config_sync *sync, struct pd_link *link,
					       uint64_t version)
{
	struct pd_message msg = {.type = PD_MSG_CONFIG_WANT};
	int64_t now_us = pd_os_now_us();
	bool request_allowed = false;

	msg.config_want.after = current_version(sync);
	if (version <= msg.config_want.after)
		return;
	pthread_mutex_lock(&sync->mutex);
	if (now_us - sync->last_request_us >= REQUEST_INTERVAL_US) {
		sync->last_request_us = now_us;
		request_allowed = true;
	}
	pthread_mutex_unlock(&sync->mutex);
	if (request_allowed)
		pd_link_send(link, &msg, NULL);
}

/* Sends the whole configuration to a peer. */
static void send_config(struct pd_config_sync *sync, struct pd_link *link)
{
	struct pd_config *config = pd_config_holder_read(sync->setup.config);
	struct pd_message msg = {.type = PD_MSG_CONFIG_STATE};
	struct pd_buf text;

	pd_buf_init(&text, 0);
	pd_config_print(config, &text);
	msg.config_state.version = config->version;
	msg.config_state.text = pd_buf_str(&text);
	pd_link_send(link, &msg, NULL);
	pd_buf_finish(&text);
	pd_config_put(config);
}

void pd_config_sync_send_index(struct pd_config_sync *sync, struct pd_link *link)
{
	struct pd_index_entry entry;

	for (uint32_t i = 0; pd_index_table_at(sync->setup.index, i, &entry); i++) {
		struct pd_message msg = {
			.type = PD_MSG_INDEX,
			.index = {entry.collection, entry.snapshot, entry.buckets},
		};

		pd_link_send(link, &msg, NULL);
	}
}

/* Sends the entries after version @after, or the whole configuration if the history lacks them. */
static void answer_entries_request(struct pd_config_sync *sync, struct pd_link *link,
				   uint64_t after)
{
	uint64_t version = current_version(sync);
	struct pd_str commands[HISTORY_ENTRIES_MAX];
	struct pd_message msg = {0};
	bool has_entries;

	if (after >= version)
		return;
	pthread_mutex_lock(&sync->mutex);
	build_entries(sync, after + 1, version, commands, &msg);
	has_entries = msg.config_entries.count > 0;
	if (has_entries)
		pd_link_send(link, &msg, NULL);
	pthread_mutex_unlock(&sync->mutex);
	if (!has_entries)
		send_config(sync, link);
}

/* Applies entries from a peer. If entries between the current version and these are missing,
 * requests them. */
static void apply_peer_entries(struct pd_config_sync *sync, struct pd_link *link,
			       const struct pd_msg_config_entries *entries)
{
	bool applied = true;

	pthread_mutex_lock(&sync->mutex);
	for (uint32_t i = 0; i < entries->count && applied; i++)
		applied = apply_entry(sync, entries->first + i, entries->commands[i]);
	pthread_mutex_unlock(&sync->mutex);
	if (!applied)
		pd_config_sync_handle_peer_config_version(sync, link,
							  entries->first + entries->count - 1);
}

/* Makes a whole configuration from a peer the current one if it is newer. */
static void apply_peer_config(struct pd_config_sync *sync, const struct pd_msg_config_state *state)
{
	struct pd_config *config = NULL;
	struct pd_error err = {0};

	if (state->version <= current_version(sync))
		return;
	if (pd_config_from_text(state->text, state->version, &config, &err) != PD_OK) {
		pd_log_failure(PD_LOG_WARNING, "config_state_malformed", &err);
		return;
	}
	pthread_mutex_lock(&sync->mutex);
	set_current_config(sync, config);
	pthread_mutex_unlock(&sync->mutex);
}

void pd_config_sync_handle_message(struct pd_config_sync *sync, struct pd_link *link,
				   const struct pd_message *msg)
{
	switch (msg->type) {
	case PD_MSG_CONFIG_WANT:
		/* Send the index versions first, because the peer may accept queries as soon as it
		 * has a configuration. */
		pd_config_sync_send_index(sync, link);
		answer_entries_request(sync, link, msg->config_want.after);
		break;
	case PD_MSG_CONFIG_ENTRIES:
		apply_peer_entries(sync, link, &msg->config_entries);
		break;
	case PD_MSG_CONFIG_STATE:
		apply_peer_config(sync, &msg->config_state);
		break;
	case PD_MSG_INDEX:
		pd_index_table_update(sync->setup.index, pd_name_str(&msg->index.collection),
				      msg->index.snapshot, msg->index.buckets);
		break;
	default:
		break;
	}
}
