/* A TCP relay that delays bytes and cuts connections, for faults between zones. */
#include <fnmatch.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "pump.h"
#include "serve.h"

#define CONNECT_TIMEOUT_US (2 * PD_USEC_PER_SEC)
#define ROUTES_MAX	   2048
#define CONTROL_MAX_BYTES  (64 * 1024)

/** enum route_state - what happens to new connections of a route. */
enum route_state {
	ROUTE_NORMAL,
	ROUTE_CUT, /* accepted, never connected or answered */
	ROUTE_REFUSED, /* closed */
};

struct relayed;

/**
 * struct route - one relayed address
 * @name: matched by patterns
 * @listen: where it accepts
 * @target: where it connects to
 * @listener: descriptor
 * @state: enum route_state; guarded by relay.mutex
 * @links: existing connections; guarded by relay.mutex
 * @open: number of @links
 * @connections: accepted so far
 * @delay_us: one-way, in each direction
 * @bytes: from the client, to the client
 */
struct route {
	struct pd_name name;
	struct pd_address listen;
	struct pd_address target;
	int listener;
	enum route_state state;
	struct relayed *links;
	uint64_t open;
	uint64_t connections;
	atomic_llong delay_us;
	atomic_ullong bytes[2];
};

struct relayed {
	struct standin_pump pump;
	struct route *route;
	struct relayed *prev;
	struct relayed *next;
};

static struct relay {
	struct standin_common_options common;
	struct pd_address control;
	int64_t delay_us;
	struct standin_server server;
	pthread_mutex_t mutex;
	struct route *routes[ROUTES_MAX];
	size_t count;
} relay = {.mutex = PTHREAD_MUTEX_INITIALIZER};

static bool parse_route(struct pd_str text, struct route *route)
{
	const char *first = memchr(text.data, ',', text.len);
	const char *second = first ? strchr(first + 1, ',') : NULL;

	if (!second)
		return false;
	return pd_name_set(&route->name, (struct pd_str){text.data, (size_t)(first - text.data)}) &&
	       pd_address_parse((struct pd_str){first + 1, (size_t)(second - first - 1)},
				&route->listen, NULL) == PD_OK &&
	       pd_address_parse(pd_str_from(second + 1), &route->target, NULL) == PD_OK;
}

static bool add_route(const char *text)
{
	struct route *route = calloc(1, sizeof(*route));

	if (!route || relay.count == ROUTES_MAX || !parse_route(pd_str_from(text), route)) {
		free(route);
		return false;
	}
	relay.routes[relay.count++] = route;
	return true;
}

/* Reads one NAME,LISTEN,TARGET a line; blank lines and those that start with # are skipped. */
static bool add_routes_file(const char *path)
{
	FILE *file = fopen(path, "r");
	char line[256];
	bool good = file != NULL;

	while (good && fgets(line, sizeof(line), file)) {
		line[strcspn(line, "\r\n")] = '\0';
		if (line[0] && line[0] != '#')
			good = add_route(line);
	}
	if (file)
		fclose(file);
	return good;
}

static void link_connection(struct route *route, struct relayed *link)
{
	link->route = route;
	link->next = route->links;
	if (link->next)
		link->next->prev = link;
	route->links = link;
	route->open++;
	route->connections++;
}

static void unlink_connection(struct relayed *link)
{
	pthread_mutex_lock(&relay.mutex);
	if (link->prev)
		link->prev->next = link->next;
	else
		link->route->links = link->next;
	if (link->next)
		link->next->prev = link->prev;
	link->route->open--;
	pthread_mutex_unlock(&relay.mutex);
}

static void set_target(struct relayed *link, int fd)
{
	pthread_mutex_lock(&relay.mutex);
	link->pump.fds[1] = fd;
	pthread_mutex_unlock(&relay.mutex);
}

