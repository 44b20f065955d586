#include "registry.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "os.h"
#include "pool.h"
#include "registry_private.h"
#include "removed.h"

/* Shares of the allowed retry ratio and slack that the instances use together. The rest is a margin
 * for instances that count a request in a later time window than its attempts. */
#define RETRY_RATIO_SHARE 0.85
#define RETRY_SLACK_SHARE 0.7
/* Share of this instance until the list of instances has been read, as if there were 64 instances.
 */
#define DEFAULT_SHARE	   (1.0 / 64)
#define RETRY_CAPACITY_MIN 1.0
/* Name of pd_registry.relays in log lines. */
#define RELAYS_NAME ".relays"

static double retry_capacity(const struct pd_registry *registry)
{
	double capacity = registry->options.retry_slack * RETRY_SLACK_SHARE * registry->share;

	return capacity < RETRY_CAPACITY_MIN ? RETRY_CAPACITY_MIN : capacity;
}

static void init_service(struct pd_registry *registry, struct pd_service *service,
			 const struct pd_name *name)
{
	service->name = *name;
	service->registry = registry;
	pd_budget_init(&service->budget, registry->options.retry_ratio * RETRY_RATIO_SHARE,
		       retry_capacity(registry));
}

void pd_registry_init(struct pd_registry *registry, const struct pd_registry_options *options)
{
	struct pd_name name;

	memset(registry, 0, sizeof(*registry));
	pthread_mutex_init(&registry->lock, NULL);
	registry->options = *options;
	registry->share = DEFAULT_SHARE;
	registry->random_state = pd_os_random_seed();
	pd_name_set(&name, PD_STR(RELAYS_NAME));
	init_service(registry, &registry->relays, &name);
	registry->relays.internal = true;
}

static void free_upstream(struct pd_upstream *upstream)
{
	pd_pool_close_idle_locked(upstream);
	free(upstream->id_text);
	free(upstream);
}

static void free_upstreams(struct pd_upstream **table)
{
	struct pd_upstream *upstream = *table, *next;

	/* HASH_CLEAR() frees only the table; its elements stay linked. */
	HASH_CLEAR(hh, *table);
	for (; upstream; upstream = next) {
		next = upstream->hh.next;
		free_upstream(upstream);
	}
}

void pd_registry_finish(struct pd_registry *registry)
{
	struct pd_service *service = registry->services, *next_service;
	struct pd_zone *zone = registry->zones, *next_zone;
	struct pd_route_stats *stats = registry->routes, *next_stats;

	free_upstreams(&registry->upstreams);
	free_upstreams(&registry->relay_upstreams);
	/* HASH_CLEAR() frees only the table; its elements stay linked and are freed below. */
	HASH_CLEAR(hh, registry->services);
	HASH_CLEAR(hh, registry->zones);
	HASH_CLEAR(hh, registry->routes);
	for (; service; service = next_service) {
		next_service = service->hh.next;
		pd_rollout_evidence_finish(&service->rollout.evidence);
		free(service);
	}
	for (; zone; zone = next_zone) {
		next_zone = zone->hh.next;
		free(zone);
	}
	pd_removed_finish(&registry->removed);
	for (; stats; stats = next_stats) {
		next_stats = stats->hh.next;
		free(stats);
	}
	free(registry->instances);
	pd_catalog_release(registry->catalog);
	registry->catalog = NULL;
	pthread_mutex_destroy(&registry->lock);
}

void pd_registry_unref_locked(struct pd_upstream *upstream)
{
	if (--upstream->references == 0 && upstream->removed)
		free_upstream(upstream);
}

void pd_registry_unref(struct pd_registry *registry, struct pd_upstream *upstream)
{
	pthread_mutex_lock(&registry->lock);
	pd_registry_unref_locked(upstream);
	pthread_mutex_unlock(&registry->lock);
}

static struct pd_zone *get_zone(struct pd_registry *registry, const struct pd_name *name)
{
	struct pd_zone *zone;

