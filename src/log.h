/**
 * DOC: Log lines on standard error, or bounded on standard output
 *
 * One line for each event: `<PRIORITY>time=... name=... event=... key=value ...`, where the number
 * in angle brackets is a syslog priority (3 error, 4 warning, 6 info, 7 debug). Values with blanks
 * or quotes are quoted. A line is written with one system call, so lines of threads don't mix.
 */
#ifndef PD_LOG_H
#define PD_LOG_H

#include <stdint.h>

#include "error.h"
#include "str.h"

enum pd_log_level {
	PD_LOG_ERROR = 3,
	PD_LOG_WARNING = 4,
	PD_LOG_INFO = 6,
	PD_LOG_DEBUG = 7,
};

/* Sets the program's name in each line and the least urgent level that is written. */
void pd_log_open(const char *name, enum pd_log_level level);

/**
 * pd_log() - writes one event
 * @level: urgency
 * @event: name of the event, such as "peer_connected"
 * @format: printf format of `key=value` pairs; values that may hold blanks go through %s of
 *	    pd_log_quote()
 */
void pd_log(enum pd_log_level level, const char *event, const char *format, ...)
	__attribute__((format(printf, 3, 4)));

/**
 * pd_log_to_stdout() - collects lines and writes them to standard output
 * @lines_per_s: most lines per second; further ones are dropped, and counted in a later line
 *
 * Lines are collected in memory and written by pd_log_flush(), or at once when the memory is full.
 * Writing never blocks: what the reader doesn't take is dropped and counted.
 */
void pd_log_to_stdout(unsigned int lines_per_s);
/* Writes the collected lines. */
void pd_log_flush(void);

#define PD_LOG_QUOTE_MAX_BYTES 320
/* Writes @s quoted and escaped when it needs it; returns @out. */
const char *pd_log_quote(struct pd_str s, char out[PD_LOG_QUOTE_MAX_BYTES]);
/* Logs @event with code=, layer= and error= of @err. */
void pd_log_failure(enum pd_log_level level, const char *event, const struct pd_error *err);

#endif
