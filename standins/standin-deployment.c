/**
 * DOC: Plays a script against peridot-ingress with a stand-in of the users' platform
 *
 * Starts a store, upstreams and one ingress process as the script says, sends requests as a caller
 * would, and prints one line for each command that has a result, so that a run can be compared with
 * its expected output. Commands are described by the table at the end.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "http.h"
#include "platform_store.h"
#include "platform_upstream.h"

#define INSTANCES_MAX  4
#define DARK_PORT      9 /* nothing listens there */
#define UPSTREAMS_MAX  32
#define WORDS_MAX      16
#define OUTPUT_MAX     4096
#define HEAD_MAX       65536
#define BODY_MAX       (1024 * 1024)
#define REPLY_LIMIT_US (8 * PD_USEC_PER_SEC)
#define UNTIL_LIMIT_US (12 * PD_USEC_PER_SEC)

/**
 * struct instance - one ingress process
 * @name: its name
 * @front: where it serves callers
 * @ready: where it says whether it is ready
 * @metrics: where it serves counters
 * @peer: where other instances connect
 * @settings: path of its settings file
 * @cpu_share: processor share that it is told
 * @pid: process, 0 while there is none
 */
struct instance {
	char name[32];
	struct pd_address front;
	struct pd_address ready;
	struct pd_address metrics;
	struct pd_address peer;
	char settings[160];
	double cpu_share;
	pid_t pid;
};

static struct {
	struct platform_store store;
	struct platform_upstream upstreams[UPSTREAMS_MAX];
	size_t upstream_count;
	json_t *routes;
	struct instance instances[INSTANCES_MAX];
	size_t instance_count;
	struct instance *used; /* the one that commands go to */
	const char *settings; /* start of the paths of settings files */
	const char *binary;
	int kept; /* a caller's connection that stays open */
	uint32_t next_id;
} world = {.kept = -1};

/* Output of the command that runs. */
static char output[OUTPUT_MAX];

__attribute__((format(printf, 1, 2))) static void print(const char *format, ...)
{
	size_t len = strlen(output);
	va_list args;

	va_start(args, format);
	vsnprintf(output + len, sizeof(output) - len, format, args);
	va_end(args);
}

static struct platform_upstream *find(const char *id)
{
	for (size_t i = 0; i < world.upstream_count; i++) {
		if (!strcmp(world.upstreams[i].id, id))
			return &world.upstreams[i];
	}
	fprintf(stderr, "no upstream %s\n", id);
	exit(EXIT_FAILURE);
}

static json_t *entry_of(const struct platform_upstream *upstream, const char *zone,
			const char *state)
{
	char address[PD_ADDRESS_TEXT_MAX_BYTES];

	pd_address_format(&upstream->address, address, sizeof(address));
	return json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:i,s:I}", "service", upstream->service,
			 "address", address, "zone", zone, "version", "v1", "slots", 3, "state",
			 state, "cold_remaining_ms", 0, "seq", 1, "born", (json_int_t)1000);
}

/* upstream ID SERVICE [ZONE] */
static void do_upstream(char **words, int count)
{
	struct platform_upstream *upstream = &world.upstreams[world.upstream_count++];

	platform_upstream_start(upstream, words[1], words[2]);
	platform_store_put(&world.store, "servers", words[1],
			   entry_of(upstream, count > 3 ? words[3] : "here", "ready"));
}

/* mode ID MODE [MS] */
static void do_mode(char **words, int count)
{
	if (!platform_upstream_set_mode(find(words[1]), words[2], count > 3 ? atoi(words[3]) : 0))
		print("no mode %s", words[2]);
}

/* drain ID */
static void do_drain(char **words, int count)
{
	(void)count;
	platform_store_put(&world.store, "servers", words[1],
			   entry_of(find(words[1]), "here", "draining"));
}

/* gone ID */
static void do_gone(char **words, int count)
{
	(void)count;
	platform_store_remove(&world.store, "servers", words[1]);
}

/* back ID: the entry of a living upstream returns */
static void do_back(char **words, int count)
{
	(void)count;
	platform_store_put(&world.store, "servers", words[1],
			   entry_of(find(words[1]), "here", "ready"));
}

