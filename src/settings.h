/**
 * DOC: Settings files in TOML
 *
 * A program describes its settings as a table of pd_setting. Loading validates the whole file and
 * reports every error with file, line, key, value and accepted values. Settings are stored only if
 * the file has no errors.
 */
#ifndef PD_SETTINGS_H
#define PD_SETTINGS_H

#include "error.h"
#include "os.h"
#include "str.h"

enum pd_setting_type {
	PD_SETTING_NAME, /* struct pd_name */
	PD_SETTING_ADDRESS, /* struct pd_address */
	PD_SETTING_INTEGER, /* int64_t, within min and max */
	PD_SETTING_DECIMAL, /* double, within min and max */
	PD_SETTING_BOOLEAN, /* bool */
	PD_SETTING_TEXT, /* char[PD_SETTING_TEXT_MAX_BYTES], NUL-terminated */
	PD_SETTING_ADDRESS_LIST, /* struct pd_address_list */
	PD_SETTING_ROUTE_LIST, /* struct pd_route_list: ["NAME=IP:PORT", ...] */
	PD_SETTING_TEXT_LIST, /* struct pd_text_list */
};

#define PD_SETTING_TEXT_MAX_BYTES 256
#define PD_ADDRESS_LIST_MAX	  64

struct pd_address_list {
	struct pd_address items[PD_ADDRESS_LIST_MAX];
	uint32_t count;
};

/**
 * struct pd_route - overrides the advertised address of an instance
 * @name: name of the instance
 * @address: address to connect to instead
 */
struct pd_route {
	struct pd_name name;
	struct pd_address address;
};

struct pd_route_list {
	struct pd_route items[PD_ADDRESS_LIST_MAX];
	uint32_t count;
};

#define PD_TEXT_LIST_MAX 64

struct pd_text_list {
	char items[PD_TEXT_LIST_MAX][PD_SETTING_TEXT_MAX_BYTES];
	uint32_t count;
};

/**
 * struct pd_setting - one setting
 * @key: dotted path of the key in the file, such as "peer.listen"
 * @type: type of the value
 * @offset: offset of the member in the program's settings struct
 * @min: minimum of an integer or decimal
 * @max: maximum of an integer or decimal
 * @required: whether a missing key is an error; the member of an optional key that is missing keeps
 *	the value that it had before loading
 * @accepted_values: description of the accepted values and their unit, for error messages
 */
struct pd_setting {
	const char *key;
	enum pd_setting_type type;
	size_t offset;
	double min;
	double max;
	bool required;
	const char *accepted_values;
};

/**
 * pd_settings_load() - loads a settings file
 * @path: path of the file
 * @schema: all settings of the program
 * @count: number of settings in @schema
 * @out: the program's settings struct, filled with the defaults; unchanged on failure
 * @errors: buffer to which every error in the file is appended, one per line, for example
 *	`FILE:LINE: key "K": value V: expected VALUES`
 * @err: stores the cause on failure
 *
 * Return: PD_OK; PD_INVALID if the file has an error or is too long; PD_NOT_FOUND if the file can't
 * be read; PD_NO_MEMORY.
 */
enum pd_code pd_settings_load(const char *path, const struct pd_setting *schema, size_t count,
			      void *out, struct pd_buf *errors, struct pd_error *err);

#endif
