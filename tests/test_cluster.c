/**
 * DOC: Tests of the datagrams between instances, and of what an instance concludes from them
 *
 * The tests call the functions of the cluster's thread themselves, except for the last one, which
 * runs three instances with their threads over loopback.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "cluster.h"
#include "counters.h"
#include "directory.h"
#include "log.h"
#include "os.h"
#include "suite.h"

#define CONFIG_TEXT	"{\"version\":%u,\"services\":[{\"name\":\"s\"}],\"routes\":[]}"
#define RECEIVE_WAIT_MS 1000
#define QUIET_MS	20 /* time after which nothing more is expected over loopback */
#define NODES_MAX	3

/**
 * struct node - an instance under test
 * @registry: registry of the instance
 * @directory: directory of the instance
 * @cluster: the cluster
 * @address: address of its datagrams
 */
struct node {
	struct pd_registry registry;
	struct pd_directory directory;
	struct pd_cluster cluster;
	struct pd_address address;
};

/** struct peer - an instance that the test plays: a socket, and what its datagrams state */
struct peer {
	int fd;
	struct sockaddr_in address;
	struct pd_datagram datagram;
};

static struct node nodes[NODES_MAX];
static size_t node_count;

static void set_name(struct pd_name *name, const char *text)
{
	ck_assert(pd_name_set(name, pd_str_from(text)));
}

static struct sockaddr_in bind_socket(int *fd)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(address);

	*fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
	ck_assert_int_ge(*fd, 0);
	ck_assert_int_eq(bind(*fd, (struct sockaddr *)&address, sizeof(address)), 0);
	ck_assert_int_eq(getsockname(*fd, (struct sockaddr *)&address, &len), 0);
	return address;
}

static struct pd_address to_address(const struct sockaddr_in *in)
{
	struct pd_address address = {.port = ntohs(in->sin_port)};

	inet_ntop(AF_INET, &in->sin_addr, address.ip, sizeof(address.ip));
	return address;
}

/* Returns an instance with a free address, whose socket isn't open yet. */
static struct node *create_node(const char *name, const char *zone)
{
	struct pd_registry_options options = {.retry_ratio = 0.2, .retry_slack = 100};
	struct node *node = &nodes[node_count++];
	struct pd_cluster_parts parts = {.directory = &node->directory};
	struct pd_name own_name, own_zone;
	struct sockaddr_in address;
	int fd;

	pd_log_open("test", PD_LOG_ERROR);
	set_name(&own_name, name);
	set_name(&own_zone, zone);
	options.zone = own_zone;
	pd_registry_init(&node->registry, &options);
	pd_directory_init(&node->directory, &node->registry);
	address = bind_socket(&fd);
	close(fd);
	node->address = to_address(&address);
	pd_cluster_init(&node->cluster, &parts, &own_name, &own_zone, &node->address);
	return node;
}

static struct node *open_node(const char *name, const char *zone)
{
	struct node *node = create_node(name, zone);

	ck_assert_int_eq(pd_cluster_open(&node->cluster, NULL), PD_OK);
	return node;
}

static void teardown(void)
{
	for (size_t i = 0; i < node_count; i++) {
		pd_cluster_finish(&nodes[i].cluster);
		pd_directory_finish(&nodes[i].directory);
		pd_registry_finish(&nodes[i].registry);
	}
	node_count = 0;
}

static void put_config(struct node *node, unsigned int version)
{
	struct pd_error err;
	char text[128];

	snprintf(text, sizeof(text), CONFIG_TEXT, version);
	ck_assert_int_eq(pd_directory_put_config_text(&node->directory, pd_str_from(text), 0, &err),
			 PD_OK);
}

static struct peer open_peer(const char *name, const char *zone, uint64_t incarnation)
{
	struct peer peer = {.datagram.incarnation = incarnation};

	set_name(&peer.datagram.sender, name);
	set_name(&peer.datagram.zone, zone);
	peer.address = bind_socket(&peer.fd);
	peer.datagram.from = peer.address;
	return peer;
}

/* Passes a datagram of a peer with @count numbers as its payload to the instance. */
static void deliver(struct node *node, const struct peer *peer, enum pd_datagram_kind kind,
		    const uint64_t *numbers, size_t count, int64_t now_us)
{
	struct pd_datagram datagram = peer->datagram;
	struct pd_buf payload = {0};

	for (size_t i = 0; i < count; i++)
		pd_datagram_put_uint(&payload, numbers[i]);
	datagram.kind = kind;
	datagram.payload = pd_buf_str(&payload);
	pd_cluster_receive(&node->cluster, &datagram, now_us);
	pd_buf_finish(&payload);
}

static void deliver_ping_of(struct node *node, const struct peer *peer, uint64_t followers,
			    int64_t now_us)
{
	const uint64_t numbers[] = {1, followers};

	deliver(node, peer, PD_DATAGRAM_PING, numbers, 2, now_us);
}

static void deliver_ping(struct node *node, const struct peer *peer, int64_t now_us)
{
	deliver_ping_of(node, peer, 0, now_us);
}

static void deliver_head(struct node *node, const struct peer *peer, uint64_t followers,
			 int64_t now_us)
{
	deliver(node, peer, PD_DATAGRAM_HEAD, &followers, 1, now_us);
}

static void deliver_pong(struct node *node, const struct peer *peer, int64_t stamp, uint64_t age,
			 uint64_t version, int64_t now_us)
{
	const uint64_t numbers[] = {(uint64_t)stamp, age, version,
				    pd_directory_config_hash(&node->directory)};

	deliver(node, peer, PD_DATAGRAM_PONG, numbers, 4, now_us);
}

/**
 * struct received - a datagram that a peer received
 * @bytes: its bytes
 * @datagram: its contents, with views into @bytes
 * @numbers: numbers at the start of its payload
 * @count: number of @numbers
 */
struct received {
	char bytes[PD_DATAGRAM_MAX_BYTES];
	struct pd_datagram datagram;
	uint64_t numbers[4];
	size_t count;
};

/* Receives a datagram; false if there is none within @wait_ms. */
static bool receive(const struct peer *peer, struct received *received, int wait_ms)
{
	struct pollfd p = {.fd = peer->fd, .events = POLLIN};
	struct pd_datagram_reader reader;
	ssize_t n;

	if (poll(&p, 1, wait_ms) <= 0)
		return false;
	n = recv(peer->fd, received->bytes, sizeof(received->bytes), MSG_DONTWAIT);
	ck_assert_int_gt(n, 0);
	ck_assert(pd_datagram_decode((struct pd_str){received->bytes, (size_t)n},
				     &received->datagram));
	pd_datagram_reader_init(&reader, received->datagram.payload);
	for (received->count = 0; received->count < 4; received->count++) {
		received->numbers[received->count] = pd_datagram_get_uint(&reader);
		if (reader.failed)
			break;
	}
	return true;
}

