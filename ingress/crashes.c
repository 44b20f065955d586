#include "crashes.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "objects.h"
#include "os.h"

/* Reports that are deleted this shortly before a crash expires are taken for expired ones. */
#define DELETION_MARGIN_US (5 * PD_USEC_PER_SEC)
#define ANY_SERVICE	   0 /* no service has this hash */
#define SUFFIX_BYTES	   9 /* dot and eight digits at the end of the name of a crash */

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

uint64_t pd_crash_service(struct pd_str name)
{
	uint64_t hash = pd_str_hash(name, 0);

	return hash ? hash : 1;
}

static bool is_expired(const struct pd_crash *crash, int64_t now_us)
{
	return now_us - crash->last_us > (crash->suspect ? PD_CRASH_TRIAL_US : PD_CRASH_EXPIRY_US);
}

static bool is_blocked(const struct pd_crash *crash, int64_t now_us)
{
	return crash->suspect && now_us - crash->last_us <= PD_CRASH_EXPIRY_US + crash->spread_us;
}

/* Returns the entry of a request, which may have expired. */
static struct pd_crash *find_entry(struct pd_crashes *crashes, uint64_t fingerprint)
{
	for (size_t i = 0; i < crashes->count; i++) {
		if (crashes->table[i].fingerprint == fingerprint)
			return &crashes->table[i];
	}
	return NULL;
}

static struct pd_crash *find_crash(struct pd_crashes *crashes, uint64_t fingerprint, int64_t now_us)
{
	struct pd_crash *crash = find_entry(crashes, fingerprint);

	return crash && !is_expired(crash, now_us) ? crash : NULL;
}

static void remove_expired(struct pd_crashes *crashes, int64_t now_us)
{
	for (size_t i = 0; i < crashes->count;) {
		if (is_expired(&crashes->table[i], now_us))
			crashes->table[i] = crashes->table[--crashes->count];
		else
			i++;
	}
}

/* Whether an entry matters less than another one. */
static bool is_lesser(const struct pd_crash *a, const struct pd_crash *b)
{
	if (a->suspect != b->suspect)
		return b->suspect;
	return a->last_us < b->last_us;
}

/* Adds an entry, if the table is full in place of the one that matters least. */
static struct pd_crash *add_entry(struct pd_crashes *crashes, uint64_t fingerprint, int64_t now_us)
{
	struct pd_crash *crash = &crashes->table[0];

	remove_expired(crashes, now_us);
	if (crashes->count < PD_CRASHES_MAX) {
		crash = &crashes->table[crashes->count++];
	} else {
		for (size_t i = 1; i < PD_CRASHES_MAX; i++) {
			if (is_lesser(&crashes->table[i], crash))
				crash = &crashes->table[i];
		}
	}
	memset(crash, 0, sizeof(*crash));
	crash->fingerprint = fingerprint;
	return crash;
}

static struct pd_crash_event *find_event(struct pd_crash *crash, const struct pd_name *name)
{
	for (uint32_t i = 0; crash && i < crash->count; i++) {
		if (pd_name_equal(&crash->events[i].name, name))
			return &crash->events[i];
	}
	return NULL;
}

/* Names the crash of a start of an upstream; @restart is the number of its starts that differ
 * neither in id nor in time from an earlier one.
 */
static void format_name(const struct pd_crash_origin *origin, uint32_t restart,
			struct pd_name *name)
{
	char start[48], text[PD_CRASH_EVENT_MAX_BYTES + 1];
	struct pd_name id;
	uint64_t hash;

	snprintf(start, sizeof(start), "%" PRId64 ".%" PRIu32, origin->started_unix_ms, restart);
	hash = pd_str_hash(pd_str_from(start), pd_str_hash(origin->upstream, 0));
	if (!pd_name_set_any(&id, origin->upstream))
		pd_name_set(&id, PD_STR("unnamed"));
	snprintf(text, sizeof(text), "%.*s.%08" PRIx32, PD_CRASH_EVENT_MAX_BYTES - SUFFIX_BYTES,
		 id.text, (uint32_t)hash);
	pd_name_set(name, pd_str_from(text));
}

int64_t pd_crash_report_end_us(int64_t broken_us, bool suspect)
{
	return broken_us + PD_CRASH_EXPIRY_US + (suspect ? PD_CRASH_SPREAD_US : 0);
}

void pd_crashes_name(struct pd_crashes *crashes, uint64_t fingerprint,
		     const struct pd_crash_origin *origin, struct pd_name *name)
{
	struct pd_crash_event *event;
	struct pd_crash *crash;
	uint32_t restart = 0;

	pthread_mutex_lock(&crashes->lock);
	crash = find_entry(crashes, fingerprint);
	do {
		format_name(origin, restart++, name);
		event = find_event(crash, name);
	} while (event && event->broken_us < origin->connected_us);
	pthread_mutex_unlock(&crashes->lock);
}

