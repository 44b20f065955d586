/**
 * DOC: Checks the answers that callers received against the request records of the upstreams
 */
#ifndef BENCH_AUDIT_H
#define BENCH_AUDIT_H

#include "runs.h"

/**
 * struct bench_audit - counts of checked items and of violations
 * @answers_checked: number of complete and partial answers that were checked
 * @hits_checked: number of hits that were checked
 * @hits_without_record: hits for which the upstream recorded no response to this query with the
 * same snapshot and bucket range
 * @wrong_coverage: answers whose stated coverage differs from the union of the bucket ranges of
 * their recorded hits
 * @records_used_twice: hits that match only a record that another hit has matched already
 * @hits_with_lost_record: hits that were not checked, because the upstream process was stopped and
 * its record was lost with it
 * @unreadable_records: upstreams that were never stopped and whose record could not be read
 * completely
 * @zone_out_requests: requests that arrived at an upstream later than the target time of 3 s after
 * its zone was set out, and before the zone was set in again
 * @ids: number of ids of non-idempotent requests
 * @ids_complete: ids for which at least one answer says "complete"
 * @ids_refused: ids without a "complete" answer, for which at least one answer says "refused"
 * @ids_unknown: ids with neither a "complete" nor a "refused" answer
 * @ids_executed_twice: ids that upstreams began to execute more than once in total
 * @ids_falsely_refused: ids with a "refused" answer that were executed or also answered "complete"
 * @ids_complete_not_executed: ids answered "complete" that no upstream began to execute; ids of a
 * service with a lost record are not counted
 * @runs_begun: non-idempotent requests that upstreams began to execute
 */
struct bench_audit {
	uint64_t answers_checked;
	uint64_t hits_checked;
	uint64_t hits_without_record;
	uint64_t wrong_coverage;
	uint64_t records_used_twice;
	uint64_t hits_with_lost_record;
	uint64_t unreadable_records;
	uint64_t zone_out_requests;
	uint64_t ids;
	uint64_t ids_complete;
	uint64_t ids_refused;
	uint64_t ids_unknown;
	uint64_t ids_executed_twice;
	uint64_t ids_falsely_refused;
	uint64_t ids_complete_not_executed;
	uint64_t runs_begun;
};

/*
 * Reads the record of every upstream and fills @audit. Must not be called before the last
 * sub-request has begun or expired. Prints the first violations of each kind to standard error.
 */
enum pd_code bench_audit_run(struct bench_audit *audit, const struct bench_load *load,
			     const struct bench_runs *runs, struct pd_error *err);

#endif
