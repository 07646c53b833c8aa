/*
 * HTTP listener over libmicrohttpd.
 *
 * One thread of the library reads requests and writes responses.  When a
 * request is complete, its connection is suspended and a CALL event is
 * published; the reply resumes the connection.  The library does not poll
 * suspended connections, so a separate thread (http_watch.c) detects clients
 * that disconnect in the meantime.
 */

#include "http_server.h"

#include <libwlbase/clock.h>
#include <libwlbase/units.h>

#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "address.h"
#include "http_exchange.h"
#include "http_watch.h"

#define MAX_DISCARD_BYTES \
	(1 << 20) /* read past the body limit, so that the client receives the refusal */
#define POOL_SPARE_BYTES 8192 /* memory of a connection beside twice the header limit */
#define RETRY_MS	 5    /* retry interval while the event ring is full */

TAILQ_HEAD(exchange_list, wl_exchange);

struct wl_http_server {
	wl_http_server_options_t options;
	struct MHD_Daemon *daemon;
	int listen_fd;
	wl_http_watch_t *watch; /* of suspended connections */
	uint16_t port;
	uint64_t next_call; /* used by the library's thread only */
	pthread_mutex_t lock;
	/* protected by the lock */
	wl_map_t waiting;
	struct exchange_list all;
	uint64_t open;
	uint64_t refused;
	bool quiescing;
	bool stopping;
};

static size_t uri_keep_escaped(void *arg, struct MHD_Connection *connection, char *text)
{
	(void)arg;
	(void)connection;
	return strlen(text);
}

static void *exchange_open(void *arg, const char *uri, struct MHD_Connection *connection)
{
	wl_http_server_t *server = arg;
	wl_exchange_t *exchange = wl_exchange_new(uri, connection);

	pthread_mutex_lock(&server->lock);
	TAILQ_INSERT_TAIL(&server->all, exchange, link);
	server->open++;
	pthread_mutex_unlock(&server->lock);
	return exchange;
}

static wl_event_t *event_new(wl_event_kind_t kind)
{
	wl_event_t *event = wl_alloc(sizeof(*event));

	wl_event_init(event, kind);
	event->made_ns = wl_clock_ns();
	return event;
}

static bool event_push(wl_http_server_t *server, wl_event_t *event)
{
	if (wl_ring_push(server->options.events, event))
		return true;
	wl_event_free(event);
	free(event);
	return false;
}

static bool event_push_abandoned(wl_http_server_t *server, uint64_t id)
{
	wl_event_t *event = event_new(WL_EVENT_CALL_ABANDONED);

	event->call.id = id;
	event->call.listener = server->options.listener;
	return event_push(server, event);
}

static void watch_connection(wl_http_server_t *server, const wl_exchange_t *exchange)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(exchange->connection, MHD_CONNECTION_INFO_CONNECTION_FD);

	wl_http_watch_add(server->watch, info->connect_fd, exchange->id);
}

static wl_event_t *exchange_event(wl_http_server_t *server, wl_exchange_t *exchange)
{
	wl_event_t *event = event_new(WL_EVENT_CALL);

	exchange->id = server->next_call;
	server->next_call += server->options.call_step;
	exchange->key = (wl_str_t){(const char *)&exchange->id, sizeof(exchange->id)};
	event->call = exchange->call;
	event->call.id = exchange->id;
	event->call.listener = server->options.listener;
	memset(&exchange->call, 0, sizeof(exchange->call));
	return event;
}

/*
 * The connection is suspended before the event is published, as the reply may arrive at once.
 */
static enum MHD_Result exchange_publish(wl_http_server_t *server, wl_exchange_t *exchange)
{
	wl_event_t *event = exchange_event(server, exchange);
	bool stopping;

