/**
 * DOC: Structure check of messages before msgpack-c allocates what their array headers claim
 */
#ifndef PD_MSGPACK_CHECK_H
#define PD_MSGPACK_CHECK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * struct pd_msgpack_scan - position in a message
 * @data: message
 * @len: its length in bytes
 * @pos: bytes read
 * @declared_items: items that arrays claimed
 */
struct pd_msgpack_scan {
	const uint8_t *data;
	size_t len;
	size_t pos;
	uint32_t declared_items;
};

/**
 * struct pd_msgpack_item - header of one msgpack item
 * @is_array: an array
 * @is_uint: an unsigned integer
 * @value: the integer
 * @str_len: bytes of a string that follow the header
 * @array_len: items of an array
 */
struct pd_msgpack_item {
	bool is_array;
	bool is_uint;
	uint64_t value;
	size_t str_len;
	uint32_t array_len;
};

/* Reads one header. Only the formats that messages use pass: unsigned integers, bool, str, array.
 */
bool pd_msgpack_scan_header(struct pd_msgpack_scan *s, struct pd_msgpack_item *item);
/* Returns the fault, or NULL when @data is exactly one array of at most @items_max items in all,
 * which is safe to unpack. */
const char *pd_msgpack_check(const void *data, size_t len, uint32_t items_max);

#endif
