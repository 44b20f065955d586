/**
 * DOC: Registry of services, zones and upstreams
 *
 * Holds the entries of the upstreams that the platform lists, and statistics of this process's own
 * requests to them (latency, load, errors, timeouts). One mutex guards the whole registry. Every
 * function but pd_registry_init() and pd_registry_finish() locks it, unless the name of the
 * function ends in _locked: then the caller holds it. Times are in microseconds of pd_os_boot_us().
 */
#ifndef PD_REGISTRY_H
#define PD_REGISTRY_H

#include <netinet/in.h>
#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

#include "budget.h"
#include "catalog.h"
#include "error.h"
#include "load_news.h"
#include "permit.h"
#include "pick.h"
#include "rate_limit.h"
#include "revision.h"
#include "rollout.h"
#include "str.h"

struct pd_conn;
struct pd_removed_upstream;

/**
 * struct pd_zone - an availability zone
 * @name: name of the zone; key of the hash table
 * @evacuated: operators have evacuated the zone; no requests are sent to its upstreams
 * @unreachable: the zone is assumed to be unreachable; no requests are sent to its upstreams until
 *		 data from one of them is received
 * @last_received_us: time at which data was last received from an upstream of the zone
 * @overdue_count: number of upstreams with an overdue request since @last_received_us
 * @first_overdue_us: time at which the first of these upstreams became overdue
 * @silence_period: number of the current period without received data; data from the zone ends the
 *		    period and starts the next one
 * @next_probe_us: earliest time of the next probe connection to the zone while it is unreachable
 */
struct pd_zone {
	struct pd_name name;
	bool evacuated;
	bool unreachable;
	int64_t last_received_us;
	uint32_t overdue_count;
	int64_t first_overdue_us;
	uint32_t silence_period;
	int64_t next_probe_us;
	UT_hash_handle hh;
};

/**
 * struct pd_route_stats - latency of the sub-requests of one route, over all upstreams
 * @name: name of the route; key of the hash table
 * @mean_us: exponentially weighted moving average in microseconds; 0 until the first sample
 * @p92_us: estimate of the 92nd percentile in microseconds; 0 until the first sample
 */
struct pd_route_stats {
	struct pd_name name;
	double mean_us;
	double p92_us;
	UT_hash_handle hh;
};

/**
 * struct pd_upstream - one incarnation of an upstream
 * @id: name of the upstream's entry on the platform; key of the hash table. See
 *	pd_upstream_id() for the text that is sent
 * @id_text: the id, NUL-terminated, if it isn't a valid name, so that @id only stands for it; NULL
 *	otherwise
 * @service: service that the upstream belongs to
 * @zone: availability zone that the upstream runs in
 * @address: address that the upstream listens on
 * @address_text: @address as IP:PORT
 * @started_unix_ms: Unix time of the upstream's start in milliseconds, from its entry; 0 if unknown
 * @sequence: sequence number of the upstream's entry; 0 if unknown
 * @revision: revision of the store at which the upstream's entry was written; unknown if the entry
 *	      has none
 * @version: version of its software; empty if the entry states none
 * @added_us: time at which it was added to the registry
 * @slots: maximum number of requests that the upstream executes concurrently
 * @draining: the upstream's entry states that it is draining; no requests are sent to it
 * @replaced: another instance responded at @address; no requests are sent there until the
 *	      upstream's entry is written again
 * @put_list: number of the last list that had begun when the upstream's entry was last received
 * @removed: the upstream is no longer in the registry and is freed with its last reference
 * @remove_pending: the upstream's entry was deleted or has expired, but removals are held
 * @removed_at: revision of the store that lacks the upstream's entry; only if the removal is
 *	       pending
 * @cold_until_us: time at which the upstream's cold start ends; 0 or past if it isn't cold
 * @references: number of references to the upstream, without the registry's own
 * @latency_ratio: moving average of the latency relative to the mean of the request's route
 * @failure_rate: moving average of the share of requests that failed, 0 to 1
 * @stats_updated_us: time at which @latency_ratio and @failure_rate were last updated
 * @failures: number of consecutive failures, which leads to ejection; a failed connection attempt
 *	      counts as several
 * @ejected_until_us: time at which the upstream's ejection ends; 0 or past if it isn't ejected
 * @in_flight: number of requests of this process that are in flight to the upstream
 * @reported_load: number of running or queued requests that the upstream last reported
 * @load_reported_us: time at which @reported_load was received
 * @speed: how long work takes on the upstream's machine, as a factor, from the same report; 0 if it
 *	didn't state that
 * @sent_since_report: number of requests that this process sent since then
 * @waiting_since_us: time since which this process waits for a response of the upstream: that of
 *	the last report, or of the first request since none was in flight
 * @silent_since_us: time at which a request was noticed to be overdue while the upstream sent
 *	nothing, here or at another instance; 0 after the next report
 * @news_round: round of &pd_registry.outbox that has news of this upstream, increased by 1
 * @news_index: index of these news
 * @terms: what the upstream has stated about further requests in its responses
 * @answered_us: time at which a response of the upstream was last received; 0 if none was
 * @overdue_period: silence period of the zone in which the upstream was last counted as overdue
 * @connections: number of open connections from this process to the upstream, idle ones included
 * @idle: list of idle connections, most recently used first
 * @next: next upstream of the same service
 */
