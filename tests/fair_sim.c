#include "fair_sim.h"

#include <check.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fair_share.h"
#include "log.h"
#include "os.h"
#include "policy.h"
#include "registry.h"
#include "registry_fleet.h"

#define INSTANCES_MAX 100
#define SERVICES      2
#define UPSTREAMS     3
#define SLOTS	      2
#define NOISE	      7.0
#define REQUESTS_MAX  80000
#define WORK_MIN_US   2500.0
#define WORK_RANGE_US 5000.0
#define START_US      (1000 * PD_USEC_PER_SEC)
#define STEP_US	      200
#define WARM_UP_US    PD_USEC_PER_SEC
#define MEASURED_US   (4 * PD_USEC_PER_SEC)
#define SEEDS	      3
#define NEVER	      INT64_MAX

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

static const double machine_speeds[UPSTREAMS] = {0.8, 1.0, 1.3};
static const char *const service_names[SERVICES] = {"s", "t"};
static const uint64_t service_hashes[SERVICES] = {1, 2};

/* All routes use the first service; the gathering one uses both. */
static const struct pd_route routes[FAIR_ROUTES] = {
	{.kind = PD_ROUTE_FORWARD,
	 .idempotent = true,
	 .timeout_ms = 75,
	 .target_latency_ms = 60,
	 .priority = 1,
	 .target_count = 1},
	{.kind = PD_ROUTE_GATHER,
	 .idempotent = true,
	 .timeout_ms = 400,
	 .target_latency_ms = 120,
	 .priority = 1,
	 .min_parts_share = 1,
	 .target_count = 2},
	{.kind = PD_ROUTE_FORWARD,
	 .idempotent = true,
	 .timeout_ms = 415,
	 .target_latency_ms = 400,
	 .priority = 2,
	 .target_count = 1},
};
static const double route_shares[FAIR_ROUTES] = {0.4, 0.3, 0.3};

/* The usual use of an account is its rate divided by 1.6. */
static const struct pd_account accounts[FAIR_ACCOUNTS] = {
	{.hash = 11, .rate_per_s = 5, .has_priority = true, .priority = 0},
	{.hash = 12, .rate_per_s = 5},
	{.hash = 13, .rate_per_s = 10},
	{.hash = 14, .rate_per_s = 10},
	{.hash = 15, .rate_per_s = 10, .has_priority = true, .priority = 2},
	{.hash = 16, .rate_per_s = 20},
	{.hash = 17, .rate_per_s = 5, .has_priority = true, .priority = 0},
};

struct request {
	int64_t arrived_us;
	int64_t due_us;
	int64_t end_us;
	int instance;
	int account;
	int route;
	size_t answered;
	bool failed;
	bool returned;
};

struct job {
	struct request *request;
	struct pd_upstream *picked;
	struct pd_route_stats *stats;
	int service;
	int upstream;
	int64_t sent_us;
	int64_t done_us;
	int64_t overdue_us;
	bool overdue;
	bool ended;
};

struct machine {
	int64_t slot_free_us[SLOTS];
	uint32_t jobs;
};

struct instance {
	struct pd_registry registry;
	struct pd_service *services[SERVICES];
	struct pd_route_stats *stats[FAIR_ROUTES];
	struct pd_fair_share fair_share;
};

struct sim {
	struct fair_setup setup;
	struct instance instances[INSTANCES_MAX];
	struct machine machines[SERVICES][UPSTREAMS];
	struct request requests[REQUESTS_MAX];
	size_t request_count;
	struct request *returning[REQUESTS_MAX];
	size_t returning_count;
	struct job jobs[2 * REQUESTS_MAX];
	size_t first_job;
	size_t job_count;
	uint64_t random_state;
	struct fair_result result;
};

static double draw(struct sim *sim)
{
	/* SplitMix64 */
	uint64_t z = (sim->random_state += 0x9e3779b97f4a7c15ULL);

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return (double)((z ^ (z >> 31)) >> 11) * 0x1p-53;
}

static double usual_use(const struct sim *sim, int account)
{
	return accounts[account].rate_per_s *
	       (account == FAIR_NOISY && sim->setup.noisy ? NOISE : 1);
}

static uint32_t priority_of(int account, int route)
{
	return accounts[account].has_priority ? accounts[account].priority : routes[route].priority;
}

