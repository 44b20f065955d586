/**
 * DOC: Statistics of upstreams and zones from the results of requests, and the choice of an
 * upstream based on them
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

#define CANDIDATES_MAX PD_CHOICES_MAX

/* Weight of one sample in the moving averages of an upstream, which thus reflect about the last
 * five samples. */
#define SAMPLE_WEIGHT 0.25
/* Half-life of an upstream's statistics: without new samples, the latency ratio decays to 1 and the
 * failure rate to 0, so that an upstream which was paused, slow or failing is tried again. */
#define STATS_HALF_LIFE_US 1200000.0
#define LATENCY_RATIO_MAX  12.0 /* larger samples are reduced to this */
/* The latency ratio by which upstreams are compared is multiplied by 1 plus this times the failure
 * rate. */
#define FAILURE_PENALTY	  4.0
#define FAILURES_TO_EJECT 3
#define EJECTION_US	  400000 /* first ejection; doubled with each further failure */
#define EJECTION_MAX_US	  3000000
/* Ejection of an instance that is stopping: the platform's grace period, within which it exits. */
#define LEAVING_EJECTION_US 6000000
/* A reported load is assumed to halve in this time while no new report arrives. */
#define LOAD_HALF_LIFE_US 150000.0
/* Minimum weight of one sample in the moving average of the service time. */
#define SERVICE_TIME_WEIGHT_MIN 0.05
/* A service time that wasn't updated for longer than this decays like the other statistics. If it
 * didn't, a value so high that all requests are refused because of it would never be corrected. */
#define SERVICE_TIME_FRESH_US 1000000
/* A zone is unreachable when this many of its upstreams are overdue and nothing has been received
 * from the zone for this long since the first of them became overdue. One to three paused upstreams
 * occur in normal operation. */
#define ZONE_SILENCE_US	       250000
#define ZONE_OVERDUE_UPSTREAMS 4
#define ZONE_PROBE_INTERVAL_US 250000
/* An upstream that is known to be silent counts as such for this long, unless it is heard: pauses
 * of upstreams take 100 ms, and its next overdue request prolongs the time. */
#define SILENCE_US 100000
/* A queue at a service's upstreams is remembered for longer than a request may wait in it. */
#define QUEUED_MEMORY_US 1000000
/* Step of the 92nd percentile's estimate as a share of the estimate: a sample above it raises it by
 * 0.92 of the step, a sample below it lowers it by 0.08 of the step. */
#define P92_STEP     0.05
#define P92_QUANTILE 0.92

/* Returns the factor, 0 to 1, by which an upstream's statistics have decayed since their update. */
static double stats_decay(const struct pd_upstream *upstream, int64_t now_us)
{
	double age_us = (double)(now_us - upstream->stats_updated_us);

	return age_us <= 0 ? 1 : exp2(-age_us / STATS_HALF_LIFE_US);
}

static double current_latency_ratio(const struct pd_upstream *upstream, int64_t now_us)
{
	return 1 + (upstream->latency_ratio - 1) * stats_decay(upstream, now_us);
}

static double current_failure_rate(const struct pd_upstream *upstream, int64_t now_us)
{
	return upstream->failure_rate * stats_decay(upstream, now_us);
}

