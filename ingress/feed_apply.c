#include "feed_apply.h"

#include "log.h"
#include "os.h"

static void begin_list(struct pd_directory *directory, struct pd_feed_lists *lists,
		       struct pd_revision at)
{
	if (lists->open++)
		return;
	lists->list = pd_directory_list_begin(directory, at);
	lists->at = at;
}

static void end_list(struct pd_directory *directory, struct pd_feed_lists *lists,
		     struct pd_revision at)
{
	if (!lists->open || --lists->open)
		return;
	pd_directory_list_end(directory, lists->list, at);
	lists->ended = lists->list;
}

static void apply_rollouts(struct pd_directory *directory, const struct pd_feed_message *msg)
{
	struct pd_rollout_set set;

	if (pd_rollout_set_decode(msg->rollouts.text, pd_os_boot_us(), &set))
		pd_directory_set_rollouts(directory, &set, msg->rollouts.at);
	else
		pd_log(PD_LOG_ERROR, "rollouts_unreadable", "bytes=%zu", msg->rollouts.text.len);
}

static void apply_crash(struct pd_directory *directory, const struct pd_feed_message *msg)
{
	const struct pd_crash_event event = {
		.name = msg->crash.event,
		.service = msg->crash.service,
		.broken_us = pd_os_boot_us() - (int64_t)msg->crash.age_ms * PD_USEC_PER_MSEC,
		.told = true,
		.partial = msg->crash.partial,
	};

	pd_directory_add_crash(directory, msg->crash.fingerprint, &event);
}

void pd_feed_apply(struct pd_directory *directory, struct pd_feed_lists *lists,
		   const struct pd_feed_message *msg)
{
	switch (msg->kind) {
	case PD_FEED_LIST_BEGIN:
		begin_list(directory, lists, msg->at);
		break;
	case PD_FEED_LIST_END:
		end_list(directory, lists, msg->at);
		break;
	case PD_FEED_LIST_FAILED:
		if (lists->open && !--lists->open)
			pd_directory_list_fail(directory);
		break;
	case PD_FEED_UPSTREAM:
		pd_directory_put_upstream(directory, &msg->upstream,
					  lists->open ? lists->at : msg->upstream.revision);
		break;
	case PD_FEED_REMOVED:
		pd_directory_remove_upstream(directory, pd_name_str(&msg->removed.id),
					     msg->removed.at, "entry_removed");
		break;
	case PD_FEED_PROGRESS:
		if (lists->ended)
			pd_directory_advance(directory, lists->ended, msg->at);
		break;
	case PD_FEED_EVACUATIONS:
		pd_directory_set_evacuated(directory, msg->evacuations.zones,
					   msg->evacuations.count, msg->evacuations.at);
		break;
	case PD_FEED_ROLLOUTS:
		apply_rollouts(directory, msg);
		break;
	case PD_FEED_CRASH:
		apply_crash(directory, msg);
		break;
	case PD_FEED_CRASH_REMOVED:
		pd_directory_remove_crash(directory, msg->crash_removed.fingerprint,
					  &msg->crash_removed.event, msg->crash_removed.deleted);
		break;
	case PD_FEED_CONFIG:
	case PD_FEED_HEARTBEAT:
	case PD_FEED_BATCH: /* the reader returns its messages instead */
	case PD_FEED_HELLO:
		break;
	}
}

void pd_feed_apply_end(struct pd_directory *directory, struct pd_feed_lists *lists)
{
	if (lists->open)
		pd_directory_list_fail(directory);
	lists->open = 0;
}
