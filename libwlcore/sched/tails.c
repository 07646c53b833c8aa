/*
 * Best-effort work on targets with serving tasks.
 *
 * Headroom is the bound on the tail latency divided by the tail latency: below 1 the bound is
 * exceeded. The share of a run is its reserved CPU divided by the CPU capacity of its target.
 * The speed of a best-effort run, in percent of full speed, is set by THROTTLE orders.
 *
 * Interference differs by pair of images and changes with the load within seconds. The
 * headroom that best-effort work takes from serving tasks is learnt (interference.c), work
 * is placed where headroom is left, and the work that takes most of it is throttled
 * (throttle.c) while a tail latency nears its bound. Work that stays throttled almost to a
 * stop is stopped, so that it may run elsewhere.
 */

#include "internal.h"

#include <float.h>
#include <stdlib.h>

/* Permille: values above a hundred times the bound make no difference. */
#define FORECAST_MAX 100000
#define HEADROOM_MIN 0.01 /* the headroom at FORECAST_MAX */
/* A later answer is useless: the next samples lead to a new choice. */
#define THROTTLE_TIMEOUT_MS 500
#define SPEED_RAISE_MIN	    20	/* percent: smaller increases are not worth an HTTP call */
#define SPEED_STALLED	    20	/* percent: at or below, work progresses faster elsewhere */
#define STALLED_MAX_MS	    500 /* longest time at SPEED_STALLED or below: two samples in a row */

#define BACKGROUND_STALLED_MAX_MS 4000 /* the same for background runs of expired jobs */
#define PROMOTION_MAX_PERMILLE	  900  /* forecast of the bound up to which they take part */

#define SAMPLE_INTERVAL_MS 500 /* interval at which a target updates its tail latencies */
/* With less headroom, a swing of the users' load may exceed the bound within a second. */
#define HEADROOM_CRITICAL 1.7
#define HEADROOMS_GROWTH  4 /* images: most targets serve fewer */

static bool takes_headroom(const wl_sched_run_t *run)
{
	return run->best_effort && !run->background && run->phase != WL_RUN_ENDING &&
	       !run->stop_wanted;
}

static bool is_active_best_effort(const wl_sched_run_t *run)
{
	return run->best_effort && run->phase == WL_RUN_CONFIRMED;
}

static double share_of(const wl_sched_run_t *run)
{
	uint64_t capacity = run->runner->fit.capacity.cpu_millis;

	return capacity ? (double)run->need.cpu_millis / (double)capacity : 0;
}

static double headroom_of(const wl_sched_run_t *serving)
{
	return (double)serving->tail_target_us / (double)(serving->tail_ms * WL_US_PER_MS);
}

/*
 * wl_sched_average_shares_update - update the moving average of the CPU shares of best-effort work
 *
 * It is kept by image and covers the sampling window of the target's tail latencies.
 *
 * Must be called before the best-effort work on the target, or its speed, changes.
 */
void wl_sched_average_shares_update(wl_sched_runner_t *runner, uint64_t now_ns)
{
	wl_interference_shares_t present = {0};
	const wl_sched_run_t *run;

	if (!runner->fit.serving)
		return;
	TAILQ_FOREACH (run, &runner->runs, link)
		if (is_active_best_effort(run))
			present.by_image[run->image] +=
				share_of(run) *
				(run->speed_percent < WL_SPEED_FULL ? run->speed_percent
								    : WL_SPEED_FULL) /
				WL_SPEED_FULL;
	wl_interference_average_update(&runner->average_shares, &present,
				       now_ns - runner->average_updated_ns);
	runner->average_updated_ns = now_ns;
}

/*
 * Sums up the shares reserved for best-effort work on a target, by image. Return: bit N is
 * set if image N is present; only the shares of these are set.
 */
static uint64_t planned_fill(const wl_sched_runner_t *runner, wl_interference_shares_t *planned)
{
	const wl_sched_run_t *run;
	uint64_t images = 0;

	TAILQ_FOREACH (run, &runner->runs, link) {
		uint64_t bit = UINT64_C(1) << run->image;

		if (!takes_headroom(run))
			continue;
		if (!(images & bit))
			planned->by_image[run->image] = 0;
		planned->by_image[run->image] += share_of(run);
		images |= bit;
	}
	return images;
}

