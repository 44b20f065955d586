#include "fanout.h"

#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "counters.h"
#include "headers.h"
#include "log.h"
#include "os.h"

/* Longest idle time of a connection that is reused. Non-idempotent requests always get a new
 * connection: connecting shows that the upstream is running, while a reused connection may turn
 * out to be closed after the request was sent. */
#define REUSE_IDLE_MAX_US		 30000000
#define REUSE_IDLE_MAX_NON_IDEMPOTENT_US 0
/* If connecting takes longer, the request is sent to another upstream: connecting takes some
 * milliseconds, and a lost SYN packet is retransmitted only after a second. */
#define CONNECT_TIMEOUT_US 250000
/* A retry is only sent if at least this much time is left until the deadline. */
#define RETRY_MIN_TIME_US 5000
/* A request isn't sent again once this many of its connections broke while the upstream was
 * processing it: the request may be what crashes the upstreams. */
#define BROKEN_CONNECTIONS_MAX 3

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

static struct pd_exchange *find_unused_exchange(struct pd_leg *leg)
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

/* Returns the best permit of the upstreams that weren't tried yet. */
static struct pd_permit leg_permit(const struct pd_fanout *fanout, const struct pd_leg *leg,
				   int64_t now_us)
{
	return pd_registry_permit(fanout->pool->registry, leg->service, leg->tried,
				  leg->tried_count, now_us);
}

/* Renews the time until which an attempt may be sent by the client's API key; false if none may. */
static bool renew_key(struct pd_fanout *fanout)
{
	if (!fanout->key_check)
		return true;
	fanout->request.send_until_us = pd_key_check_until_us(fanout->key_check);
	if (pd_os_boot_us() < fanout->request.send_until_us)
		return true;
	fanout->key_refused = true;
	return false;
}

/* Sends an attempt to an upstream that wasn't tried yet; false if there is none, or if the client's
 * API key doesn't allow it.
 */
static bool send_attempt(struct pd_fanout *fanout, struct pd_leg *leg, int64_t now_us)
{
	struct pd_registry *registry = fanout->pool->registry;
	struct pd_exchange *exchange = find_unused_exchange(leg);
	struct pd_upstream *upstream;

	if (!exchange || leg->tried_count == PD_LEG_ATTEMPTS_MAX || !renew_key(fanout))
		return false;
	upstream = pd_registry_pick(registry, leg->service, leg->tried, leg->tried_count, now_us);
	if (!upstream)
		return false;
	if (!leg->attempts)
		pd_registry_count_request(registry, leg->service);
	if (fanout->quota && !fanout->counted)
		pd_quota_count(fanout->quota, fanout->account, now_us);
	fanout->counted = fanout->quota != NULL;
	leg->tried[leg->tried_count++] = upstream;
	leg->attempts++;
	leg->hedge_us = now_us + pd_policy_hedge_delay(fanout->route, fanout->p92_us);
	pd_exchange_start(exchange, fanout->pool, upstream, &fanout->request, fanout->deadline_us,
			  fanout->route->idempotent ? REUSE_IDLE_MAX_US
						    : REUSE_IDLE_MAX_NON_IDEMPOTENT_US,
			  now_us);
	exchange->stats = fanout->stats;
	pd_count(PD_COUNT_subrequests_sent);
	return true;
}

/* Whether the request may be what crashes its upstreams. */
static bool is_suspect(const struct pd_fanout *fanout)
{
	return fanout->broken_connections >= (fanout->on_trial ? 1 : BROKEN_CONNECTIONS_MAX);
}

/* Whether another attempt is allowed, given that upstreams may have executed earlier ones. */
static bool may_execute_again(const struct pd_fanout *fanout, const struct pd_leg *leg)
{
	if (!leg->executions)
		return true;
	return fanout->route->idempotent && leg->executions < fanout->route->max_attempts &&
	       !is_suspect(fanout);
}

/* Retries a leg after an attempt failed, or fails the leg. Does nothing while another attempt is in
 * flight. The retry budget applies if the failed attempt has reached its upstream. */
