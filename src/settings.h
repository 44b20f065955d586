/**
 * DOC: Settings files in TOML
 *
 * A program describes its settings as a table of pd_setting. Loading checks the whole file and
 * reports every fault with file, line, key, value and what would be accepted; nothing is half
 * applied.
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
	PD_SETTING_TEXT, /* char[PD_SETTING_TEXT_MAX_BYTES] */
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
 * struct pd_route - connect to the instance @name at @address in place of its own address
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
 * struct pd_setting - one key
 * @key: dotted path in the file, such as "peer.listen"
 * @type: of the value
 * @offset: offsetof() of the member in the program's settings struct
 * @min: least integer or decimal
 * @max: greatest
 * @required: missing is a fault; otherwise the struct keeps the value set before loading
 * @accepted_values: what would be accepted, with the unit
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
 * pd_settings_load() - reads @path into @out
 * @path: settings file
 * @schema: known keys
 * @count: number of keys
 * @out: the program's struct, with defaults set
 * @faults: every fault, one a line: `FILE:LINE: key "K": value V: expected HELP`
 * @err: PD_INVALID when there is any fault, PD_NOT_FOUND when the file can't be read
 */
enum pd_code pd_settings_load(const char *path, const struct pd_setting *schema, size_t count,
			      void *out, struct pd_buf *faults, struct pd_error *err);

#endif
