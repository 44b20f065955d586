/**
 * DOC: Decision on a roll-out, without a network
 *
 * An order asks to move a service's traffic to upstreams of another version within some seconds. A
 * head of the cluster has a struct pd_rollout for each running order. It moves through the phases,
 * decides by the evidence of all instances, and says what is to be written to the order's status.
 * Several heads do that by the same evidence; the store's condition on the object's revision makes
 * one of their writes the outcome.
 *
 * Made for services with about 40 requests per second, of which the new version gets about 2 in the
 * canary phase, and orders of about 12 s. Points in time are in microseconds of pd_os_boot_us().
 */
#ifndef PD_ROLLOUT_H
#define PD_ROLLOUT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "error.h"
#include "rollout_compare.h"
#include "rollout_evidence.h"
#include "str.h"

#define PD_ROLLOUT_OBJECT_MAX_BYTES 255
#define PD_ROLLOUT_DURATION_MAX_MS  86400000
#define PD_ROLLOUTS_MAX		    64

/** enum pd_rollout_state - state of an order by its status; the values are part of the feed. */
enum pd_rollout_state {
	PD_ROLLOUT_NONE, /* no status, or one for another version */
	PD_ROLLOUT_RUNNING,
	PD_ROLLOUT_COMPLETED,
	PD_ROLLOUT_ROLLED_BACK,
};

/** enum pd_rollout_phase - what the new version gets while an order runs; part of the datagrams. */
enum pd_rollout_phase {
	PD_ROLLOUT_HALTED, /* nothing */
	PD_ROLLOUT_CANARY, /* a share of the first attempts */
	PD_ROLLOUT_FULL, /* everything */
};

const char *pd_rollout_state_name(enum pd_rollout_state state);
const char *pd_rollout_phase_name(enum pd_rollout_phase phase);
bool pd_rollout_is_final(enum pd_rollout_state state);

/**
 * struct pd_rollout_order - an order
 * @object: name of its object in the store
 * @object_len: length of @object in bytes
 * @service: service whose traffic is moved
 * @target: version to which it is moved
 * @duration_ms: time within which the outcome must be written
 * @state: state by the status
 * @revision: revision of the store at the last change of the object
 * @started_us: time from which the age is counted: when a head first read the order
 */
struct pd_rollout_order {
	char object[PD_ROLLOUT_OBJECT_MAX_BYTES];
	uint8_t object_len;
	struct pd_name service;
	struct pd_name target;
	uint32_t duration_ms;
	enum pd_rollout_state state;
	uint64_t revision;
	int64_t started_us;
};

/** struct pd_rollout_set - all orders of the store */
struct pd_rollout_set {
	struct pd_rollout_order orders[PD_ROLLOUTS_MAX];
	size_t count;
};

/* Whether both are for the same service and version. */
bool pd_rollout_same_order(const struct pd_rollout_order *a, const struct pd_rollout_order *b);
/* Returns the order of a service; NULL if there is none. */
const struct pd_rollout_order *pd_rollout_set_find(const struct pd_rollout_set *set,
						   const struct pd_name *service);
/* Encode a set for the feed, with the ages of the orders; false if @text is malformed. */
void pd_rollout_set_encode(const struct pd_rollout_set *set, int64_t now_us, struct pd_buf *out);
bool pd_rollout_set_decode(struct pd_str text, int64_t now_us, struct pd_rollout_set *set);

/**
 * struct pd_rollout_input - what a decision is based on
 * @age_us: age of the order
 * @duration_us: time within which the outcome must be written
 * @share: share of the requests that a bad version may get
 * @slack: number of requests that it may get beyond that
 * @evidence: results since the order began, over all instances
 * @target_ready: an upstream of the new version can take requests and isn't cold
 * @same_version: the service's traffic goes to the ordered version already
 * @settled: this head has been one for long enough to have all evidence
 * @connected: it has all evidence, the heads of all other zones are heard, and the store is
 *	reachable
 * @another_full: another head is in the full phase
 * @another_full_us: longest time for which one of them stays in it at least; 0 if none does
 * @others_full_us: time for which all other heads stay in the full phase at least; 0 if one isn't
 *	in it
 * @drained: no instance sends requests to the old version, and none is in flight there
 * @halted: another head has decided to roll back
 * @completed: another head has written that the order is completed
 * @rank: number of other heads that write before this one
 */
struct pd_rollout_input {
	int64_t age_us;
	int64_t duration_us;
	double share;
	double slack;
	const struct pd_rollout_evidence *evidence;
	bool target_ready;
	bool same_version;
	bool settled;
	bool connected;
	bool another_full;
	int64_t another_full_us;
	int64_t others_full_us;
	bool drained;
	bool halted;
	bool completed;
	uint32_t rank;
};

/** enum pd_rollout_action - result of a decision. */
enum pd_rollout_action {
	PD_ROLLOUT_WAIT,
	PD_ROLLOUT_ADVANCE,
	PD_ROLLOUT_COMPLETE,
	PD_ROLLOUT_ROLL_BACK,
};

