#include "fault.h"

#include <ck_pr.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define COMMAND_TIMEOUT_US (10 * PD_USEC_PER_SEC)
#define KEPT_VERSIONS	   4 /* number of snapshots that upstreams hold at the same time */

/* Records when a zone is set out and in again, so that the audit can find requests sent to it. */
static void record_zone_state(struct bench_deployment *d, const char *text)
{
	char zone[64] = "";
	char state[8] = "";

	if (sscanf(text, "set zone %63s %7s", zone, state) != 2)
		return;
	for (uint32_t z = 0; z < d->experiment->zone_count; z++) {
		struct bench_interval *interval = &d->zone_out_intervals[z];

		if (strcmp(d->experiment->zones[z].text, zone) != 0)
			continue;
		if (!strcmp(state, "out"))
			*interval = (struct bench_interval){.from_ms = pd_os_unix_ms()};
		else
			interval->to_ms = pd_os_unix_ms();
	}
}

/* Runs an operators' command with peridotctl. */
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
		bench_process_wait(&ctl, COMMAND_TIMEOUT_US, &status);
	bench_process_finish(&ctl);
	if (status)
		return pd_error_set(err, PD_LAYER_STATE, PD_INVALID,
				    "peridotctl \"%s\" exited with status %d", text, status);
	record_zone_state(d, text);
	return PD_OK;
}

/* Updates the platform's instance list, which returns the change to readers with a delay. */
static void update_instance_list(struct bench_deployment *d, const struct bench_process *process,
				 const char *state)
{
	bool entry = bench_entry_number(d, process) >= 0;
	char line[256];

	if (!entry && bench_upstream_number(d, process) < 0)
		return;
	snprintf(line, sizeof(line), "instance %s %s 127.0.0.1:%u %s", process->name,
		 entry ? "entry" : "upstream", process->address.port, state);
	if (bench_control(&d->processes[d->platform].address, line, NULL) != PD_OK)
		fprintf(stderr, "can't set the state of %s to %s in the instance list\n",
			process->name, state);
}

/*
 * Stops a process and waits until it has exited. During a planned stop (SIGTERM) the instance list
 * shows it as leaving.
 */
static enum pd_code stop_process(struct bench_deployment *d, struct bench_process *process, int sig,
				 struct pd_error *err)
{
	int upstream = bench_upstream_number(d, process);
	int status;

	if (upstream >= 0) {
		bench_stats_add(&d->stopped_stats, &process->address);
		d->records_lost[upstream] = true;
	}
	if (sig == SIGTERM)
		update_instance_list(d, process, "leaving");
	bench_process_signal(process, sig);
	if (!bench_process_wait(process, 2 * COMMAND_TIMEOUT_US, &status))
		return pd_error_set(err, PD_LAYER_BASE, PD_TIMEOUT, "%s didn't exit in time",
				    process->name);
	update_instance_list(d, process, "gone");
	if (sig == SIGTERM && status && upstream < 0)
		return pd_error_set(err, PD_LAYER_STATE, PD_INVALID, "%s exited with status %d",
				    process->name, status);
	return PD_OK;
}

/* Starts a process again; an upstream starts cold. */
static enum pd_code start_process(struct bench_deployment *d, struct bench_process *process,
				  struct pd_error *err)
{
	int upstream = bench_upstream_number(d, process);
	enum pd_code code;

	if (process->pid)
		return pd_error_set(err, PD_LAYER_STATE, PD_INVALID, "%s is already running",
				    process->name);
	if (upstream >= 0 && strcmp(process->args[process->arg_count - 1], "--start-cold") != 0)
		bench_process_arg(process, "--start-cold");
	code = bench_process_start(process, err);
	if (code == PD_OK)
		update_instance_list(d, process, "live");
	return code;
}

/* Sends a control command. The instance list shows an upstream that drains as leaving. */
static enum pd_code control_process(struct bench_deployment *d, struct bench_process *process,
				    const char *line, struct pd_error *err)
{
	enum pd_code code = bench_control(&process->address, line, err);

	if (code == PD_OK && !strncmp(line, "drain ", strlen("drain ")))
		update_instance_list(d, process, strcmp(line, "drain off") ? "leaving" : "live");
	return code;
}

/* Runs an action that starts or signals a process. */
static enum pd_code signal_process(struct bench_deployment *d, struct bench_process *process,
				   const char *action, struct pd_error *err)
{
	if (!strcmp(action, "start"))
		return start_process(d, process, err);
	if (!process->pid)
		return pd_error_set(err, PD_LAYER_STATE, PD_INVALID, "%s isn't running",
				    process->name);
	if (!strcmp(action, "kill"))
		return stop_process(d, process, SIGKILL, err);
	if (!strcmp(action, "term"))
		return stop_process(d, process, SIGTERM, err);
	if (!strcmp(action, "stop"))
		bench_process_signal(process, SIGSTOP);
	else if (!strcmp(action, "cont"))
		bench_process_signal(process, SIGCONT);
	else
		return pd_error_set(err, PD_LAYER_STATE, PD_INVALID, "unknown action \"%s\"",
				    action);
	return PD_OK;
}

