#include "command.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ranges.h"

/* Maximum length of a text with its escape sequences. It leaves 1024 bytes of the line for the
 * other words, so that the canonical form of every valid command fits into PD_COMMAND_MAX_BYTES. */
#define TEXT_MAX_BYTES	     (PD_COMMAND_MAX_BYTES - 1024)
#define ERROR_WORD_MAX_BYTES 40 /* longer words are truncated in error messages */
#define EXPECTED_MAX_BYTES   150 /* list of expected keywords in an error message */
#define FORM_FIELDS_MAX	     6 /* maximum number of keywords of one command */

#define NAME_RULE	      "(1 to 63 letters, digits, '.', '_' or '-')"
#define ARRAY_SIZE(array)     (sizeof(array) / sizeof((array)[0]))
#define MEMBER_OFFSET(member) offsetof(struct pd_command, member)
#define DURATION_MAX_US	      ((uint64_t)PD_DEADLINE_MAX_MS * PD_USEC_PER_MSEC)

enum word_type {
	WORD_END = 0, /* end of the line, or start of a comment */
	WORD_BARE, /* word without quotes */
	WORD_TEXT, /* text in double quotes */
};

/**
 * struct word - one word of the line
 * @type: type of the word
 * @raw: bytes of the word in the line; for a text, those between the quotes, with escape sequences
 * @start: offset of the first byte of the word in the line
 */
struct word {
	enum word_type type;
	struct pd_str raw;
	size_t start;
};

/**
 * struct parser - state of the parser
 * @line: line to parse
 * @pos: offset of the first byte after @word
 * @word: next word to parse
 * @err: where to store the cause of a failure
 */
struct parser {
	struct pd_str line;
	size_t pos;
	struct word word;
	struct pd_error *err;
};

enum field_type {
	FIELD_NAME, /* struct pd_name */
	FIELD_ID, /* struct pd_name */
	FIELD_NUMBER, /* uint32_t */
	FIELD_DURATION, /* int64_t, microseconds */
	FIELD_ADDRESS, /* struct pd_address */
	FIELD_URGENCY, /* enum pd_urgency */
	FIELD_YES_NO, /* bool */
};

/**
 * struct field - a keyword and the value that follows it
 * @word: keyword
 * @type: type of the value
 * @offset: offset of the member of struct pd_command that stores the value
 * @min: minimum of a number, or of a duration in microseconds
 * @max: maximum of a number, or of a duration in microseconds
 * @expected: description of the accepted values, for error messages
 */
struct field {
	const char *word;
	enum field_type type;
	size_t offset;
	uint64_t min;
	uint64_t max;
	const char *expected;
};

#define DEADLINE_EXPECTED "a duration such as 200ms or 1.5s, at most 60s"
#define DEADLINE(member)                                                                           \
	{                                                                                          \
		"deadline", FIELD_DURATION, MEMBER_OFFSET(member), 1, DURATION_MAX_US,             \
			DEADLINE_EXPECTED                                                          \
	}
#define NAME_FIELD(keyword, member, description)                                                   \
	{                                                                                          \
		keyword, FIELD_NAME, MEMBER_OFFSET(member), 0, 0, description " " NAME_RULE        \
	}

static const struct field query_fields[] = {
	NAME_FIELD("kind", query.kind, "the name of a kind"),
	DEADLINE(query.deadline_us),
	{"partial", FIELD_YES_NO, MEMBER_OFFSET(query.partial), 0, 0, "yes or no"},
};

static const struct field run_fields[] = {
	{"id", FIELD_ID, MEMBER_OFFSET(run.id), 0, 0,
	 "an id of the form UNIXMS-TOKEN, at most 63 bytes"},
	NAME_FIELD("kind", run.kind, "the name of a kind"),
	DEADLINE(run.deadline_us),
};

static const struct field collection_fields[] = {
	{"buckets", FIELD_NUMBER, MEMBER_OFFSET(object.buckets), 1, PD_BUCKET_MAX,
	 "a number from 1 to 1000000"},
};

static const struct field service_fields[] = {
	NAME_FIELD("in", object.collection, "the name of a collection"),
};

