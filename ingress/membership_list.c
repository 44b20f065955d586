/**
 * DOC: Membership: the list of instances in the store, and this instance's entry in it
 */
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "membership_private.h"
#include "relay.h"

/* Number of instances for which a list has room at first. */
#define LISTING_CAPACITY 64

bool pd_membership_ranks_before(const struct pd_name *a, const struct pd_name *b)
{
	uint64_t left = pd_str_hash(pd_name_str(a), 0), right = pd_str_hash(pd_name_str(b), 0);

	if (left != right)
		return left < right;
	return pd_str_compare(pd_name_str(a), pd_name_str(b)) < 0;
}

/* Returns the source with that name; NULL if it isn't in the list. */
static const struct pd_source *find_source(const struct pd_source *sources, size_t count,
					   const struct pd_name *name)
{
	for (size_t i = 0; i < count; i++) {
		if (pd_name_equal(&sources[i].entry.name, name))
			return &sources[i];
	}
	return NULL;
}

void pd_membership_add_source(struct pd_membership *membership,
			      const struct pd_instance_entry *entry,
			      const struct pd_source *previous)
{
	size_t at = membership->source_count;

	if (!pd_name_equal(&entry->zone, &membership->self.zone) ||
	    !pd_membership_ranks_before(&entry->name, &membership->self.name))
		return;
	if (at == PD_MEMBERSHIP_SOURCES_MAX) {
		if (!pd_membership_ranks_before(&entry->name,
						&membership->sources[at - 1].entry.name))
			return;
		at--;
		membership->source_count--;
	}
	for (; at > 0 &&
	       pd_membership_ranks_before(&entry->name, &membership->sources[at - 1].entry.name);
	     at--)
		membership->sources[at] = membership->sources[at - 1];
	membership->sources[at] = (struct pd_source){.entry = *entry};
	if (previous) {
		membership->sources[at].next_retry_us = previous->next_retry_us;
		membership->sources[at].unreached = previous->unreached;
	}
	membership->source_count++;
}

/* Rendezvous hashing: the relays with the lowest scores are used, and each instance computes other
 * scores.
 */
static uint64_t relay_score(const struct pd_membership *membership,
			    const struct pd_instance_entry *entry)
{
	return pd_str_hash(pd_name_str(&entry->name),
			   pd_str_hash(pd_name_str(&membership->self.name), 0));
}

void pd_membership_add_relay(struct pd_membership *membership,
			     const struct pd_instance_entry *entry)
{
	size_t worst = 0;

	if (!pd_name_equal(&entry->zone, &membership->self.zone) ||
	    !pd_relay_is_larger(membership->self.cpu_share, entry->cpu_share))
		return;
	if (membership->relay_count < PD_MEMBERSHIP_RELAYS_MAX) {
		membership->relays[membership->relay_count++] = *entry;
		return;
	}
	for (size_t i = 1; i < membership->relay_count; i++) {
		if (relay_score(membership, &membership->relays[i]) >
		    relay_score(membership, &membership->relays[worst]))
			worst = i;
	}
	if (relay_score(membership, entry) < relay_score(membership, &membership->relays[worst]))
		membership->relays[worst] = *entry;
}

/* Load of an instance relative to others. It grows faster than the processor share, because larger
 * instances also serve gathered requests that smaller ones relay to them.
 */
static double load_weight(const struct pd_instance_entry *entry)
{
	return entry->cpu_share * entry->cpu_share;
}

/**
 * struct listing - state while the instances are listed
 * @previous: sources from the previous list, with their retry times
 * @previous_count: number of entries in @previous
 * @has_own_entry: an entry with the name of this instance is listed
 * @instances: all instances, this one first
 * @instance_count: number of entries in @instances
 * @capacity: number of entries for which @instances has room
 * @failed: memory ran out, so that instances are missing in @instances
 * @cluster: the other instances, for &pd_membership.cluster
 */
struct listing {
	struct pd_source previous[PD_MEMBERSHIP_SOURCES_MAX];
	size_t previous_count;
	bool has_own_entry;
	struct pd_instance_load *instances;
	size_t instance_count;
	size_t capacity;
	bool failed;
	struct pd_cluster_list cluster;
};

static void add_instance(struct listing *listing, const struct pd_instance_entry *entry)
{
	if (listing->instance_count == listing->capacity) {
		size_t capacity = listing->capacity ? 2 * listing->capacity : LISTING_CAPACITY;
		struct pd_instance_load *instances =
			reallocarray(listing->instances, capacity, sizeof(*instances));

		if (!instances) {
			listing->failed = true;
			return;
		}
		listing->instances = instances;
		listing->capacity = capacity;
	}
	listing->instances[listing->instance_count++] = (struct pd_instance_load){
		.hash = pd_str_hash(pd_name_str(&entry->name), 0), .load = load_weight(entry)};
}

