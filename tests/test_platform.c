/**
 * DOC: Tests of the platform's and the feed's formats: configurations, entries, HTTP messages and
 * records
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catalog.h"
#include "feed_message.h"
#include "headers.h"
#include "http.h"
#include "merge.h"
#include "objects.h"
#include "os.h"
#include "settings_file.h"
#include "suite.h"

static struct pd_catalog *read_config(const char *text, struct pd_error *err)
{
	json_t *json = json_loads(text, 0, NULL);
	struct pd_catalog *catalog;

	ck_assert_ptr_nonnull(json);
	catalog = pd_object_read_config(json, err);
	json_decref(json);
	return catalog;
}

START_TEST(routes_match_by_host_and_longest_prefix)
{
	/* Guards against requests that reach the service of another route: of the routes of a host,
	 * the one with the longest matching prefix must be used.
	 */
	struct pd_error err;
	struct pd_catalog *catalog = read_config(
		"{\"version\":3,\"services\":[{\"name\":\"a\"},{\"name\":\"b\"}],\"routes\":["
		"{\"name\":\"short\",\"host\":\"one.example\",\"path_prefix\":\"/x/"
		"\",\"service\":\"a\"},"
		"{\"name\":\"long\",\"host\":\"one.example\",\"path_prefix\":\"/x/y/"
		"\",\"service\":\"b\"},"
		"{\"name\":\"other\",\"host\":\"two.example\",\"path_prefix\":\"/"
		"\",\"service\":\"b\"}]}",
		&err);

	ck_assert_ptr_nonnull(catalog);
	ck_assert(pd_str_is(
		pd_catalog_find_route(catalog, PD_STR("one.example"), PD_STR("/x/1"))->name,
		"short"));
	ck_assert(pd_str_is(
		pd_catalog_find_route(catalog, PD_STR("One.Example:80"), PD_STR("/x/y/1"))->name,
		"long"));
	ck_assert(
		pd_str_is(pd_catalog_find_route(catalog, PD_STR("two.example"), PD_STR("/q"))->name,
			  "other"));
	ck_assert_ptr_null(pd_catalog_find_route(catalog, PD_STR("one.example"), PD_STR("/x")));
	ck_assert_ptr_null(pd_catalog_find_route(catalog, PD_STR("three.example"), PD_STR("/x/1")));
	pd_catalog_release(catalog);
}
END_TEST

START_TEST(only_idempotent_routes_allow_retries)
{
	/* Guards against repeated execution: only requests of idempotent routes may be retried, so
	 * a route of an unknown kind must not count as idempotent.
	 */
	struct pd_error err;
	struct pd_catalog *catalog =
		read_config("{\"version\":3,\"services\":[{\"name\":\"a\"}],\"routes\":["
			    "{\"name\":\"i\",\"host\":\"h\",\"path_prefix\":\"/aaa/"
			    "\",\"service\":\"a\",\"route_kind\":\"idempotent\"},"
			    "{\"name\":\"n\",\"host\":\"h\",\"path_prefix\":\"/bb/"
			    "\",\"service\":\"a\",\"route_kind\":\"non_idempotent\"},"
			    "{\"name\":\"q\",\"host\":\"h\",\"path_prefix\":\"/c/"
			    "\",\"service\":\"a\",\"route_kind\":\"new\"}]}",
			    &err);

	ck_assert(catalog->routes[0].idempotent);
	ck_assert(!catalog->routes[1].idempotent);
	ck_assert(!catalog->routes[2].idempotent);
	pd_catalog_release(catalog);
}
END_TEST

#define UNKNOWN_SERVICE                                                                            \
	"{\"version\":3,\"services\":[],\"routes\":[{\"name\":\"r\",\"host\":\"h\","               \
	"\"path_prefix\":\"/\",\"service\":\"x\"}]}"

START_TEST(invalid_configurations_are_rejected)
{
	/* Guards against a partly applied configuration: one with missing or wrong fields must be
	 * rejected as a whole.
	 */
	static const char *const texts[] = {
		"{}",
		"{\"version\":\"3\",\"services\":[],\"routes\":[]}",
		"{\"version\":3,\"services\":[{}],\"routes\":[]}",
		"{\"version\":3,\"services\":[],\"routes\":[{\"name\":\"r\"}]}",
	};
	struct pd_error err;

	for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++)
		ck_assert_ptr_null(read_config(texts[i], &err));
	ck_assert_ptr_null(read_config(UNKNOWN_SERVICE, &err));
}
END_TEST

