/* Case 6: removals are held for good at an instance that loses its source while that holds them.
 *
 * Four zones with two machines each. The store is down for 4.5 s and returns. One second later, the
 * machine of each zone that the other one follows is lost for good. Eight seconds later, when the
 * store and all remaining machines have been calm for twice contact_ms, a backend leaves without
 * reporting "draining": its entry is removed, and it serves on for a while. No request may reach it
 * later than drain_timeout_ms after that.
 */
#include "lab-2.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define ZONES		4
#define DOWN_S		4.5 /* the site's days have up to 5.5 */
#define DRAIN_TIMEOUT_S 3.0
#define SERVES_ON_S	8.0

static bool was_sent_to_survivor(const char *id, const int *survivors)
{
	for (size_t i = 0; i < sent_count; i++) {
		if (strcmp(sent[i].id, id) != 0)
			continue;
		for (int z = 0; z < ZONES; z++) {
			if (sent[i].instance == survivors[z])
				return true;
		}
	}
	return false;
}

void scenario(void)
{
	/* The first machine of each zone is the one that the other follows. */
	static const char *const names[ZONES][2] = {{"front-boston-2", "front-boston-3"},
						    {"front-providence-2", "front-providence-1"},
						    {"front-hartford-2", "front-hartford-1"},
						    {"front-portland-1", "front-portland-2"}};
	static const char *const zones[ZONES] = {"boston", "providence", "hartford", "portland"};
	int followed[ZONES], survivors[ZONES], late = 0;
	double back_s, removed_s;

	for (int i = 0; i < ZONES; i++) {
		char id[16];

		snprintf(id, sizeof(id), "i-%04d", i + 1);
		backend_start(id, "repair-desk", zones[i]);
	}
	store_put("config", "main",
		  "{\"version\":7,\"routes\":[{\"name\":\"tickets\",\"host\":\"shop.example\","
		  "\"path_prefix\":\"/tickets/\",\"route_kind\":\"idempotent\",\"timeout_ms\":5000,"
		  "\"target_latency_ms\":800,\"priority\":2,\"service\":\"repair-desk\","
		  "\"max_attempts\":2}],\"services\":[{\"name\":\"repair-desk\","
		  "\"health_check_path\":\"/health\",\"max_connections\":192,"
		  "\"cold_start_s\":3.0,\"cold_per_s\":0.0}],\"limits\":{"
		  "\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
		  "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
	for (int z = 0; z < ZONES; z++) {
		followed[z] = instance_start(names[z][0], zones[z], 0);
		survivors[z] = instance_start(names[z][1], zones[z], 0);
	}
	for (int z = 0; z < ZONES; z++) {
		instance_wait_ready(followed[z], 10);
		instance_wait_ready(survivors[z], 10);
	}
	lab_sleep_until(12);
	for (int z = 0; z < ZONES; z++) {
		client_start(followed[z], "/tickets/1", 50);
		client_start(survivors[z], "/tickets/1", 50);
	}
	lab_sleep_until(14);
	if (!lab_is_calm())
		store_set_mode(0, STORE_BUSY);
	lab_sleep_until(14 + DOWN_S);
	back_s = lab_now();
	if (!lab_is_calm()) {
		store_set_mode(0, STORE_UP);
		lab_sleep_until(back_s + 1);
		for (int z = 0; z < ZONES; z++) {
			client_stop(followed[z]);
			instance_signal(followed[z], SIGKILL);
		}
	}
	lab_sleep_until(back_s + 9);
	removed_s = store_delete("servers", backends[0].id);
	lab_sleep_until(removed_s + SERVES_ON_S);
	client_stop_all();
	lab_sleep_until(removed_s + SERVES_ON_S + 0.5);

	pthread_mutex_lock(&arrivals_lock);
	pthread_mutex_lock(&sent_lock);
	for (size_t i = 0; i < arrival_count; i++) {
		const struct arrival *arrival = &arrivals[i];

		if (arrival->backend || !arrival->ran ||
		    arrival->time_s <= removed_s + DRAIN_TIMEOUT_S ||
		    !was_sent_to_survivor(arrival->id, survivors))
			continue;
		late++;
		lab_record("late: %s reached %s %.0f ms after its removal", arrival->id,
			   backends[0].id, (arrival->time_s - removed_s) * 1000);
	}
	pthread_mutex_unlock(&sent_lock);
	pthread_mutex_unlock(&arrivals_lock);
	lab_record("%d requests reached %s later than 3000 ms after its removal", late,
		   backends[0].id);
	printf("%d requests reached the removed backend later than 3000 ms after its removal\n",
	       late);
	lab_finish(late > 0);
}
