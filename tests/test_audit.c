/*
 * Checks that the audit of experiments reports each kind of violation: a hit that no upstream
 * recorded, a record that matches two hits, a stated coverage that differs from the records, an id
 * that is executed twice, refused although it was executed, or complete although it was not
 * executed, and requests to a zone that is out. An audit that misses one of them would let an
 * experiment pass with wrong answers.
 */
#include <check.h>
#include <stdlib.h>

/* Test programs are not linked with the objects of bench/, so the source is included here. */
#include "../bench/audit.c" /* NOLINT(bugprone-suspicious-include) */

#define UPSTREAMS 2 /* of one service, each in a zone of its own */

static struct bench_experiment experiment = {
	.seed = 7, .services = 1, .replicas = UPSTREAMS, .zone_count = UPSTREAMS};
static struct bench_deployment deployment;
static struct bench_load load;
static struct bench_runs runs;
static struct bench_result results[2];
static struct bench_run run;
static struct bench_audit audit;

/* JSON objects of each upstream's record, separated by commas; NULL if it cannot be read. */
static const char *records[UPSTREAMS];

/* -- replacements for functions of other sources that the audit calls -- */

enum pd_code bench_get(const struct pd_address *address, const char *path, struct pd_buf *body,
		       struct pd_error *err)
{
	const char *text = records[address->port];
	unsigned long after = 0;

	(void)err;
	ck_assert_int_eq(sscanf(path, "/record?after=%lu", &after), 1);
	if (!text)
		return PD_REFUSED_CONNECTION;
	return pd_buf_printf(body, "[%s]", after ? "" : text) ? PD_OK : PD_NO_MEMORY;
}

void bench_query_id(char *out, size_t size, const struct bench_experiment *e, uint64_t number)
{
	snprintf(out, size, "load-%d-%d", (int)e->seed, (int)number);
}

const struct pd_name *bench_upstream_zone(const struct bench_experiment *e, int service,
					  int replica)
{
	return &e->zones[service + replica];
}

/* -- set-up -- */

#define RECORD(seq, id, covers, status, begun)                                                     \
	"{\"seq\":" #seq ",\"request_id\":\"" id ".e.1.1\",\"snapshot\":5,\"covers\":\"" covers    \
	"\",\"status\":" #status ",\"begun\":" #begun ",\"arrived_ms\":5000}"
#define QUERY	 RECORD(1, "load-7-0", "0-9", 200, true)
#define RUN_ID	 "1700000000000-run-7-0"
#define RUN(seq) RECORD(seq, RUN_ID, "", 200, true)

/* Query 0 has a complete answer with one hit of upstream 0; query 1 has no answer. */
static void set_up(void)
{
	static struct bench_hit hit;

	hit = (struct bench_hit){.snapshot = 5, .upstream = 0, .first = 0, .last = 9};
	deployment.experiment = &experiment;
	deployment.upstream_count = UPSTREAMS;
	deployment.processes[1].address.port = 1;
	results[0] = (struct bench_result){
		.answer = BENCH_ANSWER_COMPLETE, .hits = &hit, .hit_count = 1};
	pd_ranges_add(&results[0].stated_coverage, 0, 9);
	load = (struct bench_load){.experiment = &experiment,
				   .deployment = &deployment,
				   .results = results,
				   .count = 2};
	run = (struct bench_run){.id = RUN_ID};
	runs = (struct bench_runs){.experiment = &experiment, .items = &run, .count = 1};
	records[0] = QUERY;
	records[1] = "";
}

static void run_audit(void)
{
	ck_assert_int_eq(bench_audit_run(&audit, &load, &runs, NULL), PD_OK);
}

/* -- queries -- */

START_TEST(answer_with_matching_record_passes)
{
	run_audit();
	ck_assert_uint_eq(audit.answers_checked, 1);
	ck_assert_uint_eq(audit.hits_checked, 1);
	ck_assert_uint_eq(audit.hits_without_record + audit.wrong_coverage +
				  audit.records_used_twice + audit.unreadable_records,
			  0);
}
END_TEST

START_TEST(hit_needs_record_with_same_upstream_query_snapshot_range_and_status)
{
	static const char *const wrong_records[] = {
		"",
		RECORD(1, "load-7-1", "0-9", 200, true),
		RECORD(1, "load-8-0", "0-9", 200, true),
		RECORD(1, "load-7-0", "0-8", 200, true),
		RECORD(1, "load-7-0", "0-9", 410, true),
		RECORD(1, "load-7-0", "", 200, true),
	};

	for (size_t i = 0; i < sizeof(wrong_records) / sizeof(wrong_records[0]); i++) {
		records[0] = wrong_records[i];
		run_audit();
		ck_assert_uint_eq(audit.hits_without_record, 1);
		ck_assert_uint_eq(audit.wrong_coverage, 1);
	}
	records[0] = "";
	records[1] = QUERY;
	run_audit();
	ck_assert_uint_eq(audit.hits_without_record, 1);
	records[0] = QUERY;
	results[0].hits[0].snapshot = 6;
	run_audit();
	ck_assert_uint_eq(audit.hits_without_record, 1);
}
END_TEST

START_TEST(record_matches_only_one_hit)
{
	struct bench_hit two_hits[2] = {results[0].hits[0], results[0].hits[0]};

	results[0].hits = two_hits;
	results[0].hit_count = 2;
	run_audit();
	ck_assert_uint_eq(audit.records_used_twice, 1);
	records[0] = QUERY "," RECORD(2, "load-7-0", "0-9", 200, true);
	run_audit();
	ck_assert_uint_eq(audit.records_used_twice, 0);
}
END_TEST