static void headroom_add(wl_sched_runner_t *runner, unsigned int image, double headroom)
{
	wl_sched_headroom_t *at = runner->headrooms;

	for (size_t i = 0; i < runner->headroom_count; i++, at++) {
		if (at->image != image)
			continue;
		if (headroom < at->least)
			at->least = headroom;
		return;
	}
	if (runner->headroom_count == runner->headroom_capacity) {
		runner->headroom_capacity += HEADROOMS_GROWTH;
		runner->headrooms = wl_realloc(
			runner->headrooms, runner->headroom_capacity * sizeof(*runner->headrooms));
	}
	runner->headrooms[runner->headroom_count++] = (wl_sched_headroom_t){headroom, image};
}

/*
 * wl_sched_interference_update - recompute the headroom that a target's serving tasks lose
 */
void wl_sched_interference_update(const wl_sched_t *sched, wl_sched_runner_t *runner)
{
	wl_interference_shares_t planned;
	wl_sched_run_t *run;
	uint64_t images;

	if (!runner->interference_stale)
		return;
	runner->interference_stale = false;
	runner->headroom_least = DBL_MAX;
	runner->headroom_count = 0;
	images = planned_fill(runner, &planned);
	TAILQ_FOREACH (run, &runner->serving, serving_link) {
		double headroom;

		run->interference =
			wl_interference_sum_of(&sched->interference, run->image, &planned, images);
		if (run->baseline.at_ns == 0)
			continue;
		headroom = run->baseline.headroom - run->interference;
		headroom_add(runner, run->image, headroom);
		if (headroom < runner->headroom_least)
			runner->headroom_least = headroom;
	}
}

static uint64_t tail_permille(double headroom)
{
	return headroom > HEADROOM_MIN ? (uint64_t)(WL_PERMILLE / headroom) : FORECAST_MAX;
}

/*
 * wl_sched_tail_floor - forecast the worst tail latency without an addition
 *
 * Return: permille of the bound; no addition has a lower forecast.
 */
uint64_t wl_sched_tail_floor(const wl_sched_t *sched, wl_sched_runner_t *runner)
{
	wl_sched_interference_update(sched, runner);
	return tail_permille(runner->headroom_least);
}

/*
 * wl_sched_tail_forecast - forecast the worst tail latency if a best-effort task is added
 * @cpu_millis: of the added task
 *
 * Return: permille of the bound.
 */
uint64_t wl_sched_tail_forecast(const wl_sched_t *sched, wl_sched_runner_t *runner,
				unsigned int image, uint64_t cpu_millis)
{
	double share = (double)cpu_millis / (double)runner->fit.capacity.cpu_millis;
	double least = DBL_MAX;

	wl_sched_interference_update(sched, runner);
	for (size_t i = 0; i < runner->headroom_count; i++) {
		const wl_sched_headroom_t *at = &runner->headrooms[i];
		double headroom = at->least - share * wl_interference_weight(&sched->interference,
									     at->image, image);

		if (headroom < least)
			least = headroom;
	}
	return tail_permille(least);
}

/* The same value within one sampling interval is a re-read, not a new sample. */
static bool sample_is_new(const wl_sched_run_t *serving, uint64_t now_ns)
{
	return serving->tail_ms != serving->last_tail_ms ||
	       now_ns - serving->baseline.at_ns >= SAMPLE_INTERVAL_MS * WL_NS_PER_MS;
}

static void sample_learn(wl_sched_t *sched, uint64_t now_ns, wl_sched_run_t *serving)
{
	const wl_interference_shares_t *average = &serving->runner->average_shares;
	double headroom = headroom_of(serving);

	if (!sample_is_new(serving, now_ns))
		return;
	serving->last_tail_ms = serving->tail_ms;
	wl_interference_update(&sched->interference, &serving->baseline, serving->image, average,
			       headroom, now_ns);
	serving->headroom =
		headroom + wl_interference_sum(&sched->interference, serving->image, average);
}

static double min_of(double a, double b)
{
	return a < b ? a : b;
}