START_TEST(responses_show_whether_request_was_executed)
{
	/* Guards against repeated execution: only the header field or status by which the platform
	 * marks a request as not executed proves that; a 503 alone doesn't.
	 */
	static const struct {
		const char *text;
		enum pd_response_execution expected;
	} cases[] = {
		{"HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		 PD_RESPONSE_NOT_EXECUTED},
		{"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", PD_RESPONSE_EXECUTED},
		{"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n", PD_RESPONSE_WRONG_INSTANCE},
		{"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n", PD_RESPONSE_EXECUTED},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct pd_response_fields fields;
		struct pd_http_message msg;
		size_t used;

		pd_http_message_init(&msg, PD_HTTP_RESPONSE, 1000, 1000);
		ck_assert_int_eq(
			pd_http_message_parse(&msg, cases[i].text, strlen(cases[i].text), &used),
			PD_HTTP_COMPLETE);
		pd_platform_read_response(&msg, &fields);
		ck_assert_int_eq(fields.execution, cases[i].expected);
		pd_http_message_finish(&msg);
	}
}
END_TEST

START_TEST(load_report_with_an_odd_speed_keeps_its_other_numbers)
{
	/* Guards against a lost load report, or a choice of upstreams by nonsense: an upstream may
	 * state no fourth number or one that isn't a speed, and the three others must hold.
	 */
	static const struct {
		const char *value;
		bool has_load;
		double speed; /* 0: not stated */
	} cases[] = {
		{"1,2,3", true, 0},
		{"1,2,3,100", true, 1},
		{"1,2,3,250", true, 2.5},
		{"1,2,3, 80.5", true, 0.805},
		{"1,2,3,", true, 0},
		{"1,2,3,-250", true, 0},
		{"1,2,3,0", true, 0},
		{"1,2,3,0.5", true, 0},
		{"1,2,3,10001", true, 0},
		{"1,2,3,99999999999999999999999999999999999999999999999999999999", true, 0},
		{"1,2,3,1e2", true, 0},
		{"1,2,3,nan", true, 0},
		{"1,2,3,fast", true, 0},
		{"1,2,3,100,7", true, 0},
		{"-1,2,3,100", false, 0},
		{"1,2", false, 0},
		{",,,100", false, 0},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct pd_response_fields fields;
		struct pd_http_message msg;
		char text[200];
		size_t used;

		snprintf(text, sizeof(text),
			 "HTTP/1.1 200 X\r\nX-Server-Load: %s\r\nContent-Length: 0\r\n\r\n",
			 cases[i].value);
		pd_http_message_init(&msg, PD_HTTP_RESPONSE, 1000, 1000);
		ck_assert_int_eq(pd_http_message_parse(&msg, text, strlen(text), &used),
				 PD_HTTP_COMPLETE);
		pd_platform_read_response(&msg, &fields);
		ck_assert_msg(fields.has_load == cases[i].has_load, "%s", cases[i].value);
		ck_assert_msg(fields.has_speed == (cases[i].speed > 0), "%s", cases[i].value);
		ck_assert_double_eq_tol(fields.speed, cases[i].speed, 1e-9);
		if (fields.has_load)
			ck_assert(fields.running == 1 && fields.queued == 2 && fields.slots == 3);
		pd_http_message_finish(&msg);
	}
}
END_TEST

START_TEST(parser_stops_at_end_of_message)
{
	/* Guards against mixing up consecutive responses: wherever the received bytes are split,
	 * the parser must stop at the end of the first response.
	 */
	const char *text =
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nX-A: b\r\n\r\nabcHTTP/1.1 404 N";
	size_t first = strlen(text) - strlen("HTTP/1.1 404 N");

	for (size_t cut = 1; cut < first; cut++) {
		struct pd_http_message msg;
		struct pd_str value;
		size_t used;

		pd_http_message_init(&msg, PD_HTTP_RESPONSE, 1000, 1000);
		ck_assert_int_eq(pd_http_message_parse(&msg, text, cut, &used), PD_HTTP_INCOMPLETE);
		ck_assert_int_eq(pd_http_message_parse(&msg, text + cut, strlen(text) - cut, &used),
				 PD_HTTP_COMPLETE);
		ck_assert_uint_eq(used, first - cut);
		ck_assert(pd_str_is(pd_buf_str(&msg.body), "abc"));
		ck_assert(pd_http_message_field(&msg, "x-a", &value) && pd_str_is(value, "b"));
		pd_http_message_finish(&msg);
	}
}
END_TEST

START_TEST(ambiguous_requests_are_malformed)
{
	/* Guards against request smuggling: with two lengths, with a length and chunked encoding,
	 * or with a malformed field, an upstream could find another end of the request.
	 */
	static const char *const texts[] = {
		"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: "
		"chunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
		"POST / HTTP/1.1\r\nContent-Length: 3x\r\n\r\nabc",
		"GET / HTTP/1.1\r\nBad Name: x\r\n\r\n",
	};

	for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
		struct pd_http_message msg;
		size_t used;

		pd_http_message_init(&msg, PD_HTTP_REQUEST, 1000, 1000);
		ck_assert_int_eq(pd_http_message_parse(&msg, texts[i], strlen(texts[i]), &used),
				 PD_HTTP_MALFORMED);
		pd_http_message_finish(&msg);
	}
}
END_TEST

