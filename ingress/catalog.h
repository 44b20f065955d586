/**
 * DOC: Catalog: one version of the operators' configuration of services and routes
 *
 * Immutable once built, except for the round-robin state of weighted routes. Reference-counted:
 * each request holds a reference to the version that was current when the request started.
 */
#ifndef PD_CATALOG_H
#define PD_CATALOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "error.h"
#include "key_table.h"
#include "str.h"

struct pd_service;

/**
 * struct pd_catalog_service - configuration of one service
 * @name: name of the service
 * @health_path: URL path of the upstreams' health check
 * @max_connections: maximum number of connections that one upstream accepts from all its clients
 *	together; 0 if not configured
 * @cold_per_s: maximum request rate of one upstream during its cold start, in requests per second;
 *	0 if not configured
 * @cold_start_ms: duration of an upstream's cold start, in milliseconds
 * @runtime: the registry's record of the service, set when the registry installs the catalog
 */
struct pd_catalog_service {
	struct pd_str name;
	struct pd_str health_path;
	uint32_t max_connections;
	double cold_per_s;
	uint32_t cold_start_ms;
	struct pd_service *runtime;
};

/**
 * struct pd_account - configuration of one client account
 * @name: name of the account, which upstreams are told
 * @hash: pd_str_hash() of @name with seed 0
 * @has_priority: @priority takes precedence over that of the route
 * @priority: priority of the account's requests; 0 is the highest
 * @rate_per_s: quota in requests per second, over all instances; 0 for no limit
 * @burst: number of requests that the account may send at once beyond the rate
 */
struct pd_account {
	struct pd_str name;
	uint64_t hash;
	bool has_priority;
	uint32_t priority;
	double rate_per_s;
	double burst;
};

/**
 * struct pd_route_target - one service to which a route sends requests
 * @service: index of the service in &pd_catalog.services
 * @weight: relative share of the route's requests, for routes that split their traffic
 * @current_weight: state of the smooth weighted round-robin; guarded by the registry's lock
 */
struct pd_route_target {
	uint32_t service;
	double weight;
	double current_weight;
};

/** enum pd_route_kind - how the requests of a route are sent to its targets. */
enum pd_route_kind {
	PD_ROUTE_FORWARD, /* to one upstream of one of the targets */
	PD_ROUTE_GATHER, /* fan-out to one upstream of every target, responses merged */
};

/**
 * struct pd_route - configuration of one route
 * @name: name of the route, for logs and statistics
 * @host: host name that the route matches, in lower case
 * @prefix: path prefix that the route matches, with a leading and a trailing slash
 * @kind: whether requests are forwarded to one target or gathered from all of them
 * @idempotent: whether a request may be executed more than once
 * @timeout_ms: time limit for a request, in milliseconds; 0 if not configured, which selects the
 *	default limit
 * @target_latency_ms: latency objective, in milliseconds; 0 if not configured
 * @max_attempts: maximum number of attempts of one request for each target, the first one included
 * @priority: priority of the requests; 0 is the highest
 * @allow_anonymous: requests need no API key
 * @unusable: the route is configured but not readable, so that its requests are refused; without
 *	it, they would go to the route with a shorter prefix
 * @targets: services to which requests are sent
 * @target_count: number of entries in @targets
 * @top_k: maximum number of records in a merged response
 * @min_parts_share: minimum share of the targets whose responses a merged response must include,
 *	0 to 1
 */
struct pd_route {
	struct pd_str name;
	struct pd_str host;
	struct pd_str prefix;
	enum pd_route_kind kind;
	bool idempotent;
	uint32_t timeout_ms;
	uint32_t target_latency_ms;
	uint32_t max_attempts;
	uint32_t priority;
	bool allow_anonymous;
	bool unusable;
	struct pd_route_target *targets;
	size_t target_count;
	uint32_t top_k;
	double min_parts_share;
};

