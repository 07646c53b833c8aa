/*
 * Best-effort work beside tasks that serve users.
 *
 * Answers disturbance that differs by pair of images and moves with the load
 * of seconds: the tail of each serving task beside each best-effort image is
 * learnt, work goes where little is known against it, and what disturbs most
 * is stopped once a tail nears its bound.  After a stop the target is left
 * alone until the figures can show it.
 */

#include "internal.h"

#define NEAR_BOUND_PERMILLE 950	 /* of the bound; a task is harmed above it */
#define NEAR_MOST_MS	    1200 /* near its bound for so long, a tail is relieved of everything */
#define PRESS_UNKNOWN	    100	 /* growth, permille, that is reckoned beyond what is known */
#define SETTLE_MS	    700 /* figures are of the last half second, and a stop takes its time */
#define SAMPLE_LEAST_MS	    400 /* a run there for less has no part in the figures yet */

static bool is_settled(const wl_sched_run_t *run, uint64_t now_ns)
{
	return run->begun_ns && now_ns - run->begun_ns >= SAMPLE_LEAST_MS * WL_NS_PER_MS;
}

static bool is_best_effort(const wl_sched_run_t *run)
{
	return run->best_effort && run->phase == WL_RUN_PRESENT && !run->stop_wanted;
}

static uint64_t tail_permille(const wl_sched_run_t *run)
{
	return run->load * WL_US_PER_MS * WL_PERMILLE / run->tail_target_us;
}

static void tail_learn(wl_sched_t *sched, uint64_t now_ns, const wl_sched_runner_t *runner,
		       const wl_sched_run_t *serving)
{
	const wl_sched_run_t *run;
	bool alone = true;

	TAILQ_FOREACH (run, &runner->runs, link) {
		if (!run->best_effort)
			continue;
		alone = false;
		if (is_best_effort(run) && is_settled(run, now_ns))
			wl_images_learn(&sched->images, serving->image, run->image,
					tail_permille(serving));
	}
	if (alone)
		wl_images_learn_alone(&sched->images, serving->image, tail_permille(serving));
}

/*
 * wl_sched_tail_forecast - worst tail on a target if a best-effort image joined it
 *
 * Return: permille of the bound.
 */
uint64_t wl_sched_tail_forecast(const wl_sched_t *sched, const wl_sched_runner_t *runner,
				unsigned int image)
{
	const wl_sched_run_t *run;
	uint64_t worst = 0;

	TAILQ_FOREACH (run, &runner->runs, link) {
		uint64_t tail;

		if (!run->serving)
			continue;
		tail = tail_permille(run) * wl_images_growth(&sched->images, run->image, image) /
		       WL_PERMILLE;
		if (tail > worst)
			worst = tail;
	}
	return worst;
}

/* The best-effort run that presses most on a serving one, or NULL. */
static wl_sched_run_t *worst_beside(const wl_sched_t *sched, const wl_sched_runner_t *runner,
				    const wl_sched_run_t *serving)
{
	wl_sched_run_t *run;
	wl_sched_run_t *worst = NULL;
	uint64_t worst_press = 0;

	TAILQ_FOREACH (run, &runner->runs, link) {
		uint64_t press;

		if (!is_best_effort(run))
			continue;
		press = (wl_images_growth(&sched->images, serving->image, run->image) -
			 WL_PERMILLE + PRESS_UNKNOWN) *
			run->need.cpu_millis;
		if (worst && press <= worst_press)
			continue;
		worst = run;
		worst_press = press;
	}
	return worst;
}

/* The one that presses most; everything, once a tail has been near its bound for a while. */
static size_t press_stop(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner,
			 const wl_sched_run_t *serving, wl_out_t *out)
{
	bool all = now_ns - serving->near_ns >= NEAR_MOST_MS * WL_NS_PER_MS;
	wl_sched_run_t *worst = worst_beside(sched, runner, serving);
	wl_sched_run_t *run;
	size_t stopped = 0;

	TAILQ_FOREACH (run, &runner->runs, link) {
		if (!is_best_effort(run) || (!all && run != worst))
			continue;
		wl_sched_run_stop(sched, now_ns, run, "tail", out);
		stopped++;
	}
	return stopped;
}

static void tail_relieve(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner,
			 const wl_sched_run_t *serving, wl_out_t *out)
{
	size_t stopped = press_stop(sched, now_ns, runner, serving, out);

	if (stopped == 0)
		return;
	runner->relieved_ns = now_ns;
	wl_out_log(out, WL_INFO, "tail-near-bound",
		   "target=" WL_STR_FMT " serving=" WL_STR_FMT
		   " tail_ms=%llu bound_us=%llu near_ms=%llu stopped=%zu",
		   WL_STR_ARG(runner->key), WL_STR_ARG(serving->key),
		   (unsigned long long)serving->load, (unsigned long long)serving->tail_target_us,
		   (unsigned long long)((now_ns - serving->near_ns) / WL_NS_PER_MS), stopped);
}

/* Since when a tail has been near its bound. */
static void near_follow(wl_sched_run_t *serving, uint64_t now_ns)
{
	if (tail_permille(serving) < NEAR_BOUND_PERMILLE)
		serving->near_ns = 0;
	else if (serving->near_ns == 0)
		serving->near_ns = now_ns;
}

/*
 * wl_sched_tails_follow - a target's figures are new: learn from them, relieve what is harmed
 */
void wl_sched_tails_follow(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner,
			   wl_out_t *out)
{
	bool settled = now_ns - runner->relieved_ns >= SETTLE_MS * WL_NS_PER_MS;
	wl_sched_run_t *worst = NULL;
	wl_sched_run_t *run;

	if (!runner->fit.serving)
		return;
	TAILQ_FOREACH (run, &runner->runs, link) {
		if (!run->serving || !run->listed || run->load == 0)
			continue;
		near_follow(run, now_ns);
		tail_learn(sched, now_ns, runner, run);
		if (tail_permille(run) >= NEAR_BOUND_PERMILLE &&
		    (!worst || tail_permille(run) > tail_permille(worst)))
			worst = run;
	}
	if (worst && settled)
		tail_relieve(sched, now_ns, runner, worst, out);
}
