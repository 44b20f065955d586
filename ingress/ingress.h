/**
 * DOC: Ingress: forwards the requests of clients to the upstreams that the platform's store lists
 *
 * Order of use: pd_ingress_create(), pd_ingress_start(), pd_ingress_maintain() repeatedly,
 * pd_ingress_begin_stop(), and pd_ingress_may_exit() until it returns true. There is no function to
 * free an ingress: its threads end with the process.
 */
#ifndef PD_INGRESS_H
#define PD_INGRESS_H

#include "error.h"
#include "ingress_settings.h"

struct pd_ingress;

/**
 * pd_ingress_create() - allocates an ingress without starting it
 * @settings: settings, which are copied
 * @err: filled on failure
 *
 * Return: the ingress, or NULL if out of memory.
 */
struct pd_ingress *pd_ingress_create(const struct pd_ingress_settings *settings,
				     struct pd_error *err);
/* Opens the listening sockets and starts all threads. */
enum pd_code pd_ingress_start(struct pd_ingress *ingress, struct pd_error *err);
/* Applies the settings that may change at run time: the address of the platform's store. */
void pd_ingress_reload(struct pd_ingress *ingress, const struct pd_ingress_settings *settings);
/* Performs periodic maintenance: connection pool, held removals, probes of unreachable zones,
 * health state and log output. Must be called about every 100 ms.
 */
void pd_ingress_maintain(struct pd_ingress *ingress);
/* Begins a graceful shutdown: the instance reports that it isn't ready, and closes each client
 * connection after the next response. After @serve_us microseconds, requests that may run only once
 * are refused if they may not be complete when the process has to end.
 */
void pd_ingress_begin_stop(struct pd_ingress *ingress, int64_t serve_us);
/**
 * pd_ingress_may_exit() - checks whether the process can exit without interrupting a request
 * @ingress: ingress
 * @close: stop reading further requests from now on
 *
 * Return: true if no request is in flight and either further requests are no longer read or none
 * arrived recently.
 */
bool pd_ingress_may_exit(struct pd_ingress *ingress, bool close);

#endif