	pthread_mutex_lock(&server->lock);
	stopping = server->stopping;
	if (!stopping) {
		exchange->state = WL_EXCHANGE_WAITING;
		MHD_suspend_connection(exchange->connection);
		watch_connection(server, exchange);
		wl_map_put(&server->waiting, exchange);
		if (!wl_ring_push(server->options.events, event)) {
			wl_map_remove(&server->waiting, exchange->key);
			wl_exchange_refuse(exchange, WL_E_OVERLOADED, "event queue is full");
			server->refused++;
			MHD_resume_connection(exchange->connection);
			stopping = true;
		}
	}
	pthread_mutex_unlock(&server->lock);
	if (!stopping)
		return MHD_YES;

	wl_event_free(event);
	free(event);
	return exchange->state == WL_EXCHANGE_ANSWERED ? MHD_YES : MHD_NO;
}

static enum MHD_Result exchange_queue(wl_http_server_t *server, wl_exchange_t *exchange)
{
	struct MHD_Response *response;
	enum MHD_Result result;
	bool close;

	pthread_mutex_lock(&server->lock);
	close = server->quiescing;
	exchange->state = WL_EXCHANGE_QUEUED;
	pthread_mutex_unlock(&server->lock);

	response = wl_exchange_response(exchange, close);
	if (!response)
		return MHD_NO;
	result = MHD_queue_response(exchange->connection, (unsigned int)exchange->reply.status,
				    response);
	MHD_destroy_response(response);
	return result;
}

static enum MHD_Result exchange_begin(wl_http_server_t *server, wl_exchange_t *exchange,
				      const char *method)
{
	const wl_http_server_options_t *options = &server->options;
	const wl_buf_t *length;
	uint64_t bytes = 0;

	exchange->headers_read = true;
	exchange->head = strcmp(method, MHD_HTTP_METHOD_HEAD) == 0;
	wl_buf_set(&exchange->call.method, wl_str_from(method));
	if (wl_exchange_take_headers(exchange) > options->max_header_bytes) {
		wl_exchange_refuse(exchange, WL_E_BAD_INPUT, "headers are too large");
		exchange->reply.status = MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE;
		return exchange_queue(server, exchange);
	}
	length = wl_headers_find(&exchange->call.headers, WL_STR("Content-Length"));
	if (length)
		wl_str_u64(wl_buf_str(length), &bytes);
	if (bytes <= options->max_body_bytes)
		return MHD_YES;

	exchange->refusal = WL_E_TOO_LARGE;
	if (bytes <= options->max_body_bytes + MAX_DISCARD_BYTES)
		return MHD_YES;
	wl_exchange_refuse(exchange, WL_E_TOO_LARGE, "body is too large");
	return exchange_queue(server, exchange);
}

static enum MHD_Result exchange_read(wl_http_server_t *server, wl_exchange_t *exchange,
				     const char *data, size_t *len)
{
	wl_buf_t *body = &exchange->call.body;
	size_t taken = *len;

	*len = 0;
	if (body->len + taken > server->options.max_body_bytes)
		exchange->refusal = WL_E_TOO_LARGE;
	if (exchange->refusal == WL_OK) {
		wl_buf_append(body, (wl_str_t){data, taken});
		return MHD_YES;
	}
	exchange->discarded += taken;
	return exchange->discarded <= server->options.max_body_bytes + MAX_DISCARD_BYTES ? MHD_YES
											 : MHD_NO;
}

static enum MHD_Result exchange_handle(void *arg, struct MHD_Connection *connection,
				       const char *url, const char *method, const char *version,
				       const char *data, size_t *data_len, void **context)
{
	wl_http_server_t *server = arg;
	wl_exchange_t *exchange = *context;
	wl_exchange_state_t state;

	(void)connection;
	(void)url;
	(void)version;
	if (!exchange->headers_read)
		return exchange_begin(server, exchange, method);
	if (*data_len > 0)
		return exchange_read(server, exchange, data, data_len);

	pthread_mutex_lock(&server->lock);
	state = exchange->state;
	pthread_mutex_unlock(&server->lock);
	switch (state) {
	case WL_EXCHANGE_READING:
		break;
	case WL_EXCHANGE_ANSWERED:
		return exchange_queue(server, exchange);
	case WL_EXCHANGE_ABANDONED:
		return MHD_NO;
	case WL_EXCHANGE_WAITING:
	case WL_EXCHANGE_QUEUED:
		return MHD_YES;
	}
	if (exchange->refusal == WL_OK)
		return exchange_publish(server, exchange);
	wl_exchange_refuse(exchange, exchange->refusal, "body is too large");
	return exchange_queue(server, exchange);
}

