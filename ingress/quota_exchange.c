#include "quota_exchange.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <math.h>
#include <string.h>

#include "counters.h"
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
#define TOKENS_MAX ((double)NUMBER_MAX / FRACTION - TOKENS_OFFSET)

/* Maximum length of a request's id and of an account's name in a log line. */
#define LOGGED_MAX_BYTES 128

/* An answer takes less than 1 ms within a zone and about 3 ms between zones. */
#define ANSWER_TIMEOUT_US (40 * PD_USEC_PER_MSEC)
/* Time after which a question is repeated: it or its answer was lost, or its path has changed. The
 * owner gives the same answer. */
#define ANSWER_REPEAT_US (15 * PD_USEC_PER_MSEC)

/**
 * struct pd_quota_question - a question of a thread that waits for an answer
 * @ask: the question
 * @sent: it was sent; at most PD_QUOTA_ASKS_MAX of an account are at once, and the others wait
 * @answered: it was answered
 * @verdict: the answer
 * @owner: name of the instance that gave it
 * @next: next question
 */
struct pd_quota_question {
	struct pd_quota_ask ask;
	bool sent;
	bool answered;
	struct pd_quota_verdict verdict;
	struct pd_name owner;
	struct pd_quota_question *next;
};

void pd_quota_exchange_init(struct pd_quota_exchange *exchange, struct pd_registry *registry,
			    const struct pd_ingress_settings *settings)
{
	const struct pd_quota_bounds bounds = {.window_s = settings->quota_window_s,
					       .overage = settings->quota_overage,
					       .slack = settings->quota_slack};

	memset(exchange, 0, sizeof(*exchange));
	exchange->enabled = settings->quota_window_s > 0;
	exchange->registry = registry;
	pthread_mutex_init(&exchange->lock, NULL);
	pd_os_cond_init(&exchange->changed);
	/* A generator with the state 0 would stay there. */
	pd_quota_init(&exchange->quota, &bounds, pd_os_random_seed() | 1);
}

