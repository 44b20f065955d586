/**
 * DOC: Reporter: reports requests that crash upstreams to the other instances, through the store
 *
 * Runs in a thread of its own, so that no request waits for the store. A report is written after a
 * second in which the upstream has answered no other request. It deletes each report from
 * the store when the crash has expired on all instances.
 */
#ifndef PD_REPORTER_H
#define PD_REPORTER_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "directory.h"
#include "store_client.h"
#include "sync.h"

#define PD_REPORTER_REPORTS_MAX 64 /* reports that are still to be written or deleted */

/**
 * struct pd_crash_report - report of one crash
 * @name: name of the report's object in the store
 * @fingerprint: fingerprint of the request
 * @event: name of the crash
 * @upstream: id of the upstream
 * @address: address of the upstream
 * @started_unix_ms: Unix time of the upstream's start, in milliseconds
 * @broken_us: time at which the connection broke, in microseconds of pd_os_boot_us()
 * @confirmed: the upstream has neither answered nor accepted a connection since
 * @delete_at_us: time at which the object is to be deleted, in microseconds of pd_os_boot_us(); 0
 *	until it was written
 */
struct pd_crash_report {
	struct pd_name name;
	uint64_t fingerprint;
	struct pd_name event;
	struct pd_name upstream;
	struct pd_address address;
	int64_t started_unix_ms;
	int64_t broken_us;
	bool confirmed;
	int64_t delete_at_us;
};

/**
 * struct pd_reporter - reporter of crashes
 * @directory: directory of this instance, to which its crashes are also added
 * @sync: provides the current address of the store
 * @store: connection to the store
 * @thread: thread that writes and deletes reports
 * @lock: guards all fields below
 * @changed: signalled when a report was added
 * @reports: reports that are still to be written or deleted
 * @count: number of entries in @reports
 */
struct pd_reporter {
	struct pd_directory *directory;
	struct pd_sync *sync;
	struct pd_store store;
	pthread_t thread;
	pthread_mutex_t lock;
	pthread_cond_t changed;
	struct pd_crash_report reports[PD_REPORTER_REPORTS_MAX];
	size_t count;
};

void pd_reporter_init(struct pd_reporter *reporter, struct pd_directory *directory,
		      struct pd_sync *sync);
enum pd_code pd_reporter_start(struct pd_reporter *reporter, struct pd_error *err);
/* Adds a crash of @upstream, whose connection broke while it executed the request with that
 * fingerprint, to the directory, and queues a report for the other instances. A broken connection
 * alone proves no crash: if the upstream answers another request within 0.6 s, or accepts a
 * connection then, the crash is withdrawn and never reported.
 */
void pd_reporter_report_crash(struct pd_reporter *reporter, uint64_t fingerprint,
			      const struct pd_upstream *upstream);

#endif
