/**
 * DOC: Fingerprints of requests that may crash upstreams
 *
 * Bounded table; time is a parameter. Thread-safe.
 */
#ifndef PD_SUSPECTS_H
#define PD_SUSPECTS_H

#include "config.h"
#include "members.h"

#define PD_SUSPECTS_MAX		    1024
#define PD_SUSPECT_TTL_US	    (60 * PD_USEC_PER_SEC)
#define PD_SUSPECT_BLOCKED_TTL_US   (600 * PD_USEC_PER_SEC)
#define PD_SUSPECT_BLOCKING_CRASHES 2

/** enum pd_suspect_decision - how a request may run. */
enum pd_suspect_decision {
	PD_SUSPECT_ALLOW = 0,
	PD_SUSPECT_ISOLATE, /* only with nothing else in flight on that upstream */
	PD_SUSPECT_REJECT, /* not on this upstream, or not at all */
};

struct pd_suspects;

enum pd_code pd_suspects_open(struct pd_suspects **suspects, struct pd_error *err);
void pd_suspects_close(struct pd_suspects *suspects);

/**
 * pd_suspects_record_crash() - records that @upstream crashed with @fingerprint in flight
 * @alone: nothing else was in flight there
 *
 * The first crash makes a suspect. Only a crash while running alone counts after that, because a
 * request that spans services can share several crashed upstreams with the one that is at fault.
 * Return: the number of crashes that count; PD_SUSPECT_BLOCKING_CRASHES or more is refused.
 */
uint32_t pd_suspects_record_crash(struct pd_suspects *suspects, uint64_t fingerprint,
				  const struct pd_name *upstream, bool alone, int64_t now_us);
/**
 * pd_suspects_record_success() - @fingerprint ran alone to its end on @upstream
 * @out: filled with what to tell peers when the result is true
 *
 * Takes back the crash of the same service's other upstream; crashes in other services stay, since
 * success here says nothing about them. Nothing is taken back once it is refused.
 * Return: true if it was a suspect of a crash in that service.
 */
bool pd_suspects_record_success(struct pd_suspects *suspects, uint64_t fingerprint,
				const struct pd_config *config, uint32_t upstream,
				struct pd_msg_suspect *out, int64_t now_us);
/* Merges what a peer says; 0 crashes take the crash of the named upstream back. */
void pd_suspects_merge(struct pd_suspects *suspects, const struct pd_msg_suspect *msg,
		       int64_t now_us);

/**
 * pd_suspects_check() - whether @fingerprint may run on @upstream
 *
 * With one known crash, only the designated upstream of the service may run it (rendezvous of the
 * fingerprint over the service's upstreams without the crashed ones), and none when two upstreams
 * of the service crashed under it.
 */
enum pd_suspect_decision pd_suspects_check(struct pd_suspects *suspects, uint64_t fingerprint,
					   const struct pd_config *config, uint32_t upstream,
					   int64_t now_us);
/* Fills @out with what to tell peers about @fingerprint; false when it isn't a suspect. */
bool pd_suspects_fill_msg(struct pd_suspects *suspects, uint64_t fingerprint,
			  struct pd_msg_suspect *out, int64_t now_us);
size_t pd_suspects_count(struct pd_suspects *suspects);

#endif
