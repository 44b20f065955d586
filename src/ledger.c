#include "ledger.h"

#include <inttypes.h>
#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CLIENTS		  8 /* claims of different threads don't wait for one connection */
#define CLAIMS_PER_SECOND 50.0
#define CLAIMS_BURST	  50.0
#define FUTURE_MAX_MS	  (60 * 1000)
/* Records outlive the ids that are accepted by this much, for clocks that differ. */
#define SKEW_MS (60 * 1000)
/* of an object; then results are left out */
#define RESULTS_MAX  (PD_PLATFORM_VALUE_MAX_BYTES / 2)
#define WATCH_US     (5 * PD_USEC_PER_MSEC)
#define RETRY_MIN_US (1 * PD_USEC_PER_MSEC)
#define RETRY_MAX_US (50 * PD_USEC_PER_MSEC)
#define NONCE_BYTES  40

#define STATE_CLAIMED "claimed"
#define STATE_DONE    "done"
#define STATE_VOID    "void"

/**
 * struct client - one connection to the platform
 * @deadline_us: while @busy, when the running call is cancelled
 */
struct client {
	struct pd_platform platform;
	bool open;
	bool busy;
	int64_t deadline_us;
};

/**
 * struct pd_ledger - claims of this process
 * @mutex: guards all below, and each client's flags
 * @freed: signalled when a client is free, and at the end
 * @watch: signalled when a client is taken, and at the end
 */
struct pd_ledger {
	struct pd_address address;
	pthread_mutex_t mutex;
	pthread_cond_t freed;
	pthread_cond_t watch;
	pthread_t watcher;
	struct client clients[CLIENTS];
	bool ended;
	double tokens;
	int64_t tokens_at_us;
	uint64_t seed;
	uint64_t nonces;
};

/* -- connections -- */

/* The platform client's own timeout is longer than a request's deadline may be. */
static void *watch_deadlines(void *arg)
{
	struct pd_ledger *ledger = arg;

	pthread_mutex_lock(&ledger->mutex);
	while (!ledger->ended) {
		int64_t now = pd_os_now_us();
		bool busy = false;

		for (int i = 0; i < CLIENTS; i++) {
			struct client *client = &ledger->clients[i];

			busy |= client->busy;
			if (client->busy && now >= client->deadline_us)
				pd_http_client_cancel(client->platform.http);
		}
		if (busy)
			pd_os_cond_wait_until(&ledger->watch, &ledger->mutex, now + WATCH_US);
		else
			pthread_cond_wait(&ledger->watch, &ledger->mutex);
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
				    "no memory for the ledger");
	l->address = *platform;
	l->seed = pd_os_random_seed();
	l->tokens = CLAIMS_BURST;
	l->tokens_at_us = pd_os_now_us();
	pthread_mutex_init(&l->mutex, NULL);
	pd_os_cond_init(&l->freed);
	pd_os_cond_init(&l->watch);
	code = pd_os_thread_start(&l->watcher, "ledger-watch", watch_deadlines, l, err);
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
	ledger->ended = true;
	pthread_cond_broadcast(&ledger->freed);
	pthread_cond_broadcast(&ledger->watch);
	pthread_mutex_unlock(&ledger->mutex);
	pthread_join(ledger->watcher, NULL);
	for (int i = 0; i < CLIENTS; i++) {
		if (ledger->clients[i].open)
			pd_platform_close(&ledger->clients[i].platform);
	}
	pthread_cond_destroy(&ledger->watch);
	pthread_cond_destroy(&ledger->freed);
	pthread_mutex_destroy(&ledger->mutex);
	free(ledger);
}

static struct client *free_client(struct pd_ledger *ledger)
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

/* Takes a client until pd_ledger gives it back; NULL when none is free by @deadline_us. */
static struct client *client_take(struct pd_ledger *ledger, int64_t deadline_us)
{
	struct client *client;

	pthread_mutex_lock(&ledger->mutex);
	client = free_client(ledger);
	while (!client && !ledger->ended && pd_os_now_us() < deadline_us) {
		pd_os_cond_wait_until(&ledger->freed, &ledger->mutex, deadline_us);
		client = free_client(ledger);
	}
	if (client) {
		client->busy = true;
		client->deadline_us = deadline_us;
		pthread_cond_signal(&ledger->watch);
	}
	pthread_mutex_unlock(&ledger->mutex);
	return client;
}

static void client_give(struct pd_ledger *ledger, struct client *client)
{
	pthread_mutex_lock(&ledger->mutex);
	client->busy = false;
	pthread_cond_signal(&ledger->freed);
	pthread_mutex_unlock(&ledger->mutex);
}

