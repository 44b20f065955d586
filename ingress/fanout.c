#include "fanout.h"

#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "counters.h"
#include "headers.h"
#include "log.h"
#include "os.h"

/* Idle time after which a connection isn't used again. Requests that may run once get a new one: it
 * shows that the upstream is there, and can't turn out to be closed once the request was sent. */
#define REUSE_IDLE_US	   30000000
#define REUSE_IDLE_ONCE_US 0
/* A new connection that isn't there after this time is given up for another upstream: connecting
 * takes some milliseconds, and a lost opening packet is sent again only after a second. */
#define CONNECT_LIMIT_US 250000
/* Time that must be left for a further sub-request to make sense. */
#define RETRY_LEAST_US 5000
/* Connections that break while their upstream has the request, in one request, after which it isn't
 * tried again: it may be what makes the upstreams crash. */
#define BROKEN_MAX 3

bool pd_fanout_init(struct pd_fanout *fanout, size_t count)
{
	memset(fanout, 0, sizeof(*fanout));
	fanout->client_fd = -1;
	fanout->legs = calloc(count, sizeof(*fanout->legs));
	fanout->leg_count = fanout->legs ? count : 0;
	return fanout->legs != NULL;
}

void pd_fanout_finish(struct pd_fanout *fanout)
{
	for (size_t i = 0; i < fanout->leg_count; i++)
		pd_http_message_finish(&fanout->legs[i].response);
	free(fanout->legs);
	fanout->legs = NULL;
}

bool pd_fanout_not_executed(const struct pd_fanout *fanout)
{
	for (size_t i = 0; i < fanout->leg_count; i++) {
		if (fanout->legs[i].executions)
			return false;
	}
	return true;
}

const char *pd_fanout_end_name(enum pd_fanout_end end)
{
	switch (end) {
	case PD_FANOUT_COMPLETE:
		return "complete";
	case PD_FANOUT_CUTOFF:
		return "cutoff";
	case PD_FANOUT_TOO_FEW_PARTS:
		return "hopeless";
	case PD_FANOUT_DEADLINE:
		return "deadline";
	case PD_FANOUT_CLIENT_GONE:
		return "client_gone";
	}
	return "unlisted";
}

static bool leg_is_live(const struct pd_leg *leg)
{
	for (int i = 0; i < PD_LEG_EXCHANGES; i++) {
		if (pd_exchange_is_live(&leg->exchanges[i]))
			return true;
	}
	return false;
}

static struct pd_exchange *free_exchange(struct pd_leg *leg)
{
	for (int i = 0; i < PD_LEG_EXCHANGES; i++) {
		if (leg->exchanges[i].state == PD_EXCHANGE_UNUSED)
			return &leg->exchanges[i];
	}
	return NULL;
}

static void fail_leg(struct pd_fanout *fanout, struct pd_leg *leg, const char *reason)
{
	if (leg->state != PD_LEG_OPEN)
		return;
	leg->state = PD_LEG_FAILED;
	fanout->failed++;
	pd_log(PD_LOG_INFO, "leg_failed", "id=%.*s service=%s reason=%s arrivals=%u runs=%u",
	       PD_STR_ARG(fanout->request.request_id), leg->service->name.text, reason,
	       leg->attempts, leg->executions);
}

/* Sends to one more upstream. False when there is none. */
static bool send_leg(struct pd_fanout *fanout, struct pd_leg *leg, int64_t now_us)
{
	struct pd_registry *registry = fanout->pool->registry;
	struct pd_exchange *exchange = free_exchange(leg);
	struct pd_upstream *upstream;

	if (!exchange || leg->tried_count == PD_LEG_ATTEMPTS_MAX)
		return false;
	upstream = pd_registry_pick(registry, leg->service, leg->tried, leg->tried_count, now_us);
	if (!upstream)
		return false;
	if (!leg->attempts)
		pd_registry_count_request(registry, leg->service);
	leg->tried[leg->tried_count++] = upstream;
	leg->attempts++;
	leg->hedge_us = now_us + pd_policy_hedge_delay(fanout->route, fanout->p92_us);
	pd_exchange_start(exchange, fanout->pool, upstream, &fanout->request, fanout->deadline_us,
			  fanout->route->idempotent ? REUSE_IDLE_US : REUSE_IDLE_ONCE_US, now_us);
	pd_count(PD_COUNT_subrequests_sent);
	return true;
}

