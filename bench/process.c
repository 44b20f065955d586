#include "process.h"

#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#define START_TIMEOUT_US      (10 * PD_USEC_PER_SEC)
#define WAIT_POLL_INTERVAL_US (5 * PD_USEC_PER_MSEC)

void bench_process_init(struct bench_process *process, const char *name, const char *log_folder)
{
	memset(process, 0, sizeof(*process));
	snprintf(process->name, sizeof(process->name), "%s", name);
	snprintf(process->log_path, sizeof(process->log_path), "%s/%s.log", log_folder, name);
	unlink(process->log_path);
}

void bench_process_arg(struct bench_process *process, const char *format, ...)
{
	va_list args;

	if (process->arg_count == BENCH_ARGS_MAX - 1)
		return;
	va_start(args, format);
	if (vasprintf(&process->args[process->arg_count], format, args) >= 0)
		process->arg_count++;
	va_end(args);
}

void bench_process_finish(struct bench_process *process)
{
	int status;

	if (process->pid) {
		bench_process_signal(process, SIGKILL);
		bench_process_wait(process, START_TIMEOUT_US, &status);
	}
	for (int i = 0; i < process->arg_count; i++)
		free(process->args[i]);
	process->arg_count = 0;
}

/* Runs in the child process: redirects its output and executes the program. */
static void run_child(struct bench_process *process, const int pipe_fds[2])
{
	int log_fd = open(process->log_path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
	sigset_t none;

	/* The kernel kills the child when the parent ends, whatever the reason. */
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	sigemptyset(&none);
	sigprocmask(SIG_SETMASK, &none, NULL);
	if (log_fd >= 0)
		dup2(log_fd, STDERR_FILENO);
	dup2(process->prints_address ? pipe_fds[1] : log_fd, STDOUT_FILENO);
	execv(process->args[0], process->args);
	_exit(127);
}

/* Reads the line `listening IP:PORT` that the program prints. */
static enum pd_code read_address(struct bench_process *process, int fd, struct pd_error *err)
{
	int64_t deadline = pd_os_now_us() + START_TIMEOUT_US;
	char line[256];
	size_t len = 0;

	while (len < sizeof(line) - 1 && pd_os_now_us() < deadline) {
		struct pollfd p = {.fd = fd, .events = POLLIN};

		if (poll(&p, 1, 100) <= 0)
			continue;
		if (read(fd, line + len, 1) != 1)
			break;
		if (line[len] == '\n') {
			struct pd_str text = {line, len};
			struct pd_str prefix = PD_STR("listening ");

			if (len < prefix.len || memcmp(line, prefix.data, prefix.len) != 0)
				break;
			text.data += prefix.len;
			text.len -= prefix.len;
			return pd_address_parse(text, &process->address, err);
		}
		len++;
	}
	return pd_error_set(err, PD_LAYER_BASE, PD_TIMEOUT,
			    "%s did not print the address it listens at; see %s", process->name,
			    process->log_path);
}

/**
 * struct spawner - state of the thread that forks all child processes
 *
 * PR_SET_PDEATHSIG takes effect when the thread that forked the child ends, not when its process
 * ends. A child that was forked by the thread of a fault plan would be killed when that thread
 * ends. Therefore one thread that never ends forks all children.
 *
 * @mutex: guards all other members
 * @changed: signalled when @process is set or cleared
 * @started: whether the thread was started
 * @process: process to fork; NULL if there is no request
 * @pipe_fds: pipe for the standard output of @process
 * @pid: result of the last fork()
 * @error: errno of the last fork()
 */
static struct spawner {
	pthread_mutex_t mutex;
	pthread_cond_t changed;
	bool started;
	struct bench_process *process;
	const int *pipe_fds;
	pid_t pid;
	int error;
} spawner = {.mutex = PTHREAD_MUTEX_INITIALIZER, .changed = PTHREAD_COND_INITIALIZER};

static void *run_spawner(void *arg)
{
	(void)arg;
	pthread_mutex_lock(&spawner.mutex);
	for (;;) {
		while (!spawner.process)
			pthread_cond_wait(&spawner.changed, &spawner.mutex);
		spawner.pid = fork();
		if (spawner.pid == 0)
			run_child(spawner.process, spawner.pipe_fds);
		spawner.error = errno;
		spawner.process = NULL;
		pthread_cond_broadcast(&spawner.changed);
	}
	return NULL;
}

/* Lets the spawner thread fork @process; returns -1 and sets errno after an error. */
static pid_t spawn(struct bench_process *process, const int pipe_fds[2])
{
	static pthread_mutex_t spawn_mutex = PTHREAD_MUTEX_INITIALIZER;
	pthread_t thread;
	pid_t pid = -1;

	pthread_mutex_lock(&spawn_mutex);
	pthread_mutex_lock(&spawner.mutex);
	if (!spawner.started &&
	    pd_os_thread_start(&thread, "spawner", run_spawner, NULL, NULL) == PD_OK) {
		pthread_detach(thread);
		spawner.started = true;
	}
	errno = EAGAIN;
	if (spawner.started) {
		spawner.process = process;
		spawner.pipe_fds = pipe_fds;
		pthread_cond_broadcast(&spawner.changed);
		while (spawner.process)
			pthread_cond_wait(&spawner.changed, &spawner.mutex);
		pid = spawner.pid;
		errno = spawner.error;
	}
	pthread_mutex_unlock(&spawner.mutex);
	pthread_mutex_unlock(&spawn_mutex);
	return pid;
}

enum pd_code bench_process_start(struct bench_process *process, struct pd_error *err)
{
	enum pd_code code = PD_OK;
	int error;
	int pipe_fds[2];

	process->args[process->arg_count] = NULL;
	if (pipe2(pipe_fds, O_CLOEXEC))
		return pd_error_set(err, PD_LAYER_BASE, PD_SYSTEM, "can't create a pipe: %s",
				    strerror(errno));
	process->pid = spawn(process, pipe_fds);
	error = errno;
	close(pipe_fds[1]);
	if (process->pid < 0) {
		process->pid = 0;
		close(pipe_fds[0]);
		return pd_error_set(err, PD_LAYER_BASE, PD_SYSTEM, "can't fork: %s",
				    strerror(error));
	}
	if (process->prints_address)
		code = read_address(process, pipe_fds[0], err);
	close(pipe_fds[0]);
	return code;
}

void bench_process_signal(struct bench_process *process, int sig)
{
	if (process->pid)
		kill(process->pid, sig);
}

bool bench_process_wait(struct bench_process *process, int64_t timeout_us, int *status)
{
	int64_t deadline = pd_os_now_us() + timeout_us;
	int64_t cpu_us;
	int wait_status;

	*status = 0;
	if (!process->pid)
		return true;
	for (;;) {
		pid_t ended_pid;

		cpu_us = bench_process_cpu_us(process);
		ended_pid = waitpid(process->pid, &wait_status, WNOHANG);
		if (ended_pid == process->pid || ended_pid < 0)
			break;
		if (pd_os_now_us() >= deadline)
			return false;
		pd_os_sleep_us(WAIT_POLL_INTERVAL_US);
	}
	process->earlier_cpu_us = cpu_us;
	process->pid = 0;
	*status = WIFEXITED(wait_status) ? WEXITSTATUS(wait_status) : 128 + WTERMSIG(wait_status);
	return true;
}

/* Reads a file of /proc/PID. */
static bool read_proc(pid_t pid, const char *file, char *out, size_t size)
{
	char path[64];
	ssize_t length;
	int fd;

	snprintf(path, sizeof(path), "/proc/%d/%s", (int)pid, file);
	fd = open(path, O_RDONLY | O_CLOEXEC);
	if (fd < 0)
		return false;
	length = read(fd, out, size - 1);
	close(fd);
	if (length <= 0)
		return false;
	out[length] = '\0';
	return true;
}

int64_t bench_process_cpu_us(const struct bench_process *process)
{
	unsigned long user;
	unsigned long system;
	char text[1024];
	const char *fields;

	if (!process->pid || !read_proc(process->pid, "stat", text, sizeof(text)))
		return process->earlier_cpu_us;
	fields = strrchr(text, ')');
	if (!fields || sscanf(fields + 1, " %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu",
			      &user, &system) != 2)
		return process->earlier_cpu_us;
	return process->earlier_cpu_us +
	       (int64_t)(user + system) * PD_USEC_PER_SEC / sysconf(_SC_CLK_TCK);
}

int64_t bench_process_memory_kb(const struct bench_process *process)
{
	char text[4096];
	const char *line;
	long kb = 0;

	if (!process->pid || !read_proc(process->pid, "status", text, sizeof(text)))
		return 0;
	line = strstr(text, "VmRSS:");
	if (!line || sscanf(line, "VmRSS: %ld", &kb) != 1)
		return 0;
	return kb;
}
