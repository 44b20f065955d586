#include "faults.h"

#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "callers.h"
#include "fleet.h"

#define ACTIVE_MAX	24
#define ROLL_MAX	6 /* instances that are stopped one after the other */
#define GAP_MIN_MS	50
#define LAST_MIN_MS	100 /* how long a fault acts */
#define LAST_SPAN_MS	3500
#define LAPSE_MS	1500 /* entries that lapsed in an outage are back after that time */
#define LAPSE_MIN_MS	2400 /* without the store, before an upstream's entry can lapse */
#define SILENCE_MS	3600 /* after which the store drops the entry of a silent upstream */
#define DELAY_MAX_MS	300
#define LATE_MAX_MS	400
#define MODE_SERVING_MS 5

/** enum fault_kind - what is done; the arguments are drawn. */
enum fault_kind {
	FAULT_TERM, /* SIGTERM, and a new start */
	FAULT_KILL,
	FAULT_HERD, /* all instances are killed */
	FAULT_ROLL, /* SIGTERM to each in turn */
	FAULT_PAUSE, /* SIGSTOP, later SIGCONT */
	FAULT_HUP, /* the settings file is written, sometimes with SIGHUP */
	FAULT_STORE_LINK, /* one instance's link to the store */
	FAULT_PEER_LINK, /* the link of an instance's peers to it */
	FAULT_STORE_BUSY,
	FAULT_STORE_SILENT,
	FAULT_STORE_LAPSE, /* silent, and entries of upstreams lapse */
	FAULT_STORE_COMPACT,
	FAULT_UPSTREAM_LINK,
	FAULT_UPSTREAM_MODE,
	FAULT_SHARD_MODE, /* both upstreams of a service */
	FAULT_CRASH, /* an upstream ends and comes back as another */
	FAULT_DRAIN, /* an upstream drains, ends, and another comes */
	FAULT_REMOVE, /* as FAULT_DRAIN, without notice but for its entry */
	FAULT_REUSE, /* two upstreams end, and each one's address goes to the other's service */
	FAULT_MOVE, /* a plain route goes to another service */
	FAULT_RESHARD, /* the other set of shards is named */
	FAULT_EVACUATE,
	FAULT_KINDS,
};

/** enum fault_group - groups that a seed plays or leaves out. */
enum fault_group {
	GROUP_PROCESS,
	GROUP_LINK,
	GROUP_STORE,
	GROUP_UPSTREAM,
	GROUP_MEMBERSHIP,
	GROUP_CONFIG,
	GROUPS,
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
};

/**
 * struct fault - one that acts
 * @kind: enum fault_kind
 * @step: steps done
 * @due_us: time of the next step
 * @instance: that it acts on
 * @upstream: that it acts on
 * @other: second upstream
 * @zone: that it acts on
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
	uint64_t seed;
	uint32_t groups; /* bit set of enum fault_group */
	struct fault active[ACTIVE_MAX];
	size_t count;
	uint32_t begun;
	uint32_t gap_ms; /* most between two faults, but for GAP_MIN_MS */
	int64_t next_us;
	struct fleet_version version; /* the newest configuration */
	bool store_fault;
} faults = {.version = {.writer = 2}};

static uint32_t draw(uint32_t below)
{
	return (uint32_t)(callers_random(&faults.seed) % below);
}

static int64_t draw_last_us(void)
{
	return (LAST_MIN_MS + draw(LAST_SPAN_MS)) * PD_USEC_PER_MSEC;
}

