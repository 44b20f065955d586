#include "ingress.h"

#include <stdlib.h>
#include <string.h>

#include "counters.h"
#include "ingress_private.h"
#include "log.h"
#include "os.h"
#include "policy.h"
#include "relay.h"

/* Number of file descriptors reserved for everything but connections to upstreams: files,
 * listeners, connections to the store and to clients.
 */
#define DESCRIPTORS_RESERVED	 500
#define UPSTREAM_CONNECTIONS_MIN 64
#define CONNECTIONS_MAX		 256 /* on all listeners; one thread each */
/* Limit of in-flight requests; a gathered request uses one upstream connection for each service. */
#define REQUESTS_MAX 200
/* Responses that are being read may take up this part of the memory limit together. */
#define RESPONSES_MEMORY_DIVISOR       4
#define RESPONSES_MEMORY_DEFAULT_BYTES (64 * 1024 * 1024)
/* If less than this share of the gathered services is reachable, the instance reports that it isn't
 * ready, because other instances can serve its clients better.
 */
#define MIN_REACHABLE_SHARE 0.7
/* A stopping process sends its last response at least this long before the platform kills it. */
#define STOP_MARGIN_US	 (300 * PD_USEC_PER_MSEC)
#define PROBE_TIMEOUT_US (60 * PD_USEC_PER_MSEC)
/* If a stopping process receives no request for this long, its clients have moved to other
 * instances.
 */
#define STOP_IDLE_US (250 * PD_USEC_PER_MSEC)

static void init_cluster(struct pd_ingress *ingress)
{
	const struct pd_cluster_parts parts = {.directory = &ingress->directory,
					       .quota = &ingress->quota,
					       .load = &ingress->load,
					       .rollout = &ingress->rollout};

	pd_quota_exchange_init(&ingress->quota, &ingress->registry, &ingress->settings);
	pd_load_report_init(&ingress->load, &ingress->registry, ingress->settings.cpu_share);
	pd_rollout_exchange_init(&ingress->rollout);
	pd_cluster_init(&ingress->cluster, &parts, &ingress->settings.node, &ingress->settings.zone,
			&ingress->settings.peer);
	ingress->membership.cluster = &ingress->cluster;
}

/* Whether the settings ask for a part that exchanges datagrams. */
static bool needs_cluster(const struct pd_ingress_settings *settings)
{
	return settings->revocation_ms || settings->quota_window_s > 0 ||
	       settings->exposure_share > 0;
}

struct pd_ingress *pd_ingress_create(const struct pd_ingress_settings *settings,
				     struct pd_error *err)
{
	struct pd_ingress *ingress = calloc(1, sizeof(*ingress));
	struct pd_registry_options options = {
		.zone = settings->zone,
		.retry_ratio = settings->retry_ratio,
		.retry_slack = settings->retry_slack,
	};
	const struct pd_address *addresses[PD_LISTENER_COUNT] = {&settings->front, &settings->ready,
								 &settings->metrics};
	const struct pd_instance_entry self = {.name = settings->node,
					       .zone = settings->zone,
					       .address = settings->peer,
					       .front = settings->front,
					       .cpu_share = settings->cpu_share};
	uint32_t connections_max = UPSTREAM_CONNECTIONS_MIN;

	if (!ingress) {
		pd_error_set(err, PD_LAYER_STATE, PD_NO_MEMORY, "ingress");
		return NULL;
	}
	ingress->settings = *settings;
	if (settings->max_descriptors > DESCRIPTORS_RESERVED + UPSTREAM_CONNECTIONS_MIN)
		connections_max = settings->max_descriptors - DESCRIPTORS_RESERVED;
	pd_registry_init(&ingress->registry, &options);
	pd_pool_init(&ingress->pool, &ingress->registry, connections_max,
		     settings->memory_max_bytes
			     ? settings->memory_max_bytes / RESPONSES_MEMORY_DIVISOR
			     : RESPONSES_MEMORY_DEFAULT_BYTES);
	pd_directory_init(&ingress->directory, &ingress->registry);
	pd_sync_init(&ingress->sync, &ingress->directory, &settings->store);
	pd_sync_prove_config(&ingress->sync, settings->revocation_ms);
	pd_membership_init(&ingress->membership, &ingress->directory, &ingress->sync, &self);
	pd_reporter_init(&ingress->reporter, &ingress->directory, &ingress->sync);
	pd_feed_init(&ingress->feed, &ingress->directory, &self.name, &settings->peer);
	pd_fair_share_init(&ingress->fair_share, pd_os_random_seed() | 1);
	init_cluster(ingress);
	pthread_mutex_init(&ingress->lock, NULL);
	for (size_t i = 0; i < PD_LISTENER_COUNT; i++) {
		ingress->listeners[i] = (struct pd_listener){.ingress = ingress,
							     .kind = (enum pd_listener_kind)i,
							     .address = *addresses[i],
							     .fd = -1};
	}
	return ingress;
}