/* Applies the decay up to now, before a new sample is added. */
static void decay_stats(struct pd_upstream *upstream, int64_t now_us)
{
	upstream->latency_ratio = current_latency_ratio(upstream, now_us);
	upstream->failure_rate = current_failure_rate(upstream, now_us);
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

/* Returns the time that a request takes at the upstream while none is queued, from what it states;
 * 0 if unknown. */
static double stated_work_us(const struct pd_upstream *upstream)
{
	return upstream->service->work_time_us * upstream->speed;
}

static double expected_load(const struct pd_upstream *upstream, int64_t now_us)
{
	const struct pd_load_estimate estimate = {
		.reported = upstream->reported_load,
		.age_us = now_us - upstream->load_reported_us,
		.sent_since = upstream->sent_since_report,
		.in_flight = upstream->in_flight,
		.slots = upstream->slots,
		.work_us = stated_work_us(upstream),
	};

	return pd_expected_load(&estimate);
}

/* Returns how long the upstream has been silent, see pd_candidate.silence. */
static double silence(const struct pd_upstream *upstream, int64_t now_us)
{
	double work_us = upstream->service->work_time_us, ratio = 0;

	if (upstream->in_flight && work_us > 0)
		ratio = (double)(now_us - upstream->waiting_since_us) / work_us;
	if (ratio < PD_SILENCE_OVERDUE && upstream->silent_since_us &&
	    now_us - upstream->silent_since_us < SILENCE_US)
		ratio = PD_SILENCE_OVERDUE;
	return ratio;
}

/* Sets what is compared of an upstream that states how long its work takes. */
static void fill_stated(const struct pd_upstream *upstream, int64_t now_us,
			struct pd_candidate *candidate)
{
	double weight = pd_speed_weight(now_us - upstream->load_reported_us);
	double ratio =
		weight * upstream->speed + (1 - weight) * current_latency_ratio(upstream, now_us);

	candidate->states_speed = upstream->speed > 0;
	if (!candidate->states_speed)
		return;
	candidate->work_ratio =
		ratio * (1 + FAILURE_PENALTY * current_failure_rate(upstream, now_us));
	candidate->expected_load = expected_load(upstream, now_us);
	candidate->silence = silence(upstream, now_us);
}

static void fill_candidate(struct pd_registry *registry, struct pd_upstream *upstream,
			   struct pd_upstream *const *tried, size_t tried_count, int64_t now_us,
			   struct pd_candidate *candidate, enum pd_version_use *use)
{
	struct pd_permit permit = pd_permit_check_locked(registry, upstream, now_us);
	double weight = pd_load_weight(now_us - upstream->load_reported_us);

	candidate->usable =
		permit.block == PD_BLOCK_NONE && !was_tried(upstream, tried, tried_count);
	*use = permit.use;
	candidate->cold = permit.cold;
	candidate->unanswered = permit.unanswered;
	candidate->ejected = permit.ejected;
	candidate->connected = upstream->idle != NULL;
	candidate->at_connection_limit =
		!upstream->idle && pd_pool_at_connection_limit_locked(upstream);
	candidate->same_zone = pd_name_equal(&upstream->zone->name, &registry->options.zone);
	candidate->latency_ratio = current_latency_ratio(upstream, now_us) *
				   (1 + FAILURE_PENALTY * current_failure_rate(upstream, now_us));
	candidate->in_flight = upstream->in_flight;
	candidate->reported_load = upstream->reported_load * weight;
	candidate->slots = upstream->slots;
	fill_stated(upstream, now_us, candidate);
}

/* Returns the first upstream that is compared: a random one if the service has more upstreams than
 * are compared.
 */
static struct pd_upstream *first_candidate(struct pd_registry *registry,
					   const struct pd_service *service)
{
	struct pd_upstream *first = service->upstreams;
	size_t skip = 0;

	if (service->upstream_count > CANDIDATES_MAX)
		skip = (pd_registry_random_locked(registry) >> 8) % service->upstream_count;
	for (; skip; skip--)
		first = first->next;
	return first;
}

/* Chooses among the upstreams with one use; those of the version that is rolled out only if they
 * work: what a cold or ejected one gets says nothing about the version.
 */
static long pick_by_use(const struct pd_candidate *candidates, const enum pd_version_use *uses,
			size_t count, enum pd_version_use use, uint64_t random)
{
	struct pd_candidate chosen[CANDIDATES_MAX];

	for (size_t i = 0; i < count; i++) {
		chosen[i] = candidates[i];
		if (uses[i] != use ||
		    (use == PD_VERSION_CANARY && (candidates[i].cold || candidates[i].ejected)))
			chosen[i].usable = false;
	}
	return pd_pick(chosen, count, random);
}

/* Chooses an upstream while a roll-out decides which versions get the request. */
static long pick_by_version(struct pd_service *service, const struct pd_candidate *candidates,
			    const enum pd_version_use *uses, size_t count, bool first,
			    uint64_t random)
{
	struct pd_service_rollout *rollout = &service->rollout;
	bool canary_due = first && pd_version_canary_is_due(service);
	long best = -1;

	if (canary_due)
		best = pick_by_use(candidates, uses, count, PD_VERSION_CANARY, random);
	if (first && rollout->phase == PD_ROLLOUT_CANARY)
		rollout->credit += best >= 0 ? rollout->share - 1 : rollout->share;
	/* What the version couldn't take isn't made up for. */
	if (rollout->credit > 1)
		rollout->credit = 1;
	if (best < 0)
		best = pick_by_use(candidates, uses, count, PD_VERSION_ANY, random);
	return best < 0 ? pick_by_use(candidates, uses, count, PD_VERSION_LAST, random) : best;
}

static struct pd_upstream *pick_locked(struct pd_registry *registry, struct pd_service *service,
				       struct pd_upstream *const *tried, size_t tried_count,
				       int64_t now_us)
{
	struct pd_candidate candidates[CANDIDATES_MAX];
	struct pd_upstream *upstreams[CANDIDATES_MAX];
	enum pd_version_use uses[CANDIDATES_MAX];
	size_t count = 0;
	uint64_t random;
	long best;

	for (struct pd_upstream *u = first_candidate(registry, service);
	     u && count < service->upstream_count && count < CANDIDATES_MAX;
	     u = u->next ? u->next : service->upstreams) {
		fill_candidate(registry, u, tried, tried_count, now_us, &candidates[count],
			       &uses[count]);
		upstreams[count++] = u;
	}
	random = pd_registry_random_locked(registry) >> 8;
	best = service->rollout.ordered
		       ? pick_by_version(service, candidates, uses, count, !tried_count, random)
		       : pd_pick(candidates, count, random);
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
		if (!upstream->in_flight++)
			upstream->waiting_since_us = now_us;
		upstream->sent_since_report++;
		pd_permit_consume_locked(upstream, now_us);
		pd_version_count_sent_locked(upstream, !tried_count);
	}
	pthread_mutex_unlock(&registry->lock);
	return upstream;
}

