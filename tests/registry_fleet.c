#include "registry_fleet.h"

#include <arpa/inet.h>
#include <check.h>
#include <stdio.h>

#include "log.h"

struct pd_upstream_entry make_entry(const char *id, const char *zone)
{
	struct pd_upstream_entry entry = {.slots = 3, .started_unix_ms = 1};

	ck_assert(pd_name_set(&entry.id, pd_str_from(id)));
	ck_assert(pd_name_set(&entry.service, PD_STR("s")));
	ck_assert(pd_name_set(&entry.zone, pd_str_from(zone)));
	entry.address.in = (struct sockaddr_in){.sin_family = AF_INET, .sin_port = htons(9)};
	snprintf(entry.address.text, sizeof(entry.address.text), "127.0.0.1:9");
	return entry;
}

struct fleet fleet;

/* Tells a registry that it belongs to the instance @self of @count instances of the same size. */
void set_instances(struct pd_registry *instance, size_t self, size_t count)
{
	struct pd_instance_load loads[FLEET_MAX];

	for (size_t i = 0; i < count; i++)
		loads[i] = (struct pd_instance_load){.hash = (self + i) % count, .load = 0.1};
	pd_registry_set_instances(instance, loads, count);
}

void fleet_init(size_t count, bool with_other_upstream)
{
	struct pd_registry_options options = {.retry_ratio = 0.2, .retry_slack = 100};
	struct pd_upstream_entry limited = make_entry("a", "here"), other = make_entry("b", "here");

	ck_assert(pd_name_set(&options.zone, PD_STR("here")));
	pd_log_open("fleet", PD_LOG_ERROR);
	fleet.count = count;
	fleet.sent_count = 0;
	fleet.refused = 0;
	for (size_t i = 0; i < count; i++) {
		pd_registry_init(&fleet.instances[i], &options);
		set_instances(&fleet.instances[i], i, count);
		pd_registry_put(&fleet.instances[i], &limited, false);
		if (with_other_upstream)
			pd_registry_put(&fleet.instances[i], &other, false);
	}
}

void fleet_finish(void)
{
	for (size_t i = 0; i < fleet.count; i++)
		pd_registry_finish(&fleet.instances[i]);
}

/* Chooses the upstream of a request; counts the request, also if no upstream may get it. */
static struct pd_upstream *fleet_pick(struct pd_registry *sender, int64_t now)
{
	struct pd_upstream *upstream;
	struct pd_service *service;

	HASH_FIND(hh, sender->services, "s", 1, service);
	ck_assert_ptr_nonnull(service);
	upstream = pd_registry_pick(sender, service, NULL, 0, now);
	if (!upstream) {
		fleet.refused++;
	} else if (upstream->id.text[0] == 'a') {
		ck_assert_uint_lt(fleet.sent_count, FLEET_SENT_MAX);
		fleet.sent[fleet.sent_count++] = now;
	}
	return upstream;
}

/* Sends a request from one instance. "a" states its limit in the response. */
void fleet_send(size_t instance, int64_t now)
{
	struct pd_registry *sender = &fleet.instances[instance];
	struct pd_report report = {.kind = PD_REPORT_SUCCESS, .latency_us = 1000, .answered = true};
	struct pd_upstream *upstream = fleet_pick(sender, now);

	if (!upstream)
		return;
	if (upstream->id.text[0] == 'a') {
		report.directives.has_limit = fleet.limit_per_s >= 0;
		report.directives.limit_per_s = report.directives.has_limit ? fleet.limit_per_s : 0;
	}
	pd_registry_report(sender, upstream, &report, now + 1000);
}

/* Sends @per_s requests per second from each instance, evenly, from @start_s to @end_s. */
void fleet_run(double per_s, double start_s, double end_s)
{
	size_t requests = (size_t)((end_s - start_s) * per_s * (double)fleet.count);

	for (size_t i = 0; i < requests; i++) {
		double at_s = start_s + (double)i / (per_s * (double)fleet.count);

		fleet_send(i % fleet.count, (int64_t)((FLEET_EPOCH_S + at_s) * 1000000));
	}
}

/* Returns the number of requests to "a" from @start_s on for @seconds. */
size_t fleet_sent_in(double start_s, double seconds)
{
	int64_t from = (int64_t)((FLEET_EPOCH_S + start_s) * 1000000);
	int64_t until = from + (int64_t)(seconds * 1000000);
	size_t count = 0;

	for (size_t i = 0; i < fleet.sent_count; i++)
		count += fleet.sent[i] >= from && fleet.sent[i] < until;
	return count;
}

/* Returns the highest number of requests to "a" in any 4 s that begin between the two times. */
size_t fleet_most_in_window(double start_s, double end_s)
{
	size_t steps = (size_t)((end_s - start_s - LIMIT_WINDOW_S) * 10), most = 0;

	for (size_t i = 0; i <= steps; i++) {
		size_t count = fleet_sent_in(start_s + (double)i / 10, LIMIT_WINDOW_S);

		most = count > most ? count : most;
	}
	return most;
}

