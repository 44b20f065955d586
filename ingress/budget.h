/**
 * DOC: Retry budget of a service
 *
 * A token bucket: each request to the service adds a fraction of a token, and each retry or hedge
 * consumes one token. In any time window, the number of retries and hedges is at most the bucket's
 * capacity plus that fraction of the number of requests. Not thread-safe: the registry's lock
 * guards it.
 */
#ifndef PD_BUDGET_H
#define PD_BUDGET_H

#include <stdbool.h>

/**
 * struct pd_budget - a token bucket
 * @tokens: number of tokens in the bucket
 * @capacity: maximum number of tokens in the bucket
 * @ratio: number of tokens that each request adds
 */
struct pd_budget {
	double tokens;
	double capacity;
	double ratio;
};

void pd_budget_init(struct pd_budget *budget, double ratio, double capacity);
/* Changes ratio and capacity. A bucket that grows gets the added capacity in tokens; one that
 * shrinks loses the tokens beyond its new capacity. */
void pd_budget_resize(struct pd_budget *budget, double ratio, double capacity);
/* Adds the tokens for one request. */
void pd_budget_count_request(struct pd_budget *budget);
/* Consumes one token for a retry or hedge; false if less than one is left. */
bool pd_budget_consume(struct pd_budget *budget);

#endif
