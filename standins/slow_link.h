/**
 * DOC: Proxy in front of a TCP server whose link carries only a given number of bytes per second
 *
 * Limits the bytes that the server sends, over all connections together, and buffers little, so
 * that the server's writes block as on a slow link. The other direction isn't limited.
 */
#ifndef STANDIN_SLOW_LINK_H
#define STANDIN_SLOW_LINK_H

#include <pthread.h>
#include <stdint.h>

#include "os.h"

/**
 * struct slow_link - a proxy
 * @address: address on which the proxy listens
 * @target: address of the server
 * @bytes_per_s: rate in bytes per second
 * @listener: listening socket
 * @thread: thread that accepts connections
 * @lock: guards @free_at_us
 * @free_at_us: time until which the link is busy with bytes already accepted, in microseconds of
 * pd_os_now_us()
 */
struct slow_link {
	struct pd_address address;
	struct pd_address target;
	int64_t bytes_per_s;
	int listener;
	pthread_t thread;
	pthread_mutex_t lock;
	int64_t free_at_us;
};

/* Starts the proxy on a free port of the loopback address, which is stored in &slow_link.address.
 */
void slow_link_start(struct slow_link *link, const struct pd_address *target, int64_t bytes_per_s);

#endif
