/**
 * DOC: Cluster: exchange of small datagrams between instances
 *
 * Knows the other instances, the source that this instance follows, the instances that follow this
 * one, and the heads: instances without a source, of which each zone has one in calm. A thread
 * receives datagrams, passes them to the parts that they belong to, and runs a tick of each part
 * every 50 ms. It doesn't run until pd_cluster_start() is called, because deployments that need no
 * part of it are served without.
 *
 * A follower also learns here how recent its configuration is proven to be: the PONG of its source
 * states the age of the source's proof, and the follower counts it from when it sent the PING.
 *
 * Points in time are in microseconds of pd_os_boot_us(). A datagram is lost rather than that a
 * sender waits.
 */
#ifndef PD_CLUSTER_H
#define PD_CLUSTER_H

#include <netinet/in.h>
#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "datagram.h"
#include "error.h"
#include "os.h"
#include "str.h"

struct pd_directory;
struct pd_load_report;
struct pd_quota_exchange;
struct pd_rollout_exchange;

#define PD_CLUSTER_TICK_US	 (50 * PD_USEC_PER_MSEC)
#define PD_CLUSTER_ZONES_MAX	 64
#define PD_CLUSTER_HEADS_MAX	 64
#define PD_CLUSTER_FOLLOWERS_MAX 512 /* a zone of 1,000 instances in three has 333 */
/* Number of PINGs whose PONG is accepted: one that is 4 s late proves little more. */
#define PD_CLUSTER_PINGS_MAX 8
/* A head or follower that wasn't heard for this long is no longer counted: two to three of its
 * datagrams are lost, or it doesn't run. */
#define PD_CLUSTER_HEAD_TIMEOUT_US     (1000 * PD_USEC_PER_MSEC)
#define PD_CLUSTER_FOLLOWER_TIMEOUT_US (1500 * PD_USEC_PER_MSEC)
/* Quotas are divided when a head or followers weren't heard for this long: while both sides of a
 * partition use the whole quota, it may be exceeded, and a false alarm only reduces the quota for a
 * moment. */
#define PD_CLUSTER_QUOTA_TIMEOUT_US	     (600 * PD_USEC_PER_MSEC)
#define PD_CLUSTER_QUOTA_FOLLOWER_TIMEOUT_US (1100 * PD_USEC_PER_MSEC)

/**
 * struct pd_cluster_instance - one other instance, from the list in the store
 * @name_hash: hash of its name
 * @zone: index of its zone in &pd_cluster.zones
 * @cpu_share: its processor share, in cores
 * @address: address to which datagrams are sent
 */
struct pd_cluster_instance {
	uint64_t name_hash;
	uint32_t zone;
	float cpu_share;
	struct sockaddr_in address;
};

/**
 * struct pd_cluster_peer - an instance that was heard: a head or a follower of this instance
 * @name: its name
 * @zone: its zone
 * @incarnation: number of its process
 * @address: address that its datagrams come from
 * @heard_us: time at which it was last heard
 * @followers: number of instances that follow it, directly or through others, as it states
 * @zone_bits: zones that a head hears, as it states; see &pd_cluster_view.quota_zone_bits
 */
struct pd_cluster_peer {
	struct pd_name name;
	struct pd_name zone;
	uint64_t incarnation;
	struct sockaddr_in address;
	int64_t heard_us;
	uint32_t followers;
	uint64_t zone_bits;
};

/**
 * struct pd_cluster_parts - the parts to which datagrams are passed; one that is NULL gets none
 * @directory: copy of the platform's objects; never NULL
 * @quota: use of quotas
 * @load: load reports of upstreams
 * @rollout: roll-outs
 */
struct pd_cluster_parts {
	struct pd_directory *directory;
	struct pd_quota_exchange *quota;
	struct pd_load_report *load;
	struct pd_rollout_exchange *rollout;
};

