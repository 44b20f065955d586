#include "rollout.h"

#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "os.h"

/* The canary phase ends this long before the deadline: the full phase, the write and a lag of the
 * store's messages have to fit in.
 */
#define CANARY_END_US (3000 * PD_USEC_PER_MSEC)
/* Length of the full phase, in which faults under load show, until the outcome may be written: as
 * long as the bound on the requests allows, up to the first number. In a burst, this number of
 * requests is enough, but not less than the second time; the last one is for a version that has
 * passed before.
 */
#define FULL_MAX_US   (1200 * PD_USEC_PER_MSEC)
#define FULL_REQUESTS 30
#define FULL_MIN_US   (300 * PD_USEC_PER_MSEC)
#define FULL_AGAIN_US (500 * PD_USEC_PER_MSEC)
/* Time for requests that are still in flight to the old version, and for the write of the outcome.
 * All heads stay in the full phase for it, because the old upstreams stop with the write.
 */
#define DRAIN_US      (300 * PD_USEC_PER_MSEC)
#define WRITE_US      (300 * PD_USEC_PER_MSEC)
#define WRITE_LEFT_US (150 * PD_USEC_PER_MSEC)
/* Results of the full phase arrive until this long after it. */
#define FULL_RESULTS_US (700 * PD_USEC_PER_MSEC)
/* Difference of the heads' full phases: of their begin, and of the requests that each one counts.
 */
#define HEADS_DIFFER_US (200 * PD_USEC_PER_MSEC)
/* Shorter differences of the ends of their phases may be the time that a statement takes. */
#define HEADS_ALIGN_US (50 * PD_USEC_PER_MSEC)
/* While the order isn't completed although that is decided, the full phase lasts this much longer
 * at least: a call without a response takes 400 ms, and the statements 200 ms.
 */
#define EXTEND_US (600 * PD_USEC_PER_MSEC)
/* A head begins the full phase up to this much earlier if another one has begun. */
#define FOLLOW_US (500 * PD_USEC_PER_MSEC)
/* Without a reason to wait, an order that can't be completed is rolled back this long before its
 * deadline.
 */
#define GIVE_UP_US (400 * PD_USEC_PER_MSEC)
/* An order whose heads don't hear each other is rolled back this long after its deadline. */
#define ABANDON_US (30 * PD_USEC_PER_SEC)
/* Responses of the new version after which the full phase needn't go on; fewer requests than that
 * make it begin earlier and end later.
 */
#define FULL_SAMPLES 20
/* Requests whose results aren't known yet: evidence is up to this old, and a few more. */
#define EVIDENCE_AGE_S	 0.15
#define EXPOSURE_RESERVE 4
/* In the full phase, requests without a response count as slow if they are more than this factor
 * times the expected number, this many more, and this share of all. Requests to one zone that is
 * unreachable are fewer.
 */
#define PENDING_FACTOR 3.0
#define PENDING_MIN    6.0
#define PENDING_SHARE  0.6
/* More requests per second than this factor times those of the canary phase, and this many more,
 * are a burst: latencies and rejections then don't say much.
 */
#define BURST_FACTOR	   1.3
#define BURST_MARGIN_PER_S 5.0
/* Time constant of the number of requests per second. */
#define RATE_US	 (1000.0 * PD_USEC_PER_MSEC)
#define BURST_US (300.0 * PD_USEC_PER_MSEC)
/* Length of a window; faults that begin late show in the last two of them. */
#define WINDOW_US (3000 * PD_USEC_PER_MSEC)
/* Delay after a call that failed, doubled with each further one up to the second number: calls are
 * billed. A call that the store doesn't understand will fail again.
 */
#define CALL_BACKOFF_US		(300 * PD_USEC_PER_MSEC)
#define CALL_BACKOFF_MAX_US	(1200 * PD_USEC_PER_MSEC)
#define CALL_BACKOFF_INVALID_US (10000 * PD_USEC_PER_MSEC)
/* A head waits this long for each head that writes before it. */
#define RANK_DELAY_US (200 * PD_USEC_PER_MSEC)
/* Until then, the other heads aren't heard yet. */
#define FIRST_CALL_US	      (300 * PD_USEC_PER_MSEC)
#define RUNNING_RANK_DELAY_US (1000 * PD_USEC_PER_MSEC)

