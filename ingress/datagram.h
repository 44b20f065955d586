/**
 * DOC: Datagrams between instances
 *
 * A datagram is a sequence of msgpack items: the format's version, kind, name and zone of the
 * sender, its incarnation, the number of instances that have passed it on, and then the payload,
 * whose items depend on the kind. Datagrams may be lost, doubled, reordered or late.
 */
#ifndef PD_DATAGRAM_H
#define PD_DATAGRAM_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "str.h"

/* Maximum size of a payload, with which a datagram fits into one packet of a usual link. */
#define PD_DATAGRAM_PAYLOAD_MAX_BYTES 1200
/* Maximum size of a datagram: names, incarnation and lengths take up the rest. */
#define PD_DATAGRAM_MAX_BYTES 1400

/* Maximum number of instances that pass a datagram on. Followers of followers are rare; instances
 * that follow each other would pass it on without end.
 */
#define PD_DATAGRAM_HOPS_MAX 8

/** enum pd_datagram_kind - kinds of datagrams; the values are part of the wire format. */
enum pd_datagram_kind {
	PD_DATAGRAM_PING = 1, /* follower to source */
	PD_DATAGRAM_PONG = 2, /* response to a PING */
	PD_DATAGRAM_HEAD = 3, /* head to the other heads, and to instances of zones without one */
	PD_DATAGRAM_REDIRECT = 4, /* response to a HEAD by an instance that has a source */
	PD_DATAGRAM_USAGE = 5, /* follower to source: use of quotas */
	PD_DATAGRAM_SHARE = 6, /* head to heads: use of quotas */
	PD_DATAGRAM_QUOTA = 7, /* source to followers: accounts that are near their quota */
	PD_DATAGRAM_LOAD = 8, /* to instances of the zone: load reports of upstreams */
	PD_DATAGRAM_EVIDENCE = 9, /* follower to source and head to heads: evidence of roll-outs */
	PD_DATAGRAM_EXPOSURE = 10, /* source to followers: permitted shares of roll-outs */
	PD_DATAGRAM_ASK = 11, /* to the source, and from there to the owner of an account: whether a
				 request is within the quota */
	PD_DATAGRAM_ANSWER = 12, /* response to an ASK, to the instance that asked */
};

#define PD_DATAGRAM_KIND_MAX PD_DATAGRAM_ANSWER

/**
 * struct pd_datagram - one datagram
 * @kind: kind, which determines the items of the payload
 * @sender: name of the instance that sent it
 * @zone: availability zone of the sender
 * @incarnation: random number that the sender drew when its process started
 * @hops: number of instances that have passed it on
 * @from: address that it came from; set by the receiver
 * @payload: further msgpack items; after decoding, a view into the datagram
 */
struct pd_datagram {
	enum pd_datagram_kind kind;
	struct pd_name sender;
	struct pd_name zone;
	uint64_t incarnation;
	uint32_t hops;
	struct sockaddr_in from;
	struct pd_str payload;
};

/* Appends an encoded datagram; false if its payload is too large or memory runs out. */
bool pd_datagram_encode(const struct pd_datagram *datagram, struct pd_buf *out);
/* Decodes a datagram, whose payload is only checked for its size; false if it is malformed or of
 * another version. */
bool pd_datagram_decode(struct pd_str bytes, struct pd_datagram *datagram);

/* Append one item to a payload. */
void pd_datagram_put_uint(struct pd_buf *payload, uint64_t value);
void pd_datagram_put_str(struct pd_buf *payload, struct pd_str s);

/**
 * struct pd_datagram_reader - reads the items of a payload
 * @rest: bytes that weren't read yet
 * @failed: an item was missing or had another type; all further reads fail
 */
struct pd_datagram_reader {
	struct pd_str rest;
	bool failed;
};

void pd_datagram_reader_init(struct pd_datagram_reader *reader, struct pd_str payload);
/* Whether all items were read. */
bool pd_datagram_reader_at_end(const struct pd_datagram_reader *reader);
/* Read one item; 0 or an empty string, and &pd_datagram_reader.failed set, if that fails. */
uint64_t pd_datagram_get_uint(struct pd_datagram_reader *reader);
struct pd_str pd_datagram_get_str(struct pd_datagram_reader *reader);

#endif
