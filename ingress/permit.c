#include "permit.h"

#include <inttypes.h>
#include <math.h>

#include "counters.h"
#include "log.h"
#include "os.h"
#include "registry.h"
#include "registry_private.h"

/* Share of the request rate that a cold upstream tolerates which is used. The rest is a margin for
 * requests that are sent together, since the bound holds in each second.
 */
#define COLD_LIMIT_SHARE 0.6
/* Time in which the weight of a sent request halves in pd_terms.sent_lately. */
#define SENT_HALF_LIFE_US (0.5 * PD_USEC_PER_SEC)
/* An instance prolongs a pause by a random time of up to this share of it and up to this maximum,
 * so that the instances don't all return in the same moment.
 */
#define PAUSE_SPREAD_SHARE  0.25
#define PAUSE_SPREAD_MAX_US (1.0 * PD_USEC_PER_SEC)

/* A limit that wasn't stated for this long may have ended. An instance without a share of it would
 * notice that by its next probe only. */
#define LIMIT_PASS_ON_US (30 * PD_USEC_PER_SEC)

const char *pd_block_name(enum pd_block block)
{
	switch (block) {
	case PD_BLOCK_NONE:
		return "none";
	case PD_BLOCK_NO_UPSTREAM:
		return "no_upstream";
	case PD_BLOCK_REMOVED:
		return "removed";
	case PD_BLOCK_REPLACED:
		return "replaced";
	case PD_BLOCK_DRAINING:
		return "draining";
	case PD_BLOCK_LEAVING:
		return "leaving";
	case PD_BLOCK_VERSION:
		return "version";
	case PD_BLOCK_EVACUATED:
		return "evacuated";
	case PD_BLOCK_UNREACHABLE:
		return "unreachable";
	case PD_BLOCK_PAUSED:
		return "paused";
	case PD_BLOCK_RATE_LIMITED:
		return "rate_limited";
	case PD_BLOCK_COLD_LIMITED:
		return "cold_limited";
	}
	return "unlisted";
}

/* Returns the reason of the upstream's own for which it gets no requests any more. */
static enum pd_block final_block(const struct pd_upstream *upstream)
{
	if (upstream->removed)
		return PD_BLOCK_REMOVED;
	if (upstream->replaced)
		return PD_BLOCK_REPLACED;
	if (upstream->terms.leaving)
		return PD_BLOCK_LEAVING;
	return upstream->draining ? PD_BLOCK_DRAINING : PD_BLOCK_NONE;
}

static enum pd_block zone_block(const struct pd_upstream *upstream)
{
	/* Evacuation and unreachability of a zone apply to upstreams, not to instances. */
	if (upstream->service->internal)
		return PD_BLOCK_NONE;
	if (upstream->zone->evacuated)
		return PD_BLOCK_EVACUATED;
	return upstream->zone->unreachable ? PD_BLOCK_UNREACHABLE : PD_BLOCK_NONE;
}

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

static double sent_lately(const struct pd_terms *terms, int64_t now_us)
{
	double age_us = (double)(now_us - terms->sent_us);

	return age_us <= 0 ? terms->sent_lately
			   : terms->sent_lately * exp2(-age_us / SENT_HALF_LIFE_US);
}

static void set_rate_limit(const struct pd_registry *registry, const struct pd_upstream *upstream,
			   struct pd_rate_limit *limit, double limit_per_s, int64_t now_us)
{
	pd_rate_limit_set(limit, limit_per_s, rate_share(registry, upstream, limit_per_s),
			  sent_lately(&upstream->terms, now_us), now_us);
}

/* Starts or ends the limit of the upstream's cold start. */
static void update_cold_limit(struct pd_registry *registry, struct pd_upstream *upstream,
			      int64_t now_us)
{
	struct pd_rate_limit *limit = &upstream->terms.cold_limit;
	double limit_per_s = upstream->service->cold_per_s * COLD_LIMIT_SHARE;

	if (now_us >= upstream->cold_until_us || limit_per_s <= 0)
		pd_rate_limit_end(limit);
	else if (!limit->active || limit->limit_per_s != limit_per_s)
		set_rate_limit(registry, upstream, limit, limit_per_s, now_us);
}

