/**
 * DOC: One entry instance: all parts wired together
 *
 * Order of use: pd_instance_open(), pd_instance_start(), pd_instance_stop(), pd_instance_finish().
 * Finish is safe after any of them, also after a failed open.
 */
#ifndef PD_INSTANCE_H
#define PD_INSTANCE_H

#include "caller_api.h"
#include "config_sync.h"
#include "settings.h"

/**
 * struct pd_instance_settings - the settings file of peridot-entry
 * @name: of this instance; unique in the fleet
 * @zone: its availability zone
 * @http_listen: for callers and operators
 * @http_connections: most caller connections at a time
 * @peer_listen: for peers
 * @peer_advertise: address that peers connect to; port 0: the listening address
 * @platform: address of the platform's API
 * @seeds: peers to ask when the platform is away
 * @routes: other addresses to use for named peers
 * @lame_duck_ms: how long an instance serves on after SIGTERM, in milliseconds
 * @drain_ms: most time for requests to end after that, in milliseconds
 * @log_level: 3 to 7, as syslog
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
/* As pd_settings_load(). */
enum pd_code pd_instance_settings_load(struct pd_instance_settings *settings, const char *path,
				       struct pd_buf *faults, struct pd_error *err);

/**
 * struct pd_instance - a running entry instance; members are private to instance.c
 */
struct pd_instance {
	struct pd_instance_settings settings;
	struct pd_member_record self;
	struct pd_config_holder config;
	bool config_open;
	struct pd_index_table index;
	struct pd_members *members;
	struct pd_suspects *suspects;
	struct pd_upstreams *upstreams;
	struct pd_peers_setup peers_setup; /* read by pd_peers_start() */
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
	int stopping; /* Concurrency Kit atomic */
	int draining; /* Concurrency Kit atomic */
};

enum pd_code pd_instance_open(struct pd_instance *instance,
			      const struct pd_instance_settings *settings, struct pd_error *err);
enum pd_code pd_instance_start(struct pd_instance *instance, struct pd_error *err);
/* Graceful shutdown; returns when no request is left, or the drain time is over. */
void pd_instance_stop(struct pd_instance *instance);
void pd_instance_finish(struct pd_instance *instance);

#endif