static const struct field upstream_fields[] = {
	NAME_FIELD("service", object.service, "the name of a service"),
	NAME_FIELD("zone", object.zone, "the name of a zone"),
	{"address", FIELD_ADDRESS, MEMBER_OFFSET(object.address), 0, 0, "IP:PORT"},
	{"slots", FIELD_NUMBER, MEMBER_OFFSET(object.slots), 1, PD_SLOTS_MAX,
	 "a number from 1 to 1024"},
	{"connections", FIELD_NUMBER, MEMBER_OFFSET(object.connections), 1, PD_CONNECTIONS_MAX,
	 "a number from 1 to 65536"},
	{"connect", FIELD_DURATION, MEMBER_OFFSET(object.connect_us), 0, DURATION_MAX_US,
	 "a duration such as 6ms, at most 60s"},
};

static const struct field kind_fields[] = {
	{"urgency", FIELD_URGENCY, MEMBER_OFFSET(object.urgency), 0, 0, "urgent or normal"},
	DEADLINE(object.deadline_us),
};

/**
 * struct object_form - syntax of the commands for one type of object
 * @word: keyword of the type in create, set and delete
 * @name: description of the object's name, for error messages
 * @fields: fields of `create`, all of them required
 * @field_count: number of elements of @fields
 */
struct object_form {
	const char *word;
	const char *name;
	const struct field *fields;
	size_t field_count;
};

static const struct object_form objects[] = {
	[PD_OBJ_ZONE] = {"zone", "the name of a zone " NAME_RULE, NULL, 0},
	[PD_OBJ_COLLECTION] = {"collection", "the name of a collection " NAME_RULE,
			       collection_fields, ARRAY_SIZE(collection_fields)},
	[PD_OBJ_SERVICE] = {"service", "the name of a service " NAME_RULE, service_fields,
			    ARRAY_SIZE(service_fields)},
	[PD_OBJ_UPSTREAM] = {"upstream", "the name of an upstream " NAME_RULE, upstream_fields,
			     ARRAY_SIZE(upstream_fields)},
	[PD_OBJ_KIND] = {"kind", "the name of a kind " NAME_RULE, kind_fields,
			 ARRAY_SIZE(kind_fields)},
};

static const char *const show_words[] = {
	[PD_SHOW_ZONES] = "zones",	 [PD_SHOW_COLLECTIONS] = "collections",
	[PD_SHOW_SERVICES] = "services", [PD_SHOW_UPSTREAMS] = "upstreams",
	[PD_SHOW_KINDS] = "kinds",	 [PD_SHOW_CONFIG] = "config",
	[PD_SHOW_LOG] = "log",		 [PD_SHOW_STATUS] = "status",
};

/* Returns the column of the byte at @offset, in UTF-8 characters, starting at 1. */
static size_t column_at(const struct parser *p, size_t offset)
{
	size_t column = 1;

	for (size_t i = 0; i < offset; i++) {
		if (((unsigned char)p->line.data[i] & 0xc0) != 0x80)
			column++;
	}
	return column;
}

/* Copies a word for an error message: truncates it and replaces control characters. */
static void copy_printable(struct pd_str raw, char out[ERROR_WORD_MAX_BYTES + 4])
{
	size_t len = raw.len < ERROR_WORD_MAX_BYTES ? raw.len : ERROR_WORD_MAX_BYTES;

	/* Don't truncate within a UTF-8 character. */
	while (len < raw.len && len && ((unsigned char)raw.data[len] & 0xc0) == 0x80)
		len--;
	for (size_t i = 0; i < len; i++) {
		unsigned char c = (unsigned char)raw.data[i];

		out[i] = (char)(c < 0x20 || c == 0x7f ? '?' : c);
	}
	snprintf(out + len, 4, "%s", len < raw.len ? "..." : "");
}

/* Fails with a message about the word @raw at offset @start. */
static enum pd_code fail_at(struct parser *p, size_t start, struct pd_str raw, const char *expected)
{
	char printable[ERROR_WORD_MAX_BYTES + 4];

	copy_printable(raw, printable);
	return pd_error_set(p->err, PD_LAYER_PROTOCOL, PD_INVALID,
			    "column %zu: \"%s\": expected %s", column_at(p, start), printable,
			    expected);
}

