/**
 * DOC: A framed TCP connection between two entry instances
 *
 * One reader thread reads frames and calls the handler for each decoded message; one writer thread
 * takes encoded frames from a list and writes them in batches. A connection is reference-counted,
 * since replies can come from other threads after it broke; sending on a broken one returns
 * PD_CLOSED.
 */
#ifndef PD_LINK_H
#define PD_LINK_H

#include "message.h"

struct pd_link;

/**
 * struct pd_link_handler - what the owner of a connection wants to be told
 * @message: one message arrived; runs in the reader thread and must not block for long; the message
 *	     is finished by the link afterwards
 * @closed: the connection ended, with the reason; called exactly once, last, from the reader thread
 * @arg: passed to both
 */
struct pd_link_handler {
	void (*message)(void *arg, struct pd_link *link, const struct pd_message *msg);
	void (*closed)(void *arg, struct pd_link *link, const struct pd_error *reason);
	void *arg;
};

/**
 * pd_link_start() - starts the threads of a connected socket
 * @link: stores the new connection, with one reference for the caller
 * @fd: connected socket; the link closes it, also on failure
 * @handler: copied
 * @silence_us: close the connection with PD_TIMEOUT when nothing arrives for so long; 0: never
 * @err: filled on failure
 */
enum pd_code pd_link_start(struct pd_link **link, int fd, const struct pd_link_handler *handler,
			   int64_t silence_us, struct pd_error *err);
struct pd_link *pd_link_get(struct pd_link *link);
void pd_link_put(struct pd_link *link);
/* Queues @msg for the writer; PD_CLOSED on a broken link, PD_UNAVAILABLE when the queue is full. */
enum pd_code pd_link_send(struct pd_link *link, const struct pd_message *msg, struct pd_error *err);
/* Ends the connection; @closed is still called. Returns at once. */
void pd_link_close(struct pd_link *link);
/* Waits until queued frames are written, or @deadline_us (monotonic); false on timeout. */
bool pd_link_flush(struct pd_link *link, int64_t deadline_us);
/* Ends the connection as silent: @closed gets PD_TIMEOUT. Returns at once. */
void pd_link_expire(struct pd_link *link);
/* When something arrived last, or when the link started (monotonic). */
int64_t pd_link_last_receive_us(const struct pd_link *link);
uint64_t pd_link_id(const struct pd_link *link); /* unique in this process, never 0 */

#endif
