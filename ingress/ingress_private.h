/**
 * DOC: Internals of the ingress, for its own files
 */
#ifndef PD_INGRESS_PRIVATE_H
#define PD_INGRESS_PRIVATE_H

#include "client.h"
#include "directory.h"
#include "feed.h"
#include "histogram.h"
#include "ingress.h"
#include "membership.h"
#include "pool.h"
#include "registry.h"
#include "reporter.h"
#include "sync.h"

/** enum pd_listener_kind - who connects to a listener. */
enum pd_listener_kind {
	PD_LISTENER_FRONT, /* callers */
	PD_LISTENER_READY, /* the platform */
	PD_LISTENER_METRICS, /* operators */
};

/**
 * struct pd_listener - an address that is listened on
 * @ingress: owner
 * @kind: who connects
 * @address: where
 * @fd: socket, -1 before the start
 * @thread: accepts connections
 */
struct pd_listener {
	struct pd_ingress *ingress;
	enum pd_listener_kind kind;
	struct pd_address address;
	int fd;
	pthread_t thread;
};

#define PD_LISTENERS 3

/**
 * struct pd_ingress - all of it
 * @settings: settings at the start
 * @registry: what is known of services and upstreams
 * @pool: connections to upstreams
 * @relays: larger instances of the zone, to which gathered requests are passed on
 * @directory: what the platform says
 * @sync: hears it in the store
 * @membership: hears it from another instance
 * @reporter: tells other instances of requests that crash upstreams
 * @feed: passes it on to other instances
 * @listeners: front, ready, metrics
 * @lock: guards the fields below
 * @connections: callers' connections
 * @requests: requests that were begun to be read and aren't answered
 * @stopping: SIGTERM was received
 * @closing: no further request is read
 * @last_request_us: when the last request arrived
 * @stop_deadline_us: when a stopping process must have answered everything; 0 while it isn't
 * stopping
 * @isolated: too few services are in reach
 * @latency: time of requests, by outcome
 */
struct pd_ingress {
	struct pd_ingress_settings settings;
	struct pd_registry registry;
	struct pd_pool pool;
	struct pd_service *relays;
	struct pd_directory directory;
	struct pd_sync sync;
	struct pd_membership membership;
	struct pd_reporter reporter;
	struct pd_feed feed;
	struct pd_listener listeners[PD_LISTENERS];
	pthread_mutex_t lock;
	uint32_t connections;
	uint32_t requests;
	bool stopping;
	bool closing;
	int64_t last_request_us;
	int64_t stop_deadline_us;
	bool isolated;
	struct pd_histogram latency;
};

/* Serves one request of a caller and writes the answer; false when the connection must end. */
bool pd_serve_request(struct pd_ingress *ingress, struct pd_client *client);
/* Answers a request that couldn't be read. */
void pd_serve_read_error(struct pd_client *client, enum pd_client_result result);
/* Answers the platform's and operators' requests. */
bool pd_serve_status(struct pd_ingress *ingress, struct pd_client *client,
		     enum pd_listener_kind kind);
bool pd_ingress_is_ready(struct pd_ingress *ingress);
bool pd_ingress_is_stopping(struct pd_ingress *ingress);
/* Whether it serves as many requests as it may. */
bool pd_ingress_at_request_limit(struct pd_ingress *ingress);

#endif
