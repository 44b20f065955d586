/**
 * DOC: The coordinator: one query from its start to the answer
 *
 * Runs straight down in the caller's thread: pin a snapshot, send to every service, wait for
 * replies, hedge, restart once on another snapshot, and answer before the deadline.
 */
#ifndef PD_QUERY_H
#define PD_QUERY_H

#include "dispatch.h"
#include "ledger.h"
#include "ranges.h"
#include "router.h"

enum pd_outcome {
	PD_OUTCOME_COMPLETE = 0,
	PD_OUTCOME_PARTIAL,
	PD_OUTCOME_REFUSED, /* not run; with an id: by no instance, ever */
	PD_OUTCOME_UNKNOWN,
};

const char *pd_outcome_name(enum pd_outcome outcome);

#define PD_INDEX_MAX 256
/* Time after which a query tries the published snapshot again. */
#define PD_INDEX_FALLBACK_US (1 * PD_USEC_PER_SEC)

/**
 * struct pd_index_entry - one collection
 * @collection: name
 * @snapshot: the newest that was published
 * @buckets: of the collection
 * @fallback_snapshot: snapshot that upstreams hold in place of @snapshot, which they refused
 * @fallback_until_us: @fallback_snapshot is used until then (monotonic); 0: never
 */
struct pd_index_entry {
	struct pd_name collection;
	uint64_t snapshot;
	uint32_t buckets;
	uint64_t fallback_snapshot;
	int64_t fallback_until_us;
};

/** struct pd_index_table - the newest published snapshot of each collection; thread-safe */
struct pd_index_table {
	pthread_mutex_t mutex;
	struct pd_index_entry entries[PD_INDEX_MAX];
	uint32_t count;
};
void pd_index_table_init(struct pd_index_table *table);
void pd_index_table_finish(struct pd_index_table *table);
/* Stores it when newer; returns true if so. */
bool pd_index_table_update(struct pd_index_table *table, struct pd_str collection,
			   uint64_t snapshot, uint32_t buckets);
bool pd_index_table_find(struct pd_index_table *table, struct pd_str collection,
			 struct pd_index_entry *entry);
/* Returns the snapshot for a new query at @now_us: @entry's held one while it is in use. */
uint64_t pd_index_entry_pin(const struct pd_index_entry *entry, int64_t now_us);
/**
 * pd_index_table_set_fallback() - notes a snapshot that upstreams hold in place of the published
 * one
 * @published: that they refused; nothing is noted when another one was published since
 * @held: in its place
 * @tried: @published was refused just now; false: only another held one was
 * @now_us: monotonic
 */
void pd_index_table_set_fallback(struct pd_index_table *table, struct pd_str collection,
				 uint64_t published, uint64_t held, bool tried, int64_t now_us);
/* Copies entry number @i, counted from 0; false beyond the last one. */
bool pd_index_table_at(struct pd_index_table *table, uint32_t i, struct pd_index_entry *entry);

/**
 * struct pd_coordinator - what queries work with; borrowed
 * @ledger: NULL: requests with an id are answered unknown and not sent
 */
struct pd_coordinator {
	struct pd_config_holder *config;
	struct pd_router *router;
	struct pd_index_table *index;
	struct pd_sender sender;
	struct pd_ledger *ledger;
	struct pd_name instance;
};

#define PD_MISSING_SERVICES_MAX                                                                    \
	64 /* services named with a reason in an answer; the ranges are always whole */

struct pd_missing_service {
	struct pd_name service;
	enum pd_substatus status;
};

/**
 * struct pd_answer - what the caller gets
 * @outcome: how it ended
 * @request_id: echo of the caller's id
 * @collection: of a query
 * @snapshot: that all hits come from
 * @buckets: in the collection
 * @covered: buckets that the hits cover
 * @missing: services without a good reply
 * @missing_count: entries in @missing
 * @hits: JSON array of a query, or the result text of a run
 * @config_version: in force when it began
 * @elapsed_us: from arrival to answer
 * @reason: of a refusal or an unknown outcome; empty otherwise
 */
struct pd_answer {
	enum pd_outcome outcome;
	struct pd_name request_id;
	struct pd_name collection;
	uint64_t snapshot;
	uint32_t buckets;
	struct pd_ranges covered;
	struct pd_missing_service missing[PD_MISSING_SERVICES_MAX];
	uint32_t missing_count;
	struct pd_buf hits;
	uint64_t config_version;
	int64_t elapsed_us;
	char reason[160];
};

void pd_answer_init(struct pd_answer *answer);
void pd_answer_finish(struct pd_answer *answer);

/**
 * pd_coordinator_run() - runs one `query` or `run` command
 * @command: a query or run
 * @request_id: the caller's id; empty: one is made
 * @deadline_us: time for the whole answer from now, in microseconds; 0: the command's or the kind's
 * @answer: filled
 * @err: PD_INVALID or PD_NOT_FOUND when the command names what doesn't exist; nothing was sent then
 */
enum pd_code pd_coordinator_run(struct pd_coordinator *coordinator,
				const struct pd_command *command, struct pd_str request_id,
				int64_t deadline_us, struct pd_answer *answer,
				struct pd_error *err);
/* Appends the answer as JSON, one line. */
void pd_answer_print(const struct pd_answer *answer, struct pd_buf *out);
/* Appends `{"error":"TEXT"}`, escaped. */
void pd_error_print(struct pd_str text, struct pd_buf *out);

#endif
