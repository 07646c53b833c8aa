/*
 * Tasks that wait for a target, in the order in which they are to be placed.
 *
 * Answers bursts: what is urgent goes first, and of equal urgency what came
 * first; a task that fits nowhere does not hold up those behind it.
 */

#include "internal.h"

#include <stdlib.h>

#define TASKS_LEAST_ROOM 8
#define SORT_MS		 50 /* between two looks at what can still be on time */

/* Longest chain of steps from one on, as estimated; done ones count for nothing. */
static uint64_t chain_ms(const wl_job_t *job, uint64_t occurrence, bool only_left)
{
	uint64_t longest[WL_JOB_MAX_STEPS];
	uint64_t most = 0;

	for (uint64_t step = 0; step < job->record.spec.steps.count; step++) {
		const wl_step_spec_t *spec = wl_job_step(job, step);
		bool done = only_left && *wl_job_step_left(job, occurrence, step) == 0;
		uint64_t before = 0;

		for (uint64_t i = 0; i < step; i++)
			if ((spec->after >> i & 1) && longest[i] > before)
				before = longest[i];
		longest[step] = before + (done ? 0 : spec->estimated_ms);
		if (longest[step] > most)
			most = longest[step];
	}
	return most;
}

static uint64_t bundle_rank(const wl_sched_t *sched, const wl_bundle_t *bundle, uint64_t now_ns)
{
	const wl_job_t *job = bundle->job;
	const wl_sched_job_t *note = job->note;
	uint64_t due_ms = wl_job_due_ms(job, bundle->occurrence);
	wl_ordering_item_t item = {
		.priority = job->record.priority,
		.since_ms = due_ms ? due_ms : job->record.accepted_ms,
		.left_ms = chain_ms(job, bundle->occurrence, true),
		.lasting_permille = sched->lasting_permille,
		.lasting_wanted_permille = sched->lasting_wanted_permille,
		.lasting = wl_job_step(job, bundle->step)->long_running,
		.started = job->record.state != WL_JOB_QUEUED,
	};

	if (bundle->away && bundle->count > 0)
		item.away_ms = (now_ns - bundle->tasks[bundle->count - 1].ended_ns) / WL_NS_PER_MS;
	if (!item.lasting)
		item.deadline_ms = item.since_ms + job->record.objective_ms +
				   note->chain_ms * job->record.slack_millis / WL_PERMILLE;
	return sched->order->rank(&item, wl_sched_clock_ms(sched, now_ns));
}

static wl_bundle_t **bundle_slot(const wl_job_t *job, uint64_t occurrence, uint64_t step, bool away)
{
	wl_sched_job_t *note = job->note;

	return &note->bundles[2 * (occurrence * job->record.spec.steps.count + step) + away];
}

static uint64_t slot_count(const wl_job_t *job)
{
	return 2 * job->occurrences * job->record.spec.steps.count;
}

static void bundle_insert(wl_sched_t *sched, wl_bundle_t *bundle)
{
	wl_bundle_t *before = TAILQ_LAST(&sched->waiting, wl_bundle_list);

	bundle->queued = true;
	while (before && before->key > bundle->key)
		before = TAILQ_PREV(before, wl_bundle_list, link);
	if (before)
		TAILQ_INSERT_AFTER(&sched->waiting, before, bundle, link);
	else
		TAILQ_INSERT_HEAD(&sched->waiting, bundle, link);
}

static wl_bundle_t *bundle_get(wl_sched_t *sched, uint64_t now_ns, wl_job_t *job,
			       uint64_t occurrence, uint64_t step, bool away)
{
	wl_bundle_t **slot = bundle_slot(job, occurrence, step, away);

	if (*slot)
		return *slot;
	*slot = wl_alloc(sizeof(**slot));
	(*slot)->job = job;
	(*slot)->occurrence = occurrence;
	(*slot)->step = step;
	(*slot)->away = away;
	(*slot)->image =
		wl_images_number(&sched->images, wl_buf_str(&wl_job_step(job, step)->image));
	(*slot)->ready_ns = now_ns;
	if (away && *bundle_slot(job, occurrence, step, false))
		wl_buf_set(&(*slot)->rack,
			   wl_buf_str(&(*bundle_slot(job, occurrence, step, false))->rack));
	return *slot;
}

