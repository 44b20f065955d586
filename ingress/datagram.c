#include "datagram.h"

#include <msgpack.h>
#include <string.h>

#include "msgpack_check.h"

#define FORMAT_VERSION 1

static int append(void *data, const char *bytes, size_t len)
{
	return pd_buf_append(data, bytes, len) ? 0 : -1;
}

void pd_datagram_put_uint(struct pd_buf *payload, uint64_t value)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, payload, append);
	msgpack_pack_uint64(&packer, value);
}

void pd_datagram_put_str(struct pd_buf *payload, struct pd_str s)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, payload, append);
	msgpack_pack_str(&packer, s.len);
	msgpack_pack_str_body(&packer, s.data, s.len);
}

bool pd_datagram_encode(const struct pd_datagram *datagram, struct pd_buf *out)
{
	if (datagram->payload.len > PD_DATAGRAM_PAYLOAD_MAX_BYTES)
		return false;
	pd_datagram_put_uint(out, FORMAT_VERSION);
	pd_datagram_put_uint(out, (uint64_t)datagram->kind);
	pd_datagram_put_str(out, pd_name_str(&datagram->sender));
	pd_datagram_put_str(out, pd_name_str(&datagram->zone));
	pd_datagram_put_uint(out, datagram->incarnation);
	pd_datagram_put_uint(out, datagram->hops);
	pd_buf_append_str(out, datagram->payload);
	return !out->failed;
}

void pd_datagram_reader_init(struct pd_datagram_reader *reader, struct pd_str payload)
{
	reader->rest = payload;
	reader->failed = false;
}

bool pd_datagram_reader_at_end(const struct pd_datagram_reader *reader)
{
	return !reader->rest.len;
}

/* Reads the header of an item; false, and the reader has failed, if there is none. */
static bool read_header(struct pd_datagram_reader *reader, struct pd_msgpack_item *item)
{
	struct pd_msgpack_scan scan = {.data = (const uint8_t *)reader->rest.data,
				       .len = reader->rest.len};

	reader->failed =
		reader->failed || !reader->rest.len || !pd_msgpack_scan_header(&scan, item);
	if (reader->failed)
		return false;
	reader->rest.data += scan.pos;
	reader->rest.len -= scan.pos;
	return true;
}

uint64_t pd_datagram_get_uint(struct pd_datagram_reader *reader)
{
	struct pd_msgpack_item item;

	if (!read_header(reader, &item))
		return 0;
	reader->failed = !item.is_uint;
	return item.is_uint ? item.value : 0;
}

struct pd_str pd_datagram_get_str(struct pd_datagram_reader *reader)
{
	/* The scan describes a bool like an empty string. */
	bool is_bool = reader->rest.len && ((uint8_t)reader->rest.data[0] == 0xc2 ||
					    (uint8_t)reader->rest.data[0] == 0xc3);
	struct pd_msgpack_item item;
	struct pd_str s;

	if (!read_header(reader, &item))
		return (struct pd_str){NULL, 0};
	if (is_bool || item.is_uint || item.is_array || item.str_len > reader->rest.len) {
		reader->failed = true;
		return (struct pd_str){NULL, 0};
	}
	s = (struct pd_str){reader->rest.data, item.str_len};
	reader->rest.data += s.len;
	reader->rest.len -= s.len;
	return s;
}

bool pd_datagram_decode(struct pd_str bytes, struct pd_datagram *datagram)
{
	struct pd_datagram_reader reader;
	uint64_t version, kind, hops;

	memset(datagram, 0, sizeof(*datagram));
	pd_datagram_reader_init(&reader, bytes);
	version = pd_datagram_get_uint(&reader);
	kind = pd_datagram_get_uint(&reader);
	if (reader.failed || version != FORMAT_VERSION || !kind || kind > PD_DATAGRAM_KIND_MAX)
		return false;
	datagram->kind = (enum pd_datagram_kind)kind;
	if (!pd_name_set(&datagram->sender, pd_datagram_get_str(&reader)) ||
	    !pd_name_set(&datagram->zone, pd_datagram_get_str(&reader)))
		return false;
	datagram->incarnation = pd_datagram_get_uint(&reader);
	hops = pd_datagram_get_uint(&reader);
	datagram->hops = (uint32_t)hops;
	datagram->payload = reader.rest;
	return !reader.failed && hops <= PD_DATAGRAM_HOPS_MAX &&
	       datagram->payload.len <= PD_DATAGRAM_PAYLOAD_MAX_BYTES;
}
