/**
 * DOC: Relaying the bytes of one TCP connection, with delay and faults
 */
#ifndef STANDIN_PUMP_H
#define STANDIN_PUMP_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

/** enum standin_pump_mode - what happens to the bytes. */
enum standin_pump_mode {
	STANDIN_PUMP_NORMAL,
	STANDIN_PUMP_DROP_REPLIES, /* what the target sends doesn't get through */
	STANDIN_PUMP_BLACKHOLE, /* neither bytes nor the end of a stream get through */
	STANDIN_PUMP_RESET, /* both connections are closed */
};

/**
 * struct standin_pump - one relayed connection
 * @fds: client side and target side; -1 when not connected
 * @mode: enum standin_pump_mode; set by any thread, never back to normal
 * @delay_us: one-way delay in each direction, microseconds; shared by connections
 * @byte_counts: relayed from the client and to the client; shared by connections
 */
struct standin_pump {
	int fds[2];
	atomic_int mode;
	atomic_llong *delay_us;
	atomic_ullong *byte_counts;
};

/**
 * standin_pump_run() - relays until both directions have ended
 *
 * Returns with both descriptors still open, so that another thread may shut them down safely; the
 * caller closes them. A silent pump returns when both ends have closed their connections.
 */
void standin_pump_run(struct standin_pump *pump);
/* Makes close() of @fd send a reset. */
void standin_pump_reset_on_close(int fd);

#endif
