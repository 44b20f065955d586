/**
 * DOC: Logging to standard error, or rate-limited to standard output
 *
 * One line for each event: `<PRIORITY>time=... name=... event=... key=value ...`, where the number
 * in angle brackets is a syslog priority (3 error, 4 warning, 6 info, 7 debug). Values that may
 * contain spaces are quoted with pd_log_quote(). Each line on standard error is written with one
 * system call, so that lines of several threads don't interleave.
 */
#ifndef PD_LOG_H
#define PD_LOG_H

#include <stdint.h>

#include "error.h"
#include "str.h"

/** enum pd_log_level - severities; the values are syslog priorities. */
enum pd_log_level {
	PD_LOG_ERROR = 3,
	PD_LOG_WARNING = 4,
	PD_LOG_INFO = 6,
	PD_LOG_DEBUG = 7,
};

/* Sets the program name that is part of each line and the least severe level that is written. */
void pd_log_open(const char *name, enum pd_log_level level);

/**
 * pd_log() - writes one event
 * @level: severity
 * @event: name of the event, such as "peer_connected"
 * @format: printf format of `key=value` pairs
 */
void pd_log(enum pd_log_level level, const char *event, const char *format, ...)
	__attribute__((format(printf, 3, 4)));

/**
 * pd_log_to_stdout() - makes pd_log() write to standard output, with buffering
 * @lines_per_s: maximum number of lines per second; lines above it are dropped
 *
 * Lines are buffered in memory and written by pd_log_flush() or when the buffer is full. Writing
 * never blocks: if the pipe is full, the rest of the buffer is dropped. A log_dropped event reports
 * the number of dropped lines.
 */
void pd_log_to_stdout(unsigned int lines_per_s);
/* Writes the buffered lines. */
void pd_log_flush(void);

#define PD_LOG_QUOTE_MAX_BYTES 320
/* Writes @s to @out in double quotes, escaped and truncated to fit; returns @out. */
const char *pd_log_quote(struct pd_str s, char out[PD_LOG_QUOTE_MAX_BYTES]);
/* Logs @event with the code, layer and message of @err. */
void pd_log_failure(enum pd_log_level level, const char *event, const struct pd_error *err);

#endif
