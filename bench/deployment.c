#include "deployment.h"

#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#define READY_TIMEOUT_US    (20 * PD_USEC_PER_SEC)
#define STOP_TIMEOUT_US	    (20 * PD_USEC_PER_SEC)
#define CONTROL_TIMEOUT_US  (2 * PD_USEC_PER_SEC)
#define FIRST_PORT	    20000
#define PORT_COUNT	    12000
#define STANDIN_MAX_SECONDS 900

/* Entry instances and upstreams are distributed over the zones round robin. */
static uint32_t zone_index(const struct bench_experiment *experiment, int number)
{
	return experiment->zone_count ? (uint32_t)number % experiment->zone_count : 0;
}

const struct pd_name *bench_entry_zone(const struct bench_experiment *experiment, int entry)
{
	return &experiment->zones[zone_index(experiment, entry)];
}

const struct pd_name *bench_upstream_zone(const struct bench_experiment *experiment, int service,
					  int replica)
{
	return &experiment->zones[zone_index(experiment, service + replica)];
}

void bench_upstream_name(char *out, size_t size, int service, int replica)
{
	snprintf(out, size, "catalogue-%02d%c", service, 'a' + replica);
}

struct bench_process *bench_deployment_find(struct bench_deployment *deployment, const char *name)
{
	for (int i = 0; i < deployment->count; i++) {
		if (!strcmp(deployment->processes[i].name, name))
			return &deployment->processes[i];
	}
	return NULL;
}

int bench_entry_number(const struct bench_deployment *d, const struct bench_process *process)
{
	ptrdiff_t number = process - &d->processes[d->first_entry];

	return number >= 0 && number < d->experiment->entries ? (int)number : -1;
}

int bench_upstream_number(const struct bench_deployment *d, const struct bench_process *process)
{
	ptrdiff_t number = process - &d->processes[d->first_upstream];

	return number >= 0 && number < d->upstream_count ? (int)number : -1;
}

/* Performs an HTTP request; a status other than 200 is an error. @out may be NULL. */
static enum pd_code perform_request(const struct pd_address *address, const char *method,
				    const char *path, struct pd_str body, struct pd_buf *out,
				    struct pd_error *err)
{
	struct pd_http_request request = {.method = method,
					  .address = *address,
					  .path = path,
					  .body = body,
					  .timeout_us = CONTROL_TIMEOUT_US};
	struct pd_http_response response;
	struct pd_http_client *client;
	enum pd_code code = pd_http_client_open(&client, err);

	if (code != PD_OK)
		return code;
	code = pd_http_client_perform(client, &request, &response, err);
	if (code == PD_OK && response.status != 200)
		code = pd_error_set(err, PD_LAYER_PROTOCOL, PD_UNAVAILABLE,
				    "%s %s: status %d: %.*s", method, path, response.status,
				    PD_STR_ARG(response.body));
	if (code == PD_OK && out)
		pd_buf_append_str(out, response.body);
	pd_http_client_close(client);
	return code;
}

enum pd_code bench_control(const struct pd_address *address, const char *line, struct pd_error *err)
{
	return perform_request(address, "POST", "/control", pd_str_from(line), NULL, err);
}

enum pd_code bench_get(const struct pd_address *address, const char *path, struct pd_buf *body,
		       struct pd_error *err)
{
	return perform_request(address, "GET", path, (struct pd_str){0}, body, err);
}

static int64_t read_integer(json_t *json, const char *name)
{
	return (int64_t)json_integer_value(json_object_get(json, name));
}

static void update_max(int64_t *max, int64_t value)
{
	if (value > *max)
		*max = value;
}

