/**
 * DOC: A fleet of instances in three zones as plain structs, for tests of quotas
 *
 * The test delivers the messages between them, with delay, loss, duplication and reordering, and
 * decides who follows whom as the membership does: the first instance of a zone that is reached is
 * its head, and another one is followed 1.3 s after the source is no longer reached. Time is
 * simulated, in steps of 5 ms.
 */
#ifndef TEST_QUOTA_FLEET_H
#define TEST_QUOTA_FLEET_H

#include "quota.h"

#define FLEET_ZONES	 3
#define FLEET_MAX	 300
#define FLEET_ACCOUNTS	 4
#define FLEET_STEP_US	 (5 * PD_USEC_PER_MSEC)
#define FLEET_LINE_STEPS 128

/**
 * struct fleet_member - one instance
 * @quota: its quotas
 * @source: member that it follows; itself for a head
 * @lost_us: time since which @source isn't reached; 0 if it is
 * @stopped: it is suspended
 * @side: members of different sides don't reach each other
 * @heard_us: time at which each member was last heard: as a head, a follower, or the source
 * @followers: number of followers that each head stated
 * @sequence: sequence number of its news
 * @processes: number of its restarts
 */
struct fleet_member {
	struct pd_quota quota;
	int source;
	int64_t lost_us;
	bool stopped;
	int side;
	int64_t heard_us[FLEET_MAX];
	size_t followers[FLEET_MAX];
	uint64_t sequence;
	uint64_t processes;
};

struct fleet_message;

/**
 * struct fleet - the fleet, its messages and its requests
 * @members: instances; the zone of one is its index modulo FLEET_ZONES
 * @count: number of members
 * @now_us: simulated time
 * @loss: share of the messages that are lost; as many are doubled
 * @accounts: accounts
 * @line: messages by the step in which they arrive
 * @sent: number of requests of each account that were sent, by step
 * @offered: number of requests of each account that were offered
 * @refused: number of these that were refused
 * @ideal: tokens of one bucket that knows of every request at once
 * @wronged: number of refused requests that this bucket had a token for
 * @messages: number of messages that were sent
 * @shares: number of these that were sent between zones
 */
struct fleet {
	struct fleet_member members[FLEET_MAX];
	int count;
	int64_t now_us;
	double loss;
	struct pd_account accounts[FLEET_ACCOUNTS];
	struct fleet_message *line[FLEET_LINE_STEPS];
	uint16_t *sent[FLEET_ACCOUNTS];
	size_t offered[FLEET_ACCOUNTS];
	size_t refused[FLEET_ACCOUNTS];
	double ideal[FLEET_ACCOUNTS];
	size_t wronged[FLEET_ACCOUNTS];
	size_t messages;
	size_t shares;
};

/* Allocates a fleet whose accounts have these rates, and bursts that equal them. */
struct fleet *fleet_new(int count, const double *rates, uint64_t seed);
void fleet_free(struct fleet *fleet);
/* Replaces the process of a member. */
void fleet_restart(struct fleet *fleet, int member);
/* Runs for a while. @per_s of each account are the requests per second of all members together,
 * which come at random times to a random member among @from to @to, in steps of @stride. */
void fleet_run(struct fleet *fleet, double seconds, const double *per_s, int from, int to,
	       int stride);
/* Offers one request; false if it is refused. */
bool fleet_request(struct fleet *fleet, int member, int account);
/* Returns the greatest number of requests that an account sent in any window. */
size_t fleet_window_max(const struct fleet *fleet, int account, double window_s);
/* Returns a random number from 0 to 1. */
double fleet_uniform(void);

#endif
