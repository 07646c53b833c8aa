/*
 * HTTP client over the multi-socket interface of libcurl, on one thread.  With
 * this interface the cost of a wake-up does not grow with the number of open
 * calls.
 *
 * Commands arrive through a ring whose descriptor also wakes the thread.  Each
 * call ends with one FETCHED event; while the event ring is full, events wait
 * in a backlog.
 */

#include "http_client.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <ck_pr.h>

#include "http_multi.h"
#include "http_transfer.h"
#include "event_backlog.h"

#include <libwlbase/clock.h>
#include <libwlbase/preset.h>
#include <libwlbase/units.h>

#define POLL_MS			1000 /* longest wait while no call is open */
#define DEADLINE_CHECK_MS	50   /* interval between deadline checks */
#define RETRY_MS		5    /* retry interval while the event ring is full */
#define CALL_CONNECT_MS		3000 /* longest wait of wl_http_call() for a connection */
#define MAX_CONNECTIONS_DEFAULT 512

TAILQ_HEAD(transfer_list, wl_transfer);

/* An element of the command ring. */
typedef struct command {
	bool cancel;
	wl_fetch_t fetch; /* only the id is set to cancel */
} command_t;

struct wl_http_client {
	wl_http_client_options_t options;
	wl_ring_t *commands;
	pthread_t thread;
	unsigned int stopping;
	unsigned int started; /* calls started and not ended */
	unsigned int sent;    /* those of them that have a connection */
	uint64_t connections; /* opened for calls that have ended */
	uint64_t processor_ms;
	/* used by the client's thread only */
	wl_multis_t multis;
	wl_map_t by_id;
	struct transfer_list running;
	wl_handles_t handles;
	wl_event_backlog_t backlog;    /* waiting for the event ring */
	uint64_t deadlines_checked_ns; /* time of the last deadline check */
};

static pthread_once_t curl_once = PTHREAD_ONCE_INIT;

static void curl_init_once(void)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
}

static uint64_t monotonic_now_ns(void)
{
	struct timespec at;

	clock_gettime(CLOCK_MONOTONIC, &at);
	return (uint64_t)at.tv_sec * WL_NS_PER_S + (uint64_t)at.tv_nsec;
}

static void client_report(wl_http_client_t *client, wl_fetched_t *fetched)
{
	wl_event_t *event = wl_alloc(sizeof(*event));

	wl_event_init(event, WL_EVENT_FETCHED);
	event->fetched = *fetched;
	memset(fetched, 0, sizeof(*fetched));
	wl_event_backlog_push(&client->backlog, event);
}

static void client_finish(wl_http_client_t *client, wl_transfer_t *transfer, CURLcode code,
			  const char *error)
{
	wl_transfer_finish(transfer, code, error);
	ck_pr_add_64(&client->connections, transfer->connections);
	curl_multi_remove_handle(transfer->multi, transfer->easy);
	wl_map_remove(&client->by_id, transfer->key);
	ck_pr_dec_uint(&client->started);
	if (transfer->fetched.sent)
		ck_pr_dec_uint(&client->sent);
	TAILQ_REMOVE(&client->running, transfer, link);
	client_report(client, &transfer->fetched);
	wl_transfer_free(transfer);
}

/* Reports a call that could not be started, or that has been held here for too long. */
static void client_report_error(wl_http_client_t *client, uint64_t id, bool held, const char *error)
{
	wl_fetched_t fetched = {.id = id, .held = held};

	wl_buf_set(&fetched.error, wl_str_from(error));
	client_report(client, &fetched);
}

