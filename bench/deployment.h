/**
 * DOC: Starts a deployment on loopback: platform, upstreams, relays between zones, entry instances,
 * balancer
 */
#ifndef BENCH_DEPLOYMENT_H
#define BENCH_DEPLOYMENT_H

#include "experiment.h"
#include "http_client.h"
#include "platform_client.h"
#include "process.h"

#define BENCH_PROCESSES_MAX 512

/** enum bench_target - which entry instances run. */
enum bench_target {
	BENCH_PRODUCT,
	BENCH_NAIVE,
};

/**
 * struct bench_interval - when operators had a zone out
 * @from_ms: Unix ms of the accepted command; 0: never
 * @to_ms: Unix ms; 0: to the end
 */
struct bench_interval {
	int64_t from_ms;
	int64_t to_ms;
};

/**
 * struct bench_upstream_stats - what upstreams print at GET /stats
 * @requests_begun: requests that began to run
 * @requests_shed: refused for load
 * @cold_overloads: times that a cold upstream held more than it bears
 * @unannounced_overloads: the same, before anybody could know of the cold start
 * @crashes: of the upstream
 * @max_in_flight_cold: most requests that one cold upstream ran at once
 * @new_work_after_drain: requests that came after an upstream began to drain
 * @last_new_work_after_drain_ms: time from the begin of the drain to the last of these
 */
struct bench_upstream_stats {
	int64_t requests_begun;
	int64_t requests_shed;
	int64_t cold_overloads;
	int64_t unannounced_overloads;
	int64_t crashes;
	int64_t max_in_flight_cold;
	int64_t new_work_after_drain;
	int64_t last_new_work_after_drain_ms;
};

/**
 * struct bench_deployment - the processes, in the order of their start
 * @experiment: borrowed
 * @target: product or baseline
 * @folder: for settings and logs, below build/
 * @programs: folder of the programs
 * @platform: index of the platform
 * @balancer: index
 * @relay: index, or -1 for the baseline, which delays by itself
 * @first_upstream: index of the first upstream
 * @upstream_count: number of upstreams
 * @first_entry: index of the first entry instance
 * @relay_control: address of the relay's control path
 * @entry_http: addresses for callers
 * @entry_peer: addresses for peers
 * @records_lost: the upstream with this number was ended, and its record with it
 * @stopped_stats: sums over upstream processes that were ended
 * @zone_out_intervals: by number of the zone
 */
struct bench_deployment {
	const struct bench_experiment *experiment;
	enum bench_target target;
	char folder[256];
	char programs[256];
	struct bench_process processes[BENCH_PROCESSES_MAX];
	int count;
	int platform;
	int balancer;
	int relay;
	int first_upstream;
	int upstream_count;
	int first_entry;
	struct pd_address relay_control;
	struct pd_address entry_http[64];
	struct pd_address entry_peer[64];
	bool records_lost[BENCH_PROCESSES_MAX];
	struct bench_upstream_stats stopped_stats;
	struct bench_interval zone_out_intervals[BENCH_ZONES_MAX];
};

enum pd_code bench_deployment_start(struct bench_deployment *deployment,
				    const struct bench_experiment *experiment,
				    enum bench_target target, const char *programs,
				    const char *folder, struct pd_error *err);
/*
 * Stops what runs: entry instances with SIGTERM, the others with SIGKILL. Returns the number of
 * entry instances that ended with another status than 0, or not in time.
 */
int bench_deployment_stop(struct bench_deployment *deployment);
struct bench_process *bench_deployment_find(struct bench_deployment *deployment, const char *name);
/* Zone of an entry instance or upstream by number. */
const struct pd_name *bench_entry_zone(const struct bench_experiment *experiment, int entry);
const struct pd_name *bench_upstream_zone(const struct bench_experiment *experiment, int service,
					  int replica);
void bench_upstream_name(char *out, size_t size, int service, int replica);
/* Number of the entry instance or upstream, from 0; -1 when @process is neither. */
int bench_entry_number(const struct bench_deployment *deployment,
		       const struct bench_process *process);
int bench_upstream_number(const struct bench_deployment *deployment,
			  const struct bench_process *process);
/* Adds one upstream's counters to @stats, and raises its maxima; nothing when it doesn't answer. */
void bench_stats_add(struct bench_upstream_stats *stats, const struct pd_address *address);
/* POST /control with one line. */
enum pd_code bench_control(const struct pd_address *address, const char *line,
			   struct pd_error *err);
/* GET of @path into @body. */
enum pd_code bench_get(const struct pd_address *address, const char *path, struct pd_buf *body,
		       struct pd_error *err);

#endif
