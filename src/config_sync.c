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

#define HISTORY_ENTRIES	     PD_CONFIG_ENTRIES_MAX
#define CHORES_INTERVAL_US   (500 * PD_USEC_PER_MSEC)
#define WATCH_IDLE_US	     (100 * PD_USEC_PER_MSEC)
#define WATCH_RETRY_MIN_US   (100 * PD_USEC_PER_MSEC)
#define WATCH_RETRY_MAX_US   (2 * PD_USEC_PER_SEC)
#define WANT_INTERVAL_US     (100 * PD_USEC_PER_MSEC)
#define PD_CONFIG_LOG_PREFIX "config/log/"
#define MEMBERS_PREFIX	     "members/"
#define INDEX_PREFIX	     "index/"
#define WATCH_COUNT	     3
#define LOST_MAX	     64 /* members found lost by one read of the platform's list */

struct pd_config_sync;

/**
 * struct watch - one watched prefix
 * @thread: reads the watch while this instance is a watcher of its zone
 * @after: revision up to which events were seen
 * @listed: @after is valid
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
 * @mutex: guards applying entries, @history and the condition below
 * @wake: signalled when stopping
 * @history: latest commands by version modulo HISTORY_ENTRIES, to answer peers that are behind
 * @registered: this instance's record was written; chores thread only, like @confirmed
 * @confirmed: the member table was confirmed by the platform's list
 * @last_want_us: a peer was asked for entries then
 */
