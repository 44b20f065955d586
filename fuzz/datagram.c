/**
 * DOC: Fuzz target for the datagrams between instances
 *
 * The input is a sequence of datagrams that an instance receives, each with a byte for the time
 * since the one before, in units of 10 ms, and a byte for its length. Fails if a decoder crashes,
 * if encoding changes a datagram, or if the instance concludes more than it can know: a proof of
 * the configuration that is younger than its last PING, or more peers than sent datagrams.
 */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "cluster.h"
#include "directory.h"
#include "log.h"

#define STEP_US	 (10 * PD_USEC_PER_MSEC)
#define START_US (10 * PD_USEC_PER_SEC)

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void check(bool condition)
{
	if (!condition)
		abort();
}

/* Reads all items of a payload, numbers and strings in turn. */
static void read_payload(struct pd_str payload)
{
	struct pd_datagram_reader reader;

	pd_datagram_reader_init(&reader, payload);
	while (!reader.failed && !pd_datagram_reader_at_end(&reader)) {
		pd_datagram_get_uint(&reader);
		pd_datagram_get_str(&reader);
	}
	check(reader.rest.len <= payload.len);
}

static void check_encoding(const struct pd_datagram *datagram)
{
	struct pd_datagram again;
	struct pd_buf out = {0};

	check(pd_datagram_encode(datagram, &out));
	check(out.len <= PD_DATAGRAM_MAX_BYTES);
	check(pd_datagram_decode(pd_buf_str(&out), &again));
	check(again.kind == datagram->kind && again.incarnation == datagram->incarnation &&
	      again.hops == datagram->hops);
	check(pd_name_equal(&again.sender, &datagram->sender) &&
	      pd_name_equal(&again.zone, &datagram->zone) &&
	      pd_str_equal(again.payload, datagram->payload));
	pd_buf_finish(&out);
}

static void init_cluster(struct pd_cluster *cluster, struct pd_directory *directory,
			 bool is_follower)
{
	const struct pd_cluster_parts parts = {.directory = directory};
	const struct pd_address address = {"127.0.0.1", 9};
	struct pd_name name, zone;

	check(pd_name_set(&name, PD_STR("a")) && pd_name_set(&zone, PD_STR("here")));
	pd_cluster_init(cluster, &parts, &name, &zone, &address);
	pd_cluster_set_source(cluster, is_follower ? &address : NULL);
}

static int64_t last_ping_us(const struct pd_cluster *cluster)
{
	int64_t last_us = 0;

	for (size_t i = 0; i < PD_CLUSTER_PINGS_MAX; i++)
		last_us = cluster->pings[i] > last_us ? cluster->pings[i] : last_us;
	return last_us;
}

static void check_conclusions(struct pd_cluster *cluster, struct pd_directory *directory,
			      size_t received, int64_t now_us)
{
	size_t followers = cluster->follower_count;
	struct pd_cluster_view view;

	/* Each follower states how many follow it. */
	for (size_t i = 0; i < cluster->follower_count; i++) {
		check(cluster->followers[i].followers <= PD_CLUSTER_FOLLOWERS_MAX);
		followers += cluster->followers[i].followers;
	}
	pd_cluster_view(cluster, now_us, &view);
	check(cluster->follower_count <= received && cluster->head_count <= received);
	check(view.followers == followers);
	check(!view.zones_heard); /* no other zone is listed */
	check(view.zone_covered >= 1 + view.followers);
	check(pd_directory_config_confirmed_us(directory) <= last_ping_us(cluster));
	check(view.is_head ? !view.source_heard_us : view.source_heard_us <= now_us);
	check(!view.is_head || !pd_directory_config_confirmed_us(directory));
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct pd_registry_options options = {.retry_ratio = 0.2};
	static struct pd_registry registry;
	static struct pd_directory directory;
	static struct pd_cluster cluster;
	int64_t now = START_US;
	size_t received = 0;

	if (!size)
		return 0;
	pd_log_open("fuzz", PD_LOG_ERROR);
	check(pd_name_set(&options.zone, PD_STR("here")));
	pd_registry_init(&registry, &options);
	pd_directory_init(&directory, &registry);
	init_cluster(&cluster, &directory, data[0] % 2);
	pd_cluster_tick(&cluster, now);
	for (size_t at = 1; at + 2 <= size;) {
		size_t len = data[at + 1] < size - at - 2 ? data[at + 1] : size - at - 2;
		struct pd_str bytes = {(const char *)data + at + 2, len};
		struct pd_datagram datagram;

		now += data[at] * STEP_US;
		at += 2 + len;
		pd_cluster_tick(&cluster, now);
		if (!pd_datagram_decode(bytes, &datagram))
			continue;
		check_encoding(&datagram);
		read_payload(datagram.payload);
		datagram.from = (struct sockaddr_in){.sin_family = AF_INET,
						     .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
						     .sin_port = htons(9)};
		received++;
		pd_cluster_receive(&cluster, &datagram, now);
		check_conclusions(&cluster, &directory, received, now);
	}
	pd_cluster_finish(&cluster);
	pd_directory_finish(&directory);
	pd_registry_finish(&registry);
	return 0;
}