void bench_stats_add(struct bench_upstream_stats *stats, const struct pd_address *address)
{
	struct pd_buf body;
	json_t *json = NULL;

	pd_buf_init(&body, 0);
	if (bench_get(address, "/stats", &body, NULL) == PD_OK)
		json = json_loadb(body.data ? body.data : "", body.len, 0, NULL);
	pd_buf_finish(&body);
	stats->requests_begun += read_integer(json, "begun");
	stats->requests_shed += read_integer(json, "shed");
	stats->cold_overloads += read_integer(json, "cold_overloads");
	stats->unannounced_overloads += read_integer(json, "unannounced_overloads");
	stats->crashes += read_integer(json, "crashes");
	stats->new_work_after_drain += read_integer(json, "new_work_after_drain");
	update_max(&stats->max_in_flight_cold, read_integer(json, "max_in_flight_cold"));
	update_max(&stats->last_new_work_after_drain_ms,
		   read_integer(json, "last_new_work_after_drain_ms"));
	json_decref(json);
}

static struct bench_process *add_process(struct bench_deployment *d, const char *name,
					 const char *program)
{
	struct bench_process *process = &d->processes[d->count++];

	bench_process_init(process, name, d->folder);
	bench_process_arg(process, "%s/%s", d->programs, program);
	return process;
}

/*
 * Finds a free port below the ephemeral port range: an outgoing connection could take a port of
 * that range before the program binds it.
 */
static enum pd_code find_free_address(struct pd_address *address, struct pd_error *err)
{
	static uint32_t ports_tried;
	uint32_t start = (uint32_t)getpid() * 131;

	strcpy(address->ip, "127.0.0.1");
	while (ports_tried < PORT_COUNT) {
		int fd;

		address->port = (uint16_t)(FIRST_PORT + (start + ports_tried++) % PORT_COUNT);
		if (pd_os_listen(address, &fd, err) == PD_OK) {
			pd_os_close(&fd);
			return PD_OK;
		}
	}
	return pd_error_set(err, PD_LAYER_BASE, PD_UNAVAILABLE,
			    "no free port below the ephemeral port range");
}

/* Adds a stand-in that listens at @port; 0 lets the system choose the port. */
static struct bench_process *add_standin_at(struct bench_deployment *d, const char *name,
					    const char *program, uint16_t port)
{
	struct bench_process *process = add_process(d, name, program);

	process->prints_address = true;
	bench_process_arg(process, "--listen");
	bench_process_arg(process, "127.0.0.1:%u", port);
	bench_process_arg(process, "--max-seconds");
	bench_process_arg(process, "%d", STANDIN_MAX_SECONDS);
	return process;
}

static struct bench_process *add_standin(struct bench_deployment *d, const char *name,
					 const char *program)
{
	return add_standin_at(d, name, program, 0);
}

static void add_text_arg(struct bench_process *process, const char *name, const char *value)
{
	bench_process_arg(process, "--%s", name);
	bench_process_arg(process, "%s", value);
}

static void add_integer_arg(struct bench_process *process, const char *name, int64_t value)
{
	bench_process_arg(process, "--%s", name);
	bench_process_arg(process, "%lld", (long long)value);
}

static void add_decimal_arg(struct bench_process *process, const char *name, double value)
{
	bench_process_arg(process, "--%s", name);
	bench_process_arg(process, "%.6f", value);
}

static enum pd_code start_upstream(struct bench_deployment *d, int service, int replica,
				   struct pd_error *err)
{
	const struct bench_experiment *e = d->experiment;
	struct bench_process *process;
	struct pd_address address;
	char service_name[32];
	enum pd_code code;
	char name[32];

	bench_upstream_name(name, sizeof(name), service, replica);
	snprintf(service_name, sizeof(service_name), "catalogue-%02d", service);
	/* The port is fixed, so that the upstream has the same address when it is started again. */
	code = find_free_address(&address, err);
	if (code != PD_OK)
		return code;
	process = add_standin_at(d, name, "standin-upstream", address.port);
	add_text_arg(process, "name", name);
	add_text_arg(process, "service", service_name);
	add_integer_arg(process, "slots", e->slots);
	add_integer_arg(process, "connections", e->connections);
	add_integer_arg(process, "connect-ms", e->connect_ms);
	add_decimal_arg(process, "service-ms", e->service_ms);
	add_decimal_arg(process, "sigma", e->sigma);
	add_decimal_arg(process, "slow-share", e->slow_share);
	add_decimal_arg(process, "slow-factor", e->slow_factor);
	add_integer_arg(process, "seed", e->seed);
	add_integer_arg(process, "buckets", e->buckets);
	add_integer_arg(process, "shard", service);
	add_integer_arg(process, "shards", e->services);
	add_integer_arg(process, "cold-ms", e->cold_ms);
	add_integer_arg(process, "cold-bears", e->cold_max_requests);
	add_text_arg(process, "versions", "1");
	return bench_process_start(process, err);
}

