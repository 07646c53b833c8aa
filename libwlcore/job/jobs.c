/* The replicated job state: finding, adding, cancelling and ending jobs. */

#include "internal.h"

#include <stdlib.h>
#include <string.h>

#define MAX_ATTEMPTS_DEFAULT 3 /* if the queue's configuration has none */
#define ID_BYTES_MAX	     128

/*
 * wl_jobs_init - initialize an empty state
 * @keep_ms: how long an ended job is kept
 */
void wl_jobs_init(wl_jobs_t *jobs, uint64_t keep_ms)
{
	memset(jobs, 0, sizeof(*jobs));
	jobs->keep_ms = keep_ms;
	wl_map_init(&jobs->by_id);
	wl_map_init(&jobs->by_address);
	wl_map_init(&jobs->by_cancelled);
	TAILQ_INIT(&jobs->cancellations);
	wl_map_init(&jobs->by_lapsed);
	TAILQ_INIT(&jobs->lapses);
	TAILQ_INIT(&jobs->live);
	TAILQ_INIT(&jobs->ended);
	wl_map_init(&jobs->by_runner);
	TAILQ_INIT(&jobs->runners);
}

static void job_free(wl_job_t *job)
{
	for (uint64_t i = 0; i < job->task_count; i++)
		wl_buf_free(&job->tasks[i].checkpoint);
	wl_record_free(&wl_job_record_schema, &job->record);
	wl_buf_free(&job->address.text);
	free(job->tasks);
	free(job->step_first);
	free(job->step_remaining);
	free(job);
}

static void job_remove(wl_jobs_t *jobs, struct wl_job_list *list, wl_job_t *job)
{
	for (uint64_t i = 0; i < job->task_count; i++)
		while (!TAILQ_EMPTY(&job->tasks[i].runs))
			wl_run_remove(jobs, TAILQ_FIRST(&job->tasks[i].runs));
	wl_map_remove(&jobs->by_id, job->key);
	if (job->address.job)
		wl_map_remove(&jobs->by_address, job->address.key);
	TAILQ_REMOVE(list, job, link);
	job_free(job);
}

/*
 * wl_jobs_clear - release everything
 *
 * The state must be initialized again before further use.
 */
void wl_jobs_clear(wl_jobs_t *jobs)
{
	wl_runner_t *runner;

	while (!TAILQ_EMPTY(&jobs->live))
		job_remove(jobs, &jobs->live, TAILQ_FIRST(&jobs->live));
	while (!TAILQ_EMPTY(&jobs->ended))
		job_remove(jobs, &jobs->ended, TAILQ_FIRST(&jobs->ended));
	while ((runner = TAILQ_FIRST(&jobs->runners)))
		wl_runner_remove(jobs, runner);
	wl_job_cancellations_clear(jobs);
	wl_lapses_clear(jobs);
	wl_map_free(&jobs->by_id);
	wl_map_free(&jobs->by_address);
	wl_map_free(&jobs->by_runner);
	wl_record_free(&wl_catalog_schema, &jobs->catalog);
	wl_buf_free(&jobs->catalog_text);
	wl_list_free(&wl_evacuation_schema, &jobs->evacuations);
}

/*
 * wl_jobs_find - find a job by its id
 *
 * Return: the job, or NULL.
 */
wl_job_t *wl_jobs_find(const wl_jobs_t *jobs, wl_str_t id)
{
	return wl_map_get(&jobs->by_id, id);
}

/*
 * wl_job_step - specification of a step
 */
const wl_step_spec_t *wl_job_step(const wl_job_t *job, uint64_t step)
{
	return (const wl_step_spec_t *)job->record.spec.steps.items + step;
}

/*
 * wl_job_task_ref - occurrence, step and index of a task
 * @task: index among all tasks of the job
 * @ref: filled in, except for its job
 */
void wl_job_task_ref(const wl_job_t *job, uint64_t task, wl_task_ref_t *ref)
{
	uint64_t tasks_per_occurrence = job->step_first[job->record.spec.steps.count];
	uint64_t offset = task % tasks_per_occurrence;
	uint64_t step = 0;

	while (job->step_first[step + 1] <= offset)
		step++;
	ref->occurrence = task / tasks_per_occurrence;
	ref->step = step;
	ref->index = offset - job->step_first[step];
}

/*
 * wl_job_task_index - index of a task among all tasks of the job
 *
 * Return: false if the job has no such task.
 */
