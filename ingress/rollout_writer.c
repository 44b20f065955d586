#include "rollout_writer.h"

#include <inttypes.h>
#include <string.h>

#include "log.h"
#include "os.h"

void pd_rollout_writer_init(struct pd_rollout_writer *writer, struct pd_sync *sync)
{
	memset(writer, 0, sizeof(*writer));
	writer->sync = sync;
	pthread_mutex_init(&writer->lock, NULL);
	pthread_cond_init(&writer->queued, NULL);
}

void pd_rollout_writer_finish(struct pd_rollout_writer *writer)
{
	pthread_cond_destroy(&writer->queued);
	pthread_mutex_destroy(&writer->lock);
}

static bool has_object(const struct pd_rollout_order *order, struct pd_str name)
{
	return pd_str_equal((struct pd_str){order->object, order->object_len}, name);
}

/* Looks for the order on one page of a list. */
static void read_page(const struct pd_object_page *page, struct pd_rollout_job *job)
{
	struct pd_rollout_order order;
	struct pd_object object;
	struct pd_error err;

	for (size_t i = 0; i < pd_object_page_count(page); i++) {
		if (!pd_object_page_get(page, i, &object) || !has_object(&job->order, object.name))
			continue;
		/* An order for another version is another one. */
		if (pd_object_read_rollout(&object, 0, &order, &err) != PD_OK ||
		    !pd_rollout_same_order(&order, &job->order))
			return;
		job->found = true;
		job->state = order.state;
		job->revision = order.revision;
	}
}

static enum pd_code read_order(struct pd_store *store, struct pd_rollout_job *job,
			       struct pd_error *err)
{
	struct pd_buf after = {0};
	bool more = true;
	enum pd_code code = PD_OK;

	while (more && code == PD_OK) {
		struct pd_object_page page;

		code = pd_store_list(store, PD_OBJECT_ROLLOUTS, pd_buf_str(&after), false, &page,
				     err);
		if (code != PD_OK)
			break;
		read_page(&page, job);
		more = page.has_more && !job->found && pd_object_page_last_name(&page, &after);
		pd_object_page_finish(&page);
	}
	pd_buf_finish(&after);
	return code;
}

static void make_call(struct pd_rollout_writer *writer, struct pd_rollout_job *job)
{
	struct sockaddr_in address;
	struct pd_store store;
	struct pd_error err;

	pd_sync_get_address(writer->sync, &address);
	/* A connection that was idle may be closed, which would leave the outcome of a write open.
	 */
	pd_store_init(&store, &address);
	if (job->call == PD_ROLLOUT_CALL_WRITE)
		job->code = pd_store_write_status(&store, &job->order, job->state, &err);
	else
		job->code = read_order(&store, job, &err);
	pd_store_finish(&store);
	pd_log(PD_LOG_INFO, job->call == PD_ROLLOUT_CALL_WRITE ? "rollout_write" : "rollout_read",
	       "service=%s version=%s state=%s revision=%" PRIu64 " code=%s",
	       job->order.service.text, job->order.target.text, pd_rollout_state_name(job->state),
	       job->call == PD_ROLLOUT_CALL_WRITE ? job->order.revision : job->revision,
	       pd_strerror(job->code));
	if (job->code != PD_OK)
		pd_log_failure(PD_LOG_INFO, "rollout_call_failed", &err);
}

static struct pd_rollout_job *find_queued(struct pd_rollout_writer *writer)
{
	for (size_t i = 0; i < PD_ROLLOUTS_MAX; i++) {
		if (writer->jobs[i].stage == PD_ROLLOUT_JOB_QUEUED)
			return &writer->jobs[i];
	}
	return NULL;
}

static void *run(void *arg)
{
	struct pd_rollout_writer *writer = arg;

	pthread_mutex_lock(&writer->lock);
	for (;;) {
		struct pd_rollout_job *job = find_queued(writer);
		struct pd_rollout_job copy;

		if (!job) {
			pthread_cond_wait(&writer->queued, &writer->lock);
			continue;
		}
		job->stage = PD_ROLLOUT_JOB_CALLING;
		copy = *job;
		pthread_mutex_unlock(&writer->lock);
		make_call(writer, &copy);
		copy.stage = PD_ROLLOUT_JOB_DONE;
		pthread_mutex_lock(&writer->lock);
		*job = copy;
	}
	return NULL;
}

/* Starts the threads with the first job: most instances never write an outcome. */
static bool start_threads(struct pd_rollout_writer *writer)
{
	struct pd_error err;

	for (; writer->thread_count < PD_ROLLOUT_WRITER_THREADS; writer->thread_count++) {
		if (pd_os_thread_start(&writer->threads[writer->thread_count], "rollout", run,
				       writer, &err) != PD_OK) {
			pd_log_failure(PD_LOG_ERROR, "rollout_not_written", &err);
			break;
		}
	}
	return writer->thread_count > 0;
}

bool pd_rollout_writer_queue(struct pd_rollout_writer *writer, enum pd_rollout_call call,
			     const struct pd_rollout_order *order, enum pd_rollout_state state)
{
	struct pd_rollout_job *job = NULL;

	if (!start_threads(writer))
		return false;
	pthread_mutex_lock(&writer->lock);
	for (size_t i = 0; i < PD_ROLLOUTS_MAX; i++) {
		struct pd_rollout_job *at = &writer->jobs[i];

		if (at->stage == PD_ROLLOUT_JOB_DONE && pd_rollout_same_order(&at->order, order))
			at->stage = PD_ROLLOUT_JOB_FREE;
		if (!job && at->stage == PD_ROLLOUT_JOB_FREE)
			job = at;
	}
	if (job) {
		*job = (struct pd_rollout_job){.stage = PD_ROLLOUT_JOB_QUEUED,
					       .call = call,
					       .order = *order,
					       .state = state};
		pthread_cond_signal(&writer->queued);
	}
	pthread_mutex_unlock(&writer->lock);
	return job != NULL;
}

bool pd_rollout_writer_take(struct pd_rollout_writer *writer, const struct pd_rollout_order *order,
			    struct pd_rollout_job *job)
{
	bool taken = false;

	pthread_mutex_lock(&writer->lock);
	for (size_t i = 0; i < PD_ROLLOUTS_MAX && !taken; i++) {
		taken = writer->jobs[i].stage == PD_ROLLOUT_JOB_DONE &&
			pd_rollout_same_order(&writer->jobs[i].order, order);
		if (!taken)
			continue;
		*job = writer->jobs[i];
		writer->jobs[i].stage = PD_ROLLOUT_JOB_FREE;
	}
	pthread_mutex_unlock(&writer->lock);
	return taken;
}
