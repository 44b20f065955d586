#include "message.h"

#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#include "msgpack_check.h"

#define LENGTH_PREFIX_BYTES  4
#define HEADER_FIELDS	     2 /* version and type */
#define RECORD_FIELDS	     5
#define DURATION_MAX_US	     (24 * 3600 * PD_USEC_PER_SEC)
#define DURATION_MAX_MS	     (DURATION_MAX_US / PD_USEC_PER_MSEC)
#define REQUEST_ID_MAX_BYTES 256
#define COMMAND_MAX_BYTES    (64 * 1024)
/* Maximum number of msgpack items of a message; a full members message has the most. */
#define ITEMS_MAX (PD_MEMBERS_MAX * (RECORD_FIELDS + 1) + 16)

/**
 * struct storage - memory of a decoded message
 * @array: array of commands or records, or NULL
 * @bytes: copy of the payload, which the strings of the message point into
 */
struct storage {
	void *array;
	char bytes[];
};

bool pd_substatus_not_run(enum pd_substatus status)
{
	return status >= PD_SUB_NOT_OWNER && status <= PD_SUB_CANCELLED;
}

const char *pd_substatus_name(enum pd_substatus status)
{
	static const char *const names[PD_SUB_STATUS_COUNT] = {
		[PD_SUB_OK] = "ok",
		[PD_SUB_NOT_OWNER] = "not_owner",
		[PD_SUB_OVERLOADED] = "overloaded",
		[PD_SUB_BUSY] = "busy",
		[PD_SUB_DEADLINE] = "deadline",
		[PD_SUB_SUSPECT] = "suspect",
		[PD_SUB_LEAVING] = "leaving",
		[PD_SUB_ZONE_OUT] = "zone_out",
		[PD_SUB_NO_UPSTREAM] = "no_upstream",
		[PD_SUB_SNAPSHOT] = "snapshot",
		[PD_SUB_CANCELLED] = "cancelled",
		[PD_SUB_LOST] = "lost",
		[PD_SUB_LATE] = "late",
		[PD_SUB_MISMATCH] = "mismatch",
		[PD_SUB_FAILED] = "failed",
	};

	if ((unsigned int)status >= PD_SUB_STATUS_COUNT)
		return "unlisted";
	return names[status];
}

/* Encoding */

static int write_to_buf(void *data, const char *bytes, size_t len)
{
	return pd_buf_append(data, bytes, len) ? 0 : -1;
}

static void put_str(msgpack_packer *pk, struct pd_str s)
{
	msgpack_pack_str(pk, s.len);
	msgpack_pack_str_body(pk, s.data ? s.data : "", s.len);
}

static void put_name(msgpack_packer *pk, const struct pd_name *name)
{
	put_str(pk, pd_name_str(name));
}

static void put_bool(msgpack_packer *pk, bool value)
{
	if (value)
		msgpack_pack_true(pk);
	else
		msgpack_pack_false(pk);
}

/* Encodes a negative duration as 0: the remaining time has run out. */
static void put_duration(msgpack_packer *pk, int64_t value)
{
	msgpack_pack_uint64(pk, value > 0 ? (uint64_t)value : 0);
}

static void put_header(msgpack_packer *pk, enum pd_message_type type, size_t fields)
{
	msgpack_pack_array(pk, HEADER_FIELDS + fields);
	msgpack_pack_uint64(pk, PD_MESSAGE_VERSION);
	msgpack_pack_uint64(pk, type);
}

static void put_record(msgpack_packer *pk, const struct pd_member_record *record)
{
	char address[PD_ADDRESS_TEXT_MAX_BYTES];

	pd_address_format(&record->address, address, sizeof(address));
	msgpack_pack_array(pk, RECORD_FIELDS);
	put_name(pk, &record->name);
	put_name(pk, &record->zone);
	put_str(pk, pd_str_from(address));
	msgpack_pack_uint64(pk, record->incarnation);
	msgpack_pack_uint64(pk, record->state);
}

static void put_subrequest(msgpack_packer *pk, const struct pd_msg_subrequest *m)
{
	put_header(pk, PD_MSG_SUBREQUEST, 13);
	msgpack_pack_uint64(pk, m->call);
	put_str(pk, m->collection);
	put_str(pk, m->service);
	put_str(pk, m->upstream);
	msgpack_pack_uint64(pk, m->snapshot);
	msgpack_pack_uint64(pk, m->urgency);
	put_bool(pk, m->idempotent);
	put_bool(pk, m->hedge);
	put_bool(pk, m->divertible);
	put_duration(pk, m->deadline_us);
	put_str(pk, m->request_id);
	msgpack_pack_uint64(pk, m->fingerprint);
	put_str(pk, m->body);
}

