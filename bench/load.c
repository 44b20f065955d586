#include "load.h"

#include <ck_pr.h>
#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A caller waits somewhat longer than the deadline, so that a late answer shows as late and not as
 * none. */
#define CALLER_PATIENCE_US (2 * PD_USEC_PER_SEC)
#define CONNECT_TRIES	   3

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
	size_t room = (size_t)(seconds * experiment->rate * 2) + 100;
	double at = 0;

	memset(load, 0, sizeof(*load));
	load->experiment = experiment;
	load->deployment = deployment;
	load->results = calloc(room, sizeof(*load->results));
	if (!load->results || !rng)
		return pd_error_set(err, PD_LAYER_BASE, PD_NO_MEMORY, "no memory");
	gsl_rng_set(rng, (unsigned long)experiment->seed + 1);
	while (load->count < room) {
		struct bench_result *result = &load->results[load->count];

		at += gsl_ran_exponential(rng, 1 / experiment->rate);
		if (at >= seconds)
			break;
		result->arrival_us = (int64_t)(at * (double)PD_USEC_PER_SEC);
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

/* Number of the upstream called @name; -1 when there is none. */
static int upstream_number(const struct bench_experiment *e, const char *name)
{
	char replica = 0;
	int service = -1;

	if (!name || sscanf(name, "catalogue-%d%c", &service, &replica) != 2 || service < 0 ||
	    service >= e->services || replica < 'a' || replica >= 'a' + e->replicas)
		return -1;
	return service * (int)e->replicas + replica - 'a';
}

static void keep_hit(const struct bench_load *load, struct bench_result *result, json_t *hit,
		     const struct pd_ranges *part)
{
	const char *name = json_string_value(json_object_get(hit, "upstream"));

	if (!result->hits || !part->count)
		return;
	result->hits[result->hit_count++] = (struct bench_hit){
		.snapshot = (uint64_t)json_integer_value(json_object_get(hit, "snapshot")),
		.upstream = upstream_number(load->experiment, name),
		.first = part->items[0].first,
		.last = part->items[part->count - 1].last,
	};
}

/*
 * Adds up what the hits cover, and checks that they are disjoint and from one snapshot. Keeps them
 * for the audit.
 */
static enum bench_check check_hits(const struct bench_load *load, struct bench_result *result,
				   json_t *json, uint32_t buckets, struct pd_ranges *covered)
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
		struct pd_ranges part;

		pd_ranges_init(&part);
		if (json_integer_value(json_object_get(hit, "snapshot")) != snapshot)
			check = BENCH_MIXED_SNAPSHOTS;
		if (pd_ranges_parse(&part, pd_str_from(text), buckets, NULL) != PD_OK)
			check = BENCH_MALFORMED;
		else if (!pd_ranges_disjoint(covered, &part))
			check = BENCH_WRONG_COVERAGE;
		pd_ranges_union(covered, &part);
		keep_hit(load, result, hit, &part);
		pd_ranges_finish(&part);
	}
	return check;
}

/* Keeps the begin of the answer's reason, or else the reason of the first missing service. */
static void note_reason(struct bench_result *result, json_t *json)
{
	json_t *coverage = json_object_get(json, "coverage");
	json_t *missing = json_array_get(json_object_get(coverage, "missing"), 0);
	const char *reason = json_string_value(json_object_get(json, "reason"));

	if (!reason || !*reason)
		reason = json_string_value(json_object_get(missing, "reason"));
	snprintf(result->failure_reason, sizeof(result->failure_reason), "%s",
		 reason ? reason : "");
}

/* Stores the buckets that the answer states as covered; false when the text is malformed. */
static bool read_stated(struct bench_result *result, json_t *coverage, uint32_t buckets)
{
	const char *text = json_string_value(json_object_get(coverage, "missing_ranges"));
	struct pd_ranges missing;
	bool good = text != NULL;

	pd_ranges_init(&missing);
	if (good && *text)
		good = pd_ranges_parse(&missing, pd_str_from(text), buckets, NULL) == PD_OK;
	if (good)
		good = pd_ranges_missing(&missing, buckets, &result->stated_coverage) == PD_OK;
	pd_ranges_finish(&missing);
	return good;
}

static void check_answer(struct bench_load *load, uint64_t number, const char *id,
			 struct pd_str body)
{
	struct bench_result *result = &load->results[number];
	json_t *json = json_loadb(body.data ? body.data : "", body.len, 0, NULL);
	const char *echo = json_string_value(json_object_get(json, "request_id"));
	json_t *coverage = json_object_get(json, "coverage");
	json_int_t stated = json_integer_value(json_object_get(coverage, "covered"));
	json_int_t buckets = json_integer_value(json_object_get(coverage, "buckets"));
	struct pd_ranges covered;

	pd_ranges_init(&covered);
	result->answer = read_outcome(json);
	note_reason(result, json);
	if (result->answer == BENCH_ANSWER_NONE) {
		result->check = BENCH_MALFORMED;
	} else if (!echo || strcmp(echo, id) != 0) {
		result->check = BENCH_WRONG_REQUEST;
	} else if (result->answer == BENCH_ANSWER_COMPLETE ||
		   result->answer == BENCH_ANSWER_PARTIAL) {
		result->check = check_hits(load, result, json, (uint32_t)buckets, &covered);
		if (!read_stated(result, coverage, (uint32_t)buckets))
			result->check = BENCH_MALFORMED;
		if (!result->check &&
		    ((json_int_t)pd_ranges_total(&covered) != stated ||
		     (json_int_t)pd_ranges_total(&result->stated_coverage) != stated))
			result->check = BENCH_WRONG_COVERAGE;
		if (!result->check && result->answer == BENCH_ANSWER_COMPLETE && stated != buckets)
			result->check = BENCH_WRONG_COVERAGE;
		result->coverage = buckets ? (double)stated / (double)buckets : 0;
	}
	pd_ranges_finish(&covered);
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
		.timeout_us = e->deadline_ms * PD_USEC_PER_MSEC + CALLER_PATIENCE_US,
	};

	/* A query is idempotent, so a broken connection is tried again, as a caller would. */
	for (int try = 0; try < CONNECT_TRIES && code != PD_OK; try++) {
		code = pd_http_client_perform(client, &request, &response, NULL);
		result->retries = try;
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
	int64_t started = 0;

	if (!threads)
		return pd_error_set(err, PD_LAYER_BASE, PD_NO_MEMORY, "no memory");
	load->start_us = pd_os_now_us();
	while (started < callers && code == PD_OK) {
		code = pd_os_thread_start(&threads[started], "caller", run_caller, load, err);
		if (code == PD_OK)
			started++;
	}
	for (int64_t i = 0; i < started; i++)
		pthread_join(threads[i], NULL);
	free(threads);
	/* The deployment is measured for the whole time, also when the last arrival comes early. */
	pd_os_sleep_us(load->start_us +
		       (load->experiment->warmup_ms + load->experiment->duration_ms) *
			       PD_USEC_PER_MSEC -
		       pd_os_now_us());
	return code;
}
