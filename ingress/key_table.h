/**
 * DOC: Key table: finds the account of an API key
 *
 * Keys are kept only as keyed hashes (BLAKE2b), with a random key that the process draws once.
 * Where a key is stored, and how long a look-up takes, therefore tells nothing about the bytes of
 * the keys.
 */
#ifndef PD_KEY_TABLE_H
#define PD_KEY_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "str.h"

#define PD_KEY_HASH_BYTES 32
/* Longest key, in bytes; a request with a longer one has an unknown key. */
#define PD_KEY_MAX_BYTES 1024
/* Result of a look-up for a key that belongs to no account. */
#define PD_KEY_TABLE_NONE UINT32_MAX

/** enum pd_key_state - what an entry of the table holds. */
enum pd_key_state {
	PD_KEY_UNUSED, /* no key */
	PD_KEY_OWNED, /* a key that belongs to one account */
	PD_KEY_AMBIGUOUS, /* a key that was added more than once and belongs to no account */
};

/**
 * struct pd_key_entry - entry of the table
 * @state: what the entry holds
 * @owner: index of the account that the key belongs to
 * @hash: keyed hash of the key
 */
struct pd_key_entry {
	enum pd_key_state state;
	uint32_t owner;
	unsigned char hash[PD_KEY_HASH_BYTES];
};

/**
 * struct pd_key_table - hash table with open addressing
 * @entries: entries; the hash selects where the search for a key begins
 * @capacity: number of @entries, a power of 2; 0 for a table without keys
 */
struct pd_key_table {
	struct pd_key_entry *entries;
	size_t capacity;
};

/* Allocates room for @count keys; false if memory or random numbers are lacking. */
bool pd_key_table_init(struct pd_key_table *table, size_t count);
void pd_key_table_finish(struct pd_key_table *table);
/* Adds a key, which must have 1 to PD_KEY_MAX_BYTES bytes. False if it was added before; it belongs
 * to no account then.
 */
bool pd_key_table_add(struct pd_key_table *table, struct pd_str key, uint32_t owner);
/* Returns the owner of a key, or PD_KEY_TABLE_NONE. */
uint32_t pd_key_table_find(const struct pd_key_table *table, struct pd_str key);

#endif
