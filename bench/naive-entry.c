/*
 * The baseline that experiments compare the product with: a simple entry instance. It sends
 * sub-requests directly to the upstreams, round robin and in the order of arrival, with a fixed
 * timeout and one retry after an error. It doesn't hedge, ignores zones when it chooses an
 * upstream, and reads the configuration from the platform for each query. Callers send it queries
 * in the same way, with POST /v1/query.
 */
#include <ck_pr.h>
#include <getopt.h>
#include <inttypes.h>
#include <jansson.h>
#include <microhttpd.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "platform_client.h"
#include "query.h"

#define SUBREQUEST_TIMEOUT_US (500 * PD_USEC_PER_MSEC)
#define MAX_ATTEMPTS	      2
#define MAX_IDLE_CONNECTIONS  64
#define MAX_UPSTREAMS	      1024
#define MAX_REQUEST_BYTES     (64 * 1024)

/**
 * struct pool - idle connections to one upstream
 * @name: name of the upstream
 * @idle_clients: clients with an open connection
 * @count: number of entries in @idle_clients
 */
struct pool {
	struct pd_name name;
	struct pd_http_client *idle_clients[MAX_IDLE_CONNECTIONS];
	int count;
};

/*
 * State of the process; @mutex guards the pools, the idle platform connections and the
 * configuration.
 */
static struct {
	struct pd_address platform;
	struct pd_name zone;
	int64_t zone_delay_us;
	pthread_mutex_t mutex;
	struct pool pools[MAX_UPSTREAMS];
	int pool_count;
	/* Configuration of the last read of the log, reused while the log has the same length. */
	struct pd_config *config;
	size_t log_length;
	struct pd_platform idle_platforms[MAX_IDLE_CONNECTIONS];
	int idle_platform_count;
	uint64_t next_replica; /* attempts of all services; selects replicas round robin */
	uint64_t next_id;
} naive;

/**
 * struct subrequest - one sub-request and its result
 * @config: configuration that the query uses; borrowed
 * @service: index of the service
 * @snapshot: index snapshot that the upstream has to use
 * @buckets: number of buckets in the collection
 * @text: query text; borrowed
 * @request_id: id of the caller's request; borrowed
 * @number: number of the sub-request within the query
 * @good: whether an upstream has returned a valid response
 * @covers: buckets that the response covers
 * @body: body of the response, a JSON array of hits
 * @thread: thread that runs the sub-request
 * @started: whether @thread was started
 */
struct subrequest {
	const struct pd_config *config;
	uint32_t service;
	uint64_t snapshot;
	uint32_t buckets;
	struct pd_str text;
	const char *request_id;
	int number;
	bool good;
	struct pd_ranges covers;
	struct pd_buf body;
	pthread_t thread;
	bool started;
};

/* Finds or adds the pool of an upstream; NULL if there are too many. The mutex must be held. */
static struct pool *find_pool(const struct pd_name *name)
{
	for (int i = 0; i < naive.pool_count; i++) {
		if (pd_name_equal(&naive.pools[i].name, name))
			return &naive.pools[i];
	}
	if (naive.pool_count == MAX_UPSTREAMS)
		return NULL;
	naive.pools[naive.pool_count].name = *name;
	return &naive.pools[naive.pool_count++];
}

static struct pd_http_client *acquire_client(const struct pd_name *upstream)
{
	struct pd_http_client *client = NULL;
	struct pool *pool;

	pthread_mutex_lock(&naive.mutex);
	pool = find_pool(upstream);
	if (pool && pool->count)
		client = pool->idle_clients[--pool->count];
	pthread_mutex_unlock(&naive.mutex);
	if (!client)
		pd_http_client_open(&client, NULL);
	return client;
}

static void release_client(const struct pd_name *upstream, struct pd_http_client *client)
{
	struct pool *pool;

	pthread_mutex_lock(&naive.mutex);
	pool = find_pool(upstream);
	if (pool && pool->count < MAX_IDLE_CONNECTIONS) {
		pool->idle_clients[pool->count++] = client;
		client = NULL;
	}
	pthread_mutex_unlock(&naive.mutex);
	pd_http_client_close(client);
}

static bool read_response(struct subrequest *subrequest, const struct pd_http_response *response)
{
	struct pd_str covers = pd_http_response_header(response, "covers");

	if (response->status != 200 ||
	    pd_ranges_parse(&subrequest->covers, covers, subrequest->buckets, NULL) != PD_OK)
		return false;
	pd_buf_append_str(&subrequest->body, response->body);
	return true;
}