bool wl_job_task_index(const wl_job_t *job, const wl_task_ref_t *ref, uint64_t *task)
{
	size_t steps = job->record.spec.steps.count;

	if (ref->occurrence >= job->occurrences || ref->step >= steps ||
	    ref->index >= wl_job_step(job, ref->step)->count)
		return false;
	*task = ref->occurrence * job->step_first[steps] + job->step_first[ref->step] + ref->index;
	return true;
}

/*
 * wl_job_step_remaining - find the counter of a step's tasks that are not done
 *
 * Return: the address of the counter; the caller may change it.
 */
uint64_t *wl_job_step_remaining(const wl_job_t *job, uint64_t occurrence, uint64_t step)
{
	return &job->step_remaining[occurrence * job->record.spec.steps.count + step];
}

/*
 * wl_job_step_open - whether all steps that a step depends on are done
 */
bool wl_job_step_open(const wl_job_t *job, uint64_t occurrence, uint64_t step)
{
	uint64_t after = wl_job_step(job, step)->after;

	for (uint64_t i = 0; i < step; i++)
		if ((after >> i & 1) && *wl_job_step_remaining(job, occurrence, i) > 0)
			return false;
	return true;
}

/*
 * wl_job_due_ms - when an occurrence may start, Unix ms; 0: at once
 */
uint64_t wl_job_due_ms(const wl_job_t *job, uint64_t occurrence)
{
	const wl_job_spec_t *spec = &job->record.spec;

	return spec->repeat ? spec->first_ms + occurrence * spec->every_ms : 0;
}

/*
 * wl_job_ended - whether a job is completed, failed or cancelled
 */
bool wl_job_ended(const wl_job_t *job)
{
	return job->record.state >= WL_JOB_COMPLETED;
}

/*
 * wl_jobs_pending - count the jobs of a queue of which no target has begun a task
 *
 * Scheduled (repeating) jobs are not counted.
 */
uint64_t wl_jobs_pending(const wl_jobs_t *jobs, const wl_queue_t *queue)
{
	const wl_job_t *job;
	uint64_t pending = 0;

	TAILQ_FOREACH (job, &jobs->live, link)
		pending += !job->begun && job->record.spec.repeat == 0 && job->queue == queue;
	return pending;
}

/* Job id: the path without the queue's prefix. */
static wl_str_t path_id(const wl_queue_t *queue, wl_str_t path)
{
	return (wl_str_t){path.at + queue->prefix.len, path.len - queue->prefix.len};
}

/* The NUL keeps apart a host and path that another pair would read like. */
static void address_text(wl_str_t host, wl_str_t path, wl_buf_t *text)
{
	wl_buf_set(text, host);
	wl_buf_append(text, (wl_str_t){"", 1});
	wl_buf_append(text, path);
}

/*
 * wl_jobs_at - find the job that was accepted at a host and path, whether or not a queue has them
 *
 * Return: the job, or NULL.
 */
wl_job_t *wl_jobs_at(const wl_jobs_t *jobs, wl_str_t host, wl_str_t path)
{
	const wl_job_address_t *address;
	wl_buf_t text = {0};

	address_text(host, path, &text);
	address = wl_map_get(&jobs->by_address, wl_buf_str(&text));
	wl_buf_free(&text);
	return address ? address->job : NULL;
}

/*
 * wl_jobs_by_path - find the queue and the job that a call addresses
 * @queue: set to NULL if no queue has this host and path
 *
 * Return: the job, or NULL. A job without a queue is not found until its route is back.
 */
wl_job_t *wl_jobs_by_path(const wl_jobs_t *jobs, wl_str_t host, wl_str_t path,
			  const wl_queue_t **queue)
{
	*queue = wl_catalog_route(&jobs->catalog, host, path);
	return *queue ? wl_jobs_at(jobs, host, path) : NULL;
}

/*
 * wl_jobs_resolve - find the queue that a call addresses, and its job if there is one
 * @job: set to NULL if there is none
 * @result: set to an error if there is no configuration or no such queue
 *
 * Return: whether the queue was found.
 */
bool wl_jobs_resolve(const wl_jobs_t *jobs, wl_str_t host, wl_str_t path, const wl_queue_t **queue,
		     wl_job_t **job, wl_result_t *result)
{
	*job = wl_jobs_by_path(jobs, host, path, queue);
	if (*queue)
		return true;
	if (jobs->configured)
		wl_result_fail(result, WL_E_NOT_FOUND, "no queue has this host and path");
	else
		wl_result_fail(result, WL_E_OVERLOADED, "no configuration has been committed yet");
	return false;
}

