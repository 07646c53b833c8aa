/* One HTTP request of a listener, and the response built from its reply. */

#include "http_exchange.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define STATUS_MIN 200
#define STATUS_MAX 599

/* Hop-by-hop headers, and headers that libmicrohttpd generates. */
static const char *const excluded_headers[] = {
	"Connection", "Content-Length",	   "Date",    "Keep-Alive",
	"Trailer",    "Transfer-Encoding", "Upgrade",
};

/*
 * wl_exchange_new - create an exchange
 * @uri: the request target as received
 */
wl_exchange_t *wl_exchange_new(const char *uri, struct MHD_Connection *connection)
{
	wl_exchange_t *exchange = wl_alloc(sizeof(*exchange));
	wl_str_t path;
	wl_str_t query;

	memset(exchange, 0, sizeof(*exchange));
	exchange->connection = connection;
	if (!wl_str_split(wl_str_from(uri), '?', &path, &query)) {
		path = wl_str_from(uri);
		query = (wl_str_t){0};
	}
	wl_buf_set(&exchange->call.path, path);
	wl_buf_set(&exchange->call.query, query);
	return exchange;
}

/*
 * wl_exchange_free - release an exchange
 */
void wl_exchange_free(wl_exchange_t *exchange)
{
	wl_buf_free(&exchange->call.method);
	wl_buf_free(&exchange->call.path);
	wl_buf_free(&exchange->call.query);
	wl_list_free(&wl_header_schema, &exchange->call.headers);
	wl_buf_free(&exchange->call.body);
	wl_list_free(&wl_header_schema, &exchange->reply.headers);
	wl_buf_free(&exchange->reply.body);
	free(exchange);
}

static enum MHD_Result header_copy(void *arg, enum MHD_ValueKind kind, const char *name,
				   size_t name_len, const char *value, size_t value_len)
{
	wl_exchange_t *exchange = arg;

	(void)kind;
	wl_headers_add(&exchange->call.headers, (wl_str_t){name, name_len},
		       (wl_str_t){value ? value : "", value ? value_len : 0});
	return MHD_YES;
}

/*
 * wl_exchange_take_headers - copy the headers of the request
 *
 * Return: total size of their names and values, bytes.
 */
uint64_t wl_exchange_take_headers(wl_exchange_t *exchange)
{
	const wl_header_t *headers;
	uint64_t bytes = 0;

	MHD_get_connection_values_n(exchange->connection, MHD_HEADER_KIND, header_copy, exchange);
	headers = exchange->call.headers.items;
	for (size_t i = 0; i < exchange->call.headers.count; i++)
		bytes += headers[i].name.len + headers[i].value.len;
	return bytes;
}

/*
 * wl_exchange_refuse - reply to a request that is not passed to the core
 */
void wl_exchange_refuse(wl_exchange_t *exchange, wl_code_t code, const char *text)
{
	wl_reply_t *reply = &exchange->reply;

	reply->status = code == WL_E_TOO_LARGE ? MHD_HTTP_CONTENT_TOO_LARGE : wl_code_http(code);
	reply->has_verdict = true;
	reply->verdict = WL_NOT_RUN;
	wl_headers_add(&reply->headers, WL_STR("Content-Type"), WL_STR("application/json"));
	if (reply->status == MHD_HTTP_SERVICE_UNAVAILABLE)
		wl_headers_add(&reply->headers, WL_STR("Retry-After"), WL_STR("1"));
	wl_buf_printf(&reply->body, "{\"error\":\"%s\",\"message\":\"%s\",\"verdict\":\"%s\"}\n",
		      wl_code_name(code), text, wl_verdict_name(WL_NOT_RUN));
	exchange->state = WL_EXCHANGE_ANSWERED;
}

static bool header_is_excluded(const wl_buf_t *name)
{
	for (size_t i = 0; i < sizeof(excluded_headers) / sizeof(excluded_headers[0]); i++)
		if (strcasecmp(name->at ? name->at : "", excluded_headers[i]) == 0)
			return true;
	return false;
}

static ssize_t head_read(void *arg, uint64_t pos, char *buf, size_t max)
{
	(void)arg;
	(void)pos;
	(void)buf;
	(void)max;
	return MHD_CONTENT_READER_END_OF_STREAM;
}

/* The response to HEAD has the Content-Length of the body that is not sent. */
static struct MHD_Response *response_of_head(const wl_reply_t *reply)
{
	const wl_buf_t *length = wl_headers_find(&reply->headers, WL_STR("Content-Length"));
	uint64_t bytes = reply->body.len;

	if (length)
		wl_str_u64(wl_buf_str(length), &bytes);
	return MHD_create_response_from_callback(bytes, 1024, head_read, NULL, NULL);
}

static struct MHD_Response *response_of_body(wl_reply_t *reply)
{
	struct MHD_Response *response;

	if (reply->body.len == 0)
		return MHD_create_response_from_buffer(0, NULL, MHD_RESPMEM_PERSISTENT);
	response = MHD_create_response_from_buffer(reply->body.len, reply->body.at,
						   MHD_RESPMEM_MUST_FREE);
	if (response)
		reply->body = (wl_buf_t){0};
	return response;
}

/*
 * wl_exchange_response - build the response of an answered exchange
 * @close: whether the connection is closed after the response
 *
 * Return: the response, or NULL if libmicrohttpd could not create it.
 */
struct MHD_Response *wl_exchange_response(wl_exchange_t *exchange, bool close)
{
	wl_reply_t *reply = &exchange->reply;
	const wl_header_t *headers = reply->headers.items;
	struct MHD_Response *response;

	if (reply->status < STATUS_MIN || reply->status > STATUS_MAX)
		reply->status = MHD_HTTP_INTERNAL_SERVER_ERROR;
	response = exchange->head ? response_of_head(reply) : response_of_body(reply);
	if (!response)
		return NULL;

	for (size_t i = 0; i < reply->headers.count; i++) {
		if (!headers[i].value.at || header_is_excluded(&headers[i].name))
			continue;
		MHD_add_response_header(response, headers[i].name.at, headers[i].value.at);
	}
	if (reply->has_verdict)
		MHD_add_response_header(response, "Wisterialead-Verdict",
					wl_verdict_name(reply->verdict));
	if (close)
		MHD_add_response_header(response, "Connection", "close");
	return response;
}
