#include "pump.h"

#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>

#include "os.h"

#define READ_BYTES (64 * 1024)
/* Limit of the queue of one direction; holds 10 ms of data at 800 MB/s. */
#define QUEUE_MAX_BYTES	  (8 * 1024 * 1024)
#define BLACKHOLE_POLL_MS 1000

/**
 * struct chunk - bytes that were read and not yet sent completely
 * @next: next newer chunk of the queue
 * @due_us: monotonic time at which to send the chunk, in microseconds
 * @len: length of @data in bytes; 0 stands for the end of the stream
 * @sent: number of bytes of @data already sent
 * @data: bytes to send
 */
struct chunk {
	struct chunk *next;
	int64_t due_us;
	size_t len;
	size_t sent;
	char data[];
};

/**
 * struct direction - one direction of a connection
 * @from: socket to read from
 * @to: socket to write to
 * @head: oldest chunk of the queue
 * @tail: newest chunk of the queue
 * @queued: number of bytes in the queue
 * @ended: the end of the stream has been read
 * @done: the end of the stream has been relayed
 * @blocked: the send buffer of @to is full
 */
struct direction {
	int from;
	int to;
	struct chunk *head;
	struct chunk *tail;
	size_t queued;
	bool ended;
	bool done;
	bool blocked;
};

void standin_pump_reset_on_close(int fd)
{
	struct linger linger = {.l_onoff = 1, .l_linger = 0};

	if (fd >= 0)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
}

static bool enqueue(struct direction *direction, const char *data, size_t len, int64_t due_us)
{
	struct chunk *chunk = malloc(sizeof(*chunk) + len);

	if (!chunk)
		return false;
	*chunk = (struct chunk){.due_us = due_us, .len = len};
	if (len)
		memcpy(chunk->data, data, len);
	if (direction->tail)
		direction->tail->next = chunk;
	else
		direction->head = chunk;
	direction->tail = chunk;
	direction->queued += len;
	return true;
}

static void dequeue(struct direction *direction)
{
	struct chunk *chunk = direction->head;

	direction->head = chunk->next;
	if (!direction->head)
		direction->tail = NULL;
	direction->queued -= chunk->len;
	free(chunk);
}

/* Sends the chunks that are due; returns false if the connection failed. */
static bool send_due_chunks(struct direction *direction, atomic_ullong *byte_count, int64_t now_us)
{
	direction->blocked = false;
	while (direction->head && direction->head->due_us <= now_us) {
		struct chunk *chunk = direction->head;
		ssize_t n;

		if (chunk->len == 0) {
			shutdown(direction->to, SHUT_WR);
			direction->done = true;
			dequeue(direction);
			continue;
		}
		n = send(direction->to, chunk->data + chunk->sent, chunk->len - chunk->sent,
			 MSG_DONTWAIT | MSG_NOSIGNAL);
		if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
			direction->blocked = true;
			return true;
		}
		if (n < 0)
			return false;
		atomic_fetch_add(byte_count, (unsigned long long)n);
		chunk->sent += (size_t)n;
		if (chunk->sent == chunk->len)
			dequeue(direction);
	}
	return true;
}

/*
 * Reads the available bytes, at most READ_BYTES, and queues them or discards them if @discard is
 * set; returns false if the connection failed.
 */
static bool read_chunk(struct direction *direction, int64_t delay_us, bool discard)
{
	char data[READ_BYTES];
	ssize_t n = recv(direction->from, data, sizeof(data), MSG_DONTWAIT);

	if (n < 0)
		return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
	direction->ended = n == 0;
	if (discard)
		return true;
	return enqueue(direction, data, (size_t)n, pd_os_now_us() + delay_us);
}

/*
 * Returns the events to poll for on the socket that @in reads and @out writes. Without any, the
 * descriptor is -1, which poll() ignores.
 */
static struct pollfd poll_request(const struct direction *in, const struct direction *out)
{
	struct pollfd p = {.fd = in->from};

	if (!in->ended && in->queued < QUEUE_MAX_BYTES)
		p.events |= POLLIN;
	if (out->blocked)
		p.events |= POLLOUT;
	if (!p.events)
		p.fd = -1;
	return p;
}

