/**
 * DOC: Versions of upstreams: which of them may get requests, and evidence of roll-outs
 */
#include <inttypes.h>
#include <string.h>

#include "counters.h"
#include "log.h"
#include "os.h"
#include "pool.h"
#include "registry.h"
#include "registry_private.h"

/* Latencies of an upstream don't count as evidence for this long after it was added: it is slow
 * after its start, also if its entry doesn't state a cold start.
 */
#define WARM_UP_US (3000 * PD_USEC_PER_MSEC)
/* The version that gets the requests is replaced without an order once the service has had no
 * upstream of it for this long: a restart leaves none for a moment.
 */
#define MISSING_US (3000 * PD_USEC_PER_MSEC)
/* An attempt that was given up late would have lasted longer than until then. */
#define GIVEN_UP_FACTOR 1.5

static bool is_running(const struct pd_service_rollout *rollout)
{
	return rollout->ordered && !pd_rollout_is_final(rollout->state);
}

static bool is_baseline(const struct pd_service_rollout *rollout, const struct pd_name *version)
{
	return rollout->has_baseline && pd_name_equal(&rollout->baseline, version);
}

/* Whether the ordered version is the one that gets the requests without an order. */
static bool is_same_version(const struct pd_service_rollout *rollout)
{
	return is_baseline(rollout, &rollout->target);
}

static enum pd_rollout_phase current_phase(const struct pd_service_rollout *rollout, int64_t now_us)
{
	return now_us < rollout->permitted_until_us ? rollout->phase : PD_ROLLOUT_HALTED;
}

static enum pd_version_use use_of_target(const struct pd_service_rollout *rollout, int64_t now_us)
{
	if (is_same_version(rollout))
		return PD_VERSION_ANY;
	switch (current_phase(rollout, now_us)) {
	case PD_ROLLOUT_FULL:
		return PD_VERSION_ANY;
	case PD_ROLLOUT_CANARY:
		return PD_VERSION_CANARY;
	case PD_ROLLOUT_HALTED:
		break;
	}
	return PD_VERSION_BARRED;
}

enum pd_version_use pd_version_use_locked(const struct pd_upstream *upstream, int64_t now_us)
{
	const struct pd_service *service = upstream->service;
	const struct pd_service_rollout *rollout = &service->rollout;
	bool is_target = rollout->ordered && pd_name_equal(&upstream->version, &rollout->target);

	if (service->internal || !service->registry->versions_enabled)
		return PD_VERSION_ANY;
	if (is_running(rollout) && is_target)
		return use_of_target(rollout, now_us);
	if (rollout->ordered && rollout->state == PD_ROLLOUT_COMPLETED)
		return is_target ? PD_VERSION_ANY : PD_VERSION_BARRED;
	if ((rollout->ordered && is_target) || !is_baseline(rollout, &upstream->version))
		return PD_VERSION_BARRED;
	return is_running(rollout) && current_phase(rollout, now_us) == PD_ROLLOUT_FULL
		       ? PD_VERSION_LAST
		       : PD_VERSION_ANY;
}

static bool has_version(const struct pd_service *service, const struct pd_name *version)
{
	for (const struct pd_upstream *u = service->upstreams; u; u = u->next) {
		if (pd_name_equal(&u->version, version))
			return true;
	}
	return false;
}

/* Returns the upstream that was started first, without those of the ordered version. */
static const struct pd_upstream *find_oldest(const struct pd_service *service)
{
	const struct pd_service_rollout *rollout = &service->rollout;
	const struct pd_upstream *oldest = NULL;

	for (const struct pd_upstream *u = service->upstreams; u; u = u->next) {
		if (rollout->ordered && pd_name_equal(&u->version, &rollout->target))
			continue;
		if (!oldest || u->started_unix_ms < oldest->started_unix_ms)
			oldest = u;
	}
	return oldest;
}

static void set_baseline(struct pd_service *service, const struct pd_name *version)
{
	struct pd_service_rollout *rollout = &service->rollout;

	if (is_baseline(rollout, version))
		return;
	pd_log(PD_LOG_INFO, "version_permitted", "service=%s version=%s before=%s",
	       service->name.text, version->len ? version->text : "-",
	       rollout->has_baseline && rollout->baseline.len ? rollout->baseline.text : "-");
	rollout->baseline = *version;
	rollout->has_baseline = true;
	rollout->missing_since_us = 0;
}

