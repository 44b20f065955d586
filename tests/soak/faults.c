#include "faults.h"

#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "callers.h"
#include "fleet.h"

#define ACTIVE_FAULTS_MAX	24
#define ROLLING_RESTART_MAX	6 /* instances */
#define START_INTERVAL_MIN_MS	50 /* between the starts of two faults */
#define DURATION_MIN_MS		100 /* of a fault */
#define DURATION_RANGE_MS	3500 /* of the random time that is added to it */
#define LAPSED_ENTRY_RENEWAL_MS 1500 /* from the end of an outage until entries are renewed */
#define LAPSE_OUTAGE_MIN_MS	2400 /* shortest store outage in which entries can lapse */
#define ENTRY_TTL_MS		3600 /* the store removes an entry that isn't renewed for this long */
#define LINK_DELAY_MAX_MS	300
#define SERVICE_DELAY_MAX_MS	400 /* service time in mode "late" */
#define SERVICE_MS		5 /* service time of an upstream without a fault */
#define QUOTA_CHANGE_MIN_MS	2000 /* between two changes of the quotas */
#define QUOTA_CHANGE_RANGE_MS	6000 /* of the random time that is added to it */
#define WITHDRAWAL_MARGIN_MS	500 /* from the end of revocation_ms until a process is resumed */
#define WITHDRAWAL_PROBE_MS	2000 /* from then until the links are restored */
#define WITHDRAWAL_INTERVAL_MS	8000 /* shortest time between the starts of two */

/** enum fault_kind - kind of fault; the component that it affects is chosen at random. */
enum fault_kind {
	FAULT_TERM, /* SIGTERM to an instance, which is started again after its exit */
	FAULT_KILL, /* SIGKILL to an instance, and a new start */
	FAULT_HERD, /* SIGKILL to all instances at the same time (thundering herd) */
	FAULT_ROLL, /* rolling restart: SIGTERM to one instance after another */
	FAULT_PAUSE, /* SIGSTOP to an instance, later SIGCONT */
	FAULT_HUP, /* an instance's settings file is rewritten, sometimes followed by SIGHUP */
	FAULT_STORE_LINK, /* fault on an instance's link to the store */
	FAULT_PEER_LINK, /* fault on the link from an instance's peers to it */
	FAULT_STORE_BUSY, /* the store answers 503 */
	FAULT_STORE_SILENT, /* the store doesn't answer */
	FAULT_STORE_LAPSE, /* as FAULT_STORE_SILENT, but entries of upstreams expire */
	FAULT_STORE_COMPACT, /* the store drops its history of changes, and watches restart */
	FAULT_UPSTREAM_LINK, /* fault on the link to an upstream */
	FAULT_UPSTREAM_MODE, /* an upstream fails or is slow, see platform_upstream_set_mode() */
	FAULT_SHARD_MODE, /* as FAULT_UPSTREAM_MODE, for both upstreams of a service */
	FAULT_CRASH, /* an upstream crashes and restarts as a new incarnation */
	FAULT_DRAIN, /* an upstream drains, exits and restarts as a new incarnation */
	FAULT_REMOVE, /* as FAULT_DRAIN, but its entry is removed instead of set to draining */
	FAULT_REUSE, /* two upstreams crash, and each address is reused by the other's service */
	FAULT_MOVE, /* a new configuration sends a plain route to another service */
	FAULT_RESHARD, /* a new configuration names the shards of the other index */
	FAULT_EVACUATE, /* a zone is evacuated for some time */
	FAULT_RANDOM_KINDS, /* the ones above are chosen at random */
	FAULT_WITHDRAW = FAULT_RANDOM_KINDS, /* a key is withdrawn while a zone has no store */
	FAULT_KINDS,
};

/** enum fault_group - group of fault kinds; each seed selects some of the groups. */
enum fault_group {
	GROUP_PROCESS,
	GROUP_LINK,
	GROUP_STORE,
	GROUP_UPSTREAM,
	GROUP_MEMBERSHIP,
	GROUP_CONFIG,
	GROUPS, /* number of groups that a seed selects from */
	GROUP_WITHDRAWAL = GROUPS, /* with --keys, in all seeds */
};

static const char *const group_names[GROUPS] = {"processes", "links",	   "store",
						"upstreams", "membership", "configuration"};

