/*
 * Tests of the log of configuration commands. They guard against a command that is reported as not
 * applied but takes effect, immediately or later; a command that is applied twice or overwrites the
 * entry of another operator; a reported version that differs from that of the entry; and a snapshot
 * that reverts or loses entries.
 *
 * An in-memory store with injected faults replaces the platform client.
 */
#include <check.h>
#include <gsl/gsl_rng.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config_log.h"

#define OBJECTS_MAX	256
#define FAULTS_MAX	32
#define LONG_TIMEOUT_US (30 * PD_USEC_PER_SEC)

/** enum fault - fault injected into one call */
enum fault {
	FAULT_NONE,
	FAULT_UNAVAILABLE, /* the call fails without any effect */
	FAULT_RESPONSE_LOST, /* a write takes effect, but its response is lost */
	FAULT_REQUEST_LOST, /* a write has no effect, but its outcome is unknown */
	FAULT_WRITE_DELAYED, /* a write takes effect two calls later if its condition is then met */
	FAULT_STALE_READ, /* a read doesn't find an entry that exists */
	FAULT_CONCURRENT_ENTRY, /* another operator appends an entry before the call */
	FAULT_COUNT,
};

struct stored {
	char key[64];
	uint64_t version;
	char *value;
};

static struct store {
	struct stored items[OBJECTS_MAX];
	size_t count;
	enum fault faults[FAULTS_MAX];
	size_t fault_count;
	size_t calls;
	const char *concurrent_command;
	char delayed_key[64];
	char *delayed_value;
	size_t delayed_until_call;
} store;

static struct pd_error err;
static struct pd_config_log config_log;
static struct pd_platform platform;

static struct stored *find_stored(const char *key)
{
	for (size_t i = 0; i < store.count; i++) {
		if (!strcmp(store.items[i].key, key))
			return &store.items[i];
	}
	return NULL;
}

static bool store_put(const char *key, const char *value, uint64_t if_version)
{
	struct stored *item = find_stored(key);

	if ((item ? item->version : 0) != if_version)
		return false;
	if (!item) {
		ck_assert_uint_lt(store.count, OBJECTS_MAX);
		item = &store.items[store.count++];
		snprintf(item->key, sizeof(item->key), "%s", key);
	}
	free(item->value);
	item->value = strdup(value);
	item->version++;
	return true;
}

static void apply_delayed_write(void)
{
	if (!store.delayed_value)
		return;
	store_put(store.delayed_key, store.delayed_value, 0);
	free(store.delayed_value);
	store.delayed_value = NULL;
}

static void store_clear(void)
{
	for (size_t i = 0; i < store.count; i++)
		free(store.items[i].value);
	free(store.delayed_value);
	memset(&store, 0, sizeof(store));
}

static uint64_t entry_count(void)
{
	uint64_t count = 0;
	char key[64];

	do
		snprintf(key, sizeof(key), "config/log/%08" PRIu64, ++count);
	while (find_stored(key));
	return count - 1;
}

static void append_entry(const char *command, const char *operator_name)
{
	char value[256];
	char key[64];

	snprintf(key, sizeof(key), "config/log/%08" PRIu64, entry_count() + 1);
	snprintf(value, sizeof(value),
		 "{\"command\":\"%s\",\"operator\":\"%s\",\"nonce\":\"n%zu\",\"at_ms\":1}", command,
		 operator_name, store.count);
	ck_assert(store_put(key, value, 0));
}

static enum fault next_fault(void)
{
	enum fault fault = store.calls < store.fault_count ? store.faults[store.calls] : FAULT_NONE;

	store.calls++;
	if (store.delayed_value && store.calls > store.delayed_until_call)
		apply_delayed_write();
	if (fault == FAULT_CONCURRENT_ENTRY)
		append_entry(store.concurrent_command, "rival");
	return fault;
}

void pd_object_init(struct pd_object *object)
{
	memset(object, 0, sizeof(*object));
}

void pd_object_finish(struct pd_object *object)
{
	pd_buf_finish(&object->value);
}

enum pd_code pd_platform_get(struct pd_platform *client, const char *key, struct pd_object *object,
			     struct pd_error *e)
{
	enum fault fault = next_fault();
	const struct stored *item = find_stored(key);

	(void)client;
	if (fault == FAULT_UNAVAILABLE)
		return pd_error_set(e, PD_LAYER_PROTOCOL, PD_UNAVAILABLE, "away");
	if (!item || (fault == FAULT_STALE_READ && !strncmp(key, "config/log/", 11)))
		return pd_error_set(e, PD_LAYER_PROTOCOL, PD_NOT_FOUND, "no such object");
	pd_object_init(object);
	snprintf(object->key, sizeof(object->key), "%s", key);
	object->version = item->version;
	pd_buf_append_str(&object->value, pd_str_from(item->value));
	return PD_OK;
}

