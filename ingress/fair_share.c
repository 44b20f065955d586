#include "fair_share.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "os.h"

/* The expected latency is a mean. A request that is expected to take half of the time left is in
 * time also if it takes twice as long, so that nothing needs to be refused below that. */
#define SPARE_LIMIT 0.5
/* A request that is expected to take longer than what is left would be late: its caller doesn't
 * wait for it, and the work would be lost. */
#define LATE_LIMIT 1.0
/* The range between both is divided by priority, and for each priority in two by the accounts'
 * shares. Priorities from this one on are treated alike: steps of less than a tenth of the time are
 * below the error of the expected latency. */
#define PRIORITY_MAX 2
/* Accounts use about 1 / 1.6 of their rates, which are the weights. Below this factor, an account's
 * share of the work differs by chance. */
#define OVER_SHARE 1.5
/* An account or route must be served at least a quarter as often as all requests are; it counts as
 * neglected before that is reached. */
#define NEGLECTED_SHARE 0.4
/* Number of recent requests before shares are compared. */
#define REQUESTS_MIN 3.0
/* Time over which work is remembered: several times that of a request, and less than that of a
 * burst. */
#define MEMORY_S 3.0
/* Work that counts as none when it has faded to this. */
#define WORK_MIN 0.05
/* Time over which the requests to a service are remembered: with 100 instances and 30 requests per
 * second at each, several of each class. */
#define DEMAND_S 1.0
/* What a service can take is found by trial. A sub-request that shows overload reduces the limit by
 * a share, and each other one raises it by a share of what is offered. The share of the former is
 * about the same at all instances, so that the limits become the same share of what is offered to
 * each of them. A sub-request that no upstream took has cost nothing; with less than about a
 * fifth of them, slots would be idle where the upstreams' queues are short. */
#define LATE_DECREASE	   0.2
#define NOT_TAKEN_DECREASE 0.05
#define LIMIT_INCREASE	   0.01
/* Part of what is offered by which the limit rises in addition, in a second and for each second
 * since it was reduced: at an instance with 10 sub-requests per second, those raise it too slowly.
 */
#define LIMIT_GROWTH 0.5
/* The limit is dropped when this many times the requests that are offered would be admitted. */
#define LIMIT_SPARE 2.0
/* Number of recent sub-requests that show overload before there is a limit: after one, an instance
 * with few requests would refuse the next of them. */
#define FAILED_MIN 2.0
/* The least limit: what becomes of a request must be tried now and then. */
#define LIMIT_MIN 0.5
/* Time for which the shortest time left of the requests to a service is remembered. */
#define SHORTEST_S 3.0
/* A sub-request counts as late for the most urgent ones only if it took this many times the usual
 * time: less than that is no queue. */
#define QUEUED_FACTOR 4
/* A queue that is too long is so for at least this long: about the time of two requests. */
#define WAIT_MIN_US (20 * PD_USEC_PER_MSEC)
#define WAIT_MAX_US (10 * PD_USEC_PER_SEC)

static uint32_t class_of(uint32_t priority, bool over_share)
{
	return 2 * (priority < PRIORITY_MAX ? priority : PRIORITY_MAX) + over_share;
}

double pd_fair_share_limit(uint32_t priority, bool over_share, bool neglected)
{
	double step = (LATE_LIMIT - SPARE_LIMIT) / (2 * PRIORITY_MAX + 1);

	return neglected ? LATE_LIMIT : LATE_LIMIT - step * class_of(priority, over_share);
}

void pd_fair_share_init(struct pd_fair_share *fair_share, uint64_t seed)
{
	memset(fair_share, 0, sizeof(*fair_share));
	fair_share->random_state = seed;
	pthread_mutex_init(&fair_share->lock, NULL);
}

void pd_fair_share_finish(struct pd_fair_share *fair_share)
{
	free(fair_share->accounts);
	free(fair_share->routes);
	free(fair_share->services);
	pthread_mutex_destroy(&fair_share->lock);
}

/* Allocates the entries with the first request, since deployments without accounts need none. */
static bool allocate_entries_locked(struct pd_fair_share *fair_share)
{
	if (!fair_share->accounts)
		fair_share->accounts = calloc(PD_FAIR_ENTRIES, sizeof(*fair_share->accounts));
	if (!fair_share->routes)
		fair_share->routes = calloc(PD_FAIR_ENTRIES, sizeof(*fair_share->routes));
	if (!fair_share->services)
		fair_share->services = calloc(PD_FAIR_ENTRIES, sizeof(*fair_share->services));
	return fair_share->accounts && fair_share->routes && fair_share->services;
}