START_TEST(closed_connection_ends_unframed_response)
{
	/* Guards against forwarding truncated responses: a closed connection ends a body without a
	 * length, but cuts off one that has a length.
	 */
	const char *text = "HTTP/1.1 200 OK\r\n\r\nabc";
	struct pd_http_message msg;
	size_t used;

	pd_http_message_init(&msg, PD_HTTP_RESPONSE, 1000, 1000);
	ck_assert_int_eq(pd_http_message_parse(&msg, text, strlen(text), &used),
			 PD_HTTP_INCOMPLETE);
	ck_assert_int_eq(pd_http_message_eof(&msg), PD_HTTP_COMPLETE);
	ck_assert(!msg.framed);
	pd_http_message_reset(&msg);
	text = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc";
	ck_assert_int_eq(pd_http_message_parse(&msg, text, strlen(text), &used),
			 PD_HTTP_INCOMPLETE);
	ck_assert_int_eq(pd_http_message_eof(&msg), PD_HTTP_MALFORMED);
	pd_http_message_finish(&msg);
}
END_TEST

START_TEST(forwarded_header_lacks_hop_by_hop_fields)
{
	/* Guards against forwarding hop-by-hop fields, and fields that the ingress sets itself. */
	const char *text =
		"POST /a?b=%20 HTTP/1.1\r\nHost: h\r\nConnection: close\r\nX-Request-Id: 7\r\n"
		"X-Deadline-Ms: 5\r\nX-Expect-Instance: evil\r\nContent-Length: 2\r\nX-Own: "
		"v\r\n\r\nhi";
	struct pd_http_message msg;
	struct pd_buf out = {0};
	size_t used;

	pd_http_message_init(&msg, PD_HTTP_REQUEST, 1000, 1000);
	ck_assert_int_eq(pd_http_message_parse(&msg, text, strlen(text), &used), PD_HTTP_COMPLETE);
	pd_platform_write_head(&msg, NULL, &out);
	ck_assert_str_eq(out.data,
			 "POST /a?b=%20 HTTP/1.1\r\nHost: h\r\nX-Request-Id: 7\r\nX-Own: v\r\n"
			 "Content-Length: 2\r\n");
	pd_buf_finish(&out);
	pd_http_message_finish(&msg);
}
END_TEST

static int compare_records(const void *a, const void *b)
{
	return memcmp(b, a, PD_RECORD_BYTES);
}