struct pd_upstream {
	struct pd_name id;
	char *id_text;
	struct pd_service *service;
	struct pd_zone *zone;
	struct sockaddr_in address;
	char address_text[24];
	int64_t started_unix_ms;
	uint64_t sequence;
	struct pd_revision revision;
	struct pd_name version;
	int64_t added_us;
	uint32_t slots;
	bool draining;
	bool replaced;
	uint64_t put_list;
	bool removed;
	bool remove_pending;
	struct pd_revision removed_at;
	int64_t cold_until_us;
	int references;
	double latency_ratio;
	double failure_rate;
	int64_t stats_updated_us;
	uint32_t failures;
	int64_t ejected_until_us;
	uint32_t in_flight;
	double reported_load;
	int64_t load_reported_us;
	double speed;
	uint32_t sent_since_report;
	int64_t waiting_since_us;
	int64_t silent_since_us;
	uint64_t news_round;
	size_t news_index;
	struct pd_terms terms;
	int64_t answered_us;
	uint32_t overdue_period;
	uint32_t connections;
	struct pd_conn *idle;
	struct pd_upstream *next;
	UT_hash_handle hh;
};

/**
 * struct pd_service_rollout - versions of a service's upstreams that may get requests
 * @has_baseline: @baseline is known
 * @baseline: version that gets the requests without an order
 * @missing_since_us: time since which the service has no upstream of @baseline; 0 if it has one
 * @ordered: there is an order
 * @target: version of the order
 * @state: state of the order
 * @phase: what @target gets while the order runs
 * @share: share of the first attempts that @target gets in the canary phase
 * @permitted_until_us: end of the permission for @phase; after it, @target gets nothing
 * @credit: first attempts that @target may get, plus a random part of one
 * @evidence: results of the requests of this process since the order began
 */
struct pd_service_rollout {
	bool has_baseline;
	struct pd_name baseline;
	int64_t missing_since_us;
	bool ordered;
	struct pd_name target;
	enum pd_rollout_state state;
	enum pd_rollout_phase phase;
	double share;
	int64_t permitted_until_us;
	double credit;
	struct pd_rollout_evidence evidence;
};

