#include "watch_cover.h"

#include "os.h"

/* A watch that has waited for less isn't renewed: its response may be on the way. A machine counts
 * again four seconds after a loss of responses, and a check of the store, whose stale read may be
 * two seconds old, comes every 1.2 s.
 */
#define DOUBT_MIN_US (1500 * PD_USEC_PER_MSEC)

void pd_watch_cover_set(struct pd_watch_cover *cover, uint64_t revision)
{
	cover->confirmed = revision;
}

bool pd_watch_cover_begin(struct pd_watch_cover *cover, uint64_t known, int64_t now_us)
{
	bool behind = cover->confirmed < known;

	cover->covers = behind ? known : cover->confirmed;
	cover->sent_us = now_us;
	return behind;
}

void pd_watch_cover_end(struct pd_watch_cover *cover, uint64_t revision)
{
	if (revision)
		cover->confirmed = revision > cover->covers ? revision : cover->covers;
	cover->sent_us = 0;
}

/* Returns the number of changes after a revision that the events of a page hold. */
static uint64_t count_changes(const struct pd_object_page *page, uint64_t after)
{
	struct pd_object object;
	uint64_t count = 0;

	for (size_t i = 0; i < pd_object_page_count(page); i++) {
		pd_object_page_get(page, i, &object);
		count += object.revision > after;
	}
	return count;
}

void pd_watch_cover_account(struct pd_watch_cover *cover, const struct pd_object_page *page)
{
	/* Each change raises the store's revision by one. */
	if (page->revision > cover->covers &&
	    count_changes(page, cover->covers) == page->revision - cover->covers)
		cover->covers = page->revision;
}

bool pd_watch_cover_is_doubtful(const struct pd_watch_cover *cover, uint64_t known, int64_t now_us)
{
	return cover->sent_us && cover->covers < known && now_us - cover->sent_us >= DOUBT_MIN_US;
}
