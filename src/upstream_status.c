#include <ck_pr.h>

#include "upstream_private.h"

/*
 * A worker counts a request as in flight before it checks the ownership, and holds the mutex until
 * the request is in the list of running jobs or refused. So either this function finds the request,
 * or the worker's check follows the update of the member table that the caller made.
 */
static bool has_in_flight(struct pd_upstream *up)
{
	bool result;

	pthread_mutex_lock(&up->mutex);
	result = up->dispatching || up->running_count + up->abandoned_count > 0;
	pthread_mutex_unlock(&up->mutex);
	return result;
}

bool pd_upstreams_none_in_flight_for(struct pd_upstreams *upstreams, struct pd_str member)
{
	bool none_in_flight = true;

	pthread_mutex_lock(&upstreams->mutex);
	for (size_t i = 0; i < PD_UPSTREAM_HASH_BUCKETS && none_in_flight; i++) {
		for (struct pd_upstream *up = upstreams->table[i]; up && none_in_flight;
		     up = up->next)
			none_in_flight = !has_in_flight(up) ||
					 !pd_members_outranks(upstreams->setup.members, member,
							      pd_name_str(&up->name));
	}
	pthread_mutex_unlock(&upstreams->mutex);
	return none_in_flight;
}

uint64_t pd_upstreams_pending_count(struct pd_upstreams *upstreams)
{
	return ck_pr_load_64(&upstreams->pending);
}

static const char *ownership_name(enum pd_ownership ownership)
{
	switch (ownership) {
	case PD_OWNER_NO:
		return "no";
	case PD_OWNER_PENDING:
		return "pending";
	case PD_OWNER_SHARED:
		return "shared";
	case PD_OWNER_FULL:
		return "full";
	}
	return "no";
}

static void print_upstream(struct pd_upstream *up, struct pd_buf *out)
{
	pthread_mutex_lock(&up->mutex);
	pd_buf_printf(out,
		      "{\"name\":\"%s\",\"owner\":\"%s\",\"limit\":%u,\"cold\":%s,"
		      "\"in_flight\":%u,\"queued\":%u,\"leaving\":%s}",
		      up->name.text, ownership_name(up->ownership), up->limiter.limit,
		      up->limiter.cold ? "true" : "false", up->running_count + up->abandoned_count,
		      up->queue.count,
		      up->out || up->listed_leaving || up->reports_draining ? "true" : "false");
	pthread_mutex_unlock(&up->mutex);
}

void pd_upstreams_status(struct pd_upstreams *upstreams, struct pd_buf *out)
{
	const char *separator = "";

	pd_buf_append_str(out, PD_STR("["));
	pthread_mutex_lock(&upstreams->mutex);
	for (size_t i = 0; i < PD_UPSTREAM_HASH_BUCKETS; i++) {
		for (struct pd_upstream *up = upstreams->table[i]; up; up = up->next) {
			pd_buf_append_str(out, pd_str_from(separator));
			print_upstream(up, out);
			separator = ",";
		}
	}
	pthread_mutex_unlock(&upstreams->mutex);
	pd_buf_append_str(out, PD_STR("]"));
}
