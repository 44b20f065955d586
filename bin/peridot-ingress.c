/**
 * DOC: peridot-ingress: serves clients of the users' platform
 */
#include <getopt.h>
#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "ingress.h"
#include "log.h"
#include "os.h"
#include "settings_file.h"
#include "version.h"

#define TICK_US (100 * PD_USEC_PER_MSEC)
/* Interval of checks whether the settings file changed, which may happen without a SIGHUP. */
#define FILE_CHECK_INTERVAL_TICKS 10
/* A stopping process continues to serve at least this long: the load balancer checks readiness once
 * a second, and sends new connections to other instances after two failed checks.
 */
#define SERVE_MIN_US (3000 * PD_USEC_PER_MSEC)
/* A stopping process reads no further requests after this time, even if clients still send some. */
#define CLOSE_AFTER_US (4300 * PD_USEC_PER_MSEC)

static void print_help(void)
{
	printf("Usage: peridot-ingress [OPTION]...\n"
	       "Serves clients of the users' platform.\n\n"
	       "  -s, --settings=FILE  settings file; default: $" PD_SETTINGS_VARIABLE "\n"
	       "  -c, --check          check the settings and exit\n"
	       "  -h, --help           print this text and exit\n"
	       "  -V, --version        print the version and exit\n\n"
	       "SIGHUP reloads the settings file, SIGTERM starts a graceful shutdown.\n");
}

/**
 * struct options - options of the command line
 * @settings: path of the settings file
 * @check: check the settings file and exit
 */
struct options {
	const char *settings;
	bool check;
};

/* Parses the command line; returns -1 to continue, or else the exit status. */
static int parse_options(int argc, char **argv, struct options *options)
{
	static const struct option long_options[] = {{"settings", required_argument, NULL, 's'},
						     {"check", no_argument, NULL, 'c'},
						     {"help", no_argument, NULL, 'h'},
						     {"version", no_argument, NULL, 'V'},
						     {NULL, 0, NULL, 0}};
	int option;

	*options = (struct options){.settings = getenv(PD_SETTINGS_VARIABLE)};
	while ((option = getopt_long(argc, argv, "s:chV", long_options, NULL)) != -1) {
		switch (option) {
		case 's':
			options->settings = optarg;
			break;
		case 'c':
			options->check = true;
			break;
		case 'h':
			print_help();
			return EXIT_SUCCESS;
		case 'V':
			printf("peridot-ingress %s\n", PD_VERSION);
			return EXIT_SUCCESS;
		default:
			return EXIT_FAILURE;
		}
	}
	if (optind < argc || !options->settings) {
		fprintf(stderr, "peridot-ingress: %s; see --help\n",
			optind < argc ? "unexpected argument" : "missing settings file");
		return EXIT_FAILURE;
	}
	return -1;
}

static void block_signals(sigset_t *set)
{
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
	sigaddset(set, SIGHUP);
	pthread_sigmask(SIG_BLOCK, set, NULL);
	signal(SIGPIPE, SIG_IGN);
}

static void reload(struct pd_ingress *ingress, const char *path, const char *cause)
{
	struct pd_ingress_settings settings;
	struct pd_error err;

	if (pd_settings_file_read(path, &settings, &err) != PD_OK) {
		pd_log_failure(PD_LOG_ERROR, "reload_failed", &err);
		return;
	}
	pd_ingress_reload(ingress, &settings);
	pd_log(PD_LOG_INFO, "reload", "cause=%s", cause);
}

/* Returns the modification time of a file in nanoseconds; 0 if it is unknown. */
static int64_t file_mtime_ns(const char *path)
{
	struct stat st;

	if (stat(path, &st))
		return 0;
	return (int64_t)st.st_mtim.tv_sec * 1000000000 + st.st_mtim.tv_nsec;
}

/* Waits for a signal for at most one tick; returns its number, or 0 if there was none. */
static int wait_tick(const sigset_t *set)
{
	struct timespec tick = {.tv_nsec = TICK_US * 1000};
	int sig = sigtimedwait(set, NULL, &tick);

	return sig > 0 ? sig : 0;
}

/* Serves until SIGTERM or SIGINT. */
static void run(struct pd_ingress *ingress, const char *path, const sigset_t *set)
{
	int64_t mtime = file_mtime_ns(path);

	for (unsigned int tick = 1;; tick++) {
		int sig = wait_tick(set);
		int64_t new_mtime;

		if (sig == SIGTERM || sig == SIGINT)
			return;
		if (sig == SIGHUP)
			reload(ingress, path, "sighup");
		pd_ingress_maintain(ingress);
		if (tick % FILE_CHECK_INTERVAL_TICKS)
			continue;
		new_mtime = file_mtime_ns(path);
		if (new_mtime != mtime && sig != SIGHUP)
			reload(ingress, path, "file_changed");
		mtime = new_mtime;
	}
}

/* Continues to serve until the clients use other instances or the time limit has passed, and no
 * request is in flight.
 */
static void stop(struct pd_ingress *ingress, const sigset_t *set)
{
	int64_t start = pd_os_boot_us();

	pd_log(PD_LOG_INFO, "stopping", "serve_on_ms=%lld", (long long)SERVE_MIN_US / 1000);
	pd_ingress_begin_stop(ingress, SERVE_MIN_US);
	for (;;) {
		int64_t elapsed = pd_os_boot_us() - start;
		bool close = elapsed > CLOSE_AFTER_US;

		if (elapsed > SERVE_MIN_US && pd_ingress_may_exit(ingress, close) &&
		    pd_ingress_may_exit(ingress, true))
			break;
		wait_tick(set);
		pd_ingress_maintain(ingress);
	}
	pd_log(PD_LOG_INFO, "stopped", "after_ms=%lld",
	       (long long)(pd_os_boot_us() - start) / 1000);
	pd_log_flush();
}

int main(int argc, char **argv)
{
	struct pd_ingress_settings settings;
	struct pd_ingress *ingress;
	struct options options;
	struct pd_error err;
	sigset_t set;
	int status;

	/* Before anything else: a signal that arrives during the start takes effect after it. */
	block_signals(&set);
	status = parse_options(argc, argv, &options);
	if (status >= 0)
		return status;
	if (pd_settings_file_read(options.settings, &settings, &err) != PD_OK) {
		fprintf(stderr, "peridot-ingress: %s\n", err.text);
		return EXIT_FAILURE;
	}
	if (options.check) {
		printf("%s: settings are valid\n", options.settings);
		return EXIT_SUCCESS;
	}
	/* All threads share one heap, because a heap for each costs memory on small machines. */
	mallopt(M_ARENA_MAX, 1);
	pd_log_open(settings.node.text, PD_LOG_INFO);
	pd_log_to_stdout(settings.log_lines_per_s);
	pd_log(PD_LOG_INFO, "starting", "version=%s zone=%s front=%s:%u", PD_VERSION,
	       settings.zone.text, settings.front.ip, settings.front.port);
	ingress = pd_ingress_create(&settings, &err);
	if (!ingress || pd_ingress_start(ingress, &err) != PD_OK) {
		pd_log_failure(PD_LOG_ERROR, "start_failed", &err);
		pd_log_flush();
		return EXIT_FAILURE;
	}
	run(ingress, options.settings, &set);
	stop(ingress, &set);
	/* Threads of idle connections end with the process. */
	_exit(EXIT_SUCCESS);
}