static const char *const kind_names[FAULT_KINDS] = {
	[FAULT_TERM] = "term",
	[FAULT_KILL] = "kill",
	[FAULT_HERD] = "herd",
	[FAULT_ROLL] = "roll",
	[FAULT_PAUSE] = "pause",
	[FAULT_HUP] = "hup",
	[FAULT_STORE_LINK] = "store_link",
	[FAULT_PEER_LINK] = "peer_link",
	[FAULT_STORE_BUSY] = "store_busy",
	[FAULT_STORE_SILENT] = "store_silent",
	[FAULT_STORE_LAPSE] = "store_lapse",
	[FAULT_STORE_COMPACT] = "store_compact",
	[FAULT_UPSTREAM_LINK] = "upstream_link",
	[FAULT_UPSTREAM_MODE] = "upstream_mode",
	[FAULT_SHARD_MODE] = "shard_mode",
	[FAULT_CRASH] = "crash",
	[FAULT_DRAIN] = "drain",
	[FAULT_REMOVE] = "remove",
	[FAULT_REUSE] = "reuse",
	[FAULT_MOVE] = "move",
	[FAULT_RESHARD] = "reshard",
	[FAULT_EVACUATE] = "evacuate",
	[FAULT_WITHDRAW] = "withdraw",
};

static const enum fault_group group_of[FAULT_KINDS] = {
	[FAULT_TERM] = GROUP_PROCESS,		[FAULT_KILL] = GROUP_PROCESS,
	[FAULT_HERD] = GROUP_PROCESS,		[FAULT_ROLL] = GROUP_PROCESS,
	[FAULT_PAUSE] = GROUP_PROCESS,		[FAULT_HUP] = GROUP_PROCESS,
	[FAULT_STORE_LINK] = GROUP_LINK,	[FAULT_PEER_LINK] = GROUP_LINK,
	[FAULT_STORE_BUSY] = GROUP_STORE,	[FAULT_STORE_SILENT] = GROUP_STORE,
	[FAULT_STORE_LAPSE] = GROUP_STORE,	[FAULT_STORE_COMPACT] = GROUP_STORE,
	[FAULT_UPSTREAM_LINK] = GROUP_UPSTREAM, [FAULT_UPSTREAM_MODE] = GROUP_UPSTREAM,
	[FAULT_SHARD_MODE] = GROUP_UPSTREAM,	[FAULT_CRASH] = GROUP_MEMBERSHIP,
	[FAULT_DRAIN] = GROUP_MEMBERSHIP,	[FAULT_REMOVE] = GROUP_MEMBERSHIP,
	[FAULT_REUSE] = GROUP_MEMBERSHIP,	[FAULT_MOVE] = GROUP_CONFIG,
	[FAULT_RESHARD] = GROUP_CONFIG,		[FAULT_EVACUATE] = GROUP_CONFIG,
	[FAULT_WITHDRAW] = GROUP_WITHDRAWAL,
};

/**
 * struct fault - an active fault
 * @kind: kind of the fault
 * @step: number of the next step, from 0
 * @due_us: time at which the next step is due
 * @instance: instance that the fault affects, if its kind affects one
 * @upstream: upstream that the fault affects, if its kind affects one
 * @other: second upstream that the fault affects, or NULL
 * @zone: index of the zone that the fault affects, if its kind affects one
 */
struct fault {
	enum fault_kind kind;
	uint32_t step;
	int64_t due_us;
	struct fleet_instance *instance;
	struct fleet_upstream *upstream;
	struct fleet_upstream *other;
	uint32_t zone;
};

static struct {
	uint64_t random_state; /* see callers_random() */
	uint32_t groups; /* bit set of enum fault_group */
	struct fault active[ACTIVE_FAULTS_MAX];
	size_t active_count;
	uint32_t started; /* faults started so far */
	uint32_t interval_range_ms; /* range of random intervals above START_INTERVAL_MIN_MS */
	int64_t next_start_us; /* earliest time of the next start of a fault */
	int64_t next_withdrawal_us; /* earliest time of the next withdrawal of a key */
	int64_t next_quota_change_us; /* earliest time of the next change of the quotas */
	struct fleet_version config; /* newest configuration; the times aren't used */
	bool store_fault; /* a fault of the store is active */
} faults = {
	.config = {.writer = 2, .keys = (1U << FLEET_KEYS) - 1, .rate = FLEET_RATE_MAX},
};

