/**
 * DOC: The deployment under test: instances, upstreams, the store, and their state
 *
 * The instances are real ingress processes. Each connects to the store through a proxy, and its
 * peers connect to it through another one. Upstreams and the store are stand-ins that run as
 * threads of the soak, so that each request can be checked when it arrives.
 *
 * Names with the suffix _us are in microseconds; times are those of pd_os_now_us().
 */
#ifndef SOAK_FLEET_H
#define SOAK_FLEET_H

#include <sys/types.h>

#include "platform_store.h"
#include "platform_upstream.h"
#include "proxy.h"

#define FLEET_ZONES		     4
#define FLEET_INSTANCES_MAX	     200 /* one machine runs no more than a few hundred processes */
#define FLEET_SHARDS		     5 /* per index; there are two indexes */
#define FLEET_PLAIN_SERVICES	     4 /* two for the read route, two for the write route */
#define FLEET_SERVICES		     (FLEET_PLAIN_SERVICES + 2 * FLEET_SHARDS)
#define FLEET_UPSTREAMS		     (2 * FLEET_SERVICES) /* two replicas of each service */
#define FLEET_NEW_UPSTREAMS	     2 /* of the version that is rolled out */
#define FLEET_VERSIONS_MAX	     256 /* versions of the configuration in one run */
#define FLEET_MAX_ATTEMPTS	     2 /* at one service for each request */
#define FLEET_TOP_K		     4 /* records in an answer of the gather route */
#define FLEET_MIN_SHARD_RATIO	     0.6 /* share of the shards that a successful answer must have */
#define FLEET_ROUTE_TIMEOUT_MS	     1500
#define FLEET_RETRY_BUDGET_RATIO     0.2 /* extra requests per request in a window */
#define FLEET_RETRY_BUDGET_SLACK     40 /* extra requests on top of these, per window */
#define FLEET_RETRY_BUDGET_WINDOW_US (10 * PD_USEC_PER_SEC)
/* Time without faults after which a component counts as stable: the platform's contact_ms. */
#define FLEET_STABLE_US (4 * PD_USEC_PER_SEC)
/* Instances without faults for this much longer count as connected. */
#define FLEET_CONTACT_EXTRA_US (1 * PD_USEC_PER_SEC)
/* Limits of the platform; the comments give the names of its settings. */
#define FLEET_CONFIG_APPLY_US	    (3 * PD_USEC_PER_SEC) /* config_apply_ms */
#define FLEET_DRAIN_TIMEOUT_US	    (3 * PD_USEC_PER_SEC) /* drain_timeout_ms */
#define FLEET_EVACUATION_TIMEOUT_US (5 * PD_USEC_PER_SEC) /* evacuation_ms */
/* Time in which every instance must use a zone again whose evacuation has ended. */
#define FLEET_ZONE_RETURN_US	  (1 * PD_USEC_PER_SEC)
#define FLEET_KEYS		  8 /* API keys, of which each configuration has some */
#define FLEET_LIMITED_KEYS	  2 /* the first ones, whose accounts have quotas with --quotas */
#define FLEET_NOISY_KEY		  0 /* its account sends far more than its quota allows */
#define FLEET_RATE_MIN		  5.0 /* least rate of a quota */
#define FLEET_RATE_MAX		  20.0
#define FLEET_REVOCATION_MS	  5000 /* revocation_ms */
#define FLEET_GRACE_PERIOD_US	  (6 * PD_USEC_PER_SEC) /* grace_period_s */
#define FLEET_ADDRESS_REUSE_US	  (2 * PD_USEC_PER_SEC) /* address_reuse_s */
#define FLEET_RECOVERY_TIMEOUT_US (12 * PD_USEC_PER_SEC) /* recovery_s */
#define FLEET_MEMORY_MAX_KB	  (182 * 1024) /* memory of the platform's smallest machines */

/**
 * struct fleet_fault_history - fault history of a component
 * @active_faults: number of faults that are active now
 * @last_fault_us: time at which the last fault ended or, if it had no duration, happened
 */
struct fleet_fault_history {
	uint32_t active_faults;
	int64_t last_fault_us;
};

