/* A restarted machine misses a change between two pages of its first list: see claim.txt. */
#include "lab.h"

#include <stdio.h>
#include <string.h>

/* The first page of a stale read is current, the second one some seconds old. */
#define STALE_MS	2000
#define PAGE_SIZE	50
#define FIRST_PAGE	50
#define DOWN_MS		500
#define CONTACT_MS	4000
#define CONFIG_APPLY_MS 3000
#define REQUESTS	40

int main(int argc, char **argv)
{
	struct lab_instance *machine;
	int served[2] = {0, 0}, last = 0;
	int64_t started, acknowledged;

	if (argc != 2)
		return LAB_NOT_RUN;
	lab_init(argv[1]);
	lab_set_page_size(PAGE_SIZE);
	for (int i = 0; i < FIRST_PAGE; i++) {
		char id[32], service[32];

		snprintf(id, sizeof(id), "i-%04d", i);
		snprintf(service, sizeof(service), "catalogue%d", i / 2);
		lab_backend_register(
			lab_backend_start(id, service, i % 2 ? "boston" : "providence"), "ready");
	}
	lab_backend_register(lab_backend_start("i-8000", "supplier-feed", "boston"), "ready");
	lab_route("/parts/", "catalogue0");
	lab_publish(1);
	machine = lab_instance_add("front-boston-1", "boston");
	machine->stale_rest_ms = STALE_MS;
	lab_sleep_ms(STALE_MS + 500);
	lab_instance_start(machine);
	lab_instance_wait_ready(machine);
	lab_sleep_ms(6000);

	lab_backend_register(lab_backend_start("i-9001", "repair-desk", "boston"), "ready");
	lab_backend_register(lab_backend_start("i-9002", "repair-desk", "providence"), "ready");
	lab_sleep_ms(500);
	if (lab_has_trouble())
		lab_instance_kill(machine);
	lab_sleep_ms(DOWN_MS);
	started = lab_now_ms();
	if (lab_has_trouble())
		lab_instance_start(machine);
	lab_sleep_until_ms(started + CONTACT_MS + 2000);
	lab_route("/tickets/", "repair-desk");
	acknowledged = lab_publish(2);
	lab_sleep_until_ms(acknowledged + CONFIG_APPLY_MS + 500);
	for (int i = 0; i < 2 * REQUESTS; i++) {
		struct lab_answer answer = lab_request(machine, i % 2 ? "/tickets/" : "/parts/");

		served[i % 2] += answer.status == 200;
		lab_sleep_ms(20);
	}
	lab_record("CONFIG: %s served %d of %d on the first route, %d of %d on the later one",
		   machine->name, served[0], REQUESTS, served[1], REQUESTS);
	/* How long it goes on isn't part of the check. */
	for (; last != 200 && served[1] * 4 < served[0] && lab_now_ms() < 60000;) {
		last = lab_request(machine, "/tickets/").status;
		lab_sleep_ms(1000);
	}
	lab_record("last answer on the later route, %.1f s after the route was added: %d",
		   (double)(lab_now_ms() - acknowledged) / 1000, last);
	lab_exit(served[1] * 4 < served[0] ? LAB_BROKEN : LAB_HELD);
}