static bool is_own_entry(const struct pd_membership *membership,
			 const struct pd_instance_entry *entry)
{
	return entry->address.port == membership->self.address.port &&
	       !strcmp(entry->address.ip, membership->self.address.ip);
}

/* Updates the sources, the relays and the registration state from one page of instances. */
static void process_page(struct pd_membership *membership, const struct pd_object_page *page,
			 struct listing *listing)
{
	struct pd_instance_entry entry;
	struct pd_object object;

	for (size_t i = 0; i < pd_object_page_count(page); i++) {
		if (!pd_object_page_get(page, i, &object) ||
		    !pd_object_read_instance(&object, &entry)) {
			pd_sync_report_unreadable(
				membership->sync, PD_OBJECT_INSTANCES, object.name,
				object.unreadable ? object.unreadable : "a field is invalid");
			continue;
		}
		if (pd_name_equal(&entry.name, &membership->self.name)) {
			listing->has_own_entry = true;
			membership->registered = is_own_entry(membership, &entry);
			membership->entry_outdated = !membership->registered;
			continue;
		}
		add_instance(listing, &entry);
		if (membership->cluster)
			pd_cluster_list_add(&listing->cluster, &entry.name, &entry.zone,
					    &entry.address, entry.cpu_share);
		pd_membership_add_relay(membership, &entry);
		pd_membership_add_source(
			membership, &entry,
			find_source(listing->previous, listing->previous_count, &entry.name));
	}
}

/* Forgets the registration if the store was restored since, and the list of the restored store
 * lacks this instance. Lists of the same history may be too old to have its entry.
 */
static void check_registration(struct pd_membership *membership, const struct listing *listing)
{
	if (listing->has_own_entry || membership->registered_era != membership->store.era) {
		membership->registered = membership->registered && listing->has_own_entry;
		membership->registered_era = membership->store.era;
	}
}

/* Applies a complete list: this instance's share of the load, and the relays. */
static void apply_listing(struct pd_membership *membership, struct listing *listing)
{
	struct pd_registry *registry = membership->directory->registry;

	pd_registry_set_instances(registry, listing->instances, listing->instance_count);
	pd_relay_set_instances(registry, membership->relays, membership->relay_count);
	if (membership->cluster)
		pd_cluster_list_use(membership->cluster, &listing->cluster);
}

enum pd_code pd_membership_list_instances(struct pd_membership *membership, struct pd_error *err)
{
	struct listing listing = {.previous_count = membership->source_count};
	struct pd_buf after = {0};
	bool first = true, more = true;
	enum pd_code code = PD_OK;

	add_instance(&listing, &membership->self);
	if (membership->cluster)
		pd_cluster_list_begin(membership->cluster, &listing.cluster);
	memcpy(listing.previous, membership->sources,
	       listing.previous_count * sizeof(listing.previous[0]));
	while (more) {
		struct pd_object_page page;

		code = pd_store_list(&membership->store, PD_OBJECT_INSTANCES, pd_buf_str(&after),
				     true, &page, err);
		if (code != PD_OK)
			break;
		pd_sync_report_era(membership->sync, membership->store.era, true);
		pd_sync_report_revision(membership->sync,
					(struct pd_revision){membership->store.era, page.revision});
		if (first) {
			membership->source_count = 0;
			membership->relay_count = 0;
		}
		first = false;
		process_page(membership, &page, &listing);
		more = page.has_more;
		if (more && !pd_object_page_last_name(&page, &after))
			code = pd_error_set(err, PD_LAYER_COORDINATION, PD_INVALID,
					    "no object of a page has a name");
		pd_object_page_finish(&page);
		if (code != PD_OK)
			break;
	}
	pd_buf_finish(&after);
	if (code == PD_OK && listing.failed)
		code = pd_error_set(err, PD_LAYER_COORDINATION, PD_NO_MEMORY,
				    "out of memory for the list of instances");
	if (code == PD_OK) {
		check_registration(membership, &listing);
		apply_listing(membership, &listing);
	}
	free(listing.instances);
	pd_cluster_list_discard(&listing.cluster);
	return code;
}

void pd_membership_register(struct pd_membership *membership)
{
	struct pd_str name = pd_name_str(&membership->self.name);
	json_t *spec = pd_object_write_instance(&membership->self);
	struct pd_error err;
	enum pd_code code;

	if (membership->entry_outdated)
		code = pd_store_replace(&membership->store, PD_OBJECT_INSTANCES, name, spec, &err);
	else
		code = pd_store_create(&membership->store, PD_OBJECT_INSTANCES, name, spec, &err);
	membership->registered = code == PD_OK;
	if (membership->registered)
		membership->registered_era = membership->store.era;
	membership->entry_outdated = code == PD_CONFLICT;
	if (code != PD_OK && code != PD_CONFLICT)
		pd_log_failure(PD_LOG_WARNING, "register_failed", &err);
}