const struct fleet_version *faults_first_config(void)
{
	return &faults.config;
}

static uint32_t random_below(uint32_t below)
{
	return (uint32_t)(callers_random(&faults.random_state) % below);
}

static int64_t random_duration_us(void)
{
	return (DURATION_MIN_MS + random_below(DURATION_RANGE_MS)) * PD_USEC_PER_MSEC;
}

void faults_init(uint64_t seed)
{
	/* With the long intervals, instances are synced with the store again between faults. */
	static const uint32_t interval_ranges_ms[] = {300, 900, 2500, 5000};

	faults.random_state = seed;
	faults.interval_range_ms = interval_ranges_ms[random_below(4)];
	/* Selects few groups at a time, as one fault can hide the effects of another. */
	while (!faults.groups) {
		uint32_t mask = random_below(1U << GROUPS);

		faults.groups = mask & random_below(1U << GROUPS);
	}
	printf("faults of");
	for (int i = 0; i < GROUPS; i++) {
		if (faults.groups & 1U << i)
			printf(" %s", group_names[i]);
	}
	printf("\n");
}

uint32_t faults_started(void)
{
	return faults.started;
}

bool faults_all_ended(void)
{
	return !faults.active_count;
}

static void signal_instance(struct fleet_instance *instance, int signal_number)
{
	if (instance->pid)
		kill(instance->pid, signal_number);
}

static void terminate_instance(struct fleet_instance *instance)
{
	if (!instance->pid || instance->sigterm_us)
		return;
	pthread_mutex_lock(&fleet.lock);
	instance->sigterm_us = pd_os_now_us();
	instance->restart_history.last_fault_us = instance->sigterm_us;
	pthread_mutex_unlock(&fleet.lock);
	signal_instance(instance, SIGTERM);
}

static void kill_instance(struct fleet_instance *instance)
{
	if (!instance->pid)
		return;
	pthread_mutex_lock(&fleet.lock);
	instance->killed = true;
	instance->fault_history.last_fault_us = pd_os_now_us();
	pthread_mutex_unlock(&fleet.lock);
	signal_instance(instance, SIGKILL);
}

/* Starts one of four faults on a link: silent, one-way, refusing or delayed. */
static void degrade_link(struct proxy *proxy)
{
	switch (random_below(4)) {
	case 0:
		proxy_set_state(proxy, PROXY_SILENT);
		break;
	case 1:
		proxy_set_state(proxy, PROXY_ONE_WAY);
		break;
	case 2:
		proxy_set_state(proxy, PROXY_REFUSING);
		break;
	default:
		atomic_store(&proxy->delay_us,
			     (1 + random_below(LINK_DELAY_MAX_MS)) * PD_USEC_PER_MSEC);
		break;
	}
}

static void restore_link(struct proxy *proxy)
{
	atomic_store(&proxy->delay_us, 0);
	proxy_set_state(proxy, PROXY_FORWARDING);
}

/*
 * Calls @update for the fault history of each instance in the zone, since a fault on a link between
 * two of them counts for both.
 */
static void update_zone_histories(uint32_t zone,
				  void (*update)(struct fleet_fault_history *history))
{
	for (size_t i = 0; i < fleet.instance_count; i++) {
		if (fleet.instances[i].zone == zone)
			update(&fleet.instances[i].fault_history);
	}
}

static void set_upstream_mode(struct fleet_upstream *upstream, bool faulty)
{
	static const char *const modes[] = {"error",  "shed",  "hang", "reset",	   "cut",
					    "garble", "extra", "late", "unframed", "chunked"};
	static const char *const retry_after[] = {"0.3", "1", "2.5", "soon"};

	/* Only rejections state a pause. The value isn't random, so that the kept seeds play the
	 * same faults as before.
	 */
	platform_upstream_set_retry_after(&upstream->standin,
					  faulty ? retry_after[upstream->service % 4] : "");
	if (faulty)
		platform_upstream_set_mode(&upstream->standin, modes[random_below(10)],
					   (int)random_below(SERVICE_DELAY_MAX_MS));
	else
		platform_upstream_set_mode(&upstream->standin, "late", SERVICE_MS);
}

/* The other upstream of the same service, or @upstream if there is none. */
static struct fleet_upstream *other_replica(struct fleet_upstream *upstream)
{
	for (size_t i = 0; i < fleet.upstream_count; i++) {
		if (&fleet.upstreams[i] != upstream &&
		    fleet.upstreams[i].service == upstream->service)
			return &fleet.upstreams[i];
	}
	return upstream;
}

