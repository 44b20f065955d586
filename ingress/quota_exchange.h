/**
 * DOC: Exchange of the use of quotas between instances
 *
 * Sends the reports and news of &struct pd_quota by the cluster, and follows the configuration for
 * the limits. A USAGE or SHARE is a sequence of reports of six numbers each. A QUOTA is the number
 * of instances that have passed it on, the incarnation of the head, a sequence number, and the
 * news: the account, and 0, or 1 and the tokens, the rate and the time until the promised tokens
 * are spent.
 *
 * An ASK is the address of the instance that asks, whether a head has passed it on to the owner of
 * the account, the account, the origin of the instance's reports and a nonce. It goes from source
 * to source to a head, and from there to the head that owns the account, which sends the ANSWER to
 * the instance that asked: account, nonce, whether the request is admitted, and otherwise the time
 * to return; then the rate and the tokens that the owner decided by, which an earlier version
 * doesn't state.
 */
#ifndef PD_QUOTA_EXCHANGE_H
#define PD_QUOTA_EXCHANGE_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "cluster.h"
#include "quota.h"

struct pd_catalog;
struct pd_ingress_settings;
struct pd_registry;

struct pd_quota_question;

/**
 * struct pd_quota_exchange - state of the exchange
 * @enabled: the deployment has quotas
 * @quota: quotas of all accounts
 * @registry: registry, which holds the configuration
 * @catalog: configuration whose limits are in force; NULL if there is none
 * @sequence: number of the last QUOTA
 * @lock: guards the field below
 * @questions: questions of threads that wait for an answer, or to ask
 * @changed: a question was answered, or is no longer waited for
 */
struct pd_quota_exchange {
	bool enabled;
	struct pd_quota quota;
	struct pd_registry *registry;
	struct pd_catalog *catalog;
	uint64_t sequence;
	pthread_mutex_t lock;
	struct pd_quota_question *questions;
	pthread_cond_t changed;
};

void pd_quota_exchange_init(struct pd_quota_exchange *exchange, struct pd_registry *registry,
			    const struct pd_ingress_settings *settings);
void pd_quota_exchange_finish(struct pd_quota_exchange *exchange);
/* Sends what is due; called by the thread of the cluster, without its lock. */
void pd_quota_exchange_tick(struct pd_quota_exchange *exchange, struct pd_cluster *cluster,
			    int64_t now_us);

/**
 * struct pd_quota_decision - decision on a request
 * @verdict: whether it is admitted
 * @counted: it was counted already: the owner of the account has admitted it
 * @owner: name of the owner, if that decided
 */
struct pd_quota_decision {
	struct pd_quota_verdict verdict;
	bool counted;
	struct pd_name owner;
};

/**
 * pd_quota_exchange_admit() - whether a request may be sent to upstreams
 * @exchange: exchange
 * @cluster: cluster
 * @account: account of the request
 * @timeout_us: time for which an answer may be waited for
 *
 * Asks the owner of the account while few of its tokens are left; without an answer in time, this
 * instance decides by what it knows. May be called by several threads at once.
 *
 * Return: the decision.
 */
struct pd_quota_decision pd_quota_exchange_admit(struct pd_quota_exchange *exchange,
						 struct pd_cluster *cluster,
						 const struct pd_account *account,
						 int64_t timeout_us);
/* Logs a request that was refused, with what the decision is based on. */
void pd_quota_exchange_log_refusal(struct pd_quota_exchange *exchange,
				   const struct pd_account *account, struct pd_str request_id,
				   const struct pd_quota_decision *decision);
/* Whether the owner of the account would be asked now. */
bool pd_quota_exchange_asks(struct pd_quota_exchange *exchange, const struct pd_account *account);
/* Handles a datagram of one of the part's kinds; called by the thread of the cluster. */
void pd_quota_exchange_receive(struct pd_quota_exchange *exchange, struct pd_cluster *cluster,
			       const struct pd_datagram *datagram, int64_t now_us);

#endif
