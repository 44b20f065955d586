#include "reporter.h"

#include <stdio.h>
#include <string.h>

#include "log.h"
#include "objects.h"
#include "os.h"

#define RETRY_US (1000 * PD_USEC_PER_MSEC) /* after a failed call */
#define IDLE_US	 (10 * PD_USEC_PER_SEC) /* how often deletions are looked for */

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
	char text[PD_NAME_MAX_BYTES + 12];

	/* An upstream may crash again under the same id: each crash has a name of its own. */
	snprintf(text, sizeof(text), "%s.%08x", upstream->text, (uint32_t)pd_os_random_seed());
	if (!pd_name_set(&event, pd_str_from(text)) ||
	    !pd_directory_add_crash(reporter->directory, fingerprint, &event) ||
	    !pd_object_format_crash_name(fingerprint, &event, &name))
		return;
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

/* The next entry to be written, or to be deleted by now; false when there is none. */
static bool next_entry(struct pd_reporter *reporter, struct pd_crash_report *entry)
{
	int64_t now = pd_os_boot_us();

	for (size_t i = 0; i < reporter->count; i++) {
		if (!reporter->reports[i].delete_us || now >= reporter->reports[i].delete_us) {
			*entry = reporter->reports[i];
			return true;
		}
	}
	return false;
}

static void set_written(struct pd_reporter *reporter, const struct pd_name *name)
{
	for (size_t i = 0; i < reporter->count; i++) {
		if (pd_name_equal(&reporter->reports[i].name, name))
			reporter->reports[i].delete_us = pd_os_boot_us() + PD_CRASH_EXPIRY_US;
	}
}

static void drop(struct pd_reporter *reporter, const struct pd_name *name)
{
	for (size_t i = 0; i < reporter->count; i++) {
		if (!pd_name_equal(&reporter->reports[i].name, name))
			continue;
		reporter->reports[i] = reporter->reports[--reporter->count];
		return;
	}
}

static enum pd_code tell(struct pd_reporter *reporter, const struct pd_crash_report *entry,
			 struct pd_error *err)
{
	struct sockaddr_in address;
	enum pd_code code;

	pd_sync_get_address(reporter->sync, &address);
	pd_store_set_address(&reporter->store, &address);
	if (entry->delete_us)
		return pd_store_delete(&reporter->store, PD_OBJECT_CRASHES,
				       pd_name_str(&entry->name), err);
	code = pd_store_create(&reporter->store, PD_OBJECT_CRASHES, pd_name_str(&entry->name),
			       json_object(), err);
	return code == PD_CONFLICT ? PD_OK : code;
}

static void *run(void *arg)
{
	struct pd_reporter *reporter = arg;

	pthread_mutex_lock(&reporter->lock);
	for (;;) {
		struct pd_crash_report entry;
		struct pd_error err;
		enum pd_code code;

		if (!next_entry(reporter, &entry)) {
			pd_os_cond_wait_until(&reporter->changed, &reporter->lock,
					      pd_os_now_us() + IDLE_US);
			continue;
		}
		pthread_mutex_unlock(&reporter->lock);
		code = tell(reporter, &entry, &err);
		if (code != PD_OK) {
			pd_log_failure(PD_LOG_WARNING, "crash_not_told", &err);
			pd_os_sleep_us(RETRY_US);
		}
		pthread_mutex_lock(&reporter->lock);
		if (code == PD_OK && entry.delete_us)
			drop(reporter, &entry.name);
		else if (code == PD_OK)
			set_written(reporter, &entry.name);
	}
	return NULL;
}

enum pd_code pd_reporter_start(struct pd_reporter *reporter, struct pd_error *err)
{
	return pd_os_thread_start(&reporter->thread, "reporter", run, reporter, err);
}
