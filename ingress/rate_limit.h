/**
 * DOC: Rate limit of an upstream, shared by all instances
 *
 * An upstream may limit the number of requests per second that it takes from all instances
 * together. Each instance keeps to a fixed share of the limit by a token bucket, without messages
 * between the instances: the shares of all instances add up to 1, so that their requests add up to
 * the limit. The bucket holds the share of one second, and one request at least.
 *
 * If instances outnumber the requests per second, one request of each could exceed the limit. Then
 * only some instances, about one for each request per second, have a share. All instances choose
 * the same ones, by weighted rendezvous hashing, and different ones for each upstream.
 *
 * A limit holds until a response states another one or none. Instances with a very small share or
 * none send probes, which add up to a part of the limit, to notice its end. All instances learn of
 * a limit at about the same time, so they send their first tokens and probes in the order of the
 * hashing, evenly spread. Each of them learns it from a response to a request that it sent without
 * a token; the instances with a share make up for these requests before they send others.
 *
 * The functions are not thread-safe: the registry's lock guards the limits. Points in time are in
 * microseconds of pd_os_boot_us().
 */
#ifndef PD_RATE_LIMIT_H
#define PD_RATE_LIMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "str.h"

/**
 * struct pd_instance_load - one instance, for the division of a limit
 * @hash: hash of the instance's name
 * @load: load of gathered requests, relative to the other instances
 */
struct pd_instance_load {
	uint64_t hash;
	double load;
};

/**
 * struct pd_rate_share - share of this instance in the limit of one upstream
 * @share: share of the requests, 0 to 1
 * @probe_share: share of the probes, 0 to 1
 * @first_tokens: number of tokens with which the limit starts; less than 0 for the requests that
 *	the instances send before they know the limit, but more than -2 seconds' share
 * @first_probe: time until the first probe, as a part of the interval of the probes, 0 to 1
 */
struct pd_rate_share {
	double share;
	double probe_share;
	double first_tokens;
	double first_probe;
};

/**
 * pd_rate_share_of() - computes the share of an instance in the limit of an upstream
 * @instances: all instances
 * @count: number of entries in @instances
 * @self: index of the instance
 * @upstream: id of the upstream
 * @limit_per_s: limit of the upstream, in requests per second
 * @gathered: the shares depend on &pd_instance_load.load; otherwise, each instance sends the same
 *	number of requests
 *
 * Return: the share; no share of the requests if memory runs out.
 */
struct pd_rate_share pd_rate_share_of(const struct pd_instance_load *instances, size_t count,
				      size_t self, struct pd_str upstream, double limit_per_s,
				      bool gathered);

/**
 * struct pd_rate_limit - rate limit of one upstream
 * @active: the upstream has a limit
 * @limit_per_s: number of requests per second that the upstream takes from all instances together
 * @share: share of this instance
 * @tokens: number of requests that may be sent, as of @updated_us
 * @updated_us: time at which @tokens was computed
 * @probe_us: time at which a probe may be sent, unless a request is sent earlier
 */
struct pd_rate_limit {
	bool active;
	double limit_per_s;
	struct pd_rate_share share;
	double tokens;
	int64_t updated_us;
	int64_t probe_us;
};

/* Sets the limit that the upstream has stated. Tokens earned by a previous limit are kept, as far
 * as the new one allows. Without a previous limit, the @lately requests that this instance sent
 * within about a second before are made up for. */
void pd_rate_limit_set(struct pd_rate_limit *limit, double limit_per_s, struct pd_rate_share share,
		       double lately, int64_t now_us);
/* Ends the limit. */
void pd_rate_limit_end(struct pd_rate_limit *limit);
/* Returns the time until a request may be sent, in microseconds; 0 if it may be sent now. */
int64_t pd_rate_limit_wait_us(const struct pd_rate_limit *limit, int64_t now_us);
/* Counts a request that is sent now. */
void pd_rate_limit_consume(struct pd_rate_limit *limit, int64_t now_us);

#endif
