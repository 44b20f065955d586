/**
 * DOC: The platform's instance list, which lags
 *
 * Time is a parameter. Not thread-safe.
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
 * struct standin_instance - one instance at one time
 * @name: of the instance
 * @is_upstream: role; otherwise an entry instance
 * @address: where it serves
 * @state: gone ones aren't listed
 * @changed_us: when the platform learned of it
 */
struct standin_instance {
	struct pd_name name;
	bool is_upstream;
	struct pd_address address;
	enum standin_instance_state state;
	int64_t changed_us;
};

/**
 * struct standin_listing - all changes in order; all zero is the empty list
 * @changes: in order of time
 * @count: changes in use
 * @cap: changes allocated
 */
struct standin_listing {
	struct standin_instance *changes;
	size_t count;
	size_t cap;
};

void standin_listing_finish(struct standin_listing *listing);
/* Records a change; false without memory. */
bool standin_listing_set(struct standin_listing *listing, const struct standin_instance *change);
/* Appends `{"instances":[...]}` as it was at @now_us - @lag_us. */
void standin_listing_print(const struct standin_listing *listing, int64_t now_us, int64_t lag_us,
			   struct pd_buf *out);

#endif