struct pd_config_sync {
	struct pd_config_sync_setup setup;
	pthread_mutex_t mutex;
	pthread_cond_t wake;
	bool stopping;
	int loaded;
	int reachable;
	bool registered;
	bool confirmed;
	struct pd_buf history[HISTORY_ENTRIES];
	uint64_t history_version[HISTORY_ENTRIES];
	int64_t last_want_us;
	struct watch watches[WATCH_COUNT];
	struct pd_platform platform;
	pthread_t chores_thread;
	bool chores_started;
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
		return pd_error_set(err, PD_LAYER_COORDINATION, PD_NO_MEMORY, "no memory");
	sync->setup = *setup;
	pthread_mutex_init(&sync->mutex, NULL);
	pd_os_cond_init(&sync->wake);
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
	for (int i = 0; i < HISTORY_ENTRIES; i++)
		pd_buf_finish(&sync->history[i]);
	pthread_cond_destroy(&sync->wake);
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

static void note_platform(struct pd_config_sync *sync, enum pd_code code)
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

/* Sleeps, or returns early when stopping. */
static void pause_for(struct pd_config_sync *sync, int64_t us)
{
	int64_t until = pd_os_now_us() + us;

	pthread_mutex_lock(&sync->mutex);
	while (!sync->stopping && pd_os_cond_wait_until(&sync->wake, &sync->mutex, until))
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

/* Puts @next in force. Called with the mutex held. */
static void advance(struct pd_config_sync *sync, struct pd_config *next)
{
	uint64_t version = next->version;

	if (!pd_config_holder_advance(sync->setup.config, next))
		return;
	pd_count_set(PD_COUNT_config_version, version);
	ck_pr_store_int(&sync->loaded, 1);
	pd_log(PD_LOG_INFO, "config_in_force", "version=%" PRIu64, version);
	sync->setup.on_config_changed(sync->setup.arg);
}

/* Applies one entry; false when it doesn't follow the version in force. Called with the mutex held.
 */
static bool apply_entry(struct pd_config_sync *sync, uint64_t version, struct pd_str text)
{
	struct pd_config *config = pd_config_holder_read(sync->setup.config);
	uint32_t slot = version % HISTORY_ENTRIES;
	struct pd_command command = {0};
	struct pd_config *next = NULL;
	struct pd_error err = {0};
	enum pd_code code;

	if (version != config->version + 1) {
		bool known = version <= config->version;

		pd_config_put(config);
		return known;
	}
	code = pd_command_parse(&command, text, &err);
	if (code == PD_OK) {
		code = pd_config_apply(config, &command, &next, &err);
		pd_command_finish(&command);
	}
	if (code != PD_OK) {
		/* Every process must skip the same entries, so that versions mean the same
		 * everywhere. */
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
	advance(sync, next);
	return true;
}

/* Tells peers about commands [first, last] as far as the history has them. Mutex held. */
static void build_entries(struct pd_config_sync *sync, uint64_t first, uint64_t last,
			  struct pd_str *commands, struct pd_message *msg)
{
	msg->type = PD_MSG_CONFIG_ENTRIES;
	msg->config_entries.first = first;
	msg->config_entries.commands = commands;
	msg->config_entries.count = 0;
	for (uint64_t v = first; v <= last && v - first < HISTORY_ENTRIES; v++) {
		if (sync->history_version[v % HISTORY_ENTRIES] != v)
			return;
		commands[v - first] = pd_buf_str(&sync->history[v % HISTORY_ENTRIES]);
		msg->config_entries.count++;
	}
}

static void forward_entries(struct pd_config_sync *sync, uint64_t first, uint64_t last)
{
	struct pd_str commands[HISTORY_ENTRIES];
	struct pd_message msg = {0};

	pthread_mutex_lock(&sync->mutex);
	build_entries(sync, first, last, commands, &msg);
	if (msg.config_entries.count)
		sync->setup.broadcast(sync->setup.arg, &msg, true);
	pthread_mutex_unlock(&sync->mutex);
}

/* Reads the one entry @version from the platform and applies it. */
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
				    "config/snapshot has no text");
	else if (version > current_version(sync))
		code = pd_config_from_text(pd_str_from(text), version, &config, err);
	if (config) {
		pthread_mutex_lock(&sync->mutex);
		advance(sync, config);
		pthread_mutex_unlock(&sync->mutex);
	}
	json_decref(json);
	pd_object_finish(&object);
	return code;
}

/* Reads the snapshot when far behind, then entries one by one until there is none. */
static enum pd_code catch_up(struct pd_config_sync *sync, struct pd_platform *platform,
			     bool with_snapshot, struct pd_error *err)
{
	uint64_t before = current_version(sync);
	enum pd_code code = with_snapshot ? load_snapshot(sync, platform, err) : PD_OK;

	while (code == PD_OK && !is_stopping(sync))
		code = fetch_entry(sync, platform, current_version(sync) + 1, err);
	note_platform(sync, code);
	if (code != PD_NOT_FOUND)
		return code;
	ck_pr_store_int(&sync->loaded, 1);
	if (current_version(sync) > before)
		forward_entries(sync, before + 1, current_version(sync));
	return PD_OK;
}

static void learn_config_events(struct pd_config_sync *sync, struct pd_platform *platform,
				const struct pd_object_list *events)
{
	uint64_t before = current_version(sync);
	bool gap = false;

	for (size_t i = 0; i < events->count; i++) {
		struct pd_config_entry entry;

		if (!events->items[i].deleted && pd_config_entry_parse(&entry, &events->items[i])) {
			pthread_mutex_lock(&sync->mutex);
			gap |= !apply_entry(sync, entry.version, pd_buf_str(&entry.command));
			pthread_mutex_unlock(&sync->mutex);
			pd_config_entry_finish(&entry);
		}
	}
	if (current_version(sync) > before)
		forward_entries(sync, before + 1, current_version(sync));
	if (gap)
		catch_up(sync, platform, true, NULL);
}

static bool read_member(const struct pd_object *object, struct pd_member_record *record)
{
	json_t *json = json_loadb(object->value.data ? object->value.data : "", object->value.len,
				  0, NULL);
	const char *zone = json_string_value(json_object_get(json, "zone"));
	const char *address = json_string_value(json_object_get(json, "address"));
	json_t *incarnation = json_object_get(json, "incarnation");
	bool good;

	memset(record, 0, sizeof(*record));
	good = zone && address && json_is_integer(incarnation) &&
	       pd_name_set(&record->name, pd_str_from(object->key + strlen(MEMBERS_PREFIX))) &&
	       pd_name_set(&record->zone, pd_str_from(zone)) &&
	       pd_address_parse(pd_str_from(address), &record->address, NULL) == PD_OK;
	if (good)
		record->incarnation = (uint64_t)json_integer_value(incarnation);
	json_decref(json);
	return good;
}

static void learn_member_events(struct pd_config_sync *sync, const struct pd_object_list *events)
{
	struct pd_member_record records[64];
	struct pd_message msg = {.type = PD_MSG_MEMBERS};
	uint32_t changed = 0;

	for (size_t i = 0; i < events->count; i++) {
		struct pd_member_record record;

		/* A deletion follows a goodbye or a death that the zone's peers have seen
		 * themselves. */
		if (events->items[i].deleted || !read_member(&events->items[i], &record))
			continue;
		if (pd_members_merge(sync->setup.members, &record, pd_os_now_us()) && changed < 64)
			records[changed++] = record;
	}
	if (!changed)
		return;
	msg.members.records = records;
	msg.members.count = changed;
	sync->setup.broadcast(sync->setup.arg, &msg, true);
}

static void learn_index_object(struct pd_config_sync *sync, const struct pd_object *object)
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

static void learn_events(struct pd_config_sync *sync, struct watch *watch,
			 const struct pd_object_list *events)
{
	if (!strcmp(watch->prefix, PD_CONFIG_LOG_PREFIX)) {
		learn_config_events(sync, &watch->platform, events);
		return;
	}
	if (!strcmp(watch->prefix, MEMBERS_PREFIX)) {
		learn_member_events(sync, events);
		return;
	}
	for (size_t i = 0; i < events->count; i++) {
		if (!events->items[i].deleted)
			learn_index_object(sync, &events->items[i]);
	}
}

/*
 * Finds the revision from which to watch. For the log a list would return every entry, so the
 * entries are read by catch_up() from the revision of an empty list.
 */
static enum pd_code list_prefix(struct pd_config_sync *sync, struct watch *watch,
				struct pd_error *err)
{
	bool is_log = !strcmp(watch->prefix, PD_CONFIG_LOG_PREFIX);
	struct pd_object_list list;
	enum pd_code code;