static void put_subreply(msgpack_packer *pk, const struct pd_msg_subreply *m)
{
	put_header(pk, PD_MSG_SUBREPLY, 9);
	msgpack_pack_uint64(pk, m->call);
	msgpack_pack_uint64(pk, m->status);
	msgpack_pack_uint64(pk, m->snapshot);
	put_str(pk, m->covers);
	msgpack_pack_array(pk, m->held_count);
	for (uint32_t i = 0; i < m->held_count; i++)
		msgpack_pack_uint64(pk, m->held[i]);
	put_duration(pk, m->queue_us);
	put_duration(pk, m->service_us);
	msgpack_pack_uint64(pk, m->limit);
	put_str(pk, m->body);
}

static void put_config_entries(msgpack_packer *pk, const struct pd_msg_config_entries *m)
{
	put_header(pk, PD_MSG_CONFIG_ENTRIES, 2);
	msgpack_pack_uint64(pk, m->first);
	msgpack_pack_array(pk, m->count);
	for (uint32_t i = 0; i < m->count; i++)
		put_str(pk, m->commands[i]);
}

static void put_members(msgpack_packer *pk, const struct pd_msg_members *m)
{
	put_header(pk, PD_MSG_MEMBERS, 1);
	msgpack_pack_array(pk, m->count);
	for (uint32_t i = 0; i < m->count; i++)
		put_record(pk, &m->records[i]);
}

static void put_heartbeat(msgpack_packer *pk, const struct pd_msg_heartbeat *m)
{
	put_header(pk, PD_MSG_HEARTBEAT, 5);
	msgpack_pack_uint64(pk, m->seq);
	msgpack_pack_uint64(pk, m->incarnation);
	msgpack_pack_uint64(pk, m->config_version);
	msgpack_pack_uint64(pk, m->members_digest);
	msgpack_pack_uint64(pk, m->zone_digest);
}

static void put_heartbeat_ack(msgpack_packer *pk, const struct pd_msg_heartbeat_ack *m)
{
	put_header(pk, PD_MSG_HEARTBEAT_ACK, 4);
	msgpack_pack_uint64(pk, m->seq);
	msgpack_pack_uint64(pk, m->incarnation);
	put_bool(pk, m->granted);
	msgpack_pack_uint64(pk, m->config_version);
}

static void put_suspect(msgpack_packer *pk, const struct pd_msg_suspect *m)
{
	put_header(pk, PD_MSG_SUSPECT, 4);
	msgpack_pack_uint64(pk, m->fingerprint);
	put_name(pk, &m->upstream);
	msgpack_pack_uint64(pk, m->crashes);
	put_duration(pk, m->expires_ms);
}

static void put_index(msgpack_packer *pk, const struct pd_msg_index *m)
{
	put_header(pk, PD_MSG_INDEX, 3);
	put_name(pk, &m->collection);
	msgpack_pack_uint64(pk, m->snapshot);
	msgpack_pack_uint64(pk, m->buckets);
}

static bool put_message(msgpack_packer *pk, const struct pd_message *msg)
{
	switch (msg->type) {
	case PD_MSG_HELLO:
		put_header(pk, msg->type, 2);
		put_record(pk, &msg->hello.self);
		msgpack_pack_uint64(pk, msg->hello.config_version);
		return true;
	case PD_MSG_HEARTBEAT:
		put_heartbeat(pk, &msg->heartbeat);
		return true;
	case PD_MSG_HEARTBEAT_ACK:
		put_heartbeat_ack(pk, &msg->heartbeat_ack);
		return true;
	case PD_MSG_SUBREQUEST:
		put_subrequest(pk, &msg->subrequest);
		return true;
	case PD_MSG_SUBREPLY:
		put_subreply(pk, &msg->subreply);
		return true;
	case PD_MSG_CANCEL:
		put_header(pk, msg->type, 1);
		msgpack_pack_uint64(pk, msg->cancel.call);
		return true;
	case PD_MSG_CONFIG_WANT:
		put_header(pk, msg->type, 1);
		msgpack_pack_uint64(pk, msg->config_want.after);
		return true;
	case PD_MSG_CONFIG_ENTRIES:
		put_config_entries(pk, &msg->config_entries);
		return true;
	case PD_MSG_CONFIG_STATE:
		put_header(pk, msg->type, 2);
		msgpack_pack_uint64(pk, msg->config_state.version);
		put_str(pk, msg->config_state.text);
		return true;
	case PD_MSG_MEMBERS:
		put_members(pk, &msg->members);
		return true;
	case PD_MSG_SUSPECT:
		put_suspect(pk, &msg->suspect);
		return true;
	case PD_MSG_INDEX:
		put_index(pk, &msg->index);
		return true;
	case PD_MSG_GOODBYE:
		put_header(pk, msg->type, 0);
		return true;
	}
	return false;
}

