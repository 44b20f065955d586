#include "http_client.h"

#include <ck_pr.h>
#include <ctype.h>
#include <curl/curl.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define CONNECT_TIMEOUT_MS 1000
#define URL_MAX_BYTES	   1024
#define HEADERS_MAX_BYTES  (16 * 1024)

/**
 * struct pd_http_client - a client with its connection and the state of the current request
 * @multi: libcurl multi handle, which owns the persistent connection
 * @easy: libcurl easy handle, reused for all requests
 * @lock: guards @running, and @multi against replacement during a cancellation
 * @running: pd_http_client_perform() is running and can be cancelled
 * @cancelled: the running request was cancelled; atomic
 * @body: rest of the request body that is not sent yet
 * @body_sent: libcurl has read from the request body, so that the server may process the request
 * @opened: number of connections opened for the current request
 * @header_bytes: raw header lines, which the headers of the response point into
 * @received: body of the response
 */
struct pd_http_client {
	CURLM *multi;
	CURL *easy;
	pthread_mutex_t lock;
	bool running;
	int cancelled;
	struct pd_str body;
	bool body_sent;
	int opened;
	struct pd_buf header_bytes;
	struct pd_buf received;
};

void pd_http_global_init(void)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
}

/*
 * libcurl resends a request by itself if the persistent connection turns out to be closed. Since
 * the server may have processed the first copy, that could run a request twice. A read callback
 * without a seek callback keeps libcurl from rewinding the body to resend it.
 */
static size_t read_body(char *out, size_t size, size_t count, void *arg)
{
	struct pd_http_client *client = arg;
	size_t n = size * count;

	if (n > client->body.len)
		n = client->body.len;
	if (n)
		memcpy(out, client->body.data, n);
	client->body.data += n;
	client->body.len -= n;
	client->body_sent = true;
	return n;
}

static size_t receive_body(char *data, size_t size, size_t count, void *arg)
{
	struct pd_http_client *client = arg;

	return pd_buf_append(&client->received, data, size * count) ? size * count : 0;
}

static size_t receive_header(char *data, size_t size, size_t count, void *arg)
{
	struct pd_http_client *client = arg;
	size_t len = size * count;

	if (len >= 5 && !memcmp(data, "HTTP/", 5)) {
		/* A status line: the headers so far, if any, belong to an interim response. */
		pd_buf_clear(&client->header_bytes);
		return len;
	}
	return pd_buf_append(&client->header_bytes, data, len) ? len : 0;
}

/* Refuses to open another connection once the body was sent; see read_body(). */
static curl_socket_t open_socket(void *arg, curlsocktype purpose, struct curl_sockaddr *address)
{
	struct pd_http_client *client = arg;

	(void)purpose;
	if (client->body_sent)
		return CURL_SOCKET_BAD;
	client->opened++;
	return socket(address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
}

static void set_constant_options(struct pd_http_client *client)
{
	CURL *easy = client->easy;

	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_READFUNCTION, read_body);
	curl_easy_setopt(easy, CURLOPT_READDATA, client);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, receive_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, client);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, receive_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, client);
	curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, open_socket);
	curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, client);
	curl_multi_setopt(client->multi, CURLMOPT_MAXCONNECTS, 1L);
}

enum pd_code pd_http_client_open(struct pd_http_client **out, struct pd_error *err)
{
	struct pd_http_client *client = calloc(1, sizeof(*client));

	*out = NULL;
	if (!client)
		return pd_error_set(err, PD_LAYER_TRANSPORT, PD_NO_MEMORY,
				    "out of memory for an HTTP client");
	pthread_mutex_init(&client->lock, NULL);
	pd_buf_init(&client->header_bytes, HEADERS_MAX_BYTES);
	pd_buf_init(&client->received, PD_HTTP_BODY_MAX_BYTES);
	client->multi = curl_multi_init();
	client->easy = curl_easy_init();
	if (!client->multi || !client->easy) {
		pd_http_client_close(client);
		return pd_error_set(err, PD_LAYER_TRANSPORT, PD_NO_MEMORY,
				    "out of memory for an HTTP client");
	}
	set_constant_options(client);
	*out = client;
	return PD_OK;
}

void pd_http_client_close(struct pd_http_client *client)
{
	if (!client)
		return;
	if (client->easy)
		curl_easy_cleanup(client->easy);
	if (client->multi)
		curl_multi_cleanup(client->multi);
	pd_buf_finish(&client->header_bytes);
	pd_buf_finish(&client->received);
	pthread_mutex_destroy(&client->lock);
	free(client);
}

