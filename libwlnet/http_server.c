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

#include <poll.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "address.h"
#include "http_exchange.h"
#include "http_watch.h"

#define MAX_DISCARD_BYTES \
	(1 << 20) /* read past the body limit, so that the client receives the refusal */
#define POOL_SPARE_BYTES 8192	    /* memory of a connection beside twice the header limit */
#define RETRY_MS	 5	    /* retry interval while the event ring is full */
#define SMALL_BYTES	 (16 << 10) /* requests that may use the reserve of the intake */
#define HELD_STEP_BYTES	 4096	    /* what a body holds is counted in such steps */

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
	wl_intake_t intake;
	uint64_t intake_refused;
	bool quiescing;
	bool stopping;
};

static size_t uri_keep_escaped(void *arg, struct MHD_Connection *connection, char *text)
{
	(void)arg;
	(void)connection;
	return strlen(text);
}

/*
 * Gives connections up until there is room.  They are shut down, so that the library closes them;
 * it uses the descriptor until it reports that.
 */
static bool room_make(wl_http_server_t *server, wl_intake_connection_t *wanting, uint64_t bytes)
{
	uint64_t now_ns = wl_clock_ns();

	while (!wl_intake_has_room(&server->intake, wanting, bytes)) {
		wl_intake_connection_t *chosen = wl_intake_choose(&server->intake, now_ns);

		if (!chosen || chosen == wanting)
			return false;
		wl_intake_give_up(&server->intake, chosen);
		shutdown(((wl_http_connection_t *)chosen)->fd, SHUT_RDWR);
	}
	return true;
}

/* As long as too few connections are left for new callers. */
static void connections_thin(wl_http_server_t *server)
{
	uint64_t now_ns = wl_clock_ns();
	wl_intake_connection_t *chosen;

	while (wl_intake_is_crowded(&server->intake) &&
	       (chosen = wl_intake_choose(&server->intake, now_ns))) {
		wl_intake_give_up(&server->intake, chosen);
		shutdown(((wl_http_connection_t *)chosen)->fd, SHUT_RDWR);
	}
}

static void connection_changed(void *arg, struct MHD_Connection *connection, void **context,
			       enum MHD_ConnectionNotificationCode change)
{
	wl_http_server_t *server = arg;
	wl_http_connection_t *held = *context;

	if (change == MHD_CONNECTION_NOTIFY_STARTED) {
		held = wl_alloc(sizeof(*held));
		held->fd = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)
				   ->connect_fd;
		*context = held;
		pthread_mutex_lock(&server->lock);
		wl_intake_open(&server->intake, &held->intake, wl_clock_ns());
		connections_thin(server);
		pthread_mutex_unlock(&server->lock);
		return;
	}
	pthread_mutex_lock(&server->lock);
	wl_intake_close(&server->intake, &held->intake);
	pthread_mutex_unlock(&server->lock);
	*context = NULL;
	free(held);
}

