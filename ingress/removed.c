#include "removed.h"

#include <stdlib.h>

#include "log.h"
#include "os.h"

/* Time for which an entry is kept. It exceeds the age of a copy from which the store is restored,
 * and the expiry of the entries that it restores. */
#define KEEP_US (60 * PD_USEC_PER_SEC)
/* The same for an upstream that has stated that it is leaving: it may go on running, and register
 * again, for longer than its entry is missing.
 */
#define KEEP_LEAVING_US (600 * PD_USEC_PER_SEC)

bool pd_upstream_entry_is_older(const struct pd_upstream_entry *entry, int64_t started_unix_ms,
				uint64_t sequence)
{
	if (!entry->sequence || !sequence)
		return false;
	if (entry->started_unix_ms != started_unix_ms)
		return entry->started_unix_ms < started_unix_ms;
	return entry->sequence < sequence;
}

static void forget(struct pd_removed_upstream **table, struct pd_removed_upstream *removed)
{
	/* False positive of the analyzer: it assumes that HASH_DEL() frees the table although the
	 * table still holds other elements. */
	HASH_DEL(*table, removed); /* NOLINT(clang-analyzer-*) */
	free(removed);
}

void pd_removed_add(struct pd_removed_upstream **table, const struct pd_upstream *upstream,
		    struct pd_revision at)
{
	struct pd_removed_upstream *removed;
	int64_t now = pd_os_boot_us();

	HASH_FIND(hh, *table, upstream->id.text, upstream->id.len, removed);
	if (removed)
		forget(table, removed);
	removed = calloc(1, sizeof(*removed));
	if (!removed) {
		pd_log(PD_LOG_ERROR, "removal_not_kept", "upstream=%s reason=no_memory",
		       upstream->id.text);
		return;
	}
	removed->id = upstream->id;
	removed->started_unix_ms = upstream->started_unix_ms;
	removed->sequence = upstream->sequence;
	removed->removed_at = at;
	removed->address = upstream->address;
	removed->terms = upstream->terms;
	removed->removed_us = now;
	removed->keep_until_us = now + (upstream->terms.leaving ? KEEP_LEAVING_US : KEEP_US);
	if (removed->keep_until_us < upstream->terms.paused_until_us)
		removed->keep_until_us = upstream->terms.paused_until_us;
	HASH_ADD_KEYPTR(hh, *table, removed->id.text, removed->id.len, removed);
}

bool pd_removed_has(const struct pd_removed_upstream *table, const struct pd_upstream_entry *entry,
		    int64_t now_us)
{
	const struct pd_removed_upstream *removed;

	HASH_FIND(hh, table, entry->id.text, entry->id.len, removed);
	if (!removed || now_us - removed->removed_us > KEEP_US)
		return false;
	if (pd_revision_is_known(entry->revision) && pd_revision_is_known(removed->removed_at) &&
	    entry->revision.era <= removed->removed_at.era)
		return !pd_revision_is_before(removed->removed_at, entry->revision);
	return removed->sequence &&
	       pd_upstream_entry_is_older(entry, removed->started_unix_ms, removed->sequence + 1);
}

void pd_removed_restore_terms(const struct pd_removed_upstream *table,
			      const struct pd_upstream_entry *entry, struct pd_terms *terms)
{
	const struct pd_removed_upstream *removed;

	HASH_FIND(hh, table, entry->id.text, entry->id.len, removed);
	if (removed && removed->started_unix_ms == entry->started_unix_ms &&
	    removed->address.sin_addr.s_addr == entry->address.in.sin_addr.s_addr &&
	    removed->address.sin_port == entry->address.in.sin_port)
		*terms = removed->terms;
}

void pd_removed_expire(struct pd_removed_upstream **table, int64_t now_us)
{
	struct pd_removed_upstream *removed, *next;

	HASH_ITER(hh, *table, removed, next)
	{
		if (now_us > removed->keep_until_us)
			forget(table, removed);
	}
}

void pd_removed_finish(struct pd_removed_upstream **table)
{
	struct pd_removed_upstream *removed = *table, *next;

	/* HASH_CLEAR() frees only the table; its elements stay linked. */
	HASH_CLEAR(hh, *table);
	for (; removed; removed = next) {
		next = removed->hh.next;
		free(removed);
	}
}
