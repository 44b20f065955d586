/**
 * DOC: Compares the answers that callers got with the upstreams' own records
 */
#ifndef BENCH_AUDIT_H
#define BENCH_AUDIT_H

#include "runs.h"

/**
 * struct bench_audit - what the comparison gave
 * @answers_checked: whole and partial answers checked
 * @hits_checked: hits checked
 * @hits_without_record: no answer of that upstream to this query has that snapshot and range
 * @wrong_coverage: answers whose stated coverage isn't the union of their records' ranges
 * @records_used_twice: hits whose record another hit has used already
 * @hits_with_lost_record: hits not checked, since the upstream's record ended with its process
 * @unreadable_records: upstreams that run and whose record can't be read whole
 * @zone_out_requests: requests that came to an upstream of a zone later than ZONE_OUT_MS after it
 * was taken out
 * @ids: non-idempotent requests
 * @ids_complete: ids with an answer that says complete
 * @ids_refused: ids without such an answer and with one that says "not run"
 * @ids_unknown: all other ids
 * @ids_executed_twice: ids that began more than once, over all upstreams
 * @ids_falsely_refused: ids that some answer called "not run", and that began or were called
 * complete
 * @ids_complete_not_executed: ids called complete that never began
 * @runs_begun: requests with such an id that upstreams began
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
 * Reads the record of every upstream and fills @audit; call once no sub-request can begin any more.
 * Prints the first violations of each kind to standard error.
 */
enum pd_code bench_audit_run(struct bench_audit *audit, const struct bench_load *load,
			     const struct bench_runs *runs, struct pd_error *err);

#endif
