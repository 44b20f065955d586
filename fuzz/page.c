/**
 * DOC: Fuzz target for a page of the store's objects in which one object is arbitrary text between
 * two readable ones
 *
 * Fails if a decoder crashes, or if a text that ends where the object ends hides one of the two
 * others.
 */
#include <stdlib.h>
#include <string.h>

#include "json_scan.h"
#include "objects.h"

#define OBJECT(name)                                                                               \
	"{\"meta\":{\"name\":\"" name "\"},\"spec\":{\"service\":\"s\",\"zone\":\"z\","            \
	"\"address\":\"127.0.0.1:9\",\"state\":\"ready\",\"slots\":3,\"seq\":1}}"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Whether only blanks stand between the value and the last byte of the array's text. */
static bool ends_at_last_byte(const struct pd_buf *array, struct pd_str value)
{
	const char *at = value.data + value.len;

	return at + strspn(at, " \t\r\n") == array->data + array->len - 1;
}

/* Whether the text is one value of an array: it holds neither a comma nor a bracket of the outside.
 */
static bool is_one_value(struct pd_str text)
{
	struct pd_buf array = {0};
	struct pd_str name, value;
	struct pd_json_iter iter;
	bool single;

	pd_buf_append(&array, "[", 1);
	pd_buf_append_str(&array, text);
	pd_buf_append(&array, "]", 1);
	single = pd_json_iter_init(&iter, pd_buf_str(&array)) &&
		 pd_json_iter_next(&iter, &name, &value) && ends_at_last_byte(&array, value);
	pd_buf_finish(&array);
	return single && !memchr(text.data, '\0', text.len);
}

static bool is_readable(const struct pd_object_page *page, size_t index, const char *name)
{
	struct pd_upstream_entry entry;
	struct pd_object object;
	struct pd_error err;

	return pd_object_page_get(page, index, &object) && pd_str_is(object.name, name) &&
	       pd_object_read_upstream(&object, &entry, &err) == PD_OK;
}

static void read_page(struct pd_str odd, bool events)
{
	const char *wrap = events ? "{\"tombstone\":false,\"object\":" : "";
	const char *end = events ? "}" : "";
	struct pd_object_page page;
	struct pd_buf text = {0};
	struct pd_error err;

	pd_buf_printf(&text, "{\"%s\":[%s%s%s,%s", events ? "events" : "items", wrap,
		      OBJECT("first"), end, wrap);
	pd_buf_append_str(&text, odd);
	pd_buf_printf(&text, "%s,%s%s%s],\"has_more\":false,\"at\":7}", end, wrap, OBJECT("last"),
		      end);
	if (pd_object_page_read(pd_buf_str(&text), events, &page, &err) == PD_OK) {
		if (is_one_value(odd) &&
		    (pd_object_page_count(&page) != 3 || !is_readable(&page, 0, "first") ||
		     !is_readable(&page, 2, "last")))
			abort();
		for (size_t i = 0; i < pd_object_page_count(&page); i++)
			is_readable(&page, i, "");
		pd_object_page_finish(&page);
	} else if (is_one_value(odd)) {
		abort();
	}
	pd_buf_finish(&text);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct pd_str odd = {(const char *)data + 1, size ? size - 1 : 0};

	if (size > 1)
		read_page(odd, data[0] % 2);
	return 0;
}
