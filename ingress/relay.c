#include "relay.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>

#define FIELD_REQUEST  "X-Peridot-Relay"
#define FIELD_RESPONSE "X-Peridot-Relayed"

/* A larger instance has at least this many times the processor share of this one: relaying a
 * request costs about as much processor time as two of its parts. */
#define LARGER_FACTOR 2.0
/* Number of gathered requests that a larger instance is assumed to serve concurrently, for the
 * choice between several larger instances. */
#define RELAY_SLOTS 8

void pd_relay_write_request(const struct pd_relay_fields *fields, struct pd_buf *out)
{
	pd_buf_printf(out, FIELD_REQUEST ": %" PRIu64 ",%" PRIu64 "%s\r\n", fields->wait_ms,
		      fields->config_version, fields->has_accounts ? ",1" : "");
}

bool pd_relay_read_request(const struct pd_http_message *msg, struct pd_relay_fields *fields)
{
	unsigned int has_accounts = 0;
	struct pd_str text;
	char copy[48];
	int count;

	if (!pd_http_message_field(msg, FIELD_REQUEST, &text) ||
	    !pd_str_copy(text, copy, sizeof(copy)))
		return false;
	count = sscanf(copy, "%" SCNu64 ",%" SCNu64 ",%u", &fields->wait_ms,
		       &fields->config_version, &has_accounts);
	fields->has_accounts = has_accounts == 1;
	/* A client can forge the field. No route waits for longer. */
	if (fields->wait_ms > UINT32_MAX)
		fields->wait_ms = UINT32_MAX;
	return count >= 2;
}

void pd_relay_write_response(enum pd_relay_result result, struct pd_buf *out)
{
	pd_buf_printf(out, FIELD_RESPONSE ": %d\r\n", (int)result);
}

enum pd_relay_result pd_relay_read_response(const struct pd_http_message *msg)
{
	struct pd_str text;

	if (!pd_http_message_field(msg, FIELD_RESPONSE, &text))
		return PD_RELAY_NOT_SERVED;
	if (pd_str_is(text, "0"))
		return PD_RELAY_FINAL;
	return pd_str_is(text, "2") ? PD_RELAY_ISOLATED : PD_RELAY_NOT_SERVED;
}

static bool same_name(struct pd_str a, const char *b)
{
	return a.len == strlen(b) && !strncasecmp(a.data, b, a.len);
}

bool pd_relay_is_field(struct pd_str name)
{
	return same_name(name, FIELD_REQUEST) || same_name(name, FIELD_RESPONSE);
}

bool pd_relay_is_larger(double own, double other)
{
	return other >= own * LARGER_FACTOR;
}

static bool make_upstream_entry(const struct pd_instance_entry *instance,
				struct pd_upstream_entry *entry)
{
	memset(entry, 0, sizeof(*entry));
	entry->id = instance->name;
	entry->zone = instance->zone;
	entry->slots = RELAY_SLOTS;
	entry->address.in.sin_family = AF_INET;
	entry->address.in.sin_port = htons(instance->front.port);
	pd_address_format(&instance->front, entry->address.text, sizeof(entry->address.text));
	return inet_pton(AF_INET, instance->front.ip, &entry->address.in.sin_addr) == 1;
}

void pd_relay_set_instances(struct pd_registry *registry, const struct pd_instance_entry *instances,
			    size_t count)
{
	for (size_t i = 0; i < count; i++) {
		struct pd_upstream_entry entry;

		if (make_upstream_entry(&instances[i], &entry))
			pd_registry_put_relay(registry, &entry);
	}
}
