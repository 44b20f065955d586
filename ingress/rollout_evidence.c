#include "rollout_evidence.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define BINS_PER_OCTAVE	 4
#define FIRST_BIN_US	 256.0
#define STRATA_STEP	 4
#define ORIGINS_STEP	 32
#define RECORD_STATE	 1
#define RECORD_STRATUM	 2
#define RECORD_BYTES_MAX 850 /* a stratum with all bins of both sides */
#define COUNT_MAX	 UINT32_MAX

void pd_rollout_evidence_finish(struct pd_rollout_evidence *evidence)
{
	free(evidence->strata);
	memset(evidence, 0, sizeof(*evidence));
}

static struct pd_rollout_stratum *find_stratum(const struct pd_rollout_evidence *evidence,
					       const struct pd_name *route, uint64_t zone)
{
	for (size_t i = 0; i < evidence->count; i++) {
		struct pd_rollout_stratum *stratum = &evidence->strata[i];

		if (stratum->zone == zone && pd_name_equal(&stratum->route, route))
			return stratum;
	}
	return NULL;
}

struct pd_rollout_stratum *pd_rollout_evidence_stratum(struct pd_rollout_evidence *evidence,
						       const struct pd_name *route, uint64_t zone)
{
	struct pd_rollout_stratum *stratum = find_stratum(evidence, route, zone);

	if (stratum || evidence->count == PD_ROLLOUT_STRATA_MAX)
		return stratum;
	if (evidence->count % STRATA_STEP == 0) {
		struct pd_rollout_stratum *strata = reallocarray(
			evidence->strata, evidence->count + STRATA_STEP, sizeof(*strata));

		if (!strata)
			return NULL;
		evidence->strata = strata;
	}
	stratum = &evidence->strata[evidence->count++];
	memset(stratum, 0, sizeof(*stratum));
	stratum->route = *route;
	stratum->zone = zone;
	return stratum;
}

static void add_counts(struct pd_rollout_counts *counts, const struct pd_rollout_counts *other)
{
	counts->ok += other->ok;
	counts->failed += other->failed;
	counts->rejected += other->rejected;
	for (size_t i = 0; i < PD_ROLLOUT_BINS; i++)
		counts->latency[i] += other->latency[i];
}

void pd_rollout_evidence_add(struct pd_rollout_evidence *evidence,
			     const struct pd_rollout_evidence *other)
{
	evidence->requests += other->requests;
	for (int side = 0; side < PD_ROLLOUT_SIDES; side++) {
		evidence->sent[side] += other->sent[side];
		evidence->ended[side] += other->ended[side];
	}
	for (size_t i = 0; i < other->count; i++) {
		struct pd_rollout_stratum *stratum = pd_rollout_evidence_stratum(
			evidence, &other->strata[i].route, other->strata[i].zone);

		for (int side = 0; stratum && side < PD_ROLLOUT_SIDES; side++)
			add_counts(&stratum->sides[side], &other->strata[i].sides[side]);
	}
}

static void subtract_count(uint32_t *count, uint32_t earlier)
{
	*count -= earlier < *count ? earlier : *count;
}

static void subtract_counts(struct pd_rollout_counts *counts,
			    const struct pd_rollout_counts *earlier)
{
	subtract_count(&counts->ok, earlier->ok);
	subtract_count(&counts->failed, earlier->failed);
	subtract_count(&counts->rejected, earlier->rejected);
	for (size_t i = 0; i < PD_ROLLOUT_BINS; i++)
		subtract_count(&counts->latency[i], earlier->latency[i]);
}

void pd_rollout_evidence_subtract(struct pd_rollout_evidence *evidence,
				  const struct pd_rollout_evidence *earlier, unsigned int sides)
{
	subtract_count(&evidence->requests, earlier->requests);
	for (int side = 0; side < PD_ROLLOUT_SIDES; side++) {
		if (!(sides & 1U << side))
			continue;
		subtract_count(&evidence->sent[side], earlier->sent[side]);
		subtract_count(&evidence->ended[side], earlier->ended[side]);
		for (size_t i = 0; i < evidence->count; i++) {
			struct pd_rollout_stratum *stratum = &evidence->strata[i];
			const struct pd_rollout_stratum *before =
				find_stratum(earlier, &stratum->route, stratum->zone);

			if (before)
				subtract_counts(&stratum->sides[side], &before->sides[side]);
		}
	}
}

void pd_rollout_evidence_merge_zones(struct pd_rollout_evidence *evidence)
{
	size_t count = 0;

	for (size_t i = 0; i < evidence->count; i++) {
		struct pd_rollout_stratum *stratum = &evidence->strata[i];
		size_t at = 0;

		while (at < count && !pd_name_equal(&evidence->strata[at].route, &stratum->route))
			at++;
		if (at == count) {
			evidence->strata[count] = *stratum;
			evidence->strata[count++].zone = 0;
			continue;
		}
		for (int side = 0; side < PD_ROLLOUT_SIDES; side++)
			add_counts(&evidence->strata[at].sides[side], &stratum->sides[side]);
	}
	evidence->count = count;
}