/* Removes the entries of upstreams, as the store does when they expire, or writes them again. */
static void set_entries_present(bool present)
{
	for (size_t i = 0; i < fleet.upstream_count; i++) {
		struct fleet_upstream *upstream = &fleet.upstreams[i];

		/* The entry of an upstream with a fault may not be there. */
		if (present ? !upstream->lapsed : upstream->has_fault)
			continue;
		upstream->lapsed = !present;
		if (present)
			fleet_write_upstream_entry(upstream, "ready");
		else
			platform_store_remove(&fleet.store, "servers", upstream->standin.id);
	}
}

static void schedule_step(struct fault *fault, int64_t after_ms)
{
	fault->due_us = pd_os_now_us() + after_ms * PD_USEC_PER_MSEC;
}

/* Crashes an upstream. Its entry stays until the fault removes or replaces it. */
static void crash_upstream(struct fleet_upstream *upstream)
{
	fleet_begin_fault(&upstream->fault_history);
	fleet_crash_upstream(upstream);
}

static void restart_upstream(struct fleet_upstream *upstream, uint32_t service)
{
	platform_upstream_set_leaving(&upstream->standin, false);
	fleet_restart_upstream(upstream, service);
	fleet_end_fault(&upstream->fault_history);
}

/* A service has one version, which its new upstreams have, too. */
static void swap_versions(struct fleet_upstream *a, struct fleet_upstream *b)
{
	uint32_t version = a->version;

	a->version = b->version;
	b->version = version;
}

/* Time that an upstream still serves while it drains, or that its entry remains after a crash. */
static int64_t first_step_duration_ms(enum fault_kind kind)
{
	switch (kind) {
	case FAULT_REUSE:
		/* An address can be reused long before the store removes the old entry. */
		return FLEET_ADDRESS_REUSE_US / PD_USEC_PER_MSEC + random_below(1000);
	case FAULT_CRASH:
		return ENTRY_TTL_MS;
	default:
		return FLEET_DRAIN_TIMEOUT_US / PD_USEC_PER_MSEC + random_below(2000);
	}
}

/* Runs the next step of a membership fault. Returns true after the last step. */
static bool step_membership(struct fault *fault)
{
	struct fleet_upstream *upstream = fault->upstream;
	uint32_t service = upstream->service;

	switch (fault->step) {
	case 0:
		/* The steps of the fault write the entries. */
		upstream->lapsed = false;
		if (fault->other)
			fault->other->lapsed = false;
		if (fault->kind == FAULT_CRASH || fault->kind == FAULT_REUSE)
			crash_upstream(upstream);
		if (fault->kind == FAULT_REUSE)
			crash_upstream(fault->other);
		if (fault->kind == FAULT_DRAIN || fault->kind == FAULT_REMOVE)
			platform_upstream_set_leaving(&upstream->standin, true);
		if (fault->kind == FAULT_DRAIN)
			fleet_write_upstream_entry(upstream, "draining");
		if (fault->kind == FAULT_REMOVE)
			fleet_write_upstream_entry(upstream, NULL);
		schedule_step(fault, first_step_duration_ms(fault->kind));
		return false;
	case 1:
		if (fault->kind == FAULT_REUSE) {
			swap_versions(upstream, fault->other);
			restart_upstream(upstream, fault->other->service);
			restart_upstream(fault->other, service);
		} else {
			if (fault->kind != FAULT_REMOVE)
				fleet_write_upstream_entry(upstream, NULL);
			if (fault->kind != FAULT_CRASH)
				crash_upstream(upstream);
		}
		schedule_step(fault, 200 + random_below(1500));
		return fault->kind == FAULT_REUSE;
	default:
		restart_upstream(upstream, service);
		return true;
	}
}

/* Allows new faults on the upstreams of a fault that has ended. Always returns true. */
static bool release_upstreams(struct fault *fault)
{
	fault->upstream->has_fault = false;
	if (fault->other)
		fault->other->has_fault = false;
	return true;
}

