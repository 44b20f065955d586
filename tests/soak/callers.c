#include "callers.h"

#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "ledger.h"

#define CALLERS		   16
#define THINK_TIME_MAX_US  (80 * PD_USEC_PER_MSEC)
#define CONNECT_TIMEOUT_US (300 * PD_USEC_PER_MSEC)
#define NOISY_CALLERS	   4 /* with --quotas, they send requests of the noisy account only */
#define NOISY_SPEED	   8 /* how many times shorter their think times are */
#define DEADLINE_MIN_MS	   400
#define DEADLINE_RANGE_MS  800
#define ANSWER_SLACK_US	   (500 * PD_USEC_PER_MSEC) /* allowed delay after the deadline */
#define CANCEL_ONE_IN	   25 /* one in this many requests is cancelled by its caller */
#define HEAD_MAX_BYTES	   8192
#define BODY_MAX_BYTES	   65536

/**
 * struct caller - one caller, which sends one request at a time
 * @thread: thread that runs the caller
 * @noisy: sends requests of the noisy account only
 * @random_state: state of the caller's random numbers, see callers_random()
 * @connections: descriptor of the open connection to each instance, -1 for none
 */
struct caller {
	pthread_t thread;
	bool noisy;
	uint64_t random_state;
	int connections[FLEET_INSTANCES_MAX];
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

/*
 * Returns the idle connection to the instance if it is still open and has no unread bytes, else a
 * new one, or -1 if the instance doesn't accept a new one. An instance that sends bytes while no
 * request is in flight violates RULE_MIXED.
 */
static int open_connection(struct caller *caller, size_t instance_index)
{
	int *conn_fd = &caller->connections[instance_index];
	char byte;

	if (*conn_fd >= 0) {
		ssize_t n = recv(*conn_fd, &byte, 1, MSG_DONTWAIT | MSG_PEEK);

		if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
			return *conn_fd;
		if (n > 0)
			ledger_report_violation(RULE_MIXED, "%s sent bytes without a request",
						fleet.instances[instance_index].name);
		pd_os_close(conn_fd);
	}
	if (pd_os_connect(&fleet.instances[instance_index].front, CONNECT_TIMEOUT_US, conn_fd,
			  NULL) != PD_OK)
		return -1;
	return *conn_fd;
}

/* Appends a key, and an account that the caller states itself; FLEET_KEYS stands for an unknown
 * key. */
static void write_key(struct pd_buf *out, uint32_t key)
{
	if (key < FLEET_KEYS)
		pd_buf_printf(out, "X-Key: soak-key-%u\r\nX-Tenant: forged\r\n", key);
	else
		pd_buf_append_str(out, PD_STR("X-Key: unknown\r\n"));
}

static void write_request(struct pd_buf *out, long request, enum request_kind kind,
			  int64_t deadline_ms, uint32_t key)
{
	static const char *const names[REQUEST_KINDS] = {"gather", "read", "write"};
	char body[1024];
	size_t len;

	pd_buf_printf(out, "%s /%s/%ld?q=%ld HTTP/1.1\r\nHost: shop.example\r\n",
		      kind == REQUEST_WRITE ? "POST" : "GET", names[kind], request, request);
	pd_buf_printf(out, "X-Request-Id: " REQUEST_ID_PREFIX "%ld\r\nX-Deadline-Ms: %d\r\n",
		      request, (int)deadline_ms);
	if (fleet.use_keys)
		write_key(out, key);
	if (kind != REQUEST_WRITE) {
		pd_buf_append_str(out, PD_STR("\r\n"));
		return;
	}
	len = ledger_request_body(request, body, sizeof(body));
	if (request % 2) {
		pd_buf_printf(out, "Content-Length: %zu\r\n\r\n", len);
		pd_buf_append(out, body, len);
		return;
	}
	pd_buf_printf(out, "Transfer-Encoding: chunked\r\n\r\n%zx\r\n", len);
	pd_buf_append(out, body, len);
	pd_buf_append_str(out, PD_STR("\r\n0\r\n\r\n"));
}

/*
 * Reads an answer until @until_us and returns whether it is complete. *closed is set if the
 * instance closed the connection or sent bytes that aren't HTTP; if neither this nor a complete
 * answer came in time, the answer timed out.
 */
static bool read_answer(int fd, struct pd_http_message *msg, int64_t until_us, bool *closed)
{
	char bytes[8192];

	*closed = false;
	for (;;) {
		int64_t remaining_us = until_us - pd_os_now_us();
		struct pollfd poll_fd = {.fd = fd, .events = POLLIN};
		enum pd_http_result result;
		size_t used;
		ssize_t n;

		if (remaining_us <= 0 ||
		    poll(&poll_fd, 1, (int)(remaining_us / PD_USEC_PER_MSEC) + 1) <= 0)
			return false;
		n = recv(fd, bytes, sizeof(bytes), 0);
		if (n <= 0) {
			*closed = true;
			return n == 0 && pd_http_message_eof(msg) == PD_HTTP_COMPLETE;
		}
		result = pd_http_message_parse(msg, bytes, (size_t)n, &used);
		if (result == PD_HTTP_COMPLETE && used < (size_t)n)
			ledger_report_violation(RULE_MIXED,
						"the instance sent bytes after an answer");
		if (result == PD_HTTP_COMPLETE)
			return true;
		if (result != PD_HTTP_INCOMPLETE) {
			ledger_report_violation(
				RULE_MIXED, "the instance sent bytes that aren't an HTTP response");
			*closed = true;
			return false;
		}
	}
}

static int compare_descending(const void *a, const void *b)
{
	return memcmp(b, a, PLATFORM_RECORD_BYTES);
}

/*
 * Appends the records that the service named by @stamp returns for @request. Returns false if
 * @stamp is malformed or belongs to another request.
 */
static bool add_records(struct pd_str stamp, long request, struct pd_buf *records,
			uint32_t *service)
{
	struct pd_str id;
	char expected[32], name[32];

	*service = fleet_service_of_stamp(stamp, &id);
	snprintf(expected, sizeof(expected), REQUEST_ID_PREFIX "%ld", request);
	if (*service == FLEET_SERVICES || !pd_str_is(id, expected))
		return false;
	fleet_service_name(*service, name, sizeof(name));
	for (int i = 0; i < PLATFORM_RECORDS_PER_REPLY; i++) {
		char record[PLATFORM_RECORD_BYTES];

		platform_upstream_record(name, id, i, record);
		pd_buf_append(records, record, sizeof(record));
	}
	return true;
}

/*
 * Appends the records of all parts in @stamps, a list separated by commas, and sets the bit of each
 * part's service in *services. Returns the number of parts, or -1 if a stamp is wrong or repeated.
 */
static int add_parts(struct pd_str stamps, long request, struct pd_buf *records, uint32_t *services)
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
		if (!add_records(stamp, request, records, &service) || *services & 1U << service)
			return -1;
		*services |= 1U << service;
		parts++;
		stamps.data += comma ? len + 1 : len;
		stamps.len -= comma ? len + 1 : len;
	}
	return parts;
}

