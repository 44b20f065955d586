#include "feed_message.h"

#include <arpa/inet.h>
#include <math.h>
#include <string.h>

#include "msgpack_check.h"
#include "os.h"

/* Since 5, messages state revisions of the store; since 7, upstreams have versions; since 8, they
 * have the rate limits that the source knows; since 9, holds of removals have an end; since 10,
 * crashes have a service and an age, and can be removed. An instance of another version isn't
 * followed: how recent its messages are, or which upstreams may get requests, is unknown.
 */
#define FORMAT_VERSION	     10
#define REVISION_FIELD_COUNT 2
#define UPSTREAM_FIELD_COUNT (11 + REVISION_FIELD_COUNT)
/* Limits are sent in millionths, increased by 1; 0 for none. */
#define LIMIT_UNIT	1e6
#define LIMIT_MAX_PER_S 1e9
#define ARRAY_ITEMS_MAX (PD_FEED_ZONES_MAX + REVISION_FIELD_COUNT + 2)

static int append(void *data, const char *bytes, size_t len)
{
	return pd_buf_append(data, bytes, len) ? 0 : -1;
}

static void pack_str(msgpack_packer *packer, struct pd_str s)
{
	msgpack_pack_str(packer, s.len);
	msgpack_pack_str_body(packer, s.data, s.len);
}

static void pack_revision(msgpack_packer *packer, struct pd_revision revision)
{
	msgpack_pack_uint64(packer, revision.era);
	msgpack_pack_uint64(packer, revision.number);
}

static void pack_limit(msgpack_packer *packer, const struct pd_upstream_entry *entry)
{
	double limit_per_s = fmin(entry->limit_per_s, LIMIT_MAX_PER_S);

	msgpack_pack_uint64(packer,
			    entry->has_limit ? 1 + (uint64_t)(limit_per_s * LIMIT_UNIT) : 0);
}

static void pack_upstream(msgpack_packer *packer, const struct pd_upstream_entry *entry)
{
	pack_str(packer, entry->id_text.len ? entry->id_text : pd_name_str(&entry->id));
	pack_str(packer, pd_name_str(&entry->service));
	pack_str(packer, pd_name_str(&entry->zone));
	pack_str(packer, pd_str_from(entry->address.text));
	msgpack_pack_uint32(packer, entry->draining);
	msgpack_pack_uint32(packer, entry->slots);
	msgpack_pack_int64(packer, entry->cold_ms);
	msgpack_pack_int64(packer, entry->started_unix_ms);
	msgpack_pack_uint64(packer, entry->sequence);
	pack_revision(packer, entry->revision);
	pack_str(packer, pd_name_str(&entry->version));
	pack_limit(packer, entry);
}

static size_t field_count(const struct pd_feed_message *msg)
{
	switch (msg->kind) {
	case PD_FEED_UPSTREAM:
		return UPSTREAM_FIELD_COUNT;
	case PD_FEED_EVACUATIONS:
		return REVISION_FIELD_COUNT + msg->evacuations.count;
	case PD_FEED_BATCH:
	case PD_FEED_CONFIG:
	case PD_FEED_HEARTBEAT:
		return 2;
	case PD_FEED_CRASH_REMOVED:
		return 3;
	case PD_FEED_CRASH:
		return 5;
	case PD_FEED_HELLO:
		return 1;
	case PD_FEED_REMOVED:
	case PD_FEED_ROLLOUTS:
		return 1 + REVISION_FIELD_COUNT;
	case PD_FEED_LIST_BEGIN:
	case PD_FEED_LIST_END:
	case PD_FEED_PROGRESS:
		return REVISION_FIELD_COUNT;
	case PD_FEED_LIST_FAILED:
		return 0;
	}
	return 0;
}

