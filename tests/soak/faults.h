/**
 * DOC: Faults and changes of the soak, drawn from a seed; they come in series and overlap
 */
#ifndef SOAK_FAULTS_H
#define SOAK_FAULTS_H

#include <stdbool.h>
#include <stdint.h>

/* Draws which groups of faults this seed plays. Prints them. */
void faults_init(uint64_t seed);
/* Ends faults whose time is over, and begins new ones unless @healing. Call every few ms. */
void faults_poll(bool healing);
/* True when no fault acts any more. */
bool faults_all_ended(void);
/* Faults begun so far. */
uint32_t faults_started(void);

#endif