/**
 * struct pd_rollout - a running order at a head
 * @started_us: time of the first update; 0 before it
 * @phase: current phase
 * @phase_since_us: time at which it began
 * @passed: a full phase has ended without an objection
 * @decided: outcome that is to be written; PD_ROLLOUT_RUNNING if there is none yet
 * @verdict: reason and figures of the decision
 * @state: state by the status, as far as known
 * @revision: revision of the object, on which the next write is conditional
 * @call_revision: revision on which the last call was conditional
 * @writing: a write or read was handed out, and its result is awaited
 * @must_read: the result of a write isn't known: the object has to be read before the next write
 * @wanted: state that is to be written next
 * @written: state that was last handed out
 * @failures: number of consecutive failed calls
 * @next_call_us: earliest time of the next write or read
 * @full_since_us: time at which the last full phase began; 0 if there was none
 * @full_length_us: time from its start until the outcome may be written
 * @full_until_us: time at which it ends if no outcome is known; other heads rely on it
 * @joined: this head has joined the full phase of the others, see may_join()
 * @old_unused: the old version isn't needed now, so that the order may be completed
 * @per_s: requests per second to the service now
 * @burst_per_s: the same, of a shorter time
 * @rate_us: time of the last update of @per_s
 * @rate_requests: number of requests at that time
 * @canary_per_s: requests per second to the service in the canary phase
 * @full_requests: number of requests when the full phase began
 * @full_base: evidence when the full phase began
 * @recent_base: evidence when the current window began
 * @earlier_base: evidence when the window before that began
 * @window_us: time at which the current window began
 * @work: evidence that is being compared
 */
struct pd_rollout {
	int64_t started_us;
	enum pd_rollout_phase phase;
	int64_t phase_since_us;
	bool passed;
	enum pd_rollout_state decided;
	struct pd_rollout_verdict verdict;
	enum pd_rollout_state state;
	uint64_t revision;
	uint64_t call_revision;
	bool writing;
	bool must_read;
	enum pd_rollout_state wanted;
	enum pd_rollout_state written;
	uint32_t failures;
	int64_t next_call_us;
	int64_t full_since_us;
	int64_t full_length_us;
	int64_t full_until_us;
	bool joined;
	bool old_unused;
	double per_s;
	double burst_per_s;
	int64_t rate_us;
	uint32_t rate_requests;
	double canary_per_s;
	uint32_t full_requests;
	struct pd_rollout_evidence full_base;
	struct pd_rollout_evidence recent_base;
	struct pd_rollout_evidence earlier_base;
	int64_t window_us;
	struct pd_rollout_evidence work;
};

/** enum pd_rollout_call - call to the store that is due. */
enum pd_rollout_call {
	PD_ROLLOUT_NO_CALL,
	PD_ROLLOUT_CALL_WRITE, /* &pd_rollout.written, if the revision is &pd_rollout.revision */
	PD_ROLLOUT_CALL_READ,
};

void pd_rollout_init(struct pd_rollout *rollout);
void pd_rollout_finish(struct pd_rollout *rollout);
/* Takes over the state of the object at a revision, from the store. If that is later than the known
 * one, a write of unknown result needn't be read any more.
 */
void pd_rollout_observe(struct pd_rollout *rollout, enum pd_rollout_state state, uint64_t revision);
/* Decides by the input; changes nothing. */
enum pd_rollout_action pd_rollout_decide(struct pd_rollout *rollout,
					 const struct pd_rollout_input *input, int64_t now_us,
					 struct pd_rollout_verdict *verdict);
/* Decides and sets the phase; call it every 50 ms. */
void pd_rollout_update(struct pd_rollout *rollout, const struct pd_rollout_input *input,
		       int64_t now_us);
/* Returns the time for which this head stays in the full phase at least; 0 if it isn't in it, or if
 * its zone may still have requests in flight to the old version from before it has joined. @drained
 * as in the input, of this head's zone only.
 */
int64_t pd_rollout_full_left_us(const struct pd_rollout *rollout, bool drained, int64_t now_us);
/* Returns the call to the store that is due. The caller reports its result by one of the functions
 * below before it asks again.
 */
enum pd_rollout_call pd_rollout_next_call(struct pd_rollout *rollout, int64_t now_us);
/* Records the result of a write: PD_OK, PD_CONFLICT, PD_NOT_FOUND, PD_UNAVAILABLE if the store has
 * refused it, or another code if it may be executed later.
 */
void pd_rollout_end_write(struct pd_rollout *rollout, enum pd_code code, int64_t now_us);
/* Records the result of a read; @found is false if the order doesn't exist any more. */
void pd_rollout_end_read(struct pd_rollout *rollout, bool succeeded, bool found,
			 enum pd_rollout_state state, uint64_t revision, int64_t now_us);

#endif
