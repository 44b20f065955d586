/**
 * DOC: Forwards datagrams beside a TCP proxy, from the same address to the same target
 *
 * Each sender gets a socket of its own towards the target, so that replies find their way back and
 * come from the proxy's address.
 */
#ifndef SOAK_DATAGRAM_PROXY_H
#define SOAK_DATAGRAM_PROXY_H

#include "proxy.h"

/* Starts to forward; datagrams are dropped as the state of @proxy demands. Aborts on failure. */
void datagram_proxy_start(struct proxy *proxy);

#endif