/**
 * struct fleet_instance - one ingress process
 * @name: name of the instance
 * @zone: index of the instance's availability zone
 * @cpu_share: processor share in the instance's settings, in cores
 * @front: address for callers
 * @ready: address of the readiness check
 * @peer: address for peers, which connect through @peer_proxy
 * @settings_path: path of the settings file; the log file is the same path with ".log" appended
 * @store_proxy: proxy through which the instance connects to the store
 * @peer_proxy: proxy through which peers connect to the instance
 * @pid: process id, 0 while no process runs
 * @started_us: time at which the process was started
 * @sigterm_us: time at which the soak sent SIGTERM to the process, 0 if it didn't
 * @killed: the soak sent SIGKILL to the process
 * @paused: not used
 * @restart_us: time at which to start the process again, 0 if no start is due
 * @was_synced: since its start, the process has been synced with the store at least once, see
 *              fleet_instance_is_synced_locked(); before that, it may know no upstreams
 * @fault_history: history of kills, of pauses and of faults on the instance's links
 * @restart_history: history of SIGTERMs, exits and starts of the process
 */
struct fleet_instance {
	char name[32];
	uint32_t zone;
	double cpu_share;
	struct pd_address front;
	struct pd_address ready;
	struct pd_address peer;
	char settings_path[160];
	struct proxy store_proxy;
	struct proxy peer_proxy;
	pid_t pid;
	int64_t started_us;
	int64_t sigterm_us;
	bool killed;
	bool paused;
	int64_t restart_us;
	bool was_synced;
	struct fleet_fault_history fault_history;
	struct fleet_fault_history restart_history;
};

/**
 * struct fleet_upstream - one upstream
 * @standin: serves the requests; first member, so that ledger_record_arrival() can cast it
 * @proxy: proxy in front of @standin; its address is the one in the store
 * @service: index of the upstream's service
 * @zone: index of the upstream's availability zone
 * @incarnation: number of times that the upstream was started
 * @version: number of the version of its software
 * @absent: isn't started, and has no entry in the store
 * @lapsed: the store has removed the entry as expired, and it wasn't written again
 * @has_fault: a fault of this upstream is active, so that no other one may start
 * @withdrawn_us: time by which the store had recorded that the upstream drains or is removed; 0
 *                while it is registered as ready
 * @fault_history: history of crashes, failure modes and faults on the upstream's link
 */
struct fleet_upstream {
	struct platform_upstream standin;
	struct proxy proxy;
	uint32_t service;
	uint32_t zone;
	uint32_t incarnation;
	uint32_t version;
	bool absent;
	bool lapsed;
	bool has_fault;
	int64_t withdrawn_us;
	struct fleet_fault_history fault_history;
};

/**
 * struct fleet_version - one version of the configuration
 * @published_us: time at which the soak began to write the version to the store
 * @stored_us: time by which the store had recorded the version; INT64_MAX until then
 * @reader: index of the service of the read route
 * @writer: index of the service of the write route
 * @index: number of the index, 0 or 1, whose shards the gather route uses
 * @keys: bit set of the API keys that are valid; 0 if there are no accounts
 * @rate: rate and burst of the accounts that have a quota
 * @settled_us: time at which the version was in force at all instances; 0 until then or if not
 *              known
 */
struct fleet_version {
	int64_t published_us;
	int64_t stored_us;
	uint32_t reader;
	uint32_t writer;
	uint32_t index;
	uint32_t keys;
	double rate;
	int64_t settled_us;
};

/**
 * struct fleet - all components of the deployment under test
 * @lock: guards the members that change after fleet_start(), and the ledger
 * @store: stand-in of the platform's store
 * @instances: ingress processes
 * @instance_count: number of ingress processes
 * @upstreams: upstreams of all services
 * @upstream_count: number of upstreams
 * @versions: versions of the configuration, the newest last
 * @version_count: number of versions
 * @evacuated_us: for each zone, time by which the store had recorded its evacuation; 0 while the
 *                zone isn't evacuated
 * @evacuation_ended_us: for each zone, time at which its last evacuation was removed from the
 * store; 0 if there was none
 * @store_fault_history: fault history of the store
 * @ingress_path: path of the ingress program
 * @use_keys: requests need an API key, and revocation is strict; set before fleet_start()
 * @use_rollouts: new versions are rolled out; set before fleet_start()
 * @use_quotas: some accounts have quotas, and one is noisy; set before fleet_start(), with
 * @use_keys
 */
