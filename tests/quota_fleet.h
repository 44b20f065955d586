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

#define QUOTA_FLEET_ZONES	3
#define QUOTA_FLEET_MAX		300
#define QUOTA_FLEET_ACCOUNTS	8
#define QUOTA_FLEET_STEP_US	(5 * PD_USEC_PER_MSEC)
#define QUOTA_FLEET_LINE_STEPS	128
#define QUOTA_FLEET_WAITING_MAX 256
#define QUOTA_FLEET_CLIENTS_MAX 4096

/**
 * struct quota_fleet_member - one instance
 * @quota: its quotas
 * @source: member that it follows; itself for a head
 * @lost_us: time since which @source isn't reached; 0 if it is
 * @stopped: it is suspended
 * @side: members of different sides don't reach each other
 * @heard_us: time at which each member was last heard: as a head, a follower, or the source
 * @followers: number of followers that each head stated
 * @zones: zones that it hears, as bits
 * @zones_stated: the same of each head, as it stated
 * @sequence: sequence number of its news
 * @processes: number of its restarts
 */
struct quota_fleet_member {
	struct pd_quota quota;
	int source;
	int64_t lost_us;
	bool stopped;
	int side;
	int64_t heard_us[QUOTA_FLEET_MAX];
	size_t followers[QUOTA_FLEET_MAX];
	unsigned int zones;
	unsigned int zones_stated[QUOTA_FLEET_MAX];
	uint64_t sequence;
	uint64_t processes;
};

struct quota_fleet_message;

/**
 * struct quota_fleet_request - a request that waits for an answer, or a client that comes back
 * @used: the entry is in use
 * @member: instance that it reached
 * @account: its account
 * @ask: question that was sent
 * @due_us: time at which the answer is no longer waited for, or at which the client comes back
 * @returns: number of times that its client was refused before
 */
struct quota_fleet_request {
	bool used;
	int member;
	int account;
	struct pd_quota_ask ask;
	int64_t due_us;
	int returns;
};

/**
 * struct quota_fleet - the fleet, its messages and its requests
 * @members: instances; the zone of one is its index modulo QUOTA_FLEET_ZONES
 * @count: number of members
 * @now_us: simulated time
 * @apart: members of the first and of the last zone don't reach each other
 * @loss: share of the messages that are lost; as many are doubled
 * @accounts: accounts
 * @line: messages by the step in which they arrive
 * @sent: number of requests of each account that were sent, by step
 * @offered: number of requests of each account that were offered
 * @refused: number of these that were refused
 * @ideal: tokens of one bucket that knows of every request at once
 * @margin_s: time for which the tokens of that bucket don't count: while a bucket is full, those of
 *	the time in which a use is reported are lost
 * @wronged: number of refused requests that this bucket had a token for
 * @returned: number of refused clients that came back at the time they were told
 * @returned_refused: number of these that were refused again
 * @asks: instances ask for accounts that are low
 * @comes_back: refused clients come back
 * @delay_us: delay between zones
 * @jitter_us: greatest random delay
 * @waiting: requests that wait for an answer
 * @clients: clients that come back
 * @asked: number of questions
 * @unanswered: number of these that weren't answered in time
 * @messages: number of messages that were sent
 * @shares: number of these that were sent between zones
 */
struct quota_fleet {
	struct quota_fleet_member members[QUOTA_FLEET_MAX];
	int count;
	int64_t now_us;
	bool apart;
	double loss;
	struct pd_account accounts[QUOTA_FLEET_ACCOUNTS];
	struct quota_fleet_message *line[QUOTA_FLEET_LINE_STEPS];
	uint16_t *sent[QUOTA_FLEET_ACCOUNTS];
	size_t offered[QUOTA_FLEET_ACCOUNTS];
	size_t refused[QUOTA_FLEET_ACCOUNTS];
	double ideal[QUOTA_FLEET_ACCOUNTS];
	double margin_s;
	size_t wronged[QUOTA_FLEET_ACCOUNTS];
	size_t returned[QUOTA_FLEET_ACCOUNTS];
	size_t returned_refused[QUOTA_FLEET_ACCOUNTS];
	bool asks;
	bool comes_back;
	int64_t delay_us;
	int64_t jitter_us;
	struct quota_fleet_request waiting[QUOTA_FLEET_WAITING_MAX];
	struct quota_fleet_request clients[QUOTA_FLEET_CLIENTS_MAX];
	size_t asked;
	size_t unanswered;
	size_t messages;
	size_t shares;
};

/* Allocates a fleet whose accounts have these rates, and bursts that equal them. One with the rate
 * 0 isn't played. */
struct quota_fleet *quota_fleet_new(int count, const double *rates, uint64_t seed);
void quota_fleet_free(struct quota_fleet *fleet);
/* Replaces the process of a member. */
void quota_fleet_restart(struct quota_fleet *fleet, int member);
/* Runs for a while. @per_s of each account are the requests per second of all members together,
 * which come at random times to a random member among @from to @to, in steps of @stride. */
void quota_fleet_run(struct quota_fleet *fleet, double seconds, const double *per_s, int from,
		     int to, int stride);
/* Offers one request, whose client was refused @returns times before. */
void quota_fleet_request(struct quota_fleet *fleet, int member, int account, int returns);
/* Returns the greatest number of requests that an account sent in any window. */
size_t quota_fleet_window_max(const struct quota_fleet *fleet, int account, double window_s);
/* Returns a random number from 0 to 1. */
double quota_fleet_uniform(void);

#endif