START_TEST(merge_equals_sorting_all_records)
{
	/* Guards against lost or extra records: merging must give the same result as sorting all
	 * records. Equal records are all kept; incomplete ones at the end of a part are dropped.
	 */
	srand(11);
	for (int round = 0; round < 300; round++) {
		char data[12][40 * PD_RECORD_BYTES + 7], all[12 * 40 * PD_RECORD_BYTES];
		struct pd_str parts[12];
		size_t total = 0, top = (size_t)(rand() % 60);
		struct pd_buf out = {0};

		for (int p = 0; p < 12; p++) {
			size_t records = (size_t)(rand() % 40);

			for (size_t i = 0; i < sizeof(data[p]); i++)
				data[p][i] = (char)(rand() % 3);
			parts[p] = (struct pd_str){data[p], records * PD_RECORD_BYTES +
								    (size_t)(rand() % 7)};
			memcpy(all + total * PD_RECORD_BYTES, data[p], records * PD_RECORD_BYTES);
			total += records;
		}
		qsort(all, total, PD_RECORD_BYTES, compare_records);
		ck_assert(pd_merge_top(parts, 12, top, &out));
		if (top > total)
			top = total;
		ck_assert_uint_eq(out.len, top * PD_RECORD_BYTES);
		ck_assert(!out.len || !memcmp(out.data, all, out.len));
		pd_buf_finish(&out);
	}
}
END_TEST

static struct pd_str payload(const struct pd_buf *frame)
{
	return (struct pd_str){frame->data + 4, frame->len - 4};
}

START_TEST(upstream_message_round_trip)
{
	/* Guards against entries that are changed by encoding and decoding, and against crashes on
	 * malformed frames.
	 */
	struct pd_feed_message in = {.kind = PD_FEED_UPSTREAM}, out;
	struct pd_buf frame = {0};
	struct pd_error err;

	pd_name_set(&in.upstream.id, PD_STR("i-1"));
	pd_name_set(&in.upstream.service, PD_STR("s"));
	pd_name_set(&in.upstream.zone, PD_STR("z"));
	strcpy(in.upstream.address.text, "10.1.2.3:80");
	in.upstream.draining = true;
	in.upstream.slots = 7;
	in.upstream.cold_ms = 1234;
	in.upstream.started_unix_ms = 1700000000000;
	in.upstream.sequence = 7;
	in.upstream.revision = (struct pd_revision){3, 9000};
	in.upstream.has_limit = true;
	in.upstream.limit_per_s = 4.5;
	pd_feed_message_encode(&in, &frame);
	ck_assert_int_eq(pd_feed_message_decode(payload(&frame), &out, &err), PD_OK);
	ck_assert_str_eq(out.upstream.id.text, "i-1");
	ck_assert_str_eq(out.upstream.address.text, "10.1.2.3:80");
	ck_assert(out.upstream.draining);
	ck_assert_int_eq(out.upstream.started_unix_ms, 1700000000000);
	ck_assert_uint_eq(out.upstream.sequence, 7);
	ck_assert_uint_eq(out.upstream.revision.era, 3);
	ck_assert_uint_eq(out.upstream.revision.number, 9000);
	ck_assert(out.upstream.has_limit);
	ck_assert_double_eq(out.upstream.limit_per_s, 4.5);
	pd_feed_message_finish(&out);
	/* Every truncated frame must be rejected. */
	for (size_t len = 0; len + 4 < frame.len; len++)
		ck_assert_int_ne(
			pd_feed_message_decode((struct pd_str){frame.data + 4, len}, &out, &err),
			PD_OK);
	pd_buf_finish(&frame);
	/* An array with a stated size of four billion items must not be allocated; the fuzzer found
	 * that it was.
	 */
	ck_assert_int_ne(pd_feed_message_decode(PD_STR("\xdd\xff\xff\xff\xff"), &out, &err), PD_OK);
}
END_TEST

