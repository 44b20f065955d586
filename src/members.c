#include "members.h"

#include <stdlib.h>
#include <string.h>

#include "counters.h"
#include "log.h"

#define SILENCE_TIMEOUT_US  (PD_LEASE_TERM_US + PD_LEASE_MARGIN_US)
#define SENT_HEARTBEATS_MAX 16 /* for each member; kept for longer than PD_LEASE_TERM_US */
#define RANK_CACHE_SLOTS    16384 /* over twice the 5,900 upstreams of the largest fleet */
#define CANDIDATES_MAX	    4 /* highest-ranked members cached for each upstream */
#define WATCHERS_PER_ZONE   2 /* instances of each zone that watch the platform */

/**
 * struct sent_heartbeat - a heartbeat that waits for its acknowledgement
 * @seq: its sequence number
 * @sent_at_us: monotonic time at which it was sent, in microseconds; 0 for an empty entry
 */
struct sent_heartbeat {
	uint64_t seq;
	int64_t sent_at_us;
};

/**
 * struct member - another instance of the fleet
 * @record: its newest known record
 * @name_hash: hash of its name, which seeds its rendezvous scores
 * @silence_start_us: start of its silence timer (monotonic, in microseconds): the time at which its
 * last message arrived, its record was added, or a pause of this process ended
 * @grant_until_us: end of the lease that it granted to this instance (monotonic, in microseconds)
 * @silent: the silence timer has expired, so that ownership no longer requires its grant
 * @sent_heartbeats: ring buffer of heartbeats sent to it
 * @next_sent_slot: index of the next entry of @sent_heartbeats to write, modulo its size
 */
struct member {
	struct pd_member_record record;
	uint64_t name_hash;
	int64_t silence_start_us;
	int64_t grant_until_us;
	bool silent;
	struct sent_heartbeat sent_heartbeats[SENT_HEARTBEATS_MAX];
	unsigned int next_sent_slot;
};

/**
 * struct rank_entry - cached ranks for one upstream
 * @generation: value of pd_members.generation for which the other members were computed
 * @upstream: name of the upstream
 * @ranks_valid: @first_excluding_silent and @first_including_silent have been computed
 * @first_excluding_silent: this instance ranks first among the live members that aren't silent
 * @first_including_silent: this instance ranks first among all live members
 * @candidates_valid: @zone, @candidate_count and @candidates have been computed
 * @zone: zone of the candidates
 * @candidate_count: number of @candidates
 * @candidates: live members of @zone that aren't silent, highest rank first
 */
struct rank_entry {
	uint64_t generation;
	struct pd_name upstream;
	bool ranks_valid;
	bool first_excluding_silent;
	bool first_including_silent;
	bool candidates_valid;
	struct pd_name zone;
	size_t candidate_count;
	const struct pd_member_record *candidates[CANDIDATES_MAX];
};

/**
 * struct pd_members - member table of this instance
 * @mutex: guards all other members
 * @self: this instance's record; not in @all
 * @self_hash: hash of this instance's name, which seeds its rendezvous scores
 * @resigned: pd_members_resign() was called, or a newer process uses this instance's name
 * @confirmed: pd_members_confirm() was called or a lease was granted
 * @all: other members, sorted by name
 * @count: number of members in @all
 * @zone: the live members of @all that are in this instance's zone, silent ones included
 * @zone_count: number of members in @zone
 * @silent_count: number of silent members in @zone
 * @records_changed: @zone and the digests must be rebuilt
 * @digest: digest of all records
 * @zone_digest: digest of the live records of this instance's zone
 * @generation: incremented when ranks may change; never 0
 * @next_silence_us: earliest monotonic time at which a member may become silent, in microseconds
 * @lease_end_us: earliest end of a grant among the members of @zone that aren't silent; valid if
 * @lease_valid
 * @lease_valid: @lease_end_us is up to date
 * @lease_held: the lease had not ended at the last tick; for counting lapses
 * @now_us: latest time passed by a caller; a concurrent caller may pass a slightly earlier one
 * @last_tick_us: time of the last pd_members_tick() or detected pause, to detect the next pause
 * @pause_unreported: a pause was detected that pd_members_tick() hasn't returned yet
 * @rank_cache: hash table of cached ranks
 */
