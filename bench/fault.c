#include "fault.h"

#include <ck_pr.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define COMMAND_US    (10 * PD_USEC_PER_SEC)
#define KEPT_VERSIONS 4 /* snapshots that upstreams hold at a time */

/* Notes when a zone is taken out and put back, for the audit of new work there. */
static void note_zone(struct bench_deployment *d, const char *text)
{
	char zone[64] = "";
	char state[8] = "";

	if (sscanf(text, "set zone %63s %7s", zone, state) != 2)
		return;
	for (uint32_t z = 0; z < d->experiment->zone_count; z++) {
		struct bench_interval *out = &d->zone_out_intervals[z];

		if (strcmp(d->experiment->zones[z].text, zone) != 0)
			continue;
		if (!strcmp(state, "out"))
			*out = (struct bench_interval){.from_ms = pd_os_unix_ms()};
		else
			out->to_ms = pd_os_unix_ms();
	}
}

static enum pd_code run_command(struct bench_deployment *d, const char *text, struct pd_error *err)
{
	struct bench_process ctl;
	int status = -1;

	bench_process_init(&ctl, "peridotctl", d->folder);
	bench_process_arg(&ctl, "%s/peridotctl", d->programs);
	bench_process_arg(&ctl, "--platform");
	bench_process_arg(&ctl, "127.0.0.1:%u", d->processes[d->platform].address.port);
	bench_process_arg(&ctl, "--operator");
	bench_process_arg(&ctl, "experiment");
	bench_process_arg(&ctl, "%s", text);
	if (bench_process_start(&ctl, err) == PD_OK)
		bench_process_wait(&ctl, COMMAND_US, &status);
	bench_process_finish(&ctl);
	if (status)
		return pd_error_set(err, PD_LAYER_STATE, PD_INVALID, "\"%s\" ended with status %d",
				    text, status);
	note_zone(d, text);
	return PD_OK;
}

/* Changes the platform's instance list, which shows it with its lag. */
static void list_instance(struct bench_deployment *d, const struct bench_process *process,
			  const char *state)
{
	bool entry = bench_entry_number(d, process) >= 0;
	char line[256];

	if (!entry && bench_upstream_number(d, process) < 0)
		return;
	snprintf(line, sizeof(line), "instance %s %s 127.0.0.1:%u %s", process->name,
		 entry ? "entry" : "upstream", process->address.port, state);
	if (bench_control(&d->processes[d->platform].address, line, NULL) != PD_OK)
		fprintf(stderr, "can't list %s as %s\n", process->name, state);
}

/* Ends a process; a planned stop is listed as leaving while it lasts. */
static enum pd_code end_process(struct bench_deployment *d, struct bench_process *process, int sig,
				struct pd_error *err)
{
	int upstream = bench_upstream_number(d, process);
	int status;

	if (upstream >= 0) {
		bench_stats_add(&d->stopped_stats, &process->address);
		d->records_lost[upstream] = true;
	}
	if (sig == SIGTERM)
		list_instance(d, process, "leaving");
	bench_process_signal(process, sig);
	if (!bench_process_wait(process, 2 * COMMAND_US, &status))
		return pd_error_set(err, PD_LAYER_BASE, PD_TIMEOUT, "%s didn't end", process->name);
	list_instance(d, process, "gone");
	if (sig == SIGTERM && status && upstream < 0)
		return pd_error_set(err, PD_LAYER_STATE, PD_INVALID, "%s ended with status %d",
				    process->name, status);
	return PD_OK;
}

/* An upstream's process starts cold. */
static enum pd_code start_process(struct bench_deployment *d, struct bench_process *process,
				  struct pd_error *err)
{
	int upstream = bench_upstream_number(d, process);
	enum pd_code code;

	if (process->pid)
		return pd_error_set(err, PD_LAYER_STATE, PD_INVALID, "%s runs already",
				    process->name);
	if (upstream >= 0 && strcmp(process->args[process->arg_count - 1], "--start-cold") != 0)
		bench_process_arg(process, "--start-cold");
	code = bench_process_start(process, err);
	if (code == PD_OK)
		list_instance(d, process, "live");
	return code;
}

/* An upstream that drains is listed as leaving. */
static enum pd_code control_process(struct bench_deployment *d, struct bench_process *process,
				    const char *line, struct pd_error *err)
{
	enum pd_code code = bench_control(&process->address, line, err);

	if (code == PD_OK && !strncmp(line, "drain ", strlen("drain ")))
		list_instance(d, process, strcmp(line, "drain off") ? "leaving" : "live");
	return code;
}

static enum pd_code signal_process(struct bench_deployment *d, struct bench_process *process,
				   const char *action, struct pd_error *err)
{
	if (!strcmp(action, "start"))
		return start_process(d, process, err);
	if (!process->pid)
		return pd_error_set(err, PD_LAYER_STATE, PD_INVALID, "%s doesn't run",
				    process->name);
	if (!strcmp(action, "kill"))
		return end_process(d, process, SIGKILL, err);
	if (!strcmp(action, "term"))
		return end_process(d, process, SIGTERM, err);
	if (!strcmp(action, "stop"))
		bench_process_signal(process, SIGSTOP);
	else if (!strcmp(action, "cont"))
		bench_process_signal(process, SIGCONT);
	else
		return pd_error_set(err, PD_LAYER_STATE, PD_INVALID, "no action is called \"%s\"",
				    action);
	return PD_OK;
}

