/*
 * A task waits for a part of what a start elsewhere would lose, all in all: the place that it takes
 * in the end is one that those behind it wait for.  The wait ends whatever the forecast of a free
 * place was worth.
 */

#include "wait.h"

#include <libwlbase/units.h>

#define SAMPLES_MIN    8  /* of each side, before what was learnt is used */
#define SAMPLES_WEIGHT 32 /* what was learnt follows about so many ends */
/* Until it is known: work away from its data takes twice as long. */
#define SLOWDOWN_DEFAULT_PERMILLE 2000
#define WAIT_PERMILLE		  250 /* of the loss */

/*
 * wl_locality_learn - note a run that is done
 * @near: whether it ran near its data, or its group
 */
void wl_locality_learn(wl_locality_t *locality, bool near, uint64_t estimated_ms, uint64_t ran_ms)
{
	wl_locality_side_t *side = near ? &locality->near : &locality->far;
	uint64_t weight = side->samples < SAMPLES_WEIGHT ? side->samples : SAMPLES_WEIGHT - 1;

	if (estimated_ms == 0)
		return;
	side->factor_permille =
		(side->factor_permille * weight + ran_ms * WL_PERMILLE / estimated_ms) /
		(weight + 1);
	side->samples++;
}

static uint64_t slowdown_permille(const wl_locality_t *locality)
{
	const wl_locality_side_t *near = &locality->near;

	if (near->samples < SAMPLES_MIN || locality->far.samples < SAMPLES_MIN ||
	    near->factor_permille == 0)
		return SLOWDOWN_DEFAULT_PERMILLE;
	return locality->far.factor_permille * WL_PERMILLE / near->factor_permille;
}

/*
 * wl_locality_run_ms - expected run time near
 */
uint64_t wl_locality_run_ms(const wl_locality_t *locality, uint64_t estimated_ms)
{
	if (locality->near.samples < SAMPLES_MIN)
		return estimated_ms;
	return estimated_ms * locality->near.factor_permille / WL_PERMILLE;
}

/*
 * wl_locality_loss_ms - by how much a run elsewhere is expected to take longer
 */
uint64_t wl_locality_loss_ms(const wl_locality_t *locality, uint64_t estimated_ms)
{
	uint64_t slowdown = slowdown_permille(locality);

	if (slowdown <= WL_PERMILLE)
		return 0;
	return wl_locality_run_ms(locality, estimated_ms) * (slowdown - WL_PERMILLE) / WL_PERMILLE;
}

/*
 * wl_locality_wait_ms - how much longer a task waits for a place near
 *
 * Return: 0 if it starts elsewhere now.
 */
uint64_t wl_locality_wait_ms(const wl_locality_t *locality, const wl_locality_task_t *task)
{
	uint64_t most_ms =
		wl_locality_loss_ms(locality, task->estimated_ms) * WAIT_PERMILLE / WL_PERMILLE;
	uint64_t left_ms;

	if (task->waited_ms >= most_ms || task->free_ms == UINT64_MAX)
		return 0;
	left_ms = most_ms - task->waited_ms;
	return task->free_ms < left_ms ? left_ms : 0;
}