/* Fails with a message about the next word. */
static enum pd_code fail_expected(struct parser *p, const char *expected)
{
	if (p->word.type == WORD_END)
		return pd_error_set(p->err, PD_LAYER_PROTOCOL, PD_INVALID,
				    "column %zu: end of line: expected %s",
				    column_at(p, p->word.start), expected);
	return fail_at(p, p->word.start, p->word.raw, expected);
}

static bool is_blank(char c)
{
	return c == ' ' || c == '\t';
}

/* Reads the text that starts at the current position as the next word. */
static enum pd_code scan_text(struct parser *p)
{
	size_t start = p->pos;
	size_t i = start + 1;

	while (i < p->line.len && p->line.data[i] != '"') {
		if (p->line.data[i] != '\\') {
			i++;
			continue;
		}
		if (i + 1 >= p->line.len || !strchr("\"\\", p->line.data[i + 1]))
			return fail_at(
				p, i,
				(struct pd_str){p->line.data + i, i + 1 < p->line.len ? 2 : 1},
				"\\\" or \\\\");
		i += 2;
	}
	struct pd_str raw = {p->line.data + start + 1, i - start - 1};

	if (i >= p->line.len)
		return fail_at(p, start, raw, "a closing double quote");
	p->pos = i + 1;
	p->word = (struct word){WORD_TEXT, raw, start};
	if (p->pos < p->line.len && !is_blank(p->line.data[p->pos]) && p->line.data[p->pos] != '#')
		return fail_at(p, p->pos, (struct pd_str){p->line.data + p->pos, 1},
			       "a blank after the text");
	return PD_OK;
}

/* Reads the next word of the line into p->word. */
static enum pd_code advance(struct parser *p)
{
	size_t start;

	while (p->pos < p->line.len && is_blank(p->line.data[p->pos]))
		p->pos++;
	start = p->pos;
	if (start == p->line.len || p->line.data[start] == '#') {
		p->word = (struct word){WORD_END, {NULL, 0}, start};
		return PD_OK;
	}
	if (p->line.data[start] == '"')
		return scan_text(p);
	while (p->pos < p->line.len && !is_blank(p->line.data[p->pos]) &&
	       p->line.data[p->pos] != '#')
		p->pos++;
	p->word = (struct word){WORD_BARE, {p->line.data + start, p->pos - start}, start};
	return PD_OK;
}

/* Fails if the line contains a control character other than a tab. */
static enum pd_code check_bytes(struct parser *p)
{
	for (size_t i = 0; i < p->line.len; i++) {
		unsigned char c = (unsigned char)p->line.data[i];

		if ((c < 0x20 && c != '\t') || c == 0x7f)
			return pd_error_set(p->err, PD_LAYER_PROTOCOL, PD_INVALID,
					    "column %zu: byte 0x%02x: expected one line of text "
					    "without control characters",
					    column_at(p, i), c);
	}
	return PD_OK;
}

static enum pd_code expect_end(struct parser *p)
{
	return p->word.type == WORD_END ? PD_OK : fail_expected(p, "the end of the line");
}

static enum pd_code parse_name(struct parser *p, struct pd_name *name, const char *expected)
{
	if (p->word.type != WORD_BARE || !pd_name_set(name, p->word.raw))
		return fail_expected(p, expected);
	return advance(p);
}

static enum pd_code parse_text(struct parser *p, struct pd_command *command, struct pd_str *text)
{
	struct pd_str raw = p->word.raw;
	size_t len = 0;

	if (p->word.type != WORD_TEXT)
		return fail_expected(p, "a text in double quotes");
	if (raw.len > TEXT_MAX_BYTES)
		return pd_error_set(p->err, PD_LAYER_PROTOCOL, PD_TOO_LARGE,
				    "column %zu: text of %zu bytes: expected at most %d bytes",
				    column_at(p, p->word.start), raw.len, TEXT_MAX_BYTES);
	command->storage = malloc(raw.len + 1);
	if (!command->storage)
		return pd_error_set(p->err, PD_LAYER_PROTOCOL, PD_NO_MEMORY, "no memory");
	for (size_t i = 0; i < raw.len; i++) {
		if (raw.data[i] == '\\')
			i++;
		command->storage[len++] = raw.data[i];
	}
	command->storage[len] = '\0';
	*text = (struct pd_str){command->storage, len};
	return advance(p);
}

