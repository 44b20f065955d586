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
 * @name: name of this instance
 * @address: address on which followers connect
 * @listener: listening socket; -1 before the start
 * @thread: thread that accepts connections
 */
struct pd_feed {
	struct pd_directory *directory;
	struct pd_name name;
	struct pd_address address;
	int listener;
	pthread_t thread;
};

void pd_feed_init(struct pd_feed *feed, struct pd_directory *directory, const struct pd_name *name,
		  const struct pd_address *address);
enum pd_code pd_feed_start(struct pd_feed *feed, struct pd_error *err);

#endif
