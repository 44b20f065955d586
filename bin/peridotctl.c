/* Command-line client for callers and operators. Reads commands from its arguments, a file,
 * standard input or a terminal. */
#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <readline/history.h>
#include <readline/readline.h>

#include "ctl_session.h"
#include "version.h"

#define DEFAULT_DEADLINE_MS 5000
#define USAGE_ERROR_STATUS  2
#define CONTINUE	    (-1) /* no exit status: the program is to continue */

static void print_help(void)
{
	puts("Usage: peridotctl [OPTION...] [COMMAND...]\n"
	     "\n"
	     "Runs commands of the query and command language: one command from the arguments, or\n"
	     "one command per line from FILE or standard input. On a terminal, it prompts for\n"
	     "commands.\n"
	     "\n"
	     "  -p, --platform IP:PORT  the platform, for create, set, delete and show\n"
	     "  -e, --entry IP:PORT     an entry instance, for query, run and `show status`\n"
	     "  -d, --deadline-ms N     deadline of query and run; how long create, set and\n"
	     "                          delete retry while the platform is unavailable (5000)\n"
	     "  -o, --operator NAME     operator recorded with create, set and delete (login "
	     "name)\n"
	     "  -f, --file FILE         read commands from FILE\n"
	     "  -j, --json              print the answers of query, run and `show status` as JSON\n"
	     "  -h, --help              print this text\n"
	     "  -V, --version           print the version\n"
	     "\n"
	     "  query COLLECTION \"TEXT\" [kind K] [deadline 200ms] [partial yes|no]\n"
	     "  run SERVICE \"TEXT\" [id ID] [kind K] [deadline 300ms]\n"
	     "  create zone Z | create collection C buckets N | create service S in C\n"
	     "  create upstream U service S zone Z address IP:PORT slots N connections N connect "
	     "6ms\n"
	     "  create kind K urgency urgent|normal deadline 200ms\n"
	     "  set zone Z in|out | set upstream U in|out\n"
	     "  set kind K [urgency urgent|normal] [deadline 200ms]\n"
	     "  delete zone|collection|service|upstream|kind NAME\n"
	     "  show zones|collections|services|upstreams|kinds|config|log|status\n"
	     "\n"
	     "If a command is given as several arguments, the TEXT of query and run needs no\n"
	     "double quotes besides those of the shell.\n"
	     "The exit status is 0 if every command succeeded, 2 if the arguments are invalid,\n"
	     "else 1. A query or run succeeds if its answer is complete or partial.");
}

static int usage_error(const char *subject, const char *value, const char *expected)
{
	fprintf(stderr, "peridotctl: %s \"%s\": expected %s\n", subject, value, expected);
	return USAGE_ERROR_STATUS;
}

static int parse_address(const char *option, const char *text, struct pd_address *address)
{
	if (pd_address_parse(pd_str_from(text), address, NULL) || !address->port)
		return usage_error(option, text, "IP:PORT");
	return CONTINUE;
}

static int parse_deadline(const char *text, struct pd_ctl_options *options)
{
	uint64_t ms;

	if (!pd_str_to_u64(pd_str_from(text), &ms) || !ms || ms > PD_DEADLINE_MAX_MS)
		return usage_error("--deadline-ms", text, "a number from 1 to 60000");
	options->deadline_ms = (int64_t)ms;
	options->has_deadline = true;
	return CONTINUE;
}

static int parse_operator(const char *text, struct pd_ctl_options *options)
{
	if (!pd_name_set(&options->operator_name, pd_str_from(text)))
		return usage_error("--operator", text, "1 to 63 letters, digits, '.', '_' or '-'");
	return CONTINUE;
}

/* Applies one option; returns an exit status, or CONTINUE. */
static int apply_option(int option, struct pd_ctl_options *options, const char **file)
{
	switch (option) {
	case 'p':
		return parse_address("--platform", optarg, &options->platform);
	case 'e':
		return parse_address("--entry", optarg, &options->entry);
	case 'd':
		return parse_deadline(optarg, options);
	case 'o':
		return parse_operator(optarg, options);
	case 'f':
		*file = optarg;
		return CONTINUE;
	case 'j':
		options->json = true;
		return CONTINUE;
	case 'h':
		print_help();
		return EXIT_SUCCESS;
	case 'V':
		puts("peridotctl " PD_VERSION);
		return EXIT_SUCCESS;
	default:
		return USAGE_ERROR_STATUS;
	}
}

