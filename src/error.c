#include "error.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

static const char *const code_names[PD_CODE_COUNT] = {
	[PD_OK] = "ok",
	[PD_NO_MEMORY] = "no_memory",
	[PD_INVALID] = "invalid",
	[PD_NOT_FOUND] = "not_found",
	[PD_CONFLICT] = "conflict",
	[PD_TIMEOUT] = "timeout",
	[PD_CLOSED] = "closed",
	[PD_REFUSED_CONNECTION] = "refused_connection",
	[PD_UNREACHABLE] = "unreachable",
	[PD_CANCELLED] = "cancelled",
	[PD_TOO_LARGE] = "too_large",
	[PD_UNSUPPORTED_VERSION] = "unsupported_version",
	[PD_UNAVAILABLE] = "unavailable",
	[PD_UNKNOWN_OUTCOME] = "unknown_outcome",
	[PD_NOT_OWNER] = "not_owner",
	[PD_SYSTEM] = "system",
};

const char *pd_strerror(enum pd_code code)
{
	if ((unsigned int)code >= PD_CODE_COUNT)
		return "unlisted";
	return code_names[code];
}

const char *pd_layer_name(enum pd_layer layer)
{
	switch (layer) {
	case PD_LAYER_BASE:
		return "base";
	case PD_LAYER_TRANSPORT:
		return "transport";
	case PD_LAYER_PROTOCOL:
		return "protocol";
	case PD_LAYER_COORDINATION:
		return "coordination";
	case PD_LAYER_STATE:
		return "state";
	}
	return "unlisted";
}

enum pd_code pd_error_set(struct pd_error *err, enum pd_layer layer, enum pd_code code,
			  const char *format, ...)
{
	va_list args;

	if (!err)
		return code;
	err->code = code;
	err->layer = layer;
	va_start(args, format);
	vsnprintf(err->text, sizeof(err->text), format, args);
	va_end(args);
	return code;
}

enum pd_code pd_error_wrap(struct pd_error *err, enum pd_layer layer, enum pd_code code,
			   const char *context)
{
	char cause[PD_ERROR_TEXT_MAX_BYTES];

	if (!err)
		return code;
	memcpy(cause, err->text, sizeof(cause));
	cause[sizeof(cause) - 1] = '\0';
	return pd_error_set(err, layer, code, "%.120s: %.130s", context, cause);
}
