#include "ledger.h"

#include <inttypes.h>
#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CLIENTS		  8 /* connections to the platform; each concurrent call needs one */
#define CLAIMS_PER_SECOND 50.0 /* rate limit of a process */
#define CLAIMS_BURST	  50.0 /* claims that the rate limit allows at once */
#define ID_FUTURE_MAX_MS  (60 * 1000) /* an id whose time is further ahead is malformed */
/* Claims are kept this much longer than their ids are accepted, because clocks differ. */
#define CLOCK_SKEW_MAX_MS (60 * 1000)
/* A result is recorded only if the object with its claim stays smaller than this. */
#define OBJECT_WITH_RESULT_MAX_BYTES (PD_PLATFORM_VALUE_MAX_BYTES / 2)
#define DEADLINE_POLL_US	     (5 * PD_USEC_PER_MSEC) /* between two checks of the calls' deadlines */
#define BACKOFF_MIN_US		     (1 * PD_USEC_PER_MSEC)
#define BACKOFF_MAX_US		     (50 * PD_USEC_PER_MSEC)
#define NONCE_BYTES		     40

#define STATE_CLAIMED "claimed"
#define STATE_DONE    "done"
#define STATE_VOID    "void"

/**
 * struct client - one connection to the platform
 * @open: @platform is open
 * @busy: a call is using the connection
 * @deadline_us: while @busy, monotonic time at which the call is cancelled, in microseconds
 */
struct client {
	struct pd_platform platform;
	bool open;
	bool busy;
	int64_t deadline_us;
};

/**
 * struct pd_ledger - connections and rate limit for this process's claims
 * @address: address of the platform
 * @mutex: guards the members below and the @open, @busy and @deadline_us of each client
 * @client_freed: signalled when a client is released and when the ledger closes
 * @deadline_added: wakes @deadline_thread when a client is acquired and when the ledger closes
 * @deadline_thread: thread that runs cancel_overdue_calls()
 * @clients: connections to the platform, opened at their first use
 * @closing: pd_ledger_close() was called
 * @tokens: claims that the rate limit allows now (token bucket)
 * @tokens_at_us: monotonic time at which @tokens was last updated, in microseconds
 * @nonce_prefix: random number that makes the nonces of this process unique
 * @nonce_count: number of nonces generated
 */
struct pd_ledger {
	struct pd_address address;
	pthread_mutex_t mutex;
	pthread_cond_t client_freed;
	pthread_cond_t deadline_added;
	pthread_t deadline_thread;
	struct client clients[CLIENTS];
	bool closing;
	double tokens;
	int64_t tokens_at_us;
	uint64_t nonce_prefix;
	uint64_t nonce_count;
};

/* -- connections -- */

/*
 * Cancels calls to the platform at their deadlines, since the platform client's own timeout may end
 * after the deadline of the request.
 */
static void *cancel_overdue_calls(void *arg)
{
	struct pd_ledger *ledger = arg;

	pthread_mutex_lock(&ledger->mutex);
	while (!ledger->closing) {
		int64_t now = pd_os_now_us();
		bool busy = false;

		for (int i = 0; i < CLIENTS; i++) {
			struct client *client = &ledger->clients[i];

			busy |= client->busy;
			if (client->busy && now >= client->deadline_us)
				pd_http_client_cancel(client->platform.http);
		}
		if (busy)
			pd_os_cond_wait_until(&ledger->deadline_added, &ledger->mutex,
					      now + DEADLINE_POLL_US);
		else
			pthread_cond_wait(&ledger->deadline_added, &ledger->mutex);
	}
	pthread_mutex_unlock(&ledger->mutex);
	return NULL;
}

enum pd_code pd_ledger_open(struct pd_ledger **ledger, const struct pd_address *platform,
			    struct pd_error *err)
{
	struct pd_ledger *l = calloc(1, sizeof(*l));
	enum pd_code code;

	*ledger = NULL;
	if (!l)
		return pd_error_set(err, PD_LAYER_COORDINATION, PD_NO_MEMORY,
				    "out of memory for the request ledger");
	l->address = *platform;
	l->nonce_prefix = pd_os_random_seed();
	l->tokens = CLAIMS_BURST;
	l->tokens_at_us = pd_os_now_us();
	pthread_mutex_init(&l->mutex, NULL);
	pd_os_cond_init(&l->client_freed);
	pd_os_cond_init(&l->deadline_added);
	code = pd_os_thread_start(&l->deadline_thread, "ledger-watch", cancel_overdue_calls, l,
				  err);
	if (code != PD_OK) {
		free(l);
		return code;
	}
	*ledger = l;
	return PD_OK;
}

