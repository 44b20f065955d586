#include "membership.h"

#include <inttypes.h>
#include <string.h>

#include "counters.h"
#include "feed.h"
#include "feed_apply.h"
#include "feed_reader.h"
#include "log.h"
#include "membership_private.h"
#include "os.h"

/* Interval at which an instance that watches the store checks whether it is reachable, by a stale
 * read. A drain must be noticed within three seconds, also when the store becomes unreachable and
 * reachable again meanwhile.
 */
#define STORE_CHECK_INTERVAL_US (1200 * PD_USEC_PER_MSEC)
/* The same interval while the store is unreachable. One second after the store is reachable again,
 * all objects must have been read, so that removals can be held for expired entries and still take
 * effect in time.
 */
#define UNREACHABLE_CHECK_INTERVAL_US (350 * PD_USEC_PER_MSEC)
/* Time for which a starting instance looks for a source to follow before it watches the store.
 * Meanwhile it lists the instances at an interval, because those that start at the same time are
 * still registering. The search ends when another instance follows this one.
 */
#define SOURCE_SEARCH_US	  (2500 * PD_USEC_PER_MSEC)
#define SOURCE_SEARCH_INTERVAL_US (600 * PD_USEC_PER_MSEC)
/* Connecting within the zone takes less than 1 ms. */
#define CONNECT_TIMEOUT_US (150 * PD_USEC_PER_MSEC)
/* The connection to a source that sends nothing for this long is closed. A source sends a heartbeat
 * every 300 ms; if its whole machine is paused, it stays silent for longer than this timeout.
 */
#define SOURCE_TIMEOUT_US (1000 * PD_USEC_PER_MSEC)
/* Delay before the next connection to a source after the last one has failed or ended. */
#define SOURCE_RETRY_US (4000 * PD_USEC_PER_MSEC)
/* Interval at which an instance tries to reach the store itself while its source can't reach it. */
#define DIRECT_CHECK_INTERVAL_US (1000 * PD_USEC_PER_MSEC)
/* In a large zone, only the highest-ranked instances watch the store as soon as they reach it and
 * their source doesn't. The others follow one of these. Without that, each of 43 instances listed
 * and watched all kinds when a partition of their zone ended, and each of these calls is billed.
 */
#define FIRST_SUCCESSORS 3
/* Delay before the first check of the store after the source has lost it, and random time that is
 * added. The first in rank begin, and have listed all kinds when the others find the store
 * reachable. A follower must get changes within 3 s of the moment at which its source was cut off.
 */
#define FIRST_CHECK_DELAY_US	 (300 * PD_USEC_PER_MSEC)
#define FIRST_CHECK_STEP_US	 (50 * PD_USEC_PER_MSEC)
#define FIRST_CHECK_DELAY_MAX_US (500 * PD_USEC_PER_MSEC)
#define FIRST_CHECK_JITTER_US	 (100 * PD_USEC_PER_MSEC)
/* Delay between a later check, by which the store is reachable again, and the end of the session:
 * the first in rank may check up to a second later. Meanwhile the source may reach it again, too.
 */
#define TAKEOVER_DELAY_US     (300 * PD_USEC_PER_MSEC)
#define TAKEOVER_STEP_US      (100 * PD_USEC_PER_MSEC)
#define TAKEOVER_DELAY_MAX_US (700 * PD_USEC_PER_MSEC)
/* Time for which such an instance tries other sources before it watches the store: in a zone of
 * 100, it would take seconds to try them all, while the configuration isn't proven.
 */
#define SOURCE_TRIES_US (200 * PD_USEC_PER_MSEC)
/* An outage of the store that is longer than this may let entries expire. The store drops an entry
 * that isn't renewed for three heartbeats of 1.2 s, and the last renewal may be one heartbeat older
 * than the outage. Removals needn't be held after shorter outages.
 */
#define OUTAGE_EXPIRY_THRESHOLD_US (2400 * PD_USEC_PER_MSEC)
/* Maximum time in which a source detects that the store is unreachable: until its next check, plus
 * the 700 ms in which that check times out.
 */
#define DETECTION_DELAY_MAX_US (STORE_CHECK_INTERVAL_US + 700 * PD_USEC_PER_MSEC)
/* Upstreams whose entries expired, and which are still running, register again within this time
 * after the store is reachable again.
 */