struct pd_members {
	pthread_mutex_t mutex;
	struct pd_member_record self;
	uint64_t self_hash;
	bool resigned;
	bool confirmed;
	struct member **all;
	size_t count;
	struct member **zone;
	size_t zone_count;
	size_t silent_count;
	bool records_changed;
	uint64_t digest;
	uint64_t zone_digest;
	uint64_t generation;
	int64_t next_silence_us;
	int64_t lease_end_us;
	bool lease_valid;
	bool lease_held;
	int64_t now_us;
	int64_t last_tick_us;
	bool pause_unreported;
	struct rank_entry rank_cache[RANK_CACHE_SLOTS];
};

/* -- ranks -- */

static uint64_t member_hash(struct pd_str name)
{
	return pd_str_hash(name, 0);
}

static uint64_t score_of(uint64_t key_hash, uint64_t hash)
{
	return pd_str_hash((struct pd_str){(const char *)&key_hash, sizeof(key_hash)}, hash);
}

uint64_t pd_rendezvous_score(struct pd_str key, struct pd_str member)
{
	return score_of(pd_str_hash(key, 0), member_hash(member));
}

/* Equal scores are ordered by name, so that all instances compute the same order. */
static bool ranks_above(uint64_t score_a, const struct pd_name *a, uint64_t score_b,
			const struct pd_name *b)
{
	if (score_a != score_b)
		return score_a > score_b;
	return pd_str_compare(pd_name_str(a), pd_name_str(b)) < 0;
}

static bool outranks_self(const struct pd_members *m, const struct member *other, uint64_t key_hash)
{
	return ranks_above(score_of(key_hash, other->name_hash), &other->record.name,
			   score_of(key_hash, m->self_hash), &m->self.name);
}

/* -- table -- */

/* Returns the index of @name in @all, or where it would be inserted. */
static size_t position_of(const struct pd_members *m, struct pd_str name, bool *found)
{
	size_t low = 0;
	size_t high = m->count;

	*found = false;
	while (low < high) {
		size_t mid = low + (high - low) / 2;
		int order = pd_str_compare(name, pd_name_str(&m->all[mid]->record.name));

		if (!order) {
			*found = true;
			return mid;
		}
		if (order < 0)
			high = mid;
		else
			low = mid + 1;
	}
	return low;
}

static struct member *find_member(const struct pd_members *m, struct pd_str name)
{
	bool found;
	size_t i = position_of(m, name, &found);

	return found ? m->all[i] : NULL;
}

/* Returns the member @name if its record has this incarnation and is live, otherwise NULL. */
static struct member *find_live(const struct pd_members *m, struct pd_str name,
				uint64_t incarnation)
{
	struct member *member = find_member(m, name);

	if (!member || member->record.incarnation != incarnation ||
	    member->record.state != PD_MEMBER_LIVE)
		return NULL;
	return member;
}

static bool in_own_zone(const struct pd_members *m, const struct member *member)
{
	return pd_name_equal(&member->record.zone, &m->self.zone);
}

static uint64_t record_digest(const struct pd_member_record *record)
{
	return pd_str_hash(pd_name_str(&record->name),
			   record->incarnation << 2 | (uint64_t)record->state);
}

static void live_set_changed(struct pd_members *m)
{
	m->generation++;
	m->lease_valid = false;
}

/* Recomputes @zone and the digests if records have changed. */
static void rebuild(struct pd_members *m)
{
	if (!m->records_changed)
		return;
	m->records_changed = false;
	m->digest = record_digest(&m->self);
	m->zone_digest = m->self.state == PD_MEMBER_LIVE ? m->digest : 0;
	m->zone_count = 0;
	m->silent_count = 0;
	for (size_t i = 0; i < m->count; i++) {
		struct member *member = m->all[i];
		uint64_t digest = record_digest(&member->record);

		m->digest += digest;
		if (member->record.state != PD_MEMBER_LIVE || !in_own_zone(m, member))
			continue;
		m->zone_digest += digest;
		m->silent_count += member->silent;
		m->zone[m->zone_count++] = member;
	}
	m->next_silence_us = m->now_us;
	live_set_changed(m);
}

