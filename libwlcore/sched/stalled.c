/*
 * Jobs with pending tasks and nothing at work: since when, when a task of them is placed in the
 * background, and why nothing is placed. Pending tasks that no placement pass has considered.
 */

#include "internal.h"

#define STALLED_MS	   2000 /* without work: a task of the job is placed in the background */
#define STALLED_REPORT_MS  3000 /* without work: the job is counted and logged */
#define UNCONSIDERED_MS	   3000 /* without a look of a placement pass: the tasks are logged */
#define REPORT_INTERVAL_MS 1000

/* Where a task of a stalled job could run. */
typedef struct room {
	uint64_t targets;    /* with capacity for it */
	uint64_t allowed;    /* of these: where the tail latency does not forbid it */
	uint64_t least_tail; /* best effort: lowest forecast of all, permille of the bound */
} room_t;

/*
 * wl_sched_job_at_work - note that work on a job went on until now, or may begin now
 */
void wl_sched_job_at_work(const wl_job_t *job, uint64_t now_ns)
{
	wl_sched_job_t *sched_job = job->leader_data;

	if (sched_job && now_ns > sched_job->at_work_ns)
		sched_job->at_work_ns = now_ns;
}

/*
 * wl_sched_job_placed - note that a run of a job was placed
 */
void wl_sched_job_placed(const wl_job_t *job, wl_sched_run_t *run)
{
	const wl_sched_job_t *sched_job = job->leader_data;

	run->job_at_work_ns = sched_job->at_work_ns;
	wl_sched_job_at_work(job, run->placed_ns);
}

/*
 * wl_sched_job_not_started - undo wl_sched_job_placed() for a run that has never begun
 */
void wl_sched_job_not_started(const wl_job_t *job, const wl_sched_run_t *run)
{
	wl_sched_job_t *sched_job = job->leader_data;

	if (sched_job && sched_job->at_work_ns == run->placed_ns)
		sched_job->at_work_ns = run->job_at_work_ns;
}

/*
 * wl_sched_job_idle_ms - how long nothing of a job has been at work
 */
uint64_t wl_sched_job_idle_ms(const wl_job_t *job, uint64_t now_ns)
{
	const wl_sched_job_t *sched_job = job->leader_data;

	if (job->active > 0 || now_ns <= sched_job->at_work_ns)
		return 0;
	return (now_ns - sched_job->at_work_ns) / WL_NS_PER_MS;
}

/*
 * Since when nothing has been at work of the job of a batch, or of the batch itself if its tasks
 * last: each of these has to be at work, whatever else of its job is. UINT64_MAX: something is.
 */
static uint64_t idle_since_ns(const wl_task_batch_t *batch)
{
	const wl_sched_job_t *sched_job = batch->job->leader_data;

	if (wl_job_step(batch->job, batch->step)->lasting)
		return batch->placed_ns > batch->queued_ns ? batch->placed_ns : batch->queued_ns;
	return batch->job->active > 0 ? UINT64_MAX : sched_job->at_work_ns;
}

/*
 * wl_sched_batch_stalled - whether the next task of a batch is placed whatever the forecast is
 */
bool wl_sched_batch_stalled(const wl_task_batch_t *batch, uint64_t now_ns)
{
	uint64_t since_ns = idle_since_ns(batch);

	return wl_job_step(batch->job, batch->step)->best_effort && now_ns > since_ns &&
	       now_ns - since_ns >= STALLED_MS * WL_NS_PER_MS;
}

/*
 * wl_sched_stalled_due_ns - when the next task of a batch is placed whatever the forecast is
 *
 * Return: 0 if it is placed so already, or if that is not due to come.
 */
uint64_t wl_sched_stalled_due_ns(const wl_task_batch_t *batch, uint64_t now_ns)
{
	uint64_t since_ns = idle_since_ns(batch);

	if (!wl_job_step(batch->job, batch->step)->best_effort || since_ns == UINT64_MAX ||
	    wl_sched_batch_stalled(batch, now_ns))
		return 0;
	return since_ns + STALLED_MS * WL_NS_PER_MS;
}

static void room_add(wl_sched_t *sched, wl_sched_runner_t *runner, const wl_task_batch_t *batch,
		     const wl_fit_request_t *request, room_t *room)
{
	uint64_t tail = 0;

	if (!wl_fit_has_capacity(request, &runner->fit))
		return;
	room->targets++;
	room->allowed += wl_sched_runner_fits(sched, runner, batch, request);
	if (request->step->best_effort && runner->fit.serving)
		tail = wl_sched_tail_forecast(sched, runner, batch->image,
					      request->step->cpu_millis);
	if (tail < room->least_tail)
		room->least_tail = tail;
}

