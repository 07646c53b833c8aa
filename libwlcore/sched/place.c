/* Placement of pending tasks on targets. All starts of one pass are proposed as one command. */

#include "internal.h"

#include <stdlib.h>
#include <string.h>

/*
 * After so many batches that fit on no target, a pass leaves the order of ranks: it considers the
 * batches that no pass has considered for UNTRIED_MAX_MS, the longest first, for LATE_COST_MAX_NS.
 * So each batch is considered again and again, however many wait before it. Stalled batches are
 * counted apart.
 */
#define MISSES_MAX	 64
#define UNTRIED_MAX_MS	 1000
#define LATE_COST_MAX_NS (5 * WL_NS_PER_MS)
#define UNTRIED_RETRY_MS 50 /* pause between two passes for such batches alone */
/*
 * A pass in which the batches that were placed have cost so much leaves the rest to the next one:
 * other events must not wait. One in which the others have considers no more of those that wait.
 */
#define PLACED_COST_MAX_NS (25 * WL_NS_PER_MS)
#define MISSED_COST_MAX_NS (25 * WL_NS_PER_MS)
#define PASS_SHARE	   2 /* passes take one of so many parts of the time */
/* Between two passes: tasks that arrive together are committed together. */
#define PASS_INTERVAL_MIN_US 2000
/*
 * With a backlog on a large fleet, passes would take all CPU time. They are limited to a
 * share of it, by the cost of checking a batch against a target as measured by
 * wl-bench-jobs.
 *
 * Best-effort work that waits for room has a limit of its own: passes between its full
 * passes consider only tasks with reserved CPU, which would otherwise wait for them.
 */
#define CHECK_COST_NS	  50
#define ROW_COST_NS	  3   /* of a target that its row rules out */
#define BATCH_COST_NS	  500 /* of a batch that needs no look at targets */
#define PASS_CPU_PERMILLE 100

/* Targets of which the best one is taken for a suspected task. */
#define CANDIDATES_SUSPECT 64
/* Distance of the targets at which the searches for two tasks begin. */
#define ROWS_APART 97

static uint64_t same_step(const wl_sched_runner_t *runner, const wl_task_batch_t *batch)
{
	const wl_sched_run_t *run;
	uint64_t count = 0;

	TAILQ_FOREACH (run, &runner->runs, link) {
		wl_task_ref_t at;

		if (!wl_str_equal(wl_buf_str(&run->job), batch->job->key))
			continue;
		wl_job_task_ref(batch->job, run->task, &at);
		count += at.occurrence == batch->occurrence && at.step == batch->step;
	}
	return count;
}

static uint64_t other_image_millis(const wl_sched_runner_t *runner, unsigned int image)
{
	const wl_sched_run_t *run;
	uint64_t sum = 0;

	TAILQ_FOREACH (run, &runner->serving, serving_link)
		if (run->image != image)
			sum += run->need.cpu_millis;
	return sum;
}

/*
 * wl_sched_runner_fits - whether a target has room for a task, whatever is on trial there
 *
 * The expensive checks come last.
 */
bool wl_sched_runner_fits(wl_sched_t *sched, wl_sched_runner_t *runner,
			  const wl_task_batch_t *batch, const wl_fit_request_t *request)
{
	const wl_step_spec_t *step = request->step;
	bool interferes = step->best_effort && runner->fit.serving;

	if (interferes && runner->interference_stale)
		wl_sched_interference_update(sched, runner);
	if (!wl_fit_has_capacity(request, &runner->fit))
		return false;
	runner->fit.same_step = step->max_per_target ? same_step(runner, batch) : 0;
	runner->fit.tail_permille = interferes ? wl_sched_tail_floor(sched, runner) : 0;
	if (!wl_fit_allows(request, &runner->fit))
		return false;
	if (!interferes)
		return true;
	runner->fit.tail_permille =
		wl_sched_tail_forecast(sched, runner, batch->image, step->cpu_millis);
	return wl_fit_allows(request, &runner->fit);
}

/* A target on which the next task of a step may start. */
typedef struct candidate {
	wl_sched_runner_t *runner;
	int64_t score;
} candidate_t;

