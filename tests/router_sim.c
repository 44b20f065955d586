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
#define LOAD	    0.3
#define DENIED_US   2000 /* until the budget is asked again, as in the coordinator */

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

struct event {
	double at;
	enum event_type type;
	int query;
	int service;
	struct attempt *attempt;
};

struct attempt {
	int query;
	int service;
	int upstream; /* within the service */
	double sent;
	double finish; /* 0 while queued */
	bool ended;
	bool again; /* on the same upstream */
	struct attempt *next;
};

struct part {
	struct attempt *attempts[2];
	int count;
	bool done;
	double delay;
	double from;
	double overdue;
};

struct station {
	int running;
	struct attempt *first;
	struct attempt **last;
};

struct sim {
	const struct sim_setup *setup;
	struct pd_router *router;
	struct pd_config *config;
	struct event *heap;
	int heap_count;
	struct station stations[SIM_SERVICES][SIM_UPSTREAMS];
	struct part (*parts)[SIM_SERVICES];
	int *pending;
	double *arrival;
	double *latency;
	long sent;
	long extra;
};

static float (*draws)[SIM_SERVICES][SIM_UPSTREAMS];

void sim_draw_service_times(unsigned long seed, double stragglers)
{
	gsl_rng *rng = gsl_rng_alloc(gsl_rng_mt19937);

	gsl_rng_set(rng, seed);
	free(draws);
	draws = malloc(sizeof(*draws) * SIM_QUERIES);
	for (int q = 0; q < SIM_QUERIES; q++) {
		for (int i = 0; i < SIM_SERVICES * SIM_UPSTREAMS; i++) {
			double us = MEDIAN_US * gsl_ran_lognormal(rng, 0, SIGMA);

			if (gsl_rng_uniform(rng) < stragglers)
				us *= SLOW_FACTOR;
			draws[q][i / SIM_UPSTREAMS][i % SIM_UPSTREAMS] = (float)us;
		}
	}
	gsl_rng_free(rng);
}

