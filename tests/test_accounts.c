/**
 * DOC: Tests of client accounts: what a configuration states about them, the look-up of API keys,
 * and the proof that the configuration is the newest one
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "accounts.h"
#include "directory.h"
#include "headers.h"
#include "http.h"
#include "json_scan.h"
#include "key_check.h"
#include "log.h"
#include "objects.h"
#include "os.h"
#include "relay.h"
#include "suite.h"

#define CONFIG_START "{\"version\":%u,\"services\":[{\"name\":\"s\"}],\"routes\":["
#define ROUTE                                                                                      \
	"{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":\"/a/\",\"service\":\"s\"},"               \
	"{\"name\":\"long\",\"host\":\"h\",\"path_prefix\":\"/a/b/\",\"service\":\"gone\"}"
#define MANY_ACCOUNTS 10000
#define MANY_KEYS     5 /* of each account */
/* A quadratic loop over the keys takes minutes; the limit leaves room for sanitizers. */
#define MANY_MAX_S 5

static struct pd_registry registry;
static struct pd_directory directory;

static void setup(void)
{
	struct pd_registry_options options = {.retry_ratio = 0.2, .retry_slack = 100};

	pd_log_open("test", PD_LOG_ERROR);
	ck_assert(pd_name_set(&options.zone, PD_STR("here")));
	pd_registry_init(&registry, &options);
	pd_directory_init(&directory, &registry);
}

static void teardown(void)
{
	pd_directory_finish(&directory);
	pd_registry_finish(&registry);
}

/* Returns the catalog of a configuration with these members in place of "routes". */
static struct pd_catalog *read_members(const char *routes, const char *members)
{
	struct pd_catalog *catalog;
	struct pd_buf text = {0};
	struct pd_error err;
	json_t *json;

	pd_buf_printf(&text, CONFIG_START "%s]%s}", 1, routes, members);
	json = json_loads(text.data, 0, NULL);
	ck_assert_msg(json != NULL, "%s", text.data);
	catalog = pd_object_read_config(json, &err);
	json_decref(json);
	pd_buf_finish(&text);
	return catalog;
}

static struct pd_catalog *read_accounts(const char *accounts)
{
	struct pd_catalog *catalog;
	struct pd_buf members = {0};

	pd_buf_printf(&members, ",\"tenants\":%s", accounts);
	catalog = read_members("", members.data);
	pd_buf_finish(&members);
	return catalog;
}

static const char *owner_of(const struct pd_catalog *catalog, const char *key)
{
	static char name[32];
	const struct pd_account *account = pd_catalog_find_account(catalog, pd_str_from(key));

	if (!account || !pd_str_copy(account->name, name, sizeof(name)))
		return "";
	return name;
}

