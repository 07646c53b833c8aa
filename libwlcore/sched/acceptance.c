/*
 * Which submitted jobs are accepted: all but those that cannot be done in time.
 *
 * A job is refused before it is proposed, so that nothing accepted is withdrawn. In doubt it is
 * accepted. A new leader has measured no rate, and refuses nothing because of the work ahead.
 */

#include "internal.h"

#include <stdio.h>
#include <stdlib.h>

#define LABELS_BYTES	 64
#define TICK_INTERVAL_MS 100
/* Work that has waited for less may only wait for the next pass. */
#define WAITING_MIN_MS 1000
/* A refused submission is refused again for this time: copies of it may be on their way. */
#define REFUSED_MS 4000
/* A leader that is new to its targets may not know the largest one. */
#define TARGETS_KNOWN_MS 10000
/* A step that takes more of a service than 1 / WIDE_SHARE runs in waves: its time is not known. */
#define WIDE_SHARE 4

/* Tasks of a service that compete for the same processors. */
struct wl_sched_class {
	wl_buf_t service;
	bool best_effort;
	bool waiting; /* while the queue is looked at: some of its work waits */
	wl_drain_t drain;
	wl_stretch_t stretch;
	wl_locality_t locality;
	TAILQ_ENTRY(wl_sched_class) link;
};

/* A submission that was refused. */
struct wl_sched_refusal {
	uint64_t address; /* hash of its host and path */
	uint64_t refused_ns;
	uint64_t retry_ms; /* on the group's clock: when its caller is to submit it again */
	TAILQ_ENTRY(wl_sched_refusal) link;
};

/*
 * wl_sched_address_hash - hash of the host and path of a submission; never 0
 */
uint64_t wl_sched_address_hash(const wl_cmd_job_add_t *add)
{
	return wl_str_hash(wl_buf_str(&add->path), wl_str_hash(wl_buf_str(&add->host), 0)) | 1;
}

/*
 * wl_sched_acceptance_init - initialize, without any knowledge
 */
void wl_sched_acceptance_init(wl_sched_t *sched)
{
	TAILQ_INIT(&sched->classes);
	TAILQ_INIT(&sched->refusals);
}

/*
 * wl_sched_acceptance_clear - release what only a leader keeps
 */
void wl_sched_acceptance_clear(wl_sched_t *sched)
{
	wl_sched_refusal_t *refusal = TAILQ_FIRST(&sched->refusals);
	wl_sched_class_t *class = TAILQ_FIRST(&sched->classes);

	while (class) {
		wl_sched_class_t *next = TAILQ_NEXT(class, link);

		TAILQ_REMOVE(&sched->classes, class, link);
		wl_buf_free(&class->service);
		free(class);
		class = next;
	}
	while (refusal) {
		wl_sched_refusal_t *next = TAILQ_NEXT(refusal, link);

		TAILQ_REMOVE(&sched->refusals, refusal, link);
		free(refusal);
		refusal = next;
	}
	sched->returns = (wl_returns_t){0};
	sched->own_applied = false;
}

static wl_sched_class_t *class_get(wl_sched_t *sched, wl_str_t service, bool best_effort)
{
	wl_sched_class_t *class;

	TAILQ_FOREACH (class, &sched->classes, link)
		if (class->best_effort == best_effort &&
		    wl_str_equal(wl_buf_str(&class->service), service))
			return class;
	class = wl_alloc(sizeof(*class));
	wl_buf_set(&class->service, service);
	class->best_effort = best_effort;
	TAILQ_INSERT_TAIL(&sched->classes, class, link);
	return class;
}

static uint64_t work_ms(const wl_step_spec_t *step, uint64_t tasks)
{
	return tasks * step->cpu_millis * step->estimated_ms / WL_PERMILLE;
}

/*
 * wl_sched_work_done - note that a task is done
 */