void pd_feed_message_encode(const struct pd_feed_message *msg, struct pd_buf *out)
{
	size_t start = out->len;
	msgpack_packer packer;
	uint32_t length = 0;

	pd_buf_append(out, &length, sizeof(length));
	msgpack_packer_init(&packer, out, append);
	msgpack_pack_array(&packer, 2 + field_count(msg));
	msgpack_pack_uint32(&packer, FORMAT_VERSION);
	msgpack_pack_uint32(&packer, (uint32_t)msg->kind);
	switch (msg->kind) {
	case PD_FEED_HELLO:
		pack_str(&packer, pd_name_str(&msg->hello));
		break;
	case PD_FEED_UPSTREAM:
		pack_upstream(&packer, &msg->upstream);
		break;
	case PD_FEED_REMOVED:
		pack_str(&packer, pd_name_str(&msg->removed.id));
		pack_revision(&packer, msg->removed.at);
		break;
	case PD_FEED_CONFIG:
		pack_str(&packer, msg->config.text);
		msgpack_pack_int64(&packer, msg->config.received_unix_ms);
		break;
	case PD_FEED_EVACUATIONS:
		pack_revision(&packer, msg->evacuations.at);
		for (size_t i = 0; i < msg->evacuations.count; i++)
			pack_str(&packer, pd_name_str(&msg->evacuations.zones[i]));
		break;
	case PD_FEED_ROLLOUTS:
		pack_revision(&packer, msg->rollouts.at);
		pack_str(&packer, msg->rollouts.text);
		break;
	case PD_FEED_HEARTBEAT:
		msgpack_pack_uint32(&packer, msg->heartbeat.store_reachable);
		msgpack_pack_uint32(&packer, msg->heartbeat.hold_ms);
		break;
	case PD_FEED_CRASH:
		msgpack_pack_uint64(&packer, msg->crash.fingerprint);
		pack_str(&packer, pd_name_str(&msg->crash.event));
		msgpack_pack_uint64(&packer, msg->crash.service);
		msgpack_pack_uint32(&packer, msg->crash.age_ms);
		msgpack_pack_uint32(&packer, msg->crash.partial);
		break;
	case PD_FEED_CRASH_REMOVED:
		msgpack_pack_uint64(&packer, msg->crash_removed.fingerprint);
		pack_str(&packer, pd_name_str(&msg->crash_removed.event));
		msgpack_pack_uint32(&packer, msg->crash_removed.deleted);
		break;
	case PD_FEED_BATCH:
		pack_str(&packer, msg->batch.data);
		msgpack_pack_uint32(&packer, msg->batch.decoded_bytes);
		break;
	case PD_FEED_LIST_BEGIN:
	case PD_FEED_LIST_END:
	case PD_FEED_PROGRESS:
		pack_revision(&packer, msg->at);
		break;
	case PD_FEED_LIST_FAILED:
		break;
	}
	if (out->failed)
		return;
	length = htonl((uint32_t)(out->len - start - sizeof(length)));
	memcpy(out->data + start, &length, sizeof(length));
}

static bool to_str(const msgpack_object *object, struct pd_str *s)
{
	if (object->type != MSGPACK_OBJECT_STR)
		return false;
	*s = (struct pd_str){object->via.str.ptr, object->via.str.size};
	return true;
}

static bool to_name(const msgpack_object *object, struct pd_name *name)
{
	struct pd_str s;

	return to_str(object, &s) && pd_name_set(name, s);
}

static bool to_number(const msgpack_object *object, uint64_t max, uint64_t *number)
{
	if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER || object->via.u64 > max)
		return false;
	*number = object->via.u64;
	return true;
}

static bool to_address(const msgpack_object *object, struct pd_address_view *view)
{
	struct pd_address address;
	struct pd_str text;

	memset(view, 0, sizeof(*view));
	if (!to_str(object, &text) || pd_address_parse(text, &address, NULL) != PD_OK ||
	    !address.port || !pd_str_copy(text, view->text, sizeof(view->text)))
		return false;
	view->in.sin_family = AF_INET;
	view->in.sin_port = htons(address.port);
	return inet_pton(AF_INET, address.ip, &view->in.sin_addr) == 1;
}

