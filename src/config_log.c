#include "config_log.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SNAPSHOT_KEY   "config/snapshot"
#define KEY_MAX_BYTES  64
#define BACKOFF_MIN_US (50 * PD_USEC_PER_MSEC)
#define BACKOFF_MAX_US (400 * PD_USEC_PER_MSEC)

void pd_config_entry_init(struct pd_config_entry *entry)
{
	memset(entry, 0, sizeof(*entry));
}

void pd_config_entry_finish(struct pd_config_entry *entry)
{
	pd_buf_finish(&entry->command);
	pd_config_entry_init(entry);
}

static void entry_key(uint64_t version, char key[KEY_MAX_BYTES])
{
	snprintf(key, KEY_MAX_BYTES, PD_CONFIG_LOG_PREFIX "%08" PRIu64, version);
}

static json_t *read_json(const struct pd_buf *value)
{
	return json_loadb(value->data ? value->data : "", value->len, 0, NULL);
}

static void read_name_member(struct pd_name *name, json_t *json, const char *member)
{
	pd_name_set(name, pd_str_from(json_string_value(json_object_get(json, member))));
}

/* Adds @key to the error of a read. All errors but PD_NOT_FOUND and PD_NO_MEMORY become
 * PD_UNAVAILABLE. */
static enum pd_code map_read_error(enum pd_code code, const char *key, struct pd_error *err)
{
	if (code == PD_NOT_FOUND || code == PD_NO_MEMORY)
		return pd_error_wrap(err, PD_LAYER_COORDINATION, code, key);
	return pd_error_wrap(err, PD_LAYER_COORDINATION, PD_UNAVAILABLE, key);
}

bool pd_config_entry_parse(struct pd_config_entry *entry, const struct pd_object *object)
{
	const size_t prefix_len = strlen(PD_CONFIG_LOG_PREFIX);
	const char *command;
	json_t *json;

	pd_config_entry_init(entry);
	if (strncmp(object->key, PD_CONFIG_LOG_PREFIX, prefix_len) != 0 ||
	    !pd_str_to_u64(pd_str_from(object->key + prefix_len), &entry->version))
		return false;
	json = read_json(&object->value);
	command = json_string_value(json_object_get(json, "command"));
	pd_buf_append_str(&entry->command, pd_str_from(command));
	read_name_member(&entry->operator_name, json, "operator");
	read_name_member(&entry->nonce, json, "nonce");
	entry->created_unix_ms = json_integer_value(json_object_get(json, "at_ms"));
	json_decref(json);
	return true;
}

enum pd_code pd_config_entry_read(struct pd_platform *platform, uint64_t version,
				  struct pd_config_entry *entry, struct pd_error *err)
{
	struct pd_object object;
	char key[KEY_MAX_BYTES];
	enum pd_code code;

	pd_config_entry_init(entry);
	entry_key(version, key);
	code = pd_platform_get(platform, key, &object, err);
	if (code)
		return map_read_error(code, key, err);
	/* Use the requested key, not the one in the response. */
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
	log->min_backoff_us = BACKOFF_MIN_US;
	log->config = pd_config_new();
	if (!log->config)
		return pd_error_set(err, PD_LAYER_COORDINATION, PD_NO_MEMORY,
				    "out of memory for the configuration");
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

static enum pd_code apply_snapshot(struct pd_config_log *log, const struct pd_object *object,
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
		return map_read_error(code, SNAPSHOT_KEY, err);
	if (!code) {
		code = apply_snapshot(log, &object, err);
		pd_object_finish(&object);
		if (code)
			return code;
	}
	log->loaded = true;
	return PD_OK;
}

/* Applies @line to log->config and stores the result in @next. A line that this program can't parse
 * or apply only increases the version and sets log->skipped. */
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
		return pd_error_set(err, PD_LAYER_COORDINATION, code,
				    "out of memory for the configuration");
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
 * struct append_operation - one call of pd_config_log_append()
 * @log: log to append to
 * @command: command to append
 * @entry: entry to append; the same in every attempt
 * @value: @entry as JSON
 * @deadline_us: time after which no retry starts, in microseconds of pd_os_now_us()
 * @backoff_us: backoff before the next attempt, in microseconds
 * @validated: whether the command was valid for an earlier configuration in this call
 * @outcome_unknown: whether a write may have taken effect or may still do so
 */
struct append_operation {
	struct pd_config_log *log;
	const struct pd_command *command;
	struct pd_config_entry entry;
	struct pd_buf value;
	int64_t deadline_us;
	int64_t backoff_us;
	bool validated;
	bool outcome_unknown;
};

static void make_nonce(struct pd_name *nonce)
{
	char text[40];

	snprintf(text, sizeof(text), "%016" PRIx64 "%016" PRIx64, pd_os_random_seed(),
		 pd_os_random_seed());
	pd_name_set(nonce, pd_str_from(text));
}

static enum pd_code encode_entry(struct append_operation *op, const struct pd_name *operator_name,
				 struct pd_error *err)
{
	json_t *json;
	char *text;

