/*
 * Guards the audit of experiments against passing over a fault: a hit that no upstream recorded, a
 * record used twice, a coverage that differs from the records, an id that is executed twice, called
 * "not run" though it ran, or called complete though it didn't, and work in a zone that is out.
 */
#include <check.h>
#include <stdlib.h>

/* Test programs link no objects of bench/, so the source is part of this one. */
#include "../bench/audit.c" /* NOLINT(bugprone-suspicious-include) */

#define UPSTREAMS 2 /* one service, two zones */

static struct bench_experiment experiment = {
	.seed = 7, .services = 1, .replicas = UPSTREAMS, .zone_count = UPSTREAMS};
static struct bench_deployment deployment;
static struct bench_load load;
static struct bench_runs runs;
static struct bench_result results[2];
static struct bench_run run;
static struct bench_audit audit;

/* Objects of each upstream's record, separated by commas. */
static const char *records[UPSTREAMS];

/* -- what the audit uses of the other sources -- */

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

/* One whole answer of upstream 0 to query 0; query 1 has no answer. */
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

START_TEST(an_answer_with_its_record_passes)
{
	run_audit();
	ck_assert_uint_eq(audit.answers_checked, 1);
	ck_assert_uint_eq(audit.hits_checked, 1);
	ck_assert_uint_eq(audit.hits_without_record + audit.wrong_coverage +
				  audit.records_used_twice + audit.unreadable_records,
			  0);
}
END_TEST

START_TEST(a_hit_needs_a_record_of_its_upstream_query_snapshot_range_and_status)
{
	static const char *const wrong[] = {
		"",
		RECORD(1, "load-7-1", "0-9", 200, true),
		RECORD(1, "load-8-0", "0-9", 200, true),
		RECORD(1, "load-7-0", "0-8", 200, true),
		RECORD(1, "load-7-0", "0-9", 410, true),
		RECORD(1, "load-7-0", "", 200, true),
	};

	for (size_t i = 0; i < sizeof(wrong) / sizeof(wrong[0]); i++) {
		records[0] = wrong[i];
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

START_TEST(a_record_serves_one_hit)
{
	struct bench_hit twice[2] = {results[0].hits[0], results[0].hits[0]};

	results[0].hits = twice;
	results[0].hit_count = 2;
	run_audit();
	ck_assert_uint_eq(audit.records_used_twice, 1);
	records[0] = QUERY "," RECORD(2, "load-7-0", "0-9", 200, true);
	run_audit();
	ck_assert_uint_eq(audit.records_used_twice, 0);
}
END_TEST

START_TEST(the_stated_coverage_is_that_of_the_records)
{
	pd_ranges_add(&results[0].stated_coverage, 20, 29);
	run_audit();
	ck_assert_uint_eq(audit.wrong_coverage, 1);
	ck_assert_uint_eq(audit.hits_without_record, 0);
}
END_TEST

START_TEST(a_record_that_cannot_be_read_whole_is_a_fault)
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

START_TEST(work_in_a_zone_that_is_out_is_counted)
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

/* -- ids -- */

/**
 * struct verdict - answers to one id, its executions, and what the audit must say
 * @records: of upstream 0 and 1
 */
static const struct verdict {
	uint32_t complete;
	uint32_t refused;
	uint32_t unknown;
	const char *records[UPSTREAMS];
	uint64_t executed_twice;
	uint64_t false_refusals;
	uint64_t not_executed;
} verdicts[] = {
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

START_TEST(ids_run_at_most_once_and_as_stated)
{
	const struct verdict *v = &verdicts[_i];

	run.answer_counts[BENCH_ANSWER_COMPLETE] = v->complete;
	run.answer_counts[BENCH_ANSWER_REFUSED] = v->refused;
	run.answer_counts[BENCH_ANSWER_UNKNOWN] = v->unknown;
	records[0] = v->records[0];
	records[1] = v->records[1];
	run_audit();
	ck_assert_uint_eq(audit.ids, 1);
	ck_assert_uint_eq(audit.ids_executed_twice, v->executed_twice);
	ck_assert_uint_eq(audit.ids_falsely_refused, v->false_refusals);
	ck_assert_uint_eq(audit.ids_complete_not_executed, v->not_executed);
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
	tcase_add_test(tcase, an_answer_with_its_record_passes);
	tcase_add_test(tcase, a_hit_needs_a_record_of_its_upstream_query_snapshot_range_and_status);
	tcase_add_test(tcase, a_record_serves_one_hit);
	tcase_add_test(tcase, the_stated_coverage_is_that_of_the_records);
	tcase_add_test(tcase, a_record_that_cannot_be_read_whole_is_a_fault);
	tcase_add_test(tcase, work_in_a_zone_that_is_out_is_counted);
	tcase_add_loop_test(tcase, ids_run_at_most_once_and_as_stated, 0,
			    sizeof(verdicts) / sizeof(verdicts[0]));
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
