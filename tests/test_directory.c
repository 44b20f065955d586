/**
 * DOC: Tests of the log of changes that a directory keeps for its followers
 */
#include <arpa/inet.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "directory.h"
#include "feed_apply.h"
#include "feed_batch.h"
#include "feed_frames.h"
#include "feed_reader.h"
#include "os.h"
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

/* Sets the number of evacuated zones, as read at a revision of the store. */
static void set_evacuated(size_t count, uint64_t revision)
{
	struct pd_name zones[2] = {{.text = "one", .len = 3}, {.text = "two", .len = 3}};

	pd_directory_set_evacuated(&directory, zones, count, (struct pd_revision){1, revision});
}

static void put_upstream(const char *id, bool draining)
{
	struct pd_upstream_entry entry = {.slots = 3, .started_unix_ms = 1, .draining = draining};

	ck_assert(pd_name_set(&entry.id, pd_str_from(id)));
	ck_assert(pd_name_set(&entry.service, PD_STR("s")));
	ck_assert(pd_name_set(&entry.zone, PD_STR("here")));
	entry.address.in = (struct sockaddr_in){.sin_family = AF_INET, .sin_port = htons(9)};
	snprintf(entry.address.text, sizeof(entry.address.text), "127.0.0.1:9");
	pd_directory_put_upstream(&directory, &entry, (struct pd_revision){1, 5});
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
	case PD_FEED_PROGRESS:
		pd_buf_printf(out, "progress:%" PRIu64 " ", msg->at.number);
		break;
	default:
		break;
	}
}

static void describe_all(const struct pd_buf *frames, struct pd_buf *out);

static void describe_batch(const struct pd_feed_message *msg, struct pd_buf *out)
{
	struct pd_buf frames = {0};
	struct pd_error err;

	ck_assert_int_eq(pd_feed_batch_decode(msg, &frames, &err), PD_OK);
	pd_buf_printf(out, "( ");
	describe_all(&frames, out);
	pd_buf_printf(out, ") ");
	pd_buf_finish(&frames);
}

/* Appends a description of all messages in @frames but heartbeats. */
static void describe_all(const struct pd_buf *frames, struct pd_buf *out)
{
	struct pd_feed_message msg;
	size_t at = 0;

	while (feed_frames_next(frames, &at, &msg)) {
		if (msg.kind == PD_FEED_BATCH)
			describe_batch(&msg, out);
		else
			describe(&msg, out);
		pd_feed_message_finish(&msg);
	}
}

static const char *describe_frames(const struct pd_buf *frames)
{
	static struct pd_buf out;

	pd_buf_clear(&out);
	describe_all(frames, &out);
	return out.len ? out.data : "";
}

