#include "link.h"

#include <ck_pr.h>
#include <ck_queue.h>
#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "counters.h"

#define QUEUE_FRAMES	 4096 /* frames that wait for the writer */
#define BATCH_BYTES	 (64 * 1024) /* frames are joined to sends of about this size */
#define READ_BYTES	 (16 * 1024) /* least room for one receive */
#define LENGTH_BYTES	 4
#define KEEP_BYTES	 (256 * 1024) /* larger buffers are freed after use */
#define OVERSLEPT_US	 (250 * PD_USEC_PER_MSEC) /* a wait that's longer by this was a pause */
#define WRITE_TIMEOUT_US (5 * PD_USEC_PER_SEC)

/**
 * struct frame - an encoded message that waits for the writer
 * @data: length and payload, as sent
 *
 * The buffer that a message is encoded to begins with it, so that a queue costs nothing while it's
 * empty: an instance has up to 2,000 links, most of them idle.
 */
struct frame {
	CK_STAILQ_ENTRY(frame) next;
	char data[];
};

CK_STAILQ_HEAD(frame_list, frame);

/**
 * struct pd_link
 * @refs: Concurrency Kit atomic; one for each holder and each thread
 * @fd: open until the last reference is gone
 * @heard_us: when something arrived last; Concurrency Kit atomic
 * @mutex: guards @closed, @reason, @queued and @frames
 * @wake: the writer waits for frames
 * @drained: pd_link_flush() waits for the writer
 * @queued: frames taken by pd_link_send() that aren't written yet, at most QUEUE_FRAMES
 * @frames: those that the writer hasn't taken
 */
struct pd_link {
	uint64_t id;
	uint32_t refs;
	int fd;
	struct pd_link_handler handler;
	int64_t silence_us;
	uint64_t heard_us;
	pthread_t writer;
	pthread_mutex_t mutex;
	pthread_cond_t wake;
	pthread_cond_t drained;
	bool closed;
	struct pd_error reason;
	uint32_t queued;
	struct frame_list frames;
};

static uint64_t last_id;

static uint32_t load_be32(const char *p)
{
	const uint8_t *b = (const uint8_t *)p;

	return (uint32_t)b[0] << 24 | (uint32_t)b[1] << 16 | (uint32_t)b[2] << 8 | b[3];
}

struct pd_link *pd_link_get(struct pd_link *link)
{
	ck_pr_inc_32(&link->refs);
	return link;
}

static struct frame *pop_frame(struct frame_list *frames)
{
	struct frame *frame = CK_STAILQ_FIRST(frames);

	if (frame)
		CK_STAILQ_REMOVE_HEAD(frames, next);
	return frame;
}

static void free_frames(struct frame_list *frames)
{
	struct frame *frame;

	while ((frame = pop_frame(frames)))
		free(frame);
}

static void link_free(struct pd_link *link)
{
	free_frames(&link->frames);
	pd_os_close(&link->fd);
	pthread_cond_destroy(&link->drained);
	pthread_cond_destroy(&link->wake);
	pthread_mutex_destroy(&link->mutex);
	free(link);
}

void pd_link_put(struct pd_link *link)
{
	if (link && __atomic_sub_fetch(&link->refs, 1, __ATOMIC_ACQ_REL) == 0)
		link_free(link);
}

uint64_t pd_link_id(const struct pd_link *link)
{
	return link->id;
}

int64_t pd_link_last_receive_us(const struct pd_link *link)
{
	return (int64_t)ck_pr_load_64(&link->heard_us);
}

/* The first reason counts; it's what @closed is told. */
static void fail_link(struct pd_link *link, const struct pd_error *reason)
{
	pthread_mutex_lock(&link->mutex);
	if (!link->closed) {
		link->closed = true;
		link->reason = *reason;
		pd_os_shutdown(link->fd);
		pthread_cond_broadcast(&link->wake);
		pthread_cond_broadcast(&link->drained);
	}
	pthread_mutex_unlock(&link->mutex);
}

void pd_link_close(struct pd_link *link)
{
	struct pd_error reason;

	pd_error_set(&reason, PD_LAYER_TRANSPORT, PD_CLOSED, "closed by this instance");
	fail_link(link, &reason);
}

