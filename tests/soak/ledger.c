#include "ledger.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "quotas.h"
#include "rollouts.h"

#define REQUESTS_MAX	       200000
#define LOAD_EVENTS_MAX	       400000
#define PRINTED_VIOLATIONS_MAX 8 /* of each rule */
#define CANCEL_GRACE_US	       (500 * PD_USEC_PER_MSEC) /* after the end of a request */
#define LOSS_SLACK_US	       (200 * PD_USEC_PER_MSEC) /* the platform's loss_slack_ms */

/**
 * struct request - one request of a caller
 * @sent_us: time at which the caller sent the request
 * @ended_us: time at which the outcome was recorded; 0 while the request is in flight
 * @instance: instance that the caller sent the request to
 * @kind: enum request_kind
 * @key: number of the API key; FLEET_KEYS for an unknown one
 * @outcome: enum outcome; only valid when @ended_us isn't 0
 * @synced_when_sent: the instance was synced with the store when the request was sent
 * @hit_unstable_upstream: the request reached an upstream that wasn't stable, see
 *                         fleet_is_stable_locked()
 * @executions: number of times that upstreams executed the request
 * @arrivals_by_service: number of times that the request reached an upstream of each service
 * @executions_by_service: number of executions at each service
 */
struct request {
	int64_t sent_us;
	int64_t ended_us;
	const struct fleet_instance *instance;
	uint8_t kind;
	uint8_t key;
	uint8_t outcome;
	bool synced_when_sent;
	bool hit_unstable_upstream;
	uint8_t executions;
	uint8_t arrivals_by_service[FLEET_SERVICES];
	uint8_t executions_by_service[FLEET_SERVICES];
};

/**
 * struct load_event - request or repeated arrival, for the check of retry budgets
 * @at_us: time of the event
 * @service: index of the service
 * @extra: true for an arrival of a request that had reached the service before (retry or hedge),
 *         false for a request of a caller that needs the service
 */
struct load_event {
	int64_t at_us;
	uint32_t service;
	bool extra;
};

static const struct {
	const char *name;
	uint32_t allowed_violations; /* number that the platform's rules allow per run */
} rules[RULE_COUNT] = {
	[RULE_MIXED] = {"MIXED", 0},	   [RULE_UNASKED] = {"UNASKED", 0},
	[RULE_TWICE] = {"TWICE", 0},	   [RULE_REFUSED] = {"REFUSED", 0},
	[RULE_DENIED] = {"DENIED", 5},	   [RULE_BUDGET] = {"BUDGET", 3},
	[RULE_GONE] = {"GONE", 3},	   [RULE_LOST] = {"LOST", 3},
	[RULE_ROUTE] = {"ROUTE", 0},	   [RULE_DRAIN] = {"DRAIN", 0},
	[RULE_CONFIG] = {"CONFIG", 0},	   [RULE_EVACUATION] = {"EVACUATION", 0},
	[RULE_LATE] = {"LATE", 7},	   [RULE_SERVING] = {"SERVING", 5},
	[RULE_KEY] = {"KEY", 0},	   [RULE_ENDED] = {"ENDED", 0},
	[RULE_EXPOSURE] = {"EXPOSURE", 0}, [RULE_OUTCOME] = {"OUTCOME", 0},
	[RULE_QUOTA] = {"QUOTA", 0},	   [RULE_RECOVERY] = {"RECOVERY", 0},
};

static struct {
	struct request *requests; /* indexed by request number */
	long request_count;
	struct load_event *events; /* in order of time */
	size_t event_count;
	uint32_t violations[RULE_COUNT];
	uint32_t outcomes[OUTCOME_UNSENT + 1]; /* number of requests by enum outcome */
	uint32_t synced_requests; /* requests sent to instances that were synced with the store */
	uint32_t window_ended; /* requests that ended in this window, without cancelled ones */
	uint32_t window_served; /* those of window_ended that were served */
} ledger;

