#include "toml_reader.h"

#include <cctype>
#include <cstdlib>
#include <cstring>
#include <new>
#include <sstream>
#include <string>
#include <string_view>

#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

namespace
{

char *copy_text(std::string_view text)
{
	char *copy = static_cast<char *>(std::malloc(text.size() + 1));

	if (!copy)
		throw std::bad_alloc();
	std::memcpy(copy, text.data(), text.size());
	copy[text.size()] = '\0';
	return copy;
}

/* Appends a zeroed element to an array and returns it. */
template <typename T> T &append_element(T *&items, size_t &count)
{
	T *grown = static_cast<T *>(std::realloc(items, (count + 1) * sizeof(T)));

	if (!grown)
		throw std::bad_alloc();
	items = grown;
	std::memset(&items[count], 0, sizeof(T));
	return items[count++];
}

/* Encloses a part of a key in double quotes unless it is a bare key. */
std::string format_key_part(std::string_view part)
{
	bool bare = !part.empty();

	for (char c : part)
		bare = bare &&
		       (std::isalnum(static_cast<unsigned char>(c)) || c == '_' || c == '-');
	return bare ? std::string(part) : "\"" + std::string(part) + "\"";
}

void read_value(const toml::node &node, pd_toml_value &value)
{
	const auto flags = toml::toml_formatter::default_flags &
			   ~(toml::format_flags::allow_literal_strings |
			     toml::format_flags::allow_multi_line_strings);
	std::ostringstream formatted;

	/* The formatter would print a table as a whole document. */
	if (node.is_table())
		formatted << "{}";
	else
		formatted << toml::toml_formatter{node, flags};
	value.toml_text = copy_text(formatted.str());
	value.line = node.source().begin.line;
	value.type = PD_TOML_OTHER;
	if (auto *s = node.as_string()) {
		value.type = PD_TOML_STRING;
		value.text.len = s->get().size();
		value.text.data = copy_text(s->get());
	} else if (auto *i = node.as_integer()) {
		value.type = PD_TOML_INTEGER;
		value.integer = i->get();
	} else if (auto *d = node.as_floating_point()) {
		value.type = PD_TOML_DECIMAL;
		value.decimal = d->get();
	} else if (auto *b = node.as_boolean()) {
		value.type = PD_TOML_BOOLEAN;
		value.boolean = b->get();
	} else if (node.is_array()) {
		value.type = PD_TOML_LIST;
	} else if (node.is_table()) {
		value.type = PD_TOML_EMPTY_TABLE;
	}
}

/* Appends the entries of a table and its subtables, with @prefix before their keys. */
void read_table(const toml::table &table, const std::string &prefix, pd_toml &doc)
{
	for (const auto &[key, node] : table) {
		std::string path = prefix + format_key_part(key.str());
		const toml::table *subtable = node.as_table();

		if (subtable && !subtable->empty()) {
			read_table(*subtable, path + ".", doc);
			continue;
		}
		pd_toml_entry &entry = append_element(doc.entries, doc.count);

		entry.key = copy_text(path);
		read_value(node, entry.value);
		if (const toml::array *list = node.as_array()) {
			for (const toml::node &item : *list)
				read_value(item, append_element(entry.items, entry.item_count));
		}
	}
}

void finish_value(pd_toml_value &value)
{
	std::free(value.toml_text);
	std::free(const_cast<char *>(value.text.data));
}

} // namespace

bool pd_toml_parse(pd_toml *doc, pd_str text)
{
	std::memset(doc, 0, sizeof(*doc));
	try {
		toml::parse_result result =
			toml::parse(std::string_view(text.data ? text.data : "", text.len));

		if (!result) {
			doc->error_line = result.error().source().begin.line;
			doc->error_text = copy_text(result.error().description());
			return true;
		}
		read_table(result.table(), "", *doc);
		return true;
	} catch (...) {
		return false;
	}
}

void pd_toml_finish(pd_toml *doc)
{
	for (size_t i = 0; i < doc->count; i++) {
		pd_toml_entry &entry = doc->entries[i];

		for (size_t j = 0; j < entry.item_count; j++)
			finish_value(entry.items[j]);
		std::free(entry.items);
		finish_value(entry.value);
		std::free(entry.key);
	}
	std::free(doc->entries);
	std::free(doc->error_text);
	std::memset(doc, 0, sizeof(*doc));
}
