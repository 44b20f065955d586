/* Service-level burn report: how fast the error budget of each urgency is used up. */
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
 * struct class_counts - one urgency, summed over entry instances
 * @good: queries answered whole within their deadline
 * @bad: all others
 */
struct class_counts {
	uint64_t good;
	uint64_t bad;
};

/** struct counts - one sample of the fleet */
struct counts {
	struct class_counts urgent;
	struct class_counts normal;
	uint64_t partial;
	uint64_t refused;
	uint64_t unknown;
	int reached;
};

struct options {
	double urgent_objective; /* share of queries, 0 to 1 */
	double normal_objective;
	uint64_t window_s; /* 0: since the start of the instances */
	const char *output;
	struct pd_address platform;
	struct pd_address entries[ENTRIES_MAX];
	int entry_count;
};

static void print_help(void)
{
	puts("Usage: peridot-burn [OPTIONS] [IP:PORT...]\n"
	     "\n"
	     "Reads the counters of the entry instances given, or of those on the platform's list, "
	     "and\n"
	     "prints for each urgency the share of good queries (whole, within the deadline) and "
	     "the burn\n"
	     "rate: 1 uses the error budget up exactly over the objective's period, 10 in a tenth "
	     "of it.\n"
	     "\n"
	     "  -p, --platform IP:PORT        take the entry instances from the platform's list\n"
	     "  -u, --urgent-objective SHARE  share of good urgent queries (default 0.99)\n"
	     "  -n, --normal-objective SHARE  share of good normal queries (default 0.95)\n"
	     "  -w, --window SECONDS          measure over so many seconds from now; by default "
	     "since the\n"
	     "                                instances started\n"
	     "  -o, --output FILE             write the report to FILE\n"
	     "  -h, --help                    print this text\n"
	     "  -V, --version                 print the version\n"
	     "\n"
	     "Exit status: 0 when no burn rate is above 1, 1 when one is, 2 on an error.");
}

static bool parse_share(const char *text, double *share)
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
			fprintf(stderr, "peridot-burn: \"%s\": expected IP:PORT, at most %d\n",
				argv[i], ENTRIES_MAX);
			return false;
		}
		options->entry_count++;
	}
	return true;
}

/* Returns an exit status, or -1 to go on. */
static int parse_options(int argc, char **argv, struct options *options)
{
	static const struct option known[] = {
		{"platform", required_argument, NULL, 'p'},
		{"urgent-objective", required_argument, NULL, 'u'},
		{"normal-objective", required_argument, NULL, 'n'},
		{"window", required_argument, NULL, 'w'},
		{"output", required_argument, NULL, 'o'},
		{"help", no_argument, NULL, 'h'},
		{"version", no_argument, NULL, 'V'},
		{NULL, 0, NULL, 0},
	};
	bool good = true;
	int option;

	while (good && (option = getopt_long(argc, argv, "p:u:n:w:o:hV", known, NULL)) != -1) {
		switch (option) {
		case 'p':
			good = pd_address_parse(pd_str_from(optarg), &options->platform, NULL) ==
			       PD_OK;
			break;
		case 'u':
			good = parse_share(optarg, &options->urgent_objective);
			break;
		case 'n':
			good = parse_share(optarg, &options->normal_objective);
			break;
		case 'w':
			good = pd_str_to_u64(pd_str_from(optarg), &options->window_s) &&
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
		if (!good)
			fprintf(stderr, "peridot-burn: option -%c: bad value \"%s\"\n", option,
				optarg);
	}
	return good && parse_entries(argc, argv, options) ? -1 : 2;
}

static uint64_t read_counter(struct pd_str text, const char *name)
{
	size_t len = strlen(name);
	const char *at = text.data;
	const char *end = text.data + text.len;

	while (at && at < end) {
		const char *newline = memchr(at, '\n', (size_t)(end - at));
		size_t line = (size_t)((newline ? newline : end) - at);
		uint64_t value;

		if (line > len && !memcmp(at, name, len) && at[len] == ' ' &&
		    pd_str_to_u64((struct pd_str){at + len + 1, line - len - 1}, &value))
			return value;
		at += line + 1;
	}
	return 0;
}

static void add_entry(struct pd_http_client *http, const struct pd_address *address,
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
		fprintf(stderr, "peridot-burn: %s:%u not counted: %s\n", address->ip, address->port,
			err.text);
		return;
	}
	counts->reached++;
	counts->urgent.good += read_counter(response.body, "urgent_good");
	counts->urgent.bad += read_counter(response.body, "urgent_bad");
	counts->normal.good += read_counter(response.body, "normal_good");
	counts->normal.bad += read_counter(response.body, "normal_bad");
	counts->partial += read_counter(response.body, "queries_partial");
	counts->refused += read_counter(response.body, "queries_refused");
	counts->unknown += read_counter(response.body, "queries_unknown");
}

