/**
 * DOC: Reads the messages of a feed from a connection between instances
 *
 * Messages of a batch are returned one by one, as if they had been sent without it.
 */
#ifndef PD_FEED_READER_H
#define PD_FEED_READER_H

#include <stdbool.h>

#include "error.h"
#include "feed_message.h"
#include "str.h"

/**
 * struct pd_feed_reader - a reader
 * @fd: blocking socket with a receive timeout; the caller closes it
 * @frame: last frame that was read from @fd
 * @batch: frames of the last batch
 * @batch_pos: position in @batch up to which its messages were returned
 */
struct pd_feed_reader {
	int fd;
	struct pd_buf frame;
	struct pd_buf batch;
	size_t batch_pos;
};

void pd_feed_reader_init(struct pd_feed_reader *reader, int fd);
void pd_feed_reader_finish(struct pd_feed_reader *reader);
/**
 * pd_feed_reader_next() - reads one message
 * @reader: reader
 * @msg: decoded message, valid until the next call; on success, the caller must call
 *	pd_feed_message_finish()
 * @err: filled on failure
 *
 * Return: PD_OK, PD_CLOSED, PD_TIMEOUT, PD_TOO_LARGE, PD_NO_MEMORY, PD_INVALID or
 * PD_UNSUPPORTED_VERSION.
 */
enum pd_code pd_feed_reader_next(struct pd_feed_reader *reader, struct pd_feed_message *msg,
				 struct pd_error *err);
/* Waits for @wait_us microseconds, or until bytes of a message or the end of the connection have
 * arrived; false if none have.
 */
bool pd_feed_reader_wait(const struct pd_feed_reader *reader, int64_t wait_us);
/* Whether bytes of a further message, or the end of the connection, have already arrived. */
bool pd_feed_reader_has_more(const struct pd_feed_reader *reader);

#endif