START_TEST(invalid_entries_give_no_rights)
{
	/* Guards against a key that counts although its entry is invalid, or that belongs to
	 * another account than the configuration states, and against an invalid entry that takes
	 * valid keys with it.
	 */
	static const struct {
		const char *accounts;
		const char *key;
		const char *owner;
	} cases[] = {
		{"[{\"name\":\"a\",\"api_keys\":[\"k\",\"l\"]}]", "l", "a"},
		{"[{\"name\":\"a\",\"api_keys\":[\"k\"]}]", "K", ""},
		{"[{\"name\":\"a\",\"api_keys\":[\"k\"]}]", "k ", ""},
		{"[{\"name\":\"a\",\"api_keys\":[\"k\"]}]", "", ""},
		{"[{\"name\":\"a\",\"api_keys\":[\"k\",\"k\",\"l\"]}]", "k", ""},
		{"[{\"name\":\"a\",\"api_keys\":[\"k\",\"k\",\"k\"]}]", "k", ""},
		{"[{\"name\":\"a\",\"api_keys\":[\"k\",\"k\",\"l\"]}]", "l", "a"},
		{"[{\"name\":\"a\",\"api_keys\":[\"k\"]},{\"name\":\"b\",\"api_keys\":[\"k\"]}]",
		 "k", ""},
		{"[{\"name\":\"a\",\"api_keys\":[\"k\"]},{\"name\":\"a\",\"api_keys\":[\"l\"]}]",
		 "k", "a"},
		{"[{\"name\":\"a\",\"api_keys\":[\"k\"]},{\"name\":\"a\",\"api_keys\":[\"l\"]}]",
		 "l", ""},
		{"[{\"name\":\"a\",\"api_keys\":[\"k\"]},{\"name\":\"a\",\"api_keys\":[\"k\"]}]",
		 "k", "a"},
		{"[{\"name\":\"A\",\"api_keys\":[\"k\"]},{\"name\":\"a\",\"api_keys\":[\"l\"]}]",
		 "l", "a"},
		{"[{\"api_keys\":[\"k\"]},{\"name\":\"a\",\"api_keys\":[\"l\"]}]", "k", ""},
		{"[{\"api_keys\":[\"k\"]},{\"name\":\"a\",\"api_keys\":[\"l\"]}]", "l", "a"},
		{"[{\"name\":\"\",\"api_keys\":[\"k\"]}]", "k", ""},
		{"[{\"name\":7,\"api_keys\":[\"k\"]}]", "k", ""},
		{"[{\"name\":\"a\\r\\nX: y\",\"api_keys\":[\"k\"]}]", "k", ""},
		{"[{\"name\":\" a\",\"api_keys\":[\"k\"]}]", "k", ""},
		{"[{\"name\":\"a\\t\",\"api_keys\":[\"k\"]}]", "k", ""},
		{"[{\"name\":\"a\\u007f\",\"api_keys\":[\"k\"]}]", "k", ""},
		{"[{\"name\":\"a b\",\"api_keys\":[\"k\"]}]", "k", "a b"},
		{"[{\"name\":\"a\",\"api_keys\":[\"\",5,null,[\"m\"],\"k\"]}]", "k", "a"},
		{"[{\"name\":\"a\",\"api_keys\":[\"\",5,null,[\"m\"],\"k\"]}]", "m", ""},
		{"[{\"name\":\"a\",\"api_keys\":[\"\"]}]", "", ""},
		{"[{\"name\":\"a\",\"api_keys\":\"k\"}]", "k", ""},
		{"[{\"name\":\"a\"}]", "", ""},
		{"[null,5,[],{\"name\":\"a\",\"api_keys\":[\"k\"]}]", "k", "a"},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct pd_catalog *catalog = read_accounts(cases[i].accounts);

		ck_assert(catalog && catalog->has_accounts);
		ck_assert_msg(!strcmp(owner_of(catalog, cases[i].key), cases[i].owner), "%s: %s",
			      cases[i].accounts, cases[i].key);
		pd_catalog_release(catalog);
	}
}
END_TEST

START_TEST(lengths_are_limited)
{
	/* Guards against keys and names at the limits that are taken or refused wrongly. */
	static const struct {
		size_t key;
		size_t name;
		bool valid;
	} cases[] = {{1, 1, true}, {1024, 1024, true}, {1025, 1, false}, {1, 1025, false}};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		char key[1100], name[1100], text[2400];
		struct pd_catalog *catalog;

		memset(key, 'k', sizeof(key));
		memset(name, 'n', sizeof(name));
		snprintf(text, sizeof(text), "[{\"name\":\"%.*s\",\"api_keys\":[\"%.*s\"]}]",
			 (int)cases[i].name, name, (int)cases[i].key, key);
		catalog = read_accounts(text);
		ck_assert_int_eq(pd_catalog_find_account(
					 catalog, (struct pd_str){key, cases[i].key}) != NULL,
				 cases[i].valid);
		pd_catalog_release(catalog);
	}
}
END_TEST

START_TEST(invalid_quota_is_not_unlimited)
{
	/* Guards against an account without a limit because its quota is invalid. */
	static const struct {
		const char *members;
		double rate;
		double burst;
	} cases[] = {
		{"", 0, 0},
		{",\"rate_per_s\":0,\"burst_size\":0", 0, 0},
		{",\"rate_per_s\":0.25,\"burst_size\":3", 0.25, 3},
		{",\"rate_per_s\":1e9,\"burst_size\":1e9", 1e9, 1e9},
		{",\"rate_per_s\":1000000001,\"burst_size\":3", 1, 1},
		{",\"rate_per_s\":5,\"burst_size\":1e10", 1, 1},
		{",\"rate_per_s\":-1,\"burst_size\":3", 1, 1},
		{",\"rate_per_s\":5,\"burst_size\":-0.5", 1, 1},
		{",\"rate_per_s\":\"5\",\"burst_size\":3", 1, 1},
		{",\"rate_per_s\":null", 1, 1},
		{",\"burst_size\":true", 1, 1},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct pd_catalog *catalog;
		char text[160];

		snprintf(text, sizeof(text), "[{\"name\":\"a\",\"api_keys\":[\"k\"]%s}]",
			 cases[i].members);
		catalog = read_accounts(text);
		ck_assert_uint_eq(catalog->account_count, 1);
		ck_assert_double_eq(catalog->accounts[0].rate_per_s, cases[i].rate);
		ck_assert_double_eq(catalog->accounts[0].burst, cases[i].burst);
		ck_assert_uint_eq(catalog->accounts[0].hash, pd_str_hash(PD_STR("a"), 0));
		pd_catalog_release(catalog);
	}
}
END_TEST

