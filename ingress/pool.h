/**
 * DOC: Connection pool for upstreams
 *
 * Each upstream has a list of its idle connections. A connection whose outstanding response isn't
 * needed any more is drained: the pool reads and discards the response, so that the connection can
 * be reused, or closes it.
 */
#ifndef PD_POOL_H
#define PD_POOL_H

#include <stdbool.h>
#include <stdint.h>

#include "http.h"
#include "registry.h"

/* Limits for an upstream's response. */
#define PD_RESPONSE_HEAD_MAX_BYTES (32 * 1024)
#define PD_RESPONSE_BODY_MAX_BYTES (8 * 1024 * 1024)

/**
 * struct pd_conn - one connection to an upstream
 * @fd: non-blocking socket
 * @upstream: upstream to which it is connected; holds a reference unless the connection is idle
 * @pool: pool that the connection belongs to
 * @msg: response that is being read
 * @buffered: number of bytes allocated for @msg that are counted in the pool
 * @idle_since_us: time at which the connection became idle, in microseconds of pd_os_boot_us()
 * @idle_limit_us: time for which it can stay idle before the upstream may close it, in microseconds
 * @drain_deadline_us: time at which the connection is closed if its drain hasn't finished, in
 *	microseconds of pd_os_boot_us()
 * @reused: a complete response was read from it before
 * @opened_us: time at which connecting started, in microseconds of pd_os_boot_us()
 * @next: next connection in the same list
 */
struct pd_conn {
	int fd;
	struct pd_upstream *upstream;
	struct pd_pool *pool;
	struct pd_http_message msg;
	size_t buffered;
	int64_t idle_since_us;
	int64_t idle_limit_us;
	int64_t drain_deadline_us;
	bool reused;
	int64_t opened_us;
	struct pd_conn *next;
};

/**
 * struct pd_pool - all connections of the process to upstreams
 * @registry: registry of the upstreams, whose lock guards all lists of connections
 * @draining: list of connections that are being drained
 * @connections_max: maximum number of open connections to all upstreams
 * @buffered: number of bytes allocated for responses that are being read
 * @buffered_max: maximum of @buffered, beyond which large responses aren't read any further
 */
struct pd_pool {
	struct pd_registry *registry;
	struct pd_conn *draining;
	uint32_t connections_max;
	uint64_t buffered;
	uint64_t buffered_max;
};

void pd_pool_init(struct pd_pool *pool, struct pd_registry *registry, uint32_t connections_max,
		  uint64_t buffered_max);
void pd_pool_finish(struct pd_pool *pool);

/**
 * pd_pool_get_idle() - removes an idle connection to an upstream from the pool
 * @pool: pool
 * @upstream: upstream, to which the caller holds a reference
 * @max_idle_us: maximum idle time of the connection, in microseconds; connections that were idle
 *	for longer are closed
 * @now_us: current time, in microseconds of pd_os_boot_us()
 *
 * Return: the connection, or NULL if no idle connection is still open.
 */
struct pd_conn *pd_pool_get_idle(struct pd_pool *pool, struct pd_upstream *upstream,
				 int64_t max_idle_us, int64_t now_us);
/* Starts a non-blocking connect; the socket becomes writable when it is connected. Returns NULL and
 * fills @err on failure.
 */
struct pd_conn *pd_pool_connect(struct pd_pool *pool, struct pd_upstream *upstream,
				struct pd_error *err);
/* Sets the idle limit from the Keep-Alive field of the response that was read last. */
void pd_conn_update_idle_limit(struct pd_conn *conn);
/* Logs and counts a response with an invalid status code; @id is the id of its request, empty if
 * nothing waits for the response any more.
 */
void pd_conn_report_status(const struct pd_conn *conn, struct pd_str id);
/* Counts the memory of the response that is being read; false if all responses together take up too
 * much memory and this is a large one, so that the connection must be closed.
 */
bool pd_conn_count_buffered(struct pd_conn *conn);
/* Returns a connection to the pool, after its response was read completely and if the upstream
 * keeps it open.
 */
void pd_pool_put(struct pd_pool *pool, struct pd_conn *conn, int64_t now_us);
void pd_pool_close(struct pd_pool *pool, struct pd_conn *conn);
/* Returns a connection to the pool while a response that isn't needed is outstanding; it is drained
 * until @until_us at the latest.
 */
void pd_pool_drain(struct pd_pool *pool, struct pd_conn *conn, int64_t until_us);
/* Continues to drain connections, and closes those that were idle for longer than their limit. */
void pd_pool_maintain(struct pd_pool *pool, int64_t now_us);

/* The functions below are for the registry and require its lock. */

/* Whether this process holds its full share of the connections that the upstream accepts. */
bool pd_pool_at_connection_limit_locked(const struct pd_upstream *upstream);
/* Closes all idle connections to the upstream. */
void pd_pool_close_idle_locked(struct pd_upstream *upstream);

#endif