enum pd_code bench_fault_run(struct bench_deployment *d, const char *action, struct pd_error *err)
{
	struct bench_process *process;
	char verb[32] = "";
	char name[64] = "";
	int rest = 0;

	sscanf(action, "%31s %n", verb, &rest);
	if (!strcmp(verb, "command"))
		return run_command(d, action + rest, err);
	if (!strcmp(verb, "relay"))
		return d->relay < 0 ? PD_OK : bench_control(&d->relay_control, action + rest, err);
	action += rest;
	rest = 0;
	sscanf(action, "%63s %n", name, &rest);
	process = bench_deployment_find(d, name);
	if (!process)
		return pd_error_set(err, PD_LAYER_STATE, PD_NOT_FOUND,
				    "no process is called \"%s\"", name);
	if (!strcmp(verb, "control"))
		return control_process(d, process, action + rest, err);
	return signal_process(d, process, verb, err);
}

/* Sleeps until @at_us after the start; false when stopping. */
static bool wait_until(struct bench_scenario *director, int64_t at_us)
{
	while (!ck_pr_load_int(&director->stopping)) {
		int64_t left = director->start_us + at_us - pd_os_now_us();

		if (left <= 0)
			return true;
		pd_os_sleep_us(left < 20 * PD_USEC_PER_MSEC ? left : 20 * PD_USEC_PER_MSEC);
	}
	return false;
}

static void *run_plan(void *arg)
{
	struct bench_scenario *director = arg;
	const struct bench_experiment *e = director->deployment->experiment;

	for (uint32_t i = 0; i < e->faults.count; i++) {
		struct pd_error err = {0};
		long long at_ms = 0;
		int rest = 0;

		if (sscanf(e->faults.items[i], "%lld %n", &at_ms, &rest) != 1) {
			fprintf(stderr, "malformed fault \"%s\"\n", e->faults.items[i]);
			director->failed++;
			continue;
		}
		if (!wait_until(director, (e->warmup_ms + at_ms) * PD_USEC_PER_MSEC))
			break;
		if (bench_fault_run(director->deployment, e->faults.items[i] + rest, &err) == PD_OK)
			continue;
		fprintf(stderr, "fault \"%s\" failed: %s\n", e->faults.items[i], err.text);
		director->failed++;
	}
	return NULL;
}

/* Loads a version into every upstream first and publishes it then, as an indexer does. */
static void publish(struct bench_scenario *director, struct pd_platform *platform)
{
	struct bench_deployment *d = director->deployment;
	uint64_t snapshot = director->snapshot + 1;
	struct pd_object object;
	char value[96];
	char line[64];

	snprintf(line, sizeof(line), "load %" PRIu64, snapshot);
	for (int i = 0; i < d->upstream_count; i++)
		bench_control(&d->processes[d->first_upstream + i].address, line, NULL);
	if (pd_platform_get(platform, "index/catalogue", &object, NULL) != PD_OK)
		return;
	snprintf(value, sizeof(value), "{\"snapshot\":%" PRIu64 ",\"buckets\":%" PRId64 "}",
		 snapshot, d->experiment->buckets);
	if (pd_platform_put(platform, "index/catalogue", pd_str_from(value), object.version, NULL,
			    NULL) == PD_OK)
		director->snapshot = snapshot;
	pd_object_finish(&object);
	if (snapshot <= KEPT_VERSIONS)
		return;
	snprintf(line, sizeof(line), "drop %" PRIu64, snapshot - KEPT_VERSIONS);
	for (int i = 0; i < d->upstream_count; i++)
		bench_control(&d->processes[d->first_upstream + i].address, line, NULL);
}

static void *run_index(void *arg)
{
	struct bench_scenario *director = arg;
	const struct bench_experiment *e = director->deployment->experiment;
	int platform_index = director->deployment->platform;
	struct pd_platform platform;
	int64_t at_us = 0;

	if (pd_platform_open(&platform, &director->deployment->processes[platform_index].address,
			     NULL) != PD_OK)
		return NULL;
	while (wait_until(director, at_us += e->index_period_ms * PD_USEC_PER_MSEC))
		publish(director, &platform);
	pd_platform_close(&platform);
	return NULL;
}

enum pd_code bench_scenario_start(struct bench_scenario *director,
				  struct bench_deployment *deployment, struct pd_error *err)
{
	enum pd_code code;

	memset(director, 0, sizeof(*director));
	director->deployment = deployment;
	director->start_us = pd_os_now_us();
	director->snapshot = 1;
	code = pd_os_thread_start(&director->plan_thread, "plan", run_plan, director, err);
	if (code != PD_OK)
		return code;
	director->plan_started = true;
	if (!deployment->experiment->index_period_ms)
		return PD_OK;
	code = pd_os_thread_start(&director->index_thread, "index", run_index, director, err);
	director->index_started = code == PD_OK;
	return code;
}

void bench_scenario_stop(struct bench_scenario *director)
{
	ck_pr_store_int(&director->stopping, 1);
	if (director->plan_started)
		pthread_join(director->plan_thread, NULL);
	if (director->index_started)
		pthread_join(director->index_thread, NULL);
}
