#include "exchange.h"

#include <ck_pr.h>
#include <errno.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include "counters.h"
#include "headers.h"
#include "log.h"
#include "os.h"

#define READ_BYTES 16384
/* Limit of interim responses and responses to earlier requests before the response. An upstream in
 * trouble may send them without end, which fills the link until the deadline.
 */
#define DISCARDED_MAX_BYTES (256 * 1024)
/* An abandoned request whose response hasn't arrived after this time is cancelled by closing its
 * connection. */
#define DRAIN_TIMEOUT_US 400000
/* Bounds of the time for which an upstream must keep a new connection before a request that may run
 * only once is sent on it.
 */
#define SETTLE_MIN_US 2000
#define SETTLE_MAX_US 10000

bool pd_exchange_is_live(const struct pd_exchange *exchange)
{
	switch (exchange->state) {
	case PD_EXCHANGE_CONNECTING:
	case PD_EXCHANGE_SETTLING:
	case PD_EXCHANGE_SENDING:
	case PD_EXCHANGE_WAITING:
		return true;
	default:
		return false;
	}
}

bool pd_exchange_was_sent(const struct pd_exchange *exchange)
{
	return exchange->sent > 0;
}

short pd_exchange_events(const struct pd_exchange *exchange)
{
	switch (exchange->state) {
	case PD_EXCHANGE_CONNECTING:
		return POLLOUT;
	case PD_EXCHANGE_SENDING:
		return POLLIN | POLLOUT;
	default:
		return POLLIN;
	}
}

/* End of the last field and of the header. */
#define HEAD_END      PD_STR("\r\n\r\n")
#define REQUEST_PARTS 5 /* see fill_unsent() */

static size_t request_size(const struct pd_exchange *exchange)
{
	return exchange->request->head.len + exchange->tail_len + exchange->instance.len +
	       HEAD_END.len + exchange->request->body.len;
}

/* Fills @iov with the data that is still to be sent; returns the number of entries. */
static int fill_unsent(const struct pd_exchange *exchange, struct iovec *iov)
{
	struct pd_str parts[REQUEST_PARTS] = {
		exchange->request->head, {exchange->tail, exchange->tail_len},
		exchange->instance,	 HEAD_END,
		exchange->request->body,
	};
	size_t skip = exchange->sent;
	int count = 0;

	for (size_t i = 0; i < sizeof(parts) / sizeof(parts[0]); i++) {
		if (skip >= parts[i].len) {
			skip -= parts[i].len;
			continue;
		}
		iov[count].iov_base = (char *)parts[i].data + skip;
		iov[count++].iov_len = parts[i].len - skip;
		skip = 0;
	}
	return count;
}

/* Sets the final state after an error of the connection. */
static void fail_exchange(struct pd_exchange *exchange)
{
	exchange->reusable = false;
	exchange->stale = exchange->conn && exchange->conn->reused && !exchange->received;
	exchange->state = exchange->sent ? PD_EXCHANGE_BROKEN : PD_EXCHANGE_UNREACHABLE;
}

static void send_request(struct pd_exchange *exchange)
{
	struct iovec iov[REQUEST_PARTS];
	struct msghdr msg = {.msg_iov = iov};
	ssize_t n;

	/* The process may have been suspended since the permit was given. */
	if (!exchange->sent && pd_os_boot_us() > exchange->permit_until_us) {
		exchange->reusable = false;
		exchange->state = PD_EXCHANGE_EXPIRED;
		return;
	}
	msg.msg_iovlen = (size_t)fill_unsent(exchange, iov);
	n = sendmsg(exchange->conn->fd, &msg, MSG_NOSIGNAL | MSG_DONTWAIT);
	if (n < 0) {
		if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)
			fail_exchange(exchange);
		return;
	}
	exchange->sent += (size_t)n;
	if (exchange->sent == request_size(exchange))
		exchange->state = PD_EXCHANGE_WAITING;
}

/* Returns the time for which an upstream must keep a new connection: two round trips, since it
 * accepts the connection half a round trip after it is established here.
 */
static int64_t settle_time_us(int fd)
{
	struct tcp_info info;
	socklen_t len = sizeof(info);
	int64_t time_us;

	memset(&info, 0, sizeof(info));
	if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &len))
		return SETTLE_MIN_US;
	time_us = 2 * (int64_t)info.tcpi_rtt;
	if (time_us < SETTLE_MIN_US)
		return SETTLE_MIN_US;
	return time_us < SETTLE_MAX_US ? time_us : SETTLE_MAX_US;
}

static void finish_connect(struct pd_exchange *exchange)
{
	socklen_t len = sizeof(int);
	int error = 0;

	getsockopt(exchange->conn->fd, SOL_SOCKET, SO_ERROR, &error, &len);
	if (error) {
		exchange->state = PD_EXCHANGE_UNREACHABLE;
		return;
	}
	if (exchange->settle) {
		exchange->state = PD_EXCHANGE_SETTLING;
		exchange->settle_until_us = pd_os_boot_us() + settle_time_us(exchange->conn->fd);
		return;
	}
	exchange->state = PD_EXCHANGE_SENDING;
	send_request(exchange);
}