START_TEST(revisions_round_trip)
{
	/* Guards against messages that lose how recent they are: a follower would take an older
	 * list for a newer one.
	 */
	static const enum pd_feed_kind kinds[] = {PD_FEED_LIST_BEGIN, PD_FEED_LIST_END,
						  PD_FEED_PROGRESS, PD_FEED_REMOVED,
						  PD_FEED_EVACUATIONS};
	struct pd_error err;

	for (size_t i = 0; i < sizeof(kinds) / sizeof(kinds[0]); i++) {
		struct pd_feed_message in = {.kind = kinds[i]}, out;
		struct pd_buf frame = {0};
		struct pd_revision *sent = &in.at, *received = &out.at;

		if (kinds[i] == PD_FEED_REMOVED) {
			pd_name_set(&in.removed.id, PD_STR("i-1"));
			sent = &in.removed.at;
			received = &out.removed.at;
		} else if (kinds[i] == PD_FEED_EVACUATIONS) {
			sent = &in.evacuations.at;
			received = &out.evacuations.at;
		}
		*sent = (struct pd_revision){3, 9000};
		pd_feed_message_encode(&in, &frame);
		ck_assert_int_eq(pd_feed_message_decode(payload(&frame), &out, &err), PD_OK);
		ck_assert_uint_eq(received->era, 3);
		ck_assert_uint_eq(received->number, 9000);
		pd_feed_message_finish(&out);
		pd_buf_finish(&frame);
	}
}
END_TEST

START_TEST(heartbeat_round_trip)
{
	/* Guards against followers without a source: a follower that can't decode a heartbeat
	 * disconnects from its source.
	 */
	struct pd_feed_message in = {.kind = PD_FEED_HEARTBEAT}, out;
	struct pd_error err;

	for (int i = 0; i < 4; i++) {
		struct pd_buf frame = {0};

		in.heartbeat.store_reachable = i & 1;
		in.heartbeat.hold_ms = i & 2 ? 1750 : 0;
		pd_feed_message_encode(&in, &frame);
		ck_assert_int_eq(pd_feed_message_decode(payload(&frame), &out, &err), PD_OK);
		ck_assert(out.heartbeat.store_reachable == in.heartbeat.store_reachable);
		ck_assert_uint_eq(out.heartbeat.hold_ms, in.heartbeat.hold_ms);
		pd_feed_message_finish(&out);
		pd_buf_finish(&frame);
	}
}
END_TEST

START_TEST(settings_errors_name_key_or_line)
{
	/* Guards against errors that don't help an operator to find the mistake in a settings file:
	 * they must name the key or the line.
	 */
	char path[] = "/tmp/pd-settings-XXXXXX";
	struct pd_ingress_settings settings;
	struct pd_error err;
	int fd = mkstemp(path);
	FILE *file = fdopen(fd, "w");

	fputs("{\"platform\":{\"node_name\":\"n\",\"zone\":\"z\",\"listen_addresses\":{\"front\":"
	      "\"1.2.3.4\"}}}",
	      file);
	fclose(file);
	ck_assert_int_eq(pd_settings_file_read(path, &settings, &err), PD_INVALID);
	ck_assert_ptr_nonnull(strstr(err.text, "listen_addresses.front"));
	file = fopen(path, "w");
	fputs("{\n\"platform\": nonsense", file);
	fclose(file);
	ck_assert_int_eq(pd_settings_file_read(path, &settings, &err), PD_INVALID);
	ck_assert_ptr_nonnull(strstr(err.text, ":2:"));
	remove(path);
	ck_assert_int_eq(pd_settings_file_read(path, &settings, &err), PD_SYSTEM);
}
END_TEST

/* Reads sound settings with one more bound. */
static enum pd_code read_settings_with(const char *bound, struct pd_ingress_settings *settings,
				       struct pd_error *err)
{
	json_t *json = json_pack(
		"{s:{s:s,s:s,s:s,s:[i],s:{s:s,s:s},s:{s:s},s:{s:i,s:f},s:{s:f,s:i,s:i}},s:{s:s,s:"
		"i}}",
		"platform", "node_name", "n", "zone", "z", "ip", "127.0.0.1", "internal_port_range",
		9, "listen_addresses", "front", "127.0.0.1:1", "ready", "127.0.0.1:2", "platform",
		"address", "127.0.0.1:3", "limits", "max_file_descriptors", 100, "cpu_share", 1.0,
		"bounds", "retry_budget_ratio", 0.2, "retry_budget_slack", 10, "grace_period_s", 6,
		"ingress", "metrics_address", "127.0.0.1:4", "log_lines_per_s", 100);
	json_t *more = json_loads(bound, 0, NULL);
	enum pd_code code;

