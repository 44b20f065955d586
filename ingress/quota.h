/**
 * DOC: Quotas of client accounts: which requests this instance admits
 *
 * Decides without a network and without threads of its own. Each instance counts the requests that
 * it sends to upstreams, and reports the counts to the instance that it follows, and so to the head
 * of its zone; the heads report to each other. Each head therefore holds about the same token
 * bucket for an account, and tells its followers which accounts have few tokens left. A bucket is
 * charged after the requests were sent, so that it may be in debt, which is paid off before further
 * requests are admitted.
 *
 * While few tokens of an account are left, an instance asks the head that owns the account for each
 * request. That head charges its bucket at once, and not again when the use is reported.
 *
 * Points in time are in microseconds of pd_os_boot_us(). All functions may be called by several
 * threads at once.
 */
#ifndef PD_QUOTA_H
#define PD_QUOTA_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catalog.h"
#include "os.h"

/* An instance that has heard nothing from its source for this long doesn't rely on what it heard:
 * one datagram of the two in each second is lost, or the source doesn't run. */
#define PD_QUOTA_SILENT_US (600 * PD_USEC_PER_MSEC)

/* Maximum number of questions of an instance for one account that wait for an answer, and number of
 * answers that an owner keeps for each of them. */
#define PD_QUOTA_ASKS_MAX 8

/* Number of intervals in the record of an instance's recent use. */
#define PD_QUOTA_HISTORY 8

/**
 * struct pd_quota_bounds - how far an account may exceed its quota
 * @window_s: length of the window in which the bound holds, in seconds
 * @overage: share of the quota in a window by which it may be exceeded
 * @slack: number of requests by which it may be exceeded beyond that
 */
struct pd_quota_bounds {
	double window_s;
	double overage;
	double slack;
};

/**
 * struct pd_quota_fleet - what this instance knows of the others
 * @is_head: it follows no other instance
 * @source_heard_us: time at which its source was last heard; 0 if it wasn't
 * @instances: number of listed instances, this one included
 * @zones: number of zones of the listed instances
 * @zones_heard: number of zones of which a head was heard lately, this instance's own included
 * @in_part: one of these heads hears a zone that this one doesn't
 * @heard_instances: number of listed instances of these zones
 * @heard_covered: number of instances that are this head, the heads that were heard lately, and
 *	the followers of all these
 * @links: differs when the source, or one of the other heads, is another process
 */
struct pd_quota_fleet {
	bool is_head;
	int64_t source_heard_us;
	size_t instances;
	size_t zones;
	size_t zones_heard;
	bool in_part;
	size_t heard_instances;
	size_t heard_covered;
	uint64_t links;
};

/* Bit of an origin: the process had just started when it began to count, so that all its use of the
 * account is counted. Earlier versions of the software set it at random. */
#define PD_QUOTA_ORIGIN_FRESH 1

/**
 * struct pd_quota_report - use of one account by one instance
 * @origin: random number that the instance drew when it began to count, with
 *	PD_QUOTA_ORIGIN_FRESH
 * @account: hash of the account's name
 * @used: number of requests that were sent to upstreams; never falls
 * @returned: number of these that certainly didn't run; never falls
 * @refused: number of requests that were refused; never falls
 * @recent: the part of @used less @returned that isn't older than about two seconds
 */
struct pd_quota_report {
	uint64_t origin;
	uint64_t account;
	uint64_t used;
	uint64_t returned;
	uint64_t refused;
	uint64_t recent;
};

/**
 * struct pd_quota_news - state of a head's bucket, for its followers
 * @head: random number of the head's process; set by the exchange
 * @sequence: number by which later news of the same head are greater; set by the exchange
 * @account: hash of the account's name
 * @low: few tokens are left or the bucket is in debt; otherwise the other fields aren't used
 * @tokens: number of tokens; negative for a debt
 * @rate_per_s: rate at which tokens are added
 * @promised_us: time until the tokens are spent that refused clients were told to come back for
 * @share: share of the requests that the rate is enough for, 0 to 1
 */
