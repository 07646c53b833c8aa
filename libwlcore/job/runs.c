/* Runs: started and ended by commands, and the effect of an end on the task and the job. */

#include "internal.h"

#include <stdlib.h>

/*
 * wl_job_run - find a run that has not ended, by its task and number
 *
 * Return: the run, or NULL.
 */
wl_run_t *wl_job_run(const wl_job_t *job, uint64_t task, uint64_t number)
{
	wl_run_t *run;

	if (task >= job->task_count)
		return NULL;
	TAILQ_FOREACH (run, &job->tasks[task].runs, of_task)
		if (run->number == number)
			return run;
	return NULL;
}

void wl_run_remove(wl_jobs_t *jobs, wl_run_t *run)
{
	TAILQ_REMOVE(&run->job->tasks[run->task].runs, run, of_task);
	TAILQ_REMOVE(&run->runner->runs, run, of_runner);
	run->job->active--;
	jobs->run_count--;
	free(run);
}

static wl_run_t *run_insert(wl_jobs_t *jobs, wl_job_t *job, wl_runner_t *runner,
			    const wl_run_start_t *row)
{
	wl_run_t *run = wl_alloc(sizeof(*run));

	run->job = job;
	run->task = row->task;
	run->number = row->run;
	run->runner = runner;
	run->incarnation = row->incarnation;
	run->started_ms = row->started_ms;
	run->announced = row->announced || (runner->report.draining &&
					    runner->report.incarnation == row->incarnation);
	TAILQ_INSERT_TAIL(&job->tasks[row->task].runs, run, of_task);
	TAILQ_INSERT_TAIL(&runner->runs, run, of_runner);
	job->active++;
	jobs->run_count++;
	return run;
}

/*
 * Checks a start again at its commit: a cancellation, or the end of another run of the task, may
 * have been committed after the placement.
 */
static bool start_allowed(const wl_job_t *job, const wl_run_start_t *row)
{
	const wl_job_task_t *task;
	wl_task_ref_t at;

	if (!job || wl_job_ended(job) || row->task >= job->task_count)
		return false;
	task = &job->tasks[row->task];
	wl_job_task_ref(job, row->task, &at);
	if (task->done || row->run <= task->run || !wl_job_step_open(job, at.occurrence, at.step))
		return false;
	return TAILQ_EMPTY(&task->runs) ||
	       (wl_job_step(job, at.step)->speculative && task->crashes.count == 0);
}

void wl_jobs_runs_start(wl_jobs_t *jobs, const wl_cmd_runs_start_t *cmd, uint64_t clock_ms,
			wl_result_t *result)
{
	const wl_run_start_t *rows = cmd->runs.items;

	for (size_t i = 0; i < cmd->runs.count; i++) {
		wl_job_t *job = wl_jobs_find(jobs, wl_buf_str(&rows[i].job));
		wl_runner_t *runner = wl_jobs_runner(jobs, wl_buf_str(&rows[i].runner));
		wl_run_t *run;

		if (!runner || runner->departed_ms || !start_allowed(job, &rows[i]))
			continue;
		run = run_insert(jobs, job, runner, &rows[i]);
		run->started_ms = clock_ms;
		run->start_index = jobs->index;
		job->tasks[rows[i].task].run = rows[i].run;
		if (job->record.state == WL_JOB_QUEUED)
			job->record.state = WL_JOB_RUNNING;
	}
	wl_result_ok(result, 0);
}

void wl_task_done(wl_job_t *job, uint64_t task)
{
	wl_task_ref_t at;

	if (job->tasks[task].done)
		return;
	wl_job_task_ref(job, task, &at);
	job->tasks[task].done = true;
	(*wl_job_step_remaining(job, at.occurrence, at.step))--;
	job->remaining--;
}

/* Members of a gang end together: the end of one marks all as done. */
static void gang_done(wl_job_t *job, const wl_task_ref_t *at)
{
	wl_task_ref_t member = *at;
	uint64_t task;

	for (member.index = 0; wl_job_task_index(job, &member, &task); member.index++)
		wl_task_done(job, task);
}

/*
 * wl_job_shared_task - the task whose counts and checkpoint a task shares: in a gang, the first
 * member
 */
uint64_t wl_job_shared_task(const wl_job_t *job, uint64_t task)
{
	wl_task_ref_t at;

	wl_job_task_ref(job, task, &at);
	return wl_job_step(job, at.step)->gang ? task - at.index : task;
}

/*
 * Counts a failed run.
 * Return: whether the job fails.
 */
static bool task_failed(wl_job_t *job, uint64_t task, const wl_task_ref_t *at, uint64_t run)
{
	wl_job_task_t *counted = &job->tasks[wl_job_shared_task(job, task)];

	if (counted->failed_run >= run)
		return false;
	counted->failed_run = run;
	counted->failures++;
	return !wl_job_step(job, at->step)->lasting &&
	       counted->failures >= job->record.max_attempts;
}

/*
 * wl_run_end_is_listed - whether the target listed the end of a run, and so had begun it
 */
bool wl_run_end_is_listed(wl_run_outcome_t outcome)
{
	switch (outcome) {
	case WL_END_DONE:
	case WL_END_FAILED:
	case WL_END_STOPPED:
	case WL_END_LEASE_EXPIRED:
	case WL_END_GANG_BROKEN:
	case WL_END_GANG_INCOMPLETE:
		return true;
	case WL_END_LOST:
	case WL_END_NOT_STARTED:
	case WL_END_CRASHED:
	case WL_END_OUTCOMES:
		break;
	}
	return false;
}

