/* Jobs: schemas, and validation of jobs and configurations. */

#include "job.h"

#include <stdlib.h>

const char *const wl_run_outcome_names[] = {"done",  "failed", "stopped", "lapsed",  "broken",
					    "alone", "lost",   "absent",  "crashed", NULL};

const char *const wl_job_state_names[] = {"queued", "running",	 "completed",
					  "failed", "cancelled", NULL};

static const wl_field_t step_spec_fields[] = {
	WL_FIELD_REQUIRED(wl_step_spec_t, count, WL_FIELD_U64, WL_JOB_MAX_TASKS),
	WL_FIELD(wl_step_spec_t, cpu_millis, WL_FIELD_U64),
	WL_FIELD(wl_step_spec_t, memory_mib, WL_FIELD_U64),
	WL_FIELD(wl_step_spec_t, accelerators, WL_FIELD_U64),
	WL_FIELD(wl_step_spec_t, estimated_ms, WL_FIELD_U64),
	WL_FIELD(wl_step_spec_t, after, WL_FIELD_BITS),
	WL_FIELD(wl_step_spec_t, checkpoints, WL_FIELD_BOOL),
	WL_FIELD(wl_step_spec_t, gang, WL_FIELD_BOOL),
	WL_FIELD(wl_step_spec_t, same_rack, WL_FIELD_BOOL),
	WL_FIELD(wl_step_spec_t, lasting, WL_FIELD_BOOL),
	WL_FIELD_AS("copies", wl_step_spec_t, speculative, WL_FIELD_BOOL),
	WL_FIELD(wl_step_spec_t, best_effort, WL_FIELD_BOOL),
	WL_FIELD(wl_step_spec_t, label, WL_FIELD_BYTES),
	WL_FIELD(wl_step_spec_t, data_rack, WL_FIELD_BYTES),
	WL_FIELD(wl_step_spec_t, max_per_target, WL_FIELD_U64),
	WL_FIELD_AS("max_away", wl_step_spec_t, max_unavailable, WL_FIELD_U64),
	WL_FIELD(wl_step_spec_t, image, WL_FIELD_BYTES),
	WL_FIELD(wl_step_spec_t, tail_target_us, WL_FIELD_U64),
};

const wl_schema_t wl_step_spec_schema = WL_SCHEMA(wl_step_spec_t, step_spec_fields);

static const wl_field_t job_spec_fields[] = {
	WL_FIELD(wl_job_spec_t, payload, WL_FIELD_BYTES),
	WL_FIELD_MANY(wl_job_spec_t, steps, &wl_step_spec_schema),
	WL_FIELD(wl_job_spec_t, repeat, WL_FIELD_U64),
	WL_FIELD(wl_job_spec_t, first_ms, WL_FIELD_U64),
	WL_FIELD(wl_job_spec_t, every_ms, WL_FIELD_U64),
};

const wl_schema_t wl_job_spec_schema = WL_SCHEMA(wl_job_spec_t, job_spec_fields);

static const wl_field_t advice_spec_fields[] = {
	WL_FIELD(wl_advice_spec_t, question_ms, WL_FIELD_U64),
	WL_FIELD(wl_advice_spec_t, per_target_ms, WL_FIELD_U64),
	WL_FIELD(wl_advice_spec_t, validity_ms, WL_FIELD_U64),
};

static const wl_schema_t advice_spec_schema = WL_SCHEMA(wl_advice_spec_t, advice_spec_fields);

static const wl_field_t queue_fields[] = {
	WL_FIELD_REQUIRED(wl_queue_t, name, WL_FIELD_BYTES, 256),
	WL_FIELD(wl_queue_t, host, WL_FIELD_BYTES),
	WL_FIELD_REQUIRED(wl_queue_t, prefix, WL_FIELD_BYTES, 1024),
	WL_FIELD_REQUIRED(wl_queue_t, service, WL_FIELD_BYTES, 256),
	WL_FIELD(wl_queue_t, timeout_ms, WL_FIELD_U64),
	WL_FIELD(wl_queue_t, objective_ms, WL_FIELD_U64),
	WL_FIELD(wl_queue_t, priority, WL_FIELD_U64),
	WL_FIELD(wl_queue_t, max_attempts, WL_FIELD_U64),
	WL_FIELD(wl_queue_t, slack_millis, WL_FIELD_U64),
	WL_FIELD_NEST(wl_queue_t, advice, &advice_spec_schema),
};

const wl_schema_t wl_queue_schema = WL_SCHEMA(wl_queue_t, queue_fields);

static const wl_field_t service_fields[] = {
	WL_FIELD_REQUIRED(wl_service_t, name, WL_FIELD_BYTES, 256),
	WL_FIELD(wl_service_t, health_path, WL_FIELD_BYTES),
	WL_FIELD(wl_service_t, max_connections, WL_FIELD_U64),
	WL_FIELD(wl_service_t, refuses_overload, WL_FIELD_BOOL),
	WL_FIELD(wl_service_t, standby, WL_FIELD_BOOL),
};

