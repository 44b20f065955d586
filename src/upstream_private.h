/**
 * DOC: Internals of the owner side, shared by the upstream_*.c files
 *
 * Lock order: pd_upstreams.mutex, pd_upstream.mutex, then the locks of config, members, suspects
 * and HTTP clients. Reply functions and pd_upstreams_setup.announce are called without any lock.
 */
#ifndef PD_UPSTREAM_PRIVATE_H
#define PD_UPSTREAM_PRIVATE_H

#include "http_client.h"
#include "limiter.h"
#include "upstream.h"

#define PD_UPSTREAM_QUEUE_MAX	       256
#define PD_UPSTREAM_HASH_BUCKETS       256 /* of the table by name */
#define PD_UPSTREAM_IDLE_TIMEOUT_US    (60 * PD_USEC_PER_SEC) /* after which threads end */
#define PD_UPSTREAM_POLL_INTERVAL_US   (10 * PD_USEC_PER_MSEC) /* re-check while work waits */
#define PD_UPSTREAM_HEALTH_INTERVAL_US (500 * PD_USEC_PER_MSEC) /* between health polls */
#define PD_UPSTREAM_CANCEL_TIMEOUT_US                                                              \
	(50 * PD_USEC_PER_MSEC) /* for the reply to a cancelled request */
#define PD_UPSTREAM_CANCEL_RETRY_US                                                                \
	(20 * PD_USEC_PER_MSEC) /* until an unconfirmed one is repeated */
/* For clocks, timers and data on the way, until a request has certainly ended at the upstream. */
#define PD_UPSTREAM_DEADLINE_MARGIN_US (50 * PD_USEC_PER_MSEC)
#define PD_UPSTREAM_MIN_REPLY_TIMEOUT_US                                                           \
	(50 * PD_USEC_PER_MSEC) /* least wait before a reply is missing */
#define PD_UPSTREAM_CONTROL_TIMEOUT_US (250 * PD_USEC_PER_MSEC) /* for one control request */
#define PD_UPSTREAM_OWNERSHIP_GAP_US                                                               \
	PD_USEC_PER_SEC /* unobserved ownership counts as newly gained */
#define PD_UPSTREAM_DRAIN_TIMEOUT_US                                                               \
	(2 * PD_USEC_PER_SEC) /* queued work may still start after `out` */

/* As pd_members_ownership(). */
typedef enum pd_ownership pd_ownership_fn(struct pd_members *members, struct pd_str upstream,
					  struct pd_str zone, int64_t now_us,
					  bool *first_with_silent, int64_t *valid_until_us);

struct pd_upstream_worker;

/**
 * struct pd_upstream_job - one accepted sub-request
 * @request: strings point into @storage
 * @origin: connection that it came from
 * @reply: called once, NULL afterwards
 * @arg: passed to @reply
 * @id: unique in this process
 * @submitted_us: when it was accepted (monotonic)
 * @deadline_us: monotonic
 * @dispatched_us: when it was sent, 0 before
 * @upstream_deadline_us: deadline that the upstream was given (monotonic); it stops a margin later
 * at the latest
 * @cancel_requested_us: when a cancellation was asked for, 0 if none
 * @cancel_due_us: when POST /cancel is to be sent, while it isn't confirmed
 * @abandoned_us: when its exchange ended, after which nothing more of it is sent
 * @cancel_confirmed: the upstream said that it stopped the request
 * @crash_recorded: recorded as in flight during a crash
 * @alone: a suspect, with nothing else in flight
 * @worker: that runs it; NULL in the queue and once it was abandoned
 * @next: in one of the lists of pd_upstream, or a list of refusals
 * @refusal: status to reply with, in a list of refusals
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
	bool alone;
	struct pd_upstream_worker *worker;
	struct pd_upstream_job *next;
	enum pd_substatus refusal;
	char storage[];
};

/** struct pd_upstream_queue - ordered by urgency, then deadline, then arrival */
struct pd_upstream_queue {
	struct pd_upstream_job *jobs[PD_UPSTREAM_QUEUE_MAX];
	uint32_t count;
};

