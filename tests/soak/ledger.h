/**
 * DOC: Records requests of callers and their arrivals at upstreams, and checks the rules
 *
 * Most rules are checked when an event is recorded, the retry budget at the end.
 */
#ifndef SOAK_LEDGER_H
#define SOAK_LEDGER_H

#include "fleet.h"

/** enum rule - guarantee of the ingress, under the name that the platform's rules use. */
enum rule {
	RULE_MIXED, /* a success is an upstream's complete answer or the top k of complete parts */
	RULE_UNASKED, /* upstreams receive only requests that callers sent, unchanged */
	RULE_TWICE, /* a request that isn't idempotent is executed at most once */
	RULE_REFUSED, /* a refused request that isn't idempotent is never executed */
	RULE_DENIED, /* valid requests don't get a 3xx or 4xx status, except for refusals */
	RULE_BUDGET, /* attempts per request and extra requests per service are bounded */
	RULE_GONE, /* no upstream executes a request that has ended for its caller */
	RULE_LOST, /* an instance answers each request that it has read */
	RULE_ROUTE, /* only services that a configuration names for the route execute a request */
	RULE_DRAIN, /* nothing is sent to an upstream that drains or was removed, after a timeout */
	RULE_CONFIG, /* a new configuration takes effect within a timeout and isn't reverted */
	RULE_EVACUATION, /* nothing is sent to an evacuated zone, after a timeout */
	RULE_LATE, /* callers get an answer by ANSWER_SLACK_US after their deadline */
	RULE_SERVING, /* store outages and configuration changes make no request fail */
	RULE_ENDED, /* processes exit only on SIGTERM, in time, and stay in their memory limit */
	RULE_KEY, /* withdrawn keys have no effect after a timeout, and upstreams get the account
		     only */
	RULE_QUOTA, /* accounts run no more requests in any window than their quota allows */
	RULE_EXPOSURE, /* a bad version gets few requests, and none some time after it has failed */
	RULE_OUTCOME, /* a roll-out has one outcome, the right one, and then no request to others */
	RULE_RECOVERY, /* all requests are served again after the faults */
	RULE_COUNT,
};

/** enum request_kind - the route that a request uses. */
enum request_kind {
	REQUEST_GATHER, /* fans out to all shards of an index; idempotent */
	REQUEST_READ, /* idempotent */
	REQUEST_WRITE, /* not idempotent */
};

#define REQUEST_KINDS	  3
#define REQUEST_ID_PREFIX "soak-"

/** enum outcome - how a request ended for its caller. */
enum outcome {
	OUTCOME_SERVED,
	OUTCOME_FAILED, /* an answer that is neither a success nor a refusal */
	OUTCOME_REFUSED, /* an answer which guarantees that the request wasn't executed */
	OUTCOME_DISCONNECTED, /* the connection ended without a complete answer */
	OUTCOME_TIMED_OUT, /* no complete answer by ANSWER_SLACK_US after the deadline */
	OUTCOME_CANCELLED, /* the caller closed the connection before the answer */
	OUTCOME_UNSENT, /* the request couldn't be written to the connection */
};

/* Records a request with API key @key before it is sent. Returns its number, or -1 if the ledger is
 * full.
 */
long ledger_add_request(enum request_kind kind, const struct fleet_instance *instance,
			uint32_t key);
/* Records and checks how request @number ended; @status is 0 without an answer. */
void ledger_record_outcome(long number, enum outcome outcome, unsigned int status);
/* Records a request that reached an upstream, and checks whether it was allowed to. */
void ledger_record_arrival(struct platform_upstream *standin,
			   const struct platform_upstream_request *arrival);

/* Writes the body of the write request @number to @out; returns its length. */
size_t ledger_request_body(long number, char *out, size_t size);

/* Prints and counts a violation of @rule; the second one is for callers that hold fleet.lock. */
void ledger_report_violation(enum rule rule, const char *format, ...)
	__attribute__((format(printf, 2, 3)));
void ledger_report_violation_locked(enum rule rule, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/* Starts a new window for ledger_read_window(). */
void ledger_reset_window(void);
/* Counts the requests that ended in the window, without cancelled ones, and those served. */
void ledger_read_window(uint32_t *ended, uint32_t *served);
/* Checks the retry budgets and prints the totals. Returns the number of violated rules. */
int ledger_finish(void);

#endif
