/**
 * DOC: Errors
 *
 * Functions that can fail return a code of enum pd_code and fill the caller's struct pd_error, when
 * one is given, with the layer and a message. A layer that gets an error from below states its own
 * code and keeps the text below as its cause.
 */
#ifndef PD_ERROR_H
#define PD_ERROR_H

/** enum pd_code - what went wrong, over all layers. */
enum pd_code {
	PD_OK = 0,
	PD_NO_MEMORY,
	PD_INVALID, /* argument, setting, command or message that breaks its rules */
	PD_NOT_FOUND,
	PD_CONFLICT, /* a conditional update lost, or the object exists already */
	PD_TIMEOUT,
	PD_CLOSED, /* the other end closed or reset the connection */
	PD_REFUSED_CONNECTION, /* nothing listens at the address */
	PD_UNREACHABLE,
	PD_CANCELLED,
	PD_TOO_LARGE,
	PD_UNSUPPORTED_VERSION,
	PD_UNAVAILABLE, /* the service answered that it can't serve now */
	PD_UNKNOWN_OUTCOME, /* the request may have taken effect */
	PD_NOT_OWNER,
	PD_SYSTEM, /* a system call failed */
	PD_CODE_COUNT,
};

/** enum pd_layer - the layer that reports an error. */
enum pd_layer {
	PD_LAYER_BASE,
	PD_LAYER_TRANSPORT,
	PD_LAYER_PROTOCOL,
	PD_LAYER_COORDINATION,
	PD_LAYER_STATE,
};

#define PD_ERROR_TEXT_MAX_BYTES 256 /* bytes, with the terminating NUL */

/**
 * struct pd_error - an error on its way to the caller
 * @code: what went wrong
 * @layer: the layer that reported it last
 * @text: message for a person, NUL-terminated, cut at PD_ERROR_TEXT_MAX_BYTES
 */
struct pd_error {
	enum pd_code code;
	enum pd_layer layer;
	char text[PD_ERROR_TEXT_MAX_BYTES];
};

/** pd_strerror() - returns a constant short name of @code, such as "timeout". */
const char *pd_strerror(enum pd_code code);

/** pd_layer_name() - returns a constant name of @layer. */
const char *pd_layer_name(enum pd_layer layer);

/**
 * pd_error_set() - fills @err (which may be NULL) and returns @code
 * @err: error to fill, or NULL
 * @layer: reporting layer
 * @code: what went wrong
 * @format: printf format of the message
 */
enum pd_code pd_error_set(struct pd_error *err, enum pd_layer layer, enum pd_code code,
			  const char *format, ...) __attribute__((format(printf, 4, 5)));

/**
 * pd_error_wrap() - turns an error from a lower layer into one of @layer
 * @err: error to change, or NULL
 * @layer: reporting layer
 * @code: the code in this layer
 * @context: what this layer was doing; put before the existing text
 *
 * Return: @code.
 */
enum pd_code pd_error_wrap(struct pd_error *err, enum pd_layer layer, enum pd_code code,
			   const char *context);

#endif
