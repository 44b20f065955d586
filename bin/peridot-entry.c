/* Entry instance: answers the requests of callers, owns a part of the upstreams of its zone and
 * exchanges sub-requests and state with its peers. */
#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>

#include "instance.h"
#include "log.h"
#include "version.h"

static void print_help(void)
{
	puts("Usage: peridot-entry --settings FILE [--check-settings]\n"
	     "\n"
	     "  -s, --settings FILE   settings in TOML\n"
	     "  -c, --check-settings  check the settings and exit: status 0 if valid, else 2\n"
	     "  -h, --help            print this text\n"
	     "  -V, --version         print the version");
}

/* Returns the exit status, or -1 if the program is to continue. */
static int parse_options(int argc, char **argv, const char **path, bool *check_only)
{
	static const struct option long_options[] = {
		{"settings", required_argument, NULL, 's'},
		{"check-settings", no_argument, NULL, 'c'},
		{"help", no_argument, NULL, 'h'},
		{"version", no_argument, NULL, 'V'},
		{NULL, 0, NULL, 0},
	};
	int option;

	while ((option = getopt_long(argc, argv, "s:chV", long_options, NULL)) != -1) {
		switch (option) {
		case 's':
			*path = optarg;
			break;
		case 'c':
			*check_only = true;
			break;
		case 'h':
			print_help();
			return EXIT_SUCCESS;
		case 'V':
			puts("peridot-entry " PD_VERSION);
			return EXIT_SUCCESS;
		default:
			return 2;
		}
	}
	if (*path && optind == argc)
		return -1;
	fputs("peridot-entry: --settings FILE is required; other arguments are not accepted\n",
	      stderr);
	return 2;
}

/* Returns 0, or the exit status 2 after printing the errors. */
static int load_settings(struct pd_instance_settings *settings, const char *path)
{
	struct pd_error err = {0};
	struct pd_buf errors;
	enum pd_code code;

	pd_buf_init(&errors, 0);
	pd_instance_settings_init(settings);
	code = pd_instance_settings_load(settings, path, &errors, &err);
	if (code != PD_OK) {
		if (errors.len)
			fwrite(errors.data, 1, errors.len, stderr);
		pd_log_failure(PD_LOG_ERROR, "settings_rejected", &err);
	}
	pd_buf_finish(&errors);
	return code == PD_OK ? 0 : 2;
}

/* Runs the instance until a signal arrives; returns the exit status. */
static int serve(const struct pd_instance_settings *settings)
{
	static struct pd_instance instance;
	struct pd_error err = {0};
	char address[PD_ADDRESS_TEXT_MAX_BYTES];
	int status = EXIT_SUCCESS;

	if (pd_instance_open(&instance, settings, &err) != PD_OK ||
	    pd_instance_start(&instance, &err) != PD_OK) {
		pd_log_failure(PD_LOG_ERROR, "start_failed", &err);
		status = EXIT_FAILURE;
	} else {
		pd_address_format(&instance.http_address, address, sizeof(address));
		pd_log(PD_LOG_INFO, "serving", "zone=%s http=%s", settings->zone.text, address);
		pd_log(PD_LOG_INFO, "signal", "number=%d", pd_os_signal_wait());
		pd_instance_stop(&instance);
	}
	pd_instance_finish(&instance);
	return status;
}

int main(int argc, char **argv)
{
	struct pd_instance_settings settings;
	const char *path = NULL;
	bool check_only = false;
	int status = parse_options(argc, argv, &path, &check_only);

	if (status >= 0)
		return status;
	pd_log_open("peridot-entry", PD_LOG_INFO);
	status = load_settings(&settings, path);
	if (status || check_only)
		return status;
	pd_log_open(settings.name.text, (enum pd_log_level)settings.log_level);
	pd_os_signals_block();
	pd_http_global_init();
	return serve(&settings);
}
