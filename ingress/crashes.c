#include "crashes.h"

#include <string.h>

void pd_crashes_init(struct pd_crashes *crashes)
{
	memset(crashes, 0, sizeof(*crashes));
	pthread_mutex_init(&crashes->lock, NULL);
}

void pd_crashes_finish(struct pd_crashes *crashes)
{
	pthread_mutex_destroy(&crashes->lock);
}

uint64_t pd_crash_fingerprint(struct pd_str method, struct pd_str host, struct pd_str target,
			      struct pd_str body)
{
	uint64_t hash = pd_str_hash(method, 0);

	hash = pd_str_hash(host, hash);
	hash = pd_str_hash(target, hash);
	hash = pd_str_hash(body, hash);
	return hash ? hash : 1;
}

static bool is_expired(const struct pd_crash *crash, int64_t now_us)
{
	return !crash->fingerprint || now_us - crash->last_us > PD_CRASH_EXPIRY_US;
}

static struct pd_crash *find_crash(struct pd_crashes *crashes, uint64_t fingerprint, int64_t now_us)
{
	for (size_t i = 0; i < PD_CRASHES_MAX; i++) {
		struct pd_crash *crash = &crashes->table[i];

		if (crash->fingerprint == fingerprint && !is_expired(crash, now_us))
			return crash;
	}
	return NULL;
}

/* Returns a free or expired entry, or else the one with the oldest crash. */
static struct pd_crash *choose_entry(struct pd_crashes *crashes, int64_t now_us)
{
	struct pd_crash *oldest = &crashes->table[0];

	for (size_t i = 0; i < PD_CRASHES_MAX; i++) {
		struct pd_crash *crash = &crashes->table[i];

		if (is_expired(crash, now_us))
			return crash;
		if (crash->last_us < oldest->last_us)
			oldest = crash;
	}
	return oldest;
}

static bool add_locked(struct pd_crashes *crashes, uint64_t fingerprint,
		       const struct pd_name *event, int64_t now_us)
{
	struct pd_crash *crash = find_crash(crashes, fingerprint, now_us);

	if (!crash) {
		crash = choose_entry(crashes, now_us);
		memset(crash, 0, sizeof(*crash));
		crash->fingerprint = fingerprint;
	}
	for (uint32_t i = 0; i < crash->count; i++) {
		if (pd_name_equal(&crash->events[i], event))
			return false;
	}
	crash->last_us = now_us;
	if (crash->count == PD_CRASH_LIMIT)
		return false;
	crash->events[crash->count++] = *event;
	return true;
}

bool pd_crashes_add(struct pd_crashes *crashes, uint64_t fingerprint, const struct pd_name *event,
		    int64_t now_us)
{
	bool added;

	pthread_mutex_lock(&crashes->lock);
	added = add_locked(crashes, fingerprint, event, now_us);
	pthread_mutex_unlock(&crashes->lock);
	return added;
}

static void remove_locked(struct pd_crash *crash, const struct pd_name *event)
{
	for (uint32_t i = 0; i < crash->count; i++) {
		if (!pd_name_equal(&crash->events[i], event))
			continue;
		crash->events[i] = crash->events[--crash->count];
		if (!crash->count)
			crash->fingerprint = 0;
		return;
	}
}

void pd_crashes_remove(struct pd_crashes *crashes, uint64_t fingerprint,
		       const struct pd_name *event)
{
	pthread_mutex_lock(&crashes->lock);
	for (size_t i = 0; i < PD_CRASHES_MAX; i++) {
		if (crashes->table[i].fingerprint == fingerprint)
			remove_locked(&crashes->table[i], event);
	}
	pthread_mutex_unlock(&crashes->lock);
}

bool pd_crashes_is_blocked(struct pd_crashes *crashes, uint64_t fingerprint, int64_t now_us)
{
	const struct pd_crash *crash;
	bool blocked;

	pthread_mutex_lock(&crashes->lock);
	crash = find_crash(crashes, fingerprint, now_us);
	blocked = crash && crash->count >= PD_CRASH_LIMIT;
	pthread_mutex_unlock(&crashes->lock);
	return blocked;
}

size_t pd_crashes_copy(struct pd_crashes *crashes, struct pd_crash *out, int64_t now_us)
{
	size_t count = 0;

	pthread_mutex_lock(&crashes->lock);
	for (size_t i = 0; i < PD_CRASHES_MAX; i++) {
		if (!is_expired(&crashes->table[i], now_us))
			out[count++] = crashes->table[i];
	}
	pthread_mutex_unlock(&crashes->lock);
	return count;
}