/**
 * struct pd_service - a service and its upstreams
 * @name: name of the service; key of the hash table, if it is in one
 * @registry: registry that holds the service
 * @internal: the service is pd_registry.relays, whose upstreams are instances of the ingress
 * @gathered: a route gathers parts from the service
 * @upstreams: list of the service's upstreams
 * @upstream_count: number of entries in @upstreams
 * @budget: retry budget of this process for the service
 * @max_connections: number of connections that one upstream accepts from all instances together; 0
 *		     if unknown
 * @cold_per_s: maximum request rate of one upstream during its cold start, in requests per second;
 *		0 if not configured
 * @service_time_us: moving average of the response time while no request is queued at the upstream,
 *		     in microseconds; 0 until the first sample
 * @work_time_us: the same average of the response time divided by the speed that the response
 *	states, which is the time on a usual machine; 0 until the first sample
 * @service_time_updated_us: time at which @service_time_us was last updated
 * @queued_us: time at which a response last stated that requests are queued at its upstream; 0 if
 *	none has
 * @rollout: versions of its upstreams that may get requests
 */
struct pd_service {
	struct pd_name name;
	struct pd_registry *registry;
	bool internal;
	bool gathered;
	struct pd_upstream *upstreams;
	size_t upstream_count;
	struct pd_budget budget;
	uint32_t max_connections;
	double cold_per_s;
	double service_time_us;
	double work_time_us;
	int64_t service_time_updated_us;
	int64_t queued_us;
	struct pd_service_rollout rollout;
	UT_hash_handle hh;
};

/**
 * struct pd_registry_options - settings of the registry
 * @zone: availability zone of this process
 * @retry_ratio: number of retries and hedges that all instances together may send per request
 * @retry_slack: number of retries and hedges that all instances together may send in any time
 *		 window beyond those allowed by @retry_ratio
 */
struct pd_registry_options {
	struct pd_name zone;
	double retry_ratio;
	double retry_slack;
};

/**
 * struct pd_registry - the registry
 * @lock: guards everything below
 * @options: settings
 * @share: share of this instance in the retry budgets and connection limits of all instances, 0 to
 *	   1; a small default until the number of instances is known
 * @instances: all instances, this one first; NULL until they are known
 * @instance_count: number of entries in @instances
 * @zones: hash table of zones by name
 * @services: hash table of services by name
 * @upstreams: hash table of upstreams by id
 * @relays: service whose upstreams are the larger instances, to which requests are relayed. It and
 *	    its upstreams aren't in @services and @upstreams, whose names others choose
 * @relay_upstreams: hash table of the upstreams of @relays by the name of the instance
 * @removed: hash table of upstreams that were removed lately, by id
 * @routes: hash table of route statistics by the name of the route
 * @outbox: news of upstreams for the other instances of the zone
 * @catalog: current version of the configuration; NULL until one is installed
 * @hold_removals: upstreams whose entries are missing are kept for now, since the leases of the
 *		   entries may have expired in an outage of the store
 * @last_list: number of the last list of upstreams that has begun
 * @list_complete: a complete list of upstreams has been read
 * @versions_enabled: upstreams of versions without permission get no requests
 * @rollouts_known: the orders of roll-outs were received
 * @connections: number of open connections from this process to all upstreams
 * @random_state: state of the random number generator
 */
struct pd_registry {
	pthread_mutex_t lock;
	struct pd_registry_options options;
	double share;
	struct pd_instance_load *instances;
	size_t instance_count;
	struct pd_zone *zones;
	struct pd_service *services;
	struct pd_upstream *upstreams;
	struct pd_service relays;
	struct pd_upstream *relay_upstreams;
	struct pd_removed_upstream *removed;
	struct pd_route_stats *routes;
	struct pd_load_outbox outbox;
	struct pd_catalog *catalog;
	bool hold_removals;
	uint64_t last_list;
	bool list_complete;
	bool versions_enabled;
	bool rollouts_known;
	uint32_t connections;
	uint64_t random_state;
};

void pd_registry_init(struct pd_registry *registry, const struct pd_registry_options *options);
void pd_registry_finish(struct pd_registry *registry);

/* Maximum remaining time of a cold start in an entry that counts as readable: one day. */
#define PD_UPSTREAM_COLD_MAX_MS 86400000