static struct pd_crash_answer *answer_of(struct pd_crashes *crashes, uint64_t fingerprint,
					 uint64_t service, uint64_t *key)
{
	*key = pd_str_hash((struct pd_str){(const char *)&service, sizeof(service)}, fingerprint);
	return &crashes->answers[*key % PD_CRASH_ANSWERS_MAX];
}

/* Whether the service has answered the request after @since_us; any service if it is ANY_SERVICE.
 */
static bool is_answered(struct pd_crashes *crashes, uint64_t fingerprint, uint64_t service,
			int64_t since_us)
{
	uint64_t key;
	const struct pd_crash_answer *answer = answer_of(crashes, fingerprint, service, &key);

	return answer->answered_us && answer->key == key && answer->answered_us > since_us;
}

static void record_answer(struct pd_crashes *crashes, uint64_t fingerprint, uint64_t service,
			  int64_t now_us)
{
	uint64_t key;
	struct pd_crash_answer *answer = answer_of(crashes, fingerprint, service, &key);

	*answer = (struct pd_crash_answer){key, now_us};
}

static uint32_t count_events(const struct pd_crash *crash, uint64_t service)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < crash->count; i++)
		count += crash->events[i].service == service;
	return count;
}

/* Whether the recorded crashes are enough to block the request. */
static bool reaches_limit(const struct pd_crash *crash)
{
	if (!crash->answered)
		return crash->count >= PD_CRASH_LIMIT;
	for (uint32_t i = 0; i < crash->count; i++) {
		if (count_events(crash, crash->events[i].service) >= PD_CRASH_LIMIT)
			return true;
	}
	return false;
}

/* Returns the event of a full entry that matters least for one of @service: the newest one of
 * another service with the fewest events, so that those of one service can reach the limit however
 * many services crash. Otherwise the oldest one.
 */
static struct pd_crash_event *least_event(struct pd_crash *crash, uint64_t service)
{
	struct pd_crash_event *least = NULL, *oldest = &crash->events[0];
	uint32_t least_count = 0;

	for (uint32_t i = 0; i < crash->count; i++) {
		struct pd_crash_event *event = &crash->events[i];
		uint32_t count = count_events(crash, event->service);

		if (event->broken_us < oldest->broken_us)
			oldest = event;
		if (event->service == service || (least && count > least_count))
			continue;
		if (least && count == least_count && event->broken_us < least->broken_us)
			continue;
		least = event;
		least_count = count;
	}
	return least ? least : oldest;
}

static void store_event(struct pd_crash *crash, const struct pd_crash_event *event)
{
	if (crash->count < PD_CRASH_EVENTS_MAX)
		crash->events[crash->count++] = *event;
	else
		*least_event(crash, event->service) = *event;
}

/* Records that a service has answered the request. */
static void set_answered(struct pd_crash *crash)
{
	crash->answered = true;
	crash->suspect = crash->suspect && reaches_limit(crash);
}

static enum pd_crash_verdict add_locked(struct pd_crashes *crashes, uint64_t fingerprint,
					const struct pd_crash_event *event, int64_t now_us)
{
	int64_t answered_us = event->broken_us - PD_CRASH_ANSWERED_US;
	struct pd_crash *crash = find_crash(crashes, fingerprint, now_us);
	bool blocked, on_trial;

	if (find_event(crash, &event->name) || now_us - event->broken_us > PD_CRASH_EXPIRY_US)
		return PD_CRASH_IGNORED;
	if (is_answered(crashes, fingerprint, event->service, answered_us))
		return PD_CRASH_ANSWERED;
	if (!crash) {
		crash = add_entry(crashes, fingerprint, now_us);
		crash->answered = is_answered(crashes, fingerprint, ANY_SERVICE, answered_us);
	}
	if (event->partial)
		set_answered(crash);
	blocked = is_blocked(crash, now_us);
	on_trial = crash->suspect && !blocked;
	if (event->broken_us > crash->last_us)
		crash->last_us = event->broken_us;
	if (blocked && !event->told)
		return PD_CRASH_IGNORED;
	store_event(crash, event);
	crash->suspect = crash->suspect || reaches_limit(crash);
	crash->spread_us = (int64_t)(pd_os_random_seed() % PD_CRASH_SPREAD_US);
	return on_trial ? PD_CRASH_REPEATED : PD_CRASH_RECORDED;
}