const wl_schema_t wl_service_schema = WL_SCHEMA(wl_service_t, service_fields);

static const wl_field_t catalog_fields[] = {
	WL_FIELD_REQUIRED(wl_catalog_t, version, WL_FIELD_U64, INT64_MAX),
	WL_FIELD_MANY(wl_catalog_t, queues, &wl_queue_schema),
	WL_FIELD_MANY(wl_catalog_t, services, &wl_service_schema),
};

const wl_schema_t wl_catalog_schema = WL_SCHEMA(wl_catalog_t, catalog_fields);

static const wl_field_t runner_report_fields[] = {
	WL_FIELD(wl_runner_report_t, id, WL_FIELD_BYTES),
	WL_FIELD(wl_runner_report_t, service, WL_FIELD_BYTES),
	WL_FIELD(wl_runner_report_t, address, WL_FIELD_BYTES),
	WL_FIELD(wl_runner_report_t, availability_zone, WL_FIELD_BYTES),
	WL_FIELD(wl_runner_report_t, labels, WL_FIELD_STRINGS),
	WL_FIELD(wl_runner_report_t, rack, WL_FIELD_BYTES),
	WL_FIELD(wl_runner_report_t, cpu_millis, WL_FIELD_U64),
	WL_FIELD(wl_runner_report_t, memory_mib, WL_FIELD_U64),
	WL_FIELD(wl_runner_report_t, accelerators, WL_FIELD_U64),
	WL_FIELD_AS("life", wl_runner_report_t, incarnation, WL_FIELD_U64),
	WL_FIELD(wl_runner_report_t, sequence, WL_FIELD_U64),
	WL_FIELD(wl_runner_report_t, clock_ms, WL_FIELD_U64),
	WL_FIELD_AS("cold_ms", wl_runner_report_t, warmup_ms, WL_FIELD_U64),
	WL_FIELD_AS("leaves_ms", wl_runner_report_t, remaining_ms, WL_FIELD_U64),
	WL_FIELD(wl_runner_report_t, draining, WL_FIELD_BOOL),
	WL_FIELD_AS("left", wl_runner_report_t, exiting, WL_FIELD_BOOL),
	WL_FIELD(wl_runner_report_t, machine, WL_FIELD_BYTES),
	WL_FIELD(wl_runner_report_t, supersedes, WL_FIELD_U64),
};

const wl_schema_t wl_runner_report_schema = WL_SCHEMA(wl_runner_report_t, runner_report_fields);

static const wl_field_t task_ref_fields[] = {
	WL_FIELD(wl_task_ref_t, job, WL_FIELD_BYTES),
	WL_FIELD(wl_task_ref_t, occurrence, WL_FIELD_U64),
	WL_FIELD(wl_task_ref_t, step, WL_FIELD_U64),
	WL_FIELD(wl_task_ref_t, index, WL_FIELD_U64),
};

const wl_schema_t wl_task_ref_schema = WL_SCHEMA(wl_task_ref_t, task_ref_fields);

/*
 * wl_job_spec_tasks - number of tasks of a job over all its occurrences
 *
 * Return: the number, or WL_JOB_MAX_TASKS + 1 if it exceeds the limit.
 */
uint64_t wl_job_spec_tasks(const wl_job_spec_t *spec)
{
	const wl_step_spec_t *steps = spec->steps.items;
	uint64_t occurrences = spec->repeat ? spec->repeat : 1;
	uint64_t tasks = 0;

	for (size_t i = 0; i < spec->steps.count; i++) {
		if (steps[i].count > WL_JOB_MAX_TASKS)
			return WL_JOB_MAX_TASKS + 1;
		tasks += steps[i].count;
	}
	if (occurrences > WL_JOB_MAX_TASKS || tasks * occurrences > WL_JOB_MAX_TASKS)
		return WL_JOB_MAX_TASKS + 1;
	return tasks * occurrences;
}

static bool step_check(const wl_step_spec_t *step, size_t number, wl_err_t *err)
{
	if (step->count == 0)
		return wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN,
				  "steps[%zu]: must have at least 1 task", number);
	if (step->after >> number)
		return wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN,
				  "steps[%zu]: depends on itself or on a later step", number);
	return true;
}

/*
 * wl_job_spec_check - validate a job
 * @err: WL_E_BAD_INPUT naming the invalid step, or WL_E_TOO_LARGE
 */
