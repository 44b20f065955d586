/**
 * DOC: Command-line options, control lines and the end of a stand-in
 */
#ifndef STANDIN_OPTIONS_H
#define STANDIN_OPTIONS_H

#include "os.h"
#include "str.h"

#define STANDIN_VERSION "0.1.0"

enum standin_option_type {
	STANDIN_OPTION_FLAG, /* bool */
	STANDIN_OPTION_INTEGER, /* int64_t, not negative */
	STANDIN_OPTION_DECIMAL, /* double, not negative */
	STANDIN_OPTION_TEXT, /* const char * */
	STANDIN_OPTION_ADDRESS, /* struct pd_address */
	STANDIN_OPTION_CALLBACK, /* function that takes the text */
};

/**
 * struct standin_option - one long option
 * @name: without the dashes
 * @type: of the value
 * @value: where it is stored
 * @callback: for STANDIN_OPTION_CALLBACK; false when the text is malformed
 * @help: one line
 */
struct standin_option {
	const char *name;
	enum standin_option_type type;
	void *value;
	bool (*callback)(const char *text);
	const char *help;
};

/**
 * struct standin_common_options - options of every stand-in
 * @listen: port 0 takes a free one
 * @max_seconds: the process ends by itself after that time
 */
struct standin_common_options {
	struct pd_address listen;
	int64_t max_seconds;
};

/**
 * standin_options_parse() - parses the command line, blocks signals and opens the log
 *
 * Handles --help, --version, --listen and --max-seconds besides @options. Exits with status 2 on a
 * malformed command line.
 */
void standin_options_parse(int argc, char **argv, const char *purpose,
			   struct standin_common_options *common,
			   const struct standin_option *options, size_t count);
/* Ends the process with status 1 and a log line unless @code is PD_OK. */
void standin_exit_on_error(enum pd_code code, const struct pd_error *err);
/* Prints the line `listening IP:PORT` on standard output. */
void standin_print_address(const struct pd_address *address);
/* Waits for SIGTERM, SIGINT or the end of --max-seconds. */
void standin_wait_shutdown(const struct standin_common_options *common);

#define STANDIN_COMMAND_WORDS_MAX 8

/**
 * struct standin_command - one control line
 * @words: words, NUL-terminated
 * @word_count: number of words, at least 1
 * @raw_arguments: the text after the first word, as written
 */
struct standin_command {
	char *words[STANDIN_COMMAND_WORDS_MAX];
	size_t word_count;
	const char *raw_arguments;
};

/**
 * standin_apply_commands() - applies control lines in order
 * @body: one command a line; empty lines are skipped
 * @apply: false when the line is malformed
 * @bad_line: stores the number of the first malformed line, from 1
 *
 * Return: false at the first malformed line; the lines before it took effect.
 */
bool standin_apply_commands(struct pd_str body,
			    bool (*apply)(void *arg, const struct standin_command *line), void *arg,
			    size_t *bad_line);
/* True when @line is @command with @arguments words after it. */
bool standin_command_is(const struct standin_command *line, const char *command, size_t arguments);
bool standin_parse_integer(const char *text, int64_t *value);
bool standin_parse_decimal(const char *text, double *value);
bool standin_parse_on_off(const char *text, bool *on); /* "on" or "off" */

#endif