/* Returns the number of datagrams of a kind that have arrived at a peer. */
static size_t count_received(const struct peer *peer, enum pd_datagram_kind kind)
{
	struct received received;
	size_t count = 0;

	while (receive(peer, &received, QUIET_MS))
		count += received.datagram.kind == kind;
	return count;
}

static struct pd_cluster_view view(struct node *node, int64_t now_us)
{
	struct pd_cluster_view view;

	pd_cluster_view(&node->cluster, now_us, &view);
	return view;
}

static void follow(struct node *node, const struct peer *peer)
{
	struct pd_address address = to_address(&peer->address);

	pd_cluster_set_source(&node->cluster, &address);
}

/* Lists instances; entry @i has the name "nI", the zone zones[i] and the address addresses[i]. */
static void list_instances(struct node *node, const char *const *zones,
			   const struct pd_address *addresses, size_t count)
{
	struct pd_cluster_list list;

	pd_cluster_list_begin(&node->cluster, &list);
	for (size_t i = 0; i < count; i++) {
		struct pd_name name, zone;
		char text[16];

		snprintf(text, sizeof(text), "n%zu", i);
		set_name(&name, text);
		set_name(&zone, zones[i]);
		pd_cluster_list_add(&list, &name, &zone, &addresses[i], 1);
	}
	pd_cluster_list_use(&node->cluster, &list);
}

static struct pd_datagram make_datagram(size_t name_len, struct pd_str payload)
{
	struct pd_datagram datagram = {
		.kind = PD_DATAGRAM_USAGE, .incarnation = UINT64_MAX, .payload = payload};
	char name[PD_NAME_MAX_BYTES + 1] = {0};

	memset(name, 'n', name_len);
	set_name(&datagram.sender, name);
	memset(name, 'z', name_len);
	set_name(&datagram.zone, name);
	return datagram;
}

START_TEST(datagrams_round_trip)
{
	/* Guards against datagrams that their receiver rejects or cuts off: with names and a
	 * payload of the largest size, they must fit into the receiver's buffer.
	 */
	char bytes[PD_DATAGRAM_PAYLOAD_MAX_BYTES + 1];

	memset(bytes, 7, sizeof(bytes));
	for (size_t name_len = 1; name_len <= PD_NAME_MAX_BYTES; name_len++) {
		for (int kind = 1; kind <= PD_DATAGRAM_KIND_MAX; kind++) {
			struct pd_datagram datagram = make_datagram(
				name_len, (struct pd_str){bytes, PD_DATAGRAM_PAYLOAD_MAX_BYTES});
			struct pd_datagram decoded;
			struct pd_buf out = {0};

			datagram.kind = (enum pd_datagram_kind)kind;
			ck_assert(pd_datagram_encode(&datagram, &out));
			ck_assert_uint_le(out.len, PD_DATAGRAM_MAX_BYTES);
			ck_assert(pd_datagram_decode(pd_buf_str(&out), &decoded));
			ck_assert_int_eq(decoded.kind, kind);
			ck_assert(pd_name_equal(&decoded.sender, &datagram.sender));
			ck_assert(pd_name_equal(&decoded.zone, &datagram.zone));
			ck_assert_uint_eq(decoded.incarnation, UINT64_MAX);
			ck_assert(pd_str_equal(decoded.payload, datagram.payload));
			pd_buf_finish(&out);
			datagram.payload.len++;
			ck_assert(!pd_datagram_encode(&datagram, &out));
			pd_buf_finish(&out);
		}
	}
}
END_TEST

START_TEST(malformed_and_foreign_datagrams_are_rejected)
{
	/* Guards against a datagram of another program, or one that was cut off, that is taken for
	 * one of an instance.
	 */
	static const struct {
		const char *bytes;
		size_t len;
	} foreign[] = {
		{"", 0},
		{"\0", 1},
		{"GET / HTTP/1.1\r\n\r\n", 18},
		{"\x12\x34\x01\x00\x00\x01\x00\x00\x00\x00\x00\x00\x03www", 16}, /* DNS */
		{"\x01\x01\xa1n\xa1z", 6}, /* no incarnation */
		{"\x01\x01\xa1n\xa1z\x01", 7}, /* no number of hops */
		{"\x01\x01\xa1n\xa1z\xa1x\x00", 9}, /* the incarnation is a string */
		{"\x01\x01\xa1n\xa1z\x01\x09", 8}, /* too many hops */
		{"\x01\x01\xa1n\xa1z\x01\xcf\x00\x00\x00\x01\x00\x00\x00\x00", 16},
		{"\x02\x01\xa1n\xa1z\x01\x00", 8}, /* another version */
		{"\x01\x00\xa1n\xa1z\x01\x00", 8}, /* no kind */
		{"\x01\x0d\xa1n\xa1z\x01\x00", 8}, /* unknown kind */
		{"\x01\xcf\x00\x00\x00\x01\x00\x00\x00\x01\xa1n\xa1z\x01\x00", 16}, /* huge kind */
		{"\x01\x01\xa0\xa1z\x01\x00", 7}, /* empty name */
		{"\x01\x01\xa1n\xa0\x01\x00", 7}, /* empty zone */
		{"\x01\x01\xc2\xa1z\x01\x00", 7}, /* the name is a bool */
		{"\x01\x01\xa1 \xa1z\x01\x00", 8}, /* the name has a blank */
		{"\x01\x01\xa1\0\xa1z\x01\x00", 8}, /* the name has a NUL */
		{"\x01\x01\xdb\xff\xff\xff\xffn\xa1z\x01\x00", 12}, /* long name */
		{"\x97\x01\x01\xa1n\xa1z\x01\x00\x01", 10}, /* an array */
		{"\xa1\x01\xa1n\xa1z\x01\x00", 8}, /* the version is a string */
	};
	char payload[PD_DATAGRAM_PAYLOAD_MAX_BYTES] = {0};
	struct pd_datagram datagram = make_datagram(20, (struct pd_str){payload, 3}), decoded;
	struct pd_buf out = {0};

	for (size_t i = 0; i < sizeof(foreign) / sizeof(foreign[0]); i++)
		ck_assert_msg(!pd_datagram_decode((struct pd_str){foreign[i].bytes, foreign[i].len},
						  &decoded),
			      "foreign datagram %zu", i);
	ck_assert(pd_datagram_decode((struct pd_str){"\x01\x01\xa1n\xa1z\x01\x08", 8}, &decoded));
	ck_assert(pd_datagram_encode(&datagram, &out));
	/* The payload's items are checked by their reader. */
	for (size_t len = 0; len < out.len; len++)
		ck_assert_int_eq(pd_datagram_decode((struct pd_str){out.data, len}, &decoded),
				 len >= out.len - datagram.payload.len);
	/* A payload above the limit. */
	for (size_t i = 0; i < sizeof(payload); i++)
		ck_assert(pd_buf_append(&out, "", 1));
	ck_assert(!pd_datagram_decode(pd_buf_str(&out), &decoded));
	pd_buf_finish(&out);
}
END_TEST

