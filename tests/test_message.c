/*
 * Guards the encoding of messages between instances against fields that are lost or swapped,
 * against messages of another version that are misread, and against malformed messages that crash
 * the decoder or make it allocate as much memory as they claim to need.
 */
#include <check.h>
#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include "message.h"

#define LENGTH_PREFIX_BYTES 4

static struct pd_name name_of(const char *text)
{
	struct pd_name name;

	ck_assert(pd_name_set(&name, pd_str_from(text)));
	return name;
}

static struct pd_member_record sample_record(int i)
{
	struct pd_member_record r = {
		.address = {"10.1.2.3", (uint16_t)(4000 + i)},
		.incarnation = 1700000000000ULL + (uint64_t)i,
		.state = (enum pd_member_state)(i % 3),
	};
	char name[16];

	snprintf(name, sizeof(name), "entry-%d", i);
	r.name = name_of(name);
	r.zone = name_of("boston");
	return r;
}

#define SAMPLES 13 /* number of message types */

static struct pd_message sample(enum pd_message_type type)
{
	static struct pd_member_record records[3];
	static struct pd_str commands[2] = {{"create zone a", 13}, {"create zone b", 13}};
	struct pd_message m = {.type = type};

	switch (type) {
	case PD_MSG_HELLO:
		m.hello = (struct pd_msg_hello){sample_record(1), 7};
		break;
	case PD_MSG_HEARTBEAT:
		m.heartbeat = (struct pd_msg_heartbeat){1, 2, 3, UINT64_MAX, 5};
		break;
	case PD_MSG_HEARTBEAT_ACK:
		m.heartbeat_ack = (struct pd_msg_heartbeat_ack){1, 2, true, 4};
		break;
	case PD_MSG_SUBREQUEST:
		m.subrequest = (struct pd_msg_subrequest){.call = 9,
							  .collection = PD_STR("catalogue"),
							  .service = PD_STR("s-1"),
							  .upstream = PD_STR("u-1"),
							  .snapshot = 42,
							  .urgency = PD_NORMAL,
							  .idempotent = true,
							  .hedge = true,
							  .divertible = true,
							  .deadline_us = 61000,
							  .request_id = PD_STR("r:1/2"),
							  .fingerprint = 1ULL << 63,
							  .body = PD_STR("broken rib")};
		break;
	case PD_MSG_SUBREPLY:
		m.subreply = (struct pd_msg_subreply){.call = 9,
						      .status = PD_SUB_FAILED,
						      .snapshot = 42,
						      .covers = PD_STR("0-49,60"),
						      .held = {41, 42},
						      .held_count = 2,
						      .queue_us = 10,
						      .service_us = 20,
						      .limit = 3,
						      .body = PD_STR("[]")};
		break;
	case PD_MSG_CANCEL:
		m.cancel.call = 9;
		break;
	case PD_MSG_CONFIG_WANT:
		m.config_want.after = 3;
		break;
	case PD_MSG_CONFIG_ENTRIES:
		m.config_entries = (struct pd_msg_config_entries){4, commands, 2};
		break;
	case PD_MSG_CONFIG_STATE:
		m.config_state = (struct pd_msg_config_state){64, PD_STR("create zone a\n")};
		break;
	case PD_MSG_MEMBERS:
		for (int i = 0; i < 3; i++)
			records[i] = sample_record(i);
		m.members = (struct pd_msg_members){records, 3};
		break;
	case PD_MSG_SUSPECT:
		m.suspect = (struct pd_msg_suspect){77, name_of("u-1"), 2, 60000};
		break;
	case PD_MSG_INDEX:
		m.index = (struct pd_msg_index){name_of("catalogue"), 42, 1000};
		break;
	case PD_MSG_GOODBYE:
		break;
	}
	return m;
}

static void encode(const struct pd_message *msg, struct pd_buf *out)
{
	pd_buf_init(out, 0);
	ck_assert_int_eq(pd_message_encode(msg, out, NULL), PD_OK);
	ck_assert_uint_eq((uint8_t)out->data[2] * 256U + (uint8_t)out->data[3],
			  out->len - LENGTH_PREFIX_BYTES);
}

