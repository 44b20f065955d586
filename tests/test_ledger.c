/*
 * Tests the ledger of non-idempotent requests, against these failures: two callers acquire the same
 * id, in particular when the platform's answer is lost after a write took effect; a request is sent
 * without a claim or twice; a call returns after its deadline.
 */
#include <check.h>
#include <inttypes.h>
#include <jansson.h>
#include <microhttpd.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ledger.h"
#include "query.h"

#define CLAIMER_THREADS 8
#define ID_COUNT	12
#define OBJECT_COUNT	PD_LEDGER_BUCKETS

/* HTTP server that stores the platform's objects `requests/N`, with injected faults. */
static struct {
	pthread_mutex_t mutex;
	struct MHD_Daemon *daemon;
	struct pd_address address;
	char *values[OBJECT_COUNT];
	uint64_t versions[OBJECT_COUNT];
	unsigned int seed;
	int lost_answer_percent; /* share of writes whose answer is lost after they took effect */
	bool unresponsive; /* no call is answered while set */
	bool down; /* every call is answered with 503 */
} platform;

static enum MHD_Result respond(struct MHD_Connection *connection, unsigned int status,
			       const char *text)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
		strlen(text), (void *)(uintptr_t)text, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result queued = MHD_queue_response(connection, status, response);

	MHD_destroy_response(response);
	return queued;
}

static enum MHD_Result get_object(struct MHD_Connection *connection, unsigned int n)
{
	enum MHD_Result result;
	char *text;

	pthread_mutex_lock(&platform.mutex);
	if (!platform.versions[n]) {
		pthread_mutex_unlock(&platform.mutex);
		return respond(connection, 404, "{}");
	}
	ck_assert(asprintf(&text, "{\"key\":\"requests/%u\",\"version\":%" PRIu64 ",\"value\":%s}",
			   n, platform.versions[n], platform.values[n]) > 0);
	pthread_mutex_unlock(&platform.mutex);
	result = respond(connection, 200, text);
	free(text);
	return result;
}

static enum MHD_Result put_object(struct MHD_Connection *connection, unsigned int n,
				  const struct pd_buf *body)
{
	const char *condition =
		MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, "if_version");
	unsigned int status = 409;
	bool lost;

	pthread_mutex_lock(&platform.mutex);
	if (condition && strtoull(condition, NULL, 10) == platform.versions[n]) {
		free(platform.values[n]);
		platform.values[n] = strndup(body->data, body->len);
		platform.versions[n]++;
		status = 200;
	}
	lost = (int)(rand_r(&platform.seed) % 100) < platform.lost_answer_percent;
	pthread_mutex_unlock(&platform.mutex);
	/* MHD_NO closes the connection without an answer. */
	return lost ? MHD_NO : respond(connection, status, "{\"version\":1}");
}

static enum MHD_Result on_request(void *arg, struct MHD_Connection *connection, const char *url,
				  const char *method, const char *version, const char *data,
				  size_t *size, void **context)
{
	struct pd_buf *body = *context;
	unsigned int n;

	(void)arg;
	(void)version;
	if (!body) {
		*context = calloc(1, sizeof(struct pd_buf));
		return MHD_YES;
	}
	if (*size) {
		pd_buf_append(body, data, *size);
		*size = 0;
		return MHD_YES;
	}
	while (__atomic_load_n(&platform.unresponsive, __ATOMIC_SEQ_CST))
		pd_os_sleep_us(1000);
	if (platform.down || sscanf(url, "/objects/requests/%u", &n) != 1 || n >= OBJECT_COUNT)
		return respond(connection, 503, "{}");
	return strcmp(method, "PUT") != 0 ? get_object(connection, n)
					  : put_object(connection, n, body);
}

static void on_completed(void *arg, struct MHD_Connection *connection, void **context,
			 enum MHD_RequestTerminationCode code)
{
	(void)arg;
	(void)connection;
	(void)code;
	if (*context)
		pd_buf_finish(*context);
	free(*context);
}

static struct pd_ledger *ledger;

static void setup(void)
{
	int fd;

	memset(&platform, 0, sizeof(platform));
	pthread_mutex_init(&platform.mutex, NULL);
	platform.seed = 1;
	strcpy(platform.address.ip, "127.0.0.1");
	ck_assert(pd_os_listen(&platform.address, &fd, NULL) == PD_OK);
	platform.daemon =
		MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD, 0,
				 NULL, NULL, on_request, NULL, MHD_OPTION_LISTEN_SOCKET, fd,
				 MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL, MHD_OPTION_END);
	ck_assert_ptr_nonnull(platform.daemon);
	pd_http_global_init();
	ck_assert(pd_ledger_open(&ledger, &platform.address, NULL) == PD_OK);
}