struct pd_permit pd_registry_permit(struct pd_registry *registry, struct pd_service *service,
				    struct pd_upstream *const *tried, size_t tried_count,
				    int64_t now_us)
{
	struct pd_permit best = {.block = PD_BLOCK_NO_UPSTREAM, .wait_us = PD_PERMIT_NEVER};

	pthread_mutex_lock(&registry->lock);
	for (struct pd_upstream *u = service->upstreams; u; u = u->next) {
		struct pd_permit permit;

		if (was_tried(u, tried, tried_count))
			continue;
		permit = pd_permit_check_locked(registry, u, now_us);
		if (permit.use == PD_VERSION_CANARY &&
		    (tried_count || !pd_version_canary_is_due(service))) {
			permit.block = PD_BLOCK_VERSION;
			permit.wait_us = PD_PERMIT_NEVER;
		}
		best = pd_permit_better(best, permit);
	}
	pthread_mutex_unlock(&registry->lock);
	return best;
}

bool pd_registry_hedge_helps(struct pd_registry *registry, struct pd_service *service,
			     struct pd_upstream *const *tried, size_t tried_count, int64_t now_us)
{
	bool helps = false;

	pthread_mutex_lock(&registry->lock);
	for (struct pd_upstream *u = service->upstreams; u && !helps; u = u->next) {
		struct pd_candidate candidate;
		enum pd_version_use use;

		fill_candidate(registry, u, tried, tried_count, now_us, &candidate, &use);
		helps = candidate.usable && use != PD_VERSION_CANARY &&
			(!candidate.states_speed || pd_candidate_has_free_slot(&candidate));
	}
	pthread_mutex_unlock(&registry->lock);
	return helps;
}

