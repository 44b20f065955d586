/**
 * DOC: Small stand-ins for the cases of the third review
 *
 * Starts ingress processes with the command of the deploy file, upstreams, and the project's own
 * stand-in of the platform's store, all on loopback addresses, and sends requests as clients do.
 * Everything that is sent, answered and run is appended to the record.
 */
#ifndef REVIEW_LAB_3_H
#define REVIEW_LAB_3_H

#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "os.h"
#include "platform_store.h"

#define LAB_ID_BYTES 40

/* Opens the record in the folder that RECORD names, reads TROUBLE, and starts the store. */
void lab_begin(void);
/* Whether the disruption takes place: TROUBLE isn't 0. */
bool lab_trouble(void);
/* Milliseconds since lab_begin(). */
int64_t lab_ms(void);
void lab_sleep_until(int64_t ms);
__attribute__((format(printf, 1, 2))) void lab_log(const char *format, ...);
/* Ends with status 2: the case couldn't run. */
__attribute__((format(printf, 1, 2), noreturn)) void lab_give_up(const char *format, ...);
/* Ends all processes that were started, and exits with 1 if @broken, else with 0. */
__attribute__((noreturn)) void lab_end(bool broken);

extern struct platform_store lab_store;

/**
 * struct lab_upstream - an upstream
 * @id: its id, under which it registers
 * @service: service that it belongs to
 * @zone: its zone
 * @address: address at which it serves
 * @listener: listening socket
 * @work_ms: time that a request takes
 * @fail_every: every such request is run and answered with @fail_status; 0 for none
 * @fail_status: status of these answers, which have a signature and no X-Not-Executed
 * @born_ms: Unix time of its start, in milliseconds
 * @seq: number of its last heartbeat
 * @runs: number of requests that it has run
 * @lock: guards the members above it
 * @on_run: if set, called when a request begins to run, with its id
 */
struct lab_upstream {
	char id[LAB_ID_BYTES];
	char service[LAB_ID_BYTES];
	char zone[LAB_ID_BYTES];
	struct pd_address address;
	int listener;
	int work_ms;
	int fail_every;
	int fail_status;
	int64_t born_ms;
	int seq;
	uint32_t runs;
	pthread_mutex_t lock;
	void (*on_run)(struct lab_upstream *upstream, const char *request, const char *account);
};

/* Starts an upstream at a free port and registers it. */
void lab_upstream_start(struct lab_upstream *upstream, const char *id, const char *service,
			const char *zone);
/* Writes its entry with that state. */
void lab_upstream_register(struct lab_upstream *upstream, const char *state);

/**
 * struct lab_ingress - an ingress process
 * @name: name of the instance
 * @zone: its zone
 * @ip: its loopback address
 * @front: port for clients
 * @ready: port of the readiness call
 * @metrics: port of the metrics
 * @peer: port for other instances
 * @door: address at which it reaches the store
 * @settings: path of its settings file
 * @log: path of its log
 * @pid: its process; 0 while it doesn't run
 */
struct lab_ingress {
	char name[LAB_ID_BYTES];
	char zone[LAB_ID_BYTES];
	char ip[16];
	uint16_t front;
	uint16_t ready;
	uint16_t metrics;
	uint16_t peer;
	struct platform_store_door door;
	char settings[256];
	char log[256];
	pid_t pid;
};

/* Gives the instance its addresses and its settings file. @bounds are further members of the bounds
 * of the settings, such as ",\"quota_window_s\":5"; "" for none.
 */
void lab_ingress_init(struct lab_ingress *ingress, const char *name, const char *zone,
		      const char *bounds);
void lab_ingress_start(struct lab_ingress *ingress);
/* Sends a signal; for SIGKILL, waits for the end of the process. */
void lab_ingress_signal(struct lab_ingress *ingress, int number);
/* Waits for the end of the process; false if it doesn't end in time. */
bool lab_ingress_wait(struct lab_ingress *ingress, int64_t timeout_ms);
/* Whether the readiness call gets 200. */
bool lab_ingress_is_ready(const struct lab_ingress *ingress);
void lab_wait_ready(struct lab_ingress *ingresses, size_t count, int64_t timeout_ms);

/* Returns a free port of the address, from a range below those that the kernel assigns. */
uint16_t lab_free_port(const char *ip);

/**
 * lab_request() - sends a request on a new connection and reads the answer
 * @ingress: instance
 * @method: method
 * @path: path
 * @key: API key; NULL for none
 * @id: id of the attempt
 * @deadline_ms: time that the client waits
 *
 * Return: status of the answer; 0 if there was none.
 */
int lab_request(const struct lab_ingress *ingress, const char *method, const char *path,
		const char *key, const char *id, int deadline_ms);

/* Publishes a configuration; takes over the references. @accounts may be NULL. */
void lab_publish(int version, json_t *routes, json_t *services, json_t *accounts);
json_t *lab_service(const char *name, int max_connections);

#endif