static void record_violation(enum rule rule, const char *format, va_list args)
{
	if (ledger.violations[rule]++ >= PRINTED_VIOLATIONS_MAX)
		return;
	printf("violation of %s at %" PRId64 " ms: ", rules[rule].name,
	       pd_os_now_us() / PD_USEC_PER_MSEC);
	vprintf(format, args);
	printf("\n");
	fflush(stdout);
}

void ledger_report_violation_locked(enum rule rule, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	record_violation(rule, format, args);
	va_end(args);
}

void ledger_report_violation(enum rule rule, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	pthread_mutex_lock(&fleet.lock);
	record_violation(rule, format, args);
	pthread_mutex_unlock(&fleet.lock);
	va_end(args);
}

static void record_load_event(uint32_t service, bool extra, int64_t now_us)
{
	if (ledger.event_count < LOAD_EVENTS_MAX)
		ledger.events[ledger.event_count++] = (struct load_event){now_us, service, extra};
}

long ledger_add_request(enum request_kind kind, const struct fleet_instance *instance, uint32_t key)
{
	int64_t now_us = pd_os_now_us();
	long number = -1;
	uint32_t allowed_set;

	pthread_mutex_lock(&fleet.lock);
	if (!ledger.requests) {
		ledger.requests = calloc(REQUESTS_MAX, sizeof(*ledger.requests));
		ledger.events = calloc(LOAD_EVENTS_MAX, sizeof(*ledger.events));
		if (!ledger.requests || !ledger.events)
			abort();
	}
	if (ledger.request_count < REQUESTS_MAX) {
		number = ledger.request_count++;
		ledger.requests[number] = (struct request){
			.sent_us = now_us,
			.instance = instance,
			.kind = (uint8_t)kind,
			.key = (uint8_t)key,
			.synced_when_sent = fleet_instance_is_synced_locked(instance, now_us),
		};
		ledger.synced_requests += ledger.requests[number].synced_when_sent;
		allowed_set =
			fleet_allowed_services(&fleet.versions[fleet.version_count - 1], kind);
		for (uint32_t i = 0; i < FLEET_SERVICES; i++) {
			if (allowed_set & 1U << i)
				record_load_event(i, false, now_us);
		}
	}
	pthread_mutex_unlock(&fleet.lock);
	return number;
}

/*
 * Whether a configuration has the key of the request (or, unless @valid, lacks it) that wasn't
 * replaced for longer than @timeout_us before the request was sent.
 */
static bool may_count(const struct request *request, bool valid, int64_t timeout_us)
{
	for (uint32_t i = 0; i < fleet.version_count; i++) {
		bool replaced = i + 1 < fleet.version_count &&
				fleet.versions[i + 1].stored_us < request->sent_us - timeout_us;

		if (!replaced && !(fleet.versions[i].keys & 1U << request->key) == !valid)
			return true;
	}
	return false;
}

/* Whether the request may be refused because of its key. */
static bool may_be_denied(const struct request *request)
{
	return fleet.use_keys && may_count(request, false, FLEET_CONFIG_APPLY_US);
}

/* Whether the account of the request has a quota. */
static bool is_limited(const struct request *request)
{
	return fleet.use_quotas && request->key < FLEET_LIMITED_KEYS;
}

/* Whether the instance may close the connection without an answer. */
static bool may_disconnect(const struct request *request, int64_t now_us)
{
	if (request->hit_unstable_upstream ||
	    !fleet_is_stable_locked(&request->instance->fault_history, now_us))
		return true;
	/*
	 * The instance may close the connection while the request is on its way to it. It then
	 * doesn't forward the request, and the caller sees the close within LOSS_SLACK_US.
	 */
	return !request->executions && now_us - request->sent_us < LOSS_SLACK_US;
}

/* Whether every instance must use the zone: it isn't evacuated, nor was it until a moment ago. */
static bool is_zone_in_use(uint32_t zone, int64_t now_us)
{
	int64_t ended_us = fleet.evacuation_ended_us[zone];

	return !fleet.evacuated_us[zone] && (!ended_us || now_us - ended_us > FLEET_ZONE_RETURN_US);
}

