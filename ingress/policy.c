#include "policy.h"

#include <math.h>

#include "os.h"

/* Bounds of the hedge delay, as shares of the latency objective. */
#define HEDGE_MIN_SHARE		0.15
#define HEDGE_GATHER_MAX_SHARE	0.35
#define HEDGE_FORWARD_MAX_SHARE 0.5
/* Share of the parts that must have arrived before the others count as stragglers. */
#define STRAGGLER_SHARE 0.5
/* Latency objective of routes that don't configure one. */
#define OBJECTIVE_DEFAULT_US 1000000
/* Time to merge and write a response of several dozen parts on a small machine. */
#define MERGE_US 9000
/* Assumed network time between the client and this instance, if it is unknown. */
#define NETWORK_DEFAULT_US 14000
/* Minimum time to wait for parts, as a share of the latency objective. */
#define WAIT_MIN_SHARE 0.5
/* The final response is sent at least this long before the deadline of the client or the route. */
#define DEADLINE_MARGIN_US  15000
#define DEADLINE_DEFAULT_US (30 * PD_USEC_PER_SEC)

static int64_t objective_us(const struct pd_route *route)
{
	if (!route->target_latency_ms)
		return OBJECTIVE_DEFAULT_US;
	return route->target_latency_ms * PD_USEC_PER_MSEC;
}

/* Maximum time after which a request that rate limits don't allow may be retried: the retry may
 * reach another instance, whose share of the limits isn't used up.
 */
#define PERMIT_RETRY_MAX_MS 1000
/* A request that crashed its upstreams is refused for a minute after the last crash. */
#define CRASHES_RETRY_MS 60000
/* Maximum time after which a request may be retried that a pause of the upstreams doesn't allow. */
#define PAUSE_RETRY_MAX_MS 60000

int64_t pd_policy_hedge_delay(const struct pd_route *route, double p92_us)
{
	double objective = (double)objective_us(route);
	double max_us = objective * (route->kind == PD_ROUTE_GATHER ? HEDGE_GATHER_MAX_SHARE
								    : HEDGE_FORWARD_MAX_SHARE);
	double min_us = objective * HEDGE_MIN_SHARE;

	if (p92_us <= 0 || p92_us > max_us)
		return (int64_t)max_us;
	return (int64_t)(p92_us < min_us ? min_us : p92_us);
}

bool pd_policy_is_straggler(size_t legs, size_t answered)
{
	return (double)answered >= STRAGGLER_SHARE * (double)legs || legs == 1;
}

int64_t pd_policy_cutoff(const struct pd_route *route, int64_t arrived_us, int64_t network_us)
{
	int64_t objective = objective_us(route);
	int64_t wait_us = objective - MERGE_US - (network_us < 0 ? NETWORK_DEFAULT_US : network_us);
	int64_t min_wait_us = (int64_t)((double)objective * WAIT_MIN_SHARE);

	return arrived_us + (wait_us > min_wait_us ? wait_us : min_wait_us);
}

int64_t pd_policy_proof_wait_us(const struct pd_route *route)
{
	return objective_us(route) / 4;
}

int64_t pd_policy_deadline(const struct pd_route *route, int64_t arrived_us,
			   bool has_client_deadline, uint64_t client_ms)
{
	int64_t timeout_us = DEADLINE_DEFAULT_US;

	if (route->timeout_ms)
		timeout_us = route->timeout_ms * PD_USEC_PER_MSEC;
	if (has_client_deadline && client_ms < (uint64_t)(timeout_us / PD_USEC_PER_MSEC))
		timeout_us = (int64_t)client_ms * PD_USEC_PER_MSEC;
	timeout_us -= DEADLINE_MARGIN_US;
	return arrived_us + (timeout_us > 0 ? timeout_us : 0);
}

int64_t pd_policy_due(const struct pd_route *route, int64_t now_us, int64_t cutoff_us,
		      int64_t deadline_us)
{
	/* After the cut-off, a response is still useful until the deadline. */
	bool in_objective = route->kind == PD_ROUTE_GATHER && now_us < cutoff_us;

	return in_objective ? cutoff_us : deadline_us;
}

bool pd_policy_admit(const struct pd_route *route, const int64_t *expected_us, size_t legs,
		     int64_t now_us, int64_t cutoff_us, int64_t deadline_us)
{
	int64_t due_us = pd_policy_due(route, now_us, cutoff_us, deadline_us);
	size_t timely_parts = 0;

	for (size_t i = 0; i < legs; i++)
		timely_parts += now_us + expected_us[i] <= due_us;
	return timely_parts >= pd_policy_parts_needed(route);
}

bool pd_policy_fits(const struct pd_route *route, int64_t left_us)
{
	return route->idempotent || left_us >= objective_us(route);
}

size_t pd_policy_parts_needed(const struct pd_route *route)
{
	/* Without the margin, a rounding error could turn 0.9 of 10 into 10 parts. */
	double needed = ceil(route->min_parts_share * (double)route->target_count - 1e-9);

	return needed < 1 ? 1 : (size_t)needed;
}

static uint32_t permit_retry_ms(int64_t wait_us)
{
	int64_t wait_ms = (wait_us + PD_USEC_PER_MSEC - 1) / PD_USEC_PER_MSEC;

	return wait_ms < PERMIT_RETRY_MAX_MS ? (uint32_t)wait_ms : PERMIT_RETRY_MAX_MS;
}

/* Returns the time until the pause has ended, and a random one of up to a quarter of it, so that
 * the clients don't all return in the same moment. Other instances are in the same situation, so
 * that an earlier retry would be refused by those, too.
 */
static uint32_t pause_retry_ms(int64_t wait_us, uint64_t random)
{
	int64_t wait_ms = (wait_us + PD_USEC_PER_MSEC - 1) / PD_USEC_PER_MSEC;

	if (wait_ms > PAUSE_RETRY_MAX_MS)
		wait_ms = PAUSE_RETRY_MAX_MS;
	return (uint32_t)(wait_ms + (int64_t)(random % (uint64_t)(wait_ms / 4 + 1)));
}

uint32_t pd_policy_retry_after_ms(enum pd_refusal refusal, int64_t permit_wait_us, uint64_t random)
{
	switch (refusal) {
	case PD_REFUSAL_PAUSED:
		return pause_retry_ms(permit_wait_us, random);
	case PD_REFUSAL_RATE_LIMITED:
		return permit_retry_ms(permit_wait_us);
	case PD_REFUSAL_ISOLATED:
	case PD_REFUSAL_STOPPING:
		return 0;
	case PD_REFUSAL_OVERLOADED:
		return 20;
	case PD_REFUSAL_UPSTREAMS_OVERLOADED:
		return 100;
	case PD_REFUSAL_CRASHES:
		return CRASHES_RETRY_MS;
	case PD_REFUSAL_NOT_CONFIGURED:
	case PD_REFUSAL_KEY_UNCONFIRMED:
	case PD_REFUSAL_NO_UPSTREAM:
		return 300;
	}
	return 100;
}