static bool to_revision(const msgpack_object *fields, struct pd_revision *revision)
{
	return to_number(&fields[0], UINT64_MAX, &revision->era) &&
	       to_number(&fields[1], UINT64_MAX, &revision->number);
}

/* Decodes the names of evacuated zones. */
static bool decode_zones(const msgpack_object *fields, size_t count, struct pd_feed_message *msg)
{
	if (count > PD_FEED_ZONES_MAX)
		return false;
	msg->evacuations.count = count;
	for (size_t i = 0; i < count; i++) {
		if (!to_name(&fields[i], &msg->evacuations.zones[i]))
			return false;
	}
	return true;
}

/* Decodes a name that may be empty. */
static bool to_optional_name(const msgpack_object *object, struct pd_name *name)
{
	struct pd_str s;

	memset(name, 0, sizeof(*name));
	return to_str(object, &s) && (!s.len || pd_name_set(name, s));
}

static bool decode_upstream(const msgpack_object *fields, struct pd_upstream_entry *entry)
{
	uint64_t draining, slots, cold, started, limit;
	struct pd_str id;

	if (!to_str(&fields[0], &id) || !pd_upstream_entry_set_id(entry, id) ||
	    !to_name(&fields[1], &entry->service) || !to_name(&fields[2], &entry->zone) ||
	    !to_address(&fields[3], &entry->address) || !to_number(&fields[4], 1, &draining) ||
	    !to_number(&fields[5], UINT32_MAX, &slots) ||
	    !to_number(&fields[6], PD_UPSTREAM_COLD_MAX_MS, &cold) ||
	    !to_number(&fields[7], INT64_MAX, &started) ||
	    !to_number(&fields[8], UINT64_MAX, &entry->sequence) ||
	    !to_revision(&fields[9], &entry->revision) ||
	    !to_optional_name(&fields[11], &entry->version) ||
	    !to_number(&fields[12], (uint64_t)(LIMIT_MAX_PER_S * LIMIT_UNIT) + 1, &limit))
		return false;
	entry->has_limit = limit > 0;
	entry->limit_per_s = limit ? (double)(limit - 1) / LIMIT_UNIT : 0;
	entry->draining = draining != 0;
	entry->slots = (uint32_t)slots;
	entry->cold_ms = (int64_t)cold;
	entry->started_unix_ms = (int64_t)started;
	return true;
}

