#include "cluster.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "counters.h"
#include "directory.h"
#include "load_report.h"
#include "log.h"
#include "quota_exchange.h"
#include "rollout_exchange.h"

/* Two PINGs may be lost before a follower is no longer counted. */
#define PING_INTERVAL_US (500 * PD_USEC_PER_MSEC)
#define HEAD_INTERVAL_US (250 * PD_USEC_PER_MSEC)
/* Instances of a zone without a known head that are asked for it at each interval. */
#define HEAD_QUERIES 2
/* REDIRECTs that are followed for each zone and interval: each query leads to the source of an
 * instance, and from there to that of the source, if it has one. Instances whose sources form a
 * circle would name each other without end.
 */
#define REDIRECTS_PER_ZONE (2 * HEAD_QUERIES)
/* Datagrams that may have waited in the socket for longer than this aren't used: the process was
 * suspended, and they would show its peers as they were before. The socket is looked at every 50 ms
 * at least.
 */
#define WAIT_MAX_US (250 * PD_USEC_PER_MSEC)
/* Initial capacity of a list of instances. */
#define LIST_CAPACITY 64

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

static bool to_sockaddr(const struct pd_address *address, struct sockaddr_in *out)
{
	memset(out, 0, sizeof(*out));
	out->sin_family = AF_INET;
	out->sin_port = htons(address->port);
	return inet_pton(AF_INET, address->ip, &out->sin_addr) == 1;
}

static bool same_address(const struct sockaddr_in *a, const struct sockaddr_in *b)
{
	return a->sin_addr.s_addr == b->sin_addr.s_addr && a->sin_port == b->sin_port;
}

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

	if (instance.zone == PD_CLUSTER_ZONES_MAX || !to_sockaddr(address, &instance.address))
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

