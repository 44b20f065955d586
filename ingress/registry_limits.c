/**
 * DOC: Rate limits of the registry's upstreams: those that they state, and that of the cold start
 */
#include <inttypes.h>

#include "counters.h"
#include "log.h"
#include "os.h"
#include "registry.h"
#include "registry_private.h"

/* Share of the request rate that a cold upstream tolerates which is used. The rest is a margin for
 * requests that are sent together, since the bound holds in each second.
 */
#define COLD_LIMIT_SHARE 0.6

/* Returns the share of this instance in a rate limit of the upstream. */
static struct pd_rate_share rate_share(const struct pd_registry *registry,
				       const struct pd_upstream *upstream, double limit_per_s)
{
	if (!registry->instance_count)
		return (struct pd_rate_share){
			.share = registry->share, .probe_share = registry->share, .first_probe = 1};
	return pd_rate_share_of(registry->instances, registry->instance_count, 0,
				pd_name_str(&upstream->id), limit_per_s,
				upstream->service->gathered);
}

static void set_rate_limit(const struct pd_registry *registry, const struct pd_upstream *upstream,
			   struct pd_rate_limit *limit, double limit_per_s, int64_t now_us)
{
	pd_rate_limit_set(limit, limit_per_s, rate_share(registry, upstream, limit_per_s), now_us);
}

/* Starts or ends the limit of the upstream's cold start. */
static void update_cold_limit(struct pd_registry *registry, struct pd_upstream *upstream,
			      int64_t now_us)
{
	double limit_per_s = upstream->service->cold_per_s * COLD_LIMIT_SHARE;

	if (now_us >= upstream->cold_until_us || limit_per_s <= 0)
		pd_rate_limit_end(&upstream->cold_limit);
	else if (!upstream->cold_limit.active || upstream->cold_limit.limit_per_s != limit_per_s)
		set_rate_limit(registry, upstream, &upstream->cold_limit, limit_per_s, now_us);
}

int64_t pd_registry_limit_wait_us_locked(struct pd_registry *registry, struct pd_upstream *upstream,
					 int64_t now_us)
{
	int64_t stated_us, cold_us;

	update_cold_limit(registry, upstream, now_us);
	stated_us = pd_rate_limit_wait_us(&upstream->rate_limit, now_us);
	cold_us = pd_rate_limit_wait_us(&upstream->cold_limit, now_us);
	return stated_us > cold_us ? stated_us : cold_us;
}

void pd_registry_count_limited_locked(struct pd_upstream *upstream, int64_t now_us)
{
	upstream->sent_count++;
	if (upstream->rate_limit.active)
		pd_count(PD_COUNT_limited_sent);
	pd_rate_limit_consume(&upstream->rate_limit, now_us);
	pd_rate_limit_consume(&upstream->cold_limit, now_us);
}

void pd_registry_update_rate_shares_locked(struct pd_registry *registry)
{
	int64_t now = pd_os_boot_us();
	struct pd_upstream *upstream, *next;

	HASH_ITER(hh, registry->upstreams, upstream, next)
	{
		struct pd_rate_limit *limits[] = {&upstream->rate_limit, &upstream->cold_limit};

		for (size_t i = 0; i < sizeof(limits) / sizeof(limits[0]); i++) {
			if (limits[i]->active)
				set_rate_limit(registry, upstream, limits[i],
					       limits[i]->limit_per_s, now);
		}
	}
}

static void log_limit_change(struct pd_upstream *upstream, double before, int64_t now_us)
{
	const struct pd_rate_limit *limit = &upstream->rate_limit;

	pd_log(PD_LOG_INFO, limit->active ? "upstream_limited" : "upstream_limit_ended",
	       "upstream=%s service=%s limit_per_s=%g before=%g share=%.4f sent=%" PRIu32
	       " since_ms=%" PRId64,
	       upstream->id.text, upstream->service->name.text,
	       limit->active ? limit->limit_per_s : 0, before,
	       limit->active ? limit->share.share : 0, upstream->sent_count,
	       (now_us - upstream->limit_changed_us) / PD_USEC_PER_MSEC);
	upstream->limit_changed_us = now_us;
	upstream->sent_count = 0;
}

void pd_registry_record_limit_locked(struct pd_registry *registry, struct pd_upstream *upstream,
				     const struct pd_report *report, int64_t now_us)
{
	struct pd_rate_limit *limit = &upstream->rate_limit;
	double before = limit->active ? limit->limit_per_s : 0;

	if (report->has_limit) {
		upstream->limit_stated_us = now_us;
		if (limit->active && before == report->limit_per_s)
			return;
		set_rate_limit(registry, upstream, limit, report->limit_per_s, now_us);
		log_limit_change(upstream, before, now_us);
	} else if (limit->active && report->kind == PD_REPORT_SUCCESS &&
		   now_us - report->latency_us >= upstream->limit_stated_us) {
		/* A response to an older request may have been sent before the limit was stated. */
		pd_rate_limit_end(limit);
		log_limit_change(upstream, before, now_us);
	}
}