typedef struct candidates {
	candidate_t *items; /* with capacity for all targets, in their order; NULL: not used yet */
	size_t count;
	/* largest free amounts when first used in the pass; -1: no usable target */
	wl_fit_free_t free_max;
	/*
	 * No target with room has a lower forecast tail latency among those that it rules out;
	 * permille of the bound, UINT64_MAX: it rules out none
	 */
	uint64_t least_tail;
	bool limited;	  /* max_per_target ruled out a target with room */
	bool on_trial;	  /* runs on trial ruled out a target that may have room */
	uint64_t cost_ns; /* estimated, of all looks at targets in the pass */
	uint64_t checks;  /* targets checked in the pass, without those that their rows rule out */
} candidates_t;

static void candidates_init(wl_sched_t *sched, candidates_t *candidates)
{
	if (candidates->items)
		return;
	wl_sched_rows_update(sched);
	candidates->items = wl_alloc(wl_map_count(&sched->by_runner) * sizeof(*candidates->items));
	candidates->free_max = wl_sched_rows_free_max(sched);
}

static void tail_note(candidates_t *candidates, uint64_t tail_permille)
{
	if (tail_permille < candidates->least_tail)
		candidates->least_tail = tail_permille;
}

static bool candidate_evaluate(wl_sched_t *sched, wl_sched_runner_t *runner,
			       const wl_task_batch_t *batch, const wl_fit_request_t *request,
			       candidates_t *candidates, candidate_t *candidate)
{
	candidates->cost_ns += CHECK_COST_NS;
	candidates->checks++;
	if (sched->jobs->suspects > 0 && !wl_sched_trials_allow(runner, batch)) {
		candidates->on_trial = true;
		return false;
	}
	if (!wl_sched_runner_fits(sched, runner, batch, request)) {
		if (!wl_fit_has_capacity(request, &runner->fit))
			return false;
		tail_note(candidates, runner->fit.tail_permille);
		candidates->limited |= request->step->max_per_target > 0;
		return false;
	}
	runner->fit.other_image_millis =
		request->step->lasting ? other_image_millis(runner, batch->image) : 0;
	*candidate = (candidate_t){
		runner, wl_sched_suspect_score(runner, batch,
					       sched->placement->score(request, &runner->fit))};
	return true;
}

/*
 * Recomputes outdated interference when no target has capacity for the step. The result
 * depends on the time of the computation, because the coefficients are learnt. Checking each
 * target would recompute it now, so skipping the checks must not postpone that.
 */
static void interference_refresh(wl_sched_t *sched, const wl_step_spec_t *step)
{
	if (!step->best_effort)
		return;
	for (size_t i = 0; i < sched->row_count; i++)
		if (sched->rows[i].tail_outdated)
			wl_sched_row_tail_update(sched, &sched->rows[i]);
}

/*
 * Whether a task of the batch may fit on the target of a row; false if it certainly does not. The
 * headroom there is refreshed as if the target itself were checked.
 */
static bool row_may_fit(const wl_sched_t *sched, wl_sched_row_t *row, const wl_task_batch_t *batch,
			const wl_fit_request_t *request, uint64_t tail_limit,
			candidates_t *candidates)
{
	if (row->free_outdated)
		wl_sched_row_free_update(row);
	if (request->step->best_effort && row->tail_outdated) {
		if (sched->jobs->suspects > 0 && !wl_sched_trials_allow(row->runner, batch))
			return false;
		wl_sched_row_tail_update(sched, row);
	}
	if (!wl_fit_free_suffices(&row->free, request))
		return false;
	if (row->tail_floor <= tail_limit)
		return true;
	tail_note(candidates, row->tail_floor);
	return false;
}

/*
 * How many candidates suffice. Each suspected task is a batch of its own: after many crashes a full
 * search for each would take all time.
 */
static size_t candidates_wanted(const wl_task_batch_t *batch, const wl_fit_request_t *request)
{
	if (!batch->suspect || request->step->same_rack || request->step->data_rack.len)
		return SIZE_MAX;
	return CANDIDATES_SUSPECT;
}

/* Where the search begins: elsewhere for each task that takes the first candidates. */
static size_t first_row(const wl_sched_t *sched, const wl_task_batch_t *batch, size_t wanted)
{
	if (wanted == SIZE_MAX || sched->row_count == 0)
		return 0;
	return (size_t)(batch->tasks[batch->count - 1].task * ROWS_APART + sched->pass_count) %
	       sched->row_count;
}