/* entry NAME JSON */
static void do_entry(char **words, int count)
{
	(void)count;
	platform_store_put(&world.store, "servers", words[1],
			   json_loads(words[2], JSON_DECODE_ANY, NULL));
}

/* rename ID NEW_ID: another instance takes the address; its entry stays as it was */
static void do_rename(char **words, int count)
{
	struct platform_upstream *upstream = find(words[1]);

	(void)count;
	pthread_mutex_lock(&upstream->lock);
	snprintf(upstream->id, sizeof(upstream->id), "%s", words[2]);
	pthread_mutex_unlock(&upstream->lock);
}

/* evacuate ZONE, return ZONE */
static void do_evacuate(char **words, int count)
{
	(void)count;
	if (!strcmp(words[0], "evacuate"))
		platform_store_put(&world.store, "evacuations", words[1], json_object());
	else
		platform_store_remove(&world.store, "evacuations", words[1]);
}

/* route JSON, without the defaults that are filled in here */
static void do_route(char **words, int count)
{
	json_t *route = json_pack("{s:s,s:s,s:i,s:i,s:i,s:i}", "host", "shop.example", "route_kind",
				  "idempotent", "timeout_ms", 2000, "target_latency_ms", 400,
				  "priority", 1, "max_attempts", 2);
	json_t *given = json_loads(words[1], 0, NULL);

	(void)count;
	if (!given) {
		print("no JSON");
		return;
	}
	json_object_update(route, given);
	json_array_append_new(world.routes, route);
	json_decref(given);
}

/* forget: drops all routes */
static void do_forget(char **words, int count)
{
	(void)words;
	(void)count;
	json_array_clear(world.routes);
}

/* publish VERSION: puts the routes, and the services of all upstreams, into the configuration */
static void do_publish(char **words, int count)
{
	json_t *services = json_array();
	json_t *seen = json_object();

	(void)count;
	for (size_t i = 0; i < world.upstream_count; i++) {
		const char *name = world.upstreams[i].service;

		if (json_object_get(seen, name))
			continue;
		json_object_set_new(seen, name, json_true());
		json_array_append_new(services,
				      json_pack("{s:s,s:s,s:i,s:f,s:f}", "name", name,
						"health_check_path", "/health", "max_connections",
						60, "cold_start_s", 3.0, "cold_per_s", 0.0));
	}
	json_decref(seen);
	platform_store_put(&world.store, "config", "main",
			   json_pack("{s:i,s:O,s:o,s:{s:i,s:i,s:i,s:i}}", "version", atoi(words[1]),
				     "routes", json_deep_copy(world.routes), "services", services,
				     "limits", "max_header_bytes", 2048, "max_body_bytes", 4096,
				     "header_timeout_ms", 500, "idle_timeout_ms", 3000));
}

/* store up|busy|silent|compact */
static void do_store(char **words, int count)
{
	(void)count;
	if (!strcmp(words[1], "compact"))
		platform_store_compact(&world.store);
	else if (!strcmp(words[1], "busy"))
		platform_store_set_mode(&world.store, PLATFORM_STORE_BUSY);
	else if (!strcmp(words[1], "silent"))
		platform_store_set_mode(&world.store, PLATFORM_STORE_SILENT);
	else
		platform_store_set_mode(&world.store, PLATFORM_STORE_UP);
}

/* objects KIND: how many the store holds */
static void do_objects(char **words, int count)
{
	(void)count;
	print("%zu", platform_store_object_count(&world.store, words[1]));
}

/* A free port that wasn't chosen before: the kernel may offer the same one twice. */
static void choose_address(struct pd_address *address)
{
	static uint16_t chosen[INSTANCES_MAX * 4];
	static size_t count;
	bool taken;

	do {
		int fd;

		memset(address, 0, sizeof(*address));
		memcpy(address->ip, "127.0.0.1", sizeof("127.0.0.1"));
		if (pd_os_listen(address, &fd, NULL) != PD_OK)
			abort();
		pd_os_close(&fd);
		taken = false;
		for (size_t i = 0; i < count; i++)
			taken = taken || chosen[i] == address->port;
	} while (taken);
	chosen[count++] = address->port;
}

