#include "audit.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Records have about 250 bytes, and a response is limited to 1 MB. */
#define MAX_RECORDS_PER_PAGE 2000
/* Target time after which a zone that is set out receives no new requests. */
#define ZONE_OUT_TARGET_MS     3000
#define MAX_VIOLATIONS_PRINTED 5 /* for each kind of violation */

/** enum request_type - type of the caller's request that a record belongs to */
enum request_type {
	REQUEST_UNKNOWN, /* the Request-Id belongs to no request of this load */
	REQUEST_QUERY,
	REQUEST_RUN, /* a non-idempotent request */
};

/**
 * struct record - what an upstream recorded about one request
 * @type: type of the caller's request
 * @number: number of the query or of the id in the load
 * @seq: sequence number of the record, counted from 1
 * @snapshot: index snapshot that the request was executed with
 * @first: first bucket that the response covers
 * @last: last bucket that the response covers
 * @arrived_ms: Unix time in ms at which the request arrived
 * @status: HTTP status of the response
 * @returned_hit: whether the response has status 200 and a bucket range
 * @begun: whether the upstream began to execute the request
 * @matched: whether a hit of an answer has been matched with this record
 */
struct record {
	enum request_type type;
	uint64_t number;
	uint64_t seq;
	uint64_t snapshot;
	uint32_t first;
	uint32_t last;
	int64_t arrived_ms;
	unsigned int status;
	bool returned_hit;
	bool begun;
	bool matched;
};

/**
 * struct record_table - growing array of the records of one upstream
 * @items: the records; owned
 * @count: number of entries used in @items
 * @cap: number of entries allocated in @items
 */
struct record_table {
	struct record *items;
	size_t count;
	size_t cap;
};

/**
 * struct auditor - state of one audit
 * @audit: receives the counts
 * @load: queries and their answers
 * @runs: ids of non-idempotent requests and their answers
 * @tables: records of each upstream, sorted by request type, number and sequence number
 * @begun_counts: for each id, how often upstreams began to execute it
 */
struct auditor {
	struct bench_audit *audit;
	const struct bench_load *load;
	const struct bench_runs *runs;
	struct record_table *tables;
	uint32_t *begun_counts;
};

/* -- reading the records -- */

/*
 * Finds the query or id of the load that a sub-request belongs to. The part of its id before the
 * first dot is the Request-Id of the caller's request.
 */
static void parse_request_id(const struct auditor *a, const char *id, struct record *record)
{
	size_t len = strcspn(id, ".");
	unsigned long long number = 0;
	char caller[BENCH_RUN_ID_MAX + 1];
	char expected[BENCH_RUN_ID_MAX + 1] = "";
	long long at_ms;
	long long seed;

	record->type = REQUEST_UNKNOWN;
	if (!pd_str_copy((struct pd_str){id, len}, caller, sizeof(caller)))
		return;
	if (sscanf(caller, "load-%lld-%llu", &seed, &number) == 2 && number < a->load->count) {
		bench_query_id(expected, sizeof(expected), a->load->experiment, number);
		if (!strcmp(caller, expected))
			record->type = REQUEST_QUERY;
	} else if (sscanf(caller, "%lld-run-%lld-%llu", &at_ms, &seed, &number) == 3 &&
		   number < a->runs->count && !strcmp(caller, a->runs->items[number].id)) {
		record->type = REQUEST_RUN;
	}
	record->number = number;
}

static bool add_record(const struct auditor *a, struct record_table *table, json_t *json)
{
	const char *covers = json_string_value(json_object_get(json, "covers"));
	const char *id = json_string_value(json_object_get(json, "request_id"));
	struct record record = {
		.seq = (uint64_t)json_integer_value(json_object_get(json, "seq")),
		.snapshot = (uint64_t)json_integer_value(json_object_get(json, "snapshot")),
		.arrived_ms = json_integer_value(json_object_get(json, "arrived_ms")),
		.status = (unsigned int)json_integer_value(json_object_get(json, "status")),
		.begun = json_is_true(json_object_get(json, "begun")),
	};

	/* A gap in the sequence numbers means that the upstream dropped old records. */
	if (!id || !covers || record.seq != table->count + 1)
		return false;
	record.returned_hit = record.status == 200 && sscanf(covers, "%" SCNu32 "-%" SCNu32,
							     &record.first, &record.last) == 2;
	parse_request_id(a, id, &record);
	if (table->count == table->cap) {
		size_t cap = table->cap ? 2 * table->cap : 1024;
		struct record *grown = realloc(table->items, cap * sizeof(*grown));

		if (!grown)
			return false;
		table->items = grown;
		table->cap = cap;
	}
	table->items[table->count++] = record;
	return true;
}

