#include "fleet.h"

#include <ck_pr.h>
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "datagram_proxy.h"
#include "ledger.h"
#include "quotas.h"
#include "rollouts.h"

#define FRONT_PORT	       8104
#define READY_PORT	       8108
#define PEER_PORT	       7380
#define PEER_PROXY_PORT	       7400 /* of the proxy in front of PEER_PORT */
#define METRICS_PORT	       9464
#define SERVICE_MS	       5 /* of an upstream */
#define RESTART_DELAY_US       (300 * PD_USEC_PER_MSEC)
#define READY_CHECK_TIMEOUT_US (500 * PD_USEC_PER_MSEC)

struct fleet fleet = {.lock = PTHREAD_MUTEX_INITIALIZER};

static const char *const zones[FLEET_ZONES] = {"boston", "providence", "hartford", "portland"};

void fleet_begin_fault(struct fleet_fault_history *history)
{
	pthread_mutex_lock(&fleet.lock);
	history->active_faults++;
	pthread_mutex_unlock(&fleet.lock);
}

void fleet_end_fault(struct fleet_fault_history *history)
{
	pthread_mutex_lock(&fleet.lock);
	history->active_faults--;
	history->last_fault_us = pd_os_now_us();
	pthread_mutex_unlock(&fleet.lock);
}

bool fleet_is_stable_locked(const struct fleet_fault_history *history, int64_t now_us)
{
	return !history->active_faults && now_us - history->last_fault_us > FLEET_STABLE_US;
}

bool fleet_instance_is_stable_locked(const struct fleet_instance *instance, int64_t now_us)
{
	if (!instance->pid)
		return false;
	for (size_t i = 0; i < fleet.instance_count; i++) {
		const struct fleet_instance *candidate = &fleet.instances[i];
		/* A small instance forwards requests to the larger ones of its zone. */
		bool may_forward =
			candidate == instance || (candidate->zone == instance->zone &&
						  candidate->cpu_share > instance->cpu_share);

		if (may_forward && !(fleet_is_stable_locked(&candidate->fault_history, now_us) &&
				     fleet_is_stable_locked(&candidate->restart_history, now_us)))
			return false;
	}
	return true;
}

bool fleet_instance_is_synced_locked(const struct fleet_instance *instance, int64_t now_us)
{
	return fleet_is_stable_locked(&fleet.store_fault_history, now_us) &&
	       fleet_instance_is_stable_locked(instance, now_us);
}

void fleet_service_name(uint32_t service, char *out, size_t size)
{
	if (service < FLEET_PLAIN_SERVICES)
		snprintf(out, size, "%s-%u", service < 2 ? "reader" : "writer", service % 2);
	else
		snprintf(out, size, "part-%c%u",
			 'a' + (int)((service - FLEET_PLAIN_SERVICES) / FLEET_SHARDS),
			 (service - FLEET_PLAIN_SERVICES) % FLEET_SHARDS);
}

uint32_t fleet_service_of_stamp(struct pd_str stamp, struct pd_str *request_id)
{
	const char *dot = memchr(stamp.data, '.', stamp.len);
	unsigned int service;
	char text[64];

	if (!dot || !pd_str_copy(stamp, text, sizeof(text)) ||
	    sscanf(text, "i-%u-", &service) != 1 || service >= FLEET_SERVICES)
		return FLEET_SERVICES;
	request_id->data = dot + 1;
	request_id->len = stamp.len - (size_t)(dot + 1 - stamp.data);
	return service;
}

uint32_t fleet_allowed_services(const struct fleet_version *version, int kind)
{
	switch ((enum request_kind)kind) {
	case REQUEST_READ:
		return 1U << version->reader;
	case REQUEST_WRITE:
		return 1U << version->writer;
	case REQUEST_GATHER:
		break;
	}
	return ((1U << FLEET_SHARDS) - 1) << (FLEET_PLAIN_SERVICES + version->index * FLEET_SHARDS);
}

