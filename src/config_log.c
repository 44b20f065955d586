#include "config_log.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SNAPSHOT_KEY "config/snapshot"
#define KEY_MAX	     64
#define RETRY_MIN_US (50 * PD_USEC_PER_MSEC)
#define RETRY_MAX_US (400 * PD_USEC_PER_MSEC)

void pd_config_entry_init(struct pd_config_entry *entry)
{
	memset(entry, 0, sizeof(*entry));
}

void pd_config_entry_finish(struct pd_config_entry *entry)
{
	pd_buf_finish(&entry->command);
	pd_config_entry_init(entry);
}

static void entry_key(uint64_t version, char key[KEY_MAX])
{
	snprintf(key, KEY_MAX, PD_CONFIG_LOG_PREFIX "%08" PRIu64, version);
}

static json_t *read_json(const struct pd_buf *value)
{
	return json_loadb(value->data ? value->data : "", value->len, 0, NULL);
}

static void fill_name(struct pd_name *name, json_t *json, const char *member)
{
	pd_name_set(name, pd_str_from(json_string_value(json_object_get(json, member))));
}

/* Translates what reading can't distinguish further. */
static enum pd_code read_failure(enum pd_code code, const char *key, struct pd_error *err)
{
	if (code == PD_NOT_FOUND || code == PD_NO_MEMORY)
		return pd_error_wrap(err, PD_LAYER_COORDINATION, code, key);
	return pd_error_wrap(err, PD_LAYER_COORDINATION, PD_UNAVAILABLE, key);
}

bool pd_config_entry_parse(struct pd_config_entry *entry, const struct pd_object *object)
{
	const size_t prefix = strlen(PD_CONFIG_LOG_PREFIX);
	const char *command;
	json_t *json;

	pd_config_entry_init(entry);
	if (strncmp(object->key, PD_CONFIG_LOG_PREFIX, prefix) != 0 ||
	    !pd_str_to_u64(pd_str_from(object->key + prefix), &entry->version))
		return false;
	json = read_json(&object->value);
	command = json_string_value(json_object_get(json, "command"));
	pd_buf_append_str(&entry->command, pd_str_from(command));
	fill_name(&entry->operator_name, json, "operator");
	fill_name(&entry->nonce, json, "nonce");
	entry->created_unix_ms = json_integer_value(json_object_get(json, "at_ms"));
	json_decref(json);
	return true;
}

enum pd_code pd_config_entry_read(struct pd_platform *platform, uint64_t version,
				  struct pd_config_entry *entry, struct pd_error *err)
{
	struct pd_object object;
	char key[KEY_MAX];
	enum pd_code code;

	pd_config_entry_init(entry);
	entry_key(version, key);
	code = pd_platform_get(platform, key, &object, err);
	if (code)
		return read_failure(code, key, err);
	/* The entry is known by the key that was asked for, whatever the reply repeats. */
	snprintf(object.key, sizeof(object.key), "%s", key);
	pd_config_entry_parse(entry, &object);
	pd_object_finish(&object);
	return PD_OK;
}

enum pd_code pd_config_log_open(struct pd_config_log *log, struct pd_platform *platform,
				struct pd_error *err)
{
	memset(log, 0, sizeof(*log));
	log->platform = platform;
	log->min_backoff_us = RETRY_MIN_US;
	log->config = pd_config_new();
	if (!log->config)
		return pd_error_set(err, PD_LAYER_COORDINATION, PD_NO_MEMORY, "no memory");
	return PD_OK;
}

void pd_config_log_close(struct pd_config_log *log)
{
	pd_config_put(log->config);
	pd_config_entry_finish(&log->last_entry);
	memset(log, 0, sizeof(*log));
}

static void replace_config(struct pd_config_log *log, struct pd_config *next)
{
	pd_config_put(log->config);
	log->config = next;
}

static enum pd_code use_snapshot(struct pd_config_log *log, const struct pd_object *object,
				 struct pd_error *err)
{
	json_t *json = read_json(&object->value);
	const char *text = json_string_value(json_object_get(json, "text"));
	json_t *version = json_object_get(json, "version");
	struct pd_config *config = NULL;
	enum pd_code code;

