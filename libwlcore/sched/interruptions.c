/* Lasting tasks whose run has ended: how long they are without one, and what holds them up. */

#include "internal.h"

#include <stdio.h>

#define REPORT_AFTER_MS	   4000 /* without a run */
#define REPORT_INTERVAL_MS 1000
#define REPORT_LINES	   16 /* at a time; all are counted */
#define LABELS_BYTES	   32

/* Beyond the holds of batches: the task has a run that its target does not list. */
enum {
	HOLD_START = WL_HOLDS, /* its start is not answered yet, or the run not listed */
	HOLD_SILENT,	       /* the target has stopped listing it, and its lease is not over */
	HOLDS
};

static const char *const hold_names[] = {
	[WL_HOLD_NONE] = "unconsidered", [WL_HOLD_ROOM] = "room",
	[WL_HOLD_APART] = "apart",	 [WL_HOLD_ALONE] = "alone",
	[WL_HOLD_SLOW] = "slow-start",	 [WL_HOLD_RESERVE] = "reserve",
	[WL_HOLD_NEAR] = "near",	 [HOLD_START] = "start",
	[HOLD_SILENT] = "silent",
};

typedef struct report {
	wl_sched_t *sched;
	uint64_t now_ns;
	uint64_t counts[HOLDS];
	size_t lines;
	wl_out_t *out;
} report_t;

/*
 * wl_sched_interruption_measure - record for how long a lasting task was without a run
 * @run: listed for the first time
 */
void wl_sched_interruption_measure(wl_sched_t *sched, uint64_t now_ns, const wl_sched_run_t *run)
{
	if (!run->lasting || run->previous_end_ns == 0 || run->previous_end_ns > now_ns)
		return;
	if (!sched->interruption_times)
		sched->interruption_times = wl_metrics_find(
			sched->options.metrics, "wisterialead_job_interruption_seconds", "");
	wl_metric_observe(sched->interruption_times, now_ns - run->previous_end_ns);
}

static bool is_late(const report_t *report, uint64_t since_ns)
{
	return report->now_ns >= since_ns + REPORT_AFTER_MS * WL_NS_PER_MS;
}

static void task_report(report_t *report, const wl_job_t *job, uint64_t task, uint64_t since_ns,
			unsigned int hold, const wl_sched_runner_t *runner)
{
	wl_task_ref_t at;

	report->counts[hold]++;
	if (report->lines++ >= REPORT_LINES)
		return;
	wl_job_task_ref(job, task, &at);
	wl_out_log(report->out, WL_WARN, "task-interrupted",
		   "job=" WL_STR_FMT " task=%llu.%llu.%llu interrupted_ms=%llu hold=%s "
		   "target=" WL_STR_FMT " crashes=%llu",
		   WL_STR_ARG(job->key), (unsigned long long)at.occurrence,
		   (unsigned long long)at.step, (unsigned long long)at.index,
		   (unsigned long long)((report->now_ns - since_ns) / WL_NS_PER_MS),
		   hold_names[hold], WL_STR_ARG(runner ? runner->key : WL_STR("-")),
		   (unsigned long long)job->tasks[wl_job_shared_task(job, task)].crashes.count);
}

static void batches_report(report_t *report)
{
	const wl_task_batch_t *batch;

	TAILQ_FOREACH (batch, &report->sched->pending, link) {
		if (!wl_job_step(batch->job, batch->step)->lasting)
			continue;
		for (size_t i = batch->count; i-- > 0;)
			if (batch->tasks[i].ended_ns && is_late(report, batch->tasks[i].ended_ns))
				task_report(report, batch->job, batch->tasks[i].task,
					    batch->tasks[i].ended_ns, batch->hold, NULL);
	}
}

static void run_report(report_t *report, const wl_sched_run_t *run)
{
	uint64_t since_ns = run->last_listed_ns ? run->last_listed_ns : run->previous_end_ns;
	const wl_job_t *job;

	if (run->phase == WL_RUN_ENDING || since_ns == 0 || !is_late(report, since_ns))
		return;
	job = wl_jobs_find(report->sched->jobs, wl_buf_str(&run->job));
	if (job && !wl_job_ended(job))
		task_report(report, job, run->task, since_ns,
			    run->last_listed_ns ? HOLD_SILENT : HOLD_START, run->runner);
}

static void runs_report(report_t *report)
{
	const wl_sched_runner_t *runner;
	const wl_sched_run_t *run;

	TAILQ_FOREACH (runner, &report->sched->runners, link)
		TAILQ_FOREACH (run, &runner->runs, link)
			if (run->lasting)
				run_report(report, run);
}

static void counts_set(wl_sched_t *sched, const uint64_t *counts)
{
	char labels[LABELS_BYTES];

	for (size_t i = 0; i < HOLDS; i++) {
		snprintf(labels, sizeof(labels), "hold=\"%s\"", hold_names[i]);
		wl_metrics_set(sched->options.metrics, "wisterialead_job_tasks_interrupted", labels,
			       counts[i]);
	}
}

/*
 * wl_sched_interruptions_tick - count the lasting tasks without a run once a second, and log them
 */
void wl_sched_interruptions_tick(wl_sched_t *sched, uint64_t now_ns, wl_out_t *out)
{
	report_t report = {.sched = sched, .now_ns = now_ns, .out = out};

	if (now_ns < sched->next_interruptions_ns)
		return;
	sched->next_interruptions_ns = now_ns + REPORT_INTERVAL_MS * WL_NS_PER_MS;
	batches_report(&report);
	runs_report(&report);
	counts_set(sched, report.counts);
}

/*
 * wl_sched_interruptions_clear - zero the counts on a replica that no longer leads
 */
void wl_sched_interruptions_clear(wl_sched_t *sched)
{
	const uint64_t counts[HOLDS] = {0};

	sched->next_interruptions_ns = 0;
	counts_set(sched, counts);
}
