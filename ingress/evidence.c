/**
 * DOC: What requests tell of upstreams and zones, and the choice that follows from it
 */
#include <math.h>
#include <string.h>

#include "counters.h"
#include "log.h"
#include "os.h"
#include "pick.h"
#include "pool.h"
#include "registry.h"
#include "registry_private.h"

#define CANDIDATES_MAX 64 /* upstreams of one service that are compared */

/* Weight of one sample in the moving values: about the last five samples count. */
#define SAMPLE_WEIGHT 0.25
/* Without new evidence, half of the slowness and of the failures is forgotten in this time, so that
 * an upstream which was paused, slow or failing is tried again. */
#define EVIDENCE_HALF_LIFE_US 1200000.0
#define SLOWNESS_MAX	      12.0
/* A failure weighs as much as an answer that takes this many times as long as usual. */
#define FAILURE_SLOWNESS  4.0
#define FAILURES_TO_EJECT 3
#define EJECT_US	  400000 /* doubled with each further failure */
#define EJECT_MAX_US	  3000000
/* Without a new report, half of a reported queue is taken for served in this time. */
#define QUEUE_HALF_LIFE_US 150000.0
/* Weight of one answer in a service's usual time of answers. */
#define WORK_WEIGHT 0.05
/* Without an answer for longer than this, the usual time is forgotten as other evidence is: one
 * that refuses every request would never be corrected. */
#define WORK_FRESH_US 1000000
/* A zone is out of reach when nothing was heard from it for this long and this many of its
 * upstreams are overdue; one paused upstream, or three, happen in normal operation. */
#define ZONE_SILENCE_US 250000
#define ZONE_OVERDUE	4
#define ZONE_PROBE_US	250000
/* The 92nd percentile moves by this share of itself with each sample. */
#define HIGH_STEP     0.05
#define HIGH_QUANTILE 0.92

/* What is left of old evidence. */
static double remembered(const struct pd_upstream *upstream, int64_t now_us)
{
	double age = (double)(now_us - upstream->stats_updated_us);

	return age <= 0 ? 1 : exp2(-age / EVIDENCE_HALF_LIFE_US);
}

static double slowness_now(const struct pd_upstream *upstream, int64_t now_us)
{
	return 1 + (upstream->latency_ratio - 1) * remembered(upstream, now_us);
}

static double failure_rate_now(const struct pd_upstream *upstream, int64_t now_us)
{
	return upstream->failure_rate * remembered(upstream, now_us);
}

/* Takes the time that has passed into account before new evidence is added. */
static void age_evidence(struct pd_upstream *upstream, int64_t now_us)
{
	upstream->latency_ratio = slowness_now(upstream, now_us);
	upstream->failure_rate = failure_rate_now(upstream, now_us);
	upstream->stats_updated_us = now_us;
}

static bool was_tried(const struct pd_upstream *upstream, struct pd_upstream *const *tried,
		      size_t count)
{
	for (size_t i = 0; i < count; i++) {
		if (tried[i] == upstream)
			return true;
	}
	return false;
}

static bool usable_locked(const struct pd_upstream *upstream)
{
	if (upstream->removed || upstream->draining || upstream->replaced)
		return false;
	/* Zones are evacuated for upstreams, not for instances. */
	return upstream->service->internal ||
	       (!upstream->zone->evacuated && !upstream->zone->unreachable);
}

static void describe(struct pd_registry *registry, const struct pd_upstream *upstream,
		     struct pd_upstream *const *tried, size_t tried_count, int64_t now_us,
		     struct pd_candidate *candidate)
{
	double weight = pd_load_weight(now_us - upstream->load_reported_us);

	candidate->usable = usable_locked(upstream) && !was_tried(upstream, tried, tried_count);
	candidate->cold = now_us < upstream->cold_until_us;
	candidate->ejected = now_us < upstream->ejected_until_us;
	candidate->connected = upstream->idle != NULL;
	candidate->at_connection_limit =
		!upstream->idle && pd_pool_at_connection_limit_locked(upstream);
	candidate->same_zone = pd_name_equal(&upstream->zone->name, &registry->options.zone);
	candidate->latency_ratio = slowness_now(upstream, now_us) *
				   (1 + FAILURE_SLOWNESS * failure_rate_now(upstream, now_us));
	candidate->in_flight = upstream->in_flight;
	candidate->reported_load = upstream->reported_load * weight;
	candidate->slots = upstream->slots;
}

