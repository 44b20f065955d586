/**
 * DOC: One client request at its upstreams
 *
 * Sends the request to one upstream of each service of its route, hedges and retries within the
 * budgets, and waits for the answers in the thread of the client's connection. A forwarded request
 * is a fan-out to one service.
 */
#ifndef PD_FANOUT_H
#define PD_FANOUT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "exchange.h"
#include "policy.h"
#include "reporter.h"

#define PD_LEG_EXCHANGES    2 /* open sub-requests of one leg at a time */
#define PD_LEG_ATTEMPTS_MAX 4 /* sub-requests of one leg altogether */

/** enum pd_leg_state - how far one service's part is. */
enum pd_leg_state {
	PD_LEG_OPEN,
	PD_LEG_ANSWERED,
	PD_LEG_FAILED,
};

/**
 * struct pd_leg - one service's part of a request
 * @state: how far it is
 * @service: service
 * @exchanges: sub-requests
 * @tried: upstreams that had it; only compared, never dereferenced
 * @tried_count: number of @tried
 * @attempts: sub-requests sent
 * @executions: sub-requests that may have run
 * @hedge_us: when a second sub-request goes out; 0 once it was decided
 * @body: body of the answer
 * @head: header of the answer, for forwarded requests
 * @stamp: signature of the answer; points into @head
 * @status: status of the answer, also of a failing one; 0 for none
 */
struct pd_leg {
	enum pd_leg_state state;
	struct pd_service *service;
	struct pd_exchange exchanges[PD_LEG_EXCHANGES];
	struct pd_upstream *tried[PD_LEG_ATTEMPTS_MAX];
	uint8_t tried_count;
	uint8_t attempts;
	uint8_t executions;
	int64_t hedge_us;
	struct pd_http_message response;
	struct pd_str stamp;
	int status;
};

/** enum pd_fanout_end - why waiting ended. */
enum pd_fanout_end {
	PD_FANOUT_COMPLETE, /* every leg is answered or failed */
	PD_FANOUT_CUTOFF, /* enough parts are in and the latency objective is near */
	PD_FANOUT_TOO_FEW_PARTS, /* too few parts can still come in */
	PD_FANOUT_DEADLINE,
	PD_FANOUT_CLIENT_GONE,
};

/**
 * struct pd_fanout - one request
 * @pool: connections
 * @route: route
 * @stats: latency of the route
 * @p92_us: its 92nd percentile when the request came; 0 when it isn't known
 * @request: common part of the sub-requests
 * @reporter: is told of upstreams that crash
 * @fingerprint: of the request, for @reporter
 * @client_fd: watched for the client leaving; -1 for none
 * @arrived_us: when the request arrived
 * @deadline_us: when the final answer is due
 * @cutoff_us: when an answer with parts missing goes out
 * @legs: one for each service
 * @leg_count: number of @legs
 * @relay: the leg leads to another instance, whose answer is kept whatever it is
 * @relay_eject_us: when an instance that has sent nothing is taken for silent; 0 for never
 * @send_interim: the client is an instance, which is told at the cut-off that parts are waited for
 * @needed: least number of answered legs of a success
 * @answered: answered legs
 * @failed: failed legs
 * @hedges: second sub-requests sent because of time
 * @retries: further sub-requests sent after failures
 * @broken_connections: sub-requests whose connection broke while the upstream had them
 * @end: why waiting ended
 */
struct pd_fanout {
	struct pd_pool *pool;
	const struct pd_route *route;
	struct pd_route_stats *stats;
	double p92_us;
	struct pd_exchange_request request;
	struct pd_reporter *reporter;
	uint64_t fingerprint;
	int client_fd;
	int64_t arrived_us;
	int64_t deadline_us;
	int64_t cutoff_us;
	struct pd_leg *legs;
	size_t leg_count;
	bool relay;
	int64_t relay_eject_us;
	bool send_interim;
	size_t needed;
	size_t answered;
	size_t failed;
	uint32_t hedges;
	uint32_t retries;
	uint32_t broken_connections;
	enum pd_fanout_end end;
};

/* Allocates @count legs; false without memory. */
bool pd_fanout_init(struct pd_fanout *fanout, size_t count);
void pd_fanout_finish(struct pd_fanout *fanout);
/* Sends and waits until the request has its outcome in @end and the legs. */
void pd_fanout_run(struct pd_fanout *fanout);
/* True when no upstream may have run any part. */
bool pd_fanout_not_executed(const struct pd_fanout *fanout);
const char *pd_fanout_end_name(enum pd_fanout_end end);

#endif