START_TEST(priority_is_optional)
{
	/* Guards against an account without a priority that gets the most urgent one, 0. */
	static const struct {
		const char *value;
		bool valid;
		uint32_t priority;
	} cases[] = {{"0", true, 0},	  {"3", true, 3},     {"-1", false, 0},
		     {"\"1\"", false, 0}, {"1e10", false, 0}, {"null", false, 0}};
	struct pd_catalog *catalog = read_accounts("[{\"name\":\"a\"}]");

	ck_assert(!catalog->accounts[0].has_priority);
	pd_catalog_release(catalog);
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		char text[80];

		snprintf(text, sizeof(text), "[{\"name\":\"a\",\"priority\":%s}]", cases[i].value);
		catalog = read_accounts(text);
		ck_assert_int_eq(catalog->accounts[0].has_priority, cases[i].valid);
		ck_assert_uint_eq(catalog->accounts[0].priority, cases[i].priority);
		pd_catalog_release(catalog);
	}
}
END_TEST

START_TEST(many_accounts_are_read_in_time)
{
	/* Guards against loops over all keys for each key, and against tables whose size isn't in
	 * proportion to the number of keys.
	 */
	clock_t start = clock();
	struct pd_buf text = {0};
	struct pd_catalog *catalog;
	char key[32], name[32];

	for (int i = 0; i < MANY_ACCOUNTS; i++) {
		pd_buf_printf(&text, "%c{\"name\":\"account-%d\",\"api_keys\":[", i ? ',' : '[', i);
		for (int k = 0; k < MANY_KEYS; k++)
			pd_buf_printf(&text, "%s\"%c%d\"", k ? "," : "", 'a' + k, i);
		pd_buf_append_str(&text, PD_STR("]}"));
	}
	pd_buf_append_str(&text, PD_STR("]"));
	catalog = read_accounts(text.data);
	ck_assert_uint_eq(catalog->account_count, MANY_ACCOUNTS);
	for (int i = 0; i < MANY_ACCOUNTS; i++) {
		snprintf(name, sizeof(name), "account-%d", i);
		snprintf(key, sizeof(key), "%c%d", 'a' + i % MANY_KEYS, i);
		ck_assert_str_eq(owner_of(catalog, key), name);
		snprintf(key, sizeof(key), "%c%d", 'a' + MANY_KEYS, i);
		ck_assert_str_eq(owner_of(catalog, key), "");
	}
	ck_assert_int_lt((clock() - start) / CLOCKS_PER_SEC, MANY_MAX_S);
	ck_assert_uint_le(catalog->keys.capacity, 4 * MANY_ACCOUNTS * MANY_KEYS);
	pd_catalog_release(catalog);
	pd_buf_finish(&text);
}
END_TEST

START_TEST(odd_routes_are_left_out_only_with_accounts)
{
	/* Guards against a withdrawn key that stays valid because of an unreadable route, against
	 * requests of such a route that go to a shorter prefix, and against a list of accounts that
	 * isn't one and admits everybody. Without accounts, nothing changes.
	 */
	struct pd_catalog *catalog = read_members(ROUTE, ",\"tenants\":[5]");

	ck_assert_ptr_nonnull(catalog);
	ck_assert(catalog->has_accounts);
	ck_assert_uint_eq(catalog->account_count, 0);
	ck_assert(!pd_catalog_find_route(catalog, PD_STR("h"), PD_STR("/a/x"))->unusable);
	ck_assert(pd_catalog_find_route(catalog, PD_STR("h"), PD_STR("/a/b/x"))->unusable);
	pd_catalog_release(catalog);
	catalog = read_members("{\"host\":\"h\"},7," ROUTE, ",\"tenants\":[5]");
	ck_assert_uint_eq(catalog->route_count, 2);
	pd_catalog_release(catalog);
	ck_assert_ptr_null(read_members(ROUTE, ""));
	ck_assert_ptr_null(read_members(ROUTE, ",\"tenants\":[]"));
	ck_assert_ptr_null(read_members("", ",\"tenants\":{\"name\":\"a\"}"));
	catalog = read_members("", ",\"tenants\":null");
	ck_assert(catalog && !catalog->has_accounts);
	pd_catalog_release(catalog);
}
END_TEST