static bool step_store(struct fault *fault)
{
	switch (fault->step) {
	case 0:
		fleet_begin_fault(&fleet.store_fault_history);
		if (fault->kind == FAULT_STORE_COMPACT)
			platform_store_compact(&fleet.store);
		else
			platform_store_set_mode(&fleet.store, fault->kind == FAULT_STORE_BUSY
								      ? PLATFORM_STORE_BUSY
								      : PLATFORM_STORE_SILENT);
		fault->due_us = pd_os_now_us() + random_duration_us();
		if (fault->kind == FAULT_STORE_LAPSE)
			fault->due_us += LAPSE_OUTAGE_MIN_MS * PD_USEC_PER_MSEC;
		return false;
	case 1:
		if (fault->kind == FAULT_STORE_LAPSE)
			set_entries_present(false);
		platform_store_set_mode(&fleet.store, PLATFORM_STORE_UP);
		schedule_step(fault,
			      fault->kind == FAULT_STORE_LAPSE ? LAPSED_ENTRY_RENEWAL_MS : 0);
		return false;
	default:
		if (fault->kind == FAULT_STORE_LAPSE)
			set_entries_present(true);
		fleet_end_fault(&fleet.store_fault_history);
		faults.store_fault = false;
		return true;
	}
}

/* The instance that follows @instance by @n places; wraps around. */
static struct fleet_instance *instance_after(const struct fleet_instance *instance, uint32_t n)
{
	size_t first = (size_t)(instance - fleet.instances);

	return &fleet.instances[(first + n) % fleet.instance_count];
}

static bool step_process(struct fault *fault)
{
	bool first = fault->step == 0;

	switch (fault->kind) {
	case FAULT_TERM:
		terminate_instance(fault->instance);
		return true;
	case FAULT_KILL:
		kill_instance(fault->instance);
		return true;
	case FAULT_HERD:
		for (size_t i = 0; i < fleet.instance_count; i++)
			kill_instance(&fleet.instances[i]);
		return true;
	case FAULT_ROLL:
		terminate_instance(instance_after(fault->instance, fault->step));
		schedule_step(fault, 500 + random_below(1500));
		return fault->step + 1 == fleet.instance_count ||
		       fault->step + 1 == ROLLING_RESTART_MAX;
	case FAULT_HUP:
		fleet_write_settings(fault->instance);
		if (random_below(2))
			signal_instance(fault->instance, SIGHUP);
		return true;
	default:
		break;
	}
	if (first)
		fleet_begin_fault(&fault->instance->fault_history);
	signal_instance(fault->instance, first ? SIGSTOP : SIGCONT);
	fault->due_us = pd_os_now_us() + random_duration_us();
	if (!first)
		fleet_end_fault(&fault->instance->fault_history);
	return !first;
}

static bool step_link(struct fault *fault)
{
	bool store = fault->kind == FAULT_STORE_LINK;
	struct proxy *proxy = store ? &fault->instance->store_proxy : &fault->instance->peer_proxy;

	if (fault->step == 0) {
		if (store)
			fleet_begin_fault(&fault->instance->fault_history);
		else
			update_zone_histories(fault->instance->zone, fleet_begin_fault);
		degrade_link(proxy);
		fault->due_us = pd_os_now_us() + random_duration_us();
		return false;
	}
	restore_link(proxy);
	if (store)
		fleet_end_fault(&fault->instance->fault_history);
	else
		update_zone_histories(fault->instance->zone, fleet_end_fault);
	return true;
}

static bool step_upstream(struct fault *fault)
{
	struct fleet_upstream *upstream = fault->upstream;
	bool first = fault->step == 0;

	if (first)
		fleet_begin_fault(&upstream->fault_history);
	if (fault->kind == FAULT_UPSTREAM_LINK) {
		if (first)
			degrade_link(&upstream->proxy);
		else
			restore_link(&upstream->proxy);
	} else {
		set_upstream_mode(upstream, first);
	}
	if (fault->other) {
		if (first)
			fleet_begin_fault(&fault->other->fault_history);
		set_upstream_mode(fault->other, first);
		if (!first)
			fleet_end_fault(&fault->other->fault_history);
	}
	if (!first)
		fleet_end_fault(&upstream->fault_history);
	fault->due_us = pd_os_now_us() + random_duration_us();
	return !first;
}

/* Publishes a configuration; with keys, one more is withdrawn or valid again, and with quotas, the
 * rate changes. */
