#include "feed_batch.h"

#include <stdlib.h>
#include <zlib.h>

/* A source may have a small share of a processor. */
#define COMPRESSION_LEVEL Z_BEST_SPEED

void pd_feed_batch_encode(struct pd_str frames, struct pd_buf *out)
{
	struct pd_feed_message msg = {.kind = PD_FEED_BATCH};
	uLongf len = compressBound(frames.len);
	Bytef *data = malloc(len);

	if (!data || compress2(data, &len, (const Bytef *)frames.data, frames.len,
			       COMPRESSION_LEVEL) != Z_OK) {
		free(data);
		out->failed = true;
		return;
	}
	msg.batch.data = (struct pd_str){(const char *)data, len};
	msg.batch.decoded_bytes = (uint32_t)frames.len;
	pd_feed_message_encode(&msg, out);
	free(data);
}

enum pd_code pd_feed_batch_decode(const struct pd_feed_message *msg, struct pd_buf *frames,
				  struct pd_error *err)
{
	uLongf len = msg->batch.decoded_bytes;

	pd_buf_finish(frames);
	if (len > PD_FEED_BATCH_MAX_BYTES)
		return pd_error_set(err, PD_LAYER_PROTOCOL, PD_TOO_LARGE,
				    "feed batch is too large: %lu bytes", len);
	frames->data = malloc(len + 1);
	if (!frames->data)
		return pd_error_set(err, PD_LAYER_PROTOCOL, PD_NO_MEMORY,
				    "out of memory for a feed batch");
	frames->cap = len + 1;
	if (uncompress((Bytef *)frames->data, &len, (const Bytef *)msg->batch.data.data,
		       msg->batch.data.len) != Z_OK ||
	    len != msg->batch.decoded_bytes) {
		pd_buf_finish(frames);
		return pd_error_set(err, PD_LAYER_PROTOCOL, PD_INVALID, "malformed feed batch");
	}
	frames->data[len] = '\0';
	frames->len = len;
	return PD_OK;
}