/**
 * struct connection - argument of the thread that serves a connection
 * @listener: listener that accepted the connection
 * @fd: socket of the connection
 */
struct connection {
	struct pd_listener *listener;
	int fd;
};

/* Counts a request whose first byte was received; false if requests are no longer read. */
static bool begin_request(struct pd_ingress *ingress)
{
	bool admitted;

	pthread_mutex_lock(&ingress->lock);
	admitted = !ingress->closing;
	if (admitted) {
		ingress->requests++;
		ingress->last_request_us = pd_os_boot_us();
	}
	pthread_mutex_unlock(&ingress->lock);
	return admitted;
}

static void end_request(struct pd_ingress *ingress)
{
	pthread_mutex_lock(&ingress->lock);
	ingress->requests--;
	pthread_mutex_unlock(&ingress->lock);
}

static struct pd_limits current_limits(struct pd_ingress *ingress)
{
	struct pd_catalog *catalog = pd_registry_catalog(&ingress->registry);
	struct pd_limits limits = catalog ? catalog->limits : PD_LIMITS_DEFAULT;

	pd_catalog_release(catalog);
	return limits;
}

/* Reads and serves one request; false if the connection must be closed. */
static bool read_and_serve(struct pd_listener *listener, struct pd_client *client)
{
	struct pd_limits limits = current_limits(listener->ingress);
	enum pd_client_result result;

	if (!pd_client_wait(client, limits.idle_timeout_ms))
		return false;
	result = pd_client_read(client, &limits);
	if (result != PD_CLIENT_REQUEST) {
		pd_serve_read_error(client, result);
		return false;
	}
	if (listener->kind == PD_LISTENER_FRONT)
		return pd_serve_request(listener->ingress, client);
	return pd_serve_status(listener->ingress, client, listener->kind);
}

/* Serves the next request of a connection; false if the connection must be closed. Requests on the
 * front listener are counted as in flight.
 */
static bool serve_request(struct pd_listener *listener, struct pd_client *client)
{
	struct pd_ingress *ingress = listener->ingress;
	struct pd_limits limits = current_limits(ingress);
	bool keep_open;

	if (listener->kind != PD_LISTENER_FRONT)
		return read_and_serve(listener, client);
	if (!pd_client_wait(client, limits.idle_timeout_ms) || !begin_request(ingress))
		return false;
	keep_open = read_and_serve(listener, client);
	end_request(ingress);
	return keep_open;
}

static void *serve_connection(void *arg)
{
	struct connection connection = *(struct connection *)arg;
	struct pd_ingress *ingress = connection.listener->ingress;
	struct pd_client client;

	free(arg);
	pd_client_init(&client, connection.fd);
	while (serve_request(connection.listener, &client))
		;
	pd_client_finish(&client);
	pthread_mutex_lock(&ingress->lock);
	ingress->connections--;
	pthread_mutex_unlock(&ingress->lock);
	return NULL;
}

static bool reserve_connection(struct pd_ingress *ingress)
{
	bool below_limit;

	pthread_mutex_lock(&ingress->lock);
	below_limit = ingress->connections < CONNECTIONS_MAX;
	if (below_limit)
		ingress->connections++;
	pthread_mutex_unlock(&ingress->lock);
	return below_limit;
}