static struct pd_fair_service *find_service(struct pd_fair_share *fair_share, uint64_t service)
{
	return &fair_share->services[service % PD_FAIR_ENTRIES];
}

static double offered_to(const struct pd_fair_service *service)
{
	double offered = 0;

	for (int i = 0; i < PD_FAIR_CLASSES; i++)
		offered += service->offered[i];
	return offered;
}

static void fade_service(struct pd_fair_service *service, int64_t now_us)
{
	double passed_s = (double)(now_us - service->updated_us) / PD_USEC_PER_SEC;
	double factor = exp(-passed_s / DEMAND_S);

	if (passed_s <= 0)
		return;
	for (int i = 0; i < PD_FAIR_CLASSES; i++) {
		service->offered[i] *= factor;
		service->refused[i] *= exp(-passed_s / MEMORY_S);
	}
	service->admitted *= factor;
	service->failed *= factor;
	if (service->limit > 0)
		service->limit += LIMIT_GROWTH * passed_s * offered_to(service) *
				  (double)(now_us - service->limited_us) / PD_USEC_PER_SEC;
	service->updated_us = now_us;
}

/* Returns the part of the requests of a class that a service can take, after those of the classes
 * before it. */
static double class_share(const struct pd_fair_service *service, uint32_t class)
{
	double left = service->limit;

	if (service->limit <= 0)
		return 1;
	for (uint32_t i = 0; i < class; i++)
		left -= service->offered[i];
	if (left <= 0)
		return 0;
	return left < service->offered[class] ? left / service->offered[class] : 1;
}

static void fade(struct pd_fair_entry *entry, int64_t now_us)
{
	double factor;

	if (now_us <= entry->updated_us)
		return;
	factor = exp(-(double)(now_us - entry->updated_us) / (MEMORY_S * PD_USEC_PER_SEC));
	entry->work *= factor;
	entry->offered *= factor;
	entry->admitted *= factor;
	entry->updated_us = now_us;
}

/* Whether an account has had more than its share, by weight, of the work of the accounts that have
 * had any. */
static bool is_over_share(struct pd_fair_share *fair_share, const struct pd_fair_entry *account,
			  int64_t now_us)
{
	double weights = 0;

	if (account->offered < REQUESTS_MIN)
		return false;
	for (size_t i = 0; i < PD_FAIR_ENTRIES; i++) {
		struct pd_fair_entry *entry = &fair_share->accounts[i];

		if (entry->work < WORK_MIN)
			continue;
		fade(entry, now_us);
		weights += entry->weight;
	}
	return account->work * weights > OVER_SHARE * account->weight * fair_share->all.work;
}

/* Whether an account or route is served much less often than all requests are. */
static bool is_neglected(const struct pd_fair_share *fair_share, const struct pd_fair_entry *entry)
{
	if (entry->offered < REQUESTS_MIN)
		return false;
	return entry->admitted * fair_share->all.offered <
	       NEGLECTED_SHARE * entry->offered * fair_share->all.admitted;
}

static void record(struct pd_fair_entry *entry, const struct pd_fair_request *request,
		   bool admitted)
{
	entry->offered++;
	entry->admitted += admitted;
	entry->work += admitted ? (double)request->legs : 0;
}

static double draw(struct pd_fair_share *fair_share)
{
	/* xorshift64 */
	fair_share->random_state ^= fair_share->random_state << 13;
	fair_share->random_state ^= fair_share->random_state >> 7;
	fair_share->random_state ^= fair_share->random_state << 17;
	return (double)(fair_share->random_state >> 11) * 0x1p-53;
}

/* Returns the time by which requests to a service are compared: the shortest that one of them has
 * left, but not so short that it allows no queue. */
static int64_t common_time_us(const struct pd_fair_service *service)
{
	int64_t queued_us = QUEUED_FACTOR * service->usual_us;

	return service->shortest_us > queued_us ? service->shortest_us : queued_us;
}

/* Returns the time left by which a request is decided on: its own, or that of the requests which it
 * would be in front of. A queue that leaves time for the one may be too long for the others. */