	op->entry.operator_name = *operator_name;
	op->entry.created_unix_ms = pd_os_unix_ms();
	make_nonce(&op->entry.nonce);
	pd_command_print(op->command, &op->entry.command);
	json = json_pack("{s:s%, s:s, s:s, s:I}", "command", op->entry.command.data,
			 op->entry.command.len, "operator", op->entry.operator_name.text, "nonce",
			 op->entry.nonce.text, "at_ms", (json_int_t)op->entry.created_unix_ms);
	text = json ? json_dumps(json, JSON_COMPACT) : NULL;
	pd_buf_append_str(&op->value, pd_str_from(text));
	free(text);
	json_decref(json);
	if (!op->value.len || op->value.failed)
		return pd_error_set(err, PD_LAYER_COORDINATION, PD_NO_MEMORY,
				    "out of memory for a log entry");
	return PD_OK;
}

/* Waits before the next attempt; returns false if the deadline has passed. */
static bool wait_before_retry(struct append_operation *op)
{
	int64_t now_us = pd_os_now_us();
	int64_t wait_us = op->backoff_us;

	if (now_us >= op->deadline_us)
		return false;
	if (wait_us > op->deadline_us - now_us)
		wait_us = op->deadline_us - now_us;
	pd_os_sleep_us(wait_us);
	op->backoff_us = op->backoff_us * 2 < BACKOFF_MAX_US ? op->backoff_us * 2 : BACKOFF_MAX_US;
	return true;
}

/* Validates the command against the current configuration. If it was valid before, the error names
 * the last entry, which made it invalid. */
static enum pd_code validate_command(struct append_operation *op, struct pd_error *err)
{
	const struct pd_config_entry *last = &op->log->last_entry;
	struct pd_config *next = NULL;
	char context[PD_ERROR_TEXT_MAX_BYTES];
	enum pd_code code = pd_config_apply(op->log->config, op->command, &next, err);

	pd_config_put(next);
	if (!code || !op->validated || code == PD_NO_MEMORY) {
		op->validated = op->validated || !code;
		return code;
	}
	snprintf(context, sizeof(context), "entry %" PRIu64 " of operator %s came first (%.60s)",
		 last->version, last->operator_name.text,
		 last->command.data ? last->command.data : "");
	return pd_error_wrap(err, PD_LAYER_COORDINATION, PD_CONFLICT, context);
}

/*
 * Reads the log up to its end, or up to the entry of this operation, and stores in @own_entry_found
 * whether that entry was found. Validates the command after each entry, so that the error of a
 * conflict names the entry that caused it.
 */
static enum pd_code read_to_end(struct append_operation *op, bool *own_entry_found,
				struct pd_error *err)
{
	enum pd_code code;

	*own_entry_found = false;
	while (!(code = pd_config_log_read_next(op->log, err))) {
		if (pd_name_equal(&op->log->last_entry.nonce, &op->entry.nonce)) {
			*own_entry_found = true;
			return PD_OK;
		}
		/* Another entry has the number of the write whose outcome was unknown, so that
		 * write can't take effect any more. */
		op->outcome_unknown = false;
		op->backoff_us = op->log->min_backoff_us;
		if (op->validated) {
			code = validate_command(op, err);
			if (code)
				return code;
		}
	}
	return code == PD_NOT_FOUND ? PD_OK : code;
}

/* Applies the entry of this operation, which the platform has stored, as if it had been read. */
static enum pd_code apply_own_entry(struct append_operation *op, struct pd_error *err)
{
	struct pd_config_log *log = op->log;
	struct pd_config *next = NULL;
	enum pd_code code = pd_config_apply(log->config, op->command, &next, err);

