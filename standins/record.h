/**
 * DOC: Records of the requests that an upstream saw
 *
 * The last STANDIN_RECORDS_MAX are kept. Not thread-safe.
 */
#ifndef STANDIN_RECORD_H
#define STANDIN_RECORD_H

#include "str.h"

#define STANDIN_RECORDS_MAX	     200000
#define STANDIN_REQUEST_ID_MAX_BYTES 127 /* bytes */

/** enum standin_overload - whether a request was more than a cold upstream bears */
enum standin_overload {
	STANDIN_OVERLOAD_NONE = 0,
	STANDIN_OVERLOAD_COUNTED,
	STANDIN_OVERLOAD_UNANNOUNCED, /* its sender couldn't know that the upstream is cold */
};

/**
 * struct standin_record - one request
 * @seq: number in order of arrival, from 1
 * @request_id: NUL-terminated, owned by the record
 * @snapshot: that it named
 * @first: first bucket of the range it covers
 * @last: last bucket of the range
 * @has_range: whether it covers a range
 * @status: HTTP status; 0 while it waits or runs, and when the connection closed without an answer
 * @begun: it began to run
 * @finished: it ran to the end
 * @cold: it began while the upstream was cold
 * @overload: it was more than the cold upstream bears
 * @in_flight: requests that ran when it had begun, itself included
 * @arrived_ms: Unix ms
 * @started_ms: Unix ms; 0 when it didn't begin
 * @ended_ms: Unix ms; 0 while it waits or runs
 * @service_us: drawn service time while warm, microseconds
 */
struct standin_record {
	uint64_t seq;
	char *request_id;
	uint64_t snapshot;
	uint32_t first;
	uint32_t last;
	bool has_range;
	unsigned int status;
	bool begun;
	bool finished;
	bool cold;
	enum standin_overload overload;
	uint32_t in_flight;
	int64_t arrived_ms;
	int64_t started_ms;
	int64_t ended_ms;
	int64_t service_us;
};

/**
 * struct standin_records - all zero is the empty table
 * @items: record of number n at (n - 1) % STANDIN_RECORDS_MAX
 * @cap: records allocated
 * @last_seq: newest
 */
struct standin_records {
	struct standin_record *items;
	size_t cap;
	uint64_t last_seq;
};

void standin_records_finish(struct standin_records *records);
/* Number of the new record; 0 without memory. */
uint64_t standin_records_add(struct standin_records *records, struct pd_str request_id);
/* NULL when it was dropped; valid until the next call of standin_records_add(). */
struct standin_record *standin_records_get(struct standin_records *records, uint64_t seq);
/* Number of dropped records behind @after. */
uint64_t standin_records_dropped(const struct standin_records *records, uint64_t after);
/* Appends a JSON array of the records behind @after. */
void standin_records_print(struct standin_records *records, uint64_t after, struct pd_buf *out);
/* The same with at most @max records, so that a long table fits into several responses. */
void standin_records_print_page(struct standin_records *records, uint64_t after, uint64_t max,
				struct pd_buf *out);

#endif