static bool take_token(struct pd_ledger *ledger, char nonce[NONCE_BYTES])
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
	snprintf(nonce, NONCE_BYTES, "%016" PRIx64 "-%" PRIx64, ledger->seed, ++ledger->nonces);
	pthread_mutex_unlock(&ledger->mutex);
	return taken;
}

/* -- ids -- */

/* Reads the time of `UNIXMS-TOKEN`; false when malformed. */
static bool id_time(struct pd_str id, int64_t *ms)
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
 * struct record_set - one object `requests/BUCKET`
 * @version: that a write is conditional on; 0 when the object doesn't exist
 * @claims: JSON array; one reference
 */
struct record_set {
	uint64_t version;
	json_t *claims;
};

static void set_finish(struct record_set *set)
{
	json_decref(set->claims);
	set->claims = NULL;
}

static enum pd_code set_read(struct record_set *set, struct client *client, const char *key,
			     struct pd_error *err)
{
	struct pd_object object;
	enum pd_code code = pd_platform_get(&client->platform, key, &object, err);
	json_t *json;

	memset(set, 0, sizeof(*set));
	if (code == PD_NOT_FOUND) {
		set->claims = json_array();
		return set->claims ? PD_OK : PD_NO_MEMORY;
	}
	if (code != PD_OK)
		return code;
	json = json_loadb(object.value.data, object.value.len, 0, NULL);
	set->version = object.version;
	set->claims = json_incref(json_object_get(json, "claims"));
	json_decref(json);
	pd_object_finish(&object);
	if (json_is_array(set->claims))
		return PD_OK;
	set_finish(set);
	return pd_error_set(err, PD_LAYER_COORDINATION, PD_INVALID, "object %s is malformed", key);
}

static size_t set_find(const struct record_set *set, struct pd_str id)
{
	size_t i;
	json_t *claim;

	json_array_foreach(set->claims, i, claim)
	{
		json_t *name = json_object_get(claim, "id");

		if (json_is_string(name) &&
		    pd_str_equal((struct pd_str){json_string_value(name), json_string_length(name)},
				 id))
			return i;
	}
	return json_array_size(set->claims);
}

/* Drops records whose ids no process accepts any more. */
static void set_expire(struct record_set *set, int64_t now_ms)
{
	for (size_t i = json_array_size(set->claims); i-- > 0;) {
		json_t *claim = json_array_get(set->claims, i);
		int64_t ms;

		if (!id_time(pd_str_from(json_string_value(json_object_get(claim, "id"))), &ms) ||
		    ms + PD_LEDGER_RETAIN_MS + SKEW_MS < now_ms)
			json_array_remove(set->claims, i);
	}
}

static char *set_text(const struct record_set *set)
{
	json_t *json = json_pack("{s:O}", "claims", set->claims);
	char *text = json ? json_dumps(json, JSON_COMPACT) : NULL;

	json_decref(json);
	return text;
}

static enum pd_code set_write(const struct record_set *set, struct client *client, const char *key,
			      struct pd_error *err)
{
	char *text = set_text(set);
	uint64_t version;
	enum pd_code code;

	if (!text)
		return pd_error_set(err, PD_LAYER_COORDINATION, PD_NO_MEMORY,
				    "no memory for a claim");
	if (strlen(text) > PD_PLATFORM_VALUE_MAX_BYTES)
		code = pd_error_set(err, PD_LAYER_COORDINATION, PD_TOO_LARGE,
				    "object %s is full of claims", key);
	else
		code = pd_platform_put(&client->platform, key, pd_str_from(text), set->version,
				       &version, err);
	free(text);
	return code;
}

/* -- claims -- */

/**
 * struct claiming - one claim on its way
 * @uncertain: a write may have taken effect
 * @wait_us: before the next attempt
 */
struct claiming {
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

static enum pd_claim existing_claim(struct claiming *c, json_t *claim)
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

static enum pd_claim failed_claim(const struct claiming *c)
{
	return c->uncertain ? PD_CLAIM_UNCERTAIN : PD_CLAIM_UNAVAILABLE;
}

static bool add_claim(struct claiming *c, struct record_set *set)
{
	json_t *claim =
		json_pack("{s:s%,s:s,s:I,s:s}", "id", c->id.data, c->id.len, "nonce", c->nonce,
			  "at_ms", (json_int_t)pd_os_unix_ms(), "state", STATE_CLAIMED);

	return claim && json_array_append_new(set->claims, claim) == 0;
}

/* Writes the claim; true when it is decided, with the answer in @claim. */
static bool write_claim(struct claiming *c, struct record_set *set, enum pd_claim *claim)
{
	enum pd_code code;

	set_expire(set, pd_os_unix_ms());
	code = add_claim(c, set) ? set_write(set, c->client, c->key, c->err) : PD_NO_MEMORY;
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
		*claim = failed_claim(c);
		/* After a write without an answer, only a re-read can tell. */
		return !c->uncertain;
	}
}

