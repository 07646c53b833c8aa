#ifndef WL_GAUGES_H
#define WL_GAUGES_H

#include "event_loop.h"

/* Counters that the daemon keeps outside the node, for the metrics. */

#define WL_GAUGES_MAX 128

typedef struct wl_gauges {
	wl_gauge_t rows[WL_GAUGES_MAX];
	size_t count;
} wl_gauges_t;

void wl_gauges_add(wl_gauges_t *gauges, const char *name, const char *labels, uint64_t value);
void wl_gauges_collect(wl_gauges_t *gauges, const wl_event_loop_options_t *sources);

#endif
