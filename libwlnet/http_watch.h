#ifndef WL_HTTP_WATCH_H
#define WL_HTTP_WATCH_H

#include <libwlbase/err.h>

/* A thread that detects clients closing their connections; internal to the HTTP server. */

typedef struct wl_http_watch wl_http_watch_t;

/* Called on the thread of the watch. */
typedef void (*wl_http_disconnect_t)(void *context, uint64_t id);

wl_http_watch_t *wl_http_watch_start(wl_http_disconnect_t on_disconnect, void *context,
				     wl_err_t *err);
void wl_http_watch_add(wl_http_watch_t *watch, int fd, uint64_t id);
bool wl_http_watch_stopping(const wl_http_watch_t *watch, int timeout_ms);
void wl_http_watch_stop(wl_http_watch_t *watch);

#endif