/* Returns a route with the members that all kinds of routes have. */
static json_t *base_route(const char *name, const char *kind)
{
	char prefix[32];

	snprintf(prefix, sizeof(prefix), "/%s/", name);
	return json_pack("{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:i}", "name", name, "host", "shop.example",
			 "path_prefix", prefix, "route_kind", kind, "timeout_ms",
			 FLEET_ROUTE_TIMEOUT_MS, "target_latency_ms", 300, "priority", 1,
			 "max_attempts", FLEET_MAX_ATTEMPTS);
}

static json_t *plain_route(const char *name, const char *kind, uint32_t service)
{
	json_t *object = base_route(name, kind);
	char text[32];

	fleet_service_name(service, text, sizeof(text));
	json_object_set_new(object, "service", json_string(text));
	return object;
}

static json_t *gather_route(uint32_t index)
{
	json_t *object = base_route("gather", "idempotent");
	json_t *shards = json_array();
	char text[32];

	for (uint32_t i = 0; i < FLEET_SHARDS; i++) {
		fleet_service_name(FLEET_PLAIN_SERVICES + index * FLEET_SHARDS + i, text,
				   sizeof(text));
		json_array_append_new(shards, json_string(text));
	}
	json_object_set_new(object, "fan_out_services", shards);
	json_object_set_new(object, "top_k", json_integer(FLEET_TOP_K));
	json_object_set_new(object, "min_shard_ratio", json_real(FLEET_MIN_SHARD_RATIO));
	return object;
}

static json_t *all_services(void)
{
	json_t *services = json_array();
	char text[32];

	for (uint32_t i = 0; i < FLEET_SERVICES; i++) {
		fleet_service_name(i, text, sizeof(text));
		json_array_append_new(services,
				      json_pack("{s:s,s:s,s:i,s:f,s:f}", "name", text,
						"health_check_path", "/health", "max_connections",
						60, "cold_start_s", 3.0, "cold_per_s", 0.0));
	}
	return services;
}

/* Returns one account for each key of the version. */
static json_t *accounts_of(const struct fleet_version *version)
{
	json_t *accounts = json_array();
	char name[32], key[32];

	for (uint32_t i = 0; i < FLEET_KEYS; i++) {
		json_t *account;

		if (!(version->keys & 1U << i))
			continue;
		snprintf(name, sizeof(name), "account-%u", i);
		snprintf(key, sizeof(key), "soak-key-%u", i);
		account = json_pack("{s:s,s:[s]}", "name", name, "api_keys", key);
		if (fleet.use_quotas && i < FLEET_LIMITED_KEYS) {
			json_object_set_new(account, "rate_per_s", json_real(version->rate));
			json_object_set_new(account, "burst_size", json_real(version->rate));
		}
		json_array_append_new(accounts, account);
	}
	return accounts;
}

void fleet_publish_config(const struct fleet_version *contents)
{
	uint32_t number = fleet.version_count;
	struct fleet_version version = *contents;
	json_t *spec;

	if (number == FLEET_VERSIONS_MAX)
		return;
	spec = json_pack("{s:i,s:[o,o,o],s:o,s:{s:i,s:i,s:i,s:i}}", "version", (int)number * 3 + 1,
			 "routes", gather_route(version.index),
			 plain_route("read", "idempotent", version.reader),
			 plain_route("write", "non_idempotent", version.writer), "services",
			 all_services(), "limits", "max_header_bytes", 2048, "max_body_bytes", 4096,
			 "header_timeout_ms", 2000, "idle_timeout_ms", 10000);
	if (fleet.use_keys)
		json_object_set_new(spec, "tenants", accounts_of(contents));
	pthread_mutex_lock(&fleet.lock);
	version.published_us = pd_os_now_us();
	version.stored_us = INT64_MAX;
	version.settled_us = 0;
	fleet.versions[number] = version;
	fleet.version_count++;
	pthread_mutex_unlock(&fleet.lock);
	platform_store_put(&fleet.store, "config", "main", spec);
	pthread_mutex_lock(&fleet.lock);
	fleet.versions[number].stored_us = pd_os_now_us();
	pthread_mutex_unlock(&fleet.lock);
}