	code = pd_platform_list(&watch->platform, is_log ? "config/none" : watch->prefix, &list,
				err);
	note_platform(sync, code);
	if (code != PD_OK)
		return code;
	watch->after = list.revision;
	if (is_log)
		code = catch_up(sync, &watch->platform, true, err);
	else
		learn_events(sync, watch, &list);
	watch->listed = code == PD_OK;
	pd_object_list_finish(&list);
	return code;
}

static enum pd_code watch_once(struct pd_config_sync *sync, struct watch *watch,
			       struct pd_error *err)
{
	struct pd_object_list events;
	enum pd_code code;

	if (!watch->listed)
		return list_prefix(sync, watch, err);
	code = pd_platform_watch(&watch->platform, watch->prefix, watch->after, PD_WATCH_WAIT_US,
				 &events, err);
	note_platform(sync, code);
	if (code == PD_NOT_FOUND) {
		watch->listed = false;
		return PD_OK;
	}
	if (code != PD_OK)
		return code;
	if (events.revision > watch->after)
		watch->after = events.revision;
	learn_events(sync, watch, &events);
	pd_object_list_finish(&events);
	return PD_OK;
}

static void *run_watch(void *arg)
{
	struct watch *watch = arg;
	struct pd_config_sync *sync = watch->sync;
	int64_t retry_us = WATCH_RETRY_MIN_US;

	while (!is_stopping(sync)) {
		struct pd_error err = {0};

		if (!pd_members_is_watcher(sync->setup.members, pd_os_now_us())) {
			watch->listed = false;
			pause_for(sync, WATCH_IDLE_US);
			continue;
		}
		if (watch_once(sync, watch, &err) == PD_OK) {
			retry_us = WATCH_RETRY_MIN_US;
			continue;
		}
		pause_for(sync, retry_us);
		retry_us = retry_us * 2 < WATCH_RETRY_MAX_US ? retry_us * 2 : WATCH_RETRY_MAX_US;
	}
	return NULL;
}

/*
 * The table is complete once it holds a list that includes this instance's own record: a member
 * that isn't in it registers later, finds this instance in the list and asks it for a grant. A list
 * without the record is older than the registration.
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
	learn_member_events(sync, &list);
	for (size_t i = 0; i < list.count && !listed; i++)
		listed = read_member(&list.items[i], &record) &&
			 pd_name_equal(&record.name, &self->name) &&
			 record.incarnation == self->incarnation;
	pd_object_list_finish(&list);
	if (!listed)
		return pd_error_set(err, PD_LAYER_COORDINATION, PD_CONFLICT,
				    "the list of members is older than the registration");
	pd_members_confirm(sync->setup.members);
	sync->confirmed = true;
	return PD_OK;
}

/* Reads what a starting instance needs, without a watch. */
static enum pd_code first_load(struct pd_config_sync *sync, struct pd_error *err)
{
	struct pd_object_list list;
	enum pd_code code = catch_up(sync, &sync->platform, true, err);