	HASH_FIND(hh, registry->zones, name->text, name->len, zone);
	if (zone)
		return zone;
	zone = calloc(1, sizeof(*zone));
	if (!zone) {
		pd_log(PD_LOG_ERROR, "zone_not_kept", "zone=%s reason=no_memory", name->text);
		return NULL;
	}
	zone->name = *name;
	zone->last_received_us = pd_os_boot_us();
	/* New upstreams have overdue_period 0: not yet counted as overdue in period 1. */
	zone->silence_period = 1;
	HASH_ADD_KEYPTR(hh, registry->zones, zone->name.text, zone->name.len, zone);
	return zone;
}

struct pd_service *pd_registry_get_service_locked(struct pd_registry *registry, struct pd_str name)
{
	struct pd_service *service;
	struct pd_name key;

	if (!pd_name_set_any(&key, name))
		return NULL;
	HASH_FIND(hh, registry->services, key.text, key.len, service);
	if (service)
		return service;
	service = calloc(1, sizeof(*service));
	if (!service) {
		pd_log(PD_LOG_ERROR, "service_not_kept", "service=%s reason=no_memory", key.text);
		return NULL;
	}
	init_service(registry, service, &key);
	HASH_ADD_KEYPTR(hh, registry->services, service->name.text, service->name.len, service);
	return service;
}

/* Whether a text can be the value of a header field as it is. */
static bool is_field_value(struct pd_str s)
{
	if (!s.len || s.data[0] == ' ' || s.data[s.len - 1] == ' ')
		return false;
	for (size_t i = 0; i < s.len; i++) {
		if ((unsigned char)s.data[i] < ' ' || s.data[i] == '\x7f')
			return false;
	}
	return true;
}

bool pd_upstream_entry_set_id(struct pd_upstream_entry *entry, struct pd_str id)
{
	if (id.len > PD_UPSTREAM_ID_MAX_BYTES || !is_field_value(id) ||
	    !pd_name_set_any(&entry->id, id))
		return false;
	entry->id_text = pd_str_equal(pd_name_str(&entry->id), id) ? (struct pd_str){0} : id;
	return true;
}

struct pd_str pd_upstream_id(const struct pd_upstream *upstream)
{
	return upstream->id_text ? pd_str_from(upstream->id_text) : pd_name_str(&upstream->id);
}

/* Sets the share in retry budgets and connection limits. */
static void set_share_locked(struct pd_registry *registry, double share)
{
	struct pd_service *service, *next;

	if (share == registry->share)
		return;
	pd_log(PD_LOG_INFO, "share_known", "before=%.4f now=%.4f", registry->share, share);
	registry->share = share;
	pd_budget_resize(&registry->relays.budget,
			 registry->options.retry_ratio * RETRY_RATIO_SHARE,
			 retry_capacity(registry));
	HASH_ITER(hh, registry->services, service, next)
	{
		pd_budget_resize(&service->budget,
				 registry->options.retry_ratio * RETRY_RATIO_SHARE,
				 retry_capacity(registry));
	}
}

/* Whether @instances differ from those that are known. */
static bool instances_differ(const struct pd_registry *registry,
			     const struct pd_instance_load *instances, size_t count)
{
	if (count != registry->instance_count)
		return true;
	for (size_t i = 0; i < count; i++) {
		if (instances[i].hash != registry->instances[i].hash ||
		    instances[i].load != registry->instances[i].load)
			return true;
	}
	return false;
}

static void set_instances_locked(struct pd_registry *registry,
				 const struct pd_instance_load *instances, size_t count)
{
	struct pd_instance_load *copy = calloc(count, sizeof(*copy));
	double sum = 0;

	if (!copy) {
		pd_log(PD_LOG_ERROR, "instances_not_kept", "reason=no_memory count=%zu", count);
		return;
	}
	memcpy(copy, instances, count * sizeof(*copy));
	free(registry->instances);
	registry->instances = copy;
	registry->instance_count = count;
	for (size_t i = 0; i < count; i++)
		sum += instances[i].load;
	if (sum > 0)
		set_share_locked(registry, instances[0].load / sum);
	pd_permit_update_shares_locked(registry);
}

