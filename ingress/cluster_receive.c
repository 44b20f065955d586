/**
 * DOC: Exchange between instances: what an instance concludes from datagrams
 */
#include <arpa/inet.h>
#include <stdlib.h>

#include "cluster_private.h"
#include "directory.h"
#include "load_report.h"
#include "log.h"
#include "quota_exchange.h"
#include "rollout_exchange.h"

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
	if (reader.failed)
		return;
	/* The sender needs the answer, however many instances follow it. To count too few of them
	 * divides quotas more, which is safe.
	 */
	if (followers > PD_CLUSTER_FOLLOWERS_MAX)
		followers = PD_CLUSTER_FOLLOWERS_MAX;
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
	is_source = cluster->has_source && pd_cluster_same_address(&cluster->source, &pong->from) &&
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

static void send_head(struct pd_cluster *cluster, const struct sockaddr_in *to)
{
	struct pd_cluster_view view;
	struct pd_buf payload = {0};

	pd_cluster_view(cluster, pd_os_boot_us(), &view);
	pd_cluster_put_head(&payload, &view);
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
	if (pd_cluster_get_source(cluster, &source)) {
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
