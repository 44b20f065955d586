#include "feed.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "counters.h"
#include "feed_reader.h"
#include "log.h"
#include "membership.h"

#define HELLO_TIMEOUT_US (1000 * PD_USEC_PER_MSEC)
/* A follower of an instance that has just started waits this long for its first heartbeat, which
 * must come before the follower's timeout of one second.
 */
#define STORE_STATE_WAIT_US (750 * PD_USEC_PER_MSEC)
/* A follower that receives no data for this long is disconnected. */
#define SEND_TIMEOUT_US (2000 * PD_USEC_PER_MSEC)
/* A write that takes longer is logged: the link to the follower or the follower is slow. */
#define SLOW_WRITE_US (1000 * PD_USEC_PER_MSEC)
/* Bytes that wait in the system for a slow link can't be superseded any more. */
#define UNSENT_MAX_BYTES (16 * 1024)
#define FOLLOWERS_MAX	 256 /* a zone of the largest deployment has about 100 instances */

void pd_feed_init(struct pd_feed *feed, struct pd_directory *directory, const struct pd_name *name,
		  const struct pd_address *address)
{
	memset(feed, 0, sizeof(*feed));
	feed->directory = directory;
	feed->name = *name;
	feed->address = *address;
	feed->listener = -1;
}

/**
 * struct follower - argument of the thread that serves a follower
 * @feed: feed that the follower receives
 * @fd: connection to the follower
 */
struct follower {
	struct pd_feed *feed;
	int fd;
};

/* Reads the name of a follower from its first message; false if that is missing or invalid. */
static bool read_hello(int fd, struct pd_name *name)
{
	struct pd_feed_message msg = {.kind = PD_FEED_HEARTBEAT};
	struct pd_feed_reader reader;
	struct pd_error err;
	bool valid;

	pd_os_set_io_timeout(fd, HELLO_TIMEOUT_US);
	pd_feed_reader_init(&reader, fd);
	valid = pd_feed_reader_next(&reader, &msg, &err) == PD_OK;
	if (valid) {
		*name = msg.hello;
		valid = msg.kind == PD_FEED_HELLO;
		pd_feed_message_finish(&msg);
	} else {
		pd_log_failure(PD_LOG_WARNING, "follower_rejected", &err);
	}
	pd_feed_reader_finish(&reader);
	return valid;
}

/* Whether an instance may follow this one. One that doesn't rank after it means another instance,
 * which had this one's address before: the two could follow each other, and neither would watch the
 * store.
 */
static bool may_follow(const struct pd_feed *feed, const struct pd_name *name)
{
	if (pd_membership_ranks_before(&feed->name, name))
		return true;
	pd_log(PD_LOG_WARNING, "follower_refused", "instance=%s reason=rank", name->text);
	return false;
}

static enum pd_code write_updates(int fd, const struct pd_buf *out, const struct pd_name *follower,
				  struct pd_error *err)
{
	int64_t start = pd_os_boot_us(), took;
	enum pd_code code = pd_os_write_full(fd, out->data, out->len, err);

	took = pd_os_boot_us() - start;
	pd_count_add(PD_COUNT_feed_bytes_out, out->len);
	if (took > SLOW_WRITE_US) {
		pd_count(PD_COUNT_feed_slow_writes);
		pd_log(PD_LOG_WARNING, "follower_slow",
		       "instance=%s bytes=%zu write_ms=%" PRId64 " code=%s", follower->text,
		       out->len, took / PD_USEC_PER_MSEC, pd_strerror(code));
	}
	return code;
}

/* Sends a heartbeat, a snapshot and then changes, until the connection fails. The heartbeat comes
 * first, because a follower must know whether the snapshot may be outdated before it applies it.
 */
static void send_updates(struct pd_directory *directory, int fd, const struct pd_name *name,
			 struct pd_error *err)
{
	struct pd_buf out = {0};
	uint64_t from;

	pd_directory_wait_for_store_state(directory, STORE_STATE_WAIT_US);
	pd_directory_heartbeat(directory, &out);
	from = pd_directory_snapshot(directory, &out);

	while (!out.failed && write_updates(fd, &out, name, err) == PD_OK) {
		pd_buf_finish(&out);
		if (!pd_directory_wait_for_changes(directory, &from, PD_FEED_HEARTBEAT_INTERVAL_US,
						   &out))
			from = pd_directory_snapshot(directory, &out);
	}
	pd_buf_finish(&out);
}

static void *run_follower(void *arg)
{
	struct follower follower = *(struct follower *)arg;
	struct pd_directory *directory = follower.feed->directory;
	struct pd_error err = {0};
	struct pd_name name;

	free(arg);
	if (read_hello(follower.fd, &name) && may_follow(follower.feed, &name)) {
		pd_os_set_io_timeout(follower.fd, SEND_TIMEOUT_US);
		pd_os_set_unsent_max(follower.fd, UNSENT_MAX_BYTES);
		pd_log(PD_LOG_INFO, "follower_joined", "instance=%s", name.text);
		pd_directory_adjust_followers(directory, 1);
		send_updates(directory, follower.fd, &name, &err);
		pd_directory_adjust_followers(directory, -1);
		pd_log(PD_LOG_INFO, "follower_left", "instance=%s code=%s", name.text,
		       pd_strerror(err.code));
	}
	pd_os_close(&follower.fd);
	return NULL;
}

static void start_follower(struct pd_feed *feed, int fd)
{
	struct follower *follower = malloc(sizeof(*follower));
	struct pd_error err;
	pthread_t thread;

	if (follower && pd_directory_adjust_followers(feed->directory, 0) < FOLLOWERS_MAX) {
		*follower = (struct follower){.feed = feed, .fd = fd};
		if (pd_os_thread_start(&thread, "follower", run_follower, follower, &err) ==
		    PD_OK) {
			pthread_detach(thread);
			return;
		}
		pd_log_failure(PD_LOG_ERROR, "follower_refused", &err);
	} else {
		pd_log(PD_LOG_WARNING, "follower_refused", "limit=%d", FOLLOWERS_MAX);
	}
	free(follower);
	pd_os_close(&fd);
}

static void *run_listener(void *arg)
{
	struct pd_feed *feed = arg;
	struct pd_error err;
	int fd;

	while (pd_os_accept(feed->listener, &fd, &err) == PD_OK)
		start_follower(feed, fd);
	pd_log_failure(PD_LOG_ERROR, "feed_ended", &err);
	return NULL;
}

enum pd_code pd_feed_start(struct pd_feed *feed, struct pd_error *err)
{
	enum pd_code code = pd_os_listen(&feed->address, &feed->listener, err);

	if (code != PD_OK)
		return pd_error_wrap(err, PD_LAYER_COORDINATION, code, "feed");
	return pd_os_thread_start(&feed->thread, "feed", run_listener, feed, err);
}
