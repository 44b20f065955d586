#include "membership.h"

#include <inttypes.h>
#include <string.h>

#include "feed.h"
#include "log.h"
#include "os.h"
#include "relay.h"

/* How often an instance that watches the store checks whether it is in reach, with a stale read: a
 * drain must be noticed within three seconds, also when the store is lost and regained. */
#define CHECK_US (1200 * PD_USEC_PER_MSEC)
/* The same while the store is lost: a second after its return, everything must be known again, so
 * that removals can be held for lapsed entries and still take effect in time. */
#define LOST_CHECK_US (350 * PD_USEC_PER_MSEC)
/* How long a starting instance looks for one to follow before it watches the store. It lists the
 * instances at these intervals meanwhile, as those that start at the same time register. */
#define SEEK_US		 (2500 * PD_USEC_PER_MSEC)
#define SEEK_INTERVAL_US (600 * PD_USEC_PER_MSEC)
#define CONNECT_US	 (150 * PD_USEC_PER_MSEC) /* within the zone, it takes less than 1 ms */
/* A source that is silent for this long is given up: it sends a beat every 300 ms, and a pause of
 * a whole machine takes longer. */
#define SILENCE_US (1000 * PD_USEC_PER_MSEC)
/* A source that failed isn't tried again before this time. */
#define RETRY_US (4000 * PD_USEC_PER_MSEC)
/* While its source has lost the store, an instance tries the store itself at this interval. */
#define OWN_CHECK_US (1000 * PD_USEC_PER_MSEC)
/* The store drops an entry that isn't renewed for three heartbeats of 1.2 s. The last renewal may
 * be one heartbeat older than the outage; shorter ones need no hold of removals. */
#define LAPSE_US (2400 * PD_USEC_PER_MSEC)
/* A source notices a loss at its next check or when that check times out, 700 ms later. */
#define UNSEEN_US (CHECK_US + 700 * PD_USEC_PER_MSEC)
/* Entries that lapsed are back within this time of the store's return, if their upstreams live. */
#define REMOVAL_HOLD_US (2000 * PD_USEC_PER_MSEC)
/* How often a follower lists the instances, and how soon for the first time, when all have
 * registered. The lists are stale reads. */
#define LIST_FIRST_US (2500 * PD_USEC_PER_MSEC)
#define LIST_US	      (12 * PD_USEC_PER_SEC)
/* How long the lists after an outage are waited for; they take some milliseconds. */
#define CURRENT_US	(600 * PD_USEC_PER_MSEC)
#define CURRENT_POLL_US (20 * PD_USEC_PER_MSEC)

void pd_membership_init(struct pd_membership *membership, struct pd_directory *directory,
			struct pd_sync *sync, const struct pd_instance_entry *self)
{
	memset(membership, 0, sizeof(*membership));
	membership->directory = directory;
	membership->sync = sync;
	membership->self = *self;
	pd_store_init(&membership->store, &sync->address);
}

bool pd_membership_ranks_before(const struct pd_name *a, const struct pd_name *b)
{
	uint64_t left = pd_str_hash(pd_name_str(a), 0), right = pd_str_hash(pd_name_str(b), 0);

	if (left != right)
		return left < right;
	return pd_str_compare(pd_name_str(a), pd_name_str(b)) < 0;
}

/* When the source at that name may be tried again, from what was known before. */
static int64_t known_retry_us(const struct pd_source *sources, size_t count,
			      const struct pd_name *name)
{
	for (size_t i = 0; i < count; i++) {
		if (pd_name_equal(&sources[i].entry.name, name))
			return sources[i].retry_us;
	}
	return 0;
}

/* Keeps an instance of the own zone that ranks before this one, in order of rank. */
static void add_source(struct pd_membership *membership, const struct pd_instance_entry *entry,
		       int64_t retry_us)
{
	size_t at = membership->source_count;

	if (at == PD_MEMBERSHIP_SOURCES_MAX ||
	    !pd_name_equal(&entry->zone, &membership->self.zone) ||
	    !pd_membership_ranks_before(&entry->name, &membership->self.name))
		return;
	for (; at > 0 &&
	       pd_membership_ranks_before(&entry->name, &membership->sources[at - 1].entry.name);
	     at--)
		membership->sources[at] = membership->sources[at - 1];
	membership->sources[at] = (struct pd_source){.entry = *entry, .retry_us = retry_us};
	membership->source_count++;
}

