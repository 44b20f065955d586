/**
 * DOC: Table of requests that may crash upstreams (suspects)
 *
 * A request is identified by its fingerprint. A suspect may run only in isolation, and after
 * further crashes it is blocked. The table has a bounded size and is thread-safe. The current time
 * is passed in as @now_us (monotonic, in microseconds).
 */
#ifndef PD_SUSPECTS_H
#define PD_SUSPECTS_H

#include "config.h"
#include "members.h"

#define PD_SUSPECTS_MAX		    1024 /* entries in the table */
#define PD_SUSPECT_TTL_US	    (60 * PD_USEC_PER_SEC) /* from the last crash until the entry expires */
#define PD_SUSPECT_BLOCKED_TTL_US   (600 * PD_USEC_PER_SEC) /* the same for a blocked request */
#define PD_SUSPECT_BLOCKING_CRASHES 2 /* counted crashes after which a request is blocked */

/** enum pd_suspect_decision - whether and how a request may run on an upstream */
enum pd_suspect_decision {
	PD_SUSPECT_ALLOW = 0, /* without restriction */
	PD_SUSPECT_ISOLATE, /* only while no other request is in flight to that upstream */
	PD_SUSPECT_REJECT, /* not on that upstream; it may still be allowed on another one */
};

struct pd_suspects;

enum pd_code pd_suspects_open(struct pd_suspects **suspects, struct pd_error *err);
void pd_suspects_close(struct pd_suspects *suspects);

/**
 * pd_suspects_record_crash() - records that @upstream crashed with @fingerprint in flight
 * @isolated: no other request was in flight to @upstream
 *
 * The first crash makes the request a suspect. Further crashes count only if it ran in isolation: a
 * harmless query that is sent to several services can be in flight to several upstreams while
 * another request crashes them.
 * Return: number of counted crashes; with PD_SUSPECT_BLOCKING_CRASHES or more it is blocked.
 */
uint32_t pd_suspects_record_crash(struct pd_suspects *suspects, uint64_t fingerprint,
				  const struct pd_name *upstream, bool isolated, int64_t now_us);
/**
 * pd_suspects_record_success() - records that @fingerprint ran in isolation and succeeded
 * @upstream: index of the upstream in @config
 * @out: filled with the message for the peers if the function returns true
 *
 * Removes one recorded crash of an upstream of the same service. Crashes in other services stay
 * recorded, because success in this service doesn't show that the request is safe there. A blocked
 * request stays blocked.
 * Return: true if a crash in that service was recorded and has been removed.
 */
bool pd_suspects_record_success(struct pd_suspects *suspects, uint64_t fingerprint,
				const struct pd_config *config, uint32_t upstream,
				struct pd_msg_suspect *out, int64_t now_us);
/*
 * Merges a message from a peer into the table. A message with 0 crashes removes the recorded crash
 * of the upstream that it names.
 */
void pd_suspects_merge(struct pd_suspects *suspects, const struct pd_msg_suspect *msg,
		       int64_t now_us);

/**
 * pd_suspects_check() - decides whether @fingerprint may run on @upstream
 * @upstream: index of the upstream in @config
 *
 * A suspect may run only on the designated upstream of the service, and in isolation. The
 * designated upstream is chosen by rendezvous hashing of the fingerprint over the upstreams of the
 * service that did not crash. There is none once two upstreams of the service have crashed.
 */
enum pd_suspect_decision pd_suspects_check(struct pd_suspects *suspects, uint64_t fingerprint,
					   const struct pd_config *config, uint32_t upstream,
					   int64_t now_us);
/* Fills @out with the message about @fingerprint for the peers; false if it isn't in the table. */
bool pd_suspects_fill_msg(struct pd_suspects *suspects, uint64_t fingerprint,
			  struct pd_msg_suspect *out, int64_t now_us);
/* Returns the number of entries, which includes expired ones that were not removed yet. */
size_t pd_suspects_count(struct pd_suspects *suspects);

#endif