#define REMOVAL_HOLD_US (2000 * PD_USEC_PER_MSEC)
/* Delay before a follower lists the instances for the first time, after which all of them have
 * registered, and interval of the next lists. The lists are stale reads.
 */
#define FIRST_LIST_DELAY_US (2500 * PD_USEC_PER_MSEC)
#define LIST_INTERVAL_US    (12 * PD_USEC_PER_SEC)
/* Maximum time for which a configuration is held while further messages arrive. */
#define CONFIG_HOLD_MAX_US (100 * PD_USEC_PER_MSEC)
/* Time limit for listing all kinds again after an outage, which takes some milliseconds. */
#define RELIST_TIMEOUT_US	(600 * PD_USEC_PER_MSEC)
#define RELIST_POLL_INTERVAL_US (20 * PD_USEC_PER_MSEC)

void pd_membership_init(struct pd_membership *membership, struct pd_directory *directory,
			struct pd_sync *sync, const struct pd_instance_entry *self)
{
	memset(membership, 0, sizeof(*membership));
	membership->directory = directory;
	membership->sync = sync;
	membership->self = *self;
	pd_store_init(&membership->store, &sync->address);
}

/* Returns a delay that grows by @step_us with each rank after the first successors, up to @max_us.
 */
static int64_t delay_by_rank_us(size_t rank, int64_t shortest_us, int64_t step_us, int64_t max_us)
{
	int64_t delay_us;

	if (rank <= FIRST_SUCCESSORS)
		return 0;
	delay_us = shortest_us + (int64_t)(rank - FIRST_SUCCESSORS - 1) * step_us;
	return delay_us < max_us ? delay_us : max_us;
}

/* Returns the number of instances of the zone that rank above this one and may be running. The
 * store also lists instances that were removed for good.
 */
static size_t own_rank(const struct pd_membership *membership)
{
	size_t count = 0;

	for (size_t i = 0; i < membership->source_count; i++)
		count += !membership->sources[i].unreached;
	return count;
}

int64_t pd_membership_first_check_delay_us(size_t rank)
{
	return delay_by_rank_us(rank, FIRST_CHECK_DELAY_US, FIRST_CHECK_STEP_US,
				FIRST_CHECK_DELAY_MAX_US);
}

int64_t pd_membership_takeover_delay_us(size_t rank)
{
	return delay_by_rank_us(rank, TAKEOVER_DELAY_US, TAKEOVER_STEP_US, TAKEOVER_DELAY_MAX_US);
}

/* Waits until all kinds were listed since the store became reachable again; false on timeout. */
static bool wait_for_relist(struct pd_membership *membership)
{
	int64_t until = pd_os_boot_us() + RELIST_TIMEOUT_US;

	while (!pd_sync_is_current(membership->sync)) {
		if (pd_os_boot_us() >= until)
			return false;
		pd_os_sleep_us(RELIST_POLL_INTERVAL_US);
	}
	return true;
}

/* Records that the store is reachable from this instance or from its source. Returns true if it
 * hadn't been for so long that entries may have expired.
 */
static bool record_contact(struct pd_membership *membership, int64_t now)
{
	bool was_long = now - membership->last_contact_us > OUTAGE_EXPIRY_THRESHOLD_US;

	if (was_long || !membership->contact_since_us)
		membership->contact_since_us = now;
	membership->last_contact_us = now;
	return was_long;
}

/* Records that a call of this instance has failed: upstreams whose entries have expired may not
 * reach the store either, so that the time for them to be registered again begins anew with the
 * next contact. The loss of the store by a source shows nothing of the kind.
 */
static void interrupt_contact(struct pd_membership *membership)
{
	if (membership->may_have_expired)
		membership->contact_since_us = 0;
}

/* Records that all kinds were listed since the store was lost. A hold of removals lasts until
 * entries that expired before the present contact have had time to be registered again.
 */
static void regain_store(struct pd_membership *membership, int64_t now)
{
	int64_t hold_until_us = membership->contact_since_us + REMOVAL_HOLD_US;

	if (now >= hold_until_us)
		membership->may_have_expired = false;
	pd_directory_set_store_reachable(membership->directory, true,
					 membership->may_have_expired ? hold_until_us : 0);
}

/*
 * Ends the hold of removals when its time is over: upstreams whose entries are still missing are
 * removed. All kinds are listed once more before that, because the store may have been unreachable
 * again meanwhile, so that the registration of an entry could have been missed.
 */
