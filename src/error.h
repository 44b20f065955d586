/**
 * DOC: Errors
 *
 * Functions that can fail return an enum pd_code and fill in the caller's struct pd_error, if it
 * isn't NULL. A layer that passes on an error of a lower layer sets its own code and keeps the
 * lower layer's message as the cause; see pd_error_wrap().
 */
#ifndef PD_ERROR_H
#define PD_ERROR_H

/** enum pd_code - error codes, common to all layers. */
enum pd_code {
	PD_OK = 0,
	PD_NO_MEMORY,
	PD_INVALID, /* argument, setting, command or message that is malformed or not allowed */
	PD_NOT_FOUND,
	PD_CONFLICT, /* the condition of an update does not hold, or the object exists already */
	PD_TIMEOUT,
	PD_CLOSED, /* the connection was closed or reset */
	PD_REFUSED_CONNECTION, /* nothing listens at the address */
	PD_UNREACHABLE, /* no connection could be opened, so nothing was sent */
	PD_CANCELLED,
	PD_TOO_LARGE,
	PD_UNSUPPORTED_VERSION,
	PD_UNAVAILABLE, /* the service can't handle the request at present */
	PD_UNKNOWN_OUTCOME, /* the request may have taken effect */
	PD_NOT_OWNER, /* this instance does not own the upstream */
	PD_SYSTEM, /* a system call failed */
	PD_CODE_COUNT,
};

/** enum pd_layer - layers of the program that report errors, each with its modules. */
enum pd_layer {
	PD_LAYER_BASE, /* error, str, log, counters, os, settings */
	PD_LAYER_TRANSPORT, /* link, http_client */
	PD_LAYER_PROTOCOL, /* message, command, platform_client */
	/* members, peers, config_log, config_sync, ledger, suspects, and commands of peridotctl */
	PD_LAYER_COORDINATION,
	/* config, ranges, latency, limiter, upstream, router, query, and the start of the HTTP
	 * server for callers */
	PD_LAYER_STATE,
};

#define PD_ERROR_TEXT_MAX_BYTES 256 /* with the terminating NUL */

/**
 * struct pd_error - an error with its message
 * @code: error code
 * @layer: layer that set @code
 * @text: human-readable message, NUL-terminated, truncated to fit
 */
struct pd_error {
	enum pd_code code;
	enum pd_layer layer;
	char text[PD_ERROR_TEXT_MAX_BYTES];
};

/** pd_strerror() - returns the constant name of @code, such as "timeout". */
const char *pd_strerror(enum pd_code code);

/** pd_layer_name() - returns the constant name of @layer. */
const char *pd_layer_name(enum pd_layer layer);

/**
 * pd_error_set() - stores an error
 * @err: error to fill in, or NULL
 * @layer: layer that reports the error
 * @code: error code
 * @format: printf format of the message
 *
 * Return: @code.
 */
enum pd_code pd_error_set(struct pd_error *err, enum pd_layer layer, enum pd_code code,
			  const char *format, ...) __attribute__((format(printf, 4, 5)));

/**
 * pd_error_wrap() - converts an error of a lower layer into one of @layer
 * @err: error to change, or NULL
 * @layer: layer that passes on the error
 * @code: error code of that layer
 * @context: operation that failed; prepended to the existing message
 *
 * Return: @code.
 */
enum pd_code pd_error_wrap(struct pd_error *err, enum pd_layer layer, enum pd_code code,
			   const char *context);

#endif
