/**
 * DOC: Starts, signals and waits for the child processes of an experiment
 */
#ifndef BENCH_PROCESS_H
#define BENCH_PROCESS_H

#include <sys/types.h>

#include "error.h"
#include "os.h"
#include "str.h"

#define BENCH_ARGS_MAX 64

/**
 * struct bench_process - a program and its arguments; it can be started again after it has exited
 * @name: name in reports and fault plans
 * @args: NULL-terminated arguments; args[0] is the path of the program; owned
 * @arg_count: number of entries in @args, without the NULL
 * @log_path: path of the log file, to which standard error is appended, and standard output unless
 * @prints_address is set
 * @pid: process id; 0 if the process isn't running
 * @address: address from the line `listening IP:PORT` that the program prints, or set by the caller
 * @prints_address: whether the program prints this line to standard output when it is started
 * @earlier_cpu_us: processor time of earlier runs of the program, in microseconds
 */
struct bench_process {
	char name[64];
	char *args[BENCH_ARGS_MAX];
	int arg_count;
	char log_path[256];
	pid_t pid;
	struct pd_address address;
	bool prints_address;
	int64_t earlier_cpu_us;
};

void bench_process_init(struct bench_process *process, const char *name, const char *log_folder);
/* Kills the process if it is still running and frees the arguments. */
void bench_process_finish(struct bench_process *process);
/* Appends a formatted argument; ignores it if there are BENCH_ARGS_MAX - 1 already. */
void bench_process_arg(struct bench_process *process, const char *format, ...)
	__attribute__((format(printf, 2, 3)));
/*
 * Starts the process. If @prints_address is set, waits up to 10 s until the program has printed its
 * address.
 */
enum pd_code bench_process_start(struct bench_process *process, struct pd_error *err);
void bench_process_signal(struct bench_process *process, int sig);
/*
 * Waits until the process has exited and stores its exit status, or 128 plus the number of the
 * signal that ended it. Returns false if it is still running after @timeout_us.
 */
bool bench_process_wait(struct bench_process *process, int64_t timeout_us, int *status);
/* Total processor time of all runs of the program, in microseconds. */
int64_t bench_process_cpu_us(const struct bench_process *process);
/* Resident set size in KB; 0 if the process isn't running. */
int64_t bench_process_memory_kb(const struct bench_process *process);

#endif
