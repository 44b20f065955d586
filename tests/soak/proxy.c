#include "proxy.h"

#include <stdlib.h>
#include <string.h>

#define CONNECT_TIMEOUT_US PD_USEC_PER_SEC

struct proxy_connection {
	struct standin_pump pump;
	struct proxy *proxy;
	struct proxy_connection *next;
};

static enum standin_pump_mode mode_of(enum proxy_state state)
{
	switch (state) {
	case PROXY_SILENT:
		return STANDIN_PUMP_SILENT;
	case PROXY_ONE_WAY:
		return STANDIN_PUMP_ONE_WAY;
	case PROXY_REFUSING:
		return STANDIN_PUMP_CLOSE;
	case PROXY_FORWARDING:
		break;
	}
	return STANDIN_PUMP_NORMAL;
}

static void unlink_link(struct proxy_connection *link)
{
	struct proxy_connection **at = &link->proxy->connections;

	while (*at != link)
		at = &(*at)->next;
	*at = link->next;
}

static void *run_link(void *arg)
{
	struct proxy_connection *link = arg;
	struct proxy *proxy = link->proxy;
	struct pd_address target;
	int fd = -1;

	pthread_mutex_lock(&proxy->lock);
	target = proxy->target;
	pthread_mutex_unlock(&proxy->lock);
	if (pd_os_connect(&target, CONNECT_TIMEOUT_US, &fd, NULL) == PD_OK) {
		pthread_mutex_lock(&proxy->lock);
		link->pump.fds[1] = fd;
		pthread_mutex_unlock(&proxy->lock);
		standin_pump_run(&link->pump);
	} else {
		standin_pump_reset_on_close(link->pump.fds[0]);
	}
	pthread_mutex_lock(&proxy->lock);
	unlink_link(link);
	pthread_mutex_unlock(&proxy->lock);
	pd_os_close(&link->pump.fds[0]);
	pd_os_close(&link->pump.fds[1]);
	free(link);
	return NULL;
}

static void add_link(struct proxy *proxy, int fd)
{
	struct proxy_connection *link = calloc(1, sizeof(*link));
	pthread_t thread;

	if (!link)
		abort();
	link->pump.fds[0] = fd;
	link->pump.fds[1] = -1;
	link->pump.delay_us = &proxy->delay_us;
	link->pump.bytes = proxy->bytes;
	link->proxy = proxy;
	pthread_mutex_lock(&proxy->lock);
	atomic_store(&link->pump.mode, mode_of(proxy->state));
	link->next = proxy->connections;
	proxy->connections = link;
	pthread_mutex_unlock(&proxy->lock);
	if (pd_os_thread_start(&thread, "proxy", run_link, link, NULL) != PD_OK)
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
			add_link(proxy, fd);
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

static void change_links_locked(struct proxy *proxy, enum standin_pump_mode mode)
{
	for (struct proxy_connection *link = proxy->connections; link; link = link->next) {
		/* What was harmed more stays so. */
		if (atomic_load(&link->pump.mode) < (int)mode)
			atomic_store(&link->pump.mode, mode);
		/* Wakes the relaying thread, which closes both sides with a reset. */
		if (mode == STANDIN_PUMP_CLOSE) {
			pd_os_shutdown(link->pump.fds[0]);
			pd_os_shutdown(link->pump.fds[1]);
		}
	}
}

void proxy_set_state(struct proxy *proxy, enum proxy_state state)
{
	pthread_mutex_lock(&proxy->lock);
	proxy->state = state;
	if (state != PROXY_FORWARDING)
		change_links_locked(proxy, mode_of(state));
	pthread_mutex_unlock(&proxy->lock);
}

void proxy_reset_connections(struct proxy *proxy)
{
	pthread_mutex_lock(&proxy->lock);
	change_links_locked(proxy, STANDIN_PUMP_CLOSE);
	pthread_mutex_unlock(&proxy->lock);
}
