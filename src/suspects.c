#include "suspects.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "counters.h"

/*
 * Maximum number of crashed upstreams in an entry. When it is reached, the first one, usually the
 * oldest, is removed for a new one.
 */
#define CRASHED_MAX 16
/*
 * Once this many upstreams of a service have crashed, the request isn't run in that service until
 * its entry expires.
 */
#define SERVICE_CRASHES_MAX 2

/**
 * struct suspect - entry of the table
 * @fingerprint: identifies the request
 * @crashed: hashes of the names of the upstreams that crashed
 * @crashed_count: number of entries in @crashed
 * @crashes: number of counted crashes; see pd_suspects_record_crash()
 * @latest: name of the upstream that crashed last
 * @expires_us: monotonic time at which the entry expires, in microseconds
 */
struct suspect {
	uint64_t fingerprint;
	uint64_t crashed[CRASHED_MAX];
	uint32_t crashed_count;
	uint32_t crashes;
	struct pd_name latest;
	int64_t expires_us;
};

/**
 * struct pd_suspects - table of requests that may crash upstreams
 * @mutex: guards the members below
 * @count: number of entries
 * @fingerprints: fingerprint of each entry, stored densely for a fast search
 * @entries: entries in no particular order
 */
struct pd_suspects {
	pthread_mutex_t mutex;
	uint32_t count;
	uint64_t fingerprints[PD_SUSPECTS_MAX];
	struct suspect entries[PD_SUSPECTS_MAX];
};

enum pd_code pd_suspects_open(struct pd_suspects **suspects, struct pd_error *err)
{
	*suspects = calloc(1, sizeof(**suspects));
	if (!*suspects)
		return pd_error_set(err, PD_LAYER_COORDINATION, PD_NO_MEMORY,
				    "out of memory for the table of crash suspects");
	pthread_mutex_init(&(*suspects)->mutex, NULL);
	return PD_OK;
}

void pd_suspects_close(struct pd_suspects *suspects)
{
	if (!suspects)
		return;
	pthread_mutex_destroy(&suspects->mutex);
	free(suspects);
}

static void remove_entry(struct pd_suspects *suspects, struct suspect *entry)
{
	uint32_t last = --suspects->count;

	suspects->fingerprints[entry - suspects->entries] = suspects->fingerprints[last];
	*entry = suspects->entries[last];
}

/* Returns the entry of @fingerprint or NULL; removes the entry if it has expired. */
static struct suspect *find(struct pd_suspects *suspects, uint64_t fingerprint, int64_t now_us)
{
	for (uint32_t i = 0; i < suspects->count; i++) {
		struct suspect *entry = &suspects->entries[i];

		if (suspects->fingerprints[i] != fingerprint)
			continue;
		if (now_us < entry->expires_us)
			return entry;
		remove_entry(suspects, entry);
		return NULL;
	}
	return NULL;
}

static bool is_blocked(const struct suspect *entry)
{
	return entry->crashes >= PD_SUSPECT_BLOCKING_CRASHES;
}

/*
 * Removes all expired entries. If the table is still full, evicts one entry: one that isn't blocked
 * rather than a blocked one, and of these the one that expires first.
 */
static void evict(struct pd_suspects *suspects, int64_t now_us)
{
	struct suspect *candidate = NULL;

	for (uint32_t i = 0; i < suspects->count;) {
		if (now_us >= suspects->entries[i].expires_us)
			remove_entry(suspects, &suspects->entries[i]);
		else
			i++;
	}
	if (suspects->count < PD_SUSPECTS_MAX)
		return;
	for (uint32_t i = 0; i < suspects->count; i++) {
		struct suspect *entry = &suspects->entries[i];

		if (!candidate || is_blocked(entry) < is_blocked(candidate) ||
		    (is_blocked(entry) == is_blocked(candidate) &&
		     entry->expires_us < candidate->expires_us))
			candidate = entry;
	}
	remove_entry(suspects, candidate);
}

