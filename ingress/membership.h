/**
 * DOC: Which instance hears the platform's changes from whom
 *
 * Every instance registers itself in the store. Within a zone, the instances are ranked by their
 * names; an instance follows the first one before it that it reaches, and hears the changes from
 * there. The first one watches the store. So the number of calls to the store grows with the number
 * of zones, not of instances.
 *
 * An instance watches the store itself when it reaches none before it, when its source falls
 * silent, and when its source has lost the store while it reaches the store itself.
 */
#ifndef PD_MEMBERSHIP_H
#define PD_MEMBERSHIP_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "directory.h"
#include "objects.h"
#include "store_client.h"
#include "sync.h"

#define PD_MEMBERSHIP_SOURCES_MAX 128 /* instances of the own zone that are kept */
#define PD_MEMBERSHIP_RELAYS_MAX  16 /* larger instances of the own zone that are used */

/**
 * struct pd_source - an instance of the own zone that could be followed
 * @entry: what it says of itself
 * @retry_us: it isn't tried before that time
 */
struct pd_source {
	struct pd_instance_entry entry;
	int64_t retry_us;
};

/**
 * struct pd_membership - membership
 * @directory: where changes go
 * @sync: hears them in the store
 * @self: what this instance says of itself
 * @store: connection for the list of instances
 * @thread: its thread
 * @sources: instances of the own zone that rank before this one, in order
 * @source_count: number of @sources
 * @relays: instances of the own zone to which requests may be passed on
 * @relay_count: number of @relays
 * @registered: the store lists this instance as it is
 * @entry_outdated: the store lists it with another address
 * @started_us: start of the task
 * @unreachable_since_us: since when this instance itself fails to reach the store; 0 while it
 * doesn't
 * @last_contact_us: when the store was last known to be in reach of this instance or of its source
 * @may_have_expired: entries may have lapsed in a loss, and weren't waited for yet
 * @removals_held_until_us: when entries that lapsed are to be back; 0 when none are waited for
 */
struct pd_membership {
	struct pd_directory *directory;
	struct pd_sync *sync;
	struct pd_instance_entry self;
	struct pd_store store;
	pthread_t thread;
	struct pd_source sources[PD_MEMBERSHIP_SOURCES_MAX];
	size_t source_count;
	struct pd_instance_entry relays[PD_MEMBERSHIP_RELAYS_MAX];
	size_t relay_count;
	bool registered;
	bool entry_outdated;
	int64_t started_us;
	int64_t unreachable_since_us;
	int64_t last_contact_us;
	bool may_have_expired;
	int64_t removals_held_until_us;
};

void pd_membership_init(struct pd_membership *membership, struct pd_directory *directory,
			struct pd_sync *sync, const struct pd_instance_entry *self);
enum pd_code pd_membership_start(struct pd_membership *membership, struct pd_error *err);

/* True when @a is ranked before @b: followers go to the instance that ranks first. */
bool pd_membership_ranks_before(const struct pd_name *a, const struct pd_name *b);

#endif
