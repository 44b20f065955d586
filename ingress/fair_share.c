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
/* A queue that is too long is so for at least this long: about the time of two requests. */
#define WAIT_MIN_US (20 * PD_USEC_PER_MSEC)
#define WAIT_MAX_US (10 * PD_USEC_PER_SEC)

double pd_fair_share_limit(uint32_t priority, bool over_share, bool neglected)
{
	double step = (LATE_LIMIT - SPARE_LIMIT) / (2 * PRIORITY_MAX + 1);
	uint32_t steps = 2 * (priority < PRIORITY_MAX ? priority : PRIORITY_MAX) + over_share;

	return neglected ? LATE_LIMIT : LATE_LIMIT - step * steps;
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
	pthread_mutex_destroy(&fair_share->lock);
}

/* Allocates the entries with the first request, since deployments without accounts need none. */
static bool allocate_entries_locked(struct pd_fair_share *fair_share)
{
	if (!fair_share->accounts)
		fair_share->accounts = calloc(PD_FAIR_ENTRIES, sizeof(*fair_share->accounts));
	if (!fair_share->routes)
		fair_share->routes = calloc(PD_FAIR_ENTRIES, sizeof(*fair_share->routes));
	return fair_share->accounts && fair_share->routes;
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

/* Returns the time in which the queue becomes short enough, if nothing is added to it, and up to a
 * quarter of that at random, so that the clients don't all return in the same moment. */
static int64_t time_to_wait(struct pd_fair_share *fair_share, const struct pd_fair_request *request,
			    double limit)
{
	int64_t left_us = request->left_us > 0 ? request->left_us : 0;
	int64_t wait_us = request->expected_us - (int64_t)(limit * (double)left_us);

	if (wait_us < WAIT_MIN_US)
		wait_us = WAIT_MIN_US;
	if (wait_us > WAIT_MAX_US)
		wait_us = WAIT_MAX_US;
	/* xorshift64 */
	fair_share->random_state ^= fair_share->random_state << 13;
	fair_share->random_state ^= fair_share->random_state >> 7;
	fair_share->random_state ^= fair_share->random_state << 17;
	return wait_us + (int64_t)(fair_share->random_state % (uint64_t)(wait_us / 4));
}

/* Decides on a request as if nothing was known of the recent work. */
static struct pd_fair_verdict admit_in_time(struct pd_fair_share *fair_share,
					    const struct pd_fair_request *request)
{
	struct pd_fair_verdict verdict = {.admitted = request->expected_us <= request->left_us};

	if (!verdict.admitted)
		verdict.wait_us = time_to_wait(fair_share, request, LATE_LIMIT);
	return verdict;
}

static struct pd_fair_verdict admit_locked(struct pd_fair_share *fair_share,
					   const struct pd_fair_request *request, int64_t now_us)
{
	struct pd_fair_entry *account = &fair_share->accounts[request->account % PD_FAIR_ENTRIES];
	struct pd_fair_entry *route = &fair_share->routes[request->route % PD_FAIR_ENTRIES];
	struct pd_fair_verdict verdict = {0};
	double left_us = (double)request->left_us, expected_us = (double)request->expected_us;
	double limit = LATE_LIMIT;

	fade(account, now_us);
	fade(route, now_us);
	fade(&fair_share->all, now_us);
	account->weight = request->weight;
	if (expected_us > SPARE_LIMIT * left_us) {
		bool neglected =
			is_neglected(fair_share, account) || is_neglected(fair_share, route);

		verdict.over_share = is_over_share(fair_share, account, now_us);
		limit = pd_fair_share_limit(request->priority, verdict.over_share, neglected);
	}
	verdict.admitted = expected_us <= limit * left_us;
	if (!verdict.admitted)
		verdict.wait_us = time_to_wait(fair_share, request, limit);
	record(account, request, verdict.admitted);
	record(route, request, verdict.admitted);
	record(&fair_share->all, request, verdict.admitted);
	return verdict;
}

struct pd_fair_verdict pd_fair_share_admit(struct pd_fair_share *fair_share,
					   const struct pd_fair_request *request, int64_t now_us)
{
	struct pd_fair_verdict verdict;

	pthread_mutex_lock(&fair_share->lock);
	verdict = allocate_entries_locked(fair_share) ? admit_locked(fair_share, request, now_us)
						      : admit_in_time(fair_share, request);
	pthread_mutex_unlock(&fair_share->lock);
	return verdict;
}
