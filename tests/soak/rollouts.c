#include "rollouts.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "callers.h"
#include "faults.h"
#include "ledger.h"

#define REPLICAS      2 /* of each version */
#define DURATION_S    8 /* from the order to its deadline */
#define DURATION_US   (DURATION_S * PD_USEC_PER_SEC)
#define START_US      PD_USEC_PER_SEC /* from the start of the new upstreams to the order */
#define STOP_US	      PD_USEC_PER_SEC /* old upstreams run on after the outcome, to see requests */
#define ROLLED_US     (FLEET_CONFIG_APPLY_US + PD_USEC_PER_SEC) /* the same for new upstreams */
#define LATER_US      (3 * PD_USEC_PER_SEC) /* from the order until VERSION_LATER fails */
#define BAD_RESPONSES 50 /* the bound counts the time from the last of them */
#define FLAKY_PERIOD  3 /* one response in this many fails, see PLATFORM_UPSTREAM_FLAKY */
#define SERVICE_MS    5
#define SLOW_MS	      60

/** enum version_kind - how the new version behaves. */
enum version_kind {
	VERSION_GOOD,
	VERSION_FAILING, /* all responses are failures */
	VERSION_FLAKY, /* a third of them */
	VERSION_SLOW, /* much slower than the old version */
	VERSION_LATER, /* good, and fails after LATER_US */
	VERSION_KINDS,
};

/** enum rollout_step - what is done next. */
enum rollout_step {
	STEP_START, /* the new upstreams */
	STEP_ORDER, /* write the order */
	STEP_OUTCOME, /* wait for it */
	STEP_STOP, /* the upstreams of the version that isn't used any more */
};

static const char *const kind_names[VERSION_KINDS] = {"good", "failing", "flaky", "slow", "later"};

static struct {
	uint64_t random_state;
	enum rollout_step step;
	int64_t due_us; /* time of the next step */
	enum version_kind kind;
	char service[32];
	struct fleet_upstream *old_upstreams[REPLICAS];
	struct fleet_upstream *new_upstreams[REPLICAS];
	uint32_t version; /* number of the newest version */
	uint32_t orders; /* so far */
	uint32_t outcomes[2]; /* number of roll-outs that were completed, and rolled back */
	int64_t ordered_us;
	int64_t outcome_us; /* time at which the outcome was seen; 0 before */
	int64_t faults_ended_us; /* time at which the last fault ended; 0 before */
	int64_t bad_us; /* time of the last of BAD_RESPONSES; 0 before */
	bool completed;
	bool late; /* a good version that isn't completed by its deadline was reported */
	bool disturbed; /* an instance wasn't connected, or the configuration changed */
	uint32_t bad_responses;
	uint32_t requests; /* from the order to the deadline, sent by connected instances */
	uint32_t exposed; /* those of them to the new version */
	uint32_t first_config; /* number of configurations at the order */
} rollout = {.version = 1};

void rollouts_init(uint64_t seed)
{
	rollout.random_state = ~seed;
}

bool rollouts_all_ended(void)
{
	return rollout.step == STEP_START;
}

static bool is_new(const struct fleet_upstream *upstream)
{
	return upstream == rollout.new_upstreams[0] || upstream == rollout.new_upstreams[1];
}

static bool is_old(const struct fleet_upstream *upstream)
{
	return upstream == rollout.old_upstreams[0] || upstream == rollout.old_upstreams[1];
}

static void set_mode(const char *mode, int delay_ms)
{
	for (size_t i = 0; i < REPLICAS; i++)
		platform_upstream_set_mode(&rollout.new_upstreams[i]->standin, mode, delay_ms);
}

static void set_kind_mode(void)
{
	switch (rollout.kind) {
	case VERSION_FAILING:
		set_mode("error", SERVICE_MS);
		return;
	case VERSION_FLAKY:
		set_mode("flaky", SERVICE_MS);
		return;
	case VERSION_SLOW:
		set_mode("late", SLOW_MS);
		return;
	default:
		set_mode("late", SERVICE_MS);
		return;
	}
}