/*
 * Whether the request must be served: its instance and all upstreams that may be needed, by any
 * configuration of the last FLEET_STABLE_US, have been without faults, and their zones haven't been
 * evacuated for FLEET_ZONE_RETURN_US. Store outages and
 * configuration changes don't matter, but the instance must have been synced with the store at
 * least once since its start: one that starts during a store outage knows no upstreams, and the
 * platform's rules allow its 503. With keys, the instance must know that none was withdrawn, so
 * that outages of the store matter.
 */
static bool must_be_served(const struct request *request, int64_t now_us)
{
	uint32_t allowed_set = 0;

	if (!request->instance->was_synced)
		return false;
	if (fleet.use_keys && (may_be_denied(request) || !request->synced_when_sent ||
			       !fleet_instance_is_synced_locked(request->instance, now_us)))
		return false;
	for (uint32_t i = 0; i < fleet.version_count; i++) {
		if (i + 1 == fleet.version_count ||
		    fleet.versions[i + 1].stored_us > now_us - FLEET_STABLE_US)
			allowed_set |= fleet_allowed_services(&fleet.versions[i], request->kind);
	}
	for (size_t i = 0; i < fleet.upstream_count; i++) {
		const struct fleet_upstream *upstream = &fleet.upstreams[i];

		if (!upstream->absent && (allowed_set & 1U << upstream->service) &&
		    (upstream->has_fault || !is_zone_in_use(upstream->zone, now_us) ||
		     !fleet_is_stable_locked(&upstream->fault_history, now_us)))
			return false;
	}
	return fleet_instance_is_stable_locked(request->instance, now_us);
}

static void check_outcome(long number, enum outcome outcome, unsigned int status, int64_t now_us)
{
	const struct request *request = &ledger.requests[number];
	bool synced = request->synced_when_sent &&
		      fleet_instance_is_synced_locked(request->instance, now_us);

	if (outcome == OUTCOME_REFUSED && request->kind == REQUEST_WRITE && request->executions)
		ledger_report_violation_locked(
			RULE_REFUSED, "request %ld was executed and got status %u", number, status);
	if ((outcome == OUTCOME_REFUSED || outcome == OUTCOME_FAILED) &&
	    !(status == HTTP_STATUS_TOO_MANY_REQUESTS && is_limited(request)) &&
	    must_be_served(request, now_us))
		ledger_report_violation_locked(RULE_SERVING, "request %ld got status %u from %s",
					       number, status, request->instance->name);
	if (outcome == OUTCOME_FAILED && status >= 300 && status < 500 && synced &&
	    !(status == HTTP_STATUS_UNAUTHORIZED && may_be_denied(request)))
		ledger_report_violation_locked(RULE_DENIED, "request %ld got status %u from %s",
					       number, status, request->instance->name);
	if (outcome == OUTCOME_DISCONNECTED && !may_disconnect(request, now_us))
		ledger_report_violation_locked(RULE_LOST,
					       "request %ld was disconnected after %" PRId64
					       " ms by %s, executed %u times",
					       number,
					       (now_us - request->sent_us) / PD_USEC_PER_MSEC,
					       request->instance->name, request->executions);
	if (outcome == OUTCOME_TIMED_OUT && synced)
		ledger_report_violation_locked(RULE_LATE, "request %ld got no answer from %s",
					       number, request->instance->name);
}

void ledger_record_outcome(long number, enum outcome outcome, unsigned int status)
{
	int64_t now_us = pd_os_now_us();
	struct request *request;

	pthread_mutex_lock(&fleet.lock);
	request = &ledger.requests[number];
	request->ended_us = now_us;
	request->outcome = (uint8_t)outcome;
	check_outcome(number, outcome, status, now_us);
	ledger.outcomes[outcome]++;
	if (outcome != OUTCOME_CANCELLED && !may_be_denied(request) &&
	    !(status == HTTP_STATUS_TOO_MANY_REQUESTS && is_limited(request))) {
		ledger.window_ended++;
		ledger.window_served += outcome == OUTCOME_SERVED;
	}
	pthread_mutex_unlock(&fleet.lock);
}

