/**
 * DOC: Messages between entry instances
 *
 * A frame is a 4-byte big-endian length and a payload, the msgpack array `[version, type,
 * fields...]`. The strings and arrays of a decoded message point into memory that the message owns
 * until pd_message_finish().
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
#define PD_HELD_SNAPSHOTS_MAX 8 /* in one sub-reply */

/** enum pd_message_type - types of messages; the values are sent over the network. */
enum pd_message_type {
	PD_MSG_HELLO = 1, /* first message on a connection, in both directions */
	PD_MSG_HEARTBEAT,
	PD_MSG_HEARTBEAT_ACK,
	PD_MSG_SUBREQUEST,
	PD_MSG_SUBREPLY,
	PD_MSG_CANCEL, /* cancels a sub-request */
	PD_MSG_CONFIG_WANT, /* requests configuration entries */
	PD_MSG_CONFIG_ENTRIES, /* consecutive entries of the configuration log */
	PD_MSG_CONFIG_STATE, /* a whole configuration */
	PD_MSG_MEMBERS, /* the sender's member table */
	PD_MSG_SUSPECT, /* a request that crashed an upstream, or the withdrawal of such a record */
	PD_MSG_INDEX, /* the index snapshot of a collection */
	PD_MSG_GOODBYE, /* the sender is shutting down */
};

/** enum pd_urgency - urgency class of a request. */
enum pd_urgency {
	PD_URGENT = 0,
	PD_NORMAL = 1,
	PD_URGENCY_COUNT,
};

/** enum pd_substatus - how a sub-request ended. */
enum pd_substatus {
	PD_SUB_OK = 0,
	/* The upstream did not run the sub-request: */
	PD_SUB_NOT_OWNER, /* the instance does not own the upstream */
	PD_SUB_OVERLOADED, /* rejected by the owner's queue, or shed by the upstream */
	PD_SUB_BUSY, /* would have to queue at the owner; the sender may choose another upstream */
	PD_SUB_DEADLINE, /* not started, since it could not finish before its deadline */
	PD_SUB_SUSPECT, /* rejected, since the request has crashed upstreams */
	PD_SUB_LEAVING, /* the upstream or the instance is draining */
	PD_SUB_ZONE_OUT, /* the upstream's zone is out of service */
	PD_SUB_NO_UPSTREAM, /* not in the configuration, or nothing listens at its address */
	PD_SUB_SNAPSHOT, /* the upstream does not hold the requested snapshot */
	PD_SUB_CANCELLED, /* cancelled before the upstream started it */
	/* The upstream may have run the sub-request: */
	PD_SUB_LOST, /* the connection ended or timed out, or no reply came in time */
	PD_SUB_LATE, /* no reply from the upstream before the deadline */
	PD_SUB_MISMATCH, /* the reply belongs to another request */
	PD_SUB_FAILED, /* the upstream started the request and replied with an error */
	PD_SUB_STATUS_COUNT,
};

/* Whether @status implies that the upstream did not run the sub-request. */
bool pd_substatus_not_run(enum pd_substatus status);
/* Returns the constant name of @status, such as "not_owner". */
const char *pd_substatus_name(enum pd_substatus status);

/** enum pd_member_state - state of an entry instance in the member table. */
enum pd_member_state {
	PD_MEMBER_LIVE = 0,
	PD_MEMBER_LEAVING, /* announced its shutdown */
	PD_MEMBER_DEAD,
};

/**
 * struct pd_member_record - a member's entry in the member tables that instances exchange
 * @name: name of the instance
 * @zone: availability zone of the instance
 * @address: address at which the instance accepts connections of its peers
 * @state: last known state
 * @incarnation: Unix time at which the instance started, in milliseconds; raised when the instance
 *		 was wrongly recorded as dead; the record with the highest incarnation is valid
 */
struct pd_member_record {
	struct pd_name name;
	struct pd_name zone;
	struct pd_address address;
	enum pd_member_state state;
	uint64_t incarnation;
};

/**
 * struct pd_msg_hello - identifies the sender to its peer
 * @self: member record of the sender
 * @config_version: version of the configuration that the sender uses
 */
struct pd_msg_hello {
	struct pd_member_record self;
	uint64_t config_version;
};

/**
 * struct pd_msg_heartbeat - liveness message that also requests a lease
 * @seq: sequence number, echoed in the acknowledgement
 * @incarnation: incarnation of the sender
 * @config_version: version of the configuration that the sender uses
 * @members_digest: digest of the sender's member table; a receiver whose digest differs sends its
 *		    own table
 * @zone_digest: digest of the live members of the sender's zone; see pd_members_may_grant()
 */
