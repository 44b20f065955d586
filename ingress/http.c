#include "http.h"

#include <string.h>
#include <strings.h>

/* Number of digits of a status code (RFC 9112, 4). */
#define STATUS_DIGITS 3

/* Buffers up to this size stay allocated between messages; larger ones are freed. */
#define RETAINED_BUFFER_MAX_BYTES 2048

static int on_target(http_parser *parser, const char *at, size_t len)
{
	struct pd_http_message *msg = parser->data;

	if (msg->head.len + len > msg->head_max || !pd_buf_append(&msg->head, at, len)) {
		msg->failure = PD_HTTP_HEAD_TOO_LARGE;
		return -1;
	}
	msg->target_len += (uint32_t)len;
	return 0;
}

static int append_head(struct pd_http_message *msg, const char *at, size_t len)
{
	if (msg->head.len + len > msg->head_max || !pd_buf_append(&msg->head, at, len)) {
		msg->failure = PD_HTTP_HEAD_TOO_LARGE;
		return -1;
	}
	return 0;
}

static int on_field(http_parser *parser, const char *at, size_t len)
{
	struct pd_http_message *msg = parser->data;
	struct pd_http_field *field;

	if (msg->head_complete)
		return 0; /* trailer fields are discarded */
	/* http-parser accepts a space in a field name, as in "Transfer-Encoding : chunked", and
	 * treats it as another field. An upstream may treat it as Transfer-Encoding, which would
	 * allow request smuggling.
	 */
	if (memchr(at, ' ', len))
		return -1;
	if (msg->in_value || !msg->field_count) {
		if (msg->field_count == PD_HTTP_FIELDS_MAX) {
			msg->failure = PD_HTTP_HEAD_TOO_LARGE;
			return -1;
		}
		field = &msg->fields[msg->field_count++];
		*field = (struct pd_http_field){.name = (uint32_t)msg->head.len};
		msg->in_value = false;
	}
	field = &msg->fields[msg->field_count - 1];
	field->name_len += (uint32_t)len;
	return append_head(msg, at, len);
}

static int on_value(http_parser *parser, const char *at, size_t len)
{
	struct pd_http_message *msg = parser->data;
	struct pd_http_field *field;

	if (msg->head_complete || !msg->field_count)
		return 0;
	field = &msg->fields[msg->field_count - 1];
	if (!msg->in_value) {
		field->value = (uint32_t)msg->head.len;
		msg->in_value = true;
	}
	field->value_len += (uint32_t)len;
	return append_head(msg, at, len);
}

enum pd_http_status_class pd_http_status_class(unsigned int status)
{
	if (status < 100 || status > 599 || status == HTTP_STATUS_SWITCHING_PROTOCOLS)
		return PD_HTTP_STATUS_NONE;
	return status < 200 ? PD_HTTP_STATUS_INTERIM : PD_HTTP_STATUS_FINAL;
}

bool pd_http_message_is_interim(const struct pd_http_message *msg)
{
	return pd_http_status_class(msg->parser.status_code) == PD_HTTP_STATUS_INTERIM;
}

struct pd_str pd_http_message_status_text(const struct pd_http_message *msg)
{
	uint32_t len = msg->status_len;

	return (struct pd_str){msg->status_text,
			       len < PD_HTTP_STATUS_TEXT_BYTES ? len : PD_HTTP_STATUS_TEXT_BYTES};
}

/* Keeps the text of the status code from the bytes of the status line: http-parser only yields its
 * number, which hides leading zeros.
 */
static void scan_status(struct pd_http_message *msg, const char *data, size_t len)
{
	for (size_t i = 0; i < len && msg->status_scan < 2; i++) {
		bool in_status = msg->status_scan == 1;

		if (data[i] == ' ' && (!in_status || msg->status_len))
			msg->status_scan++;
		else if (in_status && (data[i] == '\r' || data[i] == '\n'))
			msg->status_scan = 2;
		else if (in_status && data[i] != ' ' &&
			 msg->status_len++ < PD_HTTP_STATUS_TEXT_BYTES)
			msg->status_text[msg->status_len - 1] = data[i];
	}
}