START_TEST(reader_fails_on_items_of_another_type)
{
	/* Guards against an item of another type, or one that is cut off, that is read as 0 or as
	 * an empty string: a limit of 0 or an account without a name would be applied.
	 */
	static const struct {
		const char *bytes;
		size_t len;
	} strings[] = {{"", 0},	    {"\x05", 1},   {"\xc2", 1}, {"\xc3", 1},
		       {"\x90", 1}, {"\xa3no", 3}, {"\xc0", 1}, {"\xdb\0\0\0\x09x", 6}},
	  numbers[] = {{"", 0},	    {"\xa1x", 2},    {"\xa0", 1}, {"\xc2", 1},
		       {"\x90", 1}, {"\xcd\x01", 2}, {"\xff", 1}, {"\xd0\xff", 2}};

	for (size_t i = 0; i < sizeof(strings) / sizeof(strings[0]); i++) {
		struct pd_datagram_reader reader;

		pd_datagram_reader_init(&reader, (struct pd_str){strings[i].bytes, strings[i].len});
		ck_assert_uint_eq(pd_datagram_get_str(&reader).len, 0);
		ck_assert_msg(reader.failed, "string %zu", i);
		ck_assert_uint_eq(pd_datagram_get_uint(&reader), 0);
		ck_assert(reader.failed);
	}
	for (size_t i = 0; i < sizeof(numbers) / sizeof(numbers[0]); i++) {
		struct pd_datagram_reader reader;

		pd_datagram_reader_init(&reader, (struct pd_str){numbers[i].bytes, numbers[i].len});
		ck_assert_uint_eq(pd_datagram_get_uint(&reader), 0);
		ck_assert_msg(reader.failed, "number %zu", i);
		ck_assert_uint_eq(pd_datagram_get_str(&reader).len, 0);
		ck_assert(reader.failed);
	}
}
END_TEST

START_TEST(ping_is_answered_with_the_age_of_the_proof)
{
	/* Guards against a follower that takes its configuration for more recent than it is: the
	 * answer states the follower's own stamp, the age of the proof, and the version.
	 */
	static const char ping[] = "\x01\x01\xa1p\xa4here\x07\x00\xcd\x30\x39\x00";
	struct node *node = open_node("a", "here");
	struct peer peer = open_peer("p", "here", 7);
	struct received pong;
	struct sockaddr_in to = {.sin_family = AF_INET,
				 .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
				 .sin_port = htons(node->address.port)};
	int64_t now = pd_os_boot_us();

	for (int proved = 0; proved < 2; proved++) {
		if (proved) {
			put_config(node, 4);
			pd_directory_confirm_config(&node->directory, now - 1000);
		}
		ck_assert_int_gt(sendto(peer.fd, ping, sizeof(ping) - 1, 0, (struct sockaddr *)&to,
					sizeof(to)),
				 0);
		/* Two steps may run ticks. */
		for (int i = 0; i < 3; i++)
			pd_cluster_step(&node->cluster);
		ck_assert(receive(&peer, &pong, RECEIVE_WAIT_MS));
		ck_assert_int_eq(pong.datagram.kind, PD_DATAGRAM_PONG);
		ck_assert(pd_name_equal(&pong.datagram.sender, &node->cluster.name));
		ck_assert_uint_eq(pong.datagram.incarnation, node->cluster.incarnation);
		ck_assert_uint_eq(pong.count, 4);
		ck_assert_uint_eq(pong.numbers[0], 12345);
		ck_assert_uint_eq(pong.numbers[2], proved ? 4 : 0);
		ck_assert_uint_eq(pong.numbers[3], pd_directory_config_hash(&node->directory));
		if (proved) {
			ck_assert_uint_ge(pong.numbers[1], 1001);
			ck_assert_uint_le(pong.numbers[1],
					  (uint64_t)(pd_os_boot_us() - now) + 1001);
		} else {
			ck_assert_uint_eq(pong.numbers[1], 0);
		}
	}
	ck_assert_uint_eq(view(node, pd_os_boot_us()).followers, 1);
	close(peer.fd);
}
END_TEST

START_TEST(proof_that_arrives_during_a_ping_has_age_0)
{
	/* Guards against a proof that is younger than the time at which the PING was received, for
	 * instance because the process was suspended in between: its age would be negative, and the
	 * answer would count as malformed or as one without a proof.
	 */
	struct node *node = open_node("a", "here");
	struct peer peer = open_peer("p", "here", 7);
	int64_t now = pd_os_boot_us();
	struct received pong;

	for (int later_us = 1; later_us < 4; later_us++) {
		pd_directory_confirm_config(&node->directory, now + later_us);
		deliver_ping(node, &peer, now);
		ck_assert(receive(&peer, &pong, RECEIVE_WAIT_MS));
		ck_assert_uint_eq(pong.numbers[1], 1);
	}
	close(peer.fd);
}
END_TEST

/* Sends the PING that is due and returns its stamp. */
static int64_t ping(struct node *node, const struct peer *source, int64_t now_us)
{
	struct received received;

	pd_cluster_tick(&node->cluster, now_us);
	ck_assert(receive(source, &received, RECEIVE_WAIT_MS));
	ck_assert_int_eq(received.datagram.kind, PD_DATAGRAM_PING);
	ck_assert_uint_eq(received.count, 2);
	ck_assert_int_eq((int64_t)received.numbers[0], now_us);
	return (int64_t)received.numbers[0];
}

