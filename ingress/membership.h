/**
 * DOC: Membership: chooses the source from which this instance receives the platform's changes
 *
 * Every instance registers itself in the store. The instances of a zone are ranked by a hash of
 * their names. An instance follows the highest-ranked reachable instance that ranks above itself,
 * and receives the changes from it; the highest-ranked one watches the store. So the number of
 * calls to the store grows with the number of zones, not with the number of instances.
 *
 * An instance watches the store itself if it reaches no instance that ranks above itself, if its
 * source stops sending, or if its source can't reach the store while the instance itself can.
 */
#ifndef PD_MEMBERSHIP_H
#define PD_MEMBERSHIP_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "cluster.h"
#include "directory.h"
#include "objects.h"
#include "store_client.h"
#include "sync.h"

#define PD_MEMBERSHIP_SOURCES_MAX 128 /* possible sources that are kept */
#define PD_MEMBERSHIP_RELAYS_MAX  16 /* larger instances of the zone that are used as relays */

/**
 * struct pd_source - an instance of the same zone that this one could follow
 * @entry: entry under which the instance is registered
 * @next_retry_us: earliest time of the next attempt to connect, in microseconds of pd_os_boot_us()
 * @unreached: the last attempt to connect failed
 */
struct pd_source {
	struct pd_instance_entry entry;
	int64_t next_retry_us;
	bool unreached;
};

/**
 * struct pd_membership - the other instances, and the state of following one of them
 * @directory: directory to which changes are applied
 * @sync: updates @directory from the store while this instance follows none
 * @cluster: is told which instances there are and which one this instance follows; NULL if there
 *	is none
 * @self: entry under which this instance registers itself
 * @store: connection to the store, for the list of instances
 * @thread: thread that runs all of the membership's work
 * @sources: instances of the same zone that rank above this one, from the highest rank down
 * @source_count: number of entries in @sources
 * @relays: larger instances of the same zone, to which requests may be relayed
 * @relay_count: number of entries in @relays
 * @registered: the store lists this instance with its current peer address
 * @registered_era: number of the store's history in which @registered was established
 * @entry_outdated: the store lists this instance with another peer address, which must be replaced
 * @started_us: time at which @thread started, in microseconds of pd_os_boot_us()
 * @unreachable_since_us: time since which this instance's own calls to the store fail, in
 *	microseconds of pd_os_boot_us(); 0 while they succeed or the source reaches the store
 * @checked_us: time of the last check of the store, or time until which a source was followed, in
 *	microseconds of pd_os_boot_us()
 * @sources_retried: the sources were tried again since the last check that failed
 * @last_contact_us: last time at which the store was reachable from this instance or from its
 *	source, in microseconds of pd_os_boot_us()
 * @contact_since_us: time since which it has been reachable without an outage in which entries may
 *	expire, in microseconds of pd_os_boot_us(); 0 before the first contact, and from a failed
 *	call during a hold of removals until the next contact
 * @may_have_expired: entries of running upstreams may have expired in an outage that this instance
 *	was part of, and the time for them to be registered again isn't over yet
 */
struct pd_membership {
	struct pd_directory *directory;
	struct pd_sync *sync;
	struct pd_cluster *cluster;
	struct pd_instance_entry self;
	struct pd_store store;
	pthread_t thread;
	struct pd_source sources[PD_MEMBERSHIP_SOURCES_MAX];
	size_t source_count;
	struct pd_instance_entry relays[PD_MEMBERSHIP_RELAYS_MAX];
	size_t relay_count;
	bool registered;
	uint64_t registered_era;
	bool entry_outdated;
	int64_t started_us;
	int64_t unreachable_since_us;
	int64_t checked_us;
	bool sources_retried;
	int64_t last_contact_us;
	int64_t contact_since_us;
	bool may_have_expired;
};

void pd_membership_init(struct pd_membership *membership, struct pd_directory *directory,
			struct pd_sync *sync, const struct pd_instance_entry *self);
enum pd_code pd_membership_start(struct pd_membership *membership, struct pd_error *err);

/* Adds an instance to the sources if it belongs to the same zone and ranks above this one; if the
 * list is full, the lowest-ranked instance is left out. @previous is the same source in the list
 * before, NULL if it wasn't there.
 */
void pd_membership_add_source(struct pd_membership *membership,
			      const struct pd_instance_entry *entry,
			      const struct pd_source *previous);
/* Adds an instance to the relays if it belongs to the same zone and is sufficiently larger. If
 * there are more than are used, each instance uses others, so that all of them get requests.
 */
void pd_membership_add_relay(struct pd_membership *membership,
			     const struct pd_instance_entry *entry);
/* Returns the time from the moment at which an instance learns that its source has lost the store
 * until it checks first whether it reaches the store itself, in microseconds. @rank is the number
 * of instances of the zone that rank above it and may be running.
 */
int64_t pd_membership_first_check_delay_us(size_t rank);
/* Returns the time for which an instance waits that reaches the store by a later check, before it
 * watches the store or follows another source, in microseconds.
 */
int64_t pd_membership_takeover_delay_us(size_t rank);
/* True if @a ranks above @b: an instance follows the highest-ranked one that it reaches. */
bool pd_membership_ranks_before(const struct pd_name *a, const struct pd_name *b);

#endif
