#include "str.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

struct pd_str pd_str_from(const char *text)
{
	return (struct pd_str){text, text ? strlen(text) : 0};
}

bool pd_str_equal(struct pd_str a, struct pd_str b)
{
	return a.len == b.len && (!a.len || !memcmp(a.data, b.data, a.len));
}

bool pd_str_is(struct pd_str a, const char *text)
{
	return pd_str_equal(a, pd_str_from(text));
}

int pd_str_compare(struct pd_str a, struct pd_str b)
{
	size_t shorter = a.len < b.len ? a.len : b.len;
	int order = shorter ? memcmp(a.data, b.data, shorter) : 0;

	if (order)
		return order;
	return (a.len > b.len) - (a.len < b.len);
}

bool pd_str_to_u64(struct pd_str s, uint64_t *value)
{
	uint64_t v = 0;

	if (!s.len)
		return false;
	for (size_t i = 0; i < s.len; i++) {
		if (s.data[i] < '0' || s.data[i] > '9')
			return false;
		if (__builtin_mul_overflow(v, 10, &v) ||
		    __builtin_add_overflow(v, (uint64_t)(s.data[i] - '0'), &v))
			return false;
	}
	*value = v;
	return true;
}

bool pd_str_copy(struct pd_str s, char *out, size_t size)
{
	if (s.len >= size) {
		out[0] = '\0';
		return false;
	}
	if (s.len)
		memcpy(out, s.data, s.len);
	out[s.len] = '\0';
	return true;
}

uint64_t pd_str_hash(struct pd_str s, uint64_t seed)
{
	return XXH64(s.data, s.len, seed);
}

/* Number of bytes of a text that its name begins with, if the rest of the name is its hash: a dot
 * and 16 hexadecimal digits.
 */
#define HASHED_PREFIX_BYTES (PD_NAME_MAX_BYTES - 17)

static bool is_name_byte(char c)
{
	return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
	       c == '.' || c == '_' || c == '-';
}

bool pd_name_set(struct pd_name *name, struct pd_str s)
{
	memset(name, 0, sizeof(*name));
	if (!s.len || s.len > PD_NAME_MAX_BYTES)
		return false;
	for (size_t i = 0; i < s.len; i++) {
		if (!is_name_byte(s.data[i]))
			return false;
	}
	memcpy(name->text, s.data, s.len);
	name->len = (uint8_t)s.len;
	return true;
}

bool pd_name_set_any(struct pd_name *name, struct pd_str s)
{
	char text[PD_NAME_MAX_BYTES + 1];
	size_t len = s.len < HASHED_PREFIX_BYTES ? s.len : HASHED_PREFIX_BYTES;

	if (pd_name_set(name, s))
		return true;
	if (!s.len)
		return false;
	for (size_t i = 0; i < len; i++)
		text[i] = is_name_byte(s.data[i]) ? s.data[i] : '_';
	snprintf(text + len, sizeof(text) - len, ".%016" PRIx64, pd_str_hash(s, 0));
	return pd_name_set(name, pd_str_from(text));
}

struct pd_str pd_name_str(const struct pd_name *name)
{
	return (struct pd_str){name->text, name->len};
}

bool pd_name_equal(const struct pd_name *a, const struct pd_name *b)
{
	return pd_str_equal(pd_name_str(a), pd_name_str(b));
}

void pd_buf_init(struct pd_buf *buf, size_t max)
{
	memset(buf, 0, sizeof(*buf));
	buf->max = max;
}

void pd_buf_finish(struct pd_buf *buf)
{
	free(buf->data);
	pd_buf_init(buf, buf->max);
}

void pd_buf_clear(struct pd_buf *buf)
{
	buf->len = 0;
	buf->failed = false;
	if (buf->data)
		buf->data[0] = '\0';
}

static bool buf_reserve(struct pd_buf *buf, size_t extra)
{
	size_t needed = buf->len + extra + 1;
	size_t cap = buf->cap ? buf->cap : 64;
	char *data;

	if (buf->failed || (buf->max && buf->len + extra > buf->max)) {
		buf->failed = true;
		return false;
	}
	if (needed <= buf->cap)
		return true;
	while (cap < needed)
		cap *= 2;
	data = realloc(buf->data, cap);
	if (!data) {
		buf->failed = true;
		return false;
	}
	buf->data = data;
	buf->cap = cap;
	return true;
}

bool pd_buf_append(struct pd_buf *buf, const void *data, size_t len)
{
	if (!buf_reserve(buf, len))
		return false;
	if (len)
		memcpy(buf->data + buf->len, data, len);
	buf->len += len;
	buf->data[buf->len] = '\0';
	return true;
}

bool pd_buf_append_str(struct pd_buf *buf, struct pd_str s)
{
	return pd_buf_append(buf, s.data, s.len);
}

bool pd_buf_printf(struct pd_buf *buf, const char *format, ...)
{
	va_list args;
	int len;

	va_start(args, format);
	len = vsnprintf(NULL, 0, format, args);
	va_end(args);
	if (len < 0 || !buf_reserve(buf, (size_t)len))
		return false;
	va_start(args, format);
	vsnprintf(buf->data + buf->len, (size_t)len + 1, format, args);
	va_end(args);
	buf->len += (size_t)len;
	return true;
}

struct pd_str pd_buf_str(const struct pd_buf *buf)
{
	return (struct pd_str){buf->data, buf->len};
}
