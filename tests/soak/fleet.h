/**
 * DOC: What the soak runs: instances, upstreams, the store, and their state
 *
 * The instances are real processes, each behind a proxy to the store and one for its peers.
 * Upstreams and the store are threads of the soak, so that what they see can be judged as it
 * happens.
 */
#ifndef SOAK_FLEET_H
#define SOAK_FLEET_H

#include <sys/types.h>

#include "platform_store.h"
#include "platform_upstream.h"
#include "proxy.h"

#define FLEET_ZONES		     4
#define FLEET_INSTANCES_MAX	     200 /* a few hundred processes are the limit of a machine */
#define FLEET_SHARDS		     5 /* of one index; there are two indexes */
#define FLEET_PLAIN_SERVICES	     4 /* services of plain routes: two for reading, two for writing */
#define FLEET_SERVICES		     (FLEET_PLAIN_SERVICES + 2 * FLEET_SHARDS)
#define FLEET_UPSTREAMS		     (2 * FLEET_SERVICES)
#define FLEET_VERSIONS_MAX	     256
#define FLEET_MAX_ATTEMPTS	     2
#define FLEET_TOP_K		     4
#define FLEET_MIN_SHARD_RATIO	     0.6
#define FLEET_ROUTE_TIMEOUT_MS	     1500
#define FLEET_RETRY_BUDGET_RATIO     0.2
#define FLEET_RETRY_BUDGET_SLACK     40
#define FLEET_RETRY_BUDGET_WINDOW_US (10 * PD_USEC_PER_SEC)
#define FLEET_STABLE_US		     (4 * PD_USEC_PER_SEC) /* the platform's contact_ms */
#define FLEET_CONFIG_APPLY_US	     (3 * PD_USEC_PER_SEC) /* config_apply_ms */
#define FLEET_DRAIN_TIMEOUT_US	     (3 * PD_USEC_PER_SEC) /* drain_timeout_ms */
#define FLEET_EVACUATION_TIMEOUT_US  (5 * PD_USEC_PER_SEC) /* evacuation_ms */
#define FLEET_GRACE_PERIOD_US	     (6 * PD_USEC_PER_SEC) /* grace_period_s */
#define FLEET_ADDRESS_REUSE_US	     (2 * PD_USEC_PER_SEC) /* address_reuse_s */
#define FLEET_RECOVERY_TIMEOUT_US    (12 * PD_USEC_PER_SEC) /* recovery_s */
#define FLEET_MEMORY_MAX_KB	     (182 * 1024) /* memory of the smallest machines */

/**
 * struct fleet_health - since when a thing has been without faults
 * @active_faults: faults that act now
 * @last_fault_us: end of the last one
 */
struct fleet_health {
	uint32_t active_faults;
	int64_t last_fault_us;
};

/**
 * struct fleet_instance - one ingress process
 * @name: its name
 * @zone: index of its availability zone
 * @cpu_share: processor share that it is told
 * @front: where it serves callers
 * @ready: where it tells whether it is ready
 * @peer: where it serves its peers
 * @settings_path: path of its settings file; its log lies beside it
 * @store_proxy: between it and the store
 * @peer_proxy: between its peers and it
 * @pid: process, 0 while there is none
 * @sigterm_us: when it was asked to stop, 0 if it wasn't
 * @killed: it was killed by the soak
 * @paused: it is stopped by a signal
 * @restart_us: when to start it again
 * @was_synced: it has been in touch since its start: before, it may know no upstream
 * @unplanned: kills, pauses, harm to its links
 * @planned: requests to stop, and starts
 */
struct fleet_instance {
	char name[16];
	uint32_t zone;
	double cpu_share;
	struct pd_address front;
	struct pd_address ready;
	struct pd_address peer;
	char settings_path[160];
	struct proxy store_proxy;
	struct proxy peer_proxy;
	pid_t pid;
	int64_t sigterm_us;
	bool killed;
	bool paused;
	int64_t restart_us;
	bool was_synced;
	struct fleet_health unplanned;
	struct fleet_health planned;
};

