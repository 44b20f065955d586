#include "cluster.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "cluster_private.h"
#include "log.h"
#include "quota_exchange.h"
#include "rollout_exchange.h"

/* Two PINGs may be lost before a follower is no longer counted. */
#define PING_INTERVAL_US (500 * PD_USEC_PER_MSEC)
/* Interval and number of the first PINGs to a source while this instance has no proof of its
 * configuration: when all instances restart, their source gets its own proof some 100 ms later.
 */
#define FIRST_PING_INTERVAL_US (100 * PD_USEC_PER_MSEC)
#define FIRST_PINGS	       6
#define HEAD_INTERVAL_US       (250 * PD_USEC_PER_MSEC)
/* Instances of a zone without a known head that are asked for it at each interval. */
#define HEAD_QUERIES 2
/* REDIRECTs that are followed for each zone and interval: each query leads to the source of an
 * instance, and from there to that of the source, if it has one. Instances whose sources form a
 * circle would name each other without end.
 */
#define REDIRECTS_PER_ZONE (2 * HEAD_QUERIES)

void pd_cluster_init(struct pd_cluster *cluster, const struct pd_cluster_parts *parts,
		     const struct pd_name *name, const struct pd_name *zone,
		     const struct pd_address *address)
{
	memset(cluster, 0, sizeof(*cluster));
	cluster->parts = *parts;
	cluster->name = *name;
	cluster->zone = *zone;
	cluster->address = *address;
	cluster->fd = -1;
	cluster->random_state = pd_os_random_seed();
	/* 0 stands for an unknown incarnation. */
	cluster->incarnation = pd_os_random_seed() | 1;
	cluster->zones[0] = *zone;
	cluster->zone_count = 1;
	pthread_mutex_init(&cluster->lock, NULL);
}

void pd_cluster_finish(struct pd_cluster *cluster)
{
	free(cluster->instances);
	free(cluster->heads);
	free(cluster->followers);
	cluster->instances = NULL;
	cluster->instance_count = 0;
	cluster->heads = NULL;
	cluster->head_count = 0;
	cluster->followers = NULL;
	cluster->follower_count = 0;
	pd_os_close(&cluster->fd);
	pthread_mutex_destroy(&cluster->lock);
}

bool pd_cluster_to_sockaddr(const struct pd_address *address, struct sockaddr_in *out)
{
	memset(out, 0, sizeof(*out));
	out->sin_family = AF_INET;
	out->sin_port = htons(address->port);
	return inet_pton(AF_INET, address->ip, &out->sin_addr) == 1;
}

bool pd_cluster_same_address(const struct sockaddr_in *a, const struct sockaddr_in *b)
{
	return a->sin_addr.s_addr == b->sin_addr.s_addr && a->sin_port == b->sin_port;
}

void pd_cluster_set_source(struct pd_cluster *cluster, const struct pd_address *address)
{
	struct sockaddr_in source;
	bool has_source = address && pd_cluster_to_sockaddr(address, &source);

	pthread_mutex_lock(&cluster->lock);
	if (has_source != cluster->has_source ||
	    (has_source && !pd_cluster_same_address(&source, &cluster->source))) {
		cluster->source_heard_us = 0;
		memset(cluster->pings, 0, sizeof(cluster->pings));
		cluster->next_ping_us = 0;
		cluster->next_head_us = 0;
	}
	cluster->has_source = has_source;
	if (has_source)
		cluster->source = source;
	pthread_mutex_unlock(&cluster->lock);
}

bool pd_cluster_is_source(struct pd_cluster *cluster, const struct sockaddr_in *from)
{
	bool is_source;

	pthread_mutex_lock(&cluster->lock);
	is_source = cluster->has_source && pd_cluster_same_address(&cluster->source, from);
	pthread_mutex_unlock(&cluster->lock);
	return is_source;
}

bool pd_cluster_is_started(struct pd_cluster *cluster)
{
	bool started;

	pthread_mutex_lock(&cluster->lock);
	started = cluster->started;
	pthread_mutex_unlock(&cluster->lock);
	return started;
}

struct sockaddr_in pd_cluster_own_address(const struct pd_cluster *cluster)
{
	struct sockaddr_in address;

	pd_cluster_to_sockaddr(&cluster->address, &address);
	return address;
}

void pd_cluster_put_head(struct pd_buf *payload, const struct pd_cluster_view *view)
{
	pd_datagram_put_uint(payload, view->quota_followers);
	pd_datagram_put_uint(payload, view->quota_zone_bits);
}

static uint64_t next_random(struct pd_cluster *cluster)
{
	/* xorshift64 */
	cluster->random_state ^= cluster->random_state << 13;
	cluster->random_state ^= cluster->random_state >> 7;
	cluster->random_state ^= cluster->random_state << 17;
	return cluster->random_state;
}

