/**
 * DOC: One caller's connection
 *
 * Reads requests from it and writes answers, in the thread of that connection.
 */
#ifndef PD_CLIENT_H
#define PD_CLIENT_H

#include <stdbool.h>
#include <stdint.h>

#include "catalog.h"
#include "http.h"
#include "str.h"

/**
 * struct pd_client - a connection
 * @fd: non-blocking socket
 * @in: bytes received and not yet read as part of a message
 * @msg: the request that is read
 * @arrived_us: when the first byte of the request was seen
 * @requests: requests read
 */
struct pd_client {
	int fd;
	struct pd_buf in;
	struct pd_http_message msg;
	int64_t arrived_us;
	uint32_t requests;
};

/** enum pd_client_result - what reading a request led to. */
enum pd_client_result {
	PD_CLIENT_REQUEST, /* a whole request was read */
	PD_CLIENT_MALFORMED,
	PD_CLIENT_HEAD_TOO_LARGE,
	PD_CLIENT_BODY_TOO_LARGE,
	PD_CLIENT_TIMEOUT, /* the request began and didn't end in time */
	PD_CLIENT_CLOSED, /* the connection ended, or was idle for too long */
};

void pd_client_init(struct pd_client *client, int fd);
/* Closes the connection in such a way that what was written arrives. */
void pd_client_finish(struct pd_client *client);
/* Waits for the first byte of a request; false when the connection ended or was idle for too long.
 */
bool pd_client_wait(struct pd_client *client, uint32_t idle_ms);
enum pd_client_result pd_client_read(struct pd_client *client, const struct pd_limits *limits);
/* Time in microseconds that this request took here and its answer takes back, with the set-up of
 * the connection for its first request; -1 when unknown. */
int64_t pd_client_network_delay_us(const struct pd_client *client);
/* Writes @head (with its blank line) and @body; false when the caller has left. */
bool pd_client_write(struct pd_client *client, struct pd_str head, struct pd_str body);

#endif
