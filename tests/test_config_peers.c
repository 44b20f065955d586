/*
 * Tests of the synchronisation between peers. They guard against an instance that starts while the
 * platform is unavailable and doesn't receive the configuration and the index versions from its
 * peers.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "config_sync.h"

#define WAIT_US (20 * PD_USEC_PER_SEC)

/**
 * struct instance - an instance that can't reach the platform
 * @config: holder of its configuration
 * @index: its table of index versions
 * @sync: the module under test
 * @link: its end of the connection between the instances
 * @mutex: protects the members below
 * @changed: signalled when a message was handled or the link was closed
 * @index_first: whether an index version was received before any configuration
 * @closed: whether the link was closed
 */
struct instance {
	struct pd_config_holder config;
	struct pd_index_table index;
	struct pd_config_sync *sync;
	struct pd_link *link;
	pthread_mutex_t mutex;
	pthread_cond_t changed;
	bool index_first;
	bool closed;
};

static void on_changed(void *arg)
{
	(void)arg;
}

static void on_broadcast(void *arg, const struct pd_message *msg, bool own_zone)
{
	(void)arg;
	(void)msg;
	(void)own_zone;
}

static void on_leaving(void *arg, struct pd_str upstream, bool leaving)
{
	(void)arg;
	(void)upstream;
	(void)leaving;
}

static void on_message(void *arg, struct pd_link *link, const struct pd_message *msg)
{
	struct instance *instance = arg;
	bool loaded = pd_config_sync_loaded(instance->sync);

	pd_config_sync_handle_message(instance->sync, link, msg);
	pthread_mutex_lock(&instance->mutex);
	instance->index_first |= msg->type == PD_MSG_INDEX && !loaded;
	pthread_cond_broadcast(&instance->changed);
	pthread_mutex_unlock(&instance->mutex);
}

static void on_closed(void *arg, struct pd_link *link, const struct pd_error *reason)
{
	struct instance *instance = arg;

	(void)link;
	(void)reason;
	pthread_mutex_lock(&instance->mutex);
	instance->closed = true;
	pthread_cond_broadcast(&instance->changed);
	pthread_mutex_unlock(&instance->mutex);
}

static void instance_open(struct instance *instance, int fd)
{
	struct pd_config_sync_setup setup = {
		.platform = {.ip = "127.0.0.1", .port = 1},
		.config = &instance->config,
		.index = &instance->index,
		.on_config_changed = on_changed,
		.broadcast = on_broadcast,
		.on_upstream_leaving = on_leaving,
		.arg = instance,
	};
	struct pd_link_handler handler = {on_message, on_closed, instance};

	memset(instance, 0, sizeof(*instance));
	pthread_mutex_init(&instance->mutex, NULL);
	pd_os_cond_init(&instance->changed);
	pd_index_table_init(&instance->index);
	ck_assert(pd_config_holder_init(&instance->config, NULL) == PD_OK);
	ck_assert(pd_config_sync_open(&instance->sync, &setup, NULL) == PD_OK);
	ck_assert(pd_link_start(&instance->link, fd, &handler, 0, NULL) == PD_OK);
}

static void instance_close(struct instance *instance)
{
	pd_link_close(instance->link);
	pthread_mutex_lock(&instance->mutex);
	while (!instance->closed)
		pthread_cond_wait(&instance->changed, &instance->mutex);
	pthread_mutex_unlock(&instance->mutex);
	pd_link_put(instance->link);
	pd_config_sync_close(instance->sync);
	pd_config_holder_finish(&instance->config);
	pd_index_table_finish(&instance->index);
}

static bool has_index_version(struct instance *instance, const char *collection, uint64_t snapshot)
{
	struct pd_index_entry entry;

	return pd_index_table_find(&instance->index, pd_str_from(collection), &entry) &&
	       entry.snapshot == snapshot && entry.buckets == 10;
}

/* Waits until @instance has both index versions, and has a configuration if and only if @config is
 * true; returns false on a timeout. */
static bool wait_until_received(struct instance *instance, bool config)
{
	int64_t deadline_us = pd_os_now_us() + WAIT_US;
	bool received = false;

	pthread_mutex_lock(&instance->mutex);
	while (!received && pd_os_now_us() < deadline_us) {
		received = has_index_version(instance, "c", 41) &&
			   has_index_version(instance, "d", 9) &&
			   pd_config_sync_loaded(instance->sync) == config;
		if (!received)
			pd_os_cond_wait_until(&instance->changed, &instance->mutex, deadline_us);
	}
	pthread_mutex_unlock(&instance->mutex);
	return received;
}

static struct instance running_instance;
static struct instance starting_instance;

static void setup(void)
{
	struct pd_config *config;
	int fds[2];

	pd_http_global_init();
	ck_assert_int_eq(socketpair(AF_UNIX, SOCK_STREAM, 0, fds), 0);
	instance_open(&running_instance, fds[0]);
	instance_open(&starting_instance, fds[1]);
	ck_assert(pd_config_from_text(PD_STR("create zone a\n"), 3, &config, NULL) == PD_OK);
	ck_assert(pd_config_holder_advance(&running_instance.config, config));
	ck_assert(pd_index_table_update(&running_instance.index, PD_STR("c"), 41, 10));
	ck_assert(pd_index_table_update(&running_instance.index, PD_STR("d"), 9, 10));
}

static void teardown(void)
{
	instance_close(&running_instance);
	instance_close(&starting_instance);
}

/* Fails if the peer answers without the index versions, or sends them after the configuration. */
START_TEST(configuration_request_is_answered_with_the_index_first)
{
	bool index_first;

	pd_config_sync_handle_peer_config_version(starting_instance.sync, starting_instance.link,
						  3);
	ck_assert(wait_until_received(&starting_instance, true));
	pthread_mutex_lock(&starting_instance.mutex);
	index_first = starting_instance.index_first;
	pthread_mutex_unlock(&starting_instance.mutex);
	ck_assert(index_first);
}
END_TEST

/* Fails if only peers that request the configuration receive the index versions. */
START_TEST(index_is_sent_without_a_configuration_request)
{
	pd_config_sync_send_index(running_instance.sync, running_instance.link);
	ck_assert(wait_until_received(&starting_instance, false));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("config_peers");
	TCase *tcase = tcase_create("config_peers");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_set_timeout(tcase, 60);
	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, configuration_request_is_answered_with_the_index_first);
	tcase_add_test(tcase, index_is_sent_without_a_configuration_request);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
