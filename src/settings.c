#include "settings.h"

#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "toml_reader.h"

#define FILE_MAX_BYTES	      (1024 * 1024)
#define ERROR_VALUE_MAX_BYTES 80 /* longer values are truncated in error messages */

/**
 * struct loader - one call of pd_settings_load()
 * @path: path of the file, for error messages
 * @schema: all settings of the program
 * @count: number of settings in @schema
 * @errors: buffer for error messages
 * @error_count: number of errors found so far
 */
struct loader {
	const char *path;
	const struct pd_setting *schema;
	size_t count;
	struct pd_buf *errors;
	unsigned int error_count;
};

/** union scratch - memory for any value while the file is validated, before anything is stored */
union scratch {
	struct pd_name name;
	struct pd_address address;
	int64_t integer;
	double decimal;
	bool boolean;
	char text[PD_SETTING_TEXT_MAX_BYTES];
	struct pd_address_list addresses;
	struct pd_route_list routes;
	struct pd_text_list texts;
};

static enum pd_code read_all(int fd, const char *path, struct pd_buf *text, struct pd_error *err)
{
	char chunk[4096];
	ssize_t n;

	while ((n = read(fd, chunk, sizeof(chunk))) != 0) {
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0)
			return pd_error_set(err, PD_LAYER_BASE, PD_NOT_FOUND, "can't read %s: %s",
					    path, strerror(errno));
		if (!pd_buf_append(text, chunk, (size_t)n))
			return pd_error_set(err, PD_LAYER_BASE, PD_INVALID,
					    "%s: expected at most %d bytes", path, FILE_MAX_BYTES);
	}
	return PD_OK;
}

static enum pd_code read_file(const char *path, struct pd_buf *text, struct pd_error *err)
{
	int fd = open(path, O_RDONLY | O_CLOEXEC);
	enum pd_code code;

	if (fd < 0)
		return pd_error_set(err, PD_LAYER_BASE, PD_NOT_FOUND, "can't read %s: %s", path,
				    strerror(errno));
	code = read_all(fd, path, text, err);
	close(fd);
	return code;
}

static void add_error(struct loader *l, const struct pd_toml_value *value, const char *key,
		      const char *problem, const char *expected)
{
	l->error_count++;
	pd_buf_printf(l->errors, "%s:%u: key \"%s\": value %.*s%s: %sexpected %s\n", l->path,
		      value->line, key, ERROR_VALUE_MAX_BYTES, value->toml_text,
		      strlen(value->toml_text) > ERROR_VALUE_MAX_BYTES ? "..." : "", problem,
		      expected);
}

static void add_unknown_key_error(struct loader *l, const struct pd_toml_entry *entry)
{
	struct pd_buf keys = {0};

	for (size_t i = 0; i < l->count; i++)
		pd_buf_printf(&keys, "%s%s", i ? ", " : "one of ", l->schema[i].key);
	add_error(l, &entry->value, entry->key, "unknown key: ", keys.len ? keys.data : "no keys");
	pd_buf_finish(&keys);
}

static bool in_range(const struct pd_setting *setting, double number)
{
	return number >= setting->min && number <= setting->max;
}

static bool convert_route(const struct pd_toml_value *item, struct pd_route *route)
{
	const char *equals = item->text.len ? memchr(item->text.data, '=', item->text.len) : NULL;
	struct pd_str name;
	struct pd_str address;

	if (item->type != PD_TOML_STRING || !equals)
		return false;
	name = (struct pd_str){item->text.data, (size_t)(equals - item->text.data)};
	address = (struct pd_str){equals + 1, item->text.len - name.len - 1};
	return pd_name_set(&route->name, name) &&
	       pd_address_parse(address, &route->address, NULL) == PD_OK;
}

