#include "load_report.h"

#include <string.h>

#include "counters.h"
#include "os.h"
#include "registry.h"
#include "relay.h"

#define AGE_UNIT_US   100
#define SPEED_PERCENT 100.0
/* Size of the news of one upstream besides its id: header of the id, age, load and speed. */
#define NEWS_MAX_BYTES 32
/* News that are older than this, by their age and by the time that the datagram took, are ignored:
 * the speed of a machine has changed since then, and requests take some tens of milliseconds.
 */
#define AGE_MAX_US PD_USEC_PER_SEC
/* The lowest difference between two clocks is raised by this share of the time, more than clocks
 * drift apart: a datagram would seem late otherwise.
 */
#define DRIFT_SHARE 0.0002
/* Limits of what a sender can state. */
#define LOAD_MAX	  1000000
#define SPEED_MAX_PERCENT 10000

void pd_load_report_init(struct pd_load_report *exchange, struct pd_registry *registry,
			 double cpu_share)
{
	memset(exchange, 0, sizeof(*exchange));
	exchange->registry = registry;
	exchange->cpu_share = cpu_share;
	exchange->random_state = pd_os_random_seed();
}

void pd_load_report_finish(struct pd_load_report *exchange)
{
	memset(exchange, 0, sizeof(*exchange));
}

bool pd_load_report_is_needed(const struct pd_load_report *exchange)
{
	return pd_load_news_wanted(exchange->registry);
}