/* Checks the limits on counts that pd_message_decode() enforces. */
static bool counts_valid(const struct pd_message *msg)
{
	switch (msg->type) {
	case PD_MSG_SUBREPLY:
		return msg->subreply.held_count <= PD_HELD_SNAPSHOTS_MAX;
	case PD_MSG_CONFIG_ENTRIES:
		return msg->config_entries.count <= PD_CONFIG_ENTRIES_MAX;
	case PD_MSG_MEMBERS:
		return msg->members.count <= PD_MEMBERS_MAX;
	default:
		return true;
	}
}

static void store_be32(char *out, uint32_t value)
{
	out[0] = (char)(value >> 24);
	out[1] = (char)(value >> 16);
	out[2] = (char)(value >> 8);
	out[3] = (char)value;
}

enum pd_code pd_message_encode(const struct pd_message *msg, struct pd_buf *out,
			       struct pd_error *err)
{
	size_t start = out->len;
	msgpack_packer pk;
	size_t len;

	if (!counts_valid(msg))
		return pd_error_set(err, PD_LAYER_PROTOCOL, PD_INVALID,
				    "message of type %d has too many items", (int)msg->type);
	msgpack_packer_init(&pk, out, write_to_buf);
	if (!pd_buf_append(out, "\0\0\0\0", LENGTH_PREFIX_BYTES))
		return pd_error_set(err, PD_LAYER_PROTOCOL, PD_NO_MEMORY,
				    "out of memory for a message");
	if (!put_message(&pk, msg)) {
		out->len = start;
		return pd_error_set(err, PD_LAYER_PROTOCOL, PD_INVALID, "unknown message type %d",
				    (int)msg->type);
	}
	if (out->failed) {
		out->len = start;
		return pd_error_set(err, PD_LAYER_PROTOCOL, PD_NO_MEMORY,
				    "out of memory for a message");
	}
	len = out->len - start - LENGTH_PREFIX_BYTES;
	if (len > PD_MESSAGE_MAX_BYTES) {
		out->len = start;
		return pd_error_set(err, PD_LAYER_PROTOCOL, PD_TOO_LARGE,
				    "message of %zu bytes exceeds the limit of %d bytes", len,
				    PD_MESSAGE_MAX_BYTES);
	}
	store_be32(out->data + start, (uint32_t)len);
	return PD_OK;
}

/* Checks the version before anything else, since other versions may have another layout. */
static enum pd_code check_version(const void *data, size_t len, struct pd_error *err)
{
	struct pd_msgpack_scan s = {.data = data, .len = len};
	struct pd_msgpack_item array;
	struct pd_msgpack_item version;

	if (!pd_msgpack_scan_header(&s, &array) || !array.is_array ||
	    array.array_len < HEADER_FIELDS || !pd_msgpack_scan_header(&s, &version) ||
	    !version.is_uint)
		return pd_error_set(err, PD_LAYER_PROTOCOL, PD_INVALID,
				    "message does not start with a version and a type");
	if (version.value != PD_MESSAGE_VERSION)
		return pd_error_set(err, PD_LAYER_PROTOCOL, PD_UNSUPPORTED_VERSION,
				    "message has version %llu, expected version %d",
				    (unsigned long long)version.value, PD_MESSAGE_VERSION);
	return PD_OK;
}

/* Decoding of fields */

/**
 * struct fields - sequential reader of the items of an array
 * @items: items of the array
 * @count: number of items
 * @next: index of the next item to read
 * @fault: name of the first invalid field, or NULL; once set, nothing more is read
 */