static void client_start_call(wl_http_client_t *client, wl_fetch_t *fetch)
{
	uint64_t now_ns = monotonic_now_ns();
	wl_multi_t *multi = wl_multis_find(&client->multis, wl_buf_str(&fetch->address), now_ns);
	wl_transfer_options_t options = {.max_body_bytes = client->options.max_body_bytes,
					 .connect_ms = client->options.connect_ms,
					 .handles = &client->handles,
					 .sent = &client->sent,
					 .keep_addresses = !wl_multi_prune_due(multi, now_ns)};
	uint64_t id = fetch->id;
	wl_err_t err;
	wl_transfer_t *transfer = wl_transfer_new(fetch, &options, &err);

	if (!transfer) {
		client_report_error(client, id, false, err.text);
		return;
	}
	if (!wl_map_put(&client->by_id, transfer)) {
		wl_transfer_free(transfer);
		client_report_error(client, id, false, "id is in use");
		return;
	}
	if (transfer->fetch.timeout_ms)
		transfer->deadline_ns = now_ns + transfer->fetch.timeout_ms * WL_NS_PER_MS;
	TAILQ_INSERT_TAIL(&client->running, transfer, link);
	ck_pr_inc_uint(&client->started);
	transfer->multi = multi->curl;
	if (curl_multi_add_handle(transfer->multi, transfer->easy) != CURLM_OK)
		client_finish(client, transfer, CURLE_FAILED_INIT, NULL);
}

static void client_run_command(wl_http_client_t *client, command_t *command)
{
	wl_str_t key = {(const char *)&command->fetch.id, sizeof(command->fetch.id)};
	wl_transfer_t *transfer;

	if (!command->cancel) {
		if (wl_fetch_is_late(&command->fetch))
			client_report_error(client, command->fetch.id, true, "held for too long");
		else
			client_start_call(client, &command->fetch);
		return;
	}
	transfer = wl_map_get(&client->by_id, key);
	if (transfer)
		client_finish(client, transfer, CURLE_ABORTED_BY_CALLBACK, "cancelled");
}

static void command_free(command_t *command)
{
	wl_fetch_free(&command->fetch);
	free(command);
}

static void client_run_commands(wl_http_client_t *client)
{
	command_t *command;

	wl_ring_rearm(client->commands);
	while ((command = wl_ring_pop(client->commands)) != NULL) {
		client_run_command(client, command);
		command_free(command);
	}
}

static void client_reap(wl_http_client_t *client)
{
	wl_transfer_t *transfer;
	CURLcode code;
	CURL *easy;

	while ((easy = wl_multis_next_ended(&client->multis, &code)) != NULL) {
		curl_easy_getinfo(easy, CURLINFO_PRIVATE, &transfer);
		client_finish(client, transfer, code, NULL);
	}
}

/*
 * Ends the calls whose deadline has passed.
 *
 * Called only after all ready sockets were read, so that a response that arrived while this
 * process was paused is still accepted.  libcurl's own time-out would end the call before the
 * read, and does not apply to a call that waits for a free connection.
 */
static void client_check_deadlines(wl_http_client_t *client, uint64_t now_ns)
{
	wl_transfer_t *transfer = TAILQ_FIRST(&client->running);

	if (now_ns - client->deadlines_checked_ns < DEADLINE_CHECK_MS * WL_NS_PER_MS)
		return;
	client->deadlines_checked_ns = now_ns;
	ck_pr_store_64(&client->processor_ms, wl_clock_thread_ms());
	while (transfer) {
		wl_transfer_t *next = TAILQ_NEXT(transfer, link);

		if (transfer->deadline_ns && now_ns > transfer->deadline_ns)
			client_finish(client, transfer, CURLE_OPERATION_TIMEDOUT, NULL);
		transfer = next;
	}
}

static int client_wait_ms(const wl_http_client_t *client, uint64_t now_ns)
{
	uint64_t timer_ns = wl_multis_timer_ns(&client->multis);
	uint64_t wait_ms = TAILQ_EMPTY(&client->running) ? POLL_MS : DEADLINE_CHECK_MS;

	if (!wl_event_backlog_empty(&client->backlog))
		wait_ms = RETRY_MS;
	if (timer_ns == 0)
		return (int)wait_ms;
	if (timer_ns <= now_ns)
		return 0;
	if (timer_ns - now_ns < wait_ms * WL_NS_PER_MS)
		wait_ms = (timer_ns - now_ns + WL_NS_PER_MS - 1) / WL_NS_PER_MS;
	return (int)wait_ms;
}

