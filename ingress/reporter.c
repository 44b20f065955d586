#include "reporter.h"

#include <inttypes.h>
#include <string.h>

#include "counters.h"
#include "log.h"
#include "objects.h"
#include "os.h"

#define RETRY_DELAY_US (1000 * PD_USEC_PER_MSEC) /* after a failed call */
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

void pd_reporter_init(struct pd_reporter *reporter, struct pd_directory *directory,
		      struct pd_sync *sync)
{
	memset(reporter, 0, sizeof(*reporter));
	reporter->directory = directory;
	reporter->sync = sync;
	pd_store_init(&reporter->store, &sync->address);
}

void pd_reporter_report_crash(struct pd_reporter *reporter, uint64_t fingerprint,
			      const struct pd_upstream *upstream, int64_t connected_us, bool stale)
{
	struct pd_crash_report report = {
		.fingerprint = fingerprint,
		.event = {.service = pd_crash_service(pd_name_str(&upstream->service->name)),
			  .broken_us = pd_os_boot_us()},
		.service = upstream->service->name,
		.upstream = upstream->id,
		.started_unix_ms = upstream->started_unix_ms};
	const struct pd_crash_origin origin = {.upstream = pd_upstream_id(upstream),
					       .started_unix_ms = upstream->started_unix_ms,
					       .connected_us = connected_us};

	pd_crashes_name(&reporter->directory->crashes, fingerprint, &origin, &report.event.name);
	if (pd_address_parse(pd_str_from(upstream->address_text), &report.address, NULL) != PD_OK) {
		pd_log(PD_LOG_ERROR, "crash_not_told", "crash=%s reason=invalid_address",
		       report.event.name.text);
		return;
	}
	switch (pd_directory_note_crash(reporter->directory, fingerprint, &report.event)) {
	case PD_CRASH_RECORDED:
		break;
	case PD_CRASH_REPEATED:
		report.on_trial = !stale;
		break;
	case PD_CRASH_ANSWERED:
	case PD_CRASH_IGNORED:
		return;
	}
	if (!pd_crash_reports_add(&reporter->directory->crash_reports, &report))
		pd_log(PD_LOG_WARNING, "crash_not_told", "crash=%s reason=limit limit=%d",
		       report.event.name.text, PD_CRASH_REPORTS_MAX);
}

/* Whether the upstream accepts a connection. */
static bool accepts_connection(const struct pd_crash_report *report)
{
	struct pd_error err;
	bool accepts;
	int fd = -1;

	if (pd_os_boot_us() - report->event.broken_us > CONFIRM_MAX_US)
		return false;
	accepts = pd_os_connect(&report->address, CONNECT_TIMEOUT_US, &fd, &err) == PD_OK;
	pd_os_close(&fd);
	return accepts;
}

static bool is_running(struct pd_reporter *reporter, const struct pd_crash_report *report)
{
	return pd_registry_answered_since(reporter->directory->registry, &report->upstream,
					  report->started_unix_ms,
					  report->event.broken_us + ARRIVAL_US) ||
	       accepts_connection(report);
}

/* Withdraws a crash if the upstream still runs; otherwise tells the followers. Returns false if
 * there is nothing to report.
 */
static bool confirm(struct pd_reporter *reporter, const struct pd_crash_report *report)
{
	struct pd_directory *directory = reporter->directory;

	if (!report->on_trial && is_running(reporter, report)) {
		pd_crashes_remove(&directory->crashes, report->fingerprint, &report->event.name);
		pd_count(PD_COUNT_crashes_withdrawn);
		pd_log(PD_LOG_INFO, "crash_withdrawn", "crash=%s reason=upstream_runs",
		       report->event.name.text);
		return false;
	}
	pd_log(PD_LOG_WARNING, "crash_reported", "crash=%s", report->event.name.text);
	pd_directory_publish_crash(directory, report->fingerprint, &report->event);
	return true;
}

static void use_current_address(struct pd_reporter *reporter)
{
	struct sockaddr_in address;

	pd_sync_get_address(reporter->sync, &address);
	pd_store_set_address(&reporter->store, &address);
}

