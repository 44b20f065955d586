/**
 * DOC: Soak test of real ingress processes under random faults
 *
 * Starts a small deployment and callers, injects faults that a seed determines for some seconds,
 * and waits until the deployment has recovered. Checks the answers to callers and the requests at
 * upstreams against the rules of ledger.h. The exit status is 0 if no rule is violated.
 */
#include <getopt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "callers.h"
#include "faults.h"
#include "fleet.h"
#include "ledger.h"
#include "quotas.h"
#include "rollouts.h"

#define POLL_INTERVAL_US      (10 * PD_USEC_PER_MSEC)
#define READY_TIMEOUT_US      (15 * PD_USEC_PER_SEC)
#define RECOVERY_WINDOW_US    PD_USEC_PER_SEC /* all requests that end in it must be served */
#define RECOVERY_MIN_REQUESTS 20 /* lowest number of requests in this window */
/* After the last fault: contact of 5 s, a window, and a part of one in which a lower limit binds.
 */
#define QUOTA_TAIL_US	  (12 * PD_USEC_PER_SEC)
#define INSTANCES_DEFAULT 8
#define FAULT_SECONDS_MAX 600
#define ALARM_MARGIN_S	  90 /* for the start, the last faults and the recovery */

struct options {
	uint64_t seed;
	int seconds;
	int instances;
	const char *binary;
	const char *folder;
};

static void print_help(void)
{
	puts("Usage: soak --seed N [--seconds N] [--instances N] --ingress PROGRAM --folder "
	     "FOLDER\n"
	     "Runs ingress processes with random faults and checks the answers to callers.\n\n"
	     "  --seed N        determines the faults and the requests\n"
	     "  --seconds N     duration of the faults, 12 by default, 600 at most\n"
	     "  --instances N   processes, spread over four zones, 8 by default, 200 at most\n"
	     "  --ingress PATH  ingress program\n"
	     "  --folder PATH   existing folder for settings files and logs\n"
	     "  --keys          requests need API keys, which configurations withdraw\n"
	     "  --quotas        the same, without withdrawals; accounts have quotas, one is noisy\n"
	     "  --rollouts      good and bad versions of services are rolled out\n"
	     "  --help          print this text");
}

static bool parse_options(int argc, char **argv, struct options *options)
{
	static const struct option long_options[] = {{"seed", required_argument, NULL, 's'},
						     {"seconds", required_argument, NULL, 't'},
						     {"instances", required_argument, NULL, 'n'},
						     {"ingress", required_argument, NULL, 'i'},
						     {"folder", required_argument, NULL, 'f'},
						     {"keys", no_argument, NULL, 'k'},
						     {"quotas", no_argument, NULL, 'q'},
						     {"rollouts", no_argument, NULL, 'r'},
						     {"help", no_argument, NULL, 'h'},
						     {NULL, 0, NULL, 0}};
	int option;

	*options = (struct options){.seconds = 12, .instances = INSTANCES_DEFAULT};
	while ((option = getopt_long(argc, argv, "", long_options, NULL)) >= 0) {
		switch (option) {
		case 's':
			options->seed = strtoull(optarg, NULL, 10);
			break;
		case 't':
			options->seconds = atoi(optarg);
			break;
		case 'n':
			options->instances = atoi(optarg);
			break;
		case 'i':
			options->binary = optarg;
			break;
		case 'f':
			options->folder = optarg;
			break;
		case 'k':
			fleet.use_keys = true;
			break;
		case 'q':
			fleet.use_keys = true;
			fleet.use_quotas = true;
			break;
		case 'r':
			fleet.use_rollouts = true;
			break;
		case 'h':
			print_help();
			exit(EXIT_SUCCESS);
		default:
			return false;
		}
	}
	return optind == argc && options->instances > 0 &&
	       options->instances <= FLEET_INSTANCES_MAX && options->binary && options->folder &&
	       options->seconds > 0 && options->seconds <= FAULT_SECONDS_MAX;
}

static bool all_ready(void)
{
	for (size_t i = 0; i < fleet.instance_count; i++) {
		if (!fleet_is_ready(&fleet.instances[i]))
			return false;
	}
	return true;
}

static bool await_ready(void)
{
	int64_t until_us = pd_os_now_us() + READY_TIMEOUT_US;

	while (pd_os_now_us() < until_us) {
		fleet_poll();
		if (all_ready())
			return true;
		pd_os_sleep_us(10 * POLL_INTERVAL_US);
	}
	return false;
}