static int64_t compared_time_us(struct pd_fair_share *fair_share,
				const struct pd_fair_request *request, bool neglected,
				int64_t now_us)
{
	int64_t time_us = request->left_us;

	for (size_t i = 0; i < request->legs && !neglected; i++) {
		struct pd_fair_service *service = find_service(fair_share, request->services[i]);

		if (service->shortest_us && common_time_us(service) < time_us &&
		    now_us - service->shortest_at_us < SHORTEST_S * PD_USEC_PER_SEC)
			time_us = common_time_us(service);
	}
	return time_us;
}

/* Whether enough services can take a request of a class. */
static bool services_take(struct pd_fair_share *fair_share, const struct pd_fair_request *request,
			  uint32_t class, int64_t now_us)
{
	double random = draw(fair_share);
	size_t count = 0;

	for (size_t i = 0; i < request->legs; i++) {
		struct pd_fair_service *service = find_service(fair_share, request->services[i]);

		fade_service(service, now_us);
		count += random < class_share(service, class);
	}
	return count >= request->needed;
}

static void record_demand(struct pd_fair_share *fair_share, const struct pd_fair_request *request,
			  uint32_t class, bool admitted, int64_t now_us)
{
	for (size_t i = 0; i < request->legs; i++) {
		struct pd_fair_service *service = find_service(fair_share, request->services[i]);

		service->offered[class]++;
		service->refused[class] += !admitted;
		service->admitted += admitted;
		if (admitted && (request->left_us <= service->shortest_us ||
				 now_us - service->shortest_at_us > SHORTEST_S * PD_USEC_PER_SEC)) {
			service->shortest_us = request->left_us;
			service->shortest_at_us = now_us;
		}
	}
}

/* Returns the time in which a service serves the requests that it was too busy for, if all of them
 * return, and the more urgent ones first. */
static double backlog_us(const struct pd_fair_service *service, uint32_t class)
{
	double taken = service->limit > 0 ? service->limit : service->admitted - service->failed;
	double refused = 0;

	for (uint32_t i = 0; i <= class; i++)
		refused += service->refused[i];
	return refused / (taken > LIMIT_MIN ? taken : LIMIT_MIN) * DEMAND_S * PD_USEC_PER_SEC;
}

/* Returns the time in which the queue becomes short enough, if nothing is added to it, and in which
 * those that were refused before are served; and up to a quarter of that at random, so that the
 * clients don't all return in the same moment. */
static int64_t time_to_wait(struct pd_fair_share *fair_share, const struct pd_fair_request *request,
			    double excess_us, uint32_t class)
{
	double wait_us = excess_us;

	for (size_t i = 0; i < request->legs; i++) {
		double backlog = backlog_us(find_service(fair_share, request->services[i]), class);

		wait_us = backlog > wait_us ? backlog : wait_us;
	}
	if (wait_us < WAIT_MIN_US)
		wait_us = WAIT_MIN_US;
	if (wait_us > WAIT_MAX_US)
		wait_us = WAIT_MAX_US;
	return (int64_t)(wait_us * (1 + draw(fair_share) / 4));
}

/* Decides on a request as if nothing was known of the recent work. */
static struct pd_fair_verdict admit_in_time(const struct pd_fair_request *request)
{
	bool admitted = request->expected_us <= request->left_us;

	return (struct pd_fair_verdict){.admitted = admitted,
					.wait_us = admitted ? 0 : WAIT_MIN_US};
}

static struct pd_fair_verdict admit_locked(struct pd_fair_share *fair_share,
					   const struct pd_fair_request *request, int64_t now_us)
{
	struct pd_fair_entry *account = &fair_share->accounts[request->account % PD_FAIR_ENTRIES];
	struct pd_fair_entry *route = &fair_share->routes[request->route % PD_FAIR_ENTRIES];
	struct pd_fair_verdict verdict = {0};
	double expected_us = (double)request->expected_us, left_us;
	double limit = LATE_LIMIT;
	bool neglected;
	uint32_t class;

	fade(account, now_us);
	fade(route, now_us);
	fade(&fair_share->all, now_us);
	account->weight = request->weight;
	verdict.over_share = is_over_share(fair_share, account, now_us);
	class = class_of(request->priority, verdict.over_share);
	neglected = is_neglected(fair_share, account) || is_neglected(fair_share, route);
	left_us = (double)compared_time_us(fair_share, request, neglected, now_us);
	if (expected_us > SPARE_LIMIT * left_us)
		limit = pd_fair_share_limit(request->priority, verdict.over_share, neglected);
	verdict.admitted = expected_us <= limit * left_us &&
			   services_take(fair_share, request, neglected ? 0 : class, now_us);
	if (!verdict.admitted)
		verdict.wait_us =
			time_to_wait(fair_share, request, expected_us - limit * left_us, class);
	record(account, request, verdict.admitted);
	record(route, request, verdict.admitted);
	record(&fair_share->all, request, verdict.admitted);
	record_demand(fair_share, request, class, verdict.admitted, now_us);
	return verdict;
}