size_t ledger_request_body(long number, char *out, size_t size)
{
	size_t len = (size_t)number % (size - 1) + 1;

	for (size_t i = 0; i < len; i++)
		out[i] = (char)('a' + (number + (long)i) % 26);
	return len;
}

static bool is_unmodified(long number, const struct platform_upstream_request *arrival)
{
	static const char *const route_names[REQUEST_KINDS] = {"gather", "read", "write"};
	const struct pd_http_message *msg = arrival->msg;
	const struct request *request = &ledger.requests[number];
	enum http_method method = request->kind == REQUEST_WRITE ? HTTP_POST : HTTP_GET;
	char target[64], body[1024];
	size_t len = request->kind == REQUEST_WRITE
			     ? ledger_request_body(number, body, sizeof(body))
			     : 0;

	snprintf(target, sizeof(target), "/%s/%ld?q=%ld", route_names[request->kind], number,
		 number);
	return msg->parser.method == method && pd_str_is(pd_http_message_target(msg), target) &&
	       msg->body.len == len && (!len || !memcmp(msg->body.data, body, len));
}

/*
 * Sets @in_any to the services that any configuration allows for the request, and @in_force to
 * those of configurations that may be in force: not replaced for longer than FLEET_CONFIG_APPLY_US
 * before the request was sent. Both are bit sets.
 */
static void allowed_services(const struct request *request, int64_t now_us, uint32_t *in_any,
			     uint32_t *in_force)
{
	*in_any = 0;
	*in_force = 0;
	for (uint32_t i = 0; i < fleet.version_count; i++) {
		uint32_t allowed = fleet_allowed_services(&fleet.versions[i], request->kind);
		bool replaced =
			i + 1 < fleet.version_count &&
			fleet.versions[i + 1].stored_us < request->sent_us - FLEET_CONFIG_APPLY_US;

		*in_any |= allowed;
		if (!replaced && fleet.versions[i].published_us <= now_us)
			*in_force |= allowed;
	}
}

/* Checks whether @upstream may execute the request at the time @now_us. */
static void check_destination(long number, const struct fleet_upstream *upstream, int64_t now_us)
{
	const struct request *request = &ledger.requests[number];
	bool synced = request->synced_when_sent &&
		      fleet_instance_is_synced_locked(request->instance, now_us);
	bool unstable = !fleet_is_stable_locked(&upstream->fault_history, now_us);
	int64_t zone_evacuated_us = fleet.evacuated_us[upstream->zone];
	uint32_t in_any, in_force;

	allowed_services(request, now_us, &in_any, &in_force);
	if (!(in_any & 1U << upstream->service))
		ledger_report_violation_locked(
			RULE_ROUTE, "request %ld was executed at %s, which no configuration allows",
			number, upstream->standin.id);
	else if (synced && !unstable && !(in_force & 1U << upstream->service))
		ledger_report_violation_locked(RULE_CONFIG,
					       "request %ld was executed at %s, which only old "
					       "configurations allow, sent by %s",
					       number, upstream->standin.id,
					       request->instance->name);
	if (!synced || unstable)
		return;
	if (upstream->withdrawn_us && now_us - upstream->withdrawn_us > FLEET_DRAIN_TIMEOUT_US)
		ledger_report_violation_locked(RULE_DRAIN,
					       "request %ld was executed at %s %" PRId64
					       " ms after the upstream was withdrawn, sent by %s",
					       number, upstream->standin.id,
					       (now_us - upstream->withdrawn_us) / PD_USEC_PER_MSEC,
					       request->instance->name);
	if (zone_evacuated_us && now_us - zone_evacuated_us > FLEET_EVACUATION_TIMEOUT_US)
		ledger_report_violation_locked(
			RULE_EVACUATION,
			"request %ld was executed at %s in an evacuated zone, sent by %s", number,
			upstream->standin.id, request->instance->name);
	if (request->ended_us && now_us - request->ended_us > CANCEL_GRACE_US)
		ledger_report_violation_locked(
			RULE_GONE, "request %ld was executed at %s after it had ended, sent by %s",
			number, upstream->standin.id, request->instance->name);
}