static void retry_leg(struct pd_fanout *fanout, struct pd_leg *leg, const char *reason,
		      bool reached_upstream, int64_t now_us)
{
	struct pd_registry *registry = fanout->pool->registry;

	if (leg_is_live(leg))
		return;
	if (!may_execute_again(fanout, leg) || now_us + RETRY_MIN_TIME_US > fanout->deadline_us) {
		fail_leg(fanout, leg, reason);
		return;
	}
	if (leg_permit(fanout, leg, now_us).block != PD_BLOCK_NONE) {
		fail_leg(fanout, leg, reason);
		return;
	}
	if (reached_upstream && !pd_registry_consume_retry(registry, leg->service)) {
		fail_leg(fanout, leg, "retry_budget");
		return;
	}
	if (send_attempt(fanout, leg, now_us)) {
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

/* Moves the response of an exchange to the leg. */
static void store_response(struct pd_leg *leg, struct pd_exchange *exchange)
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

/* Abandons the other attempts of a leg that has its response. */
static void abandon_exchanges(struct pd_fanout *fanout, struct pd_leg *leg, int64_t now_us)
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
		.late = exchange->overdue,
		.stats = fanout->stats,
		.has_load = exchange->has_load,
		.load = exchange->load,
		.queued = exchange->queued,
		.has_speed = exchange->has_speed,
		.speed = exchange->speed,
		.answered = exchange->state == PD_EXCHANGE_ANSWERED ||
			    exchange->state == PD_EXCHANGE_REJECTED,
		.directives = exchange->directives,
		.relay_stopping = fanout->relay && exchange->closing,
	};

	pd_exchange_end(exchange, fanout->pool, &report, now_us);
}

/* Whether the response shows that the upstream has executed the request to its end. An upstream
 * that fails may not have begun.
 */
static bool shows_execution(int status, const struct pd_response_fields *fields)
{
	return status < 500 && fields->stamp.len && !pd_platform_promises_not_executed(status);
}

static void handle_response(struct pd_fanout *fanout, struct pd_leg *leg,
			    struct pd_exchange *exchange, int64_t now_us)
{
	struct pd_response_fields fields;
	bool valid;
	int status;

	pd_platform_read_response(&exchange->conn->msg, &fields);
	status = (int)exchange->conn->msg.parser.status_code;
	/* A response without its signature may be corrupted. */
	valid = fanout->relay || (is_success(status) && fields.stamp.len);
	leg->executions++;
	if (!fanout->relay && shows_execution(status, &fields))
		pd_directory_record_answer(fanout->reporter->directory, fanout->fingerprint,
					   &leg->service->name);
	if (!valid) {
		pd_log(PD_LOG_INFO, "upstream_failure",
		       "id=%.*s service=%s upstream=%s status=%d stamp=%d",
		       PD_STR_ARG(fanout->request.request_id), leg->service->name.text,
		       exchange->upstream->id.text, status, fields.stamp.len > 0);
		if (fanout->route->kind == PD_ROUTE_FORWARD && fields.stamp.len)
			store_response(leg, exchange);
		end_exchange(fanout, exchange, PD_REPORT_FAILURE, now_us);
		retry_leg(fanout, leg, "upstream_failure", true, now_us);
		return;
	}
	store_response(leg, exchange);
	end_exchange(fanout, exchange, PD_REPORT_SUCCESS, now_us);
	abandon_exchanges(fanout, leg, now_us);
	leg->state = PD_LEG_ANSWERED;
	leg->answered_us = now_us;
	fanout->answered++;
}

/* Logs an exchange that ends without a response. */
static void log_exchange(struct pd_fanout *fanout, struct pd_leg *leg, struct pd_exchange *exchange,
			 const char *event, int64_t now_us)
{
	pd_log(PD_LOG_INFO, event, "id=%.*s service=%s upstream=%s sent=%zu reused=%d age_ms=%lld",
	       PD_STR_ARG(fanout->request.request_id), leg->service->name.text,
	       exchange->upstream->id.text, exchange->sent,
	       exchange->conn && exchange->conn->reused,
	       (long long)(now_us - exchange->started_us) / 1000);
}

