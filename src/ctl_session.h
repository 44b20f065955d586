/**
 * DOC: Runs the commands of peridotctl against the platform or an entry instance
 */
#ifndef PD_CTL_SESSION_H
#define PD_CTL_SESSION_H

#include <stdio.h>

#include "config_log.h"

/**
 * struct pd_ctl_options - options from the command line
 * @platform: address of the platform, used by create, set, delete and show; port 0 if not given
 * @entry: address of an entry instance, used by query, run and `show status`; port 0 if not given
 * @deadline_ms: how long a configuration command retries while the platform is unavailable, in
 *	milliseconds; also the deadline of query and run if @has_deadline is true
 * @has_deadline: whether --deadline-ms was given
 * @operator_name: operator to record with configuration commands
 * @json: whether to print answers as the JSON that was received
 */
struct pd_ctl_options {
	struct pd_address platform;
	struct pd_address entry;
	int64_t deadline_ms;
	bool has_deadline;
	struct pd_name operator_name;
	bool json;
};

/**
 * struct pd_ctl_session - options and the connections that are reused between commands
 * @options: options from the command line
 * @out: stream for results
 * @errors: stream for messages about commands that failed
 * @platform: client for the platform; its http member is NULL until the first use
 * @entry_http: HTTP client for the entry instance; NULL until the first use
 */
struct pd_ctl_session {
	struct pd_ctl_options options;
	FILE *out;
	FILE *errors;
	struct pd_platform platform;
	struct pd_http_client *entry_http;
};

void pd_ctl_session_init(struct pd_ctl_session *session, const struct pd_ctl_options *options,
			 FILE *out, FILE *errors);
void pd_ctl_session_finish(struct pd_ctl_session *session);

/**
 * pd_ctl_session_run() - runs one command
 * @session: session to run it in
 * @line: the command, one line of the command language
 * @location: prefix of error messages, such as "line 3: "; may be empty
 *
 * Return: true if the command succeeded: the change was applied, the answer is complete or partial,
 * or the requested state was printed.
 */
bool pd_ctl_session_run(struct pd_ctl_session *session, struct pd_str line, const char *location);

#endif
