/*
 * Stand-in for the platform's load balancer: relays TCP connections to ready entry instances in
 * round robin order.
 */
#include <curl/curl.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "options.h"
#include "pump.h"

#define LIST_INTERVAL_US  PD_USEC_PER_SEC
#define READY_INTERVAL_US (500 * PD_USEC_PER_MSEC)
/* Less than READY_INTERVAL_US, so that a slow target doesn't delay the next check. */
#define REQUEST_TIMEOUT_MS 400L
#define CONNECT_TIMEOUT_US (500 * PD_USEC_PER_MSEC)
#define TARGETS_MAX	   64

/**
 * struct target - one entry instance
 * @address: address of the instance
 * @ready: the last readiness check succeeded
 */
struct target {
	struct pd_address address;
	bool ready;
};

/**
 * struct balancer - state of the stand-in
 * @common: options that every stand-in has
 * @platform: address of the platform, from which the instance list is read
 * @listener: listening socket
 * @mutex: guards @targets, @count and @next
 * @targets: live entry instances of the last list that was read
 * @count: number of entries used in @targets
 * @next: number of connections so far, which selects the next target
 * @delay_us: delay of the relayed bytes, always 0
 * @byte_totals: counters of relayed bytes, which a pump needs but nothing reads
 */
static struct balancer {
	struct standin_common_options common;
	struct pd_address platform;
	int listener;
	pthread_mutex_t mutex;
	struct target targets[TARGETS_MAX];
	size_t count;
	size_t next;
	atomic_llong delay_us;
	atomic_ullong byte_totals[2];
} balancer = {.mutex = PTHREAD_MUTEX_INITIALIZER};

static size_t append_body(char *data, size_t size, size_t count, void *out)
{
	return pd_buf_append(out, data, size * count) ? size * count : 0;
}

static size_t discard_body(char *data, size_t size, size_t count, void *out)
{
	(void)data;
	(void)out;
	return size * count;
}