void pd_registry_set_instances(struct pd_registry *registry,
			       const struct pd_instance_load *instances, size_t count)
{
	pthread_mutex_lock(&registry->lock);
	if (instances_differ(registry, instances, count))
		set_instances_locked(registry, instances, count);
	pthread_mutex_unlock(&registry->lock);
}

struct pd_service *pd_registry_service(struct pd_registry *registry, struct pd_str name)
{
	struct pd_service *service;

	pthread_mutex_lock(&registry->lock);
	service = pd_registry_get_service_locked(registry, name);
	pthread_mutex_unlock(&registry->lock);
	return service;
}

void pd_registry_set_other_zones_unreachable(struct pd_registry *registry,
					     const struct pd_name *own_zone)
{
	struct pd_zone *zone, *next;

	pthread_mutex_lock(&registry->lock);
	HASH_ITER(hh, registry->zones, zone, next)
	{
		if (zone->unreachable || pd_name_equal(&zone->name, own_zone))
			continue;
		zone->unreachable = true;
		pd_log(PD_LOG_WARNING, "zone_unreachable", "zone=%s reason=relay_is_isolated",
		       zone->name.text);
	}
	pthread_mutex_unlock(&registry->lock);
}

static void unlink_from_service(struct pd_upstream *upstream)
{
	struct pd_upstream **link = &upstream->service->upstreams;

	while (*link && *link != upstream)
		link = &(*link)->next;
	if (*link) {
		*link = upstream->next;
		upstream->service->upstream_count--;
	}
}

/* Takes an upstream out of its table and its service. */
static void unlink_locked(struct pd_upstream **table, struct pd_upstream *upstream,
			  const char *reason)
{
	pd_log(PD_LOG_INFO, "upstream_removed", "upstream=%s service=%s address=%s reason=%s",
	       upstream->id.text, upstream->service->name.text, upstream->address_text, reason);
	/* False positive of the analyzer: it assumes that HASH_DEL() frees the table although the
	 * table still holds other elements. */
	HASH_DEL(*table, upstream); /* NOLINT(clang-analyzer-*) */
	unlink_from_service(upstream);
	pd_version_update_locked(upstream->service);
	upstream->removed = true;
	pd_pool_close_idle_locked(upstream);
	if (!upstream->references)
		free_upstream(upstream);
}

static void remove_locked(struct pd_registry *registry, struct pd_upstream *upstream,
			  struct pd_revision at, const char *reason)
{
	pd_removed_add(&registry->removed, upstream, at);
	unlink_locked(&registry->upstreams, upstream, reason);
}

/* Removes an upstream, or marks its removal as pending while removals are held. */
static void request_removal_locked(struct pd_registry *registry, struct pd_upstream *upstream,
				   struct pd_revision at, const char *reason)
{
	if (!registry->hold_removals) {
		remove_locked(registry, upstream, at, reason);
		return;
	}
	if (!upstream->remove_pending)
		pd_log(PD_LOG_INFO, "upstream_removal_held", "upstream=%s reason=%s",
		       upstream->id.text, reason);
	upstream->remove_pending = true;
	upstream->removed_at = at;
}

static void log_added(const struct pd_upstream *upstream, const struct pd_upstream_entry *entry)
{
	char quoted[PD_LOG_QUOTE_MAX_BYTES];

	pd_log(PD_LOG_INFO, "upstream_added",
	       "upstream=%s service=%s zone=%s address=%s slots=%" PRIu32 " cold_ms=%" PRId64
	       " draining=%d version=%s",
	       upstream->id.text, upstream->service->name.text, upstream->zone->name.text,
	       upstream->address_text, entry->slots, entry->cold_ms, entry->draining,
	       entry->version.len ? entry->version.text : "-");
	if (upstream->id_text)
		pd_log(PD_LOG_INFO, "upstream_id", "upstream=%s id=%s", upstream->id.text,
		       pd_log_quote(pd_upstream_id(upstream), quoted));
}