/* Checks the key of the request, and that the upstream gets its account and nothing else. */
static void check_key(long number, const struct fleet_upstream *upstream,
		      const struct pd_http_message *msg)
{
	const struct request *request = &ledger.requests[number];
	struct pd_str value;
	uint32_t accounts = 0;
	char account[32];

	snprintf(account, sizeof(account), "account-%u", request->key);
	for (uint32_t i = 0; i < msg->field_count; i++) {
		struct pd_str name = pd_http_message_name(msg, i);

		if (name.len == strlen("X-Tenant") && !strncasecmp(name.data, "X-Tenant", name.len))
			accounts += pd_str_is(pd_http_message_value(msg, i), account) ? 1 : 2;
	}
	if (accounts != 1 || pd_http_message_field(msg, "X-Key", &value))
		ledger_report_violation_locked(RULE_KEY,
					       "request %ld of %s arrived at %s with another "
					       "account or with its key, sent by %s",
					       number, account, upstream->standin.id,
					       request->instance->name);
	if (!may_count(request, true, FLEET_REVOCATION_MS * PD_USEC_PER_MSEC))
		ledger_report_violation_locked(
			RULE_KEY,
			"request %ld was executed at %s with withdrawn key %u, sent by %s", number,
			upstream->standin.id, request->key, request->instance->name);
}

/* Checks the content of the request and its number of executions. */
static void check_execution(long number, const struct fleet_upstream *upstream,
			    const struct platform_upstream_request *arrival)
{
	struct request *request = &ledger.requests[number];

	if (!is_unmodified(number, arrival))
		ledger_report_violation_locked(RULE_UNASKED, "request %ld arrived modified at %s",
					       number, upstream->standin.id);
	if (request->kind == REQUEST_WRITE && request->executions)
		ledger_report_violation_locked(RULE_TWICE, "request %ld was executed again at %s",
					       number, upstream->standin.id);
	if (request->kind == REQUEST_WRITE && request->outcome == OUTCOME_REFUSED)
		ledger_report_violation_locked(RULE_REFUSED,
					       "request %ld was refused and then executed at %s",
					       number, upstream->standin.id);
	if (++request->executions_by_service[upstream->service] > FLEET_MAX_ATTEMPTS &&
	    !request->hit_unstable_upstream)
		ledger_report_violation_locked(
			RULE_BUDGET, "request %ld was executed %u times at service %u, sent by %s",
			number, request->executions_by_service[upstream->service],
			upstream->service, request->instance->name);
	request->executions++;
}

void ledger_record_arrival(struct platform_upstream *standin,
			   const struct platform_upstream_request *arrival)
{
	struct fleet_upstream *upstream = (struct fleet_upstream *)standin;
	int64_t now_us = pd_os_now_us();
	struct request *request;
	char id[32];
	long number = -1;

	if (pd_str_is(pd_http_message_target(arrival->msg), "/health"))
		return;
	if (pd_str_copy(arrival->request_id, id, sizeof(id)))
		sscanf(id, REQUEST_ID_PREFIX "%ld", &number);
	pthread_mutex_lock(&fleet.lock);
	if (number < 0 || number >= ledger.request_count) {
		ledger_report_violation_locked(RULE_UNASKED, "unknown request %s at %s", id,
					       standin->id);
		pthread_mutex_unlock(&fleet.lock);
		return;
	}
	request = &ledger.requests[number];
	if (!fleet_is_stable_locked(&upstream->fault_history, now_us))
		request->hit_unstable_upstream = true;
	if (request->arrivals_by_service[upstream->service]++)
		record_load_event(upstream->service, true, now_us);
	if (fleet.use_rollouts)
		rollouts_record_locked(number, upstream,
				       fleet_instance_is_synced_locked(
					       request->instance, now_us - FLEET_CONTACT_EXTRA_US),
				       now_us);
	if (arrival->executed) {
		check_destination(number, upstream, now_us);
		if (is_limited(request) && !request->executions)
			quotas_record_locked(number, request->key, now_us);
		check_execution(number, upstream, arrival);
		if (fleet.use_keys)
			check_key(number, upstream, arrival->msg);
	}
	pthread_mutex_unlock(&fleet.lock);
}