	ck_assert_ptr_nonnull(json);
	ck_assert_ptr_nonnull(more);
	json_object_update(json_object_get(json_object_get(json, "platform"), "bounds"), more);
	code = pd_settings_read_json(json, "settings", settings, err);
	json_decref(json);
	json_decref(more);
	return code;
}

START_TEST(bad_optional_bounds_are_rejected_by_name)
{
	/* Guards against a bound that is mistyped and left out without a word: a deployment would
	 * run without its quotas, or accept withdrawn keys.
	 */
	static const char *const keys[] = {
		"config_apply_ms", "revocation_ms",  "quota_window_s", "quota_overage",
		"quota_slack",	   "exposure_share", "exposure_slack", "rollback_ms",
	};
	static const char *const values[] = {"-1",    "\"5000\"", "null", "true",
					     "1e300", "[5]",	  "{}"};
	struct pd_ingress_settings settings;
	struct pd_error err;
	char text[96];

	for (size_t k = 0; k < sizeof(keys) / sizeof(keys[0]); k++) {
		for (size_t v = 0; v < sizeof(values) / sizeof(values[0]); v++) {
			snprintf(text, sizeof(text), "{\"%s\":%s}", keys[k], values[v]);
			ck_assert_msg(read_settings_with(text, &settings, &err) == PD_INVALID, "%s",
				      text);
			snprintf(text, sizeof(text), "platform.bounds.%s is", keys[k]);
			ck_assert_msg(strstr(err.text, text) != NULL, "%s", err.text);
		}
	}
	for (size_t v = 0; v < sizeof(values) / sizeof(values[0]); v++) {
		bool is_bool = !strcmp(values[v], "true");

		snprintf(text, sizeof(text), "{\"strict_revocation\":%s,\"revocation_ms\":5000}",
			 values[v]);
		ck_assert_msg(read_settings_with(text, &settings, &err) ==
				      (is_bool ? PD_OK : PD_INVALID),
			      "%s", text);
		if (!is_bool)
			ck_assert_ptr_nonnull(
				strstr(err.text, "platform.bounds.strict_revocation is"));
	}
	ck_assert_int_eq(read_settings_with("{\"exposure_share\":1.01}", &settings, &err),
			 PD_INVALID);
	/* Missing ones are 0, and unknown ones are ignored. */
	ck_assert_int_eq(read_settings_with("{\"new_bound\":\"x\"}", &settings, &err), PD_OK);
	ck_assert_uint_eq(settings.revocation_ms, 0);
	ck_assert(settings.quota_window_s == 0 && settings.exposure_share == 0);
	ck_assert_int_eq(read_settings_with("{\"strict_revocation\":false,\"revocation_ms\":5000}",
					    &settings, &err),
			 PD_OK);
	ck_assert_uint_eq(settings.revocation_ms, 0);
}
END_TEST

START_TEST(strict_revocation_needs_a_time)
{
	/* Guards against strict revocation that is off, or refuses all keys for good, because of a
	 * time that is missing or too short.
	 */
	static const struct {
		const char *bounds;
		uint32_t revocation_ms; /* 0 if the bounds are invalid */
	} cases[] = {
		{"{\"strict_revocation\":true}", 5000},
		{"{\"strict_revocation\":true,\"revocation_ms\":501}", 501},
		{"{\"strict_revocation\":true,\"revocation_ms\":500}", 0},
		{"{\"strict_revocation\":true,\"revocation_ms\":0.5}", 0},
		{"{\"strict_revocation\":true,\"revocation_ms\":0}", 0},
		{"{\"strict_revocation\":true,\"revocation_ms\":-1}", 0},
		{"{\"strict_revocation\":true,\"revocation_ms\":null}", 0},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct pd_ingress_settings settings;
		struct pd_error err = {0};
		enum pd_code code = read_settings_with(cases[i].bounds, &settings, &err);

		ck_assert_msg(code == (cases[i].revocation_ms ? PD_OK : PD_INVALID), "%s",
			      cases[i].bounds);
		if (code == PD_OK)
			ck_assert_uint_eq(settings.revocation_ms, cases[i].revocation_ms);
		else
			ck_assert_ptr_nonnull(strstr(err.text, "platform.bounds.revocation_ms is"));
	}
}
END_TEST

