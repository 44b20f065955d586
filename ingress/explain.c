#include "explain.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "ingress_private.h"
#include "key_check.h"
#include "log.h"
#include "os.h"
#include "policy.h"

#define TARGET_EXPLAIN "/explain"

/**
 * struct question - the request that is explained
 * @host: value of its Host field
 * @path: its target
 * @has_key: it has an API key
 */
struct question {
	struct pd_buf host;
	struct pd_buf path;
	bool has_key;
};

/**
 * struct leg_outlook - what is expected of the part of a request that one target serves
 * @permit: best permit of the target's upstreams
 * @expected_us: expected latency, in microseconds; 0 if unknown
 */
struct leg_outlook {
	struct pd_permit permit;
	int64_t expected_us;
};

bool pd_explain_is_target(struct pd_str target)
{
	size_t len = strlen(TARGET_EXPLAIN);

	return target.len >= len && !memcmp(target.data, TARGET_EXPLAIN, len) &&
	       (target.len == len || target.data[len] == '?');
}

static int hex_digit(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	return c >= 'A' && c <= 'F' ? c - 'A' + 10 : -1;
}

/* Appends @text without its percent-encoding; false if that is malformed. */
static bool decode(struct pd_str text, struct pd_buf *out)
{
	for (size_t i = 0; i < text.len; i++) {
		char c = text.data[i];

		if (c == '%') {
			int high = i + 2 < text.len ? hex_digit(text.data[i + 1]) : -1;
			int low = high >= 0 ? hex_digit(text.data[i + 2]) : -1;

			if (low < 0)
				return false;
			c = (char)(high * 16 + low);
			i += 2;
		}
		if (!pd_buf_append(out, &c, 1))
			return false;
	}
	return true;
}

/* Removes the part up to the next @separator from @rest and returns it. */
static struct pd_str split(struct pd_str *rest, char separator)
{
	const char *end = rest->len ? memchr(rest->data, separator, rest->len) : NULL;
	struct pd_str part = {rest->data, end ? (size_t)(end - rest->data) : rest->len};
	size_t skip = part.len + (end != NULL);

	rest->data += skip;
	rest->len -= skip;
	return part;
}

static bool read_parameter(struct question *question, struct pd_str name, struct pd_str value)
{
	if (pd_str_is(name, "host"))
		return !question->host.len && decode(value, &question->host);
	if (pd_str_is(name, "path"))
		return !question->path.len && decode(value, &question->path);
	if (!pd_str_is(name, "key_present"))
		return false;
	question->has_key = pd_str_is(value, "1");
	return question->has_key || pd_str_is(value, "0");
}

static bool read_question(struct pd_str target, struct question *question)
{
	split(&target, '?');
	while (target.len) {
		struct pd_str value = split(&target, '&');
		struct pd_str name = split(&value, '=');

		if (!read_parameter(question, name, value))
			return false;
	}
	return question->host.len && question->path.len && question->path.data[0] == '/';
}

static int64_t to_ms(int64_t us)
{
	return us == PD_PERMIT_NEVER ? -1 : us / PD_USEC_PER_MSEC;
}

static void print_choice(const struct pd_choice *choice, struct pd_buf *out)
{
	const struct pd_candidate *candidate = &choice->candidate;

	pd_buf_printf(
		out,
		"  candidate upstream=%s zone=%s chosen=%.2f cost=%.3f block=%s wait_ms=%" PRId64
		" ejected=%d cold=%d unanswered=%d connected=%d at_connection_limit=%d "
		"same_zone=%d latency_ratio=%.3f in_flight=%.0f load=%.2f "
		"report_age_ms=%" PRId64 " slots=%u\n",
		choice->id.text, choice->zone.text, choice->chosen_share, choice->cost,
		pd_block_name(choice->permit.block), to_ms(choice->permit.wait_us),
		candidate->ejected, candidate->cold, candidate->unanswered, candidate->connected,
		candidate->at_connection_limit, candidate->same_zone, candidate->latency_ratio,
		candidate->in_flight, candidate->reported_load,
		choice->report_age_us < 0 ? -1 : choice->report_age_us / PD_USEC_PER_MSEC,
		candidate->slots);
}