void faults_init(uint64_t seed)
{
	/* Dense series, and some between which instances are in touch again. */
	static const uint32_t gaps_ms[] = {300, 900, 2500, 5000};

	faults.seed = seed;
	faults.gap_ms = gaps_ms[draw(4)];
	/* Few groups at a time: what one fault hides, another seed shows. */
	while (!faults.groups) {
		uint32_t some = draw(1U << GROUPS);

		faults.groups = some & draw(1U << GROUPS);
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
	return faults.begun;
}

bool faults_all_ended(void)
{
	return !faults.count;
}

static void signal_instance(struct fleet_instance *instance, int number)
{
	if (instance->pid)
		kill(instance->pid, number);
}

static void ask_to_stop(struct fleet_instance *instance)
{
	if (!instance->pid || instance->sigterm_us)
		return;
	pthread_mutex_lock(&fleet.lock);
	instance->sigterm_us = pd_os_now_us();
	instance->planned.last_fault_us = instance->sigterm_us;
	pthread_mutex_unlock(&fleet.lock);
	signal_instance(instance, SIGTERM);
}

static void kill_instance(struct fleet_instance *instance)
{
	if (!instance->pid)
		return;
	pthread_mutex_lock(&fleet.lock);
	instance->killed = true;
	instance->unplanned.last_fault_us = pd_os_now_us();
	pthread_mutex_unlock(&fleet.lock);
	signal_instance(instance, SIGKILL);
}

/* Harms a link in one of four ways. */
static void harm_link(struct proxy *proxy)
{
	switch (draw(4)) {
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
		atomic_store(&proxy->delay_us, (1 + draw(DELAY_MAX_MS)) * PD_USEC_PER_MSEC);
		break;
	}
}

static void heal_link(struct proxy *proxy)
{
	atomic_store(&proxy->delay_us, 0);
	proxy_set_state(proxy, PROXY_FORWARDING);
}

/* Both ends of the links between the instances of a zone count as harmed. */
static void mark_zone(uint32_t zone, void (*mark)(struct fleet_health *health))
{
	for (size_t i = 0; i < fleet.instance_count; i++) {
		if (fleet.instances[i].zone == zone)
			mark(&fleet.instances[i].unplanned);
	}
}

static void set_mode(struct fleet_upstream *upstream, bool harmed)
{
	static const char *const modes[] = {"error",  "shed",  "hang", "reset",	   "cut",
					    "garble", "extra", "late", "unframed", "chunked"};

	if (harmed)
		platform_upstream_set_mode(&upstream->standin, modes[draw(10)],
					   (int)draw(LATE_MAX_MS));
	else
		platform_upstream_set_mode(&upstream->standin, "late", MODE_SERVING_MS);
}

static struct fleet_upstream *sibling(struct fleet_upstream *upstream)
{
	for (size_t i = 0; i < FLEET_UPSTREAMS; i++) {
		if (&fleet.upstreams[i] != upstream &&
		    fleet.upstreams[i].service == upstream->service)
			return &fleet.upstreams[i];
	}
	return upstream;
}

static void lapse_entries(bool back)
{
	for (size_t i = 0; i < FLEET_UPSTREAMS; i++) {
		struct fleet_upstream *upstream = &fleet.upstreams[i];

		/* The entries of upstreams that are leaving are written by their own faults. */
		if (upstream->has_fault)
			continue;
		if (back)
			fleet_write_upstream_entry(upstream, "ready");
		else
			platform_store_remove(&fleet.store, "servers", upstream->standin.id);
	}
}

static void next_step(struct fault *fault, int64_t after_ms)
{
	fault->due_us = pd_os_now_us() + after_ms * PD_USEC_PER_MSEC;
}

/* Ends an upstream; its entry goes when the store misses its writes. */
static void crash(struct fleet_upstream *upstream)
{
	fleet_begin_fault(&upstream->health);
	fleet_crash_upstream(upstream);
}

static void come_back(struct fleet_upstream *upstream, uint32_t service)
{
	fleet_restart_upstream(upstream, service);
	fleet_end_fault(&upstream->health);
}

/* How long an upstream that drains still serves, or one that has ended is still listed. */
static int64_t first_pause_ms(enum fault_kind kind)
{
	switch (kind) {
	case FAULT_REUSE:
		/* An address is used again long before the entry of a dead upstream goes. */
		return FLEET_ADDRESS_REUSE_US / PD_USEC_PER_MSEC + draw(1000);
	case FAULT_CRASH:
		return SILENCE_MS;
	default:
		return FLEET_DRAIN_TIMEOUT_US / PD_USEC_PER_MSEC + draw(2000);
	}
}

/* Membership faults; true when the last step is done. */
static bool step_membership(struct fault *fault)
{
	struct fleet_upstream *upstream = fault->upstream;
	uint32_t service = upstream->service;

	switch (fault->step) {
	case 0:
		if (fault->kind == FAULT_CRASH || fault->kind == FAULT_REUSE)
			crash(upstream);
		if (fault->kind == FAULT_REUSE)
			crash(fault->other);
		if (fault->kind == FAULT_DRAIN)
			fleet_write_upstream_entry(upstream, "draining");
		if (fault->kind == FAULT_REMOVE)
			fleet_write_upstream_entry(upstream, NULL);
		next_step(fault, first_pause_ms(fault->kind));
		return false;
	case 1:
		if (fault->kind == FAULT_REUSE) {
			come_back(upstream, fault->other->service);
			come_back(fault->other, service);
		} else {
			if (fault->kind != FAULT_REMOVE)
				fleet_write_upstream_entry(upstream, NULL);
			if (fault->kind != FAULT_CRASH)
				crash(upstream);
		}
		next_step(fault, 200 + draw(1500));
		return fault->kind == FAULT_REUSE;
	default:
		come_back(upstream, service);
		return true;
	}
}

/* The upstreams of a fault that is over are free for others. */
static bool release(struct fault *fault)
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
		fleet_begin_fault(&fleet.store_health);
		if (fault->kind == FAULT_STORE_COMPACT)
			platform_store_compact(&fleet.store);
		else
			platform_store_set_mode(&fleet.store, fault->kind == FAULT_STORE_BUSY
								      ? PLATFORM_STORE_BUSY
								      : PLATFORM_STORE_SILENT);
		fault->due_us = pd_os_now_us() + draw_last_us();
		if (fault->kind == FAULT_STORE_LAPSE)
			fault->due_us += LAPSE_MIN_MS * PD_USEC_PER_MSEC;
		return false;
	case 1:
		if (fault->kind == FAULT_STORE_LAPSE)
			lapse_entries(false);
		platform_store_set_mode(&fleet.store, PLATFORM_STORE_UP);
		next_step(fault, fault->kind == FAULT_STORE_LAPSE ? LAPSE_MS : 0);
		return false;
	default:
		if (fault->kind == FAULT_STORE_LAPSE)
			lapse_entries(true);
		fleet_end_fault(&fleet.store_health);
		faults.store_fault = false;
		return true;
	}
}

