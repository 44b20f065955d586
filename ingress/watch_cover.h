/**
 * DOC: What a watch of the store has certainly not missed
 *
 * A watch whose response is lost waits on as if nothing had changed. The revisions in the responses
 * to other calls show that it may have missed something. The functions decide without a network and
 * without a lock; times are in microseconds of pd_os_boot_us(). Revisions belong to one era: a
 * restored store starts all watches anew.
 */
#ifndef PD_WATCH_COVER_H
#define PD_WATCH_COVER_H

#include <stdbool.h>
#include <stdint.h>

#include "objects.h"

/**
 * struct pd_watch_cover - coverage of one watch
 * @confirmed: revision up to which the last response, to a list or a watch, has shown that no
 *	change was missed
 * @covers: revision up to which the current watch has missed no change: another response had stated
 *	that revision before the watch was sent, which would have returned a change at once, or the
 *	responses to other watches hold all changes since then
 * @sent_us: time at which the current watch was sent; 0 while none waits
 */
struct pd_watch_cover {
	uint64_t confirmed;
	uint64_t covers;
	int64_t sent_us;
};

/* Records a list, after which the next watch starts from @revision. */
void pd_watch_cover_set(struct pd_watch_cover *cover, uint64_t revision);
/**
 * pd_watch_cover_begin() - records that a watch is about to be sent
 * @cover: coverage of the watch
 * @known: highest revision that any response stated
 * @now_us: current time
 *
 * Return: true if a change up to @known may be due. The watch returns it at once; it must wait only
 * briefly, so that the loss of just this response is noticed.
 */
bool pd_watch_cover_begin(struct pd_watch_cover *cover, uint64_t known, int64_t now_us);
/* Records the end of the watch: the revision that its response stated, or 0 without a response. */
void pd_watch_cover_end(struct pd_watch_cover *cover, uint64_t revision);
/* Accounts for the response to another watch: if it holds every change of the store since the
 * revision that is covered, this watch has missed none of them.
 */
void pd_watch_cover_account(struct pd_watch_cover *cover, const struct pd_object_page *page);
/* Whether the watch has waited for some time, and may have missed a change up to @known. */
bool pd_watch_cover_is_doubtful(const struct pd_watch_cover *cover, uint64_t known, int64_t now_us);

#endif