static void client_abort(wl_http_client_t *client)
{
	wl_transfer_t *transfer;

	while ((transfer = TAILQ_FIRST(&client->running)) != NULL)
		client_finish(client, transfer, CURLE_ABORTED_BY_CALLBACK, "stopped");
	wl_event_backlog_flush(&client->backlog);
}

static void *client_main(void *arg)
{
	wl_http_client_t *client = arg;
	uint64_t before_ns;
	bool all_served;

	pthread_setname_np(pthread_self(), "wl-http-out");
	while (!ck_pr_load_uint(&client->stopping)) {
		client_run_commands(client);
		wl_multis_run_timers(&client->multis, monotonic_now_ns());
		client_reap(client);
		wl_event_backlog_flush(&client->backlog);
		before_ns = monotonic_now_ns(); /* a pause after the read must not end calls */
		all_served = wl_multis_poll(&client->multis, client_wait_ms(client, before_ns));
		client_reap(client);
		if (all_served)
			client_check_deadlines(client, before_ns);
		wl_event_backlog_flush(&client->backlog);
	}
	client_run_commands(client);
	client_reap(client);
	client_abort(client);
	return NULL;
}

/* Only after the thread has ended: it may leave the command that wakes it for the stop. */
static void client_free_commands(wl_http_client_t *client)
{
	command_t *command;

	while (client->commands && (command = wl_ring_pop(client->commands)) != NULL)
		command_free(command);
	wl_ring_free(client->commands);
}

static void client_free(wl_http_client_t *client)
{
	wl_handles_free(&client->handles);
	wl_multis_free(&client->multis);
	wl_event_backlog_free(&client->backlog);
	wl_map_free(&client->by_id);
	client_free_commands(client);
	free(client);
}

static bool client_open(wl_http_client_t *client, wl_err_t *err)
{
	wl_multis_options_t multis = {
		.max_connections_per_host = client->options.max_connections_per_host,
		.max_connections_kept =
			wl_preset(client->options.max_connections, MAX_CONNECTIONS_DEFAULT)};

	client->commands = wl_ring_new(client->options.queue_slots, err);
	if (!client->commands)
		return false;
	multis.wake_fd = wl_ring_fd(client->commands);
	if (!wl_multis_open(&client->multis, &multis, err))
		return false;
	if (pthread_create(&client->thread, NULL, client_main, client) == 0)
		return true;
	return wl_err_set(err, WL_E_IO, WL_NOT_RUN, "HTTP client: thread could not be started");
}

/*
 * wl_http_client_start - start the client's thread
 * @options: the ring must outlive the client
 * @err: WL_E_BAD_INPUT, WL_E_IO
 *
 * Return: the client, or NULL.
 */
wl_http_client_t *wl_http_client_start(const wl_http_client_options_t *options, wl_err_t *err)
{
	wl_http_client_t *client = wl_alloc(sizeof(*client));

	pthread_once(&curl_once, curl_init_once);
	memset(client, 0, sizeof(*client));
	client->options = *options;
	wl_multis_init(&client->multis);
	wl_map_init(&client->by_id);
	TAILQ_INIT(&client->running);
	wl_event_backlog_init(&client->backlog, options->events);
	if (client_open(client, err))
		return client;
	client_free(client);
	return NULL;
}

static bool client_push(wl_http_client_t *client, bool cancel, wl_fetch_t *fetch)
{
	command_t *command = wl_alloc(sizeof(*command));

	command->cancel = cancel;
	command->fetch = *fetch;
	if (wl_ring_push(client->commands, command)) {
		memset(fetch, 0, sizeof(*fetch));
		return true;
	}
	free(command);
	return false;
}

/*
 * wl_http_client_fetch - start a call, which ends with one FETCHED event
 * @fetch: moved from
 *
 * Return: false if the queue is full; then nothing is sent, no event follows and @fetch is
 * unchanged.
 */
bool wl_http_client_fetch(wl_http_client_t *client, wl_fetch_t *fetch)
{
	return client_push(client, false, fetch);
}

/*
 * wl_http_client_cancel - cancel a call, which still ends with one event
 *
 * If the queue is full, the call continues until its time-out.
 */
