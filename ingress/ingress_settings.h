/**
 * DOC: Settings of the ingress
 */
#ifndef PD_INGRESS_SETTINGS_H
#define PD_INGRESS_SETTINGS_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "error.h"
#include "os.h"
#include "str.h"

/**
 * struct pd_ingress_settings - what an ingress process is told
 * @node: name of this instance
 * @zone: its availability zone
 * @front: where callers connect
 * @ready: where the platform asks whether it is ready
 * @peer: where other instances of the zone connect
 * @metrics: where counters and histograms are served
 * @store: the platform's store
 * @cpu_share: processor share of this machine, in cores
 * @max_descriptors: most open descriptors
 * @retry_ratio: further arrivals allowed for each request, over all instances
 * @retry_slack: further arrivals allowed besides in each window, over all instances
 * @grace_ms: time between SIGTERM and SIGKILL
 * @log_lines_per_s: most log lines per second
 */
struct pd_ingress_settings {
	struct pd_name node;
	struct pd_name zone;
	struct pd_address front;
	struct pd_address ready;
	struct pd_address peer;
	struct pd_address metrics;
	struct sockaddr_in store;
	double cpu_share;
	uint32_t max_descriptors;
	double retry_ratio;
	double retry_slack;
	uint32_t grace_ms;
	uint32_t log_lines_per_s;
};

#endif
