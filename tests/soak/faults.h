/**
 * DOC: Faults and configuration changes of the soak, chosen at random from a seed
 *
 * A fault has one or more steps, and several faults can be active at the same time.
 */
#ifndef SOAK_FAULTS_H
#define SOAK_FAULTS_H

#include <stdbool.h>
#include <stdint.h>

struct fleet_version;

/* Selects, from @seed, the groups of faults to inject and their rate; prints the groups. */
void faults_init(uint64_t seed);
/* The configuration that the faults start from. */
const struct fleet_version *faults_first_config(void);
/* Runs the steps that are due and, unless @end_only, starts new faults. Call every few ms. */
void faults_poll(bool end_only);
/* Publishes the smallest quotas; call it when no fault is active. */
void faults_reduce_quotas(void);
/* True when no fault is active. */
bool faults_all_ended(void);
/* Number of faults started so far. */
uint32_t faults_started(void);

#endif
