/**
 * DOC: Registry of services, zones and upstreams
 *
 * What this process believes of the upstreams: the platform's entries, and the evidence of its own
 * requests (latency, load, errors, silence). One mutex guards all of it; every function takes it
 * unless its name ends in _locked. Times are microseconds of pd_os_boot_us().
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
#include "str.h"

struct pd_conn;

/**
 * struct pd_zone - an availability zone
 * @name: key
 * @evacuated: operators want nothing sent to its upstreams
 * @unreachable: nothing was heard from any of its upstreams although several were asked
 * @last_received_us: when anything was last received from an upstream there
 * @overdue_count: upstreams that were overdue since @last_received_us
 * @first_overdue_us: when the first of them was
 * @silence_period: distinguishes the overdue marks of one period of silence from the next
 * @next_probe_us: when the next connection to test an unreachable zone may be made
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
 * @name: key, the route's name
 * @mean_us: exponentially weighted mean; 0 until the first sample
 * @p92_us: estimate of the 92nd percentile; 0 until the first sample
 */
struct pd_route_stats {
	struct pd_name name;
	double mean_us;
	double p92_us;
	UT_hash_handle hh;
};

/**
 * struct pd_upstream - one incarnation of an upstream
 * @id: key, the platform's name of it
 * @service: the service that it belongs to
 * @zone: where it is
 * @address: where it listens
 * @address_text: the same as IP:PORT
 * @started_ms: Unix time of its start as it says; 0 when unknown
 * @slots: requests that it runs at once
 * @draining: it reported that it leaves
 * @replaced: another instance answered at its address; not used until its entry changes
 * @listed: the platform's last list names it
 * @removed: taken out of its service; freed with the last reference
 * @remove_pending: its removal was seen while removals are held
 * @cold_until_us: end of its cold start
 * @references: users besides the registry
 * @latency_ratio: latency relative to its route's mean
 * @failure_rate: share of recent requests that it failed, 0 to 1
 * @stats_updated_us: when @latency_ratio and @failure_rate were last changed
 * @failures: consecutive failures or silences
 * @ejected_until_us: left alone until then
 * @in_flight: requests of this process there
 * @reported_load: requests running and waiting, as it last said
 * @load_reported_us: when it said that
 * @overdue_period: its zone's round in which it was last counted as overdue
 * @connections: open connections of this process, idle or not
 * @idle: idle connections, most recently used first
 * @next: next one of the same service
 */
struct pd_upstream {
	struct pd_name id;
	struct pd_service *service;
	struct pd_zone *zone;
	struct sockaddr_in address;
	char address_text[24];
	int64_t started_ms;
	uint32_t slots;
	bool draining;
	bool replaced;
	bool listed;
	bool removed;
	bool remove_pending;
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
	uint32_t overdue_period;
	uint32_t connections;
	struct pd_conn *idle;
	struct pd_upstream *next;
	UT_hash_handle hh;
};

/**
 * struct pd_service - a service
 * @name: key
 * @registry: registry that holds it
 * @internal: its upstreams are instances; the platform doesn't list them
 * @upstreams: its upstreams
 * @upstream_count: number of them
 * @budget: retry budget of this process for the service
 * @max_connections: connections that one upstream accepts; 0 when unknown
 * @cold_per_s: requests per second that one cold upstream tolerates; 0 when not stated
 * @service_time_us: usual time of an answer while no request waits at the upstream; 0 until known
 * @service_time_updated_us: when @service_time_us was last corrected
 */
struct pd_service {
	struct pd_name name;
	struct pd_registry *registry;
	bool internal;
	struct pd_upstream *upstreams;
	size_t upstream_count;
	struct pd_budget budget;
	uint32_t max_connections;
	double cold_per_s;
	double service_time_us;
	int64_t service_time_updated_us;
	UT_hash_handle hh;
};