static bool convert_string(const struct pd_setting *setting, const struct pd_toml_value *value,
			   void *member)
{
	if (value->type != PD_TOML_STRING)
		return false;
	if (setting->type == PD_SETTING_NAME)
		return pd_name_set(member, value->text);
	if (setting->type == PD_SETTING_ADDRESS)
		return pd_address_parse(value->text, member, NULL) == PD_OK;
	return !(value->text.len && memchr(value->text.data, '\0', value->text.len)) &&
	       pd_str_copy(value->text, member, PD_SETTING_TEXT_MAX_BYTES);
}

static bool convert_item(const struct pd_setting *setting, const struct pd_toml_value *item,
			 void *member, uint32_t index)
{
	struct pd_address_list *addresses = member;
	struct pd_route_list *routes = member;

	if (setting->type == PD_SETTING_ROUTE_LIST)
		return convert_route(item, &routes->items[index]);
	if (setting->type == PD_SETTING_TEXT_LIST)
		return convert_string(setting, item, ((struct pd_text_list *)member)->items[index]);
	return item->type == PD_TOML_STRING &&
	       pd_address_parse(item->text, &addresses->items[index], NULL) == PD_OK;
}

static uint32_t *list_count(enum pd_setting_type type, void *member)
{
	if (type == PD_SETTING_ROUTE_LIST)
		return &((struct pd_route_list *)member)->count;
	if (type == PD_SETTING_TEXT_LIST)
		return &((struct pd_text_list *)member)->count;
	return &((struct pd_address_list *)member)->count;
}

/* Stores the list @entry in @member, or reports each item that isn't valid. */
static void convert_list(struct loader *l, const struct pd_setting *setting,
			 const struct pd_toml_entry *entry, void *member)
{
	uint32_t *count = list_count(setting->type, member);

	if (entry->value.type != PD_TOML_LIST) {
		add_error(l, &entry->value, entry->key, "", setting->accepted_values);
		return;
	}
	if (entry->item_count > PD_ADDRESS_LIST_MAX) {
		add_error(l, &entry->value, entry->key,
			  "more than 64 items: ", setting->accepted_values);
		return;
	}
	*count = 0;
	for (size_t i = 0; i < entry->item_count; i++) {
		if (convert_item(setting, &entry->items[i], member, *count))
			++*count;
		else
			add_error(l, &entry->items[i], entry->key, "", setting->accepted_values);
	}
}

static bool convert_number(const struct pd_setting *setting, const struct pd_toml_value *value,
			   void *member)
{
	double number = value->type == PD_TOML_INTEGER ? (double)value->integer : value->decimal;

	if (value->type != PD_TOML_INTEGER &&
	    (setting->type == PD_SETTING_INTEGER || value->type != PD_TOML_DECIMAL))
		return false;
	if (!in_range(setting, number))
		return false;
	if (setting->type == PD_SETTING_INTEGER)
		*(int64_t *)member = value->integer;
	else
		*(double *)member = number;
	return true;
}

/* Stores the value of @entry in @member, or reports the errors. */
static void convert_value(struct loader *l, const struct pd_setting *setting,
			  const struct pd_toml_entry *entry, void *member)
{
	const struct pd_toml_value *value = &entry->value;
	bool converted = false;

	switch (setting->type) {
	case PD_SETTING_NAME:
	case PD_SETTING_ADDRESS:
	case PD_SETTING_TEXT:
		converted = convert_string(setting, value, member);
		break;
	case PD_SETTING_INTEGER:
	case PD_SETTING_DECIMAL:
		converted = convert_number(setting, value, member);
		break;
	case PD_SETTING_BOOLEAN:
		converted = value->type == PD_TOML_BOOLEAN;
		if (converted)
			*(bool *)member = value->boolean;
		break;
	case PD_SETTING_ADDRESS_LIST:
	case PD_SETTING_ROUTE_LIST:
	case PD_SETTING_TEXT_LIST:
		convert_list(l, setting, entry, member);
		return;
	}
	if (!converted)
		add_error(l, value, entry->key, "", setting->accepted_values);
}