static void publish(struct fleet_version *version)
{
	static const double rates[] = {FLEET_RATE_MIN, FLEET_RATE_MAX / 2, FLEET_RATE_MAX};

	if (fleet.use_keys)
		version->keys ^= 1U << random_below(FLEET_KEYS);
	if (!version->keys)
		version->keys = 1;
	if (fleet.use_quotas)
		version->rate = rates[random_below(3)];
	fleet_publish_config(version);
}

static bool step_config(struct fault *fault)
{
	struct fleet_version *version = &faults.config;

	switch (fault->kind) {
	case FAULT_MOVE:
		/* The services of the read route are 0 and 1, those of the write route 2 and 3. */
		if (random_below(2))
			version->reader = 1 - version->reader;
		else
			version->writer = 5 - version->writer;
		publish(version);
		return true;
	case FAULT_RESHARD:
		version->index = 1 - version->index;
		publish(version);
		return true;
	default:
		break;
	}
	fleet_set_evacuated(fault->zone, fault->step == 0);
	schedule_step(fault, FLEET_EVACUATION_TIMEOUT_US / PD_USEC_PER_MSEC + random_below(3000));
	return fault->step > 0;
}

static void set_zone_store_links(uint32_t zone, enum proxy_state state)
{
	for (size_t i = 0; i < fleet.instance_count; i++) {
		if (fleet.instances[i].zone == zone)
			proxy_set_state(&fleet.instances[i].store_proxy, state);
	}
}

/* Publishes a configuration without one of the keys; without the last one, the others return. */
static void withdraw_key(struct fleet_version *version)
{
	uint32_t key;

	do
		key = 1U << random_below(FLEET_KEYS);
	while (!(version->keys & key));
	version->keys &= ~key;
	if (!version->keys)
		version->keys = ((1U << FLEET_KEYS) - 1) & ~key;
	fleet_publish_config(version);
}

/*
 * Withdraws a key while no instance of a zone hears from the store, for longer than revocation_ms,
 * since the zone's other instances would pass on the withdrawal otherwise. In one of two cases, an
 * instance is suspended, and resumed while the zone still hears nothing.
 */
static bool step_withdrawal(struct fault *fault)
{
	switch (fault->step) {
	case 0:
		update_zone_histories(fault->zone, fleet_begin_fault);
		set_zone_store_links(fault->zone, PROXY_SILENT);
		if (random_below(2))
			signal_instance(fault->instance, SIGSTOP);
		withdraw_key(&faults.config);
		schedule_step(fault, FLEET_REVOCATION_MS + WITHDRAWAL_MARGIN_MS);
		return false;
	case 1:
		signal_instance(fault->instance, SIGCONT);
		schedule_step(fault, WITHDRAWAL_PROBE_MS);
		return false;
	default:
		set_zone_store_links(fault->zone, PROXY_FORWARDING);
		update_zone_histories(fault->zone, fleet_end_fault);
		return true;
	}
}

/* Prints a line for a step, so that violations can be traced to faults. */
static void print_step(const struct fault *fault)
{
	printf("step %u of %s at %" PRId64 " ms: %s, %s, zone %u\n", fault->step,
	       kind_names[fault->kind], pd_os_now_us() / PD_USEC_PER_MSEC, fault->instance->name,
	       fault->upstream->standin.id, fault->zone);
}

/* Runs the next step of a fault. Returns true after the last step. */
static bool step(struct fault *fault)
{
	print_step(fault);
	switch (group_of[fault->kind]) {
	case GROUP_PROCESS:
		return step_process(fault);
	case GROUP_LINK:
		return step_link(fault);
	case GROUP_STORE:
		return step_store(fault);
	case GROUP_UPSTREAM:
		return step_upstream(fault) && release_upstreams(fault);
	case GROUP_MEMBERSHIP:
		return step_membership(fault) && release_upstreams(fault);
	case GROUP_WITHDRAWAL:
		return step_withdrawal(fault);
	default:
		return step_config(fault);
	}
}

/*
 * Whether @fault can't start now: its end would undo an active fault, or the other way round, or
 * the store can't accept its writes.
 */