static void release_removals_when_due(struct pd_membership *membership)
{
	int64_t hold_until_us = pd_directory_hold_until_us(membership->directory);

	if (!hold_until_us || pd_os_boot_us() < hold_until_us)
		return;
	pd_sync_restart_watches(membership->sync);
	if (!wait_for_relist(membership))
		return;
	membership->may_have_expired = false;
	pd_directory_set_store_reachable(membership->directory, true, 0);
}

/* Records that the changes of a kind don't arrive, although the list of instances does: the store
 * counts as unreachable, so that the followers of this instance get them elsewhere.
 */
static void handle_loss(struct pd_membership *membership, enum pd_object_kind kind)
{
	int64_t silent_us = pd_os_boot_us() - membership->last_contact_us;

	if (silent_us > OUTAGE_EXPIRY_THRESHOLD_US)
		membership->may_have_expired = true;
	interrupt_contact(membership);
	if (!pd_directory_is_store_reachable(membership->directory))
		return;
	pd_log(PD_LOG_WARNING, "changes_lost", "kind=%s silent_ms=%" PRId64,
	       pd_object_kind_name(kind), silent_us / 1000);
	pd_directory_set_store_reachable(membership->directory, false, 0);
}

/* Records that the list of instances was read. The directory, and so the followers of this
 * instance, are updated only when all kinds were listed again.
 */
static void handle_store_reachable(struct pd_membership *membership)
{
	int64_t now = pd_os_boot_us();
	enum pd_object_kind kind;

	if (membership->unreachable_since_us) {
		pd_log(PD_LOG_INFO, "store_regained",
		       "kind=instances lost_ms=%" PRId64 " silent_ms=%" PRId64,
		       (now - membership->unreachable_since_us) / 1000,
		       (now - membership->last_contact_us) / 1000);
		if (record_contact(membership, now))
			membership->may_have_expired = true;
		membership->unreachable_since_us = 0;
		pd_sync_restart_watches(membership->sync);
	} else if (pd_sync_wait_for_loss(membership->sync, 0, &kind)) {
		handle_loss(membership, kind);
		return;
	}
	record_contact(membership, now);
	if (!pd_directory_is_store_reachable(membership->directory) && wait_for_relist(membership))
		regain_store(membership, now);
	release_removals_when_due(membership);
	pd_sync_renew_watches(membership->sync);
}

/* Records that the store is unreachable. */
static void handle_store_unreachable(struct pd_membership *membership, const struct pd_error *err)
{
	membership->sources_retried = false;
	interrupt_contact(membership);
	if (membership->unreachable_since_us)
		return;
	membership->unreachable_since_us = pd_os_boot_us();
	pd_log(PD_LOG_WARNING, "store_lost", "kind=instances code=%s", pd_strerror(err->code));
	pd_log_failure(PD_LOG_WARNING, "store_failure", err);
	pd_directory_set_store_reachable(membership->directory, false, 0);
}

/**
 * struct session - connection to the source that this instance follows
 * @reader: connection to the source
 * @address: address of the source
 * @lists: lists of upstreams that the source has begun
 * @config: configuration that was received and not applied yet; empty if there is none
 * @config_received_unix_ms: Unix time in milliseconds at which the zone received @config; 0 if
 *	unknown
 * @config_held_us: time since which a configuration is held, in microseconds of pd_os_boot_us()
 * @store_lost_us: time since which the source can't reach the store, in microseconds of
 *	pd_os_boot_us(); 0 while it can
 * @next_check_us: time of the next attempt to reach the store directly, while the source can't, in
 *	microseconds of pd_os_boot_us()
 * @checked: such an attempt was made since @store_lost_us
 * @leave_us: time at which this instance leaves the source, since it has reached the store
 *	directly after @store_lost_us, in microseconds of pd_os_boot_us(); 0 if it hasn't
 * @source_held: the source has held removals in this session
 * @hold_ignored: the source holds removals because of an outage that only the source had
 * @heard_us: time of the last message of the source, in microseconds of pd_os_boot_us()
 * @next_list_us: time of the next list of the instances, in microseconds of pd_os_boot_us()
 */
struct session {
	struct pd_feed_reader reader;
	struct pd_address address;
	struct pd_feed_lists lists;
	struct pd_buf config;
	int64_t config_received_unix_ms;
	int64_t config_held_us;
	int64_t store_lost_us;
	int64_t next_check_us;
	bool checked;
	int64_t leave_us;
	bool source_held;
	bool hold_ignored;
	int64_t heard_us;
	int64_t next_list_us;
};