static void candidates_collect(wl_sched_t *sched, const wl_task_batch_t *batch,
			       const wl_fit_request_t *request, candidates_t *candidates)
{
	size_t wanted = candidates_wanted(batch, request);
	size_t first = first_row(sched, batch, wanted);
	uint64_t tail_limit = wl_fit_tail_limit(request);

	candidates_init(sched, candidates);
	candidates->count = 0;
	candidates->least_tail = UINT64_MAX;
	candidates->limited = false;
	candidates->on_trial = false;
	if (!wl_fit_free_suffices(&candidates->free_max, request)) {
		interference_refresh(sched, request->step);
		return;
	}
	candidates->cost_ns += sched->row_count * ROW_COST_NS;
	for (size_t i = 0; i < sched->row_count && candidates->count < wanted; i++) {
		wl_sched_row_t *row = &sched->rows[(first + i) % sched->row_count];

		if (row_may_fit(sched, row, batch, request, tail_limit, candidates))
			candidates->count +=
				candidate_evaluate(sched, row->runner, batch, request, candidates,
						   &candidates->items[candidates->count]);
	}
}

/* The first candidate with the highest score, or NULL. */
static candidate_t *candidates_best(candidates_t *candidates)
{
	candidate_t *best = NULL;

	for (size_t i = 0; i < candidates->count; i++)
		if (!best || candidates->items[i].score > best->score)
			best = &candidates->items[i];
	return best;
}

/*
 * Checks a target again after a task of the step was placed there. The others have not
 * changed.
 */
static void candidate_update(wl_sched_t *sched, const wl_task_batch_t *batch,
			     const wl_fit_request_t *request, candidates_t *candidates,
			     candidate_t *candidate)
{
	candidate_t *end = candidates->items + candidates->count;

	if (candidate_evaluate(sched, candidate->runner, batch, request, candidates, candidate))
		return;
	memmove(candidate, candidate + 1, (size_t)(end - candidate - 1) * sizeof(*candidate));
	candidates->count--;
}

static void start_add(wl_sched_t *sched, const wl_sched_run_t *run)
{
	wl_run_start_t *row = wl_list_add(&wl_run_start_schema, &sched->starts.runs);

	wl_buf_set(&row->job, wl_buf_str(&run->job));
	row->task = run->task;
	row->run = run->number;
	wl_buf_set(&row->runner, run->runner->key);
	row->incarnation = run->incarnation;
}

/* All members of a gang get the same number, above the newest one of any member. */
static uint64_t next_run_number(const wl_task_batch_t *batch, uint64_t task)
{
	wl_task_ref_t at = {.occurrence = batch->occurrence, .step = batch->step};
	uint64_t highest = batch->job->tasks[task].run;
	uint64_t member;

	if (!wl_job_step(batch->job, batch->step)->gang)
		return highest + 1;
	for (at.index = 0; wl_job_task_index(batch->job, &at, &member); at.index++)
		if (batch->job->tasks[member].run > highest)
			highest = batch->job->tasks[member].run;
	return highest + 1;
}

static void task_place(wl_sched_t *sched, uint64_t now_ns, wl_task_batch_t *batch, uint64_t number,
		       wl_sched_runner_t *runner, bool background)
{
	const wl_batch_task_t *pending = &batch->tasks[--batch->count];
	wl_sched_run_t *run = wl_sched_run_add(sched, runner, batch->job, pending->task, number);

	run->phase = WL_RUN_PROPOSED;
	run->placed_ns = now_ns;
	if (batch->suspicion.urgent && batch->suspicion.level == WL_TRIAL_APART)
		wl_sched_trial_share(run, batch->job);
	batch->placed_ns = now_ns;
	if (batch->first_placed_ns == 0)
		batch->first_placed_ns = now_ns;
	run->waited_ns = now_ns - batch->queued_ns;
	run->previous_end_ns = pending->ended_ns;
	run->background = background;
	run->expired = wl_ordering_expired(batch->rank);
	runner->fit.background += background;
	sched->promotion_due |= background;
	if (batch->rack.len == 0)
		wl_buf_set(&batch->rack, wl_buf_str(&runner->state->report.rack));
	start_add(sched, run);
	wl_sched_job_placed(batch->job, run);
}