void pd_version_update_locked(struct pd_service *service)
{
	struct pd_service_rollout *rollout = &service->rollout;
	const struct pd_registry *registry = service->registry;
	const struct pd_upstream *oldest;

	if (service->internal || !registry->versions_enabled)
		return;
	if (rollout->ordered && rollout->state == PD_ROLLOUT_COMPLETED) {
		set_baseline(service, &rollout->target);
		return;
	}
	if (has_version(service, &rollout->baseline))
		rollout->missing_since_us = 0;
	else if (!rollout->missing_since_us)
		rollout->missing_since_us = pd_os_boot_us();
	/* While a process starts, upstreams become known in any order. Later, another version gets
	 * requests without an order only if the service has no other one.
	 */
	if (rollout->has_baseline && registry->list_complete && registry->rollouts_known &&
	    (is_running(rollout) || !rollout->missing_since_us ||
	     pd_os_boot_us() - rollout->missing_since_us < MISSING_US))
		return;
	oldest = find_oldest(service);
	if (oldest)
		set_baseline(service, &oldest->version);
}

void pd_registry_enable_versions(struct pd_registry *registry)
{
	pthread_mutex_lock(&registry->lock);
	registry->versions_enabled = true;
	pthread_mutex_unlock(&registry->lock);
}

/* Closes the idle connections to upstreams that get no requests any more. */
static void close_barred(struct pd_service *service)
{
	int64_t now = pd_os_boot_us();

	for (struct pd_upstream *u = service->upstreams; u; u = u->next) {
		if (pd_version_use_locked(u, now) == PD_VERSION_BARRED)
			pd_pool_close_idle_locked(u);
	}
}

/* Begins an order: the random credit spreads the share over processes with few requests. */
static void begin_order(struct pd_registry *registry, struct pd_service_rollout *rollout)
{
	rollout->phase = PD_ROLLOUT_HALTED;
	rollout->permitted_until_us = 0;
	rollout->credit = (double)(pd_registry_random_locked(registry) >> 11) * 0x1p-53;
	pd_rollout_evidence_finish(&rollout->evidence);
}

/* Logs the number of requests that this process has chosen the former target for. Requests that
 * arrive there beyond that sum over all instances were sent after the change.
 */
static void log_replaced(const struct pd_service *service, const struct pd_rollout_order *order)
{
	const struct pd_service_rollout *rollout = &service->rollout;

	pd_log(PD_LOG_INFO, "rollout_replaced",
	       "service=%s version=%s before=%s before_sent=%" PRIu32, service->name.text,
	       order ? order->target.text : "-", rollout->target.text,
	       rollout->evidence.sent[PD_ROLLOUT_NEW]);
}

static void set_order(struct pd_registry *registry, struct pd_service *service,
		      const struct pd_rollout_order *order)
{
	struct pd_service_rollout *rollout = &service->rollout;
	bool was_running = is_running(rollout);
	bool same = order && rollout->ordered && pd_name_equal(&rollout->target, &order->target);

	if (!order && !rollout->ordered)
		return;
	if (was_running && !same)
		log_replaced(service, order);
	rollout->ordered = order != NULL;
	if (order) {
		rollout->target = order->target;
		rollout->state = order->state;
	}
	if (is_running(rollout) && !(same && was_running))
		begin_order(registry, rollout);
	pd_version_update_locked(service);
	close_barred(service);
}

void pd_registry_set_rollouts(struct pd_registry *registry, const struct pd_rollout_set *set)
{
	struct pd_service *service, *next;

	pthread_mutex_lock(&registry->lock);
	for (size_t i = 0; i < set->count; i++)
		pd_registry_get_service_locked(registry, pd_name_str(&set->orders[i].service));
	HASH_ITER(hh, registry->services, service, next)
	{
		/* What was chosen without the orders may be the version of one. */
		if (!registry->rollouts_known)
			service->rollout.has_baseline = false;
		set_order(registry, service, pd_rollout_set_find(set, &service->name));
		if (!registry->rollouts_known)
			pd_version_update_locked(service);
	}
	registry->rollouts_known = true;
	pthread_mutex_unlock(&registry->lock);
}

static struct pd_service *find_ordered(struct pd_registry *registry,
				       const struct pd_rollout_order *order)
{
	struct pd_service *service;

	HASH_FIND(hh, registry->services, order->service.text, order->service.len, service);
	if (!service || !service->rollout.ordered ||
	    !pd_name_equal(&service->rollout.target, &order->target))
		return NULL;
	return service;
}

void pd_registry_permit_version(struct pd_registry *registry, const struct pd_rollout_order *order,
				enum pd_rollout_phase phase, double share, int64_t until_us)
{
	struct pd_service *service;

