/* Case 7: followers of a machine whose new connections to the store are refused keep an old
 * configuration.
 *
 * Three machines of one zone; two of them follow the third. That one is partitioned from the store
 * for 5.5 s, with new connections refused, while open ones go on; the two others and the operator
 * reach the store all the while. Shortly before the cut, three backends begin to drain and another
 * zone is evacuated; one second after its beginning, the operator moves a route to another service.
 * Requests that are sent to the two followers later than config_apply_ms after the acknowledgement
 * must not run at the former service. All of that happens five times, 13 s apart.
 */
#include "lab-2.h"

#include <stdio.h>
#include <string.h>

#define ROUNDS	5
#define ROUND_S 13.0
#define CUT_S	5.5 /* the longest cut in the site's days */
#define APPLY_S 3.0

static const char *const services[] = {"repair-desk", "supplier-feed"};

static double put_config(int version, const char *service)
{
	char text[2048];

	snprintf(text, sizeof(text),
		 "{\"version\":%d,\"routes\":[{\"name\":\"tickets\",\"host\":\"shop.example\","
		 "\"path_prefix\":\"/tickets/\",\"route_kind\":\"idempotent\",\"timeout_ms\":5000,"
		 "\"target_latency_ms\":800,\"priority\":2,\"service\":\"%s\","
		 "\"max_attempts\":2}],\"services\":[{\"name\":\"repair-desk\","
		 "\"health_check_path\":\"/health\",\"max_connections\":192,\"cold_start_s\":3.0,"
		 "\"cold_per_s\":0.0},{\"name\":\"supplier-feed\",\"health_check_path\":"
		 "\"/health\",\"max_connections\":192,\"cold_start_s\":3.0,\"cold_per_s\":0.0}],"
		 "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
		 "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}",
		 version, service);
	return store_put("config", "main", text);
}

/* Counts the requests that ran at the former service too late, of those of one round. */
static int count_late(double acknowledged_s, double end_s, const char *former)
{
	int late = 0;

	for (size_t i = 0; i < sent_count; i++) {
		if (sent[i].time_s <= acknowledged_s + APPLY_S || sent[i].time_s >= end_s ||
		    strncmp(sent[i].stamp, former, strlen(former)) != 0)
			continue;
		late++;
		lab_record("late: %s, sent to %s %.0f ms after the acknowledgement, ran at %s",
			   sent[i].id, instances[sent[i].instance].name,
			   (sent[i].time_s - acknowledged_s) * 1000, sent[i].stamp);
	}
	return late;
}

void scenario(void)
{
	static const char *const names[] = {"front-boston-2", "front-boston-3", "front-boston-1"};
	double acknowledged_s[ROUNDS], end_s[ROUNDS];
	int machines[3], leaving[3], late = 0, port;

	for (int i = 0; i < 4; i++) {
		char id[16];

		snprintf(id, sizeof(id), "%s-%d", i < 2 ? "repair" : "feed", i);
		backend_start(id, services[i / 2], "boston");
	}
	for (int i = 0; i < 3; i++) {
		char id[16];

		snprintf(id, sizeof(id), "leaving-%d", i);
		leaving[i] = backend_start(id, "catalogue", "boston");
	}
	put_config(7, services[0]);
	port = store_open_port();
	/* The first machine is the one that the others follow; only it uses this port. */
	machines[0] = instance_start(names[0], "boston", port);
	machines[1] = instance_start(names[1], "boston", 0);
	machines[2] = instance_start(names[2], "boston", 0);
	for (int i = 0; i < 3; i++)
		instance_wait_ready(machines[i], 10);
	lab_sleep_until(10);
	client_start(machines[1], "/tickets/1", 50);
	client_start(machines[2], "/tickets/1", 50);
	for (int round = 0; round < ROUNDS; round++) {
		double begin_s = 12 + round * ROUND_S;

		lab_sleep_until(begin_s - 0.3);
		for (int i = 0; i < 3; i++) {
			backend_register(leaving[i], round % 2 ? "ready" : "draining");
			lab_sleep_until(begin_s - 0.3 + 0.03 * (i + 1));
		}
		if (round % 2)
			store_delete("evacuations", "portland");
		else
			store_put("evacuations", "portland", "{}");
		lab_sleep_until(begin_s);
		if (!lab_is_calm())
			store_set_mode(port, STORE_REFUSING);
		lab_sleep_until(begin_s + 1);
		acknowledged_s[round] = put_config(9 + round, services[(round + 1) % 2]);
		lab_sleep_until(begin_s + CUT_S);
		if (!lab_is_calm())
			store_set_mode(port, STORE_UP);
		lab_sleep_until(begin_s + ROUND_S - 1);
		end_s[round] = lab_now();
	}
	client_stop_all();
	lab_sleep_until(lab_now() + 1);

	pthread_mutex_lock(&sent_lock);
	for (int round = 0; round < ROUNDS; round++) {
		int count = count_late(acknowledged_s[round], end_s[round],
				       round % 2 ? "feed" : "repair");

		lab_record("cut %d: %d requests ran at the former service that were sent later than "
			   "3000 ms after the acknowledgement",
			   round + 1, count);
		printf("cut %d: %d requests ran at the former service that were sent later than "
		       "3000 ms after the acknowledgement\n",
		       round + 1, count);
		late += count;
	}
	pthread_mutex_unlock(&sent_lock);
	lab_finish(late > 0);
}