void fleet_set_evacuated(uint32_t zone, bool evacuated)
{
	pthread_mutex_lock(&fleet.lock);
	fleet.evacuated_us[zone] = 0;
	/* Until the store has removed the evacuation, its end counts as if it were now. */
	fleet.evacuation_ended_us[zone] = pd_os_now_us();
	pthread_mutex_unlock(&fleet.lock);
	if (!evacuated) {
		platform_store_remove(&fleet.store, "evacuations", zones[zone]);
		pthread_mutex_lock(&fleet.lock);
		fleet.evacuation_ended_us[zone] = pd_os_now_us();
		pthread_mutex_unlock(&fleet.lock);
		return;
	}
	platform_store_put(&fleet.store, "evacuations", zones[zone], json_object());
	pthread_mutex_lock(&fleet.lock);
	fleet.evacuated_us[zone] = pd_os_now_us();
	pthread_mutex_unlock(&fleet.lock);
}

void fleet_write_upstream_entry(struct fleet_upstream *upstream, const char *state)
{
	static uint32_t last_sequence;
	char address[PD_ADDRESS_TEXT_MAX_BYTES], service[32], version[16];
	json_int_t sequence = ck_pr_faa_32(&last_sequence, 1) + 1;

	/*
	 * Clear withdrawn_us before instances can read the entry, and set it only after the store
	 * has recorded the withdrawal.
	 */
	if (state && !strcmp(state, "ready")) {
		pthread_mutex_lock(&fleet.lock);
		upstream->withdrawn_us = 0;
		pthread_mutex_unlock(&fleet.lock);
	}
	if (state) {
		pd_address_format(&upstream->proxy.address, address, sizeof(address));
		fleet_service_name(upstream->service, service, sizeof(service));
		snprintf(version, sizeof(version), "v%u", upstream->version);
		platform_store_put(&fleet.store, "servers", upstream->standin.id,
				   json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:I,s:I}", "service",
					     service, "address", address, "zone",
					     zones[upstream->zone], "version", version, "slots", 3,
					     "state", state, "cold_remaining_ms", 0, "seq",
					     sequence, "born",
					     (json_int_t)upstream->incarnation * 1000));
	} else {
		platform_store_remove(&fleet.store, "servers", upstream->standin.id);
	}
	if (state && !strcmp(state, "ready"))
		return;
	pthread_mutex_lock(&fleet.lock);
	if (!upstream->withdrawn_us)
		upstream->withdrawn_us = pd_os_now_us();
	pthread_mutex_unlock(&fleet.lock);
}

/* Gives @upstream a new incarnation with a new id in @service. */
static void assign_upstream_identity(struct fleet_upstream *upstream, uint32_t service)
{
	struct platform_upstream *standin = &upstream->standin;
	char id[sizeof(standin->id)];

	upstream->incarnation++;
	snprintf(id, sizeof(id), "i-%u-%u-%u", service, (unsigned int)(upstream - fleet.upstreams),
		 upstream->incarnation);
	pthread_mutex_lock(&standin->lock);
	memcpy(standin->id, id, sizeof(id));
	fleet_service_name(service, standin->service, sizeof(standin->service));
	pthread_mutex_unlock(&standin->lock);
	pthread_mutex_lock(&fleet.lock);
	upstream->service = service;
	pthread_mutex_unlock(&fleet.lock);
}

void fleet_crash_upstream(struct fleet_upstream *upstream)
{
	proxy_set_state(&upstream->proxy, PROXY_REFUSING);
}

void fleet_restart_upstream(struct fleet_upstream *upstream, uint32_t service)
{
	assign_upstream_identity(upstream, service);
	proxy_set_state(&upstream->proxy, PROXY_FORWARDING);
	fleet_write_upstream_entry(upstream, "ready");
}