	pthread_mutex_lock(&registry->lock);
	service = find_ordered(registry, order);
	if (service) {
		service->rollout.phase = phase;
		service->rollout.share = share;
		service->rollout.permitted_until_us = until_us;
	}
	pthread_mutex_unlock(&registry->lock);
}

bool pd_version_canary_is_due(const struct pd_service *service)
{
	const struct pd_service_rollout *rollout = &service->rollout;

	return rollout->phase == PD_ROLLOUT_CANARY && rollout->credit + rollout->share >= 1;
}

static enum pd_rollout_side side_of(const struct pd_upstream *upstream)
{
	return pd_name_equal(&upstream->version, &upstream->service->rollout.target)
		       ? PD_ROLLOUT_NEW
		       : PD_ROLLOUT_OLD;
}

void pd_version_count_sent_locked(struct pd_upstream *upstream, bool first)
{
	struct pd_service_rollout *rollout = &upstream->service->rollout;

	if (!is_running(rollout))
		return;
	rollout->evidence.requests += first;
	rollout->evidence.sent[side_of(upstream)]++;
	if (side_of(upstream) == PD_ROLLOUT_NEW && rollout->phase == PD_ROLLOUT_CANARY)
		pd_count(PD_COUNT_rollout_canary_sent);
}

static bool is_warming_up(const struct pd_upstream *upstream, int64_t now_us)
{
	return now_us < upstream->cold_until_us || now_us - upstream->added_us < WARM_UP_US;
}

void pd_version_count_result_locked(struct pd_upstream *upstream, const struct pd_report *report,
				    int64_t now_us)
{
	static const struct pd_name no_route;
	struct pd_service_rollout *rollout = &upstream->service->rollout;
	bool warming_up = is_warming_up(upstream, now_us);
	struct pd_rollout_stratum *stratum;
	struct pd_rollout_counts *counts;

	if (!is_running(rollout))
		return;
	rollout->evidence.ended[side_of(upstream)]++;
	stratum = pd_rollout_evidence_stratum(&rollout->evidence,
					      report->stats ? &report->stats->name : &no_route,
					      pd_str_hash(pd_name_str(&upstream->zone->name), 0));
	if (!stratum)
		return;
	counts = &stratum->sides[side_of(upstream)];
	switch (report->kind) {
	case PD_REPORT_SUCCESS:
		counts->ok++;
		if (!warming_up)
			counts->latency[pd_rollout_latency_bin(report->latency_us)]++;
		break;
	case PD_REPORT_FAILURE:
		counts->failed++;
		break;
	case PD_REPORT_REJECTED:
		counts->rejected += !warming_up;
		break;
	case PD_REPORT_TIMEOUT:
	case PD_REPORT_ABANDONED:
		if (!report->late || warming_up)
			break;
		counts->ok++;
		counts->latency[pd_rollout_latency_bin(
			(int64_t)((double)report->latency_us * GIVEN_UP_FACTOR))]++;
		break;
	case PD_REPORT_WRONG_INSTANCE:
	case PD_REPORT_UNREACHABLE:
		break;
	}
}

static bool is_configured(const struct pd_registry *registry, const struct pd_service *service)
{
	for (size_t i = 0; registry->catalog && i < registry->catalog->service_count; i++) {
		if (registry->catalog->services[i].runtime == service)
			return true;
	}
	return service->upstreams != NULL;
}

void pd_registry_view_version(struct pd_registry *registry, const struct pd_rollout_order *order,
			      int64_t now_us, struct pd_version_view *view,
			      struct pd_rollout_evidence *evidence)
{
	struct pd_service *service;

	memset(view, 0, sizeof(*view));
	pthread_mutex_lock(&registry->lock);
	service = find_ordered(registry, order);
	if (service) {
		view->exists = is_configured(registry, service);
		view->same_version = is_same_version(&service->rollout);
		view->full = current_phase(&service->rollout, now_us) == PD_ROLLOUT_FULL;
		pd_rollout_evidence_add(evidence, &service->rollout.evidence);
	}
	for (struct pd_upstream *u = service ? service->upstreams : NULL; u; u = u->next) {
		struct pd_permit permit = pd_permit_check_locked(registry, u, now_us);

		if (side_of(u) == PD_ROLLOUT_OLD)
			view->old_in_flight += u->in_flight;
		else if (!permit.cold && !permit.ejected &&
			 (permit.block == PD_BLOCK_NONE || permit.block == PD_BLOCK_VERSION))
			view->target_ready = true;
	}
	pthread_mutex_unlock(&registry->lock);
}