/**
 * struct fleet_upstream - one upstream; first member, so that an observer finds it
 * @standin: serves
 * @proxy: the address that is registered
 * @service: index of its service
 * @zone: index of its availability zone
 * @incarnation: number of its starts
 * @has_fault: a fault of its own acts on it
 * @withdrawn_us: when the store took note that it drains or is gone; 0 if it didn't
 * @health: crashes, failing modes and harm to its link
 */
struct fleet_upstream {
	struct platform_upstream standin;
	struct proxy proxy;
	uint32_t service;
	uint32_t zone;
	uint32_t incarnation;
	bool has_fault;
	int64_t withdrawn_us;
	struct fleet_health health;
};

/**
 * struct fleet_version - one configuration
 * @published_us: when it was sent to the store
 * @stored_us: when the store had it
 * @reader: service of the reading route
 * @writer: service of the writing route
 * @index: which set of shards the gathered route names
 */
struct fleet_version {
	int64_t published_us;
	int64_t stored_us;
	uint32_t reader;
	uint32_t writer;
	uint32_t index;
};

/**
 * struct fleet - all of it
 * @lock: guards what changes after the start
 * @evacuated_us: when the store took note of a zone's evacuation; 0 while there is none
 * @store_health: health of the store
 */
struct fleet {
	pthread_mutex_t lock;
	struct platform_store store;
	struct fleet_instance instances[FLEET_INSTANCES_MAX];
	size_t instance_count;
	struct fleet_upstream upstreams[FLEET_UPSTREAMS];
	struct fleet_version versions[FLEET_VERSIONS_MAX];
	uint32_t version_count;
	int64_t evacuated_us[FLEET_ZONES];
	struct fleet_health store_health;
	const char *ingress_path;
};

extern struct fleet fleet;

/* Starts everything. @folder takes settings files and logs; @unequal: one large machine a zone. */
void fleet_start(const char *binary, const char *folder, size_t instances, bool unequal);
/* Notices processes that have ended and starts those whose time has come. */
void fleet_poll(void);
/* Stops all processes, with SIGTERM; false when one didn't end well within its grace. */
bool fleet_stop(void);
bool fleet_is_ready(const struct fleet_instance *instance);

void fleet_begin_fault(struct fleet_health *health);
void fleet_end_fault(struct fleet_health *health);
bool fleet_is_stable_locked(const struct fleet_health *health, int64_t now_us);
/* Whether @instance, and those that it may let send, have run undisturbed for long enough. */
bool fleet_instance_is_stable_locked(const struct fleet_instance *instance, int64_t now_us);
/* Whether @instance has also been able to follow the store for long enough to be judged by it. */
bool fleet_instance_is_synced_locked(const struct fleet_instance *instance, int64_t now_us);

void fleet_service_name(uint32_t service, char *out, size_t size);
/* Parses the start of a stamp, `ID.REQUEST`; FLEET_SERVICES when it names no service. */
uint32_t fleet_service_of_stamp(struct pd_str stamp, struct pd_str *request_id);
/* Bit set of the services that @version lets requests of that kind go to. */
uint32_t fleet_allowed_services(const struct fleet_version *version, int kind);

void fleet_publish_config(uint32_t reader, uint32_t writer, uint32_t index);
void fleet_set_evacuated(uint32_t zone, bool evacuated);
/* Writes the entry of @upstream to the store: "ready", "draining", or NULL to remove it. */
void fleet_write_upstream_entry(struct fleet_upstream *upstream, const char *state);
/* Ends @upstream without a word; its address refuses connections. */
void fleet_crash_upstream(struct fleet_upstream *upstream);
/* Starts @upstream again, as a new incarnation of @service, and lists it. */
void fleet_restart_upstream(struct fleet_upstream *upstream, uint32_t service);
void fleet_write_settings(const struct fleet_instance *instance);

#endif