static enum pd_code start_upstreams(struct bench_deployment *d, struct pd_error *err)
{
	const struct bench_experiment *e = d->experiment;
	enum pd_code code = PD_OK;

	d->first_upstream = d->count;
	for (int s = 0; s < e->services && code == PD_OK; s++) {
		for (int r = 0; r < e->replicas && code == PD_OK; r++)
			code = start_upstream(d, s, r, err);
	}
	d->upstream_count = d->count - d->first_upstream;
	return code;
}

static enum pd_code choose_addresses(struct bench_deployment *d, struct pd_error *err)
{
	enum pd_code code = PD_OK;

	for (int i = 0; i < d->experiment->entries && code == PD_OK; i++) {
		code = find_free_address(&d->entry_http[i], err);
		if (code == PD_OK)
			code = find_free_address(&d->entry_peer[i], err);
	}
	return code;
}

/**
 * struct route - how instances of one zone reach an entry instance or the platform
 * @address: address of the relay; port 0 if the entry instance is in the same zone and is reached
 * without the relay
 */
struct route {
	struct pd_address address;
};

/*
 * Writes the relay's routes file and starts the relay. Fills @routes: one route for each pair of
 * zone and entry instance, then one for each zone to the platform.
 */
static enum pd_code start_relay(struct bench_deployment *d, struct route *routes,
				struct pd_error *err)
{
	const struct bench_experiment *e = d->experiment;
	struct bench_process *process = add_standin(d, "relay", "standin-relay");
	enum pd_code code = find_free_address(&d->relay_control, err);
	char path[400];
	FILE *file;

	d->relay = d->count - 1;
	snprintf(path, sizeof(path), "%s/routes", d->folder);
	file = code == PD_OK ? fopen(path, "we") : NULL;
	if (!file)
		return pd_error_set(err, PD_LAYER_BASE, PD_SYSTEM, "can't write %s", path);
	for (uint32_t z = 0; z < e->zone_count && code == PD_OK; z++) {
		for (int i = 0; i < e->entries && code == PD_OK; i++) {
			struct route *route = &routes[z * (uint32_t)e->entries + (uint32_t)i];

			if (pd_name_equal(&e->zones[z], bench_entry_zone(e, i)))
				continue;
			code = find_free_address(&route->address, err);
			fprintf(file, "%s.entry-%d,127.0.0.1:%u,127.0.0.1:%u\n", e->zones[z].text,
				i, route->address.port, d->entry_peer[i].port);
		}
		if (code == PD_OK)
			code = find_free_address(&routes[e->zone_count * e->entries + z].address,
						 err);
		fprintf(file, "%s.platform,127.0.0.1:%u,127.0.0.1:%u\n", e->zones[z].text,
			routes[e->zone_count * e->entries + z].address.port,
			d->processes[d->platform].address.port);
	}
	fclose(file);
	add_text_arg(process, "routes", path);
	bench_process_arg(process, "--control");
	bench_process_arg(process, "127.0.0.1:%u", d->relay_control.port);
	add_integer_arg(process, "delay-us", e->zone_delay_us);
	return code == PD_OK ? bench_process_start(process, err) : code;
}

