/**
 * DOC: Parser and printer of the query and command language
 *
 * Each line holds one command. Words are separated by spaces or tabs. A text is enclosed in double
 * quotes, with the escape sequences \" and \\. A # outside a text starts a comment. Callers send
 * queries in this language and operators change the configuration with it; the configuration is
 * stored as a sequence of its commands.
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
	PD_OBJ_KIND, /* kind of requests */
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
 * @collection: name of the collection to search
 * @text: query text without escapes; points into pd_command.storage
 * @kind: kind of the request; empty if not given
 * @deadline_us: time allowed for the answer, in microseconds; 0 if not given
 * @partial: whether the caller accepts a partial answer (default true)
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
 * @service: name of the service that runs the request
 * @text: request text without escapes; points into pd_command.storage
 * @id: id that the caller gave to a non-idempotent request; empty if the request is idempotent
 * @kind: kind of the request; empty if not given
 * @deadline_us: time allowed for the answer, in microseconds; 0 if not given
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
 * @name: name of the object
 * @has_out: whether `in` or `out` was given (set zone, set upstream)
 * @out: whether the zone or upstream is to be taken out of service (`out`) or put back (`in`)
 * @buckets: number of buckets of a collection
 * @collection: collection that a service belongs to
 * @service: service that an upstream belongs to
 * @zone: availability zone of an upstream
 * @address: address of an upstream; port 0 if not given
 * @slots: number of requests that an upstream runs concurrently; 0 if not given
 * @connections: number of connections that an upstream accepts; 0 if not given
 * @connect_us: time to open a connection to an upstream, in microseconds; -1 if not given
 * @has_urgency: whether the urgency of a kind was given
 * @urgency: urgency of a kind
 * @deadline_us: default deadline of a kind, in microseconds; 0 if not given
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
 * @type: selects the valid member: @query, @run, @show, or @object for create, set and delete
 * @query: arguments of `query`
 * @run: arguments of `run`
 * @object: arguments of `create`, `set` and `delete`
 * @show: argument of `show`
 * @storage: memory that the texts point into; private to command.c
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
 * @command: stores the command; release it with pd_command_finish() after PD_OK
 * @line: line to parse, at most PD_COMMAND_MAX_BYTES long; may end with a line break
 * @err: stores the cause on failure; for PD_INVALID its text names the column, the word and the
 *	accepted words
 *
 * Return: PD_OK; PD_INVALID if the line isn't a valid command; PD_TOO_LARGE if the line or its
 * text is too long; PD_NO_MEMORY.
 */
enum pd_code pd_command_parse(struct pd_command *command, struct pd_str line, struct pd_error *err);
void pd_command_finish(struct pd_command *command);
/* Appends the canonical form of @command to @out, without a newline. Parsing the canonical form
 * gives the same command. */
void pd_command_print(const struct pd_command *command, struct pd_buf *out);
/* Returns true for `create`, `set` and `delete`. */
bool pd_command_changes_config(const struct pd_command *command);

#endif
