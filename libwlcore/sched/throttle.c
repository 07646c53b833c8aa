/*
 * Speed of best-effort work beside serving tasks.
 *
 * The users' load swings within seconds, which is too short to move best-effort work to
 * another target. The run that costs most headroom for its work is throttled first, so
 * that the most work is done within the bound.
 */

#include "throttle.h"

/* Margin above the bound: samples come twice a second, load rises between them. */
#define HEADROOM_MIN 1.2
#define PERCENT_STEP 10 /* percent: finer steps are below the noise of the samples */

/* The run with the largest weight whose speed is above 0, or NULL. */
static wl_throttle_run_t *heaviest_run(const wl_interference_t *interference, unsigned int serving,
				       wl_throttle_run_t *runs, size_t count)
{
	wl_throttle_run_t *found = NULL;
	double most = 0;

	for (size_t i = 0; i < count; i++) {
		double weight = wl_interference_weight(interference, serving, runs[i].image);

		if (runs[i].percent == 0 || weight <= most)
			continue;
		found = &runs[i];
		most = weight;
	}
	return found;
}

static double interference_sum(const wl_interference_t *interference, unsigned int serving,
			       const wl_throttle_run_t *runs, size_t count)
{
	double sum = 0;

	for (size_t i = 0; i < count; i++)
		sum += wl_interference_weight(interference, serving, runs[i].image) *
		       runs[i].share * runs[i].percent / WL_SPEED_FULL;
	return sum;
}

static void run_slow(wl_throttle_run_t *run, double excess, double full)
{
	double percent = run->percent - excess / full * WL_SPEED_FULL;

	run->percent = percent > 0 ? (unsigned int)percent / PERCENT_STEP * PERCENT_STEP : 0;
}

/*
 * wl_throttle_choose - set the speed of each best-effort run on a target
 * @serving: the serving tasks whose headroom is known
 * @runs: all best-effort work on the target; percent is written
 */
void wl_throttle_choose(const wl_interference_t *interference, const wl_throttle_serving_t *serving,
			size_t serving_count, wl_throttle_run_t *runs, size_t run_count)
{
	for (size_t i = 0; i < run_count; i++)
		runs[i].percent = WL_SPEED_FULL;
	for (size_t i = 0; i < serving_count; i++) {
		double room = serving[i].headroom - HEADROOM_MIN;
		wl_throttle_run_t *run;
		double excess;

		while ((excess = interference_sum(interference, serving[i].image, runs, run_count) -
				 (room > 0 ? room : 0)) > 0 &&
		       (run = heaviest_run(interference, serving[i].image, runs, run_count)))
			run_slow(
				run, excess,
				wl_interference_weight(interference, serving[i].image, run->image) *
					run->share);
	}
}
