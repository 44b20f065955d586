/* The platform's load balancer: relays TCP connections to ready entry instances, round robin. */
#include <curl/curl.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "options.h"
#include "pump.h"

#define LIST_PERIOD_US	   PD_USEC_PER_SEC
#define READY_PERIOD_US	   (500 * PD_USEC_PER_MSEC)
#define CALL_TIMEOUT_MS	   400L /* shorter than the period of the checks */
#define CONNECT_TIMEOUT_US (500 * PD_USEC_PER_MSEC)
#define TARGETS_MAX	   64

struct target {
	struct pd_address address;
	bool ready;
};

/**
 * struct balancer - the stand-in's state
 * @mutex: guards @targets, @count and @next
 * @targets: live entry instances of the last list
 * @next: counts connections, for the round robin
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
	atomic_ullong bytes[2];
} balancer = {.mutex = PTHREAD_MUTEX_INITIALIZER};

static size_t collect(char *data, size_t size, size_t count, void *out)
{
	return pd_buf_append(out, data, size * count) ? size * count : 0;
}

static size_t ignore(char *data, size_t size, size_t count, void *out)
{
	(void)data;
	(void)out;
	return size * count;
}

static CURL *make_call(const struct pd_address *address, const char *path)
{
	CURL *call = curl_easy_init();
	char url[128];

	if (!call)
		return NULL;
	snprintf(url, sizeof(url), "http://%s:%u%s", address->ip, address->port, path);
	curl_easy_setopt(call, CURLOPT_URL, url);
	curl_easy_setopt(call, CURLOPT_PROXY, "");
	curl_easy_setopt(call, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(call, CURLOPT_TIMEOUT_MS, CALL_TIMEOUT_MS);
	curl_easy_setopt(call, CURLOPT_WRITEFUNCTION, ignore);
	return call;
}

static bool call_ok(CURL *call, CURLcode code)
{
	long status = 0;

	curl_easy_getinfo(call, CURLINFO_RESPONSE_CODE, &status);
	return code == CURLE_OK && status == 200;
}

static json_t *fetch_instances(void)
{
	CURL *call = make_call(&balancer.platform, "/instances");
	json_t *root = NULL;
	struct pd_buf body;

	if (!call)
		return NULL;
	pd_buf_init(&body, 0);
	curl_easy_setopt(call, CURLOPT_WRITEFUNCTION, collect);
	curl_easy_setopt(call, CURLOPT_WRITEDATA, &body);
	if (call_ok(call, curl_easy_perform(call)) && body.data)
		root = json_loadb(body.data, body.len, 0, NULL);
	curl_easy_cleanup(call);
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

/* Replaces the targets by the live entry instances of @root; keeps what is known to be ready. */
static void store_instances(json_t *root)
{
	struct target fresh[TARGETS_MAX];
	size_t count = 0;
	size_t index;
	json_t *item;

	pthread_mutex_lock(&balancer.mutex);
	json_array_foreach(json_object_get(root, "instances"), index, item)
	{
		const char *role = json_string_value(json_object_get(item, "role"));
		const char *state = json_string_value(json_object_get(item, "state"));
		const char *address = json_string_value(json_object_get(item, "address"));
		struct target *target = &fresh[count];

		if (!role || !state || !address || strcmp(role, "entry") != 0 ||
		    strcmp(state, "live") != 0 || count == TARGETS_MAX ||
		    pd_address_parse(pd_str_from(address), &target->address, NULL) != PD_OK)
			continue;
		target->ready = was_ready(&target->address);
		count++;
	}
	memcpy(balancer.targets, fresh, count * sizeof(*fresh));
	balancer.count = count;
	pthread_mutex_unlock(&balancer.mutex);
}

/* Reads the list; the last one stays in force while the platform doesn't answer. */
static void poll_instances(void)
{
	json_t *root = fetch_instances();

	if (!root) {
		pd_log(PD_LOG_WARNING, "list_failed", "platform=%s:%u", balancer.platform.ip,
		       balancer.platform.port);
		return;
	}
	store_instances(root);
	json_decref(root);
}

