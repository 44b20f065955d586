/**
 * DOC: Handling of messages from peers: the callbacks for peers.h
 */
#ifndef PD_PEER_API_H
#define PD_PEER_API_H

#include "instance.h"

/* Returns the callbacks, with @instance as their argument. */
struct pd_peers_hooks pd_peer_api_hooks(struct pd_instance *instance);

#endif
