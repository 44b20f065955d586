/*
 * Guards claims of non-idempotent requests: an id won twice, also when answers of the platform are
 * lost after the change took effect, requests that are sent without a claim or twice, and calls
 * that outlast their deadline.
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

#define THREADS 8
#define IDS	12
#define OBJECTS PD_LEDGER_BUCKETS

/* The platform's objects `requests/N`, with faults. */
static struct {
	pthread_mutex_t mutex;
	struct MHD_Daemon *daemon;
	struct pd_address address;
	char *values[OBJECTS];
	uint64_t versions[OBJECTS];
	unsigned int seed;
	int lose_percent; /* of the answers to writes, after the change took effect */
	bool silent; /* no call is answered until the end of the test */
	bool down; /* 503 */
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
	lost = (int)(rand_r(&platform.seed) % 100) < platform.lose_percent;
	pthread_mutex_unlock(&platform.mutex);
	/* Closes the connection without an answer. */
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
	while (__atomic_load_n(&platform.silent, __ATOMIC_SEQ_CST))
		pd_os_sleep_us(1000);
	if (platform.down || sscanf(url, "/objects/requests/%u", &n) != 1 || n >= OBJECTS)
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
	__atomic_store_n(&platform.silent, false, __ATOMIC_SEQ_CST);
	pd_ledger_close(ledger);
	MHD_stop_daemon(platform.daemon);
	for (int i = 0; i < OBJECTS; i++)
		free(platform.values[i]);
}

static enum pd_claim claim_for(struct pd_ledger *from, const char *id, int64_t timeout_us,
			       struct pd_buf *result)
{
	return pd_ledger_claim(from, pd_str_from(id), pd_os_now_us() + timeout_us, result, NULL);
}

static enum pd_claim claim(const char *id)
{
	struct pd_buf result = {0};
	enum pd_claim answer = claim_for(ledger, id, 2000000, &result);

	pd_buf_finish(&result);
	return answer;
}

static const char *make_id(int64_t ms, const char *token)
{
	static char id[64];

	snprintf(id, sizeof(id), "%" PRId64 "-%s", ms, token);
	return id;
}

/* Guards the answers to a claim, one by one. */
START_TEST(claims_have_one_answer)
{
	int64_t now = pd_os_unix_ms();
	struct pd_buf result = {0};

	ck_assert_int_eq(claim(make_id(now, "a")), PD_CLAIM_ACQUIRED);
	ck_assert_int_eq(claim(make_id(now, "a")), PD_CLAIM_ALREADY_CLAIMED);
	pd_ledger_complete(ledger, pd_str_from(make_id(now, "a")), PD_STR("booked \"7\""),
			   pd_os_now_us() + 1000000);
	ck_assert_int_eq(claim_for(ledger, make_id(now, "a"), 1000000, &result), PD_CLAIM_DONE);
	ck_assert_str_eq(result.data, "booked \"7\"");
	ck_assert_int_eq(claim(make_id(now, "b")), PD_CLAIM_ACQUIRED);
	ck_assert(pd_ledger_void(ledger, pd_str_from(make_id(now, "b")), pd_os_now_us() + 1000000));
	ck_assert_int_eq(claim(make_id(now, "b")), PD_CLAIM_VOID);
	/* Only what is claimed can become void. */
	ck_assert(
		!pd_ledger_void(ledger, pd_str_from(make_id(now, "a")), pd_os_now_us() + 1000000));
	ck_assert(
		!pd_ledger_void(ledger, pd_str_from(make_id(now, "e")), pd_os_now_us() + 1000000));
	ck_assert_int_eq(claim(make_id(now - PD_LEDGER_RETAIN_MS - 1000, "c")), PD_CLAIM_EXPIRED);
	ck_assert_int_eq(claim(make_id(now + 120000, "d")), PD_CLAIM_MALFORMED);
	ck_assert_int_eq(claim("x-a"), PD_CLAIM_MALFORMED);
	ck_assert_int_eq(claim("123-"), PD_CLAIM_MALFORMED);
	ck_assert_int_eq(claim("123"), PD_CLAIM_MALFORMED);
	pd_buf_finish(&result);
}
END_TEST

struct claimer {
	struct pd_ledger *ledger;
	int64_t base_ms;
	int won[IDS];
	int answered;
};

