/**
 * DOC: Child processes of an experiment
 */
#ifndef BENCH_PROCESS_H
#define BENCH_PROCESS_H

#include <sys/types.h>

#include "error.h"
#include "os.h"
#include "str.h"

#define BENCH_ARGS_MAX 64

/**
 * struct bench_process - one program and its arguments; can be started again after it ended
 * @name: shown in reports and used by faults
 * @args: NULL-terminated; args[0] is the program's path; owned
 * @pid: 0 when not running
 * @address: from its line `listening IP:PORT`, or set by the caller
 * @earlier_cpu_us: processor time of earlier runs, in microseconds
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
void bench_process_finish(struct bench_process *process); /* kills it if it still runs */
void bench_process_arg(struct bench_process *process, const char *format, ...)
	__attribute__((format(printf, 2, 3)));
/* Starts it; with @prints_address waits for at most 10 s for the address. */
enum pd_code bench_process_start(struct bench_process *process, struct pd_error *err);
void bench_process_signal(struct bench_process *process, int sig);
/* Waits for the end; false when it still runs after @timeout_us. Stores the exit status
 * (128+signal). */
bool bench_process_wait(struct bench_process *process, int64_t timeout_us, int *status);
int64_t bench_process_cpu_us(const struct bench_process *process); /* all runs */
int64_t
bench_process_memory_kb(const struct bench_process *process); /* resident; 0 when not running */

#endif
