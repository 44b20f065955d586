/*
 * Runs an experiment: starts a deployment of the product and one of the naive baseline, sends the
 * same load, which is drawn from a seed, to each, and prints and checks the results.
 */
#include <ck_pr.h>
#include <getopt.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "fault.h"
#include "load.h"
#include "report.h"
#include "version.h"

/* Time beyond the deadline until every sub-request has begun or expired. */
#define SUBREQUEST_EXPIRY_GRACE_US (500 * PD_USEC_PER_MSEC)
/* Records have about 250 bytes, and a response is limited to 1 MB. */
#define MAX_RECORDS_PER_PAGE 2000

/**
 * struct options - the command line
 * @experiment: path of the experiment file
 * @programs: path of the folder that holds the programs
 * @folder: path of the folder for settings files and logs
 * @result: path of the JSON file for the results; NULL if none is written
 * @target: "product", "naive" or "both"; NULL for the value in the experiment file
 * @seed: seed; -1 for the value in the experiment file
 * @burn: whether the burn-rate report of the service-level objectives is printed
 * @keep_records: whether the request records of the upstreams are written to files
 */
struct options {
	const char *experiment;
	const char *programs;
	const char *folder;
	const char *result;
	const char *target;
	int64_t seed;
	bool burn;
	bool keep_records;
};

static void print_help(void)
{
	puts("Usage: peridot-load [OPTIONS] EXPERIMENT.toml\n"
	     "\n"
	     "  -p, --programs FOLDER  folder of the programs (default build/release)\n"
	     "  -f, --folder FOLDER    folder for settings and logs (default build/experiment)\n"
	     "  -r, --result FILE      write the results as JSON\n"
	     "  -t, --target TARGET    product, naive or both; overrides the experiment file\n"
	     "  -s, --seed N           seed; overrides the experiment file\n"
	     "  -b, --burn             print the burn-rate report of the service-level objectives\n"
	     "  -k, --keep-records     write the upstreams' request records to\n"
	     "                         FOLDER/TARGET/NAME.record\n"
	     "  -h, --help             print this text\n"
	     "  -V, --version          print the version\n"
	     "\n"
	     "Exit status: 0 if every requirement of the experiment is met, 1 if not, 2 if it\n"
	     "could not be run.");
}

/* Returns an exit status, or -1 if the program has to continue. */
static int parse_options(int argc, char **argv, struct options *options)
{
	static const struct option long_options[] = {
		{"programs", required_argument, NULL, 'p'},
		{"folder", required_argument, NULL, 'f'},
		{"result", required_argument, NULL, 'r'},
		{"target", required_argument, NULL, 't'},
		{"seed", required_argument, NULL, 's'},
		{"burn", no_argument, NULL, 'b'},
		{"keep-records", no_argument, NULL, 'k'},
		{"help", no_argument, NULL, 'h'},
		{"version", no_argument, NULL, 'V'},
		{NULL, 0, NULL, 0},
	};
	uint64_t seed;
	int option;

	while ((option = getopt_long(argc, argv, "p:f:r:t:s:bkhV", long_options, NULL)) != -1) {
		switch (option) {
		case 'p':
			options->programs = optarg;
			break;
		case 'f':
			options->folder = optarg;
			break;
		case 'r':
			options->result = optarg;
			break;
		case 't':
			options->target = optarg;
			break;
		case 's':
			if (!pd_str_to_u64(pd_str_from(optarg), &seed))
				return 2;
			options->seed = (int64_t)seed;
			break;
		case 'b':
			options->burn = true;
			break;
		case 'k':
			options->keep_records = true;
			break;
		case 'h':
			print_help();
			return 0;
		case 'V':
			puts("peridot-load " PD_VERSION);
			return 0;
		default:
			return 2;
		}
	}
	if (optind != argc - 1) {
		print_help();
		return 2;
	}
	options->experiment = argv[optind];
	return -1;
}

/**
 * struct progress - state of the thread that prints the number of finished queries
 * @load: the load
 * @stopping: 1 if the thread has to end; accessed with Concurrency Kit atomics
 */
struct progress {
	struct bench_load *load;
	int stopping;
};

static void *print_progress(void *arg)
{
	struct progress *progress = arg;

	while (!ck_pr_load_int(&progress->stopping)) {
		fprintf(stderr, "\r%" PRIu64 " of %" PRIu64 " queries",
			ck_pr_load_64(&progress->load->finished_queries), progress->load->count);
		pd_os_sleep_us(200 * PD_USEC_PER_MSEC);
	}
	fputs("\r                                        \r", stderr);
	return NULL;
}

