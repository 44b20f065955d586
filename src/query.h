/**
 * DOC: Coordinator: runs one query from its arrival to its answer
 *
 * Everything runs in the caller's thread: it pins a snapshot, sends a sub-request to each service,
 * waits for the replies, sends hedges and retries, restarts at most once on another snapshot, and
 * returns the answer before the deadline.
 */
#ifndef PD_QUERY_H
#define PD_QUERY_H

#include "dispatch.h"
#include "ledger.h"
#include "ranges.h"
#include "router.h"

/** enum pd_outcome - outcome of a query or run */
enum pd_outcome {
	PD_OUTCOME_COMPLETE = 0, /* all buckets are covered, or the run has succeeded */
	PD_OUTCOME_PARTIAL, /* some buckets are missing in the answer */
	PD_OUTCOME_REFUSED, /* not run; a request with an id won't be run by any instance later */
	PD_OUTCOME_UNKNOWN, /* a run that may or may not have been executed */
};

const char *pd_outcome_name(enum pd_outcome outcome);

#define PD_INDEX_MAX 256 /* maximum number of collections in a pd_index_table */
/* Time after which queries try the published snapshot again instead of the fallback. */
#define PD_INDEX_FALLBACK_US (1 * PD_USEC_PER_SEC)

/**
 * struct pd_index_entry - snapshots of one collection
 * @collection: name of the collection
 * @snapshot: latest published snapshot
 * @buckets: number of buckets of the collection
 * @fallback_snapshot: snapshot that the upstreams have, used while they refuse @snapshot
 * @fallback_until_us: monotonic time until which @fallback_snapshot is used, in microseconds; 0 if
 * there is none
 */
struct pd_index_entry {
	struct pd_name collection;
	uint64_t snapshot;
	uint32_t buckets;
	uint64_t fallback_snapshot;
	int64_t fallback_until_us;
};

/**
 * struct pd_index_table - the latest published snapshot of each collection; thread-safe
 * @mutex: guards the members below
 * @entries: one entry for each collection
 * @count: number of entries in @entries
 */
struct pd_index_table {
	pthread_mutex_t mutex;
	struct pd_index_entry entries[PD_INDEX_MAX];
	uint32_t count;
};
void pd_index_table_init(struct pd_index_table *table);
void pd_index_table_finish(struct pd_index_table *table);

/*
 * Stores a published snapshot if it is newer than the one in the table. Returns true if it was
 * stored.
 */
bool pd_index_table_update(struct pd_index_table *table, struct pd_str collection,
			   uint64_t snapshot, uint32_t buckets);
/* Copies the entry of @collection to @entry; returns false if there is none. */
bool pd_index_table_find(struct pd_index_table *table, struct pd_str collection,
			 struct pd_index_entry *entry);
/*
 * Returns the snapshot to pin for a query that starts at @now_us: the fallback while it is in use.
 */
uint64_t pd_index_entry_pin(const struct pd_index_entry *entry, int64_t now_us);
/**
 * pd_index_table_set_fallback() - sets the snapshot to use instead of a refused published one
 * @published: published snapshot that the upstreams refused; if the table has a newer one now,
 * nothing is changed
 * @fallback: snapshot that the upstreams have
 * @published_refused: @published itself was refused just now. If false, an earlier fallback was
 * refused: it is replaced, but used for no longer than before
 * @now_us: current time (monotonic), in microseconds
 */
void pd_index_table_set_fallback(struct pd_index_table *table, struct pd_str collection,
				 uint64_t published, uint64_t fallback, bool published_refused,
				 int64_t now_us);
/* Copies entry number @i, counted from 0, to @entry; returns false beyond the last one. */
bool pd_index_table_at(struct pd_index_table *table, uint32_t i, struct pd_index_entry *entry);

/**
 * struct pd_coordinator - parameters of the coordinator; it doesn't own the objects in it
 * @config: current configuration
 * @router: chooses upstreams
 * @index: snapshots to pin
 * @sender: sends sub-requests
 * @ledger: claims the ids of non-idempotent requests; if NULL, requests with an id are not sent and
 * their outcome is unknown
 * @instance: name of this instance
 */
struct pd_coordinator {
	struct pd_config_holder *config;
	struct pd_router *router;
	struct pd_index_table *index;
	struct pd_sender sender;
	struct pd_ledger *ledger;
	struct pd_name instance;
};

/* Maximum number of missing services listed with a reason; missing ranges are always complete. */
#define PD_MISSING_SERVICES_MAX 64

/**
 * struct pd_missing_service - service without an accepted reply
 * @service: name of the service
 * @status: status of its latest failed sub-request
 */
struct pd_missing_service {
	struct pd_name service;
	enum pd_substatus status;
};

/**
 * struct pd_answer - answer to a query or run
 * @outcome: outcome of the query or run
 * @request_id: id that the caller sent, or a generated one
 * @collection: name of the queried collection; empty for a run
 * @snapshot: snapshot that all hits come from
 * @buckets: number of buckets of the collection
 * @covered: buckets that the hits cover
 * @missing: services without an accepted reply
 * @missing_count: number of entries in @missing
 * @hits: JSON array of hits of a query, or the result text of a run
 * @config_version: version of the configuration that was in force at the start
 * @elapsed_us: time from arrival to answer, in microseconds
 * @reason: why it was refused, is partial without hits, or its outcome is unknown; otherwise empty
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
 * @command: parsed command
 * @request_id: id from the caller; if it is empty, an id is generated
 * @deadline_us: deadline of the whole answer, from now, in microseconds; if 0, the deadline of the
 * command, else that of its kind, else a default applies
 * @answer: receives the answer; must be initialized with pd_answer_init()
 * @err: set if the function doesn't return PD_OK
 *
 * Return: PD_OK if there is an answer, whatever its outcome; PD_INVALID if the command is invalid;
 * PD_NOT_FOUND if it names something that doesn't exist; PD_NO_MEMORY.
 */
enum pd_code pd_coordinator_run(struct pd_coordinator *coordinator,
				const struct pd_command *command, struct pd_str request_id,
				int64_t deadline_us, struct pd_answer *answer,
				struct pd_error *err);
/* Appends @answer to @out as one line of JSON. */
void pd_answer_print(const struct pd_answer *answer, struct pd_buf *out);
/* Appends `{"error":"TEXT"}` to @out, with @text escaped. */
void pd_error_print(struct pd_str text, struct pd_buf *out);

#endif