static int parse_options(int argc, char **argv, struct pd_ctl_options *options, const char **file)
{
	static const struct option long_options[] = {
		{"platform", required_argument, NULL, 'p'},
		{"entry", required_argument, NULL, 'e'},
		{"deadline-ms", required_argument, NULL, 'd'},
		{"operator", required_argument, NULL, 'o'},
		{"file", required_argument, NULL, 'f'},
		{"json", no_argument, NULL, 'j'},
		{"help", no_argument, NULL, 'h'},
		{"version", no_argument, NULL, 'V'},
		{NULL, 0, NULL, 0},
	};
	int option;

	/* "+" stops at the command, so that its words aren't parsed as options. */
	while ((option = getopt_long(argc, argv, "+p:e:d:o:f:jhV", long_options, NULL)) != -1) {
		int status = apply_option(option, options, file);

		if (status != CONTINUE)
			return status;
	}
	if (*file && optind < argc)
		return usage_error("argument", argv[optind], "either --file or a command");
	if (!options->operator_name.len) {
		const char *user = getenv("USER");

		if (!user || !pd_name_set(&options->operator_name, pd_str_from(user)))
			pd_name_set(&options->operator_name, PD_STR("unknown"));
	}
	return CONTINUE;
}

static void append_quoted(const char *text, struct pd_buf *line)
{
	pd_buf_append(line, "\"", 1);
	for (; *text; text++) {
		if (*text == '"' || *text == '\\')
			pd_buf_append(line, "\\", 1);
		pd_buf_append(line, text, 1);
	}
	pd_buf_append(line, "\"", 1);
}

/* Runs the command in the arguments. If it consists of several arguments, the shell has removed the
 * double quotes of the text, so they are added again. */
static bool run_arguments(struct pd_ctl_session *session, int count, char **words)
{
	bool has_text = count > 2 && (!strcmp(words[0], "query") || !strcmp(words[0], "run"));
	struct pd_buf line = {0};
	bool succeeded;

	for (int i = 0; i < count; i++) {
		if (i)
			pd_buf_append(&line, " ", 1);
		if (has_text && i == 2 && words[i][0] != '"')
			append_quoted(words[i], &line);
		else
			pd_buf_append_str(&line, pd_str_from(words[i]));
	}
	succeeded = pd_ctl_session_run(session, pd_buf_str(&line), "");
	pd_buf_finish(&line);
	return succeeded;
}

/* Runs one command per line; returns whether all of them succeeded. */
static bool run_stream(struct pd_ctl_session *session, FILE *stream)
{
	char *line = NULL;
	size_t capacity = 0;
	unsigned int number = 0;
	bool all_succeeded = true;
	ssize_t len;

	while ((len = getline(&line, &capacity, stream)) >= 0) {
		char location[32];

		snprintf(location, sizeof(location), "line %u: ", ++number);
		if (!pd_ctl_session_run(session, (struct pd_str){line, (size_t)len}, location))
			all_succeeded = false;
	}
	if (ferror(stream)) {
		fputs("peridotctl: can't read the commands\n", stderr);
		all_succeeded = false;
	}
	free(line);
	return all_succeeded;
}

static bool run_file(struct pd_ctl_session *session, const char *path)
{
	FILE *stream = fopen(path, "re");
	bool succeeded;

	if (!stream) {
		perror(path);
		return false;
	}
	succeeded = run_stream(session, stream);
	fclose(stream);
	return succeeded;
}

/* Prompts for commands until the end of the input, `quit` or `exit`. */
static bool run_terminal(struct pd_ctl_session *session)
{
	bool all_succeeded = true;
	char *line;

	rl_readline_name = "peridotctl";
	while ((line = readline("peridot> "))) {
		if (*line)
			add_history(line);
		if (!strcmp(line, "quit") || !strcmp(line, "exit")) {
			free(line);
			break;
		}
		if (!pd_ctl_session_run(session, pd_str_from(line), ""))
			all_succeeded = false;
		free(line);
	}
	return all_succeeded;
}

int main(int argc, char **argv)
{
	struct pd_ctl_options options = {.deadline_ms = DEFAULT_DEADLINE_MS};
	struct pd_ctl_session session;
	const char *file = NULL;
	int status = parse_options(argc, argv, &options, &file);
	bool succeeded;

	if (status != CONTINUE)
		return status;
	pd_http_global_init();
	pd_ctl_session_init(&session, &options, stdout, stderr);
	if (optind < argc)
		succeeded = run_arguments(&session, argc - optind, argv + optind);
	else if (file)
		succeeded = run_file(&session, file);
	else if (isatty(STDIN_FILENO))
		succeeded = run_terminal(&session);
	else
		succeeded = run_stream(&session, stdin);
	pd_ctl_session_finish(&session);
	return succeeded ? EXIT_SUCCESS : EXIT_FAILURE;
}
