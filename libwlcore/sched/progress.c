/*
 * The live job that has waited longest without progress, whether or not it has runs: what it has,
 * and what keeps its next task from a target.
 */

#include "internal.h"

#define REPORT_INTERVAL_MS 1000
#define WAITING_REPORT_MS  10000 /* without progress: the job is logged and counted */

/* How far a target comes in the checks of placement; in their order. */
typedef enum wl_fit_stage {
	FIT_UNUSABLE, /* draining, leaving, quarantined, or without a known clock */
	FIT_NOT_ELIGIBLE,
	FIT_NO_CAPACITY,
	FIT_TAIL,  /* the forecast forbids it, or the limit of the step for a target */
	FIT_TRIAL, /* ruled out by a run on trial or by new runs there */
	FIT_FITS,
} wl_fit_stage_t;

static const char *const stage_names[] = {"unusable", "not-eligible", "no-capacity",
					  "tail",     "trial",	      "none"};

/* What is told of the runs of a job. */
typedef struct runs_view {
	uint64_t count;
	uint64_t unknown; /* committed, without data of this leader */
	uint64_t background;
	uint64_t slowest_percent;
	const wl_sched_run_t *oldest; /* that was heard of longest ago */
} runs_view_t;

/*
 * wl_sched_job_progressed - note that a task of a job is done, or that a run saved its progress
 */
void wl_sched_job_progressed(const wl_job_t *job, uint64_t now_ns)
{
	wl_sched_job_t *sched_job = job->leader_data;

	if (sched_job)
		sched_job->progress_ns = now_ns;
}

static void runs_view(const wl_sched_t *sched, const wl_job_t *job, runs_view_t *view)
{
	const wl_run_t *run;

	*view = (runs_view_t){.slowest_percent = WL_SPEED_FULL};
	for (uint64_t i = 0; i < job->task_count && job->active > 0; i++)
		TAILQ_FOREACH (run, &job->tasks[i].runs, of_task) {
			const wl_sched_run_t *known =
				wl_sched_run_find(sched, job->key, i, run->number);

			view->count++;
			view->unknown += !known;
			if (!known)
				continue;
			view->background += known->background;
			if (known->speed_percent < view->slowest_percent)
				view->slowest_percent = known->speed_percent;
			if (!view->oldest || wl_sched_run_heard_ns(sched, known) <
						     wl_sched_run_heard_ns(sched, view->oldest))
				view->oldest = known;
		}
}

static wl_fit_stage_t fit_stage(wl_sched_t *sched, wl_sched_runner_t *runner,
				const wl_task_batch_t *batch, const wl_fit_request_t *request)
{
	if (!wl_fit_eligible(request, &runner->fit))
		return FIT_NOT_ELIGIBLE;
	if (!runner->fit.usable)
		return FIT_UNUSABLE;
	if (!wl_fit_has_capacity(request, &runner->fit))
		return FIT_NO_CAPACITY;
	if (!wl_sched_runner_fits(sched, runner, batch, request))
		return FIT_TAIL;
	return wl_sched_trials_allow(runner, batch) ? FIT_FITS : FIT_TRIAL;
}

/* The first batch of a job in the queue; NULL: none waits. */
static const wl_task_batch_t *first_batch(const wl_sched_t *sched, const wl_job_t *job)
{
	const wl_task_batch_t *batch;

	TAILQ_FOREACH (batch, &sched->pending, link)
		if (batch->job == job)
			return batch;
	return NULL;
}

