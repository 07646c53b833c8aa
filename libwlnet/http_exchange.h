#ifndef WL_HTTP_EXCHANGE_H
#define WL_HTTP_EXCHANGE_H

#include <sys/queue.h>

#include <microhttpd.h>

#include "http_server.h"

/* One HTTP request and its response; internal to the HTTP server. */

/* A connection of the listener. */
typedef struct wl_http_connection {
	wl_intake_connection_t intake; /* first, so that both have the same address */
	int fd;
} wl_http_connection_t;

typedef enum wl_exchange_state {
	WL_EXCHANGE_READING,   /* headers and body are being received */
	WL_EXCHANGE_WAITING,   /* connection suspended, CALL event published */
	WL_EXCHANGE_ANSWERED,  /* reply ready to be queued */
	WL_EXCHANGE_ABANDONED, /* the client closed the connection */
	WL_EXCHANGE_QUEUED,    /* handed to libmicrohttpd */
} wl_exchange_state_t;

typedef struct wl_exchange {
	wl_str_t key; /* over id, for wl_map_t */
	uint64_t id;  /* 0: not published yet */
	wl_exchange_state_t state;
	struct MHD_Connection *connection;
	wl_http_connection_t *held_by;
	wl_call_t call;
	wl_reply_t reply;
	bool headers_read;  /* the headers were processed */
	wl_code_t refusal;  /* WL_OK: none; sent once the body is read */
	uint64_t discarded; /* body bytes over the limit, read and discarded */
	bool head;	    /* the method is HEAD */
	TAILQ_ENTRY(wl_exchange) link;
} wl_exchange_t;

wl_exchange_t *wl_exchange_new(const char *uri, struct MHD_Connection *connection);
void wl_exchange_free(wl_exchange_t *exchange);
uint64_t wl_exchange_take_headers(wl_exchange_t *exchange);
void wl_exchange_refuse(wl_exchange_t *exchange, wl_code_t code, const char *text);
struct MHD_Response *wl_exchange_response(wl_exchange_t *exchange, bool close);

#endif