static void push(struct sim *s, struct event e)
{
	int i = s->heap_count++;

	while (i && s->heap[(i - 1) / 2].at > e.at) {
		s->heap[i] = s->heap[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	s->heap[i] = e;
}

static struct event pop(struct sim *s)
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

static double slow_factor(const struct sim *s, int service, int upstream)
{
	return s->setup->one_slow_upstream && service == 0 && upstream == 0 ? SLOW_FACTOR : 1;
}

/* A second run on the same upstream has a time of its own. */
static double service_us(const struct sim *s, const struct attempt *a)
{
	int query = a->again ? (a->query + SIM_QUERIES / 2) % SIM_QUERIES : a->query;

	return draws[query][a->service][a->upstream] * slow_factor(s, a->service, a->upstream);
}

static void begin(struct sim *s, struct attempt *a, double now)
{
	s->stations[a->service][a->upstream].running++;
	a->finish = now + service_us(s, a);
	push(s, (struct event){a->finish, EVENT_DONE, a->query, a->service, a});
}

static void station_free(struct sim *s, struct station *st, double now)
{
	st->running--;
	while (st->first && st->running < s->setup->slots) {
		struct attempt *a = st->first;

		st->first = a->next;
		if (!st->first)
			st->last = &st->first;
		if (!a->ended)
			begin(s, a, now);
	}
}

static void sim_send(struct sim *s, int query, int service, int upstream, double now)
{
	struct attempt *a = calloc(1, sizeof(*a));
	struct station *st = &s->stations[service][upstream];
	struct part *p = &s->parts[query][service];

	*a = (struct attempt){
		.query = query, .service = service, .upstream = upstream, .sent = now};
	a->again = p->count && p->attempts[0]->upstream == upstream;
	p->attempts[p->count++] = a;
	s->sent++;
	if (st->running < s->setup->slots) {
		begin(s, a, now);
		return;
	}
	*st->last = a;
	st->last = &a->next;
}

static uint32_t config_index(struct sim *s, int service, int upstream)
{
	return s->config->services[service].upstreams[upstream];
}

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

static void sim_query(struct sim *s, int query, double now)
{
	s->arrival[query] = now;
	s->pending[query] = SIM_SERVICES;
	for (int i = 0; i < SIM_SERVICES; i++) {
		struct part *p = &s->parts[query][i];
		int u = s->setup->round_robin ? query % SIM_UPSTREAMS : choose(s, i, now);

		p->from = now;
		if (!s->setup->round_robin) {
			uint32_t index = config_index(s, i, u);

			pd_router_sent(s->router, s->config, index, (int64_t)now);
			p->delay = (double)pd_router_hedge_delay(s->router, s->config, index);
			p->overdue = now + PD_HEDGE_OVERDUE_FACTOR * p->delay;
			if (s->setup->hedging && !s->setup->round_robin)
				push(s,
				     (struct event){now + p->delay, EVENT_HEDGE, query, i, NULL});
		}
		sim_send(s, query, i, u, now);
	}
}

static void sim_hedge(struct sim *s, int query, int service, double now)
{
	struct part *p = &s->parts[query][service];
	int u;

	if (p->done || p->count > 1 || p->from + p->delay > now + 1)
		return;
	if (!(now >= p->overdue ? pd_router_take_overdue_token(s->router)
				: pd_router_take_hedge_token(s->router))) {
		p->from = now;
		p->delay = DENIED_US;
		push(s, (struct event){now + DENIED_US, EVENT_HEDGE, query, service, NULL});
		return;
	}
	s->extra++;
	u = choose_hedge(s, service, p, now);
	pd_router_extra_sent(s->router, s->config, config_index(s, service, u));
	sim_send(s, query, service, u, now);
}

static void report(struct sim *s, struct attempt *a, enum pd_substatus status, double now)
{
	if (!s->setup->round_robin)
		pd_router_reply(s->router, s->config, config_index(s, a->service, a->upstream),
				status, (int64_t)(now - a->sent), 0, (int64_t)now);
}

static void sim_done(struct sim *s, struct attempt *a, double now)
{
	struct part *p = &s->parts[a->query][a->service];

	if (a->ended)
		return;
	a->ended = true;
	station_free(s, &s->stations[a->service][a->upstream], now);
	report(s, a, PD_SUB_OK, now);
	p->done = true;
	for (int i = 0; i < p->count; i++) {
		struct attempt *other = p->attempts[i];

		if (other->ended)
			continue;
		other->ended = true;
		report(s, other, PD_SUB_CANCELLED, now);
		if (other->finish > 0)
			station_free(s, &s->stations[a->service][other->upstream], now);
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
	double gap = mean / (LOAD * SIM_UPSTREAMS * SIM_SLOTS);
	double at = 0;

	gsl_rng_set(rng, seed);
	s->heap = malloc(sizeof(*s->heap) * (size_t)s->setup->queries * 64);
	s->parts = calloc((size_t)s->setup->queries, sizeof(*s->parts));
	s->pending = calloc((size_t)s->setup->queries, sizeof(int));
	s->arrival = calloc((size_t)s->setup->queries, sizeof(double));
	s->latency = calloc((size_t)s->setup->queries, sizeof(double));
	for (int i = 0; i < SIM_SERVICES * SIM_UPSTREAMS; i++) {
		struct station *st = &s->stations[i / SIM_UPSTREAMS][i % SIM_UPSTREAMS];

		st->last = &st->first;
	}
	for (int q = 0; q < s->setup->queries; q++) {
		at += gsl_ran_exponential(rng, gap);
		push(s, (struct event){at, EVENT_QUERY, q, 0, NULL});
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
	int late = 0;

	ck_assert(pd_router_open(&s.router, PD_STR("a"), setup->seed, NULL) == PD_OK);
	pd_router_update_config(s.router, s.config, 0);
	sim_open(&s, setup->seed);
	while (s.heap_count) {
		struct event e = pop(&s);

		switch (e.type) {
		case EVENT_QUERY:
			sim_query(&s, e.query, e.at);
			break;
		case EVENT_DONE:
			sim_done(&s, e.attempt, e.at);
			break;
		case EVENT_HEDGE:
			sim_hedge(&s, e.query, e.service, e.at);
			break;
		}
	}
	while (s.arrival[late] < 5 * PD_USEC_PER_SEC)
		late++;
	r.p99_us = p99(s.latency, setup->queries);
	r.p99_after_5s_us = p99(s.latency + late, setup->queries - late);
	r.hedge_ratio = (double)s.extra / (double)(s.sent - s.extra);
	sim_close(&s);
	return r;
}

double sim_oracle_p99_us(void)
{
	double *latency = calloc(SIM_QUERIES, sizeof(*latency));
	double result;

	for (int q = 0; q < SIM_QUERIES; q++) {
		for (int i = 0; i < SIM_SERVICES; i++)
			latency[q] = fmax(latency[q], fmin(draws[q][i][0], draws[q][i][1]));
	}
	result = p99(latency, SIM_QUERIES);
	free(latency);
	return result;
}
