#include "feed_reader.h"

#include <arpa/inet.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>

#include "feed_batch.h"
#include "os.h"

void pd_feed_reader_init(struct pd_feed_reader *reader, int fd)
{
	memset(reader, 0, sizeof(*reader));
	reader->fd = fd;
}

void pd_feed_reader_finish(struct pd_feed_reader *reader)
{
	pd_buf_finish(&reader->frame);
	pd_buf_finish(&reader->batch);
}

/* Reads a frame from the connection into &pd_feed_reader.frame, without its length. */
static enum pd_code read_frame(struct pd_feed_reader *reader, struct pd_error *err)
{
	struct pd_buf *frame = &reader->frame;
	uint32_t length;
	enum pd_code code = pd_os_read_full(reader->fd, &length, sizeof(length), err);

	if (code != PD_OK)
		return code;
	length = ntohl(length);
	if (length > PD_FEED_FRAME_MAX_BYTES)
		return pd_error_set(err, PD_LAYER_TRANSPORT, PD_TOO_LARGE,
				    "feed frame is too large: %u bytes", length);
	pd_buf_finish(frame);
	frame->data = malloc(length + 1);
	if (!frame->data)
		return pd_error_set(err, PD_LAYER_TRANSPORT, PD_NO_MEMORY,
				    "out of memory for a feed frame");
	frame->cap = length + 1;
	frame->len = length;
	return pd_os_read_full(reader->fd, frame->data, length, err);
}

/* Decodes the next message of the batch. */
static enum pd_code next_of_batch(struct pd_feed_reader *reader, struct pd_feed_message *msg,
				  struct pd_error *err)
{
	size_t left = reader->batch.len - reader->batch_pos;
	const char *at = reader->batch.data + reader->batch_pos;
	uint32_t length = 0;
	enum pd_code code;

	if (left >= sizeof(length))
		memcpy(&length, at, sizeof(length));
	length = ntohl(length);
	if (left < sizeof(length) || length > left - sizeof(length))
		return pd_error_set(err, PD_LAYER_PROTOCOL, PD_INVALID,
				    "feed batch ends within a frame");
	code = pd_feed_message_decode((struct pd_str){at + sizeof(length), length}, msg, err);
	if (code != PD_OK)
		return code;
	if (msg->kind == PD_FEED_BATCH) {
		pd_feed_message_finish(msg);
		return pd_error_set(err, PD_LAYER_PROTOCOL, PD_INVALID, "feed batch in a batch");
	}
	reader->batch_pos += sizeof(length) + length;
	return PD_OK;
}

enum pd_code pd_feed_reader_next(struct pd_feed_reader *reader, struct pd_feed_message *msg,
				 struct pd_error *err)
{
	while (reader->batch_pos == reader->batch.len) {
		enum pd_code code = read_frame(reader, err);

		if (code == PD_OK)
			code = pd_feed_message_decode(pd_buf_str(&reader->frame), msg, err);
		if (code != PD_OK || msg->kind != PD_FEED_BATCH)
			return code;
		code = pd_feed_batch_decode(msg, &reader->batch, err);
		pd_feed_message_finish(msg);
		reader->batch_pos = 0;
		if (code != PD_OK)
			return code;
	}
	return next_of_batch(reader, msg, err);
}

bool pd_feed_reader_wait(const struct pd_feed_reader *reader, int64_t wait_us)
{
	struct pollfd p = {.fd = reader->fd, .events = POLLIN};
	int wait_ms = wait_us > 0 ? (int)(wait_us / PD_USEC_PER_MSEC) + 1 : 0;

	return reader->batch_pos < reader->batch.len || poll(&p, 1, wait_ms) > 0;
}

bool pd_feed_reader_has_more(const struct pd_feed_reader *reader)
{
	return pd_feed_reader_wait(reader, 0);
}
