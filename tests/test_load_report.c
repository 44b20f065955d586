/**
 * DOC: Tests of load reports that instances of a zone pass on to each other, and of the registry's
 * use of the stated speed
 */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "counters.h"
#include "load_report.h"
#include "log.h"
#include "os.h"
#include "registry.h"
#include "registry_fleet.h"
#include "suite.h"

#define NOW (1000 * PD_USEC_PER_SEC)
#define MS  PD_USEC_PER_MSEC
/* Instances of a zone of a deployment with 1,100 instances in three zones. */
#define ZONE_INSTANCES 367

/**
 * struct instance - an instance of the ingress, as far as these tests need it
 * @registry: its registry, with the upstreams "near" and "far" of service "s"
 * @exchange: its exchange of load reports
 * @cluster: its name, zone and incarnation
 */
struct instance {
	struct pd_registry registry;
	struct pd_load_report exchange;
	struct pd_cluster cluster;
};

static struct instance a, b;

static void init_instance(struct instance *instance, const char *name, const char *zone)
{
	const struct pd_cluster_parts parts = {.load = &instance->exchange};
	struct pd_registry_options options = {.retry_ratio = 0.2, .retry_slack = 100};
	const struct pd_address address = {.ip = "127.0.0.1", .port = 9};
	struct pd_upstream_entry near = make_entry("near", zone), far = make_entry("far", "other");
	struct pd_name instance_name;

	ck_assert(pd_name_set(&options.zone, pd_str_from(zone)));
	ck_assert(pd_name_set(&instance_name, pd_str_from(name)));
	pd_registry_init(&instance->registry, &options);
	near.slots = far.slots = 2;
	pd_registry_put(&instance->registry, &near, false);
	pd_registry_put(&instance->registry, &far, false);
	pd_load_report_init(&instance->exchange, &instance->registry, 0.5);
	pd_cluster_init(&instance->cluster, &parts, &instance_name, &options.zone, &address);
}

static void setup(void)
{
	init_instance(&a, "a", "here");
	init_instance(&b, "b", "here");
}

static void teardown(void)
{
	struct instance *instances[] = {&a, &b};

	for (int i = 0; i < 2; i++) {
		pd_cluster_finish(&instances[i]->cluster);
		pd_load_report_finish(&instances[i]->exchange);
		pd_registry_finish(&instances[i]->registry);
	}
}

static struct pd_upstream *find_upstream(struct instance *instance, const char *id)
{
	struct pd_upstream *upstream;

	HASH_FIND(hh, instance->registry.upstreams, id, strlen(id), upstream);
	ck_assert_ptr_nonnull(upstream);
	return upstream;
}

static struct pd_service *service_of(struct instance *instance)
{
	return pd_registry_service(&instance->registry, PD_STR("s"));
}

/* Sends a request to any upstream. */
static struct pd_upstream *pick(struct instance *instance, int64_t now_us)
{
	struct pd_upstream *upstream =
		pd_registry_pick(&instance->registry, service_of(instance), NULL, 0, now_us);

	ck_assert_ptr_nonnull(upstream);
	return upstream;
}

/* Ends a request with a response that states a load and, unless it is 0, a speed. */
static void respond(struct instance *instance, struct pd_upstream *upstream, double load,
		    double speed, int64_t now_us)
{
	const struct pd_report report = {.kind = PD_REPORT_SUCCESS,
					 .latency_us = (int64_t)(10 * MS * (speed ? speed : 1)),
					 .has_load = true,
					 .load = load,
					 .has_speed = speed > 0,
					 .speed = speed,
					 .answered = true};

	pd_registry_report(&instance->registry, upstream, &report, now_us);
}

/* Puts what @from has learned into a datagram. */
static size_t make_datagram(struct instance *from, struct pd_buf *payload,
			    struct pd_datagram *datagram, int64_t now_us)
{
	size_t count = pd_load_report_encode(&from->exchange, payload, now_us);

	*datagram = (struct pd_datagram){.kind = PD_DATAGRAM_LOAD,
					 .sender = from->cluster.name,
					 .zone = from->cluster.zone,
					 .incarnation = from->cluster.incarnation,
					 .payload = pd_buf_str(payload)};
	return count;
}

