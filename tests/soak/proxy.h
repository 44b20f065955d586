/**
 * DOC: TCP proxy of the soak on a loopback address, with faults on its connections
 */
#ifndef SOAK_PROXY_H
#define SOAK_PROXY_H

#include <pthread.h>

#include "os.h"
#include "pump.h"

struct proxy_connection;

/** enum proxy_state - how the proxy treats its open connections and new ones. */
enum proxy_state {
	PROXY_FORWARDING,
	PROXY_SILENT, /* forwards neither bytes nor the end of a stream */
	PROXY_ONE_WAY, /* drops the bytes that the target sends */
	PROXY_REFUSING, /* resets open connections, and new ones as soon as they are accepted */
};

/**
 * struct proxy - proxy of one target address
 * @address: address that the proxy listens at; the kernel chooses a free port if the port is 0
 * @target: address that the proxy connects to
 * @lock: guards @state, @target and @connections
 * @delay_us: one-way delay of each direction, in microseconds
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
	atomic_ullong byte_totals[2];
};

/*
 * Starts to forward connections from @proxy->address, which the caller has set, to @target. Aborts
 * the process on failure.
 */
void proxy_start(struct proxy *proxy, const struct pd_address *target);
/*
 * Sets the state of the proxy. Connections that were open during a fault stay faulty after the
 * return to PROXY_FORWARDING.
 */
void proxy_set_state(struct proxy *proxy, enum proxy_state state);
/* Resets the open connections; the state of the proxy stays. */
void proxy_reset_connections(struct proxy *proxy);

#endif
