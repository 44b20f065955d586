#include "audit.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PAGE_RECORDS	 2000 /* about 250 bytes each; a response holds at most 1 MB */
#define ZONE_OUT_MS	 3000 /* target time until a zone that is out gets no new work */
#define VIOLATIONS_SHOWN 5 /* of each kind */

enum owner {
	OWNER_NONE, /* neither a query nor an id of this load */
	OWNER_QUERY,
	OWNER_RUN,
};

/**
 * struct record - what an upstream recorded of one request
 * @owner: type of the caller's request
 * @number: of the query or the id
 * @whole: status 200 with a bucket range
 * @used: an answer has this hit
 */
struct record {
	enum owner owner;
	uint64_t number;
	uint64_t seq;
	uint64_t snapshot;
	uint32_t first;
	uint32_t last;
	int64_t arrived_ms;
	unsigned int status;
	bool whole;
	bool begun;
	bool used;
};

struct table {
	struct record *items;
	size_t count;
	size_t cap;
};

/**
 * struct auditor - one audit
 * @tables: records of each upstream, sorted by owner and number
 * @begun: for each id, the number of records that began
 */
struct auditor {
	struct bench_audit *audit;
	const struct bench_load *load;
	const struct bench_runs *runs;
	struct table *tables;
	uint32_t *begun;
};

/* -- reading -- */

/* The id's part before its first dot is the caller's Request-Id. */
static void find_owner(const struct auditor *a, const char *id, struct record *record)
{
	size_t len = strcspn(id, ".");
	unsigned long long number = 0;
	char caller[BENCH_RUN_ID_MAX + 1];
	char expected[BENCH_RUN_ID_MAX + 1] = "";
	long long at_ms;
	long long seed;

	record->owner = OWNER_NONE;
	if (!pd_str_copy((struct pd_str){id, len}, caller, sizeof(caller)))
		return;
	if (sscanf(caller, "load-%lld-%llu", &seed, &number) == 2 && number < a->load->count) {
		bench_query_id(expected, sizeof(expected), a->load->experiment, number);
		if (!strcmp(caller, expected))
			record->owner = OWNER_QUERY;
	} else if (sscanf(caller, "%lld-run-%lld-%llu", &at_ms, &seed, &number) == 3 &&
		   number < a->runs->count && !strcmp(caller, a->runs->items[number].id)) {
		record->owner = OWNER_RUN;
	}
	record->number = number;
}

static bool add_record(const struct auditor *a, struct table *table, json_t *json)
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

	/* A gap means that the upstream dropped old records. */
	if (!id || !covers || record.seq != table->count + 1)
		return false;
	record.whole = record.status == 200 &&
		       sscanf(covers, "%" SCNu32 "-%" SCNu32, &record.first, &record.last) == 2;
	find_owner(a, id, &record);
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

static bool read_page(const struct auditor *a, struct table *table,
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
	snprintf(path, sizeof(path), "/record?after=%zu&max=%d", table->count, PAGE_RECORDS);
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

	if (a->owner != b->owner)
		return a->owner < b->owner ? -1 : 1;
	if (a->number != b->number)
		return a->number < b->number ? -1 : 1;
	return a->seq < b->seq ? -1 : a->seq > b->seq;
}

static void read_records(struct auditor *a)
{
	const struct bench_deployment *d = a->load->deployment;

	for (int i = 0; i < d->upstream_count; i++) {
		const struct bench_process *process = &d->processes[d->first_upstream + i];
		struct table *table = &a->tables[i];
		size_t added = 1;
		bool good = true;

		while (good && added)
			good = read_page(a, table, &process->address, &added);
		if (!good && !d->records_lost[i]) {
			fprintf(stderr, "audit: the record of %s can't be read whole\n",
				process->name);
			a->audit->unreadable_records++;
		}
		if (table->count)
			qsort(table->items, table->count, sizeof(*table->items), compare_records);
	}
}

/* First record of @owner and @number; the others follow. NULL when there is none. */
static struct record *find_first(const struct table *table, enum owner owner, uint64_t number)
{
	size_t low = 0;
	size_t high = table->count;

	while (low < high) {
		size_t middle = low + (high - low) / 2;
		const struct record *record = &table->items[middle];

		if (record->owner < owner || (record->owner == owner && record->number < number))
			low = middle + 1;
		else
			high = middle;
	}
	if (low == table->count || table->items[low].owner != owner ||
	    table->items[low].number != number)
		return NULL;
	return &table->items[low];
}

/* -- queries -- */

static void violation(uint64_t *count, const char *id, const char *what)
{
	if (++*count <= VIOLATIONS_SHOWN)
		fprintf(stderr, "audit: request_id=%s %s\n", id, what);
}

/* Whether the record of @hit exists, and wasn't used before. */
static bool check_hit(struct auditor *a, uint64_t number, const struct bench_hit *hit,
		      const char *id)
{
	const struct table *table = &a->tables[hit->upstream];
	struct record *end = table->items + table->count;
	struct record *r = find_first(table, OWNER_QUERY, number);
	char what[128];
	bool used = false;

	for (; r && r < end && r->owner == OWNER_QUERY && r->number == number; r++) {
		if (!r->whole || r->snapshot != hit->snapshot || r->first != hit->first ||
		    r->last != hit->last)
			continue;
		used = r->used;
		r->used = true;
		if (!used)
			return true;
	}
	snprintf(what, sizeof(what), "%s: upstream %d, snapshot %" PRIu64 ", buckets %u-%u",
		 used ? "hit whose record another hit has used" : "hit without a record",
		 hit->upstream, hit->snapshot, hit->first, hit->last);
	violation(used ? &a->audit->records_used_twice : &a->audit->hits_without_record, id, what);
	return false;
}