static void delay_write(const char *key, const char *value)
{
	apply_delayed_write();
	snprintf(store.delayed_key, sizeof(store.delayed_key), "%s", key);
	store.delayed_value = strdup(value);
	store.delayed_until_call = store.calls + 1;
}

enum pd_code pd_platform_put(struct pd_platform *client, const char *key, struct pd_str value,
			     uint64_t if_version, uint64_t *version, struct pd_error *e)
{
	enum fault fault = next_fault();
	char *text = strndup(value.data, value.len);
	bool condition_met = true;

	(void)client;
	if (fault == FAULT_WRITE_DELAYED)
		delay_write(key, text);
	else if (fault != FAULT_UNAVAILABLE && fault != FAULT_REQUEST_LOST)
		condition_met = store_put(key, text, if_version);
	free(text);
	if (fault == FAULT_UNAVAILABLE)
		return pd_error_set(e, PD_LAYER_PROTOCOL, PD_UNAVAILABLE, "away");
	if (fault == FAULT_RESPONSE_LOST || fault == FAULT_REQUEST_LOST ||
	    fault == FAULT_WRITE_DELAYED)
		return pd_error_set(e, PD_LAYER_PROTOCOL, PD_UNKNOWN_OUTCOME, "no answer");
	if (!condition_met)
		return pd_error_set(e, PD_LAYER_PROTOCOL, PD_CONFLICT, "another version");
	if (version)
		*version = find_stored(key)->version;
	return PD_OK;
}

static void setup(void)
{
	store_clear();
	store.concurrent_command = "create zone rival";
	ck_assert_int_eq(pd_config_log_open(&config_log, &platform, &err), PD_OK);
	config_log.min_backoff_us = 1;
}

static void teardown(void)
{
	pd_config_log_close(&config_log);
	store_clear();
}

static void inject_faults(const enum fault *faults, size_t count)
{
	memcpy(store.faults, faults, count * sizeof(*faults));
	store.fault_count = count;
	store.calls = 0;
}

#define INJECT_FAULTS(...)                                                                         \
	inject_faults((const enum fault[]){__VA_ARGS__},                                           \
		      sizeof((const enum fault[]){__VA_ARGS__}) / sizeof(enum fault))

static enum pd_code append(const char *line, int64_t timeout_us, uint64_t *version)
{
	struct pd_command command;
	struct pd_name name;
	enum pd_code code;

	pd_name_set(&name, PD_STR("anna"));
	ck_assert_int_eq(pd_command_parse(&command, pd_str_from(line), &err), PD_OK);
	code = pd_config_log_append(&config_log, &command, &name, timeout_us, version, &err);
	pd_command_finish(&command);
	return code;
}

/* Returns the number of entries of operator anna with @command and stores the version of the last
 * one in @version. */
static int count_own_entries(const char *command, uint64_t *version)
{
	uint64_t last = entry_count();
	int found = 0;

	store.fault_count = 0;
	for (uint64_t v = 1; v <= last; v++) {
		struct pd_config_entry entry;

		ck_assert_int_eq(pd_config_entry_read(&platform, v, &entry, &err), PD_OK);
		ck_assert_uint_eq(entry.nonce.len > 0, 1);
		if (!strcmp(entry.operator_name.text, "anna") &&
		    pd_str_is(pd_buf_str(&entry.command), command)) {
			*version = v;
			found++;
		}
		pd_config_entry_finish(&entry);
	}
	return found;
}

START_TEST(entries_are_numbered_and_recorded)
{
	struct pd_config_entry entry;
	uint64_t version = 0;

	ck_assert_int_eq(append("create  zone boston # now", 0, &version), PD_OK);
	ck_assert_uint_eq(version, 1);
	ck_assert_int_eq(append("set zone boston out", 0, &version), PD_OK);
	ck_assert_uint_eq(version, 2);
	ck_assert_int_eq(pd_config_entry_read(&platform, 1, &entry, &err), PD_OK);
	ck_assert_str_eq(entry.command.data, "create zone boston");
	ck_assert_str_eq(entry.operator_name.text, "anna");
	ck_assert_int_gt(entry.created_unix_ms, 0);
	pd_config_entry_finish(&entry);
	ck_assert_int_eq(pd_config_entry_read(&platform, 3, &entry, &err), PD_NOT_FOUND);
	ck_assert(config_log.config->zones[0].out);
	ck_assert_int_eq(append("create zone boston", 0, &version), PD_CONFLICT);
	ck_assert_str_eq(err.text, "zone \"boston\" exists already");
	ck_assert_int_eq(append("set zone z in", 0, &version), PD_NOT_FOUND);
	ck_assert_uint_eq(entry_count(), 2);
}
END_TEST