void wl_sched_work_done(wl_sched_t *sched, uint64_t now_ns, const wl_job_t *job, uint64_t step)
{
	const wl_step_spec_t *spec = wl_job_step(job, step);
	wl_sched_class_t *class =
		class_get(sched, wl_buf_str(&job->record.service), spec->best_effort);

	if (!spec->lasting)
		wl_drain_done(&class->drain, now_ns / WL_NS_PER_MS, work_ms(spec, 1));
}

/*
 * wl_sched_locality - what is known of run times near data and elsewhere
 */
wl_locality_t *wl_sched_locality(wl_sched_t *sched, wl_str_t service, bool best_effort)
{
	return &class_get(sched, service, best_effort)->locality;
}

/* The class of most of a job's work. */
static bool job_is_best_effort(const wl_job_t *job)
{
	return wl_job_step(job, 0)->best_effort;
}

/*
 * wl_sched_step_took - note how long a step took, from its first start to its last end
 */
void wl_sched_step_took(wl_sched_t *sched, const wl_job_t *job, uint64_t step, uint64_t took_ms)
{
	const wl_step_spec_t *spec = wl_job_step(job, step);

	if (!spec->lasting && !spec->gang)
		wl_stretch_learn(
			&class_get(sched, wl_buf_str(&job->record.service), spec->best_effort)
				 ->stretch,
			spec->estimated_ms, took_ms);
}

/*
 * wl_sched_expected_ms - how long a chain of a job's steps is expected to take
 * @path_ms: by their estimates
 */
uint64_t wl_sched_expected_ms(const wl_sched_t *sched, const wl_job_t *job, uint64_t path_ms)
{
	const wl_sched_class_t *class;

	TAILQ_FOREACH (class, &sched->classes, link)
		if (class->best_effort == job_is_best_effort(job) &&
		    wl_str_equal(wl_buf_str(&class->service), wl_buf_str(&job->record.service)))
			return wl_stretch_apply(&class->stretch, path_ms);
	return path_ms;
}

static bool is_in_force(const wl_sched_refusal_t *refusal, uint64_t now_ns)
{
	return now_ns < refusal->refused_ns + REFUSED_MS * WL_NS_PER_MS;
}

/* Drops the refusals that are over. */
static void refusals_expire(wl_sched_t *sched, uint64_t now_ns)
{
	wl_sched_refusal_t *refusal = TAILQ_FIRST(&sched->refusals);

	while (refusal && !is_in_force(refusal, now_ns)) {
		wl_sched_refusal_t *next = TAILQ_NEXT(refusal, link);

		TAILQ_REMOVE(&sched->refusals, refusal, link);
		free(refusal);
		refusal = next;
	}
}

static bool batch_waits(const wl_task_batch_t *batch, uint64_t now_ns)
{
	return !wl_job_step(batch->job, batch->step)->lasting &&
	       now_ns >= batch->queued_ns + WAITING_MIN_MS * WL_NS_PER_MS;
}

/*
 * wl_sched_acceptance_tick - note of which classes work waits, and drop the refusals that are over
 */
void wl_sched_acceptance_tick(wl_sched_t *sched, uint64_t now_ns)
{
	const wl_task_batch_t *batch;
	wl_sched_class_t *class;

	if (now_ns < sched->next_acceptance_ns)
		return;
	sched->next_acceptance_ns = now_ns + TICK_INTERVAL_MS * WL_NS_PER_MS;
	refusals_expire(sched, now_ns);
	TAILQ_FOREACH (class, &sched->classes, link)
		class->waiting = false;
	TAILQ_FOREACH (batch, &sched->pending, link)
		if (batch_waits(batch, now_ns))
			class_get(sched, wl_buf_str(&batch->job->record.service),
				  wl_job_step(batch->job, batch->step)->best_effort)
				->waiting = true;
	TAILQ_FOREACH (class, &sched->classes, link)
		wl_drain_waiting(&class->drain, now_ns / WL_NS_PER_MS, class->waiting);
}