/**
 * struct pd_upstream_entry - entry of an upstream in the platform's list
 * @id: name of the entry, see pd_upstream_entry_set_id()
 * @id_text: the name as it is in the store if @id only stands for it; empty otherwise. A view that
 *	is valid as long as the entry is in use
 * @service: name of the upstream's service
 * @zone: name of the upstream's availability zone
 * @address: address that the upstream listens on, as a socket address and as IP:PORT
 * @draining: the upstream is draining
 * @slots: maximum number of requests that the upstream executes concurrently
 * @cold_ms: remaining time of the upstream's cold start in milliseconds; 0 or less if it isn't cold
 * @started_unix_ms: Unix time of the upstream's start in milliseconds; 0 if the entry has none
 * @sequence: sequence number, which rises with each entry that the upstream writes after its start;
 *	0 if the entry has none
 * @revision: revision of the store at which the entry was written; unknown if the entry has none
 * @version: version of the upstream's software; empty if the entry states none
 * @has_limit: the instance that sends the entry was told a rate limit by the upstream lately; false
 *	in the platform's list
 * @limit_per_s: that limit
 */
struct pd_upstream_entry {
	struct pd_name id;
	struct pd_str id_text;
	struct pd_name service;
	struct pd_name zone;
	struct pd_address_view {
		struct sockaddr_in in;
		char text[24];
	} address;
	bool draining;
	uint32_t slots;
	int64_t cold_ms;
	int64_t started_unix_ms;
	uint64_t sequence;
	struct pd_revision revision;
	struct pd_name version;
	bool has_limit;
	double limit_per_s;
};

/* Maximum length of an id, which is sent in the header of each request: a quarter of the size of a
 * header that the platform's documentation gives as an example.
 */
#define PD_UPSTREAM_ID_MAX_BYTES 4096

/* Sets @id and @id_text, which refers to @id. False if the id can't be sent in a header as it is:
 * it is empty or too long, has control characters, or begins or ends with a space.
 */
bool pd_upstream_entry_set_id(struct pd_upstream_entry *entry, struct pd_str id);
/* Returns the id as it is in the store; valid as long as the upstream. */
struct pd_str pd_upstream_id(const struct pd_upstream *upstream);

/**
 * pd_registry_put() - adds an upstream or updates it
 * @registry: registry
 * @entry: entry of the upstream
 * @outdated: the entry was read at a revision of the store before one up to which all changes are
 *	known: if the upstream isn't known, its entry was removed meanwhile
 *
 * An entry with another address, service, zone or start time is a new incarnation, which replaces
 * the old one and its statistics. An entry that is older than the known one is ignored: the store
 * may have been restored from a copy, or a list may be stale.
 *
 * Return: false if the upstream was removed after the entry was written; otherwise, @entry holds
 * the entry that is known now.
 */
bool pd_registry_put(struct pd_registry *registry, struct pd_upstream_entry *entry, bool outdated);
/* Adds an instance to pd_registry.relays or updates it; @entry states no service. Only another
 * address or zone replaces an instance: they are never removed. */
void pd_registry_put_relay(struct pd_registry *registry, const struct pd_upstream_entry *entry);
/**
 * pd_registry_keep() - keeps an upstream whose entry has become unreadable
 * @registry: registry
 * @id: name of the entry
 * @draining: the entry nevertheless states that the upstream is draining
 * @entry: set to the entry that is known, with views of @id
 *
 * The last readable entry stays in use: a running upstream writes its entry again, and the entry of
 * one that has ended is deleted.
 *
 * Return: false if no upstream with that entry is known.
 */
bool pd_registry_keep(struct pd_registry *registry, struct pd_str id, bool draining,
		      struct pd_upstream_entry *entry);
/* Removes the upstream whose entry the store lacks at revision @at, unless a newer entry is known.
 * While removals are held, the removal only becomes pending. */
void pd_registry_remove(struct pd_registry *registry, struct pd_str id, struct pd_revision at,
			const char *reason);
/* Enclose the pd_registry_put() calls for a complete list: upstreams that aren't put after the list
 * began are removed when it ends. The first function returns the number of the list, which the
 * second one takes: an instance that starts may receive a list from the store and one from another
 * instance at the same time. The list holds all changes up to revision @at. An upstream whose entry
 * is newer is kept, until pd_registry_advance() states that all changes up to its entry were put.
 */