void pd_ledger_close(struct pd_ledger *ledger)
{
	if (!ledger)
		return;
	pthread_mutex_lock(&ledger->mutex);
	ledger->closing = true;
	pthread_cond_broadcast(&ledger->client_freed);
	pthread_cond_broadcast(&ledger->deadline_added);
	pthread_mutex_unlock(&ledger->mutex);
	pthread_join(ledger->deadline_thread, NULL);
	for (int i = 0; i < CLIENTS; i++) {
		if (ledger->clients[i].open)
			pd_platform_close(&ledger->clients[i].platform);
	}
	pthread_cond_destroy(&ledger->deadline_added);
	pthread_cond_destroy(&ledger->client_freed);
	pthread_mutex_destroy(&ledger->mutex);
	free(ledger);
}

static struct client *find_free_client(struct pd_ledger *ledger)
{
	for (int i = 0; i < CLIENTS; i++) {
		struct client *client = &ledger->clients[i];

		if (client->busy)
			continue;
		if (!client->open && pd_platform_open(&client->platform, &ledger->address, NULL))
			return NULL;
		client->open = true;
		return client;
	}
	return NULL;
}

/*
 * Reserves a client until release_client(); NULL when none becomes free by @deadline_us. The call
 * that it is used for is cancelled at @deadline_us.
 */
static struct client *acquire_client(struct pd_ledger *ledger, int64_t deadline_us)
{
	struct client *client;

	pthread_mutex_lock(&ledger->mutex);
	client = find_free_client(ledger);
	while (!client && !ledger->closing && pd_os_now_us() < deadline_us) {
		pd_os_cond_wait_until(&ledger->client_freed, &ledger->mutex, deadline_us);
		client = find_free_client(ledger);
	}
	if (client) {
		client->busy = true;
		client->deadline_us = deadline_us;
		pthread_cond_signal(&ledger->deadline_added);
	}
	pthread_mutex_unlock(&ledger->mutex);
	return client;
}

static void release_client(struct pd_ledger *ledger, struct client *client)
{
	pthread_mutex_lock(&ledger->mutex);
	client->busy = false;
	pthread_cond_signal(&ledger->client_freed);
	pthread_mutex_unlock(&ledger->mutex);
}

/* Applies the rate limit and generates a nonce; false when the limit is exceeded. */
static bool take_rate_limit_token(struct pd_ledger *ledger, char nonce[NONCE_BYTES])
{
	int64_t now = pd_os_now_us();
	bool taken;

	pthread_mutex_lock(&ledger->mutex);
	ledger->tokens +=
		CLAIMS_PER_SECOND * (double)(now - ledger->tokens_at_us) / (double)PD_USEC_PER_SEC;
	ledger->tokens = fmin(ledger->tokens, CLAIMS_BURST);
	ledger->tokens_at_us = now;
	taken = ledger->tokens >= 1;
	ledger->tokens -= taken ? 1 : 0;
	snprintf(nonce, NONCE_BYTES, "%016" PRIx64 "-%" PRIx64, ledger->nonce_prefix,
		 ++ledger->nonce_count);
	pthread_mutex_unlock(&ledger->mutex);
	return taken;
}

/* -- ids -- */

/* Reads the Unix time in milliseconds from an id `UNIXMS-TOKEN`; false when it is malformed. */
static bool parse_id_time(struct pd_str id, int64_t *ms)
{
	const char *dash = id.len ? memchr(id.data, '-', id.len) : NULL;
	struct pd_name name;
	uint64_t value;

	if (!dash || !pd_name_set(&name, id))
		return false;
	struct pd_str digits = {id.data, (size_t)(dash - id.data)};

	if (digits.len + 1 >= id.len || !pd_str_to_u64(digits, &value) || value > INT64_MAX / 2)
		return false;
	*ms = (int64_t)value;
	return true;
}

static void bucket_key(struct pd_str id, char *key, size_t size)
{
	snprintf(key, size, "requests/%u", (unsigned int)(pd_str_hash(id, 0) % PD_LEDGER_BUCKETS));
}