/* Allows another attempt at an upstream to which nothing was sent. */
static void remove_tried(struct pd_leg *leg, const struct pd_upstream *upstream)
{
	for (uint8_t i = 0; i < leg->tried_count; i++) {
		if (leg->tried[i] == upstream) {
			leg->tried[i] = leg->tried[--leg->tried_count];
			return;
		}
	}
}

/* Handles an exchange in one of its final states. */
static void handle_final_state(struct pd_fanout *fanout, struct pd_leg *leg,
			       struct pd_exchange *exchange, int64_t now_us)
{
	switch (exchange->state) {
	case PD_EXCHANGE_ANSWERED:
		handle_response(fanout, leg, exchange, now_us);
		break;
	case PD_EXCHANGE_REJECTED:
		leg->rejected = true;
		end_exchange(fanout, exchange, PD_REPORT_REJECTED, now_us);
		retry_leg(fanout, leg, "rejected", true, now_us);
		break;
	case PD_EXCHANGE_WRONG_INSTANCE:
		log_exchange(fanout, leg, exchange, "wrong_instance", now_us);
		end_exchange(fanout, exchange, PD_REPORT_WRONG_INSTANCE, now_us);
		retry_leg(fanout, leg, "wrong_instance", true, now_us);
		break;
	case PD_EXCHANGE_UNREACHABLE:
		log_exchange(fanout, leg, exchange, "upstream_unreached", now_us);
		end_exchange(fanout, exchange, PD_REPORT_UNREACHABLE, now_us);
		retry_leg(fanout, leg, "unreached", false, now_us);
		break;
	case PD_EXCHANGE_REFUSED:
		log_exchange(fanout, leg, exchange, "connection_refused", now_us);
		end_exchange(fanout, exchange, PD_REPORT_FAILURE, now_us);
		retry_leg(fanout, leg, "refused", false, now_us);
		break;
	case PD_EXCHANGE_EXPIRED:
		/* By the old time, the next permit would have expired, too. */
		now_us = pd_os_boot_us();
		log_exchange(fanout, leg, exchange, "permit_expired", now_us);
		remove_tried(leg, exchange->upstream);
		end_exchange(fanout, exchange, PD_REPORT_ABANDONED, now_us);
		retry_leg(fanout, leg, "permit_expired", false, now_us);
		break;
	case PD_EXCHANGE_INVALID:
		leg->executions++;
		end_exchange(fanout, exchange, PD_REPORT_FAILURE, now_us);
		retry_leg(fanout, leg, "status_invalid", true, now_us);
		break;
	case PD_EXCHANGE_BROKEN: {
		bool stale = exchange->stale;

		log_exchange(fanout, leg, exchange, "connection_broken", now_us);
		if (!exchange->received && !fanout->relay)
			pd_reporter_report_crash(fanout->reporter, fanout->fingerprint,
						 exchange->upstream, exchange->conn->opened_us,
						 stale);
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

/* Delay after which a late leg is checked again for a hedge if most of the other legs are late,
 * too, or if no other upstream has a free slot. */
#define HEDGE_RECHECK_US 5000

/* Handles a leg whose attempts are late. If enough other legs have responses, reports the attempts
 * as overdue and sends a hedge to another upstream, if the retry budget allows it and the hedge
 * needn't wait there: the upstreams of a service whose machines are slow would get more work than
 * they can do, and all its parts would be late. Otherwise the leg is checked again later. */
static void hedge_leg(struct pd_fanout *fanout, struct pd_leg *leg, int64_t now_us)
{
	struct pd_registry *registry = fanout->pool->registry;
	struct pd_upstream *late_upstream = NULL;
	int64_t waited_us = 0;

	if (!pd_policy_is_straggler(fanout->leg_count, fanout->answered)) {
		leg->hedge_us = now_us + HEDGE_RECHECK_US;
		return;
	}
	leg->hedge_us = 0;
	for (int i = 0; i < PD_LEG_EXCHANGES; i++) {
		struct pd_exchange *exchange = &leg->exchanges[i];

		if (!pd_exchange_is_live(exchange) || (exchange->overdue && !leg->hedge_waits))
			continue;
		late_upstream = exchange->upstream;
		waited_us = now_us - exchange->started_us;
		if (!exchange->overdue)
			pd_registry_report_overdue(registry, late_upstream, fanout->stats,
						   waited_us, now_us);
		exchange->overdue = true;
	}
	leg->hedge_waits = false;
	if (!late_upstream || !fanout->route->idempotent || !find_unused_exchange(leg) ||
	    leg->attempts >= fanout->route->max_attempts || fanout->on_trial ||
	    is_suspect(fanout) || leg_permit(fanout, leg, now_us).block != PD_BLOCK_NONE)
		return;
	if (!pd_registry_hedge_helps(registry, leg->service, leg->tried, leg->tried_count,
				     now_us)) {
		leg->hedge_waits = true;
		leg->hedge_us = now_us + HEDGE_RECHECK_US;
		return;
	}
	if (!pd_registry_consume_retry(registry, leg->service))
		return;
	if (!send_attempt(fanout, leg, now_us))
		return;
	fanout->hedges++;
	pd_count(PD_COUNT_hedges_sent);
	pd_log(PD_LOG_INFO, "leg_hedged", "id=%.*s service=%s late=%s waited_ms=%lld to=%s",
	       PD_STR_ARG(fanout->request.request_id), leg->service->name.text,
	       late_upstream->id.text, (long long)waited_us / 1000,
	       leg->tried[leg->tried_count - 1]->id.text);
}

/* Time limit for connecting to a larger instance: connecting within the zone takes less than a
 * millisecond, and this instance can serve the request itself. */
#define RELAY_CONNECT_TIMEOUT_US 30000

static int64_t connect_timeout_us(const struct pd_fanout *fanout)
{
	return fanout->relay ? RELAY_CONNECT_TIMEOUT_US : CONNECT_TIMEOUT_US;
}

/* Ends exchanges that take too long to connect; nothing was sent on them. */
static void check_connect_timeouts(struct pd_fanout *fanout, struct pd_leg *leg, int64_t now_us)
{
	for (int i = 0; i < PD_LEG_EXCHANGES; i++) {
		struct pd_exchange *exchange = &leg->exchanges[i];

		if (exchange->state != PD_EXCHANGE_CONNECTING ||
		    now_us - exchange->started_us < connect_timeout_us(fanout))
			continue;
		exchange->state = PD_EXCHANGE_UNREACHABLE;
		handle_final_state(fanout, leg, exchange, now_us);
	}
}

/* Handles exchanges that ended when they were started, for instance by a refused connection. */
static void handle_ended_exchanges(struct pd_fanout *fanout, struct pd_leg *leg, int64_t now_us)
{
	for (int i = 0; i < PD_LEG_EXCHANGES && leg->state == PD_LEG_OPEN;) {
		struct pd_exchange *exchange = &leg->exchanges[i];

		if (exchange->state == PD_EXCHANGE_UNUSED || pd_exchange_is_live(exchange)) {
			i++;
			continue;
		}
		/* A retry may reuse this entry, which is therefore checked again. */
		handle_final_state(fanout, leg, exchange, now_us);
	}
}

static void check_timers(struct pd_fanout *fanout, int64_t now_us)
{
	for (size_t i = 0; i < fanout->leg_count; i++) {
		struct pd_leg *leg = &fanout->legs[i];

		if (leg->state != PD_LEG_OPEN)
			continue;
		check_connect_timeouts(fanout, leg, now_us);
		for (int e = 0; e < PD_LEG_EXCHANGES; e++)
			pd_exchange_check_settled(&leg->exchanges[e], now_us);
		if (leg->state == PD_LEG_OPEN && leg->hedge_us && now_us >= leg->hedge_us)
			hedge_leg(fanout, leg, now_us);
		handle_ended_exchanges(fanout, leg, now_us);
	}
}

static bool is_finished(struct pd_fanout *fanout, int64_t now_us)
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

/* Returns the time of the next timer. */
static int64_t next_timer(const struct pd_fanout *fanout, int64_t now_us)
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
							     connect_timeout_us(fanout));
			if (leg->exchanges[e].state == PD_EXCHANGE_SETTLING)
				next = earlier(next, leg->exchanges[e].settle_until_us);
		}
	}
	return next;
}

