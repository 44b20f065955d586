/**
 * DOC: Exchange of evidence and permitted shares of roll-outs between instances
 */
#ifndef PD_ROLLOUT_EXCHANGE_H
#define PD_ROLLOUT_EXCHANGE_H

#include <stdbool.h>
#include <stdint.h>

#include "cluster.h"

/**
 * struct pd_rollout_exchange - state of the exchange
 * @enabled: the part is in use
 */
struct pd_rollout_exchange {
	bool enabled;
};

void pd_rollout_exchange_init(struct pd_rollout_exchange *exchange);
void pd_rollout_exchange_finish(struct pd_rollout_exchange *exchange);
/* Sends what is due; called by the thread of the cluster, without its lock. */
void pd_rollout_exchange_tick(struct pd_rollout_exchange *exchange, struct pd_cluster *cluster,
			      int64_t now_us);
/* Handles a datagram of one of the part's kinds; called by the thread of the cluster. */
void pd_rollout_exchange_receive(struct pd_rollout_exchange *exchange, struct pd_cluster *cluster,
				 const struct pd_datagram *datagram, int64_t now_us);

#endif
