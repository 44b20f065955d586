#include "report.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics_double.h>

#include "draw.h"

#define COUNTERS_MAX 128

static int64_t read_integer(json_t *json, const char *name)
{
	return (int64_t)json_integer_value(json_object_get(json, name));
}

static json_t *get_json(const struct pd_address *address, const char *path)
{
	struct pd_buf body;
	json_t *json = NULL;

	pd_buf_init(&body, 0);
	if (bench_get(address, path, &body, NULL) == PD_OK)
		json = json_loadb(body.data ? body.data : "", body.len, 0, NULL);
	pd_buf_finish(&body);
	return json;
}

void bench_sample_take(struct bench_sample *sample, struct bench_deployment *d)
{
	json_t *json = get_json(&d->processes[d->platform].address, "/stats");

	memset(sample, 0, sizeof(*sample));
	sample->time_us = pd_os_now_us();
	sample->platform_calls = read_integer(json, "total");
	json_decref(json);
	sample->upstreams = d->stopped_stats;
	for (int i = 0; i < d->upstream_count; i++) {
		const struct bench_process *upstream = &d->processes[d->first_upstream + i];

		if (upstream->pid)
			bench_stats_add(&sample->upstreams, &upstream->address);
	}
	for (int i = 0; i < d->experiment->entries; i++) {
		const struct bench_process *entry = &d->processes[d->first_entry + i];
		int64_t kb = bench_process_memory_kb(entry);

		sample->entry_cpu_us += bench_process_cpu_us(entry);
		if (kb > sample->max_entry_memory_kb)
			sample->max_entry_memory_kb = kb;
	}
}

/*
 * Latency of query @number if the fastest upstream of each service is chosen and nothing adds to
 * the service times: the longest of the services' shortest service times.
 */
static double oracle_ms(const struct bench_experiment *e, uint64_t number)
{
	int64_t slowest_us = 0;
	char text[128];

	bench_query_text(text, sizeof(text), e, number);
	for (int s = 0; s < e->services; s++) {
		int64_t fastest_us = INT64_MAX;

		for (int r = 0; r < e->replicas; r++) {
			char name[32];
			int64_t service_us;

			bench_upstream_name(name, sizeof(name), s, r);
			struct standin_service_distribution distribution = {
				.seed = (uint64_t)e->seed,
				.name = pd_str_from(name),
				.median_us = e->service_ms * 1000,
				.sigma = e->sigma,
				.slow_share = e->slow_share,
				.slow_factor = e->slow_factor,
			};
			service_us = standin_draw_service_us(&distribution, pd_str_from(text));
			fastest_us = service_us < fastest_us ? service_us : fastest_us;
		}
		slowest_us = fastest_us > slowest_us ? fastest_us : slowest_us;
	}
	return (double)slowest_us / 1000;
}

/* Sorts @values and returns the value at @probability (0 to 1). */
static double quantile(double *values, size_t count, double probability)
{
	if (!count)
		return 0;
	gsl_sort(values, 1, count);
	return gsl_stats_quantile_from_sorted_data(values, 1, count, probability);
}

/**
 * struct totals - latencies and sums over the queries of a run
 * @latencies: latency of each query, in ms
 * @urgent: latency of each urgent query, in ms
 * @oracle: latency of the oracle for each query, in ms
 * @urgent_count: number of entries in @urgent
 * @in_deadline: number of complete answers within the deadline
 * @urgent_in_deadline: number of complete answers to urgent queries within the deadline
 * @complete: number of complete answers
 * @coverage: sum of the coverage of all answers
 */
struct totals {
	double *latencies;
	double *urgent;
	double *oracle;
	uint64_t urgent_count;
	uint64_t in_deadline;
	uint64_t urgent_in_deadline;
	uint64_t complete;
	double coverage;
};

/* Counts a reason; ignores it if there are BENCH_REASONS_MAX other ones already. */
static void count_reason(struct bench_summary *summary, const char *name)
{
	for (int i = 0; i < BENCH_REASONS_MAX && *name; i++) {
		struct bench_reason *reason = &summary->reasons[i];

		if (reason->count && strcmp(reason->name, name) != 0)
			continue;
		memcpy(reason->name, name, sizeof(reason->name));
		reason->count++;
		return;
	}
}

