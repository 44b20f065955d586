#include "pool.h"

#include <ck_pr.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "counters.h"
#include "headers.h"
#include "log.h"
#include "os.h"
#include "registry_private.h"

/* An upstream may close an idle connection this long before the Keep-Alive timeout that it sends,
 * because the timeout is in whole seconds and measured by the upstream's own clock.
 */
#define IDLE_MARGIN_US	      700000
#define IDLE_LIMIT_DEFAULT_US 4000000 /* for upstreams that send no Keep-Alive timeout */
#define IDLE_LIMIT_MAX_US     60000000
#define READ_BUFFER_BYTES     8192
/* Responses up to this size are read even if all responses together take up too much memory. */
#define SMALL_RESPONSE_BYTES (64 * 1024)
/* The kernel closes a connection whose data isn't acknowledged for this long, so that it isn't
 * reused while the network path is broken.
 */
#define TCP_USER_TIMEOUT_MS 3000

/* Share of the connections accepted by an upstream that all instances together use. The rest is for
 * instances that lost power and restart: the upstream keeps their old connections open until those
 * time out, while the instances open as many new ones at once.
 */
#define CONNECTION_SHARE 0.5

/* Returns the number of connections to the upstream that this instance may hold. */
static uint32_t connection_limit(const struct pd_upstream *upstream)
{
	const struct pd_service *service = upstream->service;
	double share = service->max_connections * CONNECTION_SHARE * service->registry->share;

	if (!service->max_connections)
		return UINT32_MAX;
	return share < 1 ? 1 : (uint32_t)share;
}

bool pd_pool_at_connection_limit_locked(const struct pd_upstream *upstream)
{
	return upstream->connections >= connection_limit(upstream);
}

static uint32_t count_idle(const struct pd_upstream *upstream)
{
	uint32_t count = 0;

	for (const struct pd_conn *conn = upstream->idle; conn; conn = conn->next)
		count++;
	return count;
}

void pd_pool_init(struct pd_pool *pool, struct pd_registry *registry, uint32_t connections_max,
		  uint64_t buffered_max)
{
	memset(pool, 0, sizeof(*pool));
	pool->registry = registry;
	pool->connections_max = connections_max;
	pool->buffered_max = buffered_max;
}

bool pd_conn_count_buffered(struct pd_conn *conn)
{
	size_t now = conn->msg.head.cap + conn->msg.body.cap;
	uint64_t change = (uint64_t)now - conn->buffered;
	/* One operation, also for no change: Concurrency Kit's load is a plain read where it uses
	 * compiler builtins, which the thread sanitizer reports as a data race. */
	uint64_t total = ck_pr_faa_64(&conn->pool->buffered, change) + change;

	conn->buffered = now;
	return now <= SMALL_RESPONSE_BYTES || total <= conn->pool->buffered_max;
}

static void reset_response(struct pd_conn *conn)
{
	pd_http_message_reset(&conn->msg);
	pd_conn_count_buffered(conn);
}

/* Closes and frees a connection without updating the connection counts. */
static void free_conn(struct pd_conn *conn)
{
	pd_os_close(&conn->fd);
	pd_http_message_finish(&conn->msg);
	pd_conn_count_buffered(conn);
	free(conn);
}

static void close_locked(struct pd_pool *pool, struct pd_conn *conn)
{
	struct pd_upstream *upstream = conn->upstream;

	free_conn(conn);
	upstream->connections--;
	pool->registry->connections--;
	pd_registry_unref_locked(upstream);
}

void pd_pool_close(struct pd_pool *pool, struct pd_conn *conn)
{
	pthread_mutex_lock(&pool->registry->lock);
	close_locked(pool, conn);
	pthread_mutex_unlock(&pool->registry->lock);
}

/* An idle connection holds no reference to its upstream, so that the upstream can be freed. */
void pd_pool_close_idle_locked(struct pd_upstream *upstream)
{
	while (upstream->idle) {
		struct pd_conn *conn = upstream->idle;

		upstream->idle = conn->next;
		upstream->connections--;
		upstream->service->registry->connections--;
		free_conn(conn);
	}
}

void pd_pool_finish(struct pd_pool *pool)
{
	pthread_mutex_lock(&pool->registry->lock);
	while (pool->draining) {
		struct pd_conn *conn = pool->draining;

		pool->draining = conn->next;
		close_locked(pool, conn);
	}
	pthread_mutex_unlock(&pool->registry->lock);
}

