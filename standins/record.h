/**
 * DOC: Records of the requests that a stand-in upstream received
 *
 * Keeps the last STANDIN_RECORDS_MAX records in a ring buffer. Not thread-safe.
 */
#ifndef STANDIN_RECORD_H
#define STANDIN_RECORD_H

#include "str.h"

#define STANDIN_RECORDS_MAX	     200000
#define STANDIN_REQUEST_ID_MAX_BYTES 127

/**
 * enum standin_overload - whether a request exceeded the capacity of a cold upstream
 * @STANDIN_OVERLOAD_NONE: the request didn't exceed it
 * @STANDIN_OVERLOAD_COUNTED: the request exceeded it, and its sender could know of the cold start
 * @STANDIN_OVERLOAD_UNANNOUNCED: the request exceeded it, but its sender couldn't know yet that the
 * upstream was cold
 */
enum standin_overload {
	STANDIN_OVERLOAD_NONE = 0,
	STANDIN_OVERLOAD_COUNTED,
	STANDIN_OVERLOAD_UNANNOUNCED,
};

/**
 * struct standin_record - record of one request
 * @seq: sequence number in order of arrival, from 1
 * @request_id: id of the request, NUL-terminated, owned by the record
 * @snapshot: index version that the request named; 0 if it may run on any version
 * @first: first bucket of the range that the response covers
 * @last: last bucket of that range (inclusive)
 * @has_range: @first and @last are set
 * @status: HTTP status of the response; 0 while the request is queued or running, and if the
 * connection was closed without a response
 * @begun: execution of the request has started
 * @finished: the request was executed completely
 * @cold: execution started while the upstream was cold
 * @overload: whether the request exceeded the capacity of the cold upstream
 * @in_flight: requests in execution just after this one started, including this one
 * @arrived_ms: Unix time of arrival, in milliseconds
 * @started_ms: Unix time at which execution started, in milliseconds; 0 if it hasn't
 * @ended_ms: Unix time at which the request ended, in milliseconds; 0 while it is queued or running
 * @service_us: service time that was drawn for a warm upstream, in microseconds
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
 * struct standin_records - ring buffer of records; zero-initialised when empty
 * @items: records; the one with sequence number n is at (n - 1) % STANDIN_RECORDS_MAX
 * @cap: number of entries allocated in @items
 * @last_seq: sequence number of the newest record; 0 if there is none
 */
struct standin_records {
	struct standin_record *items;
	size_t cap;
	uint64_t last_seq;
};

void standin_records_finish(struct standin_records *records);
/* Adds a record and returns its sequence number; returns 0 if out of memory. */
uint64_t standin_records_add(struct standin_records *records, struct pd_str request_id);
/*
 * Returns the record with the sequence number @seq, or NULL if there is none or it was overwritten.
 * The pointer is valid until the next call of standin_records_add().
 */
struct standin_record *standin_records_get(struct standin_records *records, uint64_t seq);
/* Returns how many records with a sequence number above @after were overwritten. */
uint64_t standin_records_dropped(const struct standin_records *records, uint64_t after);
/* Appends the records with a sequence number above @after to @out, as a JSON array. */
void standin_records_print(struct standin_records *records, uint64_t after, struct pd_buf *out);
/*
 * Appends at most @max of these records, so that a client can read a long table in several
 * responses.
 */
void standin_records_print_page(struct standin_records *records, uint64_t after, uint64_t max,
				struct pd_buf *out);

#endif