void pd_link_expire(struct pd_link *link)
{
	struct pd_error reason;
	int64_t idle_us = pd_os_now_us() - pd_link_last_receive_us(link);

	pd_error_set(&reason, PD_LAYER_TRANSPORT, PD_TIMEOUT, "nothing arrived for %lld ms",
		     (long long)(idle_us / PD_USEC_PER_MSEC));
	fail_link(link, &reason);
}

/* Writer */

/* Waits for frames and takes them all; false once the link is closed. */
static bool wait_for_frames(struct pd_link *link, uint32_t written, struct frame_list *frames)
{
	bool open;

	pthread_mutex_lock(&link->mutex);
	link->queued -= written;
	if (!link->queued)
		pthread_cond_broadcast(&link->drained);
	while (!link->closed && CK_STAILQ_EMPTY(&link->frames))
		pthread_cond_wait(&link->wake, &link->mutex);
	open = !link->closed;
	if (open)
		CK_STAILQ_CONCAT(frames, &link->frames);
	pthread_mutex_unlock(&link->mutex);
	return open;
}

static enum pd_code send_batch(struct pd_link *link, struct pd_buf *batch, struct pd_error *err)
{
	enum pd_code code = PD_OK;

	if (batch->failed)
		return pd_error_set(err, PD_LAYER_TRANSPORT, PD_NO_MEMORY, "no room for a batch");
	if (batch->len)
		code = pd_os_write_full(link->fd, batch->data, batch->len, err);
	if (!code)
		pd_count_add(PD_COUNT_peer_bytes_out, batch->len);
	if (batch->cap > KEEP_BYTES)
		pd_buf_finish(batch);
	else
		pd_buf_clear(batch);
	return code;
}

/* Writes and frees @frames as far as it can; stores the number written. */
static enum pd_code write_frames(struct pd_link *link, struct frame_list *frames, uint32_t *written,
				 struct pd_buf *batch, struct pd_error *err)
{
	struct frame *frame;
	enum pd_code code;

	*written = 0;
	while ((frame = pop_frame(frames))) {
		pd_buf_append(batch, frame->data, LENGTH_BYTES + load_be32(frame->data));
		free(frame);
		++*written;
		if (batch->len < BATCH_BYTES && !batch->failed)
			continue;
		code = send_batch(link, batch, err);
		if (code)
			return code;
	}
	return send_batch(link, batch, err);
}

static void *run_writer(void *arg)
{
	struct pd_link *link = arg;
	struct frame_list frames = CK_STAILQ_HEAD_INITIALIZER(frames);
	struct pd_buf batch;
	struct pd_error err;
	uint32_t written = 0;

	pd_buf_init(&batch, 0);
	while (wait_for_frames(link, written, &frames)) {
		if (write_frames(link, &frames, &written, &batch, &err)) {
			fail_link(link, &err);
			break;
		}
	}
	free_frames(&frames);
	pd_buf_finish(&batch);
	return NULL;
}

static bool is_control(enum pd_message_type type)
{
	return type != PD_MSG_SUBREQUEST && type != PD_MSG_SUBREPLY && type != PD_MSG_CANCEL;
}

static enum pd_code enqueue(struct pd_link *link, struct frame *frame, struct pd_error *err)
{
	enum pd_code code = PD_OK;

	pthread_mutex_lock(&link->mutex);
	if (link->closed) {
		code = pd_error_set(err, PD_LAYER_TRANSPORT, PD_CLOSED, "connection is closed");
	} else if (link->queued >= QUEUE_FRAMES) {
		code = pd_error_set(err, PD_LAYER_TRANSPORT, PD_UNAVAILABLE,
				    "%u frames wait to be written", link->queued);
	} else {
		link->queued++;
		CK_STAILQ_INSERT_TAIL(&link->frames, frame, next);
		pthread_cond_signal(&link->wake);
	}
	pthread_mutex_unlock(&link->mutex);
	return code;
}

enum pd_code pd_link_send(struct pd_link *link, const struct pd_message *msg, struct pd_error *err)
{
	static const struct frame empty;
	struct pd_buf frame;
	size_t len;
	enum pd_code code;

