#include "callers.h"

#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "ledger.h"

#define CALLERS		16
#define PAUSE_MAX_US	(80 * PD_USEC_PER_MSEC)
#define CONNECT_US	(300 * PD_USEC_PER_MSEC)
#define DEADLINE_MIN_MS 400
#define DEADLINE_SPAN	800
#define LATE_US		(500 * PD_USEC_PER_MSEC) /* past the deadline, before an answer is missed */
#define LEAVE_IN	25 /* one request of so many is given up by its caller */
#define HEAD_MAX	8192
#define BODY_MAX	65536

/**
 * struct caller - one caller
 * @seed: state of its random numbers
 * @kept: open connection to each instance, -1 for none
 */
struct caller {
	pthread_t thread;
	uint64_t seed;
	int kept[FLEET_INSTANCES_MAX];
};

static struct caller callers[CALLERS];
static atomic_bool stopping;

uint64_t callers_random(uint64_t *state)
{
	uint64_t z = (*state += 0x9e3779b97f4a7c15);

	z = (z ^ z >> 30) * 0xbf58476d1ce4e5b9;
	z = (z ^ z >> 27) * 0x94d049bb133111eb;
	return z ^ z >> 31;
}

/* A kept connection without surprises, or a new one; -1 when there is none. */
static int connection(struct caller *caller, size_t number)
{
	int *kept = &caller->kept[number];
	char byte;

	if (*kept >= 0) {
		ssize_t n = recv(*kept, &byte, 1, MSG_DONTWAIT | MSG_PEEK);

		if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
			return *kept;
		if (n > 0)
			ledger_report_violation(RULE_MIXED, "%s sends bytes without a request",
						fleet.instances[number].name);
		pd_os_close(kept);
	}
	if (pd_os_connect(&fleet.instances[number].front, CONNECT_US, kept, NULL) != PD_OK)
		return -1;
	return *kept;
}

static void write_request(struct pd_buf *out, long number, enum request_kind kind,
			  int64_t deadline_ms)
{
	static const char *const names[REQUEST_KINDS] = {"gather", "read", "write"};
	char body[1024];
	size_t len;

	pd_buf_printf(out, "%s /%s/%ld?q=%ld HTTP/1.1\r\nHost: shop.example\r\n",
		      kind == REQUEST_WRITE ? "POST" : "GET", names[kind], number, number);
	pd_buf_printf(out, "X-Request-Id: " REQUEST_ID_PREFIX "%ld\r\nX-Deadline-Ms: %d\r\n",
		      number, (int)deadline_ms);
	if (kind != REQUEST_WRITE) {
		pd_buf_append_str(out, PD_STR("\r\n"));
		return;
	}
	len = ledger_request_body(number, body, sizeof(body));
	if (number % 2) {
		pd_buf_printf(out, "Content-Length: %zu\r\n\r\n", len);
		pd_buf_append(out, body, len);
		return;
	}
	pd_buf_printf(out, "Transfer-Encoding: chunked\r\n\r\n%zx\r\n", len);
	pd_buf_append(out, body, len);
	pd_buf_append_str(out, PD_STR("\r\n0\r\n\r\n"));
}

/* Reads until @until_us: true for a whole answer, else *closed tells why there is none. */
static bool read_answer(int fd, struct pd_http_message *msg, int64_t until_us, bool *closed)
{
	char bytes[8192];

	*closed = false;
	for (;;) {
		int64_t left_us = until_us - pd_os_now_us();
		struct pollfd p = {.fd = fd, .events = POLLIN};
		enum pd_http_result result;
		size_t used;
		ssize_t n;

		if (left_us <= 0 || poll(&p, 1, (int)(left_us / PD_USEC_PER_MSEC) + 1) <= 0)
			return false;
		n = recv(fd, bytes, sizeof(bytes), 0);
		if (n <= 0) {
			*closed = true;
			return n == 0 && pd_http_message_eof(msg) == PD_HTTP_COMPLETE;
		}
		result = pd_http_message_parse(msg, bytes, (size_t)n, &used);
		if (result == PD_HTTP_COMPLETE && used < (size_t)n)
			ledger_report_violation(RULE_MIXED, "bytes after an answer");
		if (result == PD_HTTP_COMPLETE)
			return true;
		if (result != PD_HTTP_INCOMPLETE) {
			ledger_report_violation(RULE_MIXED, "bytes that are no answer");
			*closed = true;
			return false;
		}
	}
}

