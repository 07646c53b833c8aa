#ifndef WL_API_H
#define WL_API_H

#include <libwlcore/model/event.h>
#include <libwlcore/node/session.h>
#include <libwlcore/node/view.h>

/*
 * HTTP API for operators, and for callers about tasks: checks calls, forwards them to the
 * leader, answers.
 */

typedef struct wl_api_options {
	wl_str_t name; /* name of this daemon */
	const wl_view_t *view;
	const wl_session_t *session;
	wl_metrics_t *metrics;
	wl_str_t operator_token; /* empty: no authentication */
	bool entry;		 /* an entry is ready only with a valid session */
	uint64_t boot;
} wl_api_options_t;

typedef struct wl_api wl_api_t;

wl_api_t *wl_api_new(const wl_api_options_t *options);
void wl_api_free(wl_api_t *api);
void wl_api_step(wl_api_t *api, uint64_t now_ns, wl_event_t *event, wl_out_t *out);
void wl_api_drain(wl_api_t *api);
size_t wl_api_open(const wl_api_t *api);
bool wl_api_drain_requested(const wl_api_t *api);

#endif
