/**
 * DOC: Messages between entry instances
 *
 * One message is one msgpack array `[version, type, fields...]`. pd_message_decode() borrows:
 * strings of the result point into memory that the message owns until pd_message_finish().
 */
#ifndef PD_MESSAGE_H
#define PD_MESSAGE_H

#include <stdbool.h>
#include <stdint.h>

#include "error.h"
#include "os.h"
#include "str.h"

#define PD_MESSAGE_VERSION    1
#define PD_MESSAGE_MAX_BYTES  (1024 * 1024)
#define PD_HELD_SNAPSHOTS_MAX 8 /* snapshots that an upstream reports as held */

enum pd_message_type {
	PD_MSG_HELLO = 1,
	PD_MSG_HEARTBEAT,
	PD_MSG_HEARTBEAT_ACK,
	PD_MSG_SUBREQUEST,
	PD_MSG_SUBREPLY,
	PD_MSG_CANCEL,
	PD_MSG_CONFIG_WANT,
	PD_MSG_CONFIG_ENTRIES,
	PD_MSG_CONFIG_STATE,
	PD_MSG_MEMBERS,
	PD_MSG_SUSPECT,
	PD_MSG_INDEX,
	PD_MSG_GOODBYE,
};

enum pd_urgency {
	PD_URGENT = 0,
	PD_NORMAL = 1,
	PD_URGENCY_COUNT,
};

/** enum pd_substatus - how a sub-request ended. */
enum pd_substatus {
	PD_SUB_OK = 0,
	/* The upstream did not run it: */
	PD_SUB_NOT_OWNER,
	PD_SUB_OVERLOADED, /* refused by the owner's queue, or shed by the upstream */
	PD_SUB_BUSY, /* would have to queue at the owner, and may be sent elsewhere */
	PD_SUB_DEADLINE, /* can't finish in time, so it wasn't started */
	PD_SUB_SUSPECT, /* a request that has crashed upstreams */
	PD_SUB_LEAVING, /* upstream or instance drains */
	PD_SUB_ZONE_OUT,
	PD_SUB_NO_UPSTREAM, /* not in the configuration, or nothing listens */
	PD_SUB_SNAPSHOT, /* the upstream doesn't hold the snapshot */
	PD_SUB_CANCELLED,
	/* It may have run: */
	PD_SUB_LOST, /* connection broken or silent */
	PD_SUB_LATE, /* no reply within the deadline */
	PD_SUB_MISMATCH, /* reply of another request */
	PD_SUB_FAILED, /* the upstream answered with an error after it began */
	PD_SUB_STATUS_COUNT,
};

/* True when @status shows that the upstream did not run the request. */
bool pd_substatus_not_run(enum pd_substatus status);
const char *pd_substatus_name(enum pd_substatus status);

enum pd_member_state {
	PD_MEMBER_LIVE = 0,
	PD_MEMBER_LEAVING,
	PD_MEMBER_DEAD,
};

/**
 * struct pd_member_record - what instances tell each other about a member
 * @name: name of the instance
 * @zone: its availability zone
 * @address: where its peers connect to
 * @state: as last known
 * @incarnation: Unix time of its start in ms; a higher one replaces a lower one
 */
struct pd_member_record {
	struct pd_name name;
	struct pd_name zone;
	struct pd_address address;
	enum pd_member_state state;
	uint64_t incarnation;
};

struct pd_msg_hello {
	struct pd_member_record self;
	uint64_t config_version;
};

struct pd_msg_heartbeat {
	uint64_t seq;
	uint64_t incarnation;
	uint64_t config_version;
	uint64_t members_digest; /* of all records; peers exchange records when it differs */
	uint64_t zone_digest; /* of the live members of the sender's zone; see
				 pd_members_may_grant() */
};

struct pd_msg_heartbeat_ack {
	uint64_t seq;
	uint64_t incarnation; /* of the acknowledging instance */
	bool granted;
	uint64_t config_version;
};

/**
 * struct pd_msg_subrequest - one request for one upstream
 * @call: id chosen by the sender, unique on the connection; echoed in the reply
 * @collection: name; empty for a `run` command
 * @service: name
 * @upstream: name
 * @snapshot: index version; 0 for a `run` command
 * @urgency: of the request's kind
 * @idempotent: may be sent again
 * @hedge: second copy of a sub-request that is running elsewhere
 * @divertible: rather than queue, the owner answers PD_SUB_BUSY, since another upstream may be free
 * @deadline_us: time left when sent, in microseconds
 * @request_id: id on the upstream connection; unique for each sub-request
 * @fingerprint: hash of collection or service, and body
 * @body: text for the upstream
 */