START_TEST(unreadable_parts_never_count_as_missing)
{
	/* Guards against an unreadable part that counts as a missing one, which could mean that
	 * there are no accounts or no limit, and against messages that quote a key.
	 */
	static const struct {
		const char *text;
		const char *expected;
	} cases[] = {
		{"{\"a\":[1,1e999,2]}", "{\"a\": [1, false, 2]}"},
		{"{\"a\":1,\"a\":2,\"b\":3}", "{\"a\": false, \"b\": 3}"},
		{"{\"\\u0061\":1,\"a\":2}", "{\"a\": false}"},
		{"{\"a\\u0000\":1,\"b\":2}", "false"},
		{"{\"a\":\"\\u0000\",\"b\":[[1e999]]}", "{\"a\": false, \"b\": [false]}"},
		{"[1,2", "false"},
		{"[1}", "false"},
		{"[1e999] x", "false"},
		{"", "false"},
	};
	struct pd_error err;

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		json_t *json = pd_json_salvage(pd_str_from(cases[i].text), 2);
		char *text = json_dumps(json, JSON_ENCODE_ANY);

		ck_assert_str_eq(text, cases[i].expected);
		free(text);
		json_decref(json);
	}
	ck_assert_ptr_null(pd_json_load(PD_STR("[\"secret\" \"secret\"]"), &err));
	ck_assert_ptr_null(strstr(err.text, "secret"));
	ck_assert_ptr_null(pd_json_load(PD_STR("{\"secret\":1,\"secret\":2}"), &err));
	ck_assert_ptr_null(strstr(err.text, "secret"));
}
END_TEST

START_TEST(only_the_checked_identity_is_written)
{
	/* Guards against an account that a client states itself, and a key that reaches an
	 * upstream, also under a name that many programs take for the same one (RFC 3875, 4.1.18).
	 */
	const char *text = "GET /a HTTP/1.1\r\nHost: h\r\nx-tenant: evil\r\nX-Key:\tk \t\r\n"
			   "X-TENANT: evil\r\nX-KEY: k\r\nX_Tenant: evil\r\nx_key: k\r\n\r\n";
	const struct pd_identity_fields upstream = {.account = PD_STR("a")};
	const struct pd_identity_fields relay = {.api_key = PD_STR("k")};
	struct pd_request_fields fields;
	struct pd_http_message msg;
	struct pd_buf out = {0};
	size_t used;

	pd_http_message_init(&msg, PD_HTTP_REQUEST, 1000, 1000);
	ck_assert_int_eq(pd_http_message_parse(&msg, text, strlen(text), &used), PD_HTTP_COMPLETE);
	pd_platform_read_request(&msg, &fields);
	ck_assert(pd_str_is(fields.api_key, "k"));
	pd_platform_write_head(&msg, &upstream, &out);
	ck_assert_str_eq(out.data, "GET /a HTTP/1.1\r\nHost: h\r\nX-Tenant: a\r\n");
	pd_buf_clear(&out);
	pd_platform_write_head(&msg, &relay, &out);
	ck_assert_str_eq(out.data, "GET /a HTTP/1.1\r\nHost: h\r\nX-Key: k\r\n");
	pd_buf_finish(&out);
	pd_http_message_finish(&msg);
}
END_TEST