/*
 * Runs for @duration_us, and longer until the last fault has ended. Starts random faults unless
 * @no_faults.
 */
static void run_faults(int64_t duration_us, bool no_faults)
{
	int64_t until_us = pd_os_now_us() + duration_us;

	while (pd_os_now_us() < until_us || !faults_all_ended() || !rollouts_all_ended()) {
		faults_poll(no_faults || pd_os_now_us() >= until_us);
		if (fleet.use_rollouts)
			rollouts_poll(no_faults || pd_os_now_us() >= until_us);
		fleet_poll();
		pd_os_sleep_us(POLL_INTERVAL_US);
	}
}

/* Waits until all requests that ended within one window were served. */
static void await_recovery(void)
{
	int64_t start_us = pd_os_now_us();
	uint32_t ended = 0, served = 0;

	while (pd_os_now_us() - start_us < FLEET_RECOVERY_TIMEOUT_US + RECOVERY_WINDOW_US) {
		int64_t window_start_us = pd_os_now_us();

		ledger_reset_window();
		while (pd_os_now_us() - window_start_us < RECOVERY_WINDOW_US) {
			fleet_poll();
			pd_os_sleep_us(POLL_INTERVAL_US);
		}
		ledger_read_window(&ended, &served);
		if (ended >= RECOVERY_MIN_REQUESTS && ended == served) {
			printf("recovered after %lld ms\n",
			       (long long)((window_start_us - start_us) / PD_USEC_PER_MSEC));
			return;
		}
	}
	ledger_report_violation(
		RULE_RECOVERY,
		"%u of %u requests in the last window were served, %d s after the faults", served,
		ended, (int)(FLEET_RECOVERY_TIMEOUT_US / PD_USEC_PER_SEC));
}

/* Peak resident memory of a process in KB; 0 if unknown. */
static long peak_memory_kb(pid_t pid)
{
	char path[64], line[128];
	long kb = 0;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
	file = fopen(path, "r");
	while (file && fgets(line, sizeof(line), file)) {
		if (!strncmp(line, "VmHWM:", 6))
			kb = strtol(line + 6, NULL, 10);
	}
	if (file)
		fclose(file);
	return kb;
}

static void check_memory(void)
{
	for (size_t i = 0; i < fleet.instance_count; i++) {
		long kb = fleet.instances[i].pid ? peak_memory_kb(fleet.instances[i].pid) : 0;

		if (kb > FLEET_MEMORY_MAX_KB)
			ledger_report_violation(RULE_ENDED, "%s used %ld KB of memory",
						fleet.instances[i].name, kb);
	}
}

int main(int argc, char **argv)
{
	struct options options;
	int violated_rules;

	if (!parse_options(argc, argv, &options)) {
		fprintf(stderr, "soak: invalid arguments, see --help\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	alarm((unsigned int)options.seconds + ALARM_MARGIN_S);
	printf("seed %llu, %d s: ", (unsigned long long)options.seed, options.seconds);
	faults_init(options.seed);
	rollouts_init(options.seed);
	fleet_start(options.binary, options.folder, (size_t)options.instances, options.seed % 2,
		    faults_first_config());
	if (!await_ready()) {
		ledger_report_violation(RULE_RECOVERY, "not all instances became ready");
	} else {
		callers_start(options.seed);
		/* After FLEET_STABLE_US without faults, the instances count as synced. */
		run_faults(FLEET_STABLE_US, true);
		run_faults(options.seconds * PD_USEC_PER_SEC, false);
		if (fleet.use_quotas) {
			faults_reduce_quotas();
			run_faults(QUOTA_TAIL_US, true);
		}
		await_recovery();
	}
	check_memory();
	callers_stop();
	if (!fleet_stop())
		ledger_report_violation(RULE_ENDED, "instances still run after SIGKILL");
	if (fleet.use_quotas)
		quotas_print();
	if (fleet.use_rollouts)
		rollouts_print();
	violated_rules = ledger_finish();
	printf("seed %llu: %u faults, %d promises broken\n", (unsigned long long)options.seed,
	       faults_started(), violated_rules);
	/* Without a check for leaks: it counts what the running threads of the stand-ins hold. */
	fflush(NULL);
	_exit(violated_rules ? EXIT_FAILURE : EXIT_SUCCESS);
}
