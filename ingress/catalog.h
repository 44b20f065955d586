/**
 * DOC: Catalog: one version of the operators' configuration
 *
 * Immutable once built, but for the position of weighted routes. Shared by reference count: each
 * request holds the version that it began with.
 */
#ifndef PD_CATALOG_H
#define PD_CATALOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "error.h"
#include "str.h"

struct pd_service;

/**
 * struct pd_catalog_service - what the operators say of a service
 * @name: name
 * @health_path: path of the health check
 * @max_connections: connections that one upstream accepts from all callers together
 * @cold_per_s: requests per second that a cold upstream tolerates; 0 when not stated
 * @cold_start_ms: how long an upstream stays cold after its start
 * @runtime: the registry's record of the service, set by pd_registry_resolve()
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
 * struct pd_route_target - one service of a route
 * @service: index in the catalog's services
 * @weight: share of the route's requests, for routes that distribute them
 * @current_weight: position of the weighted round-robin, guarded by the registry's lock
 */
struct pd_route_target {
	uint32_t service;
	double weight;
	double current_weight;
};

/** enum pd_route_kind - how requests of a route are served. */
enum pd_route_kind {
	PD_ROUTE_FORWARD, /* to one upstream of one of the targets */
	PD_ROUTE_GATHER, /* to one upstream of each target, answers merged */
};

/**
 * struct pd_route - one route
 * @name: the operators' name
 * @host: host that it serves, lower case
 * @prefix: path prefix, beginning and ending with a slash
 * @kind: forward or gather
 * @idempotent: requests may run more than once
 * @timeout_ms: longest time that a request is kept waiting; 0 means no limit
 * @target_latency_ms: latency objective; 0 when not stated
 * @max_attempts: most upstreams to which one request may be sent, for each target
 * @priority: 0 is the most urgent
 * @targets: services
 * @target_count: number of @targets
 * @top_k: records in a gathered answer
 * @min_shard_ratio: least share of the targets in a gathered answer
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
	struct pd_route_target *targets;
	size_t target_count;
	uint32_t top_k;
	double min_shard_ratio;
};

/**
 * struct pd_limits - what clients may send
 * @max_header_bytes: bytes of a request's header
 * @max_body_bytes: bytes of a request's body
 * @header_timeout_ms: time to send a header
 * @idle_timeout_ms: time between requests on a connection
 */
struct pd_limits {
	uint32_t max_header_bytes;
	uint32_t max_body_bytes;
	uint32_t header_timeout_ms;
	uint32_t idle_timeout_ms;
};

/* Limits until the first configuration is known: those of the platform's documented example. */
#define PD_LIMITS_DEFAULT ((struct pd_limits){16384, 262144, 3000, 15000})

/**
 * struct pd_catalog - one version
 * @version: the operators' version number
 * @services: sorted by name
 * @service_count: number of @services
 * @routes: sorted by host, longest prefix first
 * @route_count: number of @routes
 * @limits: limits for clients
 * @references: users; the last one frees
 * @text: memory of all strings, allocated at once so that views into it stay valid
 * @text_len: bytes in use
 * @text_size: bytes allocated
 */
struct pd_catalog {
	uint64_t version;
	struct pd_catalog_service *services;
	size_t service_count;
	struct pd_route *routes;
	size_t route_count;
	struct pd_limits limits;
	int references;
	char *text;
	size_t text_len;
	size_t text_size;
};

/* Allocates an empty catalog with one reference, with room for @text bytes of strings; NULL without
 * memory. */
struct pd_catalog *pd_catalog_new(size_t services, size_t routes, size_t text);
/* Copies @s; an empty view when the room for strings is used up. */
struct pd_str pd_catalog_copy(struct pd_catalog *catalog, struct pd_str s);
struct pd_catalog *pd_catalog_acquire(struct pd_catalog *catalog);
void pd_catalog_release(struct pd_catalog *catalog); /* NULL is allowed */

/* Sorts services and routes; call once, after filling them in and before any look-up. */
void pd_catalog_sort_services(struct pd_catalog *catalog);
void pd_catalog_sort_routes(struct pd_catalog *catalog);
/* Index of a service, or -1. */
long pd_catalog_find_service(const struct pd_catalog *catalog, struct pd_str name);
/**
 * pd_catalog_find_route() - the route of a request
 * @catalog: catalog
 * @host: Host field, with or without a port
 * @path: path without the query
 *
 * Return: the route of that host with the longest prefix of @path, or NULL.
 */
struct pd_route *pd_catalog_find_route(const struct pd_catalog *catalog, struct pd_str host,
				       struct pd_str path);

#endif