	if (code)
		return code;
	replace_config(log, next);
	pd_config_entry_finish(&log->last_entry);
	log->last_entry = op->entry;
	log->last_entry.version = next->version;
	pd_config_entry_init(&op->entry);
	return PD_OK;
}

/* Writes the entry under the number that follows the last entry read. */
static enum pd_code write_entry(struct append_operation *op, struct pd_error *err)
{
	char key[KEY_MAX_BYTES];
	enum pd_code code;

	entry_key(op->log->config->version + 1, key);
	code = pd_platform_put(op->log->platform, key, pd_buf_str(&op->value), 0, NULL, err);
	if (!code || code == PD_UNKNOWN_OUTCOME)
		op->outcome_unknown = true;
	return code;
}

/*
 * Makes one attempt to append the entry. Returns PD_OK if it was appended. PD_UNAVAILABLE,
 * PD_UNKNOWN_OUTCOME and PD_TIMEOUT are retryable, all other errors are final.
 */
static enum pd_code try_append(struct append_operation *op, struct pd_error *err)
{
	enum pd_code code;
	bool own_entry_found;

	code = read_to_end(op, &own_entry_found, err);
	if (code || own_entry_found)
		return code;
	if (!op->validated) {
		code = validate_command(op, err);
		if (code)
			return code;
	}
	/* A write with an unknown outcome is repeated with the same key and nonce: only one of both
	 * can take effect. */
	code = write_entry(op, err);
	if (!code)
		return apply_own_entry(op, err);
	if (code != PD_CONFLICT)
		return code;
	code = read_to_end(op, &own_entry_found, err);
	if (code || own_entry_found)
		return code;
	return pd_error_set(
		err, PD_LAYER_COORDINATION, PD_TIMEOUT,
		"concurrent writes of other operators, or stale reads from the platform");
}

static bool is_retryable(enum pd_code code)
{
	return code == PD_UNAVAILABLE || code == PD_UNKNOWN_OUTCOME || code == PD_TIMEOUT;
}

/* Returns the error of the whole operation after the last attempt failed with @code. */
static enum pd_code final_error(const struct append_operation *op, enum pd_code code,
				struct pd_error *err)
{
	if (op->outcome_unknown)
		return pd_error_wrap(err, PD_LAYER_COORDINATION, PD_UNKNOWN_OUTCOME,
				     "can't determine whether the entry was stored");
	if (is_retryable(code))
		return pd_error_wrap(err, PD_LAYER_COORDINATION, PD_UNAVAILABLE,
				     "deadline exceeded");
	return code;
}

enum pd_code pd_config_log_append(struct pd_config_log *log, const struct pd_command *command,
				  const struct pd_name *operator_name, int64_t timeout_us,
				  uint64_t *version, struct pd_error *err)
{
	struct append_operation op = {
		.log = log,
		.command = command,
		.deadline_us = pd_os_now_us() + timeout_us,
		.backoff_us = log->min_backoff_us,
	};
	enum pd_code code = encode_entry(&op, operator_name, err);

	while (!code) {
		code = try_append(&op, err);
		if (!code) {
			*version = log->config->version;
			break;
		}
		if (!is_retryable(code) || !wait_before_retry(&op)) {
			code = final_error(&op, code, err);
			break;
		}
		code = PD_OK;
	}
	pd_config_entry_finish(&op.entry);
	pd_buf_finish(&op.value);
	return code;
}

static enum pd_code encode_snapshot(const struct pd_config *config, struct pd_buf *value,
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
				    "the configuration exceeds %d bytes",
				    PD_PLATFORM_VALUE_MAX_BYTES);
	if (!value->len)
		return pd_error_set(err, PD_LAYER_COORDINATION, PD_NO_MEMORY,
				    "out of memory for the configuration snapshot");
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
	code = encode_snapshot(log->config, &value, err);
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