static void write_settings(const struct instance *instance, uint16_t store_port)
{
	FILE *file = fopen(instance->settings, "w");

	if (!file)
		abort();
	fprintf(file,
		"{\"platform\":{\"node_name\":\"%s\",\"zone\":\"here\",\"ip\":\"127.0.0.1\","
		"\"internal_port_range\":[%u,%u],\"listen_addresses\":"
		"{\"front\":\"127.0.0.1:%u\",\"ready\":\"127.0.0.1:%u\"},\"platform\":{\"address\":"
		"\"127.0.0.1:%u\"},\"limits\":{\"max_file_descriptors\":1024,\"cpu_share\":%g},"
		"\"bounds\":"
		"{\"retry_budget_ratio\":0.2,\"retry_budget_slack\":104,\"grace_period_s\":6}},"
		"\"ingress\":{\"metrics_address\":\"127.0.0.1:%u\",\"log_lines_per_s\":500}}\n",
		instance->name, instance->peer.port, instance->peer.port, instance->front.port,
		instance->ready.port, store_port, instance->cpu_share, instance->metrics.port);
	fclose(file);
}

/* use NAME: the commands that follow go to that instance, which is described if it is new */
static void do_use(char **words, int count)
{
	struct instance *instance;

	(void)count;
	for (size_t i = 0; i < world.instance_count; i++) {
		if (!strcmp(world.instances[i].name, words[1])) {
			world.used = &world.instances[i];
			return;
		}
	}
	instance = &world.instances[world.instance_count++];
	snprintf(instance->name, sizeof(instance->name), "%s", words[1]);
	snprintf(instance->settings, sizeof(instance->settings), "%s%s", world.settings,
		 world.instance_count > 1 ? words[1] : "");
	choose_address(&instance->front);
	choose_address(&instance->ready);
	choose_address(&instance->metrics);
	choose_address(&instance->peer);
	instance->cpu_share = 1;
	world.used = instance;
}

/* instance NAME: registers an instance as if it had done so itself */
static void do_instance(char **words, int count)
{
	char address[PD_ADDRESS_TEXT_MAX_BYTES];

	do_use(words, count);
	pd_address_format(&world.used->peer, address, sizeof(address));
	platform_store_put(&world.store, "instances", words[1],
			   json_pack("{s:s,s:s,s:s,s:f}", "zone", "here", "address", address,
				     "front", address, "cpu_share", 1.0));
}

/* size NAME CORES: processor share of an instance that is started later */
static void do_size(char **words, int count)
{
	do_use(words, count);
	world.used->cpu_share = atof(words[2]);
}

/* start [NAME [dark]]: an ingress process, with its log in a file; dark: it can't reach the store
 */
static void do_start(char **words, int count)
{
	char first[] = "front-1";
	char *use[] = {first, count > 1 ? words[1] : first};

	do_use(use, 2);
	write_settings(world.used, count > 2 ? DARK_PORT : world.store.address.port);
	fflush(NULL);
	world.used->pid = fork();
	if (!world.used->pid) {
		char log[200];

		snprintf(log, sizeof(log), "%s.log", world.used->settings);
		if (!freopen(log, "a", stdout))
			_exit(127);
		execl(world.binary, world.binary, "--settings", world.used->settings, (char *)NULL);
		_exit(127);
	}
}

/* term, hup, kill, pause, resume */
static void do_signal(char **words, int count)
{
	static const struct {
		const char *name;
		int number;
	} signals[] = {{"term", SIGTERM},
		       {"hup", SIGHUP},
		       {"kill", SIGKILL},
		       {"pause", SIGSTOP},
		       {"resume", SIGCONT}};

	(void)count;
	for (size_t i = 0; i < sizeof(signals) / sizeof(signals[0]); i++) {
		if (!strcmp(words[0], signals[i].name))
			kill(world.used->pid, signals[i].number);
	}
}

/* exit: waits for the end of the process */
static void do_exit(char **words, int count)
{
	int status = 0;

	(void)words;
	(void)count;
	waitpid(world.used->pid, &status, 0);
	world.used->pid = 0;
	if (WIFEXITED(status))
		print("exit %d", WEXITSTATUS(status));
	else
		print("signal %d", WTERMSIG(status));
}

