/**
 * DOC: What the operating system gives: clocks, threads, sockets, random seeds
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

/* Monotonic time in microseconds; not stopped while the process is paused by a signal. */
int64_t pd_os_now_us(void);
/* Time since the machine started in microseconds, time of suspension included. */
int64_t pd_os_boot_us(void);
/* Wall clock, Unix time in milliseconds. */
int64_t pd_os_unix_ms(void);
void pd_os_sleep_us(int64_t us);
/* A seed from the system's random source. */
uint64_t pd_os_random_seed(void);

/* Condition variable on the monotonic clock. */
void pd_os_cond_init(pthread_cond_t *cond);
/* Waits until signalled or until @deadline_us (monotonic); false on timeout. */
bool pd_os_cond_wait_until(pthread_cond_t *cond, pthread_mutex_t *mutex, int64_t deadline_us);

/* Starts a thread with a 256 KB stack and the given name (15 bytes at most). */
enum pd_code pd_os_thread_start(pthread_t *thread, const char *name, void *(*run)(void *),
				void *arg, struct pd_error *err);

/**
 * struct pd_address - IPv4 address and TCP port
 * @ip: dotted quad, NUL-terminated
 * @port: host byte order
 */
struct pd_address {
	char ip[16];
	uint16_t port;
};

/* Parses "IP:PORT"; PD_INVALID when malformed. */
enum pd_code pd_address_parse(struct pd_str text, struct pd_address *address, struct pd_error *err);
/* Writes "IP:PORT" with a NUL; @size must be at least PD_ADDRESS_TEXT_MAX_BYTES. */
#define PD_ADDRESS_TEXT_MAX_BYTES 24
void pd_address_format(const struct pd_address *address, char *out, size_t size);

/* Listens with SO_REUSEADDR; port 0 takes a free one and stores it in @address. */
enum pd_code pd_os_listen(struct pd_address *address, int *fd, struct pd_error *err);
/* Accepts one connection with TCP_NODELAY; PD_CLOSED once the listener was shut down. */
enum pd_code pd_os_accept(int listener, int *fd, struct pd_error *err);
/* Connects with TCP_NODELAY; PD_REFUSED_CONNECTION, PD_TIMEOUT, PD_UNREACHABLE. */
enum pd_code pd_os_connect(const struct pd_address *address, int64_t timeout_us, int *fd,
			   struct pd_error *err);
/* Limits each blocking send and receive on @fd; 0 means no limit. */
void pd_os_set_io_timeout(int fd, int64_t timeout_us);
/* Reads exactly @len bytes; PD_CLOSED at an end of stream, PD_TIMEOUT by the I/O timeout. */
enum pd_code pd_os_read_full(int fd, void *data, size_t len, struct pd_error *err);
enum pd_code pd_os_write_full(int fd, const void *data, size_t len, struct pd_error *err);
/* Wakes threads that block on @fd; the descriptor stays open. */
void pd_os_shutdown(int fd);
void pd_os_close(int *fd); /* closes unless -1, then stores -1 */

/* Blocks SIGTERM, SIGINT and SIGPIPE in this and later threads; call first in main(). */
void pd_os_signals_block(void);
/* Waits for SIGTERM or SIGINT; returns its number. */
int pd_os_signal_wait(void);

#endif
