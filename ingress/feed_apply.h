/**
 * DOC: Applies the messages of a source to the directory of its follower
 *
 * Whatever order the source, the store and this instance's own lists come in, the directory decides
 * by the revisions in the messages; no message is taken for newer because it came later.
 */
#ifndef PD_FEED_APPLY_H
#define PD_FEED_APPLY_H

#include <stdint.h>

#include "directory.h"
#include "feed_message.h"

/**
 * struct pd_feed_lists - lists of upstreams that a source has sent
 * @open: number of lists that have begun and not ended; a source may log two at the same time,
 *	which then count as one
 * @list: number of the open list that began first, see pd_directory_list_begin()
 * @at: revision at which it was read
 * @ended: number of the last list that has ended; 0 if none has
 */
struct pd_feed_lists {
	uint32_t open;
	uint64_t list;
	struct pd_revision at;
	uint64_t ended;
};

/* Applies a message about upstreams, evacuations or crashes; ignores messages of other kinds. */
void pd_feed_apply(struct pd_directory *directory, struct pd_feed_lists *lists,
		   const struct pd_feed_message *msg);
/* Must be called when the source sends no further messages. */
void pd_feed_apply_end(struct pd_directory *directory, struct pd_feed_lists *lists);

#endif
