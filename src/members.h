/**
 * DOC: Membership of the fleet, and ownership of upstreams
 *
 * Holds the table of all known entry instances (members) with their states, the leases that the
 * members of this instance's zone grant each other, and the rendezvous-hashing ranks that decide
 * which member owns an upstream. A member is silent when no message from it has arrived for
 * PD_LEASE_TERM_US plus PD_LEASE_MARGIN_US. A longer gap between calls of pd_members_tick() than
 * PD_PAUSE_THRESHOLD_US means that this process was paused.
 *
 * The current time is a parameter, so that tests can set it; @now_us, @sent_us and similar values
 * are monotonic times in microseconds. Thread-safe.
 */
#ifndef PD_MEMBERS_H
#define PD_MEMBERS_H

#include "message.h"

#define PD_HEARTBEAT_INTERVAL_US (200 * PD_USEC_PER_MSEC)
#define PD_LEASE_TERM_US	 (1500 * PD_USEC_PER_MSEC) /* from the sending of the heartbeat */
#define PD_LEASE_MARGIN_US	 (500 * PD_USEC_PER_MSEC) /* added to it until a member is silent */
#define PD_PAUSE_THRESHOLD_US	 (500 * PD_USEC_PER_MSEC)
/* Time without data after which a connection to a peer of the same zone is closed. */
#define PD_PEER_IDLE_TIMEOUT_US (600 * PD_USEC_PER_MSEC)
/*
 * Time without a message after which a member that the platform doesn't list is marked as dead.
 * Well above the delay with which a new member appears in the platform's list.
 */
#define PD_MEMBER_LOST_TIMEOUT_US (10 * PD_USEC_PER_SEC)

/** enum pd_ownership - whether this instance may send requests to an upstream now */
enum pd_ownership {
	/*
	 * Another live member that isn't silent ranks first, the upstream is in another zone, or
	 * this instance has resigned.
	 */
	PD_OWNER_NO = 0,
	PD_OWNER_PENDING, /* ranks first, but its table isn't confirmed or a grant is missing */
	PD_OWNER_SHARED, /* may use half of the slots: a silent member may own it, too */
	PD_OWNER_FULL, /* the only owner: may use all slots */
};

struct pd_members;

/* Creates a table that holds only this instance, as a live member. */
enum pd_code pd_members_open(struct pd_members **members, const struct pd_member_record *self,
			     int64_t now_us, struct pd_error *err);
void pd_members_close(struct pd_members *members);

/**
 * pd_members_confirm() - marks the table as complete: it holds all members that the platform lists
 *
 * Until this call, or the first grant from a member of its zone, this instance owns no upstream and
 * grants no lease: its table may lack members that own upstreams. A grant confirms the table as
 * well, because the granting member's table is confirmed and lists the same live members of the
 * zone. A confirmed table stays confirmed.
 */
void pd_members_confirm(struct pd_members *members);
bool pd_members_confirmed(struct pd_members *members);

/**
 * pd_members_merge() - merges a record from the platform, a peer's member list or a hello message
 *
 * A higher incarnation replaces a lower one; within an incarnation, a later state replaces an
 * earlier one (live, leaving, dead). When a record reports this instance as leaving or dead, the
 * instance raises its incarnation; when it has a higher incarnation, a newer process uses the name
 * and this one resigns.
 * Return: true when the table changed.
 */
bool pd_members_merge(struct pd_members *members, const struct pd_member_record *record,
		      int64_t now_us);

/* Restarts the silence timer of @name, if this incarnation of it is live. */
void pd_members_message_received(struct pd_members *members, struct pd_str name,
				 uint64_t incarnation, int64_t now_us);
/* Marks this incarnation of @name as dead, because its address refuses connections. */
void pd_members_connection_refused(struct pd_members *members, struct pd_str name,
				   uint64_t incarnation, int64_t now_us);
/**
 * pd_members_list_silent() - lists the live members of this zone without a recent message
 * @silence_us: lists members whose last message arrived longer ago than this, in microseconds
 * @out: receives up to @max records
 *
 * Return: number of records stored.
 */
size_t pd_members_list_silent(struct pd_members *members, int64_t silence_us, int64_t now_us,
			      struct pd_member_record *out, size_t max);
/**
 * pd_members_mark_lost() - marks a silent member as dead that the platform no longer lists
 * @record: a result of pd_members_list_silent(), missing from a list that was read after that call
 * @silence_us: as passed to pd_members_list_silent()
 *
 * Its host has failed. Does nothing if a message from the member has arrived meanwhile.
 * Return: true when the table changed.
 */
