/*
 * Tests of the configuration. They guard against indices that refer to the wrong object after a
 * deletion, dangling references, a configuration that changes when it is printed and read back,
 * versions that decrease, and look-ups that are too slow at the planned size.
 */
#include <check.h>
#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config.h"

#define PLANNED_SERVICES  3000
#define PLANNED_UPSTREAMS 5900

static enum pd_code try_apply(struct pd_config **config, const char *line, struct pd_error *err)
{
	struct pd_command command;
	struct pd_config *next;
	enum pd_code code = pd_command_parse(&command, pd_str_from(line), err);

	ck_assert_msg(code == PD_OK, "%s", line);
	code = pd_config_apply(*config, &command, &next, err);
	pd_command_finish(&command);
	if (code)
		return code;
	ck_assert_uint_eq(next->version, (*config)->version + 1);
	pd_config_put(*config);
	*config = next;
	return PD_OK;
}

static void apply(struct pd_config **config, const char *line)
{
	struct pd_error err = {0};

	ck_assert_msg(try_apply(config, line, &err) == PD_OK, "%s: %s", line, err.text);
}

static void expect_rejected(struct pd_config **config, const char *line, enum pd_code code,
			    const char *text)
{
	struct pd_error err = {0};

	ck_assert_int_eq(try_apply(config, line, &err), code);
	ck_assert_str_eq(err.text, text);
	ck_assert_int_eq(err.layer, PD_LAYER_STATE);
}

static void assert_prints(const struct pd_config *config, const char *expected)
{
	struct pd_buf out = {0};

	pd_config_print(config, &out);
	ck_assert_str_eq(out.data ? out.data : "", expected);
	pd_buf_finish(&out);
}

/* Checks that all references and look-ups match each other. */
static void assert_consistent(const struct pd_config *c)
{
	uint32_t services = 0;
	uint32_t upstreams = 0;

	for (uint32_t i = 0; i < c->zone_count; i++)
		ck_assert_uint_eq(pd_config_find_zone(c, pd_name_str(&c->zones[i].name)), i);
	for (uint32_t i = 0; i < c->kind_count; i++)
		ck_assert_uint_eq(pd_config_find_kind(c, pd_name_str(&c->kinds[i].name)), i);
	for (uint32_t i = 0; i < c->collection_count; i++) {
		const struct pd_collection *collection = &c->collections[i];

		ck_assert_uint_eq(pd_config_find_collection(c, pd_name_str(&collection->name)), i);
		services += collection->service_count;
		for (uint32_t j = 0; j < collection->service_count; j++)
			ck_assert_uint_eq(c->services[collection->services[j]].collection, i);
	}
	for (uint32_t i = 0; i < c->service_count; i++) {
		const struct pd_service *service = &c->services[i];

		ck_assert_uint_eq(pd_config_find_service(c, pd_name_str(&service->name)), i);
		upstreams += service->upstream_count;
		for (uint32_t j = 0; j < service->upstream_count; j++)
			ck_assert_uint_eq(c->upstreams[service->upstreams[j]].service, i);
	}
	for (uint32_t i = 0; i < c->upstream_count; i++) {
		ck_assert_uint_eq(pd_config_find_upstream(c, pd_name_str(&c->upstreams[i].name)),
				  i);
		ck_assert_uint_lt(c->upstreams[i].zone, c->zone_count);
	}
	ck_assert_uint_eq(services, c->service_count);
	ck_assert_uint_eq(upstreams, c->upstream_count);
}

#define BASE                                                                                       \
	"create zone z1\ncreate zone z2\nset zone z2 out\n"                                        \
	"create kind k urgency urgent deadline 200ms\n"                                            \
	"create collection c buckets 1000\ncreate service s1 in c\ncreate service s2 in c\n"       \
	"create upstream u1 service s1 zone z1 address 127.0.0.1:1 slots 3 connections 60 "        \
	"connect 6ms\n"                                                                            \
	"create upstream u2 service s2 zone z2 address 127.0.0.1:2 slots 4 connections 200 "       \
	"connect 1ms\nset upstream u2 out\n"

