/* The CPU of each service that is kept for its short urgent work. */

#include "internal.h"

#include <stdlib.h>

#define SAMPLE_INTERVAL_MS 100
/* Work that has waited for longer does not wait for CPU that lasting tasks hold. */
#define WAITING_MAX_MS 5000

struct wl_sched_reserve {
	wl_buf_t service;
	wl_reserve_t reserve;
	uint64_t waiting_millis; /* while the queue is looked at */
	TAILQ_ENTRY(wl_sched_reserve) link;
};

static wl_sched_reserve_t *reserve_get(wl_sched_t *sched, wl_str_t service)
{
	wl_sched_reserve_t *found;

	TAILQ_FOREACH (found, &sched->reserves, link)
		if (wl_str_equal(wl_buf_str(&found->service), service))
			return found;
	found = wl_alloc(sizeof(*found));
	wl_buf_set(&found->service, service);
	TAILQ_INSERT_TAIL(&sched->reserves, found, link);
	return found;
}

/* CPU of the usable targets of a service. */
static wl_reserve_use_t use_of(const wl_sched_t *sched, wl_str_t service)
{
	const wl_sched_runner_t *runner;
	wl_reserve_use_t use = {0};

	TAILQ_FOREACH (runner, &sched->runners, link) {
		if (!runner->fit.usable || !wl_str_equal(runner->fit.service, service))
			continue;
		use.capacity_millis += runner->fit.capacity.cpu_millis;
		use.lasting_millis += runner->lasting_millis;
		use.short_millis += runner->fit.used.cpu_millis - runner->lasting_millis;
	}
	return use;
}

static bool counts(const wl_task_batch_t *batch, uint64_t now_ns)
{
	const wl_step_spec_t *step = wl_job_step(batch->job, batch->step);

	return !step->lasting && !step->best_effort &&
	       now_ns - batch->queued_ns < WAITING_MAX_MS * WL_NS_PER_MS;
}

/*
 * wl_sched_reserves_tick - sample the demand of short work
 */
void wl_sched_reserves_tick(wl_sched_t *sched, uint64_t now_ns)
{
	const wl_task_batch_t *batch;
	wl_sched_reserve_t *reserve;
	uint64_t kept = 0;

	if (now_ns < sched->next_reserves_ns)
		return;
	sched->next_reserves_ns = now_ns + SAMPLE_INTERVAL_MS * WL_NS_PER_MS;
	for (size_t i = 0; i < sched->jobs->catalog.services.count; i++)
		reserve_get(
			sched,
			wl_buf_str(&((const wl_service_t *)sched->jobs->catalog.services.items)[i]
					    .name));
	TAILQ_FOREACH (reserve, &sched->reserves, link)
		reserve->waiting_millis = 0;
	TAILQ_FOREACH (batch, &sched->pending, link)
		if (counts(batch, now_ns))
			reserve_get(sched, wl_buf_str(&batch->job->record.service))
				->waiting_millis +=
				batch->count * wl_job_step(batch->job, batch->step)->cpu_millis;
	TAILQ_FOREACH (reserve, &sched->reserves, link) {
		wl_reserve_sample(&reserve->reserve, now_ns,
				  use_of(sched, wl_buf_str(&reserve->service)).short_millis +
					  reserve->waiting_millis);
		kept += wl_reserve_millis(&reserve->reserve, now_ns);
	}
	wl_metrics_set(sched->options.metrics, "wisterialead_job_reserve_millis", "", kept);
}

/*
 * wl_sched_reserve_holds - whether the next task of a batch is lasting, has not run yet, and would
 * take CPU that is kept for short work
 */
bool wl_sched_reserve_holds(wl_sched_t *sched, uint64_t now_ns, const wl_task_batch_t *batch)
{
	const wl_step_spec_t *step = wl_job_step(batch->job, batch->step);
	wl_str_t service = wl_buf_str(&batch->job->record.service);
	wl_reserve_use_t use;

	if (!step->lasting || batch->interrupted || batch->suspect)
		return false;
	use = use_of(sched, service);
	return !wl_reserve_allows(&reserve_get(sched, service)->reserve, now_ns, &use,
				  step->cpu_millis);
}

/*
 * wl_sched_reserves_clear - release what only a leader keeps
 */
void wl_sched_reserves_clear(wl_sched_t *sched)
{
	wl_sched_reserve_t *reserve;

	while ((reserve = TAILQ_FIRST(&sched->reserves))) {
		TAILQ_REMOVE(&sched->reserves, reserve, link);
		wl_buf_free(&reserve->service);
		free(reserve);
	}
	sched->next_reserves_ns = 0;
	wl_metrics_set(sched->options.metrics, "wisterialead_job_reserve_millis", "", 0);
}