/* Parses an id of the form UNIXMS-TOKEN. */
static bool parse_id(struct pd_str raw, struct pd_name *id)
{
	const char *dash = raw.len ? memchr(raw.data, '-', raw.len) : NULL;
	uint64_t unix_ms;

	if (!dash || dash + 1 == raw.data + raw.len)
		return false;
	if (!pd_str_to_u64((struct pd_str){raw.data, (size_t)(dash - raw.data)}, &unix_ms))
		return false;
	return pd_name_set(id, raw);
}

/* Parses a decimal number with at most @decimals decimal places and stores it multiplied by
 * 10^@decimals. */
static bool parse_decimal(struct pd_str raw, int decimals, uint64_t *value)
{
	const char *dot = raw.len ? memchr(raw.data, '.', raw.len) : NULL;
	struct pd_str integer_part = {raw.data, dot ? (size_t)(dot - raw.data) : raw.len};
	struct pd_str fraction_part = {dot ? dot + 1 : NULL,
				       dot ? raw.len - integer_part.len - 1 : 0};
	uint64_t fraction = 0;
	uint64_t scale = 1;

	if (!pd_str_to_u64(integer_part, value) ||
	    (dot && !pd_str_to_u64(fraction_part, &fraction)))
		return false;
	if (fraction_part.len > (size_t)decimals)
		return false;
	for (int i = 0; i < decimals; i++) {
		scale *= 10;
		if ((size_t)i >= fraction_part.len)
			fraction *= 10;
	}
	return !__builtin_mul_overflow(*value, scale, value) &&
	       !__builtin_add_overflow(*value, fraction, value);
}

static bool parse_duration(struct pd_str raw, uint64_t *us)
{
	if (raw.len > 2 && !memcmp(raw.data + raw.len - 2, "ms", 2))
		return parse_decimal((struct pd_str){raw.data, raw.len - 2}, 3, us);
	if (raw.len > 1 && raw.data[raw.len - 1] == 's')
		return parse_decimal((struct pd_str){raw.data, raw.len - 1}, 6, us);
	return false;
}

/* Sets @value to true for the word @yes and to false for @no; returns false for any other word. */
static bool parse_boolean(struct pd_str raw, const char *yes, const char *no, bool *value)
{
	*value = pd_str_is(raw, yes);
	return *value || pd_str_is(raw, no);
}

static bool parse_value(const struct field *field, struct pd_str raw, struct pd_command *command)
{
	void *member = (char *)command + field->offset;
	uint64_t number = 0;
	bool flag;

	switch (field->type) {
	case FIELD_NAME:
		return pd_name_set(member, raw);
	case FIELD_ID:
		return parse_id(raw, member);
	case FIELD_NUMBER:
		if (!pd_str_to_u64(raw, &number) || number < field->min || number > field->max)
			return false;
		*(uint32_t *)member = (uint32_t)number;
		return true;
	case FIELD_DURATION:
		if (!parse_duration(raw, &number) || number < field->min || number > field->max)
			return false;
		*(int64_t *)member = (int64_t)number;
		return true;
	case FIELD_ADDRESS:
		return pd_address_parse(raw, member, NULL) == PD_OK &&
		       ((struct pd_address *)member)->port;
	case FIELD_URGENCY:
		if (!parse_boolean(raw, "urgent", "normal", &flag))
			return false;
		*(enum pd_urgency *)member = flag ? PD_URGENT : PD_NORMAL;
		command->object.has_urgency = true;
		return true;
	case FIELD_YES_NO:
		return parse_boolean(raw, "yes", "no", member);
	}
	return false;
}

/* Fails with a message that lists the keywords that may still follow, and the end of the line if
 * @may_end. @given_mask has a bit set for each field that was given. */
static enum pd_code fail_expected_fields(struct parser *p, const struct field *fields, size_t count,
					 unsigned int given_mask, bool may_end)
{
	const char *words[FORM_FIELDS_MAX + 1];
	char list[EXPECTED_MAX_BYTES] = "";
	size_t word_count = 0;
	size_t len = 0;

	for (size_t i = 0; i < count; i++) {
		if (!(given_mask & (1U << i)))
			words[word_count++] = fields[i].word;
	}
	if (may_end)
		words[word_count++] = "the end of the line";
	for (size_t i = 0; i < word_count; i++) {
		const char *separator = !i ? "" : i + 1 < word_count ? ", " : " or ";
		int n = snprintf(list + len, sizeof(list) - len, "%s%s", separator, words[i]);

		len += (size_t)n;
		if (len >= sizeof(list))
			break;
	}
	return fail_expected(p, list);
}