static void batch_log(wl_sched_t *sched, uint64_t now_ns, const wl_task_batch_t *batch,
		      wl_out_t *out)
{
	wl_fit_request_t request = wl_sched_fit_request(now_ns, batch);
	uint64_t targets[FIT_FITS + 1] = {0};
	wl_fit_stage_t furthest = FIT_UNUSABLE;
	wl_sched_runner_t *best = NULL;
	wl_sched_runner_t *runner;

	TAILQ_FOREACH (runner, &sched->runners, link) {
		wl_fit_stage_t stage = fit_stage(sched, runner, batch, &request);

		targets[stage]++;
		if (best && stage <= furthest)
			continue;
		best = runner;
		furthest = stage;
	}
	wl_out_log(out, WL_WARN, "job-waiting-for",
		   "job=" WL_STR_FMT " step=%llu tasks=%llu cpu=%llu memory_mib=%llu suspect=%s "
		   "trial_level=%llu waits_for_trials=%s background=%s last_try_ms=%llu "
		   "target=" WL_STR_FMT " ruled_out_by=%s unusable=%llu not_eligible=%llu "
		   "no_capacity=%llu tail=%llu trial=%llu fits=%llu",
		   WL_STR_ARG(batch->job->key), (unsigned long long)batch->step,
		   (unsigned long long)batch->count, (unsigned long long)request.step->cpu_millis,
		   (unsigned long long)request.step->memory_mib, batch->suspect ? "yes" : "no",
		   (unsigned long long)batch->suspicion.level,
		   wl_sched_trials_hold(batch, 1) ? "yes" : "no", request.background ? "yes" : "no",
		   (unsigned long long)((now_ns - batch->tried_ns) / WL_NS_PER_MS),
		   WL_STR_ARG(best ? best->key : WL_STR("none")), stage_names[furthest],
		   (unsigned long long)targets[FIT_UNUSABLE],
		   (unsigned long long)targets[FIT_NOT_ELIGIBLE],
		   (unsigned long long)targets[FIT_NO_CAPACITY],
		   (unsigned long long)targets[FIT_TAIL], (unsigned long long)targets[FIT_TRIAL],
		   (unsigned long long)targets[FIT_FITS]);
}

static void job_log(wl_sched_t *sched, uint64_t now_ns, const wl_job_t *job, uint64_t waiting,
		    wl_out_t *out)
{
	const wl_sched_job_t *sched_job = job->leader_data;
	const wl_task_batch_t *batch = first_batch(sched, job);
	const wl_sched_run_t *oldest;
	runs_view_t runs;

	runs_view(sched, job, &runs);
	oldest = runs.oldest;
	wl_out_log(out, WL_WARN, "job-waiting",
		   "job=" WL_STR_FMT " state=%s waited_ms=%llu remaining=%llu batches=%zu "
		   "runs=%llu unknown=%llu background=%llu slowest_percent=%llu "
		   "oldest=" WL_STR_FMT " phase=%s heard_ms=%llu target=" WL_STR_FMT
		   " waiting_jobs=%llu",
		   WL_STR_ARG(job->key), wl_job_state_names[job->record.state],
		   (unsigned long long)((now_ns - sched_job->progress_ns) / WL_NS_PER_MS),
		   (unsigned long long)job->remaining, sched_job->queued,
		   (unsigned long long)runs.count, (unsigned long long)runs.unknown,
		   (unsigned long long)runs.background, (unsigned long long)runs.slowest_percent,
		   WL_STR_ARG(oldest ? oldest->key : WL_STR("none")),
		   oldest ? wl_run_phase_names[oldest->phase] : "none",
		   oldest ? (unsigned long long)((now_ns - wl_sched_run_heard_ns(sched, oldest)) /
						 WL_NS_PER_MS)
			  : 0ULL,
		   WL_STR_ARG(oldest ? oldest->runner->key : WL_STR("none")),
		   (unsigned long long)waiting);
	if (batch)
		batch_log(sched, now_ns, batch, out);
}

/* Tasks that last make no progress by which a job could be judged. */
static bool has_lasting_step(const wl_job_t *job)
{
	for (uint64_t step = 0; step < job->record.spec.steps.count; step++)
		if (wl_job_step(job, step)->lasting)
			return true;
	return false;
}

/*
 * wl_sched_progress_tick - count the jobs without progress once a second, and log the one that has
 * waited longest
 */
void wl_sched_progress_tick(wl_sched_t *sched, uint64_t now_ns, wl_out_t *out)
{
	const wl_job_t *longest = NULL;
	const wl_job_t *job;
	uint64_t longest_ns = 0;
	uint64_t waiting = 0;

	if (now_ns < sched->next_progress_ns)
		return;
	sched->next_progress_ns = now_ns + REPORT_INTERVAL_MS * WL_NS_PER_MS;
	TAILQ_FOREACH (job, &sched->jobs->live, link) {
		const wl_sched_job_t *sched_job = job->leader_data;
		uint64_t waited_ns = sched_job ? now_ns - sched_job->progress_ns : 0;

		if (waited_ns < WAITING_REPORT_MS * WL_NS_PER_MS || job->record.spec.repeat ||
		    has_lasting_step(job))
			continue;
		waiting++;
		if (waited_ns <= longest_ns)
			continue;
		longest = job;
		longest_ns = waited_ns;
	}
	wl_metrics_set(sched->options.metrics, "wisterialead_jobs_waiting", "", waiting);
	if (longest)
		job_log(sched, now_ns, longest, waiting, out);
}
