#ifndef WL_THROTTLE_H
#define WL_THROTTLE_H

#include <stddef.h>

#include "interference.h"

/*
 * Choice of the speed of best-effort runs beside serving tasks. Speeds are in percent of full
 * speed; THROTTLE orders set them. Pure functions.
 */

#define WL_SPEED_FULL	 100
#define WL_SPEED_UNKNOWN 255 /* the last THROTTLE order got no answer */

typedef struct wl_throttle_serving {
	unsigned int image;
	double headroom; /* without any best-effort work on the target */
} wl_throttle_serving_t;

typedef struct wl_throttle_run {
	unsigned int image;
	double share;	      /* of the target's CPU, at full speed */
	unsigned int percent; /* out: percent of full speed */
	bool background;      /* is slowed before all others */
} wl_throttle_run_t;

void wl_throttle_choose(const wl_interference_t *interference, const wl_throttle_serving_t *serving,
			size_t serving_count, wl_throttle_run_t *runs, size_t run_count);

#endif