/**
 * struct pd_cluster_view - what this instance knows of the others at one moment
 * @is_head: it follows no other instance
 * @source_heard_us: time at which the source was last heard; 0 if there is none or it wasn't heard
 * @instance_count: number of listed instances, this one included
 * @zone_count: number of zones of the listed instances
 * @zone_instances: number of listed instances of this zone, this one included
 * @followers: number of instances that follow this one, directly or through others, of those
 *	that were heard lately
 * @zone_covered: number of instances of this zone that are this one, other heads of the zone that
 *	were heard lately, and the followers of all these
 * @zones_heard: number of other zones of which a head was heard lately
 * @quota_followers: number of followers that were heard within PD_CLUSTER_QUOTA_FOLLOWER_TIMEOUT_US
 * @quota_zones: number of zones of which a head was heard within PD_CLUSTER_QUOTA_TIMEOUT_US, this
 *	instance's own included
 * @quota_zone_bits: these zones, each as the bit of its name's hash
 * @quota_in_part: one of these heads hears a zone that this instance doesn't
 * @quota_instances: number of listed instances of these zones
 * @quota_covered: number of instances that are this one, the heads that were heard within that
 *	time, and the followers of all these
 * @links: differs when the source, or one of the other heads, is another one or a new process
 */
struct pd_cluster_view {
	bool is_head;
	int64_t source_heard_us;
	size_t instance_count;
	size_t zone_count;
	size_t zone_instances;
	size_t followers;
	size_t zone_covered;
	size_t zones_heard;
	size_t quota_followers;
	size_t quota_zones;
	uint64_t quota_zone_bits;
	bool quota_in_part;
	size_t quota_instances;
	size_t quota_covered;
	uint64_t links;
};

/**
 * struct pd_cluster - exchange of datagrams
 * @parts: parts to which datagrams are passed
 * @name: name of this instance
 * @zone: zone of this instance
 * @address: address on which datagrams are received
 * @incarnation: random number of this process
 * @fd: socket; -1 before the start
 * @thread: thread that receives datagrams and runs the ticks
 * @lock: guards all fields below
 * @started: the thread runs
 * @zones: zones of the listed instances; the first one is that of this instance
 * @zone_count: number of entries in @zones
 * @instances: all listed instances but this one
 * @instance_count: number of entries in @instances
 * @has_source: this instance follows another one
 * @source: address of the source, if it has one
 * @source_heard_us: time at which a PONG of the source was last received; 0 if none was
 * @pings: time stamps of the last PINGs to the source; 0 in unused entries
 * @ping_count: number of PINGs to the source
 * @heads: heads that were heard; NULL until the first one is
 * @head_count: number of entries in @heads
 * @followers: followers that were heard; NULL until the first one is
 * @follower_count: number of entries in @followers
 * @logged: view that was last logged
 * @next_ping_us: time of the next PING
 * @next_head_us: time of the next HEAD
 * @next_tick_us: time of the next tick; used by the thread only
 * @next_load_us: time of the next tick of load reports; used by the thread only
 * @redirects_left: number of REDIRECTs that are followed until the next HEAD
 * @emptied_us: time at which the socket was last known to be empty; used by the thread only
 * @random_state: state of the random number generator
 */
struct pd_cluster {
	struct pd_cluster_parts parts;
	struct pd_name name;
	struct pd_name zone;
	struct pd_address address;
	uint64_t incarnation;
	int fd;
	pthread_t thread;
	pthread_mutex_t lock;
	bool started;
	struct pd_name zones[PD_CLUSTER_ZONES_MAX];
	size_t zone_count;
	struct pd_cluster_instance *instances;
	size_t instance_count;
	bool has_source;
	struct sockaddr_in source;
	int64_t source_heard_us;
	int64_t pings[PD_CLUSTER_PINGS_MAX];
	size_t ping_count;
	struct pd_cluster_peer *heads;
	size_t head_count;
	struct pd_cluster_peer *followers;
	size_t follower_count;
	struct pd_cluster_view logged;
	int64_t next_ping_us;
	int64_t next_head_us;
	int64_t next_tick_us;
	int64_t next_load_us;
	int64_t emptied_us;
	size_t redirects_left;
	uint64_t random_state;
};

