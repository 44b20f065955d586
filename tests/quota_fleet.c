#include "quota_fleet.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define TICK_STEPS	10 /* 50 ms */
#define PING_STEPS	100
#define HEAD_STEPS	50
#define RUN_STEPS_MAX	20000
#define FIND_US		(1300 * PD_USEC_PER_MSEC)
#define HEAD_TIMEOUT_US (600 * PD_USEC_PER_MSEC)
#define PING_TIMEOUT_US (1100 * PD_USEC_PER_MSEC)
#define ZONE_DELAY_US	(1 * PD_USEC_PER_MSEC)
#define OTHER_DELAY_US	(10 * PD_USEC_PER_MSEC)
#define JITTER_US	(30 * PD_USEC_PER_MSEC)
#define ASK_TIMEOUT_US	(40 * PD_USEC_PER_MSEC)
#define ASK_REPEAT_US	(15 * PD_USEC_PER_MSEC)
#define HOPS_MAX	8
/* A client that is refused again and again gives up. */
#define RETURNS_MAX 3

enum fleet_kind {
	FLEET_PING,
	FLEET_PONG,
	FLEET_HEAD,
	FLEET_REPORT,
	FLEET_NEWS,
	FLEET_ASK,
	FLEET_ANSWER,
};

struct quota_fleet_message {
	enum fleet_kind kind;
	int from;
	int to;
	size_t followers;
	unsigned int zones;
	struct pd_quota_report report;
	struct pd_quota_news news;
	struct pd_quota_ask ask;
	struct pd_quota_verdict verdict;
	int asker;
	bool routed;
	int hops;
	struct quota_fleet_message *next;
};

static const struct pd_quota_bounds BOUNDS = {.window_s = 5, .overage = 0.1, .slack = 20};
static uint64_t random_state;

double quota_fleet_uniform(void)
{
	random_state ^= random_state << 13;
	random_state ^= random_state >> 7;
	random_state ^= random_state << 17;
	return (double)(random_state >> 11) * 0x1p-53;
}

static int64_t step_of(const struct quota_fleet *fleet)
{
	return fleet->now_us / QUOTA_FLEET_STEP_US;
}

static bool reaches(const struct quota_fleet *fleet, int a, int b)
{
	int zone_a = a % QUOTA_FLEET_ZONES, zone_b = b % QUOTA_FLEET_ZONES;

	if (fleet->apart &&
	    (zone_a - zone_b == QUOTA_FLEET_ZONES - 1 || zone_b - zone_a == QUOTA_FLEET_ZONES - 1))
		return false;
	return fleet->members[a].side == fleet->members[b].side;
}

static void put_on_line(struct quota_fleet *fleet, const struct quota_fleet_message *message)
{
	struct quota_fleet_message *copy = malloc(sizeof(*copy));
	bool same_zone = message->from % QUOTA_FLEET_ZONES == message->to % QUOTA_FLEET_ZONES;
	int64_t delay = same_zone ? ZONE_DELAY_US : fleet->delay_us;
	int64_t step;

	delay +=
		(int64_t)(quota_fleet_uniform() * quota_fleet_uniform() * (double)fleet->jitter_us);
	step = step_of(fleet) + 1 + delay / QUOTA_FLEET_STEP_US;
	*copy = *message;
	copy->next = fleet->line[step % QUOTA_FLEET_LINE_STEPS];
	fleet->line[step % QUOTA_FLEET_LINE_STEPS] = copy;
}

static void send_message(struct quota_fleet *fleet, const struct quota_fleet_message *message)
{
	fleet->messages++;
	fleet->shares += message->from % QUOTA_FLEET_ZONES != message->to % QUOTA_FLEET_ZONES;
	if (!reaches(fleet, message->from, message->to) || quota_fleet_uniform() < fleet->loss)
		return;
	put_on_line(fleet, message);
	if (quota_fleet_uniform() < fleet->loss)
		put_on_line(fleet, message);
}

struct quota_fleet *quota_fleet_new(int count, const double *rates, uint64_t seed)
{
	struct quota_fleet *fleet = calloc(1, sizeof(*fleet));