void wl_http_client_cancel(wl_http_client_t *client, uint64_t id)
{
	wl_fetch_t fetch = {.id = id};

	client_push(client, true, &fetch);
}

/*
 * wl_http_client_calls - count the open calls, from any thread
 */
void wl_http_client_calls(const wl_http_client_t *client, wl_http_open_calls_t *calls)
{
	uint64_t sent = ck_pr_load_uint(&client->sent);
	uint64_t started = ck_pr_load_uint(&client->started);

	calls->queued = wl_ring_count(client->commands);
	calls->connecting = started > sent ? started - sent : 0;
	calls->sent = sent;
}

/*
 * wl_http_client_usage - get what the client's thread has used, from any thread
 */
void wl_http_client_usage(const wl_http_client_t *client, wl_http_usage_t *used)
{
	used->connections = ck_pr_load_64(&client->connections);
	used->processor_ms = ck_pr_load_64(&client->processor_ms);
}

/*
 * wl_http_client_stop - abort the open calls and stop the thread; NULL is ignored
 */
void wl_http_client_stop(wl_http_client_t *client)
{
	wl_fetch_t wake = {0};

	if (!client)
		return;
	ck_pr_store_uint(&client->stopping, 1);
	client_push(client, true, &wake);
	pthread_join(client->thread, NULL);
	client_free(client);
}

static void fetch_copy(wl_fetch_t *to, const wl_fetch_t *from)
{
	const wl_header_t *headers = from->headers.items;

	memset(to, 0, sizeof(*to));
	to->id = from->id;
	to->timeout_ms = from->timeout_ms;
	to->send_by_ns = from->send_by_ns;
	wl_buf_set(&to->address, wl_buf_str(&from->address));
	wl_buf_set(&to->method, wl_buf_str(&from->method));
	wl_buf_set(&to->path, wl_buf_str(&from->path));
	wl_buf_set(&to->body, wl_buf_str(&from->body));
	for (size_t i = 0; i < from->headers.count; i++)
		wl_headers_add(&to->headers, wl_buf_str(&headers[i].name),
			       wl_buf_str(&headers[i].value));
}

/*
 * wl_http_call - make one call and wait until it ends
 * @fetch: copied
 * @max_body_bytes: limit of the response body, bytes
 * @fetched: overwritten; the caller releases it, also after a failure
 * @err: WL_E_BAD_INPUT, WL_E_TARGET_FAILED with verdict not-run or unknown
 *
 * Return: true if a complete response was received.
 */
bool wl_http_call(const wl_fetch_t *fetch, uint64_t max_body_bytes, wl_fetched_t *fetched,
		  wl_err_t *err)
{
	wl_transfer_options_t options = {.max_body_bytes = max_body_bytes,
					 .connect_ms = CALL_CONNECT_MS};
	wl_transfer_t *transfer;
	wl_fetch_t copy;

	pthread_once(&curl_once, curl_init_once);
	memset(fetched, 0, sizeof(*fetched));
	fetch_copy(&copy, fetch);
	transfer = wl_transfer_new(&copy, &options, err);
	wl_fetch_free(&copy);
	if (!transfer)
		return false;

	if (fetch->timeout_ms)
		curl_easy_setopt(transfer->easy, CURLOPT_TIMEOUT_MS, (long)fetch->timeout_ms);
	wl_transfer_finish(transfer, curl_easy_perform(transfer->easy), NULL);
	*fetched = transfer->fetched;
	memset(&transfer->fetched, 0, sizeof(transfer->fetched));
	wl_transfer_free(transfer);
	if (fetched->complete)
		return true;
	return wl_err_set(err, WL_E_TARGET_FAILED, fetched->sent ? WL_UNKNOWN : WL_NOT_RUN, "%s",
			  fetched->error.at);
}

/*
 * wl_fetched_free - release the members of a result
 */
void wl_fetched_free(wl_fetched_t *fetched)
{
	wl_list_free(&wl_header_schema, &fetched->headers);
	wl_buf_free(&fetched->body);
	wl_buf_free(&fetched->error);
}