static void add_larger(struct pd_membership *membership, const struct pd_instance_entry *entry)
{
	if (membership->relay_count < PD_MEMBERSHIP_RELAYS_MAX &&
	    pd_name_equal(&entry->zone, &membership->self.zone) &&
	    pd_relay_is_larger(membership->self.cpu_share, entry->cpu_share))
		membership->relays[membership->relay_count++] = *entry;
}

/* The load that an instance of that size carries, relative to others: larger ones serve gathered
 * requests of smaller ones besides their own. */
static double weight_of(const struct pd_instance_entry *entry)
{
	return entry->cpu_share * entry->cpu_share;
}

/**
 * struct listing - one reading of the list of instances
 * @before: the sources known before, with their times of retry
 * @before_count: number of @before
 * @weight: weight of all instances but this one
 */
struct listing {
	struct pd_source before[PD_MEMBERSHIP_SOURCES_MAX];
	size_t before_count;
	double weight;
};

static bool is_own_entry(const struct pd_membership *membership,
			 const struct pd_instance_entry *entry)
{
	return entry->address.port == membership->self.address.port &&
	       !strcmp(entry->address.ip, membership->self.address.ip);
}

static void take_page(struct pd_membership *membership, const struct pd_object_page *page,
		      struct listing *listing)
{
	struct pd_instance_entry entry;
	struct pd_object object;

	for (size_t i = 0; i < pd_object_page_count(page); i++) {
		if (!pd_object_page_get(page, i, &object) ||
		    !pd_object_read_instance(&object, &entry))
			continue;
		if (pd_name_equal(&entry.name, &membership->self.name)) {
			membership->registered = is_own_entry(membership, &entry);
			membership->entry_outdated = !membership->registered;
			continue;
		}
		listing->weight += weight_of(&entry);
		add_larger(membership, &entry);
		add_source(membership, &entry,
			   known_retry_us(listing->before, listing->before_count, &entry.name));
	}
}

static void take_listing(struct pd_membership *membership, const struct listing *listing)
{
	struct pd_registry *registry = membership->directory->registry;
	double own = weight_of(&membership->self);

	if (own + listing->weight > 0)
		pd_registry_set_share(registry, own / (own + listing->weight));
	pd_relay_set_instances(registry, membership->relays, membership->relay_count);
}

/* Lists all instances; the list may be some seconds old. */
static enum pd_code list_instances(struct pd_membership *membership, struct pd_error *err)
{
	struct listing listing = {.before_count = membership->source_count};
	struct pd_buf after = {0};
	bool first = true, more = true;
	enum pd_code code = PD_OK;

	memcpy(listing.before, membership->sources,
	       listing.before_count * sizeof(listing.before[0]));
	while (more) {
		struct pd_object_page page;

		code = pd_store_list(&membership->store, PD_OBJECT_INSTANCES, pd_buf_str(&after),
				     true, &page, err);
		if (code != PD_OK)
			break;
		if (first) {
			membership->source_count = 0;
			membership->relay_count = 0;
		}
		first = false;
		take_page(membership, &page, &listing);
		more = page.more && pd_object_page_last_name(&page, &after);
		pd_object_page_finish(&page);
	}
	pd_buf_finish(&after);
	if (code == PD_OK)
		take_listing(membership, &listing);
	return code;
}