static struct fleet_instance *nth_after(const struct fleet_instance *instance, uint32_t n)
{
	size_t first = (size_t)(instance - fleet.instances);

	return &fleet.instances[(first + n) % fleet.instance_count];
}

static bool step_process(struct fault *fault)
{
	bool first = fault->step == 0;

	switch (fault->kind) {
	case FAULT_TERM:
		ask_to_stop(fault->instance);
		return true;
	case FAULT_KILL:
		kill_instance(fault->instance);
		return true;
	case FAULT_HERD:
		for (size_t i = 0; i < fleet.instance_count; i++)
			kill_instance(&fleet.instances[i]);
		return true;
	case FAULT_ROLL:
		ask_to_stop(nth_after(fault->instance, fault->step));
		next_step(fault, 500 + draw(1500));
		return fault->step + 1 == fleet.instance_count || fault->step + 1 == ROLL_MAX;
	case FAULT_HUP:
		fleet_write_settings(fault->instance);
		if (draw(2))
			signal_instance(fault->instance, SIGHUP);
		return true;
	default:
		break;
	}
	if (first)
		fleet_begin_fault(&fault->instance->unplanned);
	signal_instance(fault->instance, first ? SIGSTOP : SIGCONT);
	fault->due_us = pd_os_now_us() + draw_last_us();
	if (!first)
		fleet_end_fault(&fault->instance->unplanned);
	return !first;
}

static bool step_link(struct fault *fault)
{
	bool store = fault->kind == FAULT_STORE_LINK;
	struct proxy *proxy = store ? &fault->instance->store_proxy : &fault->instance->peer_proxy;

	if (fault->step == 0) {
		if (store)
			fleet_begin_fault(&fault->instance->unplanned);
		else
			mark_zone(fault->instance->zone, fleet_begin_fault);
		harm_link(proxy);
		fault->due_us = pd_os_now_us() + draw_last_us();
		return false;
	}
	heal_link(proxy);
	if (store)
		fleet_end_fault(&fault->instance->unplanned);
	else
		mark_zone(fault->instance->zone, fleet_end_fault);
	return true;
}

