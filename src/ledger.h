/**
 * DOC: Ledger of non-idempotent requests, stored in the platform
 *
 * Before a process sends a non-idempotent request, it claims the request's id. Object
 * `requests/BUCKET` holds JSON:
 * {"claims":[{"id","nonce","at_ms","state":"claimed"|"done"|"void","result"}]}. A claim is added by
 * a conditional update, so that at most one process may send a request with a given id.
 */
#ifndef PD_LEDGER_H
#define PD_LEDGER_H

#include "platform_client.h"

#define PD_LEDGER_BUCKETS	64 /* objects over which claims are distributed by id */
#define PD_LEDGER_ID_MAX_AGE_MS (10 * 60 * 1000) /* age from which an id is rejected as expired */

struct pd_ledger;

/** enum pd_claim - result of pd_ledger_claim() */
enum pd_claim {
	PD_CLAIM_ACQUIRED = 0, /* only this caller may send the request */
	PD_CLAIM_DONE, /* the request ran before; its recorded result is returned */
	PD_CLAIM_ALREADY_CLAIMED, /* claimed by another caller: outcome unknown */
	PD_CLAIM_VOID, /* the request was not run and never will be */
	PD_CLAIM_EXPIRED, /* the id's claim may have been deleted already: outcome unknown */
	PD_CLAIM_MALFORMED, /* the id isn't UNIXMS-TOKEN, or over a minute in the future */
	PD_CLAIM_UNAVAILABLE, /* this call stored no claim; another process may have one */
	PD_CLAIM_UNCERTAIN, /* this call may have stored a claim; the request must not be sent */
};

enum pd_code pd_ledger_open(struct pd_ledger **ledger, const struct pd_address *platform,
			    struct pd_error *err);
void pd_ledger_close(struct pd_ledger *ledger);

/**
 * pd_ledger_claim() - claims the right to send the request with this id
 * @id: request id, UNIXMS-TOKEN
 * @deadline_us: monotonic time by which the call returns, in microseconds
 * @result: receives the recorded result, appended, when the call returns PD_CLAIM_DONE
 */
enum pd_claim pd_ledger_claim(struct pd_ledger *ledger, struct pd_str id, int64_t deadline_us,
			      struct pd_buf *result, struct pd_error *err);
/**
 * pd_ledger_complete() - records the result of a request that this process claimed and ran
 * @deadline_us: monotonic time by which the call returns, in microseconds
 *
 * Best effort: the write may fail, and a result that is too large for the object isn't stored.
 */
void pd_ledger_complete(struct pd_ledger *ledger, struct pd_str id, struct pd_str result,
			int64_t deadline_us);
/**
 * pd_ledger_void() - marks a claimed id as void, because its request certainly was not run
 * @deadline_us: monotonic time by which the call returns, in microseconds
 *
 * Return: true when the platform certainly stores the id as void, so that no process will ever run
 * the request.
 */
bool pd_ledger_void(struct pd_ledger *ledger, struct pd_str id, int64_t deadline_us);

#endif