/* Marks members as silent whose silence timer has expired, and computes @next_silence_us. */
static void update_silence(struct pd_members *m)
{
	m->next_silence_us = INT64_MAX;
	for (size_t i = 0; i < m->zone_count; i++) {
		struct member *member = m->zone[i];
		int64_t timeout_at_us = member->silence_start_us + SILENCE_TIMEOUT_US;

		if (member->silent)
			continue;
		if (timeout_at_us > m->now_us) {
			if (timeout_at_us < m->next_silence_us)
				m->next_silence_us = timeout_at_us;
			continue;
		}
		member->silent = true;
		m->silent_count++;
		live_set_changed(m);
		pd_log(PD_LOG_WARNING, "member_silent", "member=%s incarnation=%llu",
		       member->record.name.text, (unsigned long long)member->record.incarnation);
	}
}

static void advance_time(struct pd_members *m, int64_t now_us)
{
	if (now_us > m->now_us)
		m->now_us = now_us;
}

/*
 * Voids all grants and restarts all silence timers after a pause of this process. During the pause,
 * peers may have marked this instance as silent, and their messages remained unread, so that their
 * silence is unknown.
 */
static void handle_pause(struct pd_members *m)
{
	for (size_t i = 0; i < m->count; i++) {
		struct member *member = m->all[i];

		member->grant_until_us = INT64_MIN;
		member->silence_start_us = m->now_us;
		member->silent = false;
		memset(member->sent_heartbeats, 0, sizeof(member->sent_heartbeats));
	}
	m->silent_count = 0;
	m->next_silence_us = m->now_us;
	m->lease_held = false;
	live_set_changed(m);
	pd_count(PD_COUNT_pauses_noticed);
	pd_log(PD_LOG_WARNING, "pause_noticed", "paused_ms=%lld",
	       (long long)((m->now_us - m->last_tick_us) / PD_USEC_PER_MSEC));
}

/*
 * Advances the time and brings everything that depends on it up to date; must precede every use of
 * @zone or of ranks.
 */
static void refresh(struct pd_members *m, int64_t now_us)
{
	advance_time(m, now_us);
	if (m->now_us - m->last_tick_us > PD_PAUSE_THRESHOLD_US) {
		handle_pause(m);
		m->last_tick_us = m->now_us;
		m->pause_unreported = true;
	}
	rebuild(m);
	if (m->now_us >= m->next_silence_us)
		update_silence(m);
}

/* -- open and close -- */

enum pd_code pd_members_open(struct pd_members **members, const struct pd_member_record *self,
			     int64_t now_us, struct pd_error *err)
{
	struct pd_members *m = calloc(1, sizeof(*m));

	*members = NULL;
	if (m) {
		m->all = calloc(PD_MEMBERS_MAX, sizeof(struct member *));
		m->zone = calloc(PD_MEMBERS_MAX, sizeof(struct member *));
	}
	if (!m || !m->all || !m->zone) {
		if (m) {
			free(m->all);
			free(m->zone);
			free(m);
		}
		return pd_error_set(err, PD_LAYER_COORDINATION, PD_NO_MEMORY,
				    "out of memory for the member table");
	}
	pthread_mutex_init(&m->mutex, NULL);
	m->self = *self;
	m->self.state = PD_MEMBER_LIVE;
	m->self_hash = member_hash(pd_name_str(&self->name));
	m->now_us = now_us;
	m->last_tick_us = now_us;
	m->generation = 1;
	m->records_changed = true;
	*members = m;
	return PD_OK;
}

void pd_members_close(struct pd_members *members)
{
	if (!members)
		return;
	for (size_t i = 0; i < members->count; i++)
		free(members->all[i]);
	free(members->all);
	free(members->zone);
	pthread_mutex_destroy(&members->mutex);
	free(members);
}

/* -- merging records -- */

static void confirm_locked(struct pd_members *m, const char *source)
{
	if (m->confirmed)
		return;
	m->confirmed = true;
	pd_log(PD_LOG_INFO, "members_confirmed", "by=%s count=%zu", source, m->count + 1);
}