/* Returns the number of parts per second that the upstreams of a service can execute. */
static double capacity_per_s(void)
{
	double per_s = 0;

	for (int i = 0; i < UPSTREAMS; i++)
		per_s += SLOTS * 1e6 / ((WORK_MIN_US + WORK_RANGE_US / 2) * machine_speeds[i]);
	return per_s;
}

static void init_instance(struct sim *sim, int index)
{
	const struct pd_registry_options options = {
		.zone = {.text = "here", .len = 4}, .retry_ratio = 0.2, .retry_slack = 100};
	static const char *const route_names[FAIR_ROUTES] = {"r0", "r1", "r2"};
	struct instance *instance = &sim->instances[index];
	double p92;

	pd_registry_init(&instance->registry, &options);
	instance->registry.random_state = sim->setup.seed * 1000 + (uint64_t)index;
	set_instances(&instance->registry, (size_t)index, (size_t)sim->setup.instances);
	pd_fair_share_init(&instance->fair_share, sim->setup.seed * 1000 + (uint64_t)index + 1);
	for (int i = 0; i < SERVICES * UPSTREAMS; i++) {
		char id[8];
		struct pd_upstream_entry entry;

		snprintf(id, sizeof(id), "u%d", i);
		entry = make_entry(id, "here");
		ck_assert(pd_name_set(&entry.service, pd_str_from(service_names[i / UPSTREAMS])));
		entry.slots = SLOTS;
		pd_registry_put(&instance->registry, &entry, false);
	}
	for (int i = 0; i < SERVICES; i++)
		instance->services[i] =
			pd_registry_service(&instance->registry, pd_str_from(service_names[i]));
	for (int i = 0; i < FAIR_ROUTES; i++)
		instance->stats[i] = pd_registry_route_stats(&instance->registry,
							     pd_str_from(route_names[i]), &p92);
}

static bool is_measured(const struct request *request)
{
	return request->arrived_us >= START_US + WARM_UP_US;
}

/* Adds a request to the figures of all that it belongs to. @field is the offset in struct
 * fair_tally. */
static void tally(struct sim *sim, const struct request *request, size_t field)
{
	struct fair_result *result = &sim->result;
	uint32_t priority = priority_of(request->account, request->route);
	struct fair_tally *tallies[] = {&result->all, &result->accounts[request->account],
					&result->routes[request->route],
					&result->kinds[priority][request->route], NULL};

	if (request->returned) {
		++*(double *)((char *)&result->returned + field);
		return;
	}
	if (!is_measured(request))
		return;
	if (request->instance < FAIR_INSTANCES_COUNTED)
		tallies[COUNT(tallies) - 1] = &result->instances[request->instance];
	for (size_t i = 0; i < COUNT(tallies); i++) {
		if (tallies[i])
			++*(double *)((char *)tallies[i] + field);
	}
}

#define TALLY(sim, request, field) tally(sim, request, offsetof(struct fair_tally, field))

static int upstream_index(const struct pd_upstream *upstream)
{
	return (upstream->id.text[1] - '0') % UPSTREAMS;
}

/* Returns the upstream that takes a part; NULL if those that were asked reject it. */
static struct pd_upstream *find_upstream(struct sim *sim, const struct request *request,
					 int service, int64_t now_us)
{
	struct instance *instance = &sim->instances[request->instance];
	struct pd_service *of = instance->services[service];
	struct pd_upstream *tried[UPSTREAMS];

	for (size_t count = 0; count < UPSTREAMS; count++) {
		struct pd_report report = {.kind = PD_REPORT_REJECTED, .has_load = true};

		if (count && !pd_registry_consume_retry(&instance->registry, of))
			return NULL;
		tried[count] = pd_registry_pick(&instance->registry, of, tried, count, now_us);
		if (!tried[count])
			return NULL;
		report.load = sim->machines[service][upstream_index(tried[count])].jobs;
		if (!sim->setup.queue || report.load < SLOTS + sim->setup.queue)
			return tried[count];
		report.queued = report.load - SLOTS;
		report.has_speed = sim->setup.states_speed;
		report.speed = machine_speeds[upstream_index(tried[count])];
		pd_registry_report(&instance->registry, tried[count], &report, now_us);
	}
	return NULL;
}