/* Explains the choice between the upstreams of a service. */
static struct leg_outlook explain_service(struct pd_ingress *ingress, struct pd_service *service,
					  const char *label, struct pd_buf *out)
{
	struct pd_choice *choices = calloc(PD_CHOICES_MAX, sizeof(*choices));
	struct leg_outlook outlook = {
		.permit = {.block = PD_BLOCK_NO_UPSTREAM, .wait_us = PD_PERMIT_NEVER}};
	size_t count = 0;

	if (choices)
		count = pd_registry_explain(&ingress->registry, service, pd_os_boot_us(), choices,
					    &outlook.permit, &outlook.expected_us);
	pd_buf_printf(out,
		      "%s service=%s candidates=%zu block=%s wait_ms=%" PRId64
		      " expected_ms=%" PRId64 "\n",
		      label, service->name.text, count, pd_block_name(outlook.permit.block),
		      to_ms(outlook.permit.wait_us), outlook.expected_us / PD_USEC_PER_MSEC);
	for (size_t i = 0; i < count; i++)
		print_choice(&choices[i], out);
	free(choices);
	return outlook;
}

/* Whether a larger instance would get the request; see relay_request() in serve.c. */
static bool explain_relay(struct pd_ingress *ingress, const struct pd_route *route,
			  struct pd_buf *out)
{
	struct leg_outlook outlook;

	if (route->kind != PD_ROUTE_GATHER || !ingress->registry.relays.upstreams)
		return false;
	outlook = explain_service(ingress, &ingress->registry.relays, "relay", out);
	return outlook.permit.block == PD_BLOCK_NONE && !outlook.permit.ejected;
}

static int compare_waits(const void *a, const void *b)
{
	int64_t left = ((const struct leg_outlook *)a)->permit.wait_us;
	int64_t right = ((const struct leg_outlook *)b)->permit.wait_us;

	return (left > right) - (left < right);
}

/* Prints what would become of a request of which @outlooks are the legs. */
static void print_result(const struct pd_route *route, struct leg_outlook *outlooks, size_t legs,
			 struct pd_buf *out)
{
	int64_t now = pd_os_boot_us(), *expected = calloc(legs + 1, sizeof(*expected));
	int64_t deadline = pd_policy_deadline(route, now, false, 0);
	size_t needed = pd_policy_parts_needed(route);
	bool admitted;

	if (!expected)
		return;
	for (size_t i = 0; i < legs; i++)
		expected[i] = outlooks[i].expected_us;
	admitted = pd_policy_admit(route, expected, legs, now, pd_policy_cutoff(route, now, -1),
				   deadline);
	qsort(outlooks, legs, sizeof(*outlooks), compare_waits);
	if (needed > legs || outlooks[needed - 1].permit.block != PD_BLOCK_NONE)
		pd_buf_printf(out, "result refused status=503 reason=%s\n",
			      needed > legs ? "parts"
					    : pd_block_name(outlooks[needed - 1].permit.block));
	else if (!admitted)
		pd_buf_append_str(out, PD_STR("result refused status=503 reason=upstreams_busy\n"));
	else
		pd_buf_printf(out, "result sent parts=%zu needed=%zu\n", legs, needed);
	free(expected);
}

static void explain_targets(struct pd_ingress *ingress, const struct pd_catalog *catalog,
			    const struct pd_route *route, struct pd_buf *out)
{
	struct leg_outlook *outlooks = calloc(route->target_count + 1, sizeof(*outlooks));
	uint32_t next = pd_registry_peek_target(&ingress->registry, route);
	bool gather = route->kind == PD_ROUTE_GATHER;

	for (size_t i = 0; outlooks && i < route->target_count; i++) {
		const struct pd_route_target *target = &route->targets[i];

		/* Of a route that divides its requests, the next one goes to one target. */
		outlooks[i] = explain_service(ingress, catalog->services[target->service].runtime,
					      gather || i == next ? "target" : "later", out);
	}
	if (outlooks && gather)
		print_result(route, outlooks, route->target_count, out);
	else if (outlooks)
		print_result(route, &outlooks[next], 1, out);
	free(outlooks);
}

/* Whether a request with a key would be refused because the key may have been withdrawn. */
static bool is_unconfirmed(struct pd_ingress *ingress)
{
	return pd_os_boot_us() >=
	       pd_key_confirmed_until_us(pd_directory_config_confirmed_us(&ingress->directory),
					 ingress->settings.revocation_ms);
}

