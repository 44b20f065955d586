#include "slow_link.h"

#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CHUNK_BYTES (16 * 1024)
/* Receive buffer towards the server: small, so that its writes soon block, but large enough for the
 * rate. */
#define RECEIVE_BUFFER_MIN_BYTES 4096
#define RECEIVE_BUFFER_MS	 20
#define CONNECT_TIMEOUT_US	 (1000 * PD_USEC_PER_MSEC)

/** struct connection - argument of serve_connection() */
struct connection {
	struct slow_link *link;
	int client;
};

/* Waits until the link has carried @len bytes more. */
static void occupy_link(struct slow_link *link, size_t len)
{
	int64_t now = pd_os_now_us(), until;

	pthread_mutex_lock(&link->lock);
	if (link->free_at_us < now)
		link->free_at_us = now;
	link->free_at_us += (int64_t)len * PD_USEC_PER_SEC / link->bytes_per_s;
	until = link->free_at_us;
	pthread_mutex_unlock(&link->lock);
	pd_os_sleep_us(until - now);
}

/* Relays the bytes that are available at @from; false at the end of the stream. */
static bool relay_chunk(struct slow_link *link, int from, int to, bool limited)
{
	char data[CHUNK_BYTES];
	ssize_t n = recv(from, data, sizeof(data), 0);

	if (n <= 0)
		return false;
	if (limited)
		occupy_link(link, (size_t)n);
	return pd_os_write_full(to, data, (size_t)n, NULL) == PD_OK;
}

static void *serve_connection(void *arg)
{
	struct connection connection = *(struct connection *)arg;
	int server = -1;
	bool open;

	free(arg);
	open = pd_os_connect(&connection.link->target, CONNECT_TIMEOUT_US, &server, NULL) == PD_OK;
	if (open) {
		int size = (int)(connection.link->bytes_per_s * RECEIVE_BUFFER_MS / 1000);

		if (size < RECEIVE_BUFFER_MIN_BYTES)
			size = RECEIVE_BUFFER_MIN_BYTES;

		setsockopt(server, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	}
	while (open) {
		struct pollfd fds[2] = {{.fd = server, .events = POLLIN},
					{.fd = connection.client, .events = POLLIN}};

		if (poll(fds, 2, -1) < 0)
			break;
		if (fds[0].revents)
			open = relay_chunk(connection.link, server, connection.client, true);
		if (open && fds[1].revents)
			open = relay_chunk(connection.link, connection.client, server, false);
	}
	pd_os_close(&server);
	pd_os_close(&connection.client);
	return NULL;
}

static void *accept_connections(void *arg)
{
	struct slow_link *link = arg;
	int fd;

	while (pd_os_accept(link->listener, &fd, NULL) == PD_OK) {
		struct connection *connection = malloc(sizeof(*connection));
		pthread_t thread;

		if (!connection)
			abort();
		*connection = (struct connection){link, fd};
		if (pd_os_thread_start(&thread, "slow-link", serve_connection, connection, NULL) !=
		    PD_OK)
			abort();
		pthread_detach(thread);
	}
	return NULL;
}

void slow_link_start(struct slow_link *link, const struct pd_address *target, int64_t bytes_per_s)
{
	memset(link, 0, sizeof(*link));
	pthread_mutex_init(&link->lock, NULL);
	link->target = *target;
	link->bytes_per_s = bytes_per_s;
	memcpy(link->address.ip, "127.0.0.1", sizeof("127.0.0.1"));
	if (pd_os_listen(&link->address, &link->listener, NULL) != PD_OK ||
	    pd_os_thread_start(&link->thread, "slow-link", accept_connections, link, NULL) != PD_OK)
		abort();
}