void pd_exchange_check_settled(struct pd_exchange *exchange, int64_t now_us)
{
	if (exchange->state != PD_EXCHANGE_SETTLING || now_us < exchange->settle_until_us)
		return;
	exchange->state = PD_EXCHANGE_SENDING;
	send_request(exchange);
}

/* Ends an exchange whose connection has an event before the request was sent. */
static void check_refused(struct pd_exchange *exchange)
{
	char byte;
	ssize_t n = recv(exchange->conn->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
		return;
	exchange->reusable = false;
	exchange->state = PD_EXCHANGE_REFUSED;
}

/* Whether the response belongs to this request: a duplicate response to an earlier request may
 * arrive late on a reused connection. Rejections may lack the request id, so that a response
 * without one is accepted on a new connection. */
static bool is_own_response(const struct pd_exchange *exchange,
			    const struct pd_response_fields *fields)
{
	if (fields->has_request_id)
		return pd_str_equal(fields->request_id, exchange->request->request_id);
	return !exchange->conn->reused;
}

static void handle_response(struct pd_exchange *exchange, const struct pd_response_fields *fields)
{
	struct pd_http_message *msg = &exchange->conn->msg;

	pd_conn_update_idle_limit(exchange->conn);
	exchange->has_load = fields->has_load;
	exchange->load = (double)fields->running + fields->queued;
	exchange->queued = fields->queued;
	exchange->has_speed = fields->has_speed;
	exchange->speed = fields->speed;
	exchange->directives = fields->directives;
	exchange->closing = !msg->keep_alive;
	exchange->reusable = exchange->reusable && msg->keep_alive && msg->framed &&
			     exchange->state == PD_EXCHANGE_WAITING;
	switch (fields->execution) {
	case PD_RESPONSE_EXECUTED:
		exchange->state = PD_EXCHANGE_ANSWERED;
		break;
	case PD_RESPONSE_NOT_EXECUTED:
		exchange->state = PD_EXCHANGE_REJECTED;
		break;
	case PD_RESPONSE_WRONG_INSTANCE:
		exchange->state = PD_EXCHANGE_WRONG_INSTANCE;
		break;
	}
}

/* Handles a complete message: the response to this request, an interim response, or a response to
 * an earlier request. */
static void handle_message(struct pd_exchange *exchange)
{
	struct pd_http_message *msg = &exchange->conn->msg;
	struct pd_response_fields fields;

	if (pd_http_message_is_interim(msg)) {
		exchange->reusable = exchange->reusable && msg->keep_alive;
		pd_http_message_reset(msg);
		msg->response_to_head = exchange->request->head_only;
		return;
	}
	pd_platform_read_response(msg, &fields);
	if (is_own_response(exchange, &fields)) {
		handle_response(exchange, &fields);
		return;
	}
	pd_count(PD_COUNT_replies_mismatched);
	if (!fields.has_request_id || !msg->framed) {
		fail_exchange(exchange);
		return;
	}
	pd_http_message_reset(msg);
	msg->response_to_head = exchange->request->head_only;
}

/* Ends an exchange because all responses that are being read take up too much memory. */
static void fail_large_response(struct pd_exchange *exchange)
{
	pd_log(PD_LOG_WARNING, "response_too_large",
	       "upstream=%s service=%s bytes=%zu all_bytes=%" PRIu64, exchange->upstream->id.text,
	       exchange->upstream->service->name.text, exchange->conn->msg.body.len,
	       ck_pr_load_64(&exchange->conn->pool->buffered));
	fail_exchange(exchange);
}

/* Ends an exchange whose response has an invalid status code. */
static void fail_status(struct pd_exchange *exchange)
{
	pd_conn_report_status(exchange->conn, exchange->request->request_id);
	fail_exchange(exchange);
	if (exchange->sent)
		exchange->state = PD_EXCHANGE_INVALID;
}

static void parse_bytes(struct pd_exchange *exchange, const char *bytes, size_t len)
{
	exchange->received = true;
	while (len && pd_exchange_is_live(exchange)) {
		size_t used;

		switch (pd_http_message_parse(&exchange->conn->msg, bytes, len, &used)) {
		case PD_HTTP_INCOMPLETE:
			if (!pd_conn_count_buffered(exchange->conn))
				fail_large_response(exchange);
			return;
		case PD_HTTP_COMPLETE:
			handle_message(exchange);
			break;
		case PD_HTTP_INVALID_STATUS:
			fail_status(exchange);
			return;
		default:
			fail_exchange(exchange);
			return;
		}
		bytes += used;
		len -= used;
		exchange->discarded += used;
		if (exchange->discarded > DISCARDED_MAX_BYTES && pd_exchange_is_live(exchange))
			fail_exchange(exchange);
	}
	/* Bytes after the response belong to no request. */
	if (len)
		exchange->reusable = false;
}

static void receive(struct pd_exchange *exchange)
{
	char bytes[READ_BYTES];
	ssize_t n = recv(exchange->conn->fd, bytes, sizeof(bytes), MSG_DONTWAIT);

	if (n > 0) {
		parse_bytes(exchange, bytes, (size_t)n);
		return;
	}
	if (n < 0) {
		if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)
			fail_exchange(exchange);
		return;
	}
	exchange->reusable = false;
	if (exchange->conn->msg.head_complete &&
	    pd_http_message_eof(&exchange->conn->msg) == PD_HTTP_COMPLETE)
		handle_message(exchange);
	if (pd_exchange_is_live(exchange))
		fail_exchange(exchange);
}

