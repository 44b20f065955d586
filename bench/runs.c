#include "runs.h"

#include <ck_pr.h>
#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CALLER_THREADS	32
#define MAX_ATTEMPTS	4 /* of one id, without the concurrent duplicate */
#define RETRY_DELAY_US	(100 * PD_USEC_PER_MSEC)
#define DUPLICATE_SHARE 0.1
/* Time that a caller waits beyond the deadline. */
#define LATE_ANSWER_WAIT_US (2 * PD_USEC_PER_SEC)

enum pd_code bench_runs_init(struct bench_runs *runs, const struct bench_experiment *e,
			     struct bench_deployment *deployment, struct pd_error *err)
{
	double seconds = (double)(e->duration_ms + e->warmup_ms) / 1000;
	size_t capacity = (size_t)(seconds * e->runs_rate * 2) + 100;
	gsl_rng *rng = gsl_rng_alloc(gsl_rng_mt19937);
	double arrival_s = 0;

	*runs = (struct bench_runs){.experiment = e, .deployment = deployment};
	runs->items = calloc(capacity, sizeof(*runs->items));
	runs->threads = calloc(CALLER_THREADS, sizeof(*runs->threads));
	if (!runs->items || !runs->threads || !rng)
		return pd_error_set(err, PD_LAYER_BASE, PD_NO_MEMORY,
				    "out of memory for the non-idempotent requests");
	gsl_rng_set(rng, (unsigned long)e->seed + 2);
	while (e->runs_rate > 0 && runs->count < capacity) {
		struct bench_run *run = &runs->items[runs->count];

		arrival_s += gsl_ran_exponential(rng, 1 / e->runs_rate);
		if (arrival_s >= seconds)
			break;
		run->arrival_us = (int64_t)(arrival_s * (double)PD_USEC_PER_SEC);
		run->service = (int)gsl_rng_uniform_int(rng, (unsigned long)e->services);
		run->concurrent_duplicate = gsl_rng_uniform(rng) < DUPLICATE_SHARE;
		pthread_mutex_init(&run->mutex, NULL);
		runs->count++;
	}
	gsl_rng_free(rng);
	return PD_OK;
}

void bench_runs_finish(struct bench_runs *runs)
{
	for (uint64_t i = 0; i < runs->count; i++)
		pthread_mutex_destroy(&runs->items[i].mutex);
	free(runs->items);
	free(runs->threads);
	*runs = (struct bench_runs){0};
}

static void count_answer(struct bench_run *run, enum bench_answer_type answer)
{
	pthread_mutex_lock(&run->mutex);
	run->answer_counts[answer]++;
	pthread_mutex_unlock(&run->mutex);
}

/* Sends one attempt of @run to the entry instance with number @entry; returns its outcome. */
static enum bench_answer_type send_once(struct bench_runs *runs, struct bench_run *run, int entry)
{
	const struct bench_experiment *e = runs->experiment;
	enum bench_answer_type answer = BENCH_ANSWER_NONE;
	struct pd_http_response response;
	struct pd_http_client *client;
	char deadline[24];
	char line[256];

	snprintf(deadline, sizeof(deadline), "%" PRId64, e->deadline_ms);
	snprintf(line, sizeof(line), "run catalogue-%02d \"order %s\" id %s kind lookup",
		 run->service, run->id, run->id);
	struct pd_http_header headers[] = {
		{PD_STR("Request-Id"), pd_str_from(run->id)},
		{PD_STR("Deadline-Ms"), pd_str_from(deadline)},
	};
	struct pd_http_request request = {
		.method = "POST",
		.address = runs->deployment->entry_http[entry],
		.path = "/v1/query",
		.headers = headers,
		.header_count = sizeof(headers) / sizeof(headers[0]),
		.body = pd_str_from(line),
		.timeout_us = e->deadline_ms * PD_USEC_PER_MSEC + LATE_ANSWER_WAIT_US,
	};

	if (pd_http_client_open(&client, NULL) != PD_OK)
		return answer;
	if (pd_http_client_perform(client, &request, &response, NULL) == PD_OK)
		answer = bench_read_outcome(response.body);
	pd_http_client_close(client);
	count_answer(run, answer);
	return answer;
}

/**
 * struct duplicate - an attempt that is sent at the same time as the first attempt of the same id
 * @runs: all ids
 * @run: the id
 * @entry: number of the entry instance that the attempt is sent to
 */
struct duplicate {
	struct bench_runs *runs;
	struct bench_run *run;
	int entry;
};

static void *send_duplicate(void *arg)
{
	struct duplicate *duplicate = arg;

	send_once(duplicate->runs, duplicate->run, duplicate->entry);
	return NULL;
}

/*
 * Sends one id until an answer says "complete" or "refused" or all attempts are used up. Each
 * attempt goes to the next entry instance.
 */
static void send_run(struct bench_runs *runs, uint64_t number)
{
	int entries = (int)runs->experiment->entries;
	struct bench_run *run = &runs->items[number];
	int entry = (int)(number % (uint64_t)entries);
	struct duplicate duplicate = {runs, run, (entry + entries / 2) % entries};
	pthread_t thread;
	bool duplicate_started;

	snprintf(run->id, sizeof(run->id), "%" PRId64 "-run-%" PRId64 "-%" PRIu64, pd_os_unix_ms(),
		 runs->experiment->seed, number);
	duplicate_started =
		run->concurrent_duplicate &&
		pd_os_thread_start(&thread, "twin", send_duplicate, &duplicate, NULL) == PD_OK;
	for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
		enum bench_answer_type answer = send_once(runs, run, (entry + attempt) % entries);

		if (answer == BENCH_ANSWER_COMPLETE || answer == BENCH_ANSWER_REFUSED)
			break;
		pd_os_sleep_us(RETRY_DELAY_US);
	}
	if (duplicate_started)
		pthread_join(thread, NULL);
}

static void *run_caller(void *arg)
{
	struct bench_runs *runs = arg;

	for (;;) {
		uint64_t number = ck_pr_faa_64(&runs->next_run, 1);

		if (number >= runs->count)
			break;
		pd_os_sleep_us(runs->start_us + runs->items[number].arrival_us - pd_os_now_us());
		send_run(runs, number);
	}
	return NULL;
}

enum pd_code bench_runs_start(struct bench_runs *runs, struct pd_error *err)
{
	enum pd_code code = PD_OK;

	runs->start_us = pd_os_now_us();
	while (runs->count && runs->started_threads < CALLER_THREADS && code == PD_OK) {
		code = pd_os_thread_start(&runs->threads[runs->started_threads], "run", run_caller,
					  runs, err);
		if (code == PD_OK)
			runs->started_threads++;
	}
	return code;
}

void bench_runs_wait(struct bench_runs *runs)
{
	for (int i = 0; i < runs->started_threads; i++)
		pthread_join(runs->threads[i], NULL);
	runs->started_threads = 0;
}