static enum pd_code decode_bytes(const char *bytes, size_t len, struct pd_error *err)
{
	struct pd_message msg;
	enum pd_code code = pd_message_decode(&msg, bytes, len, err);

	if (!code)
		pd_message_finish(&msg);
	return code;
}

START_TEST(every_type_round_trips)
{
	struct pd_message msg = sample((enum pd_message_type)_i);
	struct pd_message decoded;
	struct pd_buf first;
	struct pd_buf second;

	encode(&msg, &first);
	ck_assert_int_eq(pd_message_decode(&decoded, first.data + LENGTH_PREFIX_BYTES,
					   first.len - LENGTH_PREFIX_BYTES, NULL),
			 PD_OK);
	ck_assert_int_eq(decoded.type, msg.type);
	encode(&decoded, &second);
	ck_assert_uint_eq(first.len, second.len);
	ck_assert_mem_eq(first.data, second.data, first.len);
	pd_message_finish(&decoded);
	pd_buf_finish(&first);
	pd_buf_finish(&second);
}
END_TEST

START_TEST(decoded_fields_equal_encoded_fields)
{
	struct pd_message msg = sample(PD_MSG_SUBREPLY);
	struct pd_message decoded;
	struct pd_buf buf;

	encode(&msg, &buf);
	ck_assert_int_eq(pd_message_decode(&decoded, buf.data + LENGTH_PREFIX_BYTES,
					   buf.len - LENGTH_PREFIX_BYTES, NULL),
			 PD_OK);
	pd_buf_finish(&buf);
	ck_assert_uint_eq(decoded.subreply.call, 9);
	ck_assert_int_eq(decoded.subreply.status, PD_SUB_FAILED);
	ck_assert(pd_str_is(decoded.subreply.covers, "0-49,60"));
	ck_assert_uint_eq(decoded.subreply.held_count, 2);
	ck_assert_uint_eq(decoded.subreply.held[1], 42);
	ck_assert_int_eq(decoded.subreply.queue_us, 10);
	ck_assert_int_eq(decoded.subreply.service_us, 20);
	ck_assert_uint_eq(decoded.subreply.limit, 3);
	ck_assert(pd_str_is(decoded.subreply.body, "[]"));
	pd_message_finish(&decoded);

	msg = sample(PD_MSG_HEARTBEAT);
	encode(&msg, &buf);
	ck_assert_int_eq(pd_message_decode(&decoded, buf.data + LENGTH_PREFIX_BYTES,
					   buf.len - LENGTH_PREFIX_BYTES, NULL),
			 PD_OK);
	pd_buf_finish(&buf);
	ck_assert_mem_eq(&decoded.heartbeat, &msg.heartbeat, sizeof(msg.heartbeat));
	pd_message_finish(&decoded);
}
END_TEST

#define BYTES(...) ((const char[]){__VA_ARGS__}), sizeof((const char[]){__VA_ARGS__})
#define B(value)   ((char)(value))

START_TEST(other_versions_are_unsupported)
{
	struct pd_error err;

	ck_assert_int_eq(decode_bytes(BYTES(B(0x92), 2, 13), &err), PD_UNSUPPORTED_VERSION);
	/* The version is checked first, even if the message has item types that version 1 lacks. */
	ck_assert_int_eq(decode_bytes(BYTES(B(0x92), 2, B(0xc0)), &err), PD_UNSUPPORTED_VERSION);
	ck_assert_int_eq(decode_bytes(BYTES(B(0x92), 1, 13), &err), PD_OK);
}
END_TEST

