/* Load and experiments: the product's real processes and the naive baseline on the same seed. */
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

#define SETTLE_US    (500 * PD_USEC_PER_MSEC)
#define PAGE_RECORDS 2000 /* about 250 bytes each; a response holds at most 1 MB */

/** struct options - the command line */
struct options {
	const char *experiment;
	const char *programs;
	const char *folder;
	const char *result;
	const char *target;
	int64_t seed; /* -1: the file's */
	bool burn;
	bool keep_records;
};

static void print_help(void)
{
	puts("Usage: peridot-load [OPTIONS] EXPERIMENT.toml\n"
	     "\n"
	     "  -p, --programs FOLDER  folder of the programs (default build/release)\n"
	     "  -f, --folder FOLDER    folder for settings and logs (default build/experiment)\n"
	     "  -r, --result FILE      write the figures as JSON\n"
	     "  -t, --target TARGET    product, naive or both, in place of the file's\n"
	     "  -s, --seed N           in place of the file's\n"
	     "  -b, --burn             run the service-level burn report before the end\n"
	     "  -k, --keep-records     write the upstreams' records to FOLDER/TARGET/NAME.record\n"
	     "  -h, --help             print this text\n"
	     "  -V, --version          print the version\n"
	     "\n"
	     "Exit status: 0 when every requirement of the experiment is met, 1 when not, 2 when "
	     "it\n"
	     "could not run.");
}

/* Returns an exit status, or -1 to go on. */
static int parse_options(int argc, char **argv, struct options *options)
{
	static const struct option known[] = {
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

	while ((option = getopt_long(argc, argv, "p:f:r:t:s:bkhV", known, NULL)) != -1) {
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

/** struct progress - prints how far the load is, while standard error is a terminal */
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

static enum pd_code run_with_progress(struct bench_load *load, struct pd_error *err)
{
	struct progress progress = {.load = load};
	pthread_t thread;
	bool shown =
		isatty(STDERR_FILENO) &&
		pd_os_thread_start(&thread, "progress", print_progress, &progress, NULL) == PD_OK;
	enum pd_code code = bench_load_run(load, err);

	ck_pr_store_int(&progress.stopping, 1);
	if (shown)
		pthread_join(thread, NULL);
	return code;
}

static void print_burn(struct bench_deployment *d)
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

/* Writes what one upstream recorded, a page of JSON at a time. */
static void write_record(const struct bench_deployment *d, const struct bench_process *upstream)
{
	struct pd_buf page;
	char path[400];
	FILE *file;

	snprintf(path, sizeof(path), "%s/%s.record", d->folder, upstream->name);
	file = fopen(path, "we");
	pd_buf_init(&page, 0);
	for (uint64_t after = 0; file; after += PAGE_RECORDS) {
		pd_buf_clear(&page);
		snprintf(path, sizeof(path), "/record?after=%" PRIu64 "&max=%d", after,
			 PAGE_RECORDS);
		if (bench_get(&upstream->address, path, &page, NULL) != PD_OK ||
		    page.len <= strlen("[]"))
			break;
		fprintf(file, "%.*s\n", PD_STR_ARG(pd_buf_str(&page)));
	}
	if (file)
		fclose(file);
	pd_buf_finish(&page);
}

/* Runs the queries and, beside them, the non-idempotent requests and the faults. */
static enum pd_code run_load(struct bench_load *load, struct bench_runs *runs, uint64_t *failed,
			     struct pd_error *err)
{
	struct bench_scenario director;
	enum pd_code code = bench_scenario_start(&director, load->deployment, err);

	/* The baseline has no ids. */
	if (code == PD_OK && load->deployment->target == BENCH_PRODUCT)
		code = bench_runs_start(runs, err);
	if (code == PD_OK)
		code = run_with_progress(load, err);
	bench_runs_wait(runs);
	bench_scenario_stop(&director);
	*failed = director.failed;
	return code;
}

static enum pd_code measure(struct bench_load *load, struct bench_runs *runs,
			    struct bench_summary *figures, struct pd_error *err)
{
	struct bench_deployment *d = load->deployment;
	bool audited = d->target == BENCH_PRODUCT;
	struct bench_sample before;
	struct bench_sample after;
	struct bench_audit audit;
	uint64_t failed = 0;
	enum pd_code code;

	bench_sample_take(&before, d);
	code = run_load(load, runs, &failed, err);
	bench_sample_take(&after, d);
	/* Sub-requests that were sent before their deadline have begun or expired after this. */
	pd_os_sleep_us(d->experiment->deadline_ms * PD_USEC_PER_MSEC + SETTLE_US);
	if (code == PD_OK && audited)
		code = bench_audit_run(&audit, load, runs, err);
	if (code != PD_OK)
		return code;
	bench_summary_compute(figures, load, &before, &after, audited ? &audit : NULL);
	figures->failed_faults = failed;
	return PD_OK;
}

static enum pd_code drive(struct bench_deployment *d, const struct options *options,
			  struct bench_summary *figures, struct pd_error *err)
{
	struct bench_runs runs = {0};
	struct bench_load load;
	char path[400];
	enum pd_code code = bench_load_init(&load, d->experiment, d, err);

	if (code == PD_OK)
		code = bench_runs_init(&runs, d->experiment, d, err);
	if (code == PD_OK)
		code = measure(&load, &runs, figures, err);
	snprintf(path, sizeof(path), "%s/misses.txt", d->folder);
	bench_failed_queries_write(path, &load);
	snprintf(path, sizeof(path), "%s/counters.txt", d->folder);
	if (d->target == BENCH_PRODUCT)
		bench_counters_write(path, d);
	for (int i = 0; options->keep_records && i < d->upstream_count; i++)
		write_record(d, &d->processes[d->first_upstream + i]);
	if (options->burn && d->target == BENCH_PRODUCT)
		print_burn(d);
	bench_runs_finish(&runs);
	bench_load_finish(&load);
	return code;
}

/* Runs one deployment from start to stop. */
static bool run_target(const struct bench_experiment *experiment, const struct options *options,
		       enum bench_target target, struct bench_summary *figures)
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
	    drive(d, options, figures, &err) != PD_OK) {
		fprintf(stderr, "peridot-load: %s\n", err.text);
		good = false;
	}
	figures->failed_stops = (uint64_t)bench_deployment_stop(d);
	free(d);
	return good;
}

static bool load_experiment(struct bench_experiment *experiment, const struct options *options)
{
	struct pd_error err = {0};
	struct pd_buf faults;
	enum pd_code code;

	pd_buf_init(&faults, 0);
	code = bench_experiment_load(experiment, options->experiment, &faults, &err);
	if (code != PD_OK)
		fprintf(stderr, "%.*speridot-load: %s\n", PD_STR_ARG(pd_buf_str(&faults)),
			err.text);
	pd_buf_finish(&faults);
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
