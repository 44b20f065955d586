/* A configuration with a long name of a service ends the processes: see claim.txt. */
#include "lab.h"

#include <stdio.h>
#include <string.h>

#define LONG_NAME "repair-desk.menders-of-new-england.search.brollywright-networks.example"
#define ENDS	  3

int main(int argc, char **argv)
{
	const char *service = lab_has_trouble() ? LONG_NAME : "repair-desk";
	struct lab_instance *machines[2];
	int enough = 0;

	if (argc != 2)
		return LAB_NOT_RUN;
	lab_init(argv[1]);
	lab_backend_register(lab_backend_start("i-a1", "catalogue", "boston"), "ready");
	lab_backend_register(lab_backend_start("i-b1", service, "boston"), "ready");
	lab_route("/parts/", "catalogue");
	lab_publish(1);
	for (int i = 0; i < 2; i++) {
		machines[i] = lab_instance_add(i ? "front-providence-1" : "front-boston-1",
					       i ? "providence" : "boston");
		lab_instance_start(machines[i]);
	}
	for (int i = 0; i < 2; i++)
		lab_instance_wait_ready(machines[i]);
	lab_sleep_ms(4000);
	lab_route("/tickets/", service);
	lab_publish(2);
	lab_sleep_ms(1000);
	for (int round = 0; round < ENDS; round++) {
		for (int i = 0; i < 2; i++) {
			lab_request(machines[i], "/parts/");
			lab_request(machines[i], "/tickets/");
			lab_sleep_ms(200);
			/* The platform starts it again after a short delay. */
			if (lab_instance_has_ended(machines[i])) {
				lab_sleep_ms(500);
				lab_instance_start(machines[i]);
				lab_instance_wait_ready(machines[i]);
			}
		}
	}
	for (int i = 0; i < 2; i++) {
		lab_record("Fault: the process of %s ended %d times by itself", machines[i]->name,
			   machines[i]->ends);
		enough += machines[i]->ends >= ENDS;
	}
	lab_exit(enough == 2 ? LAB_BROKEN : LAB_HELD);
}
