#include "ledger.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define REQUESTS_MAX 200000
#define EVENTS_MAX   400000
#define SHOWN_MAX    8 /* breaks of one promise that are printed */
#define GONE_US	     (500 * PD_USEC_PER_MSEC)
#define LOSS_US	     (200 * PD_USEC_PER_MSEC) /* the platform's loss_slack_ms */

/**
 * struct request - one request of a caller
 * @sent_us: when
 * @ended_us: when the caller had its answer, or left; 0 before
 * @instance: that the caller sent it to
 * @kind: enum request_kind
 * @outcome: enum outcome, once it has ended
 * @touched: that instance was in touch when it was sent
 * @harmed: it reached an upstream that wasn't sound
 * @runs: how often it ran
 * @arrivals: at each service
 * @run_at: how often it ran at each service
 */
struct request {
	int64_t sent_us;
	int64_t ended_us;
	const struct fleet_instance *instance;
	uint8_t kind;
	uint8_t outcome;
	bool touched;
	bool harmed;
	uint8_t runs;
	uint8_t arrivals[FLEET_SERVICES];
	uint8_t run_at[FLEET_SERVICES];
};

/* An arrival beyond the first of its request, or a request for a service. */
struct event {
	int64_t at_us;
	uint32_t service;
	bool extra;
};

static const struct {
	const char *name;
	uint32_t allowed; /* breaks that the platform's rules let pass */
} rules[RULE_COUNT] = {
	[RULE_MIXED] = {"MIXED", 0},   [RULE_UNASKED] = {"UNASKED", 0},
	[RULE_TWICE] = {"TWICE", 0},   [RULE_REFUSED] = {"REFUSED", 0},
	[RULE_DENIED] = {"DENIED", 5}, [RULE_BUDGET] = {"BUDGET", 3},
	[RULE_GONE] = {"GONE", 3},     [RULE_LOST] = {"LOST", 3},
	[RULE_ROUTE] = {"ROUTE", 0},   [RULE_DRAIN] = {"DRAIN", 0},
	[RULE_CONFIG] = {"CONFIG", 0}, [RULE_EVACUATION] = {"EVACUATION", 0},
	[RULE_LATE] = {"LATE", 7},     [RULE_SERVING] = {"SERVING", 5},
	[RULE_ENDED] = {"ENDED", 0},   [RULE_RECOVERY] = {"RECOVERY", 0},
};

static struct {
	struct request *requests;
	long count;
	struct event *events;
	size_t event_count;
	uint32_t breaks[RULE_COUNT];
	uint32_t outcomes[OUTCOME_UNSENT + 1];
	uint32_t judged; /* sent to an instance in touch */
	uint32_t window_ended;
	uint32_t window_served;
} ledger;

static void note_break(enum rule rule, const char *format, va_list args)
{
	if (ledger.breaks[rule]++ >= SHOWN_MAX)
		return;
	printf("break %s at %" PRId64 " ms: ", rules[rule].name, pd_os_now_us() / PD_USEC_PER_MSEC);
	vprintf(format, args);
	printf("\n");
	fflush(stdout);
}

void ledger_report_violation_locked(enum rule rule, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	note_break(rule, format, args);
	va_end(args);
}

void ledger_report_violation(enum rule rule, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	pthread_mutex_lock(&fleet.lock);
	note_break(rule, format, args);
	pthread_mutex_unlock(&fleet.lock);
	va_end(args);
}

static void note_event(uint32_t service, bool extra, int64_t now_us)
{
	if (ledger.event_count < EVENTS_MAX)
		ledger.events[ledger.event_count++] = (struct event){now_us, service, extra};
}