void pd_rollout_init(struct pd_rollout *rollout)
{
	memset(rollout, 0, sizeof(*rollout));
	rollout->phase = PD_ROLLOUT_CANARY;
	rollout->decided = PD_ROLLOUT_RUNNING;
}

void pd_rollout_finish(struct pd_rollout *rollout)
{
	pd_rollout_evidence_finish(&rollout->full_base);
	pd_rollout_evidence_finish(&rollout->recent_base);
	pd_rollout_evidence_finish(&rollout->earlier_base);
	pd_rollout_evidence_finish(&rollout->work);
}

static void copy_evidence(struct pd_rollout_evidence *copy,
			  const struct pd_rollout_evidence *evidence)
{
	pd_rollout_evidence_finish(copy);
	pd_rollout_evidence_add(copy, evidence);
}

/* Updates the number of requests per second, of which the last second counts most. */
static void update_rate(struct pd_rollout *rollout, const struct pd_rollout_input *input,
			int64_t now_us)
{
	double past_us = (double)(now_us - rollout->rate_us);
	double requests = (double)input->evidence->requests - rollout->rate_requests;

	if (past_us <= 0)
		return;
	if (!rollout->rate_us)
		rollout->per_s = requests / ((double)input->age_us / PD_USEC_PER_SEC + 1);
	if (rollout->rate_us && requests >= 0) {
		double per_s = requests * PD_USEC_PER_SEC / past_us;

		rollout->per_s += (1 - exp(-past_us / RATE_US)) * (per_s - rollout->per_s);
		rollout->burst_per_s +=
			(1 - exp(-past_us / BURST_US)) * (per_s - rollout->burst_per_s);
	}
	rollout->rate_us = now_us;
	rollout->rate_requests = input->evidence->requests;
}

/* Returns the number of requests that the new version may still get before the deadline. */
static double exposure_left(const struct pd_rollout *rollout, const struct pd_rollout_input *input)
{
	return input->share * input->evidence->requests + input->slack -
	       input->evidence->sent[PD_ROLLOUT_NEW] - EXPOSURE_RESERVE -
	       EVIDENCE_AGE_S * rollout->per_s;
}

static bool is_late(const struct pd_rollout_input *input)
{
	return input->age_us >= input->duration_us;
}

/* Returns the time for which the new version may get all requests. */
static int64_t exposure_time_us(const struct pd_rollout *rollout,
				const struct pd_rollout_input *input)
{
	double per_s = rollout->per_s * (1 - input->share);
	double left = exposure_left(rollout, input);

	if (left <= 0)
		return 0;
	return per_s * (double)input->duration_us > left * PD_USEC_PER_SEC
		       ? (int64_t)(left / per_s * PD_USEC_PER_SEC)
		       : input->duration_us;
}

/* Returns the time that a full phase takes at least until the outcome may be written. */
static int64_t full_min_us(const struct pd_rollout *rollout)
{
	double min_us;

	if (rollout->passed)
		return FULL_AGAIN_US;
	if (rollout->per_s < 1)
		return FULL_MAX_US;
	min_us = FULL_REQUESTS / rollout->per_s * PD_USEC_PER_SEC;
	if (min_us > FULL_MAX_US)
		return FULL_MAX_US;
	return min_us < FULL_MIN_US ? FULL_MIN_US : (int64_t)min_us;
}

/* Returns the time that a full phase which begins now takes until the outcome may be written. */
static int64_t full_length_us(const struct pd_rollout *rollout,
			      const struct pd_rollout_input *input)
{
	int64_t min_us = full_min_us(rollout);
	int64_t length_us = exposure_time_us(rollout, input) - WRITE_US - HEADS_DIFFER_US;

	if (rollout->passed || length_us < min_us)
		return min_us;
	return is_late(input) || length_us > FULL_MAX_US ? FULL_MAX_US : length_us;
}

/* Returns the age of the order at which the full phase begins. With few requests, it begins earlier
 * by the time that FULL_SAMPLES responses take, but not in the first half.
 */
