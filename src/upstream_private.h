/**
 * DOC: Internals of upstream.h, shared by the upstream*.c files
 *
 * Lock order: pd_upstreams.mutex, pd_upstream.mutex, then the locks of the configuration, members,
 * suspects and HTTP clients. Reply functions and pd_upstreams_setup.announce are called with no
 * lock held.
 *
 * Members and parameters named *_us are monotonic times in microseconds, or durations.
 */
#ifndef PD_UPSTREAM_PRIVATE_H
#define PD_UPSTREAM_PRIVATE_H

#include "http_client.h"
#include "limiter.h"
#include "upstream.h"

#define PD_UPSTREAM_QUEUE_MAX	 256 /* requests queued for one upstream */
#define PD_UPSTREAM_HASH_BUCKETS 256 /* of the hash table of upstreams by name */
/* Time without work after which worker and control threads end. */
#define PD_UPSTREAM_IDLE_TIMEOUT_US (60 * PD_USEC_PER_SEC)
/* Interval at which waiting requests are re-checked for ownership, deadlines and capacity. */
#define PD_UPSTREAM_POLL_INTERVAL_US   (10 * PD_USEC_PER_MSEC)
#define PD_UPSTREAM_HEALTH_INTERVAL_US (500 * PD_USEC_PER_MSEC) /* between health polls */
/* Time for the reply to a cancelled request, and for the reply to POST /cancel. */
#define PD_UPSTREAM_CANCEL_TIMEOUT_US (50 * PD_USEC_PER_MSEC)
/* Delay until a cancellation that the upstream hasn't confirmed is sent again. */
#define PD_UPSTREAM_CANCEL_RETRY_US (20 * PD_USEC_PER_MSEC)
/*
 * Time after its deadline at which a request has certainly ended at the upstream, in spite of clock
 * differences, timer delays and data still in transit.
 */
#define PD_UPSTREAM_DEADLINE_MARGIN_US (50 * PD_USEC_PER_MSEC)
/* Shortest reply timeout of an idempotent request, unless its deadline is close. */
#define PD_UPSTREAM_MIN_REPLY_TIMEOUT_US (50 * PD_USEC_PER_MSEC)
#define PD_UPSTREAM_HEALTH_TIMEOUT_US	 (250 * PD_USEC_PER_MSEC) /* for a health poll */
/* Ownership that wasn't checked for longer than this counts as newly gained. */
#define PD_UPSTREAM_OWNERSHIP_GAP_US PD_USEC_PER_SEC
/*
 * Time from their submission in which queued requests may still be sent to an upstream that is
 * leaving or whose zone is `out`.
 */
#define PD_UPSTREAM_DRAIN_TIMEOUT_US (2 * PD_USEC_PER_SEC)

/* Signature of pd_members_ownership(). */
typedef enum pd_ownership pd_ownership_fn(struct pd_members *members, struct pd_str upstream,
					  struct pd_str zone, int64_t now_us,
					  bool *first_including_silent, int64_t *valid_until_us);

struct pd_upstream_worker;

/**
 * struct pd_upstream_job - one accepted sub-request
 * @request: the sub-request; its strings point into @storage
 * @origin: id of the peer connection that it arrived on, 0 for this instance
 * @reply: called once with the reply
 * @arg: first argument of @reply
 * @id: identifies the job in this process
 * @submitted_us: time at which it was submitted
 * @deadline_us: time by which the submitter needs the reply
 * @dispatched_us: time at which it was dispatched to a worker, 0 before
 * @upstream_deadline_us: deadline sent to the upstream, at most the end of the lease; the upstream
 * stops the request pd_upstreams.deadline_margin_us later at the latest
 * @cancel_requested_us: time at which its cancellation was requested or it was abandoned, 0 if
 * neither
 * @cancel_due_us: earliest time at which the next POST /cancel is sent, unless @cancel_confirmed
 * @abandoned_us: time at which it was abandoned; its exchange had ended, so no more of the request
 * is sent after this
 * @cancel_confirmed: the upstream replied that it stopped the request
 * @crash_recorded: it was in flight during a crash of the upstream and has been recorded
 * @isolated: it is a suspect and runs in isolation: nothing else may be in flight to the upstream
 * @worker: worker that runs it; NULL while it is queued and once it is abandoned
 * @next: next job in a list of pd_upstream or in a list of refusals
 * @refusal: status to reply with, while in a list of refusals
 * @storage: bytes of the strings of @request
 */