	pd_buf_init(&frame, 0);
	pd_buf_append(&frame, &empty, sizeof(empty));
	code = pd_message_encode(msg, &frame, err);
	/* The writer may free the frame before this returns. */
	len = frame.len - sizeof(empty);
	if (!code)
		code = enqueue(link, (struct frame *)(void *)frame.data, err);
	if (code) {
		pd_buf_finish(&frame);
		return code;
	}
	pd_count(PD_COUNT_peer_messages_out);
	if (is_control(msg->type))
		pd_count_add(PD_COUNT_control_bytes_out, len);
	return PD_OK;
}

bool pd_link_flush(struct pd_link *link, int64_t deadline_us)
{
	bool done;

	pthread_mutex_lock(&link->mutex);
	while (link->queued && !link->closed) {
		if (!pd_os_cond_wait_until(&link->drained, &link->mutex, deadline_us))
			break;
	}
	done = !link->queued;
	pthread_mutex_unlock(&link->mutex);
	return done;
}

/* Reader */

/**
 * struct input - received bytes that aren't handled yet
 * @data: @cap bytes
 * @start: first unhandled byte
 * @end: end of the received bytes
 */
struct input {
	char *data;
	size_t cap;
	size_t start;
	size_t end;
};

/* Makes room for at least @room more bytes. */
static bool make_room(struct input *in, size_t room)
{
	size_t used = in->end - in->start;
	char *data;

	if (in->start && used)
		memmove(in->data, in->data + in->start, used);
	in->start = 0;
	in->end = used;
	if (in->cap > KEEP_BYTES && used + room <= READ_BYTES * 2)
		in->cap = 0;
	else if (in->cap >= used + room)
		return true;
	in->cap = used + room;
	data = realloc(in->data, in->cap);
	if (!data)
		return false;
	in->data = data;
	return true;
}

static enum pd_code wait_for_data(struct pd_link *link, struct pd_error *err)
{
	struct pollfd pfd = {.fd = link->fd, .events = POLLIN};

	for (;;) {
		int64_t start_us = pd_os_now_us();
		int64_t left_us = pd_link_last_receive_us(link) + link->silence_us - start_us;
		int timeout_ms = -1;
		int n;

		if (link->silence_us)
			timeout_ms = left_us > 0 ? (int)(left_us / PD_USEC_PER_MSEC) + 1 : 0;
		n = poll(&pfd, 1, timeout_ms);
		if (n > 0)
			return PD_OK;
		if (n < 0 && errno != EINTR)
			return pd_error_set(err, PD_LAYER_TRANSPORT, PD_SYSTEM, "poll: %s",
					    strerror(errno));
		/* While this process was paused, it sent nothing that the peer could answer. */
		if (n == 0 &&
		    pd_os_now_us() - start_us - timeout_ms * PD_USEC_PER_MSEC > OVERSLEPT_US)
			ck_pr_store_64(&link->heard_us, (uint64_t)pd_os_now_us());
		else if (n == 0 && left_us <= 0)
			return pd_error_set(err, PD_LAYER_TRANSPORT, PD_TIMEOUT,
					    "nothing arrived for %lld ms",
					    (long long)(link->silence_us / PD_USEC_PER_MSEC));
	}
}

static enum pd_code receive(struct pd_link *link, struct input *in, struct pd_error *err)
{
	enum pd_code code = wait_for_data(link, err);
	ssize_t n;

	if (code)
		return code;
	do {
		n = recv(link->fd, in->data + in->end, in->cap - in->end, 0);
	} while (n < 0 && errno == EINTR);
	if (n == 0)
		return pd_error_set(err, PD_LAYER_TRANSPORT, PD_CLOSED, "closed by the peer");
	if (n < 0)
		return pd_error_set(err, PD_LAYER_TRANSPORT, PD_CLOSED, "recv: %s",
				    strerror(errno));
	in->end += (size_t)n;
	ck_pr_store_64(&link->heard_us, (uint64_t)pd_os_now_us());
	pd_count_add(PD_COUNT_peer_bytes_in, (uint64_t)n);
	return PD_OK;
}

static enum pd_code handle_frame(struct pd_link *link, const char *data, size_t len,
				 struct pd_error *err)
{
	struct pd_message msg;
	enum pd_code code = pd_message_decode(&msg, data, len, err);