START_TEST(pong_proves_no_more_than_the_source_knew)
{
	/* Guards against a configuration that counts as proven later than its source knew it to be
	 * complete, so that withdrawn keys are accepted for too long.
	 */
	struct node *node = open_node("a", "here");
	struct peer source = open_peer("p", "here", 7), other = open_peer("q", "here", 8);
	int64_t now = pd_os_boot_us(), stamp;

	put_config(node, 4);
	follow(node, &source);
	stamp = ping(node, &source, now);

	deliver_pong(node, &other, stamp, 1, 4, now + 10); /* from another address */
	ck_assert_int_eq(view(node, now).source_heard_us, 0);
	deliver_pong(node, &source, now + 11, 1, 4, now + 10); /* from the future */
	ck_assert_int_eq(view(node, now).source_heard_us, 0);
	deliver_pong(node, &source, stamp, (uint64_t)now + 11, 4, now + 10); /* before the start */
	deliver_pong(node, &source, stamp, UINT64_MAX, 4, now + 10);
	deliver_pong(node, &source, -1, 1, 4, now + 10);
	ck_assert_int_eq(view(node, now).source_heard_us, 0);
	deliver_pong(node, &source, stamp, 0, 4, now + 10); /* the source has no proof */
	ck_assert_int_eq(view(node, now).source_heard_us, now + 10);
	deliver_pong(node, &source, stamp, 1, 5, now + 10); /* a newer configuration */
	ck_assert_int_eq(pd_directory_config_confirmed_us(&node->directory), 0);

	deliver_pong(node, &source, stamp, 3001, 4, now + 10);
	ck_assert_int_eq(pd_directory_config_confirmed_us(&node->directory), stamp - 3000);
	deliver_pong(node, &source, stamp, 5001, 4, now + 20); /* an older one comes later */
	ck_assert_int_eq(pd_directory_config_confirmed_us(&node->directory), stamp - 3000);
	/* Both processes were suspended for a long time; the answer arrives twice. */
	deliver_pong(node, &source, stamp, 1, 3, now + 60 * PD_USEC_PER_SEC); /* another version */
	ck_assert_int_eq(pd_directory_config_confirmed_us(&node->directory), stamp - 3000);
	deliver_pong(node, &source, stamp, 1, 4, now + 60 * PD_USEC_PER_SEC);
	deliver_pong(node, &source, stamp, 1, 4, now + 61 * PD_USEC_PER_SEC);
	ck_assert_int_eq(pd_directory_config_confirmed_us(&node->directory), stamp);
	close(source.fd);
	close(other.fd);
}
END_TEST

START_TEST(pong_to_another_ping_proves_nothing)
{
	/* Guards against an answer with a stamp that this process hasn't sent to this source: it
	 * was meant for a process that had the address before, on a machine whose clock is another
	 * one, or came from an earlier source. It would prove a time that nobody knew.
	 */
	struct node *node = open_node("a", "here");
	struct peer first = open_peer("p", "here", 7), second = open_peer("q", "here", 8);
	int64_t now = pd_os_boot_us(), stamp;

	put_config(node, 4);
	follow(node, &first);
	stamp = ping(node, &first, now);
	deliver_pong(node, &first, stamp - 5, 1, 4, now + 10);
	ck_assert_int_eq(pd_directory_config_confirmed_us(&node->directory), 0);
	ck_assert_int_eq(view(node, now).source_heard_us, 0);

	follow(node, &second);
	deliver_pong(node, &first, stamp, 1, 4, now + 10);
	deliver_pong(node, &second, stamp, 1, 4, now + 10);
	ck_assert_int_eq(pd_directory_config_confirmed_us(&node->directory), 0);
	ck_assert_int_eq(view(node, now).source_heard_us, 0);

	/* An answer that is late by some PINGs is one of this source. */
	stamp = ping(node, &second, now + 20);
	ping(node, &second, now + PD_USEC_PER_SEC);
	ping(node, &second, now + 2 * PD_USEC_PER_SEC);
	deliver_pong(node, &second, stamp, 1, 4, now + 2 * PD_USEC_PER_SEC);
	ck_assert_int_eq(pd_directory_config_confirmed_us(&node->directory), stamp);
	close(first.fd);
	close(second.fd);
}
END_TEST

START_TEST(peers_come_go_and_change_roles)
{
	/* Guards against instances that are counted twice, or after they have gone: quotas divide
	 * their rate by these numbers.
	 */
	static const char *const zones[] = {"here", "here", "there", "there"};
	const struct pd_address addresses[4] = {
		{"127.0.0.1", 9}, {"127.0.0.1", 9}, {"127.0.0.1", 9}, {"127.0.0.1", 9}};
	struct node *node = open_node("a", "here");
	struct peer near = open_peer("n0", "here", 7), far = open_peer("n2", "there", 8);
	int64_t now = pd_os_boot_us();
	struct pd_cluster_view seen;

	list_instances(node, zones, addresses, 4);
	seen = view(node, now);
	ck_assert(seen.is_head);
	ck_assert_uint_eq(seen.instance_count, 5);
	ck_assert_uint_eq(seen.zone_instances, 3);
	ck_assert_uint_eq(seen.zone_count, 2);
	ck_assert_uint_eq(seen.zone_covered, 1);
	ck_assert_uint_eq(seen.zones_heard, 0);

	deliver_ping(node, &near, now);
	deliver_ping(node, &near, now); /* doubled */
	deliver_head(node, &far, 1, now);
	seen = view(node, now);
	ck_assert_uint_eq(seen.followers, 1);
	ck_assert_uint_eq(seen.zone_covered, 2);
	ck_assert_uint_eq(seen.zones_heard, 1);

	/* The follower becomes a head with a follower of its own. */
	deliver_head(node, &near, 1, now);
	seen = view(node, now);
	ck_assert_uint_eq(seen.followers, 0);
	ck_assert_uint_eq(seen.zone_covered, 3);
	/* And a follower again. */
	deliver_ping(node, &near, now);
	seen = view(node, now);
	ck_assert_uint_eq(seen.followers, 1);
	ck_assert_uint_eq(seen.zone_covered, 2);

	/* The head of the other zone falls silent, then the follower. */
	seen = view(node, now + PD_CLUSTER_HEAD_TIMEOUT_US);
	ck_assert_uint_eq(seen.zones_heard, 1);
	seen = view(node, now + PD_CLUSTER_HEAD_TIMEOUT_US + 1);
	ck_assert_uint_eq(seen.zones_heard, 0);
	ck_assert_uint_eq(seen.followers, 1);
	seen = view(node, now + PD_CLUSTER_FOLLOWER_TIMEOUT_US + 1);
	ck_assert_uint_eq(seen.followers, 0);
	ck_assert_uint_eq(seen.zone_covered, 1);
	close(near.fd);
	close(far.fd);
}
END_TEST

