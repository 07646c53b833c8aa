#ifndef WL_STRETCH_H
#define WL_STRETCH_H

#include <stdint.h>

/*
 * How much longer steps take than their estimates say.
 *
 * Decides by which factor estimates of run times are multiplied before a job is taken for one that
 * can still be on time.  Answers load beyond what can be on time, with estimates that are far off:
 * jobs that cannot be on time must fall behind before they start, not once they are late.
 */
typedef struct wl_stretch {
	uint64_t factor_permille; /* 0: nothing is known */
	uint64_t samples;
} wl_stretch_t;

void wl_stretch_learn(wl_stretch_t *stretch, uint64_t estimated_ms, uint64_t took_ms);
uint64_t wl_stretch_apply(const wl_stretch_t *stretch, uint64_t estimated_ms);

#endif