static void teardown(void)
{
	__atomic_store_n(&platform.unresponsive, false, __ATOMIC_SEQ_CST);
	pd_ledger_close(ledger);
	MHD_stop_daemon(platform.daemon);
	for (int i = 0; i < OBJECT_COUNT; i++)
		free(platform.values[i]);
}

static enum pd_claim claim_with_timeout(struct pd_ledger *from, const char *id, int64_t timeout_us,
					struct pd_buf *result)
{
	return pd_ledger_claim(from, pd_str_from(id), pd_os_now_us() + timeout_us, result, NULL);
}

static enum pd_claim claim(const char *id)
{
	struct pd_buf result = {0};
	enum pd_claim claim_result = claim_with_timeout(ledger, id, 2000000, &result);

	pd_buf_finish(&result);
	return claim_result;
}

static const char *make_id(int64_t ms, const char *token)
{
	static char id[64];

	snprintf(id, sizeof(id), "%" PRId64 "-%s", ms, token);
	return id;
}

/* A claim must return the result of the id's state, and only a claimed id may become void. */
START_TEST(claim_returns_each_documented_result)
{
	int64_t now = pd_os_unix_ms();
	struct pd_buf result = {0};

	ck_assert_int_eq(claim(make_id(now, "a")), PD_CLAIM_ACQUIRED);
	ck_assert_int_eq(claim(make_id(now, "a")), PD_CLAIM_ALREADY_CLAIMED);
	pd_ledger_complete(ledger, pd_str_from(make_id(now, "a")), PD_STR("booked \"7\""),
			   pd_os_now_us() + 1000000);
	ck_assert_int_eq(claim_with_timeout(ledger, make_id(now, "a"), 1000000, &result),
			 PD_CLAIM_DONE);
	ck_assert_str_eq(result.data, "booked \"7\"");
	ck_assert_int_eq(claim(make_id(now, "b")), PD_CLAIM_ACQUIRED);
	ck_assert(pd_ledger_void(ledger, pd_str_from(make_id(now, "b")), pd_os_now_us() + 1000000));
	ck_assert_int_eq(claim(make_id(now, "b")), PD_CLAIM_VOID);
	/* A completed id and one that was never claimed can't become void. */
	ck_assert(
		!pd_ledger_void(ledger, pd_str_from(make_id(now, "a")), pd_os_now_us() + 1000000));
	ck_assert(
		!pd_ledger_void(ledger, pd_str_from(make_id(now, "e")), pd_os_now_us() + 1000000));
	ck_assert_int_eq(claim(make_id(now - PD_LEDGER_ID_MAX_AGE_MS - 1000, "c")),
			 PD_CLAIM_EXPIRED);
	ck_assert_int_eq(claim(make_id(now + 120000, "d")), PD_CLAIM_MALFORMED);
	ck_assert_int_eq(claim("x-a"), PD_CLAIM_MALFORMED);
	ck_assert_int_eq(claim("123-"), PD_CLAIM_MALFORMED);
	ck_assert_int_eq(claim("123"), PD_CLAIM_MALFORMED);
	pd_buf_finish(&result);
}
END_TEST

/**
 * struct claimer - thread that claims all ids
 * @ledger: ledger that it uses
 * @base_ms: Unix time in the ids, in milliseconds
 * @acquired: for each id, 1 if this thread acquired it, otherwise 0
 * @answered_claims: number of claims that returned whether the id was acquired
 */
struct claimer {
	struct pd_ledger *ledger;
	int64_t base_ms;
	int acquired[ID_COUNT];
	int answered_claims;
};

static void *claim_all(void *arg)
{
	struct claimer *claimer = arg;
	char id[64];

	for (int i = 0; i < ID_COUNT; i++) {
		struct pd_buf result = {0};
		enum pd_claim claim_result;

		snprintf(id, sizeof(id), "%" PRId64 "-id%d", claimer->base_ms, i);
		claim_result = claim_with_timeout(claimer->ledger, id, 30000000, &result);
		claimer->acquired[i] = claim_result == PD_CLAIM_ACQUIRED;
		claimer->answered_claims += claim_result == PD_CLAIM_ACQUIRED ||
					    claim_result == PD_CLAIM_ALREADY_CLAIMED;
		pd_buf_finish(&result);
	}
	return NULL;
}

