/**
 * DOC: Merging the records of several parts
 *
 * A record has 16 bytes, and records are ordered bytewise. Bytes after the last complete record of
 * a part are ignored.
 */
#ifndef PD_MERGE_H
#define PD_MERGE_H

#include <stddef.h>

#include "str.h"

#define PD_RECORD_BYTES 16

/**
 * pd_merge_top() - collect the greatest records of all parts, in descending order
 * @parts: bodies of the parts' responses
 * @count: number of entries in @parts
 * @top_k: maximum number of records in the result
 * @out: buffer to which the records are appended
 *
 * Return: false if memory runs out.
 */
bool pd_merge_top(const struct pd_str *parts, size_t count, size_t top_k, struct pd_buf *out);

#endif