static struct pd_config *base_config(void)
{
	struct pd_config *config;
	struct pd_error err = {0};

	ck_assert_msg(pd_config_from_text(PD_STR(BASE), 10, &config, &err) == PD_OK, "%s",
		      err.text);
	ck_assert_uint_eq(config->version, 10);
	assert_consistent(config);
	return config;
}

START_TEST(printed_configuration_equals_the_text_it_was_read_from)
{
	struct pd_config *config = base_config();

	assert_prints(config, BASE);
	ck_assert_uint_eq(config->upstreams[1].zone, pd_config_find_zone(config, PD_STR("z2")));
	ck_assert_int_eq(config->upstreams[0].connect_us, 6000);
	ck_assert(config->zones[1].out && config->upstreams[1].out);
	ck_assert_uint_eq(pd_config_find_service(config, PD_STR("s")), PD_CONFIG_NONE);
	ck_assert_uint_eq(pd_config_find_service(config, PD_STR("s11")), PD_CONFIG_NONE);
	pd_config_put(config);
}
END_TEST

START_TEST(invalid_changes_are_rejected_and_name_the_object)
{
	struct pd_config *c = base_config();

	expect_rejected(&c, "create zone z1", PD_CONFLICT, "zone \"z1\" exists already");
	expect_rejected(&c, "create service s3 in d", PD_NOT_FOUND,
			"collection \"d\" does not exist");
	expect_rejected(
		&c,
		"create upstream u3 service s1 zone z9 address 1.1.1.1:1 slots 1 connections 1 "
		"connect 0ms",
		PD_NOT_FOUND, "zone \"z9\" does not exist");
	expect_rejected(&c, "set zone z9 out", PD_NOT_FOUND, "zone \"z9\" does not exist");
	expect_rejected(&c, "set kind q urgency normal", PD_NOT_FOUND, "kind \"q\" does not exist");
	expect_rejected(&c, "delete upstream u9", PD_NOT_FOUND, "upstream \"u9\" does not exist");
	expect_rejected(&c, "delete collection c", PD_CONFLICT,
			"collection \"c\" is still referred to by service \"s1\"");
	expect_rejected(&c, "delete service s2", PD_CONFLICT,
			"service \"s2\" is still referred to by upstream \"u2\"");
	expect_rejected(&c, "delete zone z2", PD_CONFLICT,
			"zone \"z2\" is still referred to by upstream \"u2\"");
	expect_rejected(
		&c, "show zones", PD_INVALID,
		"the command does not change the configuration: expected create, set or delete");
	assert_prints(c, BASE);
	ck_assert_uint_eq(c->version, 10);
	pd_config_put(c);
}
END_TEST

START_TEST(references_stay_correct_after_deletions)
{
	struct pd_config *c = base_config();

	apply(&c, "delete upstream u1");
	apply(&c, "delete service s1");
	apply(&c, "delete zone z1");
	apply(&c, "delete kind k");
	assert_consistent(c);
	assert_prints(c, "create zone z2\nset zone z2 out\ncreate collection c buckets 1000\n"
			 "create service s2 in c\n"
			 "create upstream u2 service s2 zone z2 address 127.0.0.1:2 slots 4 "
			 "connections 200 connect 1ms\nset upstream u2 out\n");
	ck_assert_uint_eq(c->version, 14);
	pd_config_put(c);
}
END_TEST