static void add_result(struct totals *totals, struct bench_summary *summary,
		       const struct bench_load *load, uint64_t number)
{
	const struct bench_result *result = &load->results[number];
	const struct bench_experiment *e = load->experiment;
	bool complete = result->answer == BENCH_ANSWER_COMPLETE && result->check == BENCH_GOOD;
	bool in_time = result->latency_us <= e->deadline_ms * PD_USEC_PER_MSEC;

	totals->latencies[summary->queries] = (double)result->latency_us / 1000;
	totals->oracle[summary->queries] = oracle_ms(e, number);
	summary->queries++;
	if (result->urgent)
		totals->urgent[totals->urgent_count++] = (double)result->latency_us / 1000;
	summary->checks[result->check]++;
	summary->interrupted_attempts += (uint64_t)result->interrupted_attempts;
	count_reason(summary, result->failure_reason);
	summary->refused += result->answer == BENCH_ANSWER_REFUSED;
	summary->unknown += result->answer == BENCH_ANSWER_UNKNOWN;
	totals->complete += complete;
	totals->in_deadline += complete && in_time;
	totals->urgent_in_deadline += complete && in_time && result->urgent;
	totals->coverage += result->check == BENCH_GOOD ? result->coverage : 0;
}

static void compute_query_results(struct bench_summary *summary, struct totals *totals)
{
	double queries = summary->queries ? (double)summary->queries : 1;
	double urgent = totals->urgent_count ? (double)totals->urgent_count : 1;

	summary->p50_ms = quantile(totals->latencies, summary->queries, 0.5);
	summary->p99_ms = quantile(totals->latencies, summary->queries, 0.99);
	summary->p999_ms = quantile(totals->latencies, summary->queries, 0.999);
	summary->urgent_p99_ms = quantile(totals->urgent, totals->urgent_count, 0.99);
	summary->oracle_p50_ms = quantile(totals->oracle, summary->queries, 0.5);
	summary->oracle_p99_ms = quantile(totals->oracle, summary->queries, 0.99);
	summary->complete_share = (double)totals->complete / queries;
	summary->complete_in_deadline_share = (double)totals->in_deadline / queries;
	summary->urgent_in_deadline_share = (double)totals->urgent_in_deadline / urgent;
	summary->mean_coverage = totals->coverage / queries;
}

static void compute_load_results(struct bench_summary *summary, const struct bench_load *load,
				 const struct bench_sample *before,
				 const struct bench_sample *after)
{
	double seconds = (double)(after->time_us - before->time_us) / (double)PD_USEC_PER_SEC;
	const struct bench_upstream_stats *stats_before = &before->upstreams;
	const struct bench_upstream_stats *stats_after = &after->upstreams;
	int64_t runs_begun = summary->audited ? (int64_t)summary->audit.runs_begun : 0;
	double expected_requests = 0;

	for (uint64_t i = 0; i < load->count; i++) {
		if (load->results[i].answer != BENCH_ANSWER_REFUSED)
			expected_requests += (double)load->experiment->services;
	}
	summary->extra_load_share = expected_requests > 0
					    ? (double)(stats_after->requests_begun -
						       stats_before->requests_begun - runs_begun) /
							      expected_requests -
						      1
					    : 0;
	summary->requests_shed = stats_after->requests_shed - stats_before->requests_shed;
	summary->cold_overloads = stats_after->cold_overloads - stats_before->cold_overloads;
	summary->unannounced_overloads =
		stats_after->unannounced_overloads - stats_before->unannounced_overloads;
	summary->crashes = stats_after->crashes - stats_before->crashes;
	summary->max_in_flight_cold = stats_after->max_in_flight_cold;
	summary->new_work_after_drain =
		stats_after->new_work_after_drain - stats_before->new_work_after_drain;
	summary->last_new_work_after_drain_ms = stats_after->last_new_work_after_drain_ms;
	summary->platform_calls_per_s =
		(double)(after->platform_calls - before->platform_calls) / seconds;
	summary->entry_cpu_cores = (double)(after->entry_cpu_us - before->entry_cpu_us) /
				   (double)(after->time_us - before->time_us);
	summary->cpu_us_per_query = (double)(after->entry_cpu_us - before->entry_cpu_us) /
				    (double)(load->count ? load->count : 1);
	summary->max_entry_memory_kb = after->max_entry_memory_kb;
}