/* -- the stored object -- */

/**
 * struct claim_bucket - contents of one object `requests/BUCKET`
 * @version: object version that a write requires; 0 when the object doesn't exist
 * @claims: JSON array; holds one reference
 */
struct claim_bucket {
	uint64_t version;
	json_t *claims;
};

static void bucket_finish(struct claim_bucket *bucket)
{
	json_decref(bucket->claims);
	bucket->claims = NULL;
}

static enum pd_code bucket_read(struct claim_bucket *bucket, struct client *client, const char *key,
				struct pd_error *err)
{
	struct pd_object object;
	enum pd_code code = pd_platform_get(&client->platform, key, &object, err);
	json_t *json;

	memset(bucket, 0, sizeof(*bucket));
	if (code == PD_NOT_FOUND) {
		bucket->claims = json_array();
		return bucket->claims ? PD_OK : PD_NO_MEMORY;
	}
	if (code != PD_OK)
		return code;
	json = json_loadb(object.value.data, object.value.len, 0, NULL);
	bucket->version = object.version;
	bucket->claims = json_incref(json_object_get(json, "claims"));
	json_decref(json);
	pd_object_finish(&object);
	if (json_is_array(bucket->claims))
		return PD_OK;
	bucket_finish(bucket);
	return pd_error_set(err, PD_LAYER_COORDINATION, PD_INVALID, "object %s is malformed", key);
}

/* Returns the index of the claim of @id, or the number of claims when there is none. */
static size_t bucket_find(const struct claim_bucket *bucket, struct pd_str id)
{
	size_t i;
	json_t *claim;

	json_array_foreach(bucket->claims, i, claim)
	{
		json_t *claim_id = json_object_get(claim, "id");

		if (json_is_string(claim_id) &&
		    pd_str_equal((struct pd_str){json_string_value(claim_id),
						 json_string_length(claim_id)},
				 id))
			return i;
	}
	return json_array_size(bucket->claims);
}

/* Removes claims of ids that every process rejects as expired, and those with a malformed id. */
static void bucket_remove_expired(struct claim_bucket *bucket, int64_t now_ms)
{
	for (size_t i = json_array_size(bucket->claims); i-- > 0;) {
		json_t *claim = json_array_get(bucket->claims, i);
		int64_t ms;

		if (!parse_id_time(pd_str_from(json_string_value(json_object_get(claim, "id"))),
				   &ms) ||
		    ms + PD_LEDGER_ID_MAX_AGE_MS + CLOCK_SKEW_MAX_MS < now_ms)
			json_array_remove(bucket->claims, i);
	}
}

static char *bucket_to_text(const struct claim_bucket *bucket)
{
	json_t *json = json_pack("{s:O}", "claims", bucket->claims);
	char *text = json ? json_dumps(json, JSON_COMPACT) : NULL;

	json_decref(json);
	return text;
}

static enum pd_code bucket_write(const struct claim_bucket *bucket, struct client *client,
				 const char *key, struct pd_error *err)
{
	char *text = bucket_to_text(bucket);
	uint64_t version;
	enum pd_code code;

	if (!text)
		return pd_error_set(err, PD_LAYER_COORDINATION, PD_NO_MEMORY,
				    "out of memory for the claims");
	if (strlen(text) > PD_PLATFORM_VALUE_MAX_BYTES)
		code = pd_error_set(err, PD_LAYER_COORDINATION, PD_TOO_LARGE,
				    "claims exceed the size limit of object %s", key);
	else
		code = pd_platform_put(&client->platform, key, pd_str_from(text), bucket->version,
				       &version, err);
	free(text);
	return code;
}

/* -- claims -- */

/**
 * struct claim_call - state of a pd_ledger_claim() call
 * @client: connection to the platform, reserved for the call
 * @id: request id to claim
 * @id_ms: Unix time from the id, in milliseconds
 * @deadline_us: monotonic time by which the call returns, in microseconds
 * @nonce: identifies the claim of this call in the object
 * @key: key of the object that holds the claim
 * @uncertain: a write of this call may have taken effect, but its answer was lost
 * @wait_us: delay before the next attempt, in microseconds
 * @result: the result of a request that ran before is appended here
 * @err: details of a failure
 */