/* Sends HEAD to some random instances of a zone, of which one that isn't its head names the head.
 */
static void query_zone_locked(struct pd_cluster *cluster, size_t zone, const struct pd_buf *out)
{
	size_t queries = 0, start;

	if (!cluster->instance_count)
		return;
	start = next_random(cluster) % cluster->instance_count;
	for (size_t i = 0; i < cluster->instance_count && queries < HEAD_QUERIES; i++) {
		const struct pd_cluster_instance *instance =
			&cluster->instances[(start + i) % cluster->instance_count];

		if (instance->zone != zone)
			continue;
		pd_cluster_send_bytes(cluster, out, &instance->address);
		queries++;
	}
}

/* Logs the view when this instance becomes a head or a follower, when the list of instances
 * changes, and when it hears more or fewer zones.
 */
static void log_changes(struct pd_cluster *cluster, int64_t now_us)
{
	struct pd_cluster_view view;

	pd_cluster_view(cluster, now_us, &view);
	if (view.is_head == cluster->logged.is_head &&
	    view.instance_count == cluster->logged.instance_count &&
	    view.zones_heard == cluster->logged.zones_heard &&
	    view.zone_count == cluster->logged.zone_count)
		return;
	cluster->logged = view;
	pd_log(PD_LOG_INFO, "cluster_view",
	       "head=%d instances=%zu zones=%zu zones_heard=%zu zone_instances=%zu covered=%zu",
	       view.is_head, view.instance_count, view.zone_count, view.zones_heard,
	       view.zone_instances, view.zone_covered);
}

/* Announces this head to the other ones. A head that covers its zone up to a half at most, with the
 * heads it knows, also looks for one in its own zone: another may cover the other half.
 */
static void announce_head(struct pd_cluster *cluster, int64_t now_us)
{
	struct pd_buf payload = {0}, out = {0};
	struct pd_cluster_view view;

	pd_cluster_view(cluster, now_us, &view);
	pd_cluster_put_head(&payload, &view);
	if (pd_cluster_encode(cluster, PD_DATAGRAM_HEAD, pd_buf_str(&payload), &out)) {
		pthread_mutex_lock(&cluster->lock);
		for (size_t i = 0; i < cluster->head_count; i++)
			pd_cluster_send_bytes(cluster, &out, &cluster->heads[i].address);
		for (size_t i = 1; i < cluster->zone_count; i++) {
			if (!pd_cluster_hears_zone(cluster, &cluster->zones[i]))
				query_zone_locked(cluster, i, &out);
		}
		if (2 * view.zone_covered <= view.zone_instances)
			query_zone_locked(cluster, 0, &out);
		pthread_mutex_unlock(&cluster->lock);
	}
	pd_buf_finish(&payload);
	pd_buf_finish(&out);
}

static void send_ping(struct pd_cluster *cluster, int64_t now_us)
{
	struct pd_cluster_view view;
	struct pd_buf payload = {0};

	pd_cluster_view(cluster, now_us, &view);
	pd_datagram_put_uint(&payload, (uint64_t)now_us);
	pd_datagram_put_uint(&payload, view.followers);
	pd_cluster_send_to_source(cluster, PD_DATAGRAM_PING, pd_buf_str(&payload));
	pd_buf_finish(&payload);
}

void pd_cluster_tick(struct pd_cluster *cluster, int64_t now_us)
{
	bool is_confirmed = pd_directory_config_confirmed_us(cluster->parts.directory) != 0;
	bool ping, announce;

	pthread_mutex_lock(&cluster->lock);
	pd_cluster_expire_locked(cluster, now_us);
	ping = cluster->has_source && now_us >= cluster->next_ping_us;
	announce = !cluster->has_source && now_us >= cluster->next_head_us;
	if (ping) {
		cluster->next_ping_us = now_us + (is_confirmed || cluster->ping_count >= FIRST_PINGS
							  ? PING_INTERVAL_US
							  : FIRST_PING_INTERVAL_US);
		cluster->pings[cluster->ping_count++ % PD_CLUSTER_PINGS_MAX] = now_us;
	}
	if (announce) {
		cluster->next_head_us = now_us + HEAD_INTERVAL_US;
		cluster->redirects_left = REDIRECTS_PER_ZONE * cluster->zone_count;
	}
	pthread_mutex_unlock(&cluster->lock);
	if (ping)
		send_ping(cluster, now_us);
	if (announce)
		announce_head(cluster, now_us);
	log_changes(cluster, now_us);
	if (cluster->parts.quota)
		pd_quota_exchange_tick(cluster->parts.quota, cluster, now_us);
	if (cluster->parts.rollout)
		pd_rollout_exchange_tick(cluster->parts.rollout, cluster, now_us);
}