static void run_ended(wl_jobs_t *jobs, wl_run_t *run, const wl_run_end_t *end, uint64_t clock_ms)
{
	wl_job_t *job = run->job;
	uint64_t task = run->task;
	bool crashed = end->outcome == WL_END_CRASHED;
	uint64_t crash = crashed ? wl_runner_crash(jobs, run->runner, run->incarnation) : 0;
	bool fails = false;
	wl_task_ref_t at;

	wl_job_task_ref(job, task, &at);
	if (end->checkpoint.len)
		wl_buf_set(&job->tasks[wl_job_shared_task(job, task)].checkpoint,
			   wl_buf_str(&end->checkpoint));
	if (end->silent && !wl_job_ended(job))
		wl_lapse_end_add(jobs, run->runner, end, clock_ms);
	wl_run_remove(jobs, run);
	job->begun |= wl_run_end_is_listed((wl_run_outcome_t)end->outcome);
	if (wl_job_ended(job))
		return;
	if (end->outcome == WL_END_DONE && !wl_job_step(job, at.step)->lasting) {
		if (wl_job_step(job, at.step)->gang)
			gang_done(job, &at);
		else
			wl_task_done(job, task);
	}
	if (end->outcome == WL_END_FAILED)
		fails = task_failed(job, task, &at, end->run);
	if (crashed)
		fails = wl_task_crashed(jobs, job, end, crash);
	else
		wl_task_crashes_clear(jobs, job, end);
	if (fails)
		wl_job_end(jobs, job, WL_JOB_FAILED, clock_ms);
	else if (job->remaining == 0)
		wl_job_end(jobs, job, WL_JOB_COMPLETED, clock_ms);
}

static void runs_sound(wl_jobs_t *jobs, const wl_list_t *sound)
{
	const wl_run_sound_t *rows = sound->items;

	for (size_t i = 0; i < sound->count; i++) {
		wl_job_t *job = wl_jobs_find(jobs, wl_buf_str(&rows[i].job));

		if (job && !wl_job_ended(job) && wl_job_run(job, rows[i].task, rows[i].run))
			wl_task_sound(jobs, job, &rows[i]);
	}
}

static void runs_doubt(const wl_jobs_t *jobs, const wl_list_t *doubts)
{
	const wl_run_doubt_t *rows = doubts->items;

	for (size_t i = 0; i < doubts->count; i++) {
		wl_job_t *job = wl_jobs_find(jobs, wl_buf_str(&rows[i].job));
		wl_run_t *run = job ? wl_job_run(job, rows[i].task, rows[i].run) : NULL;

		if (run)
			run->doubtful = !rows[i].over;
	}
}

/* Counts crashes under runs that have ended as lost, as the crash was not known yet. */
static void runs_crashed_late(wl_jobs_t *jobs, const wl_list_t *late, uint64_t clock_ms)
{
	const wl_run_end_t *rows = late->items;

	for (size_t i = 0; i < late->count; i++) {
		wl_job_t *job = wl_jobs_find(jobs, wl_buf_str(&rows[i].job));
		wl_runner_t *runner = wl_jobs_runner(jobs, wl_buf_str(&rows[i].runner));
		uint64_t crash;

		if (!job || !runner || wl_job_ended(job) || rows[i].task >= job->task_count ||
		    job->tasks[rows[i].task].done)
			continue;
		crash = wl_runner_crash(jobs, runner, rows[i].incarnation);
		if (wl_task_crashed(jobs, job, &rows[i], crash))
			wl_job_end(jobs, job, WL_JOB_FAILED, clock_ms);
	}
}

void wl_jobs_runs_end(wl_jobs_t *jobs, const wl_cmd_runs_end_t *cmd, uint64_t clock_ms,
		      wl_result_t *result)
{
	const wl_run_end_t *ends = cmd->ends.items;

	for (size_t i = 0; i < cmd->ends.count; i++) {
		wl_job_t *job = wl_jobs_find(jobs, wl_buf_str(&ends[i].job));
		wl_run_t *run = job ? wl_job_run(job, ends[i].task, ends[i].run) : NULL;

		if (run && wl_str_equal(run->runner->key, wl_buf_str(&ends[i].runner)))
			run_ended(jobs, run, &ends[i], clock_ms);
	}
	runs_sound(jobs, &cmd->sound);
	runs_doubt(jobs, &cmd->doubts);
	runs_crashed_late(jobs, &cmd->late, clock_ms);
	wl_lapses_over(jobs, &cmd->lapses_over);
	wl_result_ok(result, 0);
}

/*
 * wl_jobs_restore_run - add a run from a snapshot
 *
 * Return: false if its job, task or target does not exist, or the run does already.
 */
bool wl_jobs_restore_run(wl_jobs_t *jobs, const wl_run_start_t *row)
{
	wl_job_t *job = wl_jobs_find(jobs, wl_buf_str(&row->job));
	wl_runner_t *runner = wl_jobs_runner(jobs, wl_buf_str(&row->runner));

	if (!job || !runner || row->task >= job->task_count || wl_job_run(job, row->task, row->run))
		return false;
	run_insert(jobs, job, runner, row)->doubtful = row->doubtful;
	return true;
}