static struct pd_upstream *pick_locked(struct pd_registry *registry, struct pd_service *service,
				       struct pd_upstream *const *tried, size_t tried_count,
				       int64_t now_us)
{
	struct pd_candidate candidates[CANDIDATES_MAX];
	struct pd_upstream *upstreams[CANDIDATES_MAX];
	size_t count = 0;
	long best;

	for (struct pd_upstream *u = service->upstreams; u && count < CANDIDATES_MAX; u = u->next) {
		describe(registry, u, tried, tried_count, now_us, &candidates[count]);
		upstreams[count++] = u;
	}
	best = pd_pick(candidates, count, pd_registry_random_locked(registry) >> 8);
	return best < 0 ? NULL : upstreams[best];
}

struct pd_upstream *pd_registry_pick(struct pd_registry *registry, struct pd_service *service,
				     struct pd_upstream *const *tried, size_t tried_count,
				     int64_t now_us)
{
	struct pd_upstream *upstream;

	pthread_mutex_lock(&registry->lock);
	upstream = pick_locked(registry, service, tried, tried_count, now_us);
	if (upstream) {
		upstream->references++;
		upstream->in_flight++;
	}
	pthread_mutex_unlock(&registry->lock);
	return upstream;
}

bool pd_registry_has_usable(struct pd_registry *registry, struct pd_service *service,
			    struct pd_upstream *const *tried, size_t tried_count)
{
	bool found = false;

	pthread_mutex_lock(&registry->lock);
	for (struct pd_upstream *u = service->upstreams; u && !found; u = u->next)
		found = usable_locked(u) && !was_tried(u, tried, tried_count);
	pthread_mutex_unlock(&registry->lock);
	return found;
}

bool pd_registry_has_healthy(struct pd_registry *registry, struct pd_service *service,
			     int64_t now_us)
{
	bool found = false;

	pthread_mutex_lock(&registry->lock);
	for (struct pd_upstream *u = service->upstreams; u && !found; u = u->next)
		found = usable_locked(u) && now_us >= u->ejected_until_us;
	pthread_mutex_unlock(&registry->lock);
	return found;
}

static double expected_at(const struct pd_upstream *upstream, double work_us, int64_t now_us)
{
	double age = (double)(now_us - upstream->load_reported_us);
	double load = upstream->reported_load * exp2(-age / QUEUE_HALF_LIFE_US);
	double slots = upstream->slots ? upstream->slots : 1;
	double ahead;

	if (load < upstream->in_flight)
		load = upstream->in_flight;
	ahead = load - slots + 1;
	return work_us * (1 + (ahead > 0 ? ahead / slots : 0));
}

/* What is left of a service's usual time of answers. */
static double work_remembered(const struct pd_service *service, int64_t now_us)
{
	double stale = (double)(now_us - service->service_time_updated_us - WORK_FRESH_US);

	return stale <= 0 ? 1 : exp2(-stale / EVIDENCE_HALF_LIFE_US);
}

int64_t pd_registry_expected_latency_us(struct pd_registry *registry, struct pd_service *service,
					int64_t now_us)
{
	double best = 0, work;

	pthread_mutex_lock(&registry->lock);
	work = service->service_time_us * work_remembered(service, now_us);
	for (struct pd_upstream *u = service->upstreams; u && work > 0; u = u->next) {
		double expected;

		if (!usable_locked(u) || now_us < u->ejected_until_us)
			continue;
		expected = expected_at(u, work, now_us);
		if (best <= 0 || expected < best)
			best = expected;
	}
	pthread_mutex_unlock(&registry->lock);
	return (int64_t)best;
}

bool pd_registry_consume_retry(struct pd_registry *registry, struct pd_service *service)
{
	bool taken;

	pthread_mutex_lock(&registry->lock);
	taken = pd_budget_consume(&service->budget);
	pthread_mutex_unlock(&registry->lock);
	if (!taken)
		pd_count(PD_COUNT_budget_denied);
	return taken;
}

void pd_registry_count_request(struct pd_registry *registry, struct pd_service *service)
{
	pthread_mutex_lock(&registry->lock);
	pd_budget_count_request(&service->budget);
	pthread_mutex_unlock(&registry->lock);
}

static void add_slowness(struct pd_upstream *upstream, double sample, int64_t now_us)
{
	if (sample > SLOWNESS_MAX)
		sample = SLOWNESS_MAX;
	age_evidence(upstream, now_us);
	upstream->latency_ratio += SAMPLE_WEIGHT * (sample - upstream->latency_ratio);
}