void pd_members_confirm(struct pd_members *members)
{
	pthread_mutex_lock(&members->mutex);
	confirm_locked(members, "platform");
	pthread_mutex_unlock(&members->mutex);
}

bool pd_members_confirmed(struct pd_members *members)
{
	bool confirmed;

	pthread_mutex_lock(&members->mutex);
	confirmed = members->confirmed;
	pthread_mutex_unlock(&members->mutex);
	return confirmed;
}

static void remove_at(struct pd_members *m, size_t i)
{
	free(m->all[i]);
	memmove(&m->all[i], &m->all[i + 1], (m->count - i - 1) * sizeof(struct member *));
	m->count--;
	m->records_changed = true;
}

/*
 * Makes room for @record when the table is full, by removing the member with the lowest incarnation
 * among those that aren't live. All instances remove the same one, so that their tables stay equal.
 * Returns false when @record must not be added.
 */
static bool make_room(struct pd_members *m, const struct pd_member_record *record)
{
	size_t oldest = SIZE_MAX;

	if (m->count < PD_MEMBERS_MAX - 1)
		return true;
	for (size_t i = 0; i < m->count; i++) {
		const struct pd_member_record *r = &m->all[i]->record;

		if (r->state != PD_MEMBER_LIVE &&
		    (oldest == SIZE_MAX || r->incarnation < m->all[oldest]->record.incarnation))
			oldest = i;
	}
	if (oldest == SIZE_MAX) {
		pd_log(PD_LOG_ERROR, "member_table_full", "member=%s limit=%d", record->name.text,
		       PD_MEMBERS_MAX);
		return false;
	}
	if (record->state != PD_MEMBER_LIVE &&
	    record->incarnation <= m->all[oldest]->record.incarnation)
		return false;
	remove_at(m, oldest);
	return true;
}

static void init_member(struct pd_members *m, struct member *member,
			const struct pd_member_record *record)
{
	memset(member, 0, sizeof(*member));
	member->record = *record;
	member->name_hash = member_hash(pd_name_str(&record->name));
	member->silence_start_us = m->now_us;
	member->grant_until_us = INT64_MIN;
	m->records_changed = true;
	pd_log(PD_LOG_INFO, "member_learned", "member=%s zone=%s incarnation=%llu state=%d",
	       record->name.text, record->zone.text, (unsigned long long)record->incarnation,
	       (int)record->state);
}

static bool add_member(struct pd_members *m, const struct pd_member_record *record)
{
	struct member *member;
	bool found;
	size_t i;

	if (!make_room(m, record))
		return false;
	member = malloc(sizeof(*member));
	if (!member)
		return false;
	i = position_of(m, pd_name_str(&record->name), &found);
	memmove(&m->all[i + 1], &m->all[i], (m->count - i) * sizeof(struct member *));
	m->all[i] = member;
	m->count++;
	init_member(m, member, record);
	return true;
}

/* Changes the state of @member, but never back to an earlier one. */
static void set_state(struct pd_members *m, struct member *member, enum pd_member_state state)
{
	if (member->record.state >= state)
		return;
	member->record.state = state;
	m->records_changed = true;
	pd_log(PD_LOG_INFO, state == PD_MEMBER_DEAD ? "member_dead" : "member_leaving",
	       "member=%s incarnation=%llu", member->record.name.text,
	       (unsigned long long)member->record.incarnation);
}

/* Merges a record of this instance that it received from the platform or a peer. */
static bool merge_own_record(struct pd_members *m, const struct pd_member_record *record)
{
	if (record->incarnation > m->self.incarnation) {
		if (!m->resigned)
			pd_log(PD_LOG_ERROR, "replaced", "member=%s incarnation=%llu newer=%llu",
			       m->self.name.text, (unsigned long long)m->self.incarnation,
			       (unsigned long long)record->incarnation);
		m->resigned = true;
		live_set_changed(m);
		return false;
	}
	if (record->incarnation < m->self.incarnation || record->state <= m->self.state)
		return false;
	m->records_changed = true;
	if (m->resigned) {
		m->self.state = record->state;
		return true;
	}
	/* The report is wrong: rejoin as a new incarnation, which needs new grants. */
	m->self.incarnation = record->incarnation + 1;
	for (size_t i = 0; i < m->count; i++) {
		m->all[i]->grant_until_us = INT64_MIN;
		memset(m->all[i]->sent_heartbeats, 0, sizeof(m->all[i]->sent_heartbeats));
	}
	pd_log(PD_LOG_WARNING, "taken_for_dead", "member=%s incarnation=%llu", m->self.name.text,
	       (unsigned long long)m->self.incarnation);
	return true;
}