static bool send_part(struct sim *sim, struct request *request, int service, int64_t now_us)
{
	struct instance *instance = &sim->instances[request->instance];
	struct pd_upstream *picked = find_upstream(sim, request, service, now_us);
	struct pd_route_stats *stats = instance->stats[request->route];
	int64_t hedge_us = pd_policy_hedge_delay(&routes[request->route], stats->p92_us);
	struct machine *machine;
	int upstream, slot = 0;

	if (!picked)
		return false;
	upstream = upstream_index(picked);
	machine = &sim->machines[service][upstream];
	for (int i = 1; i < SLOTS; i++) {
		if (machine->slot_free_us[i] < machine->slot_free_us[slot])
			slot = i;
	}
	if (machine->slot_free_us[slot] < now_us)
		machine->slot_free_us[slot] = now_us;
	machine->slot_free_us[slot] +=
		(int64_t)((WORK_MIN_US + WORK_RANGE_US * draw(sim)) * machine_speeds[upstream]);
	machine->jobs++;
	ck_assert_uint_lt(sim->job_count, COUNT(sim->jobs));
	sim->jobs[sim->job_count++] = (struct job){.request = request,
						   .picked = picked,
						   .stats = stats,
						   .service = service,
						   .upstream = upstream,
						   .sent_us = now_us,
						   .done_us = machine->slot_free_us[slot],
						   .overdue_us = now_us + hedge_us};
	return true;
}

static struct pd_fair_request make_fair_request(const struct request *request, int64_t now_us)
{
	const struct pd_account *account = &accounts[request->account];

	return (struct pd_fair_request){
		.account = account->hash,
		.route = (uint64_t)request->route + 1,
		.weight = account->rate_per_s,
		.priority = priority_of(request->account, request->route),
		.services = service_hashes,
		.legs = routes[request->route].target_count,
		.needed = routes[request->route].target_count,
		.left_us = request->due_us - now_us,
	};
}

/* Decides on a request as serve.c does; sets @wait_us if it is refused. */
static bool is_admitted(struct sim *sim, const struct request *request, int64_t *wait_us,
			int64_t now_us)
{
	struct instance *instance = &sim->instances[request->instance];
	size_t legs = routes[request->route].target_count;
	int64_t expected[SERVICES];
	struct pd_fair_request fair = make_fair_request(request, now_us);
	struct pd_fair_verdict verdict;

	for (size_t i = 0; i < legs; i++) {
		expected[i] = pd_registry_queued_latency_us(&instance->registry,
							    instance->services[i], now_us);
		if (expected[i] > fair.expected_us)
			fair.expected_us = expected[i];
	}
	*wait_us = 0;
	if (!sim->setup.fair)
		return pd_policy_admit(&routes[request->route], expected, legs, now_us,
				       request->due_us, request->due_us);
	verdict = pd_fair_share_admit(&instance->fair_share, &fair, now_us);
	*wait_us = verdict.wait_us;
	return verdict.admitted;
}

/* Reports what became of a part, as serve.c does. */
static void report_part(struct sim *sim, const struct request *request, int service,
			enum pd_fair_result result, int64_t now_us)
{
	struct instance *instance = &sim->instances[request->instance];
	struct pd_fair_outcome outcome = {
		.service = service_hashes[service],
		.admitted_us = request->arrived_us,
		.ended_us = now_us,
		.result = result,
	};

	outcome.queued = pd_registry_is_queued(&instance->registry, instance->services[service],
					       now_us, &outcome.usual_us);
	if (sim->setup.fair)
		pd_fair_share_report(&instance->fair_share, &outcome, 1, now_us);
}

static void handle_request(struct sim *sim, struct request *request, int64_t now_us)
{
	const struct pd_route *route = &routes[request->route];
	int64_t deadline_us = pd_policy_deadline(route, now_us, false, 0), wait_us;

	request->arrived_us = now_us;
	request->due_us =
		pd_policy_due(route, now_us, pd_policy_cutoff(route, now_us, -1), deadline_us);
	request->end_us = deadline_us;
	TALLY(sim, request, offered);
	if (is_admitted(sim, request, &wait_us, now_us)) {
		size_t sent = 0;

		for (size_t i = 0; i < route->target_count; i++) {
			pd_registry_count_request(&sim->instances[request->instance].registry,
						  sim->instances[request->instance].services[i]);
			if (send_part(sim, request, (int)i, now_us))
				sent++;
			else
				report_part(sim, request, (int)i, PD_FAIR_NOT_TAKEN, now_us);
		}
		if (sent == route->target_count)
			return;
		request->failed = true;
		if (sim->setup.fair) {
			struct pd_fair_request fair = make_fair_request(request, now_us);

			wait_us = pd_fair_share_return(
				&sim->instances[request->instance].fair_share, &fair, now_us);
			if (!wait_us)
				wait_us = pd_policy_retry_after_ms(PD_REFUSAL_UPSTREAMS_OVERLOADED,
								   0, 0) *
					  PD_USEC_PER_MSEC;
		}
	}
	if (!is_measured(request) || request->returned)
		return;
	sim->result.refused++;
	sim->result.wait_us += (double)wait_us;
	if (!sim->setup.returns)
		return;
	request->arrived_us = now_us + wait_us;
	request->returned = true;
	sim->returning[sim->returning_count++] = request;
}