START_TEST(stated_coverage_must_equal_recorded_coverage)
{
	pd_ranges_add(&results[0].stated_coverage, 20, 29);
	run_audit();
	ck_assert_uint_eq(audit.wrong_coverage, 1);
	ck_assert_uint_eq(audit.hits_without_record, 0);
}
END_TEST

START_TEST(incomplete_record_is_reported_unless_lost)
{
	records[1] = NULL;
	run_audit();
	ck_assert_uint_eq(audit.unreadable_records, 1);
	records[1] = RECORD(2, "load-7-1", "0-9", 200, true);
	run_audit();
	ck_assert_uint_eq(audit.unreadable_records, 1);
	deployment.records_lost[1] = true;
	run_audit();
	ck_assert_uint_eq(audit.unreadable_records, 0);
}
END_TEST

START_TEST(requests_to_zone_that_is_out_are_counted)
{
	deployment.zone_out_intervals[0] = (struct bench_interval){.from_ms = 2000};
	run_audit();
	ck_assert_uint_eq(audit.zone_out_requests, 1);
	deployment.zone_out_intervals[0] = (struct bench_interval){.from_ms = 2001};
	run_audit();
	ck_assert_uint_eq(audit.zone_out_requests, 0);
	deployment.zone_out_intervals[0] = (struct bench_interval){.from_ms = 1000, .to_ms = 5000};
	run_audit();
	ck_assert_uint_eq(audit.zone_out_requests, 0);
	deployment.zone_out_intervals[0] = (struct bench_interval){0};
	deployment.zone_out_intervals[1] = (struct bench_interval){.from_ms = 1000};
	run_audit();
	ck_assert_uint_eq(audit.zone_out_requests, 0);
}
END_TEST

/* -- ids of non-idempotent requests -- */

/**
 * struct id_case - answers to one id, records of its executions, and the expected violations
 * @complete: number of "complete" answers
 * @refused: number of "refused" answers
 * @unknown: number of answers with an unknown outcome
 * @records: records of upstreams 0 and 1
 * @executed_twice: expected value of ids_executed_twice
 * @false_refusals: expected value of ids_falsely_refused
 * @not_executed: expected value of ids_complete_not_executed
 */
static const struct id_case {
	uint32_t complete;
	uint32_t refused;
	uint32_t unknown;
	const char *records[UPSTREAMS];
	uint64_t executed_twice;
	uint64_t false_refusals;
	uint64_t not_executed;
} id_cases[] = {
	{1, 0, 0, {RUN(1), ""}, 0, 0, 0},
	{0, 1, 0, {"", ""}, 0, 0, 0},
	{0, 0, 1, {"", ""}, 0, 0, 0},
	{0, 0, 1, {"", RUN(1)}, 0, 0, 0},
	{0, 1, 0, {RECORD(1, RUN_ID, "", 503, false), ""}, 0, 0, 0},
	{1, 0, 1, {RUN(1), RUN(1)}, 1, 0, 0},
	{0, 0, 1, {RUN(1) "," RUN(2), ""}, 1, 0, 0},
	{0, 1, 0, {RUN(1), ""}, 0, 1, 0},
	{0, 1, 1, {"", RUN(1)}, 0, 1, 0},
	{1, 1, 0, {RUN(1), ""}, 0, 1, 0},
	{1, 0, 0, {"", ""}, 0, 0, 1},
	{1, 0, 0, {RECORD(1, RUN_ID, "", 504, false), ""}, 0, 0, 1},
};

START_TEST(ids_are_executed_at_most_once_and_as_answered)
{
	const struct id_case *c = &id_cases[_i];

	run.answer_counts[BENCH_ANSWER_COMPLETE] = c->complete;
	run.answer_counts[BENCH_ANSWER_REFUSED] = c->refused;
	run.answer_counts[BENCH_ANSWER_UNKNOWN] = c->unknown;
	records[0] = c->records[0];
	records[1] = c->records[1];
	run_audit();
	ck_assert_uint_eq(audit.ids, 1);
	ck_assert_uint_eq(audit.ids_executed_twice, c->executed_twice);
	ck_assert_uint_eq(audit.ids_falsely_refused, c->false_refusals);
	ck_assert_uint_eq(audit.ids_complete_not_executed, c->not_executed);
	ck_assert_uint_eq(audit.ids_complete + audit.ids_refused + audit.ids_unknown, 1);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("audit");
	TCase *tcase = tcase_create("audit");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_checked_fixture(tcase, set_up, NULL);
	tcase_set_timeout(tcase, 60);
	tcase_add_test(tcase, answer_with_matching_record_passes);
	tcase_add_test(tcase, hit_needs_record_with_same_upstream_query_snapshot_range_and_status);
	tcase_add_test(tcase, record_matches_only_one_hit);
	tcase_add_test(tcase, stated_coverage_must_equal_recorded_coverage);
	tcase_add_test(tcase, incomplete_record_is_reported_unless_lost);
	tcase_add_test(tcase, requests_to_zone_that_is_out_are_counted);
	tcase_add_loop_test(tcase, ids_are_executed_at_most_once_and_as_answered, 0,
			    sizeof(id_cases) / sizeof(id_cases[0]));
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