static bool same_ranges(const struct pd_ranges *a, const struct pd_ranges *b)
{
	return a->count == b->count &&
	       (!a->count || !memcmp(a->items, b->items, a->count * sizeof(*a->items)));
}

static void audit_answer(struct auditor *a, uint64_t number)
{
	const struct bench_result *result = &a->load->results[number];
	const struct bench_deployment *d = a->load->deployment;
	struct pd_ranges recorded;
	char id[BENCH_RUN_ID_MAX + 1];

	bench_query_id(id, sizeof(id), a->load->experiment, number);
	pd_ranges_init(&recorded);
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
				violation(&a->audit->hits_without_record, id,
					  "hit of no known upstream");
		}
		if (good)
			pd_ranges_add(&recorded, hit->first, hit->last);
	}
	if (!same_ranges(&recorded, &result->stated_coverage))
		violation(&a->audit->wrong_coverage, id,
			  "the stated coverage isn't that of the records");
	pd_ranges_finish(&recorded);
}

static void audit_answers(struct auditor *a)
{
	for (uint64_t i = 0; i < a->load->count; i++) {
		enum bench_answer_type answer = a->load->results[i].answer;

		if (answer == BENCH_ANSWER_COMPLETE || answer == BENCH_ANSWER_PARTIAL)
			audit_answer(a, i);
	}
}

/* Counts the requests that came to a zone long after it was taken out, until it was put back. */
static void audit_zones(struct auditor *a)
{
	const struct bench_deployment *d = a->load->deployment;
	const struct bench_experiment *e = a->load->experiment;

	for (int i = 0; i < d->upstream_count; i++) {
		const struct pd_name *name =
			bench_upstream_zone(e, i / (int)e->replicas, i % (int)e->replicas);
		const struct bench_interval *out = &d->zone_out_intervals[name - e->zones];

		for (size_t k = 0; k < a->tables[i].count && out->from_ms; k++) {
			int64_t at_ms = a->tables[i].items[k].arrived_ms;

			a->audit->zone_out_requests += at_ms >= out->from_ms + ZONE_OUT_MS &&
						       (!out->to_ms || at_ms < out->to_ms);
		}
	}
}

/* -- ids -- */

static void count_begun(struct auditor *a)
{
	for (int i = 0; i < a->load->deployment->upstream_count; i++) {
		for (size_t k = 0; k < a->tables[i].count; k++) {
			const struct record *r = &a->tables[i].items[k];

			if (r->owner == OWNER_RUN && r->begun) {
				a->begun[r->number]++;
				a->audit->runs_begun++;
			}
		}
	}
}

static bool record_lost(const struct auditor *a, int service)
{
	int replicas = (int)a->load->experiment->replicas;

	for (int i = 0; i < replicas; i++) {
		if (a->load->deployment->records_lost[service * replicas + i])
			return true;
	}
	return false;
}

static void audit_id(struct auditor *a, uint64_t number)
{
	const struct bench_run *run = &a->runs->items[number];
	uint32_t complete = run->answer_counts[BENCH_ANSWER_COMPLETE];
	uint32_t refused = run->answer_counts[BENCH_ANSWER_REFUSED];
	uint32_t begun = a->begun[number];
	struct bench_audit *audit = a->audit;
	char what[192];

	audit->ids++;
	audit->ids_complete += complete > 0;
	audit->ids_refused += !complete && refused;
	audit->ids_unknown += !complete && !refused;
	snprintf(what, sizeof(what),
		 "executed %u times; answers: complete %u, refused %u, unknown %u, none %u%s",
		 begun, complete, refused, run->answer_counts[BENCH_ANSWER_UNKNOWN],
		 run->answer_counts[BENCH_ANSWER_NONE],
		 run->concurrent_duplicate ? "; sent twice at once" : "");
	if (begun > 1)
		violation(&audit->ids_executed_twice, run->id, what);
	if (refused && (begun || complete))
		violation(&audit->ids_falsely_refused, run->id, what);
	if (complete && !begun && !record_lost(a, run->service))
		violation(&audit->ids_complete_not_executed, run->id, what);
}

/* -- the whole -- */

enum pd_code bench_audit_run(struct bench_audit *audit, const struct bench_load *load,
			     const struct bench_runs *runs, struct pd_error *err)
{
	int count = load->deployment->upstream_count;
	struct auditor a = {.audit = audit, .load = load, .runs = runs};
	enum pd_code code;

	*audit = (struct bench_audit){0};
	a.tables = calloc((size_t)count + 1, sizeof(*a.tables));
	a.begun = calloc(runs->count + 1, sizeof(*a.begun));
	if (a.tables && a.begun) {
		read_records(&a);
		audit_answers(&a);
		audit_zones(&a);
		count_begun(&a);
		for (uint64_t i = 0; i < runs->count; i++)
			audit_id(&a, i);
	}
	for (int i = 0; i < count && a.tables; i++)
		free(a.tables[i].items);
	code = a.tables && a.begun ? PD_OK
				   : pd_error_set(err, PD_LAYER_BASE, PD_NO_MEMORY, "no memory");
	free(a.tables);
	free(a.begun);
	return code;
}