static struct request *draw_request(struct sim *sim)
{
	struct request *request = &sim->requests[sim->request_count++];
	double uses = 0, pick;

	ck_assert_uint_lt(sim->request_count, REQUESTS_MAX);
	for (int i = 0; i < FAIR_ACCOUNTS; i++)
		uses += usual_use(sim, i);
	pick = draw(sim) * uses;
	while ((pick -= usual_use(sim, request->account)) > 0 &&
	       request->account < FAIR_ACCOUNTS - 1)
		request->account++;
	pick = draw(sim);
	while ((pick -= route_shares[request->route]) > 0 && request->route < FAIR_ROUTES - 1)
		request->route++;
	request->instance = (int)(draw(sim) * sim->setup.instances);
	if (draw(sim) < sim->setup.busy_share)
		request->instance = 0;
	return request;
}

static void end_job(struct sim *sim, struct job *job, const struct pd_report *report,
		    int64_t now_us)
{
	job->ended = true;
	pd_registry_report(&sim->instances[job->request->instance].registry, job->picked, report,
			   now_us);
}

static void handle_response(struct sim *sim, struct job *job, int64_t now_us)
{
	struct request *request = job->request;
	uint32_t jobs = sim->machines[job->service][job->upstream].jobs;
	struct pd_report report = {.kind = PD_REPORT_SUCCESS,
				   .latency_us = now_us - job->sent_us,
				   .late = job->overdue,
				   .stats = job->stats,
				   .has_load = true,
				   .load = jobs,
				   .queued = jobs > SLOTS ? jobs - SLOTS : 0,
				   .has_speed = sim->setup.states_speed,
				   .speed = machine_speeds[job->upstream],
				   .answered = true};

	end_job(sim, job, &report, now_us);
	report_part(sim, request, job->service,
		    now_us <= request->due_us + STEP_US ? PD_FAIR_IN_TIME : PD_FAIR_LATE, now_us);
	if (++request->answered < routes[request->route].target_count || request->failed)
		return;
	if (job->done_us > request->due_us) {
		TALLY(sim, request, late);
		return;
	}
	TALLY(sim, request, served);
	if (is_measured(request) && !request->returned)
		sim->result.useful += (double)routes[request->route].target_count;
}

/* Gives up a part whose request is at its deadline. The upstream executes it nevertheless. */
static void give_up(struct sim *sim, struct job *job, int64_t now_us)
{
	struct request *request = job->request;
	struct pd_report report = {.kind = job->overdue ? PD_REPORT_TIMEOUT : PD_REPORT_ABANDONED,
				   .latency_us = now_us - job->sent_us,
				   .late = job->overdue,
				   .stats = job->stats};

	end_job(sim, job, &report, now_us);
	report_part(sim, request, job->service, PD_FAIR_LATE, now_us);
	if (!request->failed)
		TALLY(sim, request, late);
	request->failed = true;
}

static void handle_job(struct sim *sim, struct job *job, int64_t now_us)
{
	if (job->done_us <= now_us) {
		sim->machines[job->service][job->upstream].jobs--;
		if (!job->ended)
			handle_response(sim, job, now_us);
		job->done_us = NEVER;
	} else if (!job->ended && now_us >= job->request->end_us) {
		give_up(sim, job, now_us);
	} else if (!job->ended && !job->overdue && now_us >= job->overdue_us) {
		job->overdue = true;
		pd_registry_report_overdue(&sim->instances[job->request->instance].registry,
					   job->picked, job->stats, now_us - job->sent_us, now_us);
	}
}