static void add_latency(struct pd_route_stats *stats, double latency_us)
{
	if (stats->mean_us <= 0) {
		stats->mean_us = latency_us;
		stats->p92_us = 2 * latency_us;
		return;
	}
	stats->mean_us += 0.02 * (latency_us - stats->mean_us);
	if (latency_us > stats->p92_us)
		stats->p92_us *= 1 + HIGH_STEP * HIGH_QUANTILE;
	else
		stats->p92_us *= 1 - HIGH_STEP * (1 - HIGH_QUANTILE);
}

void pd_registry_report_received_locked(struct pd_upstream *upstream, int64_t now_us)
{
	struct pd_zone *zone = upstream->zone;

	zone->last_received_us = now_us;
	zone->silence_period++;
	zone->overdue_count = 0;
	if (zone->unreachable) {
		zone->unreachable = false;
		pd_log(PD_LOG_INFO, "zone_reachable", "zone=%s upstream=%s", zone->name.text,
		       upstream->id.text);
	}
}

void pd_registry_report_received(struct pd_registry *registry, struct pd_upstream *upstream,
				 int64_t now_us)
{
	pthread_mutex_lock(&registry->lock);
	pd_registry_report_received_locked(upstream, now_us);
	pthread_mutex_unlock(&registry->lock);
}

static void succeed(struct pd_upstream *upstream, int64_t now_us)
{
	age_evidence(upstream, now_us);
	upstream->failure_rate *= 1 - SAMPLE_WEIGHT;
	upstream->failures = 0;
	upstream->ejected_until_us = 0;
}

static void add_failure(struct pd_upstream *upstream, int64_t now_us)
{
	age_evidence(upstream, now_us);
	upstream->failure_rate += SAMPLE_WEIGHT * (1 - upstream->failure_rate);
}

static void fail(struct pd_upstream *upstream, const char *reason, int64_t now_us)
{
	int64_t pause = EJECT_US;

	add_failure(upstream, now_us);
	upstream->failures++;
	if (upstream->failures < FAILURES_TO_EJECT)
		return;
	for (uint32_t i = FAILURES_TO_EJECT; i < upstream->failures && pause < EJECT_MAX_US; i++)
		pause *= 2;
	if (pause > EJECT_MAX_US)
		pause = EJECT_MAX_US;
	if (now_us >= upstream->ejected_until_us)
		pd_log(PD_LOG_INFO, "upstream_ejected",
		       "upstream=%s service=%s reason=%s failures=%u for_ms=%lld",
		       upstream->id.text, upstream->service->name.text, reason, upstream->failures,
		       (long long)pause / 1000);
	upstream->ejected_until_us = now_us + pause;
}

static void mark_overdue(struct pd_upstream *upstream, int64_t now_us)
{
	struct pd_zone *zone = upstream->zone;

	if (!zone->overdue_count)
		zone->first_overdue_us = now_us;
	if (upstream->overdue_period != zone->silence_period || !zone->overdue_count) {
		upstream->overdue_period = zone->silence_period;
		zone->overdue_count++;
	}
	if (zone->unreachable || zone->overdue_count < ZONE_OVERDUE ||
	    now_us - zone->first_overdue_us < ZONE_SILENCE_US)
		return;
	zone->unreachable = true;
	zone->next_probe_us = now_us + ZONE_PROBE_US;
	pd_log(PD_LOG_WARNING, "zone_unreachable", "zone=%s silent_ms=%lld overdue=%u",
	       zone->name.text, (long long)(now_us - zone->last_received_us) / 1000,
	       zone->overdue_count);
}

void pd_registry_report_overdue(struct pd_registry *registry, struct pd_upstream *upstream,
				struct pd_route_stats *stats, int64_t waited_us, int64_t now_us)
{
	pthread_mutex_lock(&registry->lock);
	if (stats && stats->mean_us > 0) {
		double sample = (double)waited_us / stats->mean_us;

		if (sample > slowness_now(upstream, now_us))
			add_slowness(upstream, sample, now_us);
	}
	mark_overdue(upstream, now_us);
	pthread_mutex_unlock(&registry->lock);
}

/* The more was forgotten, the more a new answer counts. */
static void add_work(struct pd_service *service, const struct pd_report *report, int64_t now_us)
{
	double weight = 1 - work_remembered(service, now_us);

	if (!report->has_load || report->waiting > 0)
		return;
	if (service->service_time_us <= 0)
		weight = 1;
	else if (weight < WORK_WEIGHT)
		weight = WORK_WEIGHT;
	service->service_time_us +=
		weight * ((double)report->latency_us - service->service_time_us);
	service->service_time_updated_us = now_us;
}