static struct pd_upstream *add_upstream(struct pd_registry *registry, struct pd_upstream **table,
					struct pd_service *service,
					const struct pd_upstream_entry *entry)
{
	struct pd_zone *zone = get_zone(registry, &entry->zone);
	struct pd_upstream *upstream = calloc(1, sizeof(*upstream));
	const struct pd_str *id_text = &entry->id_text;

	if (upstream && id_text->len)
		upstream->id_text = strndup(id_text->data, id_text->len);
	if (!service || !zone || !upstream || (id_text->len && !upstream->id_text)) {
		pd_log(PD_LOG_ERROR, "upstream_not_kept", "upstream=%s reason=no_memory",
		       entry->id.text);
		if (upstream)
			free(upstream->id_text);
		free(upstream);
		return NULL;
	}
	upstream->id = entry->id;
	upstream->service = service;
	upstream->zone = zone;
	upstream->address = entry->address.in;
	memcpy(upstream->address_text, entry->address.text, sizeof(upstream->address_text));
	upstream->started_unix_ms = entry->started_unix_ms;
	upstream->version = entry->version;
	upstream->added_us = pd_os_boot_us();
	upstream->latency_ratio = 1;
	upstream->terms.limit_changed_us = pd_os_boot_us();
	if (!service->internal)
		pd_removed_restore_terms(registry->removed, entry, &upstream->terms);
	upstream->next = service->upstreams;
	service->upstreams = upstream;
	service->upstream_count++;
	pd_version_update_locked(service);
	HASH_ADD_KEYPTR(hh, *table, upstream->id.text, upstream->id.len, upstream);
	log_added(upstream, entry);
	return upstream;
}

static bool same_incarnation(const struct pd_upstream *upstream,
			     const struct pd_upstream_entry *entry)
{
	return upstream->started_unix_ms == entry->started_unix_ms &&
	       upstream->address.sin_addr.s_addr == entry->address.in.sin_addr.s_addr &&
	       upstream->address.sin_port == entry->address.in.sin_port &&
	       pd_name_equal(&upstream->service->name, &entry->service) &&
	       pd_name_equal(&upstream->zone->name, &entry->zone);
}

/* Sets all of @entry but its id_text, which the caller sets if it has a text that lives as long. */
static void export_upstream(const struct pd_upstream *upstream, struct pd_upstream_entry *entry)
{
	int64_t cold_us = upstream->cold_until_us - pd_os_boot_us();

	memset(entry, 0, sizeof(*entry));
	entry->id = upstream->id;
	entry->service = upstream->service->name;
	entry->zone = upstream->zone->name;
	entry->address.in = upstream->address;
	memcpy(entry->address.text, upstream->address_text, sizeof(entry->address.text));
	entry->draining = upstream->draining;
	entry->slots = upstream->slots;
	entry->cold_ms = cold_us > 0 ? cold_us / PD_USEC_PER_MSEC : 0;
	entry->started_unix_ms = upstream->started_unix_ms;
	entry->sequence = upstream->sequence;
	entry->revision = upstream->revision;
	entry->version = upstream->version;
	entry->has_limit = pd_permit_passes_limit_on_locked(upstream, pd_os_boot_us());
	entry->limit_per_s = entry->has_limit ? upstream->terms.rate_limit.limit_per_s : 0;
}

static void set_draining(struct pd_upstream *upstream, bool draining)
{
	pd_log(PD_LOG_INFO, "upstream_state", "upstream=%s service=%s draining=%d",
	       upstream->id.text, upstream->service->name.text, draining);
	upstream->draining = draining;
	if (draining)
		pd_pool_close_idle_locked(upstream);
}