static bool step_upstream(struct fault *fault)
{
	struct fleet_upstream *upstream = fault->upstream;
	bool first = fault->step == 0;

	if (first)
		fleet_begin_fault(&upstream->health);
	if (fault->kind == FAULT_UPSTREAM_LINK) {
		if (first)
			harm_link(&upstream->proxy);
		else
			heal_link(&upstream->proxy);
	} else {
		set_mode(upstream, first);
	}
	if (fault->other) {
		if (first)
			fleet_begin_fault(&fault->other->health);
		set_mode(fault->other, first);
		if (!first)
			fleet_end_fault(&fault->other->health);
	}
	if (!first)
		fleet_end_fault(&upstream->health);
	fault->due_us = pd_os_now_us() + draw_last_us();
	return !first;
}

static bool step_config(struct fault *fault)
{
	struct fleet_version *version = &faults.version;

	switch (fault->kind) {
	case FAULT_MOVE:
		if (draw(2))
			version->reader = 1 - version->reader;
		else
			version->writer = 5 - version->writer;
		fleet_publish_config(version->reader, version->writer, version->index);
		return true;
	case FAULT_RESHARD:
		version->index = 1 - version->index;
		fleet_publish_config(version->reader, version->writer, version->index);
		return true;
	default:
		break;
	}
	fleet_set_evacuated(fault->zone, fault->step == 0);
	next_step(fault, FLEET_EVACUATION_TIMEOUT_US / PD_USEC_PER_MSEC + draw(3000));
	return fault->step > 0;
}

/* One line for each step, for tracing what a break of a promise came from. */
static void print_step(const struct fault *fault)
{
	printf("step %u of %s at %" PRId64 " ms: %s, %s, zone %u\n", fault->step,
	       kind_names[fault->kind], pd_os_now_us() / PD_USEC_PER_MSEC, fault->instance->name,
	       fault->upstream->standin.id, fault->zone);
}

/* Runs the next step; true when it was the last. */
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
		return step_upstream(fault) && release(fault);
	case GROUP_MEMBERSHIP:
		return step_membership(fault) && release(fault);
	default:
		return step_config(fault);
	}
}

/* Whether another fault that acts would be undone by @fault's end, or the other way round. */
static bool clashes(const struct fault *fault)
{
	for (size_t i = 0; i < faults.count; i++) {
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
		/* The store that is down takes no changes. */
		return faults.store_fault;
	default:
		return false;
	}
}

static void begin(void)
{
	struct fault fault = {.kind = (enum fault_kind)draw(FAULT_KINDS)};

	fault.instance = &fleet.instances[draw((uint32_t)fleet.instance_count)];
	fault.upstream = &fleet.upstreams[draw(FLEET_UPSTREAMS)];
	fault.zone = draw(FLEET_ZONES);
	if (fault.kind == FAULT_REUSE)
		fault.other = &fleet.upstreams[draw(FLEET_UPSTREAMS)];
	else if (fault.kind == FAULT_SHARD_MODE)
		fault.other = sibling(fault.upstream);
	if (fault.other == fault.upstream)
		fault.other = NULL;
	if (fault.kind == FAULT_REUSE && !fault.other)
		return;
	if (!(faults.groups & 1U << group_of[fault.kind]) || clashes(&fault))
		return;
	if (group_of[fault.kind] == GROUP_MEMBERSHIP || group_of[fault.kind] == GROUP_UPSTREAM) {
		fault.upstream->has_fault = true;
		if (fault.other)
			fault.other->has_fault = true;
	}
	faults.store_fault |= group_of[fault.kind] == GROUP_STORE;
	faults.begun++;
	faults.next_us = pd_os_now_us() + (GAP_MIN_MS + draw(faults.gap_ms)) * PD_USEC_PER_MSEC;
	if (!step(&fault)) {
		fault.step = 1;
		faults.active[faults.count++] = fault;
	}
}

void faults_poll(bool healing)
{
	int64_t now_us = pd_os_now_us();

	for (size_t i = 0; i < faults.count;) {
		struct fault *fault = &faults.active[i];

		if (fault->due_us > now_us) {
			i++;
		} else if (step(fault)) {
			*fault = faults.active[--faults.count];
		} else {
			fault->step++;
			i++;
		}
	}
	for (int i = 0; i < FAULT_KINDS && !healing; i++) {
		if (faults.count < ACTIVE_MAX && now_us >= faults.next_us)
			begin();
	}
}
