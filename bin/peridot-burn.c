/* Burn-rate report: how fast the queries of each urgency consume their error budget. */
#include <getopt.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "http_client.h"
#include "platform_client.h"
#include "version.h"

#define ENTRIES_MAX	256
#define CALL_TIMEOUT_US (2 * PD_USEC_PER_SEC)

/**
 * struct class_counts - queries of one urgency, summed over the entry instances
 * @good: number of queries with a complete answer within their deadline
 * @bad: number of all other queries
 */
struct class_counts {
	uint64_t good;
	uint64_t bad;
};

/**
 * struct counts - counters summed over the entry instances at one time
 * @urgent: urgent queries
 * @normal: normal queries
 * @partial: number of queries with a partial answer
 * @refused: number of refused queries
 * @unknown: number of queries with an unknown outcome
 * @reachable_count: number of entry instances whose counters were read
 */
struct counts {
	struct class_counts urgent;
	struct class_counts normal;
	uint64_t partial;
	uint64_t refused;
	uint64_t unknown;
	int reachable_count;
};

struct options {
	double urgent_objective; /* share of good queries to reach, between 0 and 1 */
	double normal_objective;
	uint64_t window_s; /* length of the measurement; 0: since the start of the instances */
	const char *output;
	struct pd_address platform;
	struct pd_address entries[ENTRIES_MAX];
	int entry_count;
};

static void print_help(void)
{
	puts("Usage: peridot-burn [OPTIONS] [IP:PORT...]\n"
	     "\n"
	     "Reads the counters of the given entry instances, or of those on the platform's\n"
	     "list. Prints for each urgency the share of good queries (complete answer within the\n"
	     "deadline) and the burn rate. A burn rate of 1 consumes the error budget in exactly\n"
	     "the period of the objective, a burn rate of 10 in a tenth of it.\n"
	     "\n"
	     "  -p, --platform IP:PORT        use the entry instances on the platform's list\n"
	     "  -u, --urgent-objective SHARE  share of good urgent queries (default 0.99)\n"
	     "  -n, --normal-objective SHARE  share of good normal queries (default 0.95)\n"
	     "  -w, --window SECONDS          measure for SECONDS from now (default: since the\n"
	     "                                start of the instances)\n"
	     "  -o, --output FILE             write the report to FILE\n"
	     "  -h, --help                    print this text\n"
	     "  -V, --version                 print the version\n"
	     "\n"
	     "Exit status: 0 if no burn rate is above 1, 1 if one is, 2 on an error.");
}

static bool parse_fraction(const char *text, double *share)
{
	char *end;

	*share = strtod(text, &end);
	return *text && !*end && *share > 0 && *share < 1;
}

static bool parse_entries(int argc, char **argv, struct options *options)
{
	for (int i = optind; i < argc; i++) {
		if (options->entry_count == ENTRIES_MAX ||
		    pd_address_parse(pd_str_from(argv[i]), &options->entries[options->entry_count],
				     NULL) != PD_OK) {
			fprintf(stderr,
				"peridot-burn: argument \"%s\": expected IP:PORT, at most %d "
				"times\n",
				argv[i], ENTRIES_MAX);
			return false;
		}
		options->entry_count++;
	}
	return true;
}

/* Returns the exit status, or -1 if the program is to continue. */
static int parse_options(int argc, char **argv, struct options *options)
{
	static const struct option long_options[] = {
		{"platform", required_argument, NULL, 'p'},
		{"urgent-objective", required_argument, NULL, 'u'},
		{"normal-objective", required_argument, NULL, 'n'},
		{"window", required_argument, NULL, 'w'},
		{"output", required_argument, NULL, 'o'},
		{"help", no_argument, NULL, 'h'},
		{"version", no_argument, NULL, 'V'},
		{NULL, 0, NULL, 0},
	};
	bool valid = true;
	int option;

	while (valid &&
	       (option = getopt_long(argc, argv, "p:u:n:w:o:hV", long_options, NULL)) != -1) {
		switch (option) {
		case 'p':
			valid = pd_address_parse(pd_str_from(optarg), &options->platform, NULL) ==
				PD_OK;
			break;
		case 'u':
			valid = parse_fraction(optarg, &options->urgent_objective);
			break;
		case 'n':
			valid = parse_fraction(optarg, &options->normal_objective);
			break;
		case 'w':
			valid = pd_str_to_u64(pd_str_from(optarg), &options->window_s) &&
				options->window_s <= 86400;
			break;
		case 'o':
			options->output = optarg;
			break;
		case 'h':
			print_help();
			return EXIT_SUCCESS;
		case 'V':
			puts("peridot-burn " PD_VERSION);
			return EXIT_SUCCESS;
		default:
			return 2;
		}
		if (!valid)
			fprintf(stderr, "peridot-burn: option -%c: invalid value \"%s\"\n", option,
				optarg);
	}
	return valid && parse_entries(argc, argv, options) ? -1 : 2;
}

/* Returns the value of a counter in the response of GET /counters; 0 if it isn't there. */
static uint64_t read_counter(struct pd_str text, const char *name)
{
	size_t len = strlen(name);
	const char *position = text.data;
	const char *end = text.data + text.len;

	while (position && position < end) {
		const char *newline = memchr(position, '\n', (size_t)(end - position));
		size_t line_len = (size_t)((newline ? newline : end) - position);
		uint64_t value;

		if (line_len > len && !memcmp(position, name, len) && position[len] == ' ' &&
		    pd_str_to_u64((struct pd_str){position + len + 1, line_len - len - 1}, &value))
			return value;
		position += line_len + 1;
	}
	return 0;
}