START_TEST(zones_that_are_heard_in_part_are_noticed)
{
	/* Guards against a quota that is used more than whole, since this head doesn't hear a zone
	 * that another head hears, and against one that is divided although all are heard, or
	 * because of an instance of an earlier version. */
	static const char *const here[] = {"there", "elsewhere"}, *const there[] = {"here",
										    "elsewhere"};
	const struct pd_address addresses[2] = {{"127.0.0.1", 9}, {"127.0.0.1", 9}};
	struct node *near = open_node("a", "here"), *far = open_node("b", "there");
	struct peer of_near = open_peer("a", "here", 7), of_far = open_peer("b", "there", 8),
		    other = open_peer("c", "elsewhere", 9);
	int64_t now = pd_os_boot_us();
	uint64_t numbers[2] = {0};

	list_instances(near, here, addresses, 2);
	list_instances(far, there, addresses, 2);
	deliver_head(far, &of_near, 0, now);
	deliver_head(far, &other, 0, now);
	ck_assert(!view(far, now).quota_in_part);
	deliver_head(near, &of_far, 0, now);
	ck_assert(!view(near, now).quota_in_part);
	numbers[1] = view(far, now).quota_zone_bits;
	deliver(near, &of_far, PD_DATAGRAM_HEAD, numbers, 2, now);
	ck_assert(view(near, now).quota_in_part);
	ck_assert(!view(near, now + PD_CLUSTER_QUOTA_TIMEOUT_US + 1).quota_in_part);
	deliver(near, &other, PD_DATAGRAM_HEAD, numbers, 2, now);
	ck_assert(!view(near, now).quota_in_part);
	/* A zone that isn't listed here doesn't count. */
	numbers[1] = UINT64_MAX;
	deliver(near, &other, PD_DATAGRAM_HEAD, numbers, 2, now);
	ck_assert(!view(near, now).quota_in_part);
	close(of_near.fd);
	close(of_far.fd);
	close(other.fd);
}
END_TEST

START_TEST(heads_agree_on_the_owner_of_an_account)
{
	/* Guards against an account that several heads own while they hear each other, against one
	 * whose owner isn't heard, and against a head that owns most of them. */
	struct node *near = open_node("a", "here"), *far = open_node("b", "there");
	struct peer of_near = open_peer("a", "here", 7), of_far = open_peer("b", "there", 8),
		    other = open_peer("c", "elsewhere", 9);
	int64_t now = pd_os_boot_us();
	struct sockaddr_in by_near, by_far;
	size_t owned[3] = {0};

	deliver_head(near, &of_far, 1, now);
	deliver_head(near, &other, 1, now);
	deliver_head(far, &of_near, 1, now);
	deliver_head(far, &other, 1, now);
	for (uint64_t i = 0; i < 300; i++) {
		uint64_t account = i * 0x9e3779b97f4a7c15ULL;
		bool near_owns = !pd_cluster_find_owner(&near->cluster, account, now, &by_near);
		bool far_owns = !pd_cluster_find_owner(&far->cluster, account, now, &by_far);

		ck_assert(!near_owns || !far_owns);
		if (near_owns)
			ck_assert_uint_eq(by_far.sin_port, of_near.address.sin_port);
		else if (far_owns)
			ck_assert_uint_eq(by_near.sin_port, of_far.address.sin_port);
		else
			ck_assert_uint_eq(by_near.sin_port, by_far.sin_port);
		owned[near_owns ? 0 : far_owns ? 1 : 2]++;
		ck_assert(!pd_cluster_find_owner(&near->cluster, account,
						 now + PD_CLUSTER_QUOTA_TIMEOUT_US + 1, &by_near));
	}
	for (int i = 0; i < 3; i++)
		ck_assert(owned[i] >= 60 && owned[i] <= 140);
	close(of_near.fd);
	close(of_far.fd);
	close(other.fd);
}
END_TEST

START_TEST(restarted_peers_replace_their_entries)
{
	/* Guards against an instance that restarts with another address and is counted twice, or
	 * gets its datagrams at the old address.
	 */
	struct node *node = open_node("a", "here");
	struct peer old = open_peer("n0", "here", 7), new = open_peer("n0", "here", 8);
	int64_t now = pd_os_boot_us();

	deliver_ping(node, &old, now);
	deliver_ping(node, &new, now + 1);
	ck_assert_uint_eq(view(node, now + 1).followers, 1);
	ck_assert_uint_eq(node->cluster.followers[0].incarnation, 8);
	pd_cluster_send_to_followers(&node->cluster, PD_DATAGRAM_QUOTA, PD_STR(""));
	ck_assert_uint_eq(count_received(&old, PD_DATAGRAM_QUOTA), 0);
	ck_assert_uint_eq(count_received(&new, PD_DATAGRAM_QUOTA), 1);
	close(old.fd);
	close(new.fd);
}
END_TEST

START_TEST(many_peers_do_not_displace_each_other)
{
	/* Guards against writes beyond the tables of peers when more instances than they hold send
	 * datagrams, as when all instances of a large deployment start at once.
	 */
	struct node *node = open_node("a", "here");
	struct peer peer = open_peer("p", "here", 7);
	int64_t now = pd_os_boot_us();

	for (int i = 0; i < 1000; i++) {
		char name[16];

		snprintf(name, sizeof(name), "n%d", i);
		set_name(&peer.datagram.sender, name);
		deliver_head(node, &peer, UINT32_MAX, now);
		snprintf(name, sizeof(name), "f%d", i);
		set_name(&peer.datagram.sender, name);
		deliver_ping(node, &peer, now);
	}
	ck_assert_uint_eq(node->cluster.head_count, PD_CLUSTER_HEADS_MAX);
	ck_assert_uint_eq(view(node, now).followers, PD_CLUSTER_FOLLOWERS_MAX);
	ck_assert_uint_eq(view(node, now + 2 * PD_USEC_PER_SEC).followers, 0);
	ck_assert_uint_eq(node->cluster.head_count, 0);
	deliver_head(node, &peer, (uint64_t)UINT32_MAX + 1, now);
	ck_assert_uint_eq(node->cluster.head_count, 0);
	close(peer.fd);
}
END_TEST