static void *relay_main(void *arg)
{
	struct relayed *link = arg;
	int fd;

	if (atomic_load(&link->pump.mode) == STANDIN_PUMP_NORMAL) {
		if (pd_os_connect(&link->route->target, CONNECT_TIMEOUT_US, &fd, NULL) == PD_OK) {
			set_target(link, fd);
		} else {
			int normal = STANDIN_PUMP_NORMAL;

			atomic_compare_exchange_strong(&link->pump.mode, &normal,
						       STANDIN_PUMP_RESET);
		}
	}
	standin_pump_run(&link->pump);
	unlink_connection(link);
	pd_os_close(&link->pump.fds[0]);
	pd_os_close(&link->pump.fds[1]);
	free(link);
	return NULL;
}

static struct relayed *admit(struct route *route, int fd)
{
	struct relayed *link = calloc(1, sizeof(*link));

	if (!link)
		return NULL;
	link->pump = (struct standin_pump){
		.fds = {fd, -1}, .delay_us = &route->delay_us, .byte_counts = route->bytes};
	pthread_mutex_lock(&relay.mutex);
	switch (route->state) {
	case ROUTE_NORMAL:
		atomic_store(&link->pump.mode, STANDIN_PUMP_NORMAL);
		break;
	case ROUTE_CUT:
		atomic_store(&link->pump.mode, STANDIN_PUMP_BLACKHOLE);
		break;
	case ROUTE_REFUSED:
		atomic_store(&link->pump.mode, STANDIN_PUMP_RESET);
		break;
	}
	link_connection(route, link);
	pthread_mutex_unlock(&relay.mutex);
	return link;
}

static void *accept_main(void *arg)
{
	struct route *route = arg;
	pthread_t thread;
	int fd;

	while (pd_os_accept(route->listener, &fd, NULL) == PD_OK) {
		struct relayed *link = admit(route, fd);

		if (!link) {
			pd_os_close(&fd);
			continue;
		}
		if (pd_os_thread_start(&thread, "relay", relay_main, link, NULL) == PD_OK) {
			pthread_detach(thread);
			continue;
		}
		unlink_connection(link);
		pd_os_close(&fd);
		free(link);
	}
	return NULL;
}

static void change_links(struct route *route, enum standin_pump_mode mode)
{
	for (struct relayed *link = route->links; link; link = link->next) {
		if (mode == STANDIN_PUMP_BLACKHOLE &&
		    atomic_load(&link->pump.mode) == STANDIN_PUMP_RESET)
			continue;
		atomic_store(&link->pump.mode, mode);
		if (mode != STANDIN_PUMP_RESET)
			continue;
		for (int i = 0; i < 2; i++) {
			standin_pump_reset_on_close(link->pump.fds[i]);
			pd_os_shutdown(link->pump.fds[i]);
		}
	}
}

static bool apply_to_route(struct route *route, const struct standin_command *line)
{
	int64_t delay_us;

	if (standin_command_is(line, "cut", 1)) {
		route->state = ROUTE_CUT;
		change_links(route, STANDIN_PUMP_BLACKHOLE);
	} else if (standin_command_is(line, "refuse", 1)) {
		route->state = ROUTE_REFUSED;
		change_links(route, STANDIN_PUMP_RESET);
	} else if (standin_command_is(line, "silent", 1)) {
		change_links(route, STANDIN_PUMP_BLACKHOLE);
	} else if (standin_command_is(line, "heal", 1)) {
		route->state = ROUTE_NORMAL;
	} else if (standin_command_is(line, "delay_us", 2)) {
		if (!standin_parse_integer(line->words[2], &delay_us))
			return false;
		atomic_store(&route->delay_us, delay_us);
	} else {
		return false;
	}
	return true;
}

/* A pattern that matches no route is malformed, so that a mistyped one doesn't pass unnoticed. */
static bool apply_line(void *arg, const struct standin_command *line)
{
	bool good = true;
	bool matched = false;

	(void)arg;
	if (line->word_count < 2)
		return false;
	pthread_mutex_lock(&relay.mutex);
	for (size_t i = 0; good && i < relay.count; i++) {
		if (fnmatch(line->words[1], relay.routes[i]->name.text, 0) != 0)
			continue;
		matched = true;
		good = apply_to_route(relay.routes[i], line);
	}
	pthread_mutex_unlock(&relay.mutex);
	return good && matched;
}