	random_state = seed * 0x9e3779b97f4a7c15ULL | 1;
	fleet->count = count;
	fleet->now_us = PD_USEC_PER_SEC;
	fleet->asks = true;
	fleet->delay_us = OTHER_DELAY_US;
	fleet->jitter_us = JITTER_US;
	for (int a = 0; a < QUOTA_FLEET_ACCOUNTS; a++) {
		fleet->accounts[a] = (struct pd_account){
			.hash = (uint64_t)(a + 1) << 32, .rate_per_s = rates[a], .burst = rates[a]};
		fleet->sent[a] = calloc(RUN_STEPS_MAX, sizeof(*fleet->sent[a]));
	}
	for (int i = 0; i < count; i++) {
		pd_quota_init(&fleet->members[i].quota, &BOUNDS, 1);
		quota_fleet_restart(fleet, i);
		fleet->members[i].source = i % QUOTA_FLEET_ZONES;
	}
	return fleet;
}

void quota_fleet_free(struct quota_fleet *fleet)
{
	for (int i = 0; i < QUOTA_FLEET_LINE_STEPS; i++) {
		while (fleet->line[i]) {
			struct quota_fleet_message *message = fleet->line[i];

			fleet->line[i] = message->next;
			free(message);
		}
	}
	for (int i = 0; i < fleet->count; i++)
		pd_quota_finish(&fleet->members[i].quota);
	for (int a = 0; a < QUOTA_FLEET_ACCOUNTS; a++)
		free(fleet->sent[a]);
	free(fleet);
}

void quota_fleet_restart(struct quota_fleet *fleet, int member)
{
	struct quota_fleet_member *m = &fleet->members[member];
	uint64_t processes = m->processes + 1;
	int side = m->side;

	pd_quota_finish(&m->quota);
	memset(m, 0, sizeof(*m));
	m->processes = processes;
	m->side = side;
	m->source = member;
	pd_quota_init(&m->quota, &BOUNDS, ((uint64_t)member << 20) + processes * 77 + 1);
	pd_quota_set_limits(&m->quota, fleet->accounts, QUOTA_FLEET_ACCOUNTS, fleet->now_us);
}

static bool heard_within(const struct quota_fleet *fleet, int member, int other, int64_t timeout_us)
{
	int64_t heard_us = fleet->members[member].heard_us[other];

	return heard_us && fleet->now_us - heard_us <= timeout_us;
}

static size_t count_followers(const struct quota_fleet *fleet, int member)
{
	size_t count = 0;

	for (int i = 0; i < fleet->count; i++)
		count += i != member && fleet->members[i].source == member &&
			 heard_within(fleet, member, i, PING_TIMEOUT_US);
	return count;
}

static void state_fleet(struct quota_fleet *fleet, int member)
{
	struct quota_fleet_member *m = &fleet->members[member];
	bool zones[QUOTA_FLEET_ZONES] = {false};
	bool is_head = m->source == member;
	unsigned int stated = 0;
	struct pd_quota_fleet view = {
		.is_head = is_head,
		.source_heard_us = m->heard_us[m->source],
		.instances = (size_t)fleet->count,
		.zones = QUOTA_FLEET_ZONES,
		.heard_covered = 1 + count_followers(fleet, member),
		.links = is_head ? 0 : (uint64_t)m->source + 1,
	};

	zones[member % QUOTA_FLEET_ZONES] = true;
	for (int i = 0; is_head && i < fleet->count; i++) {
		if (i == member || fleet->members[i].source != i ||
		    !heard_within(fleet, member, i, HEAD_TIMEOUT_US))
			continue;
		zones[i % QUOTA_FLEET_ZONES] = true;
		stated |= m->zones_stated[i];
		view.heard_covered += 1 + m->followers[i];
		view.links ^= ((uint64_t)i << 32) + fleet->members[i].processes;
	}
	for (int i = 0; i < fleet->count; i++)
		view.heard_instances += zones[i % QUOTA_FLEET_ZONES];
	m->zones = 0;
	for (int z = 0; z < QUOTA_FLEET_ZONES; z++) {
		view.zones_heard += zones[z];
		m->zones |= (unsigned int)zones[z] << z;
	}
	view.in_part = stated & ~m->zones;
	pd_quota_set_fleet(&m->quota, &view, fleet->now_us);
}

/* Follows the first member of the zone that is reached and runs, FIND_US after the source is lost.
 */
