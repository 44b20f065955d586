/**
 * DOC: Length-counted strings and byte buffers
 */
#ifndef PD_STR_H
#define PD_STR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * struct pd_str - a non-owning view of bytes, not NUL-terminated
 * @data: first byte; may be NULL when @len is 0
 * @len: length in bytes
 */
struct pd_str {
	const char *data;
	size_t len;
};

/* Expands to the two printf arguments of a %.*s conversion. */
#define PD_STR_ARG(s) (int)(s).len, (s).data ? (s).data : ""
/* A view of a string literal. */
#define PD_STR(literal) ((struct pd_str){"" literal, sizeof(literal) - 1})

/* Returns a view of a NUL-terminated string; NULL gives an empty view. */
struct pd_str pd_str_from(const char *text);
bool pd_str_equal(struct pd_str a, struct pd_str b);
/* Whether @a equals the NUL-terminated @text. */
bool pd_str_is(struct pd_str a, const char *text);
/* Compares like memcmp(); a string sorts after its prefixes. */
int pd_str_compare(struct pd_str a, struct pd_str b);
/* Parses all of @s as an unsigned decimal number; false if it is empty, holds other characters or
 * exceeds UINT64_MAX. */
bool pd_str_to_u64(struct pd_str s, uint64_t *value);
/* Copies @s and a NUL to @out, which has @size bytes; false and an empty @out if it does not fit.
 */
bool pd_str_copy(struct pd_str s, char *out, size_t size);
uint64_t pd_str_hash(struct pd_str s, uint64_t seed); /* 64-bit xxHash */

#define PD_NAME_MAX_BYTES 63 /* for names of instances, zones, services and so on */

/**
 * struct pd_name - a name of at most PD_NAME_MAX_BYTES, stored by value
 * @text: the name, NUL-terminated
 * @len: length in bytes, without the NUL
 */
struct pd_name {
	char text[PD_NAME_MAX_BYTES + 1];
	uint8_t len;
};

/* Stores @s; false and an empty @name if @s is empty, too long or has bytes outside [A-Za-z0-9._-].
 */
bool pd_name_set(struct pd_name *name, struct pd_str s);
/* The same for a text that others choose, such as the name of a service: one that is too long or
 * has other bytes is replaced by its start and its hash, so that equal texts have equal names.
 * False if
 * @s is empty.
 */
bool pd_name_set_any(struct pd_name *name, struct pd_str s);
struct pd_str pd_name_str(const struct pd_name *name);
bool pd_name_equal(const struct pd_name *a, const struct pd_name *b);

/**
 * struct pd_buf - growable byte buffer; a zeroed struct is a valid empty buffer
 * @data: contents, NUL-terminated once allocated
 * @len: length of the contents in bytes, without the NUL
 * @cap: allocated size in bytes
 * @failed: an allocation failed or @max was exceeded; further appends do nothing
 * @max: maximum length in bytes; 0 means no limit
 */
struct pd_buf {
	char *data;
	size_t len;
	size_t cap;
	bool failed;
	size_t max;
};

void pd_buf_init(struct pd_buf *buf, size_t max);
void pd_buf_finish(struct pd_buf *buf); /* frees the memory; @buf can be used again */
void pd_buf_clear(struct pd_buf *buf); /* empties @buf, resets @failed and keeps the memory */
/* The append functions return false once @failed is set. */
bool pd_buf_append(struct pd_buf *buf, const void *data, size_t len);
bool pd_buf_append_str(struct pd_buf *buf, struct pd_str s);
bool pd_buf_printf(struct pd_buf *buf, const char *format, ...)
	__attribute__((format(printf, 2, 3)));
struct pd_str pd_buf_str(const struct pd_buf *buf);

#endif