struct claim_call {
	struct client *client;
	struct pd_str id;
	int64_t id_ms;
	int64_t deadline_us;
	const char *nonce;
	char key[32];
	bool uncertain;
	int64_t wait_us;
	struct pd_buf *result;
	struct pd_error *err;
};

/* Evaluates a stored claim with the same id, which an earlier write of this call may have added. */
static enum pd_claim evaluate_existing_claim(struct claim_call *c, json_t *claim)
{
	const char *nonce = json_string_value(json_object_get(claim, "nonce"));
	const char *state = json_string_value(json_object_get(claim, "state"));
	json_t *result = json_object_get(claim, "result");

	if (nonce && !strcmp(nonce, c->nonce))
		return PD_CLAIM_ACQUIRED;
	if (state && !strcmp(state, STATE_VOID))
		return PD_CLAIM_VOID;
	if (!state || strcmp(state, STATE_DONE) != 0 || !json_is_string(result))
		return PD_CLAIM_ALREADY_CLAIMED;
	pd_buf_append(c->result, json_string_value(result), json_string_length(result));
	return PD_CLAIM_DONE;
}

/* Result of a call that has found no claim of its own: uncertain if a write had no answer. */
static enum pd_claim unsuccessful_claim(const struct claim_call *c)
{
	return c->uncertain ? PD_CLAIM_UNCERTAIN : PD_CLAIM_UNAVAILABLE;
}

static bool add_claim(struct claim_call *c, struct claim_bucket *bucket)
{
	json_t *claim =
		json_pack("{s:s%,s:s,s:I,s:s}", "id", c->id.data, c->id.len, "nonce", c->nonce,
			  "at_ms", (json_int_t)pd_os_unix_ms(), "state", STATE_CLAIMED);

	return claim && json_array_append_new(bucket->claims, claim) == 0;
}

/* Writes the claim. Returns true when the call ends with the result in @claim, false to retry. */
static bool write_claim(struct claim_call *c, struct claim_bucket *bucket, enum pd_claim *claim)
{
	enum pd_code code;

	bucket_remove_expired(bucket, pd_os_unix_ms());
	code = add_claim(c, bucket) ? bucket_write(bucket, c->client, c->key, c->err)
				    : PD_NO_MEMORY;
	switch (code) {
	case PD_OK:
		*claim = PD_CLAIM_ACQUIRED;
		return true;
	case PD_CONFLICT:
		return false;
	case PD_UNKNOWN_OUTCOME:
	case PD_CANCELLED:
	case PD_TIMEOUT:
	case PD_CLOSED:
		c->uncertain = true;
		return false;
	default:
		*claim = unsuccessful_claim(c);
		/* Only a re-read shows whether an earlier unanswered write took effect. */
		return !c->uncertain;
	}
}

/*
 * Reads the object and, if the id isn't claimed, writes the claim. Returns true when the call ends
 * with the result in @claim, false to retry.
 */
static bool try_claim(struct claim_call *c, enum pd_claim *claim)
{
	struct claim_bucket bucket;
	enum pd_code code = bucket_read(&bucket, c->client, c->key, c->err);
	bool decided;
	size_t i;

	*claim = unsuccessful_claim(c);
	if (code != PD_OK)
		return !c->uncertain;
	i = bucket_find(&bucket, c->id);
	if (i < json_array_size(bucket.claims)) {
		*claim = evaluate_existing_claim(c, json_array_get(bucket.claims, i));
		decided = true;
	} else if (c->id_ms + PD_LEDGER_ID_MAX_AGE_MS < pd_os_unix_ms()) {
		*claim = c->uncertain ? PD_CLAIM_UNCERTAIN : PD_CLAIM_EXPIRED;
		decided = true;
	} else {
		decided = write_claim(c, &bucket, claim);
	}
	bucket_finish(&bucket);
	return decided;
}

static void pause_before_retry(struct claim_call *c)
{
	int64_t left = c->deadline_us - pd_os_now_us();

	pd_os_sleep_us(c->wait_us < left ? c->wait_us : left);
	c->wait_us = c->wait_us * 2 < BACKOFF_MAX_US ? c->wait_us * 2 : BACKOFF_MAX_US;
}

static enum pd_claim claim_with_retries(struct claim_call *c)
{
	enum pd_claim claim = PD_CLAIM_UNAVAILABLE;