static void start_connection(struct pd_listener *listener, int fd)
{
	struct connection *connection = malloc(sizeof(*connection));
	struct pd_error err;
	pthread_t thread;

	if (connection && reserve_connection(listener->ingress)) {
		*connection = (struct connection){.listener = listener, .fd = fd};
		if (pd_os_thread_start(&thread, "connection", serve_connection, connection, &err) ==
		    PD_OK) {
			pthread_detach(thread);
			return;
		}
		pd_log_failure(PD_LOG_ERROR, "connection_refused", &err);
		pthread_mutex_lock(&listener->ingress->lock);
		listener->ingress->connections--;
		pthread_mutex_unlock(&listener->ingress->lock);
	} else {
		pd_log(PD_LOG_WARNING, "connection_refused", "reason=limit limit=%d",
		       CONNECTIONS_MAX);
	}
	free(connection);
	pd_os_close(&fd);
}

static void *run_listener(void *arg)
{
	struct pd_listener *listener = arg;
	struct pd_error err;
	int fd;

	while (pd_os_accept(listener->fd, &fd, &err) == PD_OK)
		start_connection(listener, fd);
	pd_log_failure(PD_LOG_ERROR, "listener_ended", &err);
	return NULL;
}

static enum pd_code start_listener(struct pd_listener *listener, struct pd_error *err)
{
	enum pd_code code = pd_os_listen(&listener->address, &listener->fd, err);

	if (code != PD_OK)
		return pd_error_wrap(err, PD_LAYER_TRANSPORT, code, "listener");
	return pd_os_thread_start(&listener->thread, "listener", run_listener, listener, err);
}

enum pd_code pd_ingress_start(struct pd_ingress *ingress, struct pd_error *err)
{
	enum pd_code code;

	for (size_t i = 0; i < PD_LISTENER_COUNT; i++) {
		code = start_listener(&ingress->listeners[i], err);

		if (code != PD_OK)
			return pd_error_wrap(err, PD_LAYER_STATE, code, "start");
	}
	code = pd_feed_start(&ingress->feed, err);
	if (code == PD_OK && ingress->settings.exposure_share > 0)
		code = pd_rollout_exchange_enable(&ingress->rollout, &ingress->directory,
						  &ingress->sync, ingress->settings.exposure_share,
						  ingress->settings.exposure_slack, err);
	if (code == PD_OK && needs_cluster(&ingress->settings))
		code = pd_cluster_start(&ingress->cluster, err);
	if (code == PD_OK)
		code = pd_sync_start(&ingress->sync, err);
	if (code == PD_OK)
		code = pd_membership_start(&ingress->membership, err);
	if (code == PD_OK)
		code = pd_reporter_start(&ingress->reporter, err);
	return code;
}

void pd_ingress_reload(struct pd_ingress *ingress, const struct pd_ingress_settings *settings)
{
	pd_sync_set_address(&ingress->sync, &settings->store);
}

bool pd_ingress_is_stopping(struct pd_ingress *ingress)
{
	bool stopping;

	pthread_mutex_lock(&ingress->lock);
	stopping = ingress->stopping;
	pthread_mutex_unlock(&ingress->lock);
	return stopping;
}

/* Whether a configuration, a complete list of upstreams, the evacuated zones and the orders of
 * roll-outs were received. With strict revocation, the configuration must also have been proven to
 * be the newest one.
 */
static bool is_initialised(struct pd_ingress *ingress)
{
	bool initialised, needs_proof;

	pthread_mutex_lock(&ingress->registry.lock);
	initialised = ingress->registry.list_complete && ingress->registry.catalog;
	needs_proof = initialised && ingress->registry.catalog->has_accounts &&
		      ingress->settings.revocation_ms;
	pthread_mutex_unlock(&ingress->registry.lock);
	return initialised && pd_directory_knows_evacuated(&ingress->directory) &&
	       (ingress->settings.exposure_share <= 0 ||
		pd_directory_knows_rollouts(&ingress->directory)) &&
	       (!needs_proof || pd_directory_config_confirmed_us(&ingress->directory));
}

bool pd_ingress_is_ready(struct pd_ingress *ingress)
{
	bool initialised = is_initialised(ingress), ready;

	pthread_mutex_lock(&ingress->lock);
	ready = initialised && !ingress->stopping && !ingress->isolated;
	pthread_mutex_unlock(&ingress->lock);
	return ready;
}

