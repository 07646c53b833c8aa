/* What the fleet's CPU and memory are reserved for, and what waits. */

#include "internal.h"

#define REPORT_INTERVAL_MS 1000

static const char *const use_labels[WL_SCHED_USES] = {
	"use=\"lasting\"",
	"use=\"short\"",
	"use=\"best-effort\"",
	"use=\"background\"",
};

static wl_sched_use_t use_of_step(const wl_step_spec_t *step)
{
	if (step->lasting)
		return WL_SCHED_USE_LASTING;
	return step->best_effort ? WL_SCHED_USE_BEST_EFFORT : WL_SCHED_USE_SHORT;
}

static wl_sched_use_t use_of_run(const wl_sched_run_t *run)
{
	if (run->lasting)
		return WL_SCHED_USE_LASTING;
	if (!run->best_effort)
		return WL_SCHED_USE_SHORT;
	return run->background ? WL_SCHED_USE_BACKGROUND : WL_SCHED_USE_BEST_EFFORT;
}

/*
 * wl_sched_usage - sum up what the usable targets are reserved for
 */
void wl_sched_usage(const wl_sched_t *sched, wl_sched_usage_t *usage)
{
	const wl_sched_runner_t *runner;
	const wl_sched_run_t *run;

	*usage = (wl_sched_usage_t){0};
	TAILQ_FOREACH (runner, &sched->runners, link) {
		if (!runner->fit.usable)
			continue;
		usage->capacity.cpu_millis += runner->fit.capacity.cpu_millis;
		usage->capacity.memory_mib += runner->fit.capacity.memory_mib;
		TAILQ_FOREACH (run, &runner->runs, link) {
			wl_need_t *used = &usage->used[use_of_run(run)];

			used->cpu_millis += run->need.cpu_millis;
			used->memory_mib += run->need.memory_mib;
		}
	}
}

static void waiting_sum(const wl_sched_t *sched, wl_sched_usage_t *usage)
{
	const wl_task_batch_t *batch;

	TAILQ_FOREACH (batch, &sched->pending, link) {
		const wl_step_spec_t *step = wl_job_step(batch->job, batch->step);
		wl_need_t *waiting = &usage->waiting[use_of_step(step)];

		waiting->cpu_millis += batch->count * step->cpu_millis;
		waiting->memory_mib += batch->count * step->memory_mib;
	}
}

static void usage_log(const wl_sched_usage_t *usage, wl_out_t *out)
{
	const wl_need_t *used = usage->used;
	const wl_need_t *waiting = usage->waiting;

	wl_out_log(out, WL_INFO, "fleet-usage",
		   "cpu=%llu lasting=%llu short=%llu best_effort=%llu background=%llu "
		   "waiting_lasting=%llu waiting_short=%llu waiting_best_effort=%llu "
		   "memory_mib=%llu memory_lasting=%llu memory_short=%llu "
		   "memory_best_effort=%llu memory_background=%llu",
		   (unsigned long long)usage->capacity.cpu_millis,
		   (unsigned long long)used[WL_SCHED_USE_LASTING].cpu_millis,
		   (unsigned long long)used[WL_SCHED_USE_SHORT].cpu_millis,
		   (unsigned long long)used[WL_SCHED_USE_BEST_EFFORT].cpu_millis,
		   (unsigned long long)used[WL_SCHED_USE_BACKGROUND].cpu_millis,
		   (unsigned long long)waiting[WL_SCHED_USE_LASTING].cpu_millis,
		   (unsigned long long)waiting[WL_SCHED_USE_SHORT].cpu_millis,
		   (unsigned long long)waiting[WL_SCHED_USE_BEST_EFFORT].cpu_millis,
		   (unsigned long long)usage->capacity.memory_mib,
		   (unsigned long long)used[WL_SCHED_USE_LASTING].memory_mib,
		   (unsigned long long)used[WL_SCHED_USE_SHORT].memory_mib,
		   (unsigned long long)used[WL_SCHED_USE_BEST_EFFORT].memory_mib,
		   (unsigned long long)used[WL_SCHED_USE_BACKGROUND].memory_mib);
}

/*
 * wl_sched_usage_tick - measure the usage once a second, and log it while work waits
 */
void wl_sched_usage_tick(wl_sched_t *sched, uint64_t now_ns, wl_out_t *out)
{
	wl_sched_usage_t usage;

	if (now_ns < sched->next_usage_ns)
		return;
	sched->next_usage_ns = now_ns + REPORT_INTERVAL_MS * WL_NS_PER_MS;
	wl_sched_usage(sched, &usage);
	waiting_sum(sched, &usage);
	for (size_t i = 0; i < WL_SCHED_USES; i++) {
		wl_metrics_set(sched->options.metrics, "wisterialead_job_cpu_millis", use_labels[i],
			       usage.used[i].cpu_millis);
		wl_metrics_set(sched->options.metrics, "wisterialead_job_memory_mib", use_labels[i],
			       usage.used[i].memory_mib);
	}
	if (!TAILQ_EMPTY(&sched->pending))
		usage_log(&usage, out);
}

/*
 * wl_sched_usage_clear - zero the gauges on a replica that no longer leads
 */
void wl_sched_usage_clear(wl_sched_t *sched)
{
	sched->next_usage_ns = 0;
	for (size_t i = 0; i < WL_SCHED_USES; i++) {
		wl_metrics_set(sched->options.metrics, "wisterialead_job_cpu_millis", use_labels[i],
			       0);
		wl_metrics_set(sched->options.metrics, "wisterialead_job_memory_mib", use_labels[i],
			       0);
	}
}
