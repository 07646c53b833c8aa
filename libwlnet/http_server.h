#ifndef WL_HTTP_SERVER_H
#define WL_HTTP_SERVER_H

#include <libwlbase/ring.h>
#include <libwlcore/intake/intake.h>
#include <libwlcore/model/event.h>

/*
 * HTTP listener: publishes requests as events and sends the replies.
 *
 * A call (wl_call_t) is a request that was published to the core, and a reply (wl_reply_t) is the
 * core's answer to it.  An exchange (http_exchange.h) is the listener's state of one request and
 * its response, including requests that the listener itself refuses.
 */

typedef struct wl_http_server_options {
	wl_str_t listen; /* IP:port; port 0: chosen by the kernel */
	wl_listener_t listener;
	uint64_t max_body_bytes;
	uint64_t max_header_bytes;
	uint64_t max_connections;
	uint64_t intake_bytes; /* limit of what its connections hold; 0: none */
	uint64_t idle_ms;      /* idle time that closes a connection, rounded up to seconds */
	wl_ring_t *events;     /* receives wl_event_t *: CALL, CALL_ABANDONED */
	uint64_t first_call;   /* id of the first call; call_step is added for each next one */
	uint64_t call_step;
} wl_http_server_options_t;

typedef struct wl_http_server wl_http_server_t;

/* What the connections of a listener hold, and what became of those that held too much. */
typedef struct wl_http_intake {
	uint64_t bytes;
	uint64_t connections;
	uint64_t closed[WL_INTAKE_PHASES]; /* by the phase of their request */
	uint64_t refused;		   /* requests, for lack of room */
} wl_http_intake_t;

wl_http_server_t *wl_http_server_start(const wl_http_server_options_t *options, wl_err_t *err);
void wl_http_server_reply(wl_http_server_t *server, wl_reply_t *reply);
bool wl_http_server_caller_waits(wl_http_server_t *server, uint64_t call);
void wl_http_server_quiesce(wl_http_server_t *server);
void wl_http_server_stop(wl_http_server_t *server);
uint16_t wl_http_server_port(const wl_http_server_t *server);
uint64_t wl_http_server_open_calls(wl_http_server_t *server);
uint64_t wl_http_server_refused(wl_http_server_t *server);
void wl_http_server_intake(wl_http_server_t *server, wl_http_intake_t *intake);

#endif
