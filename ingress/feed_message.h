/**
 * DOC: Messages between instances of one zone: what the platform's store says, passed on
 *
 * A frame is a 4-byte big-endian length and one msgpack array [version, kind, fields...].
 */
#ifndef PD_FEED_MESSAGE_H
#define PD_FEED_MESSAGE_H

#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>

#include "error.h"
#include "registry.h"
#include "str.h"

#define PD_FEED_FRAME_MAX_BYTES (2 * 1024 * 1024) /* a configuration has 1 MB at most */
#define PD_FEED_ZONES_MAX	64

/** enum pd_feed_kind - kinds of messages; the numbers are on the wire. */
enum pd_feed_kind {
	PD_FEED_HELLO = 1, /* from the follower */
	PD_FEED_LIST_BEGIN = 2, /* all upstreams follow */
	PD_FEED_LIST_END = 3,
	PD_FEED_UPSTREAM = 4,
	PD_FEED_REMOVED = 5,
	PD_FEED_CONFIG = 6,
	PD_FEED_EVACUATIONS = 7,
	PD_FEED_HEARTBEAT = 8, /* the source is alive */
	PD_FEED_CRASH = 9, /* an upstream crashed while it had a request */
};

/**
 * struct pd_feed_message - one message
 * @kind: selects the member of the union
 * @hello: name of the follower
 * @upstream: an upstream, new or changed
 * @removed: id of an upstream whose entry is gone
 * @config: the configuration as JSON; a view into @unpacked after decoding
 * @evacuations: all evacuated zones
 * @crash: fingerprint of the request, and name of the crash
 * @heartbeat: whether the source is in touch with the store, and whether it still holds removals
 *because entries may have lapsed while it wasn't
 * @unpacked: memory of a decoded message
 */
struct pd_feed_message {
	enum pd_feed_kind kind;
	union {
		struct pd_name hello;
		struct pd_upstream_entry upstream;
		struct pd_name removed;
		struct pd_str config;
		struct {
			struct pd_name zones[PD_FEED_ZONES_MAX];
			size_t count;
		} evacuations;
		struct {
			bool store_reachable;
			bool removals_held;
		} heartbeat;
		struct {
			uint64_t fingerprint;
			struct pd_name event;
		} crash;
	};
	msgpack_unpacked unpacked;
};

/* Appends a frame with its length to @out. */
void pd_feed_message_encode(const struct pd_feed_message *msg, struct pd_buf *out);
/* Decodes a frame without its length. PD_INVALID, PD_UNSUPPORTED_VERSION. Finish on success. */
enum pd_code pd_feed_message_decode(struct pd_str frame, struct pd_feed_message *msg,
				    struct pd_error *err);
void pd_feed_message_finish(struct pd_feed_message *msg);

#endif