/* Whether trials of its job hold up the batch. */
static bool trials_wait(wl_task_batch_t *batch, uint64_t members)
{
	wl_hold_t hold = wl_sched_trials_hold(batch, members);

	if (hold == WL_HOLD_NONE)
		return false;
	batch->hold = hold;
	return true;
}

/* Whether what is free is kept for short work. */
static bool reserve_waits(wl_sched_t *sched, uint64_t now_ns, wl_task_batch_t *batch)
{
	if (!wl_sched_reserve_holds(sched, now_ns, batch))
		return false;
	batch->hold = WL_HOLD_RESERVE;
	return true;
}

/* Notes when a batch that waits is to be considered at the latest. */
static void due_at(wl_sched_t *sched, uint64_t due_ns)
{
	if (sched->waiting_due_ns == 0 || due_ns < sched->waiting_due_ns)
		sched->waiting_due_ns = due_ns;
}

/*
 * Whether the next task waits for a place near its data or group, as its best target is not near;
 * counts it as placed if it does not.
 */
static bool near_waits(wl_sched_t *sched, uint64_t now_ns, wl_task_batch_t *batch,
		       const wl_fit_request_t *request, const candidate_t *best)
{
	bool remote = wl_fit_is_remote(request, &best->runner->fit);
	uint64_t until_ns = remote ? wl_sched_wait_near(sched, now_ns, batch, request) : 0;

	if (until_ns) {
		batch->hold = WL_HOLD_NEAR;
		due_at(sched, until_ns);
		return true;
	}
	if (request->step->data_rack.len || (request->step->same_rack && request->rack.len))
		wl_sched_near_placed(sched, batch, !remote);
	return false;
}

/*
 * Places all members of a gang, or none: a partial reservation is released. A gang of which members
 * still run waits for these.
 */
static bool gang_place(wl_sched_t *sched, uint64_t now_ns, wl_task_batch_t *batch,
		       const wl_fit_request_t *request, candidates_t *candidates)
{
	size_t members = wl_job_step(batch->job, batch->step)->count;
	size_t first_row = sched->starts.runs.count;
	uint64_t placed_ns = batch->placed_ns;
	wl_run_start_t *rows;
	candidate_t *best;
	uint64_t number;

	if (batch->count < members)
		return true;
	if (trials_wait(batch, members))
		return true;
	number = next_run_number(batch, batch->tasks[0].task);
	candidates_collect(sched, batch, request, candidates);
	while (batch->count > 0 && (best = candidates_best(candidates))) {
		task_place(sched, now_ns, batch, number, best->runner, request->background);
		if (batch->count > 0)
			candidate_update(sched, batch, request, candidates, best);
	}
	if (batch->count == 0)
		return true;
	rows = sched->starts.runs.items;
	for (size_t i = sched->starts.runs.count; i-- > first_row;) {
		wl_sched_run_t *run = wl_sched_run_find(sched, wl_buf_str(&rows[i].job),
							rows[i].task, rows[i].run);

		wl_sched_job_not_started(batch->job, run);
		wl_sched_run_remove(sched, run);
		batch->count++; /* its entry is still in batch->tasks */
		wl_record_free(&wl_run_start_schema, &rows[i]);
	}
	sched->starts.runs.count = first_row;
	batch->placed_ns = placed_ns;
	wl_buf_clear(&batch->rack);
	return false;
}

/*
 * Updates the preferred rack. Return: whether the scores have changed with it, which
 * happens once the first task of a same_rack step is placed.
 */
static bool rack_update(const wl_task_batch_t *batch, wl_fit_request_t *request)
{
	bool changes =
		request->step->same_rack && !wl_str_equal(request->rack, wl_buf_str(&batch->rack));

	request->rack = wl_buf_str(&batch->rack);
	return changes;
}