	if (!text || !json_is_integer(version) || json_integer_value(version) < 0)
		code = pd_error_set(err, PD_LAYER_COORDINATION, PD_INVALID,
				    "expected an object with version and text");
	else
		code = pd_config_from_text(pd_str_from(text), (uint64_t)json_integer_value(version),
					   &config, err);
	json_decref(json);
	if (code == PD_NO_MEMORY)
		return code;
	if (code)
		return pd_error_wrap(err, PD_LAYER_COORDINATION, PD_INVALID, SNAPSHOT_KEY);
	replace_config(log, config);
	log->snapshot_version = config->version;
	log->snapshot_object_version = object->version;
	return PD_OK;
}

static enum pd_code load_snapshot(struct pd_config_log *log, struct pd_error *err)
{
	struct pd_object object;
	enum pd_code code = pd_platform_get(log->platform, SNAPSHOT_KEY, &object, err);

	if (code && code != PD_NOT_FOUND)
		return read_failure(code, SNAPSHOT_KEY, err);
	if (!code) {
		code = use_snapshot(log, &object, err);
		pd_object_finish(&object);
		if (code)
			return code;
	}
	log->loaded = true;
	return PD_OK;
}

/* Makes the state that follows @config by @line; counts a line that can't be applied. */
static enum pd_code apply_line(struct pd_config_log *log, struct pd_str line,
			       struct pd_config **next, struct pd_error *err)
{
	struct pd_command command;
	enum pd_code code = pd_command_parse(&command, line, NULL);

	if (!code) {
		code = pd_config_apply(log->config, &command, next, NULL);
		pd_command_finish(&command);
	}
	if (!code)
		return PD_OK;
	if (code == PD_NO_MEMORY)
		return pd_error_set(err, PD_LAYER_COORDINATION, code, "no memory");
	log->skipped = true;
	return pd_config_skip(log->config, next, err);
}

enum pd_code pd_config_log_read_next(struct pd_config_log *log, struct pd_error *err)
{
	struct pd_config *next = NULL;
	struct pd_config_entry entry;
	enum pd_code code = log->loaded ? PD_OK : load_snapshot(log, err);

	if (code)
		return code;
	code = pd_config_entry_read(log->platform, log->config->version + 1, &entry, err);
	if (!code)
		code = apply_line(log, pd_buf_str(&entry.command), &next, err);
	if (code) {
		pd_config_entry_finish(&entry);
		return code;
	}
	replace_config(log, next);
	pd_config_entry_finish(&log->last_entry);
	log->last_entry = entry;
	return PD_OK;
}

enum pd_code pd_config_log_read(struct pd_config_log *log, struct pd_error *err)
{
	enum pd_code code;

	do
		code = pd_config_log_read_next(log, err);
	while (!code);
	return code == PD_NOT_FOUND ? PD_OK : code;
}

/**
 * struct append - one run of pd_config_log_append()
 * @log: log to append to
 * @command: command to append
 * @entry: to append; the same in every attempt
 * @value: its JSON
 * @deadline_us: monotonic; no attempt begins later
 * @retry_us: next pause
 * @checked: the command was valid at some state
 * @in_doubt: a write may have taken effect or may still do so
 */
struct append {
	struct pd_config_log *log;
	const struct pd_command *command;
	struct pd_config_entry entry;
	struct pd_buf value;
	int64_t deadline_us;
	int64_t retry_us;
	bool checked;
	bool in_doubt;
};

static void make_nonce(struct pd_name *nonce)
{
	char text[40];

	snprintf(text, sizeof(text), "%016" PRIx64 "%016" PRIx64, pd_os_random_seed(),
		 pd_os_random_seed());
	pd_name_set(nonce, pd_str_from(text));
}

static enum pd_code make_entry(struct append *a, const struct pd_name *operator_name,
			       struct pd_error *err)
{
	json_t *json;
	char *text;