/**
 * struct pd_registry_options - what the registry decides with
 * @zone: zone of this process
 * @retry_ratio: further arrivals allowed for each request, over all instances
 * @retry_slack: further arrivals allowed besides in each window, over all instances
 */
struct pd_registry_options {
	struct pd_name zone;
	double retry_ratio;
	double retry_slack;
};

struct pd_registry {
	pthread_mutex_t lock;
	struct pd_registry_options options;
	double share; /* of this instance in what all may send and open, as far as known */
	struct pd_zone *zones;
	struct pd_service *services;
	struct pd_upstream *upstreams;
	struct pd_route_stats *routes;
	struct pd_catalog *catalog;
	bool hold_removals; /* entries that are gone may have lapsed */
	bool list_complete; /* a complete list of upstreams was read */
	uint32_t connections; /* open connections to all upstreams */
	uint64_t random_state;
};

void pd_registry_init(struct pd_registry *registry, const struct pd_registry_options *options);
void pd_registry_finish(struct pd_registry *registry);

/**
 * struct pd_upstream_entry - what the platform lists of an upstream
 * @id: name of the entry
 * @service: service
 * @zone: zone
 * @address: IP:PORT
 * @draining: it leaves
 * @slots: requests that it runs at once
 * @cold_ms: how much longer it is cold
 * @started_ms: Unix time of its start; 0 when it doesn't say
 */
struct pd_upstream_entry {
	struct pd_name id;
	struct pd_name service;
	struct pd_name zone;
	struct pd_address_view {
		struct sockaddr_in in;
		char text[24];
	} address;
	bool draining;
	uint32_t slots;
	int64_t cold_ms;
	int64_t started_ms;
};

/* Takes in one entry, new or changed. */
void pd_registry_put(struct pd_registry *registry, const struct pd_upstream_entry *entry);
/* The entry is gone, or names no upstream that can be used. */
void pd_registry_remove(struct pd_registry *registry, struct pd_str id, const char *reason);
/* A complete list follows: entries not put between the two calls are removed. */
void pd_registry_list_begin(struct pd_registry *registry);
void pd_registry_list_end(struct pd_registry *registry);
/* The platform is out of reach: entries may lapse although their upstreams live. */
void pd_registry_hold_removals(struct pd_registry *registry);
/* What is missing now is gone: removals take effect. */
void pd_registry_release_removals(struct pd_registry *registry);
/* Replaces the set of evacuated zones. */
void pd_registry_set_evacuated(struct pd_registry *registry, const struct pd_name *zones,
			       size_t count);
/* Sets this instance's share in retry budgets and connections, from 0 to 1. */
void pd_registry_set_share(struct pd_registry *registry, double share);
/* The record of a service, made when it is new; NULL without memory or for a name that isn't one.
 */
struct pd_service *pd_registry_service(struct pd_registry *registry, struct pd_str name);
/* Marks all zones but one as out of reach, until something is heard from them. */
void pd_registry_set_other_zones_unreachable(struct pd_registry *registry,
					     const struct pd_name *own_zone);
/* All upstreams whose entries stand, in an array to be freed; false before a complete list was
 * read, or without memory. */
bool pd_registry_export(struct pd_registry *registry, struct pd_upstream_entry **entries,
			size_t *count);
/* Puts a version in force; takes over the caller's reference. False for a version that isn't newer
 * than the one in force, which changes nothing. */
bool pd_registry_install(struct pd_registry *registry, struct pd_catalog *catalog);
/* The version in force with a reference of its own, or NULL. */
struct pd_catalog *pd_registry_catalog(struct pd_registry *registry);
/* Statistics of a route; they live as long as the registry, whose lock guards them. Stores the 92nd
 * percentile of now, 0 when it isn't known. */
struct pd_route_stats *pd_registry_route_stats(struct pd_registry *registry, struct pd_str name,
					       double *high_us);
/* Next target of a route that distributes its requests by weight. */
uint32_t pd_registry_next_target(struct pd_registry *registry, struct pd_route *route);

