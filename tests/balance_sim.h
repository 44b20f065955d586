/**
 * DOC: Simulation of load balancing, without a network
 *
 * Several dispatchers, each with a registry of its own, send the parts of queries to the upstreams
 * of one service. The upstreams are modelled; the choice among them, its statistics and the
 * handling of load reports are those of the product (registry, evidence, pick).
 *
 * There is one upstream in each of three zones, with 2 slots and one queue. A part is 2.5 to 7.5 ms
 * of work. The machines take 0.8, 1.0 and 1.3 times as long; in 15% of the steps of 600 ms, they
 * take 2.5 times as long as that. Each upstream pauses for 100 ms every 2.4 s, at its own time.
 */
#ifndef TEST_BALANCE_SIM_H
#define TEST_BALANCE_SIM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define BALANCE_UPSTREAMS 3
#define BALANCE_SLOTS	  2

/* Value of @delay_us: dispatchers know only their own reports. */
#define BALANCE_OWN_REPORTS (-1)

/**
 * struct balance_setup - one run
 * @dispatchers: number of dispatchers, spread over the zones of the upstreams
 * @delay_us: time after which a report that one dispatcher has received is known to the others of
 *	its zone, in microseconds; BALANCE_OWN_REPORTS if they never know it
 * @load: offered work as a share of the upstreams' capacity
 * @states_speed: responses state how long work takes on the upstream's machine
 * @own_usual: the stated speed is relative to what is usual for that machine, rather than for all
 * @hedges: late parts are hedged, within the retry budget
 * @loss: share of the passed-on reports that are lost
 * @parts: number of parts
 * @seed: seed of all random numbers
 */
struct balance_setup {
	int dispatchers;
	int64_t delay_us;
	double load;
	bool states_speed;
	bool own_usual;
	bool hedges;
	double loss;
	size_t parts;
	uint64_t seed;
};

/**
 * struct balance_result - figures of one run
 * @p50_ms: median latency of a part
 * @p99_ms: 99th percentile of the latency of a part
 * @query_p99_ms: 99th percentile of the latency of a query that needs 86 (95%) of 90 parts, if the
 *	parts are independent of each other
 * @spread: difference between the longest and the shortest queue, including running parts, as a
 *	mean over time
 * @idle_share: share of time in which one upstream queues while another one has a free slot
 * @sent: number of requests that upstreams received, with hedges, for each part
 * @other_zone: share of the requests that go to upstreams of another zone
 * @passed: number of passed-on reports that dispatchers received, for each part
 */
struct balance_result {
	double p50_ms;
	double p99_ms;
	double query_p99_ms;
	double spread;
	double idle_share;
	double sent;
	double other_zone;
	double passed;
};

struct balance_result balance_run(const struct balance_setup *setup);

#endif