/* Keeps a configuration until it is applied, in place of an older one that wasn't. */
static void hold_config(struct session *session, const struct pd_feed_message *msg)
{
	if (session->config.len)
		pd_count(PD_COUNT_config_superseded);
	else
		session->config_held_us = pd_os_boot_us();
	pd_buf_finish(&session->config);
	if (!pd_buf_append_str(&session->config, msg->config.text))
		pd_log(PD_LOG_ERROR, "config_lost", "reason=no_memory bytes=%zu",
		       msg->config.text.len);
	session->config_received_unix_ms = msg->config.received_unix_ms;
}

static void apply_held_config(struct pd_membership *membership, struct session *session)
{
	struct pd_error err;

	if (session->config.len &&
	    pd_directory_put_config_text(membership->directory, pd_buf_str(&session->config),
					 session->config_received_unix_ms, &err) != PD_OK)
		pd_log_failure(PD_LOG_ERROR, "config_unreadable", &err);
	pd_buf_finish(&session->config);
}

/* Applies the configuration that is held once no more messages have arrived, among which a newer
 * one may be. On a small instance, parsing a large one takes longer than receiving it.
 */
static void apply_config_when_due(struct pd_membership *membership, struct session *session)
{
	if (!session->config.len)
		return;
	if (pd_os_boot_us() - session->config_held_us > CONFIG_HOLD_MAX_US ||
	    !pd_feed_reader_has_more(&session->reader))
		apply_held_config(membership, session);
}

/* Returns a random time below @limit_us, which spreads the calls of the followers of a source. */
static int64_t draw_delay_us(int64_t limit_us)
{
	return (int64_t)(pd_os_random_seed() % (uint64_t)limit_us);
}

/*
 * Takes over a hold of removals by the source, which lasts for another @hold_ms, or its end. An
 * instance that reached the store while the source didn't knows that the store was available to the
 * upstreams, so that a missing entry hasn't expired: it holds nothing. One that had the outage,
 * too, or has started since then, holds removals until the source has read all entries after the
 * hold; if the source is lost before, it ends the hold itself. A source that hasn't held any in
 * this session may have started after the outage and doesn't end a hold of this instance.
 */
static void follow_hold(struct pd_membership *membership, struct session *session, uint32_t hold_ms,
			int64_t now)
{
	int64_t own_until_us = membership->contact_since_us + REMOVAL_HOLD_US;
	int64_t hold_until_us = now + hold_ms * PD_USEC_PER_MSEC;
	bool was_held = membership->may_have_expired;
	bool held;

	if (hold_ms) {
		session->source_held = true;
		held = was_held || now < own_until_us;
	} else {
		held = was_held && !session->source_held && now < own_until_us;
	}
	membership->may_have_expired = held;
	if (!hold_ms || hold_until_us > own_until_us)
		hold_until_us = own_until_us;
	pd_directory_set_store_reachable(membership->directory, true, held ? hold_until_us : 0);
	/* Shows in the hold whether the store is reachable from here, see refresh_instances(). */
	if (held && !was_held && session->next_list_us > now + STORE_CHECK_INTERVAL_US)
		session->next_list_us = now + STORE_CHECK_INTERVAL_US;
	if (hold_ms && !held && !session->hold_ignored) {
		session->hold_ignored = true;
		pd_log(PD_LOG_INFO, "hold_of_source_ignored",
		       "remaining_ms=%" PRIu32 " contact_ms=%" PRId64, hold_ms,
		       (now - membership->contact_since_us) / PD_USEC_PER_MSEC);
	}
}

/* Applies a heartbeat, which states whether the source reaches the store. */
static void apply_heartbeat(struct pd_membership *membership, struct session *session,
			    const struct pd_feed_message *msg)
{
	int64_t now = pd_os_boot_us();

	if (msg->heartbeat.store_reachable) {
		record_contact(membership, now);
		follow_hold(membership, session, msg->heartbeat.hold_ms, now);
		membership->unreachable_since_us = 0;
		session->store_lost_us = 0;
	} else if (!session->store_lost_us) {
		pd_directory_set_store_reachable(membership->directory, false, 0);
		session->store_lost_us = now;
		session->checked = false;
		session->leave_us = 0;
		session->next_check_us = now +
					 pd_membership_first_check_delay_us(own_rank(membership)) +
					 draw_delay_us(FIRST_CHECK_JITTER_US);
		/* The source may have lost the store this long before it detected that. */
		membership->last_contact_us = now - DETECTION_DELAY_MAX_US;
	}
}