static bool merge_locked(struct pd_members *m, const struct pd_member_record *record)
{
	struct member *member;

	if (pd_name_equal(&record->name, &m->self.name))
		return merge_own_record(m, record);
	member = find_member(m, pd_name_str(&record->name));
	if (!member)
		return add_member(m, record);
	if (record->incarnation < member->record.incarnation)
		return false;
	if (record->incarnation > member->record.incarnation) {
		init_member(m, member, record);
		return true;
	}
	if (record->state <= member->record.state)
		return false;
	set_state(m, member, record->state);
	return true;
}

bool pd_members_merge(struct pd_members *members, const struct pd_member_record *record,
		      int64_t now_us)
{
	bool changed;

	pthread_mutex_lock(&members->mutex);
	advance_time(members, now_us);
	changed = merge_locked(members, record);
	pthread_mutex_unlock(&members->mutex);
	return changed;
}

/* -- events -- */

static void message_received_locked(struct pd_members *m, struct member *member)
{
	member->silence_start_us = m->now_us;
	if (!member->silent)
		return;
	member->silent = false;
	m->records_changed = true;
	pd_log(PD_LOG_INFO, "member_heard_again", "member=%s", member->record.name.text);
}

void pd_members_message_received(struct pd_members *members, struct pd_str name,
				 uint64_t incarnation, int64_t now_us)
{
	struct member *member;

	pthread_mutex_lock(&members->mutex);
	advance_time(members, now_us);
	member = find_live(members, name, incarnation);
	if (member)
		message_received_locked(members, member);
	pthread_mutex_unlock(&members->mutex);
}

static void change_state(struct pd_members *members, struct pd_str name, uint64_t incarnation,
			 enum pd_member_state state, int64_t now_us)
{
	struct member *member;

	pthread_mutex_lock(&members->mutex);
	advance_time(members, now_us);
	member = find_member(members, name);
	if (member && member->record.incarnation == incarnation)
		set_state(members, member, state);
	pthread_mutex_unlock(&members->mutex);
}

void pd_members_connection_refused(struct pd_members *members, struct pd_str name,
				   uint64_t incarnation, int64_t now_us)
{
	change_state(members, name, incarnation, PD_MEMBER_DEAD, now_us);
}

size_t pd_members_list_silent(struct pd_members *members, int64_t silence_us, int64_t now_us,
			      struct pd_member_record *out, size_t max)
{
	size_t count = 0;

	pthread_mutex_lock(&members->mutex);
	refresh(members, now_us);
	for (size_t i = 0; i < members->zone_count && count < max; i++) {
		if (members->now_us - members->zone[i]->silence_start_us > silence_us)
			out[count++] = members->zone[i]->record;
	}
	pthread_mutex_unlock(&members->mutex);
	return count;
}

bool pd_members_mark_lost(struct pd_members *members, const struct pd_member_record *record,
			  int64_t silence_us, int64_t now_us)
{
	struct member *member;
	bool lost;

	pthread_mutex_lock(&members->mutex);
	refresh(members, now_us);
	member = find_live(members, pd_name_str(&record->name), record->incarnation);
	lost = member && members->now_us - member->silence_start_us > silence_us;
	if (lost)
		set_state(members, member, PD_MEMBER_DEAD);
	pthread_mutex_unlock(&members->mutex);
	return lost;
}

void pd_members_mark_leaving(struct pd_members *members, struct pd_str name, uint64_t incarnation,
			     int64_t now_us)
{
	change_state(members, name, incarnation, PD_MEMBER_LEAVING, now_us);
}

