/**
 * DOC: Internals of the ingress, shared by its source files
 */
#ifndef PD_INGRESS_PRIVATE_H
#define PD_INGRESS_PRIVATE_H

#include "client.h"
#include "cluster.h"
#include "directory.h"
#include "fair_share.h"
#include "feed.h"
#include "histogram.h"
#include "ingress.h"
#include "load_report.h"
#include "membership.h"
#include "pool.h"
#include "quota_exchange.h"
#include "registry.h"
#include "reporter.h"
#include "rollout_exchange.h"
#include "sync.h"

/** enum pd_listener_kind - purpose of a listener. */
enum pd_listener_kind {
	PD_LISTENER_FRONT, /* requests of clients */
	PD_LISTENER_READY, /* readiness checks of the platform */
	PD_LISTENER_METRICS, /* metrics for operators */
};

/**
 * struct pd_listener - a listening socket
 * @ingress: ingress that owns the listener
 * @kind: purpose of the listener
 * @address: address on which it listens
 * @fd: listening socket; -1 before the start
 * @thread: thread that accepts connections
 */
struct pd_listener {
	struct pd_ingress *ingress;
	enum pd_listener_kind kind;
	struct pd_address address;
	int fd;
	pthread_t thread;
};

#define PD_LISTENER_COUNT 3

/**
 * struct pd_ingress - state of the ingress process
 * @settings: settings with which the process was started
 * @registry: registry of services, zones and upstreams
 * @pool: connections to upstreams
 * @directory: copy of the platform's objects
 * @sync: updates @directory from the store
 * @membership: finds the other instances, and updates @directory from one of them
 * @reporter: reports requests that crash upstreams to the other instances
 * @feed: sends the contents of @directory to instances that follow this one
 * @quota: use of the accounts' quotas, exchanged with the other instances
 * @load: load reports of upstreams, exchanged with the instances of the zone
 * @load_started: the exchange of load reports was started; used by the main thread only
 * @rollout: roll-outs, with evidence exchanged with the other instances
 * @fair_share: recent work of accounts and routes, for fair admission
 * @cluster: exchange of datagrams between instances, for @quota, @load and @rollout
 * @listeners: listening sockets, indexed by enum pd_listener_kind
 * @lock: guards all fields below
 * @connections: number of open connections accepted by @listeners
 * @requests: number of clients' requests in flight, from their first byte to the response
 * @stopping: a graceful shutdown has begun
 * @closing: no further requests are read
 * @last_request_us: time at which the last request began to arrive or the shutdown began, whichever
 *	is later, in microseconds of pd_os_boot_us()
 * @serve_until_us: time until which a stopping process takes all requests, in microseconds of
 *	pd_os_boot_us()
 * @stop_deadline_us: time by which a stopping process must have sent all responses, in microseconds
 *	of pd_os_boot_us(); 0 while it isn't stopping
 * @isolated: too few of the services are reachable; the instance reports that it isn't ready
 * @latency: histogram of the time to serve a request
 */
struct pd_ingress {
	struct pd_ingress_settings settings;
	struct pd_registry registry;
	struct pd_pool pool;
	struct pd_directory directory;
	struct pd_sync sync;
	struct pd_membership membership;
	struct pd_reporter reporter;
	struct pd_feed feed;
	struct pd_quota_exchange quota;
	struct pd_load_report load;
	bool load_started;
	struct pd_rollout_exchange rollout;
	struct pd_fair_share fair_share;
	struct pd_cluster cluster;
	struct pd_listener listeners[PD_LISTENER_COUNT];
	pthread_mutex_t lock;
	uint32_t connections;
	uint32_t requests;
	bool stopping;
	bool closing;
	int64_t last_request_us;
	int64_t serve_until_us;
	int64_t stop_deadline_us;
	bool isolated;
	struct pd_histogram latency;
};

/* Serves the request that was read from @client and writes the response; false if the connection
 * must be closed.
 */
bool pd_serve_request(struct pd_ingress *ingress, struct pd_client *client);
/* Writes an error response to a request that couldn't be read. */
void pd_serve_read_error(struct pd_client *client, enum pd_client_result result);
/* Serves readiness checks and requests for metrics; false if the connection must be closed. */
bool pd_serve_status(struct pd_ingress *ingress, struct pd_client *client,
		     enum pd_listener_kind kind);
/* Whether clients should be sent to this instance. */
bool pd_ingress_is_ready(struct pd_ingress *ingress);
bool pd_ingress_is_stopping(struct pd_ingress *ingress);
/* Whether a request of the route is served, or left to another instance: one that may run only
 * once, and that arrives late in a shutdown, may not be complete when the process has to end, and
 * its client couldn't send it again.
 */
bool pd_ingress_takes(struct pd_ingress *ingress, const struct pd_route *route);
/* Whether more requests are in flight than the ingress admits. */
bool pd_ingress_at_request_limit(struct pd_ingress *ingress);

#endif
