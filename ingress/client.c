#include "client.h"

#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include "os.h"

#define READ_BUFFER_BYTES 8192
/* A client that doesn't read a response in this time is disconnected. */
#define WRITE_TIMEOUT_US (5 * PD_USEC_PER_SEC)
/* Time to send a body, added to the time limit of the header. */
#define BODY_TIMEOUT_US (10 * PD_USEC_PER_SEC)
/* After the last response, bytes that the client still sends are read and discarded for this long.
 * Closing a socket with unread bytes resets the connection, and the response could be lost.
 */
#define LINGER_US (300 * PD_USEC_PER_MSEC)

void pd_client_init(struct pd_client *client, int fd)
{
	memset(client, 0, sizeof(*client));
	client->fd = fd;
	fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
	pd_http_message_init(&client->msg, PD_HTTP_REQUEST, PD_LIMITS_DEFAULT.max_header_bytes,
			     PD_LIMITS_DEFAULT.max_body_bytes);
}

/* Waits for events on @fd; false if there are none until @until_us. */
static bool wait_events(int fd, short events, int64_t until_us)
{
	for (;;) {
		struct pollfd p = {.fd = fd, .events = events};
		int64_t left = until_us - pd_os_boot_us();

		if (left <= 0)
			return false;
		if (poll(&p, 1, (int)(left / PD_USEC_PER_MSEC) + 1) > 0)
			return true;
	}
}

/* Closes the sending side and discards received bytes, until the client closes the connection or
 * LINGER_US have passed.
 */
static void linger(int fd)
{
	int64_t until = pd_os_boot_us() + LINGER_US;
	char bytes[512];

	if (shutdown(fd, SHUT_WR))
		return;
	while (wait_events(fd, POLLIN, until)) {
		if (recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT) <= 0)
			return;
	}
}

void pd_client_finish(struct pd_client *client)
{
	linger(client->fd);
	pd_os_close(&client->fd);
	pd_buf_finish(&client->in);
	pd_http_message_finish(&client->msg);
}

bool pd_client_wait(struct pd_client *client, uint32_t idle_ms)
{
	bool ready = client->in.len > 0;

	if (!ready)
		ready = wait_events(client->fd, POLLIN,
				    pd_os_boot_us() + idle_ms * PD_USEC_PER_MSEC);
	client->arrived_us = pd_os_boot_us();
	return ready;
}

/* Parses received bytes up to the end of the current message; keeps the bytes that follow it. */
static enum pd_http_result read_buffered(struct pd_client *client)
{
	enum pd_http_result result;
	size_t used;

	result = pd_http_message_parse(&client->msg, client->in.data, client->in.len, &used);
	if (result == PD_HTTP_INCOMPLETE || used == client->in.len) {
		pd_buf_clear(&client->in);
		return result;
	}
	memmove(client->in.data, client->in.data + used, client->in.len - used);
	client->in.len -= used;
	return result;
}

static enum pd_client_result to_client_result(enum pd_http_result result)
{
	switch (result) {
	case PD_HTTP_COMPLETE:
		return PD_CLIENT_REQUEST;
	case PD_HTTP_HEAD_TOO_LARGE:
		return PD_CLIENT_HEAD_TOO_LARGE;
	case PD_HTTP_BODY_TOO_LARGE:
		return PD_CLIENT_BODY_TOO_LARGE;
	default:
		return PD_CLIENT_MALFORMED;
	}
}

static bool expects_continue(const struct pd_http_message *msg)
{
	struct pd_str value;

	return msg->head_complete && pd_http_message_field(msg, "Expect", &value);
}

enum pd_client_result pd_client_read(struct pd_client *client, const struct pd_limits *limits)
{
	int64_t head_deadline = client->arrived_us + limits->header_timeout_ms * PD_USEC_PER_MSEC;
	bool continue_sent = false;
	char bytes[READ_BUFFER_BYTES];

	pd_http_message_reset(&client->msg);
	client->msg.head_max = limits->max_header_bytes;
	client->msg.body_max = limits->max_body_bytes;
	for (;;) {
		int64_t until =
			client->msg.head_complete ? head_deadline + BODY_TIMEOUT_US : head_deadline;
		ssize_t n;

		if (client->in.len) {
			enum pd_http_result result = read_buffered(client);

			if (result != PD_HTTP_INCOMPLETE) {
				client->requests++;
				return to_client_result(result);
			}
		}
		if (!continue_sent && expects_continue(&client->msg)) {
			continue_sent = true;
			if (!pd_client_write(client, PD_STR("HTTP/1.1 100 Continue\r\n\r\n"),
					     (struct pd_str){NULL, 0}))
				return PD_CLIENT_CLOSED;
		}
		if (!wait_events(client->fd, POLLIN, until))
			return client->msg.head.len ? PD_CLIENT_TIMEOUT : PD_CLIENT_CLOSED;
		n = recv(client->fd, bytes, sizeof(bytes), MSG_DONTWAIT);
		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			continue;
		if (n <= 0)
			return PD_CLIENT_CLOSED;
		if (!pd_buf_append(&client->in, bytes, (size_t)n))
			return PD_CLIENT_CLOSED;
	}
}

int64_t pd_client_network_delay_us(const struct pd_client *client)
{
	struct tcp_info info;
	socklen_t len = sizeof(info);

	memset(&info, 0, sizeof(info));
	if (getsockopt(client->fd, IPPROTO_TCP, TCP_INFO, &info, &len) || !info.tcpi_rtt)
		return -1;
	return (int64_t)info.tcpi_rtt * (client->requests > 1 ? 1 : 2);
}

bool pd_client_write(struct pd_client *client, struct pd_str head, struct pd_str body)
{
	int64_t until = pd_os_boot_us() + WRITE_TIMEOUT_US;
	size_t done = 0, total = head.len + body.len;

	while (done < total) {
		struct iovec iov[2];
		struct msghdr msg = {.msg_iov = iov};
		ssize_t n;

		if (done < head.len)
			iov[msg.msg_iovlen++] =
				(struct iovec){(char *)head.data + done, head.len - done};
		if (body.len) {
			size_t skip = done > head.len ? done - head.len : 0;

			iov[msg.msg_iovlen++] =
				(struct iovec){(char *)body.data + skip, body.len - skip};
		}
		n = sendmsg(client->fd, &msg, MSG_NOSIGNAL | MSG_DONTWAIT);
		if (n >= 0) {
			done += (size_t)n;
			continue;
		}
		if (errno == EINTR)
			continue;
		if (errno != EAGAIN && errno != EWOULDBLOCK)
			return false;
		if (!wait_events(client->fd, POLLOUT, until))
			return false;
	}
	return true;
}