struct pd_upstream_job {
	struct pd_msg_subrequest request;
	uint64_t origin;
	pd_reply_fn *reply;
	void *arg;
	uint64_t id;
	int64_t submitted_us;
	int64_t deadline_us;
	int64_t dispatched_us;
	int64_t upstream_deadline_us;
	int64_t cancel_requested_us;
	int64_t cancel_due_us;
	int64_t abandoned_us;
	bool cancel_confirmed;
	bool crash_recorded;
	bool isolated;
	struct pd_upstream_worker *worker;
	struct pd_upstream_job *next;
	enum pd_substatus refusal;
	char storage[];
};

/**
 * struct pd_upstream_queue - jobs that wait to be sent to one upstream
 * @jobs: the jobs, ordered by urgency, then by deadline, then by arrival
 * @count: number of jobs
 */
struct pd_upstream_queue {
	struct pd_upstream_job *jobs[PD_UPSTREAM_QUEUE_MAX];
	uint32_t count;
};

/**
 * struct pd_upstream_worker - one thread with one persistent connection
 * @up: upstream that it sends requests to
 * @index: index in pd_upstream.workers
 * @thread: the thread, if @joinable
 * @thread_running: the thread has been started and hasn't ended
 * @joinable: @thread must be joined before it is started again
 * @drop_connection: the connection must be closed before the next request
 * @job: job in flight, or NULL
 * @client: HTTP client with the connection
 *
 * The upstream's mutex guards all members but @client.
 */
struct pd_upstream_worker {
	struct pd_upstream *up;
	uint32_t index;
	pthread_t thread;
	bool thread_running;
	bool joinable;
	bool drop_connection;
	struct pd_upstream_job *job;
	struct pd_http_client *client;
};

/**
 * struct pd_upstream - one upstream of this instance's zone
 * @set: all upstreams of this instance
 * @next: next upstream in the same bucket of pd_upstreams.table
 * @name: name of the upstream
 * @mutex: guards the members that follow
 * @work_cond: wakes workers when there is work or capacity, and when an announcement has ended
 * @control_cond: wakes the control thread for a cancellation, an abandoned job or to stop
 * @config: its configuration as of @config_version; the indices in it must not be used
 * @service: name of its service
 * @collection: name of its collection
 * @config_version: version of the configuration that was read last
 * @deleted: it isn't in the configuration any more
 * @out: the configuration has it set `out`
 * @zone_out: the configuration has its zone set `out`
 * @listed_leaving: the platform's list marks it as leaving
 * @reports_draining: its health reply or a reply to a request reported that it is draining
 * @limiter: its concurrency limit
 * @queue: jobs that wait to be sent
 * @running: list of jobs that a worker is running
 * @abandoned: list of answered jobs that the upstream may still be running; each still counts
 * against the concurrency limit
 * @running_count: number of jobs in @running
 * @abandoned_count: number of jobs in @abandoned
 * @dispatching: a worker is checking whether it may send a request, which counts as in flight
 * @announcing: the suspects of a crash are being announced; until that has ended, nothing is sent
 * and no job that was recorded is answered
 * @suspect_in_flight: a suspect is in flight, so that nothing else may be sent
 * @stopping: pd_upstreams_stop() was called
 * @owned: this instance owned it at the last check
 * @last_owned_us: time of the last check that found @owned
 * @ownership: result of the last check
 * @first_including_silent: as from pd_members_ownership() at the last check
 * @lease_end_us: end of the lease at the last check
 * @workers: array of @worker_count pointers
 * @worker_count: number of workers; their threads are started as needed
 * @idle_workers: number of workers that wait for work
 * @control: control thread and its connection
 * @polling_health: the control thread waits for a health reply; a cancellation interrupts it
 * @health_due_us: time of the next health poll
 * @last_use_us: time of the last submission or dispatch
 * @last_dispatch_us: time of the last dispatch
 */