static void run_calls(CURLM *multi, CURL *calls[], bool ready[], size_t count)
{
	CURLMsg *message;
	int running = 1;
	int left;

	while (running && curl_multi_perform(multi, &running) == CURLM_OK && running)
		curl_multi_poll(multi, NULL, 0, (int)CALL_TIMEOUT_MS, NULL);
	while ((message = curl_multi_info_read(multi, &left))) {
		for (size_t i = 0; i < count; i++) {
			if (calls[i] == message->easy_handle)
				ready[i] = call_ok(calls[i], message->data.result);
		}
	}
}

/* Checks all targets side by side; only this thread changes the list, so indices stay valid. */
static void check_ready(void)
{
	CURLM *multi = curl_multi_init();
	CURL *calls[TARGETS_MAX] = {NULL};
	bool ready[TARGETS_MAX] = {false};
	size_t count = balancer.count;

	if (!multi)
		return;
	for (size_t i = 0; i < count; i++) {
		calls[i] = make_call(&balancer.targets[i].address, "/ready");
		if (calls[i])
			curl_multi_add_handle(multi, calls[i]);
	}
	run_calls(multi, calls, ready, count);
	for (size_t i = 0; i < count; i++) {
		if (!calls[i])
			continue;
		curl_multi_remove_handle(multi, calls[i]);
		curl_easy_cleanup(calls[i]);
	}
	curl_multi_cleanup(multi);
	pthread_mutex_lock(&balancer.mutex);
	for (size_t i = 0; i < count; i++)
		balancer.targets[i].ready = ready[i];
	pthread_mutex_unlock(&balancer.mutex);
}

static void *check_main(void *arg)
{
	int64_t list_us = pd_os_now_us();
	int64_t ready_us = list_us;

	(void)arg;
	for (;;) {
		int64_t now_us = pd_os_now_us();

		if (now_us >= list_us) {
			poll_instances();
			list_us = now_us + LIST_PERIOD_US;
		}
		if (now_us >= ready_us) {
			check_ready();
			ready_us = now_us + READY_PERIOD_US;
		}
		pd_os_sleep_us((list_us < ready_us ? list_us : ready_us) - pd_os_now_us());
	}
	return NULL;
}

/* Copies the ready targets; @start is the index of the next in turn. */
static size_t choose(struct pd_address addresses[TARGETS_MAX], size_t *start)
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

static bool connect_any(int *fd)
{
	struct pd_address addresses[TARGETS_MAX];
	size_t start;
	size_t count = choose(addresses, &start);

	for (size_t i = 0; i < count; i++) {
		if (pd_os_connect(&addresses[(start + i) % count], CONNECT_TIMEOUT_US, fd, NULL) ==
		    PD_OK)
			return true;
	}
	return false;
}

static void *relay_main(void *arg)
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

static void *accept_main(void *arg)
{
	pthread_t thread;
	int fd;

	(void)arg;
	while (pd_os_accept(balancer.listener, &fd, NULL) == PD_OK) {
		struct standin_pump *pump = calloc(1, sizeof(*pump));

		if (pump) {
			*pump = (struct standin_pump){.fds = {fd, -1},
						      .delay_us = &balancer.delay_us,
						      .byte_counts = balancer.bytes};
			if (pd_os_thread_start(&thread, "relay", relay_main, pump, NULL) == PD_OK) {
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
	standin_exit_on_error(pd_os_thread_start(&thread, "check", check_main, NULL, &err), &err);
	pthread_detach(thread);
	standin_exit_on_error(pd_os_thread_start(&thread, "accept", accept_main, NULL, &err), &err);
	pthread_detach(thread);
	standin_print_address(&balancer.common.listen);
	standin_wait_shutdown(&balancer.common);
	/* Threads of relayed connections hold nothing that outlives the process. */
	_Exit(0);
}
