/* TCP relay that delays bytes and interrupts connections, to inject faults between zones. */
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

/**
 * enum route_state - how a route handles new connections
 * @ROUTE_NORMAL: relays them
 * @ROUTE_CUT: accepts them, but neither connects to the target nor sends anything
 * @ROUTE_REFUSED: accepts and resets them
 */
enum route_state {
	ROUTE_NORMAL,
	ROUTE_CUT,
	ROUTE_REFUSED,
};

struct relay_connection;

/**
 * struct route - one relayed address
 * @name: name of the route, which the patterns of control commands match
 * @listen: address at which the relay accepts connections for the route
 * @target: address to which the connections are relayed
 * @listener: listening socket
 * @state: how the route handles new connections; guarded by relay.mutex
 * @connection_list: open connections; guarded by relay.mutex
 * @open_count: number of entries in @connection_list; guarded by relay.mutex
 * @accepted_count: number of connections accepted so far; guarded by relay.mutex
 * @delay_us: one-way delay in each direction, in microseconds
 * @byte_totals: bytes relayed to the target, and bytes relayed to the client
 */
struct route {
	struct pd_name name;
	struct pd_address listen;
	struct pd_address target;
	int listener;
	enum route_state state;
	struct relay_connection *connection_list;
	uint64_t open_count;
	uint64_t accepted_count;
	atomic_llong delay_us;
	atomic_ullong byte_totals[2];
};

/**
 * struct relay_connection - one relayed connection
 * @pump: sockets, mode and delay of the connection
 * @route: route on which the connection was accepted
 * @prev: previous connection of the route
 * @next: next connection of the route
 */
struct relay_connection {
	struct standin_pump pump;
	struct route *route;
	struct relay_connection *prev;
	struct relay_connection *next;
};

/**
 * struct relay - state of the stand-in
 * @common: options that every stand-in has
 * @control: address for control requests, which takes precedence over --listen
 * @delay_us: initial delay of all routes, in microseconds
 * @server: HTTP server for control requests
 * @mutex: guards the states and connections of the routes
 * @routes: routes, in the order of the command line
 * @count: number of entries used in @routes
 */
static struct relay {
	struct standin_common_options common;
	struct pd_address control;
	int64_t delay_us;
	struct standin_server server;
	pthread_mutex_t mutex;
	struct route *routes[ROUTES_MAX];
	size_t count;
} relay = {.mutex = PTHREAD_MUTEX_INITIALIZER};

/* Parses NAME,LISTEN,TARGET; returns false if the text is malformed. */
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

/* Reads a file with one NAME,LISTEN,TARGET per line; skips empty lines and # comments. */
static bool add_routes_file(const char *path)
{
	FILE *file = fopen(path, "r");
	char line[256];
	bool valid = file != NULL;

	while (valid && fgets(line, sizeof(line), file)) {
		line[strcspn(line, "\r\n")] = '\0';
		if (line[0] && line[0] != '#')
			valid = add_route(line);
	}
	if (file)
		fclose(file);
	return valid;
}

static void add_to_route_locked(struct route *route, struct relay_connection *connection)
{
	connection->route = route;
	connection->next = route->connection_list;
	if (connection->next)
		connection->next->prev = connection;
	route->connection_list = connection;
	route->open_count++;
	route->accepted_count++;
}

static void remove_from_route(struct relay_connection *connection)
{
	pthread_mutex_lock(&relay.mutex);
	if (connection->prev)
		connection->prev->next = connection->next;
	else
		connection->route->connection_list = connection->next;
	if (connection->next)
		connection->next->prev = connection->prev;
	connection->route->open_count--;
	pthread_mutex_unlock(&relay.mutex);
}

/* Stores the socket of the target. Takes the mutex, since set_mode_locked() uses the socket. */
static void set_target(struct relay_connection *connection, int fd)
{
	pthread_mutex_lock(&relay.mutex);
	connection->pump.fds[1] = fd;
	pthread_mutex_unlock(&relay.mutex);
}

static void *relay_thread(void *arg)
{
	struct relay_connection *connection = arg;
	int fd;

	if (atomic_load(&connection->pump.mode) == STANDIN_PUMP_NORMAL) {
		if (pd_os_connect(&connection->route->target, CONNECT_TIMEOUT_US, &fd, NULL) ==
		    PD_OK) {
			set_target(connection, fd);
		} else {
			int normal = STANDIN_PUMP_NORMAL;

			atomic_compare_exchange_strong(&connection->pump.mode, &normal,
						       STANDIN_PUMP_RESET);
		}
	}
	standin_pump_run(&connection->pump);
	remove_from_route(connection);
	pd_os_close(&connection->pump.fds[0]);
	pd_os_close(&connection->pump.fds[1]);
	free(connection);
	return NULL;
}

/* Adds an accepted connection to the route, in the mode that the state of the route requires. */
static struct relay_connection *add_connection(struct route *route, int fd)
{
	struct relay_connection *connection = calloc(1, sizeof(*connection));

