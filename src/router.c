#include "router.h"

#include <math.h>
#include <search.h>
#include <stdlib.h>
#include <string.h>

/* A weight of 0.1 follows a change within about 10 replies; single stragglers stay below
 * SLOW_RATIO. */
#define LATENCY_WEIGHT 0.1
#define QUEUE_DECAY_US (1.0 * PD_USEC_PER_SEC)
#define FALLBACK_US    (100.0 * PD_USEC_PER_MSEC) /* expected time before any reply */
/* An upstream this many times slower than the best of its service gets only probes. */
/* Two upstreams alike: one with a sub-request more of this coordinator gets few until it ends. */
#define LOAD_GAIN      2.0
#define LOAD_EXPONENT  8.0
#define SLOW_RATIO     2.0
#define PROBE_SHARE    (1.0 / 50)
#define PROBE_FORCE_US (1 * PD_USEC_PER_SEC) /* most time without a probe for lack of budget */
/* A cancelled sub-request would have taken longer than observed; stragglers usually much longer. */
#define CENSORED_FACTOR 2
#define AVOID_MIN_US	(100 * PD_USEC_PER_MSEC)
#define AVOID_MAX_US	(3 * PD_USEC_PER_SEC)
#define RAMP_START	0.05
#define BURST_MIN	4.0 /* tokens */
/*
 * Stragglers come in bursts at one coordinator of many. What is surely one may borrow from later
 * earnings; without that 6% of stragglers went unhedged while the fleet as a whole had budget left.
 */
#define DEBT_MIN	8.0 /* tokens */
#define DEBT_BURSTS	2.0
#define RETRY_BURST_MIN 10.0 /* tokens */
#define BUCKET_GAIN	0.3 /* of the logarithm of the hedge delay, from an empty to a full bucket */
#define BURST_SECONDS	1.0 /* of the earnings of the traffic */
/*
 * The hedge delay is a factor times a quantile of the service. The quantile sets the scale; 512
 * samples don't tell the 97th percentile apart from stragglers of 2%, so the factor, which follows
 * the budget of all services, reaches into the tail.
 */
#define SCALE_QUANTILE	0.9
#define SCALE_EVERY	32 /* samples between two quantiles; before the first: FALLBACK_RATIO */
#define FALLBACK_RATIO	1.5 /* about that quantile over the mean */
#define FACTOR_START	1.35
#define FACTOR_MIN	0.7
#define FACTOR_MAX	4.0
#define FACTOR_STEP	0.00005 /* of its logarithm, for each first sub-request */
#define DELAY_MEAN_MAX	5.0 /* hedge delay in expected times of the best upstream */
#define ADMIT_WINDOW_US (2 * PD_USEC_PER_SEC)
#define ADMIT_CELLS	20
#define ADMIT_CELL_US	(ADMIT_WINDOW_US / ADMIT_CELLS)
#define ADMIT_FACTOR	1.5
/* A tenth always passes, so that the end of an overload is noticed at low rates too. */
#define ADMIT_REFUSE_MAX 0.9

struct node {
	struct pd_name name;
};

struct upstream_node {
	struct node node;
	double log_us; /* exponentially weighted mean of the logarithm of latencies */
	double mean_us; /* exp(@log_us) */
	bool known;
	double queue_us;
	int64_t queue_at_us;
	int64_t avoid_until_us;
	int64_t avoid_us; /* 0 unless the latest attempt failed */
	bool trial; /* a sub-request was sent after the time of avoidance */
	int64_t probe_at_us;
	uint32_t in_flight; /* of this coordinator */
};

struct service_node {
	struct node node;
	struct pd_latency latency;
	double scale_us; /* SCALE_QUANTILE of @latency */
	uint32_t since_scale; /* samples */
};

struct zone_node {
	struct node node;
	bool out;
	int64_t in_since_us;
	bool ramping;
};

struct admit_cell {
	int64_t number;
	double requests;
	double accepts;
};

/** struct hints - nodes by index in the configuration; checked by name at each use */
struct hints {
	void **nodes;
	uint32_t count;
};

