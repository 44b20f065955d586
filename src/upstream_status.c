#include <ck_pr.h>

#include "upstream_private.h"

/*
 * A worker counts a request as in flight before it checks the ownership, and holds the mutex until
 * it has sent it or hasn't. Either it is seen here, or its check comes after the caller has put
 * @member in the member table.
 */
static bool occupied(struct pd_upstream *up)
{
	bool result;

	pthread_mutex_lock(&up->mutex);
	result = up->dispatching || up->running_count + up->abandoned_count > 0;
	pthread_mutex_unlock(&up->mutex);
	return result;
}

bool pd_upstreams_none_in_flight_for(struct pd_upstreams *upstreams, struct pd_str member)
{
	bool clear = true;

	pthread_mutex_lock(&upstreams->mutex);
	for (size_t i = 0; i < PD_UPSTREAM_HASH_BUCKETS && clear; i++) {
		for (struct pd_upstream *up = upstreams->table[i]; up && clear; up = up->next)
			clear = !occupied(up) ||
				!pd_members_outranks(upstreams->setup.members, member,
						     pd_name_str(&up->name));
	}
	pthread_mutex_unlock(&upstreams->mutex);
	return clear;
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

static void print_one(struct pd_upstream *up, struct pd_buf *out)
{
	pthread_mutex_lock(&up->mutex);
	pd_buf_printf(out,
		      "{\"name\":\"%s\",\"owner\":\"%s\",\"limit\":%u,\"cold\":%s,"
		      "\"in_flight\":%u,\"queued\":%u,\"leaving\":%s}",
		      up->name.text, ownership_name(up->ownership), up->limiter.limit,
		      up->limiter.cold ? "true" : "false", up->running_count + up->abandoned_count,
		      up->queue.count,
		      up->out || up->listed_leaving || up->health_leaving ? "true" : "false");
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
			print_one(up, out);
			separator = ",";
		}
	}
	pthread_mutex_unlock(&upstreams->mutex);
	pd_buf_append_str(out, PD_STR("]"));
}
