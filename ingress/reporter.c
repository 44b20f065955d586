#include "reporter.h"

#include <stdio.h>
#include <string.h>

#include "counters.h"
#include "log.h"
#include "objects.h"
#include "os.h"

#define RETRY_DELAY_US	  (1000 * PD_USEC_PER_MSEC) /* after a failed call */
#define CHECK_INTERVAL_US (10 * PD_USEC_PER_SEC) /* interval of checks for reports to delete */
/* A crashed upstream answers nothing and accepts no connection for some seconds. Reports of the
 * third crash must reach all instances within 4 s, so that little time is left to find out.
 */
#define CONFIRM_US (600 * PD_USEC_PER_MSEC)
/* Responses that were sent before a crash may arrive this long after the connection broke. */
#define ARRIVAL_US (100 * PD_USEC_PER_MSEC)
/* Connecting takes less than 5 ms. After @CONFIRM_MAX_US, upstreams that have crashed may be back,
 * so that a connection proves nothing.
 */
#define CONNECT_TIMEOUT_US (60 * PD_USEC_PER_MSEC)
#define CONFIRM_MAX_US	   (1500 * PD_USEC_PER_MSEC)
#define SUFFIX_BYTES	   9 /* dot and eight digits that make the name of a crash unique */

void pd_reporter_init(struct pd_reporter *reporter, struct pd_directory *directory,
		      struct pd_sync *sync)
{
	memset(reporter, 0, sizeof(*reporter));
	reporter->directory = directory;
	reporter->sync = sync;
	pd_store_init(&reporter->store, &sync->address);
	pthread_mutex_init(&reporter->lock, NULL);
	pd_os_cond_init(&reporter->changed);
}

void pd_reporter_report_crash(struct pd_reporter *reporter, uint64_t fingerprint,
			      const struct pd_upstream *upstream)
{
	struct pd_crash_report report = {.fingerprint = fingerprint,
					 .upstream = upstream->id,
					 .started_unix_ms = upstream->started_unix_ms,
					 .broken_us = pd_os_boot_us()};
	char text[PD_CRASH_EVENT_MAX_BYTES + 1];

	/* Each crash gets a unique name, because an upstream can crash again under the same id. */
	snprintf(text, sizeof(text), "%.*s.%08x", PD_CRASH_EVENT_MAX_BYTES - SUFFIX_BYTES,
		 upstream->id.text, (uint32_t)pd_os_random_seed());
	if (!pd_name_set(&report.event, pd_str_from(text)) ||
	    !pd_object_format_crash_name(fingerprint, &report.event, &report.name) ||
	    pd_address_parse(pd_str_from(upstream->address_text), &report.address, NULL) != PD_OK) {
		pd_log(PD_LOG_ERROR, "crash_not_told", "name=%s reason=invalid_name", text);
		return;
	}
	if (!pd_directory_note_crash(reporter->directory, fingerprint, &report.event))
		return;
	pthread_mutex_lock(&reporter->lock);
	if (reporter->count < PD_REPORTER_REPORTS_MAX) {
		reporter->reports[reporter->count++] = report;
		pthread_cond_signal(&reporter->changed);
	} else {
		pd_log(PD_LOG_WARNING, "crash_not_told", "name=%s reason=limit limit=%d",
		       report.name.text, PD_REPORTER_REPORTS_MAX);
	}
	pthread_mutex_unlock(&reporter->lock);
}

/* Returns the time at which a report has to be confirmed, written or deleted. */
static int64_t due_us(const struct pd_crash_report *report)
{
	if (report->delete_at_us)
		return report->delete_at_us;
	return report->confirmed ? 0 : report->broken_us + CONFIRM_US;
}

/* Copies the next report that is due; false if there is none, and @wait_us is the time until the
 * next one is.
 */
static bool next_due_report(struct pd_reporter *reporter, struct pd_crash_report *report,
			    int64_t *wait_us)
{
	int64_t now = pd_os_boot_us();

	*wait_us = CHECK_INTERVAL_US;
	for (size_t i = 0; i < reporter->count; i++) {
		int64_t left = due_us(&reporter->reports[i]) - now;

		if (left <= 0) {
			*report = reporter->reports[i];
			return true;
		}
		if (left < *wait_us)
			*wait_us = left;
	}
	return false;
}

/* Marks a report as written, and schedules its deletion. */
static void mark_written(struct pd_reporter *reporter, const struct pd_name *name)
{
	for (size_t i = 0; i < reporter->count; i++) {
		if (pd_name_equal(&reporter->reports[i].name, name))
			reporter->reports[i].delete_at_us = pd_os_boot_us() + PD_CRASH_EXPIRY_US;
	}
}

