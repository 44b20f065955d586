#include "crash_reports.h"

#include <string.h>

#define WAIT_MAX_US (10 * PD_USEC_PER_SEC)
/* Time in which the first of the instances that know of an answer deletes the object, and most of
 * the others learn of it: each call to the store is billed.
 */
#define CLEARED_DELAY_MAX_US (3 * PD_USEC_PER_SEC)
/* Delay after a deletion that has failed, and up to as much more: several instances may try it. */
#define RETRY_DELAY_US (5 * PD_USEC_PER_SEC)
/* Time that the writer of an object has for its deletion, and over which the others spread it. */
#define ORPHAN_DELAY_US (10 * PD_USEC_PER_SEC)

void pd_crash_reports_init(struct pd_crash_reports *reports)
{
	memset(reports, 0, sizeof(*reports));
	pthread_mutex_init(&reports->lock, NULL);
	pd_os_cond_init(&reports->changed);
}

void pd_crash_reports_finish(struct pd_crash_reports *reports)
{
	pthread_cond_destroy(&reports->changed);
	pthread_mutex_destroy(&reports->lock);
}

bool pd_crash_reports_add(struct pd_crash_reports *reports, const struct pd_crash_report *report)
{
	bool added;

	pthread_mutex_lock(&reports->lock);
	added = reports->report_count < PD_CRASH_REPORTS_MAX;
	if (added)
		reports->reports[reports->report_count++] = *report;
	pthread_cond_signal(&reports->changed);
	pthread_mutex_unlock(&reports->lock);
	return added;
}

static struct pd_crash_report *find_report(struct pd_crash_reports *reports,
					   const struct pd_crash_report *report)
{
	for (size_t i = 0; i < reports->report_count; i++) {
		struct pd_crash_report *found = &reports->reports[i];

		if (found->fingerprint == report->fingerprint &&
		    pd_name_equal(&found->event.name, &report->event.name))
			return found;
	}
	return NULL;
}

void pd_crash_reports_confirm(struct pd_crash_reports *reports,
			      const struct pd_crash_report *report)
{
	struct pd_crash_report *found;

	pthread_mutex_lock(&reports->lock);
	found = find_report(reports, report);
	if (found)
		found->confirmed = true;
	pthread_mutex_unlock(&reports->lock);
}

void pd_crash_reports_remove(struct pd_crash_reports *reports, const struct pd_crash_report *report)
{
	struct pd_crash_report *found;

	pthread_mutex_lock(&reports->lock);
	found = find_report(reports, report);
	if (found)
		*found = reports->reports[--reports->report_count];
	pthread_mutex_unlock(&reports->lock);
}

static struct pd_crash_deletion *find_deletion(struct pd_crash_reports *reports,
					       uint64_t fingerprint, const struct pd_name *event)
{
	for (size_t i = 0; i < reports->deletion_count; i++) {
		struct pd_crash_deletion *found = &reports->deletions[i];

		if (found->fingerprint == fingerprint && pd_name_equal(&found->event, event))
			return found;
	}
	return NULL;
}

/* Returns the delay of a deletion, in microseconds. */
static int64_t deletion_delay_us(enum pd_crash_deletion_reason reason, bool own)
{
	switch (reason) {
	case PD_CRASH_DELETION_WRITTEN:
		return PD_CRASH_EXPIRY_US;
	case PD_CRASH_DELETION_CLEARED:
		return own ? 0 : (int64_t)(pd_os_random_seed() % CLEARED_DELAY_MAX_US);
	case PD_CRASH_DELETION_ORPHAN:
		return PD_CRASH_EXPIRY_US + PD_CRASH_SPREAD_US + ORPHAN_DELAY_US +
		       (int64_t)(pd_os_random_seed() % ORPHAN_DELAY_US);
	}
	return 0;
}

void pd_crash_reports_schedule(struct pd_crash_reports *reports, uint64_t fingerprint,
			       const struct pd_name *event, enum pd_crash_deletion_reason reason)
{
	struct pd_crash_deletion *found;
	int64_t due_us;

	pthread_mutex_lock(&reports->lock);
	found = find_deletion(reports, fingerprint, event);
	if (!found && reports->deletion_count < PD_CRASH_DELETIONS_MAX) {
		found = &reports->deletions[reports->deletion_count++];
		*found = (struct pd_crash_deletion){.fingerprint = fingerprint,
						    .event = *event,
						    .due_us = INT64_MAX,
						    .orphan = true};
	}
	if (found) {
		if (reason == PD_CRASH_DELETION_WRITTEN) {
			found->own = true;
			found->written_us = pd_os_boot_us();
		}
		found->cleared = found->cleared || reason == PD_CRASH_DELETION_CLEARED;
		found->orphan = found->orphan && reason == PD_CRASH_DELETION_ORPHAN;
		due_us = pd_os_boot_us() + deletion_delay_us(reason, found->own);
		if (due_us < found->due_us)
			found->due_us = due_us;
		pthread_cond_signal(&reports->changed);
	}
	pthread_mutex_unlock(&reports->lock);
}

