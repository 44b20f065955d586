#include "datagram_proxy.h"

#include <arpa/inet.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define SENDERS_MAX    64
#define DATAGRAM_BYTES 2048

/**
 * struct forwarder - argument of the thread that forwards the datagrams of one proxy
 * @proxy: proxy whose state applies
 * @fds: descriptors to poll: that of the proxy's address, then one for each sender
 * @senders: address of the sender of each entry of @fds; the first one isn't used
 * @count: number of entries in use
 */
struct forwarder {
	struct proxy *proxy;
	struct pollfd fds[SENDERS_MAX + 1];
	struct sockaddr_in senders[SENDERS_MAX + 1];
	nfds_t count;
};

static struct sockaddr_in to_sockaddr(const struct pd_address *address)
{
	struct sockaddr_in out = {.sin_family = AF_INET, .sin_port = htons(address->port)};

	inet_pton(AF_INET, address->ip, &out.sin_addr);
	return out;
}

static struct pollfd open_socket(void)
{
	struct pollfd p = {.events = POLLIN};

	p.fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
	if (p.fd < 0)
		abort();
	return p;
}

/* Returns the index of the sender, which is added if it is new; 0 if there are too many. */
static nfds_t find_sender(struct forwarder *forwarder, const struct sockaddr_in *sender)
{
	struct sockaddr_in target = to_sockaddr(&forwarder->proxy->target);

	for (nfds_t i = 1; i < forwarder->count; i++) {
		if (forwarder->senders[i].sin_addr.s_addr == sender->sin_addr.s_addr &&
		    forwarder->senders[i].sin_port == sender->sin_port)
			return i;
	}
	if (forwarder->count > SENDERS_MAX)
		return 0;
	forwarder->fds[forwarder->count] = open_socket();
	forwarder->senders[forwarder->count] = *sender;
	if (connect(forwarder->fds[forwarder->count].fd, (struct sockaddr *)&target,
		    sizeof(target)))
		abort();
	return forwarder->count++;
}

static enum proxy_state state_of(struct proxy *proxy)
{
	enum proxy_state state;

	pthread_mutex_lock(&proxy->lock);
	state = proxy->state;
	pthread_mutex_unlock(&proxy->lock);
	return state;
}

static void forward(struct forwarder *forwarder, nfds_t index)
{
	enum proxy_state state = state_of(forwarder->proxy);
	struct sockaddr_in from = {0};
	socklen_t len = sizeof(from);
	char bytes[DATAGRAM_BYTES];
	ssize_t n = recvfrom(forwarder->fds[index].fd, bytes, sizeof(bytes), MSG_DONTWAIT,
			     (struct sockaddr *)&from, &len);

	if (n < 0)
		return;
	if (index && state == PROXY_FORWARDING) {
		sendto(forwarder->fds[0].fd, bytes, (size_t)n, MSG_DONTWAIT,
		       (struct sockaddr *)&forwarder->senders[index], sizeof(from));
	} else if (!index && (state == PROXY_FORWARDING || state == PROXY_ONE_WAY)) {
		index = find_sender(forwarder, &from);
		if (index)
			send(forwarder->fds[index].fd, bytes, (size_t)n, MSG_DONTWAIT);
	}
}

static void *run_forwarder(void *arg)
{
	struct forwarder *forwarder = arg;

	for (;;) {
		nfds_t count = forwarder->count;

		if (poll(forwarder->fds, count, -1) <= 0)
			continue;
		for (nfds_t i = 0; i < count; i++) {
			if (forwarder->fds[i].revents)
				forward(forwarder, i);
		}
	}
	return NULL;
}

void datagram_proxy_start(struct proxy *proxy)
{
	struct forwarder *forwarder = calloc(1, sizeof(*forwarder));
	struct sockaddr_in address = to_sockaddr(&proxy->address);
	pthread_t thread;

	if (!forwarder)
		abort();
	forwarder->proxy = proxy;
	forwarder->fds[forwarder->count++] = open_socket();
	if (bind(forwarder->fds[0].fd, (struct sockaddr *)&address, sizeof(address)) ||
	    pd_os_thread_start(&thread, "proxy-datagrams", run_forwarder, forwarder, NULL) != PD_OK)
		abort();
	pthread_detach(thread);
}
