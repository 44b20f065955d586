#include "load.h"

#include <ck_pr.h>
#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Time that a caller waits beyond the deadline, so that a late answer is counted as late and not as
 * missing. */
#define LATE_ANSWER_WAIT_US (2 * PD_USEC_PER_SEC)
#define MAX_ATTEMPTS	    3

static const char *const check_names[BENCH_CHECK_COUNT] = {
	[BENCH_GOOD] = "good",
	[BENCH_NO_ANSWER] = "no_answer",
	[BENCH_WRONG_REQUEST] = "wrong_request",
	[BENCH_MIXED_SNAPSHOTS] = "mixed_snapshots",
	[BENCH_WRONG_COVERAGE] = "wrong_coverage",
	[BENCH_MALFORMED] = "malformed",
};

const char *bench_check_name(enum bench_check check)
{
	return check_names[check];
}

void bench_query_text(char *out, size_t size, const struct bench_experiment *experiment,
		      uint64_t number)
{
	snprintf(out, size, "broken rib %" PRId64 "-%" PRIu64, experiment->seed, number);
}

void bench_query_id(char *out, size_t size, const struct bench_experiment *experiment,
		    uint64_t number)
{
	snprintf(out, size, "load-%" PRId64 "-%" PRIu64, experiment->seed, number);
}

enum pd_code bench_load_init(struct bench_load *load, const struct bench_experiment *experiment,
			     struct bench_deployment *deployment, struct pd_error *err)
{
	double seconds = (double)(experiment->duration_ms + experiment->warmup_ms) / 1000;
	gsl_rng *rng = gsl_rng_alloc(gsl_rng_mt19937);
	size_t capacity = (size_t)(seconds * experiment->rate * 2) + 100;
	double arrival_s = 0;

	memset(load, 0, sizeof(*load));
	load->experiment = experiment;
	load->deployment = deployment;
	load->results = calloc(capacity, sizeof(*load->results));
	if (!load->results || !rng)
		return pd_error_set(err, PD_LAYER_BASE, PD_NO_MEMORY, "out of memory for the load");
	gsl_rng_set(rng, (unsigned long)experiment->seed + 1);
	while (load->count < capacity) {
		struct bench_result *result = &load->results[load->count];

		arrival_s += gsl_ran_exponential(rng, 1 / experiment->rate);
		if (arrival_s >= seconds)
			break;
		result->arrival_us = (int64_t)(arrival_s * (double)PD_USEC_PER_SEC);
		result->urgent = gsl_rng_uniform(rng) < experiment->urgent_share;
		load->count++;
	}
	gsl_rng_free(rng);
	return PD_OK;
}

void bench_load_finish(struct bench_load *load)
{
	for (uint64_t i = 0; i < load->count && load->results; i++) {
		free(load->results[i].hits);
		pd_ranges_finish(&load->results[i].stated_coverage);
	}
	free(load->results);
	load->results = NULL;
}

static enum bench_answer_type read_outcome(json_t *json)
{
	const char *outcome = json_string_value(json_object_get(json, "outcome"));

	if (!outcome)
		return BENCH_ANSWER_NONE;
	if (!strcmp(outcome, "complete"))
		return BENCH_ANSWER_COMPLETE;
	if (!strcmp(outcome, "partial"))
		return BENCH_ANSWER_PARTIAL;
	if (!strcmp(outcome, "refused"))
		return BENCH_ANSWER_REFUSED;
	return BENCH_ANSWER_UNKNOWN;
}

enum bench_answer_type bench_read_outcome(struct pd_str body)
{
	json_t *json = json_loadb(body.data ? body.data : "", body.len, 0, NULL);
	enum bench_answer_type type = read_outcome(json);

	json_decref(json);
	return type;
}

/* Number of the upstream with this name, counted from 0; -1 if there is none. */
static int upstream_number(const struct bench_experiment *e, const char *name)
{
	char replica = 0;
	int service = -1;

	if (!name || sscanf(name, "catalogue-%d%c", &service, &replica) != 2 || service < 0 ||
	    service >= e->services || replica < 'a' || replica >= 'a' + e->replicas)
		return -1;
	return service * (int)e->replicas + replica - 'a';
}