void pd_cluster_init(struct pd_cluster *cluster, const struct pd_cluster_parts *parts,
		     const struct pd_name *name, const struct pd_name *zone,
		     const struct pd_address *address);
void pd_cluster_finish(struct pd_cluster *cluster);
/* Opens the socket and starts the thread; PD_OK if it runs already. */
enum pd_code pd_cluster_start(struct pd_cluster *cluster, struct pd_error *err);
bool pd_cluster_is_started(struct pd_cluster *cluster);

/* Set the other instances and their zones: begin a list, add each instance, and use the list. An
 * instance of more than PD_CLUSTER_ZONES_MAX zones, or for which memory runs out, is left out. */
struct pd_cluster_list {
	struct pd_name zones[PD_CLUSTER_ZONES_MAX];
	size_t zone_count;
	struct pd_cluster_instance *instances;
	size_t count;
	size_t capacity;
};
void pd_cluster_list_begin(const struct pd_cluster *cluster, struct pd_cluster_list *list);
void pd_cluster_list_add(struct pd_cluster_list *list, const struct pd_name *name,
			 const struct pd_name *zone, const struct pd_address *address,
			 double cpu_share);
/* Takes over the memory of @list. */
void pd_cluster_list_use(struct pd_cluster *cluster, struct pd_cluster_list *list);
void pd_cluster_list_discard(struct pd_cluster_list *list);

/* Records that this instance follows the instance at @address, or none if it is NULL. */
void pd_cluster_set_source(struct pd_cluster *cluster, const struct pd_address *address);

/* Whether datagrams from the address come from the instance that this one follows. */
bool pd_cluster_is_source(struct pd_cluster *cluster, const struct sockaddr_in *from);
void pd_cluster_view(struct pd_cluster *cluster, int64_t now_us, struct pd_cluster_view *view);

/* Send a payload; nothing is sent before the start. */
void pd_cluster_send(struct pd_cluster *cluster, enum pd_datagram_kind kind, struct pd_str payload,
		     const struct sockaddr_in *to);
void pd_cluster_send_to_source(struct pd_cluster *cluster, enum pd_datagram_kind kind,
			       struct pd_str payload);
void pd_cluster_send_to_followers(struct pd_cluster *cluster, enum pd_datagram_kind kind,
				  struct pd_str payload);
/* Sends to all other heads that were heard lately, those of this zone included. */
void pd_cluster_send_to_heads(struct pd_cluster *cluster, enum pd_datagram_kind kind,
			      struct pd_str payload);
/* Passes a datagram on to the source, as one of its original sender. One that has been passed on
 * PD_DATAGRAM_HOPS_MAX times is dropped.
 */
void pd_cluster_forward_to_source(struct pd_cluster *cluster, const struct pd_datagram *datagram);
/* Determines the head that owns an account: the one with the greatest weight for it of this head
 * and those that it shares quotas with. False if that is this instance, or if it isn't a head. */
bool pd_cluster_find_owner(struct pd_cluster *cluster, uint64_t account, int64_t now_us,
			   struct sockaddr_in *owner);
/* Returns the address on which this instance receives datagrams. */
struct sockaddr_in pd_cluster_own_address(const struct pd_cluster *cluster);
/* Copies up to @max listed instances of this zone with at least @cpu_share_min cores; returns their
 * number. */
size_t pd_cluster_zone_instances(struct pd_cluster *cluster, double cpu_share_min,
				 struct pd_cluster_instance *instances, size_t max);

/* The functions below are called by pd_cluster_start() and its thread, and by tests without it. */

/* Opens the socket. */
enum pd_code pd_cluster_open(struct pd_cluster *cluster, struct pd_error *err);
/* Runs the tick if it is due; otherwise waits for datagrams until then, and receives them. */
void pd_cluster_step(struct pd_cluster *cluster);
void pd_cluster_receive(struct pd_cluster *cluster, const struct pd_datagram *datagram,
			int64_t now_us);
void pd_cluster_tick(struct pd_cluster *cluster, int64_t now_us);

#endif
