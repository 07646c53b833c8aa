/*
 * Best-effort work beside tasks that serve users.
 *
 * Answers disturbance that differs by pair of images and moves with the load
 * of seconds: how much headroom best-effort work takes from serving tasks is
 * learnt (press.c), work goes where headroom is left, and what takes most of
 * it is slowed (pace.c) while a tail nears its bound.  Work that has been held
 * nearly still for a while is stopped, so that it may run elsewhere.
 */

#include "internal.h"

#include <stdlib.h>

#define FORECAST_MOST	 100000 /* permille: a hundred times the bound says no more than twice */
#define HEADROOM_LEAST	 0.01	/* gives that */
#define PACE_TIMEOUT_MS	 500	/* a later answer is of no use: the next figures decide anew */
#define PACE_RAISE_LEAST 20	/* percent: each order costs a call */
#define PACE_STILL	 20	/* percent: held so low, work gets on better elsewhere */
#define STILL_MOST_MS	 500	/* two figures that agree */

#define FIGURE_MS 500 /* a target renews its figures so often */
/* Below, a swing of users' load may pass the bound within a second. */
#define HEADROOM_WATCHED 1.7

static bool is_pressing(const wl_sched_run_t *run)
{
	return run->best_effort && run->phase != WL_RUN_ENDING && !run->stop_wanted;
}

static bool is_running(const wl_sched_run_t *run)
{
	return run->best_effort && run->phase == WL_RUN_PRESENT;
}

static double share_of(const wl_sched_run_t *run)
{
	uint64_t capacity = run->runner->fit.capacity.cpu_millis;

	return capacity ? (double)run->need.cpu_millis / (double)capacity : 0;
}

static double headroom_of(const wl_sched_run_t *serving)
{
	return (double)serving->tail_target_us / (double)(serving->load * WL_US_PER_MS);
}

/*
 * wl_sched_window_follow - bring up to date what a target's figures average over
 *
 * Before anything changes in what runs there.
 */
void wl_sched_window_follow(wl_sched_runner_t *runner, uint64_t now_ns)
{
	wl_press_shares_t present = {0};
	const wl_sched_run_t *run;

	if (!runner->fit.serving)
		return;
	TAILQ_FOREACH (run, &runner->runs, link)
		if (is_running(run))
			present.of[run->image] +=
				share_of(run) *
				(run->pace < WL_PACE_FULL ? run->pace : WL_PACE_FULL) /
				WL_PACE_FULL;
	wl_press_window(&runner->window, &present, now_ns - runner->window_ns);
	runner->window_ns = now_ns;
}

/* Shares that best-effort work on a target is given, by image; bit N of the result: image N is
 * there. */
static uint64_t planned_fill(const wl_sched_runner_t *runner, wl_press_shares_t *planned)
{
	const wl_sched_run_t *run;
	uint64_t images = 0;

	TAILQ_FOREACH (run, &runner->runs, link) {
		uint64_t bit = UINT64_C(1) << run->image;

		if (!is_pressing(run))
			continue;
		if (!(images & bit))
			planned->of[run->image] = 0;
		planned->of[run->image] += share_of(run);
		images |= bit;
	}
	return images;
}

/*
 * wl_sched_pressed_follow - bring up to date what best-effort work takes from serving tasks
 */
void wl_sched_pressed_follow(const wl_sched_t *sched, wl_sched_runner_t *runner)
{
	wl_press_shares_t planned;
	wl_sched_run_t *run;
	uint64_t images;

	if (!runner->pressed_due)
		return;
	runner->pressed_due = false;
	images = planned_fill(runner, &planned);
	TAILQ_FOREACH (run, &runner->serving, serving_link)
		run->pressed = wl_press_sum_of(&sched->press, run->image, &planned, images);
}

/*
 * wl_sched_tail_forecast - worst tail on a target if a best-effort task joined it
 *
 * Return: permille of the bound.
 */
uint64_t wl_sched_tail_forecast(const wl_sched_t *sched, wl_sched_runner_t *runner,
				unsigned int image, uint64_t cpu_millis)
{
	double share = (double)cpu_millis / (double)runner->fit.capacity.cpu_millis;
	const wl_sched_run_t *run;
	uint64_t worst = 0;

	wl_sched_pressed_follow(sched, runner);
	TAILQ_FOREACH (run, &runner->serving, serving_link) {
		double headroom;
		uint64_t tail;

		if (run->level.at_ns == 0)
			continue;
		headroom = run->level.headroom - run->pressed -
			   share * wl_press_weight(&sched->press, run->image, image);
		tail = headroom > HEADROOM_LEAST ? (uint64_t)(WL_PERMILLE / headroom)
						 : FORECAST_MOST;
		if (tail > worst)
			worst = tail;
	}
	return worst;
}

/* A figure that is read again is not a second one. */
static bool figure_is_new(const wl_sched_run_t *serving, uint64_t now_ns)
{
	return serving->load != serving->figure ||
	       now_ns - serving->level.at_ns >= FIGURE_MS * WL_NS_PER_MS;
}

