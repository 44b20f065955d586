/**
 * DOC: Exchange of evidence and permitted shares of roll-outs between instances
 *
 * Each instance sends its evidence to its source, and heads send what they receive to the other
 * heads (EVIDENCE), with the phase that they are in. Each head runs a struct pd_rollout for each
 * running order, permits its phase to its followers (EXPOSURE), and has the store called by the
 * writer. The thread of the cluster calls everything here.
 */
#ifndef PD_ROLLOUT_EXCHANGE_H
#define PD_ROLLOUT_EXCHANGE_H

#include <stdbool.h>
#include <stdint.h>

#include "cluster.h"
#include "rollout.h"
#include "rollout_writer.h"

/**
 * struct pd_rollout_head - what another head has stated on an order
 * @name: name of the head
 * @zone: its zone
 * @incarnation: number of its process
 * @stamp: time of the statement by its clock
 * @heard_us: time at which it was received
 * @phase: phase that the head is in
 * @decided: outcome that it wants to write
 * @state: state that it knows from the store or from a write that succeeded
 * @full_until_us: time until which it stays in the full phase at least; 0 if it isn't in it
 * @drained: its zone sends nothing to the old version any more
 */
struct pd_rollout_head {
	struct pd_name name;
	struct pd_name zone;
	uint64_t incarnation;
	uint64_t stamp;
	int64_t heard_us;
	enum pd_rollout_phase phase;
	enum pd_rollout_state decided;
	enum pd_rollout_state state;
	int64_t full_until_us;
	bool drained;
};

/**
 * struct pd_rollout_tracked - an order that runs, or has ended lately
 * @order: the order
 * @rollout: its state, if this instance is a head
 * @ledger: evidence that was received, and that of this process
 * @heads: statements of the other heads
 * @head_count: number of entries in @heads
 * @exposure_sender: number of the process that sent the last permission
 * @exposure_sequence: number of that permission
 * @gauges: state of this process that was last sent
 * @phase: phase that was last sent to followers
 * @logged: phase that was last logged
 * @drained: this zone sends nothing to the old version any more
 * @ignored: it was logged that the service is unknown
 * @decision_logged: outcome whose decision was logged
 * @ended_us: time at which the outcome became known; 0 until then
 * @next_evidence_us: time at which evidence is sent next
 * @next_repeat_us: time at which all evidence is sent next, also that which was sent before
 */
struct pd_rollout_tracked {
	struct pd_rollout_order order;
	struct pd_rollout rollout;
	struct pd_rollout_ledger ledger;
	struct pd_rollout_head heads[PD_CLUSTER_HEADS_MAX];
	size_t head_count;
	uint64_t exposure_sender;
	uint64_t exposure_sequence;
	struct pd_rollout_gauges gauges;
	enum pd_rollout_phase phase;
	enum pd_rollout_phase logged;
	bool drained;
	bool ignored;
	enum pd_rollout_state decision_logged;
	int64_t ended_us;
	int64_t next_evidence_us;
	int64_t next_repeat_us;
};

/**
 * struct pd_rollout_exchange - state of the exchange
 * @enabled: the part is in use
 * @share: share of the requests that a bad version may get
 * @slack: number of requests that it may get beyond that
 * @registry: registry whose upstreams have versions
 * @directory: knows the orders
 * @writer: calls the store
 * @tracked: orders that run or have ended lately
 * @tracked_count: number of entries in @tracked
 * @changes: changes of the orders that were taken over
 * @set: the orders
 * @head_since_us: time since which this instance is a head; 0 if it isn't
 * @sequence: number of the last permission that was sent
 * @next_exposure_us: time at which permissions are sent next
 */
struct pd_rollout_exchange {
	bool enabled;
	double share;
	double slack;
	struct pd_registry *registry;
	struct pd_directory *directory;
	struct pd_rollout_writer *writer;
	struct pd_rollout_tracked *tracked[PD_ROLLOUTS_MAX];
	size_t tracked_count;
	uint64_t changes;
	struct pd_rollout_set *set;
	int64_t head_since_us;
	uint64_t sequence;
	int64_t next_exposure_us;
};

void pd_rollout_exchange_init(struct pd_rollout_exchange *exchange);
void pd_rollout_exchange_finish(struct pd_rollout_exchange *exchange);
/* Begins to use the part, with the bounds on what a bad version may get; before the start of the
 * cluster and the sync.
 */
enum pd_code pd_rollout_exchange_enable(struct pd_rollout_exchange *exchange,
					struct pd_directory *directory, struct pd_sync *sync,
					double share, double slack, struct pd_error *err);
/* Sends what is due; called by the thread of the cluster, without its lock. */
void pd_rollout_exchange_tick(struct pd_rollout_exchange *exchange, struct pd_cluster *cluster,
			      int64_t now_us);
/* Handles a datagram of one of the part's kinds; called by the thread of the cluster. */
void pd_rollout_exchange_receive(struct pd_rollout_exchange *exchange, struct pd_cluster *cluster,
				 const struct pd_datagram *datagram, int64_t now_us);

#endif