static int compare_falling(const void *a, const void *b)
{
	return memcmp(b, a, PLATFORM_RECORD_BYTES);
}

/* Appends the records of the service that a stamp names; false when it isn't of this request. */
static bool add_records(struct pd_str stamp, long number, struct pd_buf *records, uint32_t *service)
{
	struct pd_str id;
	char expected[32], name[32];

	*service = fleet_service_of_stamp(stamp, &id);
	snprintf(expected, sizeof(expected), REQUEST_ID_PREFIX "%ld", number);
	if (*service == FLEET_SERVICES || !pd_str_is(id, expected))
		return false;
	fleet_service_name(*service, name, sizeof(name));
	for (int i = 0; i < PLATFORM_RECORDS; i++) {
		char record[PLATFORM_RECORD_BYTES];

		platform_upstream_record(name, id, i, record);
		pd_buf_append(records, record, sizeof(record));
	}
	return true;
}

/* Adds the parts named by all stamps; the number of parts, or -1. */
static int add_parts(struct pd_str stamps, long number, struct pd_buf *records, uint32_t *services)
{
	int parts = 0;

	while (stamps.len) {
		const char *comma = memchr(stamps.data, ',', stamps.len);
		size_t len = comma ? (size_t)(comma - stamps.data) : stamps.len;
		struct pd_str stamp = {stamps.data, len};
		uint32_t service;

		while (stamp.len && *stamp.data == ' ') {
			stamp.data++;
			stamp.len--;
		}
		if (!add_records(stamp, number, records, &service) || *services & 1U << service)
			return -1;
		*services |= 1U << service;
		parts++;
		stamps.data += comma ? len + 1 : len;
		stamps.len -= comma ? len + 1 : len;
	}
	return parts;
}

static bool is_best(const struct pd_buf *records, struct pd_str body)
{
	size_t count = records->len / PLATFORM_RECORD_BYTES;
	size_t best = count < FLEET_TOP_K ? count : FLEET_TOP_K;

	qsort(records->data, count, PLATFORM_RECORD_BYTES, compare_falling);
	return body.len == best * PLATFORM_RECORD_BYTES &&
	       !memcmp(body.data, records->data, body.len);
}

/* What is wrong with a gathered success; NULL when nothing is. */
static const char *judge_gathered(const struct pd_http_message *msg, long number)
{
	struct pd_str stamps, missing;
	struct pd_buf records = {0};
	uint64_t missing_parts = 0;
	uint32_t services = 0;
	const char *wrong = NULL;
	int parts = -1;

	if (pd_http_message_field(msg, "X-Part-Stamps", &stamps))
		parts = add_parts(stamps, number, &records, &services);
	if (pd_http_message_field(msg, "X-Missing-Parts", &missing) &&
	    !pd_str_to_u64(missing, &missing_parts))
		wrong = "no number of missing parts";
	else if (parts <= 0)
		wrong = "its stamps aren't of this request";
	else if ((uint64_t)parts + missing_parts != FLEET_SHARDS)
		wrong = "its parts don't make up the set";
	else if (parts < FLEET_MIN_SHARD_RATIO * FLEET_SHARDS)
		wrong = "too few parts are in";
	else if ((services >> FLEET_PLAIN_SERVICES & ((1U << FLEET_SHARDS) - 1)) &&
		 services >> (FLEET_PLAIN_SERVICES + FLEET_SHARDS))
		wrong = "its parts are of two indexes";
	else if (!is_best(&records, pd_buf_str(&msg->body)))
		wrong = "its records aren't the greatest";
	pd_buf_finish(&records);
	return wrong;
}

static const char *judge_plain(const struct pd_http_message *msg, long number)
{
	struct pd_buf records = {0};
	const char *wrong = NULL;
	struct pd_str stamp;
	uint32_t service;

	if (!pd_http_message_field(msg, "X-Server-Stamp", &stamp))
		return "it has no stamp";
	if (!add_records(stamp, number, &records, &service))
		wrong = "its stamp isn't of this request";
	else if (!pd_str_equal(pd_buf_str(&records), pd_buf_str(&msg->body)))
		wrong = "its body isn't the upstream's";
	pd_buf_finish(&records);
	return wrong;
}

static enum outcome judge(const struct pd_http_message *msg, long number, enum request_kind kind)
{
	unsigned int status = msg->parser.status_code;
	const char *wrong;
	struct pd_str stamp;

