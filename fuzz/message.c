/* Passes arbitrary bytes to the decoder and checks that each accepted message has a stable
 * encoding: encoding, decoding and encoding again gives the same bytes. */
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "message.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void encode(const struct pd_message *msg, struct pd_buf *out)
{
	pd_buf_init(out, 0);
	if (pd_message_encode(msg, out, NULL))
		abort();
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct pd_message msg;
	struct pd_message again;
	struct pd_buf first;
	struct pd_buf second;

	if (pd_message_decode(&msg, data, size, NULL))
		return 0;
	encode(&msg, &first);
	if (pd_message_decode(&again, first.data + 4, first.len - 4, NULL))
		abort();
	encode(&again, &second);
	if (first.len != second.len || memcmp(first.data, second.data, first.len) != 0)
		abort();
	pd_message_finish(&msg);
	pd_message_finish(&again);
	pd_buf_finish(&first);
	pd_buf_finish(&second);
	return 0;
}