static void update_upstream(struct pd_upstream *upstream, const struct pd_upstream_entry *entry)
{
	if (upstream->draining != entry->draining)
		set_draining(upstream, entry->draining);
	upstream->slots = entry->slots;
	upstream->sequence = entry->sequence;
	if (!pd_name_equal(&upstream->version, &entry->version)) {
		upstream->version = entry->version;
		pd_version_update_locked(upstream->service);
	}
	if (!pd_revision_is_before(entry->revision, upstream->revision))
		upstream->revision = entry->revision;
	upstream->replaced = false;
	upstream->cold_until_us =
		entry->cold_ms > 0 ? pd_os_boot_us() + entry->cold_ms * PD_USEC_PER_MSEC : 0;
}

/* Ignores an entry that is older than the known one, which takes its place in @entry. */
static void ignore_older(const struct pd_upstream *upstream, struct pd_upstream_entry *entry)
{
	struct pd_str id_text = entry->id_text;

	pd_log(PD_LOG_INFO, "upstream_entry_older",
	       "upstream=%s sequence=%" PRIu64 " known=%" PRIu64, upstream->id.text,
	       entry->sequence, upstream->sequence);
	export_upstream(upstream, entry);
	entry->id_text = id_text;
}

/* Whether an entry was written before the known one, or before the removal that is pending. */
static bool is_older(const struct pd_upstream *upstream, const struct pd_upstream_entry *entry)
{
	if (pd_upstream_entry_is_older(entry, upstream->started_unix_ms, upstream->sequence))
		return true;
	if (pd_revision_is_known(entry->revision) &&
	    entry->revision.era == upstream->revision.era &&
	    entry->revision.number < upstream->revision.number)
		return true;
	return upstream->remove_pending && pd_revision_is_known(entry->revision) &&
	       entry->revision.era == upstream->removed_at.era &&
	       entry->revision.number <= upstream->removed_at.number;
}

static bool put_locked(struct pd_registry *registry, struct pd_upstream_entry *entry, bool outdated)
{
	struct pd_upstream *upstream;

	HASH_FIND(hh, registry->upstreams, entry->id.text, entry->id.len, upstream);
	if (upstream && is_older(upstream, entry)) {
		ignore_older(upstream, entry);
		upstream->put_list = registry->last_list;
		return true;
	}
	if (!upstream && (outdated || pd_removed_has(registry->removed, entry, pd_os_boot_us()))) {
		pd_log(PD_LOG_INFO, "upstream_entry_older",
		       "upstream=%s sequence=%" PRIu64 " revision=%" PRIu64 " reason=removed",
		       entry->id.text, entry->sequence, entry->revision.number);
		return false;
	}
	if (upstream && !same_incarnation(upstream, entry)) {
		remove_locked(registry, upstream, entry->revision, "new_incarnation");
		upstream = NULL;
	}
	if (!upstream)
		upstream = add_upstream(
			registry, &registry->upstreams,
			pd_registry_get_service_locked(registry, pd_name_str(&entry->service)),
			entry);
	if (!upstream)
		return true;
	update_upstream(upstream, entry);
	if (entry->has_limit && !upstream->terms.answered)
		pd_permit_inherit_limit_locked(registry, upstream, entry->limit_per_s,
					       pd_os_boot_us());
	upstream->put_list = registry->last_list;
	upstream->remove_pending = false;
	return true;
}

bool pd_registry_put(struct pd_registry *registry, struct pd_upstream_entry *entry, bool outdated)
{
	bool known;

	pthread_mutex_lock(&registry->lock);
	known = put_locked(registry, entry, outdated);
	pthread_mutex_unlock(&registry->lock);
	return known;
}

