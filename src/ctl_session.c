#include "ctl_session.h"

#include <inttypes.h>
#include <string.h>

#include "ctl_answer.h"
#include "ctl_show.h"

#define ANSWER_MARGIN_US  PD_USEC_PER_SEC /* for the way to the entry instance and back */
#define STATUS_TIMEOUT_US (2 * PD_USEC_PER_SEC)

void pd_ctl_session_init(struct pd_ctl_session *session, const struct pd_ctl_options *options,
			 FILE *out, FILE *errors)
{
	memset(session, 0, sizeof(*session));
	session->options = *options;
	session->out = out;
	session->errors = errors;
}

void pd_ctl_session_finish(struct pd_ctl_session *session)
{
	pd_platform_close(&session->platform);
	pd_http_client_close(session->entry_http);
	session->entry_http = NULL;
}

static void print(FILE *file, const struct pd_buf *text)
{
	if (text->len)
		fwrite(text->data, 1, text->len, file);
	fflush(file);
}

static bool fail(struct pd_ctl_session *s, const char *where, const char *what, const char *text)
{
	fflush(s->out);
	fprintf(s->errors, "%s%s%s\n", where, what, text);
	return false;
}

static enum pd_code need_platform(struct pd_ctl_session *s, struct pd_error *err)
{
	if (!s->options.platform.port)
		return pd_error_set(err, PD_LAYER_COORDINATION, PD_INVALID,
				    "--platform IP:PORT is required for this command");
	if (s->platform.http)
		return PD_OK;
	return pd_platform_open(&s->platform, &s->options.platform, err);
}

static enum pd_code need_entry(struct pd_ctl_session *s, struct pd_error *err)
{
	if (!s->options.entry.port)
		return pd_error_set(err, PD_LAYER_COORDINATION, PD_INVALID,
				    "--entry IP:PORT is required for this command");
	if (s->entry_http)
		return PD_OK;
	return pd_http_client_open(&s->entry_http, err);
}

/* The result of a change in words that state whether it took effect. */
static bool report_change(struct pd_ctl_session *s, const char *where, enum pd_code code,
			  uint64_t version, const struct pd_error *err)
{
	switch (code) {
	case PD_OK:
		fprintf(s->out, "applied as version %" PRIu64 "\n", version);
		fflush(s->out);
		return true;
	case PD_UNKNOWN_OUTCOME:
		return fail(s, where,
			    "unknown: it may have been applied, see `show log` later: ", err->text);
	case PD_CONFLICT:
		return fail(s, where, "not applied: conflict: ", err->text);
	default:
		return fail(s, where, "not applied: ", err->text);
	}
}

/* The change has taken effect; an old snapshot only makes starts slower, so that it is a warning.
 */
static void save_snapshot(struct pd_ctl_session *s, struct pd_config_log *log, const char *where)
{
	struct pd_error err = {0};
	bool saved;

	if (pd_config_log_save_snapshot(log, &saved, &err))
		fail(s, where, "warning: the snapshot was not rewritten: ", err.text);
}

static bool change_config(struct pd_ctl_session *s, const struct pd_command *command,
			  const char *where)
{
	struct pd_config_log log = {0};
	struct pd_error err = {0};
	uint64_t version = 0;
	enum pd_code code = need_platform(s, &err);

	if (!code)
		code = pd_config_log_open(&log, &s->platform, &err);
	if (!code)
		code = pd_config_log_append(&log, command, &s->options.operator_name,
					    s->options.deadline_ms * PD_USEC_PER_MSEC, &version,
					    &err);
	if (!code)
		save_snapshot(s, &log, where);
	pd_config_log_close(&log);
	return report_change(s, where, code, version, &err);
}

static bool show_config(struct pd_ctl_session *s, enum pd_show show, const char *where)
{
	struct pd_config_log log = {0};
	struct pd_error err = {0};
	struct pd_buf out = {0};
	enum pd_code code = need_platform(s, &err);

	if (!code)
		code = pd_config_log_open(&log, &s->platform, &err);
	if (!code)
		code = pd_config_log_read(&log, &err);
	if (!code && show == PD_SHOW_LOG)
		code = pd_ctl_show_log(&s->platform, log.config->version, &out, &err);
	else if (!code)
		pd_ctl_show_config(log.config, show, &out);
	print(s->out, &out);
	pd_buf_finish(&out);
	pd_config_log_close(&log);
	return code ? fail(s, where, "", err.text) : true;
}

static enum pd_code call_entry(struct pd_ctl_session *s, const struct pd_http_request *request,
			       struct pd_http_response *response, struct pd_error *err)
{
	enum pd_code code = need_entry(s, err);

