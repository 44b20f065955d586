/**
 * DOC: Structure check of messages before they are passed to msgpack-c
 *
 * msgpack-c allocates memory for as many items as an array header claims, so a small malicious
 * message could make it allocate gigabytes.
 */
#ifndef PD_MSGPACK_CHECK_H
#define PD_MSGPACK_CHECK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * struct pd_msgpack_scan - read position in a message
 * @data: message
 * @len: length of @data in bytes
 * @pos: offset of the next byte to read
 * @declared_items: sum of the item counts in the array headers read so far
 */
struct pd_msgpack_scan {
	const uint8_t *data;
	size_t len;
	size_t pos;
	uint32_t declared_items;
};

/**
 * struct pd_msgpack_item - header of one msgpack item
 * @is_array: the item is an array
 * @is_uint: the item is an unsigned integer
 * @value: value of an unsigned integer
 * @str_len: length of a string in bytes; its bytes follow the header
 * @array_len: number of items of an array
 */
struct pd_msgpack_item {
	bool is_array;
	bool is_uint;
	uint64_t value;
	size_t str_len;
	uint32_t array_len;
};

/* Reads one header; false if it is truncated or has a format that messages do not use, that is, any
 * but unsigned integer, bool, str and array. */
bool pd_msgpack_scan_header(struct pd_msgpack_scan *s, struct pd_msgpack_item *item);
/* Returns NULL if @data is exactly one array with at most @items_max items in all its arrays, which
 * is safe to unpack, or else a description of the fault. */
const char *pd_msgpack_check(const void *data, size_t len, uint32_t items_max);

#endif
