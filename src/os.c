#include "os.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/random.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define THREAD_STACK_BYTES (256 * 1024)
#define LISTEN_BACKLOG	   512

int64_t pd_os_now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * PD_USEC_PER_SEC + ts.tv_nsec / 1000;
}

int64_t pd_os_boot_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (int64_t)ts.tv_sec * PD_USEC_PER_SEC + ts.tv_nsec / 1000;
}

int64_t pd_os_unix_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static struct timespec to_timespec(int64_t us)
{
	return (struct timespec){.tv_sec = us / PD_USEC_PER_SEC,
				 .tv_nsec = us % PD_USEC_PER_SEC * 1000};
}

void pd_os_sleep_us(int64_t us)
{
	struct timespec ts = to_timespec(us > 0 ? us : 0);

	while (clock_nanosleep(CLOCK_MONOTONIC, 0, &ts, &ts) == EINTR)
		;
}

uint64_t pd_os_random_seed(void)
{
	uint64_t seed;

	if (getrandom(&seed, sizeof(seed), 0) != sizeof(seed))
		seed = (uint64_t)pd_os_now_us() ^ ((uint64_t)getpid() << 40);
	return seed;
}

void pd_os_cond_init(pthread_cond_t *cond)
{
	pthread_condattr_t attr;

	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(cond, &attr);
	pthread_condattr_destroy(&attr);
}

bool pd_os_cond_wait_until(pthread_cond_t *cond, pthread_mutex_t *mutex, int64_t deadline_us)
{
	struct timespec ts = to_timespec(deadline_us > 0 ? deadline_us : 0);

	return pthread_cond_timedwait(cond, mutex, &ts) == 0;
}

enum pd_code pd_os_thread_start(pthread_t *thread, const char *name, void *(*run)(void *),
				void *arg, struct pd_error *err)
{
	pthread_attr_t attr;
	int rc;

	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, THREAD_STACK_BYTES);
	rc = pthread_create(thread, &attr, run, arg);
	pthread_attr_destroy(&attr);
	if (rc)
		return pd_error_set(err, PD_LAYER_BASE, PD_SYSTEM, "can't start thread \"%s\": %s",
				    name, strerror(rc));
	pthread_setname_np(*thread, name);
	return PD_OK;
}

enum pd_code pd_address_parse(struct pd_str text, struct pd_address *address, struct pd_error *err)
{
	const char *colon = text.len ? memrchr(text.data, ':', text.len) : NULL;
	struct in_addr parsed;
	uint64_t port;

	if (!colon)
		return pd_error_set(err, PD_LAYER_BASE, PD_INVALID,
				    "address \"%.*s\" is not IP:PORT", PD_STR_ARG(text));
	struct pd_str ip = {text.data, (size_t)(colon - text.data)};
	struct pd_str digits = {colon + 1, text.len - ip.len - 1};

	if (!pd_str_copy(ip, address->ip, sizeof(address->ip)) ||
	    inet_pton(AF_INET, address->ip, &parsed) != 1 || !pd_str_to_u64(digits, &port) ||
	    port > UINT16_MAX)
		return pd_error_set(err, PD_LAYER_BASE, PD_INVALID,
				    "address \"%.*s\" is not IP:PORT", PD_STR_ARG(text));
	address->port = (uint16_t)port;
	return PD_OK;
}

void pd_address_format(const struct pd_address *address, char *out, size_t size)
{
	snprintf(out, size, "%s:%u", address->ip, address->port);
}

static struct sockaddr_in to_sockaddr(const struct pd_address *address)
{
	struct sockaddr_in sa = {.sin_family = AF_INET, .sin_port = htons(address->port)};

	inet_pton(AF_INET, address->ip, &sa.sin_addr);
	return sa;
}

/* Disables Nagle's algorithm, which would delay small messages. */
static void set_no_delay(int fd)
{
	int on = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

enum pd_code pd_os_listen(struct pd_address *address, int *fd, struct pd_error *err)
{
	struct sockaddr_in sa = to_sockaddr(address);
	socklen_t len = sizeof(sa);
	int on = 1;

	*fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (*fd < 0)
		return pd_error_set(err, PD_LAYER_BASE, PD_SYSTEM, "can't create a socket: %s",
				    strerror(errno));
	setsockopt(*fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(*fd, (struct sockaddr *)&sa, sizeof(sa)) || listen(*fd, LISTEN_BACKLOG) ||
	    getsockname(*fd, (struct sockaddr *)&sa, &len)) {
		pd_error_set(err, PD_LAYER_BASE, PD_SYSTEM, "can't listen at %s:%u: %s",
			     address->ip, address->port, strerror(errno));
		pd_os_close(fd);
		return PD_SYSTEM;
	}
	address->port = ntohs(sa.sin_port);
	return PD_OK;
}

enum pd_code pd_os_accept(int listener, int *fd, struct pd_error *err)
{
	for (;;) {
		*fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC);
		if (*fd >= 0)
			break;
		if (errno == EINTR || errno == ECONNABORTED)
			continue;
		/* Out of file descriptors: retries, since some may be closed in the meantime. */
		if (errno == EMFILE || errno == ENFILE) {
			pd_os_sleep_us(10 * PD_USEC_PER_MSEC);
			continue;
		}
		return pd_error_set(err, PD_LAYER_BASE, PD_CLOSED, "can't accept a connection: %s",
				    strerror(errno));
	}
	set_no_delay(*fd);
	return PD_OK;
}