void bench_summary_compute(struct bench_summary *summary, const struct bench_load *load,
			   const struct bench_sample *before, const struct bench_sample *after,
			   const struct bench_audit *audit)
{
	struct totals totals = {
		.latencies = calloc(load->count + 1, sizeof(double)),
		.urgent = calloc(load->count + 1, sizeof(double)),
		.oracle = calloc(load->count + 1, sizeof(double)),
	};

	memset(summary, 0, sizeof(*summary));
	summary->audited = audit != NULL;
	if (audit)
		summary->audit = *audit;
	for (uint64_t i = 0; i < load->count && totals.latencies && totals.urgent && totals.oracle;
	     i++) {
		if (load->results[i].arrival_us >= load->experiment->warmup_ms * PD_USEC_PER_MSEC)
			add_result(&totals, summary, load, i);
	}
	compute_query_results(summary, &totals);
	compute_load_results(summary, load, before, after);
	free(totals.latencies);
	free(totals.urgent);
	free(totals.oracle);
}

/*
 * Adds the counters of one entry instance, lines `name value`, to @sums. All entry instances print
 * the same names in the same order.
 */
static void add_counters(uint64_t *sums, char (*names)[64], int *count, struct pd_str text)
{
	char line[128];
	size_t position = 0;

	for (int i = 0; position < text.len && i < COUNTERS_MAX; i++) {
		const char *newline = memchr(text.data + position, '\n', text.len - position);
		size_t len =
			newline ? (size_t)(newline - text.data) - position : text.len - position;
		unsigned long long value = 0;

		pd_str_copy((struct pd_str){text.data + position, len}, line, sizeof(line));
		if (sscanf(line, "%63s %llu", names[i], &value) == 2)
			sums[i] += value;
		if (i >= *count)
			*count = i + 1;
		position += len + 1;
	}
}

void bench_counters_write(const char *path, struct bench_deployment *d)
{
	uint64_t sums[COUNTERS_MAX] = {0};
	char names[COUNTERS_MAX][64];
	FILE *file = fopen(path, "we");
	struct pd_buf text;
	int count = 0;

	pd_buf_init(&text, 0);
	for (int i = 0; i < d->experiment->entries; i++) {
		pd_buf_clear(&text);
		if (bench_get(&d->entry_http[i], "/counters", &text, NULL) == PD_OK)
			add_counters(sums, names, &count, pd_buf_str(&text));
	}
	for (int i = 0; i < count && file; i++)
		fprintf(file, "%s %" PRIu64 "\n", names[i], sums[i]);
	if (file)
		fclose(file);
	pd_buf_finish(&text);
}

void bench_failed_queries_write(const char *path, const struct bench_load *load)
{
	const struct bench_experiment *e = load->experiment;
	FILE *file = fopen(path, "we");
	int64_t elapsed_ms = (pd_os_now_us() - load->start_us) / PD_USEC_PER_MSEC;

	if (file)
		fprintf(file, "# 0 is Unix ms %" PRId64 "\n",
			pd_os_unix_ms() - elapsed_ms + e->warmup_ms);
	for (uint64_t i = 0; i < load->count && file; i++) {
		const struct bench_result *r = &load->results[i];
		char id[BENCH_RUN_ID_MAX + 1];

		if (r->answer == BENCH_ANSWER_COMPLETE && r->check == BENCH_GOOD &&
		    r->latency_us <= e->deadline_ms * PD_USEC_PER_MSEC)
			continue;
		bench_query_id(id, sizeof(id), e, i);
		fprintf(file, "%8.1f %8.1f %s %s %.3f %s\n",
			(double)r->arrival_us / 1000 - (double)e->warmup_ms,
			(double)r->latency_us / 1000, id, bench_check_name(r->check), r->coverage,
			r->failure_reason);
	}
	if (file)
		fclose(file);
}