START_TEST(set_is_idempotent_and_does_not_change_the_old_configuration)
{
	struct pd_config *original = base_config();
	struct pd_config *c = pd_config_get(original);
	struct pd_config *skipped;

	apply(&c, "set zone z2 out");
	apply(&c, "set zone z2 in");
	apply(&c, "set upstream u2 in");
	apply(&c, "set kind k urgency normal");
	apply(&c, "set kind k deadline 1s");
	ck_assert(!c->zones[1].out && !c->upstreams[1].out);
	ck_assert_int_eq(c->kinds[0].urgency, PD_NORMAL);
	ck_assert_int_eq(c->kinds[0].deadline_us, PD_USEC_PER_SEC);
	ck_assert_int_eq(pd_config_skip(c, &skipped, NULL), PD_OK);
	ck_assert_uint_eq(skipped->version, 16);
	assert_consistent(skipped);
	assert_prints(original, BASE);
	pd_config_put(skipped);
	pd_config_put(c);
	pd_config_put(original);
}
END_TEST

START_TEST(errors_in_a_text_name_the_line)
{
	struct pd_config *config;
	struct pd_error err;

	ck_assert_int_eq(
		pd_config_from_text(PD_STR("create zone z\n\ncreate zone z\n"), 1, &config, &err),
		PD_CONFLICT);
	ck_assert_str_eq(err.text, "line 3: zone \"z\" exists already");
	ck_assert_int_eq(pd_config_from_text(PD_STR("create zone"), 1, &config, &err), PD_INVALID);
	ck_assert_ptr_nonnull(
		strstr(err.text, "line 1: column 12: end of line: expected the name"));
}
END_TEST

static void random_change(gsl_rng *rng, char *line, size_t size)
{
	static const char *const types[] = {"zone", "collection", "service", "upstream", "kind"};
	static const char *const verbs[] = {"in", "out"};
	unsigned long a = gsl_rng_uniform_int(rng, 6);
	unsigned long b = gsl_rng_uniform_int(rng, 6);
	unsigned long d = gsl_rng_uniform_int(rng, 6);

	switch (gsl_rng_uniform_int(rng, 9)) {
	case 0:
		snprintf(line, size, "create zone n%lu", a);
		return;
	case 1:
		snprintf(line, size, "create collection n%lu buckets 10", a);
		return;
	case 2:
		snprintf(line, size, "create service n%lu in n%lu", a, b);
		return;
	case 3:
	case 4:
		snprintf(line, size,
			 "create upstream n%lu service n%lu zone n%lu address 1.1.1.1:1 slots 1 "
			 "connections 1 connect 1ms",
			 a, b, d);
		return;
	case 5:
		snprintf(line, size, "create kind n%lu urgency normal deadline 1s", a);
		return;
	case 6:
		snprintf(line, size, "set upstream n%lu %s", a, verbs[b % 2]);
		return;
	default:
		snprintf(line, size, "delete %s n%lu", types[b % 5], a);
	}
}

START_TEST(random_changes_keep_references_and_lookups_consistent)
{
	gsl_rng *rng = gsl_rng_alloc(gsl_rng_mt19937);
	struct pd_config *c = pd_config_new();
	struct pd_buf out = {0};
	unsigned int applied = 0;

	gsl_rng_set(rng, 99);
	for (int i = 0; i < 5000; i++) {
		struct pd_config *copy;
		struct pd_error err;
		char line[160];

		random_change(rng, line, sizeof(line));
		if (try_apply(&c, line, &err))
			continue;
		applied++;
		assert_consistent(c);
		pd_buf_clear(&out);
		pd_config_print(c, &out);
		ck_assert_int_eq(pd_config_from_text(pd_buf_str(&out), c->version, &copy, &err),
				 PD_OK);
		assert_consistent(copy);
		assert_prints(copy, out.data ? out.data : "");
		pd_config_put(copy);
	}
	ck_assert_uint_gt(applied, 500);
	pd_buf_finish(&out);
	pd_config_put(c);
	gsl_rng_free(rng);
}
END_TEST

static void print_planned_configuration(struct pd_buf *text)
{
	pd_buf_printf(text, "create zone z\ncreate collection c buckets 1000\n");
	for (int i = 0; i < PLANNED_SERVICES; i++)
		pd_buf_printf(text, "create service service-%d in c\n", i);
	for (int i = 0; i < PLANNED_UPSTREAMS; i++)
		pd_buf_printf(text,
			      "create upstream upstream-%d service service-%d zone z address "
			      "10.0.%d.%d:80 slots 3 connections 60 connect 6ms\n",
			      i, i % PLANNED_SERVICES, i / 256, i % 256);
}

