#include "link.h"

#include <ck_pr.h>
#include <ck_queue.h>
#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "counters.h"

#define QUEUE_MAX_FRAMES      4096 /* maximum number of queued frames */
#define BATCH_BYTES	      (64 * 1024) /* frames are combined into writes of about this size */
#define READ_MIN_BYTES	      (16 * 1024) /* minimum free buffer space for one receive */
#define LENGTH_PREFIX_BYTES   4 /* length prefix of a frame */
#define BUFFER_KEEP_MAX_BYTES (256 * 1024) /* larger buffers are freed after use */
/* A poll() that overruns its timeout by more than this means that the process was paused. */
#define PAUSE_THRESHOLD_US (250 * PD_USEC_PER_MSEC)
#define WRITE_TIMEOUT_US   (5 * PD_USEC_PER_SEC)

/**
 * struct frame - an encoded message in the queue of the writer thread
 * @next: next frame of the queue
 * @data: length prefix and payload, as sent
 *
 * The list entry and the encoded message share one allocation, so that an empty queue takes no
 * memory: an instance has up to 2,000 links, most of them idle.
 */
struct frame {
	CK_STAILQ_ENTRY(frame) next;
	char data[];
};

CK_STAILQ_HEAD(frame_list, frame);

/**
 * struct pd_link - a connection with its threads and its queue
 * @id: unique id in this process, never 0
 * @refs: reference count (atomic); the reader thread holds one reference
 * @fd: socket; closed when the last reference is dropped
 * @handler: callbacks of the owner
 * @idle_timeout_us: time without received data after which the connection ends, in microseconds; 0
 *		     means no timeout
 * @last_receive_us: time at which data was last received, in microseconds of pd_os_now_us(); atomic
 * @writer: writer thread; the reader thread joins it
 * @mutex: guards @closed, @reason, @queued and @frames
 * @wake: wakes the writer thread when frames are queued or the connection ends
 * @drained: wakes pd_link_flush() when all frames are written or the connection ends
 * @closed: the connection has ended
 * @reason: why the connection ended
 * @queued: frames accepted by pd_link_send() that are not written yet, at most QUEUE_MAX_FRAMES
 * @frames: queued frames that the writer thread has not started to write
 */
struct pd_link {
	uint64_t id;
	uint32_t refs;
	int fd;
	struct pd_link_handler handler;
	int64_t idle_timeout_us;
	uint64_t last_receive_us;
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
	return (int64_t)ck_pr_load_64(&link->last_receive_us);
}

/* Ends the connection. Only the first reason is kept; the closed callback gets it. */
static void end_link(struct pd_link *link, const struct pd_error *reason)
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

	pd_error_set(&reason, PD_LAYER_TRANSPORT, PD_CLOSED, "connection closed by this instance");
	end_link(link, &reason);
}

void pd_link_expire(struct pd_link *link)
{
	struct pd_error reason;
	int64_t idle_us = pd_os_now_us() - pd_link_last_receive_us(link);

	pd_error_set(&reason, PD_LAYER_TRANSPORT, PD_TIMEOUT, "no data received for %lld ms",
		     (long long)(idle_us / PD_USEC_PER_MSEC));
	end_link(link, &reason);
}

/* Writer */

/* Records that @written frames were written, then waits for frames and moves all of them to
 * @frames; false once the connection has ended. */
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
		return pd_error_set(err, PD_LAYER_TRANSPORT, PD_NO_MEMORY,
				    "out of memory for a batch of frames");
	if (batch->len)
		code = pd_os_write_full(link->fd, batch->data, batch->len, err);
	if (!code)
		pd_count_add(PD_COUNT_peer_bytes_out, batch->len);
	if (batch->cap > BUFFER_KEEP_MAX_BYTES)
		pd_buf_finish(batch);
	else
		pd_buf_clear(batch);
	return code;
}

/* Writes and frees @frames until one fails; stores the number of frames that were processed. */
static enum pd_code write_frames(struct pd_link *link, struct frame_list *frames, uint32_t *written,
				 struct pd_buf *batch, struct pd_error *err)
{
	struct frame *frame;
	enum pd_code code;

	*written = 0;
	while ((frame = pop_frame(frames))) {
		pd_buf_append(batch, frame->data, LENGTH_PREFIX_BYTES + load_be32(frame->data));
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
			end_link(link, &err);
			break;
		}
	}
	free_frames(&frames);
	pd_buf_finish(&batch);
	return NULL;
}

/* Whether messages of @type count as control traffic: all but sub-requests, replies and cancels. */
static bool is_control(enum pd_message_type type)
{
	return type != PD_MSG_SUBREQUEST && type != PD_MSG_SUBREPLY && type != PD_MSG_CANCEL;
}

static enum pd_code enqueue(struct pd_link *link, struct frame *frame, struct pd_error *err)
{
	enum pd_code code = PD_OK;