void pd_quota_exchange_finish(struct pd_quota_exchange *exchange)
{
	pd_catalog_release(exchange->catalog);
	exchange->catalog = NULL;
	pthread_cond_destroy(&exchange->changed);
	pthread_mutex_destroy(&exchange->lock);
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

static void put_tokens(struct pd_buf *payload, double tokens)
{
	double sent = fmax(0, fmin(tokens, TOKENS_OFFSET) + TOKENS_OFFSET);

	pd_datagram_put_uint(payload, (uint64_t)(sent * FRACTION));
}

static double get_tokens(struct pd_datagram_reader *reader)
{
	return (double)pd_datagram_get_uint(reader) / FRACTION - TOKENS_OFFSET;
}

static void put_news(struct pd_buf *payload, const struct pd_quota_news *news)
{
	pd_datagram_put_uint(payload, news->account);
	pd_datagram_put_uint(payload, news->low);
	if (!news->low)
		return;
	put_tokens(payload, news->tokens);
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
		.in_part = view.quota_in_part,
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
	uint64_t rate, promised, share;

	news->account = pd_datagram_get_uint(reader);
	news->low = pd_datagram_get_uint(reader);
	if (reader->failed || !news->low)
		return !reader->failed;
	news->tokens = get_tokens(reader);
	rate = pd_datagram_get_uint(reader);
	promised = pd_datagram_get_uint(reader);
	share = pd_datagram_get_uint(reader);
	news->rate_per_s = fmax((double)rate, 1) / FRACTION;
	news->promised_us = (int64_t)promised;
	news->share = (double)share / FRACTION;
	return !reader->failed && news->tokens < TOKENS_MAX && rate < NUMBER_MAX &&
	       promised < NUMBER_MAX;
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

/**
 * struct ask_message - items of an ASK
 * @ip: address of the instance that asks, in host byte order
 * @port: its port
 * @routed: a head has passed it on to the owner
 * @ask: the question
 */
struct ask_message {
	uint64_t ip;
	uint64_t port;
	uint64_t routed;
	struct pd_quota_ask ask;
};

static void put_ask(struct pd_buf *payload, const struct ask_message *message)
{
	pd_datagram_put_uint(payload, message->ip);
	pd_datagram_put_uint(payload, message->port);
	pd_datagram_put_uint(payload, message->routed);
	pd_datagram_put_uint(payload, message->ask.account);
	pd_datagram_put_uint(payload, message->ask.origin);
	pd_datagram_put_uint(payload, message->ask.nonce);
}

static bool get_ask(struct pd_str payload, struct ask_message *message)
{
	struct pd_datagram_reader reader;

	pd_datagram_reader_init(&reader, payload);
	message->ip = pd_datagram_get_uint(&reader);
	message->port = pd_datagram_get_uint(&reader);
	message->routed = pd_datagram_get_uint(&reader);
	message->ask.account = pd_datagram_get_uint(&reader);
	message->ask.origin = pd_datagram_get_uint(&reader);
	message->ask.nonce = pd_datagram_get_uint(&reader);
	return !reader.failed && message->ip <= UINT32_MAX && message->port &&
	       message->port <= UINT16_MAX;
}

/* Sends a question of this instance to its source, or as a head to the owner of the account. */
static void send_ask(struct pd_cluster *cluster, const struct pd_quota_ask *ask, bool is_head,
		     int64_t now_us)
{
	const struct sockaddr_in own = pd_cluster_own_address(cluster);
	struct ask_message message = {.ip = ntohl(own.sin_addr.s_addr),
				      .port = ntohs(own.sin_port),
				      .routed = is_head,
				      .ask = *ask};
	struct sockaddr_in owner;
	struct pd_buf payload = {0};

	/* Without another owner, this head has just become the owner, and the thread will decide by
	 * what this instance knows. */
	if (is_head && !pd_cluster_find_owner(cluster, ask->account, now_us, &owner))
		return;
	put_ask(&payload, &message);
	if (is_head)
		pd_cluster_send(cluster, PD_DATAGRAM_ASK, pd_buf_str(&payload), &owner);
	else
		pd_cluster_send_to_source(cluster, PD_DATAGRAM_ASK, pd_buf_str(&payload));
	pd_buf_finish(&payload);
}

/* Answers as the owner of the account, or not at all if this instance can't decide. */
static void answer(struct pd_quota_exchange *exchange, struct pd_cluster *cluster,
		   const struct ask_message *message, int64_t now_us)
{
	struct sockaddr_in to = {.sin_family = AF_INET,
				 .sin_addr.s_addr = htonl((uint32_t)message->ip),
				 .sin_port = htons((uint16_t)message->port)};
	struct pd_quota_verdict verdict;
	struct pd_buf payload = {0};

	if (!pd_quota_decide(&exchange->quota, &message->ask, &verdict, now_us))
		return;
	pd_datagram_put_uint(&payload, message->ask.account);
	pd_datagram_put_uint(&payload, message->ask.nonce);
	pd_datagram_put_uint(&payload, verdict.admitted);
	pd_datagram_put_uint(&payload, (uint64_t)verdict.wait_us);
	pd_datagram_put_uint(&payload, (uint64_t)(verdict.rate_per_s * FRACTION));
	put_tokens(&payload, verdict.tokens);
	pd_cluster_send(cluster, PD_DATAGRAM_ANSWER, pd_buf_str(&payload), &to);
	pd_buf_finish(&payload);
	send_news(exchange, cluster, true, now_us);
}

static void receive_ask(struct pd_quota_exchange *exchange, struct pd_cluster *cluster,
			const struct pd_datagram *datagram, int64_t now_us)
{
	struct ask_message message;
	struct pd_cluster_view view;
	struct sockaddr_in owner;
	struct pd_buf payload = {0};

	if (!get_ask(datagram->payload, &message))
		return;
	pd_cluster_view(cluster, now_us, &view);
	if (!view.is_head) {
		pd_cluster_forward_to_source(cluster, datagram);
		return;
	}
	/* Heads that hear different heads for a moment would pass it on in a circle. */
	if (message.routed ||
	    !pd_cluster_find_owner(cluster, message.ask.account, now_us, &owner)) {
		answer(exchange, cluster, &message, now_us);
		return;
	}
	message.routed = true;
	put_ask(&payload, &message);
	pd_cluster_send(cluster, PD_DATAGRAM_ASK, pd_buf_str(&payload), &owner);
	pd_buf_finish(&payload);
}

static struct pd_quota_question *find_question(struct pd_quota_exchange *exchange, uint64_t nonce)
{
	struct pd_quota_question *question = exchange->questions;

	while (question && question->ask.nonce != nonce)
		question = question->next;
	return question;
}

/* Reads the verdict of an answer; false if it is malformed. */
static bool get_verdict(struct pd_datagram_reader *reader, struct pd_quota_verdict *verdict)
{
	uint64_t admitted = pd_datagram_get_uint(reader);
	uint64_t wait = pd_datagram_get_uint(reader);

	*verdict = (struct pd_quota_verdict){.admitted = admitted,
					     .wait_us = (int64_t)wait,
					     .basis = PD_QUOTA_BASIS_OWNER,
					     .share = 1};
	if (reader->failed || admitted > 1 || wait >= NUMBER_MAX)
		return false;
	if (!pd_datagram_reader_at_end(reader)) {
		verdict->rate_per_s = (double)pd_datagram_get_uint(reader) / FRACTION;
		verdict->tokens = get_tokens(reader);
	}
	return !reader->failed && verdict->rate_per_s < (double)NUMBER_MAX / FRACTION &&
	       verdict->tokens < TOKENS_MAX;
}

static void receive_answer(struct pd_quota_exchange *exchange, const struct pd_datagram *datagram,
			   int64_t now_us)
{
	struct pd_quota_question *question;
	struct pd_quota_verdict verdict;
	struct pd_datagram_reader reader;
	uint64_t account, nonce;
	bool is_late;

	pd_datagram_reader_init(&reader, datagram->payload);
	account = pd_datagram_get_uint(&reader);
	nonce = pd_datagram_get_uint(&reader);
	if (!get_verdict(&reader, &verdict))
		return;
	pthread_mutex_lock(&exchange->lock);
	question = find_question(exchange, nonce);
	is_late = !question;
	if (question && question->ask.account == account && !question->answered) {
		question->answered = true;
		question->verdict = verdict;
		question->owner = datagram->sender;
		pthread_cond_broadcast(&exchange->changed);
	}
	pthread_mutex_unlock(&exchange->lock);
	if (is_late && verdict.admitted)
		pd_quota_give_back(&exchange->quota, account, now_us);
}

/* Whether another question for the account may be sent. */
static bool may_send(const struct pd_quota_exchange *exchange, uint64_t account)
{
	size_t sent = 0;

	for (const struct pd_quota_question *q = exchange->questions; q; q = q->next)
		sent += q->sent && q->ask.account == account;
	return sent < PD_QUOTA_ASKS_MAX;
}

/* Sends a question when it is its turn, and waits for the answer, at most until @deadline_us. */
static bool wait_for_answer(struct pd_quota_exchange *exchange, struct pd_cluster *cluster,
			    struct pd_quota_question *question, bool is_head, int64_t deadline_us)
{
	struct pd_quota_question **link = &exchange->questions;
	int64_t repeat_us = 0;

	pthread_mutex_lock(&exchange->lock);
	question->next = exchange->questions;
	exchange->questions = question;
	while (!question->answered && pd_os_now_us() < deadline_us) {
		int64_t now_us = pd_os_now_us();
		int64_t until_us = deadline_us;

		if (!question->sent)
			question->sent = may_send(exchange, question->ask.account);
		if (question->sent && now_us >= repeat_us) {
			send_ask(cluster, &question->ask, is_head, pd_os_boot_us());
			repeat_us = now_us + ANSWER_REPEAT_US;
		}
		if (question->sent && repeat_us < until_us)
			until_us = repeat_us;
		pd_os_cond_wait_until(&exchange->changed, &exchange->lock, until_us);
	}
	while (*link != question)
		link = &(*link)->next;
	*link = question->next;
	pthread_cond_broadcast(&exchange->changed);
	pthread_mutex_unlock(&exchange->lock);
	return question->answered;
}

/* Asks the owner of an account; returns whether it decided, or why not. */
static enum pd_quota_basis ask_owner(struct pd_quota_exchange *exchange, struct pd_cluster *cluster,
				     struct pd_quota_question *question, int64_t timeout_us)
{
	int64_t now_us = pd_os_boot_us();
	struct pd_cluster_view view;
	struct sockaddr_in owner;

	pd_count(PD_COUNT_quota_asked);
	pd_cluster_view(cluster, now_us, &view);
	if (view.is_head &&
	    !pd_cluster_find_owner(cluster, question->ask.account, now_us, &owner)) {
		question->owner = cluster->name;
		return pd_quota_decide(&exchange->quota, &question->ask, &question->verdict, now_us)
			       ? PD_QUOTA_BASIS_OWNER
			       : PD_QUOTA_BASIS_UNDECIDED;
	}
	if (timeout_us > ANSWER_TIMEOUT_US)
		timeout_us = ANSWER_TIMEOUT_US;
	if (wait_for_answer(exchange, cluster, question, view.is_head, pd_os_now_us() + timeout_us))
		return PD_QUOTA_BASIS_OWNER;
	pd_count(PD_COUNT_quota_unanswered);
	return PD_QUOTA_BASIS_UNANSWERED;
}

bool pd_quota_exchange_asks(struct pd_quota_exchange *exchange, const struct pd_account *account)
{
	struct pd_quota_ask ask;

	return pd_quota_ask(&exchange->quota, account, &ask, pd_os_boot_us());
}

struct pd_quota_decision pd_quota_exchange_admit(struct pd_quota_exchange *exchange,
						 struct pd_cluster *cluster,
						 const struct pd_account *account,
						 int64_t timeout_us)
{
	struct pd_quota_question question = {0};
	struct pd_quota_decision decision = {0};
	enum pd_quota_basis basis;

	if (!pd_quota_ask(&exchange->quota, account, &question.ask, pd_os_boot_us())) {
		decision.verdict = pd_quota_admit(&exchange->quota, account, pd_os_boot_us());
		return decision;
	}
	basis = ask_owner(exchange, cluster, &question, timeout_us);
	if (basis != PD_QUOTA_BASIS_OWNER) {
		decision.verdict = pd_quota_admit(&exchange->quota, account, pd_os_boot_us());
		decision.verdict.basis = basis;
		return decision;
	}
	decision.verdict = question.verdict;
	decision.owner = question.owner;
	if (decision.verdict.admitted) {
		pd_quota_count(&exchange->quota, account, pd_os_boot_us());
		decision.counted = true;
	}
	return decision;
}

static const char *basis_name(enum pd_quota_basis basis)
{
	switch (basis) {
	case PD_QUOTA_BASIS_OWNER:
		return "owner";
	case PD_QUOTA_BASIS_NOT_LOW:
		return "not_low";
	case PD_QUOTA_BASIS_SILENT:
		return "source_silent";
	case PD_QUOTA_BASIS_UNANSWERED:
		return "unanswered";
	case PD_QUOTA_BASIS_UNDECIDED:
		return "undecided";
	}
	return "unlisted";
}

/* Returns the start of a text that is chosen by others, so that the fields after it fit into the
 * line. */
static struct pd_str clip(struct pd_str s)
{
	return (struct pd_str){s.data, s.len < LOGGED_MAX_BYTES ? s.len : LOGGED_MAX_BYTES};
}

void pd_quota_exchange_log_refusal(struct pd_quota_exchange *exchange,
				   const struct pd_account *account, struct pd_str request_id,
				   const struct pd_quota_decision *decision)
{
	const struct pd_quota_verdict *verdict = &decision->verdict;
	bool by_owner = verdict->basis == PD_QUOTA_BASIS_OWNER;

	pd_log(PD_LOG_INFO, "quota_refused",
	       "id=%.*s account=%.*s wait_ms=%" PRId64
	       " limit_per_s=%.2f rate_per_s=%.2f tokens=%.2f share=%.2f basis=%s owner=%s",
	       PD_STR_ARG(clip(request_id)), PD_STR_ARG(clip(account->name)),
	       verdict->wait_us / PD_USEC_PER_MSEC, pd_quota_limit_per_s(&exchange->quota, account),
	       verdict->rate_per_s, verdict->tokens, verdict->share, basis_name(verdict->basis),
	       by_owner ? decision->owner.text : "none");
}

void pd_quota_exchange_receive(struct pd_quota_exchange *exchange, struct pd_cluster *cluster,
			       const struct pd_datagram *datagram, int64_t now_us)
{
	if (!exchange->enabled)
		return;
	switch (datagram->kind) {
	case PD_DATAGRAM_QUOTA:
		receive_news(exchange, cluster, datagram, now_us);
		break;
	case PD_DATAGRAM_ASK:
		receive_ask(exchange, cluster, datagram, now_us);
		break;
	case PD_DATAGRAM_ANSWER:
		receive_answer(exchange, datagram, now_us);
		break;
	default:
		receive_reports(exchange, datagram, now_us);
		send_news(exchange, cluster, true, now_us);
		break;
	}
}