/* Finds the upstreams of @service and the absent ones. False if a fault of one is active. */
static bool choose_upstreams(uint32_t service)
{
	size_t old_count = 0, new_count = 0;

	for (size_t i = 0; i < fleet.upstream_count; i++) {
		struct fleet_upstream *upstream = &fleet.upstreams[i];

		if (upstream->absent && new_count < REPLICAS) {
			rollout.new_upstreams[new_count++] = upstream;
		} else if (!upstream->absent && upstream->service == service) {
			if (upstream->has_fault || old_count == REPLICAS)
				return false;
			rollout.old_upstreams[old_count++] = upstream;
		}
	}
	return old_count == REPLICAS && new_count == REPLICAS;
}

/* Starts the new version of a service that the newest configuration uses. */
static bool start_version(void)
{
	const struct fleet_version *config = &fleet.versions[fleet.version_count - 1];
	uint64_t choice = callers_random(&rollout.random_state);
	uint32_t services[] = {config->reader, config->writer,
			       FLEET_PLAIN_SERVICES + config->index * FLEET_SHARDS};
	uint32_t service = services[choice / VERSION_KINDS % 3];
	bool chosen;

	pthread_mutex_lock(&fleet.lock);
	chosen = choose_upstreams(service);
	for (size_t i = 0; chosen && i < REPLICAS; i++) {
		rollout.old_upstreams[i]->has_fault = true;
		rollout.new_upstreams[i]->absent = false;
	}
	rollout.kind = (enum version_kind)(choice % VERSION_KINDS);
	pthread_mutex_unlock(&fleet.lock);
	if (!chosen)
		return false;
	rollout.version++;
	fleet_service_name(service, rollout.service, sizeof(rollout.service));
	set_kind_mode();
	for (size_t i = 0; i < REPLICAS; i++) {
		rollout.new_upstreams[i]->version = rollout.version;
		fleet_restart_upstream(rollout.new_upstreams[i], service);
	}
	return true;
}

static void write_order(void)
{
	char version[16];

	snprintf(version, sizeof(version), "v%u", rollout.version);
	pthread_mutex_lock(&fleet.lock);
	rollout.ordered_us = pd_os_now_us();
	rollout.outcome_us = 0;
	rollout.bad_us = 0;
	rollout.bad_responses = 0;
	rollout.requests = 0;
	rollout.exposed = 0;
	rollout.late = false;
	rollout.disturbed = false;
	rollout.first_config = fleet.version_count;
	pthread_mutex_unlock(&fleet.lock);
	rollout.orders++;
	printf("order of %s, %s, for %s at %" PRId64 " ms\n", version, kind_names[rollout.kind],
	       rollout.service, rollout.ordered_us / PD_USEC_PER_MSEC);
	platform_store_put(&fleet.store, "rollouts", rollout.service,
			   json_pack("{s:s,s:s,s:i}", "service", rollout.service, "target_version",
				     version, "duration_s", DURATION_S));
}

/* Whether an instance isn't connected, or the traffic of the service may have moved. */
static bool is_disturbed(int64_t now_us)
{
	if (fleet.version_count != rollout.first_config)
		return true;
	for (size_t i = 0; i < fleet.instance_count; i++) {
		if (!fleet_instance_is_synced_locked(&fleet.instances[i],
						     now_us - FLEET_CONTACT_EXTRA_US))
			return true;
	}
	return false;
}

