/**
 * DOC: Roll-outs of the soak: orders good and bad versions, and checks exposure and outcomes
 *
 * One service at a time gets two new upstreams of a new version beside its two old ones.
 */
#ifndef SOAK_ROLLOUTS_H
#define SOAK_ROLLOUTS_H

#include "fleet.h"

/* Bounds, as in the instances' settings. */
#define ROLLOUT_EXPOSURE_SHARE 0.1
#define ROLLOUT_EXPOSURE_SLACK 50
#define ROLLOUT_ROLLBACK_MS    5000

/* Selects the kinds of versions from @seed. */
void rollouts_init(uint64_t seed);
/* Runs the steps that are due; starts no other roll-out if @end_only. Call every few ms. */
void rollouts_poll(bool end_only);
/* True when no roll-out is in progress. */
bool rollouts_all_ended(void);
/* Records a request at an upstream; @connected: sent to an instance that is connected. */
void rollouts_record_locked(long number, const struct fleet_upstream *upstream, bool connected,
			    int64_t now_us);
/* Prints the numbers of roll-outs by outcome. */
void rollouts_print(void);

#endif