static bool tasks_place(wl_sched_t *sched, uint64_t now_ns, wl_task_batch_t *batch,
			wl_fit_request_t *request, candidates_t *candidates)
{
	if (trials_wait(batch, 1) || reserve_waits(sched, now_ns, batch))
		return true;
	request->rack = wl_buf_str(&batch->rack);
	candidates_collect(sched, batch, request, candidates);
	for (;;) {
		candidate_t *best = candidates_best(candidates);

		if (!best)
			return false;
		if (near_waits(sched, now_ns, batch, request, best))
			return true;
		task_place(sched, now_ns, batch,
			   next_run_number(batch, batch->tasks[batch->count - 1].task),
			   best->runner, request->background);
		if (batch->count == 0 || trials_wait(batch, 1) ||
		    reserve_waits(sched, now_ns, batch))
			return true;
		if (request->background) {
			request->background = false;
			candidates_collect(sched, batch, request, candidates);
			continue;
		}
		if (rack_update(batch, request))
			candidates_collect(sched, batch, request, candidates);
		else
			candidate_update(sched, batch, request, candidates, best);
	}
}

static uint64_t waited_ms(const wl_task_batch_t *batch, uint64_t now_ns)
{
	return (now_ns - batch->ready_ns) / WL_NS_PER_MS;
}

/*
 * wl_sched_fit_request - describe a task of a batch to the placement policies
 */
wl_fit_request_t wl_sched_fit_request(uint64_t now_ns, const wl_task_batch_t *batch)
{
	return (wl_fit_request_t){
		.step = wl_job_step(batch->job, batch->step),
		.waited_ms = waited_ms(batch, now_ns),
		.service = wl_buf_str(&batch->job->record.service),
		.background = wl_sched_batch_stalled(batch, now_ns),
	};
}

static uint64_t members_of(const wl_step_spec_t *step)
{
	return step->gang ? step->count : 1;
}

/*
 * Return: false if a task of the batch fits on no target. Tasks may also have to wait for other
 * runs of their job.
 */
static bool batch_place(wl_sched_t *sched, uint64_t now_ns, wl_task_batch_t *batch,
			candidates_t *candidates)
{
	wl_fit_request_t request = wl_sched_fit_request(now_ns, batch);

	batch->suspicion = wl_sched_suspicion(batch, now_ns);
	if (batch->suspicion.urgent &&
	    wl_sched_trials_hold(batch, members_of(request.step)) != WL_HOLD_NONE)
		wl_sched_suspicion_share(batch);
	do {
		if (request.step->gang ? gang_place(sched, now_ns, batch, &request, candidates)
				       : tasks_place(sched, now_ns, batch, &request, candidates))
			return true;
	} while (wl_sched_suspicion_share(batch));
	batch->hold = candidates->on_trial ? WL_HOLD_APART : WL_HOLD_ROOM;
	wl_sched_targets_keep(sched, batch, &request);
	return false;
}

/*
 * A batch that fitted on no target in this pass. Batches of its service, and of its image if they
 * are best-effort, that need at least as much are skipped, as long as the forecast tail latency
 * that they may have is below that of every target with room.
 */
typedef struct miss {
	wl_str_t service;
	wl_str_t label;	 /* empty: it requires none */
	bool background; /* no target has room, whatever the forecast */
	bool best_effort;
	unsigned int image;
	uint64_t members;    /* tasks that must start together */
	wl_need_t need;	     /* of each */
	uint64_t least_tail; /* permille of the bound; UINT64_MAX: no target has room */
} miss_t;

typedef struct pass {
	uint64_t now_ns;
	size_t starts_room; /* starts that agents can carry beyond those in flight */
	bool full;	    /* considers best-effort work too */
	size_t stalled_misses;
	size_t misses[2]; /* by best_effort */
	size_t suspect_misses;
	bool late; /* considers the batches that wait for it longest; no more misses are counted */
	uint64_t placed_cost_ns; /* of the batches that did not miss */
	uint64_t missed_cost_ns; /* of those that did */
	miss_t unplaceable[MISSES_MAX];
	size_t unplaceable_count;
	candidates_t candidates;
} pass_t;

/* Grows by what the pass costs, ns: by the clock, or estimated. */
static uint64_t cost_ns(const wl_sched_t *sched, const pass_t *pass)
{
	return sched->options.cost_clock_ns ? sched->options.cost_clock_ns()
					    : pass->candidates.cost_ns;
}

/*
 * Whether so many batches fitted on no target, or cost so much, that this one is not considered by
 * its rank.
 */
