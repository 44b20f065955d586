#include "router.h"

#include <math.h>
#include <search.h>
#include <stdlib.h>
#include <string.h>

/*
 * Weight of a new latency in the moving average of an upstream. The average follows a change within
 * about 10 replies, and a single straggler doesn't raise it to SLOW_RATIO times its former value.
 */
#define LATENCY_WEIGHT 0.1
/* Time constant of the exponential decay of a reported queueing delay. */
#define QUEUE_DECAY_US	   (1.0 * PD_USEC_PER_SEC)
#define INITIAL_LATENCY_US (100.0 * PD_USEC_PER_MSEC) /* expected time before the first reply */
/*
 * The weight of an upstream in the random choice is divided by
 * (1 + LOAD_GAIN * load)^LOAD_EXPONENT. Of two equal upstreams, the one with one more sub-request
 * of this coordinator in flight is rarely chosen until that sub-request ends.
 */
#define LOAD_GAIN     2.0
#define LOAD_EXPONENT 8.0
/* An upstream whose expected time is above this multiple of the best one's gets only probes. */
#define SLOW_RATIO  2.0
#define PROBE_SHARE (1.0 / 50) /* probability that a sub-request probes a slow upstream */
/* Time since the latest probe after which one is sent even without a token for its hedge. */
#define PROBE_INTERVAL_MAX_US (1 * PD_USEC_PER_SEC)
/*
 * The latency of a cancelled sub-request is a lower bound (a censored sample). It is multiplied by
 * this factor, since a straggler would usually have taken much longer.
 */
#define CENSORED_FACTOR 2
/* Ejection time after a failure; doubled for each further failure. */
#define EJECTION_MIN_US	 (100 * PD_USEC_PER_MSEC)
#define EJECTION_MAX_US	 (3 * PD_USEC_PER_SEC)
#define RAMP_START_SHARE 0.05 /* share of normal load at the start of a zone's ramp */
#define BURST_MIN_TOKENS 4.0 /* minimum capacity of the hedge budget */
/*
 * How far overdue sub-requests may overdraw the hedge budget: a fixed number of tokens, plus this
 * multiple of the budget's capacity. Stragglers come in bursts at one coordinator of many; without
 * the overdraft, 6% of stragglers were not hedged although the fleet as a whole had budget left.
 */
#define OVERDRAFT_MIN_TOKENS   8.0
#define OVERDRAFT_BURST_FACTOR 2.0
#define RETRY_BURST_MIN_TOKENS 10.0 /* minimum capacity of the retry budget */
/* How much lower the logarithm of the hedge delay is with a full hedge budget than an empty one. */
#define BUDGET_LEVEL_GAIN 0.3
#define BURST_SECONDS	  1.0 /* seconds of traffic whose budget can be saved up */
/*
 * The hedge delay is a factor times a quantile of the latencies of the service. The quantile adapts
 * it to the latency of the service. 512 samples can't separate the 97th percentile from 2% of
 * stragglers, so the quantile is lower and the factor, which adapts to the budget use of all
 * services, moves the delay into the tail.
 */
#define DELAY_QUANTILE	  0.9
#define QUANTILE_INTERVAL 32 /* samples between two computations of the quantile */
/* Before the first quantile, it is estimated as this multiple of the mean. */
#define QUANTILE_TO_MEAN_RATIO 1.5
#define DELAY_FACTOR_START     1.35
#define DELAY_FACTOR_MIN       0.7
#define DELAY_FACTOR_MAX       4.0
#define DELAY_FACTOR_STEP      0.00005 /* greatest change of its logarithm per first sub-request */
#define DELAY_MAX_RATIO	       5.0 /* maximum hedge delay, as a multiple of the best expected time */
/* Admission control looks at a sliding window, which is divided into intervals. */
#define ADMIT_WINDOW_US	  (2 * PD_USEC_PER_SEC)
#define ADMIT_INTERVALS	  20
#define ADMIT_INTERVAL_US (ADMIT_WINDOW_US / ADMIT_INTERVALS)
#define ADMIT_FACTOR	  1.5 /* requests above this multiple of the accepted ones are rejected */
/* 10% are always admitted, so that the end of an overload is detected at low rates too. */
#define ADMIT_REJECT_MAX 0.9

