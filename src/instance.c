#include "instance.h"

#include <ck_pr.h>
#include <inttypes.h>
#include <string.h>

#include "counters.h"
#include "log.h"
#include "peer_api.h"

#define TICK_INTERVAL_US	  (50 * PD_USEC_PER_MSEC)
#define DRAIN_POLL_INTERVAL_US	  (10 * PD_USEC_PER_MSEC)
#define GOODBYE_TIMEOUT_US	  (500 * PD_USEC_PER_MSEC)
#define DEREGISTRATION_TIMEOUT_US (2 * PD_USEC_PER_SEC)

/*
 * The callbacks below use modules that pd_instance_open() creates after the modules that call them.
 * This is safe, since no thread runs before pd_instance_start().
 */

static void announce_suspect(void *arg, const struct pd_msg_suspect *suspect)
{
	struct pd_instance *instance = arg;
	struct pd_message msg = {.type = PD_MSG_SUSPECT};

	msg.suspect = *suspect;
	pd_peers_broadcast(instance->peers, &msg, false);
}

static void update_router(void *arg)
{
	struct pd_instance *instance = arg;
	struct pd_config *config = pd_config_holder_read(&instance->config);

	pd_router_update_config(instance->router, config, pd_os_now_us());
	pd_config_put(config);
}

static void broadcast(void *arg, const struct pd_message *msg, bool own_zone)
{
	struct pd_instance *instance = arg;

	pd_peers_broadcast(instance->peers, msg, own_zone);
}

static void set_upstream_leaving(void *arg, struct pd_str upstream, bool leaving)
{
	struct pd_instance *instance = arg;

	pd_upstreams_set_leaving(instance->upstreams, upstream, leaving);
}

static bool own_zone_is_out(struct pd_instance *instance)
{
	struct pd_config *config = pd_config_holder_read(&instance->config);
	uint32_t zone = pd_config_find_zone(config, pd_name_str(&instance->settings.zone));
	bool out = zone != PD_CONFIG_NONE && config->zones[zone].out;

	pd_config_put(config);
	return out;
}

/* Appends the reasons why this instance isn't ready, one per line. */
static void print_not_ready_reasons(void *arg, struct pd_buf *reasons)
{
	struct pd_instance *instance = arg;

	if (ck_pr_load_int(&instance->draining))
		pd_buf_printf(reasons, "draining: the instance is shutting down\n");
	if (!pd_config_sync_loaded(instance->config_sync))
		pd_buf_printf(reasons,
			      "no configuration: neither the platform nor a peer has sent one\n");
	if (own_zone_is_out(instance))
		pd_buf_printf(reasons, "zone %s is out\n", instance->settings.zone.text);
}

static void print_status(void *arg, struct pd_buf *out)
{
	struct pd_instance *instance = arg;
	struct pd_config *config = pd_config_holder_read(&instance->config);

	pd_buf_printf(out,
		      "{\"name\":\"%s\",\"zone\":\"%s\",\"incarnation\":%" PRIu64
		      ",\"config_version\":%" PRIu64 ",\"config_loaded\":%s"
		      ",\"platform_reachable\":%s,\"draining\":%s,\"upstreams\":",
		      instance->self.name.text, instance->self.zone.text,
		      instance->self.incarnation, config->version,
		      pd_config_sync_loaded(instance->config_sync) ? "true" : "false",
		      pd_config_sync_platform_reachable(instance->config_sync) ? "true" : "false",
		      ck_pr_load_int(&instance->draining) ? "true" : "false");
	pd_config_put(config);
	pd_upstreams_status(instance->upstreams, out);
	pd_buf_printf(out, ",\"peers\":");
	pd_peers_status(instance->peers, out);
	pd_buf_printf(out, "}");
}

static enum pd_code open_state(struct pd_instance *instance, struct pd_error *err)
{
	enum pd_code code = pd_config_holder_init(&instance->config, err);