/**
 * struct pd_limits - limits for requests and connections of clients
 * @max_header_bytes: maximum size of a request's header, in bytes
 * @max_body_bytes: maximum size of a request's body, in bytes
 * @header_timeout_ms: time in which a client must send a request's header, in milliseconds
 * @idle_timeout_ms: time after which a connection without requests is closed, in milliseconds
 */
struct pd_limits {
	uint32_t max_header_bytes;
	uint32_t max_body_bytes;
	uint32_t header_timeout_ms;
	uint32_t idle_timeout_ms;
};

/* Limits used until the first configuration is loaded; they equal those of the example in the
 * platform's documentation.
 */
#define PD_LIMITS_DEFAULT ((struct pd_limits){16384, 262144, 3000, 15000})

/**
 * struct pd_catalog - one version of the configuration
 * @version: version number that the operators assigned
 * @received_unix_ms: Unix time in milliseconds at which the instance of the zone that watches the
 *	store received this version; 0 if unknown
 * @services: configured services, sorted by name
 * @service_count: number of entries in @services
 * @routes: configured routes, sorted by host and then from the longest prefix to the shortest
 * @route_count: number of entries in @routes
 * @has_accounts: client accounts are configured, so that requests need an API key, even if none of
 *	the accounts is readable
 * @accounts: client accounts
 * @account_count: number of entries in @accounts
 * @keys: API keys; the owner of a key is an index of @accounts
 * @limits: limits for clients
 * @references: reference count; the catalog is freed when it drops to 0
 * @text: storage of all strings; never reallocated, so that views into it stay valid
 * @text_len: bytes of @text in use
 * @text_size: bytes allocated for @text
 */
struct pd_catalog {
	uint64_t version;
	int64_t received_unix_ms;
	struct pd_catalog_service *services;
	size_t service_count;
	struct pd_route *routes;
	size_t route_count;
	bool has_accounts;
	struct pd_account *accounts;
	size_t account_count;
	struct pd_key_table keys;
	struct pd_limits limits;
	int references;
	char *text;
	size_t text_len;
	size_t text_size;
};

/* Allocates an empty catalog with one reference and space for the given numbers of services and
 * routes and for @text bytes of strings; NULL if out of memory.
 */
struct pd_catalog *pd_catalog_new(size_t services, size_t routes, size_t text);
/* Allocates space for client accounts and their keys; false if out of memory. */
bool pd_catalog_reserve_accounts(struct pd_catalog *catalog, size_t accounts, size_t keys);
/* Copies @s into the catalog's string storage; returns an empty view if it doesn't fit. */
struct pd_str pd_catalog_copy(struct pd_catalog *catalog, struct pd_str s);
/* Returns the time since the zone received the version, in milliseconds by the wall clocks of the
 * two instances; 0 if those differ by more than that, -1 if it is unknown.
 */
int64_t pd_catalog_age_ms(const struct pd_catalog *catalog);
/* Adds a reference; returns @catalog, which may be NULL. */
struct pd_catalog *pd_catalog_acquire(struct pd_catalog *catalog);
/* Drops a reference and frees the catalog with the last one; NULL is allowed. */
void pd_catalog_release(struct pd_catalog *catalog);

/* Sort the services or routes. Each must be called once, after all entries are added and before the
 * first look-up.
 */
void pd_catalog_sort_services(struct pd_catalog *catalog);
void pd_catalog_sort_routes(struct pd_catalog *catalog);
/* Returns the index of the service with that name, or -1 if there is none. */
long pd_catalog_find_service(const struct pd_catalog *catalog, struct pd_str name);
/**
 * pd_catalog_find_route() - finds the route for a request
 * @catalog: catalog to search
 * @host: value of the request's Host field, with or without a port
 * @path: path of the request's target, without the query string
 *
 * Return: the route of that host with the longest prefix that matches @path, or NULL if none
 * matches.
 */
struct pd_route *pd_catalog_find_route(const struct pd_catalog *catalog, struct pd_str host,
				       struct pd_str path);
/* Returns the account of an API key; NULL if it belongs to none. */
const struct pd_account *pd_catalog_find_account(const struct pd_catalog *catalog,
						 struct pd_str key);

#endif
