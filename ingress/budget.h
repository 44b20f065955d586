/**
 * DOC: Retry budget of a service
 *
 * A token bucket: each request for the service adds a share of a token, each further arrival at an
 * upstream takes one. Over any window the further arrivals are at most the bucket's size plus that
 * share of the window's requests. Not thread-safe: the registry's lock guards it.
 */
#ifndef PD_BUDGET_H
#define PD_BUDGET_H

#include <stdbool.h>

struct pd_budget {
	double tokens;
	double capacity; /* most tokens held */
	double ratio; /* tokens that one request adds */
};

void pd_budget_init(struct pd_budget *budget, double ratio, double size);
/* Changes the bucket's size: a larger one gets the tokens that were withheld so far, from a smaller
 * one those beyond its size are dropped. */
void pd_budget_resize(struct pd_budget *budget, double ratio, double size);
void pd_budget_count_request(struct pd_budget *budget); /* a request's first arrival */
bool pd_budget_consume(struct pd_budget *budget); /* false when there is no whole token */

#endif