static void exchange_completed(void *arg, struct MHD_Connection *connection, void **context,
			       enum MHD_RequestTerminationCode why)
{
	wl_http_server_t *server = arg;
	wl_exchange_t *exchange = *context;
	bool unanswered;

	(void)connection;
	(void)why;
	if (!exchange)
		return;
	*context = NULL;
	pthread_mutex_lock(&server->lock);
	unanswered = wl_map_remove(&server->waiting, exchange->key) != NULL;
	TAILQ_REMOVE(&server->all, exchange, link);
	server->open--;
	pthread_mutex_unlock(&server->lock);
	if (unanswered)
		event_push_abandoned(server, exchange->id);
	wl_exchange_free(exchange);
}

/* Marks a waiting exchange as abandoned; the library's thread then closes the connection. */
static bool exchange_abandon(wl_http_server_t *server, uint64_t id)
{
	wl_str_t key = {(const char *)&id, sizeof(id)};
	wl_exchange_t *exchange;

	pthread_mutex_lock(&server->lock);
	exchange = wl_map_remove(&server->waiting, key);
	if (exchange) {
		exchange->state = WL_EXCHANGE_ABANDONED;
		MHD_resume_connection(exchange->connection);
	}
	pthread_mutex_unlock(&server->lock);
	return exchange != NULL;
}

static void client_disconnected(void *arg, uint64_t id)
{
	wl_http_server_t *server = arg;

	if (!exchange_abandon(server, id))
		return;
	while (!event_push_abandoned(server, id) &&
	       !wl_http_watch_stopping(server->watch, RETRY_MS))
		;
}

static bool server_listen(wl_http_server_t *server, wl_err_t *err)
{
	const wl_http_server_options_t *options = &server->options;
	unsigned int idle_s = (unsigned int)((options->idle_ms + WL_MS_PER_S - 1) / WL_MS_PER_S);

	server->listen_fd = wl_address_listen(options->listen, &server->port, err);
	if (server->listen_fd < 0)
		return false;
	server->daemon = MHD_start_daemon(
		MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC, 0, NULL,
		NULL, exchange_handle, server, MHD_OPTION_LISTEN_SOCKET, server->listen_fd,
		MHD_OPTION_CONNECTION_LIMIT, (unsigned int)options->max_connections,
		MHD_OPTION_CONNECTION_TIMEOUT, idle_s, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		(size_t)(2 * options->max_header_bytes + POOL_SPARE_BYTES),
		MHD_OPTION_UNESCAPE_CALLBACK, uri_keep_escaped, NULL, MHD_OPTION_URI_LOG_CALLBACK,
		exchange_open, server, MHD_OPTION_NOTIFY_COMPLETED, exchange_completed, server,
		MHD_OPTION_END);
	if (server->daemon)
		return true;
	return wl_err_set(err, WL_E_IO, WL_NOT_RUN,
			  "HTTP listener on " WL_STR_FMT ": libmicrohttpd did not start",
			  WL_STR_ARG(options->listen));
}

static void server_free(wl_http_server_t *server)
{
	wl_http_watch_stop(server->watch);
	if (server->listen_fd >= 0)
		close(server->listen_fd);
	wl_map_free(&server->waiting);
	pthread_mutex_destroy(&server->lock);
	free(server);
}

/*
 * wl_http_server_start - open the listener and start its threads
 * @options: the ring must outlive the server; the listen text need not outlive the call
 * @err: WL_E_BAD_INPUT, WL_E_IO
 *
 * Return: the server, or NULL.
 */