/**
 * struct row - one line of the report, which is also a key of the JSON file
 * @name: title of the row
 * @unit: unit of the value, or empty
 * @offset: offset of the value in struct bench_summary
 * @type: how the value is stored and printed; a share is printed in percent
 */
struct row {
	const char *name;
	const char *unit;
	size_t offset;
	enum { ROW_DECIMAL, ROW_COUNT, ROW_SHARE } type;
};

#define ROW(name, unit, member, type)                                                              \
	{                                                                                          \
		name, unit, offsetof(struct bench_summary, member), type                           \
	}

static const struct row rows[] = {
	ROW("queries", "", queries, ROW_COUNT),
	ROW("p50", "ms", p50_ms, ROW_DECIMAL),
	ROW("p99", "ms", p99_ms, ROW_DECIMAL),
	ROW("p99.9", "ms", p999_ms, ROW_DECIMAL),
	ROW("urgent p99", "ms", urgent_p99_ms, ROW_DECIMAL),
	ROW("oracle p50", "ms", oracle_p50_ms, ROW_DECIMAL),
	ROW("oracle p99", "ms", oracle_p99_ms, ROW_DECIMAL),
	ROW("whole within deadline", "%", complete_in_deadline_share, ROW_SHARE),
	ROW("urgent within deadline", "%", urgent_in_deadline_share, ROW_SHARE),
	ROW("whole", "%", complete_share, ROW_SHARE),
	ROW("coverage", "%", mean_coverage, ROW_SHARE),
	ROW("refused, not run", "", refused, ROW_COUNT),
	ROW("outcome unknown", "", unknown, ROW_COUNT),
	ROW("no answer", "", checks[BENCH_NO_ANSWER], ROW_COUNT),
	ROW("wrong request", "", checks[BENCH_WRONG_REQUEST], ROW_COUNT),
	ROW("mixed snapshots", "", checks[BENCH_MIXED_SNAPSHOTS], ROW_COUNT),
	ROW("wrong coverage", "", checks[BENCH_WRONG_COVERAGE], ROW_COUNT),
	ROW("malformed", "", checks[BENCH_MALFORMED], ROW_COUNT),
	ROW("extra load", "%", extra_load_share, ROW_SHARE),
	ROW("shed by upstreams", "", requests_shed, ROW_COUNT),
	ROW("cold overloads", "", cold_overloads, ROW_COUNT),
	ROW("unannounced overloads", "", unannounced_overloads, ROW_COUNT),
	ROW("upstream crashes", "", crashes, ROW_COUNT),
	ROW("most at a cold upstream", "", max_in_flight_cold, ROW_COUNT),
	ROW("new work after drain", "", new_work_after_drain, ROW_COUNT),
	ROW("last new work, drain", "ms", last_new_work_after_drain_ms, ROW_COUNT),
	ROW("interrupted attempts", "", interrupted_attempts, ROW_COUNT),
	ROW("faults not run", "", failed_actions, ROW_COUNT),
	ROW("failed stops", "", failed_stops, ROW_COUNT),
	ROW("audit: answers", "", audit.answers_checked, ROW_COUNT),
	ROW("audit: hits", "", audit.hits_checked, ROW_COUNT),
	ROW("hits without a record", "", audit.hits_without_record, ROW_COUNT),
	ROW("coverage not recorded", "", audit.wrong_coverage, ROW_COUNT),
	ROW("records used twice", "", audit.records_used_twice, ROW_COUNT),
	ROW("hits, record lost", "", audit.hits_with_lost_record, ROW_COUNT),
	ROW("unreadable records", "", audit.unreadable_records, ROW_COUNT),
	ROW("new work in zone out", "", audit.zone_out_requests, ROW_COUNT),
	ROW("ids", "", audit.ids, ROW_COUNT),
	ROW("ids complete", "", audit.ids_complete, ROW_COUNT),
	ROW("ids refused", "", audit.ids_refused, ROW_COUNT),
	ROW("ids unknown at the end", "", audit.ids_unknown, ROW_COUNT),
	ROW("ids executed twice", "", audit.ids_executed_twice, ROW_COUNT),
	ROW("ids falsely refused", "", audit.ids_falsely_refused, ROW_COUNT),
	ROW("ids complete, not run", "", audit.ids_complete_not_executed, ROW_COUNT),
	ROW("platform calls", "/s", platform_calls_per_s, ROW_DECIMAL),
	ROW("entry processor time", "cores", entry_cpu_cores, ROW_DECIMAL),
	ROW("entry time per query", "us", cpu_us_per_query, ROW_DECIMAL),
	ROW("largest entry memory", "KB", max_entry_memory_kb, ROW_COUNT),
};