struct pd_router {
	pthread_mutex_t mutex;
	struct pd_name own_zone;
	uint64_t random;
	void *upstreams; /* tsearch() trees by name */
	void *services;
	void *zones;
	struct hints upstream_hints;
	struct hints service_hints;
	double tokens;
	double burst; /* most tokens */
	double retry_tokens;
	double log_us; /* mean of the logarithm of latencies of all upstreams */
	uint64_t samples;
	double rate; /* first sub-requests in the last second, decaying */
	int64_t rate_at_us;
	double log_factor; /* of the hedge delay */
	struct admit_cell cells[ADMIT_CELLS];
};

/* splitmix64: enough for load spreading, and reproducible from a seed. */
static double random_unit(struct pd_router *r)
{
	uint64_t z = r->random += 0x9e3779b97f4a7c15ULL;

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return (double)((z ^ (z >> 31)) >> 11) * 0x1.0p-53;
}

static int node_compare(const void *a, const void *b)
{
	const struct node *x = a;
	const struct node *y = b;

	return pd_str_compare(pd_name_str(&x->name), pd_name_str(&y->name));
}

/* Finds or makes the node of @name; NULL without memory. */
static void *node_get(void **tree, const struct pd_name *name, size_t size)
{
	struct node key = {.name = *name};
	void *found = tfind(&key, tree, node_compare);
	struct node *node;

	if (found)
		return *(void **)found;
	node = calloc(1, size);
	if (!node)
		return NULL;
	node->name = *name;
	if (!tsearch(node, tree, node_compare)) {
		free(node);
		return NULL;
	}
	return node;
}

/* As node_get(); @hints remembers the node of each index, which seldom changes its name. */
static void *node_hinted(struct hints *hints, void **tree, uint32_t index,
			 const struct pd_name *name, size_t size)
{
	struct node *node = index < hints->count ? hints->nodes[index] : NULL;

	if (node && pd_name_equal(&node->name, name))
		return node;
	node = node_get(tree, name, size);
	if (index >= hints->count) {
		uint32_t count = 2 * index + 64;
		void **nodes = realloc(hints->nodes, count * sizeof(*nodes));

		if (!nodes)
			return node;
		memset(nodes + hints->count, 0, (count - hints->count) * sizeof(*nodes));
		hints->nodes = nodes;
		hints->count = count;
	}
	hints->nodes[index] = node;
	return node;
}

static struct upstream_node *upstream_get(struct pd_router *r, const struct pd_config *config,
					  uint32_t upstream)
{
	return node_hinted(&r->upstream_hints, &r->upstreams, upstream,
			   &config->upstreams[upstream].name, sizeof(struct upstream_node));
}

static struct service_node *service_get(struct pd_router *r, const struct pd_config *config,
					uint32_t upstream)
{
	uint32_t service = config->upstreams[upstream].service;
	struct service_node *node =
		node_hinted(&r->service_hints, &r->services, service,
			    &config->services[service].name, sizeof(struct service_node));

	if (node && !node->latency.count)
		pd_latency_init(&node->latency);
	return node;
}

enum pd_code pd_router_open(struct pd_router **router, struct pd_str own_zone, uint64_t seed,
			    struct pd_error *err)
{
	struct pd_router *r = calloc(1, sizeof(*r));

	*router = NULL;
	if (!r)
		return pd_error_set(err, PD_LAYER_STATE, PD_NO_MEMORY, "no memory for the router");
	pthread_mutex_init(&r->mutex, NULL);
	pd_name_set(&r->own_zone, own_zone);
	r->random = seed;
	r->tokens = 1;
	r->retry_tokens = RETRY_BURST_MIN;
	r->burst = BURST_MIN;
	r->log_factor = log(FACTOR_START);
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
	free(router->upstream_hints.nodes);
	free(router->service_hints.nodes);
	pthread_mutex_destroy(&router->mutex);
	free(router);
}

static void zone_update(struct pd_router *r, const struct pd_zone *zone, int64_t now_us)
{
	struct zone_node *node = node_get(&r->zones, &zone->name, sizeof(*node));

	if (!node)
		return;
	if (node->out && !zone->out) {
		node->ramping = true;
		node->in_since_us = now_us;
	}
	node->out = zone->out;
}

void pd_router_update_config(struct pd_router *router, const struct pd_config *config,
			     int64_t now_us)
{
	pthread_mutex_lock(&router->mutex);
	for (uint32_t i = 0; i < config->zone_count; i++)
		zone_update(router, &config->zones[i], now_us);
	pthread_mutex_unlock(&router->mutex);
}

