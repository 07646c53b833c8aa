/* Random numbers by Random123's Philox: a pure function of seed, stream and counter. */

#include "rng.h"

#include <Random123/philox.h>

/*
 * wl_rng_init - start a sequence
 * @seed: seed of the run
 * @stream: number of the sequence among those with the same seed
 */
void wl_rng_init(wl_rng_t *rng, uint64_t seed, uint64_t stream)
{
	*rng = (wl_rng_t){seed, stream, 0};
}

/*
 * wl_rng_next - generate the next 64 random bits
 */
uint64_t wl_rng_next(wl_rng_t *rng)
{
	philox2x64_ctr_t counter = {{rng->counter++, rng->stream}};
	philox2x64_key_t key = {{rng->seed}};

	return philox2x64(counter, key).v[0];
}

/*
 * wl_rng_below - generate a random integer in [0, @bound)
 *
 * Return: the number; zero if @bound is zero.
 */
uint64_t wl_rng_below(wl_rng_t *rng, uint64_t bound)
{
	if (bound == 0)
		return 0;
	return (uint64_t)(((unsigned __int128)wl_rng_next(rng) * bound) >> 64);
}

/*
 * wl_rng_unit - generate a random real number in [0, 1)
 */
double wl_rng_unit(wl_rng_t *rng)
{
	return (double)(wl_rng_next(rng) >> 11) * 0x1.0p-53;
}
