#include "listing.h"

#include <stdlib.h>

void standin_listing_finish(struct standin_listing *listing)
{
	free(listing->changes);
	*listing = (struct standin_listing){0};
}

bool standin_listing_set(struct standin_listing *listing, const struct standin_instance *change)
{
	if (listing->count == listing->cap) {
		size_t cap = listing->cap ? 2 * listing->cap : 64;
		struct standin_instance *grown =
			realloc(listing->changes, cap * sizeof(*listing->changes));

		if (!grown)
			return false;
		listing->changes = grown;
		listing->cap = cap;
	}
	listing->changes[listing->count++] = *change;
	return true;
}

/* Returns the number of changes that were made at or before @until_us. */
static size_t visible_count(const struct standin_listing *listing, int64_t until_us)
{
	size_t count = listing->count;

	while (count > 0 && listing->changes[count - 1].changed_us > until_us)
		count--;
	return count;
}

/* Tells whether a later change among the first @count concerns the same instance. */
static bool is_superseded(const struct standin_listing *listing, size_t index, size_t count)
{
	for (size_t i = index + 1; i < count; i++) {
		if (pd_name_equal(&listing->changes[i].name, &listing->changes[index].name))
			return true;
	}
	return false;
}

void standin_listing_print(const struct standin_listing *listing, int64_t now_us, int64_t lag_us,
			   struct pd_buf *out)
{
	size_t count = visible_count(listing, now_us - lag_us);
	const char *separator = "";

	pd_buf_append_str(out, PD_STR("{\"instances\":["));
	for (size_t i = 0; i < count; i++) {
		const struct standin_instance *item = &listing->changes[i];

		if (item->state == STANDIN_INSTANCE_GONE || is_superseded(listing, i, count))
			continue;
		pd_buf_printf(out,
			      "%s{\"name\":\"%s\",\"role\":\"%s\",\"address\":\"%s:%u\","
			      "\"state\":\"%s\"}",
			      separator, item->name.text, item->is_upstream ? "upstream" : "entry",
			      item->address.ip, item->address.port,
			      item->state == STANDIN_INSTANCE_LIVE ? "live" : "leaving");
		separator = ",";
	}
	pd_buf_append_str(out, PD_STR("]}"));
}