void pd_crash_reports_hasten(struct pd_crash_reports *reports, uint64_t fingerprint,
			     const struct pd_name *event)
{
	struct pd_crash_deletion *found;

	pthread_mutex_lock(&reports->lock);
	found = find_deletion(reports, fingerprint, event);
	if (found && found->own) {
		found->cleared = true;
		found->due_us = pd_os_boot_us();
		pthread_cond_signal(&reports->changed);
	}
	pthread_mutex_unlock(&reports->lock);
}

void pd_crash_reports_cancel(struct pd_crash_reports *reports, uint64_t fingerprint,
			     const struct pd_name *event)
{
	struct pd_crash_deletion *found;

	pthread_mutex_lock(&reports->lock);
	found = find_deletion(reports, fingerprint, event);
	if (found)
		*found = reports->deletions[--reports->deletion_count];
	pthread_mutex_unlock(&reports->lock);
}

void pd_crash_reports_retry(struct pd_crash_reports *reports, uint64_t fingerprint,
			    const struct pd_name *event)
{
	struct pd_crash_deletion *found;

	pthread_mutex_lock(&reports->lock);
	found = find_deletion(reports, fingerprint, event);
	if (found)
		found->due_us = pd_os_boot_us() + RETRY_DELAY_US +
				(int64_t)(pd_os_random_seed() % RETRY_DELAY_US);
	pthread_mutex_unlock(&reports->lock);
}

void pd_crash_reports_postpone(struct pd_crash_reports *reports, uint64_t fingerprint,
			       const struct pd_name *event, int64_t due_us)
{
	struct pd_crash_deletion *found;

	pthread_mutex_lock(&reports->lock);
	found = find_deletion(reports, fingerprint, event);
	if (found && !found->cleared)
		found->due_us = due_us;
	pthread_mutex_unlock(&reports->lock);
}

/* Returns the time at which a report has to be handled. */
static int64_t report_due_us(const struct pd_crash_report *report, int64_t confirm_us)
{
	if (report->confirmed || report->on_trial)
		return report->event.broken_us;
	return report->event.broken_us + confirm_us;
}

/* Returns the report that is due next; NULL if there is none. */
static const struct pd_crash_report *next_report(const struct pd_crash_reports *reports,
						 int64_t confirm_us)
{
	const struct pd_crash_report *next = NULL;

	for (size_t i = 0; i < reports->report_count; i++) {
		const struct pd_crash_report *report = &reports->reports[i];

		if (!next || report_due_us(report, confirm_us) < report_due_us(next, confirm_us))
			next = report;
	}
	return next;
}

static const struct pd_crash_deletion *next_deletion(const struct pd_crash_reports *reports)
{
	const struct pd_crash_deletion *next = NULL;

	for (size_t i = 0; i < reports->deletion_count; i++) {
		const struct pd_crash_deletion *deletion = &reports->deletions[i];

		if (!next || deletion->due_us < next->due_us)
			next = deletion;
	}
	return next;
}

bool pd_crash_reports_wait(struct pd_crash_reports *reports, int64_t confirm_us,
			   struct pd_crash_report *report, struct pd_crash_deletion *deletion)
{
	const struct pd_crash_deletion *next_to_delete;
	const struct pd_crash_report *next;

	pthread_mutex_lock(&reports->lock);
	for (;;) {
		int64_t now = pd_os_boot_us(), wait_us = WAIT_MAX_US;

		next = next_report(reports, confirm_us);
		next_to_delete = next_deletion(reports);
		if (next && report_due_us(next, confirm_us) - now < wait_us)
			wait_us = report_due_us(next, confirm_us) - now;
		if (wait_us <= 0) {
			*report = *next;
			break;
		}
		next = NULL;
		if (next_to_delete && next_to_delete->due_us - now < wait_us)
			wait_us = next_to_delete->due_us - now;
		if (wait_us <= 0) {
			*deletion = *next_to_delete;
			break;
		}
		pd_os_cond_wait_until(&reports->changed, &reports->lock, pd_os_now_us() + wait_us);
	}
	pthread_mutex_unlock(&reports->lock);
	return next != NULL;
}
