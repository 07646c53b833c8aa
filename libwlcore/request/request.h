#ifndef WL_REQUEST_H
#define WL_REQUEST_H

#include <libwlcore/model/event.h>
#include <libwlcore/owner/owner.h>

/* Callers' requests: admission, queueing, routing, forwarding, retries and idempotency keys. */

typedef struct wl_request_options {
	wl_str_t entry;
	wl_str_t availability_zone;
	wl_ledger_t *ledger;
	wl_owner_t *owner;
	const wl_view_t *view;
	const wl_session_t *session;
	wl_metrics_t *metrics;
	wl_str_t routing; /* policy names; empty selects the default */
	wl_str_t queueing;
	uint64_t default_timeout_ms;
	uint64_t max_timeout_ms;
	uint64_t max_queued;	       /* maximum of queued requests of all customers */
	uint64_t retry_permille;       /* retries allowed per 1000 ended requests */
	uint64_t exchange_interval_ms; /* minimum interval of the exchange with peers */
	uint64_t seed;
} wl_request_options_t;

typedef struct wl_requests wl_requests_t;

wl_requests_t *wl_requests_new(const wl_request_options_t *options, uint64_t now_ns, wl_err_t *err);
void wl_requests_free(wl_requests_t *requests);
void wl_requests_step(wl_requests_t *requests, uint64_t now_ns, wl_event_t *event, wl_out_t *out);
void wl_requests_drain(wl_requests_t *requests);
size_t wl_requests_open(const wl_requests_t *requests);

#endif
