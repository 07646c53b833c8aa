#ifndef WL_PACE_H
#define WL_PACE_H

#include <stddef.h>

#include "interference.h"

/* How fast best-effort work may run beside tasks that serve users: pure. */

#define WL_PACE_FULL	100
#define WL_PACE_UNKNOWN 255 /* an order on it got no answer */

typedef struct wl_pace_serving {
	unsigned int image;
	double headroom; /* with no best-effort work beside it */
} wl_pace_serving_t;

typedef struct wl_pace_run {
	unsigned int image;
	double share;	      /* of the target's processors, at full speed */
	unsigned int percent; /* out: of full speed */
} wl_pace_run_t;

void wl_pace_choose(const wl_interference_t *interference, const wl_pace_serving_t *serving,
		    size_t serving_count, wl_pace_run_t *runs, size_t run_count);

#endif