/* Runs the load; prints its progress if standard error is a terminal. */
static enum pd_code run_with_progress(struct bench_load *load, struct pd_error *err)
{
	struct progress progress = {.load = load};
	pthread_t thread;
	bool progress_started =
		isatty(STDERR_FILENO) &&
		pd_os_thread_start(&thread, "progress", print_progress, &progress, NULL) == PD_OK;
	enum pd_code code = bench_load_run(load, err);

	ck_pr_store_int(&progress.stopping, 1);
	if (progress_started)
		pthread_join(thread, NULL);
	return code;
}

/* Runs peridot-burn on all entry instances and prints its report. */
static void print_burn_report(struct bench_deployment *d)
{
	struct bench_process burn;
	struct pd_buf text;
	char line[512];
	int status;
	FILE *file;

	pd_buf_init(&text, 0);
	bench_process_init(&burn, "burn", d->folder);
	bench_process_arg(&burn, "%s/peridot-burn", d->programs);
	bench_process_arg(&burn, "--output");
	bench_process_arg(&burn, "%s/burn.txt", d->folder);
	for (int i = 0; i < d->experiment->entries && burn.arg_count < BENCH_ARGS_MAX - 2; i++)
		bench_process_arg(&burn, "127.0.0.1:%u", d->entry_http[i].port);
	if (bench_process_start(&burn, NULL) == PD_OK)
		bench_process_wait(&burn, 10 * PD_USEC_PER_SEC, &status);
	bench_process_finish(&burn);
	snprintf(line, sizeof(line), "%s/burn.txt", d->folder);
	file = fopen(line, "re");
	while (file && fgets(line, sizeof(line), file))
		fputs(line, stdout);
	if (file)
		fclose(file);
	pd_buf_finish(&text);
}

/* Writes the request records of one upstream to a file, one JSON array per page. */
static void write_records(const struct bench_deployment *d, const struct bench_process *upstream)
{
	struct pd_buf page;
	char path[400];
	FILE *file;

	snprintf(path, sizeof(path), "%s/%s.record", d->folder, upstream->name);
	file = fopen(path, "we");
	pd_buf_init(&page, 0);
	for (uint64_t after = 0; file; after += MAX_RECORDS_PER_PAGE) {
		pd_buf_clear(&page);
		snprintf(path, sizeof(path), "/record?after=%" PRIu64 "&max=%d", after,
			 MAX_RECORDS_PER_PAGE);
		if (bench_get(&upstream->address, path, &page, NULL) != PD_OK ||
		    page.len <= strlen("[]"))
			break;
		fprintf(file, "%.*s\n", PD_STR_ARG(pd_buf_str(&page)));
	}
	if (file)
		fclose(file);
	pd_buf_finish(&page);
}

/* Runs the queries and, at the same time, the non-idempotent requests and the fault plan. */
static enum pd_code run_load(struct bench_load *load, struct bench_runs *runs,
			     uint64_t *failed_actions, struct pd_error *err)
{
	struct bench_scenario scenario;
	enum pd_code code = bench_scenario_start(&scenario, load->deployment, err);

	/* The baseline does not support non-idempotent requests. */
	if (code == PD_OK && load->deployment->target == BENCH_PRODUCT)
		code = bench_runs_start(runs, err);
	if (code == PD_OK)
		code = run_with_progress(load, err);
	bench_runs_wait(runs);
	bench_scenario_stop(&scenario);
	*failed_actions = scenario.failed_actions;
	return code;
}

/* Runs the load, audits the answers of the product and computes the results. */
static enum pd_code measure(struct bench_load *load, struct bench_runs *runs,
			    struct bench_summary *summary, struct pd_error *err)
{
	struct bench_deployment *d = load->deployment;
	bool audited = d->target == BENCH_PRODUCT;
	struct bench_sample before;
	struct bench_sample after;
	struct bench_audit audit;
	uint64_t failed_actions = 0;
	enum pd_code code;

