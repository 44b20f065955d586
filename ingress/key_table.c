#include "key_table.h"

#include <pthread.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

static pthread_once_t once = PTHREAD_ONCE_INIT;
static bool has_secret;
static unsigned char secret[crypto_generichash_KEYBYTES];

_Static_assert(PD_KEY_HASH_BYTES == crypto_generichash_BYTES, "recommended length of the hash");

static void draw_secret(void)
{
	if (sodium_init() < 0)
		return;
	crypto_generichash_keygen(secret);
	has_secret = true;
}

static void hash_key(struct pd_str key, unsigned char *hash)
{
	crypto_generichash(hash, PD_KEY_HASH_BYTES, (const unsigned char *)key.data, key.len,
			   secret, sizeof(secret));
}

bool pd_key_table_init(struct pd_key_table *table, size_t count)
{
	size_t capacity = 1;

	memset(table, 0, sizeof(*table));
	pthread_once(&once, draw_secret);
	if (!has_secret)
		return false;
	/* A third of the entries stays unused, so that searches are short. */
	while (capacity < count + count / 2 + 1)
		capacity *= 2;
	table->entries = calloc(capacity, sizeof(*table->entries));
	table->capacity = table->entries ? capacity : 0;
	return table->entries != NULL;
}

void pd_key_table_finish(struct pd_key_table *table)
{
	free(table->entries);
	memset(table, 0, sizeof(*table));
}

/* Returns the entry with that hash, or the unused one where it belongs. */
static struct pd_key_entry *find_entry(const struct pd_key_table *table, const unsigned char *hash)
{
	uint64_t start;

	memcpy(&start, hash, sizeof(start));
	for (size_t i = start & (table->capacity - 1);; i = (i + 1) & (table->capacity - 1)) {
		struct pd_key_entry *entry = &table->entries[i];

		if (entry->state == PD_KEY_UNUSED ||
		    !sodium_memcmp(entry->hash, hash, PD_KEY_HASH_BYTES))
			return entry;
	}
}

bool pd_key_table_add(struct pd_key_table *table, struct pd_str key, uint32_t owner)
{
	unsigned char hash[PD_KEY_HASH_BYTES];
	struct pd_key_entry *entry;

	hash_key(key, hash);
	entry = find_entry(table, hash);
	if (entry->state != PD_KEY_UNUSED) {
		entry->state = PD_KEY_AMBIGUOUS;
		return false;
	}
	entry->state = PD_KEY_OWNED;
	entry->owner = owner;
	memcpy(entry->hash, hash, sizeof(hash));
	return true;
}

uint32_t pd_key_table_find(const struct pd_key_table *table, struct pd_str key)
{
	unsigned char hash[PD_KEY_HASH_BYTES];
	const struct pd_key_entry *entry;

	if (!table->capacity || !key.len || key.len > PD_KEY_MAX_BYTES)
		return PD_KEY_TABLE_NONE;
	hash_key(key, hash);
	entry = find_entry(table, hash);
	return entry->state == PD_KEY_OWNED ? entry->owner : PD_KEY_TABLE_NONE;
}