static void figure_learn(wl_sched_t *sched, uint64_t now_ns, wl_sched_run_t *serving)
{
	const wl_press_shares_t *window = &serving->runner->window;
	double headroom = headroom_of(serving);

	if (!figure_is_new(serving, now_ns))
		return;
	serving->figure = serving->load;
	wl_press_learn(&sched->press, &serving->level, serving->image, window, headroom, now_ns);
	serving->headroom = headroom + wl_press_sum(&sched->press, serving->image, window);
}

static double least(double a, double b)
{
	return a < b ? a : b;
}

/*
 * wl_sched_tails_watched - may best-effort work on a target bring a tail to its bound soon
 */
bool wl_sched_tails_watched(const wl_sched_t *sched, wl_sched_runner_t *runner)
{
	const wl_sched_run_t *run;

	if (!runner->fit.serving || !runner->fit.best_effort_millis)
		return false;
	wl_sched_pressed_follow(sched, runner);
	TAILQ_FOREACH (run, &runner->serving, serving_link)
		if (run->level.at_ns == 0 || run->level.headroom - run->pressed < HEADROOM_WATCHED)
			return true;
	return false;
}

static void pace_send(wl_sched_t *sched, uint64_t now_ns, wl_sched_run_t *run, unsigned int percent,
		      wl_out_t *out)
{
	const wl_job_t *job = wl_jobs_find(sched->jobs, wl_buf_str(&run->job));
	wl_order_t order = {
		.kind = WL_ORDER_THROTTLE,
		.run = run->number,
		.percent = percent,
		.timeout_ms = PACE_TIMEOUT_MS,
	};

	if (!job || run->pace_sent)
		return;
	run->pace_sent = true;
	wl_out_log(out, WL_INFO, "run-pace",
		   "run=" WL_STR_FMT " target=" WL_STR_FMT " percent=%u was=%u",
		   WL_STR_ARG(run->key), WL_STR_ARG(run->runner->key), percent, run->pace);
	wl_job_place(job, run->task, &order.task);
	order.task.job = run->job; /* borrowed */
	wl_sched_order(sched, now_ns, run->runner, &order, run);
}

static bool pace_differs(const wl_sched_run_t *run, unsigned int percent)
{
	if (run->pace == WL_PACE_UNKNOWN || percent < run->pace)
		return true;
	return percent > run->pace &&
	       (percent >= run->pace + PACE_RAISE_LEAST || percent == WL_PACE_FULL);
}

static void pace_follow(wl_sched_t *sched, uint64_t now_ns, wl_sched_run_t *run,
			unsigned int percent, wl_out_t *out)
{
	if (percent > PACE_STILL)
		run->slow_ns = 0;
	else if (run->slow_ns == 0)
		run->slow_ns = now_ns;
	if (run->slow_ns && now_ns - run->slow_ns >= STILL_MOST_MS * WL_NS_PER_MS) {
		wl_sched_run_stop(sched, now_ns, run, "tail", out);
		return;
	}
	if (pace_differs(run, percent))
		pace_send(sched, now_ns, run, percent, out);
}

/* The serving tasks and the best-effort runs of a target, as the choice of speeds takes them. */
typedef struct pace_tables {
	wl_pace_serving_t *serving;
	size_t serving_count;
	wl_pace_run_t *rows;
	wl_sched_run_t **runs; /* of the rows */
	size_t count;
} pace_tables_t;

static void tables_fill(pace_tables_t *tables, const wl_sched_runner_t *runner)
{
	wl_sched_run_t *run;
	size_t count = 0;

	TAILQ_FOREACH (run, &runner->runs, link)
		count++;
	tables->serving = wl_alloc(count * sizeof(*tables->serving));
	tables->rows = wl_alloc(count * sizeof(*tables->rows));
	tables->runs = wl_alloc(count * sizeof(wl_sched_run_t *));
	TAILQ_FOREACH (run, &runner->runs, link) {
		if (run->serving && run->level.at_ns)
			tables->serving[tables->serving_count++] = (wl_pace_serving_t){
				run->image, least(run->level.headroom, run->headroom)};
		if (!is_running(run) || run->stop_wanted)
			continue;
		tables->runs[tables->count] = run;
		tables->rows[tables->count++] = (wl_pace_run_t){run->image, share_of(run), 0};
	}
}

static void paces_follow(wl_sched_t *sched, uint64_t now_ns, const wl_sched_runner_t *runner,
			 wl_out_t *out)
{
	pace_tables_t tables = {0};

	tables_fill(&tables, runner);
	wl_pace_choose(&sched->press, tables.serving, tables.serving_count, tables.rows,
		       tables.count);
	for (size_t i = 0; i < tables.count; i++)
		pace_follow(sched, now_ns, tables.runs[i], tables.rows[i].percent, out);
	free(tables.serving);
	free(tables.rows);
	free(tables.runs);
}

/*
 * wl_sched_tails_follow - a target's figures are new: learn from them, slow what harms
 */
void wl_sched_tails_follow(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner,
			   wl_out_t *out)
{
	wl_sched_run_t *run;

	TAILQ_FOREACH (run, &runner->serving, serving_link)
		if (run->listed && run->load > 0)
			figure_learn(sched, now_ns, run);
	runner->pressed_due = true;
	if (runner->fit.best_effort_millis)
		paces_follow(sched, now_ns, runner, out);
}
