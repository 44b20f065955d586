/**
 * DOC: Connections to upstreams
 *
 * Idle connections are kept with their upstream. A connection whose answer isn't needed any more is
 * drained: the pool reads the answer from it before it is used again, or closes it.
 */
#ifndef PD_POOL_H
#define PD_POOL_H

#include <stdbool.h>
#include <stdint.h>

#include "http.h"
#include "registry.h"

/* Limits of an upstream's answer. */
#define PD_RESPONSE_HEAD_MAX_BYTES (32 * 1024)
#define PD_RESPONSE_BODY_MAX_BYTES (8 * 1024 * 1024)

/**
 * struct pd_conn - one connection to an upstream
 * @fd: non-blocking socket
 * @upstream: where it leads; referenced
 * @msg: the answer that is read from it
 * @idle_since_us: since when it is idle
 * @idle_limit_us: how long it may be idle before the upstream closes it
 * @drain_deadline_us: when draining is given up
 * @used: it has carried an answer before
 * @next: next one of the same list
 */
struct pd_conn {
	int fd;
	struct pd_upstream *upstream;
	struct pd_http_message msg;
	int64_t idle_since_us;
	int64_t idle_limit_us;
	int64_t drain_deadline_us;
	bool used;
	struct pd_conn *next;
};

/**
 * struct pd_pool - all connections of the process to upstreams
 * @registry: its lock guards the lists
 * @draining: connections whose answers aren't needed
 * @open_max: most open connections to upstreams
 */
struct pd_pool {
	struct pd_registry *registry;
	struct pd_conn *draining;
	uint32_t open_max;
};

void pd_pool_init(struct pd_pool *pool, struct pd_registry *registry, uint32_t open_max);
void pd_pool_finish(struct pd_pool *pool);

/**
 * pd_pool_get_idle() - an idle connection to an upstream
 * @pool: pool
 * @upstream: referenced by the caller
 * @max_idle_us: connections that were idle for longer aren't taken
 * @now_us: time
 *
 * Return: the connection, or NULL when there is none that still works.
 */
struct pd_conn *pd_pool_get_idle(struct pd_pool *pool, struct pd_upstream *upstream,
				 int64_t max_idle_us, int64_t now_us);
/* Begins to connect; the socket is writable once connected. NULL with @err on failure. */
struct pd_conn *pd_pool_connect(struct pd_pool *pool, struct pd_upstream *upstream,
				struct pd_error *err);
/* Takes the idle limit from the answer that was read from the connection. */
void pd_conn_update_idle_limit(struct pd_conn *conn);
/* Gives back a connection whose answer was read whole and which the upstream keeps open. */
void pd_pool_put(struct pd_pool *pool, struct pd_conn *conn, int64_t now_us);
void pd_pool_close(struct pd_pool *pool, struct pd_conn *conn);
/* Gives back a connection on which an answer that isn't needed is outstanding. */
void pd_pool_drain(struct pd_pool *pool, struct pd_conn *conn, int64_t until_us);
/* Reads what has arrived on draining connections and closes idle ones that ended. */
void pd_pool_maintain(struct pd_pool *pool, int64_t now_us);

/* For the registry, under its lock. */
/* Whether this process has its share of the connections that the upstream accepts. */
bool pd_pool_at_connection_limit_locked(const struct pd_upstream *upstream);
void pd_pool_close_idle_locked(struct pd_upstream *upstream);

#endif