/* Appends a hit to @result for the audit. */
static void store_hit(const struct bench_load *load, struct bench_result *result, json_t *hit,
		      const struct pd_ranges *hit_ranges)
{
	const char *name = json_string_value(json_object_get(hit, "upstream"));

	if (!result->hits || !hit_ranges->count)
		return;
	result->hits[result->hit_count++] = (struct bench_hit){
		.snapshot = (uint64_t)json_integer_value(json_object_get(hit, "snapshot")),
		.upstream = upstream_number(load->experiment, name),
		.first = hit_ranges->items[0].first,
		.last = hit_ranges->items[hit_ranges->count - 1].last,
	};
}

/*
 * Collects the buckets that the hits cover, and checks that the hits are disjoint and were computed
 * from the same snapshot. Stores the hits for the audit.
 */
static enum bench_check check_hits(const struct bench_load *load, struct bench_result *result,
				   json_t *json, uint32_t buckets, struct pd_ranges *covered_ranges)
{
	json_int_t snapshot = json_integer_value(json_object_get(json, "snapshot"));
	json_t *hits = json_object_get(json, "hits");
	enum bench_check check = BENCH_GOOD;
	size_t i;
	json_t *hit;

	result->hits = calloc(json_array_size(hits) + 1, sizeof(*result->hits));
	json_array_foreach(hits, i, hit)
	{
		const char *text = json_string_value(json_object_get(hit, "buckets"));
		struct pd_ranges hit_ranges;

		pd_ranges_init(&hit_ranges);
		if (json_integer_value(json_object_get(hit, "snapshot")) != snapshot)
			check = BENCH_MIXED_SNAPSHOTS;
		if (pd_ranges_parse(&hit_ranges, pd_str_from(text), buckets, NULL) != PD_OK)
			check = BENCH_MALFORMED;
		else if (!pd_ranges_disjoint(covered_ranges, &hit_ranges))
			check = BENCH_WRONG_COVERAGE;
		pd_ranges_union(covered_ranges, &hit_ranges);
		store_hit(load, result, hit, &hit_ranges);
		pd_ranges_finish(&hit_ranges);
	}
	return check;
}

/*
 * Stores the answer's reason, or else the reason of the first missing service, cut to the size of
 * the array.
 */
static void store_failure_reason(struct bench_result *result, json_t *json)
{
	json_t *coverage = json_object_get(json, "coverage");
	json_t *missing_service = json_array_get(json_object_get(coverage, "missing"), 0);
	const char *reason = json_string_value(json_object_get(json, "reason"));

	if (!reason || !*reason)
		reason = json_string_value(json_object_get(missing_service, "reason"));
	snprintf(result->failure_reason, sizeof(result->failure_reason), "%s",
		 reason ? reason : "");
}

/* Computes the buckets that the answer claims to cover; false if the text is malformed. */
static bool read_stated_coverage(struct bench_result *result, json_t *coverage, uint32_t buckets)
{
	const char *text = json_string_value(json_object_get(coverage, "missing_ranges"));
	struct pd_ranges missing_ranges;
	bool good = text != NULL;

	pd_ranges_init(&missing_ranges);
	if (good && *text)
		good = pd_ranges_parse(&missing_ranges, pd_str_from(text), buckets, NULL) == PD_OK;
	if (good)
		good = pd_ranges_complement(&missing_ranges, buckets, &result->stated_coverage) ==
		       PD_OK;
	pd_ranges_finish(&missing_ranges);
	return good;
}

static void check_answer(struct bench_load *load, uint64_t number, const char *id,
			 struct pd_str body)
{
	struct bench_result *result = &load->results[number];
	json_t *json = json_loadb(body.data ? body.data : "", body.len, 0, NULL);
	const char *answer_id = json_string_value(json_object_get(json, "request_id"));
	json_t *coverage = json_object_get(json, "coverage");
	json_int_t stated_buckets = json_integer_value(json_object_get(coverage, "covered"));
	json_int_t buckets = json_integer_value(json_object_get(coverage, "buckets"));
	struct pd_ranges covered_ranges;