/* One read and, when the id is free, one write. */
static bool try_claim(struct claiming *c, enum pd_claim *claim)
{
	struct record_set set;
	enum pd_code code = set_read(&set, c->client, c->key, c->err);
	bool decided;
	size_t i;

	*claim = failed_claim(c);
	if (code != PD_OK)
		return !c->uncertain;
	i = set_find(&set, c->id);
	if (i < json_array_size(set.claims)) {
		*claim = existing_claim(c, json_array_get(set.claims, i));
		decided = true;
	} else if (c->id_ms + PD_LEDGER_RETAIN_MS < pd_os_unix_ms()) {
		*claim = c->uncertain ? PD_CLAIM_UNCERTAIN : PD_CLAIM_EXPIRED;
		decided = true;
	} else {
		decided = write_claim(c, &set, claim);
	}
	set_finish(&set);
	return decided;
}

static void pause_before_retry(struct claiming *c)
{
	int64_t left = c->deadline_us - pd_os_now_us();

	pd_os_sleep_us(c->wait_us < left ? c->wait_us : left);
	c->wait_us = c->wait_us * 2 < RETRY_MAX_US ? c->wait_us * 2 : RETRY_MAX_US;
}

static enum pd_claim claim_until(struct claiming *c)
{
	enum pd_claim claim = PD_CLAIM_UNAVAILABLE;

	while (pd_os_now_us() < c->deadline_us) {
		if (try_claim(c, &claim))
			return claim;
		pause_before_retry(c);
	}
	return failed_claim(c);
}

enum pd_claim pd_ledger_claim(struct pd_ledger *ledger, struct pd_str id, int64_t deadline_us,
			      struct pd_buf *result, struct pd_error *err)
{
	char nonce[NONCE_BYTES];
	struct claiming c = {
		.id = id,
		.deadline_us = deadline_us,
		.nonce = nonce,
		.wait_us = RETRY_MIN_US,
		.result = result,
		.err = err,
	};
	enum pd_claim claim;

	if (!id_time(id, &c.id_ms) || c.id_ms > pd_os_unix_ms() + FUTURE_MAX_MS)
		return PD_CLAIM_MALFORMED;
	if (c.id_ms + PD_LEDGER_RETAIN_MS < pd_os_unix_ms())
		return PD_CLAIM_EXPIRED;
	if (!take_token(ledger, nonce))
		return PD_CLAIM_UNAVAILABLE;
	c.client = client_take(ledger, deadline_us);
	if (!c.client)
		return PD_CLAIM_UNAVAILABLE;
	bucket_key(id, c.key, sizeof(c.key));
	claim = claim_until(&c);
	client_give(ledger, c.client);
	return claim;
}

/* -- the end of a claim -- */

static bool is_state(json_t *claim, const char *state)
{
	const char *name = json_string_value(json_object_get(claim, "state"));

	return name && !strcmp(name, state);
}

/* A result without room is left out. */
static void add_result(struct record_set *set, json_t *claim, struct pd_str result)
{
	char *text = set_text(set);

	if (text && strlen(text) + 2 * result.len < RESULTS_MAX)
		json_object_set_new(claim, "result", json_stringn(result.data, result.len));
	free(text);
}

/* Sets the claim's state to @state; PD_OK when decided, with @stands telling whether it has it. */
static enum pd_code end_once(struct client *client, const char *key, struct pd_str id,
			     const char *state, struct pd_str result, bool *stands)
{
	struct record_set set;
	enum pd_code code = set_read(&set, client, key, NULL);
	json_t *claim;

	*stands = false;
	if (code != PD_OK)
		return code;
	claim = json_array_get(set.claims, set_find(&set, id));
	if (is_state(claim, STATE_CLAIMED)) {
		if (result.data)
			add_result(&set, claim, result);
		code = json_object_set_new(claim, "state", json_string(state))
			       ? PD_NO_MEMORY
			       : set_write(&set, client, key, NULL);
	}
	*stands = code == PD_OK && is_state(claim, state);
	set_finish(&set);
	return code;
}

/* True when the platform certainly has the claim in @state by @deadline_us. */
static bool end_claim(struct pd_ledger *ledger, struct pd_str id, const char *state,
		      struct pd_str result, int64_t deadline_us)
{
	struct client *client = client_take(ledger, deadline_us);
	struct claiming c = {.deadline_us = deadline_us, .wait_us = RETRY_MIN_US};
	bool stands = false;

	if (!client)
		return false;
	bucket_key(id, c.key, sizeof(c.key));
	/* After a lost answer, the next read shows whether the write took effect. */
	while (pd_os_now_us() < deadline_us &&
	       end_once(client, c.key, id, state, result, &stands) != PD_OK)
		pause_before_retry(&c);
	client_give(ledger, client);
	return stands;
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