size_t allowed_in_window(double limit_per_s)
{
	return (size_t)(1.5 * LIMIT_WINDOW_S * limit_per_s + 5);
}

/**
 * struct pending - a request that is being executed
 * @instance: index of the instance that sent it
 * @upstream: upstream that executes it
 * @due_us: time of its response
 */
struct pending {
	size_t instance;
	struct pd_upstream *upstream;
	int64_t due_us;
};

static struct pending pending[FLEET_SENT_MAX];
static size_t pending_count;

/* Sends a request whose response arrives after @latency_us. */
static void fleet_begin(size_t instance, int64_t now, int64_t latency_us)
{
	struct pd_registry *sender = &fleet.instances[instance];
	struct pd_upstream *upstream = fleet_pick(sender, now);

	if (!upstream)
		return;
	ck_assert_uint_lt(pending_count, FLEET_SENT_MAX);
	pending[pending_count++] = (struct pending){instance, upstream, now + latency_us};
}

/* Reports the responses that are due; "a" states its limit in them. */
static void fleet_respond(int64_t now, int64_t latency_us)
{
	size_t kept = 0;

	for (size_t i = 0; i < pending_count; i++) {
		struct pd_report report = {
			.kind = PD_REPORT_SUCCESS, .latency_us = latency_us, .answered = true};

		if (pending[i].due_us > now) {
			pending[kept++] = pending[i];
			continue;
		}
		if (pending[i].upstream->id.text[0] == 'a' && fleet.limit_per_s >= 0) {
			report.directives.has_limit = true;
			report.directives.limit_per_s = fleet.limit_per_s;
		}
		pd_registry_report(&fleet.instances[pending[i].instance], pending[i].upstream,
				   &report, now);
	}
	pending_count = kept;
}

/* Lets an instance take over the limits that its source knows, as the feed's list has them. */
static void inherit_limits(size_t instance, size_t source, int64_t now)
{
	struct pd_upstream *known, *upstream;

	HASH_FIND(hh, fleet.instances[source].upstreams, "a", 1, known);
	HASH_FIND(hh, fleet.instances[instance].upstreams, "a", 1, upstream);
	ck_assert(known && upstream);
	if (known->terms.rate_limit.active)
		pd_permit_inherit_limit_locked(&fleet.instances[instance], upstream,
					       known->terms.rate_limit.limit_per_s, now);
}

/* Replaces an instance by one that has just started, has listed the instances, and has received the
 * list of upstreams from its source: instance 7, which doesn't restart and gets requests.
 */
static void fleet_restart(size_t instance, int64_t now)
{
	struct pd_registry_options options = {.retry_ratio = 0.2, .retry_slack = 100};
	struct pd_upstream_entry limited = make_entry("a", "here"), other = make_entry("b", "here");
	size_t kept = 0;

	for (size_t i = 0; i < pending_count; i++) {
		if (pending[i].instance != instance)
			pending[kept++] = pending[i];
	}
	pending_count = kept;
	ck_assert(pd_name_set(&options.zone, PD_STR("here")));
	pd_registry_finish(&fleet.instances[instance]);
	pd_registry_init(&fleet.instances[instance], &options);
	set_instances(&fleet.instances[instance], instance, fleet.count);
	pd_registry_put(&fleet.instances[instance], &limited, false);
	pd_registry_put(&fleet.instances[instance], &other, false);
	inherit_limits(instance, 7, now);
}

/* Sends the requests of one step of the simulation: three of an instance arrive together. */
static void send_step(double *due, size_t *turn, int64_t now, int64_t latency_us)
{
	if (!fleet.count)
		return;
	while (*due >= 3) {
		for (int i = 0; i < 3; i++)
			fleet_begin(*turn % fleet.count, now, latency_us);
		*turn += 7;
		*due -= 3;
	}
}

size_t fleet_play_burst(const struct fleet_burst *burst, uint64_t seed)
{
	const int64_t latency_us = 60000, step_us = 1000;
	int64_t next_restart_us = (int64_t)((FLEET_EPOCH_S + 7) * 1000000);
	size_t turn = 0, restarted = 0, most;
	double due = 0;

	fleet_init(burst->instances, true);
	for (size_t i = 0; i < fleet.count; i++)
		fleet.instances[i].random_state = seed * 1000 + i;
	fleet.limit_per_s = -1;
	pending_count = 0;
	for (int64_t at_us = 0; at_us < 16000000; at_us += step_us) {
		int64_t now = (int64_t)(FLEET_EPOCH_S * 1000000) + at_us;

		if (at_us == 8000000)
			fleet.limit_per_s = burst->limit_per_s;
		fleet_respond(now, latency_us);
		if (now >= next_restart_us && restarted < fleet.count / 2) {
			fleet_restart(2 * restarted, now);
			fleet.instances[2 * restarted].random_state = seed * 2000 + restarted;
			restarted++;
			next_restart_us += burst->restart_interval_us;
		}
		due += burst->demand_per_s * (double)fleet.count * (double)step_us / 1e6;
		send_step(&due, &turn, now, latency_us);
	}
	most = fleet_most_in_window(8, 16);
	pending_count = 0;
	fleet_finish();
	return most;
}