/* Sends one attempt of a sub-request to @upstream, with the network delay between zones. */
static bool send_attempt(struct subrequest *subrequest, uint32_t upstream, int attempt)
{
	const struct pd_upstream_config *u = &subrequest->config->upstreams[upstream];
	const struct pd_zone *zone = &subrequest->config->zones[u->zone];
	bool other_zone = !pd_name_equal(&zone->name, &naive.zone);
	struct pd_http_client *client = acquire_client(&u->name);
	struct pd_http_response response;
	char snapshot[24];
	char id[128];
	bool good;

	if (!client)
		return false;
	snprintf(snapshot, sizeof(snapshot), "%" PRIu64, subrequest->snapshot);
	snprintf(id, sizeof(id), "%s.%d.%d", subrequest->request_id, subrequest->number, attempt);
	struct pd_http_header headers[] = {
		{PD_STR("Request-Id"), pd_str_from(id)},
		{PD_STR("Service"),
		 pd_name_str(&subrequest->config->services[subrequest->service].name)},
		{PD_STR("Snapshot"), pd_str_from(snapshot)},
	};
	struct pd_http_request request = {
		.method = "POST",
		.address = u->address,
		.path = "/run",
		.headers = headers,
		.header_count = sizeof(headers) / sizeof(headers[0]),
		.body = subrequest->text,
		.timeout_us = SUBREQUEST_TIMEOUT_US,
	};

	if (other_zone)
		pd_os_sleep_us(naive.zone_delay_us);
	good = pd_http_client_perform(client, &request, &response, NULL) == PD_OK &&
	       read_response(subrequest, &response);
	if (other_zone)
		pd_os_sleep_us(naive.zone_delay_us);
	release_client(&u->name, client);
	return good;
}

static void *run_subrequest(void *arg)
{
	struct subrequest *subrequest = arg;
	const struct pd_service *service = &subrequest->config->services[subrequest->service];

	for (int attempt = 0;
	     attempt < MAX_ATTEMPTS && !subrequest->good && service->upstream_count; attempt++) {
		uint64_t rotation = ck_pr_faa_64(&naive.next_replica, 1);

		subrequest->good = send_attempt(
			subrequest, service->upstreams[rotation % service->upstream_count],
			attempt);
	}
	return NULL;
}

static bool acquire_platform(struct pd_platform *platform)
{
	bool reused = false;

	pthread_mutex_lock(&naive.mutex);
	if (naive.idle_platform_count) {
		*platform = naive.idle_platforms[--naive.idle_platform_count];
		reused = true;
	}
	pthread_mutex_unlock(&naive.mutex);
	return reused || pd_platform_open(platform, &naive.platform, NULL) == PD_OK;
}

static void release_platform(struct pd_platform *platform)
{
	pthread_mutex_lock(&naive.mutex);
	if (naive.idle_platform_count < MAX_IDLE_CONNECTIONS) {
		naive.idle_platforms[naive.idle_platform_count++] = *platform;
		platform->http = NULL;
	}
	pthread_mutex_unlock(&naive.mutex);
	pd_platform_close(platform);
}

/* Applies all commands of the configuration log. */
static struct pd_config *replay_log(const struct pd_object_list *log)
{
	struct pd_config *config = pd_config_new();

	for (size_t i = 0; i < log->count; i++) {
		json_t *json =
			json_loadb(log->items[i].value.data, log->items[i].value.len, 0, NULL);
		const char *text = json_string_value(json_object_get(json, "command"));
		struct pd_command command;
		struct pd_config *next = NULL;

		if (pd_command_parse(&command, pd_str_from(text), NULL) == PD_OK) {
			if (pd_config_apply(config, &command, &next, NULL) == PD_OK) {
				pd_config_put(config);
				config = next;
			}
			pd_command_finish(&command);
		}
		json_decref(json);
	}
	return config;
}

static struct pd_config *read_config(struct pd_platform *platform)
{
	struct pd_config *config = NULL;
	struct pd_object_list log;

	if (pd_platform_list(platform, "config/log/", &log, NULL) != PD_OK)
		return NULL;
	pthread_mutex_lock(&naive.mutex);
	if (!naive.config || naive.log_length != log.count) {
		pd_config_put(naive.config);
		naive.config = replay_log(&log);
		naive.log_length = log.count;
	}
	config = pd_config_get(naive.config);
	pthread_mutex_unlock(&naive.mutex);
	pd_object_list_finish(&log);
	return config;
}