static int64_t canary_end_us(const struct pd_rollout *rollout, const struct pd_rollout_input *input)
{
	double needed_us = rollout->per_s > 0 ? FULL_SAMPLES / rollout->per_s * PD_USEC_PER_SEC : 0;
	int64_t end_us = input->duration_us - CANARY_END_US;

	if (needed_us > FULL_MAX_US)
		end_us -= (int64_t)(needed_us < (double)input->duration_us
					    ? needed_us
					    : (double)input->duration_us) -
			  FULL_MAX_US;
	if (end_us < input->duration_us / 2 && input->duration_us > 2 * CANARY_END_US)
		end_us = input->duration_us / 2;
	return end_us < input->duration_us / 4 ? input->duration_us / 4 : end_us;
}

/* Whether the service gets more requests now than in the canary phase. */
static bool is_burst(const struct pd_rollout *rollout, const struct pd_rollout_input *input,
		     int64_t now_us)
{
	double full_s = (double)(now_us - rollout->phase_since_us) / PD_USEC_PER_SEC;
	double requests = (double)input->evidence->requests - rollout->full_requests;
	double per_s = requests / (full_s + EVIDENCE_AGE_S);

	if (per_s < rollout->burst_per_s)
		per_s = rollout->burst_per_s;
	return rollout->phase == PD_ROLLOUT_FULL &&
	       per_s > BURST_FACTOR * rollout->canary_per_s + BURST_MARGIN_PER_S;
}

/* Whether more requests of the full phase are without a response than the latency of the old
 * version lets expect. Those that hang would otherwise not show before the phase ends.
 */
static bool has_too_many_pending(const struct pd_rollout *rollout,
				 const struct pd_rollout_input *input, int64_t now_us,
				 struct pd_rollout_verdict *verdict)
{
	const struct pd_rollout_evidence *evidence = input->evidence;
	double full_s = (double)(now_us - rollout->phase_since_us) / PD_USEC_PER_SEC;
	double sent =
		(double)evidence->sent[PD_ROLLOUT_NEW] - rollout->full_base.sent[PD_ROLLOUT_NEW];
	double pending = (double)evidence->sent[PD_ROLLOUT_NEW] - evidence->ended[PD_ROLLOUT_NEW];
	double latency_us = pd_rollout_mean_latency_us(evidence, PD_ROLLOUT_OLD);
	double expected;

	if (latency_us <= 0 || full_s < EVIDENCE_AGE_S)
		return false;
	expected = sent / full_s * latency_us / PD_USEC_PER_SEC;
	if (pending < PENDING_MIN + PENDING_FACTOR * expected || pending < PENDING_SHARE * sent)
		return false;
	verdict->bad = true;
	verdict->reason = "unanswered";
	snprintf(verdict->figures, sizeof(verdict->figures),
		 "sent=%.0f pending=%.0f expected=%.1f old_latency_ms=%.1f", sent, pending,
		 expected, latency_us / PD_USEC_PER_MSEC);
	return true;
}

/* Compares the versions since the order began, and in the last windows. In the full phase, the new
 * version's results of this phase are compared with all of the old one, which gets no requests now.
 */
static void judge(struct pd_rollout *rollout, const struct pd_rollout_input *input, int64_t now_us,
		  struct pd_rollout_verdict *verdict)
{
	static const struct pd_name any_route;
	struct pd_rollout_evidence *work = &rollout->work;
	bool full = rollout->phase == PD_ROLLOUT_FULL;
	struct pd_rollout_scope scope = {
		.latency_too = !is_burst(rollout, input, now_us),
		.zones = rollout->full_since_us
				 ? pd_rollout_count_zones(input->evidence, &any_route)
				 : 1,
	};
	struct pd_rollout_verdict recent;

