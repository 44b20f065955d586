/**
 * DOC: One attempt of a sub-request at one upstream
 *
 * The caller polls the connection's descriptor for pd_exchange_events() and calls
 * pd_exchange_step() when one of them occurs.
 */
#ifndef PD_EXCHANGE_H
#define PD_EXCHANGE_H

#include <stdbool.h>
#include <stdint.h>

#include "pool.h"
#include "registry.h"
#include "str.h"

/** enum pd_exchange_state - state of an exchange. */
enum pd_exchange_state {
	PD_EXCHANGE_UNUSED,
	PD_EXCHANGE_CONNECTING,
	PD_EXCHANGE_SETTLING, /* connected; waits whether the upstream keeps the connection */
	PD_EXCHANGE_SENDING,
	PD_EXCHANGE_WAITING,
	PD_EXCHANGE_ANSWERED, /* the upstream sent a complete response to this request */
	PD_EXCHANGE_REJECTED, /* the upstream states that it didn't execute the request */
	PD_EXCHANGE_WRONG_INSTANCE, /* another instance responded and didn't execute the request */
	PD_EXCHANGE_UNREACHABLE, /* the connection failed before anything was sent */
	PD_EXCHANGE_REFUSED, /* the upstream closed a new connection before anything was sent */
	PD_EXCHANGE_EXPIRED, /* the permit expired before anything was sent */
	PD_EXCHANGE_INVALID, /* the response has an invalid status; the request may have executed */
	PD_EXCHANGE_BROKEN, /* no complete response after sending; the request may have executed */
};

/**
 * struct pd_exchange_request - common part of all sub-requests of one request
 * @head: request line and those header fields that are the same for all sub-requests
 * @body: body of the request
 * @request_id: id of the request, which the upstream echoes in its response
 * @head_only: the method is HEAD, so that responses have no body
 * @send_until_us: time until which an attempt may begin to be sent, in microseconds of
 *	pd_os_boot_us(); 0 for no limit
 */
struct pd_exchange_request {
	struct pd_str head;
	struct pd_str body;
	struct pd_str request_id;
	bool head_only;
	int64_t send_until_us;
};

#define PD_EXCHANGE_TAIL_MAX_BYTES 160

/**
 * struct pd_exchange - one attempt of a sub-request
 * @state: state of the exchange
 * @upstream: upstream, to which the exchange holds a reference until it ends
 * @conn: connection to the upstream; NULL if there is none
 * @request: common part of the request
 * @tail: rest of the header up to the value of its last field, the expected instance
 * @tail_len: length of @tail in bytes
 * @instance: value of that field: the id of @upstream
 * @sent: number of bytes of the request sent so far
 * @started_us: time at which the exchange started, in microseconds of pd_os_boot_us()
 * @settle: the request is only sent once the upstream has kept a new connection for a while
 * @settle_until_us: end of that while, in microseconds of pd_os_boot_us()
 * @permit_until_us: time until which the request may begin to be sent, in microseconds of
 *	pd_os_boot_us()
 * @discarded: number of bytes received so far in interim responses and in responses to earlier
 *	requests
 * @received: data was received from the upstream during this exchange
 * @reusable: the connection can be reused for another request
 * @stale: a reused connection ended before any data was received
 * @has_load: the response states the upstream's load: @load and @queued are valid
 * @load: number of requests running or queued at the upstream
 * @queued: number of requests queued at the upstream
 * @has_speed: the response states @speed
 * @speed: how long work takes on the upstream's machine now, as a factor
 * @directives: what the response states about further requests to the upstream
 * @closing: the response states that the upstream closes the connection
 * @overdue: the exchange was reported to the registry as overdue
 * @stats: latency statistics of the request's route, or NULL
 */
struct pd_exchange {
	enum pd_exchange_state state;
	struct pd_upstream *upstream;
	struct pd_conn *conn;
	const struct pd_exchange_request *request;
	char tail[PD_EXCHANGE_TAIL_MAX_BYTES];
	size_t tail_len;
	struct pd_str instance;
	size_t sent;
	size_t discarded;
	int64_t started_us;
	bool settle;
	int64_t settle_until_us;
	int64_t permit_until_us;
	bool received;
	bool reusable;
	bool stale;
	bool has_load;
	double load;
	double queued;
	bool has_speed;
	double speed;
	struct pd_directives directives;
	bool closing;
	bool overdue;
	struct pd_route_stats *stats;
};

/**
 * pd_exchange_start() - start sending on an idle connection, or else connect
 * @exchange: unused exchange
 * @pool: connection pool
 * @upstream: upstream from pd_registry_pick(), whose reference the exchange takes over
 * @request: common part of the request, which must stay valid until the exchange ends
 * @deadline_us: time by which the upstream must respond, in microseconds of pd_os_boot_us()
 * @max_idle_us: longest idle time of a connection that is reused, in microseconds; 0 for a request
 *		 that may run only once: it gets a new connection, and is sent when the upstream has
 *		 kept that for about two round trips. An upstream that is over its limit of
 *		 connections accepts and then resets them; the request would have been sent by then,
 *		 and nothing would prove that it didn't run.
 * @now_us: current time, in microseconds of pd_os_boot_us()
 *
 * If connecting or sending fails at once, the exchange has its final state already.
 */
void pd_exchange_start(struct pd_exchange *exchange, struct pd_pool *pool,
		       struct pd_upstream *upstream, const struct pd_exchange_request *request,
		       int64_t deadline_us, int64_t max_idle_us, int64_t now_us);
/* Whether the exchange is in progress: connecting, sending or waiting for the response. */
bool pd_exchange_is_live(const struct pd_exchange *exchange);
/* Whether any byte was sent, so that the upstream may have received the request. */
bool pd_exchange_was_sent(const struct pd_exchange *exchange);
/* Returns the poll() events that the exchange waits for. */
short pd_exchange_events(const struct pd_exchange *exchange);
/* Continues the exchange after an event on the descriptor. */
void pd_exchange_step(struct pd_exchange *exchange);
/* Sends the request if the connection has settled. */
void pd_exchange_check_settled(struct pd_exchange *exchange, int64_t now_us);
/* Ends the exchange, once its response (if any) has been moved out of the connection: returns the
 * connection to the pool or closes it, and passes @report to the registry. */
void pd_exchange_end(struct pd_exchange *exchange, struct pd_pool *pool,
		     const struct pd_report *report, int64_t now_us);
/* Ends a live exchange whose response isn't needed. With @close the connection is closed, which
 * cancels the request at the upstream at once; otherwise the pool drains it, if the request was
 * sent completely. */
void pd_exchange_abandon(struct pd_exchange *exchange, struct pd_pool *pool, bool close,
			 enum pd_report_kind kind, int64_t now_us);

#endif