/* The processors of a service that work of a class uses at present, in thousandths. */
static uint64_t class_running_millis(const wl_sched_t *sched, const wl_sched_class_t *class)
{
	wl_str_t service = wl_buf_str(&class->service);
	const wl_sched_runner_t *runner;
	uint64_t running = 0;

	TAILQ_FOREACH (runner, &sched->runners, link) {
		if (!wl_str_equal(runner->fit.service, service))
			continue;
		running += class->best_effort
				   ? runner->fit.best_effort_millis
				   : runner->fit.used.cpu_millis - runner->lasting_millis;
	}
	return running;
}

/*
 * The rate of a class: the measured one, or that at which all that runs would end on time if it is
 * higher. Ends may come at once, after a long time.
 */
static uint64_t class_rate_millis(const wl_sched_t *sched, uint64_t now_ns,
				  const wl_sched_class_t *class)
{
	uint64_t rate = wl_drain_rate_millis(&class->drain, now_ns / WL_NS_PER_MS);
	uint64_t running = rate ? class_running_millis(sched, class) : 0;

	return rate > running ? rate : running;
}

/* The step of a job whose tasks need most processors. */
static const wl_step_spec_t *largest_step(const wl_job_spec_t *spec)
{
	const wl_step_spec_t *steps = spec->steps.items;
	const wl_step_spec_t *largest = &steps[0];

	for (size_t i = 1; i < spec->steps.count; i++)
		if (steps[i].cpu_millis > largest->cpu_millis)
			largest = &steps[i];
	return largest;
}

/* Whether a task goes wherever one of the other step does, so that it is placed first. */
static bool fits_beside(const wl_step_spec_t *step, const wl_step_spec_t *other)
{
	if (step->best_effort != other->best_effort || step->gang || step->label.len > 0 ||
	    step->max_per_target)
		return false;
	if (step->best_effort && !wl_str_equal(wl_buf_str(&step->image), wl_buf_str(&other->image)))
		return false;
	return step->cpu_millis <= other->cpu_millis && step->memory_mib <= other->memory_mib &&
	       step->accelerators <= other->accelerators;
}

/* Includes the work of a batch if it is certainly placed before a job of the queue. */
static void batch_forecast(uint64_t now_ns, const wl_task_batch_t *batch, const wl_queue_t *queue,
			   const wl_step_spec_t *largest, wl_forecast_t *forecast)
{
	const wl_job_record_t *record = &batch->job->record;
	const wl_step_spec_t *step = wl_job_step(batch->job, batch->step);
	wl_forecast_job_t job = {
		.work_ms = work_ms(step, batch->count),
		.path_ms = step->estimated_ms,
	};

	if (record->priority > queue->priority || batch->suspect || !batch_waits(batch, now_ns) ||
	    !wl_str_equal(wl_buf_str(&record->service), wl_buf_str(&queue->service)) ||
	    !fits_beside(step, largest))
		return;
	if (record->priority == queue->priority)
		wl_sched_batch_limits(batch, &job.on_time_ms, &job.deadline_ms);
	wl_forecast_add(forecast, &job);
}

static void queue_forecast(wl_sched_t *sched, uint64_t now_ns, const wl_queue_t *queue,
			   const wl_step_spec_t *largest, wl_forecast_t *forecast)
{
	const wl_task_batch_t *batch;
	wl_sched_class_t *class =
		class_get(sched, wl_buf_str(&queue->service), largest->best_effort);

	*forecast = (wl_forecast_t){
		.now_ms = wl_sched_clock_ms(sched, now_ns),
		.rate_millis = class_rate_millis(sched, now_ns, class),
	};
	if (forecast->rate_millis == 0)
		return;
	TAILQ_FOREACH (batch, &sched->pending, link)
		batch_forecast(now_ns, batch, queue, largest, forecast);
}

