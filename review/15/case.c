/**
 * DOC: A tenant that sends many times its usual while all processes are killed, twice
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lab-3.h"

#define INSTANCES	18
#define ZONES		3
#define CLIENTS		12
#define RUNS_MAX	100000
#define WINDOW_MS	5000
#define RATE		1.0
#define BURST		1.0
#define BOUND		((RATE * WINDOW_MS / 1000 + BURST) * 1.1 + 20)

static struct lab_upstream upstreams[4];
static struct lab_ingress instances[INSTANCES];
static int64_t start_ms, end_ms = 30000;
static int64_t sent_ms[RUNS_MAX];
static int64_t run_ms[RUNS_MAX];
static int sent_count;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static void count_run(struct lab_upstream *upstream, const char *id, const char *account)
{
	int index = atoi(id + 2);

	lab_log("upstream %s runs %s of %s", upstream->id, id, account);
	pthread_mutex_lock(&lock);
	run_ms[index] = lab_ms();
	pthread_mutex_unlock(&lock);
}

static void *run_client(void *arg)
{
	int client = (int)(intptr_t)arg, next = client;

	while (lab_ms() - start_ms < end_ms) {
		char id[32];
		int index, status;

		pthread_mutex_lock(&lock);
		index = sent_count++;
		sent_ms[index] = lab_ms();
		pthread_mutex_unlock(&lock);
		snprintf(id, sizeof(id), "q-%d", index);
		next = (next + 5) % INSTANCES;
		status = lab_request(&instances[next], "GET", "/find/a", "key-1", id, 1000);
		lab_log("client %d sent %s to %s: %d", client, id, instances[next].name, status);
		pd_os_sleep_us(100 * PD_USEC_PER_MSEC);
	}
	return NULL;
}

static int most_in_window(int64_t *at)
{
	int most = 0;

	for (int i = 0; i < sent_count; i++) {
		int count = 0;

		if (!run_ms[i])
			continue;
		for (int k = i; k < sent_count; k++) {
			if (run_ms[k] && sent_ms[k] >= sent_ms[i] &&
			    run_ms[k] <= sent_ms[i] + WINDOW_MS)
				count++;
		}
		if (count > most) {
			most = count;
			*at = sent_ms[i];
		}
	}
	return most;
}

static void kill_all(void)
{
	for (int i = 0; i < INSTANCES; i++)
		lab_ingress_signal(&instances[i], SIGKILL);
	pd_os_sleep_us(300 * PD_USEC_PER_MSEC);
	for (int i = 0; i < INSTANCES; i++)
		lab_ingress_start(&instances[i]);
}

int main(void)
{
	static const char *const zones[ZONES] = {"ub-a", "ub-b", "ub-c"};
	pthread_t clients[CLIENTS];
	int64_t at = 0;
	int most;

	lab_begin();
	for (int i = 0; i < 4; i++) {
		char id[LAB_ID_BYTES];

		snprintf(id, sizeof(id), "till-%d", i + 1);
		upstreams[i].work_ms = 10;
		upstreams[i].on_run = count_run;
		lab_upstream_start(&upstreams[i], id, "till-service", zones[i % ZONES]);
	}
	lab_publish(1,
		    json_pack("[{s:s,s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:i}]", "name", "find", "host",
			      "shop.example", "path_prefix", "/find/", "service", "till-service",
			      "route_kind", "idempotent", "timeout_ms", 2000, "target_latency_ms",
			      500, "priority", 2, "max_attempts", 2),
		    json_pack("[o]", lab_service("till-service", 883)),
		    json_pack("[{s:s,s:[s],s:f,s:f}]", "name", "house-1", "api_keys", "key-1",
			      "rate_per_s", RATE, "burst_size", BURST));
	for (int i = 0; i < INSTANCES; i++) {
		char name[LAB_ID_BYTES];

		snprintf(name, sizeof(name), "front-%s-%d", zones[i % ZONES], i / ZONES + 1);
		lab_ingress_init(&instances[i], name, zones[i % ZONES],
				 ",\"quota_window_s\":5,\"quota_overage\":0.1,\"quota_slack\":20");
		lab_ingress_start(&instances[i]);
	}
	lab_wait_ready(instances, INSTANCES, 10000);
	pd_os_sleep_us(5 * PD_USEC_PER_SEC);
	start_ms = lab_ms();
	for (int i = 0; i < CLIENTS; i++)
		pthread_create(&clients[i], NULL, run_client, (void *)(intptr_t)i);
	if (lab_trouble()) {
		lab_sleep_until(start_ms + 10000);
		kill_all();
	}
	for (int i = 0; i < CLIENTS; i++)
		pthread_join(clients[i], NULL);
	most = most_in_window(&at);
	lab_log("most requests of the tenant sent and run in 5 s: %d from %lld ms on; bound %.1f",
		most, (long long)at, BOUND);
	printf("most %d at %lld bound %.1f\n", most, (long long)at, BOUND);
	lab_end(most > BOUND);
}