START_TEST(conflict_names_the_concurrent_entry_and_its_operator)
{
	uint64_t version = 0;

	append_entry("create zone boston", "bea");
	store.concurrent_command = "delete zone boston";
	/* Calls: snapshot, entry 1, end of the log, write. */
	INJECT_FAULTS(FAULT_NONE, FAULT_NONE, FAULT_NONE, FAULT_CONCURRENT_ENTRY);
	ck_assert_int_eq(append("set zone boston out", LONG_TIMEOUT_US, &version), PD_CONFLICT);
	ck_assert_str_eq(err.text, "entry 2 of operator rival came first (delete zone boston): "
				   "zone \"boston\" does not exist");
	store.concurrent_command = "create zone hartford";
	INJECT_FAULTS(FAULT_NONE, FAULT_CONCURRENT_ENTRY);
	ck_assert_int_eq(append("create zone portland", LONG_TIMEOUT_US, &version), PD_OK);
	ck_assert_uint_eq(version, 4);
}
END_TEST

START_TEST(outcome_is_determined_after_a_lost_message)
{
	static const enum fault lost_message_faults[] = {FAULT_RESPONSE_LOST, FAULT_REQUEST_LOST,
							 FAULT_WRITE_DELAYED};
	char line[64];

	for (size_t i = 0; i < 3; i++) {
		uint64_t version = 0;
		uint64_t stored;

		INJECT_FAULTS(FAULT_NONE, lost_message_faults[i], FAULT_UNAVAILABLE, FAULT_NONE,
			      FAULT_UNAVAILABLE);
		snprintf(line, sizeof(line), "create zone z%zu", i);
		ck_assert_int_eq(append(line, LONG_TIMEOUT_US, &version), PD_OK);
		apply_delayed_write();
		ck_assert_int_eq(count_own_entries(line, &stored), 1);
		ck_assert_uint_eq(stored, version);
	}
}
END_TEST

START_TEST(undetermined_writes_have_an_unknown_outcome)
{
	uint64_t version = 0;

	INJECT_FAULTS(FAULT_NONE, FAULT_NONE, FAULT_WRITE_DELAYED);
	ck_assert_int_eq(append("create zone a", 0, &version), PD_UNKNOWN_OUTCOME);
	apply_delayed_write();
	ck_assert_int_eq(count_own_entries("create zone a", &version), 1);
	INJECT_FAULTS(FAULT_NONE, FAULT_NONE, FAULT_UNAVAILABLE);
	ck_assert_int_eq(append("create zone b", 0, &version), PD_UNAVAILABLE);
	ck_assert_int_eq(count_own_entries("create zone b", &version), 0);
}
END_TEST

/* Appends a command under random faults. After all delayed writes, the store must match the
 * reported result. */
static void check_random_append(gsl_rng *rng, int case_number)
{
	enum fault faults[FAULTS_MAX] = {FAULT_NONE};
	bool long_timeout = gsl_rng_uniform_int(rng, 2);
	uint64_t version = 0;
	uint64_t stored = 0;
	enum pd_code code;
	char line[64];
	char concurrent[64];
	int found;

	for (int i = 0; i < 12; i++) {
		if (gsl_rng_uniform_int(rng, 2))
			faults[i] = (enum fault)gsl_rng_uniform_int(rng, FAULT_COUNT);
	}
	snprintf(line, sizeof(line), "create zone z%d", case_number);
	snprintf(concurrent, sizeof(concurrent), "%s",
		 gsl_rng_uniform_int(rng, 4) ? "set zone base in" : line);
	store.concurrent_command = concurrent;
	inject_faults(faults, 12);
	code = append(line, long_timeout ? LONG_TIMEOUT_US : 0, &version);
	apply_delayed_write();
	found = count_own_entries(line, &stored);
	if (code == PD_OK)
		ck_assert_msg(found == 1 && stored == version, "case %d: %d entries", case_number,
			      found);
	else if (code == PD_UNKNOWN_OUTCOME)
		ck_assert_msg(found <= 1 && !long_timeout, "case %d: %d entries", case_number,
			      found);
	else
		ck_assert_msg(found == 0, "case %d: result %s, but %d entries", case_number,
			      pd_strerror(code), found);
	ck_assert_msg(!long_timeout || code == PD_OK || code == PD_CONFLICT, "case %d: %s",
		      case_number, pd_strerror(code));
}

START_TEST(results_match_the_store_under_random_faults)
{
	gsl_rng *rng = gsl_rng_alloc(gsl_rng_mt19937);

	gsl_rng_set(rng, 300);
	for (int i = 0; i < 4000; i++) {
		teardown();
		setup();
		append_entry("create zone base", "bea");
		check_random_append(rng, i);
	}
	gsl_rng_free(rng);
}
END_TEST