#define ROW_COUNT_TOTAL (sizeof(rows) / sizeof(rows[0]))

static double row_value(const struct row *row, const struct bench_summary *summary)
{
	const char *value_address = (const char *)summary + row->offset;
	double decimal;
	int64_t count;

	if (row->type == ROW_COUNT) {
		memcpy(&count, value_address, sizeof(count));
		return (double)count;
	}
	memcpy(&decimal, value_address, sizeof(decimal));
	return decimal;
}

static void print_cell(const struct row *row, const struct bench_summary *summary)
{
	double value;

	if (!summary) {
		printf("  %12s", "-");
		return;
	}
	value = row_value(row, summary);
	if (row->type == ROW_COUNT)
		printf("  %12.0f", value);
	else
		printf("  %12.2f", row->type == ROW_SHARE ? value * 100 : value);
}

void bench_report_print(const struct bench_experiment *experiment,
			const struct bench_summary *product, const struct bench_summary *naive)
{
	printf("%s (seed %" PRId64 ")\n%-24s%-6s  %12s  %12s\n", experiment->title,
	       experiment->seed, "", "", "product", "naive");
	for (size_t i = 0; i < ROW_COUNT_TOTAL; i++) {
		printf("%-24s%-6s", rows[i].name, rows[i].unit);
		print_cell(&rows[i], product);
		print_cell(&rows[i], naive);
		putchar('\n');
	}
	for (int i = 0; product && i < BENCH_REASONS_MAX && product->reasons[i].count; i++)
		printf("reason %-23s  %12" PRIu64 "\n", product->reasons[i].name,
		       product->reasons[i].count);
	fflush(stdout);
}

static json_t *summary_to_json(const struct bench_summary *summary)
{
	json_t *json = json_object();

	for (size_t i = 0; i < ROW_COUNT_TOTAL && summary; i++)
		json_object_set_new(json, rows[i].name, json_real(row_value(&rows[i], summary)));
	return json;
}

void bench_report_write(const char *path, const struct bench_experiment *experiment,
			const struct bench_summary *product, const struct bench_summary *naive)
{
	json_t *json = json_object();

	json_object_set_new(json, "title", json_string(experiment->title));
	json_object_set_new(json, "seed", json_integer(experiment->seed));
	json_object_set_new(json, "product", summary_to_json(product));
	json_object_set_new(json, "naive", summary_to_json(naive));
	if (json_dump_file(json, path, JSON_INDENT(2)))
		fprintf(stderr, "can't write %s\n", path);
	json_decref(json);
}

/* Prints whether a requirement is met; returns 1 if it isn't, else 0. */
static int print_requirement(bool met, const char *description, double value, double bound)
{
	printf("%s  %s: %.4f, bound %.4f\n", met ? "met    " : "NOT MET", description, value,
	       bound);
	return !met;
}

/* Checks that no answer has wrong content; returns the number of kinds of errors found. */
static int check_content(const struct bench_summary *summary)
{
	int wrong = 0;

	for (int i = BENCH_WRONG_REQUEST; i < BENCH_CHECK_COUNT; i++) {
		if (summary->checks[i]) {
			printf("NOT MET  %s: %" PRIu64 " answers\n", bench_check_name(i),
			       summary->checks[i]);
			wrong++;
		}
	}
	return wrong;
}

/* Prints a count that must be 0 and isn't; returns 1 in this case, else 0. */
static int require_zero(const char *description, uint64_t count)
{
	if (!count)
		return 0;
	printf("NOT MET  %s: %" PRIu64 "\n", description, count);
	return 1;
}