static bool is_ended(const pass_t *pass, const wl_task_batch_t *batch)
{
	if (pass->missed_cost_ns >= MISSED_COST_MAX_NS)
		return true;
	if (batch->suspect && pass->suspect_misses >= MISSES_MAX)
		return true;
	return (wl_sched_batch_stalled(batch, pass->now_ns)
			? pass->stalled_misses
			: pass->misses[false] + pass->misses[true]) >= MISSES_MAX;
}

static uint64_t untried_due_ns(const wl_task_batch_t *batch)
{
	return batch->tried_ns + UNTRIED_MAX_MS * WL_NS_PER_MS;
}

/* Best-effort work is considered by full passes only. */
static bool is_left_out(const pass_t *pass, const wl_task_batch_t *batch)
{
	return !pass->full && wl_job_step(batch->job, batch->step)->best_effort;
}

/* Whether a batch of the request and image misses too, if it is of the same service. */
static bool misses_too(const miss_t *miss, const wl_fit_request_t *request, unsigned int image,
		       uint64_t tail_limit)
{
	const wl_step_spec_t *step = request->step;

	if (step->cpu_millis < miss->need.cpu_millis || step->memory_mib < miss->need.memory_mib ||
	    step->accelerators < miss->need.accelerators || members_of(step) < miss->members ||
	    step->best_effort != miss->best_effort || request->background != miss->background)
		return false;
	if (miss->label.len && !wl_str_equal(miss->label, wl_buf_str(&step->label)))
		return false;
	if (request->background || !step->best_effort)
		return true;
	return image == miss->image &&
	       (miss->least_tail == UINT64_MAX || tail_limit < miss->least_tail);
}

static bool is_unplaceable(const pass_t *pass, const wl_task_batch_t *batch)
{
	wl_fit_request_t request = wl_sched_fit_request(pass->now_ns, batch);
	uint64_t tail_limit = wl_fit_tail_limit(&request);

	for (size_t i = 0; i < pass->unplaceable_count; i++)
		if (misses_too(&pass->unplaceable[i], &request, batch->image, tail_limit) &&
		    wl_str_equal(pass->unplaceable[i].service, request.service))
			return true;
	return false;
}

static void suspects_due(wl_sched_t *sched, const wl_task_batch_t *batch)
{
	uint64_t due_ns = wl_sched_suspects_due_ns(batch);

	if (due_ns && (sched->suspects_due_ns == 0 || due_ns < sched->suspects_due_ns))
		sched->suspects_due_ns = due_ns;
}

/* Notes when the next task of a batch may be placed whatever the forecast is. */
static void stalled_due(wl_sched_t *sched, const pass_t *pass, const wl_task_batch_t *batch)
{
	uint64_t due_ns = wl_sched_stalled_due_ns(batch, pass->now_ns);

	if (batch->count > 0 && due_ns)
		due_at(sched, due_ns);
}

/* Notes when the next task of a batch that trials hold up waits for them no longer. */
static void urgent_due(wl_sched_t *sched, const pass_t *pass, const wl_task_batch_t *batch)
{
	uint64_t due_ns = wl_sched_urgent_due_ns(batch, pass->now_ns);

	if (batch->hold != WL_HOLD_NONE && batch->hold != WL_HOLD_ROOM && due_ns)
		due_at(sched, due_ns);
}

/* Notes when the batches that this pass has not considered are due. */
static void untried_due(wl_sched_t *sched, const pass_t *pass)
{
	const wl_task_batch_t *longest = TAILQ_FIRST(&sched->by_tried);
	uint64_t retry_ns = pass->now_ns + UNTRIED_RETRY_MS * WL_NS_PER_MS;

	if (longest && longest->tried_ns < pass->now_ns)
		due_at(sched,
		       untried_due_ns(longest) > retry_ns ? untried_due_ns(longest) : retry_ns);
}

/* Whether no usable target of the service has the label that the step requires. */
static bool is_label_lost(const wl_sched_t *sched, const wl_fit_request_t *request)
{
	const wl_sched_runner_t *runner;

	if (request->step->label.len == 0)
		return false;
	TAILQ_FOREACH (runner, &sched->runners, link)
		if (runner->fit.usable && wl_str_equal(runner->fit.service, request->service) &&
		    wl_fit_has_label(request->step, &runner->fit))
			return false;
	return true;
}

/*
 * Whether the miss of a batch tells of others: it does not if the runs of its own job or the trials
 * of its tasks ruled targets out. The members of a best-effort gang add to the forecasts.
 */