/* Whether the status line rules out a valid status code, from the space after the code or a fourth
 * digit on. http-parser has checked that its characters are digits.
 */
static bool has_invalid_status(const struct pd_http_message *msg)
{
	if (msg->status_len > STATUS_DIGITS)
		return true;
	return msg->status_scan == 2 &&
	       (msg->status_len != STATUS_DIGITS ||
		pd_http_status_class(msg->parser.status_code) == PD_HTTP_STATUS_NONE);
}

/* Checks the status line of a response when its reason phrase begins, which may be empty. */
static int on_status(http_parser *parser, const char *at, size_t len)
{
	struct pd_http_message *msg = parser->data;

	(void)at;
	(void)len;
	/* http-parser accepts any version. */
	if (parser->http_major != 1) {
		msg->failure = PD_HTTP_MALFORMED;
		return -1;
	}
	if (has_invalid_status(msg)) {
		msg->failure = PD_HTTP_INVALID_STATUS;
		return -1;
	}
	return 0;
}

/* Whether a response has no body, whatever its header says (RFC 9112, 6.3). */
static bool is_without_body(const struct pd_http_message *msg)
{
	unsigned int status = msg->parser.status_code;

	if (msg->kind == PD_HTTP_REQUEST)
		return false;
	return msg->response_to_head || pd_http_status_class(status) == PD_HTTP_STATUS_INTERIM ||
	       status == HTTP_STATUS_NO_CONTENT || status == HTTP_STATUS_NOT_MODIFIED;
}

/* Whether the header states a body that isn't empty. */
static bool announces_body(const http_parser *parser)
{
	return (parser->flags & F_CHUNKED) ||
	       ((parser->flags & F_CONTENTLENGTH) && parser->content_length);
}

static int on_headers_complete(http_parser *parser)
{
	struct pd_http_message *msg = parser->data;

	msg->head_complete = true;
	msg->body_announced =
		is_without_body(msg) && !msg->response_to_head && announces_body(parser);
	msg->framed = msg->kind == PD_HTTP_REQUEST || is_without_body(msg) ||
		      (parser->flags & (F_CHUNKED | F_CONTENTLENGTH));
	/* 1 tells http-parser that the message has no body. */
	return is_without_body(msg) ? 1 : 0;
}

static int on_body(http_parser *parser, const char *at, size_t len)
{
	struct pd_http_message *msg = parser->data;

	if (msg->body.len + len > msg->body_max || !pd_buf_append(&msg->body, at, len)) {
		msg->failure = PD_HTTP_BODY_TOO_LARGE;
		return -1;
	}
	return 0;
}

static int on_message_complete(http_parser *parser)
{
	struct pd_http_message *msg = parser->data;

	msg->complete = true;
	/* A sender that states a body may send it, although the message has none. */
	msg->keep_alive = http_should_keep_alive(parser) && !msg->body_announced;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_url = on_target,
	.on_status = on_status,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_message_complete,
};

void pd_http_message_init(struct pd_http_message *msg, enum pd_http_kind kind, size_t head_max,
			  size_t body_max)
{
	memset(msg, 0, sizeof(*msg));
	msg->kind = kind;
	msg->head_max = head_max;
	msg->body_max = body_max;
	pd_http_message_reset(msg);
}

void pd_http_message_finish(struct pd_http_message *msg)
{
	pd_buf_finish(&msg->head);
	pd_buf_finish(&msg->body);
}

static void clear_buffer(struct pd_buf *buf)
{
	if (buf->cap > RETAINED_BUFFER_MAX_BYTES)
		pd_buf_finish(buf);
	else
		pd_buf_clear(buf);
}