/* Parses `KEYWORD VALUE` pairs, in any order, up to the end of the line. Fails if a keyword occurs
 * twice or there are fewer than @min_count pairs. */
static enum pd_code parse_fields(struct parser *p, struct pd_command *command,
				 const struct field *fields, size_t count, size_t min_count)
{
	unsigned int given_mask = 0;
	enum pd_code code;
	size_t i;

	while (p->word.type != WORD_END) {
		bool may_end = (size_t)__builtin_popcount(given_mask) >= min_count;

		for (i = 0; i < count; i++) {
			if (p->word.type == WORD_BARE && !(given_mask & (1U << i)) &&
			    pd_str_is(p->word.raw, fields[i].word))
				break;
		}
		if (i == count)
			return fail_expected_fields(p, fields, count, given_mask, may_end);
		code = advance(p);
		if (code)
			return code;
		if (p->word.type != WORD_BARE || !parse_value(&fields[i], p->word.raw, command))
			return fail_expected(p, fields[i].expected);
		given_mask |= 1U << i;
		code = advance(p);
		if (code)
			return code;
	}
	if ((size_t)__builtin_popcount(given_mask) < min_count)
		return fail_expected_fields(p, fields, count, given_mask, false);
	return PD_OK;
}

static enum pd_code parse_query(struct parser *p, struct pd_command *command)
{
	enum pd_code code;

	command->query.partial = true;
	code = parse_name(p, &command->query.collection, objects[PD_OBJ_COLLECTION].name);
	if (!code)
		code = parse_text(p, command, &command->query.text);
	return code ? code : parse_fields(p, command, query_fields, ARRAY_SIZE(query_fields), 0);
}

static enum pd_code parse_run(struct parser *p, struct pd_command *command)
{
	enum pd_code code = parse_name(p, &command->run.service, objects[PD_OBJ_SERVICE].name);

	if (!code)
		code = parse_text(p, command, &command->run.text);
	return code ? code : parse_fields(p, command, run_fields, ARRAY_SIZE(run_fields), 0);
}

/* Parses a type of object. @allowed has a bit set for each type that the command accepts. */
static enum pd_code parse_object_type(struct parser *p, struct pd_command *command,
				      const char *expected, unsigned int allowed)
{
	command->object.connect_us = -1;
	for (size_t i = PD_OBJ_ZONE; i < ARRAY_SIZE(objects); i++) {
		if (p->word.type == WORD_BARE && (allowed & (1U << i)) &&
		    pd_str_is(p->word.raw, objects[i].word)) {
			command->object.object_type = (enum pd_object_type)i;
			return advance(p);
		}
	}
	return fail_expected(p, expected);
}

/* Parses a type of object and the name of the object. */
static enum pd_code parse_object(struct parser *p, struct pd_command *command, const char *expected,
				 unsigned int allowed)
{
	enum pd_code code = parse_object_type(p, command, expected, allowed);

	if (code)
		return code;
	return parse_name(p, &command->object.name, objects[command->object.object_type].name);
}

#define ALL_OBJECTS ((1U << ARRAY_SIZE(objects)) - 1)

static enum pd_code parse_create(struct parser *p, struct pd_command *command)
{
	enum pd_code code = parse_object(p, command, "zone, collection, service, upstream or kind",
					 ALL_OBJECTS);
	const struct object_form *form;

	if (code)
		return code;
	form = &objects[command->object.object_type];
	if (!form->field_count)
		return expect_end(p);
	return parse_fields(p, command, form->fields, form->field_count, form->field_count);
}

static enum pd_code parse_set(struct parser *p, struct pd_command *command)
{
	enum pd_code code =
		parse_object(p, command, "zone, upstream or kind",
			     (1U << PD_OBJ_ZONE) | (1U << PD_OBJ_UPSTREAM) | (1U << PD_OBJ_KIND));

