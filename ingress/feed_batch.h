/**
 * DOC: Batches of the feed: frames that are compressed together and sent as one message
 *
 * Configurations and lists of upstreams repeat the same keys, so that they become several times
 * smaller. A source sends them to all of its followers over one link.
 */
#ifndef PD_FEED_BATCH_H
#define PD_FEED_BATCH_H

#include "error.h"
#include "feed_message.h"
#include "str.h"

/* Limit of the frames in a batch before compression: a configuration of 1 MB and the entries of
 * some ten thousand upstreams.
 */
#define PD_FEED_BATCH_MAX_BYTES (8 * 1024 * 1024)

/* Appends a batch with the contents of @frames to @out; on failure, sets &pd_buf.failed of @out. */
void pd_feed_batch_encode(struct pd_str frames, struct pd_buf *out);
/* Replaces the contents of @frames with the frames of a batch; PD_TOO_LARGE, PD_NO_MEMORY or
 * PD_INVALID on failure.
 */
enum pd_code pd_feed_batch_decode(const struct pd_feed_message *msg, struct pd_buf *frames,
				  struct pd_error *err);

#endif
