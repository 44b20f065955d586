/**
 * DOC: Keeps the configuration, the member table and the index versions up to date
 *
 * The two watchers of a zone read the platform's watches and forward new entries to their peers;
 * all others learn from peers. One thread registers this instance and deletes the records of dead
 * ones, one thread for each watched prefix reads its watch.
 */
#ifndef PD_CONFIG_SYNC_H
#define PD_CONFIG_SYNC_H

#include "link.h"
#include "query.h"

/* A watch call ends after 1.5 s, and after 2.5 s in all when its connection is silent, within the 3
 * s target. */
#define PD_WATCH_WAIT_US (1500 * PD_USEC_PER_MSEC)

struct pd_config_sync;

/**
 * struct pd_config_sync_setup - borrowed parts and callbacks
 * @platform: address of the platform
 * @self: record of this instance to register
 * @config: advanced as entries come in
 * @members: learns records
 * @index: learns snapshots
 * @on_config_changed: a new configuration is in force
 * @broadcast: sends to all connected peers, or to those of the own zone
 * @on_upstream_leaving: the platform's list says that an upstream leaves, or is live
 * @arg: passed to the callbacks
 */
struct pd_config_sync_setup {
	struct pd_address platform;
	struct pd_member_record self;
	struct pd_config_holder *config;
	struct pd_members *members;
	struct pd_index_table *index;
	void (*on_config_changed)(void *arg);
	void (*broadcast)(void *arg, const struct pd_message *msg, bool own_zone);
	void (*on_upstream_leaving)(void *arg, struct pd_str upstream, bool leaving);
	void *arg;
};

enum pd_code pd_config_sync_open(struct pd_config_sync **sync,
				 const struct pd_config_sync_setup *setup, struct pd_error *err);
enum pd_code pd_config_sync_start(struct pd_config_sync *sync, struct pd_error *err);
/* Ends the threads and deletes this instance's member record, within @timeout_us. */
void pd_config_sync_stop(struct pd_config_sync *sync, int64_t timeout_us);
void pd_config_sync_close(struct pd_config_sync *sync);

/* True once a configuration came from the platform or a peer. */
bool pd_config_sync_loaded(struct pd_config_sync *sync);
/* True when the last call to the platform succeeded. */
bool pd_config_sync_platform_reachable(struct pd_config_sync *sync);

/* Messages from peers; each runs in a link's reader thread. */
void pd_config_sync_handle_peer_version(struct pd_config_sync *sync, struct pd_link *link,
					uint64_t version);
/* Tells a peer the index versions: one that starts during an outage of the platform has none. */
void pd_config_sync_send_index(struct pd_config_sync *sync, struct pd_link *link);
void pd_config_sync_handle_message(struct pd_config_sync *sync, struct pd_link *link,
				   const struct pd_message *msg);

#endif
