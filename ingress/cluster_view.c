/**
 * DOC: Exchange between instances: what an instance knows of the others
 */
#include <string.h>

#include "cluster_private.h"
#include "quota_exchange.h"

/* Removes the peers that weren't heard for @timeout_us. */
static void expire_peers(struct pd_cluster_peer *peers, size_t *count, int64_t timeout_us,
			 int64_t now_us)
{
	for (size_t i = *count; i > 0; i--) {
		if (now_us - peers[i - 1].heard_us > timeout_us)
			peers[i - 1] = peers[--*count];
	}
}

void pd_cluster_expire_locked(struct pd_cluster *cluster, int64_t now_us)
{
	expire_peers(cluster->heads, &cluster->head_count, PD_CLUSTER_HEAD_TIMEOUT_US, now_us);
	expire_peers(cluster->followers, &cluster->follower_count, PD_CLUSTER_FOLLOWER_TIMEOUT_US,
		     now_us);
}

/* Whether a head of the zone was heard lately. */
bool pd_cluster_hears_zone(const struct pd_cluster *cluster, const struct pd_name *zone)
{
	for (size_t i = 0; i < cluster->head_count; i++) {
		if (pd_name_equal(&cluster->heads[i].zone, zone))
			return true;
	}
	return false;
}

static size_t count_zone_instances(const struct pd_cluster *cluster)
{
	size_t count = 1;

	for (size_t i = 0; i < cluster->instance_count; i++)
		count += !cluster->instances[i].zone;
	return count;
}

/* Number of instances that follow this one, directly or through others. An instance stays with its
 * source when that begins to follow another one.
 */
static size_t count_followers(const struct pd_cluster *cluster)
{
	size_t count = cluster->follower_count;

	for (size_t i = 0; i < cluster->follower_count; i++)
		count += cluster->followers[i].followers;
	return count;
}

/* Whether a head was heard so lately that its zone's quotas needn't be divided. */
static bool shares_quota(const struct pd_cluster_peer *head, int64_t now_us)
{
	return now_us - head->heard_us <= PD_CLUSTER_QUOTA_TIMEOUT_US;
}

/* Returns the bit of a zone. Zones with the same bit are rare, and count as one. */
static uint64_t zone_bit(const struct pd_name *zone)
{
	return (uint64_t)1 << pd_str_hash(pd_name_str(zone), 0) % 64;
}

/* Fills in what quotas are divided by. */
static void fill_quota_view(const struct pd_cluster *cluster, struct pd_cluster_view *view,
			    int64_t now_us)
{
	bool heard[PD_CLUSTER_ZONES_MAX] = {true};
	uint64_t stated = 0, listed = 0;

	view->quota_zones = 1;
	view->quota_instances = 1;
	view->quota_covered = 1;
	for (size_t i = 0; i < cluster->follower_count; i++) {
		const struct pd_cluster_peer *follower = &cluster->followers[i];

		if (now_us - follower->heard_us <= PD_CLUSTER_QUOTA_FOLLOWER_TIMEOUT_US)
			view->quota_covered += 1 + follower->followers;
	}
	view->quota_followers = view->quota_covered - 1;
	view->links = (uint64_t)cluster->source.sin_addr.s_addr << 16 | cluster->source.sin_port;
	if (!cluster->has_source)
		view->links = 0;
	for (size_t i = 0; i < cluster->head_count; i++) {
		const struct pd_cluster_peer *head = &cluster->heads[i];

		if (!cluster->has_source)
			view->links ^= head->incarnation;
		if (!shares_quota(head, now_us))
			continue;
		view->quota_covered += 1 + head->followers;
		stated |= head->zone_bits;
		for (size_t z = 1; z < cluster->zone_count; z++) {
			if (heard[z] || !pd_name_equal(&head->zone, &cluster->zones[z]))
				continue;
			heard[z] = true;
			view->quota_zones++;
		}
	}
	for (size_t i = 0; i < cluster->instance_count; i++)
		view->quota_instances += heard[cluster->instances[i].zone];
	for (size_t z = 0; z < cluster->zone_count; z++) {
		listed |= zone_bit(&cluster->zones[z]);
		view->quota_zone_bits |= heard[z] ? zone_bit(&cluster->zones[z]) : 0;
	}
	view->quota_in_part = stated & listed & ~view->quota_zone_bits;
}

static void fill_view(const struct pd_cluster *cluster, struct pd_cluster_view *view,
		      int64_t now_us)
{
	memset(view, 0, sizeof(*view));
	view->is_head = !cluster->has_source;
	view->source_heard_us = cluster->source_heard_us;
	view->instance_count = cluster->instance_count + 1;
	view->zone_count = cluster->zone_count;
	view->zone_instances = count_zone_instances(cluster);
	view->followers = count_followers(cluster);
	view->zone_covered = 1 + view->followers;
	for (size_t i = 0; i < cluster->head_count; i++) {
		if (pd_name_equal(&cluster->heads[i].zone, &cluster->zone))
			view->zone_covered += 1 + cluster->heads[i].followers;
	}
	for (size_t i = 1; i < cluster->zone_count; i++)
		view->zones_heard += pd_cluster_hears_zone(cluster, &cluster->zones[i]);
	fill_quota_view(cluster, view, now_us);
}

void pd_cluster_view(struct pd_cluster *cluster, int64_t now_us, struct pd_cluster_view *view)
{
	pthread_mutex_lock(&cluster->lock);
	pd_cluster_expire_locked(cluster, now_us);
	fill_view(cluster, view, now_us);
	pthread_mutex_unlock(&cluster->lock);
}

bool pd_cluster_find_owner(struct pd_cluster *cluster, uint64_t account, int64_t now_us,
			   struct sockaddr_in *owner)
{
	uint64_t own = pd_quota_owner_weight(account, pd_str_hash(pd_name_str(&cluster->name), 0));
	uint64_t greatest = own;

	pthread_mutex_lock(&cluster->lock);
	for (size_t i = 0; !cluster->has_source && i < cluster->head_count; i++) {
		const struct pd_cluster_peer *head = &cluster->heads[i];
		uint64_t hash = pd_str_hash(pd_name_str(&head->name), 0);
		uint64_t weight = pd_quota_owner_weight(account, hash);

		if (weight <= greatest || !shares_quota(head, now_us))
			continue;
		greatest = weight;
		*owner = head->address;
	}
	pthread_mutex_unlock(&cluster->lock);
	return greatest != own;
}
