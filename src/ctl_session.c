#include "ctl_session.h"

#include <inttypes.h>
#include <string.h>

#include "ctl_answer.h"
#include "ctl_show.h"

/* Added to the deadline of a request for the network round trip. */
#define ROUND_TRIP_MARGIN_US PD_USEC_PER_SEC
#define STATUS_TIMEOUT_US    (2 * PD_USEC_PER_SEC)

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

static void write_buffer(FILE *file, const struct pd_buf *text)
{
	if (text->len)
		fwrite(text->data, 1, text->len, file);
	fflush(file);
}

/* Prints an error message and returns false. */
static bool print_error(struct pd_ctl_session *s, const char *location, const char *message,
			const char *text)
{
	fflush(s->out);
	fprintf(s->errors, "%s%s%s\n", location, message, text);
	return false;
}

/* Opens the client for the platform if it isn't open yet. */
static enum pd_code open_platform(struct pd_ctl_session *s, struct pd_error *err)
{
	if (!s->options.platform.port)
		return pd_error_set(err, PD_LAYER_COORDINATION, PD_INVALID,
				    "--platform IP:PORT is required for this command");
	if (s->platform.http)
		return PD_OK;
	return pd_platform_open(&s->platform, &s->options.platform, err);
}

/* Opens the HTTP client for the entry instance if it isn't open yet. */
static enum pd_code open_entry_client(struct pd_ctl_session *s, struct pd_error *err)
{
	if (!s->options.entry.port)
		return pd_error_set(err, PD_LAYER_COORDINATION, PD_INVALID,
				    "--entry IP:PORT is required for this command");
	if (s->entry_http)
		return PD_OK;
	return pd_http_client_open(&s->entry_http, err);
}

/* Prints whether a configuration change was applied; returns true if it was. */
static bool report_change(struct pd_ctl_session *s, const char *location, enum pd_code code,
			  uint64_t version, const struct pd_error *err)
{
	switch (code) {
	case PD_OK:
		fprintf(s->out, "applied as version %" PRIu64 "\n", version);
		fflush(s->out);
		return true;
	case PD_UNKNOWN_OUTCOME:
		return print_error(
			s, location,
			"unknown: the change may have been applied; check with `show log` later: ",
			err->text);
	case PD_CONFLICT:
		return print_error(s, location, "not applied: conflict: ", err->text);
	default:
		return print_error(s, location, "not applied: ", err->text);
	}
}

/* Writes the snapshot after a change. A failure is only a warning, since the change was applied and
 * an old snapshot only slows down the start of instances. */
static void save_snapshot(struct pd_ctl_session *s, struct pd_config_log *log, const char *location)
{
	struct pd_error err = {0};
	bool saved;

	if (pd_config_log_save_snapshot(log, &saved, &err))
		print_error(s, location,
			    "warning: the configuration snapshot was not updated: ", err.text);
}

static bool change_config(struct pd_ctl_session *s, const struct pd_command *command,
			  const char *location)
{
	struct pd_config_log log = {0};
	struct pd_error err = {0};
	uint64_t version = 0;
	enum pd_code code = open_platform(s, &err);

	if (!code)
		code = pd_config_log_open(&log, &s->platform, &err);
	if (!code)
		code = pd_config_log_append(&log, command, &s->options.operator_name,
					    s->options.deadline_ms * PD_USEC_PER_MSEC, &version,
					    &err);
	if (!code)
		save_snapshot(s, &log, location);
	pd_config_log_close(&log);
	return report_change(s, location, code, version, &err);
}

static bool show_config(struct pd_ctl_session *s, enum pd_show show, const char *location)
{
	struct pd_config_log log = {0};
	struct pd_error err = {0};
	struct pd_buf out = {0};
	enum pd_code code = open_platform(s, &err);

	if (!code)
		code = pd_config_log_open(&log, &s->platform, &err);
	if (!code)
		code = pd_config_log_read(&log, &err);
	if (!code && show == PD_SHOW_LOG)
		code = pd_ctl_show_log(&s->platform, log.config->version, &out, &err);
	else if (!code)
		pd_ctl_show_config(log.config, show, &out);
	write_buffer(s->out, &out);
	pd_buf_finish(&out);
	pd_config_log_close(&log);
	return code ? print_error(s, location, "", err.text) : true;
}

static enum pd_code perform_request(struct pd_ctl_session *s, const struct pd_http_request *request,
				    struct pd_http_response *response, struct pd_error *err)
{
	enum pd_code code = open_entry_client(s, err);

	return code ? code : pd_http_client_perform(s->entry_http, request, response, err);
}