static void *exchange_open(void *arg, const char *uri, struct MHD_Connection *connection)
{
	wl_http_server_t *server = arg;
	wl_exchange_t *exchange = wl_exchange_new(uri, connection);

	exchange->held_by = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
				    ->socket_context;

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
	stopping = server->stopping || exchange->held_by->intake.closing;
	if (!stopping) {
		exchange->state = WL_EXCHANGE_WAITING;
		wl_intake_phase_set(&server->intake, &exchange->held_by->intake, WL_INTAKE_WHOLE,
				    wl_clock_ns());
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
	wl_intake_phase_set(&server->intake, &exchange->held_by->intake, WL_INTAKE_ANSWERING,
			    wl_clock_ns());
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

/* Return: whether there is room for a body of so many bytes, of which the last were received. */
static bool body_hold(wl_http_server_t *server, wl_exchange_t *exchange, uint64_t bytes)
{
	wl_intake_connection_t *held = &exchange->held_by->intake;
	uint64_t counted = (bytes + HELD_STEP_BYTES - 1) / HELD_STEP_BYTES * HELD_STEP_BYTES;
	bool has_room;

	if (held->phase == WL_INTAKE_READING && counted == held->bytes)
		return true;
	pthread_mutex_lock(&server->lock);
	wl_intake_phase_set(&server->intake, held, WL_INTAKE_READING, wl_clock_ns());
	has_room = !held->closing && room_make(server, held, counted);
	if (has_room)
		wl_intake_hold(&server->intake, held, counted);
	else
		server->intake_refused += !held->closing;
	pthread_mutex_unlock(&server->lock);
	return has_room;
}

/* The rest of a refused body is read, so that the client receives the refusal, and not kept. */
static void body_discard(wl_http_server_t *server, wl_exchange_t *exchange)
{
	if (exchange->call.body.capacity == 0)
		return;
	wl_buf_free(&exchange->call.body);
	pthread_mutex_lock(&server->lock);
	wl_intake_hold(&server->intake, &exchange->held_by->intake, 0);
	pthread_mutex_unlock(&server->lock);
}

static enum MHD_Result exchange_read(wl_http_server_t *server, wl_exchange_t *exchange,
				     const char *data, size_t *len)
{
	wl_buf_t *body = &exchange->call.body;
	size_t taken = *len;

	*len = 0;
	if (body->len + taken > server->options.max_body_bytes)
		exchange->refusal = WL_E_TOO_LARGE;
	else if (exchange->refusal == WL_OK && !body_hold(server, exchange, body->len + taken))
		exchange->refusal = WL_E_OVERLOADED;
	if (exchange->refusal == WL_OK) {
		wl_buf_append(body, (wl_str_t){data, taken});
		return MHD_YES;
	}
	body_discard(server, exchange);
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
	wl_exchange_refuse(exchange, exchange->refusal,
			   exchange->refusal == WL_E_TOO_LARGE ? "body is too large"
							       : "no memory for more requests");
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
	wl_intake_hold(&server->intake, &exchange->held_by->intake, 0);
	wl_intake_phase_set(&server->intake, &exchange->held_by->intake, WL_INTAKE_IDLE,
			    wl_clock_ns());
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
		exchange_open, server, MHD_OPTION_NOTIFY_CONNECTION, connection_changed, server,
		MHD_OPTION_NOTIFY_COMPLETED, exchange_completed, server, MHD_OPTION_END);
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

static void intake_init(wl_http_server_t *server)
{
	const wl_http_server_options_t *options = &server->options;
	wl_intake_options_t intake = {
		.limit_bytes = options->intake_bytes ? options->intake_bytes : UINT64_MAX,
		.small_bytes = SMALL_BYTES,
		.connection_bytes = options->max_header_bytes + POOL_SPARE_BYTES / 2,
		.max_connections = options->max_connections,
	};

	wl_intake_init(&server->intake, &intake);
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
	intake_init(server);
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
		wl_intake_hold(&server->intake, &exchange->held_by->intake,
			       exchange->reply.body.len);
		connections_thin(server);
		MHD_resume_connection(exchange->connection);
	}
	pthread_mutex_unlock(&server->lock);

	wl_list_free(&wl_header_schema, &reply->headers);
	wl_buf_free(&reply->body);
	memset(reply, 0, sizeof(*reply));
}

/*
 * wl_http_server_caller_waits - whether the client of a call still waits for its answer
 *
 * Return: false if the connection is closed in either direction, or the call is not open. What the
 * client's host has not told yet, for example behind a broken link, is not known.
 */
bool wl_http_server_caller_waits(wl_http_server_t *server, uint64_t call)
{
	struct pollfd state = {.events = POLLRDHUP};
	wl_exchange_t *exchange;

	pthread_mutex_lock(&server->lock);
	exchange = wl_map_get(&server->waiting, (wl_str_t){(const char *)&call, sizeof(call)});
	if (exchange)
		state.fd = exchange->held_by->fd;
	if (exchange && poll(&state, 1, 0) != 0)
		exchange = NULL;
	pthread_mutex_unlock(&server->lock);
	return exchange != NULL;
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

/*
 * wl_http_server_intake - what the connections hold
 */
void wl_http_server_intake(wl_http_server_t *server, wl_http_intake_t *intake)
{
	pthread_mutex_lock(&server->lock);
	intake->bytes = server->intake.bytes;
	intake->connections = server->intake.count;
	memcpy(intake->closed, server->intake.closed, sizeof(intake->closed));
	intake->refused = server->intake_refused;
	pthread_mutex_unlock(&server->lock);
}