/*
 * Several threads and two ledgers claim the same ids while answers to writes are lost. Fails if an
 * unanswered write counts as failed or as successful, or if the write is unconditional.
 */
START_TEST(each_id_is_acquired_at_most_once)
{
	struct claimer claimers[CLAIMER_THREADS] = {0};
	pthread_t threads[CLAIMER_THREADS];
	int acquired = 0;
	int answered_claims = 0;

	platform.lost_answer_percent = 30;
	platform.seed = (unsigned int)_i + 1;
	for (int i = 0; i < CLAIMER_THREADS; i++) {
		claimers[i].base_ms = pd_os_unix_ms() / 100000 * 100000;
		/* Two ledgers with half of the threads each. */
		claimers[i].ledger = ledger;
		if (i % 2)
			ck_assert(i > 1 || pd_ledger_open(&claimers[1].ledger, &platform.address,
							  NULL) == PD_OK);
		if (i > 1 && i % 2)
			claimers[i].ledger = claimers[1].ledger;
		ck_assert(pd_os_thread_start(&threads[i], "claimer", claim_all, &claimers[i],
					     NULL) == PD_OK);
	}
	for (int i = 0; i < CLAIMER_THREADS; i++) {
		pthread_join(threads[i], NULL);
		answered_claims += claimers[i].answered_claims;
	}
	for (int k = 0; k < ID_COUNT; k++) {
		int acquired_count = 0;

		for (int i = 0; i < CLAIMER_THREADS; i++)
			acquired_count += claimers[i].acquired[k];
		ck_assert_msg(acquired_count <= 1, "id %d was acquired %d times", k,
			      acquired_count);
		acquired += acquired_count;
	}
	pd_ledger_close(claimers[1].ledger);
	printf("%d of %d ids acquired, %d of %d claims answered\n", acquired, ID_COUNT,
	       answered_claims, CLAIMER_THREADS * ID_COUNT);
	/* Even if the answer to the write was lost: a re-read finds the nonce. */
	ck_assert_int_eq(acquired, ID_COUNT);
	/* The rate limit of each ledger, 50 claims/s, allows all of its claims. */
	ck_assert_int_ge(answered_claims, CLAIMER_THREADS * ID_COUNT * 9 / 10);
}
END_TEST

/*
 * Without an answer from the platform, no claim may be acquired, and the call must return by its
 * deadline even though the platform client's own timeout is longer.
 */
START_TEST(platform_outage_ends_claims_by_their_deadline)
{
	int64_t start;
	struct pd_buf result = {0};

	platform.down = true;
	ck_assert_int_eq(claim(make_id(pd_os_unix_ms(), "a")), PD_CLAIM_UNAVAILABLE);
	platform.down = false;
	__atomic_store_n(&platform.unresponsive, true, __ATOMIC_SEQ_CST);
	start = pd_os_now_us();
	ck_assert_int_eq(claim_with_timeout(ledger, make_id(pd_os_unix_ms(), "b"), 100000, &result),
			 PD_CLAIM_UNAVAILABLE);
	/* The platform client's own timeout is 1 s. */
	ck_assert_int_lt(pd_os_now_us() - start, 800000);
	pd_buf_finish(&result);
}
END_TEST

/* One process must not exceed its rate of claims, since each one writes to the platform. */
START_TEST(claim_rate_of_a_process_is_limited)
{
	int acquired = 0;

	for (int i = 0; i < 200; i++) {
		char token[16];

		snprintf(token, sizeof(token), "t%d", i);
		acquired += claim(make_id(pd_os_unix_ms(), token)) == PD_CLAIM_ACQUIRED;
	}
	ck_assert_int_ge(acquired, 50);
	ck_assert_int_lt(acquired, 200);
}
END_TEST

static bool stored_as(const char *id, const char *state)
{
	bool found = false;

	pthread_mutex_lock(&platform.mutex);
	for (int i = 0; i < OBJECT_COUNT && !found; i++) {
		json_t *json = platform.values[i] ? json_loads(platform.values[i], 0, NULL) : NULL;
		json_t *item;
		size_t k;

		json_array_foreach(json_object_get(json, "claims"), k, item)
		{
			found |= !strcmp(json_string_value(json_object_get(item, "id")), id) &&
				 !strcmp(json_string_value(json_object_get(item, "state")), state);
		}
		json_decref(json);
	}
	pthread_mutex_unlock(&platform.mutex);
	return found;
}