START_TEST(ping_of_an_instance_with_many_followers_is_answered)
{
	/* Guards against an instance that gets no proof of its configuration, and refuses all
	 * requests with a key together with its followers, because more instances follow it than
	 * are counted: the former head of a large zone that follows a new one, or followers that
	 * are counted at two sources for a moment.
	 */
	static const uint64_t followers[] = {PD_CLUSTER_FOLLOWERS_MAX, PD_CLUSTER_FOLLOWERS_MAX + 1,
					     1100, UINT64_MAX};
	struct node *node = open_node("a", "here");
	struct peer peer = open_peer("p", "here", 7);
	int64_t now = pd_os_boot_us();
	struct received pong;

	for (size_t i = 0; i < sizeof(followers) / sizeof(followers[0]); i++) {
		deliver_ping_of(node, &peer, followers[i], now);
		ck_assert_msg(receive(&peer, &pong, RECEIVE_WAIT_MS), "followers %zu", i);
		ck_assert_int_eq(pong.datagram.kind, PD_DATAGRAM_PONG);
		ck_assert_uint_eq(view(node, now).followers, 1 + PD_CLUSTER_FOLLOWERS_MAX);
	}
	close(peer.fd);
}
END_TEST

START_TEST(followers_of_followers_are_counted)
{
	/* Guards against a head that takes its zone for cut off, since instances that began to
	 * follow another one in an outage stay with it when that follows the head: the quotas of
	 * accounts were divided for good after a partition of some instances.
	 */
	struct node *node = open_node("a", "here");
	struct peer direct = open_peer("p", "here", 7), chained = open_peer("q", "here", 8);
	int64_t now = pd_os_boot_us();

	deliver_ping(node, &direct, now);
	deliver_ping_of(node, &chained, 3, now);
	ck_assert_uint_eq(view(node, now).followers, 5);
	ck_assert_uint_eq(view(node, now).zone_covered, 6);
	close(direct.fd);
	close(chained.fd);
}
END_TEST

START_TEST(follower_names_its_source_to_heads)
{
	/* Guards against heads that don't find each other: an instance that has a source answers a
	 * HEAD with the source's address, and the head sends its next HEAD there.
	 */
	struct node *node = open_node("a", "here");
	struct peer head = open_peer("h", "there", 7), source = open_peer("s", "here", 8);
	const uint64_t to_source[] = {INADDR_LOOPBACK, ntohs(source.address.sin_port)};
	const uint64_t bad[][2] = {
		{INADDR_LOOPBACK, 0}, {INADDR_LOOPBACK, 65536}, {(uint64_t)UINT32_MAX + 1, 9}};
	int64_t now = pd_os_boot_us();
	struct received received;

	follow(node, &source);
	deliver_head(node, &head, 0, now);
	ck_assert(receive(&head, &received, RECEIVE_WAIT_MS));
	ck_assert_int_eq(received.datagram.kind, PD_DATAGRAM_REDIRECT);
	ck_assert_uint_eq(received.count, 2);
	ck_assert_uint_eq(received.numbers[0], INADDR_LOOPBACK);
	ck_assert_uint_eq(received.numbers[1], to_source[1]);
	ck_assert_uint_eq(node->cluster.head_count, 0);

	/* A follower has no use for a REDIRECT. */
	deliver(node, &head, PD_DATAGRAM_REDIRECT, to_source, 2, now);
	ck_assert_uint_eq(count_received(&source, PD_DATAGRAM_HEAD), 0);
	pd_cluster_set_source(&node->cluster, NULL);
	pd_cluster_tick(&node->cluster, now);
	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		deliver(node, &head, PD_DATAGRAM_REDIRECT, bad[i], 2, now);
	deliver(node, &head, PD_DATAGRAM_REDIRECT, to_source, 2, now);
	ck_assert_uint_eq(count_received(&source, PD_DATAGRAM_HEAD), 1);
	close(head.fd);
	close(source.fd);
}
END_TEST

START_TEST(head_does_not_count_itself)
{
	/* Guards against a head that counts itself and its followers twice: an instance of its zone
	 * that has just begun to follow it names it as the head, and another entry of the list may
	 * have its address. With the double number its zone counts as covered, and it would use the
	 * whole rate of a quota beside another head that does so, too.
	 */
	static const char *const zones[] = {"here", "here", "here", "here"};
	struct pd_address addresses[4];
	struct node *node = open_node("a", "here");
	struct peer follower = open_peer("n0", "here", 7);
	const uint64_t to_itself[] = {INADDR_LOOPBACK, node->address.port};
	int64_t end = pd_os_boot_us() + 100 * PD_USEC_PER_MSEC;

	for (size_t i = 0; i < 4; i++)
		addresses[i] = node->address;
	list_instances(node, zones, addresses, 4);
	deliver_ping(node, &follower, pd_os_boot_us());
	deliver(node, &follower, PD_DATAGRAM_REDIRECT, to_itself, 2, pd_os_boot_us());
	while (pd_os_boot_us() < end)
		pd_cluster_step(&node->cluster);
	ck_assert_uint_eq(node->cluster.head_count, 0);
	ck_assert_uint_eq(view(node, pd_os_boot_us()).zone_covered, 2);
	close(follower.fd);
}
END_TEST

START_TEST(redirects_in_a_circle_end)
{
	/* Guards against datagrams without end: instances whose sources form a circle, as they may
	 * when an address is used by another instance, name each other, and a head that follows
	 * each answer at once would fill the link.
	 */
	struct node *node = open_node("a", "here");
	struct peer one = open_peer("n0", "there", 7), other = open_peer("n1", "there", 8);
	const uint64_t to_one[] = {INADDR_LOOPBACK, ntohs(one.address.sin_port)};
	const uint64_t to_other[] = {INADDR_LOOPBACK, ntohs(other.address.sin_port)};
	static const char *const zones[] = {"there", "there"};
	const struct pd_address addresses[] = {to_address(&one.address),
					       to_address(&other.address)};
	int64_t now = pd_os_boot_us();
	size_t heads = 0;

	list_instances(node, zones, addresses, 2);
	pd_cluster_tick(&node->cluster, now);
	for (int i = 0; i < 1000; i++) {
		struct received received;
		bool any = false;

		if (receive(&one, &received, 2)) {
			deliver(node, &one, PD_DATAGRAM_REDIRECT, to_other, 2, now);
			any = true;
			heads++;
		}
		if (receive(&other, &received, 2)) {
			deliver(node, &other, PD_DATAGRAM_REDIRECT, to_one, 2, now);
			any = true;
			heads++;
		}
		if (!any)
			break;
	}
	ck_assert_uint_ge(heads, 4); /* the two queries, and where they lead */
	ck_assert_uint_le(heads, 20);
	/* The next interval begins anew. */
	pd_cluster_tick(&node->cluster, now + PD_USEC_PER_SEC);
	ck_assert_uint_eq(count_received(&one, PD_DATAGRAM_HEAD), 1);
	deliver(node, &one, PD_DATAGRAM_REDIRECT, to_other, 2, now + PD_USEC_PER_SEC);
	ck_assert_uint_eq(count_received(&other, PD_DATAGRAM_HEAD), 2);
	close(one.fd);
	close(other.fd);
}
END_TEST

