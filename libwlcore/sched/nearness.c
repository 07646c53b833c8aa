/* Tasks that wait for a place near their data, or near the other tasks of their step. */

#include "internal.h"

#include <stdlib.h>

#include <libwlcore/locality/wait.h>

/* All in all; a job with nothing at work beside idle targets must not wait for longer. */
#define WAIT_MAX_MS 2000

static wl_str_t near_rack(const wl_task_batch_t *batch)
{
	const wl_step_spec_t *step = wl_job_step(batch->job, batch->step);

	return step->data_rack.len ? wl_buf_str(&step->data_rack) : wl_buf_str(&batch->rack);
}

/* When a run is expected to end; an overdue one at any moment. */
static uint64_t expected_end_ns(const wl_sched_t *sched, const wl_sched_run_t *run, uint64_t now_ns)
{
	const wl_job_t *job = wl_jobs_find(sched->jobs, wl_buf_str(&run->job));
	const wl_step_spec_t *step;
	wl_task_ref_t at;
	uint64_t end_ns;

	if (!job || run->lasting)
		return UINT64_MAX;
	wl_job_task_ref(job, run->task, &at);
	step = wl_job_step(job, at.step);
	end_ns = run->placed_ns +
		 wl_sched_expected_ms(sched, job, step->estimated_ms) * WL_NS_PER_MS;
	return end_ns > now_ns ? end_ns : now_ns;
}

/* A run near, and when it is expected to end. */
typedef struct release {
	uint64_t end_ns;
	uint64_t cpu_millis;
} release_t;

static int release_compare(const void *a, const void *b)
{
	const release_t *one = a;
	const release_t *other = b;

	return one->end_ns == other->end_ns ? 0 : one->end_ns < other->end_ns ? -1 : 1;
}

static bool is_near(const wl_sched_runner_t *runner, const wl_task_batch_t *batch,
		    const wl_fit_request_t *request)
{
	return runner->fit.usable && wl_str_equal(runner->fit.rack, near_rack(batch)) &&
	       wl_fit_eligible(request, &runner->fit);
}

/* The runs near, the first to end first.  Return: how many; the caller frees them. */
static size_t releases_collect(const wl_sched_t *sched, const wl_task_batch_t *batch,
			       const wl_fit_request_t *request, uint64_t now_ns,
			       release_t **releases)
{
	const wl_sched_runner_t *runner;
	const wl_sched_run_t *run;
	size_t count = 0;

	*releases = wl_alloc((wl_map_count(&sched->by_run) + 1) * sizeof(**releases));
	TAILQ_FOREACH (runner, &sched->runners, link) {
		if (!is_near(runner, batch, request))
			continue;
		TAILQ_FOREACH (run, &runner->runs, link)
			if (!run->lasting && run->best_effort == request->step->best_effort)
				(*releases)[count++] = (release_t){
					expected_end_ns(sched, run, now_ns), run->need.cpu_millis};
	}
	qsort(*releases, count, sizeof(**releases), release_compare);
	return count;
}

/* CPU that other batches wait for near, which come before this one. */
static uint64_t ahead_millis(const wl_sched_t *sched, const wl_task_batch_t *batch)
{
	const wl_task_batch_t *other;
	uint64_t sum = 0;

	TAILQ_FOREACH (other, &sched->pending, link) {
		if (other == batch)
			break;
		if (other->hold == WL_HOLD_NEAR && wl_str_equal(near_rack(other), near_rack(batch)))
			sum += other->count * wl_job_step(other->job, other->step)->cpu_millis;
	}
	return sum;
}

/*
 * When places near are expected to be free for all tasks of the batch that wait, after those of
 * other batches.  So the tasks for which there are too few start elsewhere at once.
 */
static uint64_t near_free_ms(const wl_sched_t *sched, const wl_task_batch_t *batch,
			     const wl_fit_request_t *request, uint64_t now_ns)
{
	uint64_t wanted = ahead_millis(sched, batch) + batch->count * request->step->cpu_millis;
	uint64_t free_ns = UINT64_MAX;
	release_t *releases;
	uint64_t freed = 0;
	size_t count = releases_collect(sched, batch, request, now_ns, &releases);

	for (size_t i = 0; i < count && free_ns == UINT64_MAX; i++) {
		freed += releases[i].cpu_millis;
		if (freed >= wanted)
			free_ns = releases[i].end_ns;
	}
	free(releases);
	return free_ns == UINT64_MAX ? UINT64_MAX : (free_ns - now_ns) / WL_NS_PER_MS;
}

/*
 * wl_sched_wait_near - whether the next task of a batch waits, as its best target is not near
 *
 * Return: until when; 0: it starts on that target.
 */
uint64_t wl_sched_wait_near(wl_sched_t *sched, uint64_t now_ns, wl_task_batch_t *batch,
			    const wl_fit_request_t *request)
{
	const wl_step_spec_t *step = request->step;
	const wl_locality_t *locality =
		wl_sched_locality(sched, request->service, step->best_effort);
	wl_locality_task_t task = {.estimated_ms = step->estimated_ms};
	uint64_t wait_ms;

	if (step->lasting || request->background)
		return 0;
	if (batch->far_since_ns == 0)
		batch->far_since_ns = now_ns;
	task.waited_ms = (now_ns - batch->far_since_ns) / WL_NS_PER_MS;
	if (task.waited_ms >= WAIT_MAX_MS)
		return 0;
	task.free_ms = near_free_ms(sched, batch, request, now_ns);
	wait_ms = wl_locality_wait_ms(locality, &task);
	if (wait_ms == 0)
		return 0;
	if (wait_ms > WAIT_MAX_MS - task.waited_ms)
		wait_ms = WAIT_MAX_MS - task.waited_ms;
	if (task.waited_ms == 0)
		wl_metrics_add(sched->options.metrics, "wisterialead_job_near_waits_total", "", 1);
	return now_ns + wait_ms * WL_NS_PER_MS;
}

/*
 * wl_sched_near_placed - count a start of a task that has a place to be near to
 */
void wl_sched_near_placed(wl_sched_t *sched, wl_task_batch_t *batch, bool near)
{
	wl_metrics_add(sched->options.metrics, "wisterialead_job_near_starts_total",
		       near ? "near=\"yes\"" : "near=\"no\"", 1);
	/* The others of the step don't wait anew for what this one has waited for in vain. */
	if (near)
		batch->far_since_ns = 0;
}

/*
 * wl_sched_near_learn - note how long a run took that is done
 */
void wl_sched_near_learn(wl_sched_t *sched, uint64_t now_ns, const wl_job_t *job,
			 const wl_sched_run_t *run)
{
	const wl_step_spec_t *step;
	wl_task_ref_t at;
	wl_str_t rack;

	wl_job_task_ref(job, run->task, &at);
	step = wl_job_step(job, at.step);
	rack = wl_buf_str(&step->data_rack);
	/* A run that went on from a checkpoint tells nothing of the whole. */
	if (rack.len == 0 || job->tasks[run->task].checkpoint.len > 0)
		return;
	wl_locality_learn(
		wl_sched_locality(sched, wl_buf_str(&job->record.service), step->best_effort),
		wl_str_equal(run->runner->fit.rack, rack), step->estimated_ms,
		(now_ns - run->placed_ns) / WL_NS_PER_MS);
}