static enum MHD_Result print_stats(struct standin_request *request)
{
	static const char *const states[] = {
		[ROUTE_NORMAL] = "normal", [ROUTE_CUT] = "cut", [ROUTE_REFUSED] = "refused"};
	struct pd_buf out;

	pd_buf_init(&out, 0);
	pd_buf_append_str(&out, PD_STR("{\"routes\":["));
	pthread_mutex_lock(&relay.mutex);
	for (size_t i = 0; i < relay.count; i++) {
		struct route *route = relay.routes[i];

		pd_buf_printf(&out,
			      "%s{\"name\":\"%s\",\"listen\":\"%s:%u\",\"state\":\"%s\","
			      "\"delay_us\":%lld,\"connections\":%llu,\"open\":%llu,"
			      "\"bytes_to_target\":%llu,\"bytes_to_client\":%llu}",
			      i ? "," : "", route->name.text, route->listen.ip, route->listen.port,
			      states[route->state], atomic_load(&route->delay_us),
			      (unsigned long long)route->connections,
			      (unsigned long long)route->open, atomic_load(&route->bytes[0]),
			      atomic_load(&route->bytes[1]));
	}
	pthread_mutex_unlock(&relay.mutex);
	pd_buf_append_str(&out, PD_STR("]}"));
	return standin_send_json(request, &out);
}

static enum MHD_Result handle(void *arg, struct standin_request *request)
{
	(void)arg;
	if (standin_request_is(request, "GET", "/stats"))
		return print_stats(request);
	if (standin_request_is(request, "POST", "/control"))
		return standin_handle_control(request, apply_line, NULL);
	return standin_send_text(request, MHD_HTTP_NOT_FOUND, "no such path\n");
}

static void start_routes(void)
{
	struct pd_error err;
	pthread_t thread;

	for (size_t i = 0; i < relay.count; i++) {
		struct route *route = relay.routes[i];

		atomic_store(&route->delay_us, relay.delay_us);
		standin_exit_on_error(pd_os_listen(&route->listen, &route->listener, &err), &err);
		standin_exit_on_error(
			pd_os_thread_start(&thread, "route", accept_main, route, &err), &err);
		pthread_detach(thread);
	}
}

int main(int argc, char **argv)
{
	static const struct standin_option options[] = {
		{"control", STANDIN_OPTION_ADDRESS, &relay.control, NULL,
		 "IP:PORT of POST /control and GET /stats, in place of --listen"},
		{"route", STANDIN_OPTION_CALLBACK, NULL, add_route,
		 "NAME,LISTEN,TARGET; may be repeated; LISTEN and TARGET are IP:PORT"},
		{"routes", STANDIN_OPTION_CALLBACK, NULL, add_routes_file,
		 "file with one NAME,LISTEN,TARGET a line"},
		{"delay-us", STANDIN_OPTION_INTEGER, &relay.delay_us, NULL,
		 "one-way delay in each direction, microseconds (0)"},
	};
	struct pd_error err;

	standin_options_parse(argc, argv, "TCP relay with delays and faults.", &relay.common,
			      options, sizeof(options) / sizeof(*options));
	if (relay.control.ip[0])
		relay.common.listen = relay.control;
	relay.server = (struct standin_server){.address = relay.common.listen,
					       .handle = handle,
					       .body_max_bytes = CONTROL_MAX_BYTES};
	start_routes();
	standin_exit_on_error(standin_server_start(&relay.server, &err), &err);
	standin_print_address(&relay.server.address);
	standin_wait_shutdown(&relay.common);
	standin_server_stop(&relay.server);
	/* Threads of relayed connections hold nothing that outlives the process. */
	_Exit(0);
}