/* Whether the leg may go to a further upstream although some may have run it. */
static bool may_run_again(const struct pd_fanout *fanout, const struct pd_leg *leg)
{
	if (!leg->executions)
		return true;
	return fanout->route->idempotent && leg->executions < fanout->route->max_attempts &&
	       fanout->broken_connections < BROKEN_MAX;
}

/* After a sub-request ended without an answer: the next one now or later, or the leg has failed. */
static void retry_leg(struct pd_fanout *fanout, struct pd_leg *leg, const char *reason,
		      bool arrived, int64_t now_us)
{
	struct pd_registry *registry = fanout->pool->registry;

	if (leg_is_live(leg))
		return;
	if (!may_run_again(fanout, leg) || now_us + RETRY_LEAST_US > fanout->deadline_us) {
		fail_leg(fanout, leg, reason);
		return;
	}
	if (arrived && !pd_registry_consume_retry(registry, leg->service)) {
		fail_leg(fanout, leg, "retry_budget");
		return;
	}
	if (send_leg(fanout, leg, now_us)) {
		fanout->retries++;
		pd_count(PD_COUNT_retries_sent);
		pd_log(PD_LOG_INFO, "leg_retried",
		       "id=%.*s service=%s reason=%s upstream=%s arrivals=%u",
		       PD_STR_ARG(fanout->request.request_id), leg->service->name.text, reason,
		       leg->tried[leg->tried_count - 1]->id.text, leg->attempts);
		return;
	}
	fail_leg(fanout, leg, reason);
}

static bool is_success(int status)
{
	return status >= 200 && status < 300;
}

/* Keeps the answer of an exchange in the leg. */
static void keep_answer(struct pd_leg *leg, struct pd_exchange *exchange)
{
	struct pd_response_fields fields;

	pd_http_message_finish(&leg->response);
	leg->response = exchange->conn->msg;
	pd_http_message_init(&exchange->conn->msg, PD_HTTP_RESPONSE, PD_RESPONSE_HEAD_MAX_BYTES,
			     PD_RESPONSE_BODY_MAX_BYTES);
	pd_platform_read_response(&leg->response, &fields);
	leg->stamp = fields.stamp;
	leg->status = (int)leg->response.parser.status_code;
}

static void abandon_others(struct pd_fanout *fanout, struct pd_leg *leg, int64_t now_us)
{
	for (int i = 0; i < PD_LEG_EXCHANGES; i++) {
		if (pd_exchange_is_live(&leg->exchanges[i]))
			pd_exchange_abandon(&leg->exchanges[i], fanout->pool, false,
					    PD_REPORT_ABANDONED, now_us);
	}
}

static void end_exchange(struct pd_fanout *fanout, struct pd_exchange *exchange,
			 enum pd_report_kind kind, int64_t now_us)
{
	struct pd_report report = {
		.kind = kind,
		.latency_us = now_us - exchange->started_us,
		.stats = fanout->stats,
		.has_load = exchange->has_load,
		.load = exchange->load,
		.waiting = exchange->waiting,
	};

	pd_exchange_end(exchange, fanout->pool, &report, now_us);
}

