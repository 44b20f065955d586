/**
 * DOC: Connection of one client
 *
 * Reads requests and writes responses; all calls are made by the thread that serves the connection.
 */
#ifndef PD_CLIENT_H
#define PD_CLIENT_H

#include <stdbool.h>
#include <stdint.h>

#include "catalog.h"
#include "http.h"
#include "str.h"

/**
 * struct pd_client - connection of one client
 * @fd: non-blocking socket
 * @in: received bytes that aren't parsed yet
 * @msg: request that is being read or was read last
 * @arrived_us: time at which the first byte of @msg was received, in microseconds of
 *	pd_os_boot_us()
 * @requests: number of requests read on this connection
 */
struct pd_client {
	int fd;
	struct pd_buf in;
	struct pd_http_message msg;
	int64_t arrived_us;
	uint32_t requests;
};

/** enum pd_client_result - result of reading a request. */
enum pd_client_result {
	PD_CLIENT_REQUEST, /* a complete request was read */
	PD_CLIENT_MALFORMED,
	PD_CLIENT_HEAD_TOO_LARGE,
	PD_CLIENT_BODY_TOO_LARGE,
	PD_CLIENT_TIMEOUT, /* part of a request was read, but not all of it in time */
	PD_CLIENT_CLOSED, /* the connection was closed, or it was idle for too long */
};

void pd_client_init(struct pd_client *client, int fd);
/* Closes the connection, after giving the client time to read the last response. */
void pd_client_finish(struct pd_client *client);
/* Waits for the first byte of a request for at most @idle_ms milliseconds; false on timeout. A
 * connection that was closed counts as readable; pd_client_read() then reports it.
 */
bool pd_client_wait(struct pd_client *client, uint32_t idle_ms);
/* Reads one request into @client->msg, within @limits. */
enum pd_client_result pd_client_read(struct pd_client *client, const struct pd_limits *limits);
/* Estimates the time that the current request and its response spend on the network, in
 * microseconds: one round trip, and another one for the connection set-up if it is the connection's
 * first request; -1 if the round-trip time is unknown.
 */
int64_t pd_client_network_delay_us(const struct pd_client *client);
/* Writes @head (which ends with a blank line) and @body; false if the client closed the connection
 * or doesn't read.
 */
bool pd_client_write(struct pd_client *client, struct pd_str head, struct pd_str body);

#endif
