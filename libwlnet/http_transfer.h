#ifndef WL_HTTP_TRANSFER_H
#define WL_HTTP_TRANSFER_H

#include <sys/queue.h>

#include <curl/curl.h>

#include <libwlcore/model/event.h>

/* One HTTP call on one libcurl handle; internal to the HTTP client. */

typedef struct wl_transfer {
	wl_str_t key; /* over id, for wl_map_t */
	uint64_t id;
	CURL *easy;
	struct curl_slist *headers;
	wl_fetch_t fetch;
	wl_fetched_t fetched;
	uint64_t deadline_ns; /* 0: none */
	uint64_t max_body_bytes;
	uint64_t header_bytes;
	bool too_large;
	TAILQ_ENTRY(wl_transfer) link;
} wl_transfer_t;

typedef struct wl_transfer_options {
	uint64_t max_body_bytes;
	uint64_t connect_ms;
} wl_transfer_options_t;

wl_transfer_t *wl_transfer_new(wl_fetch_t *fetch, const wl_transfer_options_t *options,
			       wl_err_t *err);
void wl_transfer_finish(wl_transfer_t *transfer, CURLcode code, const char *error);
void wl_transfer_free(wl_transfer_t *transfer);
void wl_fetch_free(wl_fetch_t *fetch);

#endif