	while (pd_os_now_us() < c->deadline_us) {
		if (try_claim(c, &claim))
			return claim;
		pause_before_retry(c);
	}
	return unsuccessful_claim(c);
}

enum pd_claim pd_ledger_claim(struct pd_ledger *ledger, struct pd_str id, int64_t deadline_us,
			      struct pd_buf *result, struct pd_error *err)
{
	char nonce[NONCE_BYTES];
	struct claim_call c = {
		.id = id,
		.deadline_us = deadline_us,
		.nonce = nonce,
		.wait_us = BACKOFF_MIN_US,
		.result = result,
		.err = err,
	};
	enum pd_claim claim;

	if (!parse_id_time(id, &c.id_ms) || c.id_ms > pd_os_unix_ms() + ID_FUTURE_MAX_MS)
		return PD_CLAIM_MALFORMED;
	if (c.id_ms + PD_LEDGER_ID_MAX_AGE_MS < pd_os_unix_ms())
		return PD_CLAIM_EXPIRED;
	if (!take_rate_limit_token(ledger, nonce))
		return PD_CLAIM_UNAVAILABLE;
	c.client = acquire_client(ledger, deadline_us);
	if (!c.client)
		return PD_CLAIM_UNAVAILABLE;
	bucket_key(id, c.key, sizeof(c.key));
	claim = claim_with_retries(&c);
	release_client(ledger, c.client);
	return claim;
}

/* -- completing or voiding a claim -- */

static bool is_state(json_t *claim, const char *state)
{
	const char *state_name = json_string_value(json_object_get(claim, "state"));

	return state_name && !strcmp(state_name, state);
}

/* Adds the result to @claim if the object stays smaller than OBJECT_WITH_RESULT_MAX_BYTES. */
static void add_result(struct claim_bucket *bucket, json_t *claim, struct pd_str result)
{
	char *text = bucket_to_text(bucket);

	if (text && strlen(text) + 2 * result.len < OBJECT_WITH_RESULT_MAX_BYTES)
		json_object_set_new(claim, "result", json_stringn(result.data, result.len));
	free(text);
}

/*
 * Sets the state of a claim in state "claimed" to @state, with one read and one write. Returns
 * PD_OK when the outcome is certain; @stored is then true when the stored claim has that state.
 */
static enum pd_code end_claim_once(struct client *client, const char *key, struct pd_str id,
				   const char *state, struct pd_str result, bool *stored)
{
	struct claim_bucket bucket;
	enum pd_code code = bucket_read(&bucket, client, key, NULL);
	json_t *claim;

	*stored = false;
	if (code != PD_OK)
		return code;
	claim = json_array_get(bucket.claims, bucket_find(&bucket, id));
	if (is_state(claim, STATE_CLAIMED)) {
		if (result.data)
			add_result(&bucket, claim, result);
		code = json_object_set_new(claim, "state", json_string(state))
			       ? PD_NO_MEMORY
			       : bucket_write(&bucket, client, key, NULL);
	}
	*stored = code == PD_OK && is_state(claim, state);
	bucket_finish(&bucket);
	return code;
}

/* Retries end_claim_once() until @deadline_us. True when the claim certainly has @state. */
static bool end_claim(struct pd_ledger *ledger, struct pd_str id, const char *state,
		      struct pd_str result, int64_t deadline_us)
{
	struct client *client = acquire_client(ledger, deadline_us);
	struct claim_call c = {.deadline_us = deadline_us, .wait_us = BACKOFF_MIN_US};
	bool stored = false;

	if (!client)
		return false;
	bucket_key(id, c.key, sizeof(c.key));
	/* When the answer to a write is lost, the next read shows whether it took effect. */
	while (pd_os_now_us() < deadline_us &&
	       end_claim_once(client, c.key, id, state, result, &stored) != PD_OK)
		pause_before_retry(&c);
	release_client(ledger, client);
	return stored;
}

void pd_ledger_complete(struct pd_ledger *ledger, struct pd_str id, struct pd_str result,
			int64_t deadline_us)
{
	if (!result.data)
		result = PD_STR("");
	end_claim(ledger, id, STATE_DONE, result, deadline_us);
}

bool pd_ledger_void(struct pd_ledger *ledger, struct pd_str id, int64_t deadline_us)
{
	return end_claim(ledger, id, STATE_VOID, (struct pd_str){NULL, 0}, deadline_us);
}
