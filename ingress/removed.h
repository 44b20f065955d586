/**
 * DOC: Upstreams that were removed lately
 *
 * Keeps the last entries of upstreams that were removed, so that an older entry, which a restored
 * store or a stale list may contain, doesn't add the upstream again. The registry's lock guards
 * the table.
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
 * @removed_us: time at which the upstream was removed
 */
struct pd_removed_upstream {
	struct pd_name id;
	int64_t started_unix_ms;
	uint64_t sequence;
	int64_t removed_us;
	UT_hash_handle hh;
};

/* Whether an entry was written before the one with @started_unix_ms and @sequence. Entries without
 * these numbers can't be compared. */
bool pd_upstream_entry_is_older(const struct pd_upstream_entry *entry, int64_t started_unix_ms,
				uint64_t sequence);
/* Adds the entry of an upstream that is removed, if it can be compared with others. */
void pd_removed_add(struct pd_removed_upstream **table, const struct pd_upstream *upstream);
/* Whether an entry isn't newer than the last one of an upstream that was removed. */
bool pd_removed_has(const struct pd_removed_upstream *table, const struct pd_upstream_entry *entry);
/* Forgets the upstreams that were removed long before @now_us. */
void pd_removed_expire(struct pd_removed_upstream **table, int64_t now_us);
void pd_removed_finish(struct pd_removed_upstream **table);

#endif