/** struct tree_node - common start of the nodes of the tsearch() trees, which are sorted by name */
struct tree_node {
	struct pd_name name;
};

/**
 * struct upstream_stats - what this coordinator has observed of an upstream
 * @node: entry in the tree
 * @log_us: exponentially weighted moving average of the logarithm of latencies in microseconds
 * @mean_us: exp(@log_us), the geometric mean of the latencies in microseconds
 * @has_samples: at least one latency was recorded
 * @queue_us: queueing delay in the latest reply that reported it, in microseconds
 * @queue_at_us: time of that reply
 * @ejected_until_us: time until which the upstream is ejected
 * @ejection_us: duration of the ejection in microseconds; 0 unless the latest attempt failed
 * @half_open: the ejection has ended, and one sub-request was sent to test the upstream
 * @probe_at_us: time of the latest probe
 * @in_flight: number of sub-requests of this coordinator in flight
 *
 * All times are monotonic, in microseconds.
 */
struct upstream_stats {
	struct tree_node node;
	double log_us;
	double mean_us;
	bool has_samples;
	double queue_us;
	int64_t queue_at_us;
	int64_t ejected_until_us;
	int64_t ejection_us;
	bool half_open;
	int64_t probe_at_us;
	uint32_t in_flight;
};

/**
 * struct service_stats - latencies of a service
 * @node: entry in the tree
 * @latency: latencies of replies of its upstreams that aren't slow
 * @quantile_us: DELAY_QUANTILE of @latency, in microseconds; 0 until it is first computed
 * @samples_since_quantile: number of samples since @quantile_us was computed
 */
struct service_stats {
	struct tree_node node;
	struct pd_latency latency;
	double quantile_us;
	uint32_t samples_since_quantile;
};

/**
 * struct zone_state - state of an availability zone
 * @node: entry in the tree
 * @out: the configuration marks the zone as out
 * @in_since_us: monotonic time at which it was last put back into service, in microseconds
 * @ramping: its share of the load is still increasing
 */
struct zone_state {
	struct tree_node node;
	bool out;
	int64_t in_since_us;
	bool ramping;
};

/**
 * struct admit_interval - counts of normal queries in one interval of the sliding window
 * @number: monotonic time divided by ADMIT_INTERVAL_US
 * @requests: queries that were rejected here, or have ended
 * @accepts: queries that have ended and were not refused due to load
 */
struct admit_interval {
	int64_t number;
	double requests;
	double accepts;
};

/**
 * struct node_cache - tree nodes by index in the configuration
 * @nodes: node of each index, or NULL; its name must be checked, since indices can change
 * @count: number of entries in @nodes
 */
struct node_cache {
	void **nodes;
	uint32_t count;
};

/**
 * struct pd_router - state of the router
 * @mutex: guards the members below
 * @own_zone: availability zone of this instance
 * @random_state: state of the random generator
 * @upstreams: tsearch() tree of struct upstream_stats
 * @services: tsearch() tree of struct service_stats
 * @zones: tsearch() tree of struct zone_state
 * @upstream_cache: nodes of @upstreams
 * @service_cache: nodes of @services
 * @hedge_tokens: tokens in the hedge budget; negative when overdrawn
 * @hedge_tokens_max: capacity of the hedge budget, in tokens
 * @retry_tokens: tokens in the retry budget
 * @log_us: moving average of the logarithm of latencies of all upstreams, in microseconds
 * @samples: number of latencies in @log_us
 * @rate: number of first sub-requests in about the last second, exponentially decaying
 * @rate_at_us: monotonic time at which @rate was updated, in microseconds
 * @log_delay_factor: logarithm of the factor of the hedge delay
 * @intervals: sliding window for admission control, a ring indexed by the interval's number
 */
struct pd_router {
	pthread_mutex_t mutex;
	struct pd_name own_zone;
	uint64_t random_state;
	void *upstreams;
	void *services;
	void *zones;
	struct node_cache upstream_cache;
	struct node_cache service_cache;
	double hedge_tokens;
	double hedge_tokens_max;
	double retry_tokens;
	double log_us;
	uint64_t samples;
	double rate;
	int64_t rate_at_us;
	double log_delay_factor;
	struct admit_interval intervals[ADMIT_INTERVALS];
};