static CURL *create_request(const struct pd_address *address, const char *path)
{
	CURL *request = curl_easy_init();
	char url[128];

	if (!request)
		return NULL;
	snprintf(url, sizeof(url), "http://%s:%u%s", address->ip, address->port, path);
	curl_easy_setopt(request, CURLOPT_URL, url);
	curl_easy_setopt(request, CURLOPT_PROXY, "");
	curl_easy_setopt(request, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(request, CURLOPT_TIMEOUT_MS, REQUEST_TIMEOUT_MS);
	curl_easy_setopt(request, CURLOPT_WRITEFUNCTION, discard_body);
	return request;
}

static bool succeeded(CURL *request, CURLcode code)
{
	long status = 0;

	curl_easy_getinfo(request, CURLINFO_RESPONSE_CODE, &status);
	return code == CURLE_OK && status == 200;
}

static json_t *fetch_instances(void)
{
	CURL *request = create_request(&balancer.platform, "/instances");
	json_t *root = NULL;
	struct pd_buf body;

	if (!request)
		return NULL;
	pd_buf_init(&body, 0);
	curl_easy_setopt(request, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(request, CURLOPT_WRITEDATA, &body);
	if (succeeded(request, curl_easy_perform(request)) && body.data)
		root = json_loadb(body.data, body.len, 0, NULL);
	curl_easy_cleanup(request);
	pd_buf_finish(&body);
	return root;
}

static bool was_ready(const struct pd_address *address)
{
	for (size_t i = 0; i < balancer.count; i++) {
		if (balancer.targets[i].address.port == address->port &&
		    !strcmp(balancer.targets[i].address.ip, address->ip))
			return balancer.targets[i].ready;
	}
	return false;
}

/*
 * Replaces the targets by the live entry instances of the list @root. Instances that were targets
 * before keep their readiness.
 */
static void update_targets(json_t *root)
{
	struct target new_targets[TARGETS_MAX];
	size_t count = 0;
	size_t index;
	json_t *item;

	pthread_mutex_lock(&balancer.mutex);
	json_array_foreach(json_object_get(root, "instances"), index, item)
	{
		const char *role = json_string_value(json_object_get(item, "role"));
		const char *state = json_string_value(json_object_get(item, "state"));
		const char *address = json_string_value(json_object_get(item, "address"));
		struct target *target = &new_targets[count];

		if (!role || !state || !address || strcmp(role, "entry") != 0 ||
		    strcmp(state, "live") != 0 || count == TARGETS_MAX ||
		    pd_address_parse(pd_str_from(address), &target->address, NULL) != PD_OK)
			continue;
		target->ready = was_ready(&target->address);
		count++;
	}
	memcpy(balancer.targets, new_targets, count * sizeof(*new_targets));
	balancer.count = count;
	pthread_mutex_unlock(&balancer.mutex);
}

/* Reads the instance list; if the platform doesn't respond, the last list stays in use. */
static void poll_instances(void)
{
	json_t *root = fetch_instances();

	if (!root) {
		pd_log(PD_LOG_WARNING, "list_failed", "platform=%s:%u", balancer.platform.ip,
		       balancer.platform.port);
		return;
	}
	update_targets(root);
	json_decref(root);
}

static void run_requests(CURLM *multi, CURL *requests[], bool ready[], size_t count)
{
	CURLMsg *message;
	int running = 1;
	int remaining;

	while (running && curl_multi_perform(multi, &running) == CURLM_OK && running)
		curl_multi_poll(multi, NULL, 0, (int)REQUEST_TIMEOUT_MS, NULL);
	while ((message = curl_multi_info_read(multi, &remaining))) {
		for (size_t i = 0; i < count; i++) {
			if (requests[i] == message->easy_handle)
				ready[i] = succeeded(requests[i], message->data.result);
		}
	}
}

/*
 * Checks the readiness of all targets concurrently. Only this thread changes the list of targets,
 * so their indices stay valid without the lock.
 */
static void check_ready(void)
{
	CURLM *multi = curl_multi_init();
	CURL *requests[TARGETS_MAX] = {NULL};
	bool ready[TARGETS_MAX] = {false};
	size_t count = balancer.count;

	if (!multi)
		return;
	for (size_t i = 0; i < count; i++) {
		requests[i] = create_request(&balancer.targets[i].address, "/ready");
		if (requests[i])
			curl_multi_add_handle(multi, requests[i]);
	}
	run_requests(multi, requests, ready, count);
	for (size_t i = 0; i < count; i++) {
		if (!requests[i])
			continue;
		curl_multi_remove_handle(multi, requests[i]);
		curl_easy_cleanup(requests[i]);
	}
	curl_multi_cleanup(multi);
	pthread_mutex_lock(&balancer.mutex);
	for (size_t i = 0; i < count; i++)
		balancer.targets[i].ready = ready[i];
	pthread_mutex_unlock(&balancer.mutex);
}

static void *check_thread(void *arg)
{
	int64_t next_list_us = pd_os_now_us();
	int64_t next_ready_us = next_list_us;

	(void)arg;
	for (;;) {
		int64_t now_us = pd_os_now_us();

		if (now_us >= next_list_us) {
			poll_instances();
			next_list_us = now_us + LIST_INTERVAL_US;
		}
		if (now_us >= next_ready_us) {
			check_ready();
			next_ready_us = now_us + READY_INTERVAL_US;
		}
		pd_os_sleep_us((next_list_us < next_ready_us ? next_list_us : next_ready_us) -
			       pd_os_now_us());
	}
	return NULL;
}

/*
 * Copies the addresses of the ready targets and returns their number. @start receives the round
 * robin counter; the target to try first is @start modulo that number.
 */
static size_t copy_ready_targets(struct pd_address addresses[TARGETS_MAX], size_t *start)
{
	size_t ready = 0;

	pthread_mutex_lock(&balancer.mutex);
	for (size_t i = 0; i < balancer.count; i++) {
		if (balancer.targets[i].ready)
			addresses[ready++] = balancer.targets[i].address;
	}
	*start = balancer.next++;
	pthread_mutex_unlock(&balancer.mutex);
	return ready;
}

/* Connects to the next target in turn, or to one after it if that fails. */
static bool connect_any(int *fd)
{
	struct pd_address addresses[TARGETS_MAX];
	size_t start;
	size_t count = copy_ready_targets(addresses, &start);

	for (size_t i = 0; i < count; i++) {
		if (pd_os_connect(&addresses[(start + i) % count], CONNECT_TIMEOUT_US, fd, NULL) ==
		    PD_OK)
			return true;
	}
	return false;
}

static void *relay_thread(void *arg)
{
	struct standin_pump *pump = arg;

	if (connect_any(&pump->fds[1]))
		standin_pump_run(pump);
	else
		standin_pump_reset_on_close(pump->fds[0]);
	pd_os_close(&pump->fds[0]);
	pd_os_close(&pump->fds[1]);
	free(pump);
	return NULL;
}

static void *accept_thread(void *arg)
{
	pthread_t thread;
	int fd;

	(void)arg;
	while (pd_os_accept(balancer.listener, &fd, NULL) == PD_OK) {
		struct standin_pump *pump = calloc(1, sizeof(*pump));

		if (pump) {
			*pump = (struct standin_pump){.fds = {fd, -1},
						      .delay_us = &balancer.delay_us,
						      .byte_counts = balancer.byte_totals};
			if (pd_os_thread_start(&thread, "relay", relay_thread, pump, NULL) ==
			    PD_OK) {
				pthread_detach(thread);
				continue;
			}
		}
		free(pump);
		pd_os_close(&fd);
	}
	return NULL;
}

int main(int argc, char **argv)
{
	static const struct standin_option options[] = {
		{"platform", STANDIN_OPTION_ADDRESS, &balancer.platform, NULL,
		 "IP:PORT of the platform; required"},
	};
	struct pd_error err;
	pthread_t thread;

	standin_options_parse(argc, argv, "Stand-in for the platform's load balancer.",
			      &balancer.common, options, sizeof(options) / sizeof(*options));
	if (!balancer.platform.port) {
		fprintf(stderr, "%s: --platform IP:PORT is required\n", argv[0]);
		return 2;
	}
	curl_global_init(CURL_GLOBAL_DEFAULT);
	standin_exit_on_error(pd_os_listen(&balancer.common.listen, &balancer.listener, &err),
			      &err);
	standin_exit_on_error(pd_os_thread_start(&thread, "check", check_thread, NULL, &err), &err);
	pthread_detach(thread);
	standin_exit_on_error(pd_os_thread_start(&thread, "accept", accept_thread, NULL, &err),
			      &err);
	pthread_detach(thread);
	standin_print_address(&balancer.common.listen);
	standin_wait_shutdown(&balancer.common);
	/* Exits without joining the threads of connections: they hold only memory and sockets. */
	_Exit(0);
}
