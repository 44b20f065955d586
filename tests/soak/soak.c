/**
 * DOC: Randomized soak: real ingress processes, callers, and faults from outside them
 *
 * Plays the faults of a seed against a small fleet for some seconds, lets it recover, and checks
 * what callers and upstreams saw by the promises of ledger.h. Exit status 0 when all were kept.
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

#define TICK_US		  (10 * PD_USEC_PER_MSEC)
#define READY_LIMIT_US	  (15 * PD_USEC_PER_SEC)
#define WINDOW_US	  PD_USEC_PER_SEC /* of the recovery, in which all must be served */
#define WINDOW_LEAST	  20 /* requests */
#define INSTANCES_DEFAULT 8
#define SECONDS_MAX	  600
#define SLACK_S		  90 /* for the start, the end of faults and the recovery */

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
	     "Plays random faults against ingress processes and checks what callers see.\n\n"
	     "  --seed N        what is played\n"
	     "  --seconds N     how long faults come, 12 by default\n"
	     "  --instances N   processes, over four zones, 8 by default, 200 at most\n"
	     "  --ingress PATH  the ingress program\n"
	     "  --folder PATH   takes settings files and logs; must exist\n"
	     "  --help");
}

static bool parse_options(int argc, char **argv, struct options *options)
{
	static const struct option known[] = {{"seed", required_argument, NULL, 's'},
					      {"seconds", required_argument, NULL, 't'},
					      {"instances", required_argument, NULL, 'n'},
					      {"ingress", required_argument, NULL, 'i'},
					      {"folder", required_argument, NULL, 'f'},
					      {"help", no_argument, NULL, 'h'},
					      {NULL, 0, NULL, 0}};
	int option;

	*options = (struct options){.seconds = 12, .instances = INSTANCES_DEFAULT};
	while ((option = getopt_long(argc, argv, "", known, NULL)) >= 0) {
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
		case 'h':
			print_help();
			exit(EXIT_SUCCESS);
		default:
			return false;
		}
	}
	return optind == argc && options->instances > 0 &&
	       options->instances <= FLEET_INSTANCES_MAX && options->binary && options->folder &&
	       options->seconds > 0 && options->seconds <= SECONDS_MAX;
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
	int64_t until_us = pd_os_now_us() + READY_LIMIT_US;

	while (pd_os_now_us() < until_us) {
		fleet_poll();
		if (all_ready())
			return true;
		pd_os_sleep_us(10 * TICK_US);
	}
	return false;
}

/* Plays faults for a while, and until the last one is over; none when @calm. */
static void play(int64_t for_us, bool calm)
{
	int64_t until_us = pd_os_now_us() + for_us;

	while (pd_os_now_us() < until_us || !faults_all_ended()) {
		faults_poll(calm || pd_os_now_us() >= until_us);
		fleet_poll();
		pd_os_sleep_us(TICK_US);
	}
}

/* Waits until all requests of a whole window were served. */
static void recover(void)
{
	int64_t start_us = pd_os_now_us();
	uint32_t ended = 0, served = 0;

	while (pd_os_now_us() - start_us < FLEET_RECOVERY_TIMEOUT_US + WINDOW_US) {
		int64_t window_us = pd_os_now_us();

		ledger_reset_window();
		while (pd_os_now_us() - window_us < WINDOW_US) {
			fleet_poll();
			pd_os_sleep_us(TICK_US);
		}
		ledger_read_window(&ended, &served);
		if (ended >= WINDOW_LEAST && ended == served) {
			printf("recovered within %lld ms\n",
			       (long long)((window_us - start_us) / PD_USEC_PER_MSEC));
			return;
		}
	}
	ledger_report_violation(RULE_RECOVERY, "%u of %u requests are served after %d s", served,
				ended, (int)(FLEET_RECOVERY_TIMEOUT_US / PD_USEC_PER_SEC));
}

/* Most memory that a process has taken, in KB; 0 when it is unknown. */
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
			ledger_report_violation(RULE_ENDED, "%s took %ld KB",
						fleet.instances[i].name, kb);
	}
}

int main(int argc, char **argv)
{
	struct options options;
	int broken;

	if (!parse_options(argc, argv, &options)) {
		fprintf(stderr, "soak: see --help\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	alarm((unsigned int)options.seconds + SLACK_S);
	printf("seed %llu, %d s: ", (unsigned long long)options.seed, options.seconds);
	faults_init(options.seed);
	fleet_start(options.binary, options.folder, (size_t)options.instances, options.seed % 2);
	if (!await_ready()) {
		ledger_report_violation(RULE_RECOVERY, "the instances aren't ready");
	} else {
		callers_start(options.seed);
		/* The instances that no fault hits count as in touch from the first one on. */
		play(FLEET_STABLE_US, true);
		play(options.seconds * PD_USEC_PER_SEC, false);
		recover();
	}
	check_memory();
	callers_stop();
	if (!fleet_stop())
		ledger_report_violation(RULE_ENDED, "instances still run");
	broken = ledger_finish();
	printf("seed %llu: %u faults, %d promises broken\n", (unsigned long long)options.seed,
	       faults_started(), broken);
	return broken ? EXIT_FAILURE : EXIT_SUCCESS;
}
