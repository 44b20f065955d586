#include "router_sim.h"

#include <check.h>
#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MEDIAN_US   10000.0
#define SIGMA	    0.3
#define SLOW_FACTOR 10.0
#define LOAD	    0.3 /* share of the slots in use */
/* Delay before a denied token is requested again, as in the coordinator. */
#define BUDGET_POLL_US 2000

struct pd_config *sim_config(void)
{
	struct pd_config *config;
	struct pd_buf text = {0};
	struct pd_error err;

	pd_buf_printf(&text, "create zone a\ncreate zone b\ncreate collection c buckets 1000\n");
	for (int s = 0; s < SIM_SERVICES; s++) {
		pd_buf_printf(&text, "create service s%d in c\n", s);
		for (int u = 0; u < SIM_UPSTREAMS; u++)
			pd_buf_printf(&text,
				      "create upstream s%d-%d service s%d zone %c address "
				      "127.0.0.1:%d slots 3 connections 60 connect 6ms\n",
				      s, u, s, u ? 'b' : 'a', 1000 + 2 * s + u);
	}
	ck_assert_msg(pd_config_from_text(pd_buf_str(&text), 100, &config, &err) == PD_OK, "%s",
		      err.text);
	pd_buf_finish(&text);
	return config;
}

enum event_type { EVENT_QUERY, EVENT_DONE, EVENT_HEDGE };

/**
 * struct event - entry of the event queue
 * @at: time of the event
 * @type: arrival of a query, end of an attempt, or time to send a hedge
 * @query: number of the query
 * @service: index of the service
 * @attempt: attempt that ends, with EVENT_DONE
 *
 * All times in the simulation are in microseconds.
 */
struct event {
	double at;
	enum event_type type;
	int query;
	int service;
	struct attempt *attempt;
};

/**
 * struct attempt - one sub-request
 * @query: number of the query
 * @service: index of the service
 * @upstream: index of the upstream within the service
 * @sent: time at which it was sent
 * @finish: time at which it completes; 0 while it is queued
 * @ended: completed or cancelled
 * @same_upstream: hedge on the same upstream as the first attempt
 * @next: next in the queue of the upstream
 */
struct attempt {
	int query;
	int service;
	int upstream;
	double sent;
	double finish;
	bool ended;
	bool same_upstream;
	struct attempt *next;
};

/**
 * struct part - part of a query that goes to one service
 * @attempts: first attempt and hedge
 * @count: number of entries in @attempts
 * @done: an attempt has completed
 * @hedge_delay: delay from @wait_start to the hedge
 * @wait_start: time at which the wait for the hedge began
 * @overdue_at: time from which the hedge may overdraw the budget
 */
struct part {
	struct attempt *attempts[2];
	int count;
	bool done;
	double hedge_delay;
	double wait_start;
	double overdue_at;
};

/**
 * struct sim_upstream - simulated upstream
 * @running: number of slots in use
 * @queue: queued attempts
 * @queue_tail: where the next queued attempt is linked
 */
struct sim_upstream {
	int running;
	struct attempt *queue;
	struct attempt **queue_tail;
};

/**
 * struct sim - state of a run
 * @setup: parameters of the run
 * @router: router under test
 * @config: configuration of the simulated upstreams
 * @heap: event queue, a binary heap ordered by time
 * @heap_count: number of entries in @heap
 * @upstream_states: state of all upstreams
 * @parts: parts of each query
 * @pending: number of unfinished parts of each query
 * @arrival: arrival time of each query
 * @latency: latency of each query
 * @sent: number of attempts
 * @hedges: number of hedges among them
 */
struct sim {
	const struct sim_setup *setup;
	struct pd_router *router;
	struct pd_config *config;
	struct event *heap;
	int heap_count;
	struct sim_upstream upstream_states[SIM_SERVICES][SIM_UPSTREAMS];
	struct part (*parts)[SIM_SERVICES];
	int *pending;
	double *arrival;
	double *latency;
	long sent;
	long hedges;
};

