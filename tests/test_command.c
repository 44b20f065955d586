/*
 * Tests of the command language. They guard against words that are accepted in the wrong place,
 * error messages without the column or the accepted words, and printed commands that parse to a
 * different command. The last would change the meaning of stored configuration commands and of
 * queries sent between instances.
 */
#include <check.h>
#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "command.h"

#define RANDOM_COMMANDS 20000

static void check_error(const char *line, const char *expected)
{
	struct pd_command command;
	struct pd_error err;

	ck_assert_int_eq(pd_command_parse(&command, pd_str_from(line), &err), PD_INVALID);
	ck_assert_str_eq(err.text, expected);
	ck_assert_int_eq(err.layer, PD_LAYER_PROTOCOL);
	ck_assert_ptr_null(command.storage);
}

static void check_canonical(const char *line, const char *expected)
{
	struct pd_command command;
	struct pd_buf out = {0};
	struct pd_error err = {0};

	ck_assert_msg(pd_command_parse(&command, pd_str_from(line), &err) == PD_OK, "%s: %s", line,
		      err.text);
	pd_command_print(&command, &out);
	ck_assert_str_eq(out.data ? out.data : "", expected);
	pd_buf_finish(&out);
	pd_command_finish(&command);
}

START_TEST(valid_commands_have_a_canonical_form)
{
	check_canonical("", "");
	check_canonical("  \t# only a comment", "");
	check_canonical(
		"query catalogue \"broken rib # 8\" partial no kind clerk deadline 0.2s # x\r\n",
		"query catalogue \"broken rib # 8\" kind clerk deadline 200ms partial no");
	check_canonical("query c \"\" partial yes", "query c \"\"");
	check_canonical("query c \"\xd1\x85\xd0\xb0\xd1\x80\xd0\xb0\xd0\xb0 \\\"a\\\\\"#end",
			"query c \"\xd1\x85\xd0\xb0\xd1\x80\xd0\xb0\xd0\xb0 \\\"a\\\\\"");
	check_canonical("run tickets \"book\" deadline 1500ms id 1764822900000-a.b",
			"run tickets \"book\" id 1764822900000-a.b deadline 1.5s");
	check_canonical("create\tzone  boston", "create zone boston");
	check_canonical("create collection c buckets 1000", "create collection c buckets 1000");
	check_canonical("create service kind in in", "create service kind in in");
	check_canonical(
		"create upstream u connect 0ms zone z slots 3 address 10.0.0.1:80 service s "
		"connections 60",
		"create upstream u service s zone z address 10.0.0.1:80 slots 3 connections "
		"60 connect 0ms");
	check_canonical("create kind k deadline 60s urgency normal",
			"create kind k urgency normal deadline 60s");
	check_canonical("set zone z out", "set zone z out");
	check_canonical("set upstream u in", "set upstream u in");
	check_canonical("set kind k deadline 0.001ms", "set kind k deadline 0.001ms");
	check_canonical("delete upstream u", "delete upstream u");
	check_canonical("show status", "show status");
}
END_TEST

START_TEST(errors_name_column_word_and_accepted_words)
{
	check_error("drop zone z", "column 1: \"drop\": expected query, run, create, set, delete "
				   "or show");
	check_error("\"query\" c", "column 1: \"query\": expected query, run, create, set, delete "
				   "or show");
	check_error("query c", "column 8: end of line: expected a text in double quotes");
	check_error("query c text", "column 9: \"text\": expected a text in double quotes");
	check_error("query c \"open", "column 9: \"open\": expected a closing double quote");
	check_error("query c \"a\\n\"", "column 11: \"\\n\": expected \\\" or \\\\");
	check_error("query c \"a\"b", "column 12: \"b\": expected a blank after the text");
	check_error("query c \"\xd1\x85\xd0\xb0\" now",
		    "column 14: \"now\": expected kind, deadline, partial or the end of the line");
	check_error("query c \"a\" kind k kind l",
		    "column 20: \"kind\": expected deadline, partial or the end of the line");
	check_error("query c \"a\" partial maybe", "column 21: \"maybe\": expected yes or no");
	check_error("run s \"a\" id 12", "column 14: \"12\": expected an id of the form "
					 "UNIXMS-TOKEN, at most 63 bytes");
	check_error("create service s", "column 17: end of line: expected in");
	check_error("create upstream u service s zone z slots 3",
		    "column 43: end of line: expected address, connections or connect");
	check_error("create zone a/b", "column 13: \"a/b\": expected the name of a zone (1 to 63 "
				       "letters, digits, '.', '_' or '-')");
	check_error("create zone z out", "column 15: \"out\": expected the end of the line");
	check_error("create collection c buckets 0",
		    "column 29: \"0\": expected a number from 1 to 1000000");
	check_error("set zone z", "column 11: end of line: expected in or out");
	check_error("set zone z out now", "column 16: \"now\": expected the end of the line");
	check_error("set service s out", "column 5: \"service\": expected zone, upstream or kind");
	check_error("set kind k", "column 11: end of line: expected urgency or deadline");
	check_error("show zone", "column 6: \"zone\": expected zones, collections, services, "
				 "upstreams, kinds, config, log or status");
	check_error("show zones\nshow kinds", "column 11: byte 0x0a: expected one line of text "
					      "without control characters");
}
END_TEST