/* Whether a step fits on a target that is empty, whatever its labels are. */
static bool step_fits(const wl_step_spec_t *step, const wl_runner_report_t *report)
{
	return (step->best_effort || step->cpu_millis <= report->cpu_millis) &&
	       step->memory_mib <= report->memory_mib && step->accelerators <= report->accelerators;
}

/* Whether some target, also one that has left, is large enough for the tasks of each step. */
static bool spec_fits(const wl_sched_t *sched, uint64_t now_ns, const wl_job_spec_t *spec,
		      const wl_queue_t *queue)
{
	const wl_step_spec_t *steps = spec->steps.items;
	const wl_runner_t *runner;
	uint64_t fitting = 0; /* bits of the steps */
	uint64_t targets = 0;

	if (now_ns < sched->leader_since_ns + TARGETS_KNOWN_MS * WL_NS_PER_MS)
		return true;
	TAILQ_FOREACH (runner, &sched->jobs->runners, link) {
		if (!wl_str_equal(wl_buf_str(&runner->report.service), wl_buf_str(&queue->service)))
			continue;
		targets++;
		for (size_t i = 0; i < spec->steps.count; i++)
			fitting |= (uint64_t)step_fits(&steps[i], &runner->report) << i;
	}
	for (size_t i = 0; i < spec->steps.count && targets > 0; i++)
		if (!(fitting >> i & 1))
			return false;
	return true;
}

/*
 * Whether it can be told until when the result of a job is of use: its queue says so, and it
 * neither lasts nor repeats, nor runs in waves.
 */
static bool spec_has_time(const wl_sched_t *sched, const wl_job_spec_t *spec,
			  const wl_queue_t *queue)
{
	const wl_step_spec_t *steps = spec->steps.items;
	const wl_sched_runner_t *runner;
	uint64_t all = 0;

	if (spec->repeat || queue->slack_millis == 0)
		return false;
	TAILQ_FOREACH (runner, &sched->runners, link)
		if (wl_str_equal(runner->fit.service, wl_buf_str(&queue->service)))
			all += runner->fit.capacity.cpu_millis;
	for (size_t i = 0; i < spec->steps.count; i++)
		if (steps[i].lasting || steps[i].best_effort != steps[0].best_effort ||
		    steps[i].count * steps[i].cpu_millis > all / WIDE_SHARE)
			return false;
	return true;
}

static wl_forecast_job_t job_forecast(const wl_sched_t *sched, const wl_job_spec_t *spec,
				      const wl_queue_t *queue, uint64_t now_ms)
{
	const wl_step_spec_t *steps = spec->steps.items;
	wl_forecast_job_t job = {.path_ms = wl_sched_path_ms(spec, 0)};
	uint64_t allowed_ms = queue->objective_ms + job.path_ms * queue->slack_millis / WL_PERMILLE;

	for (size_t i = 0; i < spec->steps.count; i++)
		job.work_ms += work_ms(&steps[i], steps[i].count);
	if (!spec_has_time(sched, spec, queue))
		return job;
	job.on_time_ms = now_ms + allowed_ms;
	job.deadline_ms = now_ms + wl_ordering_late_ms(allowed_ms);
	return job;
}

static const wl_sched_refusal_t *refusal_find(const wl_sched_t *sched, uint64_t now_ns,
					      uint64_t address)
{
	const wl_sched_refusal_t *refusal;

	TAILQ_FOREACH (refusal, &sched->refusals, link)
		if (refusal->address == address && is_in_force(refusal, now_ns))
			return refusal;
	return NULL;
}

/* Whether an earlier copy of the submission may still be committed. */
static bool is_proposed(const wl_sched_t *sched, uint64_t address)
{
	const wl_sched_proposal_t *proposal;

	if (!sched->own_applied)
		return true;
	TAILQ_FOREACH (proposal, &sched->proposals, link)
		if (proposal->address == address)
			return true;
	return false;
}

