/**
 * DOC: Messages of the feed, by which an instance sends the platform's objects to its followers
 *
 * A frame is a 4-byte big-endian length, followed by one msgpack array [version, kind, fields...].
 */
#ifndef PD_FEED_MESSAGE_H
#define PD_FEED_MESSAGE_H

#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>

#include "error.h"
#include "registry.h"
#include "revision.h"
#include "str.h"

#define PD_FEED_FRAME_MAX_BYTES (2 * 1024 * 1024) /* a configuration has at most 1 MB */
#define PD_FEED_ZONES_MAX	64 /* evacuated zones in one message */

/** enum pd_feed_kind - kinds of messages; the values are part of the wire format. */
enum pd_feed_kind {
	PD_FEED_HELLO = 1, /* first message, sent by the follower */
	PD_FEED_LIST_BEGIN = 2, /* a complete list of upstreams starts */
	PD_FEED_LIST_END = 3, /* the list is complete; upstreams that it lacks are removed */
	PD_FEED_UPSTREAM = 4, /* an upstream was added or changed */
	PD_FEED_REMOVED = 5, /* the entry of an upstream was removed */
	PD_FEED_CONFIG = 6, /* new configuration */
	PD_FEED_EVACUATIONS = 7, /* new set of evacuated zones */
	PD_FEED_HEARTBEAT = 8, /* sent repeatedly; states whether the source reaches the store */
	PD_FEED_CRASH = 9, /* an upstream crashed while it executed a request */
	PD_FEED_BATCH = 10, /* frames of other kinds, compressed */
	PD_FEED_PROGRESS = 11, /* all changes of upstreams up to a revision were sent */
	PD_FEED_LIST_FAILED = 12, /* a list of upstreams that has begun doesn't end */
	PD_FEED_ROLLOUTS = 13, /* new set of the orders of roll-outs */
	PD_FEED_CRASH_REMOVED = 14, /* a crash doesn't count any more */
};

#define PD_FEED_KIND_MAX PD_FEED_CRASH_REMOVED

/**
 * struct pd_feed_message - one message
 * @kind: kind of the message, which selects the member of the union
 * @hello: name of the follower
 * @upstream: entry of an upstream that was added or changed; after decoding, with a view of its id
 *	into the decoded frame
 * @removed: id of an upstream whose entry was removed, and revision of the store that lacks it
 * @at: revision of the store up to which a list of upstreams, or the changes sent so far, hold all
 *	changes of upstreams
 * @config: the configuration as JSON, after decoding a view into the decoded frame, and the Unix
 *	time in milliseconds at which the zone received it from the store; 0 if unknown
 * @evacuations: names of all evacuated zones, and revision of the store at which they were read
 * @rollouts: all orders of roll-outs, see pd_rollout_set_encode(), after decoding a view into the
 *	decoded frame, and revision of the store at which they were read
 * @heartbeat: whether the store is reachable from the source, and for how many milliseconds the
 *	source still holds removals because entries may have expired while the store was
 *	unreachable; 0 if it doesn't
 * @crash: fingerprint of the request that crashed an upstream, name of the crash, hash of the
 *	upstream's service, time since the crash in milliseconds, and whether other services have
 *	answered the request
 * @crash_removed: fingerprint and name of a crash, and whether its report was deleted from the
 *store
 * @batch: compressed frames, after decoding a view into the decoded frame, and their size in bytes
 *	before compression; see feed_batch.h
 * @unpacked: msgpack objects of a decoded message
 */
struct pd_feed_message {
	enum pd_feed_kind kind;
	union {
		struct pd_name hello;
		struct pd_upstream_entry upstream;
		struct {
			struct pd_name id;
			struct pd_revision at;
		} removed;
		struct pd_revision at;
		struct {
			struct pd_str text;
			int64_t received_unix_ms;
		} config;
		struct {
			struct pd_name zones[PD_FEED_ZONES_MAX];
			size_t count;
			struct pd_revision at;
		} evacuations;
		struct {
			struct pd_str text;
			struct pd_revision at;
		} rollouts;
		struct {
			bool store_reachable;
			uint32_t hold_ms;
		} heartbeat;
		struct {
			uint64_t fingerprint;
			struct pd_name event;
			uint64_t service;
			uint32_t age_ms;
			bool partial;
		} crash;
		struct {
			uint64_t fingerprint;
			struct pd_name event;
			bool deleted;
		} crash_removed;
		struct {
			struct pd_str data;
			uint32_t decoded_bytes;
		} batch;
	};
	msgpack_unpacked unpacked;
};

/* Appends the message to @out as a frame with its length. */
void pd_feed_message_encode(const struct pd_feed_message *msg, struct pd_buf *out);
/* Decodes a frame without its length; PD_INVALID or PD_UNSUPPORTED_VERSION on failure. On success,
 * the caller must keep @frame as long as it uses @msg, and then call pd_feed_message_finish().
 */
enum pd_code pd_feed_message_decode(struct pd_str frame, struct pd_feed_message *msg,
				    struct pd_error *err);
void pd_feed_message_finish(struct pd_feed_message *msg);

#endif