/* splitmix64: random enough to spread load, and reproducible from a seed. Returns 0 to below 1. */
static double random_uniform(struct pd_router *r)
{
	uint64_t z = r->random_state += 0x9e3779b97f4a7c15ULL;

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return (double)((z ^ (z >> 31)) >> 11) * 0x1.0p-53;
}

static int compare_names(const void *a, const void *b)
{
	const struct tree_node *x = a;
	const struct tree_node *y = b;

	return pd_str_compare(pd_name_str(&x->name), pd_name_str(&y->name));
}

/* Finds or creates the node of @name; returns NULL if out of memory. */
static void *node_get(void **tree, const struct pd_name *name, size_t size)
{
	struct tree_node key = {.name = *name};
	void *found = tfind(&key, tree, compare_names);
	struct tree_node *node;

	if (found)
		return *(void **)found;
	node = calloc(1, size);
	if (!node)
		return NULL;
	node->name = *name;
	if (!tsearch(node, tree, compare_names)) {
		free(node);
		return NULL;
	}
	return node;
}

/* Like node_get(), but looks in @cache first: the name at an @index rarely changes. */
static void *node_cached(struct node_cache *cache, void **tree, uint32_t index,
			 const struct pd_name *name, size_t size)
{
	struct tree_node *node = index < cache->count ? cache->nodes[index] : NULL;

	if (node && pd_name_equal(&node->name, name))
		return node;
	node = node_get(tree, name, size);
	if (index >= cache->count) {
		uint32_t count = 2 * index + 64;
		void **nodes = realloc(cache->nodes, count * sizeof(*nodes));

		if (!nodes)
			return node;
		memset(nodes + cache->count, 0, (count - cache->count) * sizeof(*nodes));
		cache->nodes = nodes;
		cache->count = count;
	}
	cache->nodes[index] = node;
	return node;
}

static struct upstream_stats *upstream_get(struct pd_router *r, const struct pd_config *config,
					   uint32_t upstream)
{
	return node_cached(&r->upstream_cache, &r->upstreams, upstream,
			   &config->upstreams[upstream].name, sizeof(struct upstream_stats));
}

static struct service_stats *service_get(struct pd_router *r, const struct pd_config *config,
					 uint32_t upstream)
{
	uint32_t service = config->upstreams[upstream].service;
	struct service_stats *stats =
		node_cached(&r->service_cache, &r->services, service,
			    &config->services[service].name, sizeof(struct service_stats));

	if (stats && !stats->latency.count)
		pd_latency_init(&stats->latency);
	return stats;
}

enum pd_code pd_router_open(struct pd_router **router, struct pd_str own_zone, uint64_t seed,
			    struct pd_error *err)
{
	struct pd_router *r = calloc(1, sizeof(*r));

	*router = NULL;
	if (!r)
		return pd_error_set(err, PD_LAYER_STATE, PD_NO_MEMORY,
				    "out of memory for the router");
	pthread_mutex_init(&r->mutex, NULL);
	pd_name_set(&r->own_zone, own_zone);
	r->random_state = seed;
	r->hedge_tokens = 1;
	r->retry_tokens = RETRY_BURST_MIN_TOKENS;
	r->hedge_tokens_max = BURST_MIN_TOKENS;
	r->log_delay_factor = log(DELAY_FACTOR_START);
	*router = r;
	return PD_OK;
}

void pd_router_close(struct pd_router *router)
{
	if (!router)
		return;
	tdestroy(router->upstreams, free);
	tdestroy(router->services, free);
	tdestroy(router->zones, free);
	free(router->upstream_cache.nodes);
	free(router->service_cache.nodes);
	pthread_mutex_destroy(&router->mutex);
	free(router);
}

static void zone_update(struct pd_router *r, const struct pd_zone *zone, int64_t now_us)
{
	struct zone_state *state = node_get(&r->zones, &zone->name, sizeof(*state));

	if (!state)
		return;
	if (state->out && !zone->out) {
		state->ramping = true;
		state->in_since_us = now_us;
	}
	state->out = zone->out;
}

