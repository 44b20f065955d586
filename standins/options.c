#include "options.h"

#include <errno.h>
#include <getopt.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "log.h"

#define OPTIONS_MAX	    48
#define FIRST_OPTION_VALUE  256 /* above every short option character */
#define DEFAULT_MAX_SECONDS 900

bool standin_parse_integer(const char *text, int64_t *value)
{
	uint64_t parsed;

	if (!pd_str_to_u64(pd_str_from(text), &parsed) || parsed > INT64_MAX)
		return false;
	*value = (int64_t)parsed;
	return true;
}

bool standin_parse_decimal(const char *text, double *value)
{
	char *end;
	double parsed;

	errno = 0;
	parsed = strtod(text, &end);
	if (errno || end == text || *end || !isfinite(parsed) || parsed < 0)
		return false;
	*value = parsed;
	return true;
}

bool standin_parse_on_off(const char *text, bool *on)
{
	*on = !strcmp(text, "on");
	return *on || !strcmp(text, "off");
}

static bool store_value(const struct standin_option *option, const char *text)
{
	switch (option->type) {
	case STANDIN_OPTION_FLAG:
		*(bool *)option->value = true;
		return true;
	case STANDIN_OPTION_INTEGER:
		return standin_parse_integer(text, option->value);
	case STANDIN_OPTION_DECIMAL:
		return standin_parse_decimal(text, option->value);
	case STANDIN_OPTION_TEXT:
		*(const char **)option->value = text;
		return true;
	case STANDIN_OPTION_ADDRESS:
		return pd_address_parse(pd_str_from(text), option->value, NULL) == PD_OK;
	case STANDIN_OPTION_CALLBACK:
		return option->callback(text);
	}
	return false;
}

static void print_help(const char *program, const char *purpose,
		       const struct standin_option *options, size_t count)
{
	printf("Usage: %s [OPTIONS]\n%s\n\n", program, purpose);
	for (size_t i = 0; i < count; i++)
		printf("  --%-16s %s\n", options[i].name, options[i].help);
	printf("  --%-16s %s\n  --%-16s %s\n", "help", "print this text", "version",
	       "print the version");
}

static void parse_command_line(int argc, char **argv, const char *purpose,
			       const struct standin_option *options, size_t count)
{
	struct option long_options[OPTIONS_MAX + 3] = {0};
	int option_value;

	for (size_t i = 0; i < count; i++)
		long_options[i] = (struct option){.name = options[i].name,
						  .has_arg = options[i].type != STANDIN_OPTION_FLAG,
						  .val = FIRST_OPTION_VALUE + (int)i};
	long_options[count] = (struct option){.name = "help", .val = 'h'};
	long_options[count + 1] = (struct option){.name = "version", .val = 'v'};
	while ((option_value = getopt_long(argc, argv, "", long_options, NULL)) != -1) {
		if (option_value == 'h') {
			print_help(argv[0], purpose, options, count);
			exit(EXIT_SUCCESS);
		}
		if (option_value == 'v') {
			printf("%s %s\n", program_invocation_short_name, STANDIN_VERSION);
			exit(EXIT_SUCCESS);
		}
		if (option_value == '?')
			exit(2);
		if (!store_value(&options[option_value - FIRST_OPTION_VALUE], optarg)) {
			fprintf(stderr, "%s: --%s: malformed value \"%s\"\n", argv[0],
				options[option_value - FIRST_OPTION_VALUE].name, optarg);
			exit(2);
		}
	}
	if (optind < argc) {
		fprintf(stderr, "%s: unexpected argument \"%s\"\n", argv[0], argv[optind]);
		exit(2);
	}
}

void standin_options_parse(int argc, char **argv, const char *purpose,
			   struct standin_common_options *common,
			   const struct standin_option *options, size_t count)
{
	struct standin_option all[OPTIONS_MAX] = {
		{"listen", STANDIN_OPTION_ADDRESS, &common->listen, NULL,
		 "IP:PORT to listen at; port 0 lets the kernel choose a free port"},
		{"max-seconds", STANDIN_OPTION_INTEGER, &common->max_seconds, NULL,
		 "exit after this time, seconds (900)"},
	};

	*common = (struct standin_common_options){.listen = {.ip = "127.0.0.1"},
						  .max_seconds = DEFAULT_MAX_SECONDS};
	if (count > OPTIONS_MAX - 2)
		abort();
	memcpy(all + 2, options, count * sizeof(*options));
	parse_command_line(argc, argv, purpose, all, count + 2);
	pd_os_signals_block();
	pd_log_open(program_invocation_short_name, PD_LOG_INFO);
}

void standin_exit_on_error(enum pd_code code, const struct pd_error *err)
{
	if (code == PD_OK)
		return;
	pd_log_failure(PD_LOG_ERROR, "start_failed", err);
	exit(EXIT_FAILURE);
}

void standin_print_address(const struct pd_address *address)
{
	printf("listening %s:%u\n", address->ip, address->port);
	fflush(stdout);
}

void standin_wait_shutdown(const struct standin_common_options *common)
{
	int64_t end_us = pd_os_now_us() + common->max_seconds * PD_USEC_PER_SEC;
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	for (;;) {
		int64_t remaining_us = end_us - pd_os_now_us();
		struct timespec ts = {.tv_sec = remaining_us / PD_USEC_PER_SEC,
				      .tv_nsec = remaining_us % PD_USEC_PER_SEC * 1000};

		if (remaining_us <= 0) {
			pd_log(PD_LOG_WARNING, "time_limit", "max_seconds=%lld",
			       (long long)common->max_seconds);
			return;
		}
		if (sigtimedwait(&set, NULL, &ts) > 0)
			return;
	}
}

/* Splits @text in place into words and advances raw_arguments past the first word. */
static void split_command(char *text, struct standin_command *command)
{
	char *save = NULL;
	size_t first = strcspn(text, " \t");

	command->word_count = 0;
	for (char *word = strtok_r(text, " \t\r", &save);
	     word && command->word_count < STANDIN_COMMAND_WORDS_MAX;
	     word = strtok_r(NULL, " \t\r", &save))
		command->words[command->word_count++] = word;
	command->raw_arguments += first + (command->raw_arguments[first] != '\0');
}

/* Parses and applies the command in @text; an empty line is valid and does nothing. */
static bool apply_command_text(struct pd_str text,
			       bool (*apply)(void *, const struct standin_command *), void *arg)
{
	char *text_copy = strndup(text.len ? text.data : "", text.len);
	char *words_copy = text_copy ? strdup(text_copy) : NULL;
	struct standin_command command = {.raw_arguments = text_copy};
	bool valid = false;

	if (words_copy) {
		split_command(words_copy, &command);
		valid = command.word_count == 0 || apply(arg, &command);
	}
	free(words_copy);
	free(text_copy);
	return valid;
}

bool standin_apply_commands(struct pd_str body,
			    bool (*apply)(void *arg, const struct standin_command *command),
			    void *arg, size_t *bad_line)
{
	size_t number = 0;

	while (body.len) {
		const char *end = memchr(body.data, '\n', body.len);
		size_t len = end ? (size_t)(end - body.data) : body.len;

		number++;
		if (!apply_command_text((struct pd_str){body.data, len}, apply, arg)) {
			*bad_line = number;
			return false;
		}
		len += end != NULL;
		body = (struct pd_str){body.data + len, body.len - len};
	}
	return true;
}

bool standin_command_is(const struct standin_command *command, const char *command_name,
			size_t argument_count)
{
	return command->word_count == argument_count + 1 &&
	       !strcmp(command->words[0], command_name);
}