struct fields {
	const msgpack_object *items;
	uint32_t count;
	uint32_t next;
	const char *fault;
};

static struct fields fields_of(const msgpack_object *array)
{
	return (struct fields){.items = array->via.array.ptr, .count = array->via.array.size};
}

/* Returns the next item if it has @type; otherwise sets the fault to @name and returns NULL. */
static const msgpack_object *next_item(struct fields *f, msgpack_object_type type, const char *name)
{
	if (f->fault)
		return NULL;
	if (f->next >= f->count || f->items[f->next].type != type) {
		f->fault = name;
		return NULL;
	}
	return &f->items[f->next++];
}

/* Reads an integer of at most @max. */
static uint64_t read_max(struct fields *f, uint64_t max, const char *name)
{
	const msgpack_object *o = next_item(f, MSGPACK_OBJECT_POSITIVE_INTEGER, name);

	if (!o)
		return 0;
	if (o->via.u64 > max) {
		f->fault = name;
		return 0;
	}
	return o->via.u64;
}

static uint64_t read_u64(struct fields *f, const char *name)
{
	return read_max(f, UINT64_MAX, name);
}

static bool read_bool(struct fields *f, const char *name)
{
	const msgpack_object *o = next_item(f, MSGPACK_OBJECT_BOOLEAN, name);

	return o && o->via.boolean;
}

/* Reads a string of at most @max bytes. */
static struct pd_str read_str(struct fields *f, size_t max, const char *name)
{
	const msgpack_object *o = next_item(f, MSGPACK_OBJECT_STR, name);

	if (!o)
		return (struct pd_str){NULL, 0};
	if (o->via.str.size > max) {
		f->fault = name;
		return (struct pd_str){NULL, 0};
	}
	return (struct pd_str){o->via.str.ptr, o->via.str.size};
}

static void read_name(struct fields *f, bool may_be_empty, struct pd_name *out, const char *name)
{
	struct pd_str s = read_str(f, PD_NAME_MAX_BYTES, name);

	memset(out, 0, sizeof(*out));
	if (f->fault || (may_be_empty && !s.len))
		return;
	if (!pd_name_set(out, s))
		f->fault = name;
}

/* Reads a name like read_name(), but returns a view of the payload instead of a copy. */
static struct pd_str read_name_str(struct fields *f, bool may_be_empty, const char *name)
{
	struct pd_str s = read_str(f, PD_NAME_MAX_BYTES, name);
	struct pd_name checked;

	if (!f->fault && (s.len || !may_be_empty) && !pd_name_set(&checked, s))
		f->fault = name;
	return s;
}

static void read_record(struct fields *outer, struct pd_member_record *record)
{
	const msgpack_object *o = next_item(outer, MSGPACK_OBJECT_ARRAY, "record");
	struct fields f;
	struct pd_str address;

	if (!o)
		return;
	memset(record, 0, sizeof(*record));
	f = fields_of(o);
	read_name(&f, false, &record->name, "name");
	read_name(&f, false, &record->zone, "zone");
	address = read_str(&f, PD_ADDRESS_TEXT_MAX_BYTES, "address");
	if (!f.fault && pd_address_parse(address, &record->address, NULL))
		f.fault = "address";
	record->incarnation = read_u64(&f, "incarnation");
	record->state = (enum pd_member_state)read_max(&f, PD_MEMBER_DEAD, "state");
	if (!f.fault && f.next != f.count)
		f.fault = "record";
	outer->fault = f.fault;
}

/* Starts to read an array of at most @max items; returns an allocated array with @size bytes for
 * each item, or NULL if there are none or on failure. */
static void *read_list(struct fields *f, uint32_t max, size_t size, struct fields *list,
		       struct storage *storage, const char *name)
{
	const msgpack_object *o = next_item(f, MSGPACK_OBJECT_ARRAY, name);

	memset(list, 0, sizeof(*list));
	if (!o)
		return NULL;
	*list = fields_of(o);
	if (list->count > max) {
		f->fault = name;
		list->count = 0;
		return NULL;
	}
	if (!list->count)
		return NULL;
	storage->array = calloc(list->count, size);
	if (!storage->array) {
		f->fault = "memory";
		list->count = 0;
	}
	return storage->array;
}

static void read_heartbeat(struct fields *f, struct pd_msg_heartbeat *m)
{
	m->seq = read_u64(f, "seq");
	m->incarnation = read_u64(f, "incarnation");
	m->config_version = read_u64(f, "config_version");
	m->members_digest = read_u64(f, "members_digest");
	m->zone_digest = read_u64(f, "zone_digest");
}