START_TEST(malformed_messages_are_rejected_with_an_error)
{
	static const struct {
		const char *bytes;
		size_t len;
	} cases[] = {
		{"", 0},
		{"\x01", 1},
		{"\x90", 1},
		{"\x91\x01", 2},
		{"\x92\x01\x00", 3}, /* type 0 */
		{"\x92\x01\x0e", 3}, /* type 14 */
		{"\x92\x01\x0d\x00", 4}, /* a byte after the message */
		{"\x93\x01\x0d\x00", 4}, /* one field too many */
		{"\x92\x01\x06", 3}, /* one field too few */
		{"\x93\x01\x06\xa1\x61", 5}, /* a string instead of a number */
		{"\x93\x01\x06\xff", 4}, /* a negative number */
		{"\x93\x01\x06\xc0", 4}, /* nil */
		{"\x93\x01\x06\xcb\0\0\0\0\0\0\0\0", 12}, /* a floating-point number */
		{"\x93\x01\x0a\x91\x91\x91\x91\x00", 8}, /* nested too deeply */
		{"\x93\x01\x0a\xdd\xff\xff\xff\xff", 8}, /* array of 4 billion records */
		{"\x93\x01\x0a\xdd\x00\x00\x20\x00", 8}, /* array of 8,192 records */
		{"\x94\x01\x09\x05\xdb\xff\xff\xff\xff", 9}, /* string of 4 GB */
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct pd_error err = {0};

		ck_assert_msg(decode_bytes(cases[i].bytes, cases[i].len, &err) == PD_INVALID,
			      "case %zu", i);
		ck_assert_uint_gt(strlen(err.text), 0);
	}
}
END_TEST

static void expect_rejected(const struct pd_message *msg)
{
	struct pd_error err = {0};
	struct pd_buf buf;

	encode(msg, &buf);
	ck_assert_int_eq(
		decode_bytes(buf.data + LENGTH_PREFIX_BYTES, buf.len - LENGTH_PREFIX_BYTES, &err),
		PD_INVALID);
	pd_buf_finish(&buf);
}

START_TEST(values_out_of_range_are_rejected)
{
	struct pd_message msg = sample(PD_MSG_SUBREPLY);

	msg.subreply.status = PD_SUB_STATUS_COUNT;
	expect_rejected(&msg);
	msg = sample(PD_MSG_SUBREQUEST);
	msg.subrequest.urgency = PD_URGENCY_COUNT;
	expect_rejected(&msg);
	msg = sample(PD_MSG_SUBREQUEST);
	msg.subrequest.deadline_us = INT64_MAX;
	expect_rejected(&msg);
	msg = sample(PD_MSG_SUBREQUEST);
	msg.subrequest.upstream = PD_STR("no such\nname");
	expect_rejected(&msg);
	msg = sample(PD_MSG_HELLO);
	msg.hello.self.state = (enum pd_member_state)3;
	expect_rejected(&msg);
	msg = sample(PD_MSG_HELLO);
	snprintf(msg.hello.self.address.ip, sizeof(msg.hello.self.address.ip), "1.2.3");
	expect_rejected(&msg);
}
END_TEST

START_TEST(encoder_rejects_excessive_counts_and_sizes)
{
	struct pd_message msg = sample(PD_MSG_MEMBERS);
	struct pd_buf buf;
	char *body = calloc(1, PD_MESSAGE_MAX_BYTES);

	pd_buf_init(&buf, 0);
	pd_buf_append_str(&buf, PD_STR("before"));
	msg.members.count = PD_MEMBERS_MAX + 1;
	ck_assert_int_eq(pd_message_encode(&msg, &buf, NULL), PD_INVALID);
	msg = sample(PD_MSG_SUBREQUEST);
	msg.subrequest.body = (struct pd_str){body, PD_MESSAGE_MAX_BYTES};
	ck_assert_int_eq(pd_message_encode(&msg, &buf, NULL), PD_TOO_LARGE);
	ck_assert(pd_str_is(pd_buf_str(&buf), "before"));
	pd_buf_finish(&buf);
	free(body);
}
END_TEST

/*
 * Guards against a message that makes the decoder allocate as many items as its array header
 * claims. Decoding a message of 1 MB may take at most 8 times that amount of memory.
 */
