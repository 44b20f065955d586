/**
 * DOC: Tests of the log of changes that a directory keeps for its followers
 */
#include <arpa/inet.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "directory.h"
#include "suite.h"

#define CONFIG_TEXT "{\"version\":%u,\"services\":[{\"name\":\"s\"}],\"routes\":[]}"

static struct pd_registry registry;
static struct pd_directory directory;

static void setup(void)
{
	struct pd_registry_options options = {.retry_ratio = 0.2, .retry_slack = 100};

	ck_assert(pd_name_set(&options.zone, PD_STR("here")));
	pd_registry_init(&registry, &options);
	pd_directory_init(&directory, &registry);
	pd_directory_adjust_followers(&directory, 1);
}

static void teardown(void)
{
	pd_directory_finish(&directory);
	pd_registry_finish(&registry);
}

static void put_config(unsigned int version)
{
	struct pd_error err;
	char text[128];

	snprintf(text, sizeof(text), CONFIG_TEXT, version);
	ck_assert_int_eq(pd_directory_put_config_text(&directory, pd_str_from(text), 0, &err),
			 PD_OK);
}

static void put_upstream(const char *id, bool draining)
{
	struct pd_upstream_entry entry = {.slots = 3, .started_unix_ms = 1, .draining = draining};

	ck_assert(pd_name_set(&entry.id, pd_str_from(id)));
	ck_assert(pd_name_set(&entry.service, PD_STR("s")));
	ck_assert(pd_name_set(&entry.zone, PD_STR("here")));
	entry.address.in = (struct sockaddr_in){.sin_family = AF_INET, .sin_port = htons(9)};
	snprintf(entry.address.text, sizeof(entry.address.text), "127.0.0.1:9");
	pd_directory_put_upstream(&directory, &entry);
}

/* Appends a description of a message to @out: its kind, and what the tests compare. */
static void describe(const struct pd_feed_message *msg, struct pd_buf *out)
{
	switch (msg->kind) {
	case PD_FEED_CONFIG: {
		json_t *spec = json_loadb(msg->config.text.data, msg->config.text.len, 0, NULL);

		pd_buf_printf(out, "config:%" JSON_INTEGER_FORMAT " ",
			      json_integer_value(json_object_get(spec, "version")));
		json_decref(spec);
		break;
	}
	case PD_FEED_UPSTREAM:
		pd_buf_printf(out, "%s:%s ", msg->upstream.id.text,
			      msg->upstream.draining ? "draining" : "ready");
		break;
	case PD_FEED_EVACUATIONS:
		pd_buf_printf(out, "evacuated:%zu ", msg->evacuations.count);
		break;
	case PD_FEED_LIST_BEGIN:
		pd_buf_printf(out, "begin ");
		break;
	case PD_FEED_LIST_END:
		pd_buf_printf(out, "end ");
		break;
	default:
		break;
	}
}

/* Returns a description of all messages in @frames but heartbeats. */
static const char *describe_frames(const struct pd_buf *frames)
{
	static struct pd_buf out;
	size_t at = 0;

	pd_buf_clear(&out);
	while (at < frames->len) {
		struct pd_feed_message msg;
		struct pd_error err;
		uint32_t len;

		memcpy(&len, frames->data + at, sizeof(len));
		len = ntohl(len);
		at += sizeof(len);
		ck_assert_int_eq(
			pd_feed_message_decode((struct pd_str){frames->data + at, len}, &msg, &err),
			PD_OK);
		describe(&msg, &out);
		pd_feed_message_finish(&msg);
		at += len;
	}
	return out.len ? out.data : "";
}

/* Returns a description of the changes since @from, and advances it; "" if there are none. */
static const char *next_changes(uint64_t *from)
{
	struct pd_buf out = {0};
	const char *described;

	ck_assert(pd_directory_wait_for_changes(&directory, from, 0, &out));
	described = describe_frames(&out);
	pd_buf_finish(&out);
	return described;
}

START_TEST(superseded_configurations_are_not_sent)
{
	/* Guards against versions that come into force late because all older ones are sent first.
	 */
	struct pd_name zones[2] = {{.text = "one", .len = 3}, {.text = "two", .len = 3}};
	struct pd_buf out = {0};
	uint64_t slow = pd_directory_snapshot(&directory, &out), fast = slow;

	pd_buf_finish(&out);
	put_config(1);
	ck_assert_str_eq(next_changes(&fast), "config:1 ");
	for (unsigned int version = 2; version < 60; version++)
		put_config(version);
	pd_directory_set_evacuated(&directory, zones, 1);
	pd_directory_set_evacuated(&directory, zones, 2);
	put_config(60);
	ck_assert_str_eq(next_changes(&slow), "evacuated:2 config:60 ");
	ck_assert_str_eq(next_changes(&fast), "evacuated:2 config:60 ");
	ck_assert_str_eq(next_changes(&slow), "");
}
END_TEST

START_TEST(changes_of_upstreams_are_all_sent_in_order)
{
	/* Guards against a follower that removes an upstream because its entry is missing in a list
	 * that was sent, although it was sent again after the list.
	 */
	uint64_t from = 0;

	pd_directory_list_begin(&directory);
	put_upstream("a", false);
	put_upstream("b", false);
	pd_directory_list_end(&directory);
	put_upstream("a", true);
	put_config(1);
	put_upstream("a", false);
	put_config(2);
	ck_assert_str_eq(next_changes(&from),
			 "begin a:ready b:ready end a:draining a:ready config:2 ");
}
END_TEST

START_TEST(follower_behind_the_log_gets_the_newest_state)
{
	/* Guards against followers that keep an old state when more changes were made than the log
	 * holds, and against versions that are lost when their place in the log is used again.
	 */
	struct pd_buf out = {0};
	uint64_t from = 0, next;

	put_config(1);
	pd_directory_list_begin(&directory);
	put_upstream("a", false);
	pd_directory_list_end(&directory);
	for (int i = 0; i < PD_DIRECTORY_LOG_SIZE; i++)
		put_upstream("a", i % 2);
	ck_assert(!pd_directory_wait_for_changes(&directory, &from, 0, &out));
	pd_buf_finish(&out);
	next = pd_directory_snapshot(&directory, &out);
	ck_assert_str_eq(describe_frames(&out), "config:1 evacuated:0 begin a:draining end ");
	pd_buf_finish(&out);
	/* Version 1 is no longer in the log; the change at its place must not be removed. */
	put_config(2);
	put_upstream("a", false);
	put_config(3);
	ck_assert_str_eq(next_changes(&next), "a:ready config:3 ");
}
END_TEST

START_TEST(invalid_configuration_changes_nothing)
{
	/* Guards against an invalid configuration that replaces the current one or is sent on. */
	struct pd_error err;
	uint64_t from = 0;

	put_config(5);
	ck_assert_int_eq(
		pd_directory_put_config_text(&directory, PD_STR("{\"version\":6}"), 0, &err),
		PD_INVALID);
	ck_assert_int_eq(pd_directory_put_config_text(&directory, PD_STR("nonsense"), 0, &err),
			 PD_INVALID);
	put_config(4);
	ck_assert_str_eq(next_changes(&from), "config:5 ");
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		superseded_configurations_are_not_sent,
		changes_of_upstreams_are_all_sent_in_order,
		follower_behind_the_log_gets_the_newest_state,
		invalid_configuration_changes_nothing,
	};

	return suite_run_with("directory", setup, teardown, tests,
			      sizeof(tests) / sizeof(tests[0]));
}
