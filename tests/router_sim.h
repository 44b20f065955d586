/**
 * DOC: Discrete-event simulation of queries over services of two upstreams, with the router's
 * decisions or a naive policy (round robin without hedging) on the same draws
 *
 * Service times are lognormal (median 10 ms, sigma 0.3), at 30% load of three slots.
 */
#ifndef ROUTER_SIM_H
#define ROUTER_SIM_H

#include "router.h"

#define SIM_SERVICES  20
#define SIM_UPSTREAMS 2
/* Fewer make the 99th percentile jump: 0.8% of queries have two stragglers at one service. */
#define SIM_QUERIES  40000
#define SIM_SLOTS    3
#define SIM_NO_LIMIT 1000000 /* slots: nothing waits */

/**
 * struct sim_setup - one run
 * @round_robin: round robin without hedging in place of the router
 * @hedging: the router's hedges are sent
 * @one_slow_upstream: the first upstream of the first service is 10 times slower
 * @slots: of each upstream
 * @queries: at most SIM_QUERIES
 * @seed: of arrivals and of the router
 */
struct sim_setup {
	bool round_robin;
	bool hedging;
	bool one_slow_upstream;
	int slots;
	int queries;
	unsigned long seed;
};

/**
 * struct sim_result - figures of one run
 * @p99_us: 99th percentile of whole answers, in microseconds
 * @p99_after_5s_us: of queries after 5 s
 * @hedge_ratio: hedges for each first sub-request
 */
struct sim_result {
	double p99_us;
	double p99_after_5s_us;
	double hedge_ratio;
};

struct pd_config *sim_config(void);
/* Draws all service times; the share @stragglers of them is 10 times longer. */
void sim_draw_service_times(unsigned long seed, double stragglers);
struct sim_result sim_run(const struct sim_setup *setup);
/* 99th percentile when the better upstream of each service is picked in hindsight. */
double sim_oracle_p99_us(void);

#endif
