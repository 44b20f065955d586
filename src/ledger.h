/**
 * DOC: Claims of non-idempotent requests, in the platform
 *
 * Object `requests/BUCKET` holds JSON:
 * {"claims":[{"id","nonce","at_ms","state":"claimed"|"done"|"void","result"}]}. A claim is a
 * conditional update, so that exactly one process may send a request with a given id.
 */
#ifndef PD_LEDGER_H
#define PD_LEDGER_H

#include "platform_client.h"

#define PD_LEDGER_BUCKETS   64
#define PD_LEDGER_RETAIN_MS (10 * 60 * 1000) /* claims older than this are dropped */

struct pd_ledger;

/** enum pd_claim - the answer to a claim. */
enum pd_claim {
	PD_CLAIM_ACQUIRED = 0, /* this process, and no other, may send it */
	PD_CLAIM_DONE, /* it ran before; the recorded result is given */
	PD_CLAIM_ALREADY_CLAIMED, /* another process has it, or had it: outcome unknown */
	PD_CLAIM_VOID, /* it never ran and never will: not run */
	PD_CLAIM_EXPIRED, /* the id is too old to tell: outcome unknown */
	PD_CLAIM_MALFORMED, /* not UNIXMS-TOKEN, or in the future by more than a minute */
	PD_CLAIM_UNAVAILABLE, /* not claimed, and will not be; another process may have the id */
	PD_CLAIM_UNCERTAIN, /* the claim may stand, but this process can't tell: not sent from here
			     */
};

enum pd_code pd_ledger_open(struct pd_ledger **ledger, const struct pd_address *platform,
			    struct pd_error *err);
void pd_ledger_close(struct pd_ledger *ledger);

/**
 * pd_ledger_claim() - claims @id
 * @deadline_us: monotonic time by which the answer is needed
 * @result: stores the recorded result with PD_CLAIM_DONE
 */
enum pd_claim pd_ledger_claim(struct pd_ledger *ledger, struct pd_str id, int64_t deadline_us,
			      struct pd_buf *result, struct pd_error *err);
/* Records the result of a won claim; best effort within @deadline_us (monotonic). */
void pd_ledger_complete(struct pd_ledger *ledger, struct pd_str id, struct pd_str result,
			int64_t deadline_us);
/**
 * pd_ledger_void() - ends a won claim whose request certainly was not run
 * @deadline_us: monotonic
 *
 * Return: true when the platform certainly has the id as void, so that no process will ever run it.
 */
bool pd_ledger_void(struct pd_ledger *ledger, struct pd_str id, int64_t deadline_us);

#endif