bool pd_ingress_takes(struct pd_ingress *ingress, const struct pd_route *route)
{
	int64_t now = pd_os_boot_us();
	bool takes;

	pthread_mutex_lock(&ingress->lock);
	takes = !ingress->stopping || now < ingress->serve_until_us ||
		pd_policy_fits(route, ingress->stop_deadline_us - now);
	pthread_mutex_unlock(&ingress->lock);
	return takes;
}

bool pd_ingress_at_request_limit(struct pd_ingress *ingress)
{
	bool full;

	pthread_mutex_lock(&ingress->lock);
	full = ingress->requests > REQUESTS_MAX;
	pthread_mutex_unlock(&ingress->lock);
	return full;
}

/* Marks this instance as isolated while too few of the gathered services are reachable. */
static void update_isolation(struct pd_ingress *ingress)
{
	double reachable_share = pd_registry_reachable_share(&ingress->registry);
	bool isolated = reachable_share < MIN_REACHABLE_SHARE, changed;

	if (!is_initialised(ingress))
		return;

	pthread_mutex_lock(&ingress->lock);
	changed = ingress->isolated != isolated;
	ingress->isolated = isolated;
	pthread_mutex_unlock(&ingress->lock);
	if (changed)
		pd_log(PD_LOG_WARNING, isolated ? "isolated" : "not_isolated",
		       "services_in_reach=%.2f needed=%.2f", reachable_share, MIN_REACHABLE_SHARE);
}

/* Checks whether an unreachable zone is reachable again, by a connection to one of its upstreams.
 */
static void probe_zone(struct pd_ingress *ingress, int64_t now_us)
{
	struct pd_upstream *upstream = pd_registry_probe_target(&ingress->registry, now_us);
	struct pd_address address;
	struct pd_error err;
	int fd;

	if (!upstream)
		return;
	if (pd_address_parse(pd_str_from(upstream->address_text), &address, &err) == PD_OK &&
	    pd_os_connect(&address, PROBE_TIMEOUT_US, &fd, &err) == PD_OK) {
		pd_registry_report_received(&ingress->registry, upstream, pd_os_boot_us());
		pd_os_close(&fd);
	}
	pd_registry_unref(&ingress->registry, upstream);
}

/* Starts the cluster when the first upstream has stated how long work takes on its machine. Without
 * it, upstreams are chosen by the reports that this instance receives.
 */
static void start_load_reports(struct pd_ingress *ingress)
{
	struct pd_error err;

	if (ingress->load_started || !pd_load_report_is_needed(&ingress->load))
		return;
	ingress->load_started = true;
	if (pd_cluster_start(&ingress->cluster, &err) == PD_OK)
		pd_log(PD_LOG_INFO, "load_reports_started", "reason=speed_stated");
	else
		pd_log_failure(PD_LOG_ERROR, "load_reports_not_started", &err);
}

void pd_ingress_maintain(struct pd_ingress *ingress)
{
	int64_t now = pd_os_boot_us();

	start_load_reports(ingress);
	pd_pool_maintain(&ingress->pool, now);
	pd_registry_apply_removals(&ingress->registry);
	probe_zone(ingress, now);
	update_isolation(ingress);
	pd_log_flush();
}

void pd_ingress_begin_stop(struct pd_ingress *ingress, int64_t serve_us)
{
	int64_t now = pd_os_boot_us();

	pthread_mutex_lock(&ingress->lock);
	ingress->stopping = true;
	ingress->last_request_us = now;
	ingress->serve_until_us = now + serve_us;
	ingress->stop_deadline_us =
		now + ingress->settings.grace_ms * PD_USEC_PER_MSEC - STOP_MARGIN_US;
	pthread_mutex_unlock(&ingress->lock);
}

bool pd_ingress_may_exit(struct pd_ingress *ingress, bool close)
{
	int64_t now = pd_os_boot_us();
	bool idle;

	pthread_mutex_lock(&ingress->lock);
	idle = !ingress->requests && now - ingress->last_request_us > STOP_IDLE_US;
	if (close)
		ingress->closing = true;
	if (ingress->closing)
		idle = !ingress->requests;
	pthread_mutex_unlock(&ingress->lock);
	return idle;
}
