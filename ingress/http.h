/**
 * DOC: HTTP/1.1 messages
 *
 * Parses requests and responses incrementally (with http-parser) and stores the header fields and
 * the body. Parsing stops at the end of a message; the caller keeps the bytes that follow it.
 */
#ifndef PD_HTTP_H
#define PD_HTTP_H

#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "str.h"

/* Maximum length of the text of a status code that is kept for logs, in bytes. */
#define PD_HTTP_STATUS_TEXT_BYTES 16

/* Maximum number of header fields; a message with more gives PD_HTTP_HEAD_TOO_LARGE. */
#define PD_HTTP_FIELDS_MAX 32

/** enum pd_http_kind - whether a message is a request or a response. */
enum pd_http_kind {
	PD_HTTP_REQUEST,
	PD_HTTP_RESPONSE,
};

/** enum pd_http_result - state of a message after some bytes were parsed. */
enum pd_http_result {
	PD_HTTP_INCOMPLETE, /* more bytes are needed */
	PD_HTTP_COMPLETE,
	PD_HTTP_MALFORMED,
	PD_HTTP_INVALID_STATUS, /* the status line states no status that a response can have */
	PD_HTTP_HEAD_TOO_LARGE,
	PD_HTTP_BODY_TOO_LARGE,
};

/** enum pd_http_status_class - what a status code makes of a message. */
enum pd_http_status_class {
	PD_HTTP_STATUS_NONE, /* it isn't a response */
	PD_HTTP_STATUS_INTERIM, /* another response follows */
	PD_HTTP_STATUS_FINAL,
};

/**
 * struct pd_http_field - position of one header field in &pd_http_message.head
 * @name: offset of the name, in bytes
 * @value: offset of the value, in bytes
 * @name_len: length of the name, in bytes
 * @value_len: length of the value, in bytes
 */
struct pd_http_field {
	uint32_t name;
	uint32_t value;
	uint32_t name_len;
	uint32_t value_len;
};

/**
 * struct pd_http_message - a message that is being parsed or was parsed
 * @parser: state of http-parser
 * @kind: request or response
 * @head: request target, then names and values of the header fields, without separators
 * @body: body, without transfer encoding
 * @fields: header fields in the order received
 * @field_count: number of entries in @fields
 * @target_len: length of the request target at the start of @head, in bytes
 * @head_max: maximum length of @head, in bytes
 * @body_max: maximum length of @body, in bytes
 * @response_to_head: the message is a response to a HEAD request and has no body, whatever its
 *	header says; set by the caller before parsing
 * @head_complete: the header was parsed, up to and including its blank line
 * @complete: the whole message was parsed
 * @framed: the length of the body is known from the message itself; otherwise the body ends when
 *	the connection is closed
 * @body_announced: the header states a body although a response with this status has none
 * @keep_alive: the connection can be used after this message: the sender keeps it open, and no
 *	bytes of an announced body may follow
 * @in_value: the parser is inside a field's value, so the next name starts a new field
 * @status_scan: number of blanks seen so far in the status line, 2 from the end of the status code
 *	on
 * @status_len: length of the text of the status code, in bytes
 * @status_text: start of the text of the status code
 * @failure: reason for which the parsing was ended before the end of the message: one of
 *	PD_HTTP_MALFORMED, PD_HTTP_INVALID_STATUS, PD_HTTP_HEAD_TOO_LARGE and
 *	PD_HTTP_BODY_TOO_LARGE, else PD_HTTP_INCOMPLETE
 */
struct pd_http_message {
	http_parser parser;
	enum pd_http_kind kind;
	struct pd_buf head;
	struct pd_buf body;
	struct pd_http_field fields[PD_HTTP_FIELDS_MAX];
	uint32_t field_count;
	uint32_t target_len;
	size_t head_max;
	size_t body_max;
	bool response_to_head;
	bool head_complete;
	bool complete;
	bool framed;
	bool body_announced;
	bool keep_alive;
	bool in_value;
	uint8_t status_scan;
	uint32_t status_len;
	char status_text[PD_HTTP_STATUS_TEXT_BYTES];
	enum pd_http_result failure;
};

void pd_http_message_init(struct pd_http_message *msg, enum pd_http_kind kind, size_t head_max,
			  size_t body_max);
void pd_http_message_finish(struct pd_http_message *msg);
/* Discards the message and prepares for parsing the next one; small buffers stay allocated. */
void pd_http_message_reset(struct pd_http_message *msg);

/**
 * pd_http_message_parse() - parses bytes received from the connection
 * @msg: message
 * @data: received bytes
 * @len: length of @data, in bytes
 * @used: set to the number of bytes of @data that belong to this message
 *
 * Return: state of the message after these bytes.
 */
enum pd_http_result pd_http_message_parse(struct pd_http_message *msg, const char *data, size_t len,
					  size_t *used);
/* Ends the parsing after the connection was closed: returns PD_HTTP_COMPLETE if the end of the
 * connection ends the body, else PD_HTTP_MALFORMED.
 */
enum pd_http_result pd_http_message_eof(struct pd_http_message *msg);

struct pd_str pd_http_message_target(const struct pd_http_message *msg);
struct pd_str pd_http_message_name(const struct pd_http_message *msg, uint32_t index);
struct pd_str pd_http_message_value(const struct pd_http_message *msg, uint32_t index);
/* Sets @value to the value of the first field with that name, compared without case; false and an
 * empty @value if there is none.
 */
bool pd_http_message_field(const struct pd_http_message *msg, const char *name,
			   struct pd_str *value);
/* Returns the class of a status code. 101 isn't one of a response, because it answers a request to
 * upgrade the connection, which isn't made here.
 */
enum pd_http_status_class pd_http_status_class(unsigned int status);
/* Whether a message that was parsed is an interim response. */
bool pd_http_message_is_interim(const struct pd_http_message *msg);
/* Returns the text of the status code of a response, as far as it was received and is kept. */
struct pd_str pd_http_message_status_text(const struct pd_http_message *msg);
/* True for fields that apply to one connection only and must not be forwarded (RFC 9110, 7.6.1). */
bool pd_http_is_hop_by_hop_field(struct pd_str name);
/* Returns the reason phrase of a status code. */
const char *pd_http_reason(int status);

#endif