	return code ? code : pd_http_client_perform(s->entry_http, request, response, err);
}

static bool show_status(struct pd_ctl_session *s, const char *where)
{
	struct pd_http_request request = {
		.method = "GET",
		.address = s->options.entry,
		.path = "/status",
		.timeout_us = STATUS_TIMEOUT_US,
	};
	struct pd_http_response response = {0};
	struct pd_error err = {0};
	struct pd_buf out = {0};
	bool good;

	if (call_entry(s, &request, &response, &err))
		return fail(s, where, "no status: ", err.text);
	good = response.status == 200;
	if (!good)
		pd_ctl_error_print(response.body, &out);
	else if (s->options.json || !pd_ctl_json_print(response.body, &out))
		pd_buf_append_str(&out, response.body);
	if (good && out.len && out.data[out.len - 1] != '\n')
		pd_buf_append(&out, "\n", 1);
	if (good)
		print(s->out, &out);
	else
		fail(s, where, "no status: ", out.len ? out.data : "empty reply");
	pd_buf_finish(&out);
	return good;
}

static bool report_answer(struct pd_ctl_session *s, const char *where,
			  const struct pd_http_response *response)
{
	struct pd_buf out = {0};
	bool known = pd_ctl_answer_print(response->body, &out);

	if (s->options.json) {
		pd_buf_clear(&out);
		pd_buf_append_str(&out, response->body);
		if (out.len && out.data[out.len - 1] != '\n')
			pd_buf_append(&out, "\n", 1);
	} else if (!known) {
		char what[32];

		pd_ctl_error_print(response->body, &out);
		snprintf(what, sizeof(what), "status %d: ", response->status);
		fail(s, where, what, out.len ? out.data : "empty reply");
		pd_buf_finish(&out);
		return false;
	}
	print(s->out, &out);
	pd_buf_finish(&out);
	return pd_ctl_answer_succeeded(response->body);
}

/* A request that got no answer: says whether it can have run. */
static bool report_no_answer(struct pd_ctl_session *s, const char *where, enum pd_code code,
			     const struct pd_error *err)
{
	if (code == PD_TIMEOUT || code == PD_CLOSED || code == PD_TOO_LARGE)
		return fail(s, where, "unknown: no answer, it may have run: ", err->text);
	return fail(s, where, "not run: ", err->text);
}

static bool ask_entry(struct pd_ctl_session *s, const struct pd_command *command, const char *where)
{
	int64_t own_us = command->type == PD_CMD_QUERY ? command->query.deadline_us
						       : command->run.deadline_us;
	int64_t wait_us = own_us ? own_us : PD_DEADLINE_MAX_MS * PD_USEC_PER_MSEC;
	struct pd_http_response response = {0};
	struct pd_http_header header = {PD_STR("Deadline-Ms"), {0}};
	struct pd_error err = {0};
	struct pd_buf body = {0};
	char deadline[24];
	enum pd_code code;

	snprintf(deadline, sizeof(deadline), "%" PRId64, s->options.deadline_ms);
	header.value = pd_str_from(deadline);
	if (s->options.has_deadline)
		wait_us = s->options.deadline_ms * PD_USEC_PER_MSEC;
	pd_command_print(command, &body);
	struct pd_http_request request = {
		.method = "POST",
		.address = s->options.entry,
		.path = "/v1/query",
		.headers = &header,
		.header_count = s->options.has_deadline,
		.body = pd_buf_str(&body),
		.timeout_us = wait_us + ANSWER_MARGIN_US,
	};
	code = call_entry(s, &request, &response, &err);
	pd_buf_finish(&body);
	if (code)
		return report_no_answer(s, where, code, &err);
	return report_answer(s, where, &response);
}

static bool run_command(struct pd_ctl_session *s, const struct pd_command *command,
			const char *where)
{
	switch (command->type) {
	case PD_CMD_EMPTY:
		return true;
	case PD_CMD_QUERY:
	case PD_CMD_RUN:
		return ask_entry(s, command, where);
	case PD_CMD_CREATE:
	case PD_CMD_SET:
	case PD_CMD_DELETE:
		return change_config(s, command, where);
	case PD_CMD_SHOW:
		break;
	}
	if (command->show == PD_SHOW_STATUS)
		return show_status(s, where);
	return show_config(s, command->show, where);
}

bool pd_ctl_session_run(struct pd_ctl_session *session, struct pd_str line, const char *where)
{
	struct pd_command command;
	struct pd_error err = {0};
	bool good;

	if (pd_command_parse(&command, line, &err))
		return fail(session, where, "", err.text);
	good = run_command(session, &command, where);
	pd_command_finish(&command);
	return good;
}