	copy_evidence(work, input->evidence);
	pd_rollout_compare(work, &scope, verdict);
	/* After a full phase, the sums of both versions are from different times. */
	if (rollout->full_since_us && !full)
		verdict->bad = false;
	if (verdict->bad)
		return;
	scope.part = !full;
	copy_evidence(work, input->evidence);
	if (full)
		pd_rollout_evidence_subtract(work, &rollout->full_base, 1U << PD_ROLLOUT_NEW);
	else
		pd_rollout_evidence_subtract(work, &rollout->earlier_base,
					     1U << PD_ROLLOUT_NEW | 1U << PD_ROLLOUT_OLD);
	pd_rollout_compare(work, &scope, &recent);
	verdict->doubtful = verdict->doubtful || recent.doubtful;
	if (recent.bad)
		*verdict = recent;
	else if (full && scope.latency_too)
		has_too_many_pending(rollout, input, now_us, verdict);
}

/* Whether the full phase has shown enough. With few requests, it goes on until the deadline is
 * near.
 */
static bool is_full_enough(const struct pd_rollout *rollout, const struct pd_rollout_input *input,
			   int64_t now_us)
{
	uint32_t samples =
		input->evidence->ended[PD_ROLLOUT_NEW] - rollout->full_base.ended[PD_ROLLOUT_NEW];

	if (now_us - rollout->phase_since_us < rollout->full_length_us)
		return false;
	return rollout->passed || samples >= FULL_SAMPLES || is_late(input) ||
	       now_us >= rollout->full_until_us - DRAIN_US - WRITE_US;
}

/* Whether the old version isn't needed any more, and no head needs it until the outcome is written.
 */
static bool is_old_unused(const struct pd_rollout *rollout, const struct pd_rollout_input *input,
			  int64_t now_us)
{
	int64_t left_us = rollout->full_until_us - now_us;

	if (input->others_full_us < left_us)
		left_us = input->others_full_us;
	if (!input->connected || left_us < WRITE_LEFT_US)
		return false;
	return input->drained ||
	       now_us - rollout->phase_since_us >= rollout->full_length_us + DRAIN_US;
}

/* Whether the full phase may begin. After the deadline, the bound on the requests is over, but the
 * old version has to be without requests when the outcome is written.
 */
static bool may_advance(const struct pd_rollout *rollout, const struct pd_rollout_input *input)
{
	int64_t needed_us = full_min_us(rollout) + WRITE_US;

	/* While there is time to wait for more of the bound, or the end of a burst, the phase has
	 * to last until requests to the old version have ended and all heads know that.
	 */
	if (input->age_us + needed_us + DRAIN_US + HEADS_DIFFER_US <
	    input->duration_us - GIVE_UP_US)
		needed_us += DRAIN_US;
	if (!input->connected || !input->target_ready || rollout->must_read || rollout->writing)
		return false;
	if (is_late(input))
		return input->evidence->ended[PD_ROLLOUT_NEW] > 0;
	/* The heads begin together: one that begins alone can't complete the order. */
	if (input->another_full && input->age_us >= canary_end_us(rollout, input) - FOLLOW_US)
		return exposure_time_us(rollout, input) >= WRITE_US;
	return input->age_us >= canary_end_us(rollout, input) &&
	       exposure_time_us(rollout, input) >= needed_us;
}

/* Whether this head follows the others into their full phase, although it can't complete the order
 * itself: it has just started, or its last call to the store is without a result. They can't
 * complete it without this head, and their phase is as long as the bound allows if all requests go
 * to the new version. What is left of a phase that this head has left is shorter than the
 * difference of the heads.
 */
static bool may_join(const struct pd_rollout *rollout, const struct pd_rollout_input *input)
{
	int64_t needed_us =
		rollout->full_length_us ? HEADS_DIFFER_US + WRITE_LEFT_US : WRITE_LEFT_US;

	return input->target_ready && input->another_full && input->another_full_us >= needed_us;
}

static enum pd_rollout_action give_up(const char *reason, struct pd_rollout_verdict *verdict)
{
	verdict->reason = reason;
	return PD_ROLLOUT_ROLL_BACK;
}

