#include "pump.h"

#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>

#include "os.h"

#define READ_BYTES	(64 * 1024)
#define QUEUE_MAX_BYTES (8 * 1024 * 1024) /* of one direction; covers 10 ms at 800 MB/s */
#define HOLD_STEP_MS	1000

/**
 * struct chunk - bytes on their way; the end of the stream when @len is 0
 * @due_us: when to send it
 * @sent: bytes sent
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
 * @from: descriptor to read
 * @to: descriptor to write
 * @head: oldest chunk
 * @tail: newest chunk
 * @queued: bytes in the queue
 * @ended: the end of the stream was read
 * @done: the end of the stream was passed on
 * @blocked: the receiver takes no data now
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

static bool push(struct direction *direction, const char *data, size_t len, int64_t due_us)
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

static void pop(struct direction *direction)
{
	struct chunk *chunk = direction->head;

	direction->head = chunk->next;
	if (!direction->head)
		direction->tail = NULL;
	direction->queued -= chunk->len;
	free(chunk);
}

/* Sends what is due; false when the connection broke. */
static bool flush_due(struct direction *direction, atomic_ullong *bytes, int64_t now_us)
{
	direction->blocked = false;
	while (direction->head && direction->head->due_us <= now_us) {
		struct chunk *chunk = direction->head;
		ssize_t n;

		if (chunk->len == 0) {
			shutdown(direction->to, SHUT_WR);
			direction->done = true;
			pop(direction);
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
		atomic_fetch_add(bytes, (unsigned long long)n);
		chunk->sent += (size_t)n;
		if (chunk->sent == chunk->len)
			pop(direction);
	}
	return true;
}

/* Reads once; false when the connection broke. */
static bool read_some(struct direction *direction, int64_t delay_us, bool lost)
{
	char data[READ_BYTES];
	ssize_t n = recv(direction->from, data, sizeof(data), MSG_DONTWAIT);

	if (n < 0)
		return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
	direction->ended = n == 0;
	if (lost)
		return true;
	return push(direction, data, (size_t)n, pd_os_now_us() + delay_us);
}

/* Events of the descriptor that @in reads and @out writes; poll() ignores it when there are none.
 */
static struct pollfd wanted(const struct direction *in, const struct direction *out)
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

static void wait_ready(const struct direction directions[2], struct pollfd polled[2])
{
	int64_t due_us = INT64_MAX;
	struct timespec ts;
	int64_t left;

	for (int i = 0; i < 2; i++) {
		const struct direction *direction = &directions[i];

		polled[i] = wanted(direction, &directions[1 - i]);
		if (direction->head && !direction->blocked && direction->head->due_us < due_us)
			due_us = direction->head->due_us;
	}
	left = due_us == INT64_MAX ? 0 : due_us - pd_os_now_us();
	if (left < 0)
		left = 0;
	ts = (struct timespec){.tv_sec = left / PD_USEC_PER_SEC,
			       .tv_nsec = left % PD_USEC_PER_SEC * 1000};
	if (ppoll(polled, 2, due_us == INT64_MAX ? NULL : &ts, NULL) < 0)
		polled[0].revents = polled[1].revents = 0;
}

static bool relays(int mode)
{
	return mode == STANDIN_PUMP_NORMAL || mode == STANDIN_PUMP_DROP_REPLIES;
}

static bool relay_once(struct standin_pump *pump, struct direction directions[2])
{
	struct pollfd polled[2];
	int mode;

	wait_ready(directions, polled);
	mode = atomic_load(&pump->mode);
	if (!relays(mode))
		return true;
	for (int i = 0; i < 2; i++) {
		if ((polled[i].revents & (POLLIN | POLLHUP | POLLERR)) && !directions[i].ended &&
		    !read_some(&directions[i], atomic_load(pump->delay_us),
			       i == 1 && mode == STANDIN_PUMP_DROP_REPLIES))
			return false;
	}
	for (int i = 0; i < 2; i++) {
		if (!flush_due(&directions[i], &pump->byte_counts[i], pd_os_now_us()))
			return false;
	}
	return true;
}

/* The end of a stream that is lost is never passed on. */
static bool both_ended(struct standin_pump *pump, const struct direction directions[2])
{
	bool lost = atomic_load(&pump->mode) == STANDIN_PUMP_DROP_REPLIES;

	return directions[0].done && (directions[1].done || (lost && directions[1].ended));
}

static void relay(struct standin_pump *pump)
{
	struct direction directions[2] = {{.from = pump->fds[0], .to = pump->fds[1]},
					  {.from = pump->fds[1], .to = pump->fds[0]}};
	bool good = true;

	while (good && relays(atomic_load(&pump->mode)) && !both_ended(pump, directions))
		good = relay_once(pump, directions);
	if (!good) {
		standin_pump_reset_on_close(pump->fds[0]);
		standin_pump_reset_on_close(pump->fds[1]);
	}
	for (int i = 0; i < 2; i++) {
		while (directions[i].head)
			pop(&directions[i]);
	}
}

/* Waits until both ends have closed; what they send stays unread. */
static void hold(struct standin_pump *pump)
{
	struct pollfd polled[2] = {{.fd = pump->fds[0], .events = POLLRDHUP},
				   {.fd = pump->fds[1], .events = POLLRDHUP}};

	while ((polled[0].fd >= 0 || polled[1].fd >= 0) &&
	       atomic_load(&pump->mode) == STANDIN_PUMP_BLACKHOLE) {
		if (poll(polled, 2, HOLD_STEP_MS) <= 0)
			continue;
		for (int i = 0; i < 2; i++) {
			if (polled[i].fd >= 0 && polled[i].revents)
				polled[i].fd = -1;
		}
	}
}

void standin_pump_run(struct standin_pump *pump)
{
	if (relays(atomic_load(&pump->mode)))
		relay(pump);
	if (atomic_load(&pump->mode) == STANDIN_PUMP_BLACKHOLE)
		hold(pump);
	if (atomic_load(&pump->mode) == STANDIN_PUMP_RESET) {
		standin_pump_reset_on_close(pump->fds[0]);
		standin_pump_reset_on_close(pump->fds[1]);
	}
}
