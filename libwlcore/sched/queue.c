/*
 * Queue of pending tasks, in the order of placement.
 *
 * Bursts are served by urgency, then by arrival. A task that fits on no target does not
 * block those behind it.
 */

#include "internal.h"

#include <stdlib.h>

#define TASKS_CAPACITY_MIN 8
#define SORT_INTERVAL_MS   50 /* between two sorts: ranks change as jobs become late */

/*
 * wl_sched_path_ms - longest chain of dependent steps of a job, by their estimated durations
 * @done: bit N: step N counts as 0
 */
uint64_t wl_sched_path_ms(const wl_job_spec_t *job, uint64_t done)
{
	const wl_step_spec_t *steps = job->steps.items;
	uint64_t longest[WL_JOB_MAX_STEPS];
	uint64_t most = 0;

	for (uint64_t step = 0; step < job->steps.count; step++) {
		uint64_t before = 0;

		for (uint64_t i = 0; i < step; i++)
			if ((steps[step].after >> i & 1) && longest[i] > before)
				before = longest[i];
		longest[step] = before + (done >> step & 1 ? 0 : steps[step].estimated_ms);
		if (longest[step] > most)
			most = longest[step];
	}
	return most;
}

/* The part of it that is left. */
static uint64_t path_left_ms(const wl_job_t *job, uint64_t occurrence)
{
	uint64_t done = 0;

	for (uint64_t step = 0; step < job->record.spec.steps.count; step++)
		done |= (uint64_t)(*wl_job_step_remaining(job, occurrence, step) == 0) << step;
	return wl_sched_path_ms(&job->record.spec, done);
}

/* How long after its begin the end of an occurrence of a job is on time. */
static uint64_t allowed_ms(const wl_job_t *job)
{
	const wl_sched_job_t *sched_job = job->leader_data;

	return job->record.objective_ms +
	       sched_job->critical_path_ms * job->record.slack_millis / WL_PERMILLE;
}

static uint64_t since_ms(const wl_task_batch_t *batch)
{
	uint64_t due_ms = wl_job_due_ms(batch->job, batch->occurrence);

	return due_ms ? due_ms : batch->job->record.accepted_ms;
}

/*
 * wl_sched_batch_limits - until when the end of the job of a batch is on time, and of use
 */
void wl_sched_batch_limits(const wl_task_batch_t *batch, uint64_t *on_time_ms, uint64_t *use_ms)
{
	uint64_t allowed = allowed_ms(batch->job);

	*on_time_ms = since_ms(batch) + allowed;
	*use_ms = since_ms(batch) + wl_ordering_late_ms(allowed);
}

static uint64_t batch_rank(const wl_sched_t *sched, const wl_task_batch_t *batch, uint64_t now_ns)
{
	const wl_job_t *job = batch->job;
	wl_ordering_item_t item = {
		.priority = job->record.priority,
		.since_ms = since_ms(batch),
		.remaining_ms =
			wl_sched_expected_ms(sched, job, path_left_ms(job, batch->occurrence)),
		.lasting_permille = sched->lasting_permille,
		.lasting_wanted_permille = sched->lasting_wanted_permille,
		.lasting = wl_job_step(job, batch->step)->lasting,
		.started = job->record.state != WL_JOB_QUEUED,
	};

	if (batch->interrupted && batch->count > 0)
		item.interrupted_ms =
			(now_ns - batch->tasks[batch->count - 1].ended_ns) / WL_NS_PER_MS;
	if (!item.lasting)
		item.deadline_ms = item.since_ms + allowed_ms(job);
	return sched->ordering->rank(&item, wl_sched_clock_ms(sched, now_ns));
}

static wl_task_batch_t **batch_slot(const wl_job_t *job, uint64_t occurrence, uint64_t step,
				    bool interrupted)
{
	wl_sched_job_t *sched_job = job->leader_data;

	return &sched_job->batches[2 * (occurrence * job->record.spec.steps.count + step) +
				   interrupted];
}

/*
 * wl_sched_slot_count - number of places for batches that a job has
 */
uint64_t wl_sched_slot_count(const wl_job_t *job)
{
	return 2 * job->occurrences * job->record.spec.steps.count;
}

static void batch_insert(wl_sched_t *sched, wl_task_batch_t *batch)
{
	wl_task_batch_t *before = TAILQ_LAST(&sched->pending, wl_task_batch_list);
	wl_sched_job_t *sched_job = batch->job->leader_data;

	sched_job->queued++;
	batch->queued = true;
	TAILQ_INSERT_TAIL(&sched->by_tried, batch, tried_link);
	while (before && before->rank > batch->rank)
		before = TAILQ_PREV(before, wl_task_batch_list, link);
	if (before)
		TAILQ_INSERT_AFTER(&sched->pending, before, batch, link);
	else
		TAILQ_INSERT_HEAD(&sched->pending, batch, link);
}

