/*
 * Tests of the loading of settings files. They guard against errors that aren't reported (or of
 * which only the first is), messages without the line or the accepted values, and files with errors
 * that are partly applied.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <unistd.h>

#include "settings.h"

struct sample {
	struct pd_name name;
	struct pd_address listen;
	int64_t threads;
	double share;
	bool fast;
	char text[PD_SETTING_TEXT_MAX_BYTES];
	struct pd_address_list seeds;
	struct pd_route_list routes;
	struct pd_text_list texts;
};

#define MEMBER_OFFSET(member) offsetof(struct sample, member)

static const struct pd_setting schema[] = {
	{"name", PD_SETTING_NAME, MEMBER_OFFSET(name), 0, 0, true, "a name"},
	{"peer.listen", PD_SETTING_ADDRESS, MEMBER_OFFSET(listen), 0, 0, true, "IP:PORT"},
	{"peer.seeds", PD_SETTING_ADDRESS_LIST, MEMBER_OFFSET(seeds), 0, 0, false,
	 "a list of IP:PORT"},
	{"peer.routes", PD_SETTING_ROUTE_LIST, MEMBER_OFFSET(routes), 0, 0, false,
	 "a list of NAME=IP:PORT"},
	{"limits.threads", PD_SETTING_INTEGER, MEMBER_OFFSET(threads), 1, 64, false,
	 "1 to 64 threads"},
	{"limits.share", PD_SETTING_DECIMAL, MEMBER_OFFSET(share), 0, 1, false, "0 to 1"},
	{"fast", PD_SETTING_BOOLEAN, MEMBER_OFFSET(fast), 0, 0, false, "true or false"},
	{"text", PD_SETTING_TEXT, MEMBER_OFFSET(text), 0, 0, false, "a text of at most 255 bytes"},
	{"texts", PD_SETTING_TEXT_LIST, MEMBER_OFFSET(texts), 0, 0, false, "a list of texts"},
};

static char path[64];
static struct sample sample;
static struct pd_buf errors;
static struct pd_error err;

/* Loads a file with the content @text; replaces its path by FILE in the error messages. */
static enum pd_code load(const char *text)
{
	enum pd_code code;
	struct pd_buf output = {0};
	int fd = memfd_create("settings", 0);

	ck_assert_int_ge(fd, 0);
	ck_assert_int_eq(write(fd, text, strlen(text)), (ssize_t)strlen(text));
	snprintf(path, sizeof(path), "/proc/self/fd/%d", fd);
	memset(&sample, 0, sizeof(sample));
	sample.threads = 7;
	code = pd_settings_load(path, schema, sizeof(schema) / sizeof(schema[0]), &sample, &output,
				&err);
	close(fd);
	pd_buf_clear(&errors);
	for (char *line = output.len ? strtok(output.data, "\n") : NULL; line;
	     line = strtok(NULL, "\n"))
		pd_buf_printf(&errors, "%s%s\n",
			      strncmp(line, path, strlen(path)) ? "OTHER" : "FILE",
			      line + strlen(path));
	pd_buf_finish(&output);
	return code;
}

static void check_errors(const char *text, const char *expected)
{
	static struct sample defaults;

	memset(&defaults, 0, sizeof(defaults));
	defaults.threads = 7;
	ck_assert_int_eq(load(text), PD_INVALID);
	ck_assert_str_eq(errors.data, expected);
	ck_assert_msg(!memcmp((const char *)&defaults, (const char *)&sample, sizeof(defaults)),
		      "a file with errors was applied");
}

START_TEST(all_types_load)
{
	ck_assert_int_eq(
		load("name = \"entry-1\"\nfast = true\ntext = \"a b\"\ntexts = [\"x\"]\n[peer]\n"
		     "listen = \"127.0.0.1:80\"\n"
		     "seeds = [\"127.0.0.1:1\", \"127.0.0.1:2\"]\n"
		     "routes = [\"entry-2=127.0.0.1:3\"]\n[limits]\nshare = 1\n"),
		PD_OK);
	ck_assert_str_eq(sample.name.text, "entry-1");
	ck_assert(sample.fast);
	ck_assert_str_eq(sample.text, "a b");
	ck_assert_uint_eq(sample.texts.count, 1);
	ck_assert_str_eq(sample.texts.items[0], "x");
	ck_assert_uint_eq(sample.listen.port, 80);
	ck_assert_uint_eq(sample.seeds.count, 2);
	ck_assert_uint_eq(sample.seeds.items[1].port, 2);
	ck_assert_uint_eq(sample.routes.count, 1);
	ck_assert_str_eq(sample.routes.items[0].name.text, "entry-2");
	ck_assert_double_eq(sample.share, 1);
	ck_assert_int_eq(sample.threads, 7);
	ck_assert_uint_eq(errors.len, 0);
}
END_TEST

