#include "log.h"

#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define LINE_MAX_BYTES 1024

static struct {
	char name[64];
	enum pd_log_level level;
} log_state = {"peridot", PD_LOG_INFO};

#define STDOUT_BUFFER_BYTES 8192

/* Buffer for standard output; @lock guards the members below it. */
static struct {
	bool active;
	pthread_mutex_t lock;
	unsigned int lines_per_s;
	unsigned int lines; /* logged in @second, dropped ones included */
	time_t second; /* current second, Unix time */
	unsigned long dropped; /* lines dropped since the last log_dropped event */
	char bytes[STDOUT_BUFFER_BYTES];
	size_t len;
} stdout_buffer = {.lock = PTHREAD_MUTEX_INITIALIZER};

void pd_log_to_stdout(unsigned int lines_per_s)
{
	stdout_buffer.lines_per_s = lines_per_s;
	stdout_buffer.active = true;
}

/* Writes as much as standard output accepts without blocking and drops the rest. */
static void write_buffer_locked(void)
{
	struct pollfd p = {.fd = STDOUT_FILENO, .events = POLLOUT};
	size_t done = 0;

	while (done < stdout_buffer.len && poll(&p, 1, 0) == 1 && (p.revents & POLLOUT)) {
		/* A pipe that polls as writable accepts PIPE_BUF (4096) bytes without blocking. */
		size_t chunk = stdout_buffer.len - done < 4096 ? stdout_buffer.len - done : 4096;
		ssize_t n = write(STDOUT_FILENO, stdout_buffer.bytes + done, chunk);

		if (n <= 0)
			break;
		done += (size_t)n;
	}
	for (size_t i = done; i < stdout_buffer.len; i++)
		stdout_buffer.dropped += stdout_buffer.bytes[i] == '\n';
	stdout_buffer.len = 0;
}

void pd_log_flush(void)
{
	if (!stdout_buffer.active)
		return;
	pthread_mutex_lock(&stdout_buffer.lock);
	write_buffer_locked();
	pthread_mutex_unlock(&stdout_buffer.lock);
}

static void append_locked(const char *line, size_t len)
{
	if (stdout_buffer.len + len > STDOUT_BUFFER_BYTES)
		write_buffer_locked();
	memcpy(stdout_buffer.bytes + stdout_buffer.len, line, len);
	stdout_buffer.len += len;
}

static void report_dropped_locked(void)
{
	char line[96];
	int n;

	if (!stdout_buffer.dropped)
		return;
	n = snprintf(line, sizeof(line), "<4>name=%s event=log_dropped lines=%lu\n", log_state.name,
		     stdout_buffer.dropped);
	stdout_buffer.dropped = 0;
	if (n > 0)
		append_locked(line, (size_t)n < sizeof(line) ? (size_t)n : sizeof(line) - 1);
}

static void append_rate_limited(const char *line, size_t len)
{
	time_t now = time(NULL);

	pthread_mutex_lock(&stdout_buffer.lock);
	if (now != stdout_buffer.second) {
		stdout_buffer.second = now;
		stdout_buffer.lines = 0;
		report_dropped_locked();
	}
	if (stdout_buffer.lines++ < stdout_buffer.lines_per_s)
		append_locked(line, len);
	else
		stdout_buffer.dropped++;
	pthread_mutex_unlock(&stdout_buffer.lock);
}

void pd_log_open(const char *name, enum pd_log_level level)
{
	snprintf(log_state.name, sizeof(log_state.name), "%s", name);
	log_state.level = level;
}

static size_t format_prefix(char *line, size_t size, enum pd_log_level level, const char *event)
{
	struct timespec ts;
	struct tm tm;
	char stamp[32];
	int n;

	clock_gettime(CLOCK_REALTIME, &ts);
	gmtime_r(&ts.tv_sec, &tm);
	strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &tm);
	n = snprintf(line, size, "<%d>time=%s.%03ldZ name=%s event=%s ", (int)level, stamp,
		     ts.tv_nsec / 1000000, log_state.name, event);
	return n > 0 ? (size_t)n : 0;
}

void pd_log(enum pd_log_level level, const char *event, const char *format, ...)
{
	char line[LINE_MAX_BYTES];
	size_t len;
	va_list args;
	int n;

	if (level > log_state.level)
		return;
	len = format_prefix(line, sizeof(line), level, event);
	va_start(args, format);
	n = vsnprintf(line + len, sizeof(line) - len, format, args);
	va_end(args);
	len += n > 0 ? (size_t)n : 0;
	if (len > sizeof(line) - 1)
		len = sizeof(line) - 1;
	for (size_t i = 0; i < len; i++) {
		if (line[i] == '\n' || line[i] == '\r')
			line[i] = ' ';
	}
	line[len++] = '\n';
	if (stdout_buffer.active) {
		append_rate_limited(line, len);
		return;
	}
	if (write(STDERR_FILENO, line, len) < 0)
		return;
}

const char *pd_log_quote(struct pd_str s, char out[PD_LOG_QUOTE_MAX_BYTES])
{
	size_t len = 0;

	out[len++] = '"';
	for (size_t i = 0; i < s.len && len < PD_LOG_QUOTE_MAX_BYTES - 3; i++) {
		unsigned char c = (unsigned char)s.data[i];

		if (c == '"' || c == '\\')
			out[len++] = '\\';
		out[len++] = (char)(c < 0x20 || c == 0x7f ? '?' : c);
	}
	out[len++] = '"';
	out[len] = '\0';
	return out;
}

void pd_log_failure(enum pd_log_level level, const char *event, const struct pd_error *err)
{
	char quoted[PD_LOG_QUOTE_MAX_BYTES];

	pd_log(level, event, "code=%s layer=%s error=%s", pd_strerror(err->code),
	       pd_layer_name(err->layer), pd_log_quote(pd_str_from(err->text), quoted));
}
