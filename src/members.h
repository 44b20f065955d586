/**
 * DOC: Members of the fleet, and who owns an upstream
 *
 * The table of all known entry instances with what is known of their life, the pairwise grants
 * between members of this instance's zone, and rendezvous ranks. Time is a parameter, so that tests
 * can set it. Thread-safe.
 */
#ifndef PD_MEMBERS_H
#define PD_MEMBERS_H

#include "message.h"

#define PD_HEARTBEAT_US		(200 * PD_USEC_PER_MSEC)
#define PD_LEASE_TERM_US	(1500 * PD_USEC_PER_MSEC)
#define PD_LEASE_MARGIN_US	(500 * PD_USEC_PER_MSEC)
#define PD_PAUSE_THRESHOLD_US	(500 * PD_USEC_PER_MSEC)
#define PD_PEER_IDLE_TIMEOUT_US (600 * PD_USEC_PER_MSEC)
/* Well above the lag of the platform's list, in which a new member appears late. */
#define PD_MEMBER_LOST_TIMEOUT_US (10 * PD_USEC_PER_SEC)

/** enum pd_ownership - whether this instance may send to an upstream now. */
enum pd_ownership {
	PD_OWNER_NO = 0, /* another live member ranks first */
	PD_OWNER_PENDING, /* ranks first, but the table isn't confirmed or a grant is missing */
	PD_OWNER_SHARED, /* owner, but a silent member may own it too: half the slots */
	PD_OWNER_FULL,
};

struct pd_members;

/* Opens the table with this instance as its first member. */
enum pd_code pd_members_open(struct pd_members **members, const struct pd_member_record *self,
			     int64_t now_us, struct pd_error *err);
void pd_members_close(struct pd_members *members);

/**
 * pd_members_confirm() - the table holds all members that the platform lists
 *
 * Until this call, or the first grant of a zone member, this instance owns nothing and grants
 * nothing: it may know one member only, beside which others own the upstreams. A grant implies
 * equal tables and comes from a confirmed one. A confirmed table stays so.
 */
void pd_members_confirm(struct pd_members *members);
bool pd_members_confirmed(struct pd_members *members);

/**
 * pd_members_merge() - merges a record from the platform, a peer or a hello
 *
 * A higher incarnation replaces a lower one; of the same incarnation a later state wins (live,
 * leaving, dead). Return: true when the table changed.
 */
bool pd_members_merge(struct pd_members *members, const struct pd_member_record *record,
		      int64_t now_us);

/* Something arrived from this incarnation of @name. */
void pd_members_message_received(struct pd_members *members, struct pd_str name,
				 uint64_t incarnation, int64_t now_us);
/* The address of @name refuses connections: that incarnation is dead. */
void pd_members_connection_refused(struct pd_members *members, struct pd_str name,
				   uint64_t incarnation, int64_t now_us);
/**
 * pd_members_list_silent() - the live members of this zone from which nothing came for @silence_us
 * @out: stores up to @max records
 * Return: number stored.
 */
size_t pd_members_list_silent(struct pd_members *members, int64_t silence_us, int64_t now_us,
			      struct pd_member_record *out, size_t max);
/**
 * pd_members_mark_lost() - the platform's list, read after the silence, doesn't hold @record any
 * more
 *
 * Its host is lost: the record becomes PD_MEMBER_DEAD unless something came from it since.
 * Return: true when the table changed.
 */
bool pd_members_mark_lost(struct pd_members *members, const struct pd_member_record *record,
			  int64_t silence_us, int64_t now_us);
void pd_members_mark_leaving(struct pd_members *members, struct pd_str name, uint64_t incarnation,
			     int64_t now_us);

/* A heartbeat to @name with @seq is sent now. */
void pd_members_heartbeat_sent(struct pd_members *members, struct pd_str name, uint64_t seq,
			       int64_t now_us);
/* @name acknowledged; a grant counts from the time at which heartbeat @seq was sent. */
void pd_members_heartbeat_acked(struct pd_members *members, struct pd_str name,
				const struct pd_msg_heartbeat_ack *ack, int64_t now_us);

/**
 * pd_members_may_grant() - whether a heartbeat of @name may be granted, as far as the table decides
 * @zone_digest: from the heartbeat
 * @now_us: time of arrival
 *
 * The sender must be a live member of this zone, and both sides must know the same live members: a
 * newcomer that only knows some members would otherwise own what an unknown member owns. The table
 * must be confirmed, so that two newcomers that know only each other don't confirm each other.
 * Marks the member as heard, so that this instance gives up what the sender ranks first for before
 * the caller checks for requests in flight.
 */
bool pd_members_may_grant(struct pd_members *members, struct pd_str name, uint64_t incarnation,
			  uint64_t zone_digest, int64_t now_us);

/* Called at least every PD_HEARTBEAT_US; notices a pause of this process. Returns true if it did.
 */
bool pd_members_tick(struct pd_members *members, int64_t now_us);

/**
 * pd_members_ownership() - whether this instance may send to @upstream now
 * @zone: the upstream's zone
 * @first_with_silent: stores whether this instance also ranks first when silent members count
 * @valid_until_us: stores the end of the lease (monotonic)
 */
enum pd_ownership pd_members_ownership(struct pd_members *members, struct pd_str upstream,
				       struct pd_str zone, int64_t now_us, bool *first_with_silent,
				       int64_t *valid_until_us);

/**
 * pd_members_candidates() - the live members of @zone for @upstream, best rank first
 * @out: names with addresses
 * @max: room in @out
 * Return: number stored, at most 4.
 */
size_t pd_members_candidates(struct pd_members *members, struct pd_str upstream, struct pd_str zone,
			     struct pd_member_record *out, size_t max);

/* True when @name (a live member) ranks above this instance for @upstream in this instance's zone.
 */
bool pd_members_outranks(struct pd_members *members, struct pd_str name, struct pd_str upstream);
/* This instance gives everything up: pd_members_ownership() says PD_OWNER_NO from now on. */
void pd_members_resign(struct pd_members *members);

uint64_t pd_members_digest(struct pd_members *members); /* equal tables have equal digests */
/* Digest of the live records of this instance's zone, itself included. */
uint64_t pd_members_zone_digest(struct pd_members *members);
/* This instance's record; its incarnation rises when a peer took this instance for dead. */
struct pd_member_record pd_members_self(struct pd_members *members);
/* Copies the record of @name; false when there is none. */
bool pd_members_find(struct pd_members *members, struct pd_str name, struct pd_member_record *out);
/* Copies up to @max records; returns the number. */
size_t pd_members_list(struct pd_members *members, struct pd_member_record *out, size_t max);
/* Whether this instance is one of the two that watch the platform for its zone. */
bool pd_members_is_watcher(struct pd_members *members, int64_t now_us);
/* Score of @member for @key; the highest ranks first. */
uint64_t pd_rendezvous_score(struct pd_str key, struct pd_str member);

#endif