START_TEST(every_error_is_reported)
{
	check_errors("name = \"a b\"\nfast = 1\n\n[peer]\nseeds = [\"127.0.0.1:1\", \"x\", 5]\n"
		     "routes = \"entry=127.0.0.1:1\"\n[limits]\nthreads = 65\nshare = nan\n",
		     "FILE:1: key \"name\": value \"a b\": expected a name\n"
		     "FILE:2: key \"fast\": value 1: expected true or false\n"
		     "FILE:5: key \"peer.seeds\": value \"x\": expected a list of IP:PORT\n"
		     "FILE:5: key \"peer.seeds\": value 5: expected a list of IP:PORT\n"
		     "FILE:6: key \"peer.routes\": value \"entry=127.0.0.1:1\": expected a list of "
		     "NAME=IP:PORT\n"
		     "FILE:8: key \"limits.threads\": value 65: expected 1 to 64 threads\n"
		     "FILE:9: key \"limits.share\": value nan: expected 0 to 1\n"
		     "FILE: key \"peer.listen\": missing: expected IP:PORT\n");
	ck_assert_str_eq(err.text + strlen(path), " has 8 errors");
}
END_TEST

START_TEST(wrong_types_are_errors)
{
	check_errors("name = 2026-12-04\nfast = \"true\"\npeer.listen = [1]\ntext = "
		     "\"\\u0000\"\ntexts = [[]]\n"
		     "[limits]\nthreads = 1.0\nshare = \"1\"\n",
		     "FILE:1: key \"name\": value 2026-12-04: expected a name\n"
		     "FILE:2: key \"fast\": value \"true\": expected true or false\n"
		     "FILE:3: key \"peer.listen\": value [ 1 ]: expected IP:PORT\n"
		     "FILE:4: key \"text\": value \"\\u0000\": expected a text of at most 255 "
		     "bytes\n"
		     "FILE:5: key \"texts\": value []: expected a list of texts\n"
		     "FILE:7: key \"limits.threads\": value 1.0: expected 1 to 64 threads\n"
		     "FILE:8: key \"limits.share\": value \"1\": expected 0 to 1\n");
}
END_TEST

#define UNKNOWN_KEY_ERROR                                                                          \
	"unknown key: expected one of name, peer.listen, peer.seeds, peer.routes, "                \
	"limits.threads, limits.share, fast, text, texts\n"

START_TEST(unknown_keys_are_errors)
{
	check_errors(
		"name = \"n\"\nnames = 1\n\"peer.seeds\" = []\n[peer]\nlisten = \"1.1.1.1:1\"\n"
		"[limits]\n[extra]\n[other]\nkey = 2\n",
		"FILE:2: key \"names\": value 1: " UNKNOWN_KEY_ERROR
		"FILE:3: key \"\"peer.seeds\"\": value []: " UNKNOWN_KEY_ERROR
		"FILE:7: key \"extra\": value {}: " UNKNOWN_KEY_ERROR
		"FILE:9: key \"other.key\": value 2: " UNKNOWN_KEY_ERROR);
}
END_TEST

START_TEST(syntax_errors_and_duplicates_name_the_line)
{
	ck_assert_int_eq(load("name = \"a\"\n\nname = \"b\"\n"), PD_INVALID);
	ck_assert_msg(!strncmp(errors.data, "FILE:3: ", 8), "%s", errors.data);
	ck_assert_ptr_nonnull(strstr(errors.data, "name"));
	ck_assert_int_eq(load("name = \"a\"\nfast = maybe\n"), PD_INVALID);
	ck_assert_msg(!strncmp(errors.data, "FILE:2: ", 8), "%s", errors.data);
	ck_assert_int_eq(load("name = \"\xff\"\n"), PD_INVALID);
	ck_assert_msg(!strncmp(errors.data, "FILE:1: ", 8), "%s", errors.data);
}
END_TEST

START_TEST(too_long_lists_are_rejected)
{
	struct pd_buf text = {0};

	pd_buf_printf(&text, "name = \"n\"\npeer.listen = \"1.1.1.1:1\"\npeer.seeds = [");
	for (int i = 0; i <= PD_ADDRESS_LIST_MAX; i++)
		pd_buf_printf(&text, "\"1.1.1.1:1\",");
	pd_buf_printf(&text, "]\n");
	ck_assert_int_eq(load(text.data), PD_INVALID);
	ck_assert_ptr_nonnull(strstr(errors.data, "more than 64 items: expected a list of"));
	pd_buf_finish(&text);
}
END_TEST

START_TEST(missing_file_is_reported)
{
	pd_buf_clear(&errors);
	ck_assert_int_eq(pd_settings_load("no-such-file.toml", schema, 1, &sample, &errors, &err),
			 PD_NOT_FOUND);
	ck_assert_str_eq(errors.data, "can't read no-such-file.toml: No such file or directory\n");
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("settings");
	TCase *tcase = tcase_create("settings");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(tcase, all_types_load);
	tcase_add_test(tcase, every_error_is_reported);
	tcase_add_test(tcase, wrong_types_are_errors);
	tcase_add_test(tcase, unknown_keys_are_errors);
	tcase_add_test(tcase, syntax_errors_and_duplicates_name_the_line);
	tcase_add_test(tcase, too_long_lists_are_rejected);
	tcase_add_test(tcase, missing_file_is_reported);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
