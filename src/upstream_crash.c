#include <stdlib.h>

#include "counters.h"
#include "log.h"
#include "upstream_private.h"

/*
 * Marks all jobs in @list as recorded. Writes the fingerprints of those that weren't marked before
 * to @out from index @count, unless @out is NULL. Returns @count plus their number.
 */
static uint32_t mark_recorded(struct pd_upstream_job *list, uint64_t *out, uint32_t count)
{
	for (struct pd_upstream_job *job = list; job; job = job->next) {
		if (job->crash_recorded)
			continue;
		job->crash_recorded = true;
		if (out)
			out[count] = job->request.fingerprint;
		count++;
	}
	return count;
}

/* Records a crash of the upstream for each fingerprint and announces it to the peers. */
static void record_suspects(struct pd_upstream *up, const uint64_t *fingerprints, uint32_t count)
{
	const struct pd_upstreams_setup *setup = &up->set->setup;
	int64_t now_us = pd_os_now_us();

	for (uint32_t i = 0; i < count; i++) {
		struct pd_msg_suspect msg;

		pd_suspects_record_crash(setup->suspects, fingerprints[i], &up->name, count == 1,
					 now_us);
		if (setup->announce &&
		    pd_suspects_fill_msg(setup->suspects, fingerprints[i], &msg, now_us))
			setup->announce(setup->arg, &msg);
	}
}

/* Drops the connections of all workers but @detected_by, which interrupts their requests. */
static void drop_connections(struct pd_upstream *up, const struct pd_upstream_worker *detected_by)
{
	for (uint32_t i = 0; i < up->worker_count; i++) {
		struct pd_upstream_worker *worker = up->workers[i];

		if (worker == detected_by)
			continue;
		worker->drop_connection = true;
		if (worker->job)
			pd_http_client_cancel(worker->client);
	}
}

void pd_upstream_handle_crash(struct pd_upstream *up, const struct pd_upstream_worker *detected_by)
{
	uint32_t max_count = up->running_count + up->abandoned_count;
	uint64_t *fingerprints = calloc(max_count > 0 ? max_count : 1, sizeof(*fingerprints));
	uint32_t count = mark_recorded(up->running, fingerprints, 0);

	count = mark_recorded(up->abandoned, fingerprints, count);
	pd_limiter_connection_failed(&up->limiter, pd_os_now_us());
	drop_connections(up, detected_by);
	pd_count(PD_COUNT_upstream_collapses);
	pd_log(PD_LOG_WARNING, "upstream_broken", "upstream=%s in_flight=%u", up->name.text, count);
	if (!fingerprints)
		return;
	up->announcing = true;
	pthread_mutex_unlock(&up->mutex);
	record_suspects(up, fingerprints, count);
	free(fingerprints);
	pthread_mutex_lock(&up->mutex);
	up->announcing = false;
	pthread_cond_broadcast(&up->work_cond);
}

void pd_upstream_clear_suspect(struct pd_upstream *up, const struct pd_upstream_job *job)
{
	const struct pd_upstreams_setup *setup = &up->set->setup;
	struct pd_config *config = pd_config_holder_read(setup->config);
	uint32_t index = pd_config_find_upstream(config, pd_name_str(&up->name));
	struct pd_msg_suspect msg;

	if (index != PD_CONFIG_NONE &&
	    pd_suspects_record_success(setup->suspects, job->request.fingerprint, config, index,
				       &msg, pd_os_now_us()) &&
	    setup->announce)
		setup->announce(setup->arg, &msg);
	pd_config_put(config);
}
