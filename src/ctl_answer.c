#include "ctl_answer.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

static json_t *parse(struct pd_str body)
{
	return json_loadb(body.data ? body.data : "", body.len, 0, NULL);
}

static const char *string_member(const json_t *json, const char *member)
{
	const char *text = json_string_value(json_object_get(json, member));

	return text ? text : "";
}

static uint64_t integer_member(const json_t *json, const char *member)
{
	return (uint64_t)json_integer_value(json_object_get(json, member));
}

/* Appends @text with each control character replaced by a question mark. Control characters from an
 * upstream could change the state of the terminal. */
static void print_sanitized(struct pd_str text, struct pd_buf *out)
{
	for (size_t i = 0; i < text.len; i++) {
		unsigned char c = (unsigned char)text.data[i];
		bool printable = (c >= 0x20 && c != 0x7f) || c == '\t';

		pd_buf_append(out, printable ? &text.data[i] : "?", 1);
	}
}

static void print_value(const json_t *value, struct pd_buf *out)
{
	char *text;

	if (json_is_string(value)) {
		print_sanitized(
			(struct pd_str){json_string_value(value), json_string_length(value)}, out);
		return;
	}
	text = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
	print_sanitized(pd_str_from(text), out);
	free(text);
}

static void print_outcome_and_coverage(const json_t *answer, struct pd_buf *out)
{
	const json_t *coverage = json_object_get(answer, "coverage");
	const char *reason = string_member(answer, "reason");
	uint64_t buckets = integer_member(coverage, "buckets");

	print_sanitized(pd_str_from(string_member(answer, "outcome")), out);
	if (!strcmp(string_member(answer, "outcome"), "refused"))
		pd_buf_printf(out, " (not run)");
	if (*reason) {
		pd_buf_printf(out, ": ");
		print_sanitized(pd_str_from(reason), out);
	}
	pd_buf_printf(out, "\n");
	if (buckets)
		pd_buf_printf(
			out, "coverage: %" PRIu64 " of %" PRIu64 " buckets, snapshot %" PRIu64 "\n",
			integer_member(coverage, "covered"), buckets,
			integer_member(answer, "snapshot"));
}

static void print_missing(const json_t *coverage, struct pd_buf *out)
{
	const char *ranges = string_member(coverage, "missing_ranges");
	json_t *item;
	size_t i;

	if (*ranges) {
		pd_buf_printf(out, "missing buckets: ");
		print_sanitized(pd_str_from(ranges), out);
		pd_buf_printf(out, "\n");
	}
	json_array_foreach(json_object_get(coverage, "missing"), i, item)
	{
		pd_buf_printf(out, "  no reply from service ");
		print_sanitized(pd_str_from(string_member(item, "service")), out);
		pd_buf_printf(out, ": ");
		print_sanitized(pd_str_from(string_member(item, "reason")), out);
		pd_buf_printf(out, "\n");
	}
}

static void print_hits(const json_t *answer, struct pd_buf *out)
{
	const json_t *hits = json_object_get(answer, "hits");
	const json_t *result = json_object_get(answer, "result");
	const char *collection = string_member(answer, "collection");
	json_t *hit;
	size_t i;

	if (*collection)
		pd_buf_printf(out, "hits: %zu\n", json_array_size(hits));
	json_array_foreach(hits, i, hit)
	{
		pd_buf_printf(out, "  ");
		print_value(hit, out);
		pd_buf_printf(out, "\n");
	}
	if (result && json_string_length(result)) {
		pd_buf_printf(out, "result: ");
		print_value(result, out);
		pd_buf_printf(out, "\n");
	}
}

bool pd_ctl_answer_print(struct pd_str body, struct pd_buf *out)
{
	json_t *answer = parse(body);
	bool is_answer = json_is_string(json_object_get(answer, "outcome"));

	if (is_answer) {
		print_outcome_and_coverage(answer, out);
		print_missing(json_object_get(answer, "coverage"), out);
		print_hits(answer, out);
		pd_buf_printf(out, "request ");
		print_sanitized(pd_str_from(string_member(answer, "request_id")), out);
		pd_buf_printf(out, ", configuration version %" PRIu64 ", %.1f ms\n",
			      integer_member(answer, "config_version"),
			      json_number_value(json_object_get(answer, "elapsed_ms")));
	}
	json_decref(answer);
	return is_answer;
}

bool pd_ctl_answer_succeeded(struct pd_str body)
{
	json_t *answer = parse(body);
	const char *outcome = string_member(answer, "outcome");
	bool succeeded = !strcmp(outcome, "complete") || !strcmp(outcome, "partial");

	json_decref(answer);
	return succeeded;
}

void pd_ctl_error_print(struct pd_str body, struct pd_buf *out)
{
	json_t *json = parse(body);
	const char *text = json_string_value(json_object_get(json, "error"));

	print_sanitized(text ? pd_str_from(text) : body, out);
	json_decref(json);
}

bool pd_ctl_json_print(struct pd_str body, struct pd_buf *out)
{
	json_t *json = parse(body);
	char *text = json ? json_dumps(json, JSON_INDENT(2)) : NULL;
	bool is_json = text != NULL;

	pd_buf_append_str(out, pd_str_from(text));
	free(text);
	json_decref(json);
	return is_json;
}