static void register_self(struct pd_membership *membership)
{
	struct pd_str name = pd_name_str(&membership->self.name);
	json_t *spec = pd_object_write_instance(&membership->self);
	struct pd_error err;
	enum pd_code code;

	if (membership->entry_outdated)
		code = pd_store_replace(&membership->store, PD_OBJECT_INSTANCES, name, spec, &err);
	else
		code = pd_store_create(&membership->store, PD_OBJECT_INSTANCES, name, spec, &err);
	membership->registered = code == PD_OK;
	membership->entry_outdated = code == PD_CONFLICT;
	if (code != PD_OK && code != PD_CONFLICT)
		pd_log_failure(PD_LOG_WARNING, "register_failed", &err);
}

/* Waits until all kinds were listed since the store came back; false when that takes too long. */
static bool wait_until_current(struct pd_membership *membership)
{
	int64_t until = pd_os_boot_us() + CURRENT_US;

	while (!pd_sync_is_current(membership->sync)) {
		if (pd_os_boot_us() >= until)
			return false;
		pd_os_sleep_us(CURRENT_POLL_US);
	}
	return true;
}

/*
 * What is missing after the hold is gone. All kinds are listed once more before: the store may have
 * been lost again meanwhile, and with it the news that an entry is back.
 */
static void end_hold_when_due(struct pd_membership *membership)
{
	if (!membership->removals_held_until_us ||
	    pd_os_boot_us() < membership->removals_held_until_us)
		return;
	pd_sync_restart_watches(membership->sync);
	if (!wait_until_current(membership))
		return;
	membership->removals_held_until_us = 0;
	membership->may_have_expired = false;
	pd_directory_set_store_reachable(membership->directory, true, false);
}

/* The store is in reach. Instances that follow this one are told so once all kinds are known anew.
 */
static void note_in_touch(struct pd_membership *membership)
{
	int64_t now = pd_os_boot_us();

	if (membership->unreachable_since_us) {
		if (now - membership->last_contact_us > LAPSE_US)
			membership->may_have_expired = true;
		pd_log(PD_LOG_INFO, "store_regained",
		       "kind=instances lost_ms=%" PRId64 " silent_ms=%" PRId64,
		       (now - membership->unreachable_since_us) / 1000,
		       (now - membership->last_contact_us) / 1000);
		membership->unreachable_since_us = 0;
		pd_sync_restart_watches(membership->sync);
	}
	membership->last_contact_us = now;
	if (!pd_directory_is_store_reachable(membership->directory) &&
	    wait_until_current(membership)) {
		pd_directory_set_store_reachable(membership->directory, true,
						 membership->may_have_expired);
		membership->removals_held_until_us =
			membership->may_have_expired ? now + REMOVAL_HOLD_US : 0;
	}
	end_hold_when_due(membership);
}

static void note_lost(struct pd_membership *membership, const struct pd_error *err)
{
	if (membership->unreachable_since_us)
		return;
	membership->unreachable_since_us = pd_os_boot_us();
	membership->removals_held_until_us = 0;
	pd_log(PD_LOG_WARNING, "store_lost", "kind=instances code=%s", pd_strerror(err->code));
	pd_log_failure(PD_LOG_WARNING, "store_failure", err);
	pd_directory_set_store_reachable(membership->directory, false, false);
}

/**
 * struct pursuit - following one source
 * @fd: connection
 * @frame: memory of the last frame
 * @lost_us: since when the source has lost the store; 0 while it is in touch
 * @check_us: when the store is to be tried next meanwhile
 * @list_us: when the instances are to be listed next
 */
struct pursuit {
	int fd;
	struct pd_buf frame;
	int64_t lost_us;
	int64_t check_us;
	int64_t list_us;
};

static void take_config(struct pd_directory *directory, struct pd_str text)
{
	json_t *spec = json_loadb(text.data ? text.data : "", text.len, 0, NULL);
	struct pd_error err;

	if (pd_directory_put_config(directory, spec, &err) != PD_OK)
		pd_log_failure(PD_LOG_ERROR, "config_unreadable", &err);
	json_decref(spec);
}

