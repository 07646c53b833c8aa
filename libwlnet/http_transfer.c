/*
 * One HTTP request over libcurl.
 *
 * A request is sent at most once.  libcurl retries a request by itself when a
 * reused connection is closed before the first byte of the response; the
 * retry is aborted before it writes.
 */

#include "http_transfer.h"

#include <libwlbase/clock.h>
#include <libwlbase/units.h>

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <ck_pr.h>

#include "http_client.h"

#define MAX_HEADER_BYTES (256 << 10)
#define MAX_IDLE_S	 5 /* a request must not race with the server closing an idle connection */

/* Headers that libcurl generates, and hop-by-hop headers. */
static const char *const excluded_headers[] = {
	"Connection", "Content-Length",	   "Expect",  "Keep-Alive", "TE",
	"Trailer",    "Transfer-Encoding", "Upgrade",
};

/*
 * wl_fetch_free - release the members of a request
 */
void wl_fetch_free(wl_fetch_t *fetch)
{
	wl_buf_free(&fetch->address);
	wl_buf_free(&fetch->method);
	wl_buf_free(&fetch->path);
	wl_list_free(&wl_header_schema, &fetch->headers);
	wl_buf_free(&fetch->body);
}

/*
 * Whether @text has only characters from @lowest on; where spaces are allowed, so are tabs.
 * Control characters could inject header lines.
 */
static bool text_is_valid(const wl_buf_t *text, unsigned char lowest)
{
	for (size_t i = 0; i < text->len; i++) {
		unsigned char c = (unsigned char)text->at[i];

		if (c == 0x7f || (c < lowest && !(c == '\t' && lowest == ' ')))
			return false;
	}
	return true;
}

static bool fetch_validate(const wl_fetch_t *fetch, wl_err_t *err)
{
	const wl_header_t *headers = fetch->headers.items;

	if (fetch->address.len == 0 || !text_is_valid(&fetch->address, '!'))
		return wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN,
				  "HTTP call: address is empty or has invalid characters");
	if (fetch->method.len == 0 || !text_is_valid(&fetch->method, '!'))
		return wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN,
				  "HTTP call: method is empty or has invalid characters");
	if (fetch->path.len == 0 || fetch->path.at[0] != '/' || !text_is_valid(&fetch->path, '!'))
		return wl_err_set(
			err, WL_E_BAD_INPUT, WL_NOT_RUN,
			"HTTP call: path does not start with a slash or has invalid characters");
	for (size_t i = 0; i < fetch->headers.count; i++)
		if (headers[i].name.len == 0 || !text_is_valid(&headers[i].name, '!') ||
		    !text_is_valid(&headers[i].value, ' '))
			return wl_err_set(
				err, WL_E_BAD_INPUT, WL_NOT_RUN,
				"HTTP call: header name is empty or header has invalid characters");
	return true;
}

static bool header_is_excluded(const char *name)
{
	for (size_t i = 0; i < sizeof(excluded_headers) / sizeof(excluded_headers[0]); i++)
		if (strcasecmp(name, excluded_headers[i]) == 0)
			return true;
	return false;
}

/*
 * In libcurl's header list "Name: value" adds a header, "Name;" adds an empty one, and "Name:"
 * suppresses the header that libcurl would add by default.
 */
static void transfer_add_headers(wl_transfer_t *transfer)
{
	static const char *const default_headers[] = {"Accept", "Content-Type", "Expect"};
	const wl_list_t *headers = &transfer->fetch.headers;
	const wl_header_t *items = headers->items;
	wl_buf_t line = {0};

	for (size_t i = 0; i < headers->count; i++) {
		if (header_is_excluded(items[i].name.at))
			continue;
		wl_buf_clear(&line);
		if (items[i].value.len == 0)
			wl_buf_printf(&line, "%s;", items[i].name.at);
		else
			wl_buf_printf(&line, "%s: %s", items[i].name.at, items[i].value.at);
		transfer->headers = curl_slist_append(transfer->headers, line.at);
	}
	for (size_t i = 0; i < sizeof(default_headers) / sizeof(default_headers[0]); i++) {
		if (!header_is_excluded(default_headers[i]) &&
		    wl_headers_find(headers, wl_str_from(default_headers[i])))
			continue;
		wl_buf_clear(&line);
		wl_buf_printf(&line, "%s:", default_headers[i]);
		transfer->headers = curl_slist_append(transfer->headers, line.at);
	}
	wl_buf_free(&line);
}

