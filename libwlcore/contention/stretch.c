/* Quantile of the time that steps take relative to their estimates, learnt from steps that are
 * done. */

#include "stretch.h"

#include <libwlbase/units.h>

/* Three of four steps take no longer: a job counts as on time if it probably is. */
#define QUANTILE_PERMILLE 750
/* By how much a step moves the factor, at first and later. */
#define RATE_FIRST_PERMILLE 1000
#define RATE_PERMILLE	    30
#define SAMPLES_MIN	    16 /* before the factor is used */
/* A step that takes longer than this says more of an outage than of estimates. */
#define FACTOR_MAX_PERMILLE 4000

/*
 * wl_stretch_learn - note a step that is done
 * @took_ms: from the start of its first task to the end of its last one
 */
void wl_stretch_learn(wl_stretch_t *stretch, uint64_t estimated_ms, uint64_t took_ms)
{
	uint64_t factor;
	uint64_t rate;

	if (estimated_ms == 0)
		return;
	factor = took_ms * WL_PERMILLE / estimated_ms;
	if (factor > FACTOR_MAX_PERMILLE)
		factor = FACTOR_MAX_PERMILLE;
	rate = RATE_FIRST_PERMILLE / (stretch->samples + 1);
	if (rate < RATE_PERMILLE)
		rate = RATE_PERMILLE;
	if (stretch->factor_permille == 0)
		stretch->factor_permille = WL_PERMILLE;
	/* In balance if QUANTILE_PERMILLE of the steps are below the factor. */
	if (factor > stretch->factor_permille)
		stretch->factor_permille += rate * QUANTILE_PERMILLE / WL_PERMILLE;
	else
		stretch->factor_permille -= rate * (WL_PERMILLE - QUANTILE_PERMILLE) / WL_PERMILLE;
	stretch->samples++;
}

/*
 * wl_stretch_apply - the time that steps are expected to take
 *
 * Estimates are never taken for too long: that may be the luck of a few.
 */
uint64_t wl_stretch_apply(const wl_stretch_t *stretch, uint64_t estimated_ms)
{
	if (stretch->samples < SAMPLES_MIN || stretch->factor_permille < WL_PERMILLE)
		return estimated_ms;
	return estimated_ms * stretch->factor_permille / WL_PERMILLE;
}
