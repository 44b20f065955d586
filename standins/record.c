#include "record.h"

#include <stdlib.h>
#include <string.h>

void standin_records_finish(struct standin_records *records)
{
	for (size_t i = 0; i < records->cap; i++)
		free(records->items[i].request_id);
	free(records->items);
	*records = (struct standin_records){0};
}

static bool grow(struct standin_records *records)
{
	size_t cap = records->cap ? 2 * records->cap : 1024;
	struct standin_record *grown;

	if (records->last_seq < records->cap || records->cap == STANDIN_RECORDS_MAX)
		return true;
	if (cap > STANDIN_RECORDS_MAX)
		cap = STANDIN_RECORDS_MAX;
	grown = realloc(records->items, cap * sizeof(*grown));
	if (!grown)
		return false;
	memset(grown + records->cap, 0, (cap - records->cap) * sizeof(*grown));
	records->items = grown;
	records->cap = cap;
	return true;
}

uint64_t standin_records_add(struct standin_records *records, struct pd_str request_id)
{
	char *id = strndup(request_id.data, request_id.len);
	struct standin_record *record;

	if (!id || !grow(records)) {
		free(id);
		return 0;
	}
	record = &records->items[records->last_seq++ % STANDIN_RECORDS_MAX];
	free(record->request_id);
	*record = (struct standin_record){.seq = records->last_seq, .request_id = id};
	return record->seq;
}

uint64_t standin_records_dropped(const struct standin_records *records, uint64_t after)
{
	uint64_t overwritten = records->last_seq > STANDIN_RECORDS_MAX
				       ? records->last_seq - STANDIN_RECORDS_MAX
				       : 0;

	return overwritten > after ? overwritten - after : 0;
}

struct standin_record *standin_records_get(struct standin_records *records, uint64_t seq)
{
	if (seq == 0 || seq > records->last_seq || standin_records_dropped(records, seq - 1))
		return NULL;
	return &records->items[(seq - 1) % STANDIN_RECORDS_MAX];
}

static const char *boolean(bool value)
{
	return value ? "true" : "false";
}

static const char *overload_name(enum standin_overload overload)
{
	switch (overload) {
	case STANDIN_OVERLOAD_COUNTED:
		return "counted";
	case STANDIN_OVERLOAD_UNANNOUNCED:
		return "unannounced";
	default:
		return "none";
	}
}

static void print_record(const struct standin_record *record, struct pd_buf *out)
{
	pd_buf_printf(out, "{\"seq\":%llu,\"request_id\":\"%s\",\"snapshot\":%llu,\"covers\":\"",
		      (unsigned long long)record->seq, record->request_id,
		      (unsigned long long)record->snapshot);
	if (record->has_range)
		pd_buf_printf(out, "%u-%u", record->first, record->last);
	pd_buf_printf(out,
		      "\",\"status\":%u,\"begun\":%s,\"finished\":%s,\"arrived_ms\":%lld,"
		      "\"started_ms\":%lld,\"ended_ms\":%lld,\"service_us\":%lld,\"in_flight\":%u,"
		      "\"cold\":%s,\"overload\":\"%s\"}",
		      record->status, boolean(record->begun), boolean(record->finished),
		      (long long)record->arrived_ms, (long long)record->started_ms,
		      (long long)record->ended_ms, (long long)record->service_us, record->in_flight,
		      boolean(record->cold), overload_name(record->overload));
}

void standin_records_print_page(struct standin_records *records, uint64_t after, uint64_t max,
				struct pd_buf *out)
{
	const char *separator = "[";

	after += standin_records_dropped(records, after);
	for (uint64_t seq = after + 1; seq <= records->last_seq && seq - after <= max; seq++) {
		pd_buf_append_str(out, pd_str_from(separator));
		print_record(standin_records_get(records, seq), out);
		separator = ",\n";
	}
	pd_buf_append_str(out, *separator == '[' ? PD_STR("[]") : PD_STR("]"));
}

void standin_records_print(struct standin_records *records, uint64_t after, struct pd_buf *out)
{
	standin_records_print_page(records, after, STANDIN_RECORDS_MAX, out);
}