START_TEST(durations_outside_the_limits_are_rejected)
{
	static const char *const invalid_durations[] = {
		"0ms",	    "0s",  "60.000001s", "60001ms",    "5",
		"ms",	    "-1s", "1.s",	 ".5s",	       "1.5.5s",
		"0.0001ms", "1m",  "1e3ms",	 "1.0000001s", "18446744073709551616ms"};
	char line[128];

	for (size_t i = 0; i < sizeof(invalid_durations) / sizeof(invalid_durations[0]); i++) {
		char expected[160];

		snprintf(line, sizeof(line), "set kind k deadline %s", invalid_durations[i]);
		snprintf(expected, sizeof(expected),
			 "column 21: \"%s\": expected a duration such as 200ms or 1.5s, at most "
			 "60s",
			 invalid_durations[i]);
		check_error(line, expected);
	}
}
END_TEST

START_TEST(long_lines_are_rejected_and_long_words_truncated)
{
	struct pd_command command;
	struct pd_error err;
	struct pd_buf line = {0};

	pd_buf_printf(&line, "query c \"%0*d\"", PD_COMMAND_MAX_BYTES - 1024, 0);
	ck_assert_int_eq(pd_command_parse(&command, pd_buf_str(&line), &err), PD_OK);
	ck_assert_uint_eq(command.query.text.len, PD_COMMAND_MAX_BYTES - 1024);
	pd_command_finish(&command);
	pd_buf_clear(&line);
	pd_buf_printf(&line, "query c \"%0*d\"", PD_COMMAND_MAX_BYTES - 1023, 0);
	ck_assert_int_eq(pd_command_parse(&command, pd_buf_str(&line), &err), PD_TOO_LARGE);
	pd_buf_clear(&line);
	pd_buf_printf(&line, "show zones %*s", PD_COMMAND_MAX_BYTES, "");
	ck_assert_int_eq(pd_command_parse(&command, pd_buf_str(&line), &err), PD_TOO_LARGE);
	pd_buf_finish(&line);
	check_error("create zone 0123456789012345678901234567890123456789x01234567890123456789012",
		    "column 13: \"0123456789012345678901234567890123456789...\": expected the name "
		    "of a zone (1 to 63 letters, digits, '.', '_' or '-')");
}
END_TEST

static void random_name(gsl_rng *rng, struct pd_name *name)
{
	static const char alphabet[] = "abcxyzABZ019._-";
	char text[PD_NAME_MAX_BYTES];
	size_t len = 1 + gsl_rng_uniform_int(rng, PD_NAME_MAX_BYTES);

	for (size_t i = 0; i < len; i++)
		text[i] = alphabet[gsl_rng_uniform_int(rng, sizeof(alphabet) - 1)];
	ck_assert(pd_name_set(name, (struct pd_str){text, len}));
}

static struct pd_str random_text(gsl_rng *rng, char *out)
{
	static const char alphabet[] = "ab \"\\#\t\xd1\x85";
	size_t len = gsl_rng_uniform_int(rng, 40);

	for (size_t i = 0; i < len; i++)
		out[i] = alphabet[gsl_rng_uniform_int(rng, sizeof(alphabet) - 1)];
	return (struct pd_str){out, len};
}