static void read_heartbeat_ack(struct fields *f, struct pd_msg_heartbeat_ack *m)
{
	m->seq = read_u64(f, "seq");
	m->incarnation = read_u64(f, "incarnation");
	m->granted = read_bool(f, "granted");
	m->config_version = read_u64(f, "config_version");
}

static void read_subrequest(struct fields *f, struct pd_msg_subrequest *m)
{
	m->call = read_u64(f, "call");
	m->collection = read_name_str(f, true, "collection");
	m->service = read_name_str(f, false, "service");
	m->upstream = read_name_str(f, false, "upstream");
	m->snapshot = read_u64(f, "snapshot");
	m->urgency = (enum pd_urgency)read_max(f, PD_URGENCY_COUNT - 1, "urgency");
	m->idempotent = read_bool(f, "idempotent");
	m->hedge = read_bool(f, "hedge");
	m->divertible = read_bool(f, "divertible");
	m->deadline_us = (int64_t)read_max(f, DURATION_MAX_US, "deadline_us");
	m->request_id = read_str(f, REQUEST_ID_MAX_BYTES, "request_id");
	m->fingerprint = read_u64(f, "fingerprint");
	m->body = read_str(f, PD_MESSAGE_MAX_BYTES, "body");
}

static void read_held(struct fields *f, struct pd_msg_subreply *m)
{
	const msgpack_object *o = next_item(f, MSGPACK_OBJECT_ARRAY, "held");
	struct fields held;

	if (!o)
		return;
	held = fields_of(o);
	if (held.count > PD_HELD_SNAPSHOTS_MAX) {
		f->fault = "held";
		return;
	}
	for (uint32_t i = 0; i < held.count; i++)
		m->held[i] = read_u64(&held, "held");
	m->held_count = held.count;
	f->fault = held.fault;
}

static void read_subreply(struct fields *f, struct pd_msg_subreply *m)
{
	m->call = read_u64(f, "call");
	m->status = (enum pd_substatus)read_max(f, PD_SUB_STATUS_COUNT - 1, "status");
	m->snapshot = read_u64(f, "snapshot");
	m->covers = read_str(f, PD_MESSAGE_MAX_BYTES, "covers");
	read_held(f, m);
	m->queue_us = (int64_t)read_max(f, DURATION_MAX_US, "queue_us");
	m->service_us = (int64_t)read_max(f, DURATION_MAX_US, "service_us");
	m->limit = (uint32_t)read_max(f, UINT32_MAX, "limit");
	m->body = read_str(f, PD_MESSAGE_MAX_BYTES, "body");
}

static void read_config_entries(struct fields *f, struct pd_msg_config_entries *m,
				struct storage *storage)
{
	struct fields list;

	m->first = read_u64(f, "first");
	m->commands = read_list(f, PD_CONFIG_ENTRIES_MAX, sizeof(*m->commands), &list, storage,
				"commands");
	m->count = list.count;
	for (uint32_t i = 0; i < list.count; i++)
		m->commands[i] = read_str(&list, COMMAND_MAX_BYTES, "command");
	if (!f->fault)
		f->fault = list.fault;
}

static void read_members(struct fields *f, struct pd_msg_members *m, struct storage *storage)
{
	struct fields list;

	m->records = read_list(f, PD_MEMBERS_MAX, sizeof(*m->records), &list, storage, "records");
	m->count = list.count;
	for (uint32_t i = 0; i < list.count && !list.fault; i++)
		read_record(&list, &m->records[i]);
	if (!f->fault)
		f->fault = list.fault;
}

static void read_suspect(struct fields *f, struct pd_msg_suspect *m)
{
	m->fingerprint = read_u64(f, "fingerprint");
	read_name(f, true, &m->upstream, "upstream");
	m->crashes = (uint32_t)read_max(f, UINT32_MAX, "crashes");
	m->expires_ms = (int64_t)read_max(f, DURATION_MAX_MS, "expires_ms");
}

static void read_index(struct fields *f, struct pd_msg_index *m)
{
	read_name(f, false, &m->collection, "collection");
	m->snapshot = read_u64(f, "snapshot");
	m->buckets = (uint32_t)read_max(f, UINT32_MAX, "buckets");
}

