/* Ramp of the CPU that a target offers while it warms up. */

#include "warmup.h"

#include <libwlbase/units.h>

/* The ramp rises in so many steps, as each of them lets waiting tasks be considered again. */
#define RAMP_STEPS 8
/* Offered at once: enough to keep the target in use, little enough to leave bursts to others. */
#define RAMP_FIRST 2

/*
 * wl_warmup_report - note the remaining time that a target reports
 * @remaining_ms: 0: it is warm
 *
 * The ramp starts with the first report; later ones only move its end.
 */
void wl_warmup_report(wl_warmup_t *warmup, uint64_t now_ns, uint64_t remaining_ms)
{
	if (remaining_ms == 0) {
		*warmup = (wl_warmup_t){0};
		return;
	}
	if (warmup->until_ns <= now_ns)
		warmup->began_ns = now_ns;
	warmup->until_ns = now_ns + remaining_ms * WL_NS_PER_MS;
}

/*
 * wl_warmup_held_millis - CPU that a target withholds from short tasks
 * @cpu_millis: its capacity
 */
uint64_t wl_warmup_held_millis(const wl_warmup_t *warmup, uint64_t now_ns, uint64_t cpu_millis)
{
	uint64_t steps;

	if (warmup->until_ns <= now_ns)
		return 0;
	steps = (now_ns - warmup->began_ns) * RAMP_STEPS / (warmup->until_ns - warmup->began_ns);
	if (steps < RAMP_FIRST)
		steps = RAMP_FIRST;
	return cpu_millis - cpu_millis * steps / RAMP_STEPS;
}