START_TEST(decoder_does_not_allocate_claimed_sizes)
{
	static const char header[] = {B(0x93), 1, 10, B(0xdd), 0, 0x0f, B(0xff), B(0xf8)};
	char *frame = calloc(1, PD_MESSAGE_MAX_BYTES);
	struct rusage before;
	struct rusage after;
	struct pd_error err;

	/* A members message whose array holds as many empty arrays as there are bytes left. */
	memcpy(frame, header, sizeof(header));
	memset(frame + 8, 0x90, PD_MESSAGE_MAX_BYTES - 8);
	getrusage(RUSAGE_SELF, &before);
	ck_assert_int_eq(decode_bytes(frame, PD_MESSAGE_MAX_BYTES, &err), PD_INVALID);
	getrusage(RUSAGE_SELF, &after);
	ck_assert_int_le(after.ru_maxrss - before.ru_maxrss, 8 * PD_MESSAGE_MAX_BYTES / 1024);
	ck_assert_ptr_nonnull(strstr(err.text, "items"));
	free(frame);
}
END_TEST

START_TEST(mutated_messages_do_not_crash_the_decoder)
{
	gsl_rng *rng = gsl_rng_alloc(gsl_rng_mt19937);
	unsigned int accepted = 0;

	gsl_rng_set(rng, 20240607);
	for (int iteration = 0; iteration < 100000; iteration++) {
		struct pd_message msg = sample((enum pd_message_type)(1 + iteration % SAMPLES));
		struct pd_buf buf;
		size_t len;
		char *copy;

		encode(&msg, &buf);
		len = buf.len - LENGTH_PREFIX_BYTES;
		for (unsigned long n = 1 + gsl_rng_uniform_int(rng, 4); n; n--)
			buf.data[LENGTH_PREFIX_BYTES + gsl_rng_uniform_int(rng, len)] =
				(char)gsl_rng_uniform_int(rng, 256);
		if (!gsl_rng_uniform_int(rng, 4))
			len = gsl_rng_uniform_int(rng, len);
		/* A copy that ends with its allocation, so that the address sanitizer detects reads
		 * beyond the end. */
		copy = malloc(len + 1);
		memcpy(copy + 1, buf.data + LENGTH_PREFIX_BYTES, len);
		accepted += decode_bytes(copy + 1, len, NULL) == PD_OK;
		free(copy);
		pd_buf_finish(&buf);
	}
	ck_assert_uint_gt(accepted, 0);
	gsl_rng_free(rng);
}
END_TEST

START_TEST(only_statuses_before_execution_are_not_run)
{
	ck_assert(!pd_substatus_not_run(PD_SUB_OK));
	ck_assert(pd_substatus_not_run(PD_SUB_NOT_OWNER));
	ck_assert(pd_substatus_not_run(PD_SUB_CANCELLED));
	ck_assert(!pd_substatus_not_run(PD_SUB_LOST));
	ck_assert(!pd_substatus_not_run(PD_SUB_LATE));
	ck_assert(!pd_substatus_not_run(PD_SUB_MISMATCH));
	ck_assert(!pd_substatus_not_run(PD_SUB_FAILED));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("message");
	TCase *tcase = tcase_create("message");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_set_timeout(tcase, 120);
	tcase_add_loop_test(tcase, every_type_round_trips, PD_MSG_HELLO, PD_MSG_GOODBYE + 1);
	tcase_add_test(tcase, decoded_fields_equal_encoded_fields);
	tcase_add_test(tcase, other_versions_are_unsupported);
	tcase_add_test(tcase, malformed_messages_are_rejected_with_an_error);
	tcase_add_test(tcase, values_out_of_range_are_rejected);
	tcase_add_test(tcase, encoder_rejects_excessive_counts_and_sizes);
	tcase_add_test(tcase, decoder_does_not_allocate_claimed_sizes);
	tcase_add_test(tcase, mutated_messages_do_not_crash_the_decoder);
	tcase_add_test(tcase, only_statuses_before_execution_are_not_run);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