static void receive(struct instance *to, const struct pd_datagram *datagram, int64_t now_us)
{
	pd_load_report_receive(&to->exchange, &to->cluster, datagram, now_us);
}

START_TEST(nothing_is_sent_before_a_speed_is_stated)
{
	/* Guards against datagrams, and a thread for them, in a deployment whose upstreams don't
	 * state how long work takes.
	 */
	struct pd_datagram datagram;
	struct pd_buf payload = {0};

	for (int i = 0; i < 10; i++)
		respond(&a, pick(&a, NOW), 1, 0, NOW);
	ck_assert(!pd_load_report_is_needed(&a.exchange));
	ck_assert_uint_eq(make_datagram(&a, &payload, &datagram, NOW), 0);
	ck_assert_uint_eq(payload.len, 0);
	respond(&a, pick(&a, NOW), 1, 1, NOW);
	ck_assert(pd_load_report_is_needed(&a.exchange));
	ck_assert_uint_eq(make_datagram(&a, &payload, &datagram, NOW), 1);
	pd_buf_finish(&payload);
}
END_TEST

START_TEST(report_reaches_another_instance)
{
	/* Guards against reports that are lost or changed on the way, or seem fresh when they are
	 * old.
	 */
	struct pd_upstream *upstream = pick(&a, NOW), *known;
	struct pd_datagram datagram;
	struct pd_buf payload = {0};

	respond(&a, upstream, 7, 2.5, NOW);
	ck_assert_uint_eq(make_datagram(&a, &payload, &datagram, NOW + 15 * MS), 1);
	/* The clock of the other machine shows another time. */
	receive(&b, &datagram, 3 * NOW);
	known = find_upstream(&b, upstream->id.text);
	ck_assert_double_eq_tol(known->reported_load, 7, 1e-9);
	ck_assert_double_eq_tol(known->speed, 2.5, 1e-9);
	ck_assert_int_eq(known->load_reported_us, 3 * NOW - 15 * MS);
	/* What it has received isn't passed on again. */
	ck_assert_uint_eq(pd_load_report_encode(&b.exchange, &payload, 3 * NOW), 0);
	pd_buf_finish(&payload);
}
END_TEST

START_TEST(doubled_reordered_and_late_datagrams_change_nothing)
{
	/* Guards against old news that replace newer ones: datagrams may be doubled, reordered or
	 * delayed, and lie in the socket while a process is suspended.
	 */
	struct pd_datagram first, second;
	struct pd_buf first_payload = {0}, second_payload = {0};
	struct pd_upstream *upstream = pick(&a, NOW), *known;

	respond(&a, upstream, 1, 1, NOW);
	make_datagram(&a, &first_payload, &first, NOW);
	pick(&a, NOW);
	respond(&a, upstream, 5, 1, NOW + 20 * MS);
	make_datagram(&a, &second_payload, &second, NOW + 20 * MS);
	known = find_upstream(&b, upstream->id.text);
	receive(&b, &second, NOW + 20 * MS);
	receive(&b, &first, NOW + 21 * MS);
	receive(&b, &second, NOW + 500 * MS);
	ck_assert_double_eq_tol(known->reported_load, 5, 1e-9);
	ck_assert_int_eq(known->load_reported_us, NOW + 20 * MS);
	/* A later datagram that took 300 ms longer is 300 ms older than it seems. */
	first_payload.len = 0;
	pick(&a, NOW);
	respond(&a, upstream, 3, 1, NOW + 40 * MS);
	make_datagram(&a, &first_payload, &first, NOW + 40 * MS);
	receive(&b, &first, NOW + 340 * MS);
	ck_assert_double_eq_tol(known->reported_load, 3, 1e-9);
	ck_assert_int_ge(known->load_reported_us, NOW + 39 * MS);
	ck_assert_int_le(known->load_reported_us, NOW + 41 * MS);
	/* One that took seconds is ignored. */
	second_payload.len = 0;
	pick(&a, NOW);
	respond(&a, upstream, 9, 1, NOW + 60 * MS);
	make_datagram(&a, &second_payload, &second, NOW + 60 * MS);
	receive(&b, &second, NOW + 5000 * MS);
	ck_assert_double_eq_tol(known->reported_load, 3, 1e-9);
	pd_buf_finish(&first_payload);
	pd_buf_finish(&second_payload);
}
END_TEST