static void start_upstream(uint32_t number)
{
	struct fleet_upstream *upstream = &fleet.upstreams[number];
	char service[32];

	upstream->absent = number >= FLEET_UPSTREAMS;
	upstream->has_fault = upstream->absent;
	upstream->version = 1;
	upstream->service = upstream->absent ? 0 : number / 2;
	upstream->zone = number % FLEET_ZONES;
	upstream->standin.records_by_request = true;
	upstream->standin.on_request = ledger_record_arrival;
	fleet_service_name(upstream->service, service, sizeof(service));
	platform_upstream_start(&upstream->standin, "unnamed", service);
	platform_upstream_set_mode(&upstream->standin, "late", SERVICE_MS);
	memcpy(upstream->proxy.address.ip, "127.0.0.1", sizeof("127.0.0.1"));
	proxy_start(&upstream->proxy, &upstream->standin.address);
	assign_upstream_identity(upstream, upstream->service);
	if (upstream->absent)
		fleet_crash_upstream(upstream);
	else
		fleet_write_upstream_entry(upstream, "ready");
}

/* Called on each write to the store: replaces an instance's peer address by that of its proxy. */
static void redirect_peers(const char *kind, const char *name, json_t *spec)
{
	char address[PD_ADDRESS_TEXT_MAX_BYTES];

	for (size_t i = 0; i < fleet.instance_count; i++) {
		if (strcmp(kind, "instances") != 0 || strcmp(name, fleet.instances[i].name) != 0)
			continue;
		pd_address_format(&fleet.instances[i].peer_proxy.address, address, sizeof(address));
		json_object_set_new(spec, "address", json_string(address));
	}
}

void fleet_write_settings(const struct fleet_instance *instance)
{
	FILE *file = fopen(instance->settings_path, "w");
	struct pd_buf bounds = {0};

	if (!file)
		abort();
	if (fleet.use_keys)
		pd_buf_printf(&bounds, ",\"strict_revocation\":true,\"revocation_ms\":%d",
			      FLEET_REVOCATION_MS);
	if (fleet.use_quotas)
		pd_buf_printf(&bounds,
			      ",\"quota_window_s\":%d,\"quota_overage\":%g,\"quota_slack\":%d",
			      QUOTA_WINDOW_S, QUOTA_OVERAGE, QUOTA_SLACK);
	if (fleet.use_rollouts)
		pd_buf_printf(&bounds,
			      ",\"exposure_share\":%g,\"exposure_slack\":%d,\"rollback_ms\":%d",
			      ROLLOUT_EXPOSURE_SHARE, ROLLOUT_EXPOSURE_SLACK, ROLLOUT_ROLLBACK_MS);
	fprintf(file,
		"{\"platform\":{\"node_name\":\"%s\",\"zone\":\"%s\",\"ip\":\"%s\","
		"\"internal_port_range\":[%u,%u],\"listen_addresses\":"
		"{\"front\":\"%s:%u\",\"ready\":\"%s:%u\"},\"platform\":{\"address\":"
		"\"%s:%u\"},\"limits\":{\"max_file_descriptors\":1024,\"cpu_share\":%g},"
		"\"bounds\":{\"retry_budget_ratio\":%g,\"retry_budget_slack\":%d,"
		"\"grace_period_s\":%d%.*s}},\"ingress\":{\"metrics_address\":\"%s:%u\","
		"\"log_lines_per_s\":500}}\n",
		instance->name, zones[instance->zone], instance->front.ip, PEER_PORT, PEER_PORT,
		instance->front.ip, FRONT_PORT, instance->front.ip, READY_PORT,
		instance->store_proxy.address.ip, instance->store_proxy.address.port,
		instance->cpu_share, FLEET_RETRY_BUDGET_RATIO, FLEET_RETRY_BUDGET_SLACK,
		(int)(FLEET_GRACE_PERIOD_US / PD_USEC_PER_SEC), PD_STR_ARG(pd_buf_str(&bounds)),
		instance->front.ip, METRICS_PORT);
	fclose(file);
	pd_buf_finish(&bounds);
}