enum pd_crash_verdict pd_crashes_add(struct pd_crashes *crashes, uint64_t fingerprint,
				     const struct pd_crash_event *event, int64_t now_us)
{
	enum pd_crash_verdict verdict;

	pthread_mutex_lock(&crashes->lock);
	verdict = add_locked(crashes, fingerprint, event, now_us);
	pthread_mutex_unlock(&crashes->lock);
	return verdict;
}

static int64_t last_event_us(const struct pd_crash *crash)
{
	int64_t last_us = 0;

	for (uint32_t i = 0; i < crash->count; i++) {
		if (crash->events[i].broken_us > last_us)
			last_us = crash->events[i].broken_us;
	}
	return last_us;
}

static void remove_event(struct pd_crashes *crashes, struct pd_crash *crash,
			 struct pd_crash_event *event)
{
	*event = crash->events[--crash->count];
	crash->suspect = crash->suspect && reaches_limit(crash);
	if (!crash->count)
		*crash = crashes->table[--crashes->count];
}

void pd_crashes_remove(struct pd_crashes *crashes, uint64_t fingerprint,
		       const struct pd_name *event)
{
	struct pd_crash_event *found;
	struct pd_crash *crash;

	pthread_mutex_lock(&crashes->lock);
	crash = find_entry(crashes, fingerprint);
	found = find_event(crash, event);
	if (found) {
		found->broken_us = 0;
		crash->last_us = last_event_us(crash);
		remove_event(crashes, crash, found);
	}
	pthread_mutex_unlock(&crashes->lock);
}

bool pd_crashes_clear(struct pd_crashes *crashes, uint64_t fingerprint, const struct pd_name *event,
		      int64_t now_us)
{
	struct pd_crash_event *found;
	struct pd_crash *crash;
	bool cleared;

	pthread_mutex_lock(&crashes->lock);
	crash = find_crash(crashes, fingerprint, now_us);
	found = find_event(crash, event);
	cleared = found && now_us < pd_crash_report_end_us(found->broken_us, crash->suspect) -
					    DELETION_MARGIN_US;
	if (cleared)
		remove_event(crashes, crash, found);
	pthread_mutex_unlock(&crashes->lock);
	return cleared;
}

bool pd_crashes_tell(struct pd_crashes *crashes, uint64_t fingerprint, struct pd_crash_event *event)
{
	struct pd_crash_event *found;
	struct pd_crash *crash;

	pthread_mutex_lock(&crashes->lock);
	crash = find_entry(crashes, fingerprint);
	found = find_event(crash, &event->name);
	if (found) {
		found->told = true;
		event->partial = crash->answered;
	}
	pthread_mutex_unlock(&crashes->lock);
	return found != NULL;
}

size_t pd_crashes_answer(struct pd_crashes *crashes, uint64_t fingerprint, uint64_t service,
			 int64_t now_us, struct pd_crash_event *cleared)
{
	struct pd_crash *crash;
	size_t count = 0;

	pthread_mutex_lock(&crashes->lock);
	record_answer(crashes, fingerprint, service, now_us);
	record_answer(crashes, fingerprint, ANY_SERVICE, now_us);
	crash = find_crash(crashes, fingerprint, now_us);
	if (crash)
		set_answered(crash);
	for (uint32_t i = crash ? crash->count : 0; i > 0; i--) {
		struct pd_crash_event *event = &crash->events[i - 1];

		if (event->service && event->service != service)
			continue;
		cleared[count++] = *event;
		remove_event(crashes, crash, event);
	}
	pthread_mutex_unlock(&crashes->lock);
	return count;
}

bool pd_crashes_is_suspect(struct pd_crashes *crashes, uint64_t fingerprint, int64_t now_us)
{
	const struct pd_crash *crash;
	bool suspect;

	pthread_mutex_lock(&crashes->lock);
	crash = find_crash(crashes, fingerprint, now_us);
	suspect = crash && crash->suspect;
	pthread_mutex_unlock(&crashes->lock);
	return suspect;
}

bool pd_crashes_is_blocked(struct pd_crashes *crashes, uint64_t fingerprint, int64_t now_us)
{
	const struct pd_crash *crash;
	bool blocked;

	pthread_mutex_lock(&crashes->lock);
	crash = find_crash(crashes, fingerprint, now_us);
	blocked = crash && is_blocked(crash, now_us);
	pthread_mutex_unlock(&crashes->lock);
	return blocked;
}

size_t pd_crashes_copy(struct pd_crashes *crashes, struct pd_crash *out, int64_t now_us)
{
	size_t count = 0;

	pthread_mutex_lock(&crashes->lock);
	for (size_t i = 0; i < crashes->count; i++) {
		if (!is_expired(&crashes->table[i], now_us))
			out[count++] = crashes->table[i];
	}
	pthread_mutex_unlock(&crashes->lock);
	return count;
}
