/* Gives waiting tasks to targets and gathers the starts of a step into one commit. */

#include "internal.h"

#include <stdlib.h>
#include <string.h>

#define MISSES_MOST   64   /* bundles that fit nowhere before the rest waits for the next look */
#define LOOK_LEAST_US 2000 /* between two looks: what comes together is committed together */
/* With a backlog on a large fleet looks would take all processor time: they get a share of it. */
#define QUESTION_NS	     50 /* for a target and a bundle, by wl-bench-jobs */
#define LOOKS_SHARE_PERMILLE 100

static uint64_t same_step(const wl_sched_runner_t *runner, const wl_bundle_t *bundle)
{
	const wl_sched_run_t *run;
	uint64_t count = 0;

	TAILQ_FOREACH (run, &runner->runs, link) {
		wl_task_ref_t at;

		if (!wl_str_equal(wl_buf_str(&run->job), bundle->job->key))
			continue;
		wl_job_place(bundle->job, run->task, &at);
		count += at.occurrence == bundle->occurrence && at.step == bundle->step;
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

/* Whether a task may start on a target; what costs most to know is worked out last. */
static bool runner_takes(wl_sched_t *sched, wl_sched_runner_t *runner, const wl_bundle_t *bundle,
			 const wl_fit_question_t *question)
{
	const wl_step_spec_t *step = question->step;
	bool disturbs = step->best_effort && runner->fit.serving;

	if (disturbs && runner->pressed_due)
		wl_sched_pressed_follow(sched, runner);
	if (!wl_fit_has_room(question, &runner->fit))
		return false;
	runner->fit.same_step = step->max_per_target ? same_step(runner, bundle) : 0;
	runner->fit.tail_permille =
		disturbs ? wl_sched_tail_forecast(sched, runner, bundle->image, step->cpu_millis)
			 : 0;
	return wl_fit_allows(question, &runner->fit);
}

/* Targets that the next task of a step may start on, in the order of all targets. */
typedef struct candidate {
	wl_sched_runner_t *runner;
	int64_t score;
} candidate_t;

typedef struct candidates {
	candidate_t *items; /* as many as there are targets */
	size_t count;
	wl_fit_room_t room; /* most that a target had left when the look began */
} candidates_t;

static void candidates_init(const wl_sched_t *sched, candidates_t *candidates)
{
	const wl_sched_runner_t *runner;

	candidates->items = wl_alloc(wl_map_count(&sched->by_runner) * sizeof(*candidates->items));
	candidates->room = (wl_fit_room_t){-1, -1, -1};
	TAILQ_FOREACH (runner, &sched->runners, link)
		wl_fit_room_add(&candidates->room, &runner->fit);
}

static bool candidate_make(wl_sched_t *sched, wl_sched_runner_t *runner, const wl_bundle_t *bundle,
			   const wl_fit_question_t *question, candidate_t *candidate)
{
	if (!runner_takes(sched, runner, bundle, question))
		return false;
	runner->fit.other_image_millis =
		question->step->long_running ? other_image_millis(runner, bundle->image) : 0;
	*candidate = (candidate_t){runner, sched->fit->score(question, &runner->fit)};
	return true;
}

/* No target has room for the step: what a question would have brought up to date is brought so. */
static void targets_full(wl_sched_t *sched, const wl_step_spec_t *step)
{
	wl_sched_runner_t *runner;

	if (!step->best_effort)
		return;
	TAILQ_FOREACH (runner, &sched->runners, link)
		if (runner->pressed_due && runner->fit.serving)
			wl_sched_pressed_follow(sched, runner);
}

static void candidates_fill(wl_sched_t *sched, const wl_bundle_t *bundle,
			    const wl_fit_question_t *question, candidates_t *candidates)
{
	wl_sched_runner_t *runner;

	candidates->count = 0;
	if (!wl_fit_room_for(&candidates->room, question->step)) {
		targets_full(sched, question->step);
		return;
	}
	TAILQ_FOREACH (runner, &sched->runners, link)
		candidates->count += candidate_make(sched, runner, bundle, question,
						    &candidates->items[candidates->count]);
}

/* The first of those with the highest score, or NULL. */
static candidate_t *candidates_best(candidates_t *candidates)
{
	candidate_t *best = NULL;

	for (size_t i = 0; i < candidates->count; i++)
		if (!best || candidates->items[i].score > best->score)
			best = &candidates->items[i];
	return best;
}

/* A task of the step was given to a target: only that one has to be asked again. */
static void candidate_follow(wl_sched_t *sched, const wl_bundle_t *bundle,
			     const wl_fit_question_t *question, candidates_t *candidates,
			     candidate_t *candidate)
{
	candidate_t *end = candidates->items + candidates->count;

	if (candidate_make(sched, candidate->runner, bundle, question, candidate))
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
	row->incarnation = run->runner->state->report.incarnation;
}

/* All members of a gang bear the number above every one of theirs. */
static uint64_t next_number(const wl_bundle_t *bundle, uint64_t task)
{
	wl_task_ref_t at = {.occurrence = bundle->occurrence, .step = bundle->step};
	uint64_t highest = bundle->job->tasks[task].run;
	uint64_t member;

	if (!wl_job_step(bundle->job, bundle->step)->gang)
		return highest + 1;
	for (at.index = 0; wl_job_task_at(bundle->job, &at, &member); at.index++)
		if (bundle->job->tasks[member].run > highest)
			highest = bundle->job->tasks[member].run;
	return highest + 1;
}

static void task_place(wl_sched_t *sched, uint64_t now_ns, wl_bundle_t *bundle, uint64_t number,
		       wl_sched_runner_t *runner)
{
	const wl_bundle_task_t *waiting = &bundle->tasks[--bundle->count];
	wl_sched_run_t *run = wl_sched_run_add(sched, runner, bundle->job, waiting->task, number);

	run->phase = WL_RUN_PROPOSED;
	run->placed_ns = now_ns;
	run->waited_ns = now_ns - bundle->queued_ns;
	run->before_ns = waiting->ended_ns;
	if (bundle->rack.len == 0)
		wl_buf_set(&bundle->rack, wl_buf_str(&runner->state->report.rack));
	start_add(sched, run);
}

/* Members of a gang start together or not at all: what was reserved is given back. */
static bool gang_place(wl_sched_t *sched, uint64_t now_ns, wl_bundle_t *bundle,
		       const wl_fit_question_t *question, candidates_t *candidates)
{
	size_t members = wl_job_step(bundle->job, bundle->step)->count;
	size_t first_row = sched->starts.runs.count;
	wl_run_start_t *rows;
	candidate_t *best;
	uint64_t number;

	if (bundle->count < members)
		return false;
	number = next_number(bundle, bundle->tasks[0].task);
	candidates_fill(sched, bundle, question, candidates);
	while (bundle->count > 0 && (best = candidates_best(candidates))) {
		task_place(sched, now_ns, bundle, number, best->runner);
		if (bundle->count > 0)
			candidate_follow(sched, bundle, question, candidates, best);
	}
	if (bundle->count == 0)
		return true;
	rows = sched->starts.runs.items;
	for (size_t i = sched->starts.runs.count; i-- > first_row;) {
		wl_sched_run_drop(sched, wl_sched_run_find(sched, wl_buf_str(&rows[i].job),
							   rows[i].task, rows[i].run));
		bundle->count++; /* the popped one is still there */
		wl_record_free(&wl_run_start_schema, &rows[i]);
	}
	sched->starts.runs.count = first_row;
	wl_buf_clear(&bundle->rack);
	return false;
}

/* A step that prefers one rack knows it once its first task has been placed. */
static bool rack_follow(const wl_bundle_t *bundle, wl_fit_question_t *question)
{
	bool changes = question->step->same_rack &&
		       !wl_str_equal(question->rack, wl_buf_str(&bundle->rack));

	question->rack = wl_buf_str(&bundle->rack);
	return changes;
}

static bool tasks_place(wl_sched_t *sched, uint64_t now_ns, wl_bundle_t *bundle,
			wl_fit_question_t *question, candidates_t *candidates)
{
	question->rack = wl_buf_str(&bundle->rack);
	candidates_fill(sched, bundle, question, candidates);
	while (bundle->count > 0) {
		candidate_t *best = candidates_best(candidates);

		if (!best)
			return false;
		task_place(sched, now_ns, bundle,
			   next_number(bundle, bundle->tasks[bundle->count - 1].task),
			   best->runner);
		if (bundle->count == 0)
			break;
		if (rack_follow(bundle, question))
			candidates_fill(sched, bundle, question, candidates);
		else
			candidate_follow(sched, bundle, question, candidates, best);
	}
	return true;
}

/* False when a task of it fits nowhere. */
static bool bundle_place(wl_sched_t *sched, uint64_t now_ns, wl_bundle_t *bundle,
			 candidates_t *candidates)
{
	const wl_queue_t *queue =
		wl_catalog_queue(&sched->jobs->catalog, wl_buf_str(&bundle->job->record.queue));
	wl_fit_question_t question = {
		.step = wl_job_step(bundle->job, bundle->step),
		.waited_ms = (now_ns - bundle->ready_ns) / WL_NS_PER_MS,
		.service = wl_buf_str(queue ? &queue->service : &bundle->job->record.service),
	};

	if (question.step->gang)
		return gang_place(sched, now_ns, bundle, &question, candidates);
	return tasks_place(sched, now_ns, bundle, &question, candidates);
}

/* The least need that found no target in a pass: what needs as much finds none either. */
typedef struct floor {
	bool any;
	uint64_t cpu_millis;
	uint64_t memory_mib;
} floor_t;

typedef struct pass {
	floor_t plain;
	floor_t best_effort[WL_IMAGES_MOST]; /* by image: they differ in what they disturb */
	size_t misses;
	candidates_t candidates;
} pass_t;

static floor_t *floor_of(pass_t *pass, const wl_bundle_t *bundle)
{
	return wl_job_step(bundle->job, bundle->step)->best_effort
		       ? &pass->best_effort[bundle->image]
		       : &pass->plain;
}

/* Only what may go anywhere says something of others. */
static bool is_constrained(const wl_step_spec_t *step)
{
	return step->label.len || step->max_per_target || step->gang || step->accelerators;
}

static bool below_floor(pass_t *pass, const wl_bundle_t *bundle)
{
	const wl_step_spec_t *step = wl_job_step(bundle->job, bundle->step);
	const floor_t *floor = floor_of(pass, bundle);

	return floor->any && step->cpu_millis >= floor->cpu_millis &&
	       step->memory_mib >= floor->memory_mib;
}

static void floor_lower(pass_t *pass, const wl_bundle_t *bundle)
{
	const wl_step_spec_t *step = wl_job_step(bundle->job, bundle->step);
	floor_t *floor = floor_of(pass, bundle);

	pass->misses++;
	if (is_constrained(step) || (floor->any && step->cpu_millis >= floor->cpu_millis))
		return;
	*floor = (floor_t){true, step->cpu_millis, step->memory_mib};
}

/* When to look again, by what this look has cost. */
static uint64_t next_look_ns(const wl_sched_t *sched, const pass_t *pass, uint64_t now_ns)
{
	uint64_t questions = pass->misses * wl_map_count(&sched->by_runner);
	uint64_t pause_ns = questions * QUESTION_NS * WL_PERMILLE / LOOKS_SHARE_PERMILLE;

	if (pause_ns < LOOK_LEAST_US * WL_NS_PER_US)
		pause_ns = LOOK_LEAST_US * WL_NS_PER_US;
	return now_ns + pause_ns;
}

/*
 * wl_sched_place - place what can be placed, and propose the starts
 */
void wl_sched_place(wl_sched_t *sched, uint64_t now_ns, wl_out_t *out)
{
	wl_cmd_t cmd = {.kind = WL_CMD_RUNS_START};
	wl_bundle_t *bundle;
	pass_t pass = {0};

	sched->place_due = false;
	wl_sched_queue_sort(sched, now_ns);
	candidates_init(sched, &pass.candidates);
	bundle = TAILQ_FIRST(&sched->waiting);
	while (bundle && pass.misses < MISSES_MOST) {
		wl_bundle_t *next = TAILQ_NEXT(bundle, link);

		if (!below_floor(&pass, bundle) &&
		    !bundle_place(sched, now_ns, bundle, &pass.candidates))
			floor_lower(&pass, bundle);
		wl_sched_bundle_settle(sched, bundle);
		bundle = next;
	}
	free(pass.candidates.items);
	sched->place_next_ns = next_look_ns(sched, &pass, now_ns);
	if (sched->starts.runs.count == 0)
		return;
	cmd.u.runs_start = sched->starts;
	sched->starts = (wl_cmd_runs_start_t){0};
	wl_sched_propose(sched, now_ns, &cmd, out);
}
