/**
 * DOC: Fan-out of one client request to its upstreams
 *
 * Sends the request to one upstream of each service of its route, hedges and retries within the
 * retry budgets, and waits for the responses in the thread of the client's connection. A forwarded
 * request is a fan-out to one service. Times are in microseconds of pd_os_boot_us().
 */
#ifndef PD_FANOUT_H
#define PD_FANOUT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "exchange.h"
#include "key_check.h"
#include "policy.h"
#include "quota.h"
#include "reporter.h"

#define PD_LEG_EXCHANGES    2 /* maximum number of concurrent attempts of one leg */
#define PD_LEG_ATTEMPTS_MAX 4 /* maximum number of attempts of one leg in total */

/** enum pd_leg_state - state of one leg. */
enum pd_leg_state {
	PD_LEG_OPEN, /* waiting for a response */
	PD_LEG_ANSWERED, /* a valid response was received: a success with a signature */
	PD_LEG_FAILED, /* all attempts have failed, and no further one is made */
};

/**
 * struct pd_leg - the sub-request of a request to one service, with all its attempts
 * @state: state of the leg
 * @service: service that the sub-request is for
 * @exchanges: attempts in flight, and unused entries for further ones
 * @tried: upstreams of all attempts; only the one of an attempt in flight may be dereferenced
 * @tried_count: number of entries in @tried
 * @attempts: number of attempts
 * @executions: number of attempts that the upstream may have executed
 * @answered_us: time at which its response was received, if it was answered
 * @rejected: an upstream has stated that it didn't execute the sub-request
 * @hedge_us: time at which the leg counts as late and may be hedged; 0 if it isn't checked again
 * @hedge_waits: the leg is late, and is hedged once another upstream has a free slot
 * @response: response that was received, an error response included; empty if there is none
 * @stamp: signature of the response; points into @response
 * @status: status code of the response; 0 if there is none
 */
struct pd_leg {
	enum pd_leg_state state;
	struct pd_service *service;
	struct pd_exchange exchanges[PD_LEG_EXCHANGES];
	struct pd_upstream *tried[PD_LEG_ATTEMPTS_MAX];
	uint8_t tried_count;
	uint8_t attempts;
	uint8_t executions;
	int64_t answered_us;
	bool rejected;
	int64_t hedge_us;
	bool hedge_waits;
	struct pd_http_message response;
	struct pd_str stamp;
	int status;
};

/** enum pd_fanout_end - reason for which a fan-out ended. */
enum pd_fanout_end {
	PD_FANOUT_COMPLETE, /* every leg has a response or has failed */
	PD_FANOUT_CUTOFF, /* the cut-off time has passed and enough parts have arrived */
	PD_FANOUT_TOO_FEW_PARTS, /* too many legs have failed for a successful response */
	PD_FANOUT_DEADLINE, /* the deadline has passed */
	PD_FANOUT_CLIENT_GONE, /* the client has disconnected */
};

/**
 * struct pd_fanout - the fan-out of one request
 * @pool: pool of connections to upstreams
 * @route: route of the request
 * @stats: latency statistics of the route, or NULL
 * @p92_us: 92nd percentile of the route's latency when the request arrived, in microseconds; 0 if
 *	    unknown
 * @request: common part of the sub-requests
 * @key_check: what each attempt depends on by the client's API key; NULL if it needs none
 * @key_refused: an attempt wasn't sent because of @key_check
 * @reporter: reporter that records crashes of upstreams
 * @fingerprint: fingerprint of the request, for @reporter
 * @on_trial: the request was refused because it may crash its upstreams, and is tried again: it
 *isn't hedged, nor sent again after a connection broke
 * @quota: quotas that the request is counted for when its first attempt is sent, or NULL
 * @account: account of the request, if @quota isn't NULL
 * @counted: the request was counted
 * @client_fd: socket that is watched for the client's disconnection; -1 for none
 * @arrived_us: time at which the request arrived
 * @deadline_us: time by which the final response must be sent
 * @cutoff_us: time at which a response is sent although parts are missing
 * @legs: legs, one for each service
 * @leg_count: number of entries in @legs
 * @relay: the only leg relays the request to a larger instance; any response from it is valid
 * @relay_eject_us: time at which the larger instance is ejected if it has sent nothing; 0 for never
 * @send_interim: the client is an instance that relayed the request; an interim response is sent to
 *		  it at the cut-off if parts are still awaited then
 * @needed: minimum number of legs with a response for a successful response to the client
 * @answered: number of legs with a response
 * @failed: number of failed legs
 * @hedges: number of attempts that were sent because an earlier one was late
 * @retries: number of attempts that were sent after an earlier one had failed
 * @broken_connections: number of attempts whose connection broke while the upstream was processing
 *			the request
 * @end: reason for which the fan-out ended
 */
struct pd_fanout {
	struct pd_pool *pool;
	const struct pd_route *route;
	struct pd_route_stats *stats;
	double p92_us;
	struct pd_exchange_request request;
	const struct pd_key_check *key_check;
	bool key_refused;
	struct pd_reporter *reporter;
	uint64_t fingerprint;
	bool on_trial;
	struct pd_quota *quota;
	const struct pd_account *account;
	bool counted;
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

/* Allocates @count legs; false if memory runs out. */
bool pd_fanout_init(struct pd_fanout *fanout, size_t count);
void pd_fanout_finish(struct pd_fanout *fanout);
/* Sends the sub-requests and waits for the responses. The result is in @end, the counters and the
 * legs. */
void pd_fanout_run(struct pd_fanout *fanout);
/* Whether certainly no upstream has executed any part of the request. */
bool pd_fanout_not_executed(const struct pd_fanout *fanout);
/* Returns the name of a reason, for logs. */
const char *pd_fanout_end_name(enum pd_fanout_end end);

#endif