/* Whether @body consists of the greatest records, in descending order; sorts @records. */
static bool is_top_k(const struct pd_buf *records, struct pd_str body)
{
	size_t count = records->len / PLATFORM_RECORD_BYTES;
	size_t expected_count = count < FLEET_TOP_K ? count : FLEET_TOP_K;

	qsort(records->data, count, PLATFORM_RECORD_BYTES, compare_descending);
	return body.len == expected_count * PLATFORM_RECORD_BYTES &&
	       !memcmp(body.data, records->data, body.len);
}

/* Checks a successful answer of the gather route. Returns what is wrong with it, or NULL. */
static const char *check_gathered(const struct pd_http_message *msg, long request)
{
	struct pd_str stamps, missing;
	struct pd_buf records = {0};
	uint64_t missing_parts = 0;
	uint32_t services = 0;
	const char *violation = NULL;
	int parts = -1;

	if (pd_http_message_field(msg, "X-Part-Stamps", &stamps))
		parts = add_parts(stamps, request, &records, &services);
	if (pd_http_message_field(msg, "X-Missing-Parts", &missing) &&
	    !pd_str_to_u64(missing, &missing_parts))
		violation = "X-Missing-Parts isn't a number";
	else if (parts <= 0)
		violation = "its stamps are missing, malformed, repeated or of another request";
	else if ((uint64_t)parts + missing_parts != FLEET_SHARDS)
		violation = "its present and missing parts don't add up to the number of shards";
	else if (parts < FLEET_MIN_SHARD_RATIO * FLEET_SHARDS)
		violation = "it has fewer parts than min_shard_ratio requires";
	else if ((services >> FLEET_PLAIN_SERVICES & ((1U << FLEET_SHARDS) - 1)) &&
		 services >> (FLEET_PLAIN_SERVICES + FLEET_SHARDS))
		violation = "its parts come from both indexes";
	else if (!is_top_k(&records, pd_buf_str(&msg->body)))
		violation = "its records aren't the top_k greatest of its parts";
	pd_buf_finish(&records);
	return violation;
}