static void find_source(struct quota_fleet *fleet, int member)
{
	struct quota_fleet_member *m = &fleet->members[member];
	int first = member % QUOTA_FLEET_ZONES;

	while (first < member && (fleet->members[first].stopped || !reaches(fleet, member, first)))
		first += QUOTA_FLEET_ZONES;
	if (m->source == first)
		m->lost_us = 0;
	else if (!m->lost_us)
		m->lost_us = fleet->now_us;
	else if (fleet->now_us - m->lost_us >= FIND_US)
		m->source = first;
}

static void send_to_others(struct quota_fleet *fleet, struct quota_fleet_message *message,
			   bool heads)
{
	for (int i = 0; i < fleet->count; i++) {
		int source = fleet->members[i].source;

		message->to = i;
		if (i != message->from && (heads ? source == i : source == message->from))
			send_message(fleet, message);
	}
}

static void send_news(struct quota_fleet *fleet, int member, bool urgent)
{
	struct quota_fleet_member *m = &fleet->members[member];
	struct quota_fleet_message message = {.kind = FLEET_NEWS, .from = member};
	struct pd_quota_news news[QUOTA_FLEET_ACCOUNTS];
	size_t count =
		pd_quota_take_news(&m->quota, news, QUOTA_FLEET_ACCOUNTS, urgent, fleet->now_us);

	m->sequence += count > 0;
	for (size_t i = 0; i < count; i++) {
		message.news = news[i];
		message.news.head = (m->processes << 32) + (uint64_t)member;
		message.news.sequence = m->sequence;
		send_to_others(fleet, &message, false);
	}
}

static void send_reports(struct quota_fleet *fleet, int member)
{
	struct quota_fleet_member *m = &fleet->members[member];
	struct pd_quota_report reports[16];
	size_t count;

	do {
		count = pd_quota_take_reports(&m->quota, reports, 16, fleet->now_us);
		for (size_t i = 0; i < count; i++) {
			struct quota_fleet_message message = {.kind = FLEET_REPORT,
							      .from = member,
							      .to = m->source,
							      .report = reports[i]};

			if (m->source == member)
				send_to_others(fleet, &message, true);
			else
				send_message(fleet, &message);
		}
	} while (count == 16);
}

static void tick(struct quota_fleet *fleet, int member)
{
	struct quota_fleet_member *m = &fleet->members[member];
	struct quota_fleet_message message = {.from = member, .to = m->source};
	int64_t step = step_of(fleet) + member;

	find_source(fleet, member);
	message.kind = FLEET_PING;
	if (m->source != member && step % PING_STEPS < TICK_STEPS)
		send_message(fleet, &message);
	message.kind = FLEET_HEAD;
	message.followers = count_followers(fleet, member);
	message.zones = m->zones;
	if (m->source == member && step % HEAD_STEPS < TICK_STEPS)
		send_to_others(fleet, &message, true);
	state_fleet(fleet, member);
	send_reports(fleet, member);
	send_news(fleet, member, false);
}

/* Returns the head that owns an account by what another head hears. */
static int find_owner(const struct quota_fleet *fleet, int member, uint64_t account)
{
	int owner = member;

	for (int i = 0; i < fleet->count; i++) {
		if (fleet->members[i].source == i &&
		    heard_within(fleet, member, i, HEAD_TIMEOUT_US) &&
		    pd_quota_owner_weight(account, (uint64_t)i) >
			    pd_quota_owner_weight(account, (uint64_t)owner))
			owner = i;
	}
	return owner;
}

static void receive_ask(struct quota_fleet *fleet, const struct quota_fleet_message *message);
static void receive_answer(struct quota_fleet *fleet, const struct quota_fleet_message *message);