struct pd_upstream {
	struct pd_upstreams *set;
	struct pd_upstream *next;
	struct pd_name name;
	pthread_mutex_t mutex;
	pthread_cond_t work_cond;
	pthread_cond_t control_cond;
	struct pd_upstream_config config;
	struct pd_name service;
	struct pd_name collection;
	uint64_t config_version;
	bool deleted;
	bool out;
	bool zone_out;
	bool listed_leaving;
	bool reports_draining;
	struct pd_limiter limiter;
	struct pd_upstream_queue queue;
	struct pd_upstream_job *running;
	struct pd_upstream_job *abandoned;
	uint32_t running_count;
	uint32_t abandoned_count;
	bool dispatching;
	bool announcing;
	bool suspect_in_flight;
	bool stopping;
	bool owned;
	int64_t last_owned_us;
	enum pd_ownership ownership;
	bool first_including_silent;
	int64_t lease_end_us;
	struct pd_upstream_worker **workers;
	uint32_t worker_count;
	uint32_t idle_workers;
	struct pd_upstream_worker control;
	bool polling_health;
	int64_t health_due_us;
	int64_t last_use_us;
	int64_t last_dispatch_us;
};

/**
 * struct pd_upstreams - all upstreams that this instance has owned or that are marked as leaving
 * @setup: parameters of pd_upstreams_open()
 * @mutex: guards @table and @closing
 * @table: hash table of upstreams by name
 * @closing: pd_upstreams_stop() was called; no upstream is added any more
 * @deadline_margin_us: PD_UPSTREAM_DEADLINE_MARGIN_US, unless a test replaces it
 * @cancel_timeout_us: PD_UPSTREAM_CANCEL_TIMEOUT_US, unless a test replaces it
 * @ownership_fn: pd_members_ownership(), unless a test replaces it
 * @pending: number of sub-requests submitted and not yet answered (Concurrency Kit atomic)
 * @next_id: id of the next job (Concurrency Kit atomic)
 *
 * Tests replace @deadline_margin_us, @cancel_timeout_us and @ownership_fn only before the first
 * sub-request.
 */
struct pd_upstreams {
	struct pd_upstreams_setup setup;
	pthread_mutex_t mutex;
	struct pd_upstream *table[PD_UPSTREAM_HASH_BUCKETS];
	bool closing;
	int64_t deadline_margin_us;
	int64_t cancel_timeout_us;
	pd_ownership_fn *ownership_fn;
	uint64_t pending;
	uint64_t next_id;
};

/* -- upstream_queue.c -- */

struct pd_upstream_job *pd_upstream_job_new(const struct pd_msg_subrequest *request,
					    uint64_t origin, pd_reply_fn *reply, void *arg,
					    int64_t now_us);
void pd_upstream_job_free(struct pd_upstream_job *job);
/**
 * pd_upstream_queue_push() - inserts @job at its place in the order
 * @displaced: set to a normal job that was removed from the full queue for an urgent @job, or NULL
 *
 * Return: false when the queue is full and no job was removed.
 */
bool pd_upstream_queue_push(struct pd_upstream_queue *queue, struct pd_upstream_job *job,
			    struct pd_upstream_job **displaced);
struct pd_upstream_job *pd_upstream_queue_remove(struct pd_upstream_queue *queue, uint32_t index);
/* Number of queued jobs that are ahead of @job in the order. */
uint32_t pd_upstream_queue_ahead(const struct pd_upstream_queue *queue,
				 const struct pd_upstream_job *job);
/* Adds @job to a list of refusals; pd_upstream_deliver_refusals() answers it with @status. */
void pd_upstream_refuse(struct pd_upstream_job **list, struct pd_upstream_job *job,
			enum pd_substatus status);
/* Moves all queued jobs to a list of refusals. */
void pd_upstream_refuse_all(struct pd_upstream *up, struct pd_upstream_job **list,
			    enum pd_substatus status);

/* -- upstream_exchange.c -- */

/**
 * struct pd_exchange - outcome of one POST /run
 * @code: result of the HTTP client
 * @reply: reply for the submitter; its strings point into the HTTP client's memory
 * @load: load state that the upstream reported
 * @draining: the upstream refused the request because it is draining
 * @shed: the upstream shed the request because of its load
 * @service_us: time from dispatch to the reply, minus the configured time to open a connection if
 * one was opened
 */
struct pd_exchange {
	enum pd_code code;
	struct pd_msg_subreply reply;
	enum pd_load_state load;
	bool draining;
	bool shed;
	int64_t service_us;
};

