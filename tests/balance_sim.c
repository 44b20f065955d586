#include "balance_sim.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "os.h"
#include "policy.h"
#include "registry.h"
#include "registry_fleet.h"
#include "suite.h"

#define DISPATCHERS_MAX 300
#define JOBS_MAX	4096
#define WORK_MIN_US	2500.0
#define WORK_RANGE_US	5000.0
#define STEP_US		600000
#define SLOW_SHARE	0.15
#define SLOW_FACTOR	2.5
#define PAUSE_US	100000
#define PAUSE_PERIOD_US 2400000
/* Time of a message between two machines of one zone, and between two zones. */
#define ZONE_NETWORK_US	  150
#define OTHER_NETWORK_US  600
#define OBJECTIVE_MS	  80
#define HEDGE_RECHECK_US  5000 /* as in fanout.c */
#define START_US	  (1000 * PD_USEC_PER_SEC)
#define QUERY_PARTS	  90
#define QUERY_PARTS_SPARE 4
/* Parts that are sent before the figures begin. */
#define WARM_UP_SHARE 0.1

static const double machine_speeds[BALANCE_UPSTREAMS] = {0.8, 1.0, 1.3};

enum event_kind {
	EVENT_ARRIVAL, /* a part arrives at a dispatcher */
	EVENT_REACHED, /* a request reaches its upstream */
	EVENT_DONE, /* the upstream has executed a request */
	EVENT_RESPONSE, /* a response reaches its dispatcher */
	EVENT_LATE, /* a part has no response after its hedge delay */
	EVENT_PASSED, /* news of an upstream reach the other dispatchers of the zone */
};

/**
 * struct event - what happens at a time
 * @at_us: when
 * @sequence: number by which events of the same time are ordered
 * @kind: what
 * @index: index of the part, of the attempt, or of the news that it belongs to
 */
struct event {
	int64_t at_us;
	uint64_t sequence;
	enum event_kind kind;
	size_t index;
};

/**
 * struct attempt - a request to an upstream
 * @part: index of the part
 * @hedge: it is the second attempt of its part
 * @dispatcher: index of the dispatcher
 * @upstream: index of the upstream
 * @picked: the registry's upstream
 * @sent_us: when it was sent
 * @overdue: it was reported as overdue
 * @ended: its dispatcher has ended it, by a response or because the other attempt had one
 * @running: load report in its response
 * @waiting: the same
 * @speed: the same
 */
struct attempt {
	size_t part;
	bool hedge;
	int dispatcher;
	int upstream;
	struct pd_upstream *picked;
	int64_t sent_us;
	bool overdue;
	bool ended;
	uint32_t running;
	uint32_t waiting;
	double speed;
};

/**
 * struct part - one part of a query
 * @arrived_us: when it arrived
 * @work_us: its work, on a usual machine
 * @latency_us: time until the first response; 0 while there is none
 * @attempts: indexes of its attempts
 * @attempt_count: their number
 */
struct part {
	int64_t arrived_us;
	double work_us;
	double latency_us;
	size_t attempts[2];
	size_t attempt_count;
};

/**
 * struct passed_news - news that are passed on to the other dispatchers of the zone
 * @dispatcher: index of the dispatcher that passes them on
 * @news: what it has learned
 */
struct passed_news {
	int dispatcher;
	struct pd_load_news news;
};

struct machine {
	double speed;
	int64_t pause_offset_us;
	int64_t slot_free_us[BALANCE_SLOTS];
	uint32_t jobs;
};

struct sim {
	struct balance_setup setup;
	struct pd_registry registries[DISPATCHERS_MAX];
	struct pd_service *services[DISPATCHERS_MAX];
	struct pd_route_stats *stats[DISPATCHERS_MAX];
	struct machine machines[BALANCE_UPSTREAMS];
	struct part *parts;
	size_t part_count;
	struct attempt *attempts;
	size_t attempt_count;
	struct passed_news *news;
	size_t news_count;
	size_t news_capacity;
	struct event *events;
	size_t event_count;
	size_t event_capacity;
	uint64_t event_sequence;
	uint64_t random_state;
	int64_t measured_from_us;
	int64_t sampled_us;
	double spread_time;
	double idle_time;
	double measured_time;
	uint64_t passed;
	uint64_t other_zone;
};

static const struct pd_route route = {
	.kind = PD_ROUTE_GATHER, .idempotent = true, .target_latency_ms = OBJECTIVE_MS};