/*
 * wl_sched_tails_at_risk - whether best-effort work may soon bring a tail latency to its
 * bound
 */
bool wl_sched_tails_at_risk(const wl_sched_t *sched, wl_sched_runner_t *runner)
{
	const wl_sched_run_t *run;

	if (!runner->fit.serving || !runner->fit.best_effort_millis)
		return false;
	if (runner->fit.background)
		return true;
	wl_sched_interference_update(sched, runner);
	TAILQ_FOREACH (run, &runner->serving, serving_link)
		if (run->baseline.at_ns == 0 ||
		    run->baseline.headroom - run->interference < HEADROOM_CRITICAL)
			return true;
	return false;
}

static void throttle_send(wl_sched_t *sched, uint64_t now_ns, wl_sched_run_t *run,
			  unsigned int percent, wl_out_t *out)
{
	const wl_job_t *job = wl_jobs_find(sched->jobs, wl_buf_str(&run->job));
	wl_order_t order = {
		.kind = WL_ORDER_THROTTLE,
		.run = run->number,
		.percent = percent,
		.timeout_ms = THROTTLE_TIMEOUT_MS,
	};

	if (!job || run->throttle_sent)
		return;
	run->throttle_sent = true;
	wl_out_log(out, WL_INFO, "run-pace",
		   "run=" WL_STR_FMT " target=" WL_STR_FMT " percent=%u was=%u",
		   WL_STR_ARG(run->key), WL_STR_ARG(run->runner->key), percent, run->speed_percent);
	wl_job_task_ref(job, run->task, &order.task);
	order.task.job = run->job; /* not owned */
	wl_sched_order_add(sched, now_ns, run->runner, &order, run);
}

static bool speed_differs(const wl_sched_run_t *run, unsigned int percent)
{
	if (run->speed_percent == WL_SPEED_UNKNOWN || percent < run->speed_percent)
		return true;
	return percent > run->speed_percent &&
	       (percent >= run->speed_percent + SPEED_RAISE_MIN || percent == WL_SPEED_FULL);
}

/*
 * Whether a run makes so little progress that it had better run elsewhere. No target suits one in
 * the background that nobody waits for: it moves only from where it stands still.
 */
static bool makes_no_progress(const wl_sched_run_t *run, unsigned int percent)
{
	return run->background && run->expired ? percent == 0 : percent <= SPEED_STALLED;
}

static uint64_t throttled_max_ms(const wl_sched_run_t *run)
{
	return run->background && run->expired ? BACKGROUND_STALLED_MAX_MS : STALLED_MAX_MS;
}

static void speed_update(wl_sched_t *sched, uint64_t now_ns, wl_sched_run_t *run,
			 unsigned int percent, wl_out_t *out)
{
	if (!makes_no_progress(run, percent))
		run->throttled_since_ns = 0;
	else if (run->throttled_since_ns == 0)
		run->throttled_since_ns = now_ns;
	if (run->throttled_since_ns &&
	    now_ns - run->throttled_since_ns >= throttled_max_ms(run) * WL_NS_PER_MS) {
		wl_sched_run_stop(sched, now_ns, run, "tail", out);
		return;
	}
	if (speed_differs(run, percent))
		throttle_send(sched, now_ns, run, percent, out);
}

/* Serving tasks and best-effort runs of a target, as arguments of wl_throttle_choose(). */
typedef struct throttle_tables {
	wl_throttle_serving_t *serving;
	size_t serving_count;
	wl_throttle_run_t *rows;
	wl_sched_run_t **runs; /* of each row */
	size_t count;
} throttle_tables_t;

static void tables_init(throttle_tables_t *tables, const wl_sched_runner_t *runner)
{
	wl_sched_run_t *run;
	size_t count = 0;

	TAILQ_FOREACH (run, &runner->runs, link)
		count++;
	tables->serving = wl_alloc(count * sizeof(*tables->serving));
	tables->rows = wl_alloc(count * sizeof(*tables->rows));
	tables->runs = wl_alloc(count * sizeof(wl_sched_run_t *));
	TAILQ_FOREACH (run, &runner->runs, link) {
		/* The lower of both headrooms, so that a rise of the load acts at once. */
		if (run->serving && run->baseline.at_ns)
			tables->serving[tables->serving_count++] = (wl_throttle_serving_t){
				run->image, min_of(run->baseline.headroom, run->headroom)};
		if (!is_active_best_effort(run) || run->stop_wanted)
			continue;
		tables->runs[tables->count] = run;
		tables->rows[tables->count++] = (wl_throttle_run_t){
			.image = run->image, .share = share_of(run), .background = run->background};
	}
}

