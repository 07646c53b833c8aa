/* Crashes that this leader has seen, and the tasks that were given up after them. */

#include "internal.h"

#include <stdlib.h>

#define CRASHES_KEPT_MAX 4096 /* runs; the oldest are dropped */

/* A run whose target crashed. */
struct wl_sched_crash {
	wl_buf_t job;
	uint64_t task;
	uint64_t run;
	wl_buf_t target;
	wl_buf_t address;
	uint64_t at_ms; /* when its end was committed, on the group's clock */
	TAILQ_ENTRY(wl_sched_crash) link;
};

static void crash_remove(wl_sched_t *sched, wl_sched_crash_t *crash)
{
	TAILQ_REMOVE(&sched->crashes, crash, link);
	sched->crashes_kept--;
	wl_buf_free(&crash->job);
	wl_buf_free(&crash->target);
	wl_buf_free(&crash->address);
	free(crash);
}

/*
 * wl_sched_crashes_clear - release the crashes that were seen
 */
void wl_sched_crashes_clear(wl_sched_t *sched)
{
	wl_sched_crash_t *crash = TAILQ_FIRST(&sched->crashes);

	while (crash) {
		wl_sched_crash_t *next = TAILQ_NEXT(crash, link);

		crash_remove(sched, crash);
		crash = next;
	}
}

static void crash_add(wl_sched_t *sched, uint64_t now_ns, wl_str_t address, const wl_run_end_t *end)
{
	wl_sched_crash_t *crash = wl_alloc(sizeof(*crash));

	wl_buf_set(&crash->job, wl_buf_str(&end->job));
	crash->task = end->task;
	crash->run = end->run;
	wl_buf_set(&crash->target, wl_buf_str(&end->runner));
	wl_buf_set(&crash->address, address);
	crash->at_ms = wl_sched_clock_ms(sched, now_ns);
	TAILQ_INSERT_TAIL(&sched->crashes, crash, link);
	if (++sched->crashes_kept > CRASHES_KEPT_MAX)
		crash_remove(sched, TAILQ_FIRST(&sched->crashes));
}

/* "RUN:TARGET:MS" for each crash under the task that this leader has seen. */
static void seen_append(const wl_sched_t *sched, const wl_job_t *job, uint64_t task, wl_buf_t *text)
{
	uint64_t counted = wl_job_shared_task(job, task);
	const wl_sched_crash_t *crash;

	TAILQ_FOREACH (crash, &sched->crashes, link) {
		if (!wl_str_equal(wl_buf_str(&crash->job), job->key) ||
		    wl_job_shared_task(job, crash->task) != counted)
			continue;
		if (text->len > 0)
			wl_buf_append(text, WL_STR(","));
		wl_buf_append_u64(text, crash->run);
		wl_buf_append(text, WL_STR(":"));
		wl_buf_append(text, wl_buf_str(&crash->target));
		wl_buf_append(text, WL_STR(":"));
		wl_buf_append_u64(text, crash->at_ms);
	}
}

static void task_given_up(const wl_sched_t *sched, const wl_job_t *job, uint64_t task,
			  wl_out_t *out)
{
	wl_buf_t seen = {0};
	wl_task_ref_t at;

	wl_job_task_ref(job, task, &at);
	seen_append(sched, job, task, &seen);
	wl_metrics_add(sched->options.metrics, "wisterialead_job_tasks_given_up_total", "", 1);
	wl_out_log(out, WL_ERROR, "task-given-up",
		   "job=" WL_STR_FMT
		   " task=%llu.%llu.%llu crashes=%llu crash=%llu seen=" WL_STR_FMT,
		   WL_STR_ARG(job->key), (unsigned long long)at.occurrence,
		   (unsigned long long)at.step, (unsigned long long)at.index,
		   (unsigned long long)job->tasks[wl_job_shared_task(job, task)].crashes.proved,
		   (unsigned long long)job->record.crash, WL_STR_ARG(wl_buf_str(&seen)));
	wl_buf_free(&seen);
}

/* Whether this end made the job fail. */
static bool is_given_up(const wl_job_t *job, const wl_run_end_t *end)
{
	const wl_task_crashes_t *crashes = &job->tasks[wl_job_shared_task(job, end->task)].crashes;

	return job->leader_data && job->record.state == WL_JOB_FAILED &&
	       crashes->proved >= WL_TASK_CRASHES_MAX && crashes->run == end->run;
}

/*
 * wl_sched_crash_applied - process the committed end of a run whose target crashed
 * @address: of the target
 */
void wl_sched_crash_applied(wl_sched_t *sched, uint64_t now_ns, wl_str_t address,
			    const wl_run_end_t *end, wl_out_t *out)
{
	const wl_job_t *job = wl_jobs_find(sched->jobs, wl_buf_str(&end->job));
	const wl_task_crashes_t *crashes;

	if (end->outcome != WL_END_CRASHED || !job)
		return;
	crashes = &job->tasks[wl_job_shared_task(job, end->task)].crashes;
	crash_add(sched, now_ns, address, end);
	wl_sched_trial_crashed(job);
	wl_metrics_add(sched->options.metrics, "wisterialead_job_crashes_total", "", 1);
	wl_out_log(out, WL_WARN, "task-crash",
		   "job=" WL_STR_FMT " task=%llu run=%llu target=" WL_STR_FMT
		   " crash=%llu in_a_row=%llu proved=%llu ran_ms=%llu",
		   WL_STR_ARG(job->key), (unsigned long long)end->task,
		   (unsigned long long)end->run, WL_STR_ARG(wl_buf_str(&end->runner)),
		   (unsigned long long)crashes->crash, (unsigned long long)crashes->count,
		   (unsigned long long)crashes->proved, (unsigned long long)end->ran_ms);
	if (is_given_up(job, end))
		task_given_up(sched, job, end->task, out);
}