/* Reads a page of objects, or of events, with one odd object between two readable ones; returns
 * the number of its entries that can be used.
 */
static size_t read_odd_page(const char *odd, bool events, struct pd_buf *reason)
{
	static const char object[] =
		"{\"meta\":{\"name\":\"good%d\"},\"spec\":{\"service\":\"s\",\"zone\":\"z\","
		"\"address\":\"127.0.0.1:9\",\"state\":\"ready\",\"slots\":3}}";
	const char *wrap = events ? "{\"tombstone\":false,\"object\":" : "";
	const char *end = events ? "}" : "";
	struct pd_buf text = {0}, last = {0};
	struct pd_object_page page;
	struct pd_error err;
	size_t usable = 0;

	pd_buf_printf(&text, "{\"at\":7,\"has_more\":true,\"%s\":[", events ? "events" : "items");
	for (int i = 1; i <= 2; i++) {
		pd_buf_append_str(&text, pd_str_from(wrap));
		pd_buf_printf(&text, object, i);
		pd_buf_printf(&text, "%s,%s", end, wrap);
		pd_buf_append_str(&text, pd_str_from(odd));
		pd_buf_printf(&text, "%s%s", end, i == 1 ? "," : "]}");
	}
	ck_assert_int_eq(pd_object_page_read(pd_buf_str(&text), events, &page, &err), PD_OK);
	ck_assert_uint_eq(page.revision, 7);
	ck_assert(page.has_more);
	ck_assert_uint_eq(pd_object_page_count(&page), 4);
	ck_assert(pd_object_page_last_name(&page, &last));
	for (size_t i = 0; i < pd_object_page_count(&page); i++) {
		struct pd_upstream_entry entry;
		struct pd_object entry_object;

		if (!pd_object_page_get(&page, i, &entry_object))
			continue;
		if (pd_object_read_upstream(&entry_object, &entry, &err) == PD_OK) {
			usable++;
			continue;
		}
		pd_buf_clear(reason);
		pd_buf_append_str(reason, pd_str_from(err.text));
	}
	pd_object_page_finish(&page);
	pd_buf_finish(&text);
	pd_buf_finish(&last);
	return usable;
}

#define ODD(spec) "{\"meta\":{\"name\":\"odd\"},\"spec\":" spec "}"
#define SOUND_FIELDS                                                                               \
	"\"service\":\"s\",\"zone\":\"z\",\"address\":\"127.0.0.1:9\",\"state\":\"ready\""

START_TEST(one_odd_object_does_not_hide_the_others)
{
	/* Guards against a page that is rejected as a whole because of one object of another
	 * writer, and against an error that doesn't say what is wrong with it.
	 */
	static const struct {
		const char *odd;
		const char *reason;
	} cases[] = {
		{ODD("{\"slots\":99999999999999999999}"), "too big integer"},
		{ODD("{\"slots\":1e999}"), "real number overflow"},
		{ODD("{\"service\":\"s\",\"service\":\"t\"}"), "duplicate object key"},
		{ODD("{\"service\":\"\xff\"}"), "unable to decode byte"},
		{ODD("{" SOUND_FIELDS ",\"slots\":\"3\"}"), "odd: slots"},
		{ODD("{" SOUND_FIELDS ",\"slots\":0}"), "odd: slots"},
		{ODD("{" SOUND_FIELDS ",\"slots\":5e9}"), "odd: slots"},
		{ODD("{" SOUND_FIELDS ",\"slots\":3,\"cold_remaining_ms\":1e300}"),
		 "odd: cold_remaining_ms"},
		{ODD("{" SOUND_FIELDS ",\"slots\":3,\"cold_remaining_ms\":\"1\"}"),
		 "odd: cold_remaining_ms"},
		{ODD("{" SOUND_FIELDS ",\"slots\":3,\"born\":1e18}"), "odd: born"},
		{ODD("{" SOUND_FIELDS ",\"slots\":3,\"seq\":-1}"), "odd: seq"},
		{ODD("{\"service\":\"s\",\"zone\":\"z\",\"address\":\"127.0.0.1:65536\"}"),
		 "odd: address"},
		{ODD("{\"service\":\"s\",\"zone\":\"z\",\"address\":\"127.0.0.1:0\"}"),
		 "odd: address"},
		{ODD("{\"service\":\"s\",\"zone\":\"z\",\"address\":\"127.0.0.1:-1\"}"),
		 "odd: address"},
		{ODD("[]"), "odd: service"},
		{ODD("null"), "odd: service"},
		{"{\"meta\":{\"name\":\"odd\"}}", "odd: service"},
		{"\"text\"", ""},
		{"nothing", ""},
		{"{\"spec\":{}}", ""},
		{"{\"meta\":{\"name\":7},\"spec\":{}}", ""},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		for (int events = 0; events < 2; events++) {
			struct pd_buf reason = {0};

			ck_assert_msg(read_odd_page(cases[i].odd, events, &reason) == 2, "%s",
				      cases[i].odd);
			ck_assert_msg(strstr(reason.data ? reason.data : "", cases[i].reason) !=
					      NULL,
				      "%s: %s", cases[i].odd, reason.data);
			pd_buf_finish(&reason);
		}
	}
}
END_TEST

