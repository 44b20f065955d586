#include "reporter.h"

#include <stdio.h>
#include <string.h>

#include "log.h"
#include "objects.h"
#include "os.h"

#define RETRY_DELAY_US	  (1000 * PD_USEC_PER_MSEC) /* after a failed call */
#define CHECK_INTERVAL_US (10 * PD_USEC_PER_SEC) /* interval of checks for reports to delete */
#define SUFFIX_BYTES	  9 /* dot and eight digits that make the name of a crash unique */

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
			      const struct pd_name *upstream)
{
	struct pd_name event, name;
	char text[PD_CRASH_EVENT_MAX_BYTES + 1];

	/* Each crash gets a unique name, because an upstream can crash again under the same id. */
	snprintf(text, sizeof(text), "%.*s.%08x", PD_CRASH_EVENT_MAX_BYTES - SUFFIX_BYTES,
		 upstream->text, (uint32_t)pd_os_random_seed());
	if (!pd_name_set(&event, pd_str_from(text))) {
		pd_log(PD_LOG_ERROR, "crash_not_told", "name=%s reason=invalid_name", text);
		return;
	}
	if (!pd_directory_add_crash(reporter->directory, fingerprint, &event))
		return;
	if (!pd_object_format_crash_name(fingerprint, &event, &name)) {
		pd_log(PD_LOG_ERROR, "crash_not_told", "name=%s reason=invalid_name", text);
		return;
	}
	pthread_mutex_lock(&reporter->lock);
	if (reporter->count < PD_REPORTER_REPORTS_MAX) {
		reporter->reports[reporter->count++] = (struct pd_crash_report){.name = name};
		pthread_cond_signal(&reporter->changed);
	} else {
		pd_log(PD_LOG_WARNING, "crash_not_told", "name=%s reason=limit limit=%d", name.text,
		       PD_REPORTER_REPORTS_MAX);
	}
	pthread_mutex_unlock(&reporter->lock);
}

/* Copies the next report that has to be written or deleted now; false if there is none. */
static bool next_due_report(struct pd_reporter *reporter, struct pd_crash_report *report)
{
	int64_t now = pd_os_boot_us();

	for (size_t i = 0; i < reporter->count; i++) {
		if (!reporter->reports[i].delete_at_us ||
		    now >= reporter->reports[i].delete_at_us) {
			*report = reporter->reports[i];
			return true;
		}
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

static void *run(void *arg)
{
	struct pd_reporter *reporter = arg;

	pthread_mutex_lock(&reporter->lock);
	for (;;) {
		struct pd_crash_report report;
		struct pd_error err;
		enum pd_code code;

		if (!next_due_report(reporter, &report)) {
			pd_os_cond_wait_until(&reporter->changed, &reporter->lock,
					      pd_os_now_us() + CHECK_INTERVAL_US);
			continue;
		}
		pthread_mutex_unlock(&reporter->lock);
		code = update_store(reporter, &report, &err);
		if (code != PD_OK) {
			pd_log_failure(PD_LOG_WARNING, "crash_not_told", &err);
			pd_os_sleep_us(RETRY_DELAY_US);
		}
		pthread_mutex_lock(&reporter->lock);
		if (code == PD_OK && report.delete_at_us)
			remove_report(reporter, &report.name);
		else if (code == PD_OK)
			mark_written(reporter, &report.name);
	}
	return NULL;
}

enum pd_code pd_reporter_start(struct pd_reporter *reporter, struct pd_error *err)
{
	return pd_os_thread_start(&reporter->thread, "reporter", run, reporter, err);
}
