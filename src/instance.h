/**
 * DOC: An entry instance with all its modules
 *
 * Order of calls: pd_instance_open(), pd_instance_start(), pd_instance_stop(),
 * pd_instance_finish(). pd_instance_finish() may be called after any of the others, also after a
 * failed open.
 */
#ifndef PD_INSTANCE_H
#define PD_INSTANCE_H

#include "caller_api.h"
#include "config_sync.h"
#include "settings.h"

/**
 * struct pd_instance_settings - contents of the settings file of peridot-entry
 * @name: name of this instance; unique in the fleet
 * @zone: availability zone of this instance
 * @http_listen: listening address for callers and operators
 * @http_connections: maximum number of concurrent caller connections
 * @peer_listen: listening address for peers
 * @peer_advertise: address that peers connect to; if its port is 0, @peer_listen is used
 * @platform: address of the platform's API
 * @seeds: addresses of peers to connect to, so that the instance finds the other members even if
 *	the platform is unavailable
 * @routes: addresses that override the advertised addresses of the named peers
 * @lame_duck_ms: how long the instance keeps accepting requests after SIGTERM while it reports that
 *	it isn't ready, in milliseconds
 * @drain_ms: maximum time for in-flight requests to finish after that, in milliseconds
 * @log_level: syslog severity of the least severe messages to log, 3 (error) to 7 (debug)
 */
struct pd_instance_settings {
	struct pd_name name;
	struct pd_name zone;
	struct pd_address http_listen;
	int64_t http_connections;
	struct pd_address peer_listen;
	struct pd_address peer_advertise;
	struct pd_address platform;
	struct pd_address_list seeds;
	struct pd_route_list routes;
	int64_t lame_duck_ms;
	int64_t drain_ms;
	int64_t log_level;
};

void pd_instance_settings_init(struct pd_instance_settings *settings);
/* Loads the settings file @path; parameters and errors as for pd_settings_load(). */
enum pd_code pd_instance_settings_load(struct pd_instance_settings *settings, const char *path,
				       struct pd_buf *errors, struct pd_error *err);

/**
 * struct pd_instance - a running entry instance
 * @http_address: address on which the instance accepts callers; all other members are private to
 *	instance.c and peer_api.c
 */
struct pd_instance {
	struct pd_instance_settings settings;
	struct pd_member_record self;
	struct pd_config_holder config;
	bool config_open; /* whether config was initialised */
	struct pd_index_table index;
	struct pd_members *members;
	struct pd_suspects *suspects;
	struct pd_upstreams *upstreams;
	struct pd_peers_setup peers_setup; /* must stay valid until pd_peers_start() has read it */
	struct pd_peers *peers;
	struct pd_router *router;
	struct pd_ledger *ledger;
	struct pd_config_sync *config_sync;
	struct pd_dispatch dispatch;
	struct pd_coordinator coordinator;
	struct pd_caller_api *api;
	struct pd_address http_address;
	pthread_t ticker;
	bool ticker_started;
	int stopping; /* the ticker thread is to end; atomic */
	int draining; /* pd_instance_stop() was called; atomic */
};

enum pd_code pd_instance_open(struct pd_instance *instance,
			      const struct pd_instance_settings *settings, struct pd_error *err);
enum pd_code pd_instance_start(struct pd_instance *instance, struct pd_error *err);
/* Shuts down gracefully: keeps serving for lame_duck_ms, then waits up to drain_ms for the
 * in-flight requests. */
void pd_instance_stop(struct pd_instance *instance);
void pd_instance_finish(struct pd_instance *instance);

#endif