/* Reads the counters of one entry instance and adds them to @counts. */
static void add_instance_counters(struct pd_http_client *http, const struct pd_address *address,
				  struct counts *counts)
{
	struct pd_http_request request = {.method = "GET",
					  .address = *address,
					  .path = "/counters",
					  .timeout_us = CALL_TIMEOUT_US};
	struct pd_http_response response;
	struct pd_error err = {0};

	if (pd_http_client_perform(http, &request, &response, &err) != PD_OK ||
	    response.status != 200) {
		fprintf(stderr, "peridot-burn: can't read the counters of %s:%u: %s\n", address->ip,
			address->port, err.text);
		return;
	}
	counts->reachable_count++;
	counts->urgent.good += read_counter(response.body, "urgent_good");
	counts->urgent.bad += read_counter(response.body, "urgent_bad");
	counts->normal.good += read_counter(response.body, "normal_good");
	counts->normal.bad += read_counter(response.body, "normal_bad");
	counts->partial += read_counter(response.body, "queries_partial");
	counts->refused += read_counter(response.body, "queries_refused");
	counts->unknown += read_counter(response.body, "queries_unknown");
}

static struct counts collect_counters(struct pd_http_client *http, const struct options *options)
{
	struct counts counts = {0};

	for (int i = 0; i < options->entry_count; i++)
		add_instance_counters(http, &options->entries[i], &counts);
	return counts;
}

/* Returns the increase of a counter. A counter that is smaller than before was reset by a restart
 * within the window. */
static uint64_t counter_delta(uint64_t current, uint64_t baseline)
{
	return current >= baseline ? current - baseline : current;
}

static struct class_counts class_delta(struct class_counts current, struct class_counts baseline)
{
	return (struct class_counts){counter_delta(current.good, baseline.good),
				     counter_delta(current.bad, baseline.bad)};
}

/* Prints the line of one urgency; returns whether its burn rate is at most 1. */
static bool print_class(FILE *out, const char *name, struct class_counts counts, double objective)
{
	uint64_t total = counts.good + counts.bad;
	double bad_share = total ? (double)counts.bad / (double)total : 0;
	double burn_rate = bad_share / (1 - objective);

	fprintf(out, "%-8s %10" PRIu64 " %10" PRIu64 " %9.3f%% %9.3f%% %9.2f\n", name, total,
		counts.bad, total ? 100 * (1 - bad_share) : 100, 100 * objective, burn_rate);
	return burn_rate <= 1;
}

/* Prints the report; returns whether all burn rates are at most 1. */
static bool print_report(FILE *out, const struct options *options, const struct counts *current,
			 const struct counts *baseline)
{
	bool within_budget;

	fprintf(out, "burn rates of %d out of %d entry instances, ", current->reachable_count,
		options->entry_count);
	if (options->window_s)
		fprintf(out, "last %" PRIu64 " s\n", options->window_s);
	else
		fprintf(out, "since the start of the instances\n");
	fprintf(out, "%-8s %10s %10s %10s %10s %9s\n", "urgency", "queries", "bad", "good share",
		"objective", "burn rate");
	within_budget = print_class(out, "urgent", class_delta(current->urgent, baseline->urgent),
				    options->urgent_objective);
	within_budget &= print_class(out, "normal", class_delta(current->normal, baseline->normal),
				     options->normal_objective);
	fprintf(out, "partial %" PRIu64 ", refused %" PRIu64 ", unknown %" PRIu64 "\n",
		counter_delta(current->partial, baseline->partial),
		counter_delta(current->refused, baseline->refused),
		counter_delta(current->unknown, baseline->unknown));
	return within_budget;
}

/* Adds the entry instances on the platform's list to @options; returns false if @options then has
 * no entry instance. */
static bool list_entries(struct options *options)
{
	struct pd_instance_entry *entries = NULL;
	struct pd_error err = {0};
	struct pd_platform platform;
	size_t count = 0;

	if (pd_platform_open(&platform, &options->platform, &err) == PD_OK)
		pd_platform_instances(&platform, &entries, &count, &err);
	pd_platform_close(&platform);
	for (size_t i = 0; i < count && options->entry_count < ENTRIES_MAX; i++) {
		if (!entries[i].is_upstream)
			options->entries[options->entry_count++] = entries[i].address;
	}
	free(entries);
	if (!options->entry_count)
		fprintf(stderr, "peridot-burn: the platform lists no entry instance: %s\n",
			err.text);
	return options->entry_count > 0;
}

/* Measures and writes the report; returns the exit status. */
static int report(struct pd_http_client *http, const struct options *options)
{
	FILE *out = options->output ? fopen(options->output, "we") : stdout;
	struct counts baseline = {0};
	struct counts current;
	bool within_budget;

	if (!out) {
		fprintf(stderr, "peridot-burn: can't open %s for writing\n", options->output);
		return 2;
	}
	if (options->window_s) {
		baseline = collect_counters(http, options);
		pd_os_sleep_us((int64_t)options->window_s * PD_USEC_PER_SEC);
	}
	current = collect_counters(http, options);
	within_budget = print_report(out, options, &current, &baseline);
	if (options->output)
		fclose(out);
	if (!current.reachable_count)
		return 2;
	return within_budget ? EXIT_SUCCESS : EXIT_FAILURE;
}

int main(int argc, char **argv)
{
	struct options options = {.urgent_objective = 0.99, .normal_objective = 0.95};
	int status = parse_options(argc, argv, &options);
	struct pd_http_client *http;

	if (status >= 0)
		return status;
	pd_http_global_init();
	if (options.platform.port && !list_entries(&options))
		return 2;
	if (!options.entry_count) {
		fputs("peridot-burn: no entry instance was given\n", stderr);
		return 2;
	}
	if (pd_http_client_open(&http, NULL) != PD_OK)
		return 2;
	status = report(http, &options);
	pd_http_client_close(http);
	return status;
}
