/**
 * DOC: Permission to send a request to an upstream
 *
 * Several parties restrict what may be sent to an upstream: its entry on the platform (draining,
 * removed), its own responses (leaving, a pause, a rate limit), operators (evacuated zones), and
 * the evidence of this process (another instance at the address, an unreachable zone, a cold start,
 * ejection). This module combines them: every request to an upstream needs a permit, which states
 * why a request may not be sent and from when it may.
 *
 * What an upstream states in its responses holds for one start of it. It outlives the upstream's
 * entry: an entry that is removed and written again doesn't end it, while another start of the
 * upstream, or another upstream at the same address, begins without it.
 *
 * The registry's lock guards everything here. Points in time are in microseconds of
 * pd_os_boot_us(), which also counts the time for which the machine is suspended.
 */
#ifndef PD_PERMIT_H
#define PD_PERMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "rate_limit.h"

struct pd_registry;
struct pd_upstream;

/* A request is sent within this time after its permit was given, or not at all: the process may
 * have been suspended in between, and what the permit was based on may have changed. It exceeds the
 * time limit for connecting.
 */
#define PD_PERMIT_VALID_US 400000

/**
 * enum pd_block - reason for which an upstream may not get a request now
 *
 * Those up to PD_BLOCK_UNREACHABLE have no known end.
 */
enum pd_block {
	PD_BLOCK_NONE, /* a request may be sent */
	PD_BLOCK_NO_UPSTREAM, /* the service has no upstream that wasn't tried */
	PD_BLOCK_REMOVED, /* the upstream's entry was removed */
	PD_BLOCK_REPLACED, /* another instance responded at the address */
	PD_BLOCK_DRAINING, /* the upstream's entry states that it is draining */
	PD_BLOCK_LEAVING, /* a response of the upstream states that it is leaving */
	PD_BLOCK_VERSION, /* the upstream's version isn't permitted, or not for this request */
	PD_BLOCK_EVACUATED, /* operators have evacuated the zone */
	PD_BLOCK_UNREACHABLE, /* the zone is assumed to be unreachable */
	PD_BLOCK_PAUSED, /* the upstream has asked for a pause */
	PD_BLOCK_RATE_LIMITED, /* this instance's share of the stated rate limit is used up */
	PD_BLOCK_COLD_LIMITED, /* this instance's share of the limit of the cold start is used up */
};

/* Returns the name of a reason, for logs. */
const char *pd_block_name(enum pd_block block);

/** enum pd_version_use - requests that an upstream may get by its version. */
enum pd_version_use {
	PD_VERSION_ANY, /* all */
	PD_VERSION_CANARY, /* a share of the first attempts, no hedges and no retries */
	PD_VERSION_LAST, /* those for which no upstream of the other version can be used */
	PD_VERSION_BARRED, /* none */
};

/**
 * struct pd_permit - whether a request may be sent
 * @block: PD_BLOCK_NONE if it may be sent, or else the reason why not
 * @wait_us: time until the reason ends, in microseconds; 0 without a reason, PD_PERMIT_NEVER if its
 *	end isn't known
 * @ejected: the upstream has failed lately; it is used only if no other one can be
 * @cold: the upstream is in its cold start; it is used only if no warm one can be
 * @unanswered: a request is in flight to the upstream, and none has been answered yet, so that its
 *	limits aren't known; another one is sent only if no other upstream can be used
 * @use: requests that the upstream may get by its version
 */
struct pd_permit {
	enum pd_block block;
	int64_t wait_us;
	bool ejected;
	bool cold;
	bool unanswered;
	enum pd_version_use use;
};

#define PD_PERMIT_NEVER INT64_MAX

/**
 * struct pd_directives - what a response states about further requests to the upstream
 * @leaving: the upstream is leaving and wants no further requests
 * @has_pause: the upstream wants no requests from this instance for @pause_s
 * @pause_s: length of the pause in seconds; at most PD_PAUSE_MAX_S
 * @has_limit: the upstream states a rate limit
 * @limit_per_s: number of requests per second that the upstream takes from all instances together
 */
struct pd_directives {
	bool leaving;
	bool has_pause;
	double pause_s;
	bool has_limit;
	double limit_per_s;
};

/* Longer pauses count as this long, in seconds. */
#define PD_PAUSE_MAX_S 86400.0

/**
 * struct pd_terms - what one start of an upstream has stated, and the use of its limits
 * @answered: it has sent a response to this process
 * @leaving: it is leaving; this has no end
 * @paused_until_us: end of its pause; 0 or past if there is none
 * @rate_limit: rate limit that it states
 * @cold_limit: rate limit of the service's upstreams during their cold start; only active while the
 *	upstream is cold
 * @limit_stated_us: time at which a response last stated a rate limit
 * @limit_changed_us: time at which @rate_limit was last set to another limit or ended
 * @sent_count: number of requests that this process sent since @limit_changed_us
 * @sent_lately: number of requests that this process sent, of which each counts half as much after
 *	half a second; as of @sent_us
 * @sent_us: time at which a request was last sent
 */
struct pd_terms {
	bool answered;
	bool leaving;
	int64_t paused_until_us;
	struct pd_rate_limit rate_limit;
	struct pd_rate_limit cold_limit;
	int64_t limit_stated_us;
	int64_t limit_changed_us;
	uint32_t sent_count;
	double sent_lately;
	int64_t sent_us;
};

/* Returns whether a request may be sent to the upstream now. */
struct pd_permit pd_permit_check_locked(struct pd_registry *registry, struct pd_upstream *upstream,
					int64_t now_us);
/* Whether the upstream gets no requests any more, for a reason of its own rather than its zone's:
 * connections to it needn't be kept.
 */
bool pd_permit_is_final_locked(const struct pd_upstream *upstream);
/* Whether a connection to the upstream may be opened, without a request, to find out if its
 * unreachable zone is reachable again.
 */
bool pd_permit_allows_probe_locked(const struct pd_upstream *upstream, int64_t now_us);
/* Returns the better one of two permits: the one that is given, or that will be given earlier. */
struct pd_permit pd_permit_better(struct pd_permit a, struct pd_permit b);
/* Counts a request that is sent now towards the limits of the upstream. */
void pd_permit_consume_locked(struct pd_upstream *upstream, int64_t now_us);
/* Records that a response states that the upstream is leaving or wants a pause. */
void pd_permit_record_locked(struct pd_registry *registry, struct pd_upstream *upstream,
			     const struct pd_directives *directives, int64_t now_us);
/**
 * pd_permit_record_limit_locked() - records the rate limit that a response states, or its end
 * @registry: registry
 * @upstream: upstream that sent the response
 * @directives: what the response states
 * @sent_us: time at which the request was sent if the response is a success; 0 otherwise. A limit
 *	ends with a success without it, unless the request was sent before the limit was stated.
 * @now_us: current time
 */
void pd_permit_record_limit_locked(struct pd_registry *registry, struct pd_upstream *upstream,
				   const struct pd_directives *directives, int64_t sent_us,
				   int64_t now_us);
/* Whether instances that start should know the upstream's rate limit from this one: it has stated
 * it in a response to this instance lately. */
bool pd_permit_passes_limit_on_locked(const struct pd_upstream *upstream, int64_t now_us);
/* Takes over the rate limit that another instance knows, for an upstream of which this instance
 * knows none: it has just started. */
void pd_permit_inherit_limit_locked(struct pd_registry *registry, struct pd_upstream *upstream,
				    double limit_per_s, int64_t now_us);
/* Computes the shares of this instance in all rate limits again, for other instances. */
void pd_permit_update_shares_locked(struct pd_registry *registry);

#endif