/* Reads the records that follow those in @table; stores their number in @added. */
static bool read_page(const struct auditor *a, struct record_table *table,
		      const struct pd_address *address, size_t *added)
{
	char path[64];
	struct pd_buf body;
	bool good;
	json_t *json;
	json_t *item;
	size_t i;

	*added = 0;
	pd_buf_init(&body, 0);
	snprintf(path, sizeof(path), "/record?after=%zu&max=%d", table->count,
		 MAX_RECORDS_PER_PAGE);
	good = bench_get(address, path, &body, NULL) == PD_OK;
	json = good ? json_loadb(body.data ? body.data : "", body.len, 0, NULL) : NULL;
	good = json_is_array(json);
	json_array_foreach(json, i, item)
	{
		good = good && add_record(a, table, item);
		*added += good;
	}
	json_decref(json);
	pd_buf_finish(&body);
	return good;
}

static int compare_records(const void *left, const void *right)
{
	const struct record *a = left;
	const struct record *b = right;

	if (a->type != b->type)
		return a->type < b->type ? -1 : 1;
	if (a->number != b->number)
		return a->number < b->number ? -1 : 1;
	return a->seq < b->seq ? -1 : a->seq > b->seq;
}

static void read_records(struct auditor *a)
{
	const struct bench_deployment *d = a->load->deployment;

	for (int i = 0; i < d->upstream_count; i++) {
		const struct bench_process *process = &d->processes[d->first_upstream + i];
		struct record_table *table = &a->tables[i];
		size_t added = 1;
		bool good = true;

		while (good && added)
			good = read_page(a, table, &process->address, &added);
		if (!good && !d->records_lost[i]) {
			fprintf(stderr,
				"audit: the record of upstream %s can't be read completely\n",
				process->name);
			a->audit->unreadable_records++;
		}
		if (table->count)
			qsort(table->items, table->count, sizeof(*table->items), compare_records);
	}
}

/*
 * Finds the first record of a request; its other records follow it in the table. Returns NULL if
 * there is none.
 */
static struct record *find_first_record(const struct record_table *table, enum request_type type,
					uint64_t number)
{
	size_t low = 0;
	size_t high = table->count;

	while (low < high) {
		size_t middle = low + (high - low) / 2;
		const struct record *record = &table->items[middle];

		if (record->type < type || (record->type == type && record->number < number))
			low = middle + 1;
		else
			high = middle;
	}
	if (low == table->count || table->items[low].type != type ||
	    table->items[low].number != number)
		return NULL;
	return &table->items[low];
}

/* -- queries -- */

/* Counts a violation, and prints it if it is one of the first of its kind. */
static void report_violation(uint64_t *count, const char *id, const char *description)
{
	if (++*count <= MAX_VIOLATIONS_PRINTED)
		fprintf(stderr, "audit: request_id=%s %s\n", id, description);
}

/* Returns whether the upstream has a record of @hit that no other hit has been matched with. */
static bool check_hit(struct auditor *a, uint64_t number, const struct bench_hit *hit,
		      const char *id)
{
	const struct record_table *table = &a->tables[hit->upstream];
	struct record *end = table->items + table->count;
	struct record *r = find_first_record(table, REQUEST_QUERY, number);
	char description[128];
	bool matched = false;

	for (; r && r < end && r->type == REQUEST_QUERY && r->number == number; r++) {
		if (!r->returned_hit || r->snapshot != hit->snapshot || r->first != hit->first ||
		    r->last != hit->last)
			continue;
		matched = r->matched;
		r->matched = true;
		if (!matched)
			return true;
	}
	snprintf(description, sizeof(description),
		 "%s: upstream %d, snapshot %" PRIu64 ", buckets %u-%u",
		 matched ? "hit with an already matched record" : "hit without a record",
		 hit->upstream, hit->snapshot, hit->first, hit->last);
	report_violation(matched ? &a->audit->records_used_twice : &a->audit->hits_without_record,
			 id, description);
	return false;
}

static bool ranges_equal(const struct pd_ranges *a, const struct pd_ranges *b)
{
	return a->count == b->count &&
	       (!a->count || !memcmp(a->items, b->items, a->count * sizeof(*a->items)));
}

/* Checks the hits of one answer against the records, and its stated coverage against its hits. */
static void audit_answer(struct auditor *a, uint64_t number)
{
	const struct bench_result *result = &a->load->results[number];
	const struct bench_deployment *d = a->load->deployment;
	struct pd_ranges recorded_ranges;
	char id[BENCH_RUN_ID_MAX + 1];

	bench_query_id(id, sizeof(id), a->load->experiment, number);
	pd_ranges_init(&recorded_ranges);
	a->audit->answers_checked++;
	for (uint32_t i = 0; i < result->hit_count; i++) {
		const struct bench_hit *hit = &result->hits[i];
		bool good;

		if (hit->upstream >= 0 && d->records_lost[hit->upstream]) {
			a->audit->hits_with_lost_record++;
			good = true;
		} else {
			a->audit->hits_checked++;
			good = hit->upstream >= 0 && check_hit(a, number, hit, id);
			if (hit->upstream < 0)
				report_violation(&a->audit->hits_without_record, id,
						 "hit of an unknown upstream");
		}
		if (good)
			pd_ranges_add(&recorded_ranges, hit->first, hit->last);
	}
	if (!ranges_equal(&recorded_ranges, &result->stated_coverage))
		report_violation(&a->audit->wrong_coverage, id,
				 "the stated coverage differs from the coverage of the records");
	pd_ranges_finish(&recorded_ranges);
}