START_TEST(forwarded_datagrams_do_not_run_in_a_circle)
{
	/* Guards against datagrams without end between instances that follow each other, as they
	 * may when an address is used by another instance. A datagram passes a few instances, as
	 * the original sender's.
	 */
	struct node *node = open_node("a", "here");
	struct peer source = open_peer("s", "here", 7), sender = open_peer("n0", "here", 8);
	struct pd_datagram datagram = sender.datagram;
	struct received received = {0};
	int passed = 0;

	follow(node, &source);
	datagram.kind = PD_DATAGRAM_USAGE;
	datagram.payload = PD_STR("\x05");
	for (; passed < 100; passed++) {
		pd_cluster_forward_to_source(&node->cluster, &datagram);
		if (!receive(&source, &received, QUIET_MS))
			break;
		ck_assert(pd_name_equal(&received.datagram.sender, &sender.datagram.sender));
		ck_assert_uint_eq(received.datagram.incarnation, 8);
		ck_assert_uint_eq(received.numbers[0], 5);
		datagram = received.datagram;
	}
	ck_assert_int_ge(passed, 3);
	ck_assert_int_le(passed, 16);
	close(source.fd);
	close(sender.fd);
}
END_TEST

START_TEST(two_heads_of_a_zone_find_each_other)
{
	/* Guards against two heads of one zone that both take it for covered, each by half of it,
	 * and never look for each other.
	 */
	static const char *const zones[] = {"here"};
	struct node *one = open_node("a", "here"), *other = open_node("b", "here");
	int64_t end = pd_os_boot_us() + 600 * PD_USEC_PER_MSEC;

	list_instances(one, zones, &other->address, 1);
	list_instances(other, zones, &one->address, 1);
	while (pd_os_boot_us() < end) {
		pd_cluster_step(&one->cluster);
		pd_cluster_step(&other->cluster);
	}
	ck_assert_uint_eq(one->cluster.head_count, 1);
	ck_assert_uint_eq(other->cluster.head_count, 1);
	ck_assert_uint_eq(view(one, pd_os_boot_us()).zone_covered, 2);
}
END_TEST

START_TEST(lists_of_instances_replace_each_other)
{
	/* Guards against instances of one zone that are taken for those of another after the list
	 * has changed, and against a list of more zones than are kept.
	 */
	static const char *const first[] = {"there", "here", "there"};
	static const char *const second[] = {"elsewhere", "there", "here"};
	struct pd_address addresses[3] = {{"127.0.0.1", 1}, {"127.0.0.1", 2}, {"127.0.0.1", 3}};
	struct pd_cluster_instance found[3];
	struct node *node = open_node("a", "here");
	struct pd_cluster_list list;
	int64_t now = pd_os_boot_us();
	struct pd_name name, zone;

	list_instances(node, first, addresses, 3);
	ck_assert_uint_eq(pd_cluster_zone_instances(&node->cluster, 0, found, 3), 1);
	ck_assert_uint_eq(ntohs(found[0].address.sin_port), 2);
	ck_assert_uint_eq(pd_cluster_zone_instances(&node->cluster, 1.5, found, 3), 0);
	ck_assert_uint_eq(pd_cluster_zone_instances(&node->cluster, 0, found, 0), 0);
	list_instances(node, second, addresses, 3);
	ck_assert_uint_eq(view(node, now).zone_count, 3);
	ck_assert_uint_eq(pd_cluster_zone_instances(&node->cluster, 0, found, 3), 1);
	ck_assert_uint_eq(ntohs(found[0].address.sin_port), 3);

	pd_cluster_list_begin(&node->cluster, &list);
	for (int i = 0; i < 1000; i++) {
		char text[16];

		snprintf(text, sizeof(text), "z%d", i % 100);
		set_name(&zone, text);
		snprintf(text, sizeof(text), "n%d", i);
		set_name(&name, text);
		snprintf(addresses[0].ip, sizeof(addresses[0].ip), "%s",
			 i % 10 ? "127.0.0.1" : "::1");
		pd_cluster_list_add(&list, &name, &zone, &addresses[0], 1);
	}
	pd_cluster_list_use(&node->cluster, &list);
	pd_cluster_list_discard(&list);
	ck_assert_uint_eq(view(node, now).zone_count, PD_CLUSTER_ZONES_MAX);
	ck_assert_uint_le(view(node, now).instance_count, 1000);
	pd_cluster_tick(&node->cluster, now);
	list_instances(node, NULL, NULL, 0);
	ck_assert_uint_eq(view(node, now).instance_count, 1);
	pd_cluster_tick(&node->cluster, now + PD_USEC_PER_SEC);
}
END_TEST

START_TEST(datagrams_from_before_a_suspension_are_not_counted)
{
	/* Guards against a process that was suspended and takes its followers and the other heads,
	 * whose last datagrams have waited in its socket, for ones that it hears now. It would use
	 * the whole rate of each quota for another second, although its followers have left.
	 */
	static const char *const zones[] = {"here", "there"};
	const struct pd_address addresses[] = {{"127.0.0.1", 9}, {"127.0.0.1", 9}};
	struct node *node = open_node("a", "here");
	struct peer follower = open_peer("n0", "here", 7), head = open_peer("n1", "there", 8);
	struct sockaddr_in to = {.sin_family = AF_INET,
				 .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
				 .sin_port = htons(node->address.port)};
	static const char ping_bytes[] = "\x01\x01\xa2n0\xa4here\x07\x00\x01\x00";
	static const char head_bytes[] = "\x01\x03\xa2n1\xa5there\x08\x00\x01";

	list_instances(node, zones, addresses, 2);
	for (int suspended = 0; suspended < 2; suspended++) {
		int64_t end;

		for (int i = 0; i < 3; i++)
			pd_cluster_step(&node->cluster);
		sendto(follower.fd, ping_bytes, sizeof(ping_bytes) - 1, 0, (struct sockaddr *)&to,
		       sizeof(to));
		sendto(head.fd, head_bytes, sizeof(head_bytes) - 1, 0, (struct sockaddr *)&to,
		       sizeof(to));
		if (suspended)
			pd_os_sleep_us(PD_CLUSTER_FOLLOWER_TIMEOUT_US + 100 * PD_USEC_PER_MSEC);
		end = pd_os_boot_us() + 100 * PD_USEC_PER_MSEC;
		while (pd_os_boot_us() < end)
			pd_cluster_step(&node->cluster);
		ck_assert_uint_eq(view(node, pd_os_boot_us()).followers, !suspended);
		ck_assert_uint_eq(view(node, pd_os_boot_us()).zones_heard, !suspended);
	}
	/* What is sent from now on counts. */
	sendto(follower.fd, ping_bytes, sizeof(ping_bytes) - 1, 0, (struct sockaddr *)&to,
	       sizeof(to));
	for (int i = 0; i < 4; i++)
		pd_cluster_step(&node->cluster);
	ck_assert_uint_eq(view(node, pd_os_boot_us()).followers, 1);
	close(follower.fd);
	close(head.fd);
}
END_TEST