static bool conflicts_with_active(const struct fault *fault)
{
	for (size_t i = 0; i < faults.active_count; i++) {
		const struct fault *active = &faults.active[i];

		if (active->kind == fault->kind && active->instance == fault->instance &&
		    active->upstream == fault->upstream && active->zone == fault->zone)
			return true;
	}
	switch (group_of[fault->kind]) {
	case GROUP_STORE:
		return faults.store_fault;
	case GROUP_MEMBERSHIP:
	case GROUP_UPSTREAM:
		return fault->upstream->has_fault || (fault->other && fault->other->has_fault);
	case GROUP_CONFIG:
		/* A store that is down accepts no writes. */
		return faults.store_fault;
	default:
		return false;
	}
}

/* Chooses a fault; starts it if its group is selected and it conflicts with no active fault. */
static void start_random_fault(void)
{
	struct fault fault = {.kind = (enum fault_kind)random_below(FAULT_RANDOM_KINDS)};

	fault.instance = &fleet.instances[random_below((uint32_t)fleet.instance_count)];
	fault.upstream = &fleet.upstreams[random_below(fleet.upstream_count)];
	fault.zone = random_below(FLEET_ZONES);
	if (fault.kind == FAULT_REUSE)
		fault.other = &fleet.upstreams[random_below(fleet.upstream_count)];
	else if (fault.kind == FAULT_SHARD_MODE)
		fault.other = other_replica(fault.upstream);
	if (fault.other == fault.upstream)
		fault.other = NULL;
	if (fault.kind == FAULT_REUSE && !fault.other)
		return;
	if (!(faults.groups & 1U << group_of[fault.kind]) || conflicts_with_active(&fault))
		return;
	if (group_of[fault.kind] == GROUP_MEMBERSHIP || group_of[fault.kind] == GROUP_UPSTREAM) {
		fault.upstream->has_fault = true;
		if (fault.other)
			fault.other->has_fault = true;
	}
	faults.store_fault |= group_of[fault.kind] == GROUP_STORE;
	faults.started++;
	faults.next_start_us =
		pd_os_now_us() +
		(START_INTERVAL_MIN_MS + random_below(faults.interval_range_ms)) * PD_USEC_PER_MSEC;
	if (!step(&fault)) {
		fault.step = 1;
		faults.active[faults.active_count++] = fault;
	}
}

/* Starts a withdrawal, if one is due and the store accepts writes. */
static void start_withdrawal(void)
{
	struct fault fault = {.kind = FAULT_WITHDRAW, .upstream = fleet.upstreams};

	if (pd_os_now_us() < faults.next_withdrawal_us || faults.store_fault ||
	    faults.active_count == ACTIVE_FAULTS_MAX)
		return;
	faults.next_withdrawal_us =
		pd_os_now_us() + (WITHDRAWAL_INTERVAL_MS + random_below(2000)) * PD_USEC_PER_MSEC;
	fault.instance = &fleet.instances[random_below((uint32_t)fleet.instance_count)];
	fault.zone = fault.instance->zone;
	faults.started++;
	step(&fault);
	fault.step = 1;
	faults.active[faults.active_count++] = fault;
}

/* Publishes other quotas, if a change is due and the store accepts writes. */
static void change_quotas(void)
{
	if (pd_os_now_us() < faults.next_quota_change_us || faults.store_fault)
		return;
	faults.next_quota_change_us =
		pd_os_now_us() +
		(QUOTA_CHANGE_MIN_MS + random_below(QUOTA_CHANGE_RANGE_MS)) * PD_USEC_PER_MSEC;
	publish(&faults.config);
}

void faults_reduce_quotas(void)
{
	faults.config.rate = FLEET_RATE_MIN;
	faults.config.keys |= (1U << FLEET_LIMITED_KEYS) - 1;
	fleet_publish_config(&faults.config);
}

void faults_poll(bool end_only)
{
	int64_t now_us = pd_os_now_us();

	for (size_t i = 0; i < faults.active_count;) {
		struct fault *fault = &faults.active[i];

		if (fault->due_us > now_us) {
			i++;
		} else if (step(fault)) {
			*fault = faults.active[--faults.active_count];
		} else {
			fault->step++;
			i++;
		}
	}
	/* Many random choices start no fault, so several are made until one has started. */
	for (int i = 0; i < FAULT_RANDOM_KINDS && !end_only; i++) {
		if (faults.active_count < ACTIVE_FAULTS_MAX && now_us >= faults.next_start_us)
			start_random_fault();
	}
	if (fleet.use_keys && !fleet.use_quotas && !end_only)
		start_withdrawal();
	if (fleet.use_quotas && !end_only)
		change_quotas();
}