/* Describes the heartbeat that is the only message in @frames. */
static const char *describe_heartbeat(const struct pd_buf *frames)
{
	struct pd_feed_message msg;
	size_t at = 0;
	bool reachable;

	ck_assert(feed_frames_next(frames, &at, &msg));
	ck_assert_int_eq(msg.kind, PD_FEED_HEARTBEAT);
	reachable = msg.heartbeat.store_reachable;
	pd_feed_message_finish(&msg);
	return reachable ? "reachable" : "unreachable";
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
	struct pd_buf out = {0};
	uint64_t slow = pd_directory_snapshot(&directory, &out), fast = slow;

	pd_buf_finish(&out);
	put_config(1);
	ck_assert_str_eq(next_changes(&fast), "config:1 ");
	for (unsigned int version = 2; version < 60; version++)
		put_config(version);
	set_evacuated(1, 1);
	set_evacuated(2, 2);
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

	uint64_t list = pd_directory_list_begin(&directory, (struct pd_revision){1, 5});
	put_upstream("a", false);
	put_upstream("b", false);
	pd_directory_list_end(&directory, list, (struct pd_revision){1, 5});
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
	set_evacuated(0, 1);
	uint64_t list = pd_directory_list_begin(&directory, (struct pd_revision){1, 5});
	put_upstream("a", false);
	pd_directory_list_end(&directory, list, (struct pd_revision){1, 5});
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

static void apply_frames(struct pd_directory *follower, struct pd_feed_lists *lists,
			 const struct pd_buf *frames)
{
	struct pd_feed_message msg;
	struct pd_error err;
	size_t at = 0;

	while (feed_frames_next(frames, &at, &msg)) {
		struct pd_buf batch = {0};

		if (msg.kind == PD_FEED_BATCH) {
			ck_assert_int_eq(pd_feed_batch_decode(&msg, &batch, &err), PD_OK);
			apply_frames(follower, lists, &batch);
			pd_buf_finish(&batch);
		} else {
			pd_feed_apply(follower, lists, &msg);
		}
		pd_feed_message_finish(&msg);
	}
}

START_TEST(follower_behind_the_log_ends_the_lists_that_it_began)
{
	/* Guards against a follower that never again removes an upstream which is missing in a
	 * list: it fell behind the log after the beginning of a list, whose end it never got.
	 */
	struct pd_registry_options options = {.retry_ratio = 0.2, .retry_slack = 100};
	struct pd_feed_lists lists = {0};
	struct pd_registry own_registry;
	struct pd_directory follower;
	struct pd_buf out = {0};
	uint64_t from = 0, list;

	ck_assert(pd_name_set(&options.zone, PD_STR("here")));
	pd_registry_init(&own_registry, &options);
	pd_directory_init(&follower, &own_registry);
	list = pd_directory_list_begin(&directory, (struct pd_revision){1, 5});
	put_upstream("a", false);
	put_upstream("b", false);
	ck_assert(pd_directory_wait_for_changes(&directory, &from, 0, &out));
	apply_frames(&follower, &lists, &out);
	pd_buf_finish(&out);
	for (int i = 0; i < PD_DIRECTORY_LOG_SIZE; i++)
		put_upstream("a", i % 2);
	pd_directory_list_end(&directory, list, (struct pd_revision){1, 5});
	ck_assert(!pd_directory_wait_for_changes(&directory, &from, 0, &out));
	from = pd_directory_snapshot(&directory, &out);
	apply_frames(&follower, &lists, &out);
	pd_buf_finish(&out);
	ck_assert_uint_eq(HASH_COUNT(own_registry.upstreams), 2);

	list = pd_directory_list_begin(&directory, (struct pd_revision){1, 6});
	put_upstream("a", false);
	pd_directory_list_end(&directory, list, (struct pd_revision){1, 6});
	ck_assert(pd_directory_wait_for_changes(&directory, &from, 0, &out));
	apply_frames(&follower, &lists, &out);
	pd_buf_finish(&out);
	ck_assert_uint_eq(HASH_COUNT(own_registry.upstreams), 1);
	pd_directory_finish(&follower);
	pd_registry_finish(&own_registry);
}
END_TEST

START_TEST(followers_learn_how_recent_a_list_is)
{
	/* Guards against followers that take an older list for a newer one, and against an upstream
	 * that a follower adds from its own stale list after it has left.
	 */
	struct pd_buf out = {0};
	uint64_t from = directory.next_change, list;

	list = pd_directory_list_begin(&directory, (struct pd_revision){1, 5});
	put_upstream("a", false);
	pd_directory_list_end(&directory, list, (struct pd_revision){1, 5});
	pd_directory_advance(&directory, list, (struct pd_revision){1, 8});
	pd_directory_advance(&directory, list, (struct pd_revision){1, 7});
	ck_assert_str_eq(next_changes(&from), "begin a:ready end progress:8 ");
	/* This one is read at revision 5. */
	put_upstream("b", false);
	ck_assert_str_eq(next_changes(&from), "");
	list = pd_directory_list_begin(&directory, (struct pd_revision){1, 6});
	put_upstream("a", false);
	pd_directory_list_end(&directory, list, (struct pd_revision){1, 6});
	ck_assert_uint_eq(directory.upstreams_at.number, 8);
	pd_directory_snapshot(&directory, &out);
	ck_assert_str_eq(describe_frames(&out), "begin a:ready end ");
	pd_buf_finish(&out);
}
END_TEST

START_TEST(unknown_evacuations_are_not_sent)
{
	/* Guards against requests to an evacuated zone: an instance that had just started told its
	 * followers that no zone is evacuated, and that it reaches the store, before it had read
	 * anything.
	 */
	struct pd_buf out = {0};

	pd_directory_snapshot(&directory, &out);
	ck_assert_str_eq(describe_frames(&out), "");
	pd_buf_finish(&out);
	pd_directory_heartbeat(&directory, &out);
	ck_assert_str_eq(describe_heartbeat(&out), "unreachable");
	pd_buf_finish(&out);
	ck_assert(!pd_directory_knows_evacuated(&directory));
	set_evacuated(1, 5);
	ck_assert(pd_directory_knows_evacuated(&directory));
	pd_directory_snapshot(&directory, &out);
	ck_assert_str_eq(describe_frames(&out), "evacuated:1 ");
	pd_buf_finish(&out);
	pd_directory_set_store_reachable(&directory, true, 0);
	pd_directory_heartbeat(&directory, &out);
	ck_assert_str_eq(describe_heartbeat(&out), "reachable");
	pd_buf_finish(&out);
}
END_TEST

START_TEST(older_evacuations_are_ignored)
{
	/* Guards against requests to an evacuated zone: the first list of an instance that has just
	 * started may be seconds old, and its followers took it for the newest one.
	 */
	struct pd_name zone = {.text = "one", .len = 3};
	uint64_t from = directory.next_change;

	set_evacuated(1, 7);
	set_evacuated(0, 6);
	pd_directory_set_evacuated(&directory, &zone, 0, (struct pd_revision){0, 0});
	ck_assert_uint_eq(directory.evacuated_count, 1);
	ck_assert_str_eq(next_changes(&from), "evacuated:1 ");
	/* The store was restored from a copy, in which the zone isn't evacuated. */
	pd_directory_set_evacuated(&directory, &zone, 0, (struct pd_revision){2, 4});
	ck_assert_str_eq(next_changes(&from), "evacuated:0 ");
	/* A stale read may still return the earlier history. */
	set_evacuated(1, 9);
	ck_assert_uint_eq(directory.evacuated_count, 0);
}
END_TEST

/* Returns a configuration as large as the largest that operators have today; the caller frees it.
 */
static char *make_large_config(unsigned int version)
{
	json_t *services = json_array();
	json_t *spec;
	char *text;

	for (unsigned int i = 0; i < 300; i++) {
		char name[32];

		snprintf(name, sizeof(name), "service-%08x", i * 2654435761U);
		json_array_append_new(services,
				      json_pack("{s:s,s:s,s:i}", "name", name, "health_check_path",
						"/health", "max_connections", 60));
	}
	spec = json_pack("{s:i,s:o,s:[]}", "version", version, "services", services, "routes");
	text = json_dumps(spec, JSON_COMPACT);
	json_decref(spec);
	return text;
}

static void put_large_config(unsigned int version)
{
	char *text = make_large_config(version);
	struct pd_error err;

	ck_assert_int_eq(pd_directory_put_config_text(&directory, pd_str_from(text), 0, &err),
			 PD_OK);
	free(text);
}

START_TEST(large_messages_are_compressed)
{
	/* Guards against slow links that carry large configurations in full. */
	char *text = make_large_config(7);
	size_t len = strlen(text);
	struct pd_buf out = {0};
	uint64_t from = 0;

	set_evacuated(0, 1);
	put_large_config(7);
	ck_assert(pd_directory_wait_for_changes(&directory, &from, 0, &out));
	ck_assert_str_eq(describe_frames(&out), "evacuated:0 ( config:7 ) ");
	ck_assert_uint_lt(out.len, len / 4);
	pd_buf_finish(&out);
	pd_directory_snapshot(&directory, &out);
	ck_assert_str_eq(describe_frames(&out), "( config:7 evacuated:0 ) ");
	pd_buf_finish(&out);
	free(text);
}
END_TEST

START_TEST(snapshot_is_shared_until_an_upstream_changes)
{
	/* Guards against followers that join together and each cost an encoding, and against a
	 * shared snapshot that takes back a change of an upstream or hides a newer version.
	 */
	struct pd_buf out = {0};
	uint64_t next;
	const char *data;

	put_large_config(1);
	set_evacuated(0, 1);
	uint64_t list = pd_directory_list_begin(&directory, (struct pd_revision){1, 5});
	put_upstream("a", false);
	pd_directory_list_end(&directory, list, (struct pd_revision){1, 5});
	pd_directory_snapshot(&directory, &out);
	pd_buf_finish(&out);
	data = directory.snapshot.frames.data;
	put_large_config(2);
	next = pd_directory_snapshot(&directory, &out);
	ck_assert_ptr_eq(directory.snapshot.frames.data, data);
	ck_assert_str_eq(describe_frames(&out), "( config:1 evacuated:0 begin a:ready end ) ");
	pd_buf_finish(&out);
	ck_assert_str_eq(next_changes(&next), "( config:2 ) ");
	put_upstream("a", true);
	next = pd_directory_snapshot(&directory, &out);
	ck_assert_str_eq(describe_frames(&out), "( config:2 evacuated:0 begin a:draining end ) ");
	pd_buf_finish(&out);
	ck_assert_str_eq(next_changes(&next), "");
	/* Changes without any follower aren't encoded, so a snapshot from before them is useless.
	 */
	pd_directory_adjust_followers(&directory, -1);
	put_large_config(3);
	pd_directory_adjust_followers(&directory, 1);
	next = pd_directory_snapshot(&directory, &out);
	ck_assert_str_eq(describe_frames(&out), "( config:3 evacuated:0 begin a:draining end ) ");
	pd_buf_finish(&out);
	ck_assert_str_eq(next_changes(&next), "");
}
END_TEST

START_TEST(reader_returns_messages_of_batches)
{
	/* Guards against messages that are lost, repeated or read from beyond a malformed batch. */
	struct pd_feed_message msg;
	struct pd_feed_reader reader;
	struct pd_buf out = {0}, inner = {0}, nested = {0};
	struct pd_error err;
	char described[64] = "";
	int fds[2];

	put_large_config(1);
	set_evacuated(0, 1);
	pd_directory_snapshot(&directory, &out);
	pd_directory_heartbeat(&directory, &out);
	pd_feed_batch_encode(PD_STR("\0\0\1\0x"), &out);
	ck_assert_int_eq(socketpair(AF_UNIX, SOCK_STREAM, 0, fds), 0);
	ck_assert_int_eq(pd_os_write_full(fds[1], out.data, out.len, &err), PD_OK);
	pd_feed_reader_init(&reader, fds[0]);
	for (int i = 0; i < 3; i++) {
		size_t len = strlen(described);

		ck_assert_int_eq(pd_feed_reader_next(&reader, &msg, &err), PD_OK);
		snprintf(described + len, sizeof(described) - len, "%d ", (int)msg.kind);
		pd_feed_message_finish(&msg);
	}
	ck_assert_str_eq(described, "6 7 8 ");
	ck_assert(pd_feed_reader_has_more(&reader));
	ck_assert_int_eq(pd_feed_reader_next(&reader, &msg, &err), PD_INVALID);
	pd_feed_reader_finish(&reader);
	/* A batch in a batch could expand without limit. */
	pd_feed_batch_encode(PD_STR("abc"), &inner);
	pd_feed_batch_encode(pd_buf_str(&inner), &nested);
	ck_assert_int_eq(pd_os_write_full(fds[1], nested.data, nested.len, &err), PD_OK);
	pd_feed_reader_init(&reader, fds[0]);
	ck_assert_int_eq(pd_feed_reader_next(&reader, &msg, &err), PD_INVALID);
	pd_feed_reader_finish(&reader);
	pd_buf_finish(&out);
	pd_buf_finish(&inner);
	pd_buf_finish(&nested);
	close(fds[0]);
	close(fds[1]);
}
END_TEST

START_TEST(malformed_batches_are_rejected)
{
	/* Guards against a stated size that isn't that of the contents, or that exhausts memory. */
	struct pd_feed_message msg = {.kind = PD_FEED_BATCH};
	struct pd_buf frames = {0};
	struct pd_error err;

	msg.batch.data = PD_STR("not compressed");
	msg.batch.decoded_bytes = 100;
	ck_assert_int_eq(pd_feed_batch_decode(&msg, &frames, &err), PD_INVALID);
	msg.batch.decoded_bytes = PD_FEED_BATCH_MAX_BYTES + 1;
	ck_assert_int_eq(pd_feed_batch_decode(&msg, &frames, &err), PD_TOO_LARGE);
	ck_assert_uint_eq(frames.len, 0);
}
END_TEST

/**
 * struct writer - thread that puts one configuration
 * @version: its version
 * @start: barrier at which the writers start together
 */
struct writer {
	unsigned int version;
	pthread_barrier_t *start;
};

static void *run_writer(void *arg)
{
	struct writer *writer = arg;

	pthread_barrier_wait(writer->start);
	put_config(writer->version);
	return NULL;
}

START_TEST(newest_of_concurrent_configurations_stays)
{
	/* Guards against an older version that is stored after a newer one was installed, when the
	 * store and a source both send configurations: followers would only get the older one.
	 */
	for (unsigned int round = 0; round < 1000; round++) {
		pthread_barrier_t start;
		struct writer writers[2] = {{1, &start}, {2, &start}};
		struct pd_buf out = {0};
		pthread_t threads[2];

		set_evacuated(0, 1);
		pthread_barrier_init(&start, NULL, 2);
		for (int i = 0; i < 2; i++)
			ck_assert_int_eq(pthread_create(&threads[i], NULL, run_writer, &writers[i]),
					 0);
		for (int i = 0; i < 2; i++)
			pthread_join(threads[i], NULL);
		pthread_barrier_destroy(&start);
		pd_directory_snapshot(&directory, &out);
		ck_assert_str_eq(describe_frames(&out), "config:2 evacuated:0 ");
		pd_buf_finish(&out);
		teardown();
		setup();
	}
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
		follower_behind_the_log_ends_the_lists_that_it_began,
		followers_learn_how_recent_a_list_is,
		unknown_evacuations_are_not_sent,
		older_evacuations_are_ignored,
		newest_of_concurrent_configurations_stays,
		invalid_configuration_changes_nothing,
		large_messages_are_compressed,
		snapshot_is_shared_until_an_upstream_changes,
		reader_returns_messages_of_batches,
		malformed_batches_are_rejected,
	};

	return suite_run_with("directory", setup, teardown, tests,
			      sizeof(tests) / sizeof(tests[0]));
}