void pd_router_update_config(struct pd_router *router, const struct pd_config *config,
			     int64_t now_us)
{
	pthread_mutex_lock(&router->mutex);
	for (uint32_t i = 0; i < config->zone_count; i++)
		zone_update(router, &config->zones[i], now_us);
	pthread_mutex_unlock(&router->mutex);
}

/* Share of normal load that a zone gets: below 1 while it ramps up after its return to service. */
static double zone_ramp_share(struct pd_router *r, const struct pd_name *name, int64_t now_us)
{
	struct tree_node key = {.name = *name};
	void *found = tfind(&key, &r->zones, compare_names);
	struct zone_state *zone = found ? *(struct zone_state **)found : NULL;
	double progress;

	if (!zone || !zone->ramping)
		return 1;
	progress = (double)(now_us - zone->in_since_us) / PD_ZONE_RAMP_US;
	if (progress >= 1)
		zone->ramping = false;
	return progress >= 1
		       ? 1
		       : RAMP_START_SHARE + (1 - RAMP_START_SHARE) * (progress > 0 ? progress : 0);
}

/* Expected time of a sub-request: mean latency, plus the latest queueing delay, which decays. */
static double expected_us(const struct upstream_stats *stats, int64_t now_us)
{
	double age = (double)(now_us - stats->queue_at_us);

	if (stats->queue_us <= 0)
		return stats->mean_us;
	return stats->mean_us + stats->queue_us * exp(-(age > 0 ? age : 0) / QUEUE_DECAY_US);
}

#define CANDIDATES_MAX 16 /* maximum number of upstreams of a service that are considered */

/**
 * struct candidates - upstreams of a service that a sub-request may be sent to
 * @index: index of each upstream in the configuration
 * @stats: observations of each upstream
 * @expected: expected time of a sub-request, in microseconds
 * @weight: weight in the random choice
 * @share: share of normal load, below 1 while the zone ramps up
 * @ejected: ejected after a recent failure
 * @count: number of candidates
 * @best: shortest expected time of the service's upstreams, in microseconds
 */
struct candidates {
	uint32_t index[CANDIDATES_MAX];
	struct upstream_stats *stats[CANDIDATES_MAX];
	double expected[CANDIDATES_MAX];
	double weight[CANDIDATES_MAX];
	double share[CANDIDATES_MAX];
	bool ejected[CANDIDATES_MAX];
	uint32_t count;
	double best;
};

static bool contains(const uint32_t *items, uint32_t count, uint32_t item)
{
	for (uint32_t i = 0; i < count; i++) {
		if (items[i] == item)
			return true;
	}
	return false;
}

/*
 * Shortest expected time in microseconds of the upstreams of @service that are in, not ejected, and
 * have samples; 0 if there is none.
 */
static double best_expected(struct pd_router *r, const struct pd_config *config, uint32_t service,
			    int64_t now_us)
{
	const struct pd_service *s = &config->services[service];
	double best = 0;

	for (uint32_t i = 0; i < s->upstream_count; i++) {
		const struct pd_upstream_config *u = &config->upstreams[s->upstreams[i]];
		struct upstream_stats *stats = upstream_get(r, config, s->upstreams[i]);

		if (!stats || !stats->has_samples || u->out || config->zones[u->zone].out)
			continue;
		if (stats->ejection_us && now_us < stats->ejected_until_us)
			continue;
		if (best == 0 || expected_us(stats, now_us) < best)
			best = expected_us(stats, now_us);
	}
	return best;
}

/* Weight of an upstream in the random choice; see LOAD_GAIN. */
static double load_weight(double expected, uint32_t in_flight, uint32_t slots)
{
	double load = (double)in_flight / (slots ? slots : 1);

	return pow(1 + LOAD_GAIN * load, -LOAD_EXPONENT) / (expected * expected);
}