void pd_registry_put_relay(struct pd_registry *registry, const struct pd_upstream_entry *entry)
{
	struct pd_upstream_entry own = *entry;
	struct pd_upstream *relay;

	own.service = registry->relays.name;
	pthread_mutex_lock(&registry->lock);
	HASH_FIND(hh, registry->relay_upstreams, own.id.text, own.id.len, relay);
	if (relay && !same_incarnation(relay, &own)) {
		unlink_locked(&registry->relay_upstreams, relay, "new_incarnation");
		relay = NULL;
	}
	if (!relay)
		relay = add_upstream(registry, &registry->relay_upstreams, &registry->relays, &own);
	if (relay)
		update_upstream(relay, &own);
	pthread_mutex_unlock(&registry->lock);
}

/* Finds an upstream by its id as it is in the store. */
static struct pd_upstream *find_locked(struct pd_registry *registry, struct pd_str id)
{
	struct pd_upstream *upstream = NULL;
	struct pd_name key;

	if (pd_name_set_any(&key, id))
		HASH_FIND(hh, registry->upstreams, key.text, key.len, upstream);
	return upstream;
}

bool pd_registry_keep(struct pd_registry *registry, struct pd_str id, bool draining,
		      struct pd_upstream_entry *entry)
{
	struct pd_upstream *upstream;

	pthread_mutex_lock(&registry->lock);
	upstream = find_locked(registry, id);
	if (upstream) {
		export_upstream(upstream, entry);
		pd_upstream_entry_set_id(entry, id);
		entry->draining = entry->draining || draining;
		if (entry->draining != upstream->draining)
			set_draining(upstream, entry->draining);
		upstream->put_list = registry->last_list;
	}
	pthread_mutex_unlock(&registry->lock);
	return upstream != NULL;
}

void pd_registry_remove(struct pd_registry *registry, struct pd_str id, struct pd_revision at,
			const char *reason)
{
	struct pd_upstream *upstream;

	pthread_mutex_lock(&registry->lock);
	upstream = find_locked(registry, id);
	if (upstream && !pd_revision_is_before(at, upstream->revision))
		request_removal_locked(registry, upstream, at, reason);
	else if (upstream)
		pd_log(PD_LOG_INFO, "upstream_removal_older",
		       "upstream=%s revision=%" PRIu64 " known=%" PRIu64, upstream->id.text,
		       at.number, upstream->revision.number);
	pthread_mutex_unlock(&registry->lock);
}

uint64_t pd_registry_list_begin(struct pd_registry *registry)
{
	uint64_t list;

	pthread_mutex_lock(&registry->lock);
	list = ++registry->last_list;
	pthread_mutex_unlock(&registry->lock);
	return list;
}

/* Removes the upstreams that weren't put since @list began, but for those whose entries are newer
 * than @at; returns the number of those.
 */
static size_t remove_unlisted_locked(struct pd_registry *registry, uint64_t list,
				     struct pd_revision at)
{
	struct pd_upstream *upstream, *next;
	size_t kept = 0;

	HASH_ITER(hh, registry->upstreams, upstream, next)
	{
		if (upstream->put_list >= list)
			continue;
		if (pd_revision_is_before(at, upstream->revision))
			kept++;
		else
			request_removal_locked(registry, upstream, at, "not_listed");
	}
	return kept;
}

void pd_registry_list_end(struct pd_registry *registry, uint64_t list, struct pd_revision at)
{
	size_t kept;

	pthread_mutex_lock(&registry->lock);
	kept = remove_unlisted_locked(registry, list, at);
	registry->list_complete = true;
	pthread_mutex_unlock(&registry->lock);
	if (kept)
		pd_log(PD_LOG_INFO, "upstreams_kept",
		       "count=%zu revision=%" PRIu64 " reason=newer_than_list", kept, at.number);
}

void pd_registry_advance(struct pd_registry *registry, uint64_t list, struct pd_revision at)
{
	pthread_mutex_lock(&registry->lock);
	remove_unlisted_locked(registry, list, at);
	pthread_mutex_unlock(&registry->lock);
}