static void bundle_free(wl_sched_t *sched, wl_bundle_t *bundle)
{
	if (bundle->queued)
		TAILQ_REMOVE(&sched->waiting, bundle, link);
	free(bundle->tasks);
	wl_buf_free(&bundle->rack);
	free(bundle);
}

/* Of those that had a run, the longest without one is placed first; else the last one added. */
static void bundle_add(wl_bundle_t *bundle, const wl_bundle_task_t *waiting)
{
	size_t place = bundle->count;

	if (bundle->count == bundle->room) {
		bundle->room = bundle->room ? 2 * bundle->room : TASKS_LEAST_ROOM;
		bundle->tasks = wl_realloc(bundle->tasks, bundle->room * sizeof(*bundle->tasks));
	}
	while (bundle->away && place > 0 &&
	       bundle->tasks[place - 1].ended_ns <= waiting->ended_ns) {
		bundle->tasks[place] = bundle->tasks[place - 1];
		place--;
	}
	bundle->tasks[place] = *waiting;
	bundle->count++;
}

static int bundle_compare(const void *a, const void *b)
{
	const wl_bundle_t *one = *(const wl_bundle_t *const *)a;
	const wl_bundle_t *other = *(const wl_bundle_t *const *)b;

	if (one->key != other->key)
		return one->key < other->key ? -1 : 1;
	if (one->ready_ns != other->ready_ns)
		return one->ready_ns < other->ready_ns ? -1 : 1;
	return wl_str_compare(one->job->key, other->job->key);
}

/* The shares of the usable targets' processors that lasting tasks reserve, and want. */
static void lasting_follow(wl_sched_t *sched)
{
	const wl_sched_runner_t *runner;
	const wl_bundle_t *bundle;
	uint64_t reserved = 0;
	uint64_t away = 0;
	uint64_t all = 0;

	TAILQ_FOREACH (runner, &sched->runners, link) {
		if (!runner->fit.usable)
			continue;
		reserved += runner->lasting_millis;
		all += runner->fit.capacity.cpu_millis;
	}
	TAILQ_FOREACH (bundle, &sched->waiting, link) {
		const wl_step_spec_t *step = wl_job_step(bundle->job, bundle->step);

		away += bundle->away ? bundle->count * step->cpu_millis : 0;
	}
	sched->lasting_permille = all ? reserved * WL_PERMILLE / all : 0;
	sched->lasting_wanted_permille = all ? (reserved + away) * WL_PERMILLE / all : 0;
}

/*
 * wl_sched_queue_sort - put the waiting work in order, now that time has passed
 */
void wl_sched_queue_sort(wl_sched_t *sched, uint64_t now_ns)
{
	wl_bundle_t **bundles;
	wl_bundle_t *bundle;
	size_t count = 0;

	if (now_ns - sched->sorted_ns < SORT_MS * WL_NS_PER_MS)
		return;
	sched->sorted_ns = now_ns;
	lasting_follow(sched);
	TAILQ_FOREACH (bundle, &sched->waiting, link)
		count++;
	bundles = wl_alloc((count + 1) * sizeof(wl_bundle_t *));
	for (size_t i = 0; i < count; i++) {
		bundles[i] = TAILQ_FIRST(&sched->waiting);
		TAILQ_REMOVE(&sched->waiting, bundles[i], link);
		bundles[i]->key = bundle_rank(sched, bundles[i], now_ns);
	}
	qsort(bundles, count, sizeof(wl_bundle_t *), bundle_compare);
	for (size_t i = 0; i < count; i++)
		TAILQ_INSERT_TAIL(&sched->waiting, bundles[i], link);
	free(bundles);
}

/*
 * wl_sched_bundle_settle - one of which no task waits leaves the queue until another does
 */
void wl_sched_bundle_settle(wl_sched_t *sched, wl_bundle_t *bundle)
{
	if (bundle->count > 0)
		return;
	TAILQ_REMOVE(&sched->waiting, bundle, link);
	bundle->queued = false;
}

/* A gang waits as a whole. */
static bool is_away(const wl_step_spec_t *step, uint64_t ended_ns)
{
	return step->long_running && !step->gang && ended_ns > 0;
}

/*
 * wl_sched_task_wait - a task that is not done and has no run waits for a target
 * @ended_ns: when its last run ended; 0: it has had none
 */
