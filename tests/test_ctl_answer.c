/*
 * Tests of the text output of peridotctl. They guard against outcomes or coverage that are printed
 * incorrectly or can be misread, and against control characters from an upstream that reach the
 * terminal.
 */
#include <check.h>
#include <stdlib.h>

#include "ctl_answer.h"

static void check_answer(const char *body, bool succeeded, const char *expected)
{
	struct pd_buf out = {0};

	ck_assert(pd_ctl_answer_print(pd_str_from(body), &out));
	ck_assert_str_eq(out.data, expected);
	ck_assert(pd_ctl_answer_succeeded(pd_str_from(body)) == succeeded);
	pd_buf_finish(&out);
}

START_TEST(answers_state_outcome_and_coverage)
{
	check_answer(
		"{\"outcome\":\"complete\",\"request_id\":\"r-1\",\"collection\":\"c\","
		"\"snapshot\":42,\"coverage\":{\"covered\":1000,\"buckets\":1000,"
		"\"missing\":[],\"missing_ranges\":\"\"},\"hits\":[\"rib 8 \\u001b[2J\","
		"{\"part\":7}],\"config_version\":9,\"elapsed_ms\":35.25,\"reason\":\"\"}",
		true,
		"complete\ncoverage: 1000 of 1000 buckets, snapshot 42\nhits: 2\n"
		"  rib 8 ?[2J\n  {\"part\":7}\nrequest r-1, configuration version 9, 35.2 ms\n");
	check_answer("{\"outcome\":\"partial\",\"request_id\":\"r-2\",\"collection\":\"c\","
		     "\"snapshot\":42,\"coverage\":{\"covered\":950,\"buckets\":1000,"
		     "\"missing\":[{\"service\":\"s-1\",\"reason\":\"late\"}],"
		     "\"missing_ranges\":\"0-49\"},\"hits\":[],\"config_version\":9,"
		     "\"elapsed_ms\":200,\"reason\":\"deadline\"}",
		     true,
		     "partial: deadline\ncoverage: 950 of 1000 buckets, snapshot 42\n"
		     "missing buckets: 0-49\n  no reply from service s-1: late\nhits: 0\n"
		     "request r-2, configuration version 9, 200.0 ms\n");
}
END_TEST

START_TEST(refused_and_unknown_are_failures)
{
	check_answer("{\"outcome\":\"refused\",\"request_id\":\"r\",\"collection\":\"\","
		     "\"coverage\":{\"covered\":0,\"buckets\":0},\"hits\":[],\"result\":\"\","
		     "\"config_version\":9,\"elapsed_ms\":0.5,\"reason\":\"overload\"}",
		     false,
		     "refused (not run): overload\n"
		     "request r, configuration version 9, 0.5 ms\n");
	check_answer("{\"outcome\":\"unknown\",\"request_id\":\"r\",\"config_version\":9,"
		     "\"elapsed_ms\":1,\"reason\":\"the connection broke\"}",
		     false,
		     "unknown: the connection broke\nrequest r, configuration version 9, 1.0 ms\n");
	check_answer("{\"outcome\":\"complete\",\"request_id\":\"r\",\"collection\":\"\","
		     "\"hits\":[],\"result\":\"ticket 7\\n\",\"config_version\":9,"
		     "\"elapsed_ms\":1}",
		     true,
		     "complete\nresult: ticket 7?\nrequest r, configuration version 9, 1.0 ms\n");
}
END_TEST

START_TEST(other_responses_are_not_printed_as_answers)
{
	struct pd_buf out = {0};

	ck_assert(!pd_ctl_answer_print(PD_STR("{\"error\":\"bad\"}"), &out));
	ck_assert(!pd_ctl_answer_print(PD_STR("[]"), &out));
	ck_assert(!pd_ctl_answer_print(PD_STR(""), &out));
	ck_assert_uint_eq(out.len, 0);
	ck_assert(!pd_ctl_answer_succeeded(PD_STR("{}")));
	pd_ctl_error_print(PD_STR("{\"error\":\"column 1: \\\"x\\\"\"}"), &out);
	pd_ctl_error_print(PD_STR("<h1>\n"), &out);
	ck_assert_str_eq(out.data, "column 1: \"x\"<h1>?");
	pd_buf_finish(&out);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("ctl_answer");
	TCase *tcase = tcase_create("ctl_answer");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(tcase, answers_state_outcome_and_coverage);
	tcase_add_test(tcase, refused_and_unknown_are_failures);
	tcase_add_test(tcase, other_responses_are_not_printed_as_answers);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