	if (code) {
		pd_count(PD_COUNT_peer_bad_frames);
		return code;
	}
	pd_count(PD_COUNT_peer_messages_in);
	link->handler.message(link->handler.arg, link, &msg);
	pd_message_finish(&msg);
	return PD_OK;
}

/* Handles all whole frames; stores how many more bytes the next one needs. */
static enum pd_code handle_input(struct pd_link *link, struct input *in, size_t *missing,
				 struct pd_error *err)
{
	*missing = READ_BYTES;
	while (in->end - in->start >= LENGTH_BYTES) {
		size_t len = load_be32(in->data + in->start);
		size_t have = in->end - in->start - LENGTH_BYTES;
		enum pd_code code;

		if (len > PD_MESSAGE_MAX_BYTES) {
			pd_count(PD_COUNT_peer_bad_frames);
			return pd_error_set(err, PD_LAYER_TRANSPORT, PD_INVALID,
					    "frame of %zu bytes is over the limit of %d", len,
					    PD_MESSAGE_MAX_BYTES);
		}
		if (have < len) {
			/* The buffer grows with what has arrived, not with what is claimed. */
			*missing = len - have > have + READ_BYTES ? have + READ_BYTES : len - have;
			return PD_OK;
		}
		code = handle_frame(link, in->data + in->start + LENGTH_BYTES, len, err);
		if (code)
			return code;
		in->start += LENGTH_BYTES + len;
	}
	return PD_OK;
}

static void read_frames(struct pd_link *link)
{
	struct input in = {0};
	struct pd_error err;
	size_t missing = READ_BYTES;

	for (;;) {
		if (!make_room(&in, missing < READ_BYTES ? READ_BYTES : missing)) {
			pd_error_set(&err, PD_LAYER_TRANSPORT, PD_NO_MEMORY, "no room to read");
			break;
		}
		if (receive(link, &in, &err) || handle_input(link, &in, &missing, &err))
			break;
	}
	free(in.data);
	fail_link(link, &err);
}

static void *run_reader(void *arg)
{
	struct pd_link *link = arg;
	struct pd_error reason;

	read_frames(link);
	pthread_join(link->writer, NULL);
	pthread_mutex_lock(&link->mutex);
	reason = link->reason;
	pthread_mutex_unlock(&link->mutex);
	link->handler.closed(link->handler.arg, link, &reason);
	pd_link_put(link);
	return NULL;
}

/* Start */

static struct pd_link *link_new(int fd, const struct pd_link_handler *handler, int64_t silence_us)
{
	struct pd_link *link = calloc(1, sizeof(*link));

	if (!link)
		return NULL;
	link->id = __atomic_add_fetch(&last_id, 1, __ATOMIC_RELAXED);
	link->refs = 1;
	link->fd = fd;
	link->handler = *handler;
	link->silence_us = silence_us;
	link->heard_us = (uint64_t)pd_os_now_us();
	pthread_mutex_init(&link->mutex, NULL);
	pd_os_cond_init(&link->wake);
	pd_os_cond_init(&link->drained);
	CK_STAILQ_INIT(&link->frames);
	return link;
}

enum pd_code pd_link_start(struct pd_link **link, int fd, const struct pd_link_handler *handler,
			   int64_t silence_us, struct pd_error *err)
{
	struct pd_link *l = link_new(fd, handler, silence_us);
	pthread_t reader;
	enum pd_code code;

	if (!l) {
		pd_os_close(&fd);
		return pd_error_set(err, PD_LAYER_TRANSPORT, PD_NO_MEMORY,
				    "no room for a connection");
	}
	pd_os_set_io_timeout(fd, WRITE_TIMEOUT_US);
	code = pd_os_thread_start(&l->writer, "link-write", run_writer, l, err);
	if (code) {
		pd_link_put(l);
		return pd_error_wrap(err, PD_LAYER_TRANSPORT, code, "connection");
	}
	/* The handler may run before this returns, so the caller's pointer is stored first. */
	l->refs = 2;
	*link = l;
	code = pd_os_thread_start(&reader, "link-read", run_reader, l, err);
	if (code) {
		*link = NULL;
		pd_link_close(l);
		pthread_join(l->writer, NULL);
		link_free(l);
		return pd_error_wrap(err, PD_LAYER_TRANSPORT, code, "connection");
	}
	pthread_detach(reader);
	return PD_OK;
}
