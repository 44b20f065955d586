/**
 * DOC: Merging the records of several parts
 *
 * A record is 16 bytes, compared byte by byte. A remainder shorter than that is no record.
 */
#ifndef PD_MERGE_H
#define PD_MERGE_H

#include <stddef.h>

#include "str.h"

#define PD_RECORD_BYTES 16

/**
 * pd_merge_top() - the greatest records of all parts, greatest first
 * @parts: bodies of the parts
 * @count: number of @parts
 * @top_k: most records in the result
 * @out: records are appended to it
 *
 * Return: false without memory.
 */
bool pd_merge_top(const struct pd_str *parts, size_t count, size_t top_k, struct pd_buf *out);

#endif