	if (code != PD_OK)
		return code;
	instance->config_open = true;
	code = pd_members_open(&instance->members, &instance->self, pd_os_now_us(), err);
	if (code != PD_OK)
		return code;
	code = pd_suspects_open(&instance->suspects, err);
	if (code != PD_OK)
		return code;
	code = pd_router_open(&instance->router, pd_name_str(&instance->settings.zone),
			      pd_os_random_seed(), err);
	if (code != PD_OK)
		return code;
	return pd_ledger_open(&instance->ledger, &instance->settings.platform, err);
}

static enum pd_code open_upstreams(struct pd_instance *instance, struct pd_error *err)
{
	struct pd_upstreams_setup setup = {
		.zone = instance->settings.zone,
		.config = &instance->config,
		.members = instance->members,
		.suspects = instance->suspects,
		.announce = announce_suspect,
		.arg = instance,
	};

	return pd_upstreams_open(&instance->upstreams, &setup, err);
}

static enum pd_code open_peers(struct pd_instance *instance, struct pd_error *err)
{
	instance->peers_setup = (struct pd_peers_setup){
		.self = instance->self,
		.listen = instance->settings.peer_listen,
		.seeds = instance->settings.seeds,
		.routes = instance->settings.routes,
		.members = instance->members,
		.hooks = pd_peer_api_hooks(instance),
	};

	return pd_peers_open(&instance->peers, &instance->peers_setup, err);
}

static enum pd_code open_config_sync(struct pd_instance *instance, struct pd_error *err)
{
	struct pd_config_sync_setup setup = {
		.platform = instance->settings.platform,
		.self = instance->self,
		.config = &instance->config,
		.members = instance->members,
		.index = &instance->index,
		.on_config_changed = update_router,
		.broadcast = broadcast,
		.on_upstream_leaving = set_upstream_leaving,
		.arg = instance,
	};

	return pd_config_sync_open(&instance->config_sync, &setup, err);
}

static void init_self_record(struct pd_instance *instance)
{
	const struct pd_instance_settings *settings = &instance->settings;
	bool advertised = settings->peer_advertise.port != 0;

	instance->self.name = settings->name;
	instance->self.zone = settings->zone;
	instance->self.address = advertised ? settings->peer_advertise : settings->peer_listen;
	instance->self.incarnation = (uint64_t)pd_os_unix_ms();
	instance->self.state = PD_MEMBER_LIVE;
}

static void init_coordinator(struct pd_instance *instance)
{
	instance->dispatch = (struct pd_dispatch){
		.peers = instance->peers,
		.upstreams = instance->upstreams,
		.members = instance->members,
		.self = instance->self.name,
	};
	instance->coordinator = (struct pd_coordinator){
		.config = &instance->config,
		.router = instance->router,
		.index = &instance->index,
		.sender = {.type = PD_SENDER_DISPATCH, .dispatch = &instance->dispatch},
		.ledger = instance->ledger,
		.instance = instance->self.name,
	};
}

enum pd_code pd_instance_open(struct pd_instance *instance,
			      const struct pd_instance_settings *settings, struct pd_error *err)
{
	enum pd_code code;

	memset(instance, 0, sizeof(*instance));
	instance->settings = *settings;
	pd_index_table_init(&instance->index);
	init_self_record(instance);
	code = open_state(instance, err);
	if (code == PD_OK)
		code = open_upstreams(instance, err);
	if (code == PD_OK)
		code = open_peers(instance, err);
	if (code == PD_OK)
		code = open_config_sync(instance, err);
	if (code == PD_OK)
		init_coordinator(instance);
	return code;
}