static bool is_usable(int fd)
{
	char byte;
	ssize_t n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	/* An idle connection with received bytes isn't usable: they belong to no request. */
	return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

struct pd_conn *pd_pool_get_idle(struct pd_pool *pool, struct pd_upstream *upstream,
				 int64_t max_idle_us, int64_t now_us)
{
	struct pd_conn *conn;

	pthread_mutex_lock(&pool->registry->lock);
	while ((conn = upstream->idle)) {
		int64_t idle = now_us - conn->idle_since_us;

		upstream->idle = conn->next;
		conn->next = NULL;
		upstream->references++;
		if (idle < conn->idle_limit_us && idle < max_idle_us && is_usable(conn->fd))
			break;
		close_locked(pool, conn);
	}
	pthread_mutex_unlock(&pool->registry->lock);
	return conn;
}

static struct pd_conn *new_conn(struct pd_pool *pool, int fd, struct pd_upstream *upstream)
{
	struct pd_conn *conn = calloc(1, sizeof(*conn));

	if (!conn)
		return NULL;
	conn->fd = fd;
	conn->upstream = upstream;
	conn->pool = pool;
	conn->opened_us = pd_os_boot_us();
	conn->idle_limit_us = IDLE_LIMIT_DEFAULT_US;
	pd_http_message_init(&conn->msg, PD_HTTP_RESPONSE, PD_RESPONSE_HEAD_MAX_BYTES,
			     PD_RESPONSE_BODY_MAX_BYTES);
	return conn;
}

static int connect_nonblocking(const struct sockaddr_in *address)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	unsigned int timeout_ms = TCP_USER_TIMEOUT_MS;
	int enable = 1;

	if (fd < 0)
		return -1;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof(enable));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof(timeout_ms));
	if (connect(fd, (const struct sockaddr *)address, sizeof(*address)) &&
	    errno != EINPROGRESS) {
		int error = errno;

		close(fd);
		errno = error;
		return -1;
	}
	return fd;
}

struct pd_conn *pd_pool_connect(struct pd_pool *pool, struct pd_upstream *upstream,
				struct pd_error *err)
{
	struct pd_conn *conn = NULL;
	bool at_limit;
	int fd;

	pthread_mutex_lock(&pool->registry->lock);
	at_limit = pool->registry->connections >= pool->connections_max;
	pthread_mutex_unlock(&pool->registry->lock);
	if (at_limit) {
		pd_error_set(err, PD_LAYER_TRANSPORT, PD_UNAVAILABLE,
			     "no connection to %s: limit of %u connections to upstreams is reached",
			     upstream->address_text, pool->connections_max);
		return NULL;
	}
	fd = connect_nonblocking(&upstream->address);
	if (fd < 0) {
		pd_error_set(err, PD_LAYER_TRANSPORT, PD_UNREACHABLE, "can't connect to %s: %s",
			     upstream->address_text, strerror(errno));
		return NULL;
	}
	conn = new_conn(pool, fd, upstream);
	if (!conn) {
		close(fd);
		pd_error_set(err, PD_LAYER_TRANSPORT, PD_NO_MEMORY,
			     "out of memory for a connection to %s", upstream->address_text);
		return NULL;
	}
	pthread_mutex_lock(&pool->registry->lock);
	upstream->references++;
	upstream->connections++;
	pool->registry->connections++;
	pthread_mutex_unlock(&pool->registry->lock);
	pd_count(PD_COUNT_upstream_connects);
	return conn;
}

/* Returns the time in microseconds for which a connection can safely stay idle, from the response's
 * "Keep-Alive: timeout=N".
 */
static int64_t parse_idle_limit(const struct pd_http_message *msg)
{
	struct pd_str value;
	int64_t seconds = 0;
	const char *at;

	if (!pd_http_message_field(msg, "Keep-Alive", &value))
		return IDLE_LIMIT_DEFAULT_US;
	at = memmem(value.data, value.len, "timeout=", 8);
	if (!at)
		return IDLE_LIMIT_DEFAULT_US;
	for (at += 8; at < value.data + value.len && *at >= '0' && *at <= '9'; at++) {
		seconds = seconds * 10 + (*at - '0');
		if (seconds * PD_USEC_PER_SEC > IDLE_LIMIT_MAX_US)
			return IDLE_LIMIT_MAX_US;
	}
	return seconds * PD_USEC_PER_SEC - IDLE_MARGIN_US;
}

void pd_conn_update_idle_limit(struct pd_conn *conn)
{
	conn->idle_limit_us = parse_idle_limit(&conn->msg);
}

void pd_conn_report_status(const struct pd_conn *conn, struct pd_str id)
{
	char quoted[PD_LOG_QUOTE_MAX_BYTES];

	pd_count(PD_COUNT_statuses_invalid);
	pd_log(PD_LOG_WARNING, "status_invalid", "id=%.*s service=%s upstream=%s status=%s",
	       PD_STR_ARG(id), conn->upstream->service->name.text, conn->upstream->id.text,
	       pd_log_quote(pd_http_message_status_text(&conn->msg), quoted));
}

/* Makes a connection idle, or closes it if it can't or needn't be reused. */
static void put_locked(struct pd_pool *pool, struct pd_conn *conn, int64_t now_us)
{
	struct pd_upstream *upstream = conn->upstream;

	if (pd_permit_is_final_locked(upstream) || conn->idle_limit_us <= 0 ||
	    count_idle(upstream) >= connection_limit(upstream)) {
		close_locked(pool, conn);
		return;
	}
	reset_response(conn);
	conn->reused = true;
	conn->idle_since_us = now_us;
	conn->next = upstream->idle;
	upstream->idle = conn;
	pd_registry_unref_locked(upstream);
}

