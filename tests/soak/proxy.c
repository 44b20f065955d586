#include "proxy.h"

#include <stdlib.h>
#include <string.h>

#define CONNECT_TIMEOUT_US PD_USEC_PER_SEC

/**
 * struct proxy_connection - one proxied connection, with a thread of its own
 * @pump: forwards the bytes between client and target
 * @proxy: proxy that accepted the connection
 * @next: next open connection of the proxy
 */
struct proxy_connection {
	struct standin_pump pump;
	struct proxy *proxy;
	struct proxy_connection *next;
};

static enum standin_pump_mode pump_mode_of(enum proxy_state state)
{
	switch (state) {
	case PROXY_SILENT:
		return STANDIN_PUMP_BLACKHOLE;
	case PROXY_ONE_WAY:
		return STANDIN_PUMP_DROP_REPLIES;
	case PROXY_REFUSING:
		return STANDIN_PUMP_RESET;
	case PROXY_FORWARDING:
		break;
	}
	return STANDIN_PUMP_NORMAL;
}

static void unlink_connection(struct proxy_connection *connection)
{
	struct proxy_connection **at = &connection->proxy->connections;

	while (*at != connection)
		at = &(*at)->next;
	*at = connection->next;
}

static void *run_connection(void *arg)
{
	struct proxy_connection *connection = arg;
	struct proxy *proxy = connection->proxy;
	struct pd_address target;
	int fd = -1;

	pthread_mutex_lock(&proxy->lock);
	target = proxy->target;
	pthread_mutex_unlock(&proxy->lock);
	if (pd_os_connect(&target, CONNECT_TIMEOUT_US, &fd, NULL) == PD_OK) {
		pthread_mutex_lock(&proxy->lock);
		connection->pump.fds[1] = fd;
		pthread_mutex_unlock(&proxy->lock);
		standin_pump_run(&connection->pump);
	} else {
		standin_pump_reset_on_close(connection->pump.fds[0]);
	}
	pthread_mutex_lock(&proxy->lock);
	unlink_connection(connection);
	pthread_mutex_unlock(&proxy->lock);
	pd_os_close(&connection->pump.fds[0]);
	pd_os_close(&connection->pump.fds[1]);
	free(connection);
	return NULL;
}

static void start_connection(struct proxy *proxy, int fd)
{
	struct proxy_connection *connection = calloc(1, sizeof(*connection));
	pthread_t thread;

	if (!connection)
		abort();
	connection->pump.fds[0] = fd;
	connection->pump.fds[1] = -1;
	connection->pump.delay_us = &proxy->delay_us;
	connection->pump.byte_counts = proxy->byte_totals;
	connection->proxy = proxy;
	pthread_mutex_lock(&proxy->lock);
	atomic_store(&connection->pump.mode, pump_mode_of(proxy->state));
	connection->next = proxy->connections;
	proxy->connections = connection;
	pthread_mutex_unlock(&proxy->lock);
	if (pd_os_thread_start(&thread, "proxy", run_connection, connection, NULL) != PD_OK)
		abort();
	pthread_detach(thread);
}

static void *accept_all(void *arg)
{
	struct proxy *proxy = arg;
	int fd;

	while (pd_os_accept(proxy->listener, &fd, NULL) == PD_OK) {
		bool refused;

		pthread_mutex_lock(&proxy->lock);
		refused = proxy->state == PROXY_REFUSING;
		pthread_mutex_unlock(&proxy->lock);
		if (refused) {
			standin_pump_reset_on_close(fd);
			pd_os_close(&fd);
		} else {
			start_connection(proxy, fd);
		}
	}
	return NULL;
}

void proxy_start(struct proxy *proxy, const struct pd_address *target)
{
	proxy->target = *target;
	pthread_mutex_init(&proxy->lock, NULL);
	if (pd_os_listen(&proxy->address, &proxy->listener, NULL) != PD_OK ||
	    pd_os_thread_start(&proxy->thread, "proxy-accept", accept_all, proxy, NULL) != PD_OK)
		abort();
}

static void set_pump_modes_locked(struct proxy *proxy, enum standin_pump_mode mode)
{
	for (struct proxy_connection *connection = proxy->connections; connection;
	     connection = connection->next) {
		/* The modes are in order of severity; a mode is never replaced by a milder one. */
		if (atomic_load(&connection->pump.mode) < (int)mode)
			atomic_store(&connection->pump.mode, mode);
		/* Wakes the connection's thread, which closes both sides with a reset. */
		if (mode == STANDIN_PUMP_RESET) {
			pd_os_shutdown(connection->pump.fds[0]);
			pd_os_shutdown(connection->pump.fds[1]);
		}
	}
}

void proxy_set_state(struct proxy *proxy, enum proxy_state state)
{
	pthread_mutex_lock(&proxy->lock);
	proxy->state = state;
	if (state != PROXY_FORWARDING)
		set_pump_modes_locked(proxy, pump_mode_of(state));
	pthread_mutex_unlock(&proxy->lock);
}

void proxy_reset_connections(struct proxy *proxy)
{
	pthread_mutex_lock(&proxy->lock);
	set_pump_modes_locked(proxy, STANDIN_PUMP_RESET);
	pthread_mutex_unlock(&proxy->lock);
}
