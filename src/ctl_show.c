#include "ctl_show.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define COLUMNS_MAX    8
#define CELL_MAX_BYTES (PD_NAME_MAX_BYTES + 1)

/**
 * struct table - table whose columns are aligned when it is printed
 * @cells: cells, row by row; the first row is the header
 * @count: number of cells
 * @capacity: number of allocated cells
 * @columns: number of columns
 */
struct table {
	char (*cells)[CELL_MAX_BYTES];
	size_t count;
	size_t capacity;
	size_t columns;
};

static void add_cell(struct table *t, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/* Appends a cell; drops it if out of memory. */
static void add_cell(struct table *t, const char *format, ...)
{
	va_list args;

	if (t->count == t->capacity) {
		size_t capacity = t->capacity ? t->capacity * 2 : 64;
		char(*cells)[CELL_MAX_BYTES] = realloc(t->cells, capacity * sizeof(*cells));

		if (!cells)
			return;
		t->cells = cells;
		t->capacity = capacity;
	}
	va_start(args, format);
	vsnprintf(t->cells[t->count++], CELL_MAX_BYTES, format, args);
	va_end(args);
}

static void add_header(struct table *t, const char *const *names, size_t columns)
{
	t->columns = columns;
	for (size_t i = 0; i < columns; i++)
		add_cell(t, "%s", names[i]);
}

/* Appends the table to @out and frees its cells. */
static void print_table(struct table *t, struct pd_buf *out)
{
	size_t width[COLUMNS_MAX] = {0};

	for (size_t i = 0; i < t->count; i++) {
		size_t len = strlen(t->cells[i]);

		if (len > width[i % t->columns])
			width[i % t->columns] = len;
	}
	for (size_t i = 0; i < t->count; i++) {
		bool last = i % t->columns == t->columns - 1;

		if (last)
			pd_buf_printf(out, "%s\n", t->cells[i]);
		else
			pd_buf_printf(out, "%-*s  ", (int)width[i % t->columns], t->cells[i]);
	}
	free(t->cells);
}

static const char *service_state_name(bool is_out)
{
	return is_out ? "out" : "in";
}

static void show_zones(const struct pd_config *config, struct pd_buf *out)
{
	static const char *const header_names[] = {"ZONE", "STATE"};
	struct table t = {0};

	add_header(&t, header_names, 2);
	for (uint32_t i = 0; i < config->zone_count; i++) {
		add_cell(&t, "%s", config->zones[i].name.text);
		add_cell(&t, "%s", service_state_name(config->zones[i].out));
	}
	print_table(&t, out);
}

static void show_collections(const struct pd_config *config, struct pd_buf *out)
{
	static const char *const header_names[] = {"COLLECTION", "BUCKETS", "SERVICES"};
	struct table t = {0};

	add_header(&t, header_names, 3);
	for (uint32_t i = 0; i < config->collection_count; i++) {
		add_cell(&t, "%s", config->collections[i].name.text);
		add_cell(&t, "%u", config->collections[i].buckets);
		add_cell(&t, "%u", config->collections[i].service_count);
	}
	print_table(&t, out);
}

static void show_services(const struct pd_config *config, struct pd_buf *out)
{
	static const char *const header_names[] = {"SERVICE", "COLLECTION", "UPSTREAMS"};
	struct table t = {0};

	add_header(&t, header_names, 3);
	for (uint32_t i = 0; i < config->service_count; i++) {
		const struct pd_service *service = &config->services[i];

		add_cell(&t, "%s", service->name.text);
		add_cell(&t, "%s", config->collections[service->collection].name.text);
		add_cell(&t, "%u", service->upstream_count);
	}
	print_table(&t, out);
}

static void show_upstreams(const struct pd_config *config, struct pd_buf *out)
{
	static const char *const header_names[] = {"UPSTREAM", "SERVICE",     "ZONE",	 "ADDRESS",
						   "SLOTS",    "CONNECTIONS", "CONNECT", "STATE"};
	struct table t = {0};

	add_header(&t, header_names, 8);
	for (uint32_t i = 0; i < config->upstream_count; i++) {
		const struct pd_upstream_config *u = &config->upstreams[i];

		add_cell(&t, "%s", u->name.text);
		add_cell(&t, "%s", config->services[u->service].name.text);
		add_cell(&t, "%s", config->zones[u->zone].name.text);
		add_cell(&t, "%s:%u", u->address.ip, u->address.port);
		add_cell(&t, "%u", u->slots);
		add_cell(&t, "%u", u->connections);
		add_cell(&t, "%gms", (double)u->connect_us / PD_USEC_PER_MSEC);
		add_cell(&t, "%s", service_state_name(u->out));
	}
	print_table(&t, out);
}

static void show_kinds(const struct pd_config *config, struct pd_buf *out)
{
	static const char *const header_names[] = {"KIND", "URGENCY", "DEADLINE"};
	struct table t = {0};

	add_header(&t, header_names, 3);
	for (uint32_t i = 0; i < config->kind_count; i++) {
		const struct pd_kind *kind = &config->kinds[i];

		add_cell(&t, "%s", kind->name.text);
		add_cell(&t, "%s", kind->urgency == PD_URGENT ? "urgent" : "normal");
		add_cell(&t, "%gms", (double)kind->deadline_us / PD_USEC_PER_MSEC);
	}
	print_table(&t, out);
}

void pd_ctl_show_config(const struct pd_config *config, enum pd_show show, struct pd_buf *out)
{
	switch (show) {
	case PD_SHOW_ZONES:
		show_zones(config, out);
		return;
	case PD_SHOW_COLLECTIONS:
		show_collections(config, out);
		return;
	case PD_SHOW_SERVICES:
		show_services(config, out);
		return;
	case PD_SHOW_UPSTREAMS:
		show_upstreams(config, out);
		return;
	case PD_SHOW_KINDS:
		show_kinds(config, out);
		return;
	case PD_SHOW_CONFIG:
		pd_buf_printf(out, "# version %" PRIu64 "\n", config->version);
		pd_config_print(config, out);
		return;
	case PD_SHOW_LOG:
	case PD_SHOW_STATUS:
		return;
	}
}

static void print_entry(const struct pd_config_entry *entry, struct pd_buf *out)
{
	time_t seconds = (time_t)(entry->created_unix_ms / 1000);
	char timestamp[32] = "";
	struct tm tm;

	if (gmtime_r(&seconds, &tm))
		strftime(timestamp, sizeof(timestamp), "%Y-%m-%dT%H:%M:%SZ", &tm);
	pd_buf_printf(out, "%" PRIu64 "  %s  %s  %s\n", entry->version, timestamp,
		      entry->operator_name.len ? entry->operator_name.text : "?",
		      entry->command.len ? entry->command.data : "(malformed)");
}

enum pd_code pd_ctl_show_log(struct pd_platform *platform, uint64_t last, struct pd_buf *out,
			     struct pd_error *err)
{
	uint64_t first = last > PD_CTL_LOG_ENTRIES_MAX ? last - PD_CTL_LOG_ENTRIES_MAX + 1 : 1;

	for (uint64_t version = first; version <= last; version++) {
		struct pd_config_entry entry;
		enum pd_code code = pd_config_entry_read(platform, version, &entry, err);

		if (!code)
			print_entry(&entry, out);
		pd_config_entry_finish(&entry);
		if (code)
			return code;
	}
	return PD_OK;
}
