/**
 * DOC: Exchange between instances: the list of instances
 */
#include <stdlib.h>
#include <string.h>

#include "cluster_private.h"
#include "log.h"

/* Initial capacity of a list of instances. */
#define LIST_CAPACITY 64

void pd_cluster_list_begin(const struct pd_cluster *cluster, struct pd_cluster_list *list)
{
	memset(list, 0, sizeof(*list));
	list->zones[0] = cluster->zone;
	list->zone_count = 1;
}

/* Returns the index of a zone, which is added if it is new; PD_CLUSTER_ZONES_MAX if there are too
 * many.
 */
static size_t find_zone(struct pd_cluster_list *list, const struct pd_name *zone)
{
	size_t i = 0;

	while (i < list->zone_count && !pd_name_equal(&list->zones[i], zone))
		i++;
	if (i == list->zone_count && i < PD_CLUSTER_ZONES_MAX)
		list->zones[list->zone_count++] = *zone;
	return i;
}

void pd_cluster_list_add(struct pd_cluster_list *list, const struct pd_name *name,
			 const struct pd_name *zone, const struct pd_address *address,
			 double cpu_share)
{
	struct pd_cluster_instance instance = {
		.name_hash = pd_str_hash(pd_name_str(name), 0),
		.zone = (uint32_t)find_zone(list, zone),
		.cpu_share = (float)cpu_share,
	};

	if (instance.zone == PD_CLUSTER_ZONES_MAX ||
	    !pd_cluster_to_sockaddr(address, &instance.address))
		return;
	if (list->count == list->capacity) {
		size_t capacity = list->capacity ? 2 * list->capacity : LIST_CAPACITY;
		struct pd_cluster_instance *instances =
			reallocarray(list->instances, capacity, sizeof(*instances));

		if (!instances) {
			pd_log(PD_LOG_ERROR, "instance_not_kept", "instance=%s reason=no_memory",
			       name->text);
			return;
		}
		list->instances = instances;
		list->capacity = capacity;
	}
	list->instances[list->count++] = instance;
}

void pd_cluster_list_use(struct pd_cluster *cluster, struct pd_cluster_list *list)
{
	pthread_mutex_lock(&cluster->lock);
	free(cluster->instances);
	cluster->instances = list->instances;
	cluster->instance_count = list->count;
	memcpy(cluster->zones, list->zones, sizeof(cluster->zones));
	cluster->zone_count = list->zone_count;
	pthread_mutex_unlock(&cluster->lock);
	memset(list, 0, sizeof(*list));
}

void pd_cluster_list_discard(struct pd_cluster_list *list)
{
	free(list->instances);
	memset(list, 0, sizeof(*list));
}

size_t pd_cluster_zone_instances(struct pd_cluster *cluster, double cpu_share_min,
				 struct pd_cluster_instance *instances, size_t max)
{
	size_t count = 0;

	pthread_mutex_lock(&cluster->lock);
	for (size_t i = 0; i < cluster->instance_count && count < max; i++) {
		if (!cluster->instances[i].zone && cluster->instances[i].cpu_share >= cpu_share_min)
			instances[count++] = cluster->instances[i];
	}
	pthread_mutex_unlock(&cluster->lock);
	return count;
}