void pd_registry_eject(struct pd_registry *registry, struct pd_upstream *upstream, int64_t now_us)
{
	pthread_mutex_lock(&registry->lock);
	upstream->failures += FAILURES_TO_EJECT - 1;
	fail(upstream, "silent", now_us);
	pthread_mutex_unlock(&registry->lock);
}

static void take_evidence(struct pd_upstream *upstream, const struct pd_report *report,
			  int64_t now_us)
{
	if (report->has_load) {
		upstream->reported_load = report->load;
		upstream->load_reported_us = now_us;
	}
	switch (report->kind) {
	case PD_REPORT_SUCCESS:
		succeed(upstream, now_us);
		add_work(upstream->service, report, now_us);
		if (report->stats) {
			add_latency(report->stats, (double)report->latency_us);
			add_slowness(upstream, (double)report->latency_us / report->stats->mean_us,
				     now_us);
		}
		break;
	case PD_REPORT_FAILURE:
		fail(upstream, "failure", now_us);
		break;
	case PD_REPORT_REJECTED:
		/* It is full: its load counts as high until it reports otherwise. */
		if (!report->has_load) {
			upstream->reported_load = 2.0 * upstream->slots;
			upstream->load_reported_us = now_us;
		}
		add_failure(upstream, now_us);
		break;
	case PD_REPORT_WRONG_INSTANCE:
		upstream->replaced = true;
		pd_log(PD_LOG_INFO, "upstream_replaced", "upstream=%s service=%s address=%s",
		       upstream->id.text, upstream->service->name.text, upstream->address_text);
		break;
	case PD_REPORT_UNREACHABLE:
		upstream->failures += FAILURES_TO_EJECT - 1;
		fail(upstream, "unreached", now_us);
		mark_overdue(upstream, now_us);
		break;
	case PD_REPORT_TIMEOUT:
		fail(upstream, "silent", now_us);
		mark_overdue(upstream, now_us);
		break;
	case PD_REPORT_ABANDONED:
		break;
	}
}

void pd_registry_report(struct pd_registry *registry, struct pd_upstream *upstream,
			const struct pd_report *report, int64_t now_us)
{
	pthread_mutex_lock(&registry->lock);
	if (report->kind == PD_REPORT_SUCCESS || report->kind == PD_REPORT_REJECTED)
		pd_registry_report_received_locked(upstream, now_us);
	take_evidence(upstream, report, now_us);
	upstream->in_flight--;
	pd_registry_unref_locked(upstream);
	pthread_mutex_unlock(&registry->lock);
}

/* Whether the service has upstreams, all of them in zones that are out of reach. */
static bool out_of_reach(const struct pd_service *service)
{
	bool listed = false;

	for (const struct pd_upstream *u = service->upstreams; u; u = u->next) {
		if (u->removed || u->draining || u->replaced)
			continue;
		if (!u->zone->unreachable)
			return false;
		listed = true;
	}
	return listed;
}

double pd_registry_reachable_share(struct pd_registry *registry)
{
	size_t total = 0, missing = 0;
	const struct pd_catalog *catalog;

	pthread_mutex_lock(&registry->lock);
	catalog = registry->catalog;
	for (size_t r = 0; catalog && r < catalog->route_count; r++) {
		const struct pd_route *route = &catalog->routes[r];

		if (route->kind != PD_ROUTE_GATHER)
			continue;
		for (size_t t = 0; t < route->target_count; t++) {
			const struct pd_service *service =
				catalog->services[route->targets[t].service].runtime;

			total++;
			missing += service && out_of_reach(service);
		}
	}
	pthread_mutex_unlock(&registry->lock);
	return total ? 1 - (double)missing / (double)total : 1;
}

struct pd_upstream *pd_registry_probe_target(struct pd_registry *registry, int64_t now_us)
{
	struct pd_upstream *found = NULL;
	struct pd_zone *zone, *next;

	pthread_mutex_lock(&registry->lock);
	HASH_ITER(hh, registry->zones, zone, next)
	{
		size_t seen = 0;

		if (found || !zone->unreachable || now_us < zone->next_probe_us)
			continue;
		for (struct pd_upstream *u = registry->upstreams; u; u = u->hh.next) {
			if (u->zone != zone || u->draining)
				continue;
			/* Reservoir sampling: each upstream of the zone is as likely. */
			if (pd_registry_random_locked(registry) % ++seen == 0)
				found = u;
		}
		zone->next_probe_us = now_us + ZONE_PROBE_US;
	}
	if (found)
		found->references++;
	pthread_mutex_unlock(&registry->lock);
	return found;
}