/* Waits for the outcome. Returns whether it is written, or missing for too long. */
static bool await_outcome(int64_t now_us)
{
	int64_t deadline_us = rollout.ordered_us + DURATION_US;
	int64_t last_us =
		rollout.faults_ended_us > deadline_us ? rollout.faults_ended_us : deadline_us;
	char state[32];

	platform_store_get_status(&fleet.store, "rollouts", rollout.service, "state", state,
				  sizeof(state));
	pthread_mutex_lock(&fleet.lock);
	rollout.disturbed = rollout.disturbed || is_disturbed(now_us);
	rollout.completed = !strcmp(state, "completed");
	if (rollout.completed || !strcmp(state, "rolled_back"))
		rollout.outcome_us = pd_os_now_us();
	if (rollout.outcome_us)
		printf("%s is %s after %" PRId64 " ms, %u of %u requests, %s\n", rollout.service,
		       state, (rollout.outcome_us - rollout.ordered_us) / PD_USEC_PER_MSEC,
		       rollout.exposed, rollout.requests,
		       rollout.disturbed ? "disturbed" : "undisturbed");
	/* A version without requests can't be told from a good one. */
	if (rollout.outcome_us && rollout.completed && rollout.bad_responses)
		ledger_report_violation_locked(RULE_OUTCOME, "%s: a version that is %s was %s",
					       rollout.service, kind_names[rollout.kind], state);
	if (rollout.kind == VERSION_GOOD && !rollout.disturbed && !rollout.late &&
	    ((rollout.outcome_us && !rollout.completed) || now_us > deadline_us)) {
		rollout.late = true;
		ledger_report_violation_locked(RULE_OUTCOME,
					       "%s: a good version was %s at its deadline",
					       rollout.service, state);
	}
	if (!rollout.outcome_us && rollout.faults_ended_us &&
	    now_us > last_us + FLEET_RECOVERY_TIMEOUT_US)
		ledger_report_violation_locked(RULE_OUTCOME, "%s has no outcome", rollout.service);
	else if (!rollout.outcome_us)
		last_us = INT64_MAX;
	pthread_mutex_unlock(&fleet.lock);
	return last_us != INT64_MAX;
}

/* Number of outcomes that were written for the order. */
static uint32_t count_outcomes(void)
{
	uint32_t outcomes = 0;
	json_t *event;
	size_t i;

	pthread_mutex_lock(&fleet.store.lock);
	json_array_foreach(fleet.store.events, i, event)
	{
		json_t *object = json_object_get(event, "object");
		const char *name =
			json_string_value(json_object_get(json_object_get(object, "meta"), "name"));
		const char *state = json_string_value(
			json_object_get(json_object_get(object, "status"), "state"));

		if (strcmp(json_string_value(json_object_get(event, "kind")), "rollouts") != 0 ||
		    strcmp(name, rollout.service) != 0)
			continue;
		if (!state)
			outcomes = 0; /* the order replaces an earlier one */
		else
			outcomes += strcmp(state, "running") != 0;
	}
	pthread_mutex_unlock(&fleet.store.lock);
	return outcomes;
}

/* Checks the roll-out as a whole, and stops the upstreams of the version that isn't used. */
static void end_rollout(void)
{
	uint32_t outcomes = count_outcomes();
	struct fleet_upstream *stopped[REPLICAS];
	double allowed;

	pthread_mutex_lock(&fleet.lock);
	allowed = ROLLOUT_EXPOSURE_SHARE * rollout.requests + ROLLOUT_EXPOSURE_SLACK;
	if (outcomes != 1 && rollout.outcome_us)
		ledger_report_violation_locked(RULE_OUTCOME, "%s has %u outcomes", rollout.service,
					       outcomes);
	if (rollout.kind != VERSION_GOOD && rollout.exposed > allowed)
		ledger_report_violation_locked(
			RULE_EXPOSURE,
			"%s: %u of %u requests to a version that is %s, %.1f allowed",
			rollout.service, rollout.exposed, rollout.requests,
			kind_names[rollout.kind], allowed);
	rollout.outcomes[rollout.completed ? 0 : 1]++;
	for (size_t i = 0; i < REPLICAS; i++) {
		struct fleet_upstream *old = rollout.old_upstreams[i];
		struct fleet_upstream *new = rollout.new_upstreams[i];

		stopped[i] = rollout.completed ? old : new;
		(rollout.completed ? new : old)->has_fault = false;
		stopped[i]->absent = true;
		stopped[i]->has_fault = true;
		rollout.old_upstreams[i] = NULL;
		rollout.new_upstreams[i] = NULL;
	}
	rollout.ordered_us = 0;
	pthread_mutex_unlock(&fleet.lock);
	for (size_t i = 0; i < REPLICAS; i++) {
		fleet_write_upstream_entry(stopped[i], NULL);
		fleet_crash_upstream(stopped[i]);
	}
}