void pd_exchange_step(struct pd_exchange *exchange)
{
	if (exchange->state == PD_EXCHANGE_SETTLING)
		check_refused(exchange);
	else if (exchange->state == PD_EXCHANGE_CONNECTING)
		finish_connect(exchange);
	else if (exchange->state == PD_EXCHANGE_SENDING)
		send_request(exchange);
	if (exchange->state == PD_EXCHANGE_SENDING || exchange->state == PD_EXCHANGE_WAITING)
		receive(exchange);
}

void pd_exchange_start(struct pd_exchange *exchange, struct pd_pool *pool,
		       struct pd_upstream *upstream, const struct pd_exchange_request *request,
		       int64_t deadline_us, int64_t max_idle_us, int64_t now_us)
{
	int64_t left_ms = (deadline_us - now_us) / PD_USEC_PER_MSEC;
	struct pd_error err;

	memset(exchange, 0, sizeof(*exchange));
	exchange->upstream = upstream;
	exchange->request = request;
	exchange->started_us = now_us;
	/* @now_us is that of the whole fan-out, which may take longer to start. */
	exchange->permit_until_us = pd_os_boot_us() + PD_PERMIT_VALID_US;
	if (request->send_until_us && request->send_until_us < exchange->permit_until_us)
		exchange->permit_until_us = request->send_until_us;
	exchange->reusable = max_idle_us > 0;
	exchange->settle = max_idle_us == 0;
	exchange->tail_len = pd_platform_write_tail(exchange->tail, sizeof(exchange->tail),
						    left_ms > 0 ? (uint64_t)left_ms : 0);
	exchange->instance = pd_upstream_id(upstream);
	exchange->conn = max_idle_us ? pd_pool_get_idle(pool, upstream, max_idle_us, now_us) : NULL;
	if (exchange->conn) {
		exchange->conn->msg.response_to_head = request->head_only;
		exchange->state = PD_EXCHANGE_SENDING;
		send_request(exchange);
		return;
	}
	exchange->conn = pd_pool_connect(pool, upstream, &err);
	if (!exchange->conn) {
		pd_log_failure(PD_LOG_WARNING, "connect_failed", &err);
		exchange->state = PD_EXCHANGE_UNREACHABLE;
		return;
	}
	exchange->conn->msg.response_to_head = request->head_only;
	exchange->state = PD_EXCHANGE_CONNECTING;
}

void pd_exchange_end(struct pd_exchange *exchange, struct pd_pool *pool,
		     const struct pd_report *report, int64_t now_us)
{
	if (exchange->conn) {
		bool complete = exchange->state == PD_EXCHANGE_ANSWERED ||
				exchange->state == PD_EXCHANGE_REJECTED ||
				exchange->state == PD_EXCHANGE_WRONG_INSTANCE;

		if (complete && exchange->reusable && report->kind != PD_REPORT_WRONG_INSTANCE)
			pd_pool_put(pool, exchange->conn, now_us);
		else
			pd_pool_close(pool, exchange->conn);
		exchange->conn = NULL;
	}
	pd_registry_report(pool->registry, exchange->upstream, report, now_us);
	exchange->state = PD_EXCHANGE_UNUSED;
}

void pd_exchange_abandon(struct pd_exchange *exchange, struct pd_pool *pool, bool close,
			 enum pd_report_kind kind, int64_t now_us)
{
	struct pd_report report = {.kind = kind,
				   .latency_us = now_us - exchange->started_us,
				   .late = exchange->overdue,
				   .stats = exchange->stats};

	if (!close && exchange->state == PD_EXCHANGE_WAITING)
		pd_pool_drain(pool, exchange->conn, now_us + DRAIN_TIMEOUT_US);
	else
		pd_pool_close(pool, exchange->conn);
	exchange->conn = NULL;
	pd_registry_report(pool->registry, exchange->upstream, &report, now_us);
	exchange->state = PD_EXCHANGE_UNUSED;
}