static struct curl_slist *build_headers(const struct pd_http_request *request)
{
	struct curl_slist *list = curl_slist_append(NULL, "Expect:");
	char line[1024];

	for (size_t i = 0; i < request->header_count && list; i++) {
		const struct pd_http_header *header = &request->headers[i];
		struct curl_slist *extended;

		snprintf(line, sizeof(line), "%.*s: %.*s", PD_STR_ARG(header->name),
			 PD_STR_ARG(header->value));
		extended = curl_slist_append(list, line);
		if (!extended)
			curl_slist_free_all(list);
		list = extended;
	}
	return list;
}

static void set_request_options(struct pd_http_client *client,
				const struct pd_http_request *request, struct curl_slist *headers)
{
	bool has_body = !strcmp(request->method, "POST") || !strcmp(request->method, "PUT");
	long timeout_ms = (long)((request->timeout_us + 999) / 1000);
	char url[URL_MAX_BYTES];

	snprintf(url, sizeof(url), "http://%s:%u%s", request->address.ip, request->address.port,
		 request->path);
	curl_easy_setopt(client->easy, CURLOPT_URL, url);
	curl_easy_setopt(client->easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(client->easy, CURLOPT_TIMEOUT_MS, timeout_ms > 0 ? timeout_ms : 1L);
	if (has_body) {
		curl_easy_setopt(client->easy, CURLOPT_POST, 1L);
		curl_easy_setopt(client->easy, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)request->body.len);
	} else {
		curl_easy_setopt(client->easy, CURLOPT_HTTPGET, 1L);
	}
	curl_easy_setopt(client->easy, CURLOPT_CUSTOMREQUEST, request->method);
}

/* Runs the transfer until it ends and stores libcurl's result; false if it was cancelled. */
static bool drive_transfer(struct pd_http_client *client, CURLcode *result)
{
	*result = CURLE_FAILED_INIT;
	for (;;) {
		int running = 0;
		int queued;
		CURLMsg *msg;

		if (curl_multi_perform(client->multi, &running) != CURLM_OK)
			return true;
		while ((msg = curl_multi_info_read(client->multi, &queued))) {
			if (msg->msg == CURLMSG_DONE) {
				*result = msg->data.result;
				return true;
			}
		}
		if (ck_pr_load_int(&client->cancelled))
			return false;
		if (!running)
			return true;
		curl_multi_poll(client->multi, NULL, 0, 1000, NULL);
	}
}

static enum pd_code connect_failure(struct pd_http_client *client, struct pd_error *err)
{
	long os_errno = 0;

	if (client->body_sent)
		return pd_error_set(err, PD_LAYER_TRANSPORT, PD_CLOSED,
				    "connection closed after the request was sent");
	curl_easy_getinfo(client->easy, CURLINFO_OS_ERRNO, &os_errno);
	if (os_errno == ECONNREFUSED)
		return pd_error_set(err, PD_LAYER_TRANSPORT, PD_REFUSED_CONNECTION,
				    "connection refused");
	return pd_error_set(err, PD_LAYER_TRANSPORT, PD_UNREACHABLE, "can't connect: %s",
			    strerror((int)os_errno));
}

/* Converts the result of a transfer to an error code. */
static enum pd_code to_code(struct pd_http_client *client, CURLcode result, bool has_body,
			    struct pd_error *err)
{
	switch (result) {
	case CURLE_OK:
		return PD_OK;
	case CURLE_COULDNT_CONNECT:
		return connect_failure(client, err);
	case CURLE_OPERATION_TIMEDOUT:
		if (has_body && !client->body_sent)
			return pd_error_set(err, PD_LAYER_TRANSPORT, PD_UNREACHABLE,
					    "connection attempt timed out");
		return pd_error_set(err, PD_LAYER_TRANSPORT, PD_TIMEOUT, "response timed out");
	case CURLE_WRITE_ERROR:
		return pd_error_set(err, PD_LAYER_TRANSPORT, PD_TOO_LARGE,
				    "response exceeds the size limit");
	case CURLE_URL_MALFORMAT:
	case CURLE_UNSUPPORTED_PROTOCOL:
		return pd_error_set(err, PD_LAYER_TRANSPORT, PD_INVALID,
				    "malformed server address");
	default:
		return pd_error_set(err, PD_LAYER_TRANSPORT, PD_CLOSED, "%s",
				    curl_easy_strerror(result));
	}
}

