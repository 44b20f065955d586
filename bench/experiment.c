#include "experiment.h"

#include <string.h>

#define INTEGER(key, member, min, max)                                                             \
	{                                                                                          \
		key, PD_SETTING_INTEGER, offsetof(struct bench_experiment, member), min, max,      \
			false, "an integer from " #min " to " #max                                 \
	}
#define DECIMAL(key, member, min, max)                                                             \
	{                                                                                          \
		key, PD_SETTING_DECIMAL, offsetof(struct bench_experiment, member), min, max,      \
			false, "a number from " #min " to " #max                                   \
	}
#define TEXT(key, member, required, expected)                                                      \
	{                                                                                          \
		key, PD_SETTING_TEXT, offsetof(struct bench_experiment, member), 0, 0, required,   \
			expected                                                                   \
	}

static const struct pd_setting schema[] = {
	TEXT("title", title, true, "a text"),
	TEXT("target", target, false, "\"product\", \"naive\" or \"both\""),
	INTEGER("seed", seed, 0, 1000000000),
	INTEGER("load.duration_ms", duration_ms, 100, 600000),
	INTEGER("load.warmup_ms", warmup_ms, 0, 60000),
	DECIMAL("load.rate", rate, 0.1, 10000),
	INTEGER("load.deadline_ms", deadline_ms, 1, 60000),
	DECIMAL("load.urgent_share", urgent_share, 0, 1),
	DECIMAL("load.runs_rate", runs_rate, 0, 1000),
	INTEGER("load.callers", callers, 1, 1000),
	TEXT("deployment.zones", zone_names, false, "zone names separated by spaces"),
	INTEGER("deployment.entries", entries, 1, 64),
	INTEGER("deployment.lame_duck_ms", lame_duck_ms, 0, 60000),
	INTEGER("deployment.log_level", log_level, 3, 7),
	INTEGER("deployment.zone_delay_us", zone_delay_us, 0, 1000000),
	INTEGER("upstreams.services", services, 1, 500),
	INTEGER("upstreams.replicas", replicas, 1, 20),
	INTEGER("upstreams.slots", slots, 1, 100),
	INTEGER("upstreams.connections", connections, 1, 10000),
	INTEGER("upstreams.connect_ms", connect_ms, 0, 1000),
	DECIMAL("upstreams.service_ms", service_ms, 0.1, 10000),
	DECIMAL("upstreams.sigma", sigma, 0, 5),
	DECIMAL("upstreams.slow_share", slow_share, 0, 1),
	DECIMAL("upstreams.slow_factor", slow_factor, 1, 1000),
	INTEGER("upstreams.cold_ms", cold_ms, 0, 60000),
	INTEGER("upstreams.cold_bears", cold_max_requests, 1, 100),
	INTEGER("index.buckets", buckets, 1, 1000000),
	INTEGER("index.period_ms", index_period_ms, 0, 60000),
	{"faults.plan", PD_SETTING_TEXT_LIST, offsetof(struct bench_experiment, faults), 0, 0,
	 false, "a list of \"AT_MS ACTION ARGUMENTS\""},
	DECIMAL("require.max_p99_ratio", max_p99_ratio, 0, 100),
	DECIMAL("require.max_oracle_ratio", max_oracle_ratio, 0, 100),
	DECIMAL("require.max_extra", max_extra, 0, 100),
	DECIMAL("require.min_whole", min_whole, 0, 1),
	INTEGER("require.max_cold_overloads", max_cold_overloads, -1, 1000000),
	INTEGER("require.max_new_work_after_drain_ms", max_new_work_after_drain_ms, -1, 1000000),
	DECIMAL("require.min_urgent_in_deadline", min_urgent_in_deadline, -1, 1),
	DECIMAL("require.min_coverage", min_coverage, -1, 1),
	INTEGER("require.max_unknown", max_unknown, -1, 1000000),
	INTEGER("require.max_no_answer", max_no_answer, -1, 1000000),
	INTEGER("require.max_interrupted", max_interrupted, -1, 1000000),
};

/* Sets the values of the keys that the file doesn't contain. */
static void set_defaults(struct bench_experiment *e)
{
	memset(e, 0, sizeof(*e));
	strcpy(e->target, "both");
	strcpy(e->zone_names, "boston providence hartford portland");
	e->seed = 1;
	e->duration_ms = 10000;
	e->warmup_ms = 2000;
	e->rate = 50;
	e->deadline_ms = 400;
	e->urgent_share = 1;
	e->callers = 64;
	e->entries = 12;
	e->lame_duck_ms = 3000;
	e->log_level = 6;
	e->zone_delay_us = 1500;
	e->services = 20;
	e->replicas = 2;
	e->slots = 3;
	e->connections = 60;
	e->connect_ms = 6;
	e->service_ms = 20;
	e->sigma = 0.3;
	e->slow_factor = 10;
	e->cold_ms = 2000;
	e->cold_max_requests = 1;
	e->buckets = 1000;
	e->max_cold_overloads = -1;
	e->max_new_work_after_drain_ms = -1;
	e->min_urgent_in_deadline = -1;
	e->min_coverage = -1;
	e->max_unknown = -1;
	e->max_no_answer = -1;
	e->max_interrupted = -1;
}

/* Splits the list of zone names into @e->zones. */
static enum pd_code split_zones(struct bench_experiment *e, struct pd_error *err)
{
	const char *at = e->zone_names;

	while (*at) {
		size_t len = strcspn(at, " ");

		if (len) {
			if (e->zone_count == BENCH_ZONES_MAX ||
			    !pd_name_set(&e->zones[e->zone_count++], (struct pd_str){at, len}))
				return pd_error_set(err, PD_LAYER_STATE, PD_INVALID,
						    "deployment.zones: more than %d zone names or "
						    "an invalid one",
						    BENCH_ZONES_MAX);
		}
		at += len + strspn(at + len, " ");
	}
	if (e->zone_count)
		return PD_OK;
	return pd_error_set(err, PD_LAYER_STATE, PD_INVALID,
			    "deployment.zones: no zone name is given");
}

enum pd_code bench_experiment_load(struct bench_experiment *experiment, const char *path,
				   struct pd_buf *errors, struct pd_error *err)
{
	enum pd_code code;

	set_defaults(experiment);
	code = pd_settings_load(path, schema, sizeof(schema) / sizeof(schema[0]), experiment,
				errors, err);
	return code == PD_OK ? split_zones(experiment, err) : code;
}