void pd_cluster_set_source(struct pd_cluster *cluster, const struct pd_address *address)
{
	struct sockaddr_in source;
	bool has_source = address && to_sockaddr(address, &source);

	pthread_mutex_lock(&cluster->lock);
	if (has_source != cluster->has_source ||
	    (has_source && !same_address(&source, &cluster->source))) {
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
	is_source = cluster->has_source && same_address(&cluster->source, from);
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

/* Removes the peers that weren't heard for @timeout_us. */
static void expire_peers(struct pd_cluster_peer *peers, size_t *count, int64_t timeout_us,
			 int64_t now_us)
{
	for (size_t i = *count; i > 0; i--) {
		if (now_us - peers[i - 1].heard_us > timeout_us)
			peers[i - 1] = peers[--*count];
	}
}

static void expire_locked(struct pd_cluster *cluster, int64_t now_us)
{
	expire_peers(cluster->heads, &cluster->head_count, PD_CLUSTER_HEAD_TIMEOUT_US, now_us);
	expire_peers(cluster->followers, &cluster->follower_count, PD_CLUSTER_FOLLOWER_TIMEOUT_US,
		     now_us);
}

/* Whether a head of the zone was heard lately. */
static bool hears_zone(const struct pd_cluster *cluster, const struct pd_name *zone)
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
		view->zones_heard += hears_zone(cluster, &cluster->zones[i]);
	fill_quota_view(cluster, view, now_us);
}

void pd_cluster_view(struct pd_cluster *cluster, int64_t now_us, struct pd_cluster_view *view)
{
	pthread_mutex_lock(&cluster->lock);
	expire_locked(cluster, now_us);
	fill_view(cluster, view, now_us);
	pthread_mutex_unlock(&cluster->lock);
}

static void send_bytes(const struct pd_cluster *cluster, const struct pd_buf *bytes,
		       const struct sockaddr_in *to)
{
	if (sendto(cluster->fd, bytes->data, bytes->len, MSG_DONTWAIT | MSG_NOSIGNAL,
		   (const struct sockaddr *)to, sizeof(*to)) < 0) {
		pd_count(PD_COUNT_datagrams_unsent);
		return;
	}
	pd_count(PD_COUNT_datagrams_out);
	pd_count_add(PD_COUNT_datagram_bytes_out, bytes->len);
}

/* Encodes a datagram of this instance; false if the cluster wasn't started or it can't be encoded.
 */
static bool encode(struct pd_cluster *cluster, enum pd_datagram_kind kind, struct pd_str payload,
		   struct pd_buf *out)
{
	struct pd_datagram datagram = {
		.kind = kind,
		.sender = cluster->name,
		.zone = cluster->zone,
		.incarnation = cluster->incarnation,
		.payload = payload,
	};

	if (cluster->fd < 0)
		return false;
	if (pd_datagram_encode(&datagram, out))
		return true;
	pd_log(PD_LOG_ERROR, "datagram_not_sent", "kind=%d bytes=%zu", (int)kind, payload.len);
	return false;
}

void pd_cluster_send(struct pd_cluster *cluster, enum pd_datagram_kind kind, struct pd_str payload,
		     const struct sockaddr_in *to)
{
	struct pd_buf out = {0};

	if (encode(cluster, kind, payload, &out))
		send_bytes(cluster, &out, to);
	pd_buf_finish(&out);
}

static bool get_source(struct pd_cluster *cluster, struct sockaddr_in *source)
{
	bool has_source;

	pthread_mutex_lock(&cluster->lock);
	has_source = cluster->has_source;
	*source = cluster->source;
	pthread_mutex_unlock(&cluster->lock);
	return has_source;
}

void pd_cluster_send_to_source(struct pd_cluster *cluster, enum pd_datagram_kind kind,
			       struct pd_str payload)
{
	struct sockaddr_in source;

	if (get_source(cluster, &source))
		pd_cluster_send(cluster, kind, payload, &source);
}

static void send_to_peers(struct pd_cluster *cluster, enum pd_datagram_kind kind,
			  struct pd_str payload, struct pd_cluster_peer *const *peers,
			  const size_t *count)
{
	struct pd_buf out = {0};

	if (encode(cluster, kind, payload, &out)) {
		pthread_mutex_lock(&cluster->lock);
		for (size_t i = 0; i < *count; i++)
			send_bytes(cluster, &out, &(*peers)[i].address);
		pthread_mutex_unlock(&cluster->lock);
	}
	pd_buf_finish(&out);
}

void pd_cluster_send_to_followers(struct pd_cluster *cluster, enum pd_datagram_kind kind,
				  struct pd_str payload)
{
	send_to_peers(cluster, kind, payload, &cluster->followers, &cluster->follower_count);
}

void pd_cluster_send_to_heads(struct pd_cluster *cluster, enum pd_datagram_kind kind,
			      struct pd_str payload)
{
	send_to_peers(cluster, kind, payload, &cluster->heads, &cluster->head_count);
}

void pd_cluster_forward_to_source(struct pd_cluster *cluster, const struct pd_datagram *datagram)
{
	struct pd_datagram forwarded = *datagram;
	struct sockaddr_in source;
	struct pd_buf out = {0};

	if (++forwarded.hops > PD_DATAGRAM_HOPS_MAX) {
		pd_count(PD_COUNT_datagrams_unsent);
		return;
	}
	if (cluster->fd >= 0 && get_source(cluster, &source) &&
	    pd_datagram_encode(&forwarded, &out))
		send_bytes(cluster, &out, &source);
	pd_buf_finish(&out);
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

struct sockaddr_in pd_cluster_own_address(const struct pd_cluster *cluster)
{
	struct sockaddr_in address;

	to_sockaddr(&cluster->address, &address);
	return address;
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

/* Records a peer that was heard, in place of its earlier entry; drops it if there are too many. The
 * table is allocated with its first entry, since most instances have no followers.
 */
static void record_peer(struct pd_cluster_peer **peers, size_t *count, size_t max,
			const struct pd_datagram *datagram, uint32_t followers, uint64_t zone_bits,
			int64_t now_us)
{
	size_t i = 0;

	if (!*peers)
		*peers = calloc(max, sizeof(**peers));
	if (!*peers) {
		pd_log(PD_LOG_ERROR, "instance_not_kept", "instance=%s reason=no_memory",
		       datagram->sender.text);
		return;
	}
	while (i < *count && !pd_name_equal(&(*peers)[i].name, &datagram->sender))
		i++;
	if (i == max)
		return;
	if (i == *count)
		++*count;
	(*peers)[i] = (struct pd_cluster_peer){
		.name = datagram->sender,
		.zone = datagram->zone,
		.incarnation = datagram->incarnation,
		.address = datagram->from,
		.heard_us = now_us,
		.followers = followers,
		.zone_bits = zone_bits,
	};
}

static void forget_peer(struct pd_cluster_peer *peers, size_t *count, const struct pd_name *name)
{
	for (size_t i = 0; i < *count; i++) {
		if (pd_name_equal(&peers[i].name, name)) {
			peers[i] = peers[--*count];
			return;
		}
	}
}

/* Answers a PING with its time stamp, the age of the proof that the configuration is the newest
 * one, increased by 1, or 0 if there is none, and the version and the hash of the configuration.
 */
static void receive_ping(struct pd_cluster *cluster, const struct pd_datagram *ping, int64_t now_us)
{
	struct pd_datagram_reader reader;
	struct pd_buf pong = {0};
	int64_t confirmed_us = pd_directory_config_confirmed_us(cluster->parts.directory);
	/* The proof may be younger than the PING's reception, but not for the PING's sender. */
	uint64_t age_us = confirmed_us < now_us ? (uint64_t)(now_us - confirmed_us) : 0;
	uint64_t stamp, followers;

	pd_datagram_reader_init(&reader, ping->payload);
	stamp = pd_datagram_get_uint(&reader);
	followers = pd_datagram_get_uint(&reader);
	if (reader.failed || followers > PD_CLUSTER_FOLLOWERS_MAX)
		return;
	pthread_mutex_lock(&cluster->lock);
	record_peer(&cluster->followers, &cluster->follower_count, PD_CLUSTER_FOLLOWERS_MAX, ping,
		    (uint32_t)followers, 0, now_us);
	/* A head that has begun to follow this instance is none any more. */
	forget_peer(cluster->heads, &cluster->head_count, &ping->sender);
	pthread_mutex_unlock(&cluster->lock);
	pd_datagram_put_uint(&pong, stamp);
	pd_datagram_put_uint(&pong, confirmed_us ? age_us + 1 : 0);
	/* Read after the proof: the configuration may only be too new for it, which is safe. */
	pd_datagram_put_uint(&pong, pd_directory_config_version(cluster->parts.directory));
	pd_datagram_put_uint(&pong, pd_directory_config_hash(cluster->parts.directory));
	pd_cluster_send(cluster, PD_DATAGRAM_PONG, pd_buf_str(&pong), &ping->from);
	pd_buf_finish(&pong);
}

/* Whether a PING with that stamp was sent to the source. */
static bool has_pinged_locked(const struct pd_cluster *cluster, uint64_t stamp)
{
	for (size_t i = 0; i < PD_CLUSTER_PINGS_MAX; i++) {
		if (stamp && (uint64_t)cluster->pings[i] == stamp)
			return true;
	}
	return false;
}

static void receive_pong(struct pd_cluster *cluster, const struct pd_datagram *pong, int64_t now_us)
{
	struct pd_directory *directory = cluster->parts.directory;
	struct pd_datagram_reader reader;
	uint64_t stamp, age, version, hash;
	bool is_source;

	pd_datagram_reader_init(&reader, pong->payload);
	stamp = pd_datagram_get_uint(&reader);
	age = pd_datagram_get_uint(&reader);
	version = pd_datagram_get_uint(&reader);
	hash = pd_datagram_get_uint(&reader);
	if (reader.failed || stamp > (uint64_t)now_us || age > (uint64_t)now_us)
		return;
	pthread_mutex_lock(&cluster->lock);
	is_source = cluster->has_source && same_address(&cluster->source, &pong->from) &&
		    has_pinged_locked(cluster, stamp);
	if (is_source)
		cluster->source_heard_us = now_us;
	pthread_mutex_unlock(&cluster->lock);
	/* After a restore of the store, another configuration may have the same or a lower version.
	 */
	if (is_source && age && pd_directory_config_version(directory) == version &&
	    pd_directory_config_hash(directory) == hash)
		pd_directory_confirm_config(directory, (int64_t)stamp - (int64_t)(age - 1));
}

/* Tells the sender of a HEAD which instance this one follows. */
static void send_redirect(struct pd_cluster *cluster, const struct sockaddr_in *source,
			  const struct sockaddr_in *to)
{
	struct pd_buf payload = {0};

	pd_datagram_put_uint(&payload, ntohl(source->sin_addr.s_addr));
	pd_datagram_put_uint(&payload, ntohs(source->sin_port));
	pd_cluster_send(cluster, PD_DATAGRAM_REDIRECT, pd_buf_str(&payload), to);
	pd_buf_finish(&payload);
}

static void put_head(struct pd_buf *payload, const struct pd_cluster_view *view)
{
	pd_datagram_put_uint(payload, view->quota_followers);
	pd_datagram_put_uint(payload, view->quota_zone_bits);
}

static void send_head(struct pd_cluster *cluster, const struct sockaddr_in *to)
{
	struct pd_cluster_view view;
	struct pd_buf payload = {0};

	pd_cluster_view(cluster, pd_os_boot_us(), &view);
	put_head(&payload, &view);
	pd_cluster_send(cluster, PD_DATAGRAM_HEAD, pd_buf_str(&payload), to);
	pd_buf_finish(&payload);
}

static void receive_head(struct pd_cluster *cluster, const struct pd_datagram *head, int64_t now_us)
{
	struct pd_datagram_reader reader;
	struct sockaddr_in source;
	uint64_t followers, zone_bits = 0;

	pd_datagram_reader_init(&reader, head->payload);
	followers = pd_datagram_get_uint(&reader);
	/* Earlier versions don't state it. */
	if (!pd_datagram_reader_at_end(&reader))
		zone_bits = pd_datagram_get_uint(&reader);
	if (reader.failed || followers > UINT32_MAX)
		return;
	if (get_source(cluster, &source)) {
		send_redirect(cluster, &source, &head->from);
		return;
	}
	pthread_mutex_lock(&cluster->lock);
	record_peer(&cluster->heads, &cluster->head_count, PD_CLUSTER_HEADS_MAX, head,
		    (uint32_t)followers, zone_bits, now_us);
	forget_peer(cluster->followers, &cluster->follower_count, &head->sender);
	pthread_mutex_unlock(&cluster->lock);
}

static void receive_redirect(struct pd_cluster *cluster, const struct pd_datagram *redirect)
{
	struct sockaddr_in source = {.sin_family = AF_INET};
	struct pd_datagram_reader reader;
	uint64_t ip, port;
	bool is_followed;

	pd_datagram_reader_init(&reader, redirect->payload);
	ip = pd_datagram_get_uint(&reader);
	port = pd_datagram_get_uint(&reader);
	if (reader.failed || ip > UINT32_MAX || !port || port > UINT16_MAX)
		return;
	source.sin_addr.s_addr = htonl((uint32_t)ip);
	source.sin_port = htons((uint16_t)port);
	pthread_mutex_lock(&cluster->lock);
	is_followed = !cluster->has_source && cluster->redirects_left;
	if (is_followed)
		cluster->redirects_left--;
	forget_peer(cluster->heads, &cluster->head_count, &redirect->sender);
	pthread_mutex_unlock(&cluster->lock);
	if (is_followed)
		send_head(cluster, &source);
}

void pd_cluster_receive(struct pd_cluster *cluster, const struct pd_datagram *datagram,
			int64_t now_us)
{
	/* Its own datagrams reach an instance if another one's entry has its address, or if a
	 * follower names it as the head.
	 */
	if (datagram->incarnation == cluster->incarnation &&
	    pd_name_equal(&datagram->sender, &cluster->name))
		return;
	switch (datagram->kind) {
	case PD_DATAGRAM_PING:
		receive_ping(cluster, datagram, now_us);
		break;
	case PD_DATAGRAM_PONG:
		receive_pong(cluster, datagram, now_us);
		break;
	case PD_DATAGRAM_HEAD:
		receive_head(cluster, datagram, now_us);
		break;
	case PD_DATAGRAM_REDIRECT:
		receive_redirect(cluster, datagram);
		break;
	case PD_DATAGRAM_USAGE:
	case PD_DATAGRAM_SHARE:
	case PD_DATAGRAM_QUOTA:
	case PD_DATAGRAM_ASK:
	case PD_DATAGRAM_ANSWER:
		if (cluster->parts.quota)
			pd_quota_exchange_receive(cluster->parts.quota, cluster, datagram, now_us);
		break;
	case PD_DATAGRAM_LOAD:
		if (cluster->parts.load)
			pd_load_report_receive(cluster->parts.load, cluster, datagram, now_us);
		break;
	case PD_DATAGRAM_EVIDENCE:
	case PD_DATAGRAM_EXPOSURE:
		if (cluster->parts.rollout)
			pd_rollout_exchange_receive(cluster->parts.rollout, cluster, datagram,
						    now_us);
		break;
	}
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
		send_bytes(cluster, out, &instance->address);
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
	put_head(&payload, &view);
	if (encode(cluster, PD_DATAGRAM_HEAD, pd_buf_str(&payload), &out)) {
		pthread_mutex_lock(&cluster->lock);
		for (size_t i = 0; i < cluster->head_count; i++)
			send_bytes(cluster, &out, &cluster->heads[i].address);
		for (size_t i = 1; i < cluster->zone_count; i++) {
			if (!hears_zone(cluster, &cluster->zones[i]))
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
	bool ping, announce;

	pthread_mutex_lock(&cluster->lock);
	expire_locked(cluster, now_us);
	ping = cluster->has_source && now_us >= cluster->next_ping_us;
	announce = !cluster->has_source && now_us >= cluster->next_head_us;
	if (ping) {
		cluster->next_ping_us = now_us + PING_INTERVAL_US;
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

/* Receives all datagrams that have arrived. None of them arrived before the socket was empty last,
 * but when after that isn't known.
 */
static void receive_all(struct pd_cluster *cluster)
{
	char bytes[PD_DATAGRAM_MAX_BYTES];
	struct pd_datagram datagram;
	struct sockaddr_in from;
	ssize_t n;

	for (;;) {
		socklen_t len = sizeof(from);
		int64_t before = pd_os_boot_us(), now;

		n = recvfrom(cluster->fd, bytes, sizeof(bytes), MSG_DONTWAIT,
			     (struct sockaddr *)&from, &len);
		if (n < 0) {
			if (errno == EAGAIN || errno == EWOULDBLOCK)
				cluster->emptied_us = before;
			return;
		}
		now = pd_os_boot_us();
		if (now - cluster->emptied_us > WAIT_MAX_US) {
			pd_count(PD_COUNT_datagrams_late);
			continue;
		}
		if (!pd_datagram_decode((struct pd_str){bytes, (size_t)n}, &datagram)) {
			pd_count(PD_COUNT_datagrams_malformed);
			continue;
		}
		pd_count(PD_COUNT_datagrams_in);
		datagram.from = from;
		pd_cluster_receive(cluster, &datagram, now);
	}
}

/* Runs the tick of load reports, which are sent more often while they are needed. */
static void tick_load(struct pd_cluster *cluster, int64_t now_us)
{
	struct pd_load_report *load = cluster->parts.load;
	int64_t interval_us = PD_CLUSTER_TICK_US;

	if (load) {
		pd_load_report_tick(load, cluster, now_us);
		if (pd_load_report_is_needed(load))
			interval_us = PD_LOAD_REPORT_INTERVAL_US;
	}
	cluster->next_load_us = now_us + interval_us;
}

void pd_cluster_step(struct pd_cluster *cluster)
{
	struct pollfd p = {.fd = cluster->fd, .events = POLLIN};
	int64_t now = pd_os_boot_us(), next;
	int ready;

	if (now >= cluster->next_tick_us) {
		pd_cluster_tick(cluster, now);
		cluster->next_tick_us = now + PD_CLUSTER_TICK_US;
		return;
	}
	if (now >= cluster->next_load_us) {
		tick_load(cluster, now);
		return;
	}
	next = cluster->next_tick_us < cluster->next_load_us ? cluster->next_tick_us
							     : cluster->next_load_us;
	ready = poll(&p, 1, (int)((next - now) / PD_USEC_PER_MSEC) + 1);
	if (ready > 0)
		receive_all(cluster);
	else if (!ready)
		cluster->emptied_us = now;
}

static void *run(void *arg)
{
	for (;;)
		pd_cluster_step(arg);
	return NULL;
}

enum pd_code pd_cluster_open(struct pd_cluster *cluster, struct pd_error *err)
{
	struct sockaddr_in address;
	enum pd_code code;
	int fd;

	fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
	if (fd < 0 || !to_sockaddr(&cluster->address, &address) ||
	    bind(fd, (struct sockaddr *)&address, sizeof(address))) {
		code = pd_error_set(err, PD_LAYER_COORDINATION, PD_SYSTEM,
				    "can't receive datagrams on %s:%u: %s", cluster->address.ip,
				    cluster->address.port, strerror(errno));
		pd_os_close(&fd);
		return code;
	}
	pthread_mutex_lock(&cluster->lock);
	cluster->fd = fd;
	cluster->emptied_us = pd_os_boot_us();
	pthread_mutex_unlock(&cluster->lock);
	return PD_OK;
}

enum pd_code pd_cluster_start(struct pd_cluster *cluster, struct pd_error *err)
{
	enum pd_code code;

	if (pd_cluster_is_started(cluster))
		return PD_OK;
	code = pd_cluster_open(cluster, err);
	if (code != PD_OK)
		return code;
	pthread_mutex_lock(&cluster->lock);
	cluster->started = true;
	pthread_mutex_unlock(&cluster->lock);
	pd_log(PD_LOG_INFO, "cluster_started", "address=%s:%u", cluster->address.ip,
	       cluster->address.port);
	code = pd_os_thread_start(&cluster->thread, "cluster", run, cluster, err);
	if (code == PD_OK)
		return code;
	pthread_mutex_lock(&cluster->lock);
	cluster->started = false;
	pd_os_close(&cluster->fd);
	pthread_mutex_unlock(&cluster->lock);
	return pd_error_wrap(err, PD_LAYER_COORDINATION, code, "cluster");
}