long ledger_add_request(enum request_kind kind, const struct fleet_instance *instance)
{
	int64_t now_us = pd_os_now_us();
	long number = -1;
	uint32_t wanted;

	pthread_mutex_lock(&fleet.lock);
	if (!ledger.requests) {
		ledger.requests = calloc(REQUESTS_MAX, sizeof(*ledger.requests));
		ledger.events = calloc(EVENTS_MAX, sizeof(*ledger.events));
		if (!ledger.requests || !ledger.events)
			abort();
	}
	if (ledger.count < REQUESTS_MAX) {
		number = ledger.count++;
		ledger.requests[number] = (struct request){
			.sent_us = now_us,
			.instance = instance,
			.kind = (uint8_t)kind,
			.touched = fleet_instance_is_synced_locked(instance, now_us),
		};
		ledger.judged += ledger.requests[number].touched;
		wanted = fleet_allowed_services(&fleet.versions[fleet.version_count - 1], kind);
		for (uint32_t i = 0; i < FLEET_SERVICES; i++) {
			if (wanted & 1U << i)
				note_event(i, false, now_us);
		}
	}
	pthread_mutex_unlock(&fleet.lock);
	return number;
}

/* Whether the connection may end without an answer. */
static bool may_be_cut(const struct request *request, int64_t now_us)
{
	if (request->harmed || !fleet_is_stable_locked(&request->instance->unplanned, now_us))
		return true;
	/* What crosses the close of a connection isn't passed on, and is known at once. */
	return !request->runs && now_us - request->sent_us < LOSS_US;
}

/* Whether all that the request needs is there: only the store or the configuration may be in
 * trouble. */
static bool is_servable(const struct request *request, int64_t now_us)
{
	uint32_t wanted = 0;

	if (!request->instance->was_synced)
		return false;
	for (uint32_t i = 0; i < fleet.version_count; i++) {
		if (i + 1 == fleet.version_count ||
		    fleet.versions[i + 1].stored_us > now_us - FLEET_STABLE_US)
			wanted |= fleet_allowed_services(&fleet.versions[i], request->kind);
	}
	for (size_t i = 0; i < FLEET_UPSTREAMS; i++) {
		const struct fleet_upstream *upstream = &fleet.upstreams[i];

		if ((wanted & 1U << upstream->service) &&
		    (upstream->has_fault || fleet.evacuated_us[upstream->zone] ||
		     !fleet_is_stable_locked(&upstream->health, now_us)))
			return false;
	}
	return fleet_instance_is_stable_locked(request->instance, now_us);
}

static void judge_end(long number, enum outcome outcome, unsigned int status, int64_t now_us)
{
	const struct request *request = &ledger.requests[number];
	bool touched =
		request->touched && fleet_instance_is_synced_locked(request->instance, now_us);

	if (outcome == OUTCOME_REFUSED && request->kind == REQUEST_WRITE && request->runs)
		ledger_report_violation_locked(RULE_REFUSED, "%ld has run and is answered %u",
					       number, status);
	if ((outcome == OUTCOME_REFUSED || outcome == OUTCOME_FAILED) &&
	    is_servable(request, now_us))
		ledger_report_violation_locked(RULE_SERVING, "%ld is answered %u by %s", number,
					       status, request->instance->name);
	if (outcome == OUTCOME_FAILED && status >= 300 && status < 500 && touched)
		ledger_report_violation_locked(RULE_DENIED, "%ld is answered %u by %s", number,
					       status, request->instance->name);
	if (outcome == OUTCOME_DISCONNECTED && !may_be_cut(request, now_us))
		ledger_report_violation_locked(
			RULE_LOST, "%ld is cut after %" PRId64 " ms by %s, runs %u", number,
			(now_us - request->sent_us) / PD_USEC_PER_MSEC, request->instance->name,
			request->runs);
	if (outcome == OUTCOME_TIMED_OUT && touched)
		ledger_report_violation_locked(RULE_LATE, "%ld has no answer from %s", number,
					       request->instance->name);
}

