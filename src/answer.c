#include "query.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

const char *pd_outcome_name(enum pd_outcome outcome)
{
	switch (outcome) {
	case PD_OUTCOME_COMPLETE:
		return "complete";
	case PD_OUTCOME_PARTIAL:
		return "partial";
	case PD_OUTCOME_REFUSED:
		return "refused";
	case PD_OUTCOME_UNKNOWN:
		return "unknown";
	}
	return "unlisted";
}

void pd_answer_init(struct pd_answer *answer)
{
	memset(answer, 0, sizeof(*answer));
	pd_ranges_init(&answer->covered);
	pd_buf_init(&answer->hits, 0);
}

void pd_answer_finish(struct pd_answer *answer)
{
	pd_ranges_finish(&answer->covered);
	pd_buf_finish(&answer->hits);
}

/* Appends @s as a JSON string; appends an empty string if @s isn't valid UTF-8. */
static void append_json_string(struct pd_str s, struct pd_buf *out)
{
	json_t *value = json_stringn(s.data ? s.data : "", s.len);
	char *text = value ? json_dumps(value, JSON_ENCODE_ANY) : NULL;

	pd_buf_append_str(out, text ? pd_str_from(text) : PD_STR("\"\""));
	free(text);
	json_decref(value);
}

static void append_coverage(const struct pd_answer *answer, struct pd_buf *out)
{
	struct pd_ranges missing;

	pd_buf_printf(out, "\"coverage\":{\"covered\":%" PRIu64 ",\"buckets\":%u,\"missing\":[",
		      pd_ranges_total(&answer->covered), answer->buckets);
	for (uint32_t i = 0; i < answer->missing_count; i++)
		pd_buf_printf(out, "%s{\"service\":\"%s\",\"reason\":\"%s\"}", i ? "," : "",
			      answer->missing[i].service.text,
			      pd_substatus_name(answer->missing[i].status));
	pd_buf_append_str(out, PD_STR("],\"missing_ranges\":\""));
	pd_ranges_init(&missing);
	if (answer->buckets &&
	    pd_ranges_complement(&answer->covered, answer->buckets, &missing) == PD_OK)
		pd_ranges_print(&missing, out);
	pd_ranges_finish(&missing);
	pd_buf_append_str(out, PD_STR("\"},"));
}

void pd_answer_print(const struct pd_answer *answer, struct pd_buf *out)
{
	pd_buf_printf(out,
		      "{\"outcome\":\"%s\",\"request_id\":\"%s\",\"collection\":\"%s\","
		      "\"snapshot\":%" PRIu64 ",",
		      pd_outcome_name(answer->outcome), answer->request_id.text,
		      answer->collection.text, answer->snapshot);
	append_coverage(answer, out);
	/* The hits of a query are already a JSON array; the result of a run is plain text. */
	if (answer->collection.len) {
		pd_buf_append_str(out, PD_STR("\"hits\":"));
		pd_buf_append_str(out, answer->hits.len ? pd_buf_str(&answer->hits) : PD_STR("[]"));
	} else {
		pd_buf_append_str(out, PD_STR("\"hits\":[],\"result\":"));
		append_json_string(pd_buf_str(&answer->hits), out);
	}
	pd_buf_printf(out, ",\"config_version\":%" PRIu64 ",\"elapsed_ms\":%.1f,\"reason\":",
		      answer->config_version, (double)answer->elapsed_us / PD_USEC_PER_MSEC);
	append_json_string(pd_str_from(answer->reason), out);
	pd_buf_append_str(out, PD_STR("}"));
}

void pd_error_print(struct pd_str text, struct pd_buf *out)
{
	pd_buf_append_str(out, PD_STR("{\"error\":"));
	append_json_string(text, out);
	pd_buf_append_str(out, PD_STR("}"));
}