/* Reads the collection's current snapshot and number of buckets from the platform. */
static bool read_index(struct pd_platform *platform, const struct pd_name *collection,
		       struct pd_answer *answer)
{
	struct pd_object object;
	char key[128];
	json_t *json;

	snprintf(key, sizeof(key), "index/%s", collection->text);
	if (pd_platform_get(platform, key, &object, NULL) != PD_OK)
		return false;
	json = json_loadb(object.value.data, object.value.len, 0, NULL);
	answer->snapshot = (uint64_t)json_integer_value(json_object_get(json, "snapshot"));
	answer->buckets = (uint32_t)json_integer_value(json_object_get(json, "buckets"));
	json_decref(json);
	pd_object_finish(&object);
	return answer->snapshot != 0;
}

/* Appends the elements of the JSON array in the response's body to the hits of the answer. */
static void append_hits(struct pd_answer *answer, const struct subrequest *subrequest)
{
	if (subrequest->body.len < 2)
		return;
	if (answer->hits.len > 1)
		pd_buf_append(&answer->hits, ",", 1);
	pd_buf_append(&answer->hits, subrequest->body.data + 1, subrequest->body.len - 2);
}

/* Sends all sub-requests in parallel and merges their responses. */
static void run_subrequests(struct subrequest *subrequests, uint32_t count,
			    struct pd_answer *answer)
{
	for (uint32_t i = 0; i < count; i++)
		subrequests[i].started =
			pd_os_thread_start(&subrequests[i].thread, "part", run_subrequest,
					   &subrequests[i], NULL) == PD_OK;
	pd_buf_append(&answer->hits, "[", 1);
	for (uint32_t i = 0; i < count; i++) {
		if (subrequests[i].started)
			pthread_join(subrequests[i].thread, NULL);
		if (subrequests[i].good) {
			pd_ranges_union(&answer->covered, &subrequests[i].covers);
			append_hits(answer, &subrequests[i]);
		}
		pd_ranges_finish(&subrequests[i].covers);
		pd_buf_finish(&subrequests[i].body);
	}
	pd_buf_append(&answer->hits, "]", 1);
}

static bool run_query(const struct pd_command_query *query, const char *request_id,
		      const struct pd_config *config, struct pd_answer *answer)
{
	uint32_t c = pd_config_find_collection(config, pd_name_str(&query->collection));
	const struct pd_collection *collection;
	struct subrequest *subrequests;

	if (c == PD_CONFIG_NONE)
		return false;
	collection = &config->collections[c];
	subrequests = calloc(collection->service_count + 1, sizeof(*subrequests));
	if (!subrequests)
		return false;
	for (uint32_t i = 0; i < collection->service_count; i++) {
		subrequests[i] = (struct subrequest){.config = config,
						     .service = collection->services[i],
						     .snapshot = answer->snapshot,
						     .buckets = answer->buckets,
						     .text = query->text,
						     .request_id = request_id,
						     .number = (int)i};
		pd_ranges_init(&subrequests[i].covers);
		pd_buf_init(&subrequests[i].body, 0);
	}
	run_subrequests(subrequests, collection->service_count, answer);
	free(subrequests);
	if (pd_ranges_total(&answer->covered) != answer->buckets)
		answer->outcome = PD_OUTCOME_PARTIAL;
	return true;
}

static bool handle_query(struct pd_str line, const char *request_id, struct pd_buf *out)
{
	struct pd_command command = {0};
	struct pd_config *config = NULL;
	struct pd_platform platform;
	struct pd_answer answer;
	int64_t start = pd_os_now_us();
	bool good = false;

	if (pd_command_parse(&command, line, NULL) != PD_OK)
		return false;
	pd_answer_init(&answer);
	pd_name_set(&answer.request_id, pd_str_from(request_id));
	if (command.type == PD_CMD_QUERY && acquire_platform(&platform)) {
		config = read_config(&platform);
		good = config && read_index(&platform, &command.query.collection, &answer);
		release_platform(&platform);
	}
	if (good)
		good = run_query(&command.query, request_id, config, &answer);
	answer.elapsed_us = pd_os_now_us() - start;
	if (good) {
		answer.collection = command.query.collection;
		answer.config_version = config->version;
		pd_answer_print(&answer, out);
	}
	pd_config_put(config);
	pd_answer_finish(&answer);
	pd_command_finish(&command);
	return good;
}