static void take_answer(struct pd_fanout *fanout, struct pd_leg *leg, struct pd_exchange *exchange,
			int64_t now_us)
{
	struct pd_response_fields fields;
	bool whole;
	int status;

	pd_platform_read_response(&exchange->conn->msg, &fields);
	status = (int)exchange->conn->msg.parser.status_code;
	/* Without its signature an answer can't be told from a garbled one. */
	whole = fanout->relay || (is_success(status) && fields.stamp.len);
	leg->executions++;
	if (!whole) {
		pd_log(PD_LOG_INFO, "upstream_failure",
		       "id=%.*s service=%s upstream=%s status=%d stamp=%d",
		       PD_STR_ARG(fanout->request.request_id), leg->service->name.text,
		       exchange->upstream->id.text, status, fields.stamp.len > 0);
		if (fanout->route->kind == PD_ROUTE_FORWARD && fields.stamp.len)
			keep_answer(leg, exchange);
		end_exchange(fanout, exchange, PD_REPORT_FAILURE, now_us);
		retry_leg(fanout, leg, "upstream_failure", true, now_us);
		return;
	}
	keep_answer(leg, exchange);
	end_exchange(fanout, exchange, PD_REPORT_SUCCESS, now_us);
	abandon_others(fanout, leg, now_us);
	leg->state = PD_LEG_ANSWERED;
	fanout->answered++;
}

static void log_break(struct pd_fanout *fanout, struct pd_leg *leg, struct pd_exchange *exchange,
		      const char *event, int64_t now_us)
{
	pd_log(PD_LOG_INFO, event, "id=%.*s service=%s upstream=%s sent=%zu reused=%d age_ms=%lld",
	       PD_STR_ARG(fanout->request.request_id), leg->service->name.text,
	       exchange->upstream->id.text, exchange->sent, exchange->conn && exchange->conn->used,
	       (long long)(now_us - exchange->started_us) / 1000);
}

/* Handles an exchange that has come to its end by itself. */
static void settle(struct pd_fanout *fanout, struct pd_leg *leg, struct pd_exchange *exchange,
		   int64_t now_us)
{
	switch (exchange->state) {
	case PD_EXCHANGE_ANSWERED:
		take_answer(fanout, leg, exchange, now_us);
		break;
	case PD_EXCHANGE_REJECTED:
		end_exchange(fanout, exchange, PD_REPORT_REJECTED, now_us);
		retry_leg(fanout, leg, "rejected", true, now_us);
		break;
	case PD_EXCHANGE_WRONG_INSTANCE:
		log_break(fanout, leg, exchange, "wrong_instance", now_us);
		end_exchange(fanout, exchange, PD_REPORT_WRONG_INSTANCE, now_us);
		retry_leg(fanout, leg, "wrong_instance", true, now_us);
		break;
	case PD_EXCHANGE_UNREACHABLE:
		log_break(fanout, leg, exchange, "upstream_unreached", now_us);
		end_exchange(fanout, exchange, PD_REPORT_UNREACHABLE, now_us);
		retry_leg(fanout, leg, "unreached", false, now_us);
		break;
	case PD_EXCHANGE_BROKEN: {
		bool stale = exchange->stale;

		log_break(fanout, leg, exchange, "connection_broken", now_us);
		if (!exchange->received && !fanout->relay)
			pd_reporter_report_crash(fanout->reporter, fanout->fingerprint,
						 &exchange->upstream->id);
		leg->executions++;
		fanout->broken_connections += !stale;
		end_exchange(fanout, exchange, stale ? PD_REPORT_ABANDONED : PD_REPORT_FAILURE,
			     now_us);
		retry_leg(fanout, leg, stale ? "stale_connection" : "connection_broken", true,
			  now_us);
		break;
	}
	default:
		break;
	}
}

/* Time until a late sub-request is looked at again when most of the others are late, too. */
#define HEDGE_DEFER_US 5000