/* Ticks the member table, so that it detects a pause of this process soon after the pause ends. */
static void *run_ticker(void *arg)
{
	struct pd_instance *instance = arg;

	while (!ck_pr_load_int(&instance->stopping)) {
		if (pd_members_tick(instance->members, pd_os_now_us())) {
			pd_count(PD_COUNT_pauses_noticed);
			pd_log(PD_LOG_WARNING, "pause_noticed", "threshold_ms=%" PRId64,
			       PD_PAUSE_THRESHOLD_US / PD_USEC_PER_MSEC);
		}
		pd_os_sleep_us(TICK_INTERVAL_US);
	}
	return NULL;
}

enum pd_code pd_instance_start(struct pd_instance *instance, struct pd_error *err)
{
	struct pd_caller_api_setup api = {
		.listen = instance->settings.http_listen,
		.max_connections = (uint32_t)instance->settings.http_connections,
		.coordinator = &instance->coordinator,
		.append_not_ready_reasons = print_not_ready_reasons,
		.append_status = print_status,
		.arg = instance,
	};
	enum pd_code code;

	code = pd_os_thread_start(&instance->ticker, "ticker", run_ticker, instance, err);
	if (code != PD_OK)
		return code;
	instance->ticker_started = true;
	code = pd_peers_start(instance->peers, err);
	if (code == PD_OK)
		code = pd_config_sync_start(instance->config_sync, err);
	if (code == PD_OK)
		code = pd_caller_api_start(&instance->api, &api, err);
	instance->http_address = api.listen;
	return code;
}

static void wait_for_in_flight_requests(struct pd_instance *instance, int64_t deadline_us)
{
	while (pd_upstreams_pending_count(instance->upstreams) && pd_os_now_us() < deadline_us)
		pd_os_sleep_us(DRAIN_POLL_INTERVAL_US);
}

void pd_instance_stop(struct pd_instance *instance)
{
	int64_t drain_deadline_us;

	ck_pr_store_int(&instance->draining, 1);
	pd_log(PD_LOG_INFO, "draining", "lame_duck_ms=%" PRId64, instance->settings.lame_duck_ms);
	pd_os_sleep_us(instance->settings.lame_duck_ms * PD_USEC_PER_MSEC);
	drain_deadline_us = pd_os_now_us() + instance->settings.drain_ms * PD_USEC_PER_MSEC;
	if (instance->api)
		pd_caller_api_stop(instance->api, drain_deadline_us);
	instance->api = NULL;
	/* From here on, new sub-requests of peers are rejected with not_owner; those in flight
	 * finish normally. */
	pd_members_resign(instance->members);
	wait_for_in_flight_requests(instance, drain_deadline_us);
	pd_peers_goodbye(instance->peers, GOODBYE_TIMEOUT_US);
	pd_config_sync_stop(instance->config_sync, DEREGISTRATION_TIMEOUT_US);
	pd_log(PD_LOG_INFO, "stopped", "in_flight=%" PRIu64,
	       pd_upstreams_pending_count(instance->upstreams));
}

void pd_instance_finish(struct pd_instance *instance)
{
	ck_pr_store_int(&instance->stopping, 1);
	if (instance->api)
		pd_caller_api_stop(instance->api, 0);
	if (instance->ticker_started)
		pthread_join(instance->ticker, NULL);
	instance->ticker_started = false;
	if (instance->config_sync)
		pd_config_sync_stop(instance->config_sync, 0);
	/* Peers and upstreams call each other, so end the threads of both before either is
	 * freed. */
	if (instance->upstreams)
		pd_upstreams_stop(instance->upstreams);
	if (instance->peers)
		pd_peers_close(instance->peers);
	pd_upstreams_close(instance->upstreams);
	pd_config_sync_close(instance->config_sync);
	if (instance->ledger)
		pd_ledger_close(instance->ledger);
	if (instance->router)
		pd_router_close(instance->router);
	if (instance->suspects)
		pd_suspects_close(instance->suspects);
	if (instance->members)
		pd_members_close(instance->members);
	if (instance->config_open)
		pd_config_holder_finish(&instance->config);
	pd_index_table_finish(&instance->index);
}
