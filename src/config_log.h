/**
 * DOC: The log of configuration commands, stored in the platform
 *
 * Each object `config/log/%08u` holds one command with its operator and a nonce. The object
 * `config/snapshot` holds the configuration after one of the entries. An entry is only created if
 * its key doesn't exist, and entries are never deleted, so each entry number is used once. A
 * pd_config_log may be used by one thread at a time.
 */
#ifndef PD_CONFIG_LOG_H
#define PD_CONFIG_LOG_H

#include "config.h"
#include "platform_client.h"

#define PD_CONFIG_LOG_PREFIX	    "config/log/"
#define PD_CONFIG_SNAPSHOT_INTERVAL 64 /* log entries between two writes of config/snapshot */

/**
 * struct pd_config_entry - one entry of the log
 * @version: number of the entry, starting at 1
 * @command: one line of the command language; empty if the stored value is malformed
 * @operator_name: name of the operator who issued the command
 * @nonce: random text by which a writer recognises its own entry
 * @created_unix_ms: time of creation by the clock of the operator's host, in milliseconds of Unix
 *	time
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
 * Parses an entry from its stored object; returns false if the key isn't one of the log. The
 * command of a malformed value is empty. The caller releases @entry in both cases.
 */
bool pd_config_entry_parse(struct pd_config_entry *entry, const struct pd_object *object);
/* Reads entry @version from the platform; returns PD_NOT_FOUND if it doesn't exist and
 * PD_UNAVAILABLE if the platform can't be read. The caller releases @entry in all cases. */
enum pd_code pd_config_entry_read(struct pd_platform *platform, uint64_t version,
				  struct pd_config_entry *entry, struct pd_error *err);

/**
 * struct pd_config_log - position in the log and the configuration at that position
 * @platform: client for the platform; not owned
 * @config: configuration after the last entry that was read
 * @last_entry: last entry that was read; its version is 0 if none was read
 * @loaded: whether config/snapshot was read
 * @snapshot_version: version of the configuration in config/snapshot; 0 if there is no snapshot
 * @snapshot_object_version: version of the object config/snapshot, for conditional writes
 * @skipped: whether this program could not apply an entry after the snapshot
 * @min_backoff_us: initial backoff between attempts to append, in microseconds; set by
 *	pd_config_log_open()
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

/* Initialises @log with the empty configuration; reads nothing from the platform. */
enum pd_code pd_config_log_open(struct pd_config_log *log, struct pd_platform *platform,
				struct pd_error *err);
void pd_config_log_close(struct pd_config_log *log);

/**
 * pd_config_log_read() - reads the log up to its end and updates @log->config
 *
 * The first call reads config/snapshot. Then entries are read until one doesn't exist. An entry
 * that this program can't apply increases the version without any other change, as in every other
 * process.
 *
 * Return: PD_OK; PD_UNAVAILABLE if the platform can't be read; PD_INVALID if the snapshot is
 * malformed; PD_NO_MEMORY.
 */
enum pd_code pd_config_log_read(struct pd_config_log *log, struct pd_error *err);

/* Reads and applies the next entry; returns PD_NOT_FOUND at the end of the log. */
enum pd_code pd_config_log_read_next(struct pd_config_log *log, struct pd_error *err);

/**
 * pd_config_log_append() - validates @command against the current configuration and appends it
 * @log: log to append to; includes the new entry after PD_OK
 * @command: command to append: create, set or delete
 * @operator_name: operator to record in the entry
 * @timeout_us: time after which a failed attempt is not retried, in microseconds
 * @version: stores the number of the new entry after PD_OK
 * @err: stores the cause on failure
 *
 * Return: PD_OK; PD_INVALID, PD_NOT_FOUND or PD_CONFLICT if the command isn't valid and wasn't
 * applied (if an entry of another operator made it invalid, the text of @err names this entry and
 * its operator); PD_UNAVAILABLE if the platform was unavailable and the command wasn't applied;
 * PD_UNKNOWN_OUTCOME if the command may have been applied or may still be applied; PD_NO_MEMORY.
 */
enum pd_code pd_config_log_append(struct pd_config_log *log, const struct pd_command *command,
				  const struct pd_name *operator_name, int64_t timeout_us,
				  uint64_t *version, struct pd_error *err);

/**
 * pd_config_log_save_snapshot() - writes config/snapshot if it is PD_CONFIG_SNAPSHOT_INTERVAL
 *	entries old
 * @log: log to take the configuration from
 * @saved: stores whether the snapshot was written
 * @err: stores the cause on failure
 *
 * The snapshot is not written if this program could not apply an entry, because its configuration
 * then lacks the changes of a newer release.
 *
 * Return: PD_OK, also if another operator wrote the snapshot first.
 */
enum pd_code pd_config_log_save_snapshot(struct pd_config_log *log, bool *saved,
					 struct pd_error *err);

#endif
