/**
 * DOC: Starts a deployment on the loopback interface: platform, upstreams, relay between zones,
 * entry instances and balancer
 */
#ifndef BENCH_DEPLOYMENT_H
#define BENCH_DEPLOYMENT_H

#include "experiment.h"
#include "http_client.h"
#include "platform_client.h"
#include "process.h"

#define BENCH_PROCESSES_MAX 512

/** enum bench_target - which implementation of the entry instance is run */
enum bench_target {
	BENCH_PRODUCT, /* peridot-entry */
	BENCH_NAIVE, /* the baseline, naive-entry */
};

/**
 * struct bench_interval - time during which operators had set a zone out of service
 * @from_ms: Unix time in ms at which the command was accepted; 0 if the zone was never set out
 * @to_ms: Unix time in ms at which the zone was set in again; 0 if it stayed out
 */
struct bench_interval {
	int64_t from_ms;
	int64_t to_ms;
};

/**
 * struct bench_upstream_stats - counters that upstreams report at GET /stats
 * @requests_begun: requests that began to execute
 * @requests_shed: requests that were refused because of overload
 * @cold_overloads: number of times that a cold upstream ran more requests than it can serve while
 * cold, at least one of which was sent when its sender could know of the cold start
 * @unannounced_overloads: number of such overloads that began with a request whose sender couldn't
 * know of the cold start yet
 * @crashes: number of crashes
 * @max_in_flight_cold: maximum number of requests that one cold upstream ran at the same time
 * @new_work_after_drain: requests that arrived after an upstream began to drain
 * @last_new_work_after_drain_ms: time from the start of the drain to the last such request, in ms
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
 * struct bench_deployment - the processes of a deployment, in the order in which they were started
 * @experiment: borrowed; must outlive the deployment
 * @target: whether the product or the baseline runs
 * @folder: path of the folder for settings files and logs
 * @programs: path of the folder that holds the programs
 * @processes: all processes; the indexes below refer to this array
 * @count: number of processes
 * @platform: index of the platform
 * @balancer: index of the balancer
 * @relay: index of the relay, or -1 for the baseline, which delays requests between zones itself
 * @first_upstream: index of the first upstream
 * @upstream_count: number of upstreams
 * @first_entry: index of the first entry instance
 * @relay_control: address of the relay's control interface
 * @entry_http: addresses at which the entry instances serve callers
 * @entry_peer: addresses at which the entry instances accept peer connections
 * @records_lost: for each upstream number, whether its process was stopped, so that its request
 * record is lost
 * @stopped_stats: sum of the counters of all stopped upstream processes
 * @zone_out_intervals: for each zone number, when the zone was out
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
 * Stops all running processes: entry instances with SIGTERM, all others with SIGKILL. Returns the
 * number of entry instances that exited with a status other than 0 or did not exit in time.
 */
int bench_deployment_stop(struct bench_deployment *deployment);
struct bench_process *bench_deployment_find(struct bench_deployment *deployment, const char *name);
/* Zones of an entry instance and of an upstream. */
const struct pd_name *bench_entry_zone(const struct bench_experiment *experiment, int entry);
const struct pd_name *bench_upstream_zone(const struct bench_experiment *experiment, int service,
					  int replica);
void bench_upstream_name(char *out, size_t size, int service, int replica);
/* Number of the entry instance or upstream, counted from 0; -1 if @process is of another type. */
int bench_entry_number(const struct bench_deployment *deployment,
		       const struct bench_process *process);
int bench_upstream_number(const struct bench_deployment *deployment,
			  const struct bench_process *process);
/*
 * Adds the counters of the upstream at @address to @stats and updates the maxima. Does nothing if
 * the upstream does not answer.
 */
void bench_stats_add(struct bench_upstream_stats *stats, const struct pd_address *address);
/* Sends one command line to a process with POST /control. */
enum pd_code bench_control(const struct pd_address *address, const char *line,
			   struct pd_error *err);
/* Sends a GET request for @path and appends the response body to @body, which may be NULL. */
enum pd_code bench_get(const struct pd_address *address, const char *path, struct pd_buf *body,
		       struct pd_error *err);

#endif
