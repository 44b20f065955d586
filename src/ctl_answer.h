/**
 * DOC: Answers of an entry instance in a readable form, for peridotctl
 */
#ifndef PD_CTL_ANSWER_H
#define PD_CTL_ANSWER_H

#include "str.h"

/**
 * pd_ctl_answer_print() - prints the JSON answer to a query or run
 * @body: of POST /v1/query
 * @out: outcome, coverage, missing services and hits, one a line
 *
 * Return: false when @body is no such answer; nothing is appended then.
 */
bool pd_ctl_answer_print(struct pd_str body, struct pd_buf *out);
/* True when @body states the outcome complete or partial. */
bool pd_ctl_answer_succeeded(struct pd_str body);
/* Appends the member `error` of @body, or @body itself, without control characters. */
void pd_ctl_error_print(struct pd_str body, struct pd_buf *out);
/* Appends JSON with an indentation; false when @body is no JSON. */
bool pd_ctl_json_print(struct pd_str body, struct pd_buf *out);

#endif