static void *claim_all(void *arg)
{
	struct claimer *claimer = arg;
	char id[64];

	for (int i = 0; i < IDS; i++) {
		struct pd_buf result = {0};
		enum pd_claim answer;

		snprintf(id, sizeof(id), "%" PRId64 "-id%d", claimer->base_ms, i);
		answer = claim_for(claimer->ledger, id, 30000000, &result);
		claimer->won[i] = answer == PD_CLAIM_ACQUIRED;
		claimer->answered +=
			answer == PD_CLAIM_ACQUIRED || answer == PD_CLAIM_ALREADY_CLAIMED;
		pd_buf_finish(&result);
	}
	return NULL;
}

/*
 * Fails when a write without an answer is taken for a failure or a success, and when the write is
 * unconditional.
 */
START_TEST(each_id_is_won_at_most_once)
{
	struct claimer claimers[THREADS] = {0};
	pthread_t threads[THREADS];
	int won = 0;
	int answered = 0;

	platform.lose_percent = 30;
	platform.seed = (unsigned int)_i + 1;
	for (int i = 0; i < THREADS; i++) {
		claimers[i].base_ms = pd_os_unix_ms() / 100000 * 100000;
		/* Two instances of four threads each. */
		claimers[i].ledger = ledger;
		if (i % 2)
			ck_assert(i > 1 || pd_ledger_open(&claimers[1].ledger, &platform.address,
							  NULL) == PD_OK);
		if (i > 1 && i % 2)
			claimers[i].ledger = claimers[1].ledger;
		ck_assert(pd_os_thread_start(&threads[i], "claimer", claim_all, &claimers[i],
					     NULL) == PD_OK);
	}
	for (int i = 0; i < THREADS; i++) {
		pthread_join(threads[i], NULL);
		answered += claimers[i].answered;
	}
	for (int k = 0; k < IDS; k++) {
		int winners = 0;

		for (int i = 0; i < THREADS; i++)
			winners += claimers[i].won[k];
		ck_assert_msg(winners <= 1, "id %d was won %d times", k, winners);
		won += winners;
	}
	pd_ledger_close(claimers[1].ledger);
	printf("%d of %d ids won, %d of %d claims answered\n", won, IDS, answered, THREADS * IDS);
	/* Also when the answer to the write was lost: the re-read shows the nonce. */
	ck_assert_int_eq(won, IDS);
	/* Two ledgers of 50 claims/s each allow all of them. */
	ck_assert_int_ge(answered, THREADS * IDS * 9 / 10);
}
END_TEST

/* Guards against claims without a platform, and against calls that outlast the deadline. */
START_TEST(platform_outages_refuse_in_time)
{
	int64_t start;
	struct pd_buf result = {0};

	platform.down = true;
	ck_assert_int_eq(claim(make_id(pd_os_unix_ms(), "a")), PD_CLAIM_UNAVAILABLE);
	platform.down = false;
	__atomic_store_n(&platform.silent, true, __ATOMIC_SEQ_CST);
	start = pd_os_now_us();
	ck_assert_int_eq(claim_for(ledger, make_id(pd_os_unix_ms(), "b"), 100000, &result),
			 PD_CLAIM_UNAVAILABLE);
	/* The platform client's own timeout of 1 s would be too long. */
	ck_assert_int_lt(pd_os_now_us() - start, 800000);
	pd_buf_finish(&result);
}
END_TEST

/* Guards the platform against more writes than one process may make. */
START_TEST(claims_of_a_process_are_limited)
{
	int won = 0;

	for (int i = 0; i < 200; i++) {
		char token[16];

		snprintf(token, sizeof(token), "t%d", i);
		won += claim(make_id(pd_os_unix_ms(), token)) == PD_CLAIM_ACQUIRED;
	}
	ck_assert_int_ge(won, 50);
	ck_assert_int_lt(won, 200);
}
END_TEST