/*
 * wl_jobs_is_cancelled - whether a job that is not known has been cancelled
 */
bool wl_jobs_is_cancelled(const wl_jobs_t *jobs, wl_str_t host, wl_str_t path)
{
	wl_buf_t text = {0};
	bool found;

	address_text(host, path, &text);
	found = wl_map_get(&jobs->by_cancelled, wl_buf_str(&text)) != NULL;
	wl_buf_free(&text);
	return found;
}

/*
 * wl_jobs_elsewhere - find the job that has the id of a call's path but does not belong to the call
 *
 * Return: NULL if there is none.
 */
const wl_job_t *wl_jobs_elsewhere(const wl_jobs_t *jobs, wl_str_t host, wl_str_t path)
{
	const wl_queue_t *queue;

	if (wl_jobs_by_path(jobs, host, path, &queue) || !queue)
		return NULL;
	return wl_jobs_find(jobs, path_id(queue, path));
}

/* Derives the layout of the tasks from the record: step offsets, counts, empty tasks. */
static void job_layout_init(wl_job_t *job)
{
	const wl_job_spec_t *spec = &job->record.spec;
	size_t steps = spec->steps.count;

	job->key = wl_buf_str(&job->record.id);
	job->occurrences = spec->repeat ? spec->repeat : 1;
	job->step_first = wl_alloc((steps + 1) * sizeof(*job->step_first));
	job->step_first[0] = 0;
	for (size_t i = 0; i < steps; i++)
		job->step_first[i + 1] = job->step_first[i] + wl_job_step(job, i)->count;
	job->task_count = job->occurrences * job->step_first[steps];
	job->remaining = job->task_count;
	job->tasks = wl_alloc(job->task_count * sizeof(*job->tasks));
	for (uint64_t i = 0; i < job->task_count; i++)
		TAILQ_INIT(&job->tasks[i].runs);
	job->step_remaining = wl_alloc(job->occurrences * steps * sizeof(*job->step_remaining));
	for (uint64_t k = 0; k < job->occurrences; k++)
		for (size_t i = 0; i < steps; i++)
			*wl_job_step_remaining(job, k, i) = wl_job_step(job, i)->count;
}

/* Earlier versions kept the name of the queue instead of the address. */
static void address_from_queue(const wl_jobs_t *jobs, wl_job_record_t *record)
{
	const wl_queue_t *queue = wl_catalog_queue(&jobs->catalog, wl_buf_str(&record->queue));

	if (!queue)
		return;
	wl_buf_set(&record->host, wl_buf_str(&queue->host));
	wl_buf_set(&record->path, wl_buf_str(&queue->prefix));
	wl_buf_append(&record->path, wl_buf_str(&record->id));
}

/* Return: false if the address is unknown, or if another job has it. */
static bool job_address_init(wl_jobs_t *jobs, wl_job_t *job)
{
	wl_job_address_t *address = &job->address;

	if (job->record.path.len == 0)
		address_from_queue(jobs, &job->record);
	if (job->record.path.len == 0)
		return false;
	address_text(wl_buf_str(&job->record.host), wl_buf_str(&job->record.path), &address->text);
	address->key = wl_buf_str(&address->text);
	if (!wl_map_put(&jobs->by_address, address))
		return false;
	address->job = job;
	return true;
}

/* Finds the queue of a job, and keeps what is to hold while no route leads to it. */
static void job_route(wl_jobs_t *jobs, wl_job_t *job)
{
	job->queue = NULL;
	if (!job->address.job && !job_address_init(jobs, job))
		return;
	job->queue = wl_catalog_route(&jobs->catalog, wl_buf_str(&job->record.host),
				      wl_buf_str(&job->record.path));
	if (!job->queue)
		return;
	wl_buf_set(&job->record.queue, wl_buf_str(&job->queue->name));
	wl_buf_set(&job->record.service, wl_buf_str(&job->queue->service));
}

/*
 * wl_jobs_catalog_changed - assign the jobs to the queues of a configuration that was replaced
 */
void wl_jobs_catalog_changed(wl_jobs_t *jobs)
{
	wl_job_t *job;

	wl_catalog_sort(&jobs->catalog);
	TAILQ_FOREACH (job, &jobs->live, link)
		job_route(jobs, job);
}

