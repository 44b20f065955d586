#include "ctl_answer.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

static json_t *parse(struct pd_str body)
{
	return json_loadb(body.data ? body.data : "", body.len, 0, NULL);
}

static const char *text_of(const json_t *json, const char *member)
{
	const char *text = json_string_value(json_object_get(json, member));

	return text ? text : "";
}

static uint64_t number_of(const json_t *json, const char *member)
{
	return (uint64_t)json_integer_value(json_object_get(json, member));
}

/* Control characters in an upstream's text could change the state of the terminal. */
static void print_safe(struct pd_str text, struct pd_buf *out)
{
	for (size_t i = 0; i < text.len; i++) {
		unsigned char c = (unsigned char)text.data[i];
		bool shown = (c >= 0x20 && c != 0x7f) || c == '\t';

		pd_buf_append(out, shown ? &text.data[i] : "?", 1);
	}
}

static void print_value(const json_t *value, struct pd_buf *out)
{
	char *text;

	if (json_is_string(value)) {
		print_safe((struct pd_str){json_string_value(value), json_string_length(value)},
			   out);
		return;
	}
	text = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
	print_safe(pd_str_from(text), out);
	free(text);
}

static void print_head(const json_t *answer, struct pd_buf *out)
{
	const json_t *coverage = json_object_get(answer, "coverage");
	const char *reason = text_of(answer, "reason");
	uint64_t buckets = number_of(coverage, "buckets");

	print_safe(pd_str_from(text_of(answer, "outcome")), out);
	if (!strcmp(text_of(answer, "outcome"), "refused"))
		pd_buf_printf(out, " (not run)");
	if (*reason) {
		pd_buf_printf(out, ": ");
		print_safe(pd_str_from(reason), out);
	}
	pd_buf_printf(out, "\n");
	if (buckets)
		pd_buf_printf(
			out, "coverage: %" PRIu64 " of %" PRIu64 " buckets, snapshot %" PRIu64 "\n",
			number_of(coverage, "covered"), buckets, number_of(answer, "snapshot"));
}

static void print_missing(const json_t *coverage, struct pd_buf *out)
{
	const char *ranges = text_of(coverage, "missing_ranges");
	json_t *item;
	size_t i;

	if (*ranges) {
		pd_buf_printf(out, "missing buckets: ");
		print_safe(pd_str_from(ranges), out);
		pd_buf_printf(out, "\n");
	}
	json_array_foreach(json_object_get(coverage, "missing"), i, item)
	{
		pd_buf_printf(out, "  no reply from service ");
		print_safe(pd_str_from(text_of(item, "service")), out);
		pd_buf_printf(out, ": ");
		print_safe(pd_str_from(text_of(item, "reason")), out);
		pd_buf_printf(out, "\n");
	}
}

static void print_hits(const json_t *answer, struct pd_buf *out)
{
	const json_t *hits = json_object_get(answer, "hits");
	const json_t *result = json_object_get(answer, "result");
	const char *collection = text_of(answer, "collection");
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
	bool good = json_is_string(json_object_get(answer, "outcome"));

	if (good) {
		print_head(answer, out);
		print_missing(json_object_get(answer, "coverage"), out);
		print_hits(answer, out);
		pd_buf_printf(out, "request ");
		print_safe(pd_str_from(text_of(answer, "request_id")), out);
		pd_buf_printf(out, ", configuration version %" PRIu64 ", %.1f ms\n",
			      number_of(answer, "config_version"),
			      json_number_value(json_object_get(answer, "elapsed_ms")));
	}
	json_decref(answer);
	return good;
}

bool pd_ctl_answer_succeeded(struct pd_str body)
{
	json_t *answer = parse(body);
	const char *outcome = text_of(answer, "outcome");
	bool good = !strcmp(outcome, "complete") || !strcmp(outcome, "partial");

	json_decref(answer);
	return good;
}

void pd_ctl_error_print(struct pd_str body, struct pd_buf *out)
{
	json_t *json = parse(body);
	const char *text = json_string_value(json_object_get(json, "error"));

	print_safe(text ? pd_str_from(text) : body, out);
	json_decref(json);
}

bool pd_ctl_json_print(struct pd_str body, struct pd_buf *out)
{
	json_t *json = parse(body);
	char *text = json ? json_dumps(json, JSON_INDENT(2)) : NULL;
	bool good = text != NULL;

	pd_buf_append_str(out, pd_str_from(text));
	free(text);
	json_decref(json);
	return good;
}