static void read_message(struct fields *f, struct pd_message *msg, struct storage *storage)
{
	switch (msg->type) {
	case PD_MSG_HELLO:
		read_record(f, &msg->hello.self);
		msg->hello.config_version = read_u64(f, "config_version");
		return;
	case PD_MSG_HEARTBEAT:
		read_heartbeat(f, &msg->heartbeat);
		return;
	case PD_MSG_HEARTBEAT_ACK:
		read_heartbeat_ack(f, &msg->heartbeat_ack);
		return;
	case PD_MSG_SUBREQUEST:
		read_subrequest(f, &msg->subrequest);
		return;
	case PD_MSG_SUBREPLY:
		read_subreply(f, &msg->subreply);
		return;
	case PD_MSG_CANCEL:
		msg->cancel.call = read_u64(f, "call");
		return;
	case PD_MSG_CONFIG_WANT:
		msg->config_want.after = read_u64(f, "after");
		return;
	case PD_MSG_CONFIG_ENTRIES:
		read_config_entries(f, &msg->config_entries, storage);
		return;
	case PD_MSG_CONFIG_STATE:
		msg->config_state.version = read_u64(f, "version");
		msg->config_state.text = read_str(f, PD_MESSAGE_MAX_BYTES, "text");
		return;
	case PD_MSG_MEMBERS:
		read_members(f, &msg->members, storage);
		return;
	case PD_MSG_SUSPECT:
		read_suspect(f, &msg->suspect);
		return;
	case PD_MSG_INDEX:
		read_index(f, &msg->index);
		return;
	case PD_MSG_GOODBYE:
		return;
	}
	f->fault = "type";
}

static enum pd_code decode_fields(struct pd_message *msg, const msgpack_object *array,
				  struct storage *storage, struct pd_error *err)
{
	struct fields f = fields_of(array);

	read_u64(&f, "version");
	msg->type = (enum pd_message_type)read_max(&f, PD_MSG_GOODBYE, "type");
	if (!f.fault)
		read_message(&f, msg, storage);
	if (!f.fault && f.next != f.count)
		f.fault = "field count";
	if (f.fault)
		return pd_error_set(err, PD_LAYER_PROTOCOL, PD_INVALID,
				    "message of type %d has an invalid %s", (int)msg->type,
				    f.fault);
	return PD_OK;
}

static enum pd_code unpack(struct pd_message *msg, struct storage *storage, size_t len,
			   struct pd_error *err)
{
	msgpack_unpacked unpacked;
	size_t off = 0;
	enum pd_code code;

	msgpack_unpacked_init(&unpacked);
	if (msgpack_unpack_next(&unpacked, storage->bytes, len, &off) != MSGPACK_UNPACK_SUCCESS)
		code = pd_error_set(err, PD_LAYER_PROTOCOL, PD_INVALID,
				    "message is not valid msgpack");
	else
		code = decode_fields(msg, &unpacked.data, storage, err);
	msgpack_unpacked_destroy(&unpacked);
	return code;
}

enum pd_code pd_message_decode(struct pd_message *msg, const void *data, size_t len,
			       struct pd_error *err)
{
	struct storage *storage;
	const char *fault;
	enum pd_code code;

	memset(msg, 0, sizeof(*msg));
	if (len > PD_MESSAGE_MAX_BYTES)
		return pd_error_set(err, PD_LAYER_PROTOCOL, PD_INVALID,
				    "message of %zu bytes exceeds the limit of %d bytes", len,
				    PD_MESSAGE_MAX_BYTES);
	code = check_version(data, len, err);
	if (code)
		return code;
	fault = pd_msgpack_check(data, len, ITEMS_MAX);
	if (fault)
		return pd_error_set(err, PD_LAYER_PROTOCOL, PD_INVALID, "%s", fault);
	storage = malloc(sizeof(*storage) + len);
	if (!storage)
		return pd_error_set(err, PD_LAYER_PROTOCOL, PD_NO_MEMORY,
				    "out of memory for a message");
	storage->array = NULL;
	memcpy(storage->bytes, data, len);
	msg->storage = storage;
	code = unpack(msg, storage, len, err);
	if (code)
		pd_message_finish(msg);
	return code;
}

void pd_message_finish(struct pd_message *msg)
{
	struct storage *storage = msg->storage;

	if (!storage)
		return;
	free(storage->array);
	free(storage);
	msg->storage = NULL;
}
