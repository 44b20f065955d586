#include <stdio.h>

#include "fair_share.h"
#include "quota_fleet.h"
#include "suite.h"

#define MEMBERS 130
#define SEEDS	10

enum { NOISY_20, NOISY_11, NOISY_5, NOISY_3, USUAL_20, USUAL_5, USUAL_03, NEAR_3 };

/* NEAR_3 sends more than its quota, and less than the bound of a window allows. */
static const double rates[QUOTA_FLEET_ACCOUNTS] = {20, 11, 5, 3, 20, 5, 0.3, 3};
static const double usual[QUOTA_FLEET_ACCOUNTS] = {12, 6.9, 3.1, 1.9, 12, 3.1, 0.05, 4.6};
static const double noisy[QUOTA_FLEET_ACCOUNTS] = {84, 48, 22, 13, 12, 3.1, 0.05, 4.6};

/**
 * struct fleet_case - a load and a failure
 * @name: name, for the output
 * @count: number of instances
 * @loss: share of the messages that are lost, and that are doubled
 * @lead_s: time for which the account is noisy before the failure
 * @noisy_s: time for which it is noisy afterwards; 0 for a usual load during 8 s
 * @stopped: number of heads that are suspended
 * @wake_s: time after which they continue; 0 for never
 * @cut: 1 for a zone and 2 for 30% of all instances that are cut off from the others, 3 for these
 *	30% each by itself
 * @apart: the first and the last zone don't reach each other, and both reach the other zone
 * @heal_s: time after which they are connected again; 0 for never
 * @restart: number of instances that restart
 * @one: the noisy requests come to one instance
 * @moves: they come to one zone and after half of the time to another one
 * @loss_max: share of the usual requests that may be refused although there are tokens
 */
struct fleet_case {
	const char *name;
	int count;
	double loss;
	double lead_s;
	double noisy_s;
	int stopped;
	double wake_s;
	int cut;
	bool apart;
	double heal_s;
	int restart;
	bool one;
	bool moves;
	double loss_max;
};

static void cut(struct quota_fleet *fleet, int kind)
{
	for (int i = 0; i < fleet->count; i++) {
		if (kind == 1 ? i % QUOTA_FLEET_ZONES == 0 : i % 10 < 3)
			fleet->members[i].side = kind == 3 ? i + 1 : 1;
	}
}

static void run_load(struct quota_fleet *fleet, const struct fleet_case *c, double seconds)
{
	const double *per_s = c->noisy_s > 0 ? noisy : usual;
	int end = fleet->count - fleet->count % QUOTA_FLEET_ZONES;

	if (c->moves) {
		quota_fleet_run(fleet, seconds / 2, per_s, 0, end, QUOTA_FLEET_ZONES);
		quota_fleet_run(fleet, seconds / 2, per_s, 1, end + 1, QUOTA_FLEET_ZONES);
	} else if (c->one) {
		quota_fleet_run(fleet, seconds, per_s, 40, 41, 1);
	} else {
		quota_fleet_run(fleet, seconds, per_s, 0, fleet->count, 1);
	}
}

static void begin_failure(struct quota_fleet *fleet, const struct fleet_case *c)
{
	for (int i = 0; i < c->stopped; i++)
		fleet->members[i].stopped = true;
	if (c->cut)
		cut(fleet, c->cut);
	fleet->apart = c->apart;
	for (int i = 0; i < c->restart; i++)
		quota_fleet_restart(fleet, i);
}

static void end_failure(struct quota_fleet *fleet)
{
	for (int i = 0; i < fleet->count; i++) {
		fleet->members[i].stopped = false;
		fleet->members[i].side = 0;
	}
	fleet->apart = false;
}

/**
 * struct fleet_result - result of a case over all seeds
 * @most: greatest number of requests of each noisy account in a window
 * @offered: number of usual requests
 * @wronged: number of these that were refused although one bucket for all had a token
 */
struct fleet_result {
	size_t most[USUAL_20];
	size_t offered;
	size_t wronged;
};

static void play(const struct fleet_case *c, uint64_t seed, struct fleet_result *result)
{
	double fail_s = c->wake_s + c->heal_s, left_s = c->noisy_s > 0 ? c->noisy_s : 8;
	struct quota_fleet *fleet = quota_fleet_new(c->count, rates, seed);

	fleet->loss = c->loss;
	quota_fleet_run(fleet, 9, usual, 0, fleet->count, 1);
	for (int a = 0; a < QUOTA_FLEET_ACCOUNTS; a++)
		fleet->wronged[a] = fleet->offered[a] = 0;
	if (c->lead_s > 0)
		run_load(fleet, c, c->lead_s);
	begin_failure(fleet, c);
	if (fail_s > 0) {
		run_load(fleet, c, fail_s);
		end_failure(fleet);
	}
	run_load(fleet, c, left_s - fail_s);
	quota_fleet_run(fleet, 4, usual, 0, fleet->count, 1);
	for (int a = 0; a < USUAL_20; a++) {
		size_t most = quota_fleet_window_max(fleet, a, 5);

		result->most[a] = most > result->most[a] ? most : result->most[a];
	}
	for (int a = USUAL_20; a <= USUAL_03; a++) {
		result->offered += fleet->offered[a];
		result->wronged += fleet->wronged[a];
	}
	quota_fleet_free(fleet);
}