static uint64_t next_random(uint64_t *state)
{
	/* SplitMix64 */
	uint64_t z = (*state += 0x9e3779b97f4a7c15ULL);

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

size_t pd_load_report_receivers(struct pd_cluster_instance *instances, size_t count,
				double cpu_share, uint64_t random)
{
	double largest = cpu_share;
	size_t larger = 0, chosen = 0;

	for (size_t i = 0; i < count; i++) {
		if (instances[i].cpu_share > largest)
			largest = instances[i].cpu_share;
	}
	for (size_t i = 0; i < count; i++) {
		if (!pd_relay_is_larger(instances[i].cpu_share, largest))
			instances[larger++] = instances[i];
	}
	for (; chosen < larger && chosen < PD_LOAD_REPORT_RECEIVERS; chosen++) {
		size_t other = chosen + next_random(&random) % (larger - chosen);
		struct pd_cluster_instance instance = instances[other];

		instances[other] = instances[chosen];
		instances[chosen] = instance;
	}
	return chosen;
}

static void put_news(struct pd_buf *payload, const struct pd_load_news *news, int64_t now_us)
{
	int64_t age_us = now_us > news->as_of_us ? now_us - news->as_of_us : 0;
	uint64_t load = news->load < LOAD_MAX ? (uint64_t)news->load : LOAD_MAX;

	pd_datagram_put_str(payload, pd_name_str(&news->id));
	pd_datagram_put_uint(payload, (uint64_t)(age_us / AGE_UNIT_US));
	pd_datagram_put_uint(payload, news->silent ? 0 : load + 1);
	if (!news->silent)
		pd_datagram_put_uint(payload, (uint64_t)(news->speed * SPEED_PERCENT + 0.5));
}

size_t pd_load_report_encode(struct pd_load_report *exchange, struct pd_buf *payload,
			     int64_t now_us)
{
	struct pd_load_news news[PD_LOAD_NEWS_MAX];
	size_t count = pd_load_news_take(exchange->registry, news), put = 0;

	if (!count)
		return 0;
	pd_datagram_put_uint(payload, ++exchange->sequence);
	pd_datagram_put_uint(payload, (uint64_t)now_us);
	for (size_t i = 0; i < count; i++) {
		if (payload->len + news[i].id.len + NEWS_MAX_BYTES > PD_DATAGRAM_PAYLOAD_MAX_BYTES)
			continue;
		put_news(payload, &news[i], now_us);
		put++;
	}
	return put;
}

void pd_load_report_tick(struct pd_load_report *exchange, struct pd_cluster *cluster,
			 int64_t now_us)
{
	struct pd_cluster_instance instances[PD_LOAD_REPORT_PEERS_MAX];
	struct pd_buf payload = {0};
	size_t receivers, news;

	if (now_us < exchange->next_us)
		return;
	exchange->next_us = now_us + PD_LOAD_REPORT_INTERVAL_US;
	news = pd_load_report_encode(exchange, &payload, now_us);
	if (news) {
		receivers =
			pd_cluster_zone_instances(cluster, 0, instances, PD_LOAD_REPORT_PEERS_MAX);
		receivers = pd_load_report_receivers(instances, receivers, exchange->cpu_share,
						     next_random(&exchange->random_state));
		for (size_t i = 0; i < receivers; i++)
			pd_cluster_send(cluster, PD_DATAGRAM_LOAD, pd_buf_str(&payload),
					&instances[i].address);
		pd_count_add(PD_COUNT_load_reports_out, news * receivers);
	}
	pd_buf_finish(&payload);
}

/* Returns the entry of a sender, in place of the one that wasn't heard for longest if it is new. */
static struct pd_load_sender *find_sender(struct pd_load_report *exchange, uint64_t incarnation)
{
	struct pd_load_sender *oldest = &exchange->senders[0];

	for (size_t i = 0; i < PD_LOAD_REPORT_PEERS_MAX; i++) {
		struct pd_load_sender *sender = &exchange->senders[i];

		if (sender->incarnation == incarnation)
			return sender;
		if (sender->heard_us < oldest->heard_us)
			oldest = sender;
	}
	*oldest = (struct pd_load_sender){.incarnation = incarnation, .offset_us = INT64_MAX};
	return oldest;
}

/* Returns for how much longer the datagram was under way than the fastest one of its sender. */
static int64_t transit_us(struct pd_load_sender *sender, int64_t sent_us, int64_t now_us)
{
	int64_t offset_us = now_us - sent_us;

	if (sender->offset_us != INT64_MAX)
		sender->offset_us += (int64_t)((double)(now_us - sender->heard_us) * DRIFT_SHARE);
	if (offset_us < sender->offset_us)
		sender->offset_us = offset_us;
	sender->heard_us = now_us;
	return offset_us - sender->offset_us;
}

/* Reads the news of one upstream; false if they are malformed. */
static bool get_news(struct pd_datagram_reader *reader, struct pd_load_news *news, int64_t sent_us)
{
	struct pd_str id = pd_datagram_get_str(reader);
	uint64_t age = pd_datagram_get_uint(reader), load = pd_datagram_get_uint(reader), percent;

	if (reader->failed || !pd_name_set(&news->id, id) || load > LOAD_MAX + 1)
		return false;
	news->as_of_us = age < AGE_MAX_US / AGE_UNIT_US ? sent_us - (int64_t)age * AGE_UNIT_US : 0;
	news->silent = !load;
	if (news->silent)
		return true;
	percent = pd_datagram_get_uint(reader);
	news->load = (double)(load - 1);
	news->speed = (double)percent / SPEED_PERCENT;
	return !reader->failed && percent > 0 && percent <= SPEED_MAX_PERCENT;
}

void pd_load_report_receive(struct pd_load_report *exchange, struct pd_cluster *cluster,
			    const struct pd_datagram *datagram, int64_t now_us)
{
	struct pd_datagram_reader reader;
	struct pd_load_sender *sender;
	struct pd_load_news news;
	uint64_t sequence, stamp;
	int64_t late_us;

	pd_datagram_reader_init(&reader, datagram->payload);
	sequence = pd_datagram_get_uint(&reader);
	stamp = pd_datagram_get_uint(&reader);
	if (reader.failed || stamp > INT64_MAX / 2 || !datagram->incarnation ||
	    datagram->incarnation == cluster->incarnation ||
	    !pd_name_equal(&datagram->zone, &cluster->zone))
		return;
	sender = find_sender(exchange, datagram->incarnation);
	if (sequence <= sender->sequence)
		return;
	sender->sequence = sequence;
	late_us = transit_us(sender, (int64_t)stamp, now_us);
	if (late_us >= AGE_MAX_US)
		return;
	while (!pd_datagram_reader_at_end(&reader) && get_news(&reader, &news, now_us - late_us)) {
		if (news.as_of_us)
			pd_load_news_apply(exchange->registry, &news);
		pd_count(PD_COUNT_load_reports_in);
	}
}