void wl_sched_task_wait(wl_sched_t *sched, uint64_t now_ns, wl_job_t *job, uint64_t task,
			uint64_t ended_ns)
{
	wl_bundle_task_t waiting = {task, ended_ns};
	wl_bundle_t *bundle;
	wl_task_ref_t at;

	if (wl_job_ended(job) || job->tasks[task].done || !TAILQ_EMPTY(&job->tasks[task].runs))
		return;
	wl_job_place(job, task, &at);
	bundle = bundle_get(sched, now_ns, job, at.occurrence, at.step,
			    is_away(wl_job_step(job, at.step), ended_ns));
	bundle_add(bundle, &waiting);
	if (!bundle->queued) {
		bundle->queued_ns = now_ns;
		bundle->key = bundle_rank(sched, bundle, now_ns);
		bundle_insert(sched, bundle);
	}
	sched->place_due = true;
}

static void step_open(wl_sched_t *sched, uint64_t now_ns, wl_job_t *job, uint64_t occurrence,
		      uint64_t step)
{
	wl_task_ref_t at = {.occurrence = occurrence, .step = step};
	uint64_t task;

	bundle_get(sched, now_ns, job, occurrence, step, false);
	/* The last one added is placed first.  When earlier leaders' runs ended is not known. */
	for (at.index = wl_job_step(job, step)->count; at.index-- > 0;) {
		wl_job_task_at(job, &at, &task);
		wl_sched_task_wait(sched, now_ns, job, task, job->tasks[task].run ? now_ns : 0);
	}
}

/*
 * wl_sched_steps_open - let the tasks of those steps wait whose dependencies are done
 */
void wl_sched_steps_open(wl_sched_t *sched, uint64_t now_ns, wl_job_t *job, uint64_t occurrence)
{
	for (uint64_t step = 0; step < job->record.spec.steps.count; step++)
		if (!*bundle_slot(job, occurrence, step, false) &&
		    *wl_job_step_left(job, occurrence, step) > 0 &&
		    wl_job_step_open(job, occurrence, step))
			step_open(sched, now_ns, job, occurrence, step);
}

/* Every occurrence has come due; a job of which this is not so stands among the timed ones. */
static bool all_due(const wl_sched_job_t *note)
{
	return note->next_occurrence == note->job->occurrences;
}

/* Opens the occurrences that have come due; true when all have. */
static bool occurrences_open(wl_sched_t *sched, uint64_t now_ns, wl_sched_job_t *note)
{
	uint64_t clock_ms = wl_sched_clock_ms(sched, now_ns);

	while (!all_due(note)) {
		if (wl_job_due_ms(note->job, note->next_occurrence) > clock_ms)
			return false;
		wl_sched_steps_open(sched, now_ns, note->job, note->next_occurrence++);
	}
	return true;
}

/*
 * wl_sched_job_open - begin to schedule a job
 */
void wl_sched_job_open(wl_sched_t *sched, uint64_t now_ns, wl_job_t *job)
{
	wl_sched_job_t *note;

	if (job->note || wl_job_ended(job))
		return;
	note = wl_alloc(sizeof(*note));
	note->job = job;
	note->chain_ms = chain_ms(job, 0, false);
	note->bundles = wl_alloc(slot_count(job) * sizeof(wl_bundle_t *));
	job->note = note;
	if (!occurrences_open(sched, now_ns, note))
		TAILQ_INSERT_TAIL(&sched->timed, note, timed);
}

/*
 * wl_sched_job_close - none of a job's tasks waits any more
 */
void wl_sched_job_close(wl_sched_t *sched, wl_job_t *job)
{
	wl_sched_job_t *note = job->note;

	if (!note)
		return;
	for (uint64_t i = 0; i < slot_count(job); i++)
		if (note->bundles[i])
			bundle_free(sched, note->bundles[i]);
	if (!all_due(note))
		TAILQ_REMOVE(&sched->timed, note, timed);
	free(note->bundles);
	free(note);
	job->note = NULL;
}

/*
 * wl_sched_timed_tick - open what has come due
 */
void wl_sched_timed_tick(wl_sched_t *sched, uint64_t now_ns)
{
	wl_sched_job_t *note = TAILQ_FIRST(&sched->timed);

	while (note) {
		wl_sched_job_t *next = TAILQ_NEXT(note, timed);

		if (occurrences_open(sched, now_ns, note))
			TAILQ_REMOVE(&sched->timed, note, timed);
		note = next;
	}
}