static wl_job_t *job_insert(wl_jobs_t *jobs, wl_job_record_t *record)
{
	wl_job_t *job = wl_alloc(sizeof(*job));

	job->record = *record;
	memset(record, 0, sizeof(*record));
	job_layout_init(job);
	wl_map_put(&jobs->by_id, job);
	TAILQ_INSERT_TAIL(job->record.ended_ms ? &jobs->ended : &jobs->live, job, link);
	return job;
}

static void job_add(wl_jobs_t *jobs, const wl_cmd_job_add_t *cmd, const wl_queue_t *queue,
		    uint64_t clock_ms)
{
	wl_job_record_t record = {
		.accepted_ms = clock_ms,
		.priority = queue->priority,
		.max_attempts = queue->max_attempts ? queue->max_attempts : MAX_ATTEMPTS_DEFAULT,
		.objective_ms = queue->objective_ms,
		.slack_millis = queue->slack_millis,
	};

	wl_buf_set(&record.id, path_id(queue, wl_buf_str(&cmd->path)));
	wl_buf_set(&record.host, wl_buf_str(&cmd->host));
	wl_buf_set(&record.path, wl_buf_str(&cmd->path));
	wl_record_copy(&wl_job_spec_schema, &record.spec, &cmd->spec);
	job_route(jobs, job_insert(jobs, &record));
}

static bool id_valid(wl_str_t id)
{
	return id.len > 0 && id.len <= ID_BYTES_MAX && !memchr(id.at, '/', id.len);
}

/*
 * wl_jobs_accepted - whether a submission is of a job that was accepted before
 * @result: filled in if it is; without a route an error, whose verdict tells that the job runs
 */
bool wl_jobs_accepted(const wl_jobs_t *jobs, wl_str_t host, wl_str_t path, wl_result_t *result)
{
	if (!wl_jobs_at(jobs, host, path))
		return false;
	if (wl_catalog_route(&jobs->catalog, host, path)) {
		wl_result_ok(result, 0);
		return true;
	}
	wl_result_fail(result, WL_E_NOT_FOUND,
		       "the job was accepted; no queue has this host and path any more");
	result->verdict = WL_RAN;
	return true;
}

void wl_jobs_add(wl_jobs_t *jobs, const wl_cmd_job_add_t *cmd, uint64_t clock_ms,
		 wl_result_t *result)
{
	wl_str_t path = wl_buf_str(&cmd->path);
	const wl_queue_t *queue;
	wl_job_t *job;
	wl_err_t err;

	if (wl_jobs_accepted(jobs, wl_buf_str(&cmd->host), path, result) ||
	    !wl_jobs_resolve(jobs, wl_buf_str(&cmd->host), path, &queue, &job, result))
		return;
	if (wl_jobs_is_cancelled(jobs, wl_buf_str(&cmd->host), path)) {
		wl_result_fail(result, WL_E_GONE, "the job was cancelled before it was accepted");
		return;
	}
	if (!id_valid(path_id(queue, path))) {
		wl_result_fail(result, WL_E_BAD_INPUT, "job id must be 1 to %d bytes without '/'",
			       ID_BYTES_MAX);
		return;
	}
	if (wl_jobs_find(jobs, path_id(queue, path))) {
		wl_result_fail(result, WL_E_BAD_INPUT,
			       "job id must be unique: a job at another host or path has it");
		return;
	}
	if (!wl_job_spec_check(&cmd->spec, &err)) {
		wl_result_fail(result, err.code, "%s", err.text);
		return;
	}
	job_add(jobs, cmd, queue, clock_ms);
	wl_result_ok(result, 0);
}

void wl_job_end(wl_jobs_t *jobs, wl_job_t *job, wl_job_state_t state, uint64_t clock_ms)
{
	job->record.state = state;
	job->record.ended_ms = clock_ms ? clock_ms : 1; /* 0: it has not ended */
	job->queue = NULL;
	jobs->suspects -= job->suspects;
	TAILQ_REMOVE(&jobs->live, job, link);
	TAILQ_INSERT_TAIL(&jobs->ended, job, link);
}

/* Only an address at which a job could be accepted is worth it. */
static void cancellation_note(wl_jobs_t *jobs, const wl_cmd_job_cancel_t *cmd,
			      const wl_queue_t *queue, uint64_t clock_ms)
{
	wl_buf_t text = {0};

	if (!id_valid(path_id(queue, wl_buf_str(&cmd->path))))
		return;
	address_text(wl_buf_str(&cmd->host), wl_buf_str(&cmd->path), &text);
	wl_job_cancellation_add(jobs, wl_buf_str(&text), clock_ms);
	wl_buf_free(&text);
}

