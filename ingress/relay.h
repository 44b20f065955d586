/**
 * DOC: Relaying gathered requests to a larger instance of the zone
 *
 * A gathered request costs processor time for each of its parts. An instance on a small machine
 * therefore relays such requests over HTTP to an instance of its zone with at least twice its
 * processor share. It serves a gathered request itself only if no larger instance can have sent
 * parts of it to upstreams. Relaying also reduces the total number of connections to the upstreams.
 */
#ifndef PD_RELAY_H
#define PD_RELAY_H

#include <stdbool.h>
#include <stdint.h>

#include "http.h"
#include "objects.h"
#include "registry.h"
#include "str.h"

/**
 * struct pd_relay_fields - contents of the header field of a relayed request
 * @wait_ms: time to wait for parts, in milliseconds, before those that have arrived are merged; at
 *	most UINT32_MAX when it was read
 * @config_version: minimum version of the configuration by which the request may be served
 * @has_accounts: that configuration has client accounts. One without accounts would pass the API
 *	key on to upstreams.
 */
struct pd_relay_fields {
	uint64_t wait_ms;
	uint64_t config_version;
	bool has_accounts;
};

/* Appends the header field of a relayed request. */
void pd_relay_write_request(const struct pd_relay_fields *fields, struct pd_buf *out);
/* Reads the header field of a relayed request; false if the request comes from a client. */
bool pd_relay_read_request(const struct pd_http_message *msg, struct pd_relay_fields *fields);

/** enum pd_relay_result - result of a relayed request, as stated by the larger instance. */
enum pd_relay_result {
	PD_RELAY_FINAL, /* a response or a refusal, which is forwarded to the client */
	PD_RELAY_NOT_SERVED, /* the larger instance can't serve it and sent nothing to upstreams */
	PD_RELAY_ISOLATED, /* a refusal, since the larger instance reaches too few upstreams, as all
			    * instances of the zone probably do */
};

/* Appends the header field of the response to a relayed request. */
void pd_relay_write_response(enum pd_relay_result result, struct pd_buf *out);
/* Reads the result of a relayed request from its response; PD_RELAY_NOT_SERVED if it isn't stated.
 */
enum pd_relay_result pd_relay_read_response(const struct pd_http_message *msg);

/* Whether @name is one of the header fields above, which aren't forwarded to clients or upstreams.
 */
bool pd_relay_is_field(struct pd_str name);

/* Whether an instance with @own cores relays requests to one with @other cores. */
bool pd_relay_is_larger(double own, double other);
/* Adds the instances to which requests are relayed to the registry. Instances that no longer exist
 * aren't removed from it; failed connections keep them ejected. */
void pd_relay_set_instances(struct pd_registry *registry, const struct pd_instance_entry *instances,
			    size_t count);

#endif