static void receive(struct quota_fleet *fleet, const struct quota_fleet_message *message)
{
	struct quota_fleet_member *m = &fleet->members[message->to];
	struct quota_fleet_message pong = {
		.kind = FLEET_PONG, .from = message->to, .to = message->from};
	bool local = message->from % QUOTA_FLEET_ZONES == message->to % QUOTA_FLEET_ZONES &&
		     fleet->members[message->from].source == message->to;

	if (m->stopped)
		return;
	if (message->kind == FLEET_PING || message->kind == FLEET_PONG ||
	    message->kind == FLEET_HEAD)
		m->heard_us[message->from] = fleet->now_us;
	switch (message->kind) {
	case FLEET_PING:
		send_message(fleet, &pong);
		break;
	case FLEET_HEAD:
		m->followers[message->from] = message->followers;
		m->zones_stated[message->from] = message->zones;
		break;
	case FLEET_REPORT:
		pd_quota_receive_report(&m->quota, &message->report, local, fleet->now_us);
		send_news(fleet, message->to, true);
		break;
	case FLEET_NEWS:
		pd_quota_receive_news(&m->quota, &message->news, fleet->now_us);
		break;
	case FLEET_ASK:
		receive_ask(fleet, message);
		break;
	case FLEET_ANSWER:
		receive_answer(fleet, message);
		break;
	case FLEET_PONG:
		break;
	}
}

static struct quota_fleet_request *find_unused(struct quota_fleet_request *requests, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		if (!requests[i].used)
			return &requests[i];
	}
	return NULL;
}

/* Ends a request by its verdict, of which the use is counted if it is admitted. */
static void finish_request(struct quota_fleet *fleet, const struct quota_fleet_request *request,
			   struct pd_quota_verdict verdict)
{
	const struct pd_account *account = &fleet->accounts[request->account];
	struct quota_fleet_request *client;
	int a = request->account;

	if (verdict.admitted) {
		pd_quota_count(&fleet->members[request->member].quota, account, fleet->now_us);
		fleet->sent[a][step_of(fleet)]++;
		fleet->ideal[a]--;
		return;
	}
	fleet->refused[a]++;
	fleet->wronged[a] += fleet->ideal[a] >= 1 + fleet->margin_s * account->rate_per_s;
	fleet->returned_refused[a] += request->returns > 0;
	client = find_unused(fleet->clients, QUOTA_FLEET_CLIENTS_MAX);
	if (fleet->comes_back && client && request->returns < RETURNS_MAX)
		*client = (struct quota_fleet_request){.used = true,
						       .member = request->member,
						       .account = a,
						       .due_us = fleet->now_us + verdict.wait_us,
						       .returns = request->returns + 1};
}

/* Sends a question to the source of a member, or as a head to the owner, or decides it. */
static void send_ask(struct quota_fleet *fleet, int member,
		     const struct quota_fleet_message *question)
{
	struct quota_fleet_message message = *question;
	struct pd_quota *quota = &fleet->members[member].quota;
	int owner = member;

	message.kind = FLEET_ASK;
	message.from = member;
	message.to = fleet->members[member].source;
	if (message.to == member && !message.routed) {
		owner = find_owner(fleet, member, message.ask.account);
		message.to = owner;
		message.routed = true;
	}
	if (message.to != member) {
		if (++message.hops <= HOPS_MAX)
			send_message(fleet, &message);
		return;
	}
	if (!pd_quota_decide(quota, &message.ask, &message.verdict, fleet->now_us))
		return;
	message.kind = FLEET_ANSWER;
	message.to = message.asker;
	if (message.asker == member)
		receive_answer(fleet, &message);
	else
		send_message(fleet, &message);
	send_news(fleet, member, true);
}

static void receive_ask(struct quota_fleet *fleet, const struct quota_fleet_message *message)
{
	send_ask(fleet, message->to, message);
}

static void receive_answer(struct quota_fleet *fleet, const struct quota_fleet_message *message)
{
	for (size_t i = 0; i < QUOTA_FLEET_WAITING_MAX; i++) {
		struct quota_fleet_request *request = &fleet->waiting[i];

		if (request->used && request->ask.nonce == message->ask.nonce) {
			request->used = false;
			finish_request(fleet, request, message->verdict);
			return;
		}
	}
	if (message->verdict.admitted)
		pd_quota_give_back(&fleet->members[message->to].quota, message->ask.account,
				   fleet->now_us);
}

static void ask(struct quota_fleet *fleet, const struct quota_fleet_request *request)
{
	struct quota_fleet_message message = {.ask = request->ask, .asker = request->member};

	send_ask(fleet, request->member, &message);
}