/* Returns the number of requests that an upstream would serve before one that is sent now, beyond
 * those in its other slots; 0 or less if it has a free slot.
 */
static double requests_ahead(const struct pd_upstream *upstream, int64_t now_us)
{
	double age_us = (double)(now_us - upstream->load_reported_us);
	double load = upstream->reported_load * exp2(-age_us / LOAD_HALF_LIFE_US);
	double slots = upstream->slots ? upstream->slots : 1;

	if (upstream->speed > 0 && upstream->service->work_time_us > 0)
		load = expected_load(upstream, now_us);
	if (load < upstream->in_flight)
		load = upstream->in_flight;
	return load - slots + 1;
}

/* Returns the expected latency of a request sent now to this upstream: the service time, plus the
 * time that the upstream's slots need for the requests that are queued before this one. */
static double expected_latency(const struct pd_upstream *upstream, double service_time_us,
			       int64_t now_us)
{
	double slots = upstream->slots ? upstream->slots : 1;
	double ahead = requests_ahead(upstream, now_us);

	if (upstream->speed > 0 && upstream->service->work_time_us > 0) {
		double weight = pd_speed_weight(now_us - upstream->load_reported_us);

		service_time_us =
			weight * stated_work_us(upstream) + (1 - weight) * service_time_us;
	}
	return service_time_us * (1 + (ahead > 0 ? ahead / slots : 0));
}

/* Returns the factor, 0 to 1, by which a service time has decayed since its update. */
static double service_time_decay(const struct pd_service *service, int64_t now_us)
{
	double stale_us =
		(double)(now_us - service->service_time_updated_us - SERVICE_TIME_FRESH_US);

	return stale_us <= 0 ? 1 : exp2(-stale_us / STATS_HALF_LIFE_US);
}

/**
 * struct outlook - what a request to a service can expect now
 * @expected_us: expected latency at the upstream with the shortest queue, in microseconds; 0 if
 *	unknown
 * @free_slot: an upstream that may get it has a free slot
 */
struct outlook {
	double expected_us;
	bool free_slot;
};

static struct outlook outlook_locked(struct pd_registry *registry, struct pd_service *service,
				     int64_t now_us)
{
	struct outlook outlook = {0};
	double mean_us = service->service_time_us * service_time_decay(service, now_us);

	for (struct pd_upstream *u = service->upstreams; u && mean_us > 0; u = u->next) {
		struct pd_permit permit = pd_permit_check_locked(registry, u, now_us);
		double expected;

		if (permit.block != PD_BLOCK_NONE || permit.ejected ||
		    permit.use == PD_VERSION_CANARY)
			continue;
		expected = expected_latency(u, mean_us, now_us);
		if (outlook.expected_us <= 0 || expected < outlook.expected_us)
			outlook.expected_us = expected;
		outlook.free_slot = outlook.free_slot || requests_ahead(u, now_us) <= 0;
	}
	return outlook;
}

int64_t pd_registry_expected_latency_us(struct pd_registry *registry, struct pd_service *service,
					int64_t now_us)
{
	struct outlook outlook;

	pthread_mutex_lock(&registry->lock);
	outlook = outlook_locked(registry, service, now_us);
	pthread_mutex_unlock(&registry->lock);
	return (int64_t)outlook.expected_us;
}

int64_t pd_registry_queued_latency_us(struct pd_registry *registry, struct pd_service *service,
				      int64_t now_us)
{
	struct outlook outlook;

	pthread_mutex_lock(&registry->lock);
	outlook = outlook_locked(registry, service, now_us);
	pthread_mutex_unlock(&registry->lock);
	return outlook.free_slot ? 0 : (int64_t)outlook.expected_us;
}

