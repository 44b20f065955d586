#include "query.h"

#include <string.h>

void pd_index_table_init(struct pd_index_table *table)
{
	memset(table, 0, sizeof(*table));
	pthread_mutex_init(&table->mutex, NULL);
}

void pd_index_table_finish(struct pd_index_table *table)
{
	pthread_mutex_destroy(&table->mutex);
}

static struct pd_index_entry *find_locked(struct pd_index_table *table, struct pd_str collection)
{
	for (uint32_t i = 0; i < table->count; i++) {
		if (pd_str_equal(pd_name_str(&table->entries[i].collection), collection))
			return &table->entries[i];
	}
	return NULL;
}

static bool learn_locked(struct pd_index_table *table, const struct pd_index_entry *entry)
{
	struct pd_index_entry *known = find_locked(table, pd_name_str(&entry->collection));

	if (known && known->snapshot >= entry->snapshot)
		return false;
	if (!known && table->count == PD_INDEX_MAX)
		return false;
	if (!known)
		known = &table->entries[table->count++];
	*known = *entry;
	return true;
}

bool pd_index_table_update(struct pd_index_table *table, struct pd_str collection,
			   uint64_t snapshot, uint32_t buckets)
{
	struct pd_index_entry entry = {.snapshot = snapshot, .buckets = buckets};
	bool newer;

	if (!pd_name_set(&entry.collection, collection) || !buckets || buckets > PD_BUCKET_MAX)
		return false;
	pthread_mutex_lock(&table->mutex);
	newer = learn_locked(table, &entry);
	pthread_mutex_unlock(&table->mutex);
	return newer;
}

bool pd_index_table_find(struct pd_index_table *table, struct pd_str collection,
			 struct pd_index_entry *entry)
{
	struct pd_index_entry *known;

	pthread_mutex_lock(&table->mutex);
	known = find_locked(table, collection);
	if (known)
		*entry = *known;
	pthread_mutex_unlock(&table->mutex);
	return known != NULL;
}

uint64_t pd_index_entry_pin(const struct pd_index_entry *entry, int64_t now_us)
{
	return now_us < entry->fallback_until_us ? entry->fallback_snapshot : entry->snapshot;
}

void pd_index_table_set_fallback(struct pd_index_table *table, struct pd_str collection,
				 uint64_t published, uint64_t held, bool tried, int64_t now_us)
{
	struct pd_index_entry *known;

	pthread_mutex_lock(&table->mutex);
	known = find_locked(table, collection);
	if (known && known->snapshot == published && (tried || now_us < known->fallback_until_us)) {
		known->fallback_snapshot = held;
		if (tried)
			known->fallback_until_us = now_us + PD_INDEX_FALLBACK_US;
	}
	pthread_mutex_unlock(&table->mutex);
}

bool pd_index_table_at(struct pd_index_table *table, uint32_t i, struct pd_index_entry *entry)
{
	bool found;

	pthread_mutex_lock(&table->mutex);
	found = i < table->count;
	if (found)
		*entry = table->entries[i];
	pthread_mutex_unlock(&table->mutex);
	return found;
}
