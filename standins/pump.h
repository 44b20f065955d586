/**
 * DOC: Relays the bytes of one TCP connection in both directions, with delay and injected faults
 */
#ifndef STANDIN_PUMP_H
#define STANDIN_PUMP_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * enum standin_pump_mode - what a pump does with the bytes that it receives
 * @STANDIN_PUMP_NORMAL: relays them in both directions
 * @STANDIN_PUMP_DROP_REPLIES: relays them to the target, and discards those that the target sends
 * @STANDIN_PUMP_BLACKHOLE: relays neither bytes nor the end of a stream
 * @STANDIN_PUMP_RESET: resets both connections
 *
 * The modes are in order of severity, so that they can be compared.
 */
enum standin_pump_mode {
	STANDIN_PUMP_NORMAL,
	STANDIN_PUMP_DROP_REPLIES,
	STANDIN_PUMP_BLACKHOLE,
	STANDIN_PUMP_RESET,
};

/**
 * struct standin_pump - one relayed connection
 * @fds: sockets of the client and of the target; -1 if not connected
 * @mode: enum standin_pump_mode; any thread may change it, but only to a more severe mode
 * @delay_us: one-way delay in each direction, in microseconds; connections share it
 * @byte_counts: two counters: bytes relayed to the target, and bytes relayed to the client;
 * connections share them
 */
struct standin_pump {
	int fds[2];
	atomic_int mode;
	atomic_llong *delay_us;
	atomic_ullong *byte_counts;
};

/**
 * standin_pump_run() - relays bytes until both directions have ended
 * @pump: connection to relay
 *
 * Leaves both sockets open, so that another thread may safely shut them down at any time; the
 * caller closes them. In the mode STANDIN_PUMP_BLACKHOLE, it returns when both the client and the
 * target have closed their connections.
 */
void standin_pump_run(struct standin_pump *pump);
/* Makes close() of @fd send a reset. */
void standin_pump_reset_on_close(int fd);

#endif
