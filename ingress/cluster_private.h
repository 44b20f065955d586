/**
 * DOC: Internal functions of the exchange between instances, for its own files
 */
#ifndef PD_CLUSTER_PRIVATE_H
#define PD_CLUSTER_PRIVATE_H

#include <netinet/in.h>

#include "cluster.h"

bool pd_cluster_to_sockaddr(const struct pd_address *address, struct sockaddr_in *out);
bool pd_cluster_same_address(const struct sockaddr_in *a, const struct sockaddr_in *b);
/* Stores the address of the source; false if this instance has none. */
bool pd_cluster_get_source(struct pd_cluster *cluster, struct sockaddr_in *source);
/* Encodes a datagram of this instance; false if the cluster wasn't started or it can't be encoded.
 */
bool pd_cluster_encode(struct pd_cluster *cluster, enum pd_datagram_kind kind,
		       struct pd_str payload, struct pd_buf *out);
void pd_cluster_send_bytes(const struct pd_cluster *cluster, const struct pd_buf *bytes,
			   const struct sockaddr_in *to);
/* Appends the payload of a HEAD. */
void pd_cluster_put_head(struct pd_buf *payload, const struct pd_cluster_view *view);
/* Removes the heads and followers that weren't heard lately. */
void pd_cluster_expire_locked(struct pd_cluster *cluster, int64_t now_us);
/* Whether a head of the zone was heard lately. */
bool pd_cluster_hears_zone(const struct pd_cluster *cluster, const struct pd_name *zone);

#endif