/**
 * pd_exchange_run() - sends @job to the upstream and maps the HTTP reply to a sub-reply
 * @timeout_us: limit for the whole exchange, in microseconds
 */
void pd_exchange_run(struct pd_http_client *client, const struct pd_upstream_config *config,
		     const struct pd_upstream_job *job, int64_t timeout_us,
		     struct pd_exchange *exchange);

/* -- upstream_admit.c: called with the upstream's mutex held -- */

/* Copies the upstream's settings from the configuration in force if its version has changed. */
void pd_upstream_refresh_config(struct pd_upstream *up);
/*
 * Checks whether this instance may send to the upstream. The request that the check is for must
 * count as in flight before the call, so that pd_upstreams_none_in_flight_for() doesn't miss it.
 */
enum pd_ownership pd_upstream_check_ownership(struct pd_upstream *up, int64_t now_us);
/* Number of requests that may be in flight at the upstream now. */
uint32_t pd_upstream_max_in_flight(struct pd_upstream *up, int64_t now_us);
/* Median latency of a warm upstream, in microseconds; 0 while unknown. */
int64_t pd_upstream_median_us(struct pd_upstream *up);
/* Estimated time in the queue behind @ahead queued jobs, in microseconds. */
int64_t pd_upstream_queue_delay_us(struct pd_upstream *up, uint32_t ahead, int64_t now_us);
/*
 * Queues @job and returns PD_SUB_OK, or returns the reason for refusing it. May move another job
 * from the queue to @refused.
 */
enum pd_substatus pd_upstream_admit(struct pd_upstream *up, struct pd_upstream_job *job,
				    struct pd_upstream_job **refused, int64_t now_us);
/*
 * Removes the next job that may be sent now from the queue and counts it as in flight; NULL if
 * there is none. Moves queued jobs that must not be sent any more to @refused.
 */
struct pd_upstream_job *pd_upstream_next_job(struct pd_upstream *up,
					     struct pd_upstream_job **refused, int64_t now_us);
/* Moves queued jobs that can't finish before their deadlines to @refused. */
void pd_upstream_expire(struct pd_upstream *up, struct pd_upstream_job **refused, int64_t now_us);

/* -- upstream_worker.c -- */

/* Wakes or starts a worker if a queued job may be sent. Called with the mutex held. */
void pd_upstream_wake_worker(struct pd_upstream *up, int64_t now_us);
/* Joins the worker's thread if it was started, and closes its connection. */
void pd_upstream_worker_join(struct pd_upstream_worker *worker);
/* Maximum number of workers that the configured slots and connections allow. */
uint32_t pd_upstream_workers_max(const struct pd_upstream *up);

/* -- upstream_crash.c -- */

/*
 * Handles a crash of the upstream that worker @detected_by detected: updates the limiter, drops the
 * connections of the other workers, and records and announces the requests in flight as suspects.
 * Called with the mutex held, which is released in between.
 */
void pd_upstream_handle_crash(struct pd_upstream *up, const struct pd_upstream_worker *detected_by);
/*
 * Removes a recorded crash of the request of @job, which succeeded while nothing else was in
 * flight, and announces that to the peers. Called without the mutex.
 */
void pd_upstream_clear_suspect(struct pd_upstream *up, const struct pd_upstream_job *job);

/* -- upstream_control.c -- */

/* Starts the control thread if it isn't running. Called with the mutex held. */
void pd_upstream_control_start(struct pd_upstream *up);
/* Asks the control thread to cancel @job at the upstream. Called with the mutex held. */
void pd_upstream_cancel_running(struct pd_upstream *up, struct pd_upstream_job *job,
				int64_t now_us);

/* -- upstream.c -- */

/* Sets the queueing delay and concurrency limit in @reply. Called with the mutex held. */
void pd_upstream_fill_reply(struct pd_upstream *up, struct pd_msg_subreply *reply, int64_t now_us);
/* Subtracts @n answered sub-requests from the pending ones. */
void pd_upstream_count_answered(struct pd_upstreams *set, uint64_t n);
/* Answers and frees a list of refusals; called with no lock held. */
void pd_upstream_deliver_refusals(struct pd_upstream *up, struct pd_upstream_job *list);

#endif