/* The seeds are the other entry instances of the zone; the routes lead to all other zones. */
static void write_peer_settings(FILE *file, struct bench_deployment *d, const struct route *routes,
				int entry)
{
	const struct bench_experiment *e = d->experiment;
	uint32_t zone = zone_index(e, entry);
	const char *separator = "";

	fprintf(file, "[peer]\nlisten = \"127.0.0.1:%u\"\nseeds = [", d->entry_peer[entry].port);
	for (int i = 0; i < e->entries; i++) {
		if (i == entry ||
		    !pd_name_equal(bench_entry_zone(e, i), bench_entry_zone(e, entry)))
			continue;
		fprintf(file, "%s\"127.0.0.1:%u\"", separator, d->entry_peer[i].port);
		separator = ", ";
	}
	fprintf(file, "]\nroutes = [");
	separator = "";
	for (int i = 0; i < e->entries; i++) {
		const struct route *route = &routes[zone * (uint32_t)e->entries + (uint32_t)i];

		if (!route->address.port)
			continue;
		fprintf(file, "%s\"entry-%d=127.0.0.1:%u\"", separator, i, route->address.port);
		separator = ", ";
	}
	fprintf(file, "]\n");
}

static enum pd_code start_entry(struct bench_deployment *d, const struct route *routes, int entry,
				struct pd_error *err)
{
	const struct bench_experiment *e = d->experiment;
	uint32_t zone = zone_index(e, entry);
	struct bench_process *process;
	char name[32];
	char path[400];
	FILE *file;

	snprintf(name, sizeof(name), "entry-%d", entry);
	snprintf(path, sizeof(path), "%s/%s.toml", d->folder, name);
	file = fopen(path, "we");
	if (!file)
		return pd_error_set(err, PD_LAYER_BASE, PD_SYSTEM, "can't write %s", path);
	fprintf(file, "name = \"%s\"\nzone = \"%s\"\n[http]\nlisten = \"127.0.0.1:%u\"\n", name,
		e->zones[zone].text, d->entry_http[entry].port);
	fprintf(file, "[platform]\naddress = \"127.0.0.1:%u\"\n",
		routes[e->zone_count * e->entries + zone].address.port);
	fprintf(file, "[log]\nlevel = %lld\n[shutdown]\nlame_duck_ms = %lld\n",
		(long long)e->log_level, (long long)e->lame_duck_ms);
	write_peer_settings(file, d, routes, entry);
	fclose(file);
	process = add_process(d, name, "peridot-entry");
	process->address = d->entry_http[entry];
	add_text_arg(process, "settings", path);
	return bench_process_start(process, err);
}

static enum pd_code start_naive_entry(struct bench_deployment *d, int entry, struct pd_error *err)
{
	const struct bench_experiment *e = d->experiment;
	struct bench_process *process;
	char name[32];

	snprintf(name, sizeof(name), "entry-%d", entry);
	process = add_process(d, name, "naive-entry");
	process->address = d->entry_http[entry];
	bench_process_arg(process, "--listen");
	bench_process_arg(process, "127.0.0.1:%u", d->entry_http[entry].port);
	bench_process_arg(process, "--platform");
	bench_process_arg(process, "127.0.0.1:%u", d->processes[d->platform].address.port);
	add_text_arg(process, "zone", bench_entry_zone(e, entry)->text);
	add_integer_arg(process, "zone-delay-us", e->zone_delay_us);
	return bench_process_start(process, err);
}

static enum pd_code start_entries(struct bench_deployment *d, struct pd_error *err)
{
	const struct bench_experiment *e = d->experiment;
	struct route *routes = calloc(e->zone_count * ((size_t)e->entries + 1), sizeof(*routes));
	enum pd_code code = choose_addresses(d, err);

	d->relay = -1;
	if (!routes)
		return pd_error_set(err, PD_LAYER_BASE, PD_NO_MEMORY,
				    "out of memory for the relay's routes");
	if (code == PD_OK && d->target == BENCH_PRODUCT)
		code = start_relay(d, routes, err);
	d->first_entry = d->count;
	for (int i = 0; i < e->entries && code == PD_OK; i++) {
		code = d->target == BENCH_PRODUCT ? start_entry(d, routes, i, err)
						  : start_naive_entry(d, i, err);
	}
	free(routes);
	return code;
}

