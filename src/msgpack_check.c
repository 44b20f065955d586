#include "msgpack_check.h"

#include <string.h>

#define NESTING_MAX 3 /* array of the message, array of records, array of a record */

/* Reads a big-endian integer of @bytes bytes. */
static bool scan_number(struct pd_msgpack_scan *s, size_t bytes, uint64_t *value)
{
	*value = 0;
	if (s->len - s->pos < bytes)
		return false;
	for (size_t i = 0; i < bytes; i++)
		*value = *value << 8 | s->data[s->pos++];
	return true;
}

/* Reads the length of an array or a string, stored in @bytes bytes. */
static bool scan_length(struct pd_msgpack_scan *s, size_t bytes, struct pd_msgpack_item *item,
			bool is_array)
{
	uint64_t n;

	if (!scan_number(s, bytes, &n))
		return false;
	item->is_array = is_array;
	if (is_array)
		item->array_len = (uint32_t)n;
	else
		item->str_len = n;
	return true;
}

bool pd_msgpack_scan_header(struct pd_msgpack_scan *s, struct pd_msgpack_item *item)
{
	uint8_t tag;

	memset(item, 0, sizeof(*item));
	if (s->pos == s->len)
		return false;
	tag = s->data[s->pos++];
	if (tag <= 0x7f) {
		item->is_uint = true;
		item->value = tag;
		return true;
	}
	if (tag >= 0x90 && tag <= 0x9f) {
		item->is_array = true;
		item->array_len = tag & 0xf;
		return true;
	}
	if (tag >= 0xa0 && tag <= 0xbf) {
		item->str_len = tag & 0x1f;
		return true;
	}
	if (tag == 0xc2 || tag == 0xc3)
		return true;
	if (tag >= 0xcc && tag <= 0xcf) {
		item->is_uint = true;
		return scan_number(s, (size_t)1 << (tag - 0xcc), &item->value);
	}
	if (tag >= 0xd9 && tag <= 0xdb)
		return scan_length(s, (size_t)1 << (tag - 0xd9), item, false);
	if (tag == 0xdc || tag == 0xdd)
		return scan_length(s, tag == 0xdc ? 2 : 4, item, true);
	return false;
}

/* Reads one item; @remaining holds the unread items of the @depth enclosing arrays. */
static const char *scan_item(struct pd_msgpack_scan *s, uint32_t items_max, uint32_t *remaining,
			     int *depth)
{
	struct pd_msgpack_item item;

	if (!pd_msgpack_scan_header(s, &item))
		return "item is truncated or has an unsupported type";
	if (item.str_len > s->len - s->pos)
		return "string is longer than the message";
	s->pos += item.str_len;
	if (!item.is_array)
		return NULL;
	if (*depth == NESTING_MAX)
		return "arrays are nested too deeply";
	if (item.array_len > items_max || s->declared_items + item.array_len > items_max)
		return "too many items";
	s->declared_items += item.array_len;
	remaining[(*depth)++] = item.array_len;
	return NULL;
}

const char *pd_msgpack_check(const void *data, size_t len, uint32_t items_max)
{
	struct pd_msgpack_scan s = {.data = data, .len = len};
	uint32_t remaining[NESTING_MAX];
	int depth = 0;
	const char *fault = scan_item(&s, items_max, remaining, &depth);

	if (fault)
		return fault;
	if (!depth)
		return "message is not an array";
	while (depth) {
		if (!remaining[depth - 1]) {
			depth--;
			continue;
		}
		remaining[depth - 1]--;
		fault = scan_item(&s, items_max, remaining, &depth);
		if (fault)
			return fault;
	}
	return s.pos == s.len ? NULL : "bytes after the message";
}