START_TEST(pause_is_known_to_the_other_instance)
{
	/* Guards against parts for a paused upstream, which another instance has noticed: it pauses
	 * for 100 ms, and each instance alone notices that after its own overdue request.
	 */
	struct pd_datagram datagram;
	struct pd_buf payload = {0};
	struct pd_upstream *upstream;

	for (int i = 0; i < 20; i++) {
		struct pd_upstream *u = pick(&a, NOW);

		respond(&a, u, 0, 1, NOW);
		u = pick(&b, NOW);
		respond(&b, u, 0, 1, NOW);
	}
	ck_assert(pd_name_equal(&pick(&b, NOW)->id, &find_upstream(&b, "near")->id));
	upstream = find_upstream(&a, "near");
	while (pick(&a, NOW + MS) != upstream)
		;
	make_datagram(&a, &payload, &datagram, NOW + 2 * MS);
	payload.len = 0;
	pd_registry_report_overdue(&a.registry, upstream, NULL, 20 * MS, NOW + 21 * MS);
	ck_assert_uint_eq(make_datagram(&a, &payload, &datagram, NOW + 21 * MS), 1);
	receive(&b, &datagram, NOW + 22 * MS);
	ck_assert(pick(&b, NOW + 23 * MS) == find_upstream(&b, "far"));
	/* A request that is late while the upstream responds to others isn't a sign of a pause. */
	payload.len = 0;
	respond(&a, upstream, 2, 1, NOW + 30 * MS);
	make_datagram(&a, &payload, &datagram, NOW + 30 * MS);
	pd_registry_report_overdue(&a.registry, upstream, NULL, 20 * MS, NOW + 40 * MS);
	ck_assert_uint_eq(pd_load_report_encode(&a.exchange, &payload, NOW + 40 * MS), 0);
	pd_buf_finish(&payload);
}
END_TEST

START_TEST(other_zones_own_and_malformed_datagrams_are_ignored)
{
	/* Guards against state that others can spoil, and against reading beyond a datagram. */
	struct pd_upstream *upstream = pick(&a, NOW), *known;
	struct pd_datagram datagram;
	struct pd_buf payload = {0};
	size_t len;

	respond(&a, upstream, 6, 2, NOW);
	make_datagram(&a, &payload, &datagram, NOW);
	known = find_upstream(&b, upstream->id.text);
	receive(&a, &datagram, NOW);
	ck_assert(pd_name_set(&datagram.zone, PD_STR("other")));
	receive(&b, &datagram, NOW);
	ck_assert_int_eq(known->load_reported_us, 0);
	datagram.zone = b.cluster.zone;
	len = datagram.payload.len;
	for (datagram.payload.len = 0; datagram.payload.len < len; datagram.payload.len++) {
		datagram.incarnation++;
		receive(&b, &datagram, NOW);
		ck_assert_int_eq(known->load_reported_us, 0);
	}
	datagram.incarnation++;
	receive(&b, &datagram, NOW);
	ck_assert_double_eq_tol(known->reported_load, 6, 1e-9);
	pd_buf_finish(&payload);
}
END_TEST

START_TEST(large_instances_receive_news)
{
	/* Guards against datagrams to instances that relay their requests, and against more of them
	 * than intended in a zone of many equal instances.
	 */
	struct pd_cluster_instance instances[100];
	bool drawn[100] = {false};
	size_t count = 0;

	for (uint64_t random = 0; random < 200; random++) {
		for (int i = 0; i < 100; i++)
			instances[i] = (struct pd_cluster_instance){
				.name_hash = (uint64_t)i, .cpu_share = i % 40 ? 0.1F : 0.5F};
		ck_assert_uint_eq(pd_load_report_receivers(instances, 100, 0.1, random), 3);
		for (int i = 0; i < 3; i++)
			ck_assert_uint_eq(instances[i].name_hash % 40, 0);
		for (int i = 0; i < 100; i++)
			instances[i] = (struct pd_cluster_instance){.name_hash = (uint64_t)i,
								    .cpu_share = 0.4F};
		ck_assert_uint_eq(pd_load_report_receivers(instances, 100, 0.5, random),
				  PD_LOAD_REPORT_RECEIVERS);
		for (int i = 0; i < PD_LOAD_REPORT_RECEIVERS; i++)
			drawn[instances[i].name_hash] = true;
	}
	for (int i = 0; i < 100; i++)
		count += drawn[i];
	ck_assert_uint_eq(count, 100);
	ck_assert_uint_eq(pd_load_report_receivers(instances, 0, 0.5, 1), 0);
}
END_TEST

