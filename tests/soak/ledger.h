/**
 * DOC: What callers sent and upstreams saw, judged by the promises as it comes in
 */
#ifndef SOAK_LEDGER_H
#define SOAK_LEDGER_H

#include "fleet.h"

/** enum rule - a promise, under the name that the platform's rules give it. */
enum rule {
	RULE_MIXED, /* a success is the upstream's own whole answer, or the best of whole parts */
	RULE_UNASKED, /* upstreams run what was sent, unchanged */
	RULE_TWICE, /* what isn't idempotent runs once */
	RULE_REFUSED, /* what isn't idempotent and was refused has not run and never will */
	RULE_DENIED, /* proper requests aren't denied */
	RULE_BUDGET, /* attempts of a request, and extra load of a service, are bounded */
	RULE_GONE, /* nothing is sent for a caller that left */
	RULE_LOST, /* a request that was read is answered */
	RULE_ROUTE, /* only services that a configuration named run a request */
	RULE_DRAIN, /* nothing is sent to what has left */
	RULE_CONFIG, /* a new configuration is in force in time, and doesn't go back */
	RULE_EVACUATION, /* nothing is sent to a zone that is out */
	RULE_LATE, /* callers have an answer by their deadline */
	RULE_SERVING, /* what the store's troubles and changes don't hinder is served */
	RULE_ENDED, /* processes don't end by themselves, and end when asked */
	RULE_RECOVERY, /* service is whole again after the faults */
	RULE_COUNT,
};

/** enum request_kind - the routes. */
enum request_kind {
	REQUEST_GATHER,
	REQUEST_READ,
	REQUEST_WRITE, /* not idempotent */
};

#define REQUEST_KINDS	  3
#define REQUEST_ID_PREFIX "soak-"

/** enum outcome - how a request ended for its caller. */
enum outcome {
	OUTCOME_SERVED,
	OUTCOME_FAILED, /* an answer that is no success */
	OUTCOME_REFUSED, /* an answer that promises that it didn't run */
	OUTCOME_DISCONNECTED, /* the connection ended without a complete answer */
	OUTCOME_TIMED_OUT, /* no answer until past the deadline */
	OUTCOME_CANCELLED, /* the caller left */
	OUTCOME_UNSENT, /* no connection */
};

/* Takes note of a request before it is sent; returns its number, or -1 when the ledger is full. */
long ledger_add_request(enum request_kind kind, const struct fleet_instance *instance);
/* The caller has an answer with @status, or stopped waiting. */
void ledger_record_outcome(long number, enum outcome outcome, unsigned int status);
/* Judges where a request ran and by which configuration. */
void ledger_record_arrival(struct platform_upstream *standin,
			   const struct platform_arrival *arrival);

/* Body of the writing request @number. */
size_t ledger_request_body(long number, char *out, size_t size);

void ledger_report_violation(enum rule rule, const char *format, ...)
	__attribute__((format(printf, 2, 3)));
void ledger_report_violation_locked(enum rule rule, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/* Starts to count anew what ledger_read_window() returns. */
void ledger_reset_window(void);
/* Requests that ended since then, without those whose caller left, and how many were served. */
void ledger_read_window(uint32_t *ended, uint32_t *served);
/* Judges what only shows at the end, and prints the totals; the number of promises broken. */
int ledger_finish(void);

#endif