static int64_t random_duration(gsl_rng *rng, int64_t min_us)
{
	static const int64_t steps[] = {1, 1000, 100000, 1000000};
	int64_t step = steps[gsl_rng_uniform_int(rng, 4)];
	int64_t limit = PD_DEADLINE_MAX_MS * PD_USEC_PER_MSEC;
	int64_t us = step * (int64_t)gsl_rng_uniform_int(rng, (unsigned long)(limit / step) + 1);

	return us < min_us ? min_us : us;
}

static bool random_bool(gsl_rng *rng)
{
	return gsl_rng_uniform_int(rng, 2);
}

static void random_request(gsl_rng *rng, struct pd_command *c, char *text)
{
	if (c->type == PD_CMD_QUERY) {
		random_name(rng, &c->query.collection);
		c->query.text = random_text(rng, text);
		if (random_bool(rng))
			random_name(rng, &c->query.kind);
		c->query.deadline_us = random_bool(rng) ? random_duration(rng, 1) : 0;
		c->query.partial = random_bool(rng);
		return;
	}
	random_name(rng, &c->run.service);
	c->run.text = random_text(rng, text);
	if (random_bool(rng))
		pd_name_set(&c->run.id, PD_STR("1764822900000-token.1"));
	if (random_bool(rng))
		random_name(rng, &c->run.kind);
	c->run.deadline_us = random_bool(rng) ? random_duration(rng, 1) : 0;
}

static void random_upstream(gsl_rng *rng, struct pd_command_object *o)
{
	random_name(rng, &o->service);
	random_name(rng, &o->zone);
	snprintf(o->address.ip, sizeof(o->address.ip), "10.%lu.0.255",
		 gsl_rng_uniform_int(rng, 256));
	o->address.port = (uint16_t)(1 + gsl_rng_uniform_int(rng, UINT16_MAX));
	o->slots = 1 + (uint32_t)gsl_rng_uniform_int(rng, PD_SLOTS_MAX);
	o->connections = 1 + (uint32_t)gsl_rng_uniform_int(rng, PD_CONNECTIONS_MAX);
	o->connect_us = random_duration(rng, 0);
}

static void random_kind(gsl_rng *rng, struct pd_command_object *o, bool all_fields)
{
	o->has_urgency = all_fields || random_bool(rng);
	o->urgency = o->has_urgency && random_bool(rng) ? PD_NORMAL : PD_URGENT;
	if (all_fields || !o->has_urgency || random_bool(rng))
		o->deadline_us = random_duration(rng, 1);
}

static void random_object(gsl_rng *rng, struct pd_command *c)
{
	struct pd_command_object *o = &c->object;

	o->object_type = (enum pd_object_type)(PD_OBJ_ZONE + gsl_rng_uniform_int(rng, 5));
	if (c->type == PD_CMD_SET &&
	    (o->object_type == PD_OBJ_COLLECTION || o->object_type == PD_OBJ_SERVICE))
		o->object_type = PD_OBJ_KIND;
	random_name(rng, &o->name);
	o->connect_us = -1;
	if (c->type == PD_CMD_SET && o->object_type != PD_OBJ_KIND) {
		o->has_out = true;
		o->out = random_bool(rng);
	} else if (c->type != PD_CMD_DELETE && o->object_type == PD_OBJ_KIND) {
		random_kind(rng, o, c->type == PD_CMD_CREATE);
	} else if (c->type == PD_CMD_CREATE && o->object_type == PD_OBJ_COLLECTION) {
		o->buckets = 1 + (uint32_t)gsl_rng_uniform_int(rng, 1000000);
	} else if (c->type == PD_CMD_CREATE && o->object_type == PD_OBJ_SERVICE) {
		random_name(rng, &o->collection);
	} else if (c->type == PD_CMD_CREATE && o->object_type == PD_OBJ_UPSTREAM) {
		random_upstream(rng, o);
	}
}

static void random_command(gsl_rng *rng, struct pd_command *c, char *text)
{
	memset(c, 0, sizeof(*c));
	c->type = (enum pd_command_type)gsl_rng_uniform_int(rng, PD_CMD_SHOW + 1);
	switch (c->type) {
	case PD_CMD_EMPTY:
		return;
	case PD_CMD_QUERY:
	case PD_CMD_RUN:
		random_request(rng, c, text);
		return;
	case PD_CMD_SHOW:
		c->show = (enum pd_show)(PD_SHOW_ZONES + gsl_rng_uniform_int(rng, 8));
		return;
	case PD_CMD_CREATE:
	case PD_CMD_SET:
	case PD_CMD_DELETE:
		random_object(rng, c);
		return;
	}
}