/**
 * pd_registry_pick() - chooses an upstream for a sub-request
 * @registry: registry
 * @service: service
 * @tried: upstreams that already had it
 * @tried_count: number of @tried
 * @now_us: time
 *
 * The upstream is referenced and counts one more running request until pd_registry_report().
 *
 * Return: the upstream, or NULL when none is usable.
 */
struct pd_upstream *pd_registry_pick(struct pd_registry *registry, struct pd_service *service,
				     struct pd_upstream *const *tried, size_t tried_count,
				     int64_t now_us);
/* Whether an upstream of the service outside @tried could be picked now. */
bool pd_registry_has_usable(struct pd_registry *registry, struct pd_service *service,
			    struct pd_upstream *const *tried, size_t tried_count);
/* Whether some upstream of the service can be picked that didn't fail or fall silent lately. */
bool pd_registry_has_healthy(struct pd_registry *registry, struct pd_service *service,
			     int64_t now_us);
/* Time until a sub-request sent now would probably be answered, in microseconds, at the upstream of
 * the service with the shortest queue; 0 when nothing is known. */
int64_t pd_registry_expected_latency_us(struct pd_registry *registry, struct pd_service *service,
					int64_t now_us);
/* Takes a token of the service's retry budget. */
bool pd_registry_consume_retry(struct pd_registry *registry, struct pd_service *service);
/* Counts a request's first arrival at the service. */
void pd_registry_count_request(struct pd_registry *registry, struct pd_service *service);

/** enum pd_report_kind - how a sub-request ended. */
enum pd_report_kind {
	PD_REPORT_SUCCESS, /* a whole answer */
	PD_REPORT_FAILURE, /* ran and failed, or the connection broke */
	PD_REPORT_REJECTED, /* the upstream says that it didn't run it */
	PD_REPORT_WRONG_INSTANCE, /* another instance has the address */
	PD_REPORT_UNREACHABLE, /* no connection */
	PD_REPORT_TIMEOUT, /* given up without an answer when it was long overdue */
	PD_REPORT_ABANDONED, /* not needed any more; says nothing */
};

/**
 * struct pd_report - evidence of one sub-request
 * @kind: how it ended
 * @latency_us: time until the answer
 * @stats: route that it belongs to, or NULL
 * @has_load: @load and @waiting are given
 * @load: requests running and waiting at the upstream
 * @waiting: requests waiting there
 */
struct pd_report {
	enum pd_report_kind kind;
	int64_t latency_us;
	struct pd_route_stats *stats;
	bool has_load;
	double load;
	double waiting;
};

/* Ends a sub-request: takes in the evidence and drops the reference of pd_registry_pick(). */
void pd_registry_report(struct pd_registry *registry, struct pd_upstream *upstream,
			const struct pd_report *report, int64_t now_us);
/* The sub-request is late but still open; the upstream may be paused or its zone cut off. */
void pd_registry_report_overdue(struct pd_registry *registry, struct pd_upstream *upstream,
				struct pd_route_stats *stats, int64_t waited_us, int64_t now_us);
/* The upstream is silent although it should have shown that it lives: it is left alone for a while.
 */
void pd_registry_eject(struct pd_registry *registry, struct pd_upstream *upstream, int64_t now_us);
/* Something was received from the upstream. */
void pd_registry_report_received(struct pd_registry *registry, struct pd_upstream *upstream,
				 int64_t now_us);

/* Share of the catalog's gathered services that aren't out of reach as a whole, 0 to 1. */
double pd_registry_reachable_share(struct pd_registry *registry);
/* Carries out removals that are due. */
void pd_registry_apply_removals(struct pd_registry *registry);
/* An upstream of an unreachable zone whose test is due, referenced; or NULL. */
struct pd_upstream *pd_registry_probe_target(struct pd_registry *registry, int64_t now_us);
void pd_registry_unref(struct pd_registry *registry, struct pd_upstream *upstream);

#endif
