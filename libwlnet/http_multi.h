#ifndef WL_HTTP_MULTI_H
#define WL_HTTP_MULTI_H

#include <sys/queue.h>

#include <curl/curl.h>

#include <libwlbase/err.h>
#include <libwlbase/map.h>
#include <libwlbase/str.h>

/*
 * The multi handles of libcurl, on one epoll descriptor; internal to the HTTP client.
 *
 * libcurl walks over all connections and host names of a multi handle at the end of each call.
 * The addresses are spread over several handles, so that these walks stay short.  Each handle keeps
 * an equal share of the connections, so each gets about as many addresses.
 */

#define WL_MULTIS 16

typedef struct wl_multi {
	CURLM *curl;
	int epoll_fd;
	uint32_t index;
	uint64_t timer_ns;  /* when libcurl's timer expires, on CLOCK_MONOTONIC; 0: not set */
	uint64_t pruned_ns; /* when a call last looked for expired addresses */
	size_t addresses;
} wl_multi_t;

typedef struct wl_multi_address wl_multi_address_t;

typedef struct wl_multis {
	wl_multi_t all[WL_MULTIS];
	int epoll_fd;
	wl_map_t by_address;
	TAILQ_HEAD(wl_multi_addresses, wl_multi_address) addresses; /* last used last */
} wl_multis_t;

typedef struct wl_multis_options {
	uint64_t max_connections_per_host;
	uint64_t max_connections_kept; /* over all hosts */
	int wake_fd;		       /* ends a wait when it becomes readable */
} wl_multis_options_t;

void wl_multis_init(wl_multis_t *multis);
bool wl_multis_open(wl_multis_t *multis, const wl_multis_options_t *options, wl_err_t *err);
void wl_multis_free(wl_multis_t *multis);
wl_multi_t *wl_multis_find(wl_multis_t *multis, wl_str_t address, uint64_t now_ns);
bool wl_multi_prune_due(wl_multi_t *multi, uint64_t now_ns);
uint64_t wl_multis_timer_ns(const wl_multis_t *multis);
void wl_multis_run_timers(wl_multis_t *multis, uint64_t now_ns);
bool wl_multis_poll(wl_multis_t *multis, int wait_ms);
CURL *wl_multis_next_ended(wl_multis_t *multis, CURLcode *code);

#endif