static void assert_same_query(const struct pd_command_query *a, const struct pd_command_query *b)
{
	ck_assert(pd_name_equal(&a->collection, &b->collection));
	ck_assert(pd_str_equal(a->text, b->text));
	ck_assert(pd_name_equal(&a->kind, &b->kind));
	ck_assert_int_eq(a->deadline_us, b->deadline_us);
	ck_assert(a->partial == b->partial);
}

static void assert_same_run(const struct pd_command_run *a, const struct pd_command_run *b)
{
	ck_assert(pd_name_equal(&a->service, &b->service));
	ck_assert(pd_str_equal(a->text, b->text));
	ck_assert(pd_name_equal(&a->id, &b->id));
	ck_assert(pd_name_equal(&a->kind, &b->kind));
	ck_assert_int_eq(a->deadline_us, b->deadline_us);
}

static void assert_same_object(const struct pd_command_object *a, const struct pd_command_object *b)
{
	ck_assert_int_eq(a->object_type, b->object_type);
	ck_assert(pd_name_equal(&a->name, &b->name));
	ck_assert(a->has_out == b->has_out && a->out == b->out);
	ck_assert_uint_eq(a->buckets, b->buckets);
	ck_assert(pd_name_equal(&a->collection, &b->collection));
	ck_assert(pd_name_equal(&a->service, &b->service));
	ck_assert(pd_name_equal(&a->zone, &b->zone));
	ck_assert_str_eq(a->address.ip, b->address.ip);
	ck_assert_uint_eq(a->address.port, b->address.port);
	ck_assert_uint_eq(a->slots, b->slots);
	ck_assert_uint_eq(a->connections, b->connections);
	ck_assert_int_eq(a->connect_us, b->connect_us);
	ck_assert(a->has_urgency == b->has_urgency);
	ck_assert_int_eq(a->urgency, b->urgency);
	ck_assert_int_eq(a->deadline_us, b->deadline_us);
}

static void assert_same(const struct pd_command *a, const struct pd_command *b)
{
	ck_assert_int_eq(a->type, b->type);
	if (a->type == PD_CMD_QUERY)
		assert_same_query(&a->query, &b->query);
	else if (a->type == PD_CMD_RUN)
		assert_same_run(&a->run, &b->run);
	else if (a->type == PD_CMD_SHOW)
		ck_assert_int_eq(a->show, b->show);
	else if (a->type != PD_CMD_EMPTY)
		assert_same_object(&a->object, &b->object);
}

START_TEST(printed_commands_parse_to_the_same_command)
{
	gsl_rng *rng = gsl_rng_alloc(gsl_rng_mt19937);
	struct pd_buf line = {0};
	char text[64];

	gsl_rng_set(rng, 20261204);
	for (int i = 0; i < RANDOM_COMMANDS; i++) {
		struct pd_command command;
		struct pd_command parsed;
		struct pd_error err = {0};

		random_command(rng, &command, text);
		pd_buf_clear(&line);
		pd_command_print(&command, &line);
		ck_assert_msg(pd_command_parse(&parsed, pd_buf_str(&line), &err) == PD_OK, "%s: %s",
			      line.data, err.text);
		assert_same(&command, &parsed);
		ck_assert(pd_command_changes_config(&parsed) ==
			  (command.type == PD_CMD_CREATE || command.type == PD_CMD_SET ||
			   command.type == PD_CMD_DELETE));
		pd_command_finish(&parsed);
	}
	pd_buf_finish(&line);
	gsl_rng_free(rng);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("command");
	TCase *tcase = tcase_create("command");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_set_timeout(tcase, 60);
	tcase_add_test(tcase, valid_commands_have_a_canonical_form);
	tcase_add_test(tcase, errors_name_column_word_and_accepted_words);
	tcase_add_test(tcase, durations_outside_the_limits_are_rejected);
	tcase_add_test(tcase, long_lines_are_rejected_and_long_words_truncated);
	tcase_add_test(tcase, printed_commands_parse_to_the_same_command);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
