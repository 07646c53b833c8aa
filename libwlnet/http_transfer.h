#ifndef WL_HTTP_TRANSFER_H
#define WL_HTTP_TRANSFER_H

#include <sys/queue.h>

#include <curl/curl.h>

#include <libwlcore/model/event.h>

/* One HTTP request on one libcurl easy handle; internal to the HTTP client. */

#define WL_MAX_SPARE_HANDLES 64 /* the usual number of concurrent calls */

/* Pool of easy handles.  Creating a handle costs more than the call itself. */
typedef struct wl_handles {
	CURL *spare[WL_MAX_SPARE_HANDLES];
	size_t count;
} wl_handles_t;

typedef struct wl_transfer {
	wl_str_t key; /* over id, for wl_map_t */
	uint64_t id;
	CURL *easy;
	CURLM *multi;	       /* that the handle was added to, or NULL */
	wl_handles_t *handles; /* pool that the handle returns to, or NULL */
	unsigned int *sent;    /* as in wl_transfer_options_t */
	struct curl_slist *headers;
	wl_fetch_t fetch;
	wl_fetched_t fetched;
	uint64_t deadline_ns; /* 0: none */
	uint64_t max_body_bytes;
	uint64_t header_bytes;
	uint64_t connections; /* opened for it */
	bool too_large;
	TAILQ_ENTRY(wl_transfer) link;
} wl_transfer_t;

typedef struct wl_transfer_options {
	uint64_t max_body_bytes;
	uint64_t connect_ms;
	wl_handles_t *handles; /* NULL: the handle is created and released with the call */
	unsigned int *sent;    /* incremented when the call gets a connection; may be NULL */
	bool keep_addresses;   /* do not look for expired entries of the address cache */
} wl_transfer_options_t;

bool wl_fetch_is_late(const wl_fetch_t *fetch);
wl_transfer_t *wl_transfer_new(wl_fetch_t *fetch, const wl_transfer_options_t *options,
			       wl_err_t *err);
void wl_transfer_finish(wl_transfer_t *transfer, CURLcode code, const char *error);
void wl_transfer_free(wl_transfer_t *transfer);
void wl_handles_free(wl_handles_t *handles);
void wl_fetch_free(wl_fetch_t *fetch);

#endif