/* Returns the number of requests that an account may send in a window. */
static double bound_of(double rate)
{
	return (rate * 5 + rate) * 1.1 + 20;
}

static void check_case(const struct fleet_case *c)
{
	struct fleet_result result = {0};

	for (uint64_t seed = 1; seed <= SEEDS; seed++)
		play(c, seed, &result);
	printf("%s: %zu of %zu usual requests refused wrongly; at most in a window:", c->name,
	       result.wronged, result.offered);
	for (int a = 0; a < USUAL_20; a++)
		printf(" %zu of %.1f", result.most[a], bound_of(rates[a]));
	printf("\n");
	for (int a = 0; a < USUAL_20; a++)
		ck_assert_msg((double)result.most[a] <= bound_of(rates[a]),
			      "%s: %zu requests in a window, rate %g", c->name, result.most[a],
			      rates[a]);
	ck_assert_msg((double)result.wronged <= c->loss_max * (double)result.offered,
		      "%s: %zu of %zu refused", c->name, result.wronged, result.offered);
}

START_TEST(connected_fleet_keeps_to_the_quota)
{
	/* Guards against more requests of a noisy account than its quota, and against refusals of
	 * the other accounts. Lost datagrams may delay the news of an empty bucket. */
	static const struct fleet_case cases[] = {
		{.name = "usual load", .count = MEMBERS, .loss = 0.02, .loss_max = 0.005},
		{.name = "noisy", .count = MEMBERS, .loss = 0.02, .noisy_s = 6, .loss_max = 0.005},
		{.name = "noisy, 5% lost",
		 .count = MEMBERS,
		 .loss = 0.05,
		 .noisy_s = 6,
		 .loss_max = 0.005},
		{.name = "noisy at one instance",
		 .count = MEMBERS,
		 .loss = 0.02,
		 .noisy_s = 6,
		 .one = true,
		 .loss_max = 0.005},
		{.name = "noisy, moves to another zone",
		 .count = MEMBERS,
		 .loss = 0.02,
		 .noisy_s = 6,
		 .moves = true,
		 .loss_max = 0.005},
		{.name = "noisy, 300 instances",
		 .count = 300,
		 .loss = 0.02,
		 .noisy_s = 6,
		 .loss_max = 0.005},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		check_case(&cases[i]);
}
END_TEST

START_TEST(account_below_the_bound_is_served)
{
	/* Guards against refusals of an account that sends 4.6 requests per second with a quota of
	 * 3, while the bound of a window allows 39.8 in 5 s. */
	struct quota_fleet *fleet = quota_fleet_new(MEMBERS, rates, 1);
	double offered, refused, wronged;
	size_t most;

	quota_fleet_run(fleet, 80, usual, 0, MEMBERS, 1);
	most = quota_fleet_window_max(fleet, NEAR_3, 5);
	offered = (double)fleet->offered[NEAR_3];
	refused = (double)fleet->refused[NEAR_3] / offered;
	wronged = (double)fleet->wronged[NEAR_3] / offered;
	printf("4.6 requests per second of 3: %.3f refused, %.3f wrongly, at most %zu in a "
	       "window\n",
	       refused, wronged, most);
	quota_fleet_free(fleet);
	ck_assert((double)most <= bound_of(3));
	/* What the quota alone would refuse of this load. */
	ck_assert(refused < 1 - 3 / 4.6);
}
END_TEST

/**
 * struct return_result - what becomes of the requests of the noisy accounts, and of their clients
 * @offered: number of requests, those of clients that came back included
 * @refused: number of these that were refused
 * @wronged: number of these for which one bucket for all had a token
 * @returned: number of clients that came back at the time they were told
 * @again: number of these that were refused again
 * @most: greatest number of requests in a window
 * @unanswered: number of questions that weren't answered in time
 */
struct return_result {
	double offered;
	double refused;
	double wronged;
	double returned;
	double again;
	size_t most[2];
	size_t unanswered;
};

/* Plays two noisy accounts whose refused clients come back, in a network with delays as measured:
 * 3 ms between zones and up to 4 ms more. */
static struct return_result play_returns(const struct fleet_case *c, bool asks, uint64_t seed)
{
	struct quota_fleet *fleet = quota_fleet_new(c->count, rates, seed);
	struct return_result result = {0};

	fleet->loss = c->loss;
	fleet->asks = asks;
	fleet->comes_back = true;
	fleet->delay_us = 3 * PD_USEC_PER_MSEC;
	fleet->jitter_us = 4 * PD_USEC_PER_MSEC;
	/* A use is reported after up to 0.1 s. */
	fleet->margin_s = 0.1;
	quota_fleet_run(fleet, 9, usual, 0, c->count, 1);
	run_load(fleet, c, c->noisy_s);
	quota_fleet_run(fleet, 60, usual, 0, c->count, 1);
	for (int a = NOISY_20; a <= NOISY_11; a++) {
		result.offered += (double)fleet->offered[a];
		result.refused += (double)fleet->refused[a];
		result.wronged += (double)fleet->wronged[a];
		result.returned += (double)fleet->returned[a];
		result.again += (double)fleet->returned_refused[a];
		result.most[a] = quota_fleet_window_max(fleet, a, 5);
	}
	result.unanswered = fleet->unanswered;
	quota_fleet_free(fleet);
	return result;
}

START_TEST(noisy_account_is_admitted_in_order)
{
	/* Guards against refusals at random while a token is there, against phases of debt, and
	 * against clients that come back at the time they were told and are refused again. */
	static const struct fleet_case cases[] = {
		{.name = "all instances", .count = MEMBERS, .loss = 0.001, .noisy_s = 6},
		{.name = "one instance",
		 .count = MEMBERS,
		 .loss = 0.001,
		 .noisy_s = 6,
		 .one = true},
		{.name = "moves to another zone",
		 .count = MEMBERS,
		 .loss = 0.001,
		 .noisy_s = 6,
		 .moves = true},
	};

	for (size_t i = 0; i < 2 * sizeof(cases) / sizeof(cases[0]); i++) {
		const struct fleet_case *c = &cases[i / 2];
		bool asks = i % 2;
		struct return_result result = play_returns(c, asks, 1);

		printf("noisy, %s, %s: %.3f refused, %.3f wrongly, %.3f of %.0f refused again; at "
		       "most %zu of 152, %zu of 92.6 in a window\n",
		       c->name, asks ? "asks" : "doesn't ask", result.refused / result.offered,
		       result.wronged / result.offered, result.again / result.returned,
		       result.returned, result.most[NOISY_20], result.most[NOISY_11]);
		ck_assert((double)result.most[NOISY_20] <= bound_of(20));
		ck_assert((double)result.most[NOISY_11] <= bound_of(11));
		if (!asks)
			continue;
		ck_assert_uint_eq(result.unanswered, 0);
		ck_assert(result.wronged <= 0.05 * result.offered);
		ck_assert(result.again <= 0.15 * result.returned);
	}
}
END_TEST

START_TEST(failing_heads_keep_the_quota)
{
	/* Guards against a quota that begins anew at another head, or that is charged twice there.
	 * While a zone has no head, a part of its usual requests may be refused. */
	static const struct fleet_case cases[] = {
		{.name = "head dies",
		 .count = MEMBERS,
		 .loss = 0.02,
		 .stopped = 1,
		 .loss_max = 0.1},
		{.name = "head dies, then noisy",
		 .count = MEMBERS,
		 .loss = 0.02,
		 .stopped = 1,
		 .noisy_s = 6,
		 .loss_max = 0.1},
		{.name = "noisy, head dies",
		 .count = MEMBERS,
		 .loss = 0.02,
		 .lead_s = 2,
		 .stopped = 1,
		 .noisy_s = 5,
		 .loss_max = 0.1},
		{.name = "noisy, head is suspended and wakes",
		 .count = MEMBERS,
		 .loss = 0.02,
		 .stopped = 1,
		 .wake_s = 3,
		 .noisy_s = 7,
		 .loss_max = 0.1},
		{.name = "noisy, head restarts at once",
		 .count = MEMBERS,
		 .loss = 0.02,
		 .lead_s = 2,
		 .restart = 1,
		 .noisy_s = 6,
		 .loss_max = 0.1},
		{.name = "noisy, all heads die",
		 .count = MEMBERS,
		 .loss = 0.02,
		 .stopped = 3,
		 .noisy_s = 6,
		 .loss_max = 0.25},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		check_case(&cases[i]);
}
END_TEST

START_TEST(divided_fleet_keeps_the_quota)
{
	/* Guards against parts of a divided fleet that use the whole quota each. The lesser part
	 * of 30% refuses usual requests: it may use what the bound allows beyond the quota only. */
	static const struct fleet_case cases[] = {
		{.name = "zone cut off, noisy",
		 .count = MEMBERS,
		 .loss = 0.02,
		 .cut = 1,
		 .noisy_s = 6,
		 .loss_max = 0.05},
		{.name = "noisy, zone cut off",
		 .count = MEMBERS,
		 .loss = 0.02,
		 .lead_s = 1,
		 .cut = 1,
		 .noisy_s = 6,
		 .loss_max = 0.05},
		{.name = "zone cut off for 3 s, noisy",
		 .count = MEMBERS,
		 .loss = 0.02,
		 .cut = 1,
		 .heal_s = 3,
		 .noisy_s = 6,
		 .loss_max = 0.05},
		{.name = "30% cut off, noisy",
		 .count = MEMBERS,
		 .loss = 0.02,
		 .cut = 2,
		 .noisy_s = 6,
		 .loss_max = 0.3},
		{.name = "noisy, 30% cut off",
		 .count = MEMBERS,
		 .loss = 0.02,
		 .lead_s = 2,
		 .cut = 2,
		 .noisy_s = 6,
		 .loss_max = 0.3},
		{.name = "30% cut off from each other, noisy",
		 .count = MEMBERS,
		 .loss = 0.02,
		 .cut = 3,
		 .noisy_s = 6,
		 .loss_max = 0.3},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		check_case(&cases[i]);
}
END_TEST

START_TEST(zones_that_hear_each_other_in_part_keep_the_quota)
{
	/* Guards against parts that add up to more than the quota, where a hears b, b hears c, and
	 * a doesn't hear c. The zones at the ends don't know each other's use. */
	static const struct fleet_case cases[] = {
		{.name = "two zones apart, noisy",
		 .count = MEMBERS,
		 .loss = 0.02,
		 .apart = true,
		 .noisy_s = 10,
		 .loss_max = 0.05},
		{.name = "noisy, two zones apart",
		 .count = MEMBERS,
		 .loss = 0.02,
		 .lead_s = 2,
		 .apart = true,
		 .noisy_s = 10,
		 .loss_max = 0.05},
		{.name = "two zones apart for 3 s, noisy",
		 .count = MEMBERS,
		 .loss = 0.02,
		 .apart = true,
		 .heal_s = 3,
		 .noisy_s = 6,
		 .loss_max = 0.05},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		check_case(&cases[i]);
}
END_TEST

START_TEST(restart_of_all_refuses_few)
{
	/* Guards against refusals of usual requests while no instance knows the others. */
	static const struct fleet_case restart = {.name = "all restart",
						  .count = MEMBERS,
						  .loss = 0.02,
						  .restart = MEMBERS,
						  .loss_max = 0.05};

	check_case(&restart);
}
END_TEST

/* A head that hears all of one zone, alone in it. */
static const struct pd_quota_fleet alone = {.is_head = true,
					    .instances = 1,
					    .zones = 1,
					    .zones_heard = 1,
					    .heard_instances = 1,
					    .heard_covered = 1};
/* Nothing is allowed beyond rate and burst, so that the rate isn't raised. */
static const struct pd_quota_bounds bounds = {.window_s = 5};
static struct pd_account account = {.hash = 7, .rate_per_s = 2, .burst = 2};
static struct pd_quota quota;
static int64_t now;

static void setup(void)
{
	account.rate_per_s = account.burst = 2;
	now = 100 * PD_USEC_PER_SEC;
	pd_quota_init(&quota, &bounds, 1);
	pd_quota_set_limits(&quota, &account, 1, now);
	pd_quota_set_fleet(&quota, &alone, now);
}

static void teardown(void)
{
	pd_quota_finish(&quota);
}

static void pass(double seconds)
{
	now += (int64_t)(seconds * PD_USEC_PER_SEC);
	pd_quota_set_fleet(&quota, &alone, now);
}

/* Sends as many requests as are admitted now. */
static int send_all(void)
{
	int sent = 0;

	for (; pd_quota_admit(&quota, &account, now).admitted; sent++)
		pd_quota_count(&quota, &account, now);
	return sent;
}

START_TEST(bucket_answers_at_its_edges)
{
	/* Guards against tokens that are lost or added, and a time to return that is too early. */
	struct pd_quota_verdict verdict;

	ck_assert_int_eq(send_all(), 2);
	verdict = pd_quota_admit(&quota, &account, now);
	ck_assert(!verdict.admitted);
	/* One was refused before: this is the second token, and up to one more at random. */
	ck_assert(verdict.wait_us >= PD_USEC_PER_SEC && verdict.wait_us <= 1.5 * PD_USEC_PER_SEC);
	pd_quota_return(&quota, &account, now);
	ck_assert_int_eq(send_all(), 1);
	pass(100);
	ck_assert_int_eq(send_all(), 2);
	account.rate_per_s = account.burst = 1;
	pass(100);
	pd_quota_set_limits(&quota, &account, 1, now);
	ck_assert_int_eq(send_all(), 1);
	account.rate_per_s = account.burst = 0.3;
	pd_quota_set_limits(&quota, &account, 1, now);
	pass(3.2);
	ck_assert_int_eq(send_all(), 0);
	pass(0.2);
	ck_assert_int_eq(send_all(), 1);
	account.rate_per_s = 0;
	pd_quota_set_limits(&quota, &account, 1, now);
	ck_assert(pd_quota_admit(&quota, &account, now).admitted);
	account.rate_per_s = account.burst = 2;
	pd_quota_set_limits(&quota, NULL, 0, now);
	ck_assert(pd_quota_admit(&quota, &account, now).admitted);
}
END_TEST

START_TEST(reports_are_charged_once)
{
	/* Guards against a report that is charged again when it is doubled, late, or comes by
	 * another head, and against an old use that is charged to a head that hears of it first. */
	struct pd_quota_report report = {.origin = 5, .account = 7, .used = 1, .recent = 1};

	pass(100);
	for (int i = 0; i < 3; i++)
		pd_quota_receive_report(&quota, &report, i == 1, now);
	report.used = 0;
	pd_quota_receive_report(&quota, &report, true, now);
	ck_assert_int_eq(send_all(), 1);
	pass(100);
	report = (struct pd_quota_report){.origin = 6, .account = 7, .used = 900, .recent = 0};
	pd_quota_receive_report(&quota, &report, true, now);
	ck_assert_int_eq(send_all(), 2);
	pass(2);
	report = (struct pd_quota_report){
		.origin = 6, .account = 7, .used = 905, .returned = 1, .recent = 4};
	pd_quota_receive_report(&quota, &report, true, now);
	/* 2 tokens less 4 are a debt of 2. */
	pass(1.4);
	ck_assert_int_eq(send_all(), 0);
	pass(0.2);
	ck_assert_int_eq(send_all(), 1);
}
END_TEST

/* Asks as another instance; returns whether the request is admitted. */
static bool ask_as(uint64_t origin, uint64_t nonce)
{
	const struct pd_quota_ask ask = {.account = 7, .origin = origin, .nonce = nonce};
	struct pd_quota_verdict verdict;

	ck_assert(pd_quota_decide(&quota, &ask, &verdict, now));
	ck_assert(verdict.admitted || verdict.wait_us > 0);
	return verdict.admitted;
}

START_TEST(grants_are_charged_once)
{
	/* Guards against a request that is charged when it is granted and again when it is
	 * reported, against a question that is charged again when it is repeated, and against a
	 * token that is returned twice, or not at all. */
	struct pd_quota_report report = {.origin = 5, .account = 7, .used = 2, .recent = 2};

	pass(100);
	ck_assert(ask_as(5, 1));
	ck_assert(ask_as(5, 1));
	ck_assert(ask_as(5, 2));
	ck_assert(!ask_as(5, 3));
	ck_assert(!ask_as(5, 3));
	for (int i = 0; i < 2; i++)
		pd_quota_receive_report(&quota, &report, true, now);
	pass(0.5);
	ck_assert(ask_as(5, 4));
	ck_assert(!ask_as(5, 5));
	/* It is used, but certainly hasn't run. */
	report.used = 3;
	report.returned = 1;
	for (int i = 0; i < 2; i++)
		pd_quota_receive_report(&quota, &report, true, now);
	ck_assert(ask_as(6, 6));
	ck_assert(!ask_as(6, 7));
	/* A use of another instance doesn't match its grant. */
	report = (struct pd_quota_report){.origin = 8, .account = 7, .used = 1, .recent = 1};
	pd_quota_receive_report(&quota, &report, true, now);
	pass(0.9);
	ck_assert(!ask_as(5, 8));
	pass(0.2);
	ck_assert(ask_as(5, 9));
}
END_TEST

START_TEST(grants_expire)
{
	/* Guards against tokens that are lost with an answer that nobody used, and a use that isn't
	 * charged because its report comes late. */
	struct pd_quota_report report = {.origin = 5, .account = 7, .used = 2, .recent = 2};

	account.rate_per_s = 0.001;
	pd_quota_set_limits(&quota, &account, 1, now);
	pass(3000);
	ck_assert(ask_as(5, 1));
	ck_assert(ask_as(5, 2));
	pass(1);
	ck_assert(!ask_as(5, 3));
	for (int i = 0; i < 5; i++)
		pass(1);
	ck_assert(ask_as(6, 4));
	pd_quota_receive_report(&quota, &report, true, now);
	ck_assert(!ask_as(6, 5));
	pass(900);
	ck_assert(!ask_as(6, 6));
}
END_TEST

START_TEST(late_answers_are_given_back)
{
	/* Guards against a token that is lost with an answer that comes too late, and one that is
	 * gained if the request was admitted without it. */
	struct pd_quota_ask ask;
	struct pd_quota_verdict verdict;

	pass(100);
	ck_assert_int_eq(send_all(), 2);
	ck_assert(pd_quota_ask(&quota, &account, &ask, now));
	pass(0.5);
	ck_assert(pd_quota_decide(&quota, &ask, &verdict, now));
	ck_assert(verdict.admitted);
	pd_quota_give_back(&quota, account.hash, now);
	ck_assert_int_eq(send_all(), 1);
	pd_quota_give_back(&quota, account.hash, now);
	ck_assert_int_eq(send_all(), 0);
}
END_TEST

START_TEST(only_a_head_that_knows_decides)
{
	/* Guards against questions for accounts that have tokens, and against answers of instances
	 * that can't know. */
	struct pd_quota_ask ask = {.account = 7, .origin = 5, .nonce = 1}, other;
	struct pd_quota_fleet follower = alone;
	struct pd_quota_verdict verdict;

	pass(100);
	ck_assert(!pd_quota_ask(&quota, &account, &other, now));
	ck_assert_int_eq(send_all(), 2);
	ck_assert(pd_quota_ask(&quota, &account, &ask, now));
	ck_assert(pd_quota_ask(&quota, &account, &other, now));
	ck_assert(ask.nonce != other.nonce && ask.origin == other.origin);
	other.account = 8; /* no account, or one without a limit */
	ck_assert(!pd_quota_decide(&quota, &other, &verdict, now));
	/* It was suspended. */
	ck_assert(!pd_quota_decide(&quota, &ask, &verdict, now + PD_USEC_PER_SEC));
	ck_assert(!pd_quota_ask(&quota, &account, &other, now + PD_USEC_PER_SEC));
	follower.is_head = false;
	pd_quota_set_fleet(&quota, &follower, now);
	ck_assert(!pd_quota_decide(&quota, &ask, &verdict, now));
	account.rate_per_s = 0;
	ck_assert(!pd_quota_ask(&quota, &account, &other, now));
}
END_TEST

START_TEST(credit_is_for_the_time_before)
{
	/* Guards against a credit for requests that instances send after all of them have started,
	 * and against one that is kept for later. */
	struct pd_quota_report report = {.account = 7, .used = 2, .recent = 2};
	struct pd_quota_fleet fleet = alone;

	/* Bucket and credit are 2 and 2.5. */
	report.origin = 2 * 5;
	pd_quota_receive_report(&quota, &report, true, now);
	ck_assert_int_eq(send_all(), 2);
	teardown();
	setup();
	report.origin = 2 * 5 | PD_QUOTA_ORIGIN_FRESH;
	pd_quota_receive_report(&quota, &report, true, now);
	ck_assert_int_eq(send_all(), 0);
	teardown();
	setup();
	fleet.zones = 2;
	pd_quota_set_fleet(&quota, &fleet, now);
	ck_assert_int_eq(send_all(), 1);
	now += 3 * PD_USEC_PER_SEC;
	pd_quota_set_fleet(&quota, &fleet, now);
	/* The credit of the other zone is 1; the bucket is 1. */
	fleet.zones_heard = 2;
	pd_quota_set_fleet(&quota, &fleet, now);
	report = (struct pd_quota_report){.origin = 2 * 6, .account = 7, .used = 2, .recent = 2};
	pd_quota_receive_report(&quota, &report, false, now);
	ck_assert_int_eq(send_all(), 0);
}
END_TEST

START_TEST(verdicts_state_their_basis)
{
	/* Guards against a refusal of which the log doesn't tell by which rate and tokens, and why
	 * not by the owner, it was decided. */
	struct pd_quota_ask ask = {.account = 7, .origin = 5, .nonce = 1};
	struct pd_quota_fleet follower = alone;
	struct pd_quota_verdict verdict;

	ck_assert_double_eq(pd_quota_limit_per_s(&quota, &account), 2);
	pass(100);
	ck_assert_int_eq(send_all(), 2);
	ck_assert(pd_quota_decide(&quota, &ask, &verdict, now));
	ck_assert(!verdict.admitted && verdict.basis == PD_QUOTA_BASIS_OWNER);
	ck_assert_double_eq(verdict.tokens, 0);
	ck_assert_double_eq(verdict.rate_per_s, 2);
	pass(100);
	follower.is_head = false;
	follower.source_heard_us = now;
	follower.instances = 4;
	pd_quota_set_fleet(&quota, &follower, now);
	ck_assert_int_eq(send_all(), 2);
	verdict = pd_quota_admit(&quota, &account, now);
	ck_assert(!verdict.admitted && verdict.basis == PD_QUOTA_BASIS_NOT_LOW);
	ck_assert_double_eq(verdict.rate_per_s, 2);
	now += PD_USEC_PER_SEC;
	verdict = pd_quota_admit(&quota, &account, now);
	ck_assert(!verdict.admitted && verdict.basis == PD_QUOTA_BASIS_SILENT);
	ck_assert_double_eq(verdict.rate_per_s, 0.5);
}
END_TEST

START_TEST(new_head_states_no_long_waits)
{
	/* Guards against waits by the rate of the few instances that a head covers at first. */
	const struct pd_quota_fleet follower = {.zones = 1, .instances = 130};
	struct pd_quota_fleet head = alone;

	head.instances = head.heard_instances = 130;
	head.heard_covered = 1;
	pd_quota_set_fleet(&quota, &follower, now);
	pd_quota_set_fleet(&quota, &head, now);
	now += PD_USEC_PER_SEC / 10;
	pd_quota_set_fleet(&quota, &head, now);
	send_all();
	ck_assert_int_le(pd_quota_admit(&quota, &account, now).wait_us, 2 * PD_USEC_PER_SEC);
	/* A head that stays alone has only its part. */
	now += 3 * PD_USEC_PER_SEC;
	pd_quota_set_fleet(&quota, &head, now);
	send_all();
	ck_assert_int_gt(pd_quota_admit(&quota, &account, now).wait_us, 10 * PD_USEC_PER_SEC);
}
END_TEST

/* Returns the time to wait at a follower that hears from its head that an account is in debt and
 * that the head's part of the rate is a hundredth. */
static int64_t wait_by_news(uint64_t head, uint64_t sequence)
{
	const struct pd_quota_news news = {.head = head,
					   .sequence = sequence,
					   .account = 7,
					   .low = true,
					   .tokens = -1,
					   .rate_per_s = 0.02,
					   .share = 1};
	const struct pd_quota_fleet follower = {
		.zones = 1, .instances = 130, .source_heard_us = now};

	pd_quota_set_fleet(&quota, &follower, now);
	pd_quota_receive_news(&quota, &news, now);
	return pd_quota_admit(&quota, &account, now).wait_us;
}

START_TEST(followers_of_a_new_head_state_no_long_waits)
{
	/* Guards against waits by the rate of the few instances that the source of this instance
	 * covers while it has just become a head. */
	ck_assert_int_le(wait_by_news(5, 1), 2 * PD_USEC_PER_SEC);
	now += 3 * PD_USEC_PER_SEC;
	/* A head that stays alone has only its part. */
	ck_assert_int_gt(wait_by_news(5, 2), 50 * PD_USEC_PER_SEC);
	now += 300 * PD_USEC_PER_SEC;
	ck_assert_int_le(wait_by_news(6, 1), 2 * PD_USEC_PER_SEC);
}
END_TEST

START_TEST(suspended_instance_relies_on_nothing)
{
	/* Guards against a full bucket of an instance that continues after a suspension. */
	ck_assert_int_eq(send_all(), 2);
	pass(1);
	now += 100 * PD_USEC_PER_SEC;
	/* The first request of an account that wasn't used lately is admitted. */
	ck_assert_int_eq(send_all(), 1);
}
END_TEST

START_TEST(rate_is_raised_as_far_as_the_bound_allows)
{
	/* Guards against a raised rate that breaks the bound of a window, and against one that is
	 * below the quota. */
	static const struct pd_quota_bounds usual_bounds = {
		.window_s = 5, .overage = 0.1, .slack = 20};
	static const struct pd_quota_bounds none = {.window_s = 5};
	static const struct pd_quota_bounds no_window = {.slack = 20};
	static const struct pd_quota_bounds wide = {.window_s = 60, .overage = 1, .slack = 0};
	static const double edges[] = {0.001, 0.3, 1, 3, 5, 11, 20, 100, 1e9};

	ck_assert_double_eq(pd_quota_enforced_rate(&usual_bounds, 0, 0), 0);
	ck_assert_double_eq_tol(pd_quota_enforced_rate(&usual_bounds, 3, 3), 32.8 / 6.45, 1e-9);
	ck_assert_double_eq(pd_quota_enforced_rate(&usual_bounds, 20, 20), 20);
	for (size_t i = 0; i < sizeof(edges) / sizeof(edges[0]); i++) {
		double rate = edges[i];
		double raised = pd_quota_enforced_rate(&usual_bounds, rate, rate);

		ck_assert(raised >= rate);
		ck_assert(raised * 5 + rate <= bound_of(rate));
		ck_assert_double_eq(pd_quota_enforced_rate(&none, rate, rate), rate);
		ck_assert_double_eq(pd_quota_enforced_rate(&no_window, rate, rate), rate);
		raised = pd_quota_enforced_rate(&wide, rate, rate);
		ck_assert(raised >= rate && raised * 60 + rate <= 122 * rate);
	}
}
END_TEST

START_TEST(idle_accounts_cost_nothing)
{
	/* Guards against state and messages of accounts that aren't in use any more. */
	static struct pd_account accounts[10000];
	struct pd_quota_report reports[8];

	for (size_t i = 0; i < 10000; i++)
		accounts[i] = (struct pd_account){.hash = i + 1, .rate_per_s = 2, .burst = 2};
	pd_quota_set_limits(&quota, accounts, 10000, now);
	for (size_t i = 0; i < 10000; i++)
		pd_quota_count(&quota, &accounts[i], now);
	ck_assert_uint_eq(quota.bucket_count, 10000);
	pass(40);
	ck_assert_uint_eq(pd_quota_take_reports(&quota, reports, 8, now), 0);
	ck_assert_uint_eq(quota.bucket_count, 0);
}
END_TEST

START_TEST(fair_share_has_its_order)
{
	/* Guards against urgent requests behind less urgent ones, and accounts above their share
	 * before others. */
	double last = 1.01;

	for (uint32_t priority = 0; priority < 3; priority++) {
		for (int over = 0; over < 2; over++) {
			double limit = pd_fair_share_limit(priority, over, false);

			ck_assert(limit < last && limit >= 0.5);
			last = limit;
		}
	}
	ck_assert_double_eq(pd_fair_share_limit(0, false, false), 1);
	ck_assert_double_eq(pd_fair_share_limit(9, true, true), 1);
}
END_TEST

START_TEST(fair_share_neglects_nobody)
{
	/* Guards against accounts and routes that get nothing while capacity is scarce, and a
	 * request that can't be in time. */
	static struct pd_fair_share fair_share;
	const uint64_t service = 1;
	struct pd_fair_request request = {
		.weight = 5, .services = &service, .legs = 1, .needed = 1, .left_us = 100000};
	size_t offered[2] = {0}, admitted[2] = {0};

	pd_fair_share_init(&fair_share, 1);
	for (int i = 0; i < 4000; i++) {
		/* Four of five requests are of a noisy account on a less urgent route. */
		int kind = i % 5 == 0;

		request.account = 1 + (uint64_t)kind;
		request.route = 1 + (uint64_t)kind;
		request.priority = kind ? 0 : 2;
		request.expected_us = 90000;
		offered[kind]++;
		admitted[kind] += pd_fair_share_admit(&fair_share, &request, i * 5000).admitted;
	}
	ck_assert_uint_eq(admitted[1], offered[1]);
	ck_assert(4 * admitted[0] * 4000 >= offered[0] * (admitted[0] + admitted[1]));
	ck_assert(admitted[0] < offered[0] / 2);
	request.expected_us = 130000;
	ck_assert(!pd_fair_share_admit(&fair_share, &request, 20000000).admitted);
	ck_assert(pd_fair_share_admit(&fair_share, &request, 20000000).wait_us >= 30000);
	request.expected_us = 40000;
	ck_assert(pd_fair_share_admit(&fair_share, &request, 20000000).admitted);
	pd_fair_share_finish(&fair_share);
}
END_TEST

int main(void)
{
	const TTest *const fleets[] = {
		noisy_account_is_admitted_in_order,
		account_below_the_bound_is_served,
		connected_fleet_keeps_to_the_quota,
		failing_heads_keep_the_quota,
		divided_fleet_keeps_the_quota,
		zones_that_hear_each_other_in_part_keep_the_quota,
		restart_of_all_refuses_few,
		fair_share_has_its_order,
		fair_share_neglects_nobody,
	};
	const TTest *const edges[] = {
		bucket_answers_at_its_edges,
		reports_are_charged_once,
		grants_are_charged_once,
		grants_expire,
		late_answers_are_given_back,
		only_a_head_that_knows_decides,
		credit_is_for_the_time_before,
		verdicts_state_their_basis,
		new_head_states_no_long_waits,
		followers_of_a_new_head_state_no_long_waits,
		suspended_instance_relies_on_nothing,
		rate_is_raised_as_far_as_the_bound_allows,
		idle_accounts_cost_nothing,
	};
	int failed = suite_run("quota_fleet", fleets, sizeof(fleets) / sizeof(fleets[0]));

	return suite_run_with("quota", setup, teardown, edges, sizeof(edges) / sizeof(edges[0])) |
	       failed;
}