/**
 * struct poll_set - descriptors for one call of poll(), with the exchanges that they belong to
 * @fds: descriptors
 * @legs: leg of each descriptor; NULL for that of the client
 * @exchanges: exchange of each descriptor; not set for that of the client
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
	size_t capacity = legs * PD_LEG_EXCHANGES + 1;

	set->fds = calloc(capacity, sizeof(*set->fds));
	set->legs = calloc(capacity, sizeof(struct pd_leg *));
	set->exchanges = calloc(capacity, sizeof(struct pd_exchange *));
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

/* Handles the events that poll() returned; true if the client has disconnected. */
static bool handle_events(struct poll_set *set, struct pd_fanout *fanout, int64_t now_us)
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
			handle_final_state(fanout, set->legs[i], set->exchanges[i], now_us);
	}
	return false;
}

static int poll_timeout_ms(int64_t timer_us, int64_t now_us)
{
	if (timer_us <= now_us)
		return 0;
	return (int)((timer_us - now_us + PD_USEC_PER_MSEC - 1) / PD_USEC_PER_MSEC);
}

/* Ejects the larger instance if it has sent nothing, so that it gets no further requests for a
 * while. It may still respond to this one. */
static void eject_silent_relay(struct pd_fanout *fanout, int64_t now_us)
{
	const struct pd_exchange *exchange = &fanout->legs[0].exchanges[0];

	fanout->relay_eject_us = 0;
	if (pd_exchange_is_live(exchange) && !exchange->received)
		pd_registry_eject(fanout->pool->registry, exchange->upstream, now_us);
}