size_t pd_rollout_latency_bin(int64_t latency_us)
{
	double bin;

	if (latency_us <= (int64_t)FIRST_BIN_US)
		return 0;
	bin = log2((double)latency_us / FIRST_BIN_US) * BINS_PER_OCTAVE;
	return bin >= PD_ROLLOUT_BINS ? PD_ROLLOUT_BINS - 1 : (size_t)bin;
}

double pd_rollout_bin_latency_us(size_t bin)
{
	return FIRST_BIN_US * exp2(((double)bin + 0.5) / BINS_PER_OCTAVE);
}

void pd_rollout_ledger_finish(struct pd_rollout_ledger *ledger)
{
	for (size_t i = 0; i < ledger->count; i++)
		pd_rollout_evidence_finish(&ledger->origins[i].evidence);
	free(ledger->origins);
	pd_rollout_evidence_finish(&ledger->sum);
	memset(ledger, 0, sizeof(*ledger));
}

struct pd_rollout_origin *pd_rollout_ledger_origin(struct pd_rollout_ledger *ledger, uint64_t id)
{
	struct pd_rollout_origin *origin;

	for (size_t i = 0; i < ledger->count; i++) {
		if (ledger->origins[i].id == id)
			return &ledger->origins[i];
	}
	if (ledger->count == PD_ROLLOUT_ORIGINS_MAX)
		return NULL;
	if (ledger->count % ORIGINS_STEP == 0) {
		struct pd_rollout_origin *origins = reallocarray(
			ledger->origins, ledger->count + ORIGINS_STEP, sizeof(*origins));

		if (!origins)
			return NULL;
		ledger->origins = origins;
	}
	origin = &ledger->origins[ledger->count++];
	memset(origin, 0, sizeof(*origin));
	origin->id = id;
	return origin;
}

/* Adds to the sum what the counts of a process exceed earlier ones by. */
static void add_difference(struct pd_rollout_ledger *ledger,
			   const struct pd_rollout_evidence *evidence,
			   const struct pd_rollout_evidence *earlier)
{
	struct pd_rollout_evidence difference = {0};

	pd_rollout_evidence_add(&difference, evidence);
	pd_rollout_evidence_subtract(&difference, earlier,
				     1U << PD_ROLLOUT_OLD | 1U << PD_ROLLOUT_NEW);
	pd_rollout_evidence_add(&ledger->sum, &difference);
	pd_rollout_evidence_finish(&difference);
}

void pd_rollout_ledger_set(struct pd_rollout_ledger *ledger, struct pd_rollout_origin *origin,
			   const struct pd_rollout_evidence *evidence)
{
	add_difference(ledger, evidence, &origin->evidence);
	pd_rollout_evidence_finish(&origin->evidence);
	pd_rollout_evidence_add(&origin->evidence, evidence);
}

size_t pd_rollout_ledger_drained(const struct pd_rollout_ledger *ledger, int64_t max_age_us,
				 int64_t now_us)
{
	size_t drained = 0;

	for (size_t i = 0; i < ledger->count; i++) {
		const struct pd_rollout_origin *origin = &ledger->origins[i];

		drained += origin->follower && now_us - origin->heard_us <= max_age_us &&
			   origin->gauges.full && !origin->gauges.old_in_flight;
	}
	return drained;
}

/* Raises a count to the next item of a payload, and the sum by the same; returns whether it was
 * lower.
 */
static bool read_count(struct pd_datagram_reader *reader, uint32_t *count, uint32_t *sum)
{
	uint64_t value = pd_datagram_get_uint(reader);

	if (value > COUNT_MAX)
		reader->failed = true;
	if (reader->failed || value <= *count)
		return false;
	*sum += (uint32_t)value - *count;
	*count = (uint32_t)value;
	return true;
}

static void read_state(struct pd_rollout_origin *origin, struct pd_datagram_reader *reader,
		       struct pd_rollout_evidence *sum, bool follower, int64_t now_us)
{
	struct pd_rollout_gauges gauges = {0};
	struct pd_rollout_evidence *evidence = &origin->evidence;
	bool changed = read_count(reader, &evidence->requests, &sum->requests);
	uint32_t unused = 0;

	for (int side = 0; side < PD_ROLLOUT_SIDES; side++) {
		changed |= read_count(reader, &evidence->sent[side], &sum->sent[side]);
		changed |= read_count(reader, &evidence->ended[side], &sum->ended[side]);
	}
	gauges.sequence = pd_datagram_get_uint(reader);
	gauges.full = pd_datagram_get_uint(reader) != 0;
	read_count(reader, &gauges.old_in_flight, &unused);
	if (reader->failed)
		return;
	origin->changed |= changed;
	if (gauges.sequence <= origin->gauges.sequence)
		return;
	origin->gauges = gauges;
	origin->heard_us = now_us;
	origin->follower = follower;
}

static bool read_counts(struct pd_datagram_reader *reader, struct pd_rollout_counts *counts,
			struct pd_rollout_counts *sum)
{
	bool changed = read_count(reader, &counts->ok, &sum->ok);
	uint64_t bins;

