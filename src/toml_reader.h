/**
 * DOC: Parses a TOML document into a flat list of keys: a C interface to toml++
 *
 * Debian has no TOML library for C, so this is the only module in C++. It doesn't let exceptions
 * propagate to its callers.
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
	PD_TOML_EMPTY_TABLE, /* a table with keys is represented by its keys */
	PD_TOML_OTHER, /* dates and times */
};

/**
 * struct pd_toml_value - one value
 * @type: type of the value; selects which of @text, @integer, @decimal and @boolean is valid
 * @toml_text: value in TOML syntax, NUL-terminated, for messages
 * @text: value of a string
 * @integer: value of an integer
 * @decimal: value of a decimal
 * @boolean: value of a boolean
 * @line: line number in the document, starting at 1
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
 * struct pd_toml_entry - a key with its value
 * @key: dotted path, NUL-terminated; a part that isn't a bare key is enclosed in double quotes
 * @value: value of the key
 * @items: items if the value is a list
 * @item_count: number of elements of @items
 */
struct pd_toml_entry {
	char *key;
	struct pd_toml_value value;
	struct pd_toml_value *items;
	size_t item_count;
};

/**
 * struct pd_toml - a parsed document
 * @entries: all keys, in no particular order
 * @count: number of elements of @entries
 * @error_text: description of a syntax error or duplicate key; NULL if the document is valid
 * @error_line: line number of the error, starting at 1
 */
struct pd_toml {
	struct pd_toml_entry *entries;
	size_t count;
	char *error_text;
	uint32_t error_line;
};

/* Parses @text; returns false if out of memory. The caller releases @doc in both cases. */
bool pd_toml_parse(struct pd_toml *doc, struct pd_str text);
void pd_toml_finish(struct pd_toml *doc);

#ifdef __cplusplus
}
#endif

#endif