/*
 * wl_fetch_is_late - whether a request may not be sent any more
 *
 * It may get its connection late: it waited in a queue, or this process was paused.
 */
bool wl_fetch_is_late(const wl_fetch_t *fetch)
{
	return fetch->send_by_ns && wl_clock_ns() > fetch->send_by_ns;
}

/* Called when a connection is ready, before the request is written. */
static int transfer_before_send(void *arg, char *peer_ip, char *own_ip, int peer_port, int own_port)
{
	wl_transfer_t *transfer = arg;

	(void)peer_ip;
	(void)own_ip;
	(void)peer_port;
	(void)own_port;
	transfer->fetched.held = !transfer->fetched.sent && wl_fetch_is_late(&transfer->fetch);
	if (transfer->fetched.sent || transfer->fetched.held)
		return CURL_PREREQFUNC_ABORT;
	transfer->fetched.sent = true;
	if (transfer->sent)
		ck_pr_inc_uint(transfer->sent);
	return CURL_PREREQFUNC_OK;
}

static wl_str_t trimmed(wl_str_t s)
{
	while (s.len > 0 && strchr(" \t\r\n", s.at[s.len - 1]))
		s.len--;
	while (s.len > 0 && strchr(" \t", s.at[0])) {
		s.at++;
		s.len--;
	}
	return s;
}

static size_t transfer_header(char *data, size_t size, size_t count, void *arg)
{
	wl_transfer_t *transfer = arg;
	wl_str_t line = {data, size * count};
	wl_str_t name;
	wl_str_t value;

	transfer->header_bytes += line.len;
	if (transfer->header_bytes > MAX_HEADER_BYTES) {
		transfer->too_large = true;
		return 0;
	}
	if (wl_str_starts(line, WL_STR("HTTP/"))) {
		wl_list_free(&wl_header_schema, &transfer->fetched.headers);
		return line.len;
	}
	if (wl_str_split(line, ':', &name, &value) && name.len > 0)
		wl_headers_add(&transfer->fetched.headers, name, trimmed(value));
	return line.len;
}

static size_t transfer_body(char *data, size_t size, size_t count, void *arg)
{
	wl_transfer_t *transfer = arg;
	size_t len = size * count;

	if (transfer->fetched.body.len + len > transfer->max_body_bytes) {
		transfer->too_large = true;
		return 0;
	}
	wl_buf_append(&transfer->fetched.body, (wl_str_t){data, len});
	return len;
}

static void transfer_set_request(wl_transfer_t *transfer)
{
	const wl_fetch_t *fetch = &transfer->fetch;
	CURL *easy = transfer->easy;
	wl_buf_t url = {0};
	bool head = wl_str_equal(wl_buf_str(&fetch->method), WL_STR("HEAD"));
	bool get = wl_str_equal(wl_buf_str(&fetch->method), WL_STR("GET"));

	wl_buf_printf(&url, "http://%s/", fetch->address.at);
	curl_easy_setopt(easy, CURLOPT_URL, url.at);
	curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, fetch->path.at);
	wl_buf_free(&url);
	if (head) {
		curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
	} else if (fetch->body.len > 0 || !get) {
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)fetch->body.len);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, fetch->body.at ? fetch->body.at : "");
	}
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, fetch->method.at);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->headers);
}

static void transfer_set_options(wl_transfer_t *transfer, const wl_transfer_options_t *options)
{
	CURL *easy = transfer->easy;

	curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, transfer_before_send);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, transfer_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, transfer_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_HTTP09_ALLOWED, 0L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
	curl_easy_setopt(easy, CURLOPT_HTTP_CONTENT_DECODING, 0L);
	curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, (long)MAX_IDLE_S);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, (long)options->connect_ms);
	if (options->keep_addresses)
		curl_easy_setopt(easy, CURLOPT_DNS_CACHE_TIMEOUT, -1L);
}

static CURL *handle_acquire(wl_handles_t *handles)
{
	if (handles && handles->count > 0)
		return handles->spare[--handles->count];
	return curl_easy_init();
}

