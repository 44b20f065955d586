/* A watch whose events came while the store was silent for a moment: see claim.txt. */
#include "lab.h"

#include <stdio.h>
#include <string.h>

#define MACHINES 4
/* Shorter than the interval at which the machine checks the store, which takes no notice then. */
#define SILENCE_MS	800
#define CONTACT_MS	4000
#define CONFIG_APPLY_MS 3000
#define REQUESTS	40

int main(int argc, char **argv)
{
	static const char *const zones[MACHINES] = {"boston", "providence", "hartford", "portland"};
	struct lab_instance *machines[MACHINES], *deaf;
	int64_t silent_until, acknowledged;
	int old_runs = 0, others_old = 0;

	if (argc != 2)
		return LAB_NOT_RUN;
	lab_init(argv[1]);
	lab_backend_register(lab_backend_start("i-old1", "catalogue", "boston"), "ready");
	lab_backend_register(lab_backend_start("i-old2", "catalogue", "providence"), "ready");
	lab_backend_register(lab_backend_start("i-new1", "invoicing", "boston"), "ready");
	lab_backend_register(lab_backend_start("i-new2", "invoicing", "providence"), "ready");
	lab_route("/parts/", "catalogue");
	lab_route("/bills/", "catalogue");
	lab_publish(1);
	for (int i = 0; i < MACHINES; i++) {
		char name[32];

		snprintf(name, sizeof(name), "front-%s-1", zones[i]);
		machines[i] = lab_instance_add(name, zones[i]);
		lab_instance_start(machines[i]);
	}
	for (int i = 0; i < MACHINES; i++)
		lab_instance_wait_ready(machines[i]);
	deaf = machines[0];
	while (lab_instance_watches(deaf) < 4)
		lab_sleep_ms(50);
	lab_sleep_ms(4000);

	/* Begins right after a check, so that the next one comes when the store is back. */
	lab_instance_wait_check(deaf);
	lab_sleep_ms(100);
	if (lab_has_trouble())
		lab_set_view(deaf, LAB_VIEW_SILENT);
	silent_until = lab_now_ms() + SILENCE_MS;
	lab_sleep_ms(SILENCE_MS / 2);
	lab_route("/parts/", "invoicing");
	lab_publish(4);
	lab_sleep_until_ms(silent_until);
	if (lab_has_trouble())
		lab_set_view(deaf, LAB_VIEW_UP);

	/* From here on the machine is in touch, and the store is stable. */
	lab_sleep_until_ms(silent_until + CONTACT_MS + 500);
	lab_route("/bills/", "invoicing");
	acknowledged = lab_publish(9);
	lab_sleep_until_ms(acknowledged + CONFIG_APPLY_MS + 200);
	for (int i = 0; i < REQUESTS; i++) {
		struct lab_answer answer = lab_request(deaf, i % 2 ? "/parts/" : "/bills/");
		struct lab_answer other = lab_request(machines[1 + i % (MACHINES - 1)],
						      i % 2 ? "/parts/" : "/bills/");

		old_runs += !strcmp(answer.service, "catalogue");
		others_old += !strcmp(other.service, "catalogue");
		lab_sleep_ms(20);
	}
	lab_record("CONFIG: %d of %d requests that %s took later than %d ms after the "
		   "acknowledgement were run by the old service; at the other machines %d",
		   old_runs, REQUESTS, deaf->name, CONFIG_APPLY_MS, others_old);
	/* How long it goes on isn't part of the check. */
	for (int i = 0; i < 60 && old_runs; i++) {
		struct lab_answer answer = lab_request(deaf, "/bills/");

		if (!strcmp(answer.service, "invoicing")) {
			lab_record("the new configuration is in force after %.1f s",
				   (double)(lab_now_ms() - acknowledged) / 1000);
			break;
		}
		lab_sleep_ms(500);
	}
	lab_exit(old_runs + others_old ? LAB_BROKEN : LAB_HELD);
}