uint64_t pd_registry_list_begin(struct pd_registry *registry);
void pd_registry_list_end(struct pd_registry *registry, uint64_t list, struct pd_revision at);
/* Removes the upstreams that weren't put since @list began, if their entries aren't newer than @at:
 * the sender of that list has put all changes up to that revision since then. */
void pd_registry_advance(struct pd_registry *registry, uint64_t list, struct pd_revision at);
/* Holds removals while the store is unreachable: the leases of entries may expire although their
 * upstreams still run. */
void pd_registry_hold_removals(struct pd_registry *registry);
/* Ends the hold: the next pd_registry_apply_removals() removes upstreams with a pending removal. */
void pd_registry_release_removals(struct pd_registry *registry);
/* Replaces the set of evacuated zones. */
void pd_registry_set_evacuated(struct pd_registry *registry, const struct pd_name *zones,
			       size_t count);
/* Sets the instances that share retry budgets, connection limits and rate limits; the first of them
 * is this one. */
void pd_registry_set_instances(struct pd_registry *registry,
			       const struct pd_instance_load *instances, size_t count);
/* Returns a service, which is added if it is new; NULL if memory runs out or the name is empty. */
struct pd_service *pd_registry_service(struct pd_registry *registry, struct pd_str name);
/* Marks all zones but @own_zone as unreachable, each until data is received from it. */
void pd_registry_set_other_zones_unreachable(struct pd_registry *registry,
					     const struct pd_name *own_zone);
/* Copies the entries of all upstreams on the platform's list, without those whose removal is
 * pending, with their ids, into an array that the caller frees. False if no complete list has been
 * read yet or memory runs out. */
bool pd_registry_export(struct pd_registry *registry, struct pd_upstream_entry **entries,
			size_t *count);
/* Makes @catalog the current configuration and takes over the caller's reference. False, and
 * nothing changes, if its version isn't newer than the current one or memory runs out. */
bool pd_registry_install(struct pd_registry *registry, struct pd_catalog *catalog);
/* Returns the current configuration with a new reference, or NULL if there is none yet. */
struct pd_catalog *pd_registry_catalog(struct pd_registry *registry);
/* Returns the statistics of a route, which are added if the route is new; NULL if memory runs out
 * or the name is empty. They stay valid as long as the registry, whose lock guards them. Stores
 * the current estimate of the 92nd percentile in @p92_us, 0 if unknown. */
struct pd_route_stats *pd_registry_route_stats(struct pd_registry *registry, struct pd_str name,
					       double *p92_us);
/* Returns the index of the target for the next request of a route that distributes its requests by
 * weight. */
uint32_t pd_registry_next_target(struct pd_registry *registry, struct pd_route *route);
/* Returns what pd_registry_next_target() would return, and changes nothing. */
uint32_t pd_registry_peek_target(struct pd_registry *registry, const struct pd_route *route);

/**
 * pd_registry_pick() - choose an upstream for a sub-request
 * @registry: registry
 * @service: service that the sub-request is for
 * @tried: upstreams that were already tried, which aren't chosen again
 * @tried_count: number of entries in @tried
 * @now_us: current time
 *
 * Takes a reference to the upstream and counts a request in flight to it; pd_registry_report()
 * undoes both. The request also counts towards the upstream's rate limit.
 *
 * Return: the upstream, or NULL if no upstream has a permit.
 */
struct pd_upstream *pd_registry_pick(struct pd_registry *registry, struct pd_service *service,
				     struct pd_upstream *const *tried, size_t tried_count,
				     int64_t now_us);
/* Returns the best permit of the service's upstreams outside @tried: whether a request may be sent
 * to one of them now, or else from when, and why. */
struct pd_permit pd_registry_permit(struct pd_registry *registry, struct pd_service *service,
				    struct pd_upstream *const *tried, size_t tried_count,
				    int64_t now_us);
/* Returns the expected latency in microseconds of a sub-request sent now to the upstream of the
 * service with the shortest queue; 0 if unknown. */
