/**
 * DOC: Having gathered requests served by a larger instance of the zone
 *
 * A gathered request costs processor time for each of its parts. An instance on a small machine
 * passes such requests on to instances of its zone with at least twice its processor share, over
 * HTTP, and serves them itself only when none of those answers. The larger instances also need
 * fewer connections to the upstreams in all.
 */
#ifndef PD_RELAY_H
#define PD_RELAY_H

#include <stdbool.h>
#include <stdint.h>

#include "http.h"
#include "objects.h"
#include "registry.h"
#include "str.h"

/* The registry's service whose upstreams are the larger instances; no name that operators can use.
 */
#define PD_RELAY_SERVICE ".relays"

/**
 * struct pd_relay_fields - what an instance says when it passes a request on
 * @wait_ms: how long parts may be waited for, before those that are in are merged
 * @config_version: configuration by which the request is served
 */
struct pd_relay_fields {
	uint64_t wait_ms;
	uint64_t config_version;
};

/* Appends the header field of a request that is passed on. */
void pd_relay_write_request(const struct pd_relay_fields *fields, struct pd_buf *out);
/* False for a request that comes from a caller. */
bool pd_relay_read_request(const struct pd_http_message *msg, struct pd_relay_fields *fields);

/** enum pd_relay_result - what a refusal of a larger instance means. */
enum pd_relay_result {
	PD_RELAY_FINAL, /* an answer, or a refusal that holds for the caller */
	PD_RELAY_NOT_SERVED, /* it can't serve this request, and nothing was sent to upstreams */
	PD_RELAY_ISOLATED, /* it reaches too few upstreams, as all instances of the zone probably do
			    */
};

/* Appends the header field of an answer to a request that was passed on. */
void pd_relay_write_response(enum pd_relay_result verdict, struct pd_buf *out);
enum pd_relay_result pd_relay_read_response(const struct pd_http_message *msg);

/* True for the fields above, which don't reach callers or upstreams. */
bool pd_relay_is_field(struct pd_str name);

/* Whether an instance with processor share @own passes requests on to one with @other. */
bool pd_relay_is_larger(double own, double other);
/* Puts the instances to pass requests on to into the registry. Those that are gone are left alone
 * by their failures. */
void pd_relay_set_instances(struct pd_registry *registry, const struct pd_instance_entry *instances,
			    size_t count);

#endif