void pd_members_heartbeat_sent(struct pd_members *members, struct pd_str name, uint64_t seq,
			       int64_t now_us)
{
	struct member *member;

	pthread_mutex_lock(&members->mutex);
	member = find_member(members, name);
	if (member) {
		struct sent_heartbeat *sent =
			&member->sent_heartbeats[member->next_sent_slot++ % SENT_HEARTBEATS_MAX];

		*sent = (struct sent_heartbeat){seq, now_us};
	}
	pthread_mutex_unlock(&members->mutex);
}

/* Removes heartbeat @seq from the ring buffer; false when it isn't there. */
static bool remove_sent_heartbeat(struct member *member, uint64_t seq, int64_t *sent_at_us)
{
	for (unsigned int i = 0; i < SENT_HEARTBEATS_MAX; i++) {
		struct sent_heartbeat *sent = &member->sent_heartbeats[i];

		if (sent->seq != seq || !sent->sent_at_us)
			continue;
		*sent_at_us = sent->sent_at_us;
		sent->sent_at_us = 0;
		return true;
	}
	return false;
}

void pd_members_heartbeat_acked(struct pd_members *members, struct pd_str name,
				const struct pd_msg_heartbeat_ack *ack, int64_t now_us)
{
	struct member *member;
	int64_t sent_us;

	pthread_mutex_lock(&members->mutex);
	/* A pause since the heartbeat was sent empties the ring, which voids the grant. */
	refresh(members, now_us);
	member = find_live(members, name, ack->incarnation);
	if (member) {
		message_received_locked(members, member);
		if (remove_sent_heartbeat(member, ack->seq, &sent_us) && ack->granted &&
		    sent_us + PD_LEASE_TERM_US > member->grant_until_us) {
			member->grant_until_us = sent_us + PD_LEASE_TERM_US;
			members->lease_valid = false;
			if (in_own_zone(members, member))
				confirm_locked(members, member->record.name.text);
		}
	}
	pthread_mutex_unlock(&members->mutex);
}

bool pd_members_may_grant(struct pd_members *members, struct pd_str name, uint64_t incarnation,
			  uint64_t zone_digest, int64_t now_us)
{
	struct member *member;
	bool allowed = false;

	pthread_mutex_lock(&members->mutex);
	advance_time(members, now_us);
	member = find_live(members, name, incarnation);
	if (member) {
		message_received_locked(members, member);
		rebuild(members);
		allowed = members->confirmed && in_own_zone(members, member) &&
			  zone_digest == members->zone_digest;
	}
	pthread_mutex_unlock(&members->mutex);
	return allowed;
}

/* -- ownership -- */

/*
 * Returns the earliest end of the grants that this instance needs, as a monotonic time in
 * microseconds. If it needs none, the lease ends a full term from now.
 */
static int64_t lease_end(struct pd_members *m)
{
	if (m->zone_count == m->silent_count)
		return m->now_us + PD_LEASE_TERM_US;
	if (m->lease_valid)
		return m->lease_end_us;
	m->lease_end_us = INT64_MAX;
	for (size_t i = 0; i < m->zone_count; i++) {
		const struct member *member = m->zone[i];

		if (!member->silent && member->grant_until_us < m->lease_end_us)
			m->lease_end_us = member->grant_until_us;
	}
	m->lease_valid = true;
	return m->lease_end_us;
}

static void count_lease_lapse(struct pd_members *m)
{
	bool held = lease_end(m) > m->now_us;

	if (m->lease_held && !held)
		pd_count(PD_COUNT_lease_lapses);
	m->lease_held = held;
}

bool pd_members_tick(struct pd_members *members, int64_t now_us)
{
	bool paused;

	pthread_mutex_lock(&members->mutex);
	refresh(members, now_us);
	members->last_tick_us = members->now_us;
	paused = members->pause_unreported;
	members->pause_unreported = false;
	count_lease_lapse(members);
	pthread_mutex_unlock(&members->mutex);
	return paused;
}

static void compute_rank(struct pd_members *m, struct rank_entry *entry, uint64_t key_hash)
{
	entry->ranks_valid = true;
	entry->first_excluding_silent = true;
	entry->first_including_silent = true;
	for (size_t i = 0; i < m->zone_count; i++) {
		if (!outranks_self(m, m->zone[i], key_hash))
			continue;
		entry->first_including_silent = false;
		if (m->zone[i]->silent)
			continue;
		entry->first_excluding_silent = false;
		return;
	}
}