static void batch_withdraw(wl_sched_t *sched, wl_task_batch_t *batch)
{
	wl_sched_job_t *sched_job = batch->job->leader_data;

	if (!batch->queued)
		return;
	sched_job->queued--;
	batch->queued = false;
	TAILQ_REMOVE(&sched->pending, batch, link);
	TAILQ_REMOVE(&sched->by_tried, batch, tried_link);
}

static void rack_inherit(wl_task_batch_t *batch)
{
	const wl_task_batch_t *first =
		*batch_slot(batch->job, batch->occurrence, batch->step, false);

	if (first)
		wl_buf_set(&batch->rack, wl_buf_str(&first->rack));
}

static wl_task_batch_t *batch_new(wl_sched_t *sched, uint64_t now_ns, wl_job_t *job,
				  const wl_task_ref_t *at, bool interrupted)
{
	wl_task_batch_t *batch = wl_alloc(sizeof(*batch));

	batch->job = job;
	batch->occurrence = at->occurrence;
	batch->step = at->step;
	batch->interrupted = interrupted;
	batch->image = wl_images_id(&sched->images, wl_buf_str(&wl_job_step(job, at->step)->image));
	batch->ready_ns = now_ns;
	return batch;
}

static wl_task_batch_t *batch_get(wl_sched_t *sched, uint64_t now_ns, wl_job_t *job,
				  const wl_task_ref_t *at, bool interrupted)
{
	wl_task_batch_t **slot = batch_slot(job, at->occurrence, at->step, interrupted);

	if (*slot)
		return *slot;
	*slot = batch_new(sched, now_ns, job, at, interrupted);
	if (interrupted)
		rack_inherit(*slot);
	return *slot;
}

static wl_task_batch_t *batch_of_suspect(wl_sched_t *sched, uint64_t now_ns, wl_job_t *job,
					 const wl_task_ref_t *at, bool interrupted)
{
	wl_task_batch_t *batch = batch_new(sched, now_ns, job, at, interrupted);
	wl_sched_job_t *sched_job = job->leader_data;

	batch->suspect = true;
	rack_inherit(batch);
	TAILQ_INSERT_TAIL(&sched_job->suspects, batch, suspect_link);
	return batch;
}

static void batch_remove(wl_sched_t *sched, wl_task_batch_t *batch)
{
	wl_sched_job_t *sched_job = batch->job->leader_data;

	batch_withdraw(sched, batch);
	if (batch->suspect)
		TAILQ_REMOVE(&sched_job->suspects, batch, suspect_link);
	free(batch->tasks);
	wl_buf_free(&batch->rack);
	free(batch);
}

/*
 * Adds a task. Of interrupted tasks the longest interrupted one is placed first, of others
 * the last one added.
 */
static void batch_add(wl_task_batch_t *batch, const wl_batch_task_t *pending)
{
	size_t place = batch->count;

	if (batch->count == batch->capacity) {
		batch->capacity = batch->capacity ? 2 * batch->capacity : TASKS_CAPACITY_MIN;
		batch->tasks = wl_realloc(batch->tasks, batch->capacity * sizeof(*batch->tasks));
	}
	while (batch->interrupted && place > 0 &&
	       batch->tasks[place - 1].ended_ns <= pending->ended_ns) {
		batch->tasks[place] = batch->tasks[place - 1];
		place--;
	}
	batch->tasks[place] = *pending;
	batch->count++;
}

static int batch_compare(const void *a, const void *b)
{
	const wl_task_batch_t *one = *(const wl_task_batch_t *const *)a;
	const wl_task_batch_t *other = *(const wl_task_batch_t *const *)b;

	if (one->rank != other->rank)
		return one->rank < other->rank ? -1 : 1;
	if (one->ready_ns != other->ready_ns)
		return one->ready_ns < other->ready_ns ? -1 : 1;
	return wl_str_compare(one->job->key, other->job->key);
}

/*
 * Updates the shares of the usable targets' CPU that lasting tasks reserve, and that they
 * would reserve with the interrupted ones.
 */
