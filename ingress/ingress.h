/**
 * DOC: The ingress: callers on one side, upstreams and the platform's store on the other
 *
 * Order of use: pd_ingress_init(), pd_ingress_start(), pd_ingress_stop(), pd_ingress_finish().
 */
#ifndef PD_INGRESS_H
#define PD_INGRESS_H

#include "error.h"
#include "ingress_settings.h"

struct pd_ingress;

/**
 * pd_ingress_create() - allocates an ingress that isn't started
 * @settings: settings
 * @err: error
 *
 * Return: the ingress, or NULL without memory.
 */
struct pd_ingress *pd_ingress_create(const struct pd_ingress_settings *settings,
				     struct pd_error *err);
/* Listens and starts all tasks. */
enum pd_code pd_ingress_start(struct pd_ingress *ingress, struct pd_error *err);
/* Takes over what may change while it runs. */
void pd_ingress_reload(struct pd_ingress *ingress, const struct pd_ingress_settings *settings);
/* Work that is due now and then; call about every 100 ms. */
void pd_ingress_maintain(struct pd_ingress *ingress);
/* Reports not ready, and asks callers to go elsewhere with their next request. */
void pd_ingress_begin_stop(struct pd_ingress *ingress);
/**
 * pd_ingress_may_exit() - whether no request would be cut by an exit now
 * @ingress: ingress
 * @close: no further request is read from now on
 */
bool pd_ingress_may_exit(struct pd_ingress *ingress, bool close);

#endif
