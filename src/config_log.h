/**
 * DOC: The log of configuration commands in the platform
 *
 * `config/log/%08u` holds one command with its operator and a nonce; `config/snapshot` the state
 * after some entry. Entries are created on the condition that they don't exist and are never
 * deleted, so that an entry number can be taken only once. Used by one thread at a time.
 */
#ifndef PD_CONFIG_LOG_H
#define PD_CONFIG_LOG_H

#include "config.h"
#include "platform_client.h"

#define PD_CONFIG_LOG_PREFIX	    "config/log/"
#define PD_CONFIG_SNAPSHOT_INTERVAL 64 /* entries between two rewrites of config/snapshot */

/**
 * struct pd_config_entry - one entry of the log
 * @version: its number, from 1
 * @command: one line of the command language; empty when the stored value is malformed
 * @operator_name: who entered it
 * @nonce: random text that tells whose write took effect
 * @created_unix_ms: Unix time in ms on the operator's host
 */
struct pd_config_entry {
	uint64_t version;
	struct pd_buf command;
	struct pd_name operator_name;
	struct pd_name nonce;
	int64_t created_unix_ms;
};

void pd_config_entry_init(struct pd_config_entry *entry);
void pd_config_entry_finish(struct pd_config_entry *entry);

/*
 * Reads an entry from its object; false when the key isn't one of the log. A malformed value gives
 * an empty command. Finish @entry in any case.
 */
bool pd_config_entry_parse(struct pd_config_entry *entry, const struct pd_object *object);
/* Reads entry @version; PD_NOT_FOUND, PD_UNAVAILABLE. Finish @entry in any case. */
enum pd_code pd_config_entry_read(struct pd_platform *platform, uint64_t version,
				  struct pd_config_entry *entry, struct pd_error *err);

/**
 * struct pd_config_log - the state that was read so far
 * @platform: borrowed
 * @config: state after the last entry that was read
 * @last_entry: the last entry that was read; version 0 when none was
 * @loaded: config/snapshot was read
 * @snapshot_version: entry that config/snapshot includes; 0 when there is none
 * @snapshot_object_version: version of that object
 * @skipped: an entry after the snapshot could not be applied by this program
 * @min_backoff_us: shortest pause before another attempt, in microseconds; set by
 * pd_config_log_open()
 */
struct pd_config_log {
	struct pd_platform *platform;
	struct pd_config *config;
	struct pd_config_entry last_entry;
	bool loaded;
	uint64_t snapshot_version;
	uint64_t snapshot_object_version;
	bool skipped;
	int64_t min_backoff_us;
};

enum pd_code pd_config_log_open(struct pd_config_log *log, struct pd_platform *platform,
				struct pd_error *err);
void pd_config_log_close(struct pd_config_log *log);

/**
 * pd_config_log_read() - brings @log->config up to the end of the log
 *
 * Reads config/snapshot the first time, then entries until one doesn't exist. Entries that this
 * program can't apply count but change nothing, as in every other process.
 *
 * Return: PD_UNAVAILABLE when the platform can't be read now, PD_INVALID when the snapshot is
 * malformed.
 */
enum pd_code pd_config_log_read(struct pd_config_log *log, struct pd_error *err);

/* Reads the one entry that follows; PD_NOT_FOUND at the end of the log. */
enum pd_code pd_config_log_read_next(struct pd_config_log *log, struct pd_error *err);

/**
 * pd_config_log_append() - checks @command against the state and appends it
 * @log: is up to date after PD_OK
 * @command: create, set or delete
 * @operator_name: recorded with it
 * @timeout_us: how long to go on while the platform is away
 * @version: stores the entry's number after PD_OK
 *
 * Return: PD_OK; PD_INVALID, PD_NOT_FOUND, PD_CONFLICT: not applied, the command isn't valid (the
 * text names the entry and operator when an entry of another operator came first);
 * PD_UNAVAILABLE: not applied, the platform is away; PD_UNKNOWN_OUTCOME: it may have been applied,
 * or may still be.
 */
enum pd_code pd_config_log_append(struct pd_config_log *log, const struct pd_command *command,
				  const struct pd_name *operator_name, int64_t timeout_us,
				  uint64_t *version, struct pd_error *err);

/**
 * pd_config_log_save_snapshot() - rewrites config/snapshot if it is old enough
 * @saved: whether it was rewritten
 *
 * A lost race against another operator is PD_OK. It is left as it is while an entry could not be
 * applied: the state of this program then lacks what a newer release knows.
 */
enum pd_code pd_config_log_save_snapshot(struct pd_config_log *log, bool *saved,
					 struct pd_error *err);

#endif