void pd_pool_put(struct pd_pool *pool, struct pd_conn *conn, int64_t now_us)
{
	pthread_mutex_lock(&pool->registry->lock);
	put_locked(pool, conn, now_us);
	pthread_mutex_unlock(&pool->registry->lock);
}

void pd_pool_drain(struct pd_pool *pool, struct pd_conn *conn, int64_t until_us)
{
	conn->drain_deadline_us = until_us;
	pthread_mutex_lock(&pool->registry->lock);
	conn->next = pool->draining;
	pool->draining = conn;
	pthread_mutex_unlock(&pool->registry->lock);
}

/** enum drain_result - state of a connection that is being drained. */
enum drain_result {
	DRAIN_INCOMPLETE, /* the response isn't complete yet */
	DRAIN_DONE, /* the response is complete, and the connection can be reused */
	DRAIN_FAILED, /* the connection can't be reused */
};

/* Records what a response that isn't needed states about further requests. */
static void record_drained_response(struct pd_conn *conn, int64_t now_us)
{
	struct pd_response_fields fields;

	pd_platform_read_response(&conn->msg, &fields);
	if (fields.execution != PD_RESPONSE_WRONG_INSTANCE)
		pd_registry_record_directives_locked(conn->pool->registry, conn->upstream,
						     &fields.directives, 0, now_us);
}

/* Reads received bytes of a response that isn't needed. */
static enum drain_result drain_available(struct pd_conn *conn, int64_t now_us)
{
	char bytes[READ_BUFFER_BYTES];
	ssize_t n = recv(conn->fd, bytes, sizeof(bytes), MSG_DONTWAIT);
	size_t used;

	if (n < 0)
		return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR ? DRAIN_INCOMPLETE
										 : DRAIN_FAILED;
	if (n == 0)
		return DRAIN_FAILED;
	/* A late response shows that the zone is reachable. */
	pd_registry_report_received_locked(conn->upstream, now_us);
	switch (pd_http_message_parse(&conn->msg, bytes, (size_t)n, &used)) {
	case PD_HTTP_INCOMPLETE:
		return pd_conn_count_buffered(conn) ? DRAIN_INCOMPLETE : DRAIN_FAILED;
	case PD_HTTP_COMPLETE:
		if (pd_http_message_is_interim(&conn->msg)) {
			bool keep = used == (size_t)n && conn->msg.keep_alive;

			pd_http_message_reset(&conn->msg);
			return keep ? DRAIN_INCOMPLETE : DRAIN_FAILED;
		}
		pd_conn_update_idle_limit(conn);
		record_drained_response(conn, now_us);
		return used == (size_t)n && conn->msg.keep_alive ? DRAIN_DONE : DRAIN_FAILED;
	case PD_HTTP_INVALID_STATUS:
		pd_conn_report_status(conn, (struct pd_str){NULL, 0});
		return DRAIN_FAILED;
	default:
		return DRAIN_FAILED;
	}
}

/* Continues all drains; returns finished connections to the pool and closes failed and late ones.
 */
static void continue_draining(struct pd_pool *pool, int64_t now_us)
{
	struct pd_conn **link = &pool->draining;

	while (*link) {
		struct pd_conn *conn = *link;
		enum drain_result result = drain_available(conn, now_us);

		if (result == DRAIN_INCOMPLETE && now_us < conn->drain_deadline_us) {
			link = &conn->next;
			continue;
		}
		*link = conn->next;
		conn->next = NULL;
		if (result == DRAIN_DONE)
			put_locked(pool, conn, now_us);
		else
			close_locked(pool, conn);
	}
}

/* Closes connections of the upstream that were idle for longer than their limit. */
static void close_expired_idle(struct pd_pool *pool, struct pd_upstream *upstream, int64_t now_us)
{
	struct pd_conn **link = &upstream->idle;

	while (*link) {
		struct pd_conn *conn = *link;

		if (now_us - conn->idle_since_us < conn->idle_limit_us) {
			link = &conn->next;
			continue;
		}
		*link = conn->next;
		upstream->references++;
		close_locked(pool, conn);
	}
}

void pd_pool_maintain(struct pd_pool *pool, int64_t now_us)
{
	struct pd_registry *registry = pool->registry;
	struct pd_upstream *upstream, *next;

	pthread_mutex_lock(&registry->lock);
	continue_draining(pool, now_us);
	HASH_ITER(hh, registry->upstreams, upstream, next)
	{
		close_expired_idle(pool, upstream, now_us);
	}
	HASH_ITER(hh, registry->relay_upstreams, upstream, next)
	{
		close_expired_idle(pool, upstream, now_us);
	}
	pthread_mutex_unlock(&registry->lock);
}