struct fleet {
	pthread_mutex_t lock;
	struct platform_store store;
	struct fleet_instance instances[FLEET_INSTANCES_MAX];
	size_t instance_count;
	struct fleet_upstream upstreams[FLEET_UPSTREAMS + FLEET_NEW_UPSTREAMS];
	uint32_t upstream_count;
	struct fleet_version versions[FLEET_VERSIONS_MAX];
	uint32_t version_count;
	int64_t evacuated_us[FLEET_ZONES];
	int64_t evacuation_ended_us[FLEET_ZONES];
	struct fleet_fault_history store_fault_history;
	const char *ingress_path;
	bool use_keys;
	bool use_quotas;
	bool use_rollouts;
};

extern struct fleet fleet;

/*
 * Starts all components. Settings files and logs are written to @folder. With @mixed_sizes, each
 * zone has one large instance and the others are small; otherwise all have the same size. @first is
 * the first configuration.
 */
void fleet_start(const char *binary, const char *folder, size_t instances, bool mixed_sizes,
		 const struct fleet_version *first);
/*
 * Checks for processes that have exited or exceed their grace period, and starts those again whose
 * restart is due.
 */
void fleet_poll(void);
/*
 * Stops all processes with SIGTERM, and with SIGKILL after their grace period. Returns false if one
 * still runs a second later.
 */
bool fleet_stop(void);
/* Whether @instance answers its readiness check with status 200. */
bool fleet_is_ready(const struct fleet_instance *instance);

/* Records the start of a fault. */
void fleet_begin_fault(struct fleet_fault_history *history);
/* Records the end of a fault. */
void fleet_end_fault(struct fleet_fault_history *history);
/* Whether no fault is active and the last one ended more than FLEET_STABLE_US ago. */
bool fleet_is_stable_locked(const struct fleet_fault_history *history, int64_t now_us);
/* Whether @instance runs, and it and the instances that it may forward requests to are stable. */
bool fleet_instance_is_stable_locked(const struct fleet_instance *instance, int64_t now_us);
/*
 * Whether @instance and the store are stable, so that @instance must have read the current data of
 * the store.
 */
bool fleet_instance_is_synced_locked(const struct fleet_instance *instance, int64_t now_us);

/* Writes the name of the service with index @service to @out. */
void fleet_service_name(uint32_t service, char *out, size_t size);
/*
 * Parses a stamp, `UPSTREAM.REQUEST`, into the index of the upstream's service and the request id.
 * Returns FLEET_SERVICES if the stamp is malformed.
 */
uint32_t fleet_service_of_stamp(struct pd_str stamp, struct pd_str *request_id);
/* Bit set of the services that @version allows for requests of @kind, an enum request_kind. */
uint32_t fleet_allowed_services(const struct fleet_version *version, int kind);

/* Writes a new version of the configuration to the store; the times in @contents aren't used. */
void fleet_publish_config(const struct fleet_version *contents);
/* Writes the evacuation of @zone to the store, or removes it. */
void fleet_set_evacuated(uint32_t zone, bool evacuated);
/* Writes the store entry of @upstream with @state, "ready" or "draining"; NULL removes it. */
void fleet_write_upstream_entry(struct fleet_upstream *upstream, const char *state);
/* Crashes @upstream: its address refuses connections, and its entry stays in the store. */
void fleet_crash_upstream(struct fleet_upstream *upstream);
/* Starts @upstream again, as a new incarnation in @service, and writes its entry to the store. */
void fleet_restart_upstream(struct fleet_upstream *upstream, uint32_t service);
/* Writes the settings file of @instance. */
void fleet_write_settings(const struct fleet_instance *instance);

#endif