/*
 * pd_ledger_void() must return true only if the platform stores the id as void. When the answer to
 * the write is lost, a re-read must show that it took effect.
 */
START_TEST(void_is_certain_only_if_stored)
{
	platform.seed = (unsigned int)_i + 1;
	for (int i = 0; i < ID_COUNT; i++) {
		char id[64];
		bool certain;

		snprintf(id, sizeof(id), "%" PRId64 "-v%d", pd_os_unix_ms(), i);
		ck_assert_int_eq(claim(id), PD_CLAIM_ACQUIRED);
		platform.lost_answer_percent = i % 3 ? 50 : 100;
		certain = pd_ledger_void(ledger, pd_str_from(id), pd_os_now_us() + 500000);
		platform.lost_answer_percent = 0;
		ck_assert(certain);
		ck_assert(stored_as(id, "void"));
		ck_assert_int_eq(claim(id), PD_CLAIM_VOID);
	}
}
END_TEST

/* -- requests run by the coordinator -- */

static struct {
	enum pd_substatus status;
	int sent_requests;
	bool platform_goes_down; /* the platform goes down when a request is sent */
} upstream;

static void fake_send(void *arg, const struct pd_msg_subrequest *request, struct pd_str zone,
		      pd_reply_fn *reply, void *reply_arg, uint64_t *handle)
{
	struct pd_msg_subreply msg = {.status = upstream.status, .body = PD_STR("booked")};

	(void)arg;
	(void)zone;
	ck_assert(!request->idempotent && !request->hedge);
	*handle = 0;
	upstream.sent_requests++;
	platform.down |= upstream.platform_goes_down;
	reply(reply_arg, &msg);
}

static void fake_cancel(void *arg, uint64_t handle)
{
	(void)arg;
	(void)handle;
}

/* Runs a `run` command with @arguments, which begin with the value of `id`. */
static enum pd_outcome run_with_arguments(struct pd_coordinator *coordinator, const char *arguments)
{
	struct pd_command command;
	struct pd_answer answer;
	enum pd_outcome outcome;
	char line[192];

	snprintf(line, sizeof(line), "run s \"book\" id %s", arguments);
	ck_assert(pd_command_parse(&command, pd_str_from(line), NULL) == PD_OK);
	pd_answer_init(&answer);
	ck_assert(pd_coordinator_run(coordinator, &command, PD_STR(""), 2000000, &answer, NULL) ==
		  PD_OK);
	outcome = answer.outcome;
	if (outcome == PD_OUTCOME_COMPLETE)
		ck_assert_str_eq(answer.hits.data, "booked");
	pd_answer_finish(&answer);
	pd_command_finish(&command);
	return outcome;
}

static enum pd_outcome run(struct pd_coordinator *coordinator, const char *id)
{
	char arguments[128];

	snprintf(arguments, sizeof(arguments), "%s kind urgent", id);
	return run_with_arguments(coordinator, arguments);
}

static void check_run(struct pd_coordinator *c, enum pd_substatus status, const char *id,
		      enum pd_outcome outcome, int sent_requests)
{
	upstream.status = status;
	upstream.sent_requests = 0;
	ck_assert_int_eq(run(c, id), outcome);
	ck_assert_int_eq(upstream.sent_requests, sent_requests);
}

/** struct instance - a coordinator with its configuration */
struct instance {
	struct pd_config_holder holder;
	struct pd_coordinator c;
};

static void instance_open(struct instance *i)
{
	struct pd_config *config;

	*i = (struct instance){
		.c = {.config = &i->holder,
		      .ledger = ledger,
		      .sender = {.type = PD_SENDER_FAKE,
				 .fake = {.send = fake_send, .cancel = fake_cancel}}},
	};
	ck_assert(pd_config_from_text(
			  PD_STR("create zone a\ncreate collection c buckets 10\n"
				 "create service s in c\n"
				 "create kind urgent urgency urgent deadline 1000ms\n"
				 "create kind normal urgency normal deadline 1000ms\n"
				 "create upstream u1 service s zone a address 127.0.0.1:1 slots 1 "
				 "connections 9 connect 1ms\n"
				 "create upstream u2 service s zone a address 127.0.0.1:2 slots 1 "
				 "connections 9 connect 1ms\n"),
			  9, &config, NULL) == PD_OK);
	ck_assert(pd_config_holder_init(&i->holder, NULL) == PD_OK);
	pd_config_holder_advance(&i->holder, config);
	pd_name_set(&i->c.instance, PD_STR("entry-1"));
	ck_assert(pd_router_open(&i->c.router, PD_STR("a"), 1, NULL) == PD_OK);
}