static const struct pd_setting *find_setting(const struct loader *l, const char *key)
{
	for (size_t i = 0; i < l->count; i++) {
		if (!strcmp(l->schema[i].key, key))
			return &l->schema[i];
	}
	return NULL;
}

/* Returns whether a setting of the schema is in the table @key. */
static bool is_known_table(const struct loader *l, const char *key)
{
	size_t len = strlen(key);

	for (size_t i = 0; i < l->count; i++) {
		if (!strncmp(l->schema[i].key, key, len) && l->schema[i].key[len] == '.')
			return true;
	}
	return false;
}

static void check_required_keys(struct loader *l, const struct pd_toml *doc)
{
	for (size_t i = 0; i < l->count; i++) {
		size_t j = 0;

		while (j < doc->count && strcmp(doc->entries[j].key, l->schema[i].key) != 0)
			j++;
		if (j < doc->count || !l->schema[i].required)
			continue;
		l->error_count++;
		pd_buf_printf(l->errors, "%s: key \"%s\": missing: expected %s\n", l->path,
			      l->schema[i].key, l->schema[i].accepted_values);
	}
}

static int compare_lines(const void *a, const void *b)
{
	uint32_t line_a = ((const struct pd_toml_entry *)a)->value.line;
	uint32_t line_b = ((const struct pd_toml_entry *)b)->value.line;

	return (line_a > line_b) - (line_a < line_b);
}

/* Reports all errors of the document without storing any value. */
static void validate_document(struct loader *l, struct pd_toml *doc)
{
	union scratch scratch;

	if (doc->error_text) {
		l->error_count++;
		pd_buf_printf(l->errors, "%s:%u: %s\n", l->path, doc->error_line, doc->error_text);
		return;
	}
	if (doc->count)
		qsort(doc->entries, doc->count, sizeof(*doc->entries), compare_lines);
	for (size_t i = 0; i < doc->count; i++) {
		const struct pd_toml_entry *entry = &doc->entries[i];
		const struct pd_setting *setting = find_setting(l, entry->key);

		if (setting)
			convert_value(l, setting, entry, &scratch);
		else if (entry->value.type != PD_TOML_EMPTY_TABLE || !is_known_table(l, entry->key))
			add_unknown_key_error(l, entry);
	}
	check_required_keys(l, doc);
}

/* Stores all values of a valid document in the program's settings struct. */
static void store_document(struct loader *l, const struct pd_toml *doc, void *out)
{
	for (size_t i = 0; i < doc->count; i++) {
		const struct pd_setting *setting = find_setting(l, doc->entries[i].key);

		if (setting)
			convert_value(l, setting, &doc->entries[i], (char *)out + setting->offset);
	}
}

enum pd_code pd_settings_load(const char *path, const struct pd_setting *schema, size_t count,
			      void *out, struct pd_buf *errors, struct pd_error *err)
{
	struct loader l = {.path = path, .schema = schema, .count = count, .errors = errors};
	struct pd_buf text;
	struct pd_toml doc;
	enum pd_code code;

	pd_buf_init(&text, FILE_MAX_BYTES);
	code = read_file(path, &text, err);
	if (code) {
		pd_buf_printf(errors, "%s\n", err ? err->text : path);
		pd_buf_finish(&text);
		return code;
	}
	if (!pd_toml_parse(&doc, pd_buf_str(&text))) {
		code = pd_error_set(err, PD_LAYER_BASE, PD_NO_MEMORY,
				    "out of memory while reading %s", path);
	} else {
		validate_document(&l, &doc);
		if (l.error_count)
			code = pd_error_set(err, PD_LAYER_BASE, PD_INVALID, "%s has %u error%s",
					    path, l.error_count, l.error_count == 1 ? "" : "s");
		else
			store_document(&l, &doc, out);
	}
	pd_toml_finish(&doc);
	pd_buf_finish(&text);
	return code;
}