/* Decides on an order that isn't bad by its evidence, towards its deadline and later. */
static enum pd_rollout_action decide_at_end(const struct pd_rollout_input *input,
					    struct pd_rollout_verdict *verdict)
{
	if (input->age_us >= input->duration_us + ABANDON_US)
		return give_up("deadline", verdict);
	/* Partitions and outages of the store say nothing about the version. */
	if (input->age_us < input->duration_us - GIVE_UP_US || !input->connected)
		return PD_ROLLOUT_WAIT;
	if (!input->target_ready)
		return give_up("no_target", verdict);
	/* Otherwise, the full phase or a write is under way, or follows. */
	return verdict->samples ? PD_ROLLOUT_WAIT : give_up("no_evidence", verdict);
}

enum pd_rollout_action pd_rollout_decide(struct pd_rollout *rollout,
					 const struct pd_rollout_input *input, int64_t now_us,
					 struct pd_rollout_verdict *verdict)
{
	memset(verdict, 0, sizeof(*verdict));
	if (input->same_version) {
		verdict->reason = "same_version";
		return PD_ROLLOUT_COMPLETE;
	}
	judge(rollout, input, now_us, verdict);
	if (verdict->bad)
		return PD_ROLLOUT_ROLL_BACK;
	if (input->halted)
		return give_up("another_head", verdict);
	verdict->reason = "no_objection";
	if (rollout->phase == PD_ROLLOUT_FULL) {
		if (verdict->samples && !verdict->doubtful &&
		    is_full_enough(rollout, input, now_us) && is_old_unused(rollout, input, now_us))
			return PD_ROLLOUT_COMPLETE;
	} else if (may_advance(rollout, input) || may_join(rollout, input)) {
		return PD_ROLLOUT_ADVANCE;
	}
	return decide_at_end(input, verdict);
}

static void set_phase(struct pd_rollout *rollout, enum pd_rollout_phase phase, int64_t now_us)
{
	rollout->phase = phase;
	rollout->phase_since_us = now_us;
}

static void begin_full(struct pd_rollout *rollout, const struct pd_rollout_input *input,
		       int64_t now_us)
{
	int64_t length_us = full_length_us(rollout, input) + DRAIN_US + WRITE_US;
	bool joined = !may_advance(rollout, input);
	double age_s = (double)input->age_us / PD_USEC_PER_SEC;

	rollout->full_length_us = full_length_us(rollout, input);
	copy_evidence(&rollout->full_base, input->evidence);
	rollout->full_requests = input->evidence->requests;
	rollout->canary_per_s = input->evidence->requests / (age_s > 1 ? age_s : 1);
	/* A service with few requests needs more time for as many results. */
	if (length_us < input->duration_us - GIVE_UP_US - input->age_us)
		length_us = input->duration_us - GIVE_UP_US - input->age_us;
	if (!is_late(input) && length_us > exposure_time_us(rollout, input))
		length_us = exposure_time_us(rollout, input);
	rollout->joined = joined;
	rollout->full_until_us = now_us + (joined ? input->another_full_us : length_us);
	rollout->full_since_us = now_us;
	set_phase(rollout, PD_ROLLOUT_FULL, now_us);
}

/* Begins the next window when the current one is over. */
static void move_window(struct pd_rollout *rollout, const struct pd_rollout_input *input,
			int64_t now_us)
{
	struct pd_rollout_evidence earlier = rollout->earlier_base;

	/* Results of a full phase don't compare with those of the old version after it. */
	if (rollout->phase != PD_ROLLOUT_FULL && rollout->full_since_us &&
	    (!input->settled || now_us - rollout->full_until_us < FULL_RESULTS_US)) {
		rollout->window_us = now_us;
		copy_evidence(&rollout->recent_base, input->evidence);
		copy_evidence(&rollout->earlier_base, input->evidence);
		return;
	}
	if (now_us - rollout->window_us < WINDOW_US)
		return;
	rollout->window_us = now_us;
	rollout->earlier_base = rollout->recent_base;
	rollout->recent_base = earlier;
	copy_evidence(&rollout->recent_base, input->evidence);
}

/* Extends the full phase as far as the bound allows: to the end of the other heads' phase, and
 * while the order isn't completed although that is decided, because a write may be executed late. A
 * head that has joined relies on the others, which know all requests.
 */