/* Service time in microseconds of each query at each upstream. */
static float (*service_times)[SIM_SERVICES][SIM_UPSTREAMS];

void sim_draw_service_times(unsigned long seed, double stragglers)
{
	gsl_rng *rng = gsl_rng_alloc(gsl_rng_mt19937);

	gsl_rng_set(rng, seed);
	free(service_times);
	service_times = malloc(sizeof(*service_times) * SIM_QUERIES);
	for (int q = 0; q < SIM_QUERIES; q++) {
		for (int i = 0; i < SIM_SERVICES * SIM_UPSTREAMS; i++) {
			double us = MEDIAN_US * gsl_ran_lognormal(rng, 0, SIGMA);

			if (gsl_rng_uniform(rng) < stragglers)
				us *= SLOW_FACTOR;
			service_times[q][i / SIM_UPSTREAMS][i % SIM_UPSTREAMS] = (float)us;
		}
	}
	gsl_rng_free(rng);
}

static void push_event(struct sim *s, struct event e)
{
	int i = s->heap_count++;

	while (i && s->heap[(i - 1) / 2].at > e.at) {
		s->heap[i] = s->heap[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	s->heap[i] = e;
}

static struct event pop_event(struct sim *s)
{
	struct event top = s->heap[0];
	struct event last = s->heap[--s->heap_count];
	int i = 0;

	for (;;) {
		int child = 2 * i + 1;

		if (child >= s->heap_count)
			break;
		if (child + 1 < s->heap_count && s->heap[child + 1].at < s->heap[child].at)
			child++;
		if (s->heap[child].at >= last.at)
			break;
		s->heap[i] = s->heap[child];
		i = child;
	}
	s->heap[i] = last;
	return top;
}

/* Factor of the service times of an upstream. */
static double slow_factor(const struct sim *s, int service, int upstream)
{
	return s->setup->one_slow_upstream && service == 0 && upstream == 0 ? SLOW_FACTOR : 1;
}

/* A hedge on the same upstream gets an independent service time, that of another query. */
static double service_us(const struct sim *s, const struct attempt *a)
{
	int query = a->same_upstream ? (a->query + SIM_QUERIES / 2) % SIM_QUERIES : a->query;

	return service_times[query][a->service][a->upstream] *
	       slow_factor(s, a->service, a->upstream);
}

static void start_attempt(struct sim *s, struct attempt *a, double now)
{
	s->upstream_states[a->service][a->upstream].running++;
	a->finish = now + service_us(s, a);
	push_event(s, (struct event){a->finish, EVENT_DONE, a->query, a->service, a});
}

/* Frees a slot and starts the next queued attempts that weren't cancelled. */
static void release_slot(struct sim *s, struct sim_upstream *up, double now)
{
	up->running--;
	while (up->queue && up->running < s->setup->slots) {
		struct attempt *a = up->queue;

		up->queue = a->next;
		if (!up->queue)
			up->queue_tail = &up->queue;
		if (!a->ended)
			start_attempt(s, a, now);
	}
}

static void send_attempt(struct sim *s, int query, int service, int upstream, double now)
{
	struct attempt *a = calloc(1, sizeof(*a));
	struct sim_upstream *up = &s->upstream_states[service][upstream];
	struct part *p = &s->parts[query][service];

	*a = (struct attempt){
		.query = query, .service = service, .upstream = upstream, .sent = now};
	a->same_upstream = p->count && p->attempts[0]->upstream == upstream;
	p->attempts[p->count++] = a;
	s->sent++;
	if (up->running < s->setup->slots) {
		start_attempt(s, a, now);
		return;
	}
	*up->queue_tail = a;
	up->queue_tail = &a->next;
}

static uint32_t config_index(struct sim *s, int service, int upstream)
{
	return s->config->services[service].upstreams[upstream];
}

/* Returns the index of the chosen upstream within the service, 0 or 1. */
static int choose(struct sim *s, int service, double now)
{
	return pd_router_choose(s->router, s->config, (uint32_t)service, NULL, 0, (int64_t)now) ==
	       config_index(s, service, 1);
}

static int choose_hedge(struct sim *s, int service, const struct part *p, double now)
{
	uint32_t running = config_index(s, service, p->attempts[0]->upstream);

	return pd_router_choose_hedge(s->router, s->config, (uint32_t)service, running,
				      (int64_t)now) == config_index(s, service, 1);
}

static void handle_arrival(struct sim *s, int query, double now)
{
	s->arrival[query] = now;
	s->pending[query] = SIM_SERVICES;
	for (int i = 0; i < SIM_SERVICES; i++) {
		struct part *p = &s->parts[query][i];
		int u = s->setup->round_robin ? query % SIM_UPSTREAMS : choose(s, i, now);

		p->wait_start = now;
		if (!s->setup->round_robin) {
			uint32_t index = config_index(s, i, u);

			pd_router_sent(s->router, s->config, index, (int64_t)now);
			p->hedge_delay = (double)pd_router_hedge_delay(s->router, s->config, index);
			p->overdue_at = now + PD_HEDGE_OVERDUE_FACTOR * p->hedge_delay;
			if (s->setup->hedging && !s->setup->round_robin)
				push_event(s, (struct event){now + p->hedge_delay, EVENT_HEDGE,
							     query, i, NULL});
		}
		send_attempt(s, query, i, u, now);
	}
}

static void handle_hedge(struct sim *s, int query, int service, double now)
{
	struct part *p = &s->parts[query][service];
	int u;

	if (p->done || p->count > 1 || p->wait_start + p->hedge_delay > now + 1)
		return;
	if (!(now >= p->overdue_at ? pd_router_take_overdue_token(s->router)
				   : pd_router_take_hedge_token(s->router))) {
		p->wait_start = now;
		p->hedge_delay = BUDGET_POLL_US;
		push_event(s,
			   (struct event){now + BUDGET_POLL_US, EVENT_HEDGE, query, service, NULL});
		return;
	}
	s->hedges++;
	u = choose_hedge(s, service, p, now);
	pd_router_extra_sent(s->router, s->config, config_index(s, service, u));
	send_attempt(s, query, service, u, now);
}

static void report_outcome(struct sim *s, struct attempt *a, enum pd_substatus status, double now)
{
	if (!s->setup->round_robin)
		pd_router_reply(s->router, s->config, config_index(s, a->service, a->upstream),
				status, (int64_t)(now - a->sent), 0, (int64_t)now);
}

static void handle_done(struct sim *s, struct attempt *a, double now)
{
	struct part *p = &s->parts[a->query][a->service];

	if (a->ended)
		return;
	a->ended = true;
	release_slot(s, &s->upstream_states[a->service][a->upstream], now);
	report_outcome(s, a, PD_SUB_OK, now);
	p->done = true;
	for (int i = 0; i < p->count; i++) {
		struct attempt *other = p->attempts[i];

		if (other->ended)
			continue;
		other->ended = true;
		report_outcome(s, other, PD_SUB_CANCELLED, now);
		if (other->finish > 0)
			release_slot(s, &s->upstream_states[a->service][other->upstream], now);
	}
	if (--s->pending[a->query] == 0)
		s->latency[a->query] = now - s->arrival[a->query];
}

static int compare(const void *a, const void *b)
{
	const double *x = a;
	const double *y = b;

	return (*x > *y) - (*x < *y);
}

static double p99(const double *values, int count)
{
	double *sorted = malloc(sizeof(*sorted) * (size_t)count);
	double q;

	memcpy(sorted, values, sizeof(*sorted) * (size_t)count);
	qsort(sorted, (size_t)count, sizeof(*sorted), compare);
	q = sorted[(int)(0.99 * count)];
	free(sorted);
	return q;
}

static void sim_open(struct sim *s, unsigned long seed)
{
	gsl_rng *rng = gsl_rng_alloc(gsl_rng_mt19937);
	double mean = MEDIAN_US * exp(SIGMA * SIGMA / 2) * (1 + 0.02 * (SLOW_FACTOR - 1));
	double mean_interarrival = mean / (LOAD * SIM_UPSTREAMS * SIM_SLOTS);
	double at = 0;

	gsl_rng_set(rng, seed);
	s->heap = malloc(sizeof(*s->heap) * (size_t)s->setup->queries * 64);
	s->parts = calloc((size_t)s->setup->queries, sizeof(*s->parts));
	s->pending = calloc((size_t)s->setup->queries, sizeof(int));
	s->arrival = calloc((size_t)s->setup->queries, sizeof(double));
	s->latency = calloc((size_t)s->setup->queries, sizeof(double));
	for (int i = 0; i < SIM_SERVICES * SIM_UPSTREAMS; i++) {
		struct sim_upstream *up = &s->upstream_states[i / SIM_UPSTREAMS][i % SIM_UPSTREAMS];

		up->queue_tail = &up->queue;
	}
	for (int q = 0; q < s->setup->queries; q++) {
		at += gsl_ran_exponential(rng, mean_interarrival);
		push_event(s, (struct event){at, EVENT_QUERY, q, 0, NULL});
	}
	gsl_rng_free(rng);
}

static void sim_close(struct sim *s)
{
	for (int q = 0; q < s->setup->queries; q++) {
		for (int i = 0; i < SIM_SERVICES; i++) {
			free(s->parts[q][i].attempts[0]);
			free(s->parts[q][i].attempts[1]);
		}
	}
	free(s->heap);
	free(s->parts);
	free(s->pending);
	free(s->arrival);
	free(s->latency);
	pd_router_close(s->router);
	pd_config_put(s->config);
}

struct sim_result sim_run(const struct sim_setup *setup)
{
	struct sim s = {.setup = setup, .config = sim_config()};
	struct sim_result r;
	int first_after_5s = 0;

	ck_assert(pd_router_open(&s.router, PD_STR("a"), setup->seed, NULL) == PD_OK);
	pd_router_update_config(s.router, s.config, 0);
	sim_open(&s, setup->seed);
	while (s.heap_count) {
		struct event e = pop_event(&s);

		switch (e.type) {
		case EVENT_QUERY:
			handle_arrival(&s, e.query, e.at);
			break;
		case EVENT_DONE:
			handle_done(&s, e.attempt, e.at);
			break;
		case EVENT_HEDGE:
			handle_hedge(&s, e.query, e.service, e.at);
			break;
		}
	}
	while (s.arrival[first_after_5s] < 5 * PD_USEC_PER_SEC)
		first_after_5s++;
	r.p99_us = p99(s.latency, setup->queries);
	r.p99_after_5s_us = p99(s.latency + first_after_5s, setup->queries - first_after_5s);
	r.hedge_ratio = (double)s.hedges / (double)(s.sent - s.hedges);
	sim_close(&s);
	return r;
}

double sim_oracle_p99_us(void)
{
	double *latency = calloc(SIM_QUERIES, sizeof(*latency));
	double result;

	for (int q = 0; q < SIM_QUERIES; q++) {
		/* Not fmax(): gcc 12 for arm64 fails with an internal error when it vectorizes a
		 * reduction with fmax() and fmin().
		 */
		for (int i = 0; i < SIM_SERVICES; i++) {
			double fastest = fmin(service_times[q][i][0], service_times[q][i][1]);

			if (fastest > latency[q])
				latency[q] = fastest;
		}
	}
	result = p99(latency, SIM_QUERIES);
	free(latency);
	return result;
}