static bool entry_is_current(const struct pd_members *m, const struct rank_entry *entry,
			     struct pd_str upstream)
{
	return entry->generation == m->generation &&
	       pd_str_equal(pd_name_str(&entry->upstream), upstream);
}

/*
 * Returns the cache entry of @upstream (at most PD_NAME_MAX_BYTES bytes), reset if it isn't
 * current. Each upstream has two possible slots, so that two upstreams with the same first slot
 * don't keep displacing each other.
 */
static struct rank_entry *get_rank_entry(struct pd_members *m, struct pd_str upstream,
					 uint64_t key_hash)
{
	struct rank_entry *entry = &m->rank_cache[key_hash % RANK_CACHE_SLOTS];
	struct rank_entry *other = &m->rank_cache[(key_hash >> 32) % RANK_CACHE_SLOTS];

	if (entry_is_current(m, entry, upstream))
		return entry;
	if (entry_is_current(m, other, upstream))
		return other;
	if (entry->generation == m->generation)
		entry = other;
	entry->generation = m->generation;
	entry->ranks_valid = false;
	entry->candidates_valid = false;
	pd_str_copy(upstream, entry->upstream.text, sizeof(entry->upstream.text));
	entry->upstream.len = (uint8_t)upstream.len;
	return entry;
}

static enum pd_ownership ownership_locked(struct pd_members *m, struct pd_str upstream,
					  bool *first_including_silent, int64_t *valid_until_us)
{
	uint64_t key_hash = pd_str_hash(upstream, 0);
	struct rank_entry *entry = get_rank_entry(m, upstream, key_hash);
	int64_t end_us = lease_end(m);

	if (!entry->ranks_valid)
		compute_rank(m, entry, key_hash);
	if (!entry->first_excluding_silent)
		return PD_OWNER_NO;
	if (!m->confirmed || end_us <= m->now_us)
		return PD_OWNER_PENDING;
	*first_including_silent = entry->first_including_silent;
	*valid_until_us = end_us;
	return m->silent_count ? PD_OWNER_SHARED : PD_OWNER_FULL;
}

enum pd_ownership pd_members_ownership(struct pd_members *members, struct pd_str upstream,
				       struct pd_str zone, int64_t now_us,
				       bool *first_including_silent, int64_t *valid_until_us)
{
	enum pd_ownership ownership = PD_OWNER_NO;

	*first_including_silent = false;
	*valid_until_us = 0;
	pthread_mutex_lock(&members->mutex);
	refresh(members, now_us);
	if (!members->resigned && upstream.len <= PD_NAME_MAX_BYTES &&
	    pd_str_equal(zone, pd_name_str(&members->self.zone)))
		ownership =
			ownership_locked(members, upstream, first_including_silent, valid_until_us);
	pthread_mutex_unlock(&members->mutex);
	return ownership;
}

/* -- queries -- */

static bool record_ranks_above(const struct pd_member_record *a, const struct pd_member_record *b,
			       uint64_t key_hash)
{
	return ranks_above(score_of(key_hash, member_hash(pd_name_str(&a->name))), &a->name,
			   score_of(key_hash, member_hash(pd_name_str(&b->name))), &b->name);
}

/* Inserts @record at its rank, if it's among the CANDIDATES_MAX highest. */
static void insert_candidate(struct rank_entry *entry, const struct pd_member_record *record,
			     uint64_t key_hash)
{
	size_t i = entry->candidate_count;

	if (i == CANDIDATES_MAX) {
		if (!record_ranks_above(record, entry->candidates[i - 1], key_hash))
			return;
		i--;
	} else {
		entry->candidate_count++;
	}
	for (; i > 0 && record_ranks_above(record, entry->candidates[i - 1], key_hash); i--)
		entry->candidates[i] = entry->candidates[i - 1];
	entry->candidates[i] = record;
}

