/*
 * Audit of the invariant that no work is forgotten: each task of a live job whose turn has come is
 * in exactly one batch, or has runs that the leader knows and that were heard of not long ago.
 */

#include "internal.h"

#include <stdlib.h>

#define AUDIT_INTERVAL_MS 1000
#define AUDIT_SLICES	  8 /* so many audits look at each job once */
/* A start is in neither place from the removal of its target until its proposal is settled. */
#define MISSING_MAX_MS 6000
/* Longer than any lease together with any order that is carried out late. */
#define SILENT_MAX_MS 20000

/* Marks the tasks that are in a batch. */
static void batch_mark(const wl_task_batch_t *batch, unsigned char *places)
{
	for (size_t i = 0; i < batch->count; i++)
		if (places[batch->tasks[i].task] < UINT8_MAX)
			places[batch->tasks[i].task]++;
}

static void batches_mark(const wl_job_t *job, unsigned char *places)
{
	const wl_sched_job_t *sched_job = job->leader_data;
	const wl_task_batch_t *batch;

	for (uint64_t i = 0; i < wl_sched_slot_count(job); i++)
		if (sched_job->batches[i])
			batch_mark(sched_job->batches[i], places);
	TAILQ_FOREACH (batch, &sched_job->suspects, suspect_link)
		batch_mark(batch, places);
}

/*
 * wl_sched_run_heard_ns - when the leader last had reason to believe in a run
 */
uint64_t wl_sched_run_heard_ns(const wl_sched_t *sched, const wl_sched_run_t *run)
{
	uint64_t heard = sched->leader_since_ns;

	if (run->placed_ns > heard)
		heard = run->placed_ns;
	if (run->answered_ns > heard)
		heard = run->answered_ns;
	return run->last_listed_ns > heard ? run->last_listed_ns : heard;
}

/* Return: what is wrong with the runs of a task; NULL: nothing. */
static const char *runs_fault(const wl_sched_t *sched, uint64_t now_ns, const wl_job_t *job,
			      uint64_t task, size_t *runs)
{
	const wl_run_t *run;

	TAILQ_FOREACH (run, &job->tasks[task].runs, of_task) {
		const wl_sched_run_t *known = wl_sched_run_find(sched, job->key, task, run->number);

		if (!known)
			return "run-unknown";
		if (now_ns > wl_sched_run_heard_ns(sched, known) + SILENT_MAX_MS * WL_NS_PER_MS)
			return "run-silent";
		(*runs)++;
	}
	return NULL;
}

/* Whether a start of the task is proposed; members of a gang skip numbers. */
static bool is_proposed(const wl_sched_t *sched, const wl_job_t *job, uint64_t task)
{
	const wl_sched_runner_t *runner;
	const wl_sched_run_t *run;
	wl_task_ref_t at;

	if (wl_sched_run_find(sched, job->key, task, job->tasks[task].run + 1))
		return true;
	wl_job_task_ref(job, task, &at);
	if (!wl_job_step(job, at.step)->gang)
		return false;
	TAILQ_FOREACH (runner, &sched->runners, link)
		TAILQ_FOREACH (run, &runner->runs, link)
			if (run->task == task && run->phase == WL_RUN_PROPOSED &&
			    wl_str_equal(wl_buf_str(&run->job), job->key))
				return true;
	return false;
}

static const char *task_fault(const wl_sched_t *sched, uint64_t now_ns, const wl_job_t *job,
			      uint64_t task, unsigned int places)
{
	size_t runs = 0;
	const char *fault = runs_fault(sched, now_ns, job, task, &runs);

	if (fault)
		return fault;
	if (places > 1)
		return "queued-twice";
	if (places == 1)
		return runs ? "queued-and-running" : NULL;
	return runs || is_proposed(sched, job, task) ? NULL : "nowhere";
}

static bool has_turn(const wl_job_t *job, uint64_t task)
{
	const wl_sched_job_t *sched_job = job->leader_data;
	wl_task_ref_t at;

	if (job->tasks[task].done)
		return false;
	wl_job_task_ref(job, task, &at);
	return at.occurrence < sched_job->next_occurrence &&
	       wl_job_step_open(job, at.occurrence, at.step);
}

/*
 * wl_sched_job_audit - check that each task of a live job whose turn has come will run
 * @task: set to the first task for which that is not so
 *
 * Return: what is wrong with it; NULL: nothing.
 */
const char *wl_sched_job_audit(const wl_sched_t *sched, uint64_t now_ns, const wl_job_t *job,
			       uint64_t *task)
{
	unsigned char *places;
	const char *fault = NULL;

	*task = 0;
	if (!job->leader_data)
		return "not-open";
	places = wl_alloc(job->task_count);
	memset(places, 0, job->task_count);
	batches_mark(job, places);
	for (uint64_t i = 0; i < job->task_count && !fault; i++) {
		*task = i;
		if (has_turn(job, i))
			fault = task_fault(sched, now_ns, job, i, places[i]);
		else if (places[i])
			fault = job->tasks[i].done ? "queued-and-done" : "queued-early";
	}
	free(places);
	return fault;
}

/* A fault counts once it has lasted; one that is seen for the first time may be passing. */
static bool has_lasted(const wl_job_t *job, uint64_t now_ns, bool is_sound)
{
	wl_sched_job_t *sched_job = job->leader_data;

	if (!sched_job)
		return true;
	if (is_sound)
		sched_job->missing_since_ns = 0;
	else if (sched_job->missing_since_ns == 0)
		sched_job->missing_since_ns = now_ns;
	return !is_sound && now_ns >= sched_job->missing_since_ns + MISSING_MAX_MS * WL_NS_PER_MS;
}

static void fault_log(const wl_job_t *job, uint64_t task, const char *fault, wl_out_t *out)
{
	wl_task_ref_t at;

	wl_job_task_ref(job, task, &at);
	wl_out_log(out, WL_ERROR, "task-unaccounted",
		   "job=" WL_STR_FMT " task=%llu.%llu.%llu fault=%s run=%llu state=%s",
		   WL_STR_ARG(job->key), (unsigned long long)at.occurrence,
		   (unsigned long long)at.step, (unsigned long long)at.index, fault,
		   (unsigned long long)job->tasks[task].run, wl_job_state_names[job->record.state]);
}

/*
 * wl_sched_audit_tick - audit an eighth of the live jobs once a second; log and count the faults
 */
void wl_sched_audit_tick(wl_sched_t *sched, uint64_t now_ns, wl_out_t *out)
{
	uint64_t slice = sched->audits % AUDIT_SLICES;
	const wl_job_t *job;
	uint64_t task;

	if (now_ns < sched->next_audit_ns)
		return;
	sched->next_audit_ns = now_ns + AUDIT_INTERVAL_MS * WL_NS_PER_MS;
	sched->audits++;
	TAILQ_FOREACH (job, &sched->jobs->live, link) {
		const char *fault;

		if (wl_str_hash(job->key, 0) % AUDIT_SLICES != slice)
			continue;
		fault = wl_sched_job_audit(sched, now_ns, job, &task);
		if (!has_lasted(job, now_ns, fault == NULL))
			continue;
		fault_log(job, task, fault, out);
		wl_metrics_add(sched->options.metrics, "wisterialead_job_tasks_unaccounted_total",
			       "", 1);
	}
}
