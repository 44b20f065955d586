/**
 * DOC: HTTP/1.1 messages
 *
 * Reads requests and responses from bytes as they arrive (parsing by http-parser) and keeps the
 * header fields and the body. Reading stops at the end of a message, so that bytes of the next one
 * stay with the caller.
 */
#ifndef PD_HTTP_H
#define PD_HTTP_H

#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "str.h"

#define PD_HTTP_FIELDS_MAX 32 /* header fields of one message; more are malformed */

/** enum pd_http_kind - which side sent the message. */
enum pd_http_kind {
	PD_HTTP_REQUEST,
	PD_HTTP_RESPONSE,
};

/** enum pd_http_result - what reading some bytes led to. */
enum pd_http_result {
	PD_HTTP_INCOMPLETE, /* the message isn't complete yet */
	PD_HTTP_COMPLETE,
	PD_HTTP_MALFORMED,
	PD_HTTP_HEAD_TOO_LARGE,
	PD_HTTP_BODY_TOO_LARGE,
};

/**
 * struct pd_http_field - position of one header field in the head buffer
 * @name: offset of the name
 * @value: offset of the value
 * @name_len: bytes
 * @value_len: bytes
 */
struct pd_http_field {
	uint32_t name;
	uint32_t value;
	uint32_t name_len;
	uint32_t value_len;
};

/**
 * struct pd_http_message - one message while it is read, and afterwards
 * @parser: state of http-parser
 * @kind: request or response
 * @head: target, names and values, back to back
 * @body: decoded body
 * @fields: header fields in the order received
 * @field_count: number of @fields
 * @target_len: bytes of the request target at the start of @head
 * @head_max: most bytes of @head
 * @body_max: most bytes of @body
 * @response_to_head: a response without a body, whatever its header says
 * @head_complete: the blank line after the header was read
 * @complete: the whole message was read
 * @framed: the end of the body doesn't depend on the end of the connection
 * @keep_alive: the sender keeps the connection open after this message
 * @in_value: the parser is in a value; a new name begins the next field
 * @overflow: PD_HTTP_HEAD_TOO_LARGE or PD_HTTP_BODY_TOO_LARGE once a limit was exceeded
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
	bool keep_alive;
	bool in_value;
	enum pd_http_result overflow;
};

void pd_http_message_init(struct pd_http_message *msg, enum pd_http_kind kind, size_t head_max,
			  size_t body_max);
void pd_http_message_finish(struct pd_http_message *msg);
/* Forgets the message read and prepares for the next one; keeps small buffers. */
void pd_http_message_reset(struct pd_http_message *msg);

/**
 * pd_http_message_parse() - takes bytes of the connection
 * @msg: message
 * @data: bytes
 * @len: number of bytes
 * @used: set to the number of bytes that belong to this message
 */
enum pd_http_result pd_http_message_parse(struct pd_http_message *msg, const char *data, size_t len,
					  size_t *used);
/* The connection ended: PD_HTTP_COMPLETE for a body that ends with it, else PD_HTTP_MALFORMED. */
enum pd_http_result pd_http_message_eof(struct pd_http_message *msg);

struct pd_str pd_http_message_target(const struct pd_http_message *msg);
struct pd_str pd_http_message_name(const struct pd_http_message *msg, uint32_t index);
struct pd_str pd_http_message_value(const struct pd_http_message *msg, uint32_t index);
/* Value of the first field of that name (any case); false when there is none. */
bool pd_http_message_field(const struct pd_http_message *msg, const char *name,
			   struct pd_str *value);
/* True for fields that concern one connection only and aren't forwarded (RFC 9110, 7.6.1). */
bool pd_http_is_hop_by_hop_field(struct pd_str name);
const char *pd_http_reason(int status);

#endif
