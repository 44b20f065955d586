/**
 * DOC: Exchange between instances: socket and thread
 */
#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>

#include "cluster_private.h"
#include "counters.h"
#include "load_report.h"
#include "log.h"

/* Datagrams that may have waited in the socket for longer than this aren't used: the process was
 * suspended, and they would show its peers as they were before. The socket is looked at every 50 ms
 * at least.
 */
#define WAIT_MAX_US (250 * PD_USEC_PER_MSEC)

void pd_cluster_send_bytes(const struct pd_cluster *cluster, const struct pd_buf *bytes,
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
bool pd_cluster_encode(struct pd_cluster *cluster, enum pd_datagram_kind kind,
		       struct pd_str payload, struct pd_buf *out)
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

	if (pd_cluster_encode(cluster, kind, payload, &out))
		pd_cluster_send_bytes(cluster, &out, to);
	pd_buf_finish(&out);
}

bool pd_cluster_get_source(struct pd_cluster *cluster, struct sockaddr_in *source)
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

	if (pd_cluster_get_source(cluster, &source))
		pd_cluster_send(cluster, kind, payload, &source);
}

static void send_to_peers(struct pd_cluster *cluster, enum pd_datagram_kind kind,
			  struct pd_str payload, struct pd_cluster_peer *const *peers,
			  const size_t *count)
{
	struct pd_buf out = {0};

	if (pd_cluster_encode(cluster, kind, payload, &out)) {
		pthread_mutex_lock(&cluster->lock);
		for (size_t i = 0; i < *count; i++)
			pd_cluster_send_bytes(cluster, &out, &(*peers)[i].address);
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
	if (cluster->fd >= 0 && pd_cluster_get_source(cluster, &source) &&
	    pd_datagram_encode(&forwarded, &out))
		pd_cluster_send_bytes(cluster, &out, &source);
	pd_buf_finish(&out);
}

/* Returns the time of the next tick of any part. */
static int64_t next_tick_us(const struct pd_cluster *cluster)
{
	return cluster->next_tick_us < cluster->next_load_us ? cluster->next_tick_us
							     : cluster->next_load_us;
}

/* Receives the datagrams that have arrived, until a tick is due: more may arrive meanwhile than can
 * be handled. None of them arrived before the socket was empty last, but when after that isn't
 * known.
 */
static void receive_arrived(struct pd_cluster *cluster)
{
	char bytes[PD_DATAGRAM_MAX_BYTES];
	struct pd_datagram datagram;
	struct sockaddr_in from;
	int64_t now;
	ssize_t n;

	do {
		socklen_t len = sizeof(from);
		int64_t before = pd_os_boot_us();

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
	} while (now < next_tick_us(cluster));
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
	next = next_tick_us(cluster);
	ready = poll(&p, 1, (int)((next - now) / PD_USEC_PER_MSEC) + 1);
	if (ready > 0)
		receive_arrived(cluster);
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
	if (fd < 0 || !pd_cluster_to_sockaddr(&cluster->address, &address) ||
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