static struct suspect *find_or_add(struct pd_suspects *suspects, uint64_t fingerprint,
				   int64_t now_us)
{
	struct suspect *entry = find(suspects, fingerprint, now_us);

	if (entry)
		return entry;
	if (suspects->count == PD_SUSPECTS_MAX)
		evict(suspects, now_us);
	suspects->fingerprints[suspects->count] = fingerprint;
	entry = &suspects->entries[suspects->count++];
	memset(entry, 0, sizeof(*entry));
	entry->fingerprint = fingerprint;
	return entry;
}

static uint64_t name_hash(const struct pd_name *name)
{
	return pd_str_hash(pd_name_str(name), 0);
}

static bool crashed_on(const struct suspect *entry, const struct pd_name *upstream)
{
	uint64_t hash = name_hash(upstream);

	for (uint32_t i = 0; i < entry->crashed_count; i++) {
		if (entry->crashed[i] == hash)
			return true;
	}
	return false;
}

/* Records the crash of @upstream; @crashes is the new number of counted crashes. */
static void add_crash(struct suspect *entry, const struct pd_name *upstream, uint32_t crashes)
{
	bool was_blocked = is_blocked(entry);

	if (!crashed_on(entry, upstream)) {
		if (entry->crashed_count == CRASHED_MAX)
			memmove(entry->crashed, entry->crashed + 1,
				--entry->crashed_count * sizeof(entry->crashed[0]));
		entry->crashed[entry->crashed_count++] = name_hash(upstream);
	}
	entry->latest = *upstream;
	if (entry->crashes < crashes)
		entry->crashes = crashes;
	if (!was_blocked && is_blocked(entry))
		pd_count(PD_COUNT_suspects_convicted);
}

uint32_t pd_suspects_record_crash(struct pd_suspects *suspects, uint64_t fingerprint,
				  const struct pd_name *upstream, bool isolated, int64_t now_us)
{
	struct suspect *entry;
	uint32_t crashes;

	pthread_mutex_lock(&suspects->mutex);
	entry = find_or_add(suspects, fingerprint, now_us);
	crashes = entry->crashes == 0 || !isolated ? 1 : entry->crashes + 1;
	add_crash(entry, upstream, crashes);
	entry->expires_us =
		now_us + (is_blocked(entry) ? PD_SUSPECT_BLOCKED_TTL_US : PD_SUSPECT_TTL_US);
	crashes = entry->crashes;
	pthread_mutex_unlock(&suspects->mutex);
	pd_count(PD_COUNT_suspects_recorded);
	return crashes;
}

/*
 * Removes the recorded crash of @upstream and returns true. Returns false if there is none, or if
 * the request is blocked: after two counted crashes, a success on another upstream doesn't unblock
 * it.
 */
static bool remove_crash(struct pd_suspects *suspects, uint64_t fingerprint,
			 const struct pd_name *upstream, int64_t now_us)
{
	struct suspect *entry = find(suspects, fingerprint, now_us);
	uint64_t hash = name_hash(upstream);

	if (!entry || is_blocked(entry))
		return false;
	for (uint32_t i = 0; i < entry->crashed_count; i++) {
		if (entry->crashed[i] != hash)
			continue;
		entry->crashed[i] = entry->crashed[--entry->crashed_count];
		if (entry->crashed_count == 0)
			remove_entry(suspects, entry);
		pd_count(PD_COUNT_suspects_cleared);
		return true;
	}
	return false;
}

bool pd_suspects_record_success(struct pd_suspects *suspects, uint64_t fingerprint,
				const struct pd_config *config, uint32_t upstream,
				struct pd_msg_suspect *out, int64_t now_us)
{
	const struct pd_service *service = &config->services[config->upstreams[upstream].service];
	bool removed = false;

	pthread_mutex_lock(&suspects->mutex);
	for (uint32_t i = 0; i < service->upstream_count && !removed; i++) {
		const struct pd_name *name = &config->upstreams[service->upstreams[i]].name;

		removed = remove_crash(suspects, fingerprint, name, now_us);
		if (removed)
			*out = (struct pd_msg_suspect){.fingerprint = fingerprint,
						       .upstream = *name};
	}
	pthread_mutex_unlock(&suspects->mutex);
	return removed;
}