static void remove_report(struct pd_reporter *reporter, const struct pd_name *name)
{
	for (size_t i = 0; i < reporter->count; i++) {
		if (!pd_name_equal(&reporter->reports[i].name, name))
			continue;
		reporter->reports[i] = reporter->reports[--reporter->count];
		return;
	}
}

/* Whether the upstream accepts a connection. */
static bool accepts_connection(const struct pd_crash_report *report)
{
	struct pd_error err;
	bool accepts;
	int fd = -1;

	if (pd_os_boot_us() - report->broken_us > CONFIRM_MAX_US)
		return false;
	accepts = pd_os_connect(&report->address, CONNECT_TIMEOUT_US, &fd, &err) == PD_OK;
	pd_os_close(&fd);
	return accepts;
}

/* Withdraws a crash if the upstream still runs; otherwise tells the followers. Returns false if
 * there is nothing to report.
 */
static bool confirm(struct pd_reporter *reporter, const struct pd_crash_report *report)
{
	struct pd_directory *directory = reporter->directory;

	if (pd_registry_answered_since(directory->registry, &report->upstream,
				       report->started_unix_ms, report->broken_us + ARRIVAL_US) ||
	    accepts_connection(report)) {
		pd_crashes_remove(&directory->crashes, report->fingerprint, &report->event);
		pd_count(PD_COUNT_crashes_withdrawn);
		pd_log(PD_LOG_INFO, "crash_withdrawn", "crash=%s reason=upstream_runs",
		       report->event.text);
		return false;
	}
	pd_log(PD_LOG_WARNING, "crash_reported", "crash=%s", report->event.text);
	pd_directory_publish_crash(directory, report->fingerprint, &report->event);
	return true;
}

static void mark_confirmed(struct pd_reporter *reporter, const struct pd_name *name)
{
	for (size_t i = 0; i < reporter->count; i++) {
		if (pd_name_equal(&reporter->reports[i].name, name))
			reporter->reports[i].confirmed = true;
	}
}

/* Writes a report to the store, or deletes it if it was written before. */
static enum pd_code update_store(struct pd_reporter *reporter, const struct pd_crash_report *report,
				 struct pd_error *err)
{
	struct sockaddr_in address;
	enum pd_code code;

	pd_sync_get_address(reporter->sync, &address);
	pd_store_set_address(&reporter->store, &address);
	if (report->delete_at_us)
		return pd_store_delete(&reporter->store, PD_OBJECT_CRASHES,
				       pd_name_str(&report->name), err);
	code = pd_store_create(&reporter->store, PD_OBJECT_CRASHES, pd_name_str(&report->name),
			       json_object(), err);
	return code == PD_CONFLICT ? PD_OK : code;
}

/* Handles a report that is due, without the lock. */
static void handle_report(struct pd_reporter *reporter, struct pd_crash_report *report)
{
	struct pd_error err;
	enum pd_code code;
	bool real = report->confirmed || confirm(reporter, report);

	code = real ? update_store(reporter, report, &err) : PD_OK;
	if (code != PD_OK) {
		pd_log_failure(PD_LOG_WARNING, "crash_not_told", &err);
		pd_os_sleep_us(RETRY_DELAY_US);
	}
	pthread_mutex_lock(&reporter->lock);
	if (real)
		mark_confirmed(reporter, &report->name);
	if (!real || (code == PD_OK && report->delete_at_us))
		remove_report(reporter, &report->name);
	else if (code == PD_OK)
		mark_written(reporter, &report->name);
	pthread_mutex_unlock(&reporter->lock);
}

static void *run(void *arg)
{
	struct pd_reporter *reporter = arg;

	for (;;) {
		struct pd_crash_report report;
		int64_t wait_us;
		bool due;

		pthread_mutex_lock(&reporter->lock);
		due = next_due_report(reporter, &report, &wait_us);
		if (!due)
			pd_os_cond_wait_until(&reporter->changed, &reporter->lock,
					      pd_os_now_us() + wait_us);
		pthread_mutex_unlock(&reporter->lock);
		if (due)
			handle_report(reporter, &report);
	}
	return NULL;
}

enum pd_code pd_reporter_start(struct pd_reporter *reporter, struct pd_error *err)
{
	return pd_os_thread_start(&reporter->thread, "reporter", run, reporter, err);
}
