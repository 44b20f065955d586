/**
 * DOC: Callers of the soak: threads that send requests and check the answers
 */
#ifndef SOAK_CALLERS_H
#define SOAK_CALLERS_H

#include <stdint.h>

/* Starts the caller threads; @seed determines the requests that they send. */
void callers_start(uint64_t seed);
/* Waits until each caller has finished its current request, and ends the threads. */
void callers_stop(void);
/* Returns the next number of a pseudo-random sequence (SplitMix64) and advances @state. */
uint64_t callers_random(uint64_t *state);

#endif
