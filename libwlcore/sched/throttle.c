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
/* Work in the background leaves this margin, as long as its speed is above the lowest. */
#define HEADROOM_BACKGROUND 1.7
#define BACKGROUND_PERCENT  10
#define PERCENT_STEP	    10 /* percent: finer steps are below the noise of the samples */

static bool slowed_before(const wl_throttle_run_t *run, double weight,
			  const wl_throttle_run_t *other, double other_weight)
{
	if (!other || run->background != other->background)
		return !other || run->background;
	return weight > other_weight;
}

/*
 * The run to slow next, among those that take headroom and whose speed is above 0, or NULL: one
 * in the background, else the one with the largest weight.
 */
static wl_throttle_run_t *next_run(const wl_interference_t *interference, unsigned int serving,
				   wl_throttle_run_t *runs, size_t count)
{
	wl_throttle_run_t *found = NULL;
	double most = 0;

	for (size_t i = 0; i < count; i++) {
		double weight = wl_interference_weight(interference, serving, runs[i].image);

		if (runs[i].percent == 0 || weight <= 0 ||
		    !slowed_before(&runs[i], weight, found, most))
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

static void background_slow(const wl_interference_t *interference,
			    const wl_throttle_serving_t *serving, wl_throttle_run_t *runs,
			    size_t run_count)
{
	for (size_t i = 0; i < run_count; i++) {
		double weight = wl_interference_weight(interference, serving->image, runs[i].image);
		double excess = interference_sum(interference, serving->image, runs, run_count) -
				(serving->headroom - HEADROOM_BACKGROUND);

		if (!runs[i].background || excess <= 0 || weight <= 0)
			continue;
		run_slow(&runs[i], excess, weight * runs[i].share);
		if (runs[i].percent < BACKGROUND_PERCENT)
			runs[i].percent = BACKGROUND_PERCENT;
	}
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
	for (size_t i = 0; i < serving_count; i++)
		background_slow(interference, &serving[i], runs, run_count);
	for (size_t i = 0; i < serving_count; i++) {
		double room = serving[i].headroom - HEADROOM_MIN;
		wl_throttle_run_t *run;
		double excess;

		while ((excess = interference_sum(interference, serving[i].image, runs, run_count) -
				 (room > 0 ? room : 0)) > 0 &&
		       (run = next_run(interference, serving[i].image, runs, run_count)))
			run_slow(
				run, excess,
				wl_interference_weight(interference, serving[i].image, run->image) *
					run->share);
	}
}