static enum pd_code write_report(struct pd_reporter *reporter, const struct pd_crash_report *report,
				 struct pd_error *err)
{
	struct pd_crash_contents contents = {.service = report->service,
					     .upstream = report->upstream,
					     .partial = report->event.partial,
					     .age_ms = (pd_os_boot_us() - report->event.broken_us) /
						       PD_USEC_PER_MSEC,
					     .written_unix_ms = pd_os_unix_ms()};
	struct pd_name name;
	enum pd_code code;

	if (!pd_object_format_crash_name(report->fingerprint, &report->event.name, &name))
		return pd_error_set(err, PD_LAYER_COORDINATION, PD_INVALID,
				    "crash %s: the name is too long", report->event.name.text);
	use_current_address(reporter);
	code = pd_store_create(&reporter->store, PD_OBJECT_CRASHES, pd_name_str(&name),
			       pd_object_write_crash(&contents), err);
	return code == PD_CONFLICT ? PD_OK : code;
}

/* Handles a report that is due. It stays in the queue until it is written. */
static void handle_report(struct pd_reporter *reporter, struct pd_crash_report *report)
{
	struct pd_crash_reports *reports = &reporter->directory->crash_reports;
	struct pd_error err;
	enum pd_code code;

	/* An answer may have cleared the request meanwhile. */
	if (!pd_crashes_tell(&reporter->directory->crashes, report->fingerprint, &report->event) ||
	    (!report->confirmed && !confirm(reporter, report))) {
		pd_crash_reports_remove(reports, report);
		return;
	}
	pd_crash_reports_confirm(reports, report);
	code = write_report(reporter, report, &err);
	if (code != PD_OK && code != PD_INVALID) {
		pd_log_failure(PD_LOG_WARNING, "crash_not_told", &err);
		pd_os_sleep_us(RETRY_DELAY_US);
		return;
	}
	pd_crash_reports_remove(reports, report);
	if (code == PD_OK)
		pd_crash_reports_schedule(reports, report->fingerprint, &report->event.name,
					  PD_CRASH_DELETION_WRITTEN);
	else
		pd_log_failure(PD_LOG_ERROR, "crash_not_told", &err);
}

/* Whether an object that was written here is needed for longer, because the request may still be
 * refused: an answer to it at one instance reaches the others by the deletion.
 */
static bool is_needed(struct pd_reporter *reporter, const struct pd_crash_deletion *deletion)
{
	struct pd_directory *directory = reporter->directory;
	int64_t now = pd_os_boot_us();

	return deletion->own && !deletion->cleared &&
	       now < pd_crash_report_end_us(deletion->written_us, true) &&
	       pd_crashes_is_suspect(&directory->crashes, deletion->fingerprint, now);
}

static void handle_deletion(struct pd_reporter *reporter, const struct pd_crash_deletion *deletion)
{
	struct pd_crash_reports *reports = &reporter->directory->crash_reports;
	struct pd_error err;
	struct pd_name name;

	if (is_needed(reporter, deletion)) {
		pd_crash_reports_postpone(reports, deletion->fingerprint, &deletion->event,
					  pd_crash_report_end_us(deletion->written_us, true));
		return;
	}
	/* An instance that follows another one doesn't learn whether the object still exists. */
	if ((!deletion->orphan || pd_sync_is_watching(reporter->sync)) &&
	    pd_object_format_crash_name(deletion->fingerprint, &deletion->event, &name)) {
		use_current_address(reporter);
		if (pd_store_delete(&reporter->store, PD_OBJECT_CRASHES, pd_name_str(&name),
				    &err) != PD_OK) {
			pd_log_failure(PD_LOG_WARNING, "crash_not_deleted", &err);
			pd_crash_reports_retry(reports, deletion->fingerprint, &deletion->event);
			return;
		}
	}
	pd_crash_reports_cancel(reports, deletion->fingerprint, &deletion->event);
}

static void *run(void *arg)
{
	struct pd_reporter *reporter = arg;

	for (;;) {
		struct pd_crash_deletion deletion;
		struct pd_crash_report report;

		if (pd_crash_reports_wait(&reporter->directory->crash_reports, CONFIRM_US, &report,
					  &deletion))
			handle_report(reporter, &report);
		else
			handle_deletion(reporter, &deletion);
	}
	return NULL;
}

enum pd_code pd_reporter_start(struct pd_reporter *reporter, struct pd_error *err)
{
	return pd_os_thread_start(&reporter->thread, "reporter", run, reporter, err);
}
