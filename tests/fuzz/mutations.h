#ifndef FUZZ_MUTATIONS_H
#define FUZZ_MUTATIONS_H

#include <libwlbase/rng.h>
#include <libwlbase/str.h>

/* Seeded mutations of an input. */

void fuzz_mutate_bytes(wl_buf_t *input, wl_rng_t *rng);
void fuzz_mutate_hard(wl_buf_t *input, wl_rng_t *rng);

#endif
