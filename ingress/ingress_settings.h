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
 * struct pd_ingress_settings - settings of an ingress process
 * @node: name of this instance
 * @zone: availability zone of this instance
 * @front: address on which clients connect
 * @ready: address on which the platform checks readiness
 * @peer: address on which other instances of the zone connect
 * @metrics: address on which counters and histograms are served
 * @store: address of the platform's store
 * @cpu_share: processor share of this instance, in cores
 * @max_descriptors: maximum number of open file descriptors
 * @memory_max_bytes: memory limit of this process, in bytes; 0 if not stated
 * @retry_ratio: number of retries and hedges that all instances together may send per request
 * @retry_slack: number of retries and hedges that all instances together may send in any time
 *	window beyond those allowed by @retry_ratio
 * @grace_ms: time from SIGTERM to SIGKILL when the platform stops the process, in milliseconds
 * @config_apply_ms: time in which a configuration must be in force, in milliseconds; 0 if not
 *	stated
 * @revocation_ms: time after which a request with a withdrawn API key must not run at any instance,
 *	in milliseconds; 0 if revocation isn't strict
 * @quota_window_s: length of the window in which quotas hold, in seconds; 0 if there are none
 * @quota_overage: share of a quota by which all instances together may exceed it
 * @quota_slack: number of requests by which they may exceed it beyond that
 * @exposure_share: share of a service's requests that a bad version may get in a roll-out; 0 if
 *	there are no roll-outs
 * @exposure_slack: number of requests that it may get beyond that
 * @rollback_ms: time after the 50th bad answer of a version after which it must get no request, in
 *	milliseconds
 * @log_lines_per_s: maximum number of log lines per second
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
	uint64_t memory_max_bytes;
	double retry_ratio;
	double retry_slack;
	uint32_t grace_ms;
	uint32_t config_apply_ms;
	uint32_t revocation_ms;
	double quota_window_s;
	double quota_overage;
	double quota_slack;
	double exposure_share;
	double exposure_slack;
	uint32_t rollback_ms;
	uint32_t log_lines_per_s;
};

#endif