int64_t pd_registry_expected_latency_us(struct pd_registry *registry, struct pd_service *service,
					int64_t now_us);
/* The same, but 0 if an upstream that may get the sub-request has a free slot. The latency of a
 * service includes that of new connections and of other routes, so that only a queue is a reason to
 * refuse a request before it is sent. */
int64_t pd_registry_queued_latency_us(struct pd_registry *registry, struct pd_service *service,
				      int64_t now_us);
/**
 * pd_registry_is_queued() - whether requests have lately been queued at a service's upstreams
 * @registry: registry
 * @service: service
 * @now_us: current time
 * @usual_us: set to the mean latency of sub-requests to the service without a queue, in
 *	microseconds; 0 if unknown
 *
 * Return: whether a response of the last second stated so.
 */
bool pd_registry_is_queued(struct pd_registry *registry, const struct pd_service *service,
			   int64_t now_us, int64_t *usual_us);
#define PD_CHOICES_MAX 64 /* maximum number of upstreams of a service that are compared */

/**
 * struct pd_choice - one upstream in the choice for a sub-request, for an explanation
 * @id: name of the upstream's entry
 * @zone: zone of the upstream
 * @permit: whether a request may be sent to it
 * @candidate: what its cost depends on
 * @cost: its cost
 * @chosen_share: share of the random numbers with which it would be chosen, 0 to 1
 * @report_age_us: age of its last load report, in microseconds; -1 if there is none
 */
struct pd_choice {
	struct pd_name id;
	struct pd_name zone;
	struct pd_permit permit;
	struct pd_candidate candidate;
	double cost;
	double chosen_share;
	int64_t report_age_us;
};

/**
 * pd_registry_explain() - explains the choice for a sub-request that would be sent now
 * @registry: registry
 * @service: service that the sub-request is for
 * @now_us: current time
 * @choices: set to the service's upstreams; has room for PD_CHOICES_MAX. Of more upstreams, the
 *	first ones are compared, while pd_registry_pick() begins at a random one
 * @permit: set to the best permit of all upstreams of the service
 * @expected_us: set as pd_registry_expected_latency_us()
 *
 * Decides by the same functions as pd_registry_pick(), on copies, and changes nothing.
 *
 * Return: number of @choices.
 */
size_t pd_registry_explain(struct pd_registry *registry, const struct pd_service *service,
			   int64_t now_us, struct pd_choice *choices, struct pd_permit *permit,
			   int64_t *expected_us);
/* Consumes a token of the service's retry budget; false if none is left. */
bool pd_registry_consume_retry(struct pd_registry *registry, struct pd_service *service);
/* Whether a hedge can shorten a late sub-request: an upstream outside @tried has a free slot, as
 * far as is known, or doesn't state how long its work takes.
 */
bool pd_registry_hedge_helps(struct pd_registry *registry, struct pd_service *service,
			     struct pd_upstream *const *tried, size_t tried_count, int64_t now_us);
/* Adds the first attempt of a request to the service's retry budget. */
void pd_registry_count_request(struct pd_registry *registry, struct pd_service *service);

/** enum pd_report_kind - result of a sub-request. */
enum pd_report_kind {
	PD_REPORT_SUCCESS, /* a valid response, or any response to a relayed request */
	PD_REPORT_FAILURE, /* an invalid response, or the connection broke after sending */
	PD_REPORT_REJECTED, /* the upstream states that it didn't execute the request */
	PD_REPORT_WRONG_INSTANCE, /* another instance responded at the address */
	PD_REPORT_UNREACHABLE, /* the connection attempt failed; nothing was sent */
	PD_REPORT_TIMEOUT, /* ended without a response after it was reported as overdue */
	PD_REPORT_ABANDONED, /* no longer needed, or sent on a stale connection; doesn't count for
			      * or against the upstream */
};