/* Applies a message of the source. */
static void apply_message(struct pd_membership *membership, struct session *session,
			  const struct pd_feed_message *msg)
{
	if (msg->kind == PD_FEED_CONFIG)
		hold_config(session, msg);
	else if (msg->kind == PD_FEED_HEARTBEAT)
		apply_heartbeat(membership, session, msg);
	else
		pd_feed_apply(membership->directory, &session->lists, msg);
}

/* Lists the instances when that is due, because requests may be relayed to them. While removals are
 * held, this also shows whether the store is reachable from here, whatever the source says.
 */
static void refresh_instances(struct pd_membership *membership, struct session *session)
{
	int64_t now = pd_os_boot_us();
	struct pd_error err;

	if (session->store_lost_us || now < session->next_list_us)
		return;
	session->next_list_us = now + LIST_INTERVAL_US;
	if (pd_membership_list_instances(membership, &err) != PD_OK) {
		interrupt_contact(membership);
		pd_log_failure(PD_LOG_INFO, "instances_not_listed", &err);
	} else if (!membership->registered) {
		pd_membership_register(membership);
	}
}

/* Tries to reach the store directly when that is due, while the source can't reach it. */
static void check_store_directly(struct pd_membership *membership, struct session *session)
{
	int64_t now = pd_os_boot_us();
	bool first = !session->checked;
	struct pd_error err;

	if (!session->store_lost_us || session->leave_us || now < session->next_check_us)
		return;
	session->checked = true;
	session->next_check_us = now + DIRECT_CHECK_INTERVAL_US;
	if (first)
		session->next_check_us += draw_delay_us(DIRECT_CHECK_INTERVAL_US / 2);
	if (pd_membership_list_instances(membership, &err) != PD_OK) {
		handle_store_unreachable(membership, &err);
		return;
	}
	/* No call of this instance has failed: only the source lost the store. */
	if (!membership->unreachable_since_us)
		record_contact(membership, now);
	session->leave_us = now;
	if (!first)
		session->leave_us += pd_membership_takeover_delay_us(own_rank(membership));
}

/* Returns true if this instance leaves its source, because it reaches the store and the source
 * doesn't. Among the first in rank, it watches the store itself; otherwise, other sources are tried
 * first.
 */
static bool take_over_when_due(struct pd_membership *membership, struct session *session)
{
	check_store_directly(membership, session);
	if (!session->store_lost_us || !session->leave_us || pd_os_boot_us() < session->leave_us)
		return false;
	if (own_rank(membership) <= FIRST_SUCCESSORS) {
		pd_sync_set_mode(membership->sync, PD_SYNC_WATCHING);
		handle_store_reachable(membership);
	}
	return true;
}

/* Waits for a message of the source; false if this instance has something to do before, see
 * take_over_when_due().
 */
static bool wait_for_message(struct session *session)
{
	int64_t due_us = session->leave_us ? session->leave_us : session->next_check_us;

	if (!session->store_lost_us)
		return true;
	return pd_feed_reader_wait(&session->reader, due_us - pd_os_boot_us());
}

static enum pd_code send_hello(struct pd_membership *membership, int fd, struct pd_error *err)
{
	struct pd_feed_message msg = {.kind = PD_FEED_HELLO, .hello = membership->self.name};
	struct pd_buf hello = {0};
	enum pd_code code;

	pd_feed_message_encode(&msg, &hello);
	code = pd_os_write_full(fd, hello.data, hello.len, err);
	pd_buf_finish(&hello);
	return code;
}

/* Whether a message is a heartbeat that states that the source reaches the store. The objects of a
 * source that can't reach it may be older than those of this instance.
 */
static bool source_reaches_store(const struct pd_feed_message *msg)
{
	return msg->kind == PD_FEED_HEARTBEAT && msg->heartbeat.store_reachable;
}

static void set_source(struct pd_membership *membership, const struct pd_address *address)
{
	if (membership->cluster)
		pd_cluster_set_source(membership->cluster, address);
}

