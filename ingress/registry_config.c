/**
 * DOC: The configuration in force, and the statistics of its routes
 */
#include <inttypes.h>
#include <stdlib.h>

#include "counters.h"
#include "log.h"
#include "registry.h"
#include "registry_private.h"

/* Number of positions of a weighted round-robin at which an instance may start; not a multiple of
 * any usual sum of weights. */
#define START_POSITIONS 997

struct pd_route_stats *pd_registry_route_stats(struct pd_registry *registry, struct pd_str name,
					       double *p92_us)
{
	struct pd_route_stats *stats;
	struct pd_name key;

	*p92_us = 0;
	if (!pd_name_set_any(&key, name))
		return NULL;
	pthread_mutex_lock(&registry->lock);
	HASH_FIND(hh, registry->routes, key.text, key.len, stats);
	if (!stats) {
		stats = calloc(1, sizeof(*stats));
		if (stats) {
			stats->name = key;
			HASH_ADD_KEYPTR(hh, registry->routes, stats->name.text, stats->name.len,
					stats);
		} else {
			pd_log(PD_LOG_ERROR, "route_stats_not_kept", "route=%s reason=no_memory",
			       key.text);
		}
	}
	*p92_us = stats ? stats->p92_us : 0;
	pthread_mutex_unlock(&registry->lock);
	return stats;
}

/* Smooth weighted round-robin: adds each target's weight to its current weight, chooses the target
 * with the greatest current weight, and subtracts the sum of all weights from that. */
static uint32_t choose_target(struct pd_route *route)
{
	double total = 0;
	size_t best = 0;

	for (size_t i = 0; i < route->target_count; i++) {
		route->targets[i].current_weight += route->targets[i].weight;
		total += route->targets[i].weight;
		if (route->targets[i].current_weight > route->targets[best].current_weight)
			best = i;
	}
	route->targets[best].current_weight -= total;
	return (uint32_t)best;
}

uint32_t pd_registry_peek_target(struct pd_registry *registry, const struct pd_route *route)
{
	const struct pd_route_target *targets = route->targets;
	size_t best = 0;

	pthread_mutex_lock(&registry->lock);
	for (size_t i = 1; i < route->target_count; i++) {
		if (targets[i].current_weight + targets[i].weight >
		    targets[best].current_weight + targets[best].weight)
			best = i;
	}
	pthread_mutex_unlock(&registry->lock);
	return (uint32_t)best;
}

/* Starts a weighted route at a random position. Otherwise all instances would start with the same
 * service, which would distort the shares where each instance gets few requests. */
static void randomize_start(struct pd_registry *registry, struct pd_route *route)
{
	uint64_t position = pd_registry_random_locked(registry) % START_POSITIONS;

	if (route->kind != PD_ROUTE_FORWARD || route->target_count < 2)
		return;
	while (position--)
		choose_target(route);
}

/* Records which services a route gathers parts from. */
static void mark_gathered(struct pd_catalog *catalog)
{
	for (size_t r = 0; r < catalog->route_count; r++) {
		const struct pd_route *route = &catalog->routes[r];

		for (size_t t = 0; t < route->target_count && route->kind == PD_ROUTE_GATHER; t++) {
			catalog->services[route->targets[t].service].runtime->gathered = true;
		}
	}
}

/* Connects the services of a configuration with the registry's; false if memory runs out. */
static bool connect_services(struct pd_registry *registry, struct pd_catalog *catalog)
{
	for (size_t i = 0; i < catalog->service_count; i++) {
		struct pd_catalog_service *entry = &catalog->services[i];

		entry->runtime = pd_registry_get_service_locked(registry, entry->name);
		if (!entry->runtime)
			return false;
	}
	return true;
}

/* Takes over what a configuration states about its services. */
static void apply_services(struct pd_catalog *catalog)
{
	for (size_t i = 0; i < catalog->service_count; i++) {
		struct pd_catalog_service *entry = &catalog->services[i];

		entry->runtime->max_connections = entry->max_connections;
		entry->runtime->cold_per_s = entry->cold_per_s;
		entry->runtime->gathered = false;
	}
}

bool pd_registry_install(struct pd_registry *registry, struct pd_catalog *catalog)
{
	struct pd_catalog *old;

	pthread_mutex_lock(&registry->lock);
	old = registry->catalog;
	if (old && old->version >= catalog->version) {
		if (old->version > catalog->version)
			pd_log(PD_LOG_WARNING, "config_ignored",
			       "version=%" PRIu64 " in_force=%" PRIu64 " reason=older",
			       catalog->version, old->version);
		pthread_mutex_unlock(&registry->lock);
		pd_catalog_release(catalog);
		return false;
	}
	if (!connect_services(registry, catalog)) {
		pd_log(PD_LOG_ERROR, "config_ignored", "version=%" PRIu64 " reason=no_memory",
		       catalog->version);
		pthread_mutex_unlock(&registry->lock);
		pd_catalog_release(catalog);
		return false;
	}
	apply_services(catalog);
	for (size_t i = 0; i < catalog->route_count; i++)
		randomize_start(registry, &catalog->routes[i]);
	mark_gathered(catalog);
	registry->catalog = catalog;
	pthread_mutex_unlock(&registry->lock);
	pd_log(PD_LOG_INFO, "config_in_force",
	       "version=%" PRIu64 " before=%" PRIu64 " routes=%zu services=%zu age_ms=%" PRId64,
	       catalog->version, old ? old->version : 0, catalog->route_count,
	       catalog->service_count, pd_catalog_age_ms(catalog));
	pd_count_set(PD_COUNT_config_version, catalog->version);
	pd_catalog_release(old);
	return true;
}

struct pd_catalog *pd_registry_catalog(struct pd_registry *registry)
{
	struct pd_catalog *catalog;

	pthread_mutex_lock(&registry->lock);
	catalog = pd_catalog_acquire(registry->catalog);
	pthread_mutex_unlock(&registry->lock);
	return catalog;
}

uint32_t pd_registry_next_target(struct pd_registry *registry, struct pd_route *route)
{
	uint32_t target;

	if (route->target_count < 2)
		return 0;
	pthread_mutex_lock(&registry->lock);
	target = choose_target(route);
	pthread_mutex_unlock(&registry->lock);
	return target;
}