/* Returns a socket for datagrams and stores its address. */
static int open_receiver(struct pd_address *address)
{
	struct sockaddr_in in = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(in);
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

	ck_assert_int_ge(fd, 0);
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&in, sizeof(in)), 0);
	ck_assert_int_eq(getsockname(fd, (struct sockaddr *)&in, &len), 0);
	*address = (struct pd_address){.ip = "127.0.0.1", .port = ntohs(in.sin_port)};
	return fd;
}

START_TEST(last_instances_of_a_large_zone_receive_news)
{
	/* Guards against a large zone in which the larger instances, which select the upstreams,
	 * get no news, because they are listed after too many others.
	 */
	const struct pd_address nobody = {.ip = "127.0.0.1", .port = 9};
	const struct pd_name zone = a.cluster.zone;
	struct pd_cluster_list list;
	struct pd_address address;
	struct pd_name name;
	char bytes[PD_DATAGRAM_MAX_BYTES];
	int fd = open_receiver(&address);
	size_t count = 0;

	pd_cluster_list_begin(&a.cluster, &list);
	for (int i = 0; i < ZONE_INSTANCES; i++) {
		bool large = i >= ZONE_INSTANCES - 2;

		snprintf(bytes, sizeof(bytes), "n%d", i);
		ck_assert(pd_name_set(&name, pd_str_from(bytes)));
		pd_cluster_list_add(&list, &name, &zone, large ? &address : &nobody,
				    large ? 0.5 : 0.1);
	}
	pd_cluster_list_use(&a.cluster, &list);
	a.cluster.address.port = 0;
	ck_assert_int_eq(pd_cluster_open(&a.cluster, NULL), PD_OK);
	respond(&a, pick(&a, NOW), 1, 1, NOW);
	pd_load_report_tick(&a.exchange, &a.cluster, NOW);
	while (recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT) > 0)
		count++;
	ck_assert_uint_eq(count, 2);
	pd_os_close(&fd);
}
END_TEST

START_TEST(full_outbox_fits_into_a_datagram)
{
	/* Guards against a datagram that is too large to be sent, by ids of any length. */
	struct pd_datagram datagram;
	struct pd_buf payload = {0}, out = {0};

	respond(&a, pick(&a, NOW), 1, 1, NOW);
	for (int i = 0; i < 3 * PD_LOAD_NEWS_MAX; i++) {
		struct pd_upstream_entry entry;
		char id[64];

		snprintf(id, sizeof(id), "an-upstream-with-a-rather-long-id-%028d", i);
		entry = make_entry(id, "here");
		pd_registry_put(&a.registry, &entry, false);
		pthread_mutex_lock(&a.registry.lock);
		pd_load_news_add_locked(&a.registry, find_upstream(&a, id), false, NOW);
		pthread_mutex_unlock(&a.registry.lock);
	}
	ck_assert_uint_ge(make_datagram(&a, &payload, &datagram, NOW), 10);
	ck_assert(pd_datagram_encode(&datagram, &out));
	pd_buf_finish(&payload);
	pd_buf_finish(&out);
}
END_TEST

