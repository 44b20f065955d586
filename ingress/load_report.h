/**
 * DOC: Load reports of upstreams, passed on between the instances of a zone
 */
#ifndef PD_LOAD_REPORT_H
#define PD_LOAD_REPORT_H

#include <stdbool.h>
#include <stdint.h>

#include "cluster.h"

/**
 * struct pd_load_report - state of the exchange
 * @enabled: the part is in use
 */
struct pd_load_report {
	bool enabled;
};

void pd_load_report_init(struct pd_load_report *exchange);
void pd_load_report_finish(struct pd_load_report *exchange);
/* Sends what is due; called by the thread of the cluster, without its lock. */
void pd_load_report_tick(struct pd_load_report *exchange, struct pd_cluster *cluster,
			 int64_t now_us);
/* Handles a datagram of one of the part's kinds; called by the thread of the cluster. */
void pd_load_report_receive(struct pd_load_report *exchange, struct pd_cluster *cluster,
			    const struct pd_datagram *datagram, int64_t now_us);

#endif