static uint64_t stored_snapshot(void)
{
	const struct stored *item = find_stored("config/snapshot");
	json_t *json = item ? json_loads(item->value, 0, NULL) : NULL;
	uint64_t version = (uint64_t)json_integer_value(json_object_get(json, "version"));

	json_decref(json);
	return version;
}

START_TEST(snapshot_replaces_the_entries_that_it_includes)
{
	struct pd_config_log other;
	char line[64];
	bool saved;

	for (int i = 1; i <= PD_CONFIG_SNAPSHOT_INTERVAL + 1; i++) {
		snprintf(line, sizeof(line), "create zone z%d", i);
		append_entry(line, "bea");
		ck_assert_int_eq(pd_config_log_read(&config_log, &err), PD_OK);
		ck_assert_int_eq(pd_config_log_save_snapshot(&config_log, &saved, &err), PD_OK);
		ck_assert(saved == (i == PD_CONFIG_SNAPSHOT_INTERVAL));
	}
	ck_assert_uint_eq(stored_snapshot(), PD_CONFIG_SNAPSHOT_INTERVAL);
	ck_assert_int_eq(pd_config_log_open(&other, &platform, &err), PD_OK);
	store.calls = 0;
	ck_assert_int_eq(pd_config_log_read(&other, &err), PD_OK);
	ck_assert_uint_eq(store.calls, 3);
	ck_assert_uint_eq(other.config->version, PD_CONFIG_SNAPSHOT_INTERVAL + 1);
	ck_assert_uint_eq(other.config->zone_count, PD_CONFIG_SNAPSHOT_INTERVAL + 1);
	pd_config_log_close(&other);
}
END_TEST

START_TEST(an_older_snapshot_never_replaces_a_newer_one)
{
	char line[64];
	bool saved;

	for (int i = 1; i <= PD_CONFIG_SNAPSHOT_INTERVAL; i++) {
		snprintf(line, sizeof(line), "create zone z%d", i);
		append_entry(line, "bea");
	}
	ck_assert_int_eq(pd_config_log_read(&config_log, &err), PD_OK);
	ck_assert(store_put("config/snapshot", "{\"version\":900,\"text\":\"\"}", 0));
	ck_assert_int_eq(pd_config_log_save_snapshot(&config_log, &saved, &err), PD_OK);
	ck_assert(!saved);
	ck_assert_uint_eq(stored_snapshot(), 900);
}
END_TEST

/* Entries that this program can't apply must increase the version and change nothing else. The
 * snapshot must not be written, since it would lack their changes. */
START_TEST(entries_of_a_newer_release_are_skipped)
{
	char line[64];
	bool saved;

	append_entry("create zone a", "bea");
	append_entry("frobnicate zone a", "bea");
	ck_assert(store_put("config/log/00000003", "[]", 0));
	for (int i = 4; i <= PD_CONFIG_SNAPSHOT_INTERVAL; i++) {
		snprintf(line, sizeof(line), "create zone z%d", i);
		append_entry(line, "bea");
	}
	ck_assert_int_eq(pd_config_log_read(&config_log, &err), PD_OK);
	ck_assert_uint_eq(config_log.config->version, PD_CONFIG_SNAPSHOT_INTERVAL);
	ck_assert_uint_eq(config_log.config->zone_count, PD_CONFIG_SNAPSHOT_INTERVAL - 2);
	ck_assert_int_eq(pd_config_log_save_snapshot(&config_log, &saved, &err), PD_OK);
	ck_assert(!saved);
}
END_TEST

START_TEST(a_malformed_snapshot_is_reported)
{
	uint64_t version = 0;

	ck_assert(store_put("config/snapshot", "{\"version\":1}", 0));
	ck_assert_int_eq(pd_config_log_read(&config_log, &err), PD_INVALID);
	ck_assert_str_eq(err.text, "config/snapshot: expected an object with version and text");
	ck_assert_int_eq(append("create zone a", LONG_TIMEOUT_US, &version), PD_INVALID);
	ck_assert_uint_eq(entry_count(), 0);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("config_log");
	TCase *tcase = tcase_create("config_log");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_set_timeout(tcase, 60);
	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, entries_are_numbered_and_recorded);
	tcase_add_test(tcase, conflict_names_the_concurrent_entry_and_its_operator);
	tcase_add_test(tcase, outcome_is_determined_after_a_lost_message);
	tcase_add_test(tcase, undetermined_writes_have_an_unknown_outcome);
	tcase_add_test(tcase, results_match_the_store_under_random_faults);
	tcase_add_test(tcase, snapshot_replaces_the_entries_that_it_includes);
	tcase_add_test(tcase, an_older_snapshot_never_replaces_a_newer_one);
	tcase_add_test(tcase, entries_of_a_newer_release_are_skipped);
	tcase_add_test(tcase, a_malformed_snapshot_is_reported);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