	pd_ranges_init(&covered_ranges);
	result->answer = read_outcome(json);
	store_failure_reason(result, json);
	if (result->answer == BENCH_ANSWER_NONE) {
		result->check = BENCH_MALFORMED;
	} else if (!answer_id || strcmp(answer_id, id) != 0) {
		result->check = BENCH_WRONG_REQUEST;
	} else if (result->answer == BENCH_ANSWER_COMPLETE ||
		   result->answer == BENCH_ANSWER_PARTIAL) {
		result->check = check_hits(load, result, json, (uint32_t)buckets, &covered_ranges);
		if (!read_stated_coverage(result, coverage, (uint32_t)buckets))
			result->check = BENCH_MALFORMED;
		if (!result->check &&
		    ((json_int_t)pd_ranges_total(&covered_ranges) != stated_buckets ||
		     (json_int_t)pd_ranges_total(&result->stated_coverage) != stated_buckets))
			result->check = BENCH_WRONG_COVERAGE;
		if (!result->check && result->answer == BENCH_ANSWER_COMPLETE &&
		    stated_buckets != buckets)
			result->check = BENCH_WRONG_COVERAGE;
		result->coverage = buckets ? (double)stated_buckets / (double)buckets : 0;
	}
	pd_ranges_finish(&covered_ranges);
	json_decref(json);
}

static void send_query(struct bench_load *load, struct pd_http_client *client, uint64_t number)
{
	const struct bench_experiment *e = load->experiment;
	struct bench_result *result = &load->results[number];
	int balancer = load->deployment->balancer;
	enum pd_code code = PD_CLOSED;
	struct pd_http_response response;
	char deadline[24];
	char text[128];
	char line[256];
	char id[64];

	bench_query_text(text, sizeof(text), e, number);
	snprintf(line, sizeof(line), "query catalogue \"%s\" kind %s", text,
		 result->urgent ? "lookup" : "report");
	bench_query_id(id, sizeof(id), e, number);
	snprintf(deadline, sizeof(deadline), "%" PRId64, e->deadline_ms);
	struct pd_http_header headers[] = {
		{PD_STR("Request-Id"), pd_str_from(id)},
		{PD_STR("Deadline-Ms"), pd_str_from(deadline)},
	};
	struct pd_http_request request = {
		.method = "POST",
		.address = load->deployment->processes[balancer].address,
		.path = "/v1/query",
		.headers = headers,
		.header_count = sizeof(headers) / sizeof(headers[0]),
		.body = pd_str_from(line),
		.timeout_us = e->deadline_ms * PD_USEC_PER_MSEC + LATE_ANSWER_WAIT_US,
	};

	/* A query is idempotent, so the caller retries it after a failure. */
	for (int attempt = 0; attempt < MAX_ATTEMPTS && code != PD_OK; attempt++) {
		code = pd_http_client_perform(client, &request, &response, NULL);
		result->retries = attempt;
		result->interrupted_attempts += code == PD_CLOSED || code == PD_TIMEOUT;
	}
	result->latency_us = pd_os_now_us() - load->start_us - result->arrival_us;
	if (code != PD_OK)
		result->check = BENCH_NO_ANSWER;
	else
		check_answer(load, number, id, response.body);
}

static void *run_caller(void *arg)
{
	struct bench_load *load = arg;
	struct pd_http_client *client;

	if (pd_http_client_open(&client, NULL) != PD_OK)
		return NULL;
	for (;;) {
		uint64_t number = ck_pr_faa_64(&load->next_arrival, 1);

		if (number >= load->count)
			break;
		pd_os_sleep_us(load->start_us + load->results[number].arrival_us - pd_os_now_us());
		send_query(load, client, number);
		ck_pr_inc_64(&load->finished_queries);
	}
	pd_http_client_close(client);
	return NULL;
}

enum pd_code bench_load_run(struct bench_load *load, struct pd_error *err)
{
	int64_t callers = load->experiment->callers;
	pthread_t *threads = calloc((size_t)callers, sizeof(*threads));
	enum pd_code code = PD_OK;
	int64_t started_threads = 0;

	if (!threads)
		return pd_error_set(err, PD_LAYER_BASE, PD_NO_MEMORY,
				    "out of memory for the caller threads");
	load->start_us = pd_os_now_us();
	while (started_threads < callers && code == PD_OK) {
		code = pd_os_thread_start(&threads[started_threads], "caller", run_caller, load,
					  err);
		if (code == PD_OK)
			started_threads++;
	}
	for (int64_t i = 0; i < started_threads; i++)
		pthread_join(threads[i], NULL);
	free(threads);
	/* The load lasts for its whole duration, even if the last query ends earlier. */
	pd_os_sleep_us(load->start_us +
		       (load->experiment->warmup_ms + load->experiment->duration_ms) *
			       PD_USEC_PER_MSEC -
		       pd_os_now_us());
	return code;
}
