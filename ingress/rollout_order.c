#include <string.h>

#include "datagram.h"
#include "rollout.h"

const char *pd_rollout_state_name(enum pd_rollout_state state)
{
	switch (state) {
	case PD_ROLLOUT_NONE:
		return "none";
	case PD_ROLLOUT_RUNNING:
		return "running";
	case PD_ROLLOUT_COMPLETED:
		return "completed";
	case PD_ROLLOUT_ROLLED_BACK:
		return "rolled_back";
	}
	return "unlisted";
}

const char *pd_rollout_phase_name(enum pd_rollout_phase phase)
{
	switch (phase) {
	case PD_ROLLOUT_HALTED:
		return "halted";
	case PD_ROLLOUT_CANARY:
		return "canary";
	case PD_ROLLOUT_FULL:
		return "full";
	}
	return "unlisted";
}

bool pd_rollout_is_final(enum pd_rollout_state state)
{
	return state == PD_ROLLOUT_COMPLETED || state == PD_ROLLOUT_ROLLED_BACK;
}

bool pd_rollout_same_order(const struct pd_rollout_order *a, const struct pd_rollout_order *b)
{
	return pd_name_equal(&a->service, &b->service) && pd_name_equal(&a->target, &b->target);
}

const struct pd_rollout_order *pd_rollout_set_find(const struct pd_rollout_set *set,
						   const struct pd_name *service)
{
	for (size_t i = 0; i < set->count; i++) {
		if (pd_name_equal(&set->orders[i].service, service))
			return &set->orders[i];
	}
	return NULL;
}

void pd_rollout_set_encode(const struct pd_rollout_set *set, int64_t now_us, struct pd_buf *out)
{
	pd_datagram_put_uint(out, set->count);
	for (size_t i = 0; i < set->count; i++) {
		const struct pd_rollout_order *order = &set->orders[i];

		pd_datagram_put_str(out, (struct pd_str){order->object, order->object_len});
		pd_datagram_put_str(out, pd_name_str(&order->service));
		pd_datagram_put_str(out, pd_name_str(&order->target));
		pd_datagram_put_uint(out, order->duration_ms);
		pd_datagram_put_uint(out, (uint64_t)order->state);
		pd_datagram_put_uint(out, order->revision);
		pd_datagram_put_uint(out, (uint64_t)(now_us - order->started_us));
	}
}

static bool decode_order(struct pd_datagram_reader *reader, int64_t now_us,
			 struct pd_rollout_order *order)
{
	struct pd_str object = pd_datagram_get_str(reader);
	uint64_t duration_ms, state, age_us;

	if (reader->failed || !object.len || object.len > sizeof(order->object) ||
	    !pd_name_set(&order->service, pd_datagram_get_str(reader)) ||
	    !pd_name_set(&order->target, pd_datagram_get_str(reader)))
		return false;
	memcpy(order->object, object.data, object.len);
	order->object_len = (uint8_t)object.len;
	duration_ms = pd_datagram_get_uint(reader);
	state = pd_datagram_get_uint(reader);
	order->revision = pd_datagram_get_uint(reader);
	age_us = pd_datagram_get_uint(reader);
	if (reader->failed || duration_ms > PD_ROLLOUT_DURATION_MAX_MS ||
	    state > PD_ROLLOUT_ROLLED_BACK || age_us > INT64_MAX / 2)
		return false;
	order->duration_ms = (uint32_t)duration_ms;
	order->state = (enum pd_rollout_state)state;
	order->started_us = now_us - (int64_t)age_us;
	return true;
}

bool pd_rollout_set_decode(struct pd_str text, int64_t now_us, struct pd_rollout_set *set)
{
	struct pd_datagram_reader reader;
	uint64_t count;

	memset(set, 0, sizeof(*set));
	pd_datagram_reader_init(&reader, text);
	count = pd_datagram_get_uint(&reader);
	if (reader.failed || count > PD_ROLLOUTS_MAX)
		return false;
	for (; set->count < count; set->count++) {
		if (!decode_order(&reader, now_us, &set->orders[set->count]))
			return false;
	}
	return pd_datagram_reader_at_end(&reader);
}
