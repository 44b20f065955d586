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

static bool update_locked(struct pd_index_table *table, const struct pd_index_entry *entry)
{
	struct pd_index_entry *current = find_locked(table, pd_name_str(&entry->collection));

	if (current && current->snapshot >= entry->snapshot)
		return false;
	if (!current && table->count == PD_INDEX_MAX)
		return false;
	if (!current)
		current = &table->entries[table->count++];
	*current = *entry;
	return true;
}

bool pd_index_table_update(struct pd_index_table *table, struct pd_str collection,
			   uint64_t snapshot, uint32_t buckets)
{
	struct pd_index_entry entry = {.snapshot = snapshot, .buckets = buckets};
	bool updated;

	if (!pd_name_set(&entry.collection, collection) || !buckets || buckets > PD_BUCKET_MAX)
		return false;
	pthread_mutex_lock(&table->mutex);
	updated = update_locked(table, &entry);
	pthread_mutex_unlock(&table->mutex);
	return updated;
}

bool pd_index_table_find(struct pd_index_table *table, struct pd_str collection,
			 struct pd_index_entry *entry)
{
	struct pd_index_entry *current;

	pthread_mutex_lock(&table->mutex);
	current = find_locked(table, collection);
	if (current)
		*entry = *current;
	pthread_mutex_unlock(&table->mutex);
	return current != NULL;
}

uint64_t pd_index_entry_pin(const struct pd_index_entry *entry, int64_t now_us)
{
	return now_us < entry->fallback_until_us ? entry->fallback_snapshot : entry->snapshot;
}

void pd_index_table_set_fallback(struct pd_index_table *table, struct pd_str collection,
				 uint64_t published, uint64_t fallback, bool published_refused,
				 int64_t now_us)
{
	struct pd_index_entry *current;

	pthread_mutex_lock(&table->mutex);
	current = find_locked(table, collection);
	if (current && current->snapshot == published &&
	    (published_refused || now_us < current->fallback_until_us)) {
		current->fallback_snapshot = fallback;
		if (published_refused)
			current->fallback_until_us = now_us + PD_INDEX_FALLBACK_US;
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