/* sleep MS */
static void do_sleep(char **words, int count)
{
	(void)count;
	pd_os_sleep_us(atoi(words[1]) * PD_USEC_PER_MSEC);
}

static bool read_reply(int fd, struct pd_http_message *msg)
{
	int64_t until = pd_os_now_us() + REPLY_LIMIT_US;
	char bytes[8192];

	for (;;) {
		struct pollfd p = {.fd = fd, .events = POLLIN};
		int64_t left = until - pd_os_now_us();
		size_t used;
		ssize_t n;

		if (left <= 0 || poll(&p, 1, (int)(left / 1000) + 1) <= 0)
			return false;
		n = recv(fd, bytes, sizeof(bytes), 0);
		if (n <= 0)
			return n == 0 && pd_http_message_eof(msg) == PD_HTTP_COMPLETE;
		if (pd_http_message_parse(msg, bytes, (size_t)n, &used) == PD_HTTP_COMPLETE)
			return true;
	}
}

static void print_field(const struct pd_http_message *msg, const char *field, const char *label)
{
	struct pd_str value;

	if (pd_http_message_field(msg, field, &value))
		print(" %s=%.*s", label, PD_STR_ARG(value));
}

static size_t count_parts(struct pd_str stamps)
{
	size_t count = stamps.len > 0;

	for (size_t i = 0; i < stamps.len; i++)
		count += stamps.data[i] == ',';
	return count;
}

static void print_reply(const struct pd_http_message *msg)
{
	struct pd_str stamps;

	print("%u", msg->parser.status_code);
	if (pd_http_message_field(msg, "X-Part-Stamps", &stamps))
		print(" parts=%zu", count_parts(stamps));
	print_field(msg, "X-Missing-Parts", "missing");
	print_field(msg, "X-Server-Stamp", "stamp");
	print_field(msg, "Retry-After", "retry");
	if (!msg->keep_alive)
		print(" close");
	if (msg->body.len)
		print(" \"%.*s\"", (int)msg->body.len, msg->body.data);
}

static void exchange(int fd, const struct pd_buf *request)
{
	struct pd_http_message msg;

	pd_http_message_init(&msg, PD_HTTP_RESPONSE, HEAD_MAX, BODY_MAX);
	if (pd_os_write_full(fd, request->data, request->len, NULL) != PD_OK)
		print("not sent");
	else if (read_reply(fd, &msg))
		print_reply(&msg);
	else
		print("no answer");
	pd_http_message_finish(&msg);
}

static int connect_front(void)
{
	int fd = -1;

	if (pd_os_connect(&world.used->front, PD_USEC_PER_SEC, &fd, NULL) != PD_OK)
		print("no connection");
	return fd;
}

static const char *option(char **words, int count, const char *key)
{
	size_t len = strlen(key);

	for (int i = 3; i < count; i++) {
		if (!strncmp(words[i], key, len) && words[i][len] == '=')
			return words[i] + len + 1;
	}
	return NULL;
}

static void write_request(char **words, int count, struct pd_buf *out)
{
	const char *id = option(words, count, "id");
	const char *deadline = option(words, count, "deadline");
	const char *body = option(words, count, "body");
	const char *chunked = option(words, count, "chunked");

	pd_buf_printf(out, "%s %s HTTP/1.1\r\nHost: shop.example\r\n", words[1], words[2]);
	if (id)
		pd_buf_printf(out, "X-Request-Id: %s\r\n", id);
	else
		pd_buf_printf(out, "X-Request-Id: auto-%u\r\n", ++world.next_id);
	pd_buf_printf(out, "X-Deadline-Ms: %s\r\n", deadline ? deadline : "2000");
	if (body)
		pd_buf_printf(out, "Content-Length: %zu\r\n\r\n%s", strlen(body), body);
	else if (chunked)
		pd_buf_printf(out, "Transfer-Encoding: chunked\r\n\r\n%zx\r\n%s\r\n0\r\n\r\n",
			      strlen(chunked), chunked);
	else
		pd_buf_append_str(out, PD_STR("\r\n"));
}