static void extend_full(struct pd_rollout *rollout, const struct pd_rollout_input *input,
			int64_t now_us)
{
	int64_t left_us = rollout->full_until_us - now_us, allowed_us = FULL_MAX_US, wanted_us = 0;

	if (rollout->phase != PD_ROLLOUT_FULL)
		return;
	if (input->another_full_us > left_us + HEADS_ALIGN_US)
		wanted_us = input->another_full_us;
	if (rollout->decided == PD_ROLLOUT_COMPLETED && wanted_us < EXTEND_US)
		wanted_us = EXTEND_US;
	if (!is_late(input) && !rollout->joined)
		allowed_us = exposure_time_us(rollout, input);
	if (wanted_us > allowed_us)
		wanted_us = allowed_us;
	if (wanted_us > left_us)
		rollout->full_until_us = now_us + wanted_us;
}

/* Ends a full phase whose outcome wasn't written in time, or that can't be decided. It isn't ended
 * earlier, because another head may be writing that the order is completed.
 */
static void end_full_when_due(struct pd_rollout *rollout, const struct pd_rollout_input *input,
			      int64_t now_us)
{
	if (rollout->phase != PD_ROLLOUT_FULL || now_us < rollout->full_until_us)
		return;
	rollout->passed = rollout->passed || is_full_enough(rollout, input, now_us);
	rollout->decided = PD_ROLLOUT_RUNNING;
	set_phase(rollout, is_late(input) ? PD_ROLLOUT_HALTED : PD_ROLLOUT_CANARY, now_us);
}

void pd_rollout_update(struct pd_rollout *rollout, const struct pd_rollout_input *input,
		       int64_t now_us)
{
	struct pd_rollout_verdict verdict;

	if (!rollout->started_us) {
		rollout->started_us = now_us;
		rollout->phase_since_us = now_us;
		rollout->window_us = now_us;
	}
	if (input->completed)
		rollout->state = PD_ROLLOUT_COMPLETED;
	if (rollout->state == PD_ROLLOUT_COMPLETED) {
		if (rollout->phase != PD_ROLLOUT_FULL)
			set_phase(rollout, PD_ROLLOUT_FULL, now_us);
		return;
	}
	if (rollout->state == PD_ROLLOUT_ROLLED_BACK ||
	    rollout->decided == PD_ROLLOUT_ROLLED_BACK) {
		if (rollout->phase != PD_ROLLOUT_HALTED)
			set_phase(rollout, PD_ROLLOUT_HALTED, now_us);
		return;
	}
	/* A head that hasn't been in the other heads' full phase gets results of it, and so may one
	 * that has started when there may have been one.
	 */
	if (!rollout->full_since_us &&
	    (input->another_full ||
	     (!input->settled && input->age_us >= canary_end_us(rollout, input) - FOLLOW_US))) {
		rollout->full_since_us = now_us;
		rollout->full_until_us = now_us;
	}
	move_window(rollout, input, now_us);
	update_rate(rollout, input, now_us);
	switch (pd_rollout_decide(rollout, input, now_us, &verdict)) {
	case PD_ROLLOUT_WAIT:
		break;
	case PD_ROLLOUT_ADVANCE:
		begin_full(rollout, input, now_us);
		break;
	case PD_ROLLOUT_COMPLETE:
		if (rollout->decided != PD_ROLLOUT_COMPLETED)
			rollout->verdict = verdict;
		rollout->decided = PD_ROLLOUT_COMPLETED;
		break;
	case PD_ROLLOUT_ROLL_BACK:
		rollout->verdict = verdict;
		rollout->decided = PD_ROLLOUT_ROLLED_BACK;
		set_phase(rollout, PD_ROLLOUT_HALTED, now_us);
		break;
	}
	rollout->old_unused = input->same_version || is_old_unused(rollout, input, now_us);
	extend_full(rollout, input, now_us);
	if (!input->same_version)
		end_full_when_due(rollout, input, now_us);
	if (rollout->phase == PD_ROLLOUT_CANARY &&
	    (is_late(input) || exposure_left(rollout, input) <= 0))
		set_phase(rollout, PD_ROLLOUT_HALTED, now_us);
	else if (rollout->phase == PD_ROLLOUT_HALTED && !is_late(input) &&
		 rollout->decided == PD_ROLLOUT_RUNNING &&
		 exposure_left(rollout, input) > EXPOSURE_RESERVE)
		set_phase(rollout, PD_ROLLOUT_CANARY, now_us);
	/* A head that writes after others waits for them. */
	if (rollout->wanted != rollout->decided && pd_rollout_is_final(rollout->decided)) {
		rollout->wanted = rollout->decided;
		if (rollout->next_call_us < now_us + input->rank * RANK_DELAY_US)
			rollout->next_call_us = now_us + input->rank * RANK_DELAY_US;
	} else if (!rollout->wanted && now_us - rollout->started_us >= FIRST_CALL_US) {
		rollout->wanted = PD_ROLLOUT_RUNNING;
		rollout->next_call_us = now_us + input->rank * RUNNING_RANK_DELAY_US;
	}
}