static bool is_store_up(void)
{
	bool up;

	pthread_mutex_lock(&fleet.lock);
	up = !fleet.store_fault_history.active_faults;
	pthread_mutex_unlock(&fleet.lock);
	return up;
}

void rollouts_poll(bool end_only)
{
	int64_t now_us = pd_os_now_us();

	if (!end_only || !faults_all_ended())
		rollout.faults_ended_us = 0;
	else if (!rollout.faults_ended_us)
		rollout.faults_ended_us = now_us;
	if (rollout.step == STEP_OUTCOME && rollout.kind == VERSION_LATER &&
	    now_us - rollout.ordered_us > LATER_US)
		set_mode("error", SERVICE_MS);
	if (now_us < rollout.due_us)
		return;
	switch (rollout.step) {
	case STEP_START:
		if (end_only || !is_store_up() || !start_version())
			return;
		rollout.due_us = now_us + START_US;
		rollout.step = STEP_ORDER;
		return;
	case STEP_ORDER:
		if (!is_store_up())
			return;
		write_order();
		rollout.step = STEP_OUTCOME;
		return;
	case STEP_OUTCOME:
		if (!await_outcome(now_us))
			return;
		if (!rollout.outcome_us)
			platform_store_remove(&fleet.store, "rollouts", rollout.service);
		rollout.due_us = now_us + (rollout.completed ? STOP_US : ROLLED_US);
		if (rollout.due_us < rollout.ordered_us + DURATION_US)
			rollout.due_us = rollout.ordered_us + DURATION_US;
		rollout.step = STEP_STOP;
		return;
	case STEP_STOP:
		end_rollout();
		rollout.step = STEP_START;
		return;
	}
}

/* Counts a response that is worse than the old version's. */
static void count_bad_response(int64_t now_us)
{
	uint32_t period = rollout.kind == VERSION_FLAKY ? FLAKY_PERIOD : 1;

	if (rollout.kind == VERSION_GOOD ||
	    (rollout.kind == VERSION_LATER && now_us - rollout.ordered_us < LATER_US))
		return;
	if (++rollout.bad_responses == BAD_RESPONSES * period)
		rollout.bad_us = now_us;
}

void rollouts_record_locked(long number, const struct fleet_upstream *upstream, bool connected,
			    int64_t now_us)
{
	bool to_new = is_new(upstream);

	if (!to_new && !is_old(upstream))
		return;
	if (!rollout.ordered_us) {
		if (to_new && connected)
			ledger_report_violation_locked(RULE_EXPOSURE,
						       "request %ld at %s before the order", number,
						       upstream->standin.id);
		return;
	}
	if (to_new)
		count_bad_response(now_us);
	if (!connected)
		return;
	if (now_us - rollout.ordered_us < DURATION_US) {
		rollout.requests++;
		rollout.exposed += to_new;
	}
	if (to_new && rollout.bad_us &&
	    now_us - rollout.bad_us > ROLLOUT_ROLLBACK_MS * PD_USEC_PER_MSEC)
		ledger_report_violation_locked(
			RULE_EXPOSURE, "request %ld at %s %" PRId64 " ms after %u bad responses",
			number, upstream->standin.id, (now_us - rollout.bad_us) / PD_USEC_PER_MSEC,
			BAD_RESPONSES);
	if (!rollout.outcome_us)
		return;
	if (rollout.completed && !to_new)
		ledger_report_violation_locked(
			RULE_OUTCOME, "request %ld at %s %" PRId64 " ms after it was replaced",
			number, upstream->standin.id,
			(now_us - rollout.outcome_us) / PD_USEC_PER_MSEC);
	if (!rollout.completed && to_new && now_us - rollout.outcome_us > FLEET_CONFIG_APPLY_US)
		ledger_report_violation_locked(
			RULE_EXPOSURE, "request %ld at %s %" PRId64 " ms after the roll-back",
			number, upstream->standin.id,
			(now_us - rollout.outcome_us) / PD_USEC_PER_MSEC);
}

void rollouts_print(void)
{
	printf("%u orders: %u completed, %u rolled back\n", rollout.orders, rollout.outcomes[0],
	       rollout.outcomes[1]);
}
