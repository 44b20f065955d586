#include "load_news.h"

#include <string.h>

#include "registry.h"
#include "registry_private.h"

void pd_load_news_add_locked(struct pd_registry *registry, struct pd_upstream *upstream,
			     bool silent, int64_t now_us)
{
	struct pd_load_outbox *outbox = &registry->outbox;

	if (!outbox->wanted || upstream->service->internal)
		return;
	if (upstream->news_round != outbox->round + 1) {
		if (outbox->count == PD_LOAD_NEWS_MAX)
			return;
		upstream->news_round = outbox->round + 1;
		upstream->news_index = outbox->count++;
	}
	outbox->news[upstream->news_index] = (struct pd_load_news){.id = upstream->id,
								   .silent = silent,
								   .load = upstream->reported_load,
								   .speed = upstream->speed,
								   .as_of_us = now_us};
}

bool pd_load_news_wanted(struct pd_registry *registry)
{
	bool wanted;

	pthread_mutex_lock(&registry->lock);
	wanted = registry->outbox.wanted;
	pthread_mutex_unlock(&registry->lock);
	return wanted;
}

size_t pd_load_news_take(struct pd_registry *registry, struct pd_load_news *news)
{
	struct pd_load_outbox *outbox = &registry->outbox;
	size_t count;

	pthread_mutex_lock(&registry->lock);
	count = outbox->count;
	memcpy(news, outbox->news, count * sizeof(*news));
	outbox->count = 0;
	outbox->round++;
	pthread_mutex_unlock(&registry->lock);
	return count;
}

void pd_load_news_apply(struct pd_registry *registry, const struct pd_load_news *news)
{
	struct pd_upstream *upstream;

	pthread_mutex_lock(&registry->lock);
	HASH_FIND(hh, registry->upstreams, news->id.text, news->id.len, upstream);
	if (upstream && news->as_of_us > upstream->load_reported_us) {
		if (news->silent)
			upstream->silent_since_us = news->as_of_us;
		else
			pd_registry_record_load_locked(upstream, news->load, news->speed,
						       news->as_of_us);
	}
	pthread_mutex_unlock(&registry->lock);
}