void ledger_record_outcome(long number, enum outcome outcome, unsigned int status)
{
	int64_t now_us = pd_os_now_us();
	struct request *request;

	pthread_mutex_lock(&fleet.lock);
	request = &ledger.requests[number];
	request->ended_us = now_us;
	request->outcome = (uint8_t)outcome;
	judge_end(number, outcome, status, now_us);
	ledger.outcomes[outcome]++;
	if (outcome != OUTCOME_CANCELLED) {
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

static bool content_is_right(long number, const struct platform_arrival *arrival)
{
	static const char *const names[REQUEST_KINDS] = {"gather", "read", "write"};
	const struct pd_http_message *msg = arrival->msg;
	const struct request *request = &ledger.requests[number];
	enum http_method method = request->kind == REQUEST_WRITE ? HTTP_POST : HTTP_GET;
	char target[64], body[1024];
	size_t len = request->kind == REQUEST_WRITE
			     ? ledger_request_body(number, body, sizeof(body))
			     : 0;

	snprintf(target, sizeof(target), "/%s/%ld?q=%ld", names[request->kind], number, number);
	return msg->parser.method == method && pd_str_is(pd_http_message_target(msg), target) &&
	       msg->body.len == len && (!len || !memcmp(msg->body.data, body, len));
}

/* Bit set of the services that any configuration, or one that may still be in force, allows. */
static void allowed_services(const struct request *request, int64_t now_us, uint32_t *ever,
			     uint32_t *now)
{
	*ever = 0;
	*now = 0;
	for (uint32_t i = 0; i < fleet.version_count; i++) {
		uint32_t allowed = fleet_allowed_services(&fleet.versions[i], request->kind);
		bool replaced =
			i + 1 < fleet.version_count &&
			fleet.versions[i + 1].stored_us < request->sent_us - FLEET_CONFIG_APPLY_US;

		*ever |= allowed;
		if (!replaced && fleet.versions[i].published_us <= now_us)
			*now |= allowed;
	}
}

static void judge_place(long number, const struct fleet_upstream *upstream, int64_t now_us)
{
	const struct request *request = &ledger.requests[number];
	bool touched =
		request->touched && fleet_instance_is_synced_locked(request->instance, now_us);
	bool held_up = !fleet_is_stable_locked(&upstream->health, now_us);
	int64_t out_us = fleet.evacuated_us[upstream->zone];
	uint32_t ever, now;

	allowed_services(request, now_us, &ever, &now);
	if (!(ever & 1U << upstream->service))
		ledger_report_violation_locked(RULE_ROUTE, "%ld runs at %s", number,
					       upstream->standin.id);
	else if (touched && !held_up && !(now & 1U << upstream->service))
		ledger_report_violation_locked(RULE_CONFIG, "%ld runs at %s, sent by %s", number,
					       upstream->standin.id, request->instance->name);
	if (!touched || held_up)
		return;
	if (upstream->withdrawn_us && now_us - upstream->withdrawn_us > FLEET_DRAIN_TIMEOUT_US)
		ledger_report_violation_locked(
			RULE_DRAIN, "%ld reaches %s %" PRId64 " ms after it left, by %s", number,
			upstream->standin.id, (now_us - upstream->withdrawn_us) / PD_USEC_PER_MSEC,
			request->instance->name);
	if (out_us && now_us - out_us > FLEET_EVACUATION_TIMEOUT_US)
		ledger_report_violation_locked(RULE_EVACUATION, "%ld reaches %s, by %s", number,
					       upstream->standin.id, request->instance->name);
	if (request->ended_us && now_us - request->ended_us > GONE_US)
		ledger_report_violation_locked(RULE_GONE, "%ld reaches %s after its end, by %s",
					       number, upstream->standin.id,
					       request->instance->name);
}

static void judge_run(long number, const struct fleet_upstream *upstream,
		      const struct platform_arrival *arrival)
{
	struct request *request = &ledger.requests[number];

	if (!content_is_right(number, arrival))
		ledger_report_violation_locked(RULE_UNASKED, "%ld arrives changed at %s", number,
					       upstream->standin.id);
	if (request->kind == REQUEST_WRITE && request->runs)
		ledger_report_violation_locked(RULE_TWICE, "%ld runs again at %s", number,
					       upstream->standin.id);
	if (request->kind == REQUEST_WRITE && request->outcome == OUTCOME_REFUSED)
		ledger_report_violation_locked(RULE_REFUSED, "%ld was refused and runs at %s",
					       number, upstream->standin.id);
	if (++request->run_at[upstream->service] > FLEET_MAX_ATTEMPTS && !request->harmed)
		ledger_report_violation_locked(RULE_BUDGET,
					       "%ld runs %u times at service %u, by %s", number,
					       request->run_at[upstream->service],
					       upstream->service, request->instance->name);
	request->runs++;
}

void ledger_record_arrival(struct platform_upstream *standin,
			   const struct platform_arrival *arrival)
{
	struct fleet_upstream *upstream = (struct fleet_upstream *)standin;
	int64_t now_us = pd_os_now_us();
	struct request *request;
	char id[32];
	long number = -1;

	if (pd_str_is(pd_http_message_target(arrival->msg), "/health"))
		return;
	if (pd_str_copy(arrival->id, id, sizeof(id)))
		sscanf(id, REQUEST_ID_PREFIX "%ld", &number);
	pthread_mutex_lock(&fleet.lock);
	if (number < 0 || number >= ledger.count) {
		ledger_report_violation_locked(RULE_UNASKED, "unknown request %s at %s", id,
					       standin->id);
		pthread_mutex_unlock(&fleet.lock);
		return;
	}
	request = &ledger.requests[number];
	if (!fleet_is_stable_locked(&upstream->health, now_us))
		request->harmed = true;
	if (request->arrivals[upstream->service]++)
		note_event(upstream->service, true, now_us);
	if (arrival->runs) {
		judge_place(number, upstream, now_us);
		judge_run(number, upstream, arrival);
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
 * Extra arrivals at @service in any window that ends with one, against its requests in that window,
 * in the one before, or in the one half a window before, whichever has most.
 */
static void judge_budget(uint32_t service)
{
	for (size_t end = 0; end < ledger.event_count; end++) {
		int64_t until_us = ledger.events[end].at_us;
		uint32_t requests[3] = {0}, most = 0, extra = 0;

		if (ledger.events[end].service != service || !ledger.events[end].extra)
			continue;
		for (size_t i = end + 1; i-- > 0;) {
			const struct event *event = &ledger.events[i];
			int64_t age_us = until_us - event->at_us;

			if (age_us > 2 * FLEET_RETRY_BUDGET_WINDOW_US)
				break;
			if (event->service != service)
				continue;
			if (event->extra) {
				extra += age_us <= FLEET_RETRY_BUDGET_WINDOW_US;
				continue;
			}
			requests[0] += age_us <= FLEET_RETRY_BUDGET_WINDOW_US;
			requests[1] += age_us > FLEET_RETRY_BUDGET_WINDOW_US;
			requests[2] += age_us > FLEET_RETRY_BUDGET_WINDOW_US / 2 &&
				       age_us <= FLEET_RETRY_BUDGET_WINDOW_US / 2 * 3;
		}
		for (size_t i = 0; i < 3; i++)
			most = requests[i] > most ? requests[i] : most;
		if (extra <= most * FLEET_RETRY_BUDGET_RATIO + FLEET_RETRY_BUDGET_SLACK)
			continue;
		/* A window over the budget is a break by itself. */
		ledger.breaks[RULE_BUDGET] += rules[RULE_BUDGET].allowed;
		ledger_report_violation(RULE_BUDGET,
					"service %u: %u extra arrivals for %u requests", service,
					extra, most);
		return;
	}
}

int ledger_finish(void)
{
	int broken = 0;

	for (uint32_t i = 0; i < FLEET_SERVICES; i++)
		judge_budget(i);
	printf("%ld requests, %u judged: %u served, %u failed, %u refused, %u cut, %u silent, %u "
	       "left, "
	       "%u unsent\n",
	       ledger.count, ledger.judged, ledger.outcomes[OUTCOME_SERVED],
	       ledger.outcomes[OUTCOME_FAILED], ledger.outcomes[OUTCOME_REFUSED],
	       ledger.outcomes[OUTCOME_DISCONNECTED], ledger.outcomes[OUTCOME_TIMED_OUT],
	       ledger.outcomes[OUTCOME_CANCELLED], ledger.outcomes[OUTCOME_UNSENT]);
	for (int rule = 0; rule < RULE_COUNT; rule++) {
		if (!ledger.breaks[rule])
			continue;
		printf("%s: %u, %u allowed\n", rules[rule].name, ledger.breaks[rule],
		       rules[rule].allowed);
		broken += ledger.breaks[rule] > rules[rule].allowed;
	}
	return broken;
}
