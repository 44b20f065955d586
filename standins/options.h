/**
 * DOC: Command-line options, control commands and shutdown of stand-ins
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
	STANDIN_OPTION_CALLBACK, /* text is passed to a function */
};

/**
 * struct standin_option - one long command-line option
 * @name: name of the option without the leading dashes
 * @type: type of the option's value
 * @value: destination of the parsed value; unused for STANDIN_OPTION_CALLBACK
 * @callback: for STANDIN_OPTION_CALLBACK: function that parses and stores the value; returns false
 * if the text is malformed
 * @help: one-line description for --help
 */
struct standin_option {
	const char *name;
	enum standin_option_type type;
	void *value;
	bool (*callback)(const char *text);
	const char *help;
};

/**
 * struct standin_common_options - options that every stand-in has
 * @listen: address to listen at; with port 0, the kernel assigns a free port
 * @max_seconds: time after which the process exits by itself, in seconds
 */
struct standin_common_options {
	struct pd_address listen;
	int64_t max_seconds;
};

/**
 * standin_options_parse() - parses the command line, blocks signals and opens the log
 * @argc: number of entries in @argv
 * @argv: arguments of the process
 * @purpose: one-line description of the program for --help
 * @common: receives the options that every stand-in has
 * @options: options of this program
 * @count: number of entries in @options
 *
 * Handles --help, --version, --listen and --max-seconds in addition to @options. Exits with status
 * 2 if the command line is malformed.
 */
void standin_options_parse(int argc, char **argv, const char *purpose,
			   struct standin_common_options *common,
			   const struct standin_option *options, size_t count);
/* Logs the error and exits with status 1 unless @code is PD_OK. */
void standin_exit_on_error(enum pd_code code, const struct pd_error *err);
/* Prints `listening IP:PORT` to standard output. */
void standin_print_address(const struct pd_address *address);
/* Waits until SIGTERM or SIGINT is received or --max-seconds have passed. */
void standin_wait_shutdown(const struct standin_common_options *common);

#define STANDIN_COMMAND_WORDS_MAX 8

/**
 * struct standin_command - one command of a POST /control request
 * @words: name of the command and its arguments, NUL-terminated
 * @word_count: number of words, at least 1; words beyond STANDIN_COMMAND_WORDS_MAX are ignored
 * @raw_arguments: text of the line after its first blank, not split into words
 */
struct standin_command {
	char *words[STANDIN_COMMAND_WORDS_MAX];
	size_t word_count;
	const char *raw_arguments;
};

/**
 * standin_apply_commands() - applies the commands of a POST /control request in order
 * @body: one command per line; empty lines are skipped
 * @apply: applies one command; returns false if the command is unknown or malformed
 * @arg: passed to @apply
 * @bad_line: receives the number of the first line that @apply rejected, counted from 1
 *
 * Return: false if a line was rejected. The lines before it have been applied, those after it
 * haven't.
 */
bool standin_apply_commands(struct pd_str body,
			    bool (*apply)(void *arg, const struct standin_command *command),
			    void *arg, size_t *bad_line);
/* Tells whether @command has the name @command_name and exactly @argument_count arguments. */
bool standin_command_is(const struct standin_command *command, const char *command_name,
			size_t argument_count);
/* Parses an integer that isn't negative; returns false if the text is malformed. */
bool standin_parse_integer(const char *text, int64_t *value);
/* Parses a finite decimal number that isn't negative; returns false if the text is malformed. */
bool standin_parse_decimal(const char *text, double *value);
/* Parses "on" or "off"; returns false for any other text. */
bool standin_parse_on_off(const char *text, bool *on);

#endif
