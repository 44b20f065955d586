/**
 * DOC: Prints the answers of an entry instance as text, for peridotctl
 */
#ifndef PD_CTL_ANSWER_H
#define PD_CTL_ANSWER_H

#include "str.h"

/**
 * pd_ctl_answer_print() - prints the JSON answer to a query or run as text
 * @body: response body of POST /v1/query
 * @out: buffer to which outcome, coverage, missing services and hits are appended, one per line
 *
 * Return: true if @body is an answer; otherwise false, with @out unchanged.
 */
bool pd_ctl_answer_print(struct pd_str body, struct pd_buf *out);
/* Returns true if the outcome in @body is complete or partial. */
bool pd_ctl_answer_succeeded(struct pd_str body);
/* Appends the member `error` of @body, or all of @body, with control characters replaced. */
void pd_ctl_error_print(struct pd_str body, struct pd_buf *out);
/* Appends @body as indented JSON; returns false if @body isn't valid JSON. */
bool pd_ctl_json_print(struct pd_str body, struct pd_buf *out);

#endif
