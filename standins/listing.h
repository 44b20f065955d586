/**
 * DOC: Instance list of the stand-in platform
 *
 * The list is printed as it was some time ago, because the real platform's list lags behind the
 * state of the instances. The caller passes the current time. Not thread-safe.
 */
#ifndef STANDIN_LISTING_H
#define STANDIN_LISTING_H

#include "os.h"
#include "str.h"

enum standin_instance_state {
	STANDIN_INSTANCE_LIVE,
	STANDIN_INSTANCE_LEAVING,
	STANDIN_INSTANCE_GONE,
};

/**
 * struct standin_instance - state of one instance from @changed_us on
 * @name: name of the instance
 * @is_upstream: the instance is an upstream; otherwise it is an entry instance
 * @address: address at which the instance accepts connections
 * @state: state of the instance; instances that are gone aren't listed
 * @changed_us: monotonic time at which the platform recorded this state, in microseconds
 */
struct standin_instance {
	struct pd_name name;
	bool is_upstream;
	struct pd_address address;
	enum standin_instance_state state;
	int64_t changed_us;
};

/**
 * struct standin_listing - history of the instance list; zero-initialised when empty
 * @changes: state changes of instances, oldest first
 * @count: number of entries used in @changes
 * @cap: number of entries allocated in @changes
 */
struct standin_listing {
	struct standin_instance *changes;
	size_t count;
	size_t cap;
};

void standin_listing_finish(struct standin_listing *listing);
/* Appends a state change; returns false if out of memory. */
bool standin_listing_set(struct standin_listing *listing, const struct standin_instance *change);
/* Appends the list as it was at @now_us - @lag_us to @out, as `{"instances":[...]}`. */
void standin_listing_print(const struct standin_listing *listing, int64_t now_us, int64_t lag_us,
			   struct pd_buf *out);

#endif