	a->entry.operator_name = *operator_name;
	a->entry.created_unix_ms = pd_os_unix_ms();
	make_nonce(&a->entry.nonce);
	pd_command_print(a->command, &a->entry.command);
	json = json_pack("{s:s%, s:s, s:s, s:I}", "command", a->entry.command.data,
			 a->entry.command.len, "operator", a->entry.operator_name.text, "nonce",
			 a->entry.nonce.text, "at_ms", (json_int_t)a->entry.created_unix_ms);
	text = json ? json_dumps(json, JSON_COMPACT) : NULL;
	pd_buf_append_str(&a->value, pd_str_from(text));
	free(text);
	json_decref(json);
	if (!a->value.len || a->value.failed)
		return pd_error_set(err, PD_LAYER_COORDINATION, PD_NO_MEMORY, "no memory");
	return PD_OK;
}

/* Waits before the next attempt; false when the time is over. */
static bool pause_before_retry(struct append *a)
{
	int64_t now = pd_os_now_us();
	int64_t pause = a->retry_us;

	if (now >= a->deadline_us)
		return false;
	if (pause > a->deadline_us - now)
		pause = a->deadline_us - now;
	pd_os_sleep_us(pause);
	a->retry_us = a->retry_us * 2 < RETRY_MAX_US ? a->retry_us * 2 : RETRY_MAX_US;
	return true;
}

/* Checks the command at the state; an entry of somebody else may have made it invalid. */
static enum pd_code check_command(struct append *a, struct pd_error *err)
{
	const struct pd_config_entry *last = &a->log->last_entry;
	struct pd_config *next = NULL;
	char context[PD_ERROR_TEXT_MAX_BYTES];
	enum pd_code code = pd_config_apply(a->log->config, a->command, &next, err);

	pd_config_put(next);
	if (!code || !a->checked || code == PD_NO_MEMORY) {
		a->checked = a->checked || !code;
		return code;
	}
	snprintf(context, sizeof(context), "entry %" PRIu64 " of operator %s came first (%.60s)",
		 last->version, last->operator_name.text,
		 last->command.data ? last->command.data : "");
	return pd_error_wrap(err, PD_LAYER_COORDINATION, PD_CONFLICT, context);
}

/*
 * Reads up to the end of the log, checking the command after each entry, so that a conflict names
 * the entry that caused it. @mine: the entry of this run was among them.
 */
static enum pd_code read_on(struct append *a, bool *mine, struct pd_error *err)
{
	enum pd_code code;

	*mine = false;
	while (!(code = pd_config_log_read_next(a->log, err))) {
		if (pd_name_equal(&a->log->last_entry.nonce, &a->entry.nonce)) {
			*mine = true;
			return PD_OK;
		}
		/* The number that a lost write was for is taken, so that it can't take effect. */
		a->in_doubt = false;
		a->retry_us = a->log->min_backoff_us;
		if (a->checked) {
			code = check_command(a, err);
			if (code)
				return code;
		}
	}
	return code == PD_NOT_FOUND ? PD_OK : code;
}

/* Makes the own entry, which the platform has accepted, the last one that was read. */
static enum pd_code adopt_entry(struct append *a, struct pd_error *err)
{
	struct pd_config_log *log = a->log;
	struct pd_config *next = NULL;
	enum pd_code code = pd_config_apply(log->config, a->command, &next, err);

	if (code)
		return code;
	replace_config(log, next);
	pd_config_entry_finish(&log->last_entry);
	log->last_entry = a->entry;
	log->last_entry.version = next->version;
	pd_config_entry_init(&a->entry);
	return PD_OK;
}

/* Writes the entry after the state that was read. */
static enum pd_code write_entry(struct append *a, struct pd_error *err)
{
	char key[KEY_MAX];
	enum pd_code code;

	entry_key(a->log->config->version + 1, key);
	code = pd_platform_put(a->log->platform, key, pd_buf_str(&a->value), 0, NULL, err);
	if (!code || code == PD_UNKNOWN_OUTCOME)
		a->in_doubt = true;
	return code;
}

/*
 * One attempt. PD_OK: appended; PD_UNAVAILABLE, PD_UNKNOWN_OUTCOME and PD_TIMEOUT ask for another
 * one; the rest is final.
 */
static enum pd_code attempt(struct append *a, struct pd_error *err)
{
	enum pd_code code;
	bool mine;