static void fill_candidates(struct pd_router *r, struct candidates *c,
			    const struct pd_config *config, uint32_t service, const uint32_t *tried,
			    uint32_t tried_count, int64_t now_us)
{
	const struct pd_service *s = &config->services[service];

	c->count = 0;
	c->best = best_expected(r, config, service, now_us);
	if (c->best == 0)
		c->best = INITIAL_LATENCY_US;
	for (uint32_t i = 0; i < s->upstream_count && c->count < CANDIDATES_MAX; i++) {
		uint32_t index = s->upstreams[i];
		const struct pd_upstream_config *u = &config->upstreams[index];
		struct upstream_stats *stats;

		if (u->out || config->zones[u->zone].out || contains(tried, tried_count, index))
			continue;
		stats = upstream_get(r, config, index);
		if (!stats)
			continue;
		c->index[c->count] = index;
		c->stats[c->count] = stats;
		c->expected[c->count] = stats->has_samples ? expected_us(stats, now_us) : c->best;
		/*
		 * Sub-requests of this coordinator count by @in_flight; those of others are part of
		 * the queueing delay in the expected time.
		 */
		c->weight[c->count] =
			load_weight(c->expected[c->count], stats->in_flight, u->slots);
		c->share[c->count] = zone_ramp_share(r, &config->zones[u->zone].name, now_us);
		c->ejected[c->count] = stats->ejection_us && now_us < stats->ejected_until_us;
		c->count++;
	}
}

static bool is_slow(const struct candidates *c, uint32_t i)
{
	return c->expected[i] > SLOW_RATIO * c->best;
}

/* Whether to probe a slow upstream with a new sub-request, to find out whether it has recovered. */
static bool probe_due(struct pd_router *r, struct upstream_stats *stats, int64_t now_us)
{
	if (random_uniform(r) >= PROBE_SHARE)
		return false;
	/* Without a token for the hedge, the probe would delay the answer of the whole query. */
	if (r->hedge_tokens < 1 && now_us - stats->probe_at_us < PROBE_INTERVAL_MAX_US)
		return false;
	stats->probe_at_us = now_us;
	return true;
}

/*
 * Weighted random choice among the candidates that are neither slow nor ejected, leaving out
 * candidate @except. Returns c->count if there is none.
 */
static uint32_t choose_fast(struct pd_router *r, const struct candidates *c, uint32_t except)
{
	double total = 0;
	double point;

	for (uint32_t i = 0; i < c->count; i++) {
		if (i != except && !c->ejected[i] && !is_slow(c, i))
			total += c->weight[i];
	}
	point = random_uniform(r) * total;
	for (uint32_t i = 0; i < c->count; i++) {
		if (i == except || c->ejected[i] || is_slow(c, i))
			continue;
		point -= c->weight[i];
		if (point <= 0)
			return i;
	}
	return c->count;
}

/*
 * Choice if all candidates are slow or ejected: of those that aren't ejected, the one with the
 * shortest expected time; if all are, the one whose ejection ends first.
 */
static uint32_t choose_fallback(const struct candidates *c)
{
	uint32_t best = c->count;

	for (uint32_t i = 0; i < c->count; i++) {
		if (best == c->count || c->ejected[i] < c->ejected[best] ||
		    (c->ejected[i] == c->ejected[best] &&
		     (c->ejected[i]
			      ? c->stats[i]->ejected_until_us < c->stats[best]->ejected_until_us
			      : c->expected[i] < c->expected[best])))
			best = i;
	}
	return best;
}

/*
 * Chooses a candidate whose ejection has ended. It gets this one sub-request and is ejected again
 * until that succeeds (half-open, as in a circuit breaker).
 */
static uint32_t choose_half_open(const struct candidates *c, int64_t now_us)
{
	for (uint32_t i = 0; i < c->count; i++) {
		struct upstream_stats *stats = c->stats[i];

		if (!stats->ejection_us || c->ejected[i])
			continue;
		stats->ejected_until_us = now_us + stats->ejection_us;
		stats->half_open = true;
		return i;
	}
	return c->count;
}

/* Chooses the upstream of a first sub-request. */
static uint32_t choose_first(struct pd_router *r, const struct candidates *c, int64_t now_us)
{
	uint32_t selected = choose_half_open(c, now_us);

	if (selected < c->count)
		return selected;
	for (uint32_t i = 0; i < c->count; i++) {
		if (!c->ejected[i] && is_slow(c, i) && probe_due(r, c->stats[i], now_us))
			return i;
	}
	selected = choose_fast(r, c, c->count);
	if (selected < c->count && c->share[selected] < 1 &&
	    random_uniform(r) >= c->share[selected]) {
		uint32_t other = choose_fast(r, c, selected);

		if (other < c->count)
			selected = other;
	}
	return selected;
}