	if (!connection)
		return NULL;
	connection->pump = (struct standin_pump){
		.fds = {fd, -1}, .delay_us = &route->delay_us, .byte_counts = route->byte_totals};
	pthread_mutex_lock(&relay.mutex);
	switch (route->state) {
	case ROUTE_NORMAL:
		atomic_store(&connection->pump.mode, STANDIN_PUMP_NORMAL);
		break;
	case ROUTE_CUT:
		atomic_store(&connection->pump.mode, STANDIN_PUMP_BLACKHOLE);
		break;
	case ROUTE_REFUSED:
		atomic_store(&connection->pump.mode, STANDIN_PUMP_RESET);
		break;
	}
	add_to_route_locked(route, connection);
	pthread_mutex_unlock(&relay.mutex);
	return connection;
}

static void *accept_thread(void *arg)
{
	struct route *route = arg;
	pthread_t thread;
	int fd;

	while (pd_os_accept(route->listener, &fd, NULL) == PD_OK) {
		struct relay_connection *connection = add_connection(route, fd);

		if (!connection) {
			pd_os_close(&fd);
			continue;
		}
		if (pd_os_thread_start(&thread, "relay", relay_thread, connection, NULL) == PD_OK) {
			pthread_detach(thread);
			continue;
		}
		remove_from_route(connection);
		pd_os_close(&fd);
		free(connection);
	}
	return NULL;
}

/*
 * Sets the mode of all open connections of a route. Connections that are being reset don't change
 * to STANDIN_PUMP_BLACKHOLE.
 */
static void set_mode_locked(struct route *route, enum standin_pump_mode mode)
{
	for (struct relay_connection *connection = route->connection_list; connection;
	     connection = connection->next) {
		if (mode == STANDIN_PUMP_BLACKHOLE &&
		    atomic_load(&connection->pump.mode) == STANDIN_PUMP_RESET)
			continue;
		atomic_store(&connection->pump.mode, mode);
		if (mode != STANDIN_PUMP_RESET)
			continue;
		for (int i = 0; i < 2; i++) {
			standin_pump_reset_on_close(connection->pump.fds[i]);
			pd_os_shutdown(connection->pump.fds[i]);
		}
	}
}

static bool apply_command_locked(struct route *route, const struct standin_command *command)
{
	int64_t delay_us;

	if (standin_command_is(command, "cut", 1)) {
		route->state = ROUTE_CUT;
		set_mode_locked(route, STANDIN_PUMP_BLACKHOLE);
	} else if (standin_command_is(command, "refuse", 1)) {
		route->state = ROUTE_REFUSED;
		set_mode_locked(route, STANDIN_PUMP_RESET);
	} else if (standin_command_is(command, "silent", 1)) {
		set_mode_locked(route, STANDIN_PUMP_BLACKHOLE);
	} else if (standin_command_is(command, "heal", 1)) {
		route->state = ROUTE_NORMAL;
	} else if (standin_command_is(command, "delay_us", 2)) {
		if (!standin_parse_integer(command->words[2], &delay_us))
			return false;
		atomic_store(&route->delay_us, delay_us);
	} else {
		return false;
	}
	return true;
}

/*
 * Applies a command to all routes that its pattern matches. A pattern that matches no route is
 * rejected, so that a mistyped pattern is noticed.
 */
static bool apply_command(void *arg, const struct standin_command *command)
{
	bool valid = true;
	bool matched = false;

	(void)arg;
	if (command->word_count < 2)
		return false;
	pthread_mutex_lock(&relay.mutex);
	for (size_t i = 0; valid && i < relay.count; i++) {
		if (fnmatch(command->words[1], relay.routes[i]->name.text, 0) != 0)
			continue;
		matched = true;
		valid = apply_command_locked(relay.routes[i], command);
	}
	pthread_mutex_unlock(&relay.mutex);
	return valid && matched;
}

static enum MHD_Result send_stats(struct standin_request *request)
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
			      (unsigned long long)route->accepted_count,
			      (unsigned long long)route->open_count,
			      atomic_load(&route->byte_totals[0]),
			      atomic_load(&route->byte_totals[1]));
	}
	pthread_mutex_unlock(&relay.mutex);
	pd_buf_append_str(&out, PD_STR("]}"));
	return standin_send_json(request, &out);
}

static enum MHD_Result handle(void *arg, struct standin_request *request)
{
	(void)arg;
	if (standin_request_is(request, "GET", "/stats"))
		return send_stats(request);
	if (standin_request_is(request, "POST", "/control"))
		return standin_handle_control(request, apply_command, NULL);
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
			pd_os_thread_start(&thread, "route", accept_thread, route, &err), &err);
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
		 "file with one NAME,LISTEN,TARGET per line"},
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
	/* Exits without joining the threads of connections: they hold only memory and sockets. */
	_Exit(0);
}