static void instance_close(struct instance *i)
{
	pd_router_close(i->c.router);
	pd_config_holder_finish(&i->holder);
}

/*
 * A request must not run twice, and must not be reported as refused (not run) if it may have run.
 */
START_TEST(non_idempotent_requests_run_at_most_once)
{
	struct instance i;
	const char *id = make_id(pd_os_unix_ms(), "order");

	instance_open(&i);
	/* Both upstreams refuse it: not run, and it must not run under this id later. */
	check_run(&i.c, PD_SUB_OVERLOADED, id, PD_OUTCOME_REFUSED, 2);
	check_run(&i.c, PD_SUB_OK, id, PD_OUTCOME_REFUSED, 0);
	/* The reply is lost, so it may have run: it must not be sent again. */
	id = make_id(pd_os_unix_ms(), "order1");
	check_run(&i.c, PD_SUB_LOST, id, PD_OUTCOME_UNKNOWN, 1);
	check_run(&i.c, PD_SUB_OK, id, PD_OUTCOME_UNKNOWN, 0);
	/* A second request with the id returns the recorded result. */
	id = make_id(pd_os_unix_ms(), "order2");
	check_run(&i.c, PD_SUB_OK, id, PD_OUTCOME_COMPLETE, 1);
	check_run(&i.c, PD_SUB_OK, id, PD_OUTCOME_COMPLETE, 0);
	/* With the platform down nothing is sent, but an earlier attempt may have run. */
	platform.down = true;
	check_run(&i.c, PD_SUB_OK, id, PD_OUTCOME_UNKNOWN, 0);
	check_run(&i.c, PD_SUB_OK, make_id(pd_os_unix_ms(), "order3"), PD_OUTCOME_UNKNOWN, 0);
	/* Both upstreams refuse it, but the id can't be stored as void. */
	platform.down = false;
	upstream.platform_goes_down = true;
	check_run(&i.c, PD_SUB_OVERLOADED, make_id(pd_os_unix_ms(), "order4"), PD_OUTCOME_UNKNOWN,
		  2);
	instance_close(&i);
}
END_TEST

/*
 * A request that is refused at admission or by the claim rate limit must be reported as refused
 * only if its id is stored as void, because another attempt may still run otherwise.
 */
START_TEST(requests_reported_as_refused_have_void_ids)
{
	struct instance i;
	int refused = 0;
	int unknown = 0;

	instance_open(&i);
	upstream.status = PD_SUB_OVERLOADED;
	for (int n = 0; n < 120; n++) {
		char line[128];
		char id[64];

		snprintf(id, sizeof(id), "%" PRId64 "-n%d", pd_os_unix_ms(), n);
		snprintf(line, sizeof(line), "%s kind %s", id, n % 2 ? "normal" : "urgent");
		if (run_with_arguments(&i.c, line) == PD_OUTCOME_REFUSED) {
			ck_assert(stored_as(id, "void"));
			refused++;
		} else {
			ck_assert(!stored_as(id, "void"));
			unknown++;
		}
	}
	printf("%d refused, %d unknown\n", refused, unknown);
	ck_assert_int_gt(refused, 0);
	ck_assert_int_gt(unknown, 0);
	instance_close(&i);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("ledger");
	TCase *tcase = tcase_create("ledger");
	SRunner *runner = srunner_create(suite);
	int failed;

	setvbuf(stdout, NULL, _IOLBF, 0);
	tcase_set_timeout(tcase, 60);
	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, claim_returns_each_documented_result);
	tcase_add_loop_test(tcase, each_id_is_acquired_at_most_once, 0, 10);
	tcase_add_test(tcase, platform_outage_ends_claims_by_their_deadline);
	tcase_add_test(tcase, claim_rate_of_a_process_is_limited);
	tcase_add_loop_test(tcase, void_is_certain_only_if_stored, 0, 3);
	tcase_add_test(tcase, non_idempotent_requests_run_at_most_once);
	tcase_add_test(tcase, requests_reported_as_refused_have_void_ids);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