static bool is_over_bound(const wl_sched_runner_t *runner)
{
	const wl_sched_run_t *run;

	TAILQ_FOREACH (run, &runner->serving, serving_link)
		if (run->tail_ms * WL_US_PER_MS > run->tail_target_us)
			return true;
	return false;
}

/* Work in the background stands still beside a tail over its bound, whatever its weight is. */
static void background_pause(const wl_sched_runner_t *runner, throttle_tables_t *tables)
{
	if (!runner->fit.background || !is_over_bound(runner))
		return;
	for (size_t i = 0; i < tables->count; i++)
		if (tables->rows[i].background)
			tables->rows[i].percent = 0;
}

static void speeds_update(wl_sched_t *sched, uint64_t now_ns, const wl_sched_runner_t *runner,
			  wl_out_t *out)
{
	throttle_tables_t tables = {0};

	tables_init(&tables, runner);
	wl_throttle_choose(&sched->interference, tables.serving, tables.serving_count, tables.rows,
			   tables.count);
	background_pause(runner, &tables);
	for (size_t i = 0; i < tables.count; i++)
		speed_update(sched, now_ns, tables.runs[i], tables.rows[i].percent, out);
	free(tables.serving);
	free(tables.rows);
	free(tables.runs);
}

/* Runs in the background take part like others once the forecast permits it. */
static bool background_promote(wl_sched_t *sched, wl_sched_runner_t *runner)
{
	wl_sched_run_t *run;
	bool promoted = false;

	runner->promotion_due = false;
	if (is_over_bound(runner))
		return false;
	TAILQ_FOREACH (run, &runner->runs, link) {
		if (!run->background || run->expired || run->phase != WL_RUN_CONFIRMED ||
		    wl_sched_tail_forecast(sched, runner, run->image, run->need.cpu_millis) >
			    PROMOTION_MAX_PERMILLE)
			continue;
		run->background = false;
		runner->fit.background--;
		wl_sched_interference_outdate(sched, runner);
		promoted = true;
	}
	return promoted;
}

/*
 * wl_sched_background_promote - let runs in the background take part where headroom was freed
 *
 * Called before a placement pass, which would give the headroom to others.
 */
void wl_sched_background_promote(wl_sched_t *sched, uint64_t now_ns, wl_out_t *out)
{
	wl_sched_runner_t *runner;

	if (!sched->promotion_due)
		return;
	sched->promotion_due = false;
	TAILQ_FOREACH (runner, &sched->runners, link)
		if (runner->fit.background && runner->promotion_due &&
		    background_promote(sched, runner))
			speeds_update(sched, now_ns, runner, out);
}

/*
 * wl_sched_background_throttle - slow a run that was placed whatever the forecast was
 *
 * The next sample would come only after its work has begun to disturb the serving tasks.
 */
void wl_sched_background_throttle(wl_sched_t *sched, uint64_t now_ns, const wl_sched_run_t *run,
				  wl_out_t *out)
{
	if (run->runner->fit.background && run->runner->fit.serving && run->best_effort)
		speeds_update(sched, now_ns, run->runner, out);
}

/*
 * wl_sched_tails_update - learn from new tail samples and adjust the speed of best-effort
 * work
 */
void wl_sched_tails_update(wl_sched_t *sched, uint64_t now_ns, wl_sched_runner_t *runner,
			   wl_out_t *out)
{
	wl_sched_run_t *run;

	TAILQ_FOREACH (run, &runner->serving, serving_link)
		if (run->listed && run->tail_ms > 0)
			sample_learn(sched, now_ns, run);
	wl_sched_interference_outdate(sched, runner);
	if (runner->fit.background)
		background_promote(sched, runner);
	if (runner->fit.best_effort_millis)
		speeds_update(sched, now_ns, runner, out);
}