static void handle_returns(struct sim *sim, int64_t now_us)
{
	for (size_t i = 0; i < sim->returning_count;) {
		struct request *request = sim->returning[i];

		if (request->arrived_us > now_us) {
			i++;
			continue;
		}
		sim->returning[i] = sim->returning[--sim->returning_count];
		handle_request(sim, request, now_us);
	}
}

/* Handles all jobs; those that have ended are skipped from the front. */
static void handle_jobs(struct sim *sim, int64_t now_us)
{
	for (size_t i = sim->first_job; i < sim->job_count; i++) {
		if (sim->jobs[i].done_us != NEVER)
			handle_job(sim, &sim->jobs[i], now_us);
	}
	while (sim->first_job < sim->job_count && sim->jobs[sim->first_job].done_us == NEVER)
		sim->first_job++;
}

/* Adds the figures of a run, which consist of doubles only. */
static void add_result(struct fair_result *sum, const struct fair_result *result)
{
	for (size_t i = 0; i < sizeof(*sum) / sizeof(double); i++)
		((double *)sum)[i] += ((const double *)result)[i];
}

static void run_seed(const struct fair_setup *setup, struct fair_result *sum)
{
	struct sim *sim = calloc(1, sizeof(*sim));
	int64_t end_us = START_US + WARM_UP_US + MEASURED_US;
	double next_us = START_US;

	ck_assert_ptr_nonnull(sim);
	sim->setup = *setup;
	sim->random_state = setup->seed;
	for (int i = 0; i < setup->instances; i++)
		init_instance(sim, i);
	for (int64_t now = START_US;
	     now < end_us || sim->first_job < sim->job_count || sim->returning_count;
	     now += STEP_US) {
		double load = setup->burst_us && now >= START_US + WARM_UP_US + setup->burst_us
				      ? setup->load_after
				      : setup->load;

		handle_jobs(sim, now);
		handle_returns(sim, now);
		for (; next_us <= (double)now && now < end_us;
		     next_us -= log(1 - draw(sim)) * 1e6 / (load * capacity_per_s()))
			handle_request(sim, draw_request(sim), now);
	}
	add_result(sum, &sim->result);
	for (int i = 0; i < setup->instances; i++) {
		pd_registry_finish(&sim->instances[i].registry);
		pd_fair_share_finish(&sim->instances[i].fair_share);
	}
	free(sim);
}

double fair_served_share(const struct fair_tally *tally)
{
	return tally->offered > 0 ? tally->served / tally->offered : 1;
}

static void print_result(const struct fair_setup *setup, const struct fair_result *result)
{
	printf("instances=%d load=%.1f queue=%u speed=%d fair=%d busy=%.1f: served %.3f late %.3f "
	       "useful "
	       "%.0f wait_ms %.0f returned %.3f of %.0f\n",
	       setup->instances, setup->load, setup->queue, setup->states_speed, setup->fair,
	       setup->busy_share, fair_served_share(&result->all),
	       result->all.late / result->all.offered, result->useful,
	       result->refused > 0 ? result->wait_us / result->refused / 1000 : 0,
	       fair_served_share(&result->returned), result->returned.offered);
	printf("  accounts");
	for (int i = 0; i < FAIR_ACCOUNTS; i++)
		printf(" %.3f", fair_served_share(&result->accounts[i]));
	printf("  routes");
	for (int i = 0; i < FAIR_ROUTES; i++)
		printf(" %.3f", fair_served_share(&result->routes[i]));
	printf("\n  instances");
	for (int i = 0; i < FAIR_INSTANCES_COUNTED; i++)
		printf(" %.3f", fair_served_share(&result->instances[i]));
	printf("  kinds");
	for (int priority = 0; priority < FAIR_PRIORITIES; priority++) {
		for (int i = 0; i < FAIR_ROUTES; i++) {
			if (result->kinds[priority][i].offered > 0)
				printf(" %d/%d %.3f", priority, i,
				       fair_served_share(&result->kinds[priority][i]));
		}
	}
	printf("\n");
}

struct fair_result fair_sim_run(struct fair_setup setup)
{
	struct fair_result result = {0};

	for (setup.seed = 1; setup.seed <= SEEDS; setup.seed++)
		run_seed(&setup, &result);
	print_result(&setup, &result);
	return result;
}