	if (code != PD_OK)
		return code;
	code = pd_platform_list(&sync->platform, MEMBERS_PREFIX, &list, err);
	if (code != PD_OK)
		return code;
	learn_member_events(sync, &list);
	pd_object_list_finish(&list);
	code = pd_platform_list(&sync->platform, INDEX_PREFIX, &list, err);
	if (code != PD_OK)
		return code;
	for (size_t i = 0; i < list.count; i++)
		learn_index_object(sync, &list.items[i]);
	pd_object_list_finish(&list);
	return PD_OK;
}

static void member_key(const struct pd_name *name, char *key, size_t size)
{
	snprintf(key, size, MEMBERS_PREFIX "%s", name->text);
}

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

/* Deletes the record of @name unless a newer incarnation wrote it. */
static enum pd_code delete_record(struct pd_config_sync *sync, const struct pd_name *name,
				  uint64_t incarnation, struct pd_error *err)
{
	struct pd_member_record record;
	struct pd_object object;
	uint64_t version;
	char key[128];
	bool older;
	enum pd_code code;

	member_key(name, key, sizeof(key));
	code = pd_platform_get(&sync->platform, key, &object, err);
	if (code != PD_OK)
		return code;
	version = object.version;
	older = read_member(&object, &record) && record.incarnation <= incarnation;
	pd_object_finish(&object);
	if (!older)
		return PD_OK;
	return pd_platform_delete(&sync->platform, key, version, err);
}

/* The platform's record of an instance that died outlives it; the watchers of its zone delete it.
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

		if (!read_member(&list.items[i], &listed) ||
		    !pd_name_equal(&listed.zone, &sync->setup.self.zone))
			continue;
		for (size_t k = 0; k < count; k++) {
			if (pd_name_equal(&records[k].name, &listed.name) &&
			    records[k].state == PD_MEMBER_DEAD &&
			    records[k].incarnation >= listed.incarnation)
				delete_record(sync, &listed.name, records[k].incarnation, NULL);
		}
	}
	pd_object_list_finish(&list);
	free(records);
}

static bool lists_entry(const struct pd_instance_entry *entries, size_t count,
			const struct pd_name *name)
{
	for (size_t i = 0; i < count; i++) {
		if (!entries[i].is_upstream && pd_name_equal(&entries[i].name, name))
			return true;
	}
	return false;
}

/*
 * A member whose host is lost never refuses a connection, so the rest of its zone would share its
 * upstreams with it for ever. A list without this instance says nothing about members.
 */
static void declare_lost(struct pd_config_sync *sync, const struct pd_instance_entry *entries,
			 size_t count, const struct pd_member_record *silent, size_t silent_count)
{
	struct pd_member_record dead[LOST_MAX];
	struct pd_message msg = {.type = PD_MSG_MEMBERS, .members = {.records = dead}};

	if (!lists_entry(entries, count, &sync->setup.self.name))
		return;
	for (size_t i = 0; i < silent_count; i++) {
		if (lists_entry(entries, count, &silent[i].name) ||
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
	struct pd_member_record silent[LOST_MAX];
	struct pd_instance_entry *entries;
	size_t silent_count;
	size_t count;

	/* Before the list is read, so that the list is the later one. */
	silent_count = pd_members_list_silent(sync->setup.members, PD_MEMBER_LOST_TIMEOUT_US,
					      pd_os_now_us(), silent, LOST_MAX);
	if (pd_platform_instances(&sync->platform, &entries, &count, NULL) != PD_OK)
		return;
	declare_lost(sync, entries, count, silent, silent_count);
	for (size_t i = 0; i < count; i++) {
		if (entries[i].is_upstream)
			sync->setup.on_upstream_leaving(sync->setup.arg,
							pd_name_str(&entries[i].name),
							entries[i].is_leaving);
	}
	free(entries);
}

static void *run_chores(void *arg)
{
	struct pd_config_sync *sync = arg;
	bool read_once = false;
	uint64_t round = 0;

	for (; !is_stopping(sync); round++) {
		struct pd_error err = {0};

		if (!read_once)
			read_once = first_load(sync, &err) == PD_OK;
		if (read_once && !sync->registered)
			note_platform(sync, register_self(sync, &err));
		if (sync->registered && !sync->confirmed)
			note_platform(sync, confirm_members(sync, &err));
		if (err.code && !read_once && round % 10 == 0)
			pd_log_failure(PD_LOG_WARNING, "platform_load_failed", &err);
		if (read_once && pd_members_is_watcher(sync->setup.members, pd_os_now_us())) {
			if (round % 2 == 0)
				poll_instances(sync);
			if (round % 20 == 19)
				delete_dead_records(sync);
		}
		pause_for(sync, sync->confirmed ? CHORES_INTERVAL_US : CHORES_INTERVAL_US / 5);
	}
	return NULL;
}

enum pd_code pd_config_sync_start(struct pd_config_sync *sync, struct pd_error *err)
{
	enum pd_code code;

	code = pd_os_thread_start(&sync->chores_thread, "platform", run_chores, sync, err);
	if (code != PD_OK)
		return code;
	sync->chores_started = true;
	for (int i = 0; i < WATCH_COUNT; i++) {
		struct watch *watch = &sync->watches[i];

		code = pd_os_thread_start(&watch->thread, "watch", run_watch, watch, err);
		if (code != PD_OK)
			return code;
		watch->started = true;
	}
	return PD_OK;
}

void pd_config_sync_stop(struct pd_config_sync *sync, int64_t timeout_us)
{
	int64_t deadline = pd_os_now_us() + timeout_us;

	pthread_mutex_lock(&sync->mutex);
	sync->stopping = true;
	pthread_cond_broadcast(&sync->wake);
	pthread_mutex_unlock(&sync->mutex);
	if (sync->chores_started)
		pthread_join(sync->chores_thread, NULL);
	sync->chores_started = false;
	for (int i = 0; i < WATCH_COUNT; i++) {
		if (!sync->watches[i].started)
			continue;
		pd_http_client_cancel(sync->watches[i].platform.http);
		pthread_join(sync->watches[i].thread, NULL);
		sync->watches[i].started = false;
	}
	while (sync->registered && pd_os_now_us() < deadline) {
		enum pd_code code = delete_record(sync, &sync->setup.self.name,
						  sync->setup.self.incarnation, NULL);

		if (code == PD_OK || code == PD_NOT_FOUND)
			sync->registered = false;
		else
			pd_os_sleep_us(CHORES_INTERVAL_US / 5);
	}
}

void pd_config_sync_handle_peer_version(struct pd_config_sync *sync, struct pd_link *link,
					uint64_t version)
{
	struct pd_message msg = {.type = PD_MSG_CONFIG_WANT};
	int64_t now = pd_os_now_us();
	bool ask = false;

	msg.config_want.after = current_version(sync);
	if (version <= msg.config_want.after)
		return;
	pthread_mutex_lock(&sync->mutex);
	if (now - sync->last_want_us >= WANT_INTERVAL_US) {
		sync->last_want_us = now;
		ask = true;
	}
	pthread_mutex_unlock(&sync->mutex);
	if (ask)
		pd_link_send(link, &msg, NULL);
}

static void send_state(struct pd_config_sync *sync, struct pd_link *link)
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

static void answer_want(struct pd_config_sync *sync, struct pd_link *link, uint64_t after)
{
	uint64_t version = current_version(sync);
	struct pd_str commands[HISTORY_ENTRIES];
	struct pd_message msg = {0};
	bool whole;

	if (after >= version)
		return;
	pthread_mutex_lock(&sync->mutex);
	build_entries(sync, after + 1, version, commands, &msg);
	whole = msg.config_entries.count > 0;
	if (whole)
		pd_link_send(link, &msg, NULL);
	pthread_mutex_unlock(&sync->mutex);
	if (!whole)
		send_state(sync, link);
}

static void learn_entries(struct pd_config_sync *sync, struct pd_link *link,
			  const struct pd_msg_config_entries *entries)
{
	bool follows = true;

	pthread_mutex_lock(&sync->mutex);
	for (uint32_t i = 0; i < entries->count && follows; i++)
		follows = apply_entry(sync, entries->first + i, entries->commands[i]);
	pthread_mutex_unlock(&sync->mutex);
	if (!follows)
		pd_config_sync_handle_peer_version(sync, link, entries->first + entries->count - 1);
}

static void learn_state(struct pd_config_sync *sync, const struct pd_msg_config_state *state)
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
	advance(sync, config);
	pthread_mutex_unlock(&sync->mutex);
}

void pd_config_sync_handle_message(struct pd_config_sync *sync, struct pd_link *link,
				   const struct pd_message *msg)
{
	switch (msg->type) {
	case PD_MSG_CONFIG_WANT:
		/* First the index: the peer may take queries once it has a configuration. */
		pd_config_sync_send_index(sync, link);
		answer_want(sync, link, msg->config_want.after);
		break;
	case PD_MSG_CONFIG_ENTRIES:
		learn_entries(sync, link, &msg->config_entries);
		break;
	case PD_MSG_CONFIG_STATE:
		learn_state(sync, &msg->config_state);
		break;
	case PD_MSG_INDEX:
		pd_index_table_update(sync->setup.index, pd_name_str(&msg->index.collection),
				      msg->index.snapshot, msg->index.buckets);
		break;
	default:
		break;
	}
}
