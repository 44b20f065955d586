/**
 * DOC: Crash reports: what this instance still has to tell the store about crashes
 *
 * A crash that was observed here waits for its confirmation, and then for a report to be written as
 * an object of the store. An object waits for its deletion: it was written here, an answer has
 * shown that the request didn't cause the crash, or nobody else has deleted it in time. The queue
 * is bounded and thread-safe; the reporter works it off. Times are in microseconds of
 * pd_os_boot_us().
 */
#ifndef PD_CRASH_REPORTS_H
#define PD_CRASH_REPORTS_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "crashes.h"
#include "os.h"

#define PD_CRASH_REPORTS_MAX   64 /* reports that are still to be written */
#define PD_CRASH_DELETIONS_MAX 256 /* objects that are to be deleted */

/**
 * struct pd_crash_report - report of one crash
 * @fingerprint: fingerprint of the request
 * @event: crash
 * @service: name of the upstream's service
 * @upstream: id of the upstream
 * @address: address of the upstream
 * @started_unix_ms: Unix time of the upstream's start, in milliseconds
 * @on_trial: the request was on trial, so that the crash needs no confirmation
 * @confirmed: the upstream has neither answered nor accepted a connection since
 */
struct pd_crash_report {
	uint64_t fingerprint;
	struct pd_crash_event event;
	struct pd_name service;
	struct pd_name upstream;
	struct pd_address address;
	int64_t started_unix_ms;
	bool on_trial;
	bool confirmed;
};

/**
 * struct pd_crash_deletion - object of a report that is to be deleted
 * @fingerprint: fingerprint of the request
 * @event: name of the crash
 * @due_us: time of the deletion
 * @written_us: time at which this instance has written the object, if it has
 * @own: this instance has written the object
 * @cleared: an answer has cleared the request
 * @orphan: the object is deleted only because its writer should have done so
 */
struct pd_crash_deletion {
	uint64_t fingerprint;
	struct pd_name event;
	int64_t due_us;
	int64_t written_us;
	bool own;
	bool cleared;
	bool orphan;
};

/**
 * struct pd_crash_reports - queue of reports and deletions
 * @lock: guards the queue
 * @changed: signalled when something was added
 * @reports: reports that are to be confirmed or written
 * @report_count: number of entries in @reports
 * @deletions: objects that are to be deleted
 * @deletion_count: number of entries in @deletions
 */
struct pd_crash_reports {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	struct pd_crash_report reports[PD_CRASH_REPORTS_MAX];
	size_t report_count;
	struct pd_crash_deletion deletions[PD_CRASH_DELETIONS_MAX];
	size_t deletion_count;
};

void pd_crash_reports_init(struct pd_crash_reports *reports);
void pd_crash_reports_finish(struct pd_crash_reports *reports);
/* Adds a report; false if the queue is full. */
bool pd_crash_reports_add(struct pd_crash_reports *reports, const struct pd_crash_report *report);
/* Marks a report as confirmed. */
void pd_crash_reports_confirm(struct pd_crash_reports *reports,
			      const struct pd_crash_report *report);
/* Removes a report. */
void pd_crash_reports_remove(struct pd_crash_reports *reports,
			     const struct pd_crash_report *report);

/** enum pd_crash_deletion_reason - why the object of a report is to be deleted. */
enum pd_crash_deletion_reason {
	PD_CRASH_DELETION_WRITTEN, /* written by this instance: when the crash has expired */
	PD_CRASH_DELETION_CLEARED, /* an answer has cleared the request: at once by the writer, else
				    * after a random delay, in which another instance may do it */
	PD_CRASH_DELETION_ORPHAN, /* seen in the store: if it still exists after its expiry */
};

/* Schedules the deletion of an object, unless it is scheduled for an earlier time. It isn't if the
 * queue is full.
 */
void pd_crash_reports_schedule(struct pd_crash_reports *reports, uint64_t fingerprint,
			       const struct pd_name *event, enum pd_crash_deletion_reason reason);
/* Lets an object that this instance has written be deleted at once. */
void pd_crash_reports_hasten(struct pd_crash_reports *reports, uint64_t fingerprint,
			     const struct pd_name *event);
/* Cancels the deletion of an object, which doesn't exist any more. */
void pd_crash_reports_cancel(struct pd_crash_reports *reports, uint64_t fingerprint,
			     const struct pd_name *event);
/* Lets an object be deleted later, because a deletion has failed. */
void pd_crash_reports_retry(struct pd_crash_reports *reports, uint64_t fingerprint,
			    const struct pd_name *event);
/* Lets an object be deleted later, at @due_us, unless an answer has cleared the request. */
void pd_crash_reports_postpone(struct pd_crash_reports *reports, uint64_t fingerprint,
			       const struct pd_name *event, int64_t due_us);
/* Waits until a report or a deletion is due, and copies it to @report or @deletion. Returns true
 * for a report. Reports are due @confirm_us after their connection broke, or at once if they need
 * no confirmation.
 */
bool pd_crash_reports_wait(struct pd_crash_reports *reports, int64_t confirm_us,
			   struct pd_crash_report *report, struct pd_crash_deletion *deletion);

#endif