static void stalled_log(wl_sched_t *sched, uint64_t now_ns, const wl_task_batch_t *batch,
			uint64_t stalled, wl_out_t *out)
{
	wl_fit_request_t request = wl_sched_fit_request(now_ns, batch);
	room_t room = {.least_tail = UINT64_MAX};
	wl_sched_runner_t *runner;

	request.background = false;
	TAILQ_FOREACH (runner, &sched->runners, link)
		room_add(sched, runner, batch, &request, &room);
	wl_out_log(out, WL_WARN, "job-stalled",
		   "job=" WL_STR_FMT " step=%llu tasks=%llu idle_ms=%llu cpu=%llu memory_mib=%llu "
		   "targets_with_room=%llu targets_allowed=%llu least_tail_permille=%lld "
		   "last_try_ms=%llu stalled_jobs=%llu",
		   WL_STR_ARG(batch->job->key), (unsigned long long)batch->step,
		   (unsigned long long)batch->count,
		   (unsigned long long)wl_sched_job_idle_ms(batch->job, now_ns),
		   (unsigned long long)request.step->cpu_millis,
		   (unsigned long long)request.step->memory_mib, (unsigned long long)room.targets,
		   (unsigned long long)room.allowed,
		   room.targets ? (long long)room.least_tail : -1LL,
		   (unsigned long long)((now_ns - batch->tried_ns) / WL_NS_PER_MS),
		   (unsigned long long)stalled);
}

static uint64_t unconsidered_ms(const wl_task_batch_t *batch, uint64_t now_ns)
{
	return batch ? (now_ns - batch->tried_ns) / WL_NS_PER_MS : 0;
}

/* Reports the batch that no placement pass has considered for longest. */
static void unconsidered_report(wl_sched_t *sched, uint64_t now_ns, const wl_task_batch_t *batch,
				uint64_t batches, wl_out_t *out)
{
	uint64_t age_ms = unconsidered_ms(batch, now_ns);

	wl_metrics_set(sched->options.metrics, "wisterialead_job_unconsidered_ms", "", age_ms);
	if (age_ms < UNCONSIDERED_MS)
		return;
	wl_out_log(out, WL_WARN, "tasks-unconsidered",
		   "job=" WL_STR_FMT " priority=%llu step=%llu tasks=%llu waited_ms=%llu "
		   "unconsidered_ms=%llu batches=%llu",
		   WL_STR_ARG(batch->job->key), (unsigned long long)batch->job->record.priority,
		   (unsigned long long)batch->step, (unsigned long long)batch->count,
		   (unsigned long long)((now_ns - batch->queued_ns) / WL_NS_PER_MS),
		   (unsigned long long)age_ms, (unsigned long long)batches);
}

/*
 * wl_sched_stalled_tick - count the stalled jobs once a second, and log the longest stalled one and
 * the tasks that no placement pass has considered for longest
 */
void wl_sched_stalled_tick(wl_sched_t *sched, uint64_t now_ns, wl_out_t *out)
{
	const wl_task_batch_t *longest = NULL;
	const wl_task_batch_t *unconsidered = NULL;
	const wl_task_batch_t *batch;
	uint64_t longest_ms = 0;
	uint64_t stalled = 0;
	uint64_t batches = 0;

	if (now_ns < sched->next_stalled_ns)
		return;
	sched->next_stalled_ns = now_ns + REPORT_INTERVAL_MS * WL_NS_PER_MS;
	TAILQ_FOREACH (batch, &sched->pending, link) {
		wl_sched_job_t *sched_job = batch->job->leader_data;
		uint64_t idle_ms = wl_sched_job_idle_ms(batch->job, now_ns);

		batches++;
		if (!unconsidered || batch->tried_ns < unconsidered->tried_ns)
			unconsidered = batch;
		if (idle_ms < STALLED_REPORT_MS)
			continue;
		stalled += sched_job->stalled_count_ns != now_ns;
		sched_job->stalled_count_ns = now_ns;
		if (idle_ms <= longest_ms)
			continue;
		longest = batch;
		longest_ms = idle_ms;
	}
	wl_metrics_set(sched->options.metrics, "wisterialead_jobs_stalled", "", stalled);
	if (longest)
		stalled_log(sched, now_ns, longest, stalled, out);
	unconsidered_report(sched, now_ns, unconsidered, batches, out);
}
