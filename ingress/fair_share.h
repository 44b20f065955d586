/**
 * DOC: Fair admission: which requests are refused when the upstreams' capacity becomes scarce
 *
 * Finds by trial how many requests each service can take: what became of the sub-requests that were
 * sent raises or lowers a limit. It also compares how long a request is expected to take with the
 * time that is left for it. While no limit is reached and there is time to spare, every request is
 * admitted. Otherwise, less urgent requests are refused first, and of the same urgency those of
 * accounts that have had more than their share of this instance's recent work. An account or route
 * that is served much less often than others comes first, as long as it can be in time. Uses no
 * state of other instances.
 *
 * Points in time are in microseconds of pd_os_boot_us(). All functions may be called by several
 * threads at once.
 */
#ifndef PD_FAIR_SHARE_H
#define PD_FAIR_SHARE_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Number of entries for accounts and for routes; those with the same one are treated as one. */
#define PD_FAIR_ENTRIES 2048
/* Number of classes of requests in the order in which they are admitted: three priorities, and for
 * each of them accounts within and above their share. */
#define PD_FAIR_CLASSES 6

/**
 * struct pd_fair_request - a request to be decided on
 * @account: hash of the account's name; 0 for an anonymous request
 * @route: hash of the route's name
 * @weight: weight of the account: its rate, or 1
 * @priority: priority; 0 is the highest
 * @services: hashes of the names of the services that the request asks
 * @legs: number of sub-requests, and of entries in @services
 * @needed: number of sub-requests that must be served
 * @expected_us: expected latency of the last part that the request needs; 0 if unknown
 * @left_us: time that is left for it
 */
struct pd_fair_request {
	uint64_t account;
	uint64_t route;
	double weight;
	uint32_t priority;
	const uint64_t *services;
	size_t legs;
	size_t needed;
	int64_t expected_us;
	int64_t left_us;
};

/**
 * struct pd_fair_verdict - whether a request is admitted
 * @admitted: it is
 * @over_share: its account has had more than its share of the recent work
 * @wait_us: if it isn't admitted, time after which the client may send it again
 */
struct pd_fair_verdict {
	bool admitted;
	bool over_share;
	int64_t wait_us;
};

/**
 * struct pd_fair_entry - recent requests of an account or of a route, or of all
 * @weight: weight of the account
 * @work: number of sub-requests that were admitted
 * @offered: number of requests
 * @admitted: number of these that were admitted
 * @updated_us: time of these numbers, which fall exponentially
 */
struct pd_fair_entry {
	double weight;
	double work;
	double offered;
	double admitted;
	int64_t updated_us;
};

/** enum pd_fair_result - what became of a sub-request that was admitted. */
enum pd_fair_result {
	PD_FAIR_IN_TIME, /* its response was in time */
	PD_FAIR_LATE, /* it had no response when it was needed */
	PD_FAIR_NOT_TAKEN, /* no upstream took it */
};

/**
 * struct pd_fair_outcome - what became of a sub-request
 * @service: hash of the name of its service
 * @admitted_us: time at which its request was admitted
 * @ended_us: time at which its response arrived, or at which it was given up
 * @usual_us: usual time of a sub-request to the service, without a queue; 0 if unknown
 * @queued: an upstream of the service has lately stated that requests are queued there
 * @result: what became of it
 */
struct pd_fair_outcome {
	uint64_t service;
	int64_t admitted_us;
	int64_t ended_us;
	int64_t usual_us;
	bool queued;
	enum pd_fair_result result;
};

/**
 * struct pd_fair_service - recent requests to a service, and how many of them can be served
 * @offered: number of requests of each class; falls exponentially
 * @refused: number of these that were refused
 * @admitted: number of requests that were admitted; falls exponentially
 * @failed: number of sub-requests that showed overload; falls exponentially
 * @limit: number of requests that may be admitted in the time over which they are remembered;
 *	0 while the service isn't overloaded
 * @limited_us: time at which @limit was last reduced
 * @shortest_us: shortest time left of a recent request that was admitted
 * @shortest_at_us: time of that request
 * @usual_us: usual time of a sub-request, without a queue; 0 if unknown
 * @updated_us: time of the numbers
 */
struct pd_fair_service {
	double offered[PD_FAIR_CLASSES];
	double refused[PD_FAIR_CLASSES];
	double admitted;
	double failed;
	double limit;
	int64_t limited_us;
	int64_t shortest_us;
	int64_t shortest_at_us;
	int64_t usual_us;
	int64_t updated_us;
};

/**
 * struct pd_fair_share - recent work of this instance
 * @lock: guards all fields below
 * @random_state: state of the random number generator
 * @accounts: PD_FAIR_ENTRIES entries of accounts, by their hash; NULL until the first request
 * @routes: PD_FAIR_ENTRIES entries of routes, by their hash; NULL until the first request
 * @services: PD_FAIR_ENTRIES entries of services, by their hash; NULL until the first request
 * @all: all requests
 */
struct pd_fair_share {
	pthread_mutex_t lock;
	uint64_t random_state;
	struct pd_fair_entry *accounts;
	struct pd_fair_entry *routes;
	struct pd_fair_service *services;
	struct pd_fair_entry all;
};

/**
 * pd_fair_share_limit() - part of the time left that a request may be expected to take
 * @priority: priority of the request; 0 is the highest
 * @over_share: its account has had more than its share
 * @neglected: its account or route is served much less often than all requests are
 *
 * For bursts beyond the capacity of the upstreams, in which queues grow until they take up the time
 * that is left.
 *
 * Return: the part, at most 1.
 */
double pd_fair_share_limit(uint32_t priority, bool over_share, bool neglected);

/* @seed is a random number other than 0. */
void pd_fair_share_init(struct pd_fair_share *fair_share, uint64_t seed);
void pd_fair_share_finish(struct pd_fair_share *fair_share);
/* Decides on a request and records it. */
struct pd_fair_verdict pd_fair_share_admit(struct pd_fair_share *fair_share,
					   const struct pd_fair_request *request, int64_t now_us);
/* Records that an admitted request is refused because no upstream has taken it; returns the time
 * after which the client may send it again, or 0 if there are too few of them to tell. */
int64_t pd_fair_share_return(struct pd_fair_share *fair_share,
			     const struct pd_fair_request *request, int64_t now_us);
/* Records what became of the sub-requests of a request that was admitted. */
void pd_fair_share_report(struct pd_fair_share *fair_share, const struct pd_fair_outcome *outcomes,
			  size_t count, int64_t now_us);

#endif