/**
 * struct pd_report - result and statistics of one sub-request
 * @kind: result
 * @latency_us: time from the start of the sub-request to the end of its response, or until it was
 *	given up, in microseconds
 * @late: it was reported as overdue
 * @stats: statistics of the sub-request's route, or NULL
 * @has_load: the response states the upstream's load: @load and @queued are valid
 * @load: number of requests running or queued at the upstream
 * @queued: number of requests queued at the upstream
 * @has_speed: @speed is valid, too
 * @speed: how long work takes on the upstream's machine now, as a factor; 1 is usual
 * @answered: a response to this request was received: @directives is valid
 * @directives: what the response states about further requests to the upstream
 * @relay_stopping: the upstream is a relay, which closes its connections because it is stopping
 */
struct pd_report {
	enum pd_report_kind kind;
	int64_t latency_us;
	bool late;
	struct pd_route_stats *stats;
	bool has_load;
	double load;
	double queued;
	bool has_speed;
	double speed;
	bool answered;
	struct pd_directives directives;
	bool relay_stopping;
};

/* Ends a sub-request: updates the upstream's statistics and releases the reference that
 * pd_registry_pick() took. */
void pd_registry_report(struct pd_registry *registry, struct pd_upstream *upstream,
			const struct pd_report *report, int64_t now_us);
/* Records that a sub-request is late but still in flight: the upstream may be paused, or its zone
 * may be unreachable. */
void pd_registry_report_overdue(struct pd_registry *registry, struct pd_upstream *upstream,
				struct pd_route_stats *stats, int64_t waited_us, int64_t now_us);
/* Ejects an upstream that has sent no data although a response was due. */
void pd_registry_eject(struct pd_registry *registry, struct pd_upstream *upstream, int64_t now_us);
/* Records that data was received from the upstream, which shows that its zone is reachable. */
void pd_registry_report_received(struct pd_registry *registry, struct pd_upstream *upstream,
				 int64_t now_us);

/* Whether the start of the upstream @id at @started_unix_ms has sent a response after @since_us. */
bool pd_registry_answered_since(struct pd_registry *registry, const struct pd_name *id,
				int64_t started_unix_ms, int64_t since_us);

/* Lets only upstreams of permitted versions get requests from now on. */
void pd_registry_enable_versions(struct pd_registry *registry);
/* Replaces the orders of roll-outs. */
void pd_registry_set_rollouts(struct pd_registry *registry, const struct pd_rollout_set *set);
/* Permits what a phase allows to the version of a running order until @until_us. */
void pd_registry_permit_version(struct pd_registry *registry, const struct pd_rollout_order *order,
				enum pd_rollout_phase phase, double share, int64_t until_us);

/**
 * struct pd_version_view - what a roll-out needs to know of a service
 * @exists: the service is configured or has upstreams
 * @target_ready: an upstream of the ordered version can take requests and isn't cold
 * @same_version: the ordered version is the one that gets the requests without an order
 * @full: this process sends all requests to the ordered version
 * @old_in_flight: requests of this process in flight to upstreams of other versions
 */
struct pd_version_view {
	bool exists;
	bool target_ready;
	bool same_version;
	bool full;
	uint32_t old_in_flight;
};

/* Fills @view, and adds this process's results since the order began to @evidence. */
void pd_registry_view_version(struct pd_registry *registry, const struct pd_rollout_order *order,
			      int64_t now_us, struct pd_version_view *view,
			      struct pd_rollout_evidence *evidence);

/* Returns the share, 0 to 1, of the targets of all gather routes that aren't unreachable. A target
 * is unreachable if all zones in which it has upstreams are. */
double pd_registry_reachable_share(struct pd_registry *registry);
/* Removes the upstreams whose removal is pending, unless removals are held. */
void pd_registry_apply_removals(struct pd_registry *registry);
/* Returns an upstream, with a reference, of an unreachable zone whose probe is due; or NULL. */
struct pd_upstream *pd_registry_probe_target(struct pd_registry *registry, int64_t now_us);
/* Releases a reference to an upstream. */
void pd_registry_unref(struct pd_registry *registry, struct pd_upstream *upstream);

#endif
