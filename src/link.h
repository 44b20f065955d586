/**
 * DOC: A framed TCP connection between two entry instances
 *
 * A reader thread reads frames and calls the handler with each decoded message; a writer thread
 * writes queued frames in batches. Links are reference-counted, since other threads may still send
 * replies after the connection has ended; pd_link_send() then returns PD_CLOSED.
 */
#ifndef PD_LINK_H
#define PD_LINK_H

#include "message.h"

struct pd_link;

/**
 * struct pd_link_handler - callbacks of a connection, called from its reader thread
 * @message: called for each received message; must not block for long; the link frees the message
 *	     after the call
 * @closed: called exactly once, as the last callback, with the reason why the connection ended
 * @arg: passed to both callbacks
 */
struct pd_link_handler {
	void (*message)(void *arg, struct pd_link *link, const struct pd_message *msg);
	void (*closed)(void *arg, struct pd_link *link, const struct pd_error *reason);
	void *arg;
};

/**
 * pd_link_start() - starts the reader and the writer thread of a connected socket
 * @link: stores the new link, with one reference for the caller
 * @fd: connected socket; the link owns and closes it, also on failure
 * @handler: callbacks; copied
 * @idle_timeout_us: the connection ends with PD_TIMEOUT if nothing is received for this long, in
 *		     microseconds; 0 means no timeout
 * @err: filled in on failure
 */
enum pd_code pd_link_start(struct pd_link **link, int fd, const struct pd_link_handler *handler,
			   int64_t idle_timeout_us, struct pd_error *err);
struct pd_link *pd_link_get(struct pd_link *link); /* adds a reference */
void pd_link_put(struct pd_link *link); /* drops a reference; NULL is allowed */
/* Encodes and queues @msg; PD_CLOSED if the connection has ended, PD_UNAVAILABLE if the queue is
 * full. */
enum pd_code pd_link_send(struct pd_link *link, const struct pd_message *msg, struct pd_error *err);
/* Ends the connection. Returns at once; the closed callback follows with PD_CLOSED. */
void pd_link_close(struct pd_link *link);
/* Waits until all queued frames are written; false if the connection ends or @deadline_us
 * (monotonic) passes first. */
bool pd_link_flush(struct pd_link *link, int64_t deadline_us);
/* Ends the connection as timed out. Returns at once; the closed callback follows with PD_TIMEOUT.
 */
void pd_link_expire(struct pd_link *link);
/* Time at which data was last received, or at which the link was started, in microseconds of
 * pd_os_now_us(). */
int64_t pd_link_last_receive_us(const struct pd_link *link);
/* Returns the id of the link, which is unique in this process and never 0. */
uint64_t pd_link_id(const struct pd_link *link);

#endif