struct pd_msg_subrequest {
	uint64_t call;
	struct pd_str collection;
	struct pd_str service;
	struct pd_str upstream;
	uint64_t snapshot;
	enum pd_urgency urgency;
	bool idempotent;
	bool hedge;
	bool divertible;
	int64_t deadline_us;
	struct pd_str request_id;
	uint64_t fingerprint;
	struct pd_str body;
};

/**
 * struct pd_msg_subreply - the result of a sub-request
 * @call: of the request
 * @status: how it ended
 * @snapshot: that the upstream answered from
 * @covers: bucket ranges in text form
 * @held: snapshots that the upstream holds, newest last; used with PD_SUB_SNAPSHOT
 * @held_count: entries in @held
 * @queue_us: estimated queueing delay at the owner for a normal request, in microseconds
 * @service_us: time from dispatch to reply, 0 when it wasn't dispatched
 * @limit: current concurrency limit of the upstream
 * @body: JSON array of hits, or the text of a `run` result
 */
struct pd_msg_subreply {
	uint64_t call;
	enum pd_substatus status;
	uint64_t snapshot;
	struct pd_str covers;
	uint64_t held[PD_HELD_SNAPSHOTS_MAX];
	uint32_t held_count;
	int64_t queue_us;
	int64_t service_us;
	uint32_t limit;
	struct pd_str body;
};

struct pd_msg_cancel {
	uint64_t call;
};

struct pd_msg_config_want {
	uint64_t after; /* last version that the sender has */
};

#define PD_CONFIG_ENTRIES_MAX 256

struct pd_msg_config_entries {
	uint64_t first; /* version of commands[0]; the others follow without gaps */
	struct pd_str *commands; /* borrowed; each is one line of the command language */
	uint32_t count;
};

struct pd_msg_config_state {
	uint64_t version;
	struct pd_str text; /* commands that build the state */
};

#define PD_MEMBERS_MAX 2048

struct pd_msg_members {
	struct pd_member_record *records; /* borrowed */
	uint32_t count;
};

struct pd_msg_suspect {
	uint64_t fingerprint;
	struct pd_name upstream; /* that crashed, or whose crash is taken back */
	uint32_t crashes; /* known to the sender; 0 clears the fingerprint of that crash */
	int64_t expires_ms; /* time left, in milliseconds */
};

struct pd_msg_index {
	struct pd_name collection;
	uint64_t snapshot;
	uint32_t buckets;
};

/**
 * struct pd_message - tagged union of all messages
 * @type: which member of the union is valid; PD_MSG_GOODBYE has none
 * @storage: private to message.c; memory that the strings of a decoded message point into
 */
struct pd_message {
	enum pd_message_type type;
	union {
		struct pd_msg_hello hello;
		struct pd_msg_heartbeat heartbeat;
		struct pd_msg_heartbeat_ack heartbeat_ack;
		struct pd_msg_subrequest subrequest;
		struct pd_msg_subreply subreply;
		struct pd_msg_cancel cancel;
		struct pd_msg_config_want config_want;
		struct pd_msg_config_entries config_entries;
		struct pd_msg_config_state config_state;
		struct pd_msg_members members;
		struct pd_msg_suspect suspect;
		struct pd_msg_index index;
	};
	void *storage;
};

/* Appends the 4-byte length and the encoded message to @out, ready to be written to the socket. */
enum pd_code pd_message_encode(const struct pd_message *msg, struct pd_buf *out,
			       struct pd_error *err);

/**
 * pd_message_decode() - decodes one frame's payload
 * @msg: filled; finish it with pd_message_finish() after PD_OK
 * @data: payload without the length; may be freed after the call
 * @len: its length in bytes
 * @err: PD_UNSUPPORTED_VERSION, or PD_INVALID for anything malformed
 */
enum pd_code pd_message_decode(struct pd_message *msg, const void *data, size_t len,
			       struct pd_error *err);
void pd_message_finish(struct pd_message *msg);

#endif
