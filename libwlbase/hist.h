#ifndef WL_HIST_H
#define WL_HIST_H

#include <stddef.h>
#include <stdint.h>

#include <libwlbase/str.h>

#define WL_HIST_BUCKETS 512

/*
 * Latency histogram with 8 buckets per power of two, so that a quantile is
 * within an eighth of the true value.
 */
typedef struct wl_hist {
	uint64_t counts[WL_HIST_BUCKETS];
	uint64_t total;
	uint64_t sum_ns;
	uint64_t max_ns;
} wl_hist_t;

void wl_hist_init(wl_hist_t *hist);
void wl_hist_add(wl_hist_t *hist, uint64_t value_ns);
void wl_hist_merge(wl_hist_t *into, const wl_hist_t *from);
uint64_t wl_hist_quantile(const wl_hist_t *hist, uint32_t permyriad);
void wl_hist_print(const wl_hist_t *hist, wl_str_t name, wl_str_t labels, wl_buf_t *out);

#endif