/* Adds all upstreams and entry instances to the platform's instance list. */
static enum pd_code register_instances(struct bench_deployment *d, struct pd_error *err)
{
	const struct pd_address *platform = &d->processes[d->platform].address;
	enum pd_code code = PD_OK;
	char line[256];

	for (int i = 0; i < d->upstream_count && code == PD_OK; i++) {
		const struct bench_process *p = &d->processes[d->first_upstream + i];

		snprintf(line, sizeof(line), "instance %s upstream 127.0.0.1:%u live", p->name,
			 p->address.port);
		code = bench_control(platform, line, err);
	}
	for (int i = 0; i < d->experiment->entries && code == PD_OK; i++) {
		snprintf(line, sizeof(line), "instance entry-%d entry 127.0.0.1:%u live", i,
			 d->entry_http[i].port);
		code = bench_control(platform, line, err);
	}
	return code;
}

/* Creates the configuration: writes the operators' commands to a file and runs peridotctl on it. */
static enum pd_code configure(struct bench_deployment *d, struct pd_error *err)
{
	const struct bench_experiment *e = d->experiment;
	struct bench_process ctl;
	int status = -1;
	char path[400];
	FILE *file;

	snprintf(path, sizeof(path), "%s/commands", d->folder);
	file = fopen(path, "we");
	if (!file)
		return pd_error_set(err, PD_LAYER_BASE, PD_SYSTEM, "can't write %s", path);
	for (uint32_t z = 0; z < e->zone_count; z++)
		fprintf(file, "create zone %s\n", e->zones[z].text);
	fprintf(file, "create collection catalogue buckets %lld\n", (long long)e->buckets);
	fprintf(file, "create kind lookup urgency urgent deadline %lldms\n",
		(long long)e->deadline_ms);
	fprintf(file, "create kind report urgency normal deadline %lldms\n",
		(long long)e->deadline_ms);
	for (int s = 0; s < e->services; s++) {
		fprintf(file, "create service catalogue-%02d in catalogue\n", s);
		for (int r = 0; r < e->replicas; r++) {
			const struct bench_process *p =
				&d->processes[d->first_upstream + s * e->replicas + r];

			fprintf(file,
				"create upstream %s service catalogue-%02d zone %s address "
				"127.0.0.1:%u slots %lld connections %lld connect %lldms\n",
				p->name, s, bench_upstream_zone(e, s, r)->text, p->address.port,
				(long long)e->slots, (long long)e->connections,
				(long long)e->connect_ms);
		}
	}
	fclose(file);
	bench_process_init(&ctl, "peridotctl", d->folder);
	bench_process_arg(&ctl, "%s/peridotctl", d->programs);
	bench_process_arg(&ctl, "--platform");
	bench_process_arg(&ctl, "127.0.0.1:%u", d->processes[d->platform].address.port);
	add_text_arg(&ctl, "operator", "experiment");
	bench_process_arg(&ctl, "-f");
	bench_process_arg(&ctl, "%s", path);
	if (bench_process_start(&ctl, err) == PD_OK)
		bench_process_wait(&ctl, READY_TIMEOUT_US, &status);
	bench_process_finish(&ctl);
	if (status)
		return pd_error_set(
			err, PD_LAYER_STATE, PD_INVALID,
			"peridotctl exited with status %d while creating the configuration; see %s",
			status, ctl.log_path);
	return PD_OK;
}

/* Publishes index version 1, which the upstreams hold from their start. */
static enum pd_code publish_index(struct bench_deployment *d, struct pd_error *err)
{
	struct pd_platform platform;
	char value[96];
	enum pd_code code;

	code = pd_platform_open(&platform, &d->processes[d->platform].address, err);
	if (code != PD_OK)
		return code;
	snprintf(value, sizeof(value), "{\"snapshot\":1,\"buckets\":%lld}",
		 (long long)d->experiment->buckets);
	code = pd_platform_put(&platform, "index/catalogue", pd_str_from(value), 0, NULL, err);
	pd_platform_close(&platform);
	return code;
}

