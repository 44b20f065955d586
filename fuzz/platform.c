/**
 * DOC: Fuzz target for the parsers of untrusted input: HTTP messages, the platform's objects, and
 * frames of the feed; the first byte selects the parser
 */
#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

#include "feed_batch.h"
#include "feed_message.h"
#include "headers.h"
#include "http.h"
#include "json_scan.h"
#include "objects.h"
#include "settings_file.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void parse_http(struct pd_str bytes, enum pd_http_kind kind)
{
	struct pd_response_fields fields;
	struct pd_http_message msg;
	size_t used;

	pd_http_message_init(&msg, kind, 2048, 4096);
	if (pd_http_message_parse(&msg, bytes.data, bytes.len, &used) == PD_HTTP_INCOMPLETE)
		pd_http_message_eof(&msg);
	if (msg.complete)
		pd_platform_read_response(&msg, &fields);
	pd_http_message_finish(&msg);
}

static void parse_objects(struct pd_str bytes)
{
	struct pd_ingress_settings settings;
	struct pd_object_page page;
	struct pd_error err;
	json_t *json = pd_json_load(bytes, &err);

	pd_catalog_release(pd_object_read_config(json, &err));
	pd_settings_read_json(json, "settings", &settings, &err);
	json_decref(json);
	if (pd_object_page_read(bytes, bytes.len % 2, &page, &err) != PD_OK)
		return;
	for (size_t i = 0; i < pd_object_page_count(&page); i++) {
		struct pd_upstream_entry entry;
		struct pd_object object;

		struct pd_instance_entry instance;
		struct pd_crash_contents crash;
		struct pd_name event;
		uint64_t fingerprint;

		if (!pd_object_page_get(&page, i, &object))
			continue;
		pd_object_read_upstream(&object, &entry, &err);
		pd_object_read_instance(&object, &instance);
		pd_object_read_crash(&object, &fingerprint, &event, &crash);
	}
	pd_object_page_finish(&page);
}

static void parse_feed_message(struct pd_str bytes)
{
	struct pd_feed_message msg;
	struct pd_buf frames = {0};
	struct pd_error err;

	if (pd_feed_message_decode(bytes, &msg, &err) != PD_OK)
		return;
	if (msg.kind == PD_FEED_BATCH)
		pd_feed_batch_decode(&msg, &frames, &err);
	pd_buf_finish(&frames);
	pd_feed_message_finish(&msg);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct pd_str bytes = {(const char *)data + 1, size ? size - 1 : 0};

	if (!size)
		return 0;
	switch (data[0] % 4) {
	case 0:
		parse_http(bytes, PD_HTTP_REQUEST);
		break;
	case 1:
		parse_http(bytes, PD_HTTP_RESPONSE);
		break;
	case 2:
		parse_objects(bytes);
		break;
	default:
		parse_feed_message(bytes);
		break;
	}
	return 0;
}