/* Waits until a socket is ready or the oldest chunk of a direction is due. */
static void wait_for_events(const struct direction directions[2], struct pollfd polled[2])
{
	int64_t due_us = INT64_MAX;
	struct timespec ts;
	int64_t remaining_us;

	for (int i = 0; i < 2; i++) {
		const struct direction *direction = &directions[i];

		polled[i] = poll_request(direction, &directions[1 - i]);
		if (direction->head && !direction->blocked && direction->head->due_us < due_us)
			due_us = direction->head->due_us;
	}
	remaining_us = due_us == INT64_MAX ? 0 : due_us - pd_os_now_us();
	if (remaining_us < 0)
		remaining_us = 0;
	ts = (struct timespec){.tv_sec = remaining_us / PD_USEC_PER_SEC,
			       .tv_nsec = remaining_us % PD_USEC_PER_SEC * 1000};
	if (ppoll(polled, 2, due_us == INT64_MAX ? NULL : &ts, NULL) < 0)
		polled[0].revents = polled[1].revents = 0;
}

static bool is_relaying(int mode)
{
	return mode == STANDIN_PUMP_NORMAL || mode == STANDIN_PUMP_DROP_REPLIES;
}

static bool relay_once(struct standin_pump *pump, struct direction directions[2])
{
	struct pollfd polled[2];
	int mode;

	wait_for_events(directions, polled);
	mode = atomic_load(&pump->mode);
	if (!is_relaying(mode))
		return true;
	for (int i = 0; i < 2; i++) {
		if ((polled[i].revents & (POLLIN | POLLHUP | POLLERR)) && !directions[i].ended &&
		    !read_chunk(&directions[i], atomic_load(pump->delay_us),
				i == 1 && mode == STANDIN_PUMP_DROP_REPLIES))
			return false;
	}
	for (int i = 0; i < 2; i++) {
		if (!send_due_chunks(&directions[i], &pump->byte_counts[i], pd_os_now_us()))
			return false;
	}
	return true;
}

/* Tells whether both streams have ended. The end of a discarded stream is never relayed. */
static bool both_done(struct standin_pump *pump, const struct direction directions[2])
{
	bool discard = atomic_load(&pump->mode) == STANDIN_PUMP_DROP_REPLIES;

	return directions[0].done && (directions[1].done || (discard && directions[1].ended));
}

static void relay(struct standin_pump *pump)
{
	struct direction directions[2] = {{.from = pump->fds[0], .to = pump->fds[1]},
					  {.from = pump->fds[1], .to = pump->fds[0]}};
	bool connected = true;

	while (connected && is_relaying(atomic_load(&pump->mode)) && !both_done(pump, directions))
		connected = relay_once(pump, directions);
	if (!connected) {
		standin_pump_reset_on_close(pump->fds[0]);
		standin_pump_reset_on_close(pump->fds[1]);
	}
	for (int i = 0; i < 2; i++) {
		while (directions[i].head)
			dequeue(&directions[i]);
	}
}

/*
 * Waits until both the client and the target have closed their connections, without reading what
 * they send.
 */
static void wait_both_closed(struct standin_pump *pump)
{
	struct pollfd polled[2] = {{.fd = pump->fds[0], .events = POLLRDHUP},
				   {.fd = pump->fds[1], .events = POLLRDHUP}};

	while ((polled[0].fd >= 0 || polled[1].fd >= 0) &&
	       atomic_load(&pump->mode) == STANDIN_PUMP_BLACKHOLE) {
		if (poll(polled, 2, BLACKHOLE_POLL_MS) <= 0)
			continue;
		for (int i = 0; i < 2; i++) {
			if (polled[i].fd >= 0 && polled[i].revents)
				polled[i].fd = -1;
		}
	}
}

void standin_pump_run(struct standin_pump *pump)
{
	if (is_relaying(atomic_load(&pump->mode)))
		relay(pump);
	if (atomic_load(&pump->mode) == STANDIN_PUMP_BLACKHOLE)
		wait_both_closed(pump);
	if (atomic_load(&pump->mode) == STANDIN_PUMP_RESET) {
		standin_pump_reset_on_close(pump->fds[0]);
		standin_pump_reset_on_close(pump->fds[1]);
	}
}