wl_http_server_t *wl_http_server_start(const wl_http_server_options_t *options, wl_err_t *err)
{
	wl_http_server_t *server = wl_alloc(sizeof(*server));

	memset(server, 0, sizeof(*server));
	server->options = *options;
	server->next_call = options->first_call;
	server->listen_fd = -1;
	pthread_mutex_init(&server->lock, NULL);
	wl_map_init(&server->waiting);
	TAILQ_INIT(&server->all);
	server->watch = wl_http_watch_start(client_disconnected, server, err);
	if (server->watch && server_listen(server, err))
		return server;
	server_free(server);
	return NULL;
}

/*
 * wl_http_server_reply - send the reply to a call, from any thread
 * @reply: moved from; discarded if the client has disconnected
 */
void wl_http_server_reply(wl_http_server_t *server, wl_reply_t *reply)
{
	wl_str_t key = {(const char *)&reply->call, sizeof(reply->call)};
	wl_exchange_t *exchange;

	pthread_mutex_lock(&server->lock);
	exchange = wl_map_remove(&server->waiting, key);
	if (exchange) {
		exchange->reply = *reply;
		memset(reply, 0, sizeof(*reply));
		exchange->state = WL_EXCHANGE_ANSWERED;
		MHD_resume_connection(exchange->connection);
	}
	pthread_mutex_unlock(&server->lock);

	wl_list_free(&wl_header_schema, &reply->headers);
	wl_buf_free(&reply->body);
	memset(reply, 0, sizeof(*reply));
}

/*
 * wl_http_server_quiesce - accept no new connections; open ones are closed after their response
 */
void wl_http_server_quiesce(wl_http_server_t *server)
{
	bool already_quiescing;

	pthread_mutex_lock(&server->lock);
	already_quiescing = server->quiescing;
	server->quiescing = true;
	pthread_mutex_unlock(&server->lock);
	if (already_quiescing)
		return;
	/*
	 * shutdown() instead of close(): the library still uses the descriptor, so its number
	 * must not be reused yet.
	 */
	shutdown(MHD_quiesce_daemon(server->daemon), SHUT_RDWR);
}

static void server_abandon_waiting(wl_http_server_t *server)
{
	wl_exchange_t *exchange;

	pthread_mutex_lock(&server->lock);
	server->stopping = true;
	TAILQ_FOREACH (exchange, &server->all, link) {
		if (exchange->state != WL_EXCHANGE_WAITING)
			continue;
		wl_map_remove(&server->waiting, exchange->key);
		exchange->state = WL_EXCHANGE_ABANDONED;
		MHD_resume_connection(exchange->connection);
	}
	pthread_mutex_unlock(&server->lock);
}

/*
 * wl_http_server_stop - stop at once and close all connections; NULL is ignored
 */
void wl_http_server_stop(wl_http_server_t *server)
{
	if (!server)
		return;
	wl_http_server_quiesce(server);
	server_abandon_waiting(server);
	MHD_stop_daemon(server->daemon);
	server_free(server);
}

/*
 * wl_http_server_port - port of the listener
 */
uint16_t wl_http_server_port(const wl_http_server_t *server)
{
	return server->port;
}

/*
 * wl_http_server_open_calls - number of requests whose response is not completely sent
 */
uint64_t wl_http_server_open_calls(wl_http_server_t *server)
{
	uint64_t open;

	pthread_mutex_lock(&server->lock);
	open = server->open;
	pthread_mutex_unlock(&server->lock);
	return open;
}

/*
 * wl_http_server_refused - number of requests refused because the event ring was full
 */
uint64_t wl_http_server_refused(wl_http_server_t *server)
{
	uint64_t refused;

	pthread_mutex_lock(&server->lock);
	refused = server->refused;
	pthread_mutex_unlock(&server->lock);
	return refused;
}