	if (status == 429 || status == 503 || status == 408 || status == 421)
		return OUTCOME_REFUSED;
	if (status / 100 != 2) {
		if (status != 500 && pd_http_message_field(msg, "X-Server-Stamp", &stamp))
			ledger_report_violation(RULE_MIXED,
						"%ld: stamp of an upstream with status %u", number,
						status);
		return OUTCOME_FAILED;
	}
	wrong = kind == REQUEST_GATHER ? judge_gathered(msg, number) : judge_plain(msg, number);
	if (wrong)
		ledger_report_violation(RULE_MIXED, "%ld: %s", number, wrong);
	return OUTCOME_SERVED;
}

/* Waits for the answer; the connection stays open if it may. */
static void await(struct caller *caller, int *fd, long number, enum request_kind kind,
		  int64_t deadline_ms)
{
	int64_t wait_us = deadline_ms * PD_USEC_PER_MSEC + LATE_US;
	struct pd_http_message msg;
	bool closed;

	pd_http_message_init(&msg, PD_HTTP_RESPONSE, HEAD_MAX, BODY_MAX);
	if (callers_random(&caller->seed) % LEAVE_IN == 0) {
		pd_os_sleep_us((int64_t)(callers_random(&caller->seed) % 30) * PD_USEC_PER_MSEC);
		pd_os_close(fd);
		ledger_record_outcome(number, OUTCOME_CANCELLED, 0);
	} else if (read_answer(*fd, &msg, pd_os_now_us() + wait_us, &closed)) {
		ledger_record_outcome(number, judge(&msg, number, kind), msg.parser.status_code);
		if (!msg.keep_alive || closed)
			pd_os_close(fd);
	} else {
		pd_os_close(fd);
		ledger_record_outcome(number, closed ? OUTCOME_DISCONNECTED : OUTCOME_TIMED_OUT, 0);
	}
	pd_http_message_finish(&msg);
}

/* An instance that runs, if there is one: the platform sends callers to those that answer. */
static size_t choose_instance(struct caller *caller)
{
	size_t number = callers_random(&caller->seed) % fleet.instance_count;

	pthread_mutex_lock(&fleet.lock);
	for (size_t i = 0; i < fleet.instance_count && !fleet.instances[number].pid; i++)
		number = (number + 1) % fleet.instance_count;
	pthread_mutex_unlock(&fleet.lock);
	return number;
}

static void call(struct caller *caller)
{
	static const enum request_kind kinds[] = {REQUEST_GATHER, REQUEST_GATHER, REQUEST_READ,
						  REQUEST_WRITE};
	enum request_kind kind = kinds[callers_random(&caller->seed) % 4];
	int64_t deadline_ms =
		DEADLINE_MIN_MS + (int64_t)(callers_random(&caller->seed) % DEADLINE_SPAN);
	size_t instance = choose_instance(caller);
	struct pd_buf request = {0};
	long number;
	int *fd;

	if (connection(caller, instance) < 0) {
		pd_os_sleep_us(PAUSE_MAX_US);
		return;
	}
	fd = &caller->kept[instance];
	number = ledger_add_request(kind, &fleet.instances[instance]);
	if (number < 0) {
		atomic_store(&stopping, true);
		return;
	}
	write_request(&request, number, kind, deadline_ms);
	if (pd_os_write_full(*fd, request.data, request.len, NULL) == PD_OK) {
		await(caller, fd, number, kind, deadline_ms);
	} else {
		pd_os_close(fd);
		ledger_record_outcome(number, OUTCOME_UNSENT, 0);
	}
	pd_buf_finish(&request);
}

static void *run(void *arg)
{
	struct caller *caller = arg;

	while (!atomic_load(&stopping)) {
		call(caller);
		pd_os_sleep_us((int64_t)(callers_random(&caller->seed) % (uint64_t)PAUSE_MAX_US));
	}
	for (size_t i = 0; i < fleet.instance_count; i++)
		pd_os_close(&caller->kept[i]);
	return NULL;
}

void callers_start(uint64_t seed)
{
	for (size_t i = 0; i < CALLERS; i++) {
		callers[i].seed = seed * CALLERS + i;
		for (size_t k = 0; k < fleet.instance_count; k++)
			callers[i].kept[k] = -1;
		if (pd_os_thread_start(&callers[i].thread, "caller", run, &callers[i], NULL) !=
		    PD_OK)
			abort();
	}
}

void callers_stop(void)
{
	atomic_store(&stopping, true);
	for (size_t i = 0; i < CALLERS; i++)
		pthread_join(callers[i].thread, NULL);
}