	pthread_mutex_lock(&link->mutex);
	if (link->closed) {
		code = pd_error_set(err, PD_LAYER_TRANSPORT, PD_CLOSED, "connection has ended");
	} else if (link->queued >= QUEUE_MAX_FRAMES) {
		code = pd_error_set(err, PD_LAYER_TRANSPORT, PD_UNAVAILABLE,
				    "send queue is full (%u frames)", link->queued);
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
	/* Computed before enqueue(), since the writer thread may have freed the frame when it
	 * returns. */
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
 * struct input - buffer of received bytes
 * @data: buffer
 * @cap: size of @data in bytes
 * @start: offset of the first byte that is not handled yet
 * @end: offset of the end of the received bytes
 */
struct input {
	char *data;
	size_t cap;
	size_t start;
	size_t end;
};

/* Makes space for at least @space more bytes; shrinks a large buffer that is no longer needed. */
static bool reserve_space(struct input *in, size_t space)
{
	size_t used = in->end - in->start;
	char *data;

	if (in->start && used)
		memmove(in->data, in->data + in->start, used);
	in->start = 0;
	in->end = used;
	if (in->cap > BUFFER_KEEP_MAX_BYTES && used + space <= READ_MIN_BYTES * 2)
		in->cap = 0;
	else if (in->cap >= used + space)
		return true;
	in->cap = used + space;
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
		int64_t remaining_us =
			pd_link_last_receive_us(link) + link->idle_timeout_us - start_us;
		int timeout_ms = -1;
		int n;

		if (link->idle_timeout_us)
			timeout_ms =
				remaining_us > 0 ? (int)(remaining_us / PD_USEC_PER_MSEC) + 1 : 0;
		n = poll(&pfd, 1, timeout_ms);
		if (n > 0)
			return PD_OK;
		if (n < 0 && errno != EINTR)
			return pd_error_set(err, PD_LAYER_TRANSPORT, PD_SYSTEM, "poll failed: %s",
					    strerror(errno));
		/* The time that this process was paused doesn't count as idle time: it sent nothing
		 * that the peer could have answered. */
		if (n == 0 &&
		    pd_os_now_us() - start_us - timeout_ms * PD_USEC_PER_MSEC > PAUSE_THRESHOLD_US)
			ck_pr_store_64(&link->last_receive_us, (uint64_t)pd_os_now_us());
		else if (n == 0 && remaining_us <= 0)
			return pd_error_set(err, PD_LAYER_TRANSPORT, PD_TIMEOUT,
					    "no data received for %lld ms",
					    (long long)(link->idle_timeout_us / PD_USEC_PER_MSEC));
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
		return pd_error_set(err, PD_LAYER_TRANSPORT, PD_CLOSED,
				    "connection closed by the peer");
	if (n < 0)
		return pd_error_set(err, PD_LAYER_TRANSPORT, PD_CLOSED, "receive failed: %s",
				    strerror(errno));
	in->end += (size_t)n;
	ck_pr_store_64(&link->last_receive_us, (uint64_t)pd_os_now_us());
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

/* Handles all complete frames; stores how many more bytes the next receive should have space
 * for. */
static enum pd_code handle_input(struct pd_link *link, struct input *in, size_t *missing,
				 struct pd_error *err)
{
	*missing = READ_MIN_BYTES;
	while (in->end - in->start >= LENGTH_PREFIX_BYTES) {
		size_t len = load_be32(in->data + in->start);
		size_t received = in->end - in->start - LENGTH_PREFIX_BYTES;
		enum pd_code code;

		if (len > PD_MESSAGE_MAX_BYTES) {
			pd_count(PD_COUNT_peer_bad_frames);
			return pd_error_set(err, PD_LAYER_TRANSPORT, PD_INVALID,
					    "frame of %zu bytes exceeds the limit of %d bytes", len,
					    PD_MESSAGE_MAX_BYTES);
		}
		if (received < len) {
			/* Grows with the received bytes, not with the claimed length, so that a
			 * peer can't make this instance allocate memory by a claim alone. */
			*missing = len - received > received + READ_MIN_BYTES
					   ? received + READ_MIN_BYTES
					   : len - received;
			return PD_OK;
		}
		code = handle_frame(link, in->data + in->start + LENGTH_PREFIX_BYTES, len, err);
		if (code)
			return code;
		in->start += LENGTH_PREFIX_BYTES + len;
	}
	return PD_OK;
}

static void read_frames(struct pd_link *link)
{
	struct input in = {0};
	struct pd_error err;
	size_t missing = READ_MIN_BYTES;

	for (;;) {
		if (!reserve_space(&in, missing < READ_MIN_BYTES ? READ_MIN_BYTES : missing)) {
			pd_error_set(&err, PD_LAYER_TRANSPORT, PD_NO_MEMORY,
				     "out of memory for received data");
			break;
		}
		if (receive(link, &in, &err) || handle_input(link, &in, &missing, &err))
			break;
	}
	free(in.data);
	end_link(link, &err);
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

static struct pd_link *link_new(int fd, const struct pd_link_handler *handler,
				int64_t idle_timeout_us)
{
	struct pd_link *link = calloc(1, sizeof(*link));

	if (!link)
		return NULL;
	link->id = __atomic_add_fetch(&last_id, 1, __ATOMIC_RELAXED);
	link->refs = 1;
	link->fd = fd;
	link->handler = *handler;
	link->idle_timeout_us = idle_timeout_us;
	link->last_receive_us = (uint64_t)pd_os_now_us();
	pthread_mutex_init(&link->mutex, NULL);
	pd_os_cond_init(&link->wake);
	pd_os_cond_init(&link->drained);
	CK_STAILQ_INIT(&link->frames);
	return link;
}

enum pd_code pd_link_start(struct pd_link **link, int fd, const struct pd_link_handler *handler,
			   int64_t idle_timeout_us, struct pd_error *err)
{
	struct pd_link *l = link_new(fd, handler, idle_timeout_us);
	pthread_t reader;
	enum pd_code code;

	if (!l) {
		pd_os_close(&fd);
		return pd_error_set(err, PD_LAYER_TRANSPORT, PD_NO_MEMORY,
				    "out of memory for a connection");
	}
	pd_os_set_io_timeout(fd, WRITE_TIMEOUT_US);
	code = pd_os_thread_start(&l->writer, "link-write", run_writer, l, err);
	if (code) {
		pd_link_put(l);
		return pd_error_wrap(err, PD_LAYER_TRANSPORT, code, "connection");
	}
	/* Stored before the reader thread starts, since a callback may run before this returns. */
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