/* Replaces the reason of a permit by one that ends later. */
static void apply_wait(struct pd_permit *permit, enum pd_block block, int64_t wait_us)
{
	if (wait_us <= permit->wait_us)
		return;
	permit->block = block;
	permit->wait_us = wait_us;
}

struct pd_permit pd_permit_check_locked(struct pd_registry *registry, struct pd_upstream *upstream,
					int64_t now_us)
{
	struct pd_permit permit = {.block = final_block(upstream),
				   .ejected = now_us < upstream->ejected_until_us,
				   .cold = now_us < upstream->cold_until_us,
				   .unanswered = !upstream->terms.answered &&
						 !upstream->service->internal &&
						 upstream->in_flight > 0,
				   .use = pd_version_use_locked(upstream, now_us)};

	if (permit.block == PD_BLOCK_NONE && permit.use == PD_VERSION_BARRED)
		permit.block = PD_BLOCK_VERSION;
	if (permit.block == PD_BLOCK_NONE)
		permit.block = zone_block(upstream);
	if (permit.block != PD_BLOCK_NONE) {
		permit.wait_us = PD_PERMIT_NEVER;
		return permit;
	}
	update_cold_limit(registry, upstream, now_us);
	apply_wait(&permit, PD_BLOCK_PAUSED, upstream->terms.paused_until_us - now_us);
	apply_wait(&permit, PD_BLOCK_RATE_LIMITED,
		   pd_rate_limit_wait_us(&upstream->terms.rate_limit, now_us));
	apply_wait(&permit, PD_BLOCK_COLD_LIMITED,
		   pd_rate_limit_wait_us(&upstream->terms.cold_limit, now_us));
	return permit;
}

bool pd_permit_is_final_locked(const struct pd_upstream *upstream)
{
	return final_block(upstream) != PD_BLOCK_NONE;
}

bool pd_permit_allows_probe_locked(const struct pd_upstream *upstream, int64_t now_us)
{
	return final_block(upstream) == PD_BLOCK_NONE &&
	       pd_version_use_locked(upstream, now_us) != PD_VERSION_BARRED &&
	       now_us >= upstream->terms.paused_until_us;
}

struct pd_permit pd_permit_better(struct pd_permit a, struct pd_permit b)
{
	if (a.wait_us != b.wait_us)
		return a.wait_us < b.wait_us ? a : b;
	if (a.block != b.block)
		return a.block > b.block ? a : b;
	return a.ejected && !b.ejected ? b : a;
}

void pd_permit_consume_locked(struct pd_upstream *upstream, int64_t now_us)
{
	struct pd_terms *terms = &upstream->terms;

	terms->sent_count++;
	terms->sent_lately = sent_lately(terms, now_us) + 1;
	terms->sent_us = now_us;
	if (terms->rate_limit.active)
		pd_count(PD_COUNT_limited_sent);
	pd_rate_limit_consume(&terms->rate_limit, now_us);
	pd_rate_limit_consume(&terms->cold_limit, now_us);
}

static void record_pause(struct pd_registry *registry, struct pd_upstream *upstream, double pause_s,
			 int64_t now_us)
{
	double pause_us = pause_s * PD_USEC_PER_SEC;
	double spread_us = pause_us * PAUSE_SPREAD_SHARE;
	double random = (double)(pd_registry_random_locked(registry) >> 11) * 0x1p-53;
	int64_t until_us;

	if (spread_us > PAUSE_SPREAD_MAX_US)
		spread_us = PAUSE_SPREAD_MAX_US;
	until_us = now_us + (int64_t)(pause_us + random * spread_us);
	/* A shorter pause doesn't end a longer one that was stated before. */
	if (until_us <= upstream->terms.paused_until_us)
		return;
	if (now_us >= upstream->terms.paused_until_us)
		pd_log(PD_LOG_INFO, "upstream_paused",
		       "upstream=%s service=%s stated_ms=%" PRId64 " until_in_ms=%" PRId64,
		       upstream->id.text, upstream->service->name.text,
		       (int64_t)pause_us / PD_USEC_PER_MSEC,
		       (until_us - now_us) / PD_USEC_PER_MSEC);
	upstream->terms.paused_until_us = until_us;
}

