#include "quota_exchange.h"

#include <math.h>
#include <string.h>

#include "ingress_settings.h"
#include "log.h"
#include "registry.h"

/* Numbers in a datagram take up at most 9 bytes each. */
#define NUMBER_MAX_BYTES   9
#define REPORTS_IN_PAYLOAD (PD_DATAGRAM_PAYLOAD_MAX_BYTES / (6 * NUMBER_MAX_BYTES))
#define NEWS_IN_PAYLOAD                                                                            \
	((PD_DATAGRAM_PAYLOAD_MAX_BYTES - 3 * NUMBER_MAX_BYTES) / (6 * NUMBER_MAX_BYTES))
/* An instance follows the head over at most this many others; more is a loop, which may exist for a
 * moment. */
#define HOPS_MAX 4
/* Tokens and rates are sent as thousandths; tokens with an offset, because they may be negative. */
#define FRACTION      1000
#define TOKENS_OFFSET 1e9
/* Greatest number that is believed, far above what an instance can reach. */
#define NUMBER_MAX (1ULL << 50)

void pd_quota_exchange_init(struct pd_quota_exchange *exchange, struct pd_registry *registry,
			    const struct pd_ingress_settings *settings)
{
	const struct pd_quota_bounds bounds = {.window_s = settings->quota_window_s,
					       .overage = settings->quota_overage,
					       .slack = settings->quota_slack};

	memset(exchange, 0, sizeof(*exchange));
	exchange->enabled = settings->quota_window_s > 0;
	exchange->registry = registry;
	/* A generator with the state 0 would stay there. */
	pd_quota_init(&exchange->quota, &bounds, pd_os_random_seed() | 1);
}

void pd_quota_exchange_finish(struct pd_quota_exchange *exchange)
{
	pd_catalog_release(exchange->catalog);
	exchange->catalog = NULL;
	pd_quota_finish(&exchange->quota);
}

/* Uses the limits of the configuration if that has changed. */
static void follow_catalog(struct pd_quota_exchange *exchange, int64_t now_us)
{
	struct pd_catalog *catalog = pd_registry_catalog(exchange->registry);

	if (catalog == exchange->catalog) {
		pd_catalog_release(catalog);
		return;
	}
	pd_quota_set_limits(&exchange->quota, catalog ? catalog->accounts : NULL,
			    catalog ? catalog->account_count : 0, now_us);
	pd_catalog_release(exchange->catalog);
	exchange->catalog = catalog;
}

static void put_report(struct pd_buf *payload, const struct pd_quota_report *report)
{
	pd_datagram_put_uint(payload, report->origin);
	pd_datagram_put_uint(payload, report->account);
	pd_datagram_put_uint(payload, report->used);
	pd_datagram_put_uint(payload, report->returned);
	pd_datagram_put_uint(payload, report->refused);
	pd_datagram_put_uint(payload, report->recent);
}

static void send_reports(struct pd_quota_exchange *exchange, struct pd_cluster *cluster,
			 bool is_head, int64_t now_us)
{
	struct pd_quota_report reports[REPORTS_IN_PAYLOAD];
	size_t count;

	do {
		struct pd_buf payload = {0};

		count = pd_quota_take_reports(&exchange->quota, reports, REPORTS_IN_PAYLOAD,
					      now_us);
		for (size_t i = 0; i < count; i++)
			put_report(&payload, &reports[i]);
		if (count && is_head)
			pd_cluster_send_to_heads(cluster, PD_DATAGRAM_SHARE, pd_buf_str(&payload));
		else if (count)
			pd_cluster_send_to_source(cluster, PD_DATAGRAM_USAGE, pd_buf_str(&payload));
		pd_buf_finish(&payload);
	} while (count == REPORTS_IN_PAYLOAD);
}

static void put_news(struct pd_buf *payload, const struct pd_quota_news *news)
{
	double tokens = fmax(0, fmin(news->tokens, TOKENS_OFFSET) + TOKENS_OFFSET);

	pd_datagram_put_uint(payload, news->account);
	pd_datagram_put_uint(payload, news->low);
	if (!news->low)
		return;
	pd_datagram_put_uint(payload, (uint64_t)(tokens * FRACTION));
	pd_datagram_put_uint(payload, (uint64_t)(news->rate_per_s * FRACTION));
	pd_datagram_put_uint(payload, (uint64_t)news->promised_us);
	pd_datagram_put_uint(payload, (uint64_t)(news->share * FRACTION));
}

static void send_news(struct pd_quota_exchange *exchange, struct pd_cluster *cluster, bool urgent,
		      int64_t now_us)
{
	struct pd_quota_news news[NEWS_IN_PAYLOAD];
	size_t count;

	do {
		struct pd_buf payload = {0};

		count = pd_quota_take_news(&exchange->quota, news, NEWS_IN_PAYLOAD, urgent, now_us);
		pd_datagram_put_uint(&payload, 0);
		pd_datagram_put_uint(&payload, cluster->incarnation);
		pd_datagram_put_uint(&payload, ++exchange->sequence);
		for (size_t i = 0; i < count; i++)
			put_news(&payload, &news[i]);
		if (count)
			pd_cluster_send_to_followers(cluster, PD_DATAGRAM_QUOTA,
						     pd_buf_str(&payload));
		pd_buf_finish(&payload);
	} while (count == NEWS_IN_PAYLOAD);
}