	code = read_on(a, &mine, err);
	if (code || mine)
		return code;
	if (!a->checked) {
		code = check_command(a, err);
		if (code)
			return code;
	}
	/* A write in doubt is repeated with the same nonce: only one of both can take effect. */
	code = write_entry(a, err);
	if (!code)
		return adopt_entry(a, err);
	if (code != PD_CONFLICT)
		return code;
	code = read_on(a, &mine, err);
	if (code || mine)
		return code;
	return pd_error_set(err, PD_LAYER_COORDINATION, PD_TIMEOUT,
			    "other operators write, or reads of the platform are stale");
}

static bool may_retry(enum pd_code code)
{
	return code == PD_UNAVAILABLE || code == PD_UNKNOWN_OUTCOME || code == PD_TIMEOUT;
}

/* Codes of a run that ended without an answer. */
static enum pd_code final_code(const struct append *a, enum pd_code code, struct pd_error *err)
{
	if (a->in_doubt)
		return pd_error_wrap(err, PD_LAYER_COORDINATION, PD_UNKNOWN_OUTCOME,
				     "can't find out");
	if (may_retry(code))
		return pd_error_wrap(err, PD_LAYER_COORDINATION, PD_UNAVAILABLE, "gave up");
	return code;
}

enum pd_code pd_config_log_append(struct pd_config_log *log, const struct pd_command *command,
				  const struct pd_name *operator_name, int64_t timeout_us,
				  uint64_t *version, struct pd_error *err)
{
	struct append a = {
		.log = log,
		.command = command,
		.deadline_us = pd_os_now_us() + timeout_us,
		.retry_us = log->min_backoff_us,
	};
	enum pd_code code = make_entry(&a, operator_name, err);

	while (!code) {
		code = attempt(&a, err);
		if (!code) {
			*version = log->config->version;
			break;
		}
		if (!may_retry(code) || !pause_before_retry(&a)) {
			code = final_code(&a, code, err);
			break;
		}
		code = PD_OK;
	}
	pd_config_entry_finish(&a.entry);
	pd_buf_finish(&a.value);
	return code;
}

static enum pd_code make_snapshot(const struct pd_config *config, struct pd_buf *value,
				  struct pd_error *err)
{
	struct pd_buf state = {0};
	json_t *json;
	char *text;

	pd_config_print(config, &state);
	json = json_pack("{s:I, s:s%}", "version", (json_int_t)config->version, "text",
			 state.data ? state.data : "", state.len);
	text = json && !state.failed ? json_dumps(json, JSON_COMPACT) : NULL;
	pd_buf_append_str(value, pd_str_from(text));
	free(text);
	json_decref(json);
	pd_buf_finish(&state);
	if (value->failed)
		return pd_error_set(err, PD_LAYER_COORDINATION, PD_TOO_LARGE,
				    "the state exceeds %d bytes", PD_PLATFORM_VALUE_MAX_BYTES);
	if (!value->len)
		return pd_error_set(err, PD_LAYER_COORDINATION, PD_NO_MEMORY, "no memory");
	return PD_OK;
}

enum pd_code pd_config_log_save_snapshot(struct pd_config_log *log, bool *saved,
					 struct pd_error *err)
{
	uint64_t version = log->config->version;
	struct pd_buf value;
	enum pd_code code;

	*saved = false;
	if (!log->loaded || log->skipped ||
	    version < log->snapshot_version + PD_CONFIG_SNAPSHOT_INTERVAL)
		return PD_OK;
	pd_buf_init(&value, PD_PLATFORM_VALUE_MAX_BYTES);
	code = make_snapshot(log->config, &value, err);
	if (!code)
		code = pd_platform_put(log->platform, SNAPSHOT_KEY, pd_buf_str(&value),
				       log->snapshot_object_version, &log->snapshot_object_version,
				       err);
	pd_buf_finish(&value);
	*saved = !code;
	if (!code)
		log->snapshot_version = version;
	if (code == PD_CONFLICT)
		return PD_OK;
	return code ? pd_error_wrap(err, PD_LAYER_COORDINATION, code, SNAPSHOT_KEY) : PD_OK;
}