static bool stored_as(const char *id, const char *state)
{
	bool found = false;

	pthread_mutex_lock(&platform.mutex);
	for (int i = 0; i < OBJECTS && !found; i++) {
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

/* Fails when a void is called certain that the platform doesn't have, or the other way around. */
START_TEST(a_void_is_certain_or_not)
{
	platform.seed = (unsigned int)_i + 1;
	for (int i = 0; i < IDS; i++) {
		char id[64];
		bool certain;

		snprintf(id, sizeof(id), "%" PRId64 "-v%d", pd_os_unix_ms(), i);
		ck_assert_int_eq(claim(id), PD_CLAIM_ACQUIRED);
		platform.lose_percent = i % 3 ? 50 : 100;
		certain = pd_ledger_void(ledger, pd_str_from(id), pd_os_now_us() + 500000);
		platform.lose_percent = 0;
		/* The re-read after a lost answer shows the state. */
		ck_assert(certain);
		ck_assert(stored_as(id, "void"));
		ck_assert_int_eq(claim(id), PD_CLAIM_VOID);
	}
}
END_TEST

/* -- runs through the coordinator -- */

static struct {
	enum pd_substatus status;
	int sends;
	bool platform_ends; /* the platform is down once a request was sent */
} upstream;

static void fake_send(void *arg, const struct pd_msg_subrequest *request, struct pd_str zone,
		      pd_reply_fn *reply, void *reply_arg, uint64_t *handle)
{
	struct pd_msg_subreply msg = {.status = upstream.status, .body = PD_STR("booked")};

	(void)arg;
	(void)zone;
	ck_assert(!request->idempotent && !request->hedge);
	*handle = 0;
	upstream.sends++;
	platform.down |= upstream.platform_ends;
	reply(reply_arg, &msg);
}

static void fake_cancel(void *arg, uint64_t handle)
{
	(void)arg;
	(void)handle;
}

/* Runs with @rest after the word `id`. */
static enum pd_outcome run_kind(struct pd_coordinator *coordinator, const char *rest)
{
	struct pd_command command;
	struct pd_answer answer;
	enum pd_outcome outcome;
	char line[192];

	snprintf(line, sizeof(line), "run s \"book\" id %s", rest);
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
	char rest[128];

	snprintf(rest, sizeof(rest), "%s kind urgent", id);
	return run_kind(coordinator, rest);
}

static void check_run(struct pd_coordinator *c, enum pd_substatus status, const char *id,
		      enum pd_outcome outcome, int sends)
{
	upstream.status = status;
	upstream.sends = 0;
	ck_assert_int_eq(run(c, id), outcome);
	ck_assert_int_eq(upstream.sends, sends);
}

/** struct instance - what a coordinator needs */
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

/* Guards against a request that runs twice, and against "not run" for one that may have run. */
START_TEST(non_idempotent_requests_run_at_most_once)
{
	struct instance i;
	const char *id = make_id(pd_os_unix_ms(), "order");

	instance_open(&i);
	/* Not run at either upstream, nor ever under this id. */
	check_run(&i.c, PD_SUB_OVERLOADED, id, PD_OUTCOME_REFUSED, 2);
	check_run(&i.c, PD_SUB_OK, id, PD_OUTCOME_REFUSED, 0);
	/* It may have run: never sent again, here or elsewhere. */
	id = make_id(pd_os_unix_ms(), "order1");
	check_run(&i.c, PD_SUB_LOST, id, PD_OUTCOME_UNKNOWN, 1);
	check_run(&i.c, PD_SUB_OK, id, PD_OUTCOME_UNKNOWN, 0);
	/* A second request gets the recorded result. */
	id = make_id(pd_os_unix_ms(), "order2");
	check_run(&i.c, PD_SUB_OK, id, PD_OUTCOME_COMPLETE, 1);
	check_run(&i.c, PD_SUB_OK, id, PD_OUTCOME_COMPLETE, 0);
	/* It ran, though this attempt was not sent. */
	platform.down = true;
	check_run(&i.c, PD_SUB_OK, id, PD_OUTCOME_UNKNOWN, 0);
	check_run(&i.c, PD_SUB_OK, make_id(pd_os_unix_ms(), "order3"), PD_OUTCOME_UNKNOWN, 0);
	/* A refusal that the platform doesn't have. */
	platform.down = false;
	upstream.platform_ends = true;
	check_run(&i.c, PD_SUB_OVERLOADED, make_id(pd_os_unix_ms(), "order4"), PD_OUTCOME_UNKNOWN,
		  2);
	instance_close(&i);
}
END_TEST

/* Fails when a refusal at admission or for lack of claims says "not run" for a live id. */
START_TEST(refused_ids_are_void)
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
		if (run_kind(&i.c, line) == PD_OUTCOME_REFUSED) {
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
	tcase_add_test(tcase, claims_have_one_answer);
	tcase_add_loop_test(tcase, each_id_is_won_at_most_once, 0, 10);
	tcase_add_test(tcase, platform_outages_refuse_in_time);
	tcase_add_test(tcase, claims_of_a_process_are_limited);
	tcase_add_loop_test(tcase, a_void_is_certain_or_not, 0, 3);
	tcase_add_test(tcase, non_idempotent_requests_run_at_most_once);
	tcase_add_test(tcase, refused_ids_are_void);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
