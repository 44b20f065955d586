/**
 * DOC: Internal functions of the registry, for its own files and the connection pool
 */
#ifndef PD_REGISTRY_PRIVATE_H
#define PD_REGISTRY_PRIVATE_H

#include "registry.h"

void pd_registry_unref_locked(struct pd_upstream *upstream);
void pd_registry_report_received_locked(struct pd_upstream *upstream, int64_t now_us);
/* Records a load report, whose @speed is 0 if it doesn't state one. */
void pd_registry_record_load_locked(struct pd_upstream *upstream, double load, double speed,
				    int64_t now_us);
/* Returns a service, which is added if it is new; NULL if memory runs out or the name is empty. */
struct pd_service *pd_registry_get_service_locked(struct pd_registry *registry, struct pd_str name);
uint64_t pd_registry_random_locked(struct pd_registry *registry);

/* Returns whether an upstream may get requests by its version, and which ones. */
enum pd_version_use pd_version_use_locked(const struct pd_upstream *upstream, int64_t now_us);
/* Chooses the version that gets a service's requests without an order, after its upstreams or
 * orders have changed.
 */
void pd_version_update_locked(struct pd_service *service);
/* Whether the next first attempt may go to the version that is rolled out. */
bool pd_version_canary_is_due(const struct pd_service *service);
/* Count a request that is sent, and its result, as evidence of a running order. */
void pd_version_count_sent_locked(struct pd_upstream *upstream, bool first);
void pd_version_count_result_locked(struct pd_upstream *upstream, const struct pd_report *report,
				    int64_t now_us);
/* Records what a response of the upstream states about further requests, and closes the idle
 * connections if the upstream is leaving. Ignored for instances of the ingress, whose refusals
 * concern one request. @sent_us as for pd_permit_record_limit_locked().
 */
void pd_registry_record_directives_locked(struct pd_registry *registry,
					  struct pd_upstream *upstream,
					  const struct pd_directives *directives, int64_t sent_us,
					  int64_t now_us);

#endif
