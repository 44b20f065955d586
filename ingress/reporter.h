/**
 * DOC: Telling the other instances of crashes, through the store
 *
 * A task of its own, so that no request waits for the store. What it wrote it deletes again once it
 * is forgotten everywhere.
 */
#ifndef PD_REPORTER_H
#define PD_REPORTER_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "directory.h"
#include "store_client.h"
#include "sync.h"

#define PD_REPORTER_REPORTS_MAX 64 /* crashes that are written and not deleted yet */

/**
 * struct pd_crash_report - one crash
 * @name: its object in the store
 * @delete_us: when it is deleted; 0 before it was written
 */
struct pd_crash_report {
	struct pd_name name;
	int64_t delete_us;
};

struct pd_reporter {
	struct pd_directory *directory;
	struct pd_sync *sync;
	struct pd_store store;
	pthread_t thread;
	pthread_mutex_t lock; /* guards the rest */
	pthread_cond_t changed;
	struct pd_crash_report reports[PD_REPORTER_REPORTS_MAX];
	size_t count;
};

void pd_reporter_init(struct pd_reporter *reporter, struct pd_directory *directory,
		      struct pd_sync *sync);
enum pd_code pd_reporter_start(struct pd_reporter *reporter, struct pd_error *err);
/* Notes a crash here, and has it told to the others. */
void pd_reporter_report_crash(struct pd_reporter *reporter, uint64_t fingerprint,
			      const struct pd_name *upstream);

#endif