	changed |= read_count(reader, &counts->failed, &sum->failed);
	changed |= read_count(reader, &counts->rejected, &sum->rejected);
	bins = pd_datagram_get_uint(reader);
	for (uint64_t i = 0; i < bins && !reader->failed; i++) {
		uint64_t bin = pd_datagram_get_uint(reader);

		if (bin >= PD_ROLLOUT_BINS)
			reader->failed = true;
		else
			changed |= read_count(reader, &counts->latency[bin], &sum->latency[bin]);
	}
	return changed;
}

static void read_stratum(struct pd_rollout_origin *origin, struct pd_datagram_reader *reader,
			 struct pd_rollout_evidence *sum)
{
	struct pd_rollout_stratum ignored = {0}, ignored_sum = {0}, *stratum, *total;
	struct pd_str text = pd_datagram_get_str(reader);
	uint64_t zone = pd_datagram_get_uint(reader);
	struct pd_name route = {0};

	if (text.len && !pd_name_set(&route, text))
		reader->failed = true;
	if (reader->failed)
		return;
	stratum = pd_rollout_evidence_stratum(&origin->evidence, &route, zone);
	total = pd_rollout_evidence_stratum(sum, &route, zone);
	if (!stratum || !total) {
		stratum = &ignored;
		total = &ignored_sum;
	}
	for (int side = 0; side < PD_ROLLOUT_SIDES; side++)
		origin->changed |= read_counts(reader, &stratum->sides[side], &total->sides[side]);
}

bool pd_rollout_ledger_read(struct pd_rollout_ledger *ledger, struct pd_datagram_reader *reader,
			    bool follower, uint64_t own, int64_t now_us)
{
	struct pd_rollout_evidence scratch_sum = {0};
	struct pd_rollout_origin scratch = {0};

	while (!reader->failed && !pd_datagram_reader_at_end(reader)) {
		uint64_t kind = pd_datagram_get_uint(reader);
		uint64_t id = pd_datagram_get_uint(reader);
		struct pd_rollout_evidence *sum = &ledger->sum;
		struct pd_rollout_origin *origin = NULL;

		if (reader->failed)
			break;
		if (id != own)
			origin = pd_rollout_ledger_origin(ledger, id);
		if (!origin) {
			origin = &scratch;
			sum = &scratch_sum;
		}
		if (kind == RECORD_STATE)
			read_state(origin, reader, sum, follower, now_us);
		else if (kind == RECORD_STRATUM)
			read_stratum(origin, reader, sum);
		else
			reader->failed = true;
	}
	pd_rollout_evidence_finish(&scratch.evidence);
	pd_rollout_evidence_finish(&scratch_sum);
	return !reader->failed;
}

static void write_counts(const struct pd_rollout_counts *counts, struct pd_buf *out)
{
	size_t bins = 0;

	for (size_t i = 0; i < PD_ROLLOUT_BINS; i++)
		bins += counts->latency[i] > 0;
	pd_datagram_put_uint(out, counts->ok);
	pd_datagram_put_uint(out, counts->failed);
	pd_datagram_put_uint(out, counts->rejected);
	pd_datagram_put_uint(out, bins);
	for (size_t i = 0; i < PD_ROLLOUT_BINS; i++) {
		if (!counts->latency[i])
			continue;
		pd_datagram_put_uint(out, i);
		pd_datagram_put_uint(out, counts->latency[i]);
	}
}

static void write_state(const struct pd_rollout_origin *origin, struct pd_buf *out)
{
	pd_datagram_put_uint(out, RECORD_STATE);
	pd_datagram_put_uint(out, origin->id);
	pd_datagram_put_uint(out, origin->evidence.requests);
	for (int side = 0; side < PD_ROLLOUT_SIDES; side++) {
		pd_datagram_put_uint(out, origin->evidence.sent[side]);
		pd_datagram_put_uint(out, origin->evidence.ended[side]);
	}
	pd_datagram_put_uint(out, origin->gauges.sequence);
	pd_datagram_put_uint(out, origin->gauges.full);
	pd_datagram_put_uint(out, origin->gauges.old_in_flight);
}

static void write_stratum(const struct pd_rollout_origin *origin,
			  const struct pd_rollout_stratum *stratum, struct pd_buf *out)
{
	pd_datagram_put_uint(out, RECORD_STRATUM);
	pd_datagram_put_uint(out, origin->id);
	pd_datagram_put_str(out, pd_name_str(&stratum->route));
	pd_datagram_put_uint(out, stratum->zone);
	for (int side = 0; side < PD_ROLLOUT_SIDES; side++)
		write_counts(&stratum->sides[side], out);
}

bool pd_rollout_origin_write(const struct pd_rollout_origin *origin, size_t *next, size_t max_bytes,
			     struct pd_buf *out)
{
	for (; *next <= origin->evidence.count; ++*next) {
		/* An empty payload always has room for one record. */
		if (out->len + RECORD_BYTES_MAX > max_bytes)
			return false;
		if (*next)
			write_stratum(origin, &origin->evidence.strata[*next - 1], out);
		else
			write_state(origin, out);
	}
	return true;
}