static struct pd_str trim(const char *from, const char *to)
{
	while (from < to && isspace((unsigned char)*from))
		from++;
	while (to > from && isspace((unsigned char)to[-1]))
		to--;
	return (struct pd_str){from, (size_t)(to - from)};
}

static void add_header_line(struct pd_http_response *response, char *line, char *end)
{
	char *colon = memchr(line, ':', (size_t)(end - line));
	struct pd_http_header *header;

	if (!colon || response->header_count == PD_HTTP_HEADERS_MAX)
		return;
	for (char *c = line; c < colon; c++)
		*c = (char)tolower((unsigned char)*c);
	header = &response->headers[response->header_count++];
	header->name = trim(line, colon);
	header->value = trim(colon + 1, end);
}

static void fill_response(struct pd_http_client *client, struct pd_http_response *response)
{
	char *line = client->header_bytes.data;
	char *end = line ? line + client->header_bytes.len : NULL;
	long status = 0;

	curl_easy_getinfo(client->easy, CURLINFO_RESPONSE_CODE, &status);
	response->status = (int)status;
	response->header_count = 0;
	response->body = pd_buf_str(&client->received);
	response->new_connection = client->opened > 0;
	while (line && line < end) {
		char *newline = memchr(line, '\n', (size_t)(end - line));
		char *line_end = newline ? newline : end;

		add_header_line(response, line, line_end);
		line = line_end + 1;
	}
}

static void set_running(struct pd_http_client *client, bool running)
{
	pthread_mutex_lock(&client->lock);
	client->running = running;
	if (running)
		ck_pr_store_int(&client->cancelled, 0);
	pthread_mutex_unlock(&client->lock);
}

/* Replaces the easy handle after a failure: libcurl 7.88 also fails the next request on a handle
 * whose resend was blocked by open_socket(). */
static void replace_easy_handle(struct pd_http_client *client)
{
	CURL *easy = curl_easy_init();

	if (!easy)
		return;
	curl_easy_cleanup(client->easy);
	client->easy = easy;
	set_constant_options(client);
}

enum pd_code pd_http_client_perform(struct pd_http_client *client,
				    const struct pd_http_request *request,
				    struct pd_http_response *response, struct pd_error *err)
{
	struct curl_slist *headers = build_headers(request);
	CURLcode result;
	enum pd_code code;
	bool finished;

	if (!headers)
		return pd_error_set(err, PD_LAYER_TRANSPORT, PD_NO_MEMORY,
				    "out of memory for a request");
	pd_buf_clear(&client->header_bytes);
	pd_buf_clear(&client->received);
	client->body = request->body;
	client->body_sent = false;
	client->opened = 0;
	set_request_options(client, request, headers);
	set_running(client, true);
	curl_multi_add_handle(client->multi, client->easy);
	finished = drive_transfer(client, &result);
	if (finished)
		code = to_code(client, result, request->body.len > 0, err);
	else
		code = pd_error_set(err, PD_LAYER_TRANSPORT, PD_CANCELLED, "cancelled");
	/* Closes the connection if the transfer has not finished. */
	curl_multi_remove_handle(client->multi, client->easy);
	set_running(client, false);
	curl_easy_setopt(client->easy, CURLOPT_HTTPHEADER, NULL);
	curl_slist_free_all(headers);
	if (code == PD_OK)
		fill_response(client, response);
	else
		replace_easy_handle(client);
	return code;
}

void pd_http_client_cancel(struct pd_http_client *client)
{
	pthread_mutex_lock(&client->lock);
	if (client->running) {
		ck_pr_store_int(&client->cancelled, 1);
		curl_multi_wakeup(client->multi);
	}
	pthread_mutex_unlock(&client->lock);
}

void pd_http_client_drop_connection(struct pd_http_client *client)
{
	CURLM *new_multi = curl_multi_init();

	if (!new_multi)
		return;
	curl_multi_setopt(new_multi, CURLMOPT_MAXCONNECTS, 1L);
	pthread_mutex_lock(&client->lock);
	curl_multi_cleanup(client->multi);
	client->multi = new_multi;
	pthread_mutex_unlock(&client->lock);
}

struct pd_str pd_http_response_header(const struct pd_http_response *response, const char *name)
{
	for (size_t i = 0; i < response->header_count; i++) {
		if (pd_str_is(response->headers[i].name, name))
			return response->headers[i].value;
	}
	return (struct pd_str){NULL, 0};
}