uint32_t pd_router_choose(struct pd_router *router, const struct pd_config *config,
			  uint32_t service, const uint32_t *tried, uint32_t tried_count,
			  int64_t now_us)
{
	struct candidates c;
	uint32_t selected;

	pthread_mutex_lock(&router->mutex);
	fill_candidates(router, &c, config, service, tried, tried_count, now_us);
	selected =
		tried_count ? choose_fast(router, &c, c.count) : choose_first(router, &c, now_us);
	if (selected == c.count)
		selected = choose_fallback(&c);
	pthread_mutex_unlock(&router->mutex);
	return selected < c.count ? c.index[selected] : PD_CONFIG_NONE;
}

uint32_t pd_router_choose_hedge(struct pd_router *router, const struct pd_config *config,
				uint32_t service, uint32_t running, int64_t now_us)
{
	struct candidates c;
	uint32_t selected;

	pthread_mutex_lock(&router->mutex);
	fill_candidates(router, &c, config, service, &running, 1, now_us);
	selected = choose_fast(router, &c, c.count);
	pthread_mutex_unlock(&router->mutex);
	return selected < c.count ? c.index[selected] : running;
}

static int64_t hedge_delay(struct pd_router *r, const struct pd_config *config, uint32_t upstream,
			   int64_t now_us)
{
	struct upstream_stats *stats = upstream_get(r, config, upstream);
	struct service_stats *service = service_get(r, config, upstream);
	double best = best_expected(r, config, config->upstreams[upstream].service, now_us);
	double overall_mean = r->samples ? exp(r->log_us) : INITIAL_LATENCY_US;
	double fallback = QUANTILE_TO_MEAN_RATIO * (best > 0 ? best : overall_mean);
	double delay = fallback;

	/* Hedge at once if the upstream is slow even without its queue, which may be temporary. */
	if (stats && stats->has_samples && best > 0 && stats->mean_us > SLOW_RATIO * best)
		return 0;
	if (service && service->quantile_us > 0)
		delay = service->quantile_us;
	/* A low budget lengthens the delay, which saves tokens for the slowest sub-requests. */
	delay *= exp(r->log_delay_factor +
		     BUDGET_LEVEL_GAIN * (0.5 - fmax(0, r->hedge_tokens) / r->hedge_tokens_max));
	if (best > 0 && delay > DELAY_MAX_RATIO * best)
		delay = DELAY_MAX_RATIO * best;
	return (int64_t)delay;
}

int64_t pd_router_hedge_delay(struct pd_router *router, const struct pd_config *config,
			      uint32_t upstream)
{
	int64_t delay;

	pthread_mutex_lock(&router->mutex);
	delay = hedge_delay(router, config, upstream, router->rate_at_us);
	pthread_mutex_unlock(&router->mutex);
	return delay;
}

static void increment_in_flight(struct pd_router *r, const struct pd_config *config,
				uint32_t upstream)
{
	struct upstream_stats *stats = upstream_get(r, config, upstream);

	if (stats)
		stats->in_flight++;
}

void pd_router_extra_sent(struct pd_router *router, const struct pd_config *config,
			  uint32_t upstream)
{
	pthread_mutex_lock(&router->mutex);
	increment_in_flight(router, config, upstream);
	pthread_mutex_unlock(&router->mutex);
}

void pd_router_sent(struct pd_router *router, const struct pd_config *config, uint32_t upstream,
		    int64_t now_us)
{
	double age;

	pthread_mutex_lock(&router->mutex);
	increment_in_flight(router, config, upstream);
	age = (double)(now_us - router->rate_at_us) / PD_USEC_PER_SEC;
	router->rate = 1 + router->rate * exp(-(age > 0 ? age : 0));
	router->rate_at_us = now_us;
	router->hedge_tokens_max =
		BURST_MIN_TOKENS + PD_HEDGE_BUDGET_SHARE * router->rate * BURST_SECONDS;
	router->hedge_tokens =
		fmin(router->hedge_tokens_max, router->hedge_tokens + PD_HEDGE_BUDGET_SHARE);
	router->retry_tokens = fmin(RETRY_BURST_MIN_TOKENS + PD_RETRY_BUDGET_SHARE * router->rate,
				    router->retry_tokens + PD_RETRY_BUDGET_SHARE);
	/* Keeps the budget half full: the fuller it is, the shorter the hedge delay becomes. */
	router->log_delay_factor +=
		DELAY_FACTOR_STEP *
		(1 - 2 * fmax(-1, router->hedge_tokens / router->hedge_tokens_max));
	router->log_delay_factor =
		fmin(log(DELAY_FACTOR_MAX), fmax(log(DELAY_FACTOR_MIN), router->log_delay_factor));
	pthread_mutex_unlock(&router->mutex);
}

