#ifndef WL_COUNTER_H
#define WL_COUNTER_H

#include <stdint.h>
#include <sys/queue.h>

#include <libwlbase/hist.h>
#include <libwlbase/map.h>
#include <libwlbase/str.h>

/* A counter, gauge or histogram with Prometheus labels. */
typedef struct wl_metric {
	wl_str_t key; /* over id, for wl_map_t */
	wl_buf_t name;
	wl_buf_t labels;
	wl_buf_t id; /* name and labels */
	uint64_t value;
	wl_hist_t *hist; /* NULL: a counter or a gauge */
	TAILQ_ENTRY(wl_metric) link;
} wl_metric_t;

/* A set of metrics; not thread-safe. */
typedef struct wl_metrics {
	wl_map_t by_id;
	TAILQ_HEAD(wl_metric_list, wl_metric) all;
} wl_metrics_t;

void wl_metrics_init(wl_metrics_t *metrics);
void wl_metrics_free(wl_metrics_t *metrics);
wl_metric_t *wl_metrics_find(wl_metrics_t *metrics, const char *name, const char *labels);
void wl_metric_observe(wl_metric_t *metric, uint64_t value_ns);
void wl_metrics_add(wl_metrics_t *metrics, const char *name, const char *labels,
		    uint64_t increment);
void wl_metrics_set(wl_metrics_t *metrics, const char *name, const char *labels, uint64_t value);
void wl_metrics_observe(wl_metrics_t *metrics, const char *name, const char *labels,
			uint64_t value_ns);
uint64_t wl_metrics_get(const wl_metrics_t *metrics, const char *name, const char *labels);
void wl_metrics_print(const wl_metrics_t *metrics, wl_buf_t *out);

#endif