static enum MHD_Result respond(struct MHD_Connection *connection, unsigned int status,
			       struct pd_buf *body)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
		body->len, body->data ? body->data : "", MHD_RESPMEM_MUST_COPY);
	enum MHD_Result result = MHD_queue_response(connection, status, response);

	MHD_destroy_response(response);
	return result;
}

/*
 * libmicrohttpd calls this once with the request's header, then for each block of the body, and
 * last without data when the request is complete.
 */
static enum MHD_Result on_request(void *arg, struct MHD_Connection *connection, const char *url,
				  const char *method, const char *version, const char *data,
				  size_t *size, void **state)
{
	struct pd_buf *body = *state;
	const char *caller_request_id;
	struct pd_buf out;
	char id[64];
	enum MHD_Result result;
	bool good;

	(void)arg;
	(void)method;
	(void)version;
	if (!body) {
		body = calloc(1, sizeof(*body));
		if (body)
			pd_buf_init(body, MAX_REQUEST_BYTES);
		*state = body;
		return body ? MHD_YES : MHD_NO;
	}
	if (*size) {
		pd_buf_append(body, data, *size);
		*size = 0;
		return MHD_YES;
	}
	pd_buf_init(&out, 0);
	if (strcmp(url, "/v1/query") != 0) {
		result = respond(connection, strcmp(url, "/ready") ? 404 : 200, &out);
		pd_buf_finish(&out);
		return result;
	}
	caller_request_id = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "Request-Id");
	snprintf(id, sizeof(id), "n%" PRIu64, ck_pr_faa_64(&naive.next_id, 1));
	good = handle_query(pd_buf_str(body), caller_request_id ? caller_request_id : id, &out);
	result = respond(connection, good ? 200 : 503, &out);
	pd_buf_finish(&out);
	return result;
}

static void on_completed(void *arg, struct MHD_Connection *connection, void **state,
			 enum MHD_RequestTerminationCode code)
{
	struct pd_buf *body = *state;

	(void)arg;
	(void)connection;
	(void)code;
	if (body)
		pd_buf_finish(body);
	free(body);
	*state = NULL;
}

static bool parse_options(int argc, char **argv, struct pd_address *listen)
{
	static const struct option options[] = {
		{"listen", required_argument, NULL, 'l'},
		{"platform", required_argument, NULL, 'p'},
		{"zone", required_argument, NULL, 'z'},
		{"zone-delay-us", required_argument, NULL, 'd'},
		{NULL, 0, NULL, 0},
	};
	uint64_t delay = 0;
	bool good = true;
	int option;

	while ((option = getopt_long(argc, argv, "", options, NULL)) != -1) {
		struct pd_str value = pd_str_from(optarg);

		if (option == 'l')
			good &= pd_address_parse(value, listen, NULL) == PD_OK;
		else if (option == 'p')
			good &= pd_address_parse(value, &naive.platform, NULL) == PD_OK;
		else if (option == 'z')
			good &= pd_name_set(&naive.zone, value);
		else if (option == 'd')
			good &= pd_str_to_u64(value, &delay);
		else
			good = false;
	}
	naive.zone_delay_us = (int64_t)delay;
	return good && listen->port && naive.platform.port && naive.zone.len;
}

int main(int argc, char **argv)
{
	struct pd_address listen = {0};
	struct MHD_Daemon *daemon;
	int listener;

	if (!parse_options(argc, argv, &listen)) {
		fputs("Usage: naive-entry --listen IP:PORT --platform IP:PORT --zone Z "
		      "[--zone-delay-us N]\n",
		      stderr);
		return 2;
	}
	pd_os_signals_block();
	pd_http_global_init();
	pthread_mutex_init(&naive.mutex, NULL);
	if (pd_os_listen(&listen, &listener, NULL) != PD_OK)
		return EXIT_FAILURE;
	daemon =
		MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD, 0,
				 NULL, NULL, on_request, NULL, MHD_OPTION_LISTEN_SOCKET, listener,
				 MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL, MHD_OPTION_END);
	if (!daemon)
		return EXIT_FAILURE;
	pd_os_signal_wait();
	MHD_stop_daemon(daemon);
	return EXIT_SUCCESS;
}