static enum pd_code connect_code(int error)
{
	switch (error) {
	case ECONNREFUSED:
		return PD_REFUSED_CONNECTION;
	case ETIMEDOUT:
		return PD_TIMEOUT;
	default:
		return PD_UNREACHABLE;
	}
}

/* Waits until a connection attempt on @fd ends; returns 0 or its errno value. */
static int wait_connected(int fd, int64_t timeout_us)
{
	struct pollfd p = {.fd = fd, .events = POLLOUT};
	int64_t end_us = pd_os_now_us() + timeout_us;
	socklen_t len = sizeof(int);
	int error = 0;

	for (;;) {
		int64_t remaining_us = end_us - pd_os_now_us();
		int rc = poll(&p, 1,
			      remaining_us > 0 ? (int)(remaining_us / PD_USEC_PER_MSEC) + 1 : 0);

		if (rc < 0 && errno == EINTR)
			continue;
		if (rc == 0)
			return ETIMEDOUT;
		break;
	}
	getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len);
	return error;
}

enum pd_code pd_os_connect(const struct pd_address *address, int64_t timeout_us, int *fd,
			   struct pd_error *err)
{
	struct sockaddr_in sa = to_sockaddr(address);
	enum pd_code code;
	int error = 0;

	*fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	if (*fd < 0)
		return pd_error_set(err, PD_LAYER_BASE, PD_SYSTEM, "can't create a socket: %s",
				    strerror(errno));
	if (connect(*fd, (struct sockaddr *)&sa, sizeof(sa)))
		error = errno == EINPROGRESS ? wait_connected(*fd, timeout_us) : errno;
	if (error) {
		code = connect_code(error);
		pd_error_set(err, PD_LAYER_BASE, code, "can't connect to %s:%u: %s", address->ip,
			     address->port, strerror(error));
		pd_os_close(fd);
		return code;
	}
	fcntl(*fd, F_SETFL, 0);
	set_no_delay(*fd);
	return PD_OK;
}

void pd_os_set_io_timeout(int fd, int64_t timeout_us)
{
	struct timeval tv = {.tv_sec = timeout_us / PD_USEC_PER_SEC,
			     .tv_usec = timeout_us % PD_USEC_PER_SEC};

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &tv, sizeof(tv));
}

void pd_os_set_unsent_max(int fd, int bytes)
{
	setsockopt(fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &bytes, sizeof(bytes));
}

enum pd_code pd_os_read_full(int fd, void *data, size_t len, struct pd_error *err)
{
	size_t done = 0;

	while (done < len) {
		ssize_t n = recv(fd, (char *)data + done, len - done, 0);

		if (n > 0) {
			done += (size_t)n;
			continue;
		}
		if (n == 0)
			return pd_error_set(err, PD_LAYER_BASE, PD_CLOSED,
					    "connection closed after %zu of %zu bytes", done, len);
		if (errno == EINTR)
			continue;
		if (errno == EAGAIN || errno == EWOULDBLOCK)
			return pd_error_set(err, PD_LAYER_BASE, PD_TIMEOUT,
					    "receive timed out after %zu of %zu bytes", done, len);
		return pd_error_set(err, PD_LAYER_BASE, PD_CLOSED, "receive failed: %s",
				    strerror(errno));
	}
	return PD_OK;
}

enum pd_code pd_os_write_full(int fd, const void *data, size_t len, struct pd_error *err)
{
	size_t done = 0;

	while (done < len) {
		ssize_t n = send(fd, (const char *)data + done, len - done, MSG_NOSIGNAL);

		if (n >= 0) {
			done += (size_t)n;
			continue;
		}
		if (errno == EINTR)
			continue;
		if (errno == EAGAIN || errno == EWOULDBLOCK)
			return pd_error_set(err, PD_LAYER_BASE, PD_TIMEOUT,
					    "send timed out after %zu of %zu bytes", done, len);
		return pd_error_set(err, PD_LAYER_BASE, PD_CLOSED, "send failed: %s",
				    strerror(errno));
	}
	return PD_OK;
}

void pd_os_shutdown(int fd)
{
	if (fd >= 0)
		shutdown(fd, SHUT_RDWR);
}

void pd_os_close(int *fd)
{
	if (*fd >= 0)
		close(*fd);
	*fd = -1;
}

static void init_stop_signals(sigset_t *set)
{
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
}

void pd_os_signals_block(void)
{
	sigset_t set;

	init_stop_signals(&set);
	sigaddset(&set, SIGPIPE);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
}

int pd_os_signal_wait(void)
{
	sigset_t set;
	int sig = 0;

	init_stop_signals(&set);
	while (sigwait(&set, &sig))
		;
	return sig;
}