static void audit_answers(struct auditor *a)
{
	for (uint64_t i = 0; i < a->load->count; i++) {
		enum bench_answer_type answer = a->load->results[i].answer;

		if (answer == BENCH_ANSWER_COMPLETE || answer == BENCH_ANSWER_PARTIAL)
			audit_answer(a, i);
	}
}

/* Counts requests that arrived at a zone later than the target time after it was set out, and
 * before it was set in again. */
static void count_zone_out_requests(struct auditor *a)
{
	const struct bench_deployment *d = a->load->deployment;
	const struct bench_experiment *e = a->load->experiment;

	for (int i = 0; i < d->upstream_count; i++) {
		const struct pd_name *name =
			bench_upstream_zone(e, i / (int)e->replicas, i % (int)e->replicas);
		const struct bench_interval *interval = &d->zone_out_intervals[name - e->zones];

		for (size_t j = 0; j < a->tables[i].count && interval->from_ms; j++) {
			int64_t at_ms = a->tables[i].items[j].arrived_ms;

			a->audit->zone_out_requests +=
				at_ms >= interval->from_ms + ZONE_OUT_TARGET_MS &&
				(!interval->to_ms || at_ms < interval->to_ms);
		}
	}
}

/* -- ids of non-idempotent requests -- */

static void count_begun_runs(struct auditor *a)
{
	for (int i = 0; i < a->load->deployment->upstream_count; i++) {
		for (size_t j = 0; j < a->tables[i].count; j++) {
			const struct record *r = &a->tables[i].items[j];

			if (r->type == REQUEST_RUN && r->begun) {
				a->begun_counts[r->number]++;
				a->audit->runs_begun++;
			}
		}
	}
}

/* Whether an upstream of @service has lost its record, so that executions may be missing. */
static bool service_lost_records(const struct auditor *a, int service)
{
	int replicas = (int)a->load->experiment->replicas;

	for (int i = 0; i < replicas; i++) {
		if (a->load->deployment->records_lost[service * replicas + i])
			return true;
	}
	return false;
}

/* Compares how often upstreams began to execute an id with the answers to its attempts. */
static void audit_id(struct auditor *a, uint64_t number)
{
	const struct bench_run *run = &a->runs->items[number];
	uint32_t complete = run->answer_counts[BENCH_ANSWER_COMPLETE];
	uint32_t refused = run->answer_counts[BENCH_ANSWER_REFUSED];
	uint32_t begun = a->begun_counts[number];
	struct bench_audit *audit = a->audit;
	char description[192];

	audit->ids++;
	audit->ids_complete += complete > 0;
	audit->ids_refused += !complete && refused;
	audit->ids_unknown += !complete && !refused;
	snprintf(description, sizeof(description),
		 "executed %u times; answers: complete %u, refused %u, unknown %u, none %u%s",
		 begun, complete, refused, run->answer_counts[BENCH_ANSWER_UNKNOWN],
		 run->answer_counts[BENCH_ANSWER_NONE],
		 run->concurrent_duplicate ? "; sent through two entry instances at once" : "");
	if (begun > 1)
		report_violation(&audit->ids_executed_twice, run->id, description);
	if (refused && (begun || complete))
		report_violation(&audit->ids_falsely_refused, run->id, description);
	if (complete && !begun && !service_lost_records(a, run->service))
		report_violation(&audit->ids_complete_not_executed, run->id, description);
}

/* -- audit -- */

enum pd_code bench_audit_run(struct bench_audit *audit, const struct bench_load *load,
			     const struct bench_runs *runs, struct pd_error *err)
{
	int count = load->deployment->upstream_count;
	struct auditor a = {.audit = audit, .load = load, .runs = runs};
	enum pd_code code;

	*audit = (struct bench_audit){0};
	a.tables = calloc((size_t)count + 1, sizeof(*a.tables));
	a.begun_counts = calloc(runs->count + 1, sizeof(*a.begun_counts));
	if (a.tables && a.begun_counts) {
		read_records(&a);
		audit_answers(&a);
		count_zone_out_requests(&a);
		count_begun_runs(&a);
		for (uint64_t i = 0; i < runs->count; i++)
			audit_id(&a, i);
	}
	for (int i = 0; i < count && a.tables; i++)
		free(a.tables[i].items);
	code = a.tables && a.begun_counts ? PD_OK
					  : pd_error_set(err, PD_LAYER_BASE, PD_NO_MEMORY,
							 "out of memory for the audit");
	free(a.tables);
	free(a.begun_counts);
	return code;
}