struct pd_msg_heartbeat {
	uint64_t seq;
	uint64_t incarnation;
	uint64_t config_version;
	uint64_t members_digest;
	uint64_t zone_digest;
};

/**
 * struct pd_msg_heartbeat_ack - reply to a heartbeat
 * @seq: sequence number of the heartbeat
 * @incarnation: incarnation of the acknowledging instance
 * @granted: the acknowledging instance grants the lease
 * @config_version: version of the configuration that the acknowledging instance uses
 */
struct pd_msg_heartbeat_ack {
	uint64_t seq;
	uint64_t incarnation;
	bool granted;
	uint64_t config_version;
};

/**
 * struct pd_msg_subrequest - a request to one upstream, sent to the instance that owns it
 * @call: call id chosen by the sender, unique on the connection; echoed in the reply
 * @collection: name of the collection; empty for a `run` command
 * @service: name of the service
 * @upstream: name of the upstream
 * @snapshot: index snapshot to query; 0 for a `run` command
 * @urgency: urgency class of the request's kind
 * @idempotent: the request may be sent again
 * @hedge: the request is a hedge, that is, a copy of a sub-request that runs on another upstream
 * @divertible: the owner replies PD_SUB_BUSY instead of queueing, since another upstream may be
 *		free
 * @deadline_us: time remaining until the deadline when sent, in microseconds
 * @request_id: request id on the upstream connection; unique for each sub-request
 * @fingerprint: hash of the body and of the collection or service
 * @body: request text for the upstream
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
 * @call: call id of the sub-request
 * @status: how the sub-request ended
 * @snapshot: index snapshot that the upstream used
 * @covers: bucket ranges that the reply covers, as text
 * @held: snapshots that the upstream holds, in the order of its reply; used with PD_SUB_SNAPSHOT
 * @held_count: number of entries in @held
 * @queue_us: estimated queueing delay of a normal request at the owner, in microseconds
 * @service_us: time from dispatch to reply in microseconds; 0 if the request was not dispatched
 * @limit: current concurrency limit of the upstream
 * @body: JSON array of hits, or the result text of a `run` command
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
	uint64_t call; /* call id of the sub-request to cancel */
};

struct pd_msg_config_want {
	uint64_t after; /* latest configuration version that the sender has */
};

#define PD_CONFIG_ENTRIES_MAX 256

struct pd_msg_config_entries {
	uint64_t first; /* version of commands[0]; the other commands have consecutive versions */
	struct pd_str *commands; /* not owned; each is one line of the command language */
	uint32_t count;
};

struct pd_msg_config_state {
	uint64_t version; /* version of the configuration */
	struct pd_str text; /* commands that create the configuration */
};

#define PD_MEMBERS_MAX 2048

struct pd_msg_members {
	struct pd_member_record *records; /* not owned; a whole table starts with the sender */
	uint32_t count;
};

/**
 * struct pd_msg_suspect - a crash of an upstream that a request may have caused
 * @fingerprint: fingerprint of the request
 * @upstream: the upstream that crashed, or whose crash is withdrawn
 * @crashes: number of crashes that the sender has recorded for the request; 0 withdraws the
 *	     crash of @upstream
 * @expires_ms: time until the record expires, in milliseconds
 */
struct pd_msg_suspect {
	uint64_t fingerprint;
	struct pd_name upstream;
	uint32_t crashes;
	int64_t expires_ms;
};

/**
 * struct pd_msg_index - the index of a collection
 * @collection: name of the collection
 * @snapshot: latest index snapshot that the sender knows
 * @buckets: number of buckets of the collection
 */
struct pd_msg_index {
	struct pd_name collection;
	uint64_t snapshot;
	uint32_t buckets;
};

/**
 * struct pd_message - a message of any type
 * @type: type, which selects the valid member of the union; PD_MSG_GOODBYE has no member
 * @storage: memory of a decoded message, private to message.c
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

/* Appends @msg to @out as a frame: the 4-byte length and the encoded message. On failure @out keeps
 * its previous contents. */
enum pd_code pd_message_encode(const struct pd_message *msg, struct pd_buf *out,
			       struct pd_error *err);

/**
 * pd_message_decode() - decodes the payload of a frame
 * @msg: stores the message; after PD_OK, free it with pd_message_finish()
 * @data: payload without the length prefix; may be freed after the call
 * @len: length of the payload in bytes
 * @err: filled in on failure
 *
 * Return: PD_OK, PD_UNSUPPORTED_VERSION for a message of another version, PD_INVALID for a
 * malformed message, or PD_NO_MEMORY.
 */
enum pd_code pd_message_decode(struct pd_message *msg, const void *data, size_t len,
			       struct pd_error *err);
void pd_message_finish(struct pd_message *msg);

#endif