bool pd_members_mark_lost(struct pd_members *members, const struct pd_member_record *record,
			  int64_t silence_us, int64_t now_us);
/* Marks this incarnation of @name as leaving. */
void pd_members_mark_leaving(struct pd_members *members, struct pd_str name, uint64_t incarnation,
			     int64_t now_us);

/* Records that heartbeat @seq is being sent to @name. */
void pd_members_heartbeat_sent(struct pd_members *members, struct pd_str name, uint64_t seq,
			       int64_t now_us);
/*
 * Processes an acknowledgement from @name. The lease that it may grant lasts PD_LEASE_TERM_US from
 * the time at which the acknowledged heartbeat was sent.
 */
void pd_members_heartbeat_acked(struct pd_members *members, struct pd_str name,
				const struct pd_msg_heartbeat_ack *ack, int64_t now_us);

/**
 * pd_members_may_grant() - checks whether the table allows granting a lease for a heartbeat
 * @name: sender of the heartbeat
 * @incarnation: incarnation of the sender
 * @zone_digest: the sender's digest of its zone, from the heartbeat
 * @now_us: time at which the heartbeat arrived
 *
 * The sender must be a live member of this zone, and both sides must know the same live members:
 * otherwise a new member that knows only some of them could become the owner of an upstream that a
 * member unknown to it owns. The table must be confirmed, so that two new members that know only
 * each other don't confirm each other.
 *
 * Restarts the sender's silence timer, so that this instance no longer owns the upstreams for which
 * the sender ranks first. After this call and before it grants the lease, the caller must check
 * that no requests to these upstreams are in flight.
 */
bool pd_members_may_grant(struct pd_members *members, struct pd_str name, uint64_t incarnation,
			  uint64_t zone_digest, int64_t now_us);

/*
 * Must be called at least every PD_HEARTBEAT_INTERVAL_US. Returns true when a pause of this process
 * (longer than PD_PAUSE_THRESHOLD_US) has been detected since the last call.
 */
bool pd_members_tick(struct pd_members *members, int64_t now_us);

/**
 * pd_members_ownership() - returns whether this instance may send requests to @upstream now
 * @zone: the upstream's zone
 * @first_including_silent: set to whether this instance ranks first among all live members of the
 * zone, silent ones included
 * @valid_until_us: set to the monotonic time at which the lease ends, in microseconds
 */
enum pd_ownership pd_members_ownership(struct pd_members *members, struct pd_str upstream,
				       struct pd_str zone, int64_t now_us,
				       bool *first_including_silent, int64_t *valid_until_us);

/**
 * pd_members_candidates() - lists the members of @zone that may own @upstream, highest rank first
 * @out: receives the records of live members that aren't silent
 * @max: capacity of @out, in records
 *
 * Return: number of records stored, at most 4.
 */
size_t pd_members_candidates(struct pd_members *members, struct pd_str upstream, struct pd_str zone,
			     struct pd_member_record *out, size_t max);

/* True when @name is a live member of this zone that ranks above this instance for @upstream. */
bool pd_members_outranks(struct pd_members *members, struct pd_str name, struct pd_str upstream);
/* Gives up all ownership: pd_members_ownership() returns PD_OWNER_NO from now on. */
void pd_members_resign(struct pd_members *members);

/* Digest of all records; equal tables have equal digests. */
uint64_t pd_members_digest(struct pd_members *members);
/* Digest of the live records of this instance's zone, itself included. */
uint64_t pd_members_zone_digest(struct pd_members *members);
/* Returns this instance's record. pd_members_merge() may have raised its incarnation. */
struct pd_member_record pd_members_self(struct pd_members *members);
/* Copies the record of another member to @out; false when the table holds none of that name. */
bool pd_members_find(struct pd_members *members, struct pd_str name, struct pd_member_record *out);
/* Copies up to @max records to @out, this instance's first; returns the number copied. */
size_t pd_members_list(struct pd_members *members, struct pd_member_record *out, size_t max);
/* Whether this instance is one of the two of its zone that watch the platform for changes. */
bool pd_members_is_watcher(struct pd_members *members, int64_t now_us);
/* Rendezvous-hashing score of @member for @key; the member with the highest score ranks first. */
uint64_t pd_rendezvous_score(struct pd_str key, struct pd_str member);

#endif
