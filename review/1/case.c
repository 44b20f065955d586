/* A source that starts without the store ends an evacuation at its follower: see claim.txt. */
#include "lab.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>

#define MACHINES      3
#define CONTACT_MS    4000
#define EVACUATION_MS 5000
#define RESTART_MS    500 /* a killed process is started again after a short delay */
#define SILENCE_MS    9000
#define CLIENTS	      6 /* at each machine */
/* Interval at which a machine that watches the store checks it. */
#define CHECK_MS 1200
/* Time after which a machine calls for its source again, with the next check of the store. */
#define RETRY_MS 4000
/* Time after which the other machines have noticed that their source is turned away. */
#define SWITCH_MS 3000
/* Age of the restarted process at that time. */
#define AGE_MS 350

static struct lab_instance *machines[MACHINES];
static volatile bool stopped;

static void *send_requests(void *arg)
{
	struct lab_instance *instance = arg;

	while (!stopped) {
		lab_request(instance, "/parts/");
		lab_sleep_ms(50);
	}
	return NULL;
}

/* Returns a machine that watches the store in place of @source, and the time since which it does.
 */
static struct lab_instance *wait_for_switch(const struct lab_instance *source, int64_t *switched)
{
	int64_t since[MACHINES] = {0}, until = lab_now_ms() + SWITCH_MS;

	while (lab_now_ms() < until) {
		for (int i = 0; i < MACHINES; i++) {
			if (machines[i] == source || lab_instance_watches(machines[i]) < 4)
				since[i] = 0;
			else if (!since[i])
				since[i] = lab_now_ms();
		}
		lab_sleep_ms(5);
	}
	for (int i = 0; i < MACHINES; i++) {
		if (!since[i])
			continue;
		*switched = since[i];
		return machines[i];
	}
	lab_record("not run: no other machine watches the store");
	lab_exit(LAB_NOT_RUN);
}

int main(int argc, char **argv)
{
	struct lab_instance *source, *first = NULL;
	struct lab_backend *west[2];
	pthread_t threads[(MACHINES - 1) * CLIENTS];
	int64_t acknowledged, silent, switched;
	int runs_before, runs_after, clients = 0;

	if (argc != 2)
		return LAB_NOT_RUN;
	lab_init(argv[1]);
	lab_backend_register(lab_backend_start("i-e1", "catalogue", "boston"), "ready");
	lab_backend_register(lab_backend_start("i-e2", "catalogue", "boston"), "ready");
	for (int i = 0; i < 2; i++) {
		west[i] = lab_backend_start(i ? "i-w2" : "i-w1", "catalogue", "providence");
		lab_backend_register(west[i], "ready");
	}
	lab_route("/parts/", "catalogue");
	lab_publish(1);
	for (int i = 0; i < MACHINES; i++) {
		char name[32];

		snprintf(name, sizeof(name), "front-hartford-%d", i + 1);
		machines[i] = lab_instance_add(name, "hartford");
		lab_instance_start(machines[i]);
	}
	for (int i = 0; i < MACHINES; i++)
		lab_instance_wait_ready(machines[i]);
	/* A starting machine looks for one to follow for some seconds. */
	lab_sleep_ms(5000);
	source = lab_find_source();
	lab_record("%s watches the store for its zone", source->name);
	for (int i = 0; i < MACHINES; i++) {
		for (int c = 0; c < CLIENTS && machines[i] != source; c++)
			pthread_create(&threads[clients++], NULL, send_requests, machines[i]);
	}
	lab_sleep_ms(3000);
	acknowledged = lab_put("evacuations", "providence", json_object());
	lab_sleep_until_ms(acknowledged + EVACUATION_MS + 1000);
	runs_before = west[0]->runs + west[1]->runs;

	silent = lab_now_ms();
	if (lab_has_trouble()) {
		lab_set_view(source, LAB_VIEW_SILENT);
		first = wait_for_switch(source, &switched);
		lab_record("%s watches the store now", first->name);
		lab_sleep_until_ms(switched + RETRY_MS - CHECK_MS / 2);
		lab_instance_wait_check(first);
		lab_sleep_ms(CHECK_MS - RESTART_MS - AGE_MS);
		lab_instance_kill(source);
		lab_sleep_ms(RESTART_MS);
		lab_instance_start(source);
		lab_sleep_until_ms(silent + SILENCE_MS);
		lab_set_view(source, LAB_VIEW_UP);
	} else {
		lab_sleep_ms(SILENCE_MS);
	}
	lab_sleep_ms(2000);
	stopped = true;
	for (int i = 0; i < clients; i++)
		pthread_join(threads[i], NULL);
	runs_after = west[0]->runs + west[1]->runs - runs_before;
	lab_record(
		"EVAC: %d requests reached backends of the evacuated zone later than %d ms after "
		"the acknowledgement, from machines without disruption",
		runs_after, EVACUATION_MS);
	lab_exit(runs_after ? LAB_BROKEN : LAB_HELD);
}