/* Takes one token from @tokens, which may fall to -@overdraft_max. Called with the mutex held. */
static bool take_token(double *tokens, double overdraft_max)
{
	if (*tokens + overdraft_max < 1)
		return false;
	*tokens -= 1;
	return true;
}

bool pd_router_take_hedge_token(struct pd_router *router)
{
	bool taken;

	pthread_mutex_lock(&router->mutex);
	taken = take_token(&router->hedge_tokens, 0);
	pthread_mutex_unlock(&router->mutex);
	return taken;
}

bool pd_router_take_overdue_token(struct pd_router *router)
{
	bool taken;

	pthread_mutex_lock(&router->mutex);
	taken = take_token(&router->hedge_tokens,
			   OVERDRAFT_MIN_TOKENS +
				   OVERDRAFT_BURST_FACTOR * router->hedge_tokens_max);
	pthread_mutex_unlock(&router->mutex);
	return taken;
}

bool pd_router_take_retry_token(struct pd_router *router)
{
	bool taken;

	pthread_mutex_lock(&router->mutex);
	taken = take_token(&router->retry_tokens, 0);
	pthread_mutex_unlock(&router->mutex);
	return taken;
}

static void add_service_sample(struct service_stats *service, int64_t us)
{
	pd_latency_add(&service->latency, us);
	if (++service->samples_since_quantile < QUANTILE_INTERVAL)
		return;
	service->samples_since_quantile = 0;
	service->quantile_us = (double)pd_latency_quantile(&service->latency, DELAY_QUANTILE, us);
}

static void add_latency_sample(struct pd_router *r, const struct pd_config *config,
			       uint32_t upstream, struct upstream_stats *stats, int64_t us,
			       int64_t now_us)
{
	struct service_stats *service = service_get(r, config, upstream);
	double best = best_expected(r, config, config->upstreams[upstream].service, now_us);
	double sample = log((double)(us > 1 ? us : 1));

	r->samples++;
	r->log_us += fmax(LATENCY_WEIGHT / 10, 1.0 / (double)r->samples) * (sample - r->log_us);
	/* The first reply may be a straggler, so the average starts at that of all upstreams. */
	if (!stats->has_samples)
		stats->log_us = r->log_us;
	stats->log_us += LATENCY_WEIGHT * (sample - stats->log_us);
	stats->has_samples = true;
	stats->mean_us = exp(stats->log_us);
	/* Leave out slow upstreams, which would lengthen the hedge delay of the whole service. */
	if (service && (best == 0 || expected_us(stats, now_us) <= SLOW_RATIO * best))
		add_service_sample(service, us);
}

static void record_failure(struct upstream_stats *stats, int64_t now_us)
{
	/* Sub-requests in flight at the same time fail together and count as one failure. */
	if (stats->ejection_us && !stats->half_open)
		return;
	stats->half_open = false;
	stats->ejection_us = stats->ejection_us ? stats->ejection_us * 2 : EJECTION_MIN_US;
	if (stats->ejection_us > EJECTION_MAX_US)
		stats->ejection_us = EJECTION_MAX_US;
	stats->ejected_until_us = now_us + stats->ejection_us;
}