static enum pd_code wait_entries_ready(struct bench_deployment *d, struct pd_error *err)
{
	int64_t deadline = pd_os_now_us() + READY_TIMEOUT_US;

	for (int i = 0; i < d->experiment->entries; i++) {
		enum pd_code code;

		while ((code = bench_get(&d->entry_http[i], "/ready", NULL, err)) != PD_OK) {
			if (pd_os_now_us() > deadline)
				return pd_error_wrap(err, PD_LAYER_STATE, code,
						     "an entry instance isn't ready");
			pd_os_sleep_us(20 * PD_USEC_PER_MSEC);
		}
	}
	return PD_OK;
}

static enum pd_code start_balancer(struct bench_deployment *d, struct pd_error *err)
{
	struct bench_process *process = add_standin(d, "balancer", "standin-balancer");

	d->balancer = d->count - 1;
	bench_process_arg(process, "--platform");
	bench_process_arg(process, "127.0.0.1:%u", d->processes[d->platform].address.port);
	return bench_process_start(process, err);
}

/* Waits until the balancer is ready: it finds the entry instances in the platform's instance list,
 * which shows changes with a delay. */
static enum pd_code wait_balancer_ready(struct bench_deployment *d, struct pd_error *err)
{
	int64_t deadline = pd_os_now_us() + READY_TIMEOUT_US;
	enum pd_code code;

	while ((code = bench_get(&d->processes[d->balancer].address, "/ready", NULL, err)) !=
	       PD_OK) {
		if (pd_os_now_us() > deadline)
			return pd_error_wrap(err, PD_LAYER_STATE, code, "the balancer isn't ready");
		pd_os_sleep_us(50 * PD_USEC_PER_MSEC);
	}
	return PD_OK;
}

enum pd_code bench_deployment_start(struct bench_deployment *d,
				    const struct bench_experiment *experiment,
				    enum bench_target target, const char *programs,
				    const char *folder, struct pd_error *err)
{
	struct bench_process *platform;
	enum pd_code code;

	memset(d, 0, sizeof(*d));
	d->experiment = experiment;
	d->target = target;
	snprintf(d->programs, sizeof(d->programs), "%s", programs);
	snprintf(d->folder, sizeof(d->folder), "%s", folder);
	mkdir(d->folder, 0755);
	platform = add_standin(d, "platform", "standin-platform");
	add_integer_arg(platform, "list-lag-ms", 1000);
	code = bench_process_start(platform, err);
	if (code == PD_OK)
		code = start_upstreams(d, err);
	if (code == PD_OK)
		code = configure(d, err);
	if (code == PD_OK)
		code = publish_index(d, err);
	if (code == PD_OK)
		code = start_entries(d, err);
	if (code == PD_OK)
		code = register_instances(d, err);
	if (code == PD_OK)
		code = wait_entries_ready(d, err);
	if (code == PD_OK)
		code = start_balancer(d, err);
	if (code == PD_OK)
		code = wait_balancer_ready(d, err);
	return code;
}

int bench_deployment_stop(struct bench_deployment *d)
{
	int failed = 0;
	int status;

	for (int i = 0; i < d->count; i++) {
		struct bench_process *p = &d->processes[i];

		if (i >= d->first_entry && i < d->first_entry + d->experiment->entries) {
			bench_process_signal(p, SIGTERM);
			/* A process that is stopped by SIGSTOP handles SIGTERM after SIGCONT. */
			bench_process_signal(p, SIGCONT);
		}
	}
	for (int i = d->count - 1; i >= 0; i--) {
		struct bench_process *p = &d->processes[i];
		bool entry = i >= d->first_entry && i < d->first_entry + d->experiment->entries;

		if (entry && p->pid) {
			if (!bench_process_wait(p, STOP_TIMEOUT_US, &status) || status) {
				fprintf(stderr,
					"%s exited with status %d or didn't exit in time; see %s\n",
					p->name, status, p->log_path);
				failed++;
			}
		}
	}
	for (int i = d->count - 1; i >= 0; i--)
		bench_process_finish(&d->processes[i]);
	return failed;
}