bool pd_registry_is_queued(struct pd_registry *registry, const struct pd_service *service,
			   int64_t now_us, int64_t *usual_us)
{
	bool queued;

	pthread_mutex_lock(&registry->lock);
	*usual_us = (int64_t)service->service_time_us;
	queued = service->queued_us && now_us - service->queued_us < QUEUED_MEMORY_US;
	pthread_mutex_unlock(&registry->lock);
	return queued;
}

/* Sets the share of the random numbers with which each upstream is chosen. */
static void fill_chosen_shares(struct pd_choice *choices, size_t count)
{
	struct pd_candidate candidates[CANDIDATES_MAX];

	bool any = false;

	for (size_t i = 0; i < count; i++) {
		candidates[i] = choices[i].candidate;
		any = any || (candidates[i].usable && choices[i].permit.use == PD_VERSION_ANY);
	}
	/* Other versions get requests in place of these only in a roll-out, up to a share. */
	for (size_t i = 0; i < count; i++)
		candidates[i].usable =
			candidates[i].usable && (!any || choices[i].permit.use == PD_VERSION_ANY);
	for (size_t i = 0; i < count; i++) {
		long best = pd_pick(candidates, count, i);

		if (best >= 0)
			choices[best].chosen_share += 1.0 / (double)count;
	}
}

size_t pd_registry_explain(struct pd_registry *registry, const struct pd_service *service,
			   int64_t now_us, struct pd_choice *choices, struct pd_permit *permit,
			   int64_t *expected_us)
{
	double mean_us, best_us = 0;
	size_t count = 0;

	*permit = (struct pd_permit){.block = PD_BLOCK_NO_UPSTREAM, .wait_us = PD_PERMIT_NEVER};
	pthread_mutex_lock(&registry->lock);
	mean_us = service->service_time_us * service_time_decay(service, now_us);
	for (const struct pd_upstream *u = service->upstreams; u; u = u->next) {
		/* A permit may start or end the limit of a cold start. */
		struct pd_upstream copy = *u;
		struct pd_permit own = pd_permit_check_locked(registry, &copy, now_us);
		enum pd_version_use use;

		*permit = pd_permit_better(*permit, own);
		if (mean_us > 0 && own.block == PD_BLOCK_NONE && !own.ejected) {
			double latency_us = expected_latency(&copy, mean_us, now_us);

			best_us = best_us <= 0 || latency_us < best_us ? latency_us : best_us;
		}
		if (count == PD_CHOICES_MAX)
			continue;
		choices[count] = (struct pd_choice){
			.id = u->id,
			.zone = u->zone->name,
			.permit = own,
			.report_age_us = u->load_reported_us ? now_us - u->load_reported_us : -1};
		fill_candidate(registry, &copy, NULL, 0, now_us, &choices[count].candidate, &use);
		choices[count].cost = pd_candidate_cost(&choices[count].candidate);
		count++;
	}
	fill_chosen_shares(choices, count);
	pthread_mutex_unlock(&registry->lock);
	*expected_us = (int64_t)best_us;
	return count;
}

bool pd_registry_consume_retry(struct pd_registry *registry, struct pd_service *service)
{
	bool consumed;

	pthread_mutex_lock(&registry->lock);
	consumed = pd_budget_consume(&service->budget);
	pthread_mutex_unlock(&registry->lock);
	if (!consumed)
		pd_count(PD_COUNT_budget_denied);
	return consumed;
}

void pd_registry_count_request(struct pd_registry *registry, struct pd_service *service)
{
	pthread_mutex_lock(&registry->lock);
	pd_budget_count_request(&service->budget);
	pthread_mutex_unlock(&registry->lock);
}

static void add_latency_ratio(struct pd_upstream *upstream, double sample, int64_t now_us)
{
	if (sample > LATENCY_RATIO_MAX)
		sample = LATENCY_RATIO_MAX;
	decay_stats(upstream, now_us);
	upstream->latency_ratio += SAMPLE_WEIGHT * (sample - upstream->latency_ratio);
}