/* The configuration of the planned size must fit into one object of the platform (1 MB). */
START_TEST(configuration_of_the_planned_size_is_read_and_consistent)
{
	struct pd_buf text = {0};
	struct pd_config *c;

	print_planned_configuration(&text);
	ck_assert_uint_lt(text.len, 1000000);
	ck_assert_int_eq(pd_config_from_text(pd_buf_str(&text), 1, &c, NULL), PD_OK);
	assert_consistent(c);
	apply(&c, "set upstream upstream-5899 out");
	apply(&c, "delete upstream upstream-0");
	assert_consistent(c);
	ck_assert_uint_eq(c->upstream_count, PLANNED_UPSTREAMS - 1);
	pd_config_put(c);
	pd_buf_finish(&text);
}
END_TEST

START_TEST(holder_rejects_versions_that_are_not_newer)
{
	struct pd_config_holder holder;
	struct pd_config *first;
	struct pd_config *config;

	ck_assert_int_eq(pd_config_holder_init(&holder, NULL), PD_OK);
	first = pd_config_holder_read(&holder);
	ck_assert_uint_eq(first->version, 0);
	ck_assert(pd_config_holder_advance(&holder, base_config()));
	ck_assert(!pd_config_holder_advance(&holder, base_config()));
	ck_assert(!pd_config_holder_advance(&holder, pd_config_new()));
	config = pd_config_holder_read(&holder);
	ck_assert_uint_eq(config->version, 10);
	ck_assert_uint_eq(first->zone_count, 0);
	pd_config_put(first);
	pd_config_put(config);
	pd_config_holder_finish(&holder);
}
END_TEST

static void *read_repeatedly(void *arg)
{
	uint64_t last = 0;

	for (int i = 0; i < 2000; i++) {
		struct pd_config *config = pd_config_holder_read(arg);

		if (config->version < last || config->zone_count != config->version)
			return arg;
		last = config->version;
		pd_config_put(config);
	}
	return NULL;
}

START_TEST(concurrent_readers_see_complete_versions_in_order)
{
	struct pd_config_holder holder;
	pthread_t readers[4];

	ck_assert_int_eq(pd_config_holder_init(&holder, NULL), PD_OK);
	for (int i = 0; i < 4; i++)
		ck_assert_int_eq(pthread_create(&readers[i], NULL, read_repeatedly, &holder), 0);
	for (int i = 0; i < 200; i++) {
		struct pd_config *c = pd_config_holder_read(&holder);
		char line[32];

		snprintf(line, sizeof(line), "create zone z%d", i);
		apply(&c, line);
		ck_assert(pd_config_holder_advance(&holder, c));
	}
	for (int i = 0; i < 4; i++) {
		void *failure;

		pthread_join(readers[i], &failure);
		ck_assert_ptr_null(failure);
	}
	pd_config_holder_finish(&holder);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("config");
	TCase *tcase = tcase_create("config");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_set_timeout(tcase, 60);
	tcase_add_test(tcase, printed_configuration_equals_the_text_it_was_read_from);
	tcase_add_test(tcase, invalid_changes_are_rejected_and_name_the_object);
	tcase_add_test(tcase, references_stay_correct_after_deletions);
	tcase_add_test(tcase, set_is_idempotent_and_does_not_change_the_old_configuration);
	tcase_add_test(tcase, errors_in_a_text_name_the_line);
	tcase_add_test(tcase, random_changes_keep_references_and_lookups_consistent);
	tcase_add_test(tcase, configuration_of_the_planned_size_is_read_and_consistent);
	tcase_add_test(tcase, holder_rejects_versions_that_are_not_newer);
	tcase_add_test(tcase, concurrent_readers_see_complete_versions_in_order);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