static uint64_t mix(uint64_t z)
{
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

/* Returns a random number from 0 to 1. */
static double draw(struct sim *sim)
{
	sim->random_state += 0x9e3779b97f4a7c15ULL;
	return (double)(mix(sim->random_state) >> 11) * 0x1p-53;
}

static bool is_before(const struct event *a, const struct event *b)
{
	return a->at_us < b->at_us || (a->at_us == b->at_us && a->sequence < b->sequence);
}

static void add_event(struct sim *sim, int64_t at_us, enum event_kind kind, size_t index)
{
	struct event event = {at_us, sim->event_sequence++, kind, index};
	size_t i = sim->event_count++;

	if (i == sim->event_capacity) {
		sim->event_capacity = i ? 2 * i : 1024;
		sim->events = reallocarray(sim->events, sim->event_capacity, sizeof(*sim->events));
		ck_assert_ptr_nonnull(sim->events);
	}
	for (; i && is_before(&event, &sim->events[(i - 1) / 2]); i = (i - 1) / 2)
		sim->events[i] = sim->events[(i - 1) / 2];
	sim->events[i] = event;
}

static struct event take_event(struct sim *sim)
{
	struct event first = sim->events[0];
	struct event last = sim->events[--sim->event_count];
	size_t i = 0;

	for (;;) {
		size_t child = 2 * i + 1;

		if (child + 1 < sim->event_count &&
		    is_before(&sim->events[child + 1], &sim->events[child]))
			child++;
		if (child >= sim->event_count || !is_before(&sim->events[child], &last))
			break;
		sim->events[i] = sim->events[child];
		i = child;
	}
	sim->events[i] = last;
	return first;
}

/* Returns how long work takes on a machine at a time; 1 is usual. */
static double speed_at(const struct sim *sim, int machine, int64_t at_us)
{
	uint64_t step = (uint64_t)(at_us / STEP_US);
	uint64_t hash = mix(mix(sim->setup.seed * 8 + (uint64_t)machine) + step);
	bool slow = (double)(hash >> 11) * 0x1p-53 < SLOW_SHARE;

	return sim->machines[machine].speed * (slow ? SLOW_FACTOR : 1);
}

/* Returns the time at which a machine has done work that it starts at a time. */
static int64_t finish_time(const struct sim *sim, int machine, int64_t start_us, double work_us)
{
	int64_t at = start_us;

	for (;;) {
		int64_t phase = (at + sim->machines[machine].pause_offset_us) % PAUSE_PERIOD_US;
		int64_t until = (at / STEP_US + 1) * STEP_US;
		double speed = speed_at(sim, machine, at);

		if (phase < PAUSE_US) {
			at += PAUSE_US - phase;
			continue;
		}
		if (until > at + PAUSE_PERIOD_US - phase)
			until = at + PAUSE_PERIOD_US - phase;
		if (work_us * speed <= (double)(until - at))
			return at + (int64_t)(work_us * speed) + 1;
		work_us -= (double)(until - at) / speed;
		at = until;
	}
}

static int zone_of(int dispatcher)
{
	return dispatcher % BALANCE_UPSTREAMS;
}

static int64_t network_us(const struct attempt *attempt)
{
	return zone_of(attempt->dispatcher) == attempt->upstream ? ZONE_NETWORK_US
								 : OTHER_NETWORK_US;
}

static void init_dispatcher(struct sim *sim, int dispatcher)
{
	struct pd_registry_options options = {.retry_ratio = 0.2, .retry_slack = 100};
	struct pd_registry *registry = &sim->registries[dispatcher];
	struct pd_instance_load instances[DISPATCHERS_MAX];
	char text[24];
	double p92;

	snprintf(text, sizeof(text), "z%d", zone_of(dispatcher));
	ck_assert(pd_name_set(&options.zone, pd_str_from(text)));
	pd_registry_init(registry, &options);
	registry->random_state = mix(sim->setup.seed * 1000 + (uint64_t)dispatcher);
	for (int i = 0; i < sim->setup.dispatchers; i++)
		instances[i] = (struct pd_instance_load){.hash = (uint64_t)i, .load = 1};
	pd_registry_set_instances(registry, instances, (size_t)sim->setup.dispatchers);
	for (int i = 0; i < BALANCE_UPSTREAMS; i++) {
		struct pd_upstream_entry entry;
		char zone[24];

		snprintf(text, sizeof(text), "u%d", i);
		snprintf(zone, sizeof(zone), "z%d", i);
		entry = make_entry(text, zone);
		entry.slots = BALANCE_SLOTS;
		pd_registry_put(registry, &entry, false);
	}
	sim->services[dispatcher] = pd_registry_service(registry, PD_STR("s"));
	sim->stats[dispatcher] = pd_registry_route_stats(registry, PD_STR("r"), &p92);
}

static int upstream_index(const struct pd_upstream *upstream)
{
	return upstream->id.text[1] - '0';
}

/* Adds the time since the last change of the queues to the figures. */
static void sample_queues(struct sim *sim, int64_t now_us)
{
	double time = (double)(now_us - sim->sampled_us);
	uint32_t longest = 0, shortest = UINT32_MAX;

	sim->sampled_us = now_us;
	if (now_us < sim->measured_from_us)
		return;
	for (int i = 0; i < BALANCE_UPSTREAMS; i++) {
		uint32_t jobs = sim->machines[i].jobs;

		longest = jobs > longest ? jobs : longest;
		shortest = jobs < shortest ? jobs : shortest;
	}
	sim->measured_time += time;
	sim->spread_time += time * (longest - shortest);
	if (longest > BALANCE_SLOTS && shortest < BALANCE_SLOTS)
		sim->idle_time += time;
}

/* Sends an attempt of a part to the upstream that the registry chooses. */
static void send_attempt(struct sim *sim, size_t index, int dispatcher, int64_t now_us)
{
	struct part *part = &sim->parts[index];
	struct pd_upstream *tried[2] = {NULL, NULL};
	struct attempt *attempt = &sim->attempts[sim->attempt_count];
	struct pd_upstream *picked;

	for (size_t i = 0; i < part->attempt_count; i++)
		tried[i] = sim->attempts[part->attempts[i]].picked;
	picked = pd_registry_pick(&sim->registries[dispatcher], sim->services[dispatcher], tried,
				  part->attempt_count, now_us);
	if (!picked)
		return;
	*attempt = (struct attempt){.part = index,
				    .hedge = part->attempt_count > 0,
				    .dispatcher = dispatcher,
				    .upstream = upstream_index(picked),
				    .picked = picked,
				    .sent_us = now_us};
	part->attempts[part->attempt_count++] = sim->attempt_count;
	sim->other_zone += zone_of(dispatcher) != attempt->upstream;
	add_event(sim, now_us + network_us(attempt), EVENT_REACHED, sim->attempt_count);
	add_event(sim, now_us + pd_policy_hedge_delay(&route, sim->stats[dispatcher]->p92_us),
		  EVENT_LATE, sim->attempt_count);
	sim->attempt_count++;
}

static void handle_arrival(struct sim *sim, size_t index, int64_t now_us)
{
	int dispatcher = (int)(draw(sim) * sim->setup.dispatchers);

	pd_registry_count_request(&sim->registries[dispatcher], sim->services[dispatcher]);
	send_attempt(sim, index, dispatcher, now_us);
}

static void handle_reached(struct sim *sim, size_t index, int64_t now_us)
{
	struct attempt *attempt = &sim->attempts[index];
	struct machine *machine = &sim->machines[attempt->upstream];
	int slot = 0;

	for (int i = 1; i < BALANCE_SLOTS; i++) {
		if (machine->slot_free_us[i] < machine->slot_free_us[slot])
			slot = i;
	}
	if (machine->slot_free_us[slot] < now_us)
		machine->slot_free_us[slot] = now_us;
	machine->slot_free_us[slot] =
		finish_time(sim, attempt->upstream, machine->slot_free_us[slot],
			    sim->parts[attempt->part].work_us);
	sample_queues(sim, now_us);
	machine->jobs++;
	add_event(sim, machine->slot_free_us[slot], EVENT_DONE, index);
}

static void handle_done(struct sim *sim, size_t index, int64_t now_us)
{
	struct attempt *attempt = &sim->attempts[index];
	struct machine *machine = &sim->machines[attempt->upstream];

	sample_queues(sim, now_us);
	machine->jobs--;
	attempt->running = machine->jobs < BALANCE_SLOTS ? machine->jobs : BALANCE_SLOTS;
	attempt->waiting = machine->jobs - attempt->running;
	attempt->speed = speed_at(sim, attempt->upstream, now_us);
	if (sim->setup.own_usual)
		attempt->speed /= machine->speed;
	add_event(sim, now_us + network_us(attempt), EVENT_RESPONSE, index);
}

/* Passes on what a dispatcher has learned, as load_report.c does. */
static void pass_on(struct sim *sim, int dispatcher, int64_t now_us)
{
	struct pd_load_news news[PD_LOAD_NEWS_MAX];
	size_t count = pd_load_news_take(&sim->registries[dispatcher], news);

	if (sim->setup.delay_us == BALANCE_OWN_REPORTS)
		return;
	for (size_t i = 0; i < count; i++) {
		if (sim->news_count == sim->news_capacity) {
			sim->news_capacity = sim->news_capacity ? 2 * sim->news_capacity : 1024;
			sim->news = reallocarray(sim->news, sim->news_capacity, sizeof(*sim->news));
			ck_assert_ptr_nonnull(sim->news);
		}
		sim->news[sim->news_count] =
			(struct passed_news){.dispatcher = dispatcher, .news = news[i]};
		add_event(sim, now_us + sim->setup.delay_us, EVENT_PASSED, sim->news_count++);
	}
}

static void handle_passed(struct sim *sim, size_t index)
{
	const struct passed_news *passed = &sim->news[index];

	for (int i = zone_of(passed->dispatcher); i < sim->setup.dispatchers;
	     i += BALANCE_UPSTREAMS) {
		if (i == passed->dispatcher || draw(sim) < sim->setup.loss)
			continue;
		pd_load_news_apply(&sim->registries[i], &passed->news);
		sim->passed++;
	}
}

/* Ends the other attempt of a part that has its response. */
static void abandon_other(struct sim *sim, const struct part *part, size_t index, int64_t now_us)
{
	struct pd_report report = {.kind = PD_REPORT_ABANDONED};

	for (size_t i = 0; i < part->attempt_count; i++) {
		struct attempt *other = &sim->attempts[part->attempts[i]];

		if (part->attempts[i] == index || other->ended)
			continue;
		other->ended = true;
		pd_registry_report(&sim->registries[other->dispatcher], other->picked, &report,
				   now_us);
	}
}

static void handle_response(struct sim *sim, size_t index, int64_t now_us)
{
	struct attempt *attempt = &sim->attempts[index];
	struct part *part = &sim->parts[attempt->part];
	struct pd_report report = {.kind = PD_REPORT_SUCCESS,
				   .latency_us = now_us - attempt->sent_us,
				   .stats = sim->stats[attempt->dispatcher],
				   .has_load = true,
				   .load = attempt->running + attempt->waiting,
				   .queued = attempt->waiting,
				   .has_speed = sim->setup.states_speed,
				   .speed = attempt->speed,
				   .answered = true};

	if (attempt->ended)
		return;
	attempt->ended = true;
	part->latency_us = (double)(now_us - part->arrived_us);
	pd_registry_report(&sim->registries[attempt->dispatcher], attempt->picked, &report, now_us);
	abandon_other(sim, part, index, now_us);
	pass_on(sim, attempt->dispatcher, now_us);
}

static void handle_late(struct sim *sim, size_t index, int64_t now_us)
{
	struct attempt *attempt = &sim->attempts[index];
	int dispatcher = attempt->dispatcher;
	struct pd_registry *registry = &sim->registries[dispatcher];

	if (attempt->ended)
		return;
	if (!attempt->overdue) {
		attempt->overdue = true;
		pd_registry_report_overdue(registry, attempt->picked, sim->stats[dispatcher],
					   now_us - attempt->sent_us, now_us);
		pass_on(sim, dispatcher, now_us);
	}
	if (!sim->setup.hedges || attempt->hedge)
		return;
	if (!pd_registry_hedge_helps(registry, sim->services[dispatcher], &attempt->picked, 1,
				     now_us))
		add_event(sim, now_us + HEDGE_RECHECK_US, EVENT_LATE, index);
	else if (pd_registry_consume_retry(registry, sim->services[dispatcher]))
		send_attempt(sim, attempt->part, dispatcher, now_us);
}

static void handle_event(struct sim *sim, const struct event *event)
{
	switch (event->kind) {
	case EVENT_ARRIVAL:
		handle_arrival(sim, event->index, event->at_us);
		break;
	case EVENT_REACHED:
		handle_reached(sim, event->index, event->at_us);
		break;
	case EVENT_DONE:
		handle_done(sim, event->index, event->at_us);
		break;
	case EVENT_RESPONSE:
		handle_response(sim, event->index, event->at_us);
		break;
	case EVENT_LATE:
		handle_late(sim, event->index, event->at_us);
		break;
	case EVENT_PASSED:
		handle_passed(sim, event->index);
		break;
	}
}

/* Draws the parts, whose arrivals are independent of each other. */
static void draw_parts(struct sim *sim)
{
	double per_us = 0, at = START_US;
	double mean_work = WORK_MIN_US + WORK_RANGE_US / 2;
	double slowdown = 1 + SLOW_SHARE * (SLOW_FACTOR - 1);

	for (int i = 0; i < BALANCE_UPSTREAMS; i++)
		per_us += BALANCE_SLOTS * (1 - (double)PAUSE_US / PAUSE_PERIOD_US) /
			  (mean_work * machine_speeds[i] * slowdown);
	for (size_t i = 0; i < sim->setup.parts; i++) {
		at += -log(1 - draw(sim)) / (per_us * sim->setup.load);
		sim->parts[i].arrived_us = (int64_t)at;
		sim->parts[i].work_us = WORK_MIN_US + WORK_RANGE_US * draw(sim);
		add_event(sim, (int64_t)at, EVENT_ARRIVAL, i);
	}
	sim->measured_from_us =
		sim->parts[(size_t)(WARM_UP_SHARE * (double)sim->setup.parts)].arrived_us;
	sim->sampled_us = START_US;
}

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

/* Returns the share of the parts that must be as fast as a query for 99% of the queries to have
 * enough parts.
 */
static double query_quantile(void)
{
	double low = 0.5, high = 1;

	for (int i = 0; i < 60; i++) {
		double share = (low + high) / 2, enough = 0, ways = 1;

		for (int late = 0; late <= QUERY_PARTS_SPARE; late++) {
			enough += ways * pow(1 - share, late) * pow(share, QUERY_PARTS - late);
			ways = ways * (QUERY_PARTS - late) / (late + 1);
		}
		if (enough < 0.99)
			low = share;
		else
			high = share;
	}
	return high;
}

static struct balance_result summarise(struct sim *sim)
{
	double *latencies = calloc(sim->setup.parts, sizeof(*latencies));
	struct balance_result result;
	size_t count = 0;

	ck_assert_ptr_nonnull(latencies);
	for (size_t i = 0; i < sim->setup.parts; i++) {
		if (sim->parts[i].arrived_us >= sim->measured_from_us)
			latencies[count++] = sim->parts[i].latency_us / 1000;
	}
	qsort(latencies, count, sizeof(*latencies), compare_doubles);
	result = (struct balance_result){
		.p50_ms = latencies[count / 2],
		.p99_ms = latencies[(size_t)(0.99 * (double)count)],
		.query_p99_ms = latencies[(size_t)(query_quantile() * (double)count)],
		.spread = sim->spread_time / sim->measured_time,
		.idle_share = sim->idle_time / sim->measured_time,
		.sent = (double)sim->attempt_count / (double)sim->setup.parts,
		.other_zone = (double)sim->other_zone / (double)sim->attempt_count,
		.passed = (double)sim->passed / (double)sim->setup.parts,
	};
	free(latencies);
	return result;
}

struct balance_result balance_run(const struct balance_setup *setup)
{
	struct sim *sim = calloc(1, sizeof(*sim));
	struct balance_result result;

	ck_assert_ptr_nonnull(sim);
	ck_assert_int_le(setup->dispatchers, DISPATCHERS_MAX);
	sim->setup = *setup;
	sim->random_state = mix(setup->seed);
	sim->parts = calloc(setup->parts, sizeof(*sim->parts));
	sim->attempts = calloc(2 * setup->parts, sizeof(*sim->attempts));
	ck_assert(sim->parts && sim->attempts);
	for (int i = 0; i < BALANCE_UPSTREAMS; i++) {
		sim->machines[i].speed = machine_speeds[i];
		sim->machines[i].pause_offset_us = (int64_t)(draw(sim) * PAUSE_PERIOD_US);
	}
	for (int i = 0; i < setup->dispatchers; i++)
		init_dispatcher(sim, i);
	draw_parts(sim);
	while (sim->event_count) {
		struct event event = take_event(sim);

		handle_event(sim, &event);
	}
	result = summarise(sim);
	for (int i = 0; i < setup->dispatchers; i++)
		pd_registry_finish(&sim->registries[i]);
	free(sim->news);
	free(sim->events);
	free(sim->attempts);
	free(sim->parts);
	free(sim);
	return result;
}