static bool is_telling(const pass_t *pass, const wl_task_batch_t *batch)
{
	const wl_step_spec_t *step = wl_job_step(batch->job, batch->step);

	if (pass->candidates.limited || batch->suspicion.level != WL_TRIAL_NONE)
		return false;
	return !step->gang || !step->best_effort || pass->candidates.least_tail == UINT64_MAX;
}

static void unplaceable_add(const wl_sched_t *sched, pass_t *pass, const wl_task_batch_t *batch)
{
	wl_fit_request_t request = wl_sched_fit_request(pass->now_ns, batch);
	const wl_step_spec_t *step = request.step;
	miss_t *miss;

	if (pass->unplaceable_count == MISSES_MAX || !is_telling(pass, batch))
		return;
	miss = &pass->unplaceable[pass->unplaceable_count++];
	*miss = (miss_t){
		.service = request.service,
		.label = wl_buf_str(&step->label),
		.background = request.background,
		.best_effort = step->best_effort,
		.image = batch->image,
		.members = 1,
		.least_tail = pass->candidates.least_tail,
	};
	if (is_label_lost(sched, &request))
		return;
	miss->members = members_of(step);
	miss->need = (wl_need_t){.cpu_millis = step->cpu_millis,
				 .memory_mib = step->memory_mib,
				 .accelerators = step->accelerators};
}

static void miss_record(wl_sched_t *sched, pass_t *pass, const wl_task_batch_t *batch)
{
	const wl_step_spec_t *step = wl_job_step(batch->job, batch->step);

	suspects_due(sched, batch);
	if (!batch->suspect)
		unplaceable_add(sched, pass, batch);
	if (pass->late)
		return;
	if (batch->suspect)
		pass->suspect_misses++;
	else if (wl_sched_batch_stalled(batch, pass->now_ns))
		pass->stalled_misses++;
	else
		pass->misses[step->best_effort]++;
}

static void batch_consider(wl_sched_t *sched, pass_t *pass, wl_task_batch_t *batch)
{
	uint64_t before_ns = cost_ns(sched, pass);

	batch->tried_ns = pass->now_ns;
	TAILQ_REMOVE(&sched->by_tried, batch, tried_link);
	TAILQ_INSERT_TAIL(&sched->by_tried, batch, tried_link);
	if (is_unplaceable(pass, batch)) {
		batch->hold = WL_HOLD_ROOM;
		return;
	}
	if (batch_place(sched, pass->now_ns, batch, &pass->candidates)) {
		pass->placed_cost_ns += cost_ns(sched, pass) - before_ns;
		return;
	}
	miss_record(sched, pass, batch);
	pass->missed_cost_ns += cost_ns(sched, pass) - before_ns;
}

/* Whether agents can carry more starts than those that this pass has placed. */
static bool has_room(const wl_sched_t *sched, const pass_t *pass)
{
	return sched->starts.runs.count < pass->starts_room;
}

static void consider_by_rank(wl_sched_t *sched, pass_t *pass)
{
	wl_task_batch_t *batch = TAILQ_FIRST(&sched->pending);

	while (batch && pass->placed_cost_ns < PLACED_COST_MAX_NS && has_room(sched, pass)) {
		wl_task_batch_t *next = TAILQ_NEXT(batch, link);

		if (!is_left_out(pass, batch) &&
		    (!is_ended(pass, batch) || is_unplaceable(pass, batch)))
			batch_consider(sched, pass, batch);
		stalled_due(sched, pass, batch);
		urgent_due(sched, pass, batch);
		wl_sched_batch_dequeue_empty(sched, batch);
		batch = next;
	}
	if (!batch)
		return;
	sched->place_due = true;
	sched->full_pass_due |= pass->full;
}

/*
 * Considers the batches that were not reached, the one that has waited for it longest first.
 *
 * Return: the cost, ns.
 */
