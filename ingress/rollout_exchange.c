#include "rollout_exchange.h"

#include <string.h>

void pd_rollout_exchange_init(struct pd_rollout_exchange *exchange)
{
	memset(exchange, 0, sizeof(*exchange));
}

void pd_rollout_exchange_finish(struct pd_rollout_exchange *exchange)
{
	memset(exchange, 0, sizeof(*exchange));
}

void pd_rollout_exchange_tick(struct pd_rollout_exchange *exchange, struct pd_cluster *cluster,
			      int64_t now_us)
{
	(void)exchange;
	(void)cluster;
	(void)now_us;
}

void pd_rollout_exchange_receive(struct pd_rollout_exchange *exchange, struct pd_cluster *cluster,
				 const struct pd_datagram *datagram, int64_t now_us)
{
	(void)exchange;
	(void)cluster;
	(void)datagram;
	(void)now_us;
}