struct pd_quota_news {
	uint64_t head;
	uint64_t sequence;
	uint64_t account;
	bool low;
	double tokens;
	double rate_per_s;
	int64_t promised_us;
	double share;
};

/** enum pd_quota_basis - who decided on a request, or why the owner of the account didn't. */
enum pd_quota_basis {
	PD_QUOTA_BASIS_OWNER, /* the owner decided */
	PD_QUOTA_BASIS_NOT_LOW, /* not asked: the account isn't low, as far as it is known here */
	PD_QUOTA_BASIS_SILENT, /* not asked: this instance knows too little of the others */
	PD_QUOTA_BASIS_UNANSWERED, /* it was asked, and didn't answer in time */
	PD_QUOTA_BASIS_UNDECIDED, /* this instance is the owner, and couldn't decide */
};

/**
 * struct pd_quota_verdict - whether a request is admitted
 * @admitted: it is
 * @wait_us: if it isn't, time after which the client may send it again
 * @basis: who decided; the owner, unless pd_quota_admit() did
 * @rate_per_s: rate that the decision was made with: the part of the enforced rate that the
 *	instance that decided may use
 * @tokens: tokens that it had for the request; negative for a debt
 * @share: share of the requests that it admitted while there were tokens
 */
struct pd_quota_verdict {
	bool admitted;
	int64_t wait_us;
	enum pd_quota_basis basis;
	double rate_per_s;
	double tokens;
	double share;
};

/**
 * struct pd_quota_ask - question whether a request is admitted
 * @account: hash of the account's name
 * @origin: as in &struct pd_quota_report, of the instance that asks
 * @nonce: random number that the answer repeats
 */
struct pd_quota_ask {
	uint64_t account;
	uint64_t origin;
	uint64_t nonce;
};

/**
 * struct pd_quota_answer - an answer that was given, in case the question is repeated
 * @nonce: number of the question; 0 in unused entries
 * @verdict: the answer
 */
struct pd_quota_answer {
	uint64_t nonce;
	struct pd_quota_verdict verdict;
};

/** enum pd_quota_level - how many tokens a bucket has, as a head last told its followers. */
enum pd_quota_level {
	PD_QUOTA_ENOUGH,
	PD_QUOTA_LOW,
	PD_QUOTA_EMPTY,
};

/**
 * struct pd_quota_use - use of one account by one instance, as it is known here
 * @report: greatest counts that were reported
 * @local: this instance's own count, or that of an instance that follows it
 * @unsent: a count of requests that were sent has changed since it was last sent on
 * @refused_sent: &pd_quota_report.refused when it was last sent on
 * @changed_us: time at which a count of requests that were sent has changed
 * @heard_us: time at which a report was last received
 * @sent_us: time at which it was last sent on
 * @granted: number of requests that this instance has admitted for the other one, and charged,
 *	which weren't reported yet: those since @granted_us, and those before
 * @granted_us: time at which @granted was last moved on
 * @asked_us: time at which the instance asked last
 * @answers: last answers to it
 * @answer_count: number of answers
 * @next: next instance of the same account
 */
struct pd_quota_use {
	struct pd_quota_report report;
	bool local;
	bool unsent;
	uint64_t refused_sent;
	int64_t changed_us;
	int64_t heard_us;
	int64_t sent_us;
	uint64_t granted[2];
	int64_t granted_us;
	int64_t asked_us;
	struct pd_quota_answer answers[PD_QUOTA_ASKS_MAX];
	size_t answer_count;
	struct pd_quota_use *next;
};