void wl_jobs_cancel(wl_jobs_t *jobs, const wl_cmd_job_cancel_t *cmd, uint64_t clock_ms,
		    wl_result_t *result)
{
	wl_str_t host = wl_buf_str(&cmd->host);
	wl_str_t path = wl_buf_str(&cmd->path);
	wl_job_t *job = wl_jobs_at(jobs, host, path);
	const wl_queue_t *queue;

	if (!job && !wl_jobs_resolve(jobs, host, path, &queue, &job, result))
		return;
	if (!job) {
		cancellation_note(jobs, cmd, queue, clock_ms);
		wl_result_fail(result, WL_E_GONE, "no job of the queue has this path");
		return;
	}
	if (!wl_job_ended(job))
		wl_job_end(jobs, job, WL_JOB_CANCELLED, clock_ms);
	if (wl_catalog_route(&jobs->catalog, host, path)) {
		wl_result_ok(result, 0);
		return;
	}
	wl_result_fail(result, WL_E_GONE, "cancelled; no queue has this host and path any more");
	result->verdict = WL_RAN;
}

/*
 * wl_jobs_expire - remove what is kept for a time only, once that is over
 */
void wl_jobs_expire(wl_jobs_t *jobs, uint64_t clock_ms)
{
	wl_job_t *job = TAILQ_FIRST(&jobs->ended);

	while (job && clock_ms > job->record.ended_ms + jobs->keep_ms) {
		wl_job_t *next = TAILQ_NEXT(job, link);

		/*
		 * A job with a run that is not known to have ended is kept, so that its id
		 * cannot be reused.
		 */
		if (job->active == 0)
			job_remove(jobs, &jobs->ended, job);
		job = next;
	}
	wl_job_cancellations_expire(jobs, clock_ms);
	wl_lapses_expire(jobs, clock_ms);
	wl_runners_expire(jobs, clock_ms);
}

/*
 * wl_job_rows_fill - add the tasks of a job to its record for a snapshot
 * @record: a copy of the job's record, without tasks
 */
void wl_job_rows_fill(const wl_job_t *job, wl_job_record_t *record)
{
	for (uint64_t i = 0; i < job->task_count; i++) {
		wl_job_task_row_t *row = wl_list_add(&wl_job_task_row_schema, &record->tasks);

		row->run = job->tasks[i].run;
		row->failures = job->tasks[i].failures;
		row->failed_run = job->tasks[i].failed_run;
		row->done = job->tasks[i].done;
		row->crashes = job->tasks[i].crashes;
		wl_buf_set(&row->checkpoint, wl_buf_str(&job->tasks[i].checkpoint));
	}
}

static void task_restore(wl_jobs_t *jobs, wl_job_t *job, uint64_t task, wl_job_task_row_t *row)
{
	wl_job_task_t *restored = &job->tasks[task];

	restored->run = row->run;
	restored->failures = row->failures;
	restored->failed_run = row->failed_run;
	wl_buf_move(&restored->checkpoint, &row->checkpoint);
	job->begun |= row->done || row->failures > 0 || restored->checkpoint.len > 0;
	wl_task_crashes_restore(jobs, job, task, &row->crashes);
	if (row->done)
		wl_task_done(job, task);
}

/*
 * wl_jobs_restore - add a job from a snapshot, after its configuration
 * @record: moved from
 *
 * Return: the job, or NULL if the number of its tasks does not match its steps, or if another job
 * has its address.
 */
wl_job_t *wl_jobs_restore(wl_jobs_t *jobs, wl_job_record_t *record)
{
	wl_list_t rows = record->tasks;
	bool has_address = record->path.len > 0;
	wl_job_t *job;
	bool complete;

	record->tasks = (wl_list_t){0};
	job = job_insert(jobs, record);
	complete = rows.count == job->task_count;
	for (uint64_t i = 0; complete && i < job->task_count; i++)
		task_restore(jobs, job, i, (wl_job_task_row_t *)rows.items + i);
	wl_list_free(&wl_job_task_row_schema, &rows);
	if (!job_address_init(jobs, job) && has_address)
		return NULL;
	if (!wl_job_ended(job))
		job_route(jobs, job);
	return complete ? job : NULL;
}