START_TEST(relay_fields_of_clients_are_limited)
{
	/* Guards against a client that claims to be an instance that relays a request, and states a
	 * time whose conversion to microseconds overflows.
	 */
	static const struct {
		const char *value;
		uint64_t wait_ms;
	} cases[] = {
		{"0,3,1", 0},
		{"100,3,1", 100},
		{"4294967295,3,1", UINT32_MAX},
		{"4294967296,3,1", UINT32_MAX},
		{"9223372036854775807,3,1", UINT32_MAX},
		{"18446744073709551615,3,1", UINT32_MAX},
		{"99999999999999999999,3,1", UINT32_MAX},
		{"-1,3,1", UINT32_MAX},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct pd_relay_fields fields;
		struct pd_http_message msg;
		char text[128];
		size_t used;

		snprintf(text, sizeof(text),
			 "GET / HTTP/1.1\r\nHost: h\r\nX-Peridot-Relay: %s\r\n\r\n",
			 cases[i].value);
		pd_http_message_init(&msg, PD_HTTP_REQUEST, 1000, 1000);
		ck_assert_int_eq(pd_http_message_parse(&msg, text, strlen(text), &used),
				 PD_HTTP_COMPLETE);
		ck_assert(pd_relay_read_request(&msg, &fields));
		ck_assert_msg(fields.wait_ms == cases[i].wait_ms, "\"%s\"", cases[i].value);
		ck_assert_uint_eq(fields.config_version, 3);
		ck_assert(fields.has_accounts);
		pd_http_message_finish(&msg);
	}
}
END_TEST

/* Makes a configuration current in which the account "a" has one key. */
static json_t *put_config(unsigned int version, const char *key)
{
	struct pd_error err;
	char text[200];
	json_t *spec;

	snprintf(text, sizeof(text),
		 CONFIG_START "],\"tenants\":[{\"name\":\"a\",\"api_keys\":[\"%s\"]}]}", version,
		 key);
	spec = json_loads(text, 0, NULL);
	ck_assert_int_eq(pd_directory_put_config(&directory, spec, 0, &err), PD_OK);
	return spec;
}

START_TEST(proof_ends_before_a_withdrawal_takes_effect)
{
	/* Guards against attempts with a withdrawn key: one that was withdrawn by the configuration
	 * in force, or that may have been by one that isn't known here.
	 */
	struct pd_key_check check = {.directory = &directory,
				     .key = PD_STR("k"),
				     .account = PD_STR("a"),
				     .version = 1,
				     .revocation_ms = 5000};

	ck_assert_int_eq(pd_key_confirmed_until_us(7, 0), INT64_MAX);
	ck_assert_int_eq(pd_key_confirmed_until_us(0, 5000), 0);
	ck_assert_int_eq(pd_key_confirmed_until_us(7, 500), 0);
	ck_assert_int_eq(pd_key_confirmed_until_us(7, 5000), 4500007);
	json_decref(put_config(1, "k"));
	ck_assert_int_eq(pd_key_check_until_us(&check), 0);
	pd_directory_confirm_config(&directory, 100);
	ck_assert_int_eq(pd_key_check_until_us(&check), 4500100);
	/* Renewed by a newer proof, and not shortened by an older one. */
	pd_directory_confirm_config(&directory, 200);
	pd_directory_confirm_config(&directory, 150);
	ck_assert_int_eq(pd_key_check_until_us(&check), 4500200);
	json_decref(put_config(2, "k"));
	ck_assert_int_eq(pd_key_check_until_us(&check), 4500200);
	json_decref(put_config(3, "other"));
	ck_assert_int_eq(pd_key_check_until_us(&check), 0);
}
END_TEST

START_TEST(only_the_configuration_in_force_is_covered)
{
	/* Guards against a proof for a configuration that isn't the store's newest one: versions
	 * are given out again after a restore.
	 */
	json_t *first = put_config(1, "k"), *second = put_config(2, "l");
	json_t *again = put_config(2, "m"), *third = put_config(1, "n");

	ck_assert(pd_directory_covers_config(&directory, second, false));
	ck_assert(pd_directory_covers_config(&directory, second, true));
	ck_assert(!pd_directory_covers_config(&directory, first, false));
	ck_assert(pd_directory_covers_config(&directory, first, true));
	ck_assert(!pd_directory_covers_config(&directory, again, true));
	ck_assert(!pd_directory_covers_config(&directory, third, true));
	json_decref(first);
	json_decref(second);
	json_decref(again);
	json_decref(third);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		invalid_entries_give_no_rights,
		lengths_are_limited,
		invalid_quota_is_not_unlimited,
		priority_is_optional,
		many_accounts_are_read_in_time,
		odd_routes_are_left_out_only_with_accounts,
		unreadable_parts_never_count_as_missing,
		only_the_checked_identity_is_written,
		relay_fields_of_clients_are_limited,
		proof_ends_before_a_withdrawal_takes_effect,
		only_the_configuration_in_force_is_covered,
	};

	return suite_run_with("accounts", setup, teardown, tests, sizeof(tests) / sizeof(tests[0]));
}
