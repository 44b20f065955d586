/**
 * DOC: Revisions of the platform's store
 *
 * The store's revision increases with every change, until the store is restored from a copy: then
 * an earlier revision is given out again, in another era. Whatever is learned from the store,
 * directly or from another instance, is only as recent as the revision that it was read at.
 */
#ifndef PD_REVISION_H
#define PD_REVISION_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct pd_revision - a point in the store's history
 * @era: number of the history, see &pd_store.era; 0 if the store states none
 * @number: revision in that history; 0 if unknown
 */
struct pd_revision {
	uint64_t era;
	uint64_t number;
};

/* Whether @a was reached before @b. An unknown revision is before all others. */
static inline bool pd_revision_is_before(struct pd_revision a, struct pd_revision b)
{
	if (!a.number || !b.number)
		return a.number < b.number;
	return a.era != b.era ? a.era < b.era : a.number < b.number;
}

static inline bool pd_revision_is_known(struct pd_revision revision)
{
	return revision.number > 0;
}

#endif