static void start_process(struct fleet_instance *instance)
{
	pid_t pid;

	fflush(NULL);
	pid = fork();
	if (!pid) {
		char log[200];

		/* The kernel kills the process when the soak ends, whatever the reason. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		snprintf(log, sizeof(log), "%s.log", instance->settings_path);
		if (!freopen(log, "a", stdout) || !freopen(log, "a", stderr))
			_exit(127);
		execl(fleet.ingress_path, fleet.ingress_path, "--settings", instance->settings_path,
		      (char *)NULL);
		_exit(127);
	}
	if (pid < 0)
		abort();
	pthread_mutex_lock(&fleet.lock);
	instance->pid = pid;
	instance->killed = false;
	instance->started_us = pd_os_now_us();
	instance->sigterm_us = 0;
	instance->restart_us = 0;
	instance->was_synced = false;
	instance->restart_history.last_fault_us = pd_os_now_us();
	pthread_mutex_unlock(&fleet.lock);
}

/*
 * Sets the addresses and paths of @instance and starts its proxies. Each instance has a loopback
 * address of its own, and its ports are outside the kernel's range of ephemeral ports.
 */
static void init_instance(struct fleet_instance *instance, size_t number, const char *folder)
{
	struct pd_address address = {.port = FRONT_PORT};
	unsigned int pid = (unsigned int)getpid();

	snprintf(address.ip, sizeof(address.ip), "127.%u.%u.%u", 1 + pid / 256 % 250, pid % 256,
		 (unsigned int)(number + 1) % 256);
	instance->front = address;
	address.port = READY_PORT;
	instance->ready = address;
	address.port = PEER_PORT;
	instance->peer = address;
	address.port = PEER_PROXY_PORT;
	instance->peer_proxy.address = address;
	proxy_start(&instance->peer_proxy, &instance->peer);
	if (fleet.use_keys || fleet.use_rollouts)
		datagram_proxy_start(&instance->peer_proxy);
	memcpy(instance->store_proxy.address.ip, "127.0.0.1", sizeof("127.0.0.1"));
	proxy_start(&instance->store_proxy, &fleet.store.address);
	snprintf(instance->settings_path, sizeof(instance->settings_path), "%s/%s.json", folder,
		 instance->name);
}

void fleet_start(const char *binary, const char *folder, size_t instances, bool mixed_sizes,
		 const struct fleet_version *first)
{
	fleet.ingress_path = binary;
	fleet.instance_count = instances;
	fleet.store_fault_history.last_fault_us = pd_os_now_us();
	fleet.store.on_write = redirect_peers;
	platform_store_start(&fleet.store);
	fleet.upstream_count = FLEET_UPSTREAMS + (fleet.use_rollouts ? FLEET_NEW_UPSTREAMS : 0);
	for (uint32_t i = 0; i < fleet.upstream_count; i++)
		start_upstream(i);
	fleet_publish_config(first);
	for (size_t i = 0; i < fleet.instance_count; i++) {
		struct fleet_instance *instance = &fleet.instances[i];

		instance->zone = (uint32_t)(i % FLEET_ZONES);
		instance->cpu_share = mixed_sizes && i >= FLEET_ZONES ? 0.1 : 0.5;
		snprintf(instance->name, sizeof(instance->name), "front-%zu", i + 1);
		init_instance(instance, i, folder);
		fleet_write_settings(instance);
	}
	/* A process writes its own entry to the store, and redirect_peers() reads all names. */
	for (size_t i = 0; i < fleet.instance_count; i++)
		start_process(&fleet.instances[i]);
}

/* Time in which the system loads a program: until then, it can't block SIGTERM. */
#define LOAD_TIME_US (200 * PD_USEC_PER_MSEC)

/* Whether SIGTERM ended the process before the program could block it; no request was read by then.
 */
static bool ended_while_loading(const struct fleet_instance *instance, int status)
{
	return WIFSIGNALED(status) && WTERMSIG(status) == SIGTERM &&
	       instance->sigterm_us - instance->started_us < LOAD_TIME_US;
}

/* Checks that an exit was caused by a signal of the soak, and has status 0 after SIGTERM. */
static void check_exit_status(const struct fleet_instance *instance, int status)
{
	long long age_ms = (pd_os_now_us() - instance->started_us) / PD_USEC_PER_MSEC;

	if (instance->killed)
		return;
	if (!instance->sigterm_us)
		ledger_report_violation(RULE_ENDED,
					"%s exited without SIGTERM, wait status %x, age %lld ms",
					instance->name, status, age_ms);
	else if ((!WIFEXITED(status) || WEXITSTATUS(status) != 0) &&
		 !ended_while_loading(instance, status))
		ledger_report_violation(RULE_ENDED,
					"%s exited with wait status %x after SIGTERM, age %lld ms",
					instance->name, status, age_ms);
}

/*
 * Kills a process that hasn't exited within its grace period after SIGTERM, as the platform does.
 * This is a violation unless the instance was paused, or had a fault on a link, after SIGTERM or
 * less than FLEET_STABLE_US before.
 */
static void check_grace_period(struct fleet_instance *instance, int64_t now_us)
{
	if (!instance->sigterm_us || instance->killed ||
	    now_us - instance->sigterm_us < FLEET_GRACE_PERIOD_US)
		return;
	pthread_mutex_lock(&fleet.lock);
	if (fleet_is_stable_locked(&instance->fault_history, now_us) &&
	    instance->sigterm_us - instance->fault_history.last_fault_us > FLEET_STABLE_US)
		ledger_report_violation_locked(RULE_ENDED, "%s didn't exit within its grace period",
					       instance->name);
	instance->killed = true;
	pthread_mutex_unlock(&fleet.lock);
	kill(instance->pid, SIGKILL);
}

/* Checks whether the process has exited or exceeds its grace period, and restarts it when due. */
static void poll_instance(struct fleet_instance *instance)
{
	int64_t now_us = pd_os_now_us();
	int status = 0;

	if (!instance->pid) {
		if (instance->restart_us && now_us >= instance->restart_us)
			start_process(instance);
		return;
	}
	if (waitpid(instance->pid, &status, WNOHANG) == instance->pid) {
		check_exit_status(instance, status);
		pthread_mutex_lock(&fleet.lock);
		instance->pid = 0;
		instance->restart_us = now_us + RESTART_DELAY_US;
		instance->restart_history.last_fault_us = now_us;
		pthread_mutex_unlock(&fleet.lock);
		return;
	}
	pthread_mutex_lock(&fleet.lock);
	instance->was_synced =
		instance->was_synced || fleet_instance_is_synced_locked(instance, now_us);
	pthread_mutex_unlock(&fleet.lock);
	check_grace_period(instance, now_us);
}

void fleet_poll(void)
{
	for (size_t i = 0; i < fleet.instance_count; i++)
		poll_instance(&fleet.instances[i]);
}

bool fleet_stop(void)
{
	int64_t until_us = pd_os_now_us() + FLEET_GRACE_PERIOD_US + PD_USEC_PER_SEC;
	bool running = true;

	for (size_t i = 0; i < fleet.instance_count; i++) {
		pthread_mutex_lock(&fleet.lock);
		fleet.instances[i].sigterm_us = pd_os_now_us();
		fleet.instances[i].restart_us = 0;
		pthread_mutex_unlock(&fleet.lock);
		if (fleet.instances[i].pid)
			kill(fleet.instances[i].pid, SIGTERM);
	}
	while (running && pd_os_now_us() < until_us) {
		running = false;
		for (size_t i = 0; i < fleet.instance_count; i++) {
			poll_instance(&fleet.instances[i]);
			fleet.instances[i].restart_us = 0;
			running = running || fleet.instances[i].pid;
		}
		pd_os_sleep_us(20 * PD_USEC_PER_MSEC);
	}
	return !running;
}

bool fleet_is_ready(const struct fleet_instance *instance)
{
	static const char request[] = "GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n";
	char reply[64] = "";
	int fd = -1;

	if (pd_os_connect(&instance->ready, READY_CHECK_TIMEOUT_US, &fd, NULL) != PD_OK)
		return false;
	pd_os_set_io_timeout(fd, READY_CHECK_TIMEOUT_US);
	if (pd_os_write_full(fd, request, sizeof(request) - 1, NULL) == PD_OK &&
	    recv(fd, reply, sizeof(reply) - 1, 0) < 0)
		reply[0] = '\0';
	pd_os_close(&fd);
	return !strncmp(reply, "HTTP/1.1 200", 12);
}