bool wl_job_spec_check(const wl_job_spec_t *spec, wl_err_t *err)
{
	const wl_step_spec_t *steps = spec->steps.items;

	if (spec->steps.count == 0 || spec->steps.count > WL_JOB_MAX_STEPS)
		return wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN, "steps: number must be 1 to %d",
				  WL_JOB_MAX_STEPS);
	for (size_t i = 0; i < spec->steps.count; i++)
		if (!step_check(&steps[i], i, err))
			return false;
	if (wl_job_spec_tasks(spec) > WL_JOB_MAX_TASKS)
		return wl_err_set(err, WL_E_TOO_LARGE, WL_NOT_RUN, "job has more than %d tasks",
				  WL_JOB_MAX_TASKS);
	return true;
}

static bool queue_check(const wl_catalog_t *catalog, size_t number, wl_err_t *err)
{
	const wl_queue_t *queues = catalog->queues.items;
	const wl_queue_t *queue = &queues[number];

	if (queue->timeout_ms == 0)
		return wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN,
				  "queues[%zu]: time limit must be above 0", number);
	if (!wl_catalog_service(catalog, wl_buf_str(&queue->service)))
		return wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN, "queues[%zu]: unknown service",
				  number);
	for (size_t i = 0; i < number; i++)
		if (wl_str_equal(wl_buf_str(&queues[i].host), wl_buf_str(&queue->host)) &&
		    wl_str_equal(wl_buf_str(&queues[i].prefix), wl_buf_str(&queue->prefix)))
			return wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN,
					  "queues[%zu] and queues[%zu]: same host and prefix", i,
					  number);
	return true;
}

/*
 * wl_catalog_check - validate a configuration
 * @err: WL_E_BAD_INPUT, naming the invalid queue
 */
bool wl_catalog_check(const wl_catalog_t *catalog, wl_err_t *err)
{
	for (size_t i = 0; i < catalog->queues.count; i++)
		if (!queue_check(catalog, i, err))
			return false;
	return true;
}

static int queue_compare(const wl_queue_t *queue, wl_str_t host, wl_str_t prefix)
{
	int order = wl_str_compare(wl_buf_str(&queue->host), host);

	return order ? order : wl_str_compare(wl_buf_str(&queue->prefix), prefix);
}

static int queues_order(const void *a, const void *b)
{
	const wl_queue_t *queue = b;

	return queue_compare(a, wl_buf_str(&queue->host), wl_buf_str(&queue->prefix));
}

/*
 * wl_catalog_sort - order the queues by host and prefix, as wl_catalog_route() expects them
 */
void wl_catalog_sort(wl_catalog_t *catalog)
{
	if (catalog->queues.count)
		qsort(catalog->queues.items, catalog->queues.count, sizeof(wl_queue_t),
		      queues_order);
}

/* Returns the last queue that is not ordered after a host and path; NULL: there is none. */
static const wl_queue_t *queue_before(const wl_catalog_t *catalog, wl_str_t host, wl_str_t path)
{
	const wl_queue_t *queues = catalog->queues.items;
	size_t low = 0;
	size_t high = catalog->queues.count;

	while (low < high) {
		size_t middle = low + (high - low) / 2;

		if (queue_compare(&queues[middle], host, path) <= 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low ? &queues[low - 1] : NULL;
}

static size_t common_length(wl_str_t a, wl_str_t b)
{
	size_t len = 0;

	while (len < a.len && len < b.len && a.at[len] == b.at[len])
		len++;
	return len;
}

/*
 * wl_catalog_route - find the queue of a call: same host, longest matching prefix
 * @catalog: sorted
 *
 * Return: NULL if there is none.
 */
const wl_queue_t *wl_catalog_route(const wl_catalog_t *catalog, wl_str_t host, wl_str_t path)
{
	const wl_queue_t *queue;

	while ((queue = queue_before(catalog, host, path)) &&
	       wl_str_equal(wl_buf_str(&queue->host), host)) {
		wl_str_t prefix = wl_buf_str(&queue->prefix);

		if (wl_str_starts(path, prefix))
			return queue;
		/* Every shorter match is a prefix of what both have in common. */
		path.len = common_length(path, prefix);
	}
	return NULL;
}

/*
 * wl_catalog_queue - find a queue by name
 *
 * Return: NULL if there is none.
 */
const wl_queue_t *wl_catalog_queue(const wl_catalog_t *catalog, wl_str_t name)
{
	const wl_queue_t *queues = catalog->queues.items;

	for (size_t i = 0; i < catalog->queues.count; i++)
		if (wl_str_equal(wl_buf_str(&queues[i].name), name))
			return &queues[i];
	return NULL;
}

/*
 * wl_catalog_service - find a service by name
 *
 * Return: NULL if there is none.
 */
const wl_service_t *wl_catalog_service(const wl_catalog_t *catalog, wl_str_t name)
{
	const wl_service_t *services = catalog->services.items;

	for (size_t i = 0; i < catalog->services.count; i++)
		if (wl_str_equal(wl_buf_str(&services[i].name), name))
			return &services[i];
	return NULL;
}
