/* Stand-ins for the platform's store, backends and clients, and the control of ingress processes.
 * Used by the cases from review/6 on. They need only the C library.
 */
#ifndef LAB_H
#define LAB_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define LAB_MAX_BACKENDS  32
#define LAB_MAX_INSTANCES 20

/* Seconds since the start of the scenario. */
double lab_now(void);
void lab_sleep_until(double time_s);
/* Writes a line to record.txt, with the time before it. */
void lab_record(const char *format, ...) __attribute__((format(printf, 1, 2)));
/* Ends all processes and exits with 2: the case couldn't run. */
void lab_fail(const char *reason) __attribute__((noreturn));
/* Ends all processes and exits with 1 if the rule was broken, or else 0. */
void lab_finish(bool broken) __attribute__((noreturn));
/* Whether the disruption is to be left out. */
bool lab_is_calm(void);
int lab_free_port(void);

/** enum store_mode - how the store answers the calls of one machine. */
enum store_mode {
	STORE_UP,
	STORE_BUSY, /* 503 to each call */
	STORE_REFUSING, /* new connections are refused; open ones go on */
	STORE_SILENT, /* no call is answered, as by a partition that drops all packets */
};

void store_start(void);
/* Opens a further port at which the same store listens, for one machine; returns the port. */
int store_open_port(void);
/* Sets how calls to a port are answered; 0 for all ports. A busy store cuts off waiting watches. */
void store_set_mode(int port, enum store_mode mode);
/* Waits until the store has answered the next stale list at a port. */
void store_wait_for_stale_list(int port);
/* Writes an object as another writer than the ingress; returns the time of the acknowledgement. */
double store_put(const char *kind, const char *name, const char *spec);
double store_delete(const char *kind, const char *name);

/** struct arrival - a request that reached a backend */
struct arrival {
	double time_s;
	char id[24];
	int backend;
	bool ran;
};

/** struct backend - a backend of a service; all of them run every request for them with success. */
struct backend {
	char id[32];
	char service[32];
	char zone[32];
	int port;
	int listener;
	int seq;
	long long born;
	int delay_ms;
};

extern struct backend backends[LAB_MAX_BACKENDS];
extern int backend_count;
extern struct arrival *arrivals;
extern size_t arrival_count;
extern pthread_mutex_t arrivals_lock;

int backend_start(const char *id, const char *service, const char *zone);
/* Writes the entry of a backend; returns the time of the acknowledgement. */
double backend_register(int backend, const char *state);

/** struct instance - an ingress process */
struct instance {
	char name[32];
	char zone[32];
	int front, ready, peer, metrics, store_port;
	pid_t pid;
};

extern struct instance instances[LAB_MAX_INSTANCES];
extern int instance_count;

/* Starts an ingress process with the command of the deploy file. @bounds are further members. */
int instance_start(const char *name, const char *zone, int store_port);
void instance_signal(int instance, int signal);
/* Waits until an instance answers its readiness checks with 200. */
void instance_wait_ready(int instance, double timeout_s);

/** struct sent - a request of a client, and its answer */
struct sent {
	double time_s;
	double answered_s;
	char id[24];
	int instance;
	int status;
	char stamp[64];
};

extern struct sent *sent;
extern size_t sent_count;
extern pthread_mutex_t sent_lock;

/* Lets a client send GET requests to an instance on kept connections, every @interval_ms, until
 * client_stop_all().
 */
void client_start(int instance, const char *path, int interval_ms);
void client_stop(int instance);
void client_stop_all(void);

#endif