/**
 * struct pd_quota_bucket - state of one account that is in use
 * @hash: hash of its name
 * @rate_per_s: rate that its quota is enforced with; 0 for no limit
 * @burst: burst of its quota
 * @spare: number of requests by which rate and burst stay below the bound of a window
 * @tokens: number of tokens at @updated_us; negative for a debt
 * @updated_us: time of @tokens
 * @credit: tokens of the time before this head heard of it, for the use of that time
 * @promised_us: time until the tokens are spent that refused clients were told to come back for
 * @demand_per_s: rate of the requests that instances have sent or refused lately
 * @demand_us: time of @demand_per_s
 * @active_us: time at which it was last in use
 * @pending_until_us: time after which none of @uses needs to be sent on
 * @uses: use by each instance
 * @own: use by this instance, in @uses; NULL if there was none
 * @history: net use of this instance at the beginning of each of the last intervals
 * @interval: number of the current interval
 * @low: the source has stated that few tokens are left
 * @news: its statement
 * @news_us: time at which that was received
 * @used_since: use by this instance since then
 * @solo_tokens: tokens of this instance alone while its source is silent
 * @solo_us: time of @solo_tokens
 * @silence_us: beginning of the silence that @solo_tokens belong to
 * @shown: level as the followers were last told
 * @shown_us: time of that
 * @next: next bucket of the same slot
 */
struct pd_quota_bucket {
	uint64_t hash;
	double rate_per_s;
	double burst;
	double spare;
	double tokens;
	int64_t updated_us;
	double credit;
	int64_t promised_us;
	double demand_per_s;
	int64_t demand_us;
	int64_t active_us;
	int64_t pending_until_us;
	struct pd_quota_use *uses;
	struct pd_quota_use *own;
	uint64_t history[PD_QUOTA_HISTORY];
	int64_t interval;
	bool low;
	struct pd_quota_news news;
	int64_t news_us;
	double used_since;
	double solo_tokens;
	int64_t solo_us;
	int64_t silence_us;
	enum pd_quota_level shown;
	int64_t shown_us;
	struct pd_quota_bucket *next;
};

struct pd_quota_limit;

/**
 * struct pd_quota - quotas of all accounts
 * @bounds: how far they may be exceeded
 * @lock: guards all fields below
 * @random_state: state of the random number generator
 * @limits: limits by the configuration, sorted by hash
 * @limit_count: number of entries in @limits
 * @slots: hash table of the buckets
 * @slot_count: number of entries in @slots, a power of two
 * @bucket_count: number of buckets
 * @started_us: time at which @fleet was first stated; 0 before
 * @joined: this process has heard a source, or most of the others, since it started
 * @in_part_us: time since which &pd_quota_fleet.in_part is stated; 0 if it isn't
 * @fleet: the other instances, when they were last stated; @in_part after IN_PART_US only
 * @fleet_us: time of that; 0 before the first time
 * @heard_us: time at which a source was last heard
 * @head_since_us: time since which this instance is a head
 * @widened_us: time at which this instance became a head, or this head began to hear more of the
 *	other instances; &pd_quota_bucket.credit may be used for a while after it
 * @news_head: head whose news were last received
 * @news_head_us: time at which its news were first received; 0 before the first news
 * @news_due: the followers have to be told of a change at once
 * @reports_us: time at which reports were last taken
 * @pruned_us: time at which buckets that aren't in use were last removed
 */
struct pd_quota {
	struct pd_quota_bounds bounds;
	pthread_mutex_t lock;
	uint64_t random_state;
	struct pd_quota_limit *limits;
	size_t limit_count;
	struct pd_quota_bucket **slots;
	size_t slot_count;
	size_t bucket_count;
	int64_t started_us;
	bool joined;
	int64_t in_part_us;
	struct pd_quota_fleet fleet;
	int64_t fleet_us;
	int64_t heard_us;
	int64_t head_since_us;
	int64_t widened_us;
	uint64_t news_head;
	int64_t news_head_us;
	bool news_due;
	int64_t reports_us;
	int64_t pruned_us;
};

/**
 * pd_quota_enforced_rate() - rate that the quota of an account is enforced with
 * @bounds: how far the quota may be exceeded
 * @rate_per_s: rate of the quota; 0 for no limit
 * @burst: burst of the quota
 *
 * A request that is refused although the bound of the window allows it is a loss. The rate is
 * therefore raised by what the bound allows beyond rate and burst, less a reserve for the requests
 * that run before the instances hear of each other's use, and for failures.
 *
 * Return: the rate; at least @rate_per_s.
 */
