/*
 * Guards an instance that starts while the platform is down against staying without what its peers
 * know: the configuration and the index versions.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "config_sync.h"

#define WAIT_US (20 * PD_USEC_PER_SEC)

/**
 * struct side - one instance, without its own platform
 * @ready: signalled when a message was handled
 */
struct side {
	struct pd_config_holder config;
	struct pd_index_table index;
	struct pd_config_sync *sync;
	struct pd_link *link;
	pthread_mutex_t mutex;
	pthread_cond_t ready;
	bool index_first; /* an index version came before any configuration */
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
	struct side *side = arg;
	bool loaded = pd_config_sync_loaded(side->sync);

	pd_config_sync_handle_message(side->sync, link, msg);
	pthread_mutex_lock(&side->mutex);
	side->index_first |= msg->type == PD_MSG_INDEX && !loaded;
	pthread_cond_broadcast(&side->ready);
	pthread_mutex_unlock(&side->mutex);
}

static void on_closed(void *arg, struct pd_link *link, const struct pd_error *reason)
{
	struct side *side = arg;

	(void)link;
	(void)reason;
	pthread_mutex_lock(&side->mutex);
	side->closed = true;
	pthread_cond_broadcast(&side->ready);
	pthread_mutex_unlock(&side->mutex);
}

static void side_open(struct side *side, int fd)
{
	struct pd_config_sync_setup setup = {
		.platform = {.ip = "127.0.0.1", .port = 1},
		.config = &side->config,
		.index = &side->index,
		.on_config_changed = on_changed,
		.broadcast = on_broadcast,
		.on_upstream_leaving = on_leaving,
		.arg = side,
	};
	struct pd_link_handler handler = {on_message, on_closed, side};

	memset(side, 0, sizeof(*side));
	pthread_mutex_init(&side->mutex, NULL);
	pd_os_cond_init(&side->ready);
	pd_index_table_init(&side->index);
	ck_assert(pd_config_holder_init(&side->config, NULL) == PD_OK);
	ck_assert(pd_config_sync_open(&side->sync, &setup, NULL) == PD_OK);
	ck_assert(pd_link_start(&side->link, fd, &handler, 0, NULL) == PD_OK);
}

static void side_close(struct side *side)
{
	pd_link_close(side->link);
	pthread_mutex_lock(&side->mutex);
	while (!side->closed)
		pthread_cond_wait(&side->ready, &side->mutex);
	pthread_mutex_unlock(&side->mutex);
	pd_link_put(side->link);
	pd_config_sync_close(side->sync);
	pd_config_holder_finish(&side->config);
	pd_index_table_finish(&side->index);
}

static bool knows(struct side *side, const char *collection, uint64_t snapshot)
{
	struct pd_index_entry entry;

	return pd_index_table_find(&side->index, pd_str_from(collection), &entry) &&
	       entry.snapshot == snapshot && entry.buckets == 10;
}

/* Waits until @side has the configuration (when asked for) and both index versions. */
static bool wait_until_known(struct side *side, bool config)
{
	int64_t limit_us = pd_os_now_us() + WAIT_US;
	bool known = false;

	pthread_mutex_lock(&side->mutex);
	while (!known && pd_os_now_us() < limit_us) {
		known = knows(side, "c", 41) && knows(side, "d", 9) &&
			pd_config_sync_loaded(side->sync) == config;
		if (!known)
			pd_os_cond_wait_until(&side->ready, &side->mutex, limit_us);
	}
	pthread_mutex_unlock(&side->mutex);
	return known;
}

static struct side old;
static struct side new;

static void setup(void)
{
	struct pd_config *config;
	int fds[2];

	pd_http_global_init();
	ck_assert_int_eq(socketpair(AF_UNIX, SOCK_STREAM, 0, fds), 0);
	side_open(&old, fds[0]);
	side_open(&new, fds[1]);
	ck_assert(pd_config_from_text(PD_STR("create zone a\n"), 3, &config, NULL) == PD_OK);
	ck_assert(pd_config_holder_advance(&old.config, config));
	ck_assert(pd_index_table_update(&old.index, PD_STR("c"), 41, 10));
	ck_assert(pd_index_table_update(&old.index, PD_STR("d"), 9, 10));
}

static void teardown(void)
{
	side_close(&old);
	side_close(&new);
}

/* Fails when the peer answers with the configuration alone, or with the index after it. */
START_TEST(request_for_the_configuration_gets_the_index_too)
{
	pd_config_sync_handle_peer_version(new.sync, new.link, 3);
	ck_assert(wait_until_known(&new, true));
	ck_assert(new.index_first);
}
END_TEST

/* Fails when only peers that ask for the configuration learn the index. */
START_TEST(greeting_has_the_index)
{
	pd_config_sync_send_index(old.sync, old.link);
	ck_assert(wait_until_known(&new, false));
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
	tcase_add_test(tcase, request_for_the_configuration_gets_the_index_too);
	tcase_add_test(tcase, greeting_has_the_index);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