/* Applies the messages of the source until the connection fails, or until the source can't reach
 * the store while this instance can. Returns the reason for the end, for the log.
 */
static const char *run_session(struct pd_membership *membership, struct session *session)
{
	struct pd_error err;
	enum pd_code code;
	bool first = true;

	pd_os_set_io_timeout(session->reader.fd, SOURCE_TIMEOUT_US);
	code = send_hello(membership, session->reader.fd, &err);
	session->heard_us = pd_os_boot_us();
	while (code == PD_OK) {
		struct pd_feed_message msg;
		bool reachable;

		if (!wait_for_message(session)) {
			if (take_over_when_due(membership, session))
				return "source_lost_store";
			if (pd_os_boot_us() - session->heard_us > SOURCE_TIMEOUT_US)
				code = PD_TIMEOUT;
			continue;
		}
		code = pd_feed_reader_next(&session->reader, &msg, &err);
		if (code != PD_OK)
			break;
		session->heard_us = pd_os_boot_us();
		reachable = source_reaches_store(&msg);
		if (!first || reachable)
			apply_message(membership, session, &msg);
		pd_feed_message_finish(&msg);
		if (first && !reachable)
			return "source_without_store";
		/* A heartbeat follows the snapshot: from now on, the source sends all changes. */
		if (!first && reachable) {
			pd_sync_set_mode(membership->sync, PD_SYNC_PAUSED);
			set_source(membership, &session->address);
		}
		apply_config_when_due(membership, session);
		if (take_over_when_due(membership, session))
			return "source_lost_store";
		refresh_instances(membership, session);
		first = false;
	}
	return pd_strerror(code);
}

/* Follows a source until the session ends; false if the connection to it failed. */
static bool follow(struct pd_membership *membership, struct pd_source *source)
{
	struct session session = {.address = source->entry.address,
				  .next_list_us = pd_os_boot_us() + FIRST_LIST_DELAY_US};
	int fd = -1;
	struct pd_name name = source->entry.name;
	struct pd_error err;
	const char *reason;

	source->next_retry_us = pd_os_boot_us() + SOURCE_RETRY_US;
	source->unreached =
		pd_os_connect(&source->entry.address, CONNECT_TIMEOUT_US, &fd, &err) != PD_OK;
	if (source->unreached) {
		pd_log(PD_LOG_INFO, "source_unreached", "instance=%s code=%s", name.text,
		       pd_strerror(err.code));
		return false;
	}
	pd_log(PD_LOG_INFO, "following", "instance=%s", name.text);
	pd_feed_reader_init(&session.reader, fd);
	reason = run_session(membership, &session);
	set_source(membership, NULL);
	apply_held_config(membership, &session);
	pd_feed_apply_end(membership->directory, &session.lists);
	pd_log(PD_LOG_WARNING, "source_lost", "instance=%s reason=%s", name.text, reason);
	pd_os_close(&fd);
	pd_feed_reader_finish(&session.reader);
	return true;
}

/* Returns the highest-ranked source whose retry time has come, or NULL if there is none. */
static struct pd_source *next_source(struct pd_membership *membership)
{
	int64_t now = pd_os_boot_us();

	for (size_t i = 0; i < membership->source_count; i++) {
		if (now >= membership->sources[i].next_retry_us)
			return &membership->sources[i];
	}
	return NULL;
}

/* Whether this instance leaves the store to the first in rank, because its last check found the
 * store unreachable: it follows one of these when the store is back.
 */
static bool waits_for_successor(const struct pd_membership *membership)
{
	return membership->unreachable_since_us && own_rank(membership) > FIRST_SUCCESSORS;
}

/* Returns the time of the next check of the store, in microseconds of pd_os_boot_us(). It comes
 * sooner while the store is unreachable, and so that a hold of removals ends in time.
 */
static int64_t next_check_us(struct pd_membership *membership)
{
	int64_t hold_until_us = pd_directory_hold_until_us(membership->directory);
	int64_t earliest_us = membership->checked_us + UNREACHABLE_CHECK_INTERVAL_US;
	int64_t latest_us = membership->checked_us + STORE_CHECK_INTERVAL_US;

	if (!pd_directory_is_store_reachable(membership->directory))
		return earliest_us;
	if (!hold_until_us || hold_until_us > latest_us)
		return latest_us;
	return hold_until_us > earliest_us ? hold_until_us : earliest_us;
}

