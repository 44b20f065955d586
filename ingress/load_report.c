#include "load_report.h"

#include <string.h>

void pd_load_report_init(struct pd_load_report *exchange)
{
	memset(exchange, 0, sizeof(*exchange));
}

void pd_load_report_finish(struct pd_load_report *exchange)
{
	memset(exchange, 0, sizeof(*exchange));
}

void pd_load_report_tick(struct pd_load_report *exchange, struct pd_cluster *cluster,
			 int64_t now_us)
{
	(void)exchange;
	(void)cluster;
	(void)now_us;
}

void pd_load_report_receive(struct pd_load_report *exchange, struct pd_cluster *cluster,
			    const struct pd_datagram *datagram, int64_t now_us)
{
	(void)exchange;
	(void)cluster;
	(void)datagram;
	(void)now_us;
}