	if (code)
		return code;
	if (command->object.object_type == PD_OBJ_KIND)
		return parse_fields(p, command, kind_fields, ARRAY_SIZE(kind_fields), 1);
	if (p->word.type != WORD_BARE ||
	    !parse_boolean(p->word.raw, "out", "in", &command->object.out))
		return fail_expected(p, "in or out");
	command->object.has_out = true;
	code = advance(p);
	return code ? code : expect_end(p);
}

static enum pd_code parse_delete(struct parser *p, struct pd_command *command)
{
	enum pd_code code = parse_object(p, command, "zone, collection, service, upstream or kind",
					 ALL_OBJECTS);

	return code ? code : expect_end(p);
}

static enum pd_code parse_show(struct parser *p, struct pd_command *command)
{
	enum pd_code code;

	for (size_t i = PD_SHOW_ZONES; i < ARRAY_SIZE(show_words); i++) {
		if (p->word.type == WORD_BARE && pd_str_is(p->word.raw, show_words[i])) {
			command->show = (enum pd_show)i;
			code = advance(p);
			return code ? code : expect_end(p);
		}
	}
	return fail_expected(
		p, "zones, collections, services, upstreams, kinds, config, log or status");
}

static const struct {
	const char *word;
	enum pd_command_type type;
	enum pd_code (*parse)(struct parser *p, struct pd_command *command);
} verbs[] = {
	{"query", PD_CMD_QUERY, parse_query},	 {"run", PD_CMD_RUN, parse_run},
	{"create", PD_CMD_CREATE, parse_create}, {"set", PD_CMD_SET, parse_set},
	{"delete", PD_CMD_DELETE, parse_delete}, {"show", PD_CMD_SHOW, parse_show},
};

static enum pd_code parse_verb(struct parser *p, struct pd_command *command)
{
	enum pd_code code;

	if (p->word.type == WORD_END)
		return PD_OK;
	for (size_t i = 0; i < ARRAY_SIZE(verbs); i++) {
		if (p->word.type != WORD_BARE || !pd_str_is(p->word.raw, verbs[i].word))
			continue;
		command->type = verbs[i].type;
		code = advance(p);
		return code ? code : verbs[i].parse(p, command);
	}
	return fail_expected(p, "query, run, create, set, delete or show");
}

enum pd_code pd_command_parse(struct pd_command *command, struct pd_str line, struct pd_error *err)
{
	struct parser p = {.line = line, .err = err};
	enum pd_code code;

	memset(command, 0, sizeof(*command));
	/* A request body or a line of a file may still end with a line break. */
	while (p.line.len && strchr("\r\n", p.line.data[p.line.len - 1]) &&
	       p.line.data[p.line.len - 1])
		p.line.len--;
	if (p.line.len > PD_COMMAND_MAX_BYTES)
		return pd_error_set(err, PD_LAYER_PROTOCOL, PD_TOO_LARGE,
				    "command of %zu bytes: expected at most %d bytes", p.line.len,
				    PD_COMMAND_MAX_BYTES);
	code = check_bytes(&p);
	if (!code)
		code = advance(&p);
	if (!code)
		code = parse_verb(&p, command);
	if (code)
		pd_command_finish(command);
	return code;
}

void pd_command_finish(struct pd_command *command)
{
	free(command->storage);
	memset(command, 0, sizeof(*command));
}

/* Prints milliseconds if @us is below 1 s, otherwise seconds, without trailing zeros. */
static void print_duration(int64_t us, struct pd_buf *out)
{
	int64_t unit = us < PD_USEC_PER_SEC ? PD_USEC_PER_MSEC : PD_USEC_PER_SEC;
	int decimals = us < PD_USEC_PER_SEC ? 3 : 6;
	long long remainder = us % unit;

	pd_buf_printf(out, "%lld", (long long)(us / unit));
	if (remainder) {
		while (remainder % 10 == 0) {
			remainder /= 10;
			decimals--;
		}
		pd_buf_printf(out, ".%0*lld", decimals, remainder);
	}
	pd_buf_printf(out, "%s", unit == PD_USEC_PER_SEC ? "s" : "ms");
}

