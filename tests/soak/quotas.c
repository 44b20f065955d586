#include "quotas.h"

#include <stdio.h>

#include "ledger.h"

#define QUOTA_WINDOW_US (QUOTA_WINDOW_S * PD_USEC_PER_SEC)
#define WINDOW_REQUESTS 4096 /* more than any account can run in a window */

/**
 * struct window - requests of an account that ran in the last QUOTA_WINDOW_US
 * @times: times at which they ran, in a ring
 * @first: number of the oldest one that is in the window
 * @end: number of requests of the account so far
 */
struct window {
	int64_t times[WINDOW_REQUESTS];
	uint32_t first;
	uint32_t end;
};

static struct window windows[FLEET_LIMITED_KEYS];
static double greatest_use; /* greatest share of the bound that a window has used */

/* Records in the newest configuration the time at which it is in force at all instances. */
static void settle_version(int64_t now_us)
{
	struct fleet_version *newest = &fleet.versions[fleet.version_count - 1];

	if (newest->settled_us || newest->stored_us == INT64_MAX ||
	    now_us - newest->stored_us < FLEET_CONFIG_APPLY_US)
		return;
	for (size_t i = 0; i < fleet.instance_count; i++) {
		if (!fleet_instance_is_synced_locked(&fleet.instances[i],
						     now_us - FLEET_CONTACT_EXTRA_US))
			return;
	}
	newest->settled_us = now_us;
}

/* The greatest rate that may hold: a reduced one binds alone one window after it is in force. */
static double greatest_rate(int64_t now_us)
{
	double rate = 0;

	for (uint32_t i = fleet.version_count; i-- > 0;) {
		const struct fleet_version *version = &fleet.versions[i];

		rate = version->rate > rate ? version->rate : rate;
		if (version->settled_us && now_us - version->settled_us > QUOTA_WINDOW_US)
			break;
	}
	return rate;
}

void quotas_record_locked(long number, uint32_t key, int64_t now_us)
{
	struct window *window = &windows[key];
	double rate, allowed;

	settle_version(now_us);
	window->times[window->end++ % WINDOW_REQUESTS] = now_us;
	while (window->times[window->first % WINDOW_REQUESTS] <= now_us - QUOTA_WINDOW_US)
		window->first++;
	rate = greatest_rate(now_us);
	/* The burst equals the rate. */
	allowed = (rate * QUOTA_WINDOW_S + rate) * (1 + QUOTA_OVERAGE) + QUOTA_SLACK;
	if ((window->end - window->first) / allowed > greatest_use)
		greatest_use = (window->end - window->first) / allowed;
	if (window->end - window->first <= allowed)
		return;
	ledger_report_violation_locked(RULE_QUOTA,
				       "request %ld is number %u of account %u within %d s, %.1f "
				       "allowed by a rate of %g",
				       number, window->end - window->first, key, QUOTA_WINDOW_S,
				       allowed, rate);
}

void quotas_print(void)
{
	printf("quotas: %.0f%% of the bound used at most\n", 100 * greatest_use);
}
