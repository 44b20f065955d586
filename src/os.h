/**
 * DOC: Operating system interface: clocks, threads, sockets, random seeds, signals
 */
#ifndef PD_OS_H
#define PD_OS_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "error.h"
#include "str.h"

#define PD_USEC_PER_MSEC ((int64_t)1000)
#define PD_USEC_PER_SEC	 1000000LL

/* CLOCK_MONOTONIC in microseconds; it also advances while the process is stopped by a signal. */
int64_t pd_os_now_us(void);
/* CLOCK_BOOTTIME in microseconds; unlike pd_os_now_us() it includes time spent suspended. */
int64_t pd_os_boot_us(void);
/* Wall clock time as Unix time in milliseconds. */
int64_t pd_os_unix_ms(void);
void pd_os_sleep_us(int64_t us);
/* Returns a random seed from getrandom(), or one made from time and process id if that fails. */
uint64_t pd_os_random_seed(void);

/* Initialises a condition variable that uses the monotonic clock. */
void pd_os_cond_init(pthread_cond_t *cond);
/* Waits until @cond is signalled or @deadline_us (monotonic) passes; false on timeout. */
bool pd_os_cond_wait_until(pthread_cond_t *cond, pthread_mutex_t *mutex, int64_t deadline_us);

/* Starts a thread that runs @run(@arg), with a 256 KB stack and the given name (at most 15 bytes).
 */
enum pd_code pd_os_thread_start(pthread_t *thread, const char *name, void *(*run)(void *),
				void *arg, struct pd_error *err);

/**
 * struct pd_address - IPv4 address and TCP port
 * @ip: dotted-decimal address, NUL-terminated
 * @port: TCP port in host byte order
 */
struct pd_address {
	char ip[16];
	uint16_t port;
};

/* Parses "IP:PORT"; PD_INVALID when malformed. */
enum pd_code pd_address_parse(struct pd_str text, struct pd_address *address, struct pd_error *err);
/* Writes "IP:PORT" and a NUL to @out; @size must be at least PD_ADDRESS_TEXT_MAX_BYTES. */
#define PD_ADDRESS_TEXT_MAX_BYTES 24
void pd_address_format(const struct pd_address *address, char *out, size_t size);

/* Opens a listening socket with SO_REUSEADDR; with port 0, the system picks a free port, which is
 * stored in @address. */
enum pd_code pd_os_listen(struct pd_address *address, int *fd, struct pd_error *err);
/* Accepts one connection and sets TCP_NODELAY. Retries while no file descriptor is available;
 * returns PD_CLOSED after any other failure, for example when the listener was shut down. */
enum pd_code pd_os_accept(int listener, int *fd, struct pd_error *err);
/* Connects and sets TCP_NODELAY; fails with PD_REFUSED_CONNECTION, PD_TIMEOUT, PD_UNREACHABLE or
 * PD_SYSTEM. */
enum pd_code pd_os_connect(const struct pd_address *address, int64_t timeout_us, int *fd,
			   struct pd_error *err);
/* Sets the timeout of each blocking send and receive on @fd; 0 means none. */
void pd_os_set_io_timeout(int fd, int64_t timeout_us);
/* Limits the bytes that the system buffers on @fd before it can send them, in addition to those
 * that it has sent and that aren't acknowledged; writes block beyond that. Without effect where the
 * system lacks the option. */
void pd_os_set_unsent_max(int fd, int bytes);
/* Reads exactly @len bytes; PD_TIMEOUT when the I/O timeout of @fd expires, PD_CLOSED at the end of
 * the stream or after another error. */
enum pd_code pd_os_read_full(int fd, void *data, size_t len, struct pd_error *err);
/* Writes exactly @len bytes; fails like pd_os_read_full(). */
enum pd_code pd_os_write_full(int fd, const void *data, size_t len, struct pd_error *err);
/* Shuts the socket down for reading and writing, which wakes threads that block on it; the
 * descriptor stays open. */
void pd_os_shutdown(int fd);
void pd_os_close(int *fd); /* closes *@fd unless it is -1, then sets it to -1 */

/* Blocks SIGTERM, SIGINT and SIGPIPE in this thread and the threads that it starts; has to be
 * called at the start of main(). */
void pd_os_signals_block(void);
/* Waits for SIGTERM or SIGINT; returns its number. */
int pd_os_signal_wait(void);

#endif
