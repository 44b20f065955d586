/**
 * DOC: Explanation of where a request would go now, for operators
 *
 * Reads the live state by the same functions that decide about requests, on copies of what those
 * would change. Sends nothing to upstreams and to the store, and changes nothing.
 */
#ifndef PD_EXPLAIN_H
#define PD_EXPLAIN_H

#include <stdbool.h>

#include "str.h"

struct pd_ingress;

/* Whether a request target asks for an explanation. */
bool pd_explain_is_target(struct pd_str target);
/**
 * pd_explain() - explains where a request would go
 * @ingress: ingress
 * @target: request target: /explain?host=HOST&path=PATH, and &key_present=1 for a request with an
 *	API key, percent-encoded. Other parameters are an error, so that no key is sent in a target.
 * @out: buffer to which the explanation is appended, one line for each fact
 *
 * Return: the HTTP status of the response: 200, or 400 if @target is malformed.
 */
int pd_explain(struct pd_ingress *ingress, struct pd_str target, struct pd_buf *out);

#endif