/* Exports an entry with its id_text, which is copied to @text; returns the end of that. */
static char *export_with_text(const struct pd_upstream *upstream, struct pd_upstream_entry *entry,
			      char *text)
{
	size_t len = upstream->id_text ? strlen(upstream->id_text) : 0;

	export_upstream(upstream, entry);
	if (!len)
		return text;
	memcpy(text, upstream->id_text, len);
	entry->id_text = (struct pd_str){text, len};
	return text + len;
}

static size_t id_texts_size_locked(const struct pd_registry *registry)
{
	size_t size = 0;

	for (const struct pd_upstream *u = registry->upstreams; u; u = u->hh.next)
		size += u->id_text ? strlen(u->id_text) : 0;
	return size;
}

bool pd_registry_export(struct pd_registry *registry, struct pd_upstream_entry **entries,
			size_t *count)
{
	size_t capacity;
	char *text;

	struct pd_upstream *upstream, *next;
	bool complete;

	*count = 0;
	pthread_mutex_lock(&registry->lock);
	complete = registry->list_complete;
	capacity = HASH_COUNT(registry->upstreams) + 1;
	/* The texts of the ids follow the entries. */
	*entries = calloc(1, capacity * sizeof(**entries) + id_texts_size_locked(registry));
	if (*entries && complete) {
		text = (char *)(*entries + capacity);
		HASH_ITER(hh, registry->upstreams, upstream, next)
		{
			if (!upstream->remove_pending)
				text = export_with_text(upstream, &(*entries)[(*count)++], text);
		}
	}
	pthread_mutex_unlock(&registry->lock);
	if (*entries && complete)
		return true;
	free(*entries);
	*entries = NULL;
	return false;
}

void pd_registry_hold_removals(struct pd_registry *registry)
{
	pthread_mutex_lock(&registry->lock);
	registry->hold_removals = true;
	pthread_mutex_unlock(&registry->lock);
}

void pd_registry_release_removals(struct pd_registry *registry)
{
	pthread_mutex_lock(&registry->lock);
	registry->hold_removals = false;
	pthread_mutex_unlock(&registry->lock);
}

void pd_registry_apply_removals(struct pd_registry *registry)
{
	struct pd_upstream *upstream, *next;
	struct pd_service *service;

	pthread_mutex_lock(&registry->lock);
	pd_removed_expire(&registry->removed, pd_os_boot_us());
	HASH_ITER(hh, registry->upstreams, upstream, next)
	{
		if (upstream->remove_pending && !registry->hold_removals)
			remove_locked(registry, upstream, upstream->removed_at,
				      "not_back_after_outage");
	}
	for (service = registry->services; service; service = service->hh.next) {
		if (service->rollout.missing_since_us)
			pd_version_update_locked(service);
	}
	pthread_mutex_unlock(&registry->lock);
}

static bool contains_zone(const struct pd_name *zones, size_t count, const struct pd_name *zone)
{
	for (size_t i = 0; i < count; i++) {
		if (pd_name_equal(&zones[i], zone))
			return true;
	}
	return false;
}

void pd_registry_set_evacuated(struct pd_registry *registry, const struct pd_name *zones,
			       size_t count)
{
	struct pd_zone *zone, *next;

	pthread_mutex_lock(&registry->lock);
	for (size_t i = 0; i < count; i++)
		get_zone(registry, &zones[i]);
	HASH_ITER(hh, registry->zones, zone, next)
	{
		bool evacuated = contains_zone(zones, count, &zone->name);

		if (zone->evacuated != evacuated)
			pd_log(PD_LOG_INFO, "zone_evacuation", "zone=%s evacuated=%d",
			       zone->name.text, evacuated);
		zone->evacuated = evacuated;
	}
	pthread_mutex_unlock(&registry->lock);
}

uint64_t pd_registry_random_locked(struct pd_registry *registry)
{
	/* SplitMix64 */
	uint64_t z = (registry->random_state += 0x9e3779b97f4a7c15ULL);

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}