static void lasting_shares_update(wl_sched_t *sched)
{
	const wl_sched_runner_t *runner;
	const wl_task_batch_t *batch;
	uint64_t reserved = 0;
	uint64_t interrupted = 0;
	uint64_t all = 0;

	TAILQ_FOREACH (runner, &sched->runners, link) {
		if (!runner->fit.usable)
			continue;
		reserved += runner->lasting_millis;
		all += runner->fit.capacity.cpu_millis;
	}
	TAILQ_FOREACH (batch, &sched->pending, link) {
		const wl_step_spec_t *step = wl_job_step(batch->job, batch->step);

		interrupted += batch->interrupted ? batch->count * step->cpu_millis : 0;
	}
	sched->lasting_permille = all ? reserved * WL_PERMILLE / all : 0;
	sched->lasting_wanted_permille = all ? (reserved + interrupted) * WL_PERMILLE / all : 0;
}

/*
 * wl_sched_queue_sort - recompute the ranks and sort the queue
 *
 * Does nothing until SORT_INTERVAL_MS after the last sort.
 */
void wl_sched_queue_sort(wl_sched_t *sched, uint64_t now_ns)
{
	wl_task_batch_t **batches;
	wl_task_batch_t *batch;
	size_t count = 0;

	if (now_ns - sched->sorted_ns < SORT_INTERVAL_MS * WL_NS_PER_MS)
		return;
	sched->sorted_ns = now_ns;
	lasting_shares_update(sched);
	TAILQ_FOREACH (batch, &sched->pending, link)
		count++;
	batches = wl_alloc((count + 1) * sizeof(wl_task_batch_t *));
	for (size_t i = 0; i < count; i++) {
		batches[i] = TAILQ_FIRST(&sched->pending);
		TAILQ_REMOVE(&sched->pending, batches[i], link);
		batches[i]->rank = batch_rank(sched, batches[i], now_ns);
	}
	qsort(batches, count, sizeof(wl_task_batch_t *), batch_compare);
	for (size_t i = 0; i < count; i++)
		TAILQ_INSERT_TAIL(&sched->pending, batches[i], link);
	free(batches);
}

/*
 * wl_sched_batch_dequeue_empty - take a batch without pending tasks out of the queue
 */
void wl_sched_batch_dequeue_empty(wl_sched_t *sched, wl_task_batch_t *batch)
{
	if (batch->count > 0)
		return;
	if (batch->suspect) {
		batch_remove(sched, batch);
		return;
	}
	batch_withdraw(sched, batch);
}

/* A gang waits as a whole, and is never in a batch of interrupted tasks. */
static bool is_interrupted(const wl_step_spec_t *step, uint64_t ended_ns)
{
	return step->lasting && !step->gang && ended_ns > 0;
}

/*
 * wl_sched_task_enqueue - queue a task that is neither done nor running
 * @ended_ns: when its last run ended; 0: it has not run
 */
void wl_sched_task_enqueue(wl_sched_t *sched, uint64_t now_ns, wl_job_t *job, uint64_t task,
			   uint64_t ended_ns)
{
	wl_batch_task_t pending = {task, ended_ns};
	const wl_step_spec_t *step;
	wl_task_batch_t *batch;
	wl_task_ref_t at;

	if (wl_job_ended(job) || job->tasks[task].done || !TAILQ_EMPTY(&job->tasks[task].runs))
		return;
	wl_job_task_ref(job, task, &at);
	step = wl_job_step(job, at.step);
	if (job->tasks[task].crashes.count > 0 && !step->gang)
		batch = batch_of_suspect(sched, now_ns, job, &at, is_interrupted(step, ended_ns));
	else
		batch = batch_get(sched, now_ns, job, &at, is_interrupted(step, ended_ns));
	batch_add(batch, &pending);
	if (!batch->queued) {
		batch->queued_ns = now_ns;
		batch->tried_ns = now_ns;
		batch->hold = WL_HOLD_NONE;
		batch->rank = batch_rank(sched, batch, now_ns);
		batch_insert(sched, batch);
	}
	sched->place_due = true;
}

static void step_open(wl_sched_t *sched, uint64_t now_ns, wl_job_t *job, uint64_t occurrence,
		      uint64_t step)
{
	wl_task_ref_t at = {.occurrence = occurrence, .step = step};
	const wl_sched_job_t *sched_job = job->leader_data;
	uint64_t task;

	batch_get(sched, now_ns, job, &at, false);
	if (sched_job->queued == 0)
		wl_sched_job_at_work(job, now_ns);
	/* The last task added is placed first. A task has run under an earlier leader only. */
	for (at.index = wl_job_step(job, step)->count; at.index-- > 0;) {
		wl_job_task_index(job, &at, &task);
		wl_sched_task_enqueue(sched, now_ns, job, task,
				      job->tasks[task].run ? wl_sched_inherited_end_ns(sched) : 0);
	}
}

