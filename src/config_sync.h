/**
 * DOC: Keeps the configuration, the member table and the index versions up to date
 *
 * Two instances of each zone, its watchers, watch the platform for changes and forward them to
 * their peers. All other instances receive the changes from peers. One thread registers this
 * instance and deletes the records of dead instances; one more thread for each watched prefix reads
 * the events of its watch.
 */
#ifndef PD_CONFIG_SYNC_H
#define PD_CONFIG_SYNC_H

#include "link.h"
#include "query.h"

/* Time after which the platform answers a watch call without events. A call over a half-open
 * connection times out PD_PLATFORM_CALL_TIMEOUT_US (1 s) later, after 2.5 s in total, which is
 * within the target of 3 s. */
#define PD_WATCH_WAIT_US (1500 * PD_USEC_PER_MSEC)

struct pd_config_sync;

/**
 * struct pd_config_sync_setup - parameters of pd_config_sync_open(); pointers are not owned
 * @platform: address of the platform
 * @self: member record of this instance, to be registered with the platform
 * @config: holder that is updated when entries arrive
 * @members: member table that is updated when member records arrive
 * @index: table of index versions that is updated when snapshots are announced
 * @on_config_changed: called after a new configuration became current
 * @broadcast: sends a message to all connected peers, or only to those of this instance's zone
 * @on_upstream_leaving: called with the state (leaving or live) of each upstream on the platform's
 *	list of instances
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
/* Ends the threads and deletes the member record of this instance; stops trying to delete it after
 * @timeout_us. */
void pd_config_sync_stop(struct pd_config_sync *sync, int64_t timeout_us);
void pd_config_sync_close(struct pd_config_sync *sync);

/* Returns true once a configuration was received from the platform or a peer. */
bool pd_config_sync_loaded(struct pd_config_sync *sync);
/* Returns true if the last call reached the platform; a reply with a 5xx status counts as not
 * reached. */
bool pd_config_sync_platform_reachable(struct pd_config_sync *sync);

/*
 * The functions below are called in the reader thread of a link to a peer.
 */

/* Requests the missing entries over @link if the @version of the peer's configuration is higher
 * than that of this instance's; sends at most one request every 100 ms. */
void pd_config_sync_handle_peer_config_version(struct pd_config_sync *sync, struct pd_link *link,
					       uint64_t version);
/* Sends the index versions to a peer, which has none if it started during an outage of the
 * platform. */
void pd_config_sync_send_index(struct pd_config_sync *sync, struct pd_link *link);
/* Handles a message about the configuration or the index versions; ignores all others. */
void pd_config_sync_handle_message(struct pd_config_sync *sync, struct pd_link *link,
				   const struct pd_message *msg);

#endif