START_TEST(datagrams_do_not_hold_up_a_tick)
{
	/* Guards against an instance that sends no PINGs, and gets no proof of its configuration,
	 * as long as datagrams arrive faster than they are handled, for instance malformed ones.
	 * 250 take some hundred microseconds.
	 */
	struct node *node = open_node("a", "here");
	struct peer peer = open_peer("p", "here", 7);
	struct sockaddr_in to = {.sin_family = AF_INET,
				 .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
				 .sin_port = htons(node->address.port)};
	uint64_t before = pd_count_get(PD_COUNT_datagrams_malformed);

	for (int i = 0; i < 250; i++)
		ck_assert_int_eq(sendto(peer.fd, "\x05", 1, 0, (struct sockaddr *)&to, sizeof(to)),
				 1);
	node->cluster.next_tick_us = pd_os_boot_us() + 50;
	node->cluster.next_load_us = node->cluster.next_tick_us;
	pd_cluster_step(&node->cluster);
	ck_assert_uint_lt(pd_count_get(PD_COUNT_datagrams_malformed), before + 200);
	/* The others are handled after the tick. */
	for (int i = 0; i < 50; i++)
		pd_cluster_step(&node->cluster);
	ck_assert_uint_eq(pd_count_get(PD_COUNT_datagrams_malformed), before + 250);
	close(peer.fd);
}
END_TEST

START_TEST(address_in_use_is_an_error)
{
	/* Guards against an instance that takes itself for connected although it can't receive
	 * datagrams.
	 */
	struct node *node = create_node("a", "here");
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
				      .sin_port = htons(node->address.port)};
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
	struct pd_error err;

	/* Nothing is sent before the start. */
	pd_cluster_tick(&node->cluster, pd_os_boot_us());
	pd_cluster_send(&node->cluster, PD_DATAGRAM_HEAD, PD_STR(""), &address);
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	ck_assert_int_eq(pd_cluster_start(&node->cluster, &err), PD_SYSTEM);
	ck_assert(!pd_cluster_is_started(&node->cluster));
	ck_assert_int_lt(node->cluster.fd, 0);
	close(fd);
}
END_TEST

START_TEST(instances_learn_of_each_other_over_loopback)
{
	/* Guards against a part of the exchange that doesn't work between processes: a head, its
	 * follower and the head of another zone, of which each starts with the list only.
	 */
	static const char *const zones[2][2] = {{"here", "there"}, {"here", "here"}};
	struct node *head = create_node("a", "here"), *follower = create_node("b", "here");
	struct node *far = create_node("c", "there");
	const struct pd_address of_head[] = {follower->address, far->address};
	const struct pd_address of_far[] = {head->address, follower->address};
	const struct pd_address of_follower[] = {head->address, far->address};
	int64_t end = pd_os_boot_us() + 5 * PD_USEC_PER_SEC, confirmed_us = 0, proved_us;
	struct pd_cluster_view of_head_view, of_far_view;

	list_instances(head, zones[0], of_head, 2);
	list_instances(follower, zones[0], of_follower, 2);
	list_instances(far, zones[1], of_far, 2);
	put_config(head, 4);
	put_config(follower, 4);
	proved_us = pd_os_boot_us();
	pd_directory_confirm_config(&head->directory, proved_us);
	pd_cluster_set_source(&follower->cluster, &head->address);
	for (size_t i = 0; i < node_count; i++)
		ck_assert_int_eq(pd_cluster_start(&nodes[i].cluster, NULL), PD_OK);
	do {
		pd_os_sleep_us(20 * PD_USEC_PER_MSEC);
		of_head_view = view(head, pd_os_boot_us());
		of_far_view = view(far, pd_os_boot_us());
		confirmed_us = pd_directory_config_confirmed_us(&follower->directory);
	} while (pd_os_boot_us() < end && !(of_head_view.followers && of_head_view.zones_heard &&
					    of_far_view.zones_heard && confirmed_us));
	ck_assert_uint_eq(of_head_view.followers, 1);
	ck_assert_uint_eq(of_head_view.zone_covered, 2);
	ck_assert_uint_eq(of_head_view.zones_heard, 1);
	ck_assert_uint_eq(of_far_view.zones_heard, 1);
	ck_assert_int_le(confirmed_us, proved_us);
	ck_assert_int_gt(confirmed_us, proved_us - PD_USEC_PER_SEC);
	/* The threads run on until the process of this test ends, and use the instances. */
	node_count = 0;
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		datagrams_round_trip,
		malformed_and_foreign_datagrams_are_rejected,
		reader_fails_on_items_of_another_type,
		ping_is_answered_with_the_age_of_the_proof,
		proof_that_arrives_during_a_ping_has_age_0,
		pong_proves_no_more_than_the_source_knew,
		pong_to_another_ping_proves_nothing,
		peers_come_go_and_change_roles,
		zones_that_are_heard_in_part_are_noticed,
		heads_agree_on_the_owner_of_an_account,
		restarted_peers_replace_their_entries,
		many_peers_do_not_displace_each_other,
		ping_of_an_instance_with_many_followers_is_answered,
		followers_of_followers_are_counted,
		follower_names_its_source_to_heads,
		head_does_not_count_itself,
		redirects_in_a_circle_end,
		forwarded_datagrams_do_not_run_in_a_circle,
		two_heads_of_a_zone_find_each_other,
		lists_of_instances_replace_each_other,
		datagrams_from_before_a_suspension_are_not_counted,
		datagrams_do_not_hold_up_a_tick,
		address_in_use_is_an_error,
		instances_learn_of_each_other_over_loopback,
	};

	return suite_run_with("cluster", NULL, teardown, tests, sizeof(tests) / sizeof(tests[0]));
}