/* Checks a successful answer of a plain route. Returns what is wrong with it, or NULL. */
static const char *check_plain(const struct pd_http_message *msg, long request)
{
	struct pd_buf records = {0};
	const char *violation = NULL;
	struct pd_str stamp;
	uint32_t service;

	if (!pd_http_message_field(msg, "X-Server-Stamp", &stamp))
		return "it has no X-Server-Stamp";
	if (!add_records(stamp, request, &records, &service))
		violation = "its stamp is malformed or of another request";
	else if (!pd_str_equal(pd_buf_str(&records), pd_buf_str(&msg->body)))
		violation = "its body differs from the upstream's answer";
	pd_buf_finish(&records);
	return violation;
}

/* Checks a complete answer and classifies it. */
static enum outcome check_answer(const struct pd_http_message *msg, long request,
				 enum request_kind kind)
{
	unsigned int status = msg->parser.status_code;
	const char *violation;
	struct pd_str stamp;

	/* With these statuses the instance guarantees that the request wasn't executed. */
	if (status == 429 || status == 503 || status == 408 || status == 421)
		return OUTCOME_REFUSED;
	if (status / 100 != 2) {
		if (status != 500 && pd_http_message_field(msg, "X-Server-Stamp", &stamp))
			ledger_report_violation(RULE_MIXED,
						"the answer to request %ld with status %u has the "
						"stamp of an upstream",
						request, status);
		return OUTCOME_FAILED;
	}
	violation =
		kind == REQUEST_GATHER ? check_gathered(msg, request) : check_plain(msg, request);
	if (violation)
		ledger_report_violation(RULE_MIXED, "the answer to request %ld is wrong: %s",
					request, violation);
	return OUTCOME_SERVED;
}

/*
 * Waits for the answer or cancels the request, and records the outcome. Keeps the connection open
 * if the answer allows another request on it.
 */
static void await_answer(struct caller *caller, int *fd, long request, enum request_kind kind,
			 int64_t deadline_ms)
{
	int64_t wait_us = deadline_ms * PD_USEC_PER_MSEC + ANSWER_SLACK_US;
	struct pd_http_message msg;
	bool closed;

	pd_http_message_init(&msg, PD_HTTP_RESPONSE, HEAD_MAX_BYTES, BODY_MAX_BYTES);
	if (callers_random(&caller->random_state) % CANCEL_ONE_IN == 0) {
		pd_os_sleep_us((int64_t)(callers_random(&caller->random_state) % 30) *
			       PD_USEC_PER_MSEC);
		pd_os_close(fd);
		ledger_record_outcome(request, OUTCOME_CANCELLED, 0);
	} else if (read_answer(*fd, &msg, pd_os_now_us() + wait_us, &closed)) {
		ledger_record_outcome(request, check_answer(&msg, request, kind),
				      msg.parser.status_code);
		if (!msg.keep_alive || closed)
			pd_os_close(fd);
	} else {
		pd_os_close(fd);
		ledger_record_outcome(request, closed ? OUTCOME_DISCONNECTED : OUTCOME_TIMED_OUT,
				      0);
	}
	pd_http_message_finish(&msg);
}

