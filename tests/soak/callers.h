/**
 * DOC: Callers of the soak: threads that send requests and check what comes back
 */
#ifndef SOAK_CALLERS_H
#define SOAK_CALLERS_H

#include <stdint.h>

/* Starts the callers; what they send depends on @seed. */
void callers_start(uint64_t seed);
/* Lets each finish the request that it waits for. */
void callers_stop(void);
/* Next number of a sequence (SplitMix64). */
uint64_t callers_random(uint64_t *state);

#endif
