/* A follower drops new backends that its restarted source doesn't list yet: see claim.txt. */
#include "lab.h"

#include <stdio.h>
#include <string.h>

/* A stale read may be seconds old. */
#define STALE_MS	2000
#define DOWN_MS		3500
#define CONTACT_MS	4000
#define CONFIG_APPLY_MS 3000
#define REQUESTS	40

/* Sends requests to both routes in turn; returns how many of each were served. */
static void send_requests(struct lab_instance *instance, int served[2])
{
	served[0] = served[1] = 0;
	for (int i = 0; i < 2 * REQUESTS; i++) {
		struct lab_answer answer = lab_request(instance, i % 2 ? "/tickets/" : "/parts/");

		served[i % 2] += answer.status == 200;
		lab_sleep_ms(20);
	}
}

int main(int argc, char **argv)
{
	struct lab_instance *machines[2], *source, *follower;
	int64_t killed, started, acknowledged;
	int served[2], last = 0;

	if (argc != 2)
		return LAB_NOT_RUN;
	lab_init(argv[1]);
	lab_backend_register(lab_backend_start("i-a1", "catalogue", "boston"), "ready");
	lab_backend_register(lab_backend_start("i-a2", "catalogue", "providence"), "ready");
	lab_route("/parts/", "catalogue");
	lab_publish(1);
	for (int i = 0; i < 2; i++) {
		machines[i] = lab_instance_add(i ? "front-boston-2" : "front-boston-1", "boston");
		machines[i]->stale_first_ms = STALE_MS;
		machines[i]->stale_rest_ms = STALE_MS;
	}
	lab_sleep_ms(STALE_MS + 500);
	for (int i = 0; i < 2; i++)
		lab_instance_start(machines[i]);
	for (int i = 0; i < 2; i++)
		lab_instance_wait_ready(machines[i]);
	/* A starting machine looks for one to follow for some seconds. */
	lab_sleep_ms(5000);
	source = lab_find_source();
	follower = source == machines[0] ? machines[1] : machines[0];
	lab_record("%s watches the store, %s follows it", source->name, follower->name);

	killed = lab_now_ms();
	if (lab_has_trouble())
		lab_instance_kill(source);
	lab_sleep_until_ms(killed + 2500);
	lab_backend_register(lab_backend_start("i-b1", "repair-desk", "boston"), "ready");
	lab_backend_register(lab_backend_start("i-b2", "repair-desk", "providence"), "ready");
	lab_sleep_until_ms(killed + DOWN_MS);
	started = lab_now_ms();
	if (lab_has_trouble())
		lab_instance_start(source);

	/* The route is added when both machines are in touch again. */
	lab_sleep_until_ms(started + CONTACT_MS + 2000);
	lab_route("/tickets/", "repair-desk");
	acknowledged = lab_publish(2);
	lab_sleep_until_ms(acknowledged + CONFIG_APPLY_MS + 500);
	send_requests(source, served);
	lab_record("%s served %d of %d on the first route, %d of %d on the later one", source->name,
		   served[0], REQUESTS, served[1], REQUESTS);
	send_requests(follower, served);
	lab_record("CONFIG: %s served %d of %d on the first route, %d of %d on the later one",
		   follower->name, served[0], REQUESTS, served[1], REQUESTS);
	/* How long it goes on isn't part of the check. */
	for (; last != 200 && served[1] * 4 < served[0] && lab_now_ms() < 60000;) {
		last = lab_request(follower, "/tickets/").status;
		lab_sleep_ms(1000);
	}
	lab_record("last answer of %s on the later route, %.1f s after the route was added: %d",
		   follower->name, (double)(lab_now_ms() - acknowledged) / 1000, last);
	lab_exit(served[1] * 4 < served[0] ? LAB_BROKEN : LAB_HELD);
}