static void explain_route(struct pd_ingress *ingress, const struct question *question,
			  const struct pd_catalog *catalog, const struct pd_route *route,
			  struct pd_buf *out)
{
	bool needs_key = catalog->has_accounts && !route->allow_anonymous;

	pd_buf_printf(out,
		      "route name=%.*s prefix=%.*s kind=%s idempotent=%d max_attempts=%u "
		      "targets=%zu needs_key=%d\n",
		      PD_STR_ARG(route->name), PD_STR_ARG(route->prefix),
		      route->kind == PD_ROUTE_GATHER ? "gather" : "forward", route->idempotent,
		      route->max_attempts, route->target_count, needs_key);
	if (needs_key && !question->has_key)
		pd_buf_append_str(out, PD_STR("result refused status=401 reason=no_key\n"));
	else if (needs_key && is_unconfirmed(ingress))
		pd_buf_append_str(out,
				  PD_STR("result refused status=503 reason=key_unconfirmed\n"));
	else if (route->unusable)
		pd_buf_append_str(out,
				  PD_STR("result refused status=503 reason=route_unreadable\n"));
	else if (!pd_ingress_takes(ingress, route))
		pd_buf_append_str(out, PD_STR("result refused status=503 reason=stopping\n"));
	else if (explain_relay(ingress, route, out))
		pd_buf_append_str(out, PD_STR("result relayed\n"));
	else
		explain_targets(ingress, catalog, route, out);
}

static void print_instance(struct pd_ingress *ingress, const struct pd_catalog *catalog,
			   struct pd_buf *out)
{
	int64_t confirmed_us = pd_directory_config_confirmed_us(&ingress->directory);

	pd_buf_printf(out,
		      "instance name=%s zone=%s ready=%d stopping=%d store_reachable=%d "
		      "config=%" PRIu64 " config_proven_ms=%" PRId64 "\n",
		      ingress->settings.node.text, ingress->settings.zone.text,
		      pd_ingress_is_ready(ingress), pd_ingress_is_stopping(ingress),
		      pd_directory_is_store_reachable(&ingress->directory),
		      catalog ? catalog->version : 0,
		      confirmed_us ? (pd_os_boot_us() - confirmed_us) / PD_USEC_PER_MSEC : -1);
}

static void explain_question(struct pd_ingress *ingress, const struct question *question,
			     struct pd_buf *out)
{
	struct pd_catalog *catalog = pd_registry_catalog(&ingress->registry);
	char host[PD_LOG_QUOTE_MAX_BYTES], path[PD_LOG_QUOTE_MAX_BYTES];
	struct pd_str target = pd_buf_str(&question->path);
	struct pd_route *route = NULL;

	pd_buf_printf(out, "request host=%s path=%s key=%s\n",
		      pd_log_quote(pd_buf_str(&question->host), host), pd_log_quote(target, path),
		      question->has_key ? "present" : "absent");
	print_instance(ingress, catalog, out);
	if (catalog)
		route = pd_catalog_find_route(catalog, pd_buf_str(&question->host),
					      split(&target, '?'));
	if (!catalog)
		pd_buf_append_str(out, PD_STR("result refused status=503 reason=no_config\n"));
	else if (pd_ingress_at_request_limit(ingress))
		pd_buf_append_str(out, PD_STR("result refused status=503 reason=requests\n"));
	else if (!route)
		pd_buf_append_str(out, PD_STR("result refused status=404 reason=no_route\n"));
	else
		explain_route(ingress, question, catalog, route, out);
	pd_catalog_release(catalog);
}

int pd_explain(struct pd_ingress *ingress, struct pd_str target, struct pd_buf *out)
{
	struct question question = {0};
	int status = HTTP_STATUS_OK;

	if (read_question(target, &question)) {
		explain_question(ingress, &question, out);
	} else {
		status = HTTP_STATUS_BAD_REQUEST;
		pd_buf_append_str(out, PD_STR("expected /explain?host=HOST&path=PATH, and "
					      "&key_present=1 for a request with a key\n"));
	}
	pd_buf_finish(&question.host);
	pd_buf_finish(&question.path);
	return status;
}