enum pd_code bench_fault_run(struct bench_deployment *d, const char *action, struct pd_error *err)
{
	struct bench_process *process;
	char action_name[32] = "";
	char name[64] = "";
	int arguments_at = 0;

	sscanf(action, "%31s %n", action_name, &arguments_at);
	if (!strcmp(action_name, "command"))
		return run_command(d, action + arguments_at, err);
	if (!strcmp(action_name, "relay"))
		return d->relay < 0 ? PD_OK
				    : bench_control(&d->relay_control, action + arguments_at, err);
	action += arguments_at;
	arguments_at = 0;
	sscanf(action, "%63s %n", name, &arguments_at);
	process = bench_deployment_find(d, name);
	if (!process)
		return pd_error_set(err, PD_LAYER_STATE, PD_NOT_FOUND, "unknown process \"%s\"",
				    name);
	if (!strcmp(action_name, "control"))
		return control_process(d, process, action + arguments_at, err);
	return signal_process(d, process, action_name, err);
}

/* Sleeps until @at_us after the start of the scenario; returns false if it is being stopped. */
static bool wait_until(struct bench_scenario *scenario, int64_t at_us)
{
	while (!ck_pr_load_int(&scenario->stopping)) {
		int64_t remaining_us = scenario->start_us + at_us - pd_os_now_us();

		if (remaining_us <= 0)
			return true;
		pd_os_sleep_us(remaining_us < 20 * PD_USEC_PER_MSEC ? remaining_us
								    : 20 * PD_USEC_PER_MSEC);
	}
	return false;
}

static void *run_plan(void *arg)
{
	struct bench_scenario *scenario = arg;
	const struct bench_experiment *e = scenario->deployment->experiment;

	for (uint32_t i = 0; i < e->faults.count; i++) {
		struct pd_error err = {0};
		long long at_ms = 0;
		int arguments_at = 0;

		if (sscanf(e->faults.items[i], "%lld %n", &at_ms, &arguments_at) != 1) {
			fprintf(stderr, "malformed entry \"%s\" in the fault plan\n",
				e->faults.items[i]);
			scenario->failed_actions++;
			continue;
		}
		if (!wait_until(scenario, (e->warmup_ms + at_ms) * PD_USEC_PER_MSEC))
			break;
		if (bench_fault_run(scenario->deployment, e->faults.items[i] + arguments_at,
				    &err) == PD_OK)
			continue;
		fprintf(stderr, "fault \"%s\" failed: %s\n", e->faults.items[i], err.text);
		scenario->failed_actions++;
	}
	return NULL;
}

/*
 * Publishes the next index version as an indexer does: first loads it into every upstream, then
 * updates the index object in the platform, and last drops the oldest version from the upstreams.
 */
static void publish(struct bench_scenario *scenario, struct pd_platform *platform)
{
	struct bench_deployment *d = scenario->deployment;
	uint64_t snapshot = scenario->snapshot + 1;
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
		scenario->snapshot = snapshot;
	pd_object_finish(&object);
	if (snapshot <= KEPT_VERSIONS)
		return;
	snprintf(line, sizeof(line), "drop %" PRIu64, snapshot - KEPT_VERSIONS);
	for (int i = 0; i < d->upstream_count; i++)
		bench_control(&d->processes[d->first_upstream + i].address, line, NULL);
}

static void *run_index(void *arg)
{
	struct bench_scenario *scenario = arg;
	const struct bench_experiment *e = scenario->deployment->experiment;
	int platform_index = scenario->deployment->platform;
	struct pd_platform platform;
	int64_t at_us = 0;

	if (pd_platform_open(&platform, &scenario->deployment->processes[platform_index].address,
			     NULL) != PD_OK)
		return NULL;
	while (wait_until(scenario, at_us += e->index_period_ms * PD_USEC_PER_MSEC))
		publish(scenario, &platform);
	pd_platform_close(&platform);
	return NULL;
}

enum pd_code bench_scenario_start(struct bench_scenario *scenario,
				  struct bench_deployment *deployment, struct pd_error *err)
{
	enum pd_code code;

	memset(scenario, 0, sizeof(*scenario));
	scenario->deployment = deployment;
	scenario->start_us = pd_os_now_us();
	scenario->snapshot = 1;
	code = pd_os_thread_start(&scenario->plan_thread, "plan", run_plan, scenario, err);
	if (code != PD_OK)
		return code;
	scenario->plan_started = true;
	if (!deployment->experiment->index_period_ms)
		return PD_OK;
	code = pd_os_thread_start(&scenario->index_thread, "index", run_index, scenario, err);
	scenario->index_started = code == PD_OK;
	return code;
}

void bench_scenario_stop(struct bench_scenario *scenario)
{
	ck_pr_store_int(&scenario->stopping, 1);
	if (scenario->plan_started)
		pthread_join(scenario->plan_thread, NULL);
	if (scenario->index_started)
		pthread_join(scenario->index_thread, NULL);
}
