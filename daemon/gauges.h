#ifndef WL_GAUGES_H
#define WL_GAUGES_H

#include "event_loop.h"

/* What the daemon counts outside the node, for the metrics. */

#define WL_GAUGES_MOST 128

typedef struct wl_gauges {
	wl_gauge_t rows[WL_GAUGES_MOST];
	size_t count;
} wl_gauges_t;

void wl_gauges_add(wl_gauges_t *gauges, const char *name, const char *labels, uint64_t value);
void wl_gauges_read(wl_gauges_t *gauges, const wl_decide_options_t *parts);

#endif
