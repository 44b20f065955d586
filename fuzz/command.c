/*
 * libFuzzer target for the command language. Fails if the parser crashes on any input, or if the
 * canonical form of a command isn't valid, or parses to a command with a different type or
 * canonical form.
 */
#include <stdlib.h>

#include "command.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct pd_command command;
	struct pd_command again;
	struct pd_error err;
	struct pd_buf first = {0};
	struct pd_buf second = {0};

	if (pd_command_parse(&command, (struct pd_str){(const char *)data, size}, &err))
		return 0;
	pd_command_print(&command, &first);
	if (pd_command_parse(&again, pd_buf_str(&first), &err))
		abort();
	pd_command_print(&again, &second);
	if (!pd_str_equal(pd_buf_str(&first), pd_buf_str(&second)) || again.type != command.type)
		abort();
	pd_command_finish(&again);
	pd_command_finish(&command);
	pd_buf_finish(&first);
	pd_buf_finish(&second);
	return 0;
}
