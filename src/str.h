/**
 * DOC: Length-counted strings and byte buffers
 */
#ifndef PD_STR_H
#define PD_STR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * struct pd_str - a view of bytes that someone else owns; not NUL-terminated
 * @data: first byte; may be NULL when @len is 0
 * @len: length in bytes
 */
struct pd_str {
	const char *data;
	size_t len;
};

/* printf arguments for a %.*s conversion. */
#define PD_STR_ARG(s)	(int)(s).len, (s).data ? (s).data : ""
#define PD_STR(literal) ((struct pd_str){"" literal, sizeof(literal) - 1})

struct pd_str
pd_str_from(const char *text); /* of a NUL-terminated text; NULL gives an empty view */
bool pd_str_equal(struct pd_str a, struct pd_str b);
bool pd_str_is(struct pd_str a, const char *text);
int pd_str_compare(struct pd_str a, struct pd_str b); /* as memcmp, the shorter first */
/* Parses all of @s as decimal; false when empty, not a number, or over UINT64_MAX. */
bool pd_str_to_u64(struct pd_str s, uint64_t *value);
/* Copies @s to the array @out of @size bytes with a NUL; false (and an empty @out) when too long.
 */
bool pd_str_copy(struct pd_str s, char *out, size_t size);
uint64_t pd_str_hash(struct pd_str s, uint64_t seed); /* xxHash, 64 bits */

#define PD_NAME_MAX_BYTES 63 /* bytes of a name of an instance, zone, service, ... */

/**
 * struct pd_name - a short name, held by value
 * @text: bytes, followed by a NUL
 * @len: length in bytes, without the NUL
 */
struct pd_name {
	char text[PD_NAME_MAX_BYTES + 1];
	uint8_t len;
};

/* False, and an empty @name, when @s is empty, too long, or has bytes outside [A-Za-z0-9._-]. */
bool pd_name_set(struct pd_name *name, struct pd_str s);
struct pd_str pd_name_str(const struct pd_name *name);
bool pd_name_equal(const struct pd_name *a, const struct pd_name *b);

/**
 * struct pd_buf - growing byte buffer; all zero is a valid empty one
 * @data: bytes, always followed by a NUL once allocated
 * @len: bytes in use
 * @cap: bytes allocated
 * @failed: an allocation failed or @max was exceeded; later appends do nothing
 * @max: most bytes it may hold; 0 means no limit
 */
struct pd_buf {
	char *data;
	size_t len;
	size_t cap;
	bool failed;
	size_t max;
};

void pd_buf_init(struct pd_buf *buf, size_t max);
void pd_buf_finish(struct pd_buf *buf);
void pd_buf_clear(struct pd_buf *buf); /* keeps the allocation */
bool pd_buf_append(struct pd_buf *buf, const void *data, size_t len);
bool pd_buf_append_str(struct pd_buf *buf, struct pd_str s);
bool pd_buf_printf(struct pd_buf *buf, const char *format, ...)
	__attribute__((format(printf, 2, 3)));
struct pd_str pd_buf_str(const struct pd_buf *buf);

#endif