static void print_text(struct pd_str text, struct pd_buf *out)
{
	size_t start = 0;

	pd_buf_append(out, "\"", 1);
	for (size_t i = 0; i < text.len; i++) {
		if (text.data[i] != '"' && text.data[i] != '\\')
			continue;
		pd_buf_append(out, text.data + start, i - start);
		pd_buf_append(out, "\\", 1);
		start = i;
	}
	if (text.len > start)
		pd_buf_append(out, text.data + start, text.len - start);
	pd_buf_append(out, "\"", 1);
}

static void print_name(const struct pd_name *name, struct pd_buf *out)
{
	pd_buf_append_str(out, pd_name_str(name));
}

/* Returns whether the canonical form of @command includes the field. */
static bool field_given(const struct field *field, const struct pd_command *command)
{
	const void *member = (const char *)command + field->offset;

	switch (field->type) {
	case FIELD_NAME:
	case FIELD_ID:
		return ((const struct pd_name *)member)->len;
	case FIELD_NUMBER:
		return *(const uint32_t *)member;
	case FIELD_DURATION:
		return *(const int64_t *)member >= (int64_t)field->min;
	case FIELD_ADDRESS:
		return ((const struct pd_address *)member)->port;
	case FIELD_URGENCY:
		return command->object.has_urgency;
	case FIELD_YES_NO:
		return !*(const bool *)member; /* the default, yes, is omitted */
	}
	return false;
}

static void print_value(const struct field *field, const struct pd_command *command,
			struct pd_buf *out)
{
	const void *member = (const char *)command + field->offset;
	char address[PD_ADDRESS_TEXT_MAX_BYTES];

	switch (field->type) {
	case FIELD_NAME:
	case FIELD_ID:
		print_name(member, out);
		return;
	case FIELD_NUMBER:
		pd_buf_printf(out, "%u", *(const uint32_t *)member);
		return;
	case FIELD_DURATION:
		print_duration(*(const int64_t *)member, out);
		return;
	case FIELD_ADDRESS:
		pd_address_format(member, address, sizeof(address));
		pd_buf_printf(out, "%s", address);
		return;
	case FIELD_URGENCY:
		pd_buf_printf(out, "%s",
			      *(const enum pd_urgency *)member == PD_URGENT ? "urgent" : "normal");
		return;
	case FIELD_YES_NO:
		pd_buf_printf(out, "%s", *(const bool *)member ? "yes" : "no");
		return;
	}
}

static void print_fields(const struct pd_command *command, const struct field *fields, size_t count,
			 struct pd_buf *out)
{
	for (size_t i = 0; i < count; i++) {
		if (!field_given(&fields[i], command))
			continue;
		pd_buf_printf(out, " %s ", fields[i].word);
		print_value(&fields[i], command, out);
	}
}

static void print_object(const struct pd_command *command, const char *verb, struct pd_buf *out)
{
	const struct object_form *form = &objects[command->object.object_type];

	pd_buf_printf(out, "%s %s ", verb, form->word);
	print_name(&command->object.name, out);
	if (command->type == PD_CMD_DELETE)
		return;
	if (command->object.has_out)
		pd_buf_printf(out, " %s", command->object.out ? "out" : "in");
	else
		print_fields(command, form->fields, form->field_count, out);
}

void pd_command_print(const struct pd_command *command, struct pd_buf *out)
{
	switch (command->type) {
	case PD_CMD_EMPTY:
		return;
	case PD_CMD_QUERY:
		pd_buf_printf(out, "query %s ", command->query.collection.text);
		print_text(command->query.text, out);
		print_fields(command, query_fields, ARRAY_SIZE(query_fields), out);
		return;
	case PD_CMD_RUN:
		pd_buf_printf(out, "run %s ", command->run.service.text);
		print_text(command->run.text, out);
		print_fields(command, run_fields, ARRAY_SIZE(run_fields), out);
		return;
	case PD_CMD_CREATE:
		print_object(command, "create", out);
		return;
	case PD_CMD_SET:
		print_object(command, "set", out);
		return;
	case PD_CMD_DELETE:
		print_object(command, "delete", out);
		return;
	case PD_CMD_SHOW:
		pd_buf_printf(out, "show %s", show_words[command->show]);
		return;
	}
}

bool pd_command_changes_config(const struct pd_command *command)
{
	return command->type == PD_CMD_CREATE || command->type == PD_CMD_SET ||
	       command->type == PD_CMD_DELETE;
}