/* Checks the invariants that hold in every experiment; returns the number of violated ones. */
static int check_audit(const struct bench_summary *summary)
{
	const struct bench_audit *audit = &summary->audit;
	int unmet = require_zero("actions of the fault plan that could not be run",
				 summary->failed_actions);

	unmet += require_zero("entry instances that did not stop in time with status 0",
			      summary->failed_stops);
	if (!summary->audited)
		return unmet;
	unmet += require_zero("hits without a record", audit->hits_without_record);
	unmet += require_zero("answers whose coverage differs from the records",
			      audit->wrong_coverage);
	unmet += require_zero("records matched with two hits", audit->records_used_twice);
	unmet += require_zero("upstreams whose record can't be read completely",
			      audit->unreadable_records);
	unmet += require_zero("requests to a zone that has been out for more than 3 s",
			      audit->zone_out_requests);
	unmet += require_zero("ids executed twice", audit->ids_executed_twice);
	unmet += require_zero("ids refused although they were executed or complete",
			      audit->ids_falsely_refused);
	unmet += require_zero("ids complete but not executed", audit->ids_complete_not_executed);
	return unmet;
}

/* Checks an upper bound; a negative bound isn't checked. */
static int require_at_most(const char *description, uint64_t value, int64_t bound)
{
	if (bound < 0)
		return 0;
	return print_requirement(value <= (uint64_t)bound, description, (double)value,
				 (double)bound);
}

/* Checks a lower bound; a negative bound isn't checked. */
static int require_at_least(const char *description, double value, double bound)
{
	return bound < 0 ? 0 : print_requirement(value >= bound, description, value, bound);
}

static int check_fault_requirements(const struct bench_experiment *e,
				    const struct bench_summary *summary)
{
	int unmet = 0;

	unmet += require_at_most("cold overloads", (uint64_t)summary->cold_overloads,
				 e->max_cold_overloads);
	unmet += require_at_most("time from the start of a drain to the last new request, ms",
				 (uint64_t)summary->last_new_work_after_drain_ms,
				 e->max_new_work_after_drain_ms);
	unmet += require_at_least(
		"share of urgent queries with a complete answer within the deadline",
		summary->urgent_in_deadline_share, e->min_urgent_in_deadline);
	unmet += require_at_least("mean coverage", summary->mean_coverage, e->min_coverage);
	unmet += require_at_most("queries and ids with an unknown outcome",
				 summary->unknown + summary->audit.ids_unknown, e->max_unknown);
	unmet += require_at_most("queries without an answer", summary->checks[BENCH_NO_ANSWER],
				 e->max_no_answer);
	unmet += require_at_most("interrupted attempts", summary->interrupted_attempts,
				 e->max_interrupted);
	return unmet;
}

int bench_report_check(const struct bench_experiment *e, const struct bench_summary *product,
		       const struct bench_summary *naive)
{
	int unmet = 0;

	if (!product)
		return 0;
	unmet += check_content(product);
	unmet += check_audit(product);
	unmet += check_fault_requirements(e, product);
	if (e->max_p99_ratio > 0 && naive)
		unmet += print_requirement(product->p99_ms <= e->max_p99_ratio * naive->p99_ms,
					   "p99 as a share of the baseline's",
					   product->p99_ms / naive->p99_ms, e->max_p99_ratio);
	if (e->max_oracle_ratio > 0)
		unmet += print_requirement(
			product->p99_ms <= e->max_oracle_ratio * product->oracle_p99_ms,
			"p99 as a multiple of the oracle's",
			product->p99_ms / product->oracle_p99_ms, e->max_oracle_ratio);
	if (e->max_extra > 0)
		unmet += print_requirement(product->extra_load_share <= e->max_extra,
					   "extra load on upstreams", product->extra_load_share,
					   e->max_extra);
	if (e->min_whole > 0)
		unmet += print_requirement(product->complete_share >= e->min_whole,
					   "share of complete answers", product->complete_share,
					   e->min_whole);
	return unmet;
}