static void list_candidates(struct pd_members *m, struct rank_entry *entry, struct pd_str zone,
			    uint64_t key_hash)
{
	entry->candidates_valid = true;
	entry->candidate_count = 0;
	pd_str_copy(zone, entry->zone.text, sizeof(entry->zone.text));
	entry->zone.len = (uint8_t)zone.len;
	if (!m->resigned && pd_str_equal(pd_name_str(&m->self.zone), zone))
		insert_candidate(entry, &m->self, key_hash);
	for (size_t i = 0; i < m->count; i++) {
		const struct member *member = m->all[i];

		if (member->record.state == PD_MEMBER_LIVE && !member->silent &&
		    pd_str_equal(pd_name_str(&member->record.zone), zone))
			insert_candidate(entry, &member->record, key_hash);
	}
}

size_t pd_members_candidates(struct pd_members *members, struct pd_str upstream, struct pd_str zone,
			     struct pd_member_record *out, size_t max)
{
	uint64_t key_hash = pd_str_hash(upstream, 0);
	struct rank_entry *entry;
	size_t count = 0;

	if (upstream.len > PD_NAME_MAX_BYTES || zone.len > PD_NAME_MAX_BYTES)
		return 0;
	pthread_mutex_lock(&members->mutex);
	rebuild(members);
	entry = get_rank_entry(members, upstream, key_hash);
	if (!entry->candidates_valid || !pd_str_equal(pd_name_str(&entry->zone), zone))
		list_candidates(members, entry, zone, key_hash);
	for (; count < max && count < entry->candidate_count; count++)
		out[count] = *entry->candidates[count];
	pthread_mutex_unlock(&members->mutex);
	return count;
}

bool pd_members_outranks(struct pd_members *members, struct pd_str name, struct pd_str upstream)
{
	const struct member *member;
	bool above;

	pthread_mutex_lock(&members->mutex);
	member = find_member(members, name);
	above = member && member->record.state == PD_MEMBER_LIVE && in_own_zone(members, member) &&
		outranks_self(members, member, pd_str_hash(upstream, 0));
	pthread_mutex_unlock(&members->mutex);
	return above;
}

void pd_members_resign(struct pd_members *members)
{
	pthread_mutex_lock(&members->mutex);
	members->resigned = true;
	live_set_changed(members);
	pthread_mutex_unlock(&members->mutex);
}

uint64_t pd_members_digest(struct pd_members *members)
{
	uint64_t digest;

	pthread_mutex_lock(&members->mutex);
	rebuild(members);
	digest = members->digest;
	pthread_mutex_unlock(&members->mutex);
	return digest;
}

uint64_t pd_members_zone_digest(struct pd_members *members)
{
	uint64_t digest;

	pthread_mutex_lock(&members->mutex);
	rebuild(members);
	digest = members->zone_digest;
	pthread_mutex_unlock(&members->mutex);
	return digest;
}

struct pd_member_record pd_members_self(struct pd_members *members)
{
	struct pd_member_record self;

	pthread_mutex_lock(&members->mutex);
	self = members->self;
	pthread_mutex_unlock(&members->mutex);
	return self;
}

bool pd_members_find(struct pd_members *members, struct pd_str name, struct pd_member_record *out)
{
	const struct member *member;

	pthread_mutex_lock(&members->mutex);
	member = find_member(members, name);
	if (member)
		*out = member->record;
	pthread_mutex_unlock(&members->mutex);
	return member != NULL;
}

size_t pd_members_list(struct pd_members *members, struct pd_member_record *out, size_t max)
{
	size_t count = 0;

	pthread_mutex_lock(&members->mutex);
	if (max)
		out[count++] = members->self;
	for (size_t i = 0; i < members->count && count < max; i++)
		out[count++] = members->all[i]->record;
	pthread_mutex_unlock(&members->mutex);
	return count;
}

bool pd_members_is_watcher(struct pd_members *members, int64_t now_us)
{
	uint64_t key_hash = pd_str_hash(pd_name_str(&members->self.zone), 1);
	size_t above = 0;

	pthread_mutex_lock(&members->mutex);
	refresh(members, now_us);
	for (size_t i = 0; i < members->zone_count; i++) {
		if (!members->zone[i]->silent && outranks_self(members, members->zone[i], key_hash))
			above++;
	}
	pthread_mutex_unlock(&members->mutex);
	return above < WATCHERS_PER_ZONE;
}
