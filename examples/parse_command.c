/* Parses each line of standard input as a command and prints its canonical form, or the error. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "command.h"

int main(void)
{
	char line[1024];
	int status = EXIT_SUCCESS;

	while (fgets(line, sizeof(line), stdin)) {
		struct pd_command command;
		struct pd_error err = {0};
		struct pd_buf out;

		line[strcspn(line, "\n")] = '\0';
		if (pd_command_parse(&command, pd_str_from(line), &err) != PD_OK) {
			printf("%s\n", err.text);
			status = EXIT_FAILURE;
			continue;
		}
		pd_buf_init(&out, 0);
		pd_command_print(&command, &out);
		printf("%.*s\n", PD_STR_ARG(pd_buf_str(&out)));
		pd_buf_finish(&out);
		pd_command_finish(&command);
	}
	return status;
}