static double zone_share(struct pd_router *r, const struct pd_name *name, int64_t now_us)
{
	struct node key = {.name = *name};
	void *found = tfind(&key, &r->zones, node_compare);
	struct zone_node *zone = found ? *(struct zone_node **)found : NULL;
	double done;

	if (!zone || !zone->ramping)
		return 1;
	done = (double)(now_us - zone->in_since_us) / PD_ZONE_RAMP_US;
	if (done >= 1)
		zone->ramping = false;
	return done >= 1 ? 1 : RAMP_START + (1 - RAMP_START) * (done > 0 ? done : 0);
}

static double expected_us(const struct upstream_node *node, int64_t now_us)
{
	double age = (double)(now_us - node->queue_at_us);

	if (node->queue_us <= 0)
		return node->mean_us;
	return node->mean_us + node->queue_us * exp(-(age > 0 ? age : 0) / QUEUE_DECAY_US);
}

#define CHOICE_MAX 16 /* upstreams of one service that are considered */

/**
 * struct choice - the upstreams that a sub-request may use
 * @index: in the configuration
 * @expected: microseconds
 * @weight: in a random choice
 * @share: of normal load, by the ramp of the zone
 * @avoided: failed lately
 */
struct choice {
	uint32_t index[CHOICE_MAX];
	struct upstream_node *node[CHOICE_MAX];
	double expected[CHOICE_MAX];
	double weight[CHOICE_MAX];
	double share[CHOICE_MAX];
	bool avoided[CHOICE_MAX];
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

/* Fastest expected time of the known, usable upstreams of @service; 0 when none is known. */
static double best_expected(struct pd_router *r, const struct pd_config *config, uint32_t service,
			    int64_t now_us)
{
	const struct pd_service *s = &config->services[service];
	double best = 0;

	for (uint32_t i = 0; i < s->upstream_count; i++) {
		const struct pd_upstream_config *u = &config->upstreams[s->upstreams[i]];
		struct upstream_node *node = upstream_get(r, config, s->upstreams[i]);

		if (!node || !node->known || u->out || config->zones[u->zone].out)
			continue;
		if (node->avoid_us && now_us < node->avoid_until_us)
			continue;
		if (best == 0 || expected_us(node, now_us) < best)
			best = expected_us(node, now_us);
	}
	return best;
}

static double load_weight(double expected, uint32_t in_flight, uint32_t slots)
{
	double load = (double)in_flight / (slots ? slots : 1);

	return pow(1 + LOAD_GAIN * load, -LOAD_EXPONENT) / (expected * expected);
}

static void choice_fill(struct pd_router *r, struct choice *c, const struct pd_config *config,
			uint32_t service, const uint32_t *tried, uint32_t tried_count,
			int64_t now_us)
{
	const struct pd_service *s = &config->services[service];

	c->count = 0;
	c->best = best_expected(r, config, service, now_us);
	if (c->best == 0)
		c->best = FALLBACK_US;
	for (uint32_t i = 0; i < s->upstream_count && c->count < CHOICE_MAX; i++) {
		uint32_t index = s->upstreams[i];
		const struct pd_upstream_config *u = &config->upstreams[index];
		struct upstream_node *node;

		if (u->out || config->zones[u->zone].out || contains(tried, tried_count, index))
			continue;
		node = upstream_get(r, config, index);
		if (!node)
			continue;
		c->index[c->count] = index;
		c->node[c->count] = node;
		c->expected[c->count] = node->known ? expected_us(node, now_us) : c->best;
		/* Own sub-requests beyond the free slots would wait; others' are in the delay. */
		c->weight[c->count] = load_weight(c->expected[c->count], node->in_flight, u->slots);
		c->share[c->count] = zone_share(r, &config->zones[u->zone].name, now_us);
		c->avoided[c->count] = node->avoid_us && now_us < node->avoid_until_us;
		c->count++;
	}
}

static bool is_slow(const struct choice *c, uint32_t i)
{
	return c->expected[i] > SLOW_RATIO * c->best;
}

/* Whether a new sub-request goes to the slow upstream @i, to learn whether it recovered. */
static bool probe_due(struct pd_router *r, struct upstream_node *node, int64_t now_us)
{
	if (random_unit(r) >= PROBE_SHARE)
		return false;
	/* Without budget for the hedge, a probe would delay a whole answer. */
	if (r->tokens < 1 && now_us - node->probe_at_us < PROBE_FORCE_US)
		return false;
	node->probe_at_us = now_us;
	return true;
}

/* Weighted random choice among fast upstreams; c->count when there is none. */
static uint32_t choose_fast(struct pd_router *r, const struct choice *c, uint32_t except)
{
	double total = 0;
	double point;

	for (uint32_t i = 0; i < c->count; i++) {
		if (i != except && !c->avoided[i] && !is_slow(c, i))
			total += c->weight[i];
	}
	point = random_unit(r) * total;
	for (uint32_t i = 0; i < c->count; i++) {
		if (i == except || c->avoided[i] || is_slow(c, i))
			continue;
		point -= c->weight[i];
		if (point <= 0)
			return i;
	}
	return c->count;
}

/* When every upstream is slow or failed lately: the one with the least expected time, failed last.
 */
static uint32_t choose_any(const struct choice *c)
{
	uint32_t best = c->count;

	for (uint32_t i = 0; i < c->count; i++) {
		if (best == c->count || c->avoided[i] < c->avoided[best] ||
		    (c->avoided[i] == c->avoided[best] &&
		     (c->avoided[i] ? c->node[i]->avoid_until_us < c->node[best]->avoid_until_us
				    : c->expected[i] < c->expected[best])))
			best = i;
	}
	return best;
}

/* An upstream whose time of avoidance ended gets one sub-request, and more when that succeeds. */
static uint32_t choose_trial(const struct choice *c, int64_t now_us)
{
	for (uint32_t i = 0; i < c->count; i++) {
		struct upstream_node *node = c->node[i];

		if (!node->avoid_us || c->avoided[i])
			continue;
		node->avoid_until_us = now_us + node->avoid_us;
		node->trial = true;
		return i;
	}
	return c->count;
}

static uint32_t choose_first(struct pd_router *r, const struct choice *c, int64_t now_us)
{
	uint32_t pick = choose_trial(c, now_us);

	if (pick < c->count)
		return pick;
	for (uint32_t i = 0; i < c->count; i++) {
		if (!c->avoided[i] && is_slow(c, i) && probe_due(r, c->node[i], now_us))
			return i;
	}
	pick = choose_fast(r, c, c->count);
	if (pick < c->count && c->share[pick] < 1 && random_unit(r) >= c->share[pick]) {
		uint32_t other = choose_fast(r, c, pick);

		if (other < c->count)
			pick = other;
	}
	return pick;
}

uint32_t pd_router_choose(struct pd_router *router, const struct pd_config *config,
			  uint32_t service, const uint32_t *tried, uint32_t tried_count,
			  int64_t now_us)
{
	struct choice c;
	uint32_t pick;

	pthread_mutex_lock(&router->mutex);
	choice_fill(router, &c, config, service, tried, tried_count, now_us);
	pick = tried_count ? choose_fast(router, &c, c.count) : choose_first(router, &c, now_us);
	if (pick == c.count)
		pick = choose_any(&c);
	pthread_mutex_unlock(&router->mutex);
	return pick < c.count ? c.index[pick] : PD_CONFIG_NONE;
}

uint32_t pd_router_choose_hedge(struct pd_router *router, const struct pd_config *config,
				uint32_t service, uint32_t running, int64_t now_us)
{
	struct choice c;
	uint32_t pick;

	pthread_mutex_lock(&router->mutex);
	choice_fill(router, &c, config, service, &running, 1, now_us);
	pick = choose_fast(router, &c, c.count);
	pthread_mutex_unlock(&router->mutex);
	return pick < c.count ? c.index[pick] : running;
}

static int64_t hedge_delay(struct pd_router *r, const struct pd_config *config, uint32_t upstream,
			   int64_t now_us)
{
	struct upstream_node *node = upstream_get(r, config, upstream);
	struct service_node *service = service_get(r, config, upstream);
	double best = best_expected(r, config, config->upstreams[upstream].service, now_us);
	double usual = r->samples ? exp(r->log_us) : FALLBACK_US;
	double fallback = FALLBACK_RATIO * (best > 0 ? best : usual);
	double delay = fallback;

	/* A queue passes; only lasting slowness is worth a hedge at once. */
	if (node && node->known && best > 0 && node->mean_us > SLOW_RATIO * best)
		return 0;
	if (service && service->scale_us > 0)
		delay = service->scale_us;
	/* A bucket that runs low spares its tokens for the slowest sub-requests. */
	delay *= exp(r->log_factor + BUCKET_GAIN * (0.5 - fmax(0, r->tokens) / r->burst));
	if (best > 0 && delay > DELAY_MEAN_MAX * best)
		delay = DELAY_MEAN_MAX * best;
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

static void add_in_flight(struct pd_router *r, const struct pd_config *config, uint32_t upstream)
{
	struct upstream_node *node = upstream_get(r, config, upstream);

	if (node)
		node->in_flight++;
}

void pd_router_extra_sent(struct pd_router *router, const struct pd_config *config,
			  uint32_t upstream)
{
	pthread_mutex_lock(&router->mutex);
	add_in_flight(router, config, upstream);
	pthread_mutex_unlock(&router->mutex);
}

void pd_router_sent(struct pd_router *router, const struct pd_config *config, uint32_t upstream,
		    int64_t now_us)
{
	double age;

	pthread_mutex_lock(&router->mutex);
	add_in_flight(router, config, upstream);
	age = (double)(now_us - router->rate_at_us) / PD_USEC_PER_SEC;
	router->rate = 1 + router->rate * exp(-(age > 0 ? age : 0));
	router->rate_at_us = now_us;
	router->burst = BURST_MIN + PD_HEDGE_BUDGET_SHARE * router->rate * BURST_SECONDS;
	router->tokens = fmin(router->burst, router->tokens + PD_HEDGE_BUDGET_SHARE);
	router->retry_tokens = fmin(RETRY_BURST_MIN + PD_RETRY_BUDGET_SHARE * router->rate,
				    router->retry_tokens + PD_RETRY_BUDGET_SHARE);
	/* Keeps the bucket half full: unused budget shortens the hedge delay. */
	router->log_factor += FACTOR_STEP * (1 - 2 * fmax(-1, router->tokens / router->burst));
	router->log_factor = fmin(log(FACTOR_MAX), fmax(log(FACTOR_MIN), router->log_factor));
	pthread_mutex_unlock(&router->mutex);
}

/* Takes one token of @tokens, which may fall to -@debt_max. Under the mutex. */
static bool take_token(double *tokens, double debt_max)
{
	if (*tokens + debt_max < 1)
		return false;
	*tokens -= 1;
	return true;
}

bool pd_router_take_hedge_token(struct pd_router *router)
{
	bool taken;

	pthread_mutex_lock(&router->mutex);
	taken = take_token(&router->tokens, 0);
	pthread_mutex_unlock(&router->mutex);
	return taken;
}

bool pd_router_take_overdue_token(struct pd_router *router)
{
	bool taken;

	pthread_mutex_lock(&router->mutex);
	taken = take_token(&router->tokens, DEBT_MIN + DEBT_BURSTS * router->burst);
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

static void service_sample(struct service_node *service, int64_t us)
{
	pd_latency_add(&service->latency, us);
	if (++service->since_scale < SCALE_EVERY)
		return;
	service->since_scale = 0;
	service->scale_us = (double)pd_latency_quantile(&service->latency, SCALE_QUANTILE, us);
}

static void latency_sample(struct pd_router *r, const struct pd_config *config, uint32_t upstream,
			   struct upstream_node *node, int64_t us, int64_t now_us)
{
	struct service_node *service = service_get(r, config, upstream);
	double best = best_expected(r, config, config->upstreams[upstream].service, now_us);
	double sample = log((double)(us > 1 ? us : 1));

	r->samples++;
	r->log_us += fmax(LATENCY_WEIGHT / 10, 1.0 / (double)r->samples) * (sample - r->log_us);
	/* The first reply may be a straggler, so an upstream starts at the mean of all. */
	if (!node->known)
		node->log_us = r->log_us;
	node->log_us += LATENCY_WEIGHT * (sample - node->log_us);
	node->known = true;
	node->mean_us = exp(node->log_us);
	/* The hedge delay follows the good upstreams; a slow one would lengthen it for all. */
	if (service && (best == 0 || expected_us(node, now_us) <= SLOW_RATIO * best))
		service_sample(service, us);
}

static void upstream_failed(struct upstream_node *node, int64_t now_us)
{
	/* Sub-requests sent together fail together: one step. */
	if (node->avoid_us && !node->trial)
		return;
	node->trial = false;
	node->avoid_us = node->avoid_us ? node->avoid_us * 2 : AVOID_MIN_US;
	if (node->avoid_us > AVOID_MAX_US)
		node->avoid_us = AVOID_MAX_US;
	node->avoid_until_us = now_us + node->avoid_us;
}

static void record_reply(struct pd_router *r, const struct pd_config *config, uint32_t upstream,
			 struct upstream_node *node, enum pd_substatus status, int64_t total_us,
			 int64_t now_us)
{
	switch (status) {
	case PD_SUB_OK:
		node->avoid_us = 0;
		latency_sample(r, config, upstream, node, total_us, now_us);
		break;
	case PD_SUB_CANCELLED:
	case PD_SUB_LATE:
		/* Only a lower bound is known; a short one says nothing. */
		if (!node->known || (double)total_us > node->mean_us)
			latency_sample(r, config, upstream, node, CENSORED_FACTOR * total_us,
				       now_us);
		break;
	case PD_SUB_LOST:
	case PD_SUB_NO_UPSTREAM:
	case PD_SUB_LEAVING:
	case PD_SUB_ZONE_OUT:
	case PD_SUB_NOT_OWNER:
		upstream_failed(node, now_us);
		break;
	default:
		break;
	}
}

void pd_router_reply(struct pd_router *router, const struct pd_config *config, uint32_t upstream,
		     enum pd_substatus status, int64_t total_us, int64_t queue_us, int64_t now_us)
{
	struct upstream_node *node;

	pthread_mutex_lock(&router->mutex);
	node = upstream_get(router, config, upstream);
	if (node) {
		node->in_flight -= node->in_flight > 0;
		record_reply(router, config, upstream, node, status, total_us, now_us);
		if (status == PD_SUB_OK || status == PD_SUB_BUSY || status == PD_SUB_OVERLOADED ||
		    status == PD_SUB_DEADLINE) {
			node->queue_us = (double)(queue_us > 0 ? queue_us : 0);
			node->queue_at_us = now_us;
		}
	}
	pthread_mutex_unlock(&router->mutex);
}

uint32_t pd_router_shorter_queue(struct pd_router *router, const struct pd_config *config,
				 uint32_t other, uint32_t busy, int64_t now_us)
{
	const struct upstream_node *there, *here;
	uint32_t chosen = other;

	pthread_mutex_lock(&router->mutex);
	there = upstream_get(router, config, other);
	here = upstream_get(router, config, busy);
	if (there && here && there->queue_us > 0 &&
	    expected_us(here, now_us) < expected_us(there, now_us))
		chosen = busy;
	pthread_mutex_unlock(&router->mutex);
	return chosen;
}

static struct admit_cell *admit_cell(struct pd_router *r, int64_t now_us)
{
	int64_t number = now_us / ADMIT_CELL_US;
	struct admit_cell *cell = &r->cells[number % ADMIT_CELLS];

	if (cell->number != number)
		*cell = (struct admit_cell){.number = number};
	return cell;
}

/*
 * A request counts when its outcome is known: a burst after a quiet time would otherwise look like
 * requests without accepts.
 */
bool pd_router_admit(struct pd_router *router, enum pd_urgency urgency, int64_t now_us)
{
	int64_t number = now_us / ADMIT_CELL_US;
	double requests = 0;
	double accepts = 0;
	double refuse;
	bool admitted;

	if (urgency == PD_URGENT)
		return true;
	pthread_mutex_lock(&router->mutex);
	for (int i = 0; i < ADMIT_CELLS; i++) {
		if (router->cells[i].number <= number - ADMIT_CELLS)
			continue;
		requests += router->cells[i].requests;
		accepts += router->cells[i].accepts;
	}
	refuse = (requests - ADMIT_FACTOR * accepts) / (requests + 1);
	admitted = random_unit(router) >= fmin(refuse, ADMIT_REFUSE_MAX);
	if (!admitted)
		admit_cell(router, now_us)->requests += 1;
	pthread_mutex_unlock(&router->mutex);
	return admitted;
}

void pd_router_query_done(struct pd_router *router, enum pd_urgency urgency, bool overloaded,
			  int64_t now_us)
{
	struct admit_cell *cell;

	if (urgency == PD_URGENT)
		return;
	pthread_mutex_lock(&router->mutex);
	cell = admit_cell(router, now_us);
	cell->requests += 1;
	cell->accepts += overloaded ? 0 : 1;
	pthread_mutex_unlock(&router->mutex);
}
