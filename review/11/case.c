/**
 * DOC: Upstreams that fail part of the requests that they run, with status 503
 *
 * Clients send requests of a route that isn't idempotent, and repeat one after a promise, as our
 * pages let them: after 429 or 503. Two of twelve upstreams fail a third of their requests for
 * ten seconds: they run such a request and answer 503 with their signature and without X-Not-Executed.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lab-3.h"

#define UPSTREAMS	12
#define GREY		2
#define INSTANCES	2
#define CLIENTS		8
#define TICKETS_MAX	4000
#define TROUBLE_FROM_MS 2000
#define TROUBLE_TO_MS	12000
#define END_MS		15000

static struct lab_upstream upstreams[UPSTREAMS];
static struct lab_ingress instances[INSTANCES];

/**
 * struct attempt - one request with its own id
 * @id: id
 * @ticket: ticket that the client wants to book
 * @runs: number of runs at upstreams
 * @status: status of the answer; 0 for none
 */
struct attempt {
	char id[32];
	int ticket;
	int runs;
	int status;
};

static struct attempt attempts[2 * TICKETS_MAX];
static int attempt_count;
static int ticket_count;
static int64_t start_ms;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static struct attempt *find_attempt(const char *id)
{
	for (int i = 0; i < attempt_count; i++) {
		if (!strcmp(attempts[i].id, id))
			return &attempts[i];
	}
	return NULL;
}

static void count_run(struct lab_upstream *upstream, const char *id, const char *account)
{
	struct attempt *attempt;

	(void)account;
	pthread_mutex_lock(&lock);
	attempt = find_attempt(id);
	if (attempt)
		attempt->runs++;
	pthread_mutex_unlock(&lock);
	lab_log("upstream %s runs %s", upstream->id, id);
}

/* Sends one attempt to book a ticket; returns the status of its answer. */
static int book(int ticket, int client)
{
	struct attempt *attempt;
	int status;

	pthread_mutex_lock(&lock);
	attempt = &attempts[attempt_count];
	snprintf(attempt->id, sizeof(attempt->id), "a-%d", attempt_count);
	attempt->ticket = ticket;
	attempt_count++;
	pthread_mutex_unlock(&lock);
	lab_log("client %d sends %s for ticket %d", client, attempt->id, ticket);
	status = lab_request(&instances[client % INSTANCES], "POST", "/tickets/book", NULL,
			     attempt->id, 5000);
	pthread_mutex_lock(&lock);
	attempt->status = status;
	pthread_mutex_unlock(&lock);
	lab_log("%s is answered %d", attempt->id, status);
	return status;
}

static void *run_client(void *arg)
{
	int client = (int)(intptr_t)arg;

	while (lab_ms() - start_ms < END_MS) {
		int ticket, status;

		pthread_mutex_lock(&lock);
		ticket = ticket_count++;
		pthread_mutex_unlock(&lock);
		if (ticket >= TICKETS_MAX)
			break;
		status = book(ticket, client);
		if (status == 429 || status == 503)
			book(ticket, client);
		pd_os_sleep_us(50 * PD_USEC_PER_MSEC);
	}
	return NULL;
}

static void set_grey(bool grey)
{
	lab_log("%d of %d upstreams %s", GREY, UPSTREAMS,
		grey ? "fail a third of their requests" : "are well again");
	for (int i = 0; i < GREY; i++) {
		pthread_mutex_lock(&upstreams[i].lock);
		/* Every third one: less than the 45% of the site. */
		upstreams[i].fail_every = grey ? 3 : 0;
		upstreams[i].fail_status = 503;
		pthread_mutex_unlock(&upstreams[i].lock);
	}
}

/* REFUSED: a request that isn't idempotent is answered 429, 503, 408 or 421 and has run. */
static int count_broken(int *doubled)
{
	static int booked[TICKETS_MAX + CLIENTS];
	int broken = 0;

	for (int i = 0; i < attempt_count; i++) {
		const struct attempt *a = &attempts[i];
		bool promised = a->status == 429 || a->status == 503 || a->status == 408 ||
				a->status == 421;

		booked[a->ticket] += a->runs;
		if (promised && a->runs) {
			broken++;
			lab_log("REFUSED: %s was answered %d and has run %d time(s)", a->id,
				a->status, a->runs);
		}
	}
	*doubled = 0;
	for (int i = 0; i < ticket_count && i < TICKETS_MAX; i++)
		*doubled += booked[i] > 1;
	return broken;
}

int main(void)
{
	pthread_t clients[CLIENTS];
	int broken, doubled;

	lab_begin();
	for (int i = 0; i < UPSTREAMS; i++) {
		char id[LAB_ID_BYTES];

		snprintf(id, sizeof(id), "desk-%d", i + 1);
		upstreams[i].work_ms = 40;
		upstreams[i].on_run = count_run;
		lab_upstream_start(&upstreams[i], id, "repair-desk", "boston");
	}
	lab_publish(1,
		    json_pack("[{s:s,s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:i}]", "name", "book", "host",
			      "shop.example", "path_prefix", "/tickets/", "service", "repair-desk",
			      "route_kind", "non_idempotent", "timeout_ms", 5000,
			      "target_latency_ms", 800, "priority", 2, "max_attempts", 2),
		    json_pack("[o]", lab_service("repair-desk", 192)), NULL);
	for (int i = 0; i < INSTANCES; i++) {
		char name[LAB_ID_BYTES];

		snprintf(name, sizeof(name), "front-boston-%d", i + 1);
		lab_ingress_init(&instances[i], name, "boston", "");
		lab_ingress_start(&instances[i]);
	}
	lab_wait_ready(instances, INSTANCES, 10000);
	start_ms = lab_ms();
	for (int i = 0; i < CLIENTS; i++)
		pthread_create(&clients[i], NULL, run_client, (void *)(intptr_t)i);
	lab_sleep_until(start_ms + TROUBLE_FROM_MS);
	if (lab_trouble())
		set_grey(true);
	lab_sleep_until(start_ms + TROUBLE_TO_MS);
	if (lab_trouble())
		set_grey(false);
	for (int i = 0; i < CLIENTS; i++)
		pthread_join(clients[i], NULL);
	broken = count_broken(&doubled);
	lab_log("%d attempts for %d tickets: %d answered with a promise although they have run, %d "
		"tickets booked twice",
		attempt_count, ticket_count, broken, doubled);
	lab_end(broken > 0);
}