/* Whether the store has to be checked before further sources are tried. Attempts to reach instances
 * that were removed for good must not delay the checks of an instance that watches the store.
 */
static bool is_check_due(struct pd_membership *membership)
{
	return !waits_for_successor(membership) && pd_os_boot_us() >= next_check_us(membership);
}

/* Follows one source after another until none can be tried now, or the store has to be checked. */
static void follow_sources(struct pd_membership *membership)
{
	int64_t lost_us = pd_os_boot_us();
	struct pd_source *source;

	while (!is_check_due(membership) && (source = next_source(membership))) {
		struct pd_name name = source->entry.name;
		int64_t began_us = pd_os_boot_us();
		bool connected;

		if (began_us - lost_us > SOURCE_TRIES_US &&
		    began_us - membership->started_us >= SOURCE_SEARCH_US &&
		    !waits_for_successor(membership))
			pd_sync_set_mode(membership->sync, PD_SYNC_WATCHING);
		connected = follow(membership, source);
		/* It was followed, so that the tries begin anew. */
		if (pd_os_boot_us() - began_us > SOURCE_TIMEOUT_US)
			lost_us = pd_os_boot_us();
		if (!connected)
			continue;
		/* The source has sent the changes until now. */
		if (!pd_sync_is_watching(membership->sync))
			membership->checked_us = pd_os_boot_us();
		/* The list of sources may have been replaced during the session. */
		for (size_t i = 0; i < membership->source_count; i++) {
			if (pd_name_equal(&membership->sources[i].entry.name, &name))
				membership->sources[i].next_retry_us =
					pd_os_boot_us() + SOURCE_RETRY_US;
		}
	}
}

/* Lets the sources be tried at once, when the store is reachable again and the first in rank have
 * had time to list all kinds. Returns false if they have been tried before, without success.
 */
static bool retry_sources(struct pd_membership *membership)
{
	if (membership->sources_retried)
		return false;
	pd_os_sleep_us(pd_membership_takeover_delay_us(own_rank(membership)));
	for (size_t i = 0; i < membership->source_count; i++)
		membership->sources[i].next_retry_us = 0;
	membership->sources_retried = true;
	return true;
}

/* Checks the store once: lists the instances and registers this one if necessary. */
static void check_store(struct pd_membership *membership)
{
	struct sockaddr_in address;
	struct pd_error err;

	pd_sync_get_address(membership->sync, &address);
	pd_store_set_address(&membership->store, &address);
	if (pd_membership_list_instances(membership, &err) != PD_OK) {
		handle_store_unreachable(membership, &err);
		return;
	}
	if (waits_for_successor(membership)) {
		if (retry_sources(membership))
			return;
		pd_sync_set_mode(membership->sync, PD_SYNC_WATCHING);
	}
	handle_store_reachable(membership);
	if (!membership->registered)
		pd_membership_register(membership);
}

/* Waits until the next check of the store, or until the changes of a kind are lost. */
static void wait_for_check(struct pd_membership *membership)
{
	int64_t delay_us = next_check_us(membership) - pd_os_boot_us();
	enum pd_object_kind kind;

	if (delay_us <= 0)
		return;
	if (!pd_directory_is_store_reachable(membership->directory))
		pd_os_sleep_us(delay_us);
	else if (pd_sync_wait_for_loss(membership->sync, delay_us, &kind))
		handle_loss(membership, kind);
}

static void *run(void *arg)
{
	struct pd_membership *membership = arg;

	membership->started_us = pd_os_boot_us();
	membership->last_contact_us = membership->started_us;
	for (;;) {
		int64_t age;

		check_store(membership);
		membership->checked_us = pd_os_boot_us();
		follow_sources(membership);
		age = pd_os_boot_us() - membership->started_us;
		/* An instance that is followed needs all changes from now on. */
		if (age < SOURCE_SEARCH_US && !membership->unreachable_since_us &&
		    !pd_directory_wait_for_follower(membership->directory,
						    SOURCE_SEARCH_INTERVAL_US))
			continue;
		pd_sync_set_mode(membership->sync, waits_for_successor(membership)
							   ? PD_SYNC_PAUSED
							   : PD_SYNC_WATCHING);
		wait_for_check(membership);
	}
	return NULL;
}

enum pd_code pd_membership_start(struct pd_membership *membership, struct pd_error *err)
{
	return pd_os_thread_start(&membership->thread, "membership", run, membership, err);
}