	bench_sample_take(&before, d);
	code = run_load(load, runs, &failed_actions, err);
	bench_sample_take(&after, d);
	/* After this time every sub-request has begun or expired: the records are complete. */
	pd_os_sleep_us(d->experiment->deadline_ms * PD_USEC_PER_MSEC + SUBREQUEST_EXPIRY_GRACE_US);
	if (code == PD_OK && audited)
		code = bench_audit_run(&audit, load, runs, err);
	if (code != PD_OK)
		return code;
	bench_summary_compute(summary, load, &before, &after, audited ? &audit : NULL);
	summary->failed_actions = failed_actions;
	return PD_OK;
}

/* Runs the load on a started deployment and writes the output files. */
static enum pd_code run_experiment(struct bench_deployment *d, const struct options *options,
				   struct bench_summary *summary, struct pd_error *err)
{
	struct bench_runs runs = {0};
	struct bench_load load;
	char path[400];
	enum pd_code code = bench_load_init(&load, d->experiment, d, err);

	if (code == PD_OK)
		code = bench_runs_init(&runs, d->experiment, d, err);
	if (code == PD_OK)
		code = measure(&load, &runs, summary, err);
	snprintf(path, sizeof(path), "%s/misses.txt", d->folder);
	bench_failed_queries_write(path, &load);
	snprintf(path, sizeof(path), "%s/counters.txt", d->folder);
	if (d->target == BENCH_PRODUCT)
		bench_counters_write(path, d);
	for (int i = 0; options->keep_records && i < d->upstream_count; i++)
		write_records(d, &d->processes[d->first_upstream + i]);
	if (options->burn && d->target == BENCH_PRODUCT)
		print_burn_report(d);
	bench_runs_finish(&runs);
	bench_load_finish(&load);
	return code;
}

/* Starts a deployment, runs the experiment on it and stops it. */
static bool run_target(const struct bench_experiment *experiment, const struct options *options,
		       enum bench_target target, struct bench_summary *summary)
{
	struct bench_deployment *d = calloc(1, sizeof(*d));
	struct pd_error err = {0};
	char folder[512];
	bool good = d != NULL;

	if (!good)
		return false;
	mkdir(options->folder, 0755);
	snprintf(folder, sizeof(folder), "%s/%s", options->folder,
		 target == BENCH_PRODUCT ? "product" : "naive");
	if (bench_deployment_start(d, experiment, target, options->programs, folder, &err) !=
		    PD_OK ||
	    run_experiment(d, options, summary, &err) != PD_OK) {
		fprintf(stderr, "peridot-load: %s\n", err.text);
		good = false;
	}
	summary->failed_stops = (uint64_t)bench_deployment_stop(d);
	free(d);
	return good;
}

static bool load_experiment(struct bench_experiment *experiment, const struct options *options)
{
	struct pd_error err = {0};
	struct pd_buf errors;
	enum pd_code code;

	pd_buf_init(&errors, 0);
	code = bench_experiment_load(experiment, options->experiment, &errors, &err);
	if (code != PD_OK)
		fprintf(stderr, "%.*speridot-load: %s\n", PD_STR_ARG(pd_buf_str(&errors)),
			err.text);
	pd_buf_finish(&errors);
	if (options->target)
		snprintf(experiment->target, sizeof(experiment->target), "%s", options->target);
	if (options->seed >= 0)
		experiment->seed = options->seed;
	return code == PD_OK;
}

int main(int argc, char **argv)
{
	struct options options = {
		.programs = "build/release", .folder = "build/experiment", .seed = -1};
	struct bench_summary product = {0};
	struct bench_summary naive = {0};
	struct bench_experiment experiment;
	int status = parse_options(argc, argv, &options);
	bool with_product;
	bool with_naive;

	if (status >= 0)
		return status;
	pd_http_global_init();
	if (!load_experiment(&experiment, &options))
		return 2;
	with_product = strcmp(experiment.target, "naive") != 0;
	with_naive = strcmp(experiment.target, "product") != 0;
	if ((with_naive && !run_target(&experiment, &options, BENCH_NAIVE, &naive)) ||
	    (with_product && !run_target(&experiment, &options, BENCH_PRODUCT, &product)))
		return 2;
	bench_report_print(&experiment, with_product ? &product : NULL, with_naive ? &naive : NULL);
	if (options.result)
		bench_report_write(options.result, &experiment, with_product ? &product : NULL,
				   with_naive ? &naive : NULL);
	return bench_report_check(&experiment, with_product ? &product : NULL,
				  with_naive ? &naive : NULL)
		       ? 1
		       : 0;
}