double pd_quota_enforced_rate(const struct pd_quota_bounds *bounds, double rate_per_s,
			      double burst);

/* @seed is a random number other than 0. */
void pd_quota_init(struct pd_quota *quota, const struct pd_quota_bounds *bounds, uint64_t seed);
void pd_quota_finish(struct pd_quota *quota);

/* Sets the limits of all accounts. If memory runs out, the former ones hold. */
void pd_quota_set_limits(struct pd_quota *quota, const struct pd_account *accounts, size_t count,
			 int64_t now_us);
/* States what this instance knows of the others. It has to be stated at each tick: an instance that
 * was suspended relies on nothing until it is. */
void pd_quota_set_fleet(struct pd_quota *quota, const struct pd_quota_fleet *fleet, int64_t now_us);

/**
 * pd_quota_admit() - whether a request may be sent to upstreams
 * @quota: quotas
 * @account: account of the request
 * @now_us: current time
 *
 * Doesn't count it. The time to wait counts the clients that were told before to come back, as far
 * as they are known here, and is spread, so that they don't come back in the same moment.
 *
 * Return: the verdict.
 */
struct pd_quota_verdict pd_quota_admit(struct pd_quota *quota, const struct pd_account *account,
				       int64_t now_us);

/* Returns the rate that the limit of an account is enforced with, over all instances; 0 without a
 * limit. */
double pd_quota_limit_per_s(struct pd_quota *quota, const struct pd_account *account);

/**
 * pd_quota_ask() - whether the owner of an account has to be asked
 * @quota: quotas
 * @account: account of a request
 * @ask: question to send, if so
 * @now_us: current time
 *
 * While few tokens of an account are left, what this instance knows is too old to decide by: the
 * head that owns the account admits requests one by one. If it doesn't answer in time,
 * pd_quota_admit() decides.
 *
 * Return: whether it has to be asked. If it admits the request, this has to be counted at once.
 */
bool pd_quota_ask(struct pd_quota *quota, const struct pd_account *account,
		  struct pd_quota_ask *ask, int64_t now_us);
/* Decides on a question as the owner of the account, and charges the request if it is admitted;
 * false if this instance can't decide, because it isn't a head, knows too little, or the account
 * has no limit here. A question that is repeated gets the same answer. */
bool pd_quota_decide(struct pd_quota *quota, const struct pd_quota_ask *ask,
		     struct pd_quota_verdict *verdict, int64_t now_us);
/* Gives back a request that was admitted for this instance by an answer that came too late. Does
 * nothing in sum for one that was used, or given back before. */
void pd_quota_give_back(struct pd_quota *quota, uint64_t account, int64_t now_us);
/* Returns the weight of a head for an account, by which all heads choose the same owner of it: the
 * one with the greatest weight. */
uint64_t pd_quota_owner_weight(uint64_t account, uint64_t head);

/* Counts a request when its first attempt is sent. */
void pd_quota_count(struct pd_quota *quota, const struct pd_account *account, int64_t now_us);
/* Returns the token of a request that was counted and certainly hasn't run; once for a request. */
void pd_quota_return(struct pd_quota *quota, const struct pd_account *account, int64_t now_us);

/* Handles a report: of a follower if @local, or else of another head. */
void pd_quota_receive_report(struct pd_quota *quota, const struct pd_quota_report *report,
			     bool local, int64_t now_us);
/* Handles news of the source. */
void pd_quota_receive_news(struct pd_quota *quota, const struct pd_quota_news *news,
			   int64_t now_us);
/* Copies up to @max reports that are due to the source, or to the other heads, and marks them as
 * sent; returns their number. */
size_t pd_quota_take_reports(struct pd_quota *quota, struct pd_quota_report *reports, size_t max,
			     int64_t now_us);
/* Copies up to @max statements that are due to the followers, likewise; none if this instance isn't
 * a head. With @urgent, only if a bucket has become low or empty, or has recovered, since. */
size_t pd_quota_take_news(struct pd_quota *quota, struct pd_quota_news *news, size_t max,
			  bool urgent, int64_t now_us);

#endif