/* Sends an interim response, which shows the instance that relayed the request that this one is
 * still processing it. */
static void send_interim_response(struct pd_fanout *fanout)
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

	while (!is_finished(fanout, now)) {
		poll_set_fill(set, fanout);
		if (poll(set->fds, set->count, poll_timeout_ms(next_timer(fanout, now), now)) < 0)
			set->count = 0; /* interrupted: only timers are checked */
		now = pd_os_boot_us();
		if (handle_events(set, fanout, now)) {
			fanout->end = PD_FANOUT_CLIENT_GONE;
			return;
		}
		check_timers(fanout, now);
		if (fanout->relay_eject_us && now >= fanout->relay_eject_us)
			eject_silent_relay(fanout, now);
		if (fanout->send_interim && now >= fanout->cutoff_us && !is_finished(fanout, now))
			send_interim_response(fanout);
	}
}

/* Ends the exchanges that are still in progress. Overdue ones are reported as timeouts of their
 * upstreams, unless the client has disconnected. */
static void abandon_open_exchanges(struct pd_fanout *fanout)
{
	/* Closing the connections cancels requests whose results aren't needed. */
	bool close = fanout->relay || fanout->end == PD_FANOUT_CLIENT_GONE ||
		     fanout->end == PD_FANOUT_TOO_FEW_PARTS;
	int64_t now = pd_os_boot_us();

	for (size_t i = 0; i < fanout->leg_count; i++) {
		for (int e = 0; e < PD_LEG_EXCHANGES; e++) {
			struct pd_exchange *exchange = &fanout->legs[i].exchanges[e];

			if (!pd_exchange_is_live(exchange))
				continue;
			log_exchange(fanout, &fanout->legs[i], exchange, "leg_given_up", now);
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
		struct pd_leg *leg = &fanout->legs[i];

		if (!send_attempt(fanout, leg, now))
			fail_leg(fanout, leg,
				 fanout->key_refused
					 ? "key_unconfirmed"
					 : pd_block_name(leg_permit(fanout, leg, now).block));
	}
	for (size_t i = 0; i < fanout->leg_count; i++)
		handle_ended_exchanges(fanout, &fanout->legs[i], now);
	wait_for_legs(fanout, &set);
	abandon_open_exchanges(fanout);
	poll_set_finish(&set);
}
