/**
 * DOC: Internal functions of the membership, for its own files
 */
#ifndef PD_MEMBERSHIP_PRIVATE_H
#define PD_MEMBERSHIP_PRIVATE_H

#include "membership.h"

/* Lists all instances, with a stale read that may be some seconds old, and updates the sources, the
 * relays and the shares of this instance. Returns PD_NO_MEMORY, or as pd_store_list().
 */
enum pd_code pd_membership_list_instances(struct pd_membership *membership, struct pd_error *err);
/* Creates this instance's entry in the store, or replaces it if it has another address. A failure
 * is logged, and &pd_membership.registered stays false.
 */
void pd_membership_register(struct pd_membership *membership);

#endif