static bool decode_fields(const msgpack_object *fields, size_t count, struct pd_feed_message *msg)
{
	uint64_t reachable, hold_ms, received, decoded, age_ms, deleted, partial;

	switch (msg->kind) {
	case PD_FEED_HELLO:
		return count == 1 && to_name(&fields[0], &msg->hello);
	case PD_FEED_LIST_BEGIN:
	case PD_FEED_LIST_END:
	case PD_FEED_PROGRESS:
		return count == REVISION_FIELD_COUNT && to_revision(fields, &msg->at);
	case PD_FEED_LIST_FAILED:
		return count == 0;
	case PD_FEED_UPSTREAM:
		return count == UPSTREAM_FIELD_COUNT && decode_upstream(fields, &msg->upstream);
	case PD_FEED_REMOVED:
		return count == 1 + REVISION_FIELD_COUNT && to_name(&fields[0], &msg->removed.id) &&
		       to_revision(&fields[1], &msg->removed.at);
	case PD_FEED_CONFIG:
		if (count != 2 || !to_str(&fields[0], &msg->config.text) ||
		    !to_number(&fields[1], INT64_MAX, &received))
			return false;
		msg->config.received_unix_ms = (int64_t)received;
		return true;
	case PD_FEED_EVACUATIONS:
		return count >= REVISION_FIELD_COUNT && to_revision(fields, &msg->evacuations.at) &&
		       decode_zones(fields + REVISION_FIELD_COUNT, count - REVISION_FIELD_COUNT,
				    msg);
	case PD_FEED_ROLLOUTS:
		return count == 1 + REVISION_FIELD_COUNT &&
		       to_revision(fields, &msg->rollouts.at) &&
		       to_str(&fields[REVISION_FIELD_COUNT], &msg->rollouts.text);
	case PD_FEED_HEARTBEAT:
		if (count != 2 || !to_number(&fields[0], 1, &reachable) ||
		    !to_number(&fields[1], UINT32_MAX, &hold_ms))
			return false;
		msg->heartbeat.store_reachable = reachable != 0;
		msg->heartbeat.hold_ms = (uint32_t)hold_ms;
		return true;
	case PD_FEED_CRASH:
		if (count != 5 || !to_number(&fields[0], UINT64_MAX, &msg->crash.fingerprint) ||
		    !to_name(&fields[1], &msg->crash.event) ||
		    !to_number(&fields[2], UINT64_MAX, &msg->crash.service) ||
		    !to_number(&fields[3], UINT32_MAX, &age_ms) ||
		    !to_number(&fields[4], 1, &partial))
			return false;
		msg->crash.partial = partial != 0;
		msg->crash.age_ms = (uint32_t)age_ms;
		return true;
	case PD_FEED_CRASH_REMOVED:
		if (count != 3 ||
		    !to_number(&fields[0], UINT64_MAX, &msg->crash_removed.fingerprint) ||
		    !to_name(&fields[1], &msg->crash_removed.event) ||
		    !to_number(&fields[2], 1, &deleted))
			return false;
		msg->crash_removed.deleted = deleted != 0;
		return true;
	case PD_FEED_BATCH:
		if (count != 2 || !to_str(&fields[0], &msg->batch.data) ||
		    !to_number(&fields[1], UINT32_MAX, &decoded))
			return false;
		msg->batch.decoded_bytes = (uint32_t)decoded;
		return true;
	}
	return false;
}

static enum pd_code fail_decoding(struct pd_feed_message *msg, enum pd_code code,
				  const char *reason, struct pd_error *err)
{
	pd_feed_message_finish(msg);
	return pd_error_set(err, PD_LAYER_PROTOCOL, code, "feed message: %s", reason);
}

enum pd_code pd_feed_message_decode(struct pd_str frame, struct pd_feed_message *msg,
				    struct pd_error *err)
{
	const char *check_error = pd_msgpack_check(frame.data, frame.len, ARRAY_ITEMS_MAX);
	const msgpack_object *root;
	uint64_t version, kind;

	memset(msg, 0, sizeof(*msg));
	msgpack_unpacked_init(&msg->unpacked);
	if (check_error)
		return fail_decoding(msg, PD_INVALID, check_error, err);
	if (msgpack_unpack_next(&msg->unpacked, frame.data ? frame.data : "", frame.len, NULL) !=
	    MSGPACK_UNPACK_SUCCESS)
		return fail_decoding(msg, PD_INVALID, "malformed msgpack", err);
	root = &msg->unpacked.data;
	if (root->type != MSGPACK_OBJECT_ARRAY || root->via.array.size < 2 ||
	    !to_number(&root->via.array.ptr[0], UINT32_MAX, &version) ||
	    !to_number(&root->via.array.ptr[1], PD_FEED_KIND_MAX, &kind))
		return fail_decoding(msg, PD_INVALID, "version or kind is missing or invalid", err);
	if (version != FORMAT_VERSION)
		return fail_decoding(msg, PD_UNSUPPORTED_VERSION, "unsupported version", err);
	msg->kind = (enum pd_feed_kind)kind;
	if (!decode_fields(root->via.array.ptr + 2, root->via.array.size - 2, msg))
		return fail_decoding(msg, PD_INVALID, "fields are missing or have the wrong type",
				     err);
	return PD_OK;
}

void pd_feed_message_finish(struct pd_feed_message *msg)
{
	msgpack_unpacked_destroy(&msg->unpacked);
}