/* A sub-request is late: a second one goes to another upstream if the budget allows. */
static void hedge_leg(struct pd_fanout *fanout, struct pd_leg *leg, int64_t now_us)
{
	struct pd_registry *registry = fanout->pool->registry;
	struct pd_upstream *late = NULL;
	int64_t waited = 0;

	if (!pd_policy_is_straggler(fanout->leg_count, fanout->answered)) {
		leg->hedge_us = now_us + HEDGE_DEFER_US;
		return;
	}
	leg->hedge_us = 0;
	for (int i = 0; i < PD_LEG_EXCHANGES; i++) {
		struct pd_exchange *exchange = &leg->exchanges[i];

		if (!pd_exchange_is_live(exchange) || exchange->overdue)
			continue;
		exchange->overdue = true;
		late = exchange->upstream;
		waited = now_us - exchange->started_us;
		pd_registry_report_overdue(registry, late, fanout->stats, waited, now_us);
	}
	if (!late || !fanout->route->idempotent || !free_exchange(leg) ||
	    leg->attempts >= fanout->route->max_attempts ||
	    fanout->broken_connections >= BROKEN_MAX ||
	    !pd_registry_has_usable(registry, leg->service, leg->tried, leg->tried_count) ||
	    !pd_registry_consume_retry(registry, leg->service))
		return;
	if (!send_leg(fanout, leg, now_us))
		return;
	fanout->hedges++;
	pd_count(PD_COUNT_hedges_sent);
	pd_log(PD_LOG_INFO, "leg_hedged", "id=%.*s service=%s late=%s waited_ms=%lld to=%s",
	       PD_STR_ARG(fanout->request.request_id), leg->service->name.text, late->id.text,
	       (long long)waited / 1000, leg->tried[leg->tried_count - 1]->id.text);
}

/* An instance of the zone takes less than a millisecond, and the request may be served here. */
#define RELAY_CONNECT_LIMIT_US 30000

static int64_t connect_limit_us(const struct pd_fanout *fanout)
{
	return fanout->relay ? RELAY_CONNECT_LIMIT_US : CONNECT_LIMIT_US;
}

/* Gives up connections that take too long; nothing was sent on them. */
static void check_connects(struct pd_fanout *fanout, struct pd_leg *leg, int64_t now_us)
{
	for (int i = 0; i < PD_LEG_EXCHANGES; i++) {
		struct pd_exchange *exchange = &leg->exchanges[i];

		if (exchange->state != PD_EXCHANGE_CONNECTING ||
		    now_us - exchange->started_us < connect_limit_us(fanout))
			continue;
		exchange->state = PD_EXCHANGE_UNREACHABLE;
		settle(fanout, leg, exchange, now_us);
	}
}

/* Handles exchanges that ended while they were started, as refused connections do. */
static void settle_ended(struct pd_fanout *fanout, struct pd_leg *leg, int64_t now_us)
{
	for (int i = 0; i < PD_LEG_EXCHANGES && leg->state == PD_LEG_OPEN;) {
		struct pd_exchange *exchange = &leg->exchanges[i];

		if (exchange->state == PD_EXCHANGE_UNUSED || pd_exchange_is_live(exchange)) {
			i++;
			continue;
		}
		/* The next try may take the same place. */
		settle(fanout, leg, exchange, now_us);
	}
}

static void check_timers(struct pd_fanout *fanout, int64_t now_us)
{
	for (size_t i = 0; i < fanout->leg_count; i++) {
		struct pd_leg *leg = &fanout->legs[i];

		if (leg->state != PD_LEG_OPEN)
			continue;
		check_connects(fanout, leg, now_us);
		if (leg->state == PD_LEG_OPEN && leg->hedge_us && now_us >= leg->hedge_us)
			hedge_leg(fanout, leg, now_us);
		settle_ended(fanout, leg, now_us);
	}
}

static bool is_over(struct pd_fanout *fanout, int64_t now_us)
{
	if (fanout->answered + fanout->failed == fanout->leg_count)
		fanout->end = PD_FANOUT_COMPLETE;
	else if (fanout->leg_count - fanout->failed < fanout->needed)
		fanout->end = PD_FANOUT_TOO_FEW_PARTS;
	else if (fanout->answered >= fanout->needed && now_us >= fanout->cutoff_us)
		fanout->end = PD_FANOUT_CUTOFF;
	else if (now_us >= fanout->deadline_us)
		fanout->end = PD_FANOUT_DEADLINE;
	else
		return false;
	return true;
}