/* request METHOD TARGET [id=ID] [deadline=MS] [body=TEXT] [chunked=TEXT]: on a new connection;
 * kept ...: on one connection that stays open */
static void do_request(char **words, int count)
{
	bool keep = !strcmp(words[0], "kept");
	struct pd_buf request = {0};
	int fd = keep && world.kept >= 0 ? world.kept : connect_front();

	if (fd < 0)
		return;
	write_request(words, count, &request);
	exchange(fd, &request);
	pd_buf_finish(&request);
	if (keep)
		world.kept = fd;
	else
		pd_os_close(&fd);
}

/* leave METHOD TARGET MS: sends a request and closes the connection after MS */
static void do_leave(char **words, int count)
{
	struct pd_buf request = {0};
	int fd = connect_front();

	(void)count;
	if (fd < 0)
		return;
	write_request(words, 3, &request);
	pd_os_write_full(fd, request.data, request.len, NULL);
	pd_os_sleep_us(atoi(words[3]) * PD_USEC_PER_MSEC);
	pd_buf_finish(&request);
	pd_os_close(&fd);
}

/* raw TEXT: sends TEXT, in which \r, \n stand for themselves and ^N repeats an x N times */
static void do_raw(char **words, int count)
{
	struct pd_buf request = {0};
	int fd = connect_front();

	(void)count;
	if (fd < 0)
		return;
	for (const char *at = words[1]; *at; at++) {
		if (at[0] == '\\' && (at[1] == 'r' || at[1] == 'n')) {
			pd_buf_append(&request, *++at == 'r' ? "\r" : "\n", 1);
		} else if (*at == '^') {
			for (long n = strtol(at + 1, (char **)&at, 10); n > 0; n--)
				pd_buf_append(&request, "x", 1);
			at--;
		} else {
			pd_buf_append(&request, at, 1);
		}
	}
	exchange(fd, &request);
	pd_buf_finish(&request);
	pd_os_close(&fd);
}

static void get(const struct pd_address *address, const char *target, struct pd_http_message *msg)
{
	struct pd_buf request = {0};
	int fd = -1;

	if (pd_os_connect(address, PD_USEC_PER_SEC, &fd, NULL) != PD_OK)
		return;
	pd_buf_printf(&request, "GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", target);
	pd_os_write_full(fd, request.data, request.len, NULL);
	read_reply(fd, msg);
	pd_buf_finish(&request);
	pd_os_close(&fd);
}

/* ready: status of the readiness address */
static void do_ready(char **words, int count)
{
	struct pd_http_message msg;

	(void)words;
	(void)count;
	pd_http_message_init(&msg, PD_HTTP_RESPONSE, HEAD_MAX, BODY_MAX);
	get(&world.used->ready, "/api/readiness", &msg);
	print("%u", msg.complete ? msg.parser.status_code : 0);
	pd_http_message_finish(&msg);
}

/* metric NAME: its value */
static void do_metric(char **words, int count)
{
	struct pd_http_message msg;
	char pattern[96];
	const char *at;

	(void)count;
	pd_http_message_init(&msg, PD_HTTP_RESPONSE, HEAD_MAX, BODY_MAX);
	get(&world.used->metrics, "/metrics", &msg);
	snprintf(pattern, sizeof(pattern), "%s ", words[1]);
	at = msg.body.len ? strstr(msg.body.data, pattern) : NULL;
	if (at)
		print("%ld", strtol(at + strlen(pattern), NULL, 10));
	else
		print("missing");
	pd_http_message_finish(&msg);
}

/* runs ID, arrivals ID, last ID */
static void do_ask(char **words, int count)
{
	struct platform_upstream *upstream = find(words[1]);

	(void)count;
	pthread_mutex_lock(&upstream->lock);
	if (!strcmp(words[0], "last"))
		print("%s", upstream->last_executed);
	else
		print("%u", strcmp(words[0], "runs") ? upstream->received_count
						     : upstream->executed_count);
	pthread_mutex_unlock(&upstream->lock);
}

