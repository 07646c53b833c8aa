#ifndef WL_INTERFERENCE_H
#define WL_INTERFERENCE_H

#include <stdbool.h>
#include <stdint.h>

#include "images.h"

/*
 * How best-effort work slows tasks that serve users, learnt from tail latencies.
 *
 * A server's latency grows as 1 / (1 - utilization), so that bound / tail,
 * called headroom here, falls by the same amount for each processor of a
 * neighbour, whatever the load: 1 at the bound, above it while the task is
 * sound.  The amounts (weights) differ by pair of images.
 */

/* What one image takes from the headroom of another, for all of a target's processors. */
typedef struct wl_interference_pair {
	double weight;
	double variance;
	uint64_t at_ns;
} wl_interference_pair_t;

typedef struct wl_interference {
	wl_interference_pair_t pairs[WL_IMAGES_MAX][WL_IMAGES_MAX]; /* serving, best-effort */
	double best[WL_IMAGES_MAX]; /* serving: most headroom that any figure showed */
} wl_interference_t;

/* Headroom that a serving task would have with no best-effort work beside it. */
typedef struct wl_interference_baseline {
	double headroom;
	double variance;
	uint64_t at_ns; /* of the newest figure; 0: none yet */
} wl_interference_baseline_t;

/* Share of a target's processors that best-effort work of each image uses. */
typedef struct wl_interference_shares {
	double of[WL_IMAGES_MAX];
} wl_interference_shares_t;

void wl_interference_init(wl_interference_t *interference);
double wl_interference_weight(const wl_interference_t *interference, unsigned int serving,
			      unsigned int beside);
double wl_interference_sum(const wl_interference_t *interference, unsigned int serving,
			   const wl_interference_shares_t *shares);
double wl_interference_sum_of(const wl_interference_t *interference, unsigned int serving,
			      const wl_interference_shares_t *shares, uint64_t images);
void wl_interference_window(wl_interference_shares_t *window,
			    const wl_interference_shares_t *present, uint64_t passed_ns);
void wl_interference_update(wl_interference_t *interference, wl_interference_baseline_t *baseline,
			    unsigned int serving, const wl_interference_shares_t *window,
			    double headroom, uint64_t now_ns);

#endif