static struct counts take_counts(struct pd_http_client *http, const struct options *options)
{
	struct counts counts = {0};

	for (int i = 0; i < options->entry_count; i++)
		add_entry(http, &options->entries[i], &counts);
	return counts;
}

/* An instance that restarted within the window has smaller counts than before. */
static uint64_t since(uint64_t now, uint64_t before)
{
	return now >= before ? now - before : now;
}

static struct class_counts class_since(struct class_counts now, struct class_counts before)
{
	return (struct class_counts){since(now.good, before.good), since(now.bad, before.bad)};
}

static bool print_class(FILE *out, const char *name, struct class_counts counts, double objective)
{
	uint64_t total = counts.good + counts.bad;
	double bad = total ? (double)counts.bad / (double)total : 0;
	double burn = bad / (1 - objective);

	fprintf(out, "%-8s %10" PRIu64 " %10" PRIu64 " %9.3f%% %9.3f%% %9.2f\n", name, total,
		counts.bad, total ? 100 * (1 - bad) : 100, 100 * objective, burn);
	return burn <= 1;
}

static bool print_report(FILE *out, const struct options *options, const struct counts *now,
			 const struct counts *before)
{
	bool good;

	fprintf(out, "service-level burn, %d of %d entry instances, ", now->reached,
		options->entry_count);
	if (options->window_s)
		fprintf(out, "last %" PRIu64 " s\n", options->window_s);
	else
		fprintf(out, "since their start\n");
	fprintf(out, "%-8s %10s %10s %10s %10s %9s\n", "urgency", "queries", "bad", "good share",
		"objective", "burn rate");
	good = print_class(out, "urgent", class_since(now->urgent, before->urgent),
			   options->urgent_objective);
	good &= print_class(out, "normal", class_since(now->normal, before->normal),
			    options->normal_objective);
	fprintf(out, "partial %" PRIu64 ", refused %" PRIu64 ", unknown %" PRIu64 "\n",
		since(now->partial, before->partial), since(now->refused, before->refused),
		since(now->unknown, before->unknown));
	return good;
}

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
		fprintf(stderr, "peridot-burn: no entry instance on the platform's list: %s\n",
			err.text);
	return options->entry_count > 0;
}

static int report(struct pd_http_client *http, const struct options *options)
{
	FILE *out = options->output ? fopen(options->output, "we") : stdout;
	struct counts before = {0};
	struct counts now;
	bool good;

	if (!out) {
		fprintf(stderr, "peridot-burn: can't write %s\n", options->output);
		return 2;
	}
	if (options->window_s) {
		before = take_counts(http, options);
		pd_os_sleep_us((int64_t)options->window_s * PD_USEC_PER_SEC);
	}
	now = take_counts(http, options);
	good = print_report(out, options, &now, &before);
	if (options->output)
		fclose(out);
	if (!now.reached)
		return 2;
	return good ? EXIT_SUCCESS : EXIT_FAILURE;
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
		fputs("peridot-burn: no entry instances given\n", stderr);
		return 2;
	}
	if (pd_http_client_open(&http, NULL) != PD_OK)
		return 2;
	status = report(http, &options);
	pd_http_client_close(http);
	return status;
}
