/**
 * DOC: Reporter: reports requests that crash upstreams to the other instances, through the store
 *
 * Runs in a thread of its own, so that no request waits for the store. A report is written after
 * 0.6 s in which the upstream has answered no other request, and deleted when the crash has expired
 * on all instances or an answer has cleared the request.
 */
#ifndef PD_REPORTER_H
#define PD_REPORTER_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "crash_reports.h"
#include "directory.h"
#include "store_client.h"
#include "sync.h"

/**
 * struct pd_reporter - reporter of crashes
 * @directory: directory of this instance, with its table of crashes and its reports
 * @sync: provides the current address of the store
 * @store: connection to the store
 * @thread: thread that writes and deletes reports
 */
struct pd_reporter {
	struct pd_directory *directory;
	struct pd_sync *sync;
	struct pd_store store;
	pthread_t thread;
};

void pd_reporter_init(struct pd_reporter *reporter, struct pd_directory *directory,
		      struct pd_sync *sync);
enum pd_code pd_reporter_start(struct pd_reporter *reporter, struct pd_error *err);
/**
 * pd_reporter_report_crash() - records that a connection broke while an upstream ran a request
 * @reporter: reporter
 * @fingerprint: fingerprint of the request
 * @upstream: upstream
 * @connected_us: time at which the connection was opened, in microseconds of pd_os_boot_us()
 * @stale: it was a reused connection, which upstreams may close at any time
 *
 * Adds a crash to the directory and queues a report for the other instances. A broken connection
 * alone proves no crash: if the upstream answers another request within 0.6 s, or accepts a
 * connection then, the crash is withdrawn and never reported. One of a request on trial is reported
 * at once, unless the connection was stale. Does nothing if the service has answered the request a
 * moment ago, or if the crash is known.
 */
void pd_reporter_report_crash(struct pd_reporter *reporter, uint64_t fingerprint,
			      const struct pd_upstream *upstream, int64_t connected_us, bool stale);

#endif
