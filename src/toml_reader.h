/**
 * DOC: TOML text as a flat list of keys (toml++ behind a C interface)
 *
 * This is the only part that is C++, since Debian has no TOML library for C. No exception leaves
 * it.
 */
#ifndef PD_TOML_READER_H
#define PD_TOML_READER_H

#include "str.h"

#ifdef __cplusplus
extern "C" {
#endif

enum pd_toml_type {
	PD_TOML_STRING,
	PD_TOML_INTEGER,
	PD_TOML_DECIMAL,
	PD_TOML_BOOLEAN,
	PD_TOML_LIST,
	PD_TOML_EMPTY_TABLE, /* other tables appear as the keys that they hold */
	PD_TOML_OTHER, /* dates and times */
};

/**
 * struct pd_toml_value - one value
 * @type: which of the members below is valid
 * @toml_text: the value as TOML, NUL-terminated, for messages
 * @text: of a string
 * @integer: of an integer
 * @decimal: of a decimal
 * @boolean: of a boolean
 * @line: in the file, from 1
 */
struct pd_toml_value {
	enum pd_toml_type type;
	char *toml_text;
	struct pd_str text;
	int64_t integer;
	double decimal;
	bool boolean;
	uint32_t line;
};

/**
 * struct pd_toml_entry - one key
 * @key: dotted path, NUL-terminated; a part that is no bare key is in double quotes
 * @value: its value
 * @items: of a list
 * @item_count: entries in @items
 */
struct pd_toml_entry {
	char *key;
	struct pd_toml_value value;
	struct pd_toml_value *items;
	size_t item_count;
};

/**
 * struct pd_toml - a document
 * @entries: in no particular order
 * @count: entries in @entries
 * @error_text: message about a syntax error or a duplicate key, NULL when there is none
 * @error_line: its line, from 1
 */
struct pd_toml {
	struct pd_toml_entry *entries;
	size_t count;
	char *error_text;
	uint32_t error_line;
};

/* Parses @text; false without memory. Finish with pd_toml_finish() in any case. */
bool pd_toml_parse(struct pd_toml *doc, struct pd_str text);
void pd_toml_finish(struct pd_toml *doc);

#ifdef __cplusplus
}
#endif

#endif