/*
 * wl_sched_step_close - take the tasks of a step that is done out of the queue
 *
 * The end of one member of a gang is that of all, also of those that wait for another run.
 */
void wl_sched_step_close(wl_sched_t *sched, uint64_t now_ns, wl_job_t *job, uint64_t occurrence,
			 uint64_t step)
{
	wl_task_batch_t *batch = *batch_slot(job, occurrence, step, false);

	if (batch && batch->first_placed_ns)
		wl_sched_step_took(sched, job, step,
				   (now_ns - batch->first_placed_ns) / WL_NS_PER_MS);
	if (!batch || batch->count == 0)
		return;
	batch->count = 0;
	wl_sched_batch_dequeue_empty(sched, batch);
}

/*
 * wl_sched_steps_open - queue the tasks of each step whose dependencies are done
 */
void wl_sched_steps_open(wl_sched_t *sched, uint64_t now_ns, wl_job_t *job, uint64_t occurrence)
{
	for (uint64_t step = 0; step < job->record.spec.steps.count; step++)
		if (!*batch_slot(job, occurrence, step, false) &&
		    *wl_job_step_remaining(job, occurrence, step) > 0 &&
		    wl_job_step_open(job, occurrence, step))
			step_open(sched, now_ns, job, occurrence, step);
}

/* Whether all occurrences are due. A job is in the list of timed jobs until then. */
static bool all_due(const wl_sched_job_t *sched_job)
{
	return sched_job->next_occurrence == sched_job->job->occurrences;
}

/* Opens the occurrences that are due. Return: whether all are due. */
static bool occurrences_open(wl_sched_t *sched, uint64_t now_ns, wl_sched_job_t *sched_job)
{
	uint64_t clock_ms = wl_sched_clock_ms(sched, now_ns);

	while (!all_due(sched_job)) {
		if (wl_job_due_ms(sched_job->job, sched_job->next_occurrence) > clock_ms)
			return false;
		wl_sched_steps_open(sched, now_ns, sched_job->job, sched_job->next_occurrence++);
	}
	return true;
}

/*
 * wl_sched_job_open - start scheduling a job
 */
void wl_sched_job_open(wl_sched_t *sched, uint64_t now_ns, wl_job_t *job)
{
	wl_sched_job_t *sched_job;

	if (job->leader_data || wl_job_ended(job))
		return;
	sched_job = wl_alloc(sizeof(*sched_job));
	sched_job->job = job;
	sched_job->progress_ns = now_ns;
	TAILQ_INIT(&sched_job->suspects);
	wl_sched_trials_count(sched, sched_job);
	sched_job->critical_path_ms = wl_sched_path_ms(&job->record.spec, 0);
	sched_job->batches = wl_alloc(wl_sched_slot_count(job) * sizeof(wl_task_batch_t *));
	job->leader_data = sched_job;
	if (!occurrences_open(sched, now_ns, sched_job))
		TAILQ_INSERT_TAIL(&sched->timed, sched_job, timed);
}

/*
 * wl_sched_job_close - stop scheduling a job and remove its tasks from the queue
 */
void wl_sched_job_close(wl_sched_t *sched, wl_job_t *job)
{
	wl_sched_job_t *sched_job = job->leader_data;
	wl_task_batch_t *batch;

	if (!sched_job)
		return;
	batch = TAILQ_FIRST(&sched_job->suspects);
	while (batch) {
		wl_task_batch_t *next = TAILQ_NEXT(batch, suspect_link);

		batch_remove(sched, batch);
		batch = next;
	}
	for (uint64_t i = 0; i < wl_sched_slot_count(job); i++)
		if (sched_job->batches[i])
			batch_remove(sched, sched_job->batches[i]);
	if (!all_due(sched_job))
		TAILQ_REMOVE(&sched->timed, sched_job, timed);
	free(sched_job->batches);
	free(sched_job);
	job->leader_data = NULL;
}

/*
 * wl_sched_timed_tick - open the occurrences that are due
 */
void wl_sched_timed_tick(wl_sched_t *sched, uint64_t now_ns)
{
	wl_sched_job_t *sched_job = TAILQ_FIRST(&sched->timed);

	while (sched_job) {
		wl_sched_job_t *next = TAILQ_NEXT(sched_job, timed);

		if (occurrences_open(sched, now_ns, sched_job))
			TAILQ_REMOVE(&sched->timed, sched_job, timed);
		sched_job = next;
	}
}
