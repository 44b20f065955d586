/**
 * DOC: One sub-request at one upstream
 *
 * The caller polls the descriptor for the events that the exchange waits for and calls
 * pd_exchange_step() when one is there.
 */
#ifndef PD_EXCHANGE_H
#define PD_EXCHANGE_H

#include <stdbool.h>
#include <stdint.h>

#include "pool.h"
#include "registry.h"
#include "str.h"

/** enum pd_exchange_state - where an exchange stands. */
enum pd_exchange_state {
	PD_EXCHANGE_UNUSED,
	PD_EXCHANGE_CONNECTING,
	PD_EXCHANGE_SENDING,
	PD_EXCHANGE_WAITING,
	PD_EXCHANGE_ANSWERED, /* a whole answer of the upstream to this request */
	PD_EXCHANGE_REJECTED, /* the upstream states that it didn't run the request */
	PD_EXCHANGE_WRONG_INSTANCE, /* another instance has the address and didn't run it */
	PD_EXCHANGE_UNREACHABLE, /* nothing was sent */
	PD_EXCHANGE_BROKEN, /* sent, and no whole answer: it may have run */
};

/**
 * struct pd_exchange_request - what all sub-requests of one request have in common
 * @head: request line and header fields up to, but without, the deadline
 * @body: body
 * @request_id: echoed by the upstream
 * @head_only: a HEAD request, whose answers have no body
 */
struct pd_exchange_request {
	struct pd_str head;
	struct pd_str body;
	struct pd_str request_id;
	bool head_only;
};

#define PD_EXCHANGE_TAIL_MAX_BYTES 160

/**
 * struct pd_exchange - one sub-request
 * @state: where it stands
 * @upstream: referenced until the exchange is ended
 * @conn: connection, or NULL
 * @request: common part
 * @tail: the rest of the header, for this upstream
 * @tail_len: bytes of @tail
 * @sent: bytes of head, tail and body that were sent
 * @started_us: when it began
 * @received: something was received
 * @reusable: the connection may carry another request
 * @stale: the reused connection ended before anything was received
 * @has_load: the upstream told its load
 * @load: requests running and waiting there
 * @waiting: requests waiting there
 * @overdue: was reported as overdue
 */
struct pd_exchange {
	enum pd_exchange_state state;
	struct pd_upstream *upstream;
	struct pd_conn *conn;
	const struct pd_exchange_request *request;
	char tail[PD_EXCHANGE_TAIL_MAX_BYTES];
	size_t tail_len;
	size_t sent;
	int64_t started_us;
	bool received;
	bool reusable;
	bool stale;
	bool has_load;
	double load;
	double waiting;
	bool overdue;
};

/**
 * pd_exchange_start() - connects, or takes an idle connection, and begins to send
 * @exchange: unused exchange
 * @pool: pool
 * @upstream: from pd_registry_pick(); the exchange reports on it when it is ended
 * @request: must stay valid until the exchange is ended
 * @deadline_us: end of the time that the upstream has
 * @max_idle_us: longest idle time of a connection that is used again; 0 for a new connection
 * @now_us: time
 */
void pd_exchange_start(struct pd_exchange *exchange, struct pd_pool *pool,
		       struct pd_upstream *upstream, const struct pd_exchange_request *request,
		       int64_t deadline_us, int64_t max_idle_us, int64_t now_us);
bool pd_exchange_is_live(const struct pd_exchange *exchange);
/* Something may have reached the upstream. */
bool pd_exchange_was_sent(const struct pd_exchange *exchange);
short pd_exchange_events(const struct pd_exchange *exchange);
/* Goes on after an event on the descriptor. */
void pd_exchange_step(struct pd_exchange *exchange);
/* Ends the exchange after its answer (if any) was taken from the connection: returns the connection
 * to the pool or closes it, and reports @report on the upstream. */
void pd_exchange_end(struct pd_exchange *exchange, struct pd_pool *pool,
		     const struct pd_report *report, int64_t now_us);
/* Ends a live exchange whose answer isn't needed; @close ends the work at the upstream at once. */
void pd_exchange_abandon(struct pd_exchange *exchange, struct pd_pool *pool, bool close,
			 enum pd_report_kind kind, int64_t now_us);

#endif