static bool show_status(struct pd_ctl_session *s, const char *location)
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
	bool succeeded;

	if (perform_request(s, &request, &response, &err))
		return print_error(s, location, "can't read the status: ", err.text);
	succeeded = response.status == 200;
	if (!succeeded)
		pd_ctl_error_print(response.body, &out);
	else if (s->options.json || !pd_ctl_json_print(response.body, &out))
		pd_buf_append_str(&out, response.body);
	if (succeeded && out.len && out.data[out.len - 1] != '\n')
		pd_buf_append(&out, "\n", 1);
	if (succeeded)
		write_buffer(s->out, &out);
	else
		print_error(s, location, "can't read the status: ",
			    out.len ? out.data : "the response has no body");
	pd_buf_finish(&out);
	return succeeded;
}

static bool report_answer(struct pd_ctl_session *s, const char *location,
			  const struct pd_http_response *response)
{
	struct pd_buf out = {0};
	bool is_answer = pd_ctl_answer_print(response->body, &out);

	if (s->options.json) {
		pd_buf_clear(&out);
		pd_buf_append_str(&out, response->body);
		if (out.len && out.data[out.len - 1] != '\n')
			pd_buf_append(&out, "\n", 1);
	} else if (!is_answer) {
		char message[32];

		pd_ctl_error_print(response->body, &out);
		snprintf(message, sizeof(message), "status %d: ", response->status);
		print_error(s, location, message, out.len ? out.data : "the response has no body");
		pd_buf_finish(&out);
		return false;
	}
	write_buffer(s->out, &out);
	pd_buf_finish(&out);
	return pd_ctl_answer_succeeded(response->body);
}

/* Prints whether a request without an answer may have run; always returns false. */
static bool report_no_answer(struct pd_ctl_session *s, const char *location, enum pd_code code,
			     const struct pd_error *err)
{
	if (code == PD_TIMEOUT || code == PD_CLOSED || code == PD_TOO_LARGE)
		return print_error(
			s, location,
			"unknown: no answer was received, and the request may have run: ",
			err->text);
	return print_error(s, location, "not run: ", err->text);
}

static bool send_request(struct pd_ctl_session *s, const struct pd_command *command,
			 const char *location)
{
	int64_t command_deadline_us = command->type == PD_CMD_QUERY ? command->query.deadline_us
								    : command->run.deadline_us;
	int64_t max_wait_us =
		command_deadline_us ? command_deadline_us : PD_DEADLINE_MAX_MS * PD_USEC_PER_MSEC;
	struct pd_http_response response = {0};
	struct pd_http_header header = {PD_STR("Deadline-Ms"), {0}};
	struct pd_error err = {0};
	struct pd_buf body = {0};
	char deadline[24];
	enum pd_code code;

	snprintf(deadline, sizeof(deadline), "%" PRId64, s->options.deadline_ms);
	header.value = pd_str_from(deadline);
	if (s->options.has_deadline)
		max_wait_us = s->options.deadline_ms * PD_USEC_PER_MSEC;
	pd_command_print(command, &body);
	struct pd_http_request request = {
		.method = "POST",
		.address = s->options.entry,
		.path = "/v1/query",
		.headers = &header,
		.header_count = s->options.has_deadline,
		.body = pd_buf_str(&body),
		.timeout_us = max_wait_us + ROUND_TRIP_MARGIN_US,
	};
	code = perform_request(s, &request, &response, &err);
	pd_buf_finish(&body);
	if (code)
		return report_no_answer(s, location, code, &err);
	return report_answer(s, location, &response);
}

static bool run_command(struct pd_ctl_session *s, const struct pd_command *command,
			const char *location)
{
	switch (command->type) {
	case PD_CMD_EMPTY:
		return true;
	case PD_CMD_QUERY:
	case PD_CMD_RUN:
		return send_request(s, command, location);
	case PD_CMD_CREATE:
	case PD_CMD_SET:
	case PD_CMD_DELETE:
		return change_config(s, command, location);
	case PD_CMD_SHOW:
		break;
	}
	if (command->show == PD_SHOW_STATUS)
		return show_status(s, location);
	return show_config(s, command->show, location);
}

bool pd_ctl_session_run(struct pd_ctl_session *session, struct pd_str line, const char *location)
{
	struct pd_command command;
	struct pd_error err = {0};
	bool succeeded;

	if (pd_command_parse(&command, line, &err))
		return print_error(session, location, "", err.text);
	succeeded = run_command(session, &command, location);
	pd_command_finish(&command);
	return succeeded;
}