void pd_quota_exchange_tick(struct pd_quota_exchange *exchange, struct pd_cluster *cluster,
			    int64_t now_us)
{
	struct pd_cluster_view view;
	struct pd_quota_fleet fleet;

	if (!exchange->enabled)
		return;
	pd_cluster_view(cluster, now_us, &view);
	fleet = (struct pd_quota_fleet){
		.is_head = view.is_head,
		.source_heard_us = view.source_heard_us,
		.instances = view.instance_count,
		.zones = view.zone_count,
		.zones_heard = view.quota_zones,
		.heard_instances = view.quota_instances,
		.heard_covered = view.quota_covered,
		.links = view.links,
	};
	pd_quota_set_fleet(&exchange->quota, &fleet, now_us);
	follow_catalog(exchange, now_us);
	send_reports(exchange, cluster, view.is_head, now_us);
	send_news(exchange, cluster, false, now_us);
}

/* Reads one report; false if the rest of the payload is malformed. */
static bool get_report(struct pd_datagram_reader *reader, struct pd_quota_report *report)
{
	report->origin = pd_datagram_get_uint(reader);
	report->account = pd_datagram_get_uint(reader);
	report->used = pd_datagram_get_uint(reader);
	report->returned = pd_datagram_get_uint(reader);
	report->refused = pd_datagram_get_uint(reader);
	report->recent = pd_datagram_get_uint(reader);
	return !reader->failed && report->used < NUMBER_MAX && report->returned < NUMBER_MAX &&
	       report->refused < NUMBER_MAX && report->recent < NUMBER_MAX;
}

static void receive_reports(struct pd_quota_exchange *exchange, const struct pd_datagram *datagram,
			    int64_t now_us)
{
	struct pd_datagram_reader reader;
	struct pd_quota_report report;

	pd_datagram_reader_init(&reader, datagram->payload);
	while (!pd_datagram_reader_at_end(&reader) && get_report(&reader, &report))
		pd_quota_receive_report(&exchange->quota, &report,
					datagram->kind == PD_DATAGRAM_USAGE, now_us);
}

/* Reads one statement; false if the rest of the payload is malformed. */
static bool get_news(struct pd_datagram_reader *reader, struct pd_quota_news *news)
{
	uint64_t tokens, rate, promised, share;

	news->account = pd_datagram_get_uint(reader);
	news->low = pd_datagram_get_uint(reader);
	if (reader->failed || !news->low)
		return !reader->failed;
	tokens = pd_datagram_get_uint(reader);
	rate = pd_datagram_get_uint(reader);
	promised = pd_datagram_get_uint(reader);
	share = pd_datagram_get_uint(reader);
	news->tokens = (double)tokens / FRACTION - TOKENS_OFFSET;
	news->rate_per_s = fmax((double)rate, 1) / FRACTION;
	news->promised_us = (int64_t)promised;
	news->share = (double)share / FRACTION;
	return !reader->failed && tokens < NUMBER_MAX && rate < NUMBER_MAX && promised < NUMBER_MAX;
}

/* Passes news on to instances that follow this one. */
static void pass_on_news(struct pd_cluster *cluster, struct pd_str payload, uint64_t hops)
{
	struct pd_datagram_reader reader;
	struct pd_buf copy = {0};

	if (hops + 1 >= HOPS_MAX)
		return;
	pd_datagram_reader_init(&reader, payload);
	pd_datagram_get_uint(&reader);
	pd_datagram_put_uint(&copy, hops + 1);
	pd_buf_append_str(&copy, reader.rest);
	pd_cluster_send_to_followers(cluster, PD_DATAGRAM_QUOTA, pd_buf_str(&copy));
	pd_buf_finish(&copy);
}

static void receive_news(struct pd_quota_exchange *exchange, struct pd_cluster *cluster,
			 const struct pd_datagram *datagram, int64_t now_us)
{
	struct pd_datagram_reader reader;
	struct pd_quota_news news = {0};
	struct pd_cluster_view view;
	uint64_t hops;

	pd_datagram_reader_init(&reader, datagram->payload);
	hops = pd_datagram_get_uint(&reader);
	news.head = pd_datagram_get_uint(&reader);
	news.sequence = pd_datagram_get_uint(&reader);
	pd_cluster_view(cluster, now_us, &view);
	if (reader.failed || hops >= HOPS_MAX || view.is_head)
		return;
	while (!pd_datagram_reader_at_end(&reader) && get_news(&reader, &news))
		pd_quota_receive_news(&exchange->quota, &news, now_us);
	if (view.followers)
		pass_on_news(cluster, datagram->payload, hops);
}

void pd_quota_exchange_receive(struct pd_quota_exchange *exchange, struct pd_cluster *cluster,
			       const struct pd_datagram *datagram, int64_t now_us)
{
	if (!exchange->enabled)
		return;
	if (datagram->kind == PD_DATAGRAM_QUOTA) {
		receive_news(exchange, cluster, datagram, now_us);
		return;
	}
	receive_reports(exchange, datagram, now_us);
	send_news(exchange, cluster, true, now_us);
}
