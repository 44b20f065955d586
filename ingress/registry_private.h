/**
 * DOC: Internal functions of the registry, for its own files and the connection pool
 */
#ifndef PD_REGISTRY_PRIVATE_H
#define PD_REGISTRY_PRIVATE_H

#include "registry.h"

void pd_registry_unref_locked(struct pd_upstream *upstream);
void pd_registry_report_received_locked(struct pd_upstream *upstream, int64_t now_us);
uint64_t pd_registry_random_locked(struct pd_registry *registry);
/* Computes the shares of this instance in the rate limits again, for other instances. */
void pd_registry_update_rate_shares_locked(struct pd_registry *registry);

#endif