void pd_http_message_reset(struct pd_http_message *msg)
{
	http_parser_init(&msg->parser, msg->kind == PD_HTTP_REQUEST ? HTTP_REQUEST : HTTP_RESPONSE);
	msg->parser.data = msg;
	clear_buffer(&msg->head);
	clear_buffer(&msg->body);
	msg->field_count = 0;
	msg->target_len = 0;
	msg->response_to_head = false;
	msg->head_complete = false;
	msg->complete = false;
	msg->framed = false;
	msg->body_announced = false;
	msg->keep_alive = false;
	msg->in_value = false;
	msg->status_scan = 0;
	msg->status_len = 0;
	msg->failure = PD_HTTP_INCOMPLETE;
}

/* Returns the state of a message. Requests to upgrade the connection count as malformed. */
static enum pd_http_result message_state(const struct pd_http_message *msg)
{
	if (msg->complete)
		return msg->parser.upgrade ? PD_HTTP_MALFORMED : PD_HTTP_COMPLETE;
	if (msg->failure != PD_HTTP_INCOMPLETE)
		return msg->failure;
	if (HTTP_PARSER_ERRNO(&msg->parser) == HPE_HEADER_OVERFLOW)
		return PD_HTTP_HEAD_TOO_LARGE;
	if (HTTP_PARSER_ERRNO(&msg->parser) == HPE_INVALID_STATUS)
		return PD_HTTP_INVALID_STATUS;
	return HTTP_PARSER_ERRNO(&msg->parser) == HPE_OK ? PD_HTTP_INCOMPLETE : PD_HTTP_MALFORMED;
}

enum pd_http_result pd_http_message_parse(struct pd_http_message *msg, const char *data, size_t len,
					  size_t *used)
{
	*used = 0;
	if (msg->kind == PD_HTTP_RESPONSE)
		scan_status(msg, data, len);
	if (len)
		*used = http_parser_execute(&msg->parser, &parser_settings, data, len);
	/* The sender may hang before the reason phrase, with which on_status() is called. */
	if (message_state(msg) == PD_HTTP_INCOMPLETE && has_invalid_status(msg))
		msg->failure = PD_HTTP_INVALID_STATUS;
	return message_state(msg);
}

enum pd_http_result pd_http_message_eof(struct pd_http_message *msg)
{
	http_parser_execute(&msg->parser, &parser_settings, NULL, 0);
	return msg->complete ? PD_HTTP_COMPLETE : PD_HTTP_MALFORMED;
}

struct pd_str pd_http_message_target(const struct pd_http_message *msg)
{
	return (struct pd_str){msg->head.data, msg->target_len};
}

struct pd_str pd_http_message_name(const struct pd_http_message *msg, uint32_t index)
{
	const struct pd_http_field *field = &msg->fields[index];

	return (struct pd_str){msg->head.data + field->name, field->name_len};
}

struct pd_str pd_http_message_value(const struct pd_http_message *msg, uint32_t index)
{
	const struct pd_http_field *field = &msg->fields[index];

	return (struct pd_str){msg->head.data + field->value, field->value_len};
}

static bool same_name(struct pd_str a, const char *b, size_t b_len)
{
	return a.len == b_len && !strncasecmp(a.data, b, b_len);
}

bool pd_http_message_field(const struct pd_http_message *msg, const char *name,
			   struct pd_str *value)
{
	size_t len = strlen(name);

	for (uint32_t i = 0; i < msg->field_count; i++) {
		if (same_name(pd_http_message_name(msg, i), name, len)) {
			*value = pd_http_message_value(msg, i);
			return true;
		}
	}
	*value = (struct pd_str){NULL, 0};
	return false;
}

bool pd_http_is_hop_by_hop_field(struct pd_str name)
{
	static const char *const names[] = {
		"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding",
		"TE",	      "Trailer",    "Upgrade",		"Content-Length",
		"Expect",
	};

	for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
		if (same_name(name, names[i], strlen(names[i])))
			return true;
	}
	return false;
}

const char *pd_http_reason(int status)
{
	switch (status) {
#define X(code, name, text)                                                                        \
	case code:                                                                                 \
		return #text;
		HTTP_STATUS_MAP(X)
#undef X
	default:
		return "Unknown";
	}
}