void pd_suspects_merge(struct pd_suspects *suspects, const struct pd_msg_suspect *msg,
		       int64_t now_us)
{
	struct suspect *entry;
	int64_t ttl_us;

	pthread_mutex_lock(&suspects->mutex);
	if (msg->crashes == 0) {
		remove_crash(suspects, msg->fingerprint, &msg->upstream, now_us);
	} else if (msg->expires_ms > 0) {
		entry = find_or_add(suspects, msg->fingerprint, now_us);
		add_crash(entry, &msg->upstream, msg->crashes);
		ttl_us = is_blocked(entry) ? PD_SUSPECT_BLOCKED_TTL_US : PD_SUSPECT_TTL_US;
		if (msg->expires_ms < ttl_us / PD_USEC_PER_MSEC && msg->crashes >= entry->crashes)
			ttl_us = msg->expires_ms * PD_USEC_PER_MSEC;
		if (entry->expires_us < now_us + ttl_us)
			entry->expires_us = now_us + ttl_us;
	}
	pthread_mutex_unlock(&suspects->mutex);
}

/*
 * Returns the only upstream of the service of @upstream that may run the suspect, or PD_CONFIG_NONE
 * if none may. See pd_suspects_check().
 */
static uint32_t designated_upstream(const struct suspect *entry, const struct pd_config *config,
				    uint32_t upstream)
{
	const struct pd_service *service = &config->services[config->upstreams[upstream].service];
	uint32_t best = PD_CONFIG_NONE;
	uint64_t best_score = 0;
	uint32_t crashed = 0;
	char key[17];

	snprintf(key, sizeof(key), "%016" PRIx64, entry->fingerprint);
	for (uint32_t i = 0; i < service->upstream_count; i++) {
		uint32_t index = service->upstreams[i];
		const struct pd_name *name = &config->upstreams[index].name;
		uint64_t score = pd_rendezvous_score((struct pd_str){key, 16}, pd_name_str(name));

		if (crashed_on(entry, name)) {
			if (++crashed == SERVICE_CRASHES_MAX)
				return PD_CONFIG_NONE;
			continue;
		}
		if (best == PD_CONFIG_NONE || score > best_score) {
			best = index;
			best_score = score;
		}
	}
	return best;
}

enum pd_suspect_decision pd_suspects_check(struct pd_suspects *suspects, uint64_t fingerprint,
					   const struct pd_config *config, uint32_t upstream,
					   int64_t now_us)
{
	enum pd_suspect_decision decision = PD_SUSPECT_ALLOW;
	struct suspect *entry;

	pthread_mutex_lock(&suspects->mutex);
	entry = find(suspects, fingerprint, now_us);
	if (entry && is_blocked(entry))
		decision = PD_SUSPECT_REJECT;
	else if (entry)
		decision = designated_upstream(entry, config, upstream) == upstream
				   ? PD_SUSPECT_ISOLATE
				   : PD_SUSPECT_REJECT;
	pthread_mutex_unlock(&suspects->mutex);
	return decision;
}

bool pd_suspects_fill_msg(struct pd_suspects *suspects, uint64_t fingerprint,
			  struct pd_msg_suspect *out, int64_t now_us)
{
	struct suspect *entry;

	pthread_mutex_lock(&suspects->mutex);
	entry = find(suspects, fingerprint, now_us);
	if (entry) {
		out->fingerprint = fingerprint;
		out->upstream = entry->latest;
		out->crashes = entry->crashes;
		out->expires_ms = (entry->expires_us - now_us) / PD_USEC_PER_MSEC;
	}
	pthread_mutex_unlock(&suspects->mutex);
	return entry != NULL;
}

size_t pd_suspects_count(struct pd_suspects *suspects)
{
	size_t count;

	pthread_mutex_lock(&suspects->mutex);
	count = suspects->count;
	pthread_mutex_unlock(&suspects->mutex);
	return count;
}
