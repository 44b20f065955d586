/**
 * DOC: Discrete-event simulation of queries over services with two upstreams each
 *
 * Upstreams and hedges are chosen by the router, or, for comparison, by round robin without
 * hedging; both use the same service times. These are lognormal (median 10 ms, sigma 0.3). With
 * three slots, the load of each upstream is 30%.
 */
#ifndef ROUTER_SIM_H
#define ROUTER_SIM_H

#include "router.h"

#define SIM_SERVICES  20
#define SIM_UPSTREAMS 2 /* upstreams of each service */
/*
 * With fewer queries the 99th percentile varies too much, because 0.8% of queries have two
 * stragglers at one service.
 */
#define SIM_QUERIES  40000
#define SIM_SLOTS    3
#define SIM_NO_LIMIT 1000000 /* as the number of slots: no sub-request is queued */

/**
 * struct sim_setup - parameters of a run
 * @round_robin: choose upstreams by round robin without hedging, instead of by the router
 * @hedging: send the router's hedges
 * @one_slow_upstream: the first upstream of the first service is 10 times slower
 * @slots: concurrency limit of each upstream
 * @queries: number of queries, at most SIM_QUERIES
 * @seed: seed of the arrival times and of the router
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
 * struct sim_result - results of a run
 * @p99_us: 99th percentile of the latency of queries, in microseconds
 * @p99_after_5s_us: the same for queries that arrive 5 s after the start or later
 * @hedge_ratio: number of hedges divided by the number of first sub-requests
 */
struct sim_result {
	double p99_us;
	double p99_after_5s_us;
	double hedge_ratio;
};

/* Creates the configuration of the simulated services and upstreams. */
struct pd_config *sim_config(void);
/* Draws all service times; the share @stragglers of them is made 10 times longer. */
void sim_draw_service_times(unsigned long seed, double stragglers);
/* Runs a simulation on the service times drawn last. */
struct sim_result sim_run(const struct sim_setup *setup);
/*
 * Returns the 99th percentile of query latency in microseconds if the faster upstream of each
 * service were always known in advance.
 */
double sim_oracle_p99_us(void);

#endif