void pd_rollout_observe(struct pd_rollout *rollout, enum pd_rollout_state state, uint64_t revision)
{
	if (revision <= rollout->revision)
		return;
	rollout->revision = revision;
	rollout->state = state;
	/* A write whose result isn't known was conditional on an earlier revision: it has been
	 * executed, or won't be.
	 */
	rollout->must_read = false;
}

int64_t pd_rollout_full_left_us(const struct pd_rollout *rollout, bool drained, int64_t now_us)
{
	if (rollout->phase != PD_ROLLOUT_FULL || rollout->full_until_us <= now_us ||
	    (rollout->joined && !drained && now_us - rollout->phase_since_us < DRAIN_US))
		return 0;
	return rollout->full_until_us - now_us;
}

enum pd_rollout_call pd_rollout_next_call(struct pd_rollout *rollout, int64_t now_us)
{
	enum pd_rollout_state next = PD_ROLLOUT_RUNNING;

	if (rollout->writing || now_us < rollout->next_call_us || !rollout->wanted ||
	    pd_rollout_is_final(rollout->state))
		return PD_ROLLOUT_NO_CALL;
	rollout->call_revision = rollout->revision;
	if (rollout->must_read) {
		rollout->writing = true;
		return PD_ROLLOUT_CALL_READ;
	}
	/* The status is "running" before it has an outcome. */
	if (rollout->state == PD_ROLLOUT_RUNNING)
		next = rollout->decided;
	if (next == rollout->state || !rollout->revision ||
	    (next == PD_ROLLOUT_COMPLETED && !rollout->old_unused))
		return PD_ROLLOUT_NO_CALL;
	rollout->writing = true;
	rollout->written = next;
	return PD_ROLLOUT_CALL_WRITE;
}

/* Delays the next call after one that failed. */
static void back_off(struct pd_rollout *rollout, enum pd_code code, int64_t now_us)
{
	int64_t delay_us = CALL_BACKOFF_US;

	for (uint32_t i = 0; i < rollout->failures && delay_us < CALL_BACKOFF_MAX_US; i++)
		delay_us *= 2;
	rollout->failures++;
	rollout->next_call_us = now_us + (code == PD_INVALID ? CALL_BACKOFF_INVALID_US : delay_us);
}

void pd_rollout_end_write(struct pd_rollout *rollout, enum pd_code code, int64_t now_us)
{
	bool known_later = rollout->revision != rollout->call_revision;

	rollout->writing = false;
	if (code == PD_OK) {
		rollout->failures = 0;
		if (!known_later)
			rollout->state = rollout->written;
		return;
	}
	/* Only a write that the store has refused, or whose condition doesn't hold any more, is
	 * certainly not executed later.
	 */
	rollout->must_read = code != PD_UNAVAILABLE && !known_later;
	if (code != PD_CONFLICT)
		back_off(rollout, code, now_us);
}

void pd_rollout_end_read(struct pd_rollout *rollout, bool succeeded, bool found,
			 enum pd_rollout_state state, uint64_t revision, int64_t now_us)
{
	rollout->writing = false;
	if (!succeeded || !found) {
		/* Without the object, the order is over as soon as the store's watch says so. */
		back_off(rollout, PD_UNAVAILABLE, now_us);
		return;
	}
	rollout->failures = 0;
	rollout->must_read = false;
	pd_rollout_observe(rollout, state, revision);
}