/*
 * Chooses a random running instance if there is one: the platform, too, sends callers only to
 * instances that respond.
 */
static size_t choose_instance(struct caller *caller)
{
	size_t index = callers_random(&caller->random_state) % fleet.instance_count;

	pthread_mutex_lock(&fleet.lock);
	for (size_t i = 0; i < fleet.instance_count && !fleet.instances[index].pid; i++)
		index = (index + 1) % fleet.instance_count;
	pthread_mutex_unlock(&fleet.lock);
	return index;
}

/* Sends one random request to a random instance and waits for its end. */
static void send_request(struct caller *caller)
{
	static const enum request_kind kinds[] = {REQUEST_GATHER, REQUEST_GATHER, REQUEST_READ,
						  REQUEST_WRITE};
	enum request_kind kind = kinds[callers_random(&caller->random_state) % 4];
	int64_t deadline_ms = DEADLINE_MIN_MS +
			      (int64_t)(callers_random(&caller->random_state) % DEADLINE_RANGE_MS);
	size_t instance = choose_instance(caller);
	uint32_t key = 0;
	struct pd_buf buf = {0};
	long request;
	int *fd;

	if (open_connection(caller, instance) < 0) {
		pd_os_sleep_us(THINK_TIME_MAX_US);
		return;
	}
	fd = &caller->connections[instance];
	if (caller->noisy)
		key = FLEET_NOISY_KEY;
	else if (fleet.use_keys)
		key = (uint32_t)(callers_random(&caller->random_state) % (FLEET_KEYS + 1));
	request = ledger_add_request(kind, &fleet.instances[instance], key);
	if (request < 0) {
		atomic_store(&stopping, true);
		return;
	}
	write_request(&buf, request, kind, deadline_ms, key);
	if (pd_os_write_full(*fd, buf.data, buf.len, NULL) == PD_OK) {
		await_answer(caller, fd, request, kind, deadline_ms);
	} else {
		pd_os_close(fd);
		ledger_record_outcome(request, OUTCOME_UNSENT, 0);
	}
	pd_buf_finish(&buf);
}

static void *run_caller(void *arg)
{
	struct caller *caller = arg;
	uint64_t think_time_us = (uint64_t)THINK_TIME_MAX_US / (caller->noisy ? NOISY_SPEED : 1);

	while (!atomic_load(&stopping)) {
		send_request(caller);
		pd_os_sleep_us((int64_t)(callers_random(&caller->random_state) % think_time_us));
	}
	for (size_t i = 0; i < fleet.instance_count; i++)
		pd_os_close(&caller->connections[i]);
	return NULL;
}

void callers_start(uint64_t seed)
{
	for (size_t i = 0; i < CALLERS; i++) {
		callers[i].random_state = seed * CALLERS + i;
		callers[i].noisy = fleet.use_quotas && i < NOISY_CALLERS;
		for (size_t k = 0; k < fleet.instance_count; k++)
			callers[i].connections[k] = -1;
		if (pd_os_thread_start(&callers[i].thread, "caller", run_caller, &callers[i],
				       NULL) != PD_OK)
			abort();
	}
}

void callers_stop(void)
{
	atomic_store(&stopping, true);
	for (size_t i = 0; i < CALLERS; i++)
		pthread_join(callers[i].thread, NULL);
}