void ledger_reset_window(void)
{
	pthread_mutex_lock(&fleet.lock);
	ledger.window_ended = 0;
	ledger.window_served = 0;
	pthread_mutex_unlock(&fleet.lock);
}

void ledger_read_window(uint32_t *ended, uint32_t *served)
{
	pthread_mutex_lock(&fleet.lock);
	*ended = ledger.window_ended;
	*served = ledger.window_served;
	pthread_mutex_unlock(&fleet.lock);
}

/*
 * Checks the retry budget of @service. For each window of FLEET_RETRY_BUDGET_WINDOW_US that ends
 * with an extra arrival, compares the extra arrivals in it with the number of requests in that
 * window, in the previous one, or in the one that ended half a window earlier, whichever is
 * greatest.
 */
static void check_retry_budget(uint32_t service)
{
	for (size_t end = 0; end < ledger.event_count; end++) {
		int64_t until_us = ledger.events[end].at_us;
		uint32_t requests[3] = {0}, max_requests = 0, extra_arrivals = 0;

		if (ledger.events[end].service != service || !ledger.events[end].extra)
			continue;
		for (size_t i = end + 1; i-- > 0;) {
			const struct load_event *event = &ledger.events[i];
			int64_t age_us = until_us - event->at_us;

			if (age_us > 2 * FLEET_RETRY_BUDGET_WINDOW_US)
				break;
			if (event->service != service)
				continue;
			if (event->extra) {
				extra_arrivals += age_us <= FLEET_RETRY_BUDGET_WINDOW_US;
				continue;
			}
			requests[0] += age_us <= FLEET_RETRY_BUDGET_WINDOW_US;
			requests[1] += age_us > FLEET_RETRY_BUDGET_WINDOW_US;
			requests[2] += age_us > FLEET_RETRY_BUDGET_WINDOW_US / 2 &&
				       age_us <= FLEET_RETRY_BUDGET_WINDOW_US / 2 * 3;
		}
		for (size_t i = 0; i < 3; i++)
			max_requests = requests[i] > max_requests ? requests[i] : max_requests;
		if (extra_arrivals <=
		    max_requests * FLEET_RETRY_BUDGET_RATIO + FLEET_RETRY_BUDGET_SLACK)
			continue;
		/* One window over the budget fails the run, so count the allowed violations, too.
		 */
		ledger.violations[RULE_BUDGET] += rules[RULE_BUDGET].allowed_violations;
		ledger_report_violation(RULE_BUDGET,
					"service %u: %u extra arrivals for %u requests", service,
					extra_arrivals, max_requests);
		return;
	}
}

int ledger_finish(void)
{
	int violated_rules = 0;

	for (uint32_t i = 0; i < FLEET_SERVICES; i++)
		check_retry_budget(i);
	printf("%ld requests, %u to synced instances: %u served, %u failed, %u refused, "
	       "%u disconnected, %u timed out, %u cancelled, %u unsent\n",
	       ledger.request_count, ledger.synced_requests, ledger.outcomes[OUTCOME_SERVED],
	       ledger.outcomes[OUTCOME_FAILED], ledger.outcomes[OUTCOME_REFUSED],
	       ledger.outcomes[OUTCOME_DISCONNECTED], ledger.outcomes[OUTCOME_TIMED_OUT],
	       ledger.outcomes[OUTCOME_CANCELLED], ledger.outcomes[OUTCOME_UNSENT]);
	for (int rule = 0; rule < RULE_COUNT; rule++) {
		if (!ledger.violations[rule])
			continue;
		printf("%s: %u, %u allowed\n", rules[rule].name, ledger.violations[rule],
		       rules[rule].allowed_violations);
		violated_rules += ledger.violations[rule] > rules[rule].allowed_violations;
	}
	return violated_rules;
}
