#ifndef WL_HTTP_CLIENT_H
#define WL_HTTP_CLIENT_H

#include <libwlbase/ring.h>
#include <libwlcore/model/event.h>

/*
 * HTTP client: concurrent calls on one thread, each of which ends with one FETCHED event.
 *
 * A call is an outgoing request together with its response.  A fetch (wl_fetch_t) is the request
 * as the core describes it, wl_fetched_t is the outcome of the call, and a transfer
 * (http_transfer.h) is the libcurl state of a call that was started.
 */

typedef struct wl_http_client_options {
	wl_ring_t *events;	 /* receives wl_event_t *: FETCHED */
	uint32_t queue_slots;	 /* size of the queue of calls to start or cancel; power of two */
	uint64_t max_body_bytes; /* of a response */
	uint64_t connect_ms;	 /* longest wait for a TCP connection */
	uint64_t max_connections_per_host;
	uint64_t max_connections; /* kept over all hosts, those in use included; 0: 512 */
} wl_http_client_options_t;

/* Numbers of open calls by progress. */
typedef struct wl_http_open_calls {
	uint64_t queued;     /* not yet started by the client's thread */
	uint64_t connecting; /* waiting for a connection */
	uint64_t sent;
} wl_http_open_calls_t;

/* What the client's thread has used since it was started. */
typedef struct wl_http_usage {
	uint64_t connections;  /* opened for calls that have ended */
	uint64_t processor_ms; /* processor time of the thread, some tens of ms old */
} wl_http_usage_t;

typedef struct wl_http_client wl_http_client_t;

wl_http_client_t *wl_http_client_start(const wl_http_client_options_t *options, wl_err_t *err);
bool wl_http_client_fetch(wl_http_client_t *client, wl_fetch_t *fetch);
void wl_http_client_cancel(wl_http_client_t *client, uint64_t id);
void wl_http_client_calls(const wl_http_client_t *client, wl_http_open_calls_t *calls);
void wl_http_client_usage(const wl_http_client_t *client, wl_http_usage_t *used);
void wl_http_client_stop(wl_http_client_t *client);

/* One blocking call, for programs without an event loop. */
bool wl_http_call(const wl_fetch_t *fetch, uint64_t max_body_bytes, wl_fetched_t *fetched,
		  wl_err_t *err);
void wl_fetched_free(wl_fetched_t *fetched);

#endif