static void record_reply(struct pd_router *r, const struct pd_config *config, uint32_t upstream,
			 struct upstream_stats *stats, enum pd_substatus status, int64_t total_us,
			 int64_t now_us)
{
	switch (status) {
	case PD_SUB_OK:
		stats->ejection_us = 0;
		add_latency_sample(r, config, upstream, stats, total_us, now_us);
		break;
	case PD_SUB_CANCELLED:
	case PD_SUB_LATE:
		/* @total_us is only a lower bound, and not informative if it is below the mean. */
		if (!stats->has_samples || (double)total_us > stats->mean_us)
			add_latency_sample(r, config, upstream, stats, CENSORED_FACTOR * total_us,
					   now_us);
		break;
	case PD_SUB_LOST:
	case PD_SUB_NO_UPSTREAM:
	case PD_SUB_LEAVING:
	case PD_SUB_ZONE_OUT:
	case PD_SUB_NOT_OWNER:
		record_failure(stats, now_us);
		break;
	default:
		break;
	}
}

void pd_router_reply(struct pd_router *router, const struct pd_config *config, uint32_t upstream,
		     enum pd_substatus status, int64_t total_us, int64_t queue_us, int64_t now_us)
{
	struct upstream_stats *stats;

	pthread_mutex_lock(&router->mutex);
	stats = upstream_get(router, config, upstream);
	if (stats) {
		stats->in_flight -= stats->in_flight > 0;
		record_reply(router, config, upstream, stats, status, total_us, now_us);
		if (status == PD_SUB_OK || status == PD_SUB_BUSY || status == PD_SUB_OVERLOADED ||
		    status == PD_SUB_DEADLINE) {
			stats->queue_us = (double)(queue_us > 0 ? queue_us : 0);
			stats->queue_at_us = now_us;
		}
	}
	pthread_mutex_unlock(&router->mutex);
}

uint32_t pd_router_shorter_queue(struct pd_router *router, const struct pd_config *config,
				 uint32_t other, uint32_t busy, int64_t now_us)
{
	const struct upstream_stats *other_stats, *busy_stats;
	uint32_t chosen = other;

	pthread_mutex_lock(&router->mutex);
	other_stats = upstream_get(router, config, other);
	busy_stats = upstream_get(router, config, busy);
	if (other_stats && busy_stats && other_stats->queue_us > 0 &&
	    expected_us(busy_stats, now_us) < expected_us(other_stats, now_us))
		chosen = busy;
	pthread_mutex_unlock(&router->mutex);
	return chosen;
}

static struct admit_interval *admit_interval(struct pd_router *r, int64_t now_us)
{
	int64_t number = now_us / ADMIT_INTERVAL_US;
	struct admit_interval *interval = &r->intervals[number % ADMIT_INTERVALS];

	if (interval->number != number)
		*interval = (struct admit_interval){.number = number};
	return interval;
}

/*
 * Adaptive throttling: over the sliding window, the share of rejected queries is
 * (requests - ADMIT_FACTOR * accepts) / (requests + 1). An admitted query is counted when it ends:
 * if it were counted at its start, a burst after an idle time would look like requests without
 * accepts.
 */
bool pd_router_admit(struct pd_router *router, enum pd_urgency urgency, int64_t now_us)
{
	int64_t number = now_us / ADMIT_INTERVAL_US;
	double requests = 0;
	double accepts = 0;
	double rejected_share;
	bool admitted;

	if (urgency == PD_URGENT)
		return true;
	pthread_mutex_lock(&router->mutex);
	for (int i = 0; i < ADMIT_INTERVALS; i++) {
		if (router->intervals[i].number <= number - ADMIT_INTERVALS)
			continue;
		requests += router->intervals[i].requests;
		accepts += router->intervals[i].accepts;
	}
	rejected_share = (requests - ADMIT_FACTOR * accepts) / (requests + 1);
	admitted = random_uniform(router) >= fmin(rejected_share, ADMIT_REJECT_MAX);
	if (!admitted)
		admit_interval(router, now_us)->requests += 1;
	pthread_mutex_unlock(&router->mutex);
	return admitted;
}

void pd_router_query_done(struct pd_router *router, enum pd_urgency urgency, bool overloaded,
			  int64_t now_us)
{
	struct admit_interval *interval;

	if (urgency == PD_URGENT)
		return;
	pthread_mutex_lock(&router->mutex);
	interval = admit_interval(router, now_us);
	interval->requests += 1;
	interval->accepts += overloaded ? 0 : 1;
	pthread_mutex_unlock(&router->mutex);
}