static void take_beat(struct pd_membership *membership, struct pursuit *pursuit,
		      const struct pd_feed_message *msg)
{
	int64_t now = pd_os_boot_us();

	if (msg->heartbeat.store_reachable) {
		pd_directory_set_store_reachable(membership->directory, true,
						 msg->heartbeat.removals_held);
		membership->may_have_expired = msg->heartbeat.removals_held;
		membership->removals_held_until_us = 0;
		membership->last_contact_us = now;
		membership->unreachable_since_us = 0;
		pursuit->lost_us = 0;
	} else if (!pursuit->lost_us) {
		pd_directory_set_store_reachable(membership->directory, false, false);
		pursuit->lost_us = now;
		pursuit->check_us =
			now + (int64_t)(pd_os_random_seed() % (uint64_t)OWN_CHECK_US) / 2;
		membership->last_contact_us = now - UNSEEN_US;
	}
}

static void take_message(struct pd_membership *membership, struct pursuit *pursuit,
			 const struct pd_feed_message *msg)
{
	struct pd_directory *directory = membership->directory;

	switch (msg->kind) {
	case PD_FEED_LIST_BEGIN:
		pd_directory_list_begin(directory);
		break;
	case PD_FEED_LIST_END:
		pd_directory_list_end(directory);
		break;
	case PD_FEED_UPSTREAM:
		pd_directory_put_upstream(directory, &msg->upstream);
		break;
	case PD_FEED_REMOVED:
		pd_directory_remove_upstream(directory, pd_name_str(&msg->removed),
					     "entry_removed");
		break;
	case PD_FEED_CONFIG:
		take_config(directory, msg->config);
		break;
	case PD_FEED_EVACUATIONS:
		pd_directory_set_evacuated(directory, msg->evacuations.zones,
					   msg->evacuations.count);
		break;
	case PD_FEED_HEARTBEAT:
		take_beat(membership, pursuit, msg);
		break;
	case PD_FEED_CRASH:
		pd_directory_add_crash(directory, msg->crash.fingerprint, &msg->crash.event);
		break;
	case PD_FEED_HELLO:
		break;
	}
}

/* Now and then, looks which instances there are: requests may be passed on to them. */
static void refresh_instances(struct pd_membership *membership, struct pursuit *pursuit)
{
	int64_t now = pd_os_boot_us();
	struct pd_error err;

	if (pursuit->lost_us || now < pursuit->list_us)
		return;
	pursuit->list_us = now + LIST_US;
	if (list_instances(membership, &err) != PD_OK)
		pd_log_failure(PD_LOG_INFO, "instances_not_listed", &err);
}

