/**
 * DOC: Evidence of a roll-out: results of the requests to the old and the new version
 *
 * Each instance counts its own results. A ledger holds the counts of all instances that were heard,
 * by the number of their process (origin), so that a count that arrives twice, late or by two ways
 * is counted once: counts never fall, and the receiver takes the maximum. Not thread-safe.
 */
#ifndef PD_ROLLOUT_EVIDENCE_H
#define PD_ROLLOUT_EVIDENCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "datagram.h"
#include "str.h"

/* Histogram bins of latency, four for each doubling, from 256 us to 1 s. */
#define PD_ROLLOUT_BINS	       48
#define PD_ROLLOUT_STRATA_MAX  64
#define PD_ROLLOUT_ORIGINS_MAX 2048

/** enum pd_rollout_side - versions that are compared. */
enum pd_rollout_side {
	PD_ROLLOUT_OLD,
	PD_ROLLOUT_NEW,
	PD_ROLLOUT_SIDES,
};

/**
 * struct pd_rollout_counts - results of the requests to one version, cumulative
 * @ok: requests without a failure; late ones that were given up are among them
 * @failed: failed responses, and connections that broke after sending
 * @rejected: requests that the upstream rejected without running them
 * @latency: histogram of the latency; a request that was given up late counts by its age
 */
struct pd_rollout_counts {
	uint32_t ok;
	uint32_t failed;
	uint32_t rejected;
	uint32_t latency[PD_ROLLOUT_BINS];
};

/**
 * struct pd_rollout_stratum - results that can be compared: of one route and one zone of upstreams
 * @route: name of the route; empty if unknown
 * @zone: hash of the name of the upstreams' zone; 0 after pd_rollout_evidence_merge_zones()
 * @sides: results by enum pd_rollout_side
 */
struct pd_rollout_stratum {
	struct pd_name route;
	uint64_t zone;
	struct pd_rollout_counts sides[PD_ROLLOUT_SIDES];
};

/**
 * struct pd_rollout_evidence - counts of one instance or a sum of them; zeroed when empty
 * @strata: results by route and zone
 * @count: number of entries in @strata
 * @requests: first attempts, to any version
 * @sent: attempts by enum pd_rollout_side
 * @ended: attempts that have ended
 */
struct pd_rollout_evidence {
	struct pd_rollout_stratum *strata;
	size_t count;
	uint32_t requests;
	uint32_t sent[PD_ROLLOUT_SIDES];
	uint32_t ended[PD_ROLLOUT_SIDES];
};

void pd_rollout_evidence_finish(struct pd_rollout_evidence *evidence);
/* Returns the entry of a route and zone, which is added if it is new; NULL if there are too many or
 * memory runs out.
 */
struct pd_rollout_stratum *pd_rollout_evidence_stratum(struct pd_rollout_evidence *evidence,
						       const struct pd_name *route, uint64_t zone);
/* Adds all counts of @other. */
void pd_rollout_evidence_add(struct pd_rollout_evidence *evidence,
			     const struct pd_rollout_evidence *other);
/* Subtracts the counts of an earlier copy, for the sides in @sides (a bit for each). */
void pd_rollout_evidence_subtract(struct pd_rollout_evidence *evidence,
				  const struct pd_rollout_evidence *earlier, unsigned int sides);
/* Merges the entries of each route. */
void pd_rollout_evidence_merge_zones(struct pd_rollout_evidence *evidence);

size_t pd_rollout_latency_bin(int64_t latency_us);
/* Returns the latency in the middle of a bin, in microseconds. */
double pd_rollout_bin_latency_us(size_t bin);

/**
 * struct pd_rollout_gauges - state of an instance, which isn't cumulative
 * @sequence: rises with each change, so that an older state that arrives late is ignored
 * @full: the instance sends all requests to the new version
 * @old_in_flight: requests in flight to upstreams of the old version
 */
struct pd_rollout_gauges {
	uint64_t sequence;
	bool full;
	uint32_t old_in_flight;
};

/**
 * struct pd_rollout_origin - what is known of one process
 * @id: number of the process
 * @heard_us: time at which its state was last received; 0 if it wasn't
 * @follower: it was received from a follower, not from another head
 * @changed: it has changed since it was last sent
 * @gauges: its state
 * @evidence: its counts
 */
struct pd_rollout_origin {
	uint64_t id;
	int64_t heard_us;
	bool follower;
	bool changed;
	struct pd_rollout_gauges gauges;
	struct pd_rollout_evidence evidence;
};

/**
 * struct pd_rollout_ledger - evidence of all instances; zeroed when empty
 * @origins: what is known of each process
 * @count: number of entries in @origins
 * @sum: sum of all counts, whose entries keep their order
 */
struct pd_rollout_ledger {
	struct pd_rollout_origin *origins;
	size_t count;
	struct pd_rollout_evidence sum;
};

void pd_rollout_ledger_finish(struct pd_rollout_ledger *ledger);
/* Returns the entry of a process, which is added if it is new; NULL if there are too many or memory
 * runs out.
 */
struct pd_rollout_origin *pd_rollout_ledger_origin(struct pd_rollout_ledger *ledger, uint64_t id);
/* Replaces the counts of a process by higher ones. */
void pd_rollout_ledger_set(struct pd_rollout_ledger *ledger, struct pd_rollout_origin *origin,
			   const struct pd_rollout_evidence *evidence);
/* Returns the number of followers that were heard within @max_age_us and send nothing to the old
 * version any more.
 */
size_t pd_rollout_ledger_drained(const struct pd_rollout_ledger *ledger, int64_t max_age_us,
				 int64_t now_us);
/* Reads records up to the end of a payload; false if one is malformed. @follower states that they
 * come from a follower. Records of the process @own are ignored.
 */
bool pd_rollout_ledger_read(struct pd_rollout_ledger *ledger, struct pd_datagram_reader *reader,
			    bool follower, uint64_t own, int64_t now_us);
/* Appends the records of a process from its entry *@next on, as far as @max_bytes allow, and
 * advances *@next; returns whether all were appended. Begin with 0.
 */
bool pd_rollout_origin_write(const struct pd_rollout_origin *origin, size_t *next, size_t max_bytes,
			     struct pd_buf *out);

#endif