static uint64_t consider_late(wl_sched_t *sched, pass_t *pass)
{
	wl_task_batch_t *batch = TAILQ_FIRST(&sched->by_tried);
	uint64_t before_ns = cost_ns(sched, pass);
	uint64_t late_ns = 0;

	pass->late = true;
	while (batch && pass->now_ns >= untried_due_ns(batch) && late_ns < LATE_COST_MAX_NS &&
	       has_room(sched, pass)) {
		wl_task_batch_t *next = TAILQ_NEXT(batch, tried_link);

		if (!is_left_out(pass, batch)) {
			batch_consider(sched, pass, batch);
			wl_sched_batch_dequeue_empty(sched, batch);
			pass->candidates.cost_ns += BATCH_COST_NS;
		}
		late_ns = cost_ns(sched, pass) - before_ns;
		batch = next;
	}
	return late_ns;
}

/* Time from which misses like those of this pass, and looks of that cost, may be repeated. */
static uint64_t next_pass_at_ns(const wl_sched_t *sched, size_t misses, uint64_t cost_ns,
				uint64_t now_ns)
{
	uint64_t checks = misses * wl_map_count(&sched->by_runner);
	uint64_t pause_ns = (checks * CHECK_COST_NS + cost_ns) * WL_PERMILLE / PASS_CPU_PERMILLE;

	if (pause_ns < PASS_INTERVAL_MIN_US * WL_NS_PER_US)
		pause_ns = PASS_INTERVAL_MIN_US * WL_NS_PER_US;
	return now_ns + pause_ns;
}

/* Other events get their part of the time that is measured. */
static void pause_set(wl_sched_t *sched, uint64_t now_ns, uint64_t pass_ns)
{
	if (sched->options.cost_clock_ns)
		sched->pause_until_ns = now_ns + pass_ns * PASS_SHARE;
}

static bool pass_is_due(const wl_sched_t *sched, uint64_t now_ns)
{
	if (now_ns < sched->pause_until_ns)
		return false;
	if (sched->suspects_due_ns && now_ns >= sched->suspects_due_ns)
		return true;
	if (sched->waiting_due_ns && now_ns >= sched->waiting_due_ns &&
	    now_ns >= sched->next_pass_ns && now_ns >= sched->next_full_pass_ns)
		return true;
	return (sched->place_due && now_ns >= sched->next_pass_ns) ||
	       (sched->full_pass_due && now_ns >= sched->next_full_pass_ns);
}

/*
 * wl_sched_place_due - whether a pass is due, and agents have room for the starts
 */
bool wl_sched_place_due(const wl_sched_t *sched, uint64_t now_ns)
{
	return pass_is_due(sched, now_ns) && wl_sched_starts_room(sched) > 0;
}

/*
 * wl_sched_place - place the pending tasks that fit, and propose their starts
 */
void wl_sched_place(wl_sched_t *sched, uint64_t now_ns, wl_out_t *out)
{
	wl_cmd_t cmd = {.kind = WL_CMD_RUNS_START};
	pass_t pass = {.now_ns = now_ns, .starts_room = wl_sched_starts_room(sched)};
	uint64_t began_ns = cost_ns(sched, &pass);
	wl_sched_proposal_t *proposal;
	uint64_t late_ns;
	size_t starts;

	pass.full = now_ns >= sched->next_full_pass_ns;
	sched->place_due = false;
	sched->suspects_due_ns = 0;
	sched->waiting_due_ns = 0;
	sched->pass_count++;
	sched->full_pass_due = !pass.full;
	wl_sched_queue_sort(sched, now_ns);
	wl_sched_background_promote(sched, now_ns, out);
	consider_by_rank(sched, &pass);
	late_ns = consider_late(sched, &pass);
	untried_due(sched, &pass);
	free(pass.candidates.items);
	wl_metrics_add(sched->options.metrics, "wisterialead_job_target_checks_total", "",
		       pass.candidates.checks);
	sched->next_pass_ns =
		next_pass_at_ns(sched, pass.misses[false] + pass.suspect_misses, late_ns, now_ns);
	pause_set(sched, now_ns, cost_ns(sched, &pass) - began_ns);
	if (pass.full)
		sched->next_full_pass_ns =
			next_pass_at_ns(sched, pass.misses[true] + pass.stalled_misses, 0, now_ns);
	if (sched->starts.runs.count == 0)
		return;
	starts = sched->starts.runs.count;
	cmd.u.runs_start = sched->starts;
	sched->starts = (wl_cmd_runs_start_t){0};
	proposal = wl_sched_propose(sched, now_ns, &cmd, out);
	proposal->starts = starts;
	sched->starts_proposed += starts;
}
