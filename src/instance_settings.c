#include <string.h>

#include "instance.h"

#define SETTING(key, type, member, min_value, max_value, is_required, accepted)                    \
	{                                                                                          \
		key, type, offsetof(struct pd_instance_settings, member), min_value, max_value,    \
			is_required, accepted                                                      \
	}

static const struct pd_setting schema[] = {
	SETTING("name", PD_SETTING_NAME, name, 0, 0, true,
		"1 to 63 of letters, digits, dot, underscore, hyphen"),
	SETTING("zone", PD_SETTING_NAME, zone, 0, 0, true,
		"1 to 63 of letters, digits, dot, underscore, hyphen"),
	SETTING("http.listen", PD_SETTING_ADDRESS, http_listen, 0, 0, true, "\"IP:PORT\""),
	SETTING("http.connections", PD_SETTING_INTEGER, http_connections, 1, 100000, false,
		"an integer from 1 to 100000"),
	SETTING("peer.listen", PD_SETTING_ADDRESS, peer_listen, 0, 0, true, "\"IP:PORT\""),
	SETTING("peer.advertise", PD_SETTING_ADDRESS, peer_advertise, 0, 0, false, "\"IP:PORT\""),
	SETTING("peer.seeds", PD_SETTING_ADDRESS_LIST, seeds, 0, 0, false,
		"a list of at most 64 \"IP:PORT\""),
	SETTING("peer.routes", PD_SETTING_ROUTE_LIST, routes, 0, 0, false,
		"a list of at most 64 \"NAME=IP:PORT\""),
	SETTING("platform.address", PD_SETTING_ADDRESS, platform, 0, 0, true, "\"IP:PORT\""),
	SETTING("shutdown.lame_duck_ms", PD_SETTING_INTEGER, lame_duck_ms, 0, 600000, false,
		"milliseconds, an integer from 0 to 600000"),
	SETTING("shutdown.drain_ms", PD_SETTING_INTEGER, drain_ms, 0, 600000, false,
		"milliseconds, an integer from 0 to 600000"),
	SETTING("log.level", PD_SETTING_INTEGER, log_level, 3, 7, false,
		"a syslog priority, an integer from 3 (errors) to 7 (debug)"),
};

void pd_instance_settings_init(struct pd_instance_settings *settings)
{
	memset(settings, 0, sizeof(*settings));
	settings->http_connections = 1000;
	settings->lame_duck_ms = 3000;
	settings->drain_ms = 10000;
	settings->log_level = 6;
}

enum pd_code pd_instance_settings_load(struct pd_instance_settings *settings, const char *path,
				       struct pd_buf *errors, struct pd_error *err)
{
	return pd_settings_load(path, schema, sizeof(schema) / sizeof(schema[0]), settings, errors,
				err);
}
