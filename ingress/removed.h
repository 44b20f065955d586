/**
 * DOC: Upstreams that were removed lately
 *
 * Keeps the last entries of upstreams that were removed, so that an older entry, which a restored
 * store or a stale list may contain, doesn't add the upstream again, and what the upstreams had
 * stated, so that an entry that is written again doesn't undo it. The registry's lock guards the
 * table.
 */
#ifndef PD_REMOVED_H
#define PD_REMOVED_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#include "registry.h"

/**
 * struct pd_removed_upstream - the last entry of an upstream that was removed
 * @id: name of the entry; key of the hash table
 * @started_unix_ms: Unix time of the upstream's start in milliseconds
 * @sequence: sequence number of the entry
 * @removed_at: revision of the store that lacks the entry; unknown if none is stated
 * @address: address of the upstream
 * @removed_us: time at which the upstream was removed
 * @keep_until_us: time at which the upstream is forgotten
 * @terms: what the upstream had stated about further requests
 */
struct pd_removed_upstream {
	struct pd_name id;
	int64_t started_unix_ms;
	uint64_t sequence;
	struct pd_revision removed_at;
	struct sockaddr_in address;
	int64_t removed_us;
	int64_t keep_until_us;
	struct pd_terms terms;
	UT_hash_handle hh;
};

/* Whether an entry was written before the one with @started_unix_ms and @sequence. Entries without
 * these numbers can't be compared. */
bool pd_upstream_entry_is_older(const struct pd_upstream_entry *entry, int64_t started_unix_ms,
				uint64_t sequence);
/* Adds an upstream that is removed, since the store lacks its entry at revision @at. */
void pd_removed_add(struct pd_removed_upstream **table, const struct pd_upstream *upstream,
		    struct pd_revision at);
/* Whether an entry was written before its upstream was removed lately. Revisions of one era tell
 * that exactly; otherwise, the entry must be newer than the last one of the upstream. */
bool pd_removed_has(const struct pd_removed_upstream *table, const struct pd_upstream_entry *entry,
		    int64_t now_us);
/* Sets @terms to what the upstream had stated before it was removed, if @entry belongs to the same
 * start of it; leaves it unchanged otherwise. */
void pd_removed_restore_terms(const struct pd_removed_upstream *table,
			      const struct pd_upstream_entry *entry, struct pd_terms *terms);
/* Forgets the upstreams that were removed long before @now_us. */
void pd_removed_expire(struct pd_removed_upstream **table, int64_t now_us);
void pd_removed_finish(struct pd_removed_upstream **table);

#endif
