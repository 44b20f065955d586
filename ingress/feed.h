/**
 * DOC: Feed: sends the directory and its changes to the instances that follow this one
 *
 * Each follower is served by a thread of its own.
 */
#ifndef PD_FEED_H
#define PD_FEED_H

#include <pthread.h>

#include "directory.h"
#include "error.h"
#include "os.h"

/* Interval of heartbeats while there are no changes. */
#define PD_FEED_HEARTBEAT_INTERVAL_US (300 * PD_USEC_PER_MSEC)

/**
 * struct pd_feed - server for followers
 * @directory: directory that is sent
 * @address: address on which followers connect
 * @listener: listening socket; -1 before the start
 * @thread: thread that accepts connections
 */
struct pd_feed {
	struct pd_directory *directory;
	struct pd_address address;
	int listener;
	pthread_t thread;
};

void pd_feed_init(struct pd_feed *feed, struct pd_directory *directory,
		  const struct pd_address *address);
enum pd_code pd_feed_start(struct pd_feed *feed, struct pd_error *err);

/**
 * pd_feed_read() - reads one message from a connection between instances
 * @fd: blocking socket with a receive timeout
 * @buffer: receives the frame, to which @msg refers
 * @msg: decoded message; on success, the caller must call pd_feed_message_finish()
 * @err: filled on failure
 *
 * Return: PD_OK, PD_CLOSED, PD_TIMEOUT, PD_TOO_LARGE, PD_NO_MEMORY, PD_INVALID or
 * PD_UNSUPPORTED_VERSION.
 */
enum pd_code pd_feed_read(int fd, struct pd_buf *buffer, struct pd_feed_message *msg,
			  struct pd_error *err);

#endif