struct pd_fair_verdict pd_fair_share_admit(struct pd_fair_share *fair_share,
					   const struct pd_fair_request *request, int64_t now_us)
{
	struct pd_fair_verdict verdict;

	pthread_mutex_lock(&fair_share->lock);
	verdict = allocate_entries_locked(fair_share) ? admit_locked(fair_share, request, now_us)
						      : admit_in_time(request);
	pthread_mutex_unlock(&fair_share->lock);
	return verdict;
}

int64_t pd_fair_share_return(struct pd_fair_share *fair_share,
			     const struct pd_fair_request *request, int64_t now_us)
{
	uint32_t class = class_of(request->priority, false);
	int64_t wait_us = 0;

	pthread_mutex_lock(&fair_share->lock);
	for (size_t i = 0; i < request->legs && fair_share->services; i++) {
		struct pd_fair_service *service = find_service(fair_share, request->services[i]);

		fade_service(service, now_us);
		if (service->failed >= FAILED_MIN)
			wait_us = time_to_wait(fair_share, request, 0, class);
		service->refused[class]++;
	}
	pthread_mutex_unlock(&fair_share->lock);
	return wait_us;
}

/* Whether a sub-request shows that its service can't take more: no upstream took it, or it waited
 * so long in a queue that the request with the least time left would be late. Without a queue, a
 * late one shows a fault rather than too many requests. */
static bool is_overload(const struct pd_fair_service *service,
			const struct pd_fair_outcome *outcome)
{
	int64_t latency_us = outcome->ended_us - outcome->admitted_us;

	switch (outcome->result) {
	case PD_FAIR_IN_TIME:
		return outcome->queued &&
		       (double)latency_us > SPARE_LIMIT * (double)common_time_us(service);
	case PD_FAIR_LATE:
		return outcome->queued;
	case PD_FAIR_NOT_TAKEN:
		return true;
	}
	return false;
}

static void lower_limit(struct pd_fair_service *service, enum pd_fair_result result, int64_t now_us)
{
	double decrease = result == PD_FAIR_NOT_TAKEN ? NOT_TAKEN_DECREASE : LATE_DECREASE;

	service->failed++;
	if (service->limit <= 0 && service->failed < FAILED_MIN)
		return;
	if (service->limit <= 0)
		service->limit = service->admitted;
	service->limit *= 1 - decrease;
	if (service->limit < LIMIT_MIN)
		service->limit = LIMIT_MIN;
	service->limited_us = now_us;
}

static void report_locked(struct pd_fair_service *service, const struct pd_fair_outcome *outcome,
			  int64_t now_us)
{
	fade_service(service, now_us);
	service->usual_us = outcome->usual_us;
	if (!is_overload(service, outcome)) {
		if (service->limit > 0)
			service->limit += LIMIT_INCREASE * offered_to(service);
	} else if (service->limit <= 0 || outcome->admitted_us > service->limited_us) {
		/* What was admitted before the last reduction says nothing about it. */
		lower_limit(service, outcome->result, now_us);
	}
	if (service->limit > LIMIT_SPARE * offered_to(service))
		service->limit = 0;
}

void pd_fair_share_report(struct pd_fair_share *fair_share, const struct pd_fair_outcome *outcomes,
			  size_t count, int64_t now_us)
{
	pthread_mutex_lock(&fair_share->lock);
	for (size_t i = 0; i < count && fair_share->services; i++)
		report_locked(find_service(fair_share, outcomes[i].service), &outcomes[i], now_us);
	pthread_mutex_unlock(&fair_share->lock);
}