static void *read_nested_page(void *arg)
{
	struct pd_buf odd = {0}, reason = {0};
	size_t depth = *(const size_t *)arg;

	pd_buf_append_str(&odd, PD_STR("{\"meta\":{\"name\":\"odd\"},\"spec\":"));
	for (size_t i = 0; i < depth; i++)
		pd_buf_append_str(&odd, PD_STR("[{\"a\":"));
	pd_buf_append_str(&odd, PD_STR("1"));
	for (size_t i = 0; i < depth; i++)
		pd_buf_append_str(&odd, PD_STR("}]"));
	pd_buf_append_str(&odd, PD_STR("}"));
	ck_assert_uint_eq(read_odd_page(odd.data, false, &reason), 2);
	ck_assert_ptr_nonnull(strstr(reason.data ? reason.data : "", "nested more than"));
	pd_buf_finish(&odd);
	pd_buf_finish(&reason);
	return NULL;
}

START_TEST(nested_objects_fit_the_stack_of_a_thread)
{
	/* Guards against a process that ends because a deeply nested object, which the JSON library
	 * would accept, overflows the stack of a thread.
	 */
	static const size_t depths[] = {40, 500, 1000, 100000};

	for (size_t i = 0; i < sizeof(depths) / sizeof(depths[0]); i++) {
		size_t depth = depths[i];
		struct pd_error err;
		pthread_t thread;

		ck_assert_int_eq(
			pd_os_thread_start(&thread, "nested", read_nested_page, &depth, &err),
			PD_OK);
		pthread_join(thread, NULL);
	}
}
END_TEST

START_TEST(draining_is_read_from_an_odd_entry)
{
	/* Guards against requests to a draining upstream whose entry has another invalid field. */
	json_t *spec = json_pack("{s:s,s:s}", "state", "draining", "slots", "3");
	struct pd_object object = {.name = PD_STR("a"), .spec = spec};
	struct pd_upstream_entry entry;
	struct pd_error err;

	ck_assert_int_eq(pd_object_read_upstream(&object, &entry, &err), PD_INVALID);
	ck_assert(entry.draining);
	json_decref(spec);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		routes_match_by_host_and_longest_prefix,
		only_idempotent_routes_allow_retries,
		invalid_configurations_are_rejected,
		responses_show_whether_request_was_executed,
		load_report_with_an_odd_speed_keeps_its_other_numbers,
		parser_stops_at_end_of_message,
		ambiguous_requests_are_malformed,
		closed_connection_ends_unframed_response,
		forwarded_header_lacks_hop_by_hop_fields,
		merge_equals_sorting_all_records,
		upstream_message_round_trip,
		revisions_round_trip,
		heartbeat_round_trip,
		settings_errors_name_key_or_line,
		bad_optional_bounds_are_rejected_by_name,
		strict_revocation_needs_a_time,
		one_odd_object_does_not_hide_the_others,
		nested_objects_fit_the_stack_of_a_thread,
		draining_is_read_from_an_odd_entry,
	};

	return suite_run("platform", tests, sizeof(tests) / sizeof(tests[0]));
}