START_TEST(admission_uses_the_stated_speed)
{
	/* Guards against requests that are admitted although all machines are slow now, and against
	 * a speed that remains in force when it is old or no longer stated.
	 */
	int64_t usual, slow, old;

	for (int i = 0; i < 200; i++) {
		respond(&a, pick(&a, NOW), 0, 1, NOW);
		respond(&a, pick(&a, NOW), 0, 1, NOW);
	}
	usual = pd_registry_expected_latency_us(&a.registry, service_of(&a), NOW);
	ck_assert_int_ge(usual, 9 * MS);
	ck_assert_int_le(usual, 11 * MS);
	for (int i = 0; i < 2; i++) {
		const struct pd_load_news news = {.id = find_upstream(&a, i ? "near" : "far")->id,
						  .speed = 2.5,
						  .as_of_us = NOW + MS};

		pd_load_news_apply(&a.registry, &news);
	}
	slow = pd_registry_expected_latency_us(&a.registry, service_of(&a), NOW + MS);
	ck_assert_int_ge(slow, 24 * MS);
	ck_assert_int_le(slow, 26 * MS);
	old = pd_registry_expected_latency_us(&a.registry, service_of(&a), NOW + 900 * MS);
	ck_assert_int_le(old, 12 * MS);
	respond(&a, pick(&a, NOW + MS), 0, 0, NOW + 2 * MS);
	ck_assert(find_upstream(&a, "near")->speed == 0 || find_upstream(&a, "far")->speed == 0);
}
END_TEST

START_TEST(hedges_go_to_free_slots_only)
{
	/* Guards against hedges that make busy upstreams busier: without a free slot elsewhere, a
	 * late part is waited for.
	 */
	struct pd_upstream *late, *other;
	struct pd_upstream *tried[1];

	respond(&a, pick(&a, NOW), 0, 0, NOW);
	late = find_upstream(&a, "near");
	other = find_upstream(&a, "far");
	tried[0] = late;
	ck_assert(pd_registry_hedge_helps(&a.registry, service_of(&a), tried, 1, NOW));
	for (int load = 0; load < 4; load++) {
		const struct pd_load_news news = {
			.id = other->id, .load = load, .speed = 1, .as_of_us = NOW + load};

		pd_load_news_apply(&a.registry, &news);
		ck_assert(pd_registry_hedge_helps(&a.registry, service_of(&a), tried, 1,
						  NOW + load) == (load < 2));
	}
}
END_TEST

START_TEST(cost_of_a_report)
{
	/* Prints the processor time of a report that is passed on to one instance, without the
	 * system calls; guards against more than 1% of a core for 750 reports per second.
	 */
	enum { ROUNDS = 2000, REPORTS = 15 };
	int64_t start, spent = 0;

	for (int i = 0; i < REPORTS; i++) {
		struct pd_upstream_entry entry;
		char id[24];

		snprintf(id, sizeof(id), "i-%010d", i);
		entry = make_entry(id, "here");
		pd_registry_put(&a.registry, &entry, false);
		pd_registry_put(&b.registry, &entry, false);
	}
	for (int r = 0; r < ROUNDS; r++) {
		int64_t now = NOW + r * 20 * MS;
		struct pd_datagram datagram, decoded;
		struct pd_buf payload = {0}, out = {0};

		for (int i = 0; i < REPORTS; i++)
			respond(&a, pick(&a, now), 1, 1, now);
		start = pd_os_boot_us();
		make_datagram(&a, &payload, &datagram, now);
		pd_datagram_encode(&datagram, &out);
		ck_assert(pd_datagram_decode(pd_buf_str(&out), &decoded));
		receive(&b, &decoded, now);
		spent += pd_os_boot_us() - start;
		if (r == ROUNDS - 1)
			printf("datagram of %zu bytes, %.2f us for each report\n", out.len,
			       (double)spent / ROUNDS / REPORTS);
		pd_buf_finish(&payload);
		pd_buf_finish(&out);
	}
	ck_assert_double_le((double)spent / ROUNDS / REPORTS * 750, 0.01 * PD_USEC_PER_SEC);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		nothing_is_sent_before_a_speed_is_stated,
		report_reaches_another_instance,
		doubled_reordered_and_late_datagrams_change_nothing,
		pause_is_known_to_the_other_instance,
		other_zones_own_and_malformed_datagrams_are_ignored,
		large_instances_receive_news,
		last_instances_of_a_large_zone_receive_news,
		full_outbox_fits_into_a_datagram,
		admission_uses_the_stated_speed,
		hedges_go_to_free_slots_only,
		cost_of_a_report,
	};

	pd_log_open("test_load_report", PD_LOG_ERROR);
	return suite_run_with("load_report", setup, teardown, tests,
			      sizeof(tests) / sizeof(tests[0]));
}