/* Repeats questions, and ends requests that weren't answered in time. */
static void check_waiting(struct quota_fleet *fleet)
{
	for (size_t i = 0; i < QUOTA_FLEET_WAITING_MAX; i++) {
		struct quota_fleet_request *request = &fleet->waiting[i];
		struct pd_quota *quota = &fleet->members[request->member].quota;
		int64_t left_us = request->due_us - fleet->now_us;

		if (!request->used || fleet->members[request->member].stopped)
			continue;
		if (left_us > 0) {
			if (left_us % ASK_REPEAT_US == ASK_TIMEOUT_US % ASK_REPEAT_US &&
			    left_us < ASK_TIMEOUT_US)
				ask(fleet, request);
			continue;
		}
		fleet->unanswered++;
		request->used = false;
		finish_request(
			fleet, request,
			pd_quota_admit(quota, &fleet->accounts[request->account], fleet->now_us));
	}
}

static void check_clients(struct quota_fleet *fleet)
{
	for (size_t i = 0; i < QUOTA_FLEET_CLIENTS_MAX; i++) {
		struct quota_fleet_request *client = &fleet->clients[i];

		if (!client->used || client->due_us > fleet->now_us)
			continue;
		client->used = false;
		fleet->returned[client->account]++;
		quota_fleet_request(fleet, client->member, client->account, client->returns);
	}
}

void quota_fleet_request(struct quota_fleet *fleet, int member, int account, int returns)
{
	struct quota_fleet_request request = {.used = true,
					      .member = member,
					      .account = account,
					      .due_us = fleet->now_us + ASK_TIMEOUT_US,
					      .returns = returns};
	struct pd_quota *quota = &fleet->members[member].quota;
	struct quota_fleet_request *waiting = find_unused(fleet->waiting, QUOTA_FLEET_WAITING_MAX);

	fleet->offered[account]++;
	if (fleet->asks && waiting &&
	    pd_quota_ask(quota, &fleet->accounts[account], &request.ask, fleet->now_us)) {
		fleet->asked++;
		*waiting = request;
		ask(fleet, waiting);
		return;
	}
	finish_request(fleet, &request,
		       pd_quota_admit(quota, &fleet->accounts[account], fleet->now_us));
}

void quota_fleet_run(struct quota_fleet *fleet, double seconds, const double *per_s, int from,
		     int to, int stride)
{
	int64_t end = fleet->now_us + (int64_t)(seconds * PD_USEC_PER_SEC);
	int members = (to - from) / stride;

	for (; fleet->now_us < end; fleet->now_us += QUOTA_FLEET_STEP_US) {
		struct quota_fleet_message **slot =
			&fleet->line[step_of(fleet) % QUOTA_FLEET_LINE_STEPS];

		while (*slot) {
			struct quota_fleet_message *message = *slot;

			*slot = message->next;
			receive(fleet, message);
			free(message);
		}
		for (int i = 0; i < fleet->count; i++) {
			if (!fleet->members[i].stopped && (step_of(fleet) + i) % TICK_STEPS == 0)
				tick(fleet, i);
		}
		check_waiting(fleet);
		check_clients(fleet);
		for (int a = 0; a < QUOTA_FLEET_ACCOUNTS; a++) {
			double rate = fleet->accounts[a].rate_per_s;

			if (rate <= 0)
				continue;
			rate = pd_quota_enforced_rate(&BOUNDS, rate, rate);
			fleet->ideal[a] = fmin(fleet->ideal[a] + rate * QUOTA_FLEET_STEP_US / 1e6,
					       fmax(fleet->accounts[a].burst, 1));
			/* At most one request per step. */
			int member = from + stride * (int)(quota_fleet_uniform() * members);

			if (quota_fleet_uniform() <
				    per_s[a] * QUOTA_FLEET_STEP_US / PD_USEC_PER_SEC &&
			    !fleet->members[member].stopped)
				quota_fleet_request(fleet, member, a, 0);
		}
	}
}

size_t quota_fleet_window_max(const struct quota_fleet *fleet, int account, double window_s)
{
	int64_t window = (int64_t)(window_s * PD_USEC_PER_SEC) / QUOTA_FLEET_STEP_US;
	size_t sum = 0, most = 0;

	for (int64_t i = 0; i < step_of(fleet); i++) {
		sum += fleet->sent[account][i];
		if (i >= window)
			sum -= fleet->sent[account][i - window];
		most = sum > most ? sum : most;
	}
	return most;
}