/**
 * struct pd_upstream_worker - one thread with one kept connection
 * @thread_running: the thread runs; guarded by the upstream's mutex, as all members but @client
 * @joinable: @thread must be joined before it is started again
 * @drop_connection: the connection is stale, close it before the next request
 * @job: in flight
 * @client: connection
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
 * struct pd_upstream - one upstream of this zone
 * @mutex: guards all that follows
 * @work_cond: work, capacity or the end of an announcement for the workers
 * @control_cond: something to do for the control thread
 * @config: as of @config_version; indices are not used
 * @service: name of its service
 * @collection: name of its collection
 * @deleted: not in the configuration any more
 * @out: the upstream itself was set `out`
 * @zone_out: its zone was set `out`
 * @listed_leaving: the platform's list says so
 * @health_leaving: the upstream says so
 * @running: jobs in flight with a worker
 * @abandoned: answered jobs that the upstream may still be working on; they occupy capacity
 * @dispatching: a worker asks whether it may send; counts as in flight
 * @announcing: a crash is being announced; nothing is sent and no crashed job is answered
 * @exclusive: a suspect runs alone
 * @owned: last known ownership, at @last_owned_us
 * @workers: @worker_count pointers
 * @idle_workers: threads that wait for work
 * @control: the control thread's state; @control.client is its connection
 * @polling_health: the control thread waits for a health reply, which a cancellation may interrupt
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
	bool health_leaving;
	struct pd_limiter limiter;
	struct pd_upstream_queue queue;
	struct pd_upstream_job *running;
	struct pd_upstream_job *abandoned;
	uint32_t running_count;
	uint32_t abandoned_count;
	bool dispatching;
	bool announcing;
	bool exclusive;
	bool stopping;
	bool owned;
	int64_t last_owned_us;
	enum pd_ownership ownership;
	bool first_with_silent;
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

struct pd_upstreams {
	struct pd_upstreams_setup setup;
	pthread_mutex_t mutex; /* guards @table and @closing */
	struct pd_upstream *table[PD_UPSTREAM_HASH_BUCKETS];
	bool closing;
	int64_t deadline_margin_us; /* PD_UPSTREAM_DEADLINE_MARGIN_US; tests set another one before
				       the first use */
	int64_t cancel_timeout_us; /* PD_UPSTREAM_CANCEL_TIMEOUT_US; tests set another one before
				      the first use */
	pd_ownership_fn *ownership_fn; /* pd_members_ownership(); as @cancel_us */
	uint64_t pending; /* submitted and not yet answered; Concurrency Kit atomic */
	uint64_t next_id; /* Concurrency Kit atomic */
};

/* --- upstream_queue.c --- */

struct pd_upstream_job *pd_upstream_job_new(const struct pd_msg_subrequest *request,
					    uint64_t origin, pd_reply_fn *reply, void *arg,
					    int64_t now_us);
void pd_upstream_job_free(struct pd_upstream_job *job);
/**
 * pd_upstream_queue_push() - inserts @job
 * @displaced: stores a normal job that gave way to an urgent one, or NULL
 * Return: false when the queue is full and nothing gave way.
 */
bool pd_upstream_queue_push(struct pd_upstream_queue *queue, struct pd_upstream_job *job,
			    struct pd_upstream_job **displaced);
struct pd_upstream_job *pd_upstream_queue_remove(struct pd_upstream_queue *queue, uint32_t index);
/* Number of queued jobs that @job would wait for. */
uint32_t pd_upstream_queue_ahead(const struct pd_upstream_queue *queue,
				 const struct pd_upstream_job *job);
/* Puts @job on a list of refusals. */
void pd_upstream_refuse(struct pd_upstream_job **list, struct pd_upstream_job *job,
			enum pd_substatus status);
