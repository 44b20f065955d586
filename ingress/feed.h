/**
 * DOC: Serving the directory to instances that follow this one; one task for each of them
 */
#ifndef PD_FEED_H
#define PD_FEED_H

#include <pthread.h>

#include "directory.h"
#include "error.h"
#include "os.h"

#define PD_FEED_HEARTBEAT_INTERVAL_US                                                              \
	(300 * PD_USEC_PER_MSEC) /* pause between beats without changes */

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
 * @buffer: holds the frame
 * @msg: message, to be finished
 * @err: error
 *
 * Return: PD_OK, PD_CLOSED, PD_TIMEOUT, PD_TOO_LARGE, PD_INVALID, PD_UNSUPPORTED_VERSION.
 */
enum pd_code pd_feed_read(int fd, struct pd_buf *buffer, struct pd_feed_message *msg,
			  struct pd_error *err);

#endif
