/**
 * DOC: The query and command language
 *
 * One line holds one command. Words are separated by spaces or tabs; a text is in double quotes
 * with
 * \" and \\ as escapes; # outside a text starts a comment. The same language serves callers'
 * queries and operators' configuration, which is stored as commands of it.
 */
#ifndef PD_COMMAND_H
#define PD_COMMAND_H

#include <stdbool.h>
#include <stdint.h>

#include "error.h"
#include "message.h"
#include "os.h"
#include "str.h"

#define PD_COMMAND_MAX_BYTES (64 * 1024)
#define PD_SLOTS_MAX	     1024
#define PD_CONNECTIONS_MAX   65536
#define PD_DEADLINE_MAX_MS   60000

enum pd_command_type {
	PD_CMD_EMPTY = 0, /* blank line or comment */
	PD_CMD_QUERY,
	PD_CMD_RUN,
	PD_CMD_CREATE,
	PD_CMD_SET,
	PD_CMD_DELETE,
	PD_CMD_SHOW,
};

enum pd_object_type {
	PD_OBJ_ZONE = 1,
	PD_OBJ_COLLECTION,
	PD_OBJ_SERVICE,
	PD_OBJ_UPSTREAM,
	PD_OBJ_KIND,
};

enum pd_show {
	PD_SHOW_ZONES = 1,
	PD_SHOW_COLLECTIONS,
	PD_SHOW_SERVICES,
	PD_SHOW_UPSTREAMS,
	PD_SHOW_KINDS,
	PD_SHOW_CONFIG,
	PD_SHOW_LOG,
	PD_SHOW_STATUS,
};

/**
 * struct pd_command_query - `query COLLECTION "TEXT" [kind K] [deadline 200ms] [partial yes|no]`
 * @collection: name
 * @text: unescaped text; points into pd_command.storage
 * @kind: empty when not given
 * @deadline_us: 0 when not given
 * @partial: whether a partial answer is wanted (default yes)
 */
struct pd_command_query {
	struct pd_name collection;
	struct pd_str text;
	struct pd_name kind;
	int64_t deadline_us;
	bool partial;
};

/**
 * struct pd_command_run - `run SERVICE "TEXT" [id ID] [kind K] [deadline 300ms]`
 * @service: name
 * @text: unescaped text
 * @id: the caller's id of a non-idempotent request; empty means idempotent
 * @kind: empty when not given
 * @deadline_us: 0 when not given
 */
struct pd_command_run {
	struct pd_name service;
	struct pd_str text;
	struct pd_name id;
	struct pd_name kind;
	int64_t deadline_us;
};

/**
 * struct pd_command_object - `create`, `set` or `delete` of one object
 * @object_type: type of the object
 * @name: its name
 * @has_out: `in` or `out` was given (set zone, set upstream)
 * @out: true for `out`
 * @buckets: of a collection
 * @collection: of a service
 * @service: of an upstream
 * @zone: of an upstream
 * @address: of an upstream; port 0 when not given
 * @slots: of an upstream; 0 when not given
 * @connections: of an upstream; 0 when not given
 * @connect_us: time that a new connection takes, of an upstream; -1 when not given
 * @has_urgency: urgency was given (kind)
 * @urgency: of a kind
 * @deadline_us: of a kind; 0 when not given
 */
struct pd_command_object {
	enum pd_object_type object_type;
	struct pd_name name;
	bool has_out;
	bool out;
	uint32_t buckets;
	struct pd_name collection;
	struct pd_name service;
	struct pd_name zone;
	struct pd_address address;
	uint32_t slots;
	uint32_t connections;
	int64_t connect_us;
	bool has_urgency;
	enum pd_urgency urgency;
	int64_t deadline_us;
};

/**
 * struct pd_command - tagged union of all commands
 * @type: which member is valid; @object for create, set and delete
 * @storage: private to command.c
 */
struct pd_command {
	enum pd_command_type type;
	union {
		struct pd_command_query query;
		struct pd_command_run run;
		struct pd_command_object object;
		enum pd_show show;
	};
	char *storage;
};

/**
 * pd_command_parse() - parses one line
 * @command: filled; finish with pd_command_finish() after PD_OK
 * @line: text of at most PD_COMMAND_MAX_BYTES
 * @err: PD_INVALID with the column, the word and what would be accepted there; PD_TOO_LARGE
 */
enum pd_code pd_command_parse(struct pd_command *command, struct pd_str line, struct pd_error *err);
void pd_command_finish(struct pd_command *command);
/* Appends the normal form of @command, without a newline; parsing it gives the same command. */
void pd_command_print(const struct pd_command *command, struct pd_buf *out);
/* True for create, set and delete. */
bool pd_command_changes_config(const struct pd_command *command);

#endif
