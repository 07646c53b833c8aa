#ifndef WL_RNG_H
#define WL_RNG_H

#include <stdint.h>

/* Counter-based random number generator; seed and stream determine the sequence. */
typedef struct wl_rng {
	uint64_t seed;
	uint64_t stream;
	uint64_t counter;
} wl_rng_t;

void wl_rng_init(wl_rng_t *rng, uint64_t seed, uint64_t stream);
uint64_t wl_rng_next(wl_rng_t *rng);
uint64_t wl_rng_below(wl_rng_t *rng, uint64_t bound);
double wl_rng_unit(wl_rng_t *rng);

#endif
