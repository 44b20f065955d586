/**
 * DOC: A small deployment on loopback for the scripts of the review
 *
 * Object store, backends and clients, which follow the users' pages, and the processes of the
 * ingress, which are started with the command of the deploy file. Everything that is sent,
 * answered and run is written to a record. Times are in milliseconds since the start.
 */
#ifndef LAB_H
#define LAB_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define LAB_INSTANCES_MAX 4
#define LAB_BACKENDS_MAX  80
#define LAB_NAME_BYTES	  96
#define LAB_RUNS_MAX	  20000

/* Exit statuses of a script. */
#define LAB_HELD    0
#define LAB_BROKEN  1
#define LAB_NOT_RUN 2

/**
 * enum lab_view_mode - how the store treats the calls of one machine
 * @LAB_VIEW_UP: it serves them
 * @LAB_VIEW_SILENT: it turns the machine away with silence: a call gets no answer, nor does a watch
 *	whose events come meanwhile; the connection of such a call returns nothing further
 */
enum lab_view_mode {
	LAB_VIEW_UP,
	LAB_VIEW_SILENT,
};

/**
 * struct lab_instance - a machine with its ingress process
 * @name: name of the machine
 * @zone: zone of the machine
 * @front: port for clients
 * @ready: port for readiness calls
 * @peer: port for other machines
 * @metrics: port for metrics
 * @store: port at which the store serves this machine
 * @mode: how the store treats this machine
 * @stale_first_ms: age of a stale read of the first page of a list
 * @stale_rest_ms: age of a stale read of the other pages
 * @checks: number of lists of instances that the machine has called for
 * @checked_ms: time of the last one
 * @watches: number of watches that wait for events
 * @pid: process; 0 if none
 * @ends: number of times that the process ended by itself
 * @settings: path of its settings file
 * @log: path of its log
 */
struct lab_instance {
	char name[LAB_NAME_BYTES];
	char zone[LAB_NAME_BYTES];
	int front;
	int ready;
	int peer;
	int metrics;
	int store;
	enum lab_view_mode mode;
	int stale_first_ms;
	int stale_rest_ms;
	int checks;
	int64_t checked_ms;
	int watches;
	pid_t pid;
	int ends;
	char settings[512];
	char log[512];
};

/**
 * struct lab_backend - a backend
 * @id: id, which is the name of its entry
 * @service: service of the backend
 * @zone: zone of the backend
 * @port: port at which it serves
 * @seq: number of its last entry
 * @runs: number of requests that it has run
 * @run_ms: time at which it began each of them
 * @cold_ms: how long it stays cold, as its next entry says
 * @running: number of requests that it runs now
 * @queued: number of requests that wait for a slot
 * @leaving: it says in its answers that it is leaving
 */
struct lab_backend {
	char id[LAB_NAME_BYTES];
	char service[LAB_NAME_BYTES];
	char zone[LAB_NAME_BYTES];
	int port;
	int seq;
	int runs;
	int64_t run_ms[LAB_RUNS_MAX];
	int cold_ms;
	int running;
	int queued;
	bool leaving;
};

/**
 * struct lab_answer - what a client got
 * @status: status; 0 if the connection ended without a complete answer
 * @service: service of the backend that signed the answer; empty if none did
 * @zone: zone of that backend
 */
struct lab_answer {
	int status;
	char service[LAB_NAME_BYTES];
	char zone[LAB_NAME_BYTES];
};

/* Starts the store; @record is the path of the record. Ends the program with LAB_NOT_RUN on
 * failure, as all functions here do.
 */
void lab_init(const char *record);
/* Ends all processes and then the program. */
void lab_exit(int status) __attribute__((noreturn));
/* Whether the disruption is to be played. */
bool lab_has_trouble(void);
void lab_record(const char *format, ...) __attribute__((format(printf, 1, 2)));
int64_t lab_now_ms(void);
void lab_sleep_ms(int64_t ms);
void lab_sleep_until_ms(int64_t at_ms);

/* Limits the number of objects on a page of a list. */
void lab_set_page_size(int size);
/* Writes an object as the operator does, whom the store always serves; returns the time of the
 * acknowledgement.
 */
int64_t lab_put(const char *kind, const char *name, json_t *spec);
int64_t lab_remove(const char *kind, const char *name);
/* Sets how the store treats a machine. */
void lab_set_view(struct lab_instance *instance, enum lab_view_mode mode);

struct lab_backend *lab_backend_start(const char *id, const char *service, const char *zone);
/* Writes the entry of a backend with the state "ready" or "draining". */
int64_t lab_backend_register(struct lab_backend *backend, const char *state);
struct lab_backend *lab_find_backend(const char *id);

/* Returns the greatest number of requests that it began to run in a time of that length, after
 * @from_ms.
 */
int lab_most_runs(const struct lab_backend *backend, int64_t from_ms, int64_t window_ms);
/* Sets the rate that cold backends tolerate, for the next configuration. */
void lab_set_cold_rate(double per_s);

/* Adds a route to the next configuration, in place of an earlier one with that prefix. */
void lab_route(const char *prefix, const char *service);
/* Publishes a configuration with all routes so far; returns the time of the acknowledgement. */
int64_t lab_publish(int version);

/* Defines a machine; its process isn't started yet. */
struct lab_instance *lab_instance_add(const char *name, const char *zone);
void lab_instance_start(struct lab_instance *instance);
void lab_instance_kill(struct lab_instance *instance);
/* Whether the process has ended by itself. */
bool lab_instance_has_ended(struct lab_instance *instance);
/* Waits until the machine is ready. */
void lab_instance_wait_ready(struct lab_instance *instance);
/* Number of watches of the machine that wait at the store. */
int lab_instance_watches(struct lab_instance *instance);
/* Waits until the machine calls for the list of instances once more; returns the time. */
int64_t lab_instance_wait_check(struct lab_instance *instance);
/* Finds the machine that watches the store for its zone, once only one of them does. */
struct lab_instance *lab_find_source(void);

/* Sends an idempotent GET request on a new connection. */
struct lab_answer lab_request(struct lab_instance *instance, const char *path);

#endif
