/**
 * DOC: A fleet of registries, for tests of limits that hold for all instances together
 *
 * The instances send requests to the upstreams "a", which may state a rate limit, and "b". Time is
 * simulated.
 */
#ifndef TEST_REGISTRY_FLEET_H
#define TEST_REGISTRY_FLEET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "registry.h"

#define FLEET_MAX      129
#define FLEET_SENT_MAX 100000
#define FLEET_EPOCH_S  1000.0 /* time at which the requests of a fleet start */
#define LIMIT_WINDOW_S 4.0

/**
 * struct fleet - instances that send requests to the upstreams "a", which has a rate limit, and "b"
 * @instances: registries of the instances
 * @count: number of @instances
 * @limit_per_s: limit that "a" states; negative for none
 * @sent: times of the requests to "a", in microseconds since the start
 * @sent_count: number of entries in @sent
 * @refused: number of requests for which no upstream was usable
 */
struct fleet {
	struct pd_registry instances[FLEET_MAX];
	size_t count;
	double limit_per_s;
	int64_t sent[FLEET_SENT_MAX];
	size_t sent_count;
	size_t refused;
};

/**
 * struct fleet_burst - a burst in which "a" states a limit and half of the instances restart
 * @instances: number of instances
 * @limit_per_s: limit that "a" states from the eighth second on
 * @demand_per_s: requests per second of one instance
 * @restart_interval_us: time between two restarts, from the seventh second on, in microseconds
 */
struct fleet_burst {
	size_t instances;
	double limit_per_s;
	double demand_per_s;
	int64_t restart_interval_us;
};

extern struct fleet fleet;

/* Returns the entry of an upstream of the service "s". */
struct pd_upstream_entry make_entry(const char *id, const char *zone);
/* Tells a registry that it belongs to the instance @self of @count instances of the same size. */
void set_instances(struct pd_registry *instance, size_t self, size_t count);
void fleet_init(size_t count, bool with_other_upstream);
void fleet_finish(void);
/* Sends a request from one instance. "a" states its limit in the response. */
void fleet_send(size_t instance, int64_t now);
/* Sends @per_s requests per second from each instance, evenly, from @start_s to @end_s. */
void fleet_run(double per_s, double start_s, double end_s);
/* Returns the number of requests to "a" from @start_s on for @seconds. */
size_t fleet_sent_in(double start_s, double seconds);
/* Returns the highest number of requests to "a" in any 4 s that begin between the two times. */
size_t fleet_most_in_window(double start_s, double end_s);
/* Returns the number of requests in 4 s that the users' rules allow for a limit. */
size_t allowed_in_window(double limit_per_s);
/* Plays a burst with the random numbers of @seed; returns the highest number of requests to "a" in
 * any 4 s after it has stated its limit.
 */
size_t fleet_play_burst(const struct fleet_burst *burst, uint64_t seed);

#endif