void pd_permit_record_locked(struct pd_registry *registry, struct pd_upstream *upstream,
			     const struct pd_directives *directives, int64_t now_us)
{
	upstream->terms.answered = true;
	if (directives->leaving && !upstream->terms.leaving) {
		upstream->terms.leaving = true;
		pd_log(PD_LOG_INFO, "upstream_leaving",
		       "upstream=%s service=%s address=%s draining=%d", upstream->id.text,
		       upstream->service->name.text, upstream->address_text, upstream->draining);
	}
	if (directives->has_pause && directives->pause_s > 0)
		record_pause(registry, upstream, directives->pause_s, now_us);
}

static void log_limit_change(struct pd_upstream *upstream, double before, int64_t now_us)
{
	const struct pd_rate_limit *limit = &upstream->terms.rate_limit;

	pd_log(PD_LOG_INFO, limit->active ? "upstream_limited" : "upstream_limit_ended",
	       "upstream=%s service=%s limit_per_s=%g before=%g share=%.4f sent=%" PRIu32
	       " since_ms=%" PRId64,
	       upstream->id.text, upstream->service->name.text,
	       limit->active ? limit->limit_per_s : 0, before,
	       limit->active ? limit->share.share : 0, upstream->terms.sent_count,
	       (now_us - upstream->terms.limit_changed_us) / PD_USEC_PER_MSEC);
	upstream->terms.limit_changed_us = now_us;
	upstream->terms.sent_count = 0;
}

void pd_permit_record_limit_locked(struct pd_registry *registry, struct pd_upstream *upstream,
				   const struct pd_directives *directives, int64_t sent_us,
				   int64_t now_us)
{
	struct pd_rate_limit *limit = &upstream->terms.rate_limit;
	double before = limit->active ? limit->limit_per_s : 0;

	if (directives->has_limit) {
		upstream->terms.limit_stated_us = now_us;
		if (limit->active && before == directives->limit_per_s)
			return;
		set_rate_limit(registry, upstream, limit, directives->limit_per_s, now_us);
		log_limit_change(upstream, before, now_us);
	} else if (limit->active && sent_us && sent_us >= upstream->terms.limit_stated_us) {
		/* A response to an older request may have been sent before the limit was stated. */
		pd_rate_limit_end(limit);
		log_limit_change(upstream, before, now_us);
	}
}

bool pd_permit_passes_limit_on_locked(const struct pd_upstream *upstream, int64_t now_us)
{
	/* One that was taken over itself may have ended. */
	return upstream->terms.answered && upstream->terms.rate_limit.active &&
	       now_us - upstream->terms.limit_stated_us < LIMIT_PASS_ON_US;
}

void pd_permit_inherit_limit_locked(struct pd_registry *registry, struct pd_upstream *upstream,
				    double limit_per_s, int64_t now_us)
{
	struct pd_rate_limit *limit = &upstream->terms.rate_limit;

	if (limit->active)
		return;
	set_rate_limit(registry, upstream, limit, limit_per_s, now_us);
	/* The process before this one may have used the share of this moment. */
	limit->tokens = fmin(limit->tokens, 0);
	upstream->terms.limit_stated_us = now_us;
	log_limit_change(upstream, 0, now_us);
}

void pd_permit_update_shares_locked(struct pd_registry *registry)
{
	int64_t now = pd_os_boot_us();
	struct pd_upstream *upstream, *next;

	HASH_ITER(hh, registry->upstreams, upstream, next)
	{
		struct pd_rate_limit *limits[] = {&upstream->terms.rate_limit,
						  &upstream->terms.cold_limit};

		for (size_t i = 0; i < sizeof(limits) / sizeof(limits[0]); i++) {
			if (limits[i]->active)
				set_rate_limit(registry, upstream, limits[i],
					       limits[i]->limit_per_s, now);
		}
	}
}
