/**
 * DOC: Exchange of the use of quotas between instances
 */
#ifndef PD_QUOTA_EXCHANGE_H
#define PD_QUOTA_EXCHANGE_H

#include <stdbool.h>
#include <stdint.h>

#include "cluster.h"

/**
 * struct pd_quota_exchange - state of the exchange
 * @enabled: the part is in use
 */
struct pd_quota_exchange {
	bool enabled;
};

void pd_quota_exchange_init(struct pd_quota_exchange *exchange);
void pd_quota_exchange_finish(struct pd_quota_exchange *exchange);
/* Sends what is due; called by the thread of the cluster, without its lock. */
void pd_quota_exchange_tick(struct pd_quota_exchange *exchange, struct pd_cluster *cluster,
			    int64_t now_us);
/* Handles a datagram of one of the part's kinds; called by the thread of the cluster. */
void pd_quota_exchange_receive(struct pd_quota_exchange *exchange, struct pd_cluster *cluster,
			       const struct pd_datagram *datagram, int64_t now_us);

#endif
