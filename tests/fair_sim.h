/**
 * DOC: Simulation of fair admission at several instances that share upstreams, without a network
 *
 * The upstreams are modelled; admission, choice of an upstream, expected latency and load reports
 * are those of the product (fair_share, policy, pick, registry, evidence).
 *
 * Two services have 3 upstreams each, with 2 slots and one queue. A part is 2.5 to 7.5 ms of work
 * on a usual machine; the machines take 0.8, 1.0 and 1.3 times as long. An instance receives a
 * report of each upstream about every 20 ms if there are 6 instances, and every 300 ms if there are
 * 100.
 */
#ifndef TEST_FAIR_SIM_H
#define TEST_FAIR_SIM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define FAIR_ROUTES	       3
#define FAIR_ACCOUNTS	       7
#define FAIR_PRIORITIES	       3
#define FAIR_INSTANCES_COUNTED 6
#define FAIR_NOISY	       3 /* index of the account that sends 7 times its usual use */
#define FAIR_LESS_URGENT       4 /* index of the account with the lowest priority */

/**
 * struct fair_setup - one run
 * @instances: number of instances
 * @load: offered work as a share of the capacity of the first service, with the noise
 * @load_after: the same after @burst_us, if there is a burst
 * @burst_us: time after which the load falls to @load_after; 0 if it never does
 * @states_speed: responses state how long work takes on the upstream's machine
 * @fair: fair admission, as with accounts; otherwise as without
 * @busy_share: share of the clients that are at the first instance; 0 if all have as many
 * @noisy: one account sends 7 times its usual use
 * @returns: a refused client returns once, at the time that it was told
 * @queue: number of requests that an upstream queues at most; it rejects others; 0 for no limit
 * @seed: seed of all random numbers
 */
struct fair_setup {
	int instances;
	double load;
	double load_after;
	int64_t burst_us;
	bool states_speed;
	bool fair;
	double busy_share;
	bool noisy;
	bool returns;
	uint32_t queue;
	uint64_t seed;
};

/**
 * struct fair_tally - requests of one kind
 * @offered: number that arrived
 * @served: number with a response in time
 * @late: number that were admitted and had no response in time
 */
struct fair_tally {
	double offered;
	double served;
	double late;
};

/**
 * struct fair_result - figures of one run, or of several seeds together
 * @all: all requests
 * @accounts: by account
 * @routes: by route
 * @kinds: by priority and route
 * @instances: by instance, of the first ones
 * @returned: requests of clients that returned when they were told to
 * @useful: number of parts of requests that were served in time
 * @wait_us: sum of the times after which refused clients were told to return
 * @refused: number of refused requests
 */
struct fair_result {
	struct fair_tally all;
	struct fair_tally accounts[FAIR_ACCOUNTS];
	struct fair_tally routes[FAIR_ROUTES];
	struct fair_tally kinds[FAIR_PRIORITIES][FAIR_ROUTES];
	struct fair_tally instances[FAIR_INSTANCES_COUNTED];
	struct fair_tally returned;
	double useful;
	double wait_us;
	double refused;
};

/* Returns the share of the requests that were served in time; 1 if there were none. */
double fair_served_share(const struct fair_tally *tally);
/* Runs the simulation with several seeds, prints the figures and returns their sum. */
struct fair_result fair_sim_run(struct fair_setup setup);

#endif
