/**
 * DOC: News of the load of upstreams, for the other instances of the zone
 *
 * Upstreams state in their responses how many requests they run and queue, and how long work takes
 * on their machine. Each instance learns that from its own responses only, while others send to the
 * same upstreams. The registry therefore collects what it has learned, and takes over what others
 * have. Nothing is collected before an upstream has stated how long work takes: without that, the
 * choice of upstreams uses this instance's own reports only.
 *
 * The news of an upstream that was started again under the same id may reach its successor; its
 * next response corrects that.
 */
#ifndef PD_LOAD_NEWS_H
#define PD_LOAD_NEWS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "str.h"

struct pd_registry;
struct pd_upstream;

/* Number of upstreams of which news are kept until they are taken: a large instance gets about 750
 * reports per second, which is 15 in the 20 ms between two datagrams.
 */
#define PD_LOAD_NEWS_MAX 48

/**
 * struct pd_load_news - what an instance has learned of an upstream
 * @id: name of the upstream's entry
 * @silent: a request is overdue, and the upstream has sent nothing since it was sent; @load and
 *	@speed aren't set
 * @load: number of requests running or queued at the upstream
 * @speed: how long work takes on the upstream's machine, as a factor
 * @as_of_us: time at which that was so, in microseconds of pd_os_boot_us()
 */
struct pd_load_news {
	struct pd_name id;
	bool silent;
	double load;
	double speed;
	int64_t as_of_us;
};

/**
 * struct pd_load_outbox - news that weren't taken yet, at most one of each upstream
 * @wanted: an upstream has stated how long work takes; news are collected
 * @round: number of times that the news were taken, increased by 1; an upstream has news in the
 *	outbox if it remembers this number
 * @news: the news
 * @count: number of entries in @news
 */
struct pd_load_outbox {
	bool wanted;
	uint64_t round;
	struct pd_load_news news[PD_LOAD_NEWS_MAX];
	size_t count;
};

/* Adds the last report of the upstream to the outbox, or that it is silent, in place of earlier
 * news of it. Dropped if the outbox is full. Requires the registry's lock.
 */
void pd_load_news_add_locked(struct pd_registry *registry, struct pd_upstream *upstream,
			     bool silent, int64_t now_us);
/* Whether an upstream has stated how long work takes. */
bool pd_load_news_wanted(struct pd_registry *registry);
/* Moves up to PD_LOAD_NEWS_MAX news from the outbox to @news; returns their number. */
size_t pd_load_news_take(struct pd_registry *registry, struct pd_load_news *news);
/* Takes over news of another instance, unless what is known of the upstream is as recent. */
void pd_load_news_apply(struct pd_registry *registry, const struct pd_load_news *news);

#endif