static void handle_release(wl_handles_t *handles, CURL *easy)
{
	if (!handles || handles->count == WL_MAX_SPARE_HANDLES) {
		curl_easy_cleanup(easy);
		return;
	}
	curl_easy_reset(easy);
	handles->spare[handles->count++] = easy;
}

/*
 * wl_handles_free - release the handles in the pool
 */
void wl_handles_free(wl_handles_t *handles)
{
	while (handles->count > 0)
		curl_easy_cleanup(handles->spare[--handles->count]);
}

/*
 * wl_transfer_new - set up the libcurl handle of a request
 * @fetch: moved from on success
 * @err: WL_E_BAD_INPUT, WL_E_IO
 *
 * Return: the transfer, or NULL.
 */
wl_transfer_t *wl_transfer_new(wl_fetch_t *fetch, const wl_transfer_options_t *options,
			       wl_err_t *err)
{
	wl_transfer_t *transfer;
	CURL *easy;

	if (!fetch_validate(fetch, err))
		return NULL;
	easy = handle_acquire(options->handles);
	if (!easy) {
		wl_err_set(err, WL_E_IO, WL_NOT_RUN,
			   "HTTP call: libcurl handle could not be created");
		return NULL;
	}

	transfer = wl_alloc(sizeof(*transfer));
	memset(transfer, 0, sizeof(*transfer));
	transfer->easy = easy;
	transfer->handles = options->handles;
	transfer->sent = options->sent;
	transfer->fetch = *fetch;
	memset(fetch, 0, sizeof(*fetch));
	transfer->id = transfer->fetch.id;
	transfer->fetched.id = transfer->id;
	transfer->key = (wl_str_t){(const char *)&transfer->id, sizeof(transfer->id)};
	transfer->max_body_bytes = options->max_body_bytes;
	transfer_add_headers(transfer);
	transfer_set_options(transfer, options);
	transfer_set_request(transfer);
	return transfer;
}

/*
 * Whether the response has a defined length.  Otherwise the body ends with the connection, and a
 * truncated body cannot be detected.
 */
static bool transfer_has_defined_length(const wl_transfer_t *transfer)
{
	const wl_fetched_t *fetched = &transfer->fetched;
	const wl_buf_t *coding;

	if (wl_str_equal(wl_buf_str(&transfer->fetch.method), WL_STR("HEAD")) ||
	    fetched->status == 204 || fetched->status == 304)
		return true;
	if (wl_headers_find(&fetched->headers, WL_STR("Content-Length")))
		return true;
	coding = wl_headers_find(&fetched->headers, WL_STR("Transfer-Encoding"));
	return coding && coding->len >= 7 &&
	       strcasecmp(coding->at + coding->len - 7, "chunked") == 0;
}

/*
 * wl_transfer_finish - fill in the result of a request
 * @error: error text, or NULL for the text of @code
 */
void wl_transfer_finish(wl_transfer_t *transfer, CURLcode code, const char *error)
{
	wl_fetched_t *fetched = &transfer->fetched;
	curl_off_t took_us = 0;
	long connections = 0;
	long status = 0;

	curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_getinfo(transfer->easy, CURLINFO_TOTAL_TIME_T, &took_us);
	curl_easy_getinfo(transfer->easy, CURLINFO_NUM_CONNECTS, &connections);
	transfer->connections = (uint64_t)connections;
	fetched->status = (uint64_t)status;
	fetched->took_ns = (uint64_t)took_us * WL_NS_PER_US;
	if (code != CURLE_OK && !error)
		error = transfer->too_large ? "response is too large" : curl_easy_strerror(code);
	if (!error && !transfer_has_defined_length(transfer))
		error = "response has neither a Content-Length nor chunked encoding";
	fetched->complete = !error;
	if (error)
		wl_buf_set(&fetched->error, wl_str_from(error));
}

/*
 * wl_transfer_free - release a transfer that is not on a multi handle
 */
void wl_transfer_free(wl_transfer_t *transfer)
{
	handle_release(transfer->handles, transfer->easy);
	curl_slist_free_all(transfer->headers);
	wl_fetch_free(&transfer->fetch);
	wl_fetched_free(&transfer->fetched);
	free(transfer);
}