/* logged TEXT: how many log lines hold it */
static void do_logged(char **words, int count)
{
	char line[2048], path[200];
	int found = 0;
	FILE *file;

	(void)count;
	snprintf(path, sizeof(path), "%s.log", world.used->settings);
	file = fopen(path, "r");
	while (file && fgets(line, sizeof(line), file))
		found += strstr(line, words[1]) != NULL;
	if (file)
		fclose(file);
	print("%d", found);
}

struct command {
	const char *name;
	int least; /* words, the name included */
	void (*run)(char **words, int count);
};

static const struct command commands[] = {
	{"upstream", 3, do_upstream}, {"mode", 3, do_mode},	    {"drain", 2, do_drain},
	{"gone", 2, do_gone},	      {"back", 2, do_back},	    {"entry", 3, do_entry},
	{"rename", 3, do_rename},     {"evacuate", 2, do_evacuate}, {"return", 2, do_evacuate},
	{"route", 2, do_route},	      {"forget", 1, do_forget},	    {"publish", 2, do_publish},
	{"store", 2, do_store},	      {"objects", 2, do_objects},   {"start", 1, do_start},
	{"term", 1, do_signal},	      {"hup", 1, do_signal},	    {"kill", 1, do_signal},
	{"pause", 1, do_signal},      {"resume", 1, do_signal},	    {"use", 2, do_use},
	{"instance", 2, do_instance}, {"size", 3, do_size},	    {"exit", 1, do_exit},
	{"sleep", 2, do_sleep},	      {"request", 3, do_request},   {"kept", 3, do_request},
	{"leave", 4, do_leave},	      {"raw", 2, do_raw},	    {"ready", 1, do_ready},
	{"metric", 2, do_metric},     {"runs", 2, do_ask},	    {"arrivals", 2, do_ask},
	{"last", 2, do_ask},	      {"logged", 2, do_logged},
};

static void run_command(char **words, int count)
{
	output[0] = '\0';
	for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++) {
		if (strcmp(commands[i].name, words[0]) != 0)
			continue;
		if (count < commands[i].least)
			print("too few words");
		else
			commands[i].run(words, count);
		return;
	}
	print("no such command");
}

/* until PREFIX COMMAND...: repeats the command until its output begins so */
static void run_until(char **words, int count)
{
	int64_t until = pd_os_now_us() + UNTIL_LIMIT_US;

	do {
		run_command(words + 2, count - 2);
		if (!strncmp(output, words[1], strlen(words[1])))
			return;
		pd_os_sleep_us(50 * PD_USEC_PER_MSEC);
	} while (pd_os_now_us() < until);
	print(" (never %s)", words[1]);
}

/* Splits at blanks; words in single quotes may hold blanks. */
static int split(char *line, char **words)
{
	int count = 0;

	while (count < WORDS_MAX) {
		line += strspn(line, " \t\n");
		if (!*line || *line == '#')
			break;
		if (*line == '\'') {
			words[count++] = ++line;
			line += strcspn(line, "'");
		} else {
			words[count++] = line;
			line += strcspn(line, " \t\n");
		}
		if (*line)
			*line++ = '\0';
	}
	return count;
}

int main(int argc, char **argv)
{
	char line[4096], copy[4096];
	char *words[WORDS_MAX];

	if (argc != 3) {
		fprintf(stderr,
			"Usage: standin-deployment INGRESS-PROGRAM SETTINGS-FILE <SCRIPT\n");
		return EXIT_FAILURE;
	}
	alarm(100);
	signal(SIGPIPE, SIG_IGN);
	world.binary = argv[1];
	world.settings = argv[2];
	world.routes = json_array();
	platform_store_start(&world.store);
	while (fgets(line, sizeof(line), stdin)) {
		int count;

		snprintf(copy, sizeof(copy), "%.*s", (int)strcspn(line, "\n"), line);
		count = split(line, words);
		if (!count)
			continue;
		if (!strcmp(words[0], "until") && count > 2)
			run_until(words, count);
		else
			run_command(words, count);
		if (output[0])
			printf("%s -> %s\n", copy, output);
		fflush(stdout);
	}
	for (size_t i = 0; i < world.instance_count; i++) {
		if (world.instances[i].pid)
			kill(world.instances[i].pid, SIGKILL);
	}
	return EXIT_SUCCESS;
}
