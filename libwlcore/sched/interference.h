#ifndef WL_INTERFERENCE_H
#define WL_INTERFERENCE_H

#include <stdbool.h>
#include <stdint.h>

#include "images.h"

/*
 * Interference of best-effort work with serving tasks, learnt from tail latencies.
 *
 * A server's latency grows as 1 / (1 - utilization). Therefore bound / tail, called
 * headroom here, falls by the same amount for each CPU that a neighbour uses, whatever the
 * load is. It is 1 at the bound and above 1 while the task is within it. The amounts
 * (weights) differ by pair of images.
 */

/* Headroom that a best-effort image takes from a serving one if it used all CPU of a target. */
typedef struct wl_interference_pair {
	double weight;
	double variance;
	uint64_t at_ns;
} wl_interference_pair_t;

typedef struct wl_interference {
	wl_interference_pair_t pairs[WL_IMAGES_MAX][WL_IMAGES_MAX]; /* [serving][best-effort] */
	double headroom_max[WL_IMAGES_MAX]; /* serving: highest headroom of any sample */
} wl_interference_t;

/* Headroom of a serving task without best-effort work on its target. */
typedef struct wl_interference_baseline {
	double headroom;
	double variance;
	uint64_t at_ns; /* of the newest sample; 0: none yet */
} wl_interference_baseline_t;

/* Share of a target's CPU that the best-effort work of each image uses. */
typedef struct wl_interference_shares {
	double by_image[WL_IMAGES_MAX];
} wl_interference_shares_t;

void wl_interference_init(wl_interference_t *interference);
double wl_interference_weight(const wl_interference_t *interference, unsigned int serving,
			      unsigned int best_effort);
double wl_interference_sum(const wl_interference_t *interference, unsigned int serving,
			   const wl_interference_shares_t *shares);
double wl_interference_sum_of(const wl_interference_t *interference, unsigned int serving,
			      const wl_interference_shares_t *shares, uint64_t images);
void wl_interference_average_update(wl_interference_shares_t *average,
				    const wl_interference_shares_t *present, uint64_t passed_ns);
void wl_interference_update(wl_interference_t *interference, wl_interference_baseline_t *baseline,
			    unsigned int serving, const wl_interference_shares_t *average,
			    double headroom, uint64_t now_ns);

#endif