static void refuse(wl_sched_t *sched, uint64_t now_ns, const wl_cmd_job_add_t *add,
		   const wl_forecast_t *forecast, const wl_forecast_job_t *job,
		   wl_forecast_verdict_t verdict, wl_out_t *out)
{
	wl_sched_refusal_t *refusal = wl_alloc(sizeof(*refusal));
	uint64_t delay_ms;
	char labels[LABELS_BYTES];

	refusal->address = wl_sched_address_hash(add);
	refusal->refused_ns = now_ns;
	delay_ms = wl_returns_take(&sched->returns, forecast, job, refusal->address);
	refusal->retry_ms = forecast->now_ms + delay_ms;
	TAILQ_INSERT_TAIL(&sched->refusals, refusal, link);
	snprintf(labels, sizeof(labels), "reason=\"%s\"", wl_forecast_verdict_names[verdict]);
	wl_metrics_add(sched->options.metrics, "wisterialead_jobs_refused_total", labels, 1);
	wl_out_log(out, WL_INFO, "job-refused",
		   "host=" WL_STR_FMT " path=" WL_STR_FMT " reason=%s chain_ms=%llu left_ms=%llu "
		   "ahead_ms=%llu ahead_late_ms=%llu rate_millis=%llu retry_ms=%llu",
		   WL_STR_ARG(wl_buf_str(&add->host)), WL_STR_ARG(wl_buf_str(&add->path)),
		   wl_forecast_verdict_names[verdict], (unsigned long long)job->path_ms,
		   (unsigned long long)(job->deadline_ms ? job->deadline_ms - forecast->now_ms : 0),
		   (unsigned long long)forecast->on_time_work_ms,
		   (unsigned long long)forecast->late_work_ms,
		   (unsigned long long)forecast->rate_millis, (unsigned long long)delay_ms);
}

static wl_forecast_verdict_t decide(wl_sched_t *sched, uint64_t now_ns, const wl_cmd_job_add_t *add,
				    wl_out_t *out)
{
	const wl_queue_t *queue = wl_catalog_route(&sched->jobs->catalog, wl_buf_str(&add->host),
						   wl_buf_str(&add->path));
	wl_forecast_verdict_t verdict;
	wl_forecast_t forecast;
	wl_forecast_job_t job;
	wl_err_t err = {0};

	if (!queue || !wl_job_spec_check(&add->spec, &err))
		return WL_FORECAST_POSSIBLE;
	job = job_forecast(sched, &add->spec, queue, wl_sched_clock_ms(sched, now_ns));
	if (job.deadline_ms == 0)
		return WL_FORECAST_POSSIBLE;
	queue_forecast(sched, now_ns, queue, largest_step(&add->spec), &forecast);
	verdict = sched->acceptance->decide(&forecast, &job,
					    spec_fits(sched, now_ns, &add->spec, queue));
	if (verdict != WL_FORECAST_POSSIBLE)
		refuse(sched, now_ns, add, &forecast, &job, verdict, out);
	return verdict;
}

/*
 * wl_sched_job_refused - whether a submission is refused, of a job that is not known
 * @result: filled in if it is: WL_E_OVERLOADED, not run, with the time of a retry
 */
bool wl_sched_job_refused(wl_sched_t *sched, uint64_t now_ns, const wl_cmd_job_add_t *add,
			  wl_result_t *result, wl_out_t *out)
{
	uint64_t address = wl_sched_address_hash(add);
	uint64_t now_ms = wl_sched_clock_ms(sched, now_ns);
	const wl_sched_refusal_t *refusal;

	if (is_proposed(sched, address))
		return false;
	refusal = refusal_find(sched, now_ns, address);
	if (!refusal && decide(sched, now_ns, add, out) != WL_FORECAST_POSSIBLE)
		refusal = refusal_find(sched, now_ns, address);
	if (!refusal)
		return false;
	wl_result_fail(result, WL_E_OVERLOADED, "the job cannot be done in time at present");
	result->retry_ms = refusal->retry_ms > now_ms ? refusal->retry_ms - now_ms : 1;
	return true;
}
