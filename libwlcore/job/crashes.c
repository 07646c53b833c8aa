/* Crashes of targets under tasks: counted until a run shows that its task is sound. */

#include "internal.h"

#define TRIAL_MIN_MS 5000
#define TRIAL_FACTOR 2 /* of the time after which the target crashed */

/*
 * wl_task_trial_ms - how long a suspected task must run to count as sound
 */
uint64_t wl_task_trial_ms(const wl_task_crashes_t *crashes)
{
	uint64_t ms = crashes->ran_ms * TRIAL_FACTOR;

	if (ms < TRIAL_MIN_MS)
		return TRIAL_MIN_MS;
	return ms < WL_TASK_TRIAL_MAX_MS ? ms : WL_TASK_TRIAL_MAX_MS;
}

/*
 * wl_runner_crash - number of the crash of an incarnation of a target
 */
uint64_t wl_runner_crash(wl_jobs_t *jobs, wl_runner_t *runner, uint64_t incarnation)
{
	if (runner->crash == 0 || runner->crashed_incarnation != incarnation) {
		runner->crash = ++jobs->crash_count;
		runner->crashed_incarnation = incarnation;
	}
	return runner->crash;
}

static void count_set(wl_jobs_t *jobs, wl_job_t *job, wl_task_crashes_t *crashes, uint64_t count)
{
	uint64_t before = crashes->count > 0;

	crashes->count = count;
	if (count == 0)
		crashes->proved = 0;
	job->suspects += (count > 0) - before;
	jobs->suspects += (count > 0) - before;
}

/*
 * wl_task_crashes_next - crashes in a row after one more
 * @ran_ms: how long the run that ended with the target is known to have run
 */
uint64_t wl_task_crashes_next(const wl_task_crashes_t *crashes, uint64_t ran_ms)
{
	if (crashes->count == 0 || ran_ms > wl_task_trial_ms(crashes))
		return 1;
	return crashes->count + 1;
}

/*
 * Counts a crash. An outage makes a task suspected, but counts no further: it may recur. Nor does a
 * run that may never have begun count towards giving the task up. The task of a late crash has
 * started again before it was known, beside others: only one that was alone gives it up.
 */
static void crash_count(wl_jobs_t *jobs, wl_job_t *job, wl_task_crashes_t *crashes,
			const wl_run_end_t *end)
{
	uint64_t next = wl_task_crashes_next(crashes, end->ran_ms);

	if (next == 1)
		crashes->proved = 0;
	else if (end->outage)
		return;
	crashes->proved += !end->unconfirmed;
	if (end->alone)
		crashes->proved = WL_TASK_CRASHES_MAX;
	count_set(jobs, job, crashes, next);
}

/*
 * wl_task_crashed - count the crash of a target under a task
 * @crash: number of the crash
 *
 * Return: whether the job fails.
 */
bool wl_task_crashed(wl_jobs_t *jobs, wl_job_t *job, const wl_run_end_t *end, uint64_t crash)
{
	wl_task_crashes_t *crashes = &job->tasks[wl_job_shared_task(job, end->task)].crashes;

	if (job->record.crash != crash) {
		job->record.crash = crash;
		job->record.crash_count++;
	}
	job->record.outage |= end->outage;
	if (crashes->run >= end->run)
		return false;
	crashes->run = end->run;
	crashes->crash = crash;
	crash_count(jobs, job, crashes, end);
	crashes->ran_ms = end->ran_ms;
	return crashes->proved >= WL_TASK_CRASHES_MAX;
}

/* Members of a gang end because of each other, whatever crashed the target of one of them. */
static bool shows_sound(const wl_job_t *job, const wl_run_end_t *end)
{
	wl_task_ref_t at;

	if (end->outcome == WL_END_DONE || end->outcome == WL_END_FAILED)
		return true;
	wl_job_task_ref(job, end->task, &at);
	return end->outcome == WL_END_STOPPED && !wl_job_step(job, at.step)->gang;
}

/*
 * wl_task_crashes_clear - clear the count of a task if the end of its run shows that it is sound
 */
void wl_task_crashes_clear(wl_jobs_t *jobs, wl_job_t *job, const wl_run_end_t *end)
{
	wl_task_crashes_t *crashes = &job->tasks[wl_job_shared_task(job, end->task)].crashes;

	if (!shows_sound(job, end))
		return;
	if (crashes->count > 0)
		count_set(jobs, job, crashes, 0);
	if (crashes->run < end->run)
		crashes->run = end->run;
}

/*
 * wl_task_sound - clear the count of a task of which a run has worked for long enough
 *
 * A crash that ended this run, as that of another member of its gang may have, stays counted.
 */
void wl_task_sound(wl_jobs_t *jobs, wl_job_t *job, const wl_run_sound_t *sound)
{
	wl_task_crashes_t *crashes = &job->tasks[wl_job_shared_task(job, sound->task)].crashes;

	if (crashes->run >= sound->run)
		return;
	if (crashes->count > 0)
		count_set(jobs, job, crashes, 0);
	crashes->run = sound->run - 1; /* late crashes of earlier runs do not count */
}

/*
 * wl_task_crashes_restore - set the record of a task from a snapshot
 */
void wl_task_crashes_restore(wl_jobs_t *jobs, wl_job_t *job, uint64_t task,
			     const wl_task_crashes_t *crashes)
{
	job->tasks[task].crashes = *crashes;
	job->suspects += crashes->count > 0;
	if (!wl_job_ended(job))
		jobs->suspects += crashes->count > 0;
}