/* While the source has lost the store: true when this instance reaches it. */
static bool reaches_store(struct pd_membership *membership, struct pursuit *pursuit)
{
	int64_t now = pd_os_boot_us();
	struct pd_error err;

	if (!pursuit->lost_us || now < pursuit->check_us)
		return false;
	pursuit->check_us = now + OWN_CHECK_US;
	if (list_instances(membership, &err) != PD_OK) {
		note_lost(membership, &err);
		return false;
	}
	pd_sync_set_mode(membership->sync, PD_SYNC_WATCHING);
	note_in_touch(membership);
	return true;
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

/* Whether the first message, a beat, says that the source is in touch with the store. What a source
 * without the store knows may be older than what is known here. */
static bool is_current(const struct pd_feed_message *msg)
{
	return msg->kind == PD_FEED_HEARTBEAT && msg->heartbeat.store_reachable;
}

/* Takes in what the source sends until it fails or this instance hears more in the store. */
static const char *follow_connected(struct pd_membership *membership, struct pursuit *pursuit)
{
	struct pd_error err;
	enum pd_code code;
	bool first = true;

	pd_os_set_io_timeout(pursuit->fd, SILENCE_US);
	code = send_hello(membership, pursuit->fd, &err);
	while (code == PD_OK) {
		struct pd_feed_message msg;
		bool current;

		code = pd_feed_read(pursuit->fd, &pursuit->frame, &msg, &err);
		if (code != PD_OK)
			break;
		current = is_current(&msg);
		if (!first || current)
			take_message(membership, pursuit, &msg);
		pd_feed_message_finish(&msg);
		if (first && !current)
			return "source_without_store";
		/* A beat follows the snapshot: from here on, changes are heard in time. */
		if (!first && current)
			pd_sync_set_mode(membership->sync, PD_SYNC_PAUSED);
		if (reaches_store(membership, pursuit))
			return "source_lost_store";
		refresh_instances(membership, pursuit);
		first = false;
	}
	return pd_strerror(code);
}

/* Follows a source for as long as it serves; false when it can't be reached. */
static bool follow(struct pd_membership *membership, struct pd_source *source)
{
	struct pursuit pursuit = {.fd = -1, .list_us = pd_os_boot_us() + LIST_FIRST_US};
	struct pd_name name = source->entry.name;
	struct pd_error err;
	const char *reason;

	source->retry_us = pd_os_boot_us() + RETRY_US;
	if (pd_os_connect(&source->entry.address, CONNECT_US, &pursuit.fd, &err) != PD_OK) {
		pd_log(PD_LOG_INFO, "source_unreached", "instance=%s code=%s", name.text,
		       pd_strerror(err.code));
		return false;
	}
	pd_log(PD_LOG_INFO, "following", "instance=%s", name.text);
	reason = follow_connected(membership, &pursuit);
	pd_log(PD_LOG_WARNING, "source_lost", "instance=%s reason=%s", name.text, reason);
	pd_os_close(&pursuit.fd);
	pd_buf_finish(&pursuit.frame);
	return true;
}

/* The best source that may be tried now. */
static struct pd_source *choose_source(struct pd_membership *membership)
{
	int64_t now = pd_os_boot_us();

	for (size_t i = 0; i < membership->source_count; i++) {
		if (now >= membership->sources[i].retry_us)
			return &membership->sources[i];
	}
	return NULL;
}

/* Follows one source after the other, as long as one can be reached. */
static void follow_sources(struct pd_membership *membership)
{
	struct pd_source *source;

	while ((source = choose_source(membership))) {
		struct pd_name name = source->entry.name;

		if (!follow(membership, source))
			continue;
		/* The list may have been read anew meanwhile. */
		for (size_t i = 0; i < membership->source_count; i++) {
			if (pd_name_equal(&membership->sources[i].entry.name, &name))
				membership->sources[i].retry_us = pd_os_boot_us() + RETRY_US;
		}
	}
}

/* One round in which the store is asked. */
static void check_store(struct pd_membership *membership)
{
	struct sockaddr_in address;
	struct pd_error err;

	pd_sync_get_address(membership->sync, &address);
	pd_store_set_address(&membership->store, &address);
	if (list_instances(membership, &err) != PD_OK) {
		note_lost(membership, &err);
		return;
	}
	note_in_touch(membership);
	if (!membership->registered)
		register_self(membership);
}

/* How long until the store is checked again: at the end of a hold at the latest. */
static int64_t pause_us(struct pd_membership *membership)
{
	int64_t left = membership->removals_held_until_us - pd_os_boot_us();

	if (!pd_directory_is_store_reachable(membership->directory))
		return LOST_CHECK_US;
	if (!membership->removals_held_until_us || left > CHECK_US)
		return CHECK_US;
	return left > LOST_CHECK_US ? left : LOST_CHECK_US;
}

static void *run(void *arg)
{
	struct pd_membership *membership = arg;

	membership->started_us = pd_os_boot_us();
	membership->last_contact_us = membership->started_us;
	for (;;) {
		int64_t age;

		check_store(membership);
		follow_sources(membership);
		age = pd_os_boot_us() - membership->started_us;
		if (age < SEEK_US && !membership->unreachable_since_us) {
			pd_os_sleep_us(SEEK_INTERVAL_US);
			continue;
		}
		pd_sync_set_mode(membership->sync, PD_SYNC_WATCHING);
		pd_os_sleep_us(pause_us(membership));
	}
	return NULL;
}

enum pd_code pd_membership_start(struct pd_membership *membership, struct pd_error *err)
{
	return pd_os_thread_start(&membership->thread, "membership", run, membership, err);
}