static void add_route_latency(struct pd_route_stats *stats, double latency_us)
{
	if (stats->mean_us <= 0) {
		/* The percentile starts at an estimate of twice the first sample. */
		stats->mean_us = latency_us;
		stats->p92_us = 2 * latency_us;
		return;
	}
	stats->mean_us += 0.02 * (latency_us - stats->mean_us);
	if (latency_us > stats->p92_us)
		stats->p92_us *= 1 + P92_STEP * P92_QUANTILE;
	else
		stats->p92_us *= 1 - P92_STEP * (1 - P92_QUANTILE);
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

static void record_success(struct pd_upstream *upstream, int64_t now_us)
{
	decay_stats(upstream, now_us);
	upstream->failure_rate *= 1 - SAMPLE_WEIGHT;
	upstream->failures = 0;
	upstream->ejected_until_us = 0;
}

static void add_failure_sample(struct pd_upstream *upstream, int64_t now_us)
{
	decay_stats(upstream, now_us);
	upstream->failure_rate += SAMPLE_WEIGHT * (1 - upstream->failure_rate);
}

/* Counts a failure, and ejects the upstream after too many consecutive ones. */
static void record_failure(struct pd_upstream *upstream, const char *reason, int64_t now_us)
{
	int64_t ejection_us = EJECTION_US;

	add_failure_sample(upstream, now_us);
	upstream->failures++;
	if (upstream->failures < FAILURES_TO_EJECT)
		return;
	for (uint32_t i = FAILURES_TO_EJECT;
	     i < upstream->failures && ejection_us < EJECTION_MAX_US; i++)
		ejection_us *= 2;
	if (ejection_us > EJECTION_MAX_US)
		ejection_us = EJECTION_MAX_US;
	if (now_us >= upstream->ejected_until_us)
		pd_log(PD_LOG_INFO, "upstream_ejected",
		       "upstream=%s service=%s reason=%s failures=%u for_ms=%lld",
		       upstream->id.text, upstream->service->name.text, reason, upstream->failures,
		       (long long)ejection_us / 1000);
	upstream->ejected_until_us = now_us + ejection_us;
}

/* Counts an upstream as overdue, once in each silence period of its zone, and marks the zone as
 * unreachable if too many are. */
static void record_overdue(struct pd_upstream *upstream, int64_t now_us)
{
	struct pd_zone *zone = upstream->zone;

	if (!zone->overdue_count)
		zone->first_overdue_us = now_us;
	if (upstream->overdue_period != zone->silence_period || !zone->overdue_count) {
		upstream->overdue_period = zone->silence_period;
		zone->overdue_count++;
	}
	if (zone->unreachable || zone->overdue_count < ZONE_OVERDUE_UPSTREAMS ||
	    now_us - zone->first_overdue_us < ZONE_SILENCE_US)
		return;
	zone->unreachable = true;
	zone->next_probe_us = now_us + ZONE_PROBE_INTERVAL_US;
	pd_log(PD_LOG_WARNING, "zone_unreachable", "zone=%s silent_ms=%lld overdue=%u",
	       zone->name.text, (long long)(now_us - zone->last_received_us) / 1000,
	       zone->overdue_count);
}

/* Marks an upstream as silent if it has sent nothing since the overdue request was sent: otherwise,
 * it is only slow. */
static void record_silence(struct pd_registry *registry, struct pd_upstream *upstream,
			   int64_t waited_us, int64_t now_us)
{
	if (upstream->speed <= 0 || upstream->waiting_since_us > now_us - waited_us)
		return;
	upstream->silent_since_us = now_us;
	pd_load_news_add_locked(registry, upstream, true, now_us);
}

void pd_registry_report_overdue(struct pd_registry *registry, struct pd_upstream *upstream,
				struct pd_route_stats *stats, int64_t waited_us, int64_t now_us)
{
	pthread_mutex_lock(&registry->lock);
	if (stats && stats->mean_us > 0) {
		double sample = (double)waited_us / stats->mean_us;

		if (sample > current_latency_ratio(upstream, now_us))
			add_latency_ratio(upstream, sample, now_us);
	}
	record_overdue(upstream, now_us);
	record_silence(registry, upstream, waited_us, now_us);
	pthread_mutex_unlock(&registry->lock);
}

/* Adds a response to the average of the service time, unless requests were queued at the upstream.
 * The more the old average has decayed, the greater is the weight of the new sample. */
static void add_service_time(struct pd_service *service, const struct pd_report *report,
			     int64_t now_us)
{
	double weight = 1 - service_time_decay(service, now_us);

	if (!report->has_load || report->queued > 0)
		return;
	if (service->service_time_us <= 0)
		weight = 1;
	else if (weight < SERVICE_TIME_WEIGHT_MIN)
		weight = SERVICE_TIME_WEIGHT_MIN;
	service->service_time_us +=
		weight * ((double)report->latency_us - service->service_time_us);
	if (report->has_speed && !service->internal)
		service->work_time_us +=
			(service->work_time_us > 0 ? weight : 1) *
			((double)report->latency_us / report->speed - service->work_time_us);
	service->service_time_updated_us = now_us;
}

void pd_registry_eject(struct pd_registry *registry, struct pd_upstream *upstream, int64_t now_us)
{
	pthread_mutex_lock(&registry->lock);
	upstream->failures += FAILURES_TO_EJECT - 1;
	record_failure(upstream, "silent", now_us);
	pthread_mutex_unlock(&registry->lock);
}

void pd_registry_record_directives_locked(struct pd_registry *registry,
					  struct pd_upstream *upstream,
					  const struct pd_directives *directives, int64_t sent_us,
					  int64_t now_us)
{
	if (upstream->service->internal)
		return;
	pd_permit_record_locked(registry, upstream, directives, now_us);
	pd_permit_record_limit_locked(registry, upstream, directives, sent_us, now_us);
	if (pd_permit_is_final_locked(upstream))
		pd_pool_close_idle_locked(upstream);
}

void pd_registry_record_load_locked(struct pd_upstream *upstream, double load, double speed,
				    int64_t now_us)
{
	upstream->reported_load = load;
	upstream->load_reported_us = now_us;
	upstream->speed = speed;
	upstream->sent_since_report = 0;
	upstream->waiting_since_us = now_us;
	upstream->silent_since_us = 0;
}

/* Records the load report of a response, and that the other instances haven't heard of it. */
static void record_own_report(struct pd_registry *registry, struct pd_upstream *upstream,
			      const struct pd_report *report, int64_t now_us)
{
	/* Instances of the ingress execute no work of their own. */
	bool has_speed = report->has_speed && !upstream->service->internal;

	pd_registry_record_load_locked(upstream, report->load, has_speed ? report->speed : 0,
				       now_us);
	if (report->queued > 0)
		upstream->service->queued_us = now_us;
	if (!has_speed)
		return;
	registry->outbox.wanted = true;
	pd_load_news_add_locked(registry, upstream, false, now_us);
}

static void apply_report(struct pd_registry *registry, struct pd_upstream *upstream,
			 const struct pd_report *report, int64_t now_us)
{
	if (report->has_load)
		record_own_report(registry, upstream, report, now_us);
	if (report->answered)
		pd_registry_record_directives_locked(
			registry, upstream, &report->directives,
			report->kind == PD_REPORT_SUCCESS ? now_us - report->latency_us : 0,
			now_us);
	switch (report->kind) {
	case PD_REPORT_SUCCESS:
		record_success(upstream, now_us);
		if (report->relay_stopping)
			upstream->ejected_until_us = now_us + LEAVING_EJECTION_US;
		add_service_time(upstream->service, report, now_us);
		if (report->stats) {
			add_route_latency(report->stats, (double)report->latency_us);
			add_latency_ratio(upstream,
					  (double)report->latency_us / report->stats->mean_us,
					  now_us);
		}
		break;
	case PD_REPORT_FAILURE:
		record_failure(upstream, "failure", now_us);
		break;
	case PD_REPORT_REJECTED:
		/* The upstream is overloaded: without a load report, a high load is assumed. */
		if (!report->has_load) {
			upstream->reported_load = 2.0 * upstream->slots;
			upstream->load_reported_us = now_us;
		}
		add_failure_sample(upstream, now_us);
		break;
	case PD_REPORT_WRONG_INSTANCE:
		upstream->replaced = true;
		pd_pool_close_idle_locked(upstream);
		pd_log(PD_LOG_INFO, "upstream_replaced", "upstream=%s service=%s address=%s",
		       upstream->id.text, upstream->service->name.text, upstream->address_text);
		break;
	case PD_REPORT_UNREACHABLE:
		upstream->failures += FAILURES_TO_EJECT - 1;
		record_failure(upstream, "unreached", now_us);
		record_overdue(upstream, now_us);
		break;
	case PD_REPORT_TIMEOUT:
		record_failure(upstream, "silent", now_us);
		record_overdue(upstream, now_us);
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
	if (report->answered)
		upstream->answered_us = now_us;
	apply_report(registry, upstream, report, now_us);
	pd_version_count_result_locked(upstream, report, now_us);
	upstream->in_flight--;
	pd_registry_unref_locked(upstream);
	pthread_mutex_unlock(&registry->lock);
}

bool pd_registry_answered_since(struct pd_registry *registry, const struct pd_name *id,
				int64_t started_unix_ms, int64_t since_us)
{
	struct pd_upstream *upstream;
	bool answered;

	pthread_mutex_lock(&registry->lock);
	HASH_FIND(hh, registry->upstreams, id->text, id->len, upstream);
	answered = upstream && upstream->started_unix_ms == started_unix_ms &&
		   upstream->answered_us > since_us;
	pthread_mutex_unlock(&registry->lock);
	return answered;
}

/* Whether the service has upstreams that aren't draining, and all of them are in unreachable zones.
 */
static bool is_unreachable(const struct pd_service *service)
{
	bool has_upstreams = false;

	for (const struct pd_upstream *u = service->upstreams; u; u = u->next) {
		if (pd_permit_is_final_locked(u))
			continue;
		if (!u->zone->unreachable)
			return false;
		has_upstreams = true;
	}
	return has_upstreams;
}

double pd_registry_reachable_share(struct pd_registry *registry)
{
	size_t total = 0, unreachable_count = 0;
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
			unreachable_count += service && is_unreachable(service);
		}
	}
	pthread_mutex_unlock(&registry->lock);
	return total ? 1 - (double)unreachable_count / (double)total : 1;
}

struct pd_upstream *pd_registry_probe_target(struct pd_registry *registry, int64_t now_us)
{
	struct pd_upstream *found = NULL;
	struct pd_zone *zone, *next;

	pthread_mutex_lock(&registry->lock);
	HASH_ITER(hh, registry->zones, zone, next)
	{
		size_t zone_upstreams = 0;

		if (found || !zone->unreachable || now_us < zone->next_probe_us)
			continue;
		for (struct pd_upstream *u = registry->upstreams; u; u = u->hh.next) {
			if (u->zone != zone || !pd_permit_allows_probe_locked(u, now_us))
				continue;
			/* Reservoir sampling: all upstreams of the zone are equally likely. */
			if (pd_registry_random_locked(registry) % ++zone_upstreams == 0)
				found = u;
		}
		zone->next_probe_us = now_us + ZONE_PROBE_INTERVAL_US;
	}
	if (found)
		found->references++;
	pthread_mutex_unlock(&registry->lock);
	return found;
}