static int64_t earlier(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

static int64_t next_event(const struct pd_fanout *fanout, int64_t now_us)
{
	int64_t next = fanout->deadline_us;

	if (fanout->cutoff_us > now_us)
		next = earlier(next, fanout->cutoff_us);
	if (fanout->relay_eject_us > now_us)
		next = earlier(next, fanout->relay_eject_us);
	for (size_t i = 0; i < fanout->leg_count; i++) {
		const struct pd_leg *leg = &fanout->legs[i];

		if (leg->state != PD_LEG_OPEN)
			continue;
		if (leg->hedge_us)
			next = earlier(next, leg->hedge_us);
		for (int e = 0; e < PD_LEG_EXCHANGES; e++) {
			if (leg->exchanges[e].state == PD_EXCHANGE_CONNECTING)
				next = earlier(next, leg->exchanges[e].started_us +
							     connect_limit_us(fanout));
		}
	}
	return next;
}

/**
 * struct poll_set - descriptors of one wait and the exchanges that they belong to
 * @fds: descriptors
 * @legs: leg of each descriptor, NULL for the client's
 * @exchanges: exchange of each descriptor
 * @count: number of @fds
 */
struct poll_set {
	struct pollfd *fds;
	struct pd_leg **legs;
	struct pd_exchange **exchanges;
	size_t count;
};

static bool poll_set_init(struct poll_set *set, size_t legs)
{
	size_t most = legs * PD_LEG_EXCHANGES + 1;

	set->fds = calloc(most, sizeof(*set->fds));
	set->legs = calloc(most, sizeof(struct pd_leg *));
	set->exchanges = calloc(most, sizeof(struct pd_exchange *));
	return set->fds && set->legs && set->exchanges;
}

static void poll_set_finish(struct poll_set *set)
{
	free(set->fds);
	free(set->legs);
	free(set->exchanges);
}

static void poll_set_fill(struct poll_set *set, struct pd_fanout *fanout)
{
	set->count = 0;
	if (fanout->client_fd >= 0) {
		set->fds[0] = (struct pollfd){.fd = fanout->client_fd, .events = POLLRDHUP};
		set->legs[0] = NULL;
		set->count = 1;
	}
	for (size_t i = 0; i < fanout->leg_count; i++) {
		for (int e = 0; e < PD_LEG_EXCHANGES; e++) {
			struct pd_exchange *exchange = &fanout->legs[i].exchanges[e];

			if (!pd_exchange_is_live(exchange))
				continue;
			set->fds[set->count] = (struct pollfd){
				.fd = exchange->conn->fd, .events = pd_exchange_events(exchange)};
			set->legs[set->count] = &fanout->legs[i];
			set->exchanges[set->count++] = exchange;
		}
	}
}

/* Handles what poll() reported. True when the client has left. */
static bool take_events(struct poll_set *set, struct pd_fanout *fanout, int64_t now_us)
{
	for (size_t i = 0; i < set->count; i++) {
		if (!set->fds[i].revents)
			continue;
		if (!set->legs[i])
			return true;
		/* An earlier event of the same leg may have ended this exchange. */
		if (!pd_exchange_is_live(set->exchanges[i]))
			continue;
		pd_exchange_step(set->exchanges[i]);
		if (!pd_exchange_is_live(set->exchanges[i]))
			settle(fanout, set->legs[i], set->exchanges[i], now_us);
	}
	return false;
}

static int poll_timeout_ms(int64_t until_us, int64_t now_us)
{
	if (until_us <= now_us)
		return 0;
	return (int)((until_us - now_us + PD_USEC_PER_MSEC - 1) / PD_USEC_PER_MSEC);
}

/* An instance that is silent gets no further requests for a while; this one may still be answered.
 */
static void note_silence(struct pd_fanout *fanout, int64_t now_us)
{
	const struct pd_exchange *exchange = &fanout->legs[0].exchanges[0];

	fanout->relay_eject_us = 0;
	if (pd_exchange_is_live(exchange) && !exchange->received)
		pd_registry_eject(fanout->pool->registry, exchange->upstream, now_us);
}

/* An interim answer tells the instance that passed the request on that this one lives. */
static void tell_waiting(struct pd_fanout *fanout)
{
	static const char interim[] = "HTTP/1.1 102 Processing\r\n\r\n";

	fanout->send_interim = false;
	if (send(fanout->client_fd, interim, sizeof(interim) - 1, MSG_NOSIGNAL | MSG_DONTWAIT) < 0)
		pd_log(PD_LOG_INFO, "interim_not_sent", "id=%.*s",
		       PD_STR_ARG(fanout->request.request_id));
}

static void wait_for_legs(struct pd_fanout *fanout, struct poll_set *set)
{
	int64_t now = pd_os_boot_us();

	while (!is_over(fanout, now)) {
		poll_set_fill(set, fanout);
		if (poll(set->fds, set->count, poll_timeout_ms(next_event(fanout, now), now)) < 0)
			set->count = 0; /* interrupted: only the timers are looked at */
		now = pd_os_boot_us();
		if (take_events(set, fanout, now)) {
			fanout->end = PD_FANOUT_CLIENT_GONE;
			return;
		}
		check_timers(fanout, now);
		if (fanout->relay_eject_us && now >= fanout->relay_eject_us)
			note_silence(fanout, now);
		if (fanout->send_interim && now >= fanout->cutoff_us && !is_over(fanout, now))
			tell_waiting(fanout);
	}
}

/* Ends what is still open. Late sub-requests are evidence against their upstreams. */
static void end_open_legs(struct pd_fanout *fanout)
{
	/* Work whose result nobody takes is ended at the upstreams. */
	bool close = fanout->relay || fanout->end == PD_FANOUT_CLIENT_GONE ||
		     fanout->end == PD_FANOUT_TOO_FEW_PARTS;
	int64_t now = pd_os_boot_us();

	for (size_t i = 0; i < fanout->leg_count; i++) {
		for (int e = 0; e < PD_LEG_EXCHANGES; e++) {
			struct pd_exchange *exchange = &fanout->legs[i].exchanges[e];

			if (!pd_exchange_is_live(exchange))
				continue;
			log_break(fanout, &fanout->legs[i], exchange, "leg_given_up", now);
			if (pd_exchange_was_sent(exchange))
				fanout->legs[i].executions++;
			pd_exchange_abandon(exchange, fanout->pool, close,
					    exchange->overdue &&
							    fanout->end != PD_FANOUT_CLIENT_GONE
						    ? PD_REPORT_TIMEOUT
						    : PD_REPORT_ABANDONED,
					    now);
		}
	}
}

void pd_fanout_run(struct pd_fanout *fanout)
{
	struct poll_set set;
	int64_t now = pd_os_boot_us();

	if (!poll_set_init(&set, fanout->leg_count)) {
		poll_set_finish(&set);
		for (size_t i = 0; i < fanout->leg_count; i++)
			fail_leg(fanout, &fanout->legs[i], "memory");
		fanout->end = PD_FANOUT_COMPLETE;
		return;
	}
	for (size_t i = 0; i < fanout->leg_count; i++) {
		if (!send_leg(fanout, &fanout->legs[i], now))
			fail_leg(fanout, &fanout->legs[i], "no_upstream");
	}
	for (size_t i = 0; i < fanout->leg_count; i++)
		settle_ended(fanout, &fanout->legs[i], now);
	wait_for_legs(fanout, &set);
	end_open_legs(fanout);
	poll_set_finish(&set);
}
