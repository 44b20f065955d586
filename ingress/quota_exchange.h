/**
 * DOC: Exchange of the use of quotas between instances
 *
 * Sends the reports and news of &struct pd_quota by the cluster, and follows the configuration for
 * the limits. A USAGE or SHARE is a sequence of reports of six numbers each. A QUOTA is the number
 * of instances that have passed it on, the incarnation of the head, a sequence number, and the
 * news: the account, and 0, or 1 and the tokens, the rate and the time until the promised tokens
 * are spent.
 */
#ifndef PD_QUOTA_EXCHANGE_H
#define PD_QUOTA_EXCHANGE_H

#include <stdbool.h>
#include <stdint.h>

#include "cluster.h"
#include "quota.h"

struct pd_catalog;
struct pd_ingress_settings;
struct pd_registry;

/**
 * struct pd_quota_exchange - state of the exchange
 * @enabled: the deployment has quotas
 * @quota: quotas of all accounts
 * @registry: registry, which holds the configuration
 * @catalog: configuration whose limits are in force; NULL if there is none
 * @sequence: number of the last QUOTA
 */
struct pd_quota_exchange {
	bool enabled;
	struct pd_quota quota;
	struct pd_registry *registry;
	struct pd_catalog *catalog;
	uint64_t sequence;
};

void pd_quota_exchange_init(struct pd_quota_exchange *exchange, struct pd_registry *registry,
			    const struct pd_ingress_settings *settings);
void pd_quota_exchange_finish(struct pd_quota_exchange *exchange);
/* Sends what is due; called by the thread of the cluster, without its lock. */
void pd_quota_exchange_tick(struct pd_quota_exchange *exchange, struct pd_cluster *cluster,
			    int64_t now_us);
/* Handles a datagram of one of the part's kinds; called by the thread of the cluster. */
void pd_quota_exchange_receive(struct pd_quota_exchange *exchange, struct pd_cluster *cluster,
			       const struct pd_datagram *datagram, int64_t now_us);

#endif