/* Moves all queued jobs to a list of refusals. */
void pd_upstream_refuse_all(struct pd_upstream *up, struct pd_upstream_job **list,
			    enum pd_substatus status);

/* --- upstream_exchange.c --- */

/**
 * struct pd_exchange - what came of one POST /run
 * @code: of the transport
 * @reply: to give to the submitter; strings point into the HTTP client's memory
 * @load: that the upstream reported
 * @draining: the upstream said that it drains
 * @shed: the upstream refused for load
 * @service_us: from dispatch to the reply, without the time of a new connection
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
 * pd_exchange_run() - sends @job and maps the reply
 * @timeout_us: for the whole exchange
 */
void pd_exchange_run(struct pd_http_client *client, const struct pd_upstream_config *config,
		     const struct pd_upstream_job *job, int64_t timeout_us,
		     struct pd_exchange *exchange);

/* --- upstream_admit.c: under the upstream's mutex --- */

/* Reads the configuration in force if its version changed. */
void pd_upstream_refresh_config(struct pd_upstream *up);
/* Must be asked only after the request that it's asked for counts as in flight. */
enum pd_ownership pd_upstream_check_ownership(struct pd_upstream *up, int64_t now_us);
uint32_t pd_upstream_max_in_flight(struct pd_upstream *up, int64_t now_us);
int64_t pd_upstream_median_us(struct pd_upstream *up); /* 0 while unknown */
int64_t pd_upstream_queue_delay_us(struct pd_upstream *up, uint32_t ahead, int64_t now_us);
/* Queues @job and returns PD_SUB_OK, or returns why not; may displace another job to @refused. */
enum pd_substatus pd_upstream_admit(struct pd_upstream *up, struct pd_upstream_job *job,
				    struct pd_upstream_job **refused, int64_t now_us);
/* Takes the next job that may be sent now and counts it as in flight; NULL if none. */
struct pd_upstream_job *pd_upstream_next_job(struct pd_upstream *up,
					     struct pd_upstream_job **refused, int64_t now_us);
/* Moves queued jobs that can't finish in time to @refused. */
void pd_upstream_expire(struct pd_upstream *up, struct pd_upstream_job **refused, int64_t now_us);

/* --- upstream_worker.c --- */

/* Starts or wakes a worker when queued work may be sent; under the mutex. */
void pd_upstream_wake_worker(struct pd_upstream *up, int64_t now_us);
void pd_upstream_worker_join(struct pd_upstream_worker *worker);
uint32_t pd_upstream_workers_max(const struct pd_upstream *up);

/* --- upstream_crash.c --- */

/*
 * Records and announces what was in flight, tells the limiter, drops all connections. Called with
 * the mutex held, which is released in between.
 */
void pd_upstream_handle_crash(struct pd_upstream *up, const struct pd_upstream_worker *by);
/* @job ran to its end on a free upstream: clears it if it was a suspect. Without the mutex. */
void pd_upstream_clear_suspect(struct pd_upstream *up, const struct pd_upstream_job *job);

/* --- upstream_control.c --- */

/* Starts the control thread if it isn't running; under the mutex. */
void pd_upstream_control_start(struct pd_upstream *up);
/* Asks the control thread to cancel @job at the upstream; under the mutex. */
void pd_upstream_cancel_running(struct pd_upstream *up, struct pd_upstream_job *job,
				int64_t now_us);

/* --- upstream.c --- */

/* Fills what every reply says of the queue and the limit; under the mutex. */
void pd_upstream_fill_reply(struct pd_upstream *up, struct pd_msg_subreply *reply, int64_t now_us);
/* @n submitted requests have been answered. */
void pd_upstream_count_answered(struct pd_upstreams *set, uint64_t n);
/* Answers and frees a list of refusals; without any lock. */
void pd_upstream_deliver_refusals(struct pd_upstream *up, struct pd_upstream_job *list);

#endif
