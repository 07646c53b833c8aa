#ifndef WL_LATENCY_H
#define WL_LATENCY_H

#include <libwlbase/hist.h>

/* Recent latency of one service; zero-initialized without samples. */
typedef struct wl_latency {
	uint64_t mean_ns; /* moving average */
	uint64_t last_ns; /* time of the newest sample */
	uint64_t p50_ns;  /* 0: too few samples */
	uint64_t p95_ns;
	wl_hist_t current;
	wl_hist_t previous;
} wl_latency_t;

void wl_latency_add(wl_latency_t *latency, uint64_t took_ns, uint64_t now_ns);
uint64_t wl_latency_mean(const wl_latency_t *latency, uint64_t now_ns);
uint64_t wl_latency_typical(const wl_latency_t *latency, uint64_t now_ns);
uint64_t wl_latency_p95(const wl_latency_t *latency);

#endif
