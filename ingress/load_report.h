/**
 * DOC: Load reports of upstreams, passed on between the instances of a zone
 *
 * An instance sends what it has learned of upstreams (load_news.h) to other instances of its zone
 * that send to the same upstreams: the larger ones, which gather for the smaller ones. It sends at
 * most one datagram to an instance in 20 ms, and to at most 8 instances at a time, which are drawn
 * each time. Nothing is sent, and no thread is needed, before an upstream has stated how long work
 * takes on its machine.
 *
 * A LOAD datagram has a sequence number of the sender's incarnation and the time at which it was
 * sent by the sender's clock; then for each upstream its id, the age of the news, the load plus 1,
 * or 0 if the upstream is silent, and the speed in percent, unless it is silent. The age is in
 * units of 100 us.
 *
 * A datagram that is lost, and one that arrives after a later one of the same sender, change
 * nothing: the next ones have later news. The time that a datagram took is added to the age of its
 * news. It is counted from the fastest datagram of the sender, since the clocks of two machines
 * aren't comparable.
 */
#ifndef PD_LOAD_REPORT_H
#define PD_LOAD_REPORT_H

#include <stdbool.h>
#include <stdint.h>

#include "cluster.h"
#include "load_news.h"

/* Time between two datagrams to the same instance. */
#define PD_LOAD_REPORT_INTERVAL_US (20 * PD_USEC_PER_MSEC)
/* Instances to which news are sent at a time. In a zone with 100 instances, this was better than
 * news for all of them every 250 ms, at about the same number of datagrams (test_balance).
 */
#define PD_LOAD_REPORT_RECEIVERS 8
/* Instances of the zone of which the receivers are drawn, and senders that are remembered: all of
 * the target of 1,000, since the larger ones may be listed last.
 */
#define PD_LOAD_REPORT_PEERS_MAX 1024

/**
 * struct pd_load_sender - an instance whose news were received
 * @incarnation: number of its process; 0 if the entry is unused
 * @sequence: highest sequence number that was received from it
 * @offset_us: lowest difference between this clock and the sender's at the reception of a datagram
 * @heard_us: time at which it was last heard
 */
struct pd_load_sender {
	uint64_t incarnation;
	uint64_t sequence;
	int64_t offset_us;
	int64_t heard_us;
};

/**
 * struct pd_load_report - state of the exchange; used by the thread of the cluster only
 * @registry: registry that has the upstreams
 * @cpu_share: processor share of this instance, in cores
 * @sequence: sequence number of the last datagram
 * @next_us: time of the next datagrams
 * @random_state: state of the random number generator
 * @senders: instances whose news were received
 */
struct pd_load_report {
	struct pd_registry *registry;
	double cpu_share;
	uint64_t sequence;
	int64_t next_us;
	uint64_t random_state;
	struct pd_load_sender senders[PD_LOAD_REPORT_PEERS_MAX];
};

void pd_load_report_init(struct pd_load_report *exchange, struct pd_registry *registry,
			 double cpu_share);
void pd_load_report_finish(struct pd_load_report *exchange);
/* Whether the part needs the cluster's thread. */
bool pd_load_report_is_needed(const struct pd_load_report *exchange);
/* Sends what is due; called by the thread of the cluster, without its lock. */
void pd_load_report_tick(struct pd_load_report *exchange, struct pd_cluster *cluster,
			 int64_t now_us);
/* Handles a datagram of one of the part's kinds; called by the thread of the cluster. */
void pd_load_report_receive(struct pd_load_report *exchange, struct pd_cluster *cluster,
			    const struct pd_datagram *datagram, int64_t now_us);

/**
 * pd_load_report_receivers() - chooses the instances to which news are sent
 * @instances: the other instances of the zone; the chosen ones are moved to the front
 * @count: number of entries in @instances
 * @cpu_share: processor share of this instance, in cores
 * @random: random number
 *
 * Smaller instances, which relay their gathered requests to larger ones, aren't chosen.
 *
 * Return: number of chosen instances, at most PD_LOAD_REPORT_RECEIVERS.
 */
size_t pd_load_report_receivers(struct pd_cluster_instance *instances, size_t count,
				double cpu_share, uint64_t random);
/* Takes the news from the registry and appends the payload of a datagram; returns the number of
 * news in it, with 0 and no payload if there are none. News that don't fit are dropped. */
size_t pd_load_report_encode(struct pd_load_report *exchange, struct pd_buf *payload,
			     int64_t now_us);

#endif
