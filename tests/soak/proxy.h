/**
 * DOC: Loopback proxy of the soak: one address whose connections can be harmed
 */
#ifndef SOAK_PROXY_H
#define SOAK_PROXY_H

#include <pthread.h>

#include "os.h"
#include "pump.h"

struct proxy_connection;

/** enum proxy_state - what happens to connections, those that are open and new ones. */
enum proxy_state {
	PROXY_FORWARDING,
	PROXY_SILENT, /* no byte gets through, and none ever will on these connections */
	PROXY_ONE_WAY, /* what the target sends is lost */
	PROXY_REFUSING, /* open connections are reset, new ones closed at once */
};

/**
 * struct proxy - one proxied address
 * @address: where it listens; a port of 0 takes a free one
 * @target: where it connects to
 * @lock: guards @state, @target and @connections
 * @delay_us: one-way delay, microseconds
 *
 * The other members are private to proxy.c.
 */
struct proxy {
	struct pd_address address;
	struct pd_address target;
	pthread_mutex_t lock;
	enum proxy_state state;
	struct proxy_connection *connections;
	int listener;
	pthread_t thread;
	atomic_llong delay_us;
	atomic_ullong bytes[2];
};

/* Listens at @proxy->address, which the caller has set, for @target; ends the process on failure.
 */
void proxy_start(struct proxy *proxy, const struct pd_address *target);
/* Connections that were harmed stay so when the proxy opens again. */
void proxy_set_state(struct proxy *proxy, enum proxy_state state);
/* Resets the open connections. */
void proxy_reset_connections(struct proxy *proxy);

#endif
